"""Test fixtures: decision states, fake receivers and a fake platform, and the program as a subprocess."""

import contextlib
import http.server
import json
import os
import queue
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from collections import deque
from collections.abc import Callable
from typing import Any

from cedarwick.decisions.interface import EndpointState, EndpointUpdate, ListedEndpoint, Outcome
from cedarwick.decisions.message_handle import Handle
from cedarwick.decisions.policy import Sender
from cedarwick.lab.listeners import ReservedPort
from cedarwick.net.assignment import Assignment, flatten_settings
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.notifications import Notifier
from cedarwick.net.sockets import PollClock
from cedarwick.store.journal import Store

MS = 1000  # microseconds
SETTINGS = {
    "classes.count": "3",
    "balancers": "2",
    "resolution-ms": "5.0",
    "locality": "0",
    "classes.0.repeat": "free",
    "classes.0.slo-ms": "2000",
    "classes.0.deadline-ms": "16000",
    "classes.1.repeat": "guarded",
    "classes.1.slo-ms": "2000",
    "classes.1.deadline-ms": "16000",
    "classes.1.dedup-window-ms": "6000",
    "classes.1.group": "all",
    "classes.1.in-turn": "true",
    "classes.2.repeat": "single_shot",
    "classes.2.slo-ms": "2000",
    "classes.2.deadline-ms": "16000",
    "family-info.max-calls": "10",
    "family-info.per-call": "1,20",
    "family-info.kind-apart": "false,true",
    "policy-limits.most-tries": "6",
    "policy-limits.max-open": "100",
    "rules.turn-gap-ms": "300",
    "rules.cold-share": "0.25",
    "rules.ramp-time-ms": "10000",
    "rules.fall-multiple": "1.5",
    "rules.fall-ms": "2000",
}
NOW = 1_000_000_000  # microseconds
FREE, GUARDED, AT_MOST_ONCE = 0, 1, 2  # indexes of the priority classes in SETTINGS


def make_sender(receivers: int = 1, kind: int = 0, rate: float = 0.0, **settings: str) -> Sender:
    """Create a sender whose destination 7 has receivers 1, 2, ...; two underscores in a setting stand for a dot."""
    overrides = {name.replace("__", ".").replace("_", "-"): value for name, value in settings.items()}
    decisions = Sender({**SETTINGS, **overrides}, 5, NOW)
    listings = [ListedEndpoint(1 + n, 0, kind, 7, EndpointState.READY, rate) for n in range(receivers)]
    decisions.apply_endpoint_list(NOW, EndpointUpdate.CACHED, listings)
    return decisions


def accept_message(decisions: Sender, message: int, priority_class: int = FREE, key: int = 0, now: int = NOW) -> Handle:
    """Accept a message for destination 7."""
    return decisions.accept(now, message, 7, priority_class, now + 16_000 * MS, 0, key)


def start_attempt(decisions: Sender, message: int, priority_class: int = FREE, key: int = 0, now: int = NOW) -> Handle:
    """Accept a message and start its first attempt."""
    handle = accept_message(decisions, message, priority_class, key, now)
    decisions.decide(now)
    return handle


def end_attempt(handle: Handle, outcome: Outcome, now: int, retry_after: int = 0, receiver: int = 1) -> None:
    """Report the outcome of the last attempt of a message."""
    last = outcome is Outcome.COMPLETED
    handle.attempt_ended(now, outcome, handle.attempts - 1, receiver, 100 * MS, retry_after, last, ())


# ---- fake receivers and platform, and the program as a subprocess ----

NESTED_SETTINGS = {
    "balancers": 1,
    "zones": ["here"],
    "kinds": ["plain"],
    "discovery": "push",
    "resolution-ms": 5.0,
    "classes": [
        {"name": "free", "repeat": "free", "slo-ms": 2000.0, "deadline-ms": 16000.0, "worth": 1.0},
        {"name": "once", "repeat": "single_shot", "slo-ms": 2000.0, "deadline-ms": 16000.0, "worth": 4.0},
    ],
    "realms": [{"name": "first"}, {"name": "second"}],
    "family-info": {"max-calls": 8, "per-call": [20], "kind-apart": [False]},
    "policy-limits": {"most-tries": 6, "max-open": 100, "conn-idle-ms": 5000.0, "connect-timeout-ms": 500.0},
    "report": {"columns": ["x0", "x1"]},
}


def make_dispatcher(case: unittest.TestCase, settings: dict[str, Any]) -> tuple[Assignment, Store, Dispatcher]:
    """Create a dispatcher with a folder of its own and one receiver at destination 0, but no attempts or clients."""
    folder = tempfile.TemporaryDirectory()
    case.addCleanup(folder.cleanup)
    clock = Clock()
    store = Store(folder.name, 120_000, now=clock.now)
    store.load()
    case.addCleanup(store.close)
    config = Assignment("n", ("", 0), ("", 0), "", 1, 64, 100_000, {}, flatten_settings(settings))
    dispatcher = Dispatcher(config, clock, Counters(), store, PollClock(clock))
    dispatcher.notices = Notifier(("", 0), Counters(), lambda numbers: None)
    dispatcher.release_connections = lambda receiver: None
    dispatcher._apply_endpoint_update(EndpointUpdate.CACHED, [ListedEndpoint(1, 0, 0, 0, EndpointState.READY, 0.0)])
    return config, store, dispatcher


MAX_RESERVED_PORTS = 64  # the program listens on a port long before this many later ones are reserved
RESERVED_PORTS: deque[ReservedPort] = deque()


def free_port() -> int:
    """Return a free port of 127.0.0.1, reserved so that no other socket gets it before the program listens on it."""
    RESERVED_PORTS.append(ReservedPort("127.0.0.1"))
    if len(RESERVED_PORTS) > MAX_RESERVED_PORTS:
        RESERVED_PORTS.popleft().release()
    return RESERVED_PORTS[-1].number


def wait_for_condition(condition: Callable[[], Any], timeout_s: float = 8.0) -> Any:
    """Poll the condition until its result is true, and return the result; fail the test after a timeout."""
    deadline = time.monotonic() + timeout_s
    while not (result := condition()):
        if time.monotonic() > deadline:
            raise AssertionError("the condition did not become true in time")
        time.sleep(0.01)
    return result


Answering = bytes | None | Callable[[int], bytes | None]


class Receiver:
    """A partner's endpoint that records calls and answers with fixed bytes or by call number; None: no answer."""

    def __init__(self, answer: Answering) -> None:
        self.answer = answer
        self.calls: list[tuple[float, bytes, bytes]] = []  # monotonic time, head, body
        self.connections = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = int(self.listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Refuse connections from now on."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)  # a close alone does not end a blocked accept
        self.listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, sock.makefile("rb") as stream, contextlib.suppress(OSError):
            while line := stream.readline():
                head = line
                while line not in (b"\r\n", b""):
                    line = stream.readline()
                    head += line
                size = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
                self.calls.append((time.monotonic(), head, stream.read(size)))
                reply = self.answer(len(self.calls)) if callable(self.answer) else self.answer
                if reply is None:
                    continue  # accepts the call without an answer
                sock.sendall(reply)
                if b"connection: close" in reply.lower():
                    return


def reply(status: int, *lines: str, body: bytes = b"") -> bytes:
    """Build an HTTP answer with further header lines."""
    head = "\r\n".join([f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *lines])
    return head.encode() + b"\r\n\r\n" + body


class Platform(http.server.ThreadingHTTPServer):
    """A fake platform: serves the endpoint list and its watch, and accepts the notices posted to `/status`."""

    daemon_threads = True

    def __init__(self, targets: list[dict[str, Any]]) -> None:
        super().__init__(("127.0.0.1", 0), PlatformCall)
        self.list_updates: queue.Queue[dict[str, Any]] = queue.Queue()
        self.targets = targets
        self.notices: list[dict[str, Any]] = []
        self.watches = 0
        self.holds_watches = False  # keeps watches open without sending anything after their first line
        self.posts = 0
        self.holds_posts = False  # keeps posts open without an answer
        self.posts_to_refuse = 0  # number of posts to answer with 500 first
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()


class PlatformCall(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: Platform

    def do_GET(self) -> None:  # noqa: N802 (required by http.server)
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self.server.watches += 1
        list_update: dict[str, Any] | None = {"rev": 1, "all": True, "targets": self.server.targets}
        with contextlib.suppress(OSError):
            while True:
                line = json.dumps(list_update).encode() + b"\n" if list_update else b"\n"
                self.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))
                while self.server.holds_watches:
                    time.sleep(0.1)
                try:
                    list_update = self.server.list_updates.get(timeout=0.5)
                except queue.Empty:
                    list_update = None

    def do_POST(self) -> None:  # noqa: N802
        body = self.rfile.read(int(self.headers["Content-Length"]))
        self.server.posts += 1
        while self.server.holds_posts:
            time.sleep(0.1)
        self.server.posts_to_refuse -= 1
        accepted = self.server.posts_to_refuse < 0
        if accepted:
            self.server.notices += [json.loads(line) for line in body.splitlines()]
        self.send_response(204 if accepted else 500)
        if not accepted:
            self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_: object) -> None:
        pass


class Program:
    """Runs `python -m cedarwick`; its state folder outlives the processes."""

    def __init__(self, receivers: list[Receiver], **limits: float) -> None:
        self.receivers = receivers
        self.platform = Platform([self.target(index) for index in range(len(receivers))])
        self.folder = tempfile.TemporaryDirectory()
        self.reserved = ReservedPort("127.0.0.1")
        self.port = self.reserved.number
        self.process: subprocess.Popen[str] | None = None
        self.command = ("-m", "cedarwick")  # arguments of the interpreter
        platform = f"127.0.0.1:{self.platform.server_address[1]}"
        self.configuration: dict[str, Any] = {
            "name": "t0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": platform,
            "seed": "1f",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3, **limits},
            "known": {"rev": 0, "all": True, "targets": []},
            "settings": NESTED_SETTINGS,
        }
        os.mkdir(self.path("state"))
        self.configure()

    def configure(self, **changes: Any) -> None:
        """Write the configuration with these changes."""
        self.configuration.update(changes)
        with open(self.path("config.json"), "w", encoding="utf-8") as file:
            json.dump(self.configuration, file)

    def path(self, name: str) -> str:
        return os.path.join(self.folder.name, name)

    def target(self, index: int, state: str = "up") -> dict[str, Any]:
        return {
            "uid": f"s-{index}",
            "endpoint": f"127.0.0.1:{self.receivers[index].port}",
            "az": "here",
            "model": "plain",
            "pod_group": index,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    def start(self, fds: tuple[int, ...] = (), **variables: str) -> None:
        self.process = self.spawn(fds, **variables)
        try:
            wait_for_condition(self._ready)
        except AssertionError as error:
            if self.process.poll() is None:
                raise AssertionError(f"{error}: the program runs, but does not answer +PONG") from None
            raise AssertionError(f"{error}: the program exited: {self.process.communicate()[1]}") from None

    def spawn(self, fds: tuple[int, ...] = (), **variables: str) -> "subprocess.Popen[str]":
        """Start another process of this sender, which inherits these descriptors."""
        environment = {
            **os.environ,
            "RELAY_CONFIG": self.path("config.json"),
            "RELAY_STATE": self.path("state"),
            **variables,
        }
        return subprocess.Popen(
            [sys.executable, *self.command],
            env=environment,
            pass_fds=fds,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )

    def _ready(self) -> bool:
        try:
            with self.connect() as sock:
                return send_command(sock, b"PING") == b"+PONG\r\n"
        except OSError:
            return False

    def connect(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.port), 5)

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        assert self.process is not None
        self.process.kill()
        self.process.communicate()

    def terminate(self) -> tuple[int, str]:
        """Stop the process with SIGTERM and return its exit status and log."""
        assert self.process is not None
        self.process.terminate()
        log = self.process.communicate(timeout=10)[1]
        return self.process.returncode, log

    def close(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.kill()
        self.platform.shutdown()
        self.platform.server_close()
        for receiver in self.receivers:
            receiver.close()
        self.reserved.release()
        self.folder.cleanup()


def encode_command(*parts: bytes) -> bytes:
    """Encode a RESP2 command."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


def encode_submit(
    message: str, priority_class: str = "free", d: int = 8000, dest: int = 0, body: bytes = b"x"
) -> bytes:
    """Encode a SUBMIT command; `d` is the time until the deadline in milliseconds."""
    pairs = f"c={priority_class},d={d},dest={dest}".encode()
    return encode_command(b"SUBMIT", b"0000000000000000", message.encode(), pairs, body)


def read_line(sock: socket.socket) -> bytes:
    """Read up to the end of the line or of the connection."""
    line = b""
    while not line.endswith(b"\n") and (byte := sock.recv(1)):
        line += byte
    return line


def send_command(sock: socket.socket, *parts: bytes) -> bytes:
    """Send a RESP2 command and return the first line of its answer."""
    sock.sendall(encode_command(*parts))
    return read_line(sock)
