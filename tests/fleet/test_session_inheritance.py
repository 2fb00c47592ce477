"""Sessions of a sender whose partition was adopted:

no id is taken twice, whatever is lost, late, doubled or forgotten.
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
SEEDS = 2200  # the guards of this rule are missed by one of them each, if they are taken out
NAMES = "ABC"
WHAT = (
    ["submit"] * 20
    + ["deliver"] * 20
    + ["vote"] * 16
    + ["adopt", "gossip"] * 6
    + ["move", "sleep"] * 3
    + ["wake", "open", "restart", "gap"]
)


class Member:
    """One sender as far as sessions go: its directory, its votes, and what it has granted of partitions."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.directory = SessionDirectory(name, len(NAMES), 0, alone=True)
        self.acceptor = Acceptor(0)
        self.newest = dict.fromkeys(NAMES, 0)  # partition by owner, as far as was granted here
        self.holders = {(owner, 0): owner for owner in NAMES}
        self.partition = 0
        self.awake = True
        self.lost = False  # its partition was adopted
        self.frozen = ""  # the move that its session is frozen for
        self.staged = ""  # the move that it is the target of, from its own vote on
        self.slept = ""  # the move that was staged when its partition was adopted
        self.inheritable_sessions: dict[
            tuple[str, int], tuple[int, list[int]]
        ] = {}  # when whole; when the id was taken

    def barred(self, move: str, source: "Member", now: int) -> bool:
        """As `MigrationVotes._vote_forbidden`."""
        return self.directory.forbids_vote(KEY, source.name, now, move in self.acceptor.rows or source.awake)


class Model:
    """Three members, one session, one id, and peer messages that come late, twice or never."""

    def __init__(self, drawn: random.Random) -> None:
        self.drawn = drawn
        self.now = 0
        self.members = {name: Member(name) for name in NAMES}
        self.taken: list[tuple[int, str, int]] = []  # when, by whom, in which partition
        self.since = dict.fromkeys(NAMES, 0)  # from when on a copy of the newest partition knows all ids
        self.peer_messages: list[tuple[str, str, object, ClaimAnswer | None]] = []
        self.moves: dict[str, tuple[str, str, int, dict[str, tuple[int, int]], set[str]]] = {}
        self.began: dict[str, int] = {}
        self.stamp = 1
        self.inherited = 0

    def step(self) -> None:
        what = self.drawn.choice(WHAT)
        self.now += self.drawn.choice([0] * 60 + [SECOND, 4 * SECOND, ID_RETENTION_US + 1])
        for each in self.members.values():
            if each.awake:
                each.directory.forget(self.now)
        one, two = (self.members[name] for name in self.drawn.sample(NAMES, 2))
        if one.awake:
            getattr(self, what)(one, two)
        elif what == "wake":
            one.awake = True

    # ---- partitions ----

    def sleep(self, one: Member, two: Member) -> None:
        if all(each.awake for each in self.members.values()):
            one.awake = False

    def wake(self, one: Member, two: Member) -> None:
        """It was awake all the time."""

    def adopt(self, one: Member, two: Member) -> None:
        """`one` and the third member grant `one` the partition of `two`, which sleeps."""
        if two.awake or two.lost:
            return
        two.lost = True
        self.now += 2 * SECOND
        (third,) = (each for each in self.members.values() if each not in (one, two))
        for each in (one, third):
            each.holders[two.name, two.partition] = one.name
        found = [
            at
            for at, by, partition in self.taken
            if (by, partition) == (two.name, two.partition) and at >= self.since[two.name]
        ]
        one.inheritable_sessions[two.name, two.partition] = self.since[two.name] + ID_RETENTION_US, found
        for each in (one, third):
            each.directory.expire_entries_of(two.name, self.now)

    def open(self, one: Member, two: Member) -> None:
        """Granted by `one` and `two`: the next partition of one that has lost its own."""
        if not one.lost or not two.awake:
            return
        one.lost, one.partition = False, one.partition + 1
        self.since[one.name] = self.now
        for each in (one, two):
            each.newest[one.name] = max(each.newest[one.name], one.partition)
            each.holders[one.name, one.partition] = one.name
        one.directory.mark_all_unsure()
        one.slept = one.staged

    def gap(self, one: Member, two: Member) -> None:
        """The copies of its partition are brought to it anew."""
        self.since[one.name] = self.now

    def restart(self, one: Member, two: Member) -> None:
        if all(each.awake for each in self.members.values()):
            self.now += SECOND
            one.directory = SessionDirectory(one.name, len(NAMES), self.now)
            one.acceptor = Acceptor(self.now, table=one.acceptor.table())
            if one.staged:
                self.moves[one.staged][4].add("active")  # it has forgotten it
            one.frozen = one.staged = ""
            one.inheritable_sessions.clear()
            # A move that is still undecided 15 s after its source was started again is another matter.
            for name in [
                name for name, move in self.moves.items() if move[0] == one.name and len(move[4] - {"active"}) < 2
            ]:
                for each in self.members.values():
                    each.staged = each.staged if each.staged != name else ""
                del self.moves[name]
            self.since[one.name] = self.now

    def gossip(self, one: Member, two: Member) -> None:
        if not one.lost:
            two.directory.merge_entries(one.directory.next_locations(9, self.now), self.now)

    # ---- moves ----

    def move(self, one: Member, two: Member) -> None:
        session = one.directory.sessions.get(KEY)
        if one.lost or one.frozen or session is None or not session.sure or session.used < self.now - SESSION_TTL_US:
            return
        name = one.frozen = format_move_name(self.stamp, one.name, two.name)
        self.stamp += 1
        one.directory.hold(KEY, session.sequence + 1, one.directory.recent_ids(KEY, self.now), self.now)
        self.began[name] = self.now
        self.moves[name] = (
            one.name,
            two.name,
            session.sequence + 1,
            {id: (self.now - age, hashed) for id, (age, hashed) in one.directory.recent_ids(KEY, self.now).items()},
            set(),
        )

    def vote(self, one: Member, two: Member) -> None:
        """`one` gets the target's question on one of the moves; the source of a decided one hears of it."""
        if not self.moves:
            return
        name = self.drawn.choice(list(self.moves)[-2:])
        source, target, sequence, ids, votes = self.moves[name]
        if not votes and (one.name != target or self.now > self.began[name] + 4 * SECOND):
            return  # it asks nobody before it has kept what was staged, and no peer message comes later than that
        if self.members[target].awake and not one.barred(name, self.members[source], self.now):
            if one.acceptor.accept(name, (1, target), "taker", self.now, KEY).granted:
                votes.add(one.name)
                if one.name == target and "active" not in votes:
                    one.staged = name
        if len(votes) < 2:
            return
        if one.name == target and "active" not in votes and not one.lost:
            votes.add("active")
            directory, one.staged = one.directory, ""
            if not directory.superseded(KEY, source, sequence):
                directory.hold(
                    KEY,
                    sequence + 1,
                    {id: (self.now - at, hashed) for id, (at, hashed) in ids.items()},
                    self.now,
                    one.slept != name,
                )
        if one.name == source and one.frozen == name:
            one.frozen = ""
            one.directory.record_new_holder(KEY, target, sequence + 1, self.now)

    # ---- submissions ----

    def deliver(self, one: Member, two: Member) -> None:
        if not self.peer_messages:
            return
        place = self.drawn.randrange(len(self.peer_messages))
        if self.drawn.random() < 0.8:  # else it comes once more
            self.peer_messages[place], self.peer_messages[-1] = self.peer_messages[-1], self.peer_messages[place]
            to, by, told, answer = self.peer_messages.pop()
        else:
            to, by, told, answer = self.peer_messages[place]
        member = self.members[to]
        if not member.awake:
            return
        if answer is not None:
            asking = told[0] if isinstance(told, tuple) and isinstance(told[0], ClaimRequest) else told
            assert isinstance(asking, ClaimRequest)
            member.directory.record_claim_answer(asking, by, answer, self.now)
        elif isinstance(told, ClaimRequest):
            moving = member.frozen + member.staged != ""
            self.peer_messages.append(
                (
                    by,
                    to,
                    told,
                    ClaimAnswer(False, None) if moving else member.directory.answer_claim(told, by, self.now),
                )
            )
        else:
            assert isinstance(told, tuple)
            self.peer_messages.append((by, to, told, self.successor_claims(member, told[0], told[1], by)))

    def successor_claims(self, member: Member, asking: ClaimRequest, partition: int, by: str) -> ClaimAnswer:
        """As `SessionInheritances._answer_inheritance`."""
        holder = asking.over[1]
        holds = member.newest[holder] == partition and member.holders.get((holder, partition)) == by
        may_have_moved = (
            member.acceptor.may_have_moved(KEY, holder, self.now - ID_RETENTION_US)
            or member.frozen + member.staged != ""
        )
        return member.directory.answer_inheritance(asking, by, holds, may_have_moved, self.now)

    def submit(self, one: Member, two: Member) -> None:
        """A client of `one`, which passes to `two` alone."""
        if one.frozen or one.staged:
            return
        ruling, holder = one.directory.rule(KEY, "id", 1, False, self.now), one
        if (
            ruling is SubmissionRuling.FORWARD
            and two.awake
            and one.directory.holder_of(KEY) == two.name
            and not two.frozen + two.staged
        ):
            ruling, holder = two.directory.rule(KEY, "id", 1, True, self.now), two
            if ruling is SubmissionRuling.NOT_HELD:
                ruling = one.directory.forward_refused(
                    KEY, two.name, two.directory.answer_not_held(KEY, self.now), self.now
                )
                holder = one
        elif ruling is SubmissionRuling.FORWARD and not self.members[one.directory.holder_of(KEY) or "A"].awake:
            self.inherit(one)
        if ruling is SubmissionRuling.CLAIM and not holder.lost:
            begun = holder.directory.begin_claim(KEY, self.now)
            if begun is not None:
                self.peer_messages += [(name, holder.name, begun, None) for name in NAMES if name != holder.name]
        if ruling is SubmissionRuling.ACCEPT and not holder.lost:
            last = max((at for at, _, _ in self.taken), default=-ENTRY_TTL_US)
            if self.now - last <= ID_RETENTION_US:
                raise AssertionError(f"taken at {last} and {self.now}: {self.taken[-2:]}, now by {holder.name}")
            self.taken.append((self.now, holder.name, holder.partition))
            holder.directory.record_accepted(KEY, "id", 1, self.now)
            # Its lease was renewed by a majority, which hears this too.
            told = holder.directory.next_locations(9, self.now)
            self.members[self.drawn.choice([name for name in NAMES if name != holder.name])].directory.merge_entries(
                told, self.now
            )

    def inherit(self, one: Member) -> None:
        """As `SessionInheritances._inherit`."""
        entry = one.directory.entry(KEY, self.now)
        if entry is None or one.lost or entry.holder == one.name:
            return
        partition = one.newest[entry.holder]
        complete_at, found = one.inheritable_sessions.get((entry.holder, partition), (self.now + 1, []))
        if complete_at > self.now or one.holders.get((entry.holder, partition)) != one.name:
            return
        over = entry.sequence, entry.holder
        if self.successor_claims(one, ClaimRequest(KEY, 0, over, self.now), partition, one.name).granted:
            ids = (
                {"id": (self.now - max(found), 1)}
                if max(found, default=-ENTRY_TTL_US) >= self.now - ID_RETENTION_US
                else {}
            )
            asking = one.directory.begin_inheritance(KEY, ids, self.now)
            if asking is not None:
                self.inherited += 1
                self.peer_messages += [
                    (name, one.name, (asking, partition), None) for name in NAMES if name != one.name
                ]


class ModelHistoriesTest(unittest.TestCase):
    def test_an_id_is_taken_once_though_its_holder_dies_sleeps_or_moves_the_session(self) -> None:
        inherited = taken = 0
        for seed in range(SEEDS):
            model = Model(random.Random(seed))
            with self.subTest(seed=seed):
                for _ in range(300):
                    model.step()
            inherited += model.inherited
            taken += len(model.taken)
        self.assertGreater((inherited, taken), (200, 3000))


class RecentIdsOfAReplicaTest(unittest.TestCase):
    BASE = MessageBase("1", "", KEY, "line", "", 0, 9, b"x")

    def step(self, first: int, *facts: Fact, term: int = 1) -> tuple[ReplicaEntry, tuple[Fact, ...]]:
        return ReplicaEntry(term, first + len(facts), MAX_MESSAGE_NUMBER, 0, 0, b""), facts

    def test_an_ended_id_is_known_as_long_as_it_counts_and_one_that_was_turned_away_is_not(self) -> None:
        recent_ids = RecentIds(0)
        recent_ids.record(ReplicaEntry(1, 5, MAX_MESSAGE_NUMBER, 0, MAX_MESSAGE_NUMBER, b""), (), 0)
        second = MessageBase("2", "", KEY, "line", "", 0, 9, b"y")
        recent_ids.record(
            *self.step(5, Fact(1, self.BASE, MessageKnowledge()), Fact(2, second, MessageKnowledge())), 10
        )
        recent_ids.record(*self.step(7, Fact(1, None, MessageKnowledge({1: TermAttempts(1, False, 5, 0)}))), 20)
        recent_ids.record(
            *self.step(
                8,
                Fact(1, None, MessageKnowledge({1: TermAttempts(1, True, 5, 0)}, end=(EndRank.COMPLETED, 0))),
                Fact(2, None, MessageKnowledge(end=(EndRank.NOTIFIED, 0))),
            ),
            30,
        )
        self.assertEqual(recent_ids.ids_by_session(), {KEY: {"1": (10, submission_hash(self.BASE))}})
        self.assertEqual(recent_ids.complete_at(), ID_RETENTION_US)
        recent_ids.record(*self.step(10), ID_RETENTION_US + 11)
        self.assertEqual(recent_ids.ids_by_session(), {})

    def test_a_gap_another_term_and_too_many_ids_begin_the_time_anew(self) -> None:
        for step, since in (
            (self.step(3), 0),
            (self.step(4), 9),
            (self.step(3, term=2), 9),
            ((ReplicaEntry(1, 8, MAX_MESSAGE_NUMBER, 0, MAX_MESSAGE_NUMBER, b""), ()), 9),
            ((ReplicaEntry(1, 3, MAX_MESSAGE_NUMBER, 0, MAX_MESSAGE_NUMBER, b""), ()), 0),
        ):
            recent_ids = RecentIds(0)
            recent_ids.record(ReplicaEntry(1, 3, 5, 0, 5, b""), (), 0)
            recent_ids.record(*step, 9)
            self.assertEqual(recent_ids.recorded_since, since)
        with mock.patch("cedarwick.fleet.recent_ids.MAX_IDS", 2):
            recent_ids.record(*self.step(3, *(Fact(number, self.BASE, MessageKnowledge()) for number in (1, 2))), 20)
            recent_ids.record(*self.step(5, Fact(3, self.BASE, MessageKnowledge())), 30)
        self.assertEqual((recent_ids.recorded_since, list(recent_ids.by_number)), (21, [2, 3]))

    def test_an_id_whose_contents_are_not_known_goes_along_in_a_move(self) -> None:
        stage = StageSession("m", KEY, 1, b"", 0, (RecentIdEntry("1", 0, UNKNOWN_HASH),))
        self.assertEqual(
            decode(encode(PeerMessage(PROTOCOL_VERSION, PROTOCOL_LEVEL, "g", "a", 1, "b", stage))).body, stage
        )

    def test_contents_that_are_not_told_any_more_are_those_of_no_request(self) -> None:
        recent_ids = RecentIds(0)
        recent_ids.record(*self.step(0, Fact(1, self.BASE, MessageKnowledge(end=(EndRank.FAILED, 0)))), 1)
        self.assertEqual(recent_ids.ids_by_session(), {KEY: {"1": (1, UNKNOWN_HASH)}})


if __name__ == "__main__":
    unittest.main()
