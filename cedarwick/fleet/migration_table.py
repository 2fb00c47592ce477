"""Migration of a session (a "move") from one sender, the giver, to another, the taker. No I/O, no clock.

`SessionMigrations` drives it: it calls a method for each event and carries out the steps that are returned. Times are
microseconds of the boot clock.

Stages at the giver: held, freezing, offered, forwarding, closed. Stages at the taker: staged, granted, active, or
dropped. From the first mark to the decree the session's messages are inert on both sides. The steps, and what is on the
disk before each:

1. The giver freezes: no new attempt; attempts under way are awaited for `FREEZE`, then count as may-have-run. It
   marks the facts (own folder and every successor of its partition: a successor without the mark would fire), and sends
   `Stage`.
2. The taker stores them, marked, under its own numbers (own folder and every successor), answers `Staged`, and asks for
   the decree with ballot 1.
3. Decided for the taker: it goes active and tells all; the giver forwards, and its facts are over without a notice once
   the taker has said that it is active. Decided 'off': the giver's live again, the taker's are dropped.

Whoever holds marked facts without knowing the decree (giver or taker after a while or a restart, the adopter of
either partition) settles it; a decree is on a majority's disks, so what it lets happen needs no record of its own.
The sequence of a session grows by one at each move begun, called off or taken, so that a cleared mark wins any join.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Literal, NamedTuple

from cedarwick.fleet.consensus import Acceptor, AcceptorReply, Proposer, ProposerRequest, Value, parts

FREEZE = 100_000  # microseconds for which attempts under way are awaited
CALL_OFF = 500_000  # microseconds after the freeze began: the giver settles what is undecided
AGAIN = 100_000  # microseconds until a request without an answer is repeated, doubled each time up to
AGAIN_MOST = 2_000_000  # microseconds
FORWARDS = 60_000_000  # microseconds for which the giver forwards requests of the live connection
REMEMBERED_FOR = 60_000_000  # microseconds that a finished migration is remembered
WAITS = 250_000  # microseconds that a client's request on a frozen session waits before it is answered -BUSY
MOST_OUT = 20  # moves at once at a giver
MOST_IN = 20  # staged at once at a taker


class SourceStage(Enum):
    """Stages of a move at the giver."""

    FREEZING = "freezing"
    OFFERED = "offered"
    FORWARDING = "forwarding"
    CLOSED = "closed"
    HELD = "held"  # called off


class TargetStage(Enum):
    """Stages of a move at the taker."""

    STAGED = "staged"
    GRANTED = "granted"
    ACTIVE = "active"
    DROPPED = "dropped"


class MigrationAction(Enum):
    """What the caller is to do; each action may safely be repeated."""

    FREEZE = "freeze"  # no new attempt of the key; call `idle` once none is under way
    MARK = "mark"  # unsettled attempts become may-have-run; mark in own folder and at every successor; then `marked`
    STAGE = "stage"  # send the facts and ids to `to`
    WRITE = "write"  # store what was staged, marked, in own folder and at every successor; then `written`
    STAGED = "staged"  # answer the giver
    REFUSE = "refuse"  # answer the giver that it is not taken
    ASK = "ask"  # send `ask` to an acceptor (maybe the own one), pass its answer to `answered`
    TELL = "tell"  # send `MigrationDecided` to the holder of the partition of `to`; empty: to all members
    ACTIVATE = "activate"  # clear the taker's marks, resume the messages; then `activated`
    DROP = "drop"  # the taker's are over without a notice
    RELEASE = "release"  # clear the giver's marks, thaw the key
    OVER = "over"  # the giver's are over without a notice
    FORWARD = "forward"  # pass requests of the live connection on to `to`
    CLOSE = "close"  # stop forwarding


class MigrationStep(NamedTuple):
    """One action for the caller, with what it needs."""

    do: MigrationAction
    move: str
    to: str = ""
    ask: ProposerRequest | None = None
    value: Value | None = None
    active: bool = False


@dataclass(slots=True)
class Migration:
    """One move as one member knows it. The member has one side of it, or both after adopting a partition."""

    name: str
    key: int
    giving: SourceStage | None = None
    taking: TargetStage | None = None
    marking: bool = False  # the marks are being written
    written: bool = False  # what was staged is stored
    heard: bool = False  # the taker has answered `Staged`
    confirmed: bool = False  # the taker is active
    value: Value | None = None  # the decree, once known
    proposer: Proposer | None = None
    began: int = 0
    settled_at: int = 0
    next_at: int = 0  # when the request that is due is repeated
    asked: int = 0  # how often it was repeated


class MigrationTable:
    """All moves that this member has a side of.

    Args:
        name: this member.
        mark: a text of this boot alone, as `name#incarnation`.
        voters: all members, itself among them.
        acceptor: its own.
        wait: as in `Proposer`.
    """

    def __init__(
        self, name: str, mark: str, voters: tuple[str, ...], acceptor: Acceptor, wait: Callable[[int], int]
    ) -> None:
        self.name = name
        self.mark = mark
        self.voters = voters
        self.acceptor = acceptor
        self.wait = wait
        self.moves: dict[str, Migration] = {}
        self.by_key: dict[int, str] = {}  # the newest move of a session
        self.proposers = 0

    # ---- the giver ----

    def begin(self, name: str, key: int, now: int) -> list[MigrationStep]:
        """Start to give a session away; no steps where it is on the move already, or too many sessions are."""
        open_one = self.moves.get(self.by_key.get(key, ""))
        giving = sum(1 for move in self.moves.values() if move.giving in (SourceStage.FREEZING, SourceStage.OFFERED))
        if (open_one is not None and not self._finished(open_one)) or giving >= MOST_OUT or name in self.moves:
            return []
        self.moves[name] = Migration(name, key, SourceStage.FREEZING, began=now)
        self.by_key[key] = name
        return [MigrationStep(MigrationAction.FREEZE, name)]

    def idle(self, name: str, now: int) -> list[MigrationStep]:
        """No attempt of the session is under way any more, or they have been awaited for long enough."""
        move = self.moves.get(name)
        if move is None or move.giving is not SourceStage.FREEZING or move.marking:
            return []
        move.marking = True
        return [MigrationStep(MigrationAction.MARK, name)]

    def marked(self, name: str, now: int) -> list[MigrationStep]:
        """The marks are in the own folder and at every successor of the partition."""
        move = self.moves.get(name)
        if move is None or move.giving is not SourceStage.FREEZING:
            return []
        move.giving = SourceStage.OFFERED
        move.next_at = now + AGAIN
        return [MigrationStep(MigrationAction.STAGE, name, parts(name)[2])]

    def staged(self, name: str, now: int) -> list[MigrationStep]:
        """The taker has stored the session. It requests the decree itself; the giver only stops repeating `Stage`."""
        move = self.moves.get(name)
        if move is not None:
            move.heard = True
        return []

    def call_off(self, name: str, now: int) -> list[MigrationStep]:
        """The giver wants the session back: the time is over, the taker refused, or staff ask for it."""
        move = self.moves.get(name)
        if move is None or move.giving not in (SourceStage.FREEZING, SourceStage.OFFERED):
            return []
        if move.giving is SourceStage.FREEZING:  # no taker has ever heard of it
            return self._decided(move, "off", now)
        # Only a decree ends the move: a `Stage` that was refused or got no answer may have arrived twice, and the taker
        # may have stored the other one.
        return self._settle(move, now)

    def client_gone(self, key: int, now: int) -> list[MigrationStep]:
        """The live connection has ended."""
        move = self.moves.get(self.by_key.get(key, ""))
        return self._close(move, now) if move is not None and move.giving is SourceStage.FORWARDING else []

    # ---- the taker ----

    def stage(self, name: str, key: int, room: bool, now: int) -> list[MigrationStep]:
        """A giver offers a session. `room`: whether the folder and the load allow for it."""
        move = self.moves.get(name)
        if move is not None and move.taking is not None:
            return [MigrationStep(MigrationAction.STAGED, name, parts(name)[1])] if move.written else []
        staged = sum(1 for each in self.moves.values() if each.taking is TargetStage.STAGED)
        # `may_open`: a `Stage` that arrives late or twice must not be stored again after its messages were sent or
        # dropped. The own acceptor votes once it is stored, so a move that it knows was staged or is being settled.
        if not room or staged >= MOST_IN or parts(name)[2] != self.name or not self.acceptor.may_open(name):
            return [MigrationStep(MigrationAction.REFUSE, name, parts(name)[1])]
        self._open(name, key, now).taking = TargetStage.STAGED
        return [MigrationStep(MigrationAction.WRITE, name)]

    def written(self, name: str, now: int) -> list[MigrationStep]:
        """What was staged is in the own folder and at every successor of the own partition."""
        move = self.moves.get(name)
        if move is None or move.taking is not TargetStage.STAGED or move.written:
            return []
        move.written = True
        asks = self._proposer(move).begin_taker_round(now) if move.proposer is None else []
        return [MigrationStep(MigrationAction.STAGED, name, parts(name)[1]), *self._asks(asks)]

    def activated(self, name: str, now: int) -> list[MigrationStep]:
        """The messages are live here."""
        move = self.moves.get(name)
        if move is None or move.taking is not TargetStage.GRANTED:
            return []
        move.taking = TargetStage.ACTIVE
        step = MigrationStep(MigrationAction.TELL, name, value="taker", active=True)
        return [step, *self._confirmed(move, now)]

    # ---- the decree ----

    def answered(self, ask: ProposerRequest, answer: AcceptorReply, now: int) -> list[MigrationStep]:
        """Take an acceptor's answer to a vote request."""
        move = self.moves.get(ask.move)
        if move is None or move.proposer is None or move.value is not None:
            return []
        asks = move.proposer.receive_reply(ask.to, ask.ballot, ask.value, answer, now)
        if move.proposer.decided is None:
            return self._asks(asks)
        value = move.proposer.decided
        return [MigrationStep(MigrationAction.TELL, ask.move, value=value), *self._decided(move, value, now)]

    def settled(self, name: str, value: Value, active: bool, now: int) -> list[MigrationStep]:
        """Take the decree from another member, also as an answer to `TELL`; `active`: the taker's side is live."""
        move = self.moves.get(name)
        if move is None:
            return []
        acts = self._decided(move, value, now)
        if active and value == "taker":
            acts += self._confirmed(move, now)
        return acts

    def said(self, name: str) -> tuple[Value | None, bool]:
        """The answer to another member's `MigrationDecided`: the decree if known, and whether it is active here."""
        move = self.moves.get(name)
        return (None, False) if move is None else (move.value, move.taking is TargetStage.ACTIVE)

    # ---- restarts and partitions that change hands ----

    def found(self, name: str, key: int, giving: bool, now: int) -> list[MigrationStep]:
        """Marked facts were found in a partition that this member holds, after its restart or after an adoption.

        For the taker's side, call it only once every successor of that partition has the facts again: it may request
        the decree at once.
        """
        move = self._open(name, key, now)
        if giving and move.giving is None:
            move.giving = SourceStage.OFFERED
        elif not giving and move.taking is None:
            move.taking, move.written = TargetStage.STAGED, True
        else:
            return []
        if move.value is not None:
            value, move.value = move.value, None
            acts = self._decided(move, value, now)
            return acts + (self._confirmed(move, now) if move.taking is TargetStage.ACTIVE else [])
        if not giving and parts(name)[2] == self.name and move.proposer is None:
            return self._asks(self._proposer(move).begin_taker_round(now))
        return self._settle(move, now)

    def lost(self, name: str, giving: bool) -> None:
        """The partition with this side has another holder now: forget this side."""
        move = self.moves.get(name)
        if move is None:
            return
        if giving:
            move.giving = None
        else:
            move.taking = None
        if move.giving is None and move.taking is None:
            del self.moves[name]
            if self.by_key.get(move.key) == name:
                del self.by_key[move.key]

    # ---- for the dispatcher ----

    def standing(self, key: int) -> tuple[Literal["here", "wait", "pass"], str]:
        """What to do with a request for a session held here or on its way here, and the member to pass it to."""
        move = self.moves.get(self.by_key.get(key, ""))
        if move is None:
            return "here", ""
        if move.giving is SourceStage.FORWARDING:
            return "pass", parts(move.name)[2]
        frozen = move.giving in (SourceStage.FREEZING, SourceStage.OFFERED) or move.taking in (
            TargetStage.STAGED,
            TargetStage.GRANTED,
        )
        return ("wait" if frozen else "here"), ""

    def near_limit(self, name: str) -> Literal["failed", "over"] | None:
        """What to do with a marked message within 300 ms of its deadline.

        'failed': the holder of the giver's partition answers that it failed, since it may have run at the taker.
        'over': the taker has it; no answer from here. None: it is at the taker's side, and the giver answers it.
        """
        move = self.moves.get(name)
        if move is None or move.giving in (None, SourceStage.CLOSED):
            return None
        return "over" if move.value == "taker" else "failed"

    # ---- time ----

    def next_at(self) -> int | None:
        """When `due` is to be called next; None while there are no moves."""
        return min((self._due_at(move) for move in self.moves.values()), default=None)

    def due(self, now: int) -> list[MigrationStep]:
        """The steps that are due: requests repeated, moves called off or forgotten, forwarding closed."""
        acts: list[MigrationStep] = []
        for move in [each for each in self.moves.values() if self._due_at(each) <= now]:
            if self._finished(move):
                del self.moves[move.name]
                if self.by_key.get(move.key) == move.name:
                    del self.by_key[move.key]
            elif move.giving is SourceStage.FORWARDING and now >= move.settled_at + FORWARDS:
                acts += self._close(move, now)
            elif move.giving is SourceStage.FORWARDING and not move.confirmed:
                self._again(move, now)
                acts.append(MigrationStep(MigrationAction.TELL, move.name, parts(move.name)[2], value="taker"))
            elif move.value is not None:
                self._again(move, now)
                acts.append(MigrationStep(MigrationAction.ACTIVATE, move.name))
            elif move.proposer is not None:
                acts += self._asks(move.proposer.on_timer(now))
            elif move.giving is not None and now >= move.began + CALL_OFF:
                acts += self.call_off(move.name, now)
            elif move.giving is None:  # the taker could not store it, or not at every successor
                acts += self._settle(move, now)
            elif move.giving is SourceStage.FREEZING:
                acts += self.idle(move.name, now)
            elif move.giving is SourceStage.OFFERED and not move.heard:
                self._again(move, now)
                acts.append(MigrationStep(MigrationAction.STAGE, move.name, parts(move.name)[2]))
        return acts

    def _due_at(self, move: Migration) -> int:
        if self._finished(move):
            return move.settled_at + REMEMBERED_FOR
        if move.giving is SourceStage.FORWARDING:
            return move.settled_at + FORWARDS if move.confirmed else min(move.next_at, move.settled_at + FORWARDS)
        if move.value is not None:
            return move.next_at
        if move.proposer is not None:
            return move.proposer.next_at
        if move.giving is SourceStage.FREEZING and not move.marking:
            return move.began + FREEZE
        if move.giving is SourceStage.OFFERED and not move.heard:
            return min(move.next_at, move.began + CALL_OFF)
        return move.began + CALL_OFF

    # ---- within ----

    def _open(self, name: str, key: int, now: int) -> Migration:
        if name not in self.moves:
            self.moves[name] = Migration(name, key, began=now)
            self.by_key[key] = name
        return self.moves[name]

    @staticmethod
    def _finished(move: Migration) -> bool:
        return move.giving in (None, SourceStage.CLOSED, SourceStage.HELD) and move.taking in (
            None,
            TargetStage.ACTIVE,
            TargetStage.DROPPED,
        )

    @staticmethod
    def _again(move: Migration, now: int) -> None:
        move.next_at = now + min(AGAIN << min(move.asked, 10), AGAIN_MOST)
        move.asked += 1

    @staticmethod
    def _asks(asks: Iterable[ProposerRequest]) -> list[MigrationStep]:
        return [MigrationStep(MigrationAction.ASK, ask.move, ask.to, ask) for ask in asks]

    def _proposer(self, move: Migration) -> Proposer:
        if move.proposer is None:
            # A second proposer of one boot, after the first was lost with its partition, must not share its ballots.
            self.proposers += 1
            move.proposer = Proposer(move.name, f"{self.mark}.{self.proposers}", self.voters, self.wait)
        return move.proposer

    def _settle(self, move: Migration, now: int) -> list[MigrationStep]:
        return self._asks(self._proposer(move).begin_full_round(now)) if move.proposer is None else []

    def _decided(self, move: Migration, value: Value, now: int) -> list[MigrationStep]:
        """Note the decree and return the steps of each side, once."""
        if move.value is not None:
            return []
        move.value, move.settled_at, move.next_at, move.asked = value, now, now + AGAIN, 0
        acts = []
        if move.giving in (SourceStage.FREEZING, SourceStage.OFFERED):
            if value == "taker":
                move.giving = SourceStage.FORWARDING
                acts.append(MigrationStep(MigrationAction.FORWARD, move.name, parts(move.name)[2]))
                if move.taking is not TargetStage.ACTIVE:
                    acts.append(MigrationStep(MigrationAction.TELL, move.name, parts(move.name)[2], value="taker"))
            else:
                move.giving = SourceStage.HELD
                acts.append(MigrationStep(MigrationAction.RELEASE, move.name))
        if move.taking is TargetStage.STAGED:
            move.taking = TargetStage.GRANTED if value == "taker" else TargetStage.DROPPED
            acts.append(
                MigrationStep(MigrationAction.ACTIVATE if value == "taker" else MigrationAction.DROP, move.name)
            )
        return acts

    def _confirmed(self, move: Migration, now: int) -> list[MigrationStep]:
        """The taker's side is live: the giver's inert messages are over."""
        if move.giving is not SourceStage.FORWARDING or move.confirmed:
            return []
        move.confirmed = True
        return [MigrationStep(MigrationAction.OVER, move.name)]

    def _close(self, move: Migration, now: int) -> list[MigrationStep]:
        over = self._confirmed(move, now)  # decided long ago: whoever holds the taker's partition has the messages
        move.giving = SourceStage.CLOSED
        move.settled_at = now
        return [*over, MigrationStep(MigrationAction.CLOSE, move.name)]
