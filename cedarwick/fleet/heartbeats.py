"""Heartbeats between members: which of them live, and which partitions they fire for."""

import gevent

from cedarwick.fleet.leases import right_of
from cedarwick.fleet.limits import CALL_TIMEOUT_S, HEARTBEAT_INTERVAL_S
from cedarwick.fleet.member_state import MemberState
from cedarwick.fleet.messages import Heartbeat, HeldLease
from cedarwick.fleet.replicated_store import monotonic_time


class Heartbeats(MemberState):
    """Sends the own heartbeat and takes those of others."""

    def _beat(self, name: str) -> None:
        """Returns once the other is no member any more: says that this one lives, and hears it in the answer."""
        while name in self.halls:
            began = monotonic_time()
            answer = self._call(name, self._own_beat(), CALL_TIMEOUT_S)
            took = monotonic_time() - began
            if isinstance(answer, Heartbeat):
                self._heard(name, self.gate.newest.get(name, 0), answer)
            self.members.slow(monotonic_time(), name, took)
            gevent.sleep(max(0.0, HEARTBEAT_INTERVAL_S - took / 1e6))

    def _heard(self, name: str, incarnation: int, beat: Heartbeat) -> None:
        before = self.members.incarnation_of(name)
        now = monotonic_time()
        if self.members.heard(now, name, incarnation, beat.heard, beat.leaving):
            terms = {right.partition: right.term for right in beat.rights}
            for partition, adoption in self.adoptions.items():
                if partition in terms:
                    self.served[partition] = name, now
                    # Danger: a term that was asked for here, in vain, would hide who holds the partition.
                    term = max(terms[partition], adoption.holder.term, self.grantor.grant(right_of(partition)).term)
                    adoption.holder.newer = max(adoption.holder.newer, (term, name))
                elif partition in self.served and self.served[partition][0] == name:
                    del self.served[partition]
        if 0 < before < incarnation:
            self.reborn[name] = now
            for holding in self.store.holdings.values():
                if name in holding.log.followers:
                    holding.log.followers[name].lost()  # its copy may have gone with the boot before

    def _own_beat(self) -> Heartbeat:
        now = monotonic_time()
        rights = tuple(
            HeldLease(holding.partition, holding.adoption.holder.term)
            for holding in self.store.holdings.values()
            if holding.serving and not self.leaving
        )
        return Heartbeat(self.leaving, self.members.beat_ages(now), rights)
