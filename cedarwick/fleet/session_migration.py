"""The I/O of moves: carries out what `migration_table.py` and `consensus.py` decide, for `SessionRouter`.

What touches both the message store and the dispatcher is done between two of the dispatcher's rounds. A message on the
move carries a mark, in the ledger of its partition (for the successors) and in a file of this member (for its next
boot): the sequence of its session, and `<` (given) or `>` (taken) before the name of the move. Times are microseconds.
"""

from collections import deque
from collections.abc import Container, Iterable

import gevent
import gevent.event
from loguru import logger

from cedarwick.errors import CedarwickError
from cedarwick.fleet.consensus import (
    name_move,
    parts,
)
from cedarwick.fleet.limits import ANSWER_AHEAD_US
from cedarwick.fleet.messages import (
    AcceptRequest,
    Body,
    MigrationDecided,
    PrepareRequest,
    StageSession,
)
from cedarwick.fleet.migration_source import MigrationSource
from cedarwick.fleet.migration_state import SOURCE_MARK, TARGET_MARK
from cedarwick.fleet.migration_table import (
    MigrationAction,
    MigrationStep,
    SourceStage,
    TargetStage,
)
from cedarwick.fleet.migration_target import MigrationTarget
from cedarwick.fleet.migration_votes import MigrationVotes, ballot_of, value_of, voted
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.sessions import SESSION_TTL_US

DEADLINE_CHECK_US = 100_000  # between two searches for messages on the move that are near their deadline


class InvalidMoveNameError(CedarwickError):
    """A peer message about a move whose name cannot be one."""

    code = "CW755"
    remedy = "bring all members to one version of the program"


class SessionMigrations(MigrationVotes, MigrationSource, MigrationTarget):
    """The moves in which this member is source or target. `dispatcher` must be set before any call.

    Args:
        call: a peer message to another member and its answer within so many seconds; None where there is none.
        takes: whether this sender takes sessions now.
        change: to be called when something has changed that a submission may wait for.
    """

    def look(self, now: int) -> None:
        """Do what is due now; called by the node at each turn, never waits."""
        self._check_marks(now)
        self.carry_out(self.moves.due(now))

    def forget(self, now: int) -> None:
        """Drop what is old; about once a second."""
        if self.acceptor.prune(now):
            self._guarded(self.files.write_acceptor_table, self.acceptor.table())
        self._settle_orphaned_moves(now)
        for stored in (self.offers, self.sequences, self.answers):
            for name in [name for name in stored if name not in self.moves.moves]:
                del stored[name]

    def under_way_here(self) -> bool:
        """Whether a move that gives a session away from here is not over yet."""
        return any(
            move.source_stage in (SourceStage.FREEZING, SourceStage.OFFERED)
            or move.source_stage is SourceStage.FORWARDING
            and not move.confirmed
            for move in self.moves.moves.values()
        )

    def begin(self, key: int, to: str, now: int) -> None:
        """Start to give a session that is held here to another member."""
        session = self.directory.sessions.get(key)
        if (
            session is None
            or not session.sure
            or session.used < now - SESSION_TTL_US
            or not self.store.accepts_messages()
        ):
            self.planner.ended(key, session is None, now)
            return
        name = name_move(self.stamp, self.name, to)
        self.stamp += 1
        steps = self.moves.begin(name, key, now)
        if not steps:
            self.planner.ended(key, False, now)
            return
        self.sequences[name] = session.sequence + 1
        self.directory.hold(key, session.sequence + 1, self.directory.recent_ids(key, now), now)
        self.counters.add("moves begun")
        self.carry_out(steps)

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
            raise InvalidMoveNameError(f"no value of a decision: {body.value!r}")
        if isinstance(body, AcceptRequest):
            return voted(body.move, self.vote(body.move, ballot_of(body.ballot), value, body.key))
        row = self.acceptor.note_decision(body.move, value, now)
        if row is not None:
            self._guarded(self.files.append_vote, row)
        self.carry_out(self.moves.settled(body.move, value, body.active, now))
        known, active = self.moves.known_decision(body.move)
        return MigrationDecided(body.move, known or "", active)

    def carry_out(self, steps: Iterable[MigrationStep]) -> None:
        """Carry out steps of moves; those that wait for something run in greenlets of their own."""
        todo = deque(steps)
        now = monotonic_time()
        while todo:
            step = todo.popleft()
            if step.action is MigrationAction.ASK and step.ask is not None:
                if step.ask.to == self.name:
                    answer = self.vote(step.ask.move, step.ask.ballot, step.ask.value, self._key(step.ask.move))
                    todo.extend(self.moves.answered(step.ask, answer, now))
                else:
                    gevent.spawn(self._ask, step.ask)
            elif step.action is MigrationAction.TELL:
                gevent.spawn(self._tell, step)
            elif step.action in (MigrationAction.STAGED, MigrationAction.REFUSE):
                self._answer(step.move, step.action is MigrationAction.STAGED)
            elif step.action is MigrationAction.FORWARD:
                self._forward(step)
            elif step.action is MigrationAction.CLOSE:
                self.counters.add("moves closed")
            elif (step.move, step.action) not in self.under_way:
                self.under_way.add((step.move, step.action))
                gevent.spawn(self._do, step)

    def _do(self, step: MigrationStep) -> None:
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
            work[step.action](step.move)
        except Exception:  # one move that fails must not keep the others from being settled
            self.counters.failed(f"a move failed at {step.action.value}")
        finally:
            self.under_way.discard((step.move, step.action))
            self.change()

    def open_move(self, key: int) -> bool:
        """Whether this member takes part in a move of this session that is undecided or not carried out yet."""
        move = self.moves.moves.get(self.moves.by_key.get(key, ""))
        return move is not None and (
            move.source_stage in (SourceStage.FREEZING, SourceStage.OFFERED)
            or move.source_stage is SourceStage.FORWARDING
            and not move.confirmed
            or move.target_stage in (TargetStage.STAGED, TargetStage.GRANTED)
        )

    def _check_marks(self, now: int) -> None:
        """Settle moves whose marks are found here, and forget sides whose marks are gone."""
        self._drop_marks_without_message()
        numbers_by_mark: dict[str, list[int]] = {}
        for number, (_, text) in self.store.migrating.items():
            numbers_by_mark.setdefault(text, []).append(number)
        for text, numbers in numbers_by_mark.items():
            self._settle_found_move(text, numbers, now)
        self._forget_lost_sides(numbers_by_mark)
        if now - self.limits_at >= DEADLINE_CHECK_US:
            self.limits_at = now
            self._answer_late()

    def _drop_marks_without_message(self) -> None:
        gone = [number for number in self.store.migrating if number not in self.store.messages]
        for number in gone:
            del self.store.migrating[number]

    def _settle_found_move(self, text: str, numbers: list[int], now: int) -> None:
        """Begin to settle the move of a mark if this member did not know that it has that side."""
        name, at_source = text[1:], text[:1] == SOURCE_MARK
        move = self.moves.moves.get(name)
        if move is not None and (move.source_stage if at_source else move.target_stage) is not None:
            return
        partitions = {number >> 32 for number in numbers}
        if not all(
            partition in self.store.leased_partitions and self.store.leased_partitions[partition].serving
            for partition in partitions
        ):
            return
        if not at_source and not self.store.replication_check(partitions)():
            return
        logger.info("move {}: {} messages are marked here, it is to be settled", name, len(numbers))
        self.carry_out(self.moves.marks_found(name, self.store.messages[numbers[0]].order_key, at_source, now))

    def _forget_lost_sides(self, marks: Container[str]) -> None:
        """Forget sides that were found earlier, and whose partition has another holder by now."""
        for name, move in list(self.moves.moves.items()):
            sides = ((True, move.source_stage, SOURCE_MARK), (False, move.target_stage, TARGET_MARK))
            for at_source, stage, mark in sides:
                is_open = stage in (SourceStage.OFFERED, TargetStage.STAGED, TargetStage.GRANTED)
                if is_open and name not in self.sequences and mark + name not in marks:
                    self.moves.side_lost(name, at_source)

    def _answer_late(self) -> None:
        soon = self.clock.now() + ANSWER_AHEAD_US
        for number, (_, text) in list(self.store.migrating.items()):
            stored, holding = self.store.messages.get(number), self.store.leased_partitions.get(number >> 32)
            if stored is None or stored.final_answer is not None or stored.deadline > soon or holding is None:
                continue
            if holding.serving and self.moves.near_deadline(text[1:]) == "failed" and text[:1] == SOURCE_MARK:
                self.counters.add("messages on the move that were answered by their limit")
                self.dispatcher.answer_late([number])
