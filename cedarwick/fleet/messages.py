"""What members of a fleet say to one another: one `Letter` in each request and each answer, as MessagePack.

All are arrays on the wire, with a tag in front of each body; fields are added at the end only, with a default, so an
older member reads a newer one's letter as far as it knows it. `VERSION` goes up where that does not hold, and letters
of another version are refused. Whoever reads a letter holds it whole, so each text, list and run of bytes has a bound.
Facts and events travel as the bytes that their own modules made, with a digest where they are kept.
"""

from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

from cedarwick.errors import Trouble

VERSION = 1  # of the wire; another one is refused
LEVEL = 1  # of what a member can do; told, and looked at where a feature needs it
LARGEST = 1 << 20  # bytes of a letter
SLOT_BITS = 18
MEMBERS = 64  # at most in a group

Name = Annotated[str, Meta(max_length=64)]  # of a member, a group, a subscription; empty: nobody
Text = Annotated[str, Meta(max_length=512)]  # for a person
Word = Annotated[str, Meta(max_length=128)]  # an id, a right, the name of a move
Count = Annotated[int, Meta(ge=0)]  # numbers, terms, microseconds
Bulk = Annotated[bytes, Meta(max_length=LARGEST - (1 << 14))]  # leaves room for the rest of the letter
Request = Annotated[bytes, Meta(max_length=1 << 18)]  # one request of a client, or its answer
Names = Annotated[tuple[Name, ...], Meta(max_length=MEMBERS)]


class Unreadable(Trouble):
    """Bytes that are no letter of a fleet."""

    code = "CW701"
    remedy = "ask who sends this to the fleet's address; compare the versions of the members"


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A body; its tag is the name of its type."""


class Part(msgspec.Struct, frozen=True, array_like=True):
    """A row within a body."""


# ---- members and leases ----


class Held(Part, frozen=True):
    """A book that the sender of the beat holds."""

    book: Count
    term: Count


class Lodging(Part, frozen=True):
    """Who holds the session of a key; the larger sequence is the newer news."""

    key: Count
    holder: Name
    sequence: Count


class Beat(Message, frozen=True):
    """I am here. Answered by a `Beat`."""

    leaving: bool
    heard: Annotated[dict[Name, Count], Meta(max_length=MEMBERS)]  # microseconds ago, by member
    rights: Annotated[tuple[Held, ...], Meta(max_length=4096)] = ()
    news: Annotated[tuple[Lodging, ...], Meta(max_length=4096)] = ()


class Ask(Message, frozen=True):
    """Grant me this right for a span of microseconds. Answered by `Told`."""

    right: Word
    term: Count
    holder: Name
    span: Count
    heirs: Names = ()
    set: Count = 0  # the larger number is the newer list of heirs
    closed: bool = False


class Told(Message, frozen=True):
    """What the grantor's table says of the right, and whether it was granted."""

    granted: bool
    term: Count
    holder: Name
    heirs: Names = ()
    set: Count = 0
    closed: bool = False


class Tables(Message, frozen=True):
    """Tell me your whole table of grants: mine is gone. Answered by `Table`."""


class Grant(Part, frozen=True):
    """A line of a grantor's table."""

    right: Word
    term: Count
    holder: Name
    heirs: Names = ()
    set: Count = 0
    closed: bool = False


class Table(Message, frozen=True):
    """A whole table; `learning` where the grantor's own is gone too."""

    learning: bool
    grants: Annotated[tuple[Grant, ...], Meta(max_length=1 << 14)] = ()


# ---- copies ----


class Facts(Message, frozen=True):
    """The tail of a book's log from index `first` on. Answered by `Have`."""

    book: Count
    term: Count
    first: Count
    facts: Bulk
    digest: Count


class Piece(Message, frozen=True):
    """All that is owed with numbers over `after` up to `upto`; `next`: the log goes on there. Answered by `Have`."""

    book: Count
    term: Count
    after: Count
    upto: Count
    facts: Bulk
    next: Count
    digest: Count


class Have(Message, frozen=True):
    """A copy's position; a problem says why the message was dropped whole."""

    book: Count
    term: Count
    next: Count
    problem: Text = ""
    covered: Count = 0  # up to this number the walk of this term has told it everything


class Span(Part, frozen=True):
    """What is owed with numbers over `after` up to `upto`, as its count and digest."""

    after: Count
    upto: Count
    count: Count
    digest: Count


class Digests(Message, frozen=True):
    """Ranges of a book as the holder has them. Answered by the `Digests` of the copy's own, over the same ranges."""

    book: Count
    term: Count
    ranges: Annotated[tuple[Span, ...], Meta(max_length=4096)]
    next: Count = 0  # the index at which they were taken; a copy at another one answers with no ranges


class Offer(Message, frozen=True):
    """What the last holder of a book knows, part by part, to the one that has adopted it. Answered by `Taken`."""

    book: Count
    part: Count
    last: bool
    facts: Bulk
    digest: Count
    term: Count = 0  # the newest in which the one that offers has held the book


class Taken(Message, frozen=True):
    """The part was joined and is in the taker's folder; a problem says why not."""

    book: Count
    part: Count
    problem: Text = ""


# ---- sessions that move ----


class Recent(Part, frozen=True):
    """An id that was taken a short while ago: not to be taken again."""

    id: Word
    number: Count
    at: Count  # wall microseconds


class Stage(Message, frozen=True):
    """Keep this session's envelopes, inert, until the move is decided. Answered by `Staged`."""

    move: Word
    key: Count
    sequence: Count
    facts: Bulk
    digest: Count
    ids: Annotated[tuple[Recent, ...], Meta(max_length=1 << 14)] = ()


class Staged(Message, frozen=True):
    """Whether the session is in the taker's folder; `why` not."""

    move: Word
    kept: bool
    why: Text = ""


class Prepare(Message, frozen=True):
    """First phase of a decree. Answered by `Promised`."""

    move: Word
    ballot: Count


class Promised(Message, frozen=True):
    """No lower ballot is accepted any more; what was accepted before, if anything."""

    move: Word
    granted: bool
    ballot: Count  # the highest that was promised
    accepted: Count = 0  # the ballot of the value; 0: none
    value: Name = ""


class Accept(Message, frozen=True):
    """Second phase: accept the value. Answered by `Accepted`."""

    move: Word
    ballot: Count
    value: Name


class Accepted(Message, frozen=True):
    """Whether the value was accepted; else the ballot that stands against it."""

    move: Word
    granted: bool
    ballot: Count


class Settled(Message, frozen=True):
    """The decree's one value. Answered by `Noted`."""

    move: Word
    value: Name


class Pass(Message, frozen=True):
    """A client's request for the session's holder; the hops it has made. Answered by `Passed`."""

    key: Count
    request: Request
    hops: Count = 0


class Passed(Message, frozen=True):
    """The answer for the client; or the holder that is known here, where that is another."""

    answer: Request
    holder: Name = ""


# ---- events ----


class Entry(Part, frozen=True):
    """A subscription in the registry; the larger sequence stands, also one that has ended."""

    name: Name
    sequence: Count
    ended: bool
    filter: Annotated[str, Meta(max_length=8192)] = ""
    at: Name = ""  # the member where the subscriber is
    followed: Count = 0  # wall microseconds of when it was followed last


class Subscribe(Message, frozen=True):
    """Entries of the registry. Answered by the `Subscribe` of those that the other one has newer."""

    entries: Annotated[tuple[Entry, ...], Meta(max_length=1 << 10)]


class Matches(Message, frozen=True):
    """Matches of one source in its order, from its number `first` on. Answered by `Cursors`."""

    name: Name
    source: Name
    incarnation: Count  # of the source
    first: Count
    upto: Count  # every event of the source up to here was looked at
    events: Annotated[tuple[Annotated[bytes, Meta(max_length=4096)], ...], Meta(max_length=4096)]
    gap: Count = 0  # matches before the first one that a full buffer has dropped


class Cursor(Part, frozen=True):
    """Up to which number of a source a subscription was delivered."""

    name: Name
    source: Name
    incarnation: Count
    number: Count


class Cursors(Message, frozen=True):
    """Positions of subscriptions. Answered by `Noted` where it is not an answer itself."""

    cursors: Annotated[tuple[Cursor, ...], Meta(max_length=4096)]


# ---- hints, suspensions, and what answers anything ----


class Wait(Part, frozen=True):
    """A receiver that asked to be left alone for so many microseconds from now on."""

    uid: Word
    left: Annotated[int, Meta(ge=0, lt=1 << 40)]  # not the end: the clocks of two machines differ


class Hint(Message, frozen=True):
    """Waits that receivers told the sender of the letter. Answered by `Noted`."""

    waits: Annotated[tuple[Wait, ...], Meta(max_length=4096)] = ()


class Mark(Part, frozen=True):
    """A receiver taken out by hand, or restored; the larger (counter, member) stands."""

    uid: Word
    counter: Annotated[int, Meta(ge=0, lt=1 << 62)]  # wall microseconds, or more
    member: Name  # where staff said so
    calls: Annotated[int, Meta(ge=0, le=1000)]  # out; 0: restored


class Marks(Message, frozen=True):
    """Marks that the other may lack, and the digest of all. Answered by `Marks`: all its own if the digests differ."""

    digest: Count
    rows: Annotated[tuple[Mark, ...], Meta(max_length=4096)] = ()
    whole: bool = False  # in an answer: what is not there has been restored, or was never out


class Noted(Message, frozen=True):
    """Read; there is nothing to say."""


class Refused(Message, frozen=True):
    """The letter was not acted on: the code of the error and its text."""

    code: Word
    why: Text


Body = (
    Beat | Ask | Told | Tables | Table
    | Facts | Piece | Have | Digests | Offer | Taken
    | Stage | Staged | Prepare | Promised | Accept | Accepted | Settled | Pass | Passed
    | Subscribe | Matches | Cursors | Hint | Marks | Noted | Refused
)  # fmt: skip


class Head(msgspec.Struct, frozen=True, array_like=True):
    """How a letter of any version begins; a refusal that names it can be read by all of them."""

    version: Count
    level: Count
    group: Name
    sender: Name
    incarnation: Count  # of the sender's boot: wall microseconds
    to: Name


class Letter(Head, frozen=True, array_like=True):
    """A body with who says it, in which group, to whom."""

    body: Body


encode = msgspec.msgpack.Encoder().encode
_letters: msgspec.msgpack.Decoder[Letter] = msgspec.msgpack.Decoder(Letter)
_heads: msgspec.msgpack.Decoder[Head] = msgspec.msgpack.Decoder(Head)


def decode(told: bytes) -> Letter:
    """The letter in these bytes; `Unreadable` names the place that does not fit."""
    if len(told) > LARGEST:
        raise Unreadable(f"a letter of {len(told)} bytes, where {LARGEST} is the most")
    try:
        return _letters.decode(told)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Unreadable(f"no letter: {str(error)[:300]}") from None


def head_of(told: bytes) -> Head | None:
    """How a letter begins whose body cannot be read: None where not even that can."""
    try:
        return _heads.decode(told)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


def digest_of(told: bytes) -> int:
    """What goes beside facts on their way: 64 bits."""
    return xxhash.xxh3_64_intdigest(told)


def whole(body: Facts | Piece | Offer | Stage) -> bool:
    """Whether facts came as they were sent."""
    return digest_of(body.facts) == body.digest


def slot_of(name: str) -> int:
    """A member's slot: 18 bits of the xxh3 of its name."""
    return xxhash.xxh3_64_intdigest(name.encode()) & ((1 << SLOT_BITS) - 1)
