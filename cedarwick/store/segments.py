"""The index of the journal: which records of each segment are still needed. No I/O; sizes and offsets are in bytes.

Used by `journal.py`, `compaction.py` and `recovery.py`. A segment may be deleted once it holds none of these:

- the newest full record of a live (unfinished) message (`full_records`);
- short records about a message's attempts or final answer that are newer than its full record (`short_records`);
- the end record of a finished message, as long as another segment holds an older record of it (`tombstones`): without
  the end record, the older record would restore the message at the next start;
- records of kinds that this version does not know (`unknown_records`).
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from cedarwick.store.compaction_planner import round_up_to_blocks
from cedarwick.store.records import FINISHED_RECORD_BYTES, STATE_RECORD_BYTES, StoredMessage


@dataclass(slots=True, eq=False)
class Segment:
    """A file of the journal and the message numbers of the records in it."""

    number: int
    created_at: int
    valid_bytes: int = 0  # end of the last valid record
    file_bytes: int = 0  # size of the file; more than `valid_bytes` after a partial write
    header_bytes: int = 0
    full_records: set[int] = field(default_factory=set)
    full_record_bytes: int = 0
    short_records: set[int] = field(default_factory=set)
    tombstones: set[int] = field(default_factory=set)
    ended: set[int] = field(default_factory=set)  # finished messages with an older record here
    moved: set[int] = field(default_factory=set)  # messages with an older full record here and a newer one elsewhere
    unknown_records: list[tuple[int, int]] = field(default_factory=list)  # offset and size of payloads
    unknown_bytes: int = 0
    other_version: bool = False  # written by another version of the program; never changed or deleted
    descriptor: int = -1  # for reading; -1: not open

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
        """Whether none of its records is needed any more."""
        return not (
            self.other_version or self.full_records or self.short_records or self.tombstones or self.unknown_records
        )

    def growth(self, size: int) -> int:
        """Return the bytes, in whole blocks, by which the file grows when `size` bytes are appended."""
        return round_up_to_blocks(self.file_bytes + size) - round_up_to_blocks(self.file_bytes)


class SegmentIndex:
    """All segments, all live messages, and the end records that are still needed."""

    def __init__(self) -> None:
        self.segments: dict[int, Segment] = {}
        self.messages: dict[int, StoredMessage] = {}
        # By message: the segment with its end record, and the segments that hold older records of it.
        self.tombstones: dict[int, tuple[int, set[int]]] = {}
        self.live_bytes = 0  # of all segments
        self.largest_record_bytes = 0  # of the largest full record so far
        self.segments_with_moved: set[int] = set()  # segments with a non-empty `moved`
        self.short_record_count = 0  # in all segments

    def add_segment(self, segment: Segment) -> None:
        """Add a new or recovered segment."""
        self.segments[segment.number] = segment
        self.live_bytes += segment.live_bytes

    def add_full_record(self, stored: StoredMessage, segment: Segment, body_offset: int, record_size: int) -> None:
        """Register a full record of a message in `segment`, `record_size` bytes long."""
        old_segment = self.segments.get(stored.segment_number)
        self.remove_short_records(stored)
        if old_segment is not None and old_segment.number != segment.number:
            self._remove_full_record(old_segment, stored)
            old_segment.moved.add(stored.number)
            self.segments_with_moved.add(old_segment.number)
        elif old_segment is not None:
            self._remove_full_record(old_segment, stored)
        stored.segment_number, stored.body_offset, stored.record_size = segment.number, body_offset, record_size
        segment.full_records.add(stored.number)
        segment.full_record_bytes += record_size
        self.live_bytes += record_size
        self.largest_record_bytes = max(self.largest_record_bytes, record_size)
        self.messages[stored.number] = stored

    def add_short_record(self, stored: StoredMessage, segment: Segment, is_full_state: bool = False) -> None:
        """Register a short record; `is_full_state`: it replaces all older short records of the message."""
        if is_full_state:
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
        """Remove a finished message; returns the numbers of the segments that hold a full record of it."""
        self.messages.pop(stored.number, None)
        self.remove_short_records(stored)
        holders = {number for number in self.segments_with_moved if stored.number in self.segments[number].moved}
        holder = self.segments.get(stored.segment_number)
        if holder is not None:
            self._remove_full_record(holder, stored)
            holders.add(holder.number)
        return holders

    def add_end_record(self, number: int, holders: set[int], segment: Segment) -> None:
        """Register an end record; it is needed while `holders` contains a segment other than `segment`."""
        holders = {each for each in holders if each in self.segments}
        if not holders - {segment.number}:
            return
        for each in holders:
            self.segments[each].ended.add(number)
        self._add_tombstone(number, segment, holders)

    def move_end_record(self, number: int, segment: Segment) -> None:
        """Register that an end record was written again, in `segment`."""
        tombstone = self.tombstones.get(number)
        if tombstone is None:
            return
        self._remove_tombstone(number)
        if tombstone[1] - {segment.number}:
            self._add_tombstone(number, segment, tombstone[1])

    def remove_segment(self, segment: Segment) -> None:
        """Remove a segment with its records, and the end records that only it still required."""
        self.live_bytes -= segment.live_bytes
        del self.segments[segment.number]
        self.segments_with_moved.discard(segment.number)
        for number in segment.ended:
            tombstone = self.tombstones.get(number)
            if tombstone is None:
                continue
            tombstone[1].discard(segment.number)
            if not tombstone[1] - {tombstone[0]}:
                self._remove_tombstone(number)

    def add_unknown_record(self, segment: Segment, at: int, size: int) -> None:
        """Register a record of unknown kind with a payload of `size` bytes at offset `at`."""
        segment.unknown_records.append((at, size))
        segment.unknown_bytes += size
        self.live_bytes += size

    def expected_short_record_bytes(self) -> int:
        """Return the bytes that short records of live messages may still need, beyond those already written."""
        return max(0, len(self.messages) - self.short_record_count) * STATE_RECORD_BYTES

    def check_consistency(self) -> None:
        """Check the sums and cross-references; raises AssertionError. For tests and `store verify`."""
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
        """Return the numbers of the messages whose records must be moved out of a segment."""
        return [*segment.full_records, *(segment.short_records - segment.full_records), *segment.tombstones]

    def _remove_full_record(self, segment: Segment, stored: StoredMessage) -> None:
        """Remove the full record of a message from a segment's index."""
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
