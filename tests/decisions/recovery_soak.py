"""Random outages: a seed determines the settings, the senders, how the destination fails, and when senders are killed.

Each one runs as an `OutageSimulation` of `test_recovery_ramps` in virtual time, with the real delivery policy and the
stored health of receivers. `python -m tests.decisions.recovery_soak FIRST LAST` runs these seeds and prints those that
break the rule on recovering destinations.
"""

import random
import sys
from dataclasses import dataclass

from tests.decisions.test_recovery_ramps import (
    ANSWERED_AT_RECOVERY,
    FAILURE_MODES,
    SECOND,
    CustomerSettings,
    OutageSimulation,
)

MIN_SENDERS, MAX_SENDERS = 2, 120
MIN_OUTAGE, MAX_OUTAGE = 3 * SECOND, 25 * SECOND  # microseconds
KILLED_SHARE = 0.75  # of the outages: senders are killed


@dataclass(frozen=True)
class DrawnOutage:
    """The parameters of a simulated outage, drawn at random from a seed."""

    customer: CustomerSettings
    senders: int
    failure_mode: str
    outage_length: int  # microseconds
    restart_at: int | None  # microseconds from the recovery; None: no kill
    load_shifts: bool

    @staticmethod
    def from_seed(seed: int) -> "DrawnOutage":
        """Draw the outage of a seed."""
        rng = random.Random(seed)
        ramp_time_s = rng.uniform(5, 15)
        customer = CustomerSettings(
            rate=rng.uniform(3, 30),
            receivers=rng.randint(1, 4),
            warm_up_share=f"{rng.uniform(0.1, 0.5):.2f}",
            fall_multiple=rng.choice(("1.5", "2", "3")),
            fall_ms=rng.choice(("1500", "2000", "3000")),
            ramp_ms=f"{1000 * ramp_time_s:.0f}",
            weight_source=rng.choice(("nominal", "rough", "off")),
            rate_limited=rng.random() < 0.5,
        )
        outage_length = rng.randrange(MIN_OUTAGE, MAX_OUTAGE)
        killed = rng.random() < KILLED_SHARE
        restart_at = rng.randrange(-outage_length, round(ramp_time_s * SECOND))
        return DrawnOutage(
            customer,
            round(MIN_SENDERS * (MAX_SENDERS / MIN_SENDERS) ** rng.random()),
            rng.choice((*FAILURE_MODES, ANSWERED_AT_RECOVERY)),
            outage_length,
            restart_at if killed else None,
            rng.random() < 0.5,
        )

    def finding(self, seed: int) -> str:
        """Run the simulation; return how the rule was broken, an empty text if it was not."""
        simulation = OutageSimulation(
            self.customer,
            self.senders,
            self.failure_mode,
            seed,
            load_shifts=self.load_shifts,
            restart_at=self.restart_at,
            outage_length=self.outage_length,
        ).run()
        if not simulation.rule_broken:
            return ""
        return (
            f"overloaded {(simulation.overloaded_at - simulation.recovers_at) / SECOND:.2f} s after the recovery, "
            f"{simulation.informed_share:.2f} of the calls from informed senders: {self}"
        )


def main(first: int, last: int) -> int:
    """Run the seeds and return the number of findings."""
    found = 0
    for seed in range(first, last + 1):
        finding = DrawnOutage.from_seed(seed).finding(seed)
        if finding:
            found += 1
            print(f"seed {seed}: {finding}", flush=True)
    print(f"seeds {first} to {last}: {found} findings")
    return found


if __name__ == "__main__":
    sys.exit(1 if main(int(sys.argv[1]), int(sys.argv[2])) else 0)
