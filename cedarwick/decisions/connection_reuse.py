"""Connection reuse: for how long a connection must be quiet after an answer before it may carry another call.

An HTTP/1.1 answer does not name its request: the sender takes it for the answer to the call in flight on the
connection. A receiver, or a device on the way, may write an answer twice. If the copy comes while the connection
carries no call, it shows itself, and the connection is closed. If it comes while the connection carries the next call,
it cannot be told from the answer to that call. So no call is sent before the time in which a copy may come is over.

Times are in microseconds.
"""

from typing import NamedTuple

from cedarwick.decisions.state import SECOND

MIN_QUIET_PERIOD = SECOND // 10
# For messages that are sent at most once: a wrong answer cannot be put right by another attempt.
AT_MOST_ONCE_QUIET_PERIOD = SECOND // 4
# The quiet period is this multiple of the longest time from an answer to its copy that was seen.
QUIET_PERIOD_PER_DELAY = 4
# The longest quiet period that copies at other receivers can cause: one partner must not cost all of them their reuse.
MAX_SHARED_QUIET_PERIOD = SECOND
EVIDENCE_LIFETIME = 600 * SECOND  # for which a copy that was seen counts
MAX_QUIET_WAIT = SECOND // 4  # a call waits no longer for the end of a quiet period; then it opens a connection


class RepeatedAnswer(NamedTuple):
    """The latest of the copies of answers that were seen at one receiver."""

    delay: int  # the longest time from an answer to its copy
    seen_at: int  # when the last copy was seen


class ConnectionReuse:
    """Decides when a connection may carry another call, from the copies of answers that were seen."""

    def __init__(self) -> None:
        self.repeated_answers: dict[int, RepeatedAnswer] = {}  # by receiver

    def quiet_period(self, now: int, receiver: int, at_most_once: bool) -> int:
        """Return how long a connection to the receiver must be quiet after an answer before its next call."""
        least = AT_MOST_ONCE_QUIET_PERIOD if at_most_once else MIN_QUIET_PERIOD
        if not self.repeated_answers:
            return least
        self._forget_old_evidence(now)
        own = self.repeated_answers.get(receiver, RepeatedAnswer(0, 0)).delay
        return max(least, own * QUIET_PERIOD_PER_DELAY, self._shared_quiet_period())

    def answer_repeated(self, now: int, receiver: int, delay: int) -> None:
        """Record that a copy of an answer of a receiver was seen `delay` microseconds after the answer."""
        earlier = self.repeated_answers.get(receiver, RepeatedAnswer(0, 0))
        self.repeated_answers[receiver] = RepeatedAnswer(max(delay, earlier.delay), now)

    def _shared_quiet_period(self) -> int:
        """The quiet period for receivers without copies: copies at two receivers may come from a device of ours."""
        delays = sorted((each.delay for each in self.repeated_answers.values()), reverse=True)
        return min(MAX_SHARED_QUIET_PERIOD, delays[1] * QUIET_PERIOD_PER_DELAY) if len(delays) > 1 else 0

    def _forget_old_evidence(self, now: int) -> None:
        for receiver, each in list(self.repeated_answers.items()):
            if now - each.seen_at > EVIDENCE_LIFETIME:
                del self.repeated_answers[receiver]
