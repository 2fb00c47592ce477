"""Connections to receivers that get input which no call asked for.

Guards against an incident (`docs/incidents/2026-12-04-answers-taken-for-other-calls.md`): a second copy of an answer
was taken for the answer to the next call on its connection.
"""

import socket
import time
import unittest

import gevent
from loguru import logger

from tests.build import reply, wait_for_condition
from tests.net.test_retry_after import Partner, PartnerTestCase


class UnexpectedInputTest(PartnerTestCase):
    """Input on a connection that carries no call is logged with what an operator needs, and closes the connection."""

    def setUp(self) -> None:
        self.logged: list[str] = []
        sink = logger.add(self.logged.append, format="{message}", level="WARNING")
        self.addCleanup(logger.remove, sink)

    def deliver_first(self) -> None:
        self.submit("first")
        wait_for_condition(lambda: gevent.sleep(0.005) or self.counters.counts["links closed"], 2.0)

    def assert_logged(self, *parts: str) -> None:
        (line,) = (line for line in self.logged if line.startswith("unexpected input on a link"))
        for part in ("receiver 1 at 127.0.0.1", "connection 1", "answer 200 to call 1 (message first)", *parts):
            self.assertIn(part, line)

    def test_a_second_copy_closes_the_idle_connection_and_is_logged(self) -> None:
        def answer_twice(partner: Partner, sock: socket.socket, number: int) -> None:
            sock.sendall(reply(200))
            time.sleep(0.03)
            sock.sendall(reply(200))

        self.start(answer_twice)
        self.deliver_first()
        self.assert_logged("b'HTTP/1.1 200", " ms after the", "CW304")
        self.assertEqual(self.counters.counts["answers that no call asked for"], 1)

    def test_a_copy_right_behind_its_answer_is_logged(self) -> None:
        self.start(lambda partner, sock, number: sock.sendall(reply(200) * 2))
        self.deliver_first()
        self.assert_logged("CW304")
        self.assertEqual(self.counters.counts["answers that no call asked for"], 1)

    def test_other_bytes_are_counted_apart_from_answers(self) -> None:
        def answer_and_ramble(partner: Partner, sock: socket.socket, number: int) -> None:
            sock.sendall(reply(200))
            time.sleep(0.03)
            sock.sendall(b"\r\n")

        self.start(answer_and_ramble)
        self.deliver_first()
        self.assert_logged(r"b'\r\n'")
        self.assertEqual(self.counters.counts["bytes that no call asked for"], 1)


if __name__ == "__main__":
    unittest.main()
