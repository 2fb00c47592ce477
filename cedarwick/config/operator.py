"""The operator file: what the platform's configuration does not cover. Each key is described here, once.

Every table belongs to one subsystem and is off, or as without a file, until it is written. A new subsystem adds
its table to `Operator`; example, schema and the page in `docs/` follow from that.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from cedarwick.config.files import BadFile, load_toml

__all__ = ["BadFile", "Counting", "Log", "Operator", "load"]


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


class Operator(Table, frozen=True, kw_only=True):
    """The whole file."""

    log: Annotated[Log, Meta(description="The log on standard error.")] = Log()
    counters: Annotated[Counting, Meta(description="Counters in the log.")] = Counting()


def load(path: str) -> Operator:
    """The operator file at a path; `BadFile` says in one line what is wrong with it."""
    return load_toml(path, Operator)
