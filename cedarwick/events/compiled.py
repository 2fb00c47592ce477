"""Compiles filters into closures over an event's values, without generating code. Used by `index.py`."""

from collections.abc import Callable
from typing import Any

from cedarwick.events.kinds import Event, Value
from cedarwick.events.normalization import normal
from cedarwick.events.reference_matcher import sampled
from cedarwick.events.terms import Among, And, Compare, Has, Like, Not, Or, Range, Sample, Term, cost

Values = dict[str, Value]
Test = Callable[[Values], bool]


def compiled(term: Term) -> Callable[[Event], bool]:
    """Compile a filter into a predicate on events."""
    test = tested(normal(term))
    return lambda event: test(event.values())


def tested(term: Term) -> Test:
    """Compile a normal term into a predicate on an event's values; false also stands for unknown."""
    if isinstance(term, And):
        cheapest_first = sorted(term.terms, key=cost)  # a cheap test that is false saves the others
        return _all([tested(subterm) for subterm in cheapest_first])
    if isinstance(term, Or):
        return _any([tested(subterm) for subterm in term.terms])
    if isinstance(term, Not):
        return _opposite(term.term)
    if isinstance(term, Has):
        name = term.field
        return lambda values: name in values
    return _leaf(term)


def _all(tests: list[Test]) -> Test:
    if len(tests) == 2:
        first, second = tests
        return lambda values: first(values) and second(values)

    def all_true(values: Values) -> bool:
        for test in tests:
            if not test(values):
                return False
        return True

    return all_true


def _any(tests: list[Test]) -> Test:
    def any_true(values: Values) -> bool:
        for test in tests:
            if test(values):
                return True
        return False

    return any_true


def _opposite(term: Term) -> Test:
    """Compile the negation of a leaf: with an absent field it is unknown, so not true."""
    if isinstance(term, Has):
        name = term.field
        return lambda values: name not in values
    assert isinstance(term, Among | Like | Sample)
    name = "id" if isinstance(term, Sample) else term.field
    test = _leaf(term)
    return lambda values: name in values and not test(values)


def _leaf(term: Term) -> Test:
    if isinstance(term, Compare):
        return _comparison(term.field, term.sign, term.value)
    if isinstance(term, Among):
        name, listed = term.field, frozenset(term.values)
        return lambda values: values.get(name) in listed
    if isinstance(term, Range):
        return _range(term.field, term.low, term.high)
    if isinstance(term, Like):
        return _glob(term)
    assert isinstance(term, Sample)
    share = term
    return lambda values: "id" in values and sampled(share, values["id"])


def _comparison(name: str, sign: str, operand: Any) -> Test:
    if sign == "=":
        return lambda values: values.get(name) == operand

    def unequal(values: dict[str, Any]) -> bool:
        value = values.get(name)
        return value is not None and value != operand

    def less(values: dict[str, Any]) -> bool:
        value = values.get(name)
        return value is not None and value < operand

    def at_most(values: dict[str, Any]) -> bool:
        value = values.get(name)
        return value is not None and value <= operand

    def more(values: dict[str, Any]) -> bool:
        value = values.get(name)
        return value is not None and value > operand

    def at_least(values: dict[str, Any]) -> bool:
        value = values.get(name)
        return value is not None and value >= operand

    return {"!=": unequal, "<": less, "<=": at_most, ">": more, ">=": at_least}[sign]


def _range(name: str, low: Any, high: Any) -> Test:
    def within(values: dict[str, Any]) -> bool:
        value = values.get(name)
        return value is not None and low <= value <= high

    return within


def _glob(term: Like) -> Test:
    name, prefix = term.field, term.prefix
    if prefix is not None:
        head = prefix

        def begins(values: dict[str, Any]) -> bool:
            value = values.get(name)
            return value is not None and bool(value.startswith(head))

        return begins
    matches = globber(term.pattern)

    def matches_glob(values: dict[str, Any]) -> bool:
        value = values.get(name)
        return value is not None and matches(value)

    return matches_glob


def globber(pattern: str) -> Callable[[str], bool]:
    """Compile a glob into a predicate on texts that takes linear time in the text.

    All positions in the pattern are bits of one integer and advance together (Shift-And, Baeza-Yates and Gonnet 1992;
    gaps as in Wu and Manber 1992): bit n means that n characters of the pattern, stars not counted, have matched.
    """
    masks: dict[str, int] = {}
    wild = stays = count = 0
    for character in pattern:
        if character == "*":
            stays |= 1 << count
            continue
        if character == "?":
            wild |= 1 << count
        else:
            masks[character] = masks.get(character, 0) | 1 << count
        count += 1
    whole = 1 << count

    def matches(text: str) -> bool:
        state = 1
        for character in text:
            state = (state & (masks.get(character, 0) | wild)) << 1 | state & stays
            if not state:
                return False
        return bool(state & whole)

    return matches
