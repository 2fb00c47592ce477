"""Retry-After waits: every path from a refusal's head to the decisions, and from a decision to the first byte."""

import socket
import tempfile
import threading
import time
import unittest
from collections.abc import Callable

import gevent

from cedarwick.decisions.connection_reuse import ConnectionReuse
from cedarwick.decisions.interface import EndpointState, EndpointUpdate, ListedEndpoint, Outcome
from cedarwick.net import assignment, attempts
from cedarwick.net.assignment import Assignment
from cedarwick.net.attempts import AttemptCall, AttemptResult, AttemptRunner, parse_retry_after
from cedarwick.net.clock import Clock
from cedarwick.net.connections import ConnectionPool
from cedarwick.net.counters import Counters
from cedarwick.net.descriptors import DescriptorBudget
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.http import ResponseParser
from cedarwick.net.notifications import Notifier
from cedarwick.net.receiver_connection import Connection
from cedarwick.net.sockets import PollClock
from cedarwick.net.submission import Submission
from cedarwick.store.journal import Store
from cedarwick.store.records import StoredMessage
from tests.build import (
    AT_MOST_ONCE,
    FREE,
    MS,
    NESTED_SETTINGS,
    NOW,
    Receiver,
    accept_message,
    end_attempt,
    make_sender,
    reply,
    start_attempt,
    wait_for_condition,
)

WAIT = 600 * MS  # as `REFUSAL` states it
REFUSAL = reply(429, "X-Backoff-Ms: 600", body=b"later")
GRACE_S = 0.1  # a wait binds this long after its answer was written (see the protocol page)
Play = Callable[["Partner", socket.socket, int], None]


class Partner(Receiver):
    """A partner in threads of its own, like another machine; `play` answers each call."""

    def __init__(self, play: Play) -> None:
        self.play = play
        self.arrived: list[tuple[float, str]] = []  # when a call was completely read, and its id
        self.refused_at: list[float] = []  # when the head of a refusal was written
        super().__init__(None)

    def _serve(self, sock: socket.socket) -> None:
        with sock, sock.makefile("rb") as stream:
            try:
                while line := stream.readline():
                    head = line
                    while line not in (b"\r\n", b""):
                        line = stream.readline()
                        head += line
                    stream.read(int(head.partition(b"Content-Length: ")[2].split(b"\r\n")[0]))
                    self.arrived.append((time.monotonic(), head.partition(b"X-Txn: ")[2].split(b"\r\n")[0].decode()))
                    self.play(self, sock, len(self.arrived))
            except OSError:
                return

    def send_refusal(self, sock: socket.socket, piece: bytes) -> None:
        sock.sendall(piece)
        self.refused_at.append(time.monotonic())

    def calls_within_a_wait(self) -> list[str]:
        """Ids of calls that arrived during a Retry-After wait, as the protocol page defines it."""
        return [
            name for at, name in self.arrived for start in self.refused_at if start + GRACE_S < at < start + WAIT / 1e6
        ]


def refuse_first_call(event: threading.Event) -> Play:
    """Refuse the first call once an event is set, and complete all others."""

    def play(partner: Partner, sock: socket.socket, number: int) -> None:
        if number == 1:
            event.wait(5.0)
            partner.send_refusal(sock, REFUSAL)
        else:
            sock.sendall(reply(200))

    return play


class PartnerTestCase(unittest.TestCase):
    """The dispatcher, its attempts and its connections against one scripted partner."""

    def start(self, play: Play, once: bool = False) -> None:
        self.partner = Partner(play)
        self.addCleanup(self.partner.close)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.clock, self.counters = Clock(), Counters()
        self.store = Store(folder.name, 1 << 20, now=self.clock.now)
        self.store.load()
        self.addCleanup(self.store.close)
        sender_assignment = Assignment(
            "n", ("", 0), ("", 0), "", 1, 64, 1 << 20, {}, assignment.flatten_settings(NESTED_SETTINGS)
        )
        poll_clock = PollClock(self.clock)
        self.dispatcher = Dispatcher(sender_assignment, self.clock, self.counters, self.store, poll_clock)
        self.connections = ConnectionPool(
            self.clock,
            self.counters,
            DescriptorBudget(200),
            lambda _: ("127.0.0.1", self.partner.port),
            5_000_000,
            500_000,
            ConnectionReuse(),
        )
        self.dispatcher.notices = Notifier(("", 0), self.counters, lambda numbers: None)
        self.dispatcher.release_connections = lambda receiver: None
        self.dispatcher.attempts = AttemptRunner(
            self.clock,
            self.counters,
            self.connections,
            self.dispatcher.sender.report_columns,
            poll_clock,
            self.dispatcher.request_clearance,
            self.dispatcher.attempt_ended,
            self.dispatcher.apply_retry_after,
            report_late_success=self.dispatcher.completed_late,
        )
        self.dispatcher._apply_endpoint_update(
            EndpointUpdate.CACHED, [ListedEndpoint(1, 0, 0, 0, EndpointState.READY, 0.0)]
        )
        running = gevent.spawn(self.dispatcher.run)
        self.addCleanup(self.connections.close_idle, 1)
        self.addCleanup(lambda: gevent.killall(list(self.dispatcher.attempts.in_flight)))
        self.addCleanup(running.kill)

    def submit(self, name: str, priority_class: str = "free", lifetime_us: int = 8_000_000) -> None:
        self.dispatcher.submit(
            Submission(StoredMessage(0, name, "", 0, priority_class, "", 0, self.clock.now() + lifetime_us, b"x"))
        )

    def submit_repeatedly(self, seconds: float, interval_s: float = 0.02, **submission: int) -> None:
        """Submit a message every `interval_s` seconds."""
        end_at, count = time.monotonic() + seconds, 0
        while time.monotonic() < end_at:
            self.submit(f"more-{count}", **submission)  # type: ignore[arg-type]
            count += 1
            gevent.sleep(interval_s)


class RetryAfterTest(PartnerTestCase):
    """Refusals in pieces, late, and concurrent with other events."""

    def assert_waits_respected(self) -> None:
        self.assertTrue(self.partner.refused_at)
        self.assertEqual(self.partner.calls_within_a_wait(), [])

    def test_a_refusal_in_pieces_binds_from_its_head_on(self) -> None:
        def play(partner: Partner, sock: socket.socket, number: int) -> None:
            if number > 1:
                sock.sendall(reply(200))
                return
            partner.send_refusal(sock, REFUSAL[:-5])
            time.sleep(0.3)
            sock.sendall(b"later")

        self.start(play)
        self.submit_repeatedly(0.7)
        self.assert_waits_respected()

    def test_a_refusal_cut_off_in_its_body_binds_and_may_have_run(self) -> None:
        def play(partner: Partner, sock: socket.socket, number: int) -> None:
            partner.send_refusal(sock, REFUSAL[:-5]) if number == 1 else sock.sendall(reply(200))

        self.start(play)
        self.submit("first", priority_class="once")
        gevent.sleep(0.05)
        self.submit_repeatedly(0.7)
        self.assert_waits_respected()
        names = [name for _, name in self.partner.arrived]
        self.assertEqual(names.count("first"), 1)  # the bytes that are missing could have said that it ran
        wait_for_condition(
            lambda: gevent.sleep(0.01) or self.store.messages.get(1) is None or self.store.messages[1].final_answer, 2.0
        )
        self.assertEqual(self.store.messages[1].final_answer, (False, 0))

    def test_a_refusal_read_after_the_time_out_binds(self) -> None:
        timed_out = threading.Event()
        self.start(refuse_first_call(timed_out))
        self.submit("first", lifetime_us=250 * MS)
        wait_for_condition(
            lambda: gevent.sleep(0.005) or self.counters.counts["attempts without an answer: time-out"], 2.0
        )
        timed_out.set()
        gevent.sleep(0.02)
        self.submit_repeatedly(0.5)
        self.assert_waits_respected()
        self.assertEqual(self.counters.counts["waits heard after the call was given up"], 1)

    def test_a_timed_out_call_shuts_down_sending_at_once_and_closes_its_connection_soon(self) -> None:
        ended = []

        def play(partner: Partner, sock: socket.socket, number: int) -> None:
            sock.settimeout(5.0)
            ended.append(sock.recv(1))
            sock.recv(1)

        self.start(play)
        self.submit("first", lifetime_us=250 * MS)
        wait_for_condition(lambda: gevent.sleep(0.005) or ended, 2.0)
        self.assertEqual(ended, [b""])
        self.assertTrue(self.dispatcher.is_idle())  # no attempt is running, though the connection is still read
        wait_for_condition(lambda: gevent.sleep(0.01) or not self.connections.descriptors.used, 2.0)

    def test_half_closed_connections_are_closed_first_for_a_descriptor(self) -> None:
        self.start(lambda partner, sock, number: time.sleep(1.0))
        self.connections.descriptors.limit = 1
        self.submit("first", lifetime_us=250 * MS)
        wait_for_condition(lambda: gevent.sleep(0.005) or self.connections.half_closed, 2.0)
        self.connections.descriptors.claim()
        self.assertEqual((self.connections.descriptors.used, len(self.connections.half_closed)), (1, 0))

    def test_a_process_paused_between_clearance_and_first_byte_requests_clearance_again(self) -> None:
        second_cleared = threading.Event()
        self.start(refuse_first_call(second_cleared))
        request_clearance = self.dispatcher.attempts.request_clearance

        def pausing_clearance(call: AttemptCall) -> bool:
            may = request_clearance(call)
            if may and self.partner.arrived and not second_cleared.is_set():
                second_cleared.set()
                time.sleep(0.25)  # like SIGSTOP: the refusal arrives meanwhile and is not read
            return may

        self.dispatcher.attempts.request_clearance = pausing_clearance
        self.submit("first")
        wait_for_condition(lambda: gevent.sleep(0.005) or self.partner.arrived, 2.0)
        self.submit("second")
        self.submit_repeatedly(0.5)
        self.assertGreaterEqual(self.counters.counts["clearances that grew old"], 1)
        self.assert_waits_respected()

    def test_an_attempt_whose_clearances_all_expire_is_decided_on_again(self) -> None:
        self.start(lambda partner, sock, number: sock.sendall(reply(200)))
        request_clearance = self.dispatcher.attempts.request_clearance
        slow = iter([True] * attempts.MAX_CLEARANCE_REQUESTS)

        def pausing_clearance(call: AttemptCall) -> bool:
            may = request_clearance(call)
            if next(slow, False):
                time.sleep(attempts.CLEARANCE_LIFETIME_US * 1.2 / 1e6)
            return may

        self.dispatcher.attempts.request_clearance = pausing_clearance
        self.submit("first", priority_class="once")
        wait_for_condition(lambda: gevent.sleep(0.005) or self.counters.counts["answers 200"], 2.0)
        self.assertEqual(self.counters.counts["attempts without an answer: moot"], 1)
        self.assertEqual([name for _, name in self.partner.arrived], ["first"])

    def test_a_refusal_read_in_the_same_round_is_applied_before_a_clearance(self) -> None:
        self.start(lambda partner, sock, number: None)
        self.submit("first")
        self.submit("second")
        wait_for_condition(lambda: gevent.sleep(0.005) or len(self.partner.arrived) == 2, 2.0)
        handles = list(self.dispatcher.handles.values())
        handles[1].attempt_ended(self.clock.now(), Outcome.MOOT, 0, 1, 0, 0, False, ())
        stored = self.store.messages[1], self.store.messages[2]
        call = AttemptCall(stored[1], 1, 1, self.clock.now(), self.clock.now() + 1_000_000)
        clearance = gevent.spawn(self.dispatcher.request_clearance, call)
        gevent.sleep(0)  # the clearance request is queued before the refusal
        refused = AttemptCall(stored[0], 0, 1, self.clock.now(), self.clock.now() + 1_000_000)
        self.dispatcher.attempt_ended(refused, AttemptResult(Outcome.FULL, 1000, WAIT))
        self.assertIs(clearance.get(timeout=1.0), False)


class ResponseHeadTest(unittest.TestCase):
    """The Retry-After waits in the head of an answer."""

    def reported_wait(self, *lines: str) -> int:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            local = gevent.socket.create_connection(listener.getsockname())
            remote, _ = listener.accept()
        with local, remote:
            remote.sendall(reply(429, *lines))
            remote.shutdown(socket.SHUT_WR)
            reported: list[int] = []
            clock = Clock()
            runner = AttemptRunner(
                clock,
                Counters(),
                None,  # type: ignore[arg-type]
                [],
                None,  # type: ignore[arg-type]
                None,  # type: ignore[arg-type]
                lambda call, result: reported.append(result.retry_after),
                lambda waits: None,
            )
            connection = Connection(local, 1, ("", 0))
            call = AttemptCall(
                StoredMessage(1, "a", "", 0, "b", "", 0, 0, b""), 0, 1, clock.now(), clock.now() + 1_000_000
            )
            answer = ResponseParser()
            runner._read(call, connection, answer)
            runner._report_answer(call, answer)
        return reported[0]

    def test_the_longest_of_several_waits_in_one_head_applies(self) -> None:
        self.assertEqual(self.reported_wait("X-Backoff-Ms: 400", "X-Backoff-Ms: 700", "x-backoff-ms: 50"), 700 * MS)

    def test_malformed_waits_are_zero(self) -> None:
        for text in ("-5", "soon", "", "1e3", "0x10", "NaN", "\u0661", "5 5"):
            self.assertEqual(parse_retry_after(text), 0, text)
        self.assertEqual(self.reported_wait("X-Backoff-Ms: -700"), 0)

    def test_fractions_of_a_millisecond_are_rounded_up(self) -> None:
        self.assertEqual(parse_retry_after("718.2"), 719 * MS)


class DecisionsTest(unittest.TestCase):
    def test_a_wait_is_limited_to_an_hour(self) -> None:
        decisions = make_sender()
        end_attempt(start_attempt(decisions, 1), Outcome.FULL, NOW, retry_after=10**30)
        self.assertLessEqual(decisions.receivers[1].rate_control.wait_until, NOW + 3_600_000 * MS)
        handle = start_attempt(decisions, 2, now=NOW)
        self.assertEqual(handle.attempts, 0)  # it ends at once: no attempt fits before its deadline
        later = NOW + 3_600_000 * MS + 20_000 * MS
        decisions.accept(later, 3, 7, FREE, later + 16_000 * MS, 0, 0)
        for step in range(200):
            if decisions.decide(later + step * 100 * MS).attempts:
                return
        self.fail("the sender makes no attempt after the wait")

    def test_a_wait_reported_apart_from_an_outcome_applies(self) -> None:
        decisions = make_sender()
        decisions.apply_retry_after(NOW, 1, NOW + WAIT)
        accept_message(decisions, 1)
        self.assertEqual(decisions.decide(NOW).attempts, [])
        self.assertEqual(decisions.decide(NOW + WAIT - 1).attempts, [])
        self.assertEqual(len(decisions.decide(NOW + WAIT).attempts), 1)

    def test_a_wait_reported_during_a_call_stops_the_next_one(self) -> None:
        decisions = make_sender()
        first = start_attempt(decisions, 1, AT_MOST_ONCE)
        decisions.apply_retry_after(NOW, 1, NOW + WAIT)
        second = accept_message(decisions, 2)
        self.assertEqual(decisions.decide(NOW).attempts, [])
        self.assertFalse(second.may_start(NOW + WAIT - 1, 1))
        end_attempt(first, Outcome.TIME_OUT, NOW + 1)
        self.assertEqual(decisions.decide(NOW + 2).abandoned, [1])

    def test_a_wait_applies_to_a_receiver_that_is_removed_and_listed_again(self) -> None:
        for kind in (0, 1):  # with a pace shared by its destination, and with one of its own
            decisions = make_sender(kind=kind)
            decisions.apply_retry_after(NOW, 1, NOW + 60_000 * MS)
            gone = ListedEndpoint(1, 0, kind, 7, EndpointState.REMOVED, 0.0)
            for at in (NOW, NOW + 25_000 * MS, NOW + 50_000 * MS):
                decisions.apply_endpoint_list(at, EndpointUpdate.DELTA, [gone])
            back = NOW + 55_000 * MS
            decisions.apply_endpoint_list(
                back, EndpointUpdate.DELTA, [gone._replace(endpoint_state=EndpointState.READY)]
            )
            handle = decisions.accept(back, 1, 7, FREE, back + 16_000 * MS, 0, 0)
            self.assertEqual(decisions.decide(back).attempts, [], kind)
            self.assertFalse(handle.may_start(back, 1))
