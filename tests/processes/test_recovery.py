"""Senders that know of an outage do not overload a destination that comes back with little of its capacity.

Guards against an incident (`docs/incidents/2026-12-03-outage-forgotten-by-a-restart.md`): senders that were killed and
restarted during an outage overloaded the destination as it came back, and it failed again under their calls. Ejections,
ramps and cut rates were in the memory of the process only. A restarted process treated the destination as one that had
never failed, and sent both its pending and its new messages at the full rate.

On seed 1, with seven in ten of 24 senders killed half a second after the return, 21 calls came within 2 s at 1.6 s, all
of senders that had seen the outage. Without the kill there is no finding, and there is none with the kill either since
a starting process reads the health state that the previous one saved (`health.jsonl`).
"""

import unittest

from cedarwick.lab.scenario import Scenario
from tests.processes.recovery_days import kill_after_return, outage_day
from tests.processes.rig import play_until_valid, seeds


class RecoveryTest(unittest.TestCase):
    def assert_no_findings(self, scenario: Scenario) -> None:
        for seed in seeds():
            result = play_until_valid(scenario, seed)
            self.assertEqual(result.void, "")
            self.assertEqual("\n".join(finding.text for finding in result.verdict.findings), "", f"seed {seed}")
            self.assertEqual(result.verdict.account.lost, 0)

    def test_an_outage_without_a_restart(self) -> None:
        self.assert_no_findings(outage_day("crash"))

    def test_senders_killed_in_the_ramp_after_refused_connections(self) -> None:
        self.assert_no_findings(outage_day("crash", kill_after_return(0.5)))

    def test_senders_killed_in_the_ramp_after_refused_calls(self) -> None:
        self.assert_no_findings(outage_day("shut", kill_after_return(0.5)))

    def test_senders_killed_while_their_calls_hang(self) -> None:
        self.assert_no_findings(outage_day("hang", kill_after_return(-2.5)))

    def test_hanging_calls_that_are_all_answered_at_the_return(self) -> None:
        """Calls that hang during the outage do not end in a burst at the return, without any restart.

        Seen in the analysis of the incident: 15 calls within 50 ms of the return of each endpoint. Their senders had
        seen calls time out there, but that had ejected no receiver: the calls were sent within 5 s of a completion, or
        the silence was shorter than `rules.fall-ms`. The first answer then released all messages that they held. The
        log of health changes showed this; it no longer happens since a completion after a failure begins a ramp.
        """
        self.assert_no_findings(outage_day("hang"))


if __name__ == "__main__":
    unittest.main()
