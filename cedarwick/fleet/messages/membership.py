"""Heartbeats, and the leases that a majority of the members grants. Times are microseconds."""

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

LEASE_PROBE_LEVEL = 4  # the level from which on a member knows a probe from a request


class HeldLease(PeerBodyPart, frozen=True):
    """A partition whose lease the sender of the heartbeat holds."""

    partition: Unsigned
    term: Term


class Heartbeat(PeerBody, frozen=True, tag="Beat"):
    """Says that the sender is alive. Answered by a `Heartbeat`."""

    leaving: bool  # the sender ends; successors may take over
    heard: Annotated[dict[Name, Unsigned], Meta(max_length=MAX_MEMBERS)]  # microseconds ago, by member
    leases: Annotated[tuple[HeldLease, ...], Meta(max_length=4096)] = ()


class LeaseRequest(PeerBody, frozen=True, tag="Ask"):
    """Asks for a lease of `span` microseconds. Answered by `LeaseReply`."""

    lease: ShortText
    term: Term
    holder: Name  # the member that asks
    span: Unsigned  # microseconds; 0: the lease is given up
    successors: MemberNames = ()
    set_number: SequenceNumber = 0  # the larger number is the newer list of successors
    closed: bool = False  # close the lease for good
    probe: bool = False  # only asks whether the lease would be granted; uses up no term


class LeaseReply(PeerBody, frozen=True, tag="Told"):
    """The grantor's entry for the lease, and whether it was granted; for a probe, whether it would be."""

    granted: bool
    term: Term
    holder: Name
    successors: MemberNames = ()
    set_number: SequenceNumber = 0
    closed: bool = False
    probe: bool = False  # answers a probe: nothing was granted


class GrantTableRequest(PeerBody, frozen=True, tag="Tables"):
    """Asks for a whole table of grants, since the sender's own is lost. Answered by `GrantTable`."""


class Grant(PeerBodyPart, frozen=True):
    """A row of a grantor's table."""

    lease: ShortText
    term: Term
    holder: Name
    successors: MemberNames = ()
    set_number: SequenceNumber = 0
    closed: bool = False


class GrantTable(PeerBody, frozen=True, tag="Table"):
    """A whole table of grants; `learning`: the grantor has lost its table and not rebuilt it yet."""

    learning: bool
    grants: Annotated[tuple[Grant, ...], Meta(max_length=1 << 14)] = ()
