"""Keys that are owed at another sender: what is told, and what rests for it. Each guard is provoked."""

import unittest
from collections import defaultdict
from typing import Any
from unittest import mock

from loguru import logger

from cedarwick.fleet.messages import MOST_KEYS
from cedarwick.fleet.order_key_hints import HINT_LIFETIME_US, MAX_HOLD_US, SEND_INTERVAL_US, OrderKeyHints
from cedarwick.lab import invariants, virtual_day
from cedarwick.lab.audit_cases import Case

NOW = 1_000_000_000
NONE: frozenset[int] = frozenset()


class OrderKeyHintsTest(unittest.TestCase):
    def test_keys_are_told_at_once_then_again_and_at_last_that_there_are_none(self) -> None:
        hints = OrderKeyHints()
        self.assertIsNone(hints.due_keys(NOW, set(), ["b"]))
        self.assertEqual(hints.due_keys(NOW, {7, 5}, ["b"]), (5, 7))
        self.assertIsNone(hints.due_keys(NOW + SEND_INTERVAL_US - 1, {5}, ["b"]))  # what is over may wait
        self.assertEqual(
            hints.due_keys(NOW + SEND_INTERVAL_US - 1, {5}, ["b", "c"]), (5,)
        )  # who came back knows nothing yet
        self.assertEqual(
            hints.due_keys(NOW + 2 * SEND_INTERVAL_US, {5}, ["b", "c"]), (5,)
        )  # a peer message may be lost
        self.assertEqual(hints.due_keys(NOW + 3 * SEND_INTERVAL_US, set(), ["b", "c"]), ())
        self.assertIsNone(hints.due_keys(NOW + 9 * SEND_INTERVAL_US, set(), ["b", "c"]))
        self.assertEqual(len(hints.due_keys(NOW + 9 * SEND_INTERVAL_US, set(range(9999)), ["b"]) or ()), MOST_KEYS)

    def test_a_key_rests_while_others_tell_it_and_never_for_those_who_wait_for_this_one(self) -> None:
        hints = OrderKeyHints()
        hints.receive(NOW, "b", (1, 2))
        hints.receive(NOW, "c", (2, 3))
        self.assertEqual(
            hints.update_held_keys(NOW, {3}, {4}), {1, 2, 4}
        )  # 3 is owed at both: they would wait for each other
        hints.receive(NOW + 1, "b", ())
        self.assertEqual(hints.update_held_keys(NOW + 1, {3}, NONE), {2})
        self.assertEqual(hints.update_held_keys(NOW + HINT_LIFETIME_US, NONE, NONE), NONE)  # c is silent

    def test_a_key_rests_no_longer_than_it_may_whoever_tells_it(self) -> None:
        hints = OrderKeyHints()
        for at in range(NOW, NOW + 2 * MAX_HOLD_US, SEND_INTERVAL_US):
            hints.receive(at, "b" if at < NOW + HINT_LIFETIME_US else "c", (1,))
            self.assertEqual(hints.update_held_keys(at, NONE, NONE), {1} if at < NOW + MAX_HOLD_US else NONE)
        hints.receive(at, "c", ())
        hints.update_held_keys(at, NONE, NONE)
        hints.receive(at + 1, "c", (1,))
        self.assertEqual(hints.update_held_keys(at + 1, NONE, NONE), {1})  # it is owed anew


class VirtualDaysTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("cedarwick")
        self.addCleanup(logger.enable, "cedarwick")

    def overtaken(self, *seeds: int, **told: Any) -> tuple[int, int]:
        """Pairs of one key that two senders called: how many, and of how many the earlier one came later."""
        seen = [0, 0]

        def pairs(scenario: Any, cases: dict[str, Case], lives: Any, *_: Any) -> tuple[()]:
            lines = defaultdict(list)
            for case in cases.values():
                if case.handed is not None and case.handed.priority_class == "line" and case.calls:
                    lines[case.handed.turn].append(case)
            for line in lines.values():
                line.sort(key=lambda case: case.handed.sent if case.handed else 0)
                for place, later in enumerate(line):
                    for earlier in line[max(0, place - 8) : place]:
                        if len({call.sender for call in (*earlier.calls, later.calls[0])}) > 1:
                            seen[0] += 1
                            seen[1] += invariants.out_until(earlier.calls[-1], lives) > later.calls[0].first
            return ()

        with mock.patch.object(invariants, "order", pairs):
            for seed in seeds:
                self.assertEqual(virtual_day.play(seed, seconds=6.0, **told).findings, [])
        return seen[0], seen[1]

    def test_few_are_overtaken_as_clients_of_a_killed_sender_go_elsewhere_and_come_back(self) -> None:
        told: dict[str, Any] = {"ack": "copy", "kinds": ("kill",)}
        pairs, overtaken = self.overtaken(5, 10, 11, **told)
        self.assertGreater(pairs, 20)
        self.assertLess(overtaken, 0.05 * pairs)  # in the second until the silence is noticed, or after `MOST`
        with mock.patch.object(OrderKeyHints, "update_held_keys", return_value=NONE):
            pairs, overtaken = self.overtaken(5, 10, 11, **told)
        self.assertGreater(overtaken, 0.1 * pairs)


if __name__ == "__main__":
    unittest.main()
