"""Chooses the keys under which a filter is indexed: its access predicate (as in Le Subscribe, Fabret et al. 2001).

It chooses the conjunct that is estimated to be true for the smallest share of events. Used by `index.py`.
"""

import itertools
from collections.abc import Callable
from typing import NamedTuple, TypeGuard

from cedarwick.events.index_keys import BoundKey, EqualityKey, Key, PrefixKey, PresenceKey, RangeKey
from cedarwick.events.kinds import FIELD_TYPES, FieldType, Value
from cedarwick.events.terms import And, Comparison, Has, Like, Not, OneOf, Or, Range, Sample, Term, combine

MAX_KEYS = 64  # keys of one filter
MAX_JOINT_EQUALITIES = 3  # fields that one equality key may combine
# Estimated share of events that satisfy an equality on a field; only used to compare keys.
EQUALITY_SELECTIVITIES = {
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
# The same for the other types of keys; the selectivity of a prefix is that of one character to the power of its length.
RANGE_SELECTIVITY, BOUND_SELECTIVITY, PRESENCE_SELECTIVITY, CHARACTER_SELECTIVITY = 0.1, 0.4, 0.6, 0.2

FieldSetCheck = Callable[[tuple[str, ...]], bool]


class AccessPredicate(NamedTuple):
    """The keys of a filter, each with the leaves that it proves, and the estimated share of events that satisfy one.

    An event that matches the filter satisfies at least one of the keys.
    """

    keys: dict[Key, frozenset[Term]]
    selectivity: float


def choose_access(term: Term, allows: FieldSetCheck) -> AccessPredicate | None:
    """Return the most selective keys that a normalized term implies, or None if there are none.

    `allows` returns whether equality keys may combine a set of fields.
    """
    if isinstance(term, And):
        options = [
            *(choose_access(_distribute(subterm, term), allows) for subterm in term.terms),
            _joint_equalities(term, allows),
        ]
        possible = [option for option in options if option is not None]
        return min(possible, key=lambda option: option.selectivity) if possible else None
    if isinstance(term, Or):
        branches = [choose_access(subterm, allows) for subterm in term.terms]
        keys: dict[Key, frozenset[Term]] = {}
        for branch in branches:
            # If one branch had no key, the index would not find the filter for an event that matches only this branch.
            if branch is None:
                return None
            keys |= branch.keys
        selectivity = sum(branch.selectivity for branch in branches if branch)
        return AccessPredicate(keys, selectivity) if len(keys) <= MAX_KEYS else None
    return _leaf_access(term)


def _joint_equalities(term: And, allows: FieldSetCheck) -> AccessPredicate | None:
    """Combine several equalities of a conjunction into one key for each combination of values."""
    best: dict[str, Comparison | OneOf] = {}
    for subterm in term.terms:
        if _is_equality(subterm):
            if subterm.field not in best or len(_values(subterm)) < len(_values(best[subterm.field])):
                best[subterm.field] = subterm
    chosen: list[Comparison | OneOf] = []
    count, selectivity = 1, 1.0
    for field_name in sorted(
        best, key=lambda field_name: (EQUALITY_SELECTIVITIES[field_name] * len(_values(best[field_name])), field_name)
    ):
        values = len(_values(best[field_name]))
        if len(chosen) < MAX_JOINT_EQUALITIES and count * values <= MAX_KEYS:
            chosen.append(best[field_name])
            count *= values
            selectivity *= min(1.0, EQUALITY_SELECTIVITIES[field_name] * values)
    chosen.sort(key=lambda equality: equality.field)
    fields = tuple(equality.field for equality in chosen)
    # Each set of fields costs a lookup for every event, so their number is limited: random filters could need hundreds.
    if len(chosen) < 2 or not allows(fields):
        return None
    keys = (EqualityKey(fields, values) for values in itertools.product(*map(_values, chosen)))
    return AccessPredicate(dict.fromkeys(keys, frozenset(chosen)), selectivity)


def _distribute(term: Term, conjunction: And) -> Term:
    """Distribute the equalities of a conjunction over the branches of its `or` term; return other terms unchanged."""
    equalities = tuple(subterm for subterm in conjunction.terms if _is_equality(subterm))
    if not isinstance(term, Or) or not equalities:
        return term
    return Or(tuple(combine(And, (subterm, *equalities)) for subterm in term.terms))


def is_implied(term: Term, proved: frozenset[Term]) -> bool:
    """Whether a term is true if all leaves in `proved` are true."""
    if isinstance(term, And):
        return all(is_implied(subterm, proved) for subterm in term.terms)
    return any(is_implied(subterm, proved) for subterm in term.terms) if isinstance(term, Or) else term in proved


def _is_equality(term: Term) -> TypeGuard[Comparison | OneOf]:
    return isinstance(term, OneOf) or isinstance(term, Comparison) and term.operator == "="


def conjuncts(term: Term) -> tuple[Term, ...]:
    """Return the terms whose conjunction is a term."""
    return term.terms if isinstance(term, And) else (term,)


def _values(term: Comparison | OneOf) -> tuple[Value, ...]:
    return term.values if isinstance(term, OneOf) else (term.value,)


def _leaf_access(term: Term) -> AccessPredicate | None:
    if isinstance(term, Has):
        return AccessPredicate({PresenceKey(term.field): frozenset({term})}, PRESENCE_SELECTIVITY)
    if _is_equality(term):
        values = _values(term)
        if len(values) <= MAX_KEYS:
            keys: dict[Key, frozenset[Term]] = {
                EqualityKey((term.field,), (value,)): frozenset({term}) for value in values
            }
            return AccessPredicate(keys, min(1.0, EQUALITY_SELECTIVITIES[term.field] * len(values)))
    elif isinstance(term, Comparison) and term.operator != "!=":
        return _bound_access(term)
    elif isinstance(term, Range):
        return AccessPredicate({RangeKey(term.field, term.low, term.high): frozenset()}, RANGE_SELECTIVITY)
    elif isinstance(term, Like) and term.literal_prefix:
        proved_leaves: frozenset[Term] = frozenset({term} if term.prefix is not None else ())
        return AccessPredicate(
            {PrefixKey(term.field, term.literal_prefix): proved_leaves},
            CHARACTER_SELECTIVITY ** len(term.literal_prefix),
        )
    return _presence(term)


def _bound_access(term: Comparison) -> AccessPredicate:
    assert not isinstance(term.value, str)
    above, limit = term.operator in (">", ">="), term.value
    # The key does not prove a strict bound on a number: an event may have an integer that lies between two adjacent
    # large floats, so the leaf is tested.
    proved: frozenset[Term] = frozenset(
        {term} if "=" in term.operator or FIELD_TYPES[term.field] is not FieldType.NUMBER else ()
    )
    if proved and "=" not in term.operator:
        limit += 1 if above else -1
    return AccessPredicate({BoundKey(term.field, above, limit): proved}, BOUND_SELECTIVITY)


def _presence(term: Term) -> AccessPredicate | None:
    """Return the presence key of a leaf, which is unknown if its field is absent; None for `not has`, then true."""
    leaf = term.term if isinstance(term, Not) else term
    if isinstance(leaf, Comparison | OneOf | Like | Sample):
        return AccessPredicate(
            {PresenceKey("id" if isinstance(leaf, Sample) else leaf.field): frozenset()}, PRESENCE_SELECTIVITY
        )
    return None
