"""Management calls while a process is being replaced: what one process has answered yes to, the other one does.

Guards against a fault of `docs/incidents/2026-12-04-suspended-by-a-replaced-process.md`: SUSPEND was answered yes by a
process that had handed over, and the new process never learned of it.
"""

import signal
import socket
import time
import unittest

from tests.build import Program, Receiver, free_port, read_line, reply, send_command, wait_for_condition
from tests.ops.test_ops import management_call, stop_process, submit_and_read_line

OK = b"+OK\r\n"
GRACE_S = 1.0  # `rules.drain-grace-ms`, after which a suspended receiver gets nothing more
YES_AFTER_RESUME_S = 2.0
NO_AFTER_PAUSE_S = 4.0


class HandoverCommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.program = Program([Receiver(reply(200)), Receiver(reply(200))])
        self.addCleanup(self.program.close)
        listener = socket.create_server(("127.0.0.1", self.program.port), backlog=64)
        self.addCleanup(listener.close)
        self.fd = listener.fileno()
        self.old, self.new = free_port(), free_port()
        self.program.start(fds=(self.fd,), RELAY_SOCKET_FD=str(self.fd), RELAY_MANAGEMENT=f"127.0.0.1:{self.old}")

    def start_replacement(self) -> None:
        replacement = self.program.spawn(
            (self.fd,), RELAY_SOCKET_FD=str(self.fd), RELAY_MANAGEMENT=f"127.0.0.1:{self.new}"
        )
        self.addCleanup(stop_process, replacement)
        wait_for_condition(self._replacement_is_ready, 6)

    def _replacement_is_ready(self) -> bool:
        try:
            return management_call(self.new, b"STATUS\n").startswith(b"YES")
        except OSError:
            return False

    def call_during_handover(self, beginning: bytes, rest: bytes) -> bytes:
        """Begin a call at the old process, hand over, and end the call's line once the new process serves."""
        with socket.create_connection(("127.0.0.1", self.old)) as caller:
            caller.sendall(beginning)
            time.sleep(0.1)  # the old process has accepted it
            self.program.signal(signal.SIGTERM)
            wait_for_condition(self._serves, 3)
            time.sleep(0.2)
            caller.settimeout(1.0)
            caller.sendall(rest)
            return read_line(caller)

    def _serves(self) -> bool:
        with self.program.connect() as sock:
            return send_command(sock, b"PING") in (b"+PONG\r\n", b"-LOADING paused by the operators\r\n")

    def calls_after_grace(self) -> int:
        """Hand in messages for the suspended receiver; the number of calls later than the grace."""
        since = time.monotonic() + GRACE_S
        for number in range(15):
            with self.program.connect() as sock:
                submit_and_read_line(sock, f"m{number}")
            time.sleep(0.1)
        return sum(at > since for at, _, _ in self.program.receivers[0].calls)

    def test_a_receiver_suspended_at_the_replaced_process_gets_no_calls_of_its_replacement(self) -> None:
        self.start_replacement()
        self.assertEqual(self.call_during_handover(b"SUSPEND ", b"s-0\n"), b"YES s-0 suspended, 1 calls out\n")
        self.assertEqual(self.calls_after_grace(), 0)
        self.assertEqual(management_call(self.new, b"RESTORE s-0\n"), b"YES s-0 restored\n")
        wait_for_condition(lambda: self.program.receivers[0].calls)

    def test_a_receiver_suspended_at_a_waiting_replacement_gets_no_calls_of_the_old_process(self) -> None:
        self.start_replacement()
        self.assertEqual(management_call(self.new, b"SUSPEND s-0\n"), b"YES s-0 suspended, 1 calls out\n")
        self.assertEqual(self.calls_after_grace(), 0)
        self.assertEqual(management_call(self.old, b"SUSPEND s-0\n"), b"YES s-0 suspended, 2 calls out\n")
        self.program.signal(signal.SIGTERM)
        self.assertEqual(management_call(self.new, b"RESTORE s-0\n"), b"YES s-0 restored\n")
        wait_for_condition(lambda: self.program.receivers[0].calls)

    def test_a_restore_at_the_replaced_process_reaches_its_replacement(self) -> None:
        management_call(self.old, b"SUSPEND s-0\n")
        self.start_replacement()
        self.assertEqual(self.call_during_handover(b"RESTORE", b" s-0\n"), b"YES s-0 restored\n")
        self.assertGreaterEqual(self.calls_after_grace() + len(self.program.receivers[0].calls), 1)

    def test_a_pause_outlasts_a_replacement_and_ends_with_resume(self) -> None:
        self.start_replacement()
        self.assertEqual(management_call(self.old, b"PAUSE\n"), b"YES paused\n")
        self.program.signal(signal.SIGTERM)
        paused_at = time.monotonic()
        assert self.program.process is not None
        self.assertEqual(self.program.process.wait(5), 0)
        time.sleep(max(0.0, paused_at + NO_AFTER_PAUSE_S - time.monotonic()))
        self.assertEqual(self._ping(), b"-LOADING paused by the operators\r\n")
        self.assertEqual(management_call(self.new, b"RESUME\n"), b"YES resumed\n")
        self.assertEqual(self._ping(), b"+PONG\r\n")

    def test_a_pause_at_the_replaced_process_reaches_its_replacement(self) -> None:
        self.start_replacement()
        self.assertEqual(self.call_during_handover(b"PAU", b"SE\n"), b"YES paused\n")
        self.assertEqual(self._ping(), b"-LOADING paused by the operators\r\n")

    def test_a_restart_ends_a_pause(self) -> None:
        self.assertEqual(management_call(self.old, b"PAUSE\n"), b"YES paused\n")
        self.program.terminate()
        self.program.start(fds=(self.fd,), RELAY_SOCKET_FD=str(self.fd), RELAY_MANAGEMENT=f"127.0.0.1:{self.new}")
        self.assertEqual(self._ping(), b"+PONG\r\n")

    def test_a_caller_that_the_ending_process_has_accepted_is_answered(self) -> None:
        with socket.create_connection(("127.0.0.1", self.old)) as caller:
            caller.sendall(b"SUSPEND ")
            time.sleep(0.1)
            self.program.signal(signal.SIGTERM)  # without a replacement, clients or attempts the end comes at once
            time.sleep(1.0)
            caller.settimeout(1.0)
            caller.sendall(b"s-0\n")
            self.assertEqual(read_line(caller), b"YES s-0 suspended, 1 calls out\n")

    def _ping(self) -> bytes:
        with self.program.connect() as sock:
            return send_command(sock, b"PING")


if __name__ == "__main__":
    unittest.main()
