"""Delivery of matches from a source to the member of one subscriber: what to send and resend. No clock, no I/O.

The member that the subscriber is connected to reports a position periodically (cumulative acknowledgement, as in
go-back-N): `received`, the last number that the member has, and `written`, the last one written to the subscriber.
Written items are retained for a while, because a subscriber that loses its connection returns, perhaps to another
member, with the cursor of what it has actually read. Used by `subscription_server.py`; times are microseconds.
"""

from collections import deque
from typing import NamedTuple

from cedarwick.events.streams import WINDOW, EvaluationStart, Item, Match, Outbox, approximate_bytes, position
from cedarwick.fleet.backoff import Backoff

REPORT_TIMEOUT = 6_000_000  # microseconds without a report after which a subscriber counts as disconnected
RESEND_AFTER = 300_000  # microseconds until unacknowledged items are sent again, plus a random backoff
MAX_RETAINED_ITEMS = 2 * WINDOW  # written items retained for a subscriber that reconnects
MAX_RETAINED_BYTES = 1 << 16  # approximate bytes of these items
NO_POSITION = -1  # the position of a subscriber that has received nothing from a source


class ReaderPosition(NamedTuple):
    """A subscriber's position in a source, as reported by its member."""

    member: str
    connected_at: int  # identifies the connection to that member; later connections have larger values
    received: int
    written: int
    has_room: bool = True  # whether the member accepts more items now


class MatchDelivery:
    """The delivery from one outbox to its subscriber. Times are microseconds of a monotonic clock."""

    def __init__(self, outbox: Outbox, seed: int) -> None:
        self.outbox = outbox
        self.retained: deque[Item] = deque()  # written items, the newest last
        self.retained_bytes = 0  # approximate bytes of `retained`
        self.dropped_up_to = NO_POSITION  # written items up to this number were dropped
        self.reported: ReaderPosition | None = None
        self.connected_until = 0  # microseconds
        self.next_send_at = 0
        self.backoff = Backoff(seed)

    def handle_report(self, now: int, report: ReaderPosition) -> None:
        """Apply a position report of the subscriber's member; reports of older connections are ignored."""
        previous = self.reported
        if previous is not None and previous.member == report.member:
            if report.connected_at < previous.connected_at:
                return
            if report.connected_at == previous.connected_at:  # reports may be reordered; a position only advances
                report = report._replace(
                    received=max(report.received, previous.received), written=max(report.written, previous.written)
                )
        if previous is None or previous != report:
            self.backoff.reset()
            self.next_send_at = 0
        self.reported, self.connected_until = report, now + REPORT_TIMEOUT
        self._retain_written(report.written)

    def disconnected(self, member: str) -> None:
        """Record that the subscriber is no longer connected to `member`."""
        if self.reported is not None and self.reported.member == member:
            self.connected_until = 0

    def is_connected(self, now: int) -> bool:
        """Whether the subscriber is connected, as far as is known at `now`."""
        return now < self.connected_until

    @property
    def all_written(self) -> bool:
        """Whether everything was written to the subscriber, so that nothing is left to send."""
        outbox = self.outbox
        last = position(self.retained[-1]) if self.retained else self.dropped_up_to
        behind = self.reported is not None and self.reported.received < last
        return not (behind or outbox.window or outbox.waiting or outbox.start or outbox.gap)

    def due_items(self, now: int) -> list[Item]:
        """The items to send now, after those that the member has received; empty until a resend is due."""
        # Without room at the member, items would be resent repeatedly, and the member would decode them for nothing.
        if not self.is_connected(now) or now < self.next_send_at or self.reported is None or not self.reported.has_room:
            return []
        items = self.items_after(self.reported.received)
        self.next_send_at = now + RESEND_AFTER + (self.backoff.next_wait() if items else 0)
        return items

    def items_after(self, cursor: int) -> list[Item]:
        """The items after a cursor, in order; an `EvaluationStart` first if items after the cursor were dropped."""
        items = [item for item in (*self.retained, *self.outbox.offer()) if position(item) > cursor]
        # The `EvaluationStart` reports the loss of items that were written to a broken connection and never read.
        return (
            [EvaluationStart(self.outbox.source, self.dropped_up_to + 1), *items]
            if cursor < self.dropped_up_to
            else items
        )

    def _retain_written(self, cursor: int) -> None:
        newly_written = [item for item in self.outbox.window if position(item) <= cursor]
        self.outbox.acknowledge(cursor)
        for item in newly_written:
            self.retained.append(item)
            self.retained_bytes += _item_bytes(item)
        while len(self.retained) > MAX_RETAINED_ITEMS or self.retained_bytes > MAX_RETAINED_BYTES:
            item = self.retained.popleft()
            self.retained_bytes -= _item_bytes(item)
            self.dropped_up_to = position(item)


def _item_bytes(item: Item) -> int:
    return approximate_bytes(item.event) if isinstance(item, Match) else 0
