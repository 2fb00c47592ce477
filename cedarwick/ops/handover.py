"""Inherits the listening socket of clients when a process replaces another; called at start-up.

The platform keeps the socket open during the replacement, so that no connection is refused.
"""

from collections.abc import Mapping

import gevent.socket

from cedarwick.errors import CedarwickError

SOCKET_FD = "RELAY_SOCKET_FD"
FIRST_FREE_FD = 3  # the first descriptor after standard input, output and error


class InheritedSocketError(CedarwickError, ValueError):
    """The inherited listening socket of clients is unusable."""

    code = "CW104"
    remedy = "pass the descriptor of an open, listening TCP socket in RELAY_SOCKET_FD, or unset the variable"


def inherited_listener(environment: Mapping[str, str]) -> gevent.socket.socket | None:
    """Return the listening socket whose descriptor `$RELAY_SOCKET_FD` names; None if the variable is not set.

    Raises `InheritedSocketError` if the descriptor is not a listening TCP socket over IPv4.
    """
    text = environment.get(SOCKET_FD, "")
    if not text:
        return None
    if not text.isdecimal() or int(text) < FIRST_FREE_FD:
        raise InheritedSocketError(f"{SOCKET_FD} is not a descriptor: {text!r}")
    try:
        sock = gevent.socket.socket(fileno=int(text))
    except OSError as error:
        raise InheritedSocketError(f"{SOCKET_FD} {text}: {error.strerror}") from None
    try:
        usable = (
            sock.family == gevent.socket.AF_INET
            and sock.type == gevent.socket.SOCK_STREAM
            and sock.getsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_ACCEPTCONN) == 1
        )
    except OSError:
        usable = False
    if not usable:
        sock.detach()  # not closed: the descriptor may belong to another part of the process
        raise InheritedSocketError(f"{SOCKET_FD} {text} is no listening TCP socket")
    return sock
