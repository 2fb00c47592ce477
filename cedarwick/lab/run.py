"""Runs a day in the laboratory, from the draw of its schedule to the audit's verdict."""

import gc
import importlib.metadata
import os
import platform
import signal
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import gevent
import msgspec

from cedarwick.lab.audit import judge
from cedarwick.lab.audit_cases import Account, Finding, Verdict
from cedarwick.lab.clients import Clients, SenderPool
from cedarwick.lab.day import Day
from cedarwick.lab.environment import Environment
from cedarwick.lab.faults import FaultRunner
from cedarwick.lab.figures import Figures, compute_figures
from cedarwick.lab.history import History, write_lines
from cedarwick.lab.scenario import Scenario
from cedarwick.lab.senders import COMMAND, Instance
from cedarwick.lab.workload import Schedule, draw_schedule

POLL_INTERVAL_S = 0.1  # between two checks whether the day is over
QUIET_PERIOD_US = 1_000_000  # after the last final answer, before the day ends
REPORTED_PACKAGES = ("gevent", "httptools", "loguru", "msgspec", "numpy")


@dataclass
class Result:
    """A day that was run."""

    scenario: Scenario
    seed: int
    senders: int
    short: bool
    schedule: Schedule
    history: History
    verdict: Verdict
    figures: Figures
    void: str  # why the day proves nothing about the senders; empty where it is valid
    took: float  # seconds
    folder: str = ""
    versions: dict[str, str] = field(default_factory=dict)

    @property
    def status(self) -> int:
        """The exit status: 0 good, 3 a broken rule or a lost message, 4 void."""
        return 4 if self.void else 3 if self.verdict.findings or self.verdict.account.lost else 0


def run_day(
    scenario: Scenario,
    seed: int,
    senders: int = 0,
    short: bool = False,
    out: str = "",
    command: Sequence[str] = COMMAND,
    progress: Callable[[Day, Clients, int], None] = lambda *_: None,
) -> Result:
    """Run a day to its end. `out` is a folder for all records; empty: a temporary one, removed."""
    senders = senders or scenario.senders
    drawn = draw_schedule(scenario, seed, senders, short)
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="cedarwick-lab-") as temporary_folder:
        day = Day()
        environment = Environment(day, scenario, seed, senders)
        folder = os.path.join(out, "senders") if out else temporary_folder
        os.makedirs(folder, exist_ok=True)
        instances = [
            Instance(day, scenario, number, senders, environment.agents[number], folder, seed, command)
            for number in range(senders)
        ]
        try:
            ended = _run_to_end(day, scenario, drawn, environment, instances, progress)
        finally:
            for instance in instances:
                instance.shut_down()
            environment.close()
    for server in environment.servers:
        for outage in server.outage_records():
            day.history.add(outage)
    verdict = judge(scenario, day.history, ended)
    result = Result(
        scenario,
        seed,
        senders,
        short,
        drawn,
        day.history,
        verdict,
        compute_figures(scenario, day.history, drawn.length, verdict.account),
        day.void_reason(),
        time.monotonic() - started_at,
        out,
        versions(),
    )
    if out:
        write_run(result, out)
    return result


def _run_to_end(
    day: Day,
    scenario: Scenario,
    drawn: Schedule,
    environment: Environment,
    instances: list[Instance],
    progress: Callable[[Day, Clients, int], None],
) -> int:
    """Start all senders, run the day and end them; the time at which observation stopped."""
    gevent.joinall([gevent.spawn(instance.start) for instance in instances], raise_error=True)
    sender_pool = SenderPool(day, instances, scenario.clients.notice_s)
    clients = Clients(day, scenario, sender_pool)
    for agent in environment.agents:
        agent.on_notice = clients.handle_notice
    gc.collect()
    gc.freeze()  # Danger: a collection that scans the whole schedule pauses every party of the day
    shift = day.now()
    day.begin()
    for life in day.history.life:
        life.at -= shift
    for heard in day.history.heard:
        heard.at -= shift
    watchers = [gevent.spawn(day.watch_lag), gevent.spawn(sender_pool.watch)]
    watchers += [gevent.spawn(instance.sample) for instance in instances]
    faults = FaultRunner(day, environment, instances)
    faults.start(drawn.faults)
    gevent.spawn(clients.run, drawn.arrivals)
    latest_end = drawn.length + round(
        max(each.outer_ms + scenario.rules.end_grace_ms for each in scenario.priority_classes) * 1000
    )
    latest_end += 5_000_000  # restarts may delay final answers
    quiet_since = 0
    while day.now() < latest_end:
        gevent.sleep(POLL_INTERVAL_S)
        progress(day, clients, latest_end)
        unfinished = (
            not clients.all_started or clients.open_requests or faults.under_way or _has_open_messages(day.history)
        )
        quiet_since = 0 if unfinished else quiet_since or day.now()
        if quiet_since and day.now() - quiet_since > QUIET_PERIOD_US:
            break
    ended = day.now()
    gevent.killall(watchers)
    terminations = [gevent.spawn(instance.terminate) for instance in instances if instance.running()]
    gevent.joinall(terminations, timeout=5.0)
    clients.close()
    gc.unfreeze()
    return ended


def _has_open_messages(history: History) -> bool:
    """Whether an accepted message has no final answer yet."""
    ended = {notice.id for notice in history.noticed}
    ended.update(call.id for call in history.called if call.status == 200)
    return any(handed.answer == "ok" and handed.id not in ended for handed in history.handed)


def versions() -> dict[str, str]:
    """The software and the machine that a day's figures depend on."""
    found = {"python": platform.python_version(), "machine": platform.machine(), "cores": str(os.cpu_count())}
    for name in ("cedarwick", *REPORTED_PACKAGES):
        try:
            found[name] = importlib.metadata.version(name)
        except importlib.metadata.PackageNotFoundError:
            found[name] = "not installed"
    return found


class RunSummary(msgspec.Struct):
    """The summary of a run, `run.json` in its folder."""

    scenario: Scenario
    seed: int
    senders: int
    short: bool
    length: int
    void: str
    took: float
    versions: dict[str, str]
    account: Account
    findings: list[Finding]
    figures: Figures


def summarize_run(result: Result) -> RunSummary:
    """The summary of a run, as it is written to its folder."""
    return RunSummary(
        result.scenario,
        result.seed,
        result.senders,
        result.short,
        result.schedule.length,
        result.void,
        round(result.took, 3),
        result.versions,
        result.verdict.account,
        result.verdict.findings,
        result.figures,
    )


def write_run(result: Result, folder: str) -> None:
    """Write a run's folder: its summary, its schedule and its history."""
    os.makedirs(folder, exist_ok=True)
    with open(os.path.join(folder, "run.json"), "wb") as file:
        file.write(msgspec.json.format(msgspec.json.encode(summarize_run(result)), indent=1))
    write_lines(os.path.join(folder, "arrivals.jsonl"), result.schedule.arrivals)
    write_lines(os.path.join(folder, "troubles.jsonl"), result.schedule.faults)
    result.history.write(os.path.join(folder, "history.jsonl"))


def read_run_summary(folder: str) -> RunSummary:
    """Read the summary in a run's folder; ValueError or OSError where it cannot be read."""
    with open(os.path.join(folder, "run.json"), "rb") as file:
        return msgspec.json.decode(file.read(), type=RunSummary)


def stop_on_signals(stop: Callable[[], None]) -> None:
    """Stop the day on SIGTERM as on an interrupt, so that no sender process is left running."""
    gevent.signal_handler(signal.SIGTERM, stop)
