"""The terms of filters, which form syntax trees, and their canonical text, size and cost.

Used by `language.py`, `normalization.py`, `compiled.py` and `index.py`.
"""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass

from cedarwick.events.kinds import FIELD_TYPES, FieldType, Value

MICROSECONDS_PER_UNIT = {"us": 1, "ms": 1000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
NEGATED_OPERATOR = {"=": "!=", "!=": "=", "<": ">=", ">=": "<", ">": "<=", "<=": ">"}


@dataclass(frozen=True, slots=True)
class Comparison:
    """A comparison of a field with a value."""

    field: str
    operator: str
    value: Value


@dataclass(frozen=True, slots=True)
class OneOf:
    """A field that equals one of several values."""

    field: str
    values: tuple[Value, ...]


@dataclass(frozen=True, slots=True)
class Range:
    """A field between two values, both ends included."""

    field: str
    low: int | float
    high: int | float


@dataclass(frozen=True, slots=True)
class Like:
    """A text field whose whole value matches a glob."""

    field: str
    pattern: str

    @property
    def literal_prefix(self) -> str:
        """The characters of the pattern before its first wildcard."""
        return re.split(r"[*?]", self.pattern, maxsplit=1)[0]

    @property
    def prefix(self) -> str | None:
        """The prefix that the pattern requires, if it only requires a prefix (`abc*`); otherwise None."""
        return self.literal_prefix if self.pattern == self.literal_prefix + "*" else None


@dataclass(frozen=True, slots=True)
class Has:
    """A test whether the event has a field; its result is never unknown."""

    field: str


@dataclass(frozen=True, slots=True)
class Sample:
    """A share of the message ids; every sender selects the same ids."""

    numerator: int
    denominator: int


@dataclass(frozen=True, slots=True)
class Not:
    """A negation; that of unknown is unknown."""

    term: "Term"


@dataclass(frozen=True, slots=True)
class And:
    """A conjunction."""

    terms: tuple["Term", ...]


@dataclass(frozen=True, slots=True)
class Or:
    """A disjunction."""

    terms: tuple["Term", ...]


Leaf = Comparison | OneOf | Range | Like | Has | Sample
Term = Leaf | Not | And | Or


def combine(kind: type[And] | type[Or], terms: tuple[Term, ...]) -> Term:
    """Combine terms with `And` or `Or`; nested terms of the same class are flattened."""
    if len(terms) == 1:
        return terms[0]
    flat: list[Term] = []
    for term in terms:
        flat += term.terms if isinstance(term, And | Or) and isinstance(term, kind) else (term,)
    return kind(tuple(flat))


def subterms(term: Term) -> tuple[Term, ...]:
    """Return the direct subterms of a term."""
    if isinstance(term, And | Or):
        return term.terms
    return (term.term,) if isinstance(term, Not) else ()


def walk(term: Term) -> Iterator[Term]:
    """Iterate over a term and all its subterms, in preorder."""
    yield term
    for subterm in subterms(term):
        yield from walk(subterm)


def depth(term: Term) -> int:
    """Return the nesting depth of a term; it is 1 for a single comparison."""
    return 1 + max(map(depth, subterms(term)), default=0)


def size(term: Term) -> int:
    """Count the comparisons and listed values in a term."""
    return sum(len(subterm.values) if isinstance(subterm, OneOf) else not subterms(subterm) for subterm in walk(term))


def cost(term: Term) -> int:
    """Estimate the highest cost of evaluating a term for one event, in units of about 0.1 microseconds."""
    total = 0
    for subterm in walk(term):
        if isinstance(subterm, Like):
            total += 2 if subterm.prefix is not None else 64  # a glob examines each character of the value
        else:
            total += 5 if isinstance(subterm, Sample) else 1
    return total


def required_level(term: Term) -> int:
    """Return the feature level that a member needs to evaluate a term."""
    return 2 if any(isinstance(subterm, Like | Sample) for subterm in walk(term)) else 1


def format_term(term: Term) -> str:
    """Return the canonical text of a term; parsing this text gives an equal term."""
    if isinstance(term, Comparison):
        return f"{term.field} {term.operator} {format_value(term.field, term.value)}"
    if isinstance(term, OneOf):
        return f"{term.field} in ({', '.join(format_value(term.field, value) for value in term.values)})"
    if isinstance(term, Range):
        return f"{term.field} in {format_value(term.field, term.low)}..{format_value(term.field, term.high)}"
    if isinstance(term, Like):
        return f"{term.field} like {quote(term.pattern)}"
    if isinstance(term, Has):
        return f"has {term.field}"
    if isinstance(term, Sample):
        return f"sample({term.numerator}/{term.denominator})"
    if isinstance(term, Not):
        return f"not {parenthesized(term.term, And | Or)}"
    if isinstance(term, And):
        return " and ".join(parenthesized(subterm, Or) for subterm in term.terms)
    return " or ".join(format_term(subterm) for subterm in term.terms)


def parenthesized(term: Term, lower_precedence: object) -> str:
    """Return the text of a term, in parentheses if it is of the class `lower_precedence`."""
    return f"({format_term(term)})" if isinstance(term, lower_precedence) else format_term(term)  # type: ignore[arg-type]


def quote(text: str) -> str:
    """Format a text as a string literal of the filter language."""
    return json.dumps(text, ensure_ascii=False)


def format_value(field: str, value: Value) -> str:
    """Format a value of a field as a literal of the filter language."""
    type_ = FIELD_TYPES[field]
    if type_ is FieldType.DURATION:
        return format_duration(int(value))
    if type_ is FieldType.NUMBER:
        return repr(float(value)).removesuffix(".0")
    return quote(value) if isinstance(value, str) else json.dumps(value)


def format_duration(microseconds: int) -> str:
    """Format a duration in the largest unit that represents it exactly."""
    for unit in ("h", "m", "s", "ms"):
        if microseconds and microseconds % MICROSECONDS_PER_UNIT[unit] == 0:
            return f"{microseconds // MICROSECONDS_PER_UNIT[unit]}{unit}"
    return f"{microseconds}us" if microseconds else "0s"
