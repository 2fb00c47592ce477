"""The partitions that a member looks after, and the record of those that it holds."""

from cedarwick.fleet.fleet_files import LeaseRecord
from cedarwick.fleet.leased_partition import LeasedPartition
from cedarwick.fleet.leases import right_of
from cedarwick.fleet.limits import IDLE_HOLDER_US, REBORN_ASKS_US
from cedarwick.fleet.member_state import MemberState
from cedarwick.fleet.membership import MemberStatus
from cedarwick.fleet.replicated_store import BLOCK
from cedarwick.fleet.takeover import Takeover


class HeldPartitions(MemberState):
    """Records of partitions and of their reserved numbers."""

    def _follow(self, partition: int) -> None:
        """A copy lies here: look after it."""
        if partition not in self.adoptions:
            self.adoptions[partition] = Takeover(partition, self.name, self.halls, self._term_of(partition))

    def _term_of(self, partition: int) -> int:
        return self.held[partition].term if partition in self.held else 0

    def _first_number(self, partition: int) -> int:
        upto = self.held[partition].upto if partition in self.held else partition << 32
        return max([upto, partition << 32, *self.store.numbers(partition)]) + 1

    def _reserve(self, holding: LeasedPartition) -> None:
        """Write down that a block of numbers is given, before the first of them is."""
        upto = self.store.next_number + BLOCK
        if (upto >> 32) != holding.partition:
            # Danger: nothing more is taken in a partition that is full, 2**32 numbers from its begin on; the next is
            # opened.
            if self.ownership is not None:
                self.ownership.full = holding is self.store.current
            return
        self._note(holding.partition, holding.adoption.holder.term, upto)
        holding.reserved = upto

    def _note(self, partition: int, term: int, upto: int) -> None:
        before = self.held.get(partition, LeaseRecord(partition, 0, 0))
        self.held[partition] = LeaseRecord(partition, max(term, before.term), max(upto, before.upto))
        self.lasting.write_held(list(self.held.values()))

    def _hold(self, partition: int) -> LeasedPartition:
        """The records of a partition that this sender is about to hold."""
        if partition not in self.store.holdings:
            self.store.holdings[partition] = LeasedPartition(partition, self.adoptions[partition])
        holding = self.store.holdings[partition]
        holding.adoption = self.adoptions[partition]
        return holding

    def _newest(self, adoption: Takeover) -> str:
        """Who is said to hold a partition."""
        grant, (term, holder) = self.grantor.grant(right_of(adoption.partition)), adoption.holder.newer
        # Danger: a term may be another's at the grantors that count and ours at our own; then the other one holds it.
        return grant.holder if grant.term > term else holder

    def _standing(self, now: int, name: str, adoption: Takeover) -> MemberStatus:
        """How a member stands; one that is said to hold the partition, and does not fire for it, is as good as gone."""
        partition, grant = adoption.partition, self.grantor.grant(right_of(adoption.partition))
        term, holder = adoption.holder.newer
        holder = grant.holder if grant.term > term else holder
        if self.claimed.get(partition, ("", 0))[0] != holder:
            self.claimed[partition] = holder, now
        state = self.members.state(now, name)
        if name == holder and state is MemberStatus.ALIVE:
            who, at = self.served.get(partition, ("", 0))
            reborn = self.reborn.get(name, 0)
            # Danger: its first beats after a boot name no partition; without that boot it would be idle at once, and
            # lose the partition before it can ask, with ends that no copy was told.
            idle_since = max(self.claimed[partition][1], at if who == name else 0, reborn)
            # Alive under another incarnation, it would have asked for the partition by now; or it has asked in vain.
            if at < reborn <= now - REBORN_ASKS_US or idle_since <= now - IDLE_HOLDER_US:
                return MemberStatus.DEAD
        return state
