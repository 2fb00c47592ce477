"""Connections to receivers that get input which no call asked for.

Guards against an incident (`docs/incidents/2026-12-04-answers-taken-for-other-calls.md`): a second copy of an answer
was taken for the answer to the next call on its connection.
"""

import socket
import threading
import time
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import gevent
import gevent.socket
from loguru import logger

from cedarwick.decisions.connection_reuse import AT_MOST_ONCE_QUIET_PERIOD, MIN_QUIET_PERIOD, ConnectionReuse
from cedarwick.net import connections
from cedarwick.net.clock import Clock
from cedarwick.net.connections import ConnectionPool
from cedarwick.net.counters import Counters
from cedarwick.net.descriptors import RESERVED_DESCRIPTORS, DescriptorBudget
from cedarwick.net.receiver_connection import Connection
from cedarwick.net.sockets import open_connection
from cedarwick.net.submission import Submission
from cedarwick.store.records import StoredMessage
from tests.build import reply
from tests.net.test_retry_after import Partner, PartnerTestCase

MIN_QUIET_S = MIN_QUIET_PERIOD / 1_000_000


def run_until(condition: Callable[[], Any], timeout_s: float = 4.0) -> None:
    """Let the greenlets run until the condition holds; unlike `wait_for_condition`, never block their event loop."""
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(0.0005)


class AnswersOfOtherCallsTest(PartnerTestCase):
    """A copy of the answer to the call before and the first byte of the next call, in both orders."""

    def setUp(self) -> None:
        self.calls_by_socket: dict[socket.socket, list[float]] = {}  # when each call arrived on a connection
        self.delivered: list[str] = []  # answered 200 under their own name

    def answer(self, sock: socket.socket, status: int) -> None:
        if status == 200:
            self.delivered.append(self.partner.arrived[-1][1])
        sock.sendall(reply(status))

    def deliver_two(self) -> None:
        """Submit a message, and the next one as soon as the first is delivered; wait until both are."""
        self.submit("first")
        run_until(lambda: self.counters.counts["messages over: completed"] == 1, 2.0)
        self.submit("second")
        run_until(lambda: self.counters.counts["messages over: completed"] == 2, 4.0)

    # Guards against: the copy comes first, and is read as the answer to a call that was refused.
    def test_a_copy_before_the_next_call_delivers_nothing(self) -> None:
        def play(partner: Partner, sock: socket.socket, number: int) -> None:
            self.answer(sock, 200 if number != 2 else 503)
            if number == 1:
                sock.sendall(reply(200))

        self.start(play)
        self.deliver_two()
        self.assertEqual(self.delivered, ["first", "second"])

    # Guards against: the next call comes first, and the copy, a few milliseconds later, ends it.
    def test_a_copy_after_the_first_byte_of_the_next_call_delivers_nothing(self) -> None:
        def play(partner: Partner, sock: socket.socket, number: int) -> None:
            earlier = self.calls_by_socket.setdefault(sock, [])
            if earlier and time.monotonic() - earlier[-1] < MIN_QUIET_S:
                sock.sendall(reply(200))  # the copy of the answer before
                time.sleep(0.1)
            earlier.append(time.monotonic())
            self.answer(sock, 200 if number != 2 else 503)

        self.start(play)
        self.deliver_two()
        self.assertEqual(self.delivered, ["first", "second"])


class AnswerBeforeTheRequestTest(PartnerTestCase):
    """An answer that comes before the request has been written whole, which is larger than the sockets' buffers."""

    BODY = b"b" * 60_000
    BUFFER_BYTES = 4096

    def play_first_call(self, answer: bytes) -> None:
        """Answer the first call after a part of it, and break it off; complete all others."""
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.BUFFER_BYTES)
        self.addCleanup(listener.close)
        self.calls_read_whole = 0

        def serve() -> None:
            first, _ = listener.accept()
            with first:
                first.recv(100)
                first.sendall(answer)
                time.sleep(0.05)
            second, _ = listener.accept()
            with second, second.makefile("rb") as stream:
                while stream.readline() not in (b"\r\n", b""):
                    pass
                self.calls_read_whole += len(stream.read(len(self.BODY))) == len(self.BODY)
                second.sendall(reply(200))

        threading.Thread(target=serve, daemon=True).start()
        self.start(lambda partner, sock, number: None)
        self.connections.address_of = lambda _: listener.getsockname()

    def open_with_small_buffer(self, address: tuple[str, int], timeout_s: float) -> gevent.socket.socket:
        sock = open_connection(address, timeout_s)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.BUFFER_BYTES)
        return sock

    def submit_large(self) -> None:
        deadline = self.clock.now() + 8_000_000
        self.dispatcher.submit(Submission(StoredMessage(0, "large", "", 0, "once", "", 0, deadline, self.BODY)))

    # Guards against: a 200 that came before the request delivers a message that the receiver has never got.
    def test_a_200_before_the_last_byte_of_the_request_delivers_nothing(self) -> None:
        for answer in (reply(200), reply(410), reply(500)):
            with self.subTest(answer), mock.patch.object(connections, "open_connection", self.open_with_small_buffer):
                self.play_first_call(answer)
                self.submit_large()
                run_until(lambda: self.counters.counts["messages over: completed"])
                self.assertEqual(self.calls_read_whole, 1)
                self.assertEqual(self.counters.counts["attempts without an answer: connect failed"], 1)

    def test_a_refusal_before_the_last_byte_of_the_request_is_heeded(self) -> None:
        with mock.patch.object(connections, "open_connection", self.open_with_small_buffer):
            self.play_first_call(reply(429, "X-Backoff-Ms: 300"))
            self.submit_large()
            run_until(lambda: self.counters.counts["messages over: completed"])
        self.assertEqual((self.calls_read_whole, self.counters.counts["answers 429"]), (1, 1))


class ConnectionPoolTest(unittest.TestCase):
    """Which connection a call gets, and when, while connections are not quiet for long enough."""

    def setUp(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.clock, self.counters, self.reuse = Clock(), Counters(), ConnectionReuse()
        self.descriptors = DescriptorBudget(RESERVED_DESCRIPTORS + 16)
        self.pool = ConnectionPool(
            self.clock,
            self.counters,
            self.descriptors,
            lambda _: self.listener.getsockname(),
            5_000_000,
            500_000,
            self.reuse,
        )
        self.addCleanup(self.pool.close_idle, 1)

    def acquire(self, at_most_once: bool = False) -> Connection:
        return self.pool.acquire(1, self.clock.now() + 2_000_000, at_most_once=at_most_once)

    def answered_connection(self) -> tuple[Connection, socket.socket]:
        """Return a connection that has just been given back after an answer, and its receiver's end."""
        connection = self.acquire()
        receiver_end, _ = self.listener.accept()
        self.addCleanup(receiver_end.close)
        connection.call_begins("m")
        connection.call_answered(self.clock.now(), 200)
        self.pool.release(connection, usable=True)
        return connection, receiver_end

    def without_spares(self) -> None:
        patched = mock.patch.object(self.pool, "_open_spare")
        patched.start()
        self.addCleanup(patched.stop)

    def quiet_for(self, connection: Connection) -> int:
        return self.clock.now() - connection.answered_at

    def test_a_call_waits_until_its_connection_is_quiet_for_long_enough(self) -> None:
        self.without_spares()
        connection, _ = self.answered_connection()
        self.assertIs(self.acquire(), connection)
        self.assertGreaterEqual(self.quiet_for(connection), MIN_QUIET_PERIOD)
        self.assertLess(self.quiet_for(connection), MIN_QUIET_PERIOD + 100_000)

    def test_a_call_that_is_sent_at_most_once_gets_no_connection_before_its_longer_quiet_period(self) -> None:
        self.without_spares()
        connection, _ = self.answered_connection()
        gevent.sleep(MIN_QUIET_S)
        other = self.acquire(at_most_once=True)
        self.assertTrue(other is not connection or self.quiet_for(connection) >= AT_MOST_ONCE_QUIET_PERIOD)

    # Guards against: an attempt that is aborted while it waits (its session moves) takes the connection with it.
    def test_an_aborted_wait_returns_the_connection(self) -> None:
        self.without_spares()
        connection, _ = self.answered_connection()
        waiting = gevent.spawn(self.acquire)
        gevent.sleep(MIN_QUIET_S / 4)
        self.assertEqual(list(self.pool.reserved), [connection])
        waiting.kill()
        self.assertEqual((self.pool.reserved, list(self.pool.idle[1])), ({}, [connection]))

    def test_a_spare_connection_that_is_up_first_ends_the_wait(self) -> None:
        connection, _ = self.answered_connection()
        spare = self.acquire()
        self.assertEqual((spare.calls, spare.number), (0, 2))
        self.assertLess(self.quiet_for(connection), MIN_QUIET_PERIOD)
        self.assertEqual((list(self.pool.idle[1]), self.pool.reserved), ([connection], {}))
        self.pool.release(spare, usable=True)

    def test_a_spare_connection_is_not_opened_at_the_limit_of_descriptors(self) -> None:
        self.descriptors.set_limit(RESERVED_DESCRIPTORS + 8)
        connection, _ = self.answered_connection()
        self.descriptors.used += 7
        self.assertIs(self.acquire(), connection)
        self.assertEqual(self.counters.counts["links opened"], 1)

    def test_a_spare_connection_to_a_released_receiver_is_closed(self) -> None:
        self.answered_connection()
        waiting = gevent.spawn(self.acquire)
        gevent.sleep(0)
        self.assertEqual(self.pool.receivers_with_spare, {1})
        self.pool.close_idle(1)
        waiting.join()
        run_until(lambda: self.counters.counts["links closed"] == 1, 1.0)
        self.assertEqual(self.descriptors.used, 1)

    def test_a_copy_within_the_quiet_period_closes_the_connection_and_the_call_gets_another(self) -> None:
        self.without_spares()
        connection, receiver_end = self.answered_connection()
        waiting = gevent.spawn(self.acquire)
        gevent.sleep(MIN_QUIET_S / 4)
        receiver_end.sendall(reply(200))
        self.assertIsNot(waiting.get(timeout=MIN_QUIET_S), connection)
        self.assertTrue(connection.closed)
        delay = self.reuse.repeated_answers[1].delay / 1_000_000
        self.assertTrue(MIN_QUIET_S / 4 <= delay < MIN_QUIET_S, delay)

    def test_after_a_late_copy_the_next_connection_is_kept_quiet_for_longer(self) -> None:
        self.without_spares()
        _, receiver_end = self.answered_connection()
        gevent.sleep(MIN_QUIET_S + 0.01)
        receiver_end.sendall(reply(200))
        run_until(lambda: self.reuse.repeated_answers, 1.0)
        connection, _ = self.answered_connection()
        gevent.sleep(MIN_QUIET_S)
        other = self.acquire()
        self.assertTrue(other is not connection or self.quiet_for(connection) > 3 * MIN_QUIET_PERIOD)

    def test_a_connection_that_would_be_quiet_for_longer_than_it_lives_is_closed(self) -> None:
        self.reuse.answer_repeated(self.clock.now(), 1, self.pool.idle_lifetime_us)
        connection, _ = self.answered_connection()
        self.assertTrue(connection.closed)
        self.assertEqual(self.pool.idle, {})

    def test_other_bytes_and_the_end_of_a_connection_do_not_make_quiet_periods_longer(self) -> None:
        for act in (lambda end: end.sendall(b"\r\n"), socket.socket.close):
            connection, receiver_end = self.answered_connection()
            act(receiver_end)
            run_until(lambda connection=connection: connection.closed, 1.0)  # type: ignore[misc]
        self.assertEqual(self.reuse.repeated_answers, {})


class UnexpectedInputTest(PartnerTestCase):
    """Input on a connection that carries no call is logged with what an operator needs, and closes the connection."""

    def setUp(self) -> None:
        self.logged: list[str] = []
        sink = logger.add(self.logged.append, format="{message}", level="WARNING")
        self.addCleanup(logger.remove, sink)

    def deliver_first(self) -> None:
        self.submit("first")
        run_until(lambda: self.counters.counts["links closed"], 2.0)

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
        self.assertIn("\nsender_unexpected_answers_total 1.0\n", self.counters.metrics.text(0, 0, 0))

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
