"""One client at full speed on one connection does not delay the answers of the others, nor use up the memory."""

import contextlib
import socket
import threading
import time
import unittest
from collections.abc import Callable
from unittest import mock

import gevent
import gevent.socket
from loguru import logger

from cedarwick.fleet import peer_server
from cedarwick.fleet.messages import Acknowledged
from cedarwick.fleet.peer_server import PeerServer
from cedarwick.fleet.peer_verifier import PeerVerifier
from cedarwick.net import endpoint_list as endpoint_list_module
from cedarwick.net.assignment import Assignment
from cedarwick.net.buffer import INITIAL_BYTES, Buffer
from cedarwick.net.counters import Counters
from cedarwick.net.endpoint_list import EndpointList
from cedarwick.net.http import InvalidResponseError
from cedarwick.ops.management_server import ManagementServer
from tests.build import Program, Receiver, encode_command, encode_submit, read_line, reply
from tests.net.test_request_memory import peak_memory_mb

FLOOD_S = 2.5
ANSWER_WITHIN_S = 0.4  # clients wait no longer (protocol page)
ASK_INTERVAL_S = 0.02
EVENTS = 1_000  # reads or accepts that find input at once
GROWTH_MB = 16  # of which a process may grow under a flood; growth without end passes any bound
REQUESTS_PER_WRITE = 200


def padded_ping(size: int) -> bytes:
    """Return a PING with an argument that makes it `size` bytes long."""
    empty = len(encode_command(b"PING", bytes(EVENTS))) - EVENTS
    return encode_command(b"PING", bytes(size - empty))


def submits(number: int, order_key: bytes = b"0", pairs: bytes = b"c=free,d=8000,dest=0", id_bytes: int = 8) -> bytes:
    """Return requests with ids that were never used before, as long as `id_bytes`."""
    return b"".join(
        encode_command(
            b"SUBMIT",
            order_key or b"%x" % (number * 1000 + nth + 1),
            b"%d-%d".ljust(id_bytes, b"i") % (number, nth),
            pairs,
            b"x",
        )
        for nth in range(REQUESTS_PER_WRITE)
    )


FLOODS: dict[str, Callable[[int], bytes]] = {
    "requests that fill the buffer each time": lambda _: padded_ping(INITIAL_BYTES) * 16,
    "requests that fill it after it has grown": lambda _: padded_ping(INITIAL_BYTES - 1) * 16,
    "small requests": lambda _: encode_command(b"PING") * 500,
    "new long ids": lambda number: submits(number, id_bytes=190),
    "new order keys": lambda number: submits(number, order_key=b""),
    "new classes and tenants": lambda number: submits(number, pairs=b"c=c%d,t=t%d,d=8000,dest=0" % (number, number)),
    "new destinations": lambda number: submits(number, pairs=b"c=free,d=8000,dest=%d" % (number + 9)),
    "new commands": lambda number: b"".join(encode_command(b"X%d-%d" % (number, nth)) for nth in range(200)),
    "many empty fields": lambda number: encode_command(b"SUBMIT", b"0", b"%d" % number, b"," * 60_000, b"x"),
    "noise": lambda _: b"\x00garbage\r\n" * 100,
    "empty commands": lambda _: b"*0\r\n" * 500,
    "good and bad ones in turn": lambda number: encode_command(b"X") + encode_submit(f"g{number}"),
}


class Flood:
    """A client that writes at full speed and reads all answers; it connects again when it is disconnected."""

    def __init__(self, program: Program, requests: Callable[[int], bytes]) -> None:
        self.program, self.requests = program, requests
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self._run)

    def __enter__(self) -> "Flood":
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.ended.set()
        self.thread.join()

    def _run(self) -> None:
        number = 0
        while not self.ended.is_set():
            with contextlib.suppress(OSError), self.program.connect() as client:
                reader = threading.Thread(target=self._read, args=(client,), daemon=True)
                reader.start()
                while not self.ended.is_set():
                    client.sendall(self.requests(number))
                    number += 1

    def _read(self, client: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while client.recv(1 << 16):
                pass


class FloodTest(unittest.TestCase):
    """Guards against a client whose next request is always there: the event loop served nobody else."""

    def test_other_clients_are_answered_in_time_and_memory_stays_bounded(self) -> None:
        for name, requests in FLOODS.items():
            with self.subTest(flood=name):
                self._play(requests)

    def _play(self, requests: Callable[[int], bytes]) -> None:
        program = Program([Receiver(reply(200))])
        self.addCleanup(program.close)
        program.start()
        assert program.process is not None
        before, count, late = peak_memory_mb(program.process.pid), 0, []
        with Flood(program, requests), program.connect() as client:
            client.settimeout(ANSWER_WITHIN_S)
            end_at = time.monotonic() + FLOOD_S
            while time.monotonic() < end_at:
                asked_at = time.monotonic()
                client.sendall(encode_submit(f"other-{count}"))
                self.assertIn(read_line(client)[:3], (b"+OK", b"-BU"))  # fails by time-out if the answer is late
                late.append(time.monotonic() - asked_at)
                count += 1
                time.sleep(ASK_INTERVAL_S)
        self.assertLess(max(late), ANSWER_WITHIN_S)
        self.assertLess(peak_memory_mb(program.process.pid) - before, GROWTH_MB)
        program.kill()


class BusyLoopTest(unittest.TestCase):
    """Guards against loops over input that wait for nothing while input is there."""

    def count_turns(self) -> list[None]:
        """Return a list that grows with each turn of another greenlet."""
        turns: list[None] = []

        def count() -> None:
            while True:
                turns.append(None)
                gevent.sleep(0)

        counting = gevent.spawn(count)
        self.addCleanup(counting.kill)
        return turns

    def test_a_caller_whose_next_request_is_always_there_does_not_block_other_greenlets(self) -> None:
        logger.disable("cedarwick")
        self.addCleanup(logger.enable, "cedarwick")
        verifier = PeerVerifier("g", "b", 5, ("a", "b"))
        server = PeerServer(
            ("127.0.0.1", 0),
            verifier,
            Counters(),
            lambda message: verifier.peer_message(message.sender, Acknowledged()),
        )
        request = b"POST /elsewhere HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
        reads = 0

        def receive(*_: object) -> bytes:
            nonlocal reads
            reads += 1
            return request if reads < EVENTS else b""

        turns = self.count_turns()
        with mock.patch.object(peer_server, "receive", receive):
            sock = mock.create_autospec(gevent.socket.socket, instance=True)
            server._serve_connection(sock, ("127.0.0.1", 1))
        self.assertEqual(reads, EVENTS)
        self.assertGreater(len(turns), EVENTS / 2)
        server.stop(0)

    def test_callers_that_always_wait_at_the_management_address_do_not_block_other_greenlets(self) -> None:
        server = ManagementServer(("127.0.0.1", 0), Counters(), lambda _: "YES\n")
        self.addCleanup(server.listener.close)
        turns, accepted = self.count_turns(), 0

        def accept() -> object:
            nonlocal accepted
            accepted += 1
            if accepted > EVENTS:
                raise KeyboardInterrupt
            return mock.sentinel.caller, ("127.0.0.1", 1)

        with (
            mock.patch.object(server, "_start_serving"),
            mock.patch.object(server, "listener", mock.Mock(accept=accept)),
            self.assertRaises(KeyboardInterrupt),
        ):
            server.serve()
        self.assertGreater(len(turns), EVENTS / 2)

    def test_an_agent_that_always_has_more_to_send_does_not_block_other_greenlets(self) -> None:
        assignment = Assignment("n", ("", 0), ("", 0), "", 1, 64, 1 << 20, {}, {})
        endpoint_list = EndpointList(assignment, Counters(), lambda *_: None, lambda: None)
        turns, reads = self.count_turns(), 0

        def receive(_: object, raw: Buffer, *__: object) -> int:
            nonlocal reads
            reads += 1
            raw.append(b"1\r\n\n\r\n" if reads > 1 else b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            return int(reads <= EVENTS)

        with (
            mock.patch.object(endpoint_list, "_receive", receive),
            mock.patch.object(endpoint_list_module, "open_connection"),
            self.assertRaises(InvalidResponseError),
        ):
            endpoint_list._follow_updates()
        self.assertGreater(len(turns), EVENTS / 2)


if __name__ == "__main__":
    unittest.main()
