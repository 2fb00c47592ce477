"""Receiver selection: which receivers have room, their weights in the rotation, and the attempt's time-out.

Times are microseconds, rates calls a second. `Sender` (see `policy`) derives from `Selection`.
"""

from cedarwick.decisions.health import HealthTracking
from cedarwick.decisions.rate_control import MIN_SENDS_FOR_RATE
from cedarwick.decisions.sender_state import THROTTLE_WINDOW
from cedarwick.decisions.state import ASSUMED_LATENCY, NEVER, SECOND, Message, Receiver, record_recent

DEFAULT_LATENCY = 2 * SECOND  # assumed where nothing has been measured
FEE_WEIGHT = 50  # by which a fee lowers a receiver's weight in the rotation
SLOTS_PER_DESTINATION_DIVISOR = 3  # one destination takes at most one in so many slots
MAX_TIME_OUT_DOUBLINGS = 4  # with each attempt the time-out doubles
IDLE_RATE_RESET = 60 * SECOND  # after so long without a call a rate without a known limit is forgotten
MAX_CALLS_BEFORE_COMPLETION = 2  # calls out at a destination from which nothing has been completed yet
WARM_UP_BATCH = 4  # messages in one call during a ramp, and from a refusal to the next completion


class Selection(HealthTracking):
    """Chooses receivers and accounts for the attempts that go to them."""

    def _find_candidates(
        self, now: int, message: Message, candidates: list[Receiver]
    ) -> tuple[list[tuple[Receiver, float]], int]:
        """The receivers with room and their weights, or one canary alone; and the soonest time one may have room."""
        open_now: list[tuple[Receiver, float]] = []
        canary: list[tuple[Receiver, float]] = []
        soonest = NEVER
        for candidate in candidates:
            if not candidate.ejected_since and self._is_silent(now, candidate):
                # Eject a hanging receiver, before its unanswered calls take all slots.
                self._eject_silent(now, candidate)
            if candidate.ejected_since:
                room_at = self._canary_available_at(now, message, candidate)
                if room_at <= now:
                    canary = canary or [(candidate, 0.0)]
            else:
                room_at = self._available_at(now, candidate)
                if room_at <= now:
                    open_now.append((candidate, self._weight(now, candidate)))
            soonest = min(soonest, room_at)
        return canary or open_now, soonest

    def _weight(self, now: int, receiver: Receiver) -> float:
        """A receiver's weight in the rotation: observed speed and success, reduced by failures and fees."""
        success = (sum(receiver.recent_successes) + 1) / (len(receiver.recent_successes) + 1)
        pace = SECOND / (receiver.mean_latency or ASSUMED_LATENCY)
        fee = float(self.zone_fees.get(receiver.zone, 0.0)) if receiver.kind in self.separate_kinds else 0.0
        fee += self.cross_zone_fee if receiver.zone != self.local_zone else 0.0
        return float(pace * success * 2.0 ** -self._current_failure_score(now, receiver) / (1 + fee * FEE_WEIGHT))

    def _can_share_call(self, now: int, receiver: Receiver) -> bool:
        """Whether an attempt of this round can share a call to the receiver that has room for more messages."""
        joined = receiver.unanswered_attempts.get(now, 0) % self._messages_per_call_to(receiver)
        # A full call is as heavy as several; during a ramp or after throttling calls carry fewer messages.
        return 0 < joined < (WARM_UP_BATCH if receiver.recovered_at or receiver.consecutive_throttles else NEVER)

    def _available_at(self, now: int, receiver: Receiver) -> int:
        """When a receiver in service may get its next call; `now` where it may at once."""
        rate_control = receiver.rate_control
        if rate_control.wait_until > now:
            return rate_control.wait_until
        if self._can_share_call(now, receiver):
            return now
        # A restarted sender knows no rate yet; bounding its running calls spares a throttled destination.
        if rate_control.calls_in_flight >= max(
            MAX_CALLS_BEFORE_COMPLETION,
            self.max_calls_in_flight // SLOTS_PER_DESTINATION_DIVISOR if rate_control.has_completed else 0,
        ):
            return now + SECOND
        if rate_control.send_times and now - rate_control.send_times[-1] > IDLE_RATE_RESET and not rate_control.limit:
            rate_control.rate, rate_control.reference_rate = None, 0.0
        room_at = now
        if rate_control.rate is not None:
            room_at = now + rate_control.bucket.refill(now, rate_control.rate, max(1.0, rate_control.rate))
            rate_control.tokens_ran_out |= room_at > now
        # Many senders only estimate the recovery, half of them too early: the ramp lasts until `ramp_until` at least.
        if receiver.recovered_at and now >= max(receiver.ramp_until, receiver.recovered_at + self.ramp_time):
            self._end_ramp(now, receiver)
        # What failed may be out: until a call is completed it gets no more than a receiver that has just returned.
        suspected = self._outage_suspected(now, rate_control) and (receiver.suspected or not self.few_senders)
        if receiver.recovered_at or suspected:
            since = 0 if suspected else now - receiver.recovered_at
            rate_group = self._rate_group(self.destinations[receiver.destination], rate_control)
            sharing = sum(sibling.in_service for sibling in rate_group)
            rate = self._recovery_rate(receiver, since, max(1, sharing))
            room_at = max(room_at, now + receiver.ramp_bucket.refill(now, rate, 1.0))
        return room_at

    def _canary_available_at(self, now: int, message: Message, receiver: Receiver) -> int:
        """When a receiver that is out may get this message as its canary."""
        # An at-most-once message has no second attempt, so it is a canary only where failure proves it never ran.
        lost = message.priority_class.at_most_once and not receiver.proved_never_ran
        soonest = max(now, receiver.canary_at, receiver.rate_control.canary_at, receiver.rate_control.wait_until)
        return NEVER if receiver.canary_in_flight or lost else soonest

    def _account_for_attempt(self, now: int, receiver: Receiver, shares_call: bool) -> None:
        """Account for an attempt that goes to the receiver now, in a call of its own or one that it shares_call."""
        receiver.attempt_sent(now, shares_call)
        if receiver.ejected_since:
            receiver.canary_in_flight = True
            receiver.canary_at = self._next_canary(now, receiver)
        if not shares_call:
            self.calls_in_flight += 1
            record_recent(receiver.rate_control.send_times, now, THROTTLE_WINDOW, MIN_SENDS_FOR_RATE + 1)

    def _attempt_time_out(self, now: int, message: Message, receiver: Receiver) -> int:
        """The time-out of an attempt (microseconds).

        Shorter than the time left where slots are scarce, so that a dead destination does not hold them all, or where
        a retry must still fit into the deduplication window.
        """
        left = message.deadline - now - 2 * self.tick
        usual = receiver.mean_latency + 4 * receiver.latency_deviation if receiver.mean_latency else DEFAULT_LATENCY
        soon = max(SECOND, round(2 * usual)) << min(message.attempts - 1, MAX_TIME_OUT_DOUBLINGS)
        crowded = 2 * self.calls_in_flight >= self.max_calls_in_flight
        if message.priority_class.at_most_once or message.priority_class.idempotent:
            return min(left, soon if message.priority_class.idempotent else 3 * soon if crowded else NEVER)
        window = (
            message.priority_class.dedup_window
            if not message.ran_at
            else message.ran_at + message.priority_class.dedup_window - now
        )
        patience = min(window - SECOND // 2, soon if receiver.ejected_since or crowded else 2 * soon)
        # Cut the time-out only where what remains is enough for an answer; otherwise use all the time left.
        enough = patience >= min(SECOND, usual)
        return min(left, patience) if enough and message.attempts < self.max_attempts else left
