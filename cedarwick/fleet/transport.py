"""Peer messages between members over HTTP/1.1: a server on the member's own address, a connection pool to the others.

A refusal is a peer message with `RequestRefused`, whatever the status beside it: 4xx where the peer message is at
fault, 503 where there are too many, 500 where its handler failed. Callers retry with `backoff.Backoff`; nothing is sent
twice here.
"""

import contextlib
import time
from collections.abc import Callable, Iterable, Mapping

import gevent
import gevent.socket
import httptools
from gevent.lock import BoundedSemaphore
from gevent.pool import Pool
from gevent.server import StreamServer

from cedarwick.errors import CedarwickError
from cedarwick.fleet.messages import (
    MAX_MESSAGE_BYTES,
    Body,
    Heartbeat,
    InvalidPeerMessageError,
    LeaseRequest,
    PeerMessage,
    PeerMessageHeader,
    RequestRefused,
    decode,
    encode,
    head_of,
)
from cedarwick.fleet.peer_verifier import PeerVerifier
from cedarwick.net import http
from cedarwick.net.buffer import Buffer
from cedarwick.net.counters import Counters
from cedarwick.net.sockets import is_closed, open_connection

PATH = b"/fleet/1"
MOST_AT_ONCE = 64  # peer messages being answered; those above get 503, but for heartbeats and lease requests
SMALL = 1 << 13  # bytes of a heartbeat or a lease request, at most
MOST_CONNECTIONS = 256  # further ones wait in the backlog
BACKLOG = 256
LONGEST_HEAD = 1 << 13  # bytes of header lines
READ = 1 << 16  # bytes read at once
READ_WITHIN = 2.0  # seconds for a body, and for a head on top of the idle time
SILENT = 15.0  # seconds that a connection may be idle at the server
IDLE_LIMIT = 10.0  # seconds that a client keeps an idle connection: less than SILENT, or it would meet the close
IN_FLIGHT = 4  # calls to one member at once, each on a connection of its own
QUEUE = 64  # calls to one member in flight and waiting

Address = tuple[str, int]
Handling = Callable[[PeerMessage], PeerMessage]


class NotAPeerMessageError(CedarwickError):
    """A request to the fleet's address that brings no peer message."""

    code = "CW707"
    remedy = "ask who calls the fleet's address: only members do, by POST with a Content-Length"


class PeerMessageTooLargeError(CedarwickError):
    """A peer message larger than any member reads."""

    code = "CW708"
    remedy = "report it, with the log of the sender that wrote it"


class TooManyRequestsError(CedarwickError):
    """As many peer messages are being answered as may be at once."""

    code = "CW709"
    remedy = "the caller tries again by itself; if it lasts, look at the load and lag of this member"


class RequestTimeoutError(CedarwickError):
    """A request on the fleet's address that did not come in time."""

    code = "CW710"
    remedy = "look at the network between the two senders"


class AnswerFailedError(CedarwickError):
    """A peer message met an error in the program; the sender goes on."""

    code = "CW711"
    remedy = "see the log of the member that was called for the trace, and report it"


class PeerUnreachableError(CedarwickError):
    """A member did not answer, or not with a peer message: the request may have got through."""

    code = "CW712"
    remedy = "look at that member's process and at the network between the two"


class PeerRefusedError(CedarwickError):
    """A member read the peer message and refused it; `refused` is its answer."""

    code = "CW713"
    remedy = "do what docs/errors.md says for the code that the member gave"
    refused: RequestRefused


STATUS: dict[type[CedarwickError], bytes] = {
    NotAPeerMessageError: b"404 Not Found",
    PeerMessageTooLargeError: b"413 Content Too Large",
    TooManyRequestsError: b"503 Service Unavailable",
    RequestTimeoutError: b"408 Request Timeout",
    InvalidPeerMessageError: b"400 Bad Request",
    AnswerFailedError: b"500 Internal Server Error",
}
AT_FAULT = b"409 Conflict"  # every other refusal


# ---- the server ----


class HttpRequest:
    """One request as it comes in; the parser calls the `on_` methods."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.fed = 0  # bytes, up to the end of the head at least
        self.url = b""
        self.method = b""  # once the head was read
        self.size = -1  # of the body according to the head; -1: not given
        self.messages: bytearray | None = bytearray()  # the body so far; None: nobody wants it
        self.complete = False
        self.keep_alive = False

    def on_message_begin(self) -> None:
        """Raises `http.InvalidResponseError` for a second request in the same bytes."""
        if self.complete:
            raise http.InvalidResponseError("bytes after the request")

    def on_url(self, part: bytes) -> None:
        self.url += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note the size of the body; raises `ValueError` for one that is no number."""
        if name.lower() == b"content-length":
            self.size = int(value)

    def on_headers_complete(self) -> None:
        self.method = self.parser.get_method()

    def on_body(self, part: bytes) -> None:
        if self.messages is not None:
            self.messages += part

    def on_message_complete(self) -> None:
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()

    def feed(self, data: bytes) -> None:
        """Parse more bytes; raises `http.InvalidResponseError` for what is no request, or for too long a head."""
        first = data if self.method else data[: LONGEST_HEAD - self.fed]
        self.fed += len(first)
        try:
            self.parser.feed_data(first)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError) as error:
            if not self.complete:
                raise http.InvalidResponseError(str(error) or type(error).__name__) from None
            self.keep_alive = False  # bytes after a whole request: members never write any
        if not self.method and self.fed >= LONGEST_HEAD:
            raise http.InvalidResponseError("a head without an end")
        if self.complete:
            self.keep_alive &= len(first) == len(data)
        elif len(first) < len(data):
            self.feed(data[len(first) :])


class PeerServer:
    """Answers the peer messages of other members, each in the greenlet of its connection."""

    def __init__(self, where: Address, gate: PeerVerifier, counters: Counters, answer: Handling) -> None:
        """Bind and listen at once; raises `OSError`. With port 0 the system chooses; `port` is the one in use."""
        self.gate = gate
        self.counters = counters
        self.answer = answer
        self.busy = 0
        listener = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
        try:
            listener.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_REUSEADDR, 1)
            listener.bind(where)
            listener.listen(BACKLOG)
        except OSError:
            listener.close()
            raise
        self.port = int(listener.getsockname()[1])
        self.http = StreamServer(listener, self._connection, spawn=Pool(MOST_CONNECTIONS))

    def start(self) -> None:
        """Begin to accept connections."""
        self.http.start()

    def stop(self, within_s: float = 0.5) -> None:
        """Accept no more, wait up to `within_s` seconds for answers in progress, then close every connection."""
        self.http.close()
        end = time.monotonic() + within_s
        while self.busy and time.monotonic() < end:
            gevent.sleep(0.005)
        self.http.stop(timeout=0)

    def _connection(self, sock: gevent.socket.socket, caller: Address) -> None:
        """One request after another, until the caller goes, is silent for too long or cannot be understood."""
        try:
            sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
            while (request := self._head(sock)) is not None:
                status, data = self._said(request, sock, caller)
                stays = request.complete and request.keep_alive
                sock.settimeout(SILENT)
                sock.sendall(
                    b"HTTP/1.1 %s\r\nContent-Type: application/msgpack\r\nContent-Length: %d\r\n%s\r\n%s"
                    % (status, len(data), b"" if stays else b"Connection: close\r\n", data)
                )
                if not stays:
                    return  # closed, rather than reading the rest of an unwanted body
        except http.InvalidResponseError as error:
            self.counters.warning(
                "a request on the fleet's address that cannot be read", NotAPeerMessageError(str(error))
            )
            with contextlib.suppress(OSError):
                sock.sendall(b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
        except OSError:
            pass  # the caller went
        except Exception:  # one bad connection must not end the others
            self.counters.failed("a request of a member broke")

    def _head(self, sock: gevent.socket.socket) -> HttpRequest | None:
        """A request with its whole head; None where none comes, or not in time."""
        request = HttpRequest()
        # One limit for the whole head: a caller that writes it byte by byte never exceeds the limit of a single read.
        end = time.monotonic() + SILENT + READ_WITHIN
        while not request.method:
            left = min(SILENT, end - time.monotonic())
            try:
                data = received(sock, left)
            except TimeoutError:
                if request.fed:
                    self.counters.add("fleet connections that were silent")
                return None
            if not data:
                return None
            request.feed(data)
        return request

    def _said(self, request: HttpRequest, sock: gevent.socket.socket, caller: Address) -> tuple[bytes, bytes]:
        """Status and body of the answer to a request: of a handler, or a refusal."""
        head: list[PeerMessageHeader] = []  # of the peer message, once it was read so far
        self.busy += 1
        try:
            return b"200 OK", self._answered(request, sock, caller[0], head)
        except CedarwickError as error:
            self.counters.warning("a peer message was refused", error)
            refused = RequestRefused(error.code, str(error)[:512])
            data = encode(self.gate.peer_message(head[0].sender if head else "", refused))
            return STATUS.get(type(error), AT_FAULT), data
        finally:
            self.busy -= 1

    def _answered(
        self, request: HttpRequest, sock: gevent.socket.socket, caller: str, head: list[PeerMessageHeader]
    ) -> bytes:
        """The handler's answer, encoded; every refusal is raised."""
        if (request.method, request.url) != (b"POST", PATH) or request.size < 0:
            raise NotAPeerMessageError(f"{request.method.decode()} {request.url[:100].decode('latin-1')} of {caller}")
        if request.size > MAX_MESSAGE_BYTES:
            raise PeerMessageTooLargeError(
                f"a peer message of {request.size} bytes from {caller}, where {MAX_MESSAGE_BYTES} is the most"
            )
        many = self.busy > MOST_AT_ONCE
        if many and request.size > SMALL:
            request.messages = None
            read(request, sock)
            raise TooManyRequestsError(f"{MOST_AT_ONCE} peer messages are being answered at {self.gate.me!r}")
        data = read(request, sock)
        try:
            peer_message = decode(data)
        except InvalidPeerMessageError:
            if (begin := head_of(data)) is not None:
                head.append(begin)
                self.gate.same_version(begin)
            raise
        head.append(peer_message)
        self.gate.check(peer_message)
        # Not these two: kept out by messages that wait for copies or frozen sessions, members' leases would run out.
        if many and not isinstance(peer_message.body, Heartbeat | LeaseRequest):
            raise TooManyRequestsError(f"{MOST_AT_ONCE} peer messages are being answered at {self.gate.me!r}")
        try:
            said = encode(self.answer(peer_message))
        except CedarwickError:
            raise
        except Exception:  # one failing peer message must not end the connection
            self.counters.failed("answering a peer message failed")
            raise AnswerFailedError(f"{self.gate.me!r} failed to answer a {type(peer_message.body).__name__}") from None
        if len(said) > MAX_MESSAGE_BYTES:
            raise PeerMessageTooLargeError(
                f"{self.gate.me!r} has an answer of {len(said)} bytes, where {MAX_MESSAGE_BYTES} is the most"
            )
        return said


def received(sock: gevent.socket.socket, within_s: float) -> bytes:
    """The next bytes of a connection, none at its end; raises `TimeoutError` or another `OSError`."""
    if within_s <= 0:
        raise TimeoutError
    sock.settimeout(within_s)
    data: bytes = sock.recv(READ)
    return data


def read(request: HttpRequest, sock: gevent.socket.socket) -> bytes:
    """The whole body of a request; raises `RequestTimeoutError` or `InvalidPeerMessageError`."""
    end = time.monotonic() + READ_WITHIN
    try:
        while not request.complete:
            data = received(sock, end - time.monotonic())
            if not data:
                raise InvalidPeerMessageError(f"a peer message of {request.size} bytes was cut")
            request.feed(data)
    except TimeoutError:
        raise RequestTimeoutError(
            f"{request.size} bytes of a peer message did not come within {READ_WITHIN:g} s"
        ) from None
    except OSError as error:
        raise InvalidPeerMessageError(f"a peer message of {request.size} bytes was cut: {error}") from None
    return bytes(request.messages or b"")


# ---- the client ----


class PooledConnection:
    """A connection to a member: carries one request at a time."""

    __slots__ = ("sock", "buffer", "used")

    def __init__(self, sock: gevent.socket.socket) -> None:
        self.sock = sock
        self.buffer = Buffer()
        self.used = time.monotonic()


class PeerPool:
    """The address of one other member, and the connections to it."""

    def __init__(self, name: str, address: Address, at_once: int) -> None:
        self.name = name
        self.address = address
        self.idle: list[PooledConnection] = []  # the one used last is the next
        self.open: set[PooledConnection] = set()
        self.room = BoundedSemaphore(at_once)
        # For heartbeats and lease requests: behind records on a slow network they would come too late.
        self.urgent = BoundedSemaphore(at_once)
        self.calls = 0
        self.gone = False

    def __str__(self) -> str:
        return f"{self.name} at {self.address[0]}:{self.address[1]}"

    def connection(self, within_s: float) -> PooledConnection:
        """An idle connection that is still open, or a new one; raises `OSError`."""
        while self.idle:
            connection = self.idle.pop()
            if time.monotonic() - connection.used < IDLE_LIMIT and not is_closed(connection.sock):
                return connection
            self.close(connection)  # nothing was written on it: no failure
        connection = PooledConnection(open_connection(self.address, within_s))
        self.open.add(connection)
        return connection

    def close(self, connection: PooledConnection) -> None:
        """Close one connection."""
        self.open.discard(connection)
        connection.sock.close()

    def leave(self) -> None:
        """Close all; a call that is out ends as `PeerUnreachableError`."""
        self.gone = True
        self.idle.clear()
        for connection in list(self.open):
            self.close(connection)


class Peers:
    """Calls to the other members: a few at once to each, the rest wait in a bounded queue."""

    def __init__(self, gate: PeerVerifier, members: Mapping[str, Address], at_once: int = IN_FLIGHT) -> None:
        self.gate = gate
        self.at_once = at_once
        self.peers: dict[str, PeerPool] = {}
        self.replace(members)

    def replace(self, members: Mapping[str, Address]) -> None:
        """Take over another list of members by name; connections to those that went or moved are closed."""
        for name in [name for name, peer in self.peers.items() if members.get(name) != peer.address]:
            self.peers.pop(name).leave()
        for name, address in members.items():
            if name != self.gate.me and name not in self.peers:
                self.peers[name] = PeerPool(name, address, self.at_once)
        self.gate.replace(members)

    def names(self) -> Iterable[str]:
        """The other members."""
        return self.peers.keys()

    def close(self) -> None:
        """Close every connection; calls that are out end as `PeerUnreachableError`."""
        for peer in self.peers.values():
            peer.leave()
        self.peers.clear()

    def call(self, member: str, body: Body, within_s: float) -> Body:
        """The body of the member's answer; errors as in `peer_message`."""
        return self.peer_message(member, body, within_s).body

    def peer_message(self, member: str, body: Body, within_s: float) -> PeerMessage:
        """The member's answer, within `within_s` seconds including the wait in the queue.

        Raises `PeerUnreachableError` without a readable answer, `PeerRefusedError` if the member refused, and
        `PeerMessageTooLargeError` if the message was too large to be sent.
        """
        peer = self.peers.get(member)
        if peer is None:
            raise PeerUnreachableError(f"{member!r} is no other member")
        if peer.calls >= QUEUE:
            raise PeerUnreachableError(f"{peer}: {QUEUE} calls are out or wait already")
        peer_message = encode(self.gate.peer_message(member, body))
        if len(peer_message) > MAX_MESSAGE_BYTES:
            raise PeerMessageTooLargeError(
                f"a {type(body).__name__} of {len(peer_message)} bytes to {member!r}, "
                f"where {MAX_MESSAGE_BYTES} is the most"
            )
        limit = gevent.Timeout(within_s)
        peer.calls += 1
        try:
            with limit, peer.urgent if isinstance(body, LeaseRequest | Heartbeat) else peer.room:
                status, data = exchange(peer, peer_message, within_s)
            answer = decode(data)
        except gevent.Timeout as late:
            if late is not limit:
                raise
            raise PeerUnreachableError(f"{peer}: no answer within {within_s:g} s") from None
        except (OSError, http.InvalidResponseError, InvalidPeerMessageError) as error:
            raise PeerUnreachableError(f"{peer}: {error or type(error).__name__}") from None
        finally:
            peer.calls -= 1
        return self._judged(peer, status, answer)

    def _judged(self, peer: PeerPool, status: int, answer: PeerMessage) -> PeerMessage:
        """Check that an answer is this member's and for this sender; raises as `peer_message`."""
        if isinstance(answer.body, RequestRefused):
            refusal = PeerRefusedError(f"{peer} refused: {answer.body.why} ({answer.body.code})")
            refusal.refused = answer.body
            raise refusal
        try:
            self.gate.check(answer)
        except CedarwickError as error:
            raise PeerUnreachableError(f"{peer}: the answer is not its: {error}") from None
        if (status, answer.sender) != (200, peer.name):
            raise PeerUnreachableError(f"{peer}: an answer of {answer.sender!r} with status {status}")
        return answer


def exchange(peer: PeerPool, peer_message: bytes, within_s: float) -> tuple[int, bytes]:
    """Status and body of the answer to one peer message; raises `OSError` or `http.InvalidResponseError`."""
    if peer.gone:
        raise ConnectionAbortedError("no member any more")
    connection = peer.connection(within_s)
    whole = False
    try:
        connection.sock.settimeout(None)  # the time limit is the whole call's
        connection.sock.sendall(
            b"POST %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Type: application/msgpack\r\n"
            b"Content-Length: %d\r\n\r\n%s"
            % (PATH, peer.address[0].encode(), peer.address[1], len(peer_message), peer_message)
        )
        data = bytearray()
        answer = http.ResponseParser(data.extend)
        while not answer.complete:
            if connection.buffer.fill(connection.sock):
                answer.feed(connection.buffer)
            elif not answer.ended():
                raise http.InvalidResponseError("the connection ended before the answer did")
            if len(data) > MAX_MESSAGE_BYTES:
                raise http.InvalidResponseError(f"an answer of more than {MAX_MESSAGE_BYTES} bytes")
        # False if bytes follow the answer: they would be read as the answer to the next message.
        whole = answer.keep_alive
    finally:
        if whole:
            connection.used = time.monotonic()
            peer.idle.append(connection)
        else:
            peer.close(connection)
    return answer.status, bytes(data)
