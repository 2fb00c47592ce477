"""Read buffer of a connection, used by the client listener, the management server and the HTTP parsers."""

import gevent.socket

INITIAL_BYTES = 4096  # capacity of an empty buffer
MAX_IDLE_BYTES = 1 << 13  # a larger buffer shrinks once little is left in it


class Buffer:
    """Bytes that were received and are not consumed yet; the buffer grows as needed and is compacted in place."""

    __slots__ = ("data", "start", "end")

    def __init__(self) -> None:
        self.data = bytearray(INITIAL_BYTES)
        self.start = 0
        self.end = 0

    def __len__(self) -> int:
        return self.end - self.start

    def fill(self, sock: gevent.socket.socket) -> int:
        """Read once from the socket and return the number of bytes, 0 at its end; raises what `recv_into` raises.

        Also returns 0 if another greenlet has consumed bytes meanwhile, which it does only to close the connection.
        """
        self._reserve(1)
        data, end = self.data, self.end
        with memoryview(data) as view, view[end:] as free:
            received: int = sock.recv_into(free)
        if self.data is not data or self.end != end:
            return 0
        self.end += received
        return received

    def append(self, chunk: bytes) -> None:
        """Append bytes to the buffer."""
        self._reserve(len(chunk))
        self.data[self.end : self.end + len(chunk)] = chunk
        self.end += len(chunk)

    def capacity_after_fill(self) -> int:
        """Return the capacity that the next `fill` needs; it doubles if the buffer is full."""
        is_full = self.end - self.start == len(self.data)
        return len(self.data) * 2 if is_full else len(self.data)

    def find(self, delimiter: bytes, offset: int = 0) -> int:
        """Return the offset of a delimiter from the first unconsumed byte, searching from `offset`; -1 if not found."""
        position = self.data.find(delimiter, self.start + offset, self.end)
        return position - self.start if position >= 0 else -1

    def peek(self, offset: int, size: int) -> bytes:
        """Return up to `size` bytes from `offset` without consuming them."""
        return bytes(self.data[self.start + offset : min(self.end, self.start + offset + size)])

    def skip(self, size: int) -> None:
        """Consume bytes; a large buffer in which little is left releases its memory."""
        self.start += size
        remaining = len(self)
        if not remaining:
            self.start = self.end = 0
        if remaining < INITIAL_BYTES and len(self.data) > MAX_IDLE_BYTES:
            rest = self.data[self.start : self.end]
            self.data = rest + bytearray(INITIAL_BYTES - remaining)
            self.start, self.end = 0, remaining

    def take(self, size: int) -> bytes:
        """Consume bytes and return them."""
        data = self.peek(0, size)
        self.skip(size)
        return data

    def _reserve(self, size: int) -> None:
        if len(self.data) - self.end >= size:
            return
        if self.start:
            length = len(self)
            self.data[:length] = self.data[self.start : self.end]
            self.start, self.end = 0, length
        while len(self.data) - self.end < size:
            self.data.extend(bytes(len(self.data)))
