"""Rebuilds the state of a folder by replaying its segments in order, in bounded memory. It writes nothing.

The newest segment's header lists every other live segment, and its drop records list those deleted since; this
distinguishes missing segments, leftover files and damage. Where records may be lost, every message live at that point
is marked: an attempt without a record may have run. Called by `journal.Store.load` and by `tools.py`. Times are
wall-clock microseconds; sizes and offsets are bytes.
"""

from collections import deque
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

CHUNK_BYTES = 1 << 20  # read at once
MAX_RECOVERED_IDS = 1 << 15  # of the newest messages
SECTOR_BYTES = 1 << 12  # read at once where the disk reports an error


class FolderDamagedError(CedarwickError):
    """A part of the folder is missing or does not match its checksums; the rest stays in use."""

    code = "CW208"
    remedy = "keep a copy of the folder and check the disk; messages with lost records still get their final answer"


class StoreVersionError(CedarwickError):
    """A segment was written by another version of the program."""

    code = "CW209"
    remedy = "run the version that wrote it on this folder until it has answered its messages"


@dataclass
class Recovered:
    """The state of a folder after replay."""

    segment_index: SegmentIndex = field(default_factory=SegmentIndex)
    next_message: int = 1
    last_legacy_file: int = 0
    last_segment: int = 0  # the highest segment number found, live or not
    # Of all messages whose records are still there, finished or not; the newest at the end.
    message_ids: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_RECOVERED_IDS))
    leftover_files: list[str] = field(default_factory=list)  # files that are not needed
    newest_valid_bytes: int = -1  # of the newest segment; -1: nothing may be appended to it
    damaged: bool = False
    record_count: int = 0
    unknown_record_count: int = 0


def recover(folder: Folder, report: Report) -> Recovered:
    """Replay a folder and return its state; each finding is passed to `report` as one line.

    Raises OSError if the folder cannot be read; bytes that the disk cannot read count as damage.
    """
    found = Recovered()
    names = folder.names()
    present = file_numbers(names)
    headers = {number: read_segment_header(folder, number) for number in present}
    for name in names:
        if name.endswith(".seg") and not (name[:8].isdigit() and len(name) == 12):
            report(f"{name} is not a segment of this journal; ignored")
    for number, header in list(headers.items()):
        if header is not None and header.number != number:
            report(f"{segment_name(number)} is a copy of segment {header.number} and is left out")
            present.remove(number)
            del headers[number]
    found.last_segment = max([*present, 0])
    newest = max((number for number, header in headers.items() if header and header.version == VERSION), default=0)
    newest_header = headers.get(newest)
    expected, lengths = find_live_segments(folder, found, present, newest_header, newest, report)
    lost_since = 0
    for number in sorted(expected):
        header = headers.get(number)
        if number not in present:
            report(
                FolderDamagedError(
                    f"{segment_name(number)} is missing: what it held is lost, "
                    f"{len(found.segment_index.messages)} messages are put in doubt"
                ).line
            )
            mark_records_lost(found, lost_since)
            continue
        lost_since = header.created_at if header else lost_since
        read_segment(folder, found, number, header, lengths.get(number), number == max(expected), lost_since, report)
    if newest_header is not None:
        found.next_message = max(found.next_message, newest_header.next_message)
        found.last_legacy_file = newest_header.last_legacy_file
    return found


def find_live_segments(
    folder: Folder, found: Recovered, present: list[int], newest_header: Header | None, newest: int, report: Report
) -> tuple[set[int], dict[int, int]]:
    """Return the numbers of the segments that should exist, and the valid bytes of the sealed ones."""
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
        if not records:  # its creation was interrupted, so nothing in it was acknowledged
            expected.discard(number)
            found.leftover_files.append(segment_name(number))
    if found.leftover_files:
        report(f"left over and not needed: {', '.join(found.leftover_files)}")
    return expected, lengths


def read_segment_header(folder: Folder, number: int) -> Header | None:
    """Return the header of a segment; None if it has no readable header."""
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
    is_newest: bool,
    lost_since: int,
    report: Report,
) -> None:
    """Replay one segment; after damage, all messages live at that point may have unrecorded attempts.

    Args:
        folder: the folder of the segment.
        found: the state to which the records are applied.
        number: the segment's number.
        header: its header; None if it cannot be read.
        length: its valid bytes as recorded when it was sealed; None if unknown.
        is_newest: whether it is the newest segment.
        lost_since: the time from which records may be lost.
        report: called with each finding.
    """
    name = segment_name(number)
    file_bytes = folder.size(name)
    segment = Segment(number, header.created_at if header else lost_since, file_bytes=file_bytes)
    found.segment_index.add_segment(segment)
    if header is not None and header.version != VERSION:
        report(
            StoreVersionError(
                f"{name} is of version {header.version}, this program knows {VERSION}: it is left alone, and "
                f"{len(found.segment_index.messages)} messages are put in doubt"
            ).line
        )
        segment.other_version = True
        found.segment_index.live_bytes += file_bytes
        segment.valid_bytes = file_bytes
        mark_records_lost(found, lost_since)
        return
    if length is not None and file_bytes < length:
        report(FolderDamagedError(f"{name} is cut off at {file_bytes} of {length} bytes").line)
        mark_records_lost(found, lost_since)
    valid_end = 0
    for each in read_records(folder, name, length):
        if isinstance(each, Frame):
            found.record_count += 1
            segment.header_bytes = segment.header_bytes or FRAME_HEADER.size + len(each.payload)
            valid_end = each.offset + FRAME_HEADER.size + len(each.payload)
            replay(found, segment, each, report)
            continue
        if is_newest and each.end_offset >= file_bytes and header is not None:
            # A write that was interrupted when the process ended; it was not acknowledged, so nothing is lost.
            report(f"{name}: {each.end_offset - each.offset} bytes of a last record that was cut off are left out")
            continue
        if header is None and each.offset == 0 and not is_newest:
            report(FolderDamagedError(f"{name}: the header cannot be read").line)
        report(
            FolderDamagedError(
                f"{name}: bytes {each.offset} to {each.end_offset} are damaged; "
                f"{len(found.segment_index.messages)} messages are put in doubt"
            ).line
        )
        mark_records_lost(found, lost_since)
    segment.valid_bytes = valid_end
    if is_newest and header is not None:
        found.newest_valid_bytes = valid_end


def mark_records_lost(found: Recovered, since: int) -> None:
    """Mark every live message: records since then are lost, so an unrecorded attempt may have run."""
    found.damaged = True
    for stored in found.segment_index.messages.values():
        stored.records_lost_since = min(filter(None, (stored.records_lost_since, since)), default=1)


def replay(found: Recovered, segment: Segment, record: Frame, report: Report) -> None:
    """Apply a record to the state; one that cannot be decoded is passed to `report` and skipped."""
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
            affected = segment_index.messages.get(STATE_HEAD.unpack_from(payload)[1])
            if affected is not None:
                affected.records_lost_since = min(
                    filter(None, (affected.records_lost_since, segment.created_at)), default=1
                )
        return
    try:
        if kind == MESSAGE:
            message = decode_message(payload, segment.number, record.offset)
            found.next_message = max(found.next_message, message.number + 1)
            found.message_ids.append(message.id)
            apply_message(segment_index, segment, message)
            return
        number = STATE_HEAD.unpack_from(payload)[1]
        stored = segment_index.messages.get(number)
        if stored is None:
            if kind == FINISHED or kind == OUTCOME and OUTCOMES[OUTCOME_BODY.unpack(payload)[2]] is Outcome.COMPLETED:
                segment_index.move_end_record(number, segment)
            return  # the message is finished, or its full record is lost
        apply_short_record(segment_index, segment, stored, kind, payload)
    except (InvalidRecordError, ValueError, IndexError) as error:
        report(
            InvalidRecordError(
                f"{segment_name(segment.number)}: cannot decode the record at {record.offset}: {error}"
            ).line
        )
    except Exception as error:  # struct.error, which is not a ValueError
        report(
            InvalidRecordError(
                f"{segment_name(segment.number)}: the record at {record.offset} has a wrong length: {error}"
            ).line
        )


def apply_message(segment_index: SegmentIndex, segment: Segment, message: StoredMessage) -> None:
    """Apply a full record of a message, which replaces older ones; `records_lost_since` carries over."""
    previous = segment_index.messages.get(message.number)
    body_offset, record_size = message.body_offset, message.record_size
    if previous is not None:
        message.records_lost_since = min(
            filter(None, (previous.records_lost_since, message.records_lost_since)), default=0
        )
        message.segment_number, message.record_size, message.short_record_segments = (
            previous.segment_number,
            previous.record_size,
            previous.short_record_segments,
        )
    else:
        message.segment_number = message.record_size = 0
    segment_index.add_full_record(message, segment, body_offset, record_size)


def apply_short_record(
    segment_index: SegmentIndex, segment: Segment, stored: StoredMessage, kind: int, payload: bytes
) -> None:
    """Apply a short record about a live message."""
    if kind == STATE:
        apply_state(stored, payload, STATE_HEAD.size)
        segment_index.add_short_record(stored, segment, is_full_state=True)
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
    """Yield the records of a file up to offset `until` (None: all); unreadable sectors count as damage."""
    try:
        file = folder.open(name, append=False)
    except OSError:
        return
    try:
        size = folder.size(name)
        end = size if until is None else min(size, until)
        buffer, buffer_offset = b"", 0
        while True:
            at = buffer_offset + len(buffer)
            part = read_replacing_bad_sectors(folder, file, min(CHUNK_BYTES, end - at), at) if at < end else b""
            buffer += part
            is_last_chunk = not part or at + len(part) >= end
            consumed_offset = buffer_offset
            for each in scan_frames(buffer, buffer_offset, is_last_chunk):
                consumed_offset = (
                    each.offset + FRAME_HEADER.size + len(each.payload) if isinstance(each, Frame) else each.end_offset
                )
                yield each
            if is_last_chunk:
                return
            buffer, buffer_offset = buffer[consumed_offset - buffer_offset :], consumed_offset
    finally:
        folder.close(file)


def read_replacing_bad_sectors(folder: Folder, file: int, size: int, at: int) -> bytes:
    """Read bytes of a file; unreadable sectors are replaced by zeros, which are never a valid record."""
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
