"""Replication of a partition, the replica's side: the holder's messages become steps that are written to a file.

No I/O.

The protocol is described in `replication.py`. Each message makes a `ReplicaStep`; the caller writes its entry to the
replica's file, then applies it with `Replica.apply`, and only then answers. Reading the entries of the file again
brings the replica to the same position.
"""

from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from cedarwick.fleet.messages import DigestRange, Digests, ReplicaAck, ReplicateFacts, ReplicatePiece, digest_matches
from cedarwick.fleet.replication import (
    CORRUPT,
    EVERYTHING,
    GAP,
    NO_PROBLEM,
    OLD_TERM,
    OTHER_VERSION,
    ReplicaPosition,
    count_and_digest,
)
from cedarwick.fleet.replication_facts import (
    CorruptFactsError,
    Fact,
    FactsVersionError,
    approximate_bytes,
    decode_facts,
    encode_fact,
    encode_facts,
    in_doubt,
    join_facts,
    nothing_owed,
    trimmed,
)


class ReplicaEntry(msgspec.Struct, array_like=True, frozen=True):
    """A step of a replica as stored in its file: facts to be joined, and the position after that."""

    term: int
    next: int
    covered: int
    after: int  # what is held in this range and not among the facts is over; an empty range: the tail
    upto: int
    facts: bytes
    behind: bool = False  # as in `ReplicatePiece`


class ReplicaStep(NamedTuple):
    """The result of a message: write `entry`, then `apply` the step, then answer `ack`. No entry: answer at once."""

    ack: ReplicaAck
    entry: ReplicaEntry | None = None
    facts: list[Fact] = []


class Replica:
    """One replica of a partition; steps bring it forward."""

    def __init__(self, partition: int) -> None:
        self.partition = partition
        self.position = ReplicaPosition(0, 0, 0)
        self.owed: dict[int, Fact] = {}  # what is owed, with bases
        self.owed_bytes = 0  # about the bytes of that
        self.behind = False  # its holder has acknowledged to clients more than the replica has

    @property
    def is_complete(self) -> bool:
        """Whether it has received everything of its term."""
        return self.position.covered == EVERYTHING

    def step_for_facts(self, message: ReplicateFacts) -> ReplicaStep:
        """The step for a part of the log's tail."""
        position = self.position
        if message.term != position.term:
            return self._refused(OLD_TERM if message.term < position.term else GAP)
        if message.first > position.next:
            return self._refused(GAP)
        read = self._decoded(message, 0, EVERYTHING)
        if isinstance(read, str):
            return self._refused(read)
        fresh = read[position.next - message.first :]
        if not fresh:
            return ReplicaStep(self.ack())
        data = message.facts if len(fresh) == len(read) else encode_facts(fresh)
        return self._step(position._replace(next=position.next + len(fresh)), 0, 0, data, fresh, self.behind)

    def step_for_piece(self, message: ReplicatePiece) -> ReplicaStep:
        """The step for a piece: all that is owed in a range of message numbers."""
        position = self.position
        if message.term < position.term:
            return self._refused(OLD_TERM)
        jumps = message.after == 0 and (message.term > position.term or message.next > position.next)
        if not jumps and (
            message.term > position.term or message.next < position.next or message.after > position.covered
        ):
            return self._refused(GAP)
        read = self._decoded(message, message.after, message.upto)
        if isinstance(read, str):
            return self._refused(read)
        covered = message.upto if jumps else max(position.covered, message.upto)
        index = message.next if jumps else position.next
        return self._step(
            ReplicaPosition(message.term, index, covered),
            message.after,
            message.upto,
            message.facts,
            read,
            message.behind,
        )

    def answer_digests(self, message: Digests) -> Digests:
        """The replica's digests of the same ranges; no ranges if it is at another position."""
        if (message.term, message.next) != self.position[:2]:
            return Digests(self.partition, self.position.term, (), self.position.next)
        numbers, made = sorted(self.owed), []
        for span in message.ranges:
            inside = numbers[bisect_right(numbers, span.after) : bisect_right(numbers, span.upto)]
            made.append(
                DigestRange(
                    span.after, span.upto, *count_and_digest(encode_fact(self.owed[number]) for number in inside)
                )
            )
        return Digests(self.partition, self.position.term, tuple(made), self.position.next)

    def ack(self, problem: str = NO_PROBLEM) -> ReplicaAck:
        """The answer to the holder: the position of the replica, and why a message was refused."""
        return ReplicaAck(self.partition, self.position.term, self.position.next, problem, self.position.covered)

    def apply(self, entry: ReplicaEntry, facts: Iterable[Fact]) -> None:
        """Apply a step that is already in the replica's file."""
        if entry.upto > entry.after:
            listed = {fact.number for fact in facts}
            for number in [each for each in self.owed if entry.after < each <= entry.upto and each not in listed]:
                self._remove(number)
        for fact in facts:
            before = self.owed.get(fact.number)
            if before is None and fact.base is None:
                continue  # an update of what has ended, or of what a piece is still to bring
            joined = trimmed(fact) if before is None else join_facts(before, fact)
            self._remove(fact.number)
            if not nothing_owed(joined.known):
                self.owed[fact.number] = joined
                self.owed_bytes += approximate_bytes(joined)
        self.position, self.behind = ReplicaPosition(entry.term, entry.next, entry.covered), entry.behind

    def mark_in_doubt(self, since: int) -> None:
        """Note that a part of the file is lost: updates may be missing since a wall time (microseconds).

        The holder must send everything again.
        """
        self.owed = {number: in_doubt(fact, since) for number, fact in self.owed.items()}
        self.position = ReplicaPosition(self.position.term, 0, 0)

    def snapshot_part(self, after: int, size: int) -> ReplicaEntry:
        """A part of what is held, above number `after` and of about `size` bytes, for a fresh file."""
        taken: list[Fact] = []
        upto, left = EVERYTHING, size
        for number in sorted(each for each in self.owed if each > after):
            if taken and left <= 0:
                upto = taken[-1].number
                break
            taken.append(self.owed[number])
            left -= approximate_bytes(taken[-1])
        return ReplicaEntry(*self.position, after, upto, encode_facts(taken), self.behind)

    def _remove(self, number: int) -> None:
        before = self.owed.pop(number, None)
        if before is not None:
            self.owed_bytes -= approximate_bytes(before)

    def _refused(self, problem: str) -> ReplicaStep:
        return ReplicaStep(self.ack(problem))

    def _step(
        self, position: ReplicaPosition, after: int, upto: int, data: bytes, facts: list[Fact], behind: bool
    ) -> ReplicaStep:
        entry = ReplicaEntry(*position, after, upto, data, behind)
        return ReplicaStep(
            ReplicaAck(self.partition, position.term, position.next, NO_PROBLEM, position.covered), entry, facts
        )

    def _decoded(self, message: ReplicateFacts | ReplicatePiece, after: int, upto: int) -> list[Fact] | str:
        """The facts of a message, or the reason why the whole message is refused."""
        if not digest_matches(message):
            return CORRUPT
        try:
            facts = decode_facts(message.facts)
        except FactsVersionError:
            return OTHER_VERSION
        except CorruptFactsError:
            return CORRUPT
        if any(fact.number >> 32 != self.partition or not after < fact.number <= upto for fact in facts):
            return CORRUPT
        return facts
