"""Events between members: the subscription registry, streams of events and the cursors of subscribers."""

from typing import Annotated

from msgspec import Meta

from cedarwick.events.registry import Entry
from cedarwick.fleet.messages.fields import (
    MAX_MESSAGE_BYTES,
    EventNumber,
    Name,
    PeerBody,
    PeerBodyPart,
    ShortText,
    Unsigned,
)

MAX_SUBSCRIPTION_ENTRIES = 1 << 12  # subscriptions in one peer message, at most


class Subscribe(PeerBody, frozen=True):
    """Entries of the subscription registry and the digest of all of it. Answered by `Subscribe`."""

    epoch: Unsigned
    digest: Unsigned
    entries: Annotated[dict[Name, Entry], Meta(max_length=MAX_SUBSCRIPTION_ENTRIES)] = {}
    requested_buckets: Annotated[
        tuple[Unsigned, ...], Meta(max_length=256)
    ] = ()  # buckets that the receiver is asked to send
    bucket_digests: Annotated[
        tuple[Unsigned, ...], Meta(max_length=256)
    ] = ()  # in an answer: the digest of each bucket, where the whole differs


class Stream(PeerBodyPart, frozen=True):
    """Items for one subscriber that follow the number `after` without a gap."""

    name: Name
    after: EventNumber
    items: Annotated[bytes, Meta(max_length=MAX_MESSAGE_BYTES >> 1)]  # empty: only the answer is wanted


class Matches(PeerBody, frozen=True):
    """Events of one source for its subscribers. Answered by the `Cursors` of those named."""

    source: ShortText
    streams: Annotated[tuple[Stream, ...], Meta(max_length=1 << 10)]


class Cursor(PeerBodyPart, frozen=True):
    """How far a subscriber is with a source, as reported by the member it is connected to."""

    name: Name
    connected_at: Unsigned  # when its connection began; 0: none
    received: EventNumber  # the last number received there
    written: EventNumber  # the last number written to the subscriber
    has_room: bool = True  # whether more may come now


class Cursors(PeerBody, frozen=True):
    """Places of subscribers in one source. Answered by `Acknowledged` where it is not an answer itself."""

    source: ShortText
    cursors: Annotated[tuple[Cursor, ...], Meta(max_length=1 << 12)]
