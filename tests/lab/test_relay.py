"""The fault relay between a client and a small HTTP server: what arrives, and what comes back."""

import time
import unittest

import gevent
import gevent.pywsgi
import gevent.socket

from cedarwick.lab import relay as relays
from cedarwick.lab.listeners import reset_connection
from cedarwick.lab.relay import Fault, Relay, encoded_type


class ReversingServer:
    """Answers each request with its own body, reversed."""

    def __init__(self) -> None:
        self.received_bodies: list[bytes] = []
        self.answer_delay_s = 0.0
        self.server = gevent.pywsgi.WSGIServer(("127.0.0.1", 0), self.answer, log=None, error_log=None)
        self.server.start()

    def answer(self, environ, start):  # type: ignore[no-untyped-def]
        try:
            body = environ["wsgi.input"].read()
        except OSError:
            return []
        self.received_bodies.append(body)
        gevent.sleep(self.answer_delay_s)
        start("200 OK", [("Content-Length", str(len(body)))] + [("Connection", "close")] * (body == b"last"))
        return [body[::-1]]


class RelayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reversing_server = ReversingServer()
        self.addCleanup(self.reversing_server.server.stop)
        self.printed: list[str] = []
        self.relay = Relay(
            "n0>n1", ("127.0.0.1", self.reversing_server.server.server_port), 1, print_line=self.printed.append
        )
        self.addCleanup(self.relay.close)
        self.connection = self.connect()

    def connect(self) -> gevent.socket.socket:
        sock = gevent.socket.create_connection(self.relay.address, 1.0)
        self.addCleanup(sock.close)
        return sock

    def exchange(self, body: bytes = b"abc", sock: gevent.socket.socket | None = None, patience: float = 0.25) -> str:
        """Send a request; returns the answer's body, or what happened to the connection."""
        sock = sock or self.connection
        sock.settimeout(patience)
        received = b""
        try:
            sock.sendall(b"POST /fleet/1 HTTP/1.1\r\nHost: n1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            while not received.endswith(body[::-1]):
                part = sock.recv(65536)
                if not part:
                    return "closed"
                received += part
        except TimeoutError:
            return "silent"
        except OSError:
            return f"reset after {len(received)}" if received else "reset"
        return received.rpartition(b"\r\n\r\n")[2].decode()

    def assert_arrived(self, *bodies: bytes) -> None:
        with gevent.Timeout(1.0, False):
            while len(self.reversing_server.received_bodies) < len(bodies):
                gevent.sleep(0.01)
        gevent.sleep(0.03)  # time for a request that should not arrive
        self.assertEqual(self.reversing_server.received_bodies, list(bodies))

    def test_without_a_fault_messages_pass_on_one_connection(self) -> None:
        self.assertEqual([self.exchange(b"abc"), self.exchange(b"x" * 300_000 + b"y")[:2]], ["cba", "yx"])
        self.assertEqual(self.relay.counts["asks: passed"], 2)

    def test_a_cut_resets_open_and_new_connections_until_it_ends(self) -> None:
        self.exchange()
        number = self.relay.begin(Fault(kind="cut"))
        self.assertEqual([self.exchange(b"lost"), self.exchange(b"lost", self.connect())], ["reset", "reset"])
        self.relay.end(number)
        self.assertEqual(self.exchange(b"later", self.connect()), "retal")
        self.assert_arrived(b"abc", b"later")
        self.assertEqual(self.printed, ["n0>n1: cut", "n0>n1: cut ended"])

    def test_a_cut_in_one_direction_drops_only_that_direction(self) -> None:
        self.exchange()
        self.relay.begin(Fault(kind="cut", way="asks"))
        self.assertEqual(self.exchange(b"lost"), "silent")
        self.relay.heal()
        self.assertEqual(self.exchange(b"torn"), "reset")
        self.relay.begin(Fault(kind="cut", way="answers"))
        self.assertEqual(self.exchange(b"heard", self.connect()), "silent")
        self.assert_arrived(b"abc", b"heard")

    def test_a_silent_fault_drops_data_and_a_held_one_delivers_it_late(self) -> None:
        self.exchange()
        self.relay.begin(Fault(kind="silent"))
        self.assertEqual([self.exchange(b"lost"), self.exchange(b"lost", self.connect())], ["silent", "silent"])
        self.relay.heal()
        held = self.connect()
        number = self.relay.begin(Fault(kind="silent", held=True))
        self.assertEqual(self.exchange(b"late", held, 0.05), "silent")
        held.close()  # the other side does not learn of that either
        self.assert_arrived(b"abc")
        self.relay.end(number)
        self.assert_arrived(b"abc", b"late")

    def test_the_end_of_a_connection_is_not_passed_on_in_a_silent_direction(self) -> None:
        self.relay.begin(Fault(kind="silent", way="answers"))
        self.assertEqual(self.exchange(b"last"), "silent")  # the server closed the connection after its answer
        self.relay.heal()
        self.assertEqual(self.exchange(), "reset")
        for close in (reset_connection, gevent.socket.socket.close):
            closed = self.connect()
            self.exchange(sock=closed)
            self.relay.begin(Fault(kind="silent", way="asks"))
            close(closed)
            gevent.sleep(0.02)
            self.assertEqual(len(self.relay.connections), 1)
            self.relay.heal()
            gevent.sleep(0.02)
            self.assertEqual(len(self.relay.connections), 0)

    def test_an_answer_is_written_twice_on_its_connection(self) -> None:
        self.relay.begin(Fault(kind="answer-twice", way="answers", ms=20, times=1))
        self.assertEqual(self.exchange(b"abc"), "cba")
        self.connection.settimeout(0.5)
        self.assertTrue(self.connection.recv(65536).endswith(b"\r\n\r\ncba"))
        self.assertEqual(self.exchange(b"def"), "fed")
        self.assert_arrived(b"abc", b"def")
        self.assertEqual(self.relay.counts["answers: second copies"], 1)

    def test_a_delay_is_drawn_by_the_seed(self) -> None:
        fault = Fault(kind="delay", way="answers", ms=40, jitter_ms=40)
        self.relay.begin(fault)
        start = time.monotonic()
        self.assertEqual(self.exchange(), "cba")
        self.assertGreater(time.monotonic() - start, 0.04)
        drawn = []
        for seed in (1, 1, 2):
            relay = Relay("n0>n1", ("127.0.0.1", 1), seed)
            drawn.append([relay.draw_delay_ms(fault) for _ in range(3)])
            relay.close()
        self.assertEqual((drawn[0], drawn[0] == drawn[2]), (drawn[1], False))

    def test_a_trickled_message_arrives_whole_and_slowly(self) -> None:
        self.relay.begin(Fault(kind="trickle", way="asks", size=10, ms=10))
        start = time.monotonic()
        self.assertEqual(self.exchange(patience=1.0), "cba")
        self.assertGreater(time.monotonic() - start, 0.03)

    def test_a_reset_in_the_middle_of_a_request_or_an_answer(self) -> None:
        self.relay.begin(Fault(kind="reset", way="asks", size=62, times=1))
        self.assertEqual(self.exchange(b"x" * 50), "reset")
        self.assert_arrived()
        self.relay.begin(Fault(kind="reset", way="answers", size=30, times=1))
        self.assertEqual(self.exchange(b"heard", self.connect()), "reset after 30")
        self.assertEqual(self.exchange(b"good", self.connect()), "doog")
        self.assert_arrived(b"heard", b"good")

    def test_an_answer_is_lost_after_its_request_arrived(self) -> None:
        self.relay.begin(Fault(kind="answer-lost", holding=encoded_type("Offer"), times=2))
        self.assertEqual(self.exchange(b"Offered"), "dereffO")
        self.assertEqual(self.exchange(b"an \xa5Offer"), "reset")
        self.relay.heal()
        self.relay.begin(Fault(kind="answer-lost", then="silent"))
        self.assertEqual(self.exchange(b"more", self.connect()), "silent")
        self.assert_arrived(b"Offered", b"an \xa5Offer", b"more")

    def test_a_request_is_lost_before_it_arrives(self) -> None:
        self.relay.begin(Fault(kind="ask-lost", times=1))
        self.assertEqual([self.exchange(b"lost"), self.exchange(b"good", self.connect())], ["reset", "doog"])
        self.assert_arrived(b"good")

    def test_a_duplicated_request_is_answered_once(self) -> None:
        self.relay.begin(Fault(kind="twice", ms=20, times=1))
        self.assertEqual(self.exchange(b"one"), "eno")
        gevent.sleep(0.03)
        self.assertEqual(self.exchange(b"two"), "owt")
        self.assert_arrived(b"one", b"one", b"two")
        self.assertEqual(self.relay.counts["duplicates sent"], 1)
        self.relay.begin(Fault(kind="twice", ms=150, times=1))
        self.assertEqual(self.exchange(b"cut"), "tuc")
        self.relay.begin(Fault(kind="cut"))
        gevent.sleep(0.15)
        self.assert_arrived(b"one", b"one", b"two", b"cut")

    def test_a_request_cut_by_its_caller_is_forwarded_as_cut(self) -> None:
        self.connection.sendall(b"POST /fleet/1 HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf")
        self.connection.close()
        gevent.sleep(0.03)
        self.assertEqual((len(self.relay.connections), self.relay.counts["asks: passed"]), (0, 1))

    def test_the_callee_has_ended(self) -> None:
        self.exchange()
        self.reversing_server.server.stop(timeout=0)
        self.assertIn(self.exchange(b"x", self.connect()), ("reset", "closed"))

    def test_an_unreadable_or_too_large_message_ends_only_its_connection(self) -> None:
        default, relays.MAX_MESSAGE_BYTES = relays.MAX_MESSAGE_BYTES, 1000
        self.addCleanup(setattr, relays, "MAX_MESSAGE_BYTES", default)
        self.assertEqual(self.exchange(b"x" * 2000), "reset")
        noise = self.connect()
        noise.sendall(b"\x00\x01\r\n\r\n")
        with self.assertRaises(ConnectionResetError):
            noise.recv(1)
        self.assertEqual((self.exchange(b"abc", self.connect()), self.relay.counts["unreadable"]), ("cba", 2))

    def test_a_tap_is_called_with_each_message_before_it_is_forwarded(self) -> None:
        tapped: list[tuple[str, int]] = []
        self.relay.taps.append(lambda way, raw: tapped.append((way, len(self.reversing_server.received_bodies))))
        self.exchange()
        self.assertEqual(tapped, [("asks", 0), ("answers", 1)])

    def test_the_number_of_connections_is_limited(self) -> None:
        default, relays.MAX_CONNECTIONS = relays.MAX_CONNECTIONS, 2
        self.addCleanup(setattr, relays, "MAX_CONNECTIONS", default)
        more = [self.connect() for _ in range(3)]
        gevent.sleep(0.02)
        self.assertEqual(
            (self.exchange(), self.exchange(sock=more[-1]), len(self.relay.connections)), ("reset", "cba", 2)
        )


if __name__ == "__main__":
    unittest.main()
