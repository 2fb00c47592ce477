"""State machine of the migration (move) of a session from one sender, the source, to another, the target.

No I/O, no clock. `SessionMigrations` calls one method per event and carries out the steps that the method returns.
Times are microseconds of the boot clock.

The stages are freezing, offered, forwarding, closed or called off at the source, and staged, granted, active or dropped
at the target. From the first mark to the decision the messages of the session are inert on both sides: neither sends
attempts of them. A migration runs as follows:

1. The source freezes the session and starts no new attempt of it. Attempts under way that do not end within
   `FREEZE_TIMEOUT_US` count as "may have run". The source then marks the session's messages in its own folder and at
   every successor of its partition, since a successor without the marks would send attempts, and sends `StageSession`.
2. The target stores the messages, marked, under its own numbers, in its own folder and at every successor. It answers
   the source and requests the decision with the ballot of round 1.
3. If the decision is for the target, it activates the messages and tells all members. The source forwards requests, and
   discards its copies without a notice once the target has reported that it is active. If the move is called off, the
   source releases its messages and the target discards its copies.

Every member that holds marked messages without knowing the decision settles the move: the source or the target after a
timeout or a restart, and the member that adopts the partition of either. A decision is stored by a majority, so the
steps that follow from it need no record of their own. The sequence of a session grows by one when a move begins, is
called off or is completed, so that a cleared mark supersedes the mark wherever the two are merged.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Final, Literal, NamedTuple

from cedarwick.fleet.consensus import Acceptor, AcceptorReply, DecisionValue, Proposer, ProposerRequest, parse_move_name

# The values of a decision, as they are sent and stored.
FOR_TARGET: Final = "taker"
CALLED_OFF: Final = "off"

FREEZE_TIMEOUT_US = 100_000  # microseconds for which the source waits for attempts under way
CALL_OFF_AFTER_US = 500_000  # microseconds after its beginning at which the source settles an undecided move
MIN_RETRY_US = 100_000  # microseconds until an unanswered request is repeated the first time; doubled each time
MAX_RETRY_US = 2_000_000  # microseconds; the upper bound of that delay
MAX_RETRY_DOUBLINGS = 10
FORWARDING_US = 60_000_000  # microseconds for which the source forwards requests of the live connection
FINISHED_RETENTION_US = 60_000_000  # microseconds for which a finished migration is kept
FROZEN_WAIT_US = 250_000  # microseconds for which a request on a frozen session waits before it is answered -BUSY
MAX_OUTGOING_MOVES = 20  # undecided moves of one source at a time
MAX_INCOMING_MOVES = 20  # sessions staged at one target at a time


class SourceStage(Enum):
    """Stages of a move at the source."""

    FREEZING = "freezing"
    OFFERED = "offered"
    FORWARDING = "forwarding"
    CLOSED = "closed"
    CALLED_OFF = "held"


class TargetStage(Enum):
    """Stages of a move at the target."""

    STAGED = "staged"
    GRANTED = "granted"
    ACTIVE = "active"
    DROPPED = "dropped"


class MigrationAction(Enum):
    """What the caller does next; every action may be repeated safely. The values are those that are logged."""

    FREEZE = "freeze"  # start no new attempt of the session; call `on_attempts_ended` once none is under way
    MARK = "mark"  # count open attempts as "may have run", mark in the folder and at every successor; then `on_marked`
    STAGE = "stage"  # send the messages and the recent ids to `to`
    STORE_OFFER = "write"  # store the offered messages, marked, in the folder and at every successor; then `on_stored`
    CONFIRM_STAGED = "staged"  # answer the source that the session is staged
    REFUSE = "refuse"  # answer the source that the session is not taken
    REQUEST_VOTE = "ask"  # send `vote_request` to an acceptor, maybe the local one; pass its answer to `on_vote_reply`
    SEND_DECISION = "tell"  # send `MigrationDecided` to the holder of the partition of `to`; empty: to all members
    ACTIVATE = "activate"  # clear the marks of the target and resume the messages; then `on_activated`
    DISCARD_AT_TARGET = "drop"  # end the messages of the target without a notice
    RELEASE = "release"  # clear the marks of the source and thaw the session
    DISCARD_AT_SOURCE = "over"  # end the messages of the source without a notice
    FORWARD = "forward"  # forward requests of the live connection to `to`
    CLOSE = "close"  # stop forwarding


class MigrationStep(NamedTuple):
    """One action for the caller, with its arguments."""

    action: MigrationAction
    move: str
    to: str = ""
    vote_request: ProposerRequest | None = None
    value: DecisionValue | None = None
    active: bool = False


@dataclass(slots=True)
class Migration:
    """One move, as this member knows it; it has one side of the move, or both after it has adopted a partition."""

    name: str
    key: int
    source_stage: SourceStage | None = None
    target_stage: TargetStage | None = None
    marking: bool = False  # the marks are being written
    stored: bool = False  # the staged messages are stored, here and at every successor
    staged_answered: bool = False  # the target has answered that the session is staged
    target_active: bool = False  # the target is known to be active
    value: DecisionValue | None = None  # the decision, once known
    proposer: Proposer | None = None
    began_at: int = 0
    settled_at: int = 0  # when the decision became known here; later, when forwarding stopped
    next_at: int = 0  # when the pending request is repeated
    retries: int = 0  # how often it was repeated


class MigrationTable:
    """All moves in which this member is the source or the target, or has adopted the partition of one.

    Args:
        name: the name of this member.
        boot_id: a text unique to this process, such as `name#incarnation`.
        voters: the names of all members, this one included.
        acceptor: the acceptor of this member.
        backoff: as in `Proposer`.
    """

    def __init__(
        self, name: str, boot_id: str, voters: tuple[str, ...], acceptor: Acceptor, backoff: Callable[[int], int]
    ) -> None:
        self.name = name
        self.boot_id = boot_id
        self.voters = voters
        self.acceptor = acceptor
        self.backoff = backoff
        self.by_name: dict[str, Migration] = {}
        self.by_key: dict[int, str] = {}  # the name of the newest move of a session
        self.proposer_count = 0

    # ---- the source ----

    def begin(self, name: str, key: int, now: int) -> list[MigrationStep]:
        """Start to move a session away; returns no steps if it or too many other sessions are already migrating."""
        newest = self.by_name.get(self.by_key.get(key, ""))
        undecided = (SourceStage.FREEZING, SourceStage.OFFERED)
        migrating = sum(1 for move in self.by_name.values() if move.source_stage in undecided)
        if (
            (newest is not None and not self._is_finished(newest))
            or migrating >= MAX_OUTGOING_MOVES
            or name in self.by_name
        ):
            return []
        self.by_name[name] = Migration(name, key, SourceStage.FREEZING, began_at=now)
        self.by_key[key] = name
        return [MigrationStep(MigrationAction.FREEZE, name)]

    def on_attempts_ended(self, name: str, now: int) -> list[MigrationStep]:
        """No attempt of the session is under way, or `FREEZE_TIMEOUT_US` is over."""
        move = self.by_name.get(name)
        if move is None or move.source_stage is not SourceStage.FREEZING or move.marking:
            return []
        move.marking = True
        return [MigrationStep(MigrationAction.MARK, name)]

    def on_marked(self, name: str, now: int) -> list[MigrationStep]:
        """The marks are stored in the folder and at every successor of the partition."""
        move = self.by_name.get(name)
        if move is None or move.source_stage is not SourceStage.FREEZING:
            return []
        move.source_stage = SourceStage.OFFERED
        move.next_at = now + MIN_RETRY_US
        return [MigrationStep(MigrationAction.STAGE, name, parse_move_name(name)[2])]

    def on_staged(self, name: str, now: int) -> list[MigrationStep]:
        """The target has stored the session and requests the decision; the source stops repeating the offer."""
        move = self.by_name.get(name)
        if move is not None:
            move.staged_answered = True
        return []

    def call_off(self, name: str, now: int) -> list[MigrationStep]:
        """Take the session back to the source, because of a timeout, a refusal of the target or a local failure."""
        move = self.by_name.get(name)
        if move is None or move.source_stage not in (SourceStage.FREEZING, SourceStage.OFFERED):
            return []
        if move.source_stage is SourceStage.FREEZING:  # it was not offered to the target yet
            return self._record_decision(move, CALLED_OFF, now)
        # Only a decision ends the move: an offer that was refused or not answered may have been delivered twice, and
        # the target may have stored the other copy.
        return self._begin_settling(move, now)

    def stop_forwarding(self, key: int, now: int) -> list[MigrationStep]:
        """Stop forwarding the requests of a session, where the source still does."""
        move = self.by_name.get(self.by_key.get(key, ""))
        return self._close(move, now) if move is not None and move.source_stage is SourceStage.FORWARDING else []

    # ---- the target ----

    def on_offer(self, name: str, key: int, has_room: bool, now: int) -> list[MigrationStep]:
        """A source offers a session; `has_room` tells whether the folder and the load of this member allow it."""
        move = self.by_name.get(name)
        if move is not None and move.target_stage is not None:
            return (
                [MigrationStep(MigrationAction.CONFIRM_STAGED, name, parse_move_name(name)[1])] if move.stored else []
            )
        staged = sum(1 for each in self.by_name.values() if each.target_stage is TargetStage.STAGED)
        # `may_add_row`: an offer that arrives late or twice must not be stored again after its messages were sent or
        # discarded. The local acceptor votes once the offer is stored, so a move that has a row was staged or is being
        # settled.
        if (
            not has_room
            or staged >= MAX_INCOMING_MOVES
            or parse_move_name(name)[2] != self.name
            or not self.acceptor.may_add_row(name)
        ):
            return [MigrationStep(MigrationAction.REFUSE, name, parse_move_name(name)[1])]
        self._get_or_add(name, key, now).target_stage = TargetStage.STAGED
        return [MigrationStep(MigrationAction.STORE_OFFER, name)]

    def on_stored(self, name: str, now: int) -> list[MigrationStep]:
        """The staged messages are stored in the folder and at every successor of the open partition."""
        move = self.by_name.get(name)
        if move is None or move.target_stage is not TargetStage.STAGED or move.stored:
            return []
        move.stored = True
        requests = self._proposer(move).begin_target_round(now) if move.proposer is None else []
        return [
            MigrationStep(MigrationAction.CONFIRM_STAGED, name, parse_move_name(name)[1]),
            *self._vote_requests(requests),
        ]

    def on_activated(self, name: str, now: int) -> list[MigrationStep]:
        """The messages are active at this target."""
        move = self.by_name.get(name)
        if move is None or move.target_stage is not TargetStage.GRANTED:
            return []
        move.target_stage = TargetStage.ACTIVE
        step = MigrationStep(MigrationAction.SEND_DECISION, name, value=FOR_TARGET, active=True)
        return [step, *self._note_target_active(move, now)]

    # ---- the decision ----

    def on_vote_reply(self, request: ProposerRequest, answer: AcceptorReply, now: int) -> list[MigrationStep]:
        """Take the answer of an acceptor to a vote request."""
        move = self.by_name.get(request.move)
        if move is None or move.proposer is None or move.value is not None:
            return []
        requests = move.proposer.receive_reply(request.to, request.ballot, request.value, answer, now)
        if move.proposer.decided is None:
            return self._vote_requests(requests)
        value = move.proposer.decided
        return [
            MigrationStep(MigrationAction.SEND_DECISION, request.move, value=value),
            *self._record_decision(move, value, now),
        ]

    def on_decision(self, name: str, value: DecisionValue, active: bool, now: int) -> list[MigrationStep]:
        """Take the decision from another member, or from its answer to one; `active`: the target is active there."""
        move = self.by_name.get(name)
        if move is None:
            return []
        steps = self._record_decision(move, value, now)
        if active and value == FOR_TARGET:
            steps += self._note_target_active(move, now)
        return steps

    def known_decision(self, name: str) -> tuple[DecisionValue | None, bool]:
        """The decision, if known, and whether the target is active here: the answer to `MigrationDecided`."""
        move = self.by_name.get(name)
        return (None, False) if move is None else (move.value, move.target_stage is TargetStage.ACTIVE)

    # ---- restarts and adopted partitions ----

    def on_marks_found(self, name: str, key: int, at_source: bool, now: int) -> list[MigrationStep]:
        """Marked messages were found in a partition that this member holds, after a restart or a takeover.

        For the marks of a target the caller first waits until every successor of the partition has the messages again,
        because the decision may be requested at once.
        """
        move = self._get_or_add(name, key, now)
        if at_source and move.source_stage is None:
            move.source_stage = SourceStage.OFFERED
        elif not at_source and move.target_stage is None:
            move.target_stage, move.stored = TargetStage.STAGED, True
        else:
            return []
        if move.value is not None:
            value, move.value = move.value, None
            steps = self._record_decision(move, value, now)
            return steps + (self._note_target_active(move, now) if move.target_stage is TargetStage.ACTIVE else [])
        if not at_source and parse_move_name(name)[2] == self.name and move.proposer is None:
            return self._vote_requests(self._proposer(move).begin_target_round(now))
        return self._begin_settling(move, now)

    def forget_side(self, name: str, at_source: bool) -> None:
        """Forget one side of a move, because its partition has another holder now."""
        move = self.by_name.get(name)
        if move is None:
            return
        if at_source:
            move.source_stage = None
        else:
            move.target_stage = None
        if move.source_stage is None and move.target_stage is None:
            del self.by_name[name]
            if self.by_key.get(move.key) == name:
                del self.by_key[move.key]

    # ---- for the dispatcher ----

    def routing_state(self, key: int) -> tuple[Literal["here", "wait", "pass"], str]:
        """How to treat a request for a session, and the member to forward it to.

        'here': handle it here. 'wait': the session is frozen. 'pass': forward it.
        """
        move = self.by_name.get(self.by_key.get(key, ""))
        if move is None:
            return "here", ""
        if move.source_stage is SourceStage.FORWARDING:
            return "pass", parse_move_name(move.name)[2]
        frozen = move.source_stage in (SourceStage.FREEZING, SourceStage.OFFERED) or move.target_stage in (
            TargetStage.STAGED,
            TargetStage.GRANTED,
        )
        return ("wait" if frozen else "here"), ""

    def action_near_deadline(self, name: str) -> Literal["failed", "over"] | None:
        """What to do with a marked message that is within 300 ms of its deadline.

        'failed': the holder of the source's partition answers that the message failed, since it may have run at the
        target. 'over': the target has the message, and no answer is sent from here. None: the message is at the target,
        and the source answers it.
        """
        move = self.by_name.get(name)
        if move is None or move.source_stage in (None, SourceStage.CLOSED):
            return None
        return "over" if move.value == FOR_TARGET else "failed"

    # ---- time ----

    def next_due_at(self) -> int | None:
        """When to call `due_steps` next; None while there are no moves."""
        return min((self._due_at(move) for move in self.by_name.values()), default=None)

    def due_steps(self, now: int) -> list[MigrationStep]:
        """The steps that are due at `now`; repeats requests, settles and removes moves, and stops forwarding."""
        steps: list[MigrationStep] = []
        for move in [each for each in self.by_name.values() if self._due_at(each) <= now]:
            if self._is_finished(move):
                del self.by_name[move.name]
                if self.by_key.get(move.key) == move.name:
                    del self.by_key[move.key]
            elif move.source_stage is SourceStage.FORWARDING and now >= move.settled_at + FORWARDING_US:
                steps += self._close(move, now)
            elif move.source_stage is SourceStage.FORWARDING and not move.target_active:
                self._schedule_retry(move, now)
                steps.append(
                    MigrationStep(
                        MigrationAction.SEND_DECISION, move.name, parse_move_name(move.name)[2], value=FOR_TARGET
                    )
                )
            elif move.value is not None:
                self._schedule_retry(move, now)
                steps.append(MigrationStep(MigrationAction.ACTIVATE, move.name))
            elif move.proposer is not None:
                steps += self._vote_requests(move.proposer.on_timer(now))
            elif move.source_stage is not None and now >= move.began_at + CALL_OFF_AFTER_US:
                steps += self.call_off(move.name, now)
            elif move.source_stage is None:  # this target could not store the session, or not at every successor
                steps += self._begin_settling(move, now)
            elif move.source_stage is SourceStage.FREEZING:
                steps += self.on_attempts_ended(move.name, now)
            elif move.source_stage is SourceStage.OFFERED and not move.staged_answered:
                self._schedule_retry(move, now)
                steps.append(MigrationStep(MigrationAction.STAGE, move.name, parse_move_name(move.name)[2]))
        return steps

    def _due_at(self, move: Migration) -> int:
        if self._is_finished(move):
            return move.settled_at + FINISHED_RETENTION_US
        if move.source_stage is SourceStage.FORWARDING:
            return (
                move.settled_at + FORWARDING_US
                if move.target_active
                else min(move.next_at, move.settled_at + FORWARDING_US)
            )
        if move.value is not None:
            return move.next_at
        if move.proposer is not None:
            return move.proposer.next_at
        if move.source_stage is SourceStage.FREEZING and not move.marking:
            return move.began_at + FREEZE_TIMEOUT_US
        if move.source_stage is SourceStage.OFFERED and not move.staged_answered:
            return min(move.next_at, move.began_at + CALL_OFF_AFTER_US)
        return move.began_at + CALL_OFF_AFTER_US

    # ---- internal ----

    def _get_or_add(self, name: str, key: int, now: int) -> Migration:
        if name not in self.by_name:
            self.by_name[name] = Migration(name, key, began_at=now)
            self.by_key[key] = name
        return self.by_name[name]

    @staticmethod
    def _is_finished(move: Migration) -> bool:
        return move.source_stage in (None, SourceStage.CLOSED, SourceStage.CALLED_OFF) and move.target_stage in (
            None,
            TargetStage.ACTIVE,
            TargetStage.DROPPED,
        )

    @staticmethod
    def _schedule_retry(move: Migration, now: int) -> None:
        move.next_at = now + min(MIN_RETRY_US << min(move.retries, MAX_RETRY_DOUBLINGS), MAX_RETRY_US)
        move.retries += 1

    @staticmethod
    def _vote_requests(requests: Iterable[ProposerRequest]) -> list[MigrationStep]:
        return [MigrationStep(MigrationAction.REQUEST_VOTE, request.move, request.to, request) for request in requests]

    def _proposer(self, move: Migration) -> Proposer:
        if move.proposer is None:
            # After an earlier proposer of the move was lost with its partition, the next must not reuse its ballots.
            self.proposer_count += 1
            move.proposer = Proposer(move.name, f"{self.boot_id}.{self.proposer_count}", self.voters, self.backoff)
        return move.proposer

    def _begin_settling(self, move: Migration, now: int) -> list[MigrationStep]:
        return self._vote_requests(self._proposer(move).begin_full_round(now)) if move.proposer is None else []

    def _record_decision(self, move: Migration, value: DecisionValue, now: int) -> list[MigrationStep]:
        """Record the decision and return the steps of both sides; returns no steps the second time."""
        if move.value is not None:
            return []
        move.value, move.settled_at, move.next_at, move.retries = value, now, now + MIN_RETRY_US, 0
        steps = []
        if move.source_stage in (SourceStage.FREEZING, SourceStage.OFFERED):
            if value == FOR_TARGET:
                move.source_stage = SourceStage.FORWARDING
                steps.append(MigrationStep(MigrationAction.FORWARD, move.name, parse_move_name(move.name)[2]))
                if move.target_stage is not TargetStage.ACTIVE:
                    steps.append(
                        MigrationStep(
                            MigrationAction.SEND_DECISION, move.name, parse_move_name(move.name)[2], value=FOR_TARGET
                        )
                    )
            else:
                move.source_stage = SourceStage.CALLED_OFF
                steps.append(MigrationStep(MigrationAction.RELEASE, move.name))
        if move.target_stage is TargetStage.STAGED:
            move.target_stage = TargetStage.GRANTED if value == FOR_TARGET else TargetStage.DROPPED
            steps.append(
                MigrationStep(
                    MigrationAction.ACTIVATE if value == FOR_TARGET else MigrationAction.DISCARD_AT_TARGET, move.name
                )
            )
        return steps

    def _note_target_active(self, move: Migration, now: int) -> list[MigrationStep]:
        """Record that the target is active, and end the inert messages of the source."""
        if move.source_stage is not SourceStage.FORWARDING or move.target_active:
            return []
        move.target_active = True
        return [MigrationStep(MigrationAction.DISCARD_AT_SOURCE, move.name)]

    def _close(self, move: Migration, now: int) -> list[MigrationStep]:
        # The move was decided long ago, so the holder of the target's partition has the messages.
        steps = self._note_target_active(move, now)
        move.source_stage = SourceStage.CLOSED
        move.settled_at = now
        return [*steps, MigrationStep(MigrationAction.CLOSE, move.name)]
