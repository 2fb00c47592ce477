"""`cedarwick load`: an open-loop load against any sender."""

import sys
import time
from collections.abc import Sequence

import click
from rich.table import Table

from cedarwick.cli.say import Progress, console, unusable, write_json
from cedarwick.lab.load import Loader, Plan, Report, answers_ping
from cedarwick.net.assignment import parse_address

PROGRESS_INTERVAL_S = 0.2  # between two updates of the progress line


@click.command()
@click.argument("addresses", nargs=-1, required=True, metavar="ADDRESS...")
@click.option("--rate", default=100.0, show_default=True, type=click.FloatRange(0.1, 1e6), help="Requests a second.")
@click.option("--seconds", default=10.0, show_default=True, type=click.FloatRange(0.1, 86400))
@click.option(
    "--band",
    "priority_class",
    default="price",
    show_default=True,
    help="A priority class that the sender's settings name.",
)
@click.option("--destinations", default=1, show_default=True, type=click.IntRange(1), help="Number 0 and up, in turn.")
@click.option("--bytes", "size", default=212, show_default=True, type=click.IntRange(0, 65536), help="Of a body.")
@click.option("--outer-ms", default=8000, show_default=True, type=click.IntRange(1), help="The deadline.")
@click.option("--patience-ms", default=400.0, show_default=True, type=click.FloatRange(1), help="For an answer.")
@click.option("--connections", default=64, show_default=True, type=click.IntRange(1, 10000), help="To each address.")
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0), help="Draws the gaps between requests.")
@click.option("--json", "json_file", type=click.Path(), help="Write the figures here; - for standard output.")
def command(
    addresses: Sequence[str],
    rate: float,
    seconds: float,
    priority_class: str,
    destinations: int,
    size: int,
    outer_ms: int,
    patience_ms: float,
    connections: int,
    seed: int,
    json_file: str | None,
) -> None:
    """Drive senders at ADDRESS (host:port; several share the rate) with an open-loop load.

    The time of an answer counts from when its request was due, whenever it could be written. Exit status 4: the
    tool itself was too slow for the rate, so the figures say nothing.
    """
    try:
        places = [parse_address(each) for each in addresses]
    except ValueError as error:
        unusable(error)
    for place, text in zip(places, addresses, strict=True):
        if not answers_ping(place):
            unusable(f"{text}: no sender answers PING there")
    loader = Loader(
        Plan(places, rate, seconds, priority_class, destinations, size, outer_ms, patience_ms / 1000, connections, seed)
    )
    progress, begun = Progress(), time.monotonic()
    last = [0.0]

    def say(state: Loader) -> None:
        now = time.monotonic() - begun
        if now - last[0] > PROGRESS_INTERVAL_S:
            last[0] = now
            progress.say(
                now,
                f"{now:5.1f} s: {state.sent} sent, {state.out} without an answer, "
                + ", ".join(f"{count} {name}" for name, count in sorted(state.answers.items())),
            )

    found = loader.run(say)
    progress.end()
    if json_file != "-":
        show(found)
    write_json(found, json_file)
    sys.exit(4 if found.void else 0)


def show(found: Report) -> None:
    """The figures as a table."""
    out = console()
    table = Table("ms", "count", "mean", *(f"p{part}" for part in found.took.at), box=None)
    for name, row in (("from due", found.took), ("from written", found.service)):
        table.add_row(name, str(row.count), f"{row.mean:.2f}", *(f"{value:.2f}" for value in row.at.values()))
    out.print(
        f"asked {found.asked_rate:g} a second, answered {found.sent_rate:g}, taken {found.taken_rate:g}; "
        + ", ".join(f"{count} {name}" for name, count in sorted(found.answers.items()))
    )
    out.print(table)
    if found.void:
        out.print(f"[yellow]void[/]: {found.void}")
