"""The watch of the list: its text in any form, how it breaks and opens anew, and the first update of a process."""

import contextlib
import json
import time
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import gevent
import gevent.socket
from hypothesis import given, settings
from hypothesis import strategies as st

from cedarwick.net import endpoint_list as module
from cedarwick.net.assignment import Assignment
from cedarwick.net.counters import Counters
from cedarwick.net.endpoint_list import EndpointList
from cedarwick.net.json_objects import JsonObjectReader
from tests.build import Program, Receiver, line_of, submit, until

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PLAIN = st.recursive(
    st.none() | st.integers() | st.text(st.sampled_from('{}[]"\\ \n\u00e9x,:'), max_size=6),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def chunk(text: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text), text)


class JsonObjectsTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.dictionaries(st.text(max_size=3), PLAIN, max_size=3),
                st.sampled_from([None, 0, 2]),
                st.sampled_from(["", "\n", "\r\n \t\n"]),
            ),
            max_size=4,
        ),
        st.data(),
    )
    def test_objects_end_where_they_end_however_they_come(self, told: list[Any], data: st.DataObject) -> None:
        written = [json.dumps(each, indent=indent, ensure_ascii=False) + blank for each, indent, blank in told]
        text = "".join(written).encode()
        cuts = sorted(data.draw(st.lists(st.integers(0, len(text)), max_size=6)))
        for places in (cuts, range(len(text))):
            made = JsonObjectReader(1 << 20)
            parts = [text[begin:end] for begin, end in zip([0, *places], [*places, len(text)], strict=True)]
            self.assertEqual([found for part in parts for found in made.read(part)], [each for each, _, _ in told])
            self.assertEqual((made.depth, len(made.pending)), (0, 0))

    def test_spoilt_text_is_told_after_the_objects_in_front_of_it(self) -> None:
        deep = b'{"a":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        for spoilt in (b"]", b"}", b"7", b'{"a":1,}', b'{"a":\xff}', b'{"a":"b\n{}', deep, b'{"a":' + b" " * 300_000):
            with self.subTest(spoilt=spoilt[:20]):
                found = JsonObjectReader(1 << 18).read(b'{"a":1}\n' + spoilt)
                self.assertEqual(next(found), {"a": 1})
                with self.assertRaises(ValueError):
                    next(found)

    def test_a_large_object_in_small_chunks_is_decoded_once_and_looked_at_once(self) -> None:
        text = json.dumps({"rev": 1, "targets": [{"uid": f"s-{n}"} for n in range(20_000)]}, indent=2).encode()
        made, looked = JsonObjectReader(1 << 22), 0
        found: list[Any] = []
        with mock.patch("json.loads", wraps=json.loads) as loads:
            for at in range(0, len(text), 4096):
                looked += len(made.pending) - made.scanned
                found += made.read(text[at : at + 4096])
        self.assertEqual((len(found), loads.call_count, looked), (1, 1, 0))


class WatchedTestCase(unittest.TestCase):
    """A directory against a stand-in of the agent, with short limits."""

    GOOD = {"uid": "s", "endpoint": "127.0.0.1:9", "az": "a", "model": "k", "pod_group": 4, "state": "up"}

    def setUp(self) -> None:
        for name, seconds in (("ANSWER_TIMEOUT_S", 0.25), ("LINE_TIMEOUT_S", 0.4), ("STABLE_WATCH_S", 0.2)):
            patched = mock.patch.object(module, name, seconds)
            patched.start()
            self.addCleanup(patched.stop)
        self.failed: list[float] = []
        self.told: list[Any] = []
        made = Assignment("n", ("", 0), ("", 0), "", 1, 64, 1 << 20, {}, {"zones": "a,b", "kinds": "k"})
        self.made = EndpointList(
            made, Counters(), lambda *update: self.told.append(update), lambda: self.failed.append(time.monotonic())
        )
        self.listener = self.agent()
        self.made.platform = self.listener.getsockname()
        watching = gevent.spawn(self.made.watch)
        self.addCleanup(watching.kill)
        self.addCleanup(lambda: self.made.watch_greenlet and self.made.watch_greenlet.kill())

    def agent(self) -> gevent.socket.socket:
        listener = gevent.socket.socket()
        self.addCleanup(listener.close)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        return listener

    def opened(self, listener: gevent.socket.socket | None = None, within: float = 1.0) -> tuple[Any, bytes]:
        """The next call for the list, and its first line."""
        with gevent.Timeout(within):
            sock, _ = (listener or self.listener).accept()
            self.addCleanup(sock.close)
            return sock, sock.recv(1000).partition(b"\r\n")[0]

    def update_line(self, rev: int, indent: int | None = None) -> bytes:
        return json.dumps({"rev": rev, "all": True, "targets": [self.GOOD]}, indent=indent).encode() + b"\n"

    def happens(self, true: Callable[[], object]) -> None:
        with gevent.Timeout(1.0):
            while not true():
                gevent.sleep(0.005)


class WatchTest(WatchedTestCase):
    def test_an_indented_list_is_learned(self) -> None:
        sock, _ = self.opened()
        text = self.update_line(3, indent=2)
        sock.sendall(HEAD)
        for at in range(0, len(text), 50):
            sock.sendall(chunk(text[at : at + 50]))
            gevent.sleep(0)
        self.happens(lambda: self.made.version == 3 and self.made.has_receivers)
        self.assertEqual(self.failed, [])

    def test_a_watch_that_fell_silent_or_was_cut_after_a_while_opens_anew_at_once(self) -> None:
        for end, limit in (("silent", 0.6), ("reset", 0.2), ("ended", 0.2)):
            with self.subTest(end=end):
                sock, _ = self.opened()
                sock.sendall(HEAD + chunk(self.update_line(7)))
                gevent.sleep(0.22)
                sock.sendall(chunk(b"\n"))
                last = time.monotonic()
                if end != "silent":
                    gevent.sleep(0.02)
                    sock.close() if end == "reset" else sock.sendall(b"0\r\n\r\n")
                again, line = self.opened()
                self.assertLess(time.monotonic() - last, limit)
                self.assertIn(b"since=7 ", line)
                if end != "reset":
                    self.assertEqual(sock.recv(1), b"")  # the old one was closed first
                self.assertEqual(self.failed, [])
                again.sendall(HEAD + chunk(b"\n"))
                gevent.sleep(0.22)
                again.close()

    def test_a_watch_that_breaks_at_once_waits_for_the_decisions(self) -> None:
        for nth, text in enumerate((b"", HEAD, HEAD + chunk(b"}"), b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), 1):
            sock, _ = self.opened()
            sock.sendall(text)
            sock.close()
            self.happens(lambda: len(self.failed) == nth)  # noqa: B023
            with self.assertRaises(gevent.Timeout):
                self.opened(within=0.15)
            self.made.reopen_watch()

    def test_a_call_without_an_answer_has_failed_and_is_listened_to_until_the_next_one_is_wanted(self) -> None:
        first, _ = self.opened()
        self.happens(lambda: self.failed)
        self.assertTrue(self.made.first_update.is_set())
        gevent.sleep(0.5)
        self.made.reopen_watch()
        second, _ = self.opened()
        self.assertEqual((first.recv(1), len(self.failed)), (b"", 1))
        self.happens(lambda: len(self.failed) == 2)
        second.sendall(HEAD + chunk(self.update_line(5)))
        self.happens(lambda: self.made.version == 5)
        self.made.reopen_watch()  # it is answered now: nothing is to be opened
        with self.assertRaises(gevent.Timeout):
            self.opened(within=0.2)

    def test_a_call_that_waited_and_was_then_refused_has_its_wait_from_the_refusal_on(self) -> None:
        """One that waited and only broke off has its wait since it was told as failed."""
        for refused, text in ((1, b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), (0, b"")):
            with self.subTest(refused=refused):
                before = len(self.failed)
                sock, _ = self.opened()
                self.happens(lambda: len(self.failed) == before + 1)  # noqa: B023
                sock.sendall(text)
                sock.close()
                with self.assertRaises(gevent.Timeout):
                    self.opened(within=0.3)
                self.assertEqual(len(self.failed), before + 1 + refused)
                self.made.reopen_watch()

    def test_an_object_that_was_torn_does_not_swallow_what_follows(self) -> None:
        sock, _ = self.opened()
        sock.sendall(HEAD + chunk(b'{"rev":9,"all":true,"targets":[{"uid":7,\n'))

        def go_on() -> None:
            with contextlib.suppress(OSError):
                for rev in range(10, 99):
                    gevent.sleep(0.05)
                    sock.sendall(chunk(self.update_line(rev)))

        going = gevent.spawn(go_on)
        self.addCleanup(going.kill)
        again, _ = self.opened()
        again.sendall(HEAD + chunk(self.update_line(30)))
        self.happens(lambda: self.made.version == 30)

    def test_a_late_line_of_the_old_agent_is_not_believed_after_a_move(self) -> None:
        sock, _ = self.opened()
        sock.sendall(HEAD + chunk(self.update_line(7)))
        self.happens(lambda: self.made.version == 7)
        late = json.dumps({"rev": 90, "all": True, "targets": [{**self.GOOD, "state": "draining"}]}).encode()
        sock.sendall(chunk(late))
        new = self.agent()
        with mock.patch.object(self.made, "watch_greenlet"):  # as late as a kill can come
            self.made.change_address(new.getsockname())
        _, line = self.opened(new)
        self.assertIn(b"since=0 ", line)
        self.assertEqual((len(self.told), self.failed, sock.recv(1)), (1, [], b""))


class FirstUpdateTest(unittest.TestCase):
    def test_no_attempt_of_a_kept_message_leaves_on_the_saved_list(self) -> None:
        program = Program([Receiver(None), Receiver(None)])
        self.addCleanup(program.close)
        program.start()
        program.configure(known={"rev": 0, "all": True, "targets": [program.target(0), program.target(1)]})
        with program.connect() as sock:
            sock.sendall(submit("a"))
            line_of(sock)
        until(lambda: program.receivers[0].calls)
        program.platform.targets = [program.target(0, "draining"), program.target(1)]
        for _ in range(2):
            program.kill()
            program.start()
            time.sleep(0.4)
        self.assertEqual(len(program.receivers[0].calls), 1)

    def test_a_start_goes_on_where_the_agent_says_nothing(self) -> None:
        program = Program([Receiver(None)])
        self.addCleanup(program.close)
        program.configure(known={"rev": 0, "all": True, "targets": [program.target(0)]})
        with mock.patch.object(program.platform, "finish_request", lambda *_: time.sleep(3)):
            program.start()
            with program.connect() as sock:
                begun = time.monotonic()
                sock.sendall(submit("a"))
                self.assertEqual(line_of(sock), b"+OK\r\n")
        self.assertLess(time.monotonic() - begun, 0.38)


if __name__ == "__main__":
    unittest.main()
