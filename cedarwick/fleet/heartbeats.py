"""Heartbeats between members: they show which members are alive, and which partitions each of them serves.

For each other member, a greenlet started by `FleetNode.start` or `MembershipReload` sends a heartbeat every
`HEARTBEAT_INTERVAL_S` seconds. Times are microseconds of the boot clock.
"""

import gevent

from cedarwick.fleet.lease_holder import KnownHolder
from cedarwick.fleet.leases import lease_name
from cedarwick.fleet.limits import CALL_TIMEOUT_S, HEARTBEAT_INTERVAL_S
from cedarwick.fleet.member_state import MemberState
from cedarwick.fleet.messages import Heartbeat, HeldLease
from cedarwick.fleet.replicated_store import monotonic_time


class Heartbeats(MemberState):
    """Sends this member's heartbeats and processes those of the others."""

    def _exchange_heartbeats(self, name: str) -> None:
        """Exchange heartbeats with another member until it is removed from the list of members."""
        while name in self.halls:
            sent_at = monotonic_time()
            answer = self._call(name, self._own_heartbeat(), CALL_TIMEOUT_S)
            duration_us = monotonic_time() - sent_at
            if isinstance(answer, Heartbeat):
                self._receive_heartbeat(name, self.verifier.newest_incarnations.get(name, 0), answer)
            self.members.note_answer_time(monotonic_time(), name, duration_us)
            gevent.sleep(max(0.0, HEARTBEAT_INTERVAL_S - duration_us / 1e6))

    def _receive_heartbeat(self, name: str, incarnation: int, heartbeat: Heartbeat) -> None:
        """Process a member's heartbeat of one incarnation: note the partitions it serves and whether it restarted."""
        known_incarnation = self.members.incarnation_of(name)
        now = monotonic_time()
        if self.members.receive_heartbeat(now, name, incarnation, heartbeat.heard, heartbeat.leaving):
            terms = {lease.partition: lease.term for lease in heartbeat.leases}
            for partition, takeover in self.takeovers.items():
                if partition in terms:
                    self.reported_serving[partition] = name, now
                    # At least the newest term known here: a term that was requested and refused must not hide the
                    # holder.
                    term = max(terms[partition], takeover.holder.term, self.grantor.grant(lease_name(partition)).term)
                    takeover.holder.newest_other_holder = max(
                        takeover.holder.newest_other_holder, KnownHolder(term, name)
                    )
                elif partition in self.reported_serving and self.reported_serving[partition][0] == name:
                    del self.reported_serving[partition]
        if 0 < known_incarnation < incarnation:
            self.restarted_at[name] = now
            for holding in self.store.leased_partitions.values():
                if name in holding.log.followers:
                    holding.log.followers[name].forget_position()  # its replica may have been lost with the restart

    def _own_heartbeat(self) -> Heartbeat:
        """This member's current heartbeat; while it leaves, the heartbeat names no partition."""
        now = monotonic_time()
        leases = tuple(
            HeldLease(holding.partition, holding.takeover.holder.term)
            for holding in self.store.leased_partitions.values()
            if holding.serving and not self.leaving
        )
        return Heartbeat(self.leaving, self.members.heartbeat_ages(now), leases)
