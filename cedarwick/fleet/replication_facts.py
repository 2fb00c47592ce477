"""Facts: what senders know of a message, and the join of what two of them know. No I/O.

A `Fact` is a message's number, its base (what the client submitted) and its `MessageKnowledge`. Knowledge only grows: it
is a state-based replicated data type whose merge is a join (Shapiro et al. 2011). Rule by rule:

| part    | joined                                       | because |
| ------- | -------------------------------------------- | ------- |
| `heads` | by term the larger (attempts, settled, at, zone) | one holder a term: of its attempts the newest is known to whoever heard last, and its outcome comes after it; heads of other terms stay, so an attempt known to one is known |
| `ran`   | the earliest (at, zone)                      | 'may have run' beats 'never ran'; nothing takes it back |
| `doubt` | the earliest that is not 0                   | what damage or a lag put in doubt stays so |
| `end`   | the larger (rank, wait in ms)                | an end beats none; *failed* beats *returned*, which tells the client that nothing happened, while somebody knew of an attempt; *told* (the platform has a final answer) beats both, for a second answer would be a second end; *completed* is the receiver's own word and beats all |
| `move`  | the larger (sequence, text)                  | the newer move; the message is inert until that one's value is decided |
| `base`  | the one that is there                        | it never changes; after an end nobody needs the body, and it is left out |

A head that is not settled is an attempt that is out. Its own term may still say that it never ran; once a newer term has
taken the message over (`with_unsettled_as_run`), it counts as one that may have run, for good.
"""  # noqa: E501

from collections.abc import Iterable
from enum import IntEnum
from typing import Annotated, NamedTuple

import msgspec
import xxhash

from cedarwick.errors import CedarwickError
from cedarwick.store.records import UNKNOWN_ZONE, StoredMessage

VERSION = 1  # of the encoding
MAX_FACTS = 1 << 14  # facts in one message, at most
MAX_ATTEMPTS = 0xFFFF  # the largest count that a stored record holds
FACT_OVERHEAD_BYTES = 96  # approximate bytes of an encoded fact without its base

Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Zone = Annotated[int, msgspec.Meta(ge=-(1 << 15), lt=1 << 15)]
Wait = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
Text = Annotated[str, msgspec.Meta(max_length=16000)]  # 4 bytes a character at most: a stored record counts to 65,535
Body = Annotated[bytes, msgspec.Meta(max_length=1 << 19)]


class CorruptFactsError(CedarwickError):
    """Facts that another sender sent cannot be read, or do not match their digest."""

    code = "CW720"
    remedy = "it is dropped whole and asked for anew; where it comes back, look at the network and the other sender"


class FactsVersionError(CorruptFactsError):
    """Facts were sent in the format of another version of the program."""

    code = "CW721"
    remedy = "run the same version of the program on all members; until then this partition has one copy less"


class EndRank(IntEnum):
    """How a message ended; of two the larger one stands."""

    NONE = 0
    RETURNED = 1
    FAILED = 2
    NOTIFIED = 3
    COMPLETED = 4


class TermAttempts(NamedTuple):
    """What one term knows of the newest attempt of a message; of two the larger one knows more."""

    attempts: Count  # in that term
    settled: bool  # whether its outcome is known; one that may have run is in `MessageKnowledge.ran` then
    sent_at: Count  # when it was sent, wall microseconds
    zone: Zone


class MessageBase(msgspec.Struct, array_like=True, frozen=True, order=True):
    """What the client handed in."""

    id: Text
    key: Text
    ordering_key: Annotated[int, msgspec.Meta(ge=0)]  # 0 for none; the whole of 64 bits
    priority_class: Text
    tenant: Text
    destination: Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]  # the range of a stored record
    deadline: Count  # wall microseconds
    body: Body


class MessageKnowledge(msgspec.Struct, array_like=True, frozen=True):
    """What is known of a message's attempts and end."""

    attempts_by_term: Annotated[dict[Count, TermAttempts], msgspec.Meta(max_length=256)] = {}
    first_may_have_run: tuple[Count, Zone] | None = None  # when and where the first attempt was sent that may have run
    records_lost_since: Count = 0  # records are lost from then on; 0: none are
    end: tuple[EndRank, Wait] = (EndRank.NONE, 0)  # and the advised wait in milliseconds
    move: tuple[Count, Text] | None = None  # the newest move


class Fact(msgspec.Struct, array_like=True, frozen=True):
    """A message's number and all that is known of it; without its base it updates one that was sent before."""

    number: Count
    base: MessageBase | None
    known: MessageKnowledge


class FactBatch(msgspec.Struct, array_like=True):
    """Facts as they travel and lie in files."""

    version: int
    facts: msgspec.Raw


NO_KNOWLEDGE = MessageKnowledge()
ENCODER = msgspec.msgpack.Encoder()
FACTS: msgspec.msgpack.Decoder[list[Fact]] = msgspec.msgpack.Decoder(
    Annotated[list[Fact], msgspec.Meta(max_length=MAX_FACTS)]
)
BATCH: msgspec.msgpack.Decoder[FactBatch] = msgspec.msgpack.Decoder(FactBatch)


def encode_fact(fact: Fact) -> bytes:
    """One fact, the same bytes for the same fact everywhere: its heads go by term."""
    known = fact.known
    if len(known.attempts_by_term) > 1:
        known = msgspec.structs.replace(known, attempts_by_term=dict(sorted(known.attempts_by_term.items())))
        fact = Fact(fact.number, fact.base, known)
    return ENCODER.encode(fact)


def encode_facts(facts: Iterable[Fact]) -> bytes:
    """Facts as they are sent and stored."""
    return encode_batch(encode_fact(fact) for fact in facts)


def encode_batch(facts: Iterable[bytes]) -> bytes:
    """What `encode_facts` gives, of facts that `encode_fact` has encoded one by one."""
    raw = msgspec.Raw(ENCODER.encode([msgspec.Raw(each) for each in facts]))
    return ENCODER.encode(FactBatch(VERSION, raw))


def decode_facts(data: bytes) -> list[Fact]:
    """The facts of a message; raises `CorruptFactsError` or `FactsVersionError`."""
    try:
        batch = BATCH.decode(data)
        if batch.version != VERSION:
            raise FactsVersionError(f"facts of format {batch.version}, this program knows {VERSION}")
        return FACTS.decode(batch.facts)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CorruptFactsError(f"facts that cannot be read: {error}") from None


def digest(data: bytes) -> int:
    """64 bits of encoded facts, sent along with them."""
    return xxhash.xxh3_64_intdigest(data)


def approximate_bytes(fact: Fact) -> int:
    """About how many bytes a fact takes."""
    base = fact.base
    if base is None:
        return FACT_OVERHEAD_BYTES
    return (
        FACT_OVERHEAD_BYTES
        + len(base.body)
        + len(base.id)
        + len(base.key)
        + len(base.priority_class)
        + len(base.tenant)
    )


# ---- the join ----


def join(a: MessageKnowledge, b: MessageKnowledge) -> MessageKnowledge:
    """The join of what two members know."""
    if a == b:
        return a
    heads = dict(a.attempts_by_term)
    for term, head in b.attempts_by_term.items():
        heads[term] = max(heads.get(term, head), head)
    ran, doubt, move = a.first_may_have_run, a.records_lost_since, a.move
    if b.first_may_have_run is not None and (ran is None or b.first_may_have_run < ran):
        ran = b.first_may_have_run
    if b.records_lost_since and (not doubt or b.records_lost_since < doubt):
        doubt = b.records_lost_since
    if b.move is not None and (move is None or b.move > move):
        move = b.move
    return MessageKnowledge(heads, ran, doubt, a.end if a.end > b.end else b.end, move)


def join_facts(a: Fact, b: Fact) -> Fact:
    """The join of two facts of one message."""
    bases = [each.base for each in (a, b) if each.base is not None]
    return trimmed(Fact(a.number, max(bases, default=None), join(a.known, b.known)))


def trimmed(fact: Fact) -> Fact:
    """The fact without its body once an end is known, since nobody needs the body then."""
    base = fact.base
    if base is None or not base.body or fact.known.end[0] is EndRank.NONE:
        return fact
    return Fact(fact.number, msgspec.structs.replace(base, body=b""), fact.known)


def may_have_run(known: MessageKnowledge) -> bool:
    """Whether an attempt may have run for all that any term can still say."""
    return known.first_may_have_run is not None or known.records_lost_since > 0


def is_finished(known: MessageKnowledge) -> bool:
    """Whether nothing more is owed."""
    return known.end[0] >= EndRank.NOTIFIED


def total_attempts(known: MessageKnowledge) -> int:
    """How many attempts are known; one that two lives of a sender both know may be counted twice, none is left out."""
    return sum(head.attempts for head in known.attempts_by_term.values())


def unsettled_attempts(known: MessageKnowledge, term: int) -> list[tuple[int, int]]:
    """Times and zones of the attempts of terms before this one whose outcome nobody knows, the earliest first."""
    return sorted(
        (head.sent_at, head.zone) for of, head in known.attempts_by_term.items() if of < term and not head.settled
    )


def with_unsettled_as_run(known: MessageKnowledge, term: int) -> MessageKnowledge:
    """Before a term goes on with a message: an attempt of an older one that is out may have run, whatever comes later.

    Otherwise a late outcome of the older term could turn into 'never ran' what has been decided, and answered, on
    'may have run'.
    """
    out = unsettled_attempts(known, term)
    return join(known, MessageKnowledge(first_may_have_run=out[0])) if out else known


def with_records_lost(fact: Fact, since: int) -> Fact:
    """A fact of which updates may be lost, from a wall time on."""
    return Fact(fact.number, fact.base, join(fact.known, MessageKnowledge(records_lost_since=since)))


def with_end(fact: Fact, rank: EndRank) -> Fact:
    """A fact that ends so, if it has no end that beats it."""
    return Fact(fact.number, fact.base, join(fact.known, MessageKnowledge(end=(rank, 0))))


# ---- conversion from and to stored records ----


def base_of(stored: StoredMessage, body: bytes) -> MessageBase:
    """What the client submitted, from the store's record; without the body once the message has ended."""
    return MessageBase(
        stored.id,
        stored.key,
        stored.order_key,
        stored.priority_class,
        stored.tenant,
        stored.destination,
        stored.deadline,
        body if stored.final_answer is None else b"",
    )


def knowledge_of(stored: StoredMessage, term: int) -> MessageKnowledge:
    """What a stored record says; all attempts count as one head of `term`, which was never sent before.

    Under a term that was sent before, this head and the one sent would be taken for one, and the larger would hide an
    attempt that is out. An attempt counted twice does no harm, one that is forgotten does.
    """
    heads = {}
    if stored.attempts:
        heads[term] = TermAttempts(
            stored.attempts,
            not stored.in_flight_since,
            stored.in_flight_since,
            stored.in_flight_zone if stored.in_flight_since else UNKNOWN_ZONE,
        )
    end = (EndRank.NONE, 0)
    if stored.final_answer is not None:
        end = (EndRank.RETURNED if stored.final_answer[0] else EndRank.FAILED, stored.final_answer[1])
    return MessageKnowledge(
        heads,
        (stored.may_have_run_at, stored.may_have_run_zone) if stored.may_have_run_at else None,
        stored.records_lost_since,
        end,
    )


def stored_message_of(fact: Fact, doubt_at: int = 0) -> StoredMessage:
    """The stored record of a message that another sender owed; each attempt without an outcome may have run.

    `doubt_at`: wall microseconds from which on updates may be missing, 0 where none are. Raises `ValueError`
    without a base, and if nothing more is owed.
    """
    base, known = fact.base, fact.known
    if base is None or is_finished(known):
        raise ValueError(f"message {fact.number} is not owed, or its base is not known")
    out = unsettled_attempts(known, 1 << 63)
    may_have = sorted({*out, *([known.first_may_have_run] if known.first_may_have_run else [])})
    ran, last = (may_have[0], may_have[-1]) if may_have else ((0, 0), (0, 0))
    if last == ran:
        last = (0, 0)
    rank, wait = known.end
    return StoredMessage(
        fact.number,
        base.id,
        base.key,
        base.ordering_key,
        base.priority_class,
        base.tenant,
        base.destination,
        base.deadline,
        base.body,
        min(total_attempts(known), MAX_ATTEMPTS),
        *ran,
        *last,
        min(filter(None, (known.records_lost_since, doubt_at)), default=0),
        None if rank is EndRank.NONE else (rank is EndRank.RETURNED, wait),
    )
