"""Connections of clients: which of them may be closed, and how to close one without losing a request.

Names that end in `_S` are in seconds, those in `_US` and clock times in microseconds. `ClientListener` derives from
`ClientConnections`.
"""

import contextlib
import itertools
from collections.abc import Callable

import gevent
import gevent.event
import gevent.socket

from cedarwick.net.buffer import Buffer
from cedarwick.net.clock import Clock
from cedarwick.net.descriptors import DescriptorBudget, NoDescriptorError
from cedarwick.net.request_memory import RequestMemory
from cedarwick.net.resp import MalformedRequestError, read_command
from cedarwick.net.sockets import peek_input

# A client must see an error or a close within 3 s of connecting; one without an open request may be closed after 2 s.
FIRST_REQUEST_TIMEOUT_S = 2.2  # until the first byte of the first request
# A new client that has been silent for this long is closed before clients that were served.
LATE_FIRST_REQUEST_US = round(FIRST_REQUEST_TIMEOUT_S * 900_000)
NEXT_REQUEST_TIMEOUT_S = 4.0  # until the first byte of a later request
SLOW_REQUEST_S = 0.3  # without input on an incomplete request; its descriptor may then be reclaimed
CLOSE_TIMEOUT_S = 1.0  # for the client to close its side after ours was shut down
# For a client whose request crossed our shutdown to read the end of the connection before it is reset.
CROSSED_REQUEST_TIMEOUT_S = 0.3
CLOSE_GRACE_S = 0.05  # after our shutdown; the descriptor may then be reclaimed
DISCARD_BUFFER_BYTES = 1 << 16  # per read of discarded input
MAX_DISCARDED_BYTES = 1 << 18  # read after a refusal, so that the error reaches the client before a reset
CLIENT_ANSWER_TIMEOUT_US = 450_000  # after an unanswerable request, until its client is disconnected
# One in this many descriptors stays free for receivers while clients hold at least half of all descriptors.
CONNECTION_POOL_DIVISOR = 8
POLL_INTERVAL_S = 0.01  # between two checks for unanswered requests during shutdown
BUSY = b"-BUSY\r\n"


class ClientConnection:
    """One connection from a client."""

    __slots__ = (
        "sock",
        "peer",
        "buffer",
        "waiting",
        "answering",
        "closed",
        "shut_down",
        "descriptor_wanted",
        "idle_since",
        "begun_at",
        "has_sent_request",
        "served",
        "unusable",
        "withdraw_unheard",
    )

    def __init__(self, sock: gevent.socket.socket, now: int, peer: tuple[str, int] = ("", 0)) -> None:
        self.sock = sock
        self.peer = peer
        self.buffer = Buffer()
        self.waiting = True  # between requests: no byte of the next one was read
        self.answering = False  # a request was read and its answer is not written yet
        self.closed = False
        self.shut_down = False  # our side is shut down; no further input is read
        # Set when the descriptor is reclaimed; ends the wait for a client whose request crossed our shutdown.
        self.descriptor_wanted = gevent.event.Event()
        self.idle_since = now  # time of the last byte read, of the last answer, or of our shutdown
        self.begun_at = 0  # time of the first byte of an incomplete request; 0: there is none
        self.has_sent_request = False  # a complete request of any kind
        self.served = False  # a message from it was accepted, or refused as busy
        self.unusable = 0  # consecutive unusable requests
        # Withdraws the message that the next answer accepts, if that answer cannot be written.
        self.withdraw_unheard: Callable[[], None] | None = None

    def idle_timeout_s(self) -> float:
        """Return how long the client may stay silent between requests, in seconds."""
        return FIRST_REQUEST_TIMEOUT_S if not self.served else NEXT_REQUEST_TIMEOUT_S


class ClientConnections:
    """The open connections of clients, and how they are closed."""

    def __init__(self, clock: Clock, descriptors: DescriptorBudget, request_memory: RequestMemory) -> None:
        self.clock = clock
        self.descriptors = descriptors
        self.request_memory = request_memory
        self.clients: set[ClientConnection] = set()
        self.discard_buffer = bytearray(DISCARD_BUFFER_BYTES)  # target of reads whose input is discarded

    # ---- selection of connections to close ----

    def _shut_down_idle(self, include_new: bool = False) -> None:
        """Shut down connections that are between requests, new ones only with `include_new`.

        The others are closed after their answer.
        """
        for client in list(self.clients):
            # A new connection stays open: its first request may be in transit, and BUSY is better for it than a close.
            idle = client.waiting and not len(client.buffer) and self._nothing_unread(client)
            if idle and (client.has_sent_request or include_new):
                self._shut_down(client)

    def _nothing_unread(self, client: ClientConnection) -> bool:
        """Whether there is no unread input: a request that was sent before the connection closes must be answered."""
        timeout = client.sock.gettimeout()
        unread = peek_input(client.sock)
        client.sock.settimeout(timeout)
        return unread is None

    def _free_descriptors(self) -> None:
        """Close idle connections if descriptors are short and clients hold at least half of them.

        Raises `NoDescriptorError` if that frees none.
        """
        limit = self.descriptors.limit
        if len(self.clients) * 2 < limit or self.descriptors.used < limit - limit // CONNECTION_POOL_DIVISOR:
            return
        # A closed connection counts until its greenlet has run; closing more before that would reach the newest ones.
        if not any(client.closed for client in self.clients):
            slow_before, grace_ended_before = (
                self.clock.now() - round(seconds * 1_000_000) for seconds in (SLOW_REQUEST_S, CLOSE_GRACE_S)
            )
            idle = [
                client
                for client in self.clients
                if client.waiting
                or client.begun_at
                and client.idle_since < slow_before
                or client.shut_down
                and client.idle_since < grace_ended_before
            ]
            # The first request of a new connection may be in transit and would fail, whereas a client that was served
            # before can retry elsewhere. So served clients go first, but after new ones that were silent for long.
            late_before = self.clock.now() - LATE_FIRST_REQUEST_US
            # Connections that are shut down already come first: they serve no further request.
            idle.sort(
                key=lambda client: (
                    not client.shut_down,
                    recent := client.idle_since > late_before,
                    client.served != recent,
                    client.idle_since,
                )
            )
            closable = (client for client in idle if client.shut_down or self._nothing_unread(client))
            for client in itertools.islice(closable, 1 + len(idle) // 8):
                self._refuse_unanswered(client)
                self._close(client)
                client.descriptor_wanted.set()
        if self.descriptors.used >= limit or not any(other.closed for other in self.clients):
            raise NoDescriptorError(f"{len(self.clients)} clients hold all descriptors allowed to them")

    def _shut_down(self, client: ClientConnection) -> None:
        """Shut down our side, so that the client closes its own.

        A request that arrives later stays unread: the client repeats an unread request on a new connection, but one
        that was read would be lost without an answer.
        """
        client.waiting, client.shut_down, client.idle_since = False, True, self.clock.now()
        with contextlib.suppress(OSError):
            client.sock.shutdown(gevent.socket.SHUT_WR)
        gevent.spawn_later(CLOSE_TIMEOUT_S, self._close, client)

    def _close(self, client: ClientConnection) -> None:
        """Shut down both directions at once: the client did not close in time, or its descriptor is needed."""
        if client in self.clients:
            client.closed = True
            with contextlib.suppress(OSError):
                client.sock.shutdown(gevent.socket.SHUT_RDWR)

    def _close_stalled(self, except_for: ClientConnection) -> bool:
        """Refuse the large incomplete request that has been without input for longest; False if there is none."""
        slow_before = self.clock.now() - round(SLOW_REQUEST_S * 1_000_000)
        stalled = [
            client
            for client in self.clients
            if client in self.request_memory.bytes_by_client
            and client is not except_for
            and client.begun_at
            and not client.closed
            and client.idle_since < slow_before
        ]
        if not stalled:
            return False
        longest = min(stalled, key=lambda client: client.idle_since)
        self.request_memory.release(longest)
        self._refuse_unanswered(longest)
        self._close(longest)
        return True

    # ---- closing one connection ----

    def _refuse_unanswered(self, client: ClientConnection) -> None:
        """Refuse all requests read from a client, including an incomplete one, and shut down our side."""
        unanswered = 0
        with contextlib.suppress(MalformedRequestError):
            while read_command(client.buffer) is not None:
                unanswered += 1
        unanswered += len(client.buffer) > 0
        client.buffer.skip(len(client.buffer))
        client.sock.settimeout(0.0)
        with contextlib.suppress(OSError):
            client.sock.send(BUSY * unanswered)
            client.sock.shutdown(gevent.socket.SHUT_WR)

    def _await_client_close(self, client: ClientConnection) -> None:
        """Return once the client has closed its connection, or has had time to abandon its request."""
        deadline = self.clock.now() + CLIENT_ANSWER_TIMEOUT_US
        while self.clock.now() < deadline and peek_input(client.sock) != b"":
            gevent.sleep(POLL_INTERVAL_S)

    def _close_gracefully(self, client: ClientConnection) -> None:
        """Shut down our side if it is still open, and let the client close first; its further input stays unread."""
        if client.closed:
            return
        if not client.shut_down:
            self._shut_down(client)
        with contextlib.suppress(OSError):
            client.sock.settimeout(CLOSE_TIMEOUT_S)
            if client.sock.recv(1, gevent.socket.MSG_PEEK):
                client.descriptor_wanted.wait(CROSSED_REQUEST_TIMEOUT_S)

    def _refuse(self, client: ClientConnection, reply: bytes) -> None:
        """Write an error, then discard input for a moment: unread input would turn the close into a reset."""
        client.waiting, client.begun_at = False, 0
        client.buffer.skip(len(client.buffer))
        try:
            with gevent.Timeout(CLOSE_TIMEOUT_S, False):
                client.sock.sendall(reply)
                client.sock.shutdown(gevent.socket.SHUT_WR)
                self._discard_input(client)
        except OSError:
            pass

    def _discard_input(self, client: ClientConnection) -> None:
        """Discard input up to `MAX_DISCARDED_BYTES`; beyond that a reset is acceptable and saves CPU."""
        discarded = 0
        while discarded < MAX_DISCARDED_BYTES and (received := client.sock.recv_into(self.discard_buffer)):
            discarded += received
