"""Replication of a partition, the holder's side: a log of facts and the progress of each follower. No I/O.

A primary-copy log with terms (viewstamped replication, Liskov and Cowling 2012). The holder numbers each fact; a
replica (`replica.py`) takes a term's facts in that order without a gap. A replica that is new to the term, or behind
the window, is walked: it gets a full transfer of what is owed in pieces, ranges of message numbers in ascending order,
while the tail of the log goes on. The position of a replica is (term, next index, covered number). It only grows while
the replica's file lives:

- up to the covered number it has every message that is owed, at least as new as index `next`; above, only the tail;
- a piece that begins at 0 begins a walk: the replica's index jumps to the piece's;
- a piece that is older than the replica's position is refused ('gap'), as is one that leaves a hole;
- in the middle of a walk a replica keeps all that it held before, except what its holder says is over.

A piece is authoritative for its range only as of its index. A replica that is further on would, by taking it, bring
back what has ended since and drop what the tail has brought since. So the holder sends no tail while a piece is out,
and the replica refuses a piece that is older than its position. A piece that is newer does no harm: all that the
replica holds is older, and the tail that is repeated ends as it ended before.
"""

from bisect import bisect_left, bisect_right, insort
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import xxhash

from cedarwick.fleet.messages import DigestRange, Digests, ReplicaAck, ReplicateFacts, ReplicatePiece
from cedarwick.fleet.replication_facts import Fact, digest, encode_batch, encode_fact, is_finished, trimmed

MAX_MESSAGE_NUMBER = (1 << 63) - 1  # above every number
MAX_WINDOW_FACTS = 4096  # facts of the log that the holder keeps in memory
MAX_WINDOW_BYTES = 1 << 23  # of them
MESSAGE_BYTES = 1 << 16  # of facts in one message; more only where a single one is larger
MESSAGE_FACTS = 1024  # in one message
MAX_UNACKED = 4  # messages of the tail that may be out to one replica
ACK_TIMEOUT_US = 500_000  # until an unanswered message is given up
COMPARE_RETRY_US = 1_000_000  # before a comparison that was not answered is sent again
LIVE_BYTES_PER_PIECE_BYTE = 2  # bytes of live traffic that allow one byte of pieces
MIN_PIECE_BYTES_PER_S = 1 << 20  # of pieces, where there is little live traffic
COMPARE_INTERVAL_US = 10_000_000  # between two comparisons of everything
COMPARE_PAUSE_US = 20_000  # between two parts of one comparison
RANGE_FACTS = 128  # facts in a range that is compared
RANGES_PER_MESSAGE = 2  # ranges in one message
MAX_DIFFERENCES = 64  # differences that are remembered from one comparison to the next
MAX_RESENDS = 3  # pieces for one difference that stays the same: then the replica knows more, which a join keeps
NO_PROBLEM, GAP, OLD_TERM, CORRUPT, OTHER_VERSION, NO_ROOM = "", "gap", "term", "spoilt", "version", "no room"
# By problem: until a replica that has refused a message is sent the next one.
REFUSAL_PAUSE_US = {OLD_TERM: 100_000, CORRUPT: 100_000, OTHER_VERSION: 1_000_000, NO_ROOM: 1_000_000}


class ReplicaPosition(NamedTuple):
    """What a replica has; the larger one is the newer."""

    term: int
    next_index: int
    covered_upto: int


NO_POSITION = ReplicaPosition(-1, 0, 0)


def count_and_digest(facts: Iterable[bytes]) -> tuple[int, int]:
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
        self.pending_numbers = sorted(owed)
        self.window: deque[LoggedFact] = deque()
        self.oldest_index = 0  # the index of the window's first
        self.window_bytes = 0  # of the window
        self.appended_bytes = 0  # bytes appended ever
        self.asynchronous = False  # nothing that is answered waits for a replica
        self.followers: dict[str, FollowerProgress] = {}

    @property
    def next_index(self) -> int:
        """The index that the next fact gets."""
        return self.oldest_index + len(self.window)

    def append(self, fact: Fact, now: int) -> int:
        """Number a fact, at a time in microseconds; its index."""
        index = bisect_left(self.pending_numbers, fact.number)
        there = index < len(self.pending_numbers) and self.pending_numbers[index] == fact.number
        if is_finished(fact.known):
            if there:
                del self.pending_numbers[index]
        elif not there:
            insort(self.pending_numbers, fact.number)
        data = encode_fact(trimmed(fact))
        self.window.append(LoggedFact(data, now))
        self.window_bytes += len(data)
        self.appended_bytes += len(data)
        while len(self.window) > MAX_WINDOW_FACTS or self.window_bytes > MAX_WINDOW_BYTES and len(self.window) > 1:
            self.window_bytes -= len(self.window.popleft().data)
            self.oldest_index += 1
        return self.next_index - 1

    def add_follower(self, name: str, now: int) -> "FollowerProgress":
        """Begin to send to a replica."""
        self.followers[name] = FollowerProgress(self, now)
        return self.followers[name]

    def remove_follower(self, name: str) -> None:
        """Stop sending to a replica."""
        self.followers.pop(name, None)

    def acked_by(self, successors: Iterable[str]) -> int:
        """The index below which each of these replicas has all facts in its file; -1: one lacks the start state."""
        found = [self.followers.get(name) for name in successors]
        return min(
            (each.acked_index if each is not None and each.has_start_state else -1 for each in found),
            default=self.next_index,
        )

    def tail(self, first: int) -> list[bytes]:
        """Facts of the window from an index on, as many as a message takes."""
        taken: list[bytes] = []
        size = 0
        for index in range(first - self.oldest_index, min(len(self.window), first - self.oldest_index + MESSAGE_FACTS)):
            data = self.window[index].data
            size += len(data)
            if taken and size > MESSAGE_BYTES:
                break
            taken.append(data)
        return taken

    def pending_facts(self, after: int, upto: int) -> Iterator[tuple[int, bytes]]:
        """What is owed in a range, in ascending order, with its number."""
        for index in range(bisect_right(self.pending_numbers, after), len(self.pending_numbers)):
            number = self.pending_numbers[index]
            if number > upto:
                return
            fact = self.read(number)
            if fact is not None:
                yield number, encode_fact(trimmed(fact))

    def build_piece(self, after: int, upto: int) -> ReplicatePiece:
        """All that is owed in a range, or in a first part of it."""
        taken: list[bytes] = []
        size, last = 0, after
        for number, data in self.pending_facts(after, upto):
            size += len(data)
            if taken and (size > MESSAGE_BYTES or len(taken) == MESSAGE_FACTS):
                upto = last
                break
            taken.append(data)
            last = number
        facts = encode_batch(taken)
        return ReplicatePiece(
            self.partition, self.term, after, upto, facts, self.next_index, digest(facts), self.asynchronous
        )

    def digest_ranges(self, after: int) -> tuple[DigestRange, ...]:
        """Ranges from a number on, with what they hold; the last one of all ends at `MAX_MESSAGE_NUMBER`."""
        made: list[DigestRange] = []
        while len(made) < RANGES_PER_MESSAGE and after < MAX_MESSAGE_NUMBER:
            index = bisect_right(self.pending_numbers, after) + RANGE_FACTS - 1
            upto = self.pending_numbers[index] if index + 1 < len(self.pending_numbers) else MAX_MESSAGE_NUMBER
            made.append(
                DigestRange(after, upto, *count_and_digest(data for _, data in self.pending_facts(after, upto)))
            )
            after = upto
        return tuple(made)


class LoggedFact(NamedTuple):
    """An entry of the log."""

    data: bytes  # the encoded fact
    appended_at: int


class RangeDifference(NamedTuple):
    """A range in which the holder's and the replica's digests differ."""

    ours: DigestRange
    theirs: DigestRange
    resends: int  # how often the range was sent again


class ReplicaLag(NamedTuple):
    """How far a replica is behind the log."""

    facts: int  # that it lacks
    age_us: int  # of the oldest of them


class SentRange(NamedTuple):
    """A message that is not answered yet."""

    upto: int  # the index behind a message of the tail, the last number of a piece
    expires_at: int  # when it is given up


class FollowerProgress:
    """One replica as its holder sees it. Times are microseconds of any clock that never runs backwards."""

    def __init__(self, log: ReplicationLog, now: int) -> None:
        self.log = log
        self.position = NO_POSITION
        self.incarnation = -1  # the replica's incarnation
        self.problem = NO_PROBLEM  # of its last answer
        self.superseded = False  # it knows a newer term: the holder has lost the partition
        self.next_to_send = 0  # the index that is sent next
        self.unacked: deque[SentRange] = deque()  # of the tail
        self.unacked_piece: SentRange | None = None
        self.ranges_to_resend: deque[tuple[int, int]] = deque()  # ranges that differ
        self.differences: dict[tuple[int, int], RangeDifference] = {}  # by range
        self.ranges_resent = 0  # ranges sent again
        self.pieces_taken = 0  # taken by the replica, walks and mends
        self.resume_at = 0
        self.piece_credit_bytes = float(MESSAGE_BYTES)  # bytes of pieces that may go out
        self.credit_updated = now, log.appended_bytes
        self.compared_ranges: tuple[DigestRange, ...] = ()  # out for comparison
        self.compare_at = now + COMPARE_INTERVAL_US  # when the next part of a comparison, or its answer, is due
        self.compare_from = log.partition << 32
        self.comparison_began_at = now  # when the comparison of everything began

    @property
    def is_complete(self) -> bool:
        """Whether it has all that is owed but for the tail, and that lies in the window."""
        return (
            self._is_in_window()
            and self.position.covered_upto == MAX_MESSAGE_NUMBER
            and self.problem not in (OTHER_VERSION, NO_ROOM)
        )

    @property
    def has_start_state(self) -> bool:
        """Whether it has all that the term began with."""
        return self.position.term == self.log.term and self.position.covered_upto == MAX_MESSAGE_NUMBER

    @property
    def acked_index(self) -> int:
        """Every fact with a lower index is in its file."""
        return self.position.next_index if self.has_start_state else 0

    def lag(self, now: int) -> ReplicaLag:
        """Facts that it lacks, and for how many microseconds the oldest of them."""
        first = self.position.next_index if self.position.term == self.log.term else 0
        missing = self.log.next_index - first
        if missing <= 0:
            return ReplicaLag(0, 0)
        return ReplicaLag(missing, now - self.log.window[max(0, first - self.log.oldest_index)].appended_at)

    def next_message(self, now: int) -> ReplicateFacts | ReplicatePiece | Digests | None:
        """The message to send now; None while there is nothing to send or answers are awaited.

        Called until it gives None whenever a fact was appended or an answer came, and every 50 ms or so.
        """
        if now < self.resume_at or self.superseded:
            return None
        if self.unacked_piece is not None:
            if now < self.unacked_piece.expires_at:
                return None
            self.unacked_piece = None
        if self.unacked and self.unacked[0].expires_at <= now:
            self._rewind()
        if self.incarnation < 0:
            return None if self.unacked else self._tail(now, self.log.next_index)  # where are you?
        piece = self._piece(now)
        if piece is not None or not self._is_in_window():
            return piece
        if self.next_to_send < self.log.next_index:
            return self._tail(now, self.next_to_send) if len(self.unacked) < MAX_UNACKED else None
        return self._compare(now)

    def receive_ack(self, now: int, message: ReplicaAck, incarnation: int) -> None:
        """Note an answer of the replica; `incarnation`: the incarnation of its process."""
        if incarnation < self.incarnation or message.partition != self.log.partition:
            return
        reported = ReplicaPosition(message.term, message.next, message.covered)
        if incarnation > self.incarnation:
            # A new process: its file may be gone, so the earlier position counts for nothing.
            self.incarnation, self.position = incarnation, reported
            self._rewind()
        elif reported > self.position:
            self.position = reported
        # A replica ahead of this holder has facts of another holder, which this one could never send.
        self.superseded |= reported[:2] > (self.log.term, self.log.next_index)
        self.problem = message.problem
        if self.position.term == self.log.term:
            self.next_to_send = max(self.next_to_send, self.position.next_index)
            while self.unacked and self.unacked[0].upto <= self.position.next_index:
                self.unacked.popleft()
        if message.problem:
            self._rewind()
            self.resume_at = now + REFUSAL_PAUSE_US.get(message.problem, 0)
        elif (
            self.unacked_piece is not None
            and self.position.term == self.log.term
            and self.position.covered_upto >= self.unacked_piece.upto
        ):
            self.unacked_piece = None
            self.pieces_taken += 1

    def receive_digests(self, now: int, message: Digests, incarnation: int) -> None:
        """Compare the replica's digests with those sent; ranges that differ are sent again."""
        if incarnation > self.incarnation:
            self.forget_position()
        sent, self.compared_ranges = self.compared_ranges, ()
        if incarnation != self.incarnation or message.partition != self.log.partition or message.term != self.log.term:
            return
        if [(each.after, each.upto) for each in message.ranges] != [(each.after, each.upto) for each in sent]:
            return  # it was at another index, or this answers an older question; asked again when due
        for ours, theirs in zip(sent, message.ranges, strict=True):
            span = ours.after, ours.upto
            if ours == theirs:
                self.differences.pop(span, None)
                continue
            before = self.differences.get(span)
            resends = before.resends if before is not None and (before.ours, before.theirs) == (ours, theirs) else 0
            if resends < MAX_RESENDS:
                self.differences[span] = RangeDifference(ours, theirs, resends + 1)
                self.ranges_to_resend.append(span)
                self.ranges_resent += 1
        self.compare_from = sent[-1].upto if sent else self.compare_from
        self.compare_at = now + COMPARE_PAUSE_US
        if self.compare_from == MAX_MESSAGE_NUMBER:
            self.compare_from = self.log.partition << 32
            self.compare_at = max(now, self.comparison_began_at + COMPARE_INTERVAL_US)
            self.comparison_began_at = self.compare_at
            self.differences = dict(list(self.differences.items())[-MAX_DIFFERENCES:])

    def forget_position(self) -> None:
        """Forget the replica's position, since its process is a new one: it is asked for it."""
        self.incarnation, self.position = -1, NO_POSITION
        self._rewind()

    def _is_in_window(self) -> bool:
        """Whether the tail alone brings it up to date."""
        return self.position.term == self.log.term and self.position.next_index >= self.log.oldest_index

    def _rewind(self) -> None:
        """Send again from the position that it has reported."""
        self.unacked.clear()
        self.unacked_piece = None
        self.next_to_send = self.position.next_index if self.position.term == self.log.term else self.log.next_index

    def _tail(self, now: int, first: int) -> ReplicateFacts:
        taken = self.log.tail(first)
        facts = encode_batch(taken)
        self.next_to_send = first + len(taken)
        self.unacked.append(SentRange(self.next_to_send, now + ACK_TIMEOUT_US))
        return ReplicateFacts(self.log.partition, self.log.term, first, facts, digest(facts))

    def _piece(self, now: int) -> ReplicatePiece | None:
        """The next piece of a walk or of what differs, where one is due and the pace allows it."""
        if not self._is_in_window():
            span = 0, MAX_MESSAGE_NUMBER
        elif self.position.covered_upto < MAX_MESSAGE_NUMBER:
            span = self.position.covered_upto, MAX_MESSAGE_NUMBER
        elif self.ranges_to_resend:
            span = self.ranges_to_resend[0]
        else:
            return None
        before, appended = self.credit_updated
        self.credit_updated = now, self.log.appended_bytes
        grown = (self.log.appended_bytes - appended) / LIVE_BYTES_PER_PIECE_BYTE + MIN_PIECE_BYTES_PER_S * (
            now - before
        ) / 1e6
        self.piece_credit_bytes = min(self.piece_credit_bytes + grown, MESSAGE_BYTES)
        if self.piece_credit_bytes <= 0:
            return None
        piece = self.log.build_piece(*span)
        if self.position.covered_upto == MAX_MESSAGE_NUMBER and self._is_in_window():
            self.ranges_to_resend.popleft()
            if piece.upto < span[1]:
                self.ranges_to_resend.appendleft((piece.upto, span[1]))
        self.piece_credit_bytes -= len(piece.facts)
        self.unacked_piece = SentRange(piece.upto, now + ACK_TIMEOUT_US)
        return piece

    def _compare(self, now: int) -> Digests | None:
        if now < self.compare_at or self.position.covered_upto < MAX_MESSAGE_NUMBER:
            return None
        self.compare_at = now + COMPARE_RETRY_US  # where no answer comes
        self.compared_ranges = self.log.digest_ranges(self.compare_from)
        return Digests(self.log.partition, self.log.term, self.compared_ranges, self.log.next_index)
