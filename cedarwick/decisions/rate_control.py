"""Rate control for each destination: listed and reported limits, cuts after throttling, and raises.

Rates are calls a second, times microseconds. `health` and `endpoint_updates` call it.
"""

from cedarwick.decisions.sender_state import REFUSAL_WINDOW, SAFE_RATE_SHARE, SenderState
from cedarwick.decisions.state import SECOND, RateControl, record_recent

REFUSAL_SHARE_LIMIT = 0.15  # a larger share of throttled answers halves the rate: one in seven is more than chance
RATE_STEP = 0.05  # of the reference rate, for each half second that stays clean
RATE_STEP_INTERVAL = SECOND // 2  # microseconds
MIN_SENDS_FOR_RATE = 4  # attempts at least from which a recent send rate is taken
LIMIT_USED_UP = 0.05  # of the limit left, or less: it is used up by all senders together
LIMIT_HAS_ROOM = 0.5  # where reports say that more than this share of the limit is left, others do not use it
MAX_RATE_STEPS = 4  # and so many are taken at once; or those of the clean time, where no limit is known
INITIAL_HEADROOM = 1.2  # a sender starts at this multiple of its even part of a listed rate
LONE_MESSAGE_RATE = 0.5  # calls a second: an even part below this makes a lone message wait longer than it lives


class RateAdjustment(SenderState):
    """Keeps the rate (calls a second) of every `RateControl`."""

    def _apply_rate_limit(self, rate_control: RateControl, rate: float) -> None:
        """Take a listed or reported limit (calls a second of all senders) over into the rate of this one."""
        if rate_control.limit:  # one absurd value must not lift the limit or stop this sender for long
            rate = min(max(rate, rate_control.limit / 4), rate_control.limit * 2)
        part = max(rate * INITIAL_HEADROOM / self.senders, min(rate, LONE_MESSAGE_RATE))
        if rate_control.rate is None or (not rate_control.cut_at and not rate_control.raised_at):
            rate_control.rate = max(
                part, min(rate, 2 * LONE_MESSAGE_RATE)
            )  # whether others use the limit shows in throttling
        elif rate_control.limit:
            # Scale the rate with the limit: else every sender would go on as before until it is throttled itself.
            least = min(rate_control.rate, rate * SAFE_RATE_SHARE / self.senders)
            rate_control.rate = min(rate, max(least, rate_control.rate * rate / rate_control.limit))
        rate_control.reference_rate, rate_control.limit = part, rate

    def _cut_rate(self, now: int, rate_control: RateControl, repeated: bool) -> None:
        """Halve the rate when the share of throttled answers in `REFUSAL_WINDOW` is above `REFUSAL_SHARE_LIMIT`."""
        record_recent(rate_control.answer_times, now, REFUSAL_WINDOW)
        record_recent(rate_control.throttle_times, now, REFUSAL_WINDOW)
        rate_control.bucket.tokens = 0.0  # tokens saved before the throttling no longer count
        # At a few calls a second a single throttled call may be chance or caused by another sender.
        lone = (
            len(rate_control.throttle_times) < 2
            and not repeated
            and (rate_control.rate or 0.0) * self.senders < rate_control.limit
        )
        if (
            len(rate_control.throttle_times) > REFUSAL_SHARE_LIMIT * len(rate_control.answer_times)
            and not lone
            and now - rate_control.cut_at >= REFUSAL_WINDOW
        ):
            recent = sum(sent >= now - REFUSAL_WINDOW for sent in rate_control.send_times) * SECOND / REFUSAL_WINDOW
            held_to = recent if rate_control.rate is None else rate_control.rate
            if self.many_senders:
                # A rate above what this sender sends would bound nothing, and its throttled calls use up the limit.
                since = max(
                    REFUSAL_WINDOW,
                    now
                    - (
                        rate_control.send_times[0]
                        if len(rate_control.send_times) > MIN_SENDS_FOR_RATE
                        else self.started_at
                    ),
                )
                recent = len(rate_control.send_times) * SECOND / since
                held_to = min(held_to, max(recent, rate_control.reference_rate))
                if rate_control.limit and rate_control.limit_left <= LIMIT_USED_UP:
                    # Throttled calls count against the limit: unless all senders fall back to their sure part, it
                    # stays used up.
                    held_to = 0.0
            rate_control.rate = max(self.min_rate, rate_control.limit * SAFE_RATE_SHARE / self.senders, held_to / 2)
            rate_control.reference_rate = rate_control.reference_rate or recent
            rate_control.cut_at = now
            rate_control.answer_times.clear()
            rate_control.throttle_times.clear()

    def _raise_rate(self, now: int, rate_control: RateControl) -> None:
        """After a completion: a step up for each interval without a cut or a raise, where the rate was a bound."""
        steps = (now - max(rate_control.raised_at, rate_control.cut_at)) // RATE_STEP_INTERVAL
        if rate_control.rate is not None and steps:
            if rate_control.tokens_ran_out or rate_control.rate < rate_control.reference_rate:
                if rate_control.limit:  # the reports tell whether others use it
                    steps = MAX_RATE_STEPS if rate_control.limit_left > LIMIT_HAS_ROOM else 1
                rate_control.rate += (
                    max(rate_control.reference_rate, self.min_rate) * RATE_STEP * min(MAX_RATE_STEPS, steps)
                )
                rate_control.rate = min(rate_control.rate, rate_control.limit or rate_control.rate)
            rate_control.tokens_ran_out, rate_control.raised_at = False, now
