"""The peer message around a body, its MessagePack codec, and the digest sent with facts."""

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

PROTOCOL_VERSION = 1  # of the wire format; peer messages of other versions are refused
PROTOCOL_LEVEL = 4  # feature level of this member; sent in each header and checked by features that need it


class InvalidPeerMessageError(CedarwickError):
    """Bytes that cannot be decoded as a peer message."""

    code = "CW701"
    remedy = "find out which process sends this to the fleet's address; compare the versions of the members"


class Acknowledged(PeerBody, frozen=True, tag="Noted"):
    """The request was read; the answer carries no data."""


class RequestRefused(PeerBody, frozen=True, tag="Refused"):
    """The request was refused: code and text of the error."""

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
    """The first fields of a peer message, equal in every version, so that members can refuse another version."""

    version: Unsigned
    level: Unsigned
    group: Name
    sender: Name
    incarnation: Unsigned  # start time of the sender's process, wall clock microseconds
    to: Name


class PeerMessage(PeerMessageHeader, frozen=True, array_like=True):
    """A body and its header."""

    body: Body


encode = msgspec.msgpack.Encoder().encode
_message_decoder: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)
_header_decoder: msgspec.msgpack.Decoder[PeerMessageHeader] = msgspec.msgpack.Decoder(PeerMessageHeader)


def decode(data: bytes) -> PeerMessage:
    """Decode a peer message.

    Raises:
        InvalidPeerMessageError: the text names the invalid field.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise InvalidPeerMessageError(
            f"peer message of {len(data)} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes"
        )
    try:
        return _message_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidPeerMessageError(f"invalid peer message: {str(error)[:300]}") from None


def decode_peer_header(data: bytes) -> PeerMessageHeader | None:
    """Decode the header of a peer message whose body may be invalid; None if the header is invalid too."""
    try:
        return _header_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


def digest_of(data: bytes) -> int:
    """Return the 64-bit digest that is sent with facts."""
    return xxhash.xxh3_64_intdigest(data)


def digest_matches(body: ReplicateFacts | ReplicatePiece | TakeoverOffer | StageSession) -> bool:
    """Return whether the facts of a body match the digest sent with them."""
    return digest_of(body.facts) == body.digest
