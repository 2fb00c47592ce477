"""The process's clock: wall time at the start, then only forwards."""

import time

import gevent

STEP = 0.001  # seconds of a wait that shows whether the clock moves on while the process waits
MOST_STEPS = 100  # a clock that stands still for good must not keep the process from serving


class Clock:
    """Whole microseconds of wall time that never run backwards within the process."""

    def __init__(self) -> None:
        self.base = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return (self.base + time.monotonic_ns()) // 1000

    def in_step(self) -> bool:
        """Wait until the clock has moved on by a timed wait; whether it has.

        Danger: where a share of a core is counted by the clock, a start that took more than its share leaves the
        clock ahead of everybody else's; it stands until they are level. What is taken meanwhile ends too late.
        """
        for _ in range(MOST_STEPS):
            before = self.now()
            gevent.sleep(STEP)
            if self.now() - before >= STEP * 1_000_000:
                return True
        return False
