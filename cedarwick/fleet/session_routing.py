"""The session router of a member: which member accepts a client's submission, and which sessions move when.

The rules are in `sessions.py` and `migration_table.py`, the I/O of a move is in `session_migration.py`. Peer messages
about sessions may wait for frozen sessions and for replicas. They therefore use connections of their own, so that
heartbeats and lease requests do not queue behind them. Times are microseconds unless stated otherwise.
"""

import time

import gevent
import gevent.event
from loguru import logger

from cedarwick.errors import CedarwickError
from cedarwick.fleet.limits import US_PER_S
from cedarwick.fleet.membership import MemberStatus
from cedarwick.fleet.messages import (
    AcceptRequest,
    Body,
    ClaimReply,
    ForwardedSubmit,
    MigrationDecided,
    PrepareRequest,
    RecallForward,
    SessionClaim,
    SessionInheritance,
    SessionLocation,
    SessionLocations,
    StageSession,
)
from cedarwick.fleet.migration_planner import MigrationReason, MigrationRequest, Neighbour
from cedarwick.fleet.migration_state import MAX_SESSIONS
from cedarwick.fleet.ports import SessionHost
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.session_files import HeldSession, HeldSessions
from cedarwick.fleet.session_submissions import SessionSubmissions
from cedarwick.fleet.session_wire import entry_from_location, location_from_entry
from cedarwick.fleet.sessions import (
    SESSION_TTL_US,
    ClaimAnswer,
    ClaimRequest,
)
from cedarwick.net.client_listener import ClientListener
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.ops.commands import Call
from cedarwick.ops.management import ManagementCommands

LOCATIONS_INTERVAL_US = 250_000  # microseconds between two location updates to a member
UPDATES_PER_ROUND = 40  # updates in which all held sessions are sent once, which takes 10 s
MIN_LOCATIONS_PER_UPDATE = 256  # in addition to the share of the round
MAX_LOCATIONS_PER_UPDATE = 4096  # as many as the peer message may hold
CLEANUP_INTERVAL_US = 1_000_000  # microseconds between two removals of expired data
OPERATOR_REQUEST_TTL_US = 1_000_000  # microseconds for which `MOVE` tries to begin the migration
MAX_PLANNED_REQUESTS = 256  # migrations that a leaving or failing sender plans in one step
MAX_HANDOVER_AGE_US = 5_000_000  # microseconds after the hand-over in which the next process may restore the sessions
MOVE_COMMAND_TIMEOUT_S = 1.5  # seconds for which `MOVE` waits for the move


class InvalidMoveError(CedarwickError):
    """The arguments of a `MOVE` command name no valid session key or no other member."""

    code = "CW751"
    remedy = "send MOVE KEY SENDER: the key in 1 to 16 hexadecimal digits, not zero, and another member's name"


class SessionNotHeldError(CedarwickError):
    """An operator requests the move of a session that this sender does not hold."""

    code = "CW752"
    remedy = "send it to the sender that is named; a session without a holder is opened where its client submits next"


class SessionNotMovedError(CedarwickError):
    """The move that an operator requested did not take place in time."""

    code = "CW753"
    remedy = (
        "check that the target is alive, not drained and has room, then retry; after a move a session stays for 60 s"
    )


class SessionRouter(SessionSubmissions):
    """Routes submissions and plans moves. It sends and accepts nothing before `attach`."""

    def __init__(self, node: SessionHost) -> None:
        super().__init__(node)
        if self.store.ack_after_replication:
            node.replicas.on_step = self._record_replica_step

    def attach(self, commands: ManagementCommands, client_listener: ClientListener, dispatcher: Dispatcher) -> None:
        """Begin to serve clients' submissions and operators' `MOVE` commands; called before the first peer message."""
        self.dispatcher = self.migrations.dispatcher = dispatcher
        self.restore_sessions()
        self.client_listener = client_listener
        client_listener.submit_message = self.route_submission
        commands.move_handler = self.handle_move_command

    def stop(self) -> None:
        """Close the connections to the other members."""
        self.peers.close()

    def update_members(self) -> None:
        """Adopt the node's list of members after a change."""
        self.peers.replace(self.node.addresses)
        self.local_migrations.voters = tuple(sorted(self.node.halls))
        self.directory.member_count = len(self.node.halls)

    def restore_sessions(self) -> None:
        """Restore the sessions of the process that this one replaces, if it ended recently."""
        previous, now = self.migrations.files.read_and_delete_sessions(), monotonic_time()
        age = time.time_ns() // 1000 - previous.written_at_us if previous is not None else 0
        # With an older file, or one from the future, other members may hold the sessions by now.
        if previous is not None and 0 <= age < MAX_HANDOVER_AGE_US:
            for each in previous.sessions:
                ids = {id: (id_age + age, contents_hash) for id, (id_age, contents_hash) in each.ids.items()}
                self.directory.hold(each.key, each.sequence, ids, now)
            self.sessions_partition = previous.partition  # `_mark_uncertain_after_takeover` checks for adoption
            logger.info("restored {} sessions of the previous process", len(previous.sessions))

    def hand_over(self) -> None:
        """Write the held sessions for the next process, and release them; raises `OSError`."""
        now = monotonic_time()
        self._mark_uncertain_after_takeover()
        held = [
            HeldSession(key, session.sequence, self.directory.recent_ids(key, now))
            for key, session in self.directory.sessions.items()
            if session.is_certain
            and session.last_used_at >= now - SESSION_TTL_US
            and self._routing_state(key)[0] == "here"
        ]
        self.migrations.files.write_sessions(HeldSessions(time.time_ns() // 1000, held, self.sessions_partition))
        self.directory.sessions.clear()

    def leave(self) -> None:
        """Begin to move all sessions to other members, as this sender shuts down."""
        self.leaving = True

    def is_drained(self) -> bool:
        """Whether no move from here is in progress, and no session is held that another member would accept."""
        held = self.directory.sessions and any(each.accepts_sessions for each in self._neighbours())
        return not held and not self.migrations.has_outgoing_moves()

    def handle_peer_message(self, sender: str, incarnation: int, body: Body) -> Body | None:
        """Return the answer to a peer message of another member; None if it is not about sessions."""
        now = monotonic_time()
        if isinstance(body, ForwardedSubmit):
            return self._answer_forwarded(sender, body)
        if isinstance(body, SessionLocations):
            first = (
                self.fleet_files.is_first_boot
                and self.first_incarnations.setdefault(sender, incarnation) == incarnation
            )
            self._receive_locations(sender, body, now)
            return self._location_update((), first)
        if isinstance(body, SessionClaim | SessionInheritance):
            answer = self._answer_claim(sender, body, now)
            return ClaimReply(answer.granted, location_from_entry(answer.entry))
        if isinstance(body, RecallForward):
            return self._answer_recall(body)
        if isinstance(body, StageSession | PrepareRequest | AcceptRequest | MigrationDecided):
            return self.migrations.answer_peer_message(body, now)
        return None

    def _answer_claim(self, sender: str, body: SessionClaim | SessionInheritance, now: int) -> ClaimAnswer:
        request = ClaimRequest(body.key, body.sequence, (body.replaced_sequence, body.replaced_holder), body.at)
        if isinstance(body, SessionInheritance):
            return self._answer_inheritance(request, body.partition, sender, now)
        # Refused during a move: if that is decided later, it would make a second holder beside the claimer.
        if self.migrations.has_open_move(body.key):
            return ClaimAnswer(False, None)
        return self.directory.answer_claim(request, sender, now)

    def look(self, now: int) -> None:
        """Do the work that is due; called by the node in each of its rounds, never blocks."""
        self._mark_uncertain_after_takeover()
        self._expire_entries_of_dead_members(now)
        if now - self.locations_sent_at >= LOCATIONS_INTERVAL_US:
            self.locations_sent_at = now
            self._send_locations_to_all(now)
        if now - self.cleaned_up_at >= CLEANUP_INTERVAL_US:
            self.cleaned_up_at = now
            self._clean_up(now)
        self.migrations.run_due_steps(now)
        self._plan_migrations(now)
        self._answer_move_commands()

    def _expire_entries_of_dead_members(self, now: int) -> None:
        for name in self.node.halls:
            if name == self.name or self.node.members.status(now, name) not in (MemberStatus.DEAD, MemberStatus.LEFT):
                self.members_with_expired_entries.discard(name)
            elif name not in self.members_with_expired_entries:
                self.members_with_expired_entries.add(name)
                self.directory.expire_entries_of(name, now)

    def _clean_up(self, now: int) -> None:
        """Remove expired data of sessions, moves and adopted partitions."""
        self.directory.clean_up(now)
        self.migrations.remove_expired(now)
        for known in (self.replica_recent_ids, self.inheritable_sessions):
            for partition in [partition for partition in known if partition not in self.node.takeovers]:
                del known[partition]

    def _send_locations_to_all(self, now: int) -> None:
        # Without a valid lease no entries are sent: after a long pause other members may hold these sessions.
        limit = 0
        if self.store.accepts_messages():
            share = len(self.directory.sessions) // UPDATES_PER_ROUND
            limit = min(MAX_LOCATIONS_PER_UPDATE, MIN_LOCATIONS_PER_UPDATE + share)
        entries = self.directory.next_locations(limit, now)
        locations = tuple(location for entry in entries if (location := location_from_entry(entry)) is not None)
        for name in self.node.halls:
            if name != self.name:
                gevent.spawn(self._send_locations, name, locations)

    def _send_locations(self, name: str, locations: tuple[SessionLocation, ...]) -> None:
        first = self.fleet_files.is_first_boot and name not in self.first_incarnations
        answer = self._call(name, self._location_update(locations, first), LOCATIONS_INTERVAL_US / US_PER_S)
        if not isinstance(answer, SessionLocations):
            return
        now = monotonic_time()
        self._receive_locations(name, answer, now)
        self.migrations.record_next_stamp(name, answer.next_stamp)
        # Sessions may be opened at once only if no member has run before. Otherwise a member that has lost its sessions
        # must wait until ids of that time cannot be submitted again.
        if answer.is_first_run and self.fleet_files.is_first_boot:
            self.members_without_earlier_run.add(name)
            if len(self.members_without_earlier_run) == len(self.node.halls) - 1 and self.directory.grants_from > now:
                self.directory.grants_from = now
                logger.info("sessions may be opened at once: no member has run before")

    def _location_update(self, locations: tuple[SessionLocation, ...], first: bool) -> SessionLocations:
        return SessionLocations(
            locations, len(self.directory.sessions), self._accepts_sessions(), self.migrations.next_stamp, first
        )

    def _receive_locations(self, name: str, body: SessionLocations, now: int) -> None:
        self.locations_by_member[name] = body
        entries = [entry for location in body.locations if (entry := entry_from_location(location)) is not None]
        self.directory.merge_entries(entries, now)

    def _neighbours(self) -> list[Neighbour]:
        now, halls, members = monotonic_time(), self.node.halls, self.node.members
        return [
            Neighbour(
                name,
                halls[name],
                location.session_count,
                MAX_SESSIONS,
                not members.notes(now, name),
                location.accepts_sessions and members.status(now, name) is MemberStatus.ALIVE,
            )
            for name, location in self.locations_by_member.items()
            if name in halls
        ]

    def _plan_migrations(self, now: int) -> None:
        self.requested_migrations = {key: each for key, each in self.requested_migrations.items() if each[1] > now}
        requests = [request for request, _ in self.requested_migrations.values()]
        if self.leaving or self.client_listener.paused:
            reason = MigrationReason.LEAVING if self.leaving else MigrationReason.FAILING
            requests += [
                MigrationRequest(key, reason)
                for key in self.directory.sessions
                if key not in self.migrations.planner.targets and key not in self.migrations.planner.paused_until
            ][:MAX_PLANNED_REQUESTS]
        for key, target in self.migrations.planner.plan(requests, self._neighbours(), now) if requests else ():
            self.migrations.begin(key, target, now)

    def handle_move_command(self, call: Call) -> str:
        """Carry out the command `MOVE KEY SENDER` and return its answer.

        Raises `InvalidMoveError`, `SessionNotHeldError`, or `SessionNotMovedError` after `MOVE_COMMAND_TIMEOUT_S`.
        """
        text, _, target = call.argument.partition(" ")
        try:
            key = int(text, 16) if len(text) <= 16 and text.isalnum() else 0
        except ValueError:
            key = 0
        if not key:
            raise InvalidMoveError(f"{text[:40]!r} is not a session key")
        if target not in self.node.halls or target == self.name:
            raise InvalidMoveError(f"{target[:64]!r} is not the name of another member")
        if key not in self.directory.sessions:
            raise SessionNotHeldError(f"{key:016x} is held by {self.directory.holder_of(key) or 'nobody'}")
        self.requested_migrations[key] = (
            MigrationRequest(key, MigrationReason.OPERATOR, target),
            monotonic_time() + OPERATOR_REQUEST_TTL_US,
        )
        end = self.awaited_move_results.setdefault(key, gevent.event.AsyncResult())
        if not end.wait(MOVE_COMMAND_TIMEOUT_S):
            self.awaited_move_results.pop(key, None)
            raise SessionNotMovedError(f"{key:016x} was not moved from {self.name} in time")
        return f"YES {key:016x} moved to {end.get()}\n"

    def _answer_move_commands(self) -> None:
        for key in [key for key in self.awaited_move_results if self.directory.holder_of(key) not in (None, self.name)]:
            self.requested_migrations.pop(key, None)
            self.awaited_move_results.pop(key).set(self.directory.holder_of(key))
