"""Notices are posted until the platform has acknowledged exactly these.

Guards against an incident (`docs/incidents/2026-12-04-answers-taken-for-other-calls.md`): a second copy of an answer
was taken for the answer to the next request on its connection. Of a 204 it would lose a message: its notice would
count as acknowledged, and the platform would not have it.
"""

import json
import socket
import threading
import time
import unittest

import gevent

from cedarwick.net.counters import Counters
from cedarwick.net.notifications import Notifier
from tests.build import Receiver, reply, wait_for_condition

ACCEPTED = reply(204)
REFUSED = reply(500)


class CopyingPlatform(Receiver):
    """A platform that writes its first 204 again when the next request comes, and cannot take that one."""

    def __init__(self) -> None:
        self.taken: list[str] = []  # ids of the notices that were answered with 204
        self.requests = 0
        self.lock = threading.Lock()
        self.first_connection: socket.socket | None = None
        super().__init__(None)

    def _serve(self, sock: socket.socket) -> None:
        with sock, sock.makefile("rb") as stream:
            try:
                while line := stream.readline():
                    head = line
                    while line not in (b"\r\n", b""):
                        line = stream.readline()
                        head += line
                    body = stream.read(int(head.partition(b"Content-Length: ")[2].split(b"\r\n")[0]))
                    with self.lock:
                        self._answer(sock, body)
            except OSError:
                return

    def _answer(self, sock: socket.socket, body: bytes) -> None:
        self.requests += 1
        if self.requests == 2:
            # Of the connection that carried the first post this is a copy; a new connection has none.
            if sock is self.first_connection:
                sock.sendall(ACCEPTED)
                time.sleep(0.05)
            sock.sendall(REFUSED)
            return
        if self.requests == 1:
            self.first_connection = sock
        self.taken += [json.loads(line)["id"] for line in body.splitlines()]
        sock.sendall(ACCEPTED)


class NoticesTest(unittest.TestCase):
    # Guards against: the copy of a 204 acknowledges a notice that the platform has not taken.
    def test_a_second_copy_of_a_204_acknowledges_no_other_notice(self) -> None:
        platform = CopyingPlatform()
        self.addCleanup(platform.close)
        acknowledged: list[int] = []
        notifier = Notifier(("127.0.0.1", platform.port), Counters(), acknowledged.extend)
        running = gevent.spawn(notifier.run)
        self.addCleanup(running.kill)
        for number in (1, 2):
            notifier.enqueue(number, f"m{number}", False, 0)
            wait_for_condition(lambda number=number: gevent.sleep(0.005) or number in acknowledged, 4.0)  # type: ignore[misc]
        self.assertEqual(platform.taken, ["m1", "m2"])


if __name__ == "__main__":
    unittest.main()
