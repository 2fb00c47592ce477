"""Replicates held partitions to other members and names their successors; a part of `FleetNode`.

Times are microseconds of the boot clock.
"""

from collections.abc import Iterable

import gevent
from loguru import logger

from cedarwick.fleet import placement
from cedarwick.fleet.leased_partition import STALLED_AFTER_US, LeasedPartition
from cedarwick.fleet.limits import MAX_LAG_FACTS, MAX_LAG_US, REPLICA_PROVEN_US, REPLICATE_PAUSE_S, REPLICATE_TIMEOUT_S
from cedarwick.fleet.member_state import MemberState
from cedarwick.fleet.messages import Digests, ReplicaAck, ReplicateFacts, ReplicatePiece
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.replication import NO_ROOM, OTHER_VERSION, FollowerProgress


class ReplicationPumps(MemberState):
    """Runs a greenlet (pump) for each replica of each partition that is held here."""

    def _update_pumps(self, now: int, holding: LeasedPartition) -> None:
        """Start a pump for each replica that is wanted or still a successor, and end the others."""
        successors = self.store.successors_of(holding)
        wanted = set(self._wanted_replicas(holding))
        for name in sorted(wanted | (successors & set(self.halls))):
            if (holding.partition, name) not in self.pumps:
                follower = holding.log.followers.get(name) or holding.log.add_follower(name, now)
                self.pumps[holding.partition, name] = gevent.spawn(
                    self._pump, holding, holding.log.term, name, follower
                )
        for name in set(holding.log.followers) - wanted - successors:
            # A former replica is updated until a majority knows a set of successors without it.
            holding.log.remove_follower(name)

    def _pump(self, holding: LeasedPartition, term: int, name: str, follower: FollowerProgress) -> None:
        """Send a replica what it lacks until it is removed from the followers of the log."""
        while holding.log.followers.get(name) is follower and name in self.halls:
            message = follower.next_message(monotonic_time())
            if message is None:
                self.store.replication_progress.clear()
                self.store.replication_progress.wait(0.05)
                continue
            holding.sent_upto = max(holding.sent_upto, follower.next_to_send)
            gevent.spawn(self._send_to_follower, follower, name, message)
            gevent.sleep(0 if self.store.ack_after_replication else REPLICATE_PAUSE_S)
        self.pumps.pop((holding.partition, name), None)

    def _send_to_follower(
        self, follower: FollowerProgress, name: str, message: ReplicateFacts | ReplicatePiece | Digests
    ) -> None:
        """Send one replication message and record the answer in the replica's progress."""
        answer = self._send_peer_message(name, message, REPLICATE_TIMEOUT_S)
        # The incarnation is that of the answer: a late answer from before a restart must not count for the files of
        # the restarted member.
        if answer is not None and isinstance(answer.body, ReplicaAck):
            if answer.body.problem in (NO_ROOM, OTHER_VERSION):
                self.replica_refused_at[name] = monotonic_time()
            follower.receive_ack(monotonic_time(), answer.body, answer.incarnation)
        elif answer is not None and isinstance(answer.body, Digests):
            follower.receive_digests(monotonic_time(), answer.body, answer.incarnation)
        self.store.replication_progress.set()

    def _wanted_replicas(self, holding: LeasedPartition) -> list[str]:
        """The members that are to have replicas of a partition."""
        now = monotonic_time()
        accepting = [
            name
            for name in self.alive_members
            if now - self.replica_refused_at.get(name, -REPLICA_PROVEN_US) >= REPLICA_PROVEN_US
        ]
        accepting = accepting if len(accepting) > self.settings.copies else self.alive_members
        return placement.choose_replicas(holding.partition, self.name, self.halls, accepting, self.settings.copies)

    def _complete_replicas(self, now: int, holding: LeasedPartition, names: Iterable[str]) -> list[str]:
        """Those of `names` whose replicas are complete; under `ack = "own"` they may lag by a short tail of the log."""
        complete = []
        for name in names:
            follower = holding.log.followers.get(name)
            if follower is not None and follower.is_complete:
                lag = follower.lag(now)
                if self.store.ack_after_replication or lag.facts <= MAX_LAG_FACTS and lag.age_us <= MAX_LAG_US:
                    complete.append(name)
        return complete

    def _name_successors(self, now: int, holding: LeasedPartition) -> None:
        """Name the members that may take over a partition: those with complete replicas, the wanted ones first."""
        holder = holding.takeover.holder
        wanted = self._wanted_replicas(holding)
        complete = self._complete_replicas(now, holding, wanted)
        if (
            holding.is_stalled(now)
            and self.settings.alone == "own"
            and not self._replicas_are_trusted(now, holding, complete)
        ):
            holder.name_successors(now, ())
            holding.joining = {}
            return
        if self.store.ack_after_replication:
            complete = self._nameable_replicas(now, holding, complete)
        former = [name for name in holder.successors[1:] if name in holding.log.followers and name not in wanted]
        if len(complete) < len(wanted):
            complete += [name for name in self._complete_replicas(now, holding, former) if name not in complete]
        if (
            self.store.ack_after_replication
            and not complete
            and holder.successors[1:]
            and self.settings.alone == "busy"
        ):
            return  # without a successor, acknowledged messages would be in one folder only
        holder.name_successors(now, placement.replica_order(holding.partition, self.name, self.halls, complete))

    def _nameable_replicas(self, now: int, holding: LeasedPartition, complete: list[str]) -> list[str]:
        """Those of some complete replicas that are successors already, or may be named successors now.

        A replica that is named a successor while records are in flight to it could take over without them, and without
        knowing of their attempts, if this sender failed at that moment. So the sender first waits for the replica
        before it acknowledges new records, and names it once it has all earlier ones.
        """
        successors, log = holding.takeover.holder.possible_successors, holding.log
        joining = {
            name: holding.joining.get(name, (log.next_index, now)) for name in complete if name not in successors
        }
        for name, (index, since) in joining.items():
            if log.acked_by([name]) < index and now - since > STALLED_AFTER_US:
                self.replica_refused_at[name] = now  # it does not keep up: another member is chosen
        if joining.keys() - holding.joining.keys() and holding.unreplicated_since:
            logger.info("partition {}: replicas follow again", holding.partition)
            holding.stalled_since = holding.unreplicated_since = 0
        holding.joining = {
            name: position for name, position in joining.items() if self.replica_refused_at.get(name) != now
        }
        return [
            name
            for name in complete
            if name in successors or name in holding.joining and log.acked_by([name]) >= holding.joining[name][0]
        ]

    def _note_replication_timeout(self, holding: LeasedPartition) -> None:
        """Note that a replica has not acknowledged a record in time."""
        if not holding.stalled_since:
            holding.stalled_since = monotonic_time()
            self.counters.warning("a replica does not follow", f"partition {holding.partition}")

    def _replicas_are_trusted(self, now: int, holding: LeasedPartition, complete: list[str]) -> bool:
        """Whether a sender that went on alone may rely on its replicas: complete ones for `REPLICA_PROVEN_US`."""
        if not complete:
            holding.unreplicated_since = now
            return False
        return now - holding.unreplicated_since >= REPLICA_PROVEN_US

    def _replicas_keep_up(self, now: int, holding: LeasedPartition) -> bool:
        """Under `ack = "copy"`: whether the successors keep up, or the setting `alone` allows to go on without them."""
        if not self.store.ack_after_replication:
            return True
        successors = self.store.successors_of(holding)
        # Only named successors count: a replica that no majority knows as one would not be granted the partition.
        if not successors or self.settings.alone == "busy" and not holding.takeover.holder.successors[1:]:
            if self.settings.alone == "own" and not holding.unreplicated_since:
                logger.warning("partition {}: goes on without a replica", holding.partition)
                holding.unreplicated_since = now
                holding.stalled_since = holding.stalled_since or now - STALLED_AFTER_US
            return self.settings.alone == "own"
        if holding.stalled_since and holding.log.acked_by(successors) >= holding.log.next_index:
            if holding.unreplicated_since or holding.is_stalled(now):
                logger.info("partition {}: replicas follow again", holding.partition)
            holding.stalled_since = holding.unreplicated_since = 0
        return not holding.is_stalled(now)
