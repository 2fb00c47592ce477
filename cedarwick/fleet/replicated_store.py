"""The folder of a sender that belongs to a fleet: what is written there also goes to the copies.

`ReplicatedStore` is the folder as the dispatcher knows it. Besides, it has a `LeasedPartition` (ledger of facts and
replication log) for each partition that this sender holds, and says whether the lease allows it to fire. The node
decides which partitions are held.
"""

import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from dataclasses import replace
from itertools import islice
from typing import Any

import gevent.event

from cedarwick.decisions.interface import Outcome
from cedarwick.errors import CedarwickError
from cedarwick.fleet.leased_partition import LeasedPartition
from cedarwick.fleet.replication import ReplicationLog
from cedarwick.fleet.replication_facts import (
    EndRank,
    Fact,
    FactLedger,
    decode_facts,
    in_doubt,
    join_facts,
    over,
    stored_message_of,
    together,
    with_end,
)
from cedarwick.store.bodies import BodyLostError
from cedarwick.store.files import NoSpaceError
from cedarwick.store.journal import Store
from cedarwick.store.records import StoredMessage

BLOCK = 1 << 16  # numbers that are reserved at once: so many are skipped at a restart
PER_PARTITION = 1 << 32


class NotReplicatedError(CedarwickError, OSError):
    """No copy has taken a record in time."""

    code = "CW741"
    remedy = "look at the members that have the copies, and at the network to them; `fleet.alone` says what follows"


def monotonic_time() -> int:
    """Whole microseconds of the clock that goes on while the machine sleeps."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class ReplicatedStore(Store):
    """The folder, as `Store`, with the changes of each message replicated through its partition's log."""

    def __init__(self, *args: Any, by_copy: bool = False, within_us: int = 150_000, **more: Any) -> None:
        """As `Store`; `by_copy`: what is answered waits for the successors, `within_us` microseconds at most."""
        super().__init__(*args, **more)
        self.awaited = self.awaited or by_copy
        self.by_copy = by_copy
        self.within_us = within_us
        self.holdings: dict[int, LeasedPartition] = {}
        self.current: LeasedPartition | None = None  # new messages are taken in this one
        self.reserve: Callable[[LeasedPartition], None] = lambda _: None  # write down that a block of numbers is given
        self.news = gevent.event.Event()  # a fact was appended, or an answer of a copy came
        self.starved: Callable[[LeasedPartition], None] = lambda _: None
        self.seen: Callable[[str, StoredMessage, int], None] = lambda *_: None  # events: kind, message, a figure
        self.marking: Callable[[dict[int, tuple[int, str]]], None] = lambda _: None  # on the disk before they count
        # Messages with an attempt of this process out; the record may have gone meanwhile.
        self.out: dict[int, StoredMessage] = {}

    # ---- the right ----

    def may_fire(self, number: int) -> bool:
        """Whether this sender has the right to fire for a message at this moment."""
        holding = self.holdings.get(number >> 32)
        return (
            holding is not None
            and holding.serving
            and number not in self.inert
            and holding.adoption.holder.may_fire(monotonic_time())
        )

    def deciding(self) -> bool:
        """Whether the right over every partition that the dispatcher serves is held at this moment."""
        now = monotonic_time()
        return all(each.adoption.holder.may_fire(now) for each in self.holdings.values() if each.serving)

    def taking(self) -> bool:
        """Whether new messages can be taken: the right over the partition that is open is held."""
        current = self.current
        return current is not None and current.serving and current.adoption.holder.may_fire(monotonic_time())

    def has_room(self, stored: StoredMessage) -> bool:
        if not self.taking() or not super().has_room(stored):
            return False
        assert self.current is not None
        if self.next_number >= self.current.reserved:
            self.reserve(self.current)
        return self.next_number < self.current.reserved

    def open(self, holding: LeasedPartition, first: int) -> None:
        """New messages are taken in this partition from now on, from a number that was never given."""
        self.current = holding
        holding.reserved = self.next_number = first
        self.reserve(holding)

    # ---- called by the dispatcher ----

    def keep(self, stored: StoredMessage) -> None:
        super().keep(stored)
        holding = self.holdings[stored.number >> 32]
        self._replicate(holding, holding.ledger.record_message(stored, stored.body or b""))
        self.seen("taken", stored, 0)

    def attempt(self, number: int, sent_at: int, zone: int) -> None:
        super().attempt(number, sent_at, zone)
        holding = self._knows(number)
        if holding is not None:
            self._replicate(holding, holding.ledger.attempt(number, sent_at, zone))
        self.out[number] = self.messages[number]
        self.seen("shot", self.messages[number], zone)

    def outcome(self, number: int, outcome: Outcome) -> None:
        stored, holding = self.messages.get(number), self._knows(number)
        if stored is not None and stored.out_at and holding is not None:
            # Danger: told after the folder's own record, a completed one would already be over, as any other end.
            self._replicate(holding, holding.ledger.outcome(number, outcome.never_ran, outcome is Outcome.COMPLETED))
        # Danger: its record may have gone while the attempt was out, since its client has left or another sender has
        # its partition by now; nobody would report the receiver's answer. A full folder raises, and owes its record.
        sent = self.out.pop(number, stored)
        if sent is not None:
            self.seen("completed" if outcome is Outcome.COMPLETED else "outcome", sent, list(Outcome).index(outcome))
        super().outcome(number, outcome)

    def ended(self, number: int, rejected: bool, wait_ms: int) -> None:
        holding = self._knows(number)
        if holding is not None:
            self._replicate(holding, holding.ledger.ended(number, rejected, wait_ms))
        stored = self.messages.get(number)
        super().ended(number, rejected, wait_ms)
        if stored is not None:
            self.seen("nacked" if rejected else "written-off", stored, wait_ms)

    def over(self, number: int) -> None:
        holding = self._knows(number)
        if holding is not None:
            self._replicate(holding, holding.ledger.over(number))
        super().over(number)

    def flush(self, call: Callable[..., object] | None = None) -> None:
        """With `by_copy`, besides: wait until every successor has all records so far.

        `NotReplicatedError` where one has not.
        """
        if self.durable or not self.by_copy:
            super().flush(call)
        if not self.by_copy:
            return
        until = time.monotonic() + self.within_us / 1e6
        for holding in [each for each in self.holdings.values() if each.serving]:
            index = holding.log.next
            while holding.log.acked(self.successors_of(holding)) < index:
                if holding.starving(monotonic_time()) or not self._wait(until):
                    self.starved(holding)
                    raise NotReplicatedError(
                        f"partition {holding.partition}: "
                        f"{index - holding.log.acked(self.successors_of(holding))} records "
                        f"are not at {', '.join(sorted(self.successors_of(holding)))}"
                    )
            if not holding.alone_since and not holding.starving(monotonic_time()):
                # Danger: under load copies never have all at the moment of a look; a partition that starved once would
                # be given up half a second later, with all its messages.
                holding.starved_at = 0
            # Danger: the lease may have run out meanwhile, and a successor that has adopted would not know of this.
            if not holding.adoption.holder.may_fire(monotonic_time()):
                raise NotReplicatedError(f"partition {holding.partition}: the right over it has run out")

    def successors_of(self, holding: LeasedPartition) -> frozenset[str]:
        """The copies that must have a record before it counts as replicated."""
        return (holding.adoption.holder.bound | holding.joining.keys()) - {holding.adoption.me}

    def _wait(self, until: float) -> bool:
        left = until - time.monotonic()
        if left <= 0:
            return False
        self.news.clear()
        self.news.wait(left)
        return True

    # ---- sessions that move ----

    def stage(self, stored: StoredMessage, sequence: int, text: str) -> None:
        """Store a message of a session that moves here: inert from its first record on, here and at every successor.

        `NoSpaceError` where there is none for it. The mark is on the disk already (`marking`).
        """
        holding = self.holdings[stored.number >> 32]
        self.inert[stored.number] = sequence, text
        super().keep(stored)
        fact = holding.ledger.record_message(stored, stored.body or b"")
        # Danger: a successor that is told of the message before its mark might fire for it.
        known = holding.ledger.moved(stored.number, sequence, text).known
        self._replicate(holding, Fact(stored.number, fact.base, known))

    def mark(self, number: int, sequence: int, text: str) -> None:
        """A message is inert from now on, or with an empty text is not any more."""
        if text:
            self.inert[number] = sequence, text
        else:
            self.inert.pop(number, None)
        holding = self._knows(number)
        if holding is not None:
            self._replicate(holding, holding.ledger.moved(number, sequence, text))

    def copied(self, partitions: Iterable[int]) -> Callable[[], bool]:
        """Whether every successor of some partitions has by then what is told of them now."""
        upto = {partition: self.holdings[partition].log.next for partition in partitions}

        def now() -> bool:
            held = {partition: self.holdings.get(partition) for partition in upto}
            return all(
                each is not None and each.serving and each.log.acked(self.successors_of(each)) >= upto[partition]
                for partition, each in held.items()
            )

        return now

    # ---- partitions that come and go ----

    def numbers(self, partition: int) -> list[int]:
        """Messages of a partition in the folder, in the order in which they were taken."""
        return sorted(number for number in self.messages if number >> 32 == partition)

    def take_in(
        self,
        holding: LeasedPartition,
        facts: Iterable[Fact],
        term: int,
        doubt_at: int,
        mine: Iterable[int] = (),
        perhaps: Iterable[int] = (),
        late: int = 0,
    ) -> None:
        """What a copy knew of a partition goes into this folder, under a new term. `NoSpaceError` leaves what fits.

        `doubt_at`: wall microseconds from which on updates may be missing; 0: none are. `mine`, `perhaps`: see
        `only_here`, where this member has held the partition before and could not offer what it knew. `late`: what ends
        before this wall time ends now.
        """
        marked = [in_doubt(fact, doubt_at) if doubt_at else fact for fact in facts]
        # Danger: a holder that was cut off has said 'failed' of what ended meanwhile; 'returned' would be another end.
        # Danger: one on the move is told no end while it is inert; its move's rules answer it in time.
        marked = [
            with_end(fact, EndRank.FAILED)
            if fact.base is not None
            and fact.base.deadline <= late
            and fact.known.end[0] is EndRank.NONE
            and not (fact.known.move or (0, ""))[1]
            else fact
            for fact in marked
        ]
        listed = {fact.number for fact in marked}
        for number in self.numbers(holding.partition):  # this member has held it before: what the copy lacks is over
            if number in listed or number in mine:
                holding.ledger.record_message(self.messages[number], b"")
            elif number in perhaps:
                # Danger: whoever has held it between may have ended it, and nobody can be asked.
                if self.messages[number].end is None:
                    super().ended(number, False, 0)
                holding.ledger.record_message(self.messages[number], b"")
            else:
                super().over(number)
        changed = holding.ledger.adopt(marked, term)
        self._take_marks(changed)
        for fact in changed:
            self._take_change(fact, fact.number not in self.messages)

    def resume_own(self, holding: LeasedPartition, term: int) -> None:
        """The folder of this process has the partition's messages already: the ledger learns them, under a new term."""
        if holding.ledger.term:
            holding.ledger.renew(term)
            return
        holding.ledger = FactLedger(term)
        for number in self.numbers(holding.partition):
            holding.ledger.record_message(self.messages[number], b"")
            if number in self.inert:
                holding.ledger.moved(number, *self.inert[number])

    def begin_log(self, holding: LeasedPartition, term: int) -> None:
        """Ship the partition under a term from now on."""
        holding.log = ReplicationLog(
            holding.partition, term, lambda number: holding.read_for_member(self, number), sorted(holding.ledger.known)
        )
        holding.log.behind = not self.by_copy
        holding.begun_at = monotonic_time()
        holding.sent, holding.joining = 0, {}  # an index is one of its log

    def offered(self, holding: LeasedPartition, facts: list[Fact], term: int) -> tuple[list[int], list[int], str]:
        """What an earlier holder knew: joined. Numbers that are over by it, those that are new here or changed, and why
        some could not be taken: they are to be offered again.

        `term`: the newest in which it has held the partition.
        """
        straight = holding.from_term == term > 0
        before = dict(holding.ledger.known)
        listed = {
            fact.number: fact
            for fact in facts
            if fact.number >> 32 == holding.partition
            # Danger: what has ended here would come back as owed.
            and fact.number not in holding.finished
            and (fact.number in before or fact.base is not None and not over(fact.known))
        }
        changed: list[int] = []
        all_changed = holding.ledger.adopt(listed.values(), holding.ledger.term)
        ended = [number for number in listed if number not in holding.ledger.known]
        for number in ended:
            self._replicate(holding, Fact(number, None, listed[number].known))
            with suppress(NoSpaceError):  # it is over; the record of that is owed
                super().over(number)
        problem, left = "", all_changed
        try:
            self._take_marks(all_changed)
            for place, joined in enumerate(all_changed):
                left = all_changed[place:]
                if joined.known != before.get(joined.number):
                    if joined.number not in before and not straight:
                        # Danger: between the two somebody else has held the partition, and may have ended it: whoever
                        # took it over from that one knows nothing of it. Only 'failed' is honest then.
                        joined = with_end(joined, EndRank.FAILED)
                        holding.ledger.known[joined.number] = joined.known
                    self._take_change(joined, joined.number not in before)
                    self._replicate(holding, joined)
                    changed.append(joined.number)
        except (OSError, NoSpaceError) as error:
            problem = str(error) or type(error).__name__
            # Danger: what the ledger knows would count as unchanged when it is offered again; it would be in no folder,
            # and at no dispatcher.
            for fact in left:
                if fact.number in before:
                    holding.ledger.known[fact.number] = before[fact.number]
                else:
                    holding.ledger.known.pop(fact.number, None)
        return ended, changed, problem

    def _take_marks(self, facts: Iterable[Fact]) -> None:
        """What others knew of moves under way, before the messages themselves are kept."""
        moves = {fact.number: fact.known.move for fact in facts if fact.known.move is not None}
        if moves:
            marks = {number: each for number, each in self.inert.items() if number not in moves}
            marks.update({number: each for number, each in moves.items() if each is not None and each[1]})
            if marks != self.inert:
                self.marking(marks)
                self.inert = marks

    def _take_change(self, fact: Fact, new: bool) -> None:
        """Bring the folder's own record of an adopted message up to what is known now.

        `NoSpaceError` for a new one.
        """
        if new:
            super().keep(stored_message_of(fact))
            return
        stored = self.messages[fact.number]
        if fact.known.ran is not None and (not stored.ran_at or fact.known.ran[0] < stored.ran_at):
            with suppress(NoSpaceError):  # it is known from here on, and its record is owed
                self.may_have_run(fact.number, *fact.known.ran)
        if fact.known.end[0] is not EndRank.NONE and stored.end is None:
            with suppress(NoSpaceError):
                super().ended(fact.number, fact.known.end[0] is EndRank.RETURNED, fact.known.end[1])

    def known_here(self, holding: LeasedPartition) -> list[Fact]:
        """All that this member knows of a partition that it has lost: what is owed, and what ended of late."""
        facts: dict[int, Fact] = {}
        for data, _ in holding.log.window:
            for fact in decode_facts(together([data])):
                facts[fact.number] = join_facts(facts[fact.number], fact) if fact.number in facts else fact
        for number in list(holding.ledger.known):
            owed = holding.read_for_member(self, number)
            if owed is not None:
                facts[number] = join_facts(facts[number], owed) if number in facts else owed
        return [facts[number] for number in sorted(facts)]

    def only_here(self, holding: LeasedPartition) -> tuple[list[int], list[int]]:
        """Owed messages of a lost partition that no copy was sent, and those that may or may not have reached one."""
        if not holding.log.term:  # of an earlier process: nobody knows what that has sent
            return [], [] if self.by_copy else self.numbers(holding.partition)
        acked = max((follower.acked for follower in holding.log.followers.values()), default=holding.sent)
        mine: list[int] = []
        perhaps: list[int] = []
        first = max(0, min(holding.sent, acked) - holding.log.oldest)
        for index, (data, _) in enumerate(islice(holding.log.window, first, None), holding.log.oldest + first):
            for fact in decode_facts(together([data])):
                if fact.base is not None and fact.number in holding.ledger.known and fact.number in self.messages:
                    (mine if index >= holding.sent else perhaps).append(fact.number)
        return mine, perhaps

    def rekey(self, numbers: Iterable[int], failed: bool = False) -> Iterator[int]:
        """Messages that nobody else has become ones of the open partition; their new numbers.

        `NoSpaceError` may come after some of them. `failed`: they end so, since somebody else may have had them. So
        does one whose body cannot be read.
        """
        for number in numbers:
            old = self.messages[number]
            end, body = old.end, b""
            if end is None:
                try:
                    end, body = ((False, 0), b"") if failed else (None, self.body(number))
                except BodyLostError:
                    end = False, 0
            new = replace(old, number=self.next_number, home=0, at=0, weight=0, noted=[], body=body, end=end)
            if not self.has_room(new):
                raise NoSpaceError("a message cannot be taken over into the open partition")
            self.next_number += 1
            if number in self.inert:
                self.marking(self.inert | {new.number: self.inert[number]})
                self.stage(new, *self.inert[number])
                del self.inert[number]  # Danger: before the new one is kept, it would be live under its old number
            else:
                self.keep(new)
            yield new.number
            super().over(number)

    def forget(self, partition: int) -> None:
        """Give up what the folder has of a partition that somebody else answers for; nothing is told."""
        for number in self.numbers(partition):
            super().over(number)
        self.holdings.pop(partition, None)
        if self.current is not None and self.current.partition == partition:
            self.current = None

    def _knows(self, number: int) -> LeasedPartition | None:
        holding = self.holdings.get(number >> 32)
        return holding if holding is not None and number in holding.ledger.known else None

    def _replicate(self, holding: LeasedPartition, fact: Fact) -> None:
        holding.log.append(fact, monotonic_time())
        if over(fact.known) and holding.from_term:
            holding.finished.add(fact.number)
        self.news.set()
