"""The state shared by the parts of `SessionRouter`, their common base class, and the sending of claims.

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
from cedarwick.fleet.session_wire import entry_from_location
from cedarwick.fleet.sessions import (
    CLAIM_TIMEOUT_US,
    ClaimAnswer,
    ClaimRequest,
    SessionDirectory,
)
from cedarwick.net.client_listener import ClientListener
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.submission import Submission

MAX_CALLS_IN_FLIGHT = 16  # unanswered peer messages to one member


class InheritableSessions(NamedTuple):
    """The recent ids of an adopted partition, whose sessions this member may inherit."""

    owner: str  # the member that accepted the messages with these ids, and held the sessions
    complete_at: int  # boot clock; until then recent ids may be missing
    recent_ids: dict[int, dict[str, tuple[int, int]]]  # by session key: when accepted, and the contents hash
    inherited_keys: set[int]  # of the sessions inherited so far


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
        self.local_migrations = self.migrations.migration_table
        self.dispatcher: Dispatcher
        self.client_listener: ClientListener
        self.leaving = False
        self.change_event = gevent.event.Event()  # set and replaced at each change that a submission may wait for
        self.pending_submissions: dict[str, Submission] = {}  # by id, those without an answer of the dispatcher
        self.requested_migrations: dict[int, tuple[MigrationRequest, int]] = {}  # by key; and until when
        self.awaited_move_results: dict[int, gevent.event.AsyncResult] = {}  # by key, for `MOVE` commands that wait
        self.locations_by_member: dict[str, SessionLocations] = {}  # the last update of each member
        self.first_incarnations: dict[str, int] = {}  # by member, of the first process of it that is known here
        # Members that run for the first time, and know of no earlier process of this member:
        self.members_without_earlier_run: set[str] = set()
        self.members_with_expired_entries: set[str] = set()  # dead members, and those that left
        self.locations_sent_at = self.cleaned_up_at = 0
        self.sessions_partition = 0  # the open partition in which the certain sessions are held
        self.replica_recent_ids: dict[int, RecentIds] = {}  # by partition, of the replicas at this member
        self.inheritable_sessions: dict[int, InheritableSessions] = {}  # by partition adopted at this member

    def _routing_state(self, key: int) -> tuple[Literal["here", "wait", "pass"], str]:
        """As `MigrationTable.routing_state`, except that a session that moved away and came back is "here"."""
        route, target = self.local_migrations.routing_state(key)
        return ("here", "") if route == "pass" and key in self.directory.sessions else (route, target)

    def _is_alive(self, name: str) -> bool:
        return name != self.name and self.node.members.status(monotonic_time(), name) is MemberStatus.ALIVE

    def _wait_for_change(self, deadline: int) -> bool:
        """Wait for a change, at most until `deadline`; returns whether there was one."""
        return self.change_event.wait(max(0, deadline - monotonic_time()) / US_PER_S) is True

    def _notify_change(self) -> None:
        previous_event, self.change_event = self.change_event, gevent.event.Event()
        previous_event.set()

    def _mark_uncertain_after_takeover(self) -> None:
        """Mark all held sessions as uncertain after a change of the open partition; called before each ruling."""
        current = self.store.open_partition
        if current is not None and current.partition != self.sessions_partition:
            if self.sessions_partition:
                self.directory.mark_all_uncertain()
                self.migrations.staged_before_adoption = set(self.migrations.staged_offers)
            self.sessions_partition = current.partition

    def _accepts_sessions(self) -> bool:
        return not (self.leaving or self.node.leaving or self.client_listener.paused) and self.store.accepts_messages()

    def _call(self, name: str, body: Body, within_s: float) -> Body | None:
        return counted_call(self.peers.call, name, body, within_s, self.counters, "sessions")

    def _claim(self, key: int) -> bool:
        """Claim a session from all members; returns whether a claim was made, so that a new ruling may differ."""
        # Only while messages can be accepted: until this member has its next partition, a successor of the last one may
        # still be granted a session that is claimed again here.
        request = self.directory.begin_claim(key, monotonic_time()) if self.store.accepts_messages() else None
        if request is None:
            return False
        self._ask_all(request, SessionClaim(request.key, request.sequence, *request.replaced, request.claimed_at))
        self.counters.add("sessions claimed" if key in self.directory.sessions else "claims that failed")
        return True

    def _ask_all(self, request: ClaimRequest, body: SessionClaim | SessionInheritance) -> None:
        """Send a claim to all other members; returns when it is granted, all have answered, or it times out."""
        done = gevent.event.Event()
        others = [name for name in self.node.halls if name != self.name]
        answered: list[str] = []

        def send_claim(name: str) -> None:
            answer = self._call(name, body, CLAIM_TIMEOUT_US / US_PER_S)
            if isinstance(answer, ClaimReply):
                claim = ClaimAnswer(answer.granted, entry_from_location(answer.entry))
                if self.directory.record_claim_answer(request, name, claim, monotonic_time()):
                    self._notify_change()
                    done.set()
            answered.append(name)
            if len(answered) == len(others):
                done.set()

        for name in others:
            gevent.spawn(send_claim, name)
        done.wait(CLAIM_TIMEOUT_US / US_PER_S)
