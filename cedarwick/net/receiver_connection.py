"""One connection to a receiver, and what log lines say of it.

Times are microseconds.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import gevent
import gevent.socket

from cedarwick.errors import CedarwickError
from cedarwick.net.buffer import Buffer

SHOWN_BYTES = 24  # of unexpected input, in log lines: enough for the status line of an answer
ANSWER_PREFIX = b"HTTP/"
READABLE = 1  # event mask of a libev I/O watcher


class UnexpectedInputError(CedarwickError):
    """Bytes came on a connection to a receiver while no call was in flight on it; the connection was closed."""

    code = "CW304"
    remedy = "ask the partner, and who runs the network between, whether answers are written twice or too late"


class LastCall(NamedTuple):
    """The last call on a connection."""

    message_id: str
    status: int  # of its answer; 0: none was read


NO_CALL = LastCall("", 0)


class Connection:
    """One connection to a receiver; it carries one call at a time."""

    __slots__ = (
        "sock",
        "receiver",
        "address",
        "number",
        "buffer",
        "calls",
        "last_call",
        "answered_at",
        "idle_since",
        "input_watcher",
        "closed",
    )

    def __init__(self, sock: gevent.socket.socket, receiver: int, address: tuple[str, int], number: int = 0) -> None:
        self.sock = sock
        self.receiver = receiver
        self.address = address
        self.number = number  # counted from 1 in each process; log lines name it
        self.buffer = Buffer()
        self.calls = 0  # of which at least one byte was written
        self.last_call = NO_CALL
        self.answered_at = 0  # when the answer to its last call had been read; 0: none was
        self.idle_since = 0  # when it was last returned to the pool; 0: never
        self.input_watcher: Any = None  # of the event loop; active while the connection is idle
        self.closed = False

    def call_begins(self, message_id: str) -> None:
        """Record that the first byte of a call is about to be written."""
        self.calls += 1
        self.last_call = LastCall(message_id, 0)

    def quiet_at(self, quiet_period: int) -> int:
        """Return when it has been quiet for a time (microseconds) since its last answer; 0 before the first one."""
        return self.answered_at + quiet_period if self.answered_at else 0

    def call_answered(self, now: int, status: int) -> None:
        """Record that the answer to the last call has been read."""
        self.answered_at = now
        self.last_call = self.last_call._replace(status=status)

    def start_watching(self, on_input: Callable[["Connection"], None]) -> None:
        """Call `on_input` from the event loop once bytes, or the end of the connection, can be read."""
        if self.input_watcher is None:
            self.input_watcher = gevent.get_hub().loop.io(self.sock.fileno(), READABLE)
        self.input_watcher.start(on_input, self)

    def stop_watching(self) -> None:
        """End the effect of `start_watching`."""
        if self.input_watcher is not None:
            self.input_watcher.stop()

    def close(self) -> None:
        """Close the socket."""
        self.closed = True
        if self.input_watcher is not None:
            self.input_watcher.stop()
            self.input_watcher.close()
            self.input_watcher = None
        self.sock.close()

    def describe_unexpected_input(self, now: int, data: bytes) -> UnexpectedInputError:
        """Return an error that names the connection, its last call and the bytes that came on it unasked."""
        host, port = self.address
        shown = repr(data[:SHOWN_BYTES]) if data else "further bytes"
        after = (
            f"{(now - self.answered_at) / 1000:.1f} ms after the answer {self.last_call.status} to call {self.calls} "
            f"(message {self.last_call.message_id})"
            if self.answered_at
            else "before any answer"
        )
        return UnexpectedInputError(
            f"receiver {self.receiver} at {host}:{port}, connection {self.number}: {shown} {after}"
        )


def begins_an_answer(data: bytes) -> bool:
    """Whether bytes look like the begin of an HTTP answer."""
    return ANSWER_PREFIX.startswith(data[: len(ANSWER_PREFIX)]) and bool(data)
