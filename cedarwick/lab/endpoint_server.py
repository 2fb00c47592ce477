"""HTTP servers of the partners' endpoints: an `EndpointServer` for each, with a listener for each sender.

Every sender calls an endpoint at a loopback address of its own, which tells the server the sender of each call. The
model in `partner.py` decides the answer; this module parses requests and writes answers.
"""

import contextlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import gevent.socket
import httptools

from cedarwick.lab.day import Day, message_body
from cedarwick.lab.history import Away, Called
from cedarwick.lab.listeners import BACKLOG, accept_connections, listen_on_all, reset_connection
from cedarwick.lab.partner import CallInProgress, Effect, Endpoint, Reply
from cedarwick.net.sockets import peek_input

MIN_TIMER_US = 300  # shorter waits are skipped
SPOILT_TIMEOUT_S = 3.0  # a connection with a spoilt answer is closed when its caller sends nothing for so long
TORN_BODY_DELAY_S = 0.2  # from the head of a torn refusal to its body
MAX_LAST_DELAY_US = 6_000_000  # the longest that a refusal is held back until the caller's time-out
HUGE_WRITTEN_BYTES = 1 << 20  # written of an answer that announces 3 GB
WAIT_TIMED_OUT = TimeoutError("wait timed out")
REASON_PHRASES = {200: b"OK", 429: b"Too Many Requests", 500: b"Internal Server Error", 503: b"Service Unavailable"}


@dataclass(slots=True)
class Request:
    """A request to an endpoint."""

    id: str = ""
    mark: str = ""
    left: int = 0  # microseconds until the caller's time-out, from its X-Remaining-Ms header
    body: bytes = b""


class RequestParser:
    """Parses the requests of one connection; httptools calls the `on_` methods.

    A caller that takes other bytes for its answer sends its next request while one is being served: `complete` holds
    all requests that are whole, the oldest first.
    """

    def __init__(self) -> None:
        self.complete: deque[Request] = deque()
        self.parser = httptools.HttpRequestParser(self)
        self.request = Request()

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raises `httptools.HttpParserError`."""
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.request = Request()

    def on_header(self, name: bytes, value: bytes) -> None:
        lower = name.lower()
        if lower == b"x-txn":
            self.request.id = value.decode("latin-1")
        elif lower == b"idempotency-key":
            self.request.mark = value.decode("latin-1")
        elif lower == b"x-remaining-ms":
            self.request.left = int(value) * 1000 if value.isdigit() else 0

    def on_body(self, part: bytes) -> None:
        self.request.body += part

    def on_message_complete(self) -> None:
        self.complete.append(self.request)


class EndpointServer:
    """The listeners and connections of one endpoint."""

    def __init__(
        self, day: Day, endpoint: Endpoint, hosts: list[str], port: int = 0, record_calls: bool = True
    ) -> None:
        self.day = day
        self.endpoint = endpoint
        self.hosts = hosts
        self.record_calls = record_calls  # whether calls go to the history
        self.calls = 0
        self.sockets: set[gevent.socket.socket] = set()
        self.open_calls: dict[gevent.socket.socket, Called] = {}  # calls not answered yet
        self.blockers: list[gevent.socket.socket] = []
        self.cut = False
        self.closed = False
        self.acceptors: list[gevent.Greenlet] = []
        self.port, self.listeners = listen_on_all(hosts, port)
        self._accept()

    @property
    def destination_number(self) -> int:
        return self.endpoint.destination.number

    # ---- faults ----

    def begin_fault(self, effect: Effect) -> Callable[[bool], None]:
        """Begin a fault. The returned function ends it; its argument says whether the endpoint has to warm up."""
        number = self.endpoint.begin_fault(self.day.now(), effect)
        if effect.kind == "crash":
            self._close_sockets()
        elif effect.kind == "cut":
            self._cut_network()

        def end(warming_up: bool) -> None:
            if effect.kind == "cut":
                self._restore_network()
            self.endpoint.end_fault(self.day.now(), number, warming_up)
            if effect.kind == "crash":
                self._reopen()

        return end

    def close(self) -> None:
        """Close the listeners and connections for good."""
        self.closed = True
        self._close_sockets()

    def outage_records(self) -> list[Away]:
        """The endpoint's outages so far, as records for the history."""
        return [
            Away(
                self.endpoint.uid,
                self.destination_number,
                each.began,
                each.ended or -1,
                each.warming_up,
                each.overloaded,
            )
            for each in self.endpoint.outages
        ]

    def _close_sockets(self) -> None:
        gevent.killall(self.acceptors, block=False)
        for sock in self.listeners:
            sock.close()
        self.listeners = []
        for sock in list(self.sockets):
            reset_connection(sock)

    def _reopen(self) -> None:
        if self.closed or self.listeners or self.endpoint.is_down(self.day.now()):
            return
        _, self.listeners = listen_on_all(self.hosts, self.port)
        self._accept()

    def _go_down_overloaded(self) -> None:
        """Close all sockets after an overload, and reopen the listeners once the outage is over."""
        self._close_sockets()
        gevent.spawn_later((self.endpoint.down_until - self.day.now()) / 1_000_000 + 0.001, self._reopen)

    def _cut_network(self) -> None:
        """Simulate a cut network: connections stay open without traffic, and new ones are not established.

        The listeners are not accepted from and their backlogs are filled, so that the kernel drops new connections.
        """
        self.cut = True
        gevent.killall(self.acceptors, block=False)
        for sock, host in zip(self.listeners, self.hosts, strict=True):
            sock.listen(0)
            for _ in range(3):
                blocker = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
                blocker.setblocking(False)
                with contextlib.suppress(OSError):
                    blocker.connect((host, self.port))
                self.blockers.append(blocker)

    def _restore_network(self) -> None:
        """End a simulated cut: reset the open connections and those in the listeners' backlogs."""
        self.cut = False
        for blocker in self.blockers:
            blocker.close()
        self.blockers.clear()
        for sock in list(self.sockets):
            reset_connection(sock)
        for sock in self.listeners:
            sock.setblocking(False)
            with contextlib.suppress(OSError):
                while True:
                    reset_connection(sock.accept()[0])
            sock.setblocking(True)
            sock.listen(BACKLOG)
        self._accept()

    # ---- connections ----

    def _accept(self) -> None:
        self.acceptors = [gevent.spawn(self._accept_at, sock, sender) for sender, sock in enumerate(self.listeners)]

    def _accept_at(self, listener: gevent.socket.socket, sender: int) -> None:
        for sock in accept_connections(listener):
            self.sockets.add(sock)
            self.endpoint.connections += 1
            gevent.spawn(self._serve, sock, sender)

    def _serve(self, sock: gevent.socket.socket, sender: int) -> None:
        try:
            sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
            self._serve_calls(sock, sender)
        except (OSError, httptools.HttpParserError):
            pass
        finally:
            record = self.open_calls.pop(sock, None)
            if record is not None:
                record.ended = self.day.now()
            self.sockets.discard(sock)
            self.endpoint.connections -= 1
            sock.close()

    def _serve_calls(self, sock: gevent.socket.socket, sender: int) -> None:
        requests, first_call = RequestParser(), True
        while True:
            first_byte_at = self.day.now()
            if not requests.complete:
                idle_since = first_byte_at
                sock.settimeout(self.endpoint.destination.partner.idle_s)
                data = sock.recv(65536)
                first_byte_at = self.day.now()
                if not data or self.cut:
                    return self._wait_while_cut(sock) if self.cut else None
                drop = self.endpoint.strongest_effect("idle-drop")
                if drop is not None and not first_call and first_byte_at - idle_since > drop.size * 1_000_000:
                    # A device on the way dropped the idle connection: the call counts as not arrived.
                    reset_connection(sock)
                    return
                requests.feed(data)
            sock.settimeout(5.0)
            while not requests.complete:
                if not (data := sock.recv(65536)) or self.cut:
                    return self._wait_while_cut(sock) if self.cut else None
                requests.feed(data)
            if first_call:
                setup = self.endpoint.strongest_effect("setup")
                gevent.sleep((self.endpoint.destination.partner.setup_ms + (setup.size if setup else 0)) / 1000)
            if not self._serve_call(sock, sender, requests.complete.popleft(), first_byte_at, first_call):
                return
            first_call = False

    def _wait_while_cut(self, sock: gevent.socket.socket) -> None:
        """Keep a connection open without traffic until the network is back, when it is reset."""
        while self.cut and sock in self.sockets and sock.fileno() >= 0:
            gevent.sleep(0.05)

    def _serve_call(
        self, sock: gevent.socket.socket, sender: int, request: Request, first_byte_at: int, first_call: bool
    ) -> bool:
        """Handle a complete request and write its answer; whether the connection stays open."""
        now = self.day.now()
        self.calls += 1
        record = Called(
            request.id, request.mark, self.endpoint.uid, self.destination_number, sender, first_byte_at, now
        )
        if self.record_calls:
            record.body_ok = (
                request.body == message_body(request.id, self.day.body_sizes.get(request.id, 0))
                if request.id
                else False
            )
            self.day.history.called.append(record)
        self.open_calls[sock] = record
        reply: Reply | CallInProgress | None
        if first_call and self.endpoint.connections_full():
            reply = Reply(503)
        else:
            reply = self.endpoint.handle_call(now, request.id, request.mark)
        if reply is None:
            self._go_down_overloaded()
            return False
        if isinstance(reply, CallInProgress):
            finished: Reply | int = reply.finish
            while isinstance(finished, int):
                if not self._caller_waits_until(sock, finished):
                    return False
                finished = self.endpoint.finish_call(max(self.day.now(), finished), reply)
            reply = finished
        if reply.spoilt == "last" and not self._caller_waits_until(
            sock, first_byte_at + min(request.left, MAX_LAST_DELAY_US)
        ):
            return False
        if self.cut:
            record.ran = reply.ran
            self._wait_for_caller_to_give_up(sock, record)
            return False
        record.ended, record.status, record.wait = self.day.now(), reply.status, reply.wait
        record.ran, record.repeat, record.spoilt = reply.ran, reply.repeat, reply.spoilt
        record.left = peek_input(sock) == b""  # sets the timeout to 0
        if reply.spoilt == "noise":
            record.status = 0
        del self.open_calls[sock]
        sock.settimeout(5.0)
        answer = encode_answer(reply)
        if reply.spoilt == "pieces":
            sock.sendall(answer[:-2])
            gevent.sleep(TORN_BODY_DELAY_S)
            answer = answer[-2:]
        sock.sendall(answer)
        copy_delay = self.endpoint.draw_copy_delay() if not reply.spoilt else None
        if copy_delay is not None:
            gevent.spawn_later(copy_delay / 1_000_000, self._write_second_copy, sock, answer, record)
        if reply.spoilt in ("", "copy", "report", "interim", "pieces", "last"):
            return not (first_call and self.endpoint.connections_full())
        self._finish_spoilt_answer(sock, reply)
        return False

    def _write_second_copy(self, sock: gevent.socket.socket, answer: bytes, record: Called) -> None:
        """Write an answer a second time, as a faulty device on the way does, unless the connection has ended."""
        if sock not in self.sockets or self.cut:
            return
        with contextlib.suppress(OSError):
            sock.sendall(answer)
            record.copied = self.day.now()

    def _caller_waits_until(self, sock: gevent.socket.socket, until: int) -> bool:
        """Wait until a time; whether the caller is still connected. Bytes that it sends meanwhile are not read."""
        while (left := until - self.day.now()) > MIN_TIMER_US:
            if sock.fileno() < 0:  # a fault reset the connection during the sleep below
                return False
            try:
                gevent.socket.wait_read(sock.fileno(), left / 1_000_000, WAIT_TIMED_OUT)
            except TimeoutError:
                return True
            if not sock.recv(1, gevent.socket.MSG_PEEK):
                return False
            gevent.sleep(min(left / 1_000_000, 0.005))
        return True

    def _wait_for_caller_to_give_up(self, sock: gevent.socket.socket, record: Called) -> None:
        """Leave a call unanswered on a cut network until its caller closes the connection."""
        while self.cut and sock in self.sockets:
            try:
                gevent.socket.wait_read(sock.fileno(), 0.05, WAIT_TIMED_OUT)
            except TimeoutError:
                continue
            if not sock.recv(1, gevent.socket.MSG_PEEK):
                return
            gevent.sleep(0.01)

    def _finish_spoilt_answer(self, sock: gevent.socket.socket, reply: Reply) -> None:
        sent = 0
        if reply.spoilt == "huge":
            while sent < HUGE_WRITTEN_BYTES:
                sock.sendall(b"z" * 65536)
                sent += 65536
        sock.settimeout(SPOILT_TIMEOUT_S)
        while sock.recv(4096):
            pass


def encode_answer(reply: Reply) -> bytes:
    """The bytes of an answer, in the spoilt form that the model has chosen."""
    status = b"HTTP/1.1 %d %s\r\n" % (reply.status, REASON_PHRASES[reply.status])
    head = status
    if reply.wait:
        head += b"X-Backoff-Ms: %d\r\n" % (reply.wait // 1000)
    if reply.spoilt == "report":
        head += b"X-Pressure: x0=nan,x1=1e999,=,\xff\r\n"
    elif reply.report is not None:
        head += b"X-Pressure: x0=%g,x1=%g\r\n" % reply.report
    answer = head + b"Content-Length: 2\r\n\r\nok"
    if reply.spoilt == "noise":
        return bytes(range(1, 200)) * 3
    if reply.spoilt == "endless":
        return head + b"X-Fill: " + b"y" * 70000
    if reply.spoilt == "short":
        return head + b"Content-Length: 999\r\n\r\nok"
    if reply.spoilt == "huge":
        return head + b"Content-Length: 3000000000\r\n\r\n"
    if reply.spoilt == "stops":
        return answer[:-2]
    if reply.spoilt == "copy":
        return answer + answer
    if reply.spoilt == "interim":
        return b"HTTP/1.1 100 Continue\r\n\r\n" + answer
    return answer
