"""Streams of matches from a source to a subscriber: numbering, bounded buffers, gaps and cursors. No I/O.

A source is one incarnation of one sender and numbers its events. Each subscription has an `Outbox` at the source and an
`Inbox` at the member that the subscriber is connected to. The outbox offers a window of items and retains it until the
subscriber has acknowledged it (go-back-N with one window); offered items are never dropped, so that the counts of gaps
are exact. Used by `match_delivery.py`, `subscriber_reader.py` and `subscription_server.py`.
"""

from collections import deque
from collections.abc import Iterable, Mapping

import msgspec

from cedarwick.errors import CedarwickError
from cedarwick.events.filter_errors import FilterError
from cedarwick.events.index import Index
from cedarwick.events.kinds import MAX_NUMBER, Event, Value
from cedarwick.events.language import parse_filter
from cedarwick.events.registry import NAME, Entry

MAX_WAITING = 1000  # matches of one subscription at one source that are not offered yet
MAX_WAITING_BYTES = 1 << 18  # approximate bytes of these matches
WINDOW = 100  # items offered at a time
EVENT_BYTES = 150  # approximate bytes of an event without its fields
MAX_SOURCES = 256  # sources in the cursors of one subscription


class InvalidCursorsError(CedarwickError):
    """The cursors that a subscriber has sent cannot be parsed."""

    code = "CW824"
    remedy = "give them as they were written, 'NAME SOURCE:NUMBER ...', or the name alone to begin anew"


class Gap(msgspec.Struct, frozen=True, tag="gap"):
    """Matches dropped because a buffer was full: their count, and the first and last of their numbers."""

    source: str
    first: int
    last: int
    count: int


class EvaluationStart(msgspec.Struct, frozen=True, tag="from"):
    """The number from which on the source evaluates the filter; earlier events may or may not have matched."""

    source: str
    number: int


class SourceEnded(msgspec.Struct, frozen=True, tag="ended"):
    """The source has ended; any matches after this number that were not delivered are lost."""

    source: str
    after: int


class Match(msgspec.Struct, frozen=True, tag="match"):
    """An event that the filter matches."""

    event: Event


Item = Match | Gap | EvaluationStart


def position(item: Item) -> int:
    """The cursor of a subscriber after it has received an item."""
    if isinstance(item, Match):
        return item.event.number
    return item.last if isinstance(item, Gap) else item.number - 1


class Outbox:
    """The matches of one subscription at this source that its subscriber has not acknowledged yet."""

    def __init__(
        self, source: str, first_number: int, max_waiting: int = MAX_WAITING, max_waiting_bytes: int = MAX_WAITING_BYTES
    ) -> None:
        self.source = source
        self.max_waiting = max_waiting
        self.max_waiting_bytes = max_waiting_bytes
        self.window: list[Item] = []  # offered and not acknowledged yet
        self.start: EvaluationStart | None = EvaluationStart(source, first_number)
        self.gap: Gap | None = None  # dropped items between the window and `waiting`
        self.waiting: deque[tuple[Event, int]] = deque()  # events not offered yet, with their approximate bytes
        self.waiting_bytes = 0  # approximate bytes of `waiting`

    def add(self, event: Event) -> None:
        """Queue a match; beyond the limits, the oldest matches not yet offered are dropped and counted in a `Gap`."""
        size = approximate_bytes(event)
        self.waiting.append((event, size))
        self.waiting_bytes += size
        # Without the limits, a slow or disconnected subscriber would exhaust the sender's memory.
        while len(self.waiting) > self.max_waiting or self.waiting_bytes > self.max_waiting_bytes:
            dropped, size = self.waiting.popleft()
            self.waiting_bytes -= size
            first, count = (self.gap.first, self.gap.count) if self.gap else (dropped.number, 0)
            self.gap = Gap(self.source, first, dropped.number, count + 1)

    def offer(self) -> list[Item]:
        """The items to send now, in order; the same ones until all of them are acknowledged."""
        if not self.window:
            self.window = [item for item in (self.start, self.gap) if item is not None]
            self.start = self.gap = None
            while self.waiting and len(self.window) < WINDOW:
                event, size = self.waiting.popleft()
                self.waiting_bytes -= size
                self.window.append(Match(event))
        return list(self.window)

    def acknowledge(self, cursor: int) -> None:
        """Drop offered items up to a cursor, which the subscriber has received; items not offered yet stay."""
        self.window = [item for item in self.window if position(item) > cursor]


def approximate_bytes(event: Event) -> int:
    """The approximate bytes of memory that an event uses."""
    texts = sum(len(value) for value in event.fields.values() if isinstance(value, str))
    return EVENT_BYTES + 16 * len(event.fields) + 4 * texts


class Source:
    """One incarnation of this sender: numbers its events and matches them against the subscriptions."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.next_number = 1
        self.index = Index()
        self.outboxes: dict[str, Outbox] = {}
        # By name: a filter that cannot be evaluated here, and the error.
        self.failed_filters: dict[str, tuple[str, FilterError]] = {}

    def set_subscriptions(self, subscriptions: Mapping[str, Entry]) -> dict[str, FilterError]:
        """Replace the live subscriptions, by name, from the next event on.

        A subscription with a new filter starts over: unacknowledged matches of the old filter are dropped. Returns, by
        name, the errors of filters that this sender cannot evaluate, for example because they need a newer version.
        """
        for name in self.outboxes.keys() - subscriptions.keys():
            self._drop(name)
        self.failed_filters = {name: held for name, held in self.failed_filters.items() if name in subscriptions}
        for name, entry in subscriptions.items():
            if entry.filter not in (self.index.texts_by_name.get(name), self.failed_filters.get(name, ("",))[0]):
                self._drop(name)
                self.failed_filters.pop(name, None)
                try:
                    self.index.add(name, parse_filter(entry.filter))
                except FilterError as error:
                    self.failed_filters[name] = entry.filter, error
                else:
                    self.outboxes[name] = Outbox(self.name, self.next_number)
        return {name: error for name, (_, error) in self.failed_filters.items()}

    def _drop(self, name: str) -> None:
        self.index.remove(name)
        self.outboxes.pop(name, None)

    def publish(self, at: int, kind: str, fields: dict[str, Value]) -> list[str]:
        """Number an event and queue it for the subscriptions whose filters match it; returns their names.

        Raises InvalidEventError; the number is consumed even then.
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
    """One subscription at the member of its subscriber: forwards each match once, in the order of its source."""

    def __init__(self, cursors: Mapping[str, int] | None = None) -> None:
        self.cursors = dict(cursors or {})  # by source: the last number forwarded
        self.dropped = 0  # items not forwarded: repeated, naming another source, or beyond MAX_SOURCES

    def receive(self, source: str, items: Iterable[Item]) -> list[Item]:
        """Accept items of a source; returns the new ones, to be forwarded in this order."""
        new: list[Item] = []
        for item in items:
            held = self.cursors.get(source)
            cursor = position(item)
            item_source = item.event.source if isinstance(item, Match) else item.source
            # Drop repeated and late items, which would duplicate matches; items that name another source, which would
            # advance its cursor; and items of too many sources, which would exhaust memory.
            is_repeated = cursor <= held if held is not None else len(self.cursors) >= MAX_SOURCES
            if is_repeated or item_source != source:
                self.dropped += 1
                continue
            self.cursors[source] = cursor
            new.append(item)
        return new

    def end_source(self, source: str) -> list[SourceEnded]:
        """Drop the cursor of a source that has ended; returns the item that reports this, if the source was known."""
        cursor = self.cursors.pop(source, None)
        return [] if cursor is None else [SourceEnded(source, cursor)]


def encode_cursors(name: str, cursors: Mapping[str, int]) -> str:
    """Encode the name and cursors of a subscription as its subscriber stores them: `NAME SOURCE:NUMBER ...`."""
    return " ".join([name, *(f"{source}:{cursors[source]}" for source in sorted(cursors))])


def decode_cursors(text: str) -> tuple[str, dict[str, int]]:
    """Decode the name and cursors of a subscription. Raises InvalidCursorsError."""
    name, *parts = text.split(" ", MAX_SOURCES + 1)
    if not NAME.fullmatch(name):
        raise InvalidCursorsError(f"'{name[:80]}' can't name a subscription")
    if len(parts) > MAX_SOURCES:
        raise InvalidCursorsError(f"more than {MAX_SOURCES} sources")
    cursors: dict[str, int] = {}
    for part in parts:
        source, _, number = part.rpartition(":")
        is_valid = number.isascii() and number.isdigit() and len(number) < 20 and int(number) <= MAX_NUMBER
        if not is_valid or not NAME.fullmatch(source) or source in cursors:
            raise InvalidCursorsError(f"'{part[:80]}' is no cursor, or the source is named twice")
        cursors[source] = int(number)
    return name, cursors
