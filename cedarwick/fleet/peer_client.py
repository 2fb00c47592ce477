"""Client for peer messages: one connection pool per other member, and calls over these pools."""

import time
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import gevent
import gevent.socket
from gevent.lock import BoundedSemaphore

from cedarwick.errors import CedarwickError
from cedarwick.fleet.messages import (
    MAX_MESSAGE_BYTES,
    Body,
    Heartbeat,
    InvalidPeerMessageError,
    LeaseRequest,
    PeerMessage,
    RequestRefused,
    decode,
    encode,
)
from cedarwick.fleet.peer_verifier import PeerVerifier
from cedarwick.fleet.transport import (
    PEER_MESSAGE_PATH,
    REQUEST_ID_HEADER,
    Address,
    PeerMessageTooLargeError,
    PeerRefusedError,
    PeerUnreachableError,
)
from cedarwick.net import http
from cedarwick.net.buffer import Buffer
from cedarwick.net.sockets import is_closed, open_connection

# Maximum idle time of a pooled connection. Below `peer_server.IDLE_TIMEOUT_S`, so that the client does not send a
# request on a connection that the server is closing.
IDLE_TIMEOUT_S = 10.0
MAX_CALLS_IN_FLIGHT = 4  # per member, each on its own connection
MAX_PENDING_CALLS = 64  # per member, in flight or queued


class HttpResponse(NamedTuple):
    """Status and body of an HTTP response."""

    status: int
    body: bytes


class PooledConnection:
    """A connection to a member; it carries one request at a time."""

    __slots__ = ("sock", "buffer", "requests", "used_at")

    def __init__(self, sock: gevent.socket.socket) -> None:
        self.sock = sock
        self.buffer = Buffer()
        self.requests = 0  # sent on it; the number of a request is its id
        self.used_at = time.monotonic()


class PeerPool:
    """Address of one other member, and the connections to it."""

    def __init__(self, name: str, address: Address, in_flight: int) -> None:
        self.name = name
        self.address = address
        self.idle: list[PooledConnection] = []  # the most recently used connection is reused first
        self.connections: set[PooledConnection] = set()
        self.call_slots = BoundedSemaphore(in_flight)
        # For heartbeats and lease requests, which would arrive too late if they queued behind replicated facts on a
        # slow network.
        self.urgent_call_slots = BoundedSemaphore(in_flight)
        self.calls = 0
        self.closed = False

    def __str__(self) -> str:
        return f"{self.name} at {self.address[0]}:{self.address[1]}"

    def obtain(self, within_s: float) -> PooledConnection:
        """Return an idle connection that is still open, or open a new one; raises `OSError`."""
        while self.idle:
            connection = self.idle.pop()
            if time.monotonic() - connection.used_at < IDLE_TIMEOUT_S and not is_closed(connection.sock):
                return connection
            self.close(connection)  # no request was sent on it, so this is no failure
        connection = PooledConnection(open_connection(self.address, within_s))
        self.connections.add(connection)
        return connection

    def close(self, connection: PooledConnection) -> None:
        """Close a connection and remove it from the pool."""
        self.connections.discard(connection)
        connection.sock.close()

    def close_all(self) -> None:
        """Close all connections; calls in flight raise `PeerUnreachableError`."""
        self.closed = True
        self.idle.clear()
        for connection in list(self.connections):
            self.close(connection)


class Peers:
    """Calls to other members, with limits per member on calls in flight and on queued calls."""

    def __init__(
        self, verifier: PeerVerifier, members: Mapping[str, Address], in_flight: int = MAX_CALLS_IN_FLIGHT
    ) -> None:
        self.verifier = verifier
        self.in_flight = in_flight
        self.peers: dict[str, PeerPool] = {}
        self.replace(members)

    def replace(self, members: Mapping[str, Address]) -> None:
        """Replace the members; connections to members that were removed or changed address are closed."""
        for name in [name for name, peer in self.peers.items() if members.get(name) != peer.address]:
            self.peers.pop(name).close_all()
        for name, address in members.items():
            if name != self.verifier.me and name not in self.peers:
                self.peers[name] = PeerPool(name, address, self.in_flight)
        self.verifier.replace_members(members)

    def names(self) -> Iterable[str]:
        """Return the names of the other members."""
        return self.peers.keys()

    def close(self) -> None:
        """Close all connections; calls in flight raise `PeerUnreachableError`."""
        for peer in self.peers.values():
            peer.close_all()
        self.peers.clear()

    def call(self, member: str, body: Body, within_s: float) -> Body:
        """Send a body to a member and return the body of its answer; raises as `call_for_peer_message`."""
        return self.call_for_peer_message(member, body, within_s).body

    def call_for_peer_message(self, member: str, body: Body, within_s: float) -> PeerMessage:
        """Send a body to a member and return its answer; `within_s` includes the time in the queue.

        Raises:
            PeerUnreachableError: no valid answer came in time.
            PeerRefusedError: the member refused the message.
            PeerMessageTooLargeError: the message exceeds the size limit and was not sent.
        """
        peer = self.peers.get(member)
        if peer is None:
            raise PeerUnreachableError(f"{member!r} is not another member")
        if peer.calls >= MAX_PENDING_CALLS:
            raise PeerUnreachableError(f"{peer}: {MAX_PENDING_CALLS} calls are already in flight or queued")
        peer_message = encode(self.verifier.peer_message(member, body))
        if len(peer_message) > MAX_MESSAGE_BYTES:
            raise PeerMessageTooLargeError(
                f"{type(body).__name__} of {len(peer_message)} bytes to {member!r} "
                f"exceeds the limit of {MAX_MESSAGE_BYTES} bytes"
            )
        call_timeout = gevent.Timeout(within_s)
        peer.calls += 1
        try:
            with (
                call_timeout,
                peer.urgent_call_slots if isinstance(body, LeaseRequest | Heartbeat) else peer.call_slots,
            ):
                response = send_request(peer, peer_message, within_s)
            answer = decode(response.body)
        except gevent.Timeout as expired:
            if expired is not call_timeout:
                raise
            raise PeerUnreachableError(f"{peer}: no answer within {within_s:g} s") from None
        except (OSError, http.InvalidResponseError, InvalidPeerMessageError) as error:
            raise PeerUnreachableError(f"{peer}: {error or type(error).__name__}") from None
        finally:
            peer.calls -= 1
        check_answer(self.verifier, str(peer), answer)
        if (response.status, answer.sender) != (200, peer.name):
            raise PeerUnreachableError(f"{peer}: answer from {answer.sender!r} with HTTP status {response.status}")
        return answer


def check_answer(verifier: PeerVerifier, peer: str, answer: PeerMessage) -> None:
    """Check that an answer is not a refusal and passes verification.

    Raises:
        PeerRefusedError: the answer is a refusal.
        PeerUnreachableError: the verifier rejects the answer.
    """
    if isinstance(answer.body, RequestRefused):
        refusal = PeerRefusedError(f"{peer} refused: {answer.body.reason} ({answer.body.code})")
        refusal.refused = answer.body
        raise refusal
    try:
        verifier.check(answer)
    except CedarwickError as error:
        raise PeerUnreachableError(f"{peer}: answer failed verification: {error}") from None


def send_request(peer: PeerPool, peer_message: bytes, within_s: float) -> HttpResponse:
    """Send one encoded peer message and read the response; raises `OSError` or `http.InvalidResponseError`."""
    if peer.closed:
        raise ConnectionAbortedError("the member has been removed")
    connection = peer.obtain(within_s)
    reusable = False
    try:
        connection.sock.settimeout(None)  # the caller limits the time of the whole call
        connection.requests += 1
        connection.sock.sendall(
            b"POST %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Type: application/msgpack\r\n%s: %d\r\n"
            b"Content-Length: %d\r\n\r\n%s"
            % (
                PEER_MESSAGE_PATH,
                peer.address[0].encode(),
                peer.address[1],
                REQUEST_ID_HEADER.encode(),
                connection.requests,
                len(peer_message),
                peer_message,
            )
        )
        data = bytearray()
        parser = http.ResponseParser(data.extend)
        while not parser.complete:
            if connection.buffer.fill(connection.sock):
                parser.feed(connection.buffer)
            elif not parser.feed_eof():
                raise http.InvalidResponseError("connection closed before the answer was complete")
            if len(data) > MAX_MESSAGE_BYTES:
                raise http.InvalidResponseError(f"answer exceeds the limit of {MAX_MESSAGE_BYTES} bytes")
        request_id = parser.headers.get(REQUEST_ID_HEADER)
        if request_id is not None and request_id != str(connection.requests):
            raise http.InvalidResponseError(f"the answer to request {request_id[:20]}, not {connection.requests}")
        # False if more bytes follow the answer: they would be read as the answer to the next request.
        reusable = parser.keep_alive
    finally:
        if reusable:
            connection.used_at = time.monotonic()
            peer.idle.append(connection)
        else:
            peer.close(connection)
    return HttpResponse(parser.status, bytes(data))
