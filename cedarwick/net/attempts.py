"""Attempts: each is one HTTP call over a pooled connection, run in its own greenlet.

The dispatcher starts attempts, gives them clearance before they are sent, and receives their results. Times are
microseconds.
"""

import re
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

import gevent
import gevent.socket

from cedarwick.decisions.interface import Outcome
from cedarwick.decisions.state import NEVER
from cedarwick.net.clock import Clock
from cedarwick.net.connections import ConnectionPool
from cedarwick.net.counters import Counters
from cedarwick.net.descriptors import NoDescriptorError
from cedarwick.net.http import InvalidResponseError, ResponseParser
from cedarwick.net.message_trace import AttemptTrace, LateAnswerTrace
from cedarwick.net.receiver_connection import Connection
from cedarwick.net.sockets import PollClock
from cedarwick.store.records import StoredMessage

REPORT_HEADER = "x-pressure"
ANSWER_REST_TIMEOUT_US = 500_000  # for the rest of an answer once its status line has been read
# The age of the socket poll on which a clearance is based. A Retry-After wait binds from 100 ms after its answer was
# written (see the protocol page); half of that is allowed here.
CLEARANCE_LIFETIME_US = 50_000
MAX_CLEARANCE_REQUESTS = 3  # by an attempt whose clearances expire; then it is not sent, and is decided on again
# How long an answer is awaited after its call timed out. The receiver sees the sending side closed, and ends sooner.
LATE_ANSWER_TIMEOUT_US = 1_000_000
REFUSAL_STATUSES = (429, 503)
MILLISECONDS_PATTERN = re.compile(r"([0-9]{1,300})(\.[0-9]{1,300})?")
NUMBER_PATTERN = re.compile(r"-?[0-9]{1,9}(\.[0-9]{1,30})?(e-[0-9]{1,2})?")  # a value in a report


@dataclass(slots=True)
class AttemptCall:
    """An attempt that the decisions have ordered, and its progress."""

    message: StoredMessage
    attempt: int
    receiver: int
    ordered_at: int
    until: int  # when it times out
    send_by: int = NEVER  # its last byte must be written by then
    body: bytes = b""  # read from the store when the attempt gets its clearance
    recorded: bool = False  # the store has a record of it
    flushed: bool = False  # with a durable store: a flush of the record has been requested
    polled_at: int = 0  # time of the socket poll on which its clearance is based
    sent_at: int = 0  # when the first byte was written to the connection; 0: none was
    status: int = 0  # of the answer, even if only its head was read
    retry_after_reported: bool = False  # its Retry-After wait was reported ahead of the result
    reported: bool = False  # its result was reported
    new_connection: bool = False  # it must not use an idle connection
    at_most_once: bool = False  # no other attempt may follow one that may have run
    reused_connection: bool = False  # its connection was used before
    # Of its connection, for the trace: its number, the calls before on it, and the microseconds since the last answer.
    connection: int = 0
    calls_before: int = 0
    quiet_for: int = 0


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of an attempt as reported to the decisions; times are microseconds."""

    outcome: Outcome
    took: int = 0  # since the attempt was ordered
    retry_after: int = 0  # the Retry-After wait of the answer
    last: bool = False  # no retry may follow
    report: Sequence[float] = ()  # the values of the report header
    reused_connection: bool = False  # its connection was used before
    # No byte was sent, for a reason that the decisions consider in the next round: it does not count as an attempt.
    not_sent: bool = False


class AttemptRunner:
    """Runs ordered attempts; each reports exactly one `AttemptResult` through `report_result`.

    Attributes:
        request_clearance: asks the dispatcher whether an attempt may be sent.
        may_send: asks again right before the first byte, by message number.
        report_retry_after: takes Retry-After waits as (receiver, until in microseconds).
        report_late_success: takes an attempt whose 200 was read after its time-out had been reported.
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        connections: ConnectionPool,
        report_columns: list[str],
        poll_clock: PollClock,
        request_clearance: Callable[[AttemptCall], bool],
        report_result: Callable[[AttemptCall, AttemptResult], None],
        report_retry_after: Callable[[list[tuple[int, int]]], None],
        may_send: Callable[[int], bool] = lambda _: True,
        report_late_success: Callable[[AttemptCall], None] = lambda _: None,
    ) -> None:
        self.clock = clock
        self.counters = counters
        self.connections = connections
        self.report_columns = report_columns
        self.poll_clock = poll_clock
        self.request_clearance = request_clearance
        self.report_result = report_result
        self.report_retry_after = report_retry_after
        self.may_send = may_send
        self.report_late_success = report_late_success
        self.in_flight: dict[gevent.Greenlet, AttemptCall] = {}

    def start(self, call: AttemptCall) -> None:
        """Start a greenlet that makes the attempt."""
        greenlet = gevent.spawn(self._run, call)
        self.in_flight[greenlet] = call
        greenlet.rawlink(lambda finished: self.in_flight.pop(finished, None))

    def abort(self, numbers: Collection[int]) -> None:
        """Abort the running attempts of some messages and close their connections; they may have run."""
        for greenlet, call in list(self.in_flight.items()):
            if call.message.number in numbers and not call.reported:
                greenlet.kill(block=False)
                self.counters.add("attempts cut off: their session moves")
                self._report_failure(call, Outcome.RESET if call.recorded else Outcome.MOOT)

    def _run(self, call: AttemptCall) -> None:
        try:
            self._run_attempt(call)
        except Exception:
            # Without a result the attempt would occupy its slot and its message forever.
            self.counters.log_exception("an attempt failed")
            if not call.reported:
                self._report_failure(call, Outcome.RESET)

    def _run_attempt(self, call: AttemptCall) -> None:
        try:
            connection = self.connections.acquire(call.receiver, call.until, call.new_connection, call.at_most_once)
        except NoDescriptorError as error:
            self.counters.warning("no descriptor for an attempt", error.within(f"receiver {call.receiver}"))
            self._report_not_sent(call)
            return
        except OSError as error:
            self.counters.warning("a link did not come up", error)
            self._report_failure(call, Outcome.CONNECT_FAILED)
            return
        usable = False
        try:
            # While the connection was opened, a Retry-After wait or a drain may have arrived, or the message ended.
            usable = not self._obtain_clearance(call)
            if not usable:
                usable = self._send_unless_expired(call, connection)
        finally:
            self.connections.release(connection, usable)

    def _send_unless_expired(self, call: AttemptCall, connection: Connection) -> bool:
        """Make the call unless it is too late for it, or its connection was closed during the clearance.

        Returns whether the connection can be used again.
        """
        if self.connections.close_if_readable(connection):
            if connection.idle_since:
                self._report_not_sent(call)
            else:
                self.counters.add("new links that ended or spoke before their request")
                self._report_failure(call, Outcome.CONNECT_FAILED)
            return False
        if not self.connections.is_current(connection):
            self.counters.add("attempts held back: their receiver has moved")
            self._report_not_sent(call)
            return False
        if self.clock.now() >= call.send_by:
            self.counters.add("attempts held back: their time was over")
            self._report_not_sent(call)
            return True
        call.reused_connection = connection.idle_since > 0
        return self._exchange(call, connection)

    def _obtain_clearance(self, call: AttemptCall) -> bool:
        """Whether the attempt may be sent now; if not, its result has been reported."""
        for _ in range(MAX_CLEARANCE_REQUESTS):
            if not self.request_clearance(call):
                call.reported = True
                self.counters.add("attempts held back before their first byte")
                return False
            if self.clock.now() - call.polled_at <= CLEARANCE_LIFETIME_US:
                return True
            # The process was paused, or a round was long: a socket may hold an unread refusal.
            self.counters.add("clearances that grew old")
            self.poll_clock.wait_for_next_poll()
        self._report_not_sent(call)
        return False

    def _exchange(self, call: AttemptCall, connection: Connection) -> bool:
        """Write the request and read the answer; returns whether the connection can be used again."""
        answer = ResponseParser()
        try:
            self._wait_until(connection, min(call.until, call.send_by))
            request = encode_request(call, self.clock.now())
            # The lease may have expired since the clearance, and another sender may hold it now.
            if not self.may_send(call.message.number):
                self.counters.add("attempts held back: no right to fire")
                self._report_failure(call, Outcome.MOOT)
                return True
            self._record_first_byte(call, connection)
            connection.sock.sendall(request)
            self.counters.add("attempts sent")
            self.counters.metrics.attempts_sent += 1
            failure = self._read(call, connection, answer)
        except OSError:
            self._end_incomplete_call(call, connection, answer)
            return False
        if answer.complete:
            connection.call_answered(self.clock.now(), answer.status)
        if answer.followed_by_input:
            self.connections.report_unexpected_input(connection, b"")
        if answer.complete or answer.status == 200:
            usable = answer.complete and answer.keep_alive and failure is None
            if not call.reported:
                self._report_answer(call, answer)
            return usable
        # End the call before its result is reported, since a retry must not run at the same time. A refusal counts
        # only if its answer is complete: if the bytes after its head are malformed, the attempt may have run.
        if failure is Outcome.TIME_OUT and self.connections.shut_down_sending(connection):
            self._report_failure(call, failure)
            self._read_late_answer(call, connection, answer)
        else:
            self.connections.release(connection, usable=False)
            self._report_failure(call, failure or Outcome.RESET)
        return False

    def _end_incomplete_call(self, call: AttemptCall, connection: Connection, answer: ResponseParser) -> None:
        """End a call whose last byte was not written: it never ran, and no answer but a refusal can be its own."""
        self._read_unread_bytes(call, connection, answer)
        self.connections.release(connection, usable=False)
        if answer.complete and answer.status in REFUSAL_STATUSES:
            self._report_answer(call, answer)
            return
        if answer.status:
            self.counters.add(f"answers {answer.status} before the end of the request")
        self._report_failure(call, Outcome.CONNECT_FAILED)

    def _record_first_byte(self, call: AttemptCall, connection: Connection) -> None:
        call.sent_at = self.clock.now()
        call.connection, call.calls_before = connection.number, connection.calls
        call.quiet_for = call.sent_at - connection.answered_at if connection.answered_at else 0
        connection.call_begins(call.message.id)

    def _read(self, call: AttemptCall, connection: Connection, answer: ResponseParser) -> Outcome | None:
        """Read the answer to its end; returns None, or the outcome if the answer stays incomplete."""
        until = call.until
        try:
            while not answer.complete:
                self._wait_until(connection, until)
                if not connection.buffer.fill(connection.sock):
                    return None if answer.feed_eof() else Outcome.RESET
                had_status = answer.status
                answer.feed(connection.buffer)
                self._report_early_retry_after(call, answer)
                if answer.status and not had_status:
                    until = min(until, self.clock.now() + ANSWER_REST_TIMEOUT_US)
                if answer.headers_complete and answer.status == 200 and not call.reported:
                    self._report_answer(call, answer)  # a 200 counts even if the rest of the answer is lost
        except TimeoutError:
            # After a pause of the process, an answer that arrived in time may still be unread.
            self._read_unread_bytes(call, connection, answer)
            return Outcome.RESET if answer.status else Outcome.TIME_OUT
        except (OSError, InvalidResponseError) as error:
            self.counters.warning("a link broke during an attempt", error)
            return Outcome.RESET
        return None

    def _wait_until(self, connection: Connection, until: int) -> None:
        remaining_us = until - self.clock.now()
        if remaining_us <= 0:
            raise TimeoutError
        connection.sock.settimeout(remaining_us / 1_000_000)

    def _read_unread_bytes(self, call: AttemptCall, connection: Connection, answer: ResponseParser) -> None:
        self._continue_reading(connection, answer, 0)
        self._report_early_retry_after(call, answer)

    def _continue_reading(self, connection: Connection, answer: ResponseParser, until: int) -> None:
        """Read until the head of the answer is complete, at most up to `until`; if 0, read only what has arrived."""
        connection.sock.settimeout(0.0)
        try:
            while not (answer.headers_complete if until else answer.complete):
                if until:
                    self._wait_until(connection, until)
                if not connection.buffer.fill(connection.sock):
                    return
                answer.feed(connection.buffer)
        except (OSError, InvalidResponseError):
            pass

    def _report_early_retry_after(self, call: AttemptCall, answer: ResponseParser) -> None:
        """Report the Retry-After wait of a 429 as soon as the answer's head is complete.

        The rest of the answer matters only to whether the attempt may have run.
        """
        if answer.headers_complete and not answer.complete and answer.status == 429 and not call.retry_after_reported:
            self._report_retry_after(call, answer)

    def _report_retry_after(self, call: AttemptCall, answer: ResponseParser) -> None:
        call.retry_after_reported = True
        self.report_retry_after(
            [(call.receiver, self.clock.now() + parse_retry_after(answer.headers.get("x-backoff-ms", "")))]
        )

    def _read_late_answer(self, call: AttemptCall, connection: Connection, answer: ResponseParser) -> None:
        """Wait up to `LATE_ANSWER_TIMEOUT_US` for the answer of a call whose time-out was reported.

        A refusal that arrives just after the time-out still sets a Retry-After wait, which later attempts must respect.
        A 200 delivers the message, unless its final answer has been decided meanwhile.
        """
        self.in_flight.pop(gevent.getcurrent(), None)
        self._continue_reading(connection, answer, self.clock.now() + LATE_ANSWER_TIMEOUT_US)
        if answer.headers_complete and self.counters.trace.enabled:
            stored = call.message
            self.counters.trace.add(
                LateAnswerTrace(stored.id, stored.number, call.attempt, answer.status, self.clock.now())
            )
        if answer.headers_complete and answer.status == 200:
            self.report_late_success(call)
        if answer.headers_complete and answer.status == 429 and not call.retry_after_reported:
            self.counters.add("waits heard after the call was given up")
            self._report_retry_after(call, answer)

    def _report_answer(self, call: AttemptCall, answer: ResponseParser) -> None:
        """Report the result that follows from an answer of which at least the status line has been read."""
        took = self.clock.now() - call.ordered_at
        report = self._parse_report(answer.headers.get(REPORT_HEADER, ""))
        if answer.status == 200:
            result = AttemptResult(Outcome.COMPLETED, took, 0, True, report, call.reused_connection)
        elif answer.status == 429:
            wait = parse_retry_after(answer.headers.get("x-backoff-ms", ""))
            result = AttemptResult(Outcome.FULL, took, wait, False, report)
        elif answer.status == 503 and answer.headers.get("x-egress-full") != "1":
            result = AttemptResult(Outcome.FULL, took, 0, False, report)
        elif answer.status in (503, 504):
            result = AttemptResult(Outcome.MOOT, took, 0, False, report)
        elif answer.status == 410:
            result = AttemptResult(Outcome.MOOT, took, 0, True, report)
        else:
            if answer.status != 500:
                self.counters.warning("a receiver answered with an unknown status", answer.status)
            result = AttemptResult(Outcome.ERROR, took, 0, False, report)
        self.counters.add(f"answers {answer.status}")
        call.status = answer.status
        self._report(call, result)

    def _report_failure(self, call: AttemptCall, outcome: Outcome, not_sent: bool = False) -> None:
        self.counters.add(f"attempts without an answer: {outcome.value}")
        took = self.clock.now() - call.ordered_at
        self._report(call, AttemptResult(outcome, took, reused_connection=call.reused_connection, not_sent=not_sent))

    def _report(self, call: AttemptCall, result: AttemptResult) -> None:
        call.reported = True
        self._trace_attempt(call, result)
        self.report_result(call, result)

    def _trace_attempt(self, call: AttemptCall, result: AttemptResult) -> None:
        if not self.counters.trace.enabled:
            return
        stored = call.message
        self.counters.trace.add(
            AttemptTrace(
                stored.id,
                stored.number,
                call.attempt,
                call.receiver,
                call.ordered_at,
                call.sent_at,
                call.until,
                self.clock.now(),
                result.outcome.value,
                call.status,
                result.not_sent,
                call.connection,
                call.calls_before,
                call.quiet_for,
            )
        )

    def _report_not_sent(self, call: AttemptCall) -> None:
        self._report_failure(call, Outcome.MOOT, not_sent=True)

    def _parse_report(self, text: str) -> Sequence[float]:
        """The values of a report header in the order of the settings; empty if the report is malformed."""
        if not text:
            return ()
        reported = {name.strip(): value for name, _, value in (pair.partition("=") for pair in text.split(","))}
        numbers = [reported.get(name, "") for name in self.report_columns]
        # A single "nan" or "1e300" would make the destination's rate useless from then on.
        if not all(NUMBER_PATTERN.fullmatch(number) for number in numbers):
            self.counters.warning("a report that cannot be read", text[:100])
            return ()
        return [float(number) for number in numbers]


def parse_retry_after(text: str) -> int:
    """A Retry-After wait in microseconds: the longest if the head has several, 0 if none is valid."""
    waits = [MILLISECONDS_PATTERN.fullmatch(part.strip()) for part in text.split(",")]
    return max((int(each[1]) * 1000 + bool(each[2]) * 1000 for each in waits if each), default=0)


def encode_request(call: AttemptCall, now: int) -> bytes:
    """The HTTP request of an attempt; it states the time that remains at `now`."""
    stored = call.message
    lines = ["POST /receive HTTP/1.1", "Host: receiver", f"X-Txn: {stored.id}"]
    if stored.key:
        lines.append(f"Idempotency-Key: {stored.key}")
    lines.append(f"X-Remaining-Ms: {max(0, call.until - now) // 1000}")
    lines.append(f"Content-Length: {len(call.body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + call.body
