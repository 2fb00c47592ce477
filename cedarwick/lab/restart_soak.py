"""Restart days: real senders get drawn series of signals and are started again.

`python -m cedarwick.lab.restart_soak SEED` plays one day and prints one JSON line, a `DayResult`. `tests/soak.py` plays
many days. The seed alone determines a day. Clients use their open connections after SIGTERM until the process has
ended; SIGKILL follows at the earliest time that the specification allows (`TERM_TIMEOUT_S`). Some days have idle
clients that use up the file descriptors, receivers that hang, break off or reset connections, answers that are written
twice, and a platform that stops serving the endpoint list.
"""

import contextlib
import random
import signal
import sys
from collections.abc import Callable
from typing import NamedTuple

import gevent
import gevent.socket
import msgspec

from cedarwick.lab.audit_cases import FOREVER, in_seconds
from cedarwick.lab.fleet import Fleet
from cedarwick.lab.history import History
from cedarwick.lab.mixed_classes import MIXED_CLASSES
from cedarwick.lab.partner import Effect
from cedarwick.lab.scenario import Clients, Limits, Load, Partner, Scenario, Service
from cedarwick.lab.senders import Instance, SenderNotReadyError
from cedarwick.lab.units import MS, SECOND

SENDERS = ("hall", "hall")
LOAD_S = 9.0  # seconds in which messages arrive
LATEST_SERIES_S = 6.0  # no series of signals begins later
DOWN_S = (0.05, 0.8)  # seconds between the end of a process and the next start
IDLE_CLIENTS = 90  # for each sender; connections of clients may use half of the descriptors
IDLE_CLIENT_TIMEOUT_S = 8.0
READY_TIMEOUT = 10 * SECOND  # microseconds
MIN_READY_SHARE = 0.9  # of the restarted processes, ready within `READY_TIMEOUT`
# After SIGTERM, attempts begin for 2.2 s, and the process ends within 3.2 s; the rest allows for a busy machine.
LATEST_ATTEMPT = 3_300 * MS
# The command line that the platform runs: SIGHUP is ignored until the sender listens.
COMMAND = ("sh", "-c", 'trap "" HUP; exec "$0" -m cedarwick', sys.executable)
SERIES: dict[str, tuple[str, ...]] = {
    "term": ("term",),
    "kill": ("kill",),
    "hup, term": ("hup", "term"),
    "hup, term, hup, term, kill": ("hup", "term", "hup", "second term", "early kill"),
    "term, second term": ("term", "second term"),
    "kill right behind a start": ("kill", "start", "kill"),
    "term right behind a start": ("term", "start", "term"),
    "hup right behind a start": ("kill", "start", "hup"),
}
LATEST_COPY_MS = 90.0  # a copy that is not later can be told from the answer to the next call
EFFECTS = ("hang", "crash", "cut", "errors", "idle-drop")

SCENARIO = Scenario(
    name="restarts",
    news_ms=[1, 50],
    load=Load(rate=60),
    clients=Clients(tries=3, notice_s=0.3),
    limits=Limits(sockets=160, disk_mb=16, most_open=600),
    priority_classes=MIXED_CLASSES,
    partner=[Partner(name="hotel", destinations=4, workers=8, service=Service(mean_ms=25))],
)


class PlannedSeries(NamedTuple):
    """A series of signals to one sender, and the seconds after each of its parts."""

    sender: int
    begin_s: float
    name: str
    gaps_s: tuple[float, ...]
    down_s: float


class PlannedEffect(NamedTuple):
    """A fault at all endpoints of a destination."""

    destination: int
    kind: str
    begin_s: float
    length_s: float


class PlannedCopies(NamedTuple):
    """A share of all answers is written a second time, all day."""

    share: float
    longest_delay_ms: float


class RestartPlan(NamedTuple):
    """The signals and faults of a day."""

    series: tuple[PlannedSeries, ...]
    effects: tuple[PlannedEffect, ...]
    idle_clients: bool
    silent_list_s: tuple[float, float] | None  # the platform stops serving the endpoint list: begin, length
    copies: PlannedCopies | None


class DayResult(msgspec.Struct):
    """The result of one day."""

    seed: int
    findings: list[str] = []
    void: str = ""  # why the day is not a valid measurement of the senders; empty if it is
    messages: int = 0
    starts: int = 0  # restarted processes
    slow_starts: int = 0  # restarted processes that were neither ready within `READY_TIMEOUT` nor ended before


def draw_plan(seed: int) -> RestartPlan:
    """Draw the plan of a seed."""
    rng = random.Random(f"restarts {seed}")
    series = []
    for sender in range(len(SENDERS)):
        at = rng.uniform(0.5, 2.0)
        while at < LATEST_SERIES_S:
            name = rng.choice(list(SERIES))
            gaps = tuple(rng.uniform(0.0, 0.6) for _ in SERIES[name])
            series.append(PlannedSeries(sender, at, name, gaps, rng.uniform(*DOWN_S)))
            at += rng.uniform(3.0, 6.0)
    effects = tuple(
        PlannedEffect(destination, rng.choice(EFFECTS), rng.uniform(0.0, 5.0), rng.uniform(0.5, 4.0))
        for destination in rng.sample(range(SCENARIO.destinations()), rng.randint(0, 2))
    )
    idle_clients = rng.random() < 0.3
    silent_list_s = (rng.uniform(0.0, 4.0), rng.uniform(1.0, 5.0)) if rng.random() < 0.3 else None
    copies = PlannedCopies(rng.uniform(0.05, 0.4), rng.uniform(0.0, LATEST_COPY_MS)) if rng.random() < 0.4 else None
    return RestartPlan(tuple(series), effects, idle_clients, silent_list_s, copies)


class RestartDay:
    """Carries out a plan on a fleet."""

    def __init__(self, fleet: Fleet, plan: RestartPlan) -> None:
        self.fleet = fleet
        self.plan = plan
        self.failed: list[str] = []

    def play(self) -> None:
        """Play the day until every message has its final answer."""
        self.fleet.load(LOAD_S)
        if self.plan.copies is not None:
            copies = Effect("second-copy", self.plan.copies.share, round(self.plan.copies.longest_delay_ms * MS))
            for destination in range(SCENARIO.destinations()):
                self.fleet.begin_effect(destination, copies)
        greenlets = [gevent.spawn(self._play_series, each) for each in self._series_by_sender()]
        greenlets += [gevent.spawn(self._play_effect, each) for each in self.plan.effects]
        if self.plan.silent_list_s is not None:
            greenlets.append(gevent.spawn(self._silence_list, *self.plan.silent_list_s))
        if self.plan.idle_clients:
            greenlets += [
                gevent.spawn(self._hold_idle_connection, member)
                for member in self.fleet.members
                for _ in range(IDLE_CLIENTS)
            ]
        gevent.joinall(greenlets)
        self.fleet.settle()

    def _series_by_sender(self) -> list[list[PlannedSeries]]:
        """Return the planned series of each sender in their order."""
        return [[each for each in self.plan.series if each.sender == sender] for sender in range(len(SENDERS))]

    def _play_series(self, planned: list[PlannedSeries]) -> None:
        """Play the series of one sender; each begins after the end of the one before."""
        for each in planned:
            self._sleep_until(each.begin_s)
            member = self.fleet.members[each.sender]
            running: list[gevent.Greenlet] = []
            for part, gap in zip(SERIES[each.name], each.gaps_s, strict=True):
                running += self._begin_part(member, part)
                gevent.sleep(gap)
            gevent.joinall(running)
            gevent.sleep(each.down_s)
            self._start_again(member)

    def _begin_part(self, member: Instance, part: str) -> list[gevent.Greenlet]:
        """Begin one part of a series; return the greenlets that must end before the sender is started again."""
        if part == "hup":
            member.reload()
        elif part == "second term":
            member.send_signal(signal.SIGTERM)
        elif part == "early kill":
            # The process may have ended already.
            if member.running():
                member.kill()
        elif part == "start":
            while member.running():
                gevent.sleep(0.01)
            return [gevent.spawn(self._start_again, member)]
        elif not member.faults_holding_down:
            return [gevent.spawn(member.take_down, part == "term")]
        return []

    def _start_again(self, member: Instance) -> None:
        """Start the sender if it is stopped; a start that another part of the series ends need not get ready."""
        if not member.faults_holding_down:
            return
        try:
            member.bring_up()
        except (SenderNotReadyError, OSError) as error:
            self.failed.append(str(error))

    def _play_effect(self, planned: PlannedEffect) -> None:
        self._sleep_until(planned.begin_s)
        end = self.fleet.begin_effect(planned.destination, Effect(planned.kind, size=0.6))
        gevent.sleep(planned.length_s)
        end()

    def _silence_list(self, begin_s: float, length_s: float) -> None:
        """Let the platform stop serving the endpoint list for some time."""
        self._sleep_until(begin_s)
        for agent in self.fleet.environment.agents:
            agent.set_silent(True)
        gevent.sleep(length_s)
        for agent in self.fleet.environment.agents:
            agent.set_silent(False)

    def _hold_idle_connection(self, member: Instance) -> None:
        """Keep one idle connection open until the sender closes it or `IDLE_CLIENT_TIMEOUT_S` has passed."""
        with contextlib.suppress(OSError), gevent.socket.create_connection(member.address, 1.0) as sock:
            sock.settimeout(IDLE_CLIENT_TIMEOUT_S)
            sock.recv(1)

    def _sleep_until(self, seconds: float) -> None:
        self.fleet.day.sleep_until(round(seconds * SECOND))


def calls_after_termination(history: History) -> list[str]:
    """Return the calls that began more than `LATEST_ATTEMPT` after their sender's process got SIGTERM."""
    findings: list[str] = []
    for terminated in (life for life in history.life if life.event == "termed"):
        started = [
            life.at
            for life in history.life
            if life.sender == terminated.sender and life.event == "started" and life.at > terminated.at
        ]
        until = min(started, default=FOREVER)
        findings += [
            f"n{terminated.sender}, got SIGTERM at {in_seconds(terminated.at)}, "
            f"called at {in_seconds(call.first)}: {call.id}"
            for call in history.called
            if call.sender == terminated.sender and terminated.at + LATEST_ATTEMPT < call.first < until
        ]
    return findings


def count_restarts(history: History, senders: int) -> tuple[int, int]:
    """Count the restarted processes, and those of them that were ready too late or never."""
    starts = slow = 0
    for sender in range(senders):
        lives = [life for life in history.life if life.sender == sender]
        start_indexes = [index for index, life in enumerate(lives) if life.event == "started"][1:]
        for index in start_indexes:
            next_events = [life for life in lives[index + 1 :] if life.event in ("ready", "killed", "termed", "ended")]
            starts += 1
            slow += not next_events or (
                next_events[0].event == "ready" and next_events[0].at - lives[index].at > READY_TIMEOUT
            )
    return starts, slow


def play(seed: int, report_progress: Callable[[str], None] = lambda _: None) -> DayResult:
    """Play the day of a seed and check its history against the rules."""
    plan = draw_plan(seed)
    with Fleet(SCENARIO, seed, halls=SENDERS, group="", command=COMMAND, print_line=report_progress) as fleet:
        fleet.begin()
        day = RestartDay(fleet, plan)
        day.play()
        verdict = fleet.judge()
        findings = [f"{each.rule}: {each.text}: {' '.join(each.ids)}" for each in verdict.findings]
        findings += calls_after_termination(fleet.history)
        findings += [f"a start failed: {text}" for text in (*day.failed, *fleet.errors)]
        starts, slow = count_restarts(fleet.history, len(SENDERS))
        if starts - slow < MIN_READY_SHARE * starts:
            findings.append(f"{slow} of {starts} restarted processes were not ready within 10 s")
        return DayResult(seed, findings, fleet.day.void_reason(), len(fleet.history.handed), starts, slow)


def main() -> int:
    """Play the day of the seed on the command line and print its result."""
    print(msgspec.json.encode(play(int(sys.argv[1]))).decode(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
