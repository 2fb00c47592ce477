"""`cedarwick load`: an open-loop load generator for senders."""

import sys
import time
from collections.abc import Sequence

import click
from rich.table import Table

from cedarwick.cli.say import Progress, console, exit_with_error, write_json
from cedarwick.lab.load import Loader, Plan, Report, answers_ping
from cedarwick.net.assignment import parse_address

PROGRESS_INTERVAL_S = 0.2  # between updates of the progress line


@click.command()
@click.argument("addresses", nargs=-1, required=True, metavar="ADDRESS...")
@click.option("--rate", default=100.0, show_default=True, type=click.FloatRange(0.1, 1e6), help="Requests per second.")
@click.option("--seconds", default=10.0, show_default=True, type=click.FloatRange(0.1, 86400))
@click.option(
    "--band",
    "priority_class",
    default="price",
    show_default=True,
    help="Priority class, as named in the sender's settings.",
)
@click.option(
    "--destinations",
    default=1,
    show_default=True,
    type=click.IntRange(1),
    help="Number of destinations, used in turn from 0.",
)
@click.option(
    "--bytes", "size", default=212, show_default=True, type=click.IntRange(0, 65536), help="Size of a message body."
)
@click.option("--outer-ms", default=8000, show_default=True, type=click.IntRange(1), help="Deadline of each message.")
@click.option(
    "--patience-ms", default=400.0, show_default=True, type=click.FloatRange(1), help="Time to wait for an answer."
)
@click.option(
    "--connections", default=64, show_default=True, type=click.IntRange(1, 10000), help="Connections per address."
)
@click.option(
    "--seed",
    default=1,
    show_default=True,
    type=click.IntRange(0),
    help="Seed of the random intervals between requests.",
)
@click.option("--json", "json_file", type=click.Path(), help="Write the results to this file; - for standard output.")
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
    """Put an open-loop load on the senders at ADDRESS (host:port; several addresses share the rate).

    Response times are measured from the time a request was due, even if it was written later. Exit status 4: the
    load generator itself was too slow for the rate, so the results are void.
    """
    try:
        parsed_addresses = [parse_address(each) for each in addresses]
    except ValueError as error:
        exit_with_error(error)
    for parsed_address, text in zip(parsed_addresses, addresses, strict=True):
        if not answers_ping(parsed_address):
            exit_with_error(f"{text}: no sender answers PING")
    loader = Loader(
        Plan(
            parsed_addresses,
            rate,
            seconds,
            priority_class,
            destinations,
            size,
            outer_ms,
            patience_ms / 1000,
            connections,
            seed,
        )
    )
    progress, started_at = Progress(), time.monotonic()
    printed_at = [0.0]

    def show_progress(state: Loader) -> None:
        now = time.monotonic() - started_at
        if now - printed_at[0] > PROGRESS_INTERVAL_S:
            printed_at[0] = now
            progress.update(
                now,
                f"{now:5.1f} s: {state.sent} sent, {state.out} without an answer, "
                + ", ".join(f"{count} {name}" for name, count in sorted(state.answers.items())),
            )

    report = loader.run(show_progress)
    progress.clear()
    if json_file != "-":
        print_report(report)
    write_json(report, json_file)
    sys.exit(4 if report.void else 0)


def print_report(report: Report) -> None:
    """Print the results as a table."""
    output = console()
    table = Table("ms", "count", "mean", *(f"p{part}" for part in report.took.at), box=None)
    for name, times in (("from due", report.took), ("from written", report.service)):
        table.add_row(name, str(times.count), f"{times.mean:.2f}", *(f"{value:.2f}" for value in times.at.values()))
    output.print(
        f"asked {report.asked_rate:g} a second, answered {report.sent_rate:g}, taken {report.taken_rate:g}; "
        + ", ".join(f"{count} {name}" for name, count in sorted(report.answers.items()))
    )
    output.print(table)
    if report.void:
        output.print(f"[yellow]void[/]: {report.void}")
