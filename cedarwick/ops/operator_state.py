"""What operators have set with management calls, shared through the state folder by the processes of one sender.

While a process is being replaced, two processes answer management calls, and only the one that holds the folder's lock
sends. So each change is written to a file under a lock, and each process rereads the files at short intervals.
`management.py` applies the changes. Constants that end in `_S` are in seconds.
"""

import contextlib
import fcntl
import os
import time
from collections.abc import Callable, Iterator

import gevent
from loguru import logger

from cedarwick.errors import CedarwickError
from cedarwick.ops import saved_state
from cedarwick.store.files import DiskError, NoSpaceError
from cedarwick.store.folder_space import FolderSpace

LOCK_FILE = "operators.lock"  # locked while a process changes one of the files
LOCK_TIMEOUT_S = 0.5  # a caller of the management address waits 1 s for its answer
LOCK_RETRY_S = 0.005


class OperatorStateBusyError(CedarwickError):
    """Another process of this sender holds the lock of the operators' settings for too long."""

    code = "CW407"
    remedy = "call again; if it happens again, end the process that was replaced and still runs on this state folder"


class ChangeNotSavedError(CedarwickError):
    """A change at a process that does not send could not be written for the process that does."""

    code = "CW408"
    remedy = "check the disk that holds $RELAY_STATE, then call again, or call the process that holds the folder"


class OperatorState:
    """The suspended receivers and the pause, as last read from the folder or written to it by this process."""

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self.space: FolderSpace | None = None  # set while this process holds the folder
        self.calls: dict[str, int] = {}  # SUSPEND calls in force, by uid
        self.paused = False
        self.unsaved = False  # whether the last write failed, so that the files lack a change of this process
        self.failure_logged = False  # the present series of failed writes
        self._lock_holder: object = None  # the greenlet that has locked the files

    @contextlib.contextmanager
    def locked(self) -> Iterator[None]:
        """Keep other processes, and other greenlets of this one, from changing the files.

        The holder may lock again. Raises `OperatorStateBusyError`. If the lock file cannot be used at all, the block
        runs without the lock.
        """
        if self._lock_holder is gevent.getcurrent():
            yield
            return
        try:
            file = os.open(os.path.join(self.folder, LOCK_FILE), os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            logger.error(DiskError(f"cannot open {LOCK_FILE}: {error}").line)
            yield
            return
        try:
            self._wait_for_lock(file)
            self._lock_holder = gevent.getcurrent()
            try:
                yield
            finally:
                self._lock_holder = None
        finally:
            os.close(file)

    @staticmethod
    def _wait_for_lock(file: int) -> None:
        end_at = time.monotonic() + LOCK_TIMEOUT_S
        while True:
            try:
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return
            except BlockingIOError:
                if time.monotonic() > end_at:
                    raise OperatorStateBusyError("another process is changing the operators' settings") from None
                gevent.sleep(LOCK_RETRY_S)
            except OSError as error:
                logger.error(DiskError(f"cannot lock {LOCK_FILE}: {error}").line)
                return

    def refresh(self) -> None:
        """Read the files again; after a failed read or write, what this process knows stays in force.

        Raises `UnreadableFileError`.
        """
        if self.space is not None:
            saved_state.measure(self.space)
        if self.unsaved:
            return
        self.calls = saved_state.read_suspensions(self.folder)
        self.paused = saved_state.read_pause(self.folder)

    def save_calls(self, calls: dict[str, int]) -> bool:
        """Set and write the SUSPEND calls in force; returns whether everything is written."""
        self.calls = dict(calls)
        return self._write(lambda: saved_state.write_suspensions(self.folder, self.calls, self.space))

    def save_pause(self, paused: bool) -> bool:
        """Set and write whether the sender is paused; returns whether everything is written."""
        self.paused = paused
        return self._write(lambda: saved_state.write_pause(self.folder, self.paused, self.space))

    def retry(self) -> None:
        """Write again what could not be written."""
        if self.unsaved:
            self.unsaved = False
            self.save_calls(self.calls)
            self.save_pause(self.paused)

    def discard_unsaved(self) -> None:
        """Forget a change that could not be written; `refresh` then returns to what the files hold."""
        self.unsaved = False

    def _write(self, write: Callable[[], None]) -> bool:
        try:
            write()
        except (OSError, NoSpaceError) as error:
            if not self.failure_logged:
                logger.error(DiskError(f"cannot save what operators have set: {error}").line)
            self.unsaved = self.failure_logged = True
        else:
            self.failure_logged = self.unsaved
        return not self.unsaved
