"""Races on the watch of the endpoint list: silence, invalid or old updates, new addresses, late answers, fleets."""

import contextlib
import heapq
import json
import signal
import socket
import time
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import gevent

from cedarwick.decisions.interface import EndpointState, EndpointUpdate
from cedarwick.decisions.policy import Sender
from cedarwick.decisions.sender_state import MAX_LIST_POLL_DELAY
from cedarwick.decisions.state import SECOND
from cedarwick.net import endpoint_list as module
from tests.build import (
    NESTED_SETTINGS,
    NOW,
    SETTINGS,
    Program,
    Receiver,
    encode_submit,
    free_port,
    read_line,
    reply,
    wait_for_condition,
)
from tests.net.test_endpoint_list import HEAD, WatchTestCase, chunk


class SimulatedDiscovery:
    """Senders that call one simulated discovery as `EndpointList` does.

    The discovery is silent until `recovered_at`, then serves `rate` calls a second in order of arrival. A call that
    would take over 2 s is answered with 503, but costs the discovery its time all the same.
    """

    def __init__(self, senders: int, rate: float, recovered_at: float) -> None:
        self.recovered_at, self.rate, self.busy_until = recovered_at, rate, recovered_at
        self.senders = [Sender({**SETTINGS, "balancers": str(senders)}, seed, NOW) for seed in range(senders)]
        self.answered_after: dict[int, float] = {}  # by sender, in seconds since the recovery
        self.calls: list[list[float]] = [[] for _ in self.senders]
        self.events: list[tuple[float, int, int, Callable[[int, float], None]]] = []
        for sender in range(senders):
            self.schedule(sender / 1000, sender, self.call)

    def schedule(self, when: float, sender: int, event: Callable[[int, float], None]) -> None:
        heapq.heappush(self.events, (when, len(self.events) + len(self.calls[sender]) * 1000, sender, event))

    def run(self, seconds: float) -> None:
        while self.events and self.events[0][0] < seconds and len(self.answered_after) < len(self.senders):
            when, _, sender, event = heapq.heappop(self.events)
            if sender not in self.answered_after:
                event(sender, when)

    def call(self, sender: int, now: float) -> None:
        """Start the call that the decisions of a sender want; its previous call is closed."""
        decisions, now_us = self.senders[sender], NOW + round(now * SECOND)
        if self.calls[sender]:
            if now_us < decisions.subscribe_at:
                return  # the time of the call was drawn again
            assert decisions.decide(now_us).subscribe
        self.calls[sender].append(now)
        call_number = len(self.calls[sender])

        def unless_closed(handler: Callable[[int, float], None]) -> Callable[[int, float], None]:
            return lambda caller, at: handler(caller, at) if len(self.calls[caller]) == call_number else None

        if now < self.recovered_at:
            self.schedule(now + module.ANSWER_TIMEOUT_S, sender, unless_closed(self.failed))
            return
        self.busy_until = max(self.busy_until, now) + 1 / self.rate
        if self.busy_until - now > module.ANSWER_TIMEOUT_S:
            self.schedule(now + module.ANSWER_TIMEOUT_S, sender, unless_closed(self.failed))
        refused = self.busy_until - now > 2.0
        self.schedule(
            now + 2.0 if refused else self.busy_until, sender, unless_closed(self.failed if refused else self.answered)
        )

    def failed(self, sender: int, now: float) -> None:
        decisions = self.senders[sender]
        decisions.list_poll_failed(NOW + round(now * SECOND))
        self.schedule((decisions.subscribe_at - NOW) / SECOND + 1e-6, sender, self.call)

    def answered(self, sender: int, now: float) -> None:
        self.answered_after[sender] = now - self.recovered_at


class ManySendersTest(unittest.TestCase):
    """Failed list calls are spread over time, yet all senders get the list within 6 s of a recovery."""

    def test_all_senders_get_the_list_within_6_s_with_few_superfluous_calls(self) -> None:
        for senders in (2, 17, 40, 200):
            for all_in_s in (0.5, 4.0, 5.5)[: 1 if senders == 2 else 3]:  # in which the discovery can answer all
                with self.subTest(senders=senders, all_in_s=all_in_s):
                    simulation = SimulatedDiscovery(senders, senders / all_in_s, recovered_at=8.0)
                    simulation.run(60.0)
                    self.assertEqual(len(simulation.answered_after), senders)
                    self.assertLess(max(simulation.answered_after.values()), 6.0)
                    calls_after_recovery = sum(call >= 8.0 for calls in simulation.calls for call in calls)
                    self.assertLessEqual(calls_after_recovery, 1.2 * senders + 2)
                    gaps = [calls[nth] - calls[nth - 1] for calls in simulation.calls for nth in range(1, len(calls))]
                    self.assertLessEqual(max(gaps), 5.0 + 1e-5)

    def test_the_backoff_has_its_own_limit_unless_the_simulator_settings_allow_more(self) -> None:
        for setting, max_wait_s in (("", 4.0), ("0", 4.0), ("10000", 10.0)):
            waits = []
            for seed in range(100):
                sender = Sender({**SETTINGS, "balancers": "200", "rules.ask-within-ms": setting}, seed, NOW)
                sender.list_poll_failed(NOW)
                waits.append((sender.subscribe_at - NOW) / SECOND)
            self.assertLessEqual(max(waits), max_wait_s + 1e-5)
            self.assertGreater(max(waits) - min(waits), (max_wait_s - 2.0) * 0.9)
            self.assertGreater(min(waits), 1.99)  # or senders that lost the list together would overload the discovery


class SilentWatchTest(WatchTestCase):
    TOLERANCE_S = 0.3  # after the timeout

    def test_a_watch_without_a_complete_line_is_closed_in_time(self) -> None:
        """The agent either falls silent or sends a byte now and then."""
        empty_line, line = chunk(b"\n"), self.update_line(7)
        chunk_size = b"%x\r\n" % (len(line) + 99)
        cases: list[tuple[str, bytes, bytes]] = [
            ("the head", HEAD, b""),
            ("empty lines", HEAD + empty_line + empty_line, b""),
            ("half an object", HEAD + empty_line + chunk(line[:20]), b""),
            ("an object, then half of one", HEAD + chunk(line + line[:20]), b""),
            (
                "an object byte by byte",
                HEAD + empty_line,
                b"".join(chunk(line[offset : offset + 1]) for offset in range(len(line))),
            ),
            ("a chunk byte by byte", HEAD + empty_line + chunk_size, line * 9),
            ("a size byte by byte", HEAD + empty_line, b"0" * 99),
            ("a head byte by byte", HEAD[:17] + b"X: ", b"y" * 99),
        ]
        for name, first, rest in cases:
            with self.subTest(after=name):
                sock, _ = self.accept_call(within_s=2.0)
                sent_at = time.monotonic()
                sock.sendall(first)
                step = len(chunk(b"x")) if name == "an object byte by byte" else 1

                def send_more(sock: Any = sock, rest: bytes = rest, step: int = step) -> None:
                    with contextlib.suppress(OSError):
                        for offset in range(0, len(rest), step):
                            gevent.sleep(module.LINE_TIMEOUT_S - 0.01)  # just within the timeout each time
                            sock.sendall(rest[offset : offset + step])

                sending = gevent.spawn(send_more)
                self.addCleanup(sending.kill)
                again, _ = self.accept_call(within_s=module.LINE_TIMEOUT_S + 0.8)
                self.assertLess(time.monotonic() - sent_at, module.LINE_TIMEOUT_S + self.TOLERANCE_S)
                sending.kill()
                again.sendall(HEAD + chunk(b"\n"))
                self.wait_until(lambda: not self.endpoint_list.failure_reported)
                gevent.sleep(module.STABLE_WATCH_S + 0.15)
                again.close()
        self.assertEqual(self.failure_times, [])

    def test_a_call_whose_status_line_arrives_byte_by_byte_fails_in_time(self) -> None:
        sock, _ = self.accept_call()
        started_at = time.monotonic()
        for byte in b"HTTP/1.1 100 Go\r\n\r\nHTTP/1":
            if self.failure_times:
                break
            sock.sendall(bytes([byte]))
            gevent.sleep(module.ANSWER_TIMEOUT_S / 5)
        self.assertLess(self.failure_times[0] - started_at, module.ANSWER_TIMEOUT_S + self.TOLERANCE_S)

    def test_a_watch_that_was_answered_late_and_ended_at_once_counts_as_failed(self) -> None:
        sock, _ = self.accept_call()
        self.wait_until(lambda: self.failure_times)
        sock.sendall(HEAD + chunk(self.update_line(3)) + b"0\r\n\r\n")
        self.wait_until(lambda: len(self.failure_times) == 2)
        self.assertEqual(self.endpoint_list.version, 3)
        with self.assertRaises(gevent.Timeout):
            self.accept_call(within_s=0.2)

    def test_input_that_arrived_while_the_process_was_stopped_is_read(self) -> None:
        sock, _ = self.accept_call()
        sock.sendall(HEAD + chunk(b"\n"))
        self.wait_until(self.endpoint_list.first_update.is_set)
        sock.sendall(chunk(self.update_line(4)))
        time.sleep(module.LINE_TIMEOUT_S + 0.1)  # blocks the whole process
        self.wait_until(lambda: self.endpoint_list.version == 4)


class OldAndInvalidListsTest(WatchTestCase):
    def line(self, uid: str, **changes: Any) -> dict[str, Any]:
        return {**self.ENTRY, "uid": uid, "capacity_hint": 1.0, **changes}

    def update_chunk(self, rev: int, *lines: Any, full: bool = False) -> bytes:
        return chunk(json.dumps({"rev": rev, "all": full, "targets": lines}).encode() + b"\n")

    def phases(self) -> str:
        """The phase of each receiver as passed to the decisions, by uid."""
        uids = {number: uid for uid, number in self.endpoint_list.receiver_numbers.items()}
        phase_by_uid: dict[str, EndpointState] = {}
        for change, listings in self.updates:
            phase_by_uid = phase_by_uid if change is EndpointUpdate.DELTA else {}
            phase_by_uid.update({uids[listing.receiver]: listing.endpoint_state for listing in listings})
        marks = {EndpointState.READY: "+", EndpointState.DRAINING: "-", EndpointState.REMOVED: "x"}
        return " ".join(uid + marks[phase] for uid, phase in sorted(phase_by_uid.items()))

    def test_invalid_or_old_lines_cause_no_harm_and_the_full_list_is_requested_at_once(self) -> None:
        a, b = self.line("a"), self.line("b")
        drained = self.line("a", state="draining")
        cases: list[tuple[str, list[bytes], str]] = [
            (
                "a draining line with another invalid field",
                [
                    self.update_chunk(3, self.line("a", state="draining", endpoint="?")),
                    self.update_chunk(4, self.line("b", state="removed", pod_group=[])),
                ],
                "a- bx",
            ),
            (
                "a full list with an invalid line and a missing one",
                [self.update_chunk(3, self.line("a", az=[], endpoint=7), full=True), b""],
                "a+",
            ),
            ("a full list with a line without a uid", [self.update_chunk(3, a, {"state": "up"}, full=True), b""], "a+"),
            ("a delta with an invalid line", [self.update_chunk(3, {"uid": "b", "state": "?"}, drained), b""], "a- b+"),
            (
                "an older full list",
                [self.update_chunk(5, drained), self.update_chunk(4, a, b, full=True), b""],
                "a- b+",
            ),
            ("an older delta", [self.update_chunk(5, drained), self.update_chunk(4, a), b""], "a- b+"),
            (
                "the same full list twice",
                [self.update_chunk(3, drained, b, full=True), self.update_chunk(3, drained, b, full=True)],
                "a- b+",
            ),
        ]
        for name, chunks, phases in cases:
            with self.subTest(name):
                self.updates.clear()
                sock, _ = self.accept_call()
                sock.sendall(HEAD + self.update_chunk(2, a, b, full=True))
                self.wait_until(lambda: self.endpoint_list.version == 2)
                for each in chunks:
                    if each:
                        sock.sendall(each)
                    else:  # reopened at once, although the watch was short, and not reported as failed
                        again, line = self.accept_call(within_s=0.4)
                        self.assertIn(b"since=0 ", line)
                        self.assertEqual(self.phases(), phases)
                        sock = again
                self.wait_until(lambda: self.phases() == phases)  # noqa: B023
                # The agent restarts its count.
                sock.sendall(HEAD + self.update_chunk(1, a, b, full=True) if b"" in chunks else b"")
                self.wait_until(lambda: self.endpoint_list.version == 1 or b"" not in chunks)  # noqa: B023
                self.assertFalse(self.endpoint_list.needs_full_list)
                self.endpoint_list.version = 0
                self.assertEqual(self.failure_times, [])
                gevent.sleep(module.STABLE_WATCH_S + 0.15)
                sock.close()

    def test_an_agent_that_keeps_sending_invalid_or_old_lists_is_not_called_continuously(self) -> None:
        invalid_list = self.update_chunk(3, self.line("a"), {"uid": 7}, full=True)
        sock, _ = self.accept_call()
        sock.sendall(HEAD + invalid_list)
        sock, line = self.accept_call(within_s=0.3)
        self.assertIn(b"since=0 ", line)
        self.assertFalse(self.endpoint_list.first_update.is_set())  # otherwise attempts would follow the saved list
        sock.sendall(HEAD + invalid_list)  # the same again: this watch stays open
        sock.sendall(self.update_chunk(4, self.line("a", state="draining")))
        self.wait_until(lambda: self.phases() == "a-")
        with self.assertRaises(gevent.Timeout):
            self.accept_call(within_s=0.2)
        gevent.sleep(module.STABLE_WATCH_S)
        sock.close()
        for count in range(2):  # each requests the full list already: the decisions choose the time of the next call
            sock, line = self.accept_call()
            self.assertIn(b"since=0 ", line)
            sock.sendall(HEAD + self.update_chunk(9, self.line("a"), full=True) + self.update_chunk(8, self.line("a")))
            self.wait_until(lambda: len(self.failure_times) == count + 1)  # noqa: B023
            self.endpoint_list.reopen_watch()

    def test_a_version_below_the_saved_one_causes_a_request_for_the_full_list(self) -> None:
        sock, _ = self.accept_call()
        self.endpoint_list.apply_update({"rev": 10**30, "all": True, "targets": [self.ENTRY]}, saved=True)
        sock.close()
        self.wait_until(lambda: self.failure_times)
        self.endpoint_list.reopen_watch()
        sock, line = self.accept_call()
        self.assertIn(b"since=1000", line)
        sock.sendall(HEAD + self.update_line(2).join([b"%x\r\n" % len(self.update_line(2)), b"\r\n"]))
        _, line = self.accept_call(within_s=0.4)
        self.assertIn(b"since=0 ", line)


class ChangedAddressTest(WatchTestCase):
    def test_a_change_of_address_in_any_state_reopens_the_watch_at_once(self) -> None:
        """In each state: changed once, changed twice in a row, and with `reopen_watch` before or after the change."""

        def change(new: Any) -> None:
            self.endpoint_list.change_address(new.getsockname())

        def change_twice(new: Any) -> None:
            change(self.start_agent())
            change(new)

        def reopen_first(new: Any) -> None:
            self.endpoint_list.reopen_watch()
            change(new)

        def reopen_after(new: Any) -> None:
            change(new)
            self.endpoint_list.reopen_watch()

        for how in (change, change_twice, reopen_first, reopen_after):
            for state in ("starting", "reading", "unanswered", "waiting", "ending"):
                with self.subTest(state=state, how=how.__name__):
                    self.endpoint_list.change_address(self.listener.getsockname())
                    sock, _ = self.accept_call()
                    failed = len(self.failure_times)
                    if state in ("reading", "ending"):
                        sock.sendall(HEAD + chunk(self.update_line(7)))
                        self.wait_until(lambda: self.endpoint_list.version == 7)
                    elif state == "unanswered":
                        self.wait_until(lambda: self.endpoint_list.failure_reported)
                    elif state == "waiting":
                        sock.close()
                        self.wait_until(lambda: len(self.failure_times) > failed)  # noqa: B023
                    new, old = self.start_agent(), self.endpoint_list.watch_greenlet
                    if state == "ending":  # the watch has ended, but `watch` has not run since
                        assert old is not None
                        old.link(lambda _, how=how, new=new: how(new))
                        sock.close()
                    else:
                        how(new)
                    new_sock, line = self.accept_call(new, within_s=0.2)
                    self.assertIn(b"since=0 ", line)
                    if state == "reading":
                        with contextlib.suppress(OSError):
                            sock.sendall(chunk(self.update_line(90)))
                    new_sock.sendall(HEAD + chunk(self.update_line(3)))
                    self.wait_until(lambda: self.endpoint_list.version == 3)
                    gevent.sleep(0.02)
                    self.assertEqual((self.endpoint_list.version, self.endpoint_list.platform), (3, new.getsockname()))

    def test_an_agent_at_a_new_address_that_is_not_up_yet_is_called_often_during_the_grace_period(self) -> None:
        for grace_s in (9.0, 0.0):
            with (
                self.subTest(grace_s=grace_s),
                mock.patch.object(module, "ADDRESS_CHANGE_GRACE_S", grace_s),
                gevent.socket.socket() as new,
            ):
                new.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_REUSEADDR, 1)
                new.bind(("127.0.0.1", 0))
                failed, started_at = len(self.failure_times), time.monotonic()
                self.endpoint_list.change_address(new.getsockname())
                self.wait_until(lambda: len(self.failure_times) >= failed + (3 if grace_s else 1))  # noqa: B023
                calls = len(self.failure_times) - failed
                self.assertLessEqual(calls, 1 + (time.monotonic() - started_at) / module.STABLE_WATCH_S)
                new.listen()
                if not grace_s:
                    with self.assertRaises(gevent.Timeout):
                        self.accept_call(new, within_s=module.STABLE_WATCH_S + 0.2)
                    self.endpoint_list.reopen_watch()
                _, line = self.accept_call(new, within_s=module.STABLE_WATCH_S + 0.4)
                self.assertIn(b"since=0 ", line)


class FirstAttemptsTest(unittest.TestCase):
    def test_until_the_first_answer_messages_are_stored_and_not_attempted_by_the_saved_list(self) -> None:
        program = Program([Receiver(None), Receiver(reply(200))])
        self.addCleanup(program.close)
        program.configure(known={"rev": 0, "all": True, "targets": [program.target(0), program.target(1)]})
        program.platform.targets = [program.target(0, "draining"), program.target(1)]
        original = program.platform.finish_request
        for delay_s in (0.5, 5.0):

            def finish_late(*args: Any, delay_s: float = delay_s) -> None:
                time.sleep(delay_s)
                original(*args)

            with mock.patch.object(program.platform, "finish_request", finish_late):
                program.start()
                started_at = time.monotonic()
                with program.connect() as sock:
                    for dest in (0, 1):
                        sock.sendall(encode_submit(f"{delay_s}-{dest}", dest=dest))
                        self.assertEqual(read_line(sock), b"+OK\r\n")
                self.assertLess(time.monotonic() - started_at, 0.38)
                wait_for_condition(lambda: len(program.receivers[1].calls) == 1 + (delay_s > 1))  # noqa: B023
                self.assertLess(time.monotonic() - started_at, 1.3)
                time.sleep(0.3)
                self.assertEqual(bool(program.receivers[0].calls), delay_s > 1)
            program.kill()

    def test_a_list_call_that_failed_during_the_wait_for_the_folder_is_repeated_once_the_folder_is_held(self) -> None:
        """With many senders the decisions, which start only then, would repeat the call 2 to 4 s later."""
        program = Program([Receiver(None)])
        self.addCleanup(program.close)
        program.configure(
            known={"rev": 0, "all": True, "targets": [program.target(0)]},
            settings={**NESTED_SETTINGS, "balancers": 200},
        )
        silent_agent = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(silent_agent.close)
        with socket.create_server(("127.0.0.1", program.port), backlog=64) as listener:
            fd = listener.fileno()
            program.start((fd,), RELAY_SOCKET_FD=str(fd), RELAY_MANAGEMENT=f"127.0.0.1:{free_port()}")
            # The new agent accepts connections, but does not answer.
            program.configure(discovery=f"127.0.0.1:{silent_agent.getsockname()[1]}")
            replacement = program.spawn((fd,), RELAY_SOCKET_FD=str(fd), RELAY_MANAGEMENT=f"127.0.0.1:{free_port()}")
            self.addCleanup(replacement.communicate)
            self.addCleanup(replacement.kill)
            silent_agent.settimeout(8)
            first, _ = silent_agent.accept()
            self.addCleanup(first.close)
            time.sleep(module.ANSWER_TIMEOUT_S + 0.5)
            program.signal(signal.SIGTERM)
            assert program.process is not None
            program.process.wait(8)
            held_at = time.monotonic()
            again, _ = silent_agent.accept()
            again.close()
            self.assertLess(time.monotonic() - held_at, 1.0)

    def test_the_longest_backoff_and_the_timeouts_add_up_to_less_than_6_s(self) -> None:
        self.assertLess(module.CONNECT_TIMEOUT_S + MAX_LIST_POLL_DELAY / SECOND, 5.5)
        self.assertLess(module.ANSWER_TIMEOUT_S + MAX_LIST_POLL_DELAY / SECOND, 5.5)


if __name__ == "__main__":
    unittest.main()
