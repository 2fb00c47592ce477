"""The kinds of events that subscribers receive, and their typed fields. Spans are in microseconds."""

from enum import Enum

import msgspec

from cedarwick.decisions.interface import Outcome
from cedarwick.errors import CedarwickError

MAX_TEXT_LENGTH = 256  # characters of a text field
MAX_NUMBER = (1 << 63) - 1  # the largest magnitude of a number
Value = str | int | float | bool


class Type(Enum):
    """The type of a field. A span is a whole number of microseconds."""

    TEXT = "text"
    WHOLE = "whole number"
    SPAN = "span"
    NUMBER = "number"
    FLAG = "true or false"

    @property
    def ordered(self) -> bool:
        """Whether values can be compared by < and >."""
        return self in (Type.WHOLE, Type.SPAN, Type.NUMBER)


FIELDS = {
    "kind": Type.TEXT,
    "band": Type.TEXT,
    "tenant": Type.TEXT,
    "hall": Type.TEXT,
    "sender": Type.TEXT,
    "outcome": Type.TEXT,
    "id": Type.TEXT,
    "receiver": Type.TEXT,
    "member": Type.TEXT,
    "destination": Type.WHOLE,
    "shots": Type.WHOLE,
    "age": Type.SPAN,
    "wait": Type.SPAN,
    "worth": Type.NUMBER,
    "at_most_once": Type.FLAG,
}
HERE = frozenset({"hall", "sender"})
MESSAGE = HERE | {"id", "band", "tenant", "destination", "worth", "at_most_once"}
LIVED = MESSAGE | {"shots", "age"}
RECEIVER = HERE | {"receiver", "destination"}
MEMBER = HERE | {"member"}
KINDS: dict[str, frozenset[str]] = {
    "taken": MESSAGE,
    "shot": LIVED | {"receiver"},
    "outcome": LIVED | {"receiver", "outcome", "wait"},  # wait: its Retry-After
    "completed": LIVED,
    "nacked": LIVED | {"wait"},  # wait: what the client was advised
    "written-off": LIVED,
    "receiver-out": RECEIVER | {"wait"},
    "receiver-back": RECEIVER | {"age"},  # age: how long it was out
    "suspended": RECEIVER,
    "restored": RECEIVER,
    "moved": MEMBER | {"id", "tenant", "age"},  # id: the session's key; member: who holds it now
    "adopted": LIVED | {"member"},  # member: whose message it was
    "member-came": MEMBER,
    "member-went": MEMBER | {"age"},  # age: how long it was silent
}
WORDS: dict[str, frozenset[str]] = {  # fields that hold one of a few words
    "kind": frozenset(KINDS),
    "outcome": frozenset(outcome.value for outcome in Outcome),
}


class InvalidEventError(CedarwickError, ValueError):
    """An event holds what its kind may not carry, or a value of another type or size."""

    code = "CW820"
    remedy = "keep the log line and compare the versions of the senders"


class Event(msgspec.Struct, frozen=True, gc=False):
    """One thing that happened. `at` is the source's wall clock in microseconds. Raises InvalidEventError.

    msgspec turns InvalidEventError into its own ValidationError where an event is read from the wire.
    """

    source: str  # a sender's name and boot
    number: int  # counts up at its source, from 1
    at: int
    kind: str
    fields: dict[str, Value]

    def __post_init__(self) -> None:
        # A text instead of a number, or a NaN, would make filter and index disagree, or raise during matching.
        allowed = KINDS.get(self.kind)
        if allowed is None:
            raise InvalidEventError(f"no kind of event is called {self.kind[:MAX_TEXT_LENGTH]!r}")
        for name, value in self.fields.items():
            if name not in allowed:
                raise InvalidEventError(f"an event '{self.kind}' carries no field {name[:MAX_TEXT_LENGTH]!r}")
            if not fits(FIELDS[name], value):
                raise InvalidEventError(f"the field '{name}' is no {FIELDS[name].value} in bounds: {str(value)[:80]!r}")

    def values(self) -> dict[str, Value]:
        """The fields that filters see, its kind among them."""
        return {**self.fields, "kind": self.kind}


def fits(type_: Type, value: Value) -> bool:
    """Whether a value is of a type and within its bounds."""
    held = type(value)
    if held is str:
        return type_ is Type.TEXT and len(value) <= MAX_TEXT_LENGTH  # type: ignore[arg-type]
    if held is int:
        return type_.ordered and -MAX_NUMBER <= value <= MAX_NUMBER  # type: ignore[operator]
    if held is float:
        return type_ is Type.NUMBER and -MAX_NUMBER <= value <= MAX_NUMBER  # type: ignore[operator]
    return held is bool and type_ is Type.FLAG
