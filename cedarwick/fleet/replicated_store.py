"""The message store of a sender in a fleet: every change is also appended to a replication log.

The dispatcher uses `ReplicatedStore` like a plain `Store`. In addition it has a `LeasedPartition` (fact ledger and
replication log) for each partition that this sender holds, and tells whether the partition's lease allows sending.
The node (`PartitionTakeover`) decides which partitions are held. Lease times are microseconds of the boot clock.
"""

import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from dataclasses import replace
from itertools import islice
from typing import Any, NamedTuple

import gevent.event

from cedarwick.decisions.interface import Outcome
from cedarwick.errors import CedarwickError
from cedarwick.fleet.fact_ledger import FactLedger
from cedarwick.fleet.leased_partition import LeasedPartition
from cedarwick.fleet.replication import ReplicationLog
from cedarwick.fleet.replication_facts import (
    EndRank,
    Fact,
    decode_facts,
    encode_batch,
    is_finished,
    join_facts,
    stored_message_of,
    with_end,
    with_records_lost,
)
from cedarwick.store.bodies import BodyLostError
from cedarwick.store.files import NoSpaceError
from cedarwick.store.journal import Store
from cedarwick.store.records import StoredMessage

NUMBERS_PER_RESERVATION = 1 << 16  # message numbers reserved at once; a restart skips up to as many


class NotReplicatedError(CedarwickError, OSError):
    """The replicas have not acknowledged a record in time, or the lease ran out meanwhile."""

    code = "CW741"
    remedy = "check the members that have the replicas, and the network to them; `fleet.alone` sets what happens then"


class UnreplicatedMessages(NamedTuple):
    """Numbers of pending messages of a lost partition that possibly no other member has."""

    unsent: list[int]  # sent to no replica
    unacknowledged: list[int]  # sent to a replica that has not acknowledged them


class MergedOffer(NamedTuple):
    """The changes that an earlier holder's offer made to the partition."""

    ended: list[int]  # numbers of the messages that it finished
    changed: list[int]  # numbers of the messages that are new or changed here
    problem: str  # why some facts were not stored and must be offered again; empty: all were stored


def monotonic_time() -> int:
    """Microseconds of the boot clock, which also runs while the machine is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class ReplicatedStore(Store):
    """A `Store` that also replicates each change of a message through the log of its partition."""

    def __init__(
        self, *args: Any, ack_after_replication: bool = False, ack_timeout_us: int = 150_000, **options: Any
    ) -> None:
        """Create the store; other arguments are those of `Store`.

        Args:
            ack_after_replication: `flush` waits until all successors have acknowledged the records.
            ack_timeout_us: the longest such wait, in microseconds.
        """
        super().__init__(*args, **options)
        self.answers_wait_for_flush = self.answers_wait_for_flush or ack_after_replication
        self.ack_after_replication = ack_after_replication
        self.ack_timeout_us = ack_timeout_us
        self.leased_partitions: dict[int, LeasedPartition] = {}
        self.open_partition: LeasedPartition | None = None  # new messages are added to this one
        # Reserves a block of message numbers on disk.
        self.reserve_numbers: Callable[[LeasedPartition], None] = lambda _: None
        self.replication_progress = gevent.event.Event()  # set when a fact is appended or a replica answers
        self.on_replication_timeout: Callable[[LeasedPartition], None] = lambda _: None
        # Publishes an event: its kind, the message, and a number.
        self.on_event: Callable[[str, StoredMessage, int], None] = lambda *_: None
        # Writes the marks of moving messages to disk, before they take effect.
        self.write_move_marks: Callable[[dict[int, tuple[int, str]]], None] = lambda _: None
        # Messages with an attempt of this process in flight; their records may have been removed meanwhile.
        self.in_flight: dict[int, StoredMessage] = {}

    # ---- the lease ----

    def may_send_attempt(self, number: int) -> bool:
        """Whether the lease allows sending a message now; False also for a message of a moving session."""
        leased = self.leased_partitions.get(number >> 32)
        return (
            leased is not None
            and leased.serving
            and number not in self.migrating
            and leased.takeover.holder.is_valid(monotonic_time())
        )

    def term_of(self, number: int) -> int:
        """The newest term in which this sender has held or requested the message's partition; 0: none."""
        leased = self.leased_partitions.get(number >> 32)
        return leased.takeover.holder.term if leased is not None else 0

    def may_answer(self) -> bool:
        """Whether the leases of all partitions that the dispatcher serves are valid now."""
        now = monotonic_time()
        return all(each.takeover.holder.is_valid(now) for each in self.leased_partitions.values() if each.serving)

    def accepts_messages(self) -> bool:
        """Whether new messages can be accepted: the lease of the open partition is valid now."""
        partition = self.open_partition
        return partition is not None and partition.serving and partition.takeover.holder.is_valid(monotonic_time())

    def has_room(self, stored: StoredMessage) -> bool:
        """As `Store.has_room`; also False without a valid lease or if no reserved number is left."""
        if not self.accepts_messages() or not super().has_room(stored):
            return False
        assert self.open_partition is not None
        if self.next_number >= self.open_partition.reserved_upto:
            self.reserve_numbers(self.open_partition)
        return self.next_number < self.open_partition.reserved_upto

    def set_open_partition(self, leased: LeasedPartition, first: int) -> None:
        """Add new messages to this partition from now on; `first` is a message number that was never used."""
        self.open_partition = leased
        leased.reserved_upto = self.next_number = first
        self.reserve_numbers(leased)

    # ---- called by the dispatcher ----

    def add_message(self, stored: StoredMessage) -> None:
        """As `Store.add_message`; replicated."""
        super().add_message(stored)
        leased = self.leased_partitions[stored.number >> 32]
        self._replicate(leased, leased.ledger.note_message(stored, stored.body or b""))
        self.on_event("taken", stored, 0)

    def record_attempt(self, number: int, sent_at: int, zone: int) -> None:
        """As `Store.record_attempt`; replicated."""
        super().record_attempt(number, sent_at, zone)
        leased = self._partition_if_pending(number)
        if leased is not None:
            self._replicate(leased, leased.ledger.note_attempt(number, sent_at, zone))
        self.in_flight[number] = self.messages[number]
        self.on_event("shot", self.messages[number], zone)

    def record_outcome(self, number: int, outcome: Outcome) -> None:
        """As `Store.record_outcome`; replicated first."""
        stored, leased = self.messages.get(number), self._partition_if_pending(number)
        if stored is not None and stored.in_flight_since and leased is not None:
            # Before the store's own record, which already finishes a completed message.
            self._replicate(leased, leased.ledger.note_outcome(number, outcome.never_ran, outcome is Outcome.COMPLETED))
        # Looked up in `in_flight` too: the record may have been removed during the attempt (its client left, or another
        # sender has the partition by now), and nobody else would report the receiver's answer. Published before the
        # record is written, since a full store raises and writes the record later.
        sent = self.in_flight.pop(number, stored)
        if sent is not None:
            self.on_event(
                "completed" if outcome is Outcome.COMPLETED else "outcome", sent, list(Outcome).index(outcome)
            )
        super().record_outcome(number, outcome)

    def record_final_answer(self, number: int, rejected: bool, wait_ms: int) -> None:
        """As `Store.record_final_answer`; replicated first. `wait_ms`: the Retry-After wait in milliseconds."""
        leased = self._partition_if_pending(number)
        if leased is not None:
            self._replicate(leased, leased.ledger.note_final_answer(number, rejected, wait_ms))
        stored = self.messages.get(number)
        super().record_final_answer(number, rejected, wait_ms)
        if stored is not None:
            self.on_event("nacked" if rejected else "written-off", stored, wait_ms)

    def finish(self, number: int) -> None:
        """As `Store.finish`; replicated first."""
        leased = self._partition_if_pending(number)
        if leased is not None:
            self._replicate(leased, leased.ledger.note_finished(number))
        super().finish(number)

    def flush(self, call: Callable[..., object] | None = None) -> None:
        """As `Store.flush`; with `ack_after_replication`, also wait until every successor has all records so far.

        Raises `NotReplicatedError` if a successor lacks some after `ack_timeout_us`, or if the lease has run out.
        """
        if self.durable or not self.ack_after_replication:
            super().flush(call)
        if not self.ack_after_replication:
            return
        deadline = time.monotonic() + self.ack_timeout_us / 1e6
        for leased in [each for each in self.leased_partitions.values() if each.serving]:
            index = leased.log.next_index
            while leased.log.acked_by(self.successors_of(leased)) < index:
                if leased.is_stalled(monotonic_time()) or not self._wait_for_progress(deadline):
                    self.on_replication_timeout(leased)
                    raise NotReplicatedError(
                        f"partition {leased.partition}: "
                        f"{index - leased.log.acked_by(self.successors_of(leased))} records "
                        f"are not at {', '.join(sorted(self.successors_of(leased)))}"
                    )
            if not leased.unreplicated_since and not leased.is_stalled(monotonic_time()):
                # Under load the replicas always lag a little when the node checks. Without this reset a partition whose
                # replicas lagged once would be given up half a second later, with all its messages.
                leased.stalled_since = 0
            # The lease may have run out during the wait; a member that took over the partition lacks these records.
            if not leased.takeover.holder.is_valid(monotonic_time()):
                raise NotReplicatedError(f"partition {leased.partition}: its lease has run out")

    def successors_of(self, leased: LeasedPartition) -> frozenset[str]:
        """The members that must acknowledge a record before it counts as replicated."""
        return (leased.takeover.holder.possible_successors | leased.joining.keys()) - {leased.takeover.me}

    def _wait_for_progress(self, deadline: float) -> bool:
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            return False
        self.replication_progress.clear()
        self.replication_progress.wait(remaining)
        return True

    # ---- migrating sessions ----

    def stage_message(self, stored: StoredMessage, sequence: int, text: str) -> None:
        """Store a message of a session that moves here; it is inert from its first record on, here and at successors.

        The caller has already written the mark to disk (`write_move_marks`). Raises `NoSpaceError`.
        """
        leased = self.leased_partitions[stored.number >> 32]
        self.migrating[stored.number] = sequence, text
        super().add_message(stored)
        fact = leased.ledger.note_message(stored, stored.body or b"")
        # One fact for the message and its mark: a successor that got the message before the mark might send it.
        known = leased.ledger.note_move_mark(stored.number, sequence, text).known
        self._replicate(leased, Fact(stored.number, fact.base, known))

    def set_move_mark(self, number: int, sequence: int, text: str) -> None:
        """Make a message inert, or active again with an empty `text`; replicated to the successors."""
        if text:
            self.migrating[number] = sequence, text
        else:
            self.migrating.pop(number, None)
        leased = self._partition_if_pending(number)
        if leased is not None:
            self._replicate(leased, leased.ledger.note_move_mark(number, sequence, text))

    def replication_check(self, partitions: Iterable[int]) -> Callable[[], bool]:
        """Return a function that tells whether all successors have what the logs of these partitions contain now."""
        targets = {partition: self.leased_partitions[partition].log.next_index for partition in partitions}

        def is_replicated() -> bool:
            partitions_now = {partition: self.leased_partitions.get(partition) for partition in targets}
            return all(
                each is not None and each.serving and each.log.acked_by(self.successors_of(each)) >= targets[partition]
                for partition, each in partitions_now.items()
            )

        return is_replicated

    # ---- takeover and loss of partitions ----

    def message_numbers(self, partition: int) -> list[int]:
        """The numbers of a partition's messages in the store, in the order of admission."""
        return sorted(number for number in self.messages if number >> 32 == partition)

    def import_replica(
        self,
        leased: LeasedPartition,
        facts: Iterable[Fact],
        term: int,
        lost_since: int,
        unsent: Iterable[int] = (),
        unacknowledged: Iterable[int] = (),
        deadline_upto: int = 0,
    ) -> None:
        """Store what a replica knew of a partition, under a new term. After `NoSpaceError` messages that fit remain.

        Args:
            leased: the partition, which this member holds now.
            facts: what the replica knew.
            term: the new term of the lease.
            lost_since: wall microseconds since which updates may be missing; 0: none are.
            unsent: numbers that only this member has, of an earlier term that it could not offer (see `unreplicated`).
            unacknowledged: numbers of that term that may or may not have reached a replica.
            deadline_upto: wall microseconds; messages with a deadline up to this time end now.
        """
        imported = [with_records_lost(fact, lost_since) if lost_since else fact for fact in facts]
        # 'failed', since a holder that was cut off has answered late messages with that; 'returned' would be a second,
        # different end. Messages of a moving session get no end while they are inert: the migration decides their end.
        imported = [
            with_end(fact, EndRank.FAILED)
            if fact.base is not None
            and fact.base.deadline <= deadline_upto
            and fact.known.end[0] is EndRank.NONE
            and not (fact.known.move or (0, ""))[1]
            else fact
            for fact in imported
        ]
        imported_numbers = {fact.number for fact in imported}
        for number in self.message_numbers(leased.partition):  # held here before: what the replica lacks has finished
            if number in imported_numbers or number in unsent:
                leased.ledger.note_message(self.messages[number], b"")
            elif number in unacknowledged:
                # A holder in between may have ended it, and no member can be asked.
                if self.messages[number].final_answer is None:
                    super().record_final_answer(number, False, 0)
                leased.ledger.note_message(self.messages[number], b"")
            else:
                super().finish(number)
        changed = leased.ledger.adopt(imported, term)
        self._import_move_marks(changed)
        for fact in changed:
            self._import_change(fact, fact.number not in self.messages)

    def resume_ledger(self, leased: LeasedPartition, term: int) -> None:
        """Fill the ledger from the messages that are already in this store, under a new term."""
        if leased.ledger.term:
            leased.ledger.begin_term(term)
            return
        leased.ledger = FactLedger(term)
        for number in self.message_numbers(leased.partition):
            leased.ledger.note_message(self.messages[number], b"")
            if number in self.migrating:
                leased.ledger.note_move_mark(number, *self.migrating[number])

    def begin_log(self, leased: LeasedPartition, term: int) -> None:
        """Start a new replication log of the partition under a term."""
        leased.log = ReplicationLog(
            leased.partition,
            term,
            lambda number: leased.read_fact_for_member(self, number),
            sorted(leased.ledger.known),
        )
        leased.log.asynchronous = not self.ack_after_replication
        leased.log_started_at = monotonic_time()
        leased.sent_upto, leased.joining = 0, {}  # indexes are relative to the log

    def merge_offer(self, leased: LeasedPartition, facts: list[Fact], term: int) -> MergedOffer:
        """Join what an earlier holder of the partition knew into the ledger and the store.

        Args:
            leased: the partition, held here.
            facts: what the earlier holder knew.
            term: the newest term in which that member has held the partition.
        """
        from_direct_predecessor = leased.imported_from_term == term > 0
        previous = dict(leased.ledger.known)
        offered = {
            fact.number: fact
            for fact in facts
            if fact.number >> 32 == leased.partition
            # Messages that have finished here must not become pending again.
            and fact.number not in leased.ended_numbers
            and (fact.number in previous or fact.base is not None and not is_finished(fact.known))
        }
        changed: list[int] = []
        all_changed = leased.ledger.adopt(offered.values(), leased.ledger.term)
        ended = [number for number in offered if number not in leased.ledger.known]
        for number in ended:
            self._replicate(leased, Fact(number, None, offered[number].known))
            with suppress(NoSpaceError):  # it has finished; the store writes the record later
                super().finish(number)
        problem, remaining = "", all_changed
        try:
            self._import_move_marks(all_changed)
            for position, joined in enumerate(all_changed):
                remaining = all_changed[position:]
                if joined.known != previous.get(joined.number):
                    if joined.number not in previous and not from_direct_predecessor:
                        # Another member has held the partition in between and may have ended the message without
                        # this member's knowledge, so 'failed' is the only end that can be reported.
                        joined = with_end(joined, EndRank.FAILED)
                        leased.ledger.known[joined.number] = joined.known
                    self._import_change(joined, joined.number not in previous)
                    self._replicate(leased, joined)
                    changed.append(joined.number)
        except (OSError, NoSpaceError) as error:
            problem = str(error) or type(error).__name__
            # Revert the ledger: otherwise these facts would count as unchanged when they are offered again, and no
            # store or dispatcher would have them.
            for fact in remaining:
                if fact.number in previous:
                    leased.ledger.known[fact.number] = previous[fact.number]
                else:
                    leased.ledger.known.pop(fact.number, None)
        return MergedOffer(ended, changed, problem)

    def _import_move_marks(self, facts: Iterable[Fact]) -> None:
        """Write the marks of moves in progress to disk, before the messages themselves are stored."""
        moves = {fact.number: fact.known.move for fact in facts if fact.known.move is not None}
        if moves:
            marks = {number: each for number, each in self.migrating.items() if number not in moves}
            marks.update({number: each for number, each in moves.items() if each is not None and each[1]})
            if marks != self.migrating:
                self.write_move_marks(marks)
                self.migrating = marks

    def _import_change(self, fact: Fact, new: bool) -> None:
        """Update the store's record of an adopted message; raises `NoSpaceError` if a new message does not fit."""
        if new:
            super().add_message(stored_message_of(fact))
            return
        stored = self.messages[fact.number]
        if fact.known.first_may_have_run is not None and (
            not stored.may_have_run_at or fact.known.first_may_have_run[0] < stored.may_have_run_at
        ):
            with suppress(NoSpaceError):  # it is known from now on; the store writes the record later
                self.record_may_have_run(fact.number, *fact.known.first_may_have_run)
        if fact.known.end[0] is not EndRank.NONE and stored.final_answer is None:
            with suppress(NoSpaceError):
                super().record_final_answer(fact.number, fact.known.end[0] is EndRank.RETURNED, fact.known.end[1])

    def facts_to_offer(self, leased: LeasedPartition) -> list[Fact]:
        """All that this member knows of a partition it has lost: pending messages, and recent changes in the log."""
        facts: dict[int, Fact] = {}
        for logged in leased.log.window:
            for fact in decode_facts(encode_batch([logged.data])):
                facts[fact.number] = join_facts(facts[fact.number], fact) if fact.number in facts else fact
        for number in list(leased.ledger.known):
            pending_fact = leased.read_fact_for_member(self, number)
            if pending_fact is not None:
                facts[number] = join_facts(facts[number], pending_fact) if number in facts else pending_fact
        return [facts[number] for number in sorted(facts)]

    def unreplicated(self, leased: LeasedPartition) -> UnreplicatedMessages:
        """The pending messages of a lost partition that possibly no other member has."""
        if not leased.log.term:  # of an earlier process: it is unknown what that has sent
            return UnreplicatedMessages(
                [], [] if self.ack_after_replication else self.message_numbers(leased.partition)
            )
        acked = max((follower.acked_index for follower in leased.log.followers.values()), default=leased.sent_upto)
        result = UnreplicatedMessages([], [])
        first = max(0, min(leased.sent_upto, acked) - leased.log.oldest_index)
        for index, logged in enumerate(islice(leased.log.window, first, None), leased.log.oldest_index + first):
            for fact in decode_facts(encode_batch([logged.data])):
                if fact.base is not None and fact.number in leased.ledger.known and fact.number in self.messages:
                    (result.unsent if index >= leased.sent_upto else result.unacknowledged).append(fact.number)
        return result

    def renumber(self, numbers: Iterable[int], failed: bool = False) -> Iterator[int]:
        """Move messages that no other member has to the open partition; yields their new numbers.

        `failed`: they end as failed, since another member may have had them. A message whose body cannot be read also
        ends as failed. `NoSpaceError` may be raised after some of them have moved.
        """
        for number in numbers:
            old = self.messages[number]
            end, body = old.final_answer, b""
            if end is None:
                try:
                    end, body = ((False, 0), b"") if failed else (None, self.read_body(number))
                except BodyLostError:
                    end = False, 0
            new = replace(
                old,
                number=self.next_number,
                segment_number=0,
                body_offset=0,
                record_size=0,
                short_record_segments=[],
                body=body,
                final_answer=end,
            )
            if not self.has_room(new):
                raise NoSpaceError("a message cannot be added to the open partition")
            self.next_number += 1
            if number in self.migrating:
                self.write_move_marks(self.migrating | {new.number: self.migrating[number]})
                self.stage_message(new, *self.migrating[number])
                del self.migrating[number]  # only now: before `stage_message` it would activate the old number
            else:
                self.add_message(new)
            yield new.number
            super().finish(number)

    def remove_partition(self, partition: int) -> None:
        """Remove a partition that another member answers for; nothing is replicated or answered."""
        for number in self.message_numbers(partition):
            super().finish(number)
        self.leased_partitions.pop(partition, None)
        if self.open_partition is not None and self.open_partition.partition == partition:
            self.open_partition = None

    def _partition_if_pending(self, number: int) -> LeasedPartition | None:
        leased = self.leased_partitions.get(number >> 32)
        return leased if leased is not None and number in leased.ledger.known else None

    def _replicate(self, leased: LeasedPartition, fact: Fact) -> None:
        leased.log.append(fact, monotonic_time())
        if is_finished(fact.known) and leased.imported_from_term:
            leased.ended_numbers.add(fact.number)
        self.replication_progress.set()
