"""The client listener: accepts connections, reads RESP2 requests and writes their answers.

Names that end in `_S` are in seconds, those in `_US` and clock times in microseconds. A sender process has one
`ClientListener`.
"""

import contextlib
from collections.abc import Callable

import gevent
import gevent.event
import gevent.socket

from cedarwick.errors import CedarwickError
from cedarwick.net.assignment import setting_text
from cedarwick.net.client_connections import (
    BUSY,
    POLL_INTERVAL_S,
    ClientConnection,
    ClientConnections,
)
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters
from cedarwick.net.descriptors import DescriptorBudget, NoDescriptorError
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.message_trace import CloseReason, CloseTrace, RefusalTrace
from cedarwick.net.request_memory import MAX_REQUEST_BYTES, RequestMemory
from cedarwick.net.resp import InvalidSubmitError, MalformedRequestError, read_command, read_submission
from cedarwick.net.sockets import peek_input, peer_has_closed
from cedarwick.net.submission import AdmissionResult, Submission
from cedarwick.store.records import StoredMessage

PARTIAL_REQUEST_TIMEOUT_S = 2.0  # for the rest of an incomplete request, and for writing an answer
MAX_UNUSABLE_REQUESTS = 8  # consecutive; the connection is then closed
# Refused requests that may be valid, as with an outdated endpoint list, count as unusable only up to this number.
MAX_DOUBTFUL_REQUESTS = 3
MIN_PENALTY_DELAY_S = 0.02  # after the first unusable request; doubles with each further one
MAX_PENALTY_DELAY_S = 0.5
DESCRIPTOR_RETRY_DELAY_S = 0.005  # before the next attempt to claim a descriptor for a client
ACCEPT_RETRY_DELAY_S = 0.02  # after a failed accept
BACKLOG = 1024  # connections that the kernel queues until they are accepted

PONG, LOADING = b"+PONG\r\n", b"-LOADING not ready yet\r\n"
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
# The result of a submission, the advised wait in milliseconds, and a function that withdraws the message if it was
# admitted just now.
SubmitResult = tuple[AdmissionResult, int, Callable[[], None] | None]


class ConnectionShedError(CedarwickError):
    """The requests of all clients together have reached their memory limit."""

    code = "CW902"
    remedy = "start another sender, or have clients send smaller bodies and fewer of them at once"


class ClientListener(ClientConnections):
    """Accepts clients, reads the requests of each in order, and writes the answers."""

    def __init__(
        self,
        listen: tuple[str, int],
        clock: Clock,
        counters: Counters,
        descriptors: DescriptorBudget,
        dispatcher: Dispatcher,
        ready: Callable[[], bool],
        listener: gevent.socket.socket | None = None,
        request_memory: RequestMemory | None = None,
    ) -> None:
        super().__init__(clock, descriptors, request_memory or RequestMemory(MAX_REQUEST_BYTES))
        self.counters = counters
        self.dispatcher = dispatcher
        self.ready = ready  # whether the store is loaded and the endpoint list is known
        self.closing = False
        self.paused = False  # by the operators: PING is refused, and clients are disconnected between requests
        self.accept_while_closing = False  # during a hand-over: requests read while closing are still stored
        self.submit_message: Callable[[StoredMessage], SubmitResult] = self.submit_to_dispatcher
        if listener is not None:
            self.listener = listener  # inherited from the platform, shared with a process that replaces this one
            return
        self.listener = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
        self.listener.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_REUSEADDR, 1)
        self.listener.bind(listen)
        self.listener.listen(BACKLOG)

    def accept(self) -> None:
        """Accept clients as long as descriptors are available; never returns."""
        while True:
            # Yield: a tight accept loop would starve the greenlets of clients that are connected already.
            gevent.sleep(0)
            try:
                self._free_descriptors()
                self.descriptors.claim()
            except NoDescriptorError as error:
                self.counters.warning("no descriptor for a client", error)
                gevent.sleep(DESCRIPTOR_RETRY_DELAY_S)
                continue
            try:
                sock, peer = self.listener.accept()
            except OSError as error:
                self.descriptors.release()
                self.counters.warning("accepting failed", error)
                gevent.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            self._start_serving(sock, peer)

    def _start_serving(self, sock: gevent.socket.socket, peer: tuple[str, int]) -> None:
        self.counters.add("clients accepted")
        client = ClientConnection(sock, self.clock.now(), peer)
        self.clients.add(client)
        gevent.spawn(self._serve, client)

    def has_request_in_progress(self) -> bool:
        """Whether a request, or part of one, was read from any client and is not answered yet."""
        return any(client.answering or len(client.buffer) for client in self.clients)

    def pause(self) -> None:
        """Pause for the operators: answer requests already read, close idle connections and refuse PING."""
        self.paused = True
        self._shut_down_idle()

    def resume(self) -> None:
        """Serve clients again after a pause."""
        self.paused = False

    def stop(self) -> None:
        """Refuse new requests from now on, and close idle connections."""
        self.closing = True
        self._shut_down_idle()

    def drain_and_close(self, timeout_s: float) -> None:
        """Close the listener; return once all requests are answered and all clients gone, or after `timeout_s`.

        Requests that are incomplete by then are refused.
        """
        self._shut_down_idle(include_new=True)
        self._accept_backlog()
        self.listener.close()
        with gevent.Timeout(timeout_s, False):
            while self.clients:
                gevent.sleep(POLL_INTERVAL_S)
                self._shut_down_idle()
        self._shut_down_idle(include_new=True)
        for client in self.clients:
            # If an answer is pending, the client would mistake this refusal for it.
            if len(client.buffer) and not client.answering:
                self._refuse_unanswered(client)

    def _accept_backlog(self) -> None:
        """Accept all queued connections: closing the listener would reset them with their requests unanswered."""
        self.listener.settimeout(0.0)
        with contextlib.suppress(NoDescriptorError):
            while True:
                self.descriptors.claim()
                try:
                    sock, peer = self.listener.accept()
                except OSError:  # the queue is empty, or the listener was handed over and is closed here
                    self.descriptors.release()
                    return
                self._start_serving(sock, peer)

    def _serve(self, client: ClientConnection) -> None:
        reason = CloseReason.SERVED
        try:
            client.sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
            while (parts := self._read_request(client)) is not None:
                client.answering = True
                self.request_memory.set(client, len(client.buffer.data) + sum(map(len, parts)))
                reply = self._answer(client, parts)
                if not reply:
                    # The result is unknown: any answer may be wrong, and the client would take a close for a refusal.
                    self._await_client_close(client)
                    client.answering = False
                    break
                if reply.startswith(BUSY[:5]) and len(parts) == 5:
                    self._count_rejection(parts[3])
                parts = []  # an idle connection must not hold the memory of its last request
                last_answer = (self.closing or self.paused) and not len(client.buffer) and self._nothing_unread(client)
                client.sock.settimeout(PARTIAL_REQUEST_TIMEOUT_S)
                self._write_answer(client, reply)
                client.answering = False
                self.request_memory.set(client, len(client.buffer.data))
                if last_answer:
                    break
                if client.unusable >= MAX_UNUSABLE_REQUESTS:
                    raise MalformedRequestError("too many requests that cannot be used")
                if client.unusable:
                    # Throttled, since a client that repeats a bad request without a delay would use up the CPU.
                    client.waiting, client.idle_since = not len(client.buffer), self.clock.now()
                    gevent.sleep(min(MAX_PENALTY_DELAY_S, MIN_PENALTY_DELAY_S * (1 << client.unusable - 1)))
                else:
                    gevent.sleep(0)  # a client whose next request is always there must not block the others
            self._close_gracefully(client)
        except MalformedRequestError as error:
            reason = CloseReason.MALFORMED_REQUEST
            self.counters.warning("a malformed request", error)
            self._refuse(client, f"-ERR {error}\r\n".encode())
        except ConnectionShedError as error:
            reason = CloseReason.SHED
            self.counters.warning("no memory for a request", error)
            self._refuse(client, BUSY)
        except OSError as error:
            reason = CloseReason.BROKEN
            self.counters.add(f"clients lost: {type(error).__name__}")
        finally:
            self.clients.discard(client)
            self.request_memory.release(client)
            self._trace_close(client, reason)
            client.sock.close()
            self.descriptors.release()

    def _trace_close(self, client: ClientConnection, reason: CloseReason) -> None:
        if self.counters.trace.enabled:
            if client.descriptor_wanted.is_set():
                reason = CloseReason.DESCRIPTOR_WANTED
            host, port = client.peer
            self.counters.trace.add(CloseTrace(f"client {host}:{port}", reason.value, self.clock.now()))

    def _trace_refusal(self, stored: StoredMessage, reason: str, wait_ms: int = 0) -> None:
        if self.counters.trace.enabled:
            self.counters.trace.add(RefusalTrace(stored.id, reason, wait_ms, self.clock.now()))

    def _read_request(self, client: ClientConnection) -> list[bytes] | None:
        """Read the next request; None if the connection has ended or no request came within the timeout."""
        while (parts := read_command(client.buffer)) is None:
            incomplete = len(client.buffer) > 0
            client.waiting, client.idle_since = not incomplete, self.clock.now()
            timeout_s = client.idle_timeout_s()
            if incomplete:
                client.begun_at = client.begun_at or client.idle_since
                timeout_s = PARTIAL_REQUEST_TIMEOUT_S - (client.idle_since - client.begun_at) / 1_000_000
                self._claim_buffer(client)
            try:
                if timeout_s <= 0:
                    raise TimeoutError
                client.sock.settimeout(timeout_s)
                if not incomplete:
                    client.sock.recv(1, gevent.socket.MSG_PEEK)
                    if client.shut_down or client.closed:
                        return None
                if not client.buffer.fill(client.sock):
                    return None
            except TimeoutError:
                if incomplete:
                    raise MalformedRequestError("Protocol error: the request did not end") from None
                if not self._nothing_unread(client):
                    continue  # input arrived just as the timeout expired
                self.counters.add("clients let go that asked for nothing")
                return None
        client.waiting, client.begun_at, client.has_sent_request = False, 0, True
        return parts

    def _claim_buffer(self, client: ClientConnection) -> None:
        """Claim memory for the next bytes of an incomplete request, if need be that of a client that has stalled.

        Raises `ConnectionShedError` if there is none.
        """
        size = client.buffer.capacity_after_fill()
        while not self.request_memory.grow(client, size):
            if not self._close_stalled(except_for=client):
                raise ConnectionShedError(f"no memory for a request of more than {len(client.buffer)} bytes")

    def _count_rejection(self, fields: bytes) -> None:
        """Count a SUBMIT that was rejected at admission under its priority class, if the settings have that class."""
        for pair in fields.split(b","):
            name, _, value = pair.partition(b"=")
            if name == b"c":
                priority_class = setting_text(value.decode("utf-8", "replace"))
                if priority_class in self.counters.metrics.priority_classes:
                    self.counters.metrics.dropped[priority_class] += 1
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
            stored, is_repeated = read_submission(parts, self.clock.now())
        except InvalidSubmitError as error:
            client.unusable += 1
            self.counters.warning("a request that cannot be taken", error)
            return f"-ERR {error}\r\n".encode()
        self.counters.add("handed in again" if is_repeated else "handed in")
        if self.closing and not self.accept_while_closing or not self.ready():
            self.counters.add("turned away at a start or an end")
            self._trace_refusal(stored, "starting or ending")
            client.unusable += not self.closing and client.unusable < MAX_DOUBTFUL_REQUESTS
            return BUSY
        if client_has_left(client):
            return self._refuse_departed(stored)
        result, wait_ms, withdraw = self.submit_message(stored)
        if result is not AdmissionResult.ACCEPTED:
            self._trace_refusal(stored, result.value, wait_ms)
        if result in (AdmissionResult.ACCEPTED, AdmissionResult.BUSY):
            client.served, client.unusable = True, 0
        elif (
            result in (AdmissionResult.UNKNOWN_PRIORITY_CLASS, AdmissionResult.REPEATED)
            or client.unusable < MAX_DOUBTFUL_REQUESTS
        ):
            client.unusable += 1
        if withdraw is not None and client_has_left(client):
            withdraw()
            return self._refuse_departed(stored)
        client.withdraw_unheard = withdraw
        if result is AdmissionResult.BUSY and wait_ms:
            return b"-BUSY %d\r\n" % wait_ms
        return REPLIES[result]

    def _refuse_departed(self, stored: StoredMessage) -> bytes:
        """Refuse a message whose client disconnected before its answer: the client submits it to another sender."""
        self.counters.add("clients gone before their answer")
        self._trace_refusal(stored, "its client left before the answer")
        return BUSY

    def _write_answer(self, client: ClientConnection, reply: bytes) -> None:
        """Write an answer; if that fails, withdraw the message whose acceptance the client cannot hear of."""
        withdraw, client.withdraw_unheard = client.withdraw_unheard, None
        try:
            client.sock.sendall(reply)
        except OSError:
            if withdraw is not None:
                self.counters.add("messages withdrawn: their answer could not be written")
                withdraw()
            raise

    def submit_to_dispatcher(self, stored: StoredMessage) -> SubmitResult:
        """Submit a message to the dispatcher of this process and wait for the result."""
        submission = Submission(stored)
        self.dispatcher.submit(submission)
        result, wait_ms = submission.answer.get()
        admitted = result is AdmissionResult.ACCEPTED and stored.number
        return result, wait_ms, (lambda: self.dispatcher.withdraw(submission)) if admitted else None


def client_has_left(client: ClientConnection) -> bool:
    """Whether a client has ended its connection, even if further requests of it are still unread."""
    return peer_has_closed(client.sock) or peek_input(client.sock) == b""
