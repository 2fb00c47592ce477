"""A destination that fails and comes back cold is not overloaded by senders that have seen its outage.

Incident: senders that were killed and started again in the middle of an outage overloaded the destination as it came
back; it went down again under their calls. `docs/incidents/2026-12-03-outage-forgotten-by-a-restart.md` has the
timeline. Seen here, on seed 1: with seven in ten of 24 senders killed half a second after the return 21 calls within
2 s at 1.6 s, all of senders that had seen the outage; without the kill none of this.

Cause: ejections, ramps and cut rates were in the memory of the process alone. A process that was started again took the
destination for one that had never failed, and sent at full rate what it held and what came. Proof: the same day without
the kill has no finding, nor has it with the kill since a start reads what the process before knew (`health.jsonl`).
"""

import unittest

from cedarwick.lab.run import Result, run_day
from cedarwick.lab.scenario import Scenario
from tests.processes.recovery_days import killed, recovery_day
from tests.processes.rig import MAX_RUNS, seeds


def played(scenario: Scenario, seed: int) -> Result:
    """A day that says something of the senders: one whose emulator ran late is played again, and said so."""
    for _ in range(MAX_RUNS):
        result = run_day(scenario, seed)
        if not result.void:
            break
        print(f"\nseed {seed}: played again, since {result.void}")
    return result


class RecoveryTest(unittest.TestCase):
    def keeps_the_rules(self, scenario: Scenario) -> None:
        for seed in seeds():
            result = played(scenario, seed)
            self.assertEqual(result.void, "")
            self.assertEqual("\n".join(each.text for each in result.verdict.findings), "", f"seed {seed}")
            self.assertEqual(result.verdict.account.lost, 0)

    def test_without_a_restart(self) -> None:
        self.keeps_the_rules(recovery_day("crash"))

    def test_senders_killed_in_the_ramp_after_refused_connections(self) -> None:
        self.keeps_the_rules(recovery_day("crash", killed(0.5)))

    def test_senders_killed_in_the_ramp_after_refused_calls(self) -> None:
        self.keeps_the_rules(recovery_day("shut", killed(0.5)))

    def test_senders_killed_while_their_calls_hang(self) -> None:
        self.keeps_the_rules(recovery_day("hang", killed(-2.5)))

    def test_calls_that_hang_and_are_all_answered_at_the_return(self) -> None:
        """Seen beside the incident, without any restart: 15 calls within 50 ms of the return of each endpoint. Their
        senders had seen calls time out there, which had ejected nobody: the calls were sent within 5 s of a completion,
        or the silence was shorter than `rules.fall-ms`. The first answer then freed all that they held. Proof: the log
        of each change of health, and the same day since a completion after a failure begins a ramp.
        """
        self.keeps_the_rules(recovery_day("hang"))


if __name__ == "__main__":
    unittest.main()
