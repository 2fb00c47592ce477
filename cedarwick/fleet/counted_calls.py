"""Calls to other members whose failures are counted and logged instead of raised."""

from collections.abc import Callable
from typing import TypeVar

from cedarwick.errors import CedarwickError
from cedarwick.fleet.messages import Body
from cedarwick.fleet.transport import PeerRefusedError, PeerUnreachableError
from cedarwick.net.counters import Counters

Answer = TypeVar("Answer")  # `Body` or `PeerMessage`


def counted_call(
    send: Callable[[str, Body, float], Answer],
    name: str,
    body: Body,
    within_s: float,
    counters: Counters,
    subject: str = "",
) -> Answer | None:
    """Send a peer message to the member `name` and return its answer; on failure, count it and return None.

    Args:
        send: `Peers.call`, `Peers.call_for_peer_message` or a function with the same parameters.
        name: the member to call.
        body: the body of the message.
        within_s: time limit in seconds.
        counters: where failures are counted.
        subject: what the message is about, for the names of the counters; empty: not named.
    """
    about = f" about {subject}" if subject else ""
    try:
        return send(name, body, within_s)
    except PeerUnreachableError:
        counters.add(f"peer messages{about} without an answer: {name}")
    except PeerRefusedError as error:
        counters.warning(f"{name} refused a peer message{about}", error)
    except CedarwickError as error:
        counters.warning(f"a peer message{about} that was not sent", error)
    return None
