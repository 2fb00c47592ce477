"""Receivers suspended at several members, and hints of Retry-After waits. Guards are tested by their removal."""

import os
import tempfile
import unittest
from itertools import permutations
from types import SimpleNamespace
from typing import Any
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarwick.fleet import gossip, suspensions
from cedarwick.fleet.fleet_files import FleetFiles
from cedarwick.fleet.messages import Body, PeerMessage, RetryAfterEntry, RetryAfterHint, SuspensionMark, decode, encode
from cedarwick.fleet.messages import SuspensionMarks as SuspensionMarksMessage
from cedarwick.fleet.suspensions import MAX_ROWS, STALE_AFTER_US, TOMBSTONE_LIFETIME_US, SuspensionTable, join_rows
from cedarwick.net.counters import Counters
from cedarwick.ops import saved_state as files
from cedarwick.ops.commands import Call
from cedarwick.ops.management import ManagementCommands

SECOND_US = 1_000_000
NOW = 1_000 * TOMBSTONE_LIFETIME_US
ROW = st.builds(SuspensionMark, st.sampled_from("ab"), st.integers(1, 3), st.sampled_from("mn"), st.integers(0, 2))
MAP = st.lists(ROW).map(lambda rows: join_rows({}, {row.uid: row for row in rows}))
Step = tuple[str, list[int], str, int]
STEP = st.tuples(
    st.sampled_from(("set", "exchange", "restart")), st.permutations(range(3)), st.sampled_from("ab"), st.integers(0, 1)
)


def exchange(one: SuspensionTable, other: SuspensionTable, now: int) -> None:
    """An exchange that `one` starts: it receives the other's rows and sends its own."""
    for each in (one, other):
        each.refresh(now)
    (one.merge_all if other.is_complete() else one.merge)(now, other.shared_rows())
    other.merge(now, one.shared_rows())


def synced_table(name: str) -> SuspensionTable:
    table = SuspensionTable(name)
    table.mark_synced(NOW)
    return table


class SuspensionTableTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(MAP, MAP, MAP)
    def test_the_join_is_commutative_associative_and_idempotent(
        self, a: dict[str, SuspensionMark], b: dict[str, SuspensionMark], c: dict[str, SuspensionMark]
    ) -> None:
        self.assertEqual(join_rows(a, b), join_rows(b, a))
        self.assertEqual(join_rows(a, join_rows(b, c)), join_rows(join_rows(a, b), c))
        self.assertEqual(join_rows(a, a), a)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(STEP, max_size=30))
    def test_members_converge_to_the_last_command(self, steps: list[Step]) -> None:
        members = [synced_table(name) for name in "lmn"]
        last: dict[str, int] = {}
        for now, (action, (i, j, _), uid, calls) in enumerate(steps, NOW):
            if action == "set":
                members[i].set_calls(now, uid, calls)
                last[uid] = calls
            elif action == "exchange":
                exchange(members[i], members[j], now)
            else:
                members[i] = SuspensionTable("lmn"[i], members[i].saved())
        for one, other in [*permutations(members, 2)] * 2:
            exchange(one, other, NOW + 99)
        self.assertEqual([each.suspensions() for each in members], [{uid: 1 for uid in last if last[uid]}] * 3)

    def check_long_absence(self, absence_us: int) -> None:
        """X is suspended; n is away while X is restored and Y suspended; n suspends Z before it meets other members."""
        m, n = synced_table("m"), synced_table("n")
        m.set_calls(NOW, "X", 1)
        exchange(n, m, NOW)
        m.set_calls(NOW + SECOND_US, "X", 0)
        m.set_calls(NOW + SECOND_US, "Y", 1)
        m.refresh(NOW + SECOND_US + absence_us)
        m.mark_synced(NOW + SECOND_US + absence_us)  # it has synchronized with other members
        n = SuspensionTable("n", n.saved())
        n.refresh(NOW + SECOND_US + absence_us)
        self.assertEqual(n.suspensions(), {"X": 1})  # until it receives newer rows
        n.set_calls(NOW + SECOND_US + absence_us, "Z", 1)
        exchange(m, n, NOW + SECOND_US + absence_us)
        exchange(n, m, NOW + SECOND_US + absence_us)
        self.assertEqual((m.suspensions(), n.suspensions()), ({"Y": 1, "Z": 1},) * 2)

    def test_a_member_after_a_long_absence_undoes_nothing_unless_a_guard_is_missing(self) -> None:
        for absence_us in (
            SECOND_US,
            STALE_AFTER_US,
            TOMBSTONE_LIFETIME_US - SECOND_US,
            TOMBSTONE_LIFETIME_US + SECOND_US,
            9 * TOMBSTONE_LIFETIME_US,
        ):
            self.check_long_absence(absence_us)
        never_stale = mock.patch.object(SuspensionTable, "refresh", lambda self, now: setattr(self, "stale", False))
        drops_tombstones = mock.patch.object(SuspensionTable, "_is_expired", lambda self, now, row: not row.calls)
        larger_calls_win = mock.patch.object(suspensions, "is_newer", lambda one, other: one.calls > other.calls)
        for guard, absence_us in (
            (never_stale, 9 * TOMBSTONE_LIFETIME_US),
            (drops_tombstones, SECOND_US),
            (larger_calls_win, SECOND_US),
        ):
            with guard, self.assertRaises(AssertionError):
                self.check_long_absence(absence_us)

    def test_a_clock_that_lags_and_a_lost_folder_do_not_undo_a_command(self) -> None:
        m, n, without_folder = synced_table("m"), synced_table("n"), SuspensionTable("n")
        m.set_calls(NOW + SECOND_US, "X", 1)
        exchange(n, m, NOW)
        n.set_calls(NOW, "X", 0)  # its clock is behind
        exchange(n, m, NOW)
        self.assertEqual(m.suspensions(), {})
        without_folder.set_calls(NOW + 2 * SECOND_US, "X", 2)
        exchange(without_folder, m, NOW + 2 * SECOND_US)
        self.assertEqual(m.suspensions(), {"X": 2})

    def test_the_map_is_bounded_and_a_peer_message_holds_it(self) -> None:
        m, n = synced_table("m"), synced_table("n")
        for i in range(MAX_ROWS + 9):
            m.set_calls(NOW, f"{i:0128}", i % 2)
        m.set_calls(NOW, "long" * 33, 1)
        n.merge(NOW, (*m.shared_rows(), SuspensionMark("new", NOW, "m", 1)))
        self.assertEqual((len(n.rows), m.unshared_count(), m.is_complete()), (MAX_ROWS, 1, False))
        peer_message = PeerMessage(
            1, 1, "g" * 64, "m" * 64, 1, "n" * 64, SuspensionMarksMessage(m.digest(), m.shared_rows())
        )
        self.assertEqual(decode(encode(peer_message)), peer_message)


class SharedSuspensionsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.state_folder = folder.name
        self.sent: list[Any] = []
        self.start_process()

    def start_process(self) -> None:
        """Start the gossip of a process on the folder, with a fake dispatcher, endpoint list and peer connection."""
        self.dispatcher: Any = SimpleNamespace(
            apply_retry_after=mock.Mock(), attempt_ended=mock.Mock(), attempts=SimpleNamespace()
        )
        self.endpoint_list: Any = SimpleNamespace(
            receiver_numbers={f"u{i}": i for i in range(100)},
            uids_by_number={i: f"u{i}" for i in range(100)},
            suspended=set(),
            knows=lambda uid: True,
            set_suspended=lambda uids: setattr(self.endpoint_list, "suspended", uids),
        )
        self.management = ManagementCommands(
            lambda: True, SimpleNamespace(paused=False), self.endpoint_list, self.state_folder, lambda: ""
        )
        self.management.apply_saved_state()
        clock: Any = SimpleNamespace(now=lambda: NOW)
        self.gossip_of_m = gossip.Gossip("m", FleetFiles(self.state_folder), clock, Counters(), self.answer_marks)
        self.gossip_of_m.attach(self.management, self.endpoint_list, self.dispatcher)

    def answer_marks(self, name: str, body: Body, within_s: float) -> Body:
        self.sent.append(body)
        return SuspensionMarksMessage(7, (), True)

    def receive_suspended(self, *uids: str) -> None:
        self.gossip_of_m.answer(
            "n", SuspensionMarksMessage(0, tuple(SuspensionMark(uid, gossip.wall_time(), "n", 1) for uid in uids))
        )

    def test_writes_of_another_process_and_half_written_changes_are_not_undone(self) -> None:
        self.management.answer(Call("SUSPEND", "X"))
        files.write_suspensions(self.state_folder, {"X": 1, "W": 1})  # the process that replaces this one
        self.receive_suspended("Y")
        self.assertEqual(
            (files.read_suspensions(self.state_folder), self.endpoint_list.suspended),
            ({"W": 1, "X": 1, "Y": 1}, set("WXY")),
        )
        with (
            mock.patch.object(files, "write_suspensions", side_effect=KeyboardInterrupt),
            self.assertRaises(KeyboardInterrupt),
        ):
            self.receive_suspended("Z")
        self.start_process()
        self.assertNotIn("Z", self.gossip_of_m.suspension_table.rows)  # it does not count as restored here
        with mock.patch.object(FleetFiles, "write_suspension_marks", side_effect=OSError):
            self.receive_suspended("Z")
        self.start_process()
        os.unlink(os.path.join(self.state_folder, files.SUSPENSIONS_FILE))
        self.start_process()
        self.assertEqual(self.endpoint_list.suspended, set("WXYZ"))
        with open(os.path.join(self.state_folder, "fleet", "marks"), "wb") as file:
            file.write(b"spoilt")
        self.start_process()
        self.assertEqual(
            (self.endpoint_list.suspended, self.gossip_of_m.suspension_table.shared_rows()), (set("WXYZ"), ())
        )
        self.gossip_of_m._send_rows(0, "n")  # whose table is empty
        self.assertEqual(self.endpoint_list.suspended, set())

    def test_a_full_disk_undoes_no_suspension(self) -> None:
        with mock.patch.object(files, "write_suspensions", side_effect=OSError):
            self.management.answer(Call("SUSPEND", "X"))
            self.receive_suspended("Y")
        self.assertEqual(self.endpoint_list.suspended, {"X", "Y"})
        self.gossip_of_m.saved_at = 0
        self.gossip_of_m.send_due(1, (), 2)
        self.assertEqual(files.read_suspensions(self.state_folder), {"X": 1, "Y": 1})

    def test_rows_that_another_member_does_not_accept_are_not_sent_again(self) -> None:
        self.gossip_of_m.suspension_table.set_calls(gossip.wall_time(), "X", 1)
        for turn in range(9):
            if turn == 0 or self.gossip_of_m.missing_rows["n"]:
                self.gossip_of_m._send_rows(turn, "n")
        self.assertEqual([len(body.marks) for body in self.sent], [0, 1])

    def test_hints_are_bounded_have_the_remaining_waits_and_are_not_forwarded(self) -> None:
        self.dispatcher.attempts.report_retry_after([(1, NOW + 300_000), *((i, NOW + SECOND_US) for i in range(2, 70))])
        self.dispatcher.attempts.report_result(SimpleNamespace(receiver=70), SimpleNamespace(retry_after=SECOND_US))
        self.assertEqual(
            (self.dispatcher.apply_retry_after.call_count, self.dispatcher.attempt_ended.call_count), (1, 1)
        )
        due_waits = self.gossip_of_m._take_due_waits()
        self.assertEqual(due_waits, tuple(RetryAfterEntry(f"u{i}", SECOND_US) for i in range(7, 71)))
        self.dispatcher.attempts.report_retry_after([(69, NOW + SECOND_US + 9)])  # nearly the same wait as before
        self.assertEqual(self.gossip_of_m._take_due_waits(), ())
        self.gossip_of_m.answer("n", RetryAfterHint((*due_waits, RetryAfterEntry("unlisted", 5))))
        self.assertEqual(
            self.dispatcher.apply_retry_after.call_args.args[0], [(i, NOW + SECOND_US) for i in range(7, 71)]
        )
        self.assertEqual(self.gossip_of_m._take_due_waits(), ())


if __name__ == "__main__":
    unittest.main()
