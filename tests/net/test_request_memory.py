"""The memory that clients' requests take stays within its limit, whatever hundreds of clients do at once."""

import contextlib
import copy
import gc
import socket
import time
import unittest
from collections.abc import Iterator
from typing import Any
from unittest import mock

import gevent.event
import gevent.socket

from cedarwick.net import request_memory
from cedarwick.net.assignment import AssignmentError, memory_limit, read_assignment
from cedarwick.net.buffer import INITIAL_BYTES, Buffer
from cedarwick.net.client_listener import SubmitResult
from cedarwick.net.request_memory import MEBIBYTE, RequestMemory, body_cache_limit, request_memory_limit
from cedarwick.net.submission import AdmissionResult
from cedarwick.store.records import StoredMessage
from tests.build import NESTED_SETTINGS, Program, Receiver, encode_command, encode_submit, read_line, reply
from tests.net.test_client_listener_races import BUSY, OK, RunningListenerTestCase, wait_until

BODY_BYTES = 64_000
MEMORY_MB = 96
CLIENTS = 300
MESSAGES_PER_CLIENT = 5
STALLED_S = 0.5  # until a request without input may be refused for another one
HOLD_S = 2.5  # longer than a client may take for a request


def peak_memory_mb(pid: int) -> float:
    """Return the largest resident size of a process so far."""
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        line = next(line for line in status if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


class MemoryDivisionTest(unittest.TestCase):
    def test_the_parts_fit_into_the_limit_and_never_exceed_the_defaults(self) -> None:
        for memory_mb in (0, 32, 64, 96, 192, 2048):
            for descriptors in (256, 1024, 4096):
                with self.subTest(memory_mb=memory_mb, descriptors=descriptors):
                    memory_bytes = memory_mb * MEBIBYTE
                    requests = request_memory_limit(memory_bytes, descriptors)
                    bodies = body_cache_limit(memory_bytes, descriptors, 64 * MEBIBYTE)
                    self.assertLessEqual((requests, bodies), (8 * MEBIBYTE, 64 * MEBIBYTE))
                    self.assertGreaterEqual(min(requests, bodies), MEBIBYTE)
                    free = request_memory.free_bytes(memory_bytes, descriptors)
                    if free > 8 * MEBIBYTE:
                        self.assertLessEqual(requests + bodies, free)

    def test_a_memory_limit_that_is_no_size_is_refused(self) -> None:
        self.assertEqual([memory_limit(each) for each in (0, "1.5", 2)], [0, 3 * MEBIBYTE // 2, 2 * MEBIBYTE])
        for value in (-1, float("inf"), float("nan"), "1e999", "much"):
            with self.subTest(value=value), self.assertRaises(ValueError):
                memory_limit(value)

    def test_the_assignment_names_the_limit_that_is_no_size(self) -> None:
        program = Program([])
        self.addCleanup(program.close)
        program.configure(limits={"sockets": 64, "disk_mb": 3, "memory_mb": -1}, settings=NESTED_SETTINGS)
        environment = {"RELAY_CONFIG": program.path("config.json"), "RELAY_STATE": program.path("state")}
        with self.assertRaisesRegex(AssignmentError, "memory_mb"):
            read_assignment(environment)

    def test_the_count_follows_each_client_and_stays_within_the_limit(self) -> None:
        memory = RequestMemory(100_000)
        self.assertTrue(memory.grow("a", 60_000))
        self.assertFalse(memory.grow("b", 60_000))
        self.assertTrue(memory.grow("b", request_memory.SMALL_BUFFER_BYTES))  # a part of its connection
        memory.set("b", 60_000)
        self.assertEqual(memory.used_bytes, 120_000)
        self.assertFalse(memory.grow("a", 60_001))
        self.assertTrue(memory.grow("a", 10_000))  # it needs less than before
        memory.release("b")
        memory.release("b")
        self.assertEqual((memory.used_bytes, memory.bytes_by_client), (10_000, {"a": 10_000}))


class BufferTest(unittest.TestCase):
    """Guards against idle connections that hold the buffer of their largest request."""

    def test_a_large_buffer_shrinks_once_little_is_left_in_it(self) -> None:
        for rest in (0, 10, INITIAL_BYTES - 1):
            buffer = Buffer()
            buffer.append(bytes(40_000) + b"r" * rest)
            buffer.skip(40_000)
            self.assertEqual((len(buffer.data), buffer.take(rest)), (INITIAL_BYTES, b"r" * rest))

    def test_bytes_that_are_read_into_a_discarded_buffer_are_not_taken_for_a_request(self) -> None:
        ours, theirs = gevent.socket.socketpair()
        for sock in (ours, theirs):
            self.addCleanup(sock.close)
        buffer = Buffer()
        buffer.append(b"*1\r\n")
        reading = gevent.spawn(buffer.fill, ours)
        gevent.sleep(0)
        buffer.skip(len(buffer))
        theirs.sendall(b"$4\r\n")
        self.assertEqual((reading.get(timeout=1), len(buffer)), (0, 0))


class LargeRequestsTest(RunningListenerTestCase):
    @contextlib.contextmanager
    def limited(self, limit_bytes: int) -> Iterator[None]:
        with mock.patch.object(self.client_listener.request_memory, "limit_bytes", limit_bytes):
            yield

    def test_the_arguments_of_unanswered_requests_count(self) -> None:
        """Guards against requests that wait for the dispatcher beyond the limit of the read buffers."""
        held = gevent.event.Event()

        def accept_later(_: StoredMessage) -> SubmitResult:
            held.wait()
            return AdmissionResult.ACCEPTED, 0, None

        self.submit_result = accept_later
        self.addCleanup(held.set)
        with self.limited(200_000):
            clients = [self.connect() for _ in range(4)]
            for number, client in enumerate(clients[:2]):
                client.sendall(encode_submit(f"m{number}", body=bytes(BODY_BYTES)))
            wait_until(lambda: len(self.submitted_ids) == 2)
            for client in clients[2:]:
                client.sendall(encode_submit("late", body=bytes(BODY_BYTES)))
            answers = [client.recv(100) for client in clients[2:]]
            self.assertIn(BUSY, answers)
            held.set()
            self.assertEqual([client.recv(100) for client in clients[:2]], [OK, OK])

    def test_a_stalled_large_request_is_refused_for_one_that_goes_on(self) -> None:
        with self.limited(100_000):
            stalled, active = self.connect(), self.connect()
            stalled.sendall(encode_submit("s", body=bytes(BODY_BYTES))[:-10])
            gevent.sleep(0.4)
            active.sendall(encode_submit("a", body=bytes(BODY_BYTES)))
            self.assertEqual((active.recv(100), stalled.recv(100)), (OK, BUSY))
        self.assertEqual(self.submitted_ids, ["a"])

    def test_an_answered_request_is_not_in_memory_any_more(self) -> None:
        """Guards against idle connections that hold the arguments of their last request."""
        bodies: list[bytes] = []

        def accept(message: StoredMessage) -> SubmitResult:
            bodies.append(message.body or b"")
            return AdmissionResult.ACCEPTED, 0, None

        self.submit_result = accept
        client = self.connect()
        client.sendall(encode_submit("a", body=bytes(BODY_BYTES)))
        self.assertEqual(client.recv(100), OK)
        wait_until(lambda: next(iter(self.client_listener.clients)).waiting)
        body = bodies.pop()
        holders = [each for each in gc.get_referrers(body) if each is not bodies]
        self.assertEqual([each for each in holders if isinstance(each, list)], [])

    def test_nothing_counts_after_the_clients_have_gone(self) -> None:
        for body in (b"x", bytes(20_000), bytes(BODY_BYTES)):
            with self.connect() as client:
                client.sendall(encode_submit(f"m{len(body)}", body=body))
                self.assertEqual(client.recv(100), OK)
            with self.connect() as client:
                client.sendall(encode_submit("half", body=body)[:-1])
                gevent.sleep(0.05)
        wait_until(lambda: not self.client_listener.clients)
        self.assertEqual(self.client_listener.request_memory.used_bytes, 0)


class ManyClientsTest(unittest.TestCase):
    """Guards against a process that passes its memory limit under hundreds of clients at once."""

    def setUp(self) -> None:
        settings: dict[str, Any] = copy.deepcopy(NESTED_SETTINGS)
        settings["policy-limits"]["max-open"] = 4000
        self.program = Program([Receiver(None), Receiver(reply(200))], memory_mb=MEMORY_MB, sockets=1024, disk_mb=256)
        self.addCleanup(self.program.close)
        self.program.configure(settings=settings)
        self.program.start()

    def connect_all(self) -> list[socket.socket]:
        clients = [self.program.connect() for _ in range(CLIENTS)]
        for client in clients:
            self.addCleanup(client.close)
            client.settimeout(10)
        return clients

    def assert_within_limits(self) -> None:
        assert self.program.process is not None
        self.assertLess(peak_memory_mb(self.program.process.pid), MEMORY_MB)
        time.sleep(STALLED_S)
        with self.program.connect() as client:
            client.settimeout(1)
            client.sendall(encode_submit("afterwards", dest=1, body=bytes(20_000)))
            self.assertEqual(read_line(client), OK)

    def test_large_messages_whose_receiver_hangs(self) -> None:
        for number in range(CLIENTS):
            with self.program.connect() as client:
                for nth in range(MESSAGES_PER_CLIENT):
                    client.sendall(encode_submit(f"m{number}-{nth}", d=16_000, body=bytes(BODY_BYTES)))
                    self.assertEqual(read_line(client), OK)
        self.assert_within_limits()

    def test_requests_that_stop_half_way(self) -> None:
        for number, client in enumerate(self.connect_all()):
            with contextlib.suppress(OSError):
                client.sendall(encode_submit(f"m{number}", body=bytes(BODY_BYTES))[:-1])
        self.assert_within_limits()

    def test_slow_writers(self) -> None:
        clients, request = self.connect_all(), encode_submit("slow", body=bytes(BODY_BYTES))
        end_at, offset = time.monotonic() + HOLD_S, 0
        while time.monotonic() < end_at:
            for client in clients:
                with contextlib.suppress(OSError):
                    client.sendall(request[offset : offset + 2_000])
            offset += 2_000
            time.sleep(0.05)
        self.assert_within_limits()

    def test_lists_of_very_many_short_fields(self) -> None:
        pairs = b"c=free,d=8000,dest=0," + b",".join(b"%x=" % number for number in range(10_000))
        for number, client in enumerate(self.connect_all()):
            with contextlib.suppress(OSError):
                client.sendall(encode_command(b"SUBMIT", b"0", b"m%d" % number, pairs, b"x"))
                self.assertTrue(read_line(client).startswith(b"-ERR"))
        self.assert_within_limits()

    def test_idle_connections_do_not_hold_the_memory_of_their_last_request(self) -> None:
        for number, client in enumerate(self.connect_all()):
            client.sendall(encode_submit(f"m{number}", dest=1, body=bytes(40_000)))
            self.assertEqual(read_line(client), OK)
        self.assert_within_limits()


if __name__ == "__main__":
    unittest.main()
