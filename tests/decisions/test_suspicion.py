"""Tests of suspicion: a failed call makes receivers suspected, and the next completion makes them ramp up."""

import unittest

from cedarwick.decisions.interface import EarlierHealth, HealthReason, HealthState, Outcome
from cedarwick.decisions.policy import Sender
from tests.build import MS, NOW, end_attempt, make_sender, start_attempt

SECOND = 1000 * MS


class SuspicionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.policy = make_sender(receivers=2, balancers="42", rules__fall_ms="2000")
        self.first, self.second = self.policy.receivers[1], self.policy.receivers[2]
        for receiver in (self.first, self.second):
            receiver.completion_times.append(NOW - SECOND)
        self.first.rate_control.completed_at = self.first.rate_control.completed_sent_at = NOW - SECOND
        self.policy.take_health_changes()

    def failed_call(self, policy: Sender, at: int) -> None:
        end_attempt(start_attempt(policy, 1, now=at), Outcome.ERROR, at + 100 * MS)

    def complete(self, policy: Sender, at: int) -> None:
        end_attempt(start_attempt(policy, 2, now=at), Outcome.COMPLETED, at + 100 * MS)

    def test_a_single_failure_ejects_no_receiver_but_the_next_completion_starts_a_ramp(self) -> None:
        self.failed_call(self.policy, NOW)
        self.assertFalse(self.first.ejected_since or self.second.ejected_since)
        self.assertTrue(self.first.rate_control.failed_since)
        self.complete(self.policy, NOW + 3 * SECOND)
        for receiver in (self.first, self.second):
            self.assertEqual(receiver.recovered_at, NOW + 3 * SECOND + 100 * MS)
        self.assertFalse(self.first.rate_control.failed_since)

    def test_a_failure_among_completions_starts_no_ramp(self) -> None:
        """A ramp after each single failure would cost more than it saves; there was no outage of `rules.fall-ms`."""
        self.failed_call(self.policy, NOW)
        self.complete(self.policy, NOW + 300 * MS)
        self.assertFalse(self.first.recovered_at or self.second.recovered_at)

    def test_a_suspected_destination_gets_the_rate_of_one_that_just_recovered(self) -> None:
        self.failed_call(self.policy, NOW)
        later = NOW + 3 * SECOND
        for receiver in (self.first, self.second):
            self.assertEqual(self.policy._available_at(later, receiver), later)
            receiver.ramp_bucket.take()
            gap = self.policy._available_at(later, receiver) - later
            rate = self.policy._recovery_rate(receiver, 0, sharing=2)
            self.assertAlmostEqual(gap, SECOND / rate, delta=10)

    def test_a_call_sent_before_the_last_completed_one_is_no_evidence(self) -> None:
        self.first.rate_control.completed_sent_at = NOW + SECOND
        self.failed_call(self.policy, NOW)
        self.assertFalse(self.first.rate_control.failed_since)

    def test_a_short_silence_after_a_failure_ends_with_a_ramp_too(self) -> None:
        hanging = start_attempt(self.policy, 3)
        self.failed_call(self.policy, NOW + MS)
        self.policy._eject_silent(NOW + 2 * SECOND, self.second)
        end_attempt(hanging, Outcome.COMPLETED, NOW + 3 * SECOND, receiver=2)
        self.assertTrue(self.second.recovered_at)

    def test_a_restart_keeps_the_suspicion_and_spreads_the_first_calls(self) -> None:
        gaps = []
        for seed in range(50):
            policy = make_sender(receivers=1, balancers="42", rules__fall_ms="2000")
            policy.random_source.state = seed << 40
            policy.restore_health(NOW, 1, EarlierHealth(7, HealthState.SUSPECTED, False, 0.5, 3 * SECOND))
            gaps.append(policy._available_at(NOW, policy.receivers[1]) - NOW)
        rate = policy._recovery_rate(policy.receivers[1], 0)
        self.assertTrue(all(0 < gap <= SECOND / rate + 1 for gap in gaps))
        self.assertGreater(max(gaps) - min(gaps), SECOND / rate / 2)

    def test_a_later_report_does_not_hide_an_ejection_an_absence_or_a_suspicion(self) -> None:
        """Only the newest report of a receiver is stored, and a restart knows nothing else."""
        self.failed_call(self.policy, NOW)
        self.policy.take_health_changes()
        self.policy._report_rate_cut(NOW, self.first, 1)
        (cut,) = self.policy.take_health_changes()
        self.assertEqual(cut.state, HealthState.SUSPECTED)
        self.policy._eject_silent(NOW + SECOND, self.first)
        self.second.ready = False
        self.policy.take_health_changes()
        self.policy._clear_suspicion(NOW + 5 * SECOND, self.second, NOW, 2)
        self.assertEqual(self.policy.take_health_changes(), [])

    def test_each_change_is_reported_with_its_message(self) -> None:
        self.failed_call(self.policy, NOW)
        (change,) = self.policy.take_health_changes()
        self.assertEqual(
            (change.receiver, change.state, change.reason), (1, HealthState.SUSPECTED, HealthReason.FAILURES)
        )
        self.assertTrue(change.message)


if __name__ == "__main__":
    unittest.main()
