"""Consensus on the migrations of sessions (moves): a majority decides one value for each move. No I/O, no clock.

Implements single-decree Paxos (Lamport 1998, 2001) with one instance per move. A move is named `stamp/source/target`.
The stamps of a source only grow, also across restarts, because each process starts with its incarnation as the stamp.

A ballot is `(round, mark)`. Round 1 is reserved for the target of the move, which proposes 'taker' and skips the first
phase. All other proposers, and the target when round 1 fails, start at round 2 and run both phases. A mark identifies
one proposer of one process, so that no ballot is ever used for two values.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Literal, NamedTuple

DecisionValue = Literal["taker", "off"]
Ballot = tuple[int, str]
NO_BALLOT: Ballot = (0, "")
DECIDED_RETENTION_US = 3_600_000_000  # microseconds for which a decided row is kept
UNDECIDED_LIMIT_US = 60_000_000  # microseconds after which any member that has an undecided row settles it
MAX_ROWS = 100_000  # rows in the table of one acceptor
RESEND_AFTER_US = 100_000  # microseconds until a proposer repeats a request that was not answered
ROUND_TIMEOUT_US = 400_000  # microseconds until a proposer gives up a round and starts a higher one


def format_move_name(stamp: int, source: str, target: str) -> str:
    """Return the name of a move; raises ValueError if a member name has a slash or the stamp is not positive."""
    if "/" in source or "/" in target or not source or not target or stamp <= 0:
        raise ValueError(f"a move cannot be named {stamp}/{source}/{target}")
    return f"{stamp}/{source}/{target}"


def parse_move_name(move: str) -> tuple[int, str, str]:
    """Return the stamp, source and target of a move; raises ValueError if `move` is not the name of one."""
    fields = move.split("/")
    if len(fields) != 3 or not fields[0].isdecimal() or not all(fields) or int(fields[0]) >> 62:
        raise ValueError(f"not the name of a move: {move!r}")
    return int(fields[0]), fields[1], fields[2]


@dataclass(slots=True)
class InstanceState:
    """What an acceptor has promised and accepted for one move; written to disk before any answer based on it.

    Rows are stored under the names of these fields.
    """

    move: str
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: DecisionValue | None = None  # the accepted or decided value
    decided: bool = False
    at: int = 0  # microseconds of the boot clock at which the row last changed
    key: int = 0  # of the session; 0: unknown


class AcceptorTable(NamedTuple):
    """The state that an acceptor keeps on disk."""

    rows: list[InstanceState]
    floors: dict[str, int]  # by source: the acceptor abstains from moves with a lower stamp and no row


class AcceptorReply(NamedTuple):
    """The answer of an acceptor to `prepare` or `accept`."""

    granted: bool
    promised: Ballot  # the highest promised ballot: a refused proposer starts its next round above it
    accepted: Ballot
    value: DecisionValue | None
    decided: bool  # `value` is the decision, whatever was requested
    unsaved_row: InstanceState | None = None  # written to disk before the answer is sent, and not part of it


ABSTENTION = AcceptorReply(False, NO_BALLOT, NO_BALLOT, None, False)


class Acceptor:
    """The votes of one member.

    Calls never block. Where `AcceptorReply.unsaved_row` is set, the caller writes that row before it sends the answer.

    Args:
        table_lost: no table was found, although this member may have voted before. The acceptor abstains from the
            moves of each source until `raise_floor` is called with the next stamp of that source, and abstains from
            the earlier moves of that source for good.
        table: the table that was read from disk, if any.
    """

    def __init__(self, now: int, table_lost: bool = False, table: AcceptorTable | None = None) -> None:
        self.rows: dict[str, InstanceState] = {}
        self.floors: dict[str, int] = {}
        self.by_key: dict[int, dict[str, None]] = {}  # moves that have a row, by session key
        self.table_lost = table_lost
        if table is not None:
            self.load(table, now)

    def table(self) -> AcceptorTable:
        """Return the whole table in the form in which it is written to disk."""
        floors = dict(self.floors)
        if self.table_lost:
            floors[""] = 1
        return AcceptorTable(list(self.rows.values()), floors)

    def load(self, table: AcceptorTable, now: int) -> None:
        """Load a table after a restart; ages restart at `now`, since the clocks of two boots cannot be compared."""
        self.rows = {row.move: replace(row, at=now) for row in table.rows}
        self.by_key = {}
        for row in self.rows.values():
            self.by_key.setdefault(row.key, {})[row.move] = None
        self.floors = dict(table.floors)
        self.table_lost = self.floors.pop("", 0) > 0

    def raise_floor(self, source: str, next_stamp: int) -> None:
        """Record the stamp of the next move of a source; the caller writes `table` before the next vote."""
        if next_stamp > self.floors.get(source, 0):
            self.floors[source] = next_stamp

    def prepare(self, move: str, ballot: Ballot, now: int, key: int = 0) -> AcceptorReply:
        """First phase: promise to accept no ballot below `ballot`; `key` is that of the session, 0 if unknown."""
        row = self._row(move, ballot, key)
        if row is None:
            return ABSTENTION
        # An equal ballot is granted, because a request that is delivered twice must get the same answer.
        if row.decided or ballot < row.promised or ballot[0] < 2:
            return self._answer(row, False)
        return self._answer(row, True, self._changed(row, now, promised=ballot))

    def accept(self, move: str, ballot: Ballot, value: DecisionValue, now: int, key: int = 0) -> AcceptorReply:
        """Second phase: accept `value` unless a higher ballot was promised."""
        row = self._row(move, ballot, key)
        if row is None:
            return ABSTENTION
        # Round 1 has no first phase, so only the target may use it; otherwise two values could be accepted in it.
        is_allowed = ballot[0] >= 2 or (ballot == (1, parse_move_name(move)[2]) and value == "taker")
        if row.decided or ballot < row.promised or not is_allowed:
            return self._answer(row, False)
        return self._answer(row, True, self._changed(row, now, promised=ballot, accepted=ballot, value=value))

    def may_add_row(self, move: str) -> bool:
        """Whether a row may be added for a move: it has none, and this member cannot have voted on it before."""
        stamp, source, _ = parse_move_name(move)
        # A member that has lost a promise or a vote must not vote on the same move again.
        is_new = stamp >= self.floors[source] if source in self.floors else not self.table_lost
        return is_new and move not in self.rows and len(self.rows) < MAX_ROWS

    def may_have_moved(self, key: int, holder: str, since: int) -> bool:
        """Whether, by the votes of this member, a session may have left `holder`, or come to it at or after `since`."""
        rows = [self.rows[move] for move in self.by_key.get(key, ())]
        rows = [row for row in rows if not (row.decided and row.value == "off")]
        if rows:
            newest = max(rows, key=lambda row: row.at)
            if newest.at >= since or parse_move_name(newest.move)[2] != holder:
                return True
        # Members of an older protocol level do not send the key, so their moves have rows without one.
        return any(
            self.rows[move].at >= since and holder in parse_move_name(move)[1:] for move in self.by_key.get(0, ())
        )

    def note_decision(self, move: str, value: DecisionValue, now: int) -> InstanceState | None:
        """Record a decision; returns the row to write, or None if the move has no row or its decision was known."""
        row = self.rows.get(move)
        if row is None or row.decided:
            return None
        row.value, row.decided, row.at = value, True, now
        return row

    def prune(self, now: int) -> bool:
        """Remove old decided rows; if True, the caller writes the whole `table` before the next vote."""
        expired = [row.move for row in self.rows.values() if row.decided and row.at <= now - DECIDED_RETENTION_US]
        for move in expired:
            stamp, source, _ = parse_move_name(move)
            # Without the floor a late message would add an empty row, and the move could be decided a second time.
            self.floors[source] = max(self.floors.get(source, 0), stamp + 1)
            self._forget_key(self.rows.pop(move))
        return bool(expired)

    def long_undecided(self, now: int) -> list[str]:
        """Moves that have been undecided for `UNDECIDED_LIMIT_US`, so that this member should settle them."""
        return [row.move for row in self.rows.values() if not row.decided and row.at <= now - UNDECIDED_LIMIT_US]

    def _row(self, move: str, ballot: Ballot, key: int) -> InstanceState | None:
        """The row of a move, or a new one where it may be added; None if this acceptor abstains."""
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
    """A request to one acceptor: `prepare` if `value` is None, else `accept`."""

    to: str
    move: str
    ballot: Ballot
    value: DecisionValue | None


@dataclass(slots=True)
class Proposer:
    """Gets one move decided; each process has at most one proposer with the same `proposer_id`.

    `backoff` is called with the number of failed rounds and returns the microseconds until the next round. It uses full
    jitter, so that two proposers do not outbid each other forever.
    """

    move: str
    proposer_id: str  # unique text, for instance `name#incarnation.1`; the mark of its ballots
    voters: tuple[str, ...]
    backoff: Callable[[int], int]
    ballot: Ballot = NO_BALLOT
    value: DecisionValue | None = None  # proposed in the second phase; None in the first phase
    decided: DecisionValue | None = None
    replies: dict[str, AcceptorReply] = field(default_factory=dict)
    highest_round: int = 1  # the highest round that was seen in any reply
    failed_rounds: int = 0
    backing_off: bool = False
    next_at: int = 0  # when requests are repeated or the next round begins
    round_ends_at: int = 0  # when the round is given up

    def begin_target_round(self, now: int) -> list[ProposerRequest]:
        """Start round 1, reserved for the target, with the value 'taker' and no first phase.

        After a restart the target starts the same ballot with the same value, so repeating it is safe.
        """
        return self._begin_round((1, parse_move_name(self.move)[2]), "taker", now)

    def begin_full_round(self, now: int) -> list[ProposerRequest]:
        """Start both phases in a round above all known ones; proposes 'off' unless a value was accepted."""
        return self._begin_round((self.highest_round + 1, self.proposer_id), None, now)

    def receive_reply(
        self, voter: str, ballot: Ballot, value: DecisionValue | None, answer: AcceptorReply, now: int
    ) -> list[ProposerRequest]:
        """Take the answer to the request with `ballot` and `value`; it may be late or delivered twice."""
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
            return []  # without a higher promise the voter abstains, and the request is repeated
        self.replies[voter] = answer
        granted = list(self.replies.values())
        if len(granted) > len(self.voters) // 2:
            if self.value is not None:
                self.decided = self.value
                return []
            # A value that one of them has accepted may be decided already, so it must be proposed again.
            highest = max(granted, key=lambda each: each.accepted)
            self.value = highest.value if highest.value is not None else "off"
            self.replies = {}
            return self._requests(self.voters, now)
        return []

    def on_timer(self, now: int) -> list[ProposerRequest]:
        """At `next_at`, repeat the requests to voters that have not answered, or go on to the next round."""
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
