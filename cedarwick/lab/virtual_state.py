"""The state that all parts of a simulated day share (seed, settings, virtual time, history), and the scenario."""

import random
from typing import Literal

from cedarwick.config.operator import Fleet
from cedarwick.lab.audit_subscribers import Watched
from cedarwick.lab.history import History
from cedarwick.lab.mixed_classes import MIXED_CLASSES
from cedarwick.lab.scenario import Limits, Load, Partner, Scenario, Service
from cedarwick.lab.units import SECOND
from cedarwick.lab.virtual import Kernel

Level = Literal["calm", "usual", "hard", "worst"]
Link = tuple[int, int]  # numbers of the calling and the answering sender

SCENARIO = Scenario(
    name="virtual",
    load=Load(rate=60),
    limits=Limits(disk_mb=16, most_open=2000),
    priority_classes=MIXED_CLASSES,
    partner=[Partner(name="hotel", destinations=3, workers=8, service=Service(mean_ms=20))],
)
RECEIVERS_PER_DESTINATION = 2
DAY_LIMIT_US = 200 * SECOND  # a day that takes longer in virtual time fails
STATE_POLL_S = 0.02  # poll interval while waiting for a state


class DayState:
    """Shared state of one simulated day.

    Every random number comes from `rng`, so the order of the draws determines the day.
    """

    def __init__(self, seed: int, fleet_config: Fleet, level: Level, scratch_dir: str) -> None:
        """`scratch_dir`: the directory that holds the senders' state folders."""
        self.seed = seed
        self.fleet_config = fleet_config
        self.level = level
        self.scratch_dir = scratch_dir
        self.fleet_size = len(fleet_config.member)
        self.rng = random.Random(
            f"virtual {seed} {self.fleet_size} {fleet_config.ack} {fleet_config.alone} {fleet_config.copies}"
        )
        self.kernel = Kernel()
        self.history = History()
        self.subscriber_records = Watched()
        self.quiescent = False  # set when load and faults have ended: no further faults, moves or drains start

    def now(self) -> int:
        """Return the virtual time in microseconds."""
        return self.kernel.now

    def sleep_until(self, at: int) -> None:
        """Suspend the running task until a virtual time; returns at once if it has passed."""
        if at > self.now():
            self.kernel.sleep((at - self.now()) / SECOND)


def default_disk_bytes() -> int:
    """Return the size limit of a sender's state folder when no fault applies."""
    return round(SCENARIO.limits.disk_mb * (1 << 20))
