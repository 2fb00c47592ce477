"""Receiver selection: which receivers are available, their weights in the rotation, and the time-out of an attempt.

Times are in microseconds, rates in calls per second. `Sender` (see `policy`) derives from `Selection`.
"""

from cedarwick.decisions.health import HealthTracking
from cedarwick.decisions.rate_control import MIN_SENDS_FOR_RATE
from cedarwick.decisions.sender_state import THROTTLE_WINDOW
from cedarwick.decisions.state import ASSUMED_LATENCY, NEVER, SECOND, Message, Receiver, record_recent

DEFAULT_LATENCY = 2 * SECOND  # microseconds; assumed for time-outs if no latency has been measured
FEE_WEIGHT = 50  # factor of the fee in a receiver's weight in the rotation
SLOTS_PER_DESTINATION_DIVISOR = 3  # a destination uses at most this fraction (1/3) of the call slots
MAX_TIME_OUT_DOUBLINGS = 4  # the time-out doubles with each attempt, at most this often
IDLE_RATE_RESET = 60 * SECOND  # microseconds without a call after which a rate without a known limit is reset
MAX_CALLS_BEFORE_COMPLETION = 2  # calls in flight to a destination that has not completed any call yet
WARM_UP_BATCH = 4  # messages in one call during a ramp, and after a throttle until the next completion


class Selection(HealthTracking):
    """Chooses receivers for attempts, and accounts for the attempts sent to them."""

    def _find_candidates(
        self, now: int, message: Message, candidates: list[Receiver]
    ) -> tuple[list[tuple[Receiver, float]], int]:
        """Return the available receivers with their weights, or only one for a canary, and when one may be available.

        The time (microseconds) is the earliest of all the given receivers.
        """
        available: list[tuple[Receiver, float]] = []
        canary: list[tuple[Receiver, float]] = []
        earliest = NEVER
        for candidate in candidates:
            if not candidate.ejected_since and self._is_silent(now, candidate):
                # Eject a hanging receiver before its unanswered calls take all call slots.
                self._eject_silent(now, candidate)
            if candidate.ejected_since:
                available_at = self._canary_available_at(now, message, candidate)
                if available_at <= now:
                    canary = canary or [(candidate, 0.0)]
            else:
                available_at = self._available_at(now, candidate)
                if available_at <= now:
                    available.append((candidate, self._weight(now, candidate)))
            earliest = min(earliest, available_at)
        return canary or available, earliest

    def _weight(self, now: int, receiver: Receiver) -> float:
        """Return a receiver's weight in the rotation: its speed and success share, reduced by failures and fees."""
        success = (sum(receiver.recent_successes) + 1) / (len(receiver.recent_successes) + 1)
        speed = SECOND / (receiver.mean_latency or ASSUMED_LATENCY)
        fee = float(self.zone_fees.get(receiver.zone, 0.0)) if receiver.kind in self.separate_kinds else 0.0
        fee += self.cross_zone_fee if receiver.zone != self.local_zone else 0.0
        return float(speed * success * 2.0 ** -self._current_failure_score(now, receiver) / (1 + fee * FEE_WEIGHT))

    def _can_share_call(self, now: int, receiver: Receiver) -> bool:
        """Whether an attempt can share a call to the receiver that is being filled in this round."""
        messages_in_call = receiver.unanswered_attempts.get(now, 0) % self._messages_per_call_to(receiver)
        # A full call causes as much load as several small ones: calls are smaller during a ramp and after a throttle.
        return (
            0 < messages_in_call < (WARM_UP_BATCH if receiver.recovered_at or receiver.consecutive_throttles else NEVER)
        )

    def _available_at(self, now: int, receiver: Receiver) -> int:
        """Return when a receiver in service may get its next call; `now` if it may at once."""
        rate_control = receiver.rate_control
        if rate_control.wait_until > now:
            return rate_control.wait_until
        if self._can_share_call(now, receiver):
            return now
        # A restarted sender does not know the rate yet: limit its calls in flight, in case the destination throttles.
        if rate_control.calls_in_flight >= max(
            MAX_CALLS_BEFORE_COMPLETION,
            self.max_calls_in_flight // SLOTS_PER_DESTINATION_DIVISOR if rate_control.has_completed else 0,
        ):
            return now + SECOND
        if rate_control.send_times and now - rate_control.send_times[-1] > IDLE_RATE_RESET and not rate_control.limit:
            rate_control.rate, rate_control.reference_rate = None, 0.0
        available_at = now
        if rate_control.rate is not None:
            available_at = now + rate_control.bucket.refill(now, rate_control.rate, max(1.0, rate_control.rate))
            rate_control.tokens_ran_out |= available_at > now
        # Many senders only estimate the time of recovery, half of them too early: ramp up at least until `ramp_until`.
        if receiver.recovered_at and now >= max(receiver.ramp_until, receiver.recovered_at + self.ramp_time):
            self._end_ramp(now, receiver)
        # A suspected destination may be out: until a call completes it gets no more than one that has just recovered.
        suspected = self._outage_suspected(now, rate_control) and (receiver.suspected or not self.few_senders)
        if receiver.recovered_at or suspected:
            since = 0 if suspected else now - receiver.recovered_at
            rate_group = self._rate_group(self.destinations[receiver.destination], rate_control)
            sharing = sum(sibling.in_service for sibling in rate_group)
            rate = self._recovery_rate(receiver, since, max(1, sharing))
            available_at = max(available_at, now + receiver.ramp_bucket.refill(now, rate, 1.0))
        return available_at

    def _canary_available_at(self, now: int, message: Message, receiver: Receiver) -> int:
        """Return when an ejected receiver may get this message as its canary."""
        # An at-most-once message gets no second attempt: use it only if the last failure proved that nothing ran.
        unsuitable = message.priority_class.at_most_once and not receiver.proved_never_ran
        earliest = max(now, receiver.canary_at, receiver.rate_control.canary_at, receiver.rate_control.wait_until)
        return NEVER if receiver.canary_in_flight or unsuitable else earliest

    def _account_for_attempt(self, now: int, receiver: Receiver, shares_call: bool) -> None:
        """Account for an attempt that is sent to the receiver now, in a new or a shared call."""
        receiver.attempt_sent(now, shares_call)
        if receiver.ejected_since:
            receiver.canary_in_flight = True
            receiver.canary_at = self._next_canary(now, receiver)
        if not shares_call:
            self.calls_in_flight += 1
            record_recent(receiver.rate_control.send_times, now, THROTTLE_WINDOW, MIN_SENDS_FOR_RATE + 1)

    def _attempt_time_out(self, now: int, message: Message, receiver: Receiver) -> int:
        """Return the time-out of an attempt (microseconds).

        It is shorter than the time left if call slots are scarce, so that a dead destination does not occupy all of
        them, or if a retry must still fit into the deduplication window.
        """
        left = message.deadline - now - 2 * self.tick
        usual_latency = (
            receiver.mean_latency + 4 * receiver.latency_deviation if receiver.mean_latency else DEFAULT_LATENCY
        )
        short_time_out = max(SECOND, round(2 * usual_latency)) << min(message.attempts - 1, MAX_TIME_OUT_DOUBLINGS)
        slots_scarce = 2 * self.calls_in_flight >= self.max_calls_in_flight
        if message.priority_class.at_most_once or message.priority_class.idempotent:
            return min(
                left,
                short_time_out if message.priority_class.idempotent else 3 * short_time_out if slots_scarce else NEVER,
            )
        retry_window = (
            message.priority_class.dedup_window
            if not message.ran_at
            else message.ran_at + message.priority_class.dedup_window - now
        )
        time_out = min(
            retry_window - SECOND // 2, short_time_out if receiver.ejected_since or slots_scarce else 2 * short_time_out
        )
        # Shorten the time-out only if it is still long enough for an answer; otherwise use all the time left.
        enough = time_out >= min(SECOND, usual_latency)
        return min(left, time_out) if enough and message.attempts < self.max_attempts else left
