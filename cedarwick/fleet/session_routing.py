"""The session router of a member: which member takes a client's submission, and which sessions move when.

The rules are in `sessions.py` and `migration_table.py`, the I/O of a move in `session_migration.py`. Peer messages
about sessions may wait for frozen sessions and for copies, so they use connections of their own: heartbeats and lease
requests must not queue behind them. Times are microseconds unless stated otherwise.
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
from cedarwick.fleet.session_wire import entry_of, location_of
from cedarwick.fleet.sessions import (
    SESSION_TTL_US,
    ClaimAnswer,
    ClaimRequest,
)
from cedarwick.net.client_listener import ClientListener
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.ops.commands import Call
from cedarwick.ops.management import ManagementCommands

LOCATIONS_INTERVAL_US = 250_000  # microseconds between two peer messages of session locations to each member
UPDATES_PER_ROUND = 40  # in which all held sessions are sent, so in 10 s
MIN_LOCATIONS_PER_UPDATE = 256  # beside the share of the round
MAX_LOCATIONS_PER_UPDATE = 4096  # the limit of the peer message
FORGET_INTERVAL_US = 1_000_000  # between two searches for what is old
OPERATOR_REQUEST_TTL_US = 1_000_000  # for which `MOVE` tries to begin the migration
MAX_PLANNED_REQUESTS = 256  # migrations of a leaving or failing sender that are planned in one turn
MAX_HANDOVER_AGE_US = 5_000_000  # after the end of a process, for its successor to go on with its sessions
MOVE_COMMAND_TIMEOUT_S = 1.5  # seconds that `MOVE` waits for the result of a move


class InvalidMoveError(CedarwickError):
    """An operator names a session or a sender that cannot be."""

    code = "CW751"
    remedy = "send MOVE KEY SENDER: the key in 1 to 16 hexadecimal digits, not zero, and another member's name"


class SessionNotHeldError(CedarwickError):
    """An operator asks for the move of a session that this sender does not hold."""

    code = "CW752"
    remedy = "ask the sender that is named; a session without one is opened where its client comes next"


class SessionNotMovedError(CedarwickError):
    """A session stays where it was."""

    code = "CW753"
    remedy = "see that the target lives, is not drained and has room, then move it again; a moved one waits 60 s"


class SessionRouter(SessionSubmissions):
    """Routes submissions and plans moves. Nothing is sent or taken before `attach`."""

    def __init__(self, node: SessionHost) -> None:
        super().__init__(node)
        if self.store.ack_after_replication:
            node.replicas.on_step = self._copied

    def attach(self, commands: ManagementCommands, client_listener: ClientListener, dispatcher: Dispatcher) -> None:
        """Take clients' submissions and operators' `MOVE` commands; called before the first peer message."""
        self.dispatcher = self.migrations.dispatcher = dispatcher
        self.restore_sessions()
        self.client_listener = client_listener
        client_listener.submit_message = self.hand_in
        commands.move_handler = self.move_on_command

    def stop(self) -> None:
        """Close the connections to the other members."""
        self.peers.close()

    def replace(self) -> None:
        """Called when the node has a new list of members."""
        self.peers.replace(self.node.addresses)
        self.moves.voters = tuple(sorted(self.node.halls))
        self.directory.members = len(self.node.halls)

    def restore_sessions(self) -> None:
        """Go on with the sessions of the process that this one replaces, if it ended a moment ago."""
        previous, now = self.migrations.files.read_and_delete_sessions(), monotonic_time()
        age = time.time_ns() // 1000 - previous.written_at_us if previous is not None else 0
        # An older file, or one from the future, may name sessions that others hold by now.
        if previous is not None and 0 <= age < MAX_HANDOVER_AGE_US:
            for each in previous.sessions:
                ids = {id: (then + age, hashed) for id, (then, hashed) in each.ids.items()}
                self.directory.hold(each.key, each.sequence, ids, now)
            self.partition = previous.partition  # if it was adopted meanwhile, `_mark_unsure_after_takeover` sees it
            logger.info("{} sessions of the process before go on", len(previous.sessions))

    def hand_over(self) -> None:
        """Write the held sessions for the process that replaces this one; raises `OSError`."""
        now = monotonic_time()
        self._mark_unsure_after_takeover()
        held = [
            HeldSession(key, session.sequence, self.directory.recent_ids(key, now))
            for key, session in self.directory.sessions.items()
            if session.sure and session.used >= now - SESSION_TTL_US and self._routing_state(key)[0] == "here"
        ]
        self.migrations.files.write_sessions(HeldSessions(time.time_ns() // 1000, held, self.partition))
        self.directory.sessions.clear()

    def leave(self) -> None:
        """Begin to move all sessions to other members, since this sender ends."""
        self.leaving = True

    def left(self) -> bool:
        """Whether no move from here is under way, and no session is held that another member would take."""
        held = self.directory.sessions and any(each.accepts_sessions for each in self._neighbours())
        return not held and not self.migrations.has_outgoing_moves()

    def heard(self, sender: str, incarnation: int, body: Body) -> Body | None:
        """The answer to another member's peer message; None if it is not about sessions."""
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
            return ClaimReply(answer.granted, location_of(answer.entry))
        if isinstance(body, RecallForward):
            return self._answer_recall(body)
        if isinstance(body, StageSession | PrepareRequest | AcceptRequest | MigrationDecided):
            return self.migrations.answer_peer_message(body, now)
        return None

    def _answer_claim(self, sender: str, body: SessionClaim | SessionInheritance, now: int) -> ClaimAnswer:
        request = ClaimRequest(body.key, body.sequence, (body.replaced_sequence, body.replaced_holder), body.at)
        if isinstance(body, SessionInheritance):
            return self._answer_inheritance(request, body.partition, sender, now)
        # Refused during a move: decided late, it would make a second holder beside the claimer.
        if self.migrations.has_open_move(body.key):
            return ClaimAnswer(False, None)
        return self.directory.answer_claim(request, sender, now)

    def look(self, now: int) -> None:
        """Do what is due now; called by the node at each turn, never waits."""
        self._mark_unsure_after_takeover()
        self._expire_entries_of_dead_members(now)
        if now - self.locations_sent_at >= LOCATIONS_INTERVAL_US:
            self.locations_sent_at = now
            self._send_locations_to_all(now)
        if now - self.forgot_at >= FORGET_INTERVAL_US:
            self.forgot_at = now
            self._forget(now)
        self.migrations.run_due_steps(now)
        self._plan(now)
        self._answer_move_commands()

    def _expire_entries_of_dead_members(self, now: int) -> None:
        for name in self.node.halls:
            if name == self.name or self.node.members.status(now, name) not in (MemberStatus.DEAD, MemberStatus.LEFT):
                self.abandoned_members.discard(name)
            elif name not in self.abandoned_members:
                self.abandoned_members.add(name)
                self.directory.expire_entries_of(name, now)

    def _forget(self, now: int) -> None:
        """Drop what is old."""
        self.directory.forget(now)
        self.migrations.remove_expired(now)
        for known in (self.replica_recent_ids, self.inheritable_sessions):
            for partition in [partition for partition in known if partition not in self.node.takeovers]:
                del known[partition]

    def _send_locations_to_all(self, now: int) -> None:
        # Without a valid lease nothing is sent: after a long pause others may hold these sessions by now.
        limit = 0
        if self.store.accepts_messages():
            share = len(self.directory.sessions) // UPDATES_PER_ROUND
            limit = min(MAX_LOCATIONS_PER_UPDATE, MIN_LOCATIONS_PER_UPDATE + share)
        entries = self.directory.next_locations(limit, now)
        locations = tuple(location for entry in entries if (location := location_of(entry)) is not None)
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
        # Only if no member has run before: one that forgot sessions must wait until ids of that time cannot come again.
        if answer.is_first_run and self.fleet_files.is_first_boot:
            self.members_without_history.add(name)
            if len(self.members_without_history) == len(self.node.halls) - 1 and self.directory.grants_at > now:
                self.directory.grants_at = now
                logger.info("sessions may be opened: no member has run before")

    def _location_update(self, locations: tuple[SessionLocation, ...], first: bool) -> SessionLocations:
        return SessionLocations(
            locations, len(self.directory.sessions), self._accepts_sessions(), self.migrations.next_stamp, first
        )

    def _receive_locations(self, name: str, body: SessionLocations, now: int) -> None:
        self.locations_by_member[name] = body
        entries = [entry for location in body.locations if (entry := entry_of(location)) is not None]
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

    def _plan(self, now: int) -> None:
        self.requested_migrations = {key: each for key, each in self.requested_migrations.items() if each[1] > now}
        requests = [request for request, _ in self.requested_migrations.values()]
        if self.leaving or self.client_listener.paused:
            why = MigrationReason.LEAVING if self.leaving else MigrationReason.FAILING
            requests += [
                MigrationRequest(key, why)
                for key in self.directory.sessions
                if key not in self.migrations.planner.targets and key not in self.migrations.planner.paused_until
            ][:MAX_PLANNED_REQUESTS]
        for key, to in self.migrations.planner.plan(requests, self._neighbours(), now) if requests else ():
            self.migrations.begin(key, to, now)

    def move_on_command(self, call: Call) -> str:
        """Carry out the command `MOVE KEY SENDER` and return its answer.

        Raises `InvalidMoveError`, `SessionNotHeldError`, or `SessionNotMovedError` after a while.
        """
        text, _, to = call.argument.partition(" ")
        try:
            key = int(text, 16) if len(text) <= 16 and text.isalnum() else 0
        except ValueError:
            key = 0
        if not key:
            raise InvalidMoveError(f"{text[:40]!r} is no key of a session")
        if to not in self.node.halls or to == self.name:
            raise InvalidMoveError(f"{to[:64]!r} is no other member")
        if key not in self.directory.sessions:
            raise SessionNotHeldError(f"{key:016x} is held by {self.directory.holder_of(key) or 'nobody'}")
        self.requested_migrations[key] = (
            MigrationRequest(key, MigrationReason.OPERATOR, to),
            monotonic_time() + OPERATOR_REQUEST_TTL_US,
        )
        end = self.awaited_moves.setdefault(key, gevent.event.AsyncResult())
        if not end.wait(MOVE_COMMAND_TIMEOUT_S):
            self.awaited_moves.pop(key, None)
            raise SessionNotMovedError(f"{key:016x} stays at {self.name}")
        return f"YES {key:016x} moved to {end.get()}\n"

    def _answer_move_commands(self) -> None:
        for key in [key for key in self.awaited_moves if self.directory.holder_of(key) not in (None, self.name)]:
            self.requested_migrations.pop(key, None)
            self.awaited_moves.pop(key).set(self.directory.holder_of(key))
