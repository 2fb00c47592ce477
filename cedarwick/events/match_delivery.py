"""What a source still owes one subscriber, and what is to be sent to the member where it is. No clock, no I/O.

The subscriber's member says again and again how far it is (a receiver that tells the sender its place, as in
go-back-N): `held`, the last number that has come there, and `written`, the last that the subscriber was given. What
was written is kept a little longer, since a subscriber that loses its connection comes back, perhaps to another
member, with the cursor of what it has truly read.
"""

from collections import deque
from typing import NamedTuple

from cedarwick.events.streams import WINDOW, From, Item, Match, Outbox, position, weight
from cedarwick.fleet.backoff import Backoff

PRESENCE_TIMEOUT = 6_000_000  # microseconds: a subscriber of which nothing was heard for so long is taken for gone
RESEND_AFTER = 300_000  # microseconds until what has not arrived is sent again, and a drawn wait on top
MAX_TRAIL_ITEMS = 2 * WINDOW  # written items that stay for a subscriber that comes back
MAX_TRAIL_BYTES = 1 << 16  # of these items, about
NOWHERE = -1  # the place of a subscriber that has nothing of a source


class Reached(NamedTuple):
    """A subscriber's place in a source, by the word of the member where it is."""

    member: str
    began: int  # its connection there: a later one is the larger
    held: int
    written: int
    room: bool = True  # whether more may come now


class MatchDelivery:
    """The delivery from one outbox to its subscriber. Times are microseconds of a clock that never goes back."""

    def __init__(self, outbox: Outbox, seed: int) -> None:
        self.outbox = outbox
        self.trail: deque[Item] = deque()  # written, the newest last
        self.bytes = 0  # of the trail
        self.dropped_up_to = NOWHERE  # written items up to this number were dropped
        self.reader: Reached | None = None
        self.present_until = 0  # microseconds
        self.next_at = 0
        self.waits = Backoff(seed)

    def reader_reached(self, now: int, reached: Reached) -> None:
        """The subscriber's member says how far it is; what an older connection had is of no interest any more."""
        before = self.reader
        if before is not None and before.member == reached.member:
            if reached.began < before.began:
                return
            if reached.began == before.began:  # Danger: peer messages overtake one another; a place only moves on
                reached = reached._replace(
                    held=max(reached.held, before.held), written=max(reached.written, before.written)
                )
        if before is None or before != reached:
            self.waits.reset()
            self.next_at = 0
        self.reader, self.present_until = reached, now + PRESENCE_TIMEOUT
        self._written(reached.written)

    def disconnected(self, member: str) -> None:
        """Nobody is connected there any more."""
        if self.reader is not None and self.reader.member == member:
            self.present_until = 0

    def present(self, now: int) -> bool:
        """Whether the subscriber is there to be sent to."""
        return now < self.present_until

    @property
    def done(self) -> bool:
        """Whether the subscriber has everything, and everything was written."""
        outbox = self.outbox
        last = position(self.trail[-1]) if self.trail else self.dropped_up_to
        behind = self.reader is not None and self.reader.held < last
        return not (behind or outbox.window or outbox.waiting or outbox.beginning or outbox.gap)

    def send(self, now: int) -> list[Item]:
        """What is to be sent now, right after what is held there; nothing while the last is on its way."""
        # Danger: what a slow subscriber has no room for would cross again and again, and cost its member the reading.
        if not self.present(now) or now < self.next_at or self.reader is None or not self.reader.room:
            return []
        found = self.after(self.reader.held)
        self.next_at = now + RESEND_AFTER + (self.waits.next() if found else 0)
        return found

    def after(self, cursor: int) -> list[Item]:
        """The next items in their order; `From` first, where items after the cursor were dropped."""
        found = [item for item in (*self.trail, *self.outbox.offer()) if position(item) > cursor]
        # Danger: without it what was written to a lost connection and never read would be missing in silence.
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
