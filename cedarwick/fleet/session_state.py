"""What a member knows of sessions, and its peer messages about them: the base of the parts of `SessionRouter`.

Times are microseconds of the boot clock (`monotonic_time`) unless a name ends in `_s` (seconds).
"""

from typing import Literal, NamedTuple

import gevent
import gevent.event

from cedarwick.errors import CedarwickError
from cedarwick.fleet.membership import MemberStatus
from cedarwick.fleet.messages import (
    Body,
    ClaimReply,
    SessionClaim,
    SessionInheritance,
    SessionLocations,
)
from cedarwick.fleet.migration_planner import MigrationRequest
from cedarwick.fleet.migration_state import SECOND
from cedarwick.fleet.peer_client import Peers
from cedarwick.fleet.ports import SessionHost
from cedarwick.fleet.recent_ids import RecentIds
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.session_migration import SessionMigrations
from cedarwick.fleet.session_wire import entry_of
from cedarwick.fleet.sessions import (
    CLAIM,
    Claim,
    ClaimRequest,
    SessionDirectory,
)
from cedarwick.fleet.transport import PeerRefusedError, PeerUnreachableError
from cedarwick.net.client_listener import ClientListener
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.submission import Submission

AT_ONCE = 16  # peer messages to one member that wait for their answers


class InheritedSessions(NamedTuple):
    """The recent message ids of a partition that this member has adopted."""

    owner: str  # who took them
    whole_at: int  # by the boot clock; until then recent ids may be missing
    ids: dict[int, dict[str, tuple[int, int]]]  # by session: when they came, and the hash of what came with them
    keys: set[int]  # inherited


class SessionState:
    """The state that the parts of the session router share."""

    def __init__(self, node: SessionHost) -> None:
        self.node = node
        self.name = node.name
        self.store = node.store
        self.lasting = node.lasting
        self.counters = node.counters
        self.clock = node.clock
        self.lane = Peers(node.gate, node.where, AT_ONCE)
        now = monotonic_time()
        self.directory = SessionDirectory(self.name, len(node.halls), now)
        self.transfers = SessionMigrations(node, self.directory, self._call, self._takes, self._change)
        self.moves = self.transfers.moves
        self.dispatcher: Dispatcher
        self.client_listener: ClientListener
        self.leaving = False
        self.changed = gevent.event.Event()  # something that a submission may wait for
        self.pending: dict[str, Submission] = {}  # by id: at the dispatcher
        self.wishes: dict[int, tuple[MigrationRequest, int]] = {}  # and until when
        self.ends: dict[int, gevent.event.AsyncResult] = {}  # by key: staff wait for the end of its move
        self.neighbours: dict[str, SessionLocations] = {}  # what each member sent last
        self.first_seen: dict[str, int] = {}  # by member: its first boot known here
        self.new: set[str] = set()  # members that have never run before, and know of no earlier boot of this one
        self.void: set[str] = set()  # members whose sessions were given up
        self.gossiped_at = self.forgot_at = 0
        self.partition = 0  # in which the sessions that are held for sure were taken
        self.memories: dict[int, RecentIds] = {}  # by partition, of the copies that lie here
        self.estates: dict[int, InheritedSessions] = {}  # by partition that was adopted here

    def _standing(self, key: int) -> tuple[Literal["here", "wait", "pass"], str]:
        """As `Moves.standing`, except that a session which has moved away and come back is here."""
        there, to = self.moves.standing(key)
        return ("here", "") if there == "pass" and key in self.directory.sessions else (there, to)

    def _lives(self, name: str) -> bool:
        return name != self.name and self.node.members.status(monotonic_time(), name) is MemberStatus.ALIVE

    def _wait(self, until: int) -> bool:
        """Wait until `until` for a change; returns whether there was one."""
        return self.changed.wait(max(0, until - monotonic_time()) / SECOND) is True

    def _change(self) -> None:
        changed, self.changed = self.changed, gevent.event.Event()
        changed.set()

    def _bind(self) -> None:
        """Called before each ruling: after a change of the open partition no held session is certain any more."""
        current = self.store.open_partition
        if current is not None and current.partition != self.partition:
            if self.partition:
                self.directory.unsure()
                self.transfers.slept = set(self.transfers.offers)
            self.partition = current.partition

    def _takes(self) -> bool:
        return not (self.leaving or self.node.leaving or self.client_listener.paused) and self.store.taking()

    def _call(self, name: str, body: Body, within_s: float) -> Body | None:
        try:
            return self.lane.call(name, body, within_s)
        except PeerUnreachableError:
            self.counters.add(f"peer messages about sessions without an answer: {name}")
        except PeerRefusedError as error:
            self.counters.warning(f"{name} refused a peer message about sessions", error)
        except CedarwickError as error:
            self.counters.warning("a peer message about sessions that was not sent", error)
        return None

    def _claim(self, key: int) -> bool:
        """Claim a session from all members; returns whether a claim was made, so that it can be ruled on again."""
        # Only while messages can be taken: until the next partition is held, a successor of the last one may still be
        # granted a session that is claimed anew here.
        asking = self.directory.claim(key, monotonic_time()) if self.store.taking() else None
        if asking is None:
            return False
        self._ask_all(asking, SessionClaim(asking.key, asking.sequence, *asking.over, asking.at))
        self.counters.add("sessions claimed" if key in self.directory.sessions else "claims that failed")
        return True

    def _ask_all(self, asking: ClaimRequest, body: SessionClaim | SessionInheritance) -> None:
        """Send a claim to all others; returns once it is granted, all have answered, or `CLAIM` has passed."""
        over = gevent.event.Event()
        others = [name for name in self.node.halls if name != self.name]
        answered: list[str] = []

        def ask(name: str) -> None:
            answer = self._call(name, body, CLAIM / SECOND)
            if isinstance(answer, ClaimReply):
                claim = Claim(answer.granted, entry_of(answer.entry))
                if self.directory.answered(asking, name, claim, monotonic_time()):
                    self._change()
                    over.set()
            answered.append(name)
            if len(answered) == len(others):
                over.set()

        for name in others:
            gevent.spawn(ask, name)
        over.wait(CLAIM / SECOND)
