"""The pure parts of the fleet's measurement: what a cell says, what is taken off, what a relay has seen."""

import unittest

from cedarwick.fleet.messages import PeerMessage, ReplicaAck, encode
from cedarwick.lab.fleetbench import ResultTable, cost_per_message, format_cell, relayed_body


class TablesTest(unittest.TestCase):
    def test_a_cell_is_the_median_with_its_spread(self) -> None:
        self.assertEqual(format_cell([3.0, 1.0, 2.5]), "2.50 (1.00 to 3.00)")
        self.assertEqual(format_cell([1234.4, 1234.2]), "1,234")  # no spread that shows

    def test_rows_stay_in_the_order_in_which_they_came(self) -> None:
        turns = ResultTable(lambda _: None)
        for value in (1.0, 3.0):
            turns.add("own", {"p99": value})
            turns.add("alone", {"p99": 10 * value})
        self.assertEqual(
            turns.table("ack").splitlines(),
            ["| ack | p99 |", "| --- | --- |", "| own | 2.00 (1.00 to 3.00) |", "| alone | 20.0 (10.0 to 30.0) |"],
        )


class RelayedBytesTest(unittest.TestCase):
    def test_what_is_there_without_messages_is_taken_off(self) -> None:
        self.assertEqual(cost_per_message(loaded=1500, seconds=10, idle=100, idle_seconds=2, messages=100), 10)
        self.assertEqual(cost_per_message(500, 10, 100, 2, 0), 0)  # none was taken

    def test_the_peer_message_behind_a_head_is_read(self) -> None:
        have = ReplicaAck(7, 2, 5)
        told = encode(PeerMessage(1, 1, "bench", "n0", 1, "n1", have))
        self.assertEqual(relayed_body(b"POST /fleet/1 HTTP/1.1\r\nContent-Length: 9\r\n\r\n" + told), have)
