"""The fleet's link: peer messages, who is refused, and calls to members that do not answer as they should."""

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
from tests.build import Receiver, free_port, reply, until

HOST = "127.0.0.1"
NAMES = ("a", "b", "c")


def made(kind: Any) -> Any:
    """The least value of a type of a message; what may be missing is there."""
    if hasattr(kind, "__metadata__"):
        return made(kind.__origin__)
    if isinstance(kind, UnionType):
        return made(get_args(kind)[0])
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return kind(*(made(field.type) for field in msgspec.structs.fields(kind)))
    if get_origin(kind) is tuple and get_args(kind)[1:] != (...,):
        return tuple(made(each) for each in get_args(kind))
    return (get_origin(kind) or kind)()


class PeerMessagesTest(unittest.TestCase):
    def test_every_body_comes_back_as_it_went(self) -> None:
        for kind in get_args(messages.Body):
            body = made(kind)
            self.assertEqual(decode(encode(PeerMessage(1, 1, "g", "a", 2**63, "b", body))).body, body)

    def test_what_does_not_fit_names_its_place(self) -> None:
        def bad(body: Any, place: str, **head: Any) -> None:
            whole = {"version": 1, "level": 1, "group": "g", "sender": "a", "incarnation": 1, "to": "b", **head}
            with self.assertRaises(InvalidPeerMessageError) as caught:
                decode(msgspec.msgpack.encode([*whole.values(), body]))
            self.assertIn(place, str(caught.exception))
            self.assertNotIn("\n", caught.exception.line)

        bad(["Nothing"], "$[6][0]")
        bad(["Have", 1, -1, 1], "$[6][2]")
        bad(["Have", 1], "$[6]")
        bad(["Pass", 1, "a", "", "b", "", 0, 1, 1, b"x" * (2**18 + 1)], "$[6][9]")
        bad(["Beat", False, {"x" * 65: 1}], "$[6][2]")
        bad(["Beat", False, {f"n{n}": n for n in range(65)}], "$[6][2]")
        bad(["Beat", False, {}, [[1, 1]] * 4097], "$[6][3]")
        # One that is taken is gone beyond: the next term, the number of its set, the next holder's sequence.
        bad(["Ask", "book:1", 1 << 40, "a", 1], "$[6][2]")
        bad(["Told", True, 1, "a", [], 1 << 62], "$[6][5]")
        bad(["Lodgings", [[1, "a", 1 << 62, 0]]], "$[6][1][0][2]")
        bad(["Noted"], "$[3]", sender="x" * 65)
        bad(["Noted"], "$[4]", incarnation=-1)
        with self.assertRaisesRegex(InvalidPeerMessageError, "the most"):
            decode(b"\x90" * (MAX_MESSAGE_BYTES + 1))

    @given(st.binary(max_size=64), st.integers(0, 40))
    @settings(derandomize=True, max_examples=300)
    def test_any_bytes_are_a_peer_message_or_unreadable(self, noise: bytes, at: int) -> None:
        good = encode(PeerMessage(1, 1, "g", "a", 1, "b", ReplicateFacts(1, 2, 3, b"facts", 5)))
        for told in (noise, good[:at], good[:at] + noise):
            with contextlib.suppress(InvalidPeerMessageError):
                self.assertIsInstance(decode(told), PeerMessage)
            messages.decode_peer_header(told)

    def test_spoilt_facts_are_seen_and_fields_of_later_versions_are_passed_over(self) -> None:
        body = ReplicateFacts(1, 2, 3, b"facts", messages.digest_of(b"facts"))
        self.assertTrue(messages.digest_matches(body))
        self.assertFalse(messages.digest_matches(msgspec.structs.replace(body, facts=b"fact5")))
        later = msgspec.msgpack.encode([1, 9, "g", "a", 1, "b", ["Settled", "m", "b", True, "more"], "more"])
        self.assertEqual(decode(later).body, messages.MigrationDecided("m", "b", True))


class RetryTest(unittest.TestCase):
    def test_waits_are_drawn_under_a_bound_that_doubles_and_begins_anew(self) -> None:
        drawn = [Backoff(seed, 10, 40) for seed in range(200)]
        most = [max(waits.next_wait() for waits in drawn) for _ in range(5)]
        self.assertEqual(most, [10, 20, 40, 40, 40])
        self.assertEqual(min(waits.next_wait() for waits in drawn), 0)
        for waits in drawn:
            waits.reset()
        self.assertLessEqual(max(waits.next_wait() for waits in drawn), 10)


class LinkTestCase(unittest.TestCase):
    """Member b serves; member a calls it."""

    def setUp(self) -> None:
        logger.disable("cedarwick")
        self.addCleanup(logger.enable, "cedarwick")
        self.counters = Counters()
        self.answer: Callable[[PeerMessage], messages.Body] = lambda peer_message: Acknowledged()
        self.verifier = PeerVerifier("g", "b", 5, NAMES)
        self.server = PeerServer(
            (HOST, 0),
            self.verifier,
            self.counters,
            lambda peer_message: self.verifier.peer_message(peer_message.sender, self.answer(peer_message)),
        )
        self.server.start()
        self.addCleanup(self.server.stop, 0)
        self.peers = self.peers_of(self.server.port)

    def peers_of(self, port: int, me: str = "a", group: str = "g", incarnation: int = 5) -> Peers:
        peers = Peers(PeerVerifier(group, me, incarnation, NAMES), {"b": (HOST, port), "c": (HOST, 1)})
        self.addCleanup(peers.close)
        return peers

    def refused(self, code: str, peers: Peers | None = None, body: messages.Body | None = None) -> str:
        with self.assertRaises(PeerRefusedError) as caught:
            (peers or self.peers).call("b", body or Acknowledged(), 5)
        self.assertEqual(caught.exception.refused.code, code)
        return caught.exception.refused.reason

    def unreachable(self, why: str, peers: Peers, within_s: float = 5) -> None:
        with self.assertRaisesRegex(PeerUnreachableError, why):
            peers.call("b", Acknowledged(), within_s)

    def until_busy(self, peer_messages: int) -> None:
        with gevent.Timeout(5):
            while self.server.in_progress < peer_messages:
                gevent.sleep(0.005)

    def raw(self, told: bytes, end: bool = False) -> bytes:
        """What a connection says to these bytes until it ends."""
        with gevent.Timeout(5), gevent.socket.create_connection((HOST, self.server.port)) as sock:
            sock.sendall(told)
            if end:
                sock.shutdown(gevent.socket.SHUT_WR)
            got = b""
            while part := sock.recv(65536):
                got += part
            return got

    def post(self, body: bytes, size: int | None = None, more: str = "Connection: close\r\n") -> bytes:
        return f"POST /fleet/1 HTTP/1.1\r\nContent-Length: {size or len(body)}\r\n{more}\r\n".encode() + body

    def code(self, said: bytes) -> tuple[int, str]:
        """Status and code of a refusal."""
        body = decode(said.partition(b"\r\n\r\n")[2]).body
        assert isinstance(body, RequestRefused)
        return int(said.split()[1]), body.code


class ServerTest(LinkTestCase):
    def test_calls_one_after_another_use_one_connection(self) -> None:
        self.answer = lambda peer_message: peer_message.body
        body = ReplicateFacts(1, 2, 3, b"x" * 1_000_000, 4)
        for _ in range(5):
            self.assertEqual(self.peers.call("b", body, 5), body)
        self.assertEqual(
            (len(self.peers.peers["b"].connections), self.server.stream_server.pool.free_count()),
            (1, peer_server.MAX_CONNECTIONS - 1),
        )

    def test_each_wrong_peer_message_is_refused_with_its_reason(self) -> None:
        port = self.server.port
        self.assertIn("'other'", self.refused(peer_verifier.OtherGroupError.code, self.peers_of(port, group="other")))
        self.assertIn("'z'", self.refused(peer_verifier.UnknownMemberError.code, self.peers_of(port, me="z")))
        same = self.peers_of(port)
        same.verifier.me = "b"
        self.assertIn("same name", self.refused(peer_verifier.UnknownMemberError.code, same))
        astray = self.peers_of(port)
        astray.verifier.peer_message = lambda to, body: PeerVerifier.peer_message(astray.verifier, "c", body)  # type: ignore[method-assign]
        self.assertIn("'c'", self.refused(peer_verifier.MisdirectedMessageError.code, astray))
        self.peers_of(port, incarnation=7).call("b", Acknowledged(), 5)
        self.assertIn("boot 5", self.refused(peer_verifier.StaleIncarnationError.code))
        # Refused peer messages of strangers must not move what is known of members.
        self.refused(peer_verifier.OtherGroupError.code, self.peers_of(port, group="other", incarnation=99))
        self.peers_of(port, incarnation=7).call("b", Acknowledged(), 5)

    def test_another_version_is_told_so_even_where_its_body_is_unknown(self) -> None:
        for version, body, code in ((2, ["Noted"], "CW702"), (2, ["Later", 1], "CW702"), (1, ["Later", 1], "CW701")):
            told = msgspec.msgpack.encode([version, 1, "g", "a", 5, "b", body])
            said = self.raw(self.post(told))
            self.assertEqual(self.code(said)[1], code)
            self.assertEqual(decode(said.partition(b"\r\n\r\n")[2]).to, "a")

    def test_what_is_no_peer_message_gets_a_reason_and_the_server_goes_on(self) -> None:
        good = encode(PeerMessage(1, 1, "g", "a", 5, "b", Acknowledged()))
        self.assertEqual(self.code(self.raw(self.post(b"\xc1noise"))), (400, "CW701"))
        self.assertEqual(self.code(self.raw(self.post(good[:-1], len(good)), end=True)), (400, "CW701"))
        self.assertEqual(self.code(self.raw(self.post(b"", MAX_MESSAGE_BYTES + 1, ""))), (413, "CW708"))
        self.assertEqual(self.code(self.raw(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")), (404, "CW707"))
        chunked = b"POST /fleet/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertEqual(self.code(self.raw(chunked)), (404, "CW707"))
        for noise in (b"noise\r\n\r\n", self.post(b"", more="X: " + "x" * peer_request.MAX_HEAD_BYTES + "\r\n")):
            self.assertTrue(self.raw(noise).startswith(b"HTTP/1.1 400"))
        self.assertEqual(self.peers.call("b", Acknowledged(), 5), Acknowledged())

    def test_who_does_not_write_on_is_let_go(self) -> None:
        with patch.object(peer_server, "READ_TIMEOUT_S", 0.05), patch.object(peer_server, "IDLE_TIMEOUT_S", 0.05):
            self.assertEqual(self.raw(b""), b"")
            self.assertEqual(self.code(self.raw(self.post(b"x", 1000)))[1], "CW710")

        def trickle(sock: gevent.socket.socket) -> None:
            with contextlib.suppress(OSError):
                for place in range(100):
                    sock.sendall((b"POST /fleet/1 HTTP/1.1\r\nX: " + b"x" * 100)[place : place + 1])
                    gevent.sleep(0.02)

        with patch.object(peer_server, "READ_TIMEOUT_S", 0.1), patch.object(peer_server, "IDLE_TIMEOUT_S", 0.2):
            with gevent.Timeout(1.5), gevent.socket.create_connection((HOST, self.server.port)) as sock:
                writer = gevent.spawn(trickle, sock)
                with contextlib.suppress(OSError):
                    self.assertEqual(sock.recv(1), b"")
                writer.kill()
        self.assertEqual(self.counters.counts["fleet connections that were silent"], 1)
        two = self.post(encode(PeerMessage(1, 1, "g", "a", 5, "b", Acknowledged())), more="") * 2
        self.assertEqual(self.raw(two).count(b"HTTP/1.1"), 1)  # and so is who does not wait for an answer

    def test_a_handler_that_raises_refuses_and_the_next_peer_message_is_answered(self) -> None:
        def failing(peer_message: PeerMessage) -> messages.Body:
            if peer_message.body == Acknowledged():
                raise ZeroDivisionError
            raise InvalidPeerMessageError("of its own")

        self.answer = failing
        self.assertIn("Acknowledged", self.refused("CW711"))
        self.refused("CW701", body=ReplicaAck(1, 2, 3))
        self.answer = lambda peer_message: ReplicateFacts(1, 2, 3, b"x" * MAX_MESSAGE_BYTES, 0)
        self.refused("CW708")
        self.answer = lambda peer_message: Acknowledged()
        self.assertEqual(self.peers.call("b", Acknowledged(), 5), Acknowledged())
        self.assertEqual(self.counters.counts["warning: answering a peer message failed"], 1)

    def test_beyond_the_most_at_once_peer_messages_are_refused(self) -> None:
        go = gevent.event.Event()
        beat = Heartbeat(False, {}, ())
        self.answer = (
            lambda peer_message: beat if isinstance(peer_message.body, Heartbeat) or not go.wait(5) else Acknowledged()
        )
        with patch.object(peer_server, "MAX_REQUESTS_IN_PROGRESS", 2):
            out = [gevent.spawn(self.peers.call, "b", Acknowledged(), 5) for _ in range(2)]
            self.until_busy(2)
            self.refused("CW709", body=ReplicateFacts(1, 2, 3, b"x" * 100_000, 4))
            self.refused("CW709")
            self.assertEqual(
                self.peers.call("b", beat, 5), beat
            )  # else rights would lapse beside peer messages that wait
            go.set()
            self.assertEqual([each.get() for each in out], [Acknowledged()] * 2)
            self.assertEqual(self.peers.call("b", Acknowledged(), 5), Acknowledged())

    def test_stop_lets_an_answer_end_and_closes_the_rest(self) -> None:
        self.answer = lambda peer_message: Acknowledged() if gevent.sleep(0.1) is None else Acknowledged()
        idle = gevent.socket.create_connection((HOST, self.server.port))
        self.addCleanup(idle.close)
        out = gevent.spawn(self.peers.call, "b", Acknowledged(), 5)
        self.until_busy(1)
        self.server.stop(5)
        self.assertEqual(out.get(), Acknowledged())
        with gevent.Timeout(2):
            self.assertEqual(idle.recv(1), b"")
        self.assertEqual(len(self.server.stream_server.pool), 0)
        self.unreachable("refused", self.peers)


class ClientTest(LinkTestCase):
    def test_200_calls_at_once_are_bounded_in_flight_and_in_the_queue(self) -> None:
        most = 0

        def counted(peer_message: PeerMessage) -> messages.Body:
            nonlocal most
            most = max(most, self.server.in_progress)
            gevent.sleep(0.002)
            return Acknowledged()

        self.answer = counted
        ended = [gevent.spawn(self.ends, self.peers) for _ in range(200)]
        self.assertEqual(
            sorted(each.get() for each in ended),
            ["Acknowledged"] * peer_client.MAX_PENDING_CALLS + ["CW712"] * (200 - peer_client.MAX_PENDING_CALLS),
        )
        self.assertEqual(
            (most, len(self.peers.peers["b"].connections)),
            (peer_client.MAX_CALLS_IN_FLIGHT, peer_client.MAX_CALLS_IN_FLIGHT),
        )
        self.assertEqual(self.peers.call("b", Acknowledged(), 5), Acknowledged())

    def ends(self, peers: Peers) -> str:
        try:
            return type(peers.call("b", Acknowledged(), 5)).__name__
        except CedarwickError as error:
            return error.code

    def test_a_member_that_says_nothing_ends_in_time_and_leaves_nothing_open(self) -> None:
        silent = Receiver(None)
        self.addCleanup(silent.close)
        peers = self.peers_of(silent.port)
        out = [
            gevent.spawn(self.unreachable, f"no answer within {limit} s", peers, limit)
            for limit in (0.2, 0.2, 0.2, 0.2, 0.1, 0.1)
        ]
        gevent.joinall(out, raise_error=True)
        self.assertEqual(
            (peers.peers["b"].connections, peers.peers["b"].call_slots.counter),
            (set(), peer_client.MAX_CALLS_IN_FLIGHT),
        )
        until(lambda: len(silent.calls) >= peer_client.MAX_CALLS_IN_FLIGHT)
        self.assertEqual(
            silent.connections, peer_client.MAX_CALLS_IN_FLIGHT
        )  # nothing is sent twice; those in the queue never went

    def test_an_ask_does_not_wait_behind_records(self) -> None:
        asked: list[str] = []

        def held_up(peer_message: PeerMessage) -> messages.Body:
            asked.append(type(peer_message.body).__name__)
            if isinstance(peer_message.body, ReplicateFacts):
                gevent.sleep(0.3)
            return Acknowledged()

        self.answer = held_up
        out = [
            gevent.spawn(self.peers.call, "b", ReplicateFacts(1, 2, 3, b"", 0), 5)
            for _ in range(peer_client.MAX_CALLS_IN_FLIGHT + 1)
        ]
        self.until_busy(peer_client.MAX_CALLS_IN_FLIGHT)
        self.assertEqual(self.peers.call("b", messages.LeaseRequest("book:1", 1, "a", 1), 0.2), Acknowledged())
        gevent.joinall(out, raise_error=True)
        self.assertEqual(
            asked, ["ReplicateFacts"] * peer_client.MAX_CALLS_IN_FLIGHT + ["LeaseRequest", "ReplicateFacts"]
        )

    def test_garbage_and_answers_of_others_are_no_answers(self) -> None:
        def told(sender: str, to: str = "a", status: int = 200) -> bytes:
            return reply(status, body=encode(PeerMessage(1, 1, "g", sender, 5, to, Acknowledged())))

        good = told("b")
        for said, why in (
            (b"noise\r\n\r\n", "at 127"),
            (reply(200, body=b"\xc1"), "no peer message"),
            (good[:-1] + b"\r\nConnection: close\r\n", "no peer message"),
            (told("c"), "an answer of 'c'"),
            (told("z"), "no member"),
            (told("b", "c"), "has reached 'a'"),
            (told("b", status=500), "500"),
            (reply(200, "connection: close", body=b"x")[:-1], "ended before"),
            (reply(200, body=b"x" * (MAX_MESSAGE_BYTES + 1)), "more than"),
            (b"HTTP/1.1 200 X\r\n" * 9999, "at 127"),
        ):
            with self.subTest(said=said[:60]):
                other = Receiver(said)
                self.unreachable(why, self.peers_of(other.port))
                other.close()
        self.unreachable("refused", self.peers_of(free_port()))

    def test_a_connection_with_more_than_the_answer_is_not_used_again(self) -> None:
        good = reply(200, body=encode(PeerMessage(1, 1, "g", "b", 5, "a", Acknowledged())))
        for said in (good + good, good.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1)):
            other = Receiver(said)
            self.addCleanup(other.close)
            peers = self.peers_of(other.port)
            self.assertEqual(
                (peers.call("b", Acknowledged(), 5), peers.peers["b"].connections), (Acknowledged(), set())
            )

    def test_a_connection_that_died_idle_is_replaced(self) -> None:
        self.peers.call("b", Acknowledged(), 5)
        kept = self.peers.peers["b"].idle[0]
        kept.sock.shutdown(gevent.socket.SHUT_RDWR)
        self.assertEqual(self.peers.call("b", Acknowledged(), 5), Acknowledged())
        self.assertIsNot(self.peers.peers["b"].idle[0], kept)
        with patch.object(peer_client, "IDLE_TIMEOUT_S", 0.0):
            self.peers.call("b", Acknowledged(), 5)
        self.assertEqual(len(self.peers.peers["b"].connections), 1)

    def test_a_new_list_of_members_closes_what_is_not_in_it(self) -> None:
        self.answer = lambda peer_message: Acknowledged() if gevent.sleep(9) is None else Acknowledged()
        out = [gevent.spawn(self.ends, self.peers) for _ in range(peer_client.MAX_CALLS_IN_FLIGHT + 1)]
        self.until_busy(peer_client.MAX_CALLS_IN_FLIGHT)
        left = self.peers.peers["b"]
        self.peers.replace({"a": (HOST, 1), "c": (HOST, 2)})
        self.assertEqual([each.get(timeout=4) for each in out], ["CW712"] * len(out))
        self.assertEqual((left.connections, left.idle, list(self.peers.names())), (set(), [], ["c"]))
        self.unreachable("no other member", self.peers)
        self.answer = lambda peer_message: Acknowledged()
        self.peers.replace({"b": (HOST, self.server.port)})
        kept = self.peers.call("b", Acknowledged(), 5) and self.peers.peers["b"].idle[0]
        self.peers.replace({"b": (HOST, self.server.port), "c": (HOST, 2)})
        self.assertIs(self.peers.peers["b"].idle[0], kept)  # who stays keeps its connections
        self.verifier.replace_members(["b", "c"])
        self.refused(peer_verifier.UnknownMemberError.code)
        self.verifier.replace_members(NAMES)
        self.peers.verifier.incarnation = 4
        self.refused(peer_verifier.StaleIncarnationError.code)  # what was seen outlives the list

    def test_a_peer_message_that_is_too_large_is_not_sent(self) -> None:
        with self.assertRaises(transport.PeerMessageTooLargeError):
            self.peers.call("b", ReplicateFacts(1, 2, 3, b"x" * MAX_MESSAGE_BYTES, 4), 5)
        self.assertEqual(self.peers.peers["b"].connections, set())


if __name__ == "__main__":
    unittest.main()
