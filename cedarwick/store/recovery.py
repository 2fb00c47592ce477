"""Rebuilds the state of a folder by replaying its segments in order, in bounded memory. It writes nothing.

The newest segment's header names every other live segment, and its drop records name those deleted since; this tells
missing segments, leftover files and damage apart. Where records may be lost, every message live at that point is put
in doubt: an attempt without a record may have run. Called by `journal.Store.load` and by `tools.py`; times are
wall-clock microseconds, sizes and offsets bytes.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from cedarwick.decisions.interface import Outcome
from cedarwick.errors import CedarwickError
from cedarwick.store.files import Folder, file_numbers, segment_name
from cedarwick.store.records import (
    ATTEMPT,
    ATTEMPT_BODY,
    DROP,
    FINAL_ANSWER,
    FINAL_ANSWER_BODY,
    FINISHED,
    FINISHED_BODY,
    FIRST_UNRELATED_KIND,
    FRAME_HEADER,
    HEADER,
    MESSAGE,
    MIN_STATE_PAYLOAD_BYTES,
    OUTCOME,
    OUTCOME_BODY,
    OUTCOMES,
    STATE,
    STATE_HEAD,
    VERSION,
    DamagedRange,
    Frame,
    Header,
    InvalidRecordError,
    StoredMessage,
    apply_state,
    decode_header,
    decode_message,
    scan_frames,
)
from cedarwick.store.segments import Report, Segment, SegmentIndex

CHUNK_BYTES = 1 << 20  # bytes read at once
SECTOR_BYTES = 1 << 12  # bytes read at once where the disk reports an error


class FolderDamagedError(CedarwickError):
    """A part of the folder is missing or does not match its checksums; the rest is gone on with."""

    code = "CW208"
    remedy = "keep a copy of the folder and look at the disk; what is in doubt is answered by itself"


class StoreVersionError(CedarwickError):
    """A segment was written by another version of the program."""

    code = "CW209"
    remedy = "start the version that wrote it on this folder and let it end what it owes"


@dataclass
class Recovered:
    """The state of a folder after replay."""

    segment_index: SegmentIndex = field(default_factory=SegmentIndex)
    next_message: int = 1
    last_legacy_file: int = 0
    last_segment: int = 0  # the highest segment number seen, live or not
    leftover_files: list[str] = field(default_factory=list)  # files that can be deleted
    newest_valid_bytes: int = -1  # valid bytes of the newest segment; -1: nothing may be appended to it
    damaged: bool = False
    record_count: int = 0
    unknown_record_count: int = 0


def recover(folder: Folder, report: Report) -> Recovered:
    """Replay a folder and return its state; each finding is passed to `say` as one line.

    Raises OSError if the folder cannot be read; bytes that the disk cannot read count as damage.
    """
    found = Recovered()
    names = folder.names()
    present = file_numbers(names)
    headers = {number: read_segment_header(folder, number) for number in present}
    for name in names:
        if name.endswith(".seg") and not (name[:8].isdigit() and len(name) == 12):
            report(f"{name} is no segment of this journal and is left alone")
    for number, header in list(headers.items()):
        if header is not None and header.number != number:
            report(f"{segment_name(number)} is a copy of segment {header.number} and is left out")
            present.remove(number)
            del headers[number]
    found.last_segment = max([*present, 0])
    newest = max((number for number, header in headers.items() if header and header.version == VERSION), default=0)
    newest_header = headers.get(newest)
    expected, lengths = find_live_segments(folder, found, present, newest_header, newest, report)
    doubt_from = 0
    for number in sorted(expected):
        header = headers.get(number)
        if number not in present:
            report(
                FolderDamagedError(
                    f"{segment_name(number)} is missing: what it held is lost, "
                    f"{len(found.segment_index.messages)} messages are put in doubt"
                ).line
            )
            mark_in_doubt(found, doubt_from)
            continue
        doubt_from = header.created_at if header else doubt_from
        read_segment(folder, found, number, header, lengths.get(number), number == max(expected), doubt_from, report)
    if newest_header is not None:
        found.next_message = max(found.next_message, newest_header.next_message)
        found.last_legacy_file = newest_header.last_legacy_file
    return found


def find_live_segments(
    folder: Folder, found: Recovered, present: list[int], newest_header: Header | None, newest: int, report: Report
) -> tuple[set[int], dict[int, int]]:
    """The numbers of the segments that should exist, and the valid lengths in bytes of those that were sealed."""
    expected, lengths = set(present), {}
    if newest_header is not None:
        lengths = dict(newest_header.other_segments)
        expected = {newest, *lengths} | {number for number in present if number > newest}
        for each in read_records(folder, segment_name(newest), None):
            if isinstance(each, Frame) and each.payload[0] == DROP and len(each.payload) == FINISHED_BODY.size:
                expected.discard(FINISHED_BODY.unpack(each.payload)[1])
        found.leftover_files = [segment_name(number) for number in present if number not in expected]
    for number in [number for number in expected if number > newest and number in present]:
        records = [each for each in read_records(folder, segment_name(number), None) if isinstance(each, Frame)]
        if not records:  # its creation was interrupted, so it holds nothing that was acknowledged
            expected.discard(number)
            found.leftover_files.append(segment_name(number))
    if found.leftover_files:
        report(f"left over and not needed: {', '.join(found.leftover_files)}")
    return expected, lengths


def read_segment_header(folder: Folder, number: int) -> Header | None:
    """The header of a segment; None if it has none that can be read."""
    for each in read_records(folder, segment_name(number), None):
        if isinstance(each, Frame) and each.offset == 0 and each.payload[0] == HEADER:
            try:
                return decode_header(each.payload)
            except InvalidRecordError:
                return None
        return None
    return None


def read_segment(
    folder: Folder,
    found: Recovered,
    number: int,
    header: Header | None,
    length: int | None,
    last: bool,
    doubt_from: int,
    report: Report,
) -> None:
    """Replay one segment; damage in it puts all messages live at that point in doubt.

    `length`: the valid bytes recorded when it was sealed, None if unknown; `last`: it is the newest segment;
    `doubt_from`: wall-clock microseconds, the time from which records may be lost.
    """
    name = segment_name(number)
    physical = folder.size(name)
    segment = Segment(number, header.created_at if header else doubt_from, file_bytes=physical)
    found.segment_index.add_segment(segment)
    if header is not None and header.version != VERSION:
        report(
            StoreVersionError(
                f"{name} is of version {header.version}, this program knows {VERSION}: it is left alone, and "
                f"{len(found.segment_index.messages)} messages are put in doubt"
            ).line
        )
        segment.other_version = True
        found.segment_index.live_bytes += physical
        segment.valid_bytes = physical
        mark_in_doubt(found, doubt_from)
        return
    if length is not None and physical < length:
        report(FolderDamagedError(f"{name} is cut off at {physical}, {length} bytes were written").line)
        mark_in_doubt(found, doubt_from)
    ended = 0
    for each in read_records(folder, name, length):
        if isinstance(each, Frame):
            found.record_count += 1
            segment.header_bytes = segment.header_bytes or FRAME_HEADER.size + len(each.payload)
            ended = each.offset + FRAME_HEADER.size + len(each.payload)
            replay(found, segment, each, report)
            continue
        if last and each.end_offset >= physical and header is not None:
            # A write interrupted by the end of the process: it was never acknowledged, so nothing is lost.
            report(f"{name}: {each.end_offset - each.offset} bytes of a last record that was cut off are left out")
            continue
        if header is None and each.offset == 0 and not last:
            report(FolderDamagedError(f"{name}: the header cannot be read").line)
        report(
            FolderDamagedError(
                f"{name}: bytes {each.offset} to {each.end_offset} are damaged; "
                f"{len(found.segment_index.messages)} messages are put in doubt"
            ).line
        )
        mark_in_doubt(found, doubt_from)
    segment.valid_bytes = ended
    if last and header is not None:
        found.newest_valid_bytes = ended


def mark_in_doubt(found: Recovered, since: int) -> None:
    """Mark every live message: records since `since` are lost, so an attempt may have run without a record."""
    found.damaged = True
    for stored in found.segment_index.messages.values():
        stored.records_lost_since = min(filter(None, (stored.records_lost_since, since)), default=1)


def replay(found: Recovered, segment: Segment, record: Frame, report: Report) -> None:
    """Apply one record to the state; one that cannot be decoded is reported to `say` and skipped."""
    payload, segment_index = record.payload, found.segment_index
    kind = payload[0]
    if kind in (HEADER, DROP):
        return
    if kind > DROP:
        found.unknown_record_count += 1
        if found.unknown_record_count == 1:
            report(
                f"{segment_name(segment.number)}: a record of the unknown kind {kind} at {record.offset} is retained"
            )
        segment_index.add_unknown_record(segment, record.offset + FRAME_HEADER.size, len(payload))
        if kind < FIRST_UNRELATED_KIND and len(payload) >= MIN_STATE_PAYLOAD_BYTES:
            doubtful = segment_index.messages.get(STATE_HEAD.unpack_from(payload)[1])
            if doubtful is not None:
                doubtful.records_lost_since = min(
                    filter(None, (doubtful.records_lost_since, segment.created_at)), default=1
                )
        return
    try:
        if kind == MESSAGE:
            fresh = decode_message(payload, segment.number, record.offset)
            found.next_message = max(found.next_message, fresh.number + 1)
            apply_message(segment_index, segment, fresh)
            return
        number = STATE_HEAD.unpack_from(payload)[1]
        stored = segment_index.messages.get(number)
        if stored is None:
            if kind == FINISHED or kind == OUTCOME and OUTCOMES[OUTCOME_BODY.unpack(payload)[2]] is Outcome.COMPLETED:
                segment_index.move_end_record(number, segment)
            return  # the message has ended, or its own record is lost
        apply_short_record(segment_index, segment, stored, kind, payload)
    except (InvalidRecordError, ValueError, IndexError) as error:
        report(
            InvalidRecordError(
                f"{segment_name(segment.number)}: the record at {record.offset} cannot be read: {error}"
            ).line
        )
    except Exception as error:  # struct.error, which is no ValueError
        report(
            InvalidRecordError(
                f"{segment_name(segment.number)}: the record at {record.offset} has a wrong length: {error}"
            ).line
        )


def apply_message(segment_index: SegmentIndex, segment: Segment, fresh: StoredMessage) -> None:
    """Apply a full record of a message, which replaces older ones; doubt is carried over."""
    before = segment_index.messages.get(fresh.number)
    at, weight = fresh.body_offset, fresh.record_size
    if before is not None:
        fresh.records_lost_since = min(filter(None, (before.records_lost_since, fresh.records_lost_since)), default=0)
        fresh.segment_number, fresh.record_size, fresh.short_record_segments = (
            before.segment_number,
            before.record_size,
            before.short_record_segments,
        )
    else:
        fresh.segment_number = fresh.record_size = 0
    segment_index.add_full_record(fresh, segment, at, weight)


def apply_short_record(
    segment_index: SegmentIndex, segment: Segment, stored: StoredMessage, kind: int, payload: bytes
) -> None:
    """Apply a short record about a live message."""
    if kind == STATE:
        apply_state(stored, payload, STATE_HEAD.size)
        segment_index.add_short_record(stored, segment, whole=True)
        return
    if kind == FINISHED:
        segment_index.add_end_record(stored.number, segment_index.remove_message(stored), segment)
        return
    if kind == ATTEMPT:
        _, _, sent_at, zone = ATTEMPT_BODY.unpack(payload)
        stored.apply_attempt(sent_at, zone)
    elif kind == OUTCOME:
        outcome = OUTCOMES[OUTCOME_BODY.unpack(payload)[2]]
        stored.apply_outcome(outcome.never_ran)
    elif kind == FINAL_ANSWER:
        _, _, rejected, wait = FINAL_ANSWER_BODY.unpack(payload)
        stored.final_answer = (bool(rejected), wait)
    segment_index.add_short_record(stored, segment)


def read_records(folder: Folder, name: str, until: int | None) -> Iterator[Frame | DamagedRange]:
    """The records of a file up to offset `until` (None: all); bytes that the disk cannot read count as damage."""
    try:
        file = folder.open(name, append=False)
    except OSError:
        return
    try:
        size = folder.size(name)
        end = size if until is None else min(size, until)
        held, begin = b"", 0
        while True:
            at = begin + len(held)
            part = read_replacing_bad_sectors(folder, file, min(CHUNK_BYTES, end - at), at) if at < end else b""
            held += part
            whole = not part or at + len(part) >= end
            used = begin
            for each in scan_frames(held, begin, whole):
                used = (
                    each.offset + FRAME_HEADER.size + len(each.payload) if isinstance(each, Frame) else each.end_offset
                )
                yield each
            if whole:
                return
            held, begin = held[used - begin :], used
    finally:
        folder.close(file)


def read_replacing_bad_sectors(folder: Folder, file: int, size: int, at: int) -> bytes:
    """Read bytes of a file; sectors that cannot be read are replaced by zeros, which are never a valid record."""
    try:
        return folder.read(file, size, at)
    except OSError:
        parts = []
        for begin in range(at, at + size, SECTOR_BYTES):
            wanted = min(SECTOR_BYTES, at + size - begin)
            try:
                parts.append(folder.read(file, wanted, begin).ljust(wanted, b"\0"))
            except OSError:
                parts.append(bytes(wanted))
        return b"".join(parts)
