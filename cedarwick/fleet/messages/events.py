"""Messages about events: the subscription registry, event streams and the cursors of subscribers."""

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

MAX_SUBSCRIPTION_ENTRIES = 1 << 12  # per peer message


class Subscribe(PeerBody, frozen=True):
    """Entries of the subscription registry and the digest of the whole registry. Answered by `Subscribe`."""

    epoch: Unsigned
    digest: Unsigned
    entries: Annotated[dict[Name, Entry], Meta(max_length=MAX_SUBSCRIPTION_ENTRIES)] = {}
    requested_buckets: Annotated[
        tuple[Unsigned, ...], Meta(max_length=256)
    ] = ()  # buckets whose entries the receiver should send
    bucket_digests: Annotated[
        tuple[Unsigned, ...], Meta(max_length=256)
    ] = ()  # in an answer, if the digests differ: the digest of each bucket


class Stream(PeerBodyPart, frozen=True):
    """Events for one subscriber, without a gap after the number `after`."""

    name: Name
    after: EventNumber
    items: Annotated[bytes, Meta(max_length=MAX_MESSAGE_BYTES >> 1)]  # empty: only requests the cursor


class Matches(PeerBody, frozen=True):
    """Events of one source for several subscribers. Answered by the `Cursors` of these subscribers."""

    source: ShortText
    streams: Annotated[tuple[Stream, ...], Meta(max_length=1 << 10)]


class Cursor(PeerBodyPart, frozen=True):
    """Position of a subscriber in one source, reported by the member it is connected to."""

    name: Name
    connected_at: Unsigned  # start time of its connection; 0: not connected
    received: EventNumber  # number of the last event received by that member
    written: EventNumber  # number of the last event written to the subscriber
    has_room: bool = True  # whether it can receive more events now


class Cursors(PeerBody, frozen=True):
    """Positions of subscribers in one source. Answered by `Acknowledged` unless it is itself an answer."""

    source: ShortText
    cursors: Annotated[tuple[Cursor, ...], Meta(max_length=1 << 12)]
