"""Order key hints: which keys a member sends, and which it holds back. Each guard is tested by its removal."""

import unittest
from collections import defaultdict
from typing import Any
from unittest import mock

from loguru import logger

from cedarwick.fleet.messages import MAX_ORDER_KEYS
from cedarwick.fleet.order_key_hints import HINT_LIFETIME_US, MAX_HOLD_US, SEND_INTERVAL_US, OrderKeyHints
from cedarwick.lab import invariants, virtual_day
from cedarwick.lab.audit_cases import Case

NOW = 1_000_000_000
NO_KEYS: frozenset[int] = frozenset()


class OrderKeyHintsTest(unittest.TestCase):
    def test_keys_are_sent_at_once_then_repeated_and_in_the_end_as_an_empty_hint(self) -> None:
        hints = OrderKeyHints()
        self.assertIsNone(hints.due_keys(NOW, set(), ["b"]))
        self.assertEqual(hints.due_keys(NOW, {7, 5}, ["b"]), (5, 7))
        self.assertIsNone(hints.due_keys(NOW + SEND_INTERVAL_US - 1, {5}, ["b"]))  # a removed key is not urgent
        self.assertEqual(
            hints.due_keys(NOW + SEND_INTERVAL_US - 1, {5}, ["b", "c"]), (5,)
        )  # a member that came back has no hint yet
        self.assertEqual(
            hints.due_keys(NOW + 2 * SEND_INTERVAL_US, {5}, ["b", "c"]), (5,)
        )  # repeated, since a hint may be lost
        self.assertEqual(hints.due_keys(NOW + 3 * SEND_INTERVAL_US, set(), ["b", "c"]), ())
        self.assertIsNone(hints.due_keys(NOW + 9 * SEND_INTERVAL_US, set(), ["b", "c"]))
        self.assertEqual(len(hints.due_keys(NOW + 9 * SEND_INTERVAL_US, set(range(9999)), ["b"]) or ()), MAX_ORDER_KEYS)

    def test_a_key_is_held_back_while_others_send_it_unless_it_is_in_the_own_backlog(self) -> None:
        hints = OrderKeyHints()
        hints.receive(NOW, "b", (1, 2))
        hints.receive(NOW, "c", (2, 3))
        self.assertEqual(
            hints.update_held_keys(NOW, {3}, {4}), {1, 2, 4}
        )  # 3 is pending at both, which would wait for each other
        hints.receive(NOW + 1, "b", ())
        self.assertEqual(hints.update_held_keys(NOW + 1, {3}, NO_KEYS), {2})
        self.assertEqual(hints.update_held_keys(NOW + HINT_LIFETIME_US, NO_KEYS, NO_KEYS), NO_KEYS)  # c is silent

    def test_a_key_is_held_back_for_a_limited_time_whichever_member_sends_it(self) -> None:
        hints = OrderKeyHints()
        for at in range(NOW, NOW + 2 * MAX_HOLD_US, SEND_INTERVAL_US):
            hints.receive(at, "b" if at < NOW + HINT_LIFETIME_US else "c", (1,))
            self.assertEqual(hints.update_held_keys(at, NO_KEYS, NO_KEYS), {1} if at < NOW + MAX_HOLD_US else NO_KEYS)
        hints.receive(at, "c", ())
        hints.update_held_keys(at, NO_KEYS, NO_KEYS)
        hints.receive(at + 1, "c", (1,))
        self.assertEqual(hints.update_held_keys(at + 1, NO_KEYS, NO_KEYS), {1})  # it is pending again after a break


class VirtualDaysTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("cedarwick")
        self.addCleanup(logger.enable, "cedarwick")

    def count_overtaken(self, *seeds: int, **day_options: Any) -> tuple[int, int]:
        """The number of message pairs of one key called by two senders, and of those where the later one came first."""
        counts = [0, 0]

        def count_pairs(scenario: Any, cases: dict[str, Case], lives: Any, *_: Any) -> tuple[()]:
            cases_by_key = defaultdict(list)
            for case in cases.values():
                if case.handed is not None and case.handed.priority_class == "line" and case.calls:
                    cases_by_key[case.handed.turn].append(case)
            for key_cases in cases_by_key.values():
                key_cases.sort(key=lambda case: case.handed.sent if case.handed else 0)
                for index, later in enumerate(key_cases):
                    for earlier in key_cases[max(0, index - 8) : index]:
                        if len({call.sender for call in (*earlier.calls, later.calls[0])}) > 1:
                            counts[0] += 1
                            counts[1] += invariants.in_flight_until(earlier.calls[-1], lives) > later.calls[0].first
            return ()

        with mock.patch.object(invariants, "find_key_order_violations", count_pairs):
            for seed in seeds:
                self.assertEqual(virtual_day.run_day(seed, seconds=6.0, **day_options).findings, [])
        return counts[0], counts[1]

    def test_few_messages_are_overtaken_when_clients_of_a_killed_sender_switch_and_come_back(self) -> None:
        day_options: dict[str, Any] = {"ack": "copy", "kinds": ("kill",)}
        pairs, overtaken = self.count_overtaken(5, 10, 11, **day_options)
        self.assertGreater(pairs, 20)
        self.assertLess(overtaken, 0.05 * pairs)  # in the second until the failure is detected, or after `MAX_HOLD_US`
        with mock.patch.object(OrderKeyHints, "update_held_keys", return_value=NO_KEYS):
            pairs, overtaken = self.count_overtaken(5, 10, 11, **day_options)
        self.assertGreater(overtaken, 0.1 * pairs)


if __name__ == "__main__":
    unittest.main()
