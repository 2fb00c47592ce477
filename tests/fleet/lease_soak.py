"""The lease rules under drawn histories, each from a seed alone: `make soak` and `test_lease_soak.py` play them.

A history is 5 to 40 steps: six in ten let the time go on, the others stop, crash or restart a member, and where folders
may be lost one member loses its folder. Then all faults end, and somebody must hold the partition soon.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

from tests.fleet.lease_histories import MEMBERS, Histories

STEPS = (5, 40)  # of a history: the fewest and the most
LONGEST_STEP = 30  # of the 100 ms in which every member has its turn
TIME_SHARE = 0.6  # of the steps only let the time go on
FAULTS = ("crash", "stop")
LOSING_FAULTS = ("crash", "stop", "crash", "stop", "forget")  # four in five leave the folder


class Played(NamedTuple):
    """How one history went."""

    seed: int
    folders_lost: bool
    finding: str  # empty: none
    recovery_us: int  # from the end of all faults until somebody held the partition; -1: nobody could, or a finding


def play(seed: int, folders_lost: bool) -> Played:
    """One drawn history; the seed alone decides all of it."""
    chance = random.Random(f"history {seed}")
    history = Histories()
    history.begin(seed=seed)
    try:
        for _ in range(chance.randint(*STEPS)):
            if chance.random() < TIME_SHARE:
                history.goes_on(steps=chance.randint(1, LONGEST_STEP))
            else:
                name, how = chance.choice(MEMBERS), chance.choice(LOSING_FAULTS if folders_lost else FAULTS)
                history.fails(name=name, how=how)
        ended_at = history.now
        history.teardown()
    except AssertionError as error:
        return Played(seed, folders_lost, str(error), -1)
    return Played(seed, folders_lost, "", history.recovered_at - ended_at if history.recovered_at else -1)


def play_all(seeds: Iterable[int]) -> list[Played]:
    """Each seed with and without lost folders."""
    return [play(seed, folders_lost) for seed in seeds for folders_lost in (False, True)]
