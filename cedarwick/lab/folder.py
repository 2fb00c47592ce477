"""What the lasting folder costs: longest stop, throughput beside a folder that needs no compaction, start, room.

The store is called as the desk calls it, in one process without sockets: rounds of a few envelopes, each kept, shot
at and ended, while as many as wanted stay alive.
"""

import gc
import random
import subprocess
import sys
import tempfile
import time

import msgspec

from cedarwick.interface import Outcome
from cedarwick.store.files import Folder
from cedarwick.store.journal import NoRoom, Store
from cedarwick.store.records import Kept

ROUND = 8  # envelopes of one round
FAR = 10**15


class Churn(msgspec.Struct):
    """One folder under a steady change of envelopes."""

    fill: float  # live data over the limit
    live: int
    per_second: float  # envelopes kept, shot at and ended
    longest_ms: float  # of one round's calls
    p999_ms: float
    amplification: float  # bytes written over bytes of new records
    used_share: float  # of the limit, at the end
    presses: int  # steps that had to be done on the spot
    refused: int  # times that a new envelope was turned away until a further step


class Start(msgspec.Struct):
    """A start on a folder that was left by a SIGKILL."""

    live: int
    seconds: float
    memory_mb: float


def envelope(number: int, size: int) -> Kept:
    return Kept(number, f"{number:016x}", "", 0, "band", "", number % 50, FAR, bytes(size))


def churn(path: str, live: int, size: int, fill: float, rounds: int, seed: int = 1) -> Churn:
    """Fill a folder to `live` envelopes at a part of its limit, then replace them round by round."""
    each = 10 + 60 + 40 + 20 + size
    limit = round(live * each / fill)
    made = Store(Folder(path), limit, now=lambda: time.time_ns() // 1000, bodies=1 << 25)
    made.load()
    chance = random.Random(seed)
    numbers: list[int] = []
    for number in range(1, live + 1):
        made.keep(envelope(number, size))
        numbers.append(number)
        if number % ROUND == 0:
            made.step()
    made.next_number = live + 1
    gc.collect()
    gc.disable()  # what a collection over all envelopes stops is not the folder's doing
    moved, written, presses = made.moved_bytes, made.written_bytes, made.presses
    times, refused = [], 0
    begun = time.perf_counter()
    for _ in range(rounds):
        at = time.perf_counter()
        for _ in range(ROUND):
            place = chance.randrange(len(numbers))
            ended = numbers[place]
            made.shot(ended, 1, 0)
            made.outcome(ended, Outcome.COMPLETED)
            fresh = envelope(made.next_number, size)
            made.next_number += 1
            while not kept(made, fresh):
                refused += 1
                made.step()
            numbers[place] = fresh.number
        made.step()
        times.append(time.perf_counter() - at)
    took = time.perf_counter() - begun
    gc.enable()
    times.sort()
    new = made.written_bytes - written - (made.moved_bytes - moved)
    found = Churn(
        fill,
        live,
        round(rounds * ROUND / took, 1),
        round(times[-1] * 1000, 2),
        round(times[int(len(times) * 0.999)] * 1000, 2),
        round((made.written_bytes - written) / new, 2),
        round(made.used / limit, 3),
        made.presses - presses,
        refused,
    )
    made.close()
    return found


def kept(made: Store, fresh: Kept) -> bool:
    """Whether there was room for a new envelope."""
    try:
        made.keep(fresh)
    except NoRoom:
        return False
    return True


def start(path: str, live: int) -> Start:
    """A new process reads a folder."""
    code = (
        "import sys, time, os, psutil\n"
        "from cedarwick.store.journal import Store\n"
        "before = psutil.Process().memory_info().rss; at = time.perf_counter()\n"
        "made = Store(sys.argv[1], 1 << 40, now=lambda: 1)\n"
        "made.load()\n"
        "print(len(made.kept), time.perf_counter() - at, (psutil.Process().memory_info().rss - before) / 2**20)\n"
    )
    said = subprocess.run([sys.executable, "-c", code, path], capture_output=True, text=True, check=True).stdout
    kept, seconds, memory = said.split()
    assert int(kept) == live, said
    return Start(live, round(float(seconds), 3), round(float(memory), 1))


def measure(live: int, size: int, rounds: int) -> tuple[list[Churn], Start]:
    """A folder with much room (no compaction), then ever fuller ones; and a start on the fullest."""
    found = []
    for fill in (0.02, 0.5, 0.7, 0.9):
        with tempfile.TemporaryDirectory(prefix="cedarwick-folder-") as path:
            found.append(churn(path, live, size, fill, rounds))
            if fill == 0.9:
                begun = start(path, live)
    return found, begun
