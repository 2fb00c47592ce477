"""Simulates a fleet in one process in virtual time: `python -m cedarwick.lab.virtual_day FIRST LAST [OPTION]...`.

The members run the real code for dispatch, decisions, peer messages, notices and storage. Network, partners, clients
and the platform are simulated with random numbers from the seed. The faults are those of `schedule.py`, injected into
the simulated network and the senders' folders, and `invariants.py` audits the recorded history. A seed always gives the
same day. Prints a JSON line for each day with its seed, findings and account; the exit status is 1 if there are any
findings.
"""

import argparse
import json
import os
import sys
import tempfile
from collections.abc import Sequence
from typing import Any, Literal

import msgspec
from loguru import logger

from cedarwick.config.operator import Fleet, Member
from cedarwick.lab import invariants
from cedarwick.lab.audit_cases import Finding, Verdict
from cedarwick.lab.schedule import KINDS, DrawnFault, draw_plan
from cedarwick.lab.units import SECOND
from cedarwick.lab.virtual import Kernel, Task, patched_runtime
from cedarwick.lab.virtual_clients import SimulatedClients, SimulatedOperator
from cedarwick.lab.virtual_faults import FaultRunner
from cedarwick.lab.virtual_network import SimulatedNetwork
from cedarwick.lab.virtual_partners import SimulatedPartners
from cedarwick.lab.virtual_senders import Sender
from cedarwick.lab.virtual_state import DAY_LIMIT_US, SCENARIO, STATE_POLL_S, DayState, Level
from cedarwick.lab.virtual_subscribers import EVENT_DRAIN_US, SimulatedSubscribers

Ack = Literal["own", "copy"]
Alone = Literal["busy", "own"]

# By the number of senders: the hall of each, "e" for east and "w" for west.
HALL_PATTERNS = {3: "eew", 4: "eeww", 5: "eeeww", 6: "eeewww", 7: "eeeewww"}
STARTUP_DELAY_S = 1.8  # delay between readiness of all senders and the first message
MAX_END_WAIT_US = 12 * SECOND  # limit on the wait for final answers after load and faults
REQUIRED_IDLE_CHECKS = 10  # successive checks, 0.1 s apart, that find no unfinished message


class Day:
    """One simulated day, from the start of its senders to the last final answer."""

    def __init__(self, state: DayState, seconds: float, subscribers: int) -> None:
        """`seconds`: duration of the load; `subscribers`: their number."""
        self.state = state
        self.seconds = seconds
        partners = SimulatedPartners(state)
        self.senders = [Sender(state, partners, number) for number in range(state.fleet_size)]
        self.network = SimulatedNetwork(state, self.senders)
        self.faults = FaultRunner(state, self.network, self.senders)
        self.clients = SimulatedClients(state, self.senders)
        self.operator = SimulatedOperator(state, self.senders)
        self.subscribers = SimulatedSubscribers(state, self.senders, subscribers)
        self.tasks: list[Task] = []  # the load and the faults
        self.ended_at = 0  # virtual time at which recording ended; 0 while the day runs

    def run(self, faults: list[DrawnFault]) -> None:
        """Run the day; raises `TimeoutError` if it does not end within the limit of virtual time."""
        with patched_runtime(self.state.kernel, self.network.deliver, self.subscribers.exchange_class()):
            try:
                self.state.kernel.spawn_in(None, self._run, faults)
                while not self.ended_at and not self.state.kernel.errors and self.state.now() < DAY_LIMIT_US:
                    self.state.kernel.run(self.state.now() + SECOND // 10)
            finally:
                self.state.kernel.close()
                for sender in self.senders:
                    sender.close()
        if not self.ended_at and not self.state.kernel.errors:
            raise TimeoutError(
                f"the day of seed {self.state.seed} did not end within {DAY_LIMIT_US // SECOND} s of virtual time"
            )

    def _run(self, faults: list[DrawnFault]) -> None:
        kernel = self.state.kernel
        for sender in self.senders:
            sender.start()
        while any(sender.node is None for sender in self.senders):
            kernel.sleep(STATE_POLL_S)
        kernel.sleep(STARTUP_DELAY_S)
        load_begin = self.state.now()
        self.tasks = [kernel.spawn_in(None, self.clients.submit_until, load_begin + round(self.seconds * SECOND))]
        self.tasks += [kernel.spawn_in(None, self.faults.run_fault, each, load_begin) for each in faults]
        if self.state.fleet_config.sessions:
            for task in (self.operator.move_sessions, self.operator.drain_senders):
                kernel.spawn_in(None, task)
        for subscriber in self.subscribers.active:
            kernel.spawn_in(None, subscriber.run)
        kernel.joinall(self.tasks)
        self.state.quiescent = True
        wait_until, idle_checks = self.state.now() + MAX_END_WAIT_US, 0
        while idle_checks < REQUIRED_IDLE_CHECKS and self.state.now() < wait_until:
            kernel.sleep(0.1)
            idle_checks = idle_checks + 1 if not self._has_unfinished() else 0
        if self.subscribers.active:
            self.state.subscriber_records.settled = self.state.now()
            kernel.sleep(EVENT_DRAIN_US / SECOND)
            self.subscribers.probe_ended_subscriptions()
        self.ended_at = self.state.now()

    def _has_unfinished(self) -> bool:
        """Whether an accepted message has neither a notice nor a delivery yet."""
        ended = {each.id for each in self.state.history.noticed}
        ended |= {each.id for each in self.state.history.called if each.status == 200}
        return any(each.answer == "ok" and each.id not in ended for each in self.state.history.handed)


def run_day(
    seed: int,
    senders: int = 3,
    ack: Ack = "own",
    alone: Alone = "busy",
    copies: int = 1,
    seconds: float = 8.0,
    kinds: tuple[str, ...] = KINDS,
    level: Level = "usual",
    history: str = "",
    sessions: bool = False,
    subscribers: int = 0,
) -> Verdict:
    """Run the day of a seed and return the audit's verdict. An exception in the program is a finding of rule 0.

    `history`: a file to write the history to. `level`: "hard" has twice as many faults, shorter ones, and receivers
    that fail more often; on "worst" days most calls are refused, hang or are reset, so that little is delivered; "calm"
    has failing receivers but no other faults. The audit of order across senders makes an allowance for every fault, so
    it is strictest with sessions that move on calm days. `sessions`: every message has an order key, clients change
    senders, and an operator moves sessions and drains senders.
    """
    halls = {"e": "east", "w": "west"}
    fleet_config = Fleet(
        group="virtual",
        ack=ack,
        alone=alone,
        copies=copies,
        sessions=sessions,
        member=[
            Member(name=f"n{number}", address=f"127.0.0.{number + 1}:7000", hall=halls[hall])
            for number, hall in enumerate(HALL_PATTERNS[senders])
        ],
    )
    schedule_options: dict[str, Any] = {"count": round(seconds), "longest_s": 2.5} if level != "usual" else {}
    faults = (
        draw_plan(seed, senders, seconds, kinds=kinds, copies=copies, **schedule_options).faults
        if level != "calm"
        else []
    )
    with tempfile.TemporaryDirectory() as scratch_dir:
        state = DayState(seed, fleet_config, level, scratch_dir)
        day = Day(state, seconds, subscribers)
        day.run(faults)
    if history:
        state.history.write(history)
    # A sender that accepts messages while isolated guarantees no more than its own folder does.
    terms = invariants.Terms(senders=senders, ack="own" if alone == "own" else ack)
    subscriber_records = state.subscriber_records if subscribers else None
    verdict = invariants.judge(SCENARIO, state.history, day.ended_at or state.now(), terms, subscriber_records)
    verdict.findings[:0] = [Finding(0, (), error) for error in state.kernel.errors]  # an exception ends the day
    return verdict


def log_format(_: object) -> str:
    """Return the format of a log line: virtual time and the name of the process."""
    kernel = Kernel.running
    process = kernel.current.process if kernel.current is not None else None
    return f"{kernel.now / SECOND:8.3f} {process.name if process is not None else '--'} {{message}}\n"


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m cedarwick.lab.virtual_day", description=__doc__)
    parser.add_argument("first", type=int, help="the first seed")
    parser.add_argument("last", type=int, help="the last seed")
    parser.add_argument("--senders", type=int, default=3, choices=sorted(HALL_PATTERNS))
    parser.add_argument("--ack", default="own", choices=("own", "copy"))
    parser.add_argument("--alone", default="busy", choices=("busy", "own"))
    parser.add_argument("--copies", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8.0, help="duration of the load")
    parser.add_argument("--kinds", nargs="+", default=KINDS, choices=KINDS, metavar="KIND", help=", ".join(KINDS))
    parser.add_argument(
        "--level",
        default="usual",
        choices=("calm", "usual", "hard", "worst"),
        help="number of faults and behaviour of the partners",
    )
    parser.add_argument(
        "--sessions", action="store_true", help="give each message an order key and move sessions between senders"
    )
    parser.add_argument("--subscribers", type=int, default=0, help="number of subscribers that follow events")
    parser.add_argument(
        "--history", default="", metavar="FOLDER", help="write the history of each day to a file in FOLDER"
    )
    parser.add_argument("--log", action="store_true", help="write the senders' log to standard error")
    options = parser.parse_args(arguments)
    logger.remove()
    if options.log:
        logger.add(sys.stderr, format=log_format)
    any_findings = False
    for seed in range(options.first, options.last + 1):
        path = os.path.join(options.history, f"{seed}.jsonl") if options.history else ""
        verdict = run_day(
            seed,
            options.senders,
            options.ack,
            options.alone,
            options.copies,
            options.seconds,
            tuple(options.kinds),
            options.level,
            path,
            options.sessions,
            options.subscribers,
        )
        any_findings = any_findings or bool(verdict.findings)
        rows = [{"rule": each.rule, "ids": each.ids, "text": each.text} for each in verdict.findings]
        line = {"seed": seed, "findings": rows, "account": msgspec.to_builtins(verdict.account)}
        print(json.dumps(line), flush=True)
    return int(any_findings)


if __name__ == "__main__":
    sys.exit(main())
