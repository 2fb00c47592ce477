"""Consensus: one value for each migration of a session, decided once by a majority. No I/O, no clock.

Single-decree Paxos (Lamport 1998, 2001), one instance for each move. A move's name is `stamp/source/target`; a source's
stamps only grow, over restarts too (they begin at its incarnation). A ballot is `(round, mark)`: round 1 belongs to
the target of the move alone, for the value 'taker', and needs no first phase; everybody else, and the target after a
while, starts at round 2 with both phases. A mark is the text of one proposer of one boot: no ballot is ever used for
two values.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Literal, NamedTuple

DecisionValue = Literal["taker", "off"]
Ballot = tuple[int, str]
NO_BALLOT: Ballot = (0, "")
DECIDED_RETENTION_US = 3_600_000_000  # that a decided row is remembered
UNDECIDED_LIMIT_US = 60_000_000  # after which somebody should settle an undecided row
MAX_ROWS = 100_000  # rows, at most
RESEND_AFTER_US = 100_000  # until a proposer asks again those that have not answered
ROUND_TIMEOUT_US = 400_000  # until it goes on to a higher round


def format_move_name(stamp: int, source: str, target: str) -> str:
    """The name of a move. ValueError if a member's name has a slash or the stamp isn't positive."""
    if "/" in source or "/" in target or not source or not target or stamp <= 0:
        raise ValueError(f"no name of a move: {stamp}/{source}/{target}")
    return f"{stamp}/{source}/{target}"


def parse_move_name(move: str) -> tuple[int, str, str]:
    """Stamp, source and target of a move's name; ValueError if it isn't one."""
    found = move.split("/")
    if len(found) != 3 or not found[0].isdecimal() or not all(found) or int(found[0]) >> 62:
        raise ValueError(f"not the name of a move: {move!r}")
    return int(found[0]), found[1], found[2]


@dataclass(slots=True)
class InstanceState:
    """What an acceptor has promised and accepted for one move; written to disk before any answer based on it."""

    move: str
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: DecisionValue | None = None  # accepted, or decided
    decided: bool = False
    at: int = 0  # last changed, in the time of this boot
    key: int = 0  # of the session; 0: not known


class AcceptorTable(NamedTuple):
    """All that an acceptor must keep on disk."""

    rows: list[InstanceState]
    floors: dict[str, int]  # by source: no vote on moves with a lower stamp and no row here


class AcceptorReply(NamedTuple):
    """An acceptor's answer to `prepare` and `accept`."""

    granted: bool
    promised: Ballot  # the highest: a proposer that was refused goes above it
    accepted: Ballot
    value: DecisionValue | None
    decided: bool  # then `value` is what was decided, whatever was asked
    unsaved_row: InstanceState | None = None  # to be on disk before the answer is sent; not sent itself


ABSTENTION = AcceptorReply(False, NO_BALLOT, NO_BALLOT, None, False)


class Acceptor:
    """The votes of one member.

    Calls never block. Where `AcceptorReply.unsaved_row` is set, the caller writes that row before it sends the answer.

    Args:
        lost: there is no table, though this member may have voted before. Then it abstains from a source's moves until
            `raise_floor` was called with the source's next stamp, and for ever from that source's earlier moves.
        table: what was loaded, where there was one.
    """

    def __init__(self, now: int, table_lost: bool = False, table: AcceptorTable | None = None) -> None:
        self.rows: dict[str, InstanceState] = {}
        self.floors: dict[str, int] = {}
        self.by_key: dict[int, dict[str, None]] = {}  # moves of which there are rows, by session
        self.table_lost = table_lost
        if table is not None:
            self.load(table, now)

    def table(self) -> AcceptorTable:
        """The whole table, to be written to disk."""
        floors = dict(self.floors)
        if self.table_lost:
            floors[""] = 1
        return AcceptorTable(list(self.rows.values()), floors)

    def load(self, table: AcceptorTable, now: int) -> None:
        """Load a table after a restart. Ages start from `now`, since clocks of two boots cannot be compared."""
        self.rows = {row.move: replace(row, at=now) for row in table.rows}
        self.by_key = {}
        for row in self.rows.values():
            self.by_key.setdefault(row.key, {})[row.move] = None
        self.floors = dict(table.floors)
        self.table_lost = self.floors.pop("", 0) > 0

    def raise_floor(self, source: str, next_stamp: int) -> None:
        """Note the stamp that a source's next move will have; `table` must be written before the next vote."""
        if next_stamp > self.floors.get(source, 0):
            self.floors[source] = next_stamp

    def prepare(self, move: str, ballot: Ballot, now: int, key: int = 0) -> AcceptorReply:
        """The first phase: promise to accept nothing below `ballot`. `key`: of the session, 0 where it is not known."""
        row = self._row(move, ballot, key)
        if row is None:
            return ABSTENTION
        # An equal ballot is granted: the request may come twice and must get the same answer.
        if row.decided or ballot < row.promised or ballot[0] < 2:
            return self._answer(row, False)
        return self._answer(row, True, self._changed(row, now, promised=ballot))

    def accept(self, move: str, ballot: Ballot, value: DecisionValue, now: int, key: int = 0) -> AcceptorReply:
        """The second phase: accept `value` unless something higher was promised."""
        row = self._row(move, ballot, key)
        if row is None:
            return ABSTENTION
        # Round 1 has no first phase, so only the target may use it: otherwise two values could be accepted in it.
        ours = ballot[0] >= 2 or (ballot == (1, parse_move_name(move)[2]) and value == "taker")
        if row.decided or ballot < row.promised or not ours:
            return self._answer(row, False)
        return self._answer(row, True, self._changed(row, now, promised=ballot, accepted=ballot, value=value))

    def may_add_row(self, move: str) -> bool:
        """Whether a move is new here, and this member surely has not voted on it before."""
        stamp, source, _ = parse_move_name(move)
        # After the loss of a promise or a vote this member must not vote on the same move again.
        known = stamp >= self.floors[source] if source in self.floors else not self.table_lost
        return known and move not in self.rows and len(self.rows) < MAX_ROWS

    def may_have_moved(self, key: int, holder: str, since: int) -> bool:
        """Whether a session may have moved away from `holder`, or to it after `since`, by what was voted on here."""
        rows = [self.rows[move] for move in self.by_key.get(key, ())]
        rows = [row for row in rows if not (row.decided and row.value == "off")]
        if rows:
            last = max(rows, key=lambda row: row.at)
            if last.at >= since or parse_move_name(last.move)[2] != holder:
                return True
        # Rows without a key: members of an older protocol level do not send it.
        return any(
            self.rows[move].at >= since and holder in parse_move_name(move)[1:] for move in self.by_key.get(0, ())
        )

    def note_decision(self, move: str, value: DecisionValue, now: int) -> InstanceState | None:
        """Note what was decided; the row to be written, if that was not known."""
        row = self.rows.get(move)
        if row is None or row.decided:
            return None
        row.value, row.decided, row.at = value, True, now
        return row

    def prune(self, now: int) -> bool:
        """Forget decided rows that are old; True: `table` must be written whole before the next vote."""
        old = [row.move for row in self.rows.values() if row.decided and row.at <= now - DECIDED_RETENTION_US]
        for move in old:
            stamp, source, _ = parse_move_name(move)
            # The floor stops a late message from opening an empty row and deciding the move a second time.
            self.floors[source] = max(self.floors.get(source, 0), stamp + 1)
            self._forget_key(self.rows.pop(move))
        return bool(old)

    def long_undecided(self, now: int) -> list[str]:
        """Moves that have been undecided for so long that whoever sees them should settle them."""
        return [row.move for row in self.rows.values() if not row.decided and row.at <= now - UNDECIDED_LIMIT_US]

    def _row(self, move: str, ballot: Ballot, key: int) -> InstanceState | None:
        """The row of a move, a new one where it may be opened; None: this acceptor abstains."""
        if move not in self.rows and (ballot[0] < 1 or not self.may_add_row(move)):
            return None
        return self.rows.get(move) or InstanceState(move, key=key)

    def _forget_key(self, row: InstanceState) -> None:
        moves = self.by_key.get(row.key, {})
        moves.pop(row.move, None)
        if not moves:
            self.by_key.pop(row.key, None)

    def _changed(
        self,
        row: InstanceState,
        now: int,
        promised: Ballot,
        accepted: Ballot | None = None,
        value: DecisionValue | None = None,
    ) -> InstanceState | None:
        if promised == row.promised and accepted in (None, row.accepted):
            return None
        row.promised, row.at = promised, now
        if accepted is not None:
            row.accepted, row.value = accepted, value
        self.rows[row.move] = row
        self.by_key.setdefault(row.key, {})[row.move] = None
        return row

    @staticmethod
    def _answer(row: InstanceState, granted: bool, unsaved_row: InstanceState | None = None) -> AcceptorReply:
        return AcceptorReply(granted, row.promised, row.accepted, row.value, row.decided, unsaved_row)


class ProposerRequest(NamedTuple):
    """A question to one acceptor: `prepare` where `value` is None, else `accept`."""

    to: str
    move: str
    ballot: Ballot
    value: DecisionValue | None


@dataclass(slots=True)
class Proposer:
    """Gets one move decided. One object a move and boot.

    `backoff` is called with the number of failed rounds and returns microseconds until the next one (full jitter,
    so that two proposers do not overtake one another for ever).
    """

    move: str
    proposer_id: str  # this member and boot, for instance `name#incarnation`
    voters: tuple[str, ...]
    backoff: Callable[[int], int]
    ballot: Ballot = NO_BALLOT
    value: DecisionValue | None = None  # asked for in the second phase; None: in the first, or resting
    decided: DecisionValue | None = None
    replies: dict[str, AcceptorReply] = field(default_factory=dict)
    highest_round: int = 1  # the highest round seen
    failed_rounds: int = 0  # rounds
    backing_off: bool = False
    next_at: int = 0  # ask again, or start the next round
    round_ends_at: int = 0  # the round is given up

    def begin_target_round(self, now: int) -> list[ProposerRequest]:
        """Ballot 1, the taker's own: no first phase, 'taker'. Asked again after a restart it is the same vote."""
        return self._begin_round((1, parse_move_name(self.move)[2]), "taker", now)

    def begin_full_round(self, now: int) -> list[ProposerRequest]:
        """Both phases, in a round above all that were seen; proposes 'off' unless a value was accepted."""
        return self._begin_round((self.highest_round + 1, self.proposer_id), None, now)

    def receive_reply(
        self, voter: str, ballot: Ballot, value: DecisionValue | None, answer: AcceptorReply, now: int
    ) -> list[ProposerRequest]:
        """An answer to the question `ballot` and `value`, which may be an old one or come twice."""
        if self.decided is not None or voter not in self.voters:
            return []
        if answer.decided:
            self.decided = answer.value
            return []
        self.highest_round = max(self.highest_round, answer.promised[0])
        if self.backing_off or ballot != self.ballot or value != self.value:
            return []
        if not answer.granted:
            if answer.promised > self.ballot:
                self._back_off(now)
            return []  # else it abstains, and is asked again
        self.replies[voter] = answer
        granted = list(self.replies.values())
        if len(granted) > len(self.voters) // 2:
            if self.value is not None:
                self.decided = self.value
                return []
            # A value that any of them has accepted may have been decided already: it must be taken over.
            last = max(granted, key=lambda each: each.accepted)
            self.value = last.value if last.value is not None else "off"
            self.replies = {}
            return self._requests(self.voters, now)
        return []

    def on_timer(self, now: int) -> list[ProposerRequest]:
        """Called when `next_at` has come: ask those who are silent again, or go on to the next round."""
        if self.decided is not None or self.ballot == NO_BALLOT or now < self.next_at:
            return []
        if self.backing_off:
            return self.begin_full_round(now)
        if now >= self.round_ends_at:
            self._back_off(now)
            return []
        return self._requests([voter for voter in self.voters if voter not in self.replies], now)

    def _begin_round(self, ballot: Ballot, value: DecisionValue | None, now: int) -> list[ProposerRequest]:
        self.ballot, self.value, self.replies, self.backing_off = ballot, value, {}, False
        self.highest_round = max(self.highest_round, ballot[0])
        self.round_ends_at = now + ROUND_TIMEOUT_US
        return self._requests(self.voters, now)

    def _requests(self, voters: Iterable[str], now: int) -> list[ProposerRequest]:
        self.next_at = now + RESEND_AFTER_US
        return [ProposerRequest(voter, self.move, self.ballot, self.value) for voter in voters]

    def _back_off(self, now: int) -> None:
        self.failed_rounds += 1
        self.backing_off = True
        self.next_at = now + self.backoff(self.failed_rounds)
