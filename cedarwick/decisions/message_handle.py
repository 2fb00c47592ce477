"""A message in a sender's care, as the protocol in front holds it: outcomes in, clearances out."""

from collections.abc import Sequence

from cedarwick.decisions.health import HealthTracking
from cedarwick.decisions.interface import Outcome
from cedarwick.decisions.sender_state import BACKOFF_BASE, MANY
from cedarwick.decisions.state import NEVER, SECOND, Message

BACKOFF_CAP = 60 * SECOND  # the longest window that a random wait is drawn from
BROKEN_REUSE_LIMIT = 0.04  # a larger share of reused connections that break under a call


class Handle(Message):
    """A message in a sender's care."""

    __slots__ = ("sender",)
    sender: HealthTracking

    def attempt_ended(
        self,
        now: int,
        outcome: Outcome,
        attempt: int,
        receiver: int,
        took: int,
        retry_after: int,
        last: bool,
        report: Sequence[float],
        reused_connection: bool = False,
    ) -> None:
        """Record the outcome of the attempt that was out and settle what may follow it."""
        sender = self.sender
        if not self.out:
            return
        self.out = False
        record = sender.receivers[receiver]
        stale = reused_connection and outcome is Outcome.RESET
        sender.broken_reuse_share += (stale - sender.broken_reuse_share) / MANY if reused_connection else 0.0
        sender.learn(now, self, record, Outcome.MOOT if stale else outcome, took, retry_after, report)
        if outcome in (Outcome.TIME_OUT, Outcome.RESET, Outcome.CANCELLED):
            self.doubtful_at = now
        if not outcome.never_ran and outcome is not Outcome.COMPLETED and not self.ran_at:
            self.ran_at, self.ran_zone = self.sent_at, record.zone
        self.cancelled += outcome is Outcome.CANCELLED
        if last or self.ended or outcome is Outcome.COMPLETED:
            sender.close(now, self)
            return
        window = min(BACKOFF_CAP, BACKOFF_BASE << min(self.attempts - 1, 16))
        # Danger: a receiver closes an idle connection and the next call breaks: no evidence, so no backing off.
        wait = retry_after if retry_after and not sender.many else retry_after + sender.chance.below(window)
        self.due = now + (1 if outcome is Outcome.MOOT or stale else wait)
        # Danger: past its last useful start it is given up at once, with attempts and most of its time left.
        useful = self.deadline - round(sender.destinations[self.destination].quickest or SECOND / 2)
        self.due = max(now, min(self.due, min(self.repeat_until(), useful) - sender.tick * 4))
        sender.hold(now, self)

    def withdrawn(self, now: int) -> None:
        """Nobody wants it any more; an attempt that is out still ends."""
        if not (self.ended or self.out):
            self.sender.close(now, self)
        self.ended = True

    def attempt_not_sent(self) -> None:
        """The attempt whose outcome was just recorded was held back before its first byte: it does not count."""
        self.attempts -= 1

    def may_start(self, now: int, receiver: int) -> bool:
        """Whether an ordered attempt may still go, asked before its first byte.

        While its connection came up, a Retry-After wait, a drain or the end of the message may have become known.
        """
        record = self.sender.receivers[receiver]
        return record.ready and record.pace.wait_until <= now < self.send_by() and not self.ended

    def needs_new_connection(self) -> bool:
        """Whether an ordered attempt may not reuse a connection.

        Danger: an at-most-once message is lost when the reused connection breaks on which it went.
        """
        return self.priority_class.at_most_once and self.sender.broken_reuse_share > BROKEN_REUSE_LIMIT

    def send_by(self) -> int:
        """When the last byte of an ordered attempt must have gone (microseconds).

        Danger: a receiver counts a call from its last byte, and forgets its number in time.
        """
        return min(self.deadline, self.repeat_until())

    def repeat_until(self) -> int:
        """Until when a further attempt cannot take effect twice; NEVER where none has run or all are harmless."""
        return NEVER if self.priority_class.idempotent or not self.ran_at else self.ran_at + self.priority_class.window
