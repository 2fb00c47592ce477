"""Several real senders as one fleet, with partners, platform and clients around them and a relay on every pair.

    with Fleet(scenario, seed, halls=("east", "east", "west"), ack="copy") as fleet:
        fleet.begin()
        fleet.load(seconds=10)                      clients, open loop, as the scenario has them
        fleet.carry_out(draw(seed, 3, 10))          drawn faults; or one by one:
        fleet.kill(0); fleet.split({0, 1}, {2}); fleet.begin_fault(Fault(kind="delay", ms=50), (0, 1)); fleet.heal()
        fleet.settle()
        verdict = fleet.judge()

All parties but the senders are in this process. Every process that a fleet started is ended when it is left,
however that happens. With `group=""` the senders know nothing of each other and no relay is made.
"""

import tomllib
from collections.abc import Callable, Iterable

import gevent
import gevent.socket
import msgspec

from cedarwick.lab import audit, invariants
from cedarwick.lab.audit_cases import Verdict, cases_of
from cedarwick.lab.audit_subscribers import Watched
from cedarwick.lab.clients import Clients, SenderPool
from cedarwick.lab.fleet_processes import LOOK, Broken, FleetProcesses, Pair
from cedarwick.lab.history import NEVER, Gone, Handed
from cedarwick.lab.message_story import day_offset, story
from cedarwick.lab.partner import Effect
from cedarwick.lab.relay import Fault
from cedarwick.lab.schedule import LINKS, DrawnFault, Plan
from cedarwick.lab.senders import SenderNotReadyError
from cedarwick.lab.workload import Arrival, draw_schedule

SETTLING = 0.1  # seconds between two looks at the end of a day
WATCH_ON = 1.0  # seconds that are watched after the last end
MOST_FINDINGS = 20  # that a report lists
MOST_STORIES = 3  # messages whose whole story a report tells


class Fleet(FleetProcesses):
    """A fleet's processes with the faults between and in them, the load of clients, and the verdict on both."""

    # ---- faults between senders ----

    def begin_fault(self, fault: Fault, *pairs: Pair, kind: str = "", on: Iterable[int] = ()) -> Broken:
        """A relay's fault on some ordered pairs, on all where none is named; what `heal` ends it by."""
        met = list(pairs) or self.pairs()
        names = [f"n{each}" for each in on] or ["n{}>n{}".format(*pair) for pair in met]
        made = Broken(
            kind or fault.kind,
            names,
            self.day.now(),
            [(self.relays[pair], self.relays[pair].begin(fault)) for pair in met],
        )
        self.broken.append(made)
        return made

    def cut(self, one: int, other: int) -> Broken:
        """Cut the link between two senders in both directions: connections are reset."""
        return self.begin_fault(Fault(kind="cut"), (one, other), (other, one))

    def cut_one_way(self, one: int, other: int) -> Broken:
        """Drop what `one` sends to `other`, requests and answers alike; what `other` sends arrives."""
        made = self.begin_fault(Fault(kind="cut", way="asks"), (one, other))
        made.faults.append((self.relays[other, one], self.relays[other, one].begin(Fault(kind="cut", way="answers"))))
        return made

    def split(self, *groups: Iterable[int], silent: bool = False) -> Broken:
        """Cut all links between groups; all but the largest group count as cut off. `silent`: nothing is reset."""
        sets = sorted((set(group) for group in groups), key=len)
        met = [
            (one, other) for one, other in self.pairs() if not any(one in group and other in group for group in sets)
        ]
        away = sorted(set(range(len(self.halls))) - sets[-1])
        return self.begin_fault(Fault(kind="silent" if silent else "cut"), *met, kind="split", on=away)

    def isolate(self, number: int, silent: bool = False) -> Broken:
        """Cut one sender off from all others."""
        return self.split({number}, set(range(len(self.halls))) - {number}, silent=silent)

    def heal(self, broken: Broken | None = None) -> None:
        """End one fault of links, or all."""
        for each in list(self.broken) if broken is None else [broken]:
            if each not in self.broken:
                continue
            self.broken.remove(each)
            for relay, number in each.faults:
                relay.end(number)
            self.history.add(Gone(len(self.history.gone), each.kind, each.began, self.day.now(), each.on, 0.0))

    # ---- drawn faults ----

    def carry_out(self, plan: Plan) -> None:
        """Print the plan and begin it; returns at once, `settle` waits for its end."""
        for line in plan.lines():
            self.say(line)
        for drawn in plan.faults:
            self.under_way += 1
            gevent.spawn(self._carry_out, drawn, self.day.now())

    def _carry_out(self, drawn: DrawnFault, since: int) -> None:
        try:
            self.day.sleep_until(since + drawn.begin)
            self._one(drawn, since + drawn.end)
        except (OSError, SenderNotReadyError) as error:  # OSError: a TimeoutError, too
            self.failed.append(f"{drawn.line().strip()}: {error}")
        finally:
            self.under_way -= 1

    def _one(self, drawn: DrawnFault, end: int) -> None:
        if drawn.kind in LINKS:
            if not self.relays:
                return
            assert drawn.fault is not None
            broken = self.begin_fault(drawn.fault, *drawn.pairs)
            self.day.sleep_until(end)
            return self.heal(broken)
        if drawn.kind == "split":
            if not self.relays:
                return
            broken = self.split(drawn.on, set(range(len(self.halls))) - set(drawn.on), silent=bool(drawn.draw & 1))
            self.day.sleep_until(end)
            return self.heal(broken)
        (number,) = drawn.on
        self._say(f"n{number}: {drawn.kind}")
        if drawn.kind == "stop":
            self.stop(number)
            self.day.sleep_until(end)
            return self.cont(number)
        if drawn.kind == "disk-full":
            self.fill_disk(number)
            self.day.sleep_until(end)
            return self.empty_disk(number)
        if drawn.kind == "term":
            self.term(number)
        else:
            self.kill(number)
        if drawn.kind == "folder-lost":
            self.delete_folder(number)
        elif drawn.kind == "folder-spoilt":
            self.spoil_file(number, drawn.draw)
        self.day.sleep_until(end)
        self.start(number)

    # ---- clients ----

    def load(self, seconds: float, rate: float = 0.0) -> None:
        """Let clients submit what the scenario draws for so long, at its rate or another; returns at once.

        `end_loads` ends it before that.
        """
        scenario = msgspec.structs.replace(
            self.scenario,
            length_s=seconds,
            short_s=seconds,
            faults=[],
            drawn=type(self.scenario.drawn)(),
            load=msgspec.structs.replace(self.scenario.load, rate=rate or self.scenario.load.rate),
        )
        drawn = draw_schedule(scenario, self.chance.getrandbits(32), len(self.halls), False)
        since = self.day.now()  # after the draw, which takes its time
        arrivals = [msgspec.structs.replace(each, due=each.due + since) for each in drawn.arrivals]
        self.under_way += 1

        def ended(_: gevent.Greenlet) -> None:
            self.under_way -= 1

        load = gevent.spawn(self.clients.run, arrivals)
        load.rawlink(ended)  # also where it is ended before it has begun
        self.loads.append(load)

    def end_loads(self) -> None:
        """End every `load`: clients submit nothing new, but still retry what was refused."""
        gevent.killall(self.loads)
        self.loads.clear()

    def hand_in(
        self,
        number: int,
        count: int = 1,
        priority_class: str = "",
        destination: int = 0,
        turn: str = "0" * 16,
        size: int = 200,
    ) -> list[Handed]:
        """Submit `count` messages to one sender, each once; the records, when each has its answer."""
        if number not in self.direct:
            self.direct[number] = Clients(self.day, self.scenario, SenderPool(self.day, [self.members[number]], 0.0))
        clients = self.direct[number]
        now = self.day.now()
        arrivals = [
            Arrival(
                now,
                f"{self.chance.getrandbits(63):016x}",
                priority_class or self.scenario.priority_classes[0].name,
                destination,
                f"{self.chance.getrandbits(63):016x}",
                turn,
                size,
                (),
            )
            for _ in range(count)
        ]
        wanted, before = {arrival.id for arrival in arrivals}, len(self.history.handed)
        clients.run(arrivals)
        found: list[Handed] = []
        while len(found) < count or not all(handed.answer for handed in found):
            gevent.sleep(0.005)
            found = [handed for handed in self.history.handed[before:] if handed.id in wanted]
        return found

    def begin_effect(self, destination: int, effect: Effect) -> Callable[[], None]:
        """Begin a fault at all endpoints of a destination; the returned function ends it."""
        ends = [server.begin_fault(effect) for server in self.environment.servers_of(destination)]

        def end() -> None:
            for each in ends:
                each(False)

        return end

    # ---- the end ----

    def settle(self, most: float = 0.0) -> None:
        """Wait until loads and faults have ended and nothing is owed, all deadlines and excuses have passed,
        or so many seconds; watch a second more, then end all senders with SIGTERM."""
        outer_ms = max(each.outer_ms for each in self.scenario.priority_classes)
        longest = (outer_ms + self.scenario.rules.end_grace_ms) / 1000
        while self.under_way:
            gevent.sleep(LOOK)
        self.heal()
        end = self.day.now() + round((most or longest + 5.0) * 1_000_000)
        quiet = 0.0
        while quiet < WATCH_ON and self.day.now() < end:
            gevent.sleep(SETTLING)
            quiet = 0.0 if self.clients.busy or self.owed() else quiet + SETTLING
        self.ended = self.day.now()
        gevent.joinall([gevent.spawn(member.terminate) for member in self.members if member.running()], timeout=5.0)

    def judge(self, terms: invariants.Terms | None = None, watched: Watched | None = None) -> Verdict:
        """The audit of all that was seen; without a group, that of senders on their own."""
        for server in self.environment.servers:
            for away in server.outage_records():
                self.history.add(away)
        still = [Gone(0, each.kind, each.began, NEVER, each.on, 0.0) for each in self.broken]
        for gone in still:
            self.history.add(gone)
        if not self.group:
            return audit.judge(self.scenario, self.history, self.ended)
        terms = terms or self.terms()
        return invariants.judge(self.scenario, self.history, self.ended, terms, watched)

    def terms(self) -> invariants.Terms:
        """What this fleet promises; one that goes on alone where no copy answers promises no more than `own`."""
        alone = tomllib.loads(self.table(0))["fleet"].get("alone") == "own"
        return invariants.Terms(senders=len(self.halls), ack="own" if alone else self.ack)

    def report(self, verdict: Verdict) -> str:
        """The verdict in a few lines that name the seed."""
        lines = [f"seed {self.seed}: {verdict.account}", *self.failed]
        shown = verdict.findings[:MOST_FINDINGS]
        lines += [f"{finding.rule}: {' '.join(finding.ids)} {finding.text}" for finding in shown]
        if len(verdict.findings) > MOST_FINDINGS:
            lines.append(f"and {len(verdict.findings) - MOST_FINDINGS} more")
        lines += self.stories([id for finding in shown for id in finding.ids][:MOST_STORIES])
        return "\n".join([*lines, *([void] if (void := self.day.void()) else [])])

    def stories(self, ids: Iterable[str]) -> list[str]:
        """All that was seen of some messages, and what each sender has traced of them, in the order of time."""
        cases, offset = cases_of(self.history), day_offset(self.day)
        logs = [(f"n{member.number}", self.log(member.number)) for member in self.members]
        lines = []
        for id in ids:
            lines.append(f"the story of {id}:")
            lines += [str(line) for line in story(cases[id], id, logs, offset)] if id in cases else []
        return lines
