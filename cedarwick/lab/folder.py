"""What the state folder costs: longest stop, throughput beside a folder that needs no compaction, start, room.

The store is called as the dispatcher calls it, in one process without sockets: rounds of a few messages, each kept,
attempt at and ended, while as many as wanted stay alive.
"""

import gc
import random
import subprocess
import sys
import tempfile
import time

import msgspec

from cedarwick.decisions.interface import Outcome
from cedarwick.store.files import Folder, NoSpaceError
from cedarwick.store.journal import Store
from cedarwick.store.records import StoredMessage

ROUND = 8  # messages of one round
FILLS = (0.02, 0.5, 0.7, 0.9)
SYNCED = 500  # rounds of the measurement with fsync, each as slow as the disk
FAR = 10**15


class Churn(msgspec.Struct):
    """One folder under a steady change of messages."""

    fill: float  # live data over the limit
    live: int
    per_second: float  # messages kept, attempt at and ended
    longest_ms: float  # of one round's calls
    p999_ms: float
    amplification: float  # bytes written over bytes of new records
    used_share: float  # of the limit, at the end
    presses: int  # steps that had to be done on the spot
    refused: int  # times that a new message was turned away until a later round
    durable: bool = False  # with an fsync each round


class Start(msgspec.Struct):
    """A start on a folder that was left by a SIGKILL."""

    live: int
    seconds: float
    memory_mb: float


def message(number: int, size: int) -> StoredMessage:
    return StoredMessage(number, f"{number:016x}", "", 0, "band", "", number % 50, FAR, bytes(size))


def measure_churn(
    path: str, live: int, size: int, fill: float, rounds: int, seed: int = 1, durable: bool = False
) -> Churn:
    """Fill a folder to `live` messages at a part of its limit, then replace them round by round.

    A message without room comes again in a later round, as one does that a sender has refused.
    """
    each = 10 + 60 + 40 + 20 + size
    limit = round(live * each / fill)
    made = Store(Folder(path), limit, now=lambda: time.time_ns() // 1000, body_cache_bytes=1 << 25, durable=durable)
    made.load()
    chance = random.Random(seed)
    numbers: list[int] = []
    for number in range(1, live + 1):
        made.add_message(message(number, size))
        numbers.append(number)
        if number % ROUND == 0:
            made.step()
    if durable:
        made.flush()
    made.next_number = live + 1
    gc.collect()
    gc.disable()  # what a collection over all messages stops is not the folder's doing
    moved, written, presses = made.moved_bytes, made.written_bytes, made.inline_compactions
    times, refused = [], 0
    begun = time.perf_counter()
    for _ in range(rounds):
        at = time.perf_counter()
        for _ in range(ROUND):
            place = chance.randrange(len(numbers))
            ended = numbers[place]
            made.record_attempt(ended, 1, 0)
            made.record_outcome(ended, Outcome.COMPLETED)
            fresh = message(made.next_number, size)
            made.next_number += 1
            while not store_message(made, fresh):
                refused += 1
                made.step()
                times.append(time.perf_counter() - at)
                at = time.perf_counter()
            numbers[place] = fresh.number
        if durable:
            made.flush()
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
        round(made.used_bytes / limit, 3),
        made.inline_compactions - presses,
        refused,
        durable,
    )
    made.close()
    return found


def store_message(store: Store, message: StoredMessage) -> bool:
    """Store a new message; False if there is no room for it."""
    try:
        store.add_message(message)
    except NoSpaceError:
        return False
    return True


def measure_start(path: str, live: int) -> Start:
    """A new process reads a folder."""
    code = (
        "import sys, time, os, psutil\n"
        "from cedarwick.store.journal import Store\n"
        "before = psutil.Process().memory_info().rss; at = time.perf_counter()\n"
        "made = Store(sys.argv[1], 1 << 40, now=lambda: 1)\n"
        "made.load()\n"
        "print(len(made.messages), time.perf_counter() - at, (psutil.Process().memory_info().rss - before) / 2**20)\n"
    )
    said = subprocess.run([sys.executable, "-c", code, path], capture_output=True, text=True, check=True).stdout
    stored, seconds, memory = said.split()
    assert int(stored) == live, said
    return Start(live, round(float(seconds), 3), round(float(memory), 1))


def measure_folder(live: int, size: int, rounds: int) -> tuple[list[Churn], Start]:
    """A folder with much room (no compaction), then ever fuller ones, one synced each round; a start on the fullest."""
    found = []
    for fill in FILLS:
        with tempfile.TemporaryDirectory(prefix="cedarwick-folder-") as path:
            found.append(measure_churn(path, live, size, fill, rounds))
            if fill == 0.9:
                begun = measure_start(path, live)
    with tempfile.TemporaryDirectory(prefix="cedarwick-folder-") as path:
        found.append(measure_churn(path, live, size, FILLS[1], min(rounds, SYNCED), durable=True))
    return found, begun


def plot_churn(found: list[Churn], path: str) -> None:
    """Stops, throughput and write amplification by fill, as a PNG."""
    import matplotlib  # late: half a second, for a picture that few want

    matplotlib.use("Agg")
    from matplotlib import pyplot

    plain = [each for each in found if not each.durable]
    fills = [each.fill for each in plain]
    figure, (stops, flow, cost) = pyplot.subplots(1, 3, figsize=(11, 3.2), layout="constrained")
    stops.plot(fills, [each.longest_ms for each in plain], "o-", label="longest")
    stops.plot(fills, [each.p999_ms for each in plain], "s--", label="p99.9")
    stops.axhline(5, color="gray", linewidth=0.8, label="aim")
    stops.set(title="One round", ylabel="ms", ylim=(0, None))
    stops.legend()
    flow.plot(fills, [each.per_second for each in plain], "o-")
    flow.set(title="Messages a second", ylim=(0, None))
    cost.plot(fills, [each.amplification for each in plain], "o-")
    cost.set(title="Bytes written over new bytes", ylim=(0, None))
    for axes in (stops, flow, cost):
        axes.set_xlabel("live data over the limit")
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
