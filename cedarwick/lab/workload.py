"""The schedule of a day: arrivals and faults, drawn by the seed alone. No clock, no sockets."""

from typing import Any

import msgspec
import numpy as np

from cedarwick.lab.scenario import (
    OTHER_FAULTS,
    PARTNER_FAULTS,
    SENDER_FAULTS,
    InjectedFault,
    Partner,
    Scenario,
    Service,
)
from cedarwick.lab.units import SECOND

DRAWN_SIZES: dict[str, list[float]] = {
    "slow": [2, 4],
    "limit-cut": [0.4, 0.7],
    "burst": [1.3, 1.8],
    "errors": [0.3, 0.8],
    "spoilt": [0.1, 0.3],
    "torn": [0.3, 0.8],
    "setup": [50, 200],
    "full-folder": [0.2, 0.4],
    "bad-clients": [10, 40],
}
STEP = 10  # the rate is looked at so many times a second


class Arrival(msgspec.Struct, frozen=True, gc=False):
    """One thing that a client wants delivered."""

    due: int  # microseconds of the day
    id: str
    priority_class: str = msgspec.field(name="band")
    destination: int
    key: str  # the idempotency key; empty for none
    turn: str  # the order key, hexadecimal; zeros for none
    size: int  # bytes of the body
    waits: tuple[int, ...]  # microseconds before each retry, where a refusal advises none


class PlannedFault(msgspec.Struct, frozen=True):
    """One fault with its time and those that it hits."""

    number: int
    kind: str
    begin: int  # microseconds of the day
    length: int
    size: float
    wait: int  # microseconds
    warming_up: bool = msgspec.field(name="cold")
    whole: bool
    destinations: tuple[int, ...]
    senders: tuple[int, ...]


class Schedule(msgspec.Struct, frozen=True):
    """All that is drawn before a day begins."""

    length: int  # microseconds in which messages arrive
    arrivals: list[Arrival]
    faults: list[PlannedFault]


def draw_schedule(scenario: Scenario, seed: int, senders: int, short: bool) -> Schedule:
    """The day of a seed: the same arguments give the same schedule."""
    length = round((scenario.short_s if short else scenario.length_s) * SECOND)
    pace = length / (scenario.length_s * SECOND)  # a second of the full day in this one's
    faults = draw_faults(scenario, random_generator(seed, 1), senders, pace)
    return Schedule(length, draw_arrivals(scenario, random_generator(seed, 2), length, faults), faults)


def random_generator(seed: int, *place: int) -> np.random.Generator:
    """An independent random generator for each part of a day."""
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, *place])))


def draw_faults(scenario: Scenario, chance: np.random.Generator, senders: int, pace: float) -> list[PlannedFault]:
    written = [each for each in scenario.faults for _ in range(max(1, round(each.times * pace)))]
    if scenario.drawn.count:
        order = chance.permutation(len(scenario.drawn.kinds))[: scenario.drawn.count]
        kinds = [scenario.drawn.kinds[place] for place in order]
        written += [
            InjectedFault(
                kind=kind,
                begin_s=scenario.drawn.begin_s,
                length_s=scenario.drawn.length_s,
                part=float(chance.uniform(0.15, 0.4)),
                size=sizes_of(kind),
            )
            for kind in kinds
        ]
    planned = []
    for number, fault in enumerate(written):
        begin, length = one_of(fault.begin_s, chance), one_of(fault.length_s, chance)
        of_all = scenario.destinations() if fault.kind in PARTNER_FAULTS else 0
        hit = some_of(chance, of_all, fault.part)
        met = some_of(chance, senders if fault.kind in SENDER_FAULTS else 0, fault.part)
        assert hit or met or fault.kind in OTHER_FAULTS
        planned.append(
            PlannedFault(
                number,
                fault.kind,
                round(begin * pace * SECOND),
                round(length * pace * SECOND),
                one_of(fault.size, chance),
                round(fault.wait_ms * 1000),
                fault.warming_up,
                fault.whole,
                hit,
                met,
            )
        )
    return planned


def some_of(chance: np.random.Generator, count: int, part: float) -> tuple[int, ...]:
    """A drawn part of the numbers below a count, one at least; none where there are none."""
    order: list[int] = chance.permutation(count).tolist()
    return tuple(sorted(order[: max(1, round(part * count))]))


def sizes_of(kind: str) -> list[float]:
    """How hard a drawn fault is, where nobody has written it down."""
    return DRAWN_SIZES.get(kind, [0.5, 0.5])


def one_of(value: float | list[float], chance: np.random.Generator) -> float:
    """A written value, or one drawn from its span. A draw is used up either way."""
    drawn = float(chance.uniform())
    if isinstance(value, list):
        return float(value[0] + (value[1] - value[0]) * drawn)
    return float(value)


def rate_at(scenario: Scenario, share: float) -> float:
    """Messages a second at a part of the day, before bursts."""
    load = scenario.load
    if load.curve == "wave":
        return load.rate * (1 + load.swing * float(np.sin(2 * np.pi * share)))
    if load.curve == "ramp":
        return load.rate * (1 + load.swing * (2 * share - 1))
    return load.rate


def draw_arrivals(
    scenario: Scenario, chance: np.random.Generator, length: int, faults: list[PlannedFault]
) -> list[Arrival]:
    times: list[int] = []
    steps = max(1, round(length / SECOND * STEP))
    for step in range(steps):
        begin, end = length * step // steps, length * (step + 1) // steps
        rate = rate_at(scenario, (step + 0.5) / steps)
        for fault in faults:
            if fault.kind == "burst" and fault.begin <= begin < fault.begin + fault.length:
                rate *= fault.size
        count = chance.poisson(rate * (end - begin) / SECOND)
        times += [int(time) for time in np.sort(chance.uniform(begin, end, count))]
    destinations = place_of_each(scenario, chance, len(times))
    priority_classes = scenario.priority_classes
    shares = np.array([each.share for each in priority_classes])
    which = chance.choice(len(priority_classes), len(times), p=shares / shares.sum())
    ids = chance.integers(0, 1 << 63, (len(times), 2))
    uniform = chance.uniform(size=(len(times), 2 + scenario.clients.tries))
    arrivals = []
    for number, due in enumerate(times):
        priority_class, draws = priority_classes[which[number]], uniform[number]
        low, high = priority_class.bytes
        turn = 1 + int(draws[1] * priority_class.keys) if priority_class.keys else 0
        least, most = scenario.clients.again_ms
        waits = tuple(round((least + (most - least) * float(draw)) * 1000) for draw in draws[2:])
        arrivals.append(
            Arrival(
                due,
                f"{int(ids[number][0]):016x}",
                priority_class.name,
                int(destinations[number]),
                f"{int(ids[number][1]):016x}" if priority_class.repeat == "numbered" else "",
                f"{turn:016x}",
                round(low + (high - low) * float(draws[0])),
                waits,
            )
        )
    return arrivals


def place_of_each(scenario: Scenario, chance: np.random.Generator, count: int) -> Any:
    """The destination of each arrival: hot ones, skewed ones, and clumps of neighbours in time."""
    places = scenario.destinations()
    weights = 1.0 / np.arange(1, places + 1) ** scenario.load.skew
    weights /= weights.sum()
    weights *= 1 - scenario.load.hot
    weights[0] += scenario.load.hot
    chosen = chance.choice(places, count, p=weights)
    clump = scenario.load.clump
    wanted = round(count * scenario.load.clumps / clump)
    for begin in chance.integers(0, max(1, count - clump), wanted):
        chosen[begin : begin + clump] = chance.integers(0, places)
    return chosen


class ServiceTimes:
    """Service times of one endpoint, in microseconds, drawn in blocks by its own source."""

    BLOCK = 256

    def __init__(self, service: Service, chance: np.random.Generator) -> None:
        self.service = service
        self.chance = chance
        self.times: list[int] = []
        self.uniforms: list[float] = []

    def next(self) -> int:
        if not self.times:
            self.times = self._draw()
        return self.times.pop()

    def uniform(self) -> float:
        """A point in [0, 1), for what is drawn at each call."""
        if not self.uniforms:
            self.uniforms = self.chance.uniform(size=self.BLOCK).tolist()
        return self.uniforms.pop()

    def _draw(self) -> list[int]:
        mean, cv = self.service.mean_ms * 1000, self.service.cv
        if self.service.kind == "fixed":
            return [round(mean)] * self.BLOCK
        if self.service.kind == "exponential":
            drawn = self.chance.exponential(mean, self.BLOCK)
        elif self.service.kind == "gamma":
            drawn = self.chance.gamma(1 / cv**2, mean * cv**2, self.BLOCK)
        else:
            spread = float(np.sqrt(np.log(1 + cv**2)))
            drawn = self.chance.lognormal(np.log(mean) - spread**2 / 2, spread, self.BLOCK)
        return [max(1, round(time)) for time in drawn.tolist()]


def capacity(partner: Partner) -> float:
    """Calls a second that a warm endpoint manages."""
    return partner.workers * 1000.0 / partner.service.mean_ms
