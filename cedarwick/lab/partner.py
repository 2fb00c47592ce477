"""What a partner does with a call at a time: a model without sockets or clock.

    place = Destination(number, partner, chance)       one limit, one memory of marks
    endpoint = destination.add(now, uid)                     its endpoints
    fault = endpoint.begin_fault(now, Effect(...))           faults overlap; each is ended by its own number
    reply = endpoint.arrive(now, id, mark)             a call is whole: a Reply at once, or Work that ends later
    reply = endpoint.settle(now, work)                 at `work.finish`: a Reply, or the time of the next look

Times are whole microseconds of one clock. Whoever drives the model carries its replies to the caller.
"""

import heapq
from collections import deque
from dataclasses import dataclass, field

from cedarwick.lab.scenario import Partner, Rules
from cedarwick.lab.units import SECOND
from cedarwick.lab.workload import ServiceTimes, capacity, random_generator

LOOK = 20_000  # while a hang lasts, so long until the next look
TEARS = ("pieces", "stops", "last")  # how a refusal may be written: its head, and its body later or never; or as the
# caller's patience ends
SPOILS = ("noise", "endless", "short", "copy", "huge", "report", "interim")  # how a good answer may be spoilt


@dataclass(frozen=True, slots=True)
class Effect:
    """What a fault does to an endpoint while it lasts."""

    kind: str  # crash, hang, slow, errors, shut, limit-cut, cut, idle-drop, spoilt, torn, setup
    size: float = 0.0
    wait: int = 0  # for shut: the Retry-After wait of refusals


@dataclass(frozen=True, slots=True)
class Reply:
    """What the caller is to read."""

    status: int
    wait: int = 0  # Retry-After wait; 0: none
    ran: bool = False  # the call had its effect now
    repeat: bool = False  # its mark was known: no second effect
    report: tuple[float, float] | None = None  # share left, limit in calls a second
    spoilt: str = ""


@dataclass(slots=True)
class Work:
    """A call that is being worked on, or waits for that."""

    id: str
    mark: str
    finish: int
    failing: bool
    repeat: bool


@dataclass(slots=True)
class Outage:
    """A time in which an endpoint served nothing; an overload while it warms up makes an outage of its own."""

    began: int
    ended: int = 0  # 0: it lasts
    warming_up: bool = True
    fell: bool = False


@dataclass(slots=True)
class Shared:
    """The limit of a destination for all its senders, in fixed spans."""

    calls: int
    span: int
    begun: int = 0
    used: int = 0

    def over(self, now: int, share: float, refused_count: bool) -> int:
        """0 where the call is within the limit, else how long until the next span begins."""
        if now >= self.begun + self.span:
            self.begun, self.used = now - now % self.span, 0
        within = self.used < max(1, int(self.calls * share))
        self.used += within or refused_count
        return 0 if within else self.begun + self.span - now


@dataclass(slots=True)
class Destination:
    """One partner's system: endpoints that share a limit and remember marks together."""

    number: int
    partner: Partner
    rules: Rules
    seed: int
    window: int  # microseconds for which a mark is remembered
    marks: dict[str, int] = field(default_factory=dict)  # until when
    endpoints: dict[str, "Endpoint"] = field(default_factory=dict)
    shared: Shared | None = None
    added: int = 0

    def __post_init__(self) -> None:
        limit = self.partner.limit
        if limit is not None:
            self.shared = Shared(limit.calls, round(limit.span_ms * 1000))

    def add(self, uid: str) -> "Endpoint":
        """A new endpoint; its draws depend on its place among those that were added, not on its name."""
        chance = random_generator(self.seed, 3, self.number, self.added)
        self.added += 1
        made = Endpoint(uid, self, ServiceTimes(self.partner.service, chance))
        self.endpoints[uid] = made
        return made

    def remembered(self, now: int, mark: str) -> bool:
        """Whether an idempotency key is known already; it is remembered from now on."""
        if not mark:
            return False
        while self.marks and next(iter(self.marks.values())) <= now:
            del self.marks[next(iter(self.marks))]
        known = mark in self.marks
        if not known:
            self.marks[mark] = now + self.window
        return known


class Endpoint:
    """The model of one endpoint of a destination."""

    def __init__(self, uid: str, destination: Destination, times: ServiceTimes) -> None:
        self.uid = uid
        self.destination = destination
        self.times = times
        self.effects: dict[int, Effect] = {}
        self.next_effect = 1
        self.free = [0] * destination.partner.workers  # a heap: when each worker is free
        self.ends: list[int] = []  # a heap: when the calls that are within end
        self.recent: deque[int] = deque()  # arrivals within one window of the fall-over rule
        self.outages: list[Outage] = []
        self.warm_from = 0  # when its warm-up began; 0: it is warm
        self.fallen_until = 0
        self.connections = 0
        self.reported: tuple[int, tuple[float, float]] | None = None

    # ---- faults ----

    def begin_fault(self, now: int, effect: Effect) -> int:
        """Begin a fault; the number by which it ends."""
        number = self.next_effect
        self.next_effect += 1
        self.effects[number] = effect
        if effect.kind in ("crash", "hang", "shut", "cut") or effect.kind == "errors" and effect.size > 0.5:
            if not self.outages or self.outages[-1].ended:
                self.outages.append(Outage(now))
        if effect.kind == "crash":
            self._empty(now)
        return number

    def end_fault(self, now: int, number: int, warming_up: bool) -> None:
        """End a fault; after an outage the endpoint may have to warm up."""
        effect = self.effects.pop(number)
        if effect.kind in ("crash", "hang", "shut", "cut", "errors") and not self._out():
            self._back(now, warming_up)

    def _back(self, now: int, warming_up: bool) -> None:
        if self.outages and not self.outages[-1].ended:
            self.outages[-1].ended, self.outages[-1].warming_up = now, warming_up
            if warming_up:
                self.warm_from = now
            self.recent.clear()

    def _out(self) -> bool:
        return any(
            effect.kind in ("crash", "hang", "shut", "cut") or effect.kind == "errors" and effect.size > 0.5
            for effect in self.effects.values()
        )

    def _empty(self, now: int) -> None:
        self.free = [now] * len(self.free)
        self.ends.clear()

    def has(self, kind: str) -> Effect | None:
        """The hardest fault of a kind that lasts; None where there is none."""
        found = [effect for effect in self.effects.values() if effect.kind == kind]
        return max(found, key=lambda effect: effect.size) if found else None

    def down(self, now: int) -> bool:
        """Whether it takes no connection: crashed, or fallen over."""
        if self.fallen_until and now >= self.fallen_until:
            self.fallen_until = 0
            if not self._out():
                self._back(now, warming_up=True)
        return bool(self.fallen_until) or self.has("crash") is not None

    def speed(self, now: int) -> float:
        """The part of its usual speed that it has."""
        speed = 1.0
        for effect in self.effects.values():
            if effect.kind == "slow":
                speed /= max(1.0, effect.size)
        return speed * self.warmth(now)

    def warmth(self, now: int) -> float:
        warm_up = self.destination.partner.warm_up
        if not self.warm_from:
            return 1.0
        passed = (now - self.warm_from) / (warm_up.warm_s * SECOND)
        if passed >= 1:
            self.warm_from = 0
            return 1.0
        return warm_up.share + (1 - warm_up.share) * max(0.0, passed)

    # ---- calls ----

    def full(self) -> bool:
        """Whether its table of connections is full; the one that is asked about is counted."""
        return self.connections > self.destination.partner.connections

    def arrive(self, now: int, id: str, mark: str) -> Reply | Work | None:
        """A whole call has come in; None where the endpoint falls over under it."""
        if self._pushed_over(now):
            return None
        shut = self.has("shut")
        if shut is not None:
            return Reply(429, shut.wait, spoilt=self._torn()) if shut.wait else Reply(503)
        over = self._over_limit(now)
        if over:
            limit = self.destination.partner.limit
            assert limit is not None
            says_wait = self.times.uniform() < limit.tells
            if says_wait:
                return Reply(429, over, report=self._report(now), spoilt=self._torn())
            return Reply(503, report=self._report(now))
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        if len(self.ends) >= len(self.free) + self.destination.partner.queue:
            return Reply(503, report=self._report(now))
        repeat = self.destination.remembered(now, mark)
        errors = self.has("errors")
        share = max(self.destination.partner.error_share, errors.size if errors else 0.0)
        failing = self.times.uniform() < share
        # A known mark costs a look-up, not the work.
        took = 1000 if repeat or errors and failing else round(self.times.next() / self.speed(now))
        begin = max(now, heapq.heappop(self.free))
        heapq.heappush(self.free, begin + took)
        heapq.heappush(self.ends, begin + took)
        return Work(id, mark, begin + took, failing, repeat)

    def settle(self, now: int, work: Work) -> Reply | int:
        """What a call that was worked on is answered, or when to look again."""
        if self.has("hang") is not None:
            return now + LOOK
        if now < work.finish:
            return work.finish
        spoilt = self.has("spoilt")
        how = ""
        if spoilt is not None and self.times.uniform() < spoilt.size:
            how = SPOILS[int(self.times.uniform() * len(SPOILS))]
        return Reply(
            500 if work.failing else 200,
            ran=not work.repeat,
            repeat=work.repeat,
            report=self._report(now),
            spoilt=how,
        )

    def _torn(self) -> str:
        torn = self.has("torn")
        if torn is None or self.times.uniform() >= torn.size:
            return ""
        return TEARS[int(self.times.uniform() * len(TEARS))]

    def _over_limit(self, now: int) -> int:
        limit = self.destination.partner.limit
        if limit is None or self.destination.shared is None:
            return 0
        share = 1.0
        for endpoint in self.destination.endpoints.values():
            cut = endpoint.has("limit-cut")
            share = min(share, cut.size) if cut is not None else share
        return self.destination.shared.over(now, share, limit.refused_count)

    def _report(self, now: int) -> tuple[float, float] | None:
        limit, shared = self.destination.partner.limit, self.destination.shared
        if limit is None or shared is None or not limit.reports:
            return None
        if self.reported is None or now - self.reported[0] >= limit.report_ms * 1000:
            left = max(0.0, 1 - shared.used / shared.calls)
            self.reported = now, (round(left, 3), shared.calls * SECOND / shared.span)
        return self.reported[1]

    def _pushed_over(self, now: int) -> bool:
        """Whether the calls within a window are more than a warming endpoint bears."""
        warm_up, rules = self.destination.partner.warm_up, self.destination.rules
        warmth = self.warmth(now)
        if warmth >= 1 or not warm_up.falls:
            return False
        window = round(rules.fall_ms * 1000)
        self.recent.append(now)
        while self.recent[0] <= now - window:
            self.recent.popleft()
        if len(self.recent) <= overload_threshold(self.destination.partner, rules, warmth):
            return False
        self.outages.append(Outage(now, fell=True))
        self.fallen_until = now + round(warm_up.down_s * SECOND)
        self._empty(now)
        return True


def overload_threshold(partner: Partner, rules: Rules, warmth: float) -> float:
    """Calls in one window that an endpoint bears at its present speed; some slack is left to chance."""
    borne = rules.fall_multiple * warmth * capacity(partner) * rules.fall_ms / 1000
    return float(borne + 3 * borne**0.5 + 3)
