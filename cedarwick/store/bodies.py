"""The bodies of stored messages: a bounded cache in memory, and reading the others back from their segment files.

Called by `journal.Store` and by compaction. Sizes and file offsets are in bytes.
"""

import zlib
from collections import deque

from cedarwick.errors import CedarwickError
from cedarwick.store.files import Folder, segment_name
from cedarwick.store.records import StoredMessage
from cedarwick.store.segments import Segment


class BodyLostError(CedarwickError):
    """A body cannot be read back."""

    code = "CW203"
    remedy = "look at the disk; the message is answered without it, so tell its sender"


class BodyCache:
    """Holds bodies in memory up to `max_bytes` bytes; the oldest are released first."""

    def __init__(self, folder: Folder, max_bytes: int) -> None:
        self.folder = folder
        self.max_bytes = max_bytes
        self.held: deque[int] = deque()  # numbers of messages whose bodies are in memory, the oldest first
        self.held_bytes = 0

    def add(self, stored: StoredMessage, messages: dict[int, StoredMessage]) -> None:
        """Hold one more body and release the oldest beyond the bound.

        `messages` are all unfinished messages of the store, by number.
        """
        self.held.append(stored.number)
        self.held_bytes += stored.size
        while self.held_bytes > self.max_bytes and self.held:
            oldest = messages.get(self.held.popleft())
            if oldest is not None and oldest.body is not None:
                self.release(oldest)
        # Numbers of messages that have ended must be dropped, or the queue would grow without bound. Only a bounded
        # part is checked at each call: a scan of the whole queue would delay the dispatcher's round.
        while self.held and (self.held[0] not in messages or messages[self.held[0]].body is None):
            self.held.popleft()
        if len(self.held) > 64 + 2 * len(messages):
            for _ in range(64):
                number = self.held.popleft()
                if number in messages and messages[number].body is not None:
                    self.held.append(number)

    def release(self, stored: StoredMessage) -> None:
        """Drop the body from memory; if it is needed again it is read from the folder."""
        if stored.body is not None:
            stored.body = None
            self.held_bytes -= stored.size

    def read(self, stored: StoredMessage, segments: dict[int, Segment]) -> bytes:
        """Read a body from its segment file; raises `BodyLostError` if that fails or the checksum does not match."""
        if not stored.size:
            return b""
        segment = segments[stored.home]
        try:
            if segment.file < 0:
                segment.file = self.folder.open(segment_name(segment.number), append=False)
            body = self.folder.read(segment.file, stored.size, stored.at)
        except OSError as error:
            raise BodyLostError(f"{segment_name(stored.home)} at {stored.at}: {error}") from None
        if zlib.crc32(body) != stored.checksum:
            raise BodyLostError(f"{segment_name(stored.home)} at {stored.at}: the body's checksum is wrong")
        return body
