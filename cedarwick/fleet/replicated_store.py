"""The message store of a sender in a fleet: every change is also appended to a replication log.

The dispatcher uses `ReplicatedStore` like a plain `Store`. In addition it has a `LeasedPartition` (ledger of facts and
replication log) for each partition that this sender holds, and says whether the partition's lease allows it to send.
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

NUMBERS_PER_RESERVATION = 1 << 16  # numbers that are reserved at once: so many are skipped at a restart


class NotReplicatedError(CedarwickError, OSError):
    """No replica has taken a record in time."""

    code = "CW741"
    remedy = "look at the members that have the copies, and at the network to them; `fleet.alone` says what follows"


class UnreplicatedMessages(NamedTuple):
    """Numbers of owed messages of a lost partition that no other member may have."""

    unsent: list[int]  # sent to no replica
    unacknowledged: list[int]  # sent to a replica that may have received them or not


class MergedOffer(NamedTuple):
    """What the offer of an earlier holder changed in the partition."""

    ended: list[int]  # numbers of messages that are over by it
    changed: list[int]  # numbers of those that are new or changed here
    problem: str  # why some facts could not be stored and must be offered again; empty: all were stored


def monotonic_time() -> int:
    """Whole microseconds of the clock that goes on while the machine sleeps."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class ReplicatedStore(Store):
    """A `Store` that also replicates each change of a message through the log of the message's partition."""

    def __init__(
        self, *args: Any, ack_after_replication: bool = False, ack_timeout_us: int = 150_000, **more: Any
    ) -> None:
        """Create it as a `Store`.

        Args:
            ack_after_replication: `flush` waits until all successors have acknowledged the records.
            ack_timeout_us: the longest such wait, in microseconds.
        """
        super().__init__(*args, **more)
        self.answers_wait_for_flush = self.answers_wait_for_flush or ack_after_replication
        self.ack_after_replication = ack_after_replication
        self.ack_timeout_us = ack_timeout_us
        self.leased_partitions: dict[int, LeasedPartition] = {}
        self.open_partition: LeasedPartition | None = None  # new messages are taken in this one
        # Writes the reservation of a block of numbers to the disk.
        self.reserve_numbers: Callable[[LeasedPartition], None] = lambda _: None
        self.replication_progress = gevent.event.Event()  # set when a fact is appended or a replica answers
        self.on_replication_timeout: Callable[[LeasedPartition], None] = lambda _: None
        self.on_event: Callable[[str, StoredMessage, int], None] = lambda *_: None  # events: kind, message, a figure
        # Writes the marks of moving messages, before they count.
        self.write_move_marks: Callable[[dict[int, tuple[int, str]]], None] = lambda _: None
        # Messages with an attempt of this process out; the record may have gone meanwhile.
        self.in_flight: dict[int, StoredMessage] = {}

    # ---- the lease ----

    def may_send_attempt(self, number: int) -> bool:
        """Whether the lease allows this sender to send a message now; False also for a message of a moving session."""
        holding = self.leased_partitions.get(number >> 32)
        return (
            holding is not None
            and holding.serving
            and number not in self.migrating
            and holding.adoption.holder.is_valid(monotonic_time())
        )

    def term_of(self, number: int) -> int:
        """The newest term in which this sender has held, or asked for, the message's partition; 0: none."""
        holding = self.leased_partitions.get(number >> 32)
        return holding.adoption.holder.term if holding is not None else 0

    def may_answer(self) -> bool:
        """Whether the leases of all partitions that the dispatcher serves are valid now."""
        now = monotonic_time()
        return all(each.adoption.holder.is_valid(now) for each in self.leased_partitions.values() if each.serving)

    def accepts_messages(self) -> bool:
        """Whether new messages can be taken: the lease of the open partition is valid now."""
        current = self.open_partition
        return current is not None and current.serving and current.adoption.holder.is_valid(monotonic_time())

    def has_room(self, stored: StoredMessage) -> bool:
        """As `Store.has_room`; also False without a valid lease, or while no reserved number is left."""
        if not self.accepts_messages() or not super().has_room(stored):
            return False
        assert self.open_partition is not None
        if self.next_number >= self.open_partition.reserved_upto:
            self.reserve_numbers(self.open_partition)
        return self.next_number < self.open_partition.reserved_upto

    def set_open_partition(self, holding: LeasedPartition, first: int) -> None:
        """Take new messages in this partition from now on; `first` is a number that was never given."""
        self.open_partition = holding
        holding.reserved_upto = self.next_number = first
        self.reserve_numbers(holding)

    # ---- called by the dispatcher ----

    def add_message(self, stored: StoredMessage) -> None:
        """As `Store.add_message`; replicated."""
        super().add_message(stored)
        holding = self.leased_partitions[stored.number >> 32]
        self._replicate(holding, holding.ledger.note_message(stored, stored.body or b""))
        self.on_event("taken", stored, 0)

    def record_attempt(self, number: int, sent_at: int, zone: int) -> None:
        """As `Store.record_attempt`; replicated."""
        super().record_attempt(number, sent_at, zone)
        holding = self._owed_in(number)
        if holding is not None:
            self._replicate(holding, holding.ledger.note_attempt(number, sent_at, zone))
        self.in_flight[number] = self.messages[number]
        self.on_event("shot", self.messages[number], zone)

    def record_outcome(self, number: int, outcome: Outcome) -> None:
        """As `Store.record_outcome`; replicated first."""
        stored, holding = self.messages.get(number), self._owed_in(number)
        if stored is not None and stored.in_flight_since and holding is not None:
            # Before the store's own record: after it a completed message would already be over, like any other end.
            self._replicate(
                holding, holding.ledger.note_outcome(number, outcome.never_ran, outcome is Outcome.COMPLETED)
            )
        # Looked up in `out` too: the record may have gone while the attempt was out (its client left, or another sender
        # has the partition by now), and nobody else would report the receiver's answer. Reported before the record is
        # written, since a full store raises and writes the record later.
        sent = self.in_flight.pop(number, stored)
        if sent is not None:
            self.on_event(
                "completed" if outcome is Outcome.COMPLETED else "outcome", sent, list(Outcome).index(outcome)
            )
        super().record_outcome(number, outcome)

    def record_final_answer(self, number: int, rejected: bool, wait_ms: int) -> None:
        """As `Store.record_final_answer`; replicated first. `wait_ms`: milliseconds."""
        holding = self._owed_in(number)
        if holding is not None:
            self._replicate(holding, holding.ledger.note_final_answer(number, rejected, wait_ms))
        stored = self.messages.get(number)
        super().record_final_answer(number, rejected, wait_ms)
        if stored is not None:
            self.on_event("nacked" if rejected else "written-off", stored, wait_ms)

    def finish(self, number: int) -> None:
        """As `Store.finish`; replicated first."""
        holding = self._owed_in(number)
        if holding is not None:
            self._replicate(holding, holding.ledger.note_finished(number))
        super().finish(number)

    def flush(self, call: Callable[..., object] | None = None) -> None:
        """As `Store.flush`; with `ack_after_replication`, also wait until every successor has all records so far.

        Raises `NotReplicatedError` if one has not within `ack_timeout_us`, or if the lease ran out meanwhile.
        """
        if self.durable or not self.ack_after_replication:
            super().flush(call)
        if not self.ack_after_replication:
            return
        until = time.monotonic() + self.ack_timeout_us / 1e6
        for holding in [each for each in self.leased_partitions.values() if each.serving]:
            index = holding.log.next_index
            while holding.log.acked_by(self.successors_of(holding)) < index:
                if holding.is_starving(monotonic_time()) or not self._wait_for_progress(until):
                    self.on_replication_timeout(holding)
                    raise NotReplicatedError(
                        f"partition {holding.partition}: "
                        f"{index - holding.log.acked_by(self.successors_of(holding))} records "
                        f"are not at {', '.join(sorted(self.successors_of(holding)))}"
                    )
            if not holding.alone_since and not holding.is_starving(monotonic_time()):
                # Under load the replicas are always a little behind when the node looks. Without this reset a partition
                # that starved once would be given up half a second later, with all its messages.
                holding.starved_at = 0
            # The lease may have run out during the wait; who has adopted the partition meanwhile lacks these records.
            if not holding.adoption.holder.is_valid(monotonic_time()):
                raise NotReplicatedError(f"partition {holding.partition}: its lease has run out")

    def successors_of(self, holding: LeasedPartition) -> frozenset[str]:
        """The members that must have a record before it counts as replicated."""
        return (holding.adoption.holder.possible_successors | holding.joining.keys()) - {holding.adoption.me}

    def _wait_for_progress(self, until: float) -> bool:
        left = until - time.monotonic()
        if left <= 0:
            return False
        self.replication_progress.clear()
        self.replication_progress.wait(left)
        return True

    # ---- sessions that move ----

    def stage_message(self, stored: StoredMessage, sequence: int, text: str) -> None:
        """Store a message of a session that moves here: inert from its first record on, here and at every successor.

        The caller has already written the mark to disk (`write_move_marks`). Raises `NoSpaceError`.
        """
        holding = self.leased_partitions[stored.number >> 32]
        self.migrating[stored.number] = sequence, text
        super().add_message(stored)
        fact = holding.ledger.note_message(stored, stored.body or b"")
        # One fact for message and mark: a successor that learns of the message before its mark might send it.
        known = holding.ledger.note_move_mark(stored.number, sequence, text).known
        self._replicate(holding, Fact(stored.number, fact.base, known))

    def set_move_mark(self, number: int, sequence: int, text: str) -> None:
        """Make a message inert, or with an empty `text` end that; replicated to the successors."""
        if text:
            self.migrating[number] = sequence, text
        else:
            self.migrating.pop(number, None)
        holding = self._owed_in(number)
        if holding is not None:
            self._replicate(holding, holding.ledger.note_move_mark(number, sequence, text))

    def replication_check(self, partitions: Iterable[int]) -> Callable[[], bool]:
        """Return a check: whether all successors of these partitions have what is in the logs at this moment."""
        upto = {partition: self.leased_partitions[partition].log.next_index for partition in partitions}

        def now() -> bool:
            held = {partition: self.leased_partitions.get(partition) for partition in upto}
            return all(
                each is not None and each.serving and each.log.acked_by(self.successors_of(each)) >= upto[partition]
                for partition, each in held.items()
            )

        return now

    # ---- partitions that come and go ----

    def message_numbers(self, partition: int) -> list[int]:
        """The numbers of a partition's messages in the store, in the order in which they were taken."""
        return sorted(number for number in self.messages if number >> 32 == partition)

    def import_replica(
        self,
        holding: LeasedPartition,
        facts: Iterable[Fact],
        term: int,
        doubt_at: int,
        unsent: Iterable[int] = (),
        unacknowledged: Iterable[int] = (),
        ends_upto: int = 0,
    ) -> None:
        """Store what a replica knew of a partition, under a new term. After `NoSpaceError` what fitted stays.

        Args:
            holding: the partition, now held here.
            facts: what the replica knew.
            term: the new term of the lease.
            doubt_at: wall microseconds from which on updates may be missing; 0: none are.
            unsent: numbers only this member has, from an earlier term that it could not offer (see `unreplicated`).
            unacknowledged: numbers that may or may not have reached a replica then.
            ends_upto: wall microseconds; messages whose deadline is not after it end now.
        """
        marked = [with_records_lost(fact, doubt_at) if doubt_at else fact for fact in facts]
        # 'failed', since a holder that was cut off has answered late messages so; 'returned' would be a second,
        # different end. Messages on the move get no end while they are inert: the rules of the move answer them.
        marked = [
            with_end(fact, EndRank.FAILED)
            if fact.base is not None
            and fact.base.deadline <= ends_upto
            and fact.known.end[0] is EndRank.NONE
            and not (fact.known.move or (0, ""))[1]
            else fact
            for fact in marked
        ]
        listed = {fact.number for fact in marked}
        for number in self.message_numbers(holding.partition):  # held here before: what the replica lacks is over
            if number in listed or number in unsent:
                holding.ledger.note_message(self.messages[number], b"")
            elif number in unacknowledged:
                # A holder in between may have ended it, and nobody can be asked.
                if self.messages[number].final_answer is None:
                    super().record_final_answer(number, False, 0)
                holding.ledger.note_message(self.messages[number], b"")
            else:
                super().finish(number)
        changed = holding.ledger.adopt(marked, term)
        self._import_move_marks(changed)
        for fact in changed:
            self._import_change(fact, fact.number not in self.messages)

    def resume_ledger(self, holding: LeasedPartition, term: int) -> None:
        """Fill the ledger from the messages that are already in this store, under a new term."""
        if holding.ledger.term:
            holding.ledger.begin_term(term)
            return
        holding.ledger = FactLedger(term)
        for number in self.message_numbers(holding.partition):
            holding.ledger.note_message(self.messages[number], b"")
            if number in self.migrating:
                holding.ledger.note_move_mark(number, *self.migrating[number])

    def begin_log(self, holding: LeasedPartition, term: int) -> None:
        """Start a new replication log for the partition under a term."""
        holding.log = ReplicationLog(
            holding.partition, term, lambda number: holding.read_for_member(self, number), sorted(holding.ledger.known)
        )
        holding.log.asynchronous = not self.ack_after_replication
        holding.log_started_at = monotonic_time()
        holding.sent_upto, holding.joining = 0, {}  # an index is one of its log

    def merge_offer(self, holding: LeasedPartition, facts: list[Fact], term: int) -> MergedOffer:
        """Join what an earlier holder of the partition knew.

        Args:
            holding: the partition, held here.
            facts: what the earlier holder knew.
            term: the newest term in which that member has held the partition.
        """
        from_direct_predecessor = holding.imported_from_term == term > 0
        before = dict(holding.ledger.known)
        listed = {
            fact.number: fact
            for fact in facts
            if fact.number >> 32 == holding.partition
            # What has ended here must not come back as owed.
            and fact.number not in holding.ended_numbers
            and (fact.number in before or fact.base is not None and not is_finished(fact.known))
        }
        changed: list[int] = []
        all_changed = holding.ledger.adopt(listed.values(), holding.ledger.term)
        ended = [number for number in listed if number not in holding.ledger.known]
        for number in ended:
            self._replicate(holding, Fact(number, None, listed[number].known))
            with suppress(NoSpaceError):  # it is over; the record of that is owed
                super().finish(number)
        problem, left = "", all_changed
        try:
            self._import_move_marks(all_changed)
            for place, joined in enumerate(all_changed):
                left = all_changed[place:]
                if joined.known != before.get(joined.number):
                    if joined.number not in before and not from_direct_predecessor:
                        # Another member has held the partition between the two and may have ended the message
                        # without a trace here, so no end other than 'failed' can be claimed.
                        joined = with_end(joined, EndRank.FAILED)
                        holding.ledger.known[joined.number] = joined.known
                    self._import_change(joined, joined.number not in before)
                    self._replicate(holding, joined)
                    changed.append(joined.number)
        except (OSError, NoSpaceError) as error:
            problem = str(error) or type(error).__name__
            # Undone in the ledger: otherwise these facts would count as unchanged when they are offered again, and
            # would be in no store and at no dispatcher.
            for fact in left:
                if fact.number in before:
                    holding.ledger.known[fact.number] = before[fact.number]
                else:
                    holding.ledger.known.pop(fact.number, None)
        return MergedOffer(ended, changed, problem)

    def _import_move_marks(self, facts: Iterable[Fact]) -> None:
        """Write the marks of moves under way, before the messages themselves are stored."""
        moves = {fact.number: fact.known.move for fact in facts if fact.known.move is not None}
        if moves:
            marks = {number: each for number, each in self.migrating.items() if number not in moves}
            marks.update({number: each for number, each in moves.items() if each is not None and each[1]})
            if marks != self.migrating:
                self.write_move_marks(marks)
                self.migrating = marks

    def _import_change(self, fact: Fact, new: bool) -> None:
        """Bring the store's record of an adopted message up to date; raises `NoSpaceError` for a new one."""
        if new:
            super().add_message(stored_message_of(fact))
            return
        stored = self.messages[fact.number]
        if fact.known.first_may_have_run is not None and (
            not stored.may_have_run_at or fact.known.first_may_have_run[0] < stored.may_have_run_at
        ):
            with suppress(NoSpaceError):  # it is known from here on, and its record is owed
                self.record_may_have_run(fact.number, *fact.known.first_may_have_run)
        if fact.known.end[0] is not EndRank.NONE and stored.final_answer is None:
            with suppress(NoSpaceError):
                super().record_final_answer(fact.number, fact.known.end[0] is EndRank.RETURNED, fact.known.end[1])

    def facts_to_offer(self, holding: LeasedPartition) -> list[Fact]:
        """All that this member knows of a partition it has lost: owed messages, and recent changes in the log."""
        facts: dict[int, Fact] = {}
        for logged in holding.log.window:
            for fact in decode_facts(encode_batch([logged.data])):
                facts[fact.number] = join_facts(facts[fact.number], fact) if fact.number in facts else fact
        for number in list(holding.ledger.known):
            owed = holding.read_for_member(self, number)
            if owed is not None:
                facts[number] = join_facts(facts[number], owed) if number in facts else owed
        return [facts[number] for number in sorted(facts)]

    def unreplicated(self, holding: LeasedPartition) -> UnreplicatedMessages:
        """The owed messages of a lost partition that no other member may have."""
        if not holding.log.term:  # of an earlier process: nobody knows what that has sent
            return UnreplicatedMessages(
                [], [] if self.ack_after_replication else self.message_numbers(holding.partition)
            )
        acked = max((follower.acked_index for follower in holding.log.followers.values()), default=holding.sent_upto)
        found = UnreplicatedMessages([], [])
        first = max(0, min(holding.sent_upto, acked) - holding.log.oldest_index)
        for index, logged in enumerate(islice(holding.log.window, first, None), holding.log.oldest_index + first):
            for fact in decode_facts(encode_batch([logged.data])):
                if fact.base is not None and fact.number in holding.ledger.known and fact.number in self.messages:
                    (found.unsent if index >= holding.sent_upto else found.unacknowledged).append(fact.number)
        return found

    def renumber(self, numbers: Iterable[int], failed: bool = False) -> Iterator[int]:
        """Move messages that nobody else has to the open partition; yields their new numbers.

        `failed`: they end as failed, since another member may have had them. So does a message whose body cannot be
        read. `NoSpaceError` may be raised after some of them have moved.
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
                raise NoSpaceError("a message cannot be taken over into the open partition")
            self.next_number += 1
            if number in self.migrating:
                self.write_move_marks(self.migrating | {new.number: self.migrating[number]})
                self.stage_message(new, *self.migrating[number])
                del self.migrating[number]  # only now: before `stage_message` the old number would be live
            else:
                self.add_message(new)
            yield new.number
            super().finish(number)

    def remove_partition(self, partition: int) -> None:
        """Remove a partition that another member answers for from this store; nothing is replicated or answered."""
        for number in self.message_numbers(partition):
            super().finish(number)
        self.leased_partitions.pop(partition, None)
        if self.open_partition is not None and self.open_partition.partition == partition:
            self.open_partition = None

    def _owed_in(self, number: int) -> LeasedPartition | None:
        holding = self.leased_partitions.get(number >> 32)
        return holding if holding is not None and number in holding.ledger.known else None

    def _replicate(self, holding: LeasedPartition, fact: Fact) -> None:
        holding.log.append(fact, monotonic_time())
        if is_finished(fact.known) and holding.imported_from_term:
            holding.ended_numbers.add(fact.number)
        self.replication_progress.set()
