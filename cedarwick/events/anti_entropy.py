"""Reconciles the registries of two members: first by digests, then by whole buckets that differ. No I/O.

Names are hashed into buckets. Two members compare one digest of everything; if it differs, one answers with the digests
of its buckets, and the other asks for some that differ and sends its own (one level of a hash tree). Merging entries is
idempotent and commutative, so messages may be repeated, late or lost. Used by `exchange.py`; sizes are in bytes.
"""

from collections.abc import Iterable

import msgspec
import xxhash

from cedarwick.events.registry import Entry, Registry, Verdict
from cedarwick.fleet.messages import MAX_SUBSCRIPTION_ENTRIES, Subscribe

BUCKETS = 256
ENTRIES_BYTES = 1 << 18  # approximate bytes of entries in one peer message; at least one bucket
MAX_ENTRIES_BYTES = 3 * ENTRIES_BYTES  # hard limit, for an unusually full bucket
ENTRY_BYTES = 128  # approximate bytes of an entry without its filter
_encode = msgspec.msgpack.Encoder().encode


class RegistrySync:
    """One member's registry and its digests; call `changed` after each change of the registry."""

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.stale = True
        self.hashes: dict[str, tuple[Entry, int]] = {}
        self.buckets = [0] * BUCKETS

    def changed(self) -> None:
        """Mark the digests stale; they are computed anew at the next use."""
        self.stale = True

    def digests(self) -> tuple[int, ...]:
        """The digest of each bucket."""
        if self.stale:
            self.stale = False
            held, buckets = self.hashes, [0] * BUCKETS
            self.hashes = {}
            for name, entry in self.registry.entries.items():
                known = held.get(name)
                if known is None or known[0] is not entry:
                    known = entry, xxhash.xxh3_64_intdigest(_encode((name, entry)))
                self.hashes[name] = known
                buckets[bucket(name)] ^= known[1]
            self.buckets = buckets
        return tuple(self.buckets)

    def digest(self) -> int:
        """The digest of the whole registry."""
        return xxhash.xxh3_64_intdigest(_encode(self.digests()))

    def peer_message(self, names: Iterable[str] = (), asked: Iterable[int] = ()) -> Subscribe:
        """Build a message: the digest, the named entries as far as they fit, and the buckets asked for."""
        found: dict[str, Entry] = {}
        size = 0
        for name in names:
            entry = self.registry.entries.get(name)
            if entry is not None and size <= MAX_ENTRIES_BYTES and len(found) < MAX_SUBSCRIPTION_ENTRIES:
                found[name] = entry
                size += len(entry.filter) + ENTRY_BYTES
        return Subscribe(self.registry.epoch, self.digest(), found, tuple(asked))

    def answer(self, received: Subscribe) -> Subscribe:
        """Build the answer to another member's message, after its entries were merged."""
        asked = {each for each in received.requested_buckets if each < BUCKETS}
        if asked:
            return self.peer_message(self._within(asked))
        answer = self.peer_message()
        return (
            answer
            if answer.digest == received.digest
            else msgspec.structs.replace(answer, bucket_digests=self.digests())
        )

    def join(self, now: int, received: Subscribe) -> Verdict:
        """Merge the entries of a message into the registry; returns whether it was accepted, or why not."""
        verdict = self.registry.merge(now, received.epoch, received.entries.items())
        if verdict is Verdict.JOINED and received.entries:
            self.changed()
        return verdict

    def differing(self, answer: Subscribe) -> Subscribe | None:
        """Build a message with the differing buckets that fit, asking for the same ones; None if none differ."""
        differ = [
            place
            for place, (mine, its) in enumerate(zip(self.digests(), answer.bucket_digests, strict=False))
            if mine != its
        ]
        sizes = [0] * BUCKETS
        for name, entry in self.registry.entries.items():
            sizes[bucket(name)] += len(entry.filter) + ENTRY_BYTES
        asked: list[int] = []
        for place in differ:
            if asked and sum(sizes[each] for each in asked) + sizes[place] > ENTRIES_BYTES:
                break
            asked.append(place)
        return self.peer_message(self._within(set(asked)), asked) if asked else None

    def _within(self, buckets: set[int]) -> list[str]:
        return [
            name
            for name in sorted(self.registry.entries, key=lambda name: (bucket(name), name))
            if bucket(name) in buckets
        ]


def bucket(name: str) -> int:
    """The bucket number of a name."""
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKETS
