"""The bodies of stored messages: which are held in memory, and how the others are read back from their segments."""

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
    """Holds bodies in memory up to a bound; those that came first are released first."""

    def __init__(self, folder: Folder, max_bytes: int) -> None:
        self.folder = folder
        self.max_bytes = max_bytes
        self.held: deque[int] = deque()  # numbers of messages whose bodies are in memory, the oldest first
        self.held_bytes = 0

    def add(self, stored: StoredMessage, messages: dict[int, StoredMessage]) -> None:
        """Hold one more body; beyond the bound the oldest ones are released. `messages`: all that are owed."""
        self.held.append(stored.number)
        self.held_bytes += stored.size
        while self.held_bytes > self.max_bytes and self.held:
            oldest = messages.get(self.held.popleft())
            if oldest is not None and oldest.body is not None:
                self.release(oldest)
        # Danger: those that have ended would add up; looking through all of them at once would hold up a round.
        while self.held and (self.held[0] not in messages or messages[self.held[0]].body is None):
            self.held.popleft()
        if len(self.held) > 64 + 2 * len(messages):
            for _ in range(64):
                number = self.held.popleft()
                if number in messages and messages[number].body is not None:
                    self.held.append(number)

    def release(self, stored: StoredMessage) -> None:
        """Its body is read from the folder from now on, or is not needed any more."""
        if stored.body is not None:
            stored.body = None
            self.held_bytes -= stored.size

    def read(self, stored: StoredMessage, segments: dict[int, Segment]) -> bytes:
        """A body from the folder; `BodyLostError` where it cannot be read back."""
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
