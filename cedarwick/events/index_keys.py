"""The keys under which filters are indexed: conditions that an event may satisfy. Used by `index.py`.

An event that matches a filter satisfies at least one of its keys, so only the filters under the satisfied keys are
tested.
"""

from dataclasses import dataclass

from cedarwick.events.kinds import Value

Number = int | float


@dataclass(frozen=True, slots=True)
class EqualityKey:
    """Satisfied if all these fields have these values."""

    fields: tuple[str, ...]
    values: tuple[Value, ...]


@dataclass(frozen=True, slots=True)
class PrefixKey:
    """Satisfied if a text field starts with a prefix."""

    field: str
    prefix: str


@dataclass(frozen=True, slots=True)
class RangeKey:
    """Satisfied if a field is between two values, both ends included."""

    field: str
    low: Number
    high: Number


@dataclass(frozen=True, slots=True)
class BoundKey:
    """Satisfied if a field is at or above a limit, or at or below it if `above` is false."""

    field: str
    above: bool
    limit: Number


@dataclass(frozen=True, slots=True)
class PresenceKey:
    """Satisfied if the event has a field."""

    field: str


# The keys are instances of classes, not tuples: if two keys of different types were equal, a filter with both would be
# stored under only one of them.
Key = EqualityKey | PrefixKey | RangeKey | BoundKey | PresenceKey
