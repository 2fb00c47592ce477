"""The steps of `FleetNode` that connect the rules with files and dispatcher, without the network."""

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
    HeldLease,
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


def stored_message(index: int, lifetime_us: int = 60_000_000) -> StoredMessage:
    return StoredMessage(number(index), f"id-{index}", "k", 0, "free", "", 0, CLOCK.now() + lifetime_us, b"body")


def fact(index: int, lifetime_us: int = 60_000_000) -> Fact:
    return Fact(
        number(index),
        MessageBase(f"id-{index}", "k", 0, "free", "", 0, CLOCK.now() + lifetime_us, b"body"),
        MessageKnowledge(),
    )


class FleetNodeTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("cedarwick")
        self.addCleanup(logger.enable, "cedarwick")

    def member(self, ack: str = "copy", folder: str = "") -> FleetNode:
        if not folder:
            temporary = tempfile.TemporaryDirectory()
            self.addCleanup(temporary.cleanup)
            folder = temporary.name
        store = ReplicatedStore(folder, 1 << 20, now=CLOCK.now, ack_after_replication=ack == "copy")
        store.load()
        self.addCleanup(store.close)
        settings = Fleet(
            group="g",
            ack=ack,  # type: ignore[arg-type]
            member=[Member(name=name, address=f"127.0.0.1:{free_port()}", hall=name) for name in NAMES],
        )
        node = FleetNode("a", settings, folder, store, CLOCK, Counters())
        node.dispatcher = mock.Mock()
        self.addCleanup(node.stop)
        return node

    def holding(self, node: FleetNode, term: int = 1, granted: bool = True) -> LeasedPartition:
        """Return a partition that the member has held, and holds now if a majority `granted` it that term."""
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
            for _ in range(2):  # the second round confirms the successors that it names
                for name in NAMES:
                    takeover.holder.receive_reply(
                        now, now, name, LeaseReply(True, term, "a", (), takeover.holder.newest_set_number)
                    )
                takeover.holder.name_successors(now, ())
            self.assertTrue(takeover.holder.is_valid(now))
        return holding

    def test_dropping_a_partition_keeps_the_replica_of_its_newer_holder(self) -> None:
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

    def test_without_a_majority_no_lease_is_requested(self) -> None:
        for lost_since, stage in ((0, TakeoverStage.ASKING), (1, TakeoverStage.WAITING)):
            node = self.member()
            node.grantor = LeaseGrantor("a", NAMES, monotonic_time(), ())
            node.no_majority_since = lost_since
            takeover = node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES, resume=True)
            node._hold_partition(PARTITION)
            with mock.patch("cedarwick.fleet.node.gevent.spawn"):
                node._step_takeover(monotonic_time(), takeover)
            self.assertEqual(takeover.stage, stage)

    def test_a_reported_holder_counts_until_it_restarts_without_the_partition(self) -> None:
        node, now = self.member(), monotonic_time()
        takeover = node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES)
        with mock.patch.object(takeover, "step", wraps=takeover.step) as step:
            node._receive_heartbeat("b", 7, Heartbeat(False, {}, (HeldLease(PARTITION, 3),)))
            node._step_takeover(now, takeover)
            self.assertGreaterEqual(step.call_args.args[2], now + LEASE_SPAN_US)
            self.assertEqual(takeover.holder.newest_other_holder, (3, "b"))
            takeover.holder.term = 5  # requested without success
            node._receive_heartbeat("b", 7, Heartbeat(False, {}, (HeldLease(PARTITION, 3),)))
            self.assertEqual(takeover.holder.newest_other_holder, (5, "b"))
            status_of = step.call_args.args[3]
            self.assertIs(status_of("b"), MemberStatus.ALIVE)
            node._receive_heartbeat("b", 8, Heartbeat(False, {}))
            self.assertIs(status_of("b"), MemberStatus.ALIVE)  # it may still request the partition
            node._step_takeover(monotonic_time() + limits.RESTART_REQUEST_WINDOW_US, takeover)
            self.assertIs(step.call_args.args[3]("b"), MemberStatus.DEAD)

    def test_a_restarted_holder_has_time_to_request_its_partition(self) -> None:
        node = self.member()
        takeover = node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES)
        node.presumed_holders[PARTITION] = "b", 1
        for incarnation, leases in ((7, (HeldLease(PARTITION, 3),)), (8, ())):
            node._receive_heartbeat("b", incarnation, Heartbeat(False, {}, leases))
        now = monotonic_time()
        self.assertIs(node._status_for_partition(now, "b", takeover), MemberStatus.ALIVE)
        self.assertIs(
            node._status_for_partition(now + limits.RESTART_REQUEST_WINDOW_US, "b", takeover), MemberStatus.DEAD
        )

    def test_a_presumed_holder_that_does_not_serve_counts_as_dead_after_a_while(self) -> None:
        node = self.member()
        takeover = node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES)
        # As reported by a grantor that granted the term to b, without a majority.
        takeover.holder.newest_other_holder = KnownHolder(3, "b")
        now = monotonic_time() + 1
        with mock.patch.object(node.members, "status", return_value=MemberStatus.ALIVE):
            for elapsed_us, name, expected in (
                (0, "b", MemberStatus.ALIVE),
                (limits.START_SERVING_US - 1, "b", MemberStatus.ALIVE),
                (limits.START_SERVING_US, "b", MemberStatus.DEAD),
                (limits.START_SERVING_US, "c", MemberStatus.ALIVE),
            ):
                self.assertIs(node._status_for_partition(now + elapsed_us, name, takeover), expected)

    def test_a_member_that_leaves_or_stops_serving_is_not_reported_as_serving(self) -> None:
        node = self.member()
        node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES)
        node._receive_heartbeat("b", 7, Heartbeat(False, {}, (HeldLease(PARTITION, 3),)))
        node._receive_heartbeat("c", 7, Heartbeat(False, {}))
        self.assertIn(PARTITION, node.reported_serving)
        node._receive_heartbeat("b", 7, Heartbeat(True, {}))
        self.assertNotIn(PARTITION, node.reported_serving)
        self.holding(node).serving = True
        self.assertEqual([lease.partition for lease in node._own_heartbeat().leases], [PARTITION])
        node.leaving = True
        self.assertEqual(node._own_heartbeat().leases, ())

    def test_a_member_that_refused_a_replica_is_avoided_if_there_is_another(self) -> None:
        node = self.member()
        holding, now = self.holding(node), monotonic_time()
        node.alive_members = list(NAMES)
        first = node._wanted_replicas(holding)
        node.replica_refused_at[first[0]] = now
        self.assertNotEqual(node._wanted_replicas(holding), first)
        node.alive_members = ["a", first[0]]
        self.assertEqual(node._wanted_replicas(holding), first)

    def test_partitions_opened_after_a_reload_use_the_new_members(self) -> None:
        node = self.member()
        with mock.patch("cedarwick.fleet.node.gevent.spawn"):
            node.start(mock.Mock())
            more = Member(name="d", address="127.0.0.1:1", hall="d")
            node.reload_settings(msgspec.structs.replace(node.settings, member=[*node.settings.member, more]))
        assert node.ownership is not None
        self.assertIn("d", node.ownership.names)

    def test_members_change_one_at_a_time_after_all_others_applied_the_previous_change(self) -> None:
        node = self.member()

        def reload(*names: str) -> set[str]:
            node.reload_settings(
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

        def request_lease_of_b(known_members: str) -> None:
            node._receive_heartbeat("b", 7, Heartbeat(False, dict.fromkeys(known_members, 0)))
            node._answer_body("b", 7, LeaseRequest(lease_name(PARTITION), 1, "b", LEASE_SPAN_US))

        with mock.patch("cedarwick.fleet.node.gevent.spawn"):
            # {a, b} and {c, d, e} could be majorities at the same time.
            self.assertEqual(reload("a", "b", "c", "d", "e"), {"a", "b", "c"})
            self.assertEqual(reload("a", "b", "d"), {"a", "b", "c"})
            request_lease_of_b("ac")
            self.assertEqual(reload("a", "b", "c", "d"), {"a", "b", "c", "d"})
            self.assertEqual(reload("a", "b", "c", "d", "e"), {"a", "b", "c", "d"})  # b does not know of d yet
            request_lease_of_b("ac")
            request_lease_of_b("acd")
            self.assertEqual(reload("a", "b", "c", "d", "e"), {"a", "b", "c", "d", "e"})
            self.assertEqual(node.settings.ack, "copy")
            request_lease_of_b("acde")
            self.assertEqual(reload("a", "b", "c", "e"), {"a", "b", "c", "e"})
            self.assertEqual(reload("a", "b", "c"), {"a", "b", "c", "e"})
            node._receive_heartbeat("b", 7, Heartbeat(True, dict.fromkeys("acde", 0)))  # it leaves
            self.assertEqual(reload("a", "b", "c"), {"a", "b", "c"})
            self.assertEqual(reload("a", "b", "c", "f"), {"a", "b", "c"})  # it may return with a list of five members
        node._receive_heartbeat("b", 8, Heartbeat(False, dict.fromkeys("acde", 0)))
        with self.assertRaises(MembershipChangeError):
            request_lease_of_b("ac")

    def test_a_partition_without_free_numbers_is_replaced_by_the_next(self) -> None:
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
            self.assertFalse(node.store.has_room(stored_message(1)))
            node.check(monotonic_time())
        self.assertEqual(
            (node.store.open_partition.partition, node.takeovers[first].takes_new_messages), (first + 1, False)
        )
        self.assertEqual(node.store.next_number, (first + 1 << 32) + 1)

    def test_partitions_closed_during_an_absence_are_removed_from_the_table(self) -> None:
        node = self.member()
        node.ownership = mock.Mock(**{"step.return_value": None})
        rows = [Grant(lease_name(PARTITION + index), 1, "b", closed=index > 0) for index in range(3)]
        node.grantor = LeaseGrantor("a", NAMES, 0, rows)  # the first was closed during the absence
        other_table = GrantTable(False, (Grant(f"{CLOSED_PREFIX}{PARTITION >> 12}", 0, "", closed=True),))
        with mock.patch.object(node, "_call", return_value=other_table):
            node._receive_heartbeat("b", 7, Heartbeat(False, {}))
            node.check(monotonic_time())
            gevent.sleep(0.01)
        self.assertEqual([each.lease for each in node.grantor.table().grants], [f"{CLOSED_PREFIX}{PARTITION >> 12}"])

    def test_messages_that_no_other_member_can_answer_are_answered_near_their_deadline(self) -> None:
        late, by_this_member, by_others = [number(1)], True, False
        for granted, serving, offered, majority_lost, ack, answered in (
            (True, False, False, False, "copy", by_this_member),  # no replica is up to date
            (True, True, False, False, "copy", by_others),  # the dispatcher handles it
            (False, False, False, False, "copy", by_others),  # the member that is granted the lease answers
            (False, False, False, True, "copy", by_this_member),
            (None, False, False, False, "own", by_this_member),  # lost, and not offered to any member
            (None, False, True, False, "own", by_others),
            ("b", False, False, True, "own", by_this_member),  # not offered, and the newer holder is silent
            ("c", False, False, True, "own", by_others),
            ("b", False, True, True, "own", by_others),  # the offer may have been stored
        ):
            node = self.member(ack)
            holding = self.holding(node, granted=granted is True)
            node.store.add_message(stored_message(1, lifetime_us=100_000))
            node.store.add_message(stored_message(2))
            holding.serving, holding.offer_accepted, holding.offer_sent = serving, offered, offered
            if granted is None:
                holding.takeover.stage = TakeoverStage.GONE
            elif isinstance(granted, str):
                node._receive_heartbeat("c", 7, Heartbeat(False, {}))
                holding.takeover.stage, holding.takeover.holder.newest_other_holder = (
                    TakeoverStage.OFFERING,
                    KnownHolder(2, granted),
                )
            node._answer_late(monotonic_time(), majority_lost)
            self.assertEqual(node.dispatcher.abandon_parked.mock_calls, [mock.call(late)] * answered)  # type: ignore[attr-defined]

    def test_a_lease_that_no_majority_confirms_for_long_counts_as_lost(self) -> None:
        node = self.member()
        self.holding(node, granted=False)
        node.store.add_message(stored_message(1, lifetime_us=100_000))
        for elapsed_us, calls in ((0, 0), (limits.NO_MAJORITY_US - 1, 0), (limits.NO_MAJORITY_US, 1)):
            node._answer_late(1_000_000_000 + elapsed_us, majority_lost=False)
            self.assertEqual(len(node.dispatcher.abandon_parked.mock_calls), calls)  # type: ignore[attr-defined]
        holding = node.store.leased_partitions[PARTITION]
        with mock.patch.object(holding.takeover.holder, "is_valid", return_value=True):
            node._answer_late(2_000_000_000, majority_lost=False)
        self.assertEqual(holding.unheld_since, 0)  # the next loss is counted from its own start

    def test_messages_of_a_partition_not_regained_after_a_restart_are_answered_in_time(self) -> None:
        # Other grantors may have granted another member the term that the own grantor granted this one.
        for known_holder, calls in (((0, ""), 1), ((1, "a"), 1), ((2, "b"), 0), ((2, "A"), 0)):
            node = self.member()
            takeover = self.holding(node, granted=False).takeover
            node.grantor.grant = lambda lease: Grant(lease, 2, "a")  # type: ignore[method-assign]
            takeover.stage, takeover.holder.newest_other_holder = (
                TakeoverStage.ASKING,
                KnownHolder(*known_holder),
            )
            node.store.add_message(stored_message(1, lifetime_us=100_000))
            for elapsed_us in (0, limits.NO_MAJORITY_UNHELD_US):
                node._answer_late(1_000_000_000 + elapsed_us, majority_lost=False)
            self.assertEqual(len(node.dispatcher.abandon_parked.mock_calls), calls)  # type: ignore[attr-defined]

    def test_pre_fleet_messages_move_to_the_first_partition_or_are_answered_in_time(self) -> None:
        node = self.member()
        node.ownership = mock.Mock(**{"step.return_value": None})
        dispatcher: Any = node.dispatcher
        for index, lifetime_us in ((1, 100_000), (2, 60_000_000), (3, 60_000_000)):
            Store.add_message(node.store, replace(stored_message(index, lifetime_us), number=index))
        Store.record_final_answer(node.store, 3, True, 0)
        node.check(monotonic_time())
        # No partition is granted: message 1 is near its deadline, and the notice of message 3 is to be sent.
        dispatcher.abandon_parked.assert_called_once_with([1, 3])
        holding = self.holding(node)
        holding.serving, node.store.open_partition = True, holding
        node.store.next_number, holding.reserved_upto = number(1), number(9)
        with mock.patch.object(node.store, "has_room", side_effect=[True, False, True]):
            for remaining in ([2, 3], [3]):
                node._answer_late(monotonic_time(), majority_lost=False)
                self.assertEqual(node.store.message_numbers(0), remaining)
        self.assertEqual(dispatcher.adopt.mock_calls, [mock.call([number(index)]) for index in (1, 2)])

    def test_a_failed_lease_request_releases_the_own_promise(self) -> None:
        node = self.member()
        node.grantor = LeaseGrantor("a", NAMES, 0, ())
        takeover = node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES, resume=True)
        node._hold_partition(PARTITION)
        now = monotonic_time()
        with mock.patch("cedarwick.fleet.node.gevent.spawn"):
            node._step_takeover(now, takeover)
            self.assertEqual(node.grantor.table().grants, ())  # only a probe so far
            takeover.holder.receive_reply(now, now, "b", LeaseReply(True, 0, "", probe=True))
            node._step_takeover(now, takeover)
            self.assertGreaterEqual(node.grantor.promised_until(lease_name(PARTITION)), now + LEASE_SPAN_US)
            node._step_takeover(monotonic_time() + LEASE_SPAN_US, takeover)
        self.assertLess(node.grantor.promised_until(lease_name(PARTITION)), now + LEASE_SPAN_US)

    def test_a_failed_probe_releases_nothing_and_leaves_the_table_unchanged(self) -> None:
        node = self.member()
        node.grantor = LeaseGrantor("a", NAMES, 0, ())
        takeover = node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES, resume=True)
        node._hold_partition(PARTITION)
        now = monotonic_time()
        with mock.patch("cedarwick.fleet.node.gevent.spawn") as spawn:
            for at in (now, now + LEASE_SPAN_US):
                node._step_takeover(at, takeover)
        self.assertIs(takeover.stage, TakeoverStage.WAITING)
        self.assertEqual((node.grantor.table().grants, takeover.holder.term), ((), 0))
        requests = [each for call in spawn.mock_calls for each in call.args if isinstance(each, LeaseRequest)]
        self.assertEqual({each.probe for each in requests}, {True})

    def test_a_member_of_an_earlier_version_is_sent_no_probe_and_counts_as_agreeing(self) -> None:
        node = self.member()
        takeover = node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES, resume=True)
        now = monotonic_time()
        takeover.holder.request_next_term(now, Grant(lease_name(PARTITION), 0, ""), probe_first=True)
        request = takeover.holder.due_request(now)
        assert request is not None and request.probe
        for level, expected_calls in ((LEASE_PROBE_LEVEL - 1, 0), (LEASE_PROBE_LEVEL, 1)):
            node.verifier.levels["b"] = level
            with mock.patch.object(node, "_call", return_value=None) as call:
                node._request_lease_from(takeover, "b", request, now)
            self.assertEqual(call.call_count, expected_calls)
        self.assertEqual(set(takeover.holder._would_grant), {"b"})

    def test_a_partition_without_room_here_is_released_and_requested_again_later(self) -> None:
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

    def test_a_damaged_folder_delays_its_requests_and_a_replica_is_not_a_held_partition(
        self,
    ) -> None:
        node = self.member()
        self.holding(node)
        node.store.add_message(stored_message(1))
        node.store.close()
        restarted = self.member(folder=node.store.folder.path)
        restarted.replicas.receive_piece(
            ReplicatePiece(PARTITION + 1, 2, 0, MAX_MESSAGE_NUMBER, encode_facts([]), 0, digest_of(encode_facts([])))
        )
        restarted.replicas.close()
        restarted.store.damaged = True
        with mock.patch("cedarwick.fleet.node.gevent.spawn"):
            restarted.start(mock.Mock())
            self.assertEqual(
                (set(restarted.store.leased_partitions), set(restarted.takeovers)),
                ({PARTITION}, {PARTITION, PARTITION + 1}),
            )
            restarted.grantor = LeaseGrantor("a", NAMES, 0, ())
            now = restarted.started_at + limits.DAMAGED_FOLDER_US
            for at, requested in ((now - 1, False), (now, True)):
                restarted._step_takeover(at, restarted.takeovers[PARTITION])
                self.assertEqual(restarted.takeovers[PARTITION].stage is TakeoverStage.ASKING, requested)

    def test_a_message_with_an_attempt_in_flight_is_not_renumbered(self) -> None:
        node = self.member("own")
        holding = self.holding(node)
        holding.serving, node.store.open_partition = True, holding
        node.store.add_message(stored_message(1))
        node.store.record_attempt(number(1), CLOCK.now(), 0)
        with mock.patch.object(node, "_renumber") as renumber:
            node._drop_partition(PARTITION)
            renumber.assert_not_called()
            self.assertIn(PARTITION, node.takeovers)

    def test_an_outcome_is_reported_once_even_if_the_message_has_ended_meanwhile(self) -> None:
        ended_fact = Fact(number(1), None, MessageKnowledge(end=(EndRank.NOTIFIED, 0)))
        changes: tuple[Callable[[ReplicatedStore], object], ...] = (
            lambda store: None,
            lambda store: store.finish(number(1)),  # its client has disconnected
            lambda store: store.remove_partition(PARTITION),  # another sender holds its partition
            # An earlier holder has given it its final answer.
            lambda store: store.merge_offer(store.leased_partitions[PARTITION], [ended_fact], 1),
        )
        for change in changes:
            for outcome, kind in ((Outcome.COMPLETED, "completed"), (Outcome.TIME_OUT, "outcome")):
                node, reported = self.member(), mock.Mock()
                self.holding(node)
                store = node.store
                store.on_event = reported
                store.add_message(stored_message(1))
                store.record_attempt(number(1), CLOCK.now(), 0)
                change(store)
                store.record_outcome(number(1), outcome)
                self.assertEqual(
                    [(call.args[0], call.args[1].id) for call in reported.mock_calls],
                    [("taken", "id-1"), ("shot", "id-1"), (kind, "id-1")],
                )
                self.assertEqual(store.in_flight, {})

    def test_unreplicated_messages_are_not_lost_without_room_or_at_shutdown(self) -> None:
        node = self.member("own")
        holding = self.holding(node)
        holding.serving, node.store.open_partition = True, holding
        holding.takeover.holder.name_successors(monotonic_time(), ())
        for index in (1, 2, 3):
            node.store.add_message(stored_message(index))
        node.store.read_body = lambda number: b"" if number % 4 != 3 else self.fail_to_read()  # type: ignore[method-assign]
        new_takeover = Takeover(PARTITION + 1, "a", NAMES, resume=True)
        node.takeovers[PARTITION + 1] = new_takeover
        new_holding = node._hold_partition(PARTITION + 1)
        new_holding.serving, new_takeover.holder.is_valid = True, lambda now: True  # type: ignore[method-assign]
        node.store.open_partition, node.store.next_number, new_holding.reserved_upto = (
            new_holding,
            (PARTITION + 1 << 32) + 1,
            (PARTITION + 1 << 32) + 99,
        )
        store_message = node.store.add_message
        with mock.patch.object(node.store, "add_message") as adding:
            adding.side_effect = lambda each: store_message(each) if adding.call_count == 1 else self.fail_to_write()
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
        self.assertEqual(ends, {"id-1": None, "id-2": None, "id-3": (False, 0)})  # the body of the third cannot be read

    def test_a_message_whose_body_is_lost_is_replicated_as_failed(self) -> None:
        node = self.member()
        holding = self.holding(node)
        node.store.add_message(stored_message(1))
        node.store.read_body = lambda number: self.fail_to_read()  # type: ignore[method-assign]
        replica = Replica(PARTITION)
        step = replica.step_for_piece(holding.log.build_piece(0, MAX_MESSAGE_NUMBER))
        assert step.entry is not None
        replica.apply(step.entry, step.facts)
        for sent_fact in (replica.pending[number(1)], *node.store.facts_to_offer(holding)):
            self.assertEqual((sent_fact.base is not None, sent_fact.known.end[0]), (True, EndRank.FAILED))
        self.assertEqual(holding.ledger.known[number(1)].end[0], EndRank.NONE)  # its body may become readable here

    def fail_to_read(self) -> bytes:
        raise BodyLostError("cut")

    def fail_to_write(self) -> None:
        raise NoSpaceError("full")

    def test_an_error_in_one_partition_stops_neither_the_others_nor_late_answers(self) -> None:
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

    def test_a_slow_disk_delays_only_replies_that_depend_on_the_write(self) -> None:
        node, may_write = self.member(), threading.Event()
        node.grantor = LeaseGrantor("a", NAMES, 0, ())
        requests = [LeaseRequest(f"book:{partition}", 1, "b", LEASE_SPAN_US) for partition in (1, 2)]
        node._answer_lease_request(requests[0])
        write_to_disk = node.fleet_files.write_grant_table
        with mock.patch.object(
            node.fleet_files, "write_grant_table", side_effect=lambda table: may_write.wait(5) and write_to_disk(table)
        ):
            replies = [gevent.spawn(node._answer_lease_request, requests[1]) for _ in range(2)]
            gevent.sleep(0.02)
            self.assertTrue(node._answer_lease_request(requests[0]).granted)  # already on the disk
            self.assertFalse(any(each.ready() for each in replies))
            may_write.set()
            self.assertTrue(all(each.get(timeout=5).granted for each in replies))
        table = node.fleet_files.read_grant_table()
        self.assertEqual([grant.lease for grant in table.grants] if table else [], ["book:1", "book:2"])

    def test_an_out_of_order_replication_message_waits_for_the_one_before(self) -> None:
        node = self.member()
        node.replicas.receive_piece(
            ReplicatePiece(PARTITION, 1, 0, MAX_MESSAGE_NUMBER, encode_facts([]), 0, digest_of(encode_facts([])))
        )
        parts = [encode_facts([fact(index)]) for index in (1, 2)]
        peer_messages = [
            ReplicateFacts(PARTITION, 1, index_of_part, part, digest_of(part))
            for index_of_part, part in enumerate(parts)
        ]
        acks = [gevent.spawn(node._answer_replication, peer_message) for peer_message in reversed(peer_messages)]
        self.assertEqual(
            [each.get(timeout=2) for each in acks],
            [ReplicaAck(PARTITION, 1, 2, "", MAX_MESSAGE_NUMBER), ReplicaAck(PARTITION, 1, 1, "", MAX_MESSAGE_NUMBER)],
        )
        refused = node._answer_replication(ReplicateFacts(PARTITION, 1, 7, parts[0], digest_of(parts[0])))
        self.assertEqual(getattr(refused, "problem", ""), GAP)  # the wait is limited

    def test_one_flush_in_time_ends_a_stall(self) -> None:
        node = self.member()
        holding, now = self.holding(node), monotonic_time()
        node.store.on_replication_timeout = node._note_replication_timeout
        holder = holding.takeover.holder
        holder.name_successors(now, ["b"])
        for name in NAMES:
            holder.receive_reply(now, now, name, LeaseReply(True, 1, "a", (), holder.newest_set_number))
        holding.serving = True
        successor = holding.log.add_follower("b", now)

        def acknowledge(index: int) -> None:
            successor.receive_ack(monotonic_time(), ReplicaAck(PARTITION, 1, index, "", MAX_MESSAGE_NUMBER), 1)

        node.store.add_message(stored_message(1))
        with (
            mock.patch.object(node.store, "ack_timeout_us", 0),
            self.assertRaisesRegex(NotReplicatedError, "are not at b"),
        ):
            node.store.flush()
        self.assertTrue(holding.stalled_since)
        acknowledge(1)
        node.store.flush()
        node.store.add_message(stored_message(2))  # under load some records are always in flight
        self.assertTrue(node._replicas_keep_up(monotonic_time() + STALLED_AFTER_US, holding))
        holding.stalled_since = monotonic_time() - 2 * STALLED_AFTER_US
        with self.assertRaisesRegex(NotReplicatedError, "are not at b"):
            node.store.flush()
        self.assertFalse(node._replicas_keep_up(monotonic_time(), holding))

    def test_a_replica_counts_only_once_a_majority_knows_it_as_a_successor(self) -> None:
        node = self.member()
        holding = self.holding(node)
        holding.takeover.holder.name_successors(monotonic_time(), ["b"])
        self.assertFalse(node._replicas_keep_up(monotonic_time(), holding))

    def test_a_replica_is_named_a_successor_once_it_has_all_records_from_before_it_was_waited_for(self) -> None:
        node = self.member()
        holding = self.holding(node)
        holding.serving, node.store.open_partition = True, holding
        node.alive_members = list(NAMES)
        name, other = node._wanted_replicas(holding)[0], ({"b", "c"} - set(node._wanted_replicas(holding))).pop()
        follower = holding.log.add_follower(name, monotonic_time())
        for index in (1, 2, 3):
            node.store.add_message(stored_message(index))
            if index == 2:
                follower.position = ReplicaPosition(1, 1, MAX_MESSAGE_NUMBER)  # complete, with a record in flight
                node._name_successors(monotonic_time(), holding)
            # If it were named now and then granted the next term, it would not know the second message.
            self.assertNotIn(name, holding.takeover.holder.possible_successors)
            self.assertEqual(node.store.successors_of(holding), {name} if index > 1 else set())
        follower.position = ReplicaPosition(1, 2, MAX_MESSAGE_NUMBER)
        node._name_successors(monotonic_time(), holding)
        self.assertIn(name, holding.takeover.holder.possible_successors)  # acknowledging the third already waits for it
        node = self.member()
        holding = self.holding(node)
        node.alive_members = list(NAMES)
        holding.log.add_follower(name, monotonic_time()).position = ReplicaPosition(1, 0, MAX_MESSAGE_NUMBER)
        node.store.add_message(stored_message(1))
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

    def test_a_restarted_former_holder_offers_the_records_of_its_folder(self) -> None:
        node = self.member("own")
        self.holding(node)
        node.store.add_message(stored_message(1))
        node.store.close()
        restarted = self.member("own", node.store.folder.path)
        restarted._record_lease(PARTITION, 1, 0)
        takeover = restarted.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES, 1, resume=True)
        takeover.stage = TakeoverStage.OFFERING
        holding = restarted._hold_partition(PARTITION)
        self.assertEqual(restarted.store.unreplicated(holding), ([], [number(1)]))
        offers: list[Any] = []

        def call(name: str, body: Body, within_s: float) -> Body:
            offers.append(body)
            return OfferReply(PARTITION, 0)

        with mock.patch.object(restarted, "_call", call):
            restarted._send_offer(takeover, "b")
        offer: TakeoverOffer = offers[0]
        self.assertEqual([each.number for each in decode_facts(offer.facts)], [number(1)])
        self.assertEqual((offer.term, takeover.stage), (1, TakeoverStage.GONE))

    def test_a_lagging_replica_is_in_doubt_from_its_last_known_attempt(self) -> None:
        attempt = Fact(number(1), fact(1).base, MessageKnowledge({1: TermAttempts(1, True, 77, 0)}))
        for ack, behind, in_doubt_since in (
            ("own", True, 77),
            ("copy", True, 77),
            ("own", False, 77),
            ("copy", False, 0),
        ):
            node = self.member(ack)
            takeover = node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES)
            data, tail = encode_facts([attempt]), encode_facts([fact(2)])
            node.replicas.receive_piece(
                ReplicatePiece(PARTITION, 1, 0, MAX_MESSAGE_NUMBER, data, 0, digest_of(data), behind)
            )
            node.replicas.receive_facts(ReplicateFacts(PARTITION, 1, 0, tail, digest_of(tail)))
            node.replicas.close()
            node.replicas.load()  # the file contains it too
            takeover.holder.term = 2
            with mock.patch("cedarwick.fleet.node.gevent.spawn"):
                node._import_partition(monotonic_time(), takeover)
            self.assertEqual(
                [node.store.messages[number(index)].records_lost_since for index in (1, 2)],
                [in_doubt_since, in_doubt_since],
            )
            self.assertEqual(
                node.store.leased_partitions[PARTITION].log.build_piece(0, MAX_MESSAGE_NUMBER).behind, ack == "own"
            )

    def test_order_keys_of_the_backlog_are_sent_and_received_ones_are_held_back(self) -> None:
        node, now = self.member(), monotonic_time()
        node.dispatcher.key_hold_left_us.return_value = 0  # type: ignore[attr-defined]
        node.dispatcher.is_ordered = lambda priority_class: priority_class == "free"  # type: ignore[method-assign]
        node.alive_members, node.verifier.levels = (
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
            with mock.patch.object(node, "_status_for_partition", return_value=MemberStatus.ALIVE):
                node._exchange_pending_order_keys(now)
            self.assertEqual((spawn.call_args, node.order_key_hints.held_keys), (None, frozenset()))
            # b is silent: the keys of its replica here are sent, and held back here too.
            node._exchange_pending_order_keys(now)
            self.assertEqual([call.args[1:3] for call in spawn.call_args_list], [("c", PendingOrderKeys((8,)))])
            node.dispatcher.hold_keys.assert_called_once_with({8})  # type: ignore[attr-defined]
            node.grantor = LeaseGrantor("a", NAMES, now, (Grant(lease_name(PARTITION), 3, "a", ("b", "a"), 1),))
            node._exchange_pending_order_keys(now)  # this member has requested the partition and not imported it yet
            self.assertEqual(node.order_key_hints.held_keys, {8})
            self.assertIsInstance(node._answer_body("c", 1, PendingOrderKeys((5, 6))), Acknowledged)
            node.replicas.drop(PARTITION)
            node.takeovers.clear()
            node._exchange_pending_order_keys(now)
            self.assertEqual(node.order_key_hints.held_keys, {5, 6})
            holding = self.holding(node)
            for index, turn in enumerate((5, 7), 1):
                holding.ledger.note_message(replace(stored_message(index), order_key=turn), b"")
                node.store.messages[number(index)] = replace(stored_message(index), order_key=turn)
            for open_partition, expected_keys in (
                (holding, {7}),
                (None, {5, 7}),
            ):
                # In the open partition, key 5 is held back for c anyway.
                node.store.open_partition = open_partition
                node._record_backlog(holding)
                node._exchange_pending_order_keys(now)
                self.assertEqual(node.order_key_hints.sent_keys, expected_keys)
                self.assertLessEqual(expected_keys, node.order_key_hints.held_keys)  # the partition is not served
            holding.serving = True
            node._exchange_pending_order_keys(now)
            self.assertEqual(node.order_key_hints.held_keys, {6})
            holding.ledger.known.clear()
            node._exchange_pending_order_keys(now + SEND_INTERVAL_US)
            self.assertEqual(spawn.call_args.args[1:3], ("c", PendingOrderKeys()))
            node._exchange_pending_order_keys(now + HINT_LIFETIME_US + LEASE_SPAN_US)
            self.assertEqual(node.dispatcher.hold_keys.call_args.args, (frozenset(),))  # type: ignore[attr-defined]

    def test_an_offer_that_is_stored_in_part_is_stored_whole_when_repeated(self) -> None:
        node = self.member()
        holding = self.holding(node)
        holding.serving = True
        dispatcher: Any = node.dispatcher
        data = encode_facts([fact(1), fact(2), fact(3)])
        store_message, problems = Store.add_message, []
        for room in ((1,), (1, 2, 3)):

            def add_if_room(store: Store, stored: StoredMessage, room: tuple[int, ...] = room) -> None:
                if stored.number not in map(number, room):
                    raise NoSpaceError("full")
                store_message(store, stored)

            with mock.patch.object(Store, "add_message", add_if_room):
                problems.append(node._answer_offer("b", TakeoverOffer(PARTITION, 0, True, data, digest_of(data), 1)))
        self.assertEqual(problems, [OfferReply(PARTITION, 0, "full"), OfferReply(PARTITION, 0)])
        self.assertEqual(dispatcher.adopt.mock_calls, [mock.call([number(1)]), mock.call([number(2), number(3)])])
        self.assertEqual(sorted(node.store.messages), sorted(holding.ledger.known))

    def test_a_holder_that_resumes_after_other_holders_expects_an_offer(self) -> None:
        for term, from_term in ((2, 0), (3, 1)):
            node = self.member()
            node._record_lease(PARTITION, 1, 0)
            takeover = node.takeovers[PARTITION] = Takeover(PARTITION, "a", NAMES, 1, resume=True)
            takeover.holder.term = term
            with mock.patch("cedarwick.fleet.node.gevent.spawn"):
                node._import_partition(monotonic_time(), takeover)
            self.assertEqual(node.store.leased_partitions[PARTITION].imported_from_term, from_term)

    def test_an_adopted_partition_stays_open_for_an_offer_of_its_previous_holder(self) -> None:
        for from_term, waits in ((1, True), (0, False)):
            node = self.member()
            holding = self.holding(node)
            holding.imported_from_term = from_term
            now = monotonic_time()
            self.assertEqual(node._expects_offer(now, holding), waits)
            self.assertFalse(node._expects_offer(now + limits.OFFER_EXPECTED_US, holding))
            empty = encode_facts([])
            node._answer_offer("b", TakeoverOffer(PARTITION, 0, True, empty, digest_of(empty), 1))
            self.assertEqual(node._expects_offer(now, holding), waits)  # the previous holder may not have the reply yet
            self.assertFalse(node._expects_offer(now + 4_000_000, holding))

    def test_import_fails_messages_near_their_deadline_and_keeps_unreplicated_ones(self) -> None:
        store = self.member().store
        holding = LeasedPartition(PARTITION, mock.Mock())
        store.leased_partitions[PARTITION] = holding
        for index in (3, 4, 5):
            holding.ledger.known[number(index)] = MessageKnowledge()
            super(ReplicatedStore, store).add_message(stored_message(index))
        soon = CLOCK.now() + 300_000
        moving = msgspec.structs.replace(fact(6, lifetime_us=0), known=MessageKnowledge(move=(1, "<1/a/b")))
        store.import_replica(holding, [fact(1), fact(2, lifetime_us=0), moving], 2, 0, [number(3)], [number(4)], soon)
        ends = {
            index: store.messages[number(index)].final_answer
            for index in range(1, 7)
            if number(index) in store.messages
        }
        self.assertEqual(ends, {1: None, 2: (False, 0), 3: None, 4: (False, 0), 6: None})  # it is being migrated
        self.assertEqual(holding.ledger.known[number(4)].end[0], EndRank.FAILED)


class GrantTableTest(unittest.TestCase):
    def test_learned_grants_count_as_promised_for_one_lease_span(self) -> None:
        grantor = LeaseGrantor("a", NAMES, 0, None)
        lease = lease_name(PARTITION)
        rows = (Grant(lease, 3, "b", ("b", "a"), 3 << 20 | 1),)
        for name in ("b", "c"):
            grantor.learn_from(LEASE_SPAN_US, name, GrantTable(False, rows))
        self.assertEqual((grantor.learning, grantor.promised_until(lease)), (False, 2 * LEASE_SPAN_US))

    def test_only_closed_rows_of_another_table_are_merged(self) -> None:
        grantor = LeaseGrantor("a", NAMES, 0, ())
        other = lease_name(PARTITION + 2)
        grantor.learn_closed(
            GrantTable(False, (Grant(lease_name(PARTITION + 1), 2, "b", closed=True), Grant(other, 2, "b")))
        )
        self.assertEqual(
            (grantor.grant(lease_name(PARTITION + 1)).closed, grantor.grant(other).term, grantor.dirty), (True, 0, True)
        )


class FolderOwnerTest(unittest.TestCase):
    def test_a_folder_of_another_member_or_group_is_refused_and_left_unchanged(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        FleetFiles(folder).claim_folder("g", "a")
        for group, name in (("g", "b"), ("h", "a")):
            with self.assertRaises(ForeignFolderError):
                FleetFiles(folder).claim_folder(group, name)
        FleetFiles(folder).claim_folder("g", "a")


class FactRangeTest(unittest.TestCase):
    def test_facts_with_numbers_beyond_the_record_format_are_refused(self) -> None:
        for destination, fits in (((1 << 32) - 1, True), (1 << 32, False)):
            data = encode_facts(
                [Fact(number(1), MessageBase("id", "k", 0, "free", "", destination, 1, b""), MessageKnowledge())]
            )
            if fits:
                encode_message(stored_message_of(decode_facts(data)[0]), b"")
            else:
                self.assertRaises(CorruptFactsError, decode_facts, data)
        self.assertRaises(ValueError, parse_move_name, f"{1 << 62}/a/b")


class NotifierTest(unittest.TestCase):
    def test_a_notice_that_is_removed_during_its_post_does_not_stop_the_notifier(self) -> None:
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
                with self.assertRaises(KeyboardInterrupt):  # raised by the first step after the post
                    notices.run()


if __name__ == "__main__":
    unittest.main()
