"""The record format of the journal: checksummed frames and the layout of each kind of record. No I/O.

A frame consists of a two-byte mark, the payload's length, a checksum over length and payload, and the payload. A
payload starts with the record kind and, except for headers and drops, the message number. Records of unknown kinds are
preserved; those below `FIRST_UNRELATED_KIND` may describe attempts. Times are wall-clock microseconds; sizes and
offsets are bytes.
"""

import struct
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from cedarwick.decisions.interface import EarlierAttempt, Outcome
from cedarwick.errors import CedarwickError

VERSION = 2  # of the format; version 1, a single `.log` file, is read by `legacy_format.py`
FRAME_MARK = b"\xce\xda"
FRAME_HEADER = struct.Struct("<2sII")
PAYLOAD_LENGTH = struct.Struct("<I")
MAX_PAYLOAD_BYTES = 1 << 20
HEADER, MESSAGE, STATE, ATTEMPT, OUTCOME, FINAL_ANSWER, FINISHED, DROP = range(1, 9)  # kinds
FIRST_UNRELATED_KIND = 64  # this kind and higher ones never describe attempts or final answers
HEADER_BODY = struct.Struct("<BHQQQQI")  # kind, version, number, created at, next message, last legacy file, lines
HEADER_LINE = struct.Struct("<QQ")  # number and valid length of another live segment
MESSAGE_BODY = struct.Struct("<BQQQIIHHHH")  # kind, number, deadline, order key, destination, checksum, four lengths
STATE_BODY = struct.Struct("<HQhQhQBI")  # the fields as `encode_state` packs them
STATE_HEAD = struct.Struct("<BQ")
ATTEMPT_BODY = struct.Struct("<BQQh")
OUTCOME_BODY = struct.Struct("<BQB")
FINAL_ANSWER_BODY = struct.Struct("<BQBI")
FINISHED_BODY = struct.Struct("<BQ")
OUTCOMES = list(Outcome)  # a record holds an index into this list
NO_ANSWER, FAILED, REJECTED = range(3)  # final answers in a state
UNKNOWN_ZONE = -1  # of an attempt whose record is lost; no receiver is in this zone
FIRST_ZONE_ID, ZONE_IDS = 1 << 10, 31 << 10  # first id and number of ids; lower values are indexes of zones
FINISHED_RECORD_BYTES = FRAME_HEADER.size + FINISHED_BODY.size
STATE_RECORD_BYTES = FRAME_HEADER.size + STATE_HEAD.size + STATE_BODY.size
MIN_STATE_PAYLOAD_BYTES = STATE_HEAD.size  # the shortest payload with a message number


class InvalidRecordError(CedarwickError):
    """A record whose payload does not match the layout of its kind."""

    code = "CW204"
    remedy = "keep a copy of the folder and run `cedarwick store verify`; the contents of this record are lost"


@dataclass(slots=True, eq=False)
class StoredMessage:
    """An unfinished message and the recorded state of its attempts; times are wall-clock microseconds."""

    number: int  # 0 until the message is accepted
    id: str
    key: str  # idempotency key: a repeated request carries the same one
    order_key: int  # 0: none
    priority_class: str
    tenant: str  # empty: none
    destination: int
    deadline: int
    body: bytes | None  # None: not in memory, only in the segment file
    attempts: int = 0
    may_have_run_at: int = 0  # when the first attempt that may have run was sent; 0: none
    may_have_run_zone: int = 0  # zone id of that attempt's receiver
    in_flight_since: int = 0  # when the attempt without an outcome was sent; 0: none
    in_flight_zone: int = 0
    records_lost_since: int = 0  # later records are lost, so an attempt may have run; 0: none are lost
    final_answer: tuple[bool, int] | None = None  # rejected (not failed), wait in ms; the notice is still to be sent
    # Location of the full record; used only by the journal.
    segment_number: int = 0  # 0: not written yet
    body_offset: int = 0  # in the segment file
    body_size: int = 0
    body_checksum: int = 0
    record_size: int = 0
    # Segments that hold short records newer than the full one.
    short_record_segments: list[int] = field(default_factory=list)

    def apply_attempt(self, sent_at: int, zone: int) -> None:
        """Note an attempt sent at `sent_at`; an earlier attempt without an outcome may have run."""
        if self.in_flight_since and not self.may_have_run_at:
            self.may_have_run_at, self.may_have_run_zone = self.in_flight_since, self.in_flight_zone
        self.attempts += 1
        self.in_flight_since, self.in_flight_zone = sent_at, zone

    def apply_outcome(self, never_ran: bool) -> None:
        """Note that the attempt in flight has ended; `never_ran`: the receiver certainly did not process it."""
        if not never_ran and not self.may_have_run_at:
            self.may_have_run_at, self.may_have_run_zone = self.in_flight_since, self.in_flight_zone
        self.in_flight_since = 0

    def earlier_attempts(self) -> list[EarlierAttempt]:
        """Return the attempts, for the decisions after a restart."""
        candidates = [
            (self.records_lost_since, UNKNOWN_ZONE),
            (self.may_have_run_at, self.may_have_run_zone),
            (self.in_flight_since, self.in_flight_zone),
        ]
        uncertain = [EarlierAttempt(at, zone, None) for at, zone in sorted(candidates) if at]
        return uncertain + [EarlierAttempt(0, 0, Outcome.MOOT)] * (self.attempts - len(uncertain))


class Header(NamedTuple):
    """The first record of a segment; lists all other live segments, so that a missing one is detected."""

    version: int
    number: int
    created_at: int
    next_message: int
    last_legacy_file: int  # number of the last file of the first format that was converted
    other_segments: dict[int, int]  # every other live segment: number and valid length in bytes


def zone_id(name: str) -> int:
    """Return the number that identifies a zone in a record, a hash of the zone's name.

    An index into the configured zones would change with the settings, and a repeated attempt would then go to a zone
    whose receivers have not seen the message number.
    """
    return FIRST_ZONE_ID + zlib.crc32(name.encode()) % ZONE_IDS


def encode_frame(payload: bytes) -> bytes:
    """Encode a payload as a frame."""
    return FRAME_HEADER.pack(FRAME_MARK, len(payload), frame_checksum(payload)) + payload


def frame_checksum(payload: bytes) -> int:
    """Return the checksum of a frame, over the length and the payload."""
    return zlib.crc32(payload, zlib.crc32(PAYLOAD_LENGTH.pack(len(payload))))


def encode_header(header: Header) -> bytes:
    """Encode a segment's first record; returns the payload."""
    lines = b"".join(HEADER_LINE.pack(number, size) for number, size in header.other_segments.items())
    return (
        HEADER_BODY.pack(
            HEADER,
            header.version,
            header.number,
            header.created_at,
            header.next_message,
            header.last_legacy_file,
            len(header.other_segments),
        )
        + lines
    )


def decode_header(payload: bytes) -> Header:
    """Decode a segment header; raises `InvalidRecordError` if it is too short."""
    try:
        _, version, number, made_at, next_message, old_until, count = HEADER_BODY.unpack_from(payload)
        others = dict(
            HEADER_LINE.unpack_from(payload, HEADER_BODY.size + index * HEADER_LINE.size)
            for index in range(count if version == VERSION else 0)
        )
    except struct.error as error:
        raise InvalidRecordError(f"cannot decode a segment header: {error}") from None
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
    prefix = head + encode_state(stored) + b"".join(texts)
    return prefix + body, len(prefix)


def encode_state(stored: StoredMessage) -> bytes:
    """Encode a message's attempts and final answer as `STATE_BODY`."""
    end, wait = NO_ANSWER, 0
    if stored.final_answer is not None:
        end, wait = REJECTED if stored.final_answer[0] else FAILED, stored.final_answer[1]
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
    """Encode a state record: a message's attempts and final answer, without its body."""
    return STATE_HEAD.pack(STATE, stored.number) + encode_state(stored)


def decode_texts(payload: bytes, at: int, sizes: Iterable[int]) -> tuple[list[str], int]:
    """Decode consecutive texts of the given sizes in bytes from offset `at`; also returns the offset after them.

    Raises `UnicodeDecodeError`.
    """
    texts = []
    for size in sizes:
        texts.append(payload[at : at + size].decode())
        at += size
    return texts, at


def decode_message(payload: bytes, segment: int, at: int) -> StoredMessage:
    """Decode a message record whose frame starts at offset `at` of a segment; the body is not loaded.

    Raises `InvalidRecordError`.
    """
    try:
        _, number, deadline, order_key, destination, checksum, *sizes = MESSAGE_BODY.unpack_from(payload)
        texts, body_start = decode_texts(payload, MESSAGE_BODY.size + STATE_BODY.size, sizes)
        id, key, priority_class, tenant = texts
        stored = StoredMessage(
            number,
            id,
            key,
            order_key,
            priority_class,
            tenant,
            destination,
            deadline,
            None,
            segment_number=segment,
            body_offset=at + FRAME_HEADER.size + body_start,
            body_size=len(payload) - body_start,
            body_checksum=checksum,
            record_size=FRAME_HEADER.size + len(payload),
        )
        apply_state(stored, payload, MESSAGE_BODY.size)
    except (struct.error, UnicodeDecodeError, ValueError) as error:
        raise InvalidRecordError(f"cannot decode a message record: {error}") from None
    if body_start > len(payload):
        raise InvalidRecordError("a message record is shorter than its text fields")
    return stored


def apply_state(stored: StoredMessage, payload: bytes, at: int) -> None:
    """Set a message's attempts and final answer from the state at offset `at` of a payload.

    Raises `InvalidRecordError`.
    """
    try:
        (
            stored.attempts,
            stored.may_have_run_at,
            stored.may_have_run_zone,
            stored.in_flight_since,
            stored.in_flight_zone,
            lost_since,
            end,
            wait,
        ) = STATE_BODY.unpack_from(payload, at)
    except struct.error as error:
        raise InvalidRecordError(f"cannot decode a message state: {error}") from None
    # The earlier time stays: a state record written before records were lost cannot show that no attempt has run.
    stored.records_lost_since = min(filter(None, (stored.records_lost_since, lost_since)), default=0)
    stored.final_answer = None if end == NO_ANSWER else (end == REJECTED, wait)


class Frame(NamedTuple):
    """A valid record: the offset of its frame in the file and its payload."""

    offset: int
    payload: bytes


class DamagedRange(NamedTuple):
    """A range of bytes without a valid record; `end_offset` is exclusive."""

    offset: int
    end_offset: int


def scan_frames(data: bytes, base_offset: int, is_last_chunk: bool) -> Iterator[Frame | DamagedRange]:
    """Yield the records and damaged ranges of a chunk that starts at `base_offset` of a file.

    Unless `is_last_chunk`, a frame that may continue past the end of the chunk is left to the next
    call. After damage the scan continues at the next frame with a valid checksum.
    """
    at = 0
    while at < len(data):
        payload = decode_frame(data, at)
        if payload is not None:
            yield Frame(base_offset + at, payload)
            at += FRAME_HEADER.size + len(payload)
            continue
        if not is_last_chunk and may_be_partial_frame(data, at):
            return
        next_frame = at + 1
        while (next_frame := data.find(FRAME_MARK, next_frame)) >= 0 and decode_frame(data, next_frame) is None:
            if not is_last_chunk and may_be_partial_frame(data, next_frame):
                break
            next_frame += 1
        if next_frame < 0:
            next_frame = len(data) if is_last_chunk else max(at + 1, len(data) - FRAME_HEADER.size)
        yield DamagedRange(base_offset + at, base_offset + next_frame)
        at = next_frame


def decode_frame(data: bytes, at: int) -> bytes | None:
    """Return the payload of the frame at an offset; None if there is no valid frame."""
    if at + FRAME_HEADER.size > len(data):
        return None
    mark, size, checksum = FRAME_HEADER.unpack_from(data, at)
    if mark != FRAME_MARK or not 0 < size <= MAX_PAYLOAD_BYTES or at + FRAME_HEADER.size + size > len(data):
        return None
    payload = data[at + FRAME_HEADER.size : at + FRAME_HEADER.size + size]
    return payload if frame_checksum(payload) == checksum else None


def may_be_partial_frame(data: bytes, at: int) -> bool:
    """Whether the bytes at an offset may be the start of a frame that continues in the next chunk."""
    if at + FRAME_HEADER.size > len(data):
        return FRAME_MARK.startswith(data[at : at + 2])
    mark, size, _ = FRAME_HEADER.unpack_from(data, at)
    return bool(mark == FRAME_MARK and 0 < size <= MAX_PAYLOAD_BYTES and at + FRAME_HEADER.size + size > len(data))
