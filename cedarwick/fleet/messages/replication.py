"""Replication of a partition: log entries, full transfer, comparison by digests, and the offer after a takeover."""

from typing import Annotated

from msgspec import Meta

from cedarwick.fleet.messages.fields import EncodedFacts, PeerBody, PeerBodyPart, Term, Text, Unsigned


class ReplicateFacts(PeerBody, frozen=True, tag="Facts"):
    """Entries of a partition's log from index `first` to its end. Answered by `ReplicaAck`."""

    partition: Unsigned
    term: Term
    first: Unsigned
    facts: EncodedFacts
    digest: Unsigned


class ReplicatePiece(PeerBody, frozen=True, tag="Piece"):
    """A piece of a full transfer: all owed messages with `after` < number <= `upto`; the log continues at index `next`.

    Answered by `ReplicaAck`.
    """

    partition: Unsigned
    term: Term
    after: Unsigned
    upto: Unsigned
    facts: EncodedFacts
    next: Unsigned
    digest: Unsigned
    behind: bool = False  # the holder acknowledges messages to clients before any replica has them


class ReplicaAck(PeerBody, frozen=True, tag="Have"):
    """A replica's position in the log; `problem` is the reason if it discarded the whole message."""

    partition: Unsigned
    term: Term
    next: Unsigned  # the next log index that it needs
    problem: Text = ""
    covered: Unsigned = 0  # it has received the full transfer of this term up to this message number


class DigestRange(PeerBodyPart, frozen=True):
    """Count and digest of the owed messages with `after` < number <= `upto`."""

    after: Unsigned
    upto: Unsigned
    count: Unsigned
    digest: Unsigned


class Digests(PeerBody, frozen=True):
    """Ranges of a partition at its holder.

    Answered by the replica's `Digests` of the same ranges.
    """

    partition: Unsigned
    term: Term
    ranges: Annotated[tuple[DigestRange, ...], Meta(max_length=4096)]
    next: Unsigned = (
        0  # the log index of the holder when it computed them; a replica at another index answers with no ranges
    )


class TakeoverOffer(PeerBody, frozen=True, tag="Offer"):
    """Facts of the previous holder of a partition, sent in parts to the member that took it over.

    Answered by `OfferReply`.
    """

    partition: Unsigned
    part: Unsigned
    last: bool
    facts: EncodedFacts
    digest: Unsigned
    term: Term = 0  # the newest term in which the sender held the partition


class OfferReply(PeerBody, frozen=True, tag="Taken"):
    """Confirms that the new holder has stored a part; otherwise `problem` is the reason."""

    partition: Unsigned
    part: Unsigned
    problem: Text = ""
