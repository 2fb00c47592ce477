"""The handle of an accepted message: the protocol reports outcomes to it and asks whether an attempt may go.

Times are microseconds. `Sender.accept` and `Sender.restore` (see `policy`) make the handles.
"""

from collections.abc import Sequence

from cedarwick.decisions.health import HealthTracking
from cedarwick.decisions.interface import Outcome
from cedarwick.decisions.sender_state import BACKOFF_BASE, MANY_SENDERS, START_MARGIN_TICKS
from cedarwick.decisions.state import ASSUMED_LATENCY, NEVER, SECOND, Message

MAX_BACKOFF_DOUBLINGS = 16  # of the window from which a random backoff is drawn
BACKOFF_CAP = 60 * SECOND  # the longest window from which a random backoff is drawn
BROKEN_REUSE_LIMIT = 0.04  # a larger share of reused connections that break under a call


class Handle(Message):
    """A message that a sender has accepted and not closed yet."""

    __slots__ = ("sender",)
    sender: HealthTracking

    def attempt_ended(
        self,
        now: int,
        outcome: Outcome,
        attempt: int,
        receiver: int,
        duration: int,
        retry_after: int,
        last: bool,
        report: Sequence[float],
        reused_connection: bool = False,
    ) -> None:
        """Record the outcome of the running attempt, then close the message or schedule its retry.

        `duration` and `retry_after` are microseconds; `last` says that no retry may follow; `report` holds the values
        of the setting `report.columns`. Does nothing where no attempt is running.
        """
        sender = self.sender
        if not self.in_flight:
            return
        self.in_flight = False
        record = sender.receivers[receiver]
        stale = reused_connection and outcome is Outcome.RESET
        sender.broken_reuse_share += (stale - sender.broken_reuse_share) / MANY_SENDERS if reused_connection else 0.0
        sender.record_outcome(now, self, record, Outcome.MOOT if stale else outcome, duration, retry_after, report)
        if outcome in (Outcome.TIME_OUT, Outcome.RESET, Outcome.CANCELLED):
            self.doubtful_at = now
        if not outcome.never_ran and outcome is not Outcome.COMPLETED and not self.ran_at:
            self.ran_at, self.ran_zone = self.sent_at, record.zone
        self.cancelled_attempts += outcome is Outcome.CANCELLED
        if last or self.ended or outcome is Outcome.COMPLETED:
            sender.close(now, self)
            return
        window = min(BACKOFF_CAP, BACKOFF_BASE << min(self.attempts - 1, MAX_BACKOFF_DOUBLINGS))
        # A call that broke on a reused idle connection says nothing about the receiver's health: retry without backoff.
        wait = (
            retry_after
            if retry_after and not sender.many_senders
            else retry_after + sender.random_source.randrange(window)
        )
        self.not_before = now + (1 if outcome is Outcome.MOOT or stale else wait)
        # The backoff must not pass the last useful start: there the message would be given up with attempts left.
        useful = self.deadline - round(sender.destinations[self.destination].min_latency or ASSUMED_LATENCY)
        self.not_before = max(
            now, min(self.not_before, min(self.repeat_until(), useful) - sender.tick * START_MARGIN_TICKS)
        )
        sender.hold(now, self)

    def withdrawn(self, now: int) -> None:
        """The client has given the message up; a running attempt still ends with an outcome."""
        if not (self.ended or self.in_flight):
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
        return record.ready and record.rate_control.wait_until <= now < self.send_by() and not self.ended

    def needs_new_connection(self) -> bool:
        """Whether an ordered attempt may not reuse a connection.

        True for at-most-once messages where reused connections break often: such a break loses the message, since it
        may have run and must not be repeated.
        """
        return self.priority_class.at_most_once and self.sender.broken_reuse_share > BROKEN_REUSE_LIMIT

    def send_by(self) -> int:
        """When the last byte of an ordered attempt must have gone (microseconds).

        A receiver's deduplication window counts from a call's last byte: one that ends later could run twice.
        """
        return min(self.deadline, self.repeat_until())

    def repeat_until(self) -> int:
        """Until when (microseconds) a retry cannot take effect twice.

        NEVER where no attempt can have run, or the message is idempotent.
        """
        return (
            NEVER
            if self.priority_class.idempotent or not self.ran_at
            else self.ran_at + self.priority_class.dedup_window
        )
