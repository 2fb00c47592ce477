"""The memory that clients' requests may take, and how the memory limit of the process is divided.

`RequestMemory` counts what each client's request holds: its read buffer, and its arguments until they are answered. The
client listener refuses requests that would exceed the limit. Sizes are in bytes.
"""

from collections.abc import Hashable

MEBIBYTE = 1 << 20
BASE_BYTES = 48 * MEBIBYTE  # of the interpreter, the modules, the endpoint list and the decisions
CONNECTION_BYTES = 24 << 10  # of one connection with its greenlet and a small buffer
MAX_REQUEST_BYTES = 8 * MEBIBYTE  # of all clients' requests together
MIN_REQUEST_BYTES = 1 * MEBIBYTE
REQUEST_SHARE = 1 / 8  # of the memory that neither the base nor the connections take
MIN_BODY_CACHE_BYTES = 1 * MEBIBYTE
BODY_CACHE_SHARE = 1 / 2
SMALL_BUFFER_BYTES = 1 << 13  # a buffer up to this size counts as a part of its connection


def free_bytes(memory_bytes: int, descriptors: int) -> int:
    """Return what a memory limit leaves beside the base and the connections; at least 0."""
    return max(0, memory_bytes - BASE_BYTES - descriptors * CONNECTION_BYTES)


def request_memory_limit(memory_bytes: int, descriptors: int) -> int:
    """Return the limit of all clients' requests together; `memory_bytes` 0: the process has no memory limit."""
    if not memory_bytes:
        return MAX_REQUEST_BYTES
    share = round(free_bytes(memory_bytes, descriptors) * REQUEST_SHARE)
    return min(MAX_REQUEST_BYTES, max(MIN_REQUEST_BYTES, share))


def body_cache_limit(memory_bytes: int, descriptors: int, configured_bytes: int) -> int:
    """Return the limit of the bodies held in memory; `memory_bytes` 0: the configured one."""
    if not memory_bytes:
        return configured_bytes
    share = round(free_bytes(memory_bytes, descriptors) * BODY_CACHE_SHARE)
    return min(configured_bytes, max(MIN_BODY_CACHE_BYTES, share))


class RequestMemory:
    """Counts the bytes that the requests of all clients hold, against a limit."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.bytes_by_client: dict[Hashable, int] = {}

    def grow(self, client: Hashable, size: int) -> bool:
        """Count `size` bytes for a client from now on; returns False, and counts as before, beyond the limit."""
        growth = counted_bytes(size) - self.bytes_by_client.get(client, 0)
        if growth > 0 and self.used_bytes + growth > self.limit_bytes:
            return False
        self.set(client, size)
        return True

    def set(self, client: Hashable, size: int) -> None:
        """Count `size` bytes for a client from now on, even beyond the limit: they are in memory already."""
        self.release(client)
        if counted := counted_bytes(size):
            self.bytes_by_client[client] = counted
            self.used_bytes += counted

    def release(self, client: Hashable) -> None:
        """Count nothing for a client any more."""
        self.used_bytes -= self.bytes_by_client.pop(client, 0)


def counted_bytes(size: int) -> int:
    """Return how many bytes of a request count against the limit."""
    return size if size > SMALL_BUFFER_BYTES else 0
