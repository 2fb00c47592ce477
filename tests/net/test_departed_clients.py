"""Clients that leave with much still unread: nothing is sent on, and no id runs twice."""

import errno
import signal
import socket
import struct
import time
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import gevent.socket

from cedarwick.net.sockets import peer_has_closed
from cedarwick.net.submission import AdmissionResult
from tests.build import (
    Program,
    Receiver,
    encode_command,
    encode_submit,
    read_line,
    reply,
)
from tests.net.test_client_listener_races import BUSY, RunningListenerTestCase, wait_until

PIPELINED = 200  # requests of one client, more than its connection's buffer holds
QUIET_S = 0.5  # after the last event, in which a message that was taken would be called
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets the connection


def called_ids(receiver: Receiver) -> list[str]:
    """Return the ids of all calls, in their order."""
    return [head.split(b"X-Txn: ")[1].split(b"\r\n")[0].decode() for _, head, _ in receiver.calls]


def leave(client: socket.socket, how: str) -> None:
    """End a client's connection by a close, by a reset, or by ending only its sending."""
    if how == "half":
        client.shutdown(socket.SHUT_WR)
        return
    if how == "reset":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    client.close()


class PeerHasClosedTest(unittest.TestCase):
    def test_an_end_behind_unread_input_is_seen(self) -> None:
        for how in ("open", "close", "half", "reset"):
            with self.subTest(how=how), gevent.socket.socket() as listener:
                listener.bind(("127.0.0.1", 0))
                listener.listen()
                client = socket.create_connection(listener.getsockname())
                self.addCleanup(client.close)
                ours, _ = listener.accept()
                self.addCleanup(ours.close)
                client.sendall(bytes(10_000))
                if how != "open":
                    leave(client, how)
                    wait_until(lambda: peer_has_closed(ours))  # noqa: B023
                self.assertEqual(peer_has_closed(ours), how != "open")

    def test_a_failing_poll_is_no_sign_of_an_end(self) -> None:
        """Guards against a sender that takes all clients for gone while the system call fails, and refuses them."""
        ours, theirs = gevent.socket.socketpair()
        self.addCleanup(theirs.close)
        poller = mock.Mock()
        poller.poll.side_effect = poller.register.side_effect = OSError(errno.ENOMEM, "no memory")
        with mock.patch("select.poll", return_value=poller):
            self.assertFalse(peer_has_closed(ours))
        ours.close()
        self.assertTrue(peer_has_closed(ours))


class LeavingClientTest(RunningListenerTestCase):
    """Guards against requests that were read after their client had left, and were sent on."""

    def setUp(self) -> None:
        super().setUp()
        self.withdrawn: list[str] = []
        self.submit_result = lambda message: (
            AdmissionResult.ACCEPTED,
            0,
            lambda: self.withdrawn.append(message.id),
        )

    def pipeline(self) -> socket.socket:
        """Connect a client that the listener does not read from yet, with many requests written."""
        client = socket.create_connection(self.address)
        self.addCleanup(client.close)
        client.sendall(b"".join(encode_submit(f"m{number}") for number in range(PIPELINED)))
        return client

    def test_requests_behind_the_end_of_their_connection_are_not_submitted(self) -> None:
        for how in ("close", "half", "reset"):
            with self.subTest(how=how):
                client = self.pipeline()
                leave(client, how)
                gevent.sleep(0.2)
                self.assertEqual((self.submitted_ids, self.withdrawn), ([], []))
                if how == "half":
                    client.settimeout(1)
                    self.assertEqual(client.recv(1 << 16)[: len(BUSY)], BUSY)

    def test_a_client_that_leaves_during_the_admission_has_its_message_withdrawn(self) -> None:
        for how in ("close", "half", "reset"):
            with self.subTest(how=how):
                self.submitted_ids.clear()
                self.withdrawn.clear()
                client = self.pipeline()
                accept = self.submit_result

                def leave_and_accept(
                    message: Any, client: socket.socket = client, how: str = how, accept: Any = accept
                ) -> Any:
                    if message.id == "m1":
                        leave(client, how)
                        gevent.sleep(0.05)
                    return accept(message)

                self.submit_result = leave_and_accept
                gevent.sleep(0.3)
                self.submit_result = accept
                self.assertEqual((self.submitted_ids, self.withdrawn), (["m0", "m1"], ["m1"]))

    def test_a_message_whose_answer_cannot_be_written_is_withdrawn(self) -> None:
        client = self.connect()
        served = next(iter(self.client_listener.clients))

        def break_and_accept(message: Any) -> Any:
            served.sock.shutdown(gevent.socket.SHUT_WR)  # so that the answer fails, and only it
            return AdmissionResult.ACCEPTED, 0, lambda: self.withdrawn.append(message.id)

        self.submit_result = break_and_accept
        client.sendall(encode_submit("unheard"))
        wait_until(lambda: not self.client_listener.clients)
        self.assertEqual(self.withdrawn, ["unheard"])


class ClientProcessTestCase(unittest.TestCase):
    """Runs a program with one receiver, and hands in messages on connections of their own."""

    def start(self, answer: Callable[[int], bytes | None]) -> tuple[Program, Receiver]:
        receiver = Receiver(answer)
        program = Program([receiver])
        self.addCleanup(program.close)
        program.start()
        return program, receiver

    def submit(self, program: Program, message: str, body: bytes = b"x") -> bytes:
        with program.connect() as client:
            client.sendall(encode_submit(message, body=body))
            return read_line(client)


class LeavingClientProcessTest(ClientProcessTestCase):
    def test_nothing_of_a_client_that_has_left_is_called_and_its_ids_run_at_most_once(self) -> None:
        for how in ("close", "reset"):
            with self.subTest(how=how):
                program, receiver = self.start(lambda _: reply(200))
                program.signal(signal.SIGSTOP)
                with program.connect() as client:
                    client.sendall(b"".join(encode_submit(f"m{number}") for number in range(PIPELINED)))
                    leave(client, how)
                program.signal(signal.SIGCONT)
                time.sleep(QUIET_S)
                self.assertEqual(called_ids(receiver), [])
                for number in range(PIPELINED):
                    self.submit(program, f"m{number}")
                time.sleep(QUIET_S)
                ids = called_ids(receiver)
                self.assertEqual(len(set(ids)), len(ids))


class HalfClosedTest(RunningListenerTestCase):
    def test_a_ping_of_a_client_that_has_ended_its_sending_is_answered(self) -> None:
        client = self.connect()
        client.sendall(encode_command(b"PING") * 3)
        client.shutdown(gevent.socket.SHUT_WR)
        self.assertEqual(self.read_all(client), (b"+PONG\r\n" * 3, "end"))


if __name__ == "__main__":
    unittest.main()
