"""Recent message ids as a replica of a partition knows them, for whoever takes the partition over. No I/O, no clock.

Under `ack = "copy"` every message is in the copy's file before it is answered +OK. So a copy that has followed a
partition's tail without a gap since the time `since` knows each id taken after that, ended or not. A piece lacks the
ids that have ended, so each jump of the position starts `since` anew. Once `ID_RETENTION_US` has passed after `since`,
all ids that matter are known. Times are microseconds.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from cedarwick.fleet.replica import ReplicaEntry
from cedarwick.fleet.replication_facts import EndRank, Fact, MessageBase, is_finished
from cedarwick.fleet.sessions import ID_RETENTION_US, contents_hash

MAX_IDS = 1 << 16  # ids of one partition; above it the oldest are dropped, and the time that the memory covers shrinks
# Stands for contents that are not known: whatever is submitted with such an id counts as another request. It must be a
# valid hash (a count), or no peer could read the message, and a session with such an id could not be moved.
UNKNOWN_HASH = 0


@dataclass(slots=True)
class RecentId:
    """A message of a session, as it was first received."""

    key: int  # of the session
    id: str
    at: int  # when it came here: not before it was handed in
    hashed: int
    ended: bool = False  # an end or an attempt is known


class RecentIds:
    """What a copy remembers of one partition; times are those of the copy's own clock."""

    def __init__(self, now: int) -> None:
        self.since = now  # each recent id that was taken later is here
        self.term = self.next = -1
        self.by_number: dict[int, RecentId] = {}  # by message number
        self.arrivals: deque[tuple[int, int]] = deque()  # when they came, and their numbers

    def record(self, entry: ReplicaEntry, facts: Iterable[Fact], now: int) -> None:
        """Record the facts of a replicated entry that is in the replica's file."""
        received = list(facts)
        tail = entry.upto <= entry.after
        begins = entry.next_index - len(received) if tail else entry.next_index
        if (entry.term, begins) != (self.term, self.next):
            # A gap: messages between may have been taken and have ended without a trace here.
            self.since = now
        self.term, self.next = entry.term, entry.next_index
        for fact in received:
            self._record_fact(fact, now)
        while self.arrivals and (self.arrivals[0][0] < now - ID_RETENTION_US or len(self.arrivals) > MAX_IDS):
            at, number = self.arrivals.popleft()
            if at >= now - ID_RETENTION_US:
                self.since = max(self.since, at + 1)
            self.by_number.pop(number, None)

    def _record_fact(self, fact: Fact, now: int) -> None:
        known, seen = fact.known, self.by_number.get(fact.number)
        if seen is None:
            if fact.base is not None and fact.base.ordering_key and not is_finished(known):
                self.by_number[fact.number] = RecentId(
                    fact.base.ordering_key,
                    fact.base.id,
                    now,
                    hash_of(fact.base, known.end[0]),
                    bool(known.attempts_by_term) or known.end[0] is not EndRank.NONE,
                )
                self.arrivals.append((now, fact.number))
            return
        if known.end[0] is EndRank.NOTIFIED and not known.attempts_by_term and not seen.ended:
            # Withdrawn without attempt or end: its client was refused, so the same id must not get +OK unless taken.
            del self.by_number[fact.number]
        else:
            seen.ended |= bool(known.attempts_by_term) or known.end[0] is not EndRank.NONE

    def complete_at(self) -> int:
        """The time from which on all ids that must not be taken again are known here."""
        return self.since + ID_RETENTION_US

    def by_key(self) -> dict[int, dict[str, tuple[int, int]]]:
        """By session: the ids, when they came and the hash of what came with them."""
        found: dict[int, dict[str, tuple[int, int]]] = {}
        for seen in self.by_number.values():
            found.setdefault(seen.key, {})[seen.id] = seen.at, seen.hashed
        return found


def hash_of(base: MessageBase, end: EndRank = EndRank.NONE) -> int:
    """A submission's hash, as at the holder; `UNKNOWN_HASH` for an ended message, whose body is no longer sent."""
    if end is not EndRank.NONE:
        return UNKNOWN_HASH
    return contents_hash(base.key, base.priority_class, base.tenant, base.destination, base.body)
