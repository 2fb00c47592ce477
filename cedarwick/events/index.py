"""An index of filters: an event is tested only against the filters that it may match. Used by `streams.py`.

Each filter is stored under keys; an event that matches the filter satisfies at least one of them. A key is a set of
equalities that is looked up in a hash map, a prefix, a range, a one-sided bound, or the presence of a field.
`access_predicates.py` chooses the keys, `index_tables.py` finds the satisfied ones. A compiled predicate tests the
conjuncts that the key does not prove. Filters without a key are tested for every event. Filters with the same text are
stored once.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cedarwick.events import access_predicates
from cedarwick.events.compiled import FieldValues, compile_term
from cedarwick.events.index_keys import BoundKey, EqualityKey, Key, PrefixKey, PresenceKey, RangeKey
from cedarwick.events.index_tables import (
    BoundTables,
    EntriesByText,
    EqualityTables,
    IndexEntry,
    PrefixTables,
    PresenceTable,
    RangeTables,
    Table,
)
from cedarwick.events.kinds import Event
from cedarwick.events.language import Filter
from cedarwick.events.normalization import normalize
from cedarwick.events.terms import And, combine


@dataclass(slots=True)
class FilterGroup:
    """The names of the subscriptions with the same filter, and the keys of this filter."""

    names: set[str]
    keys: tuple[Key, ...]


class EventValues(dict[str, Any]):
    """The values of an event by field; an absent field reads as None."""

    def __missing__(self, name: str) -> None:
        return None


class Index:
    """Finds the filters, each added under a name, that an event matches."""

    def __init__(self) -> None:
        self.groups_by_text: dict[str, FilterGroup] = {}  # by canonical text
        self.texts_by_name: dict[str, str] = {}  # canonical texts of filters
        self.unkeyed_entries: EntriesByText = {}
        self.equalities = EqualityTables()
        self.tables: dict[type[Any], Table] = {
            EqualityKey: self.equalities,
            PrefixKey: PrefixTables(),
            RangeKey: RangeTables(),
            BoundKey: BoundTables(),
            PresenceKey: PresenceTable(),
        }
        # The `find` methods of the tables that are not empty.
        self.active_lookups: list[Callable[[FieldValues, list[EntriesByText]], None]] = []

    def __len__(self) -> int:
        return len(self.texts_by_name)

    def add(self, name: str, filter_: Filter) -> None:
        """Add a filter under a name; it replaces the previous filter with this name."""
        if self.texts_by_name.get(name) == filter_.canonical_text:
            return
        self.remove(name)
        self.texts_by_name[name] = filter_.canonical_text
        group = self.groups_by_text.get(filter_.canonical_text)
        if group is None:
            group = self.groups_by_text[filter_.canonical_text] = self._insert(filter_)
        group.names.add(name)

    def remove(self, name: str) -> None:
        """Remove the filter with a name, if there is one."""
        canonical_text = self.texts_by_name.pop(name, None)
        if canonical_text is None:
            return
        group = self.groups_by_text[canonical_text]
        group.names.remove(name)
        if not group.names:
            del self.groups_by_text[canonical_text]
            self.unkeyed_entries.pop(canonical_text, None)
            for key in group.keys:
                self.tables[type(key)].remove(key, canonical_text)
            self._update_active_lookups()

    def matches(self, event: Event) -> list[str]:
        """Return the names of the filters that an event matches, sorted and without duplicates."""
        values = EventValues(event.fields)
        values["kind"] = event.kind
        candidates: list[EntriesByText] = [self.unkeyed_entries]
        for find in self.active_lookups:
            find(values, candidates)
        # A set, because a filter may be found under several of its keys.
        names: set[str] = set()
        for entries in candidates:
            for predicate, subscriptions in entries.values():
                if predicate is None or predicate(values):
                    names |= subscriptions
        return sorted(names)

    def _insert(self, filter_: Filter) -> FilterGroup:
        term, names = normalize(filter_.term), set[str]()
        access = access_predicates.choose_access(term, self.equalities.allows)
        if access is None:
            self.unkeyed_entries[filter_.canonical_text] = IndexEntry(compile_term(term), names)
            return FilterGroup(names, ())
        for key, proved in access.keys.items():
            unproved = [
                conjunct
                for conjunct in access_predicates.conjuncts(term)
                if not access_predicates.is_implied(conjunct, proved)
            ]
            entry = IndexEntry(compile_term(combine(And, tuple(unproved))) if unproved else None, names)
            self.tables[type(key)].add(key, filter_.canonical_text, entry)
        self._update_active_lookups()
        return FilterGroup(names, tuple(access.keys))

    def _update_active_lookups(self) -> None:
        self.active_lookups = [table.find for table in self.tables.values() if any(vars(table).values())]
