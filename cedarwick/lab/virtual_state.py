"""What all parties of a drawn day share: its seed, settings, virtual time and history, and the scenario."""

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
Link = tuple[int, int]  # who asks, who answers

SCENARIO = Scenario(
    name="virtual",
    load=Load(rate=60),
    limits=Limits(disk_mb=16, most_open=2000),
    priority_classes=MIXED_CLASSES,
    partner=[Partner(name="hotel", destinations=3, workers=8, service=Service(mean_ms=20))],
)
RECEIVERS_PER_DESTINATION = 2  # of each destination
DAY_LIMIT_US = 200 * SECOND  # a day that is not over by then has failed
STATE_POLL_S = 0.02  # seconds between two looks at a state that is awaited


class DayState:
    """One drawn day as its parties see it. Every draw is made from `chance`: their order makes the day."""

    def __init__(self, seed: int, fleet_config: Fleet, level: Level, scratch_dir: str) -> None:
        """`scratch`: the directory that holds the senders' folders."""
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
        self.quiescent = False  # nothing is drawn any more: what is there stays as it is to the end

    def now(self) -> int:
        return self.kernel.now

    def sleep_until(self, at: int) -> None:
        if at > self.now():
            self.kernel.sleep((at - self.now()) / SECOND)


def default_disk_bytes() -> int:
    """Bytes of a folder."""
    return round(SCENARIO.limits.disk_mb * (1 << 20))
