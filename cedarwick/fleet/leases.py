"""Leases (Gray and Cheriton 1989, granted by a majority): grantors promise, holders ask. No I/O, no clock.

Every member is a `LeaseGrantor`; a member that wants a lease (a "right") has a `LeaseHolder` for it. Both are driven by
`lease_exchange.py` and `takeover.py`. Callers pass the time in whole microseconds of the member's own clock, which goes
on while the machine sleeps; times of two members are never compared.

Why at most one holder may fire. A promise runs for a span from when the request *arrived*; the lease lasts for less
than that span from when the request was *sent*. Two majorities share a grantor, and that one grants the second holder
only when its promise to the first has run out. `DRIFT` keeps this true where one clock is up to 5% slower than another.

Why only a successor follows. A set of successors names the members (the holder first) whose copies are whole. Sets are
numbered `term << 20 | n`, so those of a newer term are newer. A grantor stores the newest set that it has received, and
grants a newer term to members of that set only. A holder may fire only once a majority knows a set of *its own* term:
from then on members of older sets, who can't know its attempts, are refused by a majority. A set named by a holder that
fired nothing binds nobody, so its predecessor's successors may still take over if it dies between grant and naming.

What must survive a restart: the rows of a grantor's table are in its folder before the answer is sent (`dirty`). The
own grantor is asked before any other one, so a restarted member knows each term it ever asked for and never asks again.

A grantor that has lost its table learns it from others and grants nothing meanwhile. It reads their tables only after
one whole span: a request that it granted before the loss no longer counts for its holder then, so whoever else granted
that request has it in its table by now. It has learned enough when it has the tables of as many members that are not
learning as every majority must share one with (3 members: 2, 4: 2, 5: 3), or the tables of all others. So the first
start of a fleet needs every member up at the same time, once. A member whose folder was deleted needs `needed` others
that have their tables, and one span. Two tables lost at the same time need all others up.
"""

from collections.abc import Collection, Iterable
from enum import Enum

from cedarwick.fleet.messages import Grant, GrantTable, LeaseReply, LeaseRequest

SPAN = 1_200_000  # microseconds of a lease: four requests fit in, so three may be lost; longer than a process pauses
DRIFT = 20  # one part in 20: clocks of two machines may differ in pace by 5%, a hundred times what NTP tolerates
STOPS = 50_000  # microseconds that a process may be descheduled between the check of its lease and the first byte
ASKS = 4  # requests in a span
SET_BITS = 20  # low bits of a set's number; the bits above are the term that named it
EPOCH_BITS = 12
PARTITION = "book:"
UPTO = "closed:"  # a row `closed:<slot>` says in `term` up to which epoch all partitions of the slot are closed


def majority_of(members: int) -> int:
    """The size of a majority of this many members."""
    return members // 2 + 1


def right_of(partition: int) -> str:
    """The name of the lease of a partition."""
    return f"{PARTITION}{partition}"


def partition_of(right: str) -> int | None:
    """The partition that a lease is for; None for any other lease."""
    number = right.removeprefix(PARTITION)
    return int(number) if number != right and number.isdecimal() else None


class LeaseGrantor:
    """One member's table of leases: for each the newest term that it has granted.

    `grants` is the table in the folder (None: there is none, or it is corrupt; an empty table is a table). While
    `dirty`, `table()` must be written to the folder before the answer that changed it is sent; then `dirty` is set to
    False.
    """

    def __init__(
        self, me: str, names: Collection[str], boot: int, grants: Iterable[Grant] | None, span: int = SPAN
    ) -> None:
        self.me = me
        self.span = span
        self.boot = boot
        self.dirty = False
        self.learning = grants is None
        self._names = frozenset(names) | {me}
        self._grants: dict[str, Grant] = {}
        self._until: dict[str, int] = {}  # when a promise runs out, by right
        self._upto: dict[int, int] = {}  # the epoch up to which all partitions are closed, by slot
        self._learned_from: dict[str, bool] = {}  # whose tables came, and whether they were whole
        for grant in grants or ():
            self._join(grant)
        # The folder does not say when promises end: after a restart each one is taken to last for a whole span.
        self._until = dict.fromkeys(self._grants, self._promised_at_boot())
        if self.learning and len(self._names) == 1:
            self.learning, self.dirty = False, True

    def ask(self, now: int, ask: LeaseRequest) -> LeaseReply:
        """Grant the lease or refuse it. Check `dirty` before the answer is sent."""
        known = self.grant(ask.right)
        granted = (
            not self.learning
            and self._open(known, ask)
            and self._term_fits(known, ask)
            and self._promise_over(now, known, ask)
            and self._is_successor(known, ask)
        )
        if granted:
            # The asker's successor set may be newer than ours: a majority knew it, and part of that may be down now.
            # Storing the older set would let a member without the newest records take over.
            newest: LeaseRequest | Grant = ask if ask.set > known.set else known
            stored = Grant(ask.right, ask.term, ask.holder, newest.successors, newest.set, known.closed or ask.closed)
            until = now + ask.span
            self._until[ask.right] = max(until, self.promised(ask.right)) if ask.span else now
            if stored != known:
                self._grants[ask.right] = known = stored
                self.dirty = True
            if stored.closed:
                self._prune(ask.right)
        return LeaseReply(granted, known.term, known.holder, known.successors, known.set, known.closed)

    def _open(self, known: Grant, ask: LeaseRequest) -> bool:
        """Whether the lease is open. A closed one is never granted again, but its closing may be repeated."""
        return not known.closed or (ask.closed and (ask.term, ask.holder) == (known.term, known.holder))

    def _term_fits(self, known: Grant, ask: LeaseRequest) -> bool:
        """Whether the term is newer, or the known one of its holder: a grantor grants a term to one holder only."""
        return ask.term > known.term or (ask.term == known.term and ask.holder == known.holder)

    def _promise_over(self, now: int, known: Grant, ask: LeaseRequest) -> bool:
        """Whether no promise to another member is in force.

        The holder itself may renew, and may ask for a newer term: it does so only after giving up the older one.
        """
        if ask.span > self.span:
            return False  # after a restart promises are assumed to last `self.span`, not longer
        return ask.holder == known.holder or now >= self.promised(ask.right)

    def _is_successor(self, known: Grant, ask: LeaseRequest) -> bool:
        """Whether the asker is in the newest successor set known to either side; a lease never held has no set."""
        if ask.term == known.term:
            return True
        successors = ask.successors if ask.set > known.set else known.successors
        return ask.holder in successors or not known.set

    # ---- what the table says ----

    def grant(self, right: str) -> Grant:
        """The row of a right; term 0 and no holder where it was never granted here."""
        found = self._grants.get(right)
        if found is not None:
            return found
        partition = partition_of(right)
        closed = partition is not None and partition % (1 << EPOCH_BITS) <= self._upto.get(partition >> EPOCH_BITS, -1)
        return Grant(right, 0, "", closed=closed)

    def promised(self, right: str) -> int:
        """Until when the right is promised; 0 where it never was."""
        return self._until.get(right, 0)

    def table(self) -> GrantTable:
        """The whole table: for the folder, and for a member that learns."""
        upto = (Grant(f"{UPTO}{slot}", epoch, "", closed=True) for slot, epoch in sorted(self._upto.items()))
        return GrantTable(self.learning, (*self._grants.values(), *upto))

    def newest(self, slot: int) -> int:
        """The largest epoch of a slot that this table knows; -1: none."""
        partitions = (partition_of(right) for right in self._grants)
        epochs = [
            partition % (1 << EPOCH_BITS)
            for partition in partitions
            if partition is not None and partition >> EPOCH_BITS == slot
        ]
        return max([*epochs, self._upto.get(slot, -1)])

    def replace(self, names: Collection[str]) -> None:
        """Set the members from now on. Only one may join or leave at a time, so that old and new majorities overlap."""
        self._names = frozenset(names) | {self.me}
        self._look()

    # ---- a table that is gone ----

    @property
    def needed(self) -> int:
        """How many complete tables of others are needed so that each majority shares a member with them."""
        return min(len(self._names) - 1, len(self._names) - majority_of(len(self._names)) + 1)

    def wants(self, now: int) -> tuple[str, ...]:
        """The members whose tables are to be requested now, by name; none unless this table was lost."""
        if not self.learning or now < self._promised_at_boot():
            return ()
        return tuple(sorted(name for name in self._names - {self.me} if not self._learned_from.get(name)))

    def learned(self, sent_at: int, name: str, table: GrantTable) -> bool:
        """Merge another member's table, requested at `sent_at`; True if with it this table is complete."""
        # A table requested earlier than a span after boot may lack leases that this member granted before it lost its
        # own table, and that their holders still count.
        if not self.learning or name not in self._names - {self.me} or sent_at < self._promised_at_boot():
            return False
        for grant in table.grants:
            self._join(grant)
            if grant.right in self._grants:
                # Without a promise this member would grant the lease to another while its holder still lives.
                self._until[grant.right] = max(self.promised(grant.right), sent_at + self.span)
        self._learned_from[name] = not table.learning
        self._look()
        return not self.learning

    def closed_elsewhere(self, table: GrantTable) -> None:
        """Merge from another's table only which partitions were closed while this member was away.

        That is safe: the holder of a closed partition had stopped firing, and owed nothing.
        """
        before = self.table()
        for grant in table.grants:
            if grant.closed and grant != self._grants.get(grant.right):
                self._join(grant)
        self.dirty |= self.table() != before

    def _look(self) -> None:
        others = self._names - {self.me}
        seen = others & set(self._learned_from)
        if self.learning and (sum(self._learned_from[name] for name in seen) >= self.needed or seen == others):
            self.learning, self.dirty = False, True

    def _promised_at_boot(self) -> int:
        return self.boot + self.span

    def _join(self, grant: Grant) -> None:
        """Merge a row of another table."""
        if grant.right.startswith(UPTO):
            slot = int(grant.right.removeprefix(UPTO))
            self._upto[slot] = max(grant.term, self._upto.get(slot, -1))
            for right in [right for right in self._grants if self._passed(right)]:
                del self._grants[right]
                self._until.pop(right, None)
            self._prune(right_of(slot << EPOCH_BITS))
            return
        if self._passed(grant.right):
            return
        known = self._grants.get(grant.right, grant)
        newer = max(known, grant, key=lambda one: (one.term, one.set))
        closed = newer.closed or (known.term == grant.term and (known.closed or grant.closed))
        # Two members were granted the same term by different grantors, and this one cannot tell which of them it
        # promised; with no holder recorded neither is granted that term here again.
        tie = (known.term, known.set) == (grant.term, grant.set) and known.holder != grant.holder
        holder = "" if tie else newer.holder
        self._grants[grant.right] = Grant(grant.right, newer.term, holder, newer.successors, newer.set, closed)
        if closed:
            self._prune(grant.right)

    def _passed(self, right: str) -> bool:
        partition = partition_of(right)
        return partition is not None and partition % (1 << EPOCH_BITS) <= self._upto.get(partition >> EPOCH_BITS, -1)

    def _prune(self, right: str) -> None:
        """Replace rows of closed partitions by one number per slot: the epoch up to which all are closed."""
        partition = partition_of(right)
        if partition is None:
            return
        slot = partition >> EPOCH_BITS
        while True:
            following = right_of(slot << EPOCH_BITS | (self._upto.get(slot, -1) + 1))
            grant = self._grants.get(following)
            if grant is None or not grant.closed:
                return
            self._upto[slot] = self._upto.get(slot, -1) + 1
            del self._grants[following]
            self._until.pop(following, None)


class LeaseState(Enum):
    """How a holder stands to its right."""

    IDLE = "idle"  # it asks for nothing
    ASKING = "asking"  # for a term that no majority has granted it yet
    HELD = "held"  # granted by a majority; whether attempts may be made now is `may_fire`
    CLOSING = "closing"  # held, and being closed for good; no attempt may be made
    CLOSED = "closed"  # a majority has confirmed the closing
    LOST = "lost"  # it ran out and a newer term exists, or no majority granted it in time


class LeaseHolder:
    """One member's side of one right, through all its terms there. Times are microseconds of the member's clock."""

    def __init__(self, right: str, me: str, names: Collection[str], span: int = SPAN) -> None:
        self.right = right
        self.me = me
        self.span = span
        self.state = LeaseState.IDLE
        self.term = 0
        self.newer: tuple[int, str] = (0, "")  # the newest term that somebody else was said to hold, and who
        self.known = 0  # the newest set of this term that a majority knows; 0: none yet
        self.set = 0  # the newest set
        self.valid_until = 0  # when the right runs out unless it is renewed; 0: no majority has granted it
        self._names = frozenset(names) | {me}
        self._sets: dict[int, tuple[str, ...]] = {}  # that one, and those named since, by number
        self._heard = 0  # the newest term heard of
        self._begun = 0
        self._due = 0
        self._granted: dict[str, tuple[int, int]] = {}  # when the ask was sent, and the set, by grantor
        self._closed: dict[str, int] = {}  # when the ask was sent, by grantor

    def begin(self, now: int, grant: Grant) -> None:
        """Ask for the next term. `grant` is the own grantor's row: from it come the successors, for grantors that lag.

        Only for a member whose copy is whole, or for a right that nobody has held.
        """
        self.term = self._heard = max(grant.term, self.term, self._heard) + 1
        self.state = LeaseState.ASKING
        self._begun = self._due = now
        self.known, self.set, self._sets = 0, grant.set, {grant.set: grant.successors}
        self._granted, self._closed = {}, {}
        self._count()

    def asks(self, now: int) -> LeaseRequest | None:
        """The request to send to all members now, to the own grantor before any other; None where none is due."""
        self._settle(now)
        if self.state not in (LeaseState.ASKING, LeaseState.HELD, LeaseState.CLOSING) or now < self._due:
            return None
        self._due = now + self.span // ASKS
        successors = self._sets[self.set]
        return LeaseRequest(
            self.right, self.term, self.me, self.span, successors, self.set, self.state is LeaseState.CLOSING
        )

    def look(self, now: int) -> None:
        """Update the state for the time that has passed."""
        self._settle(now)

    def answered(self, now: int, sent_at: int, grantor: str, reply: LeaseReply) -> None:
        """Take a grantor's answer to the request made at `sent_at`, the time that was passed to `asks`."""
        if grantor not in self._names:
            return
        self._heard = max(self._heard, reply.term)
        if reply.holder not in ("", self.me):
            self.newer = max(self.newer, (reply.term, reply.holder))
        at = self._counted_from(sent_at, now)
        if sent_at >= self._begun and reply.granted and reply.term == self.term:
            # An answer that comes late or twice must not shorten the lease that a newer answer has extended.
            self._granted[grantor] = max(self._granted.get(grantor, (0, 0)), (at, reply.set))
            self._count()
        if reply.closed:
            self._closed[grantor] = max(self._closed.get(grantor, 0), at)
        self._settle(now)

    def name(self, now: int, successors: Collection[str]) -> None:
        """Name the set of successors from now on: the members whose copies are whole, in the order of takeover."""
        named = (self.me, *(name for name in successors if name != self.me))
        if self.state is not LeaseState.HELD or named == self._sets[self.set] and self._own(self.set):
            return
        self.set = max(self.set, self.term << SET_BITS) + 1
        self._sets[self.set] = named
        self._due = now

    def close(self, now: int) -> None:
        """Start to close the lease for good; call it once the partition owes nothing any more."""
        if self.state is LeaseState.HELD:
            self.state = LeaseState.CLOSING
            self._due = now

    def release(self) -> LeaseRequest | None:
        """Give the lease up at once, so that a successor need not wait for its end.

        Returns the request to send to all members; None where nothing was held or asked for.
        """
        held = self.state in (LeaseState.ASKING, LeaseState.HELD)
        self.state = LeaseState.IDLE
        return LeaseRequest(self.right, self.term, self.me, 0, self._sets[self.set], self.set) if held else None

    def replace(self, names: Collection[str]) -> None:
        """Set the members from now on; see `LeaseGrantor.replace`."""
        self._names = frozenset(names) | {self.me}
        # Grants of a member that was removed must not count towards a majority of the remaining ones.
        self._granted = {name: each for name, each in self._granted.items() if name in self._names}
        self._closed = {name: each for name, each in self._closed.items() if name in self._names}
        self._count()

    def may_fire(self, now: int) -> bool:
        """Whether an attempt's first byte may be written now; the last check before the write."""
        return self.state is LeaseState.HELD and self.known > 0 and now < self.valid_until

    @property
    def successors(self) -> tuple[str, ...]:
        """The set that a majority knows, the holder first; empty while there is none of this term."""
        return self._sets[self.known] if self.known else ()

    @property
    def bound(self) -> frozenset[str]:
        """All that may be granted the next term: each must have a record before it counts as on every successor."""
        return frozenset(name for successors in self._sets.values() for name in successors)

    def _count(self) -> None:
        """Compute `valid_until` when an answer or the members change: it is read far more often than it changes."""
        self.valid_until = self._after_majority([sent for sent, _ in self._granted.values()], self._usable(), 0)

    def _usable(self) -> int:
        """Microseconds for which the lease lasts from when the request was sent."""
        return self.span - self.span // DRIFT - STOPS

    def _counted_from(self, sent_at: int, now: int) -> int:
        """The start of a lease: the sending. The promise began between sending and answer, so no later time is safe."""
        return sent_at

    def _own(self, number: int) -> bool:
        """Whether a set is of this term.

        Until a majority knows such a set, it may still grant the lease to successors that can't know our attempts.
        """
        return number >> SET_BITS == self.term

    def _after_majority(self, values: list[int], more: int, none: int) -> int:
        """The value that a majority has reached, plus `more`; `none` where no majority has a value."""
        majority = majority_of(len(self._names))
        return sorted(values, reverse=True)[majority - 1] + more if len(values) >= majority else none

    def _settle(self, now: int) -> None:
        """Derive the state from all answers so far."""
        # A grantor that lost its table has forgotten its answers. Only answers younger than the lease count: such a
        # grantor grants nothing for that long, and then reads the tables of others.
        oldest = now - self._usable()
        sets = [number for sent, number in self._granted.values() if sent > oldest]
        closed = [sent for sent in self._closed.values() if sent > oldest]
        majority = majority_of(len(self._names))
        if len(closed) >= majority:
            self.state = LeaseState.CLOSED
        elif self.state is LeaseState.ASKING:
            if len(sets) >= majority:
                self.state = LeaseState.HELD
            elif self._heard > self.term or now >= self._begun + self.span:
                self.state = LeaseState.LOST  # stop asking, so that the promises of a split vote run out
        elif (
            self.state in (LeaseState.HELD, LeaseState.CLOSING) and now >= self.valid_until and self._heard > self.term
        ):
            self.state = LeaseState.LOST
        number = self._after_majority(sets, 0, 0)
        if self.state is LeaseState.HELD and number > self.known and self._own(number):
            self.known = number
            self._sets = {one: successors for one, successors in self._sets.items() if one >= number}
