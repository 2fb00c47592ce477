"""Replication of a partition, the copy's side: the holder's messages become steps that are written to a file. No I/O.

The protocol is described in `replication.py`. Each message makes a `ReplicaStep`; the caller writes its entry to the
copy's file, then applies it with `Replica.take`, and only then answers. Reading the entries of the file again brings
the copy to the same position.
"""

from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from cedarwick.fleet.messages import DigestRange, Digests, ReplicaAck, ReplicateFacts, ReplicatePiece, whole
from cedarwick.fleet.replication import EVERYTHING, GAP, NO_PROBLEM, OTHER, SPOILT, TERM, ReplicaPosition, summed
from cedarwick.fleet.replication_facts import (
    CorruptFactsError,
    Fact,
    FactsVersionError,
    decode_facts,
    encode_facts,
    encoded,
    in_doubt,
    join_facts,
    over,
    trimmed,
    weight,
)


class ReplicaEntry(msgspec.Struct, array_like=True, frozen=True):
    """A step of a copy as stored in its file: facts to be joined, and the position after that."""

    term: int
    next: int
    covered: int
    after: int  # what is held in this range and not among the facts is over; an empty range: the tail
    upto: int
    facts: bytes
    behind: bool = False  # as in `ReplicatePiece`


class ReplicaStep(NamedTuple):
    """The result of a message: write `entry`, then `take` the step, then answer `have`. No entry: answer at once."""

    have: ReplicaAck
    entry: ReplicaEntry | None = None
    facts: list[Fact] = []


class Replica:
    """One copy of a partition; steps bring it forward."""

    def __init__(self, partition: int) -> None:
        self.partition = partition
        self.place = ReplicaPosition(0, 0, 0)
        self.held: dict[int, Fact] = {}  # what is owed, with bases
        self.live = 0  # about the bytes of that
        self.behind = False  # its holder has acknowledged to clients more than the copy has

    @property
    def whole(self) -> bool:
        """Whether it has received everything of its term."""
        return self.place.covered == EVERYTHING

    def facts(self, message: ReplicateFacts) -> ReplicaStep:
        """The step for a part of the log's tail."""
        place = self.place
        if message.term != place.term:
            return self._no(TERM if message.term < place.term else GAP)
        if message.first > place.next:
            return self._no(GAP)
        read = self._read(message, 0, EVERYTHING)
        if isinstance(read, str):
            return self._no(read)
        fresh = read[place.next - message.first :]
        if not fresh:
            return ReplicaStep(self.have())
        data = message.facts if len(fresh) == len(read) else encode_facts(fresh)
        return self._step(place._replace(next=place.next + len(fresh)), 0, 0, data, fresh, self.behind)

    def piece(self, message: ReplicatePiece) -> ReplicaStep:
        """The step for a piece: all that is owed in a range of message numbers."""
        place = self.place
        if message.term < place.term:
            return self._no(TERM)
        jumps = message.after == 0 and (message.term > place.term or message.next > place.next)
        if not jumps and (message.term > place.term or message.next < place.next or message.after > place.covered):
            return self._no(GAP)
        read = self._read(message, message.after, message.upto)
        if isinstance(read, str):
            return self._no(read)
        covered = message.upto if jumps else max(place.covered, message.upto)
        index = message.next if jumps else place.next
        return self._step(
            ReplicaPosition(message.term, index, covered),
            message.after,
            message.upto,
            message.facts,
            read,
            message.behind,
        )

    def digests(self, message: Digests) -> Digests:
        """The copy's digests of the same ranges; no ranges if it is at another position."""
        if (message.term, message.next) != self.place[:2]:
            return Digests(self.partition, self.place.term, (), self.place.next)
        numbers, made = sorted(self.held), []
        for span in message.ranges:
            inside = numbers[bisect_right(numbers, span.after) : bisect_right(numbers, span.upto)]
            made.append(DigestRange(span.after, span.upto, *summed(encoded(self.held[number]) for number in inside)))
        return Digests(self.partition, self.place.term, tuple(made), self.place.next)

    def have(self, problem: str = NO_PROBLEM) -> ReplicaAck:
        """The answer to the holder: the position of the copy, and why a message was refused."""
        return ReplicaAck(self.partition, self.place.term, self.place.next, problem, self.place.covered)

    def take(self, entry: ReplicaEntry, facts: Iterable[Fact]) -> None:
        """Apply a step that is already in the copy's file."""
        if entry.upto > entry.after:
            listed = {fact.number for fact in facts}
            for number in [each for each in self.held if entry.after < each <= entry.upto and each not in listed]:
                self._drop(number)
        for fact in facts:
            before = self.held.get(fact.number)
            if before is None and fact.base is None:
                continue  # an update of what has ended, or of what a piece is still to bring
            joined = trimmed(fact) if before is None else join_facts(before, fact)
            self._drop(fact.number)
            if not over(joined.known):
                self.held[fact.number] = joined
                self.live += weight(joined)
        self.place, self.behind = ReplicaPosition(entry.term, entry.next, entry.covered), entry.behind

    def doubt(self, since: int) -> None:
        """Note that a part of the file is lost: updates may be missing since a wall time (microseconds).

        The holder must send everything again.
        """
        self.held = {number: in_doubt(fact, since) for number, fact in self.held.items()}
        self.place = ReplicaPosition(self.place.term, 0, 0)

    def part(self, after: int, size: int) -> ReplicaEntry:
        """A part of what is held, above number `after` and of about `size` bytes, for a fresh file."""
        taken: list[Fact] = []
        upto, left = EVERYTHING, size
        for number in sorted(each for each in self.held if each > after):
            if taken and left <= 0:
                upto = taken[-1].number
                break
            taken.append(self.held[number])
            left -= weight(taken[-1])
        return ReplicaEntry(*self.place, after, upto, encode_facts(taken), self.behind)

    def _drop(self, number: int) -> None:
        before = self.held.pop(number, None)
        if before is not None:
            self.live -= weight(before)

    def _no(self, problem: str) -> ReplicaStep:
        return ReplicaStep(self.have(problem))

    def _step(
        self, place: ReplicaPosition, after: int, upto: int, data: bytes, facts: list[Fact], behind: bool
    ) -> ReplicaStep:
        entry = ReplicaEntry(*place, after, upto, data, behind)
        return ReplicaStep(ReplicaAck(self.partition, place.term, place.next, NO_PROBLEM, place.covered), entry, facts)

    def _read(self, message: ReplicateFacts | ReplicatePiece, after: int, upto: int) -> list[Fact] | str:
        """The facts of a message, or the reason why the whole message is refused."""
        if not whole(message):
            return SPOILT
        try:
            facts = decode_facts(message.facts)
        except FactsVersionError:
            return OTHER
        except CorruptFactsError:
            return SPOILT
        if any(fact.number >> 32 != self.partition or not after < fact.number <= upto for fact in facts):
            return SPOILT
        return facts
