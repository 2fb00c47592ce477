"""The process's clock: wall time at the start, then monotonic; microseconds."""

import time

import gevent

PROBE_WAIT_S = 0.001  # seconds of a timed wait over which the clock must advance
MAX_PROBES = 100  # a clock that stands still for good must not keep the process from serving


class Clock:
    """Whole microseconds of wall time that never run backwards within the process."""

    def __init__(self) -> None:
        self.base = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """The time in microseconds since the epoch."""
        return (self.base + time.monotonic_ns()) // 1000

    def wait_until_advancing(self) -> bool:
        """Wait until the clock advances as much as a timed wait; returns whether it does.

        Where a CPU share is enforced through the clock, a start that used more than its share leaves the clock ahead
        of other processes', and it stands still until they catch up. Messages taken before that would end too late.
        """
        for _ in range(MAX_PROBES):
            before = self.now()
            gevent.sleep(PROBE_WAIT_S)
            if self.now() - before >= PROBE_WAIT_S * 1_000_000:
                return True
        return False
