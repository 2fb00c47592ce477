"""How long to wait before a failed call is made again, in microseconds."""

import random

FIRST_BOUND_US = 50_000  # microseconds that the first wait is at most
MAX_BOUND_US = 2_000_000  # microseconds that any wait is at most


class Backoff:
    """Waits with full jitter under a bound that doubles (Brooker, "Exponential Backoff And Jitter", 2015)."""

    def __init__(self, seed: int, first_bound_us: int = FIRST_BOUND_US, max_bound_us: int = MAX_BOUND_US) -> None:
        """`first`, `most`: the bounds of the first and of any wait, in microseconds."""
        self.random = random.Random(seed)
        self.first_bound_us = first_bound_us
        self.max_bound_us = max_bound_us
        self.bound_us = first_bound_us

    def next_wait(self) -> int:
        """Microseconds to wait before the next call; doubles the bound."""
        wait = self.random.randint(0, self.bound_us)
        self.bound_us = min(2 * self.bound_us, self.max_bound_us)
        return wait

    def reset(self) -> None:
        """Start from the first bound again, after a call that succeeded."""
        self.bound_us = self.first_bound_us
