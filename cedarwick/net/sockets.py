"""Socket helpers: open a connection, peek at its input, and track when the event loop last polled its sockets.

Used by attempts, the connection pool, the client listener, the endpoint list and notices.
"""

import select

import gevent
import gevent.socket

from cedarwick.net.clock import Clock


class PollClock:
    """Time of the event loop's last poll, in microseconds; the loop serves readable sockets before anything else."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.last_poll_at = clock.now()
        self.poll_count = 0
        self.watcher = gevent.get_hub().loop.check(ref=False)
        self.watcher.start(self._record_poll)

    def _record_poll(self) -> None:
        self.last_poll_at = self.clock.now()
        self.poll_count += 1

    def wait_for_next_poll(self) -> None:
        """Return after the next poll, when greenlets that wait for a socket have read the input available now."""
        previous = self.poll_count
        while self.poll_count == previous:
            gevent.sleep(0)


def open_connection(address: tuple[str, int], timeout_s: float) -> gevent.socket.socket:
    """Open a TCP connection; raises `OSError` if it is not established within `timeout_s`."""
    sock = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        sock.connect(address)
        sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
    except BaseException:
        sock.close()
        raise
    return sock


def peek_input(sock: gevent.socket.socket, size: int = 1) -> bytes | None:
    """Peek at up to `size` bytes of input: None if there is none, `b""` if the connection is closed or broken.

    Leaves the socket in non-blocking mode.
    """
    sock.settimeout(0.0)
    try:
        return bytes(sock.recv(size, gevent.socket.MSG_PEEK))
    except BlockingIOError:
        return None
    except OSError:
        return b""


def is_closed(sock: gevent.socket.socket) -> bool:
    """Whether an idle connection was closed by its peer or has received unexpected bytes."""
    return peek_input(sock) is not None


def peer_has_closed(sock: gevent.socket.socket) -> bool:
    """Whether the peer has ended its sending or the connection is broken, even if input is still unread.

    False if the system cannot tell: a failing call says nothing about the peer.
    """
    descriptor = sock.fileno()
    if descriptor < 0:
        return True  # closed here
    poller = select.poll()
    try:
        poller.register(descriptor, select.POLLRDHUP)
        return bool(poller.poll(0))
    except OSError:
        return False
