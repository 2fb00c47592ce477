"""The grantor of leases: one member's table of what it has promised to whom. No I/O, no clock.

The rules, and the reasons for them, are in `leases.py`.
"""

from collections.abc import Collection, Iterable

import msgspec

from cedarwick.fleet.leases import CLOSED_PREFIX, EPOCH_BITS, LEASE_SPAN_US, lease_name, majority_of, partition_of_lease
from cedarwick.fleet.messages import Grant, GrantTable, LeaseReply, LeaseRequest


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
        self._listed_by: dict[str, frozenset[str]] = {}  # whose whole tables had a row, by lease
        for grant in grants or ():
            self._merge_row(grant)
        # The folder does not say when promises end: after a restart each one is taken to last for a whole span.
        self._promises = dict.fromkeys(self._grants, self._promised_at_boot())
        if self.learning and len(self._names) == 1:
            self.learning, self.dirty = False, True

    def handle_request(self, now: int, ask: LeaseRequest) -> LeaseReply:
        """Grant the lease or refuse it; a probe is only told which. Check `dirty` before the answer is sent."""
        known = self.grant(ask.lease)
        granted = (
            not self.learning
            and self._is_open(known, ask)
            and self._term_fits(known, ask)
            and self._is_unpromised(now, known, ask)
            and self._is_successor(known, ask)
        )
        if granted and not ask.probe:
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
        return LeaseReply(granted, known.term, known.holder, known.successors, known.set, known.closed, ask.probe)

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
        partitions = (partition_of_lease(lease) for lease in self._grants)
        epochs = [
            partition % (1 << EPOCH_BITS)
            for partition in partitions
            if partition is not None and partition >> EPOCH_BITS == slot
        ]
        return max([*epochs, self._closed_upto.get(slot, -1)])

    def replace_members(self, names: Collection[str]) -> None:
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
            if not table.learning:
                self._listed_by[grant.lease] = self._listed_by.get(grant.lease, frozenset()) | {name}
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
            for lease, grant in self._grants.items():
                if not self._is_decided(grant):
                    self._grants[lease] = msgspec.structs.replace(grant, holder="")
            self._listed_by.clear()

    def _is_decided(self, grant: Grant) -> bool:
        """Whether a majority of the members is known to have granted the row's term to its holder.

        This member may have granted the term to another before it lost its table. So it grants a term that is not
        decided to nobody; its holder has to ask for the next one.
        """
        return len(self._listed_by.get(grant.lease, ())) >= majority_of(len(self._names))

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
            self._prune(lease_name(slot << EPOCH_BITS))
            return
        if self._is_pruned(grant.lease):
            return
        known = self._grants.get(grant.lease, grant)
        newest = max(known, grant, key=lambda one: (one.term, one.set))
        named = self._row_with_successors(known, grant)
        closed = newest.closed or (known.term == grant.term and (known.closed or grant.closed))
        # Where the rows differ this member cannot tell which request it has granted; with no holder recorded nobody is
        # granted that term here again.
        holder = newest.holder if (known.term, known.holder) == (grant.term, grant.holder) else ""
        self._grants[grant.lease] = Grant(grant.lease, newest.term, holder, named.successors, named.set, closed)
        if closed:
            self._prune(grant.lease)

    @staticmethod
    def _row_with_successors(known: Grant, grant: Grant) -> Grant:
        """The row of two whose successors count: that of the newer set, which need not be that of the newer term.

        A newer term may be requested by a member that does not know the newest set, and be granted by nobody else.
        """
        return max(known, grant, key=lambda one: one.set)

    def _is_pruned(self, lease: str) -> bool:
        """Whether the partition is one of those that are closed up to an epoch, and have no row of their own."""
        partition = partition_of_lease(lease)
        if partition is None:
            return False
        return partition % (1 << EPOCH_BITS) <= self._closed_upto.get(partition >> EPOCH_BITS, -1)

    def _prune(self, lease: str) -> None:
        """Replace rows of closed partitions by one number per slot: the epoch up to which all are closed."""
        partition = partition_of_lease(lease)
        if partition is None:
            return
        slot = partition >> EPOCH_BITS
        while True:
            following = lease_name(slot << EPOCH_BITS | (self._closed_upto.get(slot, -1) + 1))
            grant = self._grants.get(following)
            if grant is None or not grant.closed:
                return
            self._closed_upto[slot] = self._closed_upto.get(slot, -1) + 1
            del self._grants[following]
            self._promises.pop(following, None)
