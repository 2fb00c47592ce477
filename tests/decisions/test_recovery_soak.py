"""Drawn outages that once broke the rule on returning destinations, with their stories; more seeds: `make soak`."""

import unittest

from tests.decisions.recovery_soak import Play


class SeedsThatFellTest(unittest.TestCase):
    def test_a_receiver_was_ejected_and_its_mates_got_what_it_no_longer_got(self) -> None:
        """Seen: 67 senders, four receivers that hang; 16 calls within 2 s, 2.4 s after the return, 88% from senders
        that had seen calls time out. Cause: the first failure ejected one receiver, and the others, which had failed
        nobody yet, got what was held at full rate. Proof: the trace of one sender's calls and states around the return.
        """
        self.assertEqual(Play.drawn(606).finding(606), "")

    def test_refusals_and_returning_rates_count_for_the_destination_and_not_for_each_receiver(self) -> None:
        """Seen: 36 senders, four receivers that refuse all calls; 20 calls within 1.5 s, 1.9 s after the return, 95% of
        them from senders that had been refused. Cause: refusals were counted for each receiver, so none had enough of them to be
        shut, and each of the four got the floor of the returning rate that is one destination's. Proof: with refusals
        counted together alone 18 of 20 senders were suspect and it fell all the same; with the floors shared it stands.
        """
        self.assertEqual(Play.drawn(1043).finding(1043), "")


if __name__ == "__main__":
    unittest.main()
