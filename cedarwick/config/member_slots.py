"""The slot of a member: a number derived from its name that identifies its partitions.

A separate module, since it imports a hash library that only senders with a `[fleet]` table need.
"""

import xxhash

SLOT_BITS = 18  # of a slot


def slot_of(name: str) -> int:
    """Return the slot of a member: the low 18 bits of the xxh3 hash of its name."""
    return xxhash.xxh3_64_intdigest(name.encode()) & ((1 << SLOT_BITS) - 1)
