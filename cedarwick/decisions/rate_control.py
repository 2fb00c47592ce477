"""Rate control per destination: listed and reported limits, rate cuts after throttling, and raises.

Rates are in calls per second, times in microseconds. `health` and `endpoint_updates` call this module.
"""

from cedarwick.decisions.sender_state import SAFE_RATE_SHARE, THROTTLE_WINDOW, SenderState
from cedarwick.decisions.state import SECOND, RateControl, record_recent

THROTTLE_SHARE_LIMIT = 0.15  # a larger share of throttled answers halves the rate: one in seven is more than chance
RATE_STEP = 0.05  # of the reference rate, for each interval without a throttle
RATE_STEP_INTERVAL = SECOND // 2  # microseconds
MIN_SENDS_FOR_RATE = 4  # a recent send rate is computed from more than this many attempts
LIMIT_USED_UP = 0.05  # if at most this share of the limit is left, all senders together have used it up
LIMIT_HAS_ROOM = 0.5  # if more than this share of the limit is reported as left, other senders do not need it
MAX_RATE_STEPS = 4  # steps of one raise if the limit has room, and the upper bound if no limit is known
INITIAL_HEADROOM = 1.2  # a sender starts at this multiple of its even share of a listed rate
# Calls per second; with an even share below this, a single message would wait for a token beyond its deadline.
LONE_MESSAGE_RATE = 0.5


class RateAdjustment(SenderState):
    """Adjusts the rate of every `RateControl`."""

    def _apply_rate_limit(self, rate_control: RateControl, rate: float) -> None:
        """Apply a listed or reported limit (calls per second of all senders) to the rate of this sender."""
        if rate_control.limit:  # a single absurd value must not lift the limit or stop this sender for long
            rate = min(max(rate, rate_control.limit / 4), rate_control.limit * 2)
        even_share = max(rate * INITIAL_HEADROOM / self.senders, min(rate, LONE_MESSAGE_RATE))
        if rate_control.rate is None or (not rate_control.cut_at and not rate_control.raised_at):
            # Throttles will show whether other senders use the limit.
            rate_control.rate = max(even_share, min(rate, 2 * LONE_MESSAGE_RATE))
        elif rate_control.limit:
            # Scale the rate with the limit; otherwise each sender would keep its rate until it is throttled itself.
            least = min(rate_control.rate, rate * SAFE_RATE_SHARE / self.senders)
            rate_control.rate = min(rate, max(least, rate_control.rate * rate / rate_control.limit))
        rate_control.reference_rate, rate_control.limit = even_share, rate

    def _adjust_rate_after_throttle(self, now: int, rate_control: RateControl, repeated: bool) -> None:
        """Halve the rate if the share of throttled answers in `THROTTLE_WINDOW` is above `THROTTLE_SHARE_LIMIT`."""
        record_recent(rate_control.answer_times, now, THROTTLE_WINDOW)
        record_recent(rate_control.throttle_times, now, THROTTLE_WINDOW)
        rate_control.bucket.tokens = 0.0  # tokens from before the throttle must not allow a burst
        # At a few calls per second a single throttle may be chance or caused by another sender.
        may_be_chance = (
            len(rate_control.throttle_times) < 2
            and not repeated
            and (rate_control.rate or 0.0) * self.senders < rate_control.limit
        )
        if (
            len(rate_control.throttle_times) > THROTTLE_SHARE_LIMIT * len(rate_control.answer_times)
            and not may_be_chance
            and now - rate_control.cut_at >= THROTTLE_WINDOW
        ):
            send_rate = (
                sum(sent >= now - THROTTLE_WINDOW for sent in rate_control.send_times) * SECOND / THROTTLE_WINDOW
            )
            base_rate = send_rate if rate_control.rate is None else rate_control.rate
            if self.many_senders:
                # A rate above this sender's actual send rate has no effect, and throttled calls use up the limit.
                period = max(
                    THROTTLE_WINDOW,
                    now
                    - (
                        rate_control.send_times[0]
                        if len(rate_control.send_times) > MIN_SENDS_FOR_RATE
                        else self.started_at
                    ),
                )
                send_rate = len(rate_control.send_times) * SECOND / period
                base_rate = min(base_rate, max(send_rate, rate_control.reference_rate))
                if rate_control.limit and rate_control.limit_left <= LIMIT_USED_UP:
                    # Throttled calls count against the limit: it stays used up unless all senders fall back to their
                    # safe share.
                    base_rate = 0.0
            rate_control.rate = max(self.min_rate, rate_control.limit * SAFE_RATE_SHARE / self.senders, base_rate / 2)
            rate_control.reference_rate = rate_control.reference_rate or send_rate
            rate_control.cut_at = now
            rate_control.answer_times.clear()
            rate_control.throttle_times.clear()

    def _raise_rate(self, now: int, rate_control: RateControl) -> None:
        """Raise the rate after a completion, by a step per interval since the last change, if the rate was limiting."""
        steps = (now - max(rate_control.raised_at, rate_control.cut_at)) // RATE_STEP_INTERVAL
        if rate_control.rate is not None and steps:
            if rate_control.tokens_ran_out or rate_control.rate < rate_control.reference_rate:
                if rate_control.limit:  # the reports show whether other senders need it
                    steps = MAX_RATE_STEPS if rate_control.limit_left > LIMIT_HAS_ROOM else 1
                rate_control.rate += (
                    max(rate_control.reference_rate, self.min_rate) * RATE_STEP * min(MAX_RATE_STEPS, steps)
                )
                rate_control.rate = min(rate_control.rate, rate_control.limit or rate_control.rate)
            rate_control.tokens_ran_out, rate_control.raised_at = False, now
