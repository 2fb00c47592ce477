"""An open-loop load on any sender: each request is due at a time, and its answer's time counts from that.

A sender that stands still for a second is charged for all that was due in that second, not for one slow answer.
"""

import gc
import itertools
import secrets
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
import gevent.event
import gevent.lock
import gevent.socket
import msgspec

from cedarwick.lab.clients import encode_command
from cedarwick.lab.day import Day, message_body
from cedarwick.lab.figures import MAX_RECORDED_TIME, Quantiles, new_histogram, summarize_histogram
from cedarwick.lab.workload import source
from cedarwick.net.sockets import open_connection

LATE = 10_000  # microseconds: a request begun so much after it was due was late by the tool's own fault
SPARE = 1_500  # microseconds until the next request in which histograms may be filled
AT_ONCE = 40  # times that are brought into them then
MOST_LATE = 0.01  # a larger part of these makes the run void


@dataclass(frozen=True)
class Plan:
    """What is sent: where, how fast, how long, and what a message looks like."""

    addresses: list[tuple[str, int]]
    rate: float  # requests a second, all addresses together
    seconds: float
    priority_class: str
    destinations: int
    size: int  # bytes of a body
    outer_ms: int
    patience: float  # seconds
    connections: int  # at most, to each address
    seed: int = 1
    first: int = 0  # the lowest number of a destination


class Report(msgspec.Struct):
    """What a load found."""

    asked_rate: float
    sent_rate: float  # requests answered or given up, a second
    taken_rate: float  # answered +OK, a second
    answers: dict[str, int]
    took: Quantiles  # from due to answer, of all that were answered
    service: Quantiles  # from written to answer, of the same
    worst_lag_ms: float
    void: str


@dataclass
class Line:
    """The kept connections to one address, and the room for more."""

    address: tuple[str, int]
    room: gevent.lock.BoundedSemaphore
    idle: deque[gevent.socket.socket] = field(default_factory=deque)


class Loader:
    """Runs a plan once."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.day = Day()
        self.lines = [Line(address, gevent.lock.BoundedSemaphore(plan.connections)) for address in plan.addresses]
        self.answers: Counter[str] = Counter()
        self.took, self.service = new_histogram(), new_histogram()
        self.seen: deque[tuple[int, int]] = deque()  # times that are not in the histograms yet
        self.late = 0
        self.sent = 0
        self.out = 0
        self.nonce = secrets.token_hex(4)  # a second run must not submit the ids of the first

    def run(self, progress: Callable[["Loader"], None] = lambda _: None) -> Report:
        """Send all that is due, wait for its answers, and report."""
        plan = self.plan
        chance = source(plan.seed, 9)
        gaps = itertools.chain.from_iterable(
            chance.exponential(1_000_000 / plan.rate, 1024).tolist() for _ in itertools.count()
        )
        turns = itertools.cycle(self.lines)
        gc.collect()
        gc.freeze()  # Danger: a collection over everything at hand makes requests late that were not the sender's
        self.day.begin()
        watch = gevent.spawn(self.day.watch_lag)
        due, end = 0.0, plan.seconds * 1_000_000
        while due < end:
            if due - self.day.now() > 500:
                self._record(AT_ONCE if due - self.day.now() > SPARE else 0)
                self.day.sleep_until(round(due))
                progress(self)
            self.sent += 1
            self.out += 1
            gevent.spawn(self._one, self.sent, round(due), next(turns))
            due += next(gaps)
            if self.sent % 64 == 0:
                gevent.sleep(0)  # Danger: catching up must not keep answers from being read
        while self.out:
            gevent.sleep(0.01)
        watch.kill()
        gc.unfreeze()
        self._record(len(self.seen))
        took = self.day.now() / 1_000_000
        answered = sum(self.answers.values())
        return Report(
            plan.rate,
            round(answered / took, 1),
            round(self.answers["ok"] / took, 1),
            dict(self.answers),
            summarize_histogram(self.took),
            summarize_histogram(self.service),
            round(self.day.worst_lag_us / 1000, 1),
            self.void(),
        )

    def _record(self, count: int) -> None:
        """Bring some of what was seen into the histograms, when there is time for it."""
        for _ in range(min(count, len(self.seen))):
            took, service = self.seen.popleft()
            self.took.record_value(min(MAX_RECORDED_TIME, took))
            self.service.record_value(min(MAX_RECORDED_TIME, service))

    def void(self) -> str:
        if self.late > MOST_LATE * max(1, self.sent):
            return (
                f"{self.late} of {self.sent} requests were begun over {LATE // 1000} ms late: "
                "this tool or its machine is too slow for the rate"
            )
        return ""

    def _one(self, number: int, due: int, line: Line) -> None:
        self.late += self.day.now() - due > LATE
        plan = self.plan
        id = f"{self.nonce}{number:08x}"
        pairs = f"c={plan.priority_class},d={plan.outer_ms},dest={plan.first + number % plan.destinations}".encode()
        request = encode_command(b"SUBMIT", b"0" * 16, id.encode(), pairs, message_body(id, plan.size))
        with line.room:  # waiting for a connection is part of the time
            sent = self.day.now()
            answer = self._ask(line, request)
        now = self.day.now()
        self.answers[answer] += 1
        if answer in ("ok", "busy", "error"):
            self.seen.append((max(1, now - due), max(1, now - sent)))
        self.out -= 1

    def _ask(self, line: Line, request: bytes) -> str:
        """What came of one request: ok, busy, error, none, cut or down."""
        sock = line.idle.pop() if line.idle else None
        reused = sock is not None
        try:
            if sock is None:
                sock = open_connection(line.address, self.plan.patience)
        except OSError:
            return "down"
        try:
            sock.sendall(request)
            reply = sock.recv(512)
            while reply and not reply.endswith(b"\r\n"):
                more = sock.recv(512)
                reply = reply + more if more else b""
        except TimeoutError:
            sock.close()
            return "none"
        except OSError:
            reply = b""
        if not reply:
            sock.close()
            return self._ask(line, request) if reused else "cut"
        line.idle.append(sock)
        return "ok" if reply[:1] == b"+" else "busy" if reply.startswith(b"-BUSY") else "error"


def pongs(address: tuple[str, int], seconds: float = 2.0) -> bool:
    """Whether a sender at an address answers PING."""
    try:
        with gevent.socket.create_connection(address, seconds) as sock:
            sock.settimeout(seconds)
            sock.sendall(encode_command(b"PING"))
            return bool(sock.recv(16).startswith(b"+PONG"))
    except OSError:
        return False
