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

from cedarwick.store.compaction_planner import blocks
from cedarwick.store.records import OVER_RECORD_BYTES, STATE_RECORD_BYTES, StoredMessage


@dataclass(slots=True, eq=False)
class Segment:
    """One file of the journal and the message numbers of the records in it."""

    number: int
    made_at: int
    size: int = 0  # bytes of valid records
    physical: int = 0  # bytes of the file; more than the size where a write was cut short
    head: int = 0  # bytes of its header
    bases: set[int] = field(default_factory=set)
    weight: int = 0  # bytes of the bases
    notes: set[int] = field(default_factory=set)
    tombstones: set[int] = field(default_factory=set)
    dead: set[int] = field(default_factory=set)  # messages whose end is recorded, with an older record here
    moved: set[int] = field(default_factory=set)  # messages whose newest record is elsewhere, with an older one here
    unknown: list[tuple[int, int]] = field(default_factory=list)  # offset and length of payloads
    unknown_bytes: int = 0
    foreign: bool = False  # written by another version: never changed or deleted
    file: int = -1  # descriptor for reading; -1: not open

    @property
    def live(self) -> int:
        """Bytes that must be written to another segment before this one can be deleted."""
        if self.foreign:
            return self.physical
        return (
            self.weight
            + STATE_RECORD_BYTES * len(self.notes)
            + OVER_RECORD_BYTES * len(self.tombstones)
            + self.unknown_bytes
        )

    @property
    def done(self) -> bool:
        """Whether no record in it is needed any more."""
        return not (self.foreign or self.bases or self.notes or self.tombstones or self.unknown)

    def growth(self, size: int) -> int:
        """Bytes in whole blocks by which the file grows when `size` bytes are appended."""
        return blocks(self.physical + size) - blocks(self.physical)


class SegmentIndex:
    """All segments, all live messages, and the ends whose record is still needed."""

    def __init__(self) -> None:
        self.segments: dict[int, Segment] = {}
        self.messages: dict[int, StoredMessage] = {}
        # By message: the segment with the record of its end, and the segments with an older record of it.
        self.tombstones: dict[int, tuple[int, set[int]]] = {}
        self.live = 0  # sum of all segments' live bytes
        self.largest = 0  # bytes of the largest record seen
        self.moving: set[int] = set()  # segments with older records of messages moved elsewhere
        self.notes = 0  # number of notes in all segments

    def add(self, segment: Segment) -> None:
        """Add a segment that was begun or found."""
        self.segments[segment.number] = segment
        self.live += segment.live

    def message_written(self, stored: StoredMessage, segment: Segment, at: int, weight: int) -> None:
        """Register a full record of a message, `weight` bytes long, in `segment`; `at`: offset of the body."""
        with_old = self.segments.get(stored.home)
        self.clear_notes(stored)
        if with_old is not None and with_old.number != segment.number:
            self._subtract_base(with_old, stored)
            with_old.moved.add(stored.number)
            self.moving.add(with_old.number)
        elif with_old is not None:
            self._subtract_base(with_old, stored)
        stored.home, stored.at, stored.weight = segment.number, at, weight
        segment.bases.add(stored.number)
        segment.weight += weight
        self.live += weight
        self.largest = max(self.largest, weight)
        self.messages[stored.number] = stored

    def note_written(self, stored: StoredMessage, segment: Segment, whole: bool = False) -> None:
        """Register a short record; `whole`: it holds the full state, so that older short records are not needed."""
        if whole:
            self.clear_notes(stored)
        if segment.number not in stored.noted:
            stored.noted.append(segment.number)
            segment.notes.add(stored.number)
            self.notes += 1
            self.live += STATE_RECORD_BYTES

    def clear_notes(self, stored: StoredMessage) -> None:
        """Remove all short records of a message from the index."""
        for number in stored.noted:
            segment = self.segments.get(number)
            if segment is not None and stored.number in segment.notes:
                segment.notes.discard(stored.number)
                self.notes -= 1
                self.live -= STATE_RECORD_BYTES
        stored.noted.clear()

    def message_over(self, stored: StoredMessage) -> set[int]:
        """Remove a message that has ended; returns the numbers of the segments that hold a full record of it."""
        self.messages.pop(stored.number, None)
        self.clear_notes(stored)
        holders = {number for number in self.moving if stored.number in self.segments[number].moved}
        home = self.segments.get(stored.home)
        if home is not None:
            self._subtract_base(home, stored)
            holders.add(home.number)
        return holders

    def end_written(self, number: int, holders: set[int], segment: Segment) -> None:
        """Register the record of an end; it is needed while `holders` other than `segment` exist."""
        holders = {each for each in holders if each in self.segments}
        if not holders - {segment.number}:
            return
        for each in holders:
            self.segments[each].dead.add(number)
        self._add_tombstone(number, segment, holders)

    def end_rewritten(self, number: int, segment: Segment) -> None:
        """Register that the record of an end was written again, in `segment`."""
        before = self.tombstones.get(number)
        if before is None:
            return
        self._remove_tombstone(number)
        if before[1] - {segment.number}:
            self._add_tombstone(number, segment, before[1])

    def dropped(self, segment: Segment) -> None:
        """Remove a segment with every record in it; ends that only it needed are forgotten."""
        self.live -= segment.live
        del self.segments[segment.number]
        self.moving.discard(segment.number)
        for number in segment.dead:
            place = self.tombstones.get(number)
            if place is None:
                continue
            place[1].discard(segment.number)
            if not place[1] - {place[0]}:
                self._remove_tombstone(number)

    def add_unknown(self, segment: Segment, at: int, size: int) -> None:
        """Register a record of unknown kind: the offset and size in bytes of its payload."""
        segment.unknown.append((at, size))
        segment.unknown_bytes += size
        self.live += size

    def promised_bytes(self) -> int:
        """Bytes that short records of live messages may still need, beyond those written."""
        return max(0, len(self.messages) - self.notes) * STATE_RECORD_BYTES

    def check(self) -> None:
        """Check the sums and cross-references, for tests and `store verify`; raises AssertionError."""
        assert self.live == sum(segment.live for segment in self.segments.values())
        assert self.notes == sum(len(segment.notes) for segment in self.segments.values())
        for segment in self.segments.values():
            assert segment.weight == sum(self.messages[number].weight for number in segment.bases)
            assert all(self.messages[number].home == segment.number for number in segment.bases)
            assert all(segment.number in self.messages[number].noted for number in segment.notes)
            assert all(self.tombstones[number][0] == segment.number for number in segment.tombstones)
        assert all(self.segments[stored.home] for stored in self.messages.values())

    def records_to_move(self, segment: Segment) -> list[int]:
        """The numbers of the messages whose records in a segment must be moved."""
        return [*segment.bases, *(segment.notes - segment.bases), *segment.tombstones]

    def _subtract_base(self, segment: Segment, stored: StoredMessage) -> None:
        """Remove the newest record of a message from this segment."""
        if stored.number in segment.bases:
            segment.bases.discard(stored.number)
            segment.weight -= stored.weight
            self.live -= stored.weight

    def _add_tombstone(self, number: int, segment: Segment, holders: set[int]) -> None:
        self.tombstones[number] = segment.number, holders
        segment.tombstones.add(number)
        self.live += OVER_RECORD_BYTES

    def _remove_tombstone(self, number: int) -> None:
        segment = self.segments.get(self.tombstones.pop(number)[0])
        if segment is not None and number in segment.tombstones:
            segment.tombstones.discard(number)
            self.live -= OVER_RECORD_BYTES


Say = Callable[[str], None]
