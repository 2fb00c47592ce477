"""Attempts in the dispatcher: their clearance, the record written before they go, and their results.

A base class of `Dispatcher`; times are microseconds.
"""

import gevent.event

from cedarwick.decisions.interface import Outcome
from cedarwick.decisions.message_handle import Handle
from cedarwick.net.attempts import AttemptCall, AttemptResult
from cedarwick.net.dispatch_sessions import Sessions
from cedarwick.net.message_trace import HeldTrace
from cedarwick.store.bodies import BodyLostError
from cedarwick.store.records import NOWHERE


class Attempts(Sessions):
    """Clears attempts as they start, and passes their results to the decisions."""

    def _request_clearance(self, call: AttemptCall, answer: gevent.event.AsyncResult) -> None:
        self.clearance_requests.append((call, answer))

    def _clear(self, call: AttemptCall, answer: gevent.event.AsyncResult) -> None:
        call.polled_at = self.polled.last_poll_at
        now, number = self.clock.now(), call.message.number
        handle = self.handles.get(number)
        may = free = handle is not None and handle.may_start(now, call.receiver) and not self.holding_fire
        may = may and self.store.may_fire(number)
        call.send_by = handle.send_by() if handle is not None else 0
        if may and number in self.store.messages and not call.recorded:
            zone = self.sender.receivers[call.receiver].zone
            mark = self.zones[zone] if zone < len(self.zones) else NOWHERE
            may = self._with_body(call)
            may = call.recorded = may and self._recorded(
                "the record of an attempt", self.store.attempt, number, now, mark
            )
        if not may:
            answer.set(False)
            # Refused by the decisions: it does not count as an attempt. Refused by the store or for want of the right
            # to send: it counts, or it would be ordered again at once, for ever.
            self._attempt_ended(call, AttemptResult(Outcome.MOOT, not_sent=not free))
        elif self.store.awaited and not call.flushed:
            call.flushed = True
            self.after_flush.append((lambda: answer.set(True), lambda: self._held_back(call, answer)))
        else:
            answer.set(True)

    def _with_body(self, call: AttemptCall) -> bool:
        """Read the body back, which may be in the store only; returns whether that succeeded."""
        try:
            call.body = self.store.body(call.message.number)
        except BodyLostError as error:
            self.counters.warning("a body cannot be read back", error)
            return False
        return True

    def _held_back(self, call: AttemptCall, answer: gevent.event.AsyncResult) -> None:
        answer.set(False)
        self._attempt_ended(call, AttemptResult(Outcome.MOOT))

    def _report_outcome(self, handle: Handle, call: AttemptCall, ending: AttemptResult) -> None:
        """Tell the decisions how an attempt of this message has ended."""
        handle.attempt_ended(
            self.clock.now(),
            ending.outcome,
            call.attempt,
            call.receiver,
            ending.took,
            ending.retry_after,
            ending.last,
            ending.report,
            ending.reused_connection,
        )

    def _completed_late(self, call: AttemptCall) -> None:
        """Deliver a message whose good answer came after the time-out of its attempt, unless it has its end by now.

        Without a handle its end is decided, or another sender may have it; then nothing is changed here.
        """
        number = call.message.number
        handle = self.handles.get(number)
        if handle is None or handle.ended or number not in self.store.messages:
            return
        self.counters.add("messages delivered by a late answer")
        self.counters.figures.passed[call.message.priority_class] += 1
        self._trace_end(call.message, "delivered", "late answer")
        self._end_unanswered(call.message)

    def _attempt_ended(self, call: AttemptCall, ending: AttemptResult) -> None:
        number = call.message.number
        if call.recorded:
            self._recorded("the record of an outcome", self.store.outcome, number, ending.outcome)
        handle = self.handles.get(number)
        if handle is None and (parked := self.parked.pop(number, None)) is not None:
            self._report_outcome(parked, call, ending)
            frozen = self.frozen.get(call.message.turn)
            if frozen is not None:
                frozen.in_flight.discard(number)
                if not frozen.in_flight and not frozen.still.ready():
                    frozen.still.set(True)
            if number in self.to_adopt:
                self.to_adopt.discard(number)
                self._adopt([number])
        if handle is None:
            return
        self._report_outcome(handle, call, ending)
        if ending.not_sent:
            handle.attempt_not_sent()
        if handle.ended:
            self.counters.add(f"messages over: {ending.outcome.value}")
            if ending.outcome is Outcome.COMPLETED:
                self.counters.figures.passed[call.message.priority_class] += 1
                self._trace_end(call.message, "delivered", "completed")
            del self.handles[number]
            self._over(call.message)
        elif self.counters.trace.enabled:
            held = HeldTrace(
                call.message.id, number, handle.attempts, ending.outcome.value, handle.not_before, self.clock.now()
            )
            self.counters.trace.add(held)
