"""Heartbeats between members: which of them are alive, and which partitions they serve.

One greenlet for each other member, started by `FleetNode.start` and `MembershipReload`, sends a heartbeat every
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
    """Sends this member's heartbeat and takes those of the others."""

    def _exchange_heartbeats(self, name: str) -> None:
        """Exchange heartbeats with another member; returns once that one is no member any more."""
        while name in self.halls:
            began = monotonic_time()
            answer = self._call(name, self._own_heartbeat(), CALL_TIMEOUT_S)
            took = monotonic_time() - began
            if isinstance(answer, Heartbeat):
                self._receive_heartbeat(name, self.verifier.newest_incarnations.get(name, 0), answer)
            self.members.note_answer_time(monotonic_time(), name, took)
            gevent.sleep(max(0.0, HEARTBEAT_INTERVAL_S - took / 1e6))

    def _receive_heartbeat(self, name: str, incarnation: int, beat: Heartbeat) -> None:
        """Take a heartbeat of the given boot of a member: note which partitions it serves, and whether it restarted."""
        before = self.members.incarnation_of(name)
        now = monotonic_time()
        if self.members.receive_heartbeat(now, name, incarnation, beat.heard, beat.leaving):
            terms = {lease.partition: lease.term for lease in beat.leases}
            for partition, takeover in self.takeovers.items():
                if partition in terms:
                    self.reported_serving[partition] = name, now
                    # At least the newest term known here: one that was asked for in vain must not hide the holder.
                    term = max(terms[partition], takeover.holder.term, self.grantor.grant(lease_name(partition)).term)
                    takeover.holder.newest_other_holder = max(
                        takeover.holder.newest_other_holder, KnownHolder(term, name)
                    )
                elif partition in self.reported_serving and self.reported_serving[partition][0] == name:
                    del self.reported_serving[partition]
        if 0 < before < incarnation:
            self.restarted_at[name] = now
            for holding in self.store.leased_partitions.values():
                if name in holding.log.followers:
                    holding.log.followers[name].forget_position()  # its replica may have been lost with the restart

    def _own_heartbeat(self) -> Heartbeat:
        """This member's heartbeat as of now; while it leaves it names no partition."""
        now = monotonic_time()
        leases = tuple(
            HeldLease(holding.partition, holding.takeover.holder.term)
            for holding in self.store.leased_partitions.values()
            if holding.serving and not self.leaving
        )
        return Heartbeat(self.leaving, self.members.heartbeat_ages(now), leases)
