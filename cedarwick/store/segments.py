"""The index of the journal: which records of each segment are still needed. No I/O; sizes and offsets are in bytes.

Used by `journal.py`, `compaction.py` and `recovery.py`. A segment may be deleted once it holds none of these:

- the newest full record of a live (unfinished) message (`bases`);
- short records of a message's attempts or end that its newest record does not include (`notes`);
- the record of an end, as long as an older record of the message is in another segment (`tombstones`): without it
  that older record would bring the message back at the next start;
- records that this version does not know (`unknown`).
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from cedarwick.store.compaction_planner import round_up_to_blocks
from cedarwick.store.records import FINISHED_RECORD_BYTES, STATE_RECORD_BYTES, StoredMessage


@dataclass(slots=True, eq=False)
class Segment:
    """One file of the journal and the message numbers of the records in it."""

    number: int
    created_at: int
    valid_bytes: int = 0  # bytes of valid records
    file_bytes: int = 0  # bytes of the file; more than the size where a write was cut short
    header_bytes: int = 0  # bytes of its header
    full_records: set[int] = field(default_factory=set)
    full_record_bytes: int = 0  # bytes of the bases
    short_records: set[int] = field(default_factory=set)
    tombstones: set[int] = field(default_factory=set)
    ended: set[int] = field(default_factory=set)  # messages whose end is recorded, with an older record here
    moved: set[int] = field(default_factory=set)  # messages whose newest record is elsewhere, with an older one here
    unknown_records: list[tuple[int, int]] = field(default_factory=list)  # offset and length of payloads
    unknown_bytes: int = 0
    other_version: bool = False  # written by another version: never changed or deleted
    descriptor: int = -1  # descriptor for reading; -1: not open

    @property
    def live_bytes(self) -> int:
        """Bytes that must be written to another segment before this one can be deleted."""
        if self.other_version:
            return self.file_bytes
        return (
            self.full_record_bytes
            + STATE_RECORD_BYTES * len(self.short_records)
            + FINISHED_RECORD_BYTES * len(self.tombstones)
            + self.unknown_bytes
        )

    @property
    def is_obsolete(self) -> bool:
        """Whether no record in it is needed any more."""
        return not (
            self.other_version or self.full_records or self.short_records or self.tombstones or self.unknown_records
        )

    def growth(self, size: int) -> int:
        """Bytes in whole blocks by which the file grows when `size` bytes are appended."""
        return round_up_to_blocks(self.file_bytes + size) - round_up_to_blocks(self.file_bytes)


class SegmentIndex:
    """All segments, all live messages, and the ends whose record is still needed."""

    def __init__(self) -> None:
        self.segments: dict[int, Segment] = {}
        self.messages: dict[int, StoredMessage] = {}
        # By message: the segment with the record of its end, and the segments with an older record of it.
        self.tombstones: dict[int, tuple[int, set[int]]] = {}
        self.live_bytes = 0  # sum of all segments' live bytes
        self.largest_record_bytes = 0  # bytes of the largest record seen
        self.segments_with_moved: set[int] = set()  # segments with older records of messages moved elsewhere
        self.short_record_count = 0  # number of notes in all segments

    def add_segment(self, segment: Segment) -> None:
        """Add a segment that was begun or found."""
        self.segments[segment.number] = segment
        self.live_bytes += segment.live_bytes

    def add_full_record(self, stored: StoredMessage, segment: Segment, at: int, weight: int) -> None:
        """Register a full record of a message, `weight` bytes long, in `segment`; `at`: offset of the body."""
        with_old = self.segments.get(stored.segment_number)
        self.remove_short_records(stored)
        if with_old is not None and with_old.number != segment.number:
            self._remove_full_record(with_old, stored)
            with_old.moved.add(stored.number)
            self.segments_with_moved.add(with_old.number)
        elif with_old is not None:
            self._remove_full_record(with_old, stored)
        stored.segment_number, stored.body_offset, stored.record_size = segment.number, at, weight
        segment.full_records.add(stored.number)
        segment.full_record_bytes += weight
        self.live_bytes += weight
        self.largest_record_bytes = max(self.largest_record_bytes, weight)
        self.messages[stored.number] = stored

    def add_short_record(self, stored: StoredMessage, segment: Segment, whole: bool = False) -> None:
        """Register a short record; `whole`: it holds the full state, so that older short records are not needed."""
        if whole:
            self.remove_short_records(stored)
        if segment.number not in stored.short_record_segments:
            stored.short_record_segments.append(segment.number)
            segment.short_records.add(stored.number)
            self.short_record_count += 1
            self.live_bytes += STATE_RECORD_BYTES

    def remove_short_records(self, stored: StoredMessage) -> None:
        """Remove all short records of a message from the index."""
        for number in stored.short_record_segments:
            segment = self.segments.get(number)
            if segment is not None and stored.number in segment.short_records:
                segment.short_records.discard(stored.number)
                self.short_record_count -= 1
                self.live_bytes -= STATE_RECORD_BYTES
        stored.short_record_segments.clear()

    def remove_message(self, stored: StoredMessage) -> set[int]:
        """Remove a message that has ended; returns the numbers of the segments that hold a full record of it."""
        self.messages.pop(stored.number, None)
        self.remove_short_records(stored)
        holders = {number for number in self.segments_with_moved if stored.number in self.segments[number].moved}
        home = self.segments.get(stored.segment_number)
        if home is not None:
            self._remove_full_record(home, stored)
            holders.add(home.number)
        return holders

    def add_end_record(self, number: int, holders: set[int], segment: Segment) -> None:
        """Register the record of an end; it is needed while `holders` other than `segment` exist."""
        holders = {each for each in holders if each in self.segments}
        if not holders - {segment.number}:
            return
        for each in holders:
            self.segments[each].ended.add(number)
        self._add_tombstone(number, segment, holders)

    def move_end_record(self, number: int, segment: Segment) -> None:
        """Register that the record of an end was written again, in `segment`."""
        before = self.tombstones.get(number)
        if before is None:
            return
        self._remove_tombstone(number)
        if before[1] - {segment.number}:
            self._add_tombstone(number, segment, before[1])

    def remove_segment(self, segment: Segment) -> None:
        """Remove a segment with every record in it; ends that only it needed are forgotten."""
        self.live_bytes -= segment.live_bytes
        del self.segments[segment.number]
        self.segments_with_moved.discard(segment.number)
        for number in segment.ended:
            place = self.tombstones.get(number)
            if place is None:
                continue
            place[1].discard(segment.number)
            if not place[1] - {place[0]}:
                self._remove_tombstone(number)

    def add_unknown_record(self, segment: Segment, at: int, size: int) -> None:
        """Register a record of unknown kind: the offset and size in bytes of its payload."""
        segment.unknown_records.append((at, size))
        segment.unknown_bytes += size
        self.live_bytes += size

    def expected_short_record_bytes(self) -> int:
        """Bytes that short records of live messages may still need, beyond those written."""
        return max(0, len(self.messages) - self.short_record_count) * STATE_RECORD_BYTES

    def check_consistency(self) -> None:
        """Check the sums and cross-references, for tests and `store verify`; raises AssertionError."""
        assert self.live_bytes == sum(segment.live_bytes for segment in self.segments.values())
        assert self.short_record_count == sum(len(segment.short_records) for segment in self.segments.values())
        for segment in self.segments.values():
            assert segment.full_record_bytes == sum(
                self.messages[number].record_size for number in segment.full_records
            )
            assert all(self.messages[number].segment_number == segment.number for number in segment.full_records)
            assert all(
                segment.number in self.messages[number].short_record_segments for number in segment.short_records
            )
            assert all(self.tombstones[number][0] == segment.number for number in segment.tombstones)
        assert all(self.segments[stored.segment_number] for stored in self.messages.values())

    def records_to_move(self, segment: Segment) -> list[int]:
        """The numbers of the messages whose records in a segment must be moved."""
        return [*segment.full_records, *(segment.short_records - segment.full_records), *segment.tombstones]

    def _remove_full_record(self, segment: Segment, stored: StoredMessage) -> None:
        """Remove the newest record of a message from this segment."""
        if stored.number in segment.full_records:
            segment.full_records.discard(stored.number)
            segment.full_record_bytes -= stored.record_size
            self.live_bytes -= stored.record_size

    def _add_tombstone(self, number: int, segment: Segment, holders: set[int]) -> None:
        self.tombstones[number] = segment.number, holders
        segment.tombstones.add(number)
        self.live_bytes += FINISHED_RECORD_BYTES

    def _remove_tombstone(self, number: int) -> None:
        segment = self.segments.get(self.tombstones.pop(number)[0])
        if segment is not None and number in segment.tombstones:
            segment.tombstones.discard(number)
            self.live_bytes -= FINISHED_RECORD_BYTES


Report = Callable[[str], None]
