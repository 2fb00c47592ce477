"""`cedarwick sim`: the decisions on the simulator's wire."""

import sys

import click

from cedarwick.adapter.__main__ import main


@click.command()
def command() -> None:
    """The decisions on the simulator's wire: batches on standard input, replies on standard output."""
    sys.exit(main())
