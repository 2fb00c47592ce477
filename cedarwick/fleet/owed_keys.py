"""Exchange of the order keys that are owed since before a failure: new messages of these keys wait at other members.

Called by `FleetNode.check`; the rules are in `order_key_hints.py`. Times are microseconds of the boot clock.
"""

from itertools import islice

import gevent

from cedarwick.fleet.held_partitions import HeldPartitions
from cedarwick.fleet.leased_partition import LeasedPartition
from cedarwick.fleet.leases import lease_of
from cedarwick.fleet.limits import CALL_TIMEOUT_S, MAX_OWED_MESSAGES
from cedarwick.fleet.membership import MemberStatus
from cedarwick.fleet.messages import OWING, OwedKeys
from cedarwick.fleet.replication_facts import EndRank
from cedarwick.fleet.takeover import Takeover


class OwedKeyExchange(HeldPartitions):
    """Sends the others the keys that are owed here, and lets the keys rest that they have sent."""

    def _owe(self, now: int) -> None:
        """Send the others the keys owed here since before a failure, and let the keys rest that they have sent."""
        here: set[int] = set()
        lying: set[int] = set().union(*(self._lying(now, adoption) for adoption in self.adoptions.values()))
        for holding in self.store.holdings.values():
            if holding.backlog:
                known = holding.ledger.known
                holding.backlog = {number: key for number, key in holding.backlog.items() if number in known}
                # A partition that is lost, or not served yet, has older messages of a key than the open partition: the
                # key must rest here too.
                (here if holding.serving else lying).update(holding.backlog.values())
        # Keys whose messages have ended, while an attempt of one may still run.
        here |= {
            key
            for key in self.order_key_hints.sent_keys - here - lying - self.order_key_hints.elsewhere
            if self.dispatcher.rest_of(key) > 0
        }
        others = [name for name in self.alive if self.gate.levels.get(name, 0) >= OWING and name != self.name]
        if (keys := self.order_key_hints.tell(now, here | lying, others)) is not None:
            for name in others:
                gevent.spawn(self._call, name, OwedKeys(keys), CALL_TIMEOUT_S)
        before = self.order_key_hints.elsewhere
        if self.order_key_hints.rests(now, here, lying) or before:
            self.dispatcher.rest(self.order_key_hints.elsewhere)

    def _lying(self, now: int, adoption: Takeover) -> frozenset[int]:
        """The keys that are owed in a replica here; none unless its holder is silent."""
        partition, grant = adoption.partition, self.grantor.grant(lease_of(adoption.partition))
        replica = self.replicas.replica(partition)
        # The own name is recorded from when this member asks for the partition until it has imported it.
        alive = grant.holder != self.name and self._status_for(now, grant.holder, adoption) is MemberStatus.ALIVE
        if replica is None or partition in self.store.holdings or self.name not in grant.successors or alive:
            self.silent_holder_keys.pop(partition, None)
            return frozenset()
        if partition not in self.silent_holder_keys:  # once: a silent holder adds nothing
            facts = [fact for fact in replica.owed.values() if fact.base is not None and fact.base.turn]
            self.silent_holder_keys[partition] = frozenset(
                [
                    fact.base.turn
                    for fact in facts[:MAX_OWED_MESSAGES]
                    if fact.base is not None
                    and fact.known.end[0] is EndRank.NONE
                    and self.dispatcher.ordered(fact.base.priority_class)
                ]
            )
        return self.silent_holder_keys[partition]

    def _backlog(self, holding: LeasedPartition) -> None:
        """Note all that a partition owes now as its backlog, from before a failure.

        Messages of the open partition are left out if their key rests: older ones are owed elsewhere.
        """
        for number in islice(holding.ledger.known, MAX_OWED_MESSAGES):
            stored = self.store.messages.get(number)
            if (
                stored is not None
                and stored.turn
                and stored.end is None
                and self.dispatcher.ordered(stored.priority_class)
            ):
                # An adopted partition counts whole: its keys rested here as a replica's, and would otherwise be sent no
                # longer.
                if holding is not self.store.open_partition or stored.turn not in self.order_key_hints.elsewhere:
                    holding.backlog[number] = stored.turn
