"""A second copy of an answer is not taken for the answer to the next call on its connection.

Guards against an incident (`docs/incidents/2026-12-04-answers-taken-for-other-calls.md`): a device on the way wrote
answers twice. The copy arrived while the connection carried the next call, and ended that call. From then on each call
on the connection got the answer of the one before it: messages that had been refused counted as delivered, and calls
that were still running counted as refused and were repeated.
"""

import unittest

import msgspec

from cedarwick.lab.mixed_classes import AT_MOST_ONCE, IDEMPOTENT, REISSUABLE
from cedarwick.lab.scenario import Clients, InjectedFault, Limit, Limits, Load, Partner, Scenario, Service
from tests.processes.rig import play_until_valid, seeds

DAY_S = 10.0


def second_copy_day(longest_delay_ms: float, share: float) -> Scenario:
    """A scenario in which a `share` of all answers is written again, up to `longest_delay_ms` later.

    The senders have few call slots for their traffic, so a connection carries the next call right after an answer.
    """
    return Scenario(
        name="second-copies",
        news_ms=[1, 5],
        length_s=DAY_S,
        short_s=DAY_S,
        senders=3,
        load=Load(rate=90, skew=0.3),
        clients=Clients(notice_s=0.5),
        limits=Limits(slots=8, most_open=200),
        priority_classes=[
            msgspec.structs.replace(REISSUABLE, share=2),
            msgspec.structs.replace(IDEMPOTENT, share=5),
            msgspec.structs.replace(AT_MOST_ONCE, share=2),
        ],
        partner=[
            Partner(
                name="bank",
                destinations=3,
                workers=12,
                error_share=0.1,
                service=Service(mean_ms=150),
                limit=Limit(calls=34, span_ms=1000, tells=0.0),
            )
        ],
        faults=[
            InjectedFault(
                kind="second-copy", begin_s=1.0, length_s=DAY_S, part=1.0, size=share, wait_ms=longest_delay_ms
            )
        ],
    )


class SecondCopiesTest(unittest.TestCase):
    maxDiff = None

    def assert_no_findings(self, scenario: Scenario) -> None:
        for seed in seeds():
            result = play_until_valid(scenario, seed)
            self.assertEqual(result.void, "")
            self.assertEqual("\n".join(finding.text for finding in result.verdict.findings), "", f"seed {seed}")
            self.assertEqual(result.verdict.account.lost, 0)
            copies = [call for call in result.history.called if call.copied >= 0]
            self.assertGreater(len(copies), 0, "no answer was written twice")

    # Guards against: a copy that arrives within milliseconds of its answer ends the next call on the connection.
    def test_a_copy_right_after_its_answer_ends_no_other_call(self) -> None:
        self.assert_no_findings(second_copy_day(longest_delay_ms=12.0, share=0.2))

    # Guards against: a copy that is late by tens of milliseconds ends a call that was sent meanwhile.
    def test_a_copy_that_is_late_ends_no_other_call(self) -> None:
        self.assert_no_findings(second_copy_day(longest_delay_ms=90.0, share=0.2))


if __name__ == "__main__":
    unittest.main()
