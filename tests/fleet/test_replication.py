"""Replicates a partition to two replicas over a link that loses, repeats and reorders messages, with disk errors."""

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
MEMBER_NAMES = ["b", "c"]


def setUpModule() -> None:
    logger.disable("cedarwick.fleet")


def tearDownModule() -> None:
    logger.enable("cedarwick.fleet")


class FakeReplicaFolder(FakeFolder, ReplicaFolder):
    """Replica files in memory."""

    def replace(self, name: str, source: str) -> None:
        if self._call("replace"):
            raise Crash
        self.files[name] = self.files.pop(source)
        self.open_files = {file: name for file, held in self.open_files.items() if held == source}


class ReplicaMember:
    """A member with a replica; a crash loses what it had in memory."""

    def __init__(self) -> None:
        self.files: dict[str, bytearray] = {}
        self.boot_number = 0
        self.start()

    def start(self) -> None:
        self.boot_number += 1
        self.folder = FakeReplicaFolder(self.files)
        self.replicas = ReplicaStore(self.folder, 1 << 22, now=lambda: 50)
        self.replicas.load()

    def pending_facts(self) -> dict[int, Fact]:
        loaded = self.replicas.replica(PARTITION)
        return loaded.pending if loaded is not None else {}

    def stored_position(self) -> replication.ReplicaPosition:
        """The position that another process reads from its file."""
        reader = ReplicaStore(
            FakeReplicaFolder({name: bytearray(data) for name, data in self.files.items()}), 1 << 22, now=lambda: 50
        )
        reader.load()
        loaded = reader.replica(PARTITION)
        return loaded.position if loaded is not None else replication.NO_POSITION


class Simulation:
    """A holder, its replicas and the messages between them, driven by a random seed."""

    def __init__(self, seed: int, members: int = 2) -> None:
        self.rng = random.Random(seed)
        self.now = 0
        self.unreliable = True
        self.term = 0
        self.number = PARTITION << 32
        self.bases: dict[int, Fact] = {}  # pending at the holder, each with its base
        self.ledger = FactLedger(0)
        self.members = dict(zip(MEMBER_NAMES, [ReplicaMember() for _ in range(members)], strict=False))
        self.in_transit: list[tuple[str, int, Any]] = []  # member, its boot number (0: sent by the holder), message
        self.checked: dict[str, int] = {}  # acknowledged index when the file was last checked
        self.start_term()

    def start_term(self) -> None:
        """The holder begins a term with the messages that are still pending."""
        self.term += 1
        self.ledger.begin_term(self.term)
        self.log = ReplicationLog(PARTITION, self.term, self.read, self.bases)
        for name in self.members:
            self.log.add_follower(name, self.now)

    def read(self, number: int) -> Fact | None:
        return trimmed(Fact(number, self.bases[number].base, self.ledger.known[number]))

    def append_fact(self, fact: Fact) -> None:
        if fact.base is not None:
            self.bases[fact.number] = fact
        if fact.number not in self.ledger.known:
            del self.bases[fact.number]
        self.log.append(fact, self.now)

    def admit(self, size: int = 60) -> int:
        self.number += 1
        stored = StoredMessage(self.number, f"i{self.number}", "", 0, "free", "", 7, 10**9, b"x" * size)
        self.append_fact(self.ledger.note_message(stored, stored.body or b""))
        return self.number

    def apply_random_changes(self, count: int) -> None:
        """Random messages, attempts and ends at the holder."""
        for _ in range(count):
            number = self.rng.choice(list(self.bases)) if self.bases else 0
            change = self.rng.random()
            if not number or change < 0.3:
                self.admit(self.rng.choice([0, 60, 900]))
            elif change < 0.5:
                self.append_fact(self.ledger.note_attempt(number, self.now + 1, self.rng.randrange(3)))
            elif change < 0.65:
                self.append_fact(
                    self.ledger.note_outcome(number, self.rng.random() < 0.5, completed=self.rng.random() < 0.3)
                )
            elif change < 0.75:
                self.append_fact(self.ledger.note_final_answer(number, self.rng.random() < 0.5, 5))
            else:
                self.append_fact(self.ledger.note_finished(number))

    def advance(self) -> None:
        """Advance the clock: both sides send, and some of the messages in transit are delivered."""
        self.now += self.rng.choice([1_000, 20_000, 200_000 if self.unreliable else 20_000])
        for name, follower in self.log.followers.items():
            while (message := follower.next_message(self.now)) is not None:
                self.in_transit.append((name, 0, message))
        if self.unreliable:
            self.rng.shuffle(self.in_transit)
        delivered, remaining = self.in_transit, []
        for each in delivered:
            fate = self.rng.random() if self.unreliable else 0.5
            if fate < 0.1:
                continue
            if fate > 0.65:
                remaining.append(each)  # delayed or repeated
            if fate < 0.8:
                remaining.extend(self.deliver(*each))
        self.in_transit = remaining[-200:]
        for member in self.members.values():
            try:
                member.replicas.compact_step()
            except Crash:
                member.start()
        self.check()

    def deliver(self, name: str, boot_number: int, message: Any) -> list[tuple[str, int, Any]]:
        member, follower = self.members[name], self.log.followers[name]
        if boot_number and isinstance(message, Digests):
            follower.receive_digests(self.now, message, boot_number)
        elif boot_number:
            follower.receive_ack(self.now, message, boot_number)
        else:
            try:
                handlers: dict[type, Any] = {
                    ReplicateFacts: member.replicas.receive_facts,
                    ReplicatePiece: member.replicas.receive_piece,
                    Digests: member.replicas.handle_digests,
                }
                handler = handlers[type(message)]
                return [(name, member.boot_number, handler(message))]
            except Crash:
                member.start()
        return []

    def check(self) -> None:
        """Check that each replica's file has all that counts as acknowledged."""
        for name, follower in self.log.followers.items():
            if follower.incarnation == self.members[name].boot_number and follower.acked_index not in (
                0,
                self.checked.get(name),
            ):
                self.checked[name] = follower.acked_index
                position = self.members[name].stored_position()
                assert position[:2] >= (self.term, follower.acked_index), "acknowledged but not written"

    def settle(self) -> None:
        """With a reliable link and no new changes, the replicas must converge to the pending messages."""
        self.unreliable = False
        for name, member in self.members.items():
            if self.log.followers[name].incarnation != member.boot_number:
                self.log.followers[name].forget_position()  # known from its heartbeats
        for _ in range(400):
            self.advance()
            if all(
                each.is_complete
                and each.acked_index == self.log.next_index
                and not each.unacked_piece
                and not each.ranges_to_resend
                for each in self.log.followers.values()
            ):
                break
        expected = {number: self.read(number) for number in self.bases}
        for name, member in self.members.items():
            follower = self.log.followers[name]
            assert follower.is_complete and follower.lag(self.now) == (0, 0), f"{name} is not complete"
            assert sorted(member.pending_facts()) == sorted(expected), f"{name} has other messages than are pending"
            for number, fact in member.pending_facts().items():
                own = expected[number]
                assert own is not None and fact.base == own.base and join_facts(fact, own) == fact, "knows less"
            member.start()
            assert sorted(member.pending_facts()) == sorted(expected), f"{name} reloads other messages"


def run_history(seed: int, steps: int = 80) -> Simulation:
    """Run a random history with crashes on both sides, a short window and files that are compacted."""
    simulation = Simulation(seed)
    for _ in range(steps):
        simulation.apply_random_changes(simulation.rng.choice([0, 0, 1, 2, 30]))
        simulation.advance()
        for member in simulation.members.values():
            fate = simulation.rng.random()
            if fate < 0.03:
                member.start()
            elif fate < 0.06:
                member.folder.crash_at = member.folder.calls + simulation.rng.randint(1, 4)
            elif fate < 0.07:
                member.files.clear()  # its folder is deleted
                member.start()
            elif fate < 0.09:
                member.folder.failing_calls = {simulation.rng.choice(["append", "truncate", "replace", "create"])}
            elif fate < 0.2:
                member.folder.failing_calls = set()
        if simulation.rng.random() < 0.03:
            simulation.start_term()
    for member in simulation.members.values():
        member.folder.failing_calls, member.folder.crash_at = set(), 0
    simulation.settle()
    return simulation


class RandomHistoriesTest(unittest.TestCase):
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

    def test_replicas_converge_to_the_pending_messages(self) -> None:
        simulations = [run_history(seed) for seed in range(25)]
        followers = [each for simulation in simulations for each in simulation.log.followers.values()]
        self.assertGreater(sum(each.pieces_taken for each in followers), 100)

    def assert_detected(self, fault: str, seeds: int = 40) -> None:
        with self.assertRaises(AssertionError, msg=fault):
            for seed in range(seeds):
                run_history(seed)

    def test_an_old_piece_that_drops_facts_of_the_tail_is_detected(self) -> None:
        original = Replica.step_for_piece

        def accept_old_piece(self: Replica, message: ReplicatePiece) -> ReplicaStep:
            current = self.position
            if (
                message.term == current.term
                and message.next < current.next_index
                and message.after <= current.covered_upto
            ):
                self.position = current._replace(next_index=message.next)
                step = original(self, message)
                self.position = current
                return step._replace(
                    entry=step.entry
                    and ReplicaEntry(
                        current.term,
                        current.next_index,
                        step.entry.covered_upto,
                        message.after,
                        message.upto,
                        message.facts,
                    )
                )
            return original(self, message)

        with unittest.mock.patch.object(Replica, "step_for_piece", accept_old_piece):
            self.assert_detected("an old piece")

    def test_an_answer_before_writing_is_detected(self) -> None:
        def answer_without_writing(
            self: ReplicaStore, replica_file: replica_files.ReplicaFile, step: ReplicaStep
        ) -> Any:
            if step.entry is not None:
                replica_file.replica.apply(step.entry, step.facts)
                self.files[replica_file.replica.partition] = replica_file
            return step.ack

        with unittest.mock.patch.object(ReplicaStore, "_apply", answer_without_writing):
            self.assert_detected("an answer before writing")

    def test_a_join_that_loses_an_attempt_is_detected(self) -> None:
        with unittest.mock.patch.object(replica_module, "join_facts", lambda a, b: a):
            self.assert_detected("a join that loses an attempt")

    def test_trusting_the_position_of_an_earlier_incarnation_is_detected(self) -> None:
        original = replication.FollowerProgress.receive_ack
        with unittest.mock.patch.object(
            replication.FollowerProgress,
            "receive_ack",
            lambda self, now, message, reported: original(
                self, now, message, self.incarnation if 0 <= self.incarnation <= reported else reported
            ),
        ):
            self.assert_detected("a replica whose file is gone")

    def test_ranges_with_different_digests_are_sent_again(self) -> None:
        simulation = Simulation(1)
        simulation.unreliable = False
        simulation.apply_random_changes(60)
        simulation.settle()
        pending = simulation.members["b"].pending_facts()
        lost, damaged = list(pending)[1], list(pending)[-1]
        del pending[lost]
        pending[damaged] = Fact(damaged, pending[damaged].base, MessageKnowledge())
        pending[(PARTITION << 32) + 99_999] = pending[damaged]
        for _ in range(300):
            simulation.advance()
        simulation.settle()
        self.assertGreater(simulation.log.followers["b"].ranges_resent, 0)
        self.assertEqual(simulation.log.followers["c"].ranges_resent, 0)
        others = simulation.members["c"].pending_facts()
        number = next(iter(others))
        # Here the replica knows more, which a join keeps, so the range must not be sent forever.
        others[number] = with_records_lost(others[number], 7)
        for _ in range(400):
            simulation.advance()
        self.assertEqual(simulation.log.followers["c"].ranges_resent, replication.MAX_RESENDS)


class ReplicaTest(unittest.TestCase):
    def setUp(self) -> None:
        self.simulation = Simulation(2, members=1)
        self.simulation.settle()
        for _ in range(20):
            self.simulation.admit(3000)
            self.simulation.advance()
        self.simulation.settle()
        self.member = self.simulation.members["b"]

    def facts_message(self, **fields: Any) -> ReplicateFacts:
        data = fields.pop("data", None) or encode_facts([])
        return ReplicateFacts(
            **{"partition": PARTITION, "term": 1, "first": 0, "facts": data, "digest": digest(data), **fields}
        )

    def test_an_invalid_message_is_dropped_whole(self) -> None:
        wrong_partition = encode_facts([Fact(5, None, MessageKnowledge())])
        other_version = b"\x92\x63\x90"
        for fields, problem in (
            ({"term": 0}, OLD_TERM),
            ({"digest": 1}, CORRUPT),
            ({"data": b"\xc1"}, CORRUPT),
            ({"data": wrong_partition}, CORRUPT),
            ({"data": other_version}, OTHER_VERSION),
            ({"first": 21}, "gap"),
            ({"term": 2}, "gap"),
        ):
            before = dict(self.member.pending_facts())
            self.assertEqual(self.member.replicas.receive_facts(self.facts_message(**fields)).problem, problem)
            self.assertEqual(self.member.pending_facts(), before)
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
        )  # an update of a message that a later piece brings

    def test_nothing_is_written_after_a_partial_record(self) -> None:
        folder = self.member.folder
        folder.disk_bytes = sum(map(len, folder.files.values())) + 100
        folder.failing_calls = {"truncate"}
        self.simulation.admit(3000)
        for _ in range(3):
            self.simulation.advance()
        self.assertEqual(self.simulation.log.followers["b"].problem, NO_ROOM)
        folder.disk_bytes = 1 << 60
        message = self.facts_message(first=20, data=encode_batch(self.simulation.log.tail(20)))
        self.assertEqual(self.member.replicas.receive_facts(message).problem, NO_ROOM)
        for _ in range(200):
            self.simulation.advance()  # the file is compacted, since the partial record cannot be truncated
        self.simulation.settle()
        self.assertEqual(len(self.member.pending_facts()), 21)

    def test_a_full_disk_refuses_messages_and_loses_nothing(self) -> None:
        self.simulation.admit(3000)
        self.member.replicas.limit_bytes = 100
        self.simulation.advance()
        self.simulation.advance()
        follower = self.simulation.log.followers["b"]
        self.assertEqual(
            (follower.problem, follower.is_complete, follower.lag(self.simulation.now)[0]), (NO_ROOM, False, 1)
        )
        self.member.replicas.limit_bytes = 1 << 22
        for _ in range(100):
            self.simulation.advance()
        self.simulation.settle()

    def test_a_new_file_that_lacks_an_entry_does_not_replace_the_old_one(self) -> None:
        folder, store = self.member.folder, self.member.replicas
        store._begin_compaction(store.files[PARTITION])
        folder.disk_bytes = sum(map(len, folder.files.values())) + 4000  # room for one copy of the entry, not for two
        self.simulation.admit(3000)
        self.assertEqual(
            store.receive_facts(self.facts_message(first=20, data=encode_batch(self.simulation.log.tail(20)))).next,
            21,
        )
        folder.disk_bytes = 1 << 60
        while store.compact_step():
            pass
        folder.failing_calls, written = {"replace"}, store.written_bytes
        store.files[PARTITION].ends_in_partial_record = True  # it must be compacted
        for _ in range(50):
            store.compact_step()  # a new file that cannot be renamed must not be written in every step
        self.assertLess(store.written_bytes - written, 2 * store.used_bytes)
        folder.failing_calls = set()
        self.member.start()
        self.assertEqual([fact.known.records_lost_since for fact in self.member.pending_facts().values()], [0] * 21)

    def test_entries_that_arrive_during_a_sync_are_synced_too(self) -> None:
        store, indexes = self.member.replicas, [20, 21]
        store.durable = True
        self.simulation.admit()
        self.simulation.admit()

        def receive_next(*_: Any) -> None:
            first = indexes.pop(0)
            store.receive_facts(self.facts_message(first=first, data=encode_batch(self.simulation.log.tail(first)[:1])))

        receive_next()
        store.flush(receive_next)
        self.assertTrue(store.unsynced)
        store.flush()
        self.assertFalse(store.unsynced)

    def test_a_partial_record_is_truncated_and_damage_puts_all_messages_in_doubt(self) -> None:
        name = f"{PARTITION}.log"
        complete_size = len(self.member.files[name])
        self.member.files[name] += encode_frame(b"x" * 99)[:50]
        self.member.start()
        self.assertEqual((len(self.member.files[name]), self.member.stored_position()[:2]), (complete_size, (1, 20)))
        self.member.files[name][complete_size - FRAME_HEADER.size - 100] ^= 1
        self.member.start()
        pending = self.member.pending_facts()
        self.assertTrue(pending and all(fact.known.records_lost_since == 50 for fact in pending.values()))
        self.assertEqual(self.member.stored_position(), (1, 0, 0))
        for _ in range(5):
            self.member.replicas.compact_step()
        self.member.start()  # after the compaction the doubt remains, the damage does not
        self.assertTrue(all(fact.known.records_lost_since == 50 for fact in self.member.pending_facts().values()))
        self.simulation.settle()
        self.assertEqual(len(self.member.pending_facts()), 20)

    def test_a_file_of_another_version_is_renamed(self) -> None:
        name = f"{PARTITION}.log"
        with unittest.mock.patch.object(replica_files, "VERSION", 9):
            self.member.start()
        self.assertEqual((self.member.pending_facts(), list(self.member.files)), ({}, [name + ".other"]))
        self.simulation.settle()
        self.member.replicas.drop(PARTITION)
        self.assertEqual(list(self.member.files), [name + ".other"])

    def test_a_superseded_holder_stops_sending(self) -> None:
        old_log = self.simulation.log
        self.simulation.start_term()
        self.simulation.settle()
        follower = old_log.followers["b"]
        follower.receive_ack(
            self.simulation.now, self.member.replicas.receive_facts(self.facts_message()), self.member.boot_number
        )
        self.assertTrue(follower.superseded)
        self.assertIsNone(follower.next_message(self.simulation.now + 10**9))

    def test_a_full_transfer_resumes_where_it_stopped_and_is_rate_limited(self) -> None:
        for _ in range(100):
            self.simulation.admit(3000)
        self.simulation.start_term()
        log, now = self.simulation.log, self.simulation.now
        follower = log.followers["b"]
        follower.receive_ack(
            now, self.member.replicas.receive_facts(self.facts_message(term=2)), self.member.boot_number
        )
        sent: list[ReplicatePiece] = []
        while not follower.is_complete:
            now += 1_000
            message = follower.next_message(now)
            if isinstance(message, ReplicatePiece):
                sent.append(message)
                if len(sent) == 2:
                    self.member.start()  # the replica's process restarts with its file
                follower.receive_ack(now, self.member.replicas.receive_piece(message), self.member.boot_number)
        self.assertEqual([each.after for each in sent], [0, *[each.upto for each in sent[:-1]]])
        self.assertEqual(sent[-1].upto, MAX_MESSAGE_NUMBER)
        rate = sum(len(each.facts) for each in sent[1:]) / (now - self.simulation.now) * 1e6
        self.assertLess(rate, replication.MIN_PIECE_BYTES_PER_S * 1.3)
