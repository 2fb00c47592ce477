"""How long to wait before a call is made again."""

import random

FIRST = 50_000  # microseconds that the first wait is at most
MOST = 2_000_000  # microseconds that any wait is at most


class Backoff:
    """Waits with full jitter under a bound that doubles (Brooker, "Exponential Backoff And Jitter", 2015)."""

    def __init__(self, seed: int, first: int = FIRST, most: int = MOST) -> None:
        self.random = random.Random(seed)
        self.first = first
        self.most = most
        self.bound = first

    def next(self) -> int:
        """Microseconds to wait before the next try."""
        wait = self.random.randint(0, self.bound)
        self.bound = min(2 * self.bound, self.most)
        return wait

    def reset(self) -> None:
        """A try has got through."""
        self.bound = self.first
