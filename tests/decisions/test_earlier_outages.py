"""Outages that a sender knows of although the records of the receivers, or its own process, are gone."""

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
from tests.build import MS, NOW, sender

SECOND = 1000 * MS
OUT = EarlierHealth(7, HealthState.EJECTED, False, 0.5, 10 * SECOND)


def listed(made: Sender, now: int, *receivers: int, ready: bool = True) -> None:
    phase = EndpointState.READY if ready else EndpointState.DRAINING
    made.apply_endpoint_list(
        now, EndpointUpdate.FULL, [ListedEndpoint(receiver, 0, 0, 7, phase, 0.0) for receiver in receivers]
    )


class RestartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.made = sender(receivers=2, balancers="42")
        self.first, self.second = self.made.receivers[1], self.made.receivers[2]
        self.made.take_health_changes()

    def test_an_ejected_receiver_stays_ejected_and_its_outage_has_its_age(self) -> None:
        self.made.restore_health(NOW, 1, OUT)
        self.assertEqual(self.first.ejected_since, NOW - OUT.age)
        self.assertTrue(self.first.outage_confirmed)
        self.assertFalse(self.second.ejected_since)
        (change,) = self.made.take_health_changes()
        self.assertEqual((change.state, change.reason), (HealthState.EJECTED, HealthReason.BEFORE_RESTART))

    def test_the_canaries_of_restarted_senders_are_spread_over_a_gap(self) -> None:
        times = []
        for seed in range(200):
            made = sender(receivers=1, balancers="42")
            made.random_source.state = seed << 40
            made.restore_health(NOW, 1, OUT)
            gap = made._canary_gap(NOW, made.receivers[1])
            times.append((made.receivers[1].canary_at - NOW) / gap)
        self.assertTrue(all(0 <= time <= 1 for time in times))
        self.assertLess(sum(time < 0.1 for time in times), 40)

    def test_the_return_is_not_taken_for_earlier_than_the_start(self) -> None:
        """The last look of the process before is not known; half the outage's age would end the ramp early."""
        self.made.restore_health(NOW, 1, OUT)
        self.first.attempt_sent(NOW + 2 * SECOND, shares_call=False)
        self.assertEqual(self.first.last_attempt_gap, 2 * SECOND)

    def test_a_ramp_begins_anew(self) -> None:
        self.made.restore_health(NOW, 1, OUT._replace(state=HealthState.RAMPING, age=9 * SECOND))
        self.assertEqual((self.first.recovered_at, self.first.ramp_until), (NOW, NOW + self.made.ramp_time))
        self.assertEqual(self.first.observed_rate, OUT.observed_rate)

    def test_a_receiver_that_was_away_ramps_up_when_it_is_listed_again_or_is_listed_already(self) -> None:
        away = OUT._replace(state=HealthState.AWAY, age=SECOND)
        self.made.restore_health(NOW, 1, away)
        self.assertEqual(self.first.recovered_at, NOW)
        listed(self.made, NOW, 2, ready=False)
        self.made.restore_health(NOW, 2, away)
        self.assertFalse(self.second.recovered_at)
        listed(self.made, NOW + MS, 1, 2)
        self.assertEqual(self.second.recovered_at, NOW + MS)

    def test_a_rate_that_throttles_cut_of_late_is_not_forgotten(self) -> None:
        for recorded_age, rate in ((SECOND, 0.25), (self.made.ramp_time, None)):
            made = sender(receivers=1, balancers="42")
            made.restore_health(NOW, 1, EarlierHealth(7, HealthState.IN_SERVICE, True, 0.5, 0, 0.25, recorded_age))
            self.assertEqual(made.receivers[1].rate_control.rate, rate)
            self.assertFalse(made.receivers[1].recovered_at)

    def test_where_ejected_receivers_are_no_longer_listed_the_others_ramp_up_and_later_ones_start_ejected(self) -> None:
        self.made.restore_departed(NOW, OUT)
        self.assertEqual((self.first.recovered_at, self.second.recovered_at), (NOW, NOW))
        alone = sender(receivers=0, balancers="42")
        alone.restore_departed(NOW, OUT)
        listed(alone, NOW + SECOND, 9)
        self.assertEqual(alone.receivers[9].ejected_since, NOW - OUT.age)


class LongOutageTest(unittest.TestCase):
    """Seen by reading, after the incident of a forgotten outage: an ejected receiver's record goes 20 s after it has
    left the list. Listed again after that, it got all that was held at once, from senders that had seen its outage.
    Cause: an outage lasted no longer than the receiver's record. Proof: the test below fails without the mend.
    """

    def test_an_outage_outlasts_the_records_of_its_receivers(self) -> None:
        made = sender(receivers=1, balancers="42")
        made._eject(NOW, made.receivers[1], False, HealthReason.FAILURES)
        for passed in (5, 30, 60):  # it is removed, and forgotten at the second of these
            listed(made, NOW + passed * SECOND)
        self.assertEqual(made.receivers, {})
        made.take_health_changes()
        listed(made, NOW + 90 * SECOND, 2)
        self.assertEqual(made.receivers[2].ejected_since, NOW)
        (change,) = made.take_health_changes()
        self.assertEqual((change.state, change.reason), (HealthState.EJECTED, HealthReason.REPLACEMENT))

    def test_not_where_another_receiver_is_in_service(self) -> None:
        made = sender(receivers=2, balancers="42")
        made._eject(NOW, made.receivers[1], False, HealthReason.FAILURES)
        for passed in (5, 30, 60):
            listed(made, NOW + passed * SECOND, 2)
        self.assertNotIn(1, made.receivers)
        listed(made, NOW + 90 * SECOND, 2, 3)
        self.assertFalse(made.receivers[3].ejected_since)


if __name__ == "__main__":
    unittest.main()
