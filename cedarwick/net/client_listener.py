"""The client listener: accepts connections, reads RESP2 requests and writes their answers.

Names in `_S` are seconds, `_US` and clock times microseconds. The service makes one `ClientListener`, and stops it.
"""

import contextlib
import itertools
from collections.abc import Callable

import gevent
import gevent.event
import gevent.socket

from cedarwick.errors import CedarwickError
from cedarwick.net.assignment import word
from cedarwick.net.buffer import Buffer
from cedarwick.net.clock import Clock
from cedarwick.net.connections import DescriptorBudget, NoDescriptorError
from cedarwick.net.counters import Counters
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.resp import InvalidSubmitError, MalformedRequestError, command, read_submission
from cedarwick.net.sockets import peek_byte
from cedarwick.net.submission import AdmissionResult, Submission
from cedarwick.store.records import StoredMessage

# An error or a close is due within 3 s of connecting; a client with no open request may be closed after 2 s.
FIRST_REQUEST_TIMEOUT_S = 2.2  # until the first byte of the first request
NEXT_REQUEST_TIMEOUT_S = 4.0  # until the first byte of a later one
PARTIAL_REQUEST_TIMEOUT_S = 2.0  # for the rest of a begun request, or until there is room for an answer
SLOW_REQUEST_S = 0.3  # without a byte of a begun request, after which its connection may have to make way
CLOSE_TIMEOUT_S = 1.0  # in which a client may close after our side was shut down
CROSSED_REQUEST_TIMEOUT_S = 0.3  # in which a client whose request crossed our shutdown reads the end, before a reset
CLOSE_GRACE_S = 0.05  # after our shutdown: then the connection may be cut where descriptors are short
MAX_DISCARDED_BYTES = 1 << 18  # read after a refusal, so that the client can read its error
MAX_UNUSABLE_REQUESTS = 8  # in a row: so many end the connection
MAX_DOUBTFUL_REQUESTS = 3  # that count as unusable, of those that may be right, as where the list is old
FIRST_PAUSE_S = 0.02  # after the first unusable request, doubling up to LONGEST_PAUSE_S
LONGEST_PAUSE_S = 0.5
MAX_BUFFERED_BYTES = 1 << 23  # in the buffers of all clients together; requests that need more are refused
SMALL_BUFFER_BYTES = 1 << 13  # a buffer up to this size is not checked against the others
POLL_INTERVAL_S = 0.01  # between two looks at requests that are not answered at the end
CLIENT_ANSWER_TIMEOUT_US = 450_000  # after a request that cannot be answered its client is closed
CONNECTION_POOL_DIVISOR = 8  # one in so many descriptors stays free for receivers, where clients hold over half
BACKLOG = 1024  # connections that wait to be accepted

BUSY, PONG, LOADING = b"-BUSY\r\n", b"+PONG\r\n", b"-LOADING not ready yet\r\n"
PAUSED = b"-LOADING paused by the operators\r\n"
REPLIES = {
    AdmissionResult.ACCEPTED: b"+OK\r\n",
    AdmissionResult.BUSY: BUSY,
    AdmissionResult.UNKNOWN_PRIORITY_CLASS: b"-ERR unknown class\r\n",
    AdmissionResult.UNKNOWN_DESTINATION: BUSY,
    AdmissionResult.REPEATED: BUSY,
    AdmissionResult.FROZEN: BUSY,
    AdmissionResult.UNSURE: b"",
}
# What became of a message, the advised wait, and what takes it back where it was taken just now.
SubmitResult = tuple[AdmissionResult, int, Callable[[], None] | None]


class ConnectionShedError(CedarwickError):
    """The buffers of all clients together are as large as they may be."""

    code = "CW902"
    remedy = "start another sender, or have clients send smaller bodies and fewer at once"


class ClientConnection:
    """One connection from a client."""

    __slots__ = (
        "sock",
        "buffer",
        "waiting",
        "answering",
        "cut",
        "let_go",
        "leave",
        "idle_since",
        "begun_at",
        "asked",
        "served",
        "unusable",
    )

    def __init__(self, sock: gevent.socket.socket, now: int) -> None:
        self.sock = sock
        self.buffer = Buffer()
        self.waiting = True  # between requests: nothing of a next one has been read
        self.answering = False  # a request was read, and its answer is not written
        self.cut = False
        self.let_go = False  # our side is shut down; nothing more is read from it
        self.leave = gevent.event.Event()  # its descriptor is wanted, also where its request crossed the end
        self.idle_since = now  # the last byte read, or the last answer; of one that was let go: when
        self.begun_at = 0  # when the first byte of a request came that is not whole yet; 0: none has
        self.asked = False  # it has sent a request of any kind
        self.served = False  # it has handed in something that could be used
        self.unusable = 0  # requests in a row that could not

    def patience(self) -> float:
        """For how many seconds nothing need come."""
        return FIRST_REQUEST_TIMEOUT_S if not self.served else NEXT_REQUEST_TIMEOUT_S


class ClientListener:
    """Accepts clients, reads their requests one after another, and writes each one's answer."""

    def __init__(
        self,
        listen: tuple[str, int],
        clock: Clock,
        counters: Counters,
        descriptors: DescriptorBudget,
        dispatcher: Dispatcher,
        ready: Callable[[], bool],
        listener: gevent.socket.socket | None = None,
    ) -> None:
        self.clock = clock
        self.counters = counters
        self.descriptors = descriptors
        self.dispatcher = dispatcher
        self.clients: set[ClientConnection] = set()
        self.ready = ready  # whether the store has been read and the endpoint list is known
        self.closing = False
        self.paused = False  # paused by the operators: PING is refused, clients are closed between requests
        self.still_taking = False  # while closing: requests that were read are still stored, for a hand-over
        self.waste = bytearray(1 << 16)
        self.hand_in: Callable[[StoredMessage], SubmitResult] = self.to_dispatcher
        if listener is not None:
            self.listener = listener  # the platform's, shared with a process that replaces this one
            return
        self.listener = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
        self.listener.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_REUSEADDR, 1)
        self.listener.bind(listen)
        self.listener.listen(BACKLOG)

    def accept(self) -> None:
        """Never returns: accepts clients as long as there are descriptors for them."""
        while True:
            # Yield: accepting without a pause would starve the greenlets of clients accepted before.
            gevent.sleep(0)
            try:
                self._make_room()
                self.descriptors.claim()
            except NoDescriptorError as error:
                self.counters.warning("no descriptor for a client", error)
                gevent.sleep(0.005)
                continue
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                self.descriptors.give_back()
                self.counters.warning("accepting failed", error)
                gevent.sleep(0.02)
                continue
            self._take_in(sock)

    def _take_in(self, sock: gevent.socket.socket) -> None:
        self.counters.add("clients accepted")
        client = ClientConnection(sock, self.clock.now())
        self.clients.add(client)
        gevent.spawn(self._serve, client)

    def mid_request(self) -> bool:
        """Whether of a client a request, or the first bytes of one, were read and are not answered yet."""
        return any(client.answering or len(client.buffer) for client in self.clients)

    def pause(self) -> None:
        """Pause for the operators: serve requests that were read, close connections when idle; PING is refused."""
        self.paused = True
        self._let_go_idle()

    def resume(self) -> None:
        """The end of a pause: clients are served again."""
        self.paused = False

    def stop(self) -> None:
        """Refuse new requests from now on, and close idle connections."""
        self.closing = True
        self._let_go_idle()

    def end(self, seconds: float) -> None:
        """Close the listener, and return once every request is answered and every client gone, or after `seconds`.

        Requests that are incomplete by then are refused.
        """
        self._let_go_idle(fresh=True)
        self._take_in_waiting()
        self.listener.close()
        with gevent.Timeout(seconds, False):
            while self.clients:
                gevent.sleep(POLL_INTERVAL_S)
                self._let_go_idle()
        self._let_go_idle(fresh=True)
        for client in self.clients:
            # Not while an answer is under way: the client would take the refusal for that answer.
            if len(client.buffer) and not client.answering:
                self._turn_away(client)

    def _take_in_waiting(self) -> None:
        """Accept all waiting connections: closing the listener would reset them, with their requests unanswered."""
        self.listener.settimeout(0.0)
        with contextlib.suppress(NoDescriptorError):
            while True:
                self.descriptors.claim()
                try:
                    sock, _ = self.listener.accept()
                except OSError:  # there is none, or the listener is another process's already
                    self.descriptors.give_back()
                    return
                self._take_in(sock)

    def _turn_away(self, client: ClientConnection) -> None:
        """Refuse all requests read from a client, an incomplete one too, and shut down our side of its connection."""
        owed = 0
        with contextlib.suppress(MalformedRequestError):
            while command(client.buffer) is not None:
                owed += 1
        owed += len(client.buffer) > 0
        client.buffer.skip(len(client.buffer))
        client.sock.settimeout(0.0)
        with contextlib.suppress(OSError):
            client.sock.send(BUSY * owed)
            client.sock.shutdown(gevent.socket.SHUT_WR)

    def _let_go_idle(self, fresh: bool = False) -> None:
        """Close clients between requests; others close after their answer. New clients only where `fresh` is set."""
        for client in list(self.clients):
            # A new connection is left open: its first request may be on its way, and BUSY is better than a close.
            idle = client.waiting and not len(client.buffer) and self._silent(client)
            if idle and (client.asked or fresh):
                self._let_go(client)

    def _silent(self, client: ClientConnection) -> bool:
        """Whether nothing is unread: a request that was written before the connection closes must be answered."""
        timeout = client.sock.gettimeout()
        unread = peek_byte(client.sock)
        client.sock.settimeout(timeout)
        return unread is None

    def _make_room(self) -> None:
        """Close idle clients where descriptors are short and clients hold at least half of them.

        Raises `NoDescriptorError` where that frees none.
        """
        limit = self.descriptors.limit
        if len(self.clients) * 2 < limit or self.descriptors.used < limit - limit // CONNECTION_POOL_DIVISOR:
            return
        # A closed client counts until its greenlet has run; closing more meanwhile would reach the newest ones.
        if not any(client.cut for client in self.clients):
            slow, let_go = (self.clock.now() - round(each * 1_000_000) for each in (SLOW_REQUEST_S, CLOSE_GRACE_S))
            idle = [
                client
                for client in self.clients
                if client.waiting
                or client.begun_at
                and client.idle_since < slow
                or client.let_go
                and client.idle_since < let_go
            ]
            # On a new connection a first request may be on its way, and would fail; a client that was answered before
            # can ask again elsewhere. So served clients go first, but after new ones that were silent for long.
            late = self.clock.now() - round(FIRST_REQUEST_TIMEOUT_S * 900_000)
            # Connections that are closing already come first: nobody is served on them any more.
            idle.sort(
                key=lambda client: (
                    not client.let_go,
                    young := client.idle_since > late,
                    client.served != young,
                    client.idle_since,
                )
            )
            free = (client for client in idle if client.let_go or self._silent(client))
            for client in itertools.islice(free, 1 + len(idle) // 8):
                self._turn_away(client)
                self._cut(client)
                client.leave.set()
        if self.descriptors.used >= limit or not any(each.cut for each in self.clients):
            raise NoDescriptorError(f"{len(self.clients)} clients hold all that they may")

    def _let_go(self, client: ClientConnection) -> None:
        """Shut down our side, so that the client closes its own.

        A request that arrives after that stays unread: the client sends an unread one again on a new connection, but
        one that was read would be lost without its answer.
        """
        client.waiting, client.let_go, client.idle_since = False, True, self.clock.now()
        with contextlib.suppress(OSError):
            client.sock.shutdown(gevent.socket.SHUT_WR)
        gevent.spawn_later(CLOSE_TIMEOUT_S, self._cut, client)

    def _cut(self, client: ClientConnection) -> None:
        """Close both directions at once: the client did not close in time, or its descriptor is needed."""
        if client in self.clients:
            client.cut = True
            with contextlib.suppress(OSError):
                client.sock.shutdown(gevent.socket.SHUT_RDWR)

    def _serve(self, client: ClientConnection) -> None:
        try:
            client.sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
            while (parts := self._next(client)) is not None:
                client.answering = True
                reply = self._answer(client, parts)
                if not reply:
                    # The result is not known: any answer may be wrong, and a close would be taken for a refusal.
                    self._outlast(client)
                    client.answering = False
                    break
                if reply.startswith(BUSY[:5]) and len(parts) == 5:
                    self._dropped(parts[3])
                last = (self.closing or self.paused) and not len(client.buffer) and self._silent(client)
                client.sock.settimeout(PARTIAL_REQUEST_TIMEOUT_S)
                client.sock.sendall(reply)
                client.answering = False
                if last:
                    break
                if client.unusable >= MAX_UNUSABLE_REQUESTS:
                    raise MalformedRequestError("too many requests that cannot be used")
                if client.unusable:
                    # A client that repeats a bad request without a pause would use up the CPU.
                    client.waiting, client.idle_since = not len(client.buffer), self.clock.now()
                    gevent.sleep(min(LONGEST_PAUSE_S, FIRST_PAUSE_S * (1 << client.unusable - 1)))
                elif len(client.buffer):
                    gevent.sleep(0)  # hundreds of commands at once must not hold up all others
            self._see_off(client)
        except MalformedRequestError as error:
            self.counters.warning("a malformed request", error)
            self._refuse(client, f"-ERR {error}\r\n".encode())
        except ConnectionShedError as error:
            self.counters.warning("no memory for a request", error)
            self._refuse(client, BUSY)
        except OSError as error:
            self.counters.add(f"clients lost: {type(error).__name__}")
        finally:
            self.clients.discard(client)
            client.sock.close()
            self.descriptors.give_back()

    def _next(self, client: ClientConnection) -> list[bytes] | None:
        """The next request; None at the end of the connection, or where none came for long enough."""
        while (parts := command(client.buffer)) is None:
            begun = len(client.buffer) > 0
            client.waiting, client.idle_since = not begun, self.clock.now()
            left = client.patience()
            if begun:
                client.begun_at = client.begun_at or client.idle_since
                left = PARTIAL_REQUEST_TIMEOUT_S - (client.idle_since - client.begun_at) / 1_000_000
                if len(client.buffer.data) > SMALL_BUFFER_BYTES and MAX_BUFFERED_BYTES < sum(
                    len(other.buffer.data) for other in self.clients
                ):
                    raise ConnectionShedError(f"a request of more than {len(client.buffer)} bytes")
            try:
                if left <= 0:
                    raise TimeoutError
                client.sock.settimeout(left)
                if not begun:
                    client.sock.recv(1, gevent.socket.MSG_PEEK)
                    if client.let_go or client.cut:
                        return None
                if not client.buffer.fill(client.sock):
                    return None
            except TimeoutError:
                if begun:
                    raise MalformedRequestError("Protocol error: the request did not end") from None
                if not self._silent(client):
                    continue  # it came as the time ran out
                self.counters.add("clients let go that asked for nothing")
                return None
        client.waiting, client.begun_at, client.asked = False, 0, True
        return parts

    def _outlast(self, client: ClientConnection) -> None:
        """Return once the client has closed its connection, or has had time to give up its request."""
        until = self.clock.now() + CLIENT_ANSWER_TIMEOUT_US
        while self.clock.now() < until and peek_byte(client.sock) != b"":
            gevent.sleep(POLL_INTERVAL_S)

    def _see_off(self, client: ClientConnection) -> None:
        """Shut down our side, unless done, and let the client close first; what it still sends stays unread."""
        if client.cut:
            return
        if not client.let_go:
            self._let_go(client)
        with contextlib.suppress(OSError):
            client.sock.settimeout(CLOSE_TIMEOUT_S)
            if client.sock.recv(1, gevent.socket.MSG_PEEK):
                client.leave.wait(CROSSED_REQUEST_TIMEOUT_S)

    def _refuse(self, client: ClientConnection, reply: bytes) -> None:
        """Write an error, then read and discard for a moment: unread input would turn the close into a reset."""
        client.waiting, client.begun_at = False, 0
        client.buffer.skip(len(client.buffer))
        try:
            with gevent.Timeout(CLOSE_TIMEOUT_S, False):
                client.sock.sendall(reply)
                client.sock.shutdown(gevent.socket.SHUT_WR)
                self._read_out(client)
        except OSError:
            pass

    def _read_out(self, client: ClientConnection) -> None:
        """Discard input up to `MAX_DISCARDED_BYTES`; reading more would take CPU from others, and a reset will do."""
        wasted = 0
        while wasted < MAX_DISCARDED_BYTES and (got := client.sock.recv_into(self.waste)):
            wasted += got

    def _dropped(self, pairs: bytes) -> None:
        """Count a SUBMIT that was refused at admission, by its priority class where the settings have it."""
        for pair in pairs.split(b","):
            name, _, value = pair.partition(b"=")
            if name == b"c":
                priority_class = word(value.decode("utf-8", "replace"))
                if priority_class in self.counters.figures.priority_classes:
                    self.counters.figures.dropped[priority_class] += 1
                return

    def _answer(self, client: ClientConnection, parts: list[bytes]) -> bytes:
        name = parts[0].upper() if parts else b""
        if name == b"PING":
            return PAUSED if self.paused else PONG if self.ready() else LOADING
        if name != b"SUBMIT":
            client.unusable += 1
            self.counters.add("unknown commands")
            return b"-ERR unknown command\r\n"
        try:
            stored, again = read_submission(parts, self.clock.now())
        except InvalidSubmitError as error:
            client.unusable += 1
            self.counters.warning("a request that cannot be taken", error)
            return f"-ERR {error}\r\n".encode()
        self.counters.add("handed in again" if again else "handed in")
        if self.closing and not self.still_taking or not self.ready():
            self.counters.add("turned away at a start or an end")
            client.unusable += not self.closing and client.unusable < MAX_DOUBTFUL_REQUESTS
            return BUSY
        answered, wait_ms, withdraw = self.hand_in(stored)
        if answered in (AdmissionResult.ACCEPTED, AdmissionResult.BUSY):
            client.served, client.unusable = True, 0
        elif (
            answered in (AdmissionResult.UNKNOWN_PRIORITY_CLASS, AdmissionResult.REPEATED)
            or client.unusable < MAX_DOUBTFUL_REQUESTS
        ):
            client.unusable += 1
        if withdraw is not None and peek_byte(client.sock) == b"":
            # A client that left before its answer submits to another sender; no attempt has gone out yet.
            self.counters.add("clients gone before their answer")
            withdraw()
            return BUSY
        if answered is AdmissionResult.BUSY and wait_ms:
            return b"-BUSY %d\r\n" % wait_ms
        return REPLIES[answered]

    def to_dispatcher(self, stored: StoredMessage) -> SubmitResult:
        """Submit a message to this sender's own dispatcher and wait for the result."""
        submission = Submission(stored)
        self.dispatcher.submit(submission)
        answered, wait_ms = submission.answer.get()
        taken = answered is AdmissionResult.ACCEPTED and stored.number
        return answered, wait_ms, (lambda: self.dispatcher.withdraw(submission)) if taken else None
