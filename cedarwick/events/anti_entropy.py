"""Brings the registries of two members together: digests first, then whole buckets that differ. No I/O.

Names fall into buckets by their hash. Two members compare one digest of all; where it differs the one answers with the
digests of its buckets, the other asks for some of those that differ and brings its own (one level of a hash tree).
Entries are joined, so any of it may come twice, late or never.
"""

from collections.abc import Iterable

import msgspec
import xxhash

from cedarwick.events.registry import Entry, Registry, Verdict
from cedarwick.fleet.messages import MOST_ENTRIES, Subscribe

BUCKETS = 256
ENTRIES_BYTES = 1 << 18  # of entries in one peer message, about; one bucket at least
MAX_ENTRIES_BYTES = 3 * ENTRIES_BYTES  # a bucket with more of the longest filters than chance would give it is cut here
ENTRY_BYTES = 128  # of an entry besides its filter, about
_encode = msgspec.msgpack.Encoder().encode


class RegistrySync:
    """One member's registry and its digests. `changed` is called after each change of the registry."""

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.stale = True
        self.hashes: dict[str, tuple[Entry, int]] = {}
        self.buckets = [0] * BUCKETS

    def changed(self) -> None:
        """The registry has changed: digests are computed anew when they are next asked for."""
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
        """A message to another member: the digest, some entries as far as there is room, and the buckets wanted."""
        found: dict[str, Entry] = {}
        size = 0
        for name in names:
            entry = self.registry.entries.get(name)
            if entry is not None and size <= MAX_ENTRIES_BYTES and len(found) < MOST_ENTRIES:
                found[name] = entry
                size += len(entry.filter) + ENTRY_BYTES
        return Subscribe(self.registry.epoch, self.digest(), found, tuple(asked))

    def answer(self, received: Subscribe) -> Subscribe:
        """The answer to another member, once its entries were joined."""
        asked = {each for each in received.asked if each < BUCKETS}
        if asked:
            return self.peer_message(self._within(asked))
        answer = self.peer_message()
        return answer if answer.digest == received.digest else msgspec.structs.replace(answer, buckets=self.digests())

    def join(self, now: int, received: Subscribe) -> Verdict:
        """Join the entries of another member into the registry."""
        verdict = self.registry.merge(now, received.epoch, received.entries.items())
        if verdict is Verdict.JOINED and received.entries:
            self.changed()
        return verdict

    def differing(self, answer: Subscribe) -> Subscribe | None:
        """What to say to one whose buckets differ: those that a peer message has room for, and the wish for its own."""
        differ = [
            place for place, (mine, its) in enumerate(zip(self.digests(), answer.buckets, strict=False)) if mine != its
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
    """Which bucket a name falls into."""
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKETS
