"""A subscriber that is connected here: what has come for it, what it was given, and its lines; no I/O."""

from collections import deque
from collections.abc import Iterable, Mapping

import msgspec

from cedarwick.errors import CedarwickError
from cedarwick.events.match_delivery import NOWHERE, Reached
from cedarwick.events.streams import Ended, Inbox, Item, Match, position

MAX_PENDING = 1000  # items that wait to be written; beyond that nothing is taken, and the sources keep it
LINES_BYTES = 1 << 15  # bytes that are written at once, about


class Reader:
    """One connection of a subscriber. `over` says why it ends, once it does."""

    def __init__(self, name: str, began: int, cursors: Mapping[str, int]) -> None:
        self.name = name
        self.began = began
        self.inbox = Inbox(cursors)
        self.given = dict(cursors)  # by source: the last number that was written
        self.pending: deque[Item | Ended] = deque()
        self.over: CedarwickError | None = None

    def take(self, source: str, after: int, items: Iterable[Item]) -> bool:
        """Items of a source, which follow the number `after` with nothing missing; whether they were looked at."""
        # Danger: what was sent for another connection may lack what this one has not had.
        if self.over is not None or after > self.inbox.cursors.get(source, NOWHERE):
            return False
        # Danger: a subscriber that reads slowly would take this member's memory.
        if not self.room:
            return False
        self.pending.extend(self.inbox.receive(source, items))
        return True

    @property
    def room(self) -> bool:
        """Whether more is taken now."""
        return len(self.pending) < MAX_PENDING

    def reached(self, member: str, source: str) -> Reached:
        """How far it is with a source, as `member`, where it is connected, reports it."""
        return Reached(
            member, self.began, self.inbox.cursors.get(source, NOWHERE), self.given.get(source, NOWHERE), self.room
        )

    def end(self, source: str) -> None:
        """The source has ended for good: queue the line that says so behind all that has come from it."""
        self.pending.extend(self.inbox.end(source))

    def lines(self) -> tuple[bytes, dict[str, int]]:
        """The next lines, which are not pending any more, and the last number of each source among them."""
        data, reached = bytearray(), dict[str, int]()
        while self.pending and len(data) < LINES_BYTES:
            item = self.pending.popleft()
            data += msgspec.json.encode(item) + b"\n"
            if isinstance(item, Ended):
                reached.pop(item.source, None)
                self.given.pop(item.source, None)
            else:
                reached[item.event.source if isinstance(item, Match) else item.source] = position(item)
        return bytes(data), reached

    def wrote(self, reached: Mapping[str, int]) -> None:
        """Lines were written to the subscriber."""
        self.given.update(reached)
