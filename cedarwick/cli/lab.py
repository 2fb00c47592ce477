"""`cedarwick lab`: run scenarios against senders and report the results."""

import os
import subprocess
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor

import click
import msgspec
from rich.table import Table

from cedarwick.cli.say import Progress, console, exit_with_error, write_json
from cedarwick.config.files import ConfigFileError
from cedarwick.lab import scenario as scenarios
from cedarwick.lab.audit_cases import Account
from cedarwick.lab.clients import Clients
from cedarwick.lab.day import Day
from cedarwick.lab.run import Result, run_day, stop_on_signals, summarize_run
from cedarwick.lab.senders import SenderNotReadyError

RULES = {
    0: "protocol",
    1: "none lost",
    2: "no effect twice",
    3: "drains",
    4: "returning destination",
    5: "order",
    6: "waits",
}


@click.group()
def command() -> None:
    """Run scenarios against senders in the lab and report the results."""


@command.command("list")
def list_() -> None:
    """List the shipped scenarios."""
    table = Table("scenario", "length, s", "short, s", "senders", "about", box=None)
    for name in scenarios.shipped_scenarios():
        each = scenarios.load_scenario(name)
        table.add_row(name, f"{each.length_s:g}", f"{each.short_s:g}", str(each.senders), each.about)
    console().print(table)


@command.command("run")
@click.argument("scenario")
@click.option(
    "--seed", type=click.IntRange(0, 1 << 40), default=1, show_default=True, help="Seed of all random draws of the run."
)
@click.option("--senders", type=click.IntRange(0, 64), default=0, help="Number of senders; 0: as in the scenario.")
@click.option("--short", is_flag=True, help="Run the short form of the scenario.")
@click.option("--json", "json_file", type=click.Path(), help="Write the results to this file; - for standard output.")
@click.option("--out", type=click.Path(), help="Save the whole history of the run in this folder, with a report.")
@click.option(
    "--report/--no-report",
    default=None,
    help="Create the report page; by default, if --out is given, " "or at a terminal.",
)
def run_(
    scenario: str,
    seed: int,
    senders: int,
    short: bool,
    json_file: str | None,
    out: str | None,
    report: bool | None,
) -> None:
    """Run SCENARIO, which is the name of a shipped scenario or a file.

    Exit status: 0 success, 2 invalid arguments or files, 3 a rule was violated or a message is unaccounted for,
    4 the run is void, since the emulator itself was too slow.
    """
    try:
        chosen_scenario = scenarios.load_scenario(scenario)
    except ConfigFileError as error:
        exit_with_error(error)
    if out and os.path.exists(os.path.join(out, "run.json")):
        exit_with_error(f"{out}: already contains a run")
    if out is None and report is not False:
        out = os.path.join("lab-runs", f"{chosen_scenario.name}-{seed}-{time.strftime('%H%M%S')}")
    result = play_with_progress(chosen_scenario, seed, senders, short, out or "")
    print_result(result, quiet=json_file == "-")
    write_json(summarize_run(result), json_file)
    if out and report is not False:
        from cedarwick.lab.report import write_report

        click.echo(f"report: {write_report([out], out)}", err=json_file == "-")
    sys.exit(result.status)


def play_with_progress(chosen_scenario: scenarios.Scenario, seed: int, senders: int, short: bool, out: str) -> Result:
    """Run a scenario with a progress line; exits with status 2 if the run cannot start."""
    progress, started_at = Progress(), time.monotonic()

    def show_progress(day: Day, clients: Clients, last: int) -> None:
        history = day.history
        progress.update(
            time.monotonic() - started_at,
            f"{chosen_scenario.name}: {day.now() / 1e6:5.1f} s of at most {last / 1e6:.0f}, "
            f"{len(history.handed)} handed in, {len(history.called)} calls, "
            f"{len(history.noticed)} notices" + (", all have arrived" if clients.all_started else ""),
        )

    stop_on_signals(lambda: os._exit(1))
    try:
        return run_day(chosen_scenario, seed, senders, short, out, progress=show_progress)
    except (SenderNotReadyError, OSError) as error:
        exit_with_error(error, "the run could not start")
    finally:
        progress.clear()


def print_result(result: Result, quiet: bool = False) -> None:
    """Print the result as tables, on standard error if `quiet` (standard output then carries the JSON)."""
    output = console() if not quiet else type(console())(stderr=True, highlight=False, width=118)
    figures, account = result.figures, result.verdict.account
    output.print(
        f"[bold]{result.scenario.name}[/], seed {result.seed}, {result.senders} senders, "
        f"{result.schedule.length / 1e6:g} s of arrivals, played in {result.took:.1f} s"
    )
    classes = Table(
        "priority class", "things", "delivered", "in time", "service", "p50 ms", "p99 ms", "max ms", box=None
    )
    for name, row in figures.priority_classes.items():
        at = row.took.at
        classes.add_row(
            name,
            str(row.things),
            str(row.delivered),
            str(row.in_time),
            f"{row.service:.3f}",
            *(f"{at[part]:.0f}" if at else "-" for part in ("50", "99", "100")),
        )
    output.print(classes)
    output.print(
        f"service {figures.service:.3f}   answers "
        + ", ".join(f"{count} {name}" for name, count in sorted(figures.answers.items()))
        + "   calls "
        + ", ".join(f"{count} {name}" for name, count in sorted(figures.outcomes.items()))
    )
    output.print("messages taken on: " + format_account(account))
    output.print(
        f"largest sender {figures.memory_mb:.1f} MB, {figures.descriptors} descriptors, "
        f"{figures.cpu_share:.2f} of a core; the emulator was at most {figures.worst_lag_ms:.0f} ms late"
    )
    for fault in sorted(result.history.gone, key=lambda gone: gone.began):
        output.print(
            f"  {fault.began / 1e6:6.1f} to {fault.ended / 1e6:5.1f} s  {fault.kind}: "
            + ", ".join(fault.on[:6])
            + (f" and {len(fault.on) - 6} more" if len(fault.on) > 6 else "")
        )
    broken = result.verdict.counts_by_rule()
    for rule in sorted(broken):
        first = next(each for each in result.verdict.findings if each.rule == rule)
        output.print(
            f"[red]rule {rule} ({RULES[rule]}) broken {broken[rule]} times[/], first: {first.text}; "
            f"messages {', '.join(first.ids[:4])}",
            soft_wrap=True,
        )
    if result.void:
        output.print(f"[yellow]void[/]: {result.void}; this day says nothing of the senders")
    elif not broken:
        output.print("[green]no rule broken, every message accounted for[/]")


def format_account(account: Account) -> str:
    return (
        f"{account.taken} = {account.delivered} delivered ({account.late} late) + {account.returned} returned + "
        f"{account.written_off} written off + {account.lost} lost; {account.doubled} doubled"
    )


@command.command()
@click.argument("names", nargs=-1)
@click.option(
    "--seeds", default=5, show_default=True, type=click.IntRange(1, 1000), help="Run the seeds from 1 to this number."
)
@click.option("--jobs", default=2, show_default=True, type=click.IntRange(1, 16), help="Number of runs in parallel.")
@click.option("--short/--long", default=True, show_default=True)
@click.option("--out", type=click.Path(), help="Save the runs below this folder.")
def sweep(names: Sequence[str], seeds: int, jobs: int, short: bool, out: str | None) -> None:
    """Run scenarios (default: all) with several seeds; a void run is repeated once."""
    days = [(name, seed) for name in names or scenarios.shipped_scenarios() for seed in range(1, seeds + 1)]
    try:
        for name in names:
            scenarios.load_scenario(name)
    except ConfigFileError as error:
        exit_with_error(error)

    def play_day(day: tuple[str, int]) -> tuple[str, int, int, str, float]:
        name, seed = day
        arguments = [
            sys.executable,
            "-m",
            "cedarwick",
            "lab",
            "run",
            name,
            "--seed",
            str(seed),
            "--json",
            "-",
            "--no-report",
        ]
        started_at = time.monotonic()
        for play_number in range(2):
            out_option = (
                ["--out", os.path.join(out, f"{name}-{seed}" + ("-again" if play_number else ""))] if out else []
            )
            completed = subprocess.run(
                arguments + (["--short"] if short else []) + out_option, capture_output=True, text=True
            )
            if completed.returncode != 4:
                break
        return name, seed, completed.returncode, completed.stderr.strip(), time.monotonic() - started_at

    worst = 0
    with ThreadPoolExecutor(jobs) as pool:
        for name, seed, status, text, duration_s in pool.map(play_day, days):
            worst = max(worst, status)
            click.echo(f"{name:18} seed {seed:3}  status {status}  {duration_s:5.1f} s")
            if status:
                click.echo("    " + text.replace("\n", "\n    "))
    sys.exit(worst)


@command.command()
@click.argument("folders", nargs=-1, required=True, type=click.Path())
@click.option("--out", type=click.Path(), help="Folder for the page and its plots; default: that of the first run.")
def report(folders: Sequence[str], out: str | None) -> None:
    """Create one HTML page and PNG plots that compare one or several runs."""
    from cedarwick.lab.report import write_report

    try:
        click.echo(write_report(list(folders), out or folders[0]))
    except (OSError, ValueError, msgspec.DecodeError) as error:
        exit_with_error(error, "cannot read a run")


@command.command()
@click.option(
    "--seconds", default=8.0, show_default=True, type=click.FloatRange(3, 600), help="Duration for each program."
)
@click.option("--json", "json_file", type=click.Path(), help="Write the results to this file; - for standard output.")
def ceiling(seconds: float, json_file: str | None) -> None:
    """Measure the throughput of one sender on one core, compared with a bare loop with the same I/O."""
    from cedarwick.lab.ceiling import measure_ceiling

    measurements = measure_ceiling(seconds, lambda text: click.echo(text, err=True))
    table = Table("program", "calls/s", "of the bare loop", "core", "MB", "answers", box=None)
    for each in measurements:
        table.add_row(
            each.name,
            f"{each.per_second:.0f}",
            f"{each.per_second / max(1, measurements[0].per_second):.2f}",
            f"{each.cpu_share:.2f}",
            f"{each.memory_mb:.0f}",
            str(each.answered),
        )
    if json_file != "-":
        console().print(table)
    write_json(measurements, json_file)


@command.command()
@click.argument("scenario")
@click.option("--seed", type=click.IntRange(0, 1 << 40), default=1, show_default=True)
@click.option("--senders", type=click.IntRange(0, 64), default=0, help="Number of senders; 0: as in the scenario.")
@click.option(
    "--seconds", default=3600.0, show_default=True, type=click.FloatRange(1, 86400), help="Duration until it ends."
)
def serve(scenario: str, seed: int, senders: int, seconds: float) -> None:
    """Run a scenario's partners, platform and senders, without clients and faults, until interrupted.

    Prints the senders' addresses, one per line, for `cedarwick load`. Calls are answered but not recorded.
    """
    from cedarwick.lab.serve import serve_until_stopped

    try:
        chosen_scenario = scenarios.load_scenario(scenario)
        serve_until_stopped(chosen_scenario, seed, senders or chosen_scenario.senders, seconds, click.echo)
    except ConfigFileError as error:
        exit_with_error(error)
    except (SenderNotReadyError, OSError) as error:
        exit_with_error(error, "could not start")


@command.command()
@click.option("--live", default=100_000, show_default=True, type=click.IntRange(100), help="Number of stored messages.")
@click.option(
    "--bytes", "size", default=1000, show_default=True, type=click.IntRange(0, 65536), help="Size of a message body."
)
@click.option(
    "--rounds", default=20_000, show_default=True, type=click.IntRange(10), help="Number of rounds of eight messages."
)
@click.option("--json", "json_file", type=click.Path(), help="Write the results to this file; - for standard output.")
@click.option("--plot", "plot_file", type=click.Path(), help="Plot the results to this PNG file.")
def folder(live: int, size: int, rounds: int, json_file: str | None, plot_file: str | None) -> None:
    """Measure the cost of the state folder: longest pause, throughput, write amplification, space, startup."""
    from cedarwick.lab.folder import measure_folder, plot_churn

    measurements, start = measure_folder(live, size, rounds)
    if plot_file:
        plot_churn(measurements, plot_file)
    table = Table(
        "fill", "messages/s", "longest ms", "p99.9 ms", "amplification", "used", "on the spot", "refused", box=None
    )
    for each in measurements:
        table.add_row(
            f"{each.fill:.2f}" + (" synced" if each.durable else ""),
            f"{each.per_second:.0f}",
            f"{each.longest_ms:.2f}",
            f"{each.p999_ms:.2f}",
            f"{each.amplification:.2f}",
            f"{each.used_share:.3f}",
            str(each.presses),
            str(each.refused),
        )
    if json_file != "-":
        console().print(table)
        console().print(f"start with {start.live} live: {start.seconds:.2f} s, {start.memory_mb:.0f} MB")
    write_json([measurements, start], json_file)
