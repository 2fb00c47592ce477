"""How long a connection must be quiet after an answer before its next call, by the copies that were seen."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarwick.decisions.connection_reuse import (
    AT_MOST_ONCE_QUIET_PERIOD,
    EVIDENCE_LIFETIME,
    MAX_SHARED_QUIET_PERIOD,
    MIN_QUIET_PERIOD,
    QUIET_PERIOD_PER_DELAY,
    ConnectionReuse,
)
from tests.build import MS, NOW

LATE = MIN_QUIET_PERIOD  # a copy that is so late makes quiet periods longer
SIGHTINGS = st.lists(st.tuples(st.integers(1, 4), st.integers(0, 2_000 * MS), st.integers(0, 60_000 * MS)), max_size=12)


class ConnectionReuseTest(unittest.TestCase):
    def test_without_copies_the_shortest_periods_apply(self) -> None:
        reuse = ConnectionReuse()
        self.assertEqual(reuse.quiet_period(NOW, 1, at_most_once=False), MIN_QUIET_PERIOD)
        self.assertEqual(reuse.quiet_period(NOW, 1, at_most_once=True), AT_MOST_ONCE_QUIET_PERIOD)

    def test_a_late_copy_makes_the_quiet_period_of_its_receiver_longer(self) -> None:
        reuse = ConnectionReuse()
        reuse.answer_repeated(NOW, 1, LATE)
        self.assertEqual(reuse.quiet_period(NOW, 1, False), LATE * QUIET_PERIOD_PER_DELAY)
        self.assertEqual(reuse.quiet_period(NOW, 2, False), MIN_QUIET_PERIOD)

    def test_late_copies_at_two_receivers_make_all_quiet_periods_longer(self) -> None:
        reuse = ConnectionReuse()
        for receiver, delay in ((1, 2 * LATE), (2, LATE)):
            reuse.answer_repeated(NOW, receiver, delay)
        self.assertEqual(reuse.quiet_period(NOW, 3, False), LATE * QUIET_PERIOD_PER_DELAY)
        reuse.answer_repeated(NOW, 2, 100 * MAX_SHARED_QUIET_PERIOD)
        reuse.answer_repeated(NOW, 1, 100 * MAX_SHARED_QUIET_PERIOD)
        self.assertEqual(reuse.quiet_period(NOW, 3, False), MAX_SHARED_QUIET_PERIOD)

    def test_a_copy_counts_for_its_lifetime_after_the_last_one_was_seen(self) -> None:
        reuse = ConnectionReuse()
        reuse.answer_repeated(NOW, 1, LATE)
        reuse.answer_repeated(NOW + EVIDENCE_LIFETIME, 1, 0)
        self.assertGreater(reuse.quiet_period(NOW + 2 * EVIDENCE_LIFETIME, 1, False), MIN_QUIET_PERIOD)
        self.assertEqual(reuse.quiet_period(NOW + 2 * EVIDENCE_LIFETIME + 1, 1, False), MIN_QUIET_PERIOD)
        self.assertEqual(reuse.repeated_answers, {})

    @given(SIGHTINGS)
    @settings(derandomize=True, max_examples=300)
    def test_the_quiet_period_covers_each_copy_that_its_receiver_has_shown(
        self, sightings: list[tuple[int, int, int]]
    ) -> None:
        reuse, now, longest = ConnectionReuse(), NOW, dict.fromkeys(range(1, 5), 0)
        for receiver, delay, gap in sightings:
            now += gap
            reuse.answer_repeated(now, receiver, delay)
            longest[receiver] = max(delay, longest[receiver])
        for receiver, delay in longest.items():
            if now - NOW <= EVIDENCE_LIFETIME:
                self.assertGreaterEqual(reuse.quiet_period(now, receiver, False), delay * QUIET_PERIOD_PER_DELAY)
            self.assertGreaterEqual(reuse.quiet_period(now, receiver, True), AT_MOST_ONCE_QUIET_PERIOD)


if __name__ == "__main__":
    unittest.main()
