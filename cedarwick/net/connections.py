"""The pool of connections to receivers, and the budget of file descriptors that clients share with it.

Times are microseconds unless a name ends in `_S` (seconds). Attempts and the client listener use this module.
"""

from collections import deque
from collections.abc import Callable

import gevent
import gevent.socket

from cedarwick.errors import CedarwickError
from cedarwick.net.buffer import Buffer
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters
from cedarwick.net.message_trace import CloseReason, CloseTrace
from cedarwick.net.sockets import is_closed, open_connection

RESERVED_DESCRIPTORS = 64  # for the interpreter, the loop, the store and the platform
IDLE_SWEEP_INTERVAL_S = 0.25  # between two looks at the idle connections
DESCRIPTOR_TIMEOUT_US = 400_000  # for an attempt to get one; a longer wait would look like a silent receiver
DESCRIPTOR_POLL_INTERVAL_S = 0.02  # between two looks for a free one


class NoDescriptorError(CedarwickError):
    """All descriptors are taken, and no idle connection could give way."""

    code = "CW302"
    remedy = "raise limits.sockets, or start another sender"


class DescriptorBudget:
    """Counts the descriptors of clients and receivers; at the limit an idle connection is closed for another."""

    def __init__(self, limit: int) -> None:
        self.set_limit(limit)
        self.used = 0
        self.close_one: Callable[[], bool] = lambda: False

    def set_limit(self, limit: int) -> None:
        """Set the number of descriptors of the whole process; `RESERVED_DESCRIPTORS` of them stay free."""
        self.limit = max(8, limit - RESERVED_DESCRIPTORS)

    def claim(self) -> None:
        """Count one more descriptor; raises `NoDescriptorError` at the limit if no connection can be closed."""
        if self.used >= self.limit and not self.close_one():
            raise NoDescriptorError(f"all {self.limit} are taken")
        self.used += 1

    def release(self) -> None:
        """Count one descriptor less."""
        self.used -= 1


class Connection:
    """One connection to a receiver."""

    __slots__ = ("sock", "receiver", "address", "buffer", "idle_since", "closed")

    def __init__(self, sock: gevent.socket.socket, receiver: int, address: tuple[str, int]) -> None:
        self.sock = sock
        self.receiver = receiver
        self.address = address
        self.buffer = Buffer()
        self.idle_since = 0
        self.closed = False


class ConnectionPool:
    """Opens connections, pools the idle ones, and is the only place where they are closed.

    `idle_lifetime_us` (how long an idle connection may be used) and `connect_timeout_us` are microseconds.
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        descriptors: DescriptorBudget,
        address_of: Callable[[int], tuple[str, int]],
        idle_lifetime_us: int,
        connect_timeout_us: int,
    ) -> None:
        self.clock = clock
        self.counters = counters
        self.descriptors = descriptors
        self.address_of = address_of
        self.idle_lifetime_us = idle_lifetime_us
        self.connect_timeout_us = connect_timeout_us
        self.idle: dict[int, deque[Connection]] = {}  # by receiver, the newest last
        self.half_closed: dict[Connection, None] = {}  # connections that are only read from now on, the newest last
        descriptors.close_one = self._close_one

    def acquire(self, receiver: int, until: int, new: bool = False) -> Connection:
        """An idle connection or a new one, by `until`.

        Raises `OSError` where none comes up in time, `NoDescriptorError` where no descriptor is free.
        """
        address = self.address_of(receiver)
        claim_by = min(until, self.clock.now() + DESCRIPTOR_TIMEOUT_US)
        while (connection := None if new else self._take_idle(receiver, address)) is None:
            try:
                self.descriptors.claim()
                break
            except NoDescriptorError:
                # Wait a little: if it failed at once while clients hold all descriptors, a message would soon be
                # out of attempts.
                if self.clock.now() >= claim_by:
                    raise
                gevent.sleep(DESCRIPTOR_POLL_INTERVAL_S)
        if connection is not None:
            return connection
        try:
            limit = min(self.connect_timeout_us, until - self.clock.now())
            sock = open_connection(address, max(limit, 1000) / 1_000_000)
        except BaseException:
            self.descriptors.release()
            raise
        self.counters.add("connections opened")
        return Connection(sock, receiver, address)

    def _take_idle(self, receiver: int, address: tuple[str, int]) -> Connection | None:
        """The newest idle connection that can still be used, if any; those that cannot are closed."""
        waiting = self.idle.get(receiver)
        while waiting:
            connection = waiting.pop()
            # Receivers close idle connections, and an attempt written just then is lost without a trace.
            fresh = connection.address == address and self.clock.now() - connection.idle_since < self.idle_lifetime_us
            if fresh and not is_closed(connection.sock):
                return connection
            self._close(connection, CloseReason.NOT_REUSABLE)
        return None

    def release(self, connection: Connection, usable: bool) -> None:
        """Return a connection to the pool; close it if it is not usable or has unread bytes."""
        if not usable or len(connection.buffer):
            self._close(connection, CloseReason.UNREAD_BYTES if usable else CloseReason.ANSWER_UNUSABLE)
            return
        connection.idle_since = self.clock.now()
        self.idle.setdefault(connection.receiver, deque()).append(connection)

    def shut_down_sending(self, connection: Connection) -> bool:
        """Shut down the sending side after a time-out, to read on until the connection is given back.

        False where it has broken.
        """
        try:
            connection.sock.shutdown(gevent.socket.SHUT_WR)
        except OSError:
            return False
        self.half_closed[connection] = None
        return True

    def close_idle(self, receiver: int) -> None:
        """Close the idle connections to a receiver."""
        for connection in self.idle.pop(receiver, ()):
            self._close(connection, CloseReason.RELEASED)

    def sweep(self) -> None:
        """Never returns: closes idle connections before their receiver would."""
        while True:
            gevent.sleep(IDLE_SWEEP_INTERVAL_S)
            now = self.clock.now()
            for receiver, waiting in list(self.idle.items()):
                for connection in list(waiting):
                    if now - connection.idle_since >= self.idle_lifetime_us or is_closed(connection.sock):
                        waiting.remove(connection)
                        self._close(connection, CloseReason.IDLE)
                if not waiting:
                    self.idle.pop(receiver, None)

    def _close_one(self) -> bool:
        if self.half_closed:
            self._close(next(iter(self.half_closed)), CloseReason.DESCRIPTOR_WANTED)
            return True
        oldest = min(
            (waiting[0] for waiting in self.idle.values() if waiting),
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
        connection.closed = True
        self.half_closed.pop(connection, None)
        connection.sock.close()
        self.descriptors.release()
        self.counters.add("connections closed")
        if self.counters.trace.enabled:
            self.counters.trace.add(CloseTrace(f"receiver {connection.receiver}", reason.value, self.clock.now()))
