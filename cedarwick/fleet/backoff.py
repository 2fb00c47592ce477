"""How long to wait before a failed call is made again, in microseconds."""

import random

FIRST = 50_000  # microseconds that the first wait is at most
MOST = 2_000_000  # microseconds that any wait is at most


class Backoff:
    """Waits with full jitter under a bound that doubles (Brooker, "Exponential Backoff And Jitter", 2015)."""

    def __init__(self, seed: int, first: int = FIRST, most: int = MOST) -> None:
        """`first`, `most`: the bounds of the first and of any wait, in microseconds."""
        self.random = random.Random(seed)
        self.first = first
        self.most = most
        self.bound = first

    def next(self) -> int:
        """Microseconds to wait before the next call; doubles the bound."""
        wait = self.random.randint(0, self.bound)
        self.bound = min(2 * self.bound, self.most)
        return wait

    def reset(self) -> None:
        """Start from the first bound again, after a call that succeeded."""
        self.bound = self.first
