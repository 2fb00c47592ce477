"""Recent message ids as a copy of a partition knows them, for whoever takes the partition over. No I/O, no clock.

Under `ack = "copy"` every message is in the copy's file before it is answered +OK. So a copy that has followed a
partition's tail without a gap since the time `since` knows each id taken after that, ended or not. A piece lacks the
ids that have ended, so each jump of the position starts `since` anew. Once `REMEMBERED` has passed after `since`, all
ids that matter are known. Times are microseconds.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from cedarwick.fleet.replica import ReplicaEntry
from cedarwick.fleet.replication_facts import EndRank, Fact, MessageBase, nothing_owed
from cedarwick.fleet.sessions import REMEMBERED, contents

MOST = 1 << 16  # ids of one partition; above it the oldest are dropped, and the time that the memory covers shrinks
# Stands for contents that are not known: whatever is submitted with such an id counts as another request. It must be a
# valid hash (a count), or no peer could read the message, and a session with such an id could not be moved.
UNKNOWN = 0


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
        self.taken: dict[int, RecentId] = {}  # by number
        self.order: deque[tuple[int, int]] = deque()  # when they came, and their numbers

    def heard(self, entry: ReplicaEntry, facts: Iterable[Fact], now: int) -> None:
        """Note a step of the copy that is in its file."""
        received = list(facts)
        tail = entry.upto <= entry.after
        begins = entry.next - len(received) if tail else entry.next
        if (entry.term, begins) != (self.term, self.next):
            # A gap: messages between may have been taken and have ended without a trace here.
            self.since = now
        self.term, self.next = entry.term, entry.next
        for fact in received:
            self._fact(fact, now)
        while self.order and (self.order[0][0] < now - REMEMBERED or len(self.order) > MOST):
            at, number = self.order.popleft()
            if at >= now - REMEMBERED:
                self.since = max(self.since, at + 1)
            self.taken.pop(number, None)

    def _fact(self, fact: Fact, now: int) -> None:
        known, seen = fact.known, self.taken.get(fact.number)
        if seen is None:
            if fact.base is not None and fact.base.turn and not nothing_owed(known):
                self.taken[fact.number] = RecentId(
                    fact.base.turn,
                    fact.base.id,
                    now,
                    hash_of(fact.base, known.end[0]),
                    bool(known.heads) or known.end[0] is not EndRank.NONE,
                )
                self.order.append((now, fact.number))
            return
        if known.end[0] is EndRank.NOTIFIED and not known.heads and not seen.ended:
            # Withdrawn without attempt or end: its client was refused, so the same id must not get +OK unless taken.
            del self.taken[fact.number]
        else:
            seen.ended |= bool(known.heads) or known.end[0] is not EndRank.NONE

    def whole_at(self) -> int:
        """The time from which on all ids that must not be taken again are known here."""
        return self.since + REMEMBERED

    def by_key(self) -> dict[int, dict[str, tuple[int, int]]]:
        """By session: the ids, when they came and the hash of what came with them."""
        found: dict[int, dict[str, tuple[int, int]]] = {}
        for seen in self.taken.values():
            found.setdefault(seen.key, {})[seen.id] = seen.at, seen.hashed
        return found


def hash_of(base: MessageBase, end: EndRank = EndRank.NONE) -> int:
    """The hash of a submission, as at the holder; `UNKNOWN` for an ended message, whose body is not sent any more."""
    if end is not EndRank.NONE:
        return UNKNOWN
    return contents(base.key, base.priority_class, base.tenant, base.destination, base.body)
