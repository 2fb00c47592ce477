"""Small stand-ins for clients, receivers and the platform, and the start of real senders. Standard library only.

Every address is a loopback address and every port is free at the start. Times in the record are seconds since the
start of the case.
"""

import json
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from typing import Any

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"
with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as _file:
    RUN = tomllib.load(_file)["run"]


class Record:
    """The file `record.txt`: what was sent, answered and run."""

    def __init__(self, folder: str) -> None:
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    def line(self, text: str, show: bool = False) -> None:
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()
        if show:
            print(text, flush=True)


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class Server:
    """A TCP server with one thread for each connection."""

    def __init__(self, port: int = 0) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, port))
        self.listener.listen(512)
        self.port = int(self.listener.getsockname()[1])
        self.connections: set[socket.socket] = set()
        self.open = True
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    def _accept(self) -> None:
        while self.open:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(sock)
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock: socket.socket) -> None:
        try:
            self.serve(sock)
        except (OSError, ValueError):
            pass
        finally:
            self.connections.discard(sock)
            sock.close()

    def serve(self, sock: socket.socket) -> None:
        raise NotImplementedError

    def close(self) -> None:
        self.open = False
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for sock in list(self.connections):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class HttpRequest:
    """One request: its first line, headers (names in lower case) and body."""

    def __init__(self, head: bytes, body: bytes) -> None:
        first, *lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = first.split(" ", 2)
        self.headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        self.body = body


def read_request(sock: socket.socket, data: bytearray) -> HttpRequest | None:
    """Read one HTTP request with a Content-Length; None at the end of the connection."""
    while (end := data.find(b"\r\n\r\n")) < 0:
        part = sock.recv(65536)
        if not part:
            return None
        data += part
    request = HttpRequest(bytes(data[:end]), b"")
    size = int(request.headers.get("content-length", "0"))
    while len(data) < end + 4 + size:
        part = sock.recv(65536)
        if not part:
            return None
        data += part
    request.body = bytes(data[end + 4 : end + 4 + size])
    del data[: end + 4 + size]
    return request


class Platform(Server):
    """Discovery (a watch of the whole list and its changes) and the address for notices."""

    def __init__(self, record: Record, targets: list[dict[str, Any]], name: str = "platform") -> None:
        self.record = record
        self.name = name
        self.targets = targets
        self.rev = 1
        self.changes: list[tuple[int, list[dict[str, Any]]]] = []
        self.changed = threading.Condition()
        self.notices: list[tuple[float, dict[str, Any]]] = []
        super().__init__()

    def change(self, *entries: dict[str, Any]) -> None:
        """Change entries of the list; every watch is sent them."""
        with self.changed:
            self.rev += 1
            for entry in entries:
                self.targets = [each for each in self.targets if each["uid"] != entry["uid"]]
                if entry["state"] != "removed":
                    self.targets.append(entry)
            self.changes.append((self.rev, list(entries)))
            self.changed.notify_all()
        self.record.line(f"{self.name}: list {self.rev} has the changes {json.dumps(entries)}")

    def serve(self, sock: socket.socket) -> None:
        data = bytearray()
        while (request := read_request(sock, data)) is not None:
            if request.method == "POST":
                for line in request.body.splitlines():
                    notice = json.loads(line)
                    self.notices.append((self.record.now(), notice))
                    self.record.line(f"{self.name}: notice {line.decode()}")
                sock.sendall(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")
                if request.headers.get("connection", "").lower() == "close":
                    return
            elif "follow=1" in request.target:
                self._watch(sock)
                return

    def _watch(self, sock: socket.socket) -> None:
        def chunk(data: bytes) -> bytes:
            return b"%x\r\n%s\r\n" % (len(data), data)

        self.record.line(f"{self.name}: a watch is opened")
        with self.changed:
            rev, targets = self.rev, list(self.targets)
        first = json.dumps({"rev": rev, "all": True, "targets": targets}).encode() + b"\n"
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(first)
        )
        while self.open:
            with self.changed:
                if self.rev == rev:
                    self.changed.wait(2.0)
                new = [each for each in self.changes if each[0] > rev]
            if not new:
                sock.sendall(chunk(b"\n"))
            for rev, entries in new:
                sock.sendall(chunk(json.dumps({"rev": rev, "all": False, "targets": entries}).encode() + b"\n"))


class Receiver(Server):
    """An endpoint: runs a call when its last byte has come, and answers it as `answer` says.

    `answer` is given the request and returns status, seconds until the answer, and further header lines; status 0
    is no answer at all.
    """

    def __init__(
        self,
        record: Record,
        uid: str,
        group: int,
        answer: Callable[[HttpRequest], tuple[int, float, str]] = lambda _: (200, 0.0, ""),
        port: int = 0,
    ) -> None:
        self.record, self.uid, self.group, self.answer = record, uid, group, answer
        self.calls: list[tuple[float, str, int]] = []  # when its last byte had come, the message's id, the status
        super().__init__(port)

    def entry(self, state: str = "up") -> dict[str, Any]:
        """The receiver's entry in the list."""
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": "hall-north",
            "model": "main-gateway",
            "pod_group": self.group,
            "state": state,
            "capacity_hint": 1000.0,
            "boot_ms": 0,
        }

    def serve(self, sock: socket.socket) -> None:
        data = bytearray()
        while (request := read_request(sock, data)) is not None:
            at, id = self.record.now(), request.headers.get("x-txn", "")
            status, after, extra = self.answer(request)
            self.calls.append((at, id, status))
            self.record.line(f"receiver {self.uid}: call {id}, answer {status or 'none'} after {after:.2f} s")
            if not status:
                while sock.recv(65536):
                    pass
                return
            if after:
                time.sleep(after)
            sock.sendall(f"HTTP/1.1 {status} X\r\n{extra}Content-Length: 0\r\n\r\n".encode())


class Client:
    """A client's connection to a sender."""

    def __init__(self, record: Record, address: tuple[str, int], name: str = "client") -> None:
        self.record, self.name = record, name
        self.sock = socket.create_connection(address, 2.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def call(self, *parts: str, within: float = 0.4) -> str:
        """Send one command; returns the line that answers it, or empty if none came in time."""
        request = b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(p.encode()), p.encode()) for p in parts)
        answer = b""
        try:
            self.sock.sendall(request)
            self.sock.settimeout(within)
            while not answer.endswith(b"\r\n"):
                part = self.sock.recv(4096)
                if not part:
                    break
                answer += part
        except OSError as error:
            self.record.line(f"{self.name}: {type(error).__name__}")
        return answer.decode("latin-1").strip()

    def submit(self, id: str, klass: str, ms: int, dest: int, key: str = "0", mark: str = "", body: str = "x") -> str:
        """Hand in one message; returns the answer."""
        pairs = f"c={klass},d={ms},dest={dest}" + (f",k={mark}" if mark else "")
        answer = self.call("SUBMIT", key, id, pairs, body)
        self.record.line(f"{self.name}: SUBMIT {key} {id} {pairs} -> {answer or 'no answer'}")
        return answer

    def close(self) -> None:
        self.sock.close()


def ping(address: tuple[str, int]) -> bool:
    """Whether the sender at an address answers PING with +PONG."""
    try:
        with socket.create_connection(address, 0.5) as sock:
            sock.settimeout(0.5)
            sock.sendall(b"*1\r\n$4\r\nPING\r\n")
            return sock.recv(64).startswith(b"+PONG")
    except OSError:
        return False


def manage(record: Record, port: int, line: str, within: float = 1.0) -> str:
    """One call to a management address; returns its first line, empty if there was none."""
    answer = b""
    try:
        with socket.create_connection((HOST, port), within) as sock:
            sock.settimeout(within)
            sock.sendall(line.encode() + b"\n")
            while b"\n" not in answer and (part := sock.recv(65536)):
                answer += part
    except OSError:
        pass
    text = answer.decode("latin-1").split("\n")[0]
    record.line(f"management call at {port}: {line} -> {text or 'no answer'}")
    return text


def settings(**rules: float) -> dict[str, Any]:
    """Settings like those of a small deployment: three classes, one for each effect."""
    return {
        "balancers": 2,
        "zones": ["hall-north", "hall-south"],
        "kinds": ["main-gateway", "client-hook"],
        "discovery": "push",
        "resolution-ms": 5.0,
        "locality": 0,
        "weight-source": "off",
        "classes": [
            class_settings("record", "guarded", 8000.0),
            class_settings("status", "free", 8000.0),
            class_settings("pay", "single_shot", 8000.0),
        ],
        "family-info": {"max-calls": 25, "per-call": [1, 1], "late": "even", "kind-apart": [False, False]},
        "policy-limits": {
            "conn-idle-ms": 5000.0,
            "connect-timeout-ms": 1500.0,
            "max-open": 225,
            "most-tries": 12,
            "retry-after": False,
        },
        "report": {"columns": ["x0", "x1"], "how": "inline"},
        "rules": {
            "answer-slack-ms": 20.0,
            "ask-within-ms": 10000.0,
            "cold-share": 0.31,
            "drain-grace-ms": 1000.0,
            "fall-ms": 2000.0,
            "fall-multiple": 1.5,
            "ramp-time-ms": 10000.0,
            **rules,
        },
    }


def class_settings(name: str, repeat: str, deadline_ms: float) -> dict[str, Any]:
    """The settings of one class."""
    return {
        "name": name,
        "repeat": repeat,
        "slo-ms": 3000.0,
        "deadline-ms": deadline_ms,
        "worth": 1.0,
        "late-worth": 0.5,
        "dedup-window-ms": 8000.0,
        "group": "all",
    }


class Sender:
    """A sender's configuration, state folder and address; `start` runs the deploy file's command `run`."""

    def __init__(self, record: Record, folder: str, name: str, discovery: str, known: Any, **changes: Any) -> None:
        self.record, self.name = record, name
        self.folder = os.path.join(folder, name)
        self.state, self.tmp = os.path.join(self.folder, "state"), os.path.join(self.folder, "tmp")
        os.makedirs(self.state)
        os.makedirs(self.tmp)
        self.address = (HOST, free_port())
        self.config: dict[str, Any] = {
            "name": name,
            "listen": f"{HOST}:{self.address[1]}",
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 3},
            "settings": settings(),
            **changes,
        }
        if known is not None:
            self.config["known"] = known
        self.processes: list[subprocess.Popen[bytes]] = []
        self.write()

    def write(self) -> None:
        """Write the configuration file, as a whole."""
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.replace(path + ".new", path)

    def start(self, fds: tuple[int, ...] = (), **variables: str) -> subprocess.Popen[bytes]:
        """Start a process of this sender."""
        environment = {
            name: value for name, value in os.environ.items() if not name.startswith(("RELAY_", "CEDARWICK"))
        }
        environment |= {
            "RELAY_CONFIG": os.path.join(self.folder, "config.json"),
            "RELAY_STATE": self.state,
            "TMPDIR": self.tmp,
            **variables,
        }
        log = open(os.path.join(self.folder, f"log{len(self.processes)}"), "wb")
        process = subprocess.Popen(
            ["/bin/sh", "-c", RUN], cwd=ROOT, env=environment, stdout=log, stderr=log, pass_fds=fds
        )
        self.processes.append(process)
        self.record.line(f"{self.name}: process {len(self.processes)} is started")
        return process

    def hold_socket(self) -> socket.socket:
        """Hold the clients' listening socket, as the platform does where processes are replaced."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((HOST, 0))
        listener.listen(256)
        self.address = listener.getsockname()
        self.config["listen"] = f"{HOST}:{self.address[1]}"
        self.write()
        self.held = listener
        return listener

    def start_on_socket(self) -> tuple[subprocess.Popen[bytes], int]:
        """Start a process on the held socket; returns it and the port of its management address."""
        port, fd = free_port(), self.held.fileno()
        return self.start((fd,), RELAY_SOCKET_FD=str(fd), RELAY_MANAGEMENT=f"{HOST}:{port}"), port

    def replace(self, process: subprocess.Popen[bytes], port: int, within: float = 6.0) -> bool:
        """The platform's part of a replacement: at the new one's yes SIGTERM to the old process; False without it."""
        until = time.monotonic() + within
        while not manage(self.record, port, "STATUS").startswith("YES"):
            if time.monotonic() > until:
                return False
            time.sleep(0.05)
        self.signal(process, signal.SIGTERM)
        threading.Thread(target=self._kill_late, args=(process,), daemon=True).start()
        return True

    def _kill_late(self, process: subprocess.Popen[bytes]) -> None:
        try:
            process.wait(3.7)
            self.record.line(f"{self.name}: process {self.processes.index(process) + 1} has ended")
        except subprocess.TimeoutExpired:
            self.signal(process, signal.SIGKILL)

    def signal(self, process: subprocess.Popen[bytes], number: signal.Signals) -> None:
        """Send a signal to a process that this case started."""
        self.record.line(f"{self.name}: {number.name} to process {self.processes.index(process) + 1}")
        process.send_signal(number)

    def wait_ready(self, within: float = 10.0) -> bool:
        """Wait until PING is answered with +PONG."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            if ping(self.address):
                self.record.line(f"{self.name}: +PONG")
                return True
            time.sleep(0.05)
        return False

    def logs(self) -> None:
        """Copy the logs of all processes into the record."""
        for index in range(len(self.processes)):
            with open(os.path.join(self.folder, f"log{index}"), encoding="utf-8", errors="replace") as file:
                for line in file.read().splitlines()[-60:]:
                    self.record.line(f"{self.name}: log of process {index + 1}: {line[:400]}")

    def end(self) -> None:
        """Kill all processes of this sender that still run."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    """A folder that is deleted at the end of the case."""
    return tempfile.TemporaryDirectory(prefix="cedarwick-review-", ignore_cleanup_errors=True)


def trouble() -> bool:
    """Whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"
