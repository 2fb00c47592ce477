"""Failure detection by majority (suspicion and incarnations as in SWIM, Das et al. 2002). No I/O.

Each member reports to every other one the ages of the latest heartbeats that it received. A member is dead once a
majority of all members report no heartbeat from it for 1.5 s. Only reports of members whose own heartbeats arrive now
count: the last report of a silent member may be from the other side of a network partition, or from before the
suspected member resumed. Reported ages are used as received and do not grow here: a heartbeat may have arrived since
the report. The member in question has no vote. So in a group of two, no member is ever dead, only suspected: without it
there is no majority.

`FleetNode` and `Heartbeats` call it. All times are whole microseconds of the member's own clock, which continues while
the machine sleeps.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from cedarwick.fleet.leases import majority_of

ALIVE_WITHIN_US = 1_000_000  # since the last heartbeat: three may be lost
DEAD_AFTER_US = 1_500_000  # since the last heartbeat, as seen by a majority
SLOW_AFTER_US = 500_000  # time to answer above which a member is reported as slow


class MemberStatus(Enum):
    """The status of a member."""

    ALIVE = "alive"
    SUSPECTED = "suspected"  # no recent heartbeat at this member
    DEAD = "dead"  # no recent heartbeat at a majority
    LEFT = "left"  # it has announced that it leaves
    UNKNOWN = "unknown"  # no heartbeat since this member booted, and no majority reports it dead


class MemberChange(NamedTuple):
    """A member whose status has changed since the last call of `changes`."""

    name: str
    previous: MemberStatus
    current: MemberStatus


@dataclass
class _Member:
    hall: str
    incarnation: int = 0
    heard_at: int | None = None  # when the last heartbeat arrived
    leaving: bool = False
    reported_ages: Mapping[str, int] = field(default_factory=dict)  # the ages of heartbeats in its last heartbeat
    answer_time_us: int = 0  # how long its last answer took


class Membership:
    """One member's view of the group. `names_to_halls` contains all members, including `me`."""

    def __init__(self, me: str, names_to_halls: Mapping[str, str], incarnation: int, now: int) -> None:
        self.me = me
        self.incarnation = incarnation
        self.halls = dict(names_to_halls)
        self._booted_at = now
        self._members = {name: _Member(hall) for name, hall in names_to_halls.items() if name != me}
        self._member_since = dict.fromkeys(self._members, now)  # when each was added to the members here
        self._last_status = dict.fromkeys(self._members, MemberStatus.UNKNOWN)

    @property
    def names(self) -> frozenset[str]:
        """All members, including this one."""
        return frozenset(self.halls)

    @property
    def majority(self) -> int:
        """The size of a majority of all members."""
        return majority_of(len(self.halls))

    def receive_heartbeat(
        self, now: int, name: str, incarnation: int, reported: Mapping[str, int], leaving: bool
    ) -> bool:
        """Record a heartbeat; False, without a change, if it is from an unknown member or an older boot."""
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

    def note_answer_time(self, now: int, name: str, duration_us: int) -> None:
        """Record how long an answer of a member took, or has been awaited, in microseconds."""
        if name in self._members:
            self._members[name].answer_time_us = duration_us

    def status(self, now: int, name: str) -> MemberStatus:
        """The status of a member; this member is always alive, and an unknown name counts as left."""
        if name == self.me:
            return MemberStatus.ALIVE
        member = self._members.get(name)
        if member is None or member.leaving:
            return MemberStatus.LEFT
        if self._silence(now, name) < ALIVE_WITHIN_US:
            return MemberStatus.ALIVE if member.heard_at is not None else MemberStatus.UNKNOWN
        votes = sum(voter.reported_ages.get(name, 0) >= DEAD_AFTER_US for voter in self._voters(now, name))
        if self._silence(now, name) >= DEAD_AFTER_US and votes + 1 >= self.majority:
            return MemberStatus.DEAD
        return MemberStatus.SUSPECTED if member.heard_at is not None else MemberStatus.UNKNOWN

    def notes(self, now: int, name: str) -> tuple[str, ...]:
        """Notes for operators: `cut` if only one direction of the link works, `slow` if answers take long."""
        member = self._members.get(name)
        if member is None:
            return ()
        heard_here = member.heard_at is not None and now - member.heard_at < ALIVE_WITHIN_US
        heard_by_others = any(
            voter.reported_ages.get(name, ALIVE_WITHIN_US) < ALIVE_WITHIN_US for voter in self._voters(now, name)
        )
        one_way = member.reported_ages.get(self.me, 0) >= ALIVE_WITHIN_US if heard_here else heard_by_others
        return ("cut",) * one_way + ("slow",) * (member.answer_time_us > SLOW_AFTER_US)

    def heartbeat_ages(self, now: int) -> dict[str, int]:
        """For the next heartbeat: microseconds since each member's last one, or since it was added if none came."""
        return {name: self._silence(now, name) for name in self._members}

    def changes(self, now: int) -> list[MemberChange]:
        """The members whose status has changed since the last call, sorted by name."""
        statuses = [
            MemberChange(name, self._last_status[name], self.status(now, name)) for name in sorted(self._members)
        ]
        self._last_status = {change.name: change.current for change in statuses}
        return [change for change in statuses if change.previous is not change.current]

    def members_known_to(self, name: str) -> frozenset[str] | None:
        """The members that another member lists, from its last heartbeat; None if none has arrived."""
        member = self._members.get(name)
        return None if member is None or member.heard_at is None else frozenset(member.reported_ages) | {name}

    def list_difference(self, name: str) -> frozenset[str]:
        """The members in only one of two lists, another member's and this one's; empty if no heartbeat has arrived."""
        theirs = self.members_known_to(name)
        return self.names ^ theirs if theirs is not None else frozenset()

    def incarnation_of(self, name: str) -> int:
        """The newest known incarnation of a member; 0 if none is known."""
        if name == self.me:
            return self.incarnation
        return self._members[name].incarnation if name in self._members else 0

    def replace_members(self, now: int, names_to_halls: Mapping[str, str]) -> None:
        """Replace the members; the state of those that stay is kept."""
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
        """The other members whose heartbeats arrive now, except the one in question."""
        return [
            member
            for name, member in self._members.items()
            if name != about and member.heard_at is not None and now - member.heard_at < ALIVE_WITHIN_US
        ]
