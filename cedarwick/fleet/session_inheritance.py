"""Inheritance of sessions from a sender whose partition was adopted: who may claim them, and with which recent ids.

A part of `SessionRouter`. Times are microseconds of the boot clock.
"""

from loguru import logger

from cedarwick.config.member_slots import slot_of
from cedarwick.fleet.leased_partition import LeasedPartition
from cedarwick.fleet.leases import EPOCH_BITS, lease_name
from cedarwick.fleet.limits import DEADLINE_MARGIN_US, US_PER_S
from cedarwick.fleet.messages import SessionInheritance
from cedarwick.fleet.recent_ids import RecentIds
from cedarwick.fleet.replica import ReplicaEntry
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.replication_facts import EndRank, Fact
from cedarwick.fleet.session_state import InheritableSessions, SessionState
from cedarwick.fleet.sessions import (
    ID_RETENTION_US,
    ClaimAnswer,
    ClaimRequest,
)

# The protocol level from which members claim their sessions again after losing their partition. Without that, another
# member must not inherit the sessions.
INHERITANCE_LEVEL = 3


class SessionInheritances(SessionState):
    """Inherits the sessions of lost senders."""

    def _record_replica_step(self, partition: int, entry: ReplicaEntry, facts: list[Fact]) -> None:
        now = monotonic_time()
        if partition not in self.replica_recent_ids:
            self.replica_recent_ids[partition] = RecentIds(now)
        self.replica_recent_ids[partition].record(entry, facts, now)

    def on_partition_adopted(self, partition: int) -> None:
        """Keep the recent ids known from the replica of an adopted partition, so that its sessions can be inherited."""
        recent_ids, now = self.replica_recent_ids.pop(partition, None), monotonic_time()
        owner = next((name for name in self.node.halls if slot_of(name) == partition >> EPOCH_BITS), "")
        if recent_ids is None or self.node.verifier.levels.get(owner, 0) < INHERITANCE_LEVEL or owner == self.name:
            logger.info(
                "sessions of {} can be claimed {} s after its death: no recent ids are known",
                owner or "?",
                ID_RETENTION_US // US_PER_S,
            )
            return
        self.inheritable_sessions[partition] = InheritableSessions(
            owner, recent_ids.complete_at(), recent_ids.ids_by_session(), set()
        )
        logger.info(
            "sessions of {} are inherited as they are used, {:.1f} s from now on",
            owner,
            max(0, recent_ids.complete_at() - now) / US_PER_S,
        )

    def _newest_partition(self, name: str) -> int:
        """Return the newest known partition of a sender; 0: none."""
        slot = slot_of(name)
        epoch = self.node.grantor.newest_epoch(slot)
        return slot << EPOCH_BITS | epoch if epoch >= 0 else 0

    def _successor(self, name: str) -> str:
        """Return the member that holds the newest partition of a lost sender; empty if none is known."""
        partition = self._newest_partition(name)
        grant = self.node.grantor.grant(lease_name(partition))
        return grant.holder if partition and grant.holder != name and not grant.closed else ""

    def _inherit(self, key: int) -> bool:
        """Claim a session whose last holder's partition is held here; returns whether a claim was made."""
        now, entry = monotonic_time(), self.directory.entry(key, monotonic_time())
        partition = self._newest_partition(entry.holder) if entry is not None else 0
        inheritable, holding = self.inheritable_sessions.get(partition), self.store.leased_partitions.get(partition)
        if (
            entry is None
            or inheritable is None
            or holding is None
            or not holding.serving
            or not self.store.accepts_messages()
        ):
            return False
        if inheritable.owner != entry.holder or inheritable.complete_at > now:
            self.counters.add("submissions for sessions whose recent ids are not known")
            return False
        replaced = (entry.sequence, entry.holder)
        if not self._answer_inheritance(ClaimRequest(key, 0, replaced, now), partition, self.name, now).granted:
            self.counters.add("inheritances that failed")
            return False
        ids = {
            id: (now - at, contents_hash)
            for id, (at, contents_hash) in inheritable.recent_ids.get(key, {}).items()
            if at >= now - ID_RETENTION_US
        }
        request = self.directory.begin_inheritance(key, ids, now)
        if request is None:
            return False
        # For `filter_offered_facts`: messages that no replica had were never answered, and may have been accepted here
        # since.
        inheritable.inherited_keys.add(key)
        self._ask_all(
            request, SessionInheritance(request.key, request.sequence, *request.replaced, partition, request.claimed_at)
        )
        self.counters.add("sessions inherited" if key in self.directory.sessions else "inheritances that failed")
        return True

    def _answer_inheritance(self, request: ClaimRequest, partition: int, claimer: str, now: int) -> ClaimAnswer:
        holder = request.replaced[1]
        grant = self.node.grantor.grant(lease_name(partition))
        holds_partition = (
            partition == self._newest_partition(holder)
            and grant.holder == claimer
            and not grant.closed
            and not self.node.grantor.learning
        )
        may_have_moved = self.migrations.acceptor.may_have_moved(
            request.key, holder, now - ID_RETENTION_US
        ) or self.migrations.has_open_move(request.key)
        return self.directory.answer_inheritance(request, claimer, holds_partition, may_have_moved, now)

    def filter_offered_facts(self, holding: LeasedPartition, facts: list[Fact]) -> list[Fact]:
        """Drop those facts offered by the last holder of an adopted partition that inherited sessions supersede."""
        inheritable, nearest_deadline = (
            self.inheritable_sessions.get(holding.partition),
            self.clock.now() + 2 * DEADLINE_MARGIN_US,
        )
        if inheritable is None or not inheritable.inherited_keys:
            return facts
        accepted = []
        for fact in facts:
            stored, known = self.store.messages.get(fact.number), holding.ledger.known.get(fact.number)
            if known is None:
                if fact.base is not None and fact.base.ordering_key in inheritable.inherited_keys:
                    continue  # no replica had it: its client got no answer and may have submitted it here
            elif stored is not None and stored.order_key in inheritable.inherited_keys and known.end[0] is EndRank.NONE:
                was_withdrawn = fact.known.end[0] is EndRank.NOTIFIED and not (fact.known.move and fact.known.move[1])
                # Nearer its deadline, a message may have been answered 'failed' there, although no replica knows of it.
                if was_withdrawn and stored.deadline > nearest_deadline:
                    continue  # its client was refused there, and may have got +OK here since
            accepted.append(fact)
        return accepted
