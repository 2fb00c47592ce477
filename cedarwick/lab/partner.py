"""The model of a partner's endpoints: what each call is answered at a given time, without sockets or a clock.

    destination = Destination(number, partner, ...)       one rate limit and one set of remembered idempotency keys
    endpoint = destination.add_endpoint(uid)
    fault = endpoint.begin_fault(now, Effect(...))        faults may overlap; each is ended by the number returned here
    reply = endpoint.handle_call(now, id, key)            a request is complete: a Reply, or a CallInProgress
    reply = endpoint.finish_call(now, call)               at `call.finish`: a Reply, or the time at which to ask again

Times are whole microseconds of the clock of the calling code, which also sends the replies.
"""

import heapq
from collections import deque
from dataclasses import dataclass, field

from cedarwick.lab.scenario import Partner, Rules
from cedarwick.lab.units import SECOND
from cedarwick.lab.workload import ServiceTimes, capacity, random_generator

POLL_INTERVAL_US = 20_000  # between two checks whether a hang has ended
# How the "torn" fault writes a refusal: the body some time after the head, no body at all, or the whole refusal just
# as the caller's time-out ends.
TORN_FORMS = ("pieces", "stops", "last")
# How the "spoilt" fault damages an answer to a processed call.
SPOILT_FORMS = ("noise", "endless", "short", "copy", "huge", "report", "interim")


@dataclass(frozen=True, slots=True)
class Effect:
    """The effect of a fault on an endpoint while the fault lasts."""

    kind: str  # crash, hang, slow, errors, shut, limit-cut, cut, idle-drop, spoilt, torn, second-copy, setup
    size: float = 0.0
    # Microseconds; for shut: the Retry-After wait of refusals; for second-copy: the longest time from an answer to its
    # copy.
    wait: int = 0


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a call."""

    status: int
    wait: int = 0  # Retry-After wait, microseconds; 0: none
    ran: bool = False  # the call had its effect
    repeat: bool = False  # its idempotency key was known: no second effect
    report: tuple[float, float] | None = None  # unused share of the limit, limit in calls a second
    spoilt: str = ""  # the torn or spoilt form in which it is written; empty: well-formed


@dataclass(slots=True)
class CallInProgress:
    """A call that is being processed, or is queued for it."""

    id: str
    idempotency_key: str
    finish: int
    failing: bool
    repeat: bool


@dataclass(slots=True)
class Outage:
    """A period in which an endpoint served nothing. An overload while warming up is an outage too."""

    began: int
    ended: int = 0  # 0: not yet
    warming_up: bool = True
    overloaded: bool = False


@dataclass(slots=True)
class SharedLimit:
    """A destination's rate limit, shared by all senders: calls in each of a sequence of fixed spans."""

    calls: int
    span: int
    span_began: int = 0
    used: int = 0

    def take_call(self, now: int, share: float, refused_count: bool) -> int:
        """Count a call; 0 where it is within the limit, else the time until the next span begins."""
        if now >= self.span_began + self.span:
            self.span_began, self.used = now - now % self.span, 0
        within = self.used < max(1, int(self.calls * share))
        self.used += within or refused_count
        return 0 if within else self.span_began + self.span - now


@dataclass(slots=True)
class Destination:
    """A destination: endpoints that share a rate limit and the idempotency keys that they remember."""

    number: int
    partner: Partner
    rules: Rules
    seed: int
    key_window: int  # microseconds for which an idempotency key is remembered
    key_expiry: dict[str, int] = field(default_factory=dict)  # by key, in the order of expiry
    endpoints: dict[str, "Endpoint"] = field(default_factory=dict)
    shared_limit: SharedLimit | None = None
    endpoints_added: int = 0

    def __post_init__(self) -> None:
        limit = self.partner.limit
        if limit is not None:
            self.shared_limit = SharedLimit(limit.calls, round(limit.span_ms * 1000))

    def add_endpoint(self, uid: str) -> "Endpoint":
        """Add an endpoint. Its random draws depend on how many were added before it, not on its uid."""
        generator = random_generator(self.seed, 3, self.number, self.endpoints_added)
        self.endpoints_added += 1
        endpoint = Endpoint(uid, self, ServiceTimes(self.partner.service, generator))
        self.endpoints[uid] = endpoint
        return endpoint

    def remember_key(self, now: int, idempotency_key: str) -> bool:
        """Whether an idempotency key is known already; remembers it otherwise."""
        if not idempotency_key:
            return False
        while self.key_expiry and next(iter(self.key_expiry.values())) <= now:
            del self.key_expiry[next(iter(self.key_expiry))]
        known = idempotency_key in self.key_expiry
        if not known:
            self.key_expiry[idempotency_key] = now + self.key_window
        return known


class Endpoint:
    """The model of one endpoint of a destination."""

    def __init__(self, uid: str, destination: Destination, service_times: ServiceTimes) -> None:
        self.uid = uid
        self.destination = destination
        self.service_times = service_times
        self.effects: dict[int, Effect] = {}
        self.next_fault = 1
        self.worker_free_at = [0] * destination.partner.workers  # heap: the time at which each worker is free
        self.call_ends: list[int] = []  # heap: the ends of the calls in progress or queued
        self.recent_arrivals: deque[int] = deque()  # arrivals within one window (`fall_ms`) of the overload rule
        self.outages: list[Outage] = []
        self.warm_up_began = 0  # 0: not warming up
        self.down_until = 0  # the end of an overload outage; 0: none
        self.connections = 0
        self.last_report: tuple[int, tuple[float, float]] | None = None

    # ---- faults ----

    def begin_fault(self, now: int, effect: Effect) -> int:
        """Begin a fault; returns the number that ends it."""
        number = self.next_fault
        self.next_fault += 1
        self.effects[number] = effect
        if effect.kind in ("crash", "hang", "shut", "cut") or effect.kind == "errors" and effect.size > 0.5:
            if not self.outages or self.outages[-1].ended:
                self.outages.append(Outage(now))
        if effect.kind == "crash":
            self._drop_calls(now)
        return number

    def end_fault(self, now: int, number: int, warming_up: bool) -> None:
        """End a fault. With `warming_up`, an endpoint whose outage ends with it starts its warm-up."""
        effect = self.effects.pop(number)
        if effect.kind in ("crash", "hang", "shut", "cut", "errors") and not self._in_outage():
            self._end_outage(now, warming_up)

    def _end_outage(self, now: int, warming_up: bool) -> None:
        if self.outages and not self.outages[-1].ended:
            self.outages[-1].ended, self.outages[-1].warming_up = now, warming_up
            if warming_up:
                self.warm_up_began = now
            self.recent_arrivals.clear()

    def _in_outage(self) -> bool:
        return any(
            effect.kind in ("crash", "hang", "shut", "cut") or effect.kind == "errors" and effect.size > 0.5
            for effect in self.effects.values()
        )

    def _drop_calls(self, now: int) -> None:
        self.worker_free_at = [now] * len(self.worker_free_at)
        self.call_ends.clear()

    def strongest_effect(self, kind: str) -> Effect | None:
        """The present fault of a kind with the largest size; None where there is none."""
        found = [effect for effect in self.effects.values() if effect.kind == kind]
        return max(found, key=lambda effect: effect.size) if found else None

    def is_down(self, now: int) -> bool:
        """Whether it accepts no connections, because of a crash or an overload; ends an overload that is over."""
        if self.down_until and now >= self.down_until:
            self.down_until = 0
            if not self._in_outage():
                self._end_outage(now, warming_up=True)
        return bool(self.down_until) or self.strongest_effect("crash") is not None

    def speed_factor(self, now: int) -> float:
        """The present processing speed as a share of the usual one."""
        speed = 1.0
        for effect in self.effects.values():
            if effect.kind == "slow":
                speed /= max(1.0, effect.size)
        return speed * self.warm_up_factor(now)

    def warm_up_factor(self, now: int) -> float:
        warm_up = self.destination.partner.warm_up
        if not self.warm_up_began:
            return 1.0
        elapsed = (now - self.warm_up_began) / (warm_up.warm_s * SECOND)
        if elapsed >= 1:
            self.warm_up_began = 0
            return 1.0
        return warm_up.share + (1 - warm_up.share) * max(0.0, elapsed)

    # ---- calls ----

    def connections_full(self) -> bool:
        """Whether more connections are open than it allows, the one being checked included."""
        return self.connections > self.destination.partner.connections

    def handle_call(self, now: int, id: str, idempotency_key: str) -> Reply | CallInProgress | None:
        """Handle a complete request; None where the endpoint breaks down under it."""
        if self._collapse_if_overloaded(now):
            return None
        shut = self.strongest_effect("shut")
        if shut is not None:
            return Reply(429, shut.wait, spoilt=self._draw_torn_form()) if shut.wait else Reply(503)
        limit_wait = self._limit_wait(now)
        if limit_wait:
            limit = self.destination.partner.limit
            assert limit is not None
            advises_wait = self.service_times.uniform() < limit.tells
            if advises_wait:
                return Reply(429, limit_wait, report=self._report(now), spoilt=self._draw_torn_form())
            return Reply(503, report=self._report(now))
        while self.call_ends and self.call_ends[0] <= now:
            heapq.heappop(self.call_ends)
        if len(self.call_ends) >= len(self.worker_free_at) + self.destination.partner.queue:
            return Reply(503, report=self._report(now))
        repeat = self.destination.remember_key(now, idempotency_key)
        errors = self.strongest_effect("errors")
        share = max(self.destination.partner.error_share, errors.size if errors else 0.0)
        failing = self.service_times.uniform() < share
        # A repeated key costs only a look-up (1 ms), not the processing.
        duration = 1000 if repeat or errors and failing else round(self.service_times.next() / self.speed_factor(now))
        begin = max(now, heapq.heappop(self.worker_free_at))
        heapq.heappush(self.worker_free_at, begin + duration)
        heapq.heappush(self.call_ends, begin + duration)
        return CallInProgress(id, idempotency_key, begin + duration, failing, repeat)

    def finish_call(self, now: int, call: CallInProgress) -> Reply | int:
        """The answer to a processed call, or the time at which to ask again."""
        if self.strongest_effect("hang") is not None:
            return now + POLL_INTERVAL_US
        if now < call.finish:
            return call.finish
        spoilt = self.strongest_effect("spoilt")
        spoilt_form = ""
        if spoilt is not None and self.service_times.uniform() < spoilt.size:
            spoilt_form = SPOILT_FORMS[int(self.service_times.uniform() * len(SPOILT_FORMS))]
        return Reply(
            500 if call.failing else 200,
            ran=not call.repeat,
            repeat=call.repeat,
            report=self._report(now),
            spoilt=spoilt_form,
        )

    def draw_copy_delay(self) -> int | None:
        """The microseconds after which an answer that is written now is written a second time; None: it is not."""
        effect = self.strongest_effect("second-copy")
        if effect is None or self.service_times.uniform() >= effect.size:
            return None
        return round(self.service_times.uniform() * effect.wait)

    def _draw_torn_form(self) -> str:
        torn = self.strongest_effect("torn")
        if torn is None or self.service_times.uniform() >= torn.size:
            return ""
        return TORN_FORMS[int(self.service_times.uniform() * len(TORN_FORMS))]

    def _limit_wait(self, now: int) -> int:
        limit = self.destination.partner.limit
        if limit is None or self.destination.shared_limit is None:
            return 0
        share = 1.0
        for endpoint in self.destination.endpoints.values():
            cut = endpoint.strongest_effect("limit-cut")
            share = min(share, cut.size) if cut is not None else share
        return self.destination.shared_limit.take_call(now, share, limit.refused_count)

    def _report(self, now: int) -> tuple[float, float] | None:
        limit, shared = self.destination.partner.limit, self.destination.shared_limit
        if limit is None or shared is None or not limit.reports:
            return None
        if self.last_report is None or now - self.last_report[0] >= limit.report_ms * 1000:
            left = max(0.0, 1 - shared.used / shared.calls)
            self.last_report = now, (round(left, 3), shared.calls * SECOND / shared.span)
        return self.last_report[1]

    def _collapse_if_overloaded(self, now: int) -> bool:
        """Go down where the calls within one window exceed what a warming endpoint bears; whether it did."""
        warm_up, rules = self.destination.partner.warm_up, self.destination.rules
        warm_up_factor = self.warm_up_factor(now)
        if warm_up_factor >= 1 or not warm_up.falls:
            return False
        window = round(rules.fall_ms * 1000)
        self.recent_arrivals.append(now)
        while self.recent_arrivals[0] <= now - window:
            self.recent_arrivals.popleft()
        if len(self.recent_arrivals) <= overload_threshold(self.destination.partner, rules, warm_up_factor):
            return False
        self.outages.append(Outage(now, overloaded=True))
        self.down_until = now + round(warm_up.down_s * SECOND)
        self._drop_calls(now)
        return True


def overload_threshold(partner: Partner, rules: Rules, warm_up_factor: float) -> float:
    """The calls in one window that an endpoint bears at its present speed.

    Adds three standard deviations of a Poisson count, and 3 calls, so that random clusters alone do not exceed it.
    """
    expected = rules.fall_multiple * warm_up_factor * capacity(partner) * rules.fall_ms / 1000
    return float(expected + 3 * expected**0.5 + 3)
