"""Clients' connections where two events cross: bytes and the end, a cut, a time that runs out, a client that leaves."""

import contextlib
import itertools
import os
import signal
import socket
import struct
import subprocess
import tempfile
import tomllib
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import gevent
import gevent.socket

from cedarwick.decisions.interface import EndpointState, EndpointUpdate, ListedEndpoint
from cedarwick.net import client_connections, client_listener
from cedarwick.net.assignment import Assignment, flatten_settings
from cedarwick.net.attempts import AttemptRunner
from cedarwick.net.client_connections import ClientConnection
from cedarwick.net.client_listener import ClientListener, SubmitResult
from cedarwick.net.clock import Clock
from cedarwick.net.connections import ConnectionPool, DescriptorBudget, NoDescriptorError
from cedarwick.net.counters import Counters
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.notifications import Notifier
from cedarwick.net.sockets import PollClock, peek_byte
from cedarwick.net.submission import AdmissionResult
from cedarwick.store.journal import Store
from cedarwick.store.records import StoredMessage
from tests.build import NESTED, Program, Receiver, ask, line_of, reply, submit, until, words

OK, BUSY, NO = b"+OK\r\n", b"-BUSY\r\n", b"-ERR unknown command\r\n"
HALF, REST = submit("a")[:30], submit("a")[30:]


def passes(true: Callable[[], Any]) -> None:
    """Lets all else run until it is true."""
    with gevent.Timeout(8.0):
        while not true():
            gevent.sleep(0.001)


class RunningListenerTestCase(unittest.TestCase):
    """The client listener on a real listener, in one thread with its clients: nothing runs but where a test lets it."""

    def setUp(self) -> None:
        self.taken: list[str] = []
        self.answer: Callable[[StoredMessage], SubmitResult] = lambda kept: (AdmissionResult.ACCEPTED, 0, None)
        self.open()

    def open(self, sockets: int = 256) -> None:
        self.door = ClientListener(
            ("127.0.0.1", 0),
            Clock(),
            Counters(),
            DescriptorBudget(sockets),
            None,  # type: ignore[arg-type]
            lambda: True,
        )
        self.address = self.door.listener.getsockname()
        self.door.submit_message = self.hand_in
        self.accepting = gevent.spawn(self.door.accept)
        self.addCleanup(self.accepting.kill)
        self.addCleanup(self.door.listener.close)

    def hand_in(self, kept: StoredMessage) -> SubmitResult:
        self.taken.append(kept.id)
        return self.answer(kept)

    def connect(self, *sent: bytes, accepted: bool = True) -> gevent.socket.socket:
        """A client; each piece that it sends has been read, and what it asks been answered, on the return."""
        sock = gevent.socket.create_connection(self.address)
        self.addCleanup(sock.close)
        before = len(self.door.clients)
        passes(lambda: not accepted or len(self.door.clients) > before)
        for piece in sent:
            sock.sendall(piece)
            client = next(each for each in self.door.clients if each.sock.getpeername() == sock.getsockname())
            gevent.sleep(0)
            passes(lambda: client.shut_down or self.door._nothing_unread(client))  # noqa: B023
        return sock

    def heard(self, sock: gevent.socket.socket, seconds: float = 1.0) -> tuple[bytes, str]:
        """All that a client reads, and what came then."""
        sock.settimeout(seconds)
        got = b""
        try:
            while more := sock.recv(1 << 16):
                got += more
        except OSError as error:
            return got, type(error).__name__
        return got, "end"

    def end(self) -> None:
        self.accepting.kill()
        self.door.drain_and_close(0.15)


class ShutdownTest(RunningListenerTestCase):
    def test_what_was_sent_before_the_listener_closes_is_answered_and_never_reset(self) -> None:
        for name, read, unread, expected in (
            ("nothing", (), b"", b""),
            ("a whole request that nobody has read", (), submit("a"), BUSY),
            ("half of one, read", (HALF,), b"", BUSY),
            ("half of one, read, and the rest", (HALF,), REST, BUSY),
            ("half of one that nobody has read", (), HALF, BUSY),
            ("several that nobody has read", (), submit("a") * 20, BUSY * 20),
            ("one behind others that are slowed down", (words(b"NO") * 6 + submit("a"),), b"", NO * 4 + BUSY * 3),
        ):
            for accepted in (True, False) if not read else (True,):
                with self.subTest(name=name, accepted=accepted):
                    self.open()
                    gevent.sleep(0)
                    self.door.stop()
                    if not accepted:
                        self.accepting.kill()
                    sock = self.connect(*read, accepted=accepted)
                    if unread:
                        sock.sendall(unread)
                    self.end()
                    self.assertEqual(self.heard(sock), (expected, "end"))
        self.assertEqual(self.taken, [])

    def test_commands_read_and_not_answered_when_the_end_comes_between_two_are_turned_away(self) -> None:
        sock = self.connect()
        sock.sendall(submit("a") * 30)
        while len(self.taken) < 5:
            gevent.sleep(0)
        self.door.stop()
        self.end()
        self.assertEqual((len(self.taken), self.heard(sock)), (5, (OK * 5 + BUSY * 25, "end")))

    def test_nothing_is_written_before_an_answer_that_is_under_way(self) -> None:
        gate = gevent.event.Event()
        self.answer = (
            lambda kept: (AdmissionResult.ACCEPTED, 0, None) if gate.wait() else (AdmissionResult.BUSY, 0, None)
        )
        sock = self.connect(submit("a") + submit("b"))
        self.door.stop()
        self.end()
        gate.set()
        self.assertEqual((self.taken, self.heard(sock)), (["a"], (OK + BUSY, "end")))

    def test_who_crosses_the_end_late_reads_it_before_the_reset_all_the_same(self) -> None:
        with (
            mock.patch.object(client_connections, "CLOSE_TIMEOUT_S", 0.05),
            mock.patch.object(client_connections, "CROSSED_REQUEST_TIMEOUT_S", 5.0),
        ):
            sock = self.connect(submit("a"))
            (client,) = self.door.clients
            self.door.stop()
            sock.sendall(submit("b"))
            passes(lambda: client.closed)
            for _ in range(9):
                gevent.sleep(0)
        self.assertIn(client, self.door.clients)
        self.assertEqual(self.heard(sock), (OK, "end"))
        client.descriptor_wanted.set()

    def test_what_crosses_the_end_is_not_read_and_does_not_reset_the_answer_before_it(self) -> None:
        for crossing in (b"*", submit("b"), submit("b") * 2000):
            with self.subTest(size=len(crossing)):
                sock = self.connect(submit("a"))
                silent = self.door._nothing_unread

                def cross(
                    client: ClientConnection, crossing: bytes = crossing, sock: gevent.socket.socket = sock
                ) -> bool:
                    was = silent(client)  # noqa: B023
                    sock.setblocking(False)
                    sock.send(crossing)  # between the look and the answer
                    return was

                with mock.patch.object(self.door, "_nothing_unread", cross):
                    self.door.closing = True
                    sock.sendall(submit("c"))
                    gevent.sleep(0.1)
                self.assertEqual(self.heard(sock, 0.1), (OK + BUSY, "end"))
                self.door.closing = False
        self.assertEqual(self.taken, ["a"] * 3)


class OpenConnectionsTest(RunningListenerTestCase):
    def test_a_cut_for_want_of_descriptors_leaves_no_request_that_was_read_without_an_answer(self) -> None:
        late = round(client_connections.SLOW_REQUEST_S * 1_000_000) + 1
        for name, read, crossing, expected in (
            ("silent", (), b"", (b"", "end")),
            ("one that waits to be read", (), submit("a"), (OK, "TimeoutError")),
            ("half of one", (HALF,), b"", (BUSY, "end")),
            ("half of one whose rest waits to be read", (HALF,), REST, (OK, "TimeoutError")),
            (
                "commands behind others that are slowed down",
                (words(b"NO") * 6 + submit("a"),),
                b"",
                (NO * 6 + OK, "TimeoutError"),
            ),
        ):
            with self.subTest(name=name):
                self.open(sockets=64 + 8)
                sock = self.connect(*read)
                self.door.descriptors.used = 8
                for client in self.door.clients:
                    client.idle_since -= late
                if crossing:
                    sock.sendall(crossing)
                with (
                    mock.patch.object(client_connections, "CONNECTION_POOL_DIVISOR", 8),
                    mock.patch.object(self.door, "clients", ManyClients(self.door.clients)),
                ):
                    self.assertRaises(NoDescriptorError, self.door._free_descriptors)
                self.assertEqual(self.heard(sock, 1.0), expected)

    def test_who_was_told_the_end_makes_way_before_a_connection_that_has_not_asked_yet(self) -> None:
        self.open(sockets=64 + 8)
        fresh = self.connect()
        self.door.closing = True
        crossed = self.connect(submit("a"), submit("b"))
        self.door.descriptors.used = 8
        for client in self.door.clients:
            client.idle_since -= 1_000_000
        with mock.patch.object(self.door, "clients", ManyClients(self.door.clients)):
            self.assertRaises(NoDescriptorError, self.door._free_descriptors)
        self.assertEqual(self.heard(crossed), (BUSY, "end"))
        fresh.sendall(submit("c"))
        self.assertEqual(self.heard(fresh), (BUSY, "end"))

    def test_a_request_that_comes_as_the_time_for_it_runs_out_is_answered(self) -> None:
        wait = gevent.socket.socket._wait

        def cross(waiting: gevent.socket.socket, *told: object) -> None:
            try:
                wait(waiting, *told)
            except TimeoutError:
                sock.sendall(submit("a"))
                raise

        with (
            mock.patch.object(client_connections, "FIRST_REQUEST_TIMEOUT_S", 0.1),
            mock.patch.object(gevent.socket.socket, "_wait", cross),
        ):
            sock = self.connect()
            gevent.sleep(0.15)
        self.assertEqual(self.heard(sock, 0.2), (OK, "TimeoutError"))

    def test_who_may_be_right_is_answered_in_time_and_never_ended(self) -> None:
        for answered, closing in (
            (AdmissionResult.UNKNOWN_DESTINATION, False),
            (AdmissionResult.FROZEN, False),
            (AdmissionResult.ACCEPTED, True),
        ):
            with self.subTest(answered=answered, closing=closing):
                self.answer = mock.Mock(return_value=(answered, 0, None))
                sock = self.connect()
                self.door.closing = closing
                sock.sendall(submit("a") * 12)
                self.assertEqual(self.heard(sock, 0.4), (BUSY * 12, "end" if closing else "TimeoutError"))
                self.door.closing = False


class ManyClients(set[ClientConnection]):
    """Clients that count as most of the descriptors."""

    def __len__(self) -> int:
        return 1000


class ClientDepartureTest(unittest.TestCase):
    """A client that leaves at each step: its message is kept, told and sent once, or never sent."""

    def setUp(self) -> None:
        self.bodies: list[bytes] = []
        self.order: list[str] = []
        self.receiver = gevent.socket.socket()
        self.receiver.bind(("127.0.0.1", 0))
        self.receiver.listen()
        self.serving = gevent.spawn(self.receive)
        self.addCleanup(self.receiver.close)
        self.addCleanup(self.serving.kill)

    def receive(self) -> None:
        while True:
            gevent.spawn(self.answer_calls, self.receiver.accept()[0])

    def answer_calls(self, sock: gevent.socket.socket) -> None:
        with sock, sock.makefile("rb") as stream, contextlib.suppress(OSError):
            while head := stream.readline():
                while not head.endswith(b"\r\n\r\n"):
                    head += stream.readline()
                self.bodies.append(stream.read(1))
                sock.sendall(reply(200))

    def begin(self, durable: bool) -> tuple[ClientListener, Dispatcher]:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        clock, counters, descriptors = Clock(), Counters(), DescriptorBudget(256)
        polled = PollClock(clock)
        store = Store(folder.name, 1 << 20, now=clock.now, durable=durable)
        store.load()
        self.addCleanup(store.close)
        made = Assignment("n", ("", 0), ("", 0), "", 1, 64, 100_000, {}, flatten_settings(NESTED))
        dispatcher = Dispatcher(made, clock, counters, store, polled)
        links = ConnectionPool(clock, counters, descriptors, lambda _: self.receiver.getsockname(), 5_000_000, 500_000)
        dispatcher.notices, dispatcher.free_links = Notifier(("", 0), counters, lambda numbers: None), links.free

        def may_fire(number: int) -> bool:
            self.order.append("first byte" if dispatcher.may_fire(number) else "held back")
            return dispatcher.may_fire(number)

        dispatcher.attempts = AttemptRunner(
            clock,
            counters,
            links,
            [],
            polled,
            dispatcher.clear,
            dispatcher.attempt_ended,
            dispatcher.apply_retry_after,
            may_fire,
        )
        dispatcher._listed(EndpointUpdate.CACHED, [ListedEndpoint(1, 0, 0, 0, EndpointState.READY, 0.0)])
        door = ClientListener(("127.0.0.1", 0), clock, counters, descriptors, dispatcher, lambda: True)
        self.addCleanup(door.listener.close)
        for part in (dispatcher.run, door.accept):
            self.addCleanup(gevent.spawn(part).kill)
        return door, dispatcher

    def test_it_is_told_kept_and_sent_once_or_never_sent(self) -> None:
        for told in itertools.product(
            (False, True),
            (False, True),
            ("close", "reset", "end sending"),
            ("before it is read", "as it is taken", "as it is recorded", "before the look", "after the look"),
        ):
            with self.subTest(durable_keptlink_leave_step=told):
                self.leave(*told)

    def leave(self, durable: bool, reused_connection: bool, how: str, step: str) -> None:
        door, dispatcher = self.begin(durable)
        client = gevent.socket.create_connection(door.listener.getsockname())
        self.addCleanup(client.close)
        if reused_connection:
            client.sendall(submit("first", body=b"1"))
            self.assertEqual(client.recv(9), OK)
            passes(lambda: not dispatcher.store.messages and not dispatcher.attempts.in_flight)
        self.bodies.clear()
        self.order.clear()

        def go() -> None:
            if how == "end sending":
                client.shutdown(socket.SHUT_WR)
                return
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", how == "reset", 0))
            client.close()

        def crossing(name: str, call: Callable[..., Any]) -> Callable[..., Any]:
            def crossed(*told: Any) -> Any:
                if name == step:
                    go()
                result = call(*told)
                if name == "before the look":
                    self.order.append("look")
                    if step == "after the look":
                        go()
                return result

            return crossed

        with (
            mock.patch.object(client_listener, "peek_byte", crossing("before the look", peek_byte)),
            mock.patch.object(client_connections, "peek_byte", crossing("before the look", peek_byte)),
            mock.patch.object(dispatcher, "_admit", crossing("as it is taken", dispatcher._admit)),
            mock.patch.object(dispatcher, "_store_message", crossing("as it is recorded", dispatcher._store_message)),
        ):
            client.sendall(submit("left", body=b"2"))
            if step == "before it is read":
                go()
            passes(lambda: self.order and not dispatcher.store.messages and dispatcher.idle())
        stays = step == "after the look"
        self.assertEqual(self.bodies, [b"2"] * stays)
        self.assertEqual((dispatcher.store.messages, dispatcher.handles, dispatcher.leaving), ({}, {}, set()))
        self.assertEqual([each for each in self.order if each != "held back"], ["look"] + ["first byte"] * stays)
        if how == "end sending":
            client.settimeout(1.0)
            self.assertEqual(client.recv(9), OK if stays else BUSY)


class ReplacedProcessTest(unittest.TestCase):
    def test_half_a_request_is_refused_before_the_process_that_hands_over_has_gone(self) -> None:
        program = Program([Receiver(reply(200))])
        self.addCleanup(program.close)
        with socket.create_server(("127.0.0.1", program.port)) as listener:
            program.start(fds=(listener.fileno(),), RELAY_SOCKET_FD=str(listener.fileno()))
            with program.connect() as sock, program.connect() as fresh:
                self.assertEqual(ask(fresh, b"PING"), b"+PONG\r\n")  # so the other, older one is accepted
                sock.sendall(HALF)
                self.assertEqual(ask(fresh, b"PING"), b"+PONG\r\n")  # and its bytes have been read
                program.signal(signal.SIGTERM)
                self.assertEqual((line_of(sock), sock.recv(1)), (BUSY, b""))
            assert program.process is not None
            self.assertEqual(program.process.wait(5), 0)


class SignalsAtStartTest(unittest.TestCase):
    def test_a_new_configuration_told_while_the_program_loads_does_not_end_it(self) -> None:
        program = Program([Receiver(reply(200))])
        self.addCleanup(program.close)
        with tempfile.TemporaryDirectory() as folder:
            gate = os.path.join(folder, "gate")
            os.mkfifo(gate)
            lines = (
                f"import sys\nopen({gate!r}, 'w').close()\nopen({gate!r}).close()\nsys.path.remove({folder!r})\n"
                "del sys.modules['loguru']\nimport loguru\nsys.modules['loguru'] = loguru\n"
            )
            with open(os.path.join(folder, "loguru.py"), "w", encoding="utf-8") as file:
                file.write(lines)
            for number in (signal.SIGHUP, signal.SIGUSR1):
                program.process = program.spawn(PYTHONPATH=f"{folder}:{os.getcwd()}")
                open(gate, encoding="utf-8").close()  # the interpreter loads its modules now
                program.signal(number)
                held = os.open(gate, os.O_RDWR)
                until(lambda: program._ready() or program.process.poll() is not None)  # type: ignore[union-attr]
                os.close(held)
                self.assertIsNone(program.process.poll())
                program.kill()

    def test_the_run_line_ignores_it_before_the_interpreter_starts(self) -> None:
        with open("deploy/balancer.toml", "rb") as file:
            line = tomllib.load(file)["run"]
        shown = line.replace("-m cedarwick", "-c 'import signal; print(signal.getsignal(signal.SIGHUP).name)'")
        self.assertNotEqual(shown, line)
        self.assertEqual(subprocess.check_output(["/bin/sh", "-c", shown], text=True), "SIG_IGN\n")


if __name__ == "__main__":
    unittest.main()
