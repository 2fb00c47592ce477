"""Measures the cost of the state folder: longest pause, throughput, write amplification, space and startup.

The store is called in one process without sockets, as the dispatcher calls it: each round stores, attempts and finishes
a few messages while the number of live messages stays constant. A folder that needs no compaction is the baseline.
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

MESSAGES_PER_ROUND = 8
FILLS = (0.02, 0.5, 0.7, 0.9)  # live data divided by the size limit; at 0.02 no compaction is needed
MAX_DURABLE_ROUNDS = 500  # each round of the measurement with fsync waits for the disk
FAR_DEADLINE = 10**15  # microseconds


class Churn(msgspec.Struct):
    """The result for one folder in which messages are replaced at a constant number of live messages."""

    fill: float  # live data divided by the size limit
    live: int  # messages
    per_second: float  # messages stored, attempted and finished
    longest_ms: float  # longest duration of one round
    p999_ms: float
    amplification: float  # bytes written divided by bytes of new records
    used_share: float  # used space divided by the size limit, at the end
    presses: int  # compactions within a call of the store, for lack of space
    refused: int  # times that a new message was refused for lack of space
    durable: bool = False  # with an fsync in each round


class Start(msgspec.Struct):
    """The result of a start on a folder as a SIGKILL leaves it."""

    live: int  # messages
    seconds: float
    memory_mb: float


def new_message(number: int, size: int) -> StoredMessage:
    """Return a message with a body of the given size."""
    return StoredMessage(number, f"{number:016x}", "", 0, "band", "", number % 50, FAR_DEADLINE, bytes(size))


def measure_churn(
    path: str, live: int, size: int, fill: float, rounds: int, seed: int = 1, durable: bool = False
) -> Churn:
    """Fill a folder to `live` messages and the share `fill` of its size limit, then replace messages in rounds.

    A message that is refused for lack of space is stored in a later round, as a client retries it.
    """
    record_bytes = 10 + 60 + 40 + 20 + size
    limit = round(live * record_bytes / fill)
    store = Store(Folder(path), limit, now=lambda: time.time_ns() // 1000, body_cache_bytes=1 << 25, durable=durable)
    store.load()
    rng = random.Random(seed)
    numbers: list[int] = []
    for number in range(1, live + 1):
        store.add_message(new_message(number, size))
        numbers.append(number)
        if number % MESSAGES_PER_ROUND == 0:
            store.step()
    if durable:
        store.flush()
    store.next_number = live + 1
    gc.collect()
    gc.disable()  # a pause of the garbage collector is not a cost of the folder
    moved_before, written_before, compactions_before = store.moved_bytes, store.written_bytes, store.inline_compactions
    durations, refused = [], 0
    started_at = time.perf_counter()
    for _ in range(rounds):
        at = time.perf_counter()
        for _ in range(MESSAGES_PER_ROUND):
            index = rng.randrange(len(numbers))
            finished = numbers[index]
            store.record_attempt(finished, 1, 0)
            store.record_outcome(finished, Outcome.COMPLETED)
            added = new_message(store.next_number, size)
            store.next_number += 1
            while not store_message(store, added):
                refused += 1
                store.step()
                durations.append(time.perf_counter() - at)
                at = time.perf_counter()
            numbers[index] = added.number
        if durable:
            store.flush()
        store.step()
        durations.append(time.perf_counter() - at)
    elapsed = time.perf_counter() - started_at
    gc.enable()
    durations.sort()
    new_bytes = store.written_bytes - written_before - (store.moved_bytes - moved_before)
    result = Churn(
        fill,
        live,
        round(rounds * MESSAGES_PER_ROUND / elapsed, 1),
        round(durations[-1] * 1000, 2),
        round(durations[int(len(durations) * 0.999)] * 1000, 2),
        round((store.written_bytes - written_before) / new_bytes, 2),
        round(store.used_bytes / limit, 3),
        store.inline_compactions - compactions_before,
        refused,
        durable,
    )
    store.close()
    return result


def store_message(store: Store, message: StoredMessage) -> bool:
    """Store a new message; return False if there is no space for it."""
    try:
        store.add_message(message)
    except NoSpaceError:
        return False
    return True


def measure_start(path: str, live: int) -> Start:
    """Measure the time and memory that a new process needs to read a folder."""
    code = (
        "import sys, time, os, psutil\n"
        "from cedarwick.store.journal import Store\n"
        "before = psutil.Process().memory_info().rss; at = time.perf_counter()\n"
        "store = Store(sys.argv[1], 1 << 40, now=lambda: 1)\n"
        "store.load()\n"
        "print(len(store.messages), time.perf_counter() - at, (psutil.Process().memory_info().rss - before) / 2**20)\n"
    )
    output = subprocess.run([sys.executable, "-c", code, path], capture_output=True, text=True, check=True).stdout
    stored, seconds, memory = output.split()
    assert int(stored) == live, output
    return Start(live, round(float(seconds), 3), round(float(memory), 1))


def measure_folder(live: int, size: int, rounds: int) -> tuple[list[Churn], Start]:
    """Measure folders of each fill, one with an fsync in each round, and a start on the fullest folder."""
    results = []
    for fill in FILLS:
        with tempfile.TemporaryDirectory(prefix="cedarwick-folder-") as path:
            results.append(measure_churn(path, live, size, fill, rounds))
            if fill == 0.9:
                start = measure_start(path, live)
    with tempfile.TemporaryDirectory(prefix="cedarwick-folder-") as path:
        results.append(measure_churn(path, live, size, FILLS[1], min(rounds, MAX_DURABLE_ROUNDS), durable=True))
    return results, start


def plot_churn(results: list[Churn], path: str) -> None:
    """Plot pauses, throughput and write amplification by fill, as a PNG file."""
    import matplotlib  # imported here: it takes half a second, and most calls do not plot

    matplotlib.use("Agg")
    from matplotlib import pyplot

    not_durable = [each for each in results if not each.durable]
    fills = [each.fill for each in not_durable]
    figure, (pause_axes, throughput_axes, amplification_axes) = pyplot.subplots(
        1, 3, figsize=(11, 3.2), layout="constrained"
    )
    pause_axes.plot(fills, [each.longest_ms for each in not_durable], "o-", label="longest")
    pause_axes.plot(fills, [each.p999_ms for each in not_durable], "s--", label="p99.9")
    pause_axes.axhline(5, color="gray", linewidth=0.8, label="aim")
    pause_axes.set(title="One round", ylabel="ms", ylim=(0, None))
    pause_axes.legend()
    throughput_axes.plot(fills, [each.per_second for each in not_durable], "o-")
    throughput_axes.set(title="Messages a second", ylim=(0, None))
    amplification_axes.plot(fills, [each.amplification for each in not_durable], "o-")
    amplification_axes.set(title="Write amplification", ylim=(0, None))
    for axes in (pause_axes, throughput_axes, amplification_axes):
        axes.set_xlabel("live data divided by the limit")
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
