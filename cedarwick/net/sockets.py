"""Socket helpers: opening a connection, peeking at one, and the time of the event loop's last poll.

Used by attempts, the connection pool, the client listener, the endpoint list and notices.
"""

import gevent
import gevent.socket

from cedarwick.net.clock import Clock


class PollClock:
    """The time (microseconds) of the event loop's last poll; sockets found readable are read before all else."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.last_poll_at = clock.now()
        self.poll_count = 0
        self.watcher = gevent.get_hub().loop.check(ref=False)
        self.watcher.start(self._polled)

    def _polled(self) -> None:
        self.last_poll_at = self.clock.now()
        self.poll_count += 1

    def wait_for_next_poll(self) -> None:
        """Return after the next poll, when greenlets that wait for a socket have read what is there now."""
        before = self.poll_count
        while self.poll_count == before:
            gevent.sleep(0)


def open_connection(address: tuple[str, int], seconds: float) -> gevent.socket.socket:
    """Open a TCP connection; raises `OSError` where none comes up within `seconds`."""
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
    """Peek at the next byte: None if nothing is there, `b""` if the connection has ended or broken.

    Leaves the socket without a time-out (non-blocking).
    """
    sock.settimeout(0.0)
    try:
        return bytes(sock.recv(1, gevent.socket.MSG_PEEK))
    except BlockingIOError:
        return None
    except OSError:
        return b""


def is_closed(sock: gevent.socket.socket) -> bool:
    """Whether an idle connection has ended, or has received unexpected bytes."""
    return peek_byte(sock) is not None
