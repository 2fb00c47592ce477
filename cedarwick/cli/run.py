"""`cedarwick run`: run a sender until SIGTERM."""

import os
import sys

import click

from cedarwick import program


@click.command()
@click.option(
    "--operator", type=click.Path(), help="The operator file; default: the file named by CEDARWICK_OPERATOR, or none."
)
def command(operator: str | None) -> None:
    """Run a sender until SIGTERM, configured by RELAY_CONFIG and RELAY_STATE."""
    if operator is not None:
        os.environ[program.OPERATOR_FILE_VARIABLE] = operator
    sys.exit(program.main())
