"""Output shared by the sub-commands: errors, tables, progress and JSON."""

import sys
from typing import NoReturn

import click
import msgspec
from rich.console import Console

from cedarwick.errors import CedarwickError

UNUSABLE_STATUS = 2  # exit status for invalid arguments or files
PLAIN_WIDTH = 118  # characters per line of a table that is not printed to a terminal


class ArgumentError(CedarwickError):
    """An argument of a sub-command is invalid, or the file or address it names cannot be used."""

    code = "CW105"
    remedy = "correct the named path or address; --help lists the arguments of the sub-command"


def exit_with_error(error_or_text: str | Exception, action: str = "") -> NoReturn:
    """Print an error as one line on standard error, with code and remedy, and exit with status 2.

    `action`, if given, is put before the text and says what failed.
    """
    error = error_or_text if isinstance(error_or_text, CedarwickError) else ArgumentError(str(error_or_text))
    click.echo(f"cedarwick: {(error.within(action) if action else error).line}", err=True)
    sys.exit(UNUSABLE_STATUS)


def console() -> Console:
    """Return a console for tables: as wide as the terminal, or `PLAIN_WIDTH` wide without a terminal."""
    created = Console(highlight=False)
    return created if created.is_terminal else Console(highlight=False, width=PLAIN_WIDTH)


class Progress:
    """Progress output: one line that is updated in place on a terminal, else a plain line every few seconds."""

    PLAIN_INTERVAL_S = 5.0  # between two plain lines

    def __init__(self) -> None:
        self.on_terminal = sys.stderr.isatty()
        self.printed_at = 0.0

    def update(self, now: float, text: str) -> None:
        """Show the progress `text`; `now` is the time in seconds."""
        if self.on_terminal:
            print(f"\r\x1b[K{text}", end="", file=sys.stderr, flush=True)
        elif now - self.printed_at >= self.PLAIN_INTERVAL_S:
            self.printed_at = now
            print(text, file=sys.stderr, flush=True)

    def clear(self) -> None:
        """Clear the progress line on a terminal."""
        if self.on_terminal:
            print("\r\x1b[K", end="", file=sys.stderr, flush=True)


def write_json(figures: object, json_file: str | None) -> None:
    """Write figures as JSON to a file, or to standard output for `-`; does nothing for None."""
    if json_file is None:
        return
    text = msgspec.json.format(msgspec.json.encode(figures), indent=1).decode()
    if json_file == "-":
        click.echo(text)
        return
    try:
        with open(json_file, "w", encoding="utf-8") as file:
            file.write(text + "\n")
    except OSError as error:
        exit_with_error(f"{json_file}: {error.strerror}")
