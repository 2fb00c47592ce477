"""An id that comes again runs once, over a restart and an upgrade, and what a process knows at its end is recorded."""

import signal
import socket
import subprocess
import threading
import time
import unittest

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st

from cedarwick.net.recent_submissions import LIFETIME_US, RecentSubmissions
from cedarwick.net.submission import AdmissionResult, Submission
from cedarwick.store.records import StoredMessage
from tests.build import (
    NESTED_SETTINGS,
    Program,
    Receiver,
    encode_submit,
    free_port,
    make_dispatcher,
    read_line,
    reply,
    wait_for_condition,
)
from tests.net.test_client_listener_races import BUSY, OK
from tests.net.test_departed_clients import QUIET_S, ClientProcessTestCase, called_ids
from tests.ops.test_ops import management_call, stop_process


class RecentSubmissionsTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from("abcd"), st.sampled_from(["add", "discard"]), st.integers(0, 9_000_000))))
    def test_an_id_is_known_from_its_last_submission_for_its_lifetime(self, steps: list[tuple[str, str, int]]) -> None:
        recent, expected, now = RecentSubmissions(), dict[str, int](), 0
        for message_id, step, later in steps:
            now += later
            if step == "add":
                recent.add(message_id, now)
                expected[message_id] = now
            else:
                recent.discard(message_id)
                expected.pop(message_id, None)
            recent.expire(now)
            expected = {each: at for each, at in expected.items() if at >= now - LIFETIME_US}
            self.assertEqual({each for each in "abcd" if each in recent}, set(expected))
            self.assertEqual(len(recent), len(expected))

    def test_nothing_is_forgotten_for_a_new_id(self) -> None:
        recent = RecentSubmissions(max_ids=2)
        recent.add("a", 1)
        self.assertFalse(recent.is_full())
        recent.add("b" * 200, 2)
        self.assertTrue(recent.is_full() and "a" in recent)


class EndOfDispatcherTest(unittest.TestCase):
    """Guards against withdrawals and results that were still queued as a process handed its folder over."""

    def setUp(self) -> None:
        _, self.store, self.dispatcher = make_dispatcher(self, {**NESTED_SETTINGS, "zones": ["here"]})
        self.dispatcher.attempts_stopped = self.dispatcher.storing_new = True
        self.running = gevent.spawn(self.dispatcher.run)
        self.addCleanup(self.running.kill)

    def submit(self, message_id: str) -> Submission:
        deadline = self.dispatcher.clock.now() + 8_000_000
        submission = Submission(StoredMessage(0, message_id, "", 0, "free", "", 0, deadline, b"x"))
        self.dispatcher.submit(submission)
        return submission

    def test_a_withdrawal_takes_effect_whether_it_comes_before_or_after_the_last_round(self) -> None:
        before, after = self.submit("before"), self.submit("after")
        self.assertEqual([each.answer.get(timeout=1)[0] for each in (before, after)], [AdmissionResult.ACCEPTED] * 2)
        self.dispatcher.withdraw(before)
        self.dispatcher.end()
        self.running.join(timeout=1)
        self.assertEqual([stored.id for stored in self.store.messages.values()], ["after"])
        self.dispatcher.withdraw(after)
        self.assertEqual(self.store.messages, {})

    def test_a_message_that_comes_after_the_last_round_is_refused(self) -> None:
        self.dispatcher.end()
        late = self.submit("in the last round")
        self.running.join(timeout=1)
        self.assertEqual(late.answer.get(timeout=1)[0], AdmissionResult.ACCEPTED)
        self.assertEqual(self.submit("later").answer.get(timeout=1)[0], AdmissionResult.BUSY)


class RestartTest(ClientProcessTestCase):
    def test_an_id_that_comes_again_after_a_restart_runs_once(self) -> None:
        """Guards against ids that only the process that took them remembered."""
        for end in ("kill", "terminate"):
            with self.subTest(end=end):
                program, receiver = self.start(lambda _: reply(200))
                self.assertEqual(self.submit(program, "a"), OK)
                wait_for_condition(lambda: receiver.calls)  # noqa: B023
                time.sleep(0.1)
                program.kill() if end == "kill" else program.terminate()
                program.start()
                self.assertEqual(self.submit(program, "a"), BUSY)
                self.assertEqual(self.submit(program, "b"), OK)
                wait_for_condition(lambda: "b" in called_ids(receiver))  # noqa: B023
                time.sleep(QUIET_S)
                self.assertEqual(called_ids(receiver), ["a", "b"])

    def test_an_id_that_is_still_owed_after_a_restart_is_taken_again_only_with_its_contents(self) -> None:
        program, receiver = self.start(lambda call: None if call == 1 else reply(200))
        self.assertEqual(self.submit(program, "a"), OK)
        wait_for_condition(lambda: receiver.calls)
        program.kill()
        program.start()
        self.assertEqual(self.submit(program, "a", body=b"other"), BUSY)
        self.assertIn(self.submit(program, "a"), (OK, BUSY))  # BUSY once it has been delivered again
        wait_for_condition(lambda: len(receiver.calls) == 2)
        time.sleep(QUIET_S)
        self.assertEqual([body for _, _, body in receiver.calls], [b"x", b"x"])


class UpgradeTest(unittest.TestCase):
    """Guards against an id that ran at the replaced process and again at its replacement."""

    def setUp(self) -> None:
        self.receiver = Receiver(reply(200))
        self.program = Program([self.receiver])
        self.addCleanup(self.program.close)
        listener = socket.create_server(("127.0.0.1", self.program.port), backlog=64)
        self.addCleanup(listener.close)
        self.fd = listener.fileno()
        self._start_first()

    def _start_first(self) -> None:
        self.program.start(fds=(self.fd,), RELAY_SOCKET_FD=str(self.fd), RELAY_MANAGEMENT=f"127.0.0.1:{free_port()}")

    def replace_process(self) -> "subprocess.Popen[str]":
        """Start a replacement, end the old process once it is ready, and return the replacement."""
        port = free_port()
        replacement = self.program.spawn((self.fd,), RELAY_SOCKET_FD=str(self.fd), RELAY_MANAGEMENT=f"127.0.0.1:{port}")
        self.addCleanup(stop_process, replacement)

        def is_ready() -> bool:
            try:
                return management_call(port, b"STATUS\n").startswith(b"YES")
            except OSError:
                return False

        wait_for_condition(is_ready, 6)
        self.program.signal(signal.SIGTERM)
        return replacement

    def test_an_id_comes_again_at_the_replacement(self) -> None:
        with self.program.connect() as client:
            client.sendall(encode_submit("a"))
            self.assertEqual(read_line(client), OK)
        wait_for_condition(lambda: self.receiver.calls)
        self.replace_process()
        assert self.program.process is not None
        self.program.process.wait(5)
        with self.program.connect() as client:
            client.sendall(encode_submit("a") + encode_submit("b"))
            self.assertEqual([read_line(client), read_line(client)], [BUSY, OK])
        wait_for_condition(lambda: "b" in called_ids(self.receiver))
        time.sleep(QUIET_S)
        self.assertEqual(called_ids(self.receiver), ["a", "b"])

    def test_no_id_runs_twice_and_no_refused_one_runs_while_clients_leave_and_come_again(self) -> None:
        """Clients write pairs of requests all through an upgrade; every third one leaves without its answers."""
        accepted: set[str] = set()
        refused: set[str] = set()
        left: set[str] = set()
        ended = threading.Event()

        def load(name: str) -> None:
            number = 0
            while not ended.is_set():
                ids = [f"{name}-{number}-{nth}" for nth in range(2)]
                number += 1
                try:
                    with self.program.connect() as client:
                        client.settimeout(0.4)
                        client.sendall(b"".join(encode_submit(each) for each in ids))
                        if number % 3 == 0:
                            left.update(ids)
                            continue
                        for each in ids:
                            line = read_line(client)
                            (accepted if line == OK else refused if line.startswith(BUSY[:5]) else left).add(each)
                except OSError:
                    left.update(each for each in ids if each not in accepted | refused)
                for each in ids:
                    if each in left:
                        self._hand_in_again(each, accepted)

        threads = [threading.Thread(target=load, args=(name,), daemon=True) for name in "abcd"]
        self.addCleanup(ended.set)
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        self.replace_process()
        assert self.program.process is not None
        self.program.process.wait(6)
        time.sleep(QUIET_S)
        ended.set()
        for thread in threads:
            thread.join()
        wait_for_condition(lambda: accepted <= set(called_ids(self.receiver)), 16)
        time.sleep(QUIET_S)
        ids = called_ids(self.receiver)
        self.assertEqual(sorted({each for each in ids if ids.count(each) > 1}), [])
        self.assertEqual(sorted((refused - accepted - left) & set(ids)), [])

    def _hand_in_again(self, message: str, accepted: set[str]) -> None:
        try:
            with self.program.connect() as client:
                client.settimeout(0.4)
                client.sendall(encode_submit(message))
                if read_line(client) == OK:
                    accepted.add(message)
        except OSError:
            pass


if __name__ == "__main__":
    unittest.main()
