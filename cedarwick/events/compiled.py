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
        return _all(
            [tested(each) for each in sorted(term.terms, key=cost)]
        )  # cheap tests first: a false one saves the others
    if isinstance(term, Or):
        return _any([tested(each) for each in term.terms])
    if isinstance(term, Not):
        return _opposite(term.term)
    if isinstance(term, Has):
        name = term.field
        return lambda held: name in held
    return _leaf(term)


def _all(tests: list[Test]) -> Test:
    if len(tests) == 2:
        first, second = tests
        return lambda held: first(held) and second(held)

    def test(held: Values) -> bool:
        for each in tests:
            if not each(held):
                return False
        return True

    return test


def _any(tests: list[Test]) -> Test:
    def test(held: Values) -> bool:
        for each in tests:
            if each(held):
                return True
        return False

    return test


def _opposite(term: Term) -> Test:
    """Compile the negation of a leaf: with an absent field it is unknown, so not true."""
    if isinstance(term, Has):
        name = term.field
        return lambda held: name not in held
    assert isinstance(term, Among | Like | Sample)
    name = "id" if isinstance(term, Sample) else term.field
    test = _leaf(term)
    return lambda held: name in held and not test(held)


def _leaf(term: Term) -> Test:
    if isinstance(term, Compare):
        return _comparison(term.field, term.sign, term.value)
    if isinstance(term, Among):
        name, values = term.field, frozenset(term.values)
        return lambda held: held.get(name) in values
    if isinstance(term, Range):
        return _range(term.field, term.low, term.high)
    if isinstance(term, Like):
        return _glob(term)
    assert isinstance(term, Sample)
    share = term
    return lambda held: "id" in held and sampled(share, held["id"])


def _comparison(name: str, sign: str, value: Any) -> Test:
    if sign == "=":
        return lambda held: held.get(name) == value

    def unequal(held: dict[str, Any]) -> bool:
        found = held.get(name)
        return found is not None and found != value

    def less(held: dict[str, Any]) -> bool:
        found = held.get(name)
        return found is not None and found < value

    def at_most(held: dict[str, Any]) -> bool:
        found = held.get(name)
        return found is not None and found <= value

    def more(held: dict[str, Any]) -> bool:
        found = held.get(name)
        return found is not None and found > value

    def at_least(held: dict[str, Any]) -> bool:
        found = held.get(name)
        return found is not None and found >= value

    return {"!=": unequal, "<": less, "<=": at_most, ">": more, ">=": at_least}[sign]


def _range(name: str, low: Any, high: Any) -> Test:
    def test(held: dict[str, Any]) -> bool:
        found = held.get(name)
        return found is not None and low <= found <= high

    return test


def _glob(term: Like) -> Test:
    name, prefix = term.field, term.prefix
    if prefix is not None:
        head = prefix

        def begins(held: dict[str, Any]) -> bool:
            found = held.get(name)
            return found is not None and bool(found.startswith(head))

        return begins
    matches = globber(term.pattern)

    def test(held: dict[str, Any]) -> bool:
        found = held.get(name)
        return found is not None and matches(found)

    return test


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
