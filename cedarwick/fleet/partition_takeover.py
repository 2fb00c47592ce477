"""Carries out what the rules of `takeover.py` decide for each partition, from the lease request to its end.

A part of the fleet node: it imports copies, serves partitions, offers what it knows to a newer holder and drops what is
over. Times are microseconds of the boot clock unless a name ends in `_S` (seconds).
"""

import gevent
from loguru import logger

from cedarwick.fleet import replication_facts as known_facts
from cedarwick.fleet.lease_exchange import LeaseExchange
from cedarwick.fleet.leased_partition import LeasedPartition
from cedarwick.fleet.leases import SPAN, LeaseState, right_of
from cedarwick.fleet.limits import (
    ANSWER_AHEAD_US,
    DAMAGED_FOLDER_US,
    GATHER_REPLICAS_US,
    HEARTBEAT_INTERVAL_S,
    OFFER_EXPECTED_US,
    OFFER_PART_BYTES,
    OFFER_TIMEOUT_S,
    PARTITION_CLOSED,
    UNWANTED_REPLICA_US,
)
from cedarwick.fleet.messages import LeaseRequest, OfferReply, TakeoverOffer, digest_of, slot_of
from cedarwick.fleet.owed_keys import OwedKeyExchange
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.replication_pumps import ReplicationPumps
from cedarwick.fleet.takeover import BooksExhaustedError, Takeover, TakeoverAction, TakeoverStage
from cedarwick.store.files import NoSpaceError


class PartitionTakeover(LeaseExchange, ReplicationPumps, OwedKeyExchange):
    """Imports, serves and gives up partitions."""

    def _ensure_open_partition(self, now: int) -> None:
        """Open a partition for new messages when the rules ask for one."""
        assert self.ownership is not None
        if self.leaving:
            return
        try:
            begun = self.ownership.step(self.grantor)
        except BooksExhaustedError as error:
            self.counters.warning("no partition can be opened", error)
            return
        if begun is not None:
            self.adoptions[begun.partition] = begun
            holding = self._hold_partition(begun.partition)
            logger.info("partition {} is to be held", begun.partition)
            self.store.set_open_partition(holding, self._first_unused_number(begun.partition))

    def _step_takeover(self, now: int, adoption: Takeover) -> None:
        """Ask the rules for the next step of one partition, and carry it out."""
        partition, holder = adoption.partition, adoption.holder
        replica, holding = self.copies.replica(partition), self.store.holdings.get(partition)
        right = right_of(partition)
        doubted = partition in self.damaged_partitions and now - self.begun_at < DAMAGED_FOLDER_US
        whole = holding is not None and not doubted or (replica is not None and replica.whole)
        # Cut off, a member is granted no term, and its vain requests would cost the holder its own after the cut.
        whole = whole and not self.no_majority_since
        owed = len(holding.ledger.known) if holding is not None and holding.imported else 1
        if holding is not None and self._expects_offer(now, holding):
            owed = owed or 1
        # A holder that its heartbeats show serving counts as promised, too: the own grantor may have given a term to
        # a member that never got it, and does not know the real holder.
        served = self.reported_serving[partition][1] + SPAN if partition in self.reported_serving else 0
        asked = holder.term if adoption.stage is TakeoverStage.ASKING else 0
        step = adoption.step(
            now,
            self.grantor.grant(right),
            max(self.grantor.promised(right), served),
            lambda name: self._status_for(now, name, adoption),
            whole,
            owed,
        )
        if (
            asked
            and adoption.stage is not TakeoverStage.HOLDING
            and (holder.term, holder.state) != (asked, LeaseState.ASKING)
        ):
            # Withdrawn: two members that ask in vain, each promised by itself, would block each other for ever.
            self._release_lease(LeaseRequest(right, asked, self.name, 0))
        if step.do is TakeoverAction.ASK:
            logger.info("partition {}: asking for term {}", partition, holder.term)
        elif step.do is TakeoverAction.IMPORT:
            self._import_partition(now, adoption)
        elif step.do is TakeoverAction.CLOSE:
            logger.info("partition {}: nothing is owed, it is closed", partition)
        elif step.do is TakeoverAction.OFFER and partition not in self.offers and not self.leaving:
            self.offers[partition] = gevent.spawn(self._send_offer, adoption, step.to)
        elif step.do is TakeoverAction.DROP:
            self._drop_partition(partition)
            return
        ask = None if self.leaving else holder.asks(now)
        if ask is not None:
            reply = self._grant(ask)
            if ask.right in self.unwritten_grants:
                gevent.spawn(self._request_lease, adoption, ask, reply, now)
            else:
                self._request_lease(adoption, ask, reply, now)
        if holding is not None:
            self._serve_partition(now, holding)
        elif replica is not None and self._is_unwanted(now, partition, adoption):
            self._drop_partition(partition)

    def _expects_offer(self, now: int, holding: LeasedPartition) -> bool:
        """Whether the previous holder of an adopted partition may still offer facts that no copy received."""
        if not holding.imported_from_term:
            return False
        # If the partition were closed before the offer is answered, the previous holder would end all of it itself.
        return (
            now - holding.offer_completed_at < 3 * OFFER_TIMEOUT_S * 1e6
            if holding.offer_completed_at
            else now - holding.log_started_at < OFFER_EXPECTED_US
        )

    def _is_unwanted(self, now: int, partition: int, adoption: Takeover) -> bool:
        grant = self.grantor.grant(right_of(partition))
        # The grant known here may be old; a copy that the holder still counts on is written to all the time.
        return (
            grant.set > 0
            and self.name not in grant.successors
            and grant.holder != self.name
            and now - self.replica_written_at.setdefault(partition, now) > UNWANTED_REPLICA_US
        )

    def _import_partition(self, now: int, adoption: Takeover) -> None:
        """After the grant: store the partition's messages, bring its copies up to date, then name its successors."""
        partition, term = adoption.partition, adoption.holder.term
        holding = self._hold_partition(partition)
        if holding.log.term != term:
            holding.imported = False
            replica = self.copies.replica(partition)
            try:
                if replica is None:
                    last = self._recorded_term(partition)
                    if 0 < last < term - 1:
                        holding.imported_from_term = last  # somebody else may have held it between
                    self.store.resume_ledger(holding, term)
                else:
                    holding.imported_from_term = replica.place.term
                    # A copy that lags may lack an attempt, so its messages may have run. Attempts arrive in order:
                    # only those after the last one in the copy can be missing.
                    heard = (head.at for fact in replica.held.values() for head in fact.known.heads.values())
                    behind = self.settings.ack == "own" or replica.behind  # its holder may have been started before us
                    doubt_at = max(heard, default=1) if behind else 0
                    unsent, unacknowledged = self.store.unreplicated(holding) if not holding.offered else ([], [])
                    facts = list(replica.held.values())
                    ends_upto = self.clock.now() + ANSWER_AHEAD_US
                    self.store.import_replica(holding, facts, term, doubt_at, unsent, unacknowledged, ends_upto)
                    if self.traffic is not None:
                        self.traffic.adopted(partition)
                    owner = next((name for name in self.halls if slot_of(name) == partition >> 12), "")
                    self.exchange.adopted(
                        [self.store.messages[number] for number in self.store.numbers(partition)], owner
                    )
            except NoSpaceError as error:
                self.counters.warning("a partition cannot be adopted", error)
                ask = adoption.holder.release()
                if ask is not None:
                    self._release_lease(ask)
                adoption.holder.state = LeaseState.LOST  # asked for again after a while, if nobody else has it by then
                return
            self._record_lease(partition, term, 0)
            self.store.begin_log(holding, term)
            self._backlog(holding)
            self.copies.drop(partition)
            logger.info(
                "partition {}: held under term {}, {} messages owed", partition, term, len(holding.ledger.known)
            )
        self._update_pumps(now, holding)
        wanted = self._wanted_replicas(holding)
        whole = self._complete_replicas(now, holding, wanted)
        if len(whole) == len(wanted) or now - holding.log_started_at >= GATHER_REPLICAS_US:
            holding.imported = True
            adoption.imported(now, whole)

    def _serve_partition(self, now: int, holding: LeasedPartition) -> None:
        """Keep the successors up to date, and let the dispatcher send while the lease is valid."""
        holder = holding.adoption.holder
        if holding.adoption.stage is TakeoverStage.HOLDING and holding.imported:
            self._update_pumps(now, holding)
            self._name_successors(now, holding)
        may = (
            holding.adoption.stage is TakeoverStage.HOLDING
            and holding.imported
            and not self.leaving
            and holder.may_fire(now)
            and self._replicas_keep_up(now, holding)
        )
        if may == holding.serving:
            return
        holding.serving = may
        self._backlog(holding)
        numbers = self.store.numbers(holding.partition)
        if may:
            logger.info(
                "partition {}: fired for from now on, {} messages, successors {}",
                holding.partition,
                len(numbers),
                ", ".join(holder.successors[1:]) or "none",
            )
            self.dispatcher.adopt(numbers)
        else:
            logger.warning(
                "partition {}: not fired for, {} messages ({})",
                holding.partition,
                len(numbers),
                holding.adoption.stage.value if holder.may_fire(now) is False else "no copy follows",
            )
            self.counters.add("partitions that were not fired for any more")
            self.dispatcher.park(numbers)

    def _drop_partition(self, partition: int) -> None:
        """Give up a partition that is over or belongs to another member for good; may be put off to a later call."""
        holding = self.store.holdings.get(partition)
        if holding is not None:
            unsent, unacknowledged = self.store.unreplicated(holding) if not holding.offered else ([], [])
            if unsent or unacknowledged:
                if self.leaving or not self.store.taking():
                    # They are moved to the open partition once there is one, of the next process if need be; till then
                    # they are answered when late.
                    return
                if any(self.store.messages[number].out_at for number in unsent + unacknowledged):
                    return  # under its new number a second attempt would run beside the first
                if not (self._renumber(unsent) and self._renumber(unacknowledged, failed=True)):
                    return  # what found no room is nowhere else: next time
        adoption = self.adoptions.pop(partition)
        self.damaged_partitions.discard(partition)
        if holding is not None:
            numbers = self.store.numbers(partition)
            self.dispatcher.park(numbers)
            for name in list(holding.log.followers):
                holding.log.unfollow(name)
            self.store.remove_partition(partition)
            logger.info(
                "partition {}: given up ({}), {} messages are another sender's",
                partition,
                adoption.stage.value,
                len(numbers),
            )
        if self.held.pop(partition, None) is not None:
            self.lasting.write_held(list(self.held.values()))
        replica = self.copies.replica(partition)
        closed = adoption.holder.state is LeaseState.CLOSED or self.grantor.grant(right_of(partition)).closed
        if holding is not None and replica is not None and replica.place.term > holding.log.term and not closed:
            self._follow_partition(partition)  # the newer holder counts on this copy by now
            return
        self.copies.drop(partition)
        self.silent_holder_keys.pop(partition, None)
        self.replica_written_at.pop(partition, None)
        self.reported_serving.pop(partition, None)
        self.presumed_holders.pop(partition, None)

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

    def _send_offer(self, adoption: Takeover, to: str) -> None:
        """Offer what this member knows to the newer holder, in parts of `OFFER_PART_BYTES`."""
        holding = self.store.holdings.get(adoption.partition)
        if holding is not None and not holding.ledger.term:
            # What an earlier process of this sender has taken or learned may be nowhere but in this store.
            self.store.resume_ledger(holding, self._recorded_term(adoption.partition))
        known = self.store.facts_to_offer(holding) if holding is not None else []
        parts: list[bytes] = []
        part: list[bytes] = []
        for fact in known:
            part.append(known_facts.encoded(fact))
            if sum(map(len, part)) >= OFFER_PART_BYTES:
                parts.append(known_facts.together(part))
                part = []
        parts.append(known_facts.together(part))
        logger.info("partition {}: {} messages offered to {}", adoption.partition, len(known), to)
        try:
            for index, data in enumerate(parts):
                offer = TakeoverOffer(
                    adoption.partition,
                    index,
                    index + 1 == len(parts),
                    data,
                    digest_of(data),
                    adoption.holder.term if holding is None else holding.ledger.term,
                )
                if holding is not None:
                    holding.offer_sent = True
                answer = self._call(to, offer, OFFER_TIMEOUT_S)
                if not isinstance(answer, OfferReply) or answer.problem:
                    if isinstance(answer, OfferReply) and answer.problem == PARTITION_CLOSED:
                        self._learn_closed_partitions(to)
                    gevent.sleep(HEARTBEAT_INTERVAL_S)
                    return  # it is asked again at the next look, of whoever holds the partition then
            adoption.offered()
            if holding is not None:
                holding.offered = True
        finally:
            self.offers.pop(adoption.partition, None)

    def _answer_offer(self, sender: str, body: TakeoverOffer) -> OfferReply:
        """Answer an earlier holder of a partition held here that offers what it knows."""
        holding = self.store.holdings.get(body.partition)
        if holding is None and self.grantor.grant(right_of(body.partition)).closed:
            return OfferReply(body.partition, body.part, PARTITION_CLOSED)
        if holding is None or not holding.imported or holding.adoption.stage is not TakeoverStage.HOLDING:
            return OfferReply(body.partition, body.part, "it is not held here")
        if digest_of(body.facts) != body.digest:
            return OfferReply(body.partition, body.part, "spoilt")
        try:
            facts = known_facts.decode_facts(body.facts)
            facts = self.traffic.offered(holding, facts) if self.traffic is not None else facts
            merged = self.store.merge_offer(holding, facts, body.term)
        except known_facts.CorruptFactsError as error:
            return OfferReply(body.partition, body.part, str(error)[:512])
        logger.info(
            "partition {}: {} reported {} ends and {} updates",
            body.partition,
            sender,
            len(merged.ended),
            len(merged.changed),
        )
        if body.last and not merged.problem:
            holding.offer_completed_at = monotonic_time()
        if holding.serving and (merged.ended or merged.changed):
            # The dispatcher decides anew with the added facts.
            self.dispatcher.park(merged.ended + merged.changed)
            self.dispatcher.adopt(merged.changed)
        return OfferReply(body.partition, body.part, merged.problem[:512])
