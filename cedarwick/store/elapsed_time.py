"""Time that has passed between two processes on one machine, whether or not the wall clock was set meanwhile.

Within a boot of the machine it is read from a clock that nobody sets; after a reboot only the wall clock is left.
Times are microseconds.
"""

import time
from typing import NamedTuple

BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"


class Moment(NamedTuple):
    """A point in time that a later process can compare with its own."""

    boot: str  # names the boot of the machine; empty where that cannot be read
    uptime: int  # since the boot, suspended time included
    wall: int  # since the epoch


def boot_id() -> str:
    """The name of this boot of the machine; empty where it cannot be read."""
    try:
        with open(BOOT_ID_PATH, encoding="ascii") as file:
            return file.read().strip()
    except OSError:
        return ""


class MomentClock:
    """Reads the present moment."""

    def __init__(self) -> None:
        self.boot = boot_id()

    def now(self) -> Moment:
        """The present moment."""
        return Moment(self.boot, time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000, time.time_ns() // 1000)


def elapsed(since: Moment, now: Moment) -> int:
    """Microseconds from one moment to another; never negative."""
    if since.boot and since.boot == now.boot:
        return max(0, now.uptime - since.uptime)
    return max(0, now.wall - since.wall)
