"""A little more traffic than many partners take: the state folder fills, and their health changes all the time.

The sender has crashed if its folder holds more than `disk_mb`, every file counted in whole 512 bytes. Exit status 1
if it ever held more, 0 if not, 2 if the case could not run.
"""

import os
import random
import sys
import threading
import time

sys.path.insert(0, "..")
from standins import Client, HttpRequest, Platform, Receiver, Record, Sender, settings, temporary_folder, trouble

DISK_MB = 3
LIMIT_BYTES = DISK_MB << 20  # read in the larger of its two meanings
SENDERS = 4
PARTNERS = 136
PARTNER_LIMIT = 3.0 / SENDERS  # of 3 calls a second from all senders, this one's part; refused beyond that
BURST = 2.0  # calls that a partner takes at once after a rest
DEADLINE_MS = 12000
MAX_OPEN = 1080  # 9 s of 120 messages a second
BODY_BYTES = (1350, 4050)
RATE = 120.0 if trouble() else 77.0  # messages a second; the partners together take 102
CLIENTS = 4
LENGTH_S = 90.0
ENOUGH_LOOKS = 100  # over the limit, which end the case early


class LimitedPartner:
    """Takes a plain rate of calls; answers 429 without a wait above it."""

    def __init__(self) -> None:
        self.at, self.left, self.lock = time.monotonic(), BURST, threading.Lock()

    def __call__(self, request: HttpRequest) -> tuple[int, float, str]:
        with self.lock:
            now = time.monotonic()
            self.left, self.at = min(BURST, self.left + (now - self.at) * PARTNER_LIMIT), now
            if self.left < 1:
                return 429, 0.0, ""
            self.left -= 1
        return 200, 0.05, ""


def scan(folder: str) -> dict[str, int]:
    """The sizes of all files in the folder."""
    sizes = {}
    for name in sorted(os.listdir(folder)):
        try:
            sizes[name] = os.stat(os.path.join(folder, name)).st_size
        except FileNotFoundError:
            pass
    return sizes


def held(sizes: dict[str, int]) -> int:
    """Bytes held, every file in whole 512 bytes."""
    return sum(-(-size // 512) * 512 for size in sizes.values())


class Watch:
    """Looks at the folder all the time; a look counts only if the next one finds the same names and sizes."""

    def __init__(self, record: Record, folder: str) -> None:
        self.record, self.folder = record, folder
        self.peak, self.over, self.looks = 0, 0, 0

    def run(self, over: threading.Event) -> None:
        before: dict[str, int] = {}
        while not over.is_set():
            sizes = scan(self.folder)
            if sizes == before:
                self.looks += 1
                total = held(sizes)
                self.over += total > LIMIT_BYTES
                if total > self.peak:
                    self.peak = total
                    others = {name: size for name, size in sizes.items() if not name.endswith(".seg")}
                    if total > LIMIT_BYTES - (1 << 17):
                        self.record.line(
                            f"folder: {total} bytes, {total - LIMIT_BYTES:+d} to the limit; beside segments {others}"
                        )
            before = sizes
            time.sleep(0.001)


def load(record: Record, sender: Sender, index: int, over: threading.Event, answers: dict[str, int]) -> None:
    client = Client(record, sender.address, f"client {index}")
    rng, due, number = random.Random(index), time.monotonic(), 0
    while not over.is_set():
        number += 1
        due += rng.expovariate(RATE / CLIENTS)
        time.sleep(max(0.0, due - time.monotonic()))
        answer = client.submit(
            f"m{index}-{number}",
            rng.choice(["status", "record", "record"]),
            DEADLINE_MS,
            rng.randrange(PARTNERS),
            mark=f"k{index}-{number}",
            body="b" * rng.randrange(*BODY_BYTES),
        )
        if over.is_set():
            return
        answers[answer] = answers.get(answer, 0) + 1
        if not answer:
            client.close()
            client = Client(record, sender.address, f"client {index}")


def main() -> int:
    record = Record(".")
    configured = settings()
    configured["balancers"] = SENDERS
    configured["policy-limits"]["max-open"] = MAX_OPEN
    configured["family-info"]["max-calls"] = 60
    for each in configured["classes"]:
        each["deadline-ms"] = float(DEADLINE_MS)
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": DISK_MB}
    with temporary_folder() as folder:
        partners = [Receiver(record, f"s-{index}", index, LimitedPartner()) for index in range(PARTNERS)]
        platform = Platform(record, [partner.entry() for partner in partners])
        known = {"rev": 0, "all": True, "targets": []}
        sender = Sender(record, folder, "n0", platform.address, known, settings=configured, limits=limits)
        over = threading.Event()
        answers: dict[str, int] = {}
        watch = Watch(record, sender.state)
        try:
            process = sender.start()
            if not sender.wait_ready():
                return 2
            threading.Thread(target=watch.run, args=(over,), daemon=True).start()
            for index in range(CLIENTS):
                threading.Thread(target=load, args=(record, sender, index, over, answers), daemon=True).start()
            until = time.monotonic() + LENGTH_S
            while time.monotonic() < until and watch.over < ENOUGH_LOOKS:
                time.sleep(0.05)
            over.set()
            time.sleep(0.5)
            if process.poll() is not None:
                record.line(f"the sender ended by itself, status {process.returncode}", show=True)
                return 2
            sender.logs()
        finally:
            over.set()
            sender.end()
    record.line(f"answers to clients: {answers}", show=True)
    record.line(f"most bytes held: {watch.peak}, limit {LIMIT_BYTES}, {watch.peak - LIMIT_BYTES:+d}", show=True)
    record.line(f"looks over the limit: {watch.over} of {watch.looks}", show=True)
    return 1 if watch.over else 0


if __name__ == "__main__":
    sys.exit(main())
