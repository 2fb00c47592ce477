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
    """All descriptors are taken, and no idle link could give way."""

    code = "CW302"
    remedy = "raise limits.sockets, or start another sender"


class DescriptorBudget:
    """Counts the descriptors of clients and receivers; at the limit an idle connection is closed for another."""

    def __init__(self, limit: int) -> None:
        self.set_limit(limit)
        self.used = 0
        self.make_way: Callable[[], bool] = lambda: False

    def set_limit(self, limit: int) -> None:
        """Set the number of descriptors of the whole process; `RESERVED_DESCRIPTORS` of them stay free."""
        self.limit = max(8, limit - RESERVED_DESCRIPTORS)

    def claim(self) -> None:
        """Count one more descriptor; raises `NoDescriptorError` at the limit if no connection can be closed."""
        if self.used >= self.limit and not self.make_way():
            raise NoDescriptorError(f"all {self.limit} are taken")
        self.used += 1

    def give_back(self) -> None:
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

    `life` (how long an idle connection may be used) and `connect_limit` are microseconds.
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        descriptors: DescriptorBudget,
        address_of: Callable[[int], tuple[str, int]],
        life: int,
        connect_limit: int,
    ) -> None:
        self.clock = clock
        self.counters = counters
        self.descriptors = descriptors
        self.address_of = address_of
        self.life = life
        self.connect_limit = connect_limit
        self.idle: dict[int, deque[Connection]] = {}  # by receiver, the newest last
        self.ending: dict[Connection, None] = {}  # connections that are only read from now on, the newest last
        descriptors.make_way = self._give_way

    def obtain(self, receiver: int, until: int, new: bool = False) -> Connection:
        """An idle connection or a new one, by `until`.

        Raises `OSError` where none comes up in time, `NoDescriptorError` where no descriptor is free.
        """
        address = self.address_of(receiver)
        free_by = min(until, self.clock.now() + DESCRIPTOR_TIMEOUT_US)
        while (link := None if new else self._reusable(receiver, address)) is None:
            try:
                self.descriptors.claim()
                break
            except NoDescriptorError:
                # Wait a little: if it failed at once while clients hold all descriptors, a message would soon be
                # out of attempts.
                if self.clock.now() >= free_by:
                    raise
                gevent.sleep(DESCRIPTOR_POLL_INTERVAL_S)
        if link is not None:
            return link
        try:
            limit = min(self.connect_limit, until - self.clock.now())
            sock = open_connection(address, max(limit, 1000) / 1_000_000)
        except BaseException:
            self.descriptors.give_back()
            raise
        self.counters.add("links opened")
        return Connection(sock, receiver, address)

    def _reusable(self, receiver: int, address: tuple[str, int]) -> Connection | None:
        """The newest idle connection that can still be used, if any; those that cannot are closed."""
        waiting = self.idle.get(receiver)
        while waiting:
            link = waiting.pop()
            # Receivers close idle connections, and an attempt written just then is lost without a trace.
            fresh = link.address == address and self.clock.now() - link.idle_since < self.life
            if fresh and not is_closed(link.sock):
                return link
            self._close(link, CloseReason.NOT_REUSABLE)
        return None

    def give_back(self, link: Connection, usable: bool) -> None:
        """Return a connection to the pool; close it if it is not usable or has unread bytes."""
        if not usable or len(link.buffer):
            self._close(link, CloseReason.UNREAD_BYTES if usable else CloseReason.ANSWER_UNUSABLE)
            return
        link.idle_since = self.clock.now()
        self.idle.setdefault(link.receiver, deque()).append(link)

    def end_sending(self, link: Connection) -> bool:
        """Shut down the sending side after a time-out, to read on until the connection is given back.

        False where it has broken.
        """
        try:
            link.sock.shutdown(gevent.socket.SHUT_WR)
        except OSError:
            return False
        self.ending[link] = None
        return True

    def free(self, receiver: int) -> None:
        """Close the idle connections to a receiver."""
        for link in self.idle.pop(receiver, ()):
            self._close(link, CloseReason.RELEASED)

    def sweep(self) -> None:
        """Never returns: closes idle connections before their receiver would."""
        while True:
            gevent.sleep(IDLE_SWEEP_INTERVAL_S)
            now = self.clock.now()
            for receiver, waiting in list(self.idle.items()):
                for link in list(waiting):
                    if now - link.idle_since >= self.life or is_closed(link.sock):
                        waiting.remove(link)
                        self._close(link, CloseReason.IDLE)
                if not waiting:
                    self.idle.pop(receiver, None)

    def _give_way(self) -> bool:
        if self.ending:
            self._close(next(iter(self.ending)), CloseReason.DESCRIPTOR_WANTED)
            return True
        longest = min(
            (waiting[0] for waiting in self.idle.values() if waiting), key=lambda link: link.idle_since, default=None
        )
        if longest is not None:
            self.idle[longest.receiver].popleft()
            self._close(longest, CloseReason.DESCRIPTOR_WANTED)
        return longest is not None

    def _close(self, link: Connection, reason: CloseReason) -> None:
        if link.closed:
            return
        link.closed = True
        self.ending.pop(link, None)
        link.sock.close()
        self.descriptors.give_back()
        self.counters.add("links closed")
        if self.counters.trace.enabled:
            self.counters.trace.add(CloseTrace(f"receiver {link.receiver}", reason.value, self.clock.now()))
