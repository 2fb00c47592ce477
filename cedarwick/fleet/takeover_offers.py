"""Offers after a takeover: a former holder sends all that it knows of a partition to the member that holds it now.

A part of `FleetNode`, used by `PartitionTakeover`. Times are microseconds of the boot clock unless a name ends in `_S`
(seconds).
"""

from collections.abc import Iterable

import gevent
from loguru import logger

from cedarwick.fleet.held_partitions import HeldPartitions
from cedarwick.fleet.lease_exchange import LeaseExchange
from cedarwick.fleet.leases import lease_name
from cedarwick.fleet.limits import HEARTBEAT_INTERVAL_S, OFFER_PART_BYTES, OFFER_TIMEOUT_S, PARTITION_CLOSED
from cedarwick.fleet.messages import OfferReply, TakeoverOffer, digest_of
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.replication_facts import CorruptFactsError, Fact, decode_facts, encode_batch, encode_fact
from cedarwick.fleet.takeover import Takeover, TakeoverStage


def offer_parts(facts: Iterable[Fact]) -> list[bytes]:
    """Facts as the encoded parts of an offer, each of about `OFFER_PART_BYTES`; one empty part if there are none."""
    parts: list[bytes] = []
    part: list[bytes] = []
    for fact in facts:
        part.append(encode_fact(fact))
        if sum(map(len, part)) >= OFFER_PART_BYTES:
            parts.append(encode_batch(part))
            part = []
    parts.append(encode_batch(part))
    return parts


class TakeoverOffers(LeaseExchange, HeldPartitions):
    """Sends this member's offers and answers those of other members."""

    def _send_offer(self, takeover: Takeover, recipient: str) -> None:
        """Offer what this member knows to the newer holder, in parts of `OFFER_PART_BYTES`."""
        holding = self.store.leased_partitions.get(takeover.partition)
        if holding is not None and not holding.ledger.term:
            # What an earlier process of this sender accepted or learned may be in this store only.
            self.store.resume_ledger(holding, self._recorded_term(takeover.partition))
        facts = self.store.facts_to_offer(holding) if holding is not None else []
        parts = offer_parts(facts)
        logger.info("partition {}: offering {} messages to {}", takeover.partition, len(facts), recipient)
        try:
            for index, data in enumerate(parts):
                offer = TakeoverOffer(
                    takeover.partition,
                    index,
                    index + 1 == len(parts),
                    data,
                    digest_of(data),
                    takeover.holder.term if holding is None else holding.ledger.term,
                )
                if holding is not None:
                    holding.offer_sent = True
                answer = self._call(recipient, offer, OFFER_TIMEOUT_S)
                if not isinstance(answer, OfferReply) or answer.problem:
                    if isinstance(answer, OfferReply) and answer.problem == PARTITION_CLOSED:
                        self._learn_closed_partitions(recipient)
                    gevent.sleep(HEARTBEAT_INTERVAL_S)
                    return  # the next check starts a new offer, to the member that holds the partition then
            takeover.note_offer_accepted()
            if holding is not None:
                holding.offer_accepted = True
        finally:
            self.running_offers.pop(takeover.partition, None)

    def _answer_offer(self, sender: str, body: TakeoverOffer) -> OfferReply:
        """Merge a part of an earlier holder's offer for a partition that is held here, and answer it."""
        holding = self.store.leased_partitions.get(body.partition)
        if holding is None and self.grantor.grant(lease_name(body.partition)).closed:
            return OfferReply(body.partition, body.part, PARTITION_CLOSED)
        if holding is None or not holding.imported or holding.takeover.stage is not TakeoverStage.HOLDING:
            return OfferReply(body.partition, body.part, "it is not held here")
        if digest_of(body.facts) != body.digest:
            return OfferReply(body.partition, body.part, "spoilt")
        try:
            facts = decode_facts(body.facts)
            facts = (
                self.session_router.filter_offered_facts(holding, facts) if self.session_router is not None else facts
            )
            merged = self.store.merge_offer(holding, facts, body.term)
        except CorruptFactsError as error:
            return OfferReply(body.partition, body.part, str(error)[:512])
        logger.info(
            "partition {}: the offer of {} had {} new final answers and {} updates",
            body.partition,
            sender,
            len(merged.ended),
            len(merged.changed),
        )
        if body.last and not merged.problem:
            holding.offer_completed_at = monotonic_time()
        if holding.serving and (merged.ended or merged.changed):
            # The dispatcher decides again, with the added facts.
            self.dispatcher.park(merged.ended + merged.changed)
            self.dispatcher.adopt(merged.changed)
        return OfferReply(body.partition, body.part, merged.problem[:512])
