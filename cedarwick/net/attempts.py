"""Attempts: one HTTP call each over a pooled connection, from the clearance to its outcome.

Times are microseconds. The dispatcher starts attempts; each runs in a greenlet of its own.
"""

import re
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

import gevent
import gevent.socket

from cedarwick.decisions.interface import Outcome
from cedarwick.decisions.state import NEVER
from cedarwick.net.clock import Clock
from cedarwick.net.connections import Connection, ConnectionPool, NoDescriptorError
from cedarwick.net.counters import Counters
from cedarwick.net.http import InvalidResponseError, ResponseParser
from cedarwick.net.message_trace import AttemptTrace, LateAnswerTrace
from cedarwick.net.sockets import PollClock, is_closed
from cedarwick.store.records import StoredMessage

REPORT_HEADER = "x-pressure"
ANSWER_REST_TIMEOUT_US = 500_000  # for what follows the first line of an answer
# A Retry-After wait binds from 100 ms after its answer was written (the protocol page): a clearance for the first byte
# may rest on a poll of the sockets that is at most half as old.
CLEARANCE_LIFETIME_US = 50_000
MAX_CLEARANCE_REQUESTS = 3  # by one attempt whose clearances expire; then the decisions choose again
# For an answer that is on its way when a call times out; the receiver sees the end of sending and ends sooner.
LATE_ANSWER_TIMEOUT_US = 1_000_000
MILLISECONDS_PATTERN = re.compile(r"([0-9]{1,300})(\.[0-9]{1,300})?")
FIGURE_PATTERN = re.compile(r"-?[0-9]{1,9}(\.[0-9]{1,30})?(e-[0-9]{1,2})?")  # of a report


@dataclass(slots=True)
class AttemptCall:
    """One attempt that the decisions have ordered."""

    message: StoredMessage
    attempt: int
    receiver: int
    ordered_at: int
    until: int
    send_by: int = NEVER  # its last byte must have gone then
    body: bytes = b""  # read from the store when the attempt is cleared
    recorded: bool = False  # the store has its record
    flushed: bool = False  # the record is on the disk, where the store is durable
    polled_at: int = 0  # when the sockets were polled on which its clearance rests
    sent_at: int = 0  # its first byte was handed to the connection; 0: no byte was
    status: int = 0  # of its answer, as far as the head was read
    retry_after_reported: bool = False  # its Retry-After wait has been passed on, ahead of the result
    reported: bool = False  # its result has been passed on
    new_connection: bool = False  # it may not reuse an idle connection
    reused_connection: bool = False  # it goes over a connection that was used before


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, as it is reported to the decisions; times are microseconds."""

    outcome: Outcome
    took: int = 0
    retry_after: int = 0
    last: bool = False
    report: Sequence[float] = ()
    reused_connection: bool = False  # it went over a connection that had been used before
    not_sent: bool = False  # no byte was sent, for a reason that the decisions take into account next time


class AttemptRunner:
    """Runs ordered attempts; each reports exactly one `AttemptResult` through `report_result`.

    `clear` asks the dispatcher whether an attempt may go, `may_fire` asks again right before the first byte,
    `report_retry_after` passes on Retry-After waits as (receiver, until in microseconds), and `report_late_success` an
    attempt whose good answer was read after its time-out had been reported.
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        links: ConnectionPool,
        columns: list[str],
        polled: PollClock,
        clear: Callable[[AttemptCall], bool],
        report_result: Callable[[AttemptCall, AttemptResult], None],
        report_retry_after: Callable[[list[tuple[int, int]]], None],
        may_fire: Callable[[int], bool] = lambda _: True,
        report_late_success: Callable[[AttemptCall], None] = lambda _: None,
    ) -> None:
        self.clock = clock
        self.counters = counters
        self.links = links
        self.columns = columns
        self.polled = polled
        self.clear = clear
        self.report_result = report_result
        self.report_retry_after = report_retry_after
        self.may_fire = may_fire
        self.report_late_success = report_late_success
        self.in_flight: dict[gevent.Greenlet, AttemptCall] = {}

    def start(self, call: AttemptCall) -> None:
        """Make the attempt in a greenlet of its own."""
        greenlet = gevent.spawn(self._run, call)
        self.in_flight[greenlet] = call
        greenlet.rawlink(lambda finished: self.in_flight.pop(finished, None))

    def cut(self, numbers: Collection[int]) -> None:
        """Abort the running calls of some messages and close their connections; the messages may have run."""
        for greenlet, call in list(self.in_flight.items()):
            if call.message.number in numbers and not call.reported:
                greenlet.kill(block=False)
                self.counters.add("attempts cut off: their session moves")
                self._report_failure(call, Outcome.RESET if call.recorded else Outcome.MOOT)

    def _run(self, call: AttemptCall) -> None:
        try:
            self._run_attempt(call)
        except Exception:
            # Without a result the attempt would hold its slot and its message for ever.
            self.counters.failed("an attempt failed")
            if not call.reported:
                self._report_failure(call, Outcome.RESET)

    def _run_attempt(self, call: AttemptCall) -> None:
        try:
            link = self.links.obtain(call.receiver, call.until, call.new_connection)
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
            # While the connection came up, a Retry-After wait or a drain may have arrived, or the message ended.
            usable = not self._cleared(call)
            if not usable:
                usable = self._send_unless_expired(call, link)
        finally:
            self.links.give_back(link, usable)

    def _send_unless_expired(self, call: AttemptCall, link: Connection) -> bool:
        """Make the call unless its time or connection ended during the clearance.

        Returns whether the connection can be used again.
        """
        if is_closed(link.sock):
            # Bytes that came before the request would be read as its answer.
            if link.idle_since:
                self._report_not_sent(call)
            else:
                self.counters.add("new links that ended or spoke before their request")
                self._report_failure(call, Outcome.CONNECT_FAILED)
            return False
        if self.clock.now() >= call.send_by:
            self.counters.add("attempts held back: their time was over")
            self._report_not_sent(call)
            return True
        call.reused_connection = link.idle_since > 0
        return self._exchange(call, link)

    def _cleared(self, call: AttemptCall) -> bool:
        """Whether the attempt may go now; where it may not, its result has been reported."""
        for _ in range(MAX_CLEARANCE_REQUESTS):
            if not self.clear(call):
                call.reported = True
                self.counters.add("attempts held back before their first byte")
                return False
            if self.clock.now() - call.polled_at <= CLEARANCE_LIFETIME_US:
                return True
            # The process was paused, or a round was long: a refusal may be waiting unread in a socket.
            self.counters.add("clearances that grew old")
            self.polled.wait_for_next_poll()
        self._report_not_sent(call)
        return False

    def _exchange(self, call: AttemptCall, link: Connection) -> bool:
        """Write the request and read the answer; returns whether the connection can be used again."""
        answer = ResponseParser()
        broken: Outcome | None = Outcome.CONNECT_FAILED
        try:
            self._wait_until(link, min(call.until, call.send_by))
            whole = encode_request(call, self.clock.now())
            # The right to send may have expired since the clearance; another sender may hold it now.
            if not self.may_fire(call.message.number):
                self.counters.add("attempts held back: no right to fire")
                self._report_failure(call, Outcome.MOOT)
                return True
            call.sent_at = self.clock.now()
            link.sock.sendall(whole)
            self.counters.add("attempts sent")
            self.counters.figures.attempts_sent += 1
            broken = self._read(call, link, answer)
        except OSError:
            # The last byte was never sent, so nothing ran; an early answer may say more.
            self._read_unread_bytes(call, link, answer)
        if answer.complete or answer.status == 200:
            usable = answer.complete and answer.keep_alive and broken is None
            if not call.reported:
                self._report_answer(call, answer)
            return usable
        # End the call before its result is reported: a retry must not run beside it. A refusal counts only when its
        # answer is whole: if what follows its head is malformed, the attempt may have run.
        if broken is Outcome.TIME_OUT and self.links.end_sending(link):
            self._report_failure(call, broken)
            self._read_late_answer(call, link, answer)
        else:
            self.links.give_back(link, usable=False)
            self._report_failure(call, broken or Outcome.RESET)
        return False

    def _read(self, call: AttemptCall, link: Connection, answer: ResponseParser) -> Outcome | None:
        """Read the answer to its end; returns the outcome if it broke off before that, else None."""
        until = call.until
        try:
            while not answer.complete:
                self._wait_until(link, until)
                if not link.buffer.fill(link.sock):
                    return None if answer.feed_eof() else Outcome.RESET
                begun = answer.status
                answer.feed(link.buffer)
                self._report_early_retry_after(call, answer)
                if answer.status and not begun:
                    until = min(until, self.clock.now() + ANSWER_REST_TIMEOUT_US)
                if answer.headers_complete and answer.status == 200 and not call.reported:
                    self._report_answer(call, answer)  # a success counts even if the rest of the answer is lost
        except TimeoutError:
            # After a pause of the process, answers that came in time are still unread.
            self._read_unread_bytes(call, link, answer)
            return Outcome.RESET if answer.status else Outcome.TIME_OUT
        except (OSError, InvalidResponseError) as error:
            self.counters.warning("a link broke during an attempt", error)
            return Outcome.RESET
        return None

    def _wait_until(self, link: Connection, until: int) -> None:
        left = until - self.clock.now()
        if left <= 0:
            raise TimeoutError
        link.sock.settimeout(left / 1_000_000)

    def _read_unread_bytes(self, call: AttemptCall, link: Connection, answer: ResponseParser) -> None:
        self._read_more(link, answer, 0)
        self._report_early_retry_after(call, answer)

    def _read_more(self, link: Connection, answer: ResponseParser, until: int) -> None:
        """Read until the head of an answer is there, up to a time; with 0, read only what has arrived."""
        link.sock.settimeout(0.0)
        try:
            while not (answer.headers_complete if until else answer.complete):
                if until:
                    self._wait_until(link, until)
                if not link.buffer.fill(link.sock):
                    return
                answer.feed(link.buffer)
        except (OSError, InvalidResponseError):
            pass

    def _report_early_retry_after(self, call: AttemptCall, answer: ResponseParser) -> None:
        """Pass on the Retry-After wait of a throttled call as soon as the answer's head is there.

        Whether the rest comes only decides whether the attempt may have run.
        """
        if answer.headers_complete and not answer.complete and answer.status == 429 and not call.retry_after_reported:
            self._report_retry_after(call, answer)

    def _report_retry_after(self, call: AttemptCall, answer: ResponseParser) -> None:
        call.retry_after_reported = True
        self.report_retry_after(
            [(call.receiver, self.clock.now() + parse_retry_after(answer.headers.get("x-backoff-ms", "")))]
        )

    def _read_late_answer(self, call: AttemptCall, link: Connection, answer: ResponseParser) -> None:
        """Read on for a moment on the connection of a call that timed out and whose result was reported.

        A refusal that arrives just after the time-out still sets a Retry-After wait, which later attempts must respect.
        A success delivers the message, unless its end has been decided meanwhile.
        """
        self.in_flight.pop(gevent.getcurrent(), None)
        self._read_more(link, answer, self.clock.now() + LATE_ANSWER_TIMEOUT_US)
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
        """Report the result that an answer gives; its first line at least has been read."""
        took = self.clock.now() - call.ordered_at
        report = self._parse_report(answer.headers.get(REPORT_HEADER, ""))
        if answer.status == 200:
            ending = AttemptResult(Outcome.COMPLETED, took, 0, True, report, call.reused_connection)
        elif answer.status == 429:
            wait = parse_retry_after(answer.headers.get("x-backoff-ms", ""))
            ending = AttemptResult(Outcome.FULL, took, wait, False, report)
        elif answer.status == 503 and answer.headers.get("x-egress-full") != "1":
            ending = AttemptResult(Outcome.FULL, took, 0, False, report)
        elif answer.status in (503, 504):
            ending = AttemptResult(Outcome.MOOT, took, 0, False, report)
        elif answer.status == 410:
            ending = AttemptResult(Outcome.MOOT, took, 0, True, report)
        else:
            if answer.status != 500:
                self.counters.warning("a receiver answered with an unknown status", answer.status)
            ending = AttemptResult(Outcome.ERROR, took, 0, False, report)
        self.counters.add(f"answers {answer.status}")
        call.status = answer.status
        self._report(call, ending)

    def _report_failure(self, call: AttemptCall, outcome: Outcome, not_sent: bool = False) -> None:
        self.counters.add(f"attempts without an answer: {outcome.value}")
        took = self.clock.now() - call.ordered_at
        self._report(call, AttemptResult(outcome, took, reused_connection=call.reused_connection, not_sent=not_sent))

    def _report(self, call: AttemptCall, ending: AttemptResult) -> None:
        call.reported = True
        self._trace_attempt(call, ending)
        self.report_result(call, ending)

    def _trace_attempt(self, call: AttemptCall, ending: AttemptResult) -> None:
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
                ending.outcome.value,
                call.status,
                ending.not_sent,
            )
        )

    def _report_not_sent(self, call: AttemptCall) -> None:
        self._report_failure(call, Outcome.MOOT, not_sent=True)

    def _parse_report(self, text: str) -> Sequence[float]:
        """The values that an answer reports, in the order of the settings; nothing if it cannot be read."""
        if not text:
            return ()
        reported = {name.strip(): value for name, _, value in (pair.partition("=") for pair in text.split(","))}
        figures = [reported.get(name, "") for name in self.columns]
        # A single "nan" or "1e300" would spoil the rate of a destination for good.
        if not all(FIGURE_PATTERN.fullmatch(figure) for figure in figures):
            self.counters.warning("a report that cannot be read", text[:100])
            return ()
        return [float(figure) for figure in figures]


def parse_retry_after(text: str) -> int:
    """A Retry-After wait in microseconds, the longest where a head has several; 0 where none can be read."""
    waits = [MILLISECONDS_PATTERN.fullmatch(part.strip()) for part in text.split(",")]
    return max((int(each[1]) * 1000 + bool(each[2]) * 1000 for each in waits if each), default=0)


def encode_request(call: AttemptCall, now: int) -> bytes:
    """The HTTP request of an attempt; `now` in microseconds, for the time that remains of it."""
    stored = call.message
    lines = ["POST /receive HTTP/1.1", "Host: receiver", f"X-Txn: {stored.id}"]
    if stored.key:
        lines.append(f"Idempotency-Key: {stored.key}")
    lines.append(f"X-Remaining-Ms: {max(0, call.until - now) // 1000}")
    lines.append(f"Content-Length: {len(call.body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + call.body
