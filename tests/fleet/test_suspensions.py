"""Receivers taken out by hand at several members, and hints of waits: each guard is provoked."""

import os
import tempfile
import unittest
from itertools import permutations
from types import SimpleNamespace as Made
from typing import Any
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarwick.fleet import gossip
from cedarwick.fleet import suspensions as module
from cedarwick.fleet.fleet_files import FleetFiles
from cedarwick.fleet.messages import Body, PeerMessage, RetryAfterEntry, RetryAfterHint, SuspensionMark, decode, encode
from cedarwick.fleet.messages import SuspensionMarks as Told
from cedarwick.fleet.suspensions import ASLEEP, KEEP, MOST, SuspensionTable, join
from cedarwick.net.counters import Counters
from cedarwick.ops import saved_state as files
from cedarwick.ops.commands import Call
from cedarwick.ops.management import ManagementCommands

S = 1_000_000
NOW = 1_000 * KEEP
ROW = st.builds(SuspensionMark, st.sampled_from("ab"), st.integers(1, 3), st.sampled_from("mn"), st.integers(0, 2))
MAP = st.lists(ROW).map(lambda rows: join({}, {row.uid: row for row in rows}))
Step = tuple[str, list[int], str, int]
STEP = st.tuples(
    st.sampled_from(("set", "meet", "restart")), st.permutations(range(3)), st.sampled_from("ab"), st.integers(0, 1)
)


def meet(one: SuspensionTable, other: SuspensionTable, now: int) -> None:
    """A talk: `one` asks, and tells what the other lacks."""
    for each in (one, other):
        each.turn(now)
    (one.met if other.whole() else one.merge)(now, other.offered())
    other.merge(now, one.offered())


def awake(name: str) -> SuspensionTable:
    made = SuspensionTable(name)
    made.awake(NOW)
    return made


class SuspensionTableTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(MAP, MAP, MAP)
    def test_the_join_is_a_join(
        self, a: dict[str, SuspensionMark], b: dict[str, SuspensionMark], c: dict[str, SuspensionMark]
    ) -> None:
        self.assertEqual(join(a, b), join(b, a))
        self.assertEqual(join(a, join(b, c)), join(join(a, b), c))
        self.assertEqual(join(a, a), a)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(STEP, max_size=30))
    def test_members_come_to_the_last_call_whatever_happens_between(self, steps: list[Step]) -> None:
        members = [awake(name) for name in "lmn"]
        last: dict[str, int] = {}
        for now, (what, (i, j, _), uid, calls) in enumerate(steps, NOW):
            if what == "set":
                members[i].set(now, uid, calls)
                last[uid] = calls
            elif what == "meet":
                meet(members[i], members[j], now)
            else:
                members[i] = SuspensionTable("lmn"[i], members[i].saved())
        for one, other in [*permutations(members, 2)] * 2:
            meet(one, other, NOW + 99)
        self.assertEqual([each.calls() for each in members], [{uid: 1 for uid in last if last[uid]}] * 3)

    def slept(self, away: int) -> None:
        """X is out; n sleeps; X is restored and Y taken out; n suspends Z as it wakes alone."""
        m, n = awake("m"), awake("n")
        m.set(NOW, "X", 1)
        meet(n, m, NOW)
        m.set(NOW + S, "X", 0)
        m.set(NOW + S, "Y", 1)
        m.turn(NOW + S + away)
        m.awake(NOW + S + away)  # it has met others
        n = SuspensionTable("n", n.saved())
        n.turn(NOW + S + away)
        self.assertEqual(n.calls(), {"X": 1})  # until it knows better
        n.set(NOW + S + away, "Z", 1)
        meet(m, n, NOW + S + away)
        meet(n, m, NOW + S + away)
        self.assertEqual((m.calls(), n.calls()), ({"Y": 1, "Z": 1},) * 2)

    def test_a_member_that_slept_brings_nothing_back_and_does_without_a_guard(self) -> None:
        for away in (S, ASLEEP, KEEP - S, KEEP + S, 9 * KEEP):
            self.slept(away)
        never = mock.patch.object(SuspensionTable, "turn", lambda self, now: setattr(self, "asleep", False))
        forgets = mock.patch.object(SuspensionTable, "_over", lambda self, now, row: not row.calls)
        larger = mock.patch.object(module, "newer", lambda one, other: one.calls > other.calls)
        for guard, away in ((never, 9 * KEEP), (forgets, S), (larger, S)):
            with guard, self.assertRaises(AssertionError):
                self.slept(away)

    def test_a_clock_that_lags_and_a_folder_that_was_lost_do_not_undo_a_call(self) -> None:
        m, n, lost = awake("m"), awake("n"), SuspensionTable("n")
        m.set(NOW + S, "X", 1)
        meet(n, m, NOW)
        n.set(NOW, "X", 0)  # its clock is behind
        meet(n, m, NOW)
        self.assertEqual(m.calls(), {})
        lost.set(NOW + 2 * S, "X", 2)
        meet(lost, m, NOW + 2 * S)
        self.assertEqual(m.calls(), {"X": 2})

    def test_the_map_is_bounded_and_a_peer_message_holds_it(self) -> None:
        m, n = awake("m"), awake("n")
        for i in range(MOST + 9):
            m.set(NOW, f"{i:0128}", i % 2)
        m.set(NOW, "long" * 33, 1)
        n.merge(NOW, (*m.offered(), SuspensionMark("new", NOW, "m", 1)))
        self.assertEqual((len(n.rows), m.unshared(), m.whole()), (MOST, 1, False))
        peer_message = PeerMessage(1, 1, "g" * 64, "m" * 64, 1, "n" * 64, Told(m.digest(), m.offered()))
        self.assertEqual(decode(encode(peer_message)), peer_message)


class SharedSuspensionsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.state = folder.name
        self.sent: list[Any] = []
        self.begin()

    def begin(self) -> None:
        """A process on the folder; its dispatcher, its list and its links are made up."""
        self.dispatcher: Any = Made(apply_retry_after=mock.Mock(), attempt_ended=mock.Mock(), attempts=Made())
        self.listed: Any = Made(
            numbers={f"u{i}": i for i in range(100)},
            uids={i: f"u{i}" for i in range(100)},
            suspended=set(),
            knows=lambda uid: True,
            set_suspended=lambda uids: setattr(self.listed, "suspended", uids),
        )
        self.management = ManagementCommands(lambda: True, Made(), self.listed, self.state, lambda: "")
        self.management.take_over()
        clock: Any = Made(now=lambda: NOW)
        self.sharing = gossip.Gossip("m", FleetFiles(self.state), clock, Counters(), self.told)
        self.sharing.attach(self.management, self.listed, self.dispatcher)

    def told(self, name: str, body: Body, within_s: float) -> Body:
        self.sent.append(body)
        return Told(7, (), True)

    def hear(self, *uids: str) -> None:
        self.sharing.heard("n", Told(0, tuple(SuspensionMark(uid, gossip.wall_time(), "n", 1) for uid in uids)))

    def test_what_another_process_wrote_stands_and_what_a_crash_tore_apart_is_not_undone(self) -> None:
        self.management.answer(Call("SUSPEND", "X"))
        files.write(self.state, {"X": 1, "W": 1})  # the process that replaces this one
        self.hear("Y")
        self.assertEqual((files.read(self.state), self.listed.suspended), ({"W": 1, "X": 1, "Y": 1}, set("WXY")))
        with mock.patch.object(files, "write", side_effect=KeyboardInterrupt), self.assertRaises(KeyboardInterrupt):
            self.hear("Z")
        self.begin()
        self.assertNotIn("Z", self.sharing.marks.rows)  # not taken for restored here
        with mock.patch.object(FleetFiles, "write_suspension_marks", side_effect=OSError):
            self.hear("Z")
        self.begin()
        os.unlink(os.path.join(self.state, files.SUSPENDED))
        self.begin()
        self.assertEqual(self.listed.suspended, set("WXYZ"))
        with open(os.path.join(self.state, "fleet", "marks"), "wb") as file:
            file.write(b"spoilt")
        self.begin()
        self.assertEqual((self.listed.suspended, self.sharing.marks.offered()), (set("WXYZ"), ()))
        self.sharing._say(0, "n")  # which knows of none
        self.assertEqual(self.listed.suspended, set())

    def test_a_full_disk_undoes_nothing(self) -> None:
        with mock.patch.object(files, "write", side_effect=OSError):
            self.management.answer(Call("SUSPEND", "X"))
            self.hear("Y")
        self.assertEqual(self.listed.suspended, {"X", "Y"})
        self.sharing.saved_at = 0
        self.sharing.look(1, (), 2)
        self.assertEqual(files.read(self.state), {"X": 1, "Y": 1})

    def test_what_the_other_does_not_take_is_not_sent_on_and_on(self) -> None:
        self.sharing.marks.set(gossip.wall_time(), "X", 1)
        for turn in range(9):
            if turn == 0 or self.sharing.missing_at["n"]:
                self.sharing._say(turn, "n")
        self.assertEqual([len(body.rows) for body in self.sent], [0, 1])

    def test_hints_are_few_say_what_is_left_and_are_not_passed_on(self) -> None:
        self.dispatcher.attempts.report_retry_after([(1, NOW + 300_000), *((i, NOW + S) for i in range(2, 70))])
        self.dispatcher.attempts.report_result(Made(receiver=70), Made(retry_after=S))
        self.assertEqual(
            (self.dispatcher.apply_retry_after.call_count, self.dispatcher.attempt_ended.call_count), (1, 1)
        )
        told = self.sharing._hints()
        self.assertEqual(told, tuple(RetryAfterEntry(f"u{i}", S) for i in range(7, 71)))
        self.dispatcher.attempts.report_retry_after([(69, NOW + S + 9)])  # the same again
        self.assertEqual(self.sharing._hints(), ())
        self.sharing.heard("n", RetryAfterHint((*told, RetryAfterEntry("unlisted", 5))))
        self.assertEqual(self.dispatcher.apply_retry_after.call_args.args[0], [(i, NOW + S) for i in range(7, 71)])
        self.assertEqual(self.sharing._hints(), ())


if __name__ == "__main__":
    unittest.main()
