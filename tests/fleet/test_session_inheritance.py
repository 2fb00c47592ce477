"""Inheritance of the sessions of a sender whose partition was adopted.

No id may be accepted twice, even if peer messages are lost, late or duplicated, and members restart.
"""

import random
import unittest
from unittest import mock

from cedarwick.fleet.consensus import Acceptor, format_move_name
from cedarwick.fleet.messages import (
    PROTOCOL_LEVEL,
    PROTOCOL_VERSION,
    PeerMessage,
    RecentIdEntry,
    StageSession,
    decode,
    encode,
)
from cedarwick.fleet.recent_ids import UNKNOWN_HASH, RecentIds, submission_hash
from cedarwick.fleet.replica import ReplicaEntry
from cedarwick.fleet.replication import MAX_MESSAGE_NUMBER
from cedarwick.fleet.replication_facts import EndRank, Fact, MessageBase, MessageKnowledge, TermAttempts
from cedarwick.fleet.sessions import (
    ENTRY_TTL_US,
    ID_RETENTION_US,
    SESSION_TTL_US,
    ClaimAnswer,
    ClaimRequest,
    SessionDirectory,
    SubmissionRuling,
)

KEY, SECOND = 7, 1_000_000
SEEDS = 2200  # random histories; each guard of the rule, if removed, makes at least one of them fail
NAMES = "ABC"
EVENTS = (
    ["submit_message"] * 20
    + ["deliver_message"] * 20
    + ["vote"] * 16
    + ["adopt_partition", "gossip"] * 6
    + ["begin_move", "sleep"] * 3
    + ["wake", "open_partition", "restart", "resync_replicas"]
)


class Member:
    """A sender reduced to its session directory, its votes and the partitions that it has granted."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.directory = SessionDirectory(name, len(NAMES), 0, has_no_history=True)
        self.acceptor = Acceptor(0)
        self.newest_partitions = dict.fromkeys(NAMES, 0)  # by owner, as far as granted here
        self.partition_holders = {(owner, 0): owner for owner in NAMES}
        self.partition = 0
        self.awake = True
        self.lost_partition = False  # whether its partition was adopted
        self.frozen_for = ""  # the move for which its session is frozen
        self.staged_move = ""  # the move of which it is the target, from its own vote on
        self.staged_at_adoption = ""  # the move that was staged when it opened its next partition
        self.inheritable_sessions: dict[
            tuple[str, int], tuple[int, list[int]]
        ] = {}  # when complete; when the id was accepted

    def vote_forbidden(self, move: str, source: "Member", now: int) -> bool:
        """As `MigrationVotes._vote_forbidden`."""
        return self.directory.forbids_vote(KEY, source.name, now, move in self.acceptor.rows or source.awake)


class Model:
    """Three members, one session, one id, and peer messages that arrive late, twice or never."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.now = 0
        self.members = {name: Member(name) for name in NAMES}
        self.accepted: list[tuple[int, str, int]] = []  # when, member, partition
        self.complete_since = dict.fromkeys(NAMES, 0)  # since when the replicas know all ids of the newest partition
        self.peer_messages: list[tuple[str, str, object, ClaimAnswer | None]] = []
        self.moves: dict[str, tuple[str, str, int, dict[str, tuple[int, int]], set[str]]] = {}
        self.began_at: dict[str, int] = {}
        self.next_stamp = 1
        self.inheritance_count = 0

    def step(self) -> None:
        event = self.rng.choice(EVENTS)
        self.now += self.rng.choice([0] * 60 + [SECOND, 4 * SECOND, ID_RETENTION_US + 1])
        for each in self.members.values():
            if each.awake:
                each.directory.clean_up(self.now)
        actor, peer = (self.members[name] for name in self.rng.sample(NAMES, 2))
        if actor.awake:
            getattr(self, event)(actor, peer)
        elif event == "wake":
            actor.awake = True

    # ---- partitions ----

    def sleep(self, actor: Member, peer: Member) -> None:
        if all(each.awake for each in self.members.values()):
            actor.awake = False

    def wake(self, actor: Member, peer: Member) -> None:
        """Do nothing: `step` wakes a sleeping member, and this one is awake."""

    def adopt_partition(self, actor: Member, peer: Member) -> None:
        """`actor` and the third member grant `actor` the partition of the sleeping `peer`."""
        if peer.awake or peer.lost_partition:
            return
        peer.lost_partition = True
        self.now += 2 * SECOND
        (third,) = (each for each in self.members.values() if each not in (actor, peer))
        for each in (actor, third):
            each.partition_holders[peer.name, peer.partition] = actor.name
        received_at = [
            at
            for at, sender, partition in self.accepted
            if (sender, partition) == (peer.name, peer.partition) and at >= self.complete_since[peer.name]
        ]
        actor.inheritable_sessions[peer.name, peer.partition] = (
            self.complete_since[peer.name] + ID_RETENTION_US,
            received_at,
        )
        for each in (actor, third):
            each.directory.expire_entries_of(peer.name, self.now)

    def open_partition(self, actor: Member, peer: Member) -> None:
        """Granted by `actor` and `peer`: the next partition of one that has lost its own."""
        if not actor.lost_partition or not peer.awake:
            return
        actor.lost_partition, actor.partition = False, actor.partition + 1
        self.complete_since[actor.name] = self.now
        for each in (actor, peer):
            each.newest_partitions[actor.name] = max(each.newest_partitions[actor.name], actor.partition)
            each.partition_holders[actor.name, actor.partition] = actor.name
        actor.directory.mark_all_uncertain()
        actor.staged_at_adoption = actor.staged_move

    def resync_replicas(self, actor: Member, peer: Member) -> None:
        """The replicas of its partition are rebuilt, without earlier ids."""
        self.complete_since[actor.name] = self.now

    def restart(self, actor: Member, peer: Member) -> None:
        if all(each.awake for each in self.members.values()):
            self.now += SECOND
            actor.directory = SessionDirectory(actor.name, len(NAMES), self.now)
            actor.acceptor = Acceptor(self.now, table=actor.acceptor.table())
            if actor.staged_move:
                self.moves[actor.staged_move][4].add("active")  # it has lost the move, and never activates it
            actor.frozen_for = actor.staged_move = ""
            actor.inheritable_sessions.clear()
            # Moves that stay undecided for 15 s after a restart of their source are out of the scope of this model.
            for name in [
                name for name, move in self.moves.items() if move[0] == actor.name and len(move[4] - {"active"}) < 2
            ]:
                for each in self.members.values():
                    each.staged_move = each.staged_move if each.staged_move != name else ""
                del self.moves[name]
            self.complete_since[actor.name] = self.now

    def gossip(self, actor: Member, peer: Member) -> None:
        if not actor.lost_partition:
            peer.directory.merge_entries(actor.directory.next_locations(9, self.now), self.now)

    # ---- moves ----

    def begin_move(self, actor: Member, peer: Member) -> None:
        session = actor.directory.sessions.get(KEY)
        if (
            actor.lost_partition
            or actor.frozen_for
            or session is None
            or not session.is_certain
            or session.last_used_at < self.now - SESSION_TTL_US
        ):
            return
        name = actor.frozen_for = format_move_name(self.next_stamp, actor.name, peer.name)
        self.next_stamp += 1
        actor.directory.hold(KEY, session.sequence + 1, actor.directory.recent_ids(KEY, self.now), self.now)
        self.began_at[name] = self.now
        self.moves[name] = (
            actor.name,
            peer.name,
            session.sequence + 1,
            {id: (self.now - age, hashed) for id, (age, hashed) in actor.directory.recent_ids(KEY, self.now).items()},
            set(),
        )

    def vote(self, actor: Member, peer: Member) -> None:
        """`actor` receives the target's vote request on a move; the source of a decided move learns of the decision."""
        if not self.moves:
            return
        name = self.rng.choice(list(self.moves)[-2:])
        source, target, sequence, ids, votes = self.moves[name]
        if not votes and (actor.name != target or self.now > self.began_at[name] + 4 * SECOND):
            return  # the target stores the session before it asks, and no peer message arrives later than that
        if self.members[target].awake and not actor.vote_forbidden(name, self.members[source], self.now):
            if actor.acceptor.accept(name, (1, target), "taker", self.now, KEY).granted:
                votes.add(actor.name)
                if actor.name == target and "active" not in votes:
                    actor.staged_move = name
        if len(votes) < 2:
            return
        if actor.name == target and "active" not in votes and not actor.lost_partition:
            votes.add("active")
            directory, actor.staged_move = actor.directory, ""
            if not directory.is_superseded(KEY, source, sequence):
                directory.hold(
                    KEY,
                    sequence + 1,
                    {id: (self.now - at, hashed) for id, (at, hashed) in ids.items()},
                    self.now,
                    actor.staged_at_adoption != name,
                )
        if actor.name == source and actor.frozen_for == name:
            actor.frozen_for = ""
            actor.directory.record_new_holder(KEY, target, sequence + 1, self.now)

    # ---- submissions ----

    def deliver_message(self, actor: Member, peer: Member) -> None:
        if not self.peer_messages:
            return
        index = self.rng.randrange(len(self.peer_messages))
        if self.rng.random() < 0.8:  # otherwise it is delivered again later
            self.peer_messages[index], self.peer_messages[-1] = self.peer_messages[-1], self.peer_messages[index]
            recipient, sender, request, answer = self.peer_messages.pop()
        else:
            recipient, sender, request, answer = self.peer_messages[index]
        member = self.members[recipient]
        if not member.awake:
            return
        if answer is not None:
            claim = request[0] if isinstance(request, tuple) and isinstance(request[0], ClaimRequest) else request
            assert isinstance(claim, ClaimRequest)
            member.directory.record_claim_answer(claim, sender, answer, self.now)
        elif isinstance(request, ClaimRequest):
            moving = member.frozen_for + member.staged_move != ""
            self.peer_messages.append(
                (
                    sender,
                    recipient,
                    request,
                    ClaimAnswer(False, None) if moving else member.directory.answer_claim(request, sender, self.now),
                )
            )
        else:
            assert isinstance(request, tuple)
            self.peer_messages.append(
                (sender, recipient, request, self.answer_inheritance_claim(member, request[0], request[1], sender))
            )

    def answer_inheritance_claim(self, member: Member, claim: ClaimRequest, partition: int, sender: str) -> ClaimAnswer:
        """As `SessionInheritances._answer_inheritance`."""
        holder = claim.replaced[1]
        holds = (
            member.newest_partitions[holder] == partition
            and member.partition_holders.get((holder, partition)) == sender
        )
        may_have_moved = (
            member.acceptor.may_have_moved(KEY, holder, self.now - ID_RETENTION_US)
            or member.frozen_for + member.staged_move != ""
        )
        return member.directory.answer_inheritance(claim, sender, holds, may_have_moved, self.now)

    def submit_message(self, actor: Member, peer: Member) -> None:
        """A client submits to `actor`, which forwards to no member but `peer`."""
        if actor.frozen_for or actor.staged_move:
            return
        ruling, holder = actor.directory.rule_on_submission(KEY, "id", 1, False, self.now), actor
        if (
            ruling is SubmissionRuling.FORWARD
            and peer.awake
            and actor.directory.holder_of(KEY) == peer.name
            and not peer.frozen_for + peer.staged_move
        ):
            ruling, holder = peer.directory.rule_on_submission(KEY, "id", 1, True, self.now), peer
            if ruling is SubmissionRuling.NOT_HELD:
                ruling = actor.directory.forward_refused(
                    KEY, peer.name, peer.directory.answer_not_held(KEY, self.now), self.now
                )
                holder = actor
        elif ruling is SubmissionRuling.FORWARD and not self.members[actor.directory.holder_of(KEY) or "A"].awake:
            self.inherit(actor)
        if ruling is SubmissionRuling.CLAIM and not holder.lost_partition:
            claim = holder.directory.begin_claim(KEY, self.now)
            if claim is not None:
                self.peer_messages += [(name, holder.name, claim, None) for name in NAMES if name != holder.name]
        if ruling is SubmissionRuling.ACCEPT and not holder.lost_partition:
            last = max((at for at, _, _ in self.accepted), default=-ENTRY_TTL_US)
            if self.now - last <= ID_RETENTION_US:
                raise AssertionError(f"accepted at {last} and {self.now}: {self.accepted[-2:]}, now by {holder.name}")
            self.accepted.append((self.now, holder.name, holder.partition))
            holder.directory.record_accepted(KEY, "id", 1, self.now)
            # A majority renews its lease, and receives its session locations.
            locations = holder.directory.next_locations(9, self.now)
            self.members[self.rng.choice([name for name in NAMES if name != holder.name])].directory.merge_entries(
                locations, self.now
            )

    def inherit(self, actor: Member) -> None:
        """As `SessionInheritances._inherit`."""
        entry = actor.directory.entry(KEY, self.now)
        if entry is None or actor.lost_partition or entry.holder == actor.name:
            return
        partition = actor.newest_partitions[entry.holder]
        complete_at, received_at = actor.inheritable_sessions.get((entry.holder, partition), (self.now + 1, []))
        if complete_at > self.now or actor.partition_holders.get((entry.holder, partition)) != actor.name:
            return
        replaced = entry.sequence, entry.holder
        if self.answer_inheritance_claim(
            actor, ClaimRequest(KEY, 0, replaced, self.now), partition, actor.name
        ).granted:
            ids = (
                {"id": (self.now - max(received_at), 1)}
                if max(received_at, default=-ENTRY_TTL_US) >= self.now - ID_RETENTION_US
                else {}
            )
            claim = actor.directory.begin_inheritance(KEY, ids, self.now)
            if claim is not None:
                self.inheritance_count += 1
                self.peer_messages += [
                    (name, actor.name, (claim, partition), None) for name in NAMES if name != actor.name
                ]


class ModelHistoriesTest(unittest.TestCase):
    def test_an_id_is_accepted_once_even_if_its_holder_dies_is_paused_or_moves_the_session(self) -> None:
        inheritance_count = accepted_count = 0
        for seed in range(SEEDS):
            model = Model(random.Random(seed))
            with self.subTest(seed=seed):
                for _ in range(300):
                    model.step()
            inheritance_count += model.inheritance_count
            accepted_count += len(model.accepted)
        self.assertGreater((inheritance_count, accepted_count), (200, 3000))


class RecentIdsOfAReplicaTest(unittest.TestCase):
    BASE = MessageBase("1", "", KEY, "line", "", 0, 9, b"x")

    def replica_step(self, first: int, *facts: Fact, term: int = 1) -> tuple[ReplicaEntry, tuple[Fact, ...]]:
        return ReplicaEntry(term, first + len(facts), MAX_MESSAGE_NUMBER, 0, 0, b""), facts

    def test_an_answered_id_is_kept_for_its_retention_time_and_a_refused_one_is_not(self) -> None:
        recent_ids = RecentIds(0)
        recent_ids.record(ReplicaEntry(1, 5, MAX_MESSAGE_NUMBER, 0, MAX_MESSAGE_NUMBER, b""), (), 0)
        second = MessageBase("2", "", KEY, "line", "", 0, 9, b"y")
        recent_ids.record(
            *self.replica_step(5, Fact(1, self.BASE, MessageKnowledge()), Fact(2, second, MessageKnowledge())), 10
        )
        recent_ids.record(*self.replica_step(7, Fact(1, None, MessageKnowledge({1: TermAttempts(1, False, 5, 0)}))), 20)
        recent_ids.record(
            *self.replica_step(
                8,
                Fact(1, None, MessageKnowledge({1: TermAttempts(1, True, 5, 0)}, end=(EndRank.COMPLETED, 0))),
                Fact(2, None, MessageKnowledge(end=(EndRank.NOTIFIED, 0))),
            ),
            30,
        )
        self.assertEqual(recent_ids.ids_by_session(), {KEY: {"1": (10, submission_hash(self.BASE))}})
        self.assertEqual(recent_ids.complete_at(), ID_RETENTION_US)
        recent_ids.record(*self.replica_step(10), ID_RETENTION_US + 11)
        self.assertEqual(recent_ids.ids_by_session(), {})

    def test_a_gap_a_new_term_and_too_many_ids_restart_the_recorded_time(self) -> None:
        for step, expected_since in (
            (self.replica_step(3), 0),
            (self.replica_step(4), 9),
            (self.replica_step(3, term=2), 9),
            ((ReplicaEntry(1, 8, MAX_MESSAGE_NUMBER, 0, MAX_MESSAGE_NUMBER, b""), ()), 9),
            ((ReplicaEntry(1, 3, MAX_MESSAGE_NUMBER, 0, MAX_MESSAGE_NUMBER, b""), ()), 0),
        ):
            recent_ids = RecentIds(0)
            recent_ids.record(ReplicaEntry(1, 3, 5, 0, 5, b""), (), 0)
            recent_ids.record(*step, 9)
            self.assertEqual(recent_ids.recorded_since, expected_since)
        with mock.patch("cedarwick.fleet.recent_ids.MAX_IDS", 2):
            recent_ids.record(
                *self.replica_step(3, *(Fact(number, self.BASE, MessageKnowledge()) for number in (1, 2))), 20
            )
            recent_ids.record(*self.replica_step(5, Fact(3, self.BASE, MessageKnowledge())), 30)
        self.assertEqual((recent_ids.recorded_since, list(recent_ids.by_number)), (21, [2, 3]))

    def test_an_id_with_unknown_contents_is_transferred_with_a_move(self) -> None:
        stage = StageSession("m", KEY, 1, b"", 0, (RecentIdEntry("1", 0, UNKNOWN_HASH),))
        self.assertEqual(
            decode(encode(PeerMessage(PROTOCOL_VERSION, PROTOCOL_LEVEL, "g", "a", 1, "b", stage))).body, stage
        )

    def test_contents_that_are_no_longer_sent_match_no_submission(self) -> None:
        recent_ids = RecentIds(0)
        recent_ids.record(*self.replica_step(0, Fact(1, self.BASE, MessageKnowledge(end=(EndRank.FAILED, 0)))), 1)
        self.assertEqual(recent_ids.ids_by_session(), {KEY: {"1": (1, UNKNOWN_HASH)}})


if __name__ == "__main__":
    unittest.main()
