"""Failure detection: silence seen by a majority (suspicion and incarnations as in SWIM, Das et al. 2002). No I/O.

Each member reports to every other one how long ago it has heard each. A member is dead once a majority of all members
report that they have not heard it for 1.5 s. Only reports of members that are heard now count: the last report of one
that has fallen silent may be from the wrong side of a network partition, or from before the other spoke again. Reported
ages count as received and are not made older here: since the report the other may have been heard. The member in
question has no vote. So in a group of two nobody is ever dead, only suspected: there is no majority without it.

`FleetNode` and `Heartbeats` call it. All times are whole microseconds of the member's own clock, which goes on while
the machine sleeps.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from cedarwick.fleet.leases import majority_of

ALIVE_WITHIN_US = 1_000_000  # since the last heartbeat: three may be lost
DEAD_AFTER_US = 1_500_000  # since the last heartbeat, as seen by a majority
SLOW_AFTER_US = 500_000  # that an answer may take


class MemberStatus(Enum):
    """The status of a member."""

    ALIVE = "alive"
    SUSPECTED = "suspected"  # not heard by me
    DEAD = "dead"  # not heard by a majority
    LEFT = "left"  # it said so
    UNKNOWN = "unknown"  # never heard since my boot, and no majority says it is dead


class MemberChange(NamedTuple):
    """A member whose status has changed since the last call of `changes`."""

    name: str
    previous: MemberStatus
    current: MemberStatus


@dataclass
class _Member:
    hall: str
    incarnation: int = 0
    heard_at: int | None = None  # when
    leaving: bool = False
    reported_ages: Mapping[str, int] = field(default_factory=dict)  # as reported in its last heartbeat
    answer_time_us: int = 0  # of its last answer


class Membership:
    """What one member knows of the group. `names_to_halls` has all members, `me` among them."""

    def __init__(self, me: str, names_to_halls: Mapping[str, str], incarnation: int, now: int) -> None:
        self.me = me
        self.incarnation = incarnation
        self.halls = dict(names_to_halls)
        self._booted_at = now
        self._members = {name: _Member(hall) for name, hall in names_to_halls.items() if name != me}
        self._member_since = dict.fromkeys(self._members, now)  # when each began to be a member here
        self._last_status = dict.fromkeys(self._members, MemberStatus.UNKNOWN)

    @property
    def names(self) -> frozenset[str]:
        """All members, me among them."""
        return frozenset(self.halls)

    @property
    def majority(self) -> int:
        """How many members are a majority of all."""
        return majority_of(len(self.halls))

    def receive_heartbeat(
        self, now: int, name: str, incarnation: int, reported: Mapping[str, int], leaving: bool
    ) -> bool:
        """Take a heartbeat; False if it is of an unknown member or of an older boot, and changes nothing."""
        member = self._members.get(name)
        if member is None or incarnation < member.incarnation:
            return False
        if incarnation > member.incarnation:
            member.leaving, member.answer_time_us = False, 0
        member.incarnation = incarnation
        member.heard_at = now
        member.leaving = member.leaving or leaving  # heartbeats may arrive out of order
        member.reported_ages = dict(reported)
        return True

    def note_answer_time(self, now: int, name: str, took: int) -> None:
        """Note how long an answer of a member took, or how long it has been waited for, in microseconds."""
        if name in self._members:
            self._members[name].answer_time_us = took

    def status(self, now: int, name: str) -> MemberStatus:
        """The status of a member; this one is alive, and a name that is no member has left."""
        if name == self.me:
            return MemberStatus.ALIVE
        member = self._members.get(name)
        if member is None or member.leaving:
            return MemberStatus.LEFT
        if self._silence(now, name) < ALIVE_WITHIN_US:
            return MemberStatus.ALIVE if member.heard_at is not None else MemberStatus.UNKNOWN
        votes = sum(one.reported_ages.get(name, 0) >= DEAD_AFTER_US for one in self._voters(now, name))
        if self._silence(now, name) >= DEAD_AFTER_US and votes + 1 >= self.majority:
            return MemberStatus.DEAD
        return MemberStatus.SUSPECTED if member.heard_at is not None else MemberStatus.UNKNOWN

    def notes(self, now: int, name: str) -> tuple[str, ...]:
        """Notes for operators: `cut` where only one direction works, `slow` where answers take long."""
        member = self._members.get(name)
        if member is None:
            return ()
        here = member.heard_at is not None and now - member.heard_at < ALIVE_WITHIN_US
        others = any(one.reported_ages.get(name, ALIVE_WITHIN_US) < ALIVE_WITHIN_US for one in self._voters(now, name))
        cut = member.reported_ages.get(self.me, 0) >= ALIVE_WITHIN_US if here else others
        return ("cut",) * cut + ("slow",) * (member.answer_time_us > SLOW_AFTER_US)

    def heartbeat_ages(self, now: int) -> dict[str, int]:
        """For the next heartbeat: microseconds since each other member was heard; if never, since it was added."""
        return {name: self._silence(now, name) for name in self._members}

    def changes(self, now: int) -> list[MemberChange]:
        """The members whose status has changed since the last call, by name."""
        found = [MemberChange(name, self._last_status[name], self.status(now, name)) for name in sorted(self._members)]
        self._last_status = {change.name: change.current for change in found}
        return [change for change in found if change.previous is not change.current]

    def members_known_to(self, name: str) -> frozenset[str] | None:
        """The members that another one knows, by its last heartbeat; None where it was never heard."""
        member = self._members.get(name)
        return None if member is None or member.heard_at is None else frozenset(member.reported_ages) | {name}

    def list_difference(self, name: str) -> frozenset[str]:
        """The members that only one of the two lists has, another member's or ours; none where it was never heard."""
        theirs = self.members_known_to(name)
        return self.names ^ theirs if theirs is not None else frozenset()

    def incarnation_of(self, name: str) -> int:
        """The newest boot heard of a member; 0: none."""
        if name == self.me:
            return self.incarnation
        return self._members[name].incarnation if name in self._members else 0

    def replace_members(self, now: int, names_to_halls: Mapping[str, str]) -> None:
        """Set the members from now on; what is known of those that stay is kept."""
        self.halls = dict(names_to_halls)
        members = {}
        for name, hall in names_to_halls.items():
            if name != self.me:
                members[name] = self._members.get(name, _Member(hall))
                members[name].hall = hall
        self._members = members
        self._member_since = {name: self._member_since.get(name, now) for name in members}
        self._last_status = {name: self._last_status.get(name, MemberStatus.UNKNOWN) for name in members}

    def _silence(self, now: int, name: str) -> int:
        heard = self._members[name].heard_at
        return max(0, now - (self._member_since[name] if heard is None else heard))

    def _voters(self, now: int, about: str) -> list[_Member]:
        """The other members that are heard now, except the one in question."""
        return [
            member
            for name, member in self._members.items()
            if name != about and member.heard_at is not None and now - member.heard_at < ALIVE_WITHIN_US
        ]
