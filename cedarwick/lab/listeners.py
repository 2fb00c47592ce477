"""Listeners on loopback addresses: the host of each sender, ports that are reserved, one port at several hosts."""

import contextlib
import struct
from collections.abc import Iterator
from typing import Self

import gevent
import gevent.socket

from cedarwick.errors import CedarwickError

BACKLOG = 512
PATIENCE = 100  # looks for a port, 20 ms apart
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset


def sender_host(sender: int) -> str:
    """The loopback host at which a sender reaches all others."""
    return f"127.0.{10 + sender // 200}.{1 + sender % 200}"


def bound(address: tuple[str, int], *, reuse: bool = True) -> gevent.socket.socket:
    """A socket that is bound to an address and does not listen; port 0 takes a free one."""
    sock = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
    if reuse:
        sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def listen(address: tuple[str, int], backlog: int = BACKLOG, *, reuse: bool = True) -> gevent.socket.socket:
    """A listener; port 0 takes a free one. Without `reuse` a port that a `ReservedPort` holds counts as in use."""
    sock = bound(address, reuse=reuse)
    try:
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def accept_connections(listener: gevent.socket.socket) -> Iterator[gevent.socket.socket]:
    """Each connection as it comes up, until the listener is closed."""
    while True:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        yield sock


class ReservedPort:
    """A free port of a loopback host, kept for one listener until `release`.

    A bound socket that does not listen holds the port: the system gives it to no other socket that asks for any free
    port, while a listener with SO_REUSEADDR, as `listen` and the sender's own are, can still be opened on it, again
    after each restart. A port that was only looked up and closed could go to another socket before its listener opens.
    """

    def __init__(self, host: str) -> None:
        """Raises OSError where no port of the host is free."""
        self._socket = bound((host, 0))
        self.host = host
        self.number = int(self._socket.getsockname()[1])

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.number

    def release(self) -> None:
        """Give the port back; a second call does nothing."""
        self._socket.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.release()


class PortTakenError(CedarwickError, OSError):
    """A port that the laboratory needs is taken."""

    code = "CW603"
    remedy = "end what listens on loopback addresses, an earlier day perhaps, and play again"


def listen_on_all(hosts: list[str], port: int = 0) -> tuple[int, list[gevent.socket.socket]]:
    """One port at several hosts; port 0 looks for one that is free at all of them."""
    for _ in range(PATIENCE):
        made: list[gevent.socket.socket] = []
        try:
            made.append(listen((hosts[0], port)))
            found = int(made[0].getsockname()[1])
            made += [listen((host, found), reuse=bool(port)) for host in hosts[1:]]
        except OSError:
            for sock in made:
                sock.close()
            gevent.sleep(0.02)  # the port of a listener that has just gone is in use for a moment
            continue
        return found, made
    raise PortTakenError(f"no port is free at {hosts[0]} and all others" if not port else f"port {port} stays in use")


def reset_connection(sock: gevent.socket.socket) -> None:
    """End a connection as a process that died does."""
    with contextlib.suppress(OSError):
        sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, RESET)
    sock.close()
