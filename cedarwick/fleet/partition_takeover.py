"""Carries out what the rules of `takeover.py` decide for each partition, from the lease request to its removal.

A part of `FleetNode`: it imports replicas, serves partitions, offers what it knows to a newer holder and drops
partitions that it no longer needs. Times are microseconds of the boot clock unless a name ends in `_S` (seconds).
"""

import gevent
from loguru import logger

from cedarwick.config.member_slots import slot_of
from cedarwick.fleet.lease_holder import LeaseState
from cedarwick.fleet.leased_partition import LeasedPartition
from cedarwick.fleet.leases import EPOCH_BITS, LEASE_SPAN_US, lease_name
from cedarwick.fleet.limits import (
    DAMAGED_FOLDER_US,
    DEADLINE_MARGIN_US,
    NEW_LOG_CATCH_UP_US,
    OFFER_EXPECTED_US,
    OFFER_TIMEOUT_S,
    UNUSED_REPLICA_US,
)
from cedarwick.fleet.messages import LeaseRequest
from cedarwick.fleet.pending_order_keys import PendingOrderKeyExchange
from cedarwick.fleet.replica import Replica
from cedarwick.fleet.replication_pumps import ReplicationPumps
from cedarwick.fleet.takeover import PartitionsExhaustedError, Takeover, TakeoverAction, TakeoverStage, TakeoverStep
from cedarwick.fleet.takeover_offers import TakeoverOffers
from cedarwick.store.files import NoSpaceError


class PartitionTakeover(TakeoverOffers, ReplicationPumps, PendingOrderKeyExchange):
    """Imports, serves and drops partitions."""

    def _ensure_open_partition(self, now: int) -> None:
        """Open a partition for new messages if the rules require one."""
        assert self.ownership is not None
        if self.leaving:
            return
        try:
            new_takeover = self.ownership.step(self.grantor)
        except PartitionsExhaustedError as error:
            self.counters.warning("no partition can be opened", error)
            return
        if new_takeover is not None:
            self.takeovers[new_takeover.partition] = new_takeover
            holding = self._hold_partition(new_takeover.partition)
            logger.info("partition {}: to be opened for new messages", new_takeover.partition)
            self.store.set_open_partition(holding, self._first_unused_number(new_takeover.partition))

    def _step_takeover(self, now: int, takeover: Takeover) -> None:
        """Determine the next step of one partition by the rules, and carry it out."""
        partition = takeover.partition
        replica, holding = self.replicas.replica(partition), self.store.leased_partitions.get(partition)
        requested = takeover.stage is TakeoverStage.ASKING and not takeover.holder.probing
        requested_term = takeover.holder.term if requested else 0
        step = self._next_step(now, takeover, replica, holding)
        if requested_term:
            self._release_refused_term(takeover, requested_term)
        if step.action is TakeoverAction.DROP:
            self._drop_partition(partition)
            return
        self._carry_out(now, takeover, step)
        self._send_due_lease_request(now, takeover)
        if holding is not None:
            self._serve_partition(now, holding)
        elif replica is not None and self._is_unused_replica(now, partition, takeover):
            self._drop_partition(partition)

    def _next_step(
        self, now: int, takeover: Takeover, replica: Replica | None, holding: LeasedPartition | None
    ) -> TakeoverStep:
        """The step that the rules require, given the partition's state at this member."""
        partition, lease = takeover.partition, lease_name(takeover.partition)
        return takeover.step(
            now,
            self.grantor.grant(lease),
            self._promised_until(lease, partition),
            lambda name: self._status_for_partition(now, name, takeover),
            self._has_complete_records(now, partition, replica, holding),
            self._pending_count(now, holding),
        )

    def _has_complete_records(
        self, now: int, partition: int, replica: Replica | None, holding: LeasedPartition | None
    ) -> bool:
        """Whether this member may request the partition's lease with the records that it has."""
        # A member without a majority is granted no term, and after the network partition its refused requests would
        # cost the holder its term.
        if self.no_majority_since:
            return False
        may_lack_records = partition in self.damaged_partitions and now - self.started_at < DAMAGED_FOLDER_US
        return holding is not None and not may_lack_records or (replica is not None and replica.is_complete)

    def _pending_count(self, now: int, holding: LeasedPartition | None) -> int:
        """The number of pending messages; at least 1 while the partition must not be closed."""
        if holding is None or not holding.imported:
            return 1
        pending = len(holding.ledger.known)
        return pending or 1 if self._expects_offer(now, holding) else pending

    def _promised_until(self, lease: str, partition: int) -> int:
        """Until when the partition's lease counts as promised to its holder."""
        # A member whose heartbeats report that it serves the partition counts as promised too: the own grantor may
        # have granted a term to a member that got no majority, and not know the actual holder.
        served_until = self.reported_serving[partition][1] + LEASE_SPAN_US if partition in self.reported_serving else 0
        return max(self.grantor.promised_until(lease), served_until)

    def _release_refused_term(self, takeover: Takeover, requested_term: int) -> None:
        """Release the term that was requested before the latest step, if the request has failed."""
        holder = takeover.holder
        # Otherwise two members whose requests fail, each with a promise by its own grantor, would block each other
        # forever.
        if takeover.stage is not TakeoverStage.HOLDING and (holder.term, holder.state) != (
            requested_term,
            LeaseState.ASKING,
        ):
            self._release_lease(LeaseRequest(lease_name(takeover.partition), requested_term, self.name, 0))

    def _carry_out(self, now: int, takeover: Takeover, step: TakeoverStep) -> None:
        """Carry out any step but `DROP`."""
        partition = takeover.partition
        if step.action is TakeoverAction.ASK:
            logger.info("partition {}: asking for term {}", partition, takeover.holder.term)
        elif step.action is TakeoverAction.IMPORT:
            self._import_partition(now, takeover)
        elif step.action is TakeoverAction.CLOSE:
            logger.info("partition {}: nothing is owed, it is closed", partition)
        elif step.action is TakeoverAction.OFFER and partition not in self.running_offers and not self.leaving:
            self.running_offers[partition] = gevent.spawn(self._send_offer, takeover, step.target)

    def _send_due_lease_request(self, now: int, takeover: Takeover) -> None:
        """Request the lease or its renewal from all members, if a request is due."""
        request = None if self.leaving else takeover.holder.due_request(now)
        if request is None:
            return
        reply = self._own_grantor_reply(request)
        if request.lease in self.unwritten_grants:
            gevent.spawn(self._request_lease, takeover, request, reply, now)
        else:
            self._request_lease(takeover, request, reply, now)

    def _expects_offer(self, now: int, holding: LeasedPartition) -> bool:
        """Whether the previous holder of an adopted partition may still offer facts that no replica received."""
        if not holding.imported_from_term:
            return False
        # If the partition were closed before the offer is answered, the previous holder would give all of its messages
        # their final answers itself.
        return (
            now - holding.offer_completed_at < 3 * OFFER_TIMEOUT_S * 1e6
            if holding.offer_completed_at
            else now - holding.log_started_at < OFFER_EXPECTED_US
        )

    def _is_unused_replica(self, now: int, partition: int, takeover: Takeover) -> bool:
        """Whether the holder does not use the replica here any more: no successor, and without recent writes."""
        grant = self.grantor.grant(lease_name(partition))
        # The grant known here may be outdated, but a replica that the holder still uses is written to all the time.
        return (
            grant.set_number > 0
            and self.name not in grant.successors
            and grant.holder != self.name
            and now - self.replica_written_at.setdefault(partition, now) > UNUSED_REPLICA_US
        )

    def _import_partition(self, now: int, takeover: Takeover) -> None:
        """After the grant: store the partition's messages, let its replicas catch up, then name its successors."""
        holding = self._hold_partition(takeover.partition)
        if holding.log.term != takeover.holder.term and not self._begin_term(takeover, holding):
            return
        self._update_pumps(now, holding)
        wanted = self._wanted_replicas(holding)
        complete = self._complete_replicas(now, holding, wanted)
        if len(complete) == len(wanted) or now - holding.log_started_at >= NEW_LOG_CATCH_UP_US:
            holding.imported = True
            takeover.note_imported(now, complete)

    def _begin_term(self, takeover: Takeover, holding: LeasedPartition) -> bool:
        """Store the partition's messages and begin its log; if there is no room, release the lease and return False."""
        partition, term = takeover.partition, takeover.holder.term
        holding.imported = False
        replica = self.replicas.replica(partition)
        try:
            if replica is None:
                self._resume_own_records(holding, term)
            else:
                self._import_replica(holding, term, replica)
        except NoSpaceError as error:
            self.counters.warning("a partition cannot be adopted", error)
            request = takeover.holder.release()
            if request is not None:
                self._release_lease(request)
            takeover.holder.state = LeaseState.LOST  # requested again later, if no other member holds it by then
            return False
        self._record_lease(partition, term, 0)
        self.store.begin_log(holding, term)
        self._record_backlog(holding)
        self.replicas.drop(partition)
        logger.info("partition {}: held under term {}, {} messages owed", partition, term, len(holding.ledger.known))
        return True

    def _resume_own_records(self, holding: LeasedPartition, term: int) -> None:
        """Continue with the records in this member's own folder."""
        recorded_term = self._recorded_term(holding.partition)
        if 0 < recorded_term < term - 1:
            holding.imported_from_term = recorded_term  # another member may have held the partition in between
        self.store.resume_ledger(holding, term)

    def _import_replica(self, holding: LeasedPartition, term: int, replica: Replica) -> None:
        """Store the facts of the replica here, and pass on the sessions and events that come with them."""
        holding.imported_from_term = replica.position.term
        # A replica that lags may lack an attempt, so its messages may have run. Attempts arrive in order, so only
        # attempts after the last one in the replica can be missing.
        attempt_times = (
            head.sent_at for fact in replica.pending.values() for head in fact.known.attempts_by_term.values()
        )
        # `replica.asynchronous` comes from its holder, which may have been started with another `ack` setting.
        may_lag = self.settings.ack == "own" or replica.asynchronous
        doubt_at = max(attempt_times, default=1) if may_lag else 0
        unsent, unacknowledged = self.store.unreplicated(holding) if not holding.offer_accepted else ([], [])
        facts = list(replica.pending.values())
        ends_upto = self.clock.now() + DEADLINE_MARGIN_US
        self.store.import_replica(holding, facts, term, doubt_at, unsent, unacknowledged, ends_upto)
        if self.session_router is not None:
            self.session_router.on_partition_adopted(holding.partition)
        slot = holding.partition >> EPOCH_BITS
        owner = next((name for name in self.halls if slot_of(name) == slot), "")
        self.exchange.on_messages_adopted(
            [self.store.messages[number] for number in self.store.message_numbers(holding.partition)], owner
        )

    def _serve_partition(self, now: int, holding: LeasedPartition) -> None:
        """Keep the successors up to date, and let the dispatcher make attempts while the lease is valid."""
        holder = holding.takeover.holder
        if holding.takeover.stage is TakeoverStage.HOLDING and holding.imported:
            self._update_pumps(now, holding)
            self._name_successors(now, holding)
        may_serve = (
            holding.takeover.stage is TakeoverStage.HOLDING
            and holding.imported
            and not self.leaving
            and holder.is_valid(now)
            and self._replicas_keep_up(now, holding)
        )
        if may_serve == holding.serving:
            return
        holding.serving = may_serve
        self._record_backlog(holding)
        numbers = self.store.message_numbers(holding.partition)
        if may_serve:
            logger.info(
                "partition {}: served from now on, {} messages, successors {}",
                holding.partition,
                len(numbers),
                ", ".join(holder.successors[1:]) or "none",
            )
            self.dispatcher.adopt(numbers)
        else:
            logger.warning(
                "partition {}: not served, {} messages ({})",
                holding.partition,
                len(numbers),
                holding.takeover.stage.value if holder.is_valid(now) is False else "no replica follows",
            )
            self.counters.add("partitions that are no longer served")
            self.dispatcher.park(numbers)

    def _drop_partition(self, partition: int) -> None:
        """Drop a partition that is closed or finally held by another member; may be postponed to a later call."""
        holding = self.store.leased_partitions.get(partition)
        if holding is not None and not self._move_unreplicated(holding):
            return
        takeover = self.takeovers.pop(partition)
        self.damaged_partitions.discard(partition)
        if holding is not None:
            numbers = self.store.message_numbers(partition)
            self.dispatcher.park(numbers)
            for name in list(holding.log.followers):
                holding.log.remove_follower(name)
            self.store.remove_partition(partition)
            logger.info(
                "partition {}: given up ({}), another sender is responsible for its {} messages",
                partition,
                takeover.stage.value,
                len(numbers),
            )
        if self.lease_records.pop(partition, None) is not None:
            self.fleet_files.write_held_partitions(list(self.lease_records.values()))
        replica = self.replicas.replica(partition)
        closed = takeover.holder.state is LeaseState.CLOSED or self.grantor.grant(lease_name(partition)).closed
        if holding is not None and replica is not None and replica.position.term > holding.log.term and not closed:
            self._follow_partition(partition)  # the newer holder already uses this replica
            return
        self.replicas.drop(partition)
        self.replica_order_keys.pop(partition, None)
        self.replica_written_at.pop(partition, None)
        self.reported_serving.pop(partition, None)
        self.presumed_holders.pop(partition, None)

    def _move_unreplicated(self, holding: LeasedPartition) -> bool:
        """Move the messages of a lost partition that only this member has to the open one; False: try again later."""
        unsent, unacknowledged = self.store.unreplicated(holding) if not holding.offer_accepted else ([], [])
        if not unsent and not unacknowledged:
            return True
        if self.leaving or not self.store.accepts_messages():
            # They are moved once a partition is open, possibly by the next process. Until then they are answered when
            # their deadline is near.
            return False
        if any(self.store.messages[number].in_flight_since for number in unsent + unacknowledged):
            return False  # under its new number, a second attempt could run at the same time as the first
        # Messages for which there was no room are at no other member, so the next call tries them again.
        return self._renumber(unsent) and self._renumber(unacknowledged, failed=True)

    def _renumber(self, numbers: list[int], failed: bool = False) -> bool:
        """Move messages that only this member has to the open partition; returns whether all were moved."""
        self.dispatcher.park(numbers)
        new_numbers: list[int] = []
        try:
            for number in self.store.renumber(numbers, failed):
                new_numbers.append(number)
        except (OSError, NoSpaceError) as error:
            self.counters.warning("messages cannot be taken over into the open partition", error)
            return False
        finally:
            # Also after an error: no other member has the messages that were moved before it.
            if new_numbers:
                logger.info("{} messages moved to partition {}", len(new_numbers), new_numbers[0] >> 32)
                self.dispatcher.adopt(new_numbers)
        return True
