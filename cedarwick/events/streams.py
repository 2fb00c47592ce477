"""Matches on their way from the source to the subscriber: numbering, bounded buffers, gaps and cursors. No I/O.

A source is one boot of one sender. It numbers its events; each subscription has an `Outbox` there, and an `Inbox` at
the member where the subscriber is. The outbox offers a window of items and retains it until the subscriber has seen it
(go-back-N with one window); offered items are never dropped, so that counts of gaps are exact. Used by
`match_delivery.py`, `subscriber_reader.py` and `subscription_server.py`.
"""

from collections import deque
from collections.abc import Iterable, Mapping

import msgspec

from cedarwick.errors import CedarwickError
from cedarwick.events.filter_errors import FilterError
from cedarwick.events.index import Index
from cedarwick.events.kinds import LARGEST, Event, Value
from cedarwick.events.language import read
from cedarwick.events.registry import NAME, Entry

MAX_WAITING = 1000  # unoffered matches of one subscription at one source
MAX_WAITING_BYTES = 1 << 18  # approximate bytes of these matches
WINDOW = 100  # items offered at a time
EVENT_BYTES = 150  # approximate bytes of an event without its texts
MAX_SOURCES = 256  # sources in the cursors of one subscription


class InvalidCursorsError(CedarwickError):
    """What a subscriber gave as its cursors can't be read."""

    code = "CW824"
    remedy = "give them as they were written, 'NAME SOURCE:NUMBER ...', or the name alone to begin anew"


class Gap(msgspec.Struct, frozen=True, tag="gap"):
    """Matches that were dropped as a buffer was full: so many, the first and last of these numbers."""

    source: str
    first: int
    last: int
    count: int


class EvaluationStart(msgspec.Struct, frozen=True, tag="from"):
    """The source evaluates the filter from this number on; of events before it nothing is known."""

    source: str
    number: int


class SourceEnded(msgspec.Struct, frozen=True, tag="ended"):
    """The source has ended; what it had matched after this number and not handed over is lost, if there was any."""

    source: str
    after: int


class Match(msgspec.Struct, frozen=True, tag="match"):
    """An event that the filter is true for."""

    event: Event


Item = Match | Gap | EvaluationStart


def position(item: Item) -> int:
    """The cursor of a subscriber after it has seen an item."""
    if isinstance(item, Match):
        return item.event.number
    return item.last if isinstance(item, Gap) else item.number - 1


class Outbox:
    """The matches of one subscription at this source that its subscriber has not seen yet."""

    def __init__(
        self, source: str, first_number: int, max_waiting: int = MAX_WAITING, max_waiting_bytes: int = MAX_WAITING_BYTES
    ) -> None:
        self.source = source
        self.max_waiting = max_waiting
        self.max_waiting_bytes = max_waiting_bytes
        self.window: list[Item] = []  # offered and not seen yet
        self.start: EvaluationStart | None = EvaluationStart(source, first_number)
        self.gap: Gap | None = None  # dropped items between the window and `waiting`
        self.waiting: deque[tuple[Event, int]] = deque()  # events not offered yet, with their approximate bytes
        self.waiting_bytes = 0  # approximate bytes of `waiting`

    def add(self, event: Event) -> None:
        """Queue a match; beyond the limits the oldest unoffered matches are dropped and counted in a `Gap`."""
        size = approximate_bytes(event)
        self.waiting.append((event, size))
        self.waiting_bytes += size
        # Without the limits, a slow or lost subscriber would use up the sender's memory.
        while len(self.waiting) > self.max_waiting or self.waiting_bytes > self.max_waiting_bytes:
            dropped, size = self.waiting.popleft()
            self.waiting_bytes -= size
            first, count = (self.gap.first, self.gap.count) if self.gap else (dropped.number, 0)
            self.gap = Gap(self.source, first, dropped.number, count + 1)

    def offer(self) -> list[Item]:
        """The items to send now, in order; the same ones until all of them are seen."""
        if not self.window:
            self.window = [item for item in (self.start, self.gap) if item is not None]
            self.start = self.gap = None
            while self.waiting and len(self.window) < WINDOW:
                event, size = self.waiting.popleft()
                self.waiting_bytes -= size
                self.window.append(Match(event))
        return list(self.window)

    def acknowledge(self, cursor: int) -> None:
        """Drop offered items up to a cursor, which the subscriber has seen; unoffered ones stay."""
        self.window = [item for item in self.window if position(item) > cursor]


def approximate_bytes(event: Event) -> int:
    """The approximate bytes of memory that an event takes."""
    texts = sum(len(value) for value in event.fields.values() if isinstance(value, str))
    return EVENT_BYTES + 16 * len(event.fields) + 4 * texts


class Source:
    """One boot of this sender: numbers its events and matches them against the subscriptions."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.next_number = 1
        self.index = Index()
        self.outboxes: dict[str, Outbox] = {}
        self.failed_filters: dict[
            str, tuple[str, FilterError]
        ] = {}  # by name: filters that cannot be evaluated here, and why

    def set_subscriptions(self, subscriptions: Mapping[str, Entry]) -> dict[str, FilterError]:
        """Set the live subscriptions, by name, from the next event on.

        A subscription with a new filter starts anew: unseen matches of the old one are dropped. Returns the errors of
        filters that this sender cannot evaluate, for example from a newer version, by name.
        """
        for name in self.outboxes.keys() - subscriptions.keys():
            self._drop(name)
        self.failed_filters = {name: held for name, held in self.failed_filters.items() if name in subscriptions}
        for name, entry in subscriptions.items():
            if entry.filter not in (self.index.texts.get(name), self.failed_filters.get(name, ("",))[0]):
                self._drop(name)
                self.failed_filters.pop(name, None)
                try:
                    self.index.add(name, read(entry.filter))
                except FilterError as error:
                    self.failed_filters[name] = entry.filter, error
                else:
                    self.outboxes[name] = Outbox(self.name, self.next_number)
        return {name: error for name, (_, error) in self.failed_filters.items()}

    def _drop(self, name: str) -> None:
        self.index.remove(name)
        self.outboxes.pop(name, None)

    def publish(self, at: int, kind: str, fields: dict[str, Value]) -> list[str]:
        """Number an event and queue it for the subscriptions that it matches; returns their names.

        Raises InvalidEventError; the number is then used up.
        """
        number = self.next_number
        self.next_number += 1
        if not self.outboxes:
            return []
        event = Event(self.name, number, at, kind, fields)
        names = self.index.matches(event)
        for name in names:
            self.outboxes[name].add(event)
        return names


class Inbox:
    """One subscription at the member of its subscriber: passes each match on once, in the order of its source."""

    def __init__(self, cursors: Mapping[str, int] | None = None) -> None:
        self.cursors = dict(cursors or {})  # by source: the last number passed on
        self.dropped = 0  # items not passed on: repeated, another source's, or of one source too many

    def receive(self, source: str, items: Iterable[Item]) -> list[Item]:
        """Take in items of a source; returns the new ones, to be passed on in this order."""
        new: list[Item] = []
        for item in items:
            held = self.cursors.get(source)
            cursor = position(item)
            item_source = item.event.source if isinstance(item, Match) else item.source
            # Drop repeated and late items, which would duplicate matches; items naming another source, which would move
            # its cursor; and items of too many sources, which would use up memory.
            is_repeated = cursor <= held if held is not None else len(self.cursors) >= MAX_SOURCES
            if is_repeated or item_source != source:
                self.dropped += 1
                continue
            self.cursors[source] = cursor
            new.append(item)
        return new

    def end_source(self, source: str) -> list[SourceEnded]:
        """Drop the cursor of a source that has ended for good; returns the item that reports this to the subscriber."""
        cursor = self.cursors.pop(source, None)
        return [] if cursor is None else [SourceEnded(source, cursor)]


def encode_cursors(name: str, cursors: Mapping[str, int]) -> str:
    """Encode a subscription's name and cursors as a subscriber stores them: `NAME SOURCE:NUMBER ...`."""
    return " ".join([name, *(f"{source}:{cursors[source]}" for source in sorted(cursors))])


def decode_cursors(text: str) -> tuple[str, dict[str, int]]:
    """Decode a subscription's name and cursors. Raises InvalidCursorsError."""
    name, *parts = text.split(" ", MAX_SOURCES + 1)
    if not NAME.fullmatch(name):
        raise InvalidCursorsError(f"'{name[:80]}' can't name a subscription")
    if len(parts) > MAX_SOURCES:
        raise InvalidCursorsError(f"more than {MAX_SOURCES} sources")
    cursors: dict[str, int] = {}
    for part in parts:
        source, _, number = part.rpartition(":")
        is_valid = number.isascii() and number.isdigit() and len(number) < 20 and int(number) <= LARGEST
        if not is_valid or not NAME.fullmatch(source) or source in cursors:
            raise InvalidCursorsError(f"'{part[:80]}' is no cursor, or the source is named twice")
        cursors[source] = int(number)
    return name, cursors
