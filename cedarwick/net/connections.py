"""Every connection to a receiver, and the budget of descriptors."""

from collections import deque
from collections.abc import Callable

import gevent
import gevent.socket

from cedarwick.errors import CedarwickError
from cedarwick.net.buffer import Buffer
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters
from cedarwick.net.sockets import is_closed, open_connection

RESERVED_DESCRIPTORS = 64  # for the interpreter, the loop, the store and the platform
IDLE_SWEEP_INTERVAL_S = 0.25  # between two looks at the idle connections
DESCRIPTOR_TIMEOUT_US = 400_000  # for an attempt; with a longer one its receiver would seem to be silent
DESCRIPTOR_POLL_INTERVAL_S = 0.02  # between two looks for a free one


class NoDescriptorError(CedarwickError):
    """All descriptors are taken, and no idle link could give way."""

    code = "CW302"
    remedy = "raise limits.sockets, or start another sender"


class DescriptorBudget:
    """Counts the descriptors of clients and receivers; at the bound the longest idle link gives way."""

    def __init__(self, limit: int) -> None:
        self.set_limit(limit)
        self.used = 0
        self.make_way: Callable[[], bool] = lambda: False

    def set_limit(self, limit: int) -> None:
        self.limit = max(8, limit - RESERVED_DESCRIPTORS)

    def claim(self) -> None:
        if self.used >= self.limit and not self.make_way():
            raise NoDescriptorError(f"all {self.limit} are taken")
        self.used += 1

    def give_back(self) -> None:
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
    """Opens links, keeps the idle ones, and is the only place where one is closed."""

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
        self.ending: dict[Connection, None] = {}  # links that are only read any more, the newest last
        descriptors.make_way = self._give_way

    def obtain(self, receiver: int, until: int, new: bool = False) -> Connection:
        """An idle link or a new one; OSError where none comes up in time, NoDescriptorError where none may."""
        address = self.address_of(receiver)
        free_by = min(until, self.clock.now() + DESCRIPTOR_TIMEOUT_US)
        while (link := None if new else self._kept(receiver, address)) is None:
            try:
                self.descriptors.claim()
                break
            except NoDescriptorError:
                # Danger: while idle clients hold them all, a message would be through its tries at once.
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

    def _kept(self, receiver: int, address: tuple[str, int]) -> Connection | None:
        """An idle link that can still be used; what cannot is closed on the way."""
        waiting = self.idle.get(receiver)
        while waiting:
            link = waiting.pop()
            # Danger: a receiver closes what stood idle, and an attempt written to it then is lost unseen.
            fresh = link.address == address and self.clock.now() - link.idle_since < self.life
            if fresh and not is_closed(link.sock):
                return link
            self._close(link)
        return None

    def give_back(self, link: Connection, usable: bool) -> None:
        if not usable or len(link.buffer):
            self._close(link)
            return
        link.idle_since = self.clock.now()
        self.idle.setdefault(link.receiver, deque()).append(link)

    def end_sending(self, link: Connection) -> bool:
        """Give up the call on a link and read on, until it is given back; False where the link has broken."""
        try:
            link.sock.shutdown(gevent.socket.SHUT_WR)
        except OSError:
            return False
        self.ending[link] = None
        return True

    def free(self, receiver: int) -> None:
        """Close what stands idle at a receiver."""
        for link in self.idle.pop(receiver, ()):
            self._close(link)

    def sweep(self) -> None:
        """Never returns: closes idle links ahead of the time at which their receiver would."""
        while True:
            gevent.sleep(IDLE_SWEEP_INTERVAL_S)
            now = self.clock.now()
            for receiver, waiting in list(self.idle.items()):
                for link in list(waiting):
                    if now - link.idle_since >= self.life or is_closed(link.sock):
                        waiting.remove(link)
                        self._close(link)
                if not waiting:
                    self.idle.pop(receiver, None)

    def _give_way(self) -> bool:
        if self.ending:
            self._close(next(iter(self.ending)))
            return True
        longest = min(
            (waiting[0] for waiting in self.idle.values() if waiting), key=lambda link: link.idle_since, default=None
        )
        if longest is not None:
            self.idle[longest.receiver].popleft()
            self._close(longest)
        return longest is not None

    def _close(self, link: Connection) -> None:
        if link.closed:
            return
        link.closed = True
        self.ending.pop(link, None)
        link.sock.close()
        self.descriptors.give_back()
        self.counters.add("links closed")
