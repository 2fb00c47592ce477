"""Server for peer messages: answers other members over HTTP/1.1 on this member's fleet address."""

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
    REQUEST_ID_HEADER,
    Address,
    AnswerFailedError,
    NotAPeerMessageError,
    PeerMessageTooLargeError,
    RequestTimeoutError,
    TooManyRequestsError,
)
from cedarwick.net import http
from cedarwick.net.counters import Counters

MAX_REQUESTS_IN_PROGRESS = 64  # requests above this get 503, except heartbeats and lease requests
MAX_BODY_BYTES_IN_PROGRESS = 1 << 24  # of all larger bodies being read or handled; beyond it, requests get 503
SMALL_MESSAGE_BYTES = 1 << 13  # upper bound of a heartbeat or a lease request
MAX_CONNECTIONS = 256  # further connections wait in the backlog
LISTEN_BACKLOG = 256  # connections
READ_BYTES = 1 << 16  # per read
READ_TIMEOUT_S = 2.0  # for a body, and for a head in addition to the idle time
IDLE_TIMEOUT_S = 15.0  # maximum idle time of a connection

Handler = Callable[[PeerMessage], PeerMessage]

STATUS_LINES: dict[type[CedarwickError], bytes] = {
    NotAPeerMessageError: b"404 Not Found",
    PeerMessageTooLargeError: b"413 Content Too Large",
    TooManyRequestsError: b"503 Service Unavailable",
    RequestTimeoutError: b"408 Request Timeout",
    InvalidPeerMessageError: b"400 Bad Request",
    AnswerFailedError: b"500 Internal Server Error",
}
REFUSED_STATUS_LINE = b"409 Conflict"  # for all other errors


class PeerServer:
    """Answers peer messages of other members; each connection is served by its own greenlet."""

    def __init__(self, address: Address, verifier: PeerVerifier, counters: Counters, handler: Handler) -> None:
        """Bind and listen; raises `OSError`. Port 0 lets the system choose; `self.port` is the port in use."""
        self.verifier = verifier
        self.counters = counters
        self.handler = handler
        self.in_progress = 0
        self.body_bytes_in_progress = 0
        listener = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
        try:
            listener.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_REUSEADDR, 1)
            listener.bind(address)
            listener.listen(LISTEN_BACKLOG)
        except OSError:
            listener.close()
            raise
        self.port = int(listener.getsockname()[1])
        self.stream_server = StreamServer(listener, self._serve_connection, spawn=Pool(MAX_CONNECTIONS))

    def start(self) -> None:
        """Start accepting connections."""
        self.stream_server.start()

    def stop(self, within_s: float = 0.5) -> None:
        """Stop accepting, wait up to `within_s` seconds for requests in progress, then close all connections."""
        self.stream_server.close()
        deadline = time.monotonic() + within_s
        while self.in_progress and time.monotonic() < deadline:
            gevent.sleep(0.005)
        self.stream_server.stop(timeout=0)

    def _serve_connection(self, sock: gevent.socket.socket, caller: Address) -> None:
        """Serve requests one after another until the caller disconnects, is idle too long or sends invalid HTTP."""
        try:
            sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
            while (request := self._read_head(sock)) is not None:
                status, data = self._respond(request, sock, caller)
                keep_alive = request.complete and request.keep_alive
                sock.settimeout(IDLE_TIMEOUT_S)
                header_lines = b"" if keep_alive else b"Connection: close\r\n"
                if request.request_id:
                    header_lines += b"%s: %s\r\n" % (REQUEST_ID_HEADER.encode(), request.request_id)
                sock.sendall(
                    b"HTTP/1.1 %s\r\nContent-Type: application/msgpack\r\nContent-Length: %d\r\n%s\r\n%s"
                    % (status, len(data), header_lines, data)
                )
                if not keep_alive:
                    return  # close instead of reading the rest of a discarded body
                gevent.sleep(0)  # a caller whose next request is always there must not block the others
        except http.InvalidResponseError as error:
            self.counters.warning(
                "a request on the fleet's address that cannot be read", NotAPeerMessageError(str(error))
            )
            with contextlib.suppress(OSError):
                sock.sendall(b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
        except OSError:
            pass  # the caller disconnected
        except Exception:  # an error on one connection must not affect the others
            self.counters.log_exception("a request of a member broke")

    def _read_head(self, sock: gevent.socket.socket) -> HttpRequest | None:
        """Read a request up to the end of its head; None if the caller disconnects or the time limit is reached."""
        request = HttpRequest()
        # A limit for the whole head: a caller that sends it byte by byte never exceeds the limit of a single read.
        deadline = time.monotonic() + IDLE_TIMEOUT_S + READ_TIMEOUT_S
        while not request.method:
            remaining_s = min(IDLE_TIMEOUT_S, deadline - time.monotonic())
            try:
                data = receive(sock, remaining_s)
            except TimeoutError:
                if request.fed_bytes:
                    self.counters.add("fleet connections that were silent")
                return None
            if not data:
                return None
            request.feed(data)
        return request

    def _respond(self, request: HttpRequest, sock: gevent.socket.socket, caller: Address) -> tuple[bytes, bytes]:
        """Return status line and body of the answer to a request: the handler's answer or a refusal."""
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
        """Return the handler's encoded answer; raises the error for every refusal."""
        self._check_head(request, caller)
        overloaded = self.in_progress > MAX_REQUESTS_IN_PROGRESS
        body_bytes = request.content_length if request.content_length > SMALL_MESSAGE_BYTES else 0
        if body_bytes and (overloaded or self.body_bytes_in_progress + body_bytes > MAX_BODY_BYTES_IN_PROGRESS):
            request.body = None
            read_body(request, sock)
            raise self._too_many_requests()
        self.body_bytes_in_progress += body_bytes
        try:
            return self._read_and_handle(request, sock, overloaded)
        finally:
            self.body_bytes_in_progress -= body_bytes

    def _read_and_handle(self, request: HttpRequest, sock: gevent.socket.socket, overloaded: bool) -> bytes:
        """Read a peer message and return the handler's encoded answer; raises the error for every refusal."""
        peer_message = self._read_message(request, sock)
        # Heartbeats and lease requests are exempt: if messages that wait for replicas or frozen sessions blocked them,
        # members' leases would expire.
        if overloaded and not isinstance(peer_message.body, Heartbeat | LeaseRequest):
            raise self._too_many_requests()
        return self._call_handler(peer_message)

    def _check_head(self, request: HttpRequest, caller: str) -> None:
        """Refuse a request that is not a peer message or exceeds the size limit."""
        if (request.method, request.url) != (b"POST", PEER_MESSAGE_PATH) or request.content_length < 0:
            raise NotAPeerMessageError(f"{request.method.decode()} {request.url[:100].decode('latin-1')} from {caller}")
        if request.content_length > MAX_MESSAGE_BYTES:
            raise PeerMessageTooLargeError(
                f"peer message of {request.content_length} bytes from {caller} "
                f"exceeds the limit of {MAX_MESSAGE_BYTES} bytes"
            )

    def _read_message(self, request: HttpRequest, sock: gevent.socket.socket) -> PeerMessage:
        """Read and verify the peer message of a request; sets `request.header` as soon as the header is decoded."""
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
        """Return the handler's encoded answer; logs an unexpected error and raises `AnswerFailedError` for it."""
        try:
            answer = encode(self.handler(peer_message))
        except CedarwickError:
            raise
        except Exception:  # a failing handler must not end the connection
            self.counters.log_exception("answering a peer message failed")
            raise AnswerFailedError(
                f"{self.verifier.me!r} failed to answer a {type(peer_message.body).__name__}"
            ) from None
        if len(answer) > MAX_MESSAGE_BYTES:
            raise PeerMessageTooLargeError(
                f"{self.verifier.me!r}: answer of {len(answer)} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes"
            )
        return answer

    def _too_many_requests(self) -> TooManyRequestsError:
        return TooManyRequestsError(f"{self.in_progress} peer messages are already in progress at {self.verifier.me!r}")


def receive(sock: gevent.socket.socket, within_s: float) -> bytes:
    """Return the next bytes of a connection, empty at its end; raises `TimeoutError` or another `OSError`."""
    if within_s <= 0:
        raise TimeoutError
    sock.settimeout(within_s)
    data: bytes = sock.recv(READ_BYTES)
    return data


def read_body(request: HttpRequest, sock: gevent.socket.socket) -> bytes:
    """Read the rest of a request and return its body.

    Raises:
        RequestTimeoutError: the body did not arrive in time.
        InvalidPeerMessageError: the connection ended before the body was complete.
    """
    deadline = time.monotonic() + READ_TIMEOUT_S
    try:
        while not request.complete:
            data = receive(sock, deadline - time.monotonic())
            if not data:
                raise InvalidPeerMessageError(
                    f"connection closed within a peer message of {request.content_length} bytes"
                )
            request.feed(data)
    except TimeoutError:
        raise RequestTimeoutError(
            f"peer message of {request.content_length} bytes did not arrive within {READ_TIMEOUT_S:g} s"
        ) from None
    except OSError as error:
        raise InvalidPeerMessageError(
            f"connection lost within a peer message of {request.content_length} bytes: {error}"
        ) from None
    return bytes(request.body or b"")
