"""Stored messages that this sender takes on or gives up: after restarts, with partitions, and with sessions.

A base class of `Dispatcher`; times are microseconds.
"""

from collections.abc import Sequence

from loguru import logger

from cedarwick.decisions.interface import UnfinishedMessage
from cedarwick.decisions.message_handle import Handle
from cedarwick.net.assignment import setting_index
from cedarwick.net.dispatch_state import DispatcherState, FrozenSession
from cedarwick.net.submission import AdmissionResult
from cedarwick.store.records import UNKNOWN_ZONE

PARTITION_SHIFT_BITS = 32  # a message number is a partition, shifted by this, plus a count within the partition


class Sessions(DispatcherState):
    """Adopts, parks and freezes messages, and holds order keys of which another sender has earlier messages."""

    def restore(self) -> None:
        """Restore the messages of an earlier process for which this sender holds the lease; call once at the start."""
        now = self.clock.now()
        for message_id in self.store.recovered_ids:
            # When it was submitted is not recorded; the time of the start is never too early.
            self.recent_ids.add(message_id, now)
        self.store.recovered_ids.clear()
        numbers = [number for number in sorted(self.store.messages) if self.store.may_send_attempt(number)]
        if self.store.restarted:
            unfinished = self._restore_messages(numbers)
            logger.info("restarted with {} unfinished messages, {} notices", unfinished, len(self.notices.pending))

    def _restore_messages(self, numbers: Sequence[int], no_unrecorded_attempts: bool = False) -> int:
        """Pass stored messages to the decisions, or post their final answers; returns how many had none."""
        unfinished = []
        for number in numbers:
            stored = self.store.messages[number]
            self.numbers_by_id[stored.id] = number
            if stored.final_answer is None and stored.priority_class not in self.priority_classes:
                self.counters.warning(
                    "a message of a priority class that is no more goes once at most", stored.priority_class
                )
            if stored.final_answer is not None:
                self.uncopied_ends.discard(number)
                self.notices.enqueue(number, stored.id, *stored.final_answer)
                continue
            attempts = [attempt._replace(zone=self._zone_index(attempt.zone)) for attempt in stored.earlier_attempts()]
            priority_class = self.priority_classes.get(stored.priority_class, len(self.sender.priority_classes) - 1)
            unfinished.append(
                UnfinishedMessage(
                    number,
                    stored.destination,
                    priority_class,
                    stored.deadline,
                    setting_index(self.tenants, stored.tenant),
                    stored.order_key,
                    attempts,
                )
            )
        now = self.clock.now()
        if no_unrecorded_attempts and all(
            attempt.outcome is not None and attempt.outcome.never_ran
            for each in unfinished
            for attempt in each.attempts
        ):
            # Sessions arrive one by one, and each call of `restore` would hold the keys of all others.
            for each in unfinished:
                handle = self.handles[each.message_id] = self.sender.accept(now, *each[:-1])
                handle.attempts = len(each.attempts)
            return len(unfinished)
        for each, handle in zip(unfinished, self.sender.restore(now, unfinished), strict=True):
            self.handles[each.message_id] = handle
        return len(unfinished)

    def _zone_index(self, mark: int) -> int:
        """The index in the settings of the zone with this recorded mark; `UNKNOWN_ZONE` unless exactly one has it."""
        return self.zones.index(mark) if self.zones.count(mark) == 1 else UNKNOWN_ZONE

    def _adopt(self, numbers: list[int], no_unrecorded_attempts: bool = False) -> None:
        adoptable = [
            number
            for number in numbers
            if number in self.store.messages
            and number not in self.handles
            and number not in self.store.migrating
            and self.store.messages[number].order_key not in self.frozen
        ]
        # An attempt made before the message was parked may still be running; no second one may run at the same time.
        self.to_adopt.update(number for number in adoptable if number in self.parked)
        adopted = [number for number in adoptable if number not in self.parked]
        self._restore_messages(adopted, no_unrecorded_attempts)
        handles_by_key: dict[int, list[Handle]] = {}
        for handle in [self.handles[number] for number in adopted if number in self.handles]:
            if handle.priority_class.ordered and handle.key:
                handles_by_key.setdefault(handle.key, []).append(handle)
        # Messages that are adopted together keep their order among each other.
        held_by_key = self.held_by_key.difference(adopted)

        def goes_before(one: Handle, other: Handle) -> bool:
            # A message whose attempt ran while its partition was parked is adopted last; move it before later ones.
            return (
                other.id in held_by_key
                or other.id > one.id
                and other.id >> PARTITION_SHIFT_BITS == one.id >> PARTITION_SHIFT_BITS
            )

        for key, handles in handles_by_key.items():
            self.sender.order_key_queues.insert_in_order(key, handles, goes_before)

    def _hold_keys(self, keys: frozenset[int]) -> None:
        self.keys_elsewhere = keys
        self.held_by_key &= self.handles.keys()
        for key in keys & self.sender.order_key_queues.queues.keys():
            self._hold_key(key)

    def _hold_key(self, key: int) -> None:
        self.held_by_key.update(each.id for each in self.sender.pause_key(self.clock.now(), key))

    def _park(self, numbers: list[int]) -> None:
        now, to_park = self.clock.now(), set(numbers)
        self.numbers_by_id = {each: number for each, number in self.numbers_by_id.items() if number not in to_park}
        for number in numbers:
            self.to_adopt.discard(number)
            self.notices.pending.pop(number, None)
            submission = self.new_submissions.pop(number, None)
            if submission is not None:
                submission.set_answer(AdmissionResult.BUSY)
            handle = self.handles.pop(number, None)
            if handle is not None:
                self._trace_parked(number, handle.in_flight)
                handle.withdrawn(now)
                if handle.in_flight:
                    self.parked[number] = handle

    def _freeze(self, key: int, frozen: "FrozenSession") -> None:
        self.frozen[key] = frozen
        numbers = [number for number, handle in self.handles.items() if handle.key == key]
        for number in numbers:
            submission = self.new_submissions.pop(number, None)
            if submission is not None:
                # It is not stored yet. Its id is removed, so that the client can submit it again after the migration.
                self.recent_ids.discard(submission.message.id)
                submission.message.number = 0
                submission.set_answer(AdmissionResult.FROZEN)
        self._park(numbers)
        frozen.in_flight = {number for number, handle in self.parked.items() if handle.key == key}
        if not frozen.in_flight:
            frozen.attempts_ended.set(True)

    def _abort_attempts(self, key: int) -> None:
        frozen = self.frozen.get(key)
        if frozen is not None and frozen.in_flight:
            self.attempts.abort(frozen.in_flight)

    def _unfreeze(self, key: int) -> None:
        self.frozen.pop(key, None)
