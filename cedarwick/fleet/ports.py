"""Protocols between a member of a fleet and what is above and below it.

The dispatcher satisfies `PartitionDispatcher`, and `FleetNode` satisfies `SessionHost`: the session modules depend on
it alone, so that imports only run downward, from the node to the sessions, never back.
"""

from collections.abc import Container
from typing import Protocol

from cedarwick.fleet.fleet_files import FleetFiles
from cedarwick.fleet.lease_grantor import LeaseGrantor
from cedarwick.fleet.membership import Membership
from cedarwick.fleet.peer_verifier import PeerVerifier
from cedarwick.fleet.replica_files import ReplicaStore
from cedarwick.fleet.replicated_store import ReplicatedStore
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters


class PartitionDispatcher(Protocol):
    """What the dispatcher does for partitions; messages are given by number."""

    def adopt(self, numbers: list[int]) -> None:
        """Go on with stored messages, as after a restart."""
        ...

    def park(self, numbers: list[int]) -> None:
        """Leave messages alone from now on, without an answer."""
        ...

    def abandon_parked(self, numbers: list[int]) -> None:
        """Write off parked messages whose deadline is near."""
        ...

    def is_ordered(self, priority_class: str) -> bool:
        """Whether messages of a priority class are delivered one after another within a key."""
        ...

    def hold_keys(self, keys: frozenset[int]) -> None:
        """Hold back messages of these keys until a call without the key: earlier ones are owed by other members."""
        ...

    def key_hold_left_us(self, key: int) -> int:
        """Microseconds for which a key must rest here, since an attempt of it may be running."""
        ...


class SessionHost(Protocol):
    """The member of a fleet that holds sessions. Its lists of members change when the settings are reloaded."""

    name: str
    incarnation: int  # of this process
    halls: dict[str, str]  # by member
    where: dict[str, tuple[str, int]]  # by member: its address
    leaving: bool  # whether this member is about to end
    store: ReplicatedStore
    fleet_files: FleetFiles
    clock: Clock
    counters: Counters
    gate: PeerVerifier
    members: Membership
    grantor: LeaseGrantor
    replicas: ReplicaStore

    @property
    def adoptions(self) -> Container[int]:
        """The partitions for which this member has a `Takeover`, as holder or as copy."""
        ...
