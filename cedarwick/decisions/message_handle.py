"""The handle of an accepted message: the caller reports outcomes to it and asks whether an attempt may be sent.

Times are in microseconds. `Sender.accept` and `Sender.restore` (see `policy`) create the handles.
"""

from collections.abc import Sequence

from cedarwick.decisions.health import HealthTracking
from cedarwick.decisions.interface import Outcome
from cedarwick.decisions.sender_state import BACKOFF_BASE, MANY_SENDERS, START_MARGIN_TICKS
from cedarwick.decisions.state import ASSUMED_LATENCY, NEVER, SECOND, Message

MAX_BACKOFF_DOUBLINGS = 16  # doublings of the window of the random backoff
BACKOFF_CAP = 60 * SECOND  # microseconds; the longest window of the random backoff
# Above this share of reused connections that break during a call, at-most-once messages get new connections.
BROKEN_REUSE_LIMIT = 0.04


class Handle(Message):
    """An accepted message without a final answer."""

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
        """Record the outcome of the attempt in flight, then close the message or schedule its retry.

        `duration` and `retry_after` are in microseconds; `last` means that no retry may follow; `report` holds the
        values of the columns in the setting `report.columns`. Does nothing if no attempt is in flight.
        """
        sender = self.sender
        if not self.in_flight:
            return
        self.in_flight = False
        record = sender.receivers[receiver]
        broke_on_reuse = reused_connection and outcome is Outcome.RESET
        sender.broken_reuse_share += (
            (broke_on_reuse - sender.broken_reuse_share) / MANY_SENDERS if reused_connection else 0.0
        )
        sender.record_outcome(
            now, self, record, Outcome.MOOT if broke_on_reuse else outcome, duration, retry_after, report
        )
        if outcome in (Outcome.TIME_OUT, Outcome.RESET, Outcome.CANCELLED):
            self.doubtful_at = now
        if not outcome.never_ran and outcome is not Outcome.COMPLETED and not self.ran_at:
            self.ran_at, self.ran_zone = self.sent_at, record.zone
        self.cancelled_attempts += outcome is Outcome.CANCELLED
        if last or self.ended or outcome is Outcome.COMPLETED:
            sender.close(now, self)
            return
        window = min(BACKOFF_CAP, BACKOFF_BASE << min(self.attempts - 1, MAX_BACKOFF_DOUBLINGS))
        # A reset on a reused idle connection says nothing about the receiver's health: retry without backoff.
        wait = (
            retry_after
            if retry_after and not sender.many_senders
            else retry_after + sender.random_source.randrange(window)
        )
        self.not_before = now + (1 if outcome is Outcome.MOOT or broke_on_reuse else wait)
        # The backoff must end before the latest useful start; otherwise the message is given up with attempts left.
        latest_useful_start = self.deadline - round(
            sender.destinations[self.destination].min_latency or ASSUMED_LATENCY
        )
        self.not_before = max(
            now, min(self.not_before, min(self.retry_until(), latest_useful_start) - sender.tick * START_MARGIN_TICKS)
        )
        sender.hold(now, self)

    def withdrawn(self, now: int) -> None:
        """End the message because its client no longer waits; an attempt in flight still ends with an outcome."""
        if not (self.ended or self.in_flight):
            self.sender.close(now, self)
        self.ended = True

    def attempt_not_sent(self) -> None:
        """Do not count the attempt whose outcome was just recorded: it was held back before its first byte."""
        self.attempts -= 1

    def may_start(self, now: int, receiver: int) -> bool:
        """Whether a requested attempt may still be sent; asked before its first byte.

        While its connection was being opened, a Retry-After wait may have been received, the receiver may have started
        draining, or the message may have ended.
        """
        record = self.sender.receivers[receiver]
        return record.ready and record.rate_control.wait_until <= now < self.send_by() and not self.ended

    def needs_new_connection(self) -> bool:
        """Whether a requested attempt must not reuse a connection.

        True for at-most-once messages while reused connections break often: a break loses the message, since it may
        have run and must not be sent again.
        """
        return self.priority_class.at_most_once and self.sender.broken_reuse_share > BROKEN_REUSE_LIMIT

    def send_by(self) -> int:
        """Return when the last byte of a requested attempt must have been sent (microseconds).

        A receiver's deduplication window counts from the last byte of a call: one that ends later could run twice.
        """
        return min(self.deadline, self.retry_until())

    def retry_until(self) -> int:
        """Return until when (microseconds) a retry cannot take effect twice.

        NEVER if no attempt may have run, or if the message is idempotent.
        """
        return (
            NEVER
            if self.priority_class.idempotent or not self.ran_at
            else self.ran_at + self.priority_class.dedup_window
        )
