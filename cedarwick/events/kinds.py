"""The kinds of events that subscribers receive, and their typed fields. Durations are in microseconds."""

from enum import Enum

import msgspec

from cedarwick.decisions.interface import Outcome
from cedarwick.errors import CedarwickError

MAX_TEXT_LENGTH = 256  # maximum characters of a text field
MAX_NUMBER = (1 << 63) - 1  # largest absolute value of a number
Value = str | int | float | bool


class FieldType(Enum):
    """The type of a field; its value is its name in error messages. A duration is a whole number of microseconds."""

    TEXT = "text"
    INTEGER = "whole number"
    DURATION = "span"
    NUMBER = "number"
    BOOLEAN = "true or false"

    @property
    def ordered(self) -> bool:
        """Whether values of this type can be compared with < and >."""
        return self in (FieldType.INTEGER, FieldType.DURATION, FieldType.NUMBER)


FIELD_TYPES = {
    "kind": FieldType.TEXT,
    "band": FieldType.TEXT,
    "tenant": FieldType.TEXT,
    "hall": FieldType.TEXT,
    "sender": FieldType.TEXT,
    "outcome": FieldType.TEXT,
    "id": FieldType.TEXT,
    "receiver": FieldType.TEXT,
    "member": FieldType.TEXT,
    "destination": FieldType.INTEGER,
    "shots": FieldType.INTEGER,
    "age": FieldType.DURATION,
    "wait": FieldType.DURATION,
    "worth": FieldType.NUMBER,
    "at_most_once": FieldType.BOOLEAN,
}
# The fields that events of a group of kinds may have.
SENDER_FIELDS = frozenset({"hall", "sender"})
MESSAGE_FIELDS = SENDER_FIELDS | {"id", "band", "tenant", "destination", "worth", "at_most_once"}
ATTEMPTED_MESSAGE_FIELDS = MESSAGE_FIELDS | {"shots", "age"}
RECEIVER_FIELDS = SENDER_FIELDS | {"receiver", "destination"}
MEMBER_FIELDS = SENDER_FIELDS | {"member"}
FIELDS_BY_KIND: dict[str, frozenset[str]] = {
    "taken": MESSAGE_FIELDS,
    "shot": ATTEMPTED_MESSAGE_FIELDS | {"receiver"},
    "outcome": ATTEMPTED_MESSAGE_FIELDS | {"receiver", "outcome", "wait"},  # wait: the Retry-After of the attempt
    "completed": ATTEMPTED_MESSAGE_FIELDS,
    "nacked": ATTEMPTED_MESSAGE_FIELDS | {"wait"},  # wait: the delay that the client was advised
    "written-off": ATTEMPTED_MESSAGE_FIELDS,
    "receiver-out": RECEIVER_FIELDS | {"wait"},
    "receiver-back": RECEIVER_FIELDS | {"age"},  # age: how long the receiver was ejected
    "suspended": RECEIVER_FIELDS,
    "restored": RECEIVER_FIELDS,
    "moved": MEMBER_FIELDS | {"id", "tenant", "age"},  # id: the key of the session; member: its new holder
    "adopted": ATTEMPTED_MESSAGE_FIELDS | {"member"},  # member: the former holder of the message
    "member-came": MEMBER_FIELDS,
    "member-went": MEMBER_FIELDS | {"age"},  # age: how long the member had not been heard
}
ALLOWED_VALUES: dict[str, frozenset[str]] = {  # the values of the fields that have a fixed set of them
    "kind": frozenset(FIELDS_BY_KIND),
    "outcome": frozenset(outcome.value for outcome in Outcome),
}


class InvalidEventError(CedarwickError, ValueError):
    """An event has an unknown kind, a field that its kind does not have, or a value of a wrong type or size."""

    code = "CW820"
    remedy = "save the log line and compare the software versions of the senders"


class Event(msgspec.Struct, frozen=True, gc=False):
    """An event of a message, receiver, session or member. Raises InvalidEventError.

    When msgspec decodes an event from the wire, it converts InvalidEventError to its own ValidationError.
    """

    source: str  # name and boot of the sender
    number: int  # sequence number at the source, from 1
    at: int  # wall clock of the source in microseconds
    kind: str
    fields: dict[str, Value]

    def __post_init__(self) -> None:
        # With a text instead of a number, or a NaN, the filter and the index could give different results, or matching
        # could raise an exception.
        allowed = FIELDS_BY_KIND.get(self.kind)
        if allowed is None:
            raise InvalidEventError(f"unknown kind of event {self.kind[:MAX_TEXT_LENGTH]!r}")
        for name, value in self.fields.items():
            if name not in allowed:
                raise InvalidEventError(f"an event of kind '{self.kind}' has no field {name[:MAX_TEXT_LENGTH]!r}")
            if not is_valid_value(FIELD_TYPES[name], value):
                raise InvalidEventError(
                    f"the field '{name}' is not a {FIELD_TYPES[name].value} within bounds: {str(value)[:80]!r}"
                )

    def values(self) -> dict[str, Value]:
        """Return the fields that filters can test, including the kind."""
        return {**self.fields, "kind": self.kind}


def is_valid_value(type_: FieldType, value: Value) -> bool:
    """Whether a value has a type and is within the bounds of this type."""
    value_type = type(value)
    if value_type is str:
        return type_ is FieldType.TEXT and len(value) <= MAX_TEXT_LENGTH  # type: ignore[arg-type]
    if value_type is int:
        return type_.ordered and -MAX_NUMBER <= value <= MAX_NUMBER  # type: ignore[operator]
    if value_type is float:
        return type_ is FieldType.NUMBER and -MAX_NUMBER <= value <= MAX_NUMBER  # type: ignore[operator]
    return value_type is bool and type_ is FieldType.BOOLEAN
