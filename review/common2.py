"""Stand-ins and helpers of the cases 6 to 10: a platform, receivers, a client, and the start of real senders.

Standard library only. All listeners are on 127.0.0.1. The stand-ins follow the protocol page: the platform answers
`GET /catalog/members` (whole list, or a watch with an empty line every 2 s) and `POST /status` (204 at once), receivers
answer `POST /receive`, clients speak RESP2. Times in the record are seconds since the start of the script.
"""

import json
import math
import os
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from typing import Any

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED = time.monotonic()
HOST = "127.0.0.1"


class CannotRunError(Exception):
    """The case could not be played; the script ends with 2."""


def now() -> float:
    """Return seconds since the start of the script."""
    return time.monotonic() - STARTED


class Record:
    """What was sent, answered and run, in the order of events; written to `record.txt` in the folder of the case."""

    def __init__(self) -> None:
        self.lines: list[tuple[float, str]] = []
        self.lock = threading.Lock()

    def add(self, text: str) -> float:
        """Record one event; return its time."""
        at = now()
        with self.lock:
            self.lines.append((at, text))
        return at

    def write(self, folder: str) -> None:
        """Write all lines."""
        with self.lock, open(os.path.join(folder, "record.txt"), "w", encoding="utf-8") as file:
            for at, text in sorted(self.lines, key=lambda line: line[0]):
                file.write(f"{at:9.3f} {text}\n")


RECORD = Record()


def listening_socket() -> socket.socket:
    """Return a socket that listens on a free port of the loopback address."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    sock.listen(256)
    return sock


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def read_head(sock: socket.socket, buffer: bytearray) -> tuple[float, list[str]] | None:
    """Read the head of an HTTP request; return when its first byte came, and its lines. None at the end."""
    first = now() if buffer else 0.0
    while b"\r\n\r\n" not in buffer:
        data = sock.recv(65536)
        if not data:
            return None
        first = first or now()
        buffer += data
    end = buffer.index(b"\r\n\r\n")
    lines = buffer[:end].decode("latin-1").split("\r\n")
    del buffer[: end + 4]
    return first, lines


def header(lines: list[str], name: str) -> str:
    """Return the value of a header field; empty without it."""
    for line in lines[1:]:
        field, _, value = line.partition(":")
        if field.strip().lower() == name:
            return value.strip()
    return ""


def read_body(sock: socket.socket, buffer: bytearray, size: int) -> bytes:
    """Read a body of a known size."""
    while len(buffer) < size:
        data = sock.recv(65536)
        if not data:
            raise ConnectionError
        buffer += data
    body = bytes(buffer[:size])
    del buffer[:size]
    return body


class Server:
    """Accepts connections and serves each in a thread."""

    def __init__(self) -> None:
        self.sock = listening_socket()
        self.port = int(self.sock.getsockname()[1])
        self.address = f"{HOST}:{self.port}"
        self.connections: set[socket.socket] = set()
        self.lock = threading.Lock()
        threading.Thread(target=self._accept, args=(self.sock,), daemon=True).start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            with self.lock:
                self.connections.add(sock)
            threading.Thread(target=self._guarded, args=(sock,), daemon=True).start()

    def _guarded(self, sock: socket.socket) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.serve(sock)
        except OSError:
            pass
        finally:
            with self.lock:
                self.connections.discard(sock)
            sock.close()

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def stop(self) -> None:
        """End as a process does: refuse new connections, reset the open ones."""
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        with self.lock:
            for sock in self.connections:
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def start_again(self) -> None:
        """Listen again on the same port."""
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((HOST, self.port))
        self.sock.listen(256)
        threading.Thread(target=self._accept, args=(self.sock,), daemon=True).start()


class Platform(Server):
    """The agent of one sender: its list with a version, watches on it, and the notices."""

    def __init__(self, name: str, rev: int, targets: list[dict[str, Any]]) -> None:
        self.name = name
        self.rev = rev
        self.targets = {each["uid"]: dict(each) for each in targets}
        self.changes: list[tuple[int, list[dict[str, Any]]]] = []
        self.silent = False  # discovery is down: the agent says nothing; notices are still answered
        self.changed = threading.Condition()
        self.notices: list[tuple[float, dict[str, Any]]] = []
        super().__init__()

    def whole(self) -> dict[str, Any]:
        """Return the whole list as one object."""
        return {"rev": self.rev, "all": True, "targets": list(self.targets.values())}

    def change(self, *entries: dict[str, Any]) -> float:
        """Apply changed entries as the next version; return when they were told to the open watches."""
        with self.changed:
            self.rev += 1
            for entry in entries:
                if entry["state"] == "removed":
                    self.targets.pop(entry["uid"], None)
                else:
                    self.targets[entry["uid"]] = dict(entry)
            self.changes.append((self.rev, [dict(each) for each in entries]))
            self.changed.notify_all()
        text = ", ".join(f"{each['uid']} {each['state']}" for each in entries)
        return RECORD.add(f"platform {self.name}: version {self.rev}: {text}")

    def end_watches(self) -> None:
        """Close the open connections; the next watch gets the whole list."""
        with self.lock:
            for sock in self.connections:
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection."""
        buffer = bytearray()
        while (head := read_head(sock, buffer)) is not None:
            _, lines = head
            method, target, _ = lines[0].split(" ")
            body = read_body(sock, buffer, int(header(lines, "content-length") or 0))
            if method == "POST" and target == "/status":
                for line in body.splitlines():
                    notice = json.loads(line)
                    at = RECORD.add(f"platform {self.name}: notice {json.dumps(notice)}")
                    self.notices.append((at, notice))
                sock.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
                if header(lines, "connection").lower() == "close":
                    return
            elif "follow=1" in target:
                self._watch(sock, int(target.partition("since=")[2].split("&")[0] or 0))
                return
            else:
                text = json.dumps(self.whole()).encode()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)

    def _watch(self, sock: socket.socket, since: int) -> None:
        RECORD.add(f"platform {self.name}: a watch since version {since}{' gets no answer' if self.silent else ''}")
        with self.changed:
            while self.silent:
                self.changed.wait(0.1)
            first = self.whole() if since < self.rev else None
            told = self.rev
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

        def write(text: bytes) -> None:
            sock.sendall(b"%x\r\n%s\r\n" % (len(text), text))

        if first is not None:
            RECORD.add(f"platform {self.name}: the whole list, version {told}: {', '.join(self._states(first))}")
        write(json.dumps(first).encode() + b"\n" if first is not None else b"\n")
        next_empty = time.monotonic() + 2
        while True:
            with self.changed:
                if not any(rev > told for rev, _ in self.changes) or self.silent:
                    self.changed.wait(max(0.0, min(0.1, next_empty - time.monotonic())))
                if self.silent:
                    next_empty = time.monotonic()
                    continue
                news = [(rev, entries) for rev, entries in self.changes if rev > told]
            for rev, entries in news:
                write(json.dumps({"rev": rev, "all": False, "targets": entries}).encode() + b"\n")
                told = rev
            if time.monotonic() >= next_empty:
                write(b"\n")
                next_empty = time.monotonic() + 2

    @staticmethod
    def _states(listing: dict[str, Any]) -> list[str]:
        return [f"{each['uid']} {each['state']}" for each in listing["targets"]]


class Receiver(Server):
    """One endpoint of a partner; `answer` decides on each call."""

    def __init__(self, uid: str, destination: int, kind: str = "plain", answer: Any = None, hint: float = 0.0) -> None:
        self.uid, self.destination, self.kind, self.hint = uid, destination, kind, hint
        # Returns the status, the time until the answer in seconds, and further header lines.
        self.answer: Callable[["Receiver", str], tuple[int, float, str]] = answer or (lambda *_: (200, 0.05, ""))
        self.calls: list[tuple[float, float, str]] = []  # first byte, last byte, id
        self.statuses: list[tuple[float, str, int]] = []
        self.out: list[list[Any]] = []  # each call: its last byte, its answer or the end of its connection, the id
        super().__init__()

    @staticmethod
    def _wait(sock: socket.socket, seconds: float) -> bool:
        """Wait; return False once the caller has closed the connection or ended its sending."""
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            if select.select([sock], [], [], left)[0]:
                if not sock.recv(1, socket.MSG_PEEK):
                    return False
                time.sleep(min(left, 0.01))
        return True

    def entry(self, state: str = "up") -> dict[str, Any]:
        """Return its line of the list."""
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": "hall-a",
            "model": self.kind,
            "pod_group": self.destination,
            "state": state,
            "capacity_hint": self.hint,
            "boot_ms": 0,
        }

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection."""
        buffer = bytearray()
        while (head := read_head(sock, buffer)) is not None:
            first, lines = head
            read_body(sock, buffer, int(header(lines, "content-length") or 0))
            message = header(lines, "x-txn")
            last = RECORD.add(f"receiver {self.uid}: call of {message}")
            self.calls.append((first, last, message))
            status, delay, fields = self.answer(self, message)
            call = [last, math.inf, message]
            self.out.append(call)
            if not self._wait(sock, delay):
                call[1] = RECORD.add(f"receiver {self.uid}: the call of {message} is given up by its sender")
                return
            call[1] = now()
            sock.sendall(f"HTTP/1.1 {status} X\r\n{fields}Content-Length: 0\r\n\r\n".encode())
            self.statuses.append((RECORD.add(f"receiver {self.uid}: {status} to {message}"), message, status))


class Client:
    """A client with one connection; a request gets its answer within 400 ms or the connection is closed."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.sock: socket.socket | None = None

    def ask(self, *parts: str) -> str:
        """Send one command and return the answer's line; empty if there was none."""
        if self.sock is None:
            try:
                self.sock = socket.create_connection((HOST, self.port), 0.4)
            except OSError:
                return ""
        text = b"*%d\r\n" % len(parts)
        for part in parts:
            text += b"$%d\r\n%s\r\n" % (len(part), part.encode())
        line = b""
        try:
            self.sock.settimeout(0.4)
            self.sock.sendall(text)
            while not line.endswith(b"\r\n"):
                data = self.sock.recv(256)
                if not data:
                    break
                line += data
        except OSError:
            pass
        if not line.endswith(b"\r\n"):
            self.close()
            return ""
        return line.decode().strip()

    def submit(self, message: str, fields: str, key: str = "0000000000000000", body: str = "body") -> str:
        """Hand in one message; a request that met a closing connection goes once more on a new one."""
        answer = self.ask("SUBMIT", key, message, fields, body)
        RECORD.add(f"client: {message} {fields} key {key}: {answer or 'no answer'}")
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self.sock is not None:
            self.sock.close()
        self.sock = None


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment of one sender."""
    made: dict[str, Any] = {
        "balancers": 1,
        "me": 0,
        "zones": ["hall-a"],
        "kinds": ["plain"],
        "discovery": "push",
        "resolution-ms": 5.0,
        "locality": 0,
        "weight-source": "off",
        "realms": [],
        "classes": [
            {"name": "status", "repeat": "free", "slo-ms": 3000.0, "deadline-ms": 16000.0, "worth": 1.0,
             "late-worth": 0.5, "dedup-window-ms": 5000.0, "group": "all"},
        ],
        "family-info": {"max-calls": 24, "per-call": [1], "kind-apart": [False], "late": "even"},
        "policy-limits": {"most-tries": 6, "max-open": 225, "conn-idle-ms": 15000.0, "connect-timeout-ms": 1000.0,
                          "retry-after": True, "max-retry-after-ms": 2000.0},
        "report": {"columns": [], "how": "none"},
        "rules": {"answer-slack-ms": 20.0, "drain-grace-ms": 1000.0, "cold-share": 0.31, "fall-ms": 2000.0,
                  "fall-multiple": 1.5, "ramp-time-ms": 10000.0, "turn-gap-ms": 300.0},
    }  # fmt: skip
    for name, value in changes.items():
        made[name.replace("_", "-")] = value
    return made


class Sender:
    """One real sender, started with the `run` command of the deploy file from the root."""

    def __init__(
        self, folder: str, platform: Platform, known: dict[str, Any], given: dict[str, Any], name: str = "n0"
    ) -> None:
        self.folder, self.name = folder, name
        self.listen, self.management = free_port(), free_port()
        self.state = os.path.join(folder, f"state-{name}")
        os.makedirs(self.state)
        self.config = os.path.join(folder, f"config-{name}.json")
        self.known, self.given = known, given
        self.environment: dict[str, str] = {}
        self.configure(platform)
        self.processes: list[subprocess.Popen[bytes]] = []
        self.log_path = os.path.join(folder, f"log-{name}.txt")

    def configure(self, platform: Platform) -> None:
        """Write the configuration; the file is replaced in one step."""
        document = {
            "name": self.name,
            "listen": f"{HOST}:{self.listen}",
            "discovery": platform.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 16},
            "known": self.known,
            "settings": self.given,
            "management": f"{HOST}:{self.management}",
        }
        with open(self.config + ".new", "w", encoding="utf-8") as file:
            json.dump(document, file)
        os.replace(self.config + ".new", self.config)

    def start(self, ready_within_s: float = 20.0) -> None:
        """Start the process, and wait until it answers PING with PONG."""
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        temporary = tempfile.mkdtemp(dir=self.folder)
        environment = {name: value for name, value in os.environ.items() if not name.startswith(("RELAY_", "CEDARWICK"))}
        environment |= {"RELAY_CONFIG": self.config, "RELAY_STATE": self.state, "TMPDIR": temporary, "PYTHONDONTWRITEBYTECODE": "1"}
        environment |= self.environment
        with open(self.log_path, "ab") as log:
            self.processes.append(
                subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True)
            )
        RECORD.add(f"sender {self.name}: started")
        if ready_within_s:
            self.wait_ready(ready_within_s)

    def wait_ready(self, within_s: float = 20.0) -> None:
        """Wait until it answers PING with PONG."""
        until = time.monotonic() + within_s
        client = Client(self.listen)
        while client.ask("PING") != "+PONG":
            if time.monotonic() > until or self.processes[-1].poll() is not None:
                raise CannotRunError(f"the sender {self.name} is not ready: {self.log()[-2000:]}")
            time.sleep(0.02)
        client.close()
        RECORD.add(f"sender {self.name}: +PONG")

    def kill(self, number: int, what: str) -> None:
        """Send a signal to the process that was started last."""
        RECORD.add(f"sender {self.name}: {what}")
        self.processes[-1].send_signal(number)

    def wait_end(self, within_s: float = 10.0) -> None:
        """Wait for the end of the process that was started last."""
        self.processes[-1].wait(within_s)

    def call(self, line: str) -> str:
        """Call the management address; return the first line of the answer."""
        with socket.create_connection((HOST, self.management), 1) as sock:
            sock.settimeout(2)
            sock.sendall(line.encode() + b"\n")
            answer = b""
            while b"\n" not in answer and (data := sock.recv(4096)):
                answer += data
        text = answer.split(b"\n")[0].decode()
        RECORD.add(f"operator: {line} at {self.name}: {text}")
        return text

    def log(self) -> str:
        """Return what the processes of this sender have logged."""
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()

    def end(self) -> None:
        """End all processes that were started."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()


def play(case_folder: str, case: Callable[[str, list[Sender]], list[str]]) -> None:
    """Play a case in a temporary folder, write the record and end with 0 (held), 1 (broken) or 2 (could not run).

    `case` gets the folder and a list to which it adds its senders; it returns one line for each break of the rule.
    """
    folder = tempfile.mkdtemp(prefix="review-")
    senders: list[Sender] = []
    status = 2
    try:
        broken = case(folder, senders)
        for line in broken:
            RECORD.add(f"BROKEN: {line}")
        for line in broken[:10]:
            print(line)
        print(f"{'broken' if broken else 'held'} ({len(broken)} breaks, {'with' if TROUBLE else 'without'} the trouble)")
        status = 1 if broken else 0
    except (CannotRunError, OSError, subprocess.SubprocessError) as error:
        RECORD.add(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        for sender in senders:
            sender.end()
        for sender in senders:
            if os.path.exists(sender.log_path):
                RECORD.add(f"log of {sender.name}:\n" + "\n".join(f"    {each}" for each in sender.log().splitlines()))
        RECORD.write(case_folder)
        shutil.rmtree(folder, ignore_errors=True)
        sys.stdout.flush()
        os._exit(status)


def write_fleet(senders: list[Sender], halls: list[str], keys: str = "") -> None:
    """Make senders one fleet: write the operator file of each, the same at all."""
    ports = [free_port() for _ in senders]
    lines = ["[fleet]", 'group = "harbour"', 'ack = "copy"', "copies = 1", 'alone = "busy"', keys]
    for sender, port, hall in zip(senders, ports, halls, strict=True):
        lines += ["[[fleet.member]]", f'name = "{sender.name}"', f'address = "{HOST}:{port}"', f'hall = "{hall}"']
    for sender in senders:
        path = os.path.join(sender.folder, f"operator-{sender.name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        sender.environment["CEDARWICK_OPERATOR"] = path
