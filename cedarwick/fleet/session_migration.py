"""The I/O of moves: carries out what `migration_table.py` and `consensus.py` decide, for `SessionRouter`.

What touches both the message store and the dispatcher is done between two of the dispatcher's rounds. A message on the
move carries a mark, in the ledger of its partition (for the successors) and in a file of this member (for its next
boot): the sequence of its session, and `<` (given) or `>` (taken) before the name of the move. Times are microseconds.
"""

from collections import deque
from collections.abc import Iterable

import gevent
import gevent.event
from loguru import logger

from cedarwick.errors import CedarwickError
from cedarwick.fleet.consensus import (
    name_move,
    parts,
)
from cedarwick.fleet.messages import (
    AcceptRequest,
    Body,
    MigrationDecided,
    PrepareRequest,
    StageSession,
)
from cedarwick.fleet.migration_source import MigrationSource
from cedarwick.fleet.migration_state import GIVEN, LATE, TAKEN
from cedarwick.fleet.migration_table import (
    MigrationAction,
    MigrationStep,
    SourceStage,
    TargetStage,
)
from cedarwick.fleet.migration_target import MigrationTarget
from cedarwick.fleet.migration_votes import MigrationVotes, ballot_of, value_of, voted
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.sessions import LAPSES

LOOK_LATE = 100_000


class InvalidMoveNameError(CedarwickError):
    """A peer message about a move whose name cannot be one."""

    code = "CW755"
    remedy = "bring all members to one version of the program"


class SessionMigrations(MigrationVotes, MigrationSource, MigrationTarget):
    """The moves in which this member is giver or taker. `dispatcher` must be set before any call.

    Args:
        call: a peer message to another member and its answer within so many seconds; None where there is none.
        takes: whether this sender takes sessions now.
        change: to be called when something has changed that a submission may wait for.
    """

    def look(self, now: int) -> None:
        """Do what is due now; called by the node at each turn, never waits."""
        self._look_at_marks(now)
        self.act(self.moves.due(now))

    def forget(self, now: int) -> None:
        """Drop what is old; about once a second."""
        if self.acceptor.prune(now):
            self._guarded(self.files.write_decrees, self.acceptor.table())
        self._settle_strays(now)
        for stored in (self.offers, self.sequences, self.answers):
            for name in [name for name in stored if name not in self.moves.moves]:
                del stored[name]

    def under_way_here(self) -> bool:
        """Whether a move that gives a session away from here is not over yet."""
        return any(
            move.giving in (SourceStage.FREEZING, SourceStage.OFFERED)
            or move.giving is SourceStage.FORWARDING
            and not move.confirmed
            for move in self.moves.moves.values()
        )

    def begin(self, key: int, to: str, now: int) -> None:
        """Start to give a session that is held here to another member."""
        session = self.directory.sessions.get(key)
        if session is None or not session.sure or session.used < now - LAPSES or not self.store.taking():
            self.planner.ended(key, session is None, now)
            return
        name = name_move(self.stamp, self.name, to)
        self.stamp += 1
        acts = self.moves.begin(name, key, now)
        if not acts:
            self.planner.ended(key, False, now)
            return
        self.sequences[name] = session.sequence + 1
        self.directory.hold(key, session.sequence + 1, self.directory.ids(key, now), now)
        self.counters.add("moves begun")
        self.act(acts)

    def answer(self, body: StageSession | PrepareRequest | AcceptRequest | MigrationDecided, now: int) -> Body:
        """The answer to another member's message about a move; raises `InvalidMoveNameError`."""
        try:
            parts(body.move)
        except ValueError as error:
            raise InvalidMoveNameError(str(error)[:200]) from None
        if isinstance(body, StageSession):
            return self._staged(body, now)
        if isinstance(body, PrepareRequest):
            return voted(body.move, self.vote(body.move, ballot_of(body.ballot), None, body.key))
        value = value_of(body.value)
        if value is None:
            raise InvalidMoveNameError(f"no value of a decree: {body.value!r}")
        if isinstance(body, AcceptRequest):
            return voted(body.move, self.vote(body.move, ballot_of(body.ballot), value, body.key))
        row = self.acceptor.note_decision(body.move, value, now)
        if row is not None:
            self._guarded(self.files.add_decree, row)
        self.act(self.moves.settled(body.move, value, body.active, now))
        known, active = self.moves.said(body.move)
        return MigrationDecided(body.move, known or "", active)

    def act(self, acts: Iterable[MigrationStep]) -> None:
        """Carry out steps of moves; those that wait for something run in greenlets of their own."""
        todo = deque(acts)
        now = monotonic_time()
        while todo:
            act = todo.popleft()
            if act.do is MigrationAction.ASK and act.ask is not None:
                if act.ask.to == self.name:
                    answer = self.vote(act.ask.move, act.ask.ballot, act.ask.value, self._key(act.ask.move))
                    todo.extend(self.moves.answered(act.ask, answer, now))
                else:
                    gevent.spawn(self._ask, act.ask)
            elif act.do is MigrationAction.TELL:
                gevent.spawn(self._tell, act)
            elif act.do in (MigrationAction.STAGED, MigrationAction.REFUSE):
                self._answer(act.move, act.do is MigrationAction.STAGED)
            elif act.do is MigrationAction.FORWARD:
                self._forward(act)
            elif act.do is MigrationAction.CLOSE:
                self.counters.add("moves closed")
            elif (act.move, act.do) not in self.under_way:
                self.under_way.add((act.move, act.do))
                gevent.spawn(self._do, act)

    def _do(self, act: MigrationStep) -> None:
        work = {
            MigrationAction.FREEZE: self._freeze,
            MigrationAction.MARK: self._mark,
            MigrationAction.STAGE: self._stage,
            MigrationAction.WRITE: self._write,
            MigrationAction.ACTIVATE: self._activate,
            MigrationAction.DROP: self._drop,
            MigrationAction.RELEASE: self._release,
            MigrationAction.OVER: self._over,
        }
        try:
            work[act.do](act.move)
        except Exception:  # one move that fails must not keep the others from being settled
            self.counters.failed(f"a move failed at {act.do.value}")
        finally:
            self.under_way.discard((act.move, act.do))
            self.change()

    def open_move(self, key: int) -> bool:
        """Whether this member takes part in a move of this session that is undecided or not carried out yet."""
        move = self.moves.moves.get(self.moves.by_key.get(key, ""))
        return move is not None and (
            move.giving in (SourceStage.FREEZING, SourceStage.OFFERED)
            or move.giving is SourceStage.FORWARDING
            and not move.confirmed
            or move.taking in (TargetStage.STAGED, TargetStage.GRANTED)
        )

    def _look_at_marks(self, now: int) -> None:
        gone = [number for number in self.store.inert if number not in self.store.messages]
        for number in gone:
            del self.store.inert[number]
        sides: dict[str, list[int]] = {}
        for number, (_, text) in self.store.inert.items():
            sides.setdefault(text, []).append(number)
        for text, numbers in sides.items():
            name, giving = text[1:], text[:1] == GIVEN
            move = self.moves.moves.get(name)
            if move is not None and (move.giving if giving else move.taking) is not None:
                continue
            partitions = {number >> 32 for number in numbers}
            if not all(
                partition in self.store.holdings and self.store.holdings[partition].serving for partition in partitions
            ):
                continue
            if not giving and not self.store.replication_check(partitions)():
                continue
            logger.info("move {}: {} messages are marked here, it is to be settled", name, len(numbers))
            self.act(self.moves.found(name, self.store.messages[numbers[0]].turn, giving, now))
        for name, move in list(self.moves.moves.items()):
            for giving, side, text in ((True, move.giving, GIVEN), (False, move.taking, TAKEN)):
                open_side = side in (SourceStage.OFFERED, TargetStage.STAGED, TargetStage.GRANTED)
                if open_side and name not in self.sequences and text + name not in sides:
                    self.moves.lost(name, giving)  # found earlier; its partition has another holder by now
        if now - self.limits_at >= LOOK_LATE:
            self.limits_at = now
            self._answer_late()

    def _answer_late(self) -> None:
        soon = self.clock.now() + LATE
        for number, (_, text) in list(self.store.inert.items()):
            stored, holding = self.store.messages.get(number), self.store.holdings.get(number >> 32)
            if stored is None or stored.end is not None or stored.deadline > soon or holding is None:
                continue
            if holding.serving and self.moves.near_limit(text[1:]) == "failed" and text[:1] == GIVEN:
                self.counters.add("messages on the move that were answered by their limit")
                self.dispatcher.answer_late([number])
