"""Chooses the keys under which a filter is indexed: its access predicate (Le Subscribe: Fabret et al., 2001).

Of a filter's conjuncts, the one estimated to hold for the fewest events is chosen. Used by `index.py`.
"""

import itertools
from collections.abc import Callable
from typing import NamedTuple, TypeGuard

from cedarwick.events.index_keys import Begins, Bound, Equal, Key, Present, Within
from cedarwick.events.kinds import FIELDS, Type, Value
from cedarwick.events.terms import Among, And, Compare, Has, Like, Not, Or, Range, Sample, Term, joined

MAX_KEYS = 64  # of one filter
MAX_JOINT_EQUALITIES = 3  # fields in one key of several equalities
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
# The same for the other keys; that of a prefix is a power of the share of one character.
SPAN_SHARE, BOUND_SHARE, HAS_SHARE, CHARACTER_SHARE = 0.1, 0.4, 0.6, 0.2

FieldSetLimit = Callable[[tuple[str, ...]], bool]


class Access(NamedTuple):
    """Keys of which one must hold, each with the leaves that it proves, and the estimated share of events."""

    keys: dict[Key, frozenset[Term]]
    share: float


def choose(term: Term, allows: FieldSetLimit) -> Access | None:
    """The most selective keys that a normal term implies; None if it has none.

    `allows` says whether a set of fields may have keys of several equalities.
    """
    if isinstance(term, And):
        options = [
            *(choose(_distribute(subterm, term), allows) for subterm in term.terms),
            _joint_equalities(term, allows),
        ]
        possible = [option for option in options if option is not None]
        return min(possible, key=lambda option: option.share) if possible else None
    if isinstance(term, Or):
        parts = [choose(subterm, allows) for subterm in term.terms]
        keys: dict[Key, frozenset[Term]] = {}
        for part in parts:
            # With one branch without a key, the filter would be missed whenever that branch is true.
            if part is None:
                return None
            keys |= part.keys
        share = sum(part.share for part in parts if part)
        return Access(keys, share) if len(keys) <= MAX_KEYS else None
    return _leaf_access(term)


def _joint_equalities(term: And, allows: FieldSetLimit) -> Access | None:
    """Combine several equalities of a conjunction into one key for each combination of values."""
    best: dict[str, Compare | Among] = {}
    for subterm in term.terms:
        if _is_equality(subterm):
            if subterm.field not in best or len(_values(subterm)) < len(_values(best[subterm.field])):
                best[subterm.field] = subterm
    chosen: list[Compare | Among] = []
    count, share = 1, 1.0
    for name in sorted(best, key=lambda name: (SHARES[name] * len(_values(best[name])), name)):
        values = len(_values(best[name]))
        if len(chosen) < MAX_JOINT_EQUALITIES and count * values <= MAX_KEYS:
            chosen.append(best[name])
            count *= values
            share *= min(1.0, SHARES[name] * values)
    chosen.sort(key=lambda equality: equality.field)
    fields = tuple(equality.field for equality in chosen)
    # Each set of fields costs every event a lookup, so their number is limited: random filters could need hundreds.
    if len(chosen) < 2 or not allows(fields):
        return None
    keys = (Equal(fields, values) for values in itertools.product(*map(_values, chosen)))
    return Access(dict.fromkeys(keys, frozenset(chosen)), share)


def _distribute(term: Term, beside: And) -> Term:
    """Distribute the equalities beside an `or` over its branches; other terms are returned unchanged."""
    equalities = tuple(subterm for subterm in beside.terms if _is_equality(subterm))
    if not isinstance(term, Or) or not equalities:
        return term
    return Or(tuple(joined(And, (subterm, *equalities)) for subterm in term.terms))


def follows(term: Term, proved: frozenset[Term]) -> bool:
    """Whether a term is true if the leaves in `proved` are."""
    if isinstance(term, And):
        return all(follows(subterm, proved) for subterm in term.terms)
    return any(follows(subterm, proved) for subterm in term.terms) if isinstance(term, Or) else term in proved


def _is_equality(term: Term) -> TypeGuard[Compare | Among]:
    return isinstance(term, Among) or isinstance(term, Compare) and term.sign == "="


def conjuncts(term: Term) -> tuple[Term, ...]:
    """The terms that must all be true for a term to be."""
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
        return Access({Begins(term.field, term.head): whole}, CHARACTER_SHARE ** len(term.head))
    return _presence(term)


def _bound_access(term: Compare) -> Access:
    assert not isinstance(term.value, str)
    above, limit = term.sign in (">", ">="), term.value
    # For a strict bound on a number the leaf is not proved by the key: between a large float and the next there are
    # whole numbers that an event may carry, so the leaf is tested.
    proved: frozenset[Term] = frozenset({term} if "=" in term.sign or FIELDS[term.field] is not Type.NUMBER else ())
    if proved and "=" not in term.sign:
        limit += 1 if above else -1
    return Access({Bound(term.field, above, limit): proved}, BOUND_SHARE)


def _presence(term: Term) -> Access | None:
    """The presence key of a leaf, which is unknown if its field is absent; None for `not has`, true there."""
    leaf = term.term if isinstance(term, Not) else term
    if isinstance(leaf, Compare | Among | Like | Sample):
        return Access({Present("id" if isinstance(leaf, Sample) else leaf.field): frozenset()}, HAS_SHARE)
    return None
