"""The I/O of session migrations (moves): carries out the steps of `migration_table.py` for `SessionRouter`.

Changes that touch both the message store and the dispatcher run between two rounds of the dispatcher. A message of a
migrating session carries a mark, in the ledger of its partition (for the successors) and in a file of this member (for
its next process). The mark is the sequence of the session and a text: `<` (at the source) or `>` (at the target),
followed by the name of the move. Times are in microseconds.
"""

from collections import deque
from collections.abc import Container, Iterable

import gevent
import gevent.event
from loguru import logger

from cedarwick.errors import CedarwickError
from cedarwick.fleet.consensus import (
    format_move_name,
    parse_move_name,
)
from cedarwick.fleet.limits import DEADLINE_MARGIN_US
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
from cedarwick.fleet.migration_votes import MigrationVotes, ballot_of, value_of, vote_reply_of
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.sessions import SESSION_TTL_US

DEADLINE_CHECK_US = 100_000  # microseconds between two searches for marked messages near their deadline


class InvalidMoveNameError(CedarwickError):
    """A peer message names an impossible move, or carries an unknown decision."""

    code = "CW755"
    remedy = "bring all members to one version of the program"


class SessionMigrations(MigrationVotes, MigrationSource, MigrationTarget):
    """The moves in which this member takes part. The caller sets `dispatcher` before it calls any method.

    Args:
        call: sends a peer message to another member; returns its answer, or None if it takes longer than the seconds
            given.
        accepts_sessions: tells whether this sender accepts sessions now.
        notify_change: called when something has changed that a submission may wait for.
    """

    def run_due_steps(self, now: int) -> None:
        """Carry out what is due; called in each round of the node, never blocks."""
        self._check_marks(now)
        self.carry_out(self.migration_table.due_steps(now))

    def remove_expired(self, now: int) -> None:
        """Remove expired state and settle orphaned moves; called about once a second."""
        if self.acceptor.prune(now):
            self._try_to_save(self.files.write_acceptor_table, self.acceptor.table())
        self._settle_orphaned_moves(now)
        for stored in (self.staged_offers, self.session_sequences, self.staging_results):
            for name in [name for name in stored if name not in self.migration_table.by_name]:
                del stored[name]

    def has_outgoing_moves(self) -> bool:
        """Whether a move that has this member as its source is not completed yet."""
        return any(
            move.source_stage in (SourceStage.FREEZING, SourceStage.OFFERED)
            or move.source_stage is SourceStage.FORWARDING
            and not move.target_active
            for move in self.migration_table.by_name.values()
        )

    def begin(self, key: int, to: str, now: int) -> None:
        """Start to move a session that is held here to another member."""
        session = self.directory.sessions.get(key)
        if (
            session is None
            or not session.is_certain
            or session.last_used_at < now - SESSION_TTL_US
            or not self.store.accepts_messages()
        ):
            self.planner.note_end(key, session is None, now)
            return
        name = format_move_name(self.next_stamp, self.name, to)
        self.next_stamp += 1
        steps = self.migration_table.begin(name, key, now)
        if not steps:
            self.planner.note_end(key, False, now)
            return
        self.session_sequences[name] = session.sequence + 1
        self.directory.hold(key, session.sequence + 1, self.directory.recent_ids(key, now), now)
        self.counters.add("moves begun")
        self.carry_out(steps)

    def answer_peer_message(
        self, body: StageSession | PrepareRequest | AcceptRequest | MigrationDecided, now: int
    ) -> Body:
        """Answer the peer message of another member about a move; raises `InvalidMoveNameError`."""
        try:
            parse_move_name(body.move)
        except ValueError as error:
            raise InvalidMoveNameError(str(error)[:200]) from None
        if isinstance(body, StageSession):
            return self._answer_offer(body, now)
        if isinstance(body, PrepareRequest):
            return vote_reply_of(body.move, self.vote(body.move, ballot_of(body.ballot), None, body.key))
        value = value_of(body.value)
        if value is None:
            raise InvalidMoveNameError(f"unknown decision {body.value!r}")
        if isinstance(body, AcceptRequest):
            return vote_reply_of(body.move, self.vote(body.move, ballot_of(body.ballot), value, body.key))
        row = self.acceptor.note_decision(body.move, value, now)
        if row is not None:
            self._try_to_save(self.files.append_vote, row)
        self.carry_out(self.migration_table.on_decision(body.move, value, body.active, now))
        known, active = self.migration_table.known_decision(body.move)
        return MigrationDecided(body.move, known or "", active)

    def carry_out(self, steps: Iterable[MigrationStep]) -> None:
        """Carry out steps of moves; steps that wait run in their own greenlets."""
        pending = deque(steps)
        now = monotonic_time()
        while pending:
            step = pending.popleft()
            if step.action is MigrationAction.REQUEST_VOTE and step.vote_request is not None:
                if step.vote_request.to == self.name:
                    answer = self.vote(
                        step.vote_request.move,
                        step.vote_request.ballot,
                        step.vote_request.value,
                        self._session_key(step.vote_request.move),
                    )
                    pending.extend(self.migration_table.on_vote_reply(step.vote_request, answer, now))
                else:
                    gevent.spawn(self._request_vote, step.vote_request)
            elif step.action is MigrationAction.SEND_DECISION:
                gevent.spawn(self._send_decision, step)
            elif step.action in (MigrationAction.CONFIRM_STAGED, MigrationAction.REFUSE):
                self._set_staging_result(step.move, step.action is MigrationAction.CONFIRM_STAGED)
            elif step.action is MigrationAction.FORWARD:
                self._start_forwarding(step)
            elif step.action is MigrationAction.CLOSE:
                self.counters.add("moves closed")
            elif (step.move, step.action) not in self.running_steps:
                self.running_steps.add((step.move, step.action))
                gevent.spawn(self._run_step, step)

    def _run_step(self, step: MigrationStep) -> None:
        handlers = {
            MigrationAction.FREEZE: self._freeze_session,
            MigrationAction.MARK: self._mark_messages,
            MigrationAction.STAGE: self._offer_session,
            MigrationAction.STORE_OFFER: self._store_offer,
            MigrationAction.ACTIVATE: self._activate_session,
            MigrationAction.DISCARD_AT_TARGET: self._discard_at_target,
            MigrationAction.RELEASE: self._release_session,
            MigrationAction.DISCARD_AT_SOURCE: self._discard_at_source,
        }
        try:
            handlers[step.action](step.move)
        except Exception:  # the failure of one move must not keep others from being settled
            self.counters.log_exception(f"a move failed at {step.action.value}")
        finally:
            self.running_steps.discard((step.move, step.action))
            self.notify_change()

    def has_open_move(self, key: int) -> bool:
        """Whether this member takes part in a move of the session that is undecided or not completed yet."""
        move = self.migration_table.by_name.get(self.migration_table.by_key.get(key, ""))
        return move is not None and (
            move.source_stage in (SourceStage.FREEZING, SourceStage.OFFERED)
            or move.source_stage is SourceStage.FORWARDING
            and not move.target_active
            or move.target_stage in (TargetStage.STAGED, TargetStage.GRANTED)
        )

    def _check_marks(self, now: int) -> None:
        """Settle moves whose marks are found here, and forget the sides of moves whose marks are gone."""
        self._drop_marks_without_message()
        numbers_by_mark: dict[str, list[int]] = {}
        for number, (_, text) in self.store.migrating.items():
            numbers_by_mark.setdefault(text, []).append(number)
        for text, numbers in numbers_by_mark.items():
            self._settle_found_move(text, numbers, now)
        self._forget_lost_sides(numbers_by_mark)
        if now - self.deadlines_checked_at >= DEADLINE_CHECK_US:
            self.deadlines_checked_at = now
            self._answer_messages_near_deadline()

    def _drop_marks_without_message(self) -> None:
        numbers = [number for number in self.store.migrating if number not in self.store.messages]
        for number in numbers:
            del self.store.migrating[number]

    def _settle_found_move(self, text: str, numbers: list[int], now: int) -> None:
        """Begin to settle the move of a mark, if this member does not know yet that it has that side of the move."""
        name, at_source = text[1:], text[:1] == SOURCE_MARK
        move = self.migration_table.by_name.get(name)
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
        logger.info("move {}: settling it, since {} messages with its mark were found here", name, len(numbers))
        self.carry_out(
            self.migration_table.on_marks_found(name, self.store.messages[numbers[0]].order_key, at_source, now)
        )

    def _forget_lost_sides(self, marks: Container[str]) -> None:
        """Forget the sides of moves that were found earlier, and whose partition has another holder now."""
        for name, move in list(self.migration_table.by_name.items()):
            sides = ((True, move.source_stage, SOURCE_MARK), (False, move.target_stage, TARGET_MARK))
            for at_source, stage, mark in sides:
                is_open = stage in (SourceStage.OFFERED, TargetStage.STAGED, TargetStage.GRANTED)
                if is_open and name not in self.session_sequences and mark + name not in marks:
                    self.migration_table.forget_side(name, at_source)

    def _answer_messages_near_deadline(self) -> None:
        soon = self.clock.now() + DEADLINE_MARGIN_US
        for number, (_, text) in list(self.store.migrating.items()):
            stored, holding = self.store.messages.get(number), self.store.leased_partitions.get(number >> 32)
            if stored is None or stored.final_answer is not None or stored.deadline > soon or holding is None:
                continue
            if (
                holding.serving
                and self.migration_table.action_near_deadline(text[1:]) == "failed"
                and text[:1] == SOURCE_MARK
            ):
                self.counters.add("messages on the move that were answered by their limit")
                self.dispatcher.abandon_parked([number])
