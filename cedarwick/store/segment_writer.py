"""Appends records to the active segment file of a folder, begins new segments and counts the bytes in use.

Owned by `journal.Store`, which decides whether there is space for a record. Sizes are in bytes, times in wall-clock
microseconds.
"""

from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

from cedarwick.store import compaction_planner, records
from cedarwick.store.compaction_planner import RecordUse
from cedarwick.store.files import DiskError, Folder, NoSpaceError, quietly, segment_name
from cedarwick.store.records import Header, framed
from cedarwick.store.segments import Segment, SegmentIndex


class CondemnedFile(NamedTuple):
    """A file that is not needed any more and not deleted yet; `size` is in whole blocks."""

    name: str
    size: int


class PendingRecord(NamedTuple):
    """A short record that waits for space, and what adds it to the index once it is written."""

    payload: bytes
    when_written: Callable[[Segment], None]


class SegmentWriter:
    """The active segment of a folder, and its only writer."""

    def __init__(self, folder: Folder, segment_index: SegmentIndex, now: Callable[[], int], durable: bool) -> None:
        """`now` returns wall time in microseconds; with `durable`, `sync` is called for what was written."""
        self.folder = folder
        self.segment_index = segment_index
        self.now = now
        self.durable = durable
        self.segment_size = 0  # at which a segment is sealed
        self.active: Segment | None = None
        self.file = -1  # descriptor of the active segment; -1: none
        self.last_segment = 0  # the highest number in use so far
        self.used = 0  # of all files, in whole blocks
        self.appended = 0  # since the last compaction step, without moved records
        self.moved_bytes = 0
        self.written_bytes = 0
        self.condemned: list[CondemnedFile] = []
        self.unsynced: set[int] = set()  # descriptors of files with bytes not synced yet

    def count_used(self) -> None:
        """Compute `used` from the sizes of all files."""
        self.used = sum(compaction_planner.blocks(self.folder.size(name)) for name in self.folder.names())

    def reopen(self, tail: int) -> bool:
        """Append to the newest segment, truncated after its last valid record (`tail` bytes); False if impossible."""
        newest = self.segment_index.segments.get(max(self.segment_index.segments, default=0))
        if newest is None or newest.foreign or not 0 < tail < self.segment_size:
            return False
        try:
            file = self.folder.open(segment_name(newest.number), append=True)
            self.folder.truncate(file, tail)
        except OSError as error:
            logger.error(DiskError(f"{segment_name(newest.number)} cannot be gone on with: {error}").line)
            return False
        self.used += compaction_planner.blocks(tail) - compaction_planner.blocks(newest.physical)
        newest.size = newest.physical = tail
        self.active, self.file = newest, file
        return True

    # ---- records ----

    def needs_segment(self, active: Segment, size: int) -> bool:
        """Whether a record of `size` bytes should go to a new segment, not to the active one."""
        return active.size + size > self.segment_size and active.size > active.head

    def append(self, active: Segment, record: bytes, grows: int, use: RecordUse) -> int:
        """Append a framed record to the active segment; returns its offset there.

        `grows`: bytes in whole blocks by which the file grows. Raises `NoSpaceError` if the disk refuses the write.
        """
        try:
            written = self.folder.append(self.file, record)
        except OSError as error:
            raise NoSpaceError(str(error)) from None
        if written < len(record):
            self._undo(active, written)
            raise NoSpaceError("a record was cut short")
        begin = active.size
        active.physical += len(record)
        active.size = active.physical
        self.used += grows
        self.written_bytes += len(record)
        if use is RecordUse.MOVE:
            self.moved_bytes += len(record)
        else:
            self.appended += len(record)
        if self.durable:
            self.unsynced.add(self.file)
        return begin

    def _undo(self, active: Segment, written: int) -> None:
        """Truncate a partly written record away; if that fails, close the segment to further records."""
        # A torn record in the middle of a segment would be reported as damage at the next start.
        try:
            self.folder.truncate(self.file, active.size)
        except OSError as error:
            logger.error(DiskError(f"{segment_name(active.number)}: a torn record stays: {error}").line)
            self._grow(active, written)
            self.active = None
            quietly(self.folder.close, self.file)
            self.unsynced.discard(self.file)
            self.file = -1

    def _grow(self, segment: Segment, size: int) -> None:
        self.used += segment.growth(size)
        segment.physical += size

    # ---- segments ----

    def begin_segment(self, next_message: int, old_until: int) -> None:
        """Seal the active segment and begin another; raises `NoSpaceError` if that cannot be written.

        `next_message` and `old_until` go into its header: the next message number, and the last file of the first
        format that has been taken over.
        """
        number = self.last_segment + 1
        others = {segment.number: segment.size for segment in self.segment_index.segments.values()}
        header = Header(records.VERSION, number, self.now(), next_message, old_until, others)
        record = framed(records.header(header))
        file = self._create(number, record)
        self._seal()
        self.file, self.last_segment = file, number
        self.active = Segment(number, header.made_at, size=len(record), head=len(record))
        self.segment_index.add(self.active)
        self._grow(self.active, len(record))
        self.written_bytes += len(record)
        if self.durable:
            self.unsynced.add(file)

    def _create(self, number: int, header: bytes) -> int:
        """Create a segment's file with its header; returns the descriptor. Raises `NoSpaceError`."""
        name = segment_name(number)
        file = -1
        try:
            file = self.folder.create(name)
            written = self.folder.append(file, header)
            if written < len(header):
                raise OSError("a header was cut short")
        except OSError as error:
            if file >= 0:
                quietly(self.folder.close, file)
                if not quietly(self.folder.unlink, name):
                    self.condemned.append(CondemnedFile(name, compaction_planner.BLOCK))
                    self.used += compaction_planner.BLOCK
                    self.last_segment = number
            raise NoSpaceError(f"a new segment: {error}") from None
        return file

    def _seal(self) -> None:
        """Close the file of the active segment, if there is one."""
        if self.file < 0:
            return
        if self.file in self.unsynced:
            quietly(self.folder.sync, self.file)  # a closed descriptor cannot be synced any more
            self.unsynced.discard(self.file)
        quietly(self.folder.close, self.file)

    # ---- files ----

    def sync(self, call: Callable[..., object] | None) -> None:
        """Sync everything written so far to the disk, by `call` if given; raises OSError if that fails."""
        for file in list(self.unsynced):
            if call is None:
                self.folder.sync(file)
            else:
                call(self.folder.sync, file)
            self.unsynced.discard(file)

    def close(self) -> None:
        """Close the active segment's file."""
        if self.file >= 0:
            self.folder.close(self.file)
            self.file = -1
