"""The subscriptions in `$RELAY_STATE/fleet/subscriptions`, so that they outlive a restart of all members at once.

The file is a row of frames as the folder's (`store/records.py`), each a `Page` of entries. Pages are joined as they are
read, so that one more at the end is all that a change costs; once what was added outweighs what lives, the file is
replaced whole. What it holds is what this member was at an earlier time, whatever is missing at its end: the registry
takes that for a sleep. A version of an entry is written before anybody hears that it is stored; when a subscription was
last followed, and how far the epoch is, twice a minute at most.
"""

import os
from collections.abc import Callable, Iterable

import msgspec
from loguru import logger

from cedarwick.errors import CedarwickError
from cedarwick.events.registry import MAX_ENTRIES, Entry, Registry, join
from cedarwick.fleet.fleet_files import FOLDER, CorruptFleetFileError
from cedarwick.net.counters import Counters
from cedarwick.store.records import DamagedRange, framed, may_go_on, scan

NAME = "subscriptions"
MAX_FILE_BYTES = 1 << 28  # twice as much as the longest filters of all subscriptions take
PAGE_ENTRIES = 128  # with the longest filters less than a frame holds
MIN_GROWTH_BYTES = 1 << 16  # that are added before the file is replaced, at least
LOOK_INTERVAL = 30_000_000  # microseconds between two looks for what need not be written at once
RETRY_AFTER = 1_000_000  # microseconds until a write that failed is made again


class SubscriptionsNotSavedError(CedarwickError):
    """The subscriptions cannot be written to the folder; after a restart this member learns them from the others."""

    code = "CW840"
    remedy = "make room for the folder, or look at the disk; it is tried again by itself"


class Page(msgspec.Struct, array_like=True, frozen=True):
    """What a member knew, or what was new to it. The later page is the newer; entries are joined."""

    at: int  # microseconds of the wall clock
    epoch: int
    entries: dict[str, Entry]


_encode = msgspec.msgpack.Encoder().encode
_page: msgspec.msgpack.Decoder[Page] = msgspec.msgpack.Decoder(Page)


def packed(at: int, epoch: int, entries: Iterable[tuple[str, Entry]]) -> bytes:
    """Frames of pages with these entries, one page at least."""
    rows = list(entries)
    pages = [dict(rows[begin : begin + PAGE_ENTRIES]) for begin in range(0, max(1, len(rows)), PAGE_ENTRIES)]
    return b"".join(framed(_encode(Page(at, epoch, page))) for page in pages)


def unpacked(data: bytes) -> Page | None:
    """All pages of a file as one; None for an empty one. Raises ValueError where any is damaged.

    A frame that the file breaks off in is left out: nobody has heard of it yet.
    """
    at = epoch = 0
    entries: dict[str, Entry] = {}
    count = 0
    for found in scan(data, 0, whole=True):
        if isinstance(found, DamagedRange):
            if found.until == len(data) and may_go_on(data, found.at):
                break
            # Danger: a lost page may hold that a subscription has ended which another page holds alive.
            raise ValueError(f"bytes {found.at} to {found.until} are damaged")
        page = _page.decode(found.payload)
        count += 1
        at, epoch = page.at, max(epoch, page.epoch)
        for name, entry in page.entries.items():
            entries[name] = join(entries.get(name), entry)
        if len(entries) > MAX_ENTRIES:
            raise ValueError(f"more than {MAX_ENTRIES} subscriptions")
    return Page(at, epoch, entries) if count else None


class SubscriptionStore:
    """Writes a registry's changes to the folder, and reads them back at a start.

    It reads and writes only while the folder is this process's. Times are microseconds.
    """

    def __init__(self, state: str, registry: Registry, counters: Counters) -> None:
        self.path = os.path.join(state, FOLDER, NAME)
        self.registry = registry
        self.counters = counters
        self.written: dict[str, Entry] = {}  # as the file has them
        self.epoch = 0  # as the file has it; 0: nothing is written yet
        self.living = 0  # how many were at the last look
        self.size = 0  # of the file
        self.room = 0  # bytes that it may have before it is replaced; 0: it is to be replaced
        self.look_at = 0
        self.open = True
        self.writes = self.bytes = 0

    def load(self, now: int) -> None:
        """At a start: the registry begins with what the file holds, or with nothing."""
        try:
            with open(self.path, "rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
            if len(data) > MAX_FILE_BYTES:
                raise ValueError(f"more than {MAX_FILE_BYTES} bytes")
            held = unpacked(data)
        except FileNotFoundError:
            return
        except (OSError, ValueError) as error:
            logger.error(CorruptFleetFileError(f"{self.path}: {error}").line)
            return
        if held is None:
            return
        self.registry.restore(now, held.at, held.epoch, held.entries.items())
        logger.info("{} subscriptions are kept, {} of them live", len(held.entries), len(self.registry.living(now)))
        self._replace(now)

    def changed(self, now: int, names: Iterable[str]) -> None:
        """Entries have changed: a new version is written before this returns, where that can be."""
        entries, written = self.registry.entries, self.written
        if any(
            name in entries and (name not in written or written[name].version != entries[name].version)
            for name in names
        ):
            self._write(now, [name for name in names if name in entries and written.get(name) is not entries[name]])

    def look(self, now: int, steady: int) -> None:
        """`steady` counts on while the machine sleeps. Writes what can wait."""
        if steady < self.look_at:
            return
        self.look_at = steady + LOOK_INTERVAL
        registry, living = self.registry, len(self.registry.living(now))
        names = [name for name, entry in registry.entries.items() if self.written.get(name) is not entry]
        # One that has ended since, as nobody followed: what is read again must not take it for living.
        if names or living < self.living or self.epoch and registry.epoch != self.epoch:
            self._write(now, names)
        self.living = living
        if not self.room and registry.entries:
            self.look_at = steady + RETRY_AFTER

    def close(self, now: int) -> None:
        """The folder is another process's from now on."""
        self.look(now, self.look_at)
        self.open = False

    def _write(self, now: int, names: list[str]) -> None:
        if not self.room:
            self._replace(now)
            return
        entries = {name: self.registry.entries[name] for name in names}
        data = packed(now, self.registry.epoch, entries.items())
        if self.size + len(data) > self.room:
            self._replace(now)
            return

        def write() -> None:
            with open(self.path, "ab") as file:
                file.write(data)

        if self._try(write, len(data)):
            self.size += len(data)
            self.written.update(entries)
            self.epoch = self.registry.epoch

    def _replace(self, now: int) -> None:
        """The whole file anew, beside the old one first; none where there is nothing to keep."""
        entries = dict(self.registry.entries)
        data = packed(now, self.registry.epoch, entries.items())

        def write() -> None:
            with open(f"{self.path}.new", "wb") as file:
                file.write(data)
            os.replace(f"{self.path}.new", self.path)

        if self._try(write, len(data)):
            self.size = len(data)
            self.room = 2 * self.size + MIN_GROWTH_BYTES
            self.written = entries
            self.epoch = self.registry.epoch

    def _try(self, write: Callable[[], None], size: int) -> bool:
        if not self.open:
            return False
        try:
            write()
        except OSError as error:
            # Danger: a page that is there in part would hide those behind it.
            self.room = 0
            self.look_at = 0
            self.counters.warning("the subscriptions are not kept", SubscriptionsNotSavedError(f"{self.path}: {error}"))
            return False
        self.writes += 1
        self.bytes += size
        return True
