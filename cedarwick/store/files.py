"""All system calls on the store's folder, in one class that tests can replace to inject faults.

Used by the store and its tools. Sizes and offsets are in bytes; open files are identified by their descriptors.
"""

import contextlib
import fcntl
import os
import re
from collections.abc import Callable

from cedarwick.errors import CedarwickError

SEGMENT_FILE_PATTERN = re.compile(r"([0-9]{8})\.seg")
LEGACY_FILE_PATTERN = re.compile(r"([0-9]{8})\.log")
LOCK_FILE_NAME = "lock"


class FolderInUseError(CedarwickError):
    """Another process has locked the folder."""

    code = "CW201"
    remedy = "stop the other process, or configure another folder for this one"


class NoSpaceError(CedarwickError):
    """A record does not fit in the folder, or the disk does not accept the write."""

    code = "CW202"
    remedy = "raise limits.disk_mb or free disk space; `cedarwick store verify` shows what the folder holds"


class DiskError(CedarwickError):
    """A write, a sync or a deletion failed; the sender continues without it."""

    code = "CW207"
    remedy = "check the disk: free space, health and the permissions of the folder"


class Folder:
    """One folder on disk. Every method may raise OSError."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.lock_file = -1

    def acquire_lock(self) -> None:
        """Lock the folder until `release_lock` or the end of the process.

        Raises `FolderInUseError` if another process has locked it.
        """
        self.lock_file = os.open(os.path.join(self.path, LOCK_FILE_NAME), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock_file)
            self.lock_file = -1
            raise FolderInUseError(f"{self.path} is in use by another process") from None

    def release_lock(self) -> None:
        """Release the lock if it is held."""
        if self.lock_file >= 0:
            os.close(self.lock_file)
            self.lock_file = -1

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(os.listdir(self.path))

    def size(self, name: str) -> int:
        """Return the size of a file."""
        return os.stat(os.path.join(self.path, name)).st_size

    def create(self, name: str) -> int:
        """Create a file and open it for appending and reading; raises FileExistsError if it exists."""
        flags = os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_APPEND
        return os.open(os.path.join(self.path, name), flags, 0o600)

    def open(self, name: str, append: bool) -> int:
        """Open a file for reading, with `append` also for appending; returns the descriptor."""
        return os.open(os.path.join(self.path, name), os.O_RDWR | os.O_APPEND if append else os.O_RDONLY)

    def append(self, file: int, data: bytes) -> int:
        """Append data; returns the number of bytes written, fewer than given if the disk is full."""
        return os.write(file, data)

    def read(self, file: int, size: int, at: int) -> bytes:
        """Read up to `size` bytes at offset `at`; fewer at the end of the file."""
        return os.pread(file, size, at)

    def truncate(self, file: int, size: int) -> None:
        """Truncate a file to `size` bytes."""
        os.ftruncate(file, size)

    def sync(self, file: int) -> None:
        """Flush written data to the disk (fsync)."""
        os.fsync(file)

    def close(self, file: int) -> None:
        """Close a descriptor."""
        os.close(file)

    def rename(self, name: str, to: str) -> None:
        """Rename a file atomically; an existing file with the new name is replaced."""
        os.replace(os.path.join(self.path, name), os.path.join(self.path, to))

    def unlink(self, name: str) -> None:
        """Delete a file."""
        os.unlink(os.path.join(self.path, name))


def segment_name(number: int) -> str:
    """Return the file name of a segment."""
    return f"{number:08d}.seg"


def file_numbers(names: list[str], pattern: "re.Pattern[str]" = SEGMENT_FILE_PATTERN) -> list[int]:
    """Return the numbers in the file names that match a pattern, sorted."""
    return sorted(int(found[1]) for name in names if (found := pattern.fullmatch(name)))


def ignore_os_error(call: Callable[..., None], *arguments: object) -> bool:
    """Make a call whose failure does no harm; returns False if it raised OSError."""
    with contextlib.suppress(OSError):
        call(*arguments)
        return True
    return False
