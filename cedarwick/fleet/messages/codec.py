"""The peer message around a body, its MessagePack codec, and the digest that goes with facts."""

import msgspec
import xxhash

from cedarwick.errors import CedarwickError
from cedarwick.fleet.messages.events import Cursors, Matches, Subscribe
from cedarwick.fleet.messages.fields import MAX_MESSAGE_BYTES, Name, PeerBody, ShortText, Text, Unsigned
from cedarwick.fleet.messages.gossip import PendingOrderKeys, RetryAfterHint, SuspensionMarks
from cedarwick.fleet.messages.membership import GrantTable, GrantTableRequest, Heartbeat, LeaseReply, LeaseRequest
from cedarwick.fleet.messages.replication import (
    Digests,
    OfferReply,
    ReplicaAck,
    ReplicateFacts,
    ReplicatePiece,
    TakeoverOffer,
)
from cedarwick.fleet.messages.sessions import (
    AcceptRequest,
    ClaimReply,
    ForwardedSubmit,
    ForwardReply,
    MigrationDecided,
    PrepareRequest,
    RecallForward,
    SessionClaim,
    SessionInheritance,
    SessionLocations,
    StageReply,
    StageSession,
    VoteReply,
)

PROTOCOL_VERSION = 1  # of the wire format; a peer message of another one is refused
PROTOCOL_LEVEL = 4  # of what a member can do; sent along, and checked where a feature needs it


class InvalidPeerMessageError(CedarwickError):
    """Bytes that are no peer message of a fleet."""

    code = "CW701"
    remedy = "ask who sends this to the fleet's address; compare the versions of the members"


class Acknowledged(PeerBody, frozen=True, tag="Noted"):
    """The request was read; the answer carries nothing."""


class RequestRefused(PeerBody, frozen=True, tag="Refused"):
    """The request was not acted on: the code of the error and its text."""

    code: ShortText
    reason: Text


Body = (
    Heartbeat | LeaseRequest | LeaseReply | GrantTableRequest | GrantTable
    | ReplicateFacts | ReplicatePiece | ReplicaAck | Digests | TakeoverOffer | OfferReply
    | SessionLocations | StageSession | StageReply | PrepareRequest | AcceptRequest | VoteReply | MigrationDecided
    | SessionClaim | SessionInheritance | ClaimReply | ForwardedSubmit | ForwardReply | RecallForward
    | Subscribe | Matches | Cursors | PendingOrderKeys | RetryAfterHint | SuspensionMarks
    | Acknowledged | RequestRefused
)  # fmt: skip


class PeerMessageHeader(msgspec.Struct, frozen=True, array_like=True):
    """The start of a peer message in every version, so that members of different versions can refuse one another."""

    version: Unsigned
    level: Unsigned
    group: Name
    sender: Name
    incarnation: Unsigned  # of the sender's process: wall clock microseconds of its start
    to: Name


class PeerMessage(PeerMessageHeader, frozen=True, array_like=True):
    """A body with its sender, group and receiver."""

    body: Body


encode = msgspec.msgpack.Encoder().encode
_peer_messages: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)
_headers: msgspec.msgpack.Decoder[PeerMessageHeader] = msgspec.msgpack.Decoder(PeerMessageHeader)


def decode(data: bytes) -> PeerMessage:
    """Decode a peer message.

    Raises:
        InvalidPeerMessageError: its text names the field that does not fit.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise InvalidPeerMessageError(f"a peer message of {len(data)} bytes, where {MAX_MESSAGE_BYTES} is the most")
    try:
        return _peer_messages.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidPeerMessageError(f"no peer message: {str(error)[:300]}") from None


def decode_peer_header(data: bytes) -> PeerMessageHeader | None:
    """The header of a peer message whose body may be unreadable; None if the header is too."""
    try:
        return _headers.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


def digest_of(data: bytes) -> int:
    """The 64-bit digest that is sent along with facts."""
    return xxhash.xxh3_64_intdigest(data)


def digest_matches(body: ReplicateFacts | ReplicatePiece | TakeoverOffer | StageSession) -> bool:
    """Whether the facts of a body match the digest sent with them."""
    return digest_of(body.facts) == body.digest
