"""Retry-After waits hold: every way from a refusal's head to the decisions, and from a decision to a first byte."""

import socket
import tempfile
import threading
import time
import unittest
from collections.abc import Callable

import gevent

from cedarwick.decisions.interface import EndpointState, EndpointUpdate, ListedEndpoint, Outcome
from cedarwick.net import assignment, attempts
from cedarwick.net.assignment import Assignment
from cedarwick.net.attempts import AttemptCall, AttemptResult, AttemptRunner, parse_retry_after
from cedarwick.net.clock import Clock
from cedarwick.net.connections import Connection, ConnectionPool, DescriptorBudget
from cedarwick.net.counters import Counters
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.http import ResponseParser
from cedarwick.net.notifications import Notifier
from cedarwick.net.sockets import PollClock
from cedarwick.net.submission import Submission
from cedarwick.store.journal import Store
from cedarwick.store.records import StoredMessage
from tests.build import FREE, MS, NESTED, NOW, ONCE, Receiver, end, out, reply, sender, take, until

WAIT = 600 * MS
REFUSAL = reply(429, "X-Backoff-Ms: 600", body=b"later")
SLACK = 0.1  # seconds for which calls are let through, as the protocol page says
Play = Callable[["Partner", socket.socket, int], None]


class Partner(Receiver):
    """A partner in threads of its own, as another machine is: each call's part is played by a function."""

    def __init__(self, play: Play) -> None:
        self.play = play
        self.arrived: list[tuple[float, str]] = []  # when a call was whole, and its id
        self.told: list[float] = []  # when a refusal's head was written
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

    def tell(self, sock: socket.socket, piece: bytes) -> None:
        sock.sendall(piece)
        self.told.append(time.monotonic())

    def too_soon(self) -> list[str]:
        """Ids of calls that arrived within a Retry-After wait, as the protocol page counts it."""
        return [name for at, name in self.arrived for told in self.told if told + SLACK < at < told + WAIT / 1e6]


def refuses_first(once: threading.Event) -> Play:
    """The first call is refused once something has happened, all others are completed."""

    def play(partner: Partner, sock: socket.socket, number: int) -> None:
        if number == 1:
            once.wait(5.0)
            partner.tell(sock, REFUSAL)
        else:
            sock.sendall(reply(200))

    return play


class PartnerTestCase(unittest.TestCase):
    """The dispatcher, its attempts and its links against one scripted partner."""

    def start(self, play: Play, once: bool = False) -> None:
        self.partner = Partner(play)
        self.addCleanup(self.partner.close)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.clock, self.counters = Clock(), Counters()
        self.store = Store(folder.name, 1 << 20, now=self.clock.now)
        self.store.load()
        self.addCleanup(self.store.close)
        made = Assignment("n", ("", 0), ("", 0), "", 1, 64, 1 << 20, {}, assignment.flatten_settings(NESTED))
        polled = PollClock(self.clock)
        self.dispatcher = Dispatcher(made, self.clock, self.counters, self.store, polled)
        self.links = ConnectionPool(
            self.clock,
            self.counters,
            DescriptorBudget(200),
            lambda _: ("127.0.0.1", self.partner.port),
            5_000_000,
            500_000,
        )
        self.dispatcher.notices = Notifier(("", 0), self.counters, lambda numbers: None)
        self.dispatcher.free_links = lambda receiver: None
        self.dispatcher.attempts = AttemptRunner(
            self.clock,
            self.counters,
            self.links,
            self.dispatcher.sender.report_columns,
            polled,
            self.dispatcher.clear,
            self.dispatcher.attempt_ended,
            self.dispatcher.apply_retry_after,
            report_late_success=self.dispatcher.completed_late,
        )
        self.dispatcher._listed(EndpointUpdate.CACHED, [ListedEndpoint(1, 0, 0, 0, EndpointState.READY, 0.0)])
        running = gevent.spawn(self.dispatcher.run)
        self.addCleanup(self.links.free, 1)
        self.addCleanup(lambda: gevent.killall(list(self.dispatcher.attempts.in_flight)))
        self.addCleanup(running.kill)

    def submit(self, name: str, priority_class: str = "free", life: int = 8_000_000) -> None:
        self.dispatcher.submit(
            Submission(StoredMessage(0, name, "", 0, priority_class, "", 0, self.clock.now() + life, b"x"))
        )

    def feed(self, seconds: float, every: float = 0.02, **told: int) -> None:
        """Hand in a message every now and then."""
        end_at, count = time.monotonic() + seconds, 0
        while time.monotonic() < end_at:
            self.submit(f"more-{count}", **told)  # type: ignore[arg-type]
            count += 1
            gevent.sleep(every)


class AgainstAPartnerTest(PartnerTestCase):
    """Refusals in pieces, late, and beside other events."""

    def kept_to_the_wait(self) -> None:
        self.assertTrue(self.partner.told)
        self.assertEqual(self.partner.too_soon(), [])

    def test_a_refusal_in_pieces_binds_from_its_head_on(self) -> None:
        def play(partner: Partner, sock: socket.socket, number: int) -> None:
            if number > 1:
                sock.sendall(reply(200))
                return
            partner.tell(sock, REFUSAL[:-5])
            time.sleep(0.3)
            sock.sendall(b"later")

        self.start(play)
        self.feed(0.7)
        self.kept_to_the_wait()

    def test_a_refusal_that_stops_in_its_body_binds_and_may_have_run(self) -> None:
        def play(partner: Partner, sock: socket.socket, number: int) -> None:
            partner.tell(sock, REFUSAL[:-5]) if number == 1 else sock.sendall(reply(200))

        self.start(play)
        self.submit("first", priority_class="once")
        gevent.sleep(0.05)
        self.feed(0.7)
        self.kept_to_the_wait()
        names = [name for _, name in self.partner.arrived]
        self.assertEqual(names.count("first"), 1)  # what never came may have told that it ran
        until(lambda: gevent.sleep(0.01) or self.store.messages.get(1) is None or self.store.messages[1].end, 2.0)
        self.assertEqual(self.store.messages[1].end, (False, 0))

    def test_a_refusal_that_crosses_the_giving_up_of_its_call_binds(self) -> None:
        given_up = threading.Event()
        self.start(refuses_first(given_up))
        self.submit("first", life=250 * MS)
        until(lambda: gevent.sleep(0.005) or self.counters.counts["attempts without an answer: time-out"], 2.0)
        given_up.set()
        gevent.sleep(0.02)
        self.feed(0.5)
        self.kept_to_the_wait()
        self.assertEqual(self.counters.counts["waits heard after the call was given up"], 1)

    def test_a_call_that_is_given_up_ends_its_sending_at_once_and_its_link_soon(self) -> None:
        ended = []

        def play(partner: Partner, sock: socket.socket, number: int) -> None:
            sock.settimeout(5.0)
            ended.append(sock.recv(1))
            sock.recv(1)

        self.start(play)
        self.submit("first", life=250 * MS)
        until(lambda: gevent.sleep(0.005) or ended, 2.0)
        self.assertEqual(ended, [b""])
        self.assertTrue(self.dispatcher.idle())  # nothing is out any more, though the link is still read
        until(lambda: gevent.sleep(0.01) or not self.links.descriptors.used, 2.0)

    def test_links_that_are_only_read_any_more_give_way_first(self) -> None:
        self.start(lambda partner, sock, number: time.sleep(1.0))
        self.links.descriptors.limit = 1
        self.submit("first", life=250 * MS)
        until(lambda: gevent.sleep(0.005) or self.links.ending, 2.0)
        self.links.descriptors.claim()
        self.assertEqual((self.links.descriptors.used, len(self.links.ending)), (1, 0))

    def test_a_process_stopped_between_clearance_and_first_byte_asks_again(self) -> None:
        second_cleared = threading.Event()
        self.start(refuses_first(second_cleared))
        clear = self.dispatcher.attempts.clear

        def stopped(call: AttemptCall) -> bool:
            may = clear(call)
            if may and self.partner.arrived and not second_cleared.is_set():
                second_cleared.set()
                time.sleep(0.25)  # as SIGSTOP does: the refusal comes meanwhile, and nothing is read
            return may

        self.dispatcher.attempts.clear = stopped
        self.submit("first")
        until(lambda: gevent.sleep(0.005) or self.partner.arrived, 2.0)
        self.submit("second")
        self.feed(0.5)
        self.assertGreaterEqual(self.counters.counts["clearances that grew old"], 1)
        self.kept_to_the_wait()

    def test_an_attempt_whose_clearances_all_grow_old_is_decided_on_anew(self) -> None:
        self.start(lambda partner, sock, number: sock.sendall(reply(200)))
        clear = self.dispatcher.attempts.clear
        slow = iter([True] * attempts.MAX_CLEARANCE_REQUESTS)

        def stopped(call: AttemptCall) -> bool:
            may = clear(call)
            if next(slow, False):
                time.sleep(attempts.CLEARANCE_LIFETIME_US * 1.2 / 1e6)
            return may

        self.dispatcher.attempts.clear = stopped
        self.submit("first", priority_class="once")
        until(lambda: gevent.sleep(0.005) or self.counters.counts["answers 200"], 2.0)
        self.assertEqual(self.counters.counts["attempts without an answer: moot"], 1)
        self.assertEqual([name for _, name in self.partner.arrived], ["first"])

    def test_a_refusal_read_in_the_same_round_goes_before_a_clearance(self) -> None:
        self.start(lambda partner, sock, number: None)
        self.submit("first")
        self.submit("second")
        until(lambda: gevent.sleep(0.005) or len(self.partner.arrived) == 2, 2.0)
        handles = list(self.dispatcher.handles.values())
        handles[1].attempt_ended(self.clock.now(), Outcome.MOOT, 0, 1, 0, 0, False, ())
        kept = self.store.messages[1], self.store.messages[2]
        call = AttemptCall(kept[1], 1, 1, self.clock.now(), self.clock.now() + 1_000_000)
        asking = gevent.spawn(self.dispatcher.clear, call)
        gevent.sleep(0)  # the question stands in the queue, and the refusal behind it
        refused = AttemptCall(kept[0], 0, 1, self.clock.now(), self.clock.now() + 1_000_000)
        self.dispatcher.attempt_ended(refused, AttemptResult(Outcome.FULL, 1000, WAIT))
        self.assertIs(asking.get(timeout=1.0), False)


class ResponseHeadsTest(unittest.TestCase):
    """What a head can tell of a wait."""

    def wait_in(self, *lines: str) -> int:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            near = gevent.socket.create_connection(listener.getsockname())
            far, _ = listener.accept()
        with near, far:
            far.sendall(reply(429, *lines))
            far.shutdown(socket.SHUT_WR)
            told: list[int] = []
            clock = Clock()
            made = AttemptRunner(
                clock,
                Counters(),
                None,  # type: ignore[arg-type]
                [],
                None,  # type: ignore[arg-type]
                None,  # type: ignore[arg-type]
                lambda call, ending: told.append(ending.retry_after),
                lambda waits: None,
            )
            link = Connection(near, 1, ("", 0))
            call = AttemptCall(
                StoredMessage(1, "a", "", 0, "b", "", 0, 0, b""), 0, 1, clock.now(), clock.now() + 1_000_000
            )
            answer = ResponseParser()
            made._read(call, link, answer)
            made._report_answer(call, answer)
        return told[0]

    def test_the_longest_of_several_waits_in_one_head_holds(self) -> None:
        self.assertEqual(self.wait_in("X-Backoff-Ms: 400", "X-Backoff-Ms: 700", "x-backoff-ms: 50"), 700 * MS)

    def test_waits_that_are_none(self) -> None:
        for text in ("-5", "soon", "", "1e3", "0x10", "NaN", "\u0661", "5 5"):
            self.assertEqual(parse_retry_after(text), 0, text)
        self.assertEqual(self.wait_in("X-Backoff-Ms: -700"), 0)

    def test_parts_of_a_millisecond_are_waited_for(self) -> None:
        self.assertEqual(parse_retry_after("718.2"), 719 * MS)


class DecisionsTest(unittest.TestCase):
    def test_an_absurd_wait_is_looked_into_after_an_hour(self) -> None:
        made = sender()
        end(out(made, 1), Outcome.FULL, NOW, retry_after=10**30)
        self.assertLessEqual(made.receivers[1].rate_control.wait_until, NOW + 3_600_000 * MS)
        handle = out(made, 2, now=NOW)
        self.assertEqual(handle.attempts, 0)  # it ends at once: nothing may go in its time
        later = NOW + 3_600_000 * MS + 20_000 * MS
        made.accept(later, 3, 7, FREE, later + 16_000 * MS, 0, 0)
        for step in range(200):
            if made.decide(later + step * 100 * MS).attempts:
                return
        self.fail("the sender stays silent")

    def test_a_wait_told_apart_from_an_outcome_holds(self) -> None:
        made = sender()
        made.apply_retry_after(NOW, 1, NOW + WAIT)
        take(made, 1)
        self.assertEqual(made.decide(NOW).attempts, [])
        self.assertEqual(made.decide(NOW + WAIT - 1).attempts, [])
        self.assertEqual(len(made.decide(NOW + WAIT).attempts), 1)

    def test_a_wait_that_is_told_while_a_call_is_out_stops_the_next(self) -> None:
        made = sender()
        first = out(made, 1, ONCE)
        made.apply_retry_after(NOW, 1, NOW + WAIT)
        second = take(made, 2)
        self.assertEqual(made.decide(NOW).attempts, [])
        self.assertFalse(second.may_start(NOW + WAIT - 1, 1))
        end(first, Outcome.TIME_OUT, NOW + 1)
        self.assertEqual(made.decide(NOW + 2).abandoned, [1])

    def test_a_receiver_that_leaves_and_comes_back_is_spared_to_the_end_of_its_wait(self) -> None:
        for kind in (0, 1):  # of a pace that its destination shares, and of one of its own
            made = sender(kind=kind)
            made.apply_retry_after(NOW, 1, NOW + 60_000 * MS)
            gone = ListedEndpoint(1, 0, kind, 7, EndpointState.REMOVED, 0.0)
            for at in (NOW, NOW + 25_000 * MS, NOW + 50_000 * MS):
                made.apply_endpoint_list(at, EndpointUpdate.DELTA, [gone])
            back = NOW + 55_000 * MS
            made.apply_endpoint_list(back, EndpointUpdate.DELTA, [gone._replace(endpoint_state=EndpointState.READY)])
            handle = made.accept(back, 1, 7, FREE, back + 16_000 * MS, 0, 0)
            self.assertEqual(made.decide(back).attempts, [], kind)
            self.assertFalse(handle.may_start(back, 1))
