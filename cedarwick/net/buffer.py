"""The read buffer of a connection, used by the client listener and the readers of HTTP answers."""

import gevent.socket

INITIAL_BYTES = 4096  # of an empty buffer
MAX_EMPTY_BYTES = 1 << 16  # an emptied buffer larger than this shrinks again


class Buffer:
    """Bytes that were received and not consumed yet; grows as needed and is compacted in place."""

    __slots__ = ("data", "start", "end")

    def __init__(self) -> None:
        self.data = bytearray(INITIAL_BYTES)
        self.start = 0
        self.end = 0

    def __len__(self) -> int:
        return self.end - self.start

    def fill(self, sock: gevent.socket.socket) -> int:
        """Read once from a socket; returns the number of bytes, 0 at its end. Raises what `recv_into` raises."""
        self._make_room(1)
        with memoryview(self.data) as whole, whole[self.end :] as free:
            got: int = sock.recv_into(free)
        self.end += got
        return got

    def append(self, more: bytes) -> None:
        """Add bytes at the end."""
        self._make_room(len(more))
        self.data[self.end : self.end + len(more)] = more
        self.end += len(more)

    def find(self, mark: bytes, at: int = 0) -> int:
        """The offset of a mark from the first byte that is not consumed, searched from `at`; -1 if it is not there."""
        place = self.data.find(mark, self.start + at, self.end)
        return place - self.start if place >= 0 else -1

    def peek(self, at: int, size: int) -> bytes:
        """Up to `size` bytes from offset `at`, without consuming them."""
        return bytes(self.data[self.start + at : min(self.end, self.start + at + size)])

    def skip(self, size: int) -> None:
        """Consume bytes; a large buffer that becomes empty gives its memory back."""
        self.start += size
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > MAX_EMPTY_BYTES:
                self.data = bytearray(INITIAL_BYTES)

    def take(self, size: int) -> bytes:
        """Consume bytes and return them."""
        taken = self.peek(0, size)
        self.skip(size)
        return taken

    def _make_room(self, size: int) -> None:
        if len(self.data) - self.end >= size:
            return
        if self.start:
            held = len(self)
            self.data[:held] = self.data[self.start : self.end]
            self.start, self.end = 0, held
        while len(self.data) - self.end < size:
            self.data.extend(bytes(len(self.data)))
