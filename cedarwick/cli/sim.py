"""`cedarwick sim`: serve the decisions to the simulator."""

import sys

import click

from cedarwick.adapter.__main__ import main


@click.command()
def command() -> None:
    """Serve the decisions to the simulator: batches on standard input, replies on standard output."""
    sys.exit(main())
