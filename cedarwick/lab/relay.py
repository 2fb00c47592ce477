"""The fault relay: a proxy between two senders that injects faults into their link on command.

    relay = Relay("n0>n1", ("127.0.20.2", 7100), seed)     listens; n0's configuration has `relay.address` as n1's
    number = relay.begin(Fault(kind="cut", way="answers"))  a fault begins, and is said
    relay.end(number)                                       it ends; `heal()` ends all

One relay is one directed pair: requests ("asks") go from the one who calls to the one who answers, "answers" go
back. Messages are HTTP/1.1, one at a time on each connection; a relay reads each whole, so every fault knows its
borders. What a fault means to the two:

    cut          both ways: connections are reset, new ones too. One way: what goes that way vanishes without a
                 trace, as on a network that loses packets in one direction; the other way goes on
    silent       as a cut one way, for the ways named; connections stay open. `held`: nothing is lost, it all
                 comes late, when the fault ends
    delay        `ms` and up to `jitter_ms` more for each message, drawn
    trickle      `size` bytes at a time, `ms` apart
    reset        the connection is reset when `size` bytes of a message have got through
    ask-lost     the request never arrives; then the connection is reset, or stays silent
    answer-lost  the request arrives and is answered; the answer is lost, the connection reset or silent
    twice        the request comes a second time on another connection, `ms` and up to `jitter_ms` later; whoever
                 asked never sees that second answer

The last six hit a `share` of the messages, at most `times` (0: any number), and only requests that hold `holding`.
A connection that has lost bytes in the middle is reset when its fault ends: nothing could be read on it.
"""

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

Kind = Literal["cut", "silent", "delay", "trickle", "reset", "ask-lost", "answer-lost", "twice"]
Way = Literal["asks", "answers"]
Tap = Callable[[Way, bytes], None]

MOST = 4 << 20  # bytes of one message; beyond this its connection is reset
MOST_OPEN = 256  # connections at once; the oldest is reset for one more
CONNECT = 2.0  # seconds for a connection to whoever answers
SECOND_ANSWER = 5.0  # seconds in which a message given twice may be answered
PIECE = 65536
LOOK = 1.0  # seconds at most between two looks of a message that is held


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """One fault of one pair; times are milliseconds, `size` is in bytes."""

    kind: Kind
    way: Way | Literal["both"] = "both"
    held: bool = False
    ms: float = 0.0
    jitter_ms: float = 0.0
    size: int = 1
    share: float = 1.0
    times: int = 0
    holding: bytes = b""
    then: Literal["reset", "silent"] = "reset"

    def goes(self, way: Way) -> bool:
        """Whether the fault applies to this direction."""
        return self.way in ("both", way)

    def said(self) -> str:
        """The fault in one line: what differs from the plain one of its kind."""
        plain = Fault(kind=self.kind)
        settings = [
            f"{name} {getattr(self, name)}"
            for name in self.__struct_fields__[1:]
            if getattr(self, name) != getattr(plain, name)
        ]
        return ", ".join([self.kind, *settings])


def named(message: str) -> bytes:
    """What a peer message between senders holds where it is, or carries, a message of a type:

    for `holding`, and for taps.
    """
    return msgspec.msgpack.encode(message)


class Relay:
    """One directed pair of senders; `did` counts what was done to their messages."""

    def __init__(
        self,
        name: str,
        target: tuple[str, int],
        seed: int,
        host: str = "127.0.0.1",
        say: Callable[[str], None] = print,
    ) -> None:
        self.name = name
        self.target = target
        self.say = say
        self.chance = random.Random(f"{seed} {name}")
        self.faults: dict[int, Fault] = {}
        self.left: dict[int, int] = {}  # by fault: how many messages it may still hit
        self.next_number = 1
        self.did: Counter[str] = Counter()
        self.taps: list[Tap] = []  # each whole message, before anything is done to it
        self.changed = gevent.event.Event()
        self.open: dict[Connection, None] = {}
        self.listener = listen((host, 0))
        self.address: tuple[str, int] = self.listener.getsockname()[:2]
        self.accepting = gevent.spawn(self._accept)

    # ---- switches ----

    def begin(self, fault: Fault) -> int:
        """Begin a fault; the number by which it ends."""
        number = self.next_number
        self.next_number += 1
        self.faults[number] = fault
        if fault.times:
            self.left[number] = fault.times
        self.say(f"{self.name}: {fault.said()}")
        self._switched()
        return number

    def end(self, number: int) -> None:
        """End a fault; does nothing for one that has ended by itself."""
        fault = self.faults.pop(number, None)
        self.left.pop(number, None)
        if fault is not None:
            self.say(f"{self.name}: no more {fault.kind}")
            self._switched()

    def heal(self) -> None:
        """End all faults."""
        for number in list(self.faults):
            self.end(number)

    def close(self) -> None:
        """Close the listener and all connections."""
        self.accepting.kill()
        self.listener.close()
        for connection in list(self.open):
            connection.end()

    def _switched(self) -> None:
        self.changed.set()
        self.changed = gevent.event.Event()
        for connection in list(self.open):
            if self.severed() or connection.torn and not (self.swallows("asks") or self.swallows("answers")):
                self.did["connections reset"] += 1
                connection.end()

    # ---- what holds now ----

    def severed(self) -> bool:
        """Whether connections are refused and reset."""
        return any(fault.kind == "cut" and fault.way == "both" for fault in self.faults.values())

    def swallows(self, way: Way) -> bool:
        """Whether what goes this way is lost without a trace."""
        return any(
            fault.kind in ("cut", "silent") and fault.goes(way) and not fault.held for fault in self.faults.values()
        )

    def holds(self, way: Way) -> bool:
        """Whether what goes this way is kept until a fault ends."""
        return any(fault.kind == "silent" and fault.goes(way) and fault.held for fault in self.faults.values())

    def late(self, way: Way, asked: bytes) -> float:
        """Seconds for which one message is kept back."""
        return sum(self.drawn_ms(fault) / 1000 for fault in self._hitting("delay", way, asked))

    def hit(self, kind: Kind, way: Way, asked: bytes) -> Fault | None:
        """The fault of a kind that hits one message, given the request that it is or answers."""
        return next(iter(self._hitting(kind, way, asked)), None)

    def drawn_ms(self, fault: Fault) -> float:
        return fault.ms + (self.chance.uniform(0, fault.jitter_ms) if fault.jitter_ms else 0.0)

    def _hitting(self, kind: Kind, way: Way, asked: bytes) -> list[Fault]:
        found = []
        for number, fault in list(self.faults.items()):
            if fault.kind != kind or not fault.goes(way) or fault.holding not in asked:
                continue
            if fault.share < 1 and self.chance.random() >= fault.share:
                continue
            found.append(fault)
            self.did[f"{way}: {kind}"] += 1
            if fault.times:
                self.left[number] -= 1
                if not self.left[number]:
                    self.end(number)
        return found

    # ---- connections ----

    def _accept(self) -> None:
        for sock in accept_connections(self.listener):
            if self.severed():
                self.did["connections refused"] += 1
                reset_connection(sock)
                continue
            while len(self.open) >= MOST_OPEN:
                self.did["connections too many"] += 1
                next(iter(self.open)).end()
            self.did["connections"] += 1
            self.open[Connection(self, sock)] = None

    def again(self, raw: bytes, fault: Fault) -> None:
        """Give a request once more on a connection of its own, and throw its answer away."""
        gevent.sleep(self.drawn_ms(fault) / 1000)
        if self.severed() or self.swallows("asks"):
            return
        try:
            with gevent.socket.create_connection(self.target, CONNECT) as sock:
                sock.settimeout(SECOND_ANSWER)
                sock.sendall(raw)
                Message(httptools.HttpResponseParser).read(sock)
            self.did["given twice"] += 1
        except (OSError, UnreadableFrameError):
            self.did["given twice in vain"] += 1


class UnreadableFrameError(Exception):
    """A message that is no HTTP or too large to be kept."""


class Message:
    """One HTTP message as it comes in; httptools finds its end."""

    def __init__(self, parser: Callable[["Message"], Any]) -> None:
        self.complete = False
        self.parser = parser(self)

    def on_message_complete(self) -> None:
        self.complete = True

    def read(self, sock: gevent.socket.socket) -> tuple[bytes, bool]:
        """All its bytes, and whether it is whole: a connection may end before. `UnreadableFrameError`, OSError."""
        parts: list[bytes] = []
        size = 0
        while not self.complete:
            data = sock.recv(PIECE)
            if not data:
                return b"".join(parts), False
            parts.append(data)
            size += len(data)
            if size > MOST:
                raise UnreadableFrameError(f"a message of more than {MOST} bytes")
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserError as error:
                raise UnreadableFrameError(str(error)) from None
        return b"".join(parts), True


class Connection:
    """One connection through a relay: two sockets, and a greenlet for each way."""

    def __init__(self, relay: Relay, asking: gevent.socket.socket) -> None:
        self.relay = relay
        self.asking = asking
        self.answering: gevent.socket.socket | None = None
        self.asked = b""  # the request under way, or the last one
        self.losing: Fault | None = None  # its answer is to be lost
        self.torn = False  # bytes are missing on it
        self.ended = False
        asking.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
        gevent.spawn(self._guarded, self._pass_asks)

    def end(self, gently: bool = False) -> None:
        """Close both sides; a reset, unless gently."""
        self.ended = True
        self.relay.open.pop(self, None)
        for sock in (self.asking, self.answering):
            if sock is not None:
                sock.close() if gently else reset_connection(sock)

    def _guarded(self, work: Callable[[], None]) -> None:
        try:
            work()
        except OSError:
            # Danger: on a silent network nobody learns that the other side has gone.
            self._wait_open("asks" if work == self._pass_asks else "answers")
            self.end()
        except UnreadableFrameError:
            self.relay.did["unreadable"] += 1
            self.end()

    def _pass_asks(self) -> None:
        if not (self.relay.swallows("asks") or self.relay.holds("asks")):
            self._other_side()
        while True:
            raw, whole = Message(httptools.HttpRequestParser).read(self.asking)
            if whole:
                self.asked, self.losing = raw, None
                for tap in list(self.relay.taps):
                    tap("asks", raw)
            if raw and self._reaches("asks", raw) and not self._ask_is_lost():
                if whole:
                    self.losing = self.relay.hit("answer-lost", "answers", raw)
                    if (twice := self.relay.hit("twice", "asks", raw)) is not None:
                        gevent.spawn(self.relay.again, raw, twice)
                self._write("asks", self._other_side(), raw)
            if not whole:
                self._wait_open("asks")
                return self.end(gently=True)

    def _pass_answers(self) -> None:
        assert self.answering is not None
        while True:
            raw, whole = Message(httptools.HttpResponseParser).read(self.answering)
            if whole:
                for tap in list(self.relay.taps):
                    tap("answers", raw)
            if self.losing is not None and raw:
                self.torn = True
                if self.losing.then == "reset":
                    return self.end()
            elif raw and self._reaches("answers", raw):
                self._write("answers", self.asking, raw)
            if not whole:
                self._wait_open("answers")
                return self.end(gently=True)

    def _reaches(self, way: Way, raw: bytes) -> bool:
        """Wait as long as the message is kept back; whether it gets through at all."""
        relay, slept = self.relay, False
        while not self.ended:
            if relay.swallows(way):
                relay.did[f"{way}: swallowed"] += 1
                self.torn = True
                return False
            if relay.holds(way):
                relay.did[f"{way}: held"] += 1
                relay.changed.wait()
            elif not slept and (late := relay.late(way, self.asked)):
                gevent.sleep(late)
                slept = True
            else:
                return True
        return False

    def _ask_is_lost(self) -> bool:
        lost = self.relay.hit("ask-lost", "asks", self.asked)
        if lost is None:
            return False
        self.torn = True
        if lost.then == "reset":
            self.end()
        return True

    def _write(self, way: Way, sock: gevent.socket.socket, raw: bytes) -> None:
        """The message, or as much of it and as fast as the faults allow."""
        broken = self.relay.hit("reset", way, self.asked)
        if broken is not None and len(raw) > broken.size:
            sock.sendall(raw[: broken.size])
            gevent.sleep(0.005)  # what was written must be read before the reset throws it away
            return self.end()
        slow = self.relay.hit("trickle", way, self.asked)
        if slow is None:
            sock.sendall(raw)
        else:
            step = max(1, slow.size)
            for at in range(0, len(raw), step):
                sock.sendall(raw[at : at + step])
                gevent.sleep(slow.ms / 1000)
        self.relay.did[f"{way}: passed"] += 1

    def _other_side(self) -> gevent.socket.socket:
        """The connection on to whoever answers, made when first needed; OSError where none comes up."""
        if self.answering is None:
            self.answering = gevent.socket.create_connection(self.relay.target, CONNECT)
            self.answering.settimeout(None)
            self.answering.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
            if self.ended:
                self.answering.close()
                raise ConnectionResetError
            gevent.spawn(self._guarded, self._pass_answers)
        return self.answering

    def _wait_open(self, way: Way) -> None:
        """Not even an end is noticed on a way that is silent."""
        while not self.ended and (self.relay.swallows(way) or self.relay.holds(way)):
            self.relay.changed.wait(LOOK)
