"""Random histories of five members for fixed seeds, with and without lost folders; `make soak` plays other seeds."""

import unittest

from tests.fleet.lease_soak import play, play_all

SEEDS = range(1, 201)
# The longest time from the end of all faults until the partition is held. The rules bound it as follows: a promise to
# another member (1.2 s) expires, twice where a vote was split; a holder that is alive and does not renew has 3.6 s, or
# a learning grantor one span and the time to read tables; then at most four delays of 0.3 s, a probe and a request
# follow, in a model with steps of 0.1 s and clocks that are 5% slow.
LONGEST_RECOVERY_US = 9_600_000


class LeaseSoakTest(unittest.TestCase):
    def test_every_history_keeps_the_invariants_and_recovers_in_time(self) -> None:
        played = play_all(SEEDS)
        self.assertEqual([each for each in played if each.finding], [])
        self.assertEqual([each for each in played if each.recovery_us > LONGEST_RECOVERY_US], [])
        self.assertGreater(sum(each.recovery_us > 0 for each in played), len(played) * 0.9)

    def test_a_seed_determines_the_history(self) -> None:
        self.assertEqual(play(7, folders_lost=True), play(7, folders_lost=True))


if __name__ == "__main__":
    unittest.main()
