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
        self.cached_numbers: deque[int] = deque()  # numbers of messages whose bodies are in memory, the oldest first
        self.cached_bytes = 0

    def add(self, stored: StoredMessage, messages: dict[int, StoredMessage]) -> None:
        """Hold one more body and release the oldest beyond the bound.

        `messages` are all unfinished messages of the store, by number.
        """
        self.cached_numbers.append(stored.number)
        self.cached_bytes += stored.body_size
        while self.cached_bytes > self.max_bytes and self.cached_numbers:
            oldest = messages.get(self.cached_numbers.popleft())
            if oldest is not None and oldest.body is not None:
                self.release(oldest)
        # Numbers of messages that have ended must be dropped, or the queue would grow without bound. Only a bounded
        # part is checked at each call: a scan of the whole queue would delay the dispatcher's round.
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
        """Drop the body from memory; if it is needed again it is read from the folder."""
        if stored.body is not None:
            stored.body = None
            self.cached_bytes -= stored.body_size

    def read(self, stored: StoredMessage, segments: dict[int, Segment]) -> bytes:
        """Read a body from its segment file; raises `BodyLostError` if that fails or the checksum does not match."""
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
                f"{segment_name(stored.segment_number)} at {stored.body_offset}: the body's checksum is wrong"
            )
        return body
