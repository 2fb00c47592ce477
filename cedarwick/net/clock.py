"""The process's clock in microseconds: wall-clock time at the start, advanced by the monotonic clock."""

import time

import gevent

PROBE_WAIT_S = 0.001  # the clock must advance by at least this much during a sleep of this length
MAX_PROBES = 100  # then the process serves anyway, even if its clock never advances


class Clock:
    """Wall-clock time in whole microseconds that never goes backwards within the process."""

    def __init__(self) -> None:
        self.base = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """The time in microseconds since the epoch."""
        return (self.base + time.monotonic_ns()) // 1000

    def wait_until_advancing(self) -> bool:
        """Wait until the clock advances as fast as the process sleeps; returns False if it does not after all probes.

        Some platforms enforce a CPU share through the clock: after a start that used more than its share, the clock is
        ahead of the clocks of other processes and stands still until they catch up. A message accepted before that
        would get its final answer too late.
        """
        for _ in range(MAX_PROBES):
            before = self.now()
            gevent.sleep(PROBE_WAIT_S)
            if self.now() - before >= PROBE_WAIT_S * 1_000_000:
                return True
        return False
