"""The tables of an index, one for each type of key: they find the filters under the keys that an event satisfies.

Used by `index.py`.
"""

import math
from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Iterator
from operator import itemgetter
from typing import Any, NamedTuple, Protocol

from cedarwick.events.compiled import FieldValues, Predicate
from cedarwick.events.index_keys import BoundKey, EqualityKey, Number, PrefixKey, PresenceKey, RangeKey
from cedarwick.events.kinds import Value

MAX_FIELD_SETS = 24  # sets of two or more fields that equality keys may combine
CELLS_PER_RANGE = 4  # approximate number of cells that a range covers


class IndexEntry(NamedTuple):
    """A filter under one of its keys: the predicate for what the key does not prove, and the names of subscriptions."""

    predicate: Predicate | None
    names: set[str]


EntriesByText = dict[str, IndexEntry]  # by the canonical text of the filter


class Table(Protocol):
    """A table of entries for one type of key."""

    def add(self, key: Any, filter_text: str, entry: IndexEntry) -> None:
        """Store the entry of a filter, which is identified by its text, under a key."""

    def remove(self, key: Any, filter_text: str) -> None:
        """Remove a filter that was added under this key."""

    def find(self, values: FieldValues, candidates: list[EntriesByText]) -> None:
        """Append to `candidates` the entries under every key that the values of an event satisfy."""


class EqualityTables:
    """The entries under equality keys: one hash map for each set of fields."""

    def __init__(self) -> None:
        self.single: dict[str, dict[Value, EntriesByText]] = {}
        self.field_sets: dict[tuple[str, ...], dict[tuple[Value, ...], EntriesByText]] = {}
        # For each set of fields: the function that reads its values, and its hash map.
        self.lookups: list[tuple[Callable[[FieldValues], Any], dict[Any, EntriesByText]]] = []

    def allows(self, fields: tuple[str, ...]) -> bool:
        """Whether a set of fields has a hash map or may still get one."""
        return fields in self.field_sets or len(self.field_sets) < MAX_FIELD_SETS

    def add(self, key: EqualityKey, filter_text: str, entry: IndexEntry) -> None:
        """Store an entry under a key; see `Table.add`."""
        if len(key.fields) == 1:
            self.single.setdefault(key.fields[0], {}).setdefault(key.values[0], {})[filter_text] = entry
        else:
            if key.fields not in self.field_sets:
                table = self.field_sets[key.fields] = {}
                self.lookups.append((itemgetter(*key.fields), table))
            self.field_sets[key.fields].setdefault(key.values, {})[filter_text] = entry

    def remove(self, key: EqualityKey, filter_text: str) -> None:
        """Remove a filter under a key; see `Table.remove`."""
        if len(key.fields) == 1:
            _remove_entry(self.single, key.fields[0], key.values[0], filter_text)
        else:
            _remove_entry(self.field_sets, key.fields, key.values, filter_text)
            if key.fields not in self.field_sets:
                self.lookups = [(itemgetter(*fields), table) for fields, table in self.field_sets.items()]

    def find(self, values: FieldValues, candidates: list[EntriesByText]) -> None:
        """Append the entries whose keys are satisfied; see `Table.find`."""
        # An absent field reads as None, which no key contains.
        for field, table in self.single.items():
            entries = table.get(values[field])
            if entries is not None:
                candidates.append(entries)
        for read_values, tables in self.lookups:
            entries = tables.get(read_values(values))
            if entries is not None:
                candidates.append(entries)


def _remove_entry(
    tables: dict[Any, dict[Any, EntriesByText]], outer_key: Any, inner_key: Any, filter_text: str
) -> None:
    """Remove a filter from nested maps of entries, and delete the maps that become empty."""
    entries = tables[outer_key][inner_key]
    del entries[filter_text]
    if not entries:
        del tables[outer_key][inner_key]
        if not tables[outer_key]:
            del tables[outer_key]


class PrefixTables:
    """The entries under prefix keys: one hash map for each field and length of prefix."""

    def __init__(self) -> None:
        self.tables: dict[tuple[str, int], dict[str, EntriesByText]] = {}

    def add(self, key: PrefixKey, filter_text: str, entry: IndexEntry) -> None:
        """Store an entry under a key; see `Table.add`."""
        table = self.tables.setdefault((key.field, len(key.prefix)), {})
        table.setdefault(key.prefix, {})[filter_text] = entry

    def remove(self, key: PrefixKey, filter_text: str) -> None:
        """Remove a filter under a key; see `Table.remove`."""
        _remove_entry(self.tables, (key.field, len(key.prefix)), key.prefix, filter_text)

    def find(self, values: FieldValues, candidates: list[EntriesByText]) -> None:
        """Append the entries whose keys are satisfied; see `Table.find`."""
        for (field, length), table in self.tables.items():
            value = values.get(field)
            entries = table.get(value[:length]) if isinstance(value, str) else None
            if entries is not None:
                candidates.append(entries)


class RangeTables:
    """The entries under range keys, in grids of cells whose width is a power of two near range / CELLS_PER_RANGE.

    For an event, one cell is looked up for each field and cell width in use. A range may cover only a part of a cell,
    so the filter is still tested.
    """

    def __init__(self) -> None:
        self.tables: dict[tuple[str, float], dict[int, EntriesByText]] = {}

    def add(self, key: RangeKey, filter_text: str, entry: IndexEntry) -> None:
        """Store an entry under a key; see `Table.add`."""
        width, cells = self._cells(key)
        table = self.tables.setdefault((key.field, width), {})
        for cell in cells:
            table.setdefault(cell, {})[filter_text] = entry

    def remove(self, key: RangeKey, filter_text: str) -> None:
        """Remove a filter under a key; see `Table.remove`."""
        width, cells = self._cells(key)
        for cell in cells:
            _remove_entry(self.tables, (key.field, width), cell, filter_text)

    def find(self, values: FieldValues, candidates: list[EntriesByText]) -> None:
        """Append the entries whose keys are satisfied; see `Table.find`."""
        for (field, width), table in self.tables.items():
            value: Any = values.get(field)
            entries = table.get(value // width) if value is not None else None
            if entries is not None:
                candidates.append(entries)

    @staticmethod
    def _cells(key: RangeKey) -> tuple[float, Iterator[int]]:
        """Return the cell width and the cells that a range overlaps, normally two to CELLS_PER_RANGE + 2."""
        # Subtract before the conversion to float: the difference of two large integers as floats can be far off, and
        # the number of cells far too large.
        exponent = math.ceil(math.log2(max((key.high - key.low) / CELLS_PER_RANGE, 1e-9)))
        width: float = 2.0**exponent
        if isinstance(key.low, int) and isinstance(key.high, int):
            width = max(1, int(width))
        return width, iter(range(int(key.low // width), int(key.high // width) + 1))


class BoundTables:
    """The entries under bound keys; the limits are sorted, so that those which a value satisfies form one slice."""

    def __init__(self) -> None:
        self.tables: dict[tuple[str, bool], tuple[list[Number], dict[Number, EntriesByText]]] = {}

    def add(self, key: BoundKey, filter_text: str, entry: IndexEntry) -> None:
        """Store an entry under a key; see `Table.add`."""
        limits, table = self.tables.setdefault((key.field, key.above), ([], {}))
        if key.limit not in table:
            insort(limits, key.limit)
            table[key.limit] = {}
        table[key.limit][filter_text] = entry

    def remove(self, key: BoundKey, filter_text: str) -> None:
        """Remove a filter under a key; see `Table.remove`."""
        limits, table = self.tables[key.field, key.above]
        del table[key.limit][filter_text]
        if not table[key.limit]:
            del table[key.limit]
            del limits[bisect_left(limits, key.limit)]
            if not limits:
                del self.tables[key.field, key.above]

    def find(self, values: FieldValues, candidates: list[EntriesByText]) -> None:
        """Append the entries whose keys are satisfied; see `Table.find`."""
        for (field, above), (limits, table) in self.tables.items():
            value: Any = values.get(field)
            if value is not None:
                satisfied_limits = (
                    limits[: bisect_right(limits, value)] if above else limits[bisect_left(limits, value) :]
                )
                candidates += [table[limit] for limit in satisfied_limits]


class PresenceTable:
    """The entries under presence keys, by field."""

    def __init__(self) -> None:
        self.table: dict[str, EntriesByText] = {}

    def add(self, key: PresenceKey, filter_text: str, entry: IndexEntry) -> None:
        """Store an entry under a key; see `Table.add`."""
        self.table.setdefault(key.field, {})[filter_text] = entry

    def remove(self, key: PresenceKey, filter_text: str) -> None:
        """Remove a filter under a key; see `Table.remove`."""
        del self.table[key.field][filter_text]
        if not self.table[key.field]:
            del self.table[key.field]

    def find(self, values: FieldValues, candidates: list[EntriesByText]) -> None:
        """Append the entries whose keys are satisfied; see `Table.find`."""
        candidates += [entries for field, entries in self.table.items() if field in values]
