"""Interfaces between a member of a fleet, the dispatcher and the session modules.

The dispatcher implements `PartitionDispatcher`, and `FleetNode` implements `SessionHost`, on which alone the session
modules depend. So imports only run downward, from the node to the sessions, and never back.
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
    """The operations of the dispatcher on messages of partitions; messages are given by number."""

    def adopt(self, numbers: list[int]) -> None:
        """Resume stored messages, as after a restart."""
        ...

    def park(self, numbers: list[int]) -> None:
        """Stop handling messages, without a final answer."""
        ...

    def abandon_parked(self, numbers: list[int]) -> None:
        """Give parked messages whose deadline is near their final answer."""
        ...

    def is_ordered(self, priority_class: str) -> bool:
        """Whether messages of a priority class are delivered in order within an order key."""
        ...

    def hold_keys(self, keys: frozenset[int]) -> None:
        """Hold back messages of these keys until a call without the key: other members have earlier ones pending."""
        ...

    def key_hold_left_us(self, key: int) -> int:
        """How long a key must be held back here, in microseconds, since one of its attempts may be running."""
        ...


class SessionHost(Protocol):
    """A member of a fleet that holds sessions. Its members change when the settings are reloaded."""

    name: str
    incarnation: int  # of this process
    halls: dict[str, str]  # by member
    addresses: dict[str, tuple[str, int]]  # by member
    leaving: bool  # whether this member is shutting down
    store: ReplicatedStore
    fleet_files: FleetFiles
    clock: Clock
    counters: Counters
    verifier: PeerVerifier
    members: Membership
    grantor: LeaseGrantor
    replicas: ReplicaStore

    @property
    def takeovers(self) -> Container[int]:
        """The partitions for which this member has a `Takeover`, as holder or as replica."""
        ...
