"""`cedarwick store`."""

import json
import sys
import time

import click
import msgspec
from rich.table import Table

from cedarwick.cli.say import console, unusable
from cedarwick.store import tools
from cedarwick.store.files import FolderInUseError, NoSpaceError


@click.group()
def command() -> None:
    """Look at, copy and compact the folder that lasts."""


def show(summary: tools.Summary, as_json: bool) -> None:
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
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def verify(folder: str, as_json: bool) -> None:
    """Read FOLDER as a start would, and write nothing. Exit status 3 where anything is wrong with it."""
    try:
        summary = tools.verify(folder)
    except OSError as error:
        unusable(error, folder)
    show(summary, as_json)
    sys.exit(3 if summary.findings else 0)


@command.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def dump(folder: str) -> None:
    """Everything that FOLDER owes, one JSON object a line, without bodies."""
    for row in tools.dump(folder):
        click.echo(json.dumps(row))


@command.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--disk-mb", default=0.0, help="The limit; else twice what the folder takes now, and 16 MB more.")
def compact(folder: str, disk_mb: float) -> None:
    """Move what lives in FOLDER together. No sender may run on it."""
    try:
        limit = round(disk_mb * (1 << 20)) or 2 * tools.verify(folder).used_bytes + (1 << 24)
        before, after = tools.compact(folder, limit, lambda: time.time_ns() // 1000)
    except (FolderInUseError, NoSpaceError, OSError) as error:
        unusable(error)
    click.echo(f"{before} bytes before, {after} after")


@command.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.argument("to", type=click.Path())
def backup(folder: str, to: str) -> None:
    """Copy FOLDER to the new folder TO as of one moment; a sender may run on it."""
    try:
        show(tools.backup(folder, to), as_json=False)
    except OSError as error:
        unusable(error)
