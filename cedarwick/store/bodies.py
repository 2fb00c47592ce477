"""The bodies of stored messages: a bounded cache in memory; other bodies are read from their segment files.

Used by `journal.Store` and by compaction. Sizes and file offsets are in bytes.
"""

import zlib
from collections import deque

from cedarwick.errors import CedarwickError
from cedarwick.store.files import Folder, segment_name
from cedarwick.store.records import StoredMessage
from cedarwick.store.segments import Segment


class BodyLostError(CedarwickError):
    """A stored body cannot be read."""

    code = "CW203"
    remedy = "check the disk; the message gets its final answer without another attempt, so inform its client"


class BodyCache:
    """Holds bodies in memory up to `max_bytes` bytes; the oldest are evicted first."""

    def __init__(self, folder: Folder, max_bytes: int) -> None:
        self.folder = folder
        self.max_bytes = max_bytes
        self.cached_numbers: deque[int] = deque()  # numbers of messages whose bodies are in memory, the oldest first
        self.cached_bytes = 0

    def add(self, stored: StoredMessage, messages: dict[int, StoredMessage]) -> None:
        """Add the body of a message and evict the oldest ones beyond the limit.

        `messages`: all unfinished messages of the store, by number.
        """
        self.cached_numbers.append(stored.number)
        self.cached_bytes += stored.body_size
        while self.cached_bytes > self.max_bytes and self.cached_numbers:
            oldest = messages.get(self.cached_numbers.popleft())
            if oldest is not None and oldest.body is not None:
                self.release(oldest)
        # Numbers of finished messages must be removed, or the queue would grow without bound. Each call checks only a
        # bounded part of the queue, since a full scan would delay the decision round.
        while self.cached_numbers and (
            self.cached_numbers[0] not in messages or messages[self.cached_numbers[0]].body is None
        ):
            self.cached_numbers.popleft()
        if len(self.cached_numbers) > 64 + 2 * len(messages):
            for _ in range(64):
                number = self.cached_numbers.popleft()
                if number in messages and messages[number].body is not None:
                    self.cached_numbers.append(number)

    def release(self, stored: StoredMessage) -> None:
        """Remove the body of a message from memory; it can still be read from the segment file."""
        if stored.body is not None:
            stored.body = None
            self.cached_bytes -= stored.body_size

    def read(self, stored: StoredMessage, segments: dict[int, Segment]) -> bytes:
        """Read a body from its segment file; raises `BodyLostError` if that fails or its checksum does not match."""
        if not stored.body_size:
            return b""
        segment = segments[stored.segment_number]
        try:
            if segment.descriptor < 0:
                segment.descriptor = self.folder.open(segment_name(segment.number), append=False)
            body = self.folder.read(segment.descriptor, stored.body_size, stored.body_offset)
        except OSError as error:
            raise BodyLostError(f"{segment_name(stored.segment_number)} at {stored.body_offset}: {error}") from None
        if zlib.crc32(body) != stored.body_checksum:
            raise BodyLostError(
                f"{segment_name(stored.segment_number)} at {stored.body_offset}: the body checksum does not match"
            )
        return body
