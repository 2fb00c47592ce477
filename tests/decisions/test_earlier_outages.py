"""Tests of outages that outlive the records of the receivers, or the process of the sender."""

import unittest

from cedarwick.decisions.interface import (
    EarlierHealth,
    EndpointState,
    EndpointUpdate,
    HealthReason,
    HealthState,
    ListedEndpoint,
)
from cedarwick.decisions.policy import Sender
from tests.build import MS, NOW, make_sender

SECOND = 1000 * MS
EJECTED_HEALTH = EarlierHealth(7, HealthState.EJECTED, False, 0.5, 10 * SECOND)


def listed(policy: Sender, now: int, *receivers: int, ready: bool = True) -> None:
    phase = EndpointState.READY if ready else EndpointState.DRAINING
    policy.apply_endpoint_list(
        now, EndpointUpdate.FULL, [ListedEndpoint(receiver, 0, 0, 7, phase, 0.0) for receiver in receivers]
    )


class RestartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.policy = make_sender(receivers=2, balancers="42")
        self.first, self.second = self.policy.receivers[1], self.policy.receivers[2]
        self.policy.take_health_changes()

    def test_an_ejected_receiver_stays_ejected_and_its_outage_has_its_age(self) -> None:
        self.policy.restore_health(NOW, 1, EJECTED_HEALTH)
        self.assertEqual(self.first.ejected_since, NOW - EJECTED_HEALTH.age)
        self.assertTrue(self.first.outage_confirmed)
        self.assertFalse(self.second.ejected_since)
        (change,) = self.policy.take_health_changes()
        self.assertEqual((change.state, change.reason), (HealthState.EJECTED, HealthReason.BEFORE_RESTART))

    def test_the_canaries_of_restarted_senders_are_spread_over_a_canary_gap(self) -> None:
        times = []
        for seed in range(200):
            policy = make_sender(receivers=1, balancers="42")
            policy.random_source.state = seed << 40
            policy.restore_health(NOW, 1, EJECTED_HEALTH)
            gap = policy._canary_gap(NOW, policy.receivers[1])
            times.append((policy.receivers[1].canary_at - NOW) / gap)
        self.assertTrue(all(0 <= time <= 1 for time in times))
        self.assertLess(sum(time < 0.1 for time in times), 40)

    def test_the_recovery_is_not_estimated_earlier_than_the_start(self) -> None:
        """The last attempt of the earlier process is not known; half the outage's age would end the ramp too early."""
        self.policy.restore_health(NOW, 1, EJECTED_HEALTH)
        self.first.attempt_sent(NOW + 2 * SECOND, shares_call=False)
        self.assertEqual(self.first.last_attempt_gap, 2 * SECOND)

    def test_a_ramp_restarts(self) -> None:
        self.policy.restore_health(NOW, 1, EJECTED_HEALTH._replace(state=HealthState.RAMPING, age=9 * SECOND))
        self.assertEqual((self.first.recovered_at, self.first.ramp_until), (NOW, NOW + self.policy.ramp_time))
        self.assertEqual(self.first.observed_rate, EJECTED_HEALTH.observed_rate)

    def test_a_receiver_that_was_away_ramps_up_once_it_is_listed(self) -> None:
        away = EJECTED_HEALTH._replace(state=HealthState.AWAY, age=SECOND)
        self.policy.restore_health(NOW, 1, away)
        self.assertEqual(self.first.recovered_at, NOW)
        listed(self.policy, NOW, 2, ready=False)
        self.policy.restore_health(NOW, 2, away)
        self.assertFalse(self.second.recovered_at)
        listed(self.policy, NOW + MS, 1, 2)
        self.assertEqual(self.second.recovered_at, NOW + MS)

    def test_a_recent_rate_cut_survives_a_restart(self) -> None:
        for recorded_age, rate in ((SECOND, 0.25), (self.policy.ramp_time, None)):
            policy = make_sender(receivers=1, balancers="42")
            policy.restore_health(NOW, 1, EarlierHealth(7, HealthState.IN_SERVICE, True, 0.5, 0, 0.25, recorded_age))
            self.assertEqual(policy.receivers[1].rate_control.rate, rate)
            self.assertFalse(policy.receivers[1].recovered_at)

    def test_after_unlisted_ejected_receivers_the_others_ramp_up_and_new_ones_start_ejected(self) -> None:
        self.policy.restore_departed(NOW, EJECTED_HEALTH)
        self.assertEqual((self.first.recovered_at, self.second.recovered_at), (NOW, NOW))
        alone = make_sender(receivers=0, balancers="42")
        alone.restore_departed(NOW, EJECTED_HEALTH)
        listed(alone, NOW + SECOND, 9)
        self.assertEqual(alone.receivers[9].ejected_since, NOW - EJECTED_HEALTH.age)


class LongOutageTest(unittest.TestCase):
    """Guards against outages that are forgotten together with the records of their receivers.

    The record of an ejected receiver is deleted 20 s after it has left the list. When it was listed again later, it got
    all held messages at once, from senders that had seen its outage. The first test fails without the fix.
    """

    def test_an_outage_outlasts_the_records_of_its_receivers(self) -> None:
        policy = make_sender(receivers=1, balancers="42")
        policy._eject(NOW, policy.receivers[1], False, HealthReason.FAILURES)
        for passed in (5, 30, 60):  # it leaves the list, and its record is deleted at the second update
            listed(policy, NOW + passed * SECOND)
        self.assertEqual(policy.receivers, {})
        policy.take_health_changes()
        listed(policy, NOW + 90 * SECOND, 2)
        self.assertEqual(policy.receivers[2].ejected_since, NOW)
        (change,) = policy.take_health_changes()
        self.assertEqual((change.state, change.reason), (HealthState.EJECTED, HealthReason.REPLACEMENT))

    def test_a_new_receiver_is_not_ejected_while_another_is_in_service(self) -> None:
        policy = make_sender(receivers=2, balancers="42")
        policy._eject(NOW, policy.receivers[1], False, HealthReason.FAILURES)
        for passed in (5, 30, 60):
            listed(policy, NOW + passed * SECOND, 2)
        self.assertNotIn(1, policy.receivers)
        listed(policy, NOW + 90 * SECOND, 2, 3)
        self.assertFalse(policy.receivers[3].ejected_since)


if __name__ == "__main__":
    unittest.main()
