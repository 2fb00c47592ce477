"""Attempts in the dispatcher: their clearance, the record written before they are sent, and their results.

A base class of `Dispatcher`; times are microseconds.
"""

import gevent.event

from cedarwick.decisions.interface import Outcome
from cedarwick.decisions.message_handle import Handle
from cedarwick.net.attempts import AttemptCall, AttemptResult
from cedarwick.net.dispatch_sessions import Sessions
from cedarwick.net.message_trace import HeldTrace
from cedarwick.store.bodies import BodyLostError
from cedarwick.store.records import UNKNOWN_ZONE


class Attempts(Sessions):
    """Gives attempts their clearance and passes their results to the decisions."""

    def _request_clearance(self, call: AttemptCall, answer: gevent.event.AsyncResult) -> None:
        self.clearance_requests.append((call, answer))

    def _decide_clearance(self, call: AttemptCall, answer: gevent.event.AsyncResult) -> None:
        call.polled_at = self.poll_clock.last_poll_at
        now, number = self.clock.now(), call.message.number
        handle = self.handles.get(number)
        may_send = startable = handle is not None and handle.may_start(now, call.receiver) and not self.attempts_stopped
        may_send = may_send and self.store.may_send_attempt(number)
        call.send_by = handle.send_by() if handle is not None else 0
        if may_send and number in self.store.messages and not call.recorded:
            zone = self.sender.receivers[call.receiver].zone
            mark = self.zones[zone] if zone < len(self.zones) else UNKNOWN_ZONE
            may_send = self._load_body(call)
            may_send = call.recorded = may_send and self._write_record(
                "the record of an attempt", self.store.record_attempt, number, now, mark
            )
        if not may_send:
            answer.set(False)
            # If the decisions refused it, it does not count as an attempt. If the store did, or the lease was lost, it
            # counts; otherwise it would be ordered again at once, over and over.
            self._attempt_ended(call, AttemptResult(Outcome.MOOT, not_sent=not startable))
        elif self.store.answers_wait_for_flush and not call.flushed:
            call.flushed = True
            self.after_flush.append((lambda: answer.set(True), lambda: self._deny_unflushed(call, answer)))
        else:
            answer.set(True)

    def _load_body(self, call: AttemptCall) -> bool:
        """Load the body, which may be only in the store; returns whether that succeeded."""
        try:
            call.body = self.store.read_body(call.message.number)
        except BodyLostError as error:
            self.counters.warning("a body cannot be read back", error)
            return False
        return True

    def _deny_unflushed(self, call: AttemptCall, answer: gevent.event.AsyncResult) -> None:
        answer.set(False)
        self._attempt_ended(call, AttemptResult(Outcome.MOOT))

    def _report_outcome(self, handle: Handle, call: AttemptCall, result: AttemptResult) -> None:
        """Report the result of an attempt to the decisions."""
        handle.attempt_ended(
            self.clock.now(),
            result.outcome,
            call.attempt,
            call.receiver,
            result.took,
            result.retry_after,
            result.last,
            result.report,
            result.reused_connection,
        )

    def _completed_late(self, call: AttemptCall) -> None:
        """Complete a message whose 200 was read after the time-out of its attempt, unless it has ended since.

        Without a handle its final answer is decided, or another sender may hold it; then nothing changes here.
        """
        number = call.message.number
        handle = self.handles.get(number)
        if handle is None or handle.ended or number not in self.store.messages:
            return
        self.counters.add("messages delivered by a late answer")
        self.counters.metrics.passed[call.message.priority_class] += 1
        self._trace_end(call.message, "delivered", "late answer")
        self._end_without_notice(call.message)

    def _attempt_ended(self, call: AttemptCall, result: AttemptResult) -> None:
        number = call.message.number
        if call.recorded:
            self._write_record("the record of an outcome", self.store.record_outcome, number, result.outcome)
        handle = self.handles.get(number)
        if handle is None and (parked := self.parked.pop(number, None)) is not None:
            self._report_outcome(parked, call, result)
            frozen = self.frozen.get(call.message.order_key)
            if frozen is not None:
                frozen.in_flight.discard(number)
                if not frozen.in_flight and not frozen.attempts_ended.ready():
                    frozen.attempts_ended.set(True)
            if number in self.to_adopt:
                self.to_adopt.discard(number)
                self._adopt([number])
        if handle is None:
            return
        self._report_outcome(handle, call, result)
        if result.not_sent:
            handle.attempt_not_sent()
        if handle.ended:
            self.counters.add(f"messages over: {result.outcome.value}")
            if result.outcome is Outcome.COMPLETED:
                self.counters.metrics.passed[call.message.priority_class] += 1
                self._trace_end(call.message, "delivered", "completed")
            del self.handles[number]
            self._delete_message(call.message)
        elif self.counters.trace.enabled:
            held = HeldTrace(
                call.message.id, number, handle.attempts, result.outcome.value, handle.not_before, self.clock.now()
            )
            self.counters.trace.add(held)
