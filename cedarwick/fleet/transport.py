"""Transport of peer messages: HTTP/1.1 POST requests to one path, and the errors of server and client.

A refusal is a peer message with a `RequestRefused` body. Its HTTP status is 4xx if the request is at fault, 503 if too
many requests are in progress, and 500 if the handler failed. The transport never sends a message twice; callers retry
with `backoff.Backoff`. The server is in `peer_server.py`, the client in `peer_client.py`.

A request has a number in the header `X-Request-Id`, and its answer has the same: a second copy of an answer is not
taken for the answer to the next request on the connection. Members of earlier versions answer without it.
"""

from cedarwick.errors import CedarwickError
from cedarwick.fleet.messages import RequestRefused

PEER_MESSAGE_PATH = b"/fleet/1"
REQUEST_ID_HEADER = "x-request-id"

Address = tuple[str, int]  # host and port


class NotAPeerMessageError(CedarwickError):
    """A request on the fleet's address that is not a peer message."""

    code = "CW707"
    remedy = "find out who calls the fleet's address: only members may, by POST with a Content-Length"


class PeerMessageTooLargeError(CedarwickError):
    """A peer message above the size limit."""

    code = "CW708"
    remedy = "report it with the log of the sender that encoded it"


class TooManyRequestsError(CedarwickError):
    """The member already answers the maximum number of peer messages."""

    code = "CW709"
    remedy = "the caller retries by itself; if it persists, check the load and lag of this member"


class RequestTimeoutError(CedarwickError):
    """A request on the fleet's address that did not arrive in time."""

    code = "CW710"
    remedy = "check the network between the two senders"


class AnswerFailedError(CedarwickError):
    """An unexpected error in the handler of a peer message; the member keeps running."""

    code = "CW711"
    remedy = "find the traceback in the log of the member that was called, and report it"


class PeerUnreachableError(CedarwickError):
    """A member gave no valid answer; it may have handled the request."""

    code = "CW712"
    remedy = "check that member's process and the network between the two members"


class PeerRefusedError(CedarwickError):
    """A member refused a peer message; `refused` is its answer."""

    code = "CW713"
    remedy = "follow docs/errors.md for the code in the member's answer"
    refused: RequestRefused
