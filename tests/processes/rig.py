"""What the tests with several processes share: a scenario, the seeds, and how a case is run."""

import os
import shutil
from collections.abc import Callable
from functools import partial

from cedarwick.lab.fleet import Fleet
from cedarwick.lab.mixed_classes import MIXED_CLASSES
from cedarwick.lab.run import Result, run_day
from cedarwick.lab.scenario import Clients, Limits, Load, Partner, Scenario, Service

SCENARIO = Scenario(
    name="fleet",
    news_ms=[1, 5],
    load=Load(rate=60),
    clients=Clients(tries=2, notice_s=0.5),
    limits=Limits(disk_mb=16, most_open=2000),
    priority_classes=MIXED_CLASSES,
    partner=[Partner(name="hotel", destinations=3, workers=8, service=Service(mean_ms=20))],
)


def seeds() -> list[int]:
    """The seeds in CEDARWICK_SEEDS, separated by spaces; a single one if it is not set."""
    return [int(seed) for seed in os.environ.get("CEDARWICK_SEEDS", "").split()] or [1]


def is_full_length() -> bool:
    """Whether seeds were requested: then test days have their full length."""
    return bool(os.environ.get("CEDARWICK_SEEDS"))


# Folders are in memory if possible. A grant is written to disk before it is answered, which takes up to a second on a
# busy disk and looks like a broken link to the other members. After a process is killed, a file system in memory keeps
# as much as a disk does.
MEMORY_FOLDER = "/dev/shm"
MIN_FREE_BYTES = 1 << 30
PARENT_FOLDER = (
    MEMORY_FOLDER
    if os.access(MEMORY_FOLDER, os.W_OK) and shutil.disk_usage(MEMORY_FOLDER).free > MIN_FREE_BYTES
    else None
)
fleet = partial(Fleet, within=PARENT_FOLDER)
MAX_RUNS = 3  # of a case while the machine is too busy for a valid result


def run_judged(
    make_fleet: Callable[[], Fleet], case: Callable[[Fleet], None], excused: tuple[type[Exception], ...] = (Exception,)
) -> None:
    """Run a case on a fleet; repeat it, with a printed note, if it failed while the machine was too busy.

    The day's own measurements tell whether the machine was (`Day.void_reason`): a sender that has no processor for most
    of the time in which its answers count looks like a broken link, and times out as it should.

    Args:
        make_fleet: creates the fleet of one run.
        case: the test case.
        excused: only exceptions of these types lead to another run.
    """
    for runs_left in reversed(range(MAX_RUNS)):
        with make_fleet() as fleet:
            try:
                fleet.begin()
                return case(fleet)
            except Exception as error:
                void = fleet.day.void_reason()
                if not (runs_left and void and isinstance(error, excused)):
                    for member in fleet.members:
                        print(f"seed {fleet.seed}, n{member.number}:\n{fleet.log(member.number)[-6000:]}")
                    raise
                print(f"\nseed {fleet.seed}: played again, since {void}; the failure was: {repr(error)[-600:]}")


def play_until_valid(scenario: Scenario, seed: int) -> Result:
    """Run a scenario; a void run, such as one whose emulator ran late, is reported and repeated."""
    for _ in range(MAX_RUNS):
        result = run_day(scenario, seed)
        if not result.void:
            break
        print(f"\nseed {seed}: repeated, since the run was void: {result.void}")
    return result


def discard_output(_: str) -> None:
    """Print nothing of what a fleet does."""
