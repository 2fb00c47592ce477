"""The pool of connections to receivers.

Times are microseconds, except in names that end in `_S` (seconds).
"""

from collections import deque
from collections.abc import Callable

import gevent
import gevent.socket

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

    A connection that has been idle for `idle_lifetime_us` is not used again.
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
        self.idle: dict[int, deque[Connection]] = {}  # by receiver, the last used one at the end
        self.half_closed: dict[Connection, None] = {}  # only read from now on; the newest at the end
        self.opened_count = 0
        descriptors.close_one = self._close_one

    def acquire(self, receiver: int, until: int, new: bool = False) -> Connection:
        """Return an idle connection, or a new one that is opened by `until`; with `new`, always a new one.

        Raises:
            OSError: no connection could be opened in time.
            NoDescriptorError: no descriptor became free in time.
        """
        address = self.address_of(receiver)
        claim_by = min(until, self.clock.now() + DESCRIPTOR_TIMEOUT_US)
        while (connection := None if new else self._take_idle(receiver, address)) is None:
            try:
                self.descriptors.claim()
                break
            except NoDescriptorError:
                # If this failed at once while clients hold all descriptors, a message would soon use up its attempts.
                if self.clock.now() >= claim_by:
                    raise
                gevent.sleep(DESCRIPTOR_POLL_INTERVAL_S)
        if connection is not None:
            return connection
        try:
            timeout_us = min(self.connect_timeout_us, until - self.clock.now())
            sock = open_connection(address, max(timeout_us, 1000) / 1_000_000)
        except BaseException:
            self.descriptors.release()
            raise
        self.counters.add("links opened")
        self.opened_count += 1
        return Connection(sock, receiver, address, self.opened_count)

    def _take_idle(self, receiver: int, address: tuple[str, int]) -> Connection | None:
        """Take the last used idle connection that is still usable, if any; close those that are not."""
        idle_connections = self.idle.get(receiver)
        while idle_connections:
            connection = idle_connections.pop()
            connection.stop_watching()
            # A receiver may close an idle connection just as an attempt is written to it; that attempt would be lost.
            reusable = (
                connection.address == address and self.clock.now() - connection.idle_since < self.idle_lifetime_us
            )
            if not reusable:
                self._close(connection, CloseReason.NOT_REUSABLE)
            elif not self.close_if_readable(connection):
                return connection
        return None

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
        self.counters.add(
            "answers that no call asked for" if not data or begins_an_answer(data) else "bytes that no call asked for"
        )
        self.counters.warning(
            "unexpected input on a link", connection.describe_unexpected_input(self.clock.now(), data)
        )

    def _on_idle_input(self, connection: Connection) -> None:
        """Called by the event loop when an idle connection becomes readable."""
        connection.stop_watching()
        idle_connections = self.idle.get(connection.receiver)
        if idle_connections is not None and connection in idle_connections and self.close_if_readable(connection):
            idle_connections.remove(connection)

    def release(self, connection: Connection, usable: bool) -> None:
        """Return a connection to the pool, or close it if it is not usable or has unread bytes."""
        if not usable or len(connection.buffer):
            self._close(connection, CloseReason.UNREAD_BYTES if usable else CloseReason.ANSWER_UNUSABLE)
            return
        connection.idle_since = self.clock.now()
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
