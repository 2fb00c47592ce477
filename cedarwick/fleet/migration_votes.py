"""Decisions on moves: the votes of this member, and its vote requests to other members.

`consensus.py` implements the protocol (Paxos); this module connects it to the disk and to the other members. `now` is
in microseconds of the boot clock.
"""

from collections import deque
from collections.abc import Iterable

import gevent
import gevent.event

from cedarwick.fleet.consensus import (
    ABSTENTION,
    AcceptorReply,
    Ballot,
    DecisionValue,
    Proposer,
    ProposerRequest,
    parse_move_name,
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
    MAX_OUTGOING_MOVES,
    MigrationAction,
    MigrationStep,
)
from cedarwick.fleet.replicated_store import monotonic_time


def ballot_of(ballot: BallotNumber) -> Ballot:
    """Convert the ballot of a peer message."""
    return ballot.round, ballot.proposer


def value_of(text: str) -> DecisionValue | None:
    """Convert the decision value of a peer message; None if it is unknown."""
    return FOR_TARGET if text == FOR_TARGET else CALLED_OFF if text == CALLED_OFF else None


def vote_reply_of(move: str, answer: AcceptorReply) -> VoteReply:
    """Convert the answer of an acceptor to a peer message."""
    return VoteReply(
        move,
        answer.granted,
        BallotNumber(*answer.promised),
        BallotNumber(*answer.accepted),
        answer.value or "",
        answer.decided,
    )


class MigrationVotes(MigrationState):
    """Votes on moves, requests the votes of other members, and settles moves that stay undecided."""

    def vote(self, move: str, ballot: Ballot, value: DecisionValue | None, key: int) -> AcceptorReply:
        """Vote on a move; the vote is on disk before it is returned, and `ABSTENTION` is returned if that fails.

        If `value` is None this is the first phase (prepare), else the second (accept). `key` is that of the session, 0
        if unknown.
        """
        now = monotonic_time()
        if value == FOR_TARGET and self._vote_forbidden(move, key, now):
            return ABSTENTION
        answer = (
            self.acceptor.prepare(move, ballot, now, key)
            if value is None
            else self.acceptor.accept(move, ballot, value, now, key)
        )
        row = answer.unsaved_row or (self.acceptor.rows[move] if move in self.unsaved_votes else None)
        if row is not None:
            # The move stays in `unsaved_votes` until its row is on disk. A repeated request changes no row, and would
            # otherwise be granted with nothing written.
            self.unsaved_votes.add(move)
            if not self._try_to_save(self.files.append_vote, row):
                return ABSTENTION
            self.unsaved_votes.discard(move)
        return answer

    def _vote_forbidden(self, move: str, key: int, now: int) -> bool:
        """Whether a vote for the target could give the session a second holder, besides a member that inherits it."""
        source = parse_move_name(move)[1]
        known = move in self.acceptor.rows or self.node.members.status(now, source) is MemberStatus.ALIVE
        return self.directory.forbids_vote(key, source, now, known)

    def record_next_stamp(self, source: str, stamp: int) -> None:
        """Record the stamp of the next move of a source, taken from its answer to a request of this process.

        A request that the source sent of its own accord must not be used, as it may be older than this process.
        """
        if stamp and self.acceptor.table_lost and source not in self.acceptor.floors:
            self.acceptor.raise_floor(source, stamp)
            self._try_to_save(self.files.write_acceptor_table, self.acceptor.table())

    def _request_vote(self, request: ProposerRequest) -> None:
        """Send a vote request to another member, and take its answer if it comes within `VOTE_TIMEOUT_S`."""
        ballot_number, key = BallotNumber(*request.ballot), self._session_key(request.move)
        body: Body = (
            PrepareRequest(request.move, ballot_number, key)
            if request.value is None
            else AcceptRequest(request.move, ballot_number, request.value, key)
        )
        reply = self.call(request.to, body, VOTE_TIMEOUT_S)
        if isinstance(reply, VoteReply):
            value = value_of(reply.value)
            answer = AcceptorReply(
                reply.granted,
                ballot_of(reply.promised),
                ballot_of(reply.accepted),
                value,
                reply.decided and value is not None,
            )
            orphan, now = self.orphaned_proposers.get(request.move), monotonic_time()
            if orphan is not None:
                self._request_orphan_votes(
                    orphan.receive_reply(request.to, request.ballot, request.value, answer, now), now
                )
                self._announce_orphan_decision(orphan)
            self.carry_out(self.migration_table.on_vote_reply(request, answer, now))

    def _send_decision(self, step: MigrationStep) -> None:
        """Send the decision to one member or to all, and record it here.

        If the target is not active at that one member, the partition may have another holder, so all others get it too.
        """
        assert step.value is not None
        others = [name for name in self.node.halls if name != self.name]
        for name in [step.to] if step.to in others else others:
            if step.to:
                if not self._send_decision_to(name, step):
                    gevent.joinall(
                        [gevent.spawn(self._send_decision_to, each, step) for each in others if each != name]
                    )
            else:
                gevent.spawn(self._send_decision_to, name, step)
        row = self.acceptor.note_decision(step.move, step.value, monotonic_time())
        if row is not None:
            self._try_to_save(self.files.append_vote, row)

    def _send_decision_to(self, name: str, step: MigrationStep) -> bool:
        """Send the decision to one member; returns whether the target is active there."""
        answer = self.call(name, MigrationDecided(step.move, step.value or "", step.active), VOTE_TIMEOUT_S)
        if not isinstance(answer, MigrationDecided) or (value := value_of(answer.value)) is None:
            return False
        self.carry_out(self.migration_table.on_decision(step.move, value, answer.active, monotonic_time()))
        return answer.active

    def _settle_orphaned_moves(self, now: int) -> None:
        """Settle old undecided moves that this member has voted on, as both sides may have lost their state."""
        for name in self.acceptor.long_undecided(now):
            known = name in self.migration_table.by_name or name in self.orphaned_proposers
            if not known and len(self.orphaned_proposers) < MAX_OUTGOING_MOVES:
                # Each proposer of this process needs ballots of its own, and therefore a unique mark.
                self.migration_table.proposer_count += 1
                mark = f"{self.migration_table.boot_id}.{self.migration_table.proposer_count}"
                self.orphaned_proposers[name] = Proposer(
                    name, mark, self.migration_table.voters, self.migration_table.backoff
                )
                self._request_orphan_votes(self.orphaned_proposers[name].begin_full_round(now), now)
        for orphan in list(self.orphaned_proposers.values()):
            self._request_orphan_votes(orphan.on_timer(now), now)

    def _request_orphan_votes(self, requests: Iterable[ProposerRequest], now: int) -> None:
        """Call the local acceptor directly, and send the requests to other members in their own greenlets."""
        pending = deque(requests)
        while pending:
            request = pending.popleft()
            orphan = self.orphaned_proposers.get(request.move)
            if orphan is not None and request.to == self.name:
                answer = self.vote(request.move, request.ballot, request.value, self._session_key(request.move))
                pending.extend(orphan.receive_reply(request.to, request.ballot, request.value, answer, now))
                self._announce_orphan_decision(orphan)
            elif orphan is not None:
                gevent.spawn(self._request_vote, request)

    def _announce_orphan_decision(self, orphan: Proposer) -> None:
        """Send the decision on an orphaned move to all members, once it is known."""
        if orphan.decided is not None and self.orphaned_proposers.pop(orphan.move, None) is not None:
            self.counters.add("moves settled that nobody held any more")
            gevent.spawn(
                self._send_decision, MigrationStep(MigrationAction.SEND_DECISION, orphan.move, value=orphan.decided)
            )
