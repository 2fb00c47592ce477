"""Keys that are owed from before a failure, and rest elsewhere until they are not."""

from itertools import islice

import gevent

from cedarwick.fleet.held_partitions import HeldPartitions
from cedarwick.fleet.leased_partition import LeasedPartition
from cedarwick.fleet.leases import right_of
from cedarwick.fleet.limits import CALL_TIMEOUT_S, MAX_OWED_MESSAGES
from cedarwick.fleet.membership import MemberStatus
from cedarwick.fleet.messages import OWING, OwedKeys
from cedarwick.fleet.replication_facts import EndRank
from cedarwick.fleet.takeover import Takeover


class OwedKeyExchange(HeldPartitions):
    """Tells the others which keys are owed here, and lets those rest that they have told."""

    def _owe(self, now: int) -> None:
        """Tell the others which keys are owed here from before a failure, and let those rest that they have told."""
        here: set[int] = set()
        lying: set[int] = set().union(*(self._lying(now, adoption) for adoption in self.adoptions.values()))
        for holding in self.store.holdings.values():
            if holding.backlog:
                known = holding.ledger.known
                holding.backlog = {number: key for number, key in holding.backlog.items() if number in known}
                # Danger: a partition that is lost, or not fired for yet, has earlier ones of a key than the open one.
                (here if holding.serving else lying).update(holding.backlog.values())
        # An attempt of a key that has ended may still run.
        here |= {
            key
            for key in self.owing.sent_keys - here - lying - self.owing.elsewhere
            if self.dispatcher.rest_of(key) > 0
        }
        others = [name for name in self.alive if self.gate.levels.get(name, 0) >= OWING and name != self.name]
        if (keys := self.owing.tell(now, here | lying, others)) is not None:
            for name in others:
                gevent.spawn(self._call, name, OwedKeys(keys), CALL_TIMEOUT_S)
        before = self.owing.elsewhere
        if self.owing.rests(now, here, lying) or before:
            self.dispatcher.rest(self.owing.elsewhere)

    def _lying(self, now: int, adoption: Takeover) -> frozenset[int]:
        """Keys that are owed in a copy here, if its holder is silent."""
        partition, grant = adoption.partition, self.grantor.grant(right_of(adoption.partition))
        replica = self.copies.replica(partition)
        # The own name stands there from when this member asks for the partition until it has taken it in.
        alive = grant.holder != self.name and self._standing(now, grant.holder, adoption) is MemberStatus.ALIVE
        if replica is None or partition in self.store.holdings or self.name not in grant.successors or alive:
            self.lying.pop(partition, None)
            return frozenset()
        if partition not in self.lying:  # a silent holder tells nothing new
            facts = [fact for fact in replica.held.values() if fact.base is not None and fact.base.turn]
            self.lying[partition] = frozenset(
                [
                    fact.base.turn
                    for fact in facts[:MAX_OWED_MESSAGES]
                    if fact.base is not None
                    and fact.known.end[0] is EndRank.NONE
                    and self.dispatcher.ordered(fact.base.priority_class)
                ]
            )
        return self.lying[partition]

    def _backlog(self, holding: LeasedPartition) -> None:
        """What is owed in a partition now is from before a failure, but for what rests in the open one for others."""
        for number in islice(holding.ledger.known, MAX_OWED_MESSAGES):
            stored = self.store.messages.get(number)
            if (
                stored is not None
                and stored.turn
                and stored.end is None
                and self.dispatcher.ordered(stored.priority_class)
            ):
                # Danger: what was just adopted rested here as a copy's, and would be told no more.
                if holding is not self.store.current or stored.turn not in self.owing.elsewhere:
                    holding.backlog[number] = stored.turn
