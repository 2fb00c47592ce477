"""Races on client connections: input that crosses a shutdown, a reclaimed descriptor, a timeout or a disconnect."""

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

from cedarwick.decisions.connection_reuse import ConnectionReuse
from cedarwick.decisions.interface import EndpointState, EndpointUpdate, ListedEndpoint
from cedarwick.net import client_connections, client_listener
from cedarwick.net.assignment import Assignment, flatten_settings
from cedarwick.net.attempts import AttemptRunner
from cedarwick.net.client_connections import ClientConnection
from cedarwick.net.client_listener import ClientListener, SubmitResult, client_has_left
from cedarwick.net.clock import Clock
from cedarwick.net.connections import ConnectionPool
from cedarwick.net.counters import Counters
from cedarwick.net.descriptors import DescriptorBudget, NoDescriptorError
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.notifications import Notifier
from cedarwick.net.sockets import PollClock
from cedarwick.net.submission import AdmissionResult
from cedarwick.store.journal import Store
from cedarwick.store.records import StoredMessage
from tests.build import (
    NESTED_SETTINGS,
    Program,
    Receiver,
    encode_command,
    encode_submit,
    read_line,
    reply,
    send_command,
    wait_for_condition,
)

OK, BUSY, UNKNOWN_COMMAND = b"+OK\r\n", b"-BUSY\r\n", b"-ERR unknown command\r\n"
FIRST_HALF, SECOND_HALF = encode_submit("a")[:30], encode_submit("a")[30:]


def wait_until(condition: Callable[[], Any]) -> None:
    """Let other greenlets run until the condition holds."""
    with gevent.Timeout(8.0):
        while not condition():
            gevent.sleep(0.001)


class RunningListenerTestCase(unittest.TestCase):
    """The client listener on a real socket, in one thread with its clients: it runs only when a test yields."""

    def setUp(self) -> None:
        self.submitted_ids: list[str] = []
        self.submit_result: Callable[[StoredMessage], SubmitResult] = lambda message: (
            AdmissionResult.ACCEPTED,
            0,
            None,
        )
        self.start_listener()

    def start_listener(self, descriptor_limit: int = 256) -> None:
        self.client_listener = ClientListener(
            ("127.0.0.1", 0),
            Clock(),
            Counters(),
            DescriptorBudget(descriptor_limit),
            None,  # type: ignore[arg-type]
            lambda: True,
        )
        self.address = self.client_listener.listener.getsockname()
        self.client_listener.submit_message = self.record_submission
        self.accept_greenlet = gevent.spawn(self.client_listener.accept)
        self.addCleanup(self.accept_greenlet.kill)
        self.addCleanup(self.client_listener.listener.close)

    def record_submission(self, message: StoredMessage) -> SubmitResult:
        self.submitted_ids.append(message.id)
        return self.submit_result(message)

    def connect(self, *pieces: bytes, accepted: bool = True) -> gevent.socket.socket:
        """Connect a client; on return each piece that it sent was read, and its requests were answered."""
        sock = gevent.socket.create_connection(self.address)
        self.addCleanup(sock.close)
        before = len(self.client_listener.clients)
        wait_until(lambda: not accepted or len(self.client_listener.clients) > before)
        for piece in pieces:
            sock.sendall(piece)
            client = next(one for one in self.client_listener.clients if one.sock.getpeername() == sock.getsockname())
            gevent.sleep(0)
            wait_until(lambda: client.shut_down or self.client_listener._nothing_unread(client))  # noqa: B023
        return sock

    def read_all(self, sock: gevent.socket.socket, timeout_s: float = 1.0) -> tuple[bytes, str]:
        """Return all bytes that a client reads, and how reading ended: "end" or the name of the error."""
        sock.settimeout(timeout_s)
        received = b""
        try:
            while chunk := sock.recv(1 << 16):
                received += chunk
        except OSError as error:
            return received, type(error).__name__
        return received, "end"

    def end_listener(self) -> None:
        self.accept_greenlet.kill()
        self.client_listener.drain_and_close(0.15)


class ShutdownTest(RunningListenerTestCase):
    def test_requests_sent_before_the_listener_closes_are_answered_and_never_reset(self) -> None:
        for name, read, unread, expected in (
            ("nothing", (), b"", b""),
            ("a complete request, unread", (), encode_submit("a"), BUSY),
            ("half a request, read", (FIRST_HALF,), b"", BUSY),
            ("half a request, read, and its rest, unread", (FIRST_HALF,), SECOND_HALF, BUSY),
            ("half a request, unread", (), FIRST_HALF, BUSY),
            ("several requests, unread", (), encode_submit("a") * 20, BUSY * 20),
            (
                "a request behind unusable ones that delay it",
                (encode_command(b"NO") * 6 + encode_submit("a"),),
                b"",
                UNKNOWN_COMMAND * 4 + BUSY * 3,
            ),
        ):
            for accepted in (True, False) if not read else (True,):
                with self.subTest(name=name, accepted=accepted):
                    self.start_listener()
                    gevent.sleep(0)
                    self.client_listener.stop()
                    if not accepted:
                        self.accept_greenlet.kill()
                    sock = self.connect(*read, accepted=accepted)
                    if unread:
                        sock.sendall(unread)
                    self.end_listener()
                    self.assertEqual(self.read_all(sock), (expected, "end"))
        self.assertEqual(self.submitted_ids, [])

    def test_pipelined_commands_that_are_unanswered_at_shutdown_are_refused(self) -> None:
        sock = self.connect()
        sock.sendall(encode_submit("a") * 30)
        while len(self.submitted_ids) < 5:
            gevent.sleep(0)
        self.client_listener.stop()
        self.end_listener()
        self.assertEqual((len(self.submitted_ids), self.read_all(sock)), (5, (OK * 5 + BUSY * 25, "end")))

    def test_no_refusal_is_written_before_a_pending_answer(self) -> None:
        gate = gevent.event.Event()
        self.submit_result = (
            lambda message: (AdmissionResult.ACCEPTED, 0, None) if gate.wait() else (AdmissionResult.BUSY, 0, None)
        )
        sock = self.connect(encode_submit("a") + encode_submit("b"))
        self.client_listener.stop()
        self.end_listener()
        gate.set()
        self.assertEqual((self.submitted_ids, self.read_all(sock)), (["a"], (OK + BUSY, "end")))

    def test_a_client_whose_request_crosses_the_shutdown_late_reads_the_end_before_the_reset(self) -> None:
        with (
            mock.patch.object(client_connections, "CLOSE_TIMEOUT_S", 0.05),
            mock.patch.object(client_connections, "CROSSED_REQUEST_TIMEOUT_S", 5.0),
        ):
            sock = self.connect(encode_submit("a"))
            (client,) = self.client_listener.clients
            self.client_listener.stop()
            sock.sendall(encode_submit("b"))
            wait_until(lambda: client.closed)
            for _ in range(9):
                gevent.sleep(0)
        self.assertIn(client, self.client_listener.clients)
        self.assertEqual(self.read_all(sock), (OK, "end"))
        client.descriptor_wanted.set()

    def test_input_that_crosses_the_shutdown_stays_unread_and_does_not_reset_the_previous_answer(self) -> None:
        for crossing in (b"*", encode_submit("b"), encode_submit("b") * 2000):
            with self.subTest(size=len(crossing)):
                sock = self.connect(encode_submit("a"))
                nothing_unread = self.client_listener._nothing_unread

                def send_after_check(
                    client: ClientConnection, crossing: bytes = crossing, sock: gevent.socket.socket = sock
                ) -> bool:
                    result = nothing_unread(client)  # noqa: B023
                    sock.setblocking(False)
                    sock.send(crossing)  # between the check and the answer
                    return result

                with mock.patch.object(self.client_listener, "_nothing_unread", send_after_check):
                    self.client_listener.closing = True
                    sock.sendall(encode_submit("c"))
                    gevent.sleep(0.1)
                self.assertEqual(self.read_all(sock, 0.1), (OK + BUSY, "end"))
                self.client_listener.closing = False
        self.assertEqual(self.submitted_ids, ["a"] * 3)


class OpenConnectionsTest(RunningListenerTestCase):
    def test_closing_a_client_to_free_its_descriptor_leaves_no_read_request_unanswered(self) -> None:
        slow_us = round(client_connections.SLOW_REQUEST_S * 1_000_000) + 1
        for name, read, crossing, expected in (
            ("no request", (), b"", (b"", "end")),
            ("a request, unread", (), encode_submit("a"), (OK, "TimeoutError")),
            ("half a request, read", (FIRST_HALF,), b"", (BUSY, "end")),
            ("half a request, read, and its rest, unread", (FIRST_HALF,), SECOND_HALF, (OK, "TimeoutError")),
            (
                "a request behind unusable ones that delay it",
                (encode_command(b"NO") * 6 + encode_submit("a"),),
                b"",
                (UNKNOWN_COMMAND * 6 + OK, "TimeoutError"),
            ),
        ):
            with self.subTest(name=name):
                self.start_listener(descriptor_limit=64 + 8)
                sock = self.connect(*read)
                self.client_listener.descriptors.used = 8
                for client in self.client_listener.clients:
                    client.idle_since -= slow_us
                if crossing:
                    sock.sendall(crossing)
                with (
                    mock.patch.object(client_connections, "CONNECTION_POOL_DIVISOR", 8),
                    mock.patch.object(self.client_listener, "clients", ManyClients(self.client_listener.clients)),
                ):
                    self.assertRaises(NoDescriptorError, self.client_listener._free_descriptors)
                self.assertEqual(self.read_all(sock, 1.0), expected)

    def test_a_connection_that_is_shut_down_is_closed_before_one_without_a_request_yet(self) -> None:
        self.start_listener(descriptor_limit=64 + 8)
        new_client = self.connect()
        self.client_listener.closing = True
        shut_down_client = self.connect(encode_submit("a"), encode_submit("b"))
        self.client_listener.descriptors.used = 8
        for client in self.client_listener.clients:
            client.idle_since -= 1_000_000
        with mock.patch.object(self.client_listener, "clients", ManyClients(self.client_listener.clients)):
            self.assertRaises(NoDescriptorError, self.client_listener._free_descriptors)
        self.assertEqual(self.read_all(shut_down_client), (BUSY, "end"))
        new_client.sendall(encode_submit("c"))
        self.assertEqual(self.read_all(new_client), (BUSY, "end"))

    def test_a_request_that_arrives_just_as_its_timeout_expires_is_answered(self) -> None:
        wait = gevent.socket.socket._wait

        def send_at_timeout(waiting: gevent.socket.socket, *args: object) -> None:
            try:
                wait(waiting, *args)
            except TimeoutError:
                sock.sendall(encode_submit("a"))
                raise

        with (
            mock.patch.object(client_connections, "FIRST_REQUEST_TIMEOUT_S", 0.1),
            mock.patch.object(gevent.socket.socket, "_wait", send_at_timeout),
        ):
            sock = self.connect()
            gevent.sleep(0.15)
        self.assertEqual(self.read_all(sock, 0.2), (OK, "TimeoutError"))

    def test_a_client_with_possibly_valid_requests_is_answered_without_delay_and_not_disconnected(self) -> None:
        for result, closing in (
            (AdmissionResult.UNKNOWN_DESTINATION, False),
            (AdmissionResult.FROZEN, False),
            (AdmissionResult.ACCEPTED, True),
        ):
            with self.subTest(result=result, closing=closing):
                self.submit_result = mock.Mock(return_value=(result, 0, None))
                sock = self.connect()
                self.client_listener.closing = closing
                sock.sendall(encode_submit("a") * 12)
                self.assertEqual(self.read_all(sock, 0.4), (BUSY * 12, "end" if closing else "TimeoutError"))
                self.client_listener.closing = False


class ManyClients(set[ClientConnection]):
    """A set of clients that seems to hold most of the descriptors."""

    def __len__(self) -> int:
        return 1000


class ClientDepartureTest(unittest.TestCase):
    """A client disconnects at each step of a submission: its message is acknowledged and sent once, or never sent."""

    def setUp(self) -> None:
        self.bodies: list[bytes] = []
        self.events: list[str] = []
        self.receiver = gevent.socket.socket()
        self.receiver.bind(("127.0.0.1", 0))
        self.receiver.listen()
        self.receiver_greenlet = gevent.spawn(self.accept_calls)
        self.addCleanup(self.receiver.close)
        self.addCleanup(self.receiver_greenlet.kill)

    def accept_calls(self) -> None:
        while True:
            gevent.spawn(self.answer_calls, self.receiver.accept()[0])

    def answer_calls(self, sock: gevent.socket.socket) -> None:
        with sock, sock.makefile("rb") as stream, contextlib.suppress(OSError):
            while head := stream.readline():
                while not head.endswith(b"\r\n\r\n"):
                    head += stream.readline()
                self.bodies.append(stream.read(1))
                sock.sendall(reply(200))

    def start_sender(self, durable: bool) -> tuple[ClientListener, Dispatcher]:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        clock, counters, descriptors = Clock(), Counters(), DescriptorBudget(256)
        poll_clock = PollClock(clock)
        store = Store(folder.name, 1 << 20, now=clock.now, durable=durable)
        store.load()
        self.addCleanup(store.close)
        assignment = Assignment("n", ("", 0), ("", 0), "", 1, 64, 100_000, {}, flatten_settings(NESTED_SETTINGS))
        dispatcher = Dispatcher(assignment, clock, counters, store, poll_clock)
        connections = ConnectionPool(
            clock, counters, descriptors, lambda _: self.receiver.getsockname(), 5_000_000, 500_000, ConnectionReuse()
        )
        dispatcher.notices, dispatcher.release_connections = (
            Notifier(("", 0), counters, lambda numbers: None),
            connections.close_idle,
        )

        def may_send(number: int) -> bool:
            self.events.append("first byte" if dispatcher.may_send(number) else "held back")
            return dispatcher.may_send(number)

        dispatcher.attempts = AttemptRunner(
            clock,
            counters,
            connections,
            [],
            poll_clock,
            dispatcher.request_clearance,
            dispatcher.attempt_ended,
            dispatcher.apply_retry_after,
            may_send,
        )
        dispatcher._apply_endpoint_update(EndpointUpdate.CACHED, [ListedEndpoint(1, 0, 0, 0, EndpointState.READY, 0.0)])
        running_listener = ClientListener(("127.0.0.1", 0), clock, counters, descriptors, dispatcher, lambda: True)
        self.addCleanup(running_listener.listener.close)
        for part in (dispatcher.run, running_listener.accept):
            self.addCleanup(gevent.spawn(part).kill)
        return running_listener, dispatcher

    def test_the_message_is_acknowledged_and_sent_once_or_never_sent(self) -> None:
        for case in itertools.product(
            (False, True),
            (False, True),
            ("close", "reset", "end sending"),
            (
                "before it is read",
                "before check 1",
                "after check 1",
                "as it is admitted",
                "as it is stored",
                "before check 2",
                "after check 2",
            ),
        ):
            with self.subTest(durable_reused_how_step=case):
                self.disconnect(*case)

    def disconnect(self, durable: bool, reused_connection: bool, how: str, step: str) -> None:
        running_listener, dispatcher = self.start_sender(durable)
        client = gevent.socket.create_connection(running_listener.listener.getsockname())
        self.addCleanup(client.close)
        if reused_connection:
            client.sendall(encode_submit("first", body=b"1"))
            self.assertEqual(client.recv(9), OK)
            wait_until(lambda: not dispatcher.store.messages and not dispatcher.attempts.in_flight)
        self.bodies.clear()
        self.events.clear()

        def hang_up() -> None:
            if how == "end sending":
                client.shutdown(socket.SHUT_WR)
                return
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", how == "reset", 0))
            client.close()

        def hang_up_at_step(name: str, call: Callable[..., Any]) -> Callable[..., Any]:
            def wrapper(*args: Any) -> Any:
                if name == step:
                    hang_up()
                return call(*args)

            return wrapper

        def check(departing: ClientConnection) -> bool:
            number = 1 + self.events.count("check")
            if step == f"before check {number}":
                hang_up()
            has_left = client_has_left(departing)
            self.events.append("check")
            if step == f"after check {number}":
                hang_up()
            return has_left

        with (
            mock.patch.object(client_listener, "client_has_left", check),
            mock.patch.object(dispatcher, "_admit", hang_up_at_step("as it is admitted", dispatcher._admit)),
            mock.patch.object(
                dispatcher, "_store_message", hang_up_at_step("as it is stored", dispatcher._store_message)
            ),
        ):
            client.sendall(encode_submit("left", body=b"2"))
            if step == "before it is read":
                hang_up()
            wait_until(lambda: self.events and not dispatcher.store.messages and dispatcher.is_idle())
        is_sent = step == "after check 2" and how != "reset"  # after a reset the +OK cannot be written
        checks = 1 if step in ("before it is read", "before check 1") else 2
        self.assertEqual(self.bodies, [b"2"] * is_sent)
        self.assertEqual((dispatcher.store.messages, dispatcher.handles, dispatcher.withdrawing), ({}, {}, set()))
        self.assertEqual(
            [event for event in self.events if event != "held back"], ["check"] * checks + ["first byte"] * is_sent
        )
        if how == "end sending":
            client.settimeout(1.0)
            self.assertEqual(client.recv(9), OK if is_sent else BUSY)


class ReplacedProcessTest(unittest.TestCase):
    def test_half_a_request_is_refused_before_the_replaced_process_exits(self) -> None:
        program = Program([Receiver(reply(200))])
        self.addCleanup(program.close)
        with socket.create_server(("127.0.0.1", program.port)) as listener:
            program.start(fds=(listener.fileno(),), RELAY_SOCKET_FD=str(listener.fileno()))
            with program.connect() as sock, program.connect() as newer:
                self.assertEqual(
                    send_command(newer, b"PING"), b"+PONG\r\n"
                )  # the older connection is accepted before this one
                sock.sendall(FIRST_HALF)
                self.assertEqual(send_command(newer, b"PING"), b"+PONG\r\n")  # the bytes of the older one were read
                program.signal(signal.SIGTERM)
                self.assertEqual((read_line(sock), sock.recv(1)), (BUSY, b""))
            assert program.process is not None
            self.assertEqual(program.process.wait(5), 0)


class SignalsAtStartTest(unittest.TestCase):
    def test_a_signal_during_start_up_does_not_end_the_process(self) -> None:
        program = Program([Receiver(reply(200))])
        self.addCleanup(program.close)
        with tempfile.TemporaryDirectory() as folder:
            gate = os.path.join(folder, "gate")
            os.mkfifo(gate)
            stub = (
                f"import sys\nopen({gate!r}, 'w').close()\nopen({gate!r}).close()\nsys.path.remove({folder!r})\n"
                "del sys.modules['loguru']\nimport loguru\nsys.modules['loguru'] = loguru\n"
            )
            with open(os.path.join(folder, "loguru.py"), "w", encoding="utf-8") as file:
                file.write(stub)
            for signal_number in (signal.SIGHUP, signal.SIGUSR1):
                program.process = program.spawn(PYTHONPATH=f"{folder}:{os.getcwd()}")
                open(gate, encoding="utf-8").close()  # the interpreter is loading its modules
                program.signal(signal_number)
                gate_file = os.open(gate, os.O_RDWR)
                wait_for_condition(lambda: program._ready() or program.process.poll() is not None)  # type: ignore[union-attr]
                os.close(gate_file)
                self.assertIsNone(program.process.poll())
                program.kill()

    def test_the_run_command_ignores_sighup_before_the_interpreter_starts(self) -> None:
        with open("deploy/balancer.toml", "rb") as file:
            command = tomllib.load(file)["run"]
        probe = command.replace("-m cedarwick", "-c 'import signal; print(signal.getsignal(signal.SIGHUP).name)'")
        self.assertNotEqual(probe, command)
        self.assertEqual(subprocess.check_output(["/bin/sh", "-c", probe], text=True), "SIG_IGN\n")


if __name__ == "__main__":
    unittest.main()
