"""The client of peer messages: a connection pool for each other member, and the calls on it."""

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
    Address,
    PeerMessageTooLargeError,
    PeerRefusedError,
    PeerUnreachableError,
)
from cedarwick.net import http
from cedarwick.net.buffer import Buffer
from cedarwick.net.sockets import is_closed, open_connection

# For which an idle connection is kept: less than `peer_server.IDLE_TIMEOUT_S`, or it would meet the server's close.
IDLE_TIMEOUT_S = 10.0
MAX_CALLS_IN_FLIGHT = 4  # to one member at once, each on a connection of its own
MAX_PENDING_CALLS = 64  # to one member, in flight and waiting


class HttpResponse(NamedTuple):
    """The status and the body of an answer."""

    status: int
    body: bytes


class PooledConnection:
    """A connection to a member: carries one request at a time."""

    __slots__ = ("sock", "buffer", "used_at")

    def __init__(self, sock: gevent.socket.socket) -> None:
        self.sock = sock
        self.buffer = Buffer()
        self.used_at = time.monotonic()


class PeerPool:
    """The address of one other member, and the connections to it."""

    def __init__(self, name: str, address: Address, in_flight: int) -> None:
        self.name = name
        self.address = address
        self.idle: list[PooledConnection] = []  # the one used last is the next
        self.connections: set[PooledConnection] = set()
        self.call_slots = BoundedSemaphore(in_flight)
        # For heartbeats and lease requests: behind records on a slow network they would come too late.
        self.urgent_call_slots = BoundedSemaphore(in_flight)
        self.calls = 0
        self.closed = False

    def __str__(self) -> str:
        return f"{self.name} at {self.address[0]}:{self.address[1]}"

    def obtain(self, within_s: float) -> PooledConnection:
        """An idle connection that is still open, or a new one; raises `OSError`."""
        while self.idle:
            connection = self.idle.pop()
            if time.monotonic() - connection.used_at < IDLE_TIMEOUT_S and not is_closed(connection.sock):
                return connection
            self.close(connection)  # nothing was written on it: no failure
        connection = PooledConnection(open_connection(self.address, within_s))
        self.connections.add(connection)
        return connection

    def close(self, connection: PooledConnection) -> None:
        """Close one connection."""
        self.connections.discard(connection)
        connection.sock.close()

    def close_all(self) -> None:
        """Close all; a call that is out ends as `PeerUnreachableError`."""
        self.closed = True
        self.idle.clear()
        for connection in list(self.connections):
            self.close(connection)


class Peers:
    """Calls to the other members: a few at once to each, the rest wait in a bounded queue."""

    def __init__(
        self, verifier: PeerVerifier, members: Mapping[str, Address], in_flight: int = MAX_CALLS_IN_FLIGHT
    ) -> None:
        self.verifier = verifier
        self.in_flight = in_flight
        self.peers: dict[str, PeerPool] = {}
        self.replace(members)

    def replace(self, members: Mapping[str, Address]) -> None:
        """Take over another list of members by name; connections to those that went or moved are closed."""
        for name in [name for name, peer in self.peers.items() if members.get(name) != peer.address]:
            self.peers.pop(name).close_all()
        for name, address in members.items():
            if name != self.verifier.me and name not in self.peers:
                self.peers[name] = PeerPool(name, address, self.in_flight)
        self.verifier.replace_members(members)

    def names(self) -> Iterable[str]:
        """The other members."""
        return self.peers.keys()

    def close(self) -> None:
        """Close every connection; calls that are out end as `PeerUnreachableError`."""
        for peer in self.peers.values():
            peer.close_all()
        self.peers.clear()

    def call(self, member: str, body: Body, within_s: float) -> Body:
        """The body of the member's answer; errors as in `call_for_peer_message`."""
        return self.call_for_peer_message(member, body, within_s).body

    def call_for_peer_message(self, member: str, body: Body, within_s: float) -> PeerMessage:
        """The member's answer, within `within_s` seconds including the wait in the queue.

        Raises `PeerUnreachableError` without a readable answer, `PeerRefusedError` if the member refused, and
        `PeerMessageTooLargeError` if the message was too large to be sent.
        """
        peer = self.peers.get(member)
        if peer is None:
            raise PeerUnreachableError(f"{member!r} is no other member")
        if peer.calls >= MAX_PENDING_CALLS:
            raise PeerUnreachableError(f"{peer}: {MAX_PENDING_CALLS} calls are out or wait already")
        peer_message = encode(self.verifier.peer_message(member, body))
        if len(peer_message) > MAX_MESSAGE_BYTES:
            raise PeerMessageTooLargeError(
                f"a {type(body).__name__} of {len(peer_message)} bytes to {member!r}, "
                f"where {MAX_MESSAGE_BYTES} is the most"
            )
        limit = gevent.Timeout(within_s)
        peer.calls += 1
        try:
            with limit, peer.urgent_call_slots if isinstance(body, LeaseRequest | Heartbeat) else peer.call_slots:
                response = exchange(peer, peer_message, within_s)
            answer = decode(response.body)
        except gevent.Timeout as late:
            if late is not limit:
                raise
            raise PeerUnreachableError(f"{peer}: no answer within {within_s:g} s") from None
        except (OSError, http.InvalidResponseError, InvalidPeerMessageError) as error:
            raise PeerUnreachableError(f"{peer}: {error or type(error).__name__}") from None
        finally:
            peer.calls -= 1
        check_answer(self.verifier, str(peer), answer)
        if (response.status, answer.sender) != (200, peer.name):
            raise PeerUnreachableError(f"{peer}: an answer of {answer.sender!r} with status {response.status}")
        return answer


def check_answer(verifier: PeerVerifier, peer: str, answer: PeerMessage) -> None:
    """Check that an answer is no refusal and is meant for this sender.

    Raises `PeerRefusedError` with the refusal, `PeerUnreachableError` for an answer that the verifier does not accept.
    """
    if isinstance(answer.body, RequestRefused):
        refusal = PeerRefusedError(f"{peer} refused: {answer.body.reason} ({answer.body.code})")
        refusal.refused = answer.body
        raise refusal
    try:
        verifier.check(answer)
    except CedarwickError as error:
        raise PeerUnreachableError(f"{peer}: the answer is not its: {error}") from None


def exchange(peer: PeerPool, peer_message: bytes, within_s: float) -> HttpResponse:
    """Send one peer message and read its answer; raises `OSError` or `http.InvalidResponseError`."""
    if peer.closed:
        raise ConnectionAbortedError("no member any more")
    connection = peer.obtain(within_s)
    reusable = False
    try:
        connection.sock.settimeout(None)  # the time limit is the whole call's
        connection.sock.sendall(
            b"POST %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Type: application/msgpack\r\n"
            b"Content-Length: %d\r\n\r\n%s"
            % (PEER_MESSAGE_PATH, peer.address[0].encode(), peer.address[1], len(peer_message), peer_message)
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
        reusable = answer.keep_alive
    finally:
        if reusable:
            connection.used_at = time.monotonic()
            peer.idle.append(connection)
        else:
            peer.close(connection)
    return HttpResponse(answer.status, bytes(data))
