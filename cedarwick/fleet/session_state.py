"""What a member knows of sessions, and its peer messages about them: the base of the parts of `SessionRouter`.

Times are microseconds of the boot clock (`monotonic_time`) unless a name ends in `_s` (seconds).
"""

from typing import Literal, NamedTuple

import gevent
import gevent.event

from cedarwick.fleet.counted_calls import counted_call
from cedarwick.fleet.limits import US_PER_S
from cedarwick.fleet.membership import MemberStatus
from cedarwick.fleet.messages import (
    Body,
    ClaimReply,
    SessionClaim,
    SessionInheritance,
    SessionLocations,
)
from cedarwick.fleet.migration_planner import MigrationRequest
from cedarwick.fleet.peer_client import Peers
from cedarwick.fleet.ports import SessionHost
from cedarwick.fleet.recent_ids import RecentIds
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.session_migration import SessionMigrations
from cedarwick.fleet.session_wire import entry_of
from cedarwick.fleet.sessions import (
    CLAIM_TIMEOUT_US,
    ClaimAnswer,
    ClaimRequest,
    SessionDirectory,
)
from cedarwick.net.client_listener import ClientListener
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.submission import Submission

MAX_CALLS_IN_FLIGHT = 16  # peer messages to one member that wait for their answers


class InheritableSessions(NamedTuple):
    """The sessions of an adopted partition that this member may inherit, with their recent message ids."""

    owner: str  # the member that accepted the messages with these ids
    complete_at: int  # by the boot clock; until then recent ids may be missing
    recent_ids: dict[int, dict[str, tuple[int, int]]]  # by session: when they came, and the hash of what came with them
    inherited_keys: set[int]  # of the sessions that were inherited so far


class SessionState:
    """The state that the parts of the session router share."""

    def __init__(self, node: SessionHost) -> None:
        self.node = node
        self.name = node.name
        self.store = node.store
        self.fleet_files = node.fleet_files
        self.counters = node.counters
        self.clock = node.clock
        self.peers = Peers(node.verifier, node.addresses, MAX_CALLS_IN_FLIGHT)
        now = monotonic_time()
        self.directory = SessionDirectory(self.name, len(node.halls), now)
        self.migrations = SessionMigrations(
            node, self.directory, self._call, self._accepts_sessions, self._notify_change
        )
        self.moves = self.migrations.migration_table
        self.dispatcher: Dispatcher
        self.client_listener: ClientListener
        self.leaving = False
        self.changed = gevent.event.Event()  # something that a submission may wait for
        self.pending: dict[str, Submission] = {}  # by id: at the dispatcher
        self.requested_migrations: dict[int, tuple[MigrationRequest, int]] = {}  # and until when
        self.awaited_moves: dict[int, gevent.event.AsyncResult] = {}  # by key: operators wait for the end of its move
        self.locations_by_member: dict[str, SessionLocations] = {}  # what each member sent last
        self.first_incarnations: dict[str, int] = {}  # by member: its first boot known here
        # Members that have never run before, and know of no earlier boot of this one:
        self.members_without_history: set[str] = set()
        self.abandoned_members: set[str] = set()  # dead or gone ones, whose entries have been aged
        self.locations_sent_at = self.forgot_at = 0
        self.partition = 0  # in which the sessions that are held for sure were taken
        self.replica_recent_ids: dict[int, RecentIds] = {}  # by partition, of the replicas here
        self.inheritable_sessions: dict[int, InheritableSessions] = {}  # by partition that was adopted here

    def _routing_state(self, key: int) -> tuple[Literal["here", "wait", "pass"], str]:
        """As `MigrationTable.routing_state`, except that a session which has moved away and come back is here."""
        there, to = self.moves.routing_state(key)
        return ("here", "") if there == "pass" and key in self.directory.sessions else (there, to)

    def _is_alive(self, name: str) -> bool:
        return name != self.name and self.node.members.status(monotonic_time(), name) is MemberStatus.ALIVE

    def _wait_for_change(self, until: int) -> bool:
        """Wait until `until` for a change; returns whether there was one."""
        return self.changed.wait(max(0, until - monotonic_time()) / US_PER_S) is True

    def _notify_change(self) -> None:
        changed, self.changed = self.changed, gevent.event.Event()
        changed.set()

    def _mark_unsure_after_takeover(self) -> None:
        """Called before each ruling: after a change of the open partition no held session is certain any more."""
        current = self.store.open_partition
        if current is not None and current.partition != self.partition:
            if self.partition:
                self.directory.mark_all_unsure()
                self.migrations.staged_before_adoption = set(self.migrations.staged_offers)
            self.partition = current.partition

    def _accepts_sessions(self) -> bool:
        return not (self.leaving or self.node.leaving or self.client_listener.paused) and self.store.accepts_messages()

    def _call(self, name: str, body: Body, within_s: float) -> Body | None:
        return counted_call(self.peers.call, name, body, within_s, self.counters, "sessions")

    def _claim(self, key: int) -> bool:
        """Claim a session from all members; returns whether a claim was made, so that it can be ruled on again."""
        # Only while messages can be taken: until the next partition is held, a successor of the last one may still be
        # granted a session that is claimed anew here.
        request = self.directory.begin_claim(key, monotonic_time()) if self.store.accepts_messages() else None
        if request is None:
            return False
        self._ask_all(request, SessionClaim(request.key, request.sequence, *request.over, request.at))
        self.counters.add("sessions claimed" if key in self.directory.sessions else "claims that failed")
        return True

    def _ask_all(self, request: ClaimRequest, body: SessionClaim | SessionInheritance) -> None:
        """Send a claim to all others; return once it is granted, all have answered, or `CLAIM_TIMEOUT_US` is over."""
        over = gevent.event.Event()
        others = [name for name in self.node.halls if name != self.name]
        answered: list[str] = []

        def ask(name: str) -> None:
            answer = self._call(name, body, CLAIM_TIMEOUT_US / US_PER_S)
            if isinstance(answer, ClaimReply):
                claim = ClaimAnswer(answer.granted, entry_of(answer.entry))
                if self.directory.record_claim_answer(request, name, claim, monotonic_time()):
                    self._notify_change()
                    over.set()
            answered.append(name)
            if len(answered) == len(others):
                over.set()

        for name in others:
            gevent.spawn(ask, name)
        over.wait(CLAIM_TIMEOUT_US / US_PER_S)
