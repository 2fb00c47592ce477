"""Partners' endpoints on sockets: one `EndpointServer` for each endpoint, with a listener for each sender.

A sender reaches every endpoint at an address of its own, so it is known at each call who made it. What an
endpoint does with a call is decided by its model (`partner.py`); this module reads it and writes the answer.
"""

import contextlib
from collections.abc import Callable

import gevent
import gevent.socket
import httptools

from cedarwick.lab.day import Day, message_body
from cedarwick.lab.history import Away, Called
from cedarwick.lab.listeners import BACKLOG, accepted, listen_at_all, reset
from cedarwick.lab.partner import Effect, Endpoint, Reply, Work
from cedarwick.net.sockets import peek_byte

AT_ONCE = 300  # microseconds: what ends sooner needs no timer
SPOILT_STAYS = 3.0  # seconds in which a connection with a spoilt answer may still be open
PIECES = 0.2  # seconds from a torn refusal's head to its body
LONGEST_LAST = 6_000_000  # microseconds for which a refusal may be kept for the end of the caller's patience
HUGE = 1 << 20  # bytes that are written of an answer said to hold 3 GB
TIME_IS_UP = TimeoutError("time is up")
REASONS = {200: b"OK", 429: b"Too Many Requests", 500: b"Internal Server Error", 503: b"Service Unavailable"}


class Incoming:
    """One request as it is parsed; httptools calls the `on_` methods."""

    __slots__ = ("id", "mark", "left", "parts", "complete")

    def __init__(self) -> None:
        self.begin()

    def begin(self) -> None:
        self.id = self.mark = ""
        self.left = 0  # microseconds for which the caller will wait, as it said
        self.parts: list[bytes] = []
        self.complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        lower = name.lower()
        if lower == b"x-txn":
            self.id = value.decode("latin-1")
        elif lower == b"idempotency-key":
            self.mark = value.decode("latin-1")
        elif lower == b"x-remaining-ms":
            self.left = int(value) * 1000 if value.isdigit() else 0

    def on_body(self, part: bytes) -> None:
        self.parts.append(part)

    def on_message_complete(self) -> None:
        self.complete = True


class EndpointServer:
    """One endpoint with its listeners and connections."""

    def __init__(self, day: Day, endpoint: Endpoint, hosts: list[str], port: int = 0, keep: bool = True) -> None:
        self.day = day
        self.endpoint = endpoint
        self.hosts = hosts
        self.keep = keep  # whether calls are written down
        self.calls = 0
        self.conns: set[gevent.socket.socket] = set()
        self.held: dict[gevent.socket.socket, Called] = {}  # calls that are out, by connection
        self.blockers: list[gevent.socket.socket] = []
        self.cut = False
        self.closed = False
        self.accepting: list[gevent.Greenlet] = []
        self.port, self.listeners = listen_at_all(hosts, port)
        self._accept()

    @property
    def destination(self) -> int:
        return self.endpoint.place.number

    # ---- faults ----

    def begin(self, effect: Effect) -> Callable[[bool], None]:
        """Begin a fault; the returned function ends it, with `True` for an endpoint that then warms up."""
        number = self.endpoint.begin(self.day.now(), effect)
        if effect.kind == "crash":
            self._go_down()
        elif effect.kind == "cut":
            self._fall_silent()

        def end(warming_up: bool) -> None:
            if effect.kind == "cut":
                self._be_heard()
            self.endpoint.end(self.day.now(), number, warming_up)
            if effect.kind == "crash":
                self._come_up()

        return end

    def close(self) -> None:
        """Close listeners and connections for good."""
        self.closed = True
        self._go_down()

    def aways(self) -> list[Away]:
        """Its outages so far, as records of the history."""
        return [
            Away(self.endpoint.uid, self.destination, each.began, each.ended or -1, each.warming_up, each.fell)
            for each in self.endpoint.outages
        ]

    def _go_down(self) -> None:
        gevent.killall(self.accepting, block=False)
        for sock in self.listeners:
            sock.close()
        self.listeners = []
        for sock in list(self.conns):
            reset(sock)

    def _come_up(self) -> None:
        if self.closed or self.listeners or self.endpoint.down(self.day.now()):
            return
        _, self.listeners = listen_at_all(self.hosts, self.port)
        self._accept()

    def _fall(self) -> None:
        """Overloaded while it warms up: it goes down, and comes up by itself after a while."""
        self._go_down()
        gevent.spawn_later((self.endpoint.fallen_until - self.day.now()) / 1_000_000 + 0.001, self._come_up)

    def _fall_silent(self) -> None:
        """The network is cut: connections stay open and silent, new ones never come up.

        A listener that nobody accepts from, its queue filled, lets the kernel drop new connections.
        """
        self.cut = True
        gevent.killall(self.accepting, block=False)
        for sock, host in zip(self.listeners, self.hosts, strict=True):
            sock.listen(0)
            for _ in range(3):
                blocker = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
                blocker.setblocking(False)
                with contextlib.suppress(OSError):
                    blocker.connect((host, self.port))
                self.blockers.append(blocker)

    def _be_heard(self) -> None:
        """The network is back: open connections are reset, and those that waited at the listeners are dropped."""
        self.cut = False
        for blocker in self.blockers:
            blocker.close()
        self.blockers.clear()
        for sock in list(self.conns):
            reset(sock)
        for sock in self.listeners:
            sock.setblocking(False)
            with contextlib.suppress(OSError):
                while True:
                    reset(sock.accept()[0])
            sock.setblocking(True)
            sock.listen(BACKLOG)
        self._accept()

    # ---- connections ----

    def _accept(self) -> None:
        self.accepting = [gevent.spawn(self._accept_at, sock, sender) for sender, sock in enumerate(self.listeners)]

    def _accept_at(self, listener: gevent.socket.socket, sender: int) -> None:
        for sock in accepted(listener):
            self.conns.add(sock)
            self.endpoint.connections += 1
            gevent.spawn(self._serve, sock, sender)

    def _serve(self, sock: gevent.socket.socket, sender: int) -> None:
        try:
            sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
            self._serve_calls(sock, sender)
        except (OSError, httptools.HttpParserError):
            pass
        finally:
            record = self.held.pop(sock, None)
            if record is not None:
                record.ended = self.day.now()
            self.conns.discard(sock)
            self.endpoint.connections -= 1
            sock.close()

    def _serve_calls(self, sock: gevent.socket.socket, sender: int) -> None:
        incoming, first_call = Incoming(), True
        parser = httptools.HttpRequestParser(incoming)
        while True:
            sock.settimeout(self.endpoint.place.partner.idle_s)
            idle_since = self.day.now()
            data = sock.recv(65536)
            first = self.day.now()
            if not data or self.cut:
                return self._while_cut(sock) if self.cut else None
            drop = self.endpoint.has("idle-drop")
            if drop is not None and not first_call and first - idle_since > drop.size * 1_000_000:
                # Dropped on the way while it was idle: the call never arrived.
                reset(sock)
                return
            incoming.begin()
            parser.feed_data(data)
            sock.settimeout(5.0)
            while not incoming.complete:
                if not (data := sock.recv(65536)) or self.cut:
                    return self._while_cut(sock) if self.cut else None
                parser.feed_data(data)
            if first_call:
                setup = self.endpoint.has("setup")
                gevent.sleep((self.endpoint.place.partner.setup_ms + (setup.size if setup else 0)) / 1000)
            if not self._carry(sock, sender, incoming, first, first_call):
                return
            first_call = False

    def _while_cut(self, sock: gevent.socket.socket) -> None:
        """Keep the connection open and silent until the machine is back, which resets it."""
        while self.cut and sock in self.conns and sock.fileno() >= 0:
            gevent.sleep(0.05)

    def _carry(self, sock: gevent.socket.socket, sender: int, incoming: Incoming, first: int, new: bool) -> bool:
        """One call from its last byte to its answer; whether the connection goes on."""
        now = self.day.now()
        self.calls += 1
        body = b"".join(incoming.parts)
        record = Called(incoming.id, incoming.mark, self.endpoint.uid, self.destination, sender, first, now)
        if self.keep:
            record.body_ok = (
                body == message_body(incoming.id, self.day.body_sizes.get(incoming.id, 0)) if incoming.id else False
            )
            self.day.history.called.append(record)
        self.held[sock] = record
        reply: Reply | Work | None
        if new and self.endpoint.full():
            reply = Reply(503)
        else:
            reply = self.endpoint.arrive(now, incoming.id, incoming.mark)
        if reply is None:
            self._fall()
            return False
        if isinstance(reply, Work):
            settled: Reply | int = reply.finish
            while isinstance(settled, int):
                if not self._still_there(sock, settled):
                    return False
                settled = self.endpoint.settle(max(self.day.now(), settled), reply)
            reply = settled
        if reply.spoilt == "last" and not self._still_there(sock, first + min(incoming.left, LONGEST_LAST)):
            return False
        if self.cut:
            record.ran = reply.ran
            self._watch_silently(sock, record)
            return False
        record.ended, record.status, record.wait = self.day.now(), reply.status, reply.wait
        record.ran, record.repeat, record.spoilt = reply.ran, reply.repeat, reply.spoilt
        record.left = peek_byte(sock) == b""  # sets the timeout to 0
        if reply.spoilt == "noise":
            record.status = 0
        del self.held[sock]
        sock.settimeout(5.0)
        whole = written(reply)
        if reply.spoilt == "pieces":
            sock.sendall(whole[:-2])
            gevent.sleep(PIECES)
            whole = whole[-2:]
        sock.sendall(whole)
        if reply.spoilt in ("", "copy", "report", "interim", "pieces", "last"):
            return not (new and self.endpoint.full())
        self._after_spoilt(sock, reply)
        return False

    def _still_there(self, sock: gevent.socket.socket, until: int) -> bool:
        """Wait until a time; whether the caller is still there. What it sends meanwhile is not read."""
        while (left := until - self.day.now()) > AT_ONCE:
            if sock.fileno() < 0:  # a fault has reset the connection during the sleep below
                return False
            try:
                gevent.socket.wait_read(sock.fileno(), left / 1_000_000, TIME_IS_UP)
            except TimeoutError:
                return True
            if not sock.recv(1, gevent.socket.MSG_PEEK):
                return False
            gevent.sleep(min(left / 1_000_000, 0.005))
        return True

    def _watch_silently(self, sock: gevent.socket.socket, record: Called) -> None:
        """A call whose answer is lost on a cut network: it is out until its caller gives it up."""
        while self.cut and sock in self.conns:
            try:
                gevent.socket.wait_read(sock.fileno(), 0.05, TIME_IS_UP)
            except TimeoutError:
                continue
            if not sock.recv(1, gevent.socket.MSG_PEEK):
                return
            gevent.sleep(0.01)

    def _after_spoilt(self, sock: gevent.socket.socket, reply: Reply) -> None:
        sent = 0
        if reply.spoilt == "huge":
            while sent < HUGE:
                sock.sendall(b"z" * 65536)
                sent += 65536
        sock.settimeout(SPOILT_STAYS)
        while sock.recv(4096):
            pass


def written(reply: Reply) -> bytes:
    """An answer's bytes, spoilt where the model says so."""
    status = b"HTTP/1.1 %d %s\r\n" % (reply.status, REASONS[reply.status])
    lines = status
    if reply.wait:
        lines += b"X-Backoff-Ms: %d\r\n" % (reply.wait // 1000)
    if reply.spoilt == "report":
        lines += b"X-Pressure: x0=nan,x1=1e999,=,\xff\r\n"
    elif reply.report is not None:
        lines += b"X-Pressure: x0=%g,x1=%g\r\n" % reply.report
    whole = lines + b"Content-Length: 2\r\n\r\nok"
    if reply.spoilt == "noise":
        return bytes(range(1, 200)) * 3
    if reply.spoilt == "endless":
        return lines + b"X-Fill: " + b"y" * 70000
    if reply.spoilt == "short":
        return lines + b"Content-Length: 999\r\n\r\nok"
    if reply.spoilt == "huge":
        return lines + b"Content-Length: 3000000000\r\n\r\n"
    if reply.spoilt == "stops":
        return whole[:-2]
    if reply.spoilt == "copy":
        return whole + whole
    if reply.spoilt == "interim":
        return b"HTTP/1.1 100 Continue\r\n\r\n" + whole
    return whole
