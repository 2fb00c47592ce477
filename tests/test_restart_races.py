"""What a process leaves in its folder and the next one finds there: the moments between the two."""

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
from tests.build import MS, NESTED, NOW, NUMBERED, reply, sender, take, until
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
CLASSES: Any = NESTED["classes"]
FREE, ONCE = CLASSES
EARLIER: dict[str, Any] = {
    **NESTED,
    "zones": ["north", "south"],
    "realms": [{"name": "first"}, {"name": "second"}],
    "classes": [FREE, {**ONCE, "name": "changed", "repeat": "free"}, ONCE, ZONAL, {**FREE, "name": "given-up"}],
}
LATER: dict[str, Any] = {
    **NESTED,
    "zones": ["east", "south", "north"],
    "realms": [{"name": "new"}, {"name": "second"}, {"name": "first"}],
    "classes": [ZONAL, ONCE, {**ONCE, "name": "changed", "repeat": "single_shot"}, FREE],
}


class Process:
    """One process of a sender on its folder, without sockets: attempts that are ordered stand in `calls`."""

    def __init__(self, folder: str, settings: dict[str, Any], receivers: dict[str, str], later: int = 0) -> None:
        """`receivers`: the zone of each, by its uid; all are up, at destination 0. `later`: wall time has gone on by
        so many milliseconds."""
        self.clock, self.counters = Clock(), Counters()
        self.clock.base += later * 1_000_000
        self.store = Store(folder, 1 << 20, now=self.clock.now)
        self.store.load()
        made = Assignment(
            "n", ("", 0), ("", 0), folder, 1, 64, 1 << 20, {}, assignment.flatten_settings(copy.deepcopy(settings))
        )
        self.dispatcher = Dispatcher(made, self.clock, self.counters, self.store, PollClock(self.clock))
        self.calls: list[AttemptCall] = []
        self.dispatcher.attempts = SimpleNamespace(start=self.calls.append)  # type: ignore[assignment]
        self.dispatcher.notices = Notifier(("", 0), self.counters, self.dispatcher.acknowledged)
        self.dispatcher.free_links = lambda receiver: None
        self.endpoint_list = EndpointList(made, self.counters, self.dispatcher._listed, lambda: None)
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

    def at(self, call: AttemptCall) -> str:
        """The receiver of a call."""
        return next(uid for uid, number in self.endpoint_list.receiver_numbers.items() if number == call.receiver)

    def cleared(self, call: AttemptCall) -> bool:
        answer: AsyncResult = AsyncResult()
        self.dispatcher._clear(call, answer)
        return bool(answer.get(block=False))


class UnderOtherSettingsTest(unittest.TestCase):
    """Settings of two customers in turn over the same folder: lists in another order and number."""

    def process(self, folder: str, settings: dict[str, Any], **receivers: str) -> Process:
        made = Process(folder, settings, receivers)
        self.addCleanup(made.store.close)
        return made

    def repeats(
        self,
        priority_class: str,
        outcome: Outcome | None,
        earlier: str,
        later: dict[str, Any],
        *zones: str,
        spoil: int | None = None,
    ) -> tuple[set[str], list[tuple[bool, int] | None], set[int]]:
        """A message has an attempt at one zone under earlier settings: the zones to which it goes under later ones,
        how it ends there, and the place of its tenant. `spoil`: what an older version recorded as the zone."""
        with tempfile.TemporaryDirectory() as folder:
            first = self.process(folder, EARLIER, only=earlier)
            first.submit("a", priority_class, "second")
            if spoil is not None:
                first.store.attempt(1, first.clock.now(), spoil)
            self.assertTrue(first.cleared(first.calls[0]))
            if outcome is not None:
                first.dispatcher._attempt_ended(first.calls[0], AttemptResult(outcome))
            first.store.close()
            second = self.process(folder, later, **{zone: zone for zone in zones})
            tenants = {handle.tenant for handle in second.dispatcher.handles.values()}
            gone = set()
            for _ in range(4):
                for handle in second.dispatcher.handles.values():
                    handle.due = 0
                second.dispatcher.sender.turns.all_rest = 0
                second.dispatcher._decide()
                for call in second.calls:
                    gone.add(second.at(call))
                    second.dispatcher._attempt_ended(call, AttemptResult(Outcome.MOOT))
                second.calls.clear()
            second.store.close()
            return gone, [kept.end for kept in second.store.messages.values()], tenants

    def test_a_repeat_stays_in_the_zone_of_its_first_attempt_whatever_place_that_has(self) -> None:
        for outcome in (None, Outcome.TIME_OUT):
            for zone in ("north", "south"):
                with self.subTest(outcome=outcome, zone=zone):
                    self.assertEqual(self.repeats("zonal", outcome, zone, LATER, "east", "south", "north")[0], {zone})
        for name, later, spoil in (
            ("a zone that is no more", ["x", "y", "z"], None),
            ("one past the end", ["x"], None),
            ("recorded as a place by an older version", LATER["zones"], 0),
        ):
            with self.subTest(name):
                told = {**LATER, "zones": later}
                self.assertEqual(self.repeats("zonal", None, "north", told, *LATER["zones"], spoil=spoil)[0], set())

    def test_zones_that_share_a_mark_are_no_zone_to_repeat_in(self) -> None:
        with mock.patch("cedarwick.net.dispatch_state.zone_mark", lambda name: 2000):
            self.assertEqual(self.repeats("zonal", None, "north", LATER, *LATER["zones"])[0], set())

    def test_a_priority_class_and_a_tenant_go_by_their_names_and_an_effect_by_the_settings_of_now(self) -> None:
        failed, reset = [(False, 0)], Outcome.RESET
        for priority_class, outcome, goes, ends in (
            ("free", None, True, [None]),
            ("once", None, False, failed),
            ("once", Outcome.FULL, True, [None]),
            ("changed", reset, False, failed),
            ("given-up", Outcome.FULL, True, [None]),
            ("given-up", reset, False, failed),
            ("given-up", None, False, failed),
        ):
            with self.subTest(priority_class=priority_class, outcome=outcome):
                gone, ended, tenants = self.repeats(priority_class, outcome, "north", LATER, "south")
                self.assertEqual((gone, ended, tenants), ({"south"} if goes else set(), ends, {1}))


class KilledAtTest(unittest.TestCase):
    """SIGKILL at each step from a request to the acknowledgement of its notice: the next process finds the folder as
    it stood there. One final answer each, no effect twice."""

    READ, KEPT, RECORDED, SENT, OUTCOME, ENDED, POSTED, ACKNOWLEDGED = range(8)

    def steps(self, process: Process, priority_class: str, outcome: Outcome, told: list[str]) -> Iterator[int]:
        """One message with one attempt, one step after another; `told` gets what other parties see."""
        process.dispatcher._admit(
            Submission(StoredMessage(0, "a", "", 0, priority_class, "", 0, process.clock.now() + 8_000_000, b"x"))
        )
        yield self.READ
        process.dispatcher._decide()
        yield self.KEPT  # whether its client has read the answer or not
        self.assertTrue(process.cleared(process.calls[0]))
        yield self.RECORDED
        told.append("call")
        yield self.SENT  # whether the answer has been read or not
        process.dispatcher._attempt_ended(process.calls[0], AttemptResult(outcome, last=outcome is Outcome.COMPLETED))
        yield self.OUTCOME
        process.dispatcher._decide()
        yield self.ENDED
        told.extend(self.posted(process))
        yield self.POSTED
        process.dispatcher._acknowledged(list(process.dispatcher.notices.pending))
        yield self.ACKNOWLEDGED

    def posted(self, process: Process) -> list[str]:
        return [json.loads(line)["state"] for line in process.dispatcher.notices.pending.values()]

    def seen(self, priority_class: str, outcome: Outcome, at: int, later: int = 0) -> list[str]:
        """What other parties see in all, where the next process completes what it sends."""
        told: list[str] = []
        with tempfile.TemporaryDirectory() as folder:
            first = Process(folder, {**EARLIER, "classes": CLASSES + [ZONAL]}, {"one": "north"})
            self.addCleanup(first.store.close)
            for step in self.steps(first, priority_class, outcome, told):
                if step == at:
                    break
            with tempfile.TemporaryDirectory() as found:
                for name in os.listdir(folder):
                    shutil.copy(os.path.join(folder, name), found)
                second = Process(found, {**EARLIER, "classes": CLASSES + [ZONAL]}, {"one": "north"}, later)
                for _ in range(3):
                    for handle in second.dispatcher.handles.values():
                        handle.due = 0
                    second.dispatcher._decide()
                    for call in second.calls:
                        self.assertTrue(second.cleared(call))
                        told.append("call")
                        second.dispatcher._attempt_ended(call, AttemptResult(Outcome.COMPLETED, last=True))
                    second.calls.clear()
                told.extend(self.posted(second))
                second.dispatcher._acknowledged(list(second.dispatcher.notices.pending))
                self.assertEqual((second.store.messages, second.dispatcher.handles), ({}, {}))
                second.store.close()
        return told

    def test_each_step_of_each_effect(self) -> None:
        done, reset, full = Outcome.COMPLETED, Outcome.RESET, Outcome.FULL
        once, twice, failed = ["call"], ["call", "call"], ["call", "failed"]
        table: list[tuple[str, Outcome, int, dict[int, list[str]]]] = [
            (
                "free",
                done,
                0,
                {
                    self.READ: [],
                    self.KEPT: once,
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
                    self.KEPT: once,
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
            ("zonal", done, 1000, {self.KEPT: once, self.RECORDED: once, self.SENT: twice, self.OUTCOME: once}),
            ("zonal", reset, 1000, {self.SENT: twice, self.OUTCOME: twice}),
            (
                "zonal",
                reset,
                6001,
                {self.KEPT: once, self.RECORDED: ["failed"], self.SENT: failed, self.OUTCOME: failed},
            ),
            ("free", reset, 20_000, {self.KEPT: ["returned"], self.RECORDED: ["failed"], self.SENT: failed}),
        ]
        for priority_class, outcome, later, expected in table:
            for at, seen in expected.items():
                with self.subTest(priority_class=priority_class, outcome=outcome, later=later, at=at):
                    self.assertEqual(self.seen(priority_class, outcome, at, later), seen)


class RestoredMessagesTest(unittest.TestCase):
    """What a restart finds untried is still tried."""

    def test_nothing_is_given_up_for_want_of_room_in_smaller_settings(self) -> None:
        for most_open, room, owed in (("100", 1 << 62, 98), ("8", 1 << 62, 98), ("8", 1, 60), ("100", 1, 1)):
            with self.subTest(most_open=most_open, room=room, owed=owed):
                made = sender(policy_limits__max_open=most_open, family_info__max_calls="1")
                made.room = room
                made.restore(
                    NOW,
                    [UnfinishedMessage(number, 7, number % 3, NOW + 8_000 * MS, 0, 0, ()) for number in range(owed)],
                )
                untried = set(range(owed))
                for now in range(NOW, NOW + 4_000 * MS, 100 * MS):
                    verdicts = made.decide(now)
                    self.assertEqual((verdicts.nacks, verdicts.abandoned), ([], []))
                    untried -= {number for number, _, _ in verdicts.attempts}
                self.assertEqual(len(untried), max(0, owed - 1))  # the one slot stays taken: all others are still held
                made.room = 0
                take(made, 1000)
                self.assertTrue(made.decide(NOW + 4_000 * MS).nacks)  # what comes now is bounded as before


class ShortIdempotencyWindowTest(unittest.TestCase):
    """How long a numbered attempt may take where the window for its repeats is as short as a second, or none."""

    def patience(self, window: int, ran_ago: int | None, mean: int, attempts: int = 0) -> int:
        """In milliseconds, of 16 s; `ran_ago`: when an earlier attempt was sent that may have run."""
        made = sender(classes__1__dedup_window_ms=str(window), classes__1__in_turn="false")
        made.receivers[1].mean_latency = mean * MS
        handle = take(made, 1, NUMBERED)
        handle.attempts = attempts
        if ran_ago is not None:
            handle.ran_at = NOW - ran_ago * MS
        ordered = made.decide(NOW).attempts
        return ordered[0][2] // MS if ordered else 0

    def test_a_hang_leaves_room_for_a_repeat_where_the_usual_time_allows_it(self) -> None:
        left = 16_000 - 10
        for window, ran_ago, mean, attempts, expected in (
            (1000, None, 100, 0, 500),
            (1400, None, 300, 0, 900),
            (1000, None, 0, 0, left),
            (1000, None, 600, 0, left),
            (1000, None, 100, 5, left),
            (2000, None, 600, 0, 1500),
            (1000, 300, 100, 1, 200),
            (1000, 300, 300, 1, left),
            (1000, 999, 1, 1, left),
            (1000, 1000, 1, 1, 0),
            (500, None, 1, 0, left),
            (100, None, 1, 0, left),
            (0, None, 1, 0, left),
        ):
            with self.subTest(window=window, ran_ago=ran_ago, mean=mean, attempts=attempts):
                self.assertEqual(self.patience(window, ran_ago, mean, attempts), expected)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.integers(0, 8000), st.one_of(st.none(), st.integers(0, 8000)), st.integers(0, 20_000))
    def test_what_goes_goes_within_its_window_and_has_time_for_an_answer(
        self, window: int, ran_ago: int | None, mean: int
    ) -> None:
        patience = self.patience(window, ran_ago, mean, int(ran_ago is not None))
        if ran_ago is not None and ran_ago >= window:
            self.assertEqual(patience, 0)
        elif patience:
            self.assertLessEqual(min(1000, mean or 1000), patience)
            self.assertLessEqual(patience, 16_000 - 10)


LARGE = 60_000  # bytes of a body


class Accepting(Partner):
    """A partner whose connections the test holds: what it does on one crosses what the sender does."""

    def __init__(self, play: Play, buffers: int = 0) -> None:
        self.socks: list[socket.socket] = []
        self.reads = threading.Event()
        self.reads.set()
        super().__init__(play)
        if buffers:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffers)

    def _serve(self, sock: socket.socket) -> None:
        self.socks.append(sock)
        if self.reads.is_set():
            super()._serve(sock)
            return
        self.reads.wait(10.0)
        got = 0
        while part := sock.recv(1 << 16):
            got += len(part)
            if got > LARGE:  # the head and all of the body
                self.arrived.append((time.monotonic(), "large"))
                sock.sendall(reply(200))
        sock.close()


# No clearance grows old, however busy the machine is.
@mock.patch("cedarwick.net.attempts.CLEARANCE_LIFETIME_US", 60_000_000)
class BetweenDecisionAndLastByteTest(unittest.TestCase):
    """What happens between the decision for an attempt and its last byte."""

    def start(self, buffers: int = 0) -> None:
        """The dispatcher, its attempts and its links, against a partner that completes all calls."""
        self.made = test_retry_after.AgainstAPartnerTest("kept_to_the_wait")
        self.addCleanup(self.made.doCleanups)
        play = lambda partner, sock, number: sock.sendall(reply(200))  # noqa: E731
        with mock.patch("tests.net.test_retry_after.Partner", lambda _: Accepting(play, buffers)):
            self.made.start(play)
        self.partner = cast(Accepting, self.made.partner)
        self.dispatcher, self.links, self.counts = self.made.dispatcher, self.made.links, self.made.counters.counts
        self.priority_class = self.dispatcher.sender.priority_classes[0]
        self.priority_class.idempotent, self.priority_class.window = False, 1_000_000  # numbered

    def before_clearing(
        self, then: Callable[[AttemptCall], None], after: Callable[[AttemptCall], None] = lambda call: None
    ) -> None:
        """Do something on the way to the dispatcher of each attempt, and on the way back."""
        clear = self.dispatcher.attempts.clear

        def crossed(call: AttemptCall) -> bool:
            then(call)
            may = clear(call)
            after(call)
            return may

        self.dispatcher.attempts.clear = crossed

    def wait_for(self, true: Callable[[], Any]) -> None:
        until(lambda: gevent.sleep(0.005) or true(), 5.0)

    def window_left(self, left: int) -> Callable[[AttemptCall], None]:
        """An earlier attempt of the message may have run: its window is open for so long from now on."""

        def then(call: AttemptCall) -> None:
            handle = self.dispatcher.handles[call.message.number]
            handle.ran_at = handle.ran_at or self.made.clock.now() + left - self.priority_class.window

        return then

    def test_a_window_that_closes_after_the_clearance_lets_no_byte_out(self) -> None:
        for goes in (False, True):
            with self.subTest(goes=goes):
                self.start()

                def then(call: AttemptCall, goes: bool = goes) -> None:
                    self.made.clock.base += 0 if goes else 3_000_000_000

                self.before_clearing(self.window_left(3_000_000), then)
                self.priority_class.window = 4_000_000
                self.made.submit("a")
                self.wait_for(lambda: self.partner.arrived or self.made.store.messages[1].end)
                self.assertEqual([name for _, name in self.partner.arrived], ["a"] * goes)
                self.assertEqual(self.counts["attempts held back: their time was over"], not goes)

    def test_a_window_that_closes_within_the_write_keeps_the_last_byte_back(self) -> None:
        for goes in (False, True):
            with self.subTest(goes=goes), mock.patch("cedarwick.net.connections.open_connection", narrow):
                self.start(buffers=4096)
                self.before_clearing(self.window_left(900_000))
                self.partner.reads.clear()
                self.dispatcher.submit(
                    Submission(
                        StoredMessage(0, "a", "", 0, "free", "", 0, self.made.clock.now() + 8_000_000, bytes(LARGE))
                    )
                )
                self.wait_for(lambda: self.partner.socks)
                if not goes:
                    self.wait_for(lambda: self.counts["attempts without an answer: connect failed"])
                self.partner.reads.set()
                self.wait_for(lambda: not self.made.store.messages or self.made.store.messages[1].end)
                self.assertEqual(len(self.partner.arrived), goes)

    def test_what_a_receiver_says_or_does_before_a_request_is_no_answer_to_it(self) -> None:
        acts: tuple[Callable[[socket.socket], None], ...] = (
            lambda sock: sock.sendall(reply(200)),
            lambda sock: sock.sendall(b"HTTP/1.1 2"),
            lambda sock: sock.shutdown(socket.SHUT_WR),
        )
        for kept in (False, True):
            for which, act in enumerate(acts):
                with self.subTest(kept=kept, act=which):
                    self.start()
                    if kept:
                        self.made.submit("first", priority_class="once")
                        self.wait_for(lambda: self.links.idle)
                    acted: list[int] = []

                    def cross(
                        call: AttemptCall, act: Callable[[socket.socket], None] = act, acted: list[int] = acted
                    ) -> None:
                        if not acted:
                            self.wait_for(lambda: self.partner.socks)
                            act(self.partner.socks[0])
                            acted.append(1)
                        elif self.dispatcher.handles:
                            acted.append(self.dispatcher.handles[call.message.number].attempts)

                    self.before_clearing(cross)
                    self.made.submit("a", priority_class="once")
                    self.wait_for(lambda: self.counts["answers 200"] == 1 + kept)  # noqa: B023
                    self.wait_for(lambda: not self.made.store.messages)
                    self.assertEqual([name for _, name in self.partner.arrived], ["first"] * kept + ["a"])
                    self.assertEqual(self.partner.connections, 2)
                    self.assertEqual(acted, [1, 1 if kept else 2])  # what was held back is none of the tries

    def test_no_descriptor_for_a_while_is_none_of_the_tries(self) -> None:
        self.start()
        self.links.descriptors.limit = 0
        for name in "abc":
            self.made.submit(name, priority_class="once")
        self.wait_for(lambda: self.counts["warning: no descriptor for an attempt"] >= 3)
        self.assertEqual({handle.attempts - handle.in_flight for handle in self.dispatcher.handles.values()}, {0})
        self.links.descriptors.limit = 8
        self.wait_for(lambda: len(self.partner.arrived) == 3)
        self.wait_for(lambda: not self.made.store.messages)
        self.assertEqual(self.dispatcher.notices.pending, {})
        self.assertLess(self.counts["warning: no descriptor for an attempt"], 9)

    def test_a_attempt_that_is_cut_while_the_dispatcher_is_asked_gives_its_link_back(self) -> None:
        self.start()
        asked, never = gevent.event.Event(), gevent.event.Event()

        def waits(call: AttemptCall) -> None:
            if not asked.is_set():
                asked.set()
                never.wait()

        self.before_clearing(waits)
        self.made.submit("a")
        self.assertTrue(asked.wait(2.0))
        self.dispatcher.attempts.cut({1})
        self.wait_for(lambda: not self.made.store.messages and not self.dispatcher.attempts.in_flight)
        self.links.free(1)
        self.assertEqual(self.links.descriptors.used, 0)


def narrow(address: tuple[str, int], seconds: float) -> gevent.socket.socket:
    """A connection whose peer has to read for a request to be written."""
    sock = open_connection(address, seconds)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return sock


if __name__ == "__main__":
    unittest.main()
