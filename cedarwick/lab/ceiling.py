"""Measures the throughput of one sender on one core, compared with a bare loop that does the same I/O.

Clients submit in a closed loop and the partner answers at once, so that the core of the measured process is the only
limit. The result is the number of calls a second at the partner, without the first and the last second.
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
from cedarwick.lab.listeners import ReservedPort, sender_host
from cedarwick.lab.load import answers_ping
from cedarwick.lab.quick import COUNT_INTERVAL_S
from cedarwick.lab.register import Agent, EndpointList
from cedarwick.lab.scenario import Limits, Partner, PriorityClass, Scenario
from cedarwick.lab.senders import COMMAND, Instance

EXCLUDED_S = 1.0  # seconds at the begin and at the end of a measurement that are not counted
CLIENTS = 32  # connections to the measured process
LOAD_PROCESSES = 2  # client processes; several, so that they do not limit the throughput
DESTINATIONS = 20
BODY_BYTES = 212  # size of a message body


class Ceiling(msgspec.Struct):
    """The result of one measured program."""

    name: str
    per_second: float  # calls at the partner
    cpu_share: float  # share of its core that the program used
    answered: dict[str, int]  # number of answers to clients, by kind
    memory_mb: float


def measure_ceiling(seconds: float, say: Callable[[str], None] = lambda _: None) -> list[Ceiling]:
    """Measure the bare loop and then the sender, with the same clients and partner."""
    results = []
    for name in ("bare loop", "sender"):
        say(f"{name}: {seconds:g} s")
        with tempfile.TemporaryDirectory(prefix="cedarwick-ceiling-") as folder:
            results.append(measure_program(name, seconds, folder))
    return results


def measure_program(name: str, seconds: float, folder: str) -> Ceiling:
    """Measure the bare loop or a sender, whose state is in the folder, with a partner process of its own."""
    host = sender_host(0)
    cores = sorted(os.sched_getaffinity(0))
    with ReservedPort(host) as partner_port, ReservedPort(host) as port:
        with run_program(["cedarwick.lab.quick", host, str(partner_port.number)], cores[1 % len(cores)]) as partner:
            if name == "sender":
                with run_sender(folder, partner_port.number, cores[0]) as (process, address):
                    answered, cpu, memory = run_closed_loop_clients(address, seconds, process, cores)
            else:
                command = ["cedarwick.lab.bare", host, str(port.number), host, str(partner_port.number), folder]
                with run_program(command, cores[0]) as bare:
                    answered, cpu, memory = run_closed_loop_clients(
                        port.address, seconds, psutil.Process(bare.pid), cores
                    )
            partner.terminate()
            counts = json.loads(partner.communicate(timeout=10)[0])
    return Ceiling(name, steady_rate(counts), round(cpu, 3), answered, round(memory, 1))


def steady_rate(counts: list[list[int]]) -> float:
    """Return the calls a second, without `EXCLUDED_S` at both ends; `counts` holds pairs of step number and calls."""
    if not counts:
        return 0.0
    skipped = round(EXCLUDED_S / COUNT_INTERVAL_S)
    first, last = counts[0][0] + skipped, counts[-1][0] - skipped
    return round(
        sum(count for at, count in counts if first <= at < last)
        / max(COUNT_INTERVAL_S, (last - first) * COUNT_INTERVAL_S),
        1,
    )


def run_closed_loop_clients(
    address: tuple[str, int], seconds: float, process: psutil.Process, cores: list[int]
) -> tuple[dict[str, int], float, float]:
    """Run closed-loop clients; return their answers by kind, the process's share of a core and its memory in MB."""
    started_at, before = time.monotonic(), process.cpu_times()
    clients = []
    for number in range(LOAD_PROCESSES):
        command = [
            sys.executable,
            "-m",
            "cedarwick.lab.closed",
            address[0],
            str(address[1]),
            str(CLIENTS // LOAD_PROCESSES),
            str(seconds),
            "only",
            str(DESTINATIONS),
            str(BODY_BYTES),
            f"{number:02x}",
        ]
        clients.append(subprocess.Popen(command, stdout=subprocess.PIPE))
        psutil.Process(clients[-1].pid).cpu_affinity([cores[(2 + number) % len(cores)]])
    answered: dict[str, int] = {}
    for client in clients:
        for answer, count in json.loads(client.communicate(timeout=seconds + 60)[0]).items():
            answered[answer] = answered.get(answer, 0) + count
    after = process.cpu_times()
    cpu_seconds = after.user + after.system - before.user - before.system
    return answered, cpu_seconds / (time.monotonic() - started_at), process.memory_info().rss / (1 << 20)


class ProgramNotStartedError(CedarwickError, OSError):
    """A program that the measurement needs did not start."""

    code = "CW604"
    remedy = "run the named module by hand and read its output"


@contextmanager
def run_program(command: list[str], core: int) -> Iterator[subprocess.Popen[bytes]]:
    """Run one of this package's programs on the given core; the context begins when it prints that it is ready."""
    process = subprocess.Popen([sys.executable, "-m", *command], stdout=subprocess.PIPE)
    try:
        psutil.Process(process.pid).cpu_affinity([core])
        assert process.stdout is not None
        if process.stdout.readline().strip() != b"ready":
            raise ProgramNotStartedError(f"{command[0]} did not start")
        yield process
    finally:
        process.kill()
        process.wait()


@contextmanager
def run_sender(folder: str, partner_port: int, core: int) -> Iterator[tuple[psutil.Process, tuple[str, int]]]:
    """Run a sender on the given core, with an endpoint list in which one partner serves all destinations.

    Yields its process and the address at which it listens.
    """
    scenario = Scenario(
        name="ceiling",
        priority_classes=[PriorityClass(name="only", outer_ms=20_000)],
        partner=[Partner(name="quick", destinations=DESTINATIONS)],
        limits=Limits(sockets=4096, disk_mb=256, memory_mb=1024, slots=1024, most_open=20_000),
    )
    day, endpoint_list = Day(), EndpointList()
    for destination in range(DESTINATIONS):
        endpoint_list.put(f"s-{destination}", partner_port, destination, "quick", "up")
    agent = Agent(day, endpoint_list, 0)
    instance = Instance(day, scenario, 0, 1, agent, folder, 1, COMMAND)
    try:
        instance.start()
        assert instance.process is not None
        process = psutil.Process(instance.process.pid)
        process.cpu_affinity([core])
        while not answers_ping(instance.address):
            gevent.sleep(0.05)
        yield process, instance.address
    finally:
        instance.shut_down()
        agent.close()
