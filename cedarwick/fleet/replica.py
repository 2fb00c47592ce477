"""Replication of a partition on the replica's side: turns the holder's messages into entries of the replica's file.

No I/O.

The protocol is described in `replication.py`. Each message results in a `ReplicaStep`. The caller writes its entry to
the replica's file, then applies it with `Replica.apply`, and only then answers. Applying the entries of the file again
restores the same state and position.
"""

from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from cedarwick.fleet.messages import DigestRange, Digests, ReplicaAck, ReplicateFacts, ReplicatePiece, digest_matches
from cedarwick.fleet.replication import (
    CORRUPT,
    GAP,
    MAX_MESSAGE_NUMBER,
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
    is_finished,
    join_facts,
    trimmed,
    with_records_lost,
)


class ReplicaEntry(msgspec.Struct, array_like=True, frozen=True):
    """A step as it is stored in the replica's file: facts to join, and the position that results."""

    term: int
    next_index: int
    covered_upto: int
    after: int  # messages in this range that are not among the facts have finished; an empty range: tail facts
    upto: int
    facts: bytes
    asynchronous: bool = False  # as in `ReplicatePiece`


class ReplicaStep(NamedTuple):
    """The result of a message: write `entry`, apply the step, then answer `ack`. Without an entry answer at once."""

    ack: ReplicaAck
    entry: ReplicaEntry | None = None
    facts: list[Fact] = []


class Replica:
    """One replica of a partition, updated step by step."""

    def __init__(self, partition: int) -> None:
        self.partition = partition
        self.position = ReplicaPosition(0, 0, 0)
        self.pending: dict[int, Fact] = {}  # pending messages by number, each with its base
        self.pending_bytes = 0  # approximate size of these facts
        self.asynchronous = False  # the holder answers clients without waiting for this replica

    @property
    def is_complete(self) -> bool:
        """Whether it has received all pending messages of its term."""
        return self.position.covered_upto == MAX_MESSAGE_NUMBER

    def step_for_facts(self, message: ReplicateFacts) -> ReplicaStep:
        """The step for facts of the log's tail."""
        position = self.position
        if message.term != position.term:
            return self._refused(OLD_TERM if message.term < position.term else GAP)
        if message.first > position.next_index:
            return self._refused(GAP)
        decoded = self._decode_facts(message, 0, MAX_MESSAGE_NUMBER)
        if isinstance(decoded, str):
            return self._refused(decoded)
        new_facts = decoded[position.next_index - message.first :]
        if not new_facts:
            return ReplicaStep(self.ack())
        data = message.facts if len(new_facts) == len(decoded) else encode_facts(new_facts)
        return self._step(
            position._replace(next_index=position.next_index + len(new_facts)), 0, 0, data, new_facts, self.asynchronous
        )

    def step_for_piece(self, message: ReplicatePiece) -> ReplicaStep:
        """The step for a piece, which has all pending messages in a range of message numbers."""
        position = self.position
        if message.term < position.term:
            return self._refused(OLD_TERM)
        is_transfer_start = message.after == 0 and (message.term > position.term or message.next > position.next_index)
        if not is_transfer_start and (
            message.term > position.term or message.next < position.next_index or message.after > position.covered_upto
        ):
            return self._refused(GAP)
        decoded = self._decode_facts(message, message.after, message.upto)
        if isinstance(decoded, str):
            return self._refused(decoded)
        covered = message.upto if is_transfer_start else max(position.covered_upto, message.upto)
        index = message.next if is_transfer_start else position.next_index
        return self._step(
            ReplicaPosition(message.term, index, covered),
            message.after,
            message.upto,
            message.facts,
            decoded,
            message.behind,
        )

    def answer_digests(self, message: Digests) -> Digests:
        """The replica's digests of the same ranges; no ranges if the replica is at another position."""
        if (message.term, message.next) != self.position[:2]:
            return Digests(self.partition, self.position.term, (), self.position.next_index)
        numbers, digest_ranges = sorted(self.pending), []
        for span in message.ranges:
            inside = numbers[bisect_right(numbers, span.after) : bisect_right(numbers, span.upto)]
            digest_ranges.append(
                DigestRange(
                    span.after, span.upto, *count_and_digest(encode_fact(self.pending[number]) for number in inside)
                )
            )
        return Digests(self.partition, self.position.term, tuple(digest_ranges), self.position.next_index)

    def ack(self, problem: str = NO_PROBLEM) -> ReplicaAck:
        """The answer to the holder: the replica's position, and the reason if a message was refused."""
        return ReplicaAck(
            self.partition, self.position.term, self.position.next_index, problem, self.position.covered_upto
        )

    def apply(self, entry: ReplicaEntry, facts: Iterable[Fact]) -> None:
        """Apply a step whose entry has been written to the replica's file."""
        if entry.upto > entry.after:
            listed = {fact.number for fact in facts}
            for number in [each for each in self.pending if entry.after < each <= entry.upto and each not in listed]:
                self._remove(number)
        for fact in facts:
            previous = self.pending.get(fact.number)
            if previous is None and fact.base is None:
                continue  # an update of a message that has finished, or that a later piece will bring
            joined = trimmed(fact) if previous is None else join_facts(previous, fact)
            self._remove(fact.number)
            if not is_finished(joined.known):
                self.pending[fact.number] = joined
                self.pending_bytes += approximate_bytes(joined)
        self.position, self.asynchronous = (
            ReplicaPosition(entry.term, entry.next_index, entry.covered_upto),
            entry.asynchronous,
        )

    def mark_records_lost(self, since: int) -> None:
        """Record that a part of the file is lost: updates since a wall time (microseconds) may be missing.

        The position is reset, so the holder sends everything again.
        """
        self.pending = {number: with_records_lost(fact, since) for number, fact in self.pending.items()}
        self.position = ReplicaPosition(self.position.term, 0, 0)

    def snapshot_part(self, after: int, size: int) -> ReplicaEntry:
        """An entry for a new file: about `size` bytes of the pending messages above number `after`."""
        selected: list[Fact] = []
        upto, left = MAX_MESSAGE_NUMBER, size
        for number in sorted(each for each in self.pending if each > after):
            if selected and left <= 0:
                upto = selected[-1].number
                break
            selected.append(self.pending[number])
            left -= approximate_bytes(selected[-1])
        return ReplicaEntry(*self.position, after, upto, encode_facts(selected), self.asynchronous)

    def _remove(self, number: int) -> None:
        removed = self.pending.pop(number, None)
        if removed is not None:
            self.pending_bytes -= approximate_bytes(removed)

    def _refused(self, problem: str) -> ReplicaStep:
        return ReplicaStep(self.ack(problem))

    def _step(
        self, position: ReplicaPosition, after: int, upto: int, data: bytes, facts: list[Fact], behind: bool
    ) -> ReplicaStep:
        entry = ReplicaEntry(*position, after, upto, data, behind)
        return ReplicaStep(
            ReplicaAck(self.partition, position.term, position.next_index, NO_PROBLEM, position.covered_upto),
            entry,
            facts,
        )

    def _decode_facts(self, message: ReplicateFacts | ReplicatePiece, after: int, upto: int) -> list[Fact] | str:
        """The facts of a message, or the reason for which the whole message is refused."""
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
