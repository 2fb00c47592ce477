"""The server of peer messages: answers those of other members over HTTP/1.1 on this member's own address."""

import contextlib
import time
from collections.abc import Callable

import gevent
import gevent.socket
from gevent.pool import Pool
from gevent.server import StreamServer

from cedarwick.errors import CedarwickError
from cedarwick.fleet.messages import (
    MAX_MESSAGE_BYTES,
    Heartbeat,
    InvalidPeerMessageError,
    LeaseRequest,
    PeerMessage,
    RequestRefused,
    decode,
    decode_peer_header,
    encode,
)
from cedarwick.fleet.peer_request import HttpRequest
from cedarwick.fleet.peer_verifier import PeerVerifier
from cedarwick.fleet.transport import (
    PEER_MESSAGE_PATH,
    Address,
    AnswerFailedError,
    NotAPeerMessageError,
    PeerMessageTooLargeError,
    RequestTimeoutError,
    TooManyRequestsError,
)
from cedarwick.net import http
from cedarwick.net.counters import Counters

MAX_REQUESTS_IN_PROGRESS = 64  # those above get 503, but for heartbeats and lease requests
SMALL_MESSAGE_BYTES = 1 << 13  # of a heartbeat or a lease request, at most
MAX_CONNECTIONS = 256  # further ones wait in the backlog
LISTEN_BACKLOG = 256  # connections
READ_BYTES = 1 << 16  # in one read
READ_TIMEOUT_S = 2.0  # for a body, and for a head on top of the idle time
IDLE_TIMEOUT_S = 15.0  # for which a connection may be idle at the server

Handler = Callable[[PeerMessage], PeerMessage]

STATUS_LINES: dict[type[CedarwickError], bytes] = {
    NotAPeerMessageError: b"404 Not Found",
    PeerMessageTooLargeError: b"413 Content Too Large",
    TooManyRequestsError: b"503 Service Unavailable",
    RequestTimeoutError: b"408 Request Timeout",
    InvalidPeerMessageError: b"400 Bad Request",
    AnswerFailedError: b"500 Internal Server Error",
}
REFUSED_STATUS_LINE = b"409 Conflict"  # every other refusal


class PeerServer:
    """Answers the peer messages of other members, each in the greenlet of its connection."""

    def __init__(self, where: Address, verifier: PeerVerifier, counters: Counters, handler: Handler) -> None:
        """Bind and listen at once; raises `OSError`. With port 0 the system chooses; `port` is the one in use."""
        self.verifier = verifier
        self.counters = counters
        self.handler = handler
        self.in_progress = 0
        listener = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
        try:
            listener.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_REUSEADDR, 1)
            listener.bind(where)
            listener.listen(LISTEN_BACKLOG)
        except OSError:
            listener.close()
            raise
        self.port = int(listener.getsockname()[1])
        self.stream_server = StreamServer(listener, self._connection, spawn=Pool(MAX_CONNECTIONS))

    def start(self) -> None:
        """Begin to accept connections."""
        self.stream_server.start()

    def stop(self, within_s: float = 0.5) -> None:
        """Accept no more, wait up to `within_s` seconds for answers in progress, then close every connection."""
        self.stream_server.close()
        end = time.monotonic() + within_s
        while self.in_progress and time.monotonic() < end:
            gevent.sleep(0.005)
        self.stream_server.stop(timeout=0)

    def _connection(self, sock: gevent.socket.socket, caller: Address) -> None:
        """One request after another, until the caller goes, is silent for too long or cannot be understood."""
        try:
            sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
            while (request := self._read_head(sock)) is not None:
                status, data = self._respond(request, sock, caller)
                keep_alive = request.complete and request.keep_alive
                sock.settimeout(IDLE_TIMEOUT_S)
                sock.sendall(
                    b"HTTP/1.1 %s\r\nContent-Type: application/msgpack\r\nContent-Length: %d\r\n%s\r\n%s"
                    % (status, len(data), b"" if keep_alive else b"Connection: close\r\n", data)
                )
                if not keep_alive:
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
            self.counters.log_exception("a request of a member broke")

    def _read_head(self, sock: gevent.socket.socket) -> HttpRequest | None:
        """A request with its whole head; None where none comes, or not in time."""
        request = HttpRequest()
        # One limit for the whole head: a caller that writes it byte by byte never exceeds the limit of a single read.
        end = time.monotonic() + IDLE_TIMEOUT_S + READ_TIMEOUT_S
        while not request.method:
            left = min(IDLE_TIMEOUT_S, end - time.monotonic())
            try:
                data = receive(sock, left)
            except TimeoutError:
                if request.fed_bytes:
                    self.counters.add("fleet connections that were silent")
                return None
            if not data:
                return None
            request.feed(data)
        return request

    def _respond(self, request: HttpRequest, sock: gevent.socket.socket, caller: Address) -> tuple[bytes, bytes]:
        """Status and body of the answer to a request: of a handler, or a refusal."""
        self.in_progress += 1
        try:
            return b"200 OK", self._handle(request, sock, caller[0])
        except CedarwickError as error:
            self.counters.warning("a peer message was refused", error)
            refusal = RequestRefused(error.code, str(error)[:512])
            data = encode(
                self.verifier.peer_message(request.header.sender if request.header is not None else "", refusal)
            )
            return STATUS_LINES.get(type(error), REFUSED_STATUS_LINE), data
        finally:
            self.in_progress -= 1

    def _handle(self, request: HttpRequest, sock: gevent.socket.socket, caller: str) -> bytes:
        """The handler's answer, encoded; every refusal is raised."""
        self._check_head(request, caller)
        overloaded = self.in_progress > MAX_REQUESTS_IN_PROGRESS
        if overloaded and request.content_length > SMALL_MESSAGE_BYTES:
            request.body = None
            read_body(request, sock)
            raise self._too_many_requests()
        peer_message = self._read_message(request, sock)
        # Not these two: kept out by messages that wait for replicas or frozen sessions, members' leases would run out.
        if overloaded and not isinstance(peer_message.body, Heartbeat | LeaseRequest):
            raise self._too_many_requests()
        return self._call_handler(peer_message)

    def _check_head(self, request: HttpRequest, caller: str) -> None:
        """Refuse a request that brings no peer message, or too large a one."""
        if (request.method, request.url) != (b"POST", PEER_MESSAGE_PATH) or request.content_length < 0:
            raise NotAPeerMessageError(f"{request.method.decode()} {request.url[:100].decode('latin-1')} of {caller}")
        if request.content_length > MAX_MESSAGE_BYTES:
            raise PeerMessageTooLargeError(
                f"a peer message of {request.content_length} bytes from {caller}, where {MAX_MESSAGE_BYTES} is the most"
            )

    def _read_message(self, request: HttpRequest, sock: gevent.socket.socket) -> PeerMessage:
        """The peer message of a request, read and verified; `request.header` is set as soon as it is known."""
        data = read_body(request, sock)
        try:
            peer_message = decode(data)
        except InvalidPeerMessageError:
            if (header := decode_peer_header(data)) is not None:
                request.header = header
                self.verifier.check_version(header)
            raise
        request.header = peer_message
        self.verifier.check(peer_message)
        return peer_message

    def _call_handler(self, peer_message: PeerMessage) -> bytes:
        """The encoded answer of the handler; an error of the program is counted and raised as `AnswerFailedError`."""
        try:
            answer = encode(self.handler(peer_message))
        except CedarwickError:
            raise
        except Exception:  # one failing peer message must not end the connection
            self.counters.log_exception("answering a peer message failed")
            raise AnswerFailedError(
                f"{self.verifier.me!r} failed to answer a {type(peer_message.body).__name__}"
            ) from None
        if len(answer) > MAX_MESSAGE_BYTES:
            raise PeerMessageTooLargeError(
                f"{self.verifier.me!r} has an answer of {len(answer)} bytes, where {MAX_MESSAGE_BYTES} is the most"
            )
        return answer

    def _too_many_requests(self) -> TooManyRequestsError:
        return TooManyRequestsError(
            f"{MAX_REQUESTS_IN_PROGRESS} peer messages are being answered at {self.verifier.me!r}"
        )


def receive(sock: gevent.socket.socket, within_s: float) -> bytes:
    """The next bytes of a connection, none at its end; raises `TimeoutError` or another `OSError`."""
    if within_s <= 0:
        raise TimeoutError
    sock.settimeout(within_s)
    data: bytes = sock.recv(READ_BYTES)
    return data


def read_body(request: HttpRequest, sock: gevent.socket.socket) -> bytes:
    """The whole body of a request; raises `RequestTimeoutError` or `InvalidPeerMessageError`."""
    end = time.monotonic() + READ_TIMEOUT_S
    try:
        while not request.complete:
            data = receive(sock, end - time.monotonic())
            if not data:
                raise InvalidPeerMessageError(f"a peer message of {request.content_length} bytes was cut")
            request.feed(data)
    except TimeoutError:
        raise RequestTimeoutError(
            f"{request.content_length} bytes of a peer message did not come within {READ_TIMEOUT_S:g} s"
        ) from None
    except OSError as error:
        raise InvalidPeerMessageError(f"a peer message of {request.content_length} bytes was cut: {error}") from None
    return bytes(request.body or b"")
