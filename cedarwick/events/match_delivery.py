"""Delivery of matches from a source to the member of one subscriber: what to send and resend. No clock, no I/O.

The subscriber's member reports its position again and again (cumulative acknowledgement, as in go-back-N): `held`, the
last number received there, and `written`, the last written to the subscriber. Written items are retained for a while,
because a subscriber that loses its connection returns, perhaps to another member, with the cursor of what it has
actually read. Used by `subscription_server.py`; times are microseconds.
"""

from collections import deque
from typing import NamedTuple

from cedarwick.events.streams import WINDOW, From, Item, Match, Outbox, position, weight
from cedarwick.fleet.backoff import Backoff

PRESENCE_TIMEOUT = 6_000_000  # microseconds without a report after which a subscriber counts as gone
RESEND_AFTER = 300_000  # microseconds until unacknowledged items are sent again, plus a random back-off
MAX_TRAIL_ITEMS = 2 * WINDOW  # written items retained for a subscriber that returns
MAX_TRAIL_BYTES = 1 << 16  # approximate bytes of these items
NOWHERE = -1  # the position of a subscriber that has nothing of a source


class Reached(NamedTuple):
    """A subscriber's position in a source, as reported by its member."""

    member: str
    began: int  # identifies its connection there; later ones are larger
    held: int
    written: int
    room: bool = True  # whether the member accepts more now


class MatchDelivery:
    """The delivery from one outbox to its subscriber. Times are microseconds of a clock that never goes back."""

    def __init__(self, outbox: Outbox, seed: int) -> None:
        self.outbox = outbox
        self.trail: deque[Item] = deque()  # written, the newest last
        self.bytes = 0  # approximate bytes of the trail
        self.dropped_up_to = NOWHERE  # written items up to this number were dropped
        self.reader: Reached | None = None
        self.present_until = 0  # microseconds
        self.next_at = 0
        self.waits = Backoff(seed)

    def reader_reached(self, now: int, reached: Reached) -> None:
        """Take in a position report of the subscriber's member; reports of older connections are ignored."""
        before = self.reader
        if before is not None and before.member == reached.member:
            if reached.began < before.began:
                return
            if reached.began == before.began:  # reports may arrive out of order; a position only advances
                reached = reached._replace(
                    held=max(reached.held, before.held), written=max(reached.written, before.written)
                )
        if before is None or before != reached:
            self.waits.reset()
            self.next_at = 0
        self.reader, self.present_until = reached, now + PRESENCE_TIMEOUT
        self._written(reached.written)

    def disconnected(self, member: str) -> None:
        """Note that the subscriber is no longer connected to this member."""
        if self.reader is not None and self.reader.member == member:
            self.present_until = 0

    def present(self, now: int) -> bool:
        """Whether the subscriber is connected, as far as is known at `now`."""
        return now < self.present_until

    @property
    def done(self) -> bool:
        """Whether the subscriber has been written everything, so that nothing is left to send."""
        outbox = self.outbox
        last = position(self.trail[-1]) if self.trail else self.dropped_up_to
        behind = self.reader is not None and self.reader.held < last
        return not (behind or outbox.window or outbox.waiting or outbox.beginning or outbox.gap)

    def send(self, now: int) -> list[Item]:
        """The items to send now, following those held at the member; empty until a resend is due."""
        # Items that a slow subscriber has no room for would be sent again and again, and cost its member the decoding.
        if not self.present(now) or now < self.next_at or self.reader is None or not self.reader.room:
            return []
        found = self.after(self.reader.held)
        self.next_at = now + RESEND_AFTER + (self.waits.next_wait() if found else 0)
        return found

    def after(self, cursor: int) -> list[Item]:
        """The items after a cursor, in order; a `From` first if items after the cursor were dropped."""
        found = [item for item in (*self.trail, *self.outbox.offer()) if position(item) > cursor]
        # The `From` reports the gap: items written to a lost connection and never read would otherwise vanish silently.
        return [From(self.outbox.source, self.dropped_up_to + 1), *found] if cursor < self.dropped_up_to else found

    def _written(self, cursor: int) -> None:
        passed = [item for item in self.outbox.window if position(item) <= cursor]
        self.outbox.seen(cursor)
        for item in passed:
            self.trail.append(item)
            self.bytes += _size(item)
        while len(self.trail) > MAX_TRAIL_ITEMS or self.bytes > MAX_TRAIL_BYTES:
            item = self.trail.popleft()
            self.bytes -= _size(item)
            self.dropped_up_to = position(item)


def _size(item: Item) -> int:
    return weight(item.event) if isinstance(item, Match) else 0
