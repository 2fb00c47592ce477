"""Heartbeats, and the leases that a majority of the members grants. Durations are in microseconds."""

from typing import Annotated

from msgspec import Meta

from cedarwick.fleet.messages.fields import (
    MAX_MEMBERS,
    MemberNames,
    Name,
    PeerBody,
    PeerBodyPart,
    SequenceNumber,
    ShortText,
    Term,
    Unsigned,
)

LEASE_PROBE_LEVEL = 4  # lowest level of a member that can tell a probe from a request


class HeldLease(PeerBodyPart, frozen=True):
    """A partition whose lease is held by the sender of the heartbeat."""

    partition: Unsigned
    term: Term


class Heartbeat(PeerBody, frozen=True, tag="Beat"):
    """Reports that the sender is alive. Answered by `Heartbeat`."""

    leaving: bool  # the sender is shutting down; successors may take over
    heard: Annotated[
        dict[Name, Unsigned], Meta(max_length=MAX_MEMBERS)
    ]  # by member: microseconds since it was last heard
    leases: Annotated[tuple[HeldLease, ...], Meta(max_length=4096)] = ()


class LeaseRequest(PeerBody, frozen=True, tag="Ask"):
    """Requests a lease for `span` microseconds. Answered by `LeaseReply`."""

    lease: ShortText
    term: Term
    holder: Name  # the requesting member
    span: Unsigned  # microseconds; 0: the holder releases the lease
    successors: MemberNames = ()
    set_number: SequenceNumber = 0  # the list of successors with the larger number is newer
    closed: bool = False  # close the lease permanently
    probe: bool = False  # only asks whether the lease would be granted; uses no term


class LeaseReply(PeerBody, frozen=True, tag="Told"):
    """The grantor's entry for the lease and whether it was granted; for a probe, whether it would be granted."""

    granted: bool
    term: Term
    holder: Name
    successors: MemberNames = ()
    set_number: SequenceNumber = 0
    closed: bool = False
    probe: bool = False  # answers a probe; no lease was granted


class GrantTableRequest(PeerBody, frozen=True, tag="Tables"):
    """Requests the receiver's table of grants, since the sender has lost its own. Answered by `GrantTable`."""


class Grant(PeerBodyPart, frozen=True):
    """A row of a grantor's table."""

    lease: ShortText
    term: Term
    holder: Name
    successors: MemberNames = ()
    set_number: SequenceNumber = 0
    closed: bool = False


class GrantTable(PeerBody, frozen=True, tag="Table"):
    """All grants of a grantor; `learning`: it has lost its table and has not rebuilt it yet."""

    learning: bool
    grants: Annotated[tuple[Grant, ...], Meta(max_length=1 << 14)] = ()
