"""What server and client of the peer messages share: HTTP/1.1 by POST to one path, and the errors of both.

A refusal is a peer message with `RequestRefused`, whatever the status beside it: 4xx where the peer message is at
fault, 503 where there are too many, 500 where its handler failed. Callers retry with `backoff.Backoff`; nothing is sent
twice here. The server is in `peer_server.py`, the client in `peer_client.py`.
"""

from cedarwick.errors import CedarwickError
from cedarwick.fleet.messages import RequestRefused

PEER_MESSAGE_PATH = b"/fleet/1"

Address = tuple[str, int]  # host and port


class NotAPeerMessageError(CedarwickError):
    """A request to the fleet's address that brings no peer message."""

    code = "CW707"
    remedy = "ask who calls the fleet's address: only members do, by POST with a Content-Length"


class PeerMessageTooLargeError(CedarwickError):
    """A peer message larger than any member reads."""

    code = "CW708"
    remedy = "report it, with the log of the sender that wrote it"


class TooManyRequestsError(CedarwickError):
    """As many peer messages are being answered as may be at once."""

    code = "CW709"
    remedy = "the caller tries again by itself; if it lasts, look at the load and lag of this member"


class RequestTimeoutError(CedarwickError):
    """A request on the fleet's address that did not come in time."""

    code = "CW710"
    remedy = "look at the network between the two senders"


class AnswerFailedError(CedarwickError):
    """A peer message met an error in the program; the sender goes on."""

    code = "CW711"
    remedy = "see the log of the member that was called for the trace, and report it"


class PeerUnreachableError(CedarwickError):
    """A member did not answer, or not with a peer message: the request may have got through."""

    code = "CW712"
    remedy = "look at that member's process and at the network between the two"


class PeerRefusedError(CedarwickError):
    """A member read the peer message and refused it; `refused` is its answer."""

    code = "CW713"
    remedy = "do what docs/errors.md says for the code that the member gave"
    refused: RequestRefused
