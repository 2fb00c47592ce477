"""Stores the health of receivers in the state folder, so that a restarted sender knows of current outages.

`health.jsonl` has one JSON object per line; the last line of a receiver counts. A receiver in service has no line, or
one that says so. A line that a crash cut off is ignored; after a failed write the whole file is rewritten. Times are
microseconds.
"""

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from cedarwick.decisions.interface import EarlierHealth, HealthState
from cedarwick.errors import CedarwickError
from cedarwick.store.elapsed_time import Moment, MomentClock, elapsed
from cedarwick.store.files import Folder, NoSpaceError, ignore_os_error
from cedarwick.store.folder_space import FolderSpace

FILE_NAME = "health.jsonl"
NEW_FILE_NAME = "health.jsonl.new"  # the rewritten file, before it replaces the old one
MAX_FILE_BYTES = 1 << 24  # this module writes no larger file
MIN_REWRITE_BYTES = 1 << 15  # a smaller file is not rewritten
REWRITE_FACTOR = 2  # the file is rewritten once it has grown by this factor
READ_ATTEMPTS = 5  # when the file is loaded
MAX_ENTRIES = 1 << 13  # the oldest beyond it are dropped: receivers that left the endpoint list while no process ran
CUT_OFF_BYTES = 1  # of a file that only says that the health of receivers is not known
UNLIMITED_BYTES = 1 << 62
RETRY_INTERVAL_US = 100_000  # between attempts to rewrite the file after a failed write


class HealthFileError(CedarwickError):
    """The file with the health of receivers could not be read or written completely."""

    code = "CW210"
    remedy = "check the disk: free space and health; until writes succeed, a restarted sender may not know of an outage"


class HealthKey(NamedTuple):
    """The subject of a line."""

    uid: str  # empty: all receivers of the destination that have left the endpoint list
    destination: int


class HealthEntry(NamedTuple):
    """The health of a receiver when it was recorded; `health.age` is the duration of the outage up to then."""

    health: EarlierHealth
    recorded_at: Moment


class HealthFile:
    """The health of receivers that are not in service or whose rate was cut; written by the owner of the folder."""

    def __init__(
        self,
        folder: Folder,
        warn: Callable[[str, object], None],
        durable: bool = False,
        clock: MomentClock | None = None,
        space: FolderSpace | None = None,
    ) -> None:
        """Create the file's writer without opening the file.

        Args:
            folder: the state folder.
            warn: takes the kind of a warning and its detail.
            durable: `sync` syncs writes to the disk.
            clock: replaced by tests.
            space: counts the file against the size limit of the folder; None: there is no limit.
        """
        self.folder = folder
        self.warn = warn
        self.durable = durable
        self.clock = clock or MomentClock()
        self.space = space or FolderSpace(folder, UNLIMITED_BYTES, lambda: 0)
        self.entries: dict[HealthKey, HealthEntry] = {}
        self.longest_line = 0
        self.missing_bytes = 0  # what the last rewrite needed, if the folder had no room for it
        self.file = -1
        self.size = 0
        self.rewritten_size = 0
        self.unsaved = False  # a write has failed, so the file lacks some of `entries`
        self.unsynced = False
        self.complete = True  # whether everything that an earlier process wrote was read
        self.retry_at = 0  # uptime

    def load(self) -> dict[HealthKey, EarlierHealth]:
        """Read the file of an earlier process, rewrite it, and return its entries with their present ages.

        If part of the file cannot be read, `complete` is set to False: any receiver may have had an outage.
        """
        data = self._read_with_retries()
        *lines, partial_line = data.split(b"\n")
        for line in lines:
            self._read_line(line)
        for oldest in list(self.entries)[:-MAX_ENTRIES]:
            del self.entries[oldest]
        if partial_line:
            self._report_incomplete(f"its last line was cut off: {len(partial_line)} bytes")
        if data or not self.complete:
            self._rewrite()
        now = self.clock.now()
        return {
            key: entry.health._replace(
                age=entry.health.age + elapsed(entry.recorded_at, now), recorded_age=elapsed(entry.recorded_at, now)
            )
            for key, entry in self.entries.items()
        }

    def record(self, uid: str, health: EarlierHealth) -> None:
        """Store a change of a receiver's health; if the write fails, `retry` stores it later."""
        key, entry = HealthKey(uid, health.destination), HealthEntry(health, self.clock.now())
        known = self.entries.pop(key, None)
        if is_worth_recording(health):
            self.entries[key] = entry
        elif known is None:
            return  # the file has no entry to replace
        line = encode_line(key, entry)
        self.longest_line = max(self.longest_line, len(line))
        self._reserve()
        if self.unsaved:
            self.retry()
        elif self.size > max(MIN_REWRITE_BYTES, REWRITE_FACTOR * self.rewritten_size):
            self._rewrite()
        else:
            self._append(line)

    def retry(self) -> None:
        """Rewrite the file if a write has failed at least `RETRY_INTERVAL_US` ago and there is room."""
        if (
            self.unsaved
            and self.clock.now().uptime >= self.retry_at
            and self.space.has_room_for_file(self.missing_bytes)
        ):
            self._rewrite()

    def sync(self, call: Callable[..., object]) -> None:
        """With `durable`, sync what was written; `call` runs the blocking sync, for example in a thread pool."""
        if self.unsynced and self.file >= 0:
            self.unsynced = False
            try:
                call(self.folder.sync, self.file)
            except OSError as error:
                self._report_failed_write(error)

    def close(self) -> None:
        """Close the file."""
        if self.file >= 0:
            self.folder.close(self.file)
            self.file = -1

    # ---- reading ----

    def _read_with_retries(self) -> bytes:
        for attempt in range(1, READ_ATTEMPTS + 1):
            try:
                return self._read()
            except FileNotFoundError:
                return b""
            except OSError as error:
                if attempt == READ_ATTEMPTS:
                    self._report_incomplete(str(error.strerror))
        return b""

    def _report_incomplete(self, detail: str) -> None:
        self.complete = False
        self.warn("receivers' health cannot be read", HealthFileError(f"{FILE_NAME}: {detail}"))

    def _read(self) -> bytes:
        size = self.folder.size(FILE_NAME)
        if size > MAX_FILE_BYTES:
            raise OSError(0, f"larger than {MAX_FILE_BYTES} bytes")
        file = self.folder.open(FILE_NAME, append=False)
        try:
            data = b""
            while part := self.folder.read(file, size - len(data), len(data)):
                data += part
            return data
        finally:
            self.folder.close(file)

    def _read_line(self, line: bytes) -> None:
        try:
            key, entry = decode_line(json.loads(line))
        except (ValueError, KeyError, TypeError) as error:
            self._report_incomplete(f"cannot decode a line: {error!r}")
            return
        self.entries.pop(key, None)
        if is_worth_recording(entry.health):
            self.entries[key] = entry

    # ---- writing ----

    def _reserve(self) -> None:
        """Reserve the space of the file at its largest, and of the rewritten file beside it."""
        rewritten_size = len(self.entries) * self.longest_line
        self.space.reserve(FILE_NAME, max(MIN_REWRITE_BYTES, REWRITE_FACTOR * rewritten_size) + rewritten_size)

    def _append(self, data: bytes) -> None:
        try:
            if self.file < 0:
                self.file = self._create(FILE_NAME)
            self.space.resize(FILE_NAME, self.size + len(data))
            self._write(self.file, data)
        except NoSpaceError:
            self._rewrite()  # the lines that no longer count may free the space
        except OSError as error:
            self._report_failed_write(error)

    def _rewrite(self) -> None:
        """Replace the file by one that holds only the current entries."""
        lines = [encode_line(key, entry) for key, entry in self.entries.items()]
        self.longest_line = max(map(len, lines), default=0)
        self._reserve()
        data = b"".join(lines)
        try:
            self._replace(data)
        except NoSpaceError:
            self._rewrite_without_room(data)
        except OSError as error:
            self._report_failed_write(error)

    def _rewrite_without_room(self, data: bytes) -> None:
        """Free the space of the file before it is written again.

        The next process must not trust an outdated file, and loses nothing by one that it takes for cut off: it then
        ramps up all receivers.
        """
        try:
            self._cut_off()
            self._replace(data)
        except NoSpaceError as error:
            self._report_failed_write(error)
            self.missing_bytes = len(data)
        except OSError as error:
            self._report_failed_write(error)

    def _cut_off(self) -> None:
        """Truncate the file within its first line; raises OSError."""
        file = self.folder.open(FILE_NAME, append=True)
        try:
            self.folder.truncate(file, CUT_OFF_BYTES)
        finally:
            self.folder.close(file)
            self.space.measure(FILE_NAME)

    def _replace(self, data: bytes) -> None:
        """Replace the file; raises OSError or `NoSpaceError` and leaves it as it was, but closed, if that fails."""
        self.close()
        self._delete_new_file()
        self.space.resize(NEW_FILE_NAME, len(data))
        try:
            self.file = self._create(NEW_FILE_NAME)
            self._write(self.file, data)
            if self.durable:
                self.folder.sync(self.file)  # or a power failure may leave the renamed file without its contents
            self.folder.rename(NEW_FILE_NAME, FILE_NAME)
        except OSError:
            self.close()
            self._delete_new_file()
            raise
        self.space.renamed(NEW_FILE_NAME, FILE_NAME)
        self.unsaved, self.missing_bytes = False, 0
        self.rewritten_size = self.size

    def _delete_new_file(self) -> None:
        ignore_os_error(self.folder.unlink, NEW_FILE_NAME)
        self.space.measure(NEW_FILE_NAME)

    def _create(self, name: str) -> int:
        file = self.folder.create(name)
        self.size = 0
        return file

    def _write(self, file: int, data: bytes) -> None:
        remaining = data
        while remaining:
            written = self.folder.append(file, remaining)
            if not written:
                raise OSError(0, "the write returned 0 bytes")
            remaining = remaining[written:]
        self.size += len(data)
        self.unsynced = self.durable

    def _report_failed_write(self, error: OSError | NoSpaceError) -> None:
        self.unsaved, self.missing_bytes = True, 0
        self.retry_at = self.clock.now().uptime + RETRY_INTERVAL_US
        text = error.strerror if isinstance(error, OSError) else str(error)
        self.warn("receivers' health is not saved", HealthFileError(f"{FILE_NAME}: {text}"))


def is_worth_recording(health: EarlierHealth) -> bool:
    """Whether a restarted sender needs this health."""
    return health.state is not HealthState.IN_SERVICE or health.cut_rate > 0


def encode_line(key: HealthKey, entry: HealthEntry) -> bytes:
    """Encode an entry as one line of the file."""
    health = entry.health
    record = {
        "receiver": key.uid,
        "destination": key.destination,
        "state": health.state.value,
        "provable": health.proved_never_ran,
        "rate": health.observed_rate,
        "age": health.age,
        "cut_rate": health.cut_rate,
        "boot": entry.recorded_at.boot,
        "uptime": entry.recorded_at.uptime,
        "wall": entry.recorded_at.wall,
    }
    return json.dumps(record).encode() + b"\n"


def decode_line(record: Any) -> tuple[HealthKey, HealthEntry]:
    """Decode the JSON object of a line; raises ValueError, KeyError or TypeError if it is malformed."""
    health = EarlierHealth(
        int(record["destination"]),
        HealthState(record["state"]),
        bool(record["provable"]),
        max(0.0, float(record["rate"])),
        max(0, int(record["age"])),
        max(0.0, float(record["cut_rate"])),
    )
    at = Moment(str(record["boot"]), int(record["uptime"]), int(record["wall"]))
    return HealthKey(str(record["receiver"]), health.destination), HealthEntry(health, at)
