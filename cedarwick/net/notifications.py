"""Notices of final answers, posted to the platform's `/status` until each is acknowledged with a 204.

Each post has a connection of its own: on a shared one, a second copy of the 204 to one post would acknowledge the next.

Names that end in `_S` are in seconds. The dispatcher calls `enqueue`; the process runs `run` in a greenlet.
"""

import json
from collections.abc import Callable

import gevent
import gevent.event

from cedarwick.net.buffer import Buffer
from cedarwick.net.counters import Counters
from cedarwick.net.http import InvalidResponseError, ResponseParser
from cedarwick.net.sockets import open_connection

POST_TIMEOUT_S = 2.0  # for connecting, the post and its answer
RETRY_DELAY_S = 0.25  # before a failed post is sent again
MAX_NOTICES_PER_POST = 100


class Notifier:
    """Owns the notices that are not acknowledged yet, and posts them."""

    def __init__(
        self, platform: tuple[str, int], counters: Counters, on_acknowledged: Callable[[list[int]], None]
    ) -> None:
        self.platform = platform
        self.counters = counters
        self.on_acknowledged = on_acknowledged  # called with the message numbers
        self.pending: dict[int, bytes] = {}  # by message number; bounded by the number of stored messages
        self.has_unposted = gevent.event.Event()
        self.post_greenlet: gevent.Greenlet | None = None

    def change_address(self, platform: tuple[str, int]) -> None:
        """Change the platform's address; a post that has no answer yet is repeated at the new one."""
        self.platform = platform
        if self.post_greenlet is not None:
            self.post_greenlet.kill(block=False)

    def enqueue(self, number: int, message_id: str, rejected: bool, wait_ms: int) -> None:
        """Queue a notice: `returned`, with the advised wait in milliseconds if there is one, or `failed`."""
        notice: dict[str, object] = {"id": message_id, "state": "returned" if rejected else "failed"}
        if rejected and wait_ms > 0:
            notice["after_ms"] = wait_ms
        self.pending[number] = json.dumps(notice).encode() + b"\n"
        self.has_unposted.set()

    def run(self) -> None:
        """Post the queued notices in batches and repeat failed posts; never returns."""
        batch_size = MAX_NOTICES_PER_POST
        while True:
            self.has_unposted.wait()
            self.has_unposted.clear()
            while self.pending:
                batch = list(self.pending)[:batch_size]
                self.post_greenlet = gevent.spawn(self._post, b"".join(self.pending[number] for number in batch))
                status = self.post_greenlet.get()
                if isinstance(status, gevent.GreenletExit):  # `change_address` aborted the post
                    continue
                if not status:
                    gevent.sleep(RETRY_DELAY_S)
                    continue
                if status != 204:
                    self.counters.warning("a notice was not accepted", status)
                    batch_size = 1  # isolates an unreadable notice, which would block the others
                    if (first := self.pending.pop(batch[0], None)) is not None:
                        self.pending[batch[0]] = first
                    gevent.sleep(RETRY_DELAY_S)
                    continue
                batch_size = MAX_NOTICES_PER_POST
                for number in batch:
                    self.pending.pop(number, None)  # the dispatcher may have dropped it meanwhile
                self.counters.add("posts of notices acknowledged")
                self.on_acknowledged(batch)

    def _post(self, body: bytes) -> int:
        """Post a batch of notices and return the status of the answer; 0 if there was none."""
        try:
            with gevent.Timeout(POST_TIMEOUT_S, TimeoutError("the platform did not answer in time")):
                return self._send(body)
        except (OSError, InvalidResponseError) as error:
            self.counters.warning("a notice could not be posted", error)
            return 0

    def _send(self, body: bytes) -> int:
        host, port = self.platform
        request = (
            f"POST /status HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        answer, buffer = ResponseParser(), Buffer()
        with open_connection(self.platform, POST_TIMEOUT_S) as sock:
            sock.settimeout(None)
            sock.sendall(request.encode() + body)
            while not answer.complete:
                if not buffer.fill(sock):
                    raise InvalidResponseError("the connection was closed before the answer was complete")
                answer.feed(buffer)
        return answer.status
