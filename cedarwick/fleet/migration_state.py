"""State and helpers that both sides of a session's migration (move) share.

`MigrationState` is the common base of the classes that make up `SessionMigrations`.
"""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

import gevent
import gevent.event

from cedarwick.errors import CedarwickError
from cedarwick.fleet.consensus import (
    Acceptor,
    Proposer,
    parse_move_name,
)
from cedarwick.fleet.messages import (
    Body,
    StageSession,
)
from cedarwick.fleet.migration_planner import MigrationPlanner
from cedarwick.fleet.migration_table import MigrationAction, MigrationStep, MigrationTable
from cedarwick.fleet.ports import SessionHost
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.session_files import SessionFiles
from cedarwick.fleet.sessions import SessionDirectory
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.store.files import NoSpaceError

VOTE_TIMEOUT_S = 0.3  # seconds for the answer to a vote request or a decision
STAGE_TIMEOUT_S = 0.45  # seconds for the answer to the offer of a session
MAX_SESSIONS = 10_000  # sessions that one sender holds at most
SOURCE_MARK, TARGET_MARK = "<", ">"  # first character of the mark of an inert message, by side
REPLICATION_TIMEOUT_US = 500_000  # microseconds within which every successor must have a record
REPLICATION_POLL_S = 0.002  # seconds between two checks of whether every successor has it
BALLOT_PAUSE_US = 50_000  # microseconds; doubled with each failed round it bounds the random pause until the next
MAX_PAUSE_DOUBLINGS = 5  # of `BALLOT_PAUSE_US`


class VotesNotSavedError(CedarwickError):
    """The votes of this member on moves cannot be written, so it gives none; the other members settle the moves."""

    code = "CW756"
    remedy = "free the disk that holds $RELAY_STATE"


class MigrationState(ABC):
    """State and helpers that both sides of a move share."""

    def __init__(
        self,
        node: SessionHost,
        directory: SessionDirectory,
        call: Callable[[str, Body, float], Body | None],
        accepts_sessions: Callable[[], bool],
        notify_change: Callable[[], None],
    ) -> None:
        self.node = node
        self.name = node.name
        self.directory = directory
        self.call = call
        self.accepts_sessions = accepts_sessions
        self.notify_change = notify_change
        self.store = node.store
        self.files = SessionFiles(node.fleet_files)
        self.counters = node.counters
        self.clock = node.clock
        table = self.files.read_acceptor_table()
        self.acceptor = Acceptor(monotonic_time(), table is None, table)
        self.unsaved_votes: set[str] = set()  # moves with a vote of this member that is not on disk
        self.next_stamp = node.incarnation  # the stamp of the next move of this member
        self.acceptor.raise_floor(self.name, self.next_stamp)
        self.files.write_acceptor_table(self.acceptor.table())
        rng = random.Random(node.incarnation)
        self.migration_table = MigrationTable(
            self.name,
            f"{self.name}#{node.incarnation}",
            tuple(sorted(node.halls)),
            self.acceptor,
            lambda failed: rng.randint(0, BALLOT_PAUSE_US << min(failed, MAX_PAUSE_DOUBLINGS)),
        )
        self.planner = MigrationPlanner(node.halls[self.name])
        marks = self.files.read_marks()
        self.store.migrating = {number: mark for number, mark in marks.items() if number in self.store.messages}
        self.store.write_move_marks = self.files.write_marks
        self.dispatcher: Dispatcher
        self.staged_offers: dict[str, tuple[StageSession, int]] = {}  # by move: the offer, and when it arrived
        self.staged_before_adoption: set[str] = set()  # of these, offers stored in a partition that was adopted since
        self.session_sequences: dict[str, int] = {}  # by move: the sequence of its session when the move began
        self.staging_results: dict[str, gevent.event.AsyncResult] = {}  # by move: whether the offer was stored
        self.running_steps: set[tuple[str, MigrationAction]] = set()
        # By move: proposers of undecided moves that this member has voted on but takes no part in.
        self.orphaned_proposers: dict[str, Proposer] = {}
        self.deadlines_checked_at = 0

    @abstractmethod
    def carry_out(self, steps: Iterable[MigrationStep]) -> None:
        """Carry out steps of moves; steps that wait run in their own greenlets."""

    def _try_to_save(self, write: Callable[..., None], *arguments: object) -> bool:
        """Call `write`; if it raises OSError, log and count a warning and return False."""
        try:
            write(*arguments)
        except OSError as error:
            self.counters.warning("votes on moves cannot be written", VotesNotSavedError(str(error)))
            return False
        return True

    def _session_key(self, name: str) -> int:
        """The key of the session of a move; 0 if unknown."""
        known = self.migration_table.by_name.get(name) or self.acceptor.rows.get(name)
        return known.key if known is not None else 0

    def _marked_messages(self, name: str, side: str) -> list[int]:
        """The numbers of the messages that are marked for one side of a move."""
        return sorted(
            number
            for number, (_, text) in self.store.migrating.items()
            if text == side + name and number in self.store.messages
        )

    def _began_here(self, name: str) -> bool:
        """Whether this process began the move; else it was found after a restart or in an adopted partition."""
        return parse_move_name(name)[1] == self.name and name in self.session_sequences

    def _session_sequence(self, name: str, numbers: Iterable[int]) -> int:
        """The sequence of the session during the move: the largest one that is known here."""
        return max([self.session_sequences.get(name, 0), *(self.store.migrating[number][0] for number in numbers)])

    def _save_marks_without(self, numbers: Iterable[int]) -> None:
        """Write the file of marks without some messages; raises OSError."""
        removed = set(numbers)
        if removed:
            self.files.write_marks(
                {number: mark for number, mark in self.store.migrating.items() if number not in removed}
            )

    def _wait_until_replicated(self, partitions: set[int]) -> bool:
        """Wait until every successor has all records of these partitions; False after `REPLICATION_TIMEOUT_US`."""
        is_replicated, deadline = self.store.replication_check(partitions), monotonic_time() + REPLICATION_TIMEOUT_US
        while not is_replicated():
            if monotonic_time() > deadline:
                return False
            gevent.sleep(REPLICATION_POLL_S)
        return True

    def _discard_messages(self, name: str, side: str) -> bool:
        """Discard the messages of one side without a notice, because the other side has them."""
        numbers = self._marked_messages(name, side)
        for number in numbers:
            try:
                self.store.finish(number)
            except NoSpaceError as error:  # the record follows once there is room; the other messages do not wait
                self.counters.warning("no room for the record of an end", error)
            self.store.migrating.pop(number, None)
        self._save_marks_without(numbers)
        return True
