"""The record format of the journal: checksummed frames and the layout of each kind of record. No I/O.

A frame is a mark of two bytes, the payload's length, a checksum over length and payload, and the payload. A payload
begins with its kind and, except for headers and drops, the message's number. Records of an unknown kind are preserved;
kinds below `HARMLESS` may be about attempts. Times are wall-clock microseconds, sizes and offsets bytes.
"""

import struct
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from cedarwick.decisions.interface import EarlierAttempt, Outcome
from cedarwick.errors import CedarwickError

VERSION = 2  # of the format; the one file of the first version is read by `legacy_format.py`
FRAME_MARK = b"\xce\xda"
FRAME_HEADER = struct.Struct("<2sII")
PAYLOAD_LENGTH = struct.Struct("<I")
MAX_PAYLOAD_BYTES = 1 << 20  # bytes of a payload
HEADER, MESSAGE, STATE, ATTEMPT, OUTCOME, FINAL_ANSWER, FINISHED, DROP = range(1, 9)
FIRST_UNRELATED_KIND = 64  # kinds from here on are not about attempts or ends
HEADER_BODY = struct.Struct("<BHQQQQI")  # kind, version, number, made at, next message, old files until, lines
HEADER_LINE = struct.Struct("<QQ")  # number and valid length of another live segment
MESSAGE_BODY = struct.Struct("<BQQQIIHHHH")  # number, limit, turn, destination, body's checksum, four texts
STATE_BODY = struct.Struct("<HQhQhQBI")  # attempts, ran at and zone, out at and zone, doubt, end, wait
STATE_HEAD = struct.Struct("<BQ")
ATTEMPT_BODY = struct.Struct("<BQQh")
OUTCOME_BODY = struct.Struct("<BQB")
FINAL_ANSWER_BODY = struct.Struct("<BQBI")
FINISHED_BODY = struct.Struct("<BQ")
OUTCOMES = list(Outcome)
NO_ANSWER, WRITTEN_OFF, REJECTED = range(3)
UNKNOWN_ZONE = -1  # the zone of an attempt of which no record is left: no receiver is there
FIRST_ZONE_ID, ZONE_IDS = 1 << 10, 31 << 10  # of zone marks; lower values are indexes into the configured zones
FINISHED_RECORD_BYTES = FRAME_HEADER.size + FINISHED_BODY.size
STATE_RECORD_BYTES = FRAME_HEADER.size + STATE_HEAD.size + STATE_BODY.size
MIN_STATE_PAYLOAD_BYTES = STATE_HEAD.size  # bytes of a payload that names a message


class InvalidRecordError(CedarwickError):
    """A payload that its kind does not allow."""

    code = "CW204"
    remedy = "keep a copy of the folder, then `cedarwick store verify`; what the record owed is lost"


@dataclass(slots=True, eq=False)
class StoredMessage:
    """An unfinished message and what the folder records of its attempts; times in wall-clock microseconds."""

    number: int  # 0 until it is accepted
    id: str
    key: str  # repeated requests carry the same key
    order_key: int  # the ordering key; 0 for none
    priority_class: str
    tenant: str  # empty for none
    destination: int
    deadline: int  # wall time
    body: bytes | None  # None: only in the folder
    attempts: int = 0
    may_have_run_at: int = 0  # when the first attempt left that may have run; 0: none did
    may_have_run_zone: int = 0  # by its mark
    in_flight_since: int = 0  # when the attempt without an outcome was sent; 0: none is in flight
    in_flight_zone: int = 0
    records_lost_since: int = 0  # records since then are lost, so an attempt may have run; 0: none are
    final_answer: tuple[bool, int] | None = (
        None  # rejected (not written off), advised wait in ms; its notice is still to send
    )
    # Where its record is; used by the journal only.
    segment_number: int = 0  # the segment; 0: nowhere yet
    body_offset: int = 0  # the body's offset in that
    body_size: int = 0  # bytes of the body
    body_checksum: int = 0  # of the body
    record_size: int = 0  # bytes of the record
    short_record_segments: list[int] = field(
        default_factory=list
    )  # segments with short records of it that its record does not include

    def apply_attempt(self, sent_at: int, zone: int) -> None:
        """An attempt is sent at `sent_at`; an earlier one without an outcome may have run."""
        if self.in_flight_since and not self.may_have_run_at:
            self.may_have_run_at, self.may_have_run_zone = self.in_flight_since, self.in_flight_zone
        self.attempts += 1
        self.in_flight_since, self.in_flight_zone = sent_at, zone

    def apply_outcome(self, never_ran: bool) -> None:
        """The attempt in flight has ended; `never_ran`: the receiver certainly did not process it."""
        if not never_ran and not self.may_have_run_at:
            self.may_have_run_at, self.may_have_run_zone = self.in_flight_since, self.in_flight_zone
        self.in_flight_since = 0

    def earlier_attempts(self) -> list[EarlierAttempt]:
        """Its attempts, for the decisions after a restart."""
        may_have = [
            (self.records_lost_since, UNKNOWN_ZONE),
            (self.may_have_run_at, self.may_have_run_zone),
            (self.in_flight_since, self.in_flight_zone),
        ]
        uncertain = [EarlierAttempt(at, zone, None) for at, zone in sorted(may_have) if at]
        return uncertain + [EarlierAttempt(0, 0, Outcome.MOOT)] * (self.attempts - len(uncertain))


class Header(NamedTuple):
    """The first record of a segment; it names all other live segments, so that a missing one is noticed."""

    version: int
    number: int
    created_at: int
    next_message: int
    last_legacy_file: int  # files of the first format up to this number have been taken over
    other_segments: dict[int, int]  # every other live segment, and its valid length


def zone_id(name: str) -> int:
    """The number that identifies a zone in a record, computed from the zone's name.

    An index into the configured zones would change with the settings, and a repeat would then go to a zone whose
    receivers do not remember the message's number.
    """
    return FIRST_ZONE_ID + zlib.crc32(name.encode()) % ZONE_IDS


def encode_frame(payload: bytes) -> bytes:
    """The bytes of a frame with this payload."""
    return FRAME_HEADER.pack(FRAME_MARK, len(payload), frame_checksum(payload)) + payload


def frame_checksum(payload: bytes) -> int:
    """The checksum of a frame, over length and payload."""
    return zlib.crc32(payload, zlib.crc32(PAYLOAD_LENGTH.pack(len(payload))))


def encode_header(made: Header) -> bytes:
    """The payload of a segment's first record."""
    lines = b"".join(HEADER_LINE.pack(number, size) for number, size in made.other_segments.items())
    return (
        HEADER_BODY.pack(
            HEADER,
            made.version,
            made.number,
            made.created_at,
            made.next_message,
            made.last_legacy_file,
            len(made.other_segments),
        )
        + lines
    )


def decode_header(payload: bytes) -> Header:
    """Decode a header; raises `InvalidRecordError` if it is too short."""
    try:
        _, version, number, made_at, next_message, old_until, count = HEADER_BODY.unpack_from(payload)
        others = dict(
            HEADER_LINE.unpack_from(payload, HEADER_BODY.size + place * HEADER_LINE.size)
            for place in range(count if version == VERSION else 0)
        )
    except struct.error as error:
        raise InvalidRecordError(f"a header: {error}") from None
    return Header(version, number, made_at, next_message, old_until, others)


def encode_message(stored: StoredMessage, body: bytes) -> tuple[bytes, int]:
    """Encode the full record of a message; returns the payload and the body's offset in it."""
    texts = [text.encode() for text in (stored.id, stored.key, stored.priority_class, stored.tenant)]
    head = MESSAGE_BODY.pack(
        MESSAGE,
        stored.number,
        stored.deadline,
        stored.order_key,
        stored.destination,
        stored.body_checksum,
        *map(len, texts),
    )
    whole = head + encode_state(stored) + b"".join(texts)
    return whole + body, len(whole)


def encode_state(stored: StoredMessage) -> bytes:
    """Encode a message's attempts and end as `STATE_BODY`."""
    end, wait = NO_ANSWER, 0
    if stored.final_answer is not None:
        end, wait = REJECTED if stored.final_answer[0] else WRITTEN_OFF, stored.final_answer[1]
    return STATE_BODY.pack(
        min(stored.attempts, 0xFFFF),
        stored.may_have_run_at,
        stored.may_have_run_zone,
        stored.in_flight_since,
        stored.in_flight_zone,
        stored.records_lost_since,
        end,
        wait,
    )


def encode_state_record(stored: StoredMessage) -> bytes:
    """Encode a state record: a message's attempts and end, without its body."""
    return STATE_HEAD.pack(STATE, stored.number) + encode_state(stored)


def decode_texts(payload: bytes, at: int, sizes: Iterable[int]) -> tuple[list[str], int]:
    """The texts of the given sizes (bytes) that lie one after another from offset `at`, and the offset behind them.

    Raises `UnicodeDecodeError`.
    """
    texts = []
    for size in sizes:
        texts.append(payload[at : at + size].decode())
        at += size
    return texts, at


def decode_message(payload: bytes, segment: int, at: int) -> StoredMessage:
    """Decode a message record whose frame begins at offset `at` of a segment; the body is not loaded.

    Raises `InvalidRecordError`.
    """
    try:
        _, number, limit, turn, destination, checksum, *sizes = MESSAGE_BODY.unpack_from(payload)
        texts, place = decode_texts(payload, MESSAGE_BODY.size + STATE_BODY.size, sizes)
        id, key, priority_class, tenant = texts
        stored = StoredMessage(
            number,
            id,
            key,
            turn,
            priority_class,
            tenant,
            destination,
            limit,
            None,
            segment_number=segment,
            body_offset=at + FRAME_HEADER.size + place,
            body_size=len(payload) - place,
            body_checksum=checksum,
            record_size=FRAME_HEADER.size + len(payload),
        )
        apply_state(stored, payload, MESSAGE_BODY.size)
    except (struct.error, UnicodeDecodeError, ValueError) as error:
        raise InvalidRecordError(f"a message: {error}") from None
    if place > len(payload):
        raise InvalidRecordError("a message that is shorter than its texts")
    return stored


def apply_state(stored: StoredMessage, payload: bytes, at: int) -> None:
    """Replace a message's attempts and end by the state at offset `at` of a payload; raises `InvalidRecordError`."""
    try:
        (
            stored.attempts,
            stored.may_have_run_at,
            stored.may_have_run_zone,
            stored.in_flight_since,
            stored.in_flight_zone,
            doubt_at,
            end,
            wait,
        ) = STATE_BODY.unpack_from(payload, at)
    except struct.error as error:
        raise InvalidRecordError(f"a state: {error}") from None
    # Doubt caused by lost records stays: a state record written before the loss cannot remove it.
    stored.records_lost_since = min(filter(None, (stored.records_lost_since, doubt_at)), default=0)
    stored.final_answer = None if end == NO_ANSWER else (end == REJECTED, wait)


class Frame(NamedTuple):
    """A valid record: the offset of its frame in the file, and its payload."""

    offset: int
    payload: bytes


class DamagedRange(NamedTuple):
    """Bytes from `at` to before `until` that hold no valid record."""

    offset: int
    end_offset: int


def scan_frames(data: bytes, begin: int, whole: bool) -> Iterator[Frame | DamagedRange]:
    """The records of a chunk of a file that begins at offset `begin`; `whole`: it is the last chunk.

    A frame that may continue past the end of the chunk is left to the next one, unless this is the last. After damage
    the scan goes on at the next frame with a valid checksum.
    """
    at = 0
    while at < len(data):
        found = decode_frame(data, at)
        if found is not None:
            yield Frame(begin + at, found)
            at += FRAME_HEADER.size + len(found)
            continue
        if not whole and may_be_partial_frame(data, at):
            return
        after = at + 1
        while (after := data.find(FRAME_MARK, after)) >= 0 and decode_frame(data, after) is None:
            if not whole and may_be_partial_frame(data, after):
                break
            after += 1
        if after < 0:
            after = len(data) if whole else max(at + 1, len(data) - FRAME_HEADER.size)
        yield DamagedRange(begin + at, begin + after)
        at = after


def decode_frame(data: bytes, at: int) -> bytes | None:
    """The payload of the valid frame at an offset; None if there is none."""
    if at + FRAME_HEADER.size > len(data):
        return None
    mark, size, checksum = FRAME_HEADER.unpack_from(data, at)
    if mark != FRAME_MARK or not 0 < size <= MAX_PAYLOAD_BYTES or at + FRAME_HEADER.size + size > len(data):
        return None
    payload = data[at + FRAME_HEADER.size : at + FRAME_HEADER.size + size]
    return payload if frame_checksum(payload) == checksum else None


def may_be_partial_frame(data: bytes, at: int) -> bool:
    """Whether the bytes at an offset may be the beginning of a frame that continues in the next chunk."""
    if at + FRAME_HEADER.size > len(data):
        return FRAME_MARK.startswith(data[at : at + 2])
    mark, size, _ = FRAME_HEADER.unpack_from(data, at)
    return bool(mark == FRAME_MARK and 0 < size <= MAX_PAYLOAD_BYTES and at + FRAME_HEADER.size + size > len(data))
