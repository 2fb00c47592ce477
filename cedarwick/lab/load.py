"""An open-loop load on any sender: each request has a due time, from which its response time is measured.

A sender that stalls for a second is charged with every request that was due in that second, not with one slow answer.
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
from cedarwick.lab.workload import random_generator
from cedarwick.net.sockets import open_connection

MAX_BEGIN_DELAY_US = 10_000  # a request begun later than this after its due time was delayed by this tool
SPARE_TIME_US = 1_500  # the least time until the next request in which histograms may be updated
RECORD_BATCH = 40  # times that are added to the histograms at once
MAX_LATE_SHARE = 0.01  # a larger share of delayed requests makes the run void


@dataclass(frozen=True)
class Plan:
    """A load: its targets, rate and length, and the messages that it consists of."""

    addresses: list[tuple[str, int]]
    rate: float  # requests a second, all addresses together
    seconds: float
    priority_class: str
    destinations: int
    size: int  # bytes of a body
    outer_ms: int
    patience: float  # seconds
    connections: int  # the most to each address
    seed: int = 1
    first: int = 0  # the lowest destination number


class Report(msgspec.Struct):
    """The result of a load."""

    asked_rate: float
    sent_rate: float  # requests per second that were answered or given up
    taken_rate: float  # requests per second that were answered +OK
    answers: dict[str, int]
    took: Quantiles  # from due time to answer, of all answered requests
    service: Quantiles  # from the sending to the answer, of the same requests
    worst_lag_ms: float
    void: str


@dataclass
class AddressConnections:
    """The idle connections to an address, and the slots that limit how many are in use."""

    address: tuple[str, int]
    free_slots: gevent.lock.BoundedSemaphore
    idle: deque[gevent.socket.socket] = field(default_factory=deque)


class Loader:
    """Runs a plan once; `progress` callbacks may read its counts."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.day = Day()
        self.connections_by_address = [
            AddressConnections(address, gevent.lock.BoundedSemaphore(plan.connections)) for address in plan.addresses
        ]
        self.answers: Counter[str] = Counter()
        self.took, self.service = new_histogram(), new_histogram()
        self.unrecorded: deque[tuple[int, int]] = deque()  # response and service times not in the histograms yet
        self.late = 0
        self.sent = 0
        self.out = 0
        self.id_prefix = secrets.token_hex(4)  # random, so that two runs never submit the same ids

    def run(self, progress: Callable[["Loader"], None] = lambda _: None) -> Report:
        """Send every request at its due time, wait for the answers, and report."""
        plan = self.plan
        generator = random_generator(plan.seed, 9)
        gaps = itertools.chain.from_iterable(
            generator.exponential(1_000_000 / plan.rate, 1024).tolist() for _ in itertools.count()
        )
        address_cycle = itertools.cycle(self.connections_by_address)
        gc.collect()
        gc.freeze()  # Danger: a collection of all objects delays requests, which is no fault of the sender
        self.day.begin()
        watch = gevent.spawn(self.day.watch_lag)
        due, end = 0.0, plan.seconds * 1_000_000
        while due < end:
            if due - self.day.now() > 500:
                self._record(RECORD_BATCH if due - self.day.now() > SPARE_TIME_US else 0)
                self.day.sleep_until(round(due))
                progress(self)
            self.sent += 1
            self.out += 1
            gevent.spawn(self._send_request, self.sent, round(due), next(address_cycle))
            due += next(gaps)
            if self.sent % 64 == 0:
                gevent.sleep(0)  # Danger: without it, answers are not read while the tool catches up
        while self.out:
            gevent.sleep(0.01)
        watch.kill()
        gc.unfreeze()
        self._record(len(self.unrecorded))
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
        """Add up to `count` times to the histograms."""
        for _ in range(min(count, len(self.unrecorded))):
            took, service = self.unrecorded.popleft()
            self.took.record_value(min(MAX_RECORDED_TIME, took))
            self.service.record_value(min(MAX_RECORDED_TIME, service))

    def void(self) -> str:
        """Why the run proves nothing, as this tool was too slow; empty where it is valid."""
        if self.late > MAX_LATE_SHARE * max(1, self.sent):
            return (
                f"{self.late} of {self.sent} requests were begun over {MAX_BEGIN_DELAY_US // 1000} ms late: "
                "this tool or its machine is too slow for the rate"
            )
        return ""

    def _send_request(self, number: int, due: int, connections: AddressConnections) -> None:
        self.late += self.day.now() - due > MAX_BEGIN_DELAY_US
        plan = self.plan
        id = f"{self.id_prefix}{number:08x}"
        pairs = f"c={plan.priority_class},d={plan.outer_ms},dest={plan.first + number % plan.destinations}".encode()
        request = encode_command(b"SUBMIT", b"0" * 16, id.encode(), pairs, message_body(id, plan.size))
        with connections.free_slots:  # the wait for a connection is part of the response time
            sent_at = self.day.now()
            answer = self._exchange(connections, request)
        now = self.day.now()
        self.answers[answer] += 1
        if answer in ("ok", "busy", "error"):
            self.unrecorded.append((max(1, now - due), max(1, now - sent_at)))
        self.out -= 1

    def _exchange(self, connections: AddressConnections, request: bytes) -> str:
        """Send a request and read its answer; the result: ok, busy, error, none, cut or down."""
        sock = connections.idle.pop() if connections.idle else None
        reused = sock is not None
        try:
            if sock is None:
                sock = open_connection(connections.address, self.plan.patience)
        except OSError:
            return "down"
        try:
            sock.sendall(request)
            reply = sock.recv(512)
            while reply and not reply.endswith(b"\r\n"):
                rest = sock.recv(512)
                reply = reply + rest if rest else b""
        except TimeoutError:
            sock.close()
            return "none"
        except OSError:
            reply = b""
        if not reply:
            sock.close()
            return self._exchange(connections, request) if reused else "cut"
        connections.idle.append(sock)
        return "ok" if reply[:1] == b"+" else "busy" if reply.startswith(b"-BUSY") else "error"


def answers_ping(address: tuple[str, int], seconds: float = 2.0) -> bool:
    """Whether the sender at an address answers PING."""
    try:
        with gevent.socket.create_connection(address, seconds) as sock:
            sock.settimeout(seconds)
            sock.sendall(encode_command(b"PING"))
            return bool(sock.recv(16).startswith(b"+PONG"))
    except OSError:
        return False
