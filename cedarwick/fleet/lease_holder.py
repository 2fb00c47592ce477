"""The holder of a lease: its requests, the replies of the grantors, and what follows from them. No I/O, no clock.

The rules, and the reasons for them, are in `leases.py`.
"""

from collections.abc import Collection
from enum import Enum
from typing import NamedTuple

from cedarwick.fleet.leases import (
    CLOCK_DRIFT_DIVISOR,
    LEASE_SPAN_US,
    MAX_PAUSE_US,
    REQUESTS_PER_SPAN,
    SET_BITS,
    majority_of,
)
from cedarwick.fleet.messages import Grant, LeaseReply, LeaseRequest


class KnownHolder(NamedTuple):
    """A member that is said to hold a lease; of two the larger one is the newer."""

    term: int
    name: str


NO_HOLDER = KnownHolder(0, "")


class LeaseState(Enum):
    """How a holder stands to its lease."""

    IDLE = "idle"  # it asks for nothing
    ASKING = "asking"  # for a term that no majority has granted it yet
    HELD = "held"  # granted by a majority; whether attempts may be made now is `is_valid`
    CLOSING = "closing"  # held, and being closed for good; no attempt may be made
    CLOSED = "closed"  # a majority has confirmed the closing
    LOST = "lost"  # it ran out and a newer term exists, or no majority granted it in time


class LeaseHolder:
    """One member's side of one lease, through all its terms there. Times are microseconds of the member's clock."""

    def __init__(self, lease: str, me: str, names: Collection[str], span: int = LEASE_SPAN_US) -> None:
        self.lease = lease
        self.me = me
        self.span = span
        self.state = LeaseState.IDLE
        self.term = 0
        self.newest_other = NO_HOLDER  # the newest term that somebody else was said to hold, and who
        self.known_set = 0  # the newest set of this term that a majority knows; 0: none yet
        self.newest_set = 0  # the newest set
        self.valid_until = 0  # when the lease runs out unless it is renewed; 0: no majority has granted it
        self._names = frozenset(names) | {me}
        self._sets: dict[int, tuple[str, ...]] = {}  # that one, and those named since, by number
        self._newest_term = 0  # the newest term heard of
        self._requested_at = 0
        self._next_request_at = 0
        self._grants: dict[str, tuple[int, int]] = {}  # when the ask was sent, and the set, by grantor
        self._closings: dict[str, int] = {}  # when the ask was sent, by grantor

    def request_next_term(self, now: int, grant: Grant) -> None:
        """Ask for the next term. `grant` is the own grantor's row: from it come the successors, for grantors that lag.

        Only for a member whose replica is whole, or for a lease that nobody has held.
        """
        self.term = self._newest_term = max(grant.term, self.term, self._newest_term) + 1
        self.state = LeaseState.ASKING
        self._requested_at = self._next_request_at = now
        self.known_set, self.newest_set, self._sets = 0, grant.set, {grant.set: grant.successors}
        self._grants, self._closings = {}, {}
        self._update_valid_until()

    def due_request(self, now: int) -> LeaseRequest | None:
        """The request to send to all members now, to the own grantor before any other; None where none is due."""
        self._update_state(now)
        if self.state not in (LeaseState.ASKING, LeaseState.HELD, LeaseState.CLOSING) or now < self._next_request_at:
            return None
        self._next_request_at = now + self.span // REQUESTS_PER_SPAN
        successors = self._sets[self.newest_set]
        return LeaseRequest(
            self.lease, self.term, self.me, self.span, successors, self.newest_set, self.state is LeaseState.CLOSING
        )

    def update(self, now: int) -> None:
        """Update the state for the time that has passed."""
        self._update_state(now)

    def receive_reply(self, now: int, sent_at: int, grantor: str, reply: LeaseReply) -> None:
        """Take a grantor's answer to the request made at `sent_at`, the time that was passed to `due_request`."""
        if grantor not in self._names:
            return
        self._newest_term = max(self._newest_term, reply.term)
        if reply.holder not in ("", self.me):
            self.newest_other = max(self.newest_other, KnownHolder(reply.term, reply.holder))
        at = self._counted_from(sent_at, now)
        if sent_at >= self._requested_at and reply.granted and reply.term == self.term:
            # An answer that comes late or twice must not shorten the lease that a newer answer has extended.
            self._grants[grantor] = max(self._grants.get(grantor, (0, 0)), (at, reply.set))
            self._update_valid_until()
        if reply.closed:
            self._closings[grantor] = max(self._closings.get(grantor, 0), at)
        self._update_state(now)

    def name_successors(self, now: int, successors: Collection[str]) -> None:
        """Name the set of successors from now on: the members whose replicas are whole, in the order of takeover."""
        named = (self.me, *(name for name in successors if name != self.me))
        if (
            self.state is not LeaseState.HELD
            or named == self._sets[self.newest_set]
            and self._is_of_this_term(self.newest_set)
        ):
            return
        self.newest_set = max(self.newest_set, self.term << SET_BITS) + 1
        self._sets[self.newest_set] = named
        self._next_request_at = now

    def close(self, now: int) -> None:
        """Start to close the lease for good; call it once the partition owes nothing any more."""
        if self.state is LeaseState.HELD:
            self.state = LeaseState.CLOSING
            self._next_request_at = now

    def release(self) -> LeaseRequest | None:
        """Give the lease up at once, so that a successor need not wait for its end.

        Returns the request to send to all members; None where nothing was held or asked for.
        """
        held = self.state in (LeaseState.ASKING, LeaseState.HELD)
        self.state = LeaseState.IDLE
        if not held:
            return None
        return LeaseRequest(self.lease, self.term, self.me, 0, self._sets[self.newest_set], self.newest_set)

    def replace(self, names: Collection[str]) -> None:
        """Set the members from now on; see `LeaseGrantor.replace`."""
        self._names = frozenset(names) | {self.me}
        # Grants of a member that was removed must not count towards a majority of the remaining ones.
        self._grants = {name: each for name, each in self._grants.items() if name in self._names}
        self._closings = {name: each for name, each in self._closings.items() if name in self._names}
        self._update_valid_until()

    def is_valid(self, now: int) -> bool:
        """Whether an attempt's first byte may be written now; the last check before the write."""
        return self.state is LeaseState.HELD and self.known_set > 0 and now < self.valid_until

    @property
    def successors(self) -> tuple[str, ...]:
        """The set that a majority knows, the holder first; empty while there is none of this term."""
        return self._sets[self.known_set] if self.known_set else ()

    @property
    def possible_successors(self) -> frozenset[str]:
        """All that may be granted the next term: each must have a record before it counts as on every successor."""
        return frozenset(name for successors in self._sets.values() for name in successors)

    def _update_valid_until(self) -> None:
        """Compute `valid_until` when an answer or the members change: it is read far more often than it changes."""
        self.valid_until = self._after_majority([sent for sent, _ in self._grants.values()], self._usable_span(), 0)

    def _usable_span(self) -> int:
        """Microseconds for which the lease lasts from when the request was sent."""
        return self.span - self.span // CLOCK_DRIFT_DIVISOR - MAX_PAUSE_US

    def _counted_from(self, sent_at: int, now: int) -> int:
        """The start of a lease: the sending. The promise began between sending and answer, so no later time is safe."""
        return sent_at

    def _is_of_this_term(self, number: int) -> bool:
        """Whether a set is of this term.

        Until a majority knows such a set, it may still grant the lease to successors that can't know our attempts.
        """
        return number >> SET_BITS == self.term

    def _after_majority(self, values: list[int], more: int, none: int) -> int:
        """The value that a majority has reached, plus `more`; `none` where no majority has a value."""
        majority = majority_of(len(self._names))
        return sorted(values, reverse=True)[majority - 1] + more if len(values) >= majority else none

    def _update_state(self, now: int) -> None:
        """Derive the state from all answers so far."""
        # A grantor that lost its table has forgotten its answers. Only answers younger than the lease count: such a
        # grantor grants nothing for that long, and then reads the tables of others.
        oldest = now - self._usable_span()
        sets = [number for sent, number in self._grants.values() if sent > oldest]
        closed = [sent for sent in self._closings.values() if sent > oldest]
        majority = majority_of(len(self._names))
        if len(closed) >= majority:
            self.state = LeaseState.CLOSED
        elif self.state is LeaseState.ASKING:
            if len(sets) >= majority:
                self.state = LeaseState.HELD
            elif self._newest_term > self.term or now >= self._requested_at + self.span:
                self.state = LeaseState.LOST  # stop asking, so that the promises of a split vote run out
        elif (
            self.state in (LeaseState.HELD, LeaseState.CLOSING)
            and now >= self.valid_until
            and self._newest_term > self.term
        ):
            self.state = LeaseState.LOST
        number = self._after_majority(sets, 0, 0)
        if self.state is LeaseState.HELD and number > self.known_set and self._is_of_this_term(number):
            self.known_set = number
            self._sets = {one: successors for one, successors in self._sets.items() if one >= number}
