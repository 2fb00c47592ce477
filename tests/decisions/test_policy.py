"""One failure or guard a test: a state, one call, what came of it."""

import unittest
from unittest import mock

from cedarwick.decisions.interface import (
    EarlierAttempt,
    EndpointState,
    EndpointUpdate,
    HealthReason,
    ListedEndpoint,
    Outcome,
    UnfinishedMessage,
)
from cedarwick.decisions.policy import Sender
from cedarwick.decisions.rate_control import RATE_STEP_INTERVAL
from cedarwick.decisions.sender_state import BACKOFF_BASE, THROTTLE_WINDOW
from tests.build import FREE, MS, NOW, NUMBERED, ONCE, SETTINGS, end, out, sender, take


class OneAnswerTest(unittest.TestCase):
    def test_unsent_message_is_nacked_before_its_limit(self) -> None:
        made = sender(receivers=0)
        take(made, 1)
        wake_at = made.decide(NOW).wake_at
        assert wake_at is not None
        self.assertLess(wake_at, NOW + 16_000 * MS)
        self.assertEqual(made.decide(wake_at).nacks, [(1, 0)])

    def test_last_time_out_at_the_limit_is_written_off_in_the_same_round(self) -> None:
        made = sender()
        handle = out(made, 1)
        end(handle, Outcome.TIME_OUT, NOW + 16_000 * MS)
        self.assertEqual(made.decide(NOW + 16_000 * MS).abandoned, [1])

    def test_out_of_attempts_is_answered_at_once(self) -> None:
        made = sender()
        handle = out(made, 1)
        handle.attempts = 6
        end(handle, Outcome.FULL, NOW + 100 * MS)
        self.assertEqual(made.decide(NOW + 100 * MS).nacks, [(1, 0)])

    def test_withdrawn_message_gets_no_attempt(self) -> None:
        made = sender()
        take(made, 1).withdrawn(NOW)
        self.assertEqual(made.decide(NOW).attempts, [])


class NoEffectTwiceTest(unittest.TestCase):
    def test_at_most_once_is_written_off_after_a_time_out(self) -> None:
        made = sender()
        end(out(made, 1, ONCE), Outcome.TIME_OUT, NOW + 900 * MS)
        self.assertEqual(made.decide(NOW + 900 * MS).abandoned, [1])

    def test_at_most_once_goes_again_after_a_refusal(self) -> None:
        made = sender()
        handle = out(made, 1, ONCE)
        end(handle, Outcome.FULL, NOW + 100 * MS)
        self.assertEqual([attempt[0] for attempt in made.decide(handle.not_before + 9_000 * MS).attempts], [1])

    def test_numbered_is_not_sent_past_its_window(self) -> None:
        made = sender()
        handle = out(made, 1, NUMBERED)
        end(handle, Outcome.ERROR, NOW + 6_001 * MS)
        decisions = made.decide(NOW + 6_001 * MS)
        self.assertEqual((decisions.attempts, decisions.abandoned), ([], [1]))

    def test_numbered_time_out_leaves_room_in_the_window(self) -> None:
        made = sender()
        take(made, 1, NUMBERED)
        self.assertLess(made.decide(NOW).attempts[0][2], 6_000 * MS)

    def test_where_slots_are_short_at_most_once_does_not_wait_to_the_end(self) -> None:
        made = sender(family_info__max_calls="2")
        made.receivers[1].mean_latency = 500.0 * MS
        take(made, 1, ONCE)
        take(made, 2, ONCE)
        self.assertEqual([attempt[2] for attempt in made.decide(NOW).attempts], [3_000 * MS, 3_000 * MS])

    def test_a_lone_numbered_attempt_does_not_hold_its_slot_to_the_end(self) -> None:
        made = sender(classes__1__dedup_window_ms="16000")
        made.receivers[1].mean_latency = 500.0 * MS
        take(made, 1, NUMBERED)
        self.assertEqual(made.decide(NOW).attempts[0][2], 2_000 * MS)

    def test_one_attempt_at_a_time(self) -> None:
        made = sender()
        out(made, 1)
        self.assertEqual(made.decide(NOW + 1_000 * MS).attempts, [])


class DrainingTest(unittest.TestCase):
    def test_nothing_goes_to_a_draining_receiver(self) -> None:
        made = sender()
        made.apply_endpoint_list(NOW, EndpointUpdate.DELTA, [ListedEndpoint(1, 0, 0, 7, EndpointState.DRAINING, 0.0)])
        take(made, 1)
        self.assertEqual(made.decide(NOW).attempts, [])

    def test_a_whole_list_replaces(self) -> None:
        made = sender(receivers=2)
        made.apply_endpoint_list(NOW, EndpointUpdate.FULL, [ListedEndpoint(2, 0, 0, 7, EndpointState.READY, 0.0)])
        take(made, 1)
        self.assertEqual([attempt[1] for attempt in made.decide(NOW).attempts], [2])


class RecoveryTest(unittest.TestCase):
    def test_a_receiver_that_is_out_gets_one_canary(self) -> None:
        made = sender()
        end(out(made, 1), Outcome.CONNECT_FAILED, NOW + 1_000 * MS)
        end(out(made, 9), Outcome.CONNECT_FAILED, NOW + 1_000 * MS)
        for message in (2, 3, 4):
            take(made, message, now=NOW + 1_000 * MS)
        self.assertEqual(len(made.decide(NOW + 5_000 * MS).attempts), 1)

    def test_a_canary_that_found_no_slot_is_not_held_to_be_out(self) -> None:
        made = sender()
        take(made, 1)
        made.calls_in_flight, made.receivers[1].ejected_since = 10, NOW - 1
        made.decide(NOW)
        self.assertFalse(made.receivers[1].canary_in_flight)

    def test_a_returned_receiver_is_ramped(self) -> None:
        made = sender()
        handle = out(made, 1)
        record = made.receivers[1]
        record.ejected_since, record.outage_confirmed, record.observed_rate = NOW, True, 4.0
        end(handle, Outcome.COMPLETED, NOW + 3_000 * MS)
        for message in range(2, 9):
            take(made, message, now=NOW + 3_000 * MS)
        self.assertEqual(made.decide(NOW + 3_000 * MS).attempts, [])

    def test_a_failure_starts_a_ramp_again(self) -> None:
        made = sender()
        handle = out(made, 1)
        made.receivers[1].recovered_at = NOW - 9_000 * MS
        end(handle, Outcome.ERROR, NOW + 100 * MS)
        self.assertEqual(made.receivers[1].recovered_at, NOW + 100 * MS)

    def test_fulls_alone_for_long_are_an_outage(self) -> None:
        made = sender()
        handle = out(made, 1)
        made.receivers[1].consecutive_throttles, made.receivers[1].throttled_since = 6, NOW - 3_000 * MS
        end(handle, Outcome.FULL, NOW + 100 * MS)
        self.assertTrue(made.receivers[1].ejected_since)

    def test_a_long_retry_after_wait_is_an_outage_of_the_whole_destination(self) -> None:
        made = sender(receivers=2)
        end(out(made, 1), Outcome.FULL, NOW + 100 * MS, retry_after=5_000 * MS)
        self.assertTrue(all(receiver.ejected_since for receiver in made.receivers.values()))

    def test_a_call_after_a_refusal_stays_small(self) -> None:
        made = sender(kind=1)
        made.receivers[1].consecutive_throttles, made.receivers[1].rate_control.rate = 1, 0.5
        for message in range(1, 10):
            take(made, message)
        self.assertEqual(len(made.decide(NOW).attempts), 4)

    def test_a_message_joins_a_call_of_its_round_before_it_takes_a_slot(self) -> None:
        made = sender(receivers=2, kind=1, family_info__max_calls="1")
        for message in (1, 2, 3):
            take(made, message)
        self.assertEqual(len({attempt[1] for attempt in made.decide(NOW).attempts}), 1)
        self.assertEqual(len(made.destinations[7].held), 0)

    def test_silence_holds_further_attempts(self) -> None:
        made = sender()
        out(made, 1)
        out(made, 2, now=NOW + MS)
        made.receivers[1].rate_control.has_completed = True
        take(made, 3, now=NOW + 2_500 * MS)
        self.assertEqual(made.decide(NOW + 2_500 * MS).attempts, [])

    def test_a_replacement_of_a_lost_machine_starts_out(self) -> None:
        made = sender()
        made.receivers[1].ejected_since = NOW
        made.apply_endpoint_list(NOW, EndpointUpdate.DELTA, [ListedEndpoint(2, 0, 0, 7, EndpointState.READY, 0.0)])
        self.assertEqual(made.receivers[2].ejected_since, NOW)

    def test_lost_calls_among_good_ones_are_no_outage(self) -> None:
        made = sender()
        handle = out(made, 1)
        made.receivers[1].recent_successes.extend([True, False, True, True, True, False])
        end(handle, Outcome.TIME_OUT, NOW + 3_000 * MS)
        self.assertFalse(made.receivers[1].ejected_since)


class ManySendersTest(unittest.TestCase):
    """Where each sender sees a few calls a minute."""

    def test_an_even_part_too_small_to_use_does_not_hold_a_lone_message(self) -> None:
        made = sender(rate=4.0, balancers="200", weight_source="nominal")
        end(out(made, 1), Outcome.COMPLETED, NOW + 100 * MS)
        take(made, 2, now=NOW + 1_000 * MS)
        self.assertEqual([attempt[0] for attempt in made.decide(NOW + 1_000 * MS).attempts], [2])

    def test_a_cut_goes_by_the_attempts_seen_however_long_ago(self) -> None:
        made = sender(balancers="200")
        made.started_at = NOW - 20_000 * MS
        end(out(made, 1), Outcome.FULL, NOW + 100 * MS)
        rate = made.receivers[1].rate_control.rate
        assert rate is not None
        self.assertLess(rate, 0.05)

    def test_one_failure_with_no_fresh_completion_is_an_outage(self) -> None:
        for senders, lost in (("2", False), ("200", True)):
            made = sender(balancers=senders)
            end(out(made, 1), Outcome.TIME_OUT, NOW + 1_000 * MS)
            self.assertEqual(bool(made.receivers[1].ejected_since), lost)

    def test_three_refusals_with_no_fresh_completion_are_an_outage(self) -> None:
        made = sender(balancers="200")
        handle = out(made, 1)
        made.receivers[1].consecutive_throttles, made.receivers[1].throttled_since = 2, NOW - 3_000 * MS
        end(handle, Outcome.FULL, NOW + 100 * MS)
        self.assertTrue(made.receivers[1].ejected_since)

    def test_a_limit_that_is_used_up_cuts_to_part_of_the_even_part_where_senders_are_many(self) -> None:
        for senders, left, expected in (("200", 0.0, 0.6 * 40 / 200), ("200", 0.3, 0.25), ("2", 0.0, 1.2 * 40 / 2 / 2)):
            made = sender(balancers=senders, report__columns="x0,x1", rate=40.0, weight_source="nominal")
            handle = out(made, 1)
            made.receivers[1].rate_control.rate = 1.2 * 40 / int(senders)
            handle.attempt_ended(NOW + 100 * MS, Outcome.FULL, 0, 1, 100 * MS, 0, False, (left, 40.0))
            self.assertAlmostEqual(made.receivers[1].rate_control.rate or 0.0, expected, 6, (senders, left))

    def test_a_sender_of_many_begins_little_above_its_even_part(self) -> None:
        made = sender(balancers="200", rate=400.0, weight_source="nominal")
        self.assertAlmostEqual(made.receivers[1].rate_control.reference_rate, 1.2 * 400 / 200)

    def rate_after_reports(self, made: Sender, *limits: float) -> float:
        """The rate after reports of these limits, one after another; all come before the next attempt."""
        handle = out(made, 1)
        receiver = made.receivers[1]
        for limit in limits:
            receiver.unanswered_attempts[handle.sent_at] = 1
            made.record_outcome(NOW, handle, receiver, Outcome.FULL, 0, 0, (0.3, limit))
        return receiver.rate_control.rate or 0.0

    def test_a_limit_that_changes_takes_the_pace_along_down_and_back(self) -> None:
        for limits, expected in (
            ((40.0, 20.0), 0.6),
            ((40.0, 20.0, 40.0), 1.2),
            ((40.0, 36.0, 44.0, 40.0), 1.2),
            ((40.0, 15.0, 40.0, 40.0), 1.2),
        ):
            made = sender(balancers="40", report__columns="x0,x1", rate=40.0, weight_source="nominal")
            rate_control = made.receivers[1].rate_control
            rate_control.rate, rate_control.cut_at = 1.2, NOW  # cut just now: these refusals cut it no further
            self.assertAlmostEqual(self.rate_after_reports(made, *limits), expected, 6, limits)

    def test_an_absurd_limit_neither_frees_nor_stops_a_sender(self) -> None:
        for limits, low, high in (
            ((40.0, 999_999_999.0), 1.2, 2.4),
            ((40.0, 999_999_999.0, 40.0), 1.2, 1.2),
            ((40.0, 1e-9), 0.15, 0.6),
            ((40.0, 1e-9, 40.0, 40.0), 0.6, 1.2),
            ((40.0, -7.0, 0.0, 40.0), 1.2, 1.2),
        ):
            made = sender(balancers="40", report__columns="x0,x1", rate=40.0, weight_source="nominal")
            rate_control = made.receivers[1].rate_control
            rate_control.rate, rate_control.cut_at = 1.2, NOW
            rate = self.rate_after_reports(made, *limits)
            self.assertGreaterEqual(rate, low, limits)
            self.assertLessEqual(rate, high, limits)

    def test_a_refusal_while_the_limit_has_room_is_an_outage(self) -> None:
        for left, lost in ((0.1, False), (0.8, True)):
            made = sender(balancers="200", report__columns="x0,x1", rate=8.0, weight_source="nominal")
            handle = out(made, 1)
            handle.attempt_ended(NOW + 100 * MS, Outcome.FULL, 0, 1, 100 * MS, 0, False, (left, 8.0))
            self.assertEqual(bool(made.receivers[1].ejected_since), lost)

    def test_gaps_between_canaries_grow_with_the_outage(self) -> None:
        # Nothing weighs on a machine that is down until it returns, and few senders do not push it over then.
        for senders, proved_never_ran, soon in (("200", False, False), ("200", True, False), ("8", True, True)):
            made = sender(balancers=senders)
            made.receivers[1].ejected_since, made.receivers[1].proved_never_ran = NOW, proved_never_ran
            at = made._next_canary(NOW + 20_000 * MS, made.receivers[1])
            self.assertEqual(at < NOW + 36_000 * MS, soon)

    def test_a_second_receiver_lost_puts_all_out_that_completed_nothing_of_late(self) -> None:
        """Simulated: 200 senders that knew of the outage tried each of three endpoints in turn as they returned."""
        for senders, completed, lost in (("2", 0, False), ("200", 0, True), ("200", NOW, False)):
            made = sender(receivers=3, balancers=senders)
            if completed:
                made.receivers[3].completion_times.append(completed)
            for receiver in (1, 2):
                made._eject(NOW, made.receivers[receiver], True, HealthReason.FAILURES)
            made._eject_rate_group(NOW, made.receivers[2])
            self.assertEqual(bool(made.receivers[3].ejected_since), lost, senders)

    def test_the_return_lies_between_the_last_two_looks(self) -> None:
        for senders, gap, recovered_at in (("2", 6_000, 100), ("200", 6_000, -2_900), ("200", 99_000, -4_950)):
            made = sender(balancers=senders)
            handle, receiver = out(made, 1), made.receivers[1]
            receiver.ejected_since, receiver.outage_confirmed, receiver.last_attempt_gap = (
                NOW - 10_000 * MS,
                True,
                gap * MS,
            )
            end(handle, Outcome.COMPLETED, NOW + 100 * MS)
            self.assertEqual(receiver.recovered_at, NOW + recovered_at * MS, (senders, gap))

    def test_a_retry_after_wait_does_not_end_for_all_in_the_same_instant(self) -> None:
        for senders, spread in (("2", False), ("200", True)):
            made = sender(balancers=senders)
            end(out(made, 1), Outcome.FULL, NOW + 100 * MS, retry_after=4_000 * MS)
            self.assertEqual(made.receivers[1].canary_at > NOW + 4_100 * MS, spread)

    def test_a_link_that_will_not_be_used_again_is_given_back(self) -> None:
        made = sender(balancers="200")
        end(out(made, 1), Outcome.COMPLETED, NOW + 100 * MS)
        self.assertEqual(made.decide(NOW + 100 * MS).released_connections, [1])


class ConnectionTablesTest(unittest.TestCase):
    def test_links_are_given_back_where_connections_fail_between_completions(self) -> None:
        for failed_at, freed in ((0, []), (NOW - 3_000 * MS, [1])):
            made = sender()
            made.destinations[7].connect_failed_at = failed_at
            end(out(made, 1), Outcome.COMPLETED, NOW + 100 * MS)
            self.assertEqual(made.decide(NOW + 100 * MS).released_connections, freed)


class LoadSheddingTest(unittest.TestCase):
    def test_the_backlog_of_a_lost_destination_goes_first(self) -> None:
        made = sender(policy_limits__max_open="6")
        made.apply_endpoint_list(NOW, EndpointUpdate.DELTA, [ListedEndpoint(8, 0, 0, 8, EndpointState.READY, 0.0)])
        made.receivers[8].ejected_since, made.receivers[8].canary_at = NOW - 9_000 * MS, NOW + 60_000 * MS
        made.accept(NOW, 50, 8, FREE, NOW + 16_000 * MS, 0, 0)
        for message in range(1, 5):
            take(made, message)
        self.assertEqual([nack[0] for nack in made.decide(NOW).nacks], [50])

    def test_a_full_folder_makes_the_least_important_go(self) -> None:
        for room, gone in ((2, []), (1, []), (0, [3])):
            made = sender(classes__2__worth="4")
            made.receivers[1].rate_control.wait_until = NOW + 5_000 * MS
            take(made, 1, ONCE)
            take(made, 2)
            take(made, 3)
            take(made, 4, ONCE)
            made.storable_messages = room
            self.assertEqual(sorted(nack[0] for nack in made.decide(NOW).nacks), gone, room)
            made.storable_messages = 1  # what has gone leaves its room
            self.assertEqual(made.decide(NOW).nacks, [])

    def test_what_may_have_run_makes_way_before_what_is_more_important(self) -> None:
        made = sender(policy_limits__max_open="3", classes__2__worth="4")
        handle = out(made, 1)
        handle.attempt_ended(NOW, Outcome.ERROR, 0, 1, MS, 0, False, ())
        made.receivers[1].rate_control.wait_until = NOW + 5_000 * MS
        take(made, 2, ONCE)
        decisions = made.decide(NOW)
        self.assertEqual((decisions.nacks, decisions.abandoned), ([], [1]))


class UrgencyTest(unittest.TestCase):
    def test_late_worth_falls_by_half_to_its_floor_where_told(self) -> None:
        for late, seconds, left, lost in (
            ("by_half", 2, 0.5, 0.173),
            ("by_half", 9, 0.1, 0.0),
            ("by_half", -1, 1.0, 0.347),
            ("even", 7, 0.55, 0.064),
        ):
            priority_class = sender(family_info__late=late, classes__0__late_worth="0.1").priority_classes[FREE]
            value = priority_class.delivery_value(seconds * 1_000 * MS)
            self.assertAlmostEqual(value[0], left, 3, (late, seconds))
            self.assertAlmostEqual(value[1], lost, 3, (late, seconds))

    def test_what_time_takes_no_more_worth_from_lets_the_fresh_go_first(self) -> None:
        now = NOW + 9_000 * MS
        for late, first in (("by_half", 2), ("even", 1)):
            made = sender(family_info__late=late, classes__0__late_worth="0.3", family_info__max_calls="1")
            take(made, 1)
            take(made, 2, now=now)
            self.assertEqual([attempt[0] for attempt in made.decide(now).attempts], [first])

    def test_where_senders_are_many_a_short_slot_goes_to_the_destination_that_answers_soon(self) -> None:
        for senders, first in (("2", 1), ("200", 2)):
            made = sender(family_info__max_calls="1", balancers=senders)
            made.apply_endpoint_list(NOW, EndpointUpdate.DELTA, [ListedEndpoint(8, 0, 0, 8, EndpointState.READY, 0.0)])
            made.receivers[1].mean_latency, made.receivers[8].mean_latency = 2_000.0 * MS, 200.0 * MS
            take(made, 1)
            made.accept(NOW, 2, 8, FREE, NOW + 16_000 * MS, 0, 0)
            self.assertEqual([attempt[0] for attempt in made.decide(NOW).attempts], [first])

    def test_the_first_of_a_key_counts_for_all_that_wait_behind_it(self) -> None:
        made = sender(family_info__max_calls="1", balancers="200")
        take(made, 1)
        for message in (2, 3, 4):
            take(made, message, NUMBERED, key=9)
        self.assertEqual([attempt[0] for attempt in made.decide(NOW).attempts], [2])


class OrderByKeyTest(unittest.TestCase):
    def test_the_next_of_a_key_waits_for_the_first(self) -> None:
        made = sender()
        out(made, 1, NUMBERED, key=9)
        take(made, 2, NUMBERED, key=9)
        self.assertEqual(made.decide(NOW).attempts, [])

    def test_the_next_of_a_key_goes_on_at_another_destination(self) -> None:
        made = sender()
        made.apply_endpoint_list(NOW, EndpointUpdate.DELTA, [ListedEndpoint(9, 0, 0, 8, EndpointState.READY, 0.0)])
        handle = out(made, 1, NUMBERED, key=9)
        made.accept(NOW, 2, 8, NUMBERED, NOW + 16_000 * MS, 0, 9)
        made.decide(NOW)
        end(handle, Outcome.COMPLETED, NOW + 100 * MS)
        self.assertEqual([attempt[0] for attempt in made.decide(NOW + 100 * MS).attempts], [2])

    def test_a_key_rests_after_a_time_out_that_a_refusal_followed(self) -> None:
        made = sender()
        handle = out(made, 1, NUMBERED, key=9)
        take(made, 2, NUMBERED, key=9)
        handle.attempts, handle.ran_at, handle.doubtful_at = 6, NOW, NOW + 90 * MS
        end(handle, Outcome.FULL, NOW + 100 * MS)
        decisions = made.decide(NOW + 100 * MS)
        self.assertEqual((decisions.attempts, decisions.abandoned), ([], [1]))
        self.assertEqual(made.order_key_queues.paused_until[9], NOW + 390 * MS)


class PooledConnectionsTest(unittest.TestCase):
    def test_a_break_on_a_kept_link_is_no_evidence_and_needs_no_backing_off(self) -> None:
        made = sender()
        handle = out(made, 1)
        handle.attempt_ended(NOW + 9 * MS, Outcome.RESET, 0, 1, 9 * MS, 0, False, (), reused_connection=True)
        self.assertEqual((list(made.receivers[1].recent_successes), handle.not_before), ([], NOW + 9 * MS + 1))
        self.assertEqual(handle.ran_at, NOW)

    def test_at_most_once_goes_on_a_new_link_while_kept_ones_break(self) -> None:
        made = sender()
        once, free = take(made, 2, ONCE), out(made, 1)
        self.assertFalse(once.needs_new_connection())
        free.attempt_ended(NOW + 9 * MS, Outcome.RESET, 0, 1, 9 * MS, 0, False, (), reused_connection=True)
        self.assertEqual((once.needs_new_connection(), free.needs_new_connection()), (True, False))
        made.receivers[1].rate_control.has_completed = True
        for message in range(3, 30):
            now = NOW + message * 100 * MS
            handle = out(made, message, now=now)
            handle.attempt_ended(now, Outcome.COMPLETED, 0, 1, MS, 0, True, (), reused_connection=True)
        self.assertFalse(once.needs_new_connection())


class BoundsTest(unittest.TestCase):
    def test_what_is_held_does_not_ask_for_room_one_by_one(self) -> None:
        made = sender(receivers=2)
        for message in range(60):
            take(made, message, (FREE, ONCE)[message % 2])
        with mock.patch.object(made, "_find_candidates", wraps=made._find_candidates) as asked:
            self.assertEqual(len(made.decide(NOW).attempts), 2)
            self.assertLess(asked.call_count, 10)

    def test_a_receiver_that_has_left_is_forgotten_once_nothing_is_out_there(self) -> None:
        made = sender(receivers=3)
        handle = out(made, 1)
        held = next(each for each in made.receivers if made.receivers[each].unanswered_attempts)
        for after in (0, 21):
            made.apply_endpoint_list(
                NOW + after * 1000 * MS, EndpointUpdate.FULL, [ListedEndpoint(9, 0, 0, 7, EndpointState.READY, 0.0)]
            )
        self.assertEqual((sorted(made.receivers), made.destinations[7].receiver_ids), ([held, 9], [held, 9]))
        end(handle, Outcome.COMPLETED, NOW + 21_000 * MS, receiver=held)
        made.apply_endpoint_list(NOW + 22_000 * MS, EndpointUpdate.DELTA, [])
        made.decide(NOW + 22_000 * MS)
        self.assertEqual((list(made.receivers), made.destinations[7].receiver_ids), ([9], [9]))

    def test_keys_that_nobody_uses_again_are_forgotten(self) -> None:
        made = sender()
        for key in range(1, 40):
            handle = out(made, key, NUMBERED, key=key, now=NOW + key * 1000 * MS)
            handle.doubtful_at = NOW + key * 1000 * MS
            end(handle, Outcome.COMPLETED, NOW + (key * 1000 + 100) * MS)
        self.assertEqual((list(made.order_key_queues.paused_until), list(made.order_key_queues.queues)), ([39], [39]))


class RetryAfterAndRateTest(unittest.TestCase):
    def test_a_retry_after_wait_binds_every_receiver_and_message(self) -> None:
        made = sender(receivers=2)
        end(out(made, 1), Outcome.FULL, NOW + 100 * MS, retry_after=800 * MS)
        take(made, 2, now=NOW + 200 * MS)
        self.assertEqual(made.decide(NOW + 899 * MS).attempts, [])

    def test_a_retry_after_wait_binds_one_route_where_routes_are_apart(self) -> None:
        made = sender(receivers=2, kind=1)
        handle = out(made, 1)
        end(handle, Outcome.FULL, NOW + 100 * MS, retry_after=800 * MS, receiver=1)
        take(made, 2, now=NOW + 200 * MS)
        self.assertEqual([attempt[1] for attempt in made.decide(NOW + 200 * MS).attempts], [2])

    def test_refusals_halve_the_pace_once_a_span(self) -> None:
        made = sender(rate=10.0, weight_source="nominal")
        before = made.receivers[1].rate_control.rate
        assert before is not None
        handle = out(made, 1)
        end(handle, Outcome.FULL, NOW + 100 * MS)
        self.assertEqual(made.receivers[1].rate_control.rate, before / 2)
        made._adjust_rate_after_throttle(NOW + THROTTLE_WINDOW // 2, made.receivers[1].rate_control, True)
        self.assertEqual(made.receivers[1].rate_control.rate, before / 2)

    def test_a_lone_refusal_spares_a_pace_under_its_even_part(self) -> None:
        made = sender(rate=10.0, weight_source="nominal")
        handle = out(made, 1)
        made.receivers[1].rate_control.rate = 4.0
        end(handle, Outcome.FULL, NOW + 100 * MS)
        self.assertEqual(made.receivers[1].rate_control.rate, 4.0)

    def test_a_refusal_empties_the_bucket(self) -> None:
        made = sender(rate=10.0, weight_source="nominal")
        handle = out(made, 1)
        made.receivers[1].rate_control.bucket.tokens = 4.0
        end(handle, Outcome.FULL, NOW + 100 * MS)
        self.assertEqual(made.receivers[1].rate_control.bucket.tokens, 0.0)

    def test_a_clean_pace_rises_in_small_steps(self) -> None:
        made = sender()
        handle = out(made, 1)
        rate_control = made.receivers[1].rate_control
        rate_control.rate, rate_control.reference_rate, rate_control.raised_at = 2.0, 4.0, NOW
        end(handle, Outcome.COMPLETED, NOW + RATE_STEP_INTERVAL)
        self.assertAlmostEqual(rate_control.rate, 2.2)

    def test_reported_room_makes_larger_steps(self) -> None:
        made = sender(report__columns="x0,x1", rate=8.0, weight_source="nominal")
        handle = out(made, 1)
        rate_control = made.receivers[1].rate_control
        rate_control.rate, rate_control.cut_at = 1.0, NOW - THROTTLE_WINDOW
        handle.attempt_ended(NOW + RATE_STEP_INTERVAL, Outcome.COMPLETED, 0, 1, 100 * MS, 0, True, (0.9, 8.0))
        self.assertAlmostEqual(rate_control.rate, 1.0 + 4.8 * 0.2)

    def test_retry_waits_are_jittered_inside_the_doubling_window(self) -> None:
        dues = []
        for seed in range(40):
            made = sender()
            made.random_source.state = seed
            handle = out(made, 1)
            handle.attempts = 2
            end(handle, Outcome.FULL, NOW)
            dues.append(handle.not_before - NOW)
        self.assertLess(max(dues), BACKOFF_BASE * 2)
        self.assertGreater(len(set(dues)), 20)

    def test_a_drawn_wait_ends_while_a_try_can_still_be_finished(self) -> None:
        for seed, quickest in [(seed, quickest) for seed in range(40) for quickest in (0.0, 1.0 * MS, 900.0 * MS)]:
            made = sender(policy_limits__most_tries="12")
            made.random_source.state, made.receivers[1].mean_latency = seed, quickest
            handle = out(made, 1)
            handle.attempts = 8
            end(handle, Outcome.CONNECT_FAILED, NOW + 4_000 * MS)
            decisions = made.decide(NOW + 4_000 * MS)
            self.assertEqual((decisions.nacks, decisions.abandoned), ([], []), (seed, quickest))
            self.assertLess(handle.not_before, NOW + 16_000 * MS - quickest)

    def test_a_retry_after_wait_beyond_its_time_ends_it_at_once(self) -> None:
        made = sender()
        end(out(made, 1), Outcome.FULL, NOW + 100 * MS, retry_after=17_000 * MS)
        self.assertEqual(made.decide(NOW + 100 * MS).nacks, [(1, 0)])

    def test_attempts_of_a_round_share_a_call_and_a_slot(self) -> None:
        made = sender(kind=1)
        made.receivers[1].rate_control.rate = 0.5
        for message in (1, 2, 3):
            take(made, message, FREE)
        self.assertEqual((len(made.decide(NOW).attempts), made.calls_in_flight), (3, 1))

    def test_a_call_to_a_cold_route_stays_small(self) -> None:
        made = sender(kind=1)
        made.receivers[1].recovered_at = made.receivers[1].ramp_bucket.refilled_at = NOW
        made.receivers[1].ramp_bucket.tokens = 1.0
        for message in range(1, 10):
            take(made, message)
        self.assertEqual(len(made.decide(NOW).attempts), 4)

    def test_an_unproven_destination_gets_few_calls(self) -> None:
        made = sender()
        for message in range(1, 6):
            take(made, message)
        self.assertEqual(len(made.decide(NOW).attempts), 2)


class RestartsTest(unittest.TestCase):
    def resumed(self, priority_class: int, *attempts: EarlierAttempt, key: int = 0, limit: int = 16_000) -> Sender:
        made = sender()
        made.restore(NOW, [UnfinishedMessage(1, 7, priority_class, NOW + limit * MS, 0, key, attempts)])
        return made

    def test_at_most_once_with_an_attempt_without_outcome_is_written_off(self) -> None:
        decisions = self.resumed(ONCE, EarlierAttempt(NOW - 900 * MS, 0, None)).decide(NOW)
        self.assertEqual((decisions.attempts, decisions.abandoned), ([], [1]))

    def test_at_most_once_goes_again_when_nothing_ran(self) -> None:
        decisions = self.resumed(ONCE, EarlierAttempt(NOW - 900 * MS, 0, Outcome.FULL)).decide(NOW)
        self.assertEqual([attempt[0] for attempt in decisions.attempts], [1])

    def test_numbered_counts_its_window_from_the_first_attempt_that_may_have_run(self) -> None:
        first, second = EarlierAttempt(NOW - 6_001 * MS, 0, Outcome.RESET), EarlierAttempt(NOW - 900 * MS, 0, None)
        self.assertEqual(self.resumed(NUMBERED, first, second).decide(NOW).abandoned, [1])
        self.assertEqual(len(self.resumed(NUMBERED, second).decide(NOW).attempts), 1)

    def test_the_count_of_attempts_survives(self) -> None:
        attempts = [EarlierAttempt(NOW - 900 * MS, 0, Outcome.FULL)] * 6
        self.assertEqual(self.resumed(FREE, *attempts).decide(NOW).nacks, [(1, 0)])

    def test_past_its_outer_limit_it_ends_at_once(self) -> None:
        self.assertEqual(self.resumed(FREE, limit=-5).decide(NOW).nacks, [(1, 0)])

    def test_keys_rest_after_a_restart(self) -> None:
        made = self.resumed(NUMBERED, EarlierAttempt(NOW - 900 * MS, 0, None), key=9)
        decisions = made.decide(NOW)
        self.assertEqual((decisions.attempts, decisions.wake_at), ([], NOW + 300 * MS))
        self.assertEqual(len(made.decide(NOW + 300 * MS).attempts), 1)


class BeforeTheFirstByteTest(unittest.TestCase):
    def test_an_attempt_may_start_unless_something_was_heard(self) -> None:
        self.assertTrue(out(sender(), 1).may_start(NOW, 1))

    def test_not_after_a_wait_was_told(self) -> None:
        made = sender()
        handle = out(made, 1)
        made.receivers[1].rate_control.wait_until = NOW + 500 * MS
        self.assertEqual([handle.may_start(NOW + after * MS, 1) for after in (499, 500)], [False, True])

    def test_not_to_a_draining_receiver(self) -> None:
        made = sender()
        handle = out(made, 1)
        made.receivers[1].ready = False
        self.assertFalse(handle.may_start(NOW, 1))

    def test_not_when_withdrawn_or_past_its_limit_or_window(self) -> None:
        made = sender()
        handle, numbered = out(made, 1), out(made, 2, NUMBERED)
        self.assertFalse(handle.may_start(handle.deadline, 1))
        numbered.ran_at = NOW - 6_000 * MS
        self.assertFalse(numbered.may_start(NOW, 1))
        handle.withdrawn(NOW)
        self.assertFalse(handle.may_start(NOW, 1))


class EndpointUpdatesTest(unittest.TestCase):
    def test_news_looks_only_at_destinations_that_hold_something(self) -> None:
        """Simulated: 556 senders with 452 receivers spent 370 us an event on looks at empty destinations."""
        made = sender()
        made.decide(NOW)
        made.receivers[1].rate_control.wait_until = NOW + 5_000 * MS
        update = [ListedEndpoint(8, 0, 0, 8, EndpointState.READY, 0.0)]
        made.apply_endpoint_list(NOW, EndpointUpdate.DELTA, update)
        self.assertEqual(made.changed_destinations, set())
        take(made, 1)
        made.decide(NOW)
        made.apply_endpoint_list(NOW, EndpointUpdate.DELTA, update)
        self.assertEqual(made.changed_destinations, {7})

    def list_poll_waits(self, made: Sender, failures: int) -> list[int]:
        """How long the sender waits with its next call for the list, after each of so many in a row that failed."""
        waits, now = [], NOW
        for _ in range(failures):
            made.list_poll_failed(now)
            at = made.decide(now).wake_at
            assert at is not None
            self.assertFalse(made.decide(at - 1).subscribe)
            self.assertTrue(made.decide(at).subscribe)
            waits.append(at - now)
            now = at
        return waits

    def test_calls_for_the_list_that_fail_are_spread_over_doubling_windows_up_to_what_the_settings_allow(self) -> None:
        fleet = [
            self.list_poll_waits(Sender({**SETTINGS, "rules.ask-within-ms": "10000"}, seed, NOW), 10)
            for seed in range(40)
        ]
        for nth, window in enumerate((500, 1000, 2000, 4000, 8000, 10_000, 10_000)):
            waits = [each[nth] for each in fleet]
            self.assertLessEqual(max(waits), window * MS + 1)
            self.assertGreater(sum(waits) / 40, window * MS / 3)
            self.assertGreater(max(waits) - min(waits), window * MS / 2)

    def test_many_senders_that_lose_the_list_together_do_not_ask_together(self) -> None:
        many = {**SETTINGS, "balancers": "40", "rules.ask-within-ms": "10000"}
        waits = sorted(self.list_poll_waits(Sender(many, seed, NOW), 1)[0] for seed in range(40))
        # Calls of 40 senders that lost it in one moment, in the fullest second of the ten; 40 in the old half second.
        self.assertLess(max(sum(at <= each < at + 1000 * MS for each in waits) for at in waits), 10)
        self.assertLessEqual(waits[-1], 10_000 * MS + 1)

    def test_a_watch_that_held_is_asked_for_anew_soon(self) -> None:
        made = Sender({**SETTINGS, "rules.ask-within-ms": "10000"}, 5, NOW)
        self.list_poll_waits(made, 8)
        made.list_poll_failed(NOW + 200_000 * MS)
        self.assertLessEqual(made.decide(NOW + 200_000 * MS).wake_at or 0, NOW + 200_500 * MS + 1)


if __name__ == "__main__":
    unittest.main()
