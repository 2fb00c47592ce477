"""All system calls on the store's folder, in one class, so that tests can replace it by one that fails.

Used by the store and its tools. Sizes and offsets are in bytes; files are named by their descriptors.
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
    """Another process holds the folder."""

    code = "CW201"
    remedy = "end the other process, or give this one a folder of its own"


class NoSpaceError(CedarwickError):
    """The folder has no room for a record, or the disk does not take it."""

    code = "CW202"
    remedy = "raise limits.disk_mb or free the disk; `cedarwick store verify` says what lives in the folder"


class DiskError(CedarwickError):
    """The system refused a write, a sync or a deletion; the sender goes on without it."""

    code = "CW207"
    remedy = "look at the disk: its free space, its health and the rights on the folder"


class Folder:
    """One folder on disk. Every method may raise OSError."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.lock_file = -1

    def acquire_lock(self) -> None:
        """Lock the folder until `release` or the end of the process; `FolderInUseError` if another process has it."""
        self.lock_file = os.open(os.path.join(self.path, LOCK_FILE_NAME), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock_file)
            self.lock_file = -1
            raise FolderInUseError(f"{self.path} is in use by another process") from None

    def release_lock(self) -> None:
        """Give up the lock, if it is held."""
        if self.lock_file >= 0:
            os.close(self.lock_file)
            self.lock_file = -1

    def names(self) -> list[str]:
        """The names of all files, sorted."""
        return sorted(os.listdir(self.path))

    def size(self, name: str) -> int:
        """The size of a file in bytes."""
        return os.stat(os.path.join(self.path, name)).st_size

    def create(self, name: str) -> int:
        """Create a file and open it for appending and reading; FileExistsError if there is one of that name."""
        flags = os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_APPEND
        return os.open(os.path.join(self.path, name), flags, 0o600)

    def open(self, name: str, append: bool) -> int:
        """Open a file for reading, or with `append` for appending and reading; returns the descriptor."""
        return os.open(os.path.join(self.path, name), os.O_RDWR | os.O_APPEND if append else os.O_RDONLY)

    def append(self, file: int, data: bytes) -> int:
        """Append data; returns the number of bytes written, which is less than wanted if the disk is full."""
        return os.write(file, data)

    def read(self, file: int, size: int, at: int) -> bytes:
        """Read up to `size` bytes at offset `at`; fewer at the end of the file."""
        return os.pread(file, size, at)

    def truncate(self, file: int, size: int) -> None:
        """Cut a file to `size` bytes."""
        os.ftruncate(file, size)

    def sync(self, file: int) -> None:
        """Force what was written to the disk (fsync)."""
        os.fsync(file)

    def close(self, file: int) -> None:
        """Close a descriptor."""
        os.close(file)

    def rename(self, name: str, to: str) -> None:
        """Rename a file; one that has the new name is replaced, and a crash leaves the old or the new one."""
        os.replace(os.path.join(self.path, name), os.path.join(self.path, to))

    def unlink(self, name: str) -> None:
        """Delete a file."""
        os.unlink(os.path.join(self.path, name))


def segment_name(number: int) -> str:
    """The file name of a segment."""
    return f"{number:08d}.seg"


def file_numbers(names: list[str], pattern: "re.Pattern[str]" = SEGMENT_FILE_PATTERN) -> list[int]:
    """The numbers in those file names that match a pattern, sorted."""
    return sorted(int(found[1]) for name in names if (found := pattern.fullmatch(name)))


def ignore_os_error(call: Callable[..., None], *arguments: object) -> bool:
    """Make a call that may fail without harm; returns False if it raised OSError."""
    with contextlib.suppress(OSError):
        call(*arguments)
        return True
    return False
