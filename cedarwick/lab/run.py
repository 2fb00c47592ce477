"""One day in the laboratory, from the drawing of its schedule to the audit's verdict."""

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
from cedarwick.lab.faults import Faults
from cedarwick.lab.figures import Figures, compute_figures
from cedarwick.lab.history import History, write_lines
from cedarwick.lab.scenario import Scenario
from cedarwick.lab.senders import COMMAND, Instance
from cedarwick.lab.workload import Schedule, schedule

LOOK = 0.1  # seconds between two looks at how the day stands
WATCH_ON = 1_000_000  # microseconds that are watched after the last end
NAMES = ("gevent", "httptools", "loguru", "msgspec", "numpy")


@dataclass
class Result:
    """A day that has been played."""

    scenario: Scenario
    seed: int
    senders: int
    short: bool
    schedule: Schedule
    history: History
    verdict: Verdict
    figures: Figures
    void: str  # why it says nothing of the senders; empty where it does
    took: float
    folder: str = ""
    versions: dict[str, str] = field(default_factory=dict)

    @property
    def status(self) -> int:
        """The exit status: 0 good, 3 a rule broken or a message unaccounted for, 4 void."""
        return 4 if self.void else 3 if self.verdict.findings or self.verdict.account.lost else 0


def play(
    scenario: Scenario,
    seed: int,
    senders: int = 0,
    short: bool = False,
    out: str = "",
    command: Sequence[str] = COMMAND,
    progress: Callable[[Day, Clients, int], None] = lambda *_: None,
) -> Result:
    """Play a day to its end. `out` is a folder for all that was seen; a temporary one, removed, where it is empty."""
    senders = senders or scenario.senders
    drawn = schedule(scenario, seed, senders, short)
    begun = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="cedarwick-lab-") as scratch:
        day = Day()
        environment = Environment(day, scenario, seed, senders)
        folder = os.path.join(out, "senders") if out else scratch
        os.makedirs(folder, exist_ok=True)
        instances = [
            Instance(day, scenario, number, senders, environment.agents[number], folder, seed, command)
            for number in range(senders)
        ]
        try:
            ended = _through(day, scenario, drawn, environment, instances, progress)
        finally:
            for instance in instances:
                instance.shut_down()
            environment.close()
    for server in environment.servers:
        for away in server.aways():
            day.history.add(away)
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
        time.monotonic() - begun,
        out,
        versions(),
    )
    if out:
        write(result, out)
    return result


def _through(
    day: Day,
    scenario: Scenario,
    drawn: Schedule,
    environment: Environment,
    instances: list[Instance],
    progress: Callable[[Day, Clients, int], None],
) -> int:
    """Start all senders, let the day run, end them; when the watching stopped."""
    gevent.joinall([gevent.spawn(instance.start) for instance in instances], raise_error=True)
    sender_pool = SenderPool(day, instances, scenario.clients.notice_s)
    clients = Clients(day, scenario, sender_pool)
    for agent in environment.agents:
        agent.on_notice = clients.handle_notice
    gc.collect()
    gc.freeze()  # Danger: a collection over all that is drawn stops every party for a moment
    shift = day.now()
    day.begin()
    for life in day.history.life:
        life.at -= shift
    for heard in day.history.heard:
        heard.at -= shift
    watches = [gevent.spawn(day.watch_lag), gevent.spawn(sender_pool.watch)]
    watches += [gevent.spawn(instance.sample) for instance in instances]
    faults = Faults(day, environment, instances)
    faults.start(drawn.faults)
    gevent.spawn(clients.run, drawn.arrivals)
    last = drawn.length + round(
        max(each.outer_ms + scenario.rules.end_grace_ms for each in scenario.priority_classes) * 1000
    )
    last += 5_000_000  # restarts may put ends off
    quiet_since = 0
    while day.now() < last:
        gevent.sleep(LOOK)
        progress(day, clients, last)
        owed = not clients.all_started or clients.open_requests or faults.under_way or _open(day.history)
        quiet_since = 0 if owed else quiet_since or day.now()
        if quiet_since and day.now() - quiet_since > WATCH_ON:
            break
    ended = day.now()
    gevent.killall(watches)
    jobs = [gevent.spawn(instance.terminate) for instance in instances if instance.running()]
    gevent.joinall(jobs, timeout=5.0)
    clients.close()
    gc.unfreeze()
    return ended


def _open(history: History) -> bool:
    """Whether anything that was taken on has no end yet."""
    ended = {notice.id for notice in history.noticed}
    ended.update(call.id for call in history.called if call.status == 200)
    return any(handed.answer == "ok" and handed.id not in ended for handed in history.handed)


def versions() -> dict[str, str]:
    """What the figures of a day depend on."""
    found = {"python": platform.python_version(), "machine": platform.machine(), "cores": str(os.cpu_count())}
    for name in ("cedarwick", *NAMES):
        try:
            found[name] = importlib.metadata.version(name)
        except importlib.metadata.PackageNotFoundError:
            found[name] = "not installed"
    return found


class Run(msgspec.Struct):
    """The head of a run's folder."""

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


def head_of(result: Result) -> Run:
    return Run(
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


def write(result: Result, folder: str) -> None:
    """The run's folder: its head, the drawn schedule, and all that was seen."""
    os.makedirs(folder, exist_ok=True)
    with open(os.path.join(folder, "run.json"), "wb") as file:
        file.write(msgspec.json.format(msgspec.json.encode(head_of(result)), indent=1))
    write_lines(os.path.join(folder, "arrivals.jsonl"), result.schedule.arrivals)
    write_lines(os.path.join(folder, "troubles.jsonl"), result.schedule.faults)
    result.history.write(os.path.join(folder, "history.jsonl"))


def read_head(folder: str) -> Run:
    """The head of a run that was written before; ValueError or OSError where it cannot be read."""
    with open(os.path.join(folder, "run.json"), "rb") as file:
        return msgspec.json.decode(file.read(), type=Run)


def stop_on_signals(end: Callable[[], None]) -> None:
    """SIGTERM ends a day as an interrupt does, so that no sender is left behind."""
    gevent.signal_handler(signal.SIGTERM, end)
