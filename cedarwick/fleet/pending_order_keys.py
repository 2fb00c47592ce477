"""Exchange of the order keys with pending messages from before a failure; other members hold back newer messages.

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
    """Sends other members the order keys with pending messages here, and holds back the keys that they have sent."""

    def _exchange_pending_order_keys(self, now: int) -> None:
        """Send the keys with pending messages from before a failure; hold back the keys that other members sent."""
        in_replicas = self._all_replica_order_keys(now)
        own_keys = self._backlog_order_keys(in_replicas)
        own_keys |= self._keys_of_running_attempts(own_keys | in_replicas)
        self._send_pending_order_keys(now, own_keys | in_replicas)
        previously_held = self.order_key_hints.held_keys
        if self.order_key_hints.update_held_keys(now, own_keys, in_replicas) or previously_held:
            self.dispatcher.hold_keys(self.order_key_hints.held_keys)

    def _all_replica_order_keys(self, now: int) -> set[int]:
        """The keys with pending messages in any replica here whose holder is silent."""
        return set().union(*(self._replica_order_keys(now, takeover) for takeover in self.takeovers.values()))

    def _backlog_order_keys(self, in_replicas: set[int]) -> set[int]:
        """The keys of the backlogs of served partitions; the keys of other partitions are added to `in_replicas`."""
        served_keys: set[int] = set()
        for holding in self.store.leased_partitions.values():
            if holding.backlog:
                known = holding.ledger.known
                holding.backlog = {number: key for number, key in holding.backlog.items() if number in known}
                # A partition that is lost, or not served yet, has older messages of a key than the open partition, so
                # the key must be held back here too.
                (served_keys if holding.serving else in_replicas).update(holding.backlog.values())
        return served_keys

    def _keys_of_running_attempts(self, known_keys: set[int]) -> set[int]:
        """Keys sent earlier whose messages have ended, but an attempt of one may still be running."""
        return {
            key
            for key in self.order_key_hints.sent_keys - known_keys - self.order_key_hints.held_keys
            if self.dispatcher.key_hold_left_us(key) > 0
        }

    def _send_pending_order_keys(self, now: int, keys: set[int]) -> None:
        """Send the keys to the members that are alive and know the message, if a hint is due."""
        recipients = [
            name
            for name in self.alive_members
            if self.verifier.levels.get(name, 0) >= PENDING_ORDER_KEYS_LEVEL and name != self.name
        ]
        if (hint_keys := self.order_key_hints.due_keys(now, keys, recipients)) is not None:
            for name in recipients:
                gevent.spawn(self._call, name, PendingOrderKeys(hint_keys), CALL_TIMEOUT_S)

    def _replica_order_keys(self, now: int, takeover: Takeover) -> frozenset[int]:
        """The keys with pending messages in a replica here; none unless its holder is silent."""
        partition, grant = takeover.partition, self.grantor.grant(lease_name(takeover.partition))
        replica = self.replicas.replica(partition)
        # The grant names this member from its request for the partition until it has imported it.
        holder_alive = (
            grant.holder != self.name and self._status_for_partition(now, grant.holder, takeover) is MemberStatus.ALIVE
        )
        if (
            replica is None
            or partition in self.store.leased_partitions
            or self.name not in grant.successors
            or holder_alive
        ):
            self.replica_order_keys.pop(partition, None)
            return frozenset()
        if partition not in self.replica_order_keys:  # computed once, since a silent holder adds nothing
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
        """Record all pending messages of a partition as its backlog from before a failure.

        Messages of the open partition are left out if their key is held back, since older ones are pending elsewhere.
        """
        for number in islice(holding.ledger.known, MAX_PENDING_SEARCHED):
            stored = self.store.messages.get(number)
            if (
                stored is not None
                and stored.order_key
                and stored.final_answer is None
                and self.dispatcher.is_ordered(stored.priority_class)
            ):
                # All messages of an adopted partition count: its keys were held back here as those of a replica, and
                # would otherwise not be sent any more.
                if holding is not self.store.open_partition or stored.order_key not in self.order_key_hints.held_keys:
                    holding.backlog[number] = stored.order_key
