"""The management address: one greenlet a caller, each with a bounded line and a deadline."""

from collections.abc import Callable

import gevent
import gevent.socket

from cedarwick.errors import CedarwickError
from cedarwick.net.buffer import Buffer
from cedarwick.net.counters import Counters
from cedarwick.ops.commands import Call, InvalidCallError, most, parse
from cedarwick.ops.management import Talk

DEADLINE = 2.0  # seconds in which a caller must finish its line; a few connect and say nothing for 4 s
MOST_CALLERS = 64  # connections at once; those beyond are answered NO and closed, so none holds up STATUS
BACKLOG = 64
LINGER, WASTED = 0.5, 1 << 16  # at most so long and so many bytes are read after the answer

# The answer to a call: a line beginning with YES or NO, figures ending in END, or what goes on talking.
Answer = Callable[[Call], str | Talk]


class TooManyCallersError(CedarwickError):
    """As many callers as may be are connected to the management address."""

    code = "CW404"
    remedy = "call again in 2 s; find out who keeps connections to the management address open"


class CallFailedError(CedarwickError):
    """A management call met an error in the program; the sender goes on."""

    code = "CW405"
    remedy = "see the sender's log for the trace, and report it"


class Management:
    """Listens where the operators' staff call; answers from its own greenlets, never through the dispatcher's queue."""

    def __init__(self, where: tuple[str, int], counters: Counters, answer: Answer) -> None:
        self.counters = counters
        self.answer = answer
        self.callers = 0
        self.listener = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_STREAM)
        try:
            self.listener.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_REUSEADDR, 1)
            self.listener.bind(where)
            self.listener.listen(BACKLOG)
        except OSError:
            self.listener.close()
            raise

    def serve(self) -> None:
        """Never returns: accepts callers."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                self.counters.trouble("accepting a management call failed", error)
                gevent.sleep(0.02)
                continue
            gevent.spawn(self._serve, sock)

    def _serve(self, sock: gevent.socket.socket) -> None:
        talk = None
        self.callers += 1
        try:
            # Danger: a caller that never finishes its line would hold its descriptor and greenlet for ever.
            sock.settimeout(DEADLINE)
            if self.callers > MOST_CALLERS:
                sock.sendall(refusal(TooManyCallersError("too many callers")).encode("ascii", "replace"))
                return
            with gevent.Timeout(DEADLINE):
                reply = self._reply(sock)
            if callable(reply):
                talk = reply  # one that stays is no caller any more
                return
            sock.sendall(reply.encode("ascii", "replace"))
            read_out(sock)
        except gevent.Timeout:
            late = InvalidCallError("the line did not come in time")
            self.counters.trouble("a management call that cannot be read", late)
            with gevent.Timeout(0.1, False):
                sock.sendall(refusal(late).encode("ascii", "replace"))
        except OSError as error:
            self.counters.add(f"management callers lost: {type(error).__name__}")
        finally:
            self.callers -= 1
            try:
                if talk is not None:
                    talk(sock)
            finally:
                sock.close()

    def _reply(self, sock: gevent.socket.socket) -> str | Talk:
        """The answer to the one line of this connection."""
        buffer = Buffer()
        while (end := buffer.find(b"\n")) < 0:
            if len(buffer) > most(buffer.peek(0, 7)):
                return self._unread(InvalidCallError("the line is too long"))
            if not buffer.fill(sock):
                return self._unread(InvalidCallError("the line did not end"))
        line = buffer.take(end + 1).rstrip(b"\r\n")
        try:
            call = parse(line)
        except InvalidCallError as error:
            return self._unread(error)
        self.counters.add(f"management calls: {call.name}")
        try:
            return self.answer(call)
        except CedarwickError as error:
            self.counters.add(f"management calls refused: {error.code}")
            return refusal(error)
        except Exception:  # one failing call must not end the address: STATUS is still owed to others
            self.counters.failed(f"the management call {call.name} failed")
            return refusal(CallFailedError("the call failed"))

    def _unread(self, error: InvalidCallError) -> str:
        self.counters.trouble("a management call that cannot be read", error)
        return refusal(error)


def refusal(error: CedarwickError) -> str:
    """The answer to a call that is refused: `NO`, the reason, code and remedy, on one line."""
    return f"NO {error.line}\n"


def read_out(sock: gevent.socket.socket) -> None:
    """Danger: a close with unread input is a reset, and the caller would lose its answer; read a little on."""
    sock.shutdown(gevent.socket.SHUT_WR)
    wasted = 0
    with gevent.Timeout(LINGER, False):
        while wasted < WASTED and (got := sock.recv(4096)):
            wasted += len(got)
