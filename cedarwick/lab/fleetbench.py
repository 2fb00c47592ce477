"""`python -m cedarwick.lab.fleetbench [PART ...]`: the cost of a fleet, compared with baselines.

    answers   time to `+OK` and messages a second: without a fleet, with asynchronous and with synchronous replicas
    orphans   time from the crash of a sender to the final answers of its messages; baseline: an immediate restart
    catchup   catch-up of a replica that lacks 10,000 pending messages, and its cost for live traffic
    bytes     bytes between senders, for each message
    idle      memory, startup time and CPU with the fleet off and on; `--before` is an older tree of the program

The senders are real processes. Modes are measured alternately, in turns; a table cell shows the median of all turns,
and their minimum and maximum. Loads are open loop and come from a separate process: a time counts from when a request
was due.
"""

import argparse
import json
import os
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from statistics import median

import gevent
import gevent.subprocess
import msgspec
import psutil

from cedarwick.fleet.messages import PeerBody, ReplicaAck, ReplicateFacts, ReplicatePiece, decode
from cedarwick.fleet.replication import MAX_MESSAGE_NUMBER
from cedarwick.fleet.replication_facts import decode_facts
from cedarwick.lab.ceiling import run_closed_loop_clients, run_program, steady_rate
from cedarwick.lab.fleet import Fleet
from cedarwick.lab.listeners import ReservedPort, sender_host
from cedarwick.lab.load import Loader, Plan, Report
from cedarwick.lab.partner import Effect
from cedarwick.lab.quick import COUNT_INTERVAL_S
from cedarwick.lab.relay import Direction
from cedarwick.lab.scenario import Limits, Partner, PriorityClass, Scenario, Service
from cedarwick.lab.senders import COMMAND

MODES = ("alone", "own", "copy")  # no fleet; `+OK` after storing locally; `+OK` after a replica has stored, too
QUICK_DESTINATIONS = 20  # destinations that answer at once; as many others can be made to refuse connections
RATES = (200, 600)  # messages a second
BODY_BYTES = 212
WARM_UP_S = 1.0  # seconds of load that are not counted, and of rest after the first `+OK`
HELD_COUNTS = (10, 100, 500)  # messages that the crashed sender held
MISSED_MESSAGES = 10_000  # messages that are accepted while the replica is down
FILL_RATE = 1000  # messages a second while the replica is down
MEMBER_COUNTS = (3, 7, 20)
TIMEOUT_S = 60.0  # for each awaited condition
HALLS = ("east", "east", "west")
SCENARIO = Scenario(
    name="fleetbench",
    news_ms=[0, 0],
    priority_classes=[PriorityClass(name="only", expected_ms=60_000, outer_ms=120_000)],
    partner=[
        Partner(name="quick", destinations=QUICK_DESTINATIONS),
        Partner(
            name="gone",
            destinations=QUICK_DESTINATIONS,
            workers=1000,
            queue=10_000,
            connections=1000,
            service=Service(kind="fixed", mean_ms=1),
        ),
    ],
    limits=Limits(sockets=4096, disk_mb=512, memory_mb=1024, slots=1024, most_open=40_000),
)


def print_progress(line: str) -> None:
    """Print a line to standard error; standard output holds the tables only."""
    print(line, file=sys.stderr, flush=True)


def format_cell(values: Sequence[float]) -> str:
    """Format the median of some turns, with their minimum and maximum if these differ when shown; three digits."""
    shown = [
        f"{value:,.{0 if median(values) >= 100 else 1 if median(values) >= 10 else 2}f}"
        for value in (median(values), min(values), max(values))
    ]
    return shown[0] if shown[1] == shown[2] else f"{shown[0]} ({shown[1]} to {shown[2]})"


class ResultTable:
    """Figures by row and name, with one value for each turn."""

    def __init__(self, report_progress: Callable[[str], None] = print_progress) -> None:
        self.report_progress = report_progress
        self.rows: dict[str, dict[str, list[float]]] = {}

    def add(self, row: str, figures: dict[str, float]) -> None:
        """Add one turn of a row, and print it."""
        self.report_progress(f"  {row}: " + ", ".join(f"{name} {value:g}" for name, value in figures.items()))
        for name, value in figures.items():
            self.rows.setdefault(row, {}).setdefault(name, []).append(value)

    def table(self, row_heading: str) -> str:
        """Return a Markdown table with the rows in the order of their first turns; all rows have the same figures."""
        names = list(next(iter(self.rows.values())))
        lines = [[row_heading, *names], ["---"] * (len(names) + 1)]
        lines += [[row, *(format_cell(figures[name]) for name in names)] for row, figures in self.rows.items()]
        return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def cost_per_message(loaded: float, seconds: float, idle: float, idle_seconds: float, messages: int) -> float:
    """Return the cost of a message: the cost under load less the cost of the same time without load, per message."""
    return (loaded - idle * seconds / idle_seconds) / max(1, messages)


def relayed_body(raw: bytes) -> PeerBody:
    """Return the body of a peer message that a relay has seen as an HTTP request or response."""
    return decode(raw.partition(b"\r\n\r\n")[2]).body


def idle_cores() -> list[int]:
    """Return the cores that this process may use, the least busy one first."""
    used = psutil.cpu_percent(0.3, percpu=True)
    return sorted(os.sched_getaffinity(0), key=lambda core: used[core])


class TestBed:
    """A fleet that accepts messages, and a partner process that answers at once."""

    def __init__(self, fleet: Fleet, partner: "subprocess.Popen[bytes]") -> None:
        self.fleet, self.partner = fleet, partner

    def load(self, rate: float, seconds: float, first: int = 0) -> Report:
        """Submit messages to the first sender from a separate process, and wait for its end."""
        plan = Plan(
            [self.fleet.members[0].address],
            rate,
            seconds,
            "only",
            QUICK_DESTINATIONS,
            BODY_BYTES,
            120_000,
            5.0,
            64,
            first=first,
        )
        command = [sys.executable, "-m", "cedarwick.lab.fleetbench", "--load"]
        child = gevent.subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        output, _ = child.communicate(msgspec.json.encode(plan), timeout=seconds + TIMEOUT_S)
        report: Report = msgspec.json.decode(output, type=Report)
        if report.void or set(report.answers) != {"ok"}:
            print_progress(f"    at {rate:g}/s: {report.answers} {report.void}")
        return report

    def process(self, number: int) -> psutil.Process:
        """Return the process of a sender."""
        process = self.fleet.members[number].process
        assert process is not None
        return psutil.Process(process.pid)

    def max_throughput(self, seconds: float) -> tuple[float, float]:
        """Run closed-loop clients; return calls a second at the partner and the sender's share of its core."""
        cores = idle_cores()
        self.process(0).cpu_affinity(cores[:1])
        psutil.Process(self.partner.pid).cpu_affinity([cores[1 % len(cores)]])
        first_step = round(time.time() / COUNT_INTERVAL_S)
        _, cpu_share, _ = run_closed_loop_clients(self.fleet.members[0].address, seconds, self.process(0), cores)
        self.partner.terminate()
        counts = json.loads(self.partner.communicate(timeout=10)[0])
        return steady_rate([each for each in counts if each[0] >= first_step]), cpu_share

    def wait_until_accepting(self, number: int) -> None:
        """Wait until a sender answers `+OK` to a message."""
        self.fleet.wait_until(
            lambda: self.fleet.submit_messages(number)[0].answer == "ok", TIMEOUT_S, f"`+OK` of n{number}"
        )

    def cpu_seconds(self) -> list[float]:
        """Return the CPU seconds that each sender has used so far."""
        return [sum(self.process(number).cpu_times()[:2]) for number in range(len(self.fleet.members))]

    def refuse_connections(self) -> Callable[[], None]:
        """Let half of the destinations refuse connections, until the returned function is called."""
        effect_ends = [
            self.fleet.begin_effect(QUICK_DESTINATIONS + number, Effect("crash"))
            for number in range(QUICK_DESTINATIONS)
        ]

        def end() -> None:
            for end_effect in effect_ends:
                end_effect()

        return end


@contextmanager
def run_test_bed(
    mode: str, senders: int = 3, relays: bool = False, command: Sequence[str] = COMMAND
) -> Iterator[TestBed]:
    """Run a fleet in one of the modes; the context begins when all its members accept messages."""
    halls = [HALLS[number % len(HALLS)] for number in range(senders)]
    with (
        ReservedPort(sender_host(0)) as port,
        run_program(["cedarwick.lab.quick", "0.0.0.0", str(port.number)], idle_cores()[0]) as partner,
        Fleet(
            SCENARIO,
            1,
            halls,
            group="" if mode == "alone" else "bench",
            ack="copy" if mode == "copy" else "own",
            command=command,
            relays=relays,
            print_line=lambda _: None,
        ) as fleet,
    ):
        for server in fleet.environment.servers:
            if server.destination_number < QUICK_DESTINATIONS:
                fleet.environment.endpoint_list.put(
                    server.endpoint.uid, port.number, server.destination_number, "quick", "up"
                )
        for agent in fleet.environment.agents:
            agent.learn_all()
        fleet.begin()
        psutil.Process(partner.pid).cpu_affinity([])
        test_bed = TestBed(fleet, partner)
        for number in range(senders):
            test_bed.wait_until_accepting(number)
        gevent.sleep(WARM_UP_S)
        yield test_bed


def answers(turns: int, seconds: float) -> str:
    """Measure the time to `+OK`, CPU and the maximum throughput in each mode."""
    results = ResultTable()
    for _ in range(turns):
        for mode in MODES:
            figures: dict[str, float] = {}
            with run_test_bed(mode) as test_bed:
                test_bed.load(RATES[0], WARM_UP_S)
                for rate in RATES:
                    cpu_before = test_bed.cpu_seconds()
                    report = test_bed.load(rate, seconds)
                    spent = [after - before for before, after in zip(cpu_before, test_bed.cpu_seconds(), strict=True)]
                    per_message = 1e6 / max(1, report.answers.get("ok", 0))
                    figures |= {
                        f"p50 at {rate}/s, ms": report.took.at["50"],
                        f"p99 at {rate}/s, ms": report.took.at["99"],
                        f"CPU of the sender per message at {rate}/s, µs": spent[0] * per_message,
                        f"CPU of the other two per message at {rate}/s, µs": sum(spent[1:]) * per_message,
                    }
                figures["maximum messages a second"], figures["share of the sender's core then"] = (
                    test_bed.max_throughput(seconds)
                )
            results.add(mode, figures)
    return results.table("`+OK`")


def orphans(turns: int, _: float) -> str:
    """Measure the time from the crash of a sender to the final answers of its messages."""
    results = ResultTable()
    names = {"alone": "alone, restarted at once", "own": "own, folder gone", "copy": "copy, folder gone"}
    for _ in range(turns):
        for mode in MODES:
            for count in HELD_COUNTS:
                with run_test_bed(mode) as test_bed:
                    results.add(f"{names[mode]}; {count} held", measure_crash(test_bed, count, restart=mode == "alone"))
    return results.table("seconds after the crash")


def measure_crash(test_bed: TestBed, count: int, restart: bool) -> dict[str, float]:
    """Return the seconds from a sender's crash to the first and the last final answer of the messages that it held."""
    fleet = test_bed.fleet
    accept_connections = test_bed.refuse_connections()
    held: set[str] = set()
    while len(held) < count:
        refusing = QUICK_DESTINATIONS + len(held) // 10 % QUICK_DESTINATIONS
        held |= {each.id for each in fleet.submit_messages(0, 10, destination=refusing) if each.answer == "ok"}
    gevent.sleep(WARM_UP_S)
    crashed_at = fleet.day.now()
    if restart:
        fleet.kill(0)
        gevent.spawn(fleet.start, 0)
    else:
        fleet.delete_folder(0)
    accept_connections()
    answered_at: dict[str, int] = {}

    def all_answered() -> bool:
        for id, at in [(call.id, call.ended) for call in fleet.history.called if call.status == 200] + [
            (notice.id, notice.at) for notice in fleet.history.noticed
        ]:
            if id in held:
                answered_at[id] = min(at, answered_at.get(id, at))
        return len(answered_at) == len(held)

    fleet.wait_until(all_answered, TIMEOUT_S * 2, f"the final answers of all {count} messages")
    return {
        "first final answer": (min(answered_at.values()) - crashed_at) / 1e6,
        "last": (max(answered_at.values()) - crashed_at) / 1e6,
    }


def catchup(turns: int, seconds: float) -> str:
    """Measure how fast a replica catches up, and its cost for live traffic."""
    results = ResultTable()
    for _ in range(turns):
        for mode in MODES[1:]:
            with run_test_bed(mode, relays=True) as test_bed:
                results.add(mode, measure_catchup(test_bed, seconds))
    return results.table("ack")


def measure_catchup(test_bed: TestBed, seconds: float) -> dict[str, float]:
    """Kill a replica, submit 10,000 messages that cannot be delivered, and start the replica again."""
    fleet, rate = test_bed.fleet, RATES[0]
    test_bed.refuse_connections()
    seen: list[tuple[int, int, PeerBody]] = []

    def record_from(other: int) -> Callable[[Direction, bytes], None]:
        def tap(_: Direction, raw: bytes) -> None:
            if b"Piece" in raw or b"Have" in raw or b"Facts" in raw:
                seen.append((fleet.day.now(), other, relayed_body(raw)))

        return tap

    for (one, other), relay in fleet.relays.items():
        if one == 0:
            relay.taps.append(record_from(other))
    without_backlog = test_bed.load(rate, seconds)
    sent = Counter((other, body.partition) for _, other, body in seen if isinstance(body, ReplicateFacts))
    successor, partition = sent.most_common(1)[0][0]
    fleet.kill(successor)
    gevent.sleep(4 * WARM_UP_S)  # until the others consider it failed and another replica has replaced it
    filled = test_bed.load(FILL_RATE, MISSED_MESSAGES / FILL_RATE, QUICK_DESTINATIONS)
    gevent.sleep(4 * WARM_UP_S)
    before = test_bed.load(rate, seconds)
    seen.clear()
    load = gevent.spawn(test_bed.load, rate, seconds)
    fleet.start(successor)

    def sent_pieces() -> tuple[list[tuple[int, ReplicatePiece]], int]:
        """Return the pieces sent to the replica until it acknowledged all of them, and that time (0: not yet)."""
        pieces: list[tuple[int, ReplicatePiece]] = []
        for at, other, body in seen:
            if other != successor or not isinstance(body, ReplicatePiece | ReplicaAck) or body.partition != partition:
                continue
            if isinstance(body, ReplicatePiece):
                pieces.append((at, body))
            elif pieces and body.covered == MAX_MESSAGE_NUMBER:
                return pieces, at
        return pieces, 0

    fleet.wait_until(lambda: sent_pieces()[1], TIMEOUT_S, "a complete replica")
    pieces, end = sent_pieces()
    took = (end - pieces[0][0]) / 1e6
    records = sum(len(decode_facts(body.facts)) for _, body in pieces)
    return {
        "owed": filled.answers["ok"],
        "records sent": records,
        "s": took,
        "records a second": records / took,
        "bytes a second": sum(len(body.facts) for _, body in pieces) / took,
        "p99 without a backlog, ms": without_backlog.took.at["99"],
        "p99 before, ms": before.took.at["99"],
        "p99 during, ms": load.get().took.at["99"],
    }


def bytes_between(turns: int, seconds: float) -> str:
    """Measure the bytes between senders for each message, less those of an idle fleet."""
    results = ResultTable()
    for _ in range(turns):
        for mode in MODES[1:]:
            with run_test_bed(mode, relays=True) as test_bed:
                sent: Counter[str] = Counter()

                def tap(way: Direction, raw: bytes, sent: Counter[str] = sent) -> None:
                    body = relayed_body(raw)
                    sent["all"] += len(raw)
                    sent[type(body).__name__] += len(raw)
                    sent["messages"] += way == "asks" and isinstance(body, ReplicateFacts)

                for relay in test_bed.fleet.relays.values():
                    relay.taps.append(tap)
                gevent.sleep(seconds)
                idle = Counter(sent)
                for rate in RATES:
                    sent.clear()
                    load_began_at = time.monotonic()
                    count = test_bed.load(rate, seconds).answers.get("ok", 0)
                    elapsed = time.monotonic() - load_began_at
                    each = {
                        kind: cost_per_message(sent[kind], elapsed, idle[kind], seconds, count)
                        for kind in ("all", "ReplicateFacts", "ReplicaAck", "messages")
                    }
                    results.add(
                        f"{mode}, {rate}/s",
                        {
                            "bytes per message": each["all"],
                            "facts": each["ReplicateFacts"],
                            "acknowledgements": each["ReplicaAck"],
                            "peer messages with facts per message": each["messages"],
                            "idle, bytes a second of all three senders": idle["all"] / seconds,
                        },
                    )
    return results.table("ack, rate")


def idle(turns: int, seconds: float, before: str = "") -> str:
    """Measure memory, CPU and startup time without load; `before` is the folder of an older tree of the program."""
    older = ("env", f"PYTHONPATH={before}", sys.executable, "-P", "-m", "cedarwick")
    configurations: list[tuple[str, str, int, Sequence[str]]] = [("off, before", "alone", 3, older)] if before else []
    configurations += [("off", "alone", 3, COMMAND)] + [
        (f"on, {count} members", "own", count, COMMAND) for count in MEMBER_COUNTS
    ]
    results = ResultTable()
    for _ in range(turns):
        for name, mode, senders, command in configurations:
            with run_test_bed(mode, senders, command=command) as test_bed:
                gevent.sleep(2 * WARM_UP_S)
                cpu_before = sum(test_bed.cpu_seconds())
                gevent.sleep(seconds)
                cpu_used = sum(test_bed.cpu_seconds()) - cpu_before
                memory = median(test_bed.process(number).memory_info().rss for number in range(senders))
                test_bed.fleet.terminate_process(0)
                gevent.sleep(WARM_UP_S)  # until its end is in the history
                started_at = time.monotonic()
                test_bed.fleet.start(0)
                ready = time.monotonic() - started_at
                test_bed.wait_until_accepting(0)
                results.add(
                    name,
                    {
                        "memory of a sender, MB": memory / (1 << 20),
                        "CPU of a sender, % of a core": 100 * cpu_used / seconds / senders,
                        "until PING is answered, s": ready,
                        "until `+OK`, s": time.monotonic() - started_at,
                    },
                )
    return results.table("fleet")


PARTS: dict[str, Callable[[int, float], str]] = {
    "answers": answers,
    "orphans": orphans,
    "catchup": catchup,
    "bytes": bytes_between,
    "idle": idle,
}


def main() -> int:
    """Measure the parts that the command line names, and print a table of each."""
    parser = argparse.ArgumentParser(prog="python -m cedarwick.lab.fleetbench")
    parser.add_argument("part", nargs="*", help=f"parts to measure: {', '.join(PARTS)}; default: all")
    parser.add_argument("--turns", type=int, default=5, help="number of turns")
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="duration of each load and of each measurement without load"
    )
    parser.add_argument("--before", default="", help="folder of an older tree of the program, for the part idle")
    parser.add_argument("--load", action="store_true", help="run as the load process, with a plan from standard input")
    options = parser.parse_args()
    if options.load:
        report = Loader(msgspec.json.decode(sys.stdin.buffer.read(), type=Plan)).run()
        print(msgspec.json.encode(report).decode())
        return 0
    if unknown := [name for name in options.part if name not in PARTS]:
        parser.error(f"unknown part {unknown[0]}; the parts are {', '.join(PARTS)}")
    for name in options.part or PARTS:
        load_before = os.getloadavg()[0]
        table = (
            idle(options.turns, options.seconds, options.before)
            if name == "idle"
            else PARTS[name](options.turns, options.seconds)
        )
        print(
            f"\n{name}: {options.turns} turns; load average {load_before:.1f} at the begin, "
            f"{os.getloadavg()[0]:.1f} at the end, {os.cpu_count()} cores\n\n{table}",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
