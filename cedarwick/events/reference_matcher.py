"""The reference implementation of matching: evaluates a term for an event in Kleene's three-valued logic (1938).

It is slow and simple on purpose; the compiled filters and the index are tested against it.
"""

import operator
from collections.abc import Callable
from typing import Any

import xxhash

from cedarwick.events.kinds import Event, Value
from cedarwick.events.terms import Among, And, Compare, Has, Like, Not, Range, Sample, Term

SIGNS: dict[str, Callable[[Any, Any], bool]] = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}


def matches(term: Term, event: Event) -> bool:
    """Whether a filter is true for an event; false and unknown are no match."""
    return value(term, event.values()) is True


def value(term: Term, held: dict[str, Value]) -> bool | None:
    """The value of a term: true, false, or None if an absent field leaves it unknown."""
    if isinstance(term, Not):
        inner = value(term.term, held)
        return None if inner is None else not inner
    if isinstance(term, Has):
        return term.field in held
    if isinstance(term, Sample):
        return sampled(term, held["id"]) if "id" in held else None
    if isinstance(term, Compare | Among | Range | Like):
        if term.field not in held:
            return None
        found: Any = held[term.field]
        if isinstance(term, Compare):
            return SIGNS[term.sign](found, term.value)
        if isinstance(term, Among):
            return found in term.values
        return term.low <= found <= term.high if isinstance(term, Range) else globbed(term.pattern, found)
    inners = [value(each, held) for each in term.terms]
    decides = not isinstance(term, And)  # one term with this value decides the whole
    if decides in inners:
        return decides
    return None if None in inners else not decides


def sampled(term: Sample, id_: Any) -> bool:
    """Whether an id is in a sample; decided by its hash, so that every sender agrees."""
    return bool(xxhash.xxh3_64_intdigest(id_.encode(errors="surrogatepass")) % term.whole < term.part)


def globbed(pattern: str, text: str) -> bool:
    """Whether a glob matches a whole text, by tracking the set of reachable pattern positions."""
    reached = {0}
    for character in text:
        reached = {place for place in _past_stars(pattern, reached) if place < len(pattern)}
        reached = {place + (pattern[place] != "*") for place in reached if pattern[place] in (character, "?", "*")}
    return len(pattern) in _past_stars(pattern, reached)


def _past_stars(pattern: str, reached: set[int]) -> set[int]:
    return reached | {place + 1 for place in reached if pattern[place : place + 1] == "*"}
