"""Replication of a partition on the holder's side: the log of facts and the progress of each follower. No I/O.

The protocol is primary-copy replication with terms (viewstamped replication, Liskov and Cowling 2012). The holder
numbers each fact; a replica (`replica.py`) accepts the facts of a term in that order and without gaps. A replica that
is new to the term, or that has fallen behind the window, gets a full transfer: all pending messages in pieces, each
covering a range of message numbers in ascending order, while the tail of the log continues. The position of a replica
is (term, next index, covered number). It only grows as long as the replica's file exists:

- up to the covered number the replica has every pending message, at least as new as the next index; above that number
  it has only what the tail brought;
- a piece that begins at 0 begins a full transfer: the replica's index jumps to that of the piece;
- a piece that is older than the replica's position, or that would leave a gap, is refused ('gap');
- during a full transfer a replica keeps everything that it held before, except what its holder reports as finished.

A piece is authoritative for its range only as of its index. A replica that is further on would, by accepting it,
restore messages that have finished since and drop messages that the tail has added since. So the holder sends no tail
while a piece is unanswered, and the replica refuses a piece that is older than its position. A piece that is newer does
no harm: everything that the replica holds is older, and replaying the tail leads to the same state again.
"""

from bisect import bisect_left, bisect_right, insort
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

import xxhash

from cedarwick.fleet.messages import DigestRange, Digests, ReplicaAck, ReplicateFacts, ReplicatePiece
from cedarwick.fleet.replication_facts import Fact, digest, encode_batch, encode_fact, is_finished, trimmed

MAX_MESSAGE_NUMBER = (1 << 63) - 1  # no message has a larger number
MAX_WINDOW_FACTS = 4096  # facts of the log kept in the holder's memory
MAX_WINDOW_BYTES = 1 << 23  # encoded bytes of these facts
MESSAGE_BYTES = 1 << 16  # bytes of facts in one message; exceeded only by a single larger fact
MESSAGE_FACTS = 1024  # maximum number of facts in one message
MAX_UNACKED = 4  # tail messages to one replica that may be unacknowledged at a time
ACK_TIMEOUT_US = 500_000  # after which an unanswered message is sent again
COMPARE_RETRY_US = 1_000_000  # after which an unanswered comparison is sent again
LIVE_BYTES_PER_PIECE_BYTE = 2  # bytes of live traffic that allow one byte of pieces
MIN_PIECE_BYTES_PER_S = 1 << 20  # minimum rate of pieces when there is little live traffic
COMPARE_INTERVAL_US = 10_000_000  # between the starts of two full comparisons
COMPARE_PAUSE_US = 20_000  # between two messages of one comparison
RANGE_FACTS = 128  # facts in one compared range
RANGES_PER_MESSAGE = 2  # compared ranges in one message
MAX_DIFFERENCES = 64  # differing ranges remembered from one full comparison to the next
MAX_RESENDS = 3  # of a range with the same difference: after that the replica knows more, which a join keeps
NO_PROBLEM, GAP, OLD_TERM, CORRUPT, OTHER_VERSION, NO_ROOM = "", "gap", "term", "spoilt", "version", "no room"
# By problem: how long nothing is sent to a replica after it has refused a message.
REFUSAL_PAUSE_US = {OLD_TERM: 100_000, CORRUPT: 100_000, OTHER_VERSION: 1_000_000, NO_ROOM: 1_000_000}


class ReplicaPosition(NamedTuple):
    """The position of a replica; the larger one is newer."""

    term: int
    next_index: int
    covered_upto: int


NO_POSITION = ReplicaPosition(-1, 0, 0)


def count_and_digest(facts: Iterable[bytes]) -> tuple[int, int]:
    """The count and the digest of the encoded facts of a range."""
    hasher, count = xxhash.xxh3_64(), 0
    for each in facts:
        hasher.update(each)
        count += 1
    return count, hasher.intdigest()


class ReplicationLog:
    """The facts of one term of a partition, indexed from 0 on, and the numbers of the pending messages.

    A term never has more than one log.
    """

    def __init__(
        self, partition: int, term: int, read: Callable[[int], Fact | None], pending: Iterable[int] = ()
    ) -> None:
        """Create the log of a term.

        Args:
            partition: the partition's number.
            term: the term of the holder's lease.
            read: returns all that is known of a pending message as of the newest fact appended, or None once it has
                finished; without a base if the body cannot be read.
            pending: numbers of the messages that are pending when the term begins.
        """
        self.partition = partition
        self.term = term
        self.read = read
        self.pending_numbers = sorted(pending)
        self.window: deque[LoggedFact] = deque()
        self.oldest_index = 0  # index of the first fact in the window
        self.window_bytes = 0  # encoded bytes in the window
        self.appended_bytes = 0  # encoded bytes appended since the log began
        self.asynchronous = False  # clients are answered without waiting for a replica
        self.followers: dict[str, FollowerProgress] = {}

    @property
    def next_index(self) -> int:
        """The index that the next appended fact will get."""
        return self.oldest_index + len(self.window)

    def append(self, fact: Fact, now: int) -> int:
        """Append a fact at a time in microseconds; returns its index."""
        index = bisect_left(self.pending_numbers, fact.number)
        is_pending = index < len(self.pending_numbers) and self.pending_numbers[index] == fact.number
        if is_finished(fact.known):
            if is_pending:
                del self.pending_numbers[index]
        elif not is_pending:
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
        """Start sending the log to a replica."""
        self.followers[name] = FollowerProgress(self, now)
        return self.followers[name]

    def remove_follower(self, name: str) -> None:
        """Stop sending the log to a replica."""
        self.followers.pop(name, None)

    def acked_by(self, successors: Iterable[str]) -> int:
        """The index below which all these replicas have every fact in their files; -1 if one lacks the start state."""
        progresses = [self.followers.get(name) for name in successors]
        return min(
            (each.acked_index if each is not None and each.has_start_state else -1 for each in progresses),
            default=self.next_index,
        )

    def tail(self, first: int) -> list[bytes]:
        """Encoded facts of the window from an index on, as many as fit in one message."""
        encoded: list[bytes] = []
        size = 0
        for index in range(first - self.oldest_index, min(len(self.window), first - self.oldest_index + MESSAGE_FACTS)):
            data = self.window[index].data
            size += len(data)
            if encoded and size > MESSAGE_BYTES:
                break
            encoded.append(data)
        return encoded

    def pending_facts(self, after: int, upto: int) -> Iterator[tuple[int, bytes]]:
        """The numbers and encoded facts of the pending messages in a range, in ascending order."""
        for index in range(bisect_right(self.pending_numbers, after), len(self.pending_numbers)):
            number = self.pending_numbers[index]
            if number > upto:
                return
            fact = self.read(number)
            if fact is not None:
                yield number, encode_fact(trimmed(fact))

    def build_piece(self, after: int, upto: int) -> ReplicatePiece:
        """A piece with all pending messages in a range, or in as much of its beginning as fits."""
        encoded: list[bytes] = []
        size, last = 0, after
        for number, data in self.pending_facts(after, upto):
            size += len(data)
            if encoded and (size > MESSAGE_BYTES or len(encoded) == MESSAGE_FACTS):
                upto = last
                break
            encoded.append(data)
            last = number
        facts = encode_batch(encoded)
        return ReplicatePiece(
            self.partition, self.term, after, upto, facts, self.next_index, digest(facts), self.asynchronous
        )

    def digest_ranges(self, after: int) -> tuple[DigestRange, ...]:
        """Consecutive ranges from a number on, with their digests; the last of all ends at `MAX_MESSAGE_NUMBER`."""
        ranges: list[DigestRange] = []
        while len(ranges) < RANGES_PER_MESSAGE and after < MAX_MESSAGE_NUMBER:
            index = bisect_right(self.pending_numbers, after) + RANGE_FACTS - 1
            upto = self.pending_numbers[index] if index + 1 < len(self.pending_numbers) else MAX_MESSAGE_NUMBER
            ranges.append(
                DigestRange(after, upto, *count_and_digest(data for _, data in self.pending_facts(after, upto)))
            )
            after = upto
        return tuple(ranges)


class LoggedFact(NamedTuple):
    """A fact in the log's window."""

    data: bytes  # the encoded fact
    appended_at: int


class RangeDifference(NamedTuple):
    """A range in which the holder's and the replica's digests differ."""

    ours: DigestRange
    theirs: DigestRange
    resends: int  # how often the range has been sent again


class ReplicaLag(NamedTuple):
    """How far a replica is behind the log."""

    facts: int  # number of facts that it lacks
    age_us: int  # age of the oldest of them


class SentRange(NamedTuple):
    """A message that has not been answered yet."""

    upto: int  # tail: the index after its last fact; piece: its last message number
    expires_at: int  # when it counts as lost


class FollowerProgress:
    """The holder's view of one replica. Times are microseconds of any monotonic clock."""

    def __init__(self, log: ReplicationLog, now: int) -> None:
        self.log = log
        self.position = NO_POSITION
        self.incarnation = -1  # the incarnation of the replica's process; -1: unknown
        self.problem = NO_PROBLEM  # reported in its last answer
        self.superseded = False  # the replica knows a newer term, so this holder has lost the partition
        self.next_to_send = 0  # the index to send next
        self.unacked: deque[SentRange] = deque()  # tail messages
        self.unacked_piece: SentRange | None = None
        self.ranges_to_resend: deque[tuple[int, int]] = deque()  # ranges whose digests differ
        self.differences: dict[tuple[int, int], RangeDifference] = {}  # by (after, upto)
        self.ranges_resent = 0  # counts ranges queued to be sent again
        self.pieces_taken = 0  # accepted by the replica, in full transfers and for ranges that differ
        self.resume_at = 0  # nothing is sent before this time
        self.piece_credit_bytes = float(MESSAGE_BYTES)  # bytes of pieces that may be sent now
        self.credit_updated = now, log.appended_bytes  # as of the last update of the credit
        self.compared_ranges: tuple[DigestRange, ...] = ()  # sent and not answered yet
        self.compare_at = now + COMPARE_INTERVAL_US  # when the next comparison message is sent
        self.compare_from = log.partition << 32
        self.comparison_began_at = now  # when the full comparison began

    @property
    def is_complete(self) -> bool:
        """Whether it has everything but a part of the tail that is still in the window."""
        return (
            self._is_in_window()
            and self.position.covered_upto == MAX_MESSAGE_NUMBER
            and self.problem not in (OTHER_VERSION, NO_ROOM)
        )

    @property
    def has_start_state(self) -> bool:
        """Whether it has all messages that were pending when the term began."""
        return self.position.term == self.log.term and self.position.covered_upto == MAX_MESSAGE_NUMBER

    @property
    def acked_index(self) -> int:
        """The index below which every fact is in its file."""
        return self.position.next_index if self.has_start_state else 0

    def lag(self, now: int) -> ReplicaLag:
        """How many facts it lacks, and the age of the oldest of them."""
        first = self.position.next_index if self.position.term == self.log.term else 0
        missing = self.log.next_index - first
        if missing <= 0:
            return ReplicaLag(0, 0)
        return ReplicaLag(missing, now - self.log.window[max(0, first - self.log.oldest_index)].appended_at)

    def next_message(self, now: int) -> ReplicateFacts | ReplicatePiece | Digests | None:
        """The message to send now; None if there is nothing to send, or if an answer must arrive first.

        The caller repeats the call until it returns None, each time a fact was appended or an answer arrived, and at
        least about every 50 ms.
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
            return None if self.unacked else self._tail(now, self.log.next_index)  # asks the replica for its position
        piece = self._piece(now)
        if piece is not None or not self._is_in_window():
            return piece
        if self.next_to_send < self.log.next_index:
            return self._tail(now, self.next_to_send) if len(self.unacked) < MAX_UNACKED else None
        return self._compare(now)

    def receive_ack(self, now: int, message: ReplicaAck, incarnation: int) -> None:
        """Process an answer of the replica; `incarnation`: the incarnation of the process that sent it."""
        if incarnation < self.incarnation or message.partition != self.log.partition:
            return
        reported = ReplicaPosition(message.term, message.next, message.covered)
        if incarnation > self.incarnation:
            # A new process: its file may be gone, so the previous position is no longer valid.
            self.incarnation, self.position = incarnation, reported
            self._rewind()
        elif reported > self.position:
            self.position = reported
        # A replica ahead of this holder has facts of another holder, which this one could not have sent.
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
        """Compare the replica's digests with those sent; ranges that differ are queued to be sent again."""
        if incarnation > self.incarnation:
            self.forget_position()
        sent, self.compared_ranges = self.compared_ranges, ()
        if incarnation != self.incarnation or message.partition != self.log.partition or message.term != self.log.term:
            return
        if [(each.after, each.upto) for each in message.ranges] != [(each.after, each.upto) for each in sent]:
            return  # the replica was at another index, or answers an older message; compared again when due
        for ours, theirs in zip(sent, message.ranges, strict=True):
            span = ours.after, ours.upto
            if ours == theirs:
                self.differences.pop(span, None)
                continue
            previous = self.differences.get(span)
            resends = (
                previous.resends if previous is not None and (previous.ours, previous.theirs) == (ours, theirs) else 0
            )
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
        """Discard the replica's position because its process is new; the replica is asked for it again."""
        self.incarnation, self.position = -1, NO_POSITION
        self._rewind()

    def _is_in_window(self) -> bool:
        """Whether the tail in the window is enough to bring the replica up to date."""
        return self.position.term == self.log.term and self.position.next_index >= self.log.oldest_index

    def _rewind(self) -> None:
        """Resume sending from the position that the replica has reported."""
        self.unacked.clear()
        self.unacked_piece = None
        self.next_to_send = self.position.next_index if self.position.term == self.log.term else self.log.next_index

    def _tail(self, now: int, first: int) -> ReplicateFacts:
        encoded = self.log.tail(first)
        facts = encode_batch(encoded)
        self.next_to_send = first + len(encoded)
        self.unacked.append(SentRange(self.next_to_send, now + ACK_TIMEOUT_US))
        return ReplicateFacts(self.log.partition, self.log.term, first, facts, digest(facts))

    def _piece(self, now: int) -> ReplicatePiece | None:
        """The next piece of a full transfer or of a differing range, if one is due and the rate limit allows it."""
        if not self._is_in_window():
            span = 0, MAX_MESSAGE_NUMBER
        elif self.position.covered_upto < MAX_MESSAGE_NUMBER:
            span = self.position.covered_upto, MAX_MESSAGE_NUMBER
        elif self.ranges_to_resend:
            span = self.ranges_to_resend[0]
        else:
            return None
        updated_at, appended = self.credit_updated
        self.credit_updated = now, self.log.appended_bytes
        credit = (self.log.appended_bytes - appended) / LIVE_BYTES_PER_PIECE_BYTE + MIN_PIECE_BYTES_PER_S * (
            now - updated_at
        ) / 1e6
        self.piece_credit_bytes = min(self.piece_credit_bytes + credit, MESSAGE_BYTES)
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
        self.compare_at = now + COMPARE_RETRY_US  # unless an answer arrives
        self.compared_ranges = self.log.digest_ranges(self.compare_from)
        return Digests(self.log.partition, self.log.term, self.compared_ranges, self.log.next_index)
