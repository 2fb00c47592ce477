"""Tests the parts of the fleet measurement that need no processes: tables, cost per message, relayed bodies."""

import unittest

from cedarwick.fleet.messages import PeerMessage, ReplicaAck, encode
from cedarwick.lab.fleetbench import ResultTable, cost_per_message, format_cell, relayed_body


class TablesTest(unittest.TestCase):
    def test_a_cell_has_the_median_with_minimum_and_maximum(self) -> None:
        self.assertEqual(format_cell([3.0, 1.0, 2.5]), "2.50 (1.00 to 3.00)")
        self.assertEqual(format_cell([1234.4, 1234.2]), "1,234")  # minimum and maximum are the same when rounded

    def test_rows_are_in_the_order_of_their_first_turns(self) -> None:
        results = ResultTable(lambda _: None)
        for value in (1.0, 3.0):
            results.add("own", {"p99": value})
            results.add("alone", {"p99": 10 * value})
        self.assertEqual(
            results.table("ack").splitlines(),
            ["| ack | p99 |", "| --- | --- |", "| own | 2.00 (1.00 to 3.00) |", "| alone | 20.0 (10.0 to 30.0) |"],
        )


class RelayedMessagesTest(unittest.TestCase):
    def test_cost_without_messages_is_subtracted(self) -> None:
        self.assertEqual(cost_per_message(loaded=1500, seconds=10, idle=100, idle_seconds=2, messages=100), 10)
        self.assertEqual(cost_per_message(500, 10, 100, 2, 0), 0)  # no message was accepted

    def test_the_peer_message_after_an_http_head_is_decoded(self) -> None:
        acknowledgement = ReplicaAck(7, 2, 5)
        encoded = encode(PeerMessage(1, 1, "bench", "n0", 1, "n1", acknowledgement))
        self.assertEqual(
            relayed_body(b"POST /fleet/1 HTTP/1.1\r\nContent-Length: 9\r\n\r\n" + encoded), acknowledgement
        )
