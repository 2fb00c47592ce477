"""Sends held partitions to their replicas and names their successors; a part of the fleet node. Times: microseconds."""

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
    """Runs a greenlet for each replica of each partition that is held here."""

    def _update_pumps(self, now: int, holding: LeasedPartition) -> None:
        """Start a greenlet for each replica that is wanted or still a successor, and end the others."""
        successors = self.store.successors_of(holding)
        wanted = set(self._wanted_replicas(holding))
        for name in sorted(wanted | (successors & set(self.halls))):
            if (holding.partition, name) not in self.pumps:
                follower = holding.log.followers.get(name) or holding.log.add_follower(name, now)
                self.pumps[holding.partition, name] = gevent.spawn(
                    self._pump, holding, holding.log.term, name, follower
                )
        for name in set(holding.log.followers) - wanted - successors:
            # The old replica stays until a majority knows a set of successors without it.
            holding.log.remove_follower(name)

    def _pump(self, holding: LeasedPartition, term: int, name: str, follower: FollowerProgress) -> None:
        """Send a replica what it lacks, until it is not followed any more."""
        while holding.log.followers.get(name) is follower and name in self.halls:
            message = follower.next_message(monotonic_time())
            if message is None:
                self.store.replication_progress.clear()
                self.store.replication_progress.wait(0.05)
                continue
            holding.sent_upto = max(holding.sent_upto, follower.next_to_send)
            gevent.spawn(self._send, follower, name, message)
            gevent.sleep(0 if self.store.ack_after_replication else REPLICATE_PAUSE_S)
        self.pumps.pop((holding.partition, name), None)

    def _send(self, follower: FollowerProgress, name: str, message: ReplicateFacts | ReplicatePiece | Digests) -> None:
        answer = self._peer_message(name, message, REPLICATE_TIMEOUT_S)
        # The answer's own incarnation: a late answer of an earlier boot must not count for the files of the new one.
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
        able = [
            name
            for name in self.alive
            if now - self.replica_refused_at.get(name, -REPLICA_PROVEN_US) >= REPLICA_PROVEN_US
        ]
        able = able if len(able) > self.settings.copies else self.alive
        return placement.choose_replicas(holding.partition, self.name, self.halls, able, self.settings.copies)

    def _complete_replicas(self, now: int, holding: LeasedPartition, names: Iterable[str]) -> list[str]:
        """Those of some members whose replicas have all but a short tail."""
        found = []
        for name in names:
            follower = holding.log.followers.get(name)
            if follower is not None and follower.is_complete:
                lag = follower.lag(now)
                if self.store.ack_after_replication or lag.facts <= MAX_LAG_FACTS and lag.age_us <= MAX_LAG_US:
                    found.append(name)
        return found

    def _name_successors(self, now: int, holding: LeasedPartition) -> None:
        holder = holding.takeover.holder
        wanted = self._wanted_replicas(holding)
        whole = self._complete_replicas(now, holding, wanted)
        if (
            holding.is_stalled(now)
            and self.settings.alone == "own"
            and not self._replicas_are_trusted(now, holding, whole)
        ):
            holder.name_successors(now, ())
            holding.joining = {}
            return
        if self.store.ack_after_replication:
            whole = self._joined_replicas(now, holding, whole)
        old = [name for name in holder.successors[1:] if name in holding.log.followers and name not in wanted]
        if len(whole) < len(wanted):
            whole += [name for name in self._complete_replicas(now, holding, old) if name not in whole]
        if self.store.ack_after_replication and not whole and holder.successors[1:] and self.settings.alone == "busy":
            return  # without a successor, acknowledged messages would be in one folder only
        holder.name_successors(now, placement.replica_order(holding.partition, self.name, self.halls, whole))

    def _joined_replicas(self, now: int, holding: LeasedPartition, whole: list[str]) -> list[str]:
        """Those of some whole replicas that are successors, or may be named for ones.

        A replica that was named while records are on their way to it could take over without them, attempts among them,
        if this sender died at that moment. So new records wait for the replica first, and it is named once it has all
        earlier ones.
        """
        bound, log = holding.takeover.holder.possible_successors, holding.log
        joining = {name: holding.joining.get(name, (log.next_index, now)) for name in whole if name not in bound}
        for name, (index, since) in joining.items():
            if log.acked_by([name]) < index and now - since > STALLED_AFTER_US:
                self.replica_refused_at[name] = now  # it does not keep up: another one is asked
        if joining.keys() - holding.joining.keys() and holding.unreplicated_since:
            logger.info("partition {}: replicas follow again", holding.partition)
            holding.stalled_since = holding.unreplicated_since = 0
        holding.joining = {name: each for name, each in joining.items() if self.replica_refused_at.get(name) != now}
        return [
            name
            for name in whole
            if name in bound or name in holding.joining and log.acked_by([name]) >= holding.joining[name][0]
        ]

    def _note_replication_timeout(self, holding: LeasedPartition) -> None:
        """Note that a replica has not taken a record in time."""
        if not holding.stalled_since:
            holding.stalled_since = monotonic_time()
            self.counters.warning("a replica does not follow", f"partition {holding.partition}")

    def _replicas_are_trusted(self, now: int, holding: LeasedPartition, whole: list[str]) -> bool:
        """Whether replicas have followed for long enough (`REPLICA_PROVEN_US`) for a sender that goes on alone."""
        if not whole:
            holding.unreplicated_since = now
            return False
        return now - holding.unreplicated_since >= REPLICA_PROVEN_US

    def _replicas_keep_up(self, now: int, holding: LeasedPartition) -> bool:
        """Under `ack = "copy"`: whether the successors keep up, or the setting `alone` allows to go on without."""
        if not self.store.ack_after_replication:
            return True
        successors = self.store.successors_of(holding)
        # Only named ones count: a replica that no majority knows as a successor would not be granted the partition.
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
