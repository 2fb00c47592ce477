"""Anti-entropy between the registries of two members: compares digests, then exchanges the buckets that differ. No I/O.

Subscriptions are hashed by name into buckets. Two members compare a digest of their whole registries; if it differs,
one answers with the digests of its buckets, and the other requests some of those that differ and sends its own
contents of them (a hash tree of one level). Merging entries is idempotent and commutative, so messages may be repeated,
delayed or lost. Used by `exchange.py`; sizes are in bytes.
"""

from collections.abc import Iterable

import msgspec
import xxhash

from cedarwick.events.registry import Entry, MergeResult, Registry
from cedarwick.fleet.messages import MAX_SUBSCRIPTION_ENTRIES, Subscribe

BUCKETS = 256
ENTRIES_BYTES = 1 << 18  # approximate bytes of entries in one peer message; at least one bucket is sent
MAX_ENTRIES_BYTES = 3 * ENTRIES_BYTES  # hard limit, for an unusually full bucket
ENTRY_OVERHEAD_BYTES = 128  # approximate bytes of an entry without its filter
_encode = msgspec.msgpack.Encoder().encode


class RegistrySync:
    """One member's registry and its digests; `mark_changed` is called after each change of the registry."""

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.digests_stale = True
        self.entry_hashes: dict[str, tuple[Entry, int]] = {}
        self.bucket_digests = [0] * BUCKETS

    def mark_changed(self) -> None:
        """Mark the digests stale; their next use computes them again."""
        self.digests_stale = True

    def digests(self) -> tuple[int, ...]:
        """The digest of each bucket."""
        if self.digests_stale:
            self.digests_stale = False
            previous, buckets = self.entry_hashes, [0] * BUCKETS
            self.entry_hashes = {}
            for name, entry in self.registry.entries.items():
                known = previous.get(name)
                if known is None or known[0] is not entry:
                    known = entry, xxhash.xxh3_64_intdigest(_encode((name, entry)))
                self.entry_hashes[name] = known
                buckets[bucket_of(name)] ^= known[1]
            self.bucket_digests = buckets
        return tuple(self.bucket_digests)

    def digest(self) -> int:
        """The digest of the whole registry."""
        return xxhash.xxh3_64_intdigest(_encode(self.digests()))

    def peer_message(self, names: Iterable[str] = (), requested: Iterable[int] = ()) -> Subscribe:
        """Build a message of the digest, the named entries as far as they fit, and the buckets requested."""
        selected: dict[str, Entry] = {}
        size = 0
        for name in names:
            entry = self.registry.entries.get(name)
            if entry is not None and size <= MAX_ENTRIES_BYTES and len(selected) < MAX_SUBSCRIPTION_ENTRIES:
                selected[name] = entry
                size += len(entry.filter) + ENTRY_OVERHEAD_BYTES
        return Subscribe(self.registry.epoch, self.digest(), selected, tuple(requested))

    def answer(self, received: Subscribe) -> Subscribe:
        """Build the answer to another member's message, after its entries were merged."""
        requested = {each for each in received.requested_buckets if each < BUCKETS}
        if requested:
            return self.peer_message(self._names_in_buckets(requested))
        answer = self.peer_message()
        return (
            answer
            if answer.digest == received.digest
            else msgspec.structs.replace(answer, bucket_digests=self.digests())
        )

    def merge_entries(self, now: int, received: Subscribe) -> MergeResult:
        """Merge the entries of a message into the registry; returns whether they were accepted, or why not."""
        result = self.registry.merge(now, received.epoch, received.entries.items())
        if result is MergeResult.MERGED and received.entries:
            self.mark_changed()
        return result

    def request_differing(self, answer: Subscribe) -> Subscribe | None:
        """Build a message that sends and requests the buckets that differ, as many as fit; None if none differ."""
        differ = [
            number
            for number, (ours, theirs) in enumerate(zip(self.digests(), answer.bucket_digests, strict=False))
            if ours != theirs
        ]
        sizes = [0] * BUCKETS
        for name, entry in self.registry.entries.items():
            sizes[bucket_of(name)] += len(entry.filter) + ENTRY_OVERHEAD_BYTES
        requested: list[int] = []
        for number in differ:
            if requested and sum(sizes[each] for each in requested) + sizes[number] > ENTRIES_BYTES:
                break
            requested.append(number)
        return self.peer_message(self._names_in_buckets(set(requested)), requested) if requested else None

    def _names_in_buckets(self, buckets: set[int]) -> list[str]:
        return [
            name
            for name in sorted(self.registry.entries, key=lambda name: (bucket_of(name), name))
            if bucket_of(name) in buckets
        ]


def bucket_of(name: str) -> int:
    """The number of the bucket that holds a name."""
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKETS
