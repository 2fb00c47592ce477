"""The folder's system calls, all in one place: the tests put a folder that fails in its stead."""

import contextlib
import fcntl
import os
import re
from collections.abc import Callable

from cedarwick.errors import CedarwickError

NAME = re.compile(r"([0-9]{8})\.seg")
OLD_NAME = re.compile(r"([0-9]{8})\.log")
LOCK = "lock"


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
    """One folder on disk. Every method but the first two may raise OSError."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.lock = -1

    def claim(self) -> None:
        """Hold the folder until the process ends; `FolderInUseError` where another one does."""
        self.lock = os.open(os.path.join(self.path, LOCK), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            self.lock = -1
            raise FolderInUseError(f"{self.path} is in use by another process") from None

    def release(self) -> None:
        if self.lock >= 0:
            os.close(self.lock)
            self.lock = -1

    def names(self) -> list[str]:
        return sorted(os.listdir(self.path))

    def size(self, name: str) -> int:
        return os.stat(os.path.join(self.path, name)).st_size

    def create(self, name: str) -> int:
        """A new file, open for appending and reading."""
        flags = os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_APPEND
        return os.open(os.path.join(self.path, name), flags, 0o600)

    def open(self, name: str, append: bool) -> int:
        return os.open(os.path.join(self.path, name), os.O_RDWR | os.O_APPEND if append else os.O_RDONLY)

    def append(self, file: int, data: bytes) -> int:
        """Bytes that were written: fewer than wanted where the disk is full."""
        return os.write(file, data)

    def read(self, file: int, size: int, at: int) -> bytes:
        return os.pread(file, size, at)

    def truncate(self, file: int, size: int) -> None:
        os.ftruncate(file, size)

    def sync(self, file: int) -> None:
        os.fsync(file)

    def close(self, file: int) -> None:
        os.close(file)

    def unlink(self, name: str) -> None:
        os.unlink(os.path.join(self.path, name))


def segment_name(number: int) -> str:
    return f"{number:08d}.seg"


def numbers(names: list[str], pattern: "re.Pattern[str]" = NAME) -> list[int]:
    """The numbers of the files that a pattern names."""
    return sorted(int(found[1]) for name in names if (found := pattern.fullmatch(name)))


def quietly(call: Callable[..., None], *arguments: object) -> bool:
    """Whether a call went well that may fail without harm."""
    with contextlib.suppress(OSError):
        call(*arguments)
        return True
    return False
