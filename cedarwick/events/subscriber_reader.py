"""A subscriber connected to this member: the items for it, its cursors and the lines to write. No I/O.

Used by `subscription_server.py`, which writes the lines to the socket.
"""

from collections import deque
from collections.abc import Iterable, Mapping

import msgspec

from cedarwick.errors import CedarwickError
from cedarwick.events.match_delivery import NO_POSITION, ReaderPosition
from cedarwick.events.streams import Inbox, Item, Match, SourceEnded, position

MAX_PENDING = 1000  # items waiting to be written; beyond that none are accepted, and the sources retain them
LINES_BYTES = 1 << 15  # approximate bytes written at once


class Reader:
    """One connection of a subscriber. `over` is the reason for its end, once it ends."""

    def __init__(self, name: str, connected_at: int, cursors: Mapping[str, int]) -> None:
        self.name = name
        self.connected_at = connected_at
        self.inbox = Inbox(cursors)
        self.written = dict(cursors)  # by source: the last number that was written
        self.pending: deque[Item | SourceEnded] = deque()
        self.end_reason: CedarwickError | None = None

    def accept(self, source: str, after: int, items: Iterable[Item]) -> bool:
        """Accept items of a source that follow number `after` without a gap; returns False if they were refused."""
        # Items sent for an earlier connection may leave out some that this one has not received.
        if self.end_reason is not None or after > self.inbox.cursors.get(source, NO_POSITION):
            return False
        # Without a limit, a slow subscriber would use up this member's memory.
        if not self.has_room:
            return False
        self.pending.extend(self.inbox.receive(source, items))
        return True

    @property
    def has_room(self) -> bool:
        """Whether more items are accepted now."""
        return len(self.pending) < MAX_PENDING

    def position_in(self, member: str, source: str) -> ReaderPosition:
        """Its position in a source, as reported by `member`, the member to which it is connected."""
        return ReaderPosition(
            member,
            self.connected_at,
            self.inbox.cursors.get(source, NO_POSITION),
            self.written.get(source, NO_POSITION),
            self.has_room,
        )

    def end_source(self, source: str) -> None:
        """Queue the line that reports the end of a source, after all items received from it."""
        self.pending.extend(self.inbox.end_source(source))

    def take_lines(self) -> tuple[bytes, dict[str, int]]:
        """Take the next lines to write from the queue; returns them with the last number of each source in them."""
        data, cursors = bytearray(), dict[str, int]()
        while self.pending and len(data) < LINES_BYTES:
            item = self.pending.popleft()
            data += msgspec.json.encode(item) + b"\n"
            if isinstance(item, SourceEnded):
                cursors.pop(item.source, None)
                self.written.pop(item.source, None)
            else:
                cursors[item.event.source if isinstance(item, Match) else item.source] = position(item)
        return bytes(data), cursors

    def mark_written(self, cursors: Mapping[str, int]) -> None:
        """Note the positions of lines that were written to the subscriber."""
        self.written.update(cursors)
