"""`cedarwick config`: check, show and explain configuration files."""

import json
import os
import tempfile

import click
import msgspec

from cedarwick.cli.say import unusable
from cedarwick.config import texts
from cedarwick.config.files import ConfigFileError, read_toml
from cedarwick.config.operator import Operator, load
from cedarwick.lab.scenario import Scenario, load_scenario, sender_settings
from cedarwick.net.assignment import AssignmentError, read_assignment

FILE_TYPES: dict[str, type[msgspec.Struct]] = {"operator": Operator, "scenario": Scenario}
of_kind_option = click.option(
    "--of",
    "kind",
    type=click.Choice(list(FILE_TYPES)),
    default="operator",
    show_default=True,
    help="Which kind of file.",
)


@click.group()
def command() -> None:
    """Check, show and explain configuration files."""


@command.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Check FILE: a platform's configuration (.json), an operator file or a scenario (.toml)."""
    try:
        click.echo(f"{file}: a good {checked(file)}")
    except (ConfigFileError, AssignmentError) as error:
        unusable(error)


def checked(file: str) -> str:
    """What kind of file it is; `ConfigFileError` or `AssignmentError` where it cannot be used as that."""
    if file.endswith(".json"):
        with tempfile.TemporaryDirectory() as folder:  # the folder that lasts is not the file's matter
            read_assignment({"RELAY_CONFIG": file, "RELAY_STATE": folder})
        return "configuration of a sender"
    if {"band", "partner"} & read_toml(file).keys():
        load_scenario(os.path.join(os.path.dirname(file) or ".", os.path.basename(file)))
        return "scenario"
    load(file)
    return "operator file"


@command.command()
@click.argument("file", type=click.Path(), required=False)
def show(file: str | None) -> None:
    """What is in force with an operator FILE, each line with its source; the defaults without one."""
    file = file or os.environ.get("CEDARWICK_OPERATOR") or None
    try:
        click.echo(texts.effective(load(file), read_toml(file)) if file else texts.effective(Operator(), {}))
    except ConfigFileError as error:
        unusable(error)


@command.command()
@of_kind_option
def schema(kind: str) -> None:
    """The JSON Schema of a file."""
    click.echo(texts.schema(FILE_TYPES[kind]))


@command.command()
@click.option(
    "--of",
    "kind",
    type=click.Choice(["operator", "sender"]),
    default="operator",
    show_default=True,
    help="Which kind of file: the operator's, or the platform's JSON that a sender is given.",
)
def example(kind: str) -> None:
    """A file to begin with: every key of the operator's, or a whole configuration of one sender."""
    if kind == "operator":
        click.echo(texts.example(Operator), nl=False)
        return
    configuration = {
        "name": "n0",
        "listen": "127.0.0.1:6379",
        "discovery": "127.0.0.1:8500",
        "seed": "5f3a9c21e0b4d655",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 3},
        "known": {
            "rev": 1,
            "all": True,
            "targets": [
                {
                    "uid": "s-1",
                    "endpoint": "127.0.0.1:7000",
                    "az": "hall",
                    "model": "hotel",
                    "pod_group": 0,
                    "state": "up",
                    "capacity_hint": 1.0,
                    "boot_ms": 0,
                }
            ],
        },
        "settings": sender_settings(load_scenario("calm"), 1),
    }
    click.echo(json.dumps(configuration, indent=2))


@command.command()
@click.option(
    "--of",
    "kind",
    type=click.Choice([*FILE_TYPES, "errors"]),
    default="operator",
    show_default=True,
    help="Which kind of file, or all errors with code and remedy.",
)
def reference(kind: str) -> None:
    """Every key of a file, or every error, as Markdown, as the pages in docs/ hold it."""
    if kind == "errors":
        from cedarwick.config.remedies import rows

        click.echo("\n".join(rows()))
        return
    click.echo(texts.reference(FILE_TYPES[kind]))
