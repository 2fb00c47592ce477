"""The sender processes of a laboratory fleet, with their folders and operator files, and observations of them."""

import contextlib
import os
import random
import shutil
import signal
import sys
import tempfile
from collections.abc import Callable, Sequence
from types import TracebackType
from typing import Any, Literal, Self

import gevent
import gevent.socket

from cedarwick.lab.clients import Clients, SenderPool
from cedarwick.lab.day import PROCESSOR_WINDOW_US, Day
from cedarwick.lab.environment import Environment
from cedarwick.lab.history import Gone, Handed, History
from cedarwick.lab.listeners import ReservedPort
from cedarwick.lab.register import Agent
from cedarwick.lab.relay import Relay
from cedarwick.lab.scenario import Scenario
from cedarwick.lab.senders import COMMAND, Instance

POLL_S = 0.02  # between two checks of a condition that is waited for
CALL_TIMEOUT_S = 5.0  # of a management call
CORRUPTED_BYTES = 64  # bytes that are flipped in a corrupted file
Pair = tuple[int, int]  # the numbers of two senders: who sends requests, and who answers


class Member(Instance):
    """A sender of a fleet: an instance with a failure domain (`hall`), a peer address and a management address."""

    def __init__(self, fleet: "FleetProcesses", number: int, agent: Agent, folder: str) -> None:
        super().__init__(fleet.day, fleet.scenario, number, len(fleet.halls), agent, folder, fleet.seed, fleet.command)
        self.fleet = fleet
        self.hall = fleet.halls[number]
        self.reserved_peer_port = ReservedPort(f"127.0.20.{number + 1}")
        self.reserved_management_port = ReservedPort(f"127.0.21.{number + 1}")
        self.peer_address = self.reserved_peer_port.address
        self.management_address = self.reserved_management_port.address

    def shut_down(self) -> None:
        """Kill the process, if one runs, and release the reserved ports."""
        super().shut_down()
        self.reserved_peer_port.release()
        self.reserved_management_port.release()

    def _operator(self) -> dict[str, str]:
        variables = super()._operator() | {"RELAY_MANAGEMENT": "{}:{}".format(*self.management_address)}
        table = self.fleet.fleet_table(self.number)
        if not table:
            return variables
        path = os.path.join(self.folder, "operator.toml")
        with open(path, "a" if "CEDARWICK_OPERATOR" in variables else "w", encoding="utf-8") as file:
            file.write(table)
        return variables | {"CEDARWICK_OPERATOR": path}

    def rewrite(self) -> None:
        """Rewrite the configuration and the operator file, and send SIGHUP."""
        self.configure()
        self._operator()
        self.reload()

    @property
    def state(self) -> str:
        """The path of the state folder."""
        return os.path.join(self.folder, "state")


class LinkFault:
    """A fault of links that is in effect: the relays' faults, and what the history will record of it."""

    def __init__(self, kind: str, on: list[str], began: int, faults: list[tuple[Relay, int]]) -> None:
        self.kind = kind
        self.on = on
        self.began = began
        self.faults = faults


class FleetProcesses:
    """Owns the sender processes, the relays between them and their environment; a context manager."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        halls: Sequence[str] = ("east", "east", "west"),
        *,
        group: str = "harbour",
        ack: Literal["own", "copy"] = "own",
        copies: int = 1,
        keys: str = "",
        folder: str = "",
        within: str | None = None,
        command: Sequence[str] = COMMAND,
        relays: bool = True,
        print_line: Callable[[str], None] = print,
    ) -> None:
        """Create the fleet; `begin` starts its processes.

        `keys` holds further lines of the table [fleet], or tables that follow it. `folder` is not deleted at the end;
        without it, a temporary folder is created in `within`, and deleted. Without `relays`, the senders are
        configured with each other's own addresses, and links cannot have faults.
        """
        self.scenario = scenario
        self.seed = seed
        self.halls = tuple(halls)
        self.group = group
        self.ack = ack
        self.copies = copies
        self.keys = keys
        self.command = command
        self.print_line = print_line
        self.rng = random.Random(f"fleet {seed}")
        self.scratch = "" if folder else tempfile.mkdtemp(prefix="cedarwick-fleet-", dir=within)
        self.folder = folder or self.scratch
        self.day = Day()
        self.environment = Environment(self.day, scenario, seed, len(self.halls))
        self.members = [
            Member(self, number, agent, self.folder) for number, agent in enumerate(self.environment.agents)
        ]
        self.relays: dict[Pair, Relay] = {}
        if group and relays:
            for pair in self.pairs():
                host = f"127.1.{pair[0] + 1}.{pair[1] + 1}"
                self.relays[pair] = Relay(
                    "n{}>n{}".format(*pair), self.members[pair[1]].peer_address, seed, host, self._print_timed
                )
        self.sender_pool = SenderPool(self.day, list(self.members), scenario.clients.notice_s)
        self.clients = Clients(self.day, scenario, self.sender_pool)
        self.direct_clients: dict[int, Clients] = {}  # clients that send to one sender only
        for agent in self.environment.agents:
            agent.on_notice = self._handle_notice
        self.link_faults: list[LinkFault] = []
        self.unfinished_activities = 0  # number of drawn faults and loads that have not ended
        self.errors: list[str] = []  # faults that could not be carried out
        self.monitors: list[gevent.Greenlet] = []
        self.loads: list[gevent.Greenlet] = []
        self.ended = 0

    @property
    def history(self) -> History:
        """The history of the day."""
        return self.day.history

    def __enter__(self) -> Self:
        # Caution: without this, SIGTERM would leave the sender processes running, and stopped ones for ever.
        self.on_term = gevent.signal_handler(signal.SIGTERM, self._exit_on_term)
        return self

    def __exit__(self, kind: type[BaseException] | None, error: BaseException | None, _: TracebackType | None) -> None:
        if kind is not None:
            self.print_line(f"seed {self.seed}: {kind.__name__}")
        self.on_term.cancel()
        self.close()

    def close(self) -> None:
        """Kill every process by its id, close relays and environment, and delete the folder if it is temporary."""
        self._end_processes()
        gevent.killall(self.monitors)
        self.clients.close()
        for each in self.direct_clients.values():
            each.close()
        for relay in self.relays.values():
            relay.close()
        self.environment.close()
        if self.scratch:
            shutil.rmtree(self.scratch, ignore_errors=True)

    def _end_processes(self) -> None:
        for member in self.members:
            member.shut_down()

    def _exit_on_term(self) -> None:
        self._end_processes()
        sys.exit(128 + signal.SIGTERM)

    # ---- configuration ----

    def pairs(self) -> list[Pair]:
        """Return all ordered pairs of senders."""
        numbers = range(len(self.halls))
        return [(one, other) for one in numbers for other in numbers if one != other]

    def fleet_table(self, number: int) -> str:
        """Return the operator-file text of one sender: logging of messages, and the table [fleet].

        The table has the sender's own peer address, and for each other member the address of the relay to it.
        """
        if not self.group:
            return ""
        lines = ["[log]", "messages = true"]  # for the timelines of messages that the audit names
        lines += ["[fleet]", f'group = "{self.group}"', f'ack = "{self.ack}"', f"copies = {self.copies}"]
        lines += [self.keys] if self.keys and not self.keys.startswith("[") else []
        for member in self.members:
            own = member.number == number
            address = member.peer_address if own or not self.relays else self.relays[number, member.number].address
            lines += [
                "[[fleet.member]]",
                f'name = "n{member.number}"',
                'address = "{}:{}"'.format(*address),
                f'hall = "{member.hall}"',
            ]
        lines += [self.keys] if self.keys.startswith("[") else []
        return "\n".join(lines) + "\n"

    # ---- processes ----

    def begin(self) -> None:
        """Start all senders, and the time of the day once they are ready.

        `SenderNotReadyError` names the log of a sender that does not answer.
        """
        self.monitors.append(gevent.spawn(self._watch_processors))
        gevent.joinall([gevent.spawn(member.start) for member in self.members], raise_error=True)
        shift = self.day.now()
        self.day.begin()
        for life in self.history.life:
            life.at -= shift
        for heard in self.history.heard:
            heard.at -= shift
        self.monitors += [gevent.spawn(self.day.watch_lag), gevent.spawn(self.sender_pool.watch)]

    def start(self, number: int) -> None:
        """Start a new process on the same folder; `SenderNotReadyError` as in `begin`."""
        # Caution: an end that is detected only after the next start would be recorded as a crash.
        self.wait_until(
            lambda: self._count_events(number, "started") == self._count_events(number, "ended", "crashed"),
            5.0,
            f"the end of n{number}",
        )
        self.members[number].start()

    def kill(self, number: int) -> None:
        """Send SIGKILL; returns when the process has ended."""
        self.members[number].kill()
        self._await_end(number)

    def terminate_process(self, number: int) -> None:
        """Send SIGTERM, and SIGKILL if the process does not end in time; returns when it has ended."""
        self.members[number].terminate()

    def stop(self, number: int) -> None:
        """Send SIGSTOP."""
        self.members[number].stop()

    def resume_process(self, number: int) -> None:
        """Send SIGCONT."""
        self.members[number].resume()

    def reload(self, number: int) -> None:
        """Rewrite a sender's configuration files, and send SIGHUP."""
        self.members[number].rewrite()

    def delete_folder(self, number: int) -> None:
        """Empty a sender's state folder; its process, if one runs, is killed first."""
        if self.members[number].running():
            self.kill(number)
        shutil.rmtree(self.members[number].state)
        os.mkdir(self.members[number].state)
        self._record_instant("folder-lost", [f"n{number}"])

    def fill_disk(self, number: int, mb: float = 0.01) -> None:
        """Limit the size of a sender's folder, so that its disk counts as full."""
        self.members[number].disk_mb = mb
        self.reload(number)

    def restore_disk(self, number: int) -> None:
        """Restore the scenario's limit of the folder size."""
        self.fill_disk(number, self.scenario.limits.disk_mb)

    def corrupt_file(self, number: int, draw: int = 0, name: str = "") -> str:
        """Flip bytes of a file in a sender's state folder: the one named, or a non-empty one drawn by `draw`.

        Returns the path of the file within the folder, or an empty string if there is none. A running process goes on.
        """
        state = self.members[number].state
        files_in_state = sorted(os.path.join(at, file) for at, _, files in os.walk(state) for file in files)
        candidates = [
            path for path in files_in_state if os.path.getsize(path) and (not name or os.path.basename(path) == name)
        ]
        if not candidates:
            return ""
        rng = random.Random(draw)
        path = rng.choice(candidates)
        begin = rng.randrange(os.path.getsize(path))
        with open(path, "r+b") as file:
            file.seek(begin)
            flipped = bytes(byte ^ 0xA5 for byte in file.read(CORRUPTED_BYTES))
            file.seek(begin)
            file.write(flipped)
        self._print_timed(f"n{number}: {os.path.relpath(path, state)} corrupted at byte {begin}")
        self._record_instant("folder-spoilt", [f"n{number}"])
        return os.path.relpath(path, state)

    def _count_events(self, number: int, *events: str) -> int:
        return sum(life.sender == number and life.event in events for life in self.history.life)

    def _await_end(self, number: int) -> None:
        while self.members[number].running():
            gevent.sleep(0.005)

    def _record_instant(self, kind: str, on: list[str]) -> None:
        now = self.day.now()
        self.history.add(Gone(len(self.history.gone), kind, now, now, on, 0.0))

    def _watch_processors(self) -> None:
        """Record how long the senders waited for a processor, as counted by the kernel; never returns."""
        before: dict[int, int] = {}
        while True:
            now = {}
            for member in self.members:
                if member.process is None:
                    continue
                with contextlib.suppress(OSError, ValueError, IndexError):
                    with open(f"/proc/{member.process.pid}/schedstat", encoding="ascii") as file:
                        now[member.process.pid] = waited = int(file.read().split()[1]) // 1000
                    newly_waited = waited - before.get(member.process.pid, waited)
                    name = f"n{member.number}"
                    self.day.processor_waits_us[name] = max(newly_waited, self.day.processor_waits_us.get(name, 0))
            before = now
            gevent.sleep(PROCESSOR_WINDOW_US / 1_000_000)

    # ---- observations ----

    def call(self, number: int, line: str) -> str:
        """Call a sender's management address and return the whole answer; OSError if there is none."""
        with gevent.socket.create_connection(self.members[number].management_address, CALL_TIMEOUT_S) as sock:
            sock.settimeout(CALL_TIMEOUT_S)
            sock.sendall(line.encode() + b"\n")
            parts = []
            while part := sock.recv(65536):
                parts.append(part)
            return b"".join(parts).decode()

    def metrics(self, number: int) -> dict[str, float]:
        """Return the metrics of a sender by name and labels, such as `sender_passed_total{category=free}`."""
        from prometheus_client.parser import text_string_to_metric_families

        text = self.call(number, "METRICS").removesuffix("END\n")
        found = {}
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                labels = ",".join(f"{name}={value}" for name, value in sorted(sample.labels.items()))
                found[sample.name + (f"{{{labels}}}" if labels else "")] = float(sample.value)
        return found

    def log(self, number: int) -> str:
        """Return all that a sender has logged, over all of its processes."""
        with open(self.members[number].log, encoding="utf-8", errors="replace") as file:
            return file.read()

    def counters(self, number: int, seconds: float = 2.0) -> str:
        """Return the counters that a running sender logs on SIGUSR1."""
        before = len(self.log(number))
        process = self.members[number].process
        assert process is not None
        process.send_signal(signal.SIGUSR1)
        self.wait_until(lambda: len(self.log(number)) > before, seconds)
        gevent.sleep(0.05)
        return self.log(number)[before:]

    def wait_until(self, condition: Callable[[], Any], seconds: float, what: str | Callable[[], str] = "it") -> None:
        """Wait for a condition; TimeoutError names the seed and `what`, which is evaluated at the end of the wait."""
        end = self.day.now() + round(seconds * 1_000_000)
        while not condition():
            if self.day.now() > end:
                name = what if isinstance(what, str) else what()
                raise TimeoutError(f"seed {self.seed}: {name} did not come within {seconds} s")
            gevent.sleep(POLL_S)

    def unfinished(self) -> list[Handed]:
        """Return the accepted messages that have no final answer yet."""
        ended = {notice.id for notice in self.history.noticed}
        ended.update(call.id for call in self.history.called if call.status == 200)
        return [handed for handed in self.history.handed if handed.answer == "ok" and handed.id not in ended]

    def _handle_notice(self, id: str, state: str, after: int) -> None:
        for clients in (self.clients, *self.direct_clients.values()):
            clients.handle_notice(id, state, after)

    def _print_timed(self, line: str) -> None:
        self.print_line(f"{self.day.now() / 1_000_000:8.3f} s  {line}")
