"""What one sender manages on one core, beside a bare loop that does the same I/O, in one run.

Clients ask back to back and the partner answers at once, so the core of the measured process is the only bound.
Measured is what comes out: calls at the partner a second, from a while after the begin to a while before the end.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent
import msgspec
import psutil

from cedarwick.errors import CedarwickError
from cedarwick.lab.day import Day
from cedarwick.lab.listeners import ReservedPort, host_of
from cedarwick.lab.load import pongs
from cedarwick.lab.quick import STEP
from cedarwick.lab.register import Agent, Register
from cedarwick.lab.scenario import Limits, Partner, PriorityClass, Scenario
from cedarwick.lab.senders import COMMAND, Instance

SETTLE = 1.0  # seconds at both ends that are left out
CLIENTS = 32
LOADERS = 2  # processes that ask, so that none of them is the bound
DESTINATIONS = 20
BYTES = 212


class Ceiling(msgspec.Struct):
    """One measured program."""

    name: str
    per_second: float  # calls at the partner
    cpu_share: float  # of its core, while it was measured
    answered: dict[str, int]
    memory_mb: float


def measure_ceiling(seconds: float, say: Callable[[str], None] = lambda _: None) -> list[Ceiling]:
    """The bare loop first, then the sender, each alone with the same clients and partner."""
    found = []
    for name in ("bare loop", "sender"):
        say(f"{name}: {seconds:g} s")
        with tempfile.TemporaryDirectory(prefix="cedarwick-ceiling-") as folder:
            found.append(one(name, seconds, folder))
    return found


def one(name: str, seconds: float, folder: str) -> Ceiling:
    host = host_of(0)
    cores = sorted(os.sched_getaffinity(0))
    with ReservedPort(host) as partner_port, ReservedPort(host) as port:
        with run_program(["cedarwick.lab.quick", host, str(partner_port.number)], cores[1 % len(cores)]) as partner:
            if name == "sender":
                with sender(folder, partner_port.number, cores[0]) as (process, address):
                    answered, cpu, memory = run_closed_loop_clients(address, seconds, process, cores)
            else:
                words = ["cedarwick.lab.bare", host, str(port.number), host, str(partner_port.number), folder]
                with run_program(words, cores[0]) as bare:
                    answered, cpu, memory = run_closed_loop_clients(
                        port.address, seconds, psutil.Process(bare.pid), cores
                    )
            partner.terminate()
            counts = json.loads(partner.communicate(timeout=10)[0])
    return Ceiling(name, steady_rate(counts), round(cpu, 3), answered, round(memory, 1))


def steady_rate(counts: list[list[int]]) -> float:
    """Calls a second between the ends that are left out."""
    if not counts:
        return 0.0
    skip = round(SETTLE / STEP)
    first, last = counts[0][0] + skip, counts[-1][0] - skip
    return round(sum(count for at, count in counts if first <= at < last) / max(STEP, (last - first) * STEP), 1)


def run_closed_loop_clients(
    address: tuple[str, int], seconds: float, process: psutil.Process, cores: list[int]
) -> tuple[dict[str, int], float, float]:
    """Clients back to back: what they were answered, the process's share of a core, its memory in MB."""
    begun, before = time.monotonic(), process.cpu_times()
    loaders = []
    for place in range(LOADERS):
        words = [
            sys.executable,
            "-m",
            "cedarwick.lab.closed",
            address[0],
            str(address[1]),
            str(CLIENTS // LOADERS),
            str(seconds),
            "only",
            str(DESTINATIONS),
            str(BYTES),
            f"{place:02x}",
        ]
        loaders.append(subprocess.Popen(words, stdout=subprocess.PIPE))
        psutil.Process(loaders[-1].pid).cpu_affinity([cores[(2 + place) % len(cores)]])
    answered: dict[str, int] = {}
    for loader in loaders:
        for answer, count in json.loads(loader.communicate(timeout=seconds + 60)[0]).items():
            answered[answer] = answered.get(answer, 0) + count
    after = process.cpu_times()
    used = after.user + after.system - before.user - before.system
    return answered, used / (time.monotonic() - begun), process.memory_info().rss / (1 << 20)


class ProgramNotStartedError(CedarwickError, OSError):
    """A program that the measurement needs did not come up."""

    code = "CW604"
    remedy = "start the module that is named by hand and read what it says"


@contextmanager
def run_program(words: list[str], core: int) -> Iterator[subprocess.Popen[bytes]]:
    """One of this package's programs on a core of its own, once it says that it is ready."""
    process = subprocess.Popen([sys.executable, "-m", *words], stdout=subprocess.PIPE)
    try:
        psutil.Process(process.pid).cpu_affinity([core])
        assert process.stdout is not None
        if process.stdout.readline().strip() != b"ready":
            raise ProgramNotStartedError(f"{words[0]} did not start")
        yield process
    finally:
        process.kill()
        process.wait()


@contextmanager
def sender(folder: str, partner_port: int, core: int) -> Iterator[tuple[psutil.Process, tuple[str, int]]]:
    """A sender on a core of its own, with a list of destinations that all live at one quick partner."""
    scenario = Scenario(
        name="ceiling",
        priority_classes=[PriorityClass(name="only", outer_ms=20_000)],
        partner=[Partner(name="quick", destinations=DESTINATIONS)],
        limits=Limits(sockets=4096, disk_mb=256, memory_mb=1024, slots=1024, most_open=20_000),
    )
    day, register = Day(), Register()
    for destination in range(DESTINATIONS):
        register.put(f"s-{destination}", partner_port, destination, "quick", "up")
    agent = Agent(day, register, 0)
    instance = Instance(day, scenario, 0, 1, agent, folder, 1, COMMAND)
    try:
        instance.start()
        assert instance.process is not None
        process = psutil.Process(instance.process.pid)
        process.cpu_affinity([core])
        while not pongs(instance.address):
            gevent.sleep(0.05)
        yield process, instance.address
    finally:
        instance.end()
        agent.close()
