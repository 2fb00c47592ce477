"""Exchange of the order keys with pending messages from before a failure: newer messages of them wait elsewhere.

Called by `FleetNode.check`; the rules are in `order_key_hints.py`. Times are microseconds of the boot clock.
"""

from itertools import islice

import gevent

from cedarwick.fleet.held_partitions import HeldPartitions
from cedarwick.fleet.leased_partition import LeasedPartition
from cedarwick.fleet.leases import lease_name
from cedarwick.fleet.limits import CALL_TIMEOUT_S, MAX_PENDING_SEARCHED
from cedarwick.fleet.membership import MemberStatus
from cedarwick.fleet.messages import PENDING_ORDER_KEYS_LEVEL, PendingOrderKeys
from cedarwick.fleet.replication_facts import EndRank
from cedarwick.fleet.takeover import Takeover


class PendingOrderKeyExchange(HeldPartitions):
    """Sends the others the order keys with pending messages here, and holds back the keys that they have sent."""

    def _exchange_pending_order_keys(self, now: int) -> None:
        """Send the others the keys with pending messages from before a failure; hold back those that they have sent."""
        in_replicas = self._all_replica_order_keys(now)
        here = self._backlog_order_keys(in_replicas)
        here |= self._keys_of_running_attempts(here | in_replicas)
        self._send_pending_order_keys(now, here | in_replicas)
        before = self.order_key_hints.held_keys
        if self.order_key_hints.update_held_keys(now, here, in_replicas) or before:
            self.dispatcher.hold_keys(self.order_key_hints.held_keys)

    def _all_replica_order_keys(self, now: int) -> set[int]:
        return set().union(*(self._replica_order_keys(now, takeover) for takeover in self.takeovers.values()))

    def _backlog_order_keys(self, in_replicas: set[int]) -> set[int]:
        """The keys of the backlogs of served partitions; those of the other ones are added to `in_replicas`."""
        here: set[int] = set()
        for holding in self.store.leased_partitions.values():
            if holding.backlog:
                known = holding.ledger.known
                holding.backlog = {number: key for number, key in holding.backlog.items() if number in known}
                # A partition that is lost, or not served yet, has older messages of a key than the open partition: the
                # key must rest here too.
                (here if holding.serving else in_replicas).update(holding.backlog.values())
        return here

    def _keys_of_running_attempts(self, counted: set[int]) -> set[int]:
        """Keys sent before whose messages have ended, while an attempt of one may still run."""
        return {
            key
            for key in self.order_key_hints.sent_keys - counted - self.order_key_hints.held_keys
            if self.dispatcher.key_hold_left_us(key) > 0
        }

    def _send_pending_order_keys(self, now: int, keys: set[int]) -> None:
        others = [
            name
            for name in self.alive
            if self.verifier.levels.get(name, 0) >= PENDING_ORDER_KEYS_LEVEL and name != self.name
        ]
        if (due := self.order_key_hints.due_keys(now, keys, others)) is not None:
            for name in others:
                gevent.spawn(self._call, name, PendingOrderKeys(due), CALL_TIMEOUT_S)

    def _replica_order_keys(self, now: int, takeover: Takeover) -> frozenset[int]:
        """The keys with pending messages in a replica here; none unless its holder is silent."""
        partition, grant = takeover.partition, self.grantor.grant(lease_name(takeover.partition))
        replica = self.replicas.replica(partition)
        # The own name is recorded from when this member asks for the partition until it has imported it.
        alive = grant.holder != self.name and self._status_for(now, grant.holder, takeover) is MemberStatus.ALIVE
        if replica is None or partition in self.store.leased_partitions or self.name not in grant.successors or alive:
            self.replica_order_keys.pop(partition, None)
            return frozenset()
        if partition not in self.replica_order_keys:  # once: a silent holder adds nothing
            facts = [fact for fact in replica.pending.values() if fact.base is not None and fact.base.ordering_key]
            self.replica_order_keys[partition] = frozenset(
                [
                    fact.base.ordering_key
                    for fact in facts[:MAX_PENDING_SEARCHED]
                    if fact.base is not None
                    and fact.known.end[0] is EndRank.NONE
                    and self.dispatcher.is_ordered(fact.base.priority_class)
                ]
            )
        return self.replica_order_keys[partition]

    def _record_backlog(self, holding: LeasedPartition) -> None:
        """Note all pending messages of a partition as its backlog, from before a failure.

        Messages of the open partition are left out if their key rests: older ones are pending elsewhere.
        """
        for number in islice(holding.ledger.known, MAX_PENDING_SEARCHED):
            stored = self.store.messages.get(number)
            if (
                stored is not None
                and stored.order_key
                and stored.final_answer is None
                and self.dispatcher.is_ordered(stored.priority_class)
            ):
                # An adopted partition counts whole: its keys rested here as a replica's, and would otherwise be sent no
                # longer.
                if holding is not self.store.open_partition or stored.order_key not in self.order_key_hints.held_keys:
                    holding.backlog[number] = stored.order_key
