"""`cedarwick lab`."""

import os
import subprocess
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor

import click
import msgspec
from rich.table import Table

from cedarwick.cli.say import Progress, console, unusable, write_json
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
    """Play days against senders in the laboratory, and report on them."""


@command.command("list")
def list_() -> None:
    """The scenarios that come with the product."""
    table = Table("scenario", "length, s", "short, s", "senders", "about", box=None)
    for name in scenarios.shipped_scenarios():
        each = scenarios.load_scenario(name)
        table.add_row(name, f"{each.length_s:g}", f"{each.short_s:g}", str(each.senders), each.about)
    console().print(table)


@command.command("run")
@click.argument("scenario")
@click.option("--seed", type=click.IntRange(0, 1 << 40), default=1, show_default=True, help="Draws the whole day.")
@click.option("--senders", type=click.IntRange(0, 64), default=0, help="Instead of the scenario's number.")
@click.option("--short", is_flag=True, help="The short form of the day.")
@click.option("--json", "json_file", type=click.Path(), help="Write the figures here; - for standard output.")
@click.option("--out", type=click.Path(), help="Keep all that was seen in this folder, with a report.")
@click.option(
    "--report/--no-report",
    default=None,
    help="Make the report page; by default where --out is given, " "or at a terminal.",
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
    """Play a day: SCENARIO is a shipped one's name or a file.

    Exit status: 0 good, 2 unusable arguments or files, 3 a rule broken or a message unaccounted for, 4 void, since
    the emulator itself ran late.
    """
    try:
        chosen = scenarios.load_scenario(scenario)
    except ConfigFileError as error:
        unusable(error)
    if out and os.path.exists(os.path.join(out, "run.json")):
        unusable(f"{out}: holds a run already")
    if out is None and report is not False:
        out = os.path.join("lab-runs", f"{chosen.name}-{seed}-{time.strftime('%H%M%S')}")
    result = played(chosen, seed, senders, short, out or "")
    show(result, quiet=json_file == "-")
    write_json(summarize_run(result), json_file)
    if out and report is not False:
        from cedarwick.lab.report import make

        click.echo(f"report: {make([out], out)}", err=json_file == "-")
    sys.exit(result.status)


def played(chosen: scenarios.Scenario, seed: int, senders: int, short: bool, out: str) -> Result:
    """Play a day with a progress line; status 2 where it cannot begin."""
    progress, begun = Progress(), time.monotonic()

    def say(day: Day, clients: Clients, last: int) -> None:
        history = day.history
        progress.say(
            time.monotonic() - begun,
            f"{chosen.name}: {day.now() / 1e6:5.1f} s of at most {last / 1e6:.0f}, "
            f"{len(history.handed)} handed in, {len(history.called)} calls, "
            f"{len(history.noticed)} notices" + (", all have arrived" if clients.done else ""),
        )

    stop_on_signals(lambda: os._exit(1))
    try:
        return run_day(chosen, seed, senders, short, out, progress=say)
    except (SenderNotReadyError, OSError) as error:
        unusable(error, "the day could not begin")
    finally:
        progress.end()


def show(result: Result, quiet: bool = False) -> None:
    """The day as tables on standard output, or on standard error where that is taken."""
    out = console() if not quiet else type(console())(stderr=True, highlight=False, width=118)
    figures, account = result.figures, result.verdict.account
    out.print(
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
    out.print(classes)
    out.print(
        f"service {figures.service:.3f}   answers "
        + ", ".join(f"{count} {name}" for name, count in sorted(figures.answers.items()))
        + "   calls "
        + ", ".join(f"{count} {name}" for name, count in sorted(figures.outcomes.items()))
    )
    out.print("messages taken on: " + accounted(account))
    out.print(
        f"largest sender {figures.memory_mb:.1f} MB, {figures.descriptors} descriptors, "
        f"{figures.cpu_share:.2f} of a core; the emulator was at most {figures.worst_lag_ms:.0f} ms late"
    )
    for fault in sorted(result.history.gone, key=lambda gone: gone.began):
        out.print(
            f"  {fault.began / 1e6:6.1f} to {fault.ended / 1e6:5.1f} s  {fault.kind}: "
            + ", ".join(fault.on[:6])
            + (f" and {len(fault.on) - 6} more" if len(fault.on) > 6 else "")
        )
    broken = result.verdict.broken()
    for rule in sorted(broken):
        first = next(each for each in result.verdict.findings if each.rule == rule)
        out.print(
            f"[red]rule {rule} ({RULES[rule]}) broken {broken[rule]} times[/], first: {first.text}; "
            f"messages {', '.join(first.ids[:4])}",
            soft_wrap=True,
        )
    if result.void:
        out.print(f"[yellow]void[/]: {result.void}; this day says nothing of the senders")
    elif not broken:
        out.print("[green]no rule broken, every message accounted for[/]")


def accounted(account: Account) -> str:
    return (
        f"{account.taken} = {account.delivered} delivered ({account.late} late) + {account.returned} returned + "
        f"{account.written_off} written off + {account.lost} lost; {account.doubled} doubled"
    )


@command.command()
@click.argument("names", nargs=-1)
@click.option("--seeds", default=5, show_default=True, type=click.IntRange(1, 1000), help="Seeds 1 to so many.")
@click.option("--jobs", default=2, show_default=True, type=click.IntRange(1, 16), help="Days side by side.")
@click.option("--short/--long", default=True, show_default=True)
@click.option("--out", type=click.Path(), help="Keep the runs below this folder.")
def sweep(names: Sequence[str], seeds: int, jobs: int, short: bool, out: str | None) -> None:
    """Play scenarios (all, where none is named) over several seeds; a void day is played once more."""
    days = [(name, seed) for name in names or scenarios.shipped_scenarios() for seed in range(1, seeds + 1)]
    try:
        for name in names:
            scenarios.load_scenario(name)
    except ConfigFileError as error:
        unusable(error)

    def one(day: tuple[str, int]) -> tuple[str, int, int, str, float]:
        name, seed = day
        words = [
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
        begun = time.monotonic()
        for turn in range(2):
            out_option = ["--out", os.path.join(out, f"{name}-{seed}" + ("-again" if turn else ""))] if out else []
            ended = subprocess.run(words + (["--short"] if short else []) + out_option, capture_output=True, text=True)
            if ended.returncode != 4:
                break
        return name, seed, ended.returncode, ended.stderr.strip(), time.monotonic() - begun

    worst = 0
    with ThreadPoolExecutor(jobs) as pool:
        for name, seed, status, text, took in pool.map(one, days):
            worst = max(worst, status)
            click.echo(f"{name:18} seed {seed:3}  status {status}  {took:5.1f} s")
            if status:
                click.echo("    " + text.replace("\n", "\n    "))
    sys.exit(worst)


@command.command()
@click.argument("folders", nargs=-1, required=True, type=click.Path())
@click.option("--out", type=click.Path(), help="The folder for the page and its plots; else the first run's.")
def report(folders: Sequence[str], out: str | None) -> None:
    """Make one HTML page and PNG plots of one or several runs, side by side."""
    from cedarwick.lab.report import make

    try:
        click.echo(make(list(folders), out or folders[0]))
    except (OSError, ValueError, msgspec.DecodeError) as error:
        unusable(error, "no run that can be read")


@command.command()
@click.option("--seconds", default=8.0, show_default=True, type=click.FloatRange(3, 600), help="For each program.")
@click.option("--json", "json_file", type=click.Path(), help="Write the figures here; - for standard output.")
def ceiling(seconds: float, json_file: str | None) -> None:
    """What one sender manages on one core, beside a bare loop with the same I/O, in one run."""
    from cedarwick.lab.ceiling import measure

    found = measure(seconds, lambda text: click.echo(text, err=True))
    table = Table("program", "calls/s", "of the bare loop", "core", "MB", "answers", box=None)
    for each in found:
        table.add_row(
            each.name,
            f"{each.per_second:.0f}",
            f"{each.per_second / max(1, found[0].per_second):.2f}",
            f"{each.cpu_share:.2f}",
            f"{each.memory_mb:.0f}",
            str(each.answered),
        )
    if json_file != "-":
        console().print(table)
    write_json(found, json_file)


@command.command()
@click.argument("scenario")
@click.option("--seed", type=click.IntRange(0, 1 << 40), default=1, show_default=True)
@click.option("--senders", type=click.IntRange(0, 64), default=0, help="Instead of the scenario's number.")
@click.option("--seconds", default=3600.0, show_default=True, type=click.FloatRange(1, 86400), help="Then it ends.")
def serve(scenario: str, seed: int, senders: int, seconds: float) -> None:
    """Start a scenario's partners, platform and senders, without clients and faults, until an interrupt.

    Prints the senders' addresses, one a line, for `cedarwick load`. Calls are answered, not written down.
    """
    from cedarwick.lab.serve import serve_until_stopped

    try:
        chosen = scenarios.load_scenario(scenario)
        serve_until_stopped(chosen, seed, senders or chosen.senders, seconds, click.echo)
    except ConfigFileError as error:
        unusable(error)
    except (SenderNotReadyError, OSError) as error:
        unusable(error, "could not begin")


@command.command()
@click.option("--live", default=100_000, show_default=True, type=click.IntRange(100), help="Messages stored.")
@click.option("--bytes", "size", default=1000, show_default=True, type=click.IntRange(0, 65536), help="Of a body.")
@click.option("--rounds", default=20_000, show_default=True, type=click.IntRange(10), help="Of eight messages.")
@click.option("--json", "json_file", type=click.Path(), help="Write the figures here; - for standard output.")
@click.option("--plot", "plot_file", type=click.Path(), help="Draw the figures into this PNG.")
def folder(live: int, size: int, rounds: int, json_file: str | None, plot_file: str | None) -> None:
    """What the state folder costs: longest stop, throughput, write amplification, room, start."""
    from cedarwick.lab.folder import measure, plot

    found, begun = measure(live, size, rounds)
    if plot_file:
        plot(found, plot_file)
    table = Table(
        "fill", "messages/s", "longest ms", "p99.9 ms", "amplification", "used", "on the spot", "refused", box=None
    )
    for each in found:
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
        console().print(f"start with {begun.live} live: {begun.seconds:.2f} s, {begun.memory_mb:.0f} MB")
    write_json([found, begun], json_file)
