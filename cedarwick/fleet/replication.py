"""Replication of a partition, the holder's side: a log of facts and the progress of each follower. No I/O.

A primary-copy log with terms (viewstamped replication, Liskov and Cowling 2012). The holder numbers each fact; a copy
(`replica.py`) takes a term's facts in that order without a gap. A copy that is new to the term, or behind the window,
is walked: it gets a full transfer of what is owed in pieces, ranges of message numbers in ascending order, while the
tail of the log goes on. The position of a copy is (term, next index, covered number). It only grows while the copy's
file lives:

- up to the covered number it has every message that is owed, at least as new as index `next`; above, only the tail;
- a piece that begins at 0 begins a walk: the copy's index jumps to the piece's;
- a piece that is older than the copy's position is refused ('gap'), as is one that leaves a hole;
- in the middle of a walk a copy keeps all that it held before, except what its holder says is over.

A piece is authoritative for its range only as of its index. A copy that is further on would, by taking it, bring back
what has ended since and drop what the tail has brought since. So the holder sends no tail while a piece is out, and the
copy refuses a piece that is older than its position. A piece that is newer does no harm: all that the copy holds is
older, and the tail that is repeated ends as it ended before.
"""

from bisect import bisect_left, bisect_right, insort
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import xxhash

from cedarwick.fleet.messages import DigestRange, Digests, ReplicaAck, ReplicateFacts, ReplicatePiece
from cedarwick.fleet.replication_facts import Fact, digest, encoded, over, together, trimmed

EVERYTHING = (1 << 63) - 1  # above every number
WINDOW = 4096  # facts of the log that the holder keeps in memory
WINDOW_BYTES = 1 << 23  # bytes of them
PART = 1 << 16  # bytes of facts in a message; more only where a single one is larger
PART_FACTS = 1024  # facts in a message
FEW = 4  # messages of the tail that may be out to one copy
PATIENCE = 500_000  # microseconds until an unanswered message is given up
REST = 1_000_000  # microseconds before a comparison that was not answered is sent again
SHARE = 2  # bytes of live traffic that allow one byte of pieces
FLOOR = 1 << 20  # bytes a second of pieces where there is little live traffic
COMPARE = 10_000_000  # microseconds between two comparisons of everything
BREATH = 20_000  # microseconds between two parts of one comparison
RANGE = 128  # facts in a range that is compared
RANGES = 2  # ranges in one message
FEW_STANDING = 64  # differences that are remembered from one comparison to the next
MOST_RESENDS = 3  # pieces for one difference that stays the same: then the copy knows more, which a join keeps
NO_PROBLEM, GAP, TERM, SPOILT, OTHER, NO_ROOM = "", "gap", "term", "spoilt", "version", "no room"
RESTS = {TERM: 100_000, SPOILT: 100_000, OTHER: 1_000_000, NO_ROOM: 1_000_000}  # before a copy that refused is asked


class ReplicaPosition(NamedTuple):
    """What a copy has; the larger one is the newer."""

    term: int
    next: int
    covered: int


NO_PLACE = ReplicaPosition(-1, 0, 0)


def summed(facts: Iterable[bytes]) -> tuple[int, int]:
    """Count and digest of the facts of a range."""
    hashed, count = xxhash.xxh3_64(), 0
    for each in facts:
        hashed.update(each)
        count += 1
    return count, hashed.intdigest()


class ReplicationLog:
    """The facts of one term of a partition, numbered from 0 on, and the numbers that are owed.

    A term has one log, ever.
    """

    def __init__(self, partition: int, term: int, read: Callable[[int], Fact | None], owed: Iterable[int] = ()) -> None:
        """`read` gives all that is known of an owed message as of the newest fact appended, None where it has ended;
        one whose body cannot be read comes without a base. `owed`: what the term begins with."""
        self.partition = partition
        self.term = term
        self.read = read
        self.owed = sorted(owed)
        self.window: deque[tuple[bytes, int]] = deque()  # encoded, when appended
        self.oldest = 0  # the index of the window's first
        self.bytes = 0  # of the window
        self.appended = 0  # bytes appended ever
        self.behind = False  # nothing that is answered waits for a copy
        self.followers: dict[str, FollowerProgress] = {}

    @property
    def next(self) -> int:
        """The index that the next fact gets."""
        return self.oldest + len(self.window)

    def append(self, fact: Fact, now: int) -> int:
        """Number a fact, at a time in microseconds; its index."""
        place = bisect_left(self.owed, fact.number)
        there = place < len(self.owed) and self.owed[place] == fact.number
        if over(fact.known):
            if there:
                del self.owed[place]
        elif not there:
            insort(self.owed, fact.number)
        data = encoded(trimmed(fact))
        self.window.append((data, now))
        self.bytes += len(data)
        self.appended += len(data)
        while len(self.window) > WINDOW or self.bytes > WINDOW_BYTES and len(self.window) > 1:
            self.bytes -= len(self.window.popleft()[0])
            self.oldest += 1
        return self.next - 1

    def follow(self, name: str, now: int) -> "FollowerProgress":
        """Begin to send to a copy."""
        self.followers[name] = FollowerProgress(self, now)
        return self.followers[name]

    def unfollow(self, name: str) -> None:
        """Stop sending to a copy."""
        self.followers.pop(name, None)

    def acked(self, successors: Iterable[str]) -> int:
        """The index below which each of these copies has all facts in its file; -1: one lacks the start state."""
        found = [self.followers.get(name) for name in successors]
        return min((each.acked if each is not None and each.covers else -1 for each in found), default=self.next)

    def tail(self, first: int) -> list[bytes]:
        """Facts of the window from an index on, as many as a message takes."""
        taken: list[bytes] = []
        size = 0
        for place in range(first - self.oldest, min(len(self.window), first - self.oldest + PART_FACTS)):
            data = self.window[place][0]
            size += len(data)
            if taken and size > PART:
                break
            taken.append(data)
        return taken

    def walk(self, after: int, upto: int) -> Iterator[tuple[int, bytes]]:
        """What is owed in a range, in ascending order, with its number."""
        for place in range(bisect_right(self.owed, after), len(self.owed)):
            number = self.owed[place]
            if number > upto:
                return
            fact = self.read(number)
            if fact is not None:
                yield number, encoded(trimmed(fact))

    def piece(self, after: int, upto: int) -> ReplicatePiece:
        """All that is owed in a range, or in a first part of it."""
        taken: list[bytes] = []
        size, last = 0, after
        for number, data in self.walk(after, upto):
            size += len(data)
            if taken and (size > PART or len(taken) == PART_FACTS):
                upto = last
                break
            taken.append(data)
            last = number
        facts = together(taken)
        return ReplicatePiece(self.partition, self.term, after, upto, facts, self.next, digest(facts), self.behind)

    def spans(self, after: int) -> tuple[DigestRange, ...]:
        """Ranges from a number on, with what they hold; the last one of all ends at `EVERYTHING`."""
        made: list[DigestRange] = []
        while len(made) < RANGES and after < EVERYTHING:
            place = bisect_right(self.owed, after) + RANGE - 1
            upto = self.owed[place] if place + 1 < len(self.owed) else EVERYTHING
            made.append(DigestRange(after, upto, *summed(data for _, data in self.walk(after, upto))))
            after = upto
        return tuple(made)


class SentRange(NamedTuple):
    """A message that is not answered yet."""

    upto: int  # the index behind a message of the tail, the last number of a piece
    until: int  # when it is given up


class FollowerProgress:
    """One copy as its holder sees it. Times are microseconds of any clock that never runs backwards."""

    def __init__(self, log: ReplicationLog, now: int) -> None:
        self.log = log
        self.place = NO_PLACE
        self.life = -1  # the copy's incarnation
        self.problem = NO_PROBLEM  # of its last answer
        self.superseded = False  # it knows a newer term: the holder has lost the partition
        self.sent = 0  # the index that is sent next
        self.out: deque[SentRange] = deque()  # of the tail
        self.piece: SentRange | None = None
        self.mends: deque[tuple[int, int]] = deque()  # ranges that differ
        # By range: the holder's and the copy's digests as seen last, and how often it was sent again.
        self.standing: dict[tuple[int, int], tuple[DigestRange, DigestRange, int]] = {}
        self.mended = 0  # ranges sent again
        self.pieces = 0  # taken by the copy, walks and mends
        self.rest_until = 0
        self.credit = float(PART)  # bytes of pieces that may go out
        self.counted = now, log.appended
        self.compared: tuple[DigestRange, ...] = ()  # out for comparison
        self.compare_at = now + COMPARE  # when the next part of a comparison, or its answer, is due
        self.compare_from = log.partition << 32
        self.pass_at = now  # when the comparison of everything began

    @property
    def whole(self) -> bool:
        """Whether it has all that is owed but for the tail, and that lies in the window."""
        return self._follows() and self.place.covered == EVERYTHING and self.problem not in (OTHER, NO_ROOM)

    @property
    def covers(self) -> bool:
        """Whether it has all that the term began with."""
        return self.place.term == self.log.term and self.place.covered == EVERYTHING

    @property
    def acked(self) -> int:
        """Every fact with a lower index is in its file."""
        return self.place.next if self.covers else 0

    def lag(self, now: int) -> tuple[int, int]:
        """Facts that it lacks, and for how many microseconds the oldest of them."""
        first = self.place.next if self.place.term == self.log.term else 0
        missing = self.log.next - first
        if missing <= 0:
            return 0, 0
        return missing, now - self.log.window[max(0, first - self.log.oldest)][1]

    def next(self, now: int) -> ReplicateFacts | ReplicatePiece | Digests | None:
        """The message to send now; None while there is nothing to send or answers are awaited.

        Called until it gives None whenever a fact was appended or an answer came, and every 50 ms or so.
        """
        if now < self.rest_until or self.superseded:
            return None
        if self.piece is not None:
            if now < self.piece.until:
                return None
            self.piece = None
        if self.out and self.out[0].until <= now:
            self._again()
        if self.life < 0:
            return None if self.out else self._tail(now, self.log.next)  # where are you?
        piece = self._piece(now)
        if piece is not None or not self._follows():
            return piece
        if self.sent < self.log.next:
            return self._tail(now, self.sent) if len(self.out) < FEW else None
        return self._compare(now)

    def have(self, now: int, message: ReplicaAck, life: int) -> None:
        """Note an answer of the copy; `life`: the incarnation of its process."""
        if life < self.life or message.partition != self.log.partition:
            return
        place = ReplicaPosition(message.term, message.next, message.covered)
        if life > self.life:
            # A new process: its file may be gone, so the earlier position counts for nothing.
            self.life, self.place = life, place
            self._again()
        elif place > self.place:
            self.place = place
        # A copy ahead of this holder has facts of another holder, which this one could never send.
        self.superseded |= place[:2] > (self.log.term, self.log.next)
        self.problem = message.problem
        if self.place.term == self.log.term:
            self.sent = max(self.sent, self.place.next)
            while self.out and self.out[0].upto <= self.place.next:
                self.out.popleft()
        if message.problem:
            self._again()
            self.rest_until = now + RESTS.get(message.problem, 0)
        elif self.piece is not None and self.place.term == self.log.term and self.place.covered >= self.piece.upto:
            self.piece = None
            self.pieces += 1

    def digests(self, now: int, message: Digests, life: int) -> None:
        """Compare the copy's digests with those sent; ranges that differ are sent again."""
        if life > self.life:
            self.lost()
        sent, self.compared = self.compared, ()
        if life != self.life or message.partition != self.log.partition or message.term != self.log.term:
            return
        if [(each.after, each.upto) for each in message.ranges] != [(each.after, each.upto) for each in sent]:
            return  # it was at another index, or this answers an older question; asked again when due
        for ours, theirs in zip(sent, message.ranges, strict=True):
            span = ours.after, ours.upto
            if ours == theirs:
                self.standing.pop(span, None)
                continue
            before = self.standing.get(span)
            resends = before[2] if before is not None and before[:2] == (ours, theirs) else 0
            if resends < MOST_RESENDS:
                self.standing[span] = ours, theirs, resends + 1
                self.mends.append(span)
                self.mended += 1
        self.compare_from = sent[-1].upto if sent else self.compare_from
        self.compare_at = now + BREATH
        if self.compare_from == EVERYTHING:
            self.compare_from = self.log.partition << 32
            self.compare_at = max(now, self.pass_at + COMPARE)
            self.pass_at = self.compare_at
            self.standing = dict(list(self.standing.items())[-FEW_STANDING:])

    def lost(self) -> None:
        """Forget the copy's position, since its process is a new one: it is asked for it."""
        self.life, self.place = -1, NO_PLACE
        self._again()

    def _follows(self) -> bool:
        """Whether the tail alone brings it up to date."""
        return self.place.term == self.log.term and self.place.next >= self.log.oldest

    def _again(self) -> None:
        """Send again from the position that it has reported."""
        self.out.clear()
        self.piece = None
        self.sent = self.place.next if self.place.term == self.log.term else self.log.next

    def _tail(self, now: int, first: int) -> ReplicateFacts:
        taken = self.log.tail(first)
        facts = together(taken)
        self.sent = first + len(taken)
        self.out.append(SentRange(self.sent, now + PATIENCE))
        return ReplicateFacts(self.log.partition, self.log.term, first, facts, digest(facts))

    def _piece(self, now: int) -> ReplicatePiece | None:
        """The next piece of a walk or of what differs, where one is due and the pace allows it."""
        if not self._follows():
            span = 0, EVERYTHING
        elif self.place.covered < EVERYTHING:
            span = self.place.covered, EVERYTHING
        elif self.mends:
            span = self.mends[0]
        else:
            return None
        before, appended = self.counted
        self.counted = now, self.log.appended
        grown = (self.log.appended - appended) / SHARE + FLOOR * (now - before) / 1e6
        self.credit = min(self.credit + grown, PART)
        if self.credit <= 0:
            return None
        piece = self.log.piece(*span)
        if self.place.covered == EVERYTHING and self._follows():
            self.mends.popleft()
            if piece.upto < span[1]:
                self.mends.appendleft((piece.upto, span[1]))
        self.credit -= len(piece.facts)
        self.piece = SentRange(piece.upto, now + PATIENCE)
        return piece

    def _compare(self, now: int) -> Digests | None:
        if now < self.compare_at or self.place.covered < EVERYTHING:
            return None
        self.compare_at = now + REST  # where no answer comes
        self.compared = self.log.spans(self.compare_from)
        return Digests(self.log.partition, self.log.term, self.compared, self.log.next)
