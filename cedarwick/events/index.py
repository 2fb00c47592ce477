"""The index over many filters: an event is tested only against the filters that may match it. Used by `streams.py`.

Each filter is stored under keys of which at least one must hold if the filter is true. A key is a set of equalities
looked up together in a hash map, a prefix, a span between two values, a one-sided bound, or the presence of a field;
`access_predicates.py` chooses it and `index_tables.py` finds it. What the key does not prove is tested by the compiled
rest of the filter. Filters without a key are tested for every event. Filters of the same text are stored once.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cedarwick.events import access_predicates
from cedarwick.events.compiled import Values, tested
from cedarwick.events.index_keys import Begins, Bound, Equal, Key, Present, Within
from cedarwick.events.index_tables import (
    BoundTables,
    Entries,
    Entry,
    EqualityTables,
    PrefixTables,
    PresenceTable,
    SpanTables,
    Table,
)
from cedarwick.events.kinds import Event
from cedarwick.events.language import Filter
from cedarwick.events.normalization import normal
from cedarwick.events.terms import And, joined


@dataclass(slots=True)
class Group:
    """The subscriptions with the same filter."""

    names: set[str]
    keys: tuple[Key, ...]


class EventValues(dict[str, Any]):
    """An event's values by field; an absent one reads as None."""

    def __missing__(self, name: str) -> None:
        return None


class Index:
    """Filters by name, and which of them an event matches."""

    def __init__(self) -> None:
        self.groups: dict[str, Group] = {}  # by text
        self.texts_by_name: dict[str, str] = {}  # by name
        self.without_key: Entries = {}
        self.equalities = EqualityTables()
        self.tables: dict[type[Any], Table] = {
            Equal: self.equalities,
            Begins: PrefixTables(),
            Within: SpanTables(),
            Bound: BoundTables(),
            Present: PresenceTable(),
        }
        self.find_functions: list[Callable[[Values, list[Entries]], None]] = []  # of the tables that are not empty

    def __len__(self) -> int:
        return len(self.texts_by_name)

    def add(self, name: str, filter_: Filter) -> None:
        """Add a filter under a name, replacing the one that had it."""
        if self.texts_by_name.get(name) == filter_.canonical_text:
            return
        self.remove(name)
        self.texts_by_name[name] = filter_.canonical_text
        group = self.groups.get(filter_.canonical_text)
        if group is None:
            group = self.groups[filter_.canonical_text] = self._insert(filter_)
        group.names.add(name)

    def remove(self, name: str) -> None:
        """Remove a name; does nothing if it is unknown."""
        canonical_text = self.texts_by_name.pop(name, None)
        if canonical_text is None:
            return
        group = self.groups[canonical_text]
        group.names.remove(name)
        if not group.names:
            del self.groups[canonical_text]
            self.without_key.pop(canonical_text, None)
            for key in group.keys:
                self.tables[type(key)].remove(key, canonical_text)
            self._update_find_functions()

    def matches(self, event: Event) -> list[str]:
        """The names of the filters that are true for an event, sorted, without repetition."""
        values = EventValues(event.fields)
        values["kind"] = event.kind
        candidates: list[Entries] = [self.without_key]
        for find in self.find_functions:
            find(values, candidates)
        # A set, because a filter with several keys may be found under more than one.
        names: set[str] = set()
        for entries in candidates:
            for test, subscriptions in entries.values():
                if test is None or test(values):
                    names |= subscriptions
        return sorted(names)

    def _insert(self, filter_: Filter) -> Group:
        term, names = normal(filter_.term), set[str]()
        access = access_predicates.choose(term, self.equalities.allows)
        if access is None:
            self.without_key[filter_.canonical_text] = Entry(tested(term), names)
            return Group(names, ())
        for key, proved in access.keys.items():
            rest = [
                conjunct
                for conjunct in access_predicates.conjuncts(term)
                if not access_predicates.follows(conjunct, proved)
            ]
            entry = Entry(tested(joined(And, tuple(rest))) if rest else None, names)
            self.tables[type(key)].add(key, filter_.canonical_text, entry)
        self._update_find_functions()
        return Group(names, tuple(access.keys))

    def _update_find_functions(self) -> None:
        self.find_functions = [table.find for table in self.tables.values() if any(vars(table).values())]
