"""The index over many filters: an event is tested only against the filters that may match it. Used by `streams.py`.

Each filter is stored under keys of which at least one must hold if the filter is true (its access predicate, as in Le
Subscribe: Fabret et al., 2001). A key is a set of equalities looked up together in a hash map, a prefix, a span between
two values, a one-sided bound, or the presence of a field; of a filter's conjuncts, the one estimated to hold for the
fewest events is chosen. What the key does not prove is tested by the compiled rest of the filter. Filters without a key
are tested for every event. Filters of the same text are stored once.
"""

import itertools
import math
from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from operator import itemgetter
from typing import Any, NamedTuple, Protocol, TypeGuard

from cedarwick.events.compiled import Test, Values, tested
from cedarwick.events.kinds import FIELDS, Event, Type, Value
from cedarwick.events.language import Filter
from cedarwick.events.normalization import normal
from cedarwick.events.terms import Among, And, Compare, Has, Like, Not, Or, Range, Sample, Term, joined

MAX_KEYS = 64  # of one filter
MAX_JOINT_EQUALITIES = 3  # fields in one key of several equalities
MAX_FIELD_SETS = 24  # different sets of fields with such keys, besides single fields
CELLS_PER_SPAN = 4  # approximate number of cells that a span covers
# Estimated share of events for which an equality on a field holds; only used to compare keys.
SHARES = {
    "id": 1e-5,
    "age": 1e-4,
    "wait": 1e-4,
    "worth": 1e-3,
    "destination": 1e-3,
    "receiver": 1e-3,
    "tenant": 0.01,
    "sender": 0.05,
    "member": 0.05,
    "hall": 0.1,
    "kind": 0.1,
    "outcome": 0.1,
    "band": 0.2,
    "shots": 0.2,
    "at_most_once": 0.5,
}
SPAN_SHARE, BOUND_SHARE, HAS_SHARE, LETTER_SHARE = 0.1, 0.4, 0.6, 0.2
Number = int | float


@dataclass(frozen=True, slots=True)
class Equal:
    """Key: all these fields have these values."""

    fields: tuple[str, ...]
    values: tuple[Value, ...]


@dataclass(frozen=True, slots=True)
class Begins:
    """Key: a text field begins with a prefix."""

    field: str
    prefix: str


@dataclass(frozen=True, slots=True)
class Within:
    """Key: a field is between two values, both included."""

    field: str
    low: Number
    high: Number


@dataclass(frozen=True, slots=True)
class Bound:
    """Key: a field is at a limit or above it, or with `above` false at it or below."""

    field: str
    above: bool
    limit: Number


@dataclass(frozen=True, slots=True)
class Present:
    """Key: the event has a field."""

    field: str


# Classes, not plain tuples: two keys of different kinds must never be equal, or a filter would be stored under only
# one of them.
Key = Equal | Begins | Within | Bound | Present


class Access(NamedTuple):
    """Keys of which one must hold, each with the leaves that it proves, and the estimated share of events."""

    keys: dict[Key, frozenset[Term]]
    share: float


class Entry(NamedTuple):
    """A filter under one of its keys: the test of what the key does not prove, and the subscriptions with it."""

    test: Test | None
    names: set[str]


@dataclass(slots=True)
class Group:
    """The subscriptions with the same filter."""

    names: set[str]
    keys: tuple[Key, ...]


Entries = dict[str, Entry]  # by the filter's text


class Store(Protocol):
    """A container of entries for one type of key."""

    def add(self, key: Any, text: str, entry: Entry) -> None:
        """Store the entry of a filter, identified by its text, under a key."""

    def remove(self, key: Any, text: str) -> None:
        """Remove a filter that was added under this key."""

    def find(self, held: Values, found: list[Entries]) -> None:
        """Append to `found` the entries under every key that holds for an event's values."""


class Held(dict[str, Any]):
    """An event's values by field; an absent one reads as None."""

    def __missing__(self, name: str) -> None:
        return None


class Index:
    """Filters by name, and which of them an event matches."""

    def __init__(self) -> None:
        self.groups: dict[str, Group] = {}  # by text
        self.texts: dict[str, str] = {}  # by name
        self.each: Entries = {}  # filters without a key
        self.equals = Equals()
        self.stores: dict[type[Any], Store] = {
            Equal: self.equals,
            Begins: Prefixes(),
            Within: Spans(),
            Bound: Bounds(),
            Present: Presences(),
        }
        self.finds: list[Callable[[Values, list[Entries]], None]] = []  # of the stores that are not empty

    def __len__(self) -> int:
        return len(self.texts)

    def add(self, name: str, filter_: Filter) -> None:
        """Add a filter under a name, replacing the one that had it."""
        if self.texts.get(name) == filter_.text:
            return
        self.remove(name)
        self.texts[name] = filter_.text
        group = self.groups.get(filter_.text)
        if group is None:
            group = self.groups[filter_.text] = self._placed(filter_)
        group.names.add(name)

    def remove(self, name: str) -> None:
        """Remove a name; does nothing if it is unknown."""
        text = self.texts.pop(name, None)
        if text is None:
            return
        group = self.groups[text]
        group.names.remove(name)
        if not group.names:
            del self.groups[text]
            self.each.pop(text, None)
            for key in group.keys:
                self.stores[type(key)].remove(key, text)
            self._note_filled()

    def matches(self, event: Event) -> list[str]:
        """The names of the filters that are true for an event, sorted, without repetition."""
        held = Held(event.fields)
        held["kind"] = event.kind
        found: list[Entries] = [self.each]
        for find in self.finds:
            find(held, found)
        # A set, because a filter with several keys may be found under more than one.
        names: set[str] = set()
        for entries in found:
            for test, here in entries.values():
                if test is None or test(held):
                    names |= here
        return sorted(names)

    def _placed(self, filter_: Filter) -> Group:
        term, names = normal(filter_.term), set[str]()
        access = self._access(term)
        if access is None:
            self.each[filter_.text] = Entry(tested(term), names)
            return Group(names, ())
        for key, shown in access.keys.items():
            rest = [each for each in _conjuncts(term) if not _follows(each, shown)]
            entry = Entry(tested(joined(And, tuple(rest))) if rest else None, names)
            self.stores[type(key)].add(key, filter_.text, entry)
        self._note_filled()
        return Group(names, tuple(access.keys))

    def _note_filled(self) -> None:
        self.finds = [store.find for store in self.stores.values() if any(vars(store).values())]

    def _access(self, term: Term) -> Access | None:
        """The most selective keys that a normal term implies; None if it has none."""
        if isinstance(term, And):
            options = [*(self._access(_spread(each, term)) for each in term.terms), self._together(term)]
            possible = [each for each in options if each is not None]
            return min(possible, key=lambda each: each.share) if possible else None
        if isinstance(term, Or):
            parts = [self._access(each) for each in term.terms]
            keys: dict[Key, frozenset[Term]] = {}
            for part in parts:
                # With one branch without a key, the filter would be missed whenever that branch is true.
                if part is None:
                    return None
                keys |= part.keys
            share = sum(part.share for part in parts if part)
            return Access(keys, share) if len(keys) <= MAX_KEYS else None
        return _leaf_access(term)

    def _together(self, term: And) -> Access | None:
        """Combine several equalities of a conjunction into one key for each combination of values."""
        best: dict[str, Compare | Among] = {}
        for each in term.terms:
            if _is_equality(each):
                if each.field not in best or len(_values(each)) < len(_values(best[each.field])):
                    best[each.field] = each
        chosen: list[Compare | Among] = []
        count, share = 1, 1.0
        for name in sorted(best, key=lambda name: (SHARES[name] * len(_values(best[name])), name)):
            values = len(_values(best[name]))
            if len(chosen) < MAX_JOINT_EQUALITIES and count * values <= MAX_KEYS:
                chosen.append(best[name])
                count *= values
                share *= min(1.0, SHARES[name] * values)
        chosen.sort(key=lambda each: each.field)
        fields = tuple(each.field for each in chosen)
        # Each set of fields costs every event a lookup, so their number is limited: random filters could need hundreds.
        if len(chosen) < 2 or not self.equals.takes(fields):
            return None
        keys = (Equal(fields, values) for values in itertools.product(*map(_values, chosen)))
        return Access(dict.fromkeys(keys, frozenset(chosen)), share)


def _spread(term: Term, beside: And) -> Term:
    """Distribute the equalities beside an `or` over its branches; other terms are returned unchanged."""
    equalities = tuple(each for each in beside.terms if _is_equality(each))
    if not isinstance(term, Or) or not equalities:
        return term
    return Or(tuple(joined(And, (each, *equalities)) for each in term.terms))


def _follows(term: Term, shown: frozenset[Term]) -> bool:
    """Whether a term is true if the leaves in `shown` are."""
    if isinstance(term, And):
        return all(_follows(each, shown) for each in term.terms)
    return any(_follows(each, shown) for each in term.terms) if isinstance(term, Or) else term in shown


def _is_equality(term: Term) -> TypeGuard[Compare | Among]:
    return isinstance(term, Among) or isinstance(term, Compare) and term.sign == "="


def _conjuncts(term: Term) -> tuple[Term, ...]:
    return term.terms if isinstance(term, And) else (term,)


def _values(term: Compare | Among) -> tuple[Value, ...]:
    return term.values if isinstance(term, Among) else (term.value,)


def _leaf_access(term: Term) -> Access | None:
    if isinstance(term, Has):
        return Access({Present(term.field): frozenset({term})}, HAS_SHARE)
    if _is_equality(term):
        values = _values(term)
        if len(values) <= MAX_KEYS:
            keys: dict[Key, frozenset[Term]] = {Equal((term.field,), (value,)): frozenset({term}) for value in values}
            return Access(keys, min(1.0, SHARES[term.field] * len(values)))
    elif isinstance(term, Compare) and term.sign != "!=":
        return _bound_access(term)
    elif isinstance(term, Range):
        return Access({Within(term.field, term.low, term.high): frozenset()}, SPAN_SHARE)
    elif isinstance(term, Like) and term.head:
        whole: frozenset[Term] = frozenset({term} if term.prefix is not None else ())
        return Access({Begins(term.field, term.head): whole}, LETTER_SHARE ** len(term.head))
    return _presence(term)


def _bound_access(term: Compare) -> Access:
    assert not isinstance(term.value, str)
    above, limit = term.sign in (">", ">="), term.value
    # For a strict bound on a number the leaf is not proved by the key: between a large float and the next there are
    # whole numbers that an event may carry, so the leaf is tested.
    shown: frozenset[Term] = frozenset({term} if "=" in term.sign or FIELDS[term.field] is not Type.NUMBER else ())
    if shown and "=" not in term.sign:
        limit += 1 if above else -1
    return Access({Bound(term.field, above, limit): shown}, BOUND_SHARE)


def _presence(term: Term) -> Access | None:
    """The presence key of a leaf, which is unknown if its field is absent; None for `not has`, true there."""
    leaf = term.term if isinstance(term, Not) else term
    if isinstance(leaf, Compare | Among | Like | Sample):
        return Access({Present("id" if isinstance(leaf, Sample) else leaf.field): frozenset()}, HAS_SHARE)
    return None


class Equals:
    """Entries by equalities: a hash map for each set of fields."""

    def __init__(self) -> None:
        self.single: dict[str, dict[Value, Entries]] = {}
        self.sets: dict[tuple[str, ...], dict[tuple[Value, ...], Entries]] = {}
        self.looks: list[
            tuple[Callable[[Values], Any], dict[Any, Entries]]
        ] = []  # for each set: how to read its values, and its hash map

    def takes(self, fields: tuple[str, ...]) -> bool:
        """Whether a set of fields is in use or may still be added."""
        return fields in self.sets or len(self.sets) < MAX_FIELD_SETS

    def add(self, key: Equal, text: str, entry: Entry) -> None:
        """Store an entry under a key; see `Store.add`."""
        if len(key.fields) == 1:
            self.single.setdefault(key.fields[0], {}).setdefault(key.values[0], {})[text] = entry
        else:
            if key.fields not in self.sets:
                table = self.sets[key.fields] = {}
                self.looks.append((itemgetter(*key.fields), table))
            self.sets[key.fields].setdefault(key.values, {})[text] = entry

    def remove(self, key: Equal, text: str) -> None:
        """Remove a filter under a key; see `Store.remove`."""
        if len(key.fields) == 1:
            _take_out(self.single, key.fields[0], key.values[0], text)
        else:
            _take_out(self.sets, key.fields, key.values, text)
            if key.fields not in self.sets:
                self.looks = [(itemgetter(*fields), table) for fields, table in self.sets.items()]

    def find(self, held: Values, found: list[Entries]) -> None:
        """Append the entries whose keys hold; see `Store.find`."""
        # An absent field reads as None, which is in no key.
        for name, table in self.single.items():
            entries = table.get(held[name])
            if entries is not None:
                found.append(entries)
        for look, tables in self.looks:
            entries = tables.get(look(held))
            if entries is not None:
                found.append(entries)


def _take_out(tables: dict[Any, dict[Any, Entries]], first: Any, second: Any, text: str) -> None:
    """Remove a filter from a map of maps of entries, and the maps that become empty."""
    entries = tables[first][second]
    del entries[text]
    if not entries:
        del tables[first][second]
        if not tables[first]:
            del tables[first]


class Prefixes:
    """Entries by prefix: a hash map for each field and length."""

    def __init__(self) -> None:
        self.tables: dict[tuple[str, int], dict[str, Entries]] = {}

    def add(self, key: Begins, text: str, entry: Entry) -> None:
        """Store an entry under a key; see `Store.add`."""
        table = self.tables.setdefault((key.field, len(key.prefix)), {})
        table.setdefault(key.prefix, {})[text] = entry

    def remove(self, key: Begins, text: str) -> None:
        """Remove a filter under a key; see `Store.remove`."""
        _take_out(self.tables, (key.field, len(key.prefix)), key.prefix, text)

    def find(self, held: Values, found: list[Entries]) -> None:
        """Append the entries whose keys hold; see `Store.find`."""
        for (name, length), table in self.tables.items():
            text = held.get(name)
            entries = table.get(text[:length]) if isinstance(text, str) else None
            if entries is not None:
                found.append(entries)


class Spans:
    """Entries by spans between two values, on grids of cells whose width is a power of two near that of the span.

    For an event, one cell is looked up for each width in use. A cell is wider than the part of the span in it, so the
    filter is still tested.
    """

    def __init__(self) -> None:
        self.tables: dict[tuple[str, float], dict[int, Entries]] = {}

    def add(self, key: Within, text: str, entry: Entry) -> None:
        """Store an entry under a key; see `Store.add`."""
        width, cells = self._cells(key)
        table = self.tables.setdefault((key.field, width), {})
        for cell in cells:
            table.setdefault(cell, {})[text] = entry

    def remove(self, key: Within, text: str) -> None:
        """Remove a filter under a key; see `Store.remove`."""
        width, cells = self._cells(key)
        for cell in cells:
            _take_out(self.tables, (key.field, width), cell, text)

    def find(self, held: Values, found: list[Entries]) -> None:
        """Append the entries whose keys hold; see `Store.find`."""
        for (name, width), table in self.tables.items():
            value: Any = held.get(name)
            entries = table.get(value // width) if value is not None else None
            if entries is not None:
                found.append(entries)

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


class Bounds:
    """Entries by one-sided bounds, sorted, so that the bounds which a value satisfies are one slice."""

    def __init__(self) -> None:
        self.tables: dict[tuple[str, bool], tuple[list[Number], dict[Number, Entries]]] = {}

    def add(self, key: Bound, text: str, entry: Entry) -> None:
        """Store an entry under a key; see `Store.add`."""
        limits, table = self.tables.setdefault((key.field, key.above), ([], {}))
        if key.limit not in table:
            insort(limits, key.limit)
            table[key.limit] = {}
        table[key.limit][text] = entry

    def remove(self, key: Bound, text: str) -> None:
        """Remove a filter under a key; see `Store.remove`."""
        limits, table = self.tables[key.field, key.above]
        del table[key.limit][text]
        if not table[key.limit]:
            del table[key.limit]
            del limits[bisect_left(limits, key.limit)]
            if not limits:
                del self.tables[key.field, key.above]

    def find(self, held: Values, found: list[Entries]) -> None:
        """Append the entries whose keys hold; see `Store.find`."""
        for (name, above), (limits, table) in self.tables.items():
            value: Any = held.get(name)
            if value is not None:
                reached = limits[: bisect_right(limits, value)] if above else limits[bisect_left(limits, value) :]
                found += [table[limit] for limit in reached]


class Presences:
    """Entries by the presence of a field."""

    def __init__(self) -> None:
        self.table: dict[str, Entries] = {}

    def add(self, key: Present, text: str, entry: Entry) -> None:
        """Store an entry under a key; see `Store.add`."""
        self.table.setdefault(key.field, {})[text] = entry

    def remove(self, key: Present, text: str) -> None:
        """Remove a filter under a key; see `Store.remove`."""
        del self.table[key.field][text]
        if not self.table[key.field]:
            del self.table[key.field]

    def find(self, held: Values, found: list[Entries]) -> None:
        """Append the entries whose keys hold; see `Store.find`."""
        found += [entries for name, entries in self.table.items() if name in held]
