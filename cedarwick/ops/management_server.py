"""The server of the management address: one greenlet for each caller, with a limited line length and a deadline.

Started by `program.py`. Constants that end in `_S` are in seconds.
"""

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
LATE_ANSWER_S = 0.1  # to write the refusal of an incomplete line
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
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                self.counters.warning("accepting a management call failed", error)
                gevent.sleep(ACCEPT_RETRY_S)
                continue
            gevent.spawn(self._serve, sock)

    def _serve(self, sock: gevent.socket.socket) -> None:
        streaming = None
        self.callers += 1
        try:
            # Without a timeout a caller that never completes its line would hold its descriptor and greenlet forever.
            sock.settimeout(LINE_DEADLINE_S)
            if self.callers > MAX_CALLERS:
                sock.sendall(refusal(TooManyCallersError("too many callers")).encode("ascii", "replace"))
                return
            with gevent.Timeout(LINE_DEADLINE_S):
                reply = self._reply(sock)
            if callable(reply):
                streaming = reply  # a subscriber is no longer counted as a caller
                return
            sock.sendall(reply.encode("ascii", "replace"))
            discard_input(sock)
        except gevent.Timeout:
            late_line = InvalidCallError("the line did not come in time")
            self.counters.warning("a management call that cannot be read", late_line)
            with gevent.Timeout(LATE_ANSWER_S, False):
                sock.sendall(refusal(late_line).encode("ascii", "replace"))
        except OSError as error:
            self.counters.add(f"management callers lost: {type(error).__name__}")
        finally:
            self.callers -= 1
            try:
                if streaming is not None:
                    streaming(sock)
            finally:
                sock.close()

    def _reply(self, sock: gevent.socket.socket) -> str | StreamingAnswer:
        """Read the one call of this connection and return its answer."""
        buffer = Buffer()
        while (end := buffer.find(b"\n")) < 0:
            if len(buffer) > max_line_bytes(buffer.peek(0, 7)):
                return self._refuse_invalid(InvalidCallError("the line is too long"))
            if not buffer.fill(sock):
                return self._refuse_invalid(InvalidCallError("the line did not end"))
        line = buffer.take(end + 1).rstrip(b"\r\n")
        try:
            call = parse_call(line)
        except InvalidCallError as error:
            return self._refuse_invalid(error)
        self.counters.add(f"management calls: {call.name}")
        try:
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
