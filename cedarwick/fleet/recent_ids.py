"""Recent message ids as known to a replica of a partition, for the member that takes it over. No I/O, no clock.

Under `ack = "copy"` every message is in the replica's file before it is answered +OK. So a replica that has followed
the tail of a partition's log without a gap since `recorded_since` knows each id accepted after that time, whether its
message has ended or not. A piece of a catch-up lacks the ids of messages that have ended, so each jump of the log
position resets `recorded_since`. Once `ID_RETENTION_US` has passed since then, all ids that must be known are known.
Times are microseconds.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from cedarwick.fleet.replica import ReplicaEntry
from cedarwick.fleet.replication_facts import EndRank, Fact, MessageBase, is_finished
from cedarwick.fleet.sessions import ID_RETENTION_US, hash_contents

MAX_IDS = 1 << 16  # ids of one partition; beyond it the oldest are dropped, which shortens the period that is covered
# The hash of unknown contents: any submission with such an id counts as a different request. It must be a valid hash (a
# count), or no peer could decode the message, and a session with such an id could not be moved.
UNKNOWN_HASH = 0


@dataclass(slots=True)
class RecentId:
    """The id of a session's message, as first received."""

    key: int  # of the session
    id: str
    received_at: int  # when it was received here, which is not before it was submitted
    contents_hash: int
    ended: bool = False  # whether an end or an attempt is known


class RecentIds:
    """The recent ids of one partition at a replica; times are those of the replica's own clock."""

    def __init__(self, now: int) -> None:
        self.recorded_since = now  # each recent id that was accepted later is recorded
        self.term = self.next = -1
        self.by_number: dict[int, RecentId] = {}  # by message number
        self.arrivals: deque[tuple[int, int]] = deque()  # when each was received, and its message number

    def record(self, entry: ReplicaEntry, facts: Iterable[Fact], now: int) -> None:
        """Record the facts of a replicated entry that is in the replica's file."""
        fact_list = list(facts)
        is_tail = entry.upto <= entry.after
        first_index = entry.next_index - len(fact_list) if is_tail else entry.next_index
        if (entry.term, first_index) != (self.term, self.next):
            # A gap: messages in it may have been accepted and have ended without being recorded here.
            self.recorded_since = now
        self.term, self.next = entry.term, entry.next_index
        for fact in fact_list:
            self._record_fact(fact, now)
        while self.arrivals and (self.arrivals[0][0] < now - ID_RETENTION_US or len(self.arrivals) > MAX_IDS):
            received_at, number = self.arrivals.popleft()
            if received_at >= now - ID_RETENTION_US:
                self.recorded_since = max(self.recorded_since, received_at + 1)
            self.by_number.pop(number, None)

    def _record_fact(self, fact: Fact, now: int) -> None:
        known, known_id = fact.known, self.by_number.get(fact.number)
        if known_id is None:
            if fact.base is not None and fact.base.ordering_key and not is_finished(known):
                self.by_number[fact.number] = RecentId(
                    fact.base.ordering_key,
                    fact.base.id,
                    now,
                    submission_hash(fact.base, known.end[0]),
                    bool(known.attempts_by_term) or known.end[0] is not EndRank.NONE,
                )
                self.arrivals.append((now, fact.number))
            return
        if known.end[0] is EndRank.NOTIFIED and not known.attempts_by_term and not known_id.ended:
            # Withdrawn without an attempt or an end: its client was refused, so the id may be accepted again.
            del self.by_number[fact.number]
        else:
            known_id.ended |= bool(known.attempts_by_term) or known.end[0] is not EndRank.NONE

    def complete_at(self) -> int:
        """When all ids that must not be accepted again are known here."""
        return self.recorded_since + ID_RETENTION_US

    def ids_by_session(self) -> dict[int, dict[str, tuple[int, int]]]:
        """By session key: each id with when it was received and the hash of its contents."""
        ids: dict[int, dict[str, tuple[int, int]]] = {}
        for known_id in self.by_number.values():
            ids.setdefault(known_id.key, {})[known_id.id] = known_id.received_at, known_id.contents_hash
        return ids


def submission_hash(base: MessageBase, end: EndRank = EndRank.NONE) -> int:
    """The hash of a submission, as at the holder; `UNKNOWN_HASH` for an ended message, whose body is not sent."""
    if end is not EndRank.NONE:
        return UNKNOWN_HASH
    return hash_contents(base.key, base.priority_class, base.tenant, base.destination, base.body)
