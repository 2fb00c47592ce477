"""Facts: what a member knows of a message, and the join of what two members know. No I/O.

A `Fact` is a message's number, its base (what the client submitted) and its `MessageKnowledge`. Knowledge only grows: it
is a state-based CRDT whose merge is a join (Shapiro et al. 2011). The rules by field:

| field | join | reason |
| ----- | ---- | ------ |
| `attempts_by_term` | for each term the larger (attempts, settled, sent_at, zone) | a term has one holder: whoever has the latest update knows its newest attempt, and an outcome follows its attempt; the entries of other terms are kept, so no known attempt is lost |
| `first_may_have_run` | the earliest (sent_at, zone) | 'may have run' wins over 'never ran', and nothing reverts it |
| `records_lost_since` | the earliest that is not 0 | doubt caused by damage or by a lagging replica is permanent |
| `end` | the larger (rank, wait in ms) | any end wins over none; *failed* wins over *returned*, because *returned* tells the client that nothing happened while another member knew of an attempt; *notified* (the platform has the final answer) wins over both, because another answer would be a second end; *completed* comes from the receiver itself and wins over all |
| `move` | the larger (sequence, text) | the newer move; the message is inert until the value of that move is decided |
| `base` | whichever is present | it never changes; once an end is known the body is not needed and is omitted |

An entry that is not settled is an attempt without an outcome. Its own term may still report that it never ran; once a
newer term has taken over the message (`with_unsettled_as_run`), the attempt counts permanently as one that may have run.
"""  # noqa: E501

from collections.abc import Iterable
from enum import IntEnum
from typing import Annotated, NamedTuple

import msgspec
import xxhash

from cedarwick.errors import CedarwickError
from cedarwick.store.records import UNKNOWN_ZONE, StoredMessage

VERSION = 1  # version of the encoding
MAX_FACTS = 1 << 14  # maximum number of facts in one message
MAX_ATTEMPTS = 0xFFFF  # the largest count that a stored record holds
FACT_OVERHEAD_BYTES = 96  # approximate size of an encoded fact without its base

Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Zone = Annotated[int, msgspec.Meta(ge=-(1 << 15), lt=1 << 15)]
Wait = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
# At most 4 bytes per character; a stored record holds lengths up to 65,535 bytes.
Text = Annotated[str, msgspec.Meta(max_length=16000)]
Body = Annotated[bytes, msgspec.Meta(max_length=1 << 19)]


class CorruptFactsError(CedarwickError):
    """Facts from another member cannot be decoded, or do not match their digest."""

    code = "CW720"
    remedy = (
        "the whole message is dropped and requested again; if the error recurs, check the network and the other member"
    )


class FactsVersionError(CorruptFactsError):
    """Facts were sent in the encoding of another version of the program."""

    code = "CW721"
    remedy = "run the same version of the program on all members; until then this partition has one replica less"


class EndRank(IntEnum):
    """How a message ended; the larger of two ranks wins."""

    NONE = 0
    RETURNED = 1
    FAILED = 2
    NOTIFIED = 3
    COMPLETED = 4


class TermAttempts(NamedTuple):
    """What one term knows of the newest attempt of a message; the larger of two values is newer."""

    attempts: Count  # number of attempts in that term
    settled: bool  # whether the outcome is known; if the attempt may have run, `first_may_have_run` covers it then
    sent_at: Count  # wall microseconds
    zone: Zone


class MessageBase(msgspec.Struct, array_like=True, frozen=True, order=True):
    """What the client submitted."""

    id: Text
    key: Text
    ordering_key: Annotated[int, msgspec.Meta(ge=0)]  # 0: none; all 64 bits are used
    priority_class: Text
    tenant: Text
    destination: Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]  # as in a stored record
    deadline: Count  # wall microseconds
    body: Body


class MessageKnowledge(msgspec.Struct, array_like=True, frozen=True):
    """What is known of a message's attempts, end and move."""

    attempts_by_term: Annotated[dict[Count, TermAttempts], msgspec.Meta(max_length=256)] = {}
    first_may_have_run: tuple[Count, Zone] | None = None  # time and zone of the first attempt that may have run
    records_lost_since: Count = 0  # wall microseconds since which records may be missing; 0: none are
    end: tuple[EndRank, Wait] = (EndRank.NONE, 0)  # and the Retry-After wait in milliseconds
    move: tuple[Count, Text] | None = None  # sequence and text of the newest move; an empty text: the move is over


class Fact(msgspec.Struct, array_like=True, frozen=True):
    """A message's number and all that is known of it; without a base it updates a fact that was sent before."""

    number: Count
    base: MessageBase | None
    known: MessageKnowledge


class FactBatch(msgspec.Struct, array_like=True):
    """Facts as they are sent and stored."""

    version: int
    facts: msgspec.Raw


NO_KNOWLEDGE = MessageKnowledge()
ENCODER = msgspec.msgpack.Encoder()
FACTS: msgspec.msgpack.Decoder[list[Fact]] = msgspec.msgpack.Decoder(
    Annotated[list[Fact], msgspec.Meta(max_length=MAX_FACTS)]
)
BATCH: msgspec.msgpack.Decoder[FactBatch] = msgspec.msgpack.Decoder(FactBatch)


def encode_fact(fact: Fact) -> bytes:
    """Encode a fact; equal facts give equal bytes, since the attempts are sorted by term."""
    known = fact.known
    if len(known.attempts_by_term) > 1:
        known = msgspec.structs.replace(known, attempts_by_term=dict(sorted(known.attempts_by_term.items())))
        fact = Fact(fact.number, fact.base, known)
    return ENCODER.encode(fact)


def encode_facts(facts: Iterable[Fact]) -> bytes:
    """Encode facts as they are sent and stored."""
    return encode_batch(encode_fact(fact) for fact in facts)


def encode_batch(facts: Iterable[bytes]) -> bytes:
    """The result of `encode_facts`, from facts that `encode_fact` has already encoded."""
    raw = msgspec.Raw(ENCODER.encode([msgspec.Raw(each) for each in facts]))
    return ENCODER.encode(FactBatch(VERSION, raw))


def decode_facts(data: bytes) -> list[Fact]:
    """Decode the facts of a message; raises `CorruptFactsError` or `FactsVersionError`."""
    try:
        batch = BATCH.decode(data)
        if batch.version != VERSION:
            raise FactsVersionError(f"facts in encoding version {batch.version}; this program uses version {VERSION}")
        return FACTS.decode(batch.facts)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CorruptFactsError(f"facts cannot be decoded: {error}") from None


def digest(data: bytes) -> int:
    """A 64-bit digest of encoded facts, sent along with them."""
    return xxhash.xxh3_64_intdigest(data)


def approximate_bytes(fact: Fact) -> int:
    """The approximate encoded size of a fact."""
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
    attempts_by_term = dict(a.attempts_by_term)
    for term, newest in b.attempts_by_term.items():
        attempts_by_term[term] = max(attempts_by_term.get(term, newest), newest)
    first_may_have_run, lost_since, move = a.first_may_have_run, a.records_lost_since, a.move
    if b.first_may_have_run is not None and (first_may_have_run is None or b.first_may_have_run < first_may_have_run):
        first_may_have_run = b.first_may_have_run
    if b.records_lost_since and (not lost_since or b.records_lost_since < lost_since):
        lost_since = b.records_lost_since
    if b.move is not None and (move is None or b.move > move):
        move = b.move
    return MessageKnowledge(attempts_by_term, first_may_have_run, lost_since, a.end if a.end > b.end else b.end, move)


def join_facts(a: Fact, b: Fact) -> Fact:
    """The join of two facts about the same message."""
    bases = [each.base for each in (a, b) if each.base is not None]
    return trimmed(Fact(a.number, max(bases, default=None), join(a.known, b.known)))


def trimmed(fact: Fact) -> Fact:
    """The fact without the body if an end is known, since the body is not needed then."""
    base = fact.base
    if base is None or not base.body or fact.known.end[0] is EndRank.NONE:
        return fact
    return Fact(fact.number, msgspec.structs.replace(base, body=b""), fact.known)


def may_have_run(known: MessageKnowledge) -> bool:
    """Whether an attempt may have run, whatever any term may still report."""
    return known.first_may_have_run is not None or known.records_lost_since > 0


def is_finished(known: MessageKnowledge) -> bool:
    """Whether neither an answer nor a notice is pending for the message."""
    return known.end[0] >= EndRank.NOTIFIED


def total_attempts(known: MessageKnowledge) -> int:
    """The number of known attempts; one known to two runs of a sender may be counted twice, none is missed."""
    return sum(newest.attempts for newest in known.attempts_by_term.values())


def unsettled_attempts(known: MessageKnowledge, term: int) -> list[tuple[int, int]]:
    """Times and zones of the attempts of earlier terms whose outcome is unknown, the earliest first."""
    return sorted(
        (newest.sent_at, newest.zone)
        for attempt_term, newest in known.attempts_by_term.items()
        if attempt_term < term and not newest.settled
    )


def with_unsettled_as_run(known: MessageKnowledge, term: int) -> MessageKnowledge:
    """Count attempts of earlier terms without an outcome as ones that may have run, before a term continues.

    Otherwise a late outcome of the earlier term could change to 'never ran' what has been decided, and answered, as
    'may have run'.
    """
    unsettled = unsettled_attempts(known, term)
    return join(known, MessageKnowledge(first_may_have_run=unsettled[0])) if unsettled else known


def with_records_lost(fact: Fact, since: int) -> Fact:
    """The fact, marked as possibly missing updates since a wall time."""
    return Fact(fact.number, fact.base, join(fact.known, MessageKnowledge(records_lost_since=since)))


def with_end(fact: Fact, rank: EndRank) -> Fact:
    """The fact with this end, unless it has an end of a higher rank."""
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
    """The knowledge in a stored record; all attempts become one entry of `term`, which must not have been sent before.

    Under a term that was sent before, the join would treat this entry and the sent one as versions of the same entry,
    and the larger could hide an attempt without an outcome. Counting an attempt twice is harmless; losing one is not.
    """
    attempts_by_term = {}
    if stored.attempts:
        attempts_by_term[term] = TermAttempts(
            stored.attempts,
            not stored.in_flight_since,
            stored.in_flight_since,
            stored.in_flight_zone if stored.in_flight_since else UNKNOWN_ZONE,
        )
    end = (EndRank.NONE, 0)
    if stored.final_answer is not None:
        end = (EndRank.RETURNED if stored.final_answer[0] else EndRank.FAILED, stored.final_answer[1])
    return MessageKnowledge(
        attempts_by_term,
        (stored.may_have_run_at, stored.may_have_run_zone) if stored.may_have_run_at else None,
        stored.records_lost_since,
        end,
    )


def stored_message_of(fact: Fact, lost_since: int = 0) -> StoredMessage:
    """The stored record of a message taken over from another sender; attempts without an outcome may have run.

    `lost_since`: wall microseconds since which updates may be missing; 0: none are. Raises `ValueError` if the fact has
    no base or the message has finished.
    """
    base, known = fact.base, fact.known
    if base is None or is_finished(known):
        raise ValueError(f"message {fact.number} has finished, or its base is missing")
    unsettled = unsettled_attempts(known, 1 << 63)
    may_have_run_attempts = sorted({*unsettled, *([known.first_may_have_run] if known.first_may_have_run else [])})
    first, last = (may_have_run_attempts[0], may_have_run_attempts[-1]) if may_have_run_attempts else ((0, 0), (0, 0))
    if last == first:
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
        *first,
        *last,
        min(filter(None, (known.records_lost_since, lost_since)), default=0),
        None if rank is EndRank.NONE else (rank is EndRank.RETURNED, wait),
    )
