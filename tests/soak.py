"""`make soak SEEDS="1 2 3"` or `SEEDS=1-50`: restart days of real senders, drawn lease histories and outages, by seed.

Each seed plays one day (`cedarwick/lab/restart_soak.py`) in a separate process, `HISTORIES_PER_SEED` lease histories
(`tests/fleet/lease_soak.py`), each with and without lost folders, and `OUTAGES_PER_SEED` drawn outages with and without
a kill of the senders (`tests/decisions/recovery_soak.py`). A day on which the machine was too busy to run all processes
in time is void: a void day with a finding is repeated, with a printed line, and played `MAX_PLAYS` times at most. The
exit status is 0 only without findings. Each finding is printed with the command that reproduces it, and the last line
has the seeds and the number of findings.
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

MAX_PARALLEL = 3  # days, each with two senders and the emulator; also processes for histories and outages
MAX_PLAYS = 3  # of a day that is void and has findings
DAY_TIMEOUT_S = 120
HISTORIES_PER_SEED = 20
OUTAGES_PER_SEED = 20


class OutageResult(NamedTuple):
    """The result of a drawn outage; `finding` is empty if no rule was broken."""

    seed: int
    finding: str


class SoakResult(NamedTuple):
    """The results of a soak."""

    days: list[DayResult]
    histories: list[HistoryResult]
    outages: Sequence[OutageResult] = ()

    def findings(self) -> list[str]:
        """Return a line for each finding, with the command that reproduces it."""
        lines = [
            f"seed {day.seed}: {text}; again: make soak SEEDS={day.seed}"
            for day in self.days
            if not day.void
            for text in day.findings
        ]
        lines += [
            f"history {each.seed}{' with lost folders' if each.folders_lost else ''}: {each.finding}; "
            f"again: make soak SEEDS={each.seed // HISTORIES_PER_SEED}"
            for each in self.histories
            if each.finding
        ]
        lines += [
            f"outage {each.seed}: {each.finding}; again: make soak SEEDS={each.seed // OUTAGES_PER_SEED}"
            for each in self.outages
            if each.finding
        ]
        return lines

    def summary(self, seeds: Sequence[int]) -> str:
        """Return the last line of the output."""
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
    """Parse numbers and ranges, such as `1 2 3` or `1-50`. Raises ValueError for other words."""
    return [seed for word in words for seed in _range(word)]


def _range(word: str) -> range:
    first, dash, last = word.partition("-")
    return range(int(first), int(last if dash else first) + 1)


def play_day(seed: int) -> DayResult:
    """Play the day of a seed in a separate process, and repeat it while it is void and has findings."""
    for _ in range(MAX_PLAYS):
        day = _play_day_once(seed)
        if not (day.void and day.findings):
            break
        print(f"seed {seed}: repeated because the day was void ({day.void}); its findings: {day.findings}", flush=True)
    return day


def _play_day_once(seed: int) -> DayResult:
    command = [sys.executable, "-m", "cedarwick.lab.restart_soak", str(seed)]
    try:
        process = subprocess.run(command, capture_output=True, text=True, timeout=DAY_TIMEOUT_S, check=False)
    except subprocess.TimeoutExpired:
        return DayResult(seed, [f"the day did not end within {DAY_TIMEOUT_S} s"])
    if process.returncode:
        return DayResult(seed, [f"the day ended with status {process.returncode}: {process.stderr[-600:]}"])
    return msgspec.json.decode(process.stdout.splitlines()[-1], type=DayResult)


def play_histories(seed: int) -> list[HistoryResult]:
    """Play the lease histories of a seed."""
    return play_all(range(seed * HISTORIES_PER_SEED, (seed + 1) * HISTORIES_PER_SEED))


def play_outages(seed: int) -> list[OutageResult]:
    """Play the drawn outages of a seed."""
    numbers = range(seed * OUTAGES_PER_SEED, (seed + 1) * OUTAGES_PER_SEED)
    return [OutageResult(number, DrawnOutage.from_seed(number).finding(number)) for number in numbers]


def soak(seeds: Sequence[int]) -> SoakResult:
    """Play all seeds, and print the result of each day in the order of the seeds."""
    with ThreadPoolExecutor(MAX_PARALLEL) as pool:
        days = list(_print_results(pool.map(play_day, seeds)))
    with ProcessPoolExecutor(MAX_PARALLEL) as processes:
        histories = [each for played in processes.map(play_histories, seeds) for each in played]
        outages = [each for played in processes.map(play_outages, seeds) for each in played]
    return SoakResult(days, histories, outages)


def _print_results(days: Iterator[DayResult]) -> Iterator[DayResult]:
    """Print the result of each day and yield it."""
    for day in days:
        void = f", void: {day.void}" if day.void else ""
        print(f"seed {day.seed}: {len(day.findings)} findings{void}", flush=True)
        yield day


def main(arguments: Sequence[str]) -> int:
    """Play the seeds on the command line; return the exit status, 0 without findings and 1 with some."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("seeds", nargs="+", help="numbers and ranges, such as 1 2 3 or 1-50")
    seeds = parse_seeds(parser.parse_args(arguments).seeds)
    result = soak(seeds)
    for line in result.findings():
        print(line)
    print(result.summary(seeds))
    return 1 if result.findings() else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
