"""The partitions that a member follows or holds, and the lease records on the disk of those that it has held.

Used by the parts of `FleetNode` that take over partitions. Times are microseconds of the boot clock.
"""

from cedarwick.fleet.fleet_files import LeaseRecord
from cedarwick.fleet.leased_partition import LeasedPartition
from cedarwick.fleet.leases import lease_name
from cedarwick.fleet.limits import RESTART_REQUEST_WINDOW_US, START_SERVING_US
from cedarwick.fleet.member_state import MemberState
from cedarwick.fleet.membership import MemberStatus
from cedarwick.fleet.replicated_store import NUMBERS_PER_RESERVATION
from cedarwick.fleet.takeover import Takeover


class HeldPartitions(MemberState):
    """Keeps the lease records of partitions, with the message numbers that are reserved in them."""

    def _follow_partition(self, partition: int) -> None:
        """Begin to follow a partition of which this member has a replica."""
        if partition not in self.takeovers:
            self.takeovers[partition] = Takeover(partition, self.name, self.halls, self._recorded_term(partition))

    def _recorded_term(self, partition: int) -> int:
        """The term in the lease record of a partition; 0 without one."""
        return self.lease_records[partition].term if partition in self.lease_records else 0

    def _first_unused_number(self, partition: int) -> int:
        """The first message number of a partition that is certainly unused."""
        upto = self.lease_records[partition].upto if partition in self.lease_records else partition << 32
        return max([upto, partition << 32, *self.store.message_numbers(partition)]) + 1

    def _reserve_numbers(self, holding: LeasedPartition) -> None:
        """Reserve the next block of message numbers on the disk before the first of them is used; raises OSError."""
        upto = self.store.next_number + NUMBERS_PER_RESERVATION
        if (upto >> 32) != holding.partition:
            # A partition has 2**32 numbers. Once they are used up, it accepts no more messages and the next is opened.
            if self.ownership is not None:
                self.ownership.exhausted = holding is self.store.open_partition
            return
        self._record_lease(holding.partition, holding.takeover.holder.term, upto)
        holding.reserved_upto = upto

    def _record_lease(self, partition: int, term: int, upto: int) -> None:
        """Raise the term and the end of the reserved numbers in a lease record; write all records. Raises OSError."""
        previous = self.lease_records.get(partition, LeaseRecord(partition, 0, 0))
        self.lease_records[partition] = LeaseRecord(partition, max(term, previous.term), max(upto, previous.upto))
        self.fleet_files.write_held_partitions(list(self.lease_records.values()))

    def _hold_partition(self, partition: int) -> LeasedPartition:
        """The `LeasedPartition` of a partition that this sender is about to hold, created if there is none."""
        if partition not in self.store.leased_partitions:
            self.store.leased_partitions[partition] = LeasedPartition(partition, self.takeovers[partition])
        holding = self.store.leased_partitions[partition]
        holding.takeover = self.takeovers[partition]
        return holding

    def _presumed_holder(self, takeover: Takeover) -> str:
        """The presumed holder of a partition; empty if none is known."""
        grant, (term, holder) = self.grantor.grant(lease_name(takeover.partition)), takeover.holder.newest_other_holder
        # At equal terms the report of the other holder counts: the own grantor may have granted the term to this
        # member while a majority granted it to the other.
        return grant.holder if grant.term > term else holder

    def _status_for_partition(self, now: int, name: str, takeover: Takeover) -> MemberStatus:
        """A member's status with respect to a partition: a presumed holder that does not serve it counts as dead."""
        partition, grant = takeover.partition, self.grantor.grant(lease_name(takeover.partition))
        term, holder = takeover.holder.newest_other_holder
        holder = grant.holder if grant.term > term else holder
        if self.presumed_holders.get(partition, ("", 0))[0] != holder:
            self.presumed_holders[partition] = holder, now
        member_status = self.members.status(now, name)
        if name == holder and member_status is MemberStatus.ALIVE:
            serving_member, reported_at = self.reported_serving.get(partition, ("", 0))
            restarted_at = self.restarted_at.get(name, 0)
            # The first heartbeats after a restart name no partition. If the idle time counted from before the restart,
            # the member would lose the partition before it could request it, with final answers that no replica has.
            idle_since = max(
                self.presumed_holders[partition][1], reported_at if serving_member == name else 0, restarted_at
            )
            # By now, a restarted member would have requested the partition; the request of an idle one has failed.
            if reported_at < restarted_at <= now - RESTART_REQUEST_WINDOW_US or idle_since <= now - START_SERVING_US:
                return MemberStatus.DEAD
        return member_status
