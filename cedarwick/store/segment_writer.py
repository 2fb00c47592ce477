"""Appends records to the active segment file of a folder, begins new segments and counts the bytes in use.

Owned by `journal.Store`, which decides whether there is space for a record. Sizes are in bytes, times in wall-clock
microseconds.
"""

from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

from cedarwick.store import compaction_planner, records
from cedarwick.store.compaction_planner import RecordUse
from cedarwick.store.files import DiskError, Folder, NoSpaceError, ignore_os_error, segment_name
from cedarwick.store.folder_space import is_segment
from cedarwick.store.records import Header, encode_frame
from cedarwick.store.segments import Segment, SegmentIndex


class ObsoleteFile(NamedTuple):
    """A file that is no longer needed and not deleted yet; `size` is in whole blocks."""

    name: str
    size: int


class PendingRecord(NamedTuple):
    """A short record that waits for space, and the callback that adds it to the index once it is written."""

    payload: bytes
    when_written: Callable[[Segment], None]


class SegmentWriter:
    """The active segment of a folder, and its only writer."""

    def __init__(self, folder: Folder, segment_index: SegmentIndex, now: Callable[[], int], durable: bool) -> None:
        """`now` returns wall-clock microseconds; `durable`: remember unsynced files for `sync`."""
        self.folder = folder
        self.segment_index = segment_index
        self.now = now
        self.durable = durable
        self.max_segment_bytes = 0  # size at which a segment is sealed
        self.active: Segment | None = None
        self.active_file = -1  # descriptor of the active segment; -1: none
        self.last_segment_number = 0  # the highest number used so far
        self.used_bytes = 0  # of all segments, in whole blocks
        self.appended_bytes = 0  # since the last compaction step, excluding moved records
        self.moved_bytes = 0
        self.written_bytes = 0
        self.obsolete_files: list[ObsoleteFile] = []
        self.unsynced_files: set[int] = set()  # descriptors of files with unsynced bytes

    def update_used_bytes(self) -> None:
        """Compute `used_bytes` from the sizes of the files."""
        self.used_bytes = sum(
            compaction_planner.round_up_to_blocks(self.folder.size(name))
            for name in self.folder.names()
            if is_segment(name)
        )

    def reopen(self, valid_size: int) -> bool:
        """Truncate the newest segment to its `valid_size` and continue to append to it; False if that fails."""
        newest = self.segment_index.segments.get(max(self.segment_index.segments, default=0))
        if newest is None or newest.other_version or not 0 < valid_size < self.max_segment_bytes:
            return False
        try:
            file = self.folder.open(segment_name(newest.number), append=True)
            self.folder.truncate(file, valid_size)
        except OSError as error:
            logger.error(DiskError(f"{segment_name(newest.number)} cannot be reopened for appending: {error}").line)
            return False
        self.used_bytes += compaction_planner.round_up_to_blocks(valid_size) - compaction_planner.round_up_to_blocks(
            newest.file_bytes
        )
        newest.valid_bytes = newest.file_bytes = valid_size
        self.active, self.active_file = newest, file
        return True

    # ---- records ----

    def needs_segment(self, active: Segment, size: int) -> bool:
        """Whether a record of `size` bytes should go to a new segment instead of the active one."""
        return active.valid_bytes + size > self.max_segment_bytes and active.valid_bytes > active.header_bytes

    def append(self, active: Segment, record: bytes, growth_bytes: int, use: RecordUse) -> int:
        """Append a framed record to the active segment; returns its offset there.

        `growth_bytes`: bytes, in whole blocks, by which the file grows. Raises `NoSpaceError` if the write fails.
        """
        try:
            written_size = self.folder.append(self.active_file, record)
        except OSError as error:
            raise NoSpaceError(str(error)) from None
        if written_size < len(record):
            self._truncate_partial_write(active, written_size)
            raise NoSpaceError("the record was written only in part")
        offset = active.valid_bytes
        active.file_bytes += len(record)
        active.valid_bytes = active.file_bytes
        self.used_bytes += growth_bytes
        self.written_bytes += len(record)
        if use is RecordUse.MOVE:
            self.moved_bytes += len(record)
        else:
            self.appended_bytes += len(record)
        if self.durable:
            self.unsynced_files.add(self.active_file)
        return offset

    def _truncate_partial_write(self, active: Segment, written_size: int) -> None:
        """Truncate a partly written record; if that fails, append no more records to the segment."""
        # A partial record followed by others would be reported as damage at the next start.
        try:
            self.folder.truncate(self.active_file, active.valid_bytes)
        except OSError as error:
            logger.error(
                DiskError(f"{segment_name(active.number)}: a partial record cannot be truncated: {error}").line
            )
            self._count_growth(active, written_size)
            self.active = None
            ignore_os_error(self.folder.close, self.active_file)
            self.unsynced_files.discard(self.active_file)
            self.active_file = -1

    def _count_growth(self, segment: Segment, size: int) -> None:
        self.used_bytes += segment.growth(size)
        segment.file_bytes += size

    # ---- segments ----

    def begin_segment(self, next_message: int, last_legacy_file: int) -> None:
        """Seal the active segment and begin a new one; raises `NoSpaceError` if it cannot be written.

        `next_message` and `last_legacy_file` are for its header: the next message number, and the number of the last
        file of the first format that was converted.
        """
        number = self.last_segment_number + 1
        others = {segment.number: segment.valid_bytes for segment in self.segment_index.segments.values()}
        header = Header(records.VERSION, number, self.now(), next_message, last_legacy_file, others)
        record = encode_frame(records.encode_header(header))
        file = self._create_file(number, record)
        self._close_active_file()
        self.active_file, self.last_segment_number = file, number
        self.active = Segment(number, header.created_at, valid_bytes=len(record), header_bytes=len(record))
        self.segment_index.add_segment(self.active)
        self._count_growth(self.active, len(record))
        self.written_bytes += len(record)
        if self.durable:
            self.unsynced_files.add(file)

    def _create_file(self, number: int, header: bytes) -> int:
        """Create a segment file with its header; returns the descriptor. Raises `NoSpaceError`."""
        name = segment_name(number)
        file = -1
        try:
            file = self.folder.create(name)
            written_size = self.folder.append(file, header)
            if written_size < len(header):
                raise OSError("the header was written only in part")
        except OSError as error:
            if file >= 0:
                ignore_os_error(self.folder.close, file)
                if not ignore_os_error(self.folder.unlink, name):
                    self.obsolete_files.append(ObsoleteFile(name, compaction_planner.BLOCK_BYTES))
                    self.used_bytes += compaction_planner.BLOCK_BYTES
                    self.last_segment_number = number
            raise NoSpaceError(f"cannot create a segment: {error}") from None
        return file

    def _close_active_file(self) -> None:
        """Close the file of the active segment, if one is open."""
        if self.active_file < 0:
            return
        if self.active_file in self.unsynced_files:
            ignore_os_error(self.folder.sync, self.active_file)  # a closed descriptor can no longer be synced
            self.unsynced_files.discard(self.active_file)
        ignore_os_error(self.folder.close, self.active_file)

    # ---- files ----

    def sync(self, call: Callable[..., object] | None) -> None:
        """Sync everything written so far, through `call` if given; raises OSError if that fails."""
        for file in list(self.unsynced_files):
            if call is None:
                self.folder.sync(file)
            else:
                call(self.folder.sync, file)
            self.unsynced_files.discard(file)

    def close(self) -> None:
        """Close the active segment's file."""
        if self.active_file >= 0:
            self.folder.close(self.active_file)
            self.active_file = -1
