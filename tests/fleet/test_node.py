"""A member's own steps that tie rules, files and dispatcher together, each without the network."""

import tempfile
import threading
import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest import mock

import gevent
import msgspec
from loguru import logger

from cedarwick.config.member_slots import slot_of
from cedarwick.config.operator import Fleet, Member
from cedarwick.decisions.interface import Outcome
from cedarwick.fleet import limits
from cedarwick.fleet.consensus import parse_move_name
from cedarwick.fleet.fleet_files import FleetFiles, ForeignFolderError
from cedarwick.fleet.lease_grantor import LeaseGrantor
from cedarwick.fleet.lease_holder import KnownHolder
from cedarwick.fleet.leased_partition import STALLED_AFTER_US, LeasedPartition
from cedarwick.fleet.leases import CLOSED_PREFIX, LEASE_SPAN_US, lease_name
from cedarwick.fleet.member_state import MembershipChangeError
from cedarwick.fleet.membership import MemberStatus
from cedarwick.fleet.messages import (
    LEASE_PROBE_LEVEL,
    PENDING_ORDER_KEYS_LEVEL,
    Acknowledged,
    Body,
    Grant,
    GrantTable,
    Heartbeat,
    LeaseReply,
    LeaseRequest,
    OfferReply,
    PendingOrderKeys,
    ReplicaAck,
    ReplicateFacts,
    ReplicatePiece,
    TakeoverOffer,
    digest_of,
)
from cedarwick.fleet.messages import HeldLease as Right
from cedarwick.fleet.node import FleetNode
from cedarwick.fleet.order_key_hints import HINT_LIFETIME_US, SEND_INTERVAL_US
from cedarwick.fleet.replica import Replica
from cedarwick.fleet.replicated_store import (
    NUMBERS_PER_RESERVATION,
    NotReplicatedError,
    ReplicatedStore,
    monotonic_time,
)
from cedarwick.fleet.replication import GAP, MAX_MESSAGE_NUMBER, ReplicaPosition
from cedarwick.fleet.replication_facts import (
    CorruptFactsError,
    EndRank,
    Fact,
    MessageBase,
    MessageKnowledge,
    TermAttempts,
    decode_facts,
    encode_facts,
    stored_message_of,
)
from cedarwick.fleet.takeover import NO_STEP, Takeover, TakeoverStage
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters
from cedarwick.net.notifications import Notifier
from cedarwick.store.bodies import BodyLostError
from cedarwick.store.files import NoSpaceError
from cedarwick.store.journal import Store
from cedarwick.store.records import StoredMessage, encode_message
from tests.build import free_port

NAMES = ("a", "b", "c")
PARTITION = 5 << 12
CLOCK = Clock()


def number(index: int) -> int:
    return (PARTITION << 32) + index


def kept(index: int, life: int = 60_000_000) -> StoredMessage:
    return StoredMessage(number(index), f"id-{index}", "k", 0, "free", "", 0, CLOCK.now() + life, b"body")


def fact(index: int, life: int = 60_000_000) -> Fact:
    return Fact(
        number(index),
        MessageBase(f"id-{index}", "k", 0, "free", "", 0, CLOCK.now() + life, b"body"),
        MessageKnowledge(),
    )


class MemberTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("cedarwick")
        self.addCleanup(logger.enable, "cedarwick")

    def member(self, ack: str = "copy", folder: str = "") -> FleetNode:
        if not folder:
            made = tempfile.TemporaryDirectory()
            self.addCleanup(made.cleanup)
            folder = made.name
        store = ReplicatedStore(folder, 1 << 20, now=CLOCK.now, ack_after_replication=ack == "copy")
        store.load()
        self.addCleanup(store.close)
        told = Fleet(
            group="g",
            ack=ack,  # type: ignore[arg-type]
            member=[Member(name=name, address=f"127.0.0.1:{free_port()}", hall=name) for name in NAMES],
        )
        node = FleetNode("a", told, folder, store, CLOCK, Counters())
        node.dispatcher = mock.Mock()
        self.addCleanup(node.stop)
        return node

    def holding(self, node: FleetNode, term: int = 1, granted: bool = True) -> LeasedPartition:
        """The member has held the partition; and holds it now, where a majority has granted it that term."""
        takeover = node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES, resume=True)
        holding = node._hold_partition(PARTITION)
        node.store.resume_ledger(holding, term)
        node.store.begin_log(holding, term)
        holding.imported = True
        now = monotonic_time()
        takeover.holder.term = term - 1
        takeover.holder.request_next_term(now, Grant(lease_name(PARTITION), 0, ""))
        takeover.stage = TakeoverStage.HOLDING
        if granted:
            for _ in range(2):  # the second answer is that to the successors it names
                for name in NAMES:
                    takeover.holder.receive_reply(
                        now, now, name, LeaseReply(True, term, "a", (), takeover.holder.newest_set_number)
                    )
                takeover.holder.name_successors(now, ())
            self.assertTrue(takeover.holder.is_valid(now))
        return holding

    def test_what_the_newer_holder_has_copied_here_outlives_the_partition_that_is_given_up(self) -> None:
        for closed in (False, True):
            node = self.member()
            holding = self.holding(node)
            holding.offer_accepted = True
            data = encode_facts([fact(1)])
            node.replicas.receive_piece(ReplicatePiece(PARTITION, 2, 0, MAX_MESSAGE_NUMBER, data, 0, digest_of(data)))
            if closed:
                node.grantor.learn_closed(GrantTable(False, (Grant(lease_name(PARTITION), 2, "b", closed=True),)))
            node._drop_partition(PARTITION)
            self.assertNotIn(PARTITION, node.store.leased_partitions)
            self.assertEqual(
                (node.replicas.replica(PARTITION) is None, PARTITION in node.takeovers), (closed, not closed)
            )

    def test_alone_a_member_asks_for_nothing(self) -> None:
        for few, stage in ((0, TakeoverStage.ASKING), (1, TakeoverStage.WAITING)):
            node = self.member()
            node.grantor = LeaseGrantor("a", NAMES, monotonic_time(), ())
            node.no_majority_since = few
            takeover = node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES, resume=True)
            node._hold_partition(PARTITION)
            with mock.patch("cedarwick.fleet.node.gevent.spawn"):
                node._step_takeover(monotonic_time(), takeover)
            self.assertEqual(takeover.stage, stage)

    def test_a_holder_that_says_it_fires_is_left_alone_and_one_that_forgot_the_partition_is_gone(self) -> None:
        node, now = self.member(), monotonic_time()
        takeover = node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES)
        with mock.patch.object(takeover, "step", wraps=takeover.step) as step:
            node._receive_heartbeat("b", 7, Heartbeat(False, {}, (Right(PARTITION, 3),)))
            node._step_takeover(now, takeover)
            self.assertGreaterEqual(step.call_args.args[2], now + LEASE_SPAN_US)
            self.assertEqual(takeover.holder.newest_other_holder, (3, "b"))
            takeover.holder.term = 5  # asked for in vain
            node._receive_heartbeat("b", 7, Heartbeat(False, {}, (Right(PARTITION, 3),)))
            self.assertEqual(takeover.holder.newest_other_holder, (5, "b"))
            standing = step.call_args.args[3]
            self.assertIs(standing("b"), MemberStatus.ALIVE)
            node._receive_heartbeat("b", 8, Heartbeat(False, {}))
            self.assertIs(standing("b"), MemberStatus.ALIVE)  # it may yet ask for the partition
            node._step_takeover(monotonic_time() + limits.RESTART_REQUEST_WINDOW_US, takeover)
            self.assertIs(step.call_args.args[3]("b"), MemberStatus.DEAD)

    def test_who_was_started_again_may_ask_for_its_partition_however_long_it_has_held_it(self) -> None:
        node = self.member()
        takeover = node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES)
        node.presumed_holders[PARTITION] = "b", 1
        for boot, rights in ((7, (Right(PARTITION, 3),)), (8, ())):
            node._receive_heartbeat("b", boot, Heartbeat(False, {}, rights))
        now = monotonic_time()
        self.assertIs(node._status_for(now, "b", takeover), MemberStatus.ALIVE)
        self.assertIs(node._status_for(now + limits.RESTART_REQUEST_WINDOW_US, "b", takeover), MemberStatus.DEAD)

    def test_who_asked_in_vain_is_taken_for_the_holder_only_for_a_while(self) -> None:
        node = self.member()
        takeover = node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES)
        takeover.holder.newest_other_holder = KnownHolder(3, "b")  # as a grantor said that has granted it to b, alone
        now = monotonic_time() + 1
        with mock.patch.object(node.members, "status", return_value=MemberStatus.ALIVE):
            for after, name, stands in (
                (0, "b", MemberStatus.ALIVE),
                (limits.START_SERVING_US - 1, "b", MemberStatus.ALIVE),
                (limits.START_SERVING_US, "b", MemberStatus.DEAD),
                (limits.START_SERVING_US, "c", MemberStatus.ALIVE),
            ):
                self.assertIs(node._status_for(now + after, name, takeover), stands)

    def test_who_leaves_or_fires_for_a_partition_no_more_is_waited_for_no_longer(self) -> None:
        node = self.member()
        node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES)
        node._receive_heartbeat("b", 7, Heartbeat(False, {}, (Right(PARTITION, 3),)))
        node._receive_heartbeat("c", 7, Heartbeat(False, {}))
        self.assertIn(PARTITION, node.reported_serving)
        node._receive_heartbeat("b", 7, Heartbeat(True, {}))
        self.assertNotIn(PARTITION, node.reported_serving)
        self.holding(node).serving = True
        self.assertEqual([right.partition for right in node._own_heartbeat().leases], [PARTITION])
        node.leaving = True
        self.assertEqual(node._own_heartbeat().leases, ())

    def test_a_member_without_room_is_no_place_for_a_copy_while_there_is_another(self) -> None:
        node = self.member()
        holding, now = self.holding(node), monotonic_time()
        node.alive = list(NAMES)
        first = node._wanted_replicas(holding)
        node.replica_refused_at[first[0]] = now
        self.assertNotEqual(node._wanted_replicas(holding), first)
        node.alive = ["a", first[0]]
        self.assertEqual(node._wanted_replicas(holding), first)

    def test_partitions_that_are_opened_later_know_the_new_members(self) -> None:
        node = self.member()
        with mock.patch("cedarwick.fleet.node.gevent.spawn"):
            node.start(mock.Mock())
            more = Member(name="d", address="127.0.0.1:1", hall="d")
            node.replace(msgspec.structs.replace(node.settings, member=[*node.settings.member, more]))
        assert node.ownership is not None
        self.assertIn("d", node.ownership.names)

    def test_members_change_one_at_a_time_and_not_before_the_others_have_followed(self) -> None:
        node = self.member()

        def reload(*names: str) -> set[str]:
            node.replace(
                msgspec.structs.replace(
                    node.settings,
                    ack="own",
                    member=[
                        Member(name=name, address=f"127.0.0.1:{index + 1}", hall=name)
                        for index, name in enumerate(names)
                    ],
                )
            )
            return set(node.halls)

        def ask(heard: str) -> None:
            node._receive_heartbeat("b", 7, Heartbeat(False, dict.fromkeys(heard, 0)))
            node._answer("b", 7, LeaseRequest(lease_name(PARTITION), 1, "b", LEASE_SPAN_US))

        with mock.patch("cedarwick.fleet.node.gevent.spawn"):
            self.assertEqual(reload("a", "b", "c", "d", "e"), {"a", "b", "c"})  # {a, b} and {c, d, e}: two majorities
            self.assertEqual(reload("a", "b", "d"), {"a", "b", "c"})
            ask("ac")
            self.assertEqual(reload("a", "b", "c", "d"), {"a", "b", "c", "d"})
            self.assertEqual(reload("a", "b", "c", "d", "e"), {"a", "b", "c", "d"})  # b knows nothing of d yet
            ask("ac")
            ask("acd")
            self.assertEqual(reload("a", "b", "c", "d", "e"), {"a", "b", "c", "d", "e"})
            self.assertEqual(node.settings.ack, "copy")
            ask("acde")
            self.assertEqual(reload("a", "b", "c", "e"), {"a", "b", "c", "e"})
            self.assertEqual(reload("a", "b", "c"), {"a", "b", "c", "e"})
            node._receive_heartbeat("b", 7, Heartbeat(True, dict.fromkeys("acde", 0)))  # it has ended
            self.assertEqual(reload("a", "b", "c"), {"a", "b", "c"})
            self.assertEqual(reload("a", "b", "c", "f"), {"a", "b", "c"})  # it may come back with five
        node._receive_heartbeat("b", 8, Heartbeat(False, dict.fromkeys("acde", 0)))
        with self.assertRaises(MembershipChangeError):
            ask("ac")

    def test_a_partition_without_numbers_is_followed_by_the_next(self) -> None:
        node = self.member()
        node.grantor = LeaseGrantor("a", NAMES, 0, ())
        first = slot_of("a") << 12
        node._record_lease(first, 1, ((first + 1) << 32) - NUMBERS_PER_RESERVATION - 1)
        with mock.patch("cedarwick.fleet.node.gevent.spawn"):
            node.start(mock.Mock())
            node.check(monotonic_time())
            assert node.store.open_partition is not None
            self.assertEqual(node.store.open_partition.partition, first)
            node.store.open_partition.serving = True
            node.store.open_partition.takeover.holder.is_valid = lambda now: True  # type: ignore[method-assign]
            self.assertFalse(node.store.has_room(kept(1)))
            node.check(monotonic_time())
        self.assertEqual(
            (node.store.open_partition.partition, node.takeovers[first].takes_new_messages), (first + 1, False)
        )
        self.assertEqual(node.store.next_number, (first + 1 << 32) + 1)

    def test_what_was_closed_while_a_member_was_away_leaves_its_table(self) -> None:
        node = self.member()
        node.ownership = mock.Mock(**{"step.return_value": None})
        rows = [Grant(lease_name(PARTITION + index), 1, "b", closed=index > 0) for index in range(3)]
        node.grantor = LeaseGrantor("a", NAMES, 0, rows)  # the first was closed meanwhile
        theirs = GrantTable(False, (Grant(f"{CLOSED_PREFIX}{PARTITION >> 12}", 0, "", closed=True),))
        with mock.patch.object(node, "_call", return_value=theirs):
            node._receive_heartbeat("b", 7, Heartbeat(False, {}))
            node.check(monotonic_time())
            gevent.sleep(0.01)
        self.assertEqual([each.lease for each in node.grantor.table().grants], [f"{CLOSED_PREFIX}{PARTITION >> 12}"])

    def test_what_nobody_else_can_answer_is_answered_late(self) -> None:
        late, ours, others = [number(1)], True, False
        for granted, serving, offered, few, ack, answered in (
            (True, False, False, False, "copy", ours),  # no copy follows
            (True, True, False, False, "copy", others),  # the dispatcher sees to it
            (False, False, False, False, "copy", others),  # whoever is granted it answers
            (False, False, False, True, "copy", ours),
            (None, False, False, False, "own", ours),  # lost, and told to nobody
            (None, False, True, False, "own", others),
            ("b", False, False, True, "own", ours),  # told to nobody, and the newer holder is not heard
            ("c", False, False, True, "own", others),
            ("b", False, True, True, "own", others),
        ):  # it may have been taken
            node = self.member(ack)
            holding = self.holding(node, granted=granted is True)
            node.store.add_message(kept(1, life=100_000))
            node.store.add_message(kept(2))
            holding.serving, holding.offer_accepted, holding.offer_sent = serving, offered, offered
            if granted is None:
                holding.takeover.stage = TakeoverStage.GONE
            elif isinstance(granted, str):
                node._receive_heartbeat("c", 7, Heartbeat(False, {}))
                holding.takeover.stage, holding.takeover.holder.newest_other_holder = (
                    TakeoverStage.OFFERING,
                    KnownHolder(2, granted),
                )
            node._answer_late(monotonic_time(), few)
            self.assertEqual(node.dispatcher.abandon_parked.mock_calls, [mock.call(late)] * answered)  # type: ignore[attr-defined]

    def test_a_right_that_no_majority_speaks_of_any_more_is_as_good_as_gone(self) -> None:
        node = self.member()
        self.holding(node, granted=False)
        node.store.add_message(kept(1, life=100_000))
        for after, calls in ((0, 0), (limits.NO_MAJORITY_US - 1, 0), (limits.NO_MAJORITY_US, 1)):
            node._answer_late(1_000_000_000 + after, few=False)
            self.assertEqual(len(node.dispatcher.abandon_parked.mock_calls), calls)  # type: ignore[attr-defined]
        holding = node.store.leased_partitions[PARTITION]
        with mock.patch.object(holding.takeover.holder, "is_valid", return_value=True):
            node._answer_late(2_000_000_000, few=False)
        self.assertEqual(holding.unheld_since, 0)  # what follows is another loss

    def test_a_partition_that_is_asked_for_in_vain_after_a_restart_is_answered_in_time(self) -> None:
        # A term that was granted here may be another's at the others.
        for newer, calls in (((0, ""), 1), ((1, "a"), 1), ((2, "b"), 0), ((2, "A"), 0)):
            node = self.member()
            takeover = self.holding(node, granted=False).takeover
            node.grantor.grant = lambda lease: Grant(lease, 2, "a")  # type: ignore[method-assign]
            takeover.stage, takeover.holder.newest_other_holder = TakeoverStage.ASKING, KnownHolder(*newer)
            node.store.add_message(kept(1, life=100_000))
            for after in (0, limits.NO_MAJORITY_UNHELD_US):
                node._answer_late(1_000_000_000 + after, few=False)
            self.assertEqual(len(node.dispatcher.abandon_parked.mock_calls), calls)  # type: ignore[attr-defined]

    def test_what_was_taken_before_the_fleet_goes_on_in_the_first_partition_or_is_answered_in_time(self) -> None:
        node = self.member()
        node.ownership = mock.Mock(**{"step.return_value": None})
        dispatcher: Any = node.dispatcher
        for index, life in ((1, 100_000), (2, 60_000_000), (3, 60_000_000)):
            Store.add_message(node.store, replace(kept(index, life), number=index))
        Store.record_final_answer(node.store, 3, True, 0)
        node.check(monotonic_time())
        dispatcher.abandon_parked.assert_called_once_with(
            [1, 3]
        )  # no majority grants a partition: one ends, one has its notice owed
        holding = self.holding(node)
        holding.serving, node.store.open_partition = True, holding
        node.store.next_number, holding.reserved_upto = number(1), number(9)
        with mock.patch.object(node.store, "has_room", side_effect=[True, False, True]):
            for left in ([2, 3], [3]):
                node._answer_late(monotonic_time(), few=False)
                self.assertEqual(node.store.message_numbers(0), left)
        self.assertEqual(dispatcher.adopt.mock_calls, [mock.call([number(index)]) for index in (1, 2)])

    def test_who_asked_in_vain_gives_its_own_promise_back(self) -> None:
        node = self.member()
        node.grantor = LeaseGrantor("a", NAMES, 0, ())
        takeover = node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES, resume=True)
        node._hold_partition(PARTITION)
        now = monotonic_time()
        with mock.patch("cedarwick.fleet.node.gevent.spawn"):
            node._step_takeover(now, takeover)
            self.assertEqual(node.grantor.table().grants, ())  # so far it only probes
            takeover.holder.receive_reply(now, now, "b", LeaseReply(True, 0, "", probe=True))
            node._step_takeover(now, takeover)
            self.assertGreaterEqual(node.grantor.promised_until(lease_name(PARTITION)), now + LEASE_SPAN_US)
            node._step_takeover(monotonic_time() + LEASE_SPAN_US, takeover)
        self.assertLess(node.grantor.promised_until(lease_name(PARTITION)), now + LEASE_SPAN_US)

    def test_a_probe_in_vain_gives_nothing_back_and_leaves_the_table_as_it_was(self) -> None:
        node = self.member()
        node.grantor = LeaseGrantor("a", NAMES, 0, ())
        takeover = node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES, resume=True)
        node._hold_partition(PARTITION)
        now = monotonic_time()
        with mock.patch("cedarwick.fleet.node.gevent.spawn") as spawned:
            for at in (now, now + LEASE_SPAN_US):
                node._step_takeover(at, takeover)
        self.assertIs(takeover.stage, TakeoverStage.WAITING)
        self.assertEqual((node.grantor.table().grants, takeover.holder.term), ((), 0))
        sent = [each for call in spawned.mock_calls for each in call.args if isinstance(each, LeaseRequest)]
        self.assertEqual({each.probe for each in sent}, {True})

    def test_a_member_of_an_earlier_version_is_sent_no_probe_and_taken_to_agree(self) -> None:
        node = self.member()
        takeover = node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES, resume=True)
        now = monotonic_time()
        takeover.holder.request_next_term(now, Grant(lease_name(PARTITION), 0, ""), probe_first=True)
        ask = takeover.holder.due_request(now)
        assert ask is not None and ask.probe
        for level, called in ((LEASE_PROBE_LEVEL - 1, 0), (LEASE_PROBE_LEVEL, 1)):
            node.verifier.levels["b"] = level
            with mock.patch.object(node, "_call", return_value=None) as call:
                node._request_lease_from(takeover, "b", ask, now)
            self.assertEqual(call.call_count, called)
        self.assertEqual(set(takeover.holder._would_grant), {"b"})

    def test_a_partition_that_finds_no_room_here_is_given_back_and_asked_for_again(self) -> None:
        node = self.member()
        holding = self.holding(node)
        holding.log.term, holding.takeover._resume = 0, False
        with (
            mock.patch.object(node.store, "resume_ledger", side_effect=NoSpaceError("full")),
            mock.patch("cedarwick.fleet.node.gevent.spawn"),
        ):
            node._import_partition(monotonic_time(), holding.takeover)
        node._step_takeover(monotonic_time(), holding.takeover)
        self.assertIs(holding.takeover.stage, TakeoverStage.WAITING)

    def test_a_damaged_folder_leaves_its_partitions_to_the_successors_for_a_while_and_a_copy_is_no_partition(
        self,
    ) -> None:
        node = self.member()
        self.holding(node)
        node.store.add_message(kept(1))
        node.store.close()
        again = self.member(folder=node.store.folder.path)
        again.replicas.receive_piece(
            ReplicatePiece(PARTITION + 1, 2, 0, MAX_MESSAGE_NUMBER, encode_facts([]), 0, digest_of(encode_facts([])))
        )
        again.replicas.close()
        again.store.damaged = True
        with mock.patch("cedarwick.fleet.node.gevent.spawn"):
            again.start(mock.Mock())
            self.assertEqual(
                (set(again.store.leased_partitions), set(again.takeovers)), ({PARTITION}, {PARTITION, PARTITION + 1})
            )
            again.grantor = LeaseGrantor("a", NAMES, 0, ())
            now = again.begun_at + limits.DAMAGED_FOLDER_US
            for at, asks in ((now - 1, False), (now, True)):
                again._step_takeover(at, again.takeovers[PARTITION])
                self.assertEqual(again.takeovers[PARTITION].stage is TakeoverStage.ASKING, asks)

    def test_no_second_attempt_goes_out_under_a_new_number_beside_the_first(self) -> None:
        node = self.member("own")
        holding = self.holding(node)
        holding.serving, node.store.open_partition = True, holding
        node.store.add_message(kept(1))
        node.store.record_attempt(number(1), CLOCK.now(), 0)
        with mock.patch.object(node, "_renumber") as rekey:
            node._drop_partition(PARTITION)
            rekey.assert_not_called()
            self.assertIn(PARTITION, node.takeovers)

    def test_what_a_receiver_answers_is_told_once_whatever_became_of_the_message_meanwhile(self) -> None:
        done = Fact(number(1), None, MessageKnowledge(end=(EndRank.NOTIFIED, 0)))
        ways: tuple[Callable[[ReplicatedStore], object], ...] = (
            lambda store: None,
            lambda store: store.finish(number(1)),  # its client had left
            lambda store: store.remove_partition(PARTITION),  # another sender has its partition
            lambda store: store.merge_offer(
                store.leased_partitions[PARTITION], [done], 1
            ),  # an earlier holder has ended it
        )
        for gone in ways:
            for outcome, kind in ((Outcome.COMPLETED, "completed"), (Outcome.TIME_OUT, "outcome")):
                node, seen = self.member(), mock.Mock()
                self.holding(node)
                store = node.store
                store.on_event = seen
                store.add_message(kept(1))
                store.record_attempt(number(1), CLOCK.now(), 0)
                gone(store)
                store.record_outcome(number(1), outcome)
                self.assertEqual(
                    [(call.args[0], call.args[1].id) for call in seen.mock_calls],
                    [("taken", "id-1"), ("shot", "id-1"), (kind, "id-1")],
                )
                self.assertEqual(store.in_flight, {})

    def test_what_only_this_member_has_is_never_forgotten_for_want_of_room_or_at_the_end(self) -> None:
        node = self.member("own")
        holding = self.holding(node)
        holding.serving, node.store.open_partition = True, holding
        holding.takeover.holder.name_successors(monotonic_time(), ())
        for index in (1, 2, 3):
            node.store.add_message(kept(index))
        node.store.read_body = lambda number: b"" if number % 4 != 3 else self.fail_to_read()  # type: ignore[method-assign]
        opened = Takeover(PARTITION + 1, "a", NAMES, resume=True)
        node.takeovers[PARTITION + 1] = opened
        fresh = node._hold_partition(PARTITION + 1)
        fresh.serving, opened.holder.is_valid = True, lambda now: True  # type: ignore[method-assign]
        node.store.open_partition, node.store.next_number, fresh.reserved_upto = (
            fresh,
            (PARTITION + 1 << 32) + 1,
            (PARTITION + 1 << 32) + 99,
        )
        keep = node.store.add_message
        with mock.patch.object(node.store, "add_message") as full:
            full.side_effect = lambda each: keep(each) if full.call_count == 1 else self.fail_to_write()
            node._drop_partition(PARTITION)
        node.dispatcher.adopt.assert_called_once_with([(PARTITION + 1 << 32) + 1])  # type: ignore[attr-defined]
        self.assertEqual(node.store.message_numbers(PARTITION), [number(2), number(3)])
        node.leaving = True
        node._drop_partition(PARTITION)
        self.assertEqual(node.store.message_numbers(PARTITION), [number(2), number(3)])
        node.leaving = False
        node._drop_partition(PARTITION)
        self.assertNotIn(PARTITION, node.takeovers)
        ends = {each.id: each.final_answer for each in node.store.messages.values()}
        self.assertEqual(ends, {"id-1": None, "id-2": None, "id-3": (False, 0)})  # the third could not be read

    def test_a_body_that_cannot_be_read_leaves_no_copy_without_its_message(self) -> None:
        node = self.member()
        holding = self.holding(node)
        node.store.add_message(kept(1))
        node.store.read_body = lambda number: self.fail_to_read()  # type: ignore[method-assign]
        copy = Replica(PARTITION)
        step = copy.step_for_piece(holding.log.build_piece(0, MAX_MESSAGE_NUMBER))
        assert step.entry is not None
        copy.apply(step.entry, step.facts)
        for told in (copy.pending[number(1)], *node.store.facts_to_offer(holding)):
            self.assertEqual((told.base is not None, told.known.end[0]), (True, EndRank.FAILED))
        self.assertEqual(holding.ledger.known[number(1)].end[0], EndRank.NONE)  # it may yet be read here

    def fail_to_read(self) -> bytes:
        raise BodyLostError("cut")

    def fail_to_write(self) -> None:
        raise NoSpaceError("full")

    def test_a_partition_that_cannot_be_looked_at_holds_up_neither_the_others_nor_the_late_answers(self) -> None:
        node = self.member()
        node.ownership = mock.Mock(**{"step.return_value": None})
        for index, error in enumerate((OSError("full"), ValueError("spoilt"), None)):
            takeover = node.takeovers[PARTITION + index] = Takeover(PARTITION + index, "a", NAMES)
            takeover.step = mock.Mock(side_effect=error, return_value=NO_STEP)  # type: ignore[method-assign]
        with mock.patch.object(node, "_answer_late") as late:
            node.check(monotonic_time())
            late.assert_called_once()
        for takeover in node.takeovers.values():
            takeover.step.assert_called_once()  # type: ignore[attr-defined]

    def test_a_slow_disk_holds_up_only_the_answers_that_rest_on_it(self) -> None:
        node, go = self.member(), threading.Event()
        node.grantor = LeaseGrantor("a", NAMES, 0, ())
        asks = [LeaseRequest(f"book:{partition}", 1, "b", LEASE_SPAN_US) for partition in (1, 2)]
        node._answer_lease_request(asks[0])
        write = node.fleet_files.write_grant_table
        with mock.patch.object(
            node.fleet_files, "write_grant_table", side_effect=lambda table: go.wait(5) and write(table)
        ):
            out = [gevent.spawn(node._answer_lease_request, asks[1]) for _ in range(2)]
            gevent.sleep(0.02)
            self.assertTrue(node._answer_lease_request(asks[0]).granted)  # on the disk since before
            self.assertFalse(any(each.ready() for each in out))
            go.set()
            self.assertTrue(all(each.get(timeout=5).granted for each in out))
        table = node.fleet_files.read_grant_table()
        self.assertEqual([grant.lease for grant in table.grants] if table else [], ["book:1", "book:2"])

    def test_a_message_that_was_overtaken_is_waited_for(self) -> None:
        node = self.member()
        node.replicas.receive_piece(
            ReplicatePiece(PARTITION, 1, 0, MAX_MESSAGE_NUMBER, encode_facts([]), 0, digest_of(encode_facts([])))
        )
        parts = [encode_facts([fact(index)]) for index in (1, 2)]
        peer_messages = [ReplicateFacts(PARTITION, 1, place, part, digest_of(part)) for place, part in enumerate(parts)]
        out = [gevent.spawn(node._replicate, peer_message) for peer_message in reversed(peer_messages)]
        self.assertEqual(
            [each.get(timeout=2) for each in out],
            [ReplicaAck(PARTITION, 1, 2, "", MAX_MESSAGE_NUMBER), ReplicaAck(PARTITION, 1, 1, "", MAX_MESSAGE_NUMBER)],
        )
        late = node._replicate(ReplicateFacts(PARTITION, 1, 7, parts[0], digest_of(parts[0])))
        self.assertEqual(getattr(late, "problem", ""), GAP)  # not for ever

    def test_a_partition_that_starved_once_follows_again_by_one_round_in_time(self) -> None:
        node = self.member()
        holding, now = self.holding(node), monotonic_time()
        node.store.on_replication_timeout = node._note_replication_timeout
        holder = holding.takeover.holder
        holder.name_successors(now, ["b"])
        for name in NAMES:
            holder.receive_reply(now, now, name, LeaseReply(True, 1, "a", (), holder.newest_set_number))
        holding.serving = True
        successor = holding.log.add_follower("b", now)

        def has(index: int) -> None:
            successor.receive_ack(monotonic_time(), ReplicaAck(PARTITION, 1, index, "", MAX_MESSAGE_NUMBER), 1)

        node.store.add_message(kept(1))
        with (
            mock.patch.object(node.store, "ack_timeout_us", 0),
            self.assertRaisesRegex(NotReplicatedError, "are not at b"),
        ):
            node.store.flush()
        self.assertTrue(holding.stalled_since)
        has(1)
        node.store.flush()
        node.store.add_message(kept(2))  # under load something is always on its way
        self.assertTrue(node._replicas_keep_up(monotonic_time() + STALLED_AFTER_US, holding))
        holding.stalled_since = monotonic_time() - 2 * STALLED_AFTER_US
        with self.assertRaisesRegex(NotReplicatedError, "are not at b"):
            node.store.flush()
        self.assertFalse(node._replicas_keep_up(monotonic_time(), holding))

    def test_a_copy_counts_once_a_majority_knows_its_successor(self) -> None:
        node = self.member()
        holding = self.holding(node)
        holding.takeover.holder.name_successors(monotonic_time(), ["b"])
        self.assertFalse(node._replicas_keep_up(monotonic_time(), holding))

    def test_a_copy_becomes_a_successor_once_it_has_all_that_came_before_it_was_waited_for(self) -> None:
        node = self.member()
        holding = self.holding(node)
        holding.serving, node.store.open_partition = True, holding
        node.alive = list(NAMES)
        name, other = node._wanted_replicas(holding)[0], ({"b", "c"} - set(node._wanted_replicas(holding))).pop()
        follower = holding.log.add_follower(name, monotonic_time())
        for index in (1, 2, 3):
            node.store.add_message(kept(index))
            if index == 2:
                follower.position = ReplicaPosition(1, 1, MAX_MESSAGE_NUMBER)  # whole, with a record on its way
                node._name_successors(monotonic_time(), holding)
            # Danger: named now, and granted the next term in a moment, it would know nothing of the second.
            self.assertNotIn(name, holding.takeover.holder.possible_successors)
            self.assertEqual(node.store.successors_of(holding), {name} if index > 1 else set())
        follower.position = ReplicaPosition(1, 2, MAX_MESSAGE_NUMBER)
        node._name_successors(monotonic_time(), holding)
        self.assertIn(name, holding.takeover.holder.possible_successors)  # the third waits for it already
        node = self.member()
        holding = self.holding(node)
        node.alive = list(NAMES)
        holding.log.add_follower(name, monotonic_time()).position = ReplicaPosition(1, 0, MAX_MESSAGE_NUMBER)
        node.store.add_message(kept(1))
        now = monotonic_time()
        node._name_successors(now, holding)
        self.assertEqual(node.store.successors_of(holding), {name})
        node._name_successors(now + STALLED_AFTER_US + 1, holding)
        self.assertEqual(node.store.successors_of(holding), set())  # it does not keep up
        node.replica_refused_at = {each: monotonic_time() for each in node.replica_refused_at}
        self.assertEqual(node._wanted_replicas(holding), [other])
        holding.joining[name] = 7, now
        node.store.begin_log(holding, 2)
        self.assertEqual(holding.joining, {})

    def test_an_owner_that_was_started_again_offers_what_lies_in_its_folder(self) -> None:
        node = self.member("own")
        self.holding(node)
        node.store.add_message(kept(1))
        node.store.close()
        again = self.member("own", node.store.folder.path)
        again._record_lease(PARTITION, 1, 0)
        takeover = again.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES, 1, resume=True)
        takeover.stage = TakeoverStage.OFFERING
        holding = again._hold_partition(PARTITION)
        self.assertEqual(again.store.unreplicated(holding), ([], [number(1)]))
        offers: list[Any] = []

        def call(name: str, body: Body, within_s: float) -> Body:
            offers.append(body)
            return OfferReply(PARTITION, 0)

        with mock.patch.object(again, "_call", call):
            again._send_offer(takeover, "b")
        offer: TakeoverOffer = offers[0]
        self.assertEqual([each.number for each in decode_facts(offer.facts)], [number(1)])
        self.assertEqual((offer.term, takeover.stage), (1, TakeoverStage.GONE))

    def test_a_copy_that_followed_behind_is_in_doubt_since_the_last_attempt_it_heard_of(self) -> None:
        attempt = Fact(number(1), fact(1).base, MessageKnowledge({1: TermAttempts(1, True, 77, 0)}))
        for ack, behind, doubt in (("own", True, 77), ("copy", True, 77), ("own", False, 77), ("copy", False, 0)):
            node = self.member(ack)
            takeover = node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES)
            data, tail = encode_facts([attempt]), encode_facts([fact(2)])
            node.replicas.receive_piece(
                ReplicatePiece(PARTITION, 1, 0, MAX_MESSAGE_NUMBER, data, 0, digest_of(data), behind)
            )
            node.replicas.receive_facts(ReplicateFacts(PARTITION, 1, 0, tail, digest_of(tail)))
            node.replicas.close()
            node.replicas.load()  # the file tells it as well
            takeover.holder.term = 2
            with mock.patch("cedarwick.fleet.node.gevent.spawn"):
                node._import_partition(monotonic_time(), takeover)
            self.assertEqual(
                [node.store.messages[number(index)].records_lost_since for index in (1, 2)], [doubt, doubt]
            )
            self.assertEqual(
                node.store.leased_partitions[PARTITION].log.build_piece(0, MAX_MESSAGE_NUMBER).behind, ack == "own"
            )

    def test_keys_of_before_a_trouble_are_told_and_those_told_by_others_rest(self) -> None:
        node, now = self.member(), monotonic_time()
        node.dispatcher.key_hold_left_us.return_value = 0  # type: ignore[attr-defined]
        node.dispatcher.is_ordered = lambda priority_class: priority_class == "free"  # type: ignore[method-assign]
        node.alive, node.verifier.levels = (
            list(NAMES),
            {"a": PENDING_ORDER_KEYS_LEVEL, "b": PENDING_ORDER_KEYS_LEVEL - 1, "c": PENDING_ORDER_KEYS_LEVEL},
        )
        data = encode_facts(
            [
                Fact(
                    each.number,
                    msgspec.structs.replace(each.base, ordering_key=turn, priority_class=priority_class),
                    each.known,
                )
                for each, turn, priority_class in ((fact(1), 8, "free"), (fact(2), 9, "marked"))
                if each.base
            ]
        )
        node.replicas.receive_piece(ReplicatePiece(PARTITION, 2, 0, MAX_MESSAGE_NUMBER, data, 0, digest_of(data)))
        node._follow_partition(PARTITION)
        node.grantor = LeaseGrantor("a", NAMES, now, (Grant(lease_name(PARTITION), 2, "b", ("b", "a"), 1),))
        with mock.patch("cedarwick.fleet.node.gevent.spawn") as spawn:
            with mock.patch.object(node, "_status_for", return_value=MemberStatus.ALIVE):
                node._exchange_pending_order_keys(now)
            self.assertEqual((spawn.call_args, node.order_key_hints.held_keys), (None, frozenset()))
            node._exchange_pending_order_keys(
                now
            )  # b is silent: what a copy here says is owed is told, and rests here, too
            self.assertEqual([call.args[1:3] for call in spawn.call_args_list], [("c", PendingOrderKeys((8,)))])
            node.dispatcher.hold_keys.assert_called_once_with({8})  # type: ignore[attr-defined]
            node.grantor = LeaseGrantor("a", NAMES, now, (Grant(lease_name(PARTITION), 3, "a", ("b", "a"), 1),))
            node._exchange_pending_order_keys(
                now
            )  # this member has asked for the partition, and has not taken it in yet
            self.assertEqual(node.order_key_hints.held_keys, {8})
            self.assertIsInstance(node._answer("c", 1, PendingOrderKeys((5, 6))), Acknowledged)
            node.replicas.drop(PARTITION)
            node.takeovers.clear()
            node._exchange_pending_order_keys(now)
            self.assertEqual(node.order_key_hints.held_keys, {5, 6})
            holding = self.holding(node)
            for index, turn in enumerate((5, 7), 1):
                holding.ledger.note_message(replace(kept(index), order_key=turn), b"")
                node.store.messages[number(index)] = replace(kept(index), order_key=turn)
            for open_partition, told in (
                (holding, {7}),
                (None, {5, 7}),
            ):  # in the open partition 5 waits for c by itself
                node.store.open_partition = open_partition
                node._record_backlog(holding)
                node._exchange_pending_order_keys(now)
                self.assertEqual(node.order_key_hints.sent_keys, told)
                self.assertLessEqual(told, node.order_key_hints.held_keys)  # a partition that is not fired for
            holding.serving = True
            node._exchange_pending_order_keys(now)
            self.assertEqual(node.order_key_hints.held_keys, {6})
            holding.ledger.known.clear()
            node._exchange_pending_order_keys(now + SEND_INTERVAL_US)
            self.assertEqual(spawn.call_args.args[1:3], ("c", PendingOrderKeys()))
            node._exchange_pending_order_keys(now + HINT_LIFETIME_US + LEASE_SPAN_US)
            self.assertEqual(node.dispatcher.hold_keys.call_args.args, (frozenset(),))  # type: ignore[attr-defined]

    def test_an_offer_that_finds_room_for_a_part_is_taken_whole_when_it_comes_again(self) -> None:
        node = self.member()
        holding = self.holding(node)
        holding.serving = True
        dispatcher: Any = node.dispatcher
        data = encode_facts([fact(1), fact(2), fact(3)])
        keep, problems = Store.add_message, []
        for room in ((1,), (1, 2, 3)):

            def kept_if(store: Store, each: StoredMessage, room: tuple[int, ...] = room) -> None:
                if each.number not in map(number, room):
                    raise NoSpaceError("full")
                keep(store, each)

            with mock.patch.object(Store, "add_message", kept_if):
                problems.append(node._answer_offer("b", TakeoverOffer(PARTITION, 0, True, data, digest_of(data), 1)))
        self.assertEqual(problems, [OfferReply(PARTITION, 0, "full"), OfferReply(PARTITION, 0)])
        self.assertEqual(dispatcher.adopt.mock_calls, [mock.call([number(1)]), mock.call([number(2), number(3)])])
        self.assertEqual(sorted(node.store.messages), sorted(holding.ledger.known))

    def test_an_owner_that_comes_back_after_others_waits_for_what_they_may_offer(self) -> None:
        for term, from_term in ((2, 0), (3, 1)):
            node = self.member()
            node._record_lease(PARTITION, 1, 0)
            takeover = node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES, 1, resume=True)
            takeover.holder.term = term
            with mock.patch("cedarwick.fleet.node.gevent.spawn"):
                node._import_partition(monotonic_time(), takeover)
            self.assertEqual(node.store.leased_partitions[PARTITION].imported_from_term, from_term)

    def test_an_adopted_partition_is_kept_for_what_its_last_holder_may_offer(self) -> None:
        for from_term, waits in ((1, True), (0, False)):
            node = self.member()
            holding = self.holding(node)
            holding.imported_from_term = from_term
            now = monotonic_time()
            self.assertEqual(node._expects_offer(now, holding), waits)
            self.assertFalse(node._expects_offer(now + limits.OFFER_EXPECTED_US, holding))
            empty = encode_facts([])
            node._answer_offer("b", TakeoverOffer(PARTITION, 0, True, empty, digest_of(empty), 1))
            self.assertEqual(node._expects_offer(now, holding), waits)  # it may not have the answer yet
            self.assertFalse(node._expects_offer(now + 4_000_000, holding))

    def test_what_is_adopted_at_its_limit_has_failed_and_what_only_this_member_had_is_kept(self) -> None:
        store = self.member().store
        holding = LeasedPartition(PARTITION, mock.Mock())
        store.leased_partitions[PARTITION] = holding
        for index in (3, 4, 5):
            holding.ledger.known[number(index)] = MessageKnowledge()
            super(ReplicatedStore, store).add_message(kept(index))
        soon = CLOCK.now() + 300_000
        moving = msgspec.structs.replace(fact(6, life=0), known=MessageKnowledge(move=(1, "<1/a/b")))
        store.import_replica(holding, [fact(1), fact(2, life=0), moving], 2, 0, [number(3)], [number(4)], soon)
        ends = {
            index: store.messages[number(index)].final_answer
            for index in range(1, 7)
            if number(index) in store.messages
        }
        self.assertEqual(ends, {1: None, 2: (False, 0), 3: None, 4: (False, 0), 6: None})  # it is on the move
        self.assertEqual(holding.ledger.known[number(4)].end[0], EndRank.FAILED)


class TablesTest(unittest.TestCase):
    def test_what_is_learned_counts_as_promised_for_a_span(self) -> None:
        grantor = LeaseGrantor("a", NAMES, 0, None)
        right = lease_name(PARTITION)
        rows = (Grant(right, 3, "b", ("b", "a"), 3 << 20 | 1),)
        for name in ("b", "c"):
            grantor.learn_from(LEASE_SPAN_US, name, GrantTable(False, rows))
        self.assertEqual((grantor.learning, grantor.promised_until(right)), (False, 2 * LEASE_SPAN_US))

    def test_only_closed_rows_of_another_table_are_taken_over(self) -> None:
        grantor = LeaseGrantor("a", NAMES, 0, ())
        other = lease_name(PARTITION + 2)
        grantor.learn_closed(
            GrantTable(False, (Grant(lease_name(PARTITION + 1), 2, "b", closed=True), Grant(other, 2, "b")))
        )
        self.assertEqual(
            (grantor.grant(lease_name(PARTITION + 1)).closed, grantor.grant(other).term, grantor.dirty), (True, 0, True)
        )


class FoldersTest(unittest.TestCase):
    def test_a_folder_of_another_member_or_group_is_refused_and_stays_as_it_is(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        FleetFiles(folder).claim_folder("g", "a")
        for group, name in (("g", "b"), ("h", "a")):
            with self.assertRaises(ForeignFolderError):
                FleetFiles(folder).claim_folder(group, name)
        FleetFiles(folder).claim_folder("g", "a")


class NumbersTest(unittest.TestCase):
    def test_no_number_that_a_member_tells_is_beyond_what_the_folder_holds(self) -> None:
        for destination, fits in (((1 << 32) - 1, True), (1 << 32, False)):
            data = encode_facts(
                [Fact(number(1), MessageBase("id", "k", 0, "free", "", destination, 1, b""), MessageKnowledge())]
            )
            if fits:
                encode_message(stored_message_of(decode_facts(data)[0]), b"")
            else:
                self.assertRaises(CorruptFactsError, decode_facts, data)
        self.assertRaises(ValueError, parse_move_name, f"{1 << 62}/a/b")


class PostsTest(unittest.TestCase):
    def test_a_notice_that_was_given_up_during_its_post_does_no_harm(self) -> None:
        for status in (204, 500):
            notices = Notifier(("", 0), Counters(), mock.Mock(side_effect=KeyboardInterrupt))

            def post(_: bytes, notices: Notifier = notices, status: int = status) -> int:
                notices.pending.clear()
                return status

            with (
                mock.patch.object(notices, "_post", post),
                mock.patch("cedarwick.net.notifications.gevent.sleep", side_effect=KeyboardInterrupt),
            ):
                notices.enqueue(1, "id", True, 0)
                with self.assertRaises(KeyboardInterrupt):  # it came to its next step
                    notices.run()


if __name__ == "__main__":
    unittest.main()
