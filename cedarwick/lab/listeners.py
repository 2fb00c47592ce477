"""Listeners on loopback addresses: a host for each sender, reserved ports, and one port on several hosts."""

import contextlib
import struct
from collections.abc import Iterator
from typing import Self

import gevent
import gevent.socket

from cedarwick.errors import CedarwickError

BACKLOG = 512  # connections that may wait to be accepted
MAX_PORT_TRIES = 100  # attempts to open a port on all hosts, 20 ms apart
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: closing sends a reset


def sender_host(sender: int) -> str:
    """The loopback host at which a sender reaches its partners and the platform."""
    return f"127.0.{10 + sender // 200}.{1 + sender % 200}"


def bind_socket(address: tuple[str, int], *, reuse: bool = True) -> gevent.socket.socket:
    """A socket that is bound to an address and does not listen; port 0 takes a free port."""
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
    """A listener; port 0 takes a free port. Without `reuse`, a port that a `ReservedPort` holds counts as in use."""
    sock = bind_socket(address, reuse=reuse)
    try:
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


def accept_connections(listener: gevent.socket.socket) -> Iterator[gevent.socket.socket]:
    """Yield each new connection until the listener is closed."""
    while True:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        yield sock


class ReservedPort:
    """A free port of a loopback host, reserved for one listener until `release`.

    A bound socket that does not listen holds the port: the system assigns it to no other socket that asks for any free
    port, while a listener with SO_REUSEADDR, such as that of `listen` or of a sender, can still be opened on it, also
    after a restart. A port that was only looked up and closed could be assigned to another socket in the meantime.
    """

    def __init__(self, host: str) -> None:
        """Reserve any free port of the host; OSError where there is none."""
        self._socket = bind_socket((host, 0))
        self.host = host
        self.number = int(self._socket.getsockname()[1])

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.number

    def release(self) -> None:
        """Release the port; a second call does nothing."""
        self._socket.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.release()


class PortTakenError(CedarwickError, OSError):
    """A port that the laboratory needs is in use."""

    code = "CW603"
    remedy = "end the processes that listen on loopback addresses, such as those of an earlier run, and run again"


def listen_on_all(hosts: list[str], port: int = 0) -> tuple[int, list[gevent.socket.socket]]:
    """Open one port on several hosts; port 0 finds one that is free on all of them."""
    for _ in range(MAX_PORT_TRIES):
        opened: list[gevent.socket.socket] = []
        try:
            opened.append(listen((hosts[0], port)))
            found_port = int(opened[0].getsockname()[1])
            opened += [listen((host, found_port), reuse=bool(port)) for host in hosts[1:]]
        except OSError:
            for sock in opened:
                sock.close()
            gevent.sleep(0.02)  # the port of a listener that was just closed stays in use for a moment
            continue
        return found_port, opened
    raise PortTakenError(
        f"no port is free on {hosts[0]} and all other hosts" if not port else f"port {port} stays in use"
    )


def reset_connection(sock: gevent.socket.socket) -> None:
    """Close a connection with a reset, as when its process has died."""
    with contextlib.suppress(OSError):
        sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, LINGER_RESET)
    sock.close()
