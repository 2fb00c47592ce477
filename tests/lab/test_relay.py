"""The fault relay between two small HTTP stand-ins: what arrives, and what comes back."""

import time
import unittest

import gevent
import gevent.pywsgi
import gevent.socket

from cedarwick.lab import relay as relays
from cedarwick.lab.listeners import reset_connection
from cedarwick.lab.relay import Fault, Relay, named


class Answering:
    """Answers each request with its own body, upside down."""

    def __init__(self) -> None:
        self.got: list[bytes] = []
        self.takes = 0.0
        self.server = gevent.pywsgi.WSGIServer(("127.0.0.1", 0), self.answer, log=None, error_log=None)
        self.server.start()

    def answer(self, environ, start):  # type: ignore[no-untyped-def]
        try:
            body = environ["wsgi.input"].read()
        except OSError:
            return []
        self.got.append(body)
        gevent.sleep(self.takes)
        start("200 OK", [("Content-Length", str(len(body)))] + [("Connection", "close")] * (body == b"last"))
        return [body[::-1]]


class RelayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.far = Answering()
        self.addCleanup(self.far.server.stop)
        self.said: list[str] = []
        self.relay = Relay("n0>n1", ("127.0.0.1", self.far.server.server_port), 1, say=self.said.append)
        self.addCleanup(self.relay.close)
        self.messages = self.connect()

    def connect(self) -> gevent.socket.socket:
        sock = gevent.socket.create_connection(self.relay.address, 1.0)
        self.addCleanup(sock.close)
        return sock

    def ask(self, body: bytes = b"abc", sock: gevent.socket.socket | None = None, patience: float = 0.25) -> str:
        """The answer's body, or what became of the connection."""
        sock = sock or self.messages
        sock.settimeout(patience)
        got = b""
        try:
            sock.sendall(b"POST /fleet/1 HTTP/1.1\r\nHost: n1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            while not got.endswith(body[::-1]):
                part = sock.recv(65536)
                if not part:
                    return "closed"
                got += part
        except TimeoutError:
            return "silent"
        except OSError:
            return f"reset after {len(got)}" if got else "reset"
        return got.rpartition(b"\r\n\r\n")[2].decode()

    def arrived(self, *bodies: bytes) -> None:
        with gevent.Timeout(1.0, False):
            while len(self.far.got) < len(bodies):
                gevent.sleep(0.01)
        gevent.sleep(0.03)  # for what should not come
        self.assertEqual(self.far.got, list(bodies))

    def test_without_a_fault_messages_pass_on_a_kept_connection(self) -> None:
        self.assertEqual([self.ask(b"abc"), self.ask(b"x" * 300_000 + b"y")[:2]], ["cba", "yx"])
        self.assertEqual(self.relay.did["asks: passed"], 2)

    def test_a_cut_resets_what_is_open_and_what_comes_until_it_heals(self) -> None:
        self.ask()
        number = self.relay.begin(Fault(kind="cut"))
        self.assertEqual([self.ask(b"lost"), self.ask(b"lost", self.connect())], ["reset", "reset"])
        self.relay.end(number)
        self.assertEqual(self.ask(b"later", self.connect()), "retal")
        self.arrived(b"abc", b"later")
        self.assertEqual(self.said, ["n0>n1: cut", "n0>n1: no more cut"])

    def test_a_cut_of_one_way_loses_that_way_alone(self) -> None:
        self.ask()
        self.relay.begin(Fault(kind="cut", way="asks"))
        self.assertEqual(self.ask(b"lost"), "silent")
        self.relay.heal()
        self.assertEqual(self.ask(b"torn"), "reset")
        self.relay.begin(Fault(kind="cut", way="answers"))
        self.assertEqual(self.ask(b"heard", self.connect()), "silent")
        self.arrived(b"abc", b"heard")

    def test_silence_swallows_and_held_silence_delivers_late(self) -> None:
        self.ask()
        self.relay.begin(Fault(kind="silent"))
        self.assertEqual([self.ask(b"lost"), self.ask(b"lost", self.connect())], ["silent", "silent"])
        self.relay.heal()
        held = self.connect()
        number = self.relay.begin(Fault(kind="silent", held=True))
        self.assertEqual(self.ask(b"late", held, 0.05), "silent")
        held.close()  # nobody learns of that either
        self.arrived(b"abc")
        self.relay.end(number)
        self.arrived(b"abc", b"late")

    def test_an_end_is_not_noticed_on_a_silent_way(self) -> None:
        self.relay.begin(Fault(kind="silent", way="answers"))
        self.assertEqual(self.ask(b"last"), "silent")  # its connection was closed with its answer
        self.relay.heal()
        self.assertEqual(self.ask(), "reset")
        for close in (reset_connection, gevent.socket.socket.close):
            gone = self.connect()
            self.ask(sock=gone)
            self.relay.begin(Fault(kind="silent", way="asks"))
            close(gone)
            gevent.sleep(0.02)
            self.assertEqual(len(self.relay.open), 1)
            self.relay.heal()
            gevent.sleep(0.02)
            self.assertEqual(len(self.relay.open), 0)

    def test_a_delay_is_drawn_by_the_seed(self) -> None:
        fault = Fault(kind="delay", way="answers", ms=40, jitter_ms=40)
        self.relay.begin(fault)
        begun = time.monotonic()
        self.assertEqual(self.ask(), "cba")
        self.assertGreater(time.monotonic() - begun, 0.04)
        drawn = []
        for seed in (1, 1, 2):
            relay = Relay("n0>n1", ("127.0.0.1", 1), seed)
            drawn.append([relay.drawn_ms(fault) for _ in range(3)])
            relay.close()
        self.assertEqual((drawn[0], drawn[0] == drawn[2]), (drawn[1], False))

    def test_a_trickle_comes_whole_and_slowly(self) -> None:
        self.relay.begin(Fault(kind="trickle", way="asks", size=10, ms=10))
        begun = time.monotonic()
        self.assertEqual(self.ask(patience=1.0), "cba")
        self.assertGreater(time.monotonic() - begun, 0.03)

    def test_a_reset_in_the_middle_of_a_request_or_an_answer(self) -> None:
        self.relay.begin(Fault(kind="reset", way="asks", size=62, times=1))
        self.assertEqual(self.ask(b"x" * 50), "reset")
        self.arrived()
        self.relay.begin(Fault(kind="reset", way="answers", size=30, times=1))
        self.assertEqual(self.ask(b"heard", self.connect()), "reset after 30")
        self.assertEqual(self.ask(b"good", self.connect()), "doog")
        self.arrived(b"heard", b"good")

    def test_an_answer_is_lost_after_its_request_got_through(self) -> None:
        self.relay.begin(Fault(kind="answer-lost", holding=named("Offer"), times=2))
        self.assertEqual(self.ask(b"Offered"), "dereffO")
        self.assertEqual(self.ask(b"an \xa5Offer"), "reset")
        self.relay.heal()
        self.relay.begin(Fault(kind="answer-lost", then="silent"))
        self.assertEqual(self.ask(b"more", self.connect()), "silent")
        self.arrived(b"Offered", b"an \xa5Offer", b"more")

    def test_a_request_is_lost_before_it_got_through(self) -> None:
        self.relay.begin(Fault(kind="ask-lost", times=1))
        self.assertEqual([self.ask(b"lost"), self.ask(b"good", self.connect())], ["reset", "doog"])
        self.arrived(b"good")

    def test_a_message_given_twice_is_answered_once(self) -> None:
        self.relay.begin(Fault(kind="twice", ms=20, times=1))
        self.assertEqual(self.ask(b"one"), "eno")
        gevent.sleep(0.03)
        self.assertEqual(self.ask(b"two"), "owt")
        self.arrived(b"one", b"one", b"two")
        self.assertEqual(self.relay.did["given twice"], 1)
        self.relay.begin(Fault(kind="twice", ms=150, times=1))
        self.assertEqual(self.ask(b"cut"), "tuc")
        self.relay.begin(Fault(kind="cut"))
        gevent.sleep(0.15)
        self.arrived(b"one", b"one", b"two", b"cut")

    def test_who_asks_and_leaves_in_the_middle_is_passed_on_as_that(self) -> None:
        self.messages.sendall(b"POST /fleet/1 HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf")
        self.messages.close()
        gevent.sleep(0.03)
        self.assertEqual((len(self.relay.open), self.relay.did["asks: passed"]), (0, 1))

    def test_who_answers_has_died(self) -> None:
        self.ask()
        self.far.server.stop(timeout=0)
        self.assertIn(self.ask(b"x", self.connect()), ("reset", "closed"))

    def test_what_is_no_message_or_too_large_ends_its_connection_alone(self) -> None:
        usual, relays.MOST = relays.MOST, 1000
        self.addCleanup(setattr, relays, "MOST", usual)
        self.assertEqual(self.ask(b"x" * 2000), "reset")
        noise = self.connect()
        noise.sendall(b"\x00\x01\r\n\r\n")
        with self.assertRaises(ConnectionResetError):
            noise.recv(1)
        self.assertEqual((self.ask(b"abc", self.connect()), self.relay.did["unreadable"]), ("cba", 2))

    def test_a_tap_sees_each_message_before_it_is_passed(self) -> None:
        seen: list[tuple[str, int]] = []
        self.relay.taps.append(lambda way, raw: seen.append((way, len(self.far.got))))
        self.ask()
        self.assertEqual(seen, [("asks", 0), ("answers", 1)])

    def test_connections_are_bounded(self) -> None:
        usual, relays.MOST_OPEN = relays.MOST_OPEN, 2
        self.addCleanup(setattr, relays, "MOST_OPEN", usual)
        more = [self.connect() for _ in range(3)]
        gevent.sleep(0.02)
        self.assertEqual((self.ask(), self.ask(sock=more[-1]), len(self.relay.open)), ("reset", "cba", 2))


if __name__ == "__main__":
    unittest.main()
