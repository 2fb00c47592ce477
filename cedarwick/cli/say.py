"""Output that the sub-commands share: errors, tables, progress and JSON."""

import sys
from typing import NoReturn

import click
import msgspec
from rich.console import Console

from cedarwick.errors import CedarwickError

UNUSABLE_STATUS = 2  # the exit status for arguments or files that cannot be used
PLAIN_WIDTH = 118  # characters of a table that goes to no terminal


class ArgumentError(CedarwickError):
    """An argument of a sub-command, or what it names, cannot be used."""

    code = "CW105"
    remedy = "correct the path or the address that is named; --help tells what the sub-command takes"


def unusable(found: str | Exception, doing: str = "") -> NoReturn:
    """End the program with one line on standard error, code and remedy included, and exit status 2.

    `doing` is put before the text: what was being done.
    """
    error = found if isinstance(found, CedarwickError) else ArgumentError(str(found))
    click.echo(f"cedarwick: {(error.within(doing) if doing else error).line}", err=True)
    sys.exit(UNUSABLE_STATUS)


def console() -> Console:
    """A console for tables: as wide as the terminal; elsewhere plain and `PLAIN_WIDTH` wide."""
    made = Console(highlight=False)
    return made if made.is_terminal else Console(highlight=False, width=PLAIN_WIDTH)


class Progress:
    """One line that renews itself on a terminal; elsewhere a plain line every few seconds."""

    EVERY = 5.0  # seconds between two plain lines

    def __init__(self) -> None:
        self.on_terminal = sys.stderr.isatty()
        self.said_at = 0.0

    def say(self, now: float, text: str) -> None:
        """Show the state at a time in seconds."""
        if self.on_terminal:
            print(f"\r\x1b[K{text}", end="", file=sys.stderr, flush=True)
        elif now - self.said_at >= self.EVERY:
            self.said_at = now
            print(text, file=sys.stderr, flush=True)

    def end(self) -> None:
        """Clear the line on a terminal."""
        if self.on_terminal:
            print("\r\x1b[K", end="", file=sys.stderr, flush=True)


def write_json(found: object, json_file: str | None) -> None:
    """Figures as JSON into a file, or on standard output for `-`; nothing for None."""
    if json_file is None:
        return
    text = msgspec.json.format(msgspec.json.encode(found), indent=1).decode()
    if json_file == "-":
        click.echo(text)
        return
    try:
        with open(json_file, "w", encoding="utf-8") as file:
            file.write(text + "\n")
    except OSError as error:
        unusable(f"{json_file}: {error.strerror}")
