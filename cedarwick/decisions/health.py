"""Health tracking: derives latency, failures, throttling, outages and recovery of receivers from attempt outcomes.

Times are in microseconds. `Handle.attempt_ended` (see `message_handle`) reports every outcome here.
"""

from collections import deque
from collections.abc import Sequence

from cedarwick.decisions.earlier_outages import EarlierOutages
from cedarwick.decisions.interface import HealthReason, HealthState, Outcome
from cedarwick.decisions.rate_control import LIMIT_HAS_ROOM, RateAdjustment
from cedarwick.decisions.sender_state import COMPLETIONS_STALE_AFTER, MAX_RETRY_AFTER, THROTTLE_WINDOW
from cedarwick.decisions.state import SECOND, Message, Receiver, record_recent

CONNECT_FAILURE_SMOOTHING = 12  # a completion changes the share of those after a failed connection by 1/12
LATENCY_SMOOTHING, DEVIATION_SMOOTHING = 8, 4  # moving means of the latency, as in TCP (RFC 6298)
OBSERVED_RATE_DECAY = 0.98  # factor per completion
JUDGED_OUTCOMES = 8  # a receiver's health is judged by this many of its newest outcomes
FAILURE_SCORE_HALF_LIFE = 5 * SECOND  # microseconds
DEFAULT_SILENCE = 2 * SECOND  # microseconds; the silence limit if no latency has been measured
MIN_SILENCE = SECOND  # microseconds; a shorter time without an answer never counts as silence
# Microseconds; only throttles for longer than the window of any rate limit (1 to 2 s) mean that the receiver refuses
# all calls.
THROTTLE_OUTAGE_AFTER = 2_500_000
# At least this many throttles: near a shared limit other senders may cause a few in a row.
THROTTLE_OUTAGE_COUNT = 6


class HealthTracking(RateAdjustment, EarlierOutages):
    """Updates the records of receivers from attempt outcomes, and detects outages."""

    def record_outcome(
        self,
        now: int,
        message: Message,
        receiver: Receiver,
        outcome: Outcome,
        duration: int,
        retry_after: int,
        report: Sequence[float],
    ) -> None:
        """Record the outcome of an attempt.

        `duration` and `retry_after` are in microseconds; `report` holds the values of the columns in the setting
        `report.columns`.
        """
        rate_control = receiver.rate_control
        self.changed_destinations |= {receiver.destination} | self.destinations_without_slot
        self.destinations_without_slot.clear()
        call_ended = receiver.attempt_finished(message.sent_at) % self._messages_per_call_to(receiver) == 0
        self.calls_in_flight -= call_ended
        rate_control.calls_in_flight -= call_ended
        self.ended_call_receivers.add(receiver.id)
        receiver.canary_in_flight = False
        if outcome in (Outcome.MOOT, Outcome.CANCELLED):
            return
        reported = dict(zip(self.report_columns, report, strict=False))
        if reported.get("x1", 0.0) > 0:
            self._apply_rate_limit(rate_control, reported["x1"])
            rate_control.limit_left = reported.get("x0", 0.0)
        self._track_connect_failures(now, receiver, outcome)
        if outcome is not Outcome.TIME_OUT:
            receiver.answered_at = now
        if outcome is Outcome.COMPLETED:
            self._record_completion(now, message, receiver, duration)
        elif outcome is Outcome.FULL:
            self._record_throttle(now, message, receiver, retry_after, reported.get("x0"))
        else:
            self._record_failure(now, message, receiver, outcome)

    def _track_connect_failures(self, now: int, receiver: Receiver, outcome: Outcome) -> None:
        """Update the share of completions that came shortly after a failed connection, by kind of receiver.

        The idle connections of many senders can fill a receiver's connection table. Unlike a dead machine, such a
        receiver still completes some calls, and these follow failed connections: the share tells the two cases apart.
        """
        destination_state = self.destinations[receiver.destination]
        if outcome is Outcome.CONNECT_FAILED:
            destination_state.connect_failed_at = now
        elif outcome is Outcome.COMPLETED:
            share = self.connect_failure_shares.get(receiver.kind, 0.0)
            self.connect_failure_shares[receiver.kind] = (
                share
                + ((now - destination_state.connect_failed_at < 2 * COMPLETIONS_STALE_AFTER) - share)
                / CONNECT_FAILURE_SMOOTHING
            )
            destination_state.connect_failed_at = 0
            self._end_departed_outage(now, destination_state)

    def _record_completion(self, now: int, message: Message, receiver: Receiver, duration: int) -> None:
        """Record a completion after `duration` microseconds; a receiver that was ejected returns to service."""
        rate_control = receiver.rate_control
        record_recent(rate_control.answer_times, now, THROTTLE_WINDOW)
        rate_control.has_completed = True
        outage = self._clear_suspicion(now, receiver, message.sent_at, message.id)
        receiver.recent_successes.append(True)
        receiver.consecutive_throttles = receiver.throttled_since = 0
        deviation = abs(duration - receiver.mean_latency) if receiver.mean_latency else duration / 2
        receiver.latency_deviation += (deviation - receiver.latency_deviation) / (
            DEVIATION_SMOOTHING if receiver.latency_deviation else 1
        )
        receiver.mean_latency += (duration - receiver.mean_latency) / (
            LATENCY_SMOOTHING if receiver.mean_latency else 1
        )
        if receiver.ejected_since:
            # A destination that has just recovered would fail again under full traffic, so it ramps up.
            if receiver.outage_confirmed or outage or now - receiver.ejected_since > self.overload_window:
                # Each of many senders sends canaries rarely: assume that it recovered midway between the last two.
                canary_gap = min(receiver.last_attempt_gap, now - receiver.ejected_since) if self.many_senders else 0
                self._begin_ramp(now, receiver, now - canary_gap // 2, HealthReason.COMPLETION, message.id)
                if rate_control.rate is not None:  # throttles during the outage say nothing about the rate limit
                    rate_control.rate = max(rate_control.rate, receiver.observed_rate, rate_control.reference_rate)
            else:
                self._report_health(receiver, HealthState.IN_SERVICE, HealthReason.COMPLETION, now, message.id)
            receiver.ejected_since, receiver.outage_confirmed = 0, False
            receiver.recent_successes = deque([True], JUDGED_OUTCOMES)
        if receiver.completed_sent_at != message.sent_at:  # attempts that share a call count once
            record_recent(receiver.completion_times, now, self.observation_window)
        receiver.completed_sent_at = max(receiver.completed_sent_at, message.sent_at)
        receiver.observed_rate = max(
            receiver.observed_rate * OBSERVED_RATE_DECAY,
            len(receiver.completion_times) * SECOND / self.observation_window,
        )
        self._raise_rate(now, rate_control)

    def _record_throttle(
        self, now: int, message: Message, receiver: Receiver, retry_after: int, limit_left: float | None
    ) -> None:
        """Record a throttled attempt: apply the Retry-After wait, and cut the rate or eject the receiver.

        `retry_after` is in microseconds; `limit_left` is the reported unused share (0 to 1) of the rate limit, None if
        it was not reported.
        """
        rate_control = receiver.rate_control
        rate_control.throttled_since = rate_control.throttled_since or now
        rate_control.wait_until = max(rate_control.wait_until, now + min(retry_after, MAX_RETRY_AFTER))
        receiver.consecutive_throttles += 1
        receiver.throttled_since = receiver.throttled_since or now
        # A receiver that asks for a long wait or refuses all calls is ejected; otherwise all senders would return to
        # it at full rate as soon as it accepts calls again.
        few_observations = self.many_senders and self._lacks_recent_completion(now, receiver)
        refuses_all = (
            receiver.consecutive_throttles >= THROTTLE_OUTAGE_COUNT // (1 + few_observations)
            and now - receiver.throttled_since > THROTTLE_OUTAGE_AFTER
        )
        # A throttle although the rate limit is not used up means that its queue is full: it hangs.
        refuses_all |= few_observations and (limit_left or 0.0) > LIMIT_HAS_ROOM
        rate_group = (
            self._rate_group(self.destinations[receiver.destination], rate_control)
            if retry_after > THROTTLE_OUTAGE_AFTER
            else [receiver]
        )
        for sibling in (
            rate_group if retry_after > THROTTLE_OUTAGE_AFTER or receiver.ejected_since or refuses_all else []
        ):
            self._eject(now, sibling, proved_never_ran=True, reason=HealthReason.THROTTLES, message=message.id)
        if not receiver.ejected_since:
            self._adjust_rate_after_throttle(now, rate_control, receiver.consecutive_throttles > 1)
            if rate_control.cut_at == now:
                self._report_rate_cut(now, receiver, message.id)
            if limit_left is None or limit_left > LIMIT_HAS_ROOM:  # otherwise its used-up limit explains the throttle
                # Throttles of all receivers of the rate group count here: the destination may be out.
                if now - rate_control.throttled_since > THROTTLE_OUTAGE_AFTER:
                    self._suspect(now, receiver, message.id)
                elif rate_control.completed_sent_at < message.sent_at:
                    # The backoff of a throttled message is lost in a restart: store the suspicion, so that the next
                    # process does not send the message at once.
                    self._report_suspicion(now, receiver, HealthReason.THROTTLES, message.id)

    def _record_failure(self, now: int, message: Message, receiver: Receiver, outcome: Outcome) -> None:
        """Record a failure other than a throttle: with enough evidence eject the receiver or restart its ramp."""
        receiver.recent_successes.append(False)
        receiver.failure_score = self._current_failure_score(now, receiver) + 1
        receiver.failure_score_at = now
        # A single failure among completions is not an outage: a ramp after each would cost more than it saves.
        outcomes = list(receiver.recent_successes)
        failing = (
            outcome is Outcome.CONNECT_FAILED
            and len(outcomes) > 1
            and not any(outcomes[-2:])
            and receiver.completed_sent_at < message.sent_at
        )
        if receiver.recovered_at and sum(outcomes) * 3 <= len(outcomes) * 2:
            receiver.recovered_at = now  # some calls succeed during an outage, but the ramp must not proceed
            self._report_health(receiver, HealthState.RAMPING, HealthReason.FAILURES_IN_RAMP, now, message.id)
        # At a few calls per minute there are never enough outcomes, and every message would spend all its attempts on a
        # dead receiver. With many senders one failure without a recent completion is therefore enough.
        failing = failing or self.many_senders and self._lacks_recent_completion(message.sent_at, receiver)
        if failing or receiver.ejected_since or (len(outcomes) >= 3 and sum(outcomes) * 5 <= len(outcomes) * 2):
            proved_never_ran = outcome is Outcome.CONNECT_FAILED
            self._eject(now, receiver, proved_never_ran, HealthReason.FAILURES, message.id)
            self._eject_rate_group(now, receiver)
        elif receiver.rate_control.completed_sent_at < message.sent_at:
            self._suspect(now, receiver, message.id)

    def _current_failure_score(self, now: int, receiver: Receiver) -> float:
        """Return the number of failures, each weighted by half for every `FAILURE_SCORE_HALF_LIFE` since then."""
        return float(receiver.failure_score * 2.0 ** (-(now - receiver.failure_score_at) / FAILURE_SCORE_HALF_LIFE))

    def _is_silent(self, now: int, receiver: Receiver) -> bool:
        """Whether the receiver has calls in flight and has not answered for much longer than usual."""
        since = max(next(iter(receiver.unanswered_attempts), now), receiver.answered_at)
        usual = 2 * receiver.mean_latency + 4 * receiver.latency_deviation if receiver.mean_latency else DEFAULT_SILENCE
        # A single unanswered call is not enough evidence.
        return len(receiver.unanswered_attempts) > 1 and now - since > max(MIN_SILENCE, usual)
