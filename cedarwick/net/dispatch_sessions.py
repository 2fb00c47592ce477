"""Stored messages that come to this sender or leave it: after restarts, with partitions, and with moved sessions.

A base class of `Dispatcher`; times are microseconds.
"""

from collections.abc import Sequence

from loguru import logger

from cedarwick.decisions.interface import UnfinishedMessage
from cedarwick.decisions.message_handle import Handle
from cedarwick.net.assignment import setting_index
from cedarwick.net.dispatch_state import DispatcherState, FrozenSession
from cedarwick.net.submission import AdmissionResult
from cedarwick.store.records import NOWHERE

PARTITION_SHIFT_BITS = 32  # a message number holds its partition above these bits, and counts up below them


class Sessions(DispatcherState):
    """Adopts, parks and freezes messages, and lets keys rest of which another sender has earlier messages."""

    def restore(self) -> None:
        """Take up what an earlier process of this sender left and it has the right to send; call once, at the start."""
        numbers = [number for number in sorted(self.store.messages) if self.store.may_fire(number)]
        if self.store.restarted:
            taken_up = self._take_up(numbers)
            logger.info("restarted with {} unfinished messages, {} notices", taken_up, len(self.notices.pending))

    def _take_up(self, numbers: Sequence[int], quietly: bool = False) -> int:
        """Give stored messages to the decisions, or post their final answer; returns how many were not ended."""
        unfinished = []
        for number in numbers:
            stored = self.store.messages[number]
            self.numbers[stored.id] = number
            if stored.end is None and stored.priority_class not in self.priority_classes:
                self.counters.warning(
                    "a message of a priority class that is no more goes once at most", stored.priority_class
                )
            if stored.end is not None:
                self.uncopied_ends.discard(number)
                self.notices.enqueue(number, stored.id, *stored.end)
                continue
            attempts = [attempt._replace(zone=self._place_of(attempt.zone)) for attempt in stored.earlier_attempts()]
            priority_class = self.priority_classes.get(stored.priority_class, len(self.sender.priority_classes) - 1)
            unfinished.append(
                UnfinishedMessage(
                    number,
                    stored.destination,
                    priority_class,
                    stored.deadline,
                    setting_index(self.tenants, stored.tenant),
                    stored.turn,
                    attempts,
                )
            )
        now = self.clock.now()
        if quietly and all(
            attempt.outcome is not None and attempt.outcome.never_ran
            for each in unfinished
            for attempt in each.attempts
        ):
            # Sessions arrive one by one, and each `restore` would make the keys of all others rest.
            for each in unfinished:
                handle = self.handles[each.message_id] = self.sender.accept(now, *each[:-1])
                handle.attempts = len(each.attempts)
            return len(unfinished)
        for each, handle in zip(unfinished, self.sender.restore(now, unfinished), strict=True):
            self.handles[each.message_id] = handle
        return len(unfinished)

    def _place_of(self, mark: int) -> int:
        """The index of a recorded zone mark in the settings; `NOWHERE` unless exactly one zone has it."""
        return self.zones.index(mark) if self.zones.count(mark) == 1 else NOWHERE

    def _adopt(self, numbers: list[int], quietly: bool = False) -> None:
        known = [
            number
            for number in numbers
            if number in self.store.messages
            and number not in self.handles
            and number not in self.store.inert
            and self.store.messages[number].turn not in self.frozen
        ]
        # An attempt from before the message was parked may still run; a second one must not run beside it.
        self.to_adopt.update(number for number in known if number in self.parked)
        taken_up = [number for number in known if number not in self.parked]
        self._take_up(taken_up, quietly)
        joined: dict[int, list[Handle]] = {}
        for handle in [self.handles[number] for number in taken_up if number in self.handles]:
            if handle.priority_class.ordered and handle.key:
                joined.setdefault(handle.key, []).append(handle)
        # Messages that come back together keep their order: they must not move ahead of one another.
        not_sent = self.not_sent.difference(taken_up)

        def before(one: Handle, other: Handle) -> bool:
            # A message whose attempt ran while its partition was parked comes back last: move it ahead of later ones.
            return (
                other.id in not_sent
                or other.id > one.id
                and other.id >> PARTITION_SHIFT_BITS == one.id >> PARTITION_SHIFT_BITS
            )

        for key, handles in joined.items():
            self.sender.order_key_queues.insert_in_order(key, handles, before)

    def _rest(self, keys: frozenset[int]) -> None:
        self.keys_elsewhere = keys
        self.not_sent &= self.handles.keys()
        for key in keys & self.sender.order_key_queues.queues.keys():
            self._let_rest(key)

    def _let_rest(self, key: int) -> None:
        self.not_sent.update(each.id for each in self.sender.pause_key(self.clock.now(), key))

    def _park(self, numbers: list[int]) -> None:
        now, given_up = self.clock.now(), set(numbers)
        self.numbers = {each: number for each, number in self.numbers.items() if number not in given_up}
        for number in numbers:
            self.to_adopt.discard(number)
            self.notices.pending.pop(number, None)
            submission = self.new_submissions.pop(number, None)
            if submission is not None:
                submission.answered(AdmissionResult.BUSY)
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
                # It is not stored yet; forget its id, so that the client can submit it again after the move.
                self.recent.pop(submission.message.id, None)
                submission.message.number = 0
                submission.answered(AdmissionResult.FROZEN)
        self._park(numbers)
        frozen.in_flight = {number for number, handle in self.parked.items() if handle.key == key}
        if not frozen.in_flight:
            frozen.still.set(True)

    def _cut(self, key: int) -> None:
        frozen = self.frozen.get(key)
        if frozen is not None and frozen.in_flight:
            self.attempts.cut(frozen.in_flight)

    def _thaw(self, key: int) -> None:
        self.frozen.pop(key, None)
