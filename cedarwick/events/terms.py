"""Filters as trees of terms: their canonical text, size and cost.

Used by `language.py`, `normalization.py`, `compiled.py` and `index.py`.
"""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass

from cedarwick.events.kinds import FIELDS, Type, Value

UNITS = {"us": 1, "ms": 1000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
INVERSE = {"=": "!=", "!=": "=", "<": ">=", ">=": "<", ">": "<=", "<=": ">"}


@dataclass(frozen=True, slots=True)
class Compare:
    """A comparison of a field with a value."""

    field: str
    sign: str
    value: Value


@dataclass(frozen=True, slots=True)
class Among:
    """A field that equals one of several values."""

    field: str
    values: tuple[Value, ...]


@dataclass(frozen=True, slots=True)
class Range:
    """A field between two values, both included."""

    field: str
    low: int | float
    high: int | float


@dataclass(frozen=True, slots=True)
class Like:
    """A text field that a glob matches whole."""

    field: str
    pattern: str

    @property
    def head(self) -> str:
        """The literal beginning of the pattern, before any wildcard."""
        return re.split(r"[*?]", self.pattern, maxsplit=1)[0]

    @property
    def prefix(self) -> str | None:
        """The prefix, if the pattern is only a prefix; else None."""
        return self.head if self.pattern == self.head + "*" else None


@dataclass(frozen=True, slots=True)
class Has:
    """Whether the event carries a field; never unknown."""

    field: str


@dataclass(frozen=True, slots=True)
class Sample:
    """A share of the ids: the same ones at every sender."""

    part: int
    whole: int


@dataclass(frozen=True, slots=True)
class Not:
    """A negation; unknown stays unknown."""

    term: "Term"


@dataclass(frozen=True, slots=True)
class And:
    """A conjunction."""

    terms: tuple["Term", ...]


@dataclass(frozen=True, slots=True)
class Or:
    """A disjunction."""

    terms: tuple["Term", ...]


Leaf = Compare | Among | Range | Like | Has | Sample
Term = Leaf | Not | And | Or


def joined(kind: type[And] | type[Or], terms: tuple[Term, ...]) -> Term:
    """Combine terms by `And` or `Or`; nested terms of the same kind are flattened."""
    if len(terms) == 1:
        return terms[0]
    flat: list[Term] = []
    for term in terms:
        flat += term.terms if isinstance(term, And | Or) and isinstance(term, kind) else (term,)
    return kind(tuple(flat))


def below(term: Term) -> tuple[Term, ...]:
    """The direct subterms of a term."""
    if isinstance(term, And | Or):
        return term.terms
    return (term.term,) if isinstance(term, Not) else ()


def walk(term: Term) -> Iterator[Term]:
    """A term and all its subterms."""
    yield term
    for each in below(term):
        yield from walk(each)


def depth(term: Term) -> int:
    """The nesting depth of a term; 1 for a single comparison."""
    return 1 + max(map(depth, below(term)), default=0)


def size(term: Term) -> int:
    """The number of comparisons and listed values in a term."""
    return sum(len(each.values) if isinstance(each, Among) else not below(each) for each in walk(term))


def cost(term: Term) -> int:
    """The highest cost of testing one event, in units of about 0.1 microseconds."""
    total = 0
    for each in walk(term):
        if isinstance(each, Like):
            total += 2 if each.prefix is not None else 64  # a glob examines each character
        else:
            total += 5 if isinstance(each, Sample) else 1
    return total


def needed_level(term: Term) -> int:
    """The feature level that a member needs to evaluate a filter."""
    return 2 if any(isinstance(each, Like | Sample) for each in walk(term)) else 1


def printed(term: Term) -> str:
    """The canonical text of a term; parsing it gives an equal one."""
    if isinstance(term, Compare):
        return f"{term.field} {term.sign} {written(term.field, term.value)}"
    if isinstance(term, Among):
        return f"{term.field} in ({', '.join(written(term.field, value) for value in term.values)})"
    if isinstance(term, Range):
        return f"{term.field} in {written(term.field, term.low)}..{written(term.field, term.high)}"
    if isinstance(term, Like):
        return f"{term.field} like {quoted(term.pattern)}"
    if isinstance(term, Has):
        return f"has {term.field}"
    if isinstance(term, Sample):
        return f"sample({term.part}/{term.whole})"
    if isinstance(term, Not):
        return f"not {enclosed(term.term, And | Or)}"
    if isinstance(term, And):
        return " and ".join(enclosed(each, Or) for each in term.terms)
    return " or ".join(printed(each) for each in term.terms)


def enclosed(term: Term, loose: object) -> str:
    """The text of a term, in parentheses if it is of the kind `loose`, which binds less tightly."""
    return f"({printed(term)})" if isinstance(term, loose) else printed(term)  # type: ignore[arg-type]


def quoted(text: str) -> str:
    """A text as a quoted literal of the filter language."""
    return json.dumps(text, ensure_ascii=False)


def written(field: str, value: Value) -> str:
    """A value of a field in the syntax of filters."""
    type_ = FIELDS[field]
    if type_ is Type.SPAN:
        return span(int(value))
    if type_ is Type.NUMBER:
        return repr(float(value)).removesuffix(".0")
    return quoted(value) if isinstance(value, str) else json.dumps(value)


def span(microseconds: int) -> str:
    """A span in microseconds, written in the largest unit that represents it exactly."""
    for unit in ("h", "m", "s", "ms"):
        if microseconds and microseconds % UNITS[unit] == 0:
            return f"{microseconds // UNITS[unit]}{unit}"
    return f"{microseconds}us" if microseconds else "0s"
