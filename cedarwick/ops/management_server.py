"""The server of the management address: one greenlet for each caller, with a limited line length and a deadline.

Started by `program.py`. Constants that end in `_S` are in seconds.
"""

import contextlib
from collections.abc import Callable

import gevent
import gevent.socket

from cedarwick.errors import CedarwickError
from cedarwick.net.buffer import Buffer
from cedarwick.net.counters import Counters
from cedarwick.ops.commands import Call, InvalidCallError, max_line_bytes, parse_call
from cedarwick.ops.management import StreamingAnswer

LINE_DEADLINE_S = 2.0  # for a caller to send its line; some callers connect and send nothing for 4 s
MAX_CALLERS = 64  # concurrent connections; further ones are answered NO and closed, so that STATUS is not delayed
BACKLOG = 64  # connections that the kernel queues until they are accepted
ACCEPT_RETRY_S = 0.02  # after a failed accept
ANSWER_DEADLINE_S = 2.0  # to carry out a call
WRITE_TIMEOUT_S = 2.0  # to write an answer
CLOSE_POLL_INTERVAL_S = 0.01  # between two checks whether all callers are answered
DISCARD_S, MAX_DISCARDED_BYTES = 0.5, 1 << 16  # limits for discarding input after the line of a call

# Answers a call with a line that begins with YES or NO, with metrics that end in END, or with a function that writes
# a stream.
Answer = Callable[[Call], str | StreamingAnswer]


class TooManyCallersError(CedarwickError):
    """The limit of concurrent management connections is reached."""

    code = "CW404"
    remedy = "call again in 2 s; find out what keeps connections to the management address open"


class CallFailedError(CedarwickError):
    """A management call failed with an internal error; the sender continues to run."""

    code = "CW405"
    remedy = "report the traceback that the sender has logged"


class ManagementServer:
    """Serves the management address in its own greenlets, without the dispatcher's queue.

    Raises OSError if the address cannot be bound.
    """

    def __init__(self, address: tuple[str, int], counters: Counters, answer: Answer) -> None:
        self.counters = counters
        self.answer = answer
        self.callers = 0
        self.unanswered = 0  # accepted callers whose answer is not written yet
        self.listener = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
        try:
            self.listener.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_REUSEADDR, 1)
            self.listener.bind(address)
            self.listener.listen(BACKLOG)
        except OSError:
            self.listener.close()
            raise

    def serve(self) -> None:
        """Accept callers; never returns."""
        while True:
            gevent.sleep(0)  # callers that come faster than they are accepted must not block the rest of the sender
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                self.counters.warning("accepting a management call failed", error)
                gevent.sleep(ACCEPT_RETRY_S)
                continue
            self._start_serving(sock)

    def close(self, timeout_s: float) -> None:
        """Stop accepting callers, and answer those whose connections are open, for at most `timeout_s`."""
        # Closing the listener would reset connections that wait in its queue.
        self.listener.settimeout(0.0)
        with contextlib.suppress(OSError):
            while True:
                self._start_serving(self.listener.accept()[0])
        self.listener.close()
        with gevent.Timeout(timeout_s, False):
            while self.unanswered:
                gevent.sleep(CLOSE_POLL_INTERVAL_S)

    def _start_serving(self, sock: gevent.socket.socket) -> None:
        self.unanswered += 1
        gevent.spawn(self._serve, sock)

    def _serve(self, sock: gevent.socket.socket) -> None:
        streaming = None
        self.callers += 1
        try:
            try:
                streaming = self._answer_caller(sock)
            finally:
                self.unanswered -= 1
            if streaming is None:
                discard_input(sock)
        except OSError as error:
            self.counters.add(f"management callers lost: {type(error).__name__}")
        finally:
            self.callers -= 1  # a subscriber is no longer counted as a caller
            try:
                if streaming is not None:
                    streaming(sock)
            finally:
                sock.close()

    def _answer_caller(self, sock: gevent.socket.socket) -> StreamingAnswer | None:
        """Read the one call of a connection and write its answer, or return the function that streams it.

        Raises OSError if the connection broke.
        """
        sock.settimeout(LINE_DEADLINE_S)
        if self.callers > MAX_CALLERS:
            sock.sendall(refusal(TooManyCallersError("too many callers")).encode("ascii", "replace"))
            return None
        try:
            # Without a timeout a caller that never completes its line would hold its descriptor and greenlet forever.
            with gevent.Timeout(LINE_DEADLINE_S):
                line = self._read_line(sock)
        except InvalidCallError as error:
            reply: str | StreamingAnswer = self._refuse_invalid(error)
        except gevent.Timeout:
            reply = self._refuse_invalid(InvalidCallError("the line did not come in time"))
        else:
            reply = self._reply(line)
        if callable(reply):
            return reply
        sock.settimeout(WRITE_TIMEOUT_S)
        sock.sendall(reply.encode("ascii", "replace"))
        return None

    @staticmethod
    def _read_line(sock: gevent.socket.socket) -> bytes:
        """Read the line of a call; raises `InvalidCallError` if it does not end."""
        buffer = Buffer()
        while (end := buffer.find(b"\n")) < 0:
            if len(buffer) > max_line_bytes(buffer.peek(0, 7)):
                raise InvalidCallError("the line is too long")
            if not buffer.fill(sock):
                raise InvalidCallError("the line did not end")
        return buffer.take(end + 1).rstrip(b"\r\n")

    def _reply(self, line: bytes) -> str | StreamingAnswer:
        """Carry out a call and return its answer."""
        try:
            call = parse_call(line)
        except InvalidCallError as error:
            return self._refuse_invalid(error)
        self.counters.add(f"management calls: {call.name}")
        try:
            with gevent.Timeout(ANSWER_DEADLINE_S, CallFailedError("the call took too long")):
                return self.answer(call)
        except CedarwickError as error:
            self.counters.add(f"management calls refused: {error.code}")
            return refusal(error)
        except Exception:  # a failed call must not stop the server, which must still answer STATUS
            self.counters.log_exception(f"the management call {call.name} failed")
            return refusal(CallFailedError("the call failed"))

    def _refuse_invalid(self, error: InvalidCallError) -> str:
        self.counters.warning("a management call that cannot be read", error)
        return refusal(error)


def refusal(error: CedarwickError) -> str:
    """Return the answer to a refused call: `NO`, the reason, the code and the remedy on one line."""
    return f"NO {error.line}\n"


def discard_input(sock: gevent.socket.socket) -> None:
    """Read and discard further input of a caller, within limits, before its connection is closed."""
    # Closing a socket with unread input sends a reset, which could discard the answer at the caller.
    sock.shutdown(gevent.socket.SHUT_WR)
    discarded = 0
    with gevent.Timeout(DISCARD_S, False):
        while discarded < MAX_DISCARDED_BYTES and (chunk := sock.recv(4096)):
            discarded += len(chunk)
