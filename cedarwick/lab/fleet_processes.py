"""The processes of a fleet in the laboratory, each with its folder and operator file, and what is seen of them."""

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

POLL_S = 0.02  # seconds between two looks at something that is waited for
CALL = 5.0  # seconds in which a management call is answered
SPOILS = 64  # bytes that a spoilt file has flipped
Pair = tuple[int, int]


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
        """No process of this sender is left, and its ports are free."""
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
        """Write the configuration and the operator file again, and send SIGHUP."""
        self.configure()
        self._operator()
        self.reload()

    @property
    def state(self) -> str:
        return os.path.join(self.folder, "state")


class LinkFault:
    """A fault of links that lasts: its relays' faults, and its place in the history."""

    def __init__(self, kind: str, on: list[str], began: int, faults: list[tuple[Relay, int]]) -> None:
        self.kind = kind
        self.on = on
        self.began = began
        self.faults = faults


class FleetProcesses:
    """Owns the processes, the relays between them, and all that is around them; a context manager."""

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
        """`keys` are further lines of the table [fleet], or tables after it; `folder` is kept, a temporary one, made
        `within` another, not.
        Without `relays` the senders' configuration has each other's own addresses, and no link can have a fault."""
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
        self.direct_clients: dict[int, Clients] = {}  # clients that know one sender only
        for agent in self.environment.agents:
            agent.on_notice = self._noticed
        self.link_faults: list[LinkFault] = []
        self.unfinished_activities = 0  # drawn faults and loads that have not ended
        self.errors: list[str] = []  # what could not be carried out
        self.monitors: list[gevent.Greenlet] = []
        self.loads: list[gevent.Greenlet] = []
        self.ended = 0

    @property
    def history(self) -> History:
        return self.day.history

    def __enter__(self) -> Self:
        # Danger: a rig that is ended by a signal would leave its senders running, stopped ones for ever.
        self.on_term = gevent.signal_handler(signal.SIGTERM, self._leave_at_once)
        return self

    def __exit__(self, kind: type[BaseException] | None, error: BaseException | None, _: TracebackType | None) -> None:
        if kind is not None:
            self.print_line(f"seed {self.seed}: {kind.__name__}")
        self.on_term.cancel()
        self.close()

    def close(self) -> None:
        """End every process by its id, and all that is around them; the folder goes if it is a temporary one."""
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

    def _leave_at_once(self) -> None:
        self._end_processes()
        sys.exit(128 + signal.SIGTERM)

    # ---- configuration ----

    def pairs(self) -> list[Pair]:
        """All ordered pairs."""
        numbers = range(len(self.halls))
        return [(one, other) for one in numbers for other in numbers if one != other]

    def fleet_table(self, number: int) -> str:
        """The table [fleet] of one sender: its own address, and for each other one that of the relay to it."""
        if not self.group:
            return ""
        lines = ["[log]", "messages = true"]  # for the story of a message that the audit names
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

    # ---- their lives ----

    def begin(self) -> None:
        """Start all; the day's time counts from here.

        `SenderNotReadyError` names the log of one that does not answer.
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
        """A new process on the same folder; `SenderNotReadyError` as at the begin."""
        # Danger: an end that is noticed only after the next start would be taken for a crash.
        self.wait_until(
            lambda: self._lives(number, "started") == self._lives(number, "ended", "crashed"),
            5.0,
            f"the end of n{number}",
        )
        self.members[number].start()

    def kill(self, number: int) -> None:
        """SIGKILL; returns when the process has ended."""
        self.members[number].kill()
        self._await_end(number)

    def terminate_process(self, number: int) -> None:
        """SIGTERM, and SIGKILL to what has not ended in its time; returns when it has ended."""
        self.members[number].terminate()

    def stop(self, number: int) -> None:
        """SIGSTOP."""
        self.members[number].stop()

    def resume_process(self, number: int) -> None:
        """SIGCONT."""
        self.members[number].resume()

    def reload(self, number: int) -> None:
        """Write a sender's files again, and send SIGHUP."""
        self.members[number].rewrite()

    def delete_folder(self, number: int) -> None:
        """Empty its state folder; its process, if one runs, is killed first."""
        if self.members[number].running():
            self.kill(number)
        shutil.rmtree(self.members[number].state)
        os.mkdir(self.members[number].state)
        self._point("folder-lost", [f"n{number}"])

    def fill_disk(self, number: int, mb: float = 0.01) -> None:
        """Limit the size of its folder from now on."""
        self.members[number].disk_mb = mb
        self.reload(number)

    def restore_disk(self, number: int) -> None:
        """Set the limit of its folder back to the first one."""
        self.fill_disk(number, self.scenario.limits.disk_mb)

    def corrupt_file(self, number: int, draw: int = 0, name: str = "") -> str:
        """Flip bytes of a file of its folder: the one named, or one drawn among those that hold something.
        The file's name; empty where there is none. A process that runs is let run."""
        state = self.members[number].state
        held = sorted(os.path.join(at, file) for at, _, files in os.walk(state) for file in files)
        found = [path for path in held if os.path.getsize(path) and (not name or os.path.basename(path) == name)]
        if not found:
            return ""
        chance = random.Random(draw)
        path = chance.choice(found)
        begin = chance.randrange(os.path.getsize(path))
        with open(path, "r+b") as file:
            file.seek(begin)
            spoilt = bytes(byte ^ 0xA5 for byte in file.read(SPOILS))
            file.seek(begin)
            file.write(spoilt)
        self._print_timed(f"n{number}: {os.path.relpath(path, state)} spoilt at {begin}")
        self._point("folder-spoilt", [f"n{number}"])
        return os.path.relpath(path, state)

    def _lives(self, number: int, *events: str) -> int:
        return sum(life.sender == number and life.event in events for life in self.history.life)

    def _await_end(self, number: int) -> None:
        while self.members[number].running():
            gevent.sleep(0.005)

    def _point(self, kind: str, on: list[str]) -> None:
        now = self.day.now()
        self.history.add(Gone(len(self.history.gone), kind, now, now, on, 0.0))

    def _watch_processors(self) -> None:
        """Record how long the senders waited for a processor, by the kernel's count; never returns."""
        before: dict[int, int] = {}
        while True:
            now = {}
            for member in self.members:
                if member.process is None:
                    continue
                with contextlib.suppress(OSError, ValueError, IndexError):
                    with open(f"/proc/{member.process.pid}/schedstat", encoding="ascii") as file:
                        now[member.process.pid] = waited = int(file.read().split()[1]) // 1000
                    took = waited - before.get(member.process.pid, waited)
                    name = f"n{member.number}"
                    self.day.processor_waits_us[name] = max(took, self.day.processor_waits_us.get(name, 0))
            before = now
            gevent.sleep(PROCESSOR_WINDOW_US / 1_000_000)

    # ---- what is seen of them ----

    def call(self, number: int, line: str) -> str:
        """A call at a sender's management address, and its whole answer; OSError where none comes."""
        with gevent.socket.create_connection(self.members[number].management_address, CALL) as sock:
            sock.settimeout(CALL)
            sock.sendall(line.encode() + b"\n")
            parts = []
            while part := sock.recv(65536):
                parts.append(part)
            return b"".join(parts).decode()

    def metrics(self, number: int) -> dict[str, float]:
        """What METRICS says: values by name and labels, as `sender_passed_total{category=free}`."""
        from prometheus_client.parser import text_string_to_metric_families

        text = self.call(number, "METRICS").removesuffix("END\n")
        found = {}
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                labels = ",".join(f"{name}={value}" for name, value in sorted(sample.labels.items()))
                found[sample.name + (f"{{{labels}}}" if labels else "")] = float(sample.value)
        return found

    def log(self, number: int) -> str:
        """All that a sender has logged, over all its processes."""
        with open(self.members[number].log, encoding="utf-8", errors="replace") as file:
            return file.read()

    def counters(self, number: int, seconds: float = 2.0) -> str:
        """The counters that a running sender logs on SIGUSR1."""
        before = len(self.log(number))
        process = self.members[number].process
        assert process is not None
        process.send_signal(signal.SIGUSR1)
        self.wait_until(lambda: len(self.log(number)) > before, seconds)
        gevent.sleep(0.05)
        return self.log(number)[before:]

    def wait_until(self, condition: Callable[[], Any], seconds: float, what: str | Callable[[], str] = "it") -> None:
        """Wait for something; TimeoutError names it, as it is called at the end of the wait, and the seed."""
        end = self.day.now() + round(seconds * 1_000_000)
        while not condition():
            if self.day.now() > end:
                named = what if isinstance(what, str) else what()
                raise TimeoutError(f"seed {self.seed}: {named} did not come within {seconds} s")
            gevent.sleep(POLL_S)

    def unfinished(self) -> list[Handed]:
        """What was taken on and has no end yet."""
        ended = {notice.id for notice in self.history.noticed}
        ended.update(call.id for call in self.history.called if call.status == 200)
        return [handed for handed in self.history.handed if handed.answer == "ok" and handed.id not in ended]

    def _noticed(self, id: str, state: str, after: int) -> None:
        for clients in (self.clients, *self.direct_clients.values()):
            clients.handle_notice(id, state, after)

    def _print_timed(self, line: str) -> None:
        self.print_line(f"{self.day.now() / 1_000_000:8.3f} s  {line}")
