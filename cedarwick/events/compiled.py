"""Compiles filters into closures that test the values of an event; no source code is generated. Used by `index.py`."""

from collections.abc import Callable
from typing import Any

from cedarwick.events.kinds import Event, Value
from cedarwick.events.normalization import normalize
from cedarwick.events.reference_matcher import in_sample
from cedarwick.events.terms import And, Comparison, Has, Like, Not, OneOf, Or, Range, Sample, Term, cost

FieldValues = dict[str, Value]
Predicate = Callable[[FieldValues], bool]


def compile_filter(term: Term) -> Callable[[Event], bool]:
    """Compile a filter into a predicate on events."""
    predicate = compile_term(normalize(term))
    return lambda event: predicate(event.values())


def compile_term(term: Term) -> Predicate:
    """Compile a normalized term into a predicate on the values of an event; it returns false for unknown, too."""
    if isinstance(term, And):
        cheapest_first = sorted(
            term.terms, key=cost
        )  # if a cheap predicate is false, the expensive ones are not evaluated
        return _all_of([compile_term(subterm) for subterm in cheapest_first])
    if isinstance(term, Or):
        return _any_of([compile_term(subterm) for subterm in term.terms])
    if isinstance(term, Not):
        return _compile_negation(term.term)
    if isinstance(term, Has):
        field_name = term.field
        return lambda values: field_name in values
    return _compile_leaf(term)


def _all_of(predicates: list[Predicate]) -> Predicate:
    if len(predicates) == 2:
        first, second = predicates
        return lambda values: first(values) and second(values)

    def all_true(values: FieldValues) -> bool:
        for predicate in predicates:
            if not predicate(values):
                return False
        return True

    return all_true


def _any_of(predicates: list[Predicate]) -> Predicate:
    def any_true(values: FieldValues) -> bool:
        for predicate in predicates:
            if predicate(values):
                return True
        return False

    return any_true


def _compile_negation(term: Term) -> Predicate:
    """Compile the negation of a leaf; if the field of the leaf is absent, the result is unknown and so false."""
    if isinstance(term, Has):
        field_name = term.field
        return lambda values: field_name not in values
    assert isinstance(term, OneOf | Like | Sample)
    field_name = "id" if isinstance(term, Sample) else term.field
    predicate = _compile_leaf(term)
    return lambda values: field_name in values and not predicate(values)


def _compile_leaf(term: Term) -> Predicate:
    if isinstance(term, Comparison):
        return _compile_comparison(term.field, term.operator, term.value)
    if isinstance(term, OneOf):
        field_name, allowed_values = term.field, frozenset(term.values)
        return lambda values: values.get(field_name) in allowed_values
    if isinstance(term, Range):
        return _compile_range(term.field, term.low, term.high)
    if isinstance(term, Like):
        return _compile_like(term)
    assert isinstance(term, Sample)
    sample = term
    return lambda values: "id" in values and in_sample(sample, values["id"])


def _compile_comparison(field_name: str, operator: str, operand: Any) -> Predicate:
    if operator == "=":
        return lambda values: values.get(field_name) == operand

    def unequal(values: dict[str, Any]) -> bool:
        value = values.get(field_name)
        return value is not None and value != operand

    def less(values: dict[str, Any]) -> bool:
        value = values.get(field_name)
        return value is not None and value < operand

    def at_most(values: dict[str, Any]) -> bool:
        value = values.get(field_name)
        return value is not None and value <= operand

    def greater(values: dict[str, Any]) -> bool:
        value = values.get(field_name)
        return value is not None and value > operand

    def at_least(values: dict[str, Any]) -> bool:
        value = values.get(field_name)
        return value is not None and value >= operand

    return {"!=": unequal, "<": less, "<=": at_most, ">": greater, ">=": at_least}[operator]


def _compile_range(field_name: str, low: Any, high: Any) -> Predicate:
    def within(values: dict[str, Any]) -> bool:
        value = values.get(field_name)
        return value is not None and low <= value <= high

    return within


def _compile_like(term: Like) -> Predicate:
    field_name, prefix = term.field, term.prefix
    if prefix is not None:
        required_prefix = prefix

        def starts_with_prefix(values: dict[str, Any]) -> bool:
            value = values.get(field_name)
            return value is not None and bool(value.startswith(required_prefix))

        return starts_with_prefix
    matches = globber(term.pattern)

    def matches_glob(values: dict[str, Any]) -> bool:
        value = values.get(field_name)
        return value is not None and matches(value)

    return matches_glob


def globber(pattern: str) -> Callable[[str], bool]:
    """Compile a glob into a predicate on texts whose run time is linear in the length of the text.

    It simulates an NFA with bit-parallel operations on one integer (Shift-And, Baeza-Yates and Gonnet 1992; stars as in
    Wu and Manber 1992): bit n is set if the text so far matches the first n characters of the pattern, not counting
    stars.
    """
    character_masks: dict[str, int] = {}
    any_character_mask = star_mask = length = 0
    for character in pattern:
        if character == "*":
            star_mask |= 1 << length
            continue
        if character == "?":
            any_character_mask |= 1 << length
        else:
            character_masks[character] = character_masks.get(character, 0) | 1 << length
        length += 1
    accepting_bit = 1 << length

    def matches(text: str) -> bool:
        state = 1
        for character in text:
            state = (state & (character_masks.get(character, 0) | any_character_mask)) << 1 | state & star_mask
            if not state:
                return False
        return bool(state & accepting_bit)

    return matches
