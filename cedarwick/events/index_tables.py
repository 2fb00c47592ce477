"""The containers of an index, one for each type of key: they find the filters under the keys that hold for an event.

Used by `index.py`.
"""

import math
from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Iterator
from operator import itemgetter
from typing import Any, NamedTuple, Protocol

from cedarwick.events.compiled import Test, Values
from cedarwick.events.index_keys import Begins, Bound, Equal, Number, Present, Within
from cedarwick.events.kinds import Value

MAX_FIELD_SETS = 24  # different sets of fields with keys of several equalities, besides single fields
CELLS_PER_SPAN = 4  # approximate number of cells that a span covers


class Entry(NamedTuple):
    """A filter under one of its keys: the test of what the key does not prove, and the subscriptions with it."""

    test: Test | None
    names: set[str]


Entries = dict[str, Entry]  # by the filter's text


class Table(Protocol):
    """A container of entries for one type of key."""

    def add(self, key: Any, text: str, entry: Entry) -> None:
        """Store the entry of a filter, identified by its text, under a key."""

    def remove(self, key: Any, text: str) -> None:
        """Remove a filter that was added under this key."""

    def find(self, values: Values, candidates: list[Entries]) -> None:
        """Append to `candidates` the entries under every key that holds for an event's values."""


class EqualityTables:
    """Entries by equalities: a hash map for each set of fields."""

    def __init__(self) -> None:
        self.single: dict[str, dict[Value, Entries]] = {}
        self.sets: dict[tuple[str, ...], dict[tuple[Value, ...], Entries]] = {}
        # For each set: how to read its values, and its hash map.
        self.lookups: list[tuple[Callable[[Values], Any], dict[Any, Entries]]] = []

    def allows(self, fields: tuple[str, ...]) -> bool:
        """Whether a set of fields is in use or may still be added."""
        return fields in self.sets or len(self.sets) < MAX_FIELD_SETS

    def add(self, key: Equal, text: str, entry: Entry) -> None:
        """Store an entry under a key; see `Table.add`."""
        if len(key.fields) == 1:
            self.single.setdefault(key.fields[0], {}).setdefault(key.values[0], {})[text] = entry
        else:
            if key.fields not in self.sets:
                table = self.sets[key.fields] = {}
                self.lookups.append((itemgetter(*key.fields), table))
            self.sets[key.fields].setdefault(key.values, {})[text] = entry

    def remove(self, key: Equal, text: str) -> None:
        """Remove a filter under a key; see `Table.remove`."""
        if len(key.fields) == 1:
            _remove_entry(self.single, key.fields[0], key.values[0], text)
        else:
            _remove_entry(self.sets, key.fields, key.values, text)
            if key.fields not in self.sets:
                self.lookups = [(itemgetter(*fields), table) for fields, table in self.sets.items()]

    def find(self, values: Values, candidates: list[Entries]) -> None:
        """Append the entries whose keys hold; see `Table.find`."""
        # An absent field reads as None, which is in no key.
        for name, table in self.single.items():
            entries = table.get(values[name])
            if entries is not None:
                candidates.append(entries)
        for read_values, tables in self.lookups:
            entries = tables.get(read_values(values))
            if entries is not None:
                candidates.append(entries)


def _remove_entry(tables: dict[Any, dict[Any, Entries]], first: Any, second: Any, text: str) -> None:
    """Remove a filter from a map of maps of entries, and the maps that become empty."""
    entries = tables[first][second]
    del entries[text]
    if not entries:
        del tables[first][second]
        if not tables[first]:
            del tables[first]


class PrefixTables:
    """Entries by prefix: a hash map for each field and length."""

    def __init__(self) -> None:
        self.tables: dict[tuple[str, int], dict[str, Entries]] = {}

    def add(self, key: Begins, text: str, entry: Entry) -> None:
        """Store an entry under a key; see `Table.add`."""
        table = self.tables.setdefault((key.field, len(key.prefix)), {})
        table.setdefault(key.prefix, {})[text] = entry

    def remove(self, key: Begins, text: str) -> None:
        """Remove a filter under a key; see `Table.remove`."""
        _remove_entry(self.tables, (key.field, len(key.prefix)), key.prefix, text)

    def find(self, values: Values, candidates: list[Entries]) -> None:
        """Append the entries whose keys hold; see `Table.find`."""
        for (name, length), table in self.tables.items():
            text = values.get(name)
            entries = table.get(text[:length]) if isinstance(text, str) else None
            if entries is not None:
                candidates.append(entries)


class SpanTables:
    """Entries by spans between two values, on grids of cells whose width is a power of two near that of the span.

    For an event, one cell is looked up for each width in use. A cell is wider than the part of the span in it, so the
    filter is still tested.
    """

    def __init__(self) -> None:
        self.tables: dict[tuple[str, float], dict[int, Entries]] = {}

    def add(self, key: Within, text: str, entry: Entry) -> None:
        """Store an entry under a key; see `Table.add`."""
        width, cells = self._cells(key)
        table = self.tables.setdefault((key.field, width), {})
        for cell in cells:
            table.setdefault(cell, {})[text] = entry

    def remove(self, key: Within, text: str) -> None:
        """Remove a filter under a key; see `Table.remove`."""
        width, cells = self._cells(key)
        for cell in cells:
            _remove_entry(self.tables, (key.field, width), cell, text)

    def find(self, values: Values, candidates: list[Entries]) -> None:
        """Append the entries whose keys hold; see `Table.find`."""
        for (name, width), table in self.tables.items():
            value: Any = values.get(name)
            entries = table.get(value // width) if value is not None else None
            if entries is not None:
                candidates.append(entries)

    @staticmethod
    def _cells(key: Within) -> tuple[float, Iterator[int]]:
        """The width of cells and the cells that a span touches: two to CELLS_PER_SPAN + 2."""
        # Subtract before converting to float: the difference of two large whole numbers as floats may be far off, and
        # the number of cells far too large.
        exponent = math.ceil(math.log2(max((key.high - key.low) / CELLS_PER_SPAN, 1e-9)))
        width: float = 2.0**exponent
        if isinstance(key.low, int) and isinstance(key.high, int):
            width = max(1, int(width))
        return width, iter(range(int(key.low // width), int(key.high // width) + 1))


class BoundTables:
    """Entries by one-sided bounds, sorted, so that the bounds which a value satisfies are one slice."""

    def __init__(self) -> None:
        self.tables: dict[tuple[str, bool], tuple[list[Number], dict[Number, Entries]]] = {}

    def add(self, key: Bound, text: str, entry: Entry) -> None:
        """Store an entry under a key; see `Table.add`."""
        limits, table = self.tables.setdefault((key.field, key.above), ([], {}))
        if key.limit not in table:
            insort(limits, key.limit)
            table[key.limit] = {}
        table[key.limit][text] = entry

    def remove(self, key: Bound, text: str) -> None:
        """Remove a filter under a key; see `Table.remove`."""
        limits, table = self.tables[key.field, key.above]
        del table[key.limit][text]
        if not table[key.limit]:
            del table[key.limit]
            del limits[bisect_left(limits, key.limit)]
            if not limits:
                del self.tables[key.field, key.above]

    def find(self, values: Values, candidates: list[Entries]) -> None:
        """Append the entries whose keys hold; see `Table.find`."""
        for (name, above), (limits, table) in self.tables.items():
            value: Any = values.get(name)
            if value is not None:
                reached = limits[: bisect_right(limits, value)] if above else limits[bisect_left(limits, value) :]
                candidates += [table[limit] for limit in reached]


class PresenceTable:
    """Entries by the presence of a field."""

    def __init__(self) -> None:
        self.table: dict[str, Entries] = {}

    def add(self, key: Present, text: str, entry: Entry) -> None:
        """Store an entry under a key; see `Table.add`."""
        self.table.setdefault(key.field, {})[text] = entry

    def remove(self, key: Present, text: str) -> None:
        """Remove a filter under a key; see `Table.remove`."""
        del self.table[key.field][text]
        if not self.table[key.field]:
            del self.table[key.field]

    def find(self, values: Values, candidates: list[Entries]) -> None:
        """Append the entries whose keys hold; see `Table.find`."""
        candidates += [entries for name, entries in self.table.items() if name in values]
