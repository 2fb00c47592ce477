"""The operator file: what the platform's configuration does not cover. Each key is described here, once.

Every table belongs to one subsystem and is off, or as without a file, until it is written. A new subsystem adds
its table to `Operator`; example, schema and the page in `docs/` follow from that.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from cedarwick.config.files import BadFile, load_toml

__all__ = ["BadFile", "Counting", "Lasting", "Log", "Operator", "load"]


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


class Counting(Table, frozen=True, kw_only=True):
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


class Lasting(Table, frozen=True, kw_only=True):
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
            description="Bodies of waiting envelopes that are held in memory; the rest is read from the folder for "
            "the shot. Taken over at a start only.",
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


class Operator(Table, frozen=True, kw_only=True):
    """The whole file."""

    log: Annotated[Log, Meta(description="The log on standard error.")] = Log()
    counters: Annotated[Counting, Meta(description="Counters in the log.")] = Counting()
    store: Annotated[Lasting, Meta(description="The folder that lasts.")] = Lasting()


def load(path: str) -> Operator:
    """The operator file at a path; `BadFile` says in one line what is wrong with it."""
    return load_toml(path, Operator)
