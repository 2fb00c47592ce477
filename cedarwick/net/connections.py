"""The pool of connections to receivers.

Times are microseconds, except in names that end in `_S` (seconds).
"""

from collections import deque
from collections.abc import Callable

import gevent
import gevent.event
import gevent.socket

from cedarwick.decisions.connection_reuse import MAX_QUIET_WAIT, ConnectionReuse
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters
from cedarwick.net.descriptors import DescriptorBudget, NoDescriptorError
from cedarwick.net.message_trace import CloseReason, CloseTrace
from cedarwick.net.receiver_connection import SHOWN_BYTES, Connection, begins_an_answer
from cedarwick.net.sockets import open_connection, peek_input

IDLE_SWEEP_INTERVAL_S = 0.25  # between two checks of the idle connections
# How long an attempt waits for a descriptor; a longer wait would look like a receiver that does not answer.
DESCRIPTOR_TIMEOUT_US = 400_000
DESCRIPTOR_POLL_INTERVAL_S = 0.02  # between two tries to claim one


class ConnectionPool:
    """Opens connections to receivers, pools the idle ones, and is the only code that closes them.

    An idle connection is used again once it has been quiet for the time that `reuse` decides, and no longer than
    `idle_lifetime_us` after its last use. A call that finds only connections that are not quiet for long enough waits
    for one of them, while a spare connection is opened for the calls after it.
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        descriptors: DescriptorBudget,
        address_of: Callable[[int], tuple[str, int]],
        idle_lifetime_us: int,
        connect_timeout_us: int,
        reuse: ConnectionReuse,
    ) -> None:
        self.clock = clock
        self.counters = counters
        self.descriptors = descriptors
        self.address_of = address_of
        self.idle_lifetime_us = idle_lifetime_us
        self.connect_timeout_us = connect_timeout_us
        self.reuse = reuse
        self.idle: dict[int, deque[Connection]] = {}  # by receiver, the last used one at the end
        # Connections for whose quiet period a call waits; the event ends the wait.
        self.reserved: dict[Connection, gevent.event.Event] = {}
        self.receivers_with_spare: set[int] = set()  # a spare connection to them is being opened
        self.half_closed: dict[Connection, None] = {}  # only read from now on; the newest at the end
        self.opened_count = 0
        descriptors.close_one = self._close_one

    def acquire(self, receiver: int, until: int, new: bool = False, at_most_once: bool = False) -> Connection:
        """Return an idle connection, or a new one that is opened by `until`; with `new`, always a new one.

        Raises:
            OSError: no connection could be opened in time.
            NoDescriptorError: no descriptor became free in time.
        """
        address = self.address_of(receiver)
        quiet_period = self.reuse.quiet_period(self.clock.now(), receiver, at_most_once)
        if not new:
            connection = self._take_or_await(receiver, address, quiet_period, until)
            if connection is not None:
                return connection
        claim_by = min(until, self.clock.now() + DESCRIPTOR_TIMEOUT_US)
        while True:
            try:
                self.descriptors.claim()
                return self._connect(receiver, address, until)
            except NoDescriptorError:
                # If this failed at once while clients hold all descriptors, a message would soon use up its attempts.
                if self.clock.now() >= claim_by:
                    raise
                gevent.sleep(DESCRIPTOR_POLL_INTERVAL_S)
                connection = None if new else self._take_quiet(receiver, address, quiet_period)
                if connection is not None:
                    return connection

    def _connect(self, receiver: int, address: tuple[str, int], until: int) -> Connection:
        """Open a connection, for which a descriptor was claimed; raises `OSError`."""
        try:
            timeout_us = min(self.connect_timeout_us, until - self.clock.now())
            sock = open_connection(address, max(timeout_us, 1000) / 1_000_000)
        except BaseException:
            self.descriptors.release()
            raise
        self.counters.add("links opened")
        self.opened_count += 1
        return Connection(sock, receiver, address, self.opened_count)

    # ---- reuse ----

    def _take_or_await(
        self, receiver: int, address: tuple[str, int], quiet_period: int, until: int
    ) -> Connection | None:
        """Take an idle connection, if need be after its quiet period; None if a new one must be opened."""
        while True:
            connection = self._take_quiet(receiver, address, quiet_period)
            if connection is not None:
                return connection
            connection = self._reserve(receiver, quiet_period, until)
            if connection is None:
                return None
            self.counters.add("calls that waited for a quiet link")
            self._open_spare(receiver, address)
            self._wait_until_quiet(connection, quiet_period)

    def _take_quiet(self, receiver: int, address: tuple[str, int], quiet_period: int) -> Connection | None:
        """Take the last used idle connection that is quiet for long enough; close those that cannot be used again."""
        now = self.clock.now()
        idle_connections = self.idle.get(receiver, deque())
        for connection in reversed(list(idle_connections)):
            # A receiver may close an idle connection just as an attempt is written to it; that attempt would be lost.
            if connection.address != address or now - connection.idle_since >= self.idle_lifetime_us:
                idle_connections.remove(connection)
                self._close(connection, CloseReason.NOT_REUSABLE)
            elif connection.quiet_at(quiet_period) <= now:
                idle_connections.remove(connection)
                connection.stop_watching()
                if not self.close_if_readable(connection):
                    return connection
        return None

    def _reserve(self, receiver: int, quiet_period: int, until: int) -> Connection | None:
        """Take the idle connection whose quiet period ends first, unless that takes too long to wait for."""
        idle_connections = self.idle.get(receiver)
        if not idle_connections:
            return None
        connection = min(idle_connections, key=lambda each: each.answered_at)
        if connection.quiet_at(quiet_period) > min(until, self.clock.now() + MAX_QUIET_WAIT):
            return None
        idle_connections.remove(connection)
        self.reserved[connection] = gevent.event.Event()
        return connection

    def _wait_until_quiet(self, connection: Connection, quiet_period: int) -> None:
        """Wait for the end of a reserved connection's quiet period, for its end or for a spare one; then it is idle."""
        remaining_us = connection.quiet_at(quiet_period) - self.clock.now()
        try:
            self.reserved[connection].wait(max(0, remaining_us) / 1_000_000)
        finally:  # the attempt may have been aborted
            del self.reserved[connection]
            if not connection.closed:
                self.idle.setdefault(connection.receiver, deque()).appendleft(connection)

    def _open_spare(self, receiver: int, address: tuple[str, int]) -> None:
        """Open one more connection to a busy receiver in the background, if a descriptor is free."""
        if receiver not in self.receivers_with_spare and self.descriptors.used < self.descriptors.limit:
            self.receivers_with_spare.add(receiver)
            gevent.spawn(self._connect_spare, receiver, address)

    def _connect_spare(self, receiver: int, address: tuple[str, int]) -> None:
        try:
            self.descriptors.claim()
            connection = self._connect(receiver, address, self.clock.now() + self.connect_timeout_us)
        except (OSError, NoDescriptorError):
            self.receivers_with_spare.discard(receiver)
            return
        wanted = receiver in self.receivers_with_spare
        self.receivers_with_spare.discard(receiver)
        if not wanted:
            self._close(connection, CloseReason.RELEASED)
            return
        self.counters.add("spare links opened")
        self.release(connection, usable=True)
        for reserved, event in self.reserved.items():
            if reserved.receiver == receiver:
                event.set()
                return

    def is_current(self, connection: Connection) -> bool:
        """Whether its receiver is still listed at the address to which a connection was opened."""
        try:
            return connection.address == self.address_of(connection.receiver)
        except KeyError:
            return False

    def close_if_readable(self, connection: Connection) -> bool:
        """Close a connection that carries no call if it has ended or has input; returns whether it is closed.

        Bytes that came before a request would be read as its answer.
        """
        data = peek_input(connection.sock, SHOWN_BYTES)
        if data is None:
            return False
        if data:
            self.report_unexpected_input(connection, data)
        self._close(connection, CloseReason.UNREAD_BYTES if data else CloseReason.ENDED)
        return True

    def report_unexpected_input(self, connection: Connection, data: bytes) -> None:
        """Count and log input that no call asked for; `data` is empty if it was read with the answer before."""
        now = self.clock.now()
        self.counters.warning("unexpected input on a link", connection.describe_unexpected_input(now, data))
        if data and not begins_an_answer(data):
            self.counters.add("bytes that no call asked for")
            return
        self.counters.add("answers that no call asked for")
        self.counters.metrics.unexpected_answers += 1
        if connection.answered_at:
            self.reuse.answer_repeated(now, connection.receiver, now - connection.answered_at)

    def _on_idle_input(self, connection: Connection) -> None:
        """Called by the event loop when an idle connection becomes readable."""
        connection.stop_watching()
        if not self.close_if_readable(connection):
            connection.start_watching(self._on_idle_input)
            return
        idle_connections = self.idle.get(connection.receiver, deque())
        if connection in idle_connections:
            idle_connections.remove(connection)
        if connection in self.reserved:
            self.reserved[connection].set()

    # ---- return and close ----

    def release(self, connection: Connection, usable: bool) -> None:
        """Return a connection to the pool, or close it if it cannot be used again or has unread bytes."""
        if not usable or len(connection.buffer):
            self._close(connection, CloseReason.UNREAD_BYTES if usable else CloseReason.ANSWER_UNUSABLE)
            return
        now = self.clock.now()
        if self.reuse.quiet_period(now, connection.receiver, at_most_once=False) >= self.idle_lifetime_us:
            self._close(connection, CloseReason.NOT_REUSABLE)
            return
        connection.idle_since = now
        self.idle.setdefault(connection.receiver, deque()).append(connection)
        connection.start_watching(self._on_idle_input)

    def shut_down_sending(self, connection: Connection) -> bool:
        """Shut down the sending side after a time-out; the connection is still read until it is released.

        Returns False if the connection is broken.
        """
        try:
            connection.sock.shutdown(gevent.socket.SHUT_WR)
        except OSError:
            return False
        self.half_closed[connection] = None
        return True

    def close_idle(self, receiver: int) -> None:
        """Close the idle connections to a receiver."""
        self.receivers_with_spare.discard(receiver)
        for connection in self.idle.pop(receiver, ()):
            self._close(connection, CloseReason.RELEASED)

    def sweep(self) -> None:
        """Close idle connections before their receivers do; never returns."""
        while True:
            gevent.sleep(IDLE_SWEEP_INTERVAL_S)
            now = self.clock.now()
            for receiver, idle_connections in list(self.idle.items()):
                for connection in list(idle_connections):
                    if now - connection.idle_since >= self.idle_lifetime_us:
                        idle_connections.remove(connection)
                        self._close(connection, CloseReason.IDLE)
                if not idle_connections:
                    self.idle.pop(receiver, None)

    def _close_one(self) -> bool:
        """Close a half-closed connection, or else the one idle for longest; returns whether there was any."""
        if self.half_closed:
            self._close(next(iter(self.half_closed)), CloseReason.DESCRIPTOR_WANTED)
            return True
        oldest = min(
            (idle_connections[0] for idle_connections in self.idle.values() if idle_connections),
            key=lambda connection: connection.idle_since,
            default=None,
        )
        if oldest is not None:
            self.idle[oldest.receiver].popleft()
            self._close(oldest, CloseReason.DESCRIPTOR_WANTED)
        return oldest is not None

    def _close(self, connection: Connection, reason: CloseReason) -> None:
        if connection.closed:
            return
        self.half_closed.pop(connection, None)
        connection.close()
        self.descriptors.release()
        self.counters.add("links closed")
        if self.counters.trace.enabled:
            self.counters.trace.add(
                CloseTrace(
                    f"receiver {connection.receiver}",
                    reason.value,
                    self.clock.now(),
                    connection.number,
                    connection.calls,
                    connection.last_call.message_id,
                )
            )
