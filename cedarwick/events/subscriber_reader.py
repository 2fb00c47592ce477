"""A subscriber connected to this member: its pending items, its cursors and the lines to write. No I/O.

Used by `subscription_server.py`, which writes the lines to the socket.
"""

from collections import deque
from collections.abc import Iterable, Mapping

import msgspec

from cedarwick.errors import CedarwickError
from cedarwick.events.match_delivery import NO_POSITION, ReaderPosition
from cedarwick.events.streams import Inbox, Item, Match, SourceEnded, position

MAX_PENDING = 1000  # items waiting to be written; beyond this, items are refused and their sources retain them
LINES_BYTES = 1 << 15  # approximate bytes written at once


class Reader:
    """One connection of a subscriber. `end_reason` is set when the connection is to end."""

    def __init__(self, name: str, connected_at: int, cursors: Mapping[str, int]) -> None:
        self.name = name
        self.connected_at = connected_at
        self.inbox = Inbox(cursors)
        self.written = dict(cursors)  # by source: the last number written to the subscriber
        self.pending: deque[Item | SourceEnded] = deque()
        self.end_reason: CedarwickError | None = None

    def accept(self, source: str, after: int, items: Iterable[Item]) -> bool:
        """Queue items of a source that directly follow number `after`; returns False if they are refused."""
        # Items sent for an earlier connection may skip some that this connection has not received.
        if self.end_reason is not None or after > self.inbox.cursors.get(source, NO_POSITION):
            return False
        # Without a limit, a slow subscriber would exhaust this member's memory.
        if not self.has_room:
            return False
        self.pending.extend(self.inbox.receive(source, items))
        return True

    @property
    def has_room(self) -> bool:
        """Whether more items are accepted now."""
        return len(self.pending) < MAX_PENDING

    def position_in(self, member: str, source: str) -> ReaderPosition:
        """The subscriber's position in a source, as reported by `member`, which it is connected to."""
        return ReaderPosition(
            member,
            self.connected_at,
            self.inbox.cursors.get(source, NO_POSITION),
            self.written.get(source, NO_POSITION),
            self.has_room,
        )

    def end_source(self, source: str) -> None:
        """Queue the item that reports the end of a source, after all items received from that source."""
        self.pending.extend(self.inbox.end_source(source))

    def take_lines(self) -> tuple[bytes, dict[str, int]]:
        """Remove the next items from the queue; returns their lines, and the last number of each source in them."""
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
        """Record the last numbers of the lines that were written to the subscriber."""
        self.written.update(cursors)
