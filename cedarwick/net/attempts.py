"""One call over one link: writing, reading, time-out, outcome."""

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
from cedarwick.net.sockets import PollClock, is_closed
from cedarwick.store.records import StoredMessage

REPORT_HEADER = "x-pressure"
ANSWER_REST_TIMEOUT_US = 500_000  # for what follows the first line of an answer
# A wait binds from 100 ms after its answer was written (the protocol page): a first byte may rest on a look at the
# sockets that is half as old.
CLEARANCE_LIFETIME_US = 50_000
MAX_CLEARANCE_REQUESTS = 3  # by one attempt whose clearances grow old; then it is decided on anew
# For an answer that is on its way as a call is given up; its receiver learns of that and ends sooner.
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
    body: bytes = b""  # read from the folder as the attempt may go
    recorded: bool = False  # the folder knows that it goes out
    flushed: bool = False  # and so does the disk, where the folder is durable
    looked_at: int = 0  # the look at the sockets that its clearance rests on
    heeded: bool = False  # the wait of its refusal has been passed on, ahead of the result
    reported: bool = False  # its result has been passed on
    new_connection: bool = False  # no kept one is good enough
    reused_connection: bool = False  # it goes over a link that was used before


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, as the decisions learn it; times are in microseconds."""

    outcome: Outcome
    took: int = 0
    retry_after: int = 0
    last: bool = False
    report: Sequence[float] = ()
    reused_connection: bool = False  # it went over a link that had been used before
    not_sent: bool = False  # no byte of it left, for a reason that a further look at it takes into account


class AttemptRunner:
    """Takes ordered attempts to their receivers; each ends in one `AttemptResult`."""

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        links: ConnectionPool,
        columns: list[str],
        polled: PollClock,
        clear: Callable[[AttemptCall], bool],
        tell: Callable[[AttemptCall, AttemptResult], None],
        heed: Callable[[list[tuple[int, int]]], None],
        may_fire: Callable[[int], bool] = lambda _: True,
    ) -> None:
        self.clock = clock
        self.counters = counters
        self.links = links
        self.columns = columns
        self.polled = polled
        self.clear = clear
        self.tell = tell
        self.heed = heed
        self.may_fire = may_fire
        self.out: dict[gevent.Greenlet, AttemptCall] = {}

    def start(self, call: AttemptCall) -> None:
        """Make the attempt in a greenlet of its own."""
        greenlet = gevent.spawn(self._run, call)
        self.out[greenlet] = call
        greenlet.rawlink(lambda finished: self.out.pop(finished, None))

    def cut(self, numbers: Collection[int]) -> None:
        """Give up the calls of some messages at once, and close their links: they may have run."""
        for greenlet, call in list(self.out.items()):
            if call.message.number in numbers and not call.reported:
                greenlet.kill(block=False)
                self.counters.add("attempts cut off: their session moves")
                self._end(call, Outcome.RESET if call.recorded else Outcome.MOOT)

    def _run(self, call: AttemptCall) -> None:
        try:
            self._go(call)
        except Exception:
            # Danger: an attempt that never ends holds its slot and its message for ever.
            self.counters.failed("an attempt failed")
            if not call.reported:
                self._end(call, Outcome.RESET)

    def _go(self, call: AttemptCall) -> None:
        try:
            link = self.links.obtain(call.receiver, call.until, call.new_connection)
        except NoDescriptorError as error:
            self.counters.warning("no descriptor for an attempt", error.within(f"receiver {call.receiver}"))
            self._hold_back(call)
            return
        except OSError as error:
            self.counters.warning("a link did not come up", error)
            self._end(call, Outcome.CONNECT_FAILED)
            return
        usable = False
        try:
            # Danger: while a link came up, a wait or a drain may have been heard or the message have ended.
            usable = not self._cleared(call)
            if not usable:
                usable = self._unless_crossed(call, link)
        finally:
            self.links.give_back(link, usable)

    def _unless_crossed(self, call: AttemptCall, link: Connection) -> bool:
        """The call, unless something came while the dispatcher was asked; whether the link can be used again."""
        if is_closed(link.sock):
            # Danger: what lies there before the request would be read as its answer.
            if link.idle_since:
                self._hold_back(call)
            else:
                self.counters.add("new links that ended or spoke before their request")
                self._end(call, Outcome.CONNECT_FAILED)
            return False
        if self.clock.now() >= call.send_by:
            self.counters.add("attempts held back: their time was over")
            self._hold_back(call)
            return True
        call.reused_connection = link.idle_since > 0
        return self._over(call, link)

    def _cleared(self, call: AttemptCall) -> bool:
        """Whether it may go now; where it may not, it has ended."""
        for _ in range(MAX_CLEARANCE_REQUESTS):
            if not self.clear(call):
                call.reported = True
                self.counters.add("attempts held back before their first byte")
                return False
            if self.clock.now() - call.looked_at <= CLEARANCE_LIFETIME_US:
                return True
            # Danger: the process was stopped, or a round was long: a refusal may lie unread in a socket.
            self.counters.add("clearances that grew old")
            self.polled.again()
        self._hold_back(call)
        return False

    def _over(self, call: AttemptCall, link: Connection) -> bool:
        """Write the request, read the answer; whether the link can be used again."""
        answer = ResponseParser()
        broken: Outcome | None = Outcome.CONNECT_FAILED
        try:
            self._wait_until(link, min(call.until, call.send_by))
            whole = encode_request(call, self.clock.now())
            # Danger: the right to fire may have run out since the dispatcher was asked; another sender has it then.
            if not self.may_fire(call.message.number):
                self.counters.add("attempts held back: no right to fire")
                self._end(call, Outcome.MOOT)
                return True
            link.sock.sendall(whole)
            self.counters.add("attempts sent")
            self.counters.figures.tries += 1
            broken = self._read(call, link, answer)
        except OSError:
            # The last byte was never handed over, so nothing ran; an early answer tells more.
            self._read_unread_bytes(call, link, answer)
        if answer.complete or answer.status == 200:
            usable = answer.complete and answer.keep_alive and broken is None
            if not call.reported:
                self._tell(call, answer)
            return usable
        # Danger: with the call still on its way, a further attempt would be a second copy out. Danger: what follows a
        # refusal's head may show that it was spoilt, and then the attempt may have run.
        if broken is Outcome.TIME_OUT and self.links.end_sending(link):
            self._end(call, broken)
            self._hear_out(call, link, answer)
        else:
            self.links.give_back(link, usable=False)
            self._end(call, broken or Outcome.RESET)
        return False

    def _read(self, call: AttemptCall, link: Connection, answer: ResponseParser) -> Outcome | None:
        """Read the answer to its end; how the attempt ended if it broke before that."""
        until = call.until
        try:
            while not answer.complete:
                self._wait_until(link, until)
                if not link.buffer.fill(link.sock):
                    return None if answer.ended() else Outcome.RESET
                begun = answer.status
                answer.feed(link.buffer)
                self._heed_early(call, answer)
                if answer.status and not begun:
                    until = min(until, self.clock.now() + ANSWER_REST_TIMEOUT_US)
                if answer.headed and answer.status == 200 and not call.reported:
                    self._tell(call, answer)  # it is true, whatever becomes of the rest
        except TimeoutError:
            # Danger: after a pause of the process, answers that came in time lie unread.
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
        self._read_on(link, answer, 0)
        self._heed_early(call, answer)

    def _read_on(self, link: Connection, answer: ResponseParser, until: int) -> None:
        """Read the head of an answer that may come up to a time; with 0, all of it that is unread."""
        link.sock.settimeout(0.0)
        try:
            while not (answer.headed if until else answer.complete):
                if until:
                    self._wait_until(link, until)
                if not link.buffer.fill(link.sock):
                    return
                answer.feed(link.buffer)
        except (OSError, InvalidResponseError):
            pass

    def _heed_early(self, call: AttemptCall, answer: ResponseParser) -> None:
        """Pass on the wait of a refusal as soon as its head is there.

        Whether the rest comes only decides whether the attempt may have run.
        """
        if answer.headed and not answer.complete and answer.status == 429 and not call.heeded:
            self._heed(call, answer)

    def _heed(self, call: AttemptCall, answer: ResponseParser) -> None:
        call.heeded = True
        self.heed([(call.receiver, self.clock.now() + parse_retry_after(answer.headers.get("x-backoff-ms", "")))])

    def _hear_out(self, call: AttemptCall, link: Connection, answer: ResponseParser) -> None:
        """Read on for a moment on the link of a call that was given up and has ended.

        Danger: a refusal that crosses the giving up tells a wait all the same, and further attempts would break it.
        """
        self.out.pop(gevent.getcurrent(), None)
        self._read_on(link, answer, self.clock.now() + LATE_ANSWER_TIMEOUT_US)
        if answer.headed and answer.status == 429 and not call.heeded:
            self.counters.add("waits heard after the call was given up")
            self._heed(call, answer)

    def _tell(self, call: AttemptCall, answer: ResponseParser) -> None:
        """What an answer says: its first line at least."""
        took = self.clock.now() - call.ordered_at
        report = self._report(answer.headers.get(REPORT_HEADER, ""))
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
        call.reported = True
        self.tell(call, ending)

    def _end(self, call: AttemptCall, outcome: Outcome, not_sent: bool = False) -> None:
        self.counters.add(f"attempts without an answer: {outcome.value}")
        call.reported = True
        took = self.clock.now() - call.ordered_at
        self.tell(call, AttemptResult(outcome, took, reused_connection=call.reused_connection, not_sent=not_sent))

    def _hold_back(self, call: AttemptCall) -> None:
        self._end(call, Outcome.MOOT, not_sent=True)

    def _report(self, text: str) -> Sequence[float]:
        """The values that an answer reports, in the order of the settings; nothing if it cannot be read."""
        if not text:
            return ()
        reported = {name.strip(): value for name, _, value in (pair.partition("=") for pair in text.split(","))}
        figures = [reported.get(name, "") for name in self.columns]
        # Danger: one "nan" or "1e300" would stay in the pace of a destination for ever.
        if not all(FIGURE_PATTERN.fullmatch(figure) for figure in figures):
            self.counters.warning("a report that cannot be read", text[:100])
            return ()
        return [float(figure) for figure in figures]


def parse_retry_after(text: str) -> int:
    """A Retry-After wait in microseconds, the longest where a head tells several; 0 where none can be read."""
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
