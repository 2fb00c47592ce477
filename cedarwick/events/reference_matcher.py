"""The reference implementation of matching: evaluates a term for an event in Kleene's three-valued logic (1938).

It favours simplicity over speed: tests compare the compiled filters and the index with it.
"""

import operator
from collections.abc import Callable
from typing import Any

import xxhash

from cedarwick.events.kinds import Event, Value
from cedarwick.events.terms import And, Comparison, Has, Like, Not, OneOf, Range, Sample, Term

OPERATORS: dict[str, Callable[[Any, Any], bool]] = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}


def matches(term: Term, event: Event) -> bool:
    """Whether an event matches a filter: false and unknown are not a match."""
    return evaluate(term, event.values()) is True


def evaluate(term: Term, fields: dict[str, Value]) -> bool | None:
    """Evaluate a term to true, false, or None (unknown) if the result depends on an absent field."""
    if isinstance(term, Not):
        result = evaluate(term.term, fields)
        return None if result is None else not result
    if isinstance(term, Has):
        return term.field in fields
    if isinstance(term, Sample):
        return in_sample(term, fields["id"]) if "id" in fields else None
    if isinstance(term, Comparison | OneOf | Range | Like):
        if term.field not in fields:
            return None
        field_value: Any = fields[term.field]
        if isinstance(term, Comparison):
            return OPERATORS[term.operator](field_value, term.value)
        if isinstance(term, OneOf):
            return field_value in term.values
        return term.low <= field_value <= term.high if isinstance(term, Range) else globbed(term.pattern, field_value)
    results = [evaluate(subterm, fields) for subterm in term.terms]
    decisive = not isinstance(term, And)  # one subterm with this value determines the result
    if decisive in results:
        return decisive
    return None if None in results else not decisive


def in_sample(term: Sample, id_: Any) -> bool:
    """Whether an id is in a sample; this depends only on its hash, so that all senders select the same ids."""
    return bool(xxhash.xxh3_64_intdigest(id_.encode(errors="surrogatepass")) % term.denominator < term.numerator)


def globbed(pattern: str, text: str) -> bool:
    """Whether a glob matches a whole text, by simulation of an NFA whose states are the positions in the pattern."""
    positions = {0}
    for character in text:
        positions = {position for position in _skip_stars(pattern, positions) if position < len(pattern)}
        positions = {
            position + (pattern[position] != "*")
            for position in positions
            if pattern[position] in (character, "?", "*")
        }
    return len(pattern) in _skip_stars(pattern, positions)


def _skip_stars(pattern: str, positions: set[int]) -> set[int]:
    return positions | {position + 1 for position in positions if pattern[position : position + 1] == "*"}
