"""Rate control for each destination: listed and reported limits, cuts after throttling, and raises.

Rates are calls a second, times microseconds. `health` and `endpoint_updates` call it.
"""

from cedarwick.decisions.sender_state import CERTAIN_SHARE, REFUSAL_WINDOW, SenderState
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

    def _list_rate(self, pace: RateControl, rate: float) -> None:
        """Take a listed or reported limit (calls a second of all senders) over into the rate of this one."""
        if pace.limit:  # one absurd value must not lift the limit or stop this sender for long
            rate = min(max(rate, pace.limit / 4), pace.limit * 2)
        part = max(rate * INITIAL_HEADROOM / self.senders, min(rate, LONE_MESSAGE_RATE))
        if pace.rate is None or (not pace.cut_at and not pace.raised_at):
            pace.rate = max(part, min(rate, 2 * LONE_MESSAGE_RATE))  # whether others use the limit shows in throttling
        elif pace.limit:
            # Scale the rate with the limit: else every sender would go on as before until it is throttled itself.
            least = min(pace.rate, rate * CERTAIN_SHARE / self.senders)
            pace.rate = min(rate, max(least, pace.rate * rate / pace.limit))
        pace.reference, pace.limit = part, rate

    def _throttle(self, now: int, pace: RateControl, repeated: bool) -> None:
        """Halve the rate when the share of throttled answers in `REFUSAL_WINDOW` is above `REFUSAL_SHARE_LIMIT`."""
        record_recent(pace.answers, now, REFUSAL_WINDOW)
        record_recent(pace.throttles, now, REFUSAL_WINDOW)
        pace.bucket.tokens = 0.0  # tokens saved before the throttling no longer count
        # At a few calls a second a single throttled call may be chance or caused by another sender.
        lone = len(pace.throttles) < 2 and not repeated and (pace.rate or 0.0) * self.senders < pace.limit
        if (
            len(pace.throttles) > REFUSAL_SHARE_LIMIT * len(pace.answers)
            and not lone
            and now - pace.cut_at >= REFUSAL_WINDOW
        ):
            recent = sum(sent >= now - REFUSAL_WINDOW for sent in pace.sends) * SECOND / REFUSAL_WINDOW
            held_to = recent if pace.rate is None else pace.rate
            if self.many:
                # A rate above what this sender sends would bound nothing, and its throttled calls use up the limit.
                since = max(
                    REFUSAL_WINDOW, now - (pace.sends[0] if len(pace.sends) > MIN_SENDS_FOR_RATE else self.started)
                )
                recent = len(pace.sends) * SECOND / since
                held_to = min(held_to, max(recent, pace.reference))
                if pace.limit and pace.left <= LIMIT_USED_UP:
                    # Throttled calls count against the limit: unless all senders fall back to their sure part, it
                    # stays used up.
                    held_to = 0.0
            pace.rate = max(self.min_rate, pace.limit * CERTAIN_SHARE / self.senders, held_to / 2)
            pace.reference = pace.reference or recent
            pace.cut_at = now
            pace.answers.clear()
            pace.throttles.clear()

    def _raise_rate(self, now: int, pace: RateControl) -> None:
        """After a completion: a step up for each interval without a cut or a raise, where the rate was a bound."""
        steps = (now - max(pace.raised_at, pace.cut_at)) // RATE_STEP_INTERVAL
        if pace.rate is not None and steps:
            if pace.tokens_ran_out or pace.rate < pace.reference:
                if pace.limit:  # the reports tell whether others use it
                    steps = MAX_RATE_STEPS if pace.left > LIMIT_HAS_ROOM else 1
                pace.rate += max(pace.reference, self.min_rate) * RATE_STEP * min(MAX_RATE_STEPS, steps)
                pace.rate = min(pace.rate, pace.limit or pace.rate)
            pace.tokens_ran_out, pace.raised_at = False, now
