"""The operator file: what the platform's configuration does not cover. Each key is described here, once.

Every table belongs to one subsystem and is off, or as without a file, until it is written. A new subsystem adds
its table to `Operator`; example, schema and the page in `docs/` follow from that.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from cedarwick.config.files import ConfigFileError, load_toml

__all__ = ["ConfigFileError", "CounterSettings", "Fleet", "Log", "Member", "Operator", "StoreSettings", "load"]

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One table of the file; a key that it does not know is an error."""


class Log(Table, frozen=True, kw_only=True):
    """The log on standard error."""

    level: Annotated[
        Literal["DEBUG", "INFO", "WARNING", "ERROR"],
        Meta(description="The least severe lines that are written."),
    ] = "INFO"
    format: Annotated[
        Literal["text", "json"],
        Meta(description="Plain lines, or one JSON object a line with time, level and place."),
    ] = "text"
    quiet_s: Annotated[
        float,
        Meta(
            ge=0,
            le=3600,
            description="At least so long between two lines on one kind of trouble.",
            extra={"unit": "seconds"},
        ),
    ] = 10.0
    messages: Annotated[
        bool,
        Meta(description="One line for each attempt, each decided end and each acknowledged notice of a message."),
    ] = False


class CounterSettings(Table, frozen=True, kw_only=True):
    """What was taken, sent and answered, by count."""

    every_s: Annotated[
        float,
        Meta(
            ge=0,
            le=86400,
            description="All counters go to the log so often; 0: on SIGUSR1 and at the end only.",
            extra={"unit": "seconds"},
        ),
    ] = 0.0


class StoreSettings(Table, frozen=True, kw_only=True):
    """The folder that lasts."""

    durability: Annotated[
        Literal["none", "group"],
        Meta(
            description="None beyond the write, which outlives the process; or an fsync for each round's records "
            "before what waits for them, which outlives the machine's power. Taken over at a start only."
        ),
    ] = "none"
    bodies_mb: Annotated[
        float,
        Meta(
            ge=0,
            description="Bodies of waiting messages that are held in memory; the rest is read from the folder for "
            "the attempt. Taken over at a start only.",
            extra={"unit": "MB"},
        ),
    ] = 64.0
    segment_kb: Annotated[
        float,
        Meta(
            ge=0,
            le=1 << 20,
            description="The size at which a segment is sealed; 0: a part of the limit, 64 KB at least. Taken over "
            "at a start only.",
            extra={"unit": "KB"},
        ),
    ] = 0.0


class Member(Table, frozen=True, kw_only=True):
    """One sender of the fleet, this one too; the list is the same in every member's file."""

    name: Annotated[
        Name,
        Meta(
            description="The sender's name, as the platform's configuration has it.",
            extra_json_schema={"examples": ["n0", "n1"]},
        ),
    ]
    address: Annotated[
        str,
        Meta(
            max_length=255,
            description="Where it listens for the other members, as `host:port`; not an address of clients.",
            extra_json_schema={"examples": ["10.0.0.1:6400", "10.0.1.1:6400"]},
        ),
    ]
    hall: Annotated[
        Name,
        Meta(
            description="The hall that it stands in; copies go to another hall first.",
            extra_json_schema={"examples": ["north", "south"]},
        ),
    ]


class Fleet(Table, frozen=True, kw_only=True):
    """Senders that keep copies for one another and take over from one that dies."""

    group: Annotated[
        Name,
        Meta(
            description="The fleet's name; a member of another one is refused.",
            extra_json_schema={"examples": ["halls"]},
        ),
    ]
    member: Annotated[list[Member], Meta(min_length=2, max_length=64, description="The members.")]
    ack: Annotated[
        Literal["own", "copy"],
        Meta(
            description="`+OK` once the message is in the own folder, with the copy behind it; or once every copy has "
            "it too."
        ),
    ] = "own"
    copies: Annotated[int, Meta(ge=0, le=2, description="Members that keep a copy of what a sender owes.")] = 1
    ack_within_ms: Annotated[
        float,
        Meta(
            ge=1,
            le=400,
            description="So long a copy may take to say that it has a message, under `ack` by copy.",
            extra={"unit": "milliseconds"},
        ),
    ] = 150.0
    alone: Annotated[
        Literal["busy", "own"],
        Meta(
            description="Where no copy answers in time, under `ack` by copy: answer `-BUSY`, or go on with the own "
            "folder alone until a copy has been whole for 10 s."
        ),
    ] = "busy"
    copies_mb: Annotated[
        float,
        Meta(ge=1, description="Room in the folder for what is kept for other members.", extra={"unit": "MB"}),
    ] = 64.0
    sessions: Annotated[
        bool,
        Meta(
            description="Whether each key of `SUBMIT` has one sender of the fleet that takes it, and may move to "
            "another; the same in every member's file."
        ),
    ] = False
    follow_s: Annotated[
        float,
        Meta(
            ge=60,
            le=43200,
            description="A subscription that nobody has followed for so long has ended. Of members that differ, the "
            "one where it was followed last decides, for all.",
            extra={"unit": "seconds"},
        ),
    ] = 3600.0


class Operator(Table, frozen=True, kw_only=True):
    """The whole file."""

    log: Annotated[Log, Meta(description="The log on standard error.")] = Log()
    counters: Annotated[CounterSettings, Meta(description="Counters in the log.")] = CounterSettings()
    store: Annotated[StoreSettings, Meta(description="The folder that lasts.")] = StoreSettings()
    fleet: Annotated[Fleet | None, Meta(description="Many senders as one fleet.")] = None


def load(path: str) -> Operator:
    """The operator file at a path; `ConfigFileError` says in one line what is wrong with it."""
    made = load_toml(path, Operator)
    if made.fleet is not None:
        check_fleet(made.fleet, path)
    return made


def check_fleet(fleet: Fleet, path: str) -> None:
    """What no type says of a fleet; `ConfigFileError` names the first key that does not fit."""
    # Only a file with a fleet pays for the hash and the rest.
    from cedarwick.config.member_slots import slot_of
    from cedarwick.net.assignment import address

    names: dict[str, int] = {}
    addresses: dict[tuple[str, int], int] = {}
    slots: dict[int, int] = {}
    for index, member in enumerate(fleet.member):
        where = f"{path}: fleet.member[{index}]"
        try:
            listens = address(member.address)
        except ValueError:
            raise ConfigFileError(f"{where}.address: Expected `host:port`, got {member.address!r}") from None
        if (first := names.setdefault(member.name, index)) != index:
            raise ConfigFileError(f"{where}.name: {member.name!r} is given twice, first in member[{first}]")
        if (first := addresses.setdefault(listens, index)) != index:
            raise ConfigFileError(f"{where}.address: {member.address!r} is given twice, first in member[{first}]")
        # Danger: two members with one slot would give two messages one number.
        if (first := slots.setdefault(slot_of(member.name), index)) != index:
            raise ConfigFileError(
                f"{where}.name: {member.name!r} has the slot of {fleet.member[first].name!r}; rename one"
            )
    if fleet.copies >= len(fleet.member):
        raise ConfigFileError(f"{path}: fleet.copies: {fleet.copies} copies need {fleet.copies + 1} members")
    if fleet.ack == "copy" and not fleet.copies:
        raise ConfigFileError(f"{path}: fleet.copies: `ack` by copy needs 1 at least")
