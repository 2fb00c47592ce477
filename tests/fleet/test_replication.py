"""A partition's facts on their way to two copies, over a link that loses, doubles and turns round, and files that
fail."""

import random
import unittest
import unittest.mock
from typing import Any

from loguru import logger

from cedarwick.fleet import replica as replica_module
from cedarwick.fleet import replica_files, replication
from cedarwick.fleet.fact_ledger import FactLedger
from cedarwick.fleet.messages import Digests, ReplicateFacts, ReplicatePiece
from cedarwick.fleet.replica import Replica, ReplicaEntry, ReplicaStep
from cedarwick.fleet.replica_files import ReplicaFolder, ReplicaStore
from cedarwick.fleet.replication import CORRUPT, MAX_MESSAGE_NUMBER, NO_ROOM, OLD_TERM, OTHER_VERSION, ReplicationLog
from cedarwick.fleet.replication_facts import (
    Fact,
    MessageKnowledge,
    digest,
    encode_batch,
    encode_facts,
    join_facts,
    trimmed,
    with_records_lost,
)
from cedarwick.store.records import FRAME_HEADER, StoredMessage, encode_frame
from tests.store.test_store import Crash, FakeFolder

PARTITION = 3
NAMES = ["b", "c"]


def setUpModule() -> None:
    logger.disable("cedarwick.fleet")


def tearDownModule() -> None:
    logger.enable("cedarwick.fleet")


class Files(FakeFolder, ReplicaFolder):
    """The files of copies in memory."""

    def replace(self, name: str, source: str) -> None:
        if self._call("replace"):
            raise Crash
        self.files[name] = self.files.pop(source)
        self.open_files = {file: name for file, held in self.open_files.items() if held == source}


class Member:
    """One that keeps a copy; it dies with what it had in memory."""

    def __init__(self) -> None:
        self.files: dict[str, bytearray] = {}
        self.life = 0
        self.start()

    def start(self) -> None:
        self.life += 1
        self.folder = Files(self.files)
        self.copies = ReplicaStore(self.folder, 1 << 22, now=lambda: 50)
        self.copies.load()

    def held(self) -> dict[int, Fact]:
        found = self.copies.replica(PARTITION)
        return found.pending if found is not None else {}

    def on_disk(self) -> replication.ReplicaPosition:
        """Where its file ends, read by another process."""
        other = ReplicaStore(
            Files({name: bytearray(data) for name, data in self.files.items()}), 1 << 22, now=lambda: 50
        )
        other.load()
        found = other.replica(PARTITION)
        return found.position if found is not None else replication.NO_POSITION


class Link:
    """Messages under way; drawn from a seed."""

    def __init__(self, seed: int, members: int = 2) -> None:
        self.draw = random.Random(seed)
        self.now = 0
        self.wild = True
        self.term = 0
        self.number = PARTITION << 32
        self.bases: dict[int, Fact] = {}  # what the holder owes
        self.ledger = FactLedger(0)
        self.members = dict(zip(NAMES, [Member() for _ in range(members)], strict=False))
        self.under_way: list[tuple[str, int, Any]] = []  # member, its life or the holder's term, message
        self.seen: dict[str, int] = {}  # acknowledged, when its file was looked at last
        self.rise()

    def rise(self) -> None:
        """The holder begins a term, with what it owed before."""
        self.term += 1
        self.ledger.begin_term(self.term)
        self.log = ReplicationLog(PARTITION, self.term, self.read, self.bases)
        for name in self.members:
            self.log.add_follower(name, self.now)

    def read(self, number: int) -> Fact | None:
        return trimmed(Fact(number, self.bases[number].base, self.ledger.known[number]))

    def tell(self, fact: Fact) -> None:
        if fact.base is not None:
            self.bases[fact.number] = fact
        if fact.number not in self.ledger.known:
            del self.bases[fact.number]
        self.log.append(fact, self.now)

    def take(self, size: int = 60) -> int:
        self.number += 1
        kept = StoredMessage(self.number, f"i{self.number}", "", 0, "free", "", 7, 10**9, b"x" * size)
        self.tell(self.ledger.note_message(kept, kept.body or b""))
        return self.number

    def live(self, events: int) -> None:
        """What comes at a holder that serves."""
        for _ in range(events):
            number = self.draw.choice(list(self.bases)) if self.bases else 0
            what = self.draw.random()
            if not number or what < 0.3:
                self.take(self.draw.choice([0, 60, 900]))
            elif what < 0.5:
                self.tell(self.ledger.note_attempt(number, self.now + 1, self.draw.randrange(3)))
            elif what < 0.65:
                self.tell(
                    self.ledger.note_outcome(number, self.draw.random() < 0.5, completed=self.draw.random() < 0.3)
                )
            elif what < 0.75:
                self.tell(self.ledger.note_final_answer(number, self.draw.random() < 0.5, 5))
            else:
                self.tell(self.ledger.note_finished(number))

    def turn(self) -> None:
        """A few milliseconds: both sides send, some of what is under way arrives."""
        self.now += self.draw.choice([1_000, 20_000, 200_000 if self.wild else 20_000])
        for name, follower in self.log.followers.items():
            while (message := follower.next_message(self.now)) is not None:
                self.under_way.append((name, 0, message))
        if self.wild:
            self.draw.shuffle(self.under_way)
        arriving, left = self.under_way, []
        for each in arriving:
            fate = self.draw.random() if self.wild else 0.5
            if fate < 0.1:
                continue
            if fate > 0.65:
                left.append(each)  # late, or twice
            if fate < 0.8:
                left.extend(self.arrive(*each))
        self.under_way = left[-200:]
        for member in self.members.values():
            try:
                member.copies.compact_step()
            except Crash:
                member.start()
        self.check()

    def arrive(self, name: str, life: int, message: Any) -> list[tuple[str, int, Any]]:
        member, follower = self.members[name], self.log.followers[name]
        if life and isinstance(message, Digests):
            follower.receive_digests(self.now, message, life)
        elif life:
            follower.receive_ack(self.now, message, life)
        else:
            try:
                answers: dict[type, Any] = {
                    ReplicateFacts: member.copies.receive_facts,
                    ReplicatePiece: member.copies.receive_piece,
                    Digests: member.copies.compare_digests,
                }
                answer = answers[type(message)]
                return [(name, member.life, answer(message))]
            except Crash:
                member.start()
        return []

    def check(self) -> None:
        """Nothing is taken for acknowledged that its file does not hold."""
        for name, follower in self.log.followers.items():
            if follower.incarnation == self.members[name].life and follower.acked_index not in (0, self.seen.get(name)):
                self.seen[name] = follower.acked_index
                place = self.members[name].on_disk()
                assert place[:2] >= (self.term, follower.acked_index), "acknowledged and not written"

    def settle(self) -> None:
        """The link is good and nothing new comes: the copies must come to what is owed."""
        self.wild = False
        for name, member in self.members.items():
            if self.log.followers[name].incarnation != member.life:
                self.log.followers[name].forget_position()  # heard in its beats
        for _ in range(400):
            self.turn()
            if all(
                each.is_complete
                and each.acked_index == self.log.next_index
                and not each.unacked_piece
                and not each.ranges_to_resend
                for each in self.log.followers.values()
            ):
                break
        owed = {number: self.read(number) for number in self.bases}
        for name, member in self.members.items():
            follower = self.log.followers[name]
            assert follower.is_complete and follower.lag(self.now) == (0, 0), f"{name} is not whole"
            assert sorted(member.held()) == sorted(owed), f"{name} holds other messages than are owed"
            for number, fact in member.held().items():
                mine = owed[number]
                assert mine is not None and fact.base == mine.base and join_facts(fact, mine) == fact, "knows less"
            member.start()
            assert sorted(member.held()) == sorted(owed), f"{name} reads back other messages"


def history(seed: int, turns: int = 80) -> Link:
    """A drawn history with crashes on both sides, a short window and files that are written anew."""
    link = Link(seed)
    for _ in range(turns):
        link.live(link.draw.choice([0, 0, 1, 2, 30]))
        link.turn()
        for member in link.members.values():
            fate = link.draw.random()
            if fate < 0.03:
                member.start()
            elif fate < 0.06:
                member.folder.crash_at = member.folder.calls + link.draw.randint(1, 4)
            elif fate < 0.07:
                member.files.clear()  # the folder is gone
                member.start()
            elif fate < 0.09:
                member.folder.failing_calls = {link.draw.choice(["append", "truncate", "replace", "create"])}
            elif fate < 0.2:
                member.folder.failing_calls = set()
        if link.draw.random() < 0.03:
            link.rise()
    for member in link.members.values():
        member.folder.failing_calls, member.folder.crash_at = set(), 0
    link.settle()
    return link


class HistoriesTest(unittest.TestCase):
    def setUp(self) -> None:
        for module, values in (
            (
                replication,
                {"MAX_WINDOW_FACTS": 40, "MESSAGE_BYTES": 5000, "COMPARE_INTERVAL_US": 400_000, "RANGE_FACTS": 4},
            ),
            (replica_files, {"COMPACTION_SLACK_BYTES": 3000, "COMPACTION_PART_BYTES": 1500, "RETRY_STEPS": 4}),
        ):
            for name, value in values.items():
                patched = unittest.mock.patch.object(module, name, value)
                patched.start()
                self.addCleanup(patched.stop)

    def test_copies_come_to_what_is_owed(self) -> None:
        links = [history(seed) for seed in range(25)]
        followers = [each for link in links for each in link.log.followers.values()]
        self.assertGreater(sum(each.pieces_taken for each in followers), 100)

    def caught(self, what: str, seeds: int = 40) -> None:
        with self.assertRaises(AssertionError, msg=what):
            for seed in range(seeds):
                history(seed)

    def test_an_old_piece_that_drops_what_the_tail_brought_is_noticed(self) -> None:
        honest = Replica.step_for_piece

        def piece(self: Replica, message: ReplicatePiece) -> ReplicaStep:
            place = self.position
            if message.term == place.term and message.next < place.next_index and message.after <= place.covered_upto:
                self.position = place._replace(next_index=message.next)
                step = honest(self, message)
                self.position = place
                return step._replace(
                    entry=step.entry
                    and ReplicaEntry(
                        place.term,
                        place.next_index,
                        step.entry.covered_upto,
                        message.after,
                        message.upto,
                        message.facts,
                    )
                )
            return honest(self, message)

        with unittest.mock.patch.object(Replica, "step_for_piece", piece):
            self.caught("an old piece")

    def test_an_answer_before_writing_is_noticed(self) -> None:
        def done(self: ReplicaStore, copy: replica_files.ReplicaFile, step: ReplicaStep) -> Any:
            if step.entry is not None:
                copy.replica.apply(step.entry, step.facts)
                self.files[copy.replica.partition] = copy
            return step.ack

        with unittest.mock.patch.object(ReplicaStore, "_apply", done):
            self.caught("an answer before writing")

    def test_a_join_that_forgets_an_attempt_is_noticed(self) -> None:
        with unittest.mock.patch.object(replica_module, "join_facts", lambda a, b: a):
            self.caught("a join that forgets")

    def test_an_earlier_life_taken_at_its_word_is_noticed(self) -> None:
        honest = replication.FollowerProgress.receive_ack
        with unittest.mock.patch.object(
            replication.FollowerProgress,
            "receive_ack",
            lambda self, now, message, life: honest(
                self, now, message, self.incarnation if 0 <= self.incarnation <= life else life
            ),
        ):
            self.caught("a copy whose file is gone")

    def test_ranges_that_differ_silently_are_sent_again(self) -> None:
        link = Link(1)
        link.wild = False
        link.live(60)
        link.settle()
        held = link.members["b"].held()
        lost, spoilt = list(held)[1], list(held)[-1]
        del held[lost]
        held[spoilt] = Fact(spoilt, held[spoilt].base, MessageKnowledge())
        held[(PARTITION << 32) + 99_999] = held[spoilt]
        for _ in range(300):
            link.turn()
        link.settle()
        self.assertGreater(link.log.followers["b"].ranges_resent, 0)
        self.assertEqual(link.log.followers["c"].ranges_resent, 0)
        more = link.members["c"].held()
        number = next(iter(more))
        more[number] = with_records_lost(
            more[number], 7
        )  # the copy knows more: a join keeps that, so it is not sent for ever
        for _ in range(400):
            link.turn()
        self.assertEqual(link.log.followers["c"].ranges_resent, replication.MAX_RESENDS)


class ReplicaTest(unittest.TestCase):
    def setUp(self) -> None:
        self.link = Link(2, members=1)
        self.link.settle()
        for _ in range(20):
            self.link.take(3000)
            self.link.turn()
        self.link.settle()
        self.member = self.link.members["b"]

    def facts(self, **told: Any) -> ReplicateFacts:
        data = told.pop("data", None) or encode_facts([])
        return ReplicateFacts(
            **{"partition": PARTITION, "term": 1, "first": 0, "facts": data, "digest": digest(data), **told}
        )

    def test_what_does_not_fit_is_dropped_whole(self) -> None:
        wrong = encode_facts([Fact(5, None, MessageKnowledge())])
        other = b"\x92\x63\x90"
        for told, problem in (
            ({"term": 0}, OLD_TERM),
            ({"digest": 1}, CORRUPT),
            ({"data": b"\xc1"}, CORRUPT),
            ({"data": wrong}, CORRUPT),
            ({"data": other}, OTHER_VERSION),
            ({"first": 21}, "gap"),
            ({"term": 2}, "gap"),
        ):
            before = dict(self.member.held())
            self.assertEqual(self.member.copies.receive_facts(self.facts(**told)).problem, problem)
            self.assertEqual(self.member.held(), before)
        replica = Replica(PARTITION)
        low, high = ((PARTITION << 32) + each for each in (1, 9))
        for after, numbers, problem in ((0, [], ""), (high, [], "gap"), (low, [low], CORRUPT)):
            data = encode_facts([Fact(number, None, MessageKnowledge()) for number in numbers])
            step = replica.step_for_piece(ReplicatePiece(PARTITION, 1, after, low, data, 5, digest(data)))
            self.assertEqual(step.ack.problem, problem)
            if step.entry is not None:
                replica.apply(step.entry, step.facts)
        replica.apply(ReplicaEntry(1, 6, low, 0, 0, b""), [Fact(high, None, MessageKnowledge())])
        self.assertEqual(
            (replica.pending, replica.position), ({}, (1, 6, low))
        )  # news of what a piece is still to bring

    def test_behind_a_torn_record_nothing_is_written(self) -> None:
        folder = self.member.folder
        folder.disk_bytes = sum(map(len, folder.files.values())) + 100
        folder.failing_calls = {"truncate"}
        self.link.take(3000)
        for _ in range(3):
            self.link.turn()
        self.assertEqual(self.link.log.followers["b"].problem, NO_ROOM)
        folder.disk_bytes = 1 << 60
        told = self.facts(first=20, data=encode_batch(self.link.log.tail(20)))
        self.assertEqual(self.member.copies.receive_facts(told).problem, NO_ROOM)
        for _ in range(200):
            self.link.turn()  # written anew, since the torn end cannot be cut off
        self.link.settle()
        self.assertEqual(len(self.member.held()), 21)

    def test_a_full_disk_refuses_and_says_so_and_drops_nothing(self) -> None:
        self.link.take(3000)
        self.member.copies.limit_bytes = 100
        self.link.turn()
        self.link.turn()
        follower = self.link.log.followers["b"]
        self.assertEqual((follower.problem, follower.is_complete, follower.lag(self.link.now)[0]), (NO_ROOM, False, 1))
        self.member.copies.limit_bytes = 1 << 22
        for _ in range(100):
            self.link.turn()
        self.link.settle()

    def test_a_fresh_file_that_misses_an_entry_does_not_take_the_name(self) -> None:
        folder, held = self.member.folder, self.member.copies
        held._begin_compaction(held.files[PARTITION])
        folder.disk_bytes = sum(map(len, folder.files.values())) + 4000  # for the entry once, not twice
        self.link.take(3000)
        self.assertEqual(held.receive_facts(self.facts(first=20, data=encode_batch(self.link.log.tail(20)))).next, 21)
        folder.disk_bytes = 1 << 60
        while held.compact_step():
            pass
        folder.failing_calls, written = {"replace"}, held.written_bytes
        held.files[PARTITION].ends_in_partial_record = True  # it must be written anew
        for _ in range(50):
            held.compact_step()  # what can't take the name is not written again and again
        self.assertLess(held.written_bytes - written, 2 * held.used_bytes)
        folder.failing_calls = set()
        self.member.start()
        self.assertEqual([fact.known.records_lost_since for fact in self.member.held().values()], [0] * 21)

    def test_what_came_while_the_disk_was_busy_is_synced_too(self) -> None:
        held, others = self.member.copies, [20, 21]
        held.durable = True
        self.link.take()
        self.link.take()

        def come(*_: Any) -> None:
            first = others.pop(0)
            held.receive_facts(self.facts(first=first, data=encode_batch(self.link.log.tail(first)[:1])))

        come()
        held.flush(come)
        self.assertTrue(held.unsynced)
        held.flush()
        self.assertFalse(held.unsynced)

    def test_a_torn_end_is_cut_off_and_damage_puts_all_in_doubt(self) -> None:
        name = f"{PARTITION}.log"
        whole = len(self.member.files[name])
        self.member.files[name] += encode_frame(b"x" * 99)[:50]
        self.member.start()
        self.assertEqual((len(self.member.files[name]), self.member.on_disk()[:2]), (whole, (1, 20)))
        self.member.files[name][whole - FRAME_HEADER.size - 100] ^= 1
        self.member.start()
        held = self.member.held()
        self.assertTrue(held and all(fact.known.records_lost_since == 50 for fact in held.values()))
        self.assertEqual(self.member.on_disk(), (1, 0, 0))
        for _ in range(5):
            self.member.copies.compact_step()
        self.member.start()  # written anew: the doubt stays, the damage does not
        self.assertTrue(all(fact.known.records_lost_since == 50 for fact in self.member.held().values()))
        self.link.settle()
        self.assertEqual(len(self.member.held()), 20)

    def test_a_file_of_another_version_is_put_aside(self) -> None:
        name = f"{PARTITION}.log"
        with unittest.mock.patch.object(replica_files, "VERSION", 9):
            self.member.start()
        self.assertEqual((self.member.held(), list(self.member.files)), ({}, [name + ".other"]))
        self.link.settle()
        self.member.copies.drop(PARTITION)
        self.assertEqual(list(self.member.files), [name + ".other"])

    def test_a_holder_that_was_superseded_stops(self) -> None:
        before = self.link.log
        self.link.rise()
        self.link.settle()
        follower = before.followers["b"]
        follower.receive_ack(self.link.now, self.member.copies.receive_facts(self.facts()), self.member.life)
        self.assertTrue(follower.superseded)
        self.assertIsNone(follower.next_message(self.link.now + 10**9))

    def test_a_walk_goes_on_where_it_was_cut_and_no_faster_than_its_share(self) -> None:
        for _ in range(100):
            self.link.take(3000)
        self.link.rise()
        log, now = self.link.log, self.link.now
        follower = log.followers["b"]
        follower.receive_ack(now, self.member.copies.receive_facts(self.facts(term=2)), self.member.life)
        sent: list[ReplicatePiece] = []
        while not follower.is_complete:
            now += 1_000
            message = follower.next_message(now)
            if isinstance(message, ReplicatePiece):
                sent.append(message)
                if len(sent) == 2:
                    self.member.start()  # the copy's process ends; its file goes on
                follower.receive_ack(now, self.member.copies.receive_piece(message), self.member.life)
        self.assertEqual([each.after for each in sent], [0, *[each.upto for each in sent[:-1]]])
        self.assertEqual(sent[-1].upto, MAX_MESSAGE_NUMBER)
        rate = sum(len(each.facts) for each in sent[1:]) / (now - self.link.now) * 1e6
        self.assertLess(rate, replication.MIN_PIECE_BYTES_PER_S * 1.3)
