"""Restart days: real senders that are told to end, killed and started again, in series, drawn by a seed alone.

`python -m cedarwick.lab.restart_soak SEED` plays one day and prints one JSON line, a `DayResult`. `tests/soak.py` plays
many. Clients go on with their open connections after SIGTERM until the process is gone; SIGKILL follows at the earliest
moment that the pages allow (`TERM_LASTS`). Some days have a crowd of idle clients that fills the descriptors,
receivers that hang, break off or reset, and a platform whose list falls silent.
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

from cedarwick.lab.audit_cases import FOREVER, seconds
from cedarwick.lab.fleet import Fleet
from cedarwick.lab.history import History
from cedarwick.lab.mixed_classes import MIXED_CLASSES
from cedarwick.lab.partner import Effect
from cedarwick.lab.scenario import Clients, Limits, Load, Partner, Scenario, Service
from cedarwick.lab.senders import Instance, SenderNotReadyError
from cedarwick.lab.units import MS, SECOND

SENDERS = ("hall", "hall")
LOAD_S = 9.0  # seconds in which messages arrive
LAST_SERIES_S = 6.0  # the last series of signals begins by then
DOWN_S = (0.05, 0.8)  # seconds between the end of a process and the next start
CROWD = 90  # idle connections for each sender; clients hold half of the descriptors
CROWD_STAYS_S = 8.0
READY_WITHIN = 10 * SECOND
READY_SHARE = 0.9  # of the restarted processes
# From SIGTERM on: attempts begin for 2.2 s, and the process ends by 3.2 s; the rest is for a busy machine.
LAST_ATTEMPT = 3_300 * MS
# The platform's run line: SIGHUP is ignored until the sender listens.
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
    """A series of signals to one sender, and the seconds between its parts."""

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


class RestartPlan(NamedTuple):
    """What one seed draws."""

    series: tuple[PlannedSeries, ...]
    effects: tuple[PlannedEffect, ...]
    crowd: bool
    silent_list_s: tuple[float, float] | None  # the platform's list falls silent: begin, length


class DayResult(msgspec.Struct):
    """What came of one day."""

    seed: int
    findings: list[str] = []
    void: str = ""  # why the day says nothing of the senders; empty where it does
    messages: int = 0
    starts: int = 0  # of processes, after the first ones
    slow_starts: int = 0  # of these: not ready within `READY_WITHIN`, and not ended before


def draw_plan(seed: int) -> RestartPlan:
    """The plan of a seed."""
    chance = random.Random(f"restarts {seed}")
    series = []
    for sender in range(len(SENDERS)):
        at = chance.uniform(0.5, 2.0)
        while at < LAST_SERIES_S:
            name = chance.choice(list(SERIES))
            gaps = tuple(chance.uniform(0.0, 0.6) for _ in SERIES[name])
            series.append(PlannedSeries(sender, at, name, gaps, chance.uniform(*DOWN_S)))
            at += chance.uniform(3.0, 6.0)
    effects = tuple(
        PlannedEffect(destination, chance.choice(EFFECTS), chance.uniform(0.0, 5.0), chance.uniform(0.5, 4.0))
        for destination in chance.sample(range(SCENARIO.destinations()), chance.randint(0, 2))
    )
    crowd = chance.random() < 0.3
    silent = (chance.uniform(0.0, 4.0), chance.uniform(1.0, 5.0)) if chance.random() < 0.3 else None
    return RestartPlan(tuple(series), effects, crowd, silent)


class RestartDay:
    """One day under way."""

    def __init__(self, fleet: Fleet, plan: RestartPlan) -> None:
        self.fleet = fleet
        self.plan = plan
        self.failed: list[str] = []

    def play(self) -> None:
        """Play the day to the end of all that is owed."""
        self.fleet.load(LOAD_S)
        jobs = [gevent.spawn(self._series, each) for each in self._in_turn()]
        jobs += [gevent.spawn(self._effect, each) for each in self.plan.effects]
        if self.plan.silent_list_s is not None:
            jobs.append(gevent.spawn(self._silent_list, *self.plan.silent_list_s))
        if self.plan.crowd:
            jobs += [gevent.spawn(self._crowd, member) for member in self.fleet.members for _ in range(CROWD)]
        gevent.joinall(jobs)
        self.fleet.settle()

    def _in_turn(self) -> list[list[PlannedSeries]]:
        """The series of each sender; one begins once the one before is over."""
        return [[each for each in self.plan.series if each.sender == sender] for sender in range(len(SENDERS))]

    def _series(self, planned: list[PlannedSeries]) -> None:
        for each in planned:
            self._sleep_until(each.begin_s)
            member = self.fleet.members[each.sender]
            ending: list[gevent.Greenlet] = []
            for part, gap in zip(SERIES[each.name], each.gaps_s, strict=True):
                ending += self._part(member, part)
                gevent.sleep(gap)
            gevent.joinall(ending)
            gevent.sleep(each.down_s)
            self._bring_up(member)

    def _part(self, member: Instance, part: str) -> list[gevent.Greenlet]:
        """Begin one part of a series; what has to be over before the next start."""
        if part == "hup":
            member.reload()
        elif part == "second term":
            member.send_signal(signal.SIGTERM)
        elif part == "early kill":
            # The process may have ended by itself: then nothing is left to be killed.
            if member.running():
                member.kill()
        elif part == "start":
            while member.running():
                gevent.sleep(0.01)
            return [gevent.spawn(self._bring_up, member)]
        elif not member.held_down:
            return [gevent.spawn(member.take_down, part == "term")]
        return []

    def _bring_up(self, member: Instance) -> None:
        """Start the sender again, unless it runs; one that is ended again meanwhile need not get ready."""
        if not member.held_down:
            return
        try:
            member.bring_up()
        except (SenderNotReadyError, OSError) as error:
            self.failed.append(str(error))

    def _effect(self, planned: PlannedEffect) -> None:
        self._sleep_until(planned.begin_s)
        end = self.fleet.begin_effect(planned.destination, Effect(planned.kind, size=0.6))
        gevent.sleep(planned.length_s)
        end()

    def _silent_list(self, begin_s: float, length_s: float) -> None:
        self._sleep_until(begin_s)
        for agent in self.fleet.environment.agents:
            agent.hush(True)
        gevent.sleep(length_s)
        for agent in self.fleet.environment.agents:
            agent.hush(False)

    def _crowd(self, member: Instance) -> None:
        """One idle client, for as long as the sender lets it be."""
        with contextlib.suppress(OSError), gevent.socket.create_connection(member.address, 1.0) as sock:
            sock.settimeout(CROWD_STAYS_S)
            sock.recv(1)

    def _sleep_until(self, seconds: float) -> None:
        self.fleet.day.sleep_until(round(seconds * SECOND))


def calls_after_termination(history: History) -> list[str]:
    """Calls that began later than `LAST_ATTEMPT` after their sender's process was told to end."""
    found: list[str] = []
    for termed in (life for life in history.life if life.event == "termed"):
        started = [
            life.at
            for life in history.life
            if life.sender == termed.sender and life.event == "started" and life.at > termed.at
        ]
        until = min(started, default=FOREVER)
        found += [
            f"n{termed.sender}, told to end at {seconds(termed.at)}, called at {seconds(call.first)}: {call.id}"
            for call in history.called
            if call.sender == termed.sender and termed.at + LAST_ATTEMPT < call.first < until
        ]
    return found


def count_restarts(history: History, senders: int) -> tuple[int, int]:
    """How many processes were started after the first ones, and how many of these got ready too late."""
    starts = slow = 0
    for sender in range(senders):
        lives = [life for life in history.life if life.sender == sender]
        begun = [place for place, life in enumerate(lives) if life.event == "started"][1:]
        for place in begun:
            after = [life for life in lives[place + 1 :] if life.event in ("ready", "killed", "termed", "ended")]
            starts += 1
            slow += not after or (after[0].event == "ready" and after[0].at - lives[place].at > READY_WITHIN)
    return starts, slow


def play(seed: int, say: Callable[[str], None] = lambda _: None) -> DayResult:
    """Play the day of a seed and judge it."""
    plan = draw_plan(seed)
    with Fleet(SCENARIO, seed, halls=SENDERS, group="", command=COMMAND, say=say) as fleet:
        fleet.begin()
        day = RestartDay(fleet, plan)
        day.play()
        verdict = fleet.judge()
        findings = [f"{each.rule}: {each.text}: {' '.join(each.ids)}" for each in verdict.findings]
        findings += calls_after_termination(fleet.history)
        findings += [f"a start failed: {text}" for text in (*day.failed, *fleet.failed)]
        starts, slow = count_restarts(fleet.history, len(SENDERS))
        if starts - slow < READY_SHARE * starts:
            findings.append(f"{slow} of {starts} restarted processes were not ready within 10 s")
        return DayResult(seed, findings, fleet.day.void(), len(fleet.history.handed), starts, slow)


def main() -> int:
    """Play the seed of the command line."""
    print(msgspec.json.encode(play(int(sys.argv[1]))).decode(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
