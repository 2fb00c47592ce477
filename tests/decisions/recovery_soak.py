"""Drawn outages: a seed draws a customer's settings, the senders, how a destination fails, and when they are killed.

Each play is a `Day` of `test_recovery_ramps` in virtual time: the real decisions, and the stored health of receivers.
`python -m tests.decisions.recovery_soak FIRST LAST` plays these seeds and prints each that breaks the rule.
"""

import random
import sys
from dataclasses import dataclass

from tests.decisions.test_recovery_ramps import ANSWERED_AT_RETURN, KINDS, SECOND, Day, Site

FEWEST, MOST = 2, 120  # senders
SHORTEST, LONGEST = 3 * SECOND, 25 * SECOND  # outages
KILLED_SHARE = 0.75  # of the plays


@dataclass(frozen=True)
class Play:
    """What a seed draws."""

    site: Site
    senders: int
    kind: str
    fails: int  # microseconds
    restart_at: int | None  # microseconds from the return
    shift: bool

    @staticmethod
    def drawn(seed: int) -> "Play":
        """The play of a seed."""
        chance = random.Random(seed)
        ramp_s = chance.uniform(5, 15)
        site = Site(
            rate=chance.uniform(3, 30),
            receivers=chance.randint(1, 4),
            cold=f"{chance.uniform(0.1, 0.5):.2f}",
            multiple=chance.choice(("1.5", "2", "3")),
            fall_ms=chance.choice(("1500", "2000", "3000")),
            ramp_ms=f"{1000 * ramp_s:.0f}",
            weights=chance.choice(("nominal", "rough", "off")),
            limited=chance.random() < 0.5,
        )
        fails = chance.randrange(SHORTEST, LONGEST)
        killed = chance.random() < KILLED_SHARE
        restart_at = chance.randrange(-fails, round(ramp_s * SECOND))
        return Play(
            site,
            round(FEWEST * (MOST / FEWEST) ** chance.random()),
            chance.choice((*KINDS, ANSWERED_AT_RETURN)),
            fails,
            restart_at if killed else None,
            chance.random() < 0.5,
        )

    def finding(self, seed: int) -> str:
        """How the rule was broken; empty where it was not."""
        day = Day(
            self.site, self.senders, self.kind, seed, shift=self.shift, restart_at=self.restart_at, fails=self.fails
        ).play()
        if not day.broken:
            return ""
        return f"fell {(day.fell_at - day.back) / SECOND:.2f} s after the return, {day.fell_knowing:.2f} knew: {self}"


def main(first: int, last: int) -> int:
    """Play seeds; the number of findings."""
    found = 0
    for seed in range(first, last + 1):
        finding = Play.drawn(seed).finding(seed)
        if finding:
            found += 1
            print(f"seed {seed}: {finding}", flush=True)
    print(f"seeds {first} to {last}: {found} findings")
    return found


if __name__ == "__main__":
    sys.exit(1 if main(int(sys.argv[1]), int(sys.argv[2])) else 0)
