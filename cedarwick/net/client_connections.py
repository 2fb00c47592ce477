"""The connections of clients: which of them may be closed, and how to close one without losing a request.

Names in `_S` are seconds, `_US` and clock times microseconds. `ClientListener` derives from `ClientConnections`.
"""

import contextlib
import itertools

import gevent
import gevent.event
import gevent.socket

from cedarwick.net.buffer import Buffer
from cedarwick.net.clock import Clock
from cedarwick.net.connections import DescriptorBudget, NoDescriptorError
from cedarwick.net.resp import MalformedRequestError, read_command
from cedarwick.net.sockets import peek_byte

# An error or a close is due within 3 s of connecting; a client with no open request may be closed after 2 s.
FIRST_REQUEST_TIMEOUT_S = 2.2  # until the first byte of the first request
LATE_FIRST_REQUEST_US = round(FIRST_REQUEST_TIMEOUT_S * 900_000)  # a new client that was silent for so long goes first
NEXT_REQUEST_TIMEOUT_S = 4.0  # until the first byte of a later one
SLOW_REQUEST_S = 0.3  # without a byte of a begun request, after which its connection may have to make way
CLOSE_TIMEOUT_S = 1.0  # in which a client may close after our side was shut down
CROSSED_REQUEST_TIMEOUT_S = 0.3  # in which a client whose request crossed our shutdown reads the end, before a reset
CLOSE_GRACE_S = 0.05  # after our shutdown: then the connection may be cut where descriptors are short
DISCARD_BUFFER_BYTES = 1 << 16  # read and discarded at once
MAX_DISCARDED_BYTES = 1 << 18  # read after a refusal, so that the client can read its error
CLIENT_ANSWER_TIMEOUT_US = 450_000  # after a request that cannot be answered its client is closed
CONNECTION_POOL_DIVISOR = 8  # one in so many descriptors stays free for receivers, where clients hold over half
POLL_INTERVAL_S = 0.01  # between two looks at requests that are not answered at the end
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
    )

    def __init__(self, sock: gevent.socket.socket, now: int, peer: tuple[str, int] = ("", 0)) -> None:
        self.sock = sock
        self.peer = peer
        self.buffer = Buffer()
        self.waiting = True  # between requests: nothing of a next one has been read
        self.answering = False  # a request was read, and its answer is not written
        self.closed = False
        self.shut_down = False  # our side is shut down; nothing more is read from it
        self.descriptor_wanted = (
            gevent.event.Event()
        )  # its descriptor is wanted, also where its request crossed the end
        self.idle_since = now  # the last byte read, or the last answer; of one that was let go: when
        self.begun_at = 0  # when the first byte of a request came that is not whole yet; 0: none has
        self.has_sent_request = False  # of any kind
        self.served = False  # it has handed in something that could be used
        self.unusable = 0  # requests in a row that could not

    def idle_timeout_s(self) -> float:
        """For how many seconds nothing need come."""
        return FIRST_REQUEST_TIMEOUT_S if not self.served else NEXT_REQUEST_TIMEOUT_S


class ClientConnections:
    """The open connections of clients, and their ends."""

    def __init__(self, clock: Clock, descriptors: DescriptorBudget) -> None:
        self.clock = clock
        self.descriptors = descriptors
        self.clients: set[ClientConnection] = set()
        self.discard_buffer = bytearray(DISCARD_BUFFER_BYTES)  # receives bytes that are discarded

    # ---- which to close ----

    def _shut_down_idle(self, fresh: bool = False) -> None:
        """Close clients between requests; others close after their answer. New clients only where `fresh` is set."""
        for client in list(self.clients):
            # A new connection is left open: its first request may be on its way, and BUSY is better than a close.
            idle = client.waiting and not len(client.buffer) and self._nothing_unread(client)
            if idle and (client.has_sent_request or fresh):
                self._shut_down(client)

    def _nothing_unread(self, client: ClientConnection) -> bool:
        """Whether nothing is unread: a request that was written before the connection closes must be answered."""
        timeout = client.sock.gettimeout()
        unread = peek_byte(client.sock)
        client.sock.settimeout(timeout)
        return unread is None

    def _free_descriptors(self) -> None:
        """Close idle clients where descriptors are short and clients hold at least half of them.

        Raises `NoDescriptorError` where that frees none.
        """
        limit = self.descriptors.limit
        if len(self.clients) * 2 < limit or self.descriptors.used < limit - limit // CONNECTION_POOL_DIVISOR:
            return
        # A closed client counts until its greenlet has run; closing more meanwhile would reach the newest ones.
        if not any(client.closed for client in self.clients):
            slow, lingering = (self.clock.now() - round(each * 1_000_000) for each in (SLOW_REQUEST_S, CLOSE_GRACE_S))
            idle = [
                client
                for client in self.clients
                if client.waiting
                or client.begun_at
                and client.idle_since < slow
                or client.shut_down
                and client.idle_since < lingering
            ]
            # On a new connection a first request may be on its way, and would fail; a client that was answered before
            # can ask again elsewhere. So served clients go first, but after new ones that were silent for long.
            late = self.clock.now() - LATE_FIRST_REQUEST_US
            # Connections that are closing already come first: nobody is served on them any more.
            idle.sort(
                key=lambda client: (
                    not client.shut_down,
                    young := client.idle_since > late,
                    client.served != young,
                    client.idle_since,
                )
            )
            free = (client for client in idle if client.shut_down or self._nothing_unread(client))
            for client in itertools.islice(free, 1 + len(idle) // 8):
                self._refuse_unanswered(client)
                self._close(client)
                client.descriptor_wanted.set()
        if self.descriptors.used >= limit or not any(each.closed for each in self.clients):
            raise NoDescriptorError(f"{len(self.clients)} clients hold all that they may")

    def _shut_down(self, client: ClientConnection) -> None:
        """Shut down our side, so that the client closes its own.

        A request that arrives after that stays unread: the client sends an unread one again on a new connection, but
        one that was read would be lost without its answer.
        """
        client.waiting, client.shut_down, client.idle_since = False, True, self.clock.now()
        with contextlib.suppress(OSError):
            client.sock.shutdown(gevent.socket.SHUT_WR)
        gevent.spawn_later(CLOSE_TIMEOUT_S, self._close, client)

    def _close(self, client: ClientConnection) -> None:
        """Close both directions at once: the client did not close in time, or its descriptor is needed."""
        if client in self.clients:
            client.closed = True
            with contextlib.suppress(OSError):
                client.sock.shutdown(gevent.socket.SHUT_RDWR)

    # ---- how ----

    def _refuse_unanswered(self, client: ClientConnection) -> None:
        """Refuse all requests read from a client, an incomplete one too, and shut down our side of its connection."""
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
        """Return once the client has closed its connection, or has had time to give up its request."""
        until = self.clock.now() + CLIENT_ANSWER_TIMEOUT_US
        while self.clock.now() < until and peek_byte(client.sock) != b"":
            gevent.sleep(POLL_INTERVAL_S)

    def _close_gracefully(self, client: ClientConnection) -> None:
        """Shut down our side, unless done, and let the client close first; what it still sends stays unread."""
        if client.closed:
            return
        if not client.shut_down:
            self._shut_down(client)
        with contextlib.suppress(OSError):
            client.sock.settimeout(CLOSE_TIMEOUT_S)
            if client.sock.recv(1, gevent.socket.MSG_PEEK):
                client.descriptor_wanted.wait(CROSSED_REQUEST_TIMEOUT_S)

    def _refuse(self, client: ClientConnection, reply: bytes) -> None:
        """Write an error, then read and discard for a moment: unread input would turn the close into a reset."""
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
        """Discard input up to `MAX_DISCARDED_BYTES`; reading more would take CPU from others, and a reset will do."""
        discarded = 0
        while discarded < MAX_DISCARDED_BYTES and (got := client.sock.recv_into(self.discard_buffer)):
            discarded += got
