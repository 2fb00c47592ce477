"""What the outcome of each attempt says of its receiver: latency, failures, refusals, outages and returns."""

from collections import deque
from collections.abc import Sequence

from cedarwick.decisions.interface import Outcome
from cedarwick.decisions.rate_control import LIMIT_HAS_ROOM, RateAdjustment
from cedarwick.decisions.recovery import Recovery
from cedarwick.decisions.sender_state import COMPLETIONS_STALE_AFTER, MAX_RETRY_AFTER, REFUSAL_WINDOW
from cedarwick.decisions.state import SECOND, Message, Receiver, TokenBucket, record_recent

JUDGED_OUTCOMES = 8  # outcomes that judge a receiver
FAILURE_SCORE_HALF_LIFE = 5 * SECOND  # a failure score fades by half in this time
MIN_SILENCE = SECOND  # no answer for this long, and longer than usual, counts as silence
SHUT_AFTER = 2_500_000  # throttles alone for longer than any limit's span of a second or two: it is shut
SHUT_THROTTLES = 6  # and so many at least: at a crowded limit a few in a row are others' doing


class HealthTracking(RateAdjustment, Recovery):
    """Learns from outcomes and detects outages."""

    def learn(
        self,
        now: int,
        message: Message,
        receiver: Receiver,
        outcome: Outcome,
        took: int,
        retry_after: int,
        report: Sequence[float],
    ) -> None:
        """Record the outcome of an attempt.

        `took` and `retry_after` are microseconds; `report` holds the values of the setting `report.columns`.
        """
        pace = receiver.pace
        self.changed |= {receiver.destination} | self.starved
        self.starved.clear()
        over = receiver.attempt_over(message.sent_at) % self._batch(receiver) == 0
        self.calls_out -= over
        pace.calls_out -= over
        self.idle.add(receiver.id)
        receiver.canary_out = False
        if outcome in (Outcome.MOOT, Outcome.CANCELLED):
            return
        reported = dict(zip(self.columns, report, strict=False))
        if reported.get("x1", 0.0) > 0:
            self._list_rate(pace, reported["x1"])
            pace.left = reported.get("x0", 0.0)
        self._track_connect_failures(now, receiver, outcome)
        if outcome is not Outcome.TIME_OUT:
            receiver.answered_at = now
        if outcome is Outcome.COMPLETED:
            self._completed(now, message, receiver, took)
        elif outcome is Outcome.FULL:
            self._throttled(now, receiver, retry_after, reported.get("x0", 0.0))
        else:
            self._failed(now, message, receiver, outcome)

    def _track_connect_failures(self, now: int, receiver: Receiver, outcome: Outcome) -> None:
        """Keep the share of completions that came right after a failed connection, by kind of receiver.

        Danger: idle connections of many senders fill a receiver's table; unlike a dead machine it lets some pass.
        """
        place = self.destinations[receiver.destination]
        if outcome is Outcome.CONNECT_FAILED:
            place.connect_failed_at = now
        elif outcome is Outcome.COMPLETED:
            share = self.connect_failure_shares.get(receiver.kind, 0.0)
            self.connect_failure_shares[receiver.kind] = (
                share + ((now - place.connect_failed_at < 2 * COMPLETIONS_STALE_AFTER) - share) / 12
            )
            place.connect_failed_at = 0

    def _completed(self, now: int, message: Message, receiver: Receiver, took: int) -> None:
        """The receiver answered in `took` microseconds: it is in service, or returns to it with a ramp."""
        pace = receiver.pace
        record_recent(pace.answers, now, REFUSAL_WINDOW)
        pace.proven = True
        receiver.recent_successes.append(True)
        receiver.consecutive_throttles = receiver.throttled_since = 0
        deviation = abs(took - receiver.mean) if receiver.mean else took / 2
        receiver.latency_deviation += (deviation - receiver.latency_deviation) / (
            4 if receiver.latency_deviation else 1
        )
        receiver.mean += (took - receiver.mean) / (8 if receiver.mean else 1)
        if receiver.out_since:
            # Danger: a destination that returns cold falls over under its old traffic.
            if receiver.failed or now - receiver.out_since > self.fall_time:
                # Where many look seldom, it has returned somewhere between the last two looks.
                looked = min(receiver.gap, now - receiver.out_since) if self.many else 0
                receiver.back_at, receiver.warm_at = now - looked // 2, now + self.ramp_time
                receiver.ramp = TokenBucket(0.0, now)
                if pace.rate is not None:  # its refusals while it was shut say nothing of its limit
                    pace.rate = max(pace.rate, receiver.observed_rate, pace.reference)
            receiver.out_since, receiver.failed = 0, False
            receiver.recent_successes = deque([True], JUDGED_OUTCOMES)
        if receiver.completed_sent_at != message.sent_at:  # the attempts of one call count once
            record_recent(receiver.completions, now, self.observation_window)
        receiver.completed_sent_at = max(receiver.completed_sent_at, message.sent_at)
        receiver.observed_rate = max(
            receiver.observed_rate * 0.98, len(receiver.completions) * SECOND / self.observation_window
        )
        self._raise_rate(now, pace)

    def _throttled(self, now: int, receiver: Receiver, retry_after: int, limit_left: float) -> None:
        """The receiver refused as full; `limit_left` is the share of its limit that the report says is left."""
        pace = receiver.pace
        pace.wait_until = max(pace.wait_until, now + min(retry_after, MAX_RETRY_AFTER))
        receiver.consecutive_throttles += 1
        receiver.throttled_since = receiver.throttled_since or now
        # Danger: what is shut asks for a long wait or refuses everything; all push it as it opens, cold.
        sparse = self.many and self._stale(now, receiver)
        shut = (
            receiver.consecutive_throttles >= SHUT_THROTTLES // (1 + sparse)
            and now - receiver.throttled_since > SHUT_AFTER
        )
        shut |= sparse and limit_left > LIMIT_HAS_ROOM  # it has room, so its queue is full: it hangs
        mates = self._mates(self.destinations[receiver.destination], pace) if retry_after > SHUT_AFTER else [receiver]
        for mate in mates if retry_after > SHUT_AFTER or receiver.out_since or shut else []:
            self._out(now, mate, provable=True)
        if not receiver.out_since:
            self._throttle(now, pace, receiver.consecutive_throttles > 1)

    def _failed(self, now: int, message: Message, receiver: Receiver, outcome: Outcome) -> None:
        """The attempt failed otherwise: judge whether the receiver is out, or its ramp begins anew."""
        receiver.recent_successes.append(False)
        receiver.failure_score = self._current_failure_score(now, receiver) + 1
        receiver.failure_score_at = now
        # Danger: one lost call among good ones is no outage; a ramp after each would cost more.
        outcomes = list(receiver.recent_successes)
        failing = (
            outcome is Outcome.CONNECT_FAILED
            and len(outcomes) > 1
            and not any(outcomes[-2:])
            and receiver.completed_sent_at < message.sent_at
        )
        if receiver.back_at and sum(outcomes) * 3 <= len(outcomes) * 2:
            receiver.back_at = now  # Danger: some calls pass in an outage, and a ramp would run on in it
        # Danger: at a few calls a minute outcomes never gather, and each message spends its attempts alone.
        failing = failing or self.many and self._stale(message.sent_at, receiver)
        if failing or receiver.out_since or (len(outcomes) >= 3 and sum(outcomes) * 5 <= len(outcomes) * 2):
            self._out(now, receiver, provable=outcome is Outcome.CONNECT_FAILED)
            self._out_with(now, receiver)

    def _current_failure_score(self, now: int, receiver: Receiver) -> float:
        """The failures of late, each fading with its age."""
        return float(receiver.failure_score * 2.0 ** (-(now - receiver.failure_score_at) / FAILURE_SCORE_HALF_LIFE))

    def _silent(self, now: int, receiver: Receiver) -> bool:
        """Whether calls are out and nothing has come back for much longer than usual."""
        since = max(next(iter(receiver.calls), now), receiver.answered_at)
        usual = 2 * receiver.mean + 4 * receiver.latency_deviation if receiver.mean else 2 * SECOND
        return len(receiver.calls) > 1 and now - since > max(MIN_SILENCE, usual)  # one lost call says too little
