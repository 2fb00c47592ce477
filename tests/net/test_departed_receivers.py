"""Receivers that have left the endpoint list get no call, whatever operators, spoilt entries or new lists say later."""

import time
import unittest
from typing import Any
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarwick.decisions.connection_reuse import ConnectionReuse
from cedarwick.decisions.policy import Sender
from cedarwick.net.assignment import Assignment
from cedarwick.net.clock import Clock
from cedarwick.net.connections import ConnectionPool
from cedarwick.net.counters import Counters
from cedarwick.net.descriptors import DescriptorBudget
from cedarwick.net.endpoint_list import FORGET_REMOVED_AFTER_S, EndpointList
from tests.build import NOW, SETTINGS, Program, Receiver, encode_submit, free_port, read_line, reply, wait_for_condition
from tests.ops.test_ops import management_call

UIDS = ("s-0", "s-1", "s-2")
SUSPENDED_S = 0.3  # between SUSPEND and RESTORE
UNLISTED_S = 0.5  # after a list that lacks the receiver; longer than any grace in the settings of these tests
LOAD_S = 1.5  # in which both destinations get messages after RESTORE
LOAD_INTERVAL_S = 0.05


def listed_entry(uid: str, state: object = "up", **changes: Any) -> dict[str, Any]:
    """Return one entry of the list; each uid has an address and a destination of its own."""
    number = 1 + UIDS.index(uid) if uid in UIDS else 9
    entry = {"uid": uid, "endpoint": f"127.0.0.1:{number}", "az": "a", "model": "k", "pod_group": number}
    return {**entry, "state": state, "capacity_hint": 1.0, "boot_ms": 0, **changes}


class ListHistory:
    """An endpoint list whose updates reach real decisions."""

    def __init__(self) -> None:
        assignment = Assignment("n", ("", 0), ("", 0), "", 1, 64, 1 << 20, {}, {"zones": "a", "kinds": "k"})
        self.sender = Sender(SETTINGS, 5, NOW)
        self.endpoint_list = EndpointList(
            assignment,
            mock.create_autospec(Counters, instance=True),  # logs nothing: hundreds of entries are spoilt here
            lambda change, listings: self.sender.apply_endpoint_list(NOW, change, listings),
            lambda: None,
        )
        self.version = 0

    def update(self, is_full: bool, *entries: dict[str, Any]) -> None:
        """Apply one update of the list."""
        self.version += 1
        self.endpoint_list.apply_update({"rev": self.version, "all": is_full, "targets": list(entries)})

    def callable_uids(self) -> set[str]:
        """Return the receivers that the decisions may call."""
        return {self.endpoint_list.uid_of(receiver.id) for receiver in self.sender.receivers.values() if receiver.ready}


class DepartedReceiversTest(unittest.TestCase):
    """Guards against review case 8: an entry that a full list no longer had was still taken for the present one."""

    def test_restore_does_not_bring_back_a_receiver_that_a_full_list_lacks(self) -> None:
        history = ListHistory()
        history.update(True, listed_entry("s-0"), listed_entry("s-1"))
        history.endpoint_list.set_suspended({"s-0"})
        history.update(True, listed_entry("s-1"))
        history.endpoint_list.set_suspended(set())
        self.assertEqual(history.callable_uids(), {"s-1"})

    def test_a_spoilt_entry_does_not_bring_back_a_receiver_that_a_full_list_lacks(self) -> None:
        history = ListHistory()
        history.update(True, listed_entry("s-0"), listed_entry("s-1"))
        history.update(True, listed_entry("s-1"))
        history.update(False, listed_entry("s-0", state="unheard-of"))
        self.assertEqual(history.callable_uids(), {"s-1"})

    def test_a_receiver_that_a_full_list_lacks_is_not_known(self) -> None:
        history = ListHistory()
        history.update(True, listed_entry("s-0"), listed_entry("s-1"))
        for is_full, entries in ((True, [listed_entry("s-1")]), (False, [{"uid": "s-1", "state": "removed"}])):
            history.update(is_full, *entries)
        self.assertEqual([history.endpoint_list.knows(uid) for uid in UIDS], [False, False, False])

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.data())
    def test_the_callable_receivers_follow_from_the_lists_and_the_suspensions(self, data: st.DataObject) -> None:
        """Drawn lists, changes, spoilt entries, SUSPEND and RESTORE, against a model of what is listed."""
        history, listed, suspended = ListHistory(), dict.fromkeys(UIDS, ""), set[str]()
        states = st.sampled_from(["up", "draining", "removed", "spoilt"])
        for _ in range(data.draw(st.integers(1, 12))):
            step = data.draw(st.sampled_from(["full", "change", "suspend", "restore"]))
            if step in ("full", "change"):
                named = data.draw(st.dictionaries(st.sampled_from(UIDS), states, min_size=1))
                if step == "full" and all(state == "spoilt" and not listed[uid] for uid, state in named.items()):
                    continue  # an update without a readable entry is refused as a whole
                history.update(step == "full", *(listed_entry(uid, state) for uid, state in named.items()))
                earlier = listed
                listed = {uid: "removed" if step == "full" and state else state for uid, state in earlier.items()}
                for uid, state in named.items():
                    listed[uid] = earlier[uid] if state == "spoilt" else state
            else:
                uid = data.draw(st.sampled_from(UIDS))
                suspended = suspended | {uid} if step == "suspend" else suspended - {uid}
                history.endpoint_list.set_suspended(suspended)
            expected = {uid for uid in UIDS if listed[uid] == "up" and uid not in suspended}
            self.assertEqual(history.callable_uids(), expected)


class OtherReceiverTest(unittest.TestCase):
    """Guards against another receiver that was taken for an earlier one with its uid or its address."""

    def destinations(self, history: ListHistory) -> dict[str, int]:
        """Return the destination for whose messages the decisions may call each receiver."""
        receivers = history.sender.receivers.values()
        return {history.endpoint_list.uid_of(each.id): each.destination for each in receivers if each.ready}

    def test_a_uid_that_is_listed_for_another_destination_gets_none_of_the_earlier_ones_messages(self) -> None:
        for is_full in (True, False):
            with self.subTest(is_full=is_full):
                history = ListHistory()
                history.update(True, listed_entry("s-0"), listed_entry("s-1"))
                history.update(is_full, listed_entry("s-0", pod_group=9), listed_entry("s-1"))
                self.assertEqual(self.destinations(history), {"s-0": 9, "s-1": 2})
                self.assertFalse(history.sender.receivers[1].ready)

    def test_a_uid_that_is_listed_in_another_zone_is_another_receiver(self) -> None:
        history = ListHistory()
        history.update(True, listed_entry("s-0"))
        history.update(False, listed_entry("s-0", az="elsewhere"))
        self.assertEqual([each.ready for each in history.sender.receivers.values()], [False, True])

    def test_a_drain_or_a_removal_with_few_fields_concerns_the_receiver_that_is_listed(self) -> None:
        for state in ("draining", "removed"):
            history = ListHistory()
            history.update(True, listed_entry("s-0"), listed_entry("s-1"))
            history.update(False, {"uid": "s-0", "endpoint": "127.0.0.1:1", "state": state})
            self.assertEqual(self.destinations(history), {"s-1": 2})
            history.update(False, listed_entry("s-0"))
            self.assertEqual(self.destinations(history), {"s-0": 1, "s-1": 2})

    def test_a_change_that_lists_another_receiver_at_an_address_ends_the_earlier_one(self) -> None:
        history = ListHistory()
        history.update(True, listed_entry("s-0"), listed_entry("s-1"))
        history.update(False, listed_entry("s-2", endpoint="127.0.0.1:1"))
        self.assertEqual(self.destinations(history), {"s-1": 2, "s-2": 3})
        history.update(False, listed_entry("s-2", endpoint="127.0.0.1:1", capacity_hint=2.0))
        history.endpoint_list.set_suspended({"s-0"})
        history.endpoint_list.set_suspended(set())
        self.assertEqual(self.destinations(history), {"s-1": 2, "s-2": 3})

    def test_receivers_that_a_list_has_at_one_address_stay(self) -> None:
        history = ListHistory()
        history.update(True, listed_entry("s-0"), listed_entry("s-1", endpoint="127.0.0.1:1"))
        history.update(False, listed_entry("s-0", capacity_hint=2.0))
        self.assertEqual(self.destinations(history), {"s-0": 1, "s-1": 2})

    def test_nothing_of_the_earlier_receivers_is_left_after_a_while(self) -> None:
        history = ListHistory()
        for day in range(40):
            with mock.patch("time.monotonic", return_value=day * 10.0):
                history.update(day % 2 > 0, listed_entry("s-0", pod_group=day), listed_entry("s-1"))
        endpoint_list = history.endpoint_list
        for table in (endpoint_list.identities, endpoint_list.addresses, endpoint_list.uids_by_number):
            self.assertLessEqual(len(table), 9)
        self.assertLessEqual(len(endpoint_list.uids_by_address), 2)

    def test_a_receiver_is_displaced_long_after_it_got_a_number_of_its_own(self) -> None:
        """Guards against the end of the earlier number, which took the address from the receiver that is there."""
        history = ListHistory()
        history.update(True, listed_entry("s-0"), listed_entry("s-1"))
        history.update(False, listed_entry("s-0", pod_group=9))
        with mock.patch("time.monotonic", return_value=time.monotonic() + 2 * FORGET_REMOVED_AFTER_S):
            history.update(False, listed_entry("s-1", capacity_hint=2.0))
            history.update(False, listed_entry("s-2", endpoint="127.0.0.1:1"))
        self.assertEqual(self.destinations(history), {"s-1": 2, "s-2": 3})

    def test_a_receiver_that_moves_on_and_on_leaves_no_addresses_behind(self) -> None:
        """Guards against a table of addresses that grows with each move."""
        history = ListHistory()
        for port in range(1, 201):
            history.update(False, listed_entry("s-0", endpoint=f"127.0.0.1:{port}"))
            if port % 2:
                history.update(False, {"uid": "s-0", "state": "removed"})
        self.assertEqual(history.endpoint_list.uids_by_address, {("127.0.0.1", 200): "s-0"})


class MovedReceiverTest(unittest.TestCase):
    def test_a_connection_to_the_earlier_address_of_a_receiver_is_not_current(self) -> None:
        """Guards against a call on a connection that was opened while its receiver was listed elsewhere."""
        server = Receiver(reply(200))
        self.addCleanup(server.close)
        addresses = {1: ("127.0.0.1", server.port)}
        clock = Clock()
        pool = ConnectionPool(
            clock,
            mock.create_autospec(Counters, instance=True),
            DescriptorBudget(128),
            addresses.__getitem__,
            5_000_000,
            500_000,
            ConnectionReuse(),
        )
        connection = pool.acquire(1, clock.now() + 1_000_000)
        self.addCleanup(connection.close)
        self.assertTrue(pool.is_current(connection))
        addresses[1] = ("127.0.0.1", 1)
        self.assertFalse(pool.is_current(connection))
        addresses.clear()
        self.assertFalse(pool.is_current(connection))


class RestoreProcessTest(unittest.TestCase):
    """Guards against review case 8 with a real process: messages for the server that has the address now."""

    def test_restore_of_a_receiver_that_has_left_sends_nothing_to_its_address(self) -> None:
        for is_full in (True, False):
            with self.subTest(is_full=is_full):
                self._play(is_full)

    def _play(self, is_full: bool) -> None:
        leaving, staying = Receiver(reply(200)), Receiver(reply(200))
        program, management_port = Program([leaving, staying]), free_port()
        self.addCleanup(program.close)
        targets = [program.target(0), {**program.target(1), "uid": "s-1", "pod_group": 0}]
        program.platform.targets = targets
        program.start(RELAY_MANAGEMENT=f"127.0.0.1:{management_port}")
        self.assertTrue(management_call(management_port, b"SUSPEND s-0\n").startswith(b"YES"))
        time.sleep(SUSPENDED_S)
        # The receiver has left, and one of another destination has its address.
        successor = {**targets[0], "uid": "s-new", "pod_group": 1}
        left = [] if is_full else [{**targets[0], "state": "removed"}]
        update = {"rev": 2, "all": is_full, "targets": [*left, targets[1], successor]}
        program.platform.list_updates.put(update)
        time.sleep(UNLISTED_S)
        self.assertTrue(management_call(management_port, b"RESTORE s-0\n").startswith(b"YES"))
        self.assertTrue(management_call(management_port, b"SUSPEND s-0\n").startswith(b"NO"))
        before, count = len(leaving.calls), 0
        end_at = time.monotonic() + LOAD_S
        with program.connect() as client:
            while time.monotonic() < end_at:
                client.sendall(encode_submit(f"dest{count % 2}-{count}", dest=count % 2))
                read_line(client)
                count += 1
                time.sleep(LOAD_INTERVAL_S)
        calls = wait_for_condition(lambda: leaving.calls[before:])
        self.assertEqual([head for _, head, _ in calls if b"X-Txn: dest0" in head], [])
        self.assertGreater(len(calls), count // 4)

    def test_messages_of_the_earlier_destination_do_not_come_to_a_receiver_that_serves_another_one(self) -> None:
        """Guards against picture (d): another server under the uid, or at the address, of an earlier one."""
        for name in ("uid", "address"):
            with self.subTest(name=name):
                first, second, third = (Receiver(reply(200)) for _ in range(3))
                program = Program([first, second, third])
                self.addCleanup(program.close)
                targets = [{**program.target(number), "pod_group": number // 2} for number in range(3)]
                program.platform.targets = targets
                program.start()
                self._load(program)
                before = len(first.calls)
                other = {**targets[0], "pod_group": 1, "uid": "s-0" if name == "uid" else "s-new"}
                program.platform.list_updates.put({"rev": 2, "all": False, "targets": [other]})
                time.sleep(UNLISTED_S)
                self._load(program)
                time.sleep(UNLISTED_S)
                self.assertEqual([head for _, head, _ in first.calls[before:] if b"X-Txn: dest0" in head], [])
                self.assertTrue(any(b"X-Txn: dest0" in head for _, head, _ in second.calls))

    def _load(self, program: Program) -> None:
        """Hand in messages for both destinations."""
        with program.connect() as client:
            for number in range(20):
                client.sendall(encode_submit(f"dest{number % 2}-{time.monotonic_ns()}", dest=number % 2))
                read_line(client)
                time.sleep(LOAD_INTERVAL_S / 2)


if __name__ == "__main__":
    unittest.main()
