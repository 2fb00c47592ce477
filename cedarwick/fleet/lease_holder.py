"""The holder of a lease: its requests, the replies of the grantors, and the resulting state. No I/O, no clock.

The rules, and the reasons for them, are in `leases.py`.
"""

from collections.abc import Collection
from enum import Enum
from typing import NamedTuple

import msgspec

from cedarwick.fleet.leases import (
    CLOCK_DRIFT_DIVISOR,
    LEASE_SPAN_US,
    MAX_PAUSE_US,
    REQUESTS_PER_SPAN,
    SUCCESSOR_SET_BITS,
    majority_of,
)
from cedarwick.fleet.messages import Grant, LeaseReply, LeaseRequest


class KnownHolder(NamedTuple):
    """A reported holder of a lease; of two, the larger one is the newer."""

    term: int
    name: str


NO_HOLDER = KnownHolder(0, "")


class HeldTerm(NamedTuple):
    """A term and its successor sets as they were before a probe."""

    term: int
    known_set_number: int
    newest_set_number: int
    sets: dict[int, tuple[str, ...]]


class SuccessorSet(NamedTuple):
    """A successor set with its number; of two, the one with the larger number is the newer."""

    number: int
    names: tuple[str, ...]


NO_SET = SuccessorSet(0, ())


class LeaseState(Enum):
    """The state of a lease at its holder."""

    IDLE = "idle"  # nothing is requested
    ASKING = "asking"  # a term is requested that no majority has granted yet, or, while `probing`, probed for
    HELD = "held"  # granted by a majority; `is_valid` says whether attempts may be made now
    CLOSING = "closing"  # held, and being closed for good; no attempt may be made
    CLOSED = "closed"  # a majority has confirmed the closing
    LOST = "lost"  # it expired and cannot be renewed, or no majority granted it in time


class LeaseHolder:
    """One member's side of one lease, through all its terms. Times are microseconds of the member's own clock."""

    def __init__(self, lease: str, me: str, names: Collection[str], span: int = LEASE_SPAN_US) -> None:
        self.lease = lease
        self.me = me
        self.span = span
        self.state = LeaseState.IDLE
        self.term = 0
        self.newest_other_holder = NO_HOLDER  # the newest other holder in any reply, with its term
        self.newest_known_set = NO_SET  # the newest successor set in any reply
        self.probing = False  # `term` is not requested yet: a majority must first report that it would grant it
        self.known_set_number = 0  # the newest set of this term that a majority knows; 0: none yet
        self.newest_set_number = 0  # the newest set
        self.valid_until = 0  # when the lease expires unless it is renewed; 0: no majority has granted it
        self._names = frozenset(names) | {me}
        self._sets: dict[int, tuple[str, ...]] = {}  # by number: the set that a majority knows, and those named since
        self._newest_term = 0  # the newest term in any reply
        self._requested_at = 0
        self._next_request_at = 0
        self._grants: dict[str, tuple[int, int]] = {}  # by grantor: when the request was sent, and the set's number
        self._closings: dict[str, int] = {}  # by grantor that has closed the lease: when the request was sent
        self._would_grant: dict[str, int] = {}  # by grantor that would grant `term`: when the probe was sent
        self._before_probe = HeldTerm(0, 0, 0, {})  # restored when a probe is abandoned
        self._refused_at = 0  # when the newest request was sent that a grantor of this term permanently refused
        self._enquiry: LeaseRequest | None = None  # to be sent while nothing is requested
        self._next_enquiry_at = 0

    def request_next_term(self, now: int, grant: Grant, probe_first: bool = False) -> None:
        """Request the next term. `grant` is the own grantor's row, whose successors are sent to grantors that lag.

        Only for a member whose replica is complete, or for a lease that nobody has held. With `probe_first` the term is
        requested only once a majority reports that it would grant it: a refused request would end the term of a member
        that can be granted one.
        """
        newest = max(grant.term, self.term, self._newest_term)
        self._before_probe = HeldTerm(self.term, self.known_set_number, self.newest_set_number, self._sets)
        self.term = newest + 1
        self._newest_term = newest if probe_first else self.term
        self.state, self.probing = LeaseState.ASKING, probe_first
        self._requested_at = self._next_request_at = now
        self.known_set_number = 0
        self._set_requested_successors(SuccessorSet(grant.set_number, grant.successors))
        self._grants, self._closings, self._would_grant = {}, {}, {}
        self._update_valid_until()

    def newest_row(self, grant: Grant) -> Grant:
        """The own grantor's row with the newest successor set that any grantor is known to have."""
        if self.newest_known_set.number <= grant.set_number:
            return grant
        return msgspec.structs.replace(
            grant, successors=self.newest_known_set.names, set_number=self.newest_known_set.number
        )

    def enquire(self, now: int, grant: Grant) -> None:
        """Make `due_request` probe all members for their rows, at most once per span, while nothing is requested.

        The request that named this member a successor may have been lost; then its own grantor does not know of it.
        `grant` is the own grantor's row.
        """
        if now < self._next_enquiry_at or self.state not in (LeaseState.IDLE, LeaseState.LOST):
            return
        self._next_enquiry_at = now + self.span
        term = max(grant.term, self.term, self._newest_term) + 1
        self._enquiry = LeaseRequest(
            self.lease, term, self.me, self.span, grant.successors, grant.set_number, probe=True
        )

    def due_request(self, now: int) -> LeaseRequest | None:
        """The request to send to all members now, to the own grantor first; None if none is due."""
        self._update_state(now)
        enquiry, self._enquiry = self._enquiry, None
        if enquiry is not None and self.state in (LeaseState.IDLE, LeaseState.LOST):
            return enquiry
        if self.state not in (LeaseState.ASKING, LeaseState.HELD, LeaseState.CLOSING) or now < self._next_request_at:
            return None
        self._next_request_at = now + self.span // REQUESTS_PER_SPAN
        successors = self._sets[self.newest_set_number]
        closing = self.state is LeaseState.CLOSING
        return LeaseRequest(
            self.lease, self.term, self.me, self.span, successors, self.newest_set_number, closing, self.probing
        )

    def update(self, now: int) -> None:
        """Update the state to the given time."""
        self._update_state(now)

    def receive_reply(self, now: int, sent_at: int, grantor: str, reply: LeaseReply) -> None:
        """Process a grantor's reply to the request sent at `sent_at`, the time that was passed to `due_request`."""
        if grantor not in self._names:
            return
        self._newest_term = max(self._newest_term, reply.term)
        if reply.holder not in ("", self.me):
            self.newest_other_holder = max(self.newest_other_holder, KnownHolder(reply.term, reply.holder))
        self.newest_known_set = max(self.newest_known_set, SuccessorSet(reply.set_number, reply.successors))
        counted_from = self._counted_from(sent_at, now)
        if sent_at >= self._requested_at:
            self._count_reply(counted_from, sent_at, grantor, reply)
        if reply.closed:
            self._closings[grantor] = max(self._closings.get(grantor, 0), counted_from)
        self._update_state(now)

    def _count_reply(self, counted_from: int, sent_at: int, grantor: str, reply: LeaseReply) -> None:
        """Count a reply to a request of the present term; the lease lasts from `counted_from`."""
        if reply.probe:
            if self.probing and reply.granted:
                self._would_grant[grantor] = max(self._would_grant.get(grantor, 0), sent_at)
        elif reply.granted and reply.term == self.term:
            self.probing = False  # a member of an earlier version treats a probe as a request
            # A late or duplicate reply must not shorten the lease that a newer reply has extended.
            self._grants[grantor] = max(self._grants.get(grantor, (0, 0)), (counted_from, reply.set_number))
            self._update_valid_until()
        elif not reply.granted and reply.term == self.term and reply.holder != self.me:
            # A grantor that lost its table, or granted the term to another member, never grants it to this one.
            self._refused_at = max(self._refused_at, sent_at)

    def name_successors(self, now: int, successors: Collection[str]) -> None:
        """Name a new successor set: the members whose replicas are complete, in the order of takeover."""
        named = (self.me, *(name for name in successors if name != self.me))
        if (
            self.state is not LeaseState.HELD
            or named == self._sets[self.newest_set_number]
            and self._is_of_this_term(self.newest_set_number)
        ):
            return
        self.newest_set_number = max(self.newest_set_number, self.term << SUCCESSOR_SET_BITS) + 1
        self._sets[self.newest_set_number] = named
        self._next_request_at = now

    def close(self, now: int) -> None:
        """Start to close the lease for good; called once the partition has no pending messages."""
        if self.state is LeaseState.HELD:
            self.state = LeaseState.CLOSING
            self._next_request_at = now

    def release(self) -> LeaseRequest | None:
        """Give up the lease at once, so that a successor need not wait for it to expire.

        Returns the request to send to all members; None where nothing was held or requested.
        """
        held = self.state in (LeaseState.ASKING, LeaseState.HELD) and not self.probing
        self._abandon_probe()
        self.state = LeaseState.IDLE
        if not held:
            return None
        return LeaseRequest(
            self.lease, self.term, self.me, 0, self._sets[self.newest_set_number], self.newest_set_number
        )

    def replace_members(self, names: Collection[str]) -> None:
        """Replace the members; see `LeaseGrantor.replace_members`."""
        self._names = frozenset(names) | {self.me}
        # Grants of a removed member must not count towards a majority of the remaining ones.
        self._grants = {name: each for name, each in self._grants.items() if name in self._names}
        self._closings = {name: each for name, each in self._closings.items() if name in self._names}
        self._update_valid_until()

    def is_valid(self, now: int) -> bool:
        """Whether an attempt's first byte may be written now; this is the last check before the write."""
        return self.state is LeaseState.HELD and self.known_set_number > 0 and now < self.valid_until

    @property
    def successors(self) -> tuple[str, ...]:
        """The successor set that a majority knows, the holder first; empty while there is none of this term."""
        return self._sets[self.known_set_number] if self.known_set_number else ()

    @property
    def possible_successors(self) -> frozenset[str]:
        """All members that may be granted the next term; a record is on every successor only if all of them have it."""
        return frozenset(name for successors in self._sets.values() for name in successors)

    def _update_valid_until(self) -> None:
        """Compute `valid_until` when the replies or the members change: it is read far more often than it changes."""
        self.valid_until = self._majority_value([sent for sent, _ in self._grants.values()], self._usable_span(), 0)

    def _usable_span(self) -> int:
        """How long the lease lasts, in microseconds, counted from when the request was sent."""
        return self.span - self.span // CLOCK_DRIFT_DIVISOR - MAX_PAUSE_US

    def _counted_from(self, sent_at: int, now: int) -> int:
        """The start of a lease: when the request was sent.

        The promise began between the request and its reply, so no later time is safe.
        """
        return sent_at

    def _is_of_this_term(self, number: int) -> bool:
        """Whether a set is of this term.

        Until a majority knows such a set, it may still grant the lease to successors that cannot know the attempts of
        this holder.
        """
        return number >> SUCCESSOR_SET_BITS == self.term

    def _majority_value(self, values: list[int], offset: int, default: int) -> int:
        """The largest value that a majority has reached, plus `offset`; `default` where no majority has a value."""
        majority = majority_of(len(self._names))
        return sorted(values, reverse=True)[majority - 1] + offset if len(values) >= majority else default

    def _update_state(self, now: int) -> None:
        """Derive the state from all replies so far."""
        # A grantor that lost its table has forgotten its replies. Only replies younger than the lease count: such a
        # grantor grants nothing for that long, and then reads the tables of the other members.
        oldest = now - self._usable_span()
        sets = [number for sent, number in self._grants.values() if sent > oldest]
        closed = [sent for sent in self._closings.values() if sent > oldest]
        majority = majority_of(len(self._names))
        if len(closed) >= majority:
            self.state = LeaseState.CLOSED
        elif self.state is LeaseState.ASKING:
            self._update_asking(now, granted=len(sets) >= majority)
        elif (
            self.state in (LeaseState.HELD, LeaseState.CLOSING)
            and now >= self.valid_until
            and (self._newest_term > self.term or self._refused_at > oldest)
        ):
            self.state = LeaseState.LOST
        number = self._majority_value(sets, 0, 0)
        if self.state is LeaseState.HELD and number > self.known_set_number and self._is_of_this_term(number):
            self.known_set_number = number
            self._sets = {one: successors for one, successors in self._sets.items() if one >= number}

    def _update_asking(self, now: int, granted: bool) -> None:
        """Turn a probe into a request once a majority would grant the term; end either on success or failure."""
        if granted:
            self.state, self.probing = LeaseState.HELD, False
            return
        term_taken = self._newest_term >= self.term if self.probing else self._newest_term > self.term
        if term_taken or now >= self._requested_at + self.span:
            self._abandon_probe()
            self.state = LeaseState.LOST  # request nothing for a while, so that the promises of a split vote expire
        elif self.probing and len(self._would_grant) >= majority_of(len(self._names)):
            self.probing = False
            self._newest_term = self.term
            self._requested_at = self._next_request_at = now
            self._set_requested_successors(SuccessorSet(self.newest_set_number, self._sets[self.newest_set_number]))

    def _abandon_probe(self) -> None:
        """Abandon a probe and restore the previous term: the probed one was never requested."""
        if self.probing:
            self.probing = False
            self.term, self.known_set_number, self.newest_set_number, self._sets = self._before_probe

    def _set_requested_successors(self, own: SuccessorSet) -> None:
        """Set the successors that requests carry: the newest known set if this member is in it, else the own one."""
        newest = max(own, self.newest_known_set) if self.me in self.newest_known_set.names else own
        self.newest_set_number, self._sets = newest.number, {newest.number: newest.names}
