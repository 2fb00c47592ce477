"""Decisions on moves by Paxos: this member's votes, and its vote requests to the others.

The protocol itself is in `consensus.py`; here it is connected to the disk and to the other members. `now` is
microseconds of the boot clock.
"""

from collections import deque
from collections.abc import Iterable

import gevent
import gevent.event

from cedarwick.fleet.consensus import (
    ABSTENTION,
    AcceptorReply,
    Ballot,
    Proposer,
    ProposerRequest,
    Value,
    parts,
)
from cedarwick.fleet.membership import MemberStatus
from cedarwick.fleet.messages import (
    AcceptRequest,
    BallotNumber,
    Body,
    MigrationDecided,
    PrepareRequest,
    VoteReply,
)
from cedarwick.fleet.migration_state import VOTE_TIMEOUT_S, MigrationState
from cedarwick.fleet.migration_table import (
    CALLED_OFF,
    FOR_TARGET,
    MAX_MOVES_OUT,
    MigrationAction,
    MigrationStep,
)
from cedarwick.fleet.replicated_store import monotonic_time


def ballot_of(vote: BallotNumber) -> Ballot:
    """The ballot that a peer message carries."""
    return vote.round, vote.proposer


def value_of(text: str) -> Value | None:
    """The value of a decision that a peer message carries; None where it is unknown."""
    return FOR_TARGET if text == FOR_TARGET else CALLED_OFF if text == CALLED_OFF else None


def voted(move: str, answer: AcceptorReply) -> VoteReply:
    """An acceptor's answer as a peer message."""
    return VoteReply(
        move,
        answer.granted,
        BallotNumber(*answer.promised),
        BallotNumber(*answer.accepted),
        answer.value or "",
        answer.decided,
    )


class MigrationVotes(MigrationState):
    """Votes on moves, requests votes of the others, and settles moves that stay undecided."""

    def vote(self, move: str, ballot: Ballot, value: Value | None, key: int) -> AcceptorReply:
        """This member's own vote, written to the disk before it is returned; `ABSTENTION` where that fails.

        `value` None: the first phase (prepare); else the second one (accept). `key`: the session's; 0: not known.
        """
        now = monotonic_time()
        if value == FOR_TARGET and self._barred(move, key, now):
            return ABSTENTION
        answer = (
            self.acceptor.prepare(move, ballot, now, key)
            if value is None
            else self.acceptor.accept(move, ballot, value, now, key)
        )
        row = answer.write or (self.acceptor.rows[move] if move in self.unwritten else None)
        if row is not None:
            # Until the row is on the disk it stays in `unwritten`: the same request repeated changes no row, and would
            # otherwise be granted with nothing written.
            self.unwritten.add(move)
            if not self._guarded(self.files.append_vote, row):
                return ABSTENTION
            self.unwritten.discard(move)
        return answer

    def _barred(self, move: str, key: int, now: int) -> bool:
        """Whether a vote for the target could give the session a second holder, beside a member that inherits it."""
        source = parts(move)[1]
        known = move in self.acceptor.rows or self.node.members.status(now, source) is MemberStatus.ALIVE
        return self.directory.forbids_vote(key, source, now, known)

    def learned(self, source: str, stamp: int) -> None:
        """Note the stamp of a source's next move, from its answer to a request of this boot.

        Do not call it for a request that the source sent by itself: that may have been written before this boot.
        """
        if stamp and self.acceptor.lost and source not in self.acceptor.floors:
            self.acceptor.raise_floor(source, stamp)
            self._guarded(self.files.write_acceptor_table, self.acceptor.table())

    def _ask(self, ask: ProposerRequest) -> None:
        """Send a vote request to another member and take its answer, waiting `VOTE_TIMEOUT_S` seconds at most."""
        vote, key = BallotNumber(*ask.ballot), self._key(ask.move)
        body: Body = (
            PrepareRequest(ask.move, vote, key) if ask.value is None else AcceptRequest(ask.move, vote, ask.value, key)
        )
        reply = self.call(ask.to, body, VOTE_TIMEOUT_S)
        if isinstance(reply, VoteReply):
            value = value_of(reply.value)
            answer = AcceptorReply(
                reply.granted,
                ballot_of(reply.promised),
                ballot_of(reply.accepted),
                value,
                reply.decided and value is not None,
            )
            orphan, now = self.orphaned_proposers.get(ask.move), monotonic_time()
            if orphan is not None:
                self._request_orphan_votes(orphan.receive_reply(ask.to, ask.ballot, ask.value, answer, now), now)
                self._announce_orphan_decision(orphan)
            self.carry_out(self.moves.answered(ask, answer, now))

    def _tell(self, step: MigrationStep) -> None:
        """Send the decision to one member, or to all, and record it here.

        Where that one has no active side of the move, its partition may have another holder: then send it to all.
        """
        assert step.value is not None
        others = [name for name in self.node.halls if name != self.name]
        for name in [step.to] if step.to in others else others:
            if step.to:
                if not self._tell_one(name, step):
                    gevent.joinall([gevent.spawn(self._tell_one, each, step) for each in others if each != name])
            else:
                gevent.spawn(self._tell_one, name, step)
        row = self.acceptor.note_decision(step.move, step.value, monotonic_time())
        if row is not None:
            self._guarded(self.files.append_vote, row)

    def _tell_one(self, name: str, step: MigrationStep) -> bool:
        """Send the decision to one member; True if the target's side is active there."""
        answer = self.call(name, MigrationDecided(step.move, step.value or "", step.active), VOTE_TIMEOUT_S)
        if not isinstance(answer, MigrationDecided) or (value := value_of(answer.value)) is None:
            return False
        self.carry_out(self.moves.settled(step.move, value, answer.active, monotonic_time()))
        return answer.active

    def _settle_orphaned_moves(self, now: int) -> None:
        """Settle old undecided moves that this member has voted on: both sides may have lost their part."""
        for name in self.acceptor.undecided(now):
            known = name in self.moves.moves or name in self.orphaned_proposers
            if not known and len(self.orphaned_proposers) < MAX_MOVES_OUT:
                # Each proposer of this boot needs ballots of its own, hence a mark that no other one has.
                self.moves.proposers += 1
                mark = f"{self.moves.mark}.{self.moves.proposers}"
                self.orphaned_proposers[name] = Proposer(name, mark, self.moves.voters, self.moves.wait)
                self._request_orphan_votes(self.orphaned_proposers[name].begin_full_round(now), now)
        for orphan in list(self.orphaned_proposers.values()):
            self._request_orphan_votes(orphan.on_timer(now), now)

    def _request_orphan_votes(self, asks: Iterable[ProposerRequest], now: int) -> None:
        """Put vote requests to this member's own acceptor at once, and to the others in greenlets of their own."""
        todo = deque(asks)
        while todo:
            ask = todo.popleft()
            orphan = self.orphaned_proposers.get(ask.move)
            if orphan is not None and ask.to == self.name:
                answer = self.vote(ask.move, ask.ballot, ask.value, self._key(ask.move))
                todo.extend(orphan.receive_reply(ask.to, ask.ballot, ask.value, answer, now))
                self._announce_orphan_decision(orphan)
            elif orphan is not None:
                gevent.spawn(self._ask, ask)

    def _announce_orphan_decision(self, orphan: Proposer) -> None:
        """Send the decision to all once it is known."""
        if orphan.decided is not None and self.orphaned_proposers.pop(orphan.move, None) is not None:
            self.counters.add("moves settled that nobody held any more")
            gevent.spawn(self._tell, MigrationStep(MigrationAction.TELL, orphan.move, value=orphan.decided))
