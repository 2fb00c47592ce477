"""Divides the size limit of a state folder between the store's segments and the other files in it.

The store owns the segments and counts them itself (`segment_writer.py`). Each writer of another file asks for the space
here before it writes, and reserves what it may need later, which the store then leaves free of new messages. Sizes are
in bytes; each file counts in whole blocks. Used by the store, `health_file.py` and `ops/saved_state.py`.
"""

from collections.abc import Callable

from cedarwick.store import compaction_planner
from cedarwick.store.files import LEGACY_FILE_PATTERN, SEGMENT_FILE_PATTERN, Folder, NoSpaceError

MAX_RESERVED_SHARE = 1 / 8  # of the limit, whatever is asked for: the rest is for messages


def is_segment(name: str) -> bool:
    """Whether a file is one of the store's own, which `SegmentWriter.used_bytes` counts."""
    return bool(SEGMENT_FILE_PATTERN.fullmatch(name) or LEGACY_FILE_PATTERN.fullmatch(name))


class FolderSpace:
    """The size limit of a folder, and the sizes of all files in it that are not segments."""

    def __init__(
        self,
        folder: Folder,
        limit_bytes: int,
        segment_bytes: Callable[[], int],
        compaction_bytes: Callable[[], int] = lambda: 0,
    ) -> None:
        """Count no file yet.

        Args:
            folder: the state folder.
            limit_bytes: limit of the size of all files.
            segment_bytes: returns the size of all segments, in whole blocks.
            compaction_bytes: returns what compaction needs to free space, which other files leave free.
        """
        self.folder = folder
        self.limit_bytes = limit_bytes
        self.segment_bytes = segment_bytes
        self.compaction_bytes = compaction_bytes
        self.peak_bytes = 0  # what compaction may use to shrink a folder whose limit was lowered; 0: it was not
        self.files: dict[str, int] = {}  # sizes in whole blocks
        self.reserved: dict[str, int] = {}  # by purpose

    @property
    def other_bytes(self) -> int:
        """The size of all files that are not segments, in whole blocks."""
        return sum(self.files.values())

    @property
    def used_bytes(self) -> int:
        """The size of all files, in whole blocks."""
        return self.segment_bytes() + self.other_bytes

    @property
    def reserved_bytes(self) -> int:
        """What is reserved for files other than segments."""
        return min(sum(self.reserved.values()), int(self.limit_bytes * MAX_RESERVED_SHARE))

    @property
    def segment_limit(self) -> int:
        """The size that the segments may have: the limit less the other files, or less what is reserved for them."""
        return self.limit_bytes - max(self.other_bytes, self.reserved_bytes)

    def set_limit(self, limit_bytes: int) -> None:
        """Set the limit; if more is in use, compaction may use what it needs beyond that to shrink the folder."""
        self.limit_bytes = limit_bytes
        self.peak_bytes = 0
        if self.used_bytes > limit_bytes:
            self.peak_bytes = self.used_bytes + self.compaction_bytes()

    def has_room(self, growth_bytes: int) -> bool:
        """Whether the folder stays within its limit if its files grow by so many bytes, in whole blocks."""
        return self.used_bytes + growth_bytes <= self.limit_bytes

    def has_room_for_compaction(self, growth_bytes: int) -> bool:
        """Whether compaction may write so many bytes, in whole blocks, to free others."""
        if self.peak_bytes and self.has_room(self.compaction_bytes()):
            self.peak_bytes = 0
        return self.used_bytes + growth_bytes <= max(self.limit_bytes, self.peak_bytes)

    def has_room_for_file(self, growth_bytes: int) -> bool:
        """Whether a file that is no segment may grow by so many bytes, in whole blocks."""
        if self.other_bytes + growth_bytes <= self.reserved_bytes:
            return self.has_room(growth_bytes)
        return self.has_room(growth_bytes + self.compaction_bytes())

    def reserve(self, purpose: str, size: int) -> None:
        """Reserve space for files that may be written later; replaces an earlier reservation for the same purpose."""
        self.reserved[purpose] = compaction_planner.round_up_to_blocks(size)

    def resize(self, name: str, size: int) -> None:
        """Count a file with its new size, before it is written; raises `NoSpaceError` if the folder has no room."""
        blocks = compaction_planner.round_up_to_blocks(size)
        growth_bytes = blocks - self.files.get(name, 0)
        if growth_bytes > 0 and not self.has_room_for_file(growth_bytes):
            raise NoSpaceError(f"no space for {name}: {size} bytes")
        self.files[name] = blocks

    def renamed(self, name: str, to: str) -> None:
        """Count a file under its new name, in place of an earlier file of that name."""
        self.files[to] = self.files.pop(name, 0)

    def measure(self, name: str) -> None:
        """Count a file with the size that it has, after a deletion, a failed write or a change by another process."""
        try:
            self.files[name] = compaction_planner.round_up_to_blocks(self.folder.size(name))
        except FileNotFoundError:
            self.files.pop(name, None)
        except OSError:
            pass  # the size that was known is the best estimate

    def measure_all(self) -> None:
        """Count all files that are not segments with the sizes that they have. Raises OSError."""
        self.files.clear()
        for name in self.folder.names():
            if not is_segment(name):
                self.measure(name)
