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
from cedarwick.store.files import Folder, numbers, segment_name
from cedarwick.store.records import (
    ATTEMPT,
    ATTEMPT_BODY,
    DROP,
    END,
    END_BODY,
    FRAME,
    HARMLESS,
    HEADER,
    MESSAGE,
    OUTCOME,
    OUTCOME_BODY,
    OUTCOMES,
    OVER,
    OVER_BODY,
    SHORTEST,
    STATE,
    STATE_HEAD,
    VERSION,
    DamagedRange,
    Frame,
    Header,
    InvalidRecordError,
    StoredMessage,
    apply_state,
    read_header,
    read_message,
    scan,
)
from cedarwick.store.segments import Say, Segment, SegmentIndex

CHUNK = 1 << 20  # bytes read at once
SECTOR = 1 << 12  # bytes read at once where the disk reports an error


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
    old_until: int = 0
    last: int = 0  # the highest segment number seen, live or not
    leftover: list[str] = field(default_factory=list)  # files that can be deleted
    tail: int = -1  # valid bytes of the newest segment; -1: nothing may be appended to it
    damaged: bool = False
    records: int = 0
    unknown_records: int = 0


def recover(folder: Folder, say: Say) -> Recovered:
    """Replay a folder and return its state; each finding is passed to `say` as one line.

    Raises OSError if the folder cannot be read; bytes that the disk cannot read count as damage.
    """
    found = Recovered()
    names = folder.names()
    present = numbers(names)
    headers = {number: first_header(folder, number) for number in present}
    for name in names:
        if name.endswith(".seg") and not (name[:8].isdigit() and len(name) == 12):
            say(f"{name} is no segment of this journal and is left alone")
    for number, made in list(headers.items()):
        if made is not None and made.number != number:
            say(f"{segment_name(number)} is a copy of segment {made.number} and is left out")
            present.remove(number)
            del headers[number]
    found.last = max([*present, 0])
    newest = max((number for number, made in headers.items() if made and made.version == VERSION), default=0)
    top = headers.get(newest)
    expected, lengths = live_segments(folder, found, present, top, newest, say)
    doubt_from = 0
    for number in sorted(expected):
        made = headers.get(number)
        if number not in present:
            say(
                FolderDamagedError(
                    f"{segment_name(number)} is missing: what it held is lost, "
                    f"{len(found.segment_index.messages)} messages are put in doubt"
                ).line
            )
            put_in_doubt(found, doubt_from)
            continue
        doubt_from = made.made_at if made else doubt_from
        read_segment(folder, found, number, made, lengths.get(number), number == max(expected), doubt_from, say)
    if top is not None:
        found.next_message = max(found.next_message, top.next_message)
        found.old_until = top.old_until
    return found


def live_segments(
    folder: Folder, found: Recovered, present: list[int], top: Header | None, newest: int, say: Say
) -> tuple[set[int], dict[int, int]]:
    """The numbers of the segments that should exist, and the valid lengths in bytes of those that were sealed."""
    expected, lengths = set(present), {}
    if top is not None:
        lengths = dict(top.others)
        expected = {newest, *lengths} | {number for number in present if number > newest}
        for each in read_through(folder, segment_name(newest), None):
            if isinstance(each, Frame) and each.payload[0] == DROP and len(each.payload) == OVER_BODY.size:
                expected.discard(OVER_BODY.unpack(each.payload)[1])
        found.leftover = [segment_name(number) for number in present if number not in expected]
    for number in [number for number in expected if number > newest and number in present]:
        records = [each for each in read_through(folder, segment_name(number), None) if isinstance(each, Frame)]
        if not records:  # its creation was interrupted, so it holds nothing that was acknowledged
            expected.discard(number)
            found.leftover.append(segment_name(number))
    if found.leftover:
        say(f"left over and not needed: {', '.join(found.leftover)}")
    return expected, lengths


def first_header(folder: Folder, number: int) -> Header | None:
    """The header of a segment; None if it has none that can be read."""
    for each in read_through(folder, segment_name(number), None):
        if isinstance(each, Frame) and each.at == 0 and each.payload[0] == HEADER:
            try:
                return read_header(each.payload)
            except InvalidRecordError:
                return None
        return None
    return None


def read_segment(
    folder: Folder,
    found: Recovered,
    number: int,
    made: Header | None,
    length: int | None,
    last: bool,
    doubt_from: int,
    say: Say,
) -> None:
    """Replay one segment; damage in it puts all messages live at that point in doubt.

    `length`: the valid bytes recorded when it was sealed, None if unknown; `last`: it is the newest segment;
    `doubt_from`: wall-clock microseconds, the time from which records may be lost.
    """
    name = segment_name(number)
    physical = folder.size(name)
    segment = Segment(number, made.made_at if made else doubt_from, physical=physical)
    found.segment_index.add(segment)
    if made is not None and made.version != VERSION:
        say(
            StoreVersionError(
                f"{name} is of version {made.version}, this program knows {VERSION}: it is left alone, and "
                f"{len(found.segment_index.messages)} messages are put in doubt"
            ).line
        )
        segment.foreign = True
        found.segment_index.live += physical
        segment.size = physical
        put_in_doubt(found, doubt_from)
        return
    if length is not None and physical < length:
        say(FolderDamagedError(f"{name} is cut off at {physical}, {length} bytes were written").line)
        put_in_doubt(found, doubt_from)
    ended = 0
    for each in read_through(folder, name, length):
        if isinstance(each, Frame):
            found.records += 1
            segment.head = segment.head or FRAME.size + len(each.payload)
            ended = each.at + FRAME.size + len(each.payload)
            replay(found, segment, each, say)
            continue
        if last and each.until >= physical and made is not None:
            # A write interrupted by the end of the process: it was never acknowledged, so nothing is lost.
            say(f"{name}: {each.until - each.at} bytes of a last record that was cut off are left out")
            continue
        if made is None and each.at == 0 and not last:
            say(FolderDamagedError(f"{name}: the header cannot be read").line)
        say(
            FolderDamagedError(
                f"{name}: bytes {each.at} to {each.until} are damaged; "
                f"{len(found.segment_index.messages)} messages are put in doubt"
            ).line
        )
        put_in_doubt(found, doubt_from)
    segment.size = ended
    if last and made is not None:
        found.tail = ended


def put_in_doubt(found: Recovered, since: int) -> None:
    """Mark every live message: records since `since` are lost, so an attempt may have run without a record."""
    found.damaged = True
    for stored in found.segment_index.messages.values():
        stored.doubt_at = min(filter(None, (stored.doubt_at, since)), default=1)


def replay(found: Recovered, segment: Segment, record: Frame, say: Say) -> None:
    """Apply one record to the state; one that cannot be decoded is reported to `say` and skipped."""
    payload, segment_index = record.payload, found.segment_index
    kind = payload[0]
    if kind in (HEADER, DROP):
        return
    if kind > DROP:
        found.unknown_records += 1
        if found.unknown_records == 1:
            say(f"{segment_name(segment.number)}: a record of the unknown kind {kind} at {record.at} is retained")
        segment_index.add_unknown(segment, record.at + FRAME.size, len(payload))
        if kind < HARMLESS and len(payload) >= SHORTEST:
            doubtful = segment_index.messages.get(STATE_HEAD.unpack_from(payload)[1])
            if doubtful is not None:
                doubtful.doubt_at = min(filter(None, (doubtful.doubt_at, segment.made_at)), default=1)
        return
    try:
        if kind == MESSAGE:
            fresh = read_message(payload, segment.number, record.at)
            found.next_message = max(found.next_message, fresh.number + 1)
            apply_message(segment_index, segment, fresh)
            return
        number = STATE_HEAD.unpack_from(payload)[1]
        stored = segment_index.messages.get(number)
        if stored is None:
            if kind == OVER or kind == OUTCOME and OUTCOMES[OUTCOME_BODY.unpack(payload)[2]] is Outcome.COMPLETED:
                segment_index.end_rewritten(number, segment)
            return  # the message has ended, or its own record is lost
        apply_short_record(segment_index, segment, stored, kind, payload)
    except (InvalidRecordError, ValueError, IndexError) as error:
        say(
            InvalidRecordError(
                f"{segment_name(segment.number)}: the record at {record.at} cannot be read: {error}"
            ).line
        )
    except Exception as error:  # struct.error, which is no ValueError
        say(
            InvalidRecordError(
                f"{segment_name(segment.number)}: the record at {record.at} has a wrong length: {error}"
            ).line
        )


def apply_message(segment_index: SegmentIndex, segment: Segment, fresh: StoredMessage) -> None:
    """Apply a full record of a message, which replaces older ones; doubt is carried over."""
    before = segment_index.messages.get(fresh.number)
    at, weight = fresh.at, fresh.weight
    if before is not None:
        fresh.doubt_at = min(filter(None, (before.doubt_at, fresh.doubt_at)), default=0)
        fresh.home, fresh.weight, fresh.noted = before.home, before.weight, before.noted
    else:
        fresh.home = fresh.weight = 0
    segment_index.message_written(fresh, segment, at, weight)


def apply_short_record(
    segment_index: SegmentIndex, segment: Segment, stored: StoredMessage, kind: int, payload: bytes
) -> None:
    """Apply a short record about a live message."""
    if kind == STATE:
        apply_state(stored, payload, STATE_HEAD.size)
        segment_index.note_written(stored, segment, whole=True)
        return
    if kind == OVER:
        segment_index.end_written(stored.number, segment_index.message_over(stored), segment)
        return
    if kind == ATTEMPT:
        _, _, sent_at, zone = ATTEMPT_BODY.unpack(payload)
        stored.attempt(sent_at, zone)
    elif kind == OUTCOME:
        outcome = OUTCOMES[OUTCOME_BODY.unpack(payload)[2]]
        stored.outcome(outcome.never_ran)
    elif kind == END:
        _, _, rejected, wait = END_BODY.unpack(payload)
        stored.end = (bool(rejected), wait)
    segment_index.note_written(stored, segment)


def read_through(folder: Folder, name: str, until: int | None) -> Iterator[Frame | DamagedRange]:
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
            part = read_part(folder, file, min(CHUNK, end - at), at) if at < end else b""
            held += part
            whole = not part or at + len(part) >= end
            used = begin
            for each in scan(held, begin, whole):
                used = each.at + FRAME.size + len(each.payload) if isinstance(each, Frame) else each.until
                yield each
            if whole:
                return
            held, begin = held[used - begin :], used
    finally:
        folder.close(file)


def read_part(folder: Folder, file: int, size: int, at: int) -> bytes:
    """Read bytes of a file; sectors that cannot be read are replaced by zeros, which are never a valid record."""
    try:
        return folder.read(file, size, at)
    except OSError:
        parts = []
        for begin in range(at, at + size, SECTOR):
            wanted = min(SECTOR, at + size - begin)
            try:
                parts.append(folder.read(file, wanted, begin).ljust(wanted, b"\0"))
            except OSError:
                parts.append(bytes(wanted))
        return b"".join(parts)
