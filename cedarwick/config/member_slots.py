"""The slot of a member: the number under which its partitions stand, from its name alone.

Its own module, since it loads a hash that only a sender with a `[fleet]` table needs.
"""

import xxhash

SLOT_BITS = 18  # of a member's slot


def slot_of(name: str) -> int:
    """A member's slot: 18 bits of the xxh3 of its name."""
    return xxhash.xxh3_64_intdigest(name.encode()) & ((1 << SLOT_BITS) - 1)
