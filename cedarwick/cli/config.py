"""`cedarwick config`: check, show and document configuration files."""

import json
import os
import tempfile

import click
import msgspec

from cedarwick.cli.say import exit_with_error
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
    help="The kind of file.",
)


@click.group()
def command() -> None:
    """Check, show and document configuration files."""


@command.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Validate FILE: a platform's configuration (.json), an operator file or a scenario (.toml)."""
    try:
        click.echo(f"{file}: valid {identify_file(file)}")
    except (ConfigFileError, AssignmentError) as error:
        exit_with_error(error)


def identify_file(file: str) -> str:
    """Validate a file and return its kind; raises `ConfigFileError` or `AssignmentError` if it is invalid."""
    if file.endswith(".json"):
        with tempfile.TemporaryDirectory() as folder:  # the state folder is not part of the check
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
    """Show the effective settings of an operator FILE and the source of each; without FILE, the defaults."""
    file = file or os.environ.get("CEDARWICK_OPERATOR") or None
    try:
        click.echo(texts.effective(load(file), read_toml(file)) if file else texts.effective(Operator(), {}))
    except ConfigFileError as error:
        exit_with_error(error)


@command.command()
@of_kind_option
def schema(kind: str) -> None:
    """Print the JSON Schema of a file."""
    click.echo(texts.schema(FILE_TYPES[kind]))


@command.command()
@click.option(
    "--of",
    "kind",
    type=click.Choice(["operator", "sender"]),
    default="operator",
    show_default=True,
    help="The kind of file: the operator file, or the platform's JSON configuration of a sender.",
)
def example(kind: str) -> None:
    """Print an example file: every key of the operator file, or a complete configuration of one sender."""
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
    help="The kind of file, or all errors with code and remedy.",
)
def reference(kind: str) -> None:
    """Print every key of a file, or every error, as Markdown, as included in the pages in docs/."""
    if kind == "errors":
        from cedarwick.config.remedies import table_rows

        click.echo("\n".join(table_rows()))
        return
    click.echo(texts.reference(FILE_TYPES[kind]))
