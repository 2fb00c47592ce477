"""Sessions of a sender whose partition was adopted: who may claim them, and with which recent message ids.

A part of `SessionRouter`. Times are microseconds of the boot clock.
"""

from loguru import logger

from cedarwick.config.member_slots import slot_of
from cedarwick.fleet.leased_partition import LeasedPartition
from cedarwick.fleet.leases import EPOCH_BITS, lease_name
from cedarwick.fleet.limits import DEADLINE_MARGIN_US, US_PER_S
from cedarwick.fleet.messages import SessionInheritance
from cedarwick.fleet.recent_ids import RecentIds
from cedarwick.fleet.replica import ReplicaEntry as Step
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.replication_facts import EndRank, Fact
from cedarwick.fleet.session_state import InheritableSessions, SessionState
from cedarwick.fleet.sessions import (
    ID_RETENTION_US,
    ClaimAnswer,
    ClaimRequest,
)

# The level from which on members claim their sessions anew after they have lost their partition: only then can another
# member inherit the sessions.
INHERITANCE_LEVEL = 3


class SessionInheritances(SessionState):
    """Inherits sessions of senders that are gone."""

    def _copied(self, partition: int, step: Step, facts: list[Fact]) -> None:
        now = monotonic_time()
        if partition not in self.replica_recent_ids:
            self.replica_recent_ids[partition] = RecentIds(now)
        self.replica_recent_ids[partition].record(step, facts, now)

    def adopted(self, partition: int) -> None:
        """Called when a partition is held here under a new term: keep the ids known from its copy for inheritance."""
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
        """The newest partition of a sender that is known here; 0: none."""
        slot = slot_of(name)
        epoch = self.node.grantor.newest_epoch(slot)
        return slot << EPOCH_BITS | epoch if epoch >= 0 else 0

    def _successor(self, name: str) -> str:
        """The member that holds the newest partition of a sender that is gone; empty if none is known."""
        partition = self._newest_partition(name)
        grant = self.node.grantor.grant(lease_name(partition))
        return grant.holder if partition and grant.holder != name and not grant.closed else ""

    def _inherit(self, key: int) -> bool:
        """Claim a session whose last holder's partition is held here; returns whether to rule on it again."""
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
        over = (entry.sequence, entry.holder)
        if not self._answer_inheritance(ClaimRequest(key, 0, over, now), partition, self.name, now).granted:
            self.counters.add("inheritances that failed")
            return False
        ids = {
            id: (now - at, hashed)
            for id, (at, hashed) in inheritable.recent_ids.get(key, {}).items()
            if at >= now - ID_RETENTION_US
        }
        request = self.directory.begin_inheritance(key, ids, now)
        if request is None:
            return False
        # Noted for `offered`: what no copy had was never answered, and may have been taken here since.
        inheritable.inherited_keys.add(key)
        self._ask_all(request, SessionInheritance(request.key, request.sequence, *request.over, partition, request.at))
        self.counters.add("sessions inherited" if key in self.directory.sessions else "inheritances that failed")
        return True

    def _answer_inheritance(self, request: ClaimRequest, partition: int, by: str, now: int) -> ClaimAnswer:
        holder = request.over[1]
        grant = self.node.grantor.grant(lease_name(partition))
        holds = (
            partition == self._newest_partition(holder)
            and grant.holder == by
            and not grant.closed
            and not self.node.grantor.learning
        )
        may_have_moved = self.migrations.acceptor.may_have_moved(
            request.key, holder, now - ID_RETENTION_US
        ) or self.migrations.has_open_move(request.key)
        return self.directory.answer_inheritance(request, by, holds, may_have_moved, now)

    def offered(self, holding: LeasedPartition, facts: list[Fact]) -> list[Fact]:
        """Filter what the last holder of an adopted partition offers: messages of inherited sessions may not count."""
        inheritable, soon = self.inheritable_sessions.get(holding.partition), self.clock.now() + 2 * DEADLINE_MARGIN_US
        if inheritable is None or not inheritable.inherited_keys:
            return facts
        counts = []
        for fact in facts:
            stored, known = self.store.messages.get(fact.number), holding.ledger.known.get(fact.number)
            if known is None:
                if fact.base is not None and fact.base.ordering_key in inheritable.inherited_keys:
                    continue  # no copy had it: its client saw no answer and may have come here with it
            elif stored is not None and stored.order_key in inheritable.inherited_keys and known.end[0] is EndRank.NONE:
                withdrawn = fact.known.end[0] is EndRank.NOTIFIED and not (fact.known.move and fact.known.move[1])
                if withdrawn and stored.deadline > soon:  # else maybe answered 'failed' without a copy
                    continue  # its client was turned away there, and may have got +OK here since
            counts.append(fact)
        return counts
