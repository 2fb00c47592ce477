"""The grantor of leases: one member's table of the terms that it has granted. No I/O, no clock.

The rules, and the reasons for them, are in `leases.py`.
"""

from collections.abc import Collection, Iterable

import msgspec

from cedarwick.fleet.leases import CLOSED_PREFIX, EPOCH_BITS, LEASE_SPAN_US, lease_name, majority_of, partition_of_lease
from cedarwick.fleet.messages import Grant, GrantTable, LeaseReply, LeaseRequest


class LeaseGrantor:
    """One member's table of leases: for each, the newest term that it has granted.

    `grants` is the table in the folder; None where there is none or it is corrupt, as opposed to an empty table. While
    `dirty` is set, `table()` must be written to the folder before the answer that changed it is sent; the caller then
    resets `dirty`.
    """

    def __init__(
        self, me: str, names: Collection[str], boot_time: int, grants: Iterable[Grant] | None, span: int = LEASE_SPAN_US
    ) -> None:
        self.me = me
        self.span = span
        self.booted_at = boot_time
        self.dirty = False
        self.learning = grants is None
        self._names = frozenset(names) | {me}
        self._grants: dict[str, Grant] = {}
        self._promises: dict[str, int] = {}  # by lease: when the promise expires
        self._closed_upto: dict[int, int] = {}  # by slot: the epoch up to which all partitions are closed
        self._learned_from: dict[str, bool] = {}  # by member whose table was received: whether it was complete
        self._listed_by: dict[str, frozenset[str]] = {}  # by lease: the members whose complete tables had its row
        for grant in grants or ():
            self._merge_row(grant)
        # The folder does not hold the ends of promises: after a restart each one is assumed to last a whole span.
        self._promises = dict.fromkeys(self._grants, self._promised_at_boot())
        if self.learning and len(self._names) == 1:
            self.learning, self.dirty = False, True

    def handle_request(self, now: int, request: LeaseRequest) -> LeaseReply:
        """Grant or refuse the lease; a probe changes nothing. Check `dirty` before the answer is sent."""
        known = self.grant(request.lease)
        granted = (
            not self.learning
            and self._is_open(known, request)
            and self._term_fits(known, request)
            and self._is_promise_free(now, known, request)
            and self._is_successor(known, request)
        )
        if granted and not request.probe:
            # The successor set of the request may be newer than the stored one: a majority knew it, and some of those
            # members may be down now. Storing the older set would let a member without the newest records take over.
            newest: LeaseRequest | Grant = request if request.set_number > known.set_number else known
            stored = Grant(
                request.lease,
                request.term,
                request.holder,
                newest.successors,
                newest.set_number,
                known.closed or request.closed,
            )
            until = now + request.span
            self._promises[request.lease] = max(until, self.promised_until(request.lease)) if request.span else now
            if stored != known:
                self._grants[request.lease] = known = stored
                self.dirty = True
            if stored.closed:
                self._prune(request.lease)
        return LeaseReply(
            granted, known.term, known.holder, known.successors, known.set_number, known.closed, request.probe
        )

    def _is_open(self, known: Grant, request: LeaseRequest) -> bool:
        """Whether the lease is open. A closed lease is never granted again, but its closing may be repeated."""
        return not known.closed or (request.closed and (request.term, request.holder) == (known.term, known.holder))

    def _term_fits(self, known: Grant, request: LeaseRequest) -> bool:
        """Whether the term is newer, or is the stored one of the same holder: a term is granted to one holder only."""
        return request.term > known.term or (request.term == known.term and request.holder == known.holder)

    def _is_promise_free(self, now: int, known: Grant, request: LeaseRequest) -> bool:
        """Whether no promise to another member is in force.

        The holder itself may renew, and may request a newer term: it does so only after giving up the older one.
        """
        if request.span > self.span:
            return False  # after a restart, promises are assumed to last `self.span` at most
        return request.holder == known.holder or now >= self.promised_until(request.lease)

    def _is_successor(self, known: Grant, request: LeaseRequest) -> bool:
        """Whether the requester is in the newest successor set known to either side; a lease never held has no set."""
        if request.term == known.term:
            return True
        successors = request.successors if request.set_number > known.set_number else known.successors
        return request.holder in successors or not known.set_number

    # ---- reading the table ----

    def grant(self, lease: str) -> Grant:
        """The row of a lease; one with term 0 and no holder where this member never granted it."""
        found = self._grants.get(lease)
        if found is not None:
            return found
        return Grant(lease, 0, "", closed=self._is_pruned(lease))

    def promised_until(self, lease: str) -> int:
        """When the promise for a lease expires; 0 where there never was one."""
        return self._promises.get(lease, 0)

    def table(self) -> GrantTable:
        """The complete table, for the folder and for a member that is learning."""
        closed_rows = (
            Grant(f"{CLOSED_PREFIX}{slot}", epoch, "", closed=True) for slot, epoch in sorted(self._closed_upto.items())
        )
        return GrantTable(self.learning, (*self._grants.values(), *closed_rows))

    def newest_epoch(self, slot: int) -> int:
        """The largest epoch of a slot in this table; -1 if there is none."""
        partitions = (partition_of_lease(lease) for lease in self._grants)
        epochs = [
            partition % (1 << EPOCH_BITS)
            for partition in partitions
            if partition is not None and partition >> EPOCH_BITS == slot
        ]
        return max([*epochs, self._closed_upto.get(slot, -1)])

    def replace_members(self, names: Collection[str]) -> None:
        """Replace the members. Only one may join or leave at a time, so that old and new majorities overlap."""
        self._names = frozenset(names) | {self.me}
        self._check_learned()

    # ---- recovery of a lost table ----

    @property
    def tables_needed(self) -> int:
        """The number of complete tables of other members with which every majority shares a member."""
        return min(len(self._names) - 1, len(self._names) - majority_of(len(self._names)) + 1)

    def members_to_learn_from(self, now: int) -> tuple[str, ...]:
        """The members whose tables are to be requested now, sorted; empty unless this table was lost."""
        if not self.learning or now < self._promised_at_boot():
            return ()
        return tuple(sorted(name for name in self._names - {self.me} if not self._learned_from.get(name)))

    def learn_from(self, sent_at: int, name: str, table: GrantTable) -> bool:
        """Merge another member's table, requested at `sent_at`; return whether this table is now complete."""
        # A table requested earlier than a span after boot may lack leases that this member granted before it lost its
        # own table, and that still count for their holders.
        if not self.learning or name not in self._names - {self.me} or sent_at < self._promised_at_boot():
            return False
        for grant in table.grants:
            self._merge_row(grant)
            if not table.learning:
                self._listed_by[grant.lease] = self._listed_by.get(grant.lease, frozenset()) | {name}
            if grant.lease in self._grants:
                # Without a promise, this member would grant the lease to another one while its holder still uses it.
                self._promises[grant.lease] = max(self.promised_until(grant.lease), sent_at + self.span)
        self._learned_from[name] = not table.learning
        self._check_learned()
        return not self.learning

    def learn_closed(self, table: GrantTable) -> None:
        """Merge from another member's table only which partitions were closed while this member was down.

        This is safe: the holder of a closed partition had stopped making attempts, and had no pending messages.
        """
        before = self.table()
        for grant in table.grants:
            if grant.closed and grant != self._grants.get(grant.lease):
                self._merge_row(grant)
        self.dirty |= self.table() != before

    def _check_learned(self) -> None:
        others = self._names - {self.me}
        heard_from = others & set(self._learned_from)
        if self.learning and (
            sum(self._learned_from[name] for name in heard_from) >= self.tables_needed or heard_from == others
        ):
            self.learning, self.dirty = False, True
            for lease, grant in self._grants.items():
                if not self._is_decided(grant):
                    self._grants[lease] = msgspec.structs.replace(grant, holder="")
            self._listed_by.clear()

    def _is_decided(self, grant: Grant) -> bool:
        """Whether a majority of the members is known to have granted the row's term to its holder.

        This member may have granted the term to another member before it lost its table. So it grants an undecided
        term to nobody; the term's holder has to request the next one.
        """
        return len(self._listed_by.get(grant.lease, ())) >= majority_of(len(self._names))

    def _promised_at_boot(self) -> int:
        return self.booted_at + self.span

    def _merge_row(self, grant: Grant) -> None:
        """Merge a row of the folder or of another member's table."""
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
        newest = max(known, grant, key=lambda one: (one.term, one.set_number))
        named = self._row_with_successors(known, grant)
        closed = newest.closed or (known.term == grant.term and (known.closed or grant.closed))
        # Where the rows differ, this member cannot tell which request it has granted. With no holder recorded, it
        # grants that term to nobody again.
        holder = newest.holder if (known.term, known.holder) == (grant.term, grant.holder) else ""
        self._grants[grant.lease] = Grant(grant.lease, newest.term, holder, named.successors, named.set_number, closed)
        if closed:
            self._prune(grant.lease)

    @staticmethod
    def _row_with_successors(known: Grant, grant: Grant) -> Grant:
        """The row whose successors count: the one with the newer set, which need not be the one with the newer term.

        A newer term may be requested by a member that does not know the newest set, and be granted by nobody else.
        """
        return max(known, grant, key=lambda one: one.set_number)

    def _is_pruned(self, lease: str) -> bool:
        """Whether the partition's row was replaced by the epoch up to which all partitions of its slot are closed."""
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
            next_lease = lease_name(slot << EPOCH_BITS | (self._closed_upto.get(slot, -1) + 1))
            grant = self._grants.get(next_lease)
            if grant is None or not grant.closed:
                return
            self._closed_upto[slot] = self._closed_upto.get(slot, -1) + 1
            del self._grants[next_lease]
            self._promises.pop(next_lease, None)
