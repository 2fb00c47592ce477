"""Senders of the laboratory: real `python -m cedarwick` processes, each with its own address, agent and folder."""

import json
import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from typing import Any

import gevent
import gevent.lock
import gevent.socket
import psutil

from cedarwick.errors import CedarwickError
from cedarwick.lab.day import Day
from cedarwick.lab.history import Life, Sampled
from cedarwick.lab.listeners import ReservedPort, sender_host
from cedarwick.lab.register import Agent
from cedarwick.lab.scenario import Scenario, sender_settings

READY_TIMEOUT_S = 15.0  # time within which a started sender must answer PING
REAP_INTERVAL_S = 0.05  # between two checks whether a process has ended
SAMPLE_INTERVAL_S = 0.5  # between two samples of the resources that a process uses
TERM_TIMEOUT_S = 3.7  # from SIGTERM to SIGKILL
# Starting a process blocks the event loop, and so do many in a row, by which requests would be sent late.
START_INTERVAL_S = 0.005
start_slot = gevent.lock.BoundedSemaphore(1)
PING = b"*1\r\n$4\r\nPING\r\n"
COMMAND = (sys.executable, "-m", "cedarwick")


class SenderNotReadyError(CedarwickError):
    """A sender did not become ready; the text says what happened and names its log."""

    code = "CW601"
    remedy = "read the log that is named; its last line says why the sender did not start"


class Instance:
    """One sender over all of its successive processes."""

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
        self.expected_to_end: set[int] = set()  # ids of processes that the laboratory ends itself
        self.faults_holding_down = 0  # active faults that keep the process from running
        self.disk_mb = scenario.limits.disk_mb
        self.ready_at = -1

    @property
    def address(self) -> tuple[str, int]:
        """The address on which the sender listens for clients."""
        return self.reserved.address

    @property
    def config(self) -> str:
        """The path of the configuration file."""
        return os.path.join(self.folder, "config.json")

    # ---- the process ----

    def start(self) -> None:
        """Start a new process on the same folder; `SenderNotReadyError` if it does not answer PING in time."""
        self.starts += 1
        self.configure()
        environment = {
            **os.environ,
            "RELAY_CONFIG": self.config,
            "RELAY_STATE": os.path.join(self.folder, "state"),
            "RELAY_NAME": f"n{self.number}",
            **self._operator(),
        }
        with start_slot, open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.command, env=environment, stdout=log, stderr=log)
            self._record("started")
            gevent.sleep(START_INTERVAL_S)
        gevent.spawn(self._reap, self.process)
        end_at = self.day.now() + round(READY_TIMEOUT_S * 1_000_000)
        while not self._answers_ping():
            if self.faults_holding_down:
                return  # another fault ended the process in the meantime, and will restart it
            if (status := self.process.poll()) is not None:
                raise self._not_ready(f"ended with status {status} before it answered PING")
            if self.day.now() > end_at:
                raise self._not_ready(f"did not answer PING within {READY_TIMEOUT_S:g} s")
            gevent.sleep(0.02)
        self.ready_at = self.day.now()
        self._record("ready")

    def take_down(self, gently: bool) -> None:
        """Begin a fault that ends the process, if one runs, and keeps it down until `bring_up`."""
        self.faults_holding_down += 1
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
        """End such a fault; the end of the last of several overlapping faults restarts the process."""
        self.faults_holding_down -= 1
        if not self.faults_holding_down:
            self.start()

    def _operator(self) -> dict[str, str]:
        """Write the operator file if the scenario needs one, and return the environment variable that names it."""
        limits = self.scenario.limits
        if not (limits.segment_kb or limits.durable):
            return {}
        path = os.path.join(self.folder, "operator.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(f"[store]\nsegment_kb = {limits.segment_kb}\n")
            file.write(f'durability = "{"group" if limits.durable else "none"}"\n')
        return {"CEDARWICK_OPERATOR": path}

    def kill(self) -> None:
        """Send SIGKILL."""
        self._expect_end()
        self._record("killed")
        self.send_signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL after `TERM_TIMEOUT_S`; returns when the process has ended."""
        process = self.process
        self._expect_end()
        self._record("termed")
        self.send_signal(signal.SIGTERM)
        end_at = self.day.now() + round(TERM_TIMEOUT_S * 1_000_000)
        # Caution: another fault may end this process in the meantime, and a later process may already run.
        while process is not None and process.poll() is None:
            if self.day.now() > end_at:
                self.kill()
            gevent.sleep(0.02)

    def stop(self) -> None:
        """Send SIGSTOP: the process is paused, and its connections stay open."""
        self._record("stopped")
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT."""
        self.send_signal(signal.SIGCONT)
        self._record("continued")

    def reload(self) -> None:
        """Send SIGHUP."""
        self.send_signal(signal.SIGHUP)

    def running(self) -> bool:
        """Whether a process of this sender runs."""
        return self.process is not None and self.process.poll() is None

    def shut_down(self) -> None:
        """Kill the process, if one runs, and release the reserved port."""
        self.reserved.release()
        if self.running():
            assert self.process is not None
            self._expect_end()
            self.process.kill()
            self.process.wait()

    def configure(self, **changes: Any) -> None:
        """Write the configuration file from the present state, with the given keys replaced."""
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
        """Replace the configuration file by one that cannot be parsed."""
        with open(self.config, "w", encoding="utf-8") as file:
            file.write('{"name": "n')

    # ---- observations ----

    def sample(self) -> None:
        """Record the memory, descriptors and processor time of the process at intervals; never returns."""
        while True:
            process = self.process
            if process is not None and process.poll() is None:
                try:
                    observed = psutil.Process(process.pid)
                    times = observed.cpu_times()
                    self.day.history.add(
                        Sampled(
                            self.number,
                            self.day.now(),
                            observed.memory_info().rss,
                            observed.num_fds(),
                            round((times.user + times.system) * 1_000_000),
                        )
                    )
                except psutil.Error:
                    pass
            gevent.sleep(SAMPLE_INTERVAL_S)

    def _reap(self, process: subprocess.Popen[bytes]) -> None:
        while process.poll() is None:
            gevent.sleep(REAP_INTERVAL_S)
        if process.pid in self.expected_to_end:
            self._record("ended", 0)
        else:
            self._record("crashed", process.returncode)

    def _expect_end(self) -> None:
        """Mark the end of the present process as caused by the laboratory, so that it does not count as a crash."""
        if self.process is not None:
            self.expected_to_end.add(self.process.pid)

    def _record(self, event: str, status: int = 0) -> None:
        self.day.history.add(Life(self.number, event, self.day.now(), status))

    def _not_ready(self, what: str) -> SenderNotReadyError:
        """Build the error from what happened, the path of the sender's log and its last line."""
        with open(self.log, encoding="utf-8", errors="replace") as log:
            last = (log.read().splitlines() or ["empty"])[-1]
        return SenderNotReadyError(f"sender n{self.number} {what}; its log is {self.log}, last line: {last}")

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.running():
            assert self.process is not None
            self.process.send_signal(number)

    def _answers_ping(self) -> bool:
        try:
            with gevent.socket.create_connection(self.address, 0.5) as sock:
                sock.settimeout(0.5)
                sock.sendall(PING)
                return bool(sock.recv(16) == b"+PONG\r\n")
        except OSError:
            return False
