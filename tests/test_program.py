"""End-to-end tests of the sender process, with fake clients, receivers and a fake platform on real sockets."""

import contextlib
import json
import os
import select
import signal
import socket
import subprocess
import sys
import threading
import time
import unittest
from unittest import mock

from cedarwick.net.clock import Clock
from tests.build import (
    Answering,
    Platform,
    Program,
    Receiver,
    encode_command,
    encode_submit,
    read_line,
    reply,
    send_command,
    wait_for_condition,
)

OK = b"+OK\r\n"


class RunningTestCase(unittest.TestCase):
    def start_program(self, *answers: Answering, **limits: float) -> Program:
        """Start a program with one receiver for each answer: bytes, a function of the call number, or None (silent)."""
        receivers = [Receiver(answer) for answer in answers]
        program = Program(receivers, **limits)
        self.addCleanup(program.close)
        program.start()
        return program

    def send_requests(self, program: Program, *requests: bytes) -> list[bytes]:
        with program.connect() as sock:
            sock.sendall(b"".join(requests))
            return [read_line(sock) for _ in requests]


class ClockAtStartTest(unittest.TestCase):
    """A start that used more than its share of a core, on a platform that enforces the share through the clock."""

    def test_the_start_waits_until_the_clock_advances_but_not_for_ever(self) -> None:
        for stopped_sleeps, advanced in ((0, True), (3, True), (1 << 30, False)):
            with self.subTest(stopped_sleeps=stopped_sleeps):
                clock = Clock()
                sleeps: list[float] = []

                def sleep(seconds: float, sleeps: list[float] = sleeps) -> None:
                    sleeps.append(seconds)

                def now(stopped_sleeps: int = stopped_sleeps, sleeps: list[float] = sleeps) -> int:
                    return round(sum(sleeps[stopped_sleeps:]) * 1_000_000)

                with mock.patch.object(clock, "now", now), mock.patch("gevent.sleep", sleep):
                    self.assertEqual(clock.wait_until_advancing(), advanced)
                self.assertLessEqual(len(sleeps), 100)
                self.assertGreaterEqual(len(sleeps), min(stopped_sleeps, 100))

    def test_no_client_is_answered_before_the_clock_is_in_step(self) -> None:
        program = Program([Receiver(reply(200))])
        self.addCleanup(program.close)
        code = (
            "import gevent, sys; from cedarwick import program; from cedarwick.net import clock; "
            "clock.Clock.wait_until_advancing = lambda self: not gevent.sleep(0.8); sys.exit(program.main())"
        )
        program.command = ("-c", code)
        program.process = program.spawn()
        sock = wait_for_condition(lambda: self._connected(program))
        self.addCleanup(sock.close)
        sock.settimeout(0.4)
        sock.sendall(encode_command(b"PING"))
        with self.assertRaises(TimeoutError):
            sock.recv(1)
        sock.settimeout(5)
        self.assertTrue(read_line(sock))  # the answer may be LOADING: the endpoint list is not known yet
        wait_for_condition(program._ready)

    def _connected(self, program: Program) -> socket.socket | None:
        try:
            return program.connect()
        except OSError:
            return None


class ServingTest(RunningTestCase):
    def test_a_message_is_delivered_unchanged(self) -> None:
        program = self.start_program(reply(200))
        body = bytes(range(256)) * 256
        request = encode_command(b"SUBMIT", b"0" * 16, b"id-1", b"c=free,d=8000,k=abc,dest=0,again=1", body)
        with program.connect() as sock:
            for offset in range(0, len(request), 9999):
                sock.sendall(request[offset : offset + 9999])
                time.sleep(0.002)
            self.assertEqual(read_line(sock), OK)
        _, head, received = wait_for_condition(lambda: program.receivers[0].calls)[0]
        self.assertEqual(received, body)
        self.assertTrue(head.startswith(b"POST /receive HTTP/1.1\r\n"))
        self.assertIn(b"\r\nX-Txn: id-1\r\n", head)
        self.assertIn(b"\r\nIdempotency-Key: abc\r\n", head)

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        program = self.start_program(reply(200))
        answers = self.send_requests(
            program,
            encode_command(b"PING"),
            encode_submit("a"),
            encode_submit("b"),
            encode_command(b"NONSENSE"),
            encode_submit("c", priority_class="unheard-of"),
            encode_command(b"ping"),
        )
        self.assertEqual(
            answers, [b"+PONG\r\n", OK, OK, b"-ERR unknown command\r\n", b"-ERR unknown class\r\n", b"+PONG\r\n"]
        )

    def test_a_repeated_request_is_accepted_only_once(self) -> None:
        program = self.start_program(None)
        self.assertEqual(self.send_requests(program, encode_submit("a"), encode_submit("a")), [OK, OK])
        time.sleep(0.2)
        self.assertEqual(len(program.receivers[0].calls), 1)

    def test_a_connection_is_reused_unless_the_receiver_closes_it(self) -> None:
        program = self.start_program(reply(200, body=b"fine"), reply(200, "Connection: close"))
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
        program.receivers[0].answer = lambda call: chunked if call % 2 else reply(200)
        for number in range(3):
            for dest in (0, 1):
                self.send_requests(program, encode_submit(f"{dest}-{number}", dest=dest))
                wait_for_condition(lambda: len(program.receivers[dest].calls) > number)  # noqa: B023
                time.sleep(0.05)
        self.assertEqual([receiver.connections for receiver in program.receivers], [1, 3])

    def test_a_retry_after_wait_is_respected(self) -> None:
        program = self.start_program(lambda call: reply(200) if call > 1 else reply(429, "X-Backoff-Ms: 400"))
        self.send_requests(program, encode_submit("a"))
        calls = wait_for_condition(lambda: len(program.receivers[0].calls) > 1 and program.receivers[0].calls)
        self.assertGreaterEqual(calls[1][0] - calls[0][0], 0.4)

    def test_a_draining_receiver_gets_no_new_attempts(self) -> None:
        program = self.start_program(reply(200))
        program.platform.list_updates.put({"rev": 2, "all": False, "targets": [program.target(0, "draining")]})
        wait_for_condition(program.platform.list_updates.empty)
        time.sleep(0.1)
        self.send_requests(program, encode_submit("a", d=400))
        wait_for_condition(lambda: program.platform.notices)
        self.assertEqual(program.platform.notices, [{"id": "a", "state": "returned"}])
        self.assertEqual(program.receivers[0].calls, [])


class FaultsTest(RunningTestCase):
    def test_a_malformed_request_is_answered_with_an_error_and_a_close(self) -> None:
        program = self.start_program(reply(200))
        for request in (
            b"GET / HTTP/1.1\r\n\r\n",
            b"*1\r\n$-1\r\n",
            b"*99999\r\n",
            b"*1\r\n$70000\r\n",
            b"*1\r\n$1\r\nab\r\n",
            b"*" + b"1" * 100,
            b"\x00\xff",
        ):
            with self.subTest(request=request), program.connect() as sock:
                sock.sendall(request)
                self.assertTrue(read_line(sock).startswith(b"-ERR "))
                self.assertEqual(sock.recv(1), b"")
        self.assertEqual(self.send_requests(program, encode_command(b"PING")), [b"+PONG\r\n"])

    def test_an_invalid_submit_is_answered_with_an_error_and_no_close(self) -> None:
        program = self.start_program(reply(200))
        injection = encode_command(b"SUBMIT", b"0", b"a\r\nX-More: 1", b"c=free,d=1000,dest=0", b"")
        answers = self.send_requests(
            program, encode_command(b"SUBMIT", b"0"), injection, encode_submit("a", d=-1), encode_command(b"PING")
        )
        self.assertEqual([answer[:4] for answer in answers], [b"-ERR"] * 3 + [b"+PON"])

    def test_an_unreadable_answer_counts_as_a_reset_and_an_at_most_once_message_is_not_repeated(self) -> None:
        program = self.start_program(b"SSH-2.0-nothing\r\n\r\n" * 50)
        self.send_requests(program, encode_submit("a", priority_class="once"))
        wait_for_condition(lambda: program.platform.notices)
        self.assertEqual(program.platform.notices, [{"id": "a", "state": "failed"}])
        self.assertEqual(len(program.receivers[0].calls), 1)

    def test_in_an_invalid_answer_only_the_status_200_counts(self) -> None:
        def head(status: int, rest: bytes) -> bytes:
            return b"HTTP/1.1 %d X\r\n" % status + rest

        endless = b"Content-Length: 3000000000\r\n\r\n" + bytes(400_000)
        for rest in (
            b"\x00\xff\r\n\r\n",
            b"Content-Length: -5\r\n\r\n",
            b"Content-Length: 9\r\n\r\nshort",
            b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"X: never ends",
            endless,
        ):
            answers = [head(status, rest) for status in (200, 429, 410, 503, 504)]
            with self.subTest(rest=rest[:40]):
                program = self.start_program(*answers)
                self.send_requests(
                    program, *(encode_submit(str(dest), priority_class="once", dest=dest) for dest in range(5))
                )
                wait_for_condition(lambda: len(program.platform.notices) == 4)  # noqa: B023
                self.assertEqual(
                    {(notice["id"], notice["state"]) for notice in program.platform.notices},
                    {(str(dest), "failed") for dest in range(1, 5)},
                )
                self.assertEqual([len(receiver.calls) for receiver in program.receivers], [1] * 5)

    def test_an_answer_followed_by_unexpected_bytes_counts_but_its_connection_is_closed(self) -> None:
        program = self.start_program(reply(200) + reply(503), reply(200) + b"\x00")
        for number in range(2):
            self.send_requests(program, encode_submit(f"a{number}"), encode_submit(f"b{number}", dest=1))
            wait_for_condition(lambda: all(len(receiver.calls) > number for receiver in program.receivers))  # noqa: B023
            time.sleep(0.1)
        self.assertEqual(
            ([receiver.connections for receiver in program.receivers], program.platform.notices), ([2, 2], [])
        )

    def test_a_message_that_was_never_attempted_is_returned_before_its_deadline(self) -> None:
        program = self.start_program(reply(200))
        program.receivers[0].close()
        started_at = time.monotonic()
        self.assertEqual(self.send_requests(program, encode_submit("a", priority_class="once", d=900)), [OK])
        wait_for_condition(lambda: program.platform.notices)
        self.assertLess(time.monotonic() - started_at, 2.0)
        self.assertEqual(program.platform.notices, [{"id": "a", "state": "returned"}])

    def test_a_notice_is_repeated_until_it_is_acknowledged(self) -> None:
        program = self.start_program(reply(500))
        program.platform.posts_to_refuse = 2
        self.send_requests(
            program, encode_submit("a", priority_class="once"), encode_submit("b", priority_class="once")
        )
        wait_for_condition(lambda: len(program.platform.notices) == 2)
        self.assertEqual(sorted(notice["id"] for notice in program.platform.notices), ["a", "b"])

    def test_a_timeout_closes_its_connection_before_the_next_attempt(self) -> None:
        program = self.start_program(lambda call: None if call == 1 else reply(200))
        self.send_requests(program, encode_submit("a"))
        wait_for_condition(lambda: len(program.receivers[0].calls) == 2)
        self.assertEqual(program.receivers[0].connections, 2)

    def test_an_early_answer_counts_although_the_request_was_not_read(self) -> None:
        program = self.start_program(reply(410))
        self.send_requests(program, encode_submit("a"))
        wait_for_condition(lambda: program.receivers[0].calls)
        time.sleep(0.2)
        self.assertEqual((len(program.receivers[0].calls), program.platform.notices), (1, []))

    def test_more_clients_than_descriptors_are_served(self) -> None:
        program = self.start_program(reply(200), sockets=84)
        clients = [program.connect() for _ in range(40)]
        for sock in clients:
            self.addCleanup(sock.close)
        self.assertEqual(self.send_requests(program, encode_submit("a")), [OK])

    def test_a_silent_client_or_an_incomplete_request_is_closed_within_three_seconds(self) -> None:
        program = self.start_program(reply(200))
        active = program.connect()
        self.addCleanup(active.close)
        active.sendall(encode_submit("a"))
        self.assertEqual(read_line(active), OK)
        started_at = time.monotonic()
        slow_clients = [program.connect() for _ in range(3)]
        for sock, sent in zip(slow_clients, (b"", b"*5\r\n$6\r\nSUBMIT\r\n", encode_command(b"PING")), strict=True):
            self.addCleanup(sock.close)
            sock.sendall(sent)
        self.assertEqual([sock.makefile("rb").read()[:4] for sock in slow_clients], [b"", b"-ERR", b"+PON"])
        self.assertLess(time.monotonic() - started_at, 3.0)
        self.assertEqual(send_command(active, b"PING"), b"+PONG\r\n")

    def test_a_body_that_is_too_long_is_refused_while_it_is_being_sent(self) -> None:
        program = self.start_program(reply(200))
        with program.connect() as sock, contextlib.suppress(OSError):
            sock.sendall(b"*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$1\r\na\r\n$1\r\nc\r\n$60000000\r\n")
            self.assertTrue(read_line(sock).startswith(b"-ERR"))
            for _ in range(60):
                sock.sendall(bytes(1_000_000))
            self.fail("the whole body was read")

    def test_a_client_that_repeats_an_invalid_request_is_delayed_and_closed(self) -> None:
        program = self.start_program(reply(200))
        with program.connect() as bad_client:
            bad_client.sendall(encode_submit("a", priority_class="unheard-of") * 300)
            self.assertTrue(read_line(bad_client).startswith(b"-ERR"))
            started_at = time.monotonic()
            self.assertEqual(self.send_requests(program, encode_submit("b")), [OK])
            self.assertLess(time.monotonic() - started_at, 0.1)
            with contextlib.suppress(ConnectionResetError):
                self.assertLess(len(bad_client.makefile("rb").read().splitlines()), 20)

    def test_served_clients_are_closed_before_one_whose_first_request_may_be_in_transit(self) -> None:
        program = self.start_program(reply(200), sockets=84)
        new_client = program.connect()
        self.addCleanup(new_client.close)
        for number in range(40):
            sock = program.connect()
            self.addCleanup(sock.close)
            sock.sendall(encode_submit(f"a{number}"))
            self.assertEqual(read_line(sock), OK)
        new_client.sendall(encode_submit("late"))
        self.assertEqual(read_line(new_client), OK)

    def test_a_full_folder_causes_messages_to_be_refused(self) -> None:
        program = self.start_program(None, disk_mb=0.2)
        answers = [
            self.send_requests(program, encode_submit(f"e{number}", body=bytes(30_000)))[0] for number in range(4)
        ]
        self.assertEqual(answers, [OK, OK, OK, b"-BUSY\r\n"])
        used_bytes = sum(
            os.path.getsize(os.path.join(program.path("state"), name)) for name in os.listdir(program.path("state"))
        )
        self.assertLess(used_bytes, 0.2 * (1 << 20))

    def test_an_answer_that_arrived_in_time_counts_after_the_process_was_stopped(self) -> None:
        def answer_soon(_: int) -> bytes:
            time.sleep(0.2)
            return reply(200)

        program = self.start_program(answer_soon)
        self.send_requests(program, encode_submit("a", priority_class="once", d=1000))
        wait_for_condition(lambda: program.receivers[0].calls)
        program.signal(signal.SIGSTOP)
        time.sleep(1.2)
        program.signal(signal.SIGCONT)
        time.sleep(0.3)
        self.assertEqual(program.platform.notices, [])
        self.assertIn('"answers 200": 1', program.terminate()[1])

    def test_the_message_of_a_client_that_left_while_the_process_was_stopped_is_withdrawn(self) -> None:
        program = self.start_program(reply(200))
        program.signal(signal.SIGSTOP)
        with program.connect() as sock:
            sock.sendall(encode_submit("a"))
        program.signal(signal.SIGCONT)
        time.sleep(0.3)
        self.assertEqual((program.receivers[0].calls, program.platform.notices), ([], []))

    def test_a_silent_watch_is_reopened(self) -> None:
        program = self.start_program(reply(200))
        program.platform.holds_watches = True
        program.platform.targets = [program.target(0, "draining")]
        wait_for_condition(lambda: program.platform.watches > 1)
        time.sleep(0.2)
        self.send_requests(program, encode_submit("a", d=400))
        wait_for_condition(lambda: program.platform.notices)
        self.assertEqual(program.receivers[0].calls, [])


class RestartsTest(RunningTestCase):
    def test_after_a_kill_an_idempotent_message_is_delivered(self) -> None:
        program = self.start_program(lambda call: None if call == 1 else reply(200))
        self.assertEqual(self.send_requests(program, encode_submit("a", body=b"kept")), [OK])
        wait_for_condition(lambda: program.receivers[0].calls)
        program.kill()
        program.start()
        calls = wait_for_condition(lambda: len(program.receivers[0].calls) > 1 and program.receivers[0].calls)
        self.assertEqual(calls[1][2], b"kept")

    def test_after_a_kill_an_at_most_once_message_in_flight_fails(self) -> None:
        program = self.start_program(None)
        self.send_requests(program, encode_submit("a", priority_class="once"))
        wait_for_condition(lambda: program.receivers[0].calls)
        program.kill()
        program.start()
        wait_for_condition(lambda: program.platform.notices)
        self.assertEqual(program.platform.notices, [{"id": "a", "state": "failed"}])
        self.assertEqual(len(program.receivers[0].calls), 1)

    def test_after_a_kill_a_completed_message_is_not_repeated(self) -> None:
        program = self.start_program(reply(200))
        self.send_requests(program, encode_submit("a"))
        wait_for_condition(lambda: program.receivers[0].calls)
        time.sleep(0.1)
        program.kill()
        program.start()
        time.sleep(0.3)
        self.assertEqual((len(program.receivers[0].calls), program.platform.notices), (1, []))

    def test_over_kills_and_shutdowns_each_stored_message_gets_one_final_answer(self) -> None:
        def answer_slowly(_: int) -> bytes:
            time.sleep(0.05)
            return reply(200)

        program = self.start_program(answer_slowly, answer_slowly)
        accepted: list[str] = []
        for run, stop in enumerate((program.kill, program.terminate, program.kill)):
            with program.connect() as sock:
                for number in range(16):
                    name, priority_class = f"{run}-{number}", ("free", "once")[number % 2]
                    sock.sendall(encode_submit(name, priority_class=priority_class, dest=number // 2 % 2))
                    if read_line(sock) == OK:
                        accepted.append(name)
            stop()
            program.start()

        def calls() -> list[str]:
            heads = [head for receiver in program.receivers for _, head, _ in receiver.calls]
            return [head.partition(b"X-Txn: ")[2].split(b"\r\n")[0].decode() for head in heads]

        self.assertEqual(len(accepted), 48)
        wait_for_condition(
            lambda: not set(accepted) - set(calls()) - {notice["id"] for notice in program.platform.notices}, 20.0
        )
        once = [name for name in calls() if int(name.partition("-")[2]) % 2]
        self.assertEqual(len(once), len(set(once)))

    def test_after_sigterm_a_message_is_still_delivered_once_its_wait_is_over(self) -> None:
        for wait_ms in (300, 1700):
            with self.subTest(wait_ms=wait_ms):
                self.check_delivery_after_wait(wait_ms)

    def check_delivery_after_wait(self, wait_ms: int) -> None:
        program = self.start_program(lambda call: reply(200) if call > 1 else reply(429, f"X-Backoff-Ms: {wait_ms}"))
        self.send_requests(program, encode_submit("a"))
        wait_for_condition(lambda: program.receivers[0].calls)
        status, log = program.terminate()
        self.assertEqual((status, len(program.receivers[0].calls)), (0, 2))
        self.assertIn('"answers 200": 1', log)

    def test_after_sigterm_attempts_in_flight_are_awaited_and_new_requests_refused(self) -> None:
        def answer_late(_: int) -> bytes:
            time.sleep(0.5)
            return reply(200)

        program = self.start_program(answer_late)
        self.send_requests(program, encode_submit("a", priority_class="once"))
        wait_for_condition(lambda: program.receivers[0].calls)
        program.signal(signal.SIGTERM)
        time.sleep(0.1)
        self.assertEqual(self.send_requests(program, encode_submit("b")), [b"-BUSY\r\n"])
        status, log = program.terminate()
        self.assertEqual(status, 0)
        counters = json.loads(log.partition("counters ")[2].splitlines()[0])
        self.assertEqual((counters["taken"], counters["answers 200"]), (1, 1))
        program.start()
        time.sleep(0.2)
        self.assertEqual((len(program.receivers[0].calls), program.platform.notices), (1, []))

    def test_after_sigterm_every_request_that_was_read_is_answered(self) -> None:
        program = self.start_program(reply(200))
        crossing_client, new_client = program.connect(), program.connect()
        self.addCleanup(crossing_client.close)
        self.addCleanup(new_client.close)
        self.assertEqual(send_command(crossing_client, b"PING"), b"+PONG\r\n")
        answered: list[bytes] = []

        def keep_sending(number: int) -> None:
            """Send one request after another until the sender closes the connection."""
            with program.connect() as sock, contextlib.suppress(OSError):
                for turn in range(10_000):
                    sock.sendall(encode_submit(f"{number}-{turn}"))
                    if not (line := read_line(sock)):
                        return
                    answered.append(line)

        clients = [threading.Thread(target=keep_sending, args=(number,)) for number in range(12)]
        for client in clients:
            client.start()
        time.sleep(0.2)
        partial_client = program.connect()
        self.addCleanup(partial_client.close)
        program.signal(signal.SIGTERM)
        signalled_at = time.monotonic()
        wait_for_condition(lambda: select.select([crossing_client], [], [], 0)[0])
        crossing_client.sendall(
            encode_submit("crosses")
        )  # the client has received our shutdown, but has not noticed it
        time.sleep(0.1)
        crossing_client.sendall(b"*")  # would fail after a reset
        self.assertEqual(crossing_client.recv(100), b"")
        new_client.sendall(encode_submit("fresh"))
        self.assertEqual(read_line(new_client), b"-BUSY\r\n")
        for client in clients:
            client.join()
        time.sleep(1.6 - (time.monotonic() - signalled_at))
        partial_client.sendall(encode_submit("slow")[:-5])
        self.assertEqual(read_line(partial_client), b"-BUSY\r\n")
        log = program.terminate()[1]
        self.assertIn(f'"handed in": {len(answered) + 1},', log)


class ReloadTest(RunningTestCase):
    def change_platform(self, program: Program) -> Platform:
        """Start a second platform that does not list receiver 0, and reload the configuration with its address."""
        platform = Platform([program.target(1)])
        self.addCleanup(platform.server_close)
        self.addCleanup(platform.shutdown)
        program.configure(discovery=f"127.0.0.1:{platform.server_address[1]}")
        program.signal(signal.SIGHUP)
        return platform

    def test_the_watch_and_the_notices_use_the_new_address_at_once(self) -> None:
        program = self.start_program(reply(200), reply(500))
        platform = self.change_platform(program)
        wait_for_condition(lambda: platform.watches)
        time.sleep(0.1)
        self.send_requests(program, encode_submit("gone", d=400), encode_submit("a", priority_class="once", dest=1))
        wait_for_condition(lambda: len(platform.notices) == 2)
        self.assertEqual(sorted(notice["id"] for notice in platform.notices), ["a", "gone"])
        self.assertEqual((program.receivers[0].calls, program.platform.notices), ([], []))

    def test_a_notice_without_an_answer_is_repeated_at_the_new_address(self) -> None:
        program = self.start_program(reply(200), reply(500))
        program.platform.holds_posts = True
        self.send_requests(program, encode_submit("a", priority_class="once", dest=1))
        wait_for_condition(lambda: program.platform.posts)
        started_at = time.monotonic()
        platform = self.change_platform(program)
        wait_for_condition(lambda: platform.notices)
        self.assertLess(time.monotonic() - started_at, 1.0)

    def test_an_unreadable_file_has_no_effect(self) -> None:
        program = self.start_program(reply(200))
        with open(program.path("config.json"), "w", encoding="utf-8") as file:
            file.write('{"name": "t0", "disc')
        program.signal(signal.SIGHUP)
        program.signal(signal.SIGHUP)
        time.sleep(0.2)
        self.assertEqual(self.send_requests(program, encode_submit("a")), [OK])
        self.assertEqual((program.platform.watches, program.terminate()[0]), (1, 0))

    def test_after_a_reload_a_restart_prefers_the_file_to_the_environment(self) -> None:
        program = self.start_program(reply(200), reply(500))
        platform = self.change_platform(program)
        wait_for_condition(lambda: platform.watches)
        program.kill()
        program.start(RELAY_DISCOVERY=f"127.0.0.1:{program.platform.server_address[1]}")
        wait_for_condition(lambda: platform.watches > 1)


class StartTest(unittest.TestCase):
    def test_an_invalid_assignment_causes_one_line_and_status_2(self) -> None:
        for variables in ({}, {"RELAY_CONFIG": "/nowhere"}, {"RELAY_CONFIG": __file__}):
            with self.subTest(variables=variables):
                result = subprocess.run(
                    [sys.executable, "-m", "cedarwick"], env={**os.environ, **variables}, capture_output=True, text=True
                )
                self.assertEqual((result.returncode, result.stderr.count("\n")), (2, 1))

    def test_printing_the_counters_does_not_end_the_process(self) -> None:
        program = Program([Receiver(lambda _: reply(200))])
        self.addCleanup(program.close)
        program.start()
        assert program.process is not None and program.process.stderr is not None
        log = program.process.stderr
        program.signal(signal.SIGUSR1)
        line = wait_for_condition(lambda: next((line for line in log if "counters" in line), ""))
        self.assertIn("clients accepted", line)
        with program.connect() as sock:
            self.assertEqual(send_command(sock, b"PING"), b"+PONG\r\n")


if __name__ == "__main__":
    unittest.main()
