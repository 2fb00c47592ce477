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

from cedarwick.errors import CedarwickError
from cedarwick.events.registry import Entry

VERSION = 1  # of the wire; another one is refused
LEVEL = 3  # of what a member can do; told, and looked at where a feature needs it
OWING = 3  # from this level on a member reads `Owed`
LARGEST = 1 << 20  # bytes of a letter
SLOT_BITS = 18
MEMBERS = 64  # at most in a group
MOST_KEYS = 4096  # of a letter that tells what is owed

Name = Annotated[str, Meta(max_length=64)]  # of a member, a group, a subscription; empty: nobody
Text = Annotated[str, Meta(max_length=512)]  # for a person
Word = Annotated[str, Meta(max_length=128)]  # an id, a right
Move = Annotated[str, Meta(max_length=200)]  # the name of a move: a stamp and two members
Id = Annotated[str, Meta(max_length=200)]  # of a message, as a client may give it
Count = Annotated[int, Meta(ge=0)]  # numbers, terms, microseconds
# Danger: whoever goes one further, or packs it with others, would have a number that no letter and no file can hold.
Term = Annotated[int, Meta(ge=0, lt=1 << 40)]  # one a second for 30,000 years
Order = Annotated[int, Meta(ge=0, lt=1 << 62)]  # of sets of heirs, of a session's holders, of moves
Place = Annotated[int, Meta(ge=-1)]  # the number of an event that was reached; -1: none
Bulk = Annotated[bytes, Meta(max_length=LARGEST - (1 << 14))]  # leaves room for the rest of the letter
Request = Annotated[bytes, Meta(max_length=1 << 18)]  # one request of a client, or its answer
Names = Annotated[tuple[Name, ...], Meta(max_length=MEMBERS)]


class InvalidLetterError(CedarwickError):
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
    term: Term


class Lodging(Part, frozen=True):
    """Who holds the session of a key; the larger sequence is the newer news."""

    key: Count
    holder: Name
    sequence: Order
    age: Count  # microseconds since its last use


class Beat(Message, frozen=True):
    """I am here. Answered by a `Beat`."""

    leaving: bool
    heard: Annotated[dict[Name, Count], Meta(max_length=MEMBERS)]  # microseconds ago, by member
    rights: Annotated[tuple[Held, ...], Meta(max_length=4096)] = ()


class Ask(Message, frozen=True):
    """Grant me this right for a span of microseconds. Answered by `Told`."""

    right: Word
    term: Term
    holder: Name
    span: Count
    heirs: Names = ()
    set: Order = 0  # the larger number is the newer list of heirs
    closed: bool = False


class Told(Message, frozen=True):
    """What the grantor's table says of the right, and whether it was granted."""

    granted: bool
    term: Term
    holder: Name
    heirs: Names = ()
    set: Order = 0
    closed: bool = False


class Tables(Message, frozen=True):
    """Tell me your whole table of grants: mine is gone. Answered by `Table`."""


class Grant(Part, frozen=True):
    """A line of a grantor's table."""

    right: Word
    term: Term
    holder: Name
    heirs: Names = ()
    set: Order = 0
    closed: bool = False


class Table(Message, frozen=True):
    """A whole table; `learning` where the grantor's own is gone too."""

    learning: bool
    grants: Annotated[tuple[Grant, ...], Meta(max_length=1 << 14)] = ()


# ---- copies ----


class Facts(Message, frozen=True):
    """The tail of a book's log from index `first` on. Answered by `Have`."""

    book: Count
    term: Term
    first: Count
    facts: Bulk
    digest: Count


class Piece(Message, frozen=True):
    """All that is owed with numbers over `after` up to `upto`; `next`: the log goes on there. Answered by `Have`."""

    book: Count
    term: Term
    after: Count
    upto: Count
    facts: Bulk
    next: Count
    digest: Count
    behind: bool = False  # the holder answers for what no copy has yet


class Have(Message, frozen=True):
    """A copy's position; a problem says why the message was dropped whole."""

    book: Count
    term: Term
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
    term: Term
    ranges: Annotated[tuple[Span, ...], Meta(max_length=4096)]
    next: Count = 0  # the index at which they were taken; a copy at another one answers with no ranges


class Offer(Message, frozen=True):
    """What the last holder of a book knows, part by part, to the one that has adopted it. Answered by `Taken`."""

    book: Count
    part: Count
    last: bool
    facts: Bulk
    digest: Count
    term: Term = 0  # the newest in which the one that offers has held the book


class Taken(Message, frozen=True):
    """The part was joined and is in the taker's folder; a problem says why not."""

    book: Count
    part: Count
    problem: Text = ""


# ---- sessions that move ----


class Lodgings(Message, frozen=True):
    """Sessions that are held, and how the sender stands to taking more. Answered by its like, without news."""

    news: Annotated[tuple[Lodging, ...], Meta(max_length=4096)] = ()
    held: Count = 0  # sessions
    takes: bool = False  # more of them
    stamp: Order = 0  # of the next move that the sender begins
    first: bool = False  # as far as the sender knows, neither it nor the other has run before


class Recent(Part, frozen=True):
    """An id that was taken a short while ago: not to be taken again."""

    id: Id
    age: Count  # microseconds
    hashed: Count  # what came with it


class Stage(Message, frozen=True):
    """Keep this session's messages, inert, until the move is decided. Answered by `Staged`."""

    move: Move
    key: Count
    sequence: Order  # since the move began
    facts: Bulk
    digest: Count
    ids: Annotated[tuple[Recent, ...], Meta(max_length=1 << 14)] = ()
    rest: Count = 0  # microseconds in which an attempt of the session may still run


class Staged(Message, frozen=True):
    """Whether the session is in the taker's folder; `why` not."""

    move: Move
    kept: bool
    why: Text = ""


class Vote(Part, frozen=True):
    """A ballot: its round, and the text of one proposer of one boot."""

    round: Order
    mark: Word


class Prepare(Message, frozen=True):
    """First phase of a decree. Answered by `Voted`."""

    move: Move
    ballot: Vote
    key: Count = 0  # of the session; 0: told by a member of a level below 3


class Accept(Message, frozen=True):
    """Second phase: accept the value. Answered by `Voted`."""

    move: Move
    ballot: Vote
    value: Name
    key: Count = 0  # as in `Prepare`


class Voted(Message, frozen=True):
    """An acceptor's answer to both phases."""

    move: Move
    granted: bool
    promised: Vote  # the highest
    accepted: Vote
    value: Name = ""  # accepted, or decided; empty: none
    decided: bool = False


class Settled(Message, frozen=True):
    """The decree's one value, and whether the taker's side is live. Answered by what the other knows of it."""

    move: Move
    value: Name  # empty, in an answer: not known
    active: bool = False


class Claims(Message, frozen=True):
    """May I open the session of a key? Answered by `Claimed`."""

    key: Count
    sequence: Order
    over: Order  # sequence and holder of the entry that is void
    over_holder: Name
    at: Count


class Inherits(Message, frozen=True):
    """I hold the book of a session's last holder, and know the ids of late: may I have it? Answered by `Claimed`.

    Not read below level 3, so that nobody grants it who would also vote on a move of the session.
    """

    key: Count
    sequence: Count
    over: Count  # sequence and name of the last holder
    over_holder: Name
    book: Count  # the newest that it had
    at: Count


class Claimed(Message, frozen=True):
    """Whether it may; else who stands in the way, where that is known."""

    granted: bool
    entry: Lodging | None = None


class Pass(Message, frozen=True):
    """A client's submission for the session's holder; it makes no further hop. Answered by `Passed`."""

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
    entry: Lodging | None = None  # the holder, who is gone: for whoever holds its book


class Passed(Message, frozen=True):
    """The answer for the client; empty: the session isn't held here, but there, or is disowned."""

    answer: Name
    wait_ms: Count = 0
    disowned: bool = False
    entry: Lodging | None = None


class Recall(Message, frozen=True):
    """The client that handed in a message by `Pass` was gone before its answer. Answered by `Noted`."""

    key: Count
    id: Id


# ---- events ----

MOST_ENTRIES = 1 << 12  # subscriptions in one letter


class Subscribe(Message, frozen=True):
    """Entries of the registry beside the digest of all. Answered by `Subscribe`."""

    epoch: Count
    digest: Count
    entries: Annotated[dict[Name, Entry], Meta(max_length=MOST_ENTRIES)] = {}
    asked: Annotated[tuple[Count, ...], Meta(max_length=256)] = ()  # buckets that the other is to tell
    buckets: Annotated[tuple[Count, ...], Meta(max_length=256)] = ()  # in an answer: their digests, where all differ


class Stream(Part, frozen=True):
    """Items for one subscriber that follow the number `after` with nothing missing between."""

    name: Name
    after: Place
    items: Annotated[bytes, Meta(max_length=LARGEST >> 1)]  # none: the answer alone is wanted


class Matches(Message, frozen=True):
    """What subscriptions are owed by one source. Answered by the `Cursors` of those named."""

    source: Word
    streams: Annotated[tuple[Stream, ...], Meta(max_length=1 << 10)]


class Cursor(Part, frozen=True):
    """How far a subscriber is with a source, by the word of the member where it is."""

    name: Name
    began: Count  # its connection; 0: none is there
    held: Place  # the last number that has come
    written: Place  # the last number that it was given
    room: bool = True  # whether more may come now


class Cursors(Message, frozen=True):
    """Places of subscribers in one source. Answered by `Noted` where it is not an answer itself."""

    source: Word
    cursors: Annotated[tuple[Cursor, ...], Meta(max_length=1 << 12)]


# ---- keys, hints, suspensions, and what answers anything ----


class Owed(Message, frozen=True):
    """Keys of which the sender of the letter owes something from before a trouble: all of them. Answered by `Noted`."""

    keys: Annotated[tuple[Count, ...], Meta(max_length=MOST_KEYS)] = ()


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
    | Lodgings | Stage | Staged | Prepare | Accept | Voted | Settled
    | Claims | Inherits | Claimed | Pass | Passed | Recall
    | Subscribe | Matches | Cursors | Owed | Hint | Marks | Noted | Refused
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
    """The letter in these bytes; `InvalidLetterError` names the place that does not fit."""
    if len(told) > LARGEST:
        raise InvalidLetterError(f"a letter of {len(told)} bytes, where {LARGEST} is the most")
    try:
        return _letters.decode(told)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidLetterError(f"no letter: {str(error)[:300]}") from None


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
