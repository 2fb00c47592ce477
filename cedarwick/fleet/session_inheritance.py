"""Sessions of a sender whose partition was adopted: who may claim them, and with which recent message ids.

A part of `SessionRouter`. Times are microseconds of the boot clock.
"""

from loguru import logger

from cedarwick.fleet.leased_partition import LeasedPartition
from cedarwick.fleet.leases import EPOCH_BITS, lease_of
from cedarwick.fleet.messages import (
    SessionInheritance,
    slot_of,
)
from cedarwick.fleet.migration_state import LATE, SECOND
from cedarwick.fleet.recent_ids import RecentIds
from cedarwick.fleet.replica import ReplicaEntry as Step
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.replication_facts import EndRank, Fact
from cedarwick.fleet.session_state import InheritedSessions, SessionState
from cedarwick.fleet.sessions import (
    REMEMBERED,
    Claim,
    ClaimRequest,
)

SUCCESSORS = (
    3  # the level of members whose sessions can be inherited: they claim them anew when they have lost their partition
)


class SessionInheritances(SessionState):
    """Inherits sessions of senders that are gone."""

    def _copied(self, partition: int, step: Step, facts: list[Fact]) -> None:
        now = monotonic_time()
        if partition not in self.memories:
            self.memories[partition] = RecentIds(now)
        self.memories[partition].heard(step, facts, now)

    def adopted(self, partition: int) -> None:
        """Called when a partition is held here under a new term: keep the ids known from its copy for inheritance."""
        memory, now = self.memories.pop(partition, None), monotonic_time()
        owner = next((name for name in self.node.halls if slot_of(name) == partition >> EPOCH_BITS), "")
        if memory is None or self.node.gate.levels.get(owner, 0) < SUCCESSORS or owner == self.name:
            logger.info(
                "sessions of {} are taken over {} s after its death: no ids of late are known",
                owner or "?",
                REMEMBERED // SECOND,
            )
            return
        self.estates[partition] = InheritedSessions(owner, memory.whole_at(), memory.by_key(), set())
        logger.info(
            "sessions of {} are taken over as they are used, {:.1f} s from now on",
            owner,
            max(0, memory.whole_at() - now) / SECOND,
        )

    def _newest_partition(self, name: str) -> int:
        """The newest partition of a sender that is known here; 0: none."""
        slot = slot_of(name)
        epoch = self.node.grantor.newest_epoch(slot)
        return slot << EPOCH_BITS | epoch if epoch >= 0 else 0

    def _successor(self, name: str) -> str:
        """The member that holds the newest partition of a sender that is gone; empty if none is known."""
        partition = self._newest_partition(name)
        grant = self.node.grantor.grant(lease_of(partition))
        return grant.holder if partition and grant.holder != name and not grant.closed else ""

    def _inherit(self, key: int) -> bool:
        """Claim a session whose last holder's partition is held here; returns whether to rule on it again."""
        now, entry = monotonic_time(), self.directory.entry(key, monotonic_time())
        partition = self._newest_partition(entry.holder) if entry is not None else 0
        estate, holding = self.estates.get(partition), self.store.holdings.get(partition)
        if entry is None or estate is None or holding is None or not holding.serving or not self.store.taking():
            return False
        if estate.owner != entry.holder or estate.whole_at > now:
            self.counters.add("submissions for sessions whose ids of late are not known")
            return False
        over = (entry.sequence, entry.holder)
        if not self._successor_claims(ClaimRequest(key, 0, over, now), partition, self.name, now).granted:
            self.counters.add("inheritances that failed")
            return False
        ids = {id: (now - at, hashed) for id, (at, hashed) in estate.ids.get(key, {}).items() if at >= now - REMEMBERED}
        asking = self.directory.inherit(key, ids, now)
        if asking is None:
            return False
        # Noted for `offered`: what no copy had was never answered, and may have been taken here since.
        estate.keys.add(key)
        self._ask_all(asking, SessionInheritance(asking.key, asking.sequence, *asking.over, partition, asking.at))
        self.counters.add("sessions inherited" if key in self.directory.sessions else "inheritances that failed")
        return True

    def _successor_claims(self, asking: ClaimRequest, partition: int, by: str, now: int) -> Claim:
        holder = asking.over[1]
        grant = self.node.grantor.grant(lease_of(partition))
        holds = (
            partition == self._newest_partition(holder)
            and grant.holder == by
            and not grant.closed
            and not self.node.grantor.learning
        )
        moved = self.transfers.acceptor.may_have_moved(
            asking.key, holder, now - REMEMBERED
        ) or self.transfers.open_move(asking.key)
        return self.directory.successor_claims(asking, by, holds, moved, now)

    def offered(self, holding: LeasedPartition, facts: list[Fact]) -> list[Fact]:
        """Filter what the last holder of an adopted partition offers: messages of inherited sessions may not count."""
        estate, soon = self.estates.get(holding.partition), self.clock.now() + 2 * LATE
        if estate is None or not estate.keys:
            return facts
        counts = []
        for fact in facts:
            stored, known = self.store.messages.get(fact.number), holding.ledger.known.get(fact.number)
            if known is None:
                if fact.base is not None and fact.base.turn in estate.keys:
                    continue  # no copy had it: its client saw no answer and may have come here with it
            elif stored is not None and stored.turn in estate.keys and known.end[0] is EndRank.NONE:
                withdrawn = fact.known.end[0] is EndRank.NOTIFIED and not (fact.known.move and fact.known.move[1])
                if withdrawn and stored.deadline > soon:  # else maybe answered 'failed' without a copy
                    continue  # its client was turned away there, and may have got +OK here since
            counts.append(fact)
        return counts
