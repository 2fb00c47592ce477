"""What members of a fleet say to one another: one `PeerMessage` in each request and each answer, as MessagePack.

All are arrays on the wire, with a tag in front of each body; fields are added at the end only, with a default, so an
older member reads a newer one's peer message as far as it knows it. `VERSION` goes up where that does not hold, and
peer messages
of another version are refused. Whoever reads a peer message holds it whole, so each text, list and run of bytes has a
bound. Facts and events travel as the bytes that their own modules made, with a digest where they are kept.
"""

from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

from cedarwick.errors import CedarwickError
from cedarwick.events.registry import Entry

VERSION = 1  # of the wire; another one is refused
LEVEL = 3  # of what a member can do; told, and looked at where a feature needs it
OWING = 3  # from this level on a member reads `OwedKeys`
MAX_MESSAGE_BYTES = 1 << 20  # bytes of a peer message
SLOT_BITS = 18
MEMBERS = 64  # at most in a group
MOST_KEYS = 4096  # of a peer message that tells what is owed

Name = Annotated[str, Meta(max_length=64)]  # of a member, a group, a subscription; empty: nobody
Text = Annotated[str, Meta(max_length=512)]  # for a person
Word = Annotated[str, Meta(max_length=128)]  # an id, a right
Move = Annotated[str, Meta(max_length=200)]  # the name of a move: a stamp and two members
Id = Annotated[str, Meta(max_length=200)]  # of a message, as a client may give it
Count = Annotated[int, Meta(ge=0)]  # numbers, terms, microseconds
# Danger: whoever goes one further, or packs it with others, would have a number that no peer message and no file can
# hold.
Term = Annotated[int, Meta(ge=0, lt=1 << 40)]  # one a second for 30,000 years
Order = Annotated[int, Meta(ge=0, lt=1 << 62)]  # of sets of successors, of a session's holders, of moves
Place = Annotated[int, Meta(ge=-1)]  # the number of an event that was reached; -1: none
Bulk = Annotated[bytes, Meta(max_length=MAX_MESSAGE_BYTES - (1 << 14))]  # leaves room for the rest of the peer message
Request = Annotated[bytes, Meta(max_length=1 << 18)]  # one request of a client, or its answer
Names = Annotated[tuple[Name, ...], Meta(max_length=MEMBERS)]


class InvalidPeerMessageError(CedarwickError):
    """Bytes that are no peer message of a fleet."""

    code = "CW701"
    remedy = "ask who sends this to the fleet's address; compare the versions of the members"


class PeerBody(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A body; its tag is the name of its type."""


class PeerBodyPart(msgspec.Struct, frozen=True, array_like=True):
    """A row within a body."""


# ---- members and leases ----


class HeldLease(PeerBodyPart, frozen=True):
    """A partition that the sender of the beat holds."""

    partition: Count
    term: Term


class SessionLocation(PeerBodyPart, frozen=True):
    """Who holds the session of a key; the larger sequence is the newer news."""

    key: Count
    holder: Name
    sequence: Order
    age: Count  # microseconds since its last use


class Heartbeat(PeerBody, frozen=True, tag="Beat"):
    """I am here. Answered by a `Heartbeat`."""

    leaving: bool
    heard: Annotated[dict[Name, Count], Meta(max_length=MEMBERS)]  # microseconds ago, by member
    rights: Annotated[tuple[HeldLease, ...], Meta(max_length=4096)] = ()


class LeaseRequest(PeerBody, frozen=True, tag="Ask"):
    """Grant me this right for a span of microseconds. Answered by `LeaseReply`."""

    right: Word
    term: Term
    holder: Name
    span: Count
    successors: Names = ()
    set: Order = 0  # the larger number is the newer list of successors
    closed: bool = False


class LeaseReply(PeerBody, frozen=True, tag="Told"):
    """What the grantor's table says of the right, and whether it was granted."""

    granted: bool
    term: Term
    holder: Name
    successors: Names = ()
    set: Order = 0
    closed: bool = False


class GrantTableRequest(PeerBody, frozen=True, tag="Tables"):
    """Tell me your whole table of grants: mine is gone. Answered by `GrantTable`."""


class Grant(PeerBodyPart, frozen=True):
    """A line of a grantor's table."""

    right: Word
    term: Term
    holder: Name
    successors: Names = ()
    set: Order = 0
    closed: bool = False


class GrantTable(PeerBody, frozen=True, tag="Table"):
    """A whole table; `learning` where the grantor's own is gone too."""

    learning: bool
    grants: Annotated[tuple[Grant, ...], Meta(max_length=1 << 14)] = ()


# ---- copies ----


class ReplicateFacts(PeerBody, frozen=True, tag="Facts"):
    """The tail of a partition's log from index `first` on. Answered by `ReplicaAck`."""

    partition: Count
    term: Term
    first: Count
    facts: Bulk
    digest: Count


class ReplicatePiece(PeerBody, frozen=True, tag="Piece"):
    """All that is owed with numbers over `after` up to `upto`; `next`: the log goes on there.

    Answered by `ReplicaAck`.
    """

    partition: Count
    term: Term
    after: Count
    upto: Count
    facts: Bulk
    next: Count
    digest: Count
    behind: bool = False  # the holder answers for what no copy has yet


class ReplicaAck(PeerBody, frozen=True, tag="Have"):
    """A copy's position; a problem says why the message was dropped whole."""

    partition: Count
    term: Term
    next: Count
    problem: Text = ""
    covered: Count = 0  # up to this number the walk of this term has told it everything


class DigestRange(PeerBodyPart, frozen=True):
    """What is owed with numbers over `after` up to `upto`, as its count and digest."""

    after: Count
    upto: Count
    count: Count
    digest: Count


class Digests(PeerBody, frozen=True):
    """Ranges of a partition as the holder has them.

    Answered by the `Digests` of the copy's own, over the same ranges.
    """

    partition: Count
    term: Term
    ranges: Annotated[tuple[DigestRange, ...], Meta(max_length=4096)]
    next: Count = 0  # the index at which they were taken; a copy at another one answers with no ranges


class TakeoverOffer(PeerBody, frozen=True, tag="Offer"):
    """What the last holder of a partition knows, part by part, to the one that has adopted it.

    Answered by `OfferReply`.
    """

    partition: Count
    part: Count
    last: bool
    facts: Bulk
    digest: Count
    term: Term = 0  # the newest in which the one that offers has held the partition


class OfferReply(PeerBody, frozen=True, tag="Taken"):
    """The part was joined and is in the taker's folder; a problem says why not."""

    partition: Count
    part: Count
    problem: Text = ""


# ---- sessions that move ----


class SessionLocations(PeerBody, frozen=True, tag="Lodgings"):
    """Sessions that are held, and how the sender stands to taking more. Answered by its like, without news."""

    news: Annotated[tuple[SessionLocation, ...], Meta(max_length=4096)] = ()
    held: Count = 0  # sessions
    takes: bool = False  # more of them
    stamp: Order = 0  # of the next move that the sender begins
    first: bool = False  # as far as the sender knows, neither it nor the other has run before


class RecentIdEntry(PeerBodyPart, frozen=True):
    """An id that was taken a short while ago: not to be taken again."""

    id: Id
    age: Count  # microseconds
    hashed: Count  # what came with it


class StageSession(PeerBody, frozen=True, tag="Stage"):
    """Keep this session's messages, inert, until the move is decided. Answered by `StageReply`."""

    move: Move
    key: Count
    sequence: Order  # since the move began
    facts: Bulk
    digest: Count
    ids: Annotated[tuple[RecentIdEntry, ...], Meta(max_length=1 << 14)] = ()
    rest: Count = 0  # microseconds in which an attempt of the session may still run


class StageReply(PeerBody, frozen=True, tag="Staged"):
    """Whether the session is in the taker's folder; `why` not."""

    move: Move
    stored: bool
    why: Text = ""


class BallotNumber(PeerBodyPart, frozen=True):
    """A ballot: its round, and the text of one proposer of one boot."""

    round: Order
    mark: Word


class PrepareRequest(PeerBody, frozen=True, tag="Prepare"):
    """First phase of a decree. Answered by `VoteReply`."""

    move: Move
    ballot: BallotNumber
    key: Count = 0  # of the session; 0: told by a member of a level below 3


class AcceptRequest(PeerBody, frozen=True, tag="Accept"):
    """Second phase: accept the value. Answered by `VoteReply`."""

    move: Move
    ballot: BallotNumber
    value: Name
    key: Count = 0  # as in `PrepareRequest`


class VoteReply(PeerBody, frozen=True, tag="Voted"):
    """An acceptor's answer to both phases."""

    move: Move
    granted: bool
    promised: BallotNumber  # the highest
    accepted: BallotNumber
    value: Name = ""  # accepted, or decided; empty: none
    decided: bool = False


class MigrationDecided(PeerBody, frozen=True, tag="Settled"):
    """The decree's one value, and whether the taker's side is live. Answered by what the other knows of it."""

    move: Move
    value: Name  # empty, in an answer: not known
    active: bool = False


class SessionClaim(PeerBody, frozen=True, tag="Claims"):
    """May I open the session of a key? Answered by `ClaimReply`."""

    key: Count
    sequence: Order
    over: Order  # sequence and holder of the entry that is void
    over_holder: Name
    at: Count


class SessionInheritance(PeerBody, frozen=True, tag="Inherits"):
    """I hold the partition of a session's last holder, and know the ids of late: may I have it? Answered by
    `ClaimReply`.

    Not read below level 3, so that nobody grants it who would also vote on a move of the session.
    """

    key: Count
    sequence: Count
    over: Count  # sequence and name of the last holder
    over_holder: Name
    partition: Count  # the newest that it had
    at: Count


class ClaimReply(PeerBody, frozen=True, tag="Claimed"):
    """Whether it may; else who stands in the way, where that is known."""

    granted: bool
    entry: SessionLocation | None = None


class ForwardedSubmit(PeerBody, frozen=True, tag="Pass"):
    """A client's submission for the session's holder; it makes no further hop. Answered by `ForwardReply`."""

    key: Count
    id: Id
    mark: Id  # of a repeat
    priority_class: Id
    tenant: Id
    destination: Count
    left: Annotated[int, Meta(ge=-(1 << 62), lt=1 << 62)]  # microseconds to its deadline
    within: Count  # microseconds in which the client's answer is wanted
    body: Request
    moved: bool = False  # passed on by the last holder, on the connection that stayed there
    entry: SessionLocation | None = None  # the holder, who is gone: for whoever holds its partition


class ForwardReply(PeerBody, frozen=True, tag="Passed"):
    """The answer for the client; empty: the session isn't held here, but there, or is disowned."""

    answer: Name
    wait_ms: Count = 0
    disowned: bool = False
    entry: SessionLocation | None = None


class RecallForward(PeerBody, frozen=True, tag="Recall"):
    """The client that handed in a message by `ForwardedSubmit` was gone before its answer.

    Answered by `Acknowledged`.
    """

    key: Count
    id: Id


# ---- events ----

MOST_ENTRIES = 1 << 12  # subscriptions in one peer message


class Subscribe(PeerBody, frozen=True):
    """Entries of the registry beside the digest of all. Answered by `Subscribe`."""

    epoch: Count
    digest: Count
    entries: Annotated[dict[Name, Entry], Meta(max_length=MOST_ENTRIES)] = {}
    asked: Annotated[tuple[Count, ...], Meta(max_length=256)] = ()  # buckets that the other is to tell
    buckets: Annotated[tuple[Count, ...], Meta(max_length=256)] = ()  # in an answer: their digests, where all differ


class Stream(PeerBodyPart, frozen=True):
    """Items for one subscriber that follow the number `after` with nothing missing between."""

    name: Name
    after: Place
    items: Annotated[bytes, Meta(max_length=MAX_MESSAGE_BYTES >> 1)]  # none: the answer alone is wanted


class Matches(PeerBody, frozen=True):
    """What subscriptions are owed by one source. Answered by the `Cursors` of those named."""

    source: Word
    streams: Annotated[tuple[Stream, ...], Meta(max_length=1 << 10)]


class Cursor(PeerBodyPart, frozen=True):
    """How far a subscriber is with a source, by the word of the member where it is."""

    name: Name
    began: Count  # its connection; 0: none is there
    held: Place  # the last number that has come
    written: Place  # the last number that it was given
    room: bool = True  # whether more may come now


class Cursors(PeerBody, frozen=True):
    """Places of subscribers in one source. Answered by `Acknowledged` where it is not an answer itself."""

    source: Word
    cursors: Annotated[tuple[Cursor, ...], Meta(max_length=1 << 12)]


# ---- keys, hints, suspensions, and what answers anything ----


class OwedKeys(PeerBody, frozen=True, tag="Owed"):
    """Keys of which the sender of the peer message owes something from before a trouble: all of them.

    Answered by `Acknowledged`.
    """

    keys: Annotated[tuple[Count, ...], Meta(max_length=MOST_KEYS)] = ()


class RetryAfterEntry(PeerBodyPart, frozen=True):
    """A receiver that asked to be left alone for so many microseconds from now on."""

    uid: Word
    left: Annotated[int, Meta(ge=0, lt=1 << 40)]  # not the end: the clocks of two machines differ


class RetryAfterHint(PeerBody, frozen=True, tag="Hint"):
    """Waits that receivers told the sender of the peer message. Answered by `Acknowledged`."""

    waits: Annotated[tuple[RetryAfterEntry, ...], Meta(max_length=4096)] = ()


class SuspensionMark(PeerBodyPart, frozen=True):
    """A receiver taken out by hand, or restored; the larger (counter, member) stands."""

    uid: Word
    counter: Annotated[int, Meta(ge=0, lt=1 << 62)]  # wall microseconds, or more
    member: Name  # where staff said so
    calls: Annotated[int, Meta(ge=0, le=1000)]  # out; 0: restored


class SuspensionMarks(PeerBody, frozen=True, tag="Marks"):
    """Marks that the other may lack, and the digest of all. Answered by `SuspensionMarks`:

    all its own if the digests differ.
    """

    digest: Count
    rows: Annotated[tuple[SuspensionMark, ...], Meta(max_length=4096)] = ()
    whole: bool = False  # in an answer: what is not there has been restored, or was never out


class Acknowledged(PeerBody, frozen=True, tag="Noted"):
    """Read; there is nothing to say."""


class RequestRefused(PeerBody, frozen=True, tag="Refused"):
    """The peer message was not acted on: the code of the error and its text."""

    code: Word
    why: Text


Body = (
    Heartbeat | LeaseRequest | LeaseReply | GrantTableRequest | GrantTable
    | ReplicateFacts | ReplicatePiece | ReplicaAck | Digests | TakeoverOffer | OfferReply
    | SessionLocations | StageSession | StageReply | PrepareRequest | AcceptRequest | VoteReply | MigrationDecided
    | SessionClaim | SessionInheritance | ClaimReply | ForwardedSubmit | ForwardReply | RecallForward
    | Subscribe | Matches | Cursors | OwedKeys | RetryAfterHint | SuspensionMarks | Acknowledged | RequestRefused
)  # fmt: skip


class PeerMessageHeader(msgspec.Struct, frozen=True, array_like=True):
    """How a peer message of any version begins; a refusal that names it can be read by all of them."""

    version: Count
    level: Count
    group: Name
    sender: Name
    incarnation: Count  # of the sender's boot: wall microseconds
    to: Name


class PeerMessage(PeerMessageHeader, frozen=True, array_like=True):
    """A body with who says it, in which group, to whom."""

    body: Body


encode = msgspec.msgpack.Encoder().encode
_peer_messages: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)
_heads: msgspec.msgpack.Decoder[PeerMessageHeader] = msgspec.msgpack.Decoder(PeerMessageHeader)


def decode(told: bytes) -> PeerMessage:
    """The peer message in these bytes; `InvalidPeerMessageError` names the place that does not fit."""
    if len(told) > MAX_MESSAGE_BYTES:
        raise InvalidPeerMessageError(f"a peer message of {len(told)} bytes, where {MAX_MESSAGE_BYTES} is the most")
    try:
        return _peer_messages.decode(told)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidPeerMessageError(f"no peer message: {str(error)[:300]}") from None


def head_of(told: bytes) -> PeerMessageHeader | None:
    """How a peer message begins whose body cannot be read: None where not even that can."""
    try:
        return _heads.decode(told)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


def digest_of(told: bytes) -> int:
    """What goes beside facts on their way: 64 bits."""
    return xxhash.xxh3_64_intdigest(told)


def whole(body: ReplicateFacts | ReplicatePiece | TakeoverOffer | StageSession) -> bool:
    """Whether facts came as they were sent."""
    return digest_of(body.facts) == body.digest


def slot_of(name: str) -> int:
    """A member's slot: 18 bits of the xxh3 of its name."""
    return xxhash.xxh3_64_intdigest(name.encode()) & ((1 << SLOT_BITS) - 1)
