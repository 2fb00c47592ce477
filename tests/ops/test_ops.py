"""The operators' parts: the management address, the drain, the replacement of the process."""

import os
import signal
import socket
import subprocess
import tempfile
import time
import unittest

from hypothesis import given
from hypothesis import strategies as st

from cedarwick.decisions.interface import EndpointState, EndpointUpdate, ListedEndpoint
from cedarwick.ops import saved_state
from cedarwick.ops.commands import MAX_LINE_BYTES, Call, InvalidCallError, Suspensions, parse_call
from cedarwick.ops.management import NotSuspendedError, UnlistedReceiverError
from tests.build import NOW, Program, Receiver, ask, free_port, line_of, reply, sender, submit, until

OK = b"+OK\r\n"


def call(port: int, line: bytes, seconds: float = 1.0) -> bytes:
    """The whole answer of the management address to one line."""
    with socket.create_connection(("127.0.0.1", port), seconds) as sock:
        sock.settimeout(seconds)
        sock.sendall(line)
        got = b""
        while chunk := sock.recv(4096):
            got += chunk
        return got


class ManagementCallsTest(unittest.TestCase):
    def test_calls_are_read_with_their_arguments(self) -> None:
        self.assertEqual(parse_call(b"STATUS"), Call("STATUS", ""))
        self.assertEqual(parse_call(b"suspend s-1"), Call("SUSPEND", "s-1"))
        self.assertEqual(parse_call(b"  RESUME  "), Call("RESUME", ""))

    def test_bad_lines_say_why(self) -> None:
        for line, why in (
            (b"", "empty"),
            (b"HELLO", "unknown call"),
            (b"SUSPEND", "one argument"),
            (b"STATUS now", "no argument"),
            (b"\xff\xfe", "ASCII"),
            (b"STATUS\x00", "control"),
            (b"S" * (MAX_LINE_BYTES + 1), "too long"),
        ):
            with self.subTest(line=line[:20]), self.assertRaisesRegex(InvalidCallError, why):
                parse_call(line)

    @given(st.binary(max_size=2 * MAX_LINE_BYTES))
    def test_any_bytes_are_a_call_or_a_reason(self, line: bytes) -> None:
        try:
            made = parse_call(line)
        except InvalidCallError as error:
            self.assertTrue(str(error))
        else:
            self.assertIn(made.name, ("STATUS", "METRICS", "SUSPEND", "RESTORE", "PAUSE", "RESUME"))

    def test_two_calls_out_need_one_call_back(self) -> None:
        out = Suspensions()
        self.assertEqual((out.suspend("a"), out.suspend("a")), (1, 2))
        self.assertIn("a", out)
        self.assertTrue(out.restore("a"))
        self.assertNotIn("a", out)
        self.assertFalse(out.restore("a"))


class SavedStateTest(unittest.TestCase):
    def test_what_is_written_is_read_and_spoilt_files_are_named(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            self.assertEqual(saved_state.read_suspensions(folder), {})
            saved_state.write_suspensions(folder, {"s-1": 2})
            self.assertEqual(saved_state.read_suspensions(folder), {"s-1": 2})
            saved_state.write_waits(folder, {"s-2": 5})
            self.assertEqual((saved_state.take_waits(folder), saved_state.take_waits(folder)), ({"s-2": 5}, {}))
            for spoilt in (b"\xff{", b"[1]", b'{"s-1": "two"}', b'{"s-1": true}'):
                with (
                    self.subTest(spoilt=spoilt),
                    open(os.path.join(folder, saved_state.SUSPENSIONS_FILE), "wb") as file,
                ):
                    file.write(spoilt)
                with self.assertRaisesRegex(saved_state.UnreadableFileError, saved_state.SUSPENSIONS_FILE):
                    saved_state.read_suspensions(folder)


class ManagementAddressTest(unittest.TestCase):
    def begin(self) -> Program:
        program = Program([Receiver(reply(200))])
        self.addCleanup(program.close)
        self.manage = free_port()
        program.start(RELAY_MANAGEMENT=f"127.0.0.1:{self.manage}")
        return program

    def test_status_says_yes_while_silent_callers_hold_their_connections(self) -> None:
        self.begin()
        silent = [socket.create_connection(("127.0.0.1", self.manage)) for _ in range(8)]
        for each in silent:
            self.addCleanup(each.close)
        began = time.monotonic()
        self.assertTrue(call(self.manage, b"STATUS\n").startswith(b"YES"))
        self.assertLess(time.monotonic() - began, 0.5)

    def test_bad_calls_are_answered_no_and_the_address_goes_on(self) -> None:
        self.begin()
        for line in (b"NONSENSE\n", b"SUSPEND\n", b"\x00\xff\n", b"X" * 5000, b"PAUSE now\n"):
            with self.subTest(line=line[:10]):
                self.assertTrue(call(self.manage, line).startswith(b"NO "))
        with socket.create_connection(("127.0.0.1", self.manage)) as sock:
            sock.sendall(b"STAT")  # and leaves mid-line
        self.assertTrue(call(self.manage, b"STATUS\r\n").startswith(b"YES"))

    def test_a_caller_that_never_ends_its_line_is_told_and_closed(self) -> None:
        self.begin()
        with socket.create_connection(("127.0.0.1", self.manage)) as sock:
            sock.settimeout(4)
            sock.sendall(b"STAT")
            self.assertTrue(line_of(sock).startswith(b"NO "))

    def test_a_pause_sends_clients_away_and_serves_what_was_read(self) -> None:
        program = self.begin()
        idle = program.connect()
        self.addCleanup(idle.close)
        self.assertEqual(ask(idle, b"PING"), b"+PONG\r\n")
        self.assertEqual(call(self.manage, b"PAUSE\n"), b"YES paused\n")
        self.assertEqual(call(self.manage, b"PAUSE\n"), b"YES already paused\n")
        idle.settimeout(2)
        self.assertEqual(idle.recv(10), b"")  # the idle connection is let go
        with program.connect() as sock:
            self.assertEqual(ask(sock, b"PING")[:1], b"-")
        with program.connect() as sock:
            sock.settimeout(2)
            sock.sendall(submit("a"))
            self.assertEqual(line_of(sock), OK)  # what was read is served
            self.assertEqual(sock.recv(10), b"")  # and the connection goes then
        until(lambda: program.receivers[0].calls)
        self.assertEqual(call(self.manage, b"RESUME\n"), b"YES resumed\n")
        self.assertEqual(call(self.manage, b"RESUME\n"), b"YES not paused\n")
        with program.connect() as sock:
            self.assertEqual(ask(sock, b"PING"), b"+PONG\r\n")

    def test_an_unusable_management_address_stops_the_start(self) -> None:
        program = Program([Receiver(reply(200))])
        self.addCleanup(program.close)
        process = program.spawn(RELAY_MANAGEMENT="nowhere")
        _, log = process.communicate(timeout=20)
        self.assertEqual(process.returncode, 2)
        self.assertEqual(len(log.strip().splitlines()), 1)
        self.assertIn("nowhere", log)


class ProcessReplacementTest(unittest.TestCase):
    def test_a_second_process_takes_over_the_socket_and_the_folder(self) -> None:
        calls: list[int] = []

        def answer(number: int) -> bytes:
            calls.append(number)
            return reply(200)

        program = Program([Receiver(answer)])
        self.addCleanup(program.close)
        listener = socket.create_server(("127.0.0.1", program.port), backlog=64)
        self.addCleanup(listener.close)
        fd = listener.fileno()
        first, second = free_port(), free_port()
        program.start(fds=(fd,), RELAY_SOCKET_FD=str(fd), RELAY_MANAGEMENT=f"127.0.0.1:{first}")
        self.assertTrue(call(first, b"STATUS\n").startswith(b"YES"))
        with program.connect() as sock:
            self.assertEqual(ask(sock, b"PING"), b"+PONG\r\n")
        newer = program.spawn((fd,), RELAY_SOCKET_FD=str(fd), RELAY_MANAGEMENT=f"127.0.0.1:{second}")
        self.addCleanup(stop, newer)
        until(lambda: self._says_yes(second), 6)  # while the first still holds the folder
        with program.connect() as sock:
            self.assertEqual(line_of_submit(sock, "before"), OK)
        kept = program.connect()
        self.addCleanup(kept.close)
        self.assertEqual(ask(kept, b"PING"), b"+PONG\r\n")
        program.signal(signal.SIGTERM)
        kept.settimeout(2)
        self.assertEqual(kept.recv(10), b"")  # a kept connection is let go, and the client comes again
        assert program.process is not None
        self.assertEqual(program.process.wait(5), 0)
        answers = []
        for number in range(20):
            with program.connect() as sock:
                sock.settimeout(2)
                answers.append(line_of_submit(sock, f"after-{number}"))
            time.sleep(0.02)
        self.assertEqual(answers, [OK] * 20)
        until(lambda: len(program.receivers[0].calls) >= 21)
        time.sleep(0.3)
        ids = [head.split(b"X-Txn: ")[1].split(b"\r\n")[0] for _, head, _ in program.receivers[0].calls]
        self.assertEqual(sorted(set(ids)), sorted(ids))  # none twice
        self.assertIn(b"before", ids)
        newer.terminate()
        self.assertEqual(newer.wait(10), 0)

    def test_a_wait_told_to_the_replaced_process_is_heeded_by_the_next(self) -> None:
        program = Program([Receiver(lambda call: reply(429, "X-Backoff-Ms: 1500") if call == 1 else reply(200))])
        self.addCleanup(program.close)
        listener = socket.create_server(("127.0.0.1", program.port), backlog=64)
        self.addCleanup(listener.close)
        fd = listener.fileno()
        second = free_port()
        program.start(fds=(fd,), RELAY_SOCKET_FD=str(fd), RELAY_MANAGEMENT=f"127.0.0.1:{free_port()}")
        newer = program.spawn((fd,), RELAY_SOCKET_FD=str(fd), RELAY_MANAGEMENT=f"127.0.0.1:{second}")
        self.addCleanup(stop, newer)
        until(lambda: self._says_yes(second), 6)
        with program.connect() as sock:
            self.assertEqual(line_of_submit(sock, "a"), OK)
        told = until(lambda: program.receivers[0].calls)[0][0]
        program.signal(signal.SIGTERM)
        calls = until(lambda: len(program.receivers[0].calls) > 1 and program.receivers[0].calls, 6)
        self.assertGreaterEqual(calls[1][0] - told, 1.5)

    def _says_yes(self, port: int) -> bool:
        try:
            return call(port, b"STATUS\n").startswith(b"YES")
        except OSError:
            return False

    def test_a_descriptor_that_is_no_listener_stops_the_start(self) -> None:
        program = Program([Receiver(reply(200))])
        self.addCleanup(program.close)
        for told in ("seven", "1", "999"):
            with self.subTest(told=told):
                process = program.spawn(RELAY_SOCKET_FD=told)
                _, log = process.communicate(timeout=20)
                self.assertEqual(process.returncode, 2)
                self.assertIn("RELAY_SOCKET_FD", log)
                self.assertEqual(len(log.strip().splitlines()), 1)


def stop(process: "subprocess.Popen[str]") -> None:
    if process.poll() is None:
        process.kill()
    process.communicate()


def line_of_submit(sock: socket.socket, message: str, dest: int = 0) -> bytes:
    sock.sendall(submit(message, dest=dest))
    return line_of(sock)


class ColdReturnTest(unittest.TestCase):
    def test_a_receiver_back_after_a_drain_is_ramped(self) -> None:
        made = sender()
        made.listed(NOW, EndpointUpdate.DELTA, [ListedEndpoint(1, 0, 0, 7, EndpointState.DRAINING, 0.0)])
        made.decide(NOW)
        later = NOW + 3_000_000  # longer than rules.fall-ms
        made.listed(later, EndpointUpdate.DELTA, [ListedEndpoint(1, 0, 0, 7, EndpointState.READY, 0.0)])
        self.assertEqual(made.receivers[1].recovered_at, later)

    def test_a_moment_out_is_no_return(self) -> None:
        made = sender()
        made.listed(NOW, EndpointUpdate.DELTA, [ListedEndpoint(1, 0, 0, 7, EndpointState.DRAINING, 0.0)])
        made.decide(NOW)
        made.listed(NOW + 500_000, EndpointUpdate.DELTA, [ListedEndpoint(1, 0, 0, 7, EndpointState.READY, 0.0)])
        self.assertEqual(made.receivers[1].recovered_at, 0)


class SuspensionTest(unittest.TestCase):
    def test_a_suspended_receiver_gets_nothing_until_it_is_restored_even_after_a_restart(self) -> None:
        program = Program([Receiver(reply(200)), Receiver(reply(200))])
        self.addCleanup(program.close)
        manage = free_port()
        program.start(RELAY_MANAGEMENT=f"127.0.0.1:{manage}")
        self.assertEqual(
            call(manage, b"SUSPEND s-nobody\n").decode(),
            f"NO nobody has s-nobody [CW402: {UnlistedReceiverError.remedy}]\n",
        )
        self.assertEqual(
            call(manage, b"RESTORE s-0\n").decode(), f"NO s-0 is not suspended [CW403: {NotSuspendedError.remedy}]\n"
        )
        self.assertEqual(call(manage, b"SUSPEND s-0\n"), b"YES s-0 suspended, 1 calls out\n")
        self.assertEqual(call(manage, b"SUSPEND s-0\n"), b"YES s-0 suspended, 2 calls out\n")
        time.sleep(0.1)
        with program.connect() as sock:
            self.assertEqual(line_of_submit(sock, "a", dest=0), OK)
            self.assertEqual(line_of_submit(sock, "b", dest=1), OK)
        until(lambda: program.receivers[1].calls)
        program.terminate()
        program.start(RELAY_MANAGEMENT=f"127.0.0.1:{manage}")  # the platform still lists s-0 as up
        time.sleep(0.5)
        self.assertEqual(program.receivers[0].calls, [])
        self.assertEqual(call(manage, b"RESTORE s-0\n"), b"YES s-0 restored\n")  # one call back for two out
        until(lambda: program.receivers[0].calls)


def figures(port: int) -> dict[str, float]:
    """The figures by name and labels, as the management address gives them."""
    text = call(port, b"METRICS\n").decode()
    lines = text.splitlines()
    if lines[-1:] != ["END"]:
        raise AssertionError(f"no END: {text[-80:]!r}")
    found = {}
    for line in lines[:-1]:
        if line and not line.startswith("#"):
            name, value = line.rsplit(" ", 1)
            found[name] = float(value)
    return found


class MetricsTest(unittest.TestCase):
    def test_the_figures_count_what_happened(self) -> None:
        program = Program([Receiver(reply(200)), Receiver(reply(500))])
        self.addCleanup(program.close)
        manage = free_port()
        program.start(RELAY_MANAGEMENT=f"127.0.0.1:{manage}")
        first = figures(manage)
        self.assertEqual(first['sender_passed_total{category="free"}'], 0)
        self.assertEqual(first["sender_known_receivers"], 2)
        with program.connect() as sock:
            for number in range(3):
                self.assertEqual(line_of_submit(sock, f"good-{number}"), OK)
            sock.sendall(submit("nowhere", dest=9))
            self.assertEqual(line_of(sock)[:5], b"-BUSY")
            sock.sendall(submit("bad", priority_class="once", dest=1))
            self.assertEqual(line_of(sock), OK)
        until(lambda: figures(manage)['sender_bad_gateway_total{category="once"}'] == 1)
        last = figures(manage)
        self.assertEqual(last['sender_passed_total{category="free"}'], 3)
        self.assertEqual(last['sender_dropped_total{category="free"}'], 1)
        self.assertEqual(last['sender_passed_total{category="once"}'], 0)
        self.assertEqual(last["sender_upstream_tries_total"], 4)
        self.assertEqual(last["sender_in_progress"], 0)
        self.assertEqual(call(manage, b"SUSPEND s-1\n")[:3], b"YES")
        self.assertEqual(figures(manage)["sender_skipped_receivers"], 1)
