"""Simulated clients with an open-loop schedule, reused connections, a 400 ms timeout and retries, and bad clients.

No client waits for an answer before the next arrival: each message is sent when it is due, and its latency counts
from that time.
"""

import contextlib
from collections.abc import Callable

import gevent
import gevent.socket
import xxhash

from cedarwick.lab.day import Day, message_body
from cedarwick.lab.history import Handed, Rude
from cedarwick.lab.scenario import PriorityClass, Scenario
from cedarwick.lab.senders import Instance
from cedarwick.lab.units import MS
from cedarwick.lab.workload import Arrival
from cedarwick.net.sockets import open_connection

MIN_REMAINING_US = 300 * MS  # a message with no more time than this left is not submitted
CONNECT_TIMEOUT_S = 0.4


def encode_command(*parts: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


class SenderPool:
    """The senders among which clients choose; a dead sender is still chosen until its death is detected."""

    def __init__(self, day: Day, instances: list[Instance], detection_s: float) -> None:
        self.day = day
        self.instances = instances
        self.detection_s = detection_s
        self.known_down: set[int] = set()
        self.next_index = 0

    def watch(self) -> None:
        """Keep `known_down` up to date; a dead sender is added after `detection_s` seconds. Never returns."""
        down_since: dict[int, int] = {}
        while True:
            for each in self.instances:
                if each.running():
                    down_since.pop(each.number, None)
                    if each.number in self.known_down and each.ready_at >= 0:
                        self.known_down.discard(each.number)
                else:
                    each.ready_at = -1
                    began = down_since.setdefault(each.number, self.day.now())
                    if self.day.now() - began > self.detection_s * 1_000_000:
                        self.known_down.add(each.number)
            gevent.sleep(0.05)

    def choose(self, order_key: str) -> Instance:
        """Choose the sender of one request: in rotation, or by a hash of the order key while that sender runs."""
        usable = [each for each in self.instances if each.number not in self.known_down] or self.instances
        if order_key.strip("0"):
            return max(usable, key=lambda each: xxhash.xxh64_intdigest(f"{order_key} {each.number}".encode()))
        self.next_index += 1
        return usable[self.next_index % len(usable)]


class Clients:
    """Submits messages when they are due, and retries those that were refused, returned or not answered."""

    def __init__(self, day: Day, scenario: Scenario, sender_pool: SenderPool) -> None:
        self.day = day
        self.scenario = scenario
        self.sender_pool = sender_pool
        self.priority_classes: dict[str, PriorityClass] = scenario.classes_by_name()
        self.patience = scenario.clients.patience_ms / 1000
        self.idle: dict[tuple[str, int], list[gevent.socket.socket]] = {}
        self.retries_on_return: dict[str, Callable[[int], None]] = {}  # by message id: retries a returned one
        self.open_requests = 0
        self.all_started = False

    def run(self, arrivals: list[Arrival]) -> None:
        """Submit each arrival when it is due; returns when the last one has been started."""
        for arrival in arrivals:
            self.day.sleep_until(arrival.due)
            gevent.spawn(self._submit_first, arrival)
        self.all_started = True

    def close(self) -> None:
        """Close the idle connections."""
        for connections in self.idle.values():
            for sock in connections:
                sock.close()
        self.idle.clear()

    def handle_notice(self, id: str, state: str, after: int) -> None:
        """Process the platform's notice of a final answer.

        A returned message is retried, no sooner than `after` microseconds from now.
        """
        retry = self.retries_on_return.pop(id, None)
        if retry is not None and state == "returned":
            retry(after)

    # ---- one message and its retries ----

    def _submit_first(self, arrival: Arrival) -> None:
        self._submit(arrival, 0, arrival.due, refused=False, again=False)

    def _submit(self, arrival: Arrival, number: int, due: int, refused: bool, again: bool) -> None:
        """Submit a message, or retry it for the nth time; each submission has its own id."""
        id = arrival.id if number == 0 else f"{xxhash.xxh64_intdigest(f'{arrival.id} {number}'.encode()):016x}"
        outer = arrival.due + round(self.priority_classes[arrival.priority_class].outer_ms * MS)
        remaining_ms = (outer - self.day.now()) // MS
        if remaining_ms <= MIN_REMAINING_US // MS:
            return
        self.open_requests += 1
        try:
            instance = self.sender_pool.choose(arrival.turn)
            handed = Handed(
                id,
                arrival.id,
                arrival.priority_class,
                arrival.destination,
                arrival.key,
                arrival.turn,
                due,
                due,
                outer,
                instance.number,
                again=again,
            )
            self.day.body_sizes[id] = arrival.size
            self.day.history.add(handed)
            if number + 1 < len(arrival.waits):
                self.retries_on_return[id] = lambda after: self._retry_later(
                    arrival, number, max(after, arrival.waits[number])
                )
            # Caution: the idempotency mark identifies the message, so every retry must carry the same one.
            retry_flags = (
                (",r=1" if refused else "") + (",again=1" if again else "") if self.scenario.clients.marks else ""
            )
            pairs = f"c={arrival.priority_class},d={remaining_ms},dest={arrival.destination}"
            pairs += (f",k={arrival.key}" if arrival.key else "") + retry_flags
            request = encode_command(
                b"SUBMIT", arrival.turn.encode(), id.encode(), pairs.encode(), message_body(id, arrival.size)
            )
            self._exchange(instance, request, handed)
        finally:
            self.open_requests -= 1
        if handed.answer != "ok" and number + 1 < len(arrival.waits):
            self.retries_on_return.pop(id, None)
            if handed.answer in ("none", "cut"):
                self._retry_later(arrival, number, 0, again=True)
            else:
                self._retry_later(arrival, number, max(handed.wait, arrival.waits[number]))

    def _retry_later(self, arrival: Arrival, number: int, wait: int, again: bool = False) -> None:
        due = self.day.now() + wait
        gevent.spawn_later(wait / 1_000_000, self._submit, arrival, number + 1, due, not again, again)

    # ---- one request ----

    def _exchange(self, instance: Instance, request: bytes, handed: Handed) -> None:
        """Send a request and read its answer; repeat it once if a reused connection was closed in the meantime."""
        for _ in range(2):
            sock, reused = self._connection(instance.address)
            if sock is None:
                handed.answer, handed.answered = "down", self.day.now()
                return
            handed.fresh = not reused
            line = b""
            try:
                sock.settimeout(self.patience)
                sock.sendall(request)
                handed.sent = self.day.now()
                end_at = handed.sent + round(self.patience * 1_000_000)
                while not line.endswith(b"\r\n"):
                    sock.settimeout(max(0.001, (end_at - self.day.now()) / 1_000_000))
                    part = sock.recv(512)
                    if not part:
                        raise ConnectionResetError
                    line += part
            except TimeoutError:
                sock.close()
                handed.answer, handed.answered = "none", self.day.now()
                return
            except OSError:
                sock.close()
                if reused and not line:
                    continue  # the request crossed the sender's close of the idle connection
                handed.answer, handed.answered = "cut", self.day.now()
                return
            handed.answered = self.day.now()
            self._read_answer(handed, line)
            self.idle.setdefault(instance.address, []).append(sock)
            return
        handed.answer, handed.answered = "cut", self.day.now()

    def _read_answer(self, handed: Handed, line: bytes) -> None:
        if line[:1] in (b"+", b"$"):
            handed.answer = "ok"
        elif line.startswith(b"-BUSY"):
            handed.answer = "busy"
            wait = line[5:].strip()
            handed.wait = int(wait) * MS if wait.isdigit() else 0
        else:
            handed.answer = "error"

    def _connection(self, address: tuple[str, int]) -> tuple[gevent.socket.socket | None, bool]:
        """Return an idle connection or a new one, and whether it is reused; None if connecting fails."""
        idle_sockets = self.idle.get(address)
        while idle_sockets:
            sock = idle_sockets.pop()
            sock.settimeout(0.0)
            try:
                sock.recv(1)
            except BlockingIOError:
                return sock, True
            except OSError:
                pass
            sock.close()
        try:
            return open_connection(address, CONNECT_TIMEOUT_S), False
        except OSError:
            return None, False


def bad_client_requests(priority_class: str) -> dict[str, bytes]:
    """Return what misbehaving clients send, by name; a sender must answer each with an error or a close."""
    submit = (b"SUBMIT", b"0" * 16)
    pairs = f"c={priority_class},d=4000,dest=0".encode()
    return {
        "noise": bytes(range(128, 256)) * 8 + b"\r\n",
        "a line that never ends": b"*" + b"1" * 5000,
        "a negative length": b"*-7\r\n",
        "a huge length": b"*2\r\n$6\r\nSUBMIT\r\n$99999999999\r\n",
        "a value of 2 MB": b"*2\r\n$6\r\nSUBMIT\r\n$2000000\r\n" + b"v" * 2_000_000,
        "an unknown priority class": encode_command(*submit, b"rude1", b"c=nobody,d=4000,dest=0", b"x"),
        "an unknown destination": encode_command(
            *submit, b"rude2", f"c={priority_class},d=4000,dest=999999".encode(), b"x"
        ),
        "a time that is no number": encode_command(
            *submit, b"rude3", f"c={priority_class},d=soon,dest=0".encode(), b"x"
        ),
        "no id": encode_command(b"SUBMIT", b"0" * 16, pairs, b"x"),
        "an unknown command": encode_command(b"FLUSHALL"),
        "a hundred commands at once": encode_command(b"WHO") * 100,
        "silence": b"",
        "half a command": encode_command(*submit, b"rude4", pairs, b"x")[:-5],
    }


def run_bad_client(day: Day, instance: Instance, form: str, request: bytes) -> None:
    """Play one connection of a misbehaving client, which reads whatever it is sent."""
    record = Rude(instance.number, day.now(), form, -1, "")
    try:
        sock = gevent.socket.create_connection(instance.address, 1.0)
    except OSError:
        return
    day.history.add(record)
    with sock:
        sock.settimeout(6.0)
        reply = b""
        with contextlib.suppress(OSError):
            gevent.spawn(_send, sock, request)
            reply = sock.recv(4096)
            record.ended = day.now()
            while sock.recv(65536):
                pass
        if record.ended < 0:
            record.ended = day.now() if not reply and day.now() - record.began < 5_900_000 else -1
        record.reply = reply[:60].decode("latin-1")


def _send(sock: gevent.socket.socket, request: bytes) -> None:
    with contextlib.suppress(OSError):
        sock.sendall(request)
