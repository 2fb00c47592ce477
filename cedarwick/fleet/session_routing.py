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
from cedarwick.fleet.migration_state import SECOND, SESSIONS
from cedarwick.fleet.ports import SessionHost
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.session_files import HeldSession, Sessions
from cedarwick.fleet.session_submissions import SessionSubmissions
from cedarwick.fleet.session_wire import entry_of, lodging_of
from cedarwick.fleet.sessions import (
    LAPSES,
    Claim,
    ClaimRequest,
)
from cedarwick.net.client_listener import ClientListener
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.ops.commands import Call
from cedarwick.ops.management import ManagementCommands

GOSSIP = 250_000  # microseconds between two peer messages of session locations to each member
MIN_GOSSIP_SESSIONS = 256  # sessions in one peer message at least: a 40th of all that are held, and so all in 10 s
MAX_GOSSIP_SESSIONS = 4096
WISHES = 256  # looked at in one turn
HANDED_OVER = 5_000_000  # microseconds after the end of a process in which its successor goes on with its sessions
MOVED_IN = 1.5  # seconds that `MOVE` waits for the result of a move


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
    remedy = "see that the taker lives, is not drained and has room, then move it again; a moved one waits 60 s"


class SessionRouter(SessionSubmissions):
    """Routes submissions and plans moves. Nothing is sent or taken before `attach`."""

    def __init__(self, node: SessionHost) -> None:
        super().__init__(node)
        if self.store.by_copy:
            node.replicas.on_step = self._copied

    def attach(self, staff: ManagementCommands, client_listener: ClientListener, dispatcher: Dispatcher) -> None:
        """Take clients' submissions and operators' `MOVE` commands; called before the first peer message."""
        self.dispatcher = self.transfers.dispatcher = dispatcher
        self.take_up()
        self.client_listener = client_listener
        client_listener.hand_in = self.hand_in
        staff.moves = self.moved_by_hand

    def stop(self) -> None:
        """Close the connections to the other members."""
        self.lane.close()

    def replace(self) -> None:
        """Called when the node has a new list of members."""
        self.lane.replace(self.node.where)
        self.moves.voters = tuple(sorted(self.node.halls))
        self.directory.members = len(self.node.halls)

    def take_up(self) -> None:
        """Go on with the sessions of the process that this one replaces, if it ended a moment ago."""
        left, now = self.transfers.files.take_sessions(), monotonic_time()
        age = time.time_ns() // 1000 - left.at if left is not None else 0
        # An older file, or one from the future, may name sessions that others hold by now.
        if left is not None and 0 <= age < HANDED_OVER:
            for each in left.held:
                ids = {id: (then + age, hashed) for id, (then, hashed) in each.ids.items()}
                self.directory.hold(each.key, each.sequence, ids, now)
            self.partition = left.partition  # if it was adopted meanwhile, `_bind` makes the sessions unsure
            logger.info("{} sessions of the process before go on", len(left.held))

    def hand_over(self) -> None:
        """Write the held sessions for the process that replaces this one; raises `OSError`."""
        now = monotonic_time()
        self._bind()
        held = [
            HeldSession(key, session.sequence, self.directory.ids(key, now))
            for key, session in self.directory.sessions.items()
            if session.sure and session.used >= now - LAPSES and self._standing(key)[0] == "here"
        ]
        self.transfers.files.write_sessions(Sessions(time.time_ns() // 1000, held, self.partition))
        self.directory.sessions.clear()

    def leave(self) -> None:
        """Begin to move all sessions to other members, since this sender ends."""
        self.leaving = True

    def left(self) -> bool:
        """Whether no move from here is under way, and no session is held that another member would take."""
        held = self.directory.sessions and any(each.takes for each in self._neighbours())
        return not held and not self.transfers.under_way_here()

    def heard(self, sender: str, incarnation: int, body: Body) -> Body | None:
        """The answer to another member's peer message; None if it is not about sessions."""
        now = monotonic_time()
        if isinstance(body, ForwardedSubmit):
            return self._passed(sender, body)
        if isinstance(body, SessionLocations):
            first = self.lasting.first and self.first_seen.setdefault(sender, incarnation) == incarnation
            self._locations_heard(sender, body, now)
            return self._lodgings((), first)
        if isinstance(body, SessionClaim):
            asking = ClaimRequest(body.key, body.sequence, (body.over, body.over_holder), body.at)
            # Refused during a move: decided late, it would make a second holder beside the claimer.
            moving = self.transfers.open_move(body.key)
            claim = Claim(False, None) if moving else self.directory.claimed(asking, sender, now)
            return ClaimReply(claim.granted, lodging_of(claim.entry))
        if isinstance(body, SessionInheritance):
            asking = ClaimRequest(body.key, body.sequence, (body.over, body.over_holder), body.at)
            claim = self._successor_claims(asking, body.partition, sender, now)
            return ClaimReply(claim.granted, lodging_of(claim.entry))
        if isinstance(body, RecallForward):
            return self._recalled(body)
        if isinstance(body, StageSession | PrepareRequest | AcceptRequest | MigrationDecided):
            return self.transfers.answer(body, now)
        return None

    def look(self, now: int) -> None:
        """Do what is due now; called by the node at each turn, never waits."""
        self._bind()
        for name in self.node.halls:
            if name == self.name or self.node.members.status(now, name) not in (MemberStatus.DEAD, MemberStatus.LEFT):
                self.void.discard(name)
            elif name not in self.void:
                self.void.add(name)
                self.directory.without(name, now)
        if now - self.gossiped_at >= GOSSIP:
            self.gossiped_at = now
            self._gossip(now)
        if now - self.forgot_at >= SECOND:
            self.forgot_at = now
            self.directory.forget(now)
            self.transfers.forget(now)
            for known in (self.memories, self.estates):
                for partition in [partition for partition in known if partition not in self.node.adoptions]:
                    del known[partition]
        self.transfers.look(now)
        self._plan(now)
        self._see_ends()

    def _gossip(self, now: int) -> None:
        # Without a valid lease nothing is sent: after a long pause others may hold these sessions by now.
        most = (
            min(MAX_GOSSIP_SESSIONS, MIN_GOSSIP_SESSIONS + len(self.directory.sessions) // 40)
            if self.store.taking()
            else 0
        )
        news = self.directory.news(most, now)
        locations = tuple(lodging for entry in news if (lodging := lodging_of(entry)) is not None)
        for name in self.node.halls:
            if name != self.name:
                gevent.spawn(self._tell_news, name, locations)

    def _tell_news(self, name: str, news: tuple[SessionLocation, ...]) -> None:
        first = self.lasting.first and name not in self.first_seen
        answer = self._call(name, self._lodgings(news, first), GOSSIP / SECOND)
        if not isinstance(answer, SessionLocations):
            return
        now = monotonic_time()
        self._locations_heard(name, answer, now)
        self.transfers.learned(name, answer.stamp)
        # Only if no member has run before: one that forgot sessions must wait until ids of that time cannot come again.
        if answer.first and self.lasting.first:
            self.new.add(name)
            if len(self.new) == len(self.node.halls) - 1 and self.directory.grants_at > now:
                self.directory.grants_at = now
                logger.info("sessions may be opened: no member has run before")

    def _lodgings(self, news: tuple[SessionLocation, ...], first: bool) -> SessionLocations:
        return SessionLocations(news, len(self.directory.sessions), self._takes(), self.transfers.stamp, first)

    def _locations_heard(self, name: str, body: SessionLocations, now: int) -> None:
        self.neighbours[name] = body
        self.directory.heard([entry for lodging in body.news if (entry := entry_of(lodging)) is not None], now)

    def _neighbours(self) -> list[Neighbour]:
        now, halls, members = monotonic_time(), self.node.halls, self.node.members
        return [
            Neighbour(
                name,
                halls[name],
                location.held,
                SESSIONS,
                not members.notes(now, name),
                location.takes and members.status(now, name) is MemberStatus.ALIVE,
            )
            for name, location in self.neighbours.items()
            if name in halls
        ]

    def _plan(self, now: int) -> None:
        self.wishes = {key: each for key, each in self.wishes.items() if each[1] > now}
        wishes = [wish for wish, _ in self.wishes.values()]
        if self.leaving or self.client_listener.paused:
            why = MigrationReason.LEAVING if self.leaving else MigrationReason.FAILING
            wishes += [
                MigrationRequest(key, why)
                for key in self.directory.sessions
                if key not in self.transfers.planner.out and key not in self.transfers.planner.off
            ][:WISHES]
        for key, to in self.transfers.planner.plan(wishes, self._neighbours(), now) if wishes else ():
            self.transfers.begin(key, to, now)

    def moved_by_hand(self, call: Call) -> str:
        """Carry out the command `MOVE KEY SENDER` and return its answer.

        Raises `InvalidMoveError`, `SessionNotHeldError`, or `SessionNotMovedError` after `MOVED_IN` seconds.
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
            raise SessionNotHeldError(f"{key:016x} is held by {self.directory.where(key) or 'nobody'}")
        self.wishes[key] = MigrationRequest(key, MigrationReason.STAFF, to), monotonic_time() + SECOND
        end = self.ends.setdefault(key, gevent.event.AsyncResult())
        if not end.wait(MOVED_IN):
            self.ends.pop(key, None)
            raise SessionNotMovedError(f"{key:016x} stays at {self.name}")
        return f"YES {key:016x} moved to {end.get()}\n"

    def _see_ends(self) -> None:
        for key in [key for key in self.ends if self.directory.where(key) not in (None, self.name)]:
            self.wishes.pop(key, None)
            self.ends.pop(key).set(self.directory.where(key))
