"""Operations: the management server, suspensions, metrics, and the replacement of a process."""

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
from tests.build import (
    NOW,
    Program,
    Receiver,
    encode_submit,
    free_port,
    make_sender,
    read_line,
    reply,
    send_command,
    wait_for_condition,
)

OK = b"+OK\r\n"


def management_call(port: int, line: bytes, timeout_s: float = 1.0) -> bytes:
    """Return the complete answer of the management server to one line."""
    with socket.create_connection(("127.0.0.1", port), timeout_s) as sock:
        sock.settimeout(timeout_s)
        sock.sendall(line)
        answer = b""
        while chunk := sock.recv(4096):
            answer += chunk
        return answer


class ManagementCallsTest(unittest.TestCase):
    def test_calls_are_parsed_with_their_arguments(self) -> None:
        self.assertEqual(parse_call(b"STATUS"), Call("STATUS", ""))
        self.assertEqual(parse_call(b"suspend s-1"), Call("SUSPEND", "s-1"))
        self.assertEqual(parse_call(b"  RESUME  "), Call("RESUME", ""))

    def test_invalid_lines_are_refused_with_the_reason(self) -> None:
        for line, reason in (
            (b"", "empty"),
            (b"HELLO", "unknown call"),
            (b"SUSPEND", "one argument"),
            (b"STATUS now", "no argument"),
            (b"\xff\xfe", "ASCII"),
            (b"STATUS\x00", "control"),
            (b"S" * (MAX_LINE_BYTES + 1), "too long"),
        ):
            with self.subTest(line=line[:20]), self.assertRaisesRegex(InvalidCallError, reason):
                parse_call(line)

    @given(st.binary(max_size=2 * MAX_LINE_BYTES))
    def test_any_bytes_are_a_call_or_are_refused_with_a_reason(self, line: bytes) -> None:
        try:
            parsed = parse_call(line)
        except InvalidCallError as error:
            self.assertTrue(str(error))
        else:
            self.assertIn(parsed.name, ("STATUS", "METRICS", "SUSPEND", "RESTORE", "PAUSE", "RESUME"))

    def test_one_restore_ends_several_suspend_calls(self) -> None:
        suspensions = Suspensions()
        self.assertEqual((suspensions.suspend("a"), suspensions.suspend("a")), (1, 2))
        self.assertIn("a", suspensions)
        self.assertTrue(suspensions.restore("a"))
        self.assertNotIn("a", suspensions)
        self.assertFalse(suspensions.restore("a"))


class SavedStateTest(unittest.TestCase):
    def test_saved_state_is_read_back_and_an_invalid_file_is_named(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            self.assertEqual(saved_state.read_suspensions(folder), {})
            saved_state.write_suspensions(folder, {"s-1": 2})
            self.assertEqual(saved_state.read_suspensions(folder), {"s-1": 2})
            saved_state.write_waits(folder, {"s-2": 5})
            self.assertEqual((saved_state.take_waits(folder), saved_state.take_waits(folder)), ({"s-2": 5}, {}))
            for invalid in (b"\xff{", b"[1]", b'{"s-1": "two"}', b'{"s-1": true}'):
                with (
                    self.subTest(invalid=invalid),
                    open(os.path.join(folder, saved_state.SUSPENSIONS_FILE), "wb") as file,
                ):
                    file.write(invalid)
                with self.assertRaisesRegex(saved_state.UnreadableFileError, saved_state.SUSPENSIONS_FILE):
                    saved_state.read_suspensions(folder)


class ManagementAddressTest(unittest.TestCase):
    def start_program(self) -> Program:
        program = Program([Receiver(reply(200))])
        self.addCleanup(program.close)
        self.management_port = free_port()
        program.start(RELAY_MANAGEMENT=f"127.0.0.1:{self.management_port}")
        return program

    def test_status_is_answered_while_silent_callers_keep_connections_open(self) -> None:
        self.start_program()
        silent = [socket.create_connection(("127.0.0.1", self.management_port)) for _ in range(8)]
        for sock in silent:
            self.addCleanup(sock.close)
        started_at = time.monotonic()
        self.assertTrue(management_call(self.management_port, b"STATUS\n").startswith(b"YES"))
        self.assertLess(time.monotonic() - started_at, 0.5)

    def test_invalid_calls_are_answered_no_and_the_server_keeps_answering(self) -> None:
        self.start_program()
        for line in (b"NONSENSE\n", b"SUSPEND\n", b"\x00\xff\n", b"X" * 5000, b"PAUSE now\n"):
            with self.subTest(line=line[:10]):
                self.assertTrue(management_call(self.management_port, line).startswith(b"NO "))
        with socket.create_connection(("127.0.0.1", self.management_port)) as sock:
            sock.sendall(b"STAT")  # closed before the end of the line
        self.assertTrue(management_call(self.management_port, b"STATUS\r\n").startswith(b"YES"))

    def test_a_caller_that_never_completes_its_line_is_refused(self) -> None:
        self.start_program()
        with socket.create_connection(("127.0.0.1", self.management_port)) as sock:
            sock.settimeout(4)
            sock.sendall(b"STAT")
            self.assertTrue(read_line(sock).startswith(b"NO "))

    def test_a_pause_closes_idle_clients_and_answers_requests_already_read(self) -> None:
        program = self.start_program()
        idle = program.connect()
        self.addCleanup(idle.close)
        self.assertEqual(send_command(idle, b"PING"), b"+PONG\r\n")
        self.assertEqual(management_call(self.management_port, b"PAUSE\n"), b"YES paused\n")
        self.assertEqual(management_call(self.management_port, b"PAUSE\n"), b"YES already paused\n")
        idle.settimeout(2)
        self.assertEqual(idle.recv(10), b"")  # the idle connection is closed
        with program.connect() as sock:
            self.assertEqual(send_command(sock, b"PING")[:1], b"-")
        with program.connect() as sock:
            sock.settimeout(2)
            sock.sendall(encode_submit("a"))
            self.assertEqual(read_line(sock), OK)  # a request that was read is answered
            self.assertEqual(sock.recv(10), b"")  # the connection is closed after the answer
        wait_for_condition(lambda: program.receivers[0].calls)
        self.assertEqual(management_call(self.management_port, b"RESUME\n"), b"YES resumed\n")
        self.assertEqual(management_call(self.management_port, b"RESUME\n"), b"YES not paused\n")
        with program.connect() as sock:
            self.assertEqual(send_command(sock, b"PING"), b"+PONG\r\n")

    def test_an_invalid_management_address_prevents_the_start(self) -> None:
        program = Program([Receiver(reply(200))])
        self.addCleanup(program.close)
        process = program.spawn(RELAY_MANAGEMENT="nowhere")
        _, log = process.communicate(timeout=20)
        self.assertEqual(process.returncode, 2)
        self.assertEqual(len(log.strip().splitlines()), 1)
        self.assertIn("nowhere", log)


class ProcessReplacementTest(unittest.TestCase):
    def test_a_second_process_takes_over_the_socket_and_the_folder(self) -> None:
        call_numbers: list[int] = []

        def answer(number: int) -> bytes:
            call_numbers.append(number)
            return reply(200)

        program = Program([Receiver(answer)])
        self.addCleanup(program.close)
        listener = socket.create_server(("127.0.0.1", program.port), backlog=64)
        self.addCleanup(listener.close)
        fd = listener.fileno()
        first, second = free_port(), free_port()
        program.start(fds=(fd,), RELAY_SOCKET_FD=str(fd), RELAY_MANAGEMENT=f"127.0.0.1:{first}")
        self.assertTrue(management_call(first, b"STATUS\n").startswith(b"YES"))
        with program.connect() as sock:
            self.assertEqual(send_command(sock, b"PING"), b"+PONG\r\n")
        replacement = program.spawn((fd,), RELAY_SOCKET_FD=str(fd), RELAY_MANAGEMENT=f"127.0.0.1:{second}")
        self.addCleanup(stop_process, replacement)
        wait_for_condition(lambda: self._is_ready(second), 6)  # while the first process still holds the folder
        with program.connect() as sock:
            self.assertEqual(submit_and_read_line(sock, "before"), OK)
        idle = program.connect()
        self.addCleanup(idle.close)
        self.assertEqual(send_command(idle, b"PING"), b"+PONG\r\n")
        program.signal(signal.SIGTERM)
        idle.settimeout(2)
        self.assertEqual(idle.recv(10), b"")  # the idle connection is closed; its client reconnects
        assert program.process is not None
        self.assertEqual(program.process.wait(5), 0)
        answers = []
        for number in range(20):
            with program.connect() as sock:
                sock.settimeout(2)
                answers.append(submit_and_read_line(sock, f"after-{number}"))
            time.sleep(0.02)
        self.assertEqual(answers, [OK] * 20)
        wait_for_condition(lambda: len(program.receivers[0].calls) >= 21)
        time.sleep(0.3)
        ids = [head.split(b"X-Txn: ")[1].split(b"\r\n")[0] for _, head, _ in program.receivers[0].calls]
        self.assertEqual(sorted(set(ids)), sorted(ids))  # no message was sent twice
        self.assertIn(b"before", ids)
        replacement.terminate()
        self.assertEqual(replacement.wait(10), 0)

    def test_a_retry_after_wait_received_by_the_replaced_process_is_kept_by_its_replacement(self) -> None:
        program = Program([Receiver(lambda call: reply(429, "X-Backoff-Ms: 1500") if call == 1 else reply(200))])
        self.addCleanup(program.close)
        listener = socket.create_server(("127.0.0.1", program.port), backlog=64)
        self.addCleanup(listener.close)
        fd = listener.fileno()
        second = free_port()
        program.start(fds=(fd,), RELAY_SOCKET_FD=str(fd), RELAY_MANAGEMENT=f"127.0.0.1:{free_port()}")
        replacement = program.spawn((fd,), RELAY_SOCKET_FD=str(fd), RELAY_MANAGEMENT=f"127.0.0.1:{second}")
        self.addCleanup(stop_process, replacement)
        wait_for_condition(lambda: self._is_ready(second), 6)
        with program.connect() as sock:
            self.assertEqual(submit_and_read_line(sock, "a"), OK)
        answered_at = wait_for_condition(lambda: program.receivers[0].calls)[0][0]
        program.signal(signal.SIGTERM)
        calls = wait_for_condition(lambda: len(program.receivers[0].calls) > 1 and program.receivers[0].calls, 6)
        self.assertGreaterEqual(calls[1][0] - answered_at, 1.5)

    def _is_ready(self, port: int) -> bool:
        try:
            return management_call(port, b"STATUS\n").startswith(b"YES")
        except OSError:
            return False

    def test_a_descriptor_that_is_not_a_listener_prevents_the_start(self) -> None:
        program = Program([Receiver(reply(200))])
        self.addCleanup(program.close)
        for descriptor in ("seven", "1", "999"):
            with self.subTest(descriptor=descriptor):
                process = program.spawn(RELAY_SOCKET_FD=descriptor)
                _, log = process.communicate(timeout=20)
                self.assertEqual(process.returncode, 2)
                self.assertIn("RELAY_SOCKET_FD", log)
                self.assertEqual(len(log.strip().splitlines()), 1)


def stop_process(process: "subprocess.Popen[str]") -> None:
    if process.poll() is None:
        process.kill()
    process.communicate()


def submit_and_read_line(sock: socket.socket, message: str, dest: int = 0) -> bytes:
    sock.sendall(encode_submit(message, dest=dest))
    return read_line(sock)


class ReturnAfterDrainTest(unittest.TestCase):
    def test_a_receiver_back_after_a_drain_is_ramped(self) -> None:
        decisions = make_sender()
        decisions.apply_endpoint_list(
            NOW, EndpointUpdate.DELTA, [ListedEndpoint(1, 0, 0, 7, EndpointState.DRAINING, 0.0)]
        )
        decisions.decide(NOW)
        returned_at = NOW + 3_000_000  # longer than rules.fall-ms
        decisions.apply_endpoint_list(
            returned_at, EndpointUpdate.DELTA, [ListedEndpoint(1, 0, 0, 7, EndpointState.READY, 0.0)]
        )
        self.assertEqual(decisions.receivers[1].recovered_at, returned_at)

    def test_a_receiver_back_after_a_moment_is_not_ramped(self) -> None:
        decisions = make_sender()
        decisions.apply_endpoint_list(
            NOW, EndpointUpdate.DELTA, [ListedEndpoint(1, 0, 0, 7, EndpointState.DRAINING, 0.0)]
        )
        decisions.decide(NOW)
        decisions.apply_endpoint_list(
            NOW + 500_000, EndpointUpdate.DELTA, [ListedEndpoint(1, 0, 0, 7, EndpointState.READY, 0.0)]
        )
        self.assertEqual(decisions.receivers[1].recovered_at, 0)


class SuspensionTest(unittest.TestCase):
    def test_a_suspended_receiver_gets_no_attempts_until_it_is_restored_even_after_a_restart(self) -> None:
        program = Program([Receiver(reply(200)), Receiver(reply(200))])
        self.addCleanup(program.close)
        management_port = free_port()
        program.start(RELAY_MANAGEMENT=f"127.0.0.1:{management_port}")
        self.assertEqual(
            management_call(management_port, b"SUSPEND s-nobody\n").decode(),
            f"NO nobody has s-nobody [CW402: {UnlistedReceiverError.remedy}]\n",
        )
        self.assertEqual(
            management_call(management_port, b"RESTORE s-0\n").decode(),
            f"NO s-0 is not suspended [CW403: {NotSuspendedError.remedy}]\n",
        )
        self.assertEqual(management_call(management_port, b"SUSPEND s-0\n"), b"YES s-0 suspended, 1 calls out\n")
        self.assertEqual(management_call(management_port, b"SUSPEND s-0\n"), b"YES s-0 suspended, 2 calls out\n")
        time.sleep(0.1)
        with program.connect() as sock:
            self.assertEqual(submit_and_read_line(sock, "a", dest=0), OK)
            self.assertEqual(submit_and_read_line(sock, "b", dest=1), OK)
        wait_for_condition(lambda: program.receivers[1].calls)
        program.terminate()
        program.start(RELAY_MANAGEMENT=f"127.0.0.1:{management_port}")  # the platform still lists s-0 as up
        time.sleep(0.5)
        self.assertEqual(program.receivers[0].calls, [])
        self.assertEqual(
            management_call(management_port, b"RESTORE s-0\n"), b"YES s-0 restored\n"
        )  # one RESTORE for two SUSPEND calls
        wait_for_condition(lambda: program.receivers[0].calls)


def read_metrics(port: int) -> dict[str, float]:
    """Return the metrics of the management server by name and labels."""
    text = management_call(port, b"METRICS\n").decode()
    lines = text.splitlines()
    if lines[-1:] != ["END"]:
        raise AssertionError(f"no END: {text[-80:]!r}")
    metrics = {}
    for line in lines[:-1]:
        if line and not line.startswith("#"):
            name, value = line.rsplit(" ", 1)
            metrics[name] = float(value)
    return metrics


class MetricsTest(unittest.TestCase):
    def test_the_metrics_count_messages_and_attempts(self) -> None:
        program = Program([Receiver(reply(200)), Receiver(reply(500))])
        self.addCleanup(program.close)
        management_port = free_port()
        program.start(RELAY_MANAGEMENT=f"127.0.0.1:{management_port}")
        before = read_metrics(management_port)
        self.assertEqual(before['sender_passed_total{category="free"}'], 0)
        self.assertEqual(before["sender_known_receivers"], 2)
        with program.connect() as sock:
            for number in range(3):
                self.assertEqual(submit_and_read_line(sock, f"good-{number}"), OK)
            sock.sendall(encode_submit("nowhere", dest=9))
            self.assertEqual(read_line(sock)[:5], b"-BUSY")
            sock.sendall(encode_submit("bad", priority_class="once", dest=1))
            self.assertEqual(read_line(sock), OK)
        wait_for_condition(lambda: read_metrics(management_port)['sender_bad_gateway_total{category="once"}'] == 1)
        after = read_metrics(management_port)
        self.assertEqual(after['sender_passed_total{category="free"}'], 3)
        self.assertEqual(after['sender_dropped_total{category="free"}'], 1)
        self.assertEqual(after['sender_passed_total{category="once"}'], 0)
        self.assertEqual(after["sender_upstream_tries_total"], 4)
        self.assertEqual(after["sender_in_progress"], 0)
        self.assertEqual(management_call(management_port, b"SUSPEND s-1\n")[:3], b"YES")
        self.assertEqual(read_metrics(management_port)["sender_skipped_receivers"], 1)
