"""The state shared by all parts of a fleet member, and its calls to other members.

`MemberState` is the common base class of the parts of `FleetNode`; each part inherits from the parts that it calls.
Times are microseconds of the boot clock (`monotonic_time`) unless a name ends in `_s` (seconds).
"""

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent

from cedarwick.config.operator import Fleet
from cedarwick.errors import CedarwickError
from cedarwick.events.exchange import Exchange
from cedarwick.fleet.counted_calls import counted_call
from cedarwick.fleet.fleet_files import FleetFiles
from cedarwick.fleet.gossip import Gossip
from cedarwick.fleet.lease_grantor import LeaseGrantor
from cedarwick.fleet.membership import Membership
from cedarwick.fleet.messages import Body, PeerMessage
from cedarwick.fleet.order_key_hints import OrderKeyHints
from cedarwick.fleet.peer_client import Peers
from cedarwick.fleet.peer_verifier import PeerVerifier
from cedarwick.fleet.ports import PartitionDispatcher
from cedarwick.fleet.replica_files import ReplicaFolder, ReplicaStore
from cedarwick.fleet.replicated_store import ReplicatedStore, monotonic_time
from cedarwick.fleet.takeover import Ownership, Takeover
from cedarwick.net.assignment import parse_address
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters
from cedarwick.store.files import NoSpaceError

if TYPE_CHECKING:
    from cedarwick.fleet.session_routing import SessionRouter


class NotAMemberError(CedarwickError):
    """The fleet in the operator file has no entry for this sender."""

    code = "CW743"
    remedy = "give the sender an entry in `[[fleet.member]]` under the name that the platform's configuration has"


class MembershipChangeError(CedarwickError):
    """Two lists of members differ in more than one member, so disjoint majorities could both grant the same lease."""

    code = "CW744"
    remedy = "change one member at a time: in all files, SIGHUP to all senders, then the next one"


class MemberState:
    """The state that the parts of a member share, and the calls to other members."""

    def __init__(
        self, name: str, settings: Fleet, state_folder: str, store: ReplicatedStore, clock: Clock, counters: Counters
    ) -> None:
        """Open the fleet's files in the state folder.

        Raises OSError if the folder cannot be used, `NotAMemberError` if the operator file has no entry for this
        sender, and the error of `FleetFiles.claim_folder` if the folder belongs to another member.
        """
        self.name = name
        self.settings = settings
        self.store = store
        self.clock = clock
        self.counters = counters
        self.halls = {member.name: member.hall for member in settings.member}
        if name not in self.halls:
            raise NotAMemberError(f"fleet.member: no entry has the name of this sender, {name!r}")
        self.addresses = {member.name: parse_address(member.address) for member in settings.member}
        self.fleet_files = FleetFiles(state_folder, store.durable)
        self.fleet_files.claim_folder(settings.group, name)
        self.incarnation = self.fleet_files.next_incarnation(time.time_ns() // 1000)
        self.verifier = PeerVerifier(settings.group, name, self.incarnation, self.addresses)
        self.peers = Peers(self.verifier, self.addresses)
        now = monotonic_time()
        self.members = Membership(name, self.halls, self.incarnation, now)
        table = self.fleet_files.read_grant_table()
        known_grants = table.grants if table is not None and not table.learning else None
        self.grantor = LeaseGrantor(name, self.halls, now, known_grants)
        # Versions of the grantor's table: the newest one, and the one on the disk.
        self.grants_version = self.written_grants_version = 0
        # By lease: the version with its newest row, if that version is not on the disk yet.
        self.unwritten_grants: dict[str, int] = {}
        self.writing_grants = False
        self.replicas = ReplicaStore(
            ReplicaFolder(self.fleet_files.replicas_path),
            round(settings.copies_mb * (1 << 20)),
            now=clock.now,
            durable=store.durable,
        )
        self.takeovers: dict[int, Takeover] = {}
        self.lease_records = {
            record.partition: record for record in self.fleet_files.read_held_partitions()
        }  # by partition
        self.ownership: Ownership | None = None
        self.dispatcher: PartitionDispatcher
        self.replica_written_at: dict[int, int] = {}  # by partition: when its holder last wrote to the replica here
        self.started_at = now
        # Whether there may still be messages that were accepted before this sender was a member.
        self.has_pre_fleet_messages = True
        # Partitions of a damaged folder: the replicas of successors may have records that this folder has lost.
        self.damaged_partitions: set[int] = set()
        # By member: when its first heartbeat under a newer incarnation arrived.
        self.restarted_at: dict[str, int] = {}
        # By partition: which member reported that it serves it, and when.
        self.reported_serving: dict[int, tuple[str, int]] = {}
        self.presumed_holders: dict[int, tuple[str, int]] = {}  # by partition: the presumed holder, and since when
        self.replica_refused_at: dict[str, int] = {}  # by member: when it last refused a replica
        self.tables_requested: set[str] = set()  # grantors whose table was requested and has not arrived
        self.pumps: dict[tuple[int, str], gevent.Greenlet] = {}  # by partition and replica
        self.running_offers: dict[int, gevent.Greenlet] = {}  # by partition
        self.alive_members: list[str] = []  # as of the latest check
        self.deadlines_checked_at = 0.0  # `time.monotonic`, seconds
        self.no_majority_since = 0  # since when too few members are alive for a majority; 0: there is one
        self.leaving = False
        self.gossip = Gossip(name, self.fleet_files, clock, counters, self._call)
        self.order_key_hints = OrderKeyHints()
        # By partition: the order keys with pending messages in a replica here whose holder is silent.
        self.replica_order_keys: dict[int, frozenset[int]] = {}
        self.exchange = Exchange(
            name, self.verifier, counters, self._call, state_folder, round(settings.follow_s * 1e6)
        )
        store.on_event = self.exchange.on_message_event
        self.session_router: SessionRouter | None = None

    def _call(self, name: str, body: Body, within_s: float) -> Body | None:
        """Send a peer message and return the body of the answer; None on any failure, which is counted."""
        answer = self._send_peer_message(name, body, within_s)
        return answer.body if answer is not None else None

    def _send_peer_message(self, name: str, body: Body, within_s: float) -> PeerMessage | None:
        """Send a peer message and return the answer; None on any failure, which is counted."""
        return counted_call(self.peers.call_for_peer_message, name, body, within_s, self.counters)

    def _guarded(self, call: Callable[..., object], *arguments: object) -> None:
        """Run `call`; errors are counted and logged, not raised.

        Otherwise one partition that cannot be written would stop the lease renewals and the answers of all others.
        """
        try:
            call(*arguments)
        except (OSError, NoSpaceError) as error:
            self.counters.warning("the fleet's folder cannot be used", error)
        except Exception:  # otherwise the process would end, and again after each restart on this folder
            self.counters.log_exception(f"the fleet failed in {call.__name__}")
