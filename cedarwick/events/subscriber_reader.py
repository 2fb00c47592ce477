"""A subscriber connected to this member: the items for it, its cursors and the lines to write. No I/O.

Used by `subscription_server.py`, which writes the lines to the socket.
"""

from collections import deque
from collections.abc import Iterable, Mapping

import msgspec

from cedarwick.errors import CedarwickError
from cedarwick.events.match_delivery import NOWHERE, Reached
from cedarwick.events.streams import Ended, Inbox, Item, Match, position

MAX_PENDING = 1000  # items waiting to be written; beyond that none are accepted, and the sources retain them
LINES_BYTES = 1 << 15  # approximate bytes written at once


class Reader:
    """One connection of a subscriber. `over` is the reason for its end, once it ends."""

    def __init__(self, name: str, began: int, cursors: Mapping[str, int]) -> None:
        self.name = name
        self.began = began
        self.inbox = Inbox(cursors)
        self.given = dict(cursors)  # by source: the last number that was written
        self.pending: deque[Item | Ended] = deque()
        self.over: CedarwickError | None = None

    def take(self, source: str, after: int, items: Iterable[Item]) -> bool:
        """Accept items of a source that follow number `after` without a gap; returns False if they were refused."""
        # Items sent for an earlier connection may leave out some that this one has not received.
        if self.over is not None or after > self.inbox.cursors.get(source, NOWHERE):
            return False
        # Without a limit, a slow subscriber would use up this member's memory.
        if not self.room:
            return False
        self.pending.extend(self.inbox.receive(source, items))
        return True

    @property
    def room(self) -> bool:
        """Whether more items are accepted now."""
        return len(self.pending) < MAX_PENDING

    def reached(self, member: str, source: str) -> Reached:
        """Its position in a source, as reported by `member`, the member to which it is connected."""
        return Reached(
            member, self.began, self.inbox.cursors.get(source, NOWHERE), self.given.get(source, NOWHERE), self.room
        )

    def end(self, source: str) -> None:
        """Queue the line that reports the end of a source, after all items received from it."""
        self.pending.extend(self.inbox.end(source))

    def lines(self) -> tuple[bytes, dict[str, int]]:
        """Take the next lines to write from the queue; returns them with the last number of each source in them."""
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
        """Note the positions of lines that were written to the subscriber."""
        self.given.update(reached)
