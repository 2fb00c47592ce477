"""`make soak SEEDS="1 2 3"` or `SEEDS=1-50`: restart days of real senders, drawn lease histories and outages, by seed.

Each seed plays one day (`cedarwick/lab/restart_soak.py`) in a process of its own, `HISTORIES_PER_SEED` lease
histories (`tests/fleet/lease_soak.py`), each with and without lost folders, and `OUTAGES_PER_SEED` drawn outages with
and without a kill of the senders (`tests/decisions/recovery_soak.py`). A day on which the machine was too busy
to serve its parties says nothing of the senders: one with a finding is played again, `PLAYS` times at most, and said
so. The exit status is 0 only without a finding; the last line says seeds and findings, and each finding what repeats
it.
"""

import argparse
import subprocess
import sys
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from typing import NamedTuple

import msgspec

from cedarwick.lab.restart_soak import DayResult
from tests.decisions.recovery_soak import DrawnOutage
from tests.fleet.lease_soak import HistoryResult, play_all

AT_ONCE = 3  # days, each with two senders and the emulator; and lease processes
PLAYS = 3  # of a day that is void
DAY_LASTS_S = 120  # at most
HISTORIES_PER_SEED = 20
OUTAGES_PER_SEED = 20


class OutageResult(NamedTuple):
    """What a drawn outage came to; `finding` is empty where no rule was broken."""

    seed: int
    finding: str


class SoakResult(NamedTuple):
    """What a soak came to."""

    days: list[DayResult]
    histories: list[HistoryResult]
    outages: Sequence[OutageResult] = ()

    def findings(self) -> list[str]:
        """A line for each finding, with the command that repeats it."""
        found = [
            f"seed {day.seed}: {text}; again: make soak SEEDS={day.seed}"
            for day in self.days
            if not day.void
            for text in day.findings
        ]
        found += [
            f"history {each.seed}{' with lost folders' if each.folders_lost else ''}: {each.finding}; "
            f"again: make soak SEEDS={each.seed // HISTORIES_PER_SEED}"
            for each in self.histories
            if each.finding
        ]
        found += [
            f"outage {each.seed}: {each.finding}; again: make soak SEEDS={each.seed // OUTAGES_PER_SEED}"
            for each in self.outages
            if each.finding
        ]
        return found

    def summary(self, seeds: Sequence[int]) -> str:
        """The last line."""
        void = sum(bool(day.void) for day in self.days)
        starts = sum(day.starts for day in self.days)
        messages = sum(day.messages for day in self.days)
        return (
            f"soak: seeds {seeds[0]} to {seeds[-1]} ({len(seeds)}): {len(self.days)} days ({void} void), "
            f"{messages} messages, {starts} restarts; {len(self.histories)} lease histories; "
            f"{len(self.outages)} outages; "
            f"{len(self.findings())} findings"
        )


def parse_seeds(words: Sequence[str]) -> list[int]:
    """Seeds as numbers and ranges: `1 2 3`, `1-50`. ValueError where a word is neither."""
    return [seed for word in words for seed in _range(word)]


def _range(word: str) -> range:
    first, dash, last = word.partition("-")
    return range(int(first), int(last if dash else first) + 1)


def play_day(seed: int) -> DayResult:
    """The day of a seed in a process of its own; again where it is void and has a finding."""
    for _ in range(PLAYS):
        day = _play_day_once(seed)
        if not (day.void and day.findings):
            break
        print(f"seed {seed}: played again, since {day.void}; it had {day.findings}", flush=True)
    return day


def _play_day_once(seed: int) -> DayResult:
    command = [sys.executable, "-m", "cedarwick.lab.restart_soak", str(seed)]
    try:
        ended = subprocess.run(command, capture_output=True, text=True, timeout=DAY_LASTS_S, check=False)
    except subprocess.TimeoutExpired:
        return DayResult(seed, [f"the day did not end within {DAY_LASTS_S} s"])
    if ended.returncode:
        return DayResult(seed, [f"the day ended with status {ended.returncode}: {ended.stderr[-600:]}"])
    return msgspec.json.decode(ended.stdout.splitlines()[-1], type=DayResult)


def histories_of(seed: int) -> list[HistoryResult]:
    """The lease histories of a seed."""
    return play_all(range(seed * HISTORIES_PER_SEED, (seed + 1) * HISTORIES_PER_SEED))


def outages_of(seed: int) -> list[OutageResult]:
    """The drawn outages of a seed."""
    numbers = range(seed * OUTAGES_PER_SEED, (seed + 1) * OUTAGES_PER_SEED)
    return [OutageResult(number, DrawnOutage.from_seed(number).finding(number)) for number in numbers]


def soak(seeds: Sequence[int]) -> SoakResult:
    """Play all seeds, and print each day as it ends."""
    with ThreadPoolExecutor(AT_ONCE) as pool:
        days = list(_said(pool.map(play_day, seeds)))
    with ProcessPoolExecutor(AT_ONCE) as processes:
        histories = [each for played in processes.map(histories_of, seeds) for each in played]
        outages = [each for played in processes.map(outages_of, seeds) for each in played]
    return SoakResult(days, histories, outages)


def _said(days: Iterator[DayResult]) -> Iterator[DayResult]:
    for day in days:
        void = f", void: {day.void}" if day.void else ""
        print(f"seed {day.seed}: {len(day.findings)} findings{void}", flush=True)
        yield day


def main(words: Sequence[str]) -> int:
    """Play the seeds that the words name; the exit status: 0 without a finding, else 1."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("seeds", nargs="+", help="numbers and ranges, as 1 2 3 or 1-50")
    seeds = parse_seeds(parser.parse_args(words).seeds)
    result = soak(seeds)
    for line in result.findings():
        print(line)
    print(result.summary(seeds))
    return 1 if result.findings() else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
