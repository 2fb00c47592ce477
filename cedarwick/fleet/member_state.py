"""The state that all parts of one fleet member share, and its calls to other members.

`MemberState` is the common base of the parts of `FleetNode`; each part has the parts that it calls as its bases. Times
are microseconds of the boot clock (`monotonic_time`) unless a name ends with `_s` (seconds).
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
    """The operator file has a fleet of which this sender is no member."""

    code = "CW743"
    remedy = "give the sender an entry in `[[fleet.member]]` under the name that the platform's configuration has"


class MembershipChangeError(CedarwickError):
    """Two lists of members differ by more than one, so a majority of each could grant one right twice."""

    code = "CW744"
    remedy = "change one member at a time: in all files, SIGHUP to all senders, then the next one"


class MemberState:
    """The state that the parts of a member share, and calls of other members."""

    def __init__(
        self, name: str, settings: Fleet, state: str, store: ReplicatedStore, clock: Clock, counters: Counters
    ) -> None:
        """Open the fleet's files in the folder `state`.

        Raises OSError where the folder or the address cannot be used, `NotAMemberError` where the operator file has no
        entry for this sender, and the error of `FleetFiles.claim_folder` where the folder is another member's.
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
        self.fleet_files = FleetFiles(state, store.durable)
        self.fleet_files.claim_folder(settings.group, name)
        self.incarnation = self.fleet_files.next_incarnation(time.time_ns() // 1000)
        self.verifier = PeerVerifier(settings.group, name, self.incarnation, self.addresses)
        self.peers = Peers(self.verifier, self.addresses)
        now = monotonic_time()
        self.members = Membership(name, self.halls, self.incarnation, now)
        table = self.fleet_files.read_grant_table()
        known = table.grants if table is not None and not table.learning else None
        self.grantor = LeaseGrantor(name, self.halls, now, known)
        # Versions of its table: the newest, and that on the disk.
        self.grants_version = self.written_grants_version = 0
        # By lease: the version with its newest row, where that is not on the disk.
        self.unwritten_grants: dict[str, int] = {}
        self.writing_grants = False
        self.replicas = ReplicaStore(
            ReplicaFolder(self.fleet_files.replicas_path),
            round(settings.copies_mb * (1 << 20)),
            now=clock.now,
            durable=store.durable,
        )
        self.takeovers: dict[int, Takeover] = {}
        self.held = {held.partition: held for held in self.fleet_files.read_held_partitions()}
        self.ownership: Ownership | None = None
        self.dispatcher: PartitionDispatcher
        self.replica_written_at: dict[int, int] = {}  # by partition: when its holder last wrote to the copy here
        self.begun_at = now
        # Whether messages may be left that were taken before this sender was a member.
        self.has_pre_fleet_messages = True
        # Partitions of a damaged folder: successors may have more of their records.
        self.damaged_partitions: set[int] = set()
        self.restarted_at: dict[str, int] = {}  # when a member was first heard under a newer incarnation than before
        # By partition: which member reported that it serves it, and when.
        self.reported_serving: dict[int, tuple[str, int]] = {}
        self.presumed_holders: dict[int, tuple[str, int]] = {}  # by partition: the presumed holder, and since when
        self.replica_refused_at: dict[str, int] = {}  # when a member has refused to keep a copy
        self.tables_requested: set[str] = set()  # grantors whose tables were asked for and have not come
        self.pumps: dict[tuple[int, str], gevent.Greenlet] = {}
        self.offers: dict[int, gevent.Greenlet] = {}
        self.alive: list[str] = []  # as of the latest check
        self.deadlines_checked_at = 0.0
        self.no_majority_since = 0  # since when too few members are alive to grant anything; 0: enough are
        self.leaving = False
        self.gossip = Gossip(name, self.fleet_files, clock, counters, self._call)
        self.order_key_hints = OrderKeyHints()
        # By partition: keys in a replica here whose holder is silent.
        self.replica_order_keys: dict[int, frozenset[int]] = {}
        self.exchange = Exchange(name, self.verifier, counters, self._call, state, round(settings.follow_s * 1e6))
        store.on_event = self.exchange.on_message_event
        self.session_router: SessionRouter | None = None

    def _call(self, name: str, body: Body, within_s: float) -> Body | None:
        """Call another member and return its answer's body; None on any failure, which is counted."""
        answer = self._peer_message(name, body, within_s)
        return answer.body if answer is not None else None

    def _peer_message(self, name: str, body: Body, within_s: float) -> PeerMessage | None:
        return counted_call(self.peers.peer_message, name, body, within_s, self.counters)

    def _guarded(self, call: Callable[..., object], *arguments: object) -> None:
        """Call it; errors are counted and logged, not raised.

        Otherwise one partition that cannot be written would stop the renewal of all others, and their answers.
        """
        try:
            call(*arguments)
        except (OSError, NoSpaceError) as error:
            self.counters.warning("the fleet's folder cannot be used", error)
        except Exception:  # else the process would end, and again after each start on this folder
            self.counters.log_exception(f"the fleet failed in {call.__name__}")
