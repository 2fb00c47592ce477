"""Tests of the peer message transport: encoding, refusals, and calls to members that answer late or wrongly."""

import contextlib
import unittest
from collections.abc import Callable
from types import UnionType
from typing import Any, get_args, get_origin
from unittest.mock import patch

import gevent
import gevent.socket
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from cedarwick.errors import CedarwickError
from cedarwick.fleet import messages, peer_client, peer_request, peer_server, peer_verifier, transport
from cedarwick.fleet.backoff import Backoff
from cedarwick.fleet.messages import (
    MAX_MESSAGE_BYTES,
    Acknowledged,
    Heartbeat,
    InvalidPeerMessageError,
    PeerMessage,
    ReplicaAck,
    ReplicateFacts,
    RequestRefused,
    decode,
    encode,
)
from cedarwick.fleet.peer_client import Peers
from cedarwick.fleet.peer_server import PeerServer
from cedarwick.fleet.peer_verifier import PeerVerifier
from cedarwick.fleet.transport import PeerRefusedError, PeerUnreachableError
from cedarwick.net.counters import Counters
from tests.build import Receiver, free_port, reply, wait_for_condition

HOST = "127.0.0.1"
MEMBER_NAMES = ("a", "b", "c")


def minimal_value(value_type: Any) -> Any:
    """Return the smallest value of a field's type; optional structs are present."""
    if hasattr(value_type, "__metadata__"):
        return minimal_value(value_type.__origin__)
    if isinstance(value_type, UnionType):
        return minimal_value(get_args(value_type)[0])
    if isinstance(value_type, type) and issubclass(value_type, msgspec.Struct):
        return value_type(*(minimal_value(field.type) for field in msgspec.structs.fields(value_type)))
    if get_origin(value_type) is tuple and get_args(value_type)[1:] != (...,):
        return tuple(minimal_value(each) for each in get_args(value_type))
    return (get_origin(value_type) or value_type)()


class PeerMessagesTest(unittest.TestCase):
    def test_every_body_survives_encoding_and_decoding(self) -> None:
        for value_type in get_args(messages.Body):
            body = minimal_value(value_type)
            self.assertEqual(decode(encode(PeerMessage(1, 1, "g", "a", 2**63, "b", body))).body, body)

    def test_invalid_fields_are_named_by_their_path(self) -> None:
        def assert_invalid(body: Any, path: str, **header_fields: Any) -> None:
            header = {
                "version": 1,
                "level": 1,
                "group": "g",
                "sender": "a",
                "incarnation": 1,
                "to": "b",
                **header_fields,
            }
            with self.assertRaises(InvalidPeerMessageError) as caught:
                decode(msgspec.msgpack.encode([*header.values(), body]))
            self.assertIn(path, str(caught.exception))
            self.assertNotIn("\n", caught.exception.line)

        assert_invalid(["Nothing"], "$[6][0]")
        assert_invalid(["Have", 1, -1, 1], "$[6][2]")
        assert_invalid(["Have", 1], "$[6]")
        assert_invalid(["Pass", 1, "a", "", "b", "", 0, 1, 1, b"x" * (2**18 + 1)], "$[6][9]")
        assert_invalid(["Beat", False, {"x" * 65: 1}], "$[6][2]")
        assert_invalid(["Beat", False, {f"n{n}": n for n in range(65)}], "$[6][2]")
        assert_invalid(["Beat", False, {}, [[1, 1]] * 4097], "$[6][3]")
        # Accepted values are incremented later (next term, next successor set, next sequence) and must not overflow.
        assert_invalid(["Ask", "book:1", 1 << 40, "a", 1], "$[6][2]")
        assert_invalid(["Told", True, 1, "a", [], 1 << 62], "$[6][5]")
        assert_invalid(["Lodgings", [[1, "a", 1 << 62, 0]]], "$[6][1][0][2]")
        assert_invalid(["Noted"], "$[3]", sender="x" * 65)
        assert_invalid(["Noted"], "$[4]", incarnation=-1)
        with self.assertRaisesRegex(InvalidPeerMessageError, "exceeds the limit"):
            decode(b"\x90" * (MAX_MESSAGE_BYTES + 1))

    @given(st.binary(max_size=64), st.integers(0, 40))
    @settings(derandomize=True, max_examples=300)
    def test_arbitrary_bytes_are_decoded_or_rejected(self, noise: bytes, length: int) -> None:
        valid = encode(PeerMessage(1, 1, "g", "a", 1, "b", ReplicateFacts(1, 2, 3, b"facts", 5)))
        for data in (noise, valid[:length], valid[:length] + noise):
            with contextlib.suppress(InvalidPeerMessageError):
                self.assertIsInstance(decode(data), PeerMessage)
            messages.decode_peer_header(data)

    def test_corrupt_facts_are_detected_and_unknown_later_fields_are_ignored(self) -> None:
        body = ReplicateFacts(1, 2, 3, b"facts", messages.digest_of(b"facts"))
        self.assertTrue(messages.digest_matches(body))
        self.assertFalse(messages.digest_matches(msgspec.structs.replace(body, facts=b"fact5")))
        later_version = msgspec.msgpack.encode([1, 9, "g", "a", 1, "b", ["Settled", "m", "b", True, "more"], "more"])
        self.assertEqual(decode(later_version).body, messages.MigrationDecided("m", "b", True))


class BackoffTest(unittest.TestCase):
    def test_backoff_limit_doubles_up_to_its_maximum_and_is_reset(self) -> None:
        backoffs = [Backoff(seed, 10, 40) for seed in range(200)]
        largest = [max(backoff.next_wait() for backoff in backoffs) for _ in range(5)]
        self.assertEqual(largest, [10, 20, 40, 40, 40])
        self.assertEqual(min(backoff.next_wait() for backoff in backoffs), 0)
        for backoff in backoffs:
            backoff.reset()
        self.assertLessEqual(max(backoff.next_wait() for backoff in backoffs), 10)


class TransportTestCase(unittest.TestCase):
    """Member b runs a server; member a calls it."""

    def setUp(self) -> None:
        logger.disable("cedarwick")
        self.addCleanup(logger.enable, "cedarwick")
        self.counters = Counters()
        self.answer: Callable[[PeerMessage], messages.Body] = lambda peer_message: Acknowledged()
        self.verifier = PeerVerifier("g", "b", 5, MEMBER_NAMES)
        self.server = PeerServer(
            (HOST, 0),
            self.verifier,
            self.counters,
            lambda peer_message: self.verifier.peer_message(peer_message.sender, self.answer(peer_message)),
        )
        self.server.start()
        self.addCleanup(self.server.stop, 0)
        self.peers = self.create_peers(self.server.port)

    def create_peers(self, port: int, me: str = "a", group: str = "g", incarnation: int = 5) -> Peers:
        peers = Peers(PeerVerifier(group, me, incarnation, MEMBER_NAMES), {"b": (HOST, port), "c": (HOST, 1)})
        self.addCleanup(peers.close)
        return peers

    def assert_refused(self, code: str, peers: Peers | None = None, body: messages.Body | None = None) -> str:
        with self.assertRaises(PeerRefusedError) as caught:
            (peers or self.peers).call("b", body or Acknowledged(), 5)
        self.assertEqual(caught.exception.refused.code, code)
        return caught.exception.refused.reason

    def assert_unreachable(self, reason: str, peers: Peers, within_s: float = 5) -> None:
        with self.assertRaisesRegex(PeerUnreachableError, reason):
            peers.call("b", Acknowledged(), within_s)

    def wait_until_in_progress(self, peer_messages: int) -> None:
        with gevent.Timeout(5):
            while self.server.in_progress < peer_messages:
                gevent.sleep(0.005)

    def exchange_bytes(self, data: bytes, end_of_stream: bool = False) -> bytes:
        """Send these bytes on a new connection and return what the server answers until it closes the connection."""
        with gevent.Timeout(5), gevent.socket.create_connection((HOST, self.server.port)) as sock:
            sock.sendall(data)
            if end_of_stream:
                sock.shutdown(gevent.socket.SHUT_WR)
            received = b""
            while chunk := sock.recv(65536):
                received += chunk
            return received

    def post_request(self, body: bytes, size: int | None = None, header_lines: str = "Connection: close\r\n") -> bytes:
        return f"POST /fleet/1 HTTP/1.1\r\nContent-Length: {size or len(body)}\r\n{header_lines}\r\n".encode() + body

    def status_and_code(self, response: bytes) -> tuple[int, str]:
        """Return the HTTP status and the error code of a refusal."""
        body = decode(response.partition(b"\r\n\r\n")[2]).body
        assert isinstance(body, RequestRefused)
        return int(response.split()[1]), body.code


class ServerTest(TransportTestCase):
    def test_sequential_calls_reuse_one_connection(self) -> None:
        self.answer = lambda peer_message: peer_message.body
        body = ReplicateFacts(1, 2, 3, b"x" * 1_000_000, 4)
        for _ in range(5):
            self.assertEqual(self.peers.call("b", body, 5), body)
        self.assertEqual(
            (len(self.peers.peers["b"].connections), self.server.stream_server.pool.free_count()),
            (1, peer_server.MAX_CONNECTIONS - 1),
        )

    def test_invalid_peer_messages_are_refused_with_a_reason(self) -> None:
        port = self.server.port
        self.assertIn(
            "'other'", self.assert_refused(peer_verifier.OtherGroupError.code, self.create_peers(port, group="other"))
        )
        self.assertIn(
            "'z'", self.assert_refused(peer_verifier.UnknownMemberError.code, self.create_peers(port, me="z"))
        )
        namesake = self.create_peers(port)
        namesake.verifier.me = "b"
        self.assertIn("same name", self.assert_refused(peer_verifier.UnknownMemberError.code, namesake))
        caller = self.create_peers(port)
        caller.verifier.peer_message = lambda to, body: PeerVerifier.peer_message(caller.verifier, "c", body)  # type: ignore[method-assign]
        self.assertIn("'c'", self.assert_refused(peer_verifier.MisdirectedMessageError.code, caller))
        self.create_peers(port, incarnation=7).call("b", Acknowledged(), 5)
        self.assertIn("boot 5", self.assert_refused(peer_verifier.StaleIncarnationError.code))
        # Refused peer messages of other groups must not change the known incarnations of members.
        self.assert_refused(peer_verifier.OtherGroupError.code, self.create_peers(port, group="other", incarnation=99))
        self.create_peers(port, incarnation=7).call("b", Acknowledged(), 5)

    def test_other_versions_are_refused_as_such_even_with_an_unknown_body(self) -> None:
        for version, body, code in ((2, ["Noted"], "CW702"), (2, ["Later", 1], "CW702"), (1, ["Later", 1], "CW701")):
            data = msgspec.msgpack.encode([version, 1, "g", "a", 5, "b", body])
            response = self.exchange_bytes(self.post_request(data))
            self.assertEqual(self.status_and_code(response)[1], code)
            self.assertEqual(decode(response.partition(b"\r\n\r\n")[2]).to, "a")

    def test_invalid_requests_are_refused_and_the_server_keeps_serving(self) -> None:
        valid = encode(PeerMessage(1, 1, "g", "a", 5, "b", Acknowledged()))
        self.assertEqual(self.status_and_code(self.exchange_bytes(self.post_request(b"\xc1noise"))), (400, "CW701"))
        self.assertEqual(
            self.status_and_code(self.exchange_bytes(self.post_request(valid[:-1], len(valid)), end_of_stream=True)),
            (400, "CW701"),
        )
        self.assertEqual(
            self.status_and_code(self.exchange_bytes(self.post_request(b"", MAX_MESSAGE_BYTES + 1, ""))), (413, "CW708")
        )
        self.assertEqual(
            self.status_and_code(self.exchange_bytes(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")), (404, "CW707")
        )
        chunked = b"POST /fleet/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertEqual(self.status_and_code(self.exchange_bytes(chunked)), (404, "CW707"))
        for noise in (
            b"noise\r\n\r\n",
            self.post_request(b"", header_lines="X: " + "x" * peer_request.MAX_HEAD_BYTES + "\r\n"),
        ):
            self.assertTrue(self.exchange_bytes(noise).startswith(b"HTTP/1.1 400"))
        self.assertEqual(self.peers.call("b", Acknowledged(), 5), Acknowledged())

    def test_connections_that_stall_are_closed(self) -> None:
        with patch.object(peer_server, "READ_TIMEOUT_S", 0.05), patch.object(peer_server, "IDLE_TIMEOUT_S", 0.05):
            self.assertEqual(self.exchange_bytes(b""), b"")
            self.assertEqual(self.status_and_code(self.exchange_bytes(self.post_request(b"x", 1000)))[1], "CW710")

        def trickle(sock: gevent.socket.socket) -> None:
            with contextlib.suppress(OSError):
                for offset in range(100):
                    sock.sendall((b"POST /fleet/1 HTTP/1.1\r\nX: " + b"x" * 100)[offset : offset + 1])
                    gevent.sleep(0.02)

        with patch.object(peer_server, "READ_TIMEOUT_S", 0.1), patch.object(peer_server, "IDLE_TIMEOUT_S", 0.2):
            with gevent.Timeout(1.5), gevent.socket.create_connection((HOST, self.server.port)) as sock:
                writer = gevent.spawn(trickle, sock)
                with contextlib.suppress(OSError):
                    self.assertEqual(sock.recv(1), b"")
                writer.kill()
        self.assertEqual(self.counters.counts["fleet connections that were silent"], 1)
        two_requests = (
            self.post_request(encode(PeerMessage(1, 1, "g", "a", 5, "b", Acknowledged())), header_lines="") * 2
        )
        self.assertEqual(
            self.exchange_bytes(two_requests).count(b"HTTP/1.1"), 1
        )  # also closed: callers that do not wait for the answer

    def test_handler_errors_are_refusals_and_the_next_peer_message_is_answered(self) -> None:
        def fail(peer_message: PeerMessage) -> messages.Body:
            if peer_message.body == Acknowledged():
                raise ZeroDivisionError
            raise InvalidPeerMessageError("refused by the handler")

        self.answer = fail
        self.assertIn("Acknowledged", self.assert_refused("CW711"))
        self.assert_refused("CW701", body=ReplicaAck(1, 2, 3))
        self.answer = lambda peer_message: ReplicateFacts(1, 2, 3, b"x" * MAX_MESSAGE_BYTES, 0)
        self.assert_refused("CW708")
        self.answer = lambda peer_message: Acknowledged()
        self.assertEqual(self.peers.call("b", Acknowledged(), 5), Acknowledged())
        self.assertEqual(self.counters.counts["warning: answering a peer message failed"], 1)

    def test_peer_messages_above_the_limit_in_progress_are_refused(self) -> None:
        may_answer = gevent.event.Event()
        heartbeat = Heartbeat(False, {}, ())
        self.answer = (
            lambda peer_message: heartbeat
            if isinstance(peer_message.body, Heartbeat) or not may_answer.wait(5)
            else Acknowledged()
        )
        with patch.object(peer_server, "MAX_REQUESTS_IN_PROGRESS", 2):
            pending = [gevent.spawn(self.peers.call, "b", Acknowledged(), 5) for _ in range(2)]
            self.wait_until_in_progress(2)
            self.assert_refused("CW709", body=ReplicateFacts(1, 2, 3, b"x" * 100_000, 4))
            self.assert_refused("CW709")
            self.assertEqual(
                self.peers.call("b", heartbeat, 5), heartbeat
            )  # otherwise leases would expire while other peer messages wait
            may_answer.set()
            self.assertEqual([each.get() for each in pending], [Acknowledged()] * 2)
            self.assertEqual(self.peers.call("b", Acknowledged(), 5), Acknowledged())

    def test_large_bodies_above_the_limit_of_bytes_in_progress_are_refused(self) -> None:
        """Guards against callers that stop half way through large messages: only their number was limited."""
        half = self.post_request(bytes(30_000), size=60_000)
        with (
            patch.object(peer_server, "MAX_BODY_BYTES_IN_PROGRESS", 100_000),
            gevent.socket.create_connection((HOST, self.server.port)) as stopped,
        ):
            stopped.sendall(half)
            self.wait_until_in_progress(1)
            facts = ReplicateFacts(1, 2, 3, b"x" * 60_000, 4)
            self.assert_refused("CW709", body=facts)
            self.assertEqual(self.peers.call("b", Acknowledged(), 5), Acknowledged())  # a small one
            stopped.close()
            with gevent.Timeout(5):
                while self.server.in_progress:
                    gevent.sleep(0.005)
            self.assertEqual(self.peers.call("b", facts, 5), Acknowledged())
        self.assertEqual(self.server.body_bytes_in_progress, 0)

    def test_stop_finishes_answers_in_progress_and_closes_idle_connections(self) -> None:
        self.answer = lambda peer_message: Acknowledged() if gevent.sleep(0.1) is None else Acknowledged()
        idle = gevent.socket.create_connection((HOST, self.server.port))
        self.addCleanup(idle.close)
        pending = gevent.spawn(self.peers.call, "b", Acknowledged(), 5)
        self.wait_until_in_progress(1)
        self.server.stop(5)
        self.assertEqual(pending.get(), Acknowledged())
        with gevent.Timeout(2):
            self.assertEqual(idle.recv(1), b"")
        self.assertEqual(len(self.server.stream_server.pool), 0)
        self.assert_unreachable("refused", self.peers)


class ClientTest(TransportTestCase):
    def test_concurrent_calls_are_bounded_in_flight_and_in_the_queue(self) -> None:
        peak = 0

        def record_peak(peer_message: PeerMessage) -> messages.Body:
            nonlocal peak
            peak = max(peak, self.server.in_progress)
            gevent.sleep(0.002)
            return Acknowledged()

        self.answer = record_peak
        pending = [gevent.spawn(self.call_result, self.peers) for _ in range(200)]
        self.assertEqual(
            sorted(each.get() for each in pending),
            ["Acknowledged"] * peer_client.MAX_PENDING_CALLS + ["CW712"] * (200 - peer_client.MAX_PENDING_CALLS),
        )
        self.assertEqual(
            (peak, len(self.peers.peers["b"].connections)),
            (peer_client.MAX_CALLS_IN_FLIGHT, peer_client.MAX_CALLS_IN_FLIGHT),
        )
        self.assertEqual(self.peers.call("b", Acknowledged(), 5), Acknowledged())

    def call_result(self, peers: Peers) -> str:
        try:
            return type(peers.call("b", Acknowledged(), 5)).__name__
        except CedarwickError as error:
            return error.code

    def test_calls_to_a_silent_member_time_out_and_leave_no_connection_open(self) -> None:
        silent_receiver = Receiver(None)
        self.addCleanup(silent_receiver.close)
        peers = self.create_peers(silent_receiver.port)
        pending = [
            gevent.spawn(self.assert_unreachable, f"no answer within {limit} s", peers, limit)
            for limit in (0.2, 0.2, 0.2, 0.2, 0.1, 0.1)
        ]
        gevent.joinall(pending, raise_error=True)
        self.assertEqual(
            (peers.peers["b"].connections, peers.peers["b"].call_slots.counter),
            (set(), peer_client.MAX_CALLS_IN_FLIGHT),
        )
        wait_for_condition(lambda: len(silent_receiver.calls) >= peer_client.MAX_CALLS_IN_FLIGHT)
        self.assertEqual(
            silent_receiver.connections, peer_client.MAX_CALLS_IN_FLIGHT
        )  # no message is sent twice; queued ones were never sent

    def test_lease_requests_do_not_queue_behind_facts(self) -> None:
        handled: list[str] = []

        def delay_facts(peer_message: PeerMessage) -> messages.Body:
            handled.append(type(peer_message.body).__name__)
            if isinstance(peer_message.body, ReplicateFacts):
                gevent.sleep(0.3)
            return Acknowledged()

        self.answer = delay_facts
        pending = [
            gevent.spawn(self.peers.call, "b", ReplicateFacts(1, 2, 3, b"", 0), 5)
            for _ in range(peer_client.MAX_CALLS_IN_FLIGHT + 1)
        ]
        self.wait_until_in_progress(peer_client.MAX_CALLS_IN_FLIGHT)
        self.assertEqual(self.peers.call("b", messages.LeaseRequest("book:1", 1, "a", 1), 0.2), Acknowledged())
        gevent.joinall(pending, raise_error=True)
        self.assertEqual(
            handled, ["ReplicateFacts"] * peer_client.MAX_CALLS_IN_FLIGHT + ["LeaseRequest", "ReplicateFacts"]
        )

    def test_invalid_answers_and_answers_of_other_members_are_rejected(self) -> None:
        def response_from(sender: str, to: str = "a", status: int = 200) -> bytes:
            return reply(status, body=encode(PeerMessage(1, 1, "g", sender, 5, to, Acknowledged())))

        valid = response_from("b")
        for response, why in (
            (b"noise\r\n\r\n", "at 127"),
            (reply(200, body=b"\xc1"), "invalid peer message"),
            (valid[:-1] + b"\r\nConnection: close\r\n", "invalid peer message"),
            (response_from("c"), "answer from 'c'"),
            (response_from("z"), "no member"),
            (response_from("b", "c"), "has reached 'a'"),
            (response_from("b", status=500), "500"),
            (reply(200, "connection: close", body=b"x")[:-1], "closed before the answer"),
            (reply(200, body=b"x" * (MAX_MESSAGE_BYTES + 1)), "answer exceeds the limit"),
            (b"HTTP/1.1 200 X\r\n" * 9999, "at 127"),
        ):
            with self.subTest(response=response[:60]):
                receiver = Receiver(response)
                self.assert_unreachable(why, self.create_peers(receiver.port))
                receiver.close()
        self.assert_unreachable("refused", self.create_peers(free_port()))

    def test_connections_with_bytes_after_the_answer_are_not_reused(self) -> None:
        valid = reply(200, body=encode(PeerMessage(1, 1, "g", "b", 5, "a", Acknowledged())))
        for response in (valid + valid, valid.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1)):
            receiver = Receiver(response)
            self.addCleanup(receiver.close)
            peers = self.create_peers(receiver.port)
            self.assertEqual(
                (peers.call("b", Acknowledged(), 5), peers.peers["b"].connections), (Acknowledged(), set())
            )

    # Guards against: a copy of an answer is taken for the answer to the next request on its connection, so that a lease
    # counts as granted, or facts as stored, by a member that has not handled the request.
    def test_a_second_copy_of_an_answer_does_not_answer_the_next_request(self) -> None:
        body = encode(PeerMessage(1, 1, "g", "b", 5, "a", Acknowledged()))
        first_answer = reply(200, "X-Request-Id: 1", body=body)
        receiver = Receiver(first_answer)  # the second request gets the copy alone
        self.addCleanup(receiver.close)
        peers = self.create_peers(receiver.port)
        self.assertEqual(peers.call("b", Acknowledged(), 5), Acknowledged())
        self.assert_unreachable("the answer to request 1, not 2", peers)
        self.assertEqual(peers.peers["b"].connections, set())

    def test_an_answer_has_the_id_of_its_request(self) -> None:
        request = self.post_request(
            encode(PeerMessage(1, 1, "g", "a", 5, "b", Acknowledged())),
            header_lines="Connection: close\r\nX-Request-Id: 17\r\n",
        )
        self.assertIn(b"\r\nx-request-id: 17\r\n", self.exchange_bytes(request))

    def test_answers_of_earlier_versions_without_a_request_id_are_accepted(self) -> None:
        receiver = Receiver(reply(200, body=encode(PeerMessage(1, 1, "g", "b", 5, "a", Acknowledged()))))
        self.addCleanup(receiver.close)
        peers = self.create_peers(receiver.port)
        for _ in range(2):
            self.assertEqual(peers.call("b", Acknowledged(), 5), Acknowledged())
        self.assertEqual(receiver.connections, 1)

    def test_idle_connections_that_were_closed_are_replaced(self) -> None:
        self.peers.call("b", Acknowledged(), 5)
        dead = self.peers.peers["b"].idle[0]
        dead.sock.shutdown(gevent.socket.SHUT_RDWR)
        self.assertEqual(self.peers.call("b", Acknowledged(), 5), Acknowledged())
        self.assertIsNot(self.peers.peers["b"].idle[0], dead)
        with patch.object(peer_client, "IDLE_TIMEOUT_S", 0.0):
            self.peers.call("b", Acknowledged(), 5)
        self.assertEqual(len(self.peers.peers["b"].connections), 1)

    def test_replacing_the_members_closes_connections_to_removed_members(self) -> None:
        self.answer = lambda peer_message: Acknowledged() if gevent.sleep(9) is None else Acknowledged()
        pending = [gevent.spawn(self.call_result, self.peers) for _ in range(peer_client.MAX_CALLS_IN_FLIGHT + 1)]
        self.wait_until_in_progress(peer_client.MAX_CALLS_IN_FLIGHT)
        removed_pool = self.peers.peers["b"]
        self.peers.replace({"a": (HOST, 1), "c": (HOST, 2)})
        self.assertEqual([each.get(timeout=4) for each in pending], ["CW712"] * len(pending))
        self.assertEqual((removed_pool.connections, removed_pool.idle, list(self.peers.names())), (set(), [], ["c"]))
        self.assert_unreachable("is not another member", self.peers)
        self.answer = lambda peer_message: Acknowledged()
        self.peers.replace({"b": (HOST, self.server.port)})
        reused = self.peers.call("b", Acknowledged(), 5) and self.peers.peers["b"].idle[0]
        self.peers.replace({"b": (HOST, self.server.port), "c": (HOST, 2)})
        self.assertIs(self.peers.peers["b"].idle[0], reused)  # connections to remaining members are kept
        self.verifier.replace_members(["b", "c"])
        self.assert_refused(peer_verifier.UnknownMemberError.code)
        self.verifier.replace_members(MEMBER_NAMES)
        self.peers.verifier.incarnation = 4
        self.assert_refused(peer_verifier.StaleIncarnationError.code)  # known incarnations survive a change of members

    def test_oversized_peer_messages_are_not_sent(self) -> None:
        with self.assertRaises(transport.PeerMessageTooLargeError):
            self.peers.call("b", ReplicateFacts(1, 2, 3, b"x" * MAX_MESSAGE_BYTES, 4), 5)
        self.assertEqual(self.peers.peers["b"].connections, set())


if __name__ == "__main__":
    unittest.main()
