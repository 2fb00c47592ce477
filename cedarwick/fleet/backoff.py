"""The wait before a failed call is repeated, in microseconds."""

import random

FIRST_BOUND_US = 50_000  # upper bound of the first wait
MAX_BOUND_US = 2_000_000  # upper bound of any wait


class Backoff:
    """Waits with full jitter under a bound that doubles (Brooker, "Exponential Backoff And Jitter", 2015)."""

    def __init__(self, seed: int, first_bound_us: int = FIRST_BOUND_US, max_bound_us: int = MAX_BOUND_US) -> None:
        self.random = random.Random(seed)
        self.first_bound_us = first_bound_us
        self.max_bound_us = max_bound_us
        self.bound_us = first_bound_us

    def next_wait(self) -> int:
        """Return the wait before the next call, in microseconds, and double the bound."""
        wait = self.random.randint(0, self.bound_us)
        self.bound_us = min(2 * self.bound_us, self.max_bound_us)
        return wait

    def reset(self) -> None:
        """Start from the first bound again, after a successful call."""
        self.bound_us = self.first_bound_us
