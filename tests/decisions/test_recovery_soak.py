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


if __name__ == "__main__":
    unittest.main()
