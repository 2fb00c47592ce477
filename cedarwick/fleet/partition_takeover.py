"""Carries out what the rules of `takeover.py` decide for each partition, from the lease request to its end.

A part of the fleet node: it imports replicas, serves partitions, offers what it knows to a newer holder and drops what
is over. Times are microseconds of the boot clock unless a name ends in `_S` (seconds).
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
    """Imports, serves and gives up partitions."""

    def _ensure_open_partition(self, now: int) -> None:
        """Open a partition for new messages when the rules ask for one."""
        assert self.ownership is not None
        if self.leaving:
            return
        try:
            begun = self.ownership.step(self.grantor)
        except PartitionsExhaustedError as error:
            self.counters.warning("no partition can be opened", error)
            return
        if begun is not None:
            self.takeovers[begun.partition] = begun
            holding = self._hold_partition(begun.partition)
            logger.info("partition {} is to be held", begun.partition)
            self.store.set_open_partition(holding, self._first_unused_number(begun.partition))

    def _step_takeover(self, now: int, takeover: Takeover) -> None:
        """Ask the rules for the next step of one partition, and carry it out."""
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
        elif replica is not None and self._is_unwanted(now, partition, takeover):
            self._drop_partition(partition)

    def _next_step(
        self, now: int, takeover: Takeover, replica: Replica | None, holding: LeasedPartition | None
    ) -> TakeoverStep:
        """What the rules ask for, given the partition's state at this member."""
        partition, lease = takeover.partition, lease_name(takeover.partition)
        return takeover.step(
            now,
            self.grantor.grant(lease),
            self._promised_until(lease, partition),
            lambda name: self._status_for(now, name, takeover),
            self._has_complete_records(now, partition, replica, holding),
            self._owed_count(now, holding),
        )

    def _has_complete_records(
        self, now: int, partition: int, replica: Replica | None, holding: LeasedPartition | None
    ) -> bool:
        """Whether this member may ask for the partition with the records that it has."""
        # Cut off, a member is granted no term, and its vain requests would cost the holder its own after the cut.
        if self.no_majority_since:
            return False
        doubted = partition in self.damaged_partitions and now - self.begun_at < DAMAGED_FOLDER_US
        return holding is not None and not doubted or (replica is not None and replica.is_complete)

    def _owed_count(self, now: int, holding: LeasedPartition | None) -> int:
        """How many messages are owed; at least 1 while the partition must not be closed."""
        if holding is None or not holding.imported:
            return 1
        owed = len(holding.ledger.known)
        return owed or 1 if self._expects_offer(now, holding) else owed

    def _promised_until(self, lease: str, partition: int) -> int:
        """Until when the partition's lease counts as promised to its holder."""
        # A holder that its heartbeats show serving counts as promised, too: the own grantor may have given a term to
        # a member that never got it, and does not know the real holder.
        served_until = self.reported_serving[partition][1] + LEASE_SPAN_US if partition in self.reported_serving else 0
        return max(self.grantor.promised_until(lease), served_until)

    def _release_refused_term(self, takeover: Takeover, requested_term: int) -> None:
        """Release the term that was asked for before the latest step, if the request has failed."""
        holder = takeover.holder
        # Two members that ask in vain, each promised by itself, would block each other for ever.
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
        elif step.action is TakeoverAction.OFFER and partition not in self.offers and not self.leaving:
            self.offers[partition] = gevent.spawn(self._send_offer, takeover, step.target)

    def _send_due_lease_request(self, now: int, takeover: Takeover) -> None:
        """Ask all members for the lease, or its renewal, if a request is due."""
        ask = None if self.leaving else takeover.holder.due_request(now)
        if ask is None:
            return
        reply = self._grant(ask)
        if ask.lease in self.unwritten_grants:
            gevent.spawn(self._request_lease, takeover, ask, reply, now)
        else:
            self._request_lease(takeover, ask, reply, now)

    def _expects_offer(self, now: int, holding: LeasedPartition) -> bool:
        """Whether the previous holder of an adopted partition may still offer facts that no replica received."""
        if not holding.imported_from_term:
            return False
        # If the partition were closed before the offer is answered, the previous holder would end all of it itself.
        return (
            now - holding.offer_completed_at < 3 * OFFER_TIMEOUT_S * 1e6
            if holding.offer_completed_at
            else now - holding.log_started_at < OFFER_EXPECTED_US
        )

    def _is_unwanted(self, now: int, partition: int, takeover: Takeover) -> bool:
        grant = self.grantor.grant(lease_name(partition))
        # The grant known here may be old; a replica that the holder still counts on is written to all the time.
        return (
            grant.set > 0
            and self.name not in grant.successors
            and grant.holder != self.name
            and now - self.replica_written_at.setdefault(partition, now) > UNUSED_REPLICA_US
        )

    def _import_partition(self, now: int, takeover: Takeover) -> None:
        """After the grant: store the partition's messages, update its replicas, then name its successors."""
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
        """Store the partition's messages and begin its log; False without room for them: then the lease is released."""
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
            ask = takeover.holder.release()
            if ask is not None:
                self._release_lease(ask)
            takeover.holder.state = LeaseState.LOST  # asked for again after a while, if nobody else has it by then
            return False
        self._record_lease(partition, term, 0)
        self.store.begin_log(holding, term)
        self._record_backlog(holding)
        self.replicas.drop(partition)
        logger.info("partition {}: held under term {}, {} messages owed", partition, term, len(holding.ledger.known))
        return True

    def _resume_own_records(self, holding: LeasedPartition, term: int) -> None:
        """Go on with the records in this member's own folder."""
        last = self._recorded_term(holding.partition)
        if 0 < last < term - 1:
            holding.imported_from_term = last  # somebody else may have held it between
        self.store.resume_ledger(holding, term)

    def _import_replica(self, holding: LeasedPartition, term: int, replica: Replica) -> None:
        """Store what the replica here knows, and report the sessions and events that come with it."""
        holding.imported_from_term = replica.position.term
        # A replica that lags may lack an attempt, so its messages may have run. Attempts arrive in order: only those
        # after the last one in the replica can be missing.
        heard = (head.sent_at for fact in replica.pending.values() for head in fact.known.attempts_by_term.values())
        behind = self.settings.ack == "own" or replica.asynchronous  # its holder may have been started before us
        doubt_at = max(heard, default=1) if behind else 0
        unsent, unacknowledged = self.store.unreplicated(holding) if not holding.offer_accepted else ([], [])
        facts = list(replica.pending.values())
        ends_upto = self.clock.now() + DEADLINE_MARGIN_US
        self.store.import_replica(holding, facts, term, doubt_at, unsent, unacknowledged, ends_upto)
        if self.session_router is not None:
            self.session_router.adopted(holding.partition)
        slot = holding.partition >> EPOCH_BITS
        owner = next((name for name in self.halls if slot_of(name) == slot), "")
        self.exchange.on_messages_adopted(
            [self.store.messages[number] for number in self.store.message_numbers(holding.partition)], owner
        )

    def _serve_partition(self, now: int, holding: LeasedPartition) -> None:
        """Keep the successors up to date, and let the dispatcher send while the lease is valid."""
        holder = holding.takeover.holder
        if holding.takeover.stage is TakeoverStage.HOLDING and holding.imported:
            self._update_pumps(now, holding)
            self._name_successors(now, holding)
        may = (
            holding.takeover.stage is TakeoverStage.HOLDING
            and holding.imported
            and not self.leaving
            and holder.is_valid(now)
            and self._replicas_keep_up(now, holding)
        )
        if may == holding.serving:
            return
        holding.serving = may
        self._record_backlog(holding)
        numbers = self.store.message_numbers(holding.partition)
        if may:
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
        """Give up a partition that is over or belongs to another member for good; may be put off to a later call."""
        holding = self.store.leased_partitions.get(partition)
        if holding is not None and not self._rescue_unreplicated(holding):
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
                "partition {}: given up ({}), {} messages are another sender's",
                partition,
                takeover.stage.value,
                len(numbers),
            )
        if self.held.pop(partition, None) is not None:
            self.fleet_files.write_held_partitions(list(self.held.values()))
        replica = self.replicas.replica(partition)
        closed = takeover.holder.state is LeaseState.CLOSED or self.grantor.grant(lease_name(partition)).closed
        if holding is not None and replica is not None and replica.position.term > holding.log.term and not closed:
            self._follow_partition(partition)  # the newer holder counts on this replica by now
            return
        self.replicas.drop(partition)
        self.replica_order_keys.pop(partition, None)
        self.replica_written_at.pop(partition, None)
        self.reported_serving.pop(partition, None)
        self.presumed_holders.pop(partition, None)

    def _rescue_unreplicated(self, holding: LeasedPartition) -> bool:
        """Move what only this member has of a lost partition to the open one; False: to be tried again later."""
        unsent, unacknowledged = self.store.unreplicated(holding) if not holding.offer_accepted else ([], [])
        if not unsent and not unacknowledged:
            return True
        if self.leaving or not self.store.accepts_messages():
            # They are moved to the open partition once there is one, of the next process if need be; till then they are
            # answered when late.
            return False
        if any(self.store.messages[number].in_flight_since for number in unsent + unacknowledged):
            return False  # under its new number a second attempt would run beside the first
        # What found no room is nowhere else: next time.
        return self._renumber(unsent) and self._renumber(unacknowledged, failed=True)

    def _renumber(self, numbers: list[int], failed: bool = False) -> bool:
        """Move messages that only this member has to the open partition; returns whether all were moved."""
        self.dispatcher.park(numbers)
        made: list[int] = []
        try:
            for number in self.store.renumber(numbers, failed):
                made.append(number)
        except (OSError, NoSpaceError) as error:
            self.counters.warning("messages cannot be taken over into the open partition", error)
            return False
        finally:
            # Also after an error: no other member has those that were moved before it.
            if made:
                logger.info("{} messages go on in partition {}", len(made), made[0] >> 32)
                self.dispatcher.adopt(made)
        return True
