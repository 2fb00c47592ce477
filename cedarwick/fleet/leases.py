"""Leases (Gray and Cheriton 1989, granted by a majority): grantors promise, holders ask. No I/O, no clock.

Every member is a `LeaseGrantor`; a member that wants a lease has a `LeaseHolder` for it. Both are driven by
`lease_exchange.py` and `takeover.py`. Callers pass the time in whole microseconds of the member's own clock, which goes
on while the machine sleeps; times of two members are never compared.

Why at most one holder may fire. A promise runs for a span from when the request *arrived*; the lease lasts for less
than that span from when the request was *sent*. Two majorities share a grantor, and that one grants the second holder
only when its promise to the first has run out. `CLOCK_DRIFT_DIVISOR` keeps this true where one clock is up to 5% slower
than another.

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
start of a fleet needs every member up at the same time, once. A member whose folder was deleted needs `tables_needed`
others that have their tables, and one span. Two tables lost at the same time need all others up.
"""

from collections.abc import Collection, Iterable
from enum import Enum
from typing import NamedTuple

from cedarwick.fleet.messages import Grant, GrantTable, LeaseReply, LeaseRequest

LEASE_SPAN_US = 1_200_000  # `REQUESTS_PER_SPAN` fit in, so three may be lost; longer than a process pauses
CLOCK_DRIFT_DIVISOR = 20  # one part in 20: clocks may differ in pace by 5%, a hundred times what NTP tolerates
MAX_PAUSE_US = 50_000  # for which a process may be descheduled between the check of its lease and the first byte
REQUESTS_PER_SPAN = 4
SET_BITS = 20  # low bits of a set's number; the bits above are the term that named it
EPOCH_BITS = 12
PARTITION_PREFIX = "book:"
CLOSED_PREFIX = "closed:"  # a row `closed:<slot>` has in `term` the epoch up to which all of its partitions are closed


def majority_of(members: int) -> int:
    """The size of a majority of this many members."""
    return members // 2 + 1


def lease_of(partition: int) -> str:
    """The name of the lease of a partition."""
    return f"{PARTITION_PREFIX}{partition}"


def partition_of(lease: str) -> int | None:
    """The partition that a lease is for; None for any other lease."""
    number = lease.removeprefix(PARTITION_PREFIX)
    return int(number) if number != lease and number.isdecimal() else None


class LeaseGrantor:
    """One member's table of leases: for each the newest term that it has granted.

    `grants` is the table in the folder (None: there is none, or it is corrupt; an empty table is a table). While
    `dirty`, `table()` must be written to the folder before the answer that changed it is sent; then `dirty` is set to
    False.
    """

    def __init__(
        self, me: str, names: Collection[str], boot: int, grants: Iterable[Grant] | None, span: int = LEASE_SPAN_US
    ) -> None:
        self.me = me
        self.span = span
        self.booted_at = boot
        self.dirty = False
        self.learning = grants is None
        self._names = frozenset(names) | {me}
        self._grants: dict[str, Grant] = {}
        self._promises: dict[str, int] = {}  # when a promise runs out, by lease
        self._closed_upto: dict[int, int] = {}  # the epoch up to which all partitions are closed, by slot
        self._learned_from: dict[str, bool] = {}  # whose tables came, and whether they were whole
        for grant in grants or ():
            self._merge_row(grant)
        # The folder does not say when promises end: after a restart each one is taken to last for a whole span.
        self._promises = dict.fromkeys(self._grants, self._promised_at_boot())
        if self.learning and len(self._names) == 1:
            self.learning, self.dirty = False, True

    def handle_request(self, now: int, ask: LeaseRequest) -> LeaseReply:
        """Grant the lease or refuse it. Check `dirty` before the answer is sent."""
        known = self.grant(ask.lease)
        granted = (
            not self.learning
            and self._is_open(known, ask)
            and self._term_fits(known, ask)
            and self._is_unpromised(now, known, ask)
            and self._is_successor(known, ask)
        )
        if granted:
            # The asker's successor set may be newer than ours: a majority knew it, and part of that may be down now.
            # Storing the older set would let a member without the newest records take over.
            newest: LeaseRequest | Grant = ask if ask.set > known.set else known
            stored = Grant(ask.lease, ask.term, ask.holder, newest.successors, newest.set, known.closed or ask.closed)
            until = now + ask.span
            self._promises[ask.lease] = max(until, self.promised_until(ask.lease)) if ask.span else now
            if stored != known:
                self._grants[ask.lease] = known = stored
                self.dirty = True
            if stored.closed:
                self._prune(ask.lease)
        return LeaseReply(granted, known.term, known.holder, known.successors, known.set, known.closed)

    def _is_open(self, known: Grant, ask: LeaseRequest) -> bool:
        """Whether the lease is open. A closed one is never granted again, but its closing may be repeated."""
        return not known.closed or (ask.closed and (ask.term, ask.holder) == (known.term, known.holder))

    def _term_fits(self, known: Grant, ask: LeaseRequest) -> bool:
        """Whether the term is newer, or the known one of its holder: a grantor grants a term to one holder only."""
        return ask.term > known.term or (ask.term == known.term and ask.holder == known.holder)

    def _is_unpromised(self, now: int, known: Grant, ask: LeaseRequest) -> bool:
        """Whether no promise to another member is in force.

        The holder itself may renew, and may ask for a newer term: it does so only after giving up the older one.
        """
        if ask.span > self.span:
            return False  # after a restart promises are assumed to last `self.span`, not longer
        return ask.holder == known.holder or now >= self.promised_until(ask.lease)

    def _is_successor(self, known: Grant, ask: LeaseRequest) -> bool:
        """Whether the asker is in the newest successor set known to either side; a lease never held has no set."""
        if ask.term == known.term:
            return True
        successors = ask.successors if ask.set > known.set else known.successors
        return ask.holder in successors or not known.set

    # ---- what the table says ----

    def grant(self, lease: str) -> Grant:
        """The row of a lease; term 0 and no holder where it was never granted here."""
        found = self._grants.get(lease)
        if found is not None:
            return found
        return Grant(lease, 0, "", closed=self._is_pruned(lease))

    def promised_until(self, lease: str) -> int:
        """Until when the lease is promised; 0 where it never was."""
        return self._promises.get(lease, 0)

    def table(self) -> GrantTable:
        """The whole table: for the folder, and for a member that learns."""
        upto = (
            Grant(f"{CLOSED_PREFIX}{slot}", epoch, "", closed=True) for slot, epoch in sorted(self._closed_upto.items())
        )
        return GrantTable(self.learning, (*self._grants.values(), *upto))

    def newest_epoch(self, slot: int) -> int:
        """The largest epoch of a slot that this table knows; -1: none."""
        partitions = (partition_of(lease) for lease in self._grants)
        epochs = [
            partition % (1 << EPOCH_BITS)
            for partition in partitions
            if partition is not None and partition >> EPOCH_BITS == slot
        ]
        return max([*epochs, self._closed_upto.get(slot, -1)])

    def replace(self, names: Collection[str]) -> None:
        """Set the members from now on. Only one may join or leave at a time, so that old and new majorities overlap."""
        self._names = frozenset(names) | {self.me}
        self._check_learned()

    # ---- a table that is gone ----

    @property
    def tables_needed(self) -> int:
        """How many complete tables of others are needed so that each majority shares a member with them."""
        return min(len(self._names) - 1, len(self._names) - majority_of(len(self._names)) + 1)

    def members_to_learn_from(self, now: int) -> tuple[str, ...]:
        """The members whose tables are to be requested now, by name; none unless this table was lost."""
        if not self.learning or now < self._promised_at_boot():
            return ()
        return tuple(sorted(name for name in self._names - {self.me} if not self._learned_from.get(name)))

    def learn_from(self, sent_at: int, name: str, table: GrantTable) -> bool:
        """Merge another member's table, requested at `sent_at`; True if with it this table is complete."""
        # A table requested earlier than a span after boot may lack leases that this member granted before it lost its
        # own table, and that their holders still count.
        if not self.learning or name not in self._names - {self.me} or sent_at < self._promised_at_boot():
            return False
        for grant in table.grants:
            self._merge_row(grant)
            if grant.lease in self._grants:
                # Without a promise this member would grant the lease to another while its holder still lives.
                self._promises[grant.lease] = max(self.promised_until(grant.lease), sent_at + self.span)
        self._learned_from[name] = not table.learning
        self._check_learned()
        return not self.learning

    def learn_closed(self, table: GrantTable) -> None:
        """Merge from another's table only which partitions were closed while this member was away.

        That is safe: the holder of a closed partition had stopped firing, and owed nothing.
        """
        before = self.table()
        for grant in table.grants:
            if grant.closed and grant != self._grants.get(grant.lease):
                self._merge_row(grant)
        self.dirty |= self.table() != before

    def _check_learned(self) -> None:
        others = self._names - {self.me}
        seen = others & set(self._learned_from)
        if self.learning and (sum(self._learned_from[name] for name in seen) >= self.tables_needed or seen == others):
            self.learning, self.dirty = False, True

    def _promised_at_boot(self) -> int:
        return self.booted_at + self.span

    def _merge_row(self, grant: Grant) -> None:
        """Merge a row of another table."""
        if grant.lease.startswith(CLOSED_PREFIX):
            slot = int(grant.lease.removeprefix(CLOSED_PREFIX))
            self._closed_upto[slot] = max(grant.term, self._closed_upto.get(slot, -1))
            for lease in [lease for lease in self._grants if self._is_pruned(lease)]:
                del self._grants[lease]
                self._promises.pop(lease, None)
            self._prune(lease_of(slot << EPOCH_BITS))
            return
        if self._is_pruned(grant.lease):
            return
        known = self._grants.get(grant.lease, grant)
        newest = max(known, grant, key=lambda one: (one.term, one.set))
        closed = newest.closed or (known.term == grant.term and (known.closed or grant.closed))
        # Two members were granted the same term by different grantors, and this one cannot tell which of them it
        # promised; with no holder recorded neither is granted that term here again.
        tie = (known.term, known.set) == (grant.term, grant.set) and known.holder != grant.holder
        holder = "" if tie else newest.holder
        self._grants[grant.lease] = Grant(grant.lease, newest.term, holder, newest.successors, newest.set, closed)
        if closed:
            self._prune(grant.lease)

    def _is_pruned(self, lease: str) -> bool:
        """Whether the partition is one of those that are closed up to an epoch, and have no row of their own."""
        partition = partition_of(lease)
        if partition is None:
            return False
        return partition % (1 << EPOCH_BITS) <= self._closed_upto.get(partition >> EPOCH_BITS, -1)

    def _prune(self, lease: str) -> None:
        """Replace rows of closed partitions by one number per slot: the epoch up to which all are closed."""
        partition = partition_of(lease)
        if partition is None:
            return
        slot = partition >> EPOCH_BITS
        while True:
            following = lease_of(slot << EPOCH_BITS | (self._closed_upto.get(slot, -1) + 1))
            grant = self._grants.get(following)
            if grant is None or not grant.closed:
                return
            self._closed_upto[slot] = self._closed_upto.get(slot, -1) + 1
            del self._grants[following]
            self._promises.pop(following, None)


class KnownHolder(NamedTuple):
    """A member that is said to hold a lease; of two the larger one is the newer."""

    term: int
    name: str


NO_HOLDER = KnownHolder(0, "")


class LeaseState(Enum):
    """How a holder stands to its lease."""

    IDLE = "idle"  # it asks for nothing
    ASKING = "asking"  # for a term that no majority has granted it yet
    HELD = "held"  # granted by a majority; whether attempts may be made now is `is_valid`
    CLOSING = "closing"  # held, and being closed for good; no attempt may be made
    CLOSED = "closed"  # a majority has confirmed the closing
    LOST = "lost"  # it ran out and a newer term exists, or no majority granted it in time


class LeaseHolder:
    """One member's side of one lease, through all its terms there. Times are microseconds of the member's clock."""

    def __init__(self, lease: str, me: str, names: Collection[str], span: int = LEASE_SPAN_US) -> None:
        self.lease = lease
        self.me = me
        self.span = span
        self.state = LeaseState.IDLE
        self.term = 0
        self.newest_other = NO_HOLDER  # the newest term that somebody else was said to hold, and who
        self.known_set = 0  # the newest set of this term that a majority knows; 0: none yet
        self.newest_set = 0  # the newest set
        self.valid_until = 0  # when the lease runs out unless it is renewed; 0: no majority has granted it
        self._names = frozenset(names) | {me}
        self._sets: dict[int, tuple[str, ...]] = {}  # that one, and those named since, by number
        self._newest_term = 0  # the newest term heard of
        self._requested_at = 0
        self._next_request_at = 0
        self._grants: dict[str, tuple[int, int]] = {}  # when the ask was sent, and the set, by grantor
        self._closings: dict[str, int] = {}  # when the ask was sent, by grantor

    def request_next_term(self, now: int, grant: Grant) -> None:
        """Ask for the next term. `grant` is the own grantor's row: from it come the successors, for grantors that lag.

        Only for a member whose copy is whole, or for a lease that nobody has held.
        """
        self.term = self._newest_term = max(grant.term, self.term, self._newest_term) + 1
        self.state = LeaseState.ASKING
        self._requested_at = self._next_request_at = now
        self.known_set, self.newest_set, self._sets = 0, grant.set, {grant.set: grant.successors}
        self._grants, self._closings = {}, {}
        self._update_valid_until()

    def due_request(self, now: int) -> LeaseRequest | None:
        """The request to send to all members now, to the own grantor before any other; None where none is due."""
        self._update_state(now)
        if self.state not in (LeaseState.ASKING, LeaseState.HELD, LeaseState.CLOSING) or now < self._next_request_at:
            return None
        self._next_request_at = now + self.span // REQUESTS_PER_SPAN
        successors = self._sets[self.newest_set]
        return LeaseRequest(
            self.lease, self.term, self.me, self.span, successors, self.newest_set, self.state is LeaseState.CLOSING
        )

    def update(self, now: int) -> None:
        """Update the state for the time that has passed."""
        self._update_state(now)

    def receive_reply(self, now: int, sent_at: int, grantor: str, reply: LeaseReply) -> None:
        """Take a grantor's answer to the request made at `sent_at`, the time that was passed to `asks`."""
        if grantor not in self._names:
            return
        self._newest_term = max(self._newest_term, reply.term)
        if reply.holder not in ("", self.me):
            self.newest_other = max(self.newest_other, KnownHolder(reply.term, reply.holder))
        at = self._counted_from(sent_at, now)
        if sent_at >= self._requested_at and reply.granted and reply.term == self.term:
            # An answer that comes late or twice must not shorten the lease that a newer answer has extended.
            self._grants[grantor] = max(self._grants.get(grantor, (0, 0)), (at, reply.set))
            self._update_valid_until()
        if reply.closed:
            self._closings[grantor] = max(self._closings.get(grantor, 0), at)
        self._update_state(now)

    def name_successors(self, now: int, successors: Collection[str]) -> None:
        """Name the set of successors from now on: the members whose copies are whole, in the order of takeover."""
        named = (self.me, *(name for name in successors if name != self.me))
        if (
            self.state is not LeaseState.HELD
            or named == self._sets[self.newest_set]
            and self._is_of_this_term(self.newest_set)
        ):
            return
        self.newest_set = max(self.newest_set, self.term << SET_BITS) + 1
        self._sets[self.newest_set] = named
        self._next_request_at = now

    def close(self, now: int) -> None:
        """Start to close the lease for good; call it once the partition owes nothing any more."""
        if self.state is LeaseState.HELD:
            self.state = LeaseState.CLOSING
            self._next_request_at = now

    def release(self) -> LeaseRequest | None:
        """Give the lease up at once, so that a successor need not wait for its end.

        Returns the request to send to all members; None where nothing was held or asked for.
        """
        held = self.state in (LeaseState.ASKING, LeaseState.HELD)
        self.state = LeaseState.IDLE
        if not held:
            return None
        return LeaseRequest(self.lease, self.term, self.me, 0, self._sets[self.newest_set], self.newest_set)

    def replace(self, names: Collection[str]) -> None:
        """Set the members from now on; see `LeaseGrantor.replace`."""
        self._names = frozenset(names) | {self.me}
        # Grants of a member that was removed must not count towards a majority of the remaining ones.
        self._grants = {name: each for name, each in self._grants.items() if name in self._names}
        self._closings = {name: each for name, each in self._closings.items() if name in self._names}
        self._update_valid_until()

    def is_valid(self, now: int) -> bool:
        """Whether an attempt's first byte may be written now; the last check before the write."""
        return self.state is LeaseState.HELD and self.known_set > 0 and now < self.valid_until

    @property
    def successors(self) -> tuple[str, ...]:
        """The set that a majority knows, the holder first; empty while there is none of this term."""
        return self._sets[self.known_set] if self.known_set else ()

    @property
    def possible_successors(self) -> frozenset[str]:
        """All that may be granted the next term: each must have a record before it counts as on every successor."""
        return frozenset(name for successors in self._sets.values() for name in successors)

    def _update_valid_until(self) -> None:
        """Compute `valid_until` when an answer or the members change: it is read far more often than it changes."""
        self.valid_until = self._after_majority([sent for sent, _ in self._grants.values()], self._usable_span(), 0)

    def _usable_span(self) -> int:
        """Microseconds for which the lease lasts from when the request was sent."""
        return self.span - self.span // CLOCK_DRIFT_DIVISOR - MAX_PAUSE_US

    def _counted_from(self, sent_at: int, now: int) -> int:
        """The start of a lease: the sending. The promise began between sending and answer, so no later time is safe."""
        return sent_at

    def _is_of_this_term(self, number: int) -> bool:
        """Whether a set is of this term.

        Until a majority knows such a set, it may still grant the lease to successors that can't know our attempts.
        """
        return number >> SET_BITS == self.term

    def _after_majority(self, values: list[int], more: int, none: int) -> int:
        """The value that a majority has reached, plus `more`; `none` where no majority has a value."""
        majority = majority_of(len(self._names))
        return sorted(values, reverse=True)[majority - 1] + more if len(values) >= majority else none

    def _update_state(self, now: int) -> None:
        """Derive the state from all answers so far."""
        # A grantor that lost its table has forgotten its answers. Only answers younger than the lease count: such a
        # grantor grants nothing for that long, and then reads the tables of others.
        oldest = now - self._usable_span()
        sets = [number for sent, number in self._grants.values() if sent > oldest]
        closed = [sent for sent in self._closings.values() if sent > oldest]
        majority = majority_of(len(self._names))
        if len(closed) >= majority:
            self.state = LeaseState.CLOSED
        elif self.state is LeaseState.ASKING:
            if len(sets) >= majority:
                self.state = LeaseState.HELD
            elif self._newest_term > self.term or now >= self._requested_at + self.span:
                self.state = LeaseState.LOST  # stop asking, so that the promises of a split vote run out
        elif (
            self.state in (LeaseState.HELD, LeaseState.CLOSING)
            and now >= self.valid_until
            and self._newest_term > self.term
        ):
            self.state = LeaseState.LOST
        number = self._after_majority(sets, 0, 0)
        if self.state is LeaseState.HELD and number > self.known_set and self._is_of_this_term(number):
            self.known_set = number
            self._sets = {one: successors for one, successors in self._sets.items() if one >= number}
