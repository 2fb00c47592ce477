"""What the cases with several processes share: a scenario, and the seeds that are played."""

import os
import shutil
from collections.abc import Callable
from functools import partial

from cedarwick.lab.fleet import Fleet
from cedarwick.lab.mixed_classes import MIXED_CLASSES
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
    """Those of CEDARWICK_SEEDS, separated by blanks; one where it is not set."""
    return [int(seed) for seed in os.environ.get("CEDARWICK_SEEDS", "").split()] or [1]


def is_full_length() -> bool:
    """Whether seeds were asked for: then days have their full length."""
    return bool(os.environ.get("CEDARWICK_SEEDS"))


# Danger: a grant is on the disk before it is answered; on a busy disk that takes up to a second, a cut for the
# others. Of a killed process memory keeps as much as a disk does.
MEMORY = "/dev/shm"
ROOM = 1 << 30  # bytes
WITHIN = MEMORY if os.access(MEMORY, os.W_OK) and shutil.disk_usage(MEMORY).free > ROOM else None
fleet = partial(Fleet, within=WITHIN)
MAX_RUNS = 3  # of a case whose days say nothing of the senders


def run_judged(
    made: Callable[[], Fleet], case: Callable[[Fleet], None], excused: tuple[type[Exception], ...] = (Exception,)
) -> None:
    """Play a case on a fleet. What fails while the machine was too busy to serve it is played again, and said so.

    The day tells by its own measures (`Day.void`): a sender without a processor for most of the time in which its
    answers count is the cut that it looks like, and times out as it should. `excused`: only what is one of these.
    """
    for left in reversed(range(MAX_RUNS)):
        with made() as fleet:
            try:
                fleet.begin()
                return case(fleet)
            except Exception as error:
                void = fleet.day.void()
                if not (left and void and isinstance(error, excused)):
                    for member in fleet.members:
                        print(f"seed {fleet.seed}, n{member.number}:\n{fleet.log(member.number)[-6000:]}")
                    raise
                print(f"\nseed {fleet.seed}: played again, since {void}; it failed so: {repr(error)[-600:]}")


def discard_output(_: str) -> None:
    """What a fleet does is not printed."""
