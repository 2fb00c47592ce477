"""Drawn histories of five members, by seed, with and without lost folders; `make soak` plays any others."""

import unittest

from tests.fleet.lease_soak import play, play_all

SEEDS = range(1, 201)
# The longest time from the end of all faults until somebody holds the partition, microseconds. What the rules promise:
# a promise to another member (1.2 s) runs out, twice where a vote was split; a holder that is alive and does not renew
# is given 3.6 s, or a learning grantor one span and its tables; then at most four turns of 0.3 s, a probe and a request
# in a model that moves in steps of 0.1 s, with clocks 5% slow.
LONGEST_RECOVERY_US = 9_600_000


class LeaseSoakTest(unittest.TestCase):
    def test_no_history_breaks_a_claim_and_somebody_holds_the_partition_in_time(self) -> None:
        played = play_all(SEEDS)
        self.assertEqual([each for each in played if each.finding], [])
        self.assertEqual([each for each in played if each.recovery_us > LONGEST_RECOVERY_US], [])
        self.assertGreater(sum(each.recovery_us > 0 for each in played), len(played) * 0.9)

    def test_a_seed_plays_the_same_history_again(self) -> None:
        self.assertEqual(play(7, folders_lost=True), play(7, folders_lost=True))


if __name__ == "__main__":
    unittest.main()
