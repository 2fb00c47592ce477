"""Answers the peer messages of other members, in the greenlets of their connections; a part of `FleetNode`."""

import gevent

from cedarwick.errors import CedarwickError
from cedarwick.fleet.heartbeats import Heartbeats
from cedarwick.fleet.limits import REORDER_WAIT_US
from cedarwick.fleet.member_state import MembershipChangeError
from cedarwick.fleet.messages import (
    Acknowledged,
    Body,
    Cursors,
    Digests,
    GrantTableRequest,
    Heartbeat,
    LeaseRequest,
    Matches,
    PeerMessage,
    PendingOrderKeys,
    ReplicaAck,
    ReplicateFacts,
    ReplicatePiece,
    RetryAfterHint,
    Subscribe,
    SuspensionMarks,
    TakeoverOffer,
)
from cedarwick.fleet.partition_takeover import PartitionTakeover
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.replication import OLD_TERM
from cedarwick.fleet.takeover import TakeoverStage


class UnknownPeerMessageError(CedarwickError):
    """A peer message of a kind that this member does not handle."""

    code = "CW742"
    remedy = "bring all members to one version of the program"


class RequestHandling(Heartbeats, PartitionTakeover):
    """Passes each peer message to the part of `FleetNode` that answers it."""

    def handle_peer_message(self, peer_message: PeerMessage) -> PeerMessage:
        """Answer a peer message; raises `UnknownPeerMessageError`, or an error of the part that answers it."""
        return self.verifier.peer_message(
            peer_message.sender, self._answer_body(peer_message.sender, peer_message.incarnation, peer_message.body)
        )

    def _answer_body(self, sender: str, incarnation: int, body: Body) -> Body:
        if isinstance(body, Heartbeat):
            self._receive_heartbeat(sender, incarnation, body)
            return self._own_heartbeat()
        if isinstance(body, LeaseRequest):
            difference = self.members.list_difference(sender)
            if len(difference) > 1:
                # If two lists differ in more than one member, two majorities without a common member could each grant
                # the same lease.
                raise MembershipChangeError(
                    f"the lists of members of {sender!r} and {self.name!r} differ in {', '.join(sorted(difference))}"
                )
            return self._answer_lease_request(body)
        if isinstance(body, GrantTableRequest):
            return self.grantor.table()
        if isinstance(body, ReplicateFacts | ReplicatePiece | Digests):
            return self._answer_replication(body)
        if isinstance(body, TakeoverOffer):
            return self._answer_offer(sender, body)
        if isinstance(body, PendingOrderKeys):
            self.order_key_hints.receive(monotonic_time(), sender, body.keys)
            return Acknowledged()
        if isinstance(body, RetryAfterHint | SuspensionMarks):
            return self.gossip.answer(sender, body)
        if isinstance(body, Subscribe | Matches | Cursors):
            return self.exchange.answer_peer_message(sender, monotonic_time(), body)
        if (
            self.session_router is not None
            and (reply := self.session_router.handle_peer_message(sender, incarnation, body)) is not None
        ):
            return reply
        raise UnknownPeerMessageError(f"cannot handle a {type(body).__name__} from {sender!r}")

    def _answer_replication(self, body: ReplicateFacts | ReplicatePiece | Digests) -> Body:
        """Apply a message of a partition's holder to the replica here, and acknowledge it."""
        holding = self.store.leased_partitions.get(body.partition)
        if holding is not None and holding.takeover.stage in (TakeoverStage.HOLDING, TakeoverStage.CLOSING):
            # The partition is held here, so a former holder that was paused must not count this member as a replica.
            if isinstance(body, Digests):
                return Digests(body.partition, holding.takeover.holder.term, ())
            return ReplicaAck(body.partition, holding.takeover.holder.term, 0, OLD_TERM)
        self.replica_written_at[body.partition] = monotonic_time()
        if isinstance(body, Digests):
            return self.replicas.handle_digests(body)
        if isinstance(body, ReplicateFacts):
            self._wait_for_preceding_facts(body)
        ack = (
            self.replicas.receive_facts(body) if isinstance(body, ReplicateFacts) else self.replicas.receive_piece(body)
        )
        if self.replicas.unsynced:
            self.replicas.flush(lambda sync, file: gevent.get_hub().threadpool.apply(sync, (file,)))
        if body.partition not in self.takeovers and self.replicas.replica(body.partition) is not None:
            self._follow_partition(body.partition)
        return ack

    def _wait_for_preceding_facts(self, body: ReplicateFacts) -> None:
        """Wait up to `REORDER_WAIT_US` until the replica has the facts before those of a message.

        Messages that are in flight at the same time use separate connections and may be read out of order. Refusing
        such a message would make the holder resend all unanswered ones.
        """
        wait_until = monotonic_time() + REORDER_WAIT_US
        while (
            (replica := self.replicas.replica(body.partition)) is not None
            and replica.position.term == body.term
            and replica.position.next_index < body.first
            and monotonic_time() < wait_until
        ):
            gevent.sleep(0.0005)
