"""Days of a fleet in one process with virtual time: `python -m cedarwick.lab.virtual_day FIRST LAST [--senders N] ...`.

The members, their desks, decisions, peer messages, notices and files are the real ones. Network, partners, clients and
the platform are drawn from the seed; faults are those of `schedule.py`, carried out on the drawn network and on the
senders' folders; `invariants.py` judges what was seen. One seed gives one day. Prints a JSON line for each day: its
seed, findings and account; ends with 1 where there are findings.
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
from cedarwick.lab.virtual import Kernel, Task, standing_in
from cedarwick.lab.virtual_clients import DrawnClients, DrawnOperator
from cedarwick.lab.virtual_faults import FaultRunner
from cedarwick.lab.virtual_network import Network
from cedarwick.lab.virtual_partners import DrawnPartners
from cedarwick.lab.virtual_senders import Sender
from cedarwick.lab.virtual_state import LONGEST, LOOK, SCENARIO, DayState, Level
from cedarwick.lab.virtual_subscribers import SETTLED, Subscribers

Ack = Literal["own", "copy"]
Alone = Literal["busy", "own"]

HALLS = {3: "eew", 4: "eeww", 5: "eeeww", 6: "eeewww", 7: "eeeewww"}  # by the number of senders: each one's hall
SETTLE = 1.8  # seconds from when all senders are ready to the first message
WATCHED = 12 * SECOND  # the longest that ends are awaited after the last fault
QUIET = 10  # looks in a row, a tenth of a second apart, that find nothing owed


class Day:
    """One drawn day, from the start of its senders to its last end."""

    def __init__(self, state: DayState, seconds: float, subscribers: int) -> None:
        """`seconds`: how long messages come; `subscribers`: how many."""
        self.state = state
        self.seconds = seconds
        partners = DrawnPartners(state)
        self.senders = [Sender(state, partners, number) for number in range(state.fleet_size)]
        self.network = Network(state, self.senders)
        self.faults = FaultRunner(state, self.network, self.senders)
        self.clients = DrawnClients(state, self.senders)
        self.operator = DrawnOperator(state, self.senders)
        self.subscribers = Subscribers(state, self.senders, subscribers)
        self.tasks: list[Task] = []  # the load and the faults
        self.ended_at = 0  # when the watching stopped

    def run(self, faults: list[DrawnFault]) -> None:
        """`TimeoutError` where the day does not end."""
        with standing_in(self.state.kernel, self.network.carry, self.subscribers.exchange_class()):
            try:
                self.state.kernel.spawn_as(None, self._run, faults)
                while not self.ended_at and not self.state.kernel.errors and self.state.now() < LONGEST:
                    self.state.kernel.run(self.state.now() + SECOND // 10)
            finally:
                self.state.kernel.close()
                for sender in self.senders:
                    sender.close()
        if not self.ended_at and not self.state.kernel.errors:
            raise TimeoutError(f"the day of seed {self.state.seed} is not over after {LONGEST // SECOND} s")

    def _run(self, faults: list[DrawnFault]) -> None:
        kernel = self.state.kernel
        for sender in self.senders:
            sender.start()
        while any(sender.node is None for sender in self.senders):
            kernel.sleep(LOOK)
        kernel.sleep(SETTLE)
        begun = self.state.now()
        self.tasks = [kernel.spawn_as(None, self.clients.load, begun + round(self.seconds * SECOND))]
        self.tasks += [kernel.spawn_as(None, self.faults.carry_out, each, begun) for each in faults]
        if self.state.table.sessions:
            for task in (self.operator.move, self.operator.pause):
                kernel.spawn_as(None, task)
        for follower in self.subscribers.followers:
            kernel.spawn_as(None, follower.run)
        kernel.joinall(self.tasks)
        self.state.resting = True
        end, quiet = self.state.now() + WATCHED, 0
        while quiet < QUIET and self.state.now() < end:
            kernel.sleep(0.1)
            quiet = quiet + 1 if not self._owed() else 0
        if self.subscribers.followers:
            self.state.watched.settled = self.state.now()
            kernel.sleep(SETTLED / SECOND)
            self.subscribers.probe()
        self.ended_at = self.state.now()

    def _owed(self) -> bool:
        """Whether a message that was taken has no end yet."""
        ended = {each.id for each in self.state.history.noticed}
        ended |= {each.id for each in self.state.history.called if each.status == 200}
        return any(each.answer == "ok" and each.id not in ended for each in self.state.history.handed)


def play(
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
    """The verdict on the day of a seed. An error in the program is a finding of rule 0; `history`: a file to write.

    `level`: "hard" has twice as many faults, shorter ones, and receivers that are bad more often; on the "worst"
    days most of all calls are refused, hang or are reset, so that little is delivered. "calm": bad receivers alone. The
    audit of order between senders allows for every fault, so it says most where sessions move on calm days.
    `sessions`: every message has a key, clients change senders, an operator moves sessions and drains senders.
    """
    halls = {"e": "east", "w": "west"}
    table = Fleet(
        group="virtual",
        ack=ack,
        alone=alone,
        copies=copies,
        sessions=sessions,
        member=[
            Member(name=f"n{number}", address=f"127.0.0.{number + 1}:7000", hall=halls[hall])
            for number, hall in enumerate(HALLS[senders])
        ],
    )
    many: dict[str, Any] = {"count": round(seconds), "longest_s": 2.5} if level != "usual" else {}
    faults = draw_plan(seed, senders, seconds, kinds=kinds, copies=copies, **many).faults if level != "calm" else []
    with tempfile.TemporaryDirectory() as scratch:
        state = DayState(seed, table, level, scratch)
        day = Day(state, seconds, subscribers)
        day.run(faults)
    if history:
        state.history.write(history)
    # What goes on alone promises no more than the own folder.
    terms = invariants.Terms(senders=senders, ack="own" if alone == "own" else ack)
    watched = state.watched if subscribers else None
    verdict = invariants.judge(SCENARIO, state.history, day.ended_at or state.now(), terms, watched)
    verdict.findings[:0] = [Finding(0, (), error) for error in state.kernel.errors]  # the day has ended with it
    return verdict


def line_of(_: object) -> str:
    """The format of a line of the log: virtual time, and whose it is."""
    kernel = Kernel.running
    owner = kernel.current.owner if kernel.current is not None else None
    return f"{kernel.now / SECOND:8.3f} {owner.name if owner is not None else '--'} {{message}}\n"


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m cedarwick.lab.virtual_day", description=__doc__)
    parser.add_argument("first", type=int, help="the first seed")
    parser.add_argument("last", type=int, help="the last seed")
    parser.add_argument("--senders", type=int, default=3, choices=sorted(HALLS))
    parser.add_argument("--ack", default="own", choices=("own", "copy"))
    parser.add_argument("--alone", default="busy", choices=("busy", "own"))
    parser.add_argument("--copies", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8.0, help="in which messages come")
    parser.add_argument("--kinds", nargs="+", default=KINDS, choices=KINDS, metavar="KIND", help=", ".join(KINDS))
    parser.add_argument(
        "--level",
        default="usual",
        choices=("calm", "usual", "hard", "worst"),
        help="how many faults, and what partners are like",
    )
    parser.add_argument("--sessions", action="store_true", help="sessions that change senders")
    parser.add_argument("--subscribers", type=int, default=0, help="that follow events here and there")
    parser.add_argument("--history", default="", metavar="FOLDER", help="write each day's history to a file in it")
    parser.add_argument("--log", action="store_true", help="what the senders log, to the standard error")
    options = parser.parse_args(arguments)
    logger.remove()
    if options.log:
        logger.add(sys.stderr, format=line_of)
    broken = False
    for seed in range(options.first, options.last + 1):
        path = os.path.join(options.history, f"{seed}.jsonl") if options.history else ""
        verdict = play(
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
        broken = broken or bool(verdict.findings)
        found = [{"rule": each.rule, "ids": each.ids, "text": each.text} for each in verdict.findings]
        line = {"seed": seed, "findings": found, "account": msgspec.to_builtins(verdict.account)}
        print(json.dumps(line), flush=True)
    return int(broken)


if __name__ == "__main__":
    sys.exit(main())
