"""The fault relay: a proxy between two senders that injects faults into their link.

    relay = Relay("n0>n1", ("127.0.20.2", 7100), seed)     listens; n0 is configured with `relay.address` for n1
    number = relay.begin(Fault(kind="cut", way="answers"))  begins and prints a fault
    relay.end(number)                                       ends it; `heal()` ends all

A relay serves one directed pair of senders: requests ("asks") go from the caller to the callee, "answers" go back.
Messages are HTTP/1.1, one at a time on each connection. A relay reads each message as a whole, so that faults apply
at message boundaries. The kinds of faults:

    cut          in both directions: open and new connections are reset. In one direction: all data in that direction
                 is dropped silently, as on a network that loses packets one way; the other direction is unaffected
    silent       drops data like a cut in one direction, for the given directions; connections stay open. With `held`,
                 nothing is lost: all data is delivered when the fault ends
    delay        delays each message by `ms` and a drawn part of `jitter_ms`
    trickle      forwards `size` bytes at a time, `ms` apart
    reset        resets the connection when `size` bytes of a message have been forwarded
    ask-lost     drops a request; then the connection is reset, or stays silent
    answer-lost  forwards a request and drops its answer; then the connection is reset, or stays silent
    twice        sends a request a second time on another connection, `ms` and up to `jitter_ms` later; the caller
                 never sees the second answer
    answer-twice sends an answer a second time on the same connection, `ms` and up to `jitter_ms` later

The last seven affect a `share` of the messages, at most `times` (0: any number), and only those whose request contains
`holding`. A connection that has lost bytes of its stream is reset when the fault ends, since nothing more could be
parsed on it.
"""

import contextlib
import random
from collections import Counter
from collections.abc import Callable
from typing import Any, Literal

import gevent
import gevent.event
import gevent.socket
import httptools
import msgspec

from cedarwick.lab.listeners import accept_connections, listen, reset_connection

Kind = Literal["cut", "silent", "delay", "trickle", "reset", "ask-lost", "answer-lost", "twice", "answer-twice"]
Direction = Literal["asks", "answers"]
Tap = Callable[[Direction, bytes], None]

MAX_MESSAGE_BYTES = 4 << 20  # the connection of a larger message is reset
MAX_CONNECTIONS = 256  # open at once; the oldest is reset to make room for one more
CONNECT_TIMEOUT_S = 2.0  # for the connection to the callee
DUPLICATE_TIMEOUT_S = 5.0  # for the answer to a duplicated request
READ_BYTES = 65536  # read at once
HELD_POLL_S = 1.0  # longest time between two checks whether a held or dropped direction is open again


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """One fault of a directed pair; times are milliseconds, `size` is in bytes."""

    kind: Kind
    way: Direction | Literal["both"] = "both"
    held: bool = False
    ms: float = 0.0
    jitter_ms: float = 0.0
    size: int = 1
    share: float = 1.0
    times: int = 0
    holding: bytes = b""
    then: Literal["reset", "silent"] = "reset"

    def applies_to(self, way: Direction) -> bool:
        """Whether the fault applies to this direction."""
        return self.way in ("both", way)

    def describe(self) -> str:
        """Return the fault in one line: its kind, and the settings that differ from the defaults."""
        default = Fault(kind=self.kind)
        settings = [
            f"{name} {getattr(self, name)}"
            for name in self.__struct_fields__[1:]
            if getattr(self, name) != getattr(default, name)
        ]
        return ", ".join([self.kind, *settings])


def encoded_type(type_name: str) -> bytes:
    """Return the bytes that a message between senders contains if it is, or carries, a message of a type.

    For `Fault.holding`, and for taps.
    """
    return msgspec.msgpack.encode(type_name)


class Relay:
    """The relay of one directed pair of senders; `counts` counts what was done to their messages."""

    def __init__(
        self,
        name: str,
        target: tuple[str, int],
        seed: int,
        host: str = "127.0.0.1",
        print_line: Callable[[str], None] = print,
    ) -> None:
        self.name = name
        self.target = target
        self.print_line = print_line
        self.rng = random.Random(f"{seed} {name}")
        self.faults: dict[int, Fault] = {}
        self.hits_left: dict[int, int] = {}  # by fault: the number of messages that it may still affect
        self.next_number = 1
        self.counts: Counter[str] = Counter()
        self.taps: list[Tap] = []  # called with each whole message before any fault is applied
        self.changed = gevent.event.Event()
        self.connections: dict[Connection, None] = {}
        self.listener = listen((host, 0))
        self.address: tuple[str, int] = self.listener.getsockname()[:2]
        self.accepting = gevent.spawn(self._accept)

    # ---- beginning and ending faults ----

    def begin(self, fault: Fault) -> int:
        """Begin a fault; returns its number for `end`."""
        number = self.next_number
        self.next_number += 1
        self.faults[number] = fault
        if fault.times:
            self.hits_left[number] = fault.times
        self.print_line(f"{self.name}: {fault.describe()}")
        self._apply_change()
        return number

    def end(self, number: int) -> None:
        """End a fault; does nothing if it has already ended by itself."""
        fault = self.faults.pop(number, None)
        self.hits_left.pop(number, None)
        if fault is not None:
            self.print_line(f"{self.name}: {fault.kind} ended")
            self._apply_change()

    def heal(self) -> None:
        """End all faults."""
        for number in list(self.faults):
            self.end(number)

    def close(self) -> None:
        """Close the listener and all connections."""
        self.accepting.kill()
        self.listener.close()
        for connection in list(self.connections):
            connection.end()

    def _apply_change(self) -> None:
        """Wake the waiting connections, and reset those that the change of faults ends."""
        self.changed.set()
        self.changed = gevent.event.Event()
        for connection in list(self.connections):
            if (
                self.refuses_connections()
                or connection.stream_broken
                and not (self.drops("asks") or self.drops("answers"))
            ):
                self.counts["connections reset"] += 1
                connection.end()

    # ---- faults in effect ----

    def refuses_connections(self) -> bool:
        """Whether new connections are refused and open ones are reset."""
        return any(fault.kind == "cut" and fault.way == "both" for fault in self.faults.values())

    def drops(self, way: Direction) -> bool:
        """Whether all data in this direction is dropped silently."""
        return any(
            fault.kind in ("cut", "silent") and fault.applies_to(way) and not fault.held
            for fault in self.faults.values()
        )

    def holds_back(self, way: Direction) -> bool:
        """Whether all data in this direction is held back until a fault ends."""
        return any(fault.kind == "silent" and fault.applies_to(way) and fault.held for fault in self.faults.values())

    def delay_s(self, way: Direction, request: bytes) -> float:
        """Return the seconds by which one message is delayed."""
        return sum(self.draw_delay_ms(fault) / 1000 for fault in self._faults_hitting("delay", way, request))

    def first_fault_hitting(self, kind: Kind, way: Direction, request: bytes) -> Fault | None:
        """Return a fault of a kind that affects one message, given the request that the message is or answers."""
        return next(iter(self._faults_hitting(kind, way, request)), None)

    def draw_delay_ms(self, fault: Fault) -> float:
        """Draw the delay that a fault adds to one message."""
        return fault.ms + (self.rng.uniform(0, fault.jitter_ms) if fault.jitter_ms else 0.0)

    def _faults_hitting(self, kind: Kind, way: Direction, request: bytes) -> list[Fault]:
        hitting = []
        for number, fault in list(self.faults.items()):
            if fault.kind != kind or not fault.applies_to(way) or fault.holding not in request:
                continue
            if fault.share < 1 and self.rng.random() >= fault.share:
                continue
            hitting.append(fault)
            self.counts[f"{way}: {kind}"] += 1
            if fault.times:
                self.hits_left[number] -= 1
                if not self.hits_left[number]:
                    self.end(number)
        return hitting

    # ---- connections ----

    def _accept(self) -> None:
        for sock in accept_connections(self.listener):
            if self.refuses_connections():
                self.counts["connections refused"] += 1
                reset_connection(sock)
                continue
            while len(self.connections) >= MAX_CONNECTIONS:
                self.counts["connections above the limit"] += 1
                next(iter(self.connections)).end()
            self.counts["connections"] += 1
            self.connections[Connection(self, sock)] = None

    def send_duplicate(self, raw: bytes, fault: Fault) -> None:
        """Send a request again on a separate connection, and discard its answer."""
        gevent.sleep(self.draw_delay_ms(fault) / 1000)
        if self.refuses_connections() or self.drops("asks"):
            return
        try:
            with gevent.socket.create_connection(self.target, CONNECT_TIMEOUT_S) as sock:
                sock.settimeout(DUPLICATE_TIMEOUT_S)
                sock.sendall(raw)
                Message(httptools.HttpResponseParser).read(sock)
            self.counts["duplicates sent"] += 1
        except (OSError, UnreadableFrameError):
            self.counts["duplicates failed"] += 1


class UnreadableFrameError(Exception):
    """A message that is not HTTP, or too large."""


class Message:
    """One HTTP message that is being received; httptools finds its end."""

    def __init__(self, parser: Callable[["Message"], Any]) -> None:
        self.complete = False
        self.parser = parser(self)

    def on_message_complete(self) -> None:
        """Callback of the parser at the end of the message."""
        self.complete = True

    def read(self, sock: gevent.socket.socket) -> tuple[bytes, bool]:
        """Read all bytes of the message, and whether it is whole: the connection may end before.

        Raises `UnreadableFrameError` and OSError.
        """
        parts: list[bytes] = []
        size = 0
        while not self.complete:
            data = sock.recv(READ_BYTES)
            if not data:
                return b"".join(parts), False
            parts.append(data)
            size += len(data)
            if size > MAX_MESSAGE_BYTES:
                raise UnreadableFrameError(f"message exceeds {MAX_MESSAGE_BYTES} bytes")
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserError as error:
                raise UnreadableFrameError(str(error)) from None
        return b"".join(parts), True


class Connection:
    """One connection through a relay: two sockets, and a greenlet for each direction."""

    def __init__(self, relay: Relay, caller: gevent.socket.socket) -> None:
        self.relay = relay
        self.caller = caller
        self.callee: gevent.socket.socket | None = None
        self.request = b""  # the present request, or the last one
        self.answer_loss: Fault | None = None  # the fault that drops the present answer
        self.stream_broken = False  # whether bytes of its stream were lost
        self.ended = False
        caller.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
        gevent.spawn(self._handle_errors, self._forward_requests)

    def end(self, gently: bool = False) -> None:
        """Close both sockets; they are reset unless `gently`."""
        self.ended = True
        self.relay.connections.pop(self, None)
        for sock in (self.caller, self.callee):
            if sock is not None:
                sock.close() if gently else reset_connection(sock)

    def _handle_errors(self, work: Callable[[], None]) -> None:
        try:
            work()
        except OSError:
            # Caution: on a silent network neither side learns that the other one has closed the connection.
            self._wait_open("asks" if work == self._forward_requests else "answers")
            self.end()
        except UnreadableFrameError:
            self.relay.counts["unreadable"] += 1
            self.end()

    def _forward_requests(self) -> None:
        if not (self.relay.drops("asks") or self.relay.holds_back("asks")):
            self._callee_socket()
        while True:
            raw, whole = Message(httptools.HttpRequestParser).read(self.caller)
            if whole:
                self.request, self.answer_loss = raw, None
                for tap in list(self.relay.taps):
                    tap("asks", raw)
            if raw and self._wait_and_check_delivery("asks", raw) and not self._drop_request():
                if whole:
                    self.answer_loss = self.relay.first_fault_hitting("answer-lost", "answers", raw)
                    if (twice := self.relay.first_fault_hitting("twice", "asks", raw)) is not None:
                        gevent.spawn(self.relay.send_duplicate, raw, twice)
                self._write("asks", self._callee_socket(), raw)
            if not whole:
                self._wait_open("asks")
                return self.end(gently=True)

    def _forward_answers(self) -> None:
        assert self.callee is not None
        while True:
            raw, whole = Message(httptools.HttpResponseParser).read(self.callee)
            if whole:
                for tap in list(self.relay.taps):
                    tap("answers", raw)
            if self.answer_loss is not None and raw:
                self.stream_broken = True
                if self.answer_loss.then == "reset":
                    return self.end()
            elif raw and self._wait_and_check_delivery("answers", raw):
                self._write("answers", self.caller, raw)
                if (copied := self.relay.first_fault_hitting("answer-twice", "answers", self.request)) is not None:
                    gevent.spawn_later(self.relay.draw_delay_ms(copied) / 1000, self._write_second_copy, raw)
            if not whole:
                self._wait_open("answers")
                return self.end(gently=True)

    def _wait_and_check_delivery(self, way: Direction, raw: bytes) -> bool:
        """Wait while the message is held back or delayed; returns whether it is delivered at all."""
        relay, delayed = self.relay, False
        while not self.ended:
            if relay.drops(way):
                relay.counts[f"{way}: dropped"] += 1
                self.stream_broken = True
                return False
            if relay.holds_back(way):
                relay.counts[f"{way}: held"] += 1
                relay.changed.wait()
            elif not delayed and (delay := relay.delay_s(way, self.request)):
                gevent.sleep(delay)
                delayed = True
            else:
                return True
        return False

    def _drop_request(self) -> bool:
        fault = self.relay.first_fault_hitting("ask-lost", "asks", self.request)
        if fault is None:
            return False
        self.stream_broken = True
        if fault.then == "reset":
            self.end()
        return True

    def _write(self, way: Direction, sock: gevent.socket.socket, raw: bytes) -> None:
        """Write the message as far and as fast as the faults allow."""
        reset_fault = self.relay.first_fault_hitting("reset", way, self.request)
        if reset_fault is not None and len(raw) > reset_fault.size:
            sock.sendall(raw[: reset_fault.size])
            gevent.sleep(0.005)  # the receiver must read the data before the reset discards it
            return self.end()
        slow = self.relay.first_fault_hitting("trickle", way, self.request)
        if slow is None:
            sock.sendall(raw)
        else:
            step = max(1, slow.size)
            for offset in range(0, len(raw), step):
                sock.sendall(raw[offset : offset + step])
                gevent.sleep(slow.ms / 1000)
        self.relay.counts[f"{way}: passed"] += 1

    def _write_second_copy(self, raw: bytes) -> None:
        if self.ended or self.relay.drops("answers"):
            return
        with contextlib.suppress(OSError):
            self.caller.sendall(raw)
            self.relay.counts["answers: second copies"] += 1

    def _callee_socket(self) -> gevent.socket.socket:
        """Return the connection to the callee, opened when first needed; OSError if connecting fails."""
        if self.callee is None:
            self.callee = gevent.socket.create_connection(self.relay.target, CONNECT_TIMEOUT_S)
            self.callee.settimeout(None)
            self.callee.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
            if self.ended:
                self.callee.close()
                raise ConnectionResetError
            gevent.spawn(self._handle_errors, self._forward_answers)
        return self.callee

    def _wait_open(self, way: Direction) -> None:
        """Wait while a direction is silent: then not even the end of the connection is passed on."""
        while not self.ended and (self.relay.drops(way) or self.relay.holds_back(way)):
            self.relay.changed.wait(HELD_POLL_S)
