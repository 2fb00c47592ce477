"""A fleet of real sender processes, with partners, platform and clients, and a relay for every ordered pair.

    with Fleet(scenario, seed, halls=("east", "east", "west"), ack="copy") as fleet:
        fleet.begin()
        fleet.load(seconds=10)                      open-loop clients as in the scenario
        fleet.run_plan(draw_plan(seed, 3, 10))      drawn faults; or single ones:
        fleet.kill(0); fleet.split({0, 1}, {2}); fleet.begin_fault(Fault(kind="delay", ms=50), (0, 1)); fleet.heal()
        fleet.settle()
        verdict = fleet.judge()

Everything but the senders runs in this process. Every process that a fleet started is ended when its context is
left, however that happens. With `group=""` the senders are independent of each other, and there are no relays.
"""

import tomllib
from collections.abc import Callable, Iterable

import gevent
import gevent.socket
import msgspec

from cedarwick.lab import audit, invariants
from cedarwick.lab.audit_cases import Verdict, cases_by_id
from cedarwick.lab.audit_subscribers import Watched
from cedarwick.lab.clients import Clients, SenderPool
from cedarwick.lab.fleet_processes import POLL_S, FleetProcesses, LinkFault, Pair
from cedarwick.lab.history import NEVER, Gone, Handed
from cedarwick.lab.message_story import day_offset, message_timeline
from cedarwick.lab.partner import Effect
from cedarwick.lab.relay import Fault
from cedarwick.lab.schedule import LINK_KINDS, DrawnFault, Plan
from cedarwick.lab.senders import SenderNotReadyError
from cedarwick.lab.workload import Arrival, draw_schedule

SETTLE_POLL_S = 0.1  # between two checks whether a day has ended
QUIET_S = 1.0  # time for which the day must stay quiet after the last final answer
MAX_FINDINGS = 20  # listed in a report
MAX_TIMELINES = 3  # messages whose timelines a report shows


class Fleet(FleetProcesses):
    """A fleet with faults of its links and processes, load from clients, and the verdict of the audit."""

    # ---- faults between senders ----

    def begin_fault(self, fault: Fault, *pairs: Pair, kind: str = "", on: Iterable[int] = ()) -> LinkFault:
        """Begin a relay fault on the given ordered pairs, or on all of them; the result is for `heal`."""
        affected = list(pairs) or self.pairs()
        names = [f"n{each}" for each in on] or ["n{}>n{}".format(*pair) for pair in affected]
        made = LinkFault(
            kind or fault.kind,
            names,
            self.day.now(),
            [(self.relays[pair], self.relays[pair].begin(fault)) for pair in affected],
        )
        self.link_faults.append(made)
        return made

    def cut(self, one: int, other: int) -> LinkFault:
        """Cut the link between two senders in both directions; connections are reset."""
        return self.begin_fault(Fault(kind="cut"), (one, other), (other, one))

    def cut_one_way(self, one: int, other: int) -> LinkFault:
        """Drop all that `one` sends to `other`, requests and answers; what `other` sends still arrives."""
        made = self.begin_fault(Fault(kind="cut", way="asks"), (one, other))
        made.faults.append((self.relays[other, one], self.relays[other, one].begin(Fault(kind="cut", way="answers"))))
        return made

    def split(self, *groups: Iterable[int], silent: bool = False) -> LinkFault:
        """Cut all links between groups; all but the largest group count as cut off. If `silent`, nothing is reset."""
        sets = sorted((set(group) for group in groups), key=len)
        cut_pairs = [
            (one, other) for one, other in self.pairs() if not any(one in group and other in group for group in sets)
        ]
        cut_off = sorted(set(range(len(self.halls))) - sets[-1])
        return self.begin_fault(Fault(kind="silent" if silent else "cut"), *cut_pairs, kind="split", on=cut_off)

    def isolate(self, number: int, silent: bool = False) -> LinkFault:
        """Cut one sender off from all others."""
        return self.split({number}, set(range(len(self.halls))) - {number}, silent=silent)

    def heal(self, fault: LinkFault | None = None) -> None:
        """End one fault of links, or all of them."""
        for each in list(self.link_faults) if fault is None else [fault]:
            if each not in self.link_faults:
                continue
            self.link_faults.remove(each)
            for relay, number in each.faults:
                relay.end(number)
            self.history.add(Gone(len(self.history.gone), each.kind, each.began, self.day.now(), each.on, 0.0))

    # ---- drawn faults ----

    def run_plan(self, plan: Plan) -> None:
        """Print a plan and start its faults; returns at once. `settle` waits for the last fault to end."""
        for line in plan.lines():
            self.print_line(line)
        for drawn in plan.faults:
            self.unfinished_activities += 1
            gevent.spawn(self._run_fault, drawn, self.day.now())

    def _run_fault(self, drawn: DrawnFault, since: int) -> None:
        try:
            self.day.sleep_until(since + drawn.begin)
            self._inject(drawn, since + drawn.end)
        except (OSError, SenderNotReadyError) as error:  # TimeoutError is an OSError
            self.errors.append(f"{drawn.format().strip()}: {error}")
        finally:
            self.unfinished_activities -= 1

    def _inject(self, drawn: DrawnFault, end: int) -> None:
        if drawn.kind in LINK_KINDS:
            if not self.relays:
                return
            assert drawn.fault is not None
            link_fault = self.begin_fault(drawn.fault, *drawn.pairs)
            self.day.sleep_until(end)
            return self.heal(link_fault)
        if drawn.kind == "split":
            if not self.relays:
                return
            link_fault = self.split(drawn.on, set(range(len(self.halls))) - set(drawn.on), silent=bool(drawn.draw & 1))
            self.day.sleep_until(end)
            return self.heal(link_fault)
        (number,) = drawn.on
        self._print_timed(f"n{number}: {drawn.kind}")
        if drawn.kind == "stop":
            self.stop(number)
            self.day.sleep_until(end)
            return self.resume_process(number)
        if drawn.kind == "disk-full":
            self.fill_disk(number)
            self.day.sleep_until(end)
            return self.restore_disk(number)
        if drawn.kind == "term":
            self.terminate_process(number)
        else:
            self.kill(number)
        if drawn.kind == "folder-lost":
            self.delete_folder(number)
        elif drawn.kind == "folder-spoilt":
            self.corrupt_file(number, drawn.draw)
        self.day.sleep_until(end)
        self.start(number)

    # ---- clients ----

    def load(self, seconds: float, rate: float = 0.0) -> None:
        """Let clients submit messages drawn by the scenario for some seconds, at its rate or another; returns at once.

        `end_loads` ends it early.
        """
        scenario = msgspec.structs.replace(
            self.scenario,
            length_s=seconds,
            short_s=seconds,
            faults=[],
            drawn=type(self.scenario.drawn)(),
            load=msgspec.structs.replace(self.scenario.load, rate=rate or self.scenario.load.rate),
        )
        drawn = draw_schedule(scenario, self.rng.getrandbits(32), len(self.halls), False)
        since = self.day.now()  # after the draw, which takes some time
        arrivals = [msgspec.structs.replace(each, due=each.due + since) for each in drawn.arrivals]
        self.unfinished_activities += 1

        def ended(_: gevent.Greenlet) -> None:
            self.unfinished_activities -= 1

        load = gevent.spawn(self.clients.run, arrivals)
        load.rawlink(ended)  # also called if it is killed before it starts
        self.loads.append(load)

    def end_loads(self) -> None:
        """End every `load`: clients submit no new messages, but still retry those that were refused."""
        gevent.killall(self.loads)
        self.loads.clear()

    def submit_messages(
        self,
        number: int,
        count: int = 1,
        priority_class: str = "",
        destination: int = 0,
        turn: str = "0" * 16,
        size: int = 200,
    ) -> list[Handed]:
        """Submit `count` messages to one sender, each once; returns their records when all are answered."""
        if number not in self.direct_clients:
            self.direct_clients[number] = Clients(
                self.day, self.scenario, SenderPool(self.day, [self.members[number]], 0.0)
            )
        clients = self.direct_clients[number]
        now = self.day.now()
        arrivals = [
            Arrival(
                now,
                f"{self.rng.getrandbits(63):016x}",
                priority_class or self.scenario.priority_classes[0].name,
                destination,
                f"{self.rng.getrandbits(63):016x}",
                turn,
                size,
                (),
            )
            for _ in range(count)
        ]
        ids, before = {arrival.id for arrival in arrivals}, len(self.history.handed)
        clients.run(arrivals)
        found: list[Handed] = []
        while len(found) < count or not all(handed.answer for handed in found):
            gevent.sleep(0.005)
            found = [handed for handed in self.history.handed[before:] if handed.id in ids]
        return found

    def begin_effect(self, destination: int, effect: Effect) -> Callable[[], None]:
        """Begin a fault at all endpoints of a destination; the returned function ends it."""
        ends = [server.begin_fault(effect) for server in self.environment.servers_of(destination)]

        def end() -> None:
            for each in ends:
                each(False)

        return end

    # ---- end and verdict ----

    def settle(self, most: float = 0.0) -> None:
        """Wait until the day has ended, then end all senders with SIGTERM.

        Loads and faults must have ended. The day ends when no final answer has been outstanding for `QUIET_S`, and at
        the latest after `most` seconds; by default when all deadlines and extensions of them have passed.
        """
        outer_ms = max(each.outer_ms for each in self.scenario.priority_classes)
        longest = (outer_ms + self.scenario.rules.end_grace_ms) / 1000
        while self.unfinished_activities:
            gevent.sleep(POLL_S)
        self.heal()
        end = self.day.now() + round((most or longest + 5.0) * 1_000_000)
        quiet = 0.0
        while quiet < QUIET_S and self.day.now() < end:
            gevent.sleep(SETTLE_POLL_S)
            quiet = 0.0 if self.clients.open_requests or self.unfinished() else quiet + SETTLE_POLL_S
        self.ended = self.day.now()
        gevent.joinall([gevent.spawn(member.terminate) for member in self.members if member.running()], timeout=5.0)

    def judge(self, terms: invariants.Terms | None = None, watched: Watched | None = None) -> Verdict:
        """Audit all observations of the day; without a group, by the rules for independent senders."""
        for server in self.environment.servers:
            for away in server.outage_records():
                self.history.add(away)
        lasting = [Gone(0, each.kind, each.began, NEVER, each.on, 0.0) for each in self.link_faults]
        for gone in lasting:
            self.history.add(gone)
        if not self.group:
            return audit.judge(self.scenario, self.history, self.ended)
        terms = terms or self.terms()
        return invariants.judge(self.scenario, self.history, self.ended, terms, watched)

    def terms(self) -> invariants.Terms:
        """Return the guarantees of this fleet; one that goes on alone without copies guarantees only `own`."""
        alone = tomllib.loads(self.fleet_table(0))["fleet"].get("alone") == "own"
        return invariants.Terms(senders=len(self.halls), ack="own" if alone else self.ack)

    def report(self, verdict: Verdict) -> str:
        """Return the verdict in a few lines, with the seed."""
        lines = [f"seed {self.seed}: {verdict.account}", *self.errors]
        shown = verdict.findings[:MAX_FINDINGS]
        lines += [f"{finding.rule}: {' '.join(finding.ids)} {finding.text}" for finding in shown]
        if len(verdict.findings) > MAX_FINDINGS:
            lines.append(f"and {len(verdict.findings) - MAX_FINDINGS} more")
        lines += self.timelines([id for finding in shown for id in finding.ids][:MAX_TIMELINES])
        return "\n".join([*lines, *([void] if (void := self.day.void_reason()) else [])])

    def timelines(self, ids: Iterable[str]) -> list[str]:
        """Return all observations of some messages and each sender's traces of them, in order of time."""
        cases, offset = cases_by_id(self.history), day_offset(self.day)
        logs = [(f"n{member.number}", self.log(member.number)) for member in self.members]
        lines = []
        for id in ids:
            lines.append(f"timeline of {id}:")
            lines += [str(line) for line in message_timeline(cases[id], id, logs, offset)] if id in cases else []
        return lines
