"""Runs a scenario's partners, platform and senders without clients and faults, for an external load."""

import gc
import signal
import tempfile
from collections.abc import Callable

import gevent
import gevent.event

from cedarwick.lab.day import Day
from cedarwick.lab.environment import Environment
from cedarwick.lab.scenario import Scenario
from cedarwick.lab.senders import Instance


def serve_until_stopped(
    scenario: Scenario, seed: int, senders: int, seconds: float, print_line: Callable[[str], None]
) -> None:
    """Start everything, print the senders' addresses, and stop after `seconds` or on SIGINT or SIGTERM."""
    stopped = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    with tempfile.TemporaryDirectory(prefix="cedarwick-serve-") as folder:
        day = Day()
        environment = Environment(day, scenario, seed, senders, record_calls=False)
        instances = [
            Instance(day, scenario, number, senders, environment.agents[number], folder, seed)
            for number in range(senders)
        ]
        try:
            gevent.joinall([gevent.spawn(instance.start) for instance in instances], raise_error=True)
            for instance in instances:
                print_line(f"{instance.address[0]}:{instance.address[1]}")
            gc.collect()
            gc.freeze()
            watch = gevent.spawn(day.watch_lag)
            stopped.wait(seconds)
            watch.kill()
            gevent.joinall(
                [gevent.spawn(instance.terminate) for instance in instances if instance.running()],
                timeout=5.0,
            )
        finally:
            for instance in instances:
                instance.shut_down()
            environment.close()
    calls = sum(server.calls for server in environment.servers)
    print_line(f"{calls} calls were answered; the emulator was at most {day.worst_lag_us / 1000:.0f} ms late")
