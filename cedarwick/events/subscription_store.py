"""Saves the subscriptions in `$RELAY_STATE/fleet/subscriptions`, so that they survive a restart of all members at once.

The file is a sequence of frames in the format of the message store (`store/records.py`); each holds a `Page` of
entries. Pages are merged when read, so a change costs one appended page; the file is replaced once it has grown to more
than twice its size at the last replacement. A truncated file is the member's state at an earlier time, which the
registry treats as a sleep. A new version of an entry is written before it is acknowledged; the time a subscription was
last followed and the epoch are written at most twice a minute. Called by `exchange.py`.
"""

import os
from collections.abc import Callable, Iterable

import msgspec
from loguru import logger

from cedarwick.errors import CedarwickError
from cedarwick.events.registry import MAX_ENTRIES, Entry, Registry, newer_entry
from cedarwick.fleet.fleet_files import FLEET_FOLDER, CorruptFleetFileError
from cedarwick.net.counters import Counters
from cedarwick.store.records import DamagedRange, encode_frame, may_be_partial_frame, scan_frames

FILE_NAME = "subscriptions"
MAX_FILE_BYTES = 1 << 28  # twice the bytes of all subscriptions with the longest filters
PAGE_ENTRIES = 128  # entries in a page; they fit into one frame even with the longest filters
MIN_GROWTH_BYTES = 1 << 16  # the file is not replaced before this many bytes were appended
WRITE_INTERVAL = 30_000_000  # microseconds between two writes of deferred changes
RETRY_AFTER = 1_000_000  # microseconds until a failed write is repeated


class SubscriptionsNotSavedError(CedarwickError):
    """The subscriptions cannot be written; after a restart this member receives them from the other members."""

    code = "CW840"
    remedy = "make room for the folder, or look at the disk; it is tried again by itself"


class Page(msgspec.Struct, array_like=True, frozen=True):
    """The whole registry or changes to it. Later pages are newer; their entries are merged."""

    at: int  # microseconds of the wall clock
    epoch: int
    entries: dict[str, Entry]


_encode = msgspec.msgpack.Encoder().encode
_page: msgspec.msgpack.Decoder[Page] = msgspec.msgpack.Decoder(Page)


def encode_pages(at: int, epoch: int, entries: Iterable[tuple[str, Entry]]) -> bytes:
    """Encode entries as frames that hold a page each; at least one page."""
    entry_list = list(entries)
    pages = [
        dict(entry_list[begin : begin + PAGE_ENTRIES]) for begin in range(0, max(1, len(entry_list)), PAGE_ENTRIES)
    ]
    return b"".join(encode_frame(_encode(Page(at, epoch, page))) for page in pages)


def decode_pages(data: bytes) -> Page | None:
    """Decode and merge all pages of a file; None if it is empty. Raises ValueError if any is damaged.

    An incomplete last frame is ignored: its entries were never acknowledged.
    """
    at = epoch = 0
    entries: dict[str, Entry] = {}
    count = 0
    for scanned in scan_frames(data, 0, is_last_chunk=True):
        if isinstance(scanned, DamagedRange):
            if scanned.end_offset == len(data) and may_be_partial_frame(data, scanned.offset):
                break
            # Refuse the whole file: the damaged page may hold the end of a subscription that is live in another page.
            raise ValueError(f"bytes {scanned.offset} to {scanned.end_offset} are damaged")
        page = _page.decode(scanned.payload)
        count += 1
        at, epoch = page.at, max(epoch, page.epoch)
        for name, entry in page.entries.items():
            entries[name] = newer_entry(entries.get(name), entry)
        if len(entries) > MAX_ENTRIES:
            raise ValueError(f"more than {MAX_ENTRIES} subscriptions")
    return Page(at, epoch, entries) if count else None


class SubscriptionStore:
    """Writes the changes of a registry to the state folder, and restores them at start-up.

    May be used only while this process holds the folder. Times are microseconds.
    """

    def __init__(self, state_folder: str, registry: Registry, counters: Counters) -> None:
        self.path = os.path.join(state_folder, FLEET_FOLDER, FILE_NAME)
        self.registry = registry
        self.counters = counters
        self.written_entries: dict[str, Entry] = {}  # entries as they are in the file
        self.written_epoch = 0  # epoch as it is in the file; 0: nothing is written yet
        self.live_count = 0  # number of live subscriptions at the last `write_due_changes`
        self.file_size = 0  # bytes of the file
        self.max_file_size = 0  # bytes; a write beyond it replaces the file. 0: replace at the next write
        self.next_write_at = 0
        self.is_open = True
        self.write_count = self.bytes_written = 0

    def load(self, now: int) -> None:
        """Restore the registry from the file; an unreadable file is logged and ignored."""
        try:
            with open(self.path, "rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
            if len(data) > MAX_FILE_BYTES:
                raise ValueError(f"more than {MAX_FILE_BYTES} bytes")
            held = decode_pages(data)
        except FileNotFoundError:
            return
        except (OSError, ValueError) as error:
            logger.error(CorruptFleetFileError(f"{self.path}: {error}").line)
            return
        if held is None:
            return
        self.registry.restore(now, held.at, held.epoch, held.entries.items())
        logger.info(
            "{} subscriptions recovered, {} of them live", len(held.entries), len(self.registry.live_entries(now))
        )
        self._replace(now)

    def write_changes(self, now: int, names: Iterable[str]) -> None:
        """Write changed entries if any has a new version; a failed write is logged and retried later."""
        entries, written = self.registry.entries, self.written_entries
        if any(
            name in entries and (name not in written or written[name].version != entries[name].version)
            for name in names
        ):
            self._write(now, [name for name in names if name in entries and written.get(name) is not entries[name]])

    def write_due_changes(self, now: int, monotonic_now: int) -> None:
        """Write deferred changes if they are due.

        `monotonic_now`: microseconds of a clock that also runs while the machine sleeps.
        """
        if monotonic_now < self.next_write_at:
            return
        self.next_write_at = monotonic_now + WRITE_INTERVAL
        registry, live_count = self.registry, len(self.registry.live_entries(now))
        names = [name for name, entry in registry.entries.items() if self.written_entries.get(name) is not entry]
        # An expired subscription also causes a write, because a later restart must not restore it as live.
        if names or live_count < self.live_count or self.written_epoch and registry.epoch != self.written_epoch:
            self._write(now, names)
        self.live_count = live_count
        if not self.max_file_size and registry.entries:
            self.next_write_at = monotonic_now + RETRY_AFTER

    def close(self, now: int) -> None:
        """Write the remaining changes, and nothing afterwards: another process may use the folder then."""
        self.write_due_changes(now, self.next_write_at)
        self.is_open = False

    def _write(self, now: int, names: list[str]) -> None:
        if not self.max_file_size:
            self._replace(now)
            return
        entries = {name: self.registry.entries[name] for name in names}
        data = encode_pages(now, self.registry.epoch, entries.items())
        if self.file_size + len(data) > self.max_file_size:
            self._replace(now)
            return

        def write() -> None:
            with open(self.path, "ab") as file:
                file.write(data)

        if self._try_write(write, len(data)):
            self.file_size += len(data)
            self.written_entries.update(entries)
            self.written_epoch = self.registry.epoch

    def _replace(self, now: int) -> None:
        """Write the whole registry to a new file and rename it over the old one."""
        entries = dict(self.registry.entries)
        data = encode_pages(now, self.registry.epoch, entries.items())

        def write() -> None:
            with open(f"{self.path}.new", "wb") as file:
                file.write(data)
            os.replace(f"{self.path}.new", self.path)

        if self._try_write(write, len(data)):
            self.file_size = len(data)
            self.max_file_size = 2 * self.file_size + MIN_GROWTH_BYTES
            self.written_entries = entries
            self.written_epoch = self.registry.epoch

    def _try_write(self, write: Callable[[], None], size: int) -> bool:
        if not self.is_open:
            return False
        try:
            write()
        except OSError as error:
            # Replace the file at the next write: pages after a partly written one could not be read.
            self.max_file_size = 0
            self.next_write_at = 0
            self.counters.warning(
                "the subscriptions are not saved", SubscriptionsNotSavedError(f"{self.path}: {error}")
            )
            return False
        self.write_count += 1
        self.bytes_written += size
        return True
