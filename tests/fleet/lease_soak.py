"""The lease rules under random histories, each determined by its seed; `make soak` and `test_lease_soak.py` play them.

A history has 5 to 40 steps: six in ten only let time pass, the others stop, crash or restart a member. Where folders
may be lost, one member loses its folder. Then all faults end, and some member must hold the partition soon.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

from tests.fleet.lease_histories import MEMBERS, Histories

STEPS = (5, 40)  # the minimum and the maximum in a history
LONGEST_STEP = 30  # in units of 100 ms, in each of which every member runs once
TIME_SHARE = 0.6  # the share of the steps that only let time pass
FAULTS = ("crash", "stop")
FAULTS_WITH_LOST_FOLDERS = ("crash", "stop", "crash", "stop", "forget")  # one in five loses the folder


class HistoryResult(NamedTuple):
    """The result of one history."""

    seed: int
    folders_lost: bool
    finding: str  # empty: none
    recovery_us: int  # from the end of all faults until the partition was held; -1: no member could, or a finding


def play(seed: int, folders_lost: bool) -> HistoryResult:
    """Play one random history; the seed alone determines it."""
    rng = random.Random(f"history {seed}")
    history = Histories()
    history.begin(seed=seed)
    try:
        for _ in range(rng.randint(*STEPS)):
            if rng.random() < TIME_SHARE:
                history.pass_time(steps=rng.randint(1, LONGEST_STEP))
            else:
                name, kind = rng.choice(MEMBERS), rng.choice(FAULTS_WITH_LOST_FOLDERS if folders_lost else FAULTS)
                history.fault(name=name, kind=kind)
        ended_at = history.now
        history.teardown()
    except AssertionError as error:
        return HistoryResult(seed, folders_lost, str(error), -1)
    return HistoryResult(seed, folders_lost, "", history.recovered_at - ended_at if history.recovered_at else -1)


def play_all(seeds: Iterable[int]) -> list[HistoryResult]:
    """Play each seed with and without lost folders."""
    return [play(seed, folders_lost) for seed in seeds for folders_lost in (False, True)]
