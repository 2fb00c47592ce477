"""What the sub-commands say alike."""

import sys
from typing import NoReturn

import click
import msgspec
from rich.console import Console

from cedarwick.errors import CedarwickError

USABLE = 2  # the exit status for arguments or files that cannot be used


class ArgumentError(CedarwickError):
    """An argument of a sub-command, or what it names, cannot be used."""

    code = "CW105"
    remedy = "correct the path or the address that is named; --help tells what the sub-command takes"


def unusable(found: str | Exception, doing: str = "") -> NoReturn:
    """One line on standard error with code and remedy, and status 2; an error says in what it came up."""
    trouble = found if isinstance(found, CedarwickError) else ArgumentError(str(found))
    click.echo(f"cedarwick: {(trouble.within(doing) if doing else trouble).line}", err=True)
    sys.exit(USABLE)


def console() -> Console:
    """For tables: as wide as the terminal, plain and wide enough elsewhere."""
    made = Console(highlight=False)
    return made if made.is_terminal else Console(highlight=False, width=118)


class Progress:
    """One line that renews itself on a terminal; elsewhere a plain line every few seconds."""

    EVERY = 5.0

    def __init__(self) -> None:
        self.on_terminal = sys.stderr.isatty()
        self.said_at = 0.0

    def say(self, now: float, text: str) -> None:
        """The state of things at a time in seconds."""
        if self.on_terminal:
            print(f"\r\x1b[K{text}", end="", file=sys.stderr, flush=True)
        elif now - self.said_at >= self.EVERY:
            self.said_at = now
            print(text, file=sys.stderr, flush=True)

    def end(self) -> None:
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
