"""Opening a connection, looking at one without reading it, and when the loop last looked at them all."""

import gevent
import gevent.socket

from cedarwick.net.clock import Clock


class PollClock:
    """When the loop last asked the system which sockets hold something; those are read before all else."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.at = clock.now()
        self.times = 0
        self.watcher = gevent.get_hub().loop.check(ref=False)
        self.watcher.start(self._polled)

    def _polled(self) -> None:
        self.at = self.clock.now()
        self.times += 1

    def again(self) -> None:
        """Returns once all that lies in the sockets now has been read by those who wait for it."""
        before = self.times
        while self.times == before:
            gevent.sleep(0)


def open_connection(address: tuple[str, int], seconds: float) -> gevent.socket.socket:
    """A new connection; OSError where none comes up in time."""
    sock = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
    try:
        sock.settimeout(seconds)
        sock.connect(address)
        sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
    except BaseException:
        sock.close()
        raise
    return sock


def peek_byte(sock: gevent.socket.socket) -> bytes | None:
    """The next byte of a connection, left where it is: None if it is silent, nothing if it has ended."""
    sock.settimeout(0.0)
    try:
        return bytes(sock.recv(1, gevent.socket.MSG_PEEK))
    except BlockingIOError:
        return None
    except OSError:
        return b""


def is_closed(sock: gevent.socket.socket) -> bool:
    """Whether an idle connection has ended, or holds bytes that nobody asked for."""
    return peek_byte(sock) is not None
