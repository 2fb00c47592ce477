"""The operator file: settings outside the platform's configuration. This module is the only description of its keys.

Each table belongs to one subsystem. If a table is missing, its subsystem is off or uses its defaults. A new subsystem
adds its table to `Operator`; the example, the schema and the page in `docs/` are generated from these types.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from cedarwick.config.files import ConfigFileError, load_toml

__all__ = ["ConfigFileError", "CounterSettings", "Fleet", "Log", "Member", "Operator", "StoreSettings", "load"]

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file; unknown keys are errors."""


class Log(Table, frozen=True, kw_only=True):
    """Logging to standard error."""

    level: Annotated[
        Literal["DEBUG", "INFO", "WARNING", "ERROR"],
        Meta(description="Minimum severity of the lines that are written."),
    ] = "INFO"
    format: Annotated[
        Literal["text", "json"],
        Meta(description="Plain text, or one JSON object per line with time, level and source location."),
    ] = "text"
    quiet_s: Annotated[
        float,
        Meta(
            ge=0,
            le=3600,
            description="Minimum interval between two lines about the same kind of problem.",
            extra={"unit": "seconds"},
        ),
    ] = 10.0
    messages: Annotated[
        bool,
        Meta(description="One line for each attempt, each final answer and each acknowledged notice of a message."),
    ] = False


class CounterSettings(Table, frozen=True, kw_only=True):
    """Counters of accepted messages, attempts and answers."""

    every_s: Annotated[
        float,
        Meta(
            ge=0,
            le=86400,
            description="Interval at which all counters are logged; 0: only on SIGUSR1 and at shutdown.",
            extra={"unit": "seconds"},
        ),
    ] = 0.0


class StoreSettings(Table, frozen=True, kw_only=True):
    """The state folder."""

    durability: Annotated[
        Literal["none", "group"],
        Meta(
            description="`none`: records are written without fsync and survive a crash of the process. `group`: the "
            "records of each round are synced once, before anything that waits for them, and survive a loss of power. "
            "Read at startup only."
        ),
    ] = "none"
    bodies_mb: Annotated[
        float,
        Meta(
            ge=0,
            description="Memory for the bodies of waiting messages, less where `limits.memory_mb` leaves no room "
            "for it; other bodies are read from the folder for each attempt. Read at startup only.",
            extra={"unit": "MB"},
        ),
    ] = 64.0
    segment_kb: Annotated[
        float,
        Meta(
            ge=0,
            le=1 << 20,
            description="Size at which a segment is sealed; 0: a fraction of the folder's size limit, at least 64 KB. "
            "Read at startup only.",
            extra={"unit": "KB"},
        ),
    ] = 0.0


class Member(Table, frozen=True, kw_only=True):
    """One sender of the fleet, including this one; the list must be the same in every member's file."""

    name: Annotated[
        Name,
        Meta(
            description="Name of the sender, as in the platform's configuration.",
            extra_json_schema={"examples": ["n0", "n1"]},
        ),
    ]
    address: Annotated[
        str,
        Meta(
            max_length=255,
            description="Address at which it listens for other members, as `host:port`; not the address for clients.",
            extra_json_schema={"examples": ["10.0.0.1:6400", "10.0.1.1:6400"]},
        ),
    ]
    hall: Annotated[
        Name,
        Meta(
            description="The hall where it runs; replicas in other halls are preferred.",
            extra_json_schema={"examples": ["north", "south"]},
        ),
    ]


class Fleet(Table, frozen=True, kw_only=True):
    """Senders that replicate messages to each other and take over from failed members."""

    group: Annotated[
        Name,
        Meta(
            description="Name of the fleet; members of other fleets are refused.",
            extra_json_schema={"examples": ["halls"]},
        ),
    ]
    member: Annotated[list[Member], Meta(min_length=2, max_length=64, description="The members.")]
    ack: Annotated[
        Literal["own", "copy"],
        Meta(
            description="When `+OK` is answered. `own`: once the message is in this sender's folder, with replication "
            "following later. `copy`: once every replica has it too."
        ),
    ] = "own"
    copies: Annotated[
        int, Meta(ge=0, le=2, description="Number of members that keep a replica of a sender's owed messages.")
    ] = 1
    ack_within_ms: Annotated[
        float,
        Meta(
            ge=1,
            le=400,
            description="Time limit for the acknowledgement of a replica if `ack` is `copy`.",
            extra={"unit": "milliseconds"},
        ),
    ] = 150.0
    alone: Annotated[
        Literal["busy", "own"],
        Meta(
            description="What to do if `ack` is `copy` and no replica answers in time. `busy`: answer `-BUSY`. `own`: "
            "continue with this sender's folder alone until a replica has been complete for 10 s."
        ),
    ] = "busy"
    copies_mb: Annotated[
        float,
        Meta(ge=1, description="Space in the folder for the replicas of other members.", extra={"unit": "MB"}),
    ] = 64.0
    sessions: Annotated[
        bool,
        Meta(
            description="Whether each order key is served by one sender of the fleet at a time and can migrate to "
            "another. Must be the same in every member's file."
        ),
    ] = False
    follow_s: Annotated[
        float,
        Meta(
            ge=60,
            le=43200,
            description="A subscription without a subscriber for this long expires. If members have different values, "
            "the value of the member where it was followed last applies at all members.",
            extra={"unit": "seconds"},
        ),
    ] = 3600.0


class Operator(Table, frozen=True, kw_only=True):
    """The whole operator file."""

    log: Annotated[Log, Meta(description="Logging to standard error.")] = Log()
    counters: Annotated[CounterSettings, Meta(description="Periodic counters in the log.")] = CounterSettings()
    store: Annotated[StoreSettings, Meta(description="The state folder.")] = StoreSettings()
    fleet: Annotated[Fleet | None, Meta(description="Several senders as one fleet.")] = None


def load(path: str) -> Operator:
    """Read the operator file at a path; raises `ConfigFileError` with a one-line text."""
    made = load_toml(path, Operator)
    if made.fleet is not None:
        check_fleet(made.fleet, path)
    return made


def check_fleet(fleet: Fleet, path: str) -> None:
    """Check what the types cannot express about a fleet; raises `ConfigFileError` for the first invalid key."""
    # Imported here, so that only files with a fleet load the hash library and the network modules.
    from cedarwick.config.member_slots import slot_of
    from cedarwick.net.assignment import parse_address

    names: dict[str, int] = {}
    addresses: dict[tuple[str, int], int] = {}
    slots: dict[int, int] = {}
    for index, member in enumerate(fleet.member):
        where = f"{path}: fleet.member[{index}]"
        try:
            listen_address = parse_address(member.address)
        except ValueError:
            raise ConfigFileError(f"{where}.address: Expected `host:port`, got {member.address!r}") from None
        if (first := names.setdefault(member.name, index)) != index:
            raise ConfigFileError(f"{where}.name: {member.name!r} is given twice, first in member[{first}]")
        if (first := addresses.setdefault(listen_address, index)) != index:
            raise ConfigFileError(f"{where}.address: {member.address!r} is given twice, first in member[{first}]")
        # Two members with the same slot would give the same number to two messages.
        if (first := slots.setdefault(slot_of(member.name), index)) != index:
            raise ConfigFileError(
                f"{where}.name: {member.name!r} has the slot of {fleet.member[first].name!r}; rename one of them"
            )
    if fleet.copies >= len(fleet.member):
        raise ConfigFileError(f"{path}: fleet.copies: {fleet.copies} copies need {fleet.copies + 1} members")
    if fleet.ack == "copy" and not fleet.copies:
        raise ConfigFileError(f"{path}: fleet.copies: `ack` by copy requires at least 1")
