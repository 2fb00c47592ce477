"""How fast each destination is sent to: listed and reported limits, cuts after refusals, and raises."""

from cedarwick.decisions.sender_state import PART, SPAN, SenderState
from cedarwick.decisions.state import SECOND, RateControl, record_recent

THROTTLED = 0.15  # a larger share of refusals as full halves the pace: one in seven is more than chance
STEP = 0.05  # of the reference rate, for each half second that stays clean
STEP_EVERY = SECOND // 2
GATHER = 4  # attempts at least that tell the recent send rate
SPENT = 0.05  # of the limit left, or less: it is used up by all senders together
ROOM = 0.5  # where reports tell that more than this share of the limit is left, others do not use it
MOST_STEPS = 4  # and so many are taken at once; or those of the clean time, where no limit is known
HEADROOM = 1.2  # a sender starts at this multiple of its even part of a listed rate
LONE = 0.5  # calls a second: an even part below this makes a lone message wait longer than it lives


class RateAdjustment(SenderState):
    """Keeps the rate (calls a second) of every `RateControl`."""

    def _list_rate(self, pace: RateControl, rate: float) -> None:
        if pace.limit:  # Danger: a single absurd figure would free this sender, or stop it for long.
            rate = min(max(rate, pace.limit / 4), pace.limit * 2)
        part = max(rate * HEADROOM / self.senders, min(rate, LONE))
        if pace.rate is None or (not pace.cut_at and not pace.raised_at):
            pace.rate = max(part, min(rate, 2 * LONE))  # whether it is crowded shows in refusals
        elif pace.limit:
            # Danger: at a lowered limit every sender goes on as before until it has been refused by itself.
            least = min(pace.rate, rate * PART / self.senders)
            pace.rate = min(rate, max(least, pace.rate * rate / pace.limit))
        pace.reference, pace.limit = part, rate

    def _throttle(self, now: int, pace: RateControl, repeated: bool) -> None:
        """Halve the pace when the share of refusals over the span is past the threshold."""
        record_recent(pace.answers, now, SPAN)
        record_recent(pace.fulls, now, SPAN)
        pace.bucket.tokens = 0.0  # what was saved up before the refusal is not there any more
        # Danger: with a few calls a second one refusal is chance, or another sender's doing.
        lone = len(pace.fulls) < 2 and not repeated and (pace.rate or 0.0) * self.senders < pace.limit
        if len(pace.fulls) > THROTTLED * len(pace.answers) and not lone and now - pace.cut_at >= SPAN:
            recent = sum(sent >= now - SPAN for sent in pace.sends) * SECOND / SPAN
            held_to = recent if pace.rate is None else pace.rate
            if self.many:
                # Danger: a pace above what this sender sends binds nothing: refused calls use up the limit.
                since = max(SPAN, now - (pace.sends[0] if len(pace.sends) > GATHER else self.started))
                recent = len(pace.sends) * SECOND / since
                held_to = min(held_to, max(recent, pace.reference))
                if pace.limit and pace.left <= SPENT:
                    # Danger: where refused calls use up the limit, all senders' next ones keep it used up.
                    held_to = 0.0
            pace.rate = max(self.slowest, pace.limit * PART / self.senders, held_to / 2)
            pace.reference = pace.reference or recent
            pace.cut_at = now
            pace.answers.clear()
            pace.fulls.clear()

    def _raise_rate(self, now: int, pace: RateControl) -> None:
        """After a completion: a step up for each interval without a cut or a raise, where the rate was a bound."""
        steps = (now - max(pace.raised_at, pace.cut_at)) // STEP_EVERY
        if pace.rate is not None and steps:
            if pace.short or pace.rate < pace.reference:
                if pace.limit:  # the reports tell whether others use it
                    steps = MOST_STEPS if pace.left > ROOM else 1
                pace.rate += max(pace.reference, self.slowest) * STEP * min(MOST_STEPS, steps)
                pace.rate = min(pace.rate, pace.limit or pace.rate)
            pace.short, pace.raised_at = False, now
