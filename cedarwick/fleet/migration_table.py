"""Migration of a session (a "move") from one sender, the source, to another, the target. No I/O, no clock.

`SessionMigrations` drives it: it calls a method for each event and carries out the steps that are returned. Times are
microseconds of the boot clock.

Stages at the source: held, freezing, offered, forwarding, closed. Stages at the target: staged, granted, active, or
dropped. From the first mark to the decision the session's messages are inert on both sides. The steps, and what is on
the disk before each:

1. The source freezes: no new attempt; attempts under way are awaited for `FREEZE_TIMEOUT_US`, then count as
   may-have-run. It marks the facts (own folder and every successor of its partition: a successor without the mark would
   fire), and sends `Stage`.
2. The target stores them, marked, under its own numbers (own folder and every successor), answers `Staged`, and asks
   for the decision with ballot 1.
3. Decided for the target: it goes active and tells all; the source forwards, and its facts are over without a notice
   once the target has said that it is active. Decided 'off': the source's live again, the target's are dropped.

Whoever holds marked facts without knowing the decision (source or target after a while or a restart, the adopter of
either partition) settles it; a decision is on a majority's disks, so what it lets happen needs no record of its own.
The sequence of a session grows by one at each move begun, called off or taken, so that a cleared mark wins any join.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Final, Literal, NamedTuple

from cedarwick.fleet.consensus import Acceptor, AcceptorReply, DecisionValue, Proposer, ProposerRequest, parse_move_name

# The two values of a decision, as they are sent and stored.
FOR_TARGET: Final = "taker"
CALLED_OFF: Final = "off"

FREEZE_TIMEOUT_US = 100_000  # microseconds for which attempts under way are awaited
CALL_OFF_AFTER_US = 500_000  # microseconds after the freeze began: the source settles what is undecided
MIN_RETRY_US = 100_000  # microseconds until a request without an answer is repeated, doubled each time up to
MAX_RETRY_US = 2_000_000  # microseconds
MAX_RETRY_DOUBLINGS = 10
FORWARDING_US = 60_000_000  # microseconds for which the source forwards requests of the live connection
FINISHED_RETENTION_US = 60_000_000  # microseconds that a finished migration is remembered
FROZEN_WAIT_US = 250_000  # microseconds that a client's request on a frozen session waits before it is answered -BUSY
MAX_OUTGOING_MOVES = 20  # moves at once at a source
MAX_INCOMING_MOVES = 20  # staged at once at a target


class SourceStage(Enum):
    """Stages of a move at the source."""

    FREEZING = "freezing"
    OFFERED = "offered"
    FORWARDING = "forwarding"
    CLOSED = "closed"
    CALLED_OFF = "held"  # called off


class TargetStage(Enum):
    """Stages of a move at the target."""

    STAGED = "staged"
    GRANTED = "granted"
    ACTIVE = "active"
    DROPPED = "dropped"


class MigrationAction(Enum):
    """What the caller is to do; each action may safely be repeated."""

    FREEZE = "freeze"  # no new attempt of the key; call `attempts_ended` once none is under way
    MARK = "mark"  # unsettled attempts become may-have-run; mark in own folder and at every successor; then `marked`
    STAGE = "stage"  # send the facts and ids to `to`
    STORE_OFFER = "write"  # store what was staged, marked, in own folder and at every successor; then `written`
    CONFIRM_STAGED = "staged"  # answer the source
    REFUSE = "refuse"  # answer the source that it is not taken
    REQUEST_VOTE = "ask"  # send `ask` to an acceptor (maybe the own one), pass its answer to `answered`
    SEND_DECISION = "tell"  # send `MigrationDecided` to the holder of the partition of `to`; empty: to all members
    ACTIVATE = "activate"  # clear the target's marks, resume the messages; then `activated`
    DISCARD_AT_TARGET = "drop"  # the target's are over without a notice
    RELEASE = "release"  # clear the source's marks, thaw the key
    DISCARD_AT_SOURCE = "over"  # the source's are over without a notice
    FORWARD = "forward"  # pass requests of the live connection on to `to`
    CLOSE = "close"  # stop forwarding


class MigrationStep(NamedTuple):
    """One action for the caller, with what it needs."""

    action: MigrationAction
    move: str
    to: str = ""
    vote_request: ProposerRequest | None = None
    value: DecisionValue | None = None
    active: bool = False


@dataclass(slots=True)
class Migration:
    """One move as one member knows it. The member has one side of it, or both after adopting a partition."""

    name: str
    key: int
    source_stage: SourceStage | None = None
    target_stage: TargetStage | None = None
    marking: bool = False  # the marks are being written
    stored: bool = False  # what was staged is stored
    staged_answered: bool = False  # the target has answered `Staged`
    target_active: bool = False  # the target is active
    value: DecisionValue | None = None  # the decision, once known
    proposer: Proposer | None = None
    began_at: int = 0
    settled_at: int = 0
    next_at: int = 0  # when the request that is due is repeated
    retries: int = 0  # how often it was repeated


class MigrationTable:
    """All moves that this member has a side of.

    Args:
        name: this member.
        boot_id: a text of this boot alone, as `name#incarnation`.
        voters: all members, itself among them.
        acceptor: its own.
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
        self.by_key: dict[int, str] = {}  # the newest move of a session
        self.proposer_count = 0

    # ---- the source ----

    def begin(self, name: str, key: int, now: int) -> list[MigrationStep]:
        """Start to give a session away; no steps where it is on the move already, or too many sessions are."""
        open_one = self.by_name.get(self.by_key.get(key, ""))
        undecided = (SourceStage.FREEZING, SourceStage.OFFERED)
        migrating = sum(1 for move in self.by_name.values() if move.source_stage in undecided)
        if (
            (open_one is not None and not self._finished(open_one))
            or migrating >= MAX_OUTGOING_MOVES
            or name in self.by_name
        ):
            return []
        self.by_name[name] = Migration(name, key, SourceStage.FREEZING, began_at=now)
        self.by_key[key] = name
        return [MigrationStep(MigrationAction.FREEZE, name)]

    def on_attempts_ended(self, name: str, now: int) -> list[MigrationStep]:
        """No attempt of the session is under way any more, or they have been awaited for long enough."""
        move = self.by_name.get(name)
        if move is None or move.source_stage is not SourceStage.FREEZING or move.marking:
            return []
        move.marking = True
        return [MigrationStep(MigrationAction.MARK, name)]

    def on_marked(self, name: str, now: int) -> list[MigrationStep]:
        """The marks are in the own folder and at every successor of the partition."""
        move = self.by_name.get(name)
        if move is None or move.source_stage is not SourceStage.FREEZING:
            return []
        move.source_stage = SourceStage.OFFERED
        move.next_at = now + MIN_RETRY_US
        return [MigrationStep(MigrationAction.STAGE, name, parse_move_name(name)[2])]

    def on_staged(self, name: str, now: int) -> list[MigrationStep]:
        """The target has stored the session and requests the decision itself; the source stops repeating `Stage`."""
        move = self.by_name.get(name)
        if move is not None:
            move.staged_answered = True
        return []

    def call_off(self, name: str, now: int) -> list[MigrationStep]:
        """The source wants the session back: the time is over, the target refused, or an operator asks for it."""
        move = self.by_name.get(name)
        if move is None or move.source_stage not in (SourceStage.FREEZING, SourceStage.OFFERED):
            return []
        if move.source_stage is SourceStage.FREEZING:  # no target has ever heard of it
            return self._decided(move, CALLED_OFF, now)
        # Only a decision ends the move: a `Stage` that was refused or got no answer may have arrived twice, and the
        # target may have stored the other one.
        return self._begin_settling(move, now)

    def stop_forwarding(self, key: int, now: int) -> list[MigrationStep]:
        """The live connection has ended."""
        move = self.by_name.get(self.by_key.get(key, ""))
        return self._close(move, now) if move is not None and move.source_stage is SourceStage.FORWARDING else []

    # ---- the target ----

    def on_offer(self, name: str, key: int, room: bool, now: int) -> list[MigrationStep]:
        """A source offers a session. `room`: whether the folder and the load allow for it."""
        move = self.by_name.get(name)
        if move is not None and move.target_stage is not None:
            return (
                [MigrationStep(MigrationAction.CONFIRM_STAGED, name, parse_move_name(name)[1])] if move.stored else []
            )
        staged = sum(1 for each in self.by_name.values() if each.target_stage is TargetStage.STAGED)
        # `may_add_row`: a `Stage` that arrives late or twice must not be stored again after its messages were sent or
        # dropped. The own acceptor votes once it is stored, so a move that it knows was staged or is being settled.
        if (
            not room
            or staged >= MAX_INCOMING_MOVES
            or parse_move_name(name)[2] != self.name
            or not self.acceptor.may_add_row(name)
        ):
            return [MigrationStep(MigrationAction.REFUSE, name, parse_move_name(name)[1])]
        self._get_or_add(name, key, now).target_stage = TargetStage.STAGED
        return [MigrationStep(MigrationAction.STORE_OFFER, name)]

    def on_stored(self, name: str, now: int) -> list[MigrationStep]:
        """What was staged is in the own folder and at every successor of the own partition."""
        move = self.by_name.get(name)
        if move is None or move.target_stage is not TargetStage.STAGED or move.stored:
            return []
        move.stored = True
        asks = self._proposer(move).begin_target_round(now) if move.proposer is None else []
        return [
            MigrationStep(MigrationAction.CONFIRM_STAGED, name, parse_move_name(name)[1]),
            *self._vote_requests(asks),
        ]

    def on_activated(self, name: str, now: int) -> list[MigrationStep]:
        """The messages are live here."""
        move = self.by_name.get(name)
        if move is None or move.target_stage is not TargetStage.GRANTED:
            return []
        move.target_stage = TargetStage.ACTIVE
        step = MigrationStep(MigrationAction.SEND_DECISION, name, value=FOR_TARGET, active=True)
        return [step, *self._note_target_active(move, now)]

    # ---- the decision ----

    def on_vote_reply(self, ask: ProposerRequest, answer: AcceptorReply, now: int) -> list[MigrationStep]:
        """Take an acceptor's answer to a vote request."""
        move = self.by_name.get(ask.move)
        if move is None or move.proposer is None or move.value is not None:
            return []
        asks = move.proposer.receive_reply(ask.to, ask.ballot, ask.value, answer, now)
        if move.proposer.decided is None:
            return self._vote_requests(asks)
        value = move.proposer.decided
        return [MigrationStep(MigrationAction.SEND_DECISION, ask.move, value=value), *self._decided(move, value, now)]

    def on_decision(self, name: str, value: DecisionValue, active: bool, now: int) -> list[MigrationStep]:
        """Take the decision from another member, also as an answer to `TELL`; `active`: the target's side is live."""
        move = self.by_name.get(name)
        if move is None:
            return []
        steps = self._decided(move, value, now)
        if active and value == FOR_TARGET:
            steps += self._note_target_active(move, now)
        return steps

    def known_decision(self, name: str) -> tuple[DecisionValue | None, bool]:
        """The answer to another member's `MigrationDecided`: the decision if known, and whether it is active here."""
        move = self.by_name.get(name)
        return (None, False) if move is None else (move.value, move.target_stage is TargetStage.ACTIVE)

    # ---- restarts and partitions that change hands ----

    def on_marks_found(self, name: str, key: int, at_source: bool, now: int) -> list[MigrationStep]:
        """Marked facts were found in a partition that this member holds, after its restart or after an adoption.

        For the target's side, call it only once every successor of that partition has the facts again: it may request
        the decision at once.
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
            steps = self._decided(move, value, now)
            return steps + (self._note_target_active(move, now) if move.target_stage is TargetStage.ACTIVE else [])
        if not at_source and parse_move_name(name)[2] == self.name and move.proposer is None:
            return self._vote_requests(self._proposer(move).begin_target_round(now))
        return self._begin_settling(move, now)

    def forget_side(self, name: str, at_source: bool) -> None:
        """The partition with this side has another holder now: forget this side."""
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
        """What to do with a request for a session held here or on its way here, and the member to pass it to."""
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
        """What to do with a marked message within 300 ms of its deadline.

        'failed': the holder of the source's partition answers that it failed, since it may have run at the target.
        'over': the target has it; no answer from here. None: it is at the target's side, and the source answers it.
        """
        move = self.by_name.get(name)
        if move is None or move.source_stage in (None, SourceStage.CLOSED):
            return None
        return "over" if move.value == FOR_TARGET else "failed"

    # ---- time ----

    def next_due_at(self) -> int | None:
        """When `due` is to be called next; None while there are no moves."""
        return min((self._due_at(move) for move in self.by_name.values()), default=None)

    def due_steps(self, now: int) -> list[MigrationStep]:
        """The steps that are due: requests repeated, moves called off or forgotten, forwarding closed."""
        steps: list[MigrationStep] = []
        for move in [each for each in self.by_name.values() if self._due_at(each) <= now]:
            if self._finished(move):
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
            elif move.source_stage is None:  # the target could not store it, or not at every successor
                steps += self._begin_settling(move, now)
            elif move.source_stage is SourceStage.FREEZING:
                steps += self.on_attempts_ended(move.name, now)
            elif move.source_stage is SourceStage.OFFERED and not move.staged_answered:
                self._schedule_retry(move, now)
                steps.append(MigrationStep(MigrationAction.STAGE, move.name, parse_move_name(move.name)[2]))
        return steps

    def _due_at(self, move: Migration) -> int:
        if self._finished(move):
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

    # ---- within ----

    def _get_or_add(self, name: str, key: int, now: int) -> Migration:
        if name not in self.by_name:
            self.by_name[name] = Migration(name, key, began_at=now)
            self.by_key[key] = name
        return self.by_name[name]

    @staticmethod
    def _finished(move: Migration) -> bool:
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
    def _vote_requests(asks: Iterable[ProposerRequest]) -> list[MigrationStep]:
        return [MigrationStep(MigrationAction.REQUEST_VOTE, ask.move, ask.to, ask) for ask in asks]

    def _proposer(self, move: Migration) -> Proposer:
        if move.proposer is None:
            # A second proposer of one boot, after the first was lost with its partition, must not share its ballots.
            self.proposer_count += 1
            move.proposer = Proposer(move.name, f"{self.boot_id}.{self.proposer_count}", self.voters, self.backoff)
        return move.proposer

    def _begin_settling(self, move: Migration, now: int) -> list[MigrationStep]:
        return self._vote_requests(self._proposer(move).begin_full_round(now)) if move.proposer is None else []

    def _decided(self, move: Migration, value: DecisionValue, now: int) -> list[MigrationStep]:
        """Note the decision and return the steps of each side, once."""
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
        """Note that the target is active: the source's inert messages are over."""
        if move.source_stage is not SourceStage.FORWARDING or move.target_active:
            return []
        move.target_active = True
        return [MigrationStep(MigrationAction.DISCARD_AT_SOURCE, move.name)]

    def _close(self, move: Migration, now: int) -> list[MigrationStep]:
        over = self._note_target_active(
            move, now
        )  # decided long ago: whoever holds the target's partition has the messages
        move.source_stage = SourceStage.CLOSED
        move.settled_at = now
        return [*over, MigrationStep(MigrationAction.CLOSE, move.name)]
