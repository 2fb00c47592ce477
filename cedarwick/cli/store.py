"""`cedarwick store`: inspect, copy and compact a state folder."""

import json
import sys
import time

import click
import msgspec
from rich.table import Table

from cedarwick.cli.say import console, exit_with_error
from cedarwick.store import tools
from cedarwick.store.files import FolderInUseError, NoSpaceError


@click.group()
def command() -> None:
    """Inspect, copy and compact a state folder."""


def print_summary(summary: tools.Summary, as_json: bool) -> None:
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(summary), indent=1).decode())
        return
    table = Table(box=None, show_header=False)
    for name, value in msgspec.structs.asdict(summary).items():
        if name != "findings":
            table.add_row(name.replace("_", " "), str(value))
    console().print(table)
    for line in summary.findings:
        click.echo(line)


@command.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--json", "as_json", is_flag=True, help="Print the summary as JSON.")
def verify(folder: str, as_json: bool) -> None:
    """Read FOLDER as a starting sender would, without writing to it. Exit status 3 if there are findings."""
    try:
        summary = tools.verify(folder)
    except OSError as error:
        exit_with_error(error, folder)
    print_summary(summary, as_json)
    sys.exit(3 if summary.findings else 0)


@command.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def dump(folder: str) -> None:
    """Print all messages in FOLDER without a final answer, one JSON object per line, without bodies."""
    for row in tools.dump(folder):
        click.echo(json.dumps(row))


@command.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--disk-mb", default=0.0, help="Size limit of the folder; default: twice its present size plus 16 MB.")
def compact(folder: str, disk_mb: float) -> None:
    """Compact the live records in FOLDER. No sender may be running on it."""
    try:
        limit = round(disk_mb * (1 << 20)) or 2 * tools.verify(folder).used_bytes + (1 << 24)
        before, after = tools.compact(folder, limit, lambda: time.time_ns() // 1000)
    except (FolderInUseError, NoSpaceError, OSError) as error:
        exit_with_error(error)
    click.echo(f"{before} bytes before, {after} after")


@command.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.argument("to", type=click.Path())
def backup(folder: str, to: str) -> None:
    """Copy a consistent snapshot of FOLDER to the new folder TO; a sender may be running on it."""
    try:
        print_summary(tools.backup(folder, to), as_json=False)
    except OSError as error:
        exit_with_error(error)
