"""Replication of a partition: the log, the pieces of a full transfer, comparison, and the offer after a takeover."""

from typing import Annotated

from msgspec import Meta

from cedarwick.fleet.messages.fields import EncodedFacts, PeerBody, PeerBodyPart, Term, Text, Unsigned


class ReplicateFacts(PeerBody, frozen=True, tag="Facts"):
    """The tail of a partition's log from index `first` on. Answered by `ReplicaAck`."""

    partition: Unsigned
    term: Term
    first: Unsigned
    facts: EncodedFacts
    digest: Unsigned


class ReplicatePiece(PeerBody, frozen=True, tag="Piece"):
    """All owed messages with numbers above `after`, up to `upto`; the log continues at index `next`.

    Answered by `ReplicaAck`.
    """

    partition: Unsigned
    term: Term
    after: Unsigned
    upto: Unsigned
    facts: EncodedFacts
    next: Unsigned
    digest: Unsigned
    behind: bool = False  # the holder acknowledges to clients what no replica has yet


class ReplicaAck(PeerBody, frozen=True, tag="Have"):
    """A replica's position in the log; `problem` says why the message was dropped as a whole."""

    partition: Unsigned
    term: Term
    next: Unsigned  # the log index that it needs next
    problem: Text = ""
    covered: Unsigned = 0  # the full transfer of this term has reached it up to this number


class DigestRange(PeerBodyPart, frozen=True):
    """The owed messages with numbers above `after`, up to `upto`, as their count and digest."""

    after: Unsigned
    upto: Unsigned
    count: Unsigned
    digest: Unsigned


class Digests(PeerBody, frozen=True):
    """Ranges of a partition as the holder has them.

    Answered by the replica's own `Digests` over the same ranges.
    """

    partition: Unsigned
    term: Term
    ranges: Annotated[tuple[DigestRange, ...], Meta(max_length=4096)]
    next: Unsigned = 0  # the log index at which they were taken; a replica at another one answers with no ranges


class TakeoverOffer(PeerBody, frozen=True, tag="Offer"):
    """What the previous holder of a partition knows, part by part, for the member that took it over.

    Answered by `OfferReply`.
    """

    partition: Unsigned
    part: Unsigned
    last: bool
    facts: EncodedFacts
    digest: Unsigned
    term: Term = 0  # the newest in which the sender has held the partition


class OfferReply(PeerBody, frozen=True, tag="Taken"):
    """The part is merged into the new holder's folder; if not, `problem` says why."""

    partition: Unsigned
    part: Unsigned
    problem: Text = ""
