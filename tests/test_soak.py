"""Tests the soak with a few seeds; `make soak SEEDS=1-50` plays more."""

import contextlib
import io
import unittest

from cedarwick.lab.history import Called, History, Life
from cedarwick.lab.restart_soak import DayResult, calls_after_termination, count_restarts, draw_plan
from cedarwick.lab.units import SECOND
from tests.fleet.lease_soak import HistoryResult
from tests.soak import OutageResult, SoakResult, main, parse_seeds

SEEDS = ("1-6",)


def make_history(*records: Called | Life) -> History:
    """Return a history of the given records."""
    history = History()
    for each in records:
        history.add(each)
    return history


class ShortSoakTest(unittest.TestCase):
    def test_a_short_soak_has_no_finding(self) -> None:
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            status = main(SEEDS)
        self.assertEqual(status, 0, printed.getvalue())
        self.assertRegex(printed.getvalue().splitlines()[-1], r"^soak: seeds 1 to 6 \(6\): 6 days .* 0 findings$")


class SoakRulesTest(unittest.TestCase):
    """Tests the rules that only the soak checks, and its output."""

    def test_only_a_call_of_the_terminated_process_long_after_sigterm_is_a_finding(self) -> None:
        lives = [Life(0, "termed", SECOND), Life(0, "ended", 6 * SECOND), Life(0, "started", 7 * SECOND)]
        for at, finding_count in ((4 * SECOND, 0), (5 * SECOND, 1), (8 * SECOND, 0)):
            with self.subTest(at):
                call = Called("a", "", "s", 0, 0, at, at)
                self.assertEqual(len(calls_after_termination(make_history(*lives, call))), finding_count)

    def test_starts_that_were_ended_before_they_were_ready_are_not_slow(self) -> None:
        first = [Life(0, "started", 0), Life(0, "ready", SECOND)]
        second = [Life(0, "started", 2 * SECOND), Life(0, "killed", 3 * SECOND)]
        third = [Life(0, "started", 4 * SECOND), Life(0, "ready", 15 * SECOND)]
        self.assertEqual(count_restarts(make_history(*first, *second, *third), 1), (2, 1))

    def test_the_seed_alone_determines_a_plan(self) -> None:
        self.assertEqual(draw_plan(3), draw_plan(3))
        self.assertNotEqual(draw_plan(3), draw_plan(4))

    def test_findings_have_the_command_that_reproduces_them_and_void_days_are_omitted(self) -> None:
        days = [DayResult(5, ["1: lost"]), DayResult(6, ["1: lost"], void="n0 waited 900 ms for a processor")]
        histories = [HistoryResult(123, True, "nobody holds it", -1), HistoryResult(7, False, "", 1)]
        result = SoakResult(days, histories, [OutageResult(41, "fell"), OutageResult(42, "")])
        self.assertEqual(
            result.findings(),
            [
                "seed 5: 1: lost; again: make soak SEEDS=5",
                "history 123 with lost folders: nobody holds it; again: make soak SEEDS=6",
                "outage 41: fell; again: make soak SEEDS=2",
            ],
        )
        self.assertTrue(
            result.summary([5, 6]).endswith(
                "2 days (1 void), 0 messages, 0 restarts; 2 lease histories; 2 outages; 3 findings"
            )
        )

    def test_seeds_are_numbers_and_ranges(self) -> None:
        self.assertEqual(parse_seeds(["1", "4-6"]), [1, 4, 5, 6])
        with self.assertRaises(ValueError):
            parse_seeds(["x"])


if __name__ == "__main__":
    unittest.main()
