"""The time elapsed between two processes on one machine, independent of changes to the wall clock.

Within one boot of the machine it is taken from the boot-time clock, which cannot be set; after a reboot only the wall
clock can be compared. Times are microseconds.
"""

import time
from typing import NamedTuple

BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"


class Moment(NamedTuple):
    """A point in time that a later process can compare with its own clock."""

    boot: str  # id of the machine's boot; empty if it cannot be read
    uptime: int  # since the boot, including suspended time
    wall: int  # since the epoch


def boot_id() -> str:
    """Return the id of this boot of the machine; empty if it cannot be read."""
    try:
        with open(BOOT_ID_PATH, encoding="ascii") as file:
            return file.read().strip()
    except OSError:
        return ""


class MomentClock:
    """Reads the current moment from the system's clocks."""

    def __init__(self) -> None:
        self.boot = boot_id()

    def now(self) -> Moment:
        """Return the current moment."""
        return Moment(self.boot, time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000, time.time_ns() // 1000)


def elapsed(since: Moment, now: Moment) -> int:
    """Return the microseconds from one moment to another; never negative."""
    if since.boot and since.boot == now.boot:
        return max(0, now.uptime - since.uptime)
    return max(0, now.wall - since.wall)
