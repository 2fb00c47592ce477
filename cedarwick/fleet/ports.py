"""What the session modules use of the member that they run in.

`FleetNode` satisfies it. The session modules depend on this protocol alone, so that imports only run downward: from
the node to the sessions, never back.
"""

from collections.abc import Container
from typing import Protocol

from cedarwick.fleet.fleet_files import FleetFiles
from cedarwick.fleet.leases import LeaseGrantor
from cedarwick.fleet.membership import Membership
from cedarwick.fleet.peer_verifier import PeerVerifier
from cedarwick.fleet.replica_files import ReplicaStore
from cedarwick.fleet.replicated_store import ReplicatedStore
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters


class SessionHost(Protocol):
    """The member of a fleet that sessions are held at. The lists of members change when the file is read again."""

    name: str
    incarnation: int  # of this process
    halls: dict[str, str]  # by member
    where: dict[str, tuple[str, int]]  # by member: its address
    leaving: bool  # whether this member is about to end
    store: ReplicatedStore
    lasting: FleetFiles
    clock: Clock
    counters: Counters
    gate: PeerVerifier
    members: Membership
    grantor: LeaseGrantor
    copies: ReplicaStore

    @property
    def adoptions(self) -> Container[int]:
        """The partitions that this member looks after."""
        ...
