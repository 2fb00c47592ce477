"""Failure detection, leases, replica placement and takeover: each rule under a single fault."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarwick.fleet.lease_grantor import LeaseGrantor
from cedarwick.fleet.lease_holder import LeaseHolder, LeaseState
from cedarwick.fleet.leases import LEASE_SPAN_US, SUCCESSOR_SET_BITS, lease_name
from cedarwick.fleet.membership import Membership, MemberStatus
from cedarwick.fleet.messages import Grant, GrantTable, LeaseReply, LeaseRequest
from cedarwick.fleet.placement import choose_replicas
from cedarwick.fleet.takeover import (
    SUCCESSOR_STAGGER_US,
    UNRENEWED_WAIT_US,
    Ownership,
    PartitionsExhaustedError,
    Takeover,
    TakeoverAction,
    TakeoverStage,
)

PARTITION = 9 << 12
LEASE = lease_name(PARTITION)
NAMES = ("a", "b", "c")
HALLS = {"a": "north", "b": "north", "c": "south"}
FIRST_SET = 1 << SUCCESSOR_SET_BITS | 1
ROW = Grant(LEASE, 1, "a", ("a", "b", "c"), FIRST_SET)


def lease_request(
    term: int, holder: str, lease: str = LEASE, closed: bool = False, span: int = LEASE_SPAN_US
) -> LeaseRequest:
    return LeaseRequest(lease, term, holder, span, ("a", "b", "c"), FIRST_SET, closed)


class FailureDetectionTest(unittest.TestCase):
    def members(self) -> Membership:
        members = Membership("a", HALLS, 1, 0)
        for name in "bc":
            members.receive_heartbeat(0, name, 5, {}, False)
        return members

    def test_a_member_is_dead_if_two_of_three_report_it_and_not_if_one_does(self) -> None:
        members = self.members()
        members.receive_heartbeat(1_500_000, "b", 5, {"c": 400_000}, False)
        self.assertIs(members.status(1_500_000, "c"), MemberStatus.SUSPECTED)
        self.assertEqual(members.notes(1_500_000, "c"), ("cut",))
        members.receive_heartbeat(1_600_000, "b", 5, {"c": 1_500_000}, False)
        self.assertIs(members.status(1_600_000, "c"), MemberStatus.DEAD)

    def test_reports_of_a_silent_member_do_not_count(self) -> None:
        members = self.members()
        members.receive_heartbeat(600_000, "b", 5, {"c": 1_500_000}, False)
        self.assertIs(members.status(1_600_000, "c"), MemberStatus.SUSPECTED)

    def test_heartbeats_of_an_old_boot_are_ignored_and_a_new_boot_is_alive(self) -> None:
        members = self.members()
        self.assertTrue(members.receive_heartbeat(1, "b", 5, {}, True))
        self.assertIs(members.status(2, "b"), MemberStatus.LEFT)
        self.assertFalse(members.receive_heartbeat(2, "b", 4, {}, False))
        members.receive_heartbeat(3, "b", 6, {}, False)
        self.assertIs(members.status(3, "b"), MemberStatus.ALIVE)
        self.assertEqual([change.name for change in members.changes(3)], ["b", "c"])

    def test_a_member_without_any_heartbeat_is_not_dead_before_the_limit(self) -> None:
        members = Membership("a", HALLS, 1, 0)
        members.receive_heartbeat(900_000, "b", 5, {"c": 9_000_000}, False)
        self.assertIs(members.status(900_000, "c"), MemberStatus.UNKNOWN)
        members.receive_heartbeat(1_500_000, "b", 5, {"c": 9_000_000}, False)
        self.assertIs(members.status(1_500_000, "c"), MemberStatus.DEAD)


class GrantsTest(unittest.TestCase):
    def test_the_table_is_dirty_only_after_a_change(self) -> None:
        grantor = LeaseGrantor("b", NAMES, 0, ())
        self.assertTrue(grantor.handle_request(0, lease_request(1, "a")).granted)
        self.assertTrue(grantor.dirty)
        grantor.dirty = False
        self.assertTrue(grantor.handle_request(1, lease_request(1, "a")).granted)
        self.assertFalse(grantor.dirty)

    def test_a_longer_span_is_refused_and_a_released_lease_is_free(self) -> None:
        grantor = LeaseGrantor("b", NAMES, 0, (ROW,))
        self.assertFalse(grantor.handle_request(0, lease_request(1, "a", span=LEASE_SPAN_US + 1)).granted)
        self.assertFalse(grantor.handle_request(5, lease_request(2, "c")).granted)
        grantor.handle_request(5, lease_request(1, "a", span=0))
        self.assertTrue(grantor.handle_request(5, lease_request(2, "c")).granted)

    def test_closed_partitions_are_stored_as_one_epoch_and_stay_closed(self) -> None:
        grantor = LeaseGrantor("b", NAMES, 0, ())
        for epoch in (1, 0):
            grantor.handle_request(0, lease_request(1, "a", lease_name(PARTITION + epoch), closed=True))
        self.assertEqual(grantor.table().grants, (Grant("closed:9", 1, "", closed=True),))
        restarted = LeaseGrantor("b", NAMES, 0, grantor.table().grants)
        self.assertEqual(
            restarted.handle_request(LEASE_SPAN_US, lease_request(9, "a")), LeaseReply(False, 0, "", closed=True)
        )
        self.assertEqual(restarted.newest_epoch(9), 1)

    def test_a_lost_table_is_learned_from_complete_tables_after_one_span(self) -> None:
        grantor = LeaseGrantor("b", NAMES, 100, None)
        self.assertEqual(grantor.members_to_learn_from(100), ())
        self.assertFalse(grantor.learn_from(99 + LEASE_SPAN_US, "a", GrantTable(False, (ROW,))))
        now = 100 + LEASE_SPAN_US
        self.assertEqual(grantor.members_to_learn_from(now), ("a", "c"))
        grantor.learn_from(now, "a", GrantTable(False, (ROW,)))
        self.assertFalse(grantor.handle_request(now, lease_request(2, "b")).granted)
        self.assertTrue(grantor.learn_from(now, "c", GrantTable(False, (Grant(LEASE, 2, "c"),))))
        self.assertEqual((grantor.grant(LEASE).term, grantor.dirty), (2, True))

    def test_the_first_start_needs_the_empty_tables_of_all_members(self) -> None:
        grantor = LeaseGrantor("b", (*NAMES, "d", "e"), 0, None)
        for name in "acd":
            self.assertFalse(grantor.learn_from(LEASE_SPAN_US, name, GrantTable(True)))
        self.assertTrue(grantor.learn_from(LEASE_SPAN_US, "e", GrantTable(True)))

    def test_a_term_with_two_reported_holders_is_granted_to_neither(self) -> None:
        grantor = LeaseGrantor("b", NAMES, 0, None)
        for name in "ac":
            grantor.learn_from(
                LEASE_SPAN_US, name, GrantTable(False, (Grant(LEASE, 2, name, ROW.successors, FIRST_SET),))
            )
        self.assertFalse(grantor.handle_request(LEASE_SPAN_US, lease_request(2, "a")).granted)
        self.assertFalse(grantor.handle_request(2 * LEASE_SPAN_US - 1, lease_request(3, "a")).granted)
        self.assertTrue(grantor.handle_request(2 * LEASE_SPAN_US, lease_request(3, "a")).granted)


class LeaseHolderTest(unittest.TestCase):
    def holder(self) -> LeaseHolder:
        holder = LeaseHolder(LEASE, "a", NAMES)
        holder.request_next_term(0, Grant(LEASE, 0, ""))
        for name in "ab":
            holder.receive_reply(0, 0, name, LeaseReply(True, 1, "a"))
        return holder

    def test_is_valid_once_a_majority_knows_its_successors_until_the_span_less_its_margin(self) -> None:
        holder = self.holder()
        self.assertEqual((holder.state, holder.is_valid(0)), (LeaseState.HELD, False))
        holder.name_successors(0, ["c"])
        for name in "ac":
            holder.receive_reply(9, 5, name, LeaseReply(True, 1, "a", ("a", "c"), holder.newest_set_number))
        self.assertEqual((holder.successors, holder.valid_until), (("a", "c"), 5 + 1_090_000))
        self.assertEqual([holder.is_valid(holder.valid_until - 1), holder.is_valid(holder.valid_until)], [True, False])

    def test_an_old_set_counts_until_a_majority_knows_the_new_one_at_the_same_time(self) -> None:
        holder = self.holder()
        holder.name_successors(0, ["b"])
        for name in "ab":
            holder.receive_reply(0, 0, name, LeaseReply(True, 1, "a", ("a", "b"), holder.newest_set_number))
        holder.name_successors(1, ["c"])
        holder.receive_reply(1, 1, "a", LeaseReply(True, 1, "a", ("a", "c"), holder.newest_set_number))
        self.assertEqual(holder.possible_successors, {"a", "b", "c"})
        holder.receive_reply(
            2 * LEASE_SPAN_US, 2 * LEASE_SPAN_US, "c", LeaseReply(True, 1, "a", ("a", "c"), holder.newest_set_number)
        )
        self.assertEqual(holder.successors, ("a", "b"))
        holder.receive_reply(
            2 * LEASE_SPAN_US, 2 * LEASE_SPAN_US, "a", LeaseReply(True, 1, "a", ("a", "c"), holder.newest_set_number)
        )
        self.assertEqual((holder.successors, holder.possible_successors), (("a", "c"), {"a", "c"}))

    def test_a_newer_term_counts_once_the_lease_has_expired(self) -> None:
        holder = self.holder()
        holder.receive_reply(1, 1, "c", LeaseReply(False, 2, "c"))
        self.assertIs(holder.state, LeaseState.HELD)
        holder.update(LEASE_SPAN_US)
        self.assertEqual((holder.state, holder.newest_other_holder), (LeaseState.LOST, (2, "c")))

    def test_grants_of_a_removed_member_do_not_count(self) -> None:
        holder = LeaseHolder("r", "a", "abcd")
        holder.request_next_term(0, Grant("r", 0, ""))
        for sent, names in ((0, "abd"), (1_000_000, "ad")):
            for name in names:
                holder.receive_reply(sent, sent, name, LeaseReply(True, 1, "a"))
        self.assertLess(holder.valid_until, LEASE_SPAN_US)
        holder.replace_members("abc")
        # b and c, a majority of the remaining members, may grant the lease to c now: b's promise has expired.
        self.assertLess(holder.valid_until, LEASE_SPAN_US)


class PlacementTest(unittest.TestCase):
    @settings(derandomize=True, database=None, max_examples=60)
    @given(st.integers(0, 1 << 30), st.integers(2, 12), st.integers(1, 2))
    def test_only_the_replicas_of_a_removed_member_move(self, partition: int, member_count: int, count: int) -> None:
        halls = {f"m{index}": f"hall{index % 3}" for index in range(member_count)}
        before = choose_replicas(partition, "m0", halls, list(halls), count)
        self.assertTrue(all(halls[name] != halls["m0"] for name in before) or member_count < 4 or count == 2)
        for removed in halls:
            after = choose_replicas(partition, "m0", halls, [name for name in halls if name != removed], count)
            self.assertEqual([name for name in before if name != removed], after[: len(before) - (removed in before)])


class TakeoverTest(unittest.TestCase):
    def step(
        self, takeover: Takeover, now: int, status_of: dict[str, MemberStatus], pending: int = 1
    ) -> TakeoverAction:
        return takeover.step(
            now, ROW, LEASE_SPAN_US, lambda name: status_of.get(name, MemberStatus.ALIVE), True, pending
        ).action

    def test_the_second_successor_waits_for_the_first_one(self) -> None:
        takeover = Takeover(PARTITION, "c", NAMES)
        statuses = {"a": MemberStatus.DEAD}
        self.assertIs(self.step(takeover, LEASE_SPAN_US, statuses), TakeoverAction.NOTHING)
        self.assertIs(self.step(takeover, LEASE_SPAN_US + SUCCESSOR_STAGGER_US - 1, statuses), TakeoverAction.NOTHING)
        self.assertIs(self.step(takeover, LEASE_SPAN_US + SUCCESSOR_STAGGER_US, statuses), TakeoverAction.ASK)

    def test_a_successor_waits_for_a_live_holder_and_a_replica_that_is_no_successor_never_asks(self) -> None:
        takeover = Takeover(PARTITION, "b", NAMES)
        self.assertIs(self.step(takeover, LEASE_SPAN_US + UNRENEWED_WAIT_US, {}), TakeoverAction.NOTHING)
        self.assertIs(
            self.step(takeover, LEASE_SPAN_US + UNRENEWED_WAIT_US + SUCCESSOR_STAGGER_US, {}), TakeoverAction.ASK
        )
        non_successor = Takeover(PARTITION, "d", NAMES)
        self.assertIs(self.step(non_successor, 99 * LEASE_SPAN_US, {"a": MemberStatus.DEAD}), TakeoverAction.NOTHING)

    def test_imports_and_closes_once_no_message_is_pending(self) -> None:
        takeover = Takeover(PARTITION, "b", NAMES)
        self.step(takeover, LEASE_SPAN_US, {"a": MemberStatus.DEAD})
        for name in "bc":
            takeover.holder.receive_reply(LEASE_SPAN_US, LEASE_SPAN_US, name, LeaseReply(True, 2, "b"))
        self.assertIs(self.step(takeover, LEASE_SPAN_US, {}, pending=0), TakeoverAction.IMPORT)
        takeover.note_imported(LEASE_SPAN_US, ["c"])
        self.assertIs(self.step(takeover, LEASE_SPAN_US, {}, pending=0), TakeoverAction.CLOSE)
        for name in "bc":
            takeover.holder.receive_reply(LEASE_SPAN_US, LEASE_SPAN_US, name, LeaseReply(True, 2, "b", closed=True))
        self.assertIs(self.step(takeover, LEASE_SPAN_US, {}), TakeoverAction.DROP)

    def test_a_resumed_owner_offers_to_the_newer_holder_and_opens_the_next_partition(self) -> None:
        grantor = LeaseGrantor("a", NAMES, 0, (ROW,))
        ownership = Ownership("a", 9, NAMES, {PARTITION: 1})
        previous = ownership.step(grantor)
        assert previous is not None
        self.assertIs(self.step(previous, 0, {}), TakeoverAction.ASK)
        previous.holder.receive_reply(0, 0, "c", LeaseReply(False, 3, "c"))
        self.assertEqual(
            previous.step(1, ROW, LEASE_SPAN_US, lambda name: MemberStatus.ALIVE, True, 1), (TakeoverAction.OFFER, "c")
        )
        current = ownership.step(grantor)
        assert current is not None
        self.assertEqual(
            (current.partition, current.takes_new_messages, previous.takes_new_messages), (PARTITION + 1, True, False)
        )
        previous.note_offer_accepted()
        self.assertIs(self.step(previous, 2, {}), TakeoverAction.DROP)
        self.assertIs(previous.stage, TakeoverStage.GONE)

    def test_no_partition_is_opened_without_a_table_nor_after_the_last_number(self) -> None:
        ownership = Ownership("a", 9, NAMES, {})
        self.assertIsNone(ownership.step(LeaseGrantor("a", NAMES, 0, None)))
        last = Grant(lease_name(PARTITION + 4095), 1, "a")
        with self.assertRaises(PartitionsExhaustedError):
            ownership.step(LeaseGrantor("a", NAMES, 0, (last,)))
