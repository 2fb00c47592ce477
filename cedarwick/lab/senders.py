"""Senders: each is a real process of `python -m cedarwick` with an address, an agent and a folder of its own."""

import json
import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from typing import Any

import gevent
import gevent.socket
import psutil

from cedarwick.errors import CedarwickError
from cedarwick.lab.day import Day
from cedarwick.lab.history import Life, Sampled
from cedarwick.lab.listeners import ReservedPort, sender_host
from cedarwick.lab.register import Agent
from cedarwick.lab.scenario import Scenario, sender_settings

READY_IN = 15.0  # seconds in which a started sender must answer PING
REAP = 0.05  # seconds between two looks at a process
SAMPLE = 0.5  # seconds between two looks at what it uses
TERM_LASTS = 3.7  # seconds from SIGTERM to SIGKILL
PING = b"*1\r\n$4\r\nPING\r\n"
COMMAND = (sys.executable, "-m", "cedarwick")


class SenderNotReadyError(CedarwickError):
    """A sender did not start; the text says how its process ended and names its log."""

    code = "CW601"
    remedy = "read the log that is named; its last line says why the sender did not start"


class Instance:
    """One sender over all its processes (lives)."""

    def __init__(
        self,
        day: Day,
        scenario: Scenario,
        number: int,
        senders: int,
        agent: Agent,
        folder: str,
        seed: int,
        command: Sequence[str] = COMMAND,
    ) -> None:
        self.day = day
        self.scenario = scenario
        self.number = number
        self.senders = senders
        self.agent = agent
        self.seed = seed
        self.command = command
        self.folder = os.path.join(folder, f"n{number}")
        self.log = os.path.join(folder, f"n{number}.log")
        os.makedirs(os.path.join(self.folder, "state"), exist_ok=True)
        self.reserved = ReservedPort(sender_host(number))
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.expected_to_end: set[int] = set()  # processes, by id
        self.held_down = 0  # faults that keep it from running
        self.disk_mb = scenario.limits.disk_mb
        self.ready_at = -1

    @property
    def address(self) -> tuple[str, int]:
        return self.reserved.address

    @property
    def config(self) -> str:
        return os.path.join(self.folder, "config.json")

    # ---- its life ----

    def start(self) -> None:
        """A new process on the same folder; `SenderNotReadyError` where it does not answer PING in time."""
        self.starts += 1
        self.configure()
        environment = {
            **os.environ,
            "RELAY_CONFIG": self.config,
            "RELAY_STATE": os.path.join(self.folder, "state"),
            "RELAY_NAME": f"n{self.number}",
            **self._operator(),
        }
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.command, env=environment, stdout=log, stderr=log)
        self._life("started")
        gevent.spawn(self._reap, self.process)
        end_at = self.day.now() + round(READY_IN * 1_000_000)
        while not self._pongs():
            if self.held_down:
                return  # another fault has ended it meanwhile, and will start it again
            if (status := self.process.poll()) is not None:
                raise self._not_ready(f"ended with status {status} before it answered PING")
            if self.day.now() > end_at:
                raise self._not_ready(f"did not answer PING within {READY_IN:g} s")
            gevent.sleep(0.02)
        self.ready_at = self.day.now()
        self._life("ready")

    def take_down(self, gently: bool) -> None:
        """Begin a fault that ends the process, if one runs, and keeps it down until its `bring_up`."""
        self.held_down += 1
        process = self.process
        if process is None or process.poll() is not None:
            return
        if gently:
            self.terminate()
        else:
            self.kill()
        while process.poll() is None:
            gevent.sleep(0.01)

    def bring_up(self) -> None:
        """End such a fault; the last one of several that overlap starts the process again."""
        self.held_down -= 1
        if not self.held_down:
            self.start()

    def _operator(self) -> dict[str, str]:
        """The variable that names an operator file, where the scenario wants one."""
        limits = self.scenario.limits
        if not (limits.segment_kb or limits.durable):
            return {}
        path = os.path.join(self.folder, "operator.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(f"[store]\nsegment_kb = {limits.segment_kb}\n")
            file.write(f'durability = "{"group" if limits.durable else "none"}"\n')
        return {"CEDARWICK_OPERATOR": path}

    def kill(self) -> None:
        """SIGKILL."""
        self._expect_end()
        self._life("killed")
        self.send_signal(signal.SIGKILL)

    def terminate(self) -> None:
        """SIGTERM, and SIGKILL to what has not ended in its time. Returns when it has ended."""
        process = self.process
        self._expect_end()
        self._life("termed")
        self.send_signal(signal.SIGTERM)
        end_at = self.day.now() + round(TERM_LASTS * 1_000_000)
        # Danger: meanwhile another fault may have ended it, and a later process may run by now.
        while process is not None and process.poll() is None:
            if self.day.now() > end_at:
                self.kill()
            gevent.sleep(0.02)

    def stop(self) -> None:
        """SIGSTOP: the process is paused, its connections stay open."""
        self._life("stopped")
        self.send_signal(signal.SIGSTOP)

    def go_on(self) -> None:
        """SIGCONT."""
        self.send_signal(signal.SIGCONT)
        self._life("continued")

    def reload(self) -> None:
        """SIGHUP."""
        self.send_signal(signal.SIGHUP)

    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """No process of this sender is left, and its port is free."""
        self.reserved.release()
        if self.running():
            assert self.process is not None
            self._expect_end()
            self.process.kill()
            self.process.wait()

    def configure(self, **changes: Any) -> None:
        """Write the configuration as it is now, with the given keys changed."""
        limits = self.scenario.limits
        assignment = {
            "name": f"n{self.number}",
            "listen": "{}:{}".format(*self.address),
            "discovery": self.agent.address,
            "seed": f"{(self.seed << 16) + (self.number << 8) + self.starts:016x}",
            "limits": {
                "cores": 1.0,
                "memory_mb": limits.memory_mb,
                "sockets": limits.sockets,
                "disk_mb": self.disk_mb,
            },
            "known": self.agent.known_list(),
            "settings": sender_settings(self.scenario, self.senders),
            **changes,
        }
        with open(self.config + ".new", "w", encoding="utf-8") as file:
            json.dump(assignment, file)
        os.replace(self.config + ".new", self.config)

    def spoil_configuration(self) -> None:
        """Replace the configuration by one that cannot be read."""
        with open(self.config, "w", encoding="utf-8") as file:
            file.write('{"name": "n')

    # ---- what is seen of it ----

    def sample(self) -> None:
        """Sample what the process uses; never returns."""
        while True:
            process = self.process
            if process is not None and process.poll() is None:
                try:
                    seen = psutil.Process(process.pid)
                    times = seen.cpu_times()
                    self.day.history.add(
                        Sampled(
                            self.number,
                            self.day.now(),
                            seen.memory_info().rss,
                            seen.num_fds(),
                            round((times.user + times.system) * 1_000_000),
                        )
                    )
                except psutil.Error:
                    pass
            gevent.sleep(SAMPLE)

    def _reap(self, process: subprocess.Popen[bytes]) -> None:
        while process.poll() is None:
            gevent.sleep(REAP)
        if process.pid in self.expected_to_end:
            self._life("ended", 0)
        else:
            self._life("crashed", process.returncode)

    def _expect_end(self) -> None:
        """Note that the present process ends because the laboratory ends it."""
        if self.process is not None:
            self.expected_to_end.add(self.process.pid)

    def _life(self, event: str, status: int = 0) -> None:
        self.day.history.add(Life(self.number, event, self.day.now(), status))

    def _not_ready(self, what: str) -> SenderNotReadyError:
        """An error with what happened, the last line of the sender's log, and where that is."""
        with open(self.log, encoding="utf-8", errors="replace") as log:
            last = (log.read().splitlines() or ["empty"])[-1]
        return SenderNotReadyError(f"sender n{self.number} {what}; its log is {self.log}, last line: {last}")

    def send_signal(self, number: int) -> None:
        """Send a signal to the process, if one runs."""
        if self.running():
            assert self.process is not None
            self.process.send_signal(number)

    def _pongs(self) -> bool:
        try:
            with gevent.socket.create_connection(self.address, 0.5) as sock:
                sock.settimeout(0.5)
                sock.sendall(PING)
                return bool(sock.recv(16) == b"+PONG\r\n")
        except OSError:
            return False
