"""The program itself, spoken to over sockets by small stand-ins."""

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
from tests.build import Answering, Platform, Program, Receiver, ask, line_of, reply, submit, until, words

OK = b"+OK\r\n"


class RunningTestCase(unittest.TestCase):
    def begin(self, *answers: Answering, **limits: float) -> Program:
        """A started program with one receiver for each answer: bytes, a function of the call, or None."""
        receivers = [Receiver(each) for each in answers]
        program = Program(receivers, **limits)
        self.addCleanup(program.close)
        program.start()
        return program

    def hand_in(self, program: Program, *requests: bytes) -> list[bytes]:
        with program.connect() as sock:
            sock.sendall(b"".join(requests))
            return [line_of(sock) for _ in requests]


class ClockAtStartTest(unittest.TestCase):
    """A start that took more than its share of a core, on a platform that counts the share by the clock."""

    def test_the_clock_is_waited_for_until_it_moves_and_not_for_ever(self) -> None:
        for stands, moved in ((0, True), (3, True), (1 << 30, False)):
            with self.subTest(stands=stands):
                clock = Clock()
                slept: list[float] = []

                def sleep(seconds: float, slept: list[float] = slept) -> None:
                    slept.append(seconds)

                def now(stands: int = stands, slept: list[float] = slept) -> int:
                    return round(sum(slept[stands:]) * 1_000_000)

                with mock.patch.object(clock, "now", now), mock.patch("gevent.sleep", sleep):
                    self.assertEqual(clock.wait_until_advancing(), moved)
                self.assertLessEqual(len(slept), 100)
                self.assertGreaterEqual(len(slept), min(stands, 100))

    def test_no_client_is_answered_before_the_clock_is_in_step(self) -> None:
        program = Program([Receiver(reply(200))])
        self.addCleanup(program.close)
        late = (
            "import gevent, sys; from cedarwick import program; from cedarwick.net import clock; "
            "clock.Clock.wait_until_advancing = lambda self: not gevent.sleep(0.8); sys.exit(program.main())"
        )
        program.command = ("-c", late)
        program.process = program.spawn()
        sock = until(lambda: self._connected(program))
        self.addCleanup(sock.close)
        sock.settimeout(0.4)
        sock.sendall(words(b"PING"))
        with self.assertRaises(TimeoutError):
            sock.recv(1)
        sock.settimeout(5)
        self.assertTrue(line_of(sock))  # of the list it has heard nothing yet
        until(program._ready)

    def _connected(self, program: Program) -> socket.socket | None:
        try:
            return program.connect()
        except OSError:
            return None


class ServingTest(RunningTestCase):
    def test_a_message_goes_out_as_it_came_in(self) -> None:
        program = self.begin(reply(200))
        body = bytes(range(256)) * 256
        whole = words(b"SUBMIT", b"0" * 16, b"id-1", b"c=free,d=8000,k=abc,dest=0,again=1", body)
        with program.connect() as sock:
            for at in range(0, len(whole), 9999):
                sock.sendall(whole[at : at + 9999])
                time.sleep(0.002)
            self.assertEqual(line_of(sock), OK)
        _, head, got = until(lambda: program.receivers[0].calls)[0]
        self.assertEqual(got, body)
        self.assertTrue(head.startswith(b"POST /receive HTTP/1.1\r\n"))
        self.assertIn(b"\r\nX-Txn: id-1\r\n", head)
        self.assertIn(b"\r\nIdempotency-Key: abc\r\n", head)

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        program = self.begin(reply(200))
        answers = self.hand_in(
            program,
            words(b"PING"),
            submit("a"),
            submit("b"),
            words(b"NONSENSE"),
            submit("c", priority_class="unheard-of"),
            words(b"ping"),
        )
        self.assertEqual(
            answers, [b"+PONG\r\n", OK, OK, b"-ERR unknown command\r\n", b"-ERR unknown class\r\n", b"+PONG\r\n"]
        )

    def test_the_same_request_once_more_is_not_taken_twice(self) -> None:
        program = self.begin(None)
        self.assertEqual(self.hand_in(program, submit("a"), submit("a")), [OK, OK])
        time.sleep(0.2)
        self.assertEqual(len(program.receivers[0].calls), 1)

    def test_a_link_is_used_again_unless_the_receiver_closes_it(self) -> None:
        program = self.begin(reply(200, body=b"fine"), reply(200, "Connection: close"))
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
        program.receivers[0].answer = lambda call: chunked if call % 2 else reply(200)
        for number in range(3):
            for dest in (0, 1):
                self.hand_in(program, submit(f"{dest}-{number}", dest=dest))
                until(lambda: len(program.receivers[dest].calls) > number)  # noqa: B023
                time.sleep(0.05)
        self.assertEqual([receiver.connections for receiver in program.receivers], [1, 3])

    def test_a_retry_after_wait_is_heeded(self) -> None:
        program = self.begin(lambda call: reply(200) if call > 1 else reply(429, "X-Backoff-Ms: 400"))
        self.hand_in(program, submit("a"))
        calls = until(lambda: len(program.receivers[0].calls) > 1 and program.receivers[0].calls)
        self.assertGreaterEqual(calls[1][0] - calls[0][0], 0.4)

    def test_a_drained_receiver_gets_nothing_more(self) -> None:
        program = self.begin(reply(200))
        program.platform.news.put({"rev": 2, "all": False, "targets": [program.target(0, "draining")]})
        until(program.platform.news.empty)
        time.sleep(0.1)
        self.hand_in(program, submit("a", d=400))
        until(lambda: program.platform.notices)
        self.assertEqual(program.platform.notices, [{"id": "a", "state": "returned"}])
        self.assertEqual(program.receivers[0].calls, [])


class FaultsTest(RunningTestCase):
    def test_malformed_requests_get_an_error_and_a_close(self) -> None:
        program = self.begin(reply(200))
        for bad in (
            b"GET / HTTP/1.1\r\n\r\n",
            b"*1\r\n$-1\r\n",
            b"*99999\r\n",
            b"*1\r\n$70000\r\n",
            b"*1\r\n$1\r\nab\r\n",
            b"*" + b"1" * 100,
            b"\x00\xff",
        ):
            with self.subTest(bad=bad), program.connect() as sock:
                sock.sendall(bad)
                self.assertTrue(line_of(sock).startswith(b"-ERR "))
                self.assertEqual(sock.recv(1), b"")
        self.assertEqual(self.hand_in(program, words(b"PING")), [b"+PONG\r\n"])

    def test_a_submit_that_cannot_be_taken_is_an_error_and_no_close(self) -> None:
        program = self.begin(reply(200))
        smuggled = words(b"SUBMIT", b"0", b"a\r\nX-More: 1", b"c=free,d=1000,dest=0", b"")
        answers = self.hand_in(program, words(b"SUBMIT", b"0"), smuggled, submit("a", d=-1), words(b"PING"))
        self.assertEqual([answer[:4] for answer in answers], [b"-ERR"] * 3 + [b"+PON"])

    def test_an_unreadable_answer_is_a_reset_and_not_repeated_when_at_most_once(self) -> None:
        program = self.begin(b"SSH-2.0-nothing\r\n\r\n" * 50)
        self.hand_in(program, submit("a", priority_class="once"))
        until(lambda: program.platform.notices)
        self.assertEqual(program.platform.notices, [{"id": "a", "state": "failed"}])
        self.assertEqual(len(program.receivers[0].calls), 1)

    def test_only_a_200_is_believed_when_its_answer_is_spoilt(self) -> None:
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
            spoilt = [head(status, rest) for status in (200, 429, 410, 503, 504)]
            with self.subTest(rest=rest[:40]):
                program = self.begin(*spoilt)
                self.hand_in(program, *(submit(str(dest), priority_class="once", dest=dest) for dest in range(5)))
                until(lambda: len(program.platform.notices) == 4)  # noqa: B023
                self.assertEqual(
                    {(told["id"], told["state"]) for told in program.platform.notices},
                    {(str(dest), "failed") for dest in range(1, 5)},
                )
                self.assertEqual([len(receiver.calls) for receiver in program.receivers], [1] * 5)

    def test_a_good_answer_that_brings_more_counts_and_its_link_goes(self) -> None:
        program = self.begin(reply(200) + reply(503), reply(200) + b"\x00")
        for number in range(2):
            self.hand_in(program, submit(f"a{number}"), submit(f"b{number}", dest=1))
            until(lambda: all(len(receiver.calls) > number for receiver in program.receivers))  # noqa: B023
            time.sleep(0.1)
        self.assertEqual(
            ([receiver.connections for receiver in program.receivers], program.platform.notices), ([2, 2], [])
        )

    def test_what_never_went_out_is_given_back_before_its_limit(self) -> None:
        program = self.begin(reply(200))
        program.receivers[0].close()
        begun = time.monotonic()
        self.assertEqual(self.hand_in(program, submit("a", priority_class="once", d=900)), [OK])
        until(lambda: program.platform.notices)
        self.assertLess(time.monotonic() - begun, 2.0)
        self.assertEqual(program.platform.notices, [{"id": "a", "state": "returned"}])

    def test_a_notice_is_kept_until_it_is_acknowledged(self) -> None:
        program = self.begin(reply(500))
        program.platform.refusals = 2
        self.hand_in(program, submit("a", priority_class="once"), submit("b", priority_class="once"))
        until(lambda: len(program.platform.notices) == 2)
        self.assertEqual(sorted(told["id"] for told in program.platform.notices), ["a", "b"])

    def test_a_time_out_closes_its_link_before_a_further_attempt(self) -> None:
        program = self.begin(lambda call: None if call == 1 else reply(200))
        self.hand_in(program, submit("a"))
        until(lambda: len(program.receivers[0].calls) == 2)
        self.assertEqual(program.receivers[0].connections, 2)

    def test_an_early_answer_to_a_request_that_is_not_read_counts(self) -> None:
        program = self.begin(reply(410))
        self.hand_in(program, submit("a"))
        until(lambda: program.receivers[0].calls)
        time.sleep(0.2)
        self.assertEqual((len(program.receivers[0].calls), program.platform.notices), (1, []))

    def test_more_clients_than_descriptors_are_served_in_turn(self) -> None:
        program = self.begin(reply(200), sockets=84)
        clients = [program.connect() for _ in range(40)]
        for sock in clients:
            self.addCleanup(sock.close)
        self.assertEqual(self.hand_in(program, submit("a")), [OK])

    def test_who_says_nothing_or_never_ends_is_let_go_within_three_seconds(self) -> None:
        program = self.begin(reply(200))
        usual = program.connect()
        self.addCleanup(usual.close)
        usual.sendall(submit("a"))
        self.assertEqual(line_of(usual), OK)
        begun = time.monotonic()
        rude = [program.connect() for _ in range(3)]
        for sock, sent in zip(rude, (b"", b"*5\r\n$6\r\nSUBMIT\r\n", words(b"PING")), strict=True):
            self.addCleanup(sock.close)
            sock.sendall(sent)
        self.assertEqual([sock.makefile("rb").read()[:4] for sock in rude], [b"", b"-ERR", b"+PON"])
        self.assertLess(time.monotonic() - begun, 3.0)
        self.assertEqual(ask(usual, b"PING"), b"+PONG\r\n")

    def test_a_body_that_is_too_long_is_refused_while_it_is_still_sent(self) -> None:
        program = self.begin(reply(200))
        with program.connect() as sock, contextlib.suppress(OSError):
            sock.sendall(b"*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$1\r\na\r\n$1\r\nc\r\n$60000000\r\n")
            self.assertTrue(line_of(sock).startswith(b"-ERR"))
            for _ in range(60):
                sock.sendall(bytes(1_000_000))
            self.fail("all of it was read")

    def test_who_sends_the_same_nonsense_again_is_slowed_down_and_let_go(self) -> None:
        program = self.begin(reply(200))
        with program.connect() as rude:
            rude.sendall(submit("a", priority_class="unheard-of") * 300)
            self.assertTrue(line_of(rude).startswith(b"-ERR"))
            begun = time.monotonic()
            self.assertEqual(self.hand_in(program, submit("b")), [OK])
            self.assertLess(time.monotonic() - begun, 0.1)
            with contextlib.suppress(ConnectionResetError):
                self.assertLess(len(rude.makefile("rb").read().splitlines()), 20)

    def test_those_that_were_answered_make_way_before_a_first_request_that_is_on_its_way(self) -> None:
        program = self.begin(reply(200), sockets=84)
        late = program.connect()
        self.addCleanup(late.close)
        for number in range(40):
            sock = program.connect()
            self.addCleanup(sock.close)
            sock.sendall(submit(f"a{number}"))
            self.assertEqual(line_of(sock), OK)
        late.sendall(submit("late"))
        self.assertEqual(line_of(late), OK)

    def test_a_full_folder_turns_messages_away(self) -> None:
        program = self.begin(None, disk_mb=0.2)
        answers = [self.hand_in(program, submit(f"e{number}", body=bytes(30_000)))[0] for number in range(4)]
        self.assertEqual(answers, [OK, OK, OK, b"-BUSY\r\n"])
        held = sum(
            os.path.getsize(os.path.join(program.path("state"), name)) for name in os.listdir(program.path("state"))
        )
        self.assertLess(held, 0.2 * (1 << 20))

    def test_after_a_pause_an_answer_that_came_in_time_counts(self) -> None:
        def soon(_: int) -> bytes:
            time.sleep(0.2)
            return reply(200)

        program = self.begin(soon)
        self.hand_in(program, submit("a", priority_class="once", d=1000))
        until(lambda: program.receivers[0].calls)
        program.signal(signal.SIGSTOP)
        time.sleep(1.2)
        program.signal(signal.SIGCONT)
        time.sleep(0.3)
        self.assertEqual(program.platform.notices, [])
        self.assertIn('"answers 200": 1', program.terminate()[1])

    def test_a_client_that_left_during_a_pause_has_its_message_withdrawn(self) -> None:
        program = self.begin(reply(200))
        program.signal(signal.SIGSTOP)
        with program.connect() as sock:
            sock.sendall(submit("a"))
        program.signal(signal.SIGCONT)
        time.sleep(0.3)
        self.assertEqual((program.receivers[0].calls, program.platform.notices), ([], []))

    def test_a_dead_watch_is_opened_anew(self) -> None:
        program = self.begin(reply(200))
        program.platform.silent = True
        program.platform.targets = [program.target(0, "draining")]
        until(lambda: program.platform.watches > 1)
        time.sleep(0.2)
        self.hand_in(program, submit("a", d=400))
        until(lambda: program.platform.notices)
        self.assertEqual(program.receivers[0].calls, [])


class RestartsTest(RunningTestCase):
    def test_after_a_kill_a_reissuable_message_is_delivered(self) -> None:
        program = self.begin(lambda call: None if call == 1 else reply(200))
        self.assertEqual(self.hand_in(program, submit("a", body=b"kept")), [OK])
        until(lambda: program.receivers[0].calls)
        program.kill()
        program.start()
        calls = until(lambda: len(program.receivers[0].calls) > 1 and program.receivers[0].calls)
        self.assertEqual(calls[1][2], b"kept")

    def test_after_a_kill_an_at_most_once_message_that_was_out_is_written_off(self) -> None:
        program = self.begin(None)
        self.hand_in(program, submit("a", priority_class="once"))
        until(lambda: program.receivers[0].calls)
        program.kill()
        program.start()
        until(lambda: program.platform.notices)
        self.assertEqual(program.platform.notices, [{"id": "a", "state": "failed"}])
        self.assertEqual(len(program.receivers[0].calls), 1)

    def test_after_a_kill_what_was_completed_stays_so(self) -> None:
        program = self.begin(reply(200))
        self.hand_in(program, submit("a"))
        until(lambda: program.receivers[0].calls)
        time.sleep(0.1)
        program.kill()
        program.start()
        time.sleep(0.3)
        self.assertEqual((len(program.receivers[0].calls), program.platform.notices), (1, []))

    def test_over_kills_and_ends_each_kept_message_gets_one_end(self) -> None:
        def slowly(_: int) -> bytes:
            time.sleep(0.05)
            return reply(200)

        program = self.begin(slowly, slowly)
        taken: list[str] = []
        for life, end in enumerate((program.kill, program.terminate, program.kill)):
            with program.connect() as sock:
                for number in range(16):
                    name, priority_class = f"{life}-{number}", ("free", "once")[number % 2]
                    sock.sendall(submit(name, priority_class=priority_class, dest=number // 2 % 2))
                    if line_of(sock) == OK:
                        taken.append(name)
            end()
            program.start()

        def calls() -> list[str]:
            heads = [head for receiver in program.receivers for _, head, _ in receiver.calls]
            return [head.partition(b"X-Txn: ")[2].split(b"\r\n")[0].decode() for head in heads]

        self.assertEqual(len(taken), 48)
        until(lambda: not set(taken) - set(calls()) - {told["id"] for told in program.platform.notices}, 20.0)
        once = [name for name in calls() if int(name.partition("-")[2]) % 2]
        self.assertEqual(len(once), len(set(once)))

    def test_sigterm_does_not_leave_lying_what_can_still_go(self) -> None:
        for wait_ms in (300, 1700):
            with self.subTest(wait_ms=wait_ms):
                self.goes_on_after_a_wait(wait_ms)

    def goes_on_after_a_wait(self, wait_ms: int) -> None:
        program = self.begin(lambda call: reply(200) if call > 1 else reply(429, f"X-Backoff-Ms: {wait_ms}"))
        self.hand_in(program, submit("a"))
        until(lambda: program.receivers[0].calls)
        status, log = program.terminate()
        self.assertEqual((status, len(program.receivers[0].calls)), (0, 2))
        self.assertIn('"answers 200": 1', log)

    def test_sigterm_awaits_what_is_out_and_turns_new_requests_away(self) -> None:
        def slow(_: int) -> bytes:
            time.sleep(0.5)
            return reply(200)

        program = self.begin(slow)
        self.hand_in(program, submit("a", priority_class="once"))
        until(lambda: program.receivers[0].calls)
        program.signal(signal.SIGTERM)
        time.sleep(0.1)
        self.assertEqual(self.hand_in(program, submit("b")), [b"-BUSY\r\n"])
        status, log = program.terminate()
        self.assertEqual(status, 0)
        counters = json.loads(log.partition("counters ")[2].splitlines()[0])
        self.assertEqual((counters["taken"], counters["answers 200"]), (1, 1))
        program.start()
        time.sleep(0.2)
        self.assertEqual((len(program.receivers[0].calls), program.platform.notices), (1, []))

    def test_after_sigterm_every_request_that_is_read_has_its_answer(self) -> None:
        program = self.begin(reply(200))
        unaware, fresh = program.connect(), program.connect()
        self.addCleanup(unaware.close)
        self.addCleanup(fresh.close)
        self.assertEqual(ask(unaware, b"PING"), b"+PONG\r\n")
        answered: list[bytes] = []

        def send_on(number: int) -> None:
            """A client that never stops: one request after another until its connection is ended."""
            with program.connect() as sock, contextlib.suppress(OSError):
                for turn in range(10_000):
                    sock.sendall(submit(f"{number}-{turn}"))
                    if not (line := line_of(sock)):
                        return
                    answered.append(line)

        clients = [threading.Thread(target=send_on, args=(number,)) for number in range(12)]
        for client in clients:
            client.start()
        time.sleep(0.2)
        slow = program.connect()
        self.addCleanup(slow.close)
        program.signal(signal.SIGTERM)
        ended_at = time.monotonic()
        until(lambda: select.select([unaware], [], [], 0)[0])
        unaware.sendall(submit("crosses"))  # the end lies there, but was not looked at
        time.sleep(0.1)
        unaware.sendall(b"*")  # which a reset would refuse
        self.assertEqual(unaware.recv(100), b"")
        fresh.sendall(submit("fresh"))
        self.assertEqual(line_of(fresh), b"-BUSY\r\n")
        for client in clients:
            client.join()
        time.sleep(1.6 - (time.monotonic() - ended_at))
        slow.sendall(submit("slow")[:-5])
        self.assertEqual(line_of(slow), b"-BUSY\r\n")
        log = program.terminate()[1]
        self.assertIn(f'"handed in": {len(answered) + 1},', log)


class NewConfigurationsTest(RunningTestCase):
    def moved(self, program: Program) -> Platform:
        """A second platform that the file names now, without the first one's receiver."""
        platform = Platform([program.target(1)])
        self.addCleanup(platform.server_close)
        self.addCleanup(platform.shutdown)
        program.configure(discovery=f"127.0.0.1:{platform.server_address[1]}")
        program.signal(signal.SIGHUP)
        return platform

    def test_list_and_notices_leave_the_old_address_at_once(self) -> None:
        program = self.begin(reply(200), reply(500))
        platform = self.moved(program)
        until(lambda: platform.watches)
        time.sleep(0.1)
        self.hand_in(program, submit("gone", d=400), submit("a", priority_class="once", dest=1))
        until(lambda: len(platform.notices) == 2)
        self.assertEqual(sorted(told["id"] for told in platform.notices), ["a", "gone"])
        self.assertEqual((program.receivers[0].calls, program.platform.notices), ([], []))

    def test_a_notice_without_its_answer_goes_again_to_the_new_address(self) -> None:
        program = self.begin(reply(200), reply(500))
        program.platform.deaf = True
        self.hand_in(program, submit("a", priority_class="once", dest=1))
        until(lambda: program.platform.posts)
        begun = time.monotonic()
        platform = self.moved(program)
        until(lambda: platform.notices)
        self.assertLess(time.monotonic() - begun, 1.0)

    def test_an_unreadable_file_changes_nothing_and_ends_nothing(self) -> None:
        program = self.begin(reply(200))
        with open(program.path("config.json"), "w", encoding="utf-8") as file:
            file.write('{"name": "t0", "disc')
        program.signal(signal.SIGHUP)
        program.signal(signal.SIGHUP)
        time.sleep(0.2)
        self.assertEqual(self.hand_in(program, submit("a")), [OK])
        self.assertEqual((program.platform.watches, program.terminate()[0]), (1, 0))

    def test_a_restart_after_a_new_configuration_believes_the_file(self) -> None:
        program = self.begin(reply(200), reply(500))
        platform = self.moved(program)
        until(lambda: platform.watches)
        program.kill()
        program.start(RELAY_DISCOVERY=f"127.0.0.1:{program.platform.server_address[1]}")
        until(lambda: platform.watches > 1)


class StartTest(unittest.TestCase):
    def test_a_bad_assignment_is_one_line_and_status_2(self) -> None:
        for told in ({}, {"RELAY_CONFIG": "/nowhere"}, {"RELAY_CONFIG": __file__}):
            with self.subTest(told=told):
                ended = subprocess.run(
                    [sys.executable, "-m", "cedarwick"], env={**os.environ, **told}, capture_output=True, text=True
                )
                self.assertEqual((ended.returncode, ended.stderr.count("\n")), (2, 1))

    def test_asking_for_the_counters_does_not_end_it(self) -> None:
        program = Program([Receiver(lambda _: reply(200))])
        self.addCleanup(program.close)
        program.start()
        assert program.process is not None and program.process.stderr is not None
        log = program.process.stderr
        program.signal(signal.SIGUSR1)
        line = until(lambda: next((line for line in log if "counters" in line), ""))
        self.assertIn("clients accepted", line)
        with program.connect() as sock:
            self.assertEqual(ask(sock, b"PING"), b"+PONG\r\n")


if __name__ == "__main__":
    unittest.main()
