"""The session routers of three members in one process, whose peer messages are direct calls."""

import tempfile
import unittest
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any
from unittest import mock

import gevent
import msgspec
from gevent.event import AsyncResult

from cedarwick.config.member_slots import slot_of
from cedarwick.config.operator import Fleet, Member
from cedarwick.decisions.interface import Outcome
from cedarwick.fleet import migration_source
from cedarwick.fleet.consensus import UNDECIDED_LIMIT_US, Acceptor, AcceptorTable, InstanceState, format_move_name
from cedarwick.fleet.fact_ledger import FactLedger
from cedarwick.fleet.fleet_files import FleetFiles
from cedarwick.fleet.leased_partition import LeasedPartition
from cedarwick.fleet.leases import lease_name
from cedarwick.fleet.membership import MemberStatus
from cedarwick.fleet.messages import Body, ForwardReply, Grant, RecallForward, StageReply, StageSession
from cedarwick.fleet.node import FleetNode
from cedarwick.fleet.recent_ids import RecentIds
from cedarwick.fleet.replica import ReplicaEntry as Step
from cedarwick.fleet.replicated_store import ReplicatedStore, monotonic_time
from cedarwick.fleet.replication import MAX_MESSAGE_NUMBER
from cedarwick.fleet.replication_facts import EndRank, Fact, MessageKnowledge, base_of
from cedarwick.fleet.session_files import SessionFiles
from cedarwick.fleet.session_inheritance import INHERITANCE_LEVEL
from cedarwick.fleet.session_routing import SessionRouter
from cedarwick.fleet.session_state import InheritableSessions
from cedarwick.fleet.session_submissions import LONGEST_TRANSIT_US
from cedarwick.fleet.sessions import ID_RETENTION_US
from cedarwick.fleet.transport import PeerUnreachableError
from cedarwick.net.attempts import AttemptResult
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters
from cedarwick.net.submission import AdmissionResult, Submission
from cedarwick.ops.commands import Call
from cedarwick.store.files import NoSpaceError
from cedarwick.store.records import StoredMessage
from tests.build import free_port
from tests.net import test_net

NAMES = ("a", "b", "c")
KEY = 0xA1
CLOCK = Clock()


def message(id: str, body: bytes = b"x") -> StoredMessage:
    return StoredMessage(0, id, "", KEY, "line", "", 0, CLOCK.now() + 6_000_000, body)


class StubDispatcher:
    """A dispatcher that accepts every submission at once."""

    def __init__(self, store: ReplicatedStore) -> None:
        self.store = store
        self.numbers_by_id: dict[str, int] = {}
        self.adopted: list[int] = []
        self.submitted = 0
        self.uncopied_ends: set[int] = set()
        self.unfreeze = self.abort_attempts = self.abandon_parked = self.withdraw = lambda *_: None
        self.key_hold_left_us = lambda key: 0

    def submit(self, submission: Submission) -> None:
        self.submitted += 1
        submission.message.number = self.store.next_number
        self.store.next_number += 1
        self.store.add_message(submission.message)
        submission.set_answer(AdmissionResult.ACCEPTED)

    def run_in_dispatcher(self, call: Callable[[], bool]) -> AsyncResult:
        answer: AsyncResult = AsyncResult()
        try:
            answer.set(call())
        except OSError:
            answer.set(False)
        return answer

    def freeze(self, key: int) -> AsyncResult:
        return self.run_in_dispatcher(lambda: True)

    def adopt(self, numbers: list[int], no_unrecorded_attempts: bool = False) -> None:
        self.adopted += [number for number in numbers if number not in self.store.migrating]


class MembersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.session_routers: dict[str, SessionRouter] = {}
        self.nodes: dict[str, FleetNode] = {}
        self.injected_fault: Callable[[str, Body], str] = lambda to, body: ""  # "ask", "answer" or neither
        self.folders = {name: self.enterContext(tempfile.TemporaryDirectory()) for name in NAMES}
        for name in NAMES:
            self.session_routers[name] = self.make_router(name)
        self.exchange_locations()

    def make_router(self, name: str) -> SessionRouter:
        store = ReplicatedStore(self.folders[name], 1 << 20, now=CLOCK.now)
        store.load()
        fleet_config = Fleet(
            group="g",
            sessions=True,
            member=[Member(name=each, address=f"127.0.0.1:{free_port()}", hall=each) for each in NAMES],
        )
        node = FleetNode(name, fleet_config, self.folders[name], store, CLOCK, Counters())
        node.dispatcher = mock.Mock()
        self.nodes[name] = node
        self.addCleanup(store.close)
        self.addCleanup(node.stop)
        node.members.status = lambda now, name: MemberStatus.ALIVE  # type: ignore[method-assign]
        partition = slot_of(name) << 12
        takeover: Any = SimpleNamespace(
            me=name, holder=SimpleNamespace(possible_successors=frozenset(), is_valid=lambda now: True)
        )
        holding = store.leased_partitions[partition] = store.open_partition = LeasedPartition(partition, takeover)
        holding.ledger = FactLedger(0)
        store.resume_ledger(holding, 1)
        store.begin_log(holding, 1)
        holding.serving, holding.reserved_upto = True, (partition + 1) << 32
        store.next_number = max([partition << 32, *store.message_numbers(partition)]) + 1
        assert node.session_router is not None
        router = node.session_router
        client_listener: Any = SimpleNamespace(paused=False)
        router.attach(mock.Mock(), client_listener, StubDispatcher(store))  # type: ignore[arg-type]
        router.peers = SimpleNamespace(
            call=lambda to, body, within: self.call_router(name, to, body),  # type: ignore[assignment]
            close=lambda: None,
        )
        return router

    def call_router(self, by: str, to: str, body: Body) -> Body:
        gevent.sleep(0)
        fault = self.injected_fault(to, body)
        if fault == "ask":
            raise PeerUnreachableError(to)
        answer = self.session_routers[to].handle_peer_message(by, 1, body)
        if fault == "answer" or answer is None:
            raise PeerUnreachableError(to)
        return answer

    def exchange_locations(self) -> None:
        """Every member sends its session locations to every other one."""
        for name in NAMES:
            self.session_routers[name].locations_sent_at = 0
            self.session_routers[name].look(monotonic_time())
        gevent.sleep(0.02)

    def run_for(self, seconds: float = 0.3) -> None:
        until = monotonic_time() + round(seconds * 1_000_000)
        while monotonic_time() < until:
            for name in NAMES:
                self.session_routers[name].look(monotonic_time())
            gevent.sleep(0.005)

    def move_session(self, source: str, target: str) -> str:
        moving = gevent.spawn(self.session_routers[source].handle_move_command, Call("MOVE", f"{KEY:x} {target}"))
        while not moving.ready():
            self.run_for(0.01)
        return str(moving.get())

    def test_a_session_moves_with_its_messages_and_ids_and_no_id_is_accepted_twice(self) -> None:
        a, b, c = (self.session_routers[name] for name in NAMES)
        for id in ("1", "2"):
            self.assertEqual(a.route_submission(message(id))[0], AdmissionResult.ACCEPTED)
        self.assertEqual(self.move_session("a", "b"), "YES 00000000000000a1 moved to b\n")
        self.run_for()
        self.assertEqual(
            [sorted(stored.id for stored in each.store.messages.values()) for each in (a, b, c)], [[], ["1", "2"], []]
        )
        self.assertEqual(len(b.dispatcher.adopted), 2)  # type: ignore[attr-defined]
        self.assertEqual([each.store.migrating for each in (a, b)], [{}, {}])
        self.assertEqual([each.migrations.files.read_marks() for each in (a, b)], [{}, {}])
        for router in (a, c):  # a client still connected to the source, and one at another member
            self.assertEqual(router.route_submission(message("1"))[0], AdmissionResult.ACCEPTED)
            self.assertEqual(router.route_submission(message("2", b"other"))[0], AdmissionResult.REPEATED)
            self.assertEqual(router.route_submission(message(f"3{router.name}"))[0], AdmissionResult.ACCEPTED)
        self.assertEqual(sorted(stored.id for stored in b.store.messages.values()), ["1", "2", "3a", "3c"])

    def test_a_full_folder_at_the_source_does_not_keep_messages_after_a_move(self) -> None:
        a, b = self.session_routers["a"], self.session_routers["b"]
        for id in ("1", "2"):
            a.route_submission(message(id))
        finish_in_store = a.store.finish

        def finish_on_full_folder(number: int) -> None:
            finish_in_store(number)
            raise NoSpaceError("the folder is full")  # as the store does; the record is written later

        with mock.patch.object(a.store, "finish", finish_on_full_folder):
            self.move_session("a", "b")
            self.run_for()
        self.assertEqual((a.store.messages, a.store.migrating, a.migrations.files.read_marks()), ({}, {}, {}))
        self.assertEqual(len(b.store.messages), 2)

    def test_a_submission_with_a_lost_answer_is_forwarded_again_or_unsure(self) -> None:
        a, c = self.session_routers["a"], self.session_routers["c"]
        a.route_submission(message("1"))
        self.exchange_locations()
        lost_answers: list[Body] = []

        def lose_one_answer(to: str, body: Body) -> str:
            if to == "a" and not lost_answers:
                lost_answers.append(body)
                return "answer"
            return ""

        self.injected_fault = lose_one_answer
        self.assertEqual((c.route_submission(message("2"))[0], len(lost_answers)), (AdmissionResult.ACCEPTED, 1))
        self.assertEqual(a.dispatcher.submitted, 2)  # type: ignore[attr-defined]
        self.injected_fault = lambda to, body: "answer" if to == "a" else ""
        self.assertEqual(c.route_submission(message("3"))[0], AdmissionResult.UNSURE)
        c.node.members.status = lambda now, name: MemberStatus.DEAD  # type: ignore[method-assign]
        self.assertEqual(c.route_submission(message("4"))[0], AdmissionResult.BUSY)

    def test_a_submission_is_withdrawn_at_the_holder_if_its_client_disconnects(self) -> None:
        a, c = self.session_routers["a"], self.session_routers["c"]
        a.route_submission(message("1"))
        self.exchange_locations()
        answered, _, withdraw = c.route_submission(message("2"))
        assert withdraw is not None
        number = max(a.store.messages)
        a.dispatcher.numbers_by_id["2"] = number
        a.dispatcher.withdraw = mock.Mock()  # type: ignore[method-assign]
        withdraw()
        gevent.sleep(0.02)
        self.assertEqual(a.dispatcher.withdraw.call_args[0][0].message.number, number)
        a.store.migrating[number] = 1, ">1/b/a"
        a.handle_peer_message("c", 1, RecallForward(KEY, "2"))  # a moving message may belong to another sender
        self.assertEqual(a.dispatcher.withdraw.call_count, 1)

    def test_marks_survive_a_restart_and_the_move_is_decided_afterwards(self) -> None:
        a = self.session_routers["a"]
        a.route_submission(message("1"))
        (number,) = a.store.messages
        self.injected_fault = lambda to, body: "ask"  # every peer message is lost
        a.migrations.begin(KEY, "b", monotonic_time())
        self.run_for(0.1)
        self.assertEqual((list(a.store.migrating), a.store.may_send_attempt(number)), ([number], False))
        self.nodes["a"].stop()
        a.store.close()
        restarted = self.session_routers["a"] = self.make_router("a")
        self.assertFalse(restarted.store.may_send_attempt(number))
        known = restarted.store.leased_partitions[number >> 32].ledger.known[number].move
        assert known is not None
        self.assertEqual(known[1][:1], "<")
        self.run_for(0.1)
        self.assertEqual(restarted.dispatcher.adopted, [])  # type: ignore[attr-defined]
        self.injected_fault = lambda to, body: ""
        self.run_for(1.0)
        self.assertEqual((restarted.dispatcher.adopted, restarted.store.may_send_attempt(number)), ([number], True))  # type: ignore[attr-defined]
        self.assertEqual(self.session_routers["b"].store.messages, {})

    def test_the_next_process_restores_the_sessions_once(self) -> None:
        a = self.session_routers["a"]
        a.route_submission(message("1"))
        a.hand_over()
        self.nodes["a"].stop()
        a.store.close()
        restarted = self.make_router("a")
        dispatcher: Any = restarted.dispatcher
        self.assertEqual(
            [restarted.route_submission(message(id))[0] for id in ("1", "2")],
            [AdmissionResult.ACCEPTED, AdmissionResult.ACCEPTED],
        )
        self.assertEqual(dispatcher.submitted, 1)
        self.assertIsNone(restarted.migrations.files.read_and_delete_sessions())

    def test_a_damaged_or_late_offer_is_not_stored(self) -> None:
        b = self.session_routers["b"]
        answer = b.handle_peer_message("a", 1, StageSession("9/a/b", KEY, 2, b"facts", 1))
        self.assertEqual(answer, StageReply("9/a/b", False, "spoilt"))
        b.migrations.vote(format_move_name(8, "a", "b"), (2, "c#1"), None, KEY)  # another member is already deciding it
        late = b.handle_peer_message("a", 1, StageSession("8/a/b", KEY, 2, b"", 0x2D06800538D394C2))
        self.assertEqual((isinstance(late, StageReply) and late.stored, b.store.messages), (False, {}))

    def test_a_session_whose_move_is_called_off_on_a_full_disk_is_released_once_there_is_room(self) -> None:
        a = self.session_routers["a"]
        a.route_submission(message("1"))
        unfreeze_mock = a.dispatcher.unfreeze = mock.Mock()  # type: ignore[method-assign]
        self.injected_fault = lambda to, body: "ask" if isinstance(body, StageSession) else ""
        with mock.patch.object(migration_source, "RELEASE_RETRY_S", 0.05):
            a.migrations.begin(KEY, "b", monotonic_time())
            self.run_for(0.3)  # the messages are marked, and the target does not answer
            with mock.patch.object(a.migrations, "_save_marks_without", side_effect=OSError("full")) as save:
                self.run_for(0.6)
                self.assertTrue(save.called)
                self.assertEqual((len(a.store.migrating), unfreeze_mock.called), (1, False))
            self.run_for(0.3)
        self.assertEqual((a.store.migrating, unfreeze_mock.called, len(a.dispatcher.adopted)), ({}, True, 1))  # type: ignore[attr-defined]

    def test_a_vote_that_was_not_written_is_not_granted_on_a_repeated_request(self) -> None:
        target_migrations, move = (
            self.session_routers["b"].migrations,
            format_move_name(self.session_routers["a"].migrations.next_stamp, "a", "b"),
        )
        with mock.patch.object(target_migrations.files, "append_vote", side_effect=OSError("full")):
            grants = [target_migrations.vote(move, (2, "c#1"), None, KEY).granted for _ in range(2)]
            grants += [target_migrations.vote(move, (2, "c#1"), "off", KEY).granted for _ in range(2)]
        self.assertEqual(grants, [False] * 4)
        self.assertTrue(target_migrations.vote(move, (2, "c#1"), "off", KEY).granted)
        table = target_migrations.files.read_acceptor_table()
        assert table is not None
        self.assertEqual([(row.move, row.value) for row in table.rows], [(move, "off")])

    def test_a_member_that_is_cut_off_accepts_nothing_for_its_sessions(self) -> None:
        a = self.session_routers["a"]
        a.route_submission(message("1"))
        with mock.patch.object(a.store, "accepts_messages", return_value=False):
            self.assertEqual(a.route_submission(message("2"))[0], AdmissionResult.BUSY)
        reply = a._answer_forwarded(
            "c",
            SimpleNamespace(  # type: ignore[arg-type]
                key=KEY + 1,
                id="3",
                idempotency_key="",
                priority_class="line",
                tenant="",
                destination=0,
                remaining_us=1,
                answer_within_us=50_000,
                body=b"",
                moved=False,
                entry=None,
                deadline=0,
            ),
        )
        self.assertEqual(reply, ForwardReply("", 0, True, None))

    def test_final_answers_from_before_a_move_are_posted_after_it_is_called_off(self) -> None:
        """Virtual day 2020 (`--ack copy --level worst --sessions --subscribers 2`): a message without a final answer.

        n1 marks the messages of a session for a move, is cut off and dies. n2 adopts the partition without the marks
        and returns a message at its deadline. n1 is back 8 ms later and offers its facts with the marks: the message
        is parked, its unposted notice is dropped, and as a marked message it is not adopted. The move is called off
        18 ms later, but only messages without a final answer were adopted then, so the notice was never posted.
        """
        a = self.session_routers["a"]
        for id in ("1", "2", "3"):
            a.route_submission(message(id))
        ended, owed, uncopied = sorted(a.store.messages)
        for number in (ended, owed, uncopied):
            a.store.set_move_mark(number, 1, "<5/a/b")
        a.store.record_final_answer(ended, True, 0)
        a.store.record_final_answer(uncopied, True, 0)
        a.dispatcher.uncopied_ends = {uncopied}  # the dispatcher posts it once a replica has it
        self.assertTrue(a.migrations._clear_source_marks("5/a/b", KEY, False, monotonic_time()))
        self.assertEqual(a.dispatcher.adopted, [ended, owed])  # type: ignore[attr-defined]

    def test_transit_time_does_not_extend_a_deadline(self) -> None:
        """Virtual days 1010 and 1017 (`--ack own --level worst --sessions --subscribers 2`): late final answers.

        A message was forwarded over a slow link. `remaining_us` counts from the time of sending, so the holder added
        the 311 ms in transit to the remaining time. The final answers came 47 and 105 ms after the deadline's grace.
        """
        a, c = self.session_routers["a"], self.session_routers["c"]
        for late, clock_ahead, lengthened in (
            (0, 0, 0),
            (311_000, 0, 0),
            (311_000, -50_000, 50_000),  # the difference of the clocks
            (100_000, 9_000_000, 100_000 - LONGEST_TRANSIT_US),  # limited to the longest transit if a clock is far off
        ):
            with self.subTest(late=late, clock_ahead=clock_ahead):
                stored = message("1")
                sent_at = a.clock.now()
                body = a._forwarded_submit(stored, 300_000, False, None)
                with mock.patch.object(c.clock, "now", return_value=sent_at + late + clock_ahead):
                    forwarded = c._forwarded_message(body)
                ends_at = forwarded.deadline - clock_ahead  # by the clock of the forwarding member
                self.assertAlmostEqual(ends_at - stored.deadline, lengthened, delta=2_000)

    def test_an_older_member_sends_only_the_time_left(self) -> None:
        a, c = self.session_routers["a"], self.session_routers["c"]
        body = msgspec.structs.replace(a._forwarded_submit(message("1"), 300_000, False, None), deadline=0)
        self.assertAlmostEqual(c._forwarded_message(body).deadline, c.clock.now() + body.remaining_us, delta=2_000)

    def adopt_partition(
        self, level: int = INHERITANCE_LEVEL
    ) -> tuple[SessionRouter, SessionRouter, SessionRouter, int]:
        """Let c adopt the partition of a with all recent ids; a has accepted "1" and is unreachable."""
        a, b, c = (self.session_routers[name] for name in NAMES)
        a.route_submission(message("1"))
        self.exchange_locations()
        partition = slot_of("a") << 12
        fact = a.store.leased_partitions[partition].read_fact(a.store, *a.store.messages)
        assert fact is not None
        c.replica_recent_ids[partition] = RecentIds(monotonic_time() - ID_RETENTION_US)
        c.replica_recent_ids[partition].term, c.replica_recent_ids[partition].next = 1, 4
        c._record_replica_step(partition, Step(1, 5, MAX_MESSAGE_NUMBER, 0, 0, b""), [fact])
        self.injected_fault = lambda to, body: "ask" if to == "a" else ""
        for each in (b, c):
            each.node.verifier.levels["a"] = level
            each.node.members.status = lambda now, name: (  # type: ignore[method-assign]
                MemberStatus.DEAD if name == "a" else MemberStatus.ALIVE
            )
            each.node.grantor.learning = False
            each.node.grantor._grants[lease_name(partition)] = Grant(lease_name(partition), 2, "c")
        holder = SimpleNamespace(possible_successors=frozenset(), is_valid=lambda now: True)
        c.store.leased_partitions[partition] = LeasedPartition(partition, SimpleNamespace(me="c", holder=holder))  # type: ignore[arg-type]
        c.store.leased_partitions[partition].serving = True
        c.on_partition_adopted(partition)
        return a, b, c, partition

    def test_the_successor_of_a_dead_sender_inherits_its_sessions_and_ids(self) -> None:
        a, b, c, partition = self.adopt_partition()
        for router in (b, c):
            self.assertEqual(
                [
                    router.route_submission(message("1"))[0],
                    router.route_submission(message("1", b"other"))[0],
                    router.route_submission(message(f"2{router.name}"))[0],
                ],
                [AdmissionResult.ACCEPTED, AdmissionResult.REPEATED, AdmissionResult.ACCEPTED],
            )
        self.assertEqual(sorted(stored.id for stored in c.store.messages.values()), ["2b", "2c"])
        # a is back with its next partition. A message that it accepted without a replica is neither answered nor sent.
        self.injected_fault = lambda to, body: ""
        a.store.open_partition = LeasedPartition(partition + 1, a.store.leased_partitions[partition].takeover)
        a.store.open_partition.serving = True
        self.assertEqual(a.route_submission(message("2b"))[0], AdmissionResult.ACCEPTED)
        self.assertEqual((a.dispatcher.submitted, a.directory.holder_of(KEY)), (1, "c"))  # type: ignore[attr-defined]
        ((number, stored),) = a.store.messages.items()
        holding = c.store.leased_partitions[partition]
        fact = Fact(number, base_of(stored, b"x"), MessageKnowledge())
        self.assertEqual(c.filter_offered_facts(holding, [fact]), [])
        c.store.messages[number] = stored
        holding.ledger.known[number] = MessageKnowledge()
        withdrawn = Fact(number, None, MessageKnowledge(end=(EndRank.NOTIFIED, 0)))
        completed = Fact(number, None, MessageKnowledge(end=(EndRank.COMPLETED, 0)))
        self.assertEqual(c.filter_offered_facts(holding, [withdrawn, completed]), [completed])
        stored.deadline = 0
        self.assertEqual(c.filter_offered_facts(holding, [withdrawn]), [withdrawn])

    def test_no_inheritance_from_an_older_member_after_a_vote_or_with_a_recent_replica(self) -> None:
        a, b, c, partition = self.adopt_partition(INHERITANCE_LEVEL - 1)
        self.assertEqual(b.route_submission(message("2"))[0], AdmissionResult.BUSY)
        c.inheritable_sessions[partition] = inheritable = InheritableSessions(
            "a", monotonic_time() + 60_000_000, {}, set()
        )
        self.assertEqual(b.route_submission(message("2"))[0], AdmissionResult.BUSY)
        c.inheritable_sessions[partition] = inheritable._replace(complete_at=0)
        b.migrations.vote(format_move_name(b.migrations.next_stamp, "b", "a"), (1, "a"), "taker", KEY)
        self.assertEqual(b.route_submission(message("2"))[0], AdmissionResult.BUSY)
        b.migrations.acceptor.rows.clear()
        b.migrations.acceptor.by_key.clear()
        b.node.grantor._grants[lease_name(partition + 1)] = Grant(lease_name(partition + 1), 1, "a")
        self.assertEqual(c.route_submission(message("2"))[0], AdmissionResult.BUSY)
        del b.node.grantor._grants[lease_name(partition + 1)]
        self.assertEqual(c.route_submission(message("2"))[0], AdmissionResult.ACCEPTED)
        b.migrations.acceptor.raise_floor("a", 1)
        self.assertEqual(
            [
                b.migrations.vote(format_move_name(a.migrations.next_stamp, "a", "b"), (1, "b"), "taker", key).granted
                for key in (KEY, 0, KEY + 1)
            ],
            [False, False, True],
        )

    def test_a_move_without_source_and_target_is_decided(self) -> None:
        a, b, c = (self.session_routers[name] for name in NAMES)
        move = format_move_name(a.migrations.next_stamp, "a", "b")
        for voters in ((b,), (b, c)):
            for each in (b, c):
                each.migrations.acceptor.raise_floor("a", 1)
            for each in voters:
                self.assertTrue(each.migrations.vote(move, (1, "b"), "taker", KEY).granted)
                each.migrations.acceptor.rows[move].at -= UNDECIDED_LIMIT_US
            self.assertEqual(b.migrations.migration_table.by_name, {})
            b.migrations.remove_expired(monotonic_time())
            gevent.sleep(0.05)
            rows = [each.migrations.acceptor.rows[move] for each in (b, c)]
            self.assertEqual([(row.decided, row.value, row.key) for row in rows], [(True, "taker", KEY)] * 2)
            self.assertEqual(b.migrations.orphaned_proposers, {})
            move = format_move_name(a.migrations.next_stamp + 1, "a", "b")


class StoredVotesTest(unittest.TestCase):
    def test_votes_survive_a_restart_and_damage_makes_the_acceptor_abstain(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        session_files, move = SessionFiles(FleetFiles(folder)), format_move_name(5, "a", "b")
        voter = Acceptor(0, True)
        voter.raise_floor("a", 5)
        session_files.write_acceptor_table(voter.table())
        answer = voter.prepare(move, (3, "c#1"), 0)
        assert answer.unsaved_row is not None
        session_files.append_vote(answer.unsaved_row)
        again = Acceptor(0, False, SessionFiles(FleetFiles(folder)).read_acceptor_table())
        self.assertFalse(again.accept(move, (1, "b"), "taker", 0).granted)
        path = f"{session_files.fleet_files.path}/decrees"
        with open(path, "r+b") as file:
            file.seek(-3, 2)
            file.write(b"\0")
        self.assertIsNone(SessionFiles(FleetFiles(folder)).read_acceptor_table())

    def test_files_larger_than_a_record_are_read_back(self) -> None:
        files = SessionFiles(FleetFiles(self.enterContext(tempfile.TemporaryDirectory())))
        marks = {number: (1, "<1790000000000000/n0/n1") for number in range(40_000)}  # as many as in 20 long sessions
        files.write_marks(marks)
        self.assertEqual(files.read_marks(), marks)
        rows = [
            InstanceState(f"{stamp}/n0/n1", (2, "n0#1790000000000000"), (1, "n1"), "taker", True)
            for stamp in range(20_000)
        ]
        files.write_acceptor_table(AcceptorTable(rows, {"n0": 7}))
        files.append_vote(InstanceState("20001/n0/n1"))
        self.assertEqual(files.read_acceptor_table(), AcceptorTable([*rows, InstanceState("20001/n0/n1")], {"n0": 7}))

    def test_writes_to_a_durable_folder_are_synced(self) -> None:
        for durable, syncs in ((False, 0), (True, 3)):  # the file, the folder, then the row
            files = SessionFiles(FleetFiles(self.enterContext(tempfile.TemporaryDirectory()), durable))
            with mock.patch("os.fsync") as synced:
                files.write_acceptor_table(AcceptorTable([], {}))
                files.append_vote(InstanceState("1/n0/n1"))
                self.assertEqual(synced.call_count, syncs)


class FrozenSessionTest(test_net.DispatcherTest):
    """Frozen sessions in the dispatcher; the inherited tests run as well."""

    def submit_message(self, id: str) -> Submission:
        submission = Submission(
            StoredMessage(0, id, "", KEY, "free", "second", 0, self.dispatcher.clock.now() + 8_000_000, b"x")
        )
        self.dispatcher._admit(submission)
        return submission

    def freeze_session(self) -> AsyncResult:
        frozen_result = self.dispatcher.freeze(KEY)
        call, arguments = self.dispatcher.queue.get()
        call(*arguments)
        return frozen_result

    def test_freezing_waits_for_attempts_and_new_submissions_are_to_be_submitted_again(self) -> None:
        self.submit_message("a")
        self.dispatcher._decide()
        self.dispatcher._decide_clearance(self.calls[0], AsyncResult())
        fresh = self.submit_message("b")
        frozen_result = self.freeze_session()
        self.assertEqual((fresh.answer.get()[0], fresh.message.number), (AdmissionResult.FROZEN, 0))
        self.assertEqual(self.submit_message("c").answer.get()[0], AdmissionResult.FROZEN)
        self.assertFalse(frozen_result.ready())
        self.dispatcher._attempt_ended(self.calls[0], AttemptResult(Outcome.RESET))
        self.assertTrue(frozen_result.ready())
        self.assertTrue(self.store.messages[1].may_have_run_at)
        self.dispatcher._adopt([1])
        self.assertEqual(self.dispatcher.handles, {})  # not while the session is frozen
        self.dispatcher._unfreeze(KEY)
        self.store.migrating[1] = 2, "<1/a/b"
        self.dispatcher._adopt([1])
        self.assertEqual(self.dispatcher.handles, {})  # nor while the message is marked
        del self.store.migrating[1]
        self.dispatcher._adopt([1])
        self.assertEqual(list(self.dispatcher.handles), [1])
        self.assertEqual(self.submit_message("b").answer.ready(), False)  # its id was not recorded

    def test_a_session_without_unrecorded_attempts_does_not_pause_other_keys(self) -> None:
        self.submit_message("a")
        self.dispatcher._decide()
        self.freeze_session()
        self.dispatcher._attempt_ended(self.calls[0], AttemptResult(Outcome.MOOT))
        self.dispatcher._unfreeze(KEY)
        before = self.dispatcher.sender.order_key_queues.all_paused_until
        self.dispatcher._adopt([1], no_unrecorded_attempts=True)
        self.assertEqual(
            (list(self.dispatcher.handles), self.dispatcher.sender.order_key_queues.all_paused_until), ([1], before)
        )
        self.dispatcher._park([1])
        self.store.messages[1].may_have_run_at = 5
        self.dispatcher._adopt([1], no_unrecorded_attempts=True)
        self.assertGreater(self.dispatcher.sender.order_key_queues.all_paused_until, before)


if __name__ == "__main__":
    unittest.main()
