"""The keys under which filters are indexed; each holds for the events that satisfy it. Used by `index.py`.

One of a filter's keys must hold if the filter is true, so only the filters under the keys that hold are tested.
"""

from dataclasses import dataclass

from cedarwick.events.kinds import Value

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
