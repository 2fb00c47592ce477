"""The watch of the endpoint list: its parsing, how it breaks and is reopened, and the first update of a process."""

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
from tests.build import Program, Receiver, encode_submit, read_line, wait_for_condition

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
JSON_VALUES = st.recursive(
    st.none() | st.integers() | st.text(st.sampled_from('{}[]"\\ \n\u00e9x,:'), max_size=6),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class JsonObjectsTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.dictionaries(st.text(max_size=3), JSON_VALUES, max_size=3),
                st.sampled_from([None, 0, 2]),
                st.sampled_from(["", "\n", "\r\n \t\n"]),
            ),
            max_size=4,
        ),
        st.data(),
    )
    def test_objects_are_found_however_their_bytes_are_split(self, objects: list[Any], data: st.DataObject) -> None:
        texts = [json.dumps(value, indent=indent, ensure_ascii=False) + space for value, indent, space in objects]
        text = "".join(texts).encode()
        cuts = sorted(data.draw(st.lists(st.integers(0, len(text)), max_size=6)))
        for offsets in (cuts, range(len(text))):
            reader = JsonObjectReader(1 << 20)
            parts = [text[begin:end] for begin, end in zip([0, *offsets], [*offsets, len(text)], strict=True)]
            self.assertEqual(
                [found for part in parts for found in reader.read(part)], [value for value, _, _ in objects]
            )
            self.assertEqual((reader.depth, len(reader.pending)), (0, 0))

    def test_invalid_text_is_reported_after_the_objects_before_it(self) -> None:
        deep = b'{"a":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        for invalid in (b"]", b"}", b"7", b'{"a":1,}', b'{"a":\xff}', b'{"a":"b\n{}', deep, b'{"a":' + b" " * 300_000):
            with self.subTest(invalid=invalid[:20]):
                found = JsonObjectReader(1 << 18).read(b'{"a":1}\n' + invalid)
                self.assertEqual(next(found), {"a": 1})
                with self.assertRaises(ValueError):
                    next(found)

    def test_a_large_object_in_small_chunks_is_decoded_once_and_scanned_once(self) -> None:
        text = json.dumps({"rev": 1, "targets": [{"uid": f"s-{n}"} for n in range(20_000)]}, indent=2).encode()
        reader, unscanned = JsonObjectReader(1 << 22), 0
        found: list[Any] = []
        with mock.patch("json.loads", wraps=json.loads) as loads:
            for at in range(0, len(text), 4096):
                unscanned += len(reader.pending) - reader.scanned
                found += reader.read(text[at : at + 4096])
        self.assertEqual((len(found), loads.call_count, unscanned), (1, 1, 0))


class WatchTestCase(unittest.TestCase):
    """Runs an `EndpointList` against a fake agent, with short timeouts."""

    ENTRY = {"uid": "s", "endpoint": "127.0.0.1:9", "az": "a", "model": "k", "pod_group": 4, "state": "up"}

    def setUp(self) -> None:
        for name, seconds in (("ANSWER_TIMEOUT_S", 0.25), ("LINE_TIMEOUT_S", 0.4), ("STABLE_WATCH_S", 0.2)):
            patched = mock.patch.object(module, name, seconds)
            patched.start()
            self.addCleanup(patched.stop)
        self.failure_times: list[float] = []
        self.updates: list[Any] = []
        assignment = Assignment("n", ("", 0), ("", 0), "", 1, 64, 1 << 20, {}, {"zones": "a,b", "kinds": "k"})
        self.endpoint_list = EndpointList(
            assignment,
            Counters(),
            lambda *update: self.updates.append(update),
            lambda: self.failure_times.append(time.monotonic()),
        )
        self.listener = self.start_agent()
        self.endpoint_list.platform = self.listener.getsockname()
        watch_loop = gevent.spawn(self.endpoint_list.watch)
        self.addCleanup(watch_loop.kill)
        self.addCleanup(lambda: self.endpoint_list.watch_greenlet and self.endpoint_list.watch_greenlet.kill())

    def start_agent(self) -> gevent.socket.socket:
        listener = gevent.socket.socket()
        self.addCleanup(listener.close)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        return listener

    def accept_call(self, listener: gevent.socket.socket | None = None, within_s: float = 1.0) -> tuple[Any, bytes]:
        """Accept the next list call; return its socket and its request line."""
        with gevent.Timeout(within_s):
            sock, _ = (listener or self.listener).accept()
            self.addCleanup(sock.close)
            return sock, sock.recv(1000).partition(b"\r\n")[0]

    def update_line(self, rev: int, indent: int | None = None) -> bytes:
        return json.dumps({"rev": rev, "all": True, "targets": [self.ENTRY]}, indent=indent).encode() + b"\n"

    def wait_until(self, condition: Callable[[], object]) -> None:
        with gevent.Timeout(1.0):
            while not condition():
                gevent.sleep(0.005)


class WatchTest(WatchTestCase):
    def test_an_indented_list_is_accepted(self) -> None:
        sock, _ = self.accept_call()
        text = self.update_line(3, indent=2)
        sock.sendall(HEAD)
        for at in range(0, len(text), 50):
            sock.sendall(chunk(text[at : at + 50]))
            gevent.sleep(0)
        self.wait_until(lambda: self.endpoint_list.version == 3 and self.endpoint_list.has_receivers)
        self.assertEqual(self.failure_times, [])

    def test_a_stable_watch_that_falls_silent_or_breaks_is_reopened_at_once(self) -> None:
        for end, limit_s in (("silent", 0.6), ("reset", 0.2), ("ended", 0.2)):
            with self.subTest(end=end):
                sock, _ = self.accept_call()
                sock.sendall(HEAD + chunk(self.update_line(7)))
                gevent.sleep(0.22)
                sock.sendall(chunk(b"\n"))
                last = time.monotonic()
                if end != "silent":
                    gevent.sleep(0.02)
                    sock.close() if end == "reset" else sock.sendall(b"0\r\n\r\n")
                again, line = self.accept_call()
                self.assertLess(time.monotonic() - last, limit_s)
                self.assertIn(b"since=7 ", line)
                if end != "reset":
                    self.assertEqual(sock.recv(1), b"")  # the old watch was closed first
                self.assertEqual(self.failure_times, [])
                again.sendall(HEAD + chunk(b"\n"))
                gevent.sleep(0.22)
                again.close()

    def test_a_watch_that_breaks_at_once_is_reopened_when_the_decisions_say(self) -> None:
        for count, text in enumerate(
            (b"", HEAD, HEAD + chunk(b"}"), b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), 1
        ):
            sock, _ = self.accept_call()
            sock.sendall(text)
            sock.close()
            self.wait_until(lambda: len(self.failure_times) == count)  # noqa: B023
            with self.assertRaises(gevent.Timeout):
                self.accept_call(within_s=0.15)
            self.endpoint_list.reopen_watch()

    def test_a_call_without_an_answer_is_reported_as_failed_and_kept_open_until_the_next_call(self) -> None:
        first, _ = self.accept_call()
        self.wait_until(lambda: self.failure_times)
        self.assertTrue(self.endpoint_list.first_update.is_set())
        gevent.sleep(0.5)
        self.endpoint_list.reopen_watch()
        second, _ = self.accept_call()
        self.assertEqual((first.recv(1), len(self.failure_times)), (b"", 1))
        self.wait_until(lambda: len(self.failure_times) == 2)
        second.sendall(HEAD + chunk(self.update_line(5)))
        self.wait_until(lambda: self.endpoint_list.version == 5)
        self.endpoint_list.reopen_watch()  # no effect: the call is answered now
        with self.assertRaises(gevent.Timeout):
            self.accept_call(within_s=0.2)

    def test_the_backoff_of_a_call_that_is_refused_late_starts_at_the_refusal(self) -> None:
        """If the connection is only closed, the backoff started when the call was reported as failed."""
        for refused, text in ((1, b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), (0, b"")):
            with self.subTest(refused=refused):
                before = len(self.failure_times)
                sock, _ = self.accept_call()
                self.wait_until(lambda: len(self.failure_times) == before + 1)  # noqa: B023
                sock.sendall(text)
                sock.close()
                with self.assertRaises(gevent.Timeout):
                    self.accept_call(within_s=0.3)
                self.assertEqual(len(self.failure_times), before + 1 + refused)
                self.endpoint_list.reopen_watch()

    def test_a_truncated_object_does_not_absorb_later_updates(self) -> None:
        sock, _ = self.accept_call()
        sock.sendall(HEAD + chunk(b'{"rev":9,"all":true,"targets":[{"uid":7,\n'))

        def send_more() -> None:
            with contextlib.suppress(OSError):
                for rev in range(10, 99):
                    gevent.sleep(0.05)
                    sock.sendall(chunk(self.update_line(rev)))

        sending = gevent.spawn(send_more)
        self.addCleanup(sending.kill)
        again, _ = self.accept_call()
        again.sendall(HEAD + chunk(self.update_line(30)))
        self.wait_until(lambda: self.endpoint_list.version == 30)

    def test_a_late_update_of_the_old_agent_is_ignored_after_a_change_of_address(self) -> None:
        sock, _ = self.accept_call()
        sock.sendall(HEAD + chunk(self.update_line(7)))
        self.wait_until(lambda: self.endpoint_list.version == 7)
        late_update = json.dumps({"rev": 90, "all": True, "targets": [{**self.ENTRY, "state": "draining"}]}).encode()
        sock.sendall(chunk(late_update))
        new = self.start_agent()
        with mock.patch.object(self.endpoint_list, "watch_greenlet"):  # the watch is not killed in time
            self.endpoint_list.change_address(new.getsockname())
        _, line = self.accept_call(new)
        self.assertIn(b"since=0 ", line)
        self.assertEqual((len(self.updates), self.failure_times, sock.recv(1)), (1, [], b""))


class FirstUpdateTest(unittest.TestCase):
    def test_no_stored_message_is_attempted_by_the_saved_list(self) -> None:
        program = Program([Receiver(None), Receiver(None)])
        self.addCleanup(program.close)
        program.start()
        program.configure(known={"rev": 0, "all": True, "targets": [program.target(0), program.target(1)]})
        with program.connect() as sock:
            sock.sendall(encode_submit("a"))
            read_line(sock)
        wait_for_condition(lambda: program.receivers[0].calls)
        program.platform.targets = [program.target(0, "draining"), program.target(1)]
        for _ in range(2):
            program.kill()
            program.start()
            time.sleep(0.4)
        self.assertEqual(len(program.receivers[0].calls), 1)

    def test_a_start_continues_if_the_agent_is_silent(self) -> None:
        program = Program([Receiver(None)])
        self.addCleanup(program.close)
        program.configure(known={"rev": 0, "all": True, "targets": [program.target(0)]})
        with mock.patch.object(program.platform, "finish_request", lambda *_: time.sleep(3)):
            program.start()
            with program.connect() as sock:
                started_at = time.monotonic()
                sock.sendall(encode_submit("a"))
                self.assertEqual(read_line(sock), b"+OK\r\n")
        self.assertLess(time.monotonic() - started_at, 0.38)


if __name__ == "__main__":
    unittest.main()
