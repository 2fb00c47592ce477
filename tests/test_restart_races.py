"""Restarts: what a process has stored in its folder at any moment, and what the next process does with it."""

import copy
import json
import os
import shutil
import socket
import tempfile
import threading
import time
import unittest
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

import gevent
import gevent.event
import gevent.socket
from gevent.event import AsyncResult
from hypothesis import given, settings
from hypothesis import strategies as st

from cedarwick.decisions.connection_reuse import AT_MOST_ONCE_QUIET_PERIOD
from cedarwick.decisions.interface import Outcome, UnfinishedMessage
from cedarwick.net import assignment
from cedarwick.net.assignment import Assignment
from cedarwick.net.attempts import AttemptCall, AttemptResult
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.endpoint_list import EndpointList
from cedarwick.net.notifications import Notifier
from cedarwick.net.sockets import PollClock, open_connection
from cedarwick.net.submission import Submission
from cedarwick.store.journal import Store
from cedarwick.store.records import StoredMessage
from tests.build import GUARDED, MS, NESTED_SETTINGS, NOW, accept_message, make_sender, reply, wait_for_condition
from tests.net import test_retry_after
from tests.net.test_retry_after import Partner, Play

ZONAL = {
    "name": "zonal",
    "repeat": "guarded",
    "group": "zone",
    "dedup-window-ms": 6000.0,
    "slo-ms": 2000.0,
    "deadline-ms": 16000.0,
}
CLASSES: Any = NESTED_SETTINGS["classes"]
FREE, ONCE = CLASSES
OLD_SETTINGS: dict[str, Any] = {
    **NESTED_SETTINGS,
    "zones": ["north", "south"],
    "realms": [{"name": "first"}, {"name": "second"}],
    "classes": [FREE, {**ONCE, "name": "changed", "repeat": "free"}, ONCE, ZONAL, {**FREE, "name": "given-up"}],
}
NEW_SETTINGS: dict[str, Any] = {
    **NESTED_SETTINGS,
    "zones": ["east", "south", "north"],
    "realms": [{"name": "new"}, {"name": "second"}, {"name": "first"}],
    "classes": [ZONAL, ONCE, {**ONCE, "name": "changed", "repeat": "single_shot"}, FREE],
}


class Process:
    """One process of a sender on its folder, without sockets; started attempts are recorded in `calls`."""

    def __init__(self, folder: str, settings: dict[str, Any], receivers: dict[str, str], elapsed_ms: int = 0) -> None:
        """Start the process.

        Args:
            folder: The state folder.
            settings: Nested settings.
            receivers: The zone of each receiver by its uid; all are up, at destination 0.
            elapsed_ms: By how much wall time has advanced since the previous process.
        """
        self.clock, self.counters = Clock(), Counters()
        self.clock.base += elapsed_ms * 1_000_000
        self.store = Store(folder, 1 << 20, now=self.clock.now)
        self.store.load()
        config = Assignment(
            "n", ("", 0), ("", 0), folder, 1, 64, 1 << 20, {}, assignment.flatten_settings(copy.deepcopy(settings))
        )
        self.dispatcher = Dispatcher(config, self.clock, self.counters, self.store, PollClock(self.clock))
        self.calls: list[AttemptCall] = []
        self.dispatcher.attempts = SimpleNamespace(start=self.calls.append)  # type: ignore[assignment]
        self.dispatcher.notices = Notifier(("", 0), self.counters, self.dispatcher.acknowledged)
        self.dispatcher.release_connections = lambda receiver: None
        self.endpoint_list = EndpointList(config, self.counters, self.dispatcher._apply_endpoint_update, lambda: None)
        self.endpoint_list.apply_update(
            {
                "rev": 1,
                "all": True,
                "targets": [
                    {"uid": uid, "endpoint": "127.0.0.1:9", "az": zone, "model": "plain", "pod_group": 0, "state": "up"}
                    for uid, zone in receivers.items()
                ],
            }
        )
        self.dispatcher.restore()

    def submit(self, name: str, priority_class: str, tenant: str = "") -> None:
        self.dispatcher._admit(
            Submission(StoredMessage(0, name, "", 0, priority_class, tenant, 0, self.clock.now() + 8_000_000, b"x"))
        )
        self.dispatcher._decide()

    def receiver_of(self, call: AttemptCall) -> str:
        """Return the uid of the receiver of a call."""
        return next(uid for uid, number in self.endpoint_list.receiver_numbers.items() if number == call.receiver)

    def is_cleared(self, call: AttemptCall) -> bool:
        answer: AsyncResult = AsyncResult()
        self.dispatcher._decide_clearance(call, answer)
        return bool(answer.get(block=False))


class ChangedSettingsTest(unittest.TestCase):
    """A restart with other settings on the same folder: zones, tenants and classes in another order and number."""

    def process(self, folder: str, settings: dict[str, Any], **receivers: str) -> Process:
        started = Process(folder, settings, receivers)
        self.addCleanup(started.store.close)
        return started

    def repeat_after_restart(
        self,
        priority_class: str,
        outcome: Outcome | None,
        first_zone: str,
        new_settings: dict[str, Any],
        *zones: str,
        recorded_zone: int | None = None,
    ) -> tuple[set[str], list[tuple[bool, int] | None], set[int]]:
        """Attempt a message in one zone under the old settings, then restart with the new ones.

        Returns the zones in which it is repeated, its final answers and the indices of its tenant. `recorded_zone`
        replaces the recorded zone, as an older version has written it.
        """
        with tempfile.TemporaryDirectory() as folder:
            first = self.process(folder, OLD_SETTINGS, only=first_zone)
            first.submit("a", priority_class, "second")
            if recorded_zone is not None:
                first.store.record_attempt(1, first.clock.now(), recorded_zone)
            self.assertTrue(first.is_cleared(first.calls[0]))
            if outcome is not None:
                first.dispatcher._attempt_ended(first.calls[0], AttemptResult(outcome))
            first.store.close()
            second = self.process(folder, new_settings, **{zone: zone for zone in zones})
            tenants = {handle.tenant for handle in second.dispatcher.handles.values()}
            repeated_in = set()
            for _ in range(4):
                for handle in second.dispatcher.handles.values():
                    handle.not_before = 0
                second.dispatcher.sender.order_key_queues.all_paused_until = 0
                second.dispatcher._decide()
                for call in second.calls:
                    repeated_in.add(second.receiver_of(call))
                    second.dispatcher._attempt_ended(call, AttemptResult(Outcome.MOOT))
                second.calls.clear()
            second.store.close()
            return repeated_in, [stored.final_answer for stored in second.store.messages.values()], tenants

    def test_a_repeat_stays_in_the_zone_of_its_first_attempt_whatever_its_index(self) -> None:
        for outcome in (None, Outcome.TIME_OUT):
            for zone in ("north", "south"):
                with self.subTest(outcome=outcome, zone=zone):
                    self.assertEqual(
                        self.repeat_after_restart("zonal", outcome, zone, NEW_SETTINGS, "east", "south", "north")[0],
                        {zone},
                    )
        for name, zones, recorded_zone in (
            ("a zone that was removed", ["x", "y", "z"], None),
            ("an index past the end", ["x"], None),
            ("a zone recorded as an index by an older version", NEW_SETTINGS["zones"], 0),
        ):
            with self.subTest(name):
                new_settings = {**NEW_SETTINGS, "zones": zones}
                self.assertEqual(
                    self.repeat_after_restart(
                        "zonal", None, "north", new_settings, *NEW_SETTINGS["zones"], recorded_zone=recorded_zone
                    )[0],
                    set(),
                )

    def test_a_message_is_not_repeated_in_a_zone_whose_mark_is_ambiguous(self) -> None:
        with mock.patch("cedarwick.net.dispatch_state.zone_id", lambda name: 2000):
            self.assertEqual(
                self.repeat_after_restart("zonal", None, "north", NEW_SETTINGS, *NEW_SETTINGS["zones"])[0], set()
            )

    def test_priority_class_and_tenant_are_matched_by_name_and_repeats_follow_the_current_settings(self) -> None:
        failed, reset = [(False, 0)], Outcome.RESET
        for priority_class, outcome, is_repeated, ends in (
            ("free", None, True, [None]),
            ("once", None, False, failed),
            ("once", Outcome.FULL, True, [None]),
            ("changed", reset, False, failed),
            ("given-up", Outcome.FULL, True, [None]),
            ("given-up", reset, False, failed),
            ("given-up", None, False, failed),
        ):
            with self.subTest(priority_class=priority_class, outcome=outcome):
                repeated_in, ended, tenants = self.repeat_after_restart(
                    priority_class, outcome, "north", NEW_SETTINGS, "south"
                )
                self.assertEqual((repeated_in, ended, tenants), ({"south"} if is_repeated else set(), ends, {1}))


class KilledAtTest(unittest.TestCase):
    """SIGKILL at each step from a request to the acknowledgement of its notice.

    The next process starts on a copy of the folder as of that step. Each message gets one final answer, and no message
    that must not be repeated is sent twice.
    """

    READ, STORED, RECORDED, SENT, OUTCOME, ENDED, POSTED, ACKNOWLEDGED = range(8)

    def steps(self, process: Process, priority_class: str, outcome: Outcome, observed: list[str]) -> Iterator[int]:
        """Process one message with one attempt step by step; `observed` receives its calls and notices."""
        process.dispatcher._admit(
            Submission(StoredMessage(0, "a", "", 0, priority_class, "", 0, process.clock.now() + 8_000_000, b"x"))
        )
        yield self.READ
        process.dispatcher._decide()
        yield self.STORED  # its client may have read the answer or not
        self.assertTrue(process.is_cleared(process.calls[0]))
        yield self.RECORDED
        observed.append("call")
        yield self.SENT  # the answer of the receiver may have been read or not
        process.dispatcher._attempt_ended(process.calls[0], AttemptResult(outcome, last=outcome is Outcome.COMPLETED))
        yield self.OUTCOME
        process.dispatcher._decide()
        yield self.ENDED
        observed.extend(self.posted(process))
        yield self.POSTED
        process.dispatcher._acknowledged(list(process.dispatcher.notices.pending))
        yield self.ACKNOWLEDGED

    def posted(self, process: Process) -> list[str]:
        return [json.loads(line)["state"] for line in process.dispatcher.notices.pending.values()]

    def observe(self, priority_class: str, outcome: Outcome, killed_at: int, elapsed_ms: int = 0) -> list[str]:
        """Return all calls and notices of a message if all calls of the next process complete."""
        observed: list[str] = []
        with tempfile.TemporaryDirectory() as folder:
            first = Process(folder, {**OLD_SETTINGS, "classes": CLASSES + [ZONAL]}, {"one": "north"})
            self.addCleanup(first.store.close)
            for step in self.steps(first, priority_class, outcome, observed):
                if step == killed_at:
                    break
            with tempfile.TemporaryDirectory() as copied_folder:
                for name in os.listdir(folder):
                    shutil.copy(os.path.join(folder, name), copied_folder)
                second = Process(
                    copied_folder, {**OLD_SETTINGS, "classes": CLASSES + [ZONAL]}, {"one": "north"}, elapsed_ms
                )
                for _ in range(3):
                    for handle in second.dispatcher.handles.values():
                        handle.not_before = 0
                    second.dispatcher._decide()
                    for call in second.calls:
                        self.assertTrue(second.is_cleared(call))
                        observed.append("call")
                        second.dispatcher._attempt_ended(call, AttemptResult(Outcome.COMPLETED, last=True))
                    second.calls.clear()
                observed.extend(self.posted(second))
                second.dispatcher._acknowledged(list(second.dispatcher.notices.pending))
                self.assertEqual((second.store.messages, second.dispatcher.handles), ({}, {}))
                second.store.close()
        return observed

    def test_each_step_with_each_kind_of_repeat(self) -> None:
        done, reset, full = Outcome.COMPLETED, Outcome.RESET, Outcome.FULL
        once, twice, failed = ["call"], ["call", "call"], ["call", "failed"]
        table: list[tuple[str, Outcome, int, dict[int, list[str]]]] = [
            (
                "free",
                done,
                0,
                {
                    self.READ: [],
                    self.STORED: once,
                    self.RECORDED: once,
                    self.SENT: twice,
                    self.OUTCOME: once,
                    self.ENDED: once,
                    self.ACKNOWLEDGED: once,
                },
            ),
            (
                "once",
                done,
                0,
                {
                    self.READ: [],
                    self.STORED: once,
                    self.RECORDED: ["failed"],
                    self.SENT: failed,
                    self.OUTCOME: once,
                    self.ACKNOWLEDGED: once,
                },
            ),
            (
                "once",
                reset,
                0,
                {self.OUTCOME: failed, self.ENDED: failed, self.POSTED: [*failed, "failed"], self.ACKNOWLEDGED: failed},
            ),
            ("once", full, 0, {self.OUTCOME: twice}),
            ("zonal", done, 1000, {self.STORED: once, self.RECORDED: once, self.SENT: twice, self.OUTCOME: once}),
            ("zonal", reset, 1000, {self.SENT: twice, self.OUTCOME: twice}),
            (
                "zonal",
                reset,
                6001,
                {self.STORED: once, self.RECORDED: ["failed"], self.SENT: failed, self.OUTCOME: failed},
            ),
            ("free", reset, 20_000, {self.STORED: ["returned"], self.RECORDED: ["failed"], self.SENT: failed}),
        ]
        for priority_class, outcome, elapsed_ms, expected in table:
            for killed_at, observed in expected.items():
                with self.subTest(
                    priority_class=priority_class, outcome=outcome, elapsed_ms=elapsed_ms, killed_at=killed_at
                ):
                    self.assertEqual(self.observe(priority_class, outcome, killed_at, elapsed_ms), observed)


class RestoredMessagesTest(unittest.TestCase):
    """A restart still attempts messages that were never attempted."""

    def test_no_restored_message_is_dropped_if_the_new_limits_are_smaller(self) -> None:
        for max_open, room, count in (("100", 1 << 62, 98), ("8", 1 << 62, 98), ("8", 1, 60), ("100", 1, 1)):
            with self.subTest(max_open=max_open, room=room, count=count):
                decisions = make_sender(policy_limits__max_open=max_open, family_info__max_calls="1")
                decisions.storable_messages = room
                decisions.restore(
                    NOW,
                    [UnfinishedMessage(number, 7, number % 3, NOW + 8_000 * MS, 0, 0, ()) for number in range(count)],
                )
                untried = set(range(count))
                for now in range(NOW, NOW + 4_000 * MS, 100 * MS):
                    verdicts = decisions.decide(now)
                    self.assertEqual((verdicts.nacks, verdicts.abandoned), ([], []))
                    untried -= {number for number, _, _ in verdicts.attempts}
                # The first attempt keeps the only slot; all other messages still wait.
                self.assertEqual(len(untried), max(0, count - 1))
                decisions.storable_messages = 0
                accept_message(decisions, 1000)
                self.assertTrue(decisions.decide(NOW + 4_000 * MS).nacks)  # new messages are limited as before


class ShortIdempotencyWindowTest(unittest.TestCase):
    """Time limit of a numbered attempt if the window for its repeats is a second or less."""

    def attempt_time_ms(self, window: int, ran_ago: int | None, mean: int, attempts: int = 0) -> int:
        """Return the time limit in ms, at most 16 s; `ran_ago`: age in ms of an earlier attempt that may have run."""
        decisions = make_sender(classes__1__dedup_window_ms=str(window), classes__1__in_turn="false")
        decisions.receivers[1].mean_latency = mean * MS
        handle = accept_message(decisions, 1, GUARDED)
        handle.attempts = attempts
        if ran_ago is not None:
            handle.ran_at = NOW - ran_ago * MS
        attempts_now = decisions.decide(NOW).attempts
        return attempts_now[0][2] // MS if attempts_now else 0

    def test_a_hanging_attempt_leaves_time_for_a_repeat_if_the_mean_latency_allows_it(self) -> None:
        full_time_ms = 16_000 - 10
        for window, ran_ago, mean, attempts, expected in (
            (1000, None, 100, 0, 500),
            (1400, None, 300, 0, 900),
            (1000, None, 0, 0, full_time_ms),
            (1000, None, 600, 0, full_time_ms),
            (1000, None, 100, 5, full_time_ms),
            (2000, None, 600, 0, 1500),
            (1000, 300, 100, 1, 200),
            (1000, 300, 300, 1, full_time_ms),
            (1000, 999, 1, 1, full_time_ms),
            (1000, 1000, 1, 1, 0),
            (500, None, 1, 0, full_time_ms),
            (100, None, 1, 0, full_time_ms),
            (0, None, 1, 0, full_time_ms),
        ):
            with self.subTest(window=window, ran_ago=ran_ago, mean=mean, attempts=attempts):
                self.assertEqual(self.attempt_time_ms(window, ran_ago, mean, attempts), expected)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.integers(0, 8000), st.one_of(st.none(), st.integers(0, 8000)), st.integers(0, 20_000))
    def test_an_attempt_stays_within_its_window_and_has_time_for_an_answer(
        self, window: int, ran_ago: int | None, mean: int
    ) -> None:
        time_ms = self.attempt_time_ms(window, ran_ago, mean, int(ran_ago is not None))
        if ran_ago is not None and ran_ago >= window:
            self.assertEqual(time_ms, 0)
        elif time_ms:
            self.assertLessEqual(min(1000, mean or 1000), time_ms)
            self.assertLessEqual(time_ms, 16_000 - 10)


LARGE_BODY_BYTES = 60_000


class HeldPartner(Partner):
    """A partner that exposes its connections, so that a test can act on them while the sender uses them."""

    def __init__(self, play: Play, receive_buffer: int = 0) -> None:
        self.socks: list[socket.socket] = []
        self.may_read = threading.Event()
        self.may_read.set()
        super().__init__(play)
        if receive_buffer:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)

    def _serve(self, sock: socket.socket) -> None:
        self.socks.append(sock)
        if self.may_read.is_set():
            super()._serve(sock)
            return
        self.may_read.wait(10.0)
        received = 0
        while chunk := sock.recv(1 << 16):
            received += len(chunk)
            if received > LARGE_BODY_BYTES:  # the head and the whole body
                self.arrived.append((time.monotonic(), "large"))
                sock.sendall(reply(200))
        sock.close()


# Clearances do not expire, however busy the machine is.
@mock.patch("cedarwick.net.attempts.CLEARANCE_LIFETIME_US", 60_000_000)
class BetweenDecisionAndLastByteTest(unittest.TestCase):
    """Events between the decision for an attempt and its last byte."""

    def start(self, receive_buffer: int = 0) -> None:
        """Start the dispatcher, its attempts and its connections with a partner that completes all calls."""
        self.fixture = test_retry_after.RetryAfterTest("assert_waits_respected")
        self.addCleanup(self.fixture.doCleanups)
        play = lambda partner, sock, number: sock.sendall(reply(200))  # noqa: E731
        with mock.patch("tests.net.test_retry_after.Partner", lambda _: HeldPartner(play, receive_buffer)):
            self.fixture.start(play)
        self.partner = cast(HeldPartner, self.fixture.partner)
        self.dispatcher, self.pool, self.counts = (
            self.fixture.dispatcher,
            self.fixture.connections,
            self.fixture.counters.counts,
        )
        self.priority_class = self.dispatcher.sender.priority_classes[0]
        self.priority_class.idempotent, self.priority_class.dedup_window = False, 1_000_000  # numbered

    def hook_clearance(
        self, before: Callable[[AttemptCall], None], after: Callable[[AttemptCall], None] = lambda call: None
    ) -> None:
        """Run a function before and after the clearance of each attempt by the dispatcher."""
        request_clearance = self.dispatcher.attempts.request_clearance

        def clear_with_hooks(call: AttemptCall) -> bool:
            before(call)
            cleared = request_clearance(call)
            after(call)
            return cleared

        self.dispatcher.attempts.request_clearance = clear_with_hooks

    def wait_until(self, condition: Callable[[], Any]) -> None:
        wait_for_condition(lambda: gevent.sleep(0.005) or condition(), 5.0)

    def open_window(self, remaining_us: int) -> Callable[[AttemptCall], None]:
        """Return a hook that makes an earlier attempt possible; its window stays open for the remaining time."""

        def set_ran_at(call: AttemptCall) -> None:
            handle = self.dispatcher.handles[call.message.number]
            handle.ran_at = handle.ran_at or self.fixture.clock.now() + remaining_us - self.priority_class.dedup_window

        return set_ran_at

    def test_no_byte_is_sent_if_the_window_closes_after_the_clearance(self) -> None:
        for is_sent in (False, True):
            with self.subTest(is_sent=is_sent):
                self.start()

                def advance_clock(call: AttemptCall, is_sent: bool = is_sent) -> None:
                    self.fixture.clock.base += 0 if is_sent else 3_000_000_000

                self.hook_clearance(self.open_window(3_000_000), advance_clock)
                self.priority_class.dedup_window = 4_000_000
                self.fixture.submit("a")
                self.wait_until(lambda: self.partner.arrived or self.fixture.store.messages[1].final_answer)
                self.assertEqual([name for _, name in self.partner.arrived], ["a"] * is_sent)
                self.assertEqual(self.counts["attempts held back: their time was over"], not is_sent)

    def test_the_last_byte_is_held_back_if_the_window_closes_during_the_write(self) -> None:
        for is_sent in (False, True):
            with (
                self.subTest(is_sent=is_sent),
                mock.patch("cedarwick.net.connections.open_connection", open_narrow_connection),
            ):
                self.start(receive_buffer=4096)
                self.hook_clearance(self.open_window(900_000))
                self.partner.may_read.clear()
                self.dispatcher.submit(
                    Submission(
                        StoredMessage(
                            0, "a", "", 0, "free", "", 0, self.fixture.clock.now() + 8_000_000, bytes(LARGE_BODY_BYTES)
                        )
                    )
                )
                self.wait_until(lambda: self.partner.socks)
                if not is_sent:
                    self.wait_until(lambda: self.counts["attempts without an answer: connect failed"])
                self.partner.may_read.set()
                self.wait_until(lambda: not self.fixture.store.messages or self.fixture.store.messages[1].final_answer)
                self.assertEqual(len(self.partner.arrived), is_sent)

    def test_bytes_or_an_end_before_a_request_are_not_its_answer(self) -> None:
        acts: tuple[Callable[[socket.socket], None], ...] = (
            lambda sock: sock.sendall(reply(200)),
            lambda sock: sock.sendall(b"HTTP/1.1 2"),
            lambda sock: sock.shutdown(socket.SHUT_WR),
        )
        for reused in (False, True):
            for index, act in enumerate(acts):
                with self.subTest(reused=reused, act=index):
                    self.start()
                    if reused:
                        self.fixture.submit("first", priority_class="once")
                        self.wait_until(lambda: self.pool.idle)
                        gevent.sleep(AT_MOST_ONCE_QUIET_PERIOD / 1_000_000)  # until then it carries no other call
                    acted: list[int] = []

                    def act_before_request(
                        call: AttemptCall, act: Callable[[socket.socket], None] = act, acted: list[int] = acted
                    ) -> None:
                        if not acted:
                            self.wait_until(lambda: self.partner.socks)
                            act(self.partner.socks[0])
                            acted.append(1)
                        elif self.dispatcher.handles:
                            acted.append(self.dispatcher.handles[call.message.number].attempts)

                    self.hook_clearance(act_before_request)
                    self.fixture.submit("a", priority_class="once")
                    self.wait_until(lambda: self.counts["answers 200"] == 1 + reused)  # noqa: B023
                    self.wait_until(lambda: not self.fixture.store.messages)
                    self.assertEqual([name for _, name in self.partner.arrived], ["first"] * reused + ["a"])
                    self.assertEqual(self.partner.connections, 2)
                    self.assertEqual(acted, [1, 1 if reused else 2])  # an attempt that was held back does not count

    def test_an_attempt_that_waits_for_a_descriptor_does_not_count(self) -> None:
        self.start()
        self.pool.descriptors.limit = 0
        for name in "abc":
            self.fixture.submit(name, priority_class="once")
        self.wait_until(lambda: self.counts["warning: no descriptor for an attempt"] >= 3)
        self.assertEqual({handle.attempts - handle.in_flight for handle in self.dispatcher.handles.values()}, {0})
        self.pool.descriptors.limit = 8
        self.wait_until(lambda: len(self.partner.arrived) == 3)
        self.wait_until(lambda: not self.fixture.store.messages)
        self.assertEqual(self.dispatcher.notices.pending, {})
        self.assertLess(self.counts["warning: no descriptor for an attempt"], 9)

    def test_an_attempt_cancelled_during_its_clearance_returns_its_connection(self) -> None:
        self.start()
        clearing, never = gevent.event.Event(), gevent.event.Event()

        def block_first(call: AttemptCall) -> None:
            if not clearing.is_set():
                clearing.set()
                never.wait()

        self.hook_clearance(block_first)
        self.fixture.submit("a")
        self.assertTrue(clearing.wait(2.0))
        self.dispatcher.attempts.abort({1})
        self.wait_until(lambda: not self.fixture.store.messages and not self.dispatcher.attempts.in_flight)
        self.pool.close_idle(1)
        self.assertEqual(self.pool.descriptors.used, 0)


def open_narrow_connection(address: tuple[str, int], timeout_s: float) -> gevent.socket.socket:
    """Open a connection with a small send buffer: a request is only written as its peer reads."""
    sock = open_connection(address, timeout_s)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return sock


if __name__ == "__main__":
    unittest.main()
