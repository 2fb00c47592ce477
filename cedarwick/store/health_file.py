"""What the sender knows of outages, in a file of its folder: a process that starts must know what its predecessor knew.

`health.jsonl` has a JSON object a line, the newest of a receiver counts. A receiver in service has none, or one that
says so. A line that a crash cut off is left out; a write that fails is made up for by writing the whole file anew.
Times are microseconds.
"""

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from cedarwick.decisions.interface import EarlierHealth, HealthState
from cedarwick.errors import CedarwickError
from cedarwick.store.elapsed_time import Moment, MomentClock, elapsed
from cedarwick.store.files import Folder, quietly

NAME = "health.jsonl"
FRESH_NAME = "health.jsonl.new"  # the whole file as it is written anew, before it replaces the old one
MAX_FILE_BYTES = 1 << 24  # more was not written by this module
LEAST_REWRITE_BYTES = 1 << 15  # a smaller file is only appended to
REWRITE_FACTOR = 4  # a file that has grown so many times since it was written anew is written anew again
READ_ATTEMPTS = 5  # at the start
MAX_ENTRIES = 1 << 13  # beyond that the oldest go: those of receivers that left the list while no process ran
RETRY_INTERVAL = 100_000  # between two attempts to write the file anew after a write that failed


class HealthFileError(CedarwickError):
    """The file of receivers' health cannot be read or written as a whole."""

    code = "CW210"
    remedy = "look at the disk: its free space and its health; until it takes writes, a restart may forget an outage"


class HealthKey(NamedTuple):
    """Whom a line is about."""

    uid: str  # empty: the receivers of the destination that have left the list
    destination: int


class HealthEntry(NamedTuple):
    """The health of one receiver at a moment; `age` is how long the outage had lasted then."""

    health: EarlierHealth
    at: Moment


class HealthFile:
    """Holds the health of receivers that are not in service, or whose rate was cut; the folder's owner writes it."""

    def __init__(
        self,
        folder: Folder,
        warn: Callable[[str, object], None],
        durable: bool = False,
        clock: MomentClock | None = None,
    ) -> None:
        """`warn` takes the kind of a warning and its detail; with `durable`, `sync` forces each write to the disk."""
        self.folder = folder
        self.warn = warn
        self.durable = durable
        self.clock = clock or MomentClock()
        self.entries: dict[HealthKey, HealthEntry] = {}
        self.file = -1
        self.size = 0
        self.rewritten_size = 0
        self.unsaved = False  # the file says less than `entries`
        self.unsynced = False
        self.complete = True  # whether all that an earlier process wrote was read
        self.retry_at = 0  # by the clock's uptime

    def load(self) -> dict[HealthKey, EarlierHealth]:
        """Read what an earlier process left, write it anew, and return it with the ages of now.

        Where part of it cannot be read, `complete` is false: any receiver may have been out.
        """
        data = self._read_patiently()
        *lines, torn = data.split(b"\n")
        for line in lines:
            self._read_line(line)
        for oldest in list(self.entries)[:-MAX_ENTRIES]:
            del self.entries[oldest]
        if torn:
            self._incomplete(f"its last line was cut off: {len(torn)} bytes")
        if data or not self.complete:
            self._rewrite()
        now = self.clock.now()
        return {
            key: entry.health._replace(
                age=entry.health.age + elapsed(entry.at, now), recorded_age=elapsed(entry.at, now)
            )
            for key, entry in self.entries.items()
        }

    def record(self, uid: str, health: EarlierHealth) -> None:
        """Store a change of a receiver's health; where the disk refuses it, `retry` stores it later."""
        key, entry = HealthKey(uid, health.destination), HealthEntry(health, self.clock.now())
        known = self.entries.pop(key, None)
        if matters(health):
            self.entries[key] = entry
        elif known is None:
            return  # nothing in the file says otherwise
        if self.unsaved:
            self.retry()
            return
        if self.size > max(LEAST_REWRITE_BYTES, REWRITE_FACTOR * self.rewritten_size):
            self._rewrite()
            return
        self._append(line_of(key, entry))

    def retry(self) -> None:
        """Write the file anew if a write has failed and the disk has had a moment since."""
        if self.unsaved and self.clock.now().uptime >= self.retry_at:
            self._rewrite()

    def sync(self, call: Callable[..., object]) -> None:
        """With `durable`, sync what was written; `call` runs the blocking sync elsewhere."""
        if self.unsynced and self.file >= 0:
            self.unsynced = False
            try:
                call(self.folder.sync, self.file)
            except OSError as error:
                self._failed(error)

    def close(self) -> None:
        """Close the file."""
        if self.file >= 0:
            self.folder.close(self.file)
            self.file = -1

    # ---- reading ----

    def _read_patiently(self) -> bytes:
        for attempt in range(1, READ_ATTEMPTS + 1):
            try:
                return self._read()
            except FileNotFoundError:
                return b""
            except OSError as error:
                if attempt == READ_ATTEMPTS:
                    self._incomplete(str(error.strerror))
        return b""

    def _incomplete(self, detail: str) -> None:
        self.complete = False
        self.warn("receivers' health cannot be read", HealthFileError(f"{NAME}: {detail}"))

    def _read(self) -> bytes:
        size = self.folder.size(NAME)
        if size > MAX_FILE_BYTES:
            raise OSError(0, f"larger than {MAX_FILE_BYTES} bytes")
        file = self.folder.open(NAME, append=False)
        try:
            data = b""
            while part := self.folder.read(file, size - len(data), len(data)):
                data += part
            return data
        finally:
            self.folder.close(file)

    def _read_line(self, line: bytes) -> None:
        try:
            key, entry = entry_of(json.loads(line))
        except (ValueError, KeyError, TypeError) as error:
            self._incomplete(f"a line: {error!r}")
            return
        self.entries.pop(key, None)
        if matters(entry.health):
            self.entries[key] = entry

    # ---- writing ----

    def _append(self, data: bytes) -> None:
        try:
            if self.file < 0:
                self.file = self._create(NAME)
            self._write(self.file, data)
        except OSError as error:
            self._failed(error)

    def _rewrite(self) -> None:
        """Replace the file by one that holds only what counts."""
        self.close()
        quietly(self.folder.unlink, FRESH_NAME)
        try:
            self.file = self._create(FRESH_NAME)
            if self.entries:
                self._write(self.file, b"".join(line_of(key, entry) for key, entry in self.entries.items()))
            if self.durable:
                self.folder.sync(self.file)  # else a power failure may leave the new name without its contents
            self.folder.rename(FRESH_NAME, NAME)
        except OSError as error:
            self.close()
            self._failed(error)
            return
        self.unsaved = False
        self.rewritten_size = self.size

    def _create(self, name: str) -> int:
        file = self.folder.create(name)
        self.size = 0
        return file

    def _write(self, file: int, data: bytes) -> None:
        left = data
        while left:
            written = self.folder.append(file, left)
            if not written:
                raise OSError(0, "nothing was written")
            left = left[written:]
        self.size += len(data)
        self.unsynced = self.durable

    def _failed(self, error: OSError) -> None:
        self.unsaved = True
        self.retry_at = self.clock.now().uptime + RETRY_INTERVAL
        self.warn("receivers' health is not saved", HealthFileError(f"{NAME}: {error.strerror}"))


def matters(health: EarlierHealth) -> bool:
    """Whether a process that starts has to know this."""
    return health.state is not HealthState.IN_SERVICE or health.cut_rate > 0


def line_of(key: HealthKey, entry: HealthEntry) -> bytes:
    """One line of the file."""
    health = entry.health
    record = {
        "receiver": key.uid,
        "destination": key.destination,
        "state": health.state.value,
        "provable": health.proved_never_ran,
        "rate": health.observed_rate,
        "age": health.age,
        "cut_rate": health.cut_rate,
        "boot": entry.at.boot,
        "uptime": entry.at.uptime,
        "wall": entry.at.wall,
    }
    return json.dumps(record).encode() + b"\n"


def entry_of(record: Any) -> tuple[HealthKey, HealthEntry]:
    """Decode a line; raises ValueError, KeyError or TypeError where it is none of this module's."""
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
