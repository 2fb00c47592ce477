"""The schedule of a day: arrivals and faults, determined by the seed alone. No clock, no sockets."""

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

RANDOM_FAULT_SIZES: dict[str, list[float]] = {
    "slow": [2, 4],
    "limit-cut": [0.4, 0.7],
    "burst": [1.3, 1.8],
    "errors": [0.3, 0.8],
    "spoilt": [0.1, 0.3],
    "torn": [0.3, 0.8],
    "second-copy": [0.05, 0.3],
    "setup": [50, 200],
    "full-folder": [0.2, 0.4],
    "bad-clients": [10, 40],
}
RATE_STEPS_PER_S = 10  # steps of constant rate, per second of the day


class Arrival(msgspec.Struct, frozen=True, gc=False):
    """A message that a client wants delivered."""

    due: int  # microseconds of the day
    id: str
    priority_class: str = msgspec.field(name="band")
    destination: int
    key: str  # the idempotency key; empty for none
    turn: str  # the order key, hexadecimal; zeros for none
    size: int  # bytes of the body
    waits: tuple[int, ...]  # microseconds before each retry after a refusal that advises no wait


class PlannedFault(msgspec.Struct, frozen=True):
    """A fault with its time and its targets."""

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
    """What is drawn before a day begins."""

    length: int  # microseconds in which messages arrive
    arrivals: list[Arrival]
    faults: list[PlannedFault]


def draw_schedule(scenario: Scenario, seed: int, senders: int, short: bool) -> Schedule:
    """Draw a day's schedule; the same arguments give the same schedule."""
    length = round((scenario.short_s if short else scenario.length_s) * SECOND)
    time_scale = length / (scenario.length_s * SECOND)  # below 1 in the short form
    faults = draw_faults(scenario, random_generator(seed, 1), senders, time_scale)
    return Schedule(length, draw_arrivals(scenario, random_generator(seed, 2), length, faults), faults)


def random_generator(seed: int, *part: int) -> np.random.Generator:
    """The random generator of a part of a day, independent of those of its other parts."""
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, *part])))


def draw_faults(
    scenario: Scenario, generator: np.random.Generator, senders: int, time_scale: float
) -> list[PlannedFault]:
    """Draw the times, targets and sizes of the scenario's faults, and the random faults."""
    specified = [each for each in scenario.faults for _ in range(max(1, round(each.times * time_scale)))]
    if scenario.drawn.count:
        order = generator.permutation(len(scenario.drawn.kinds))[: scenario.drawn.count]
        kinds = [scenario.drawn.kinds[index] for index in order]
        specified += [
            InjectedFault(
                kind=kind,
                begin_s=scenario.drawn.begin_s,
                length_s=scenario.drawn.length_s,
                part=float(generator.uniform(0.15, 0.4)),
                size=random_fault_size(kind),
            )
            for kind in kinds
        ]
    planned = []
    for number, fault in enumerate(specified):
        begin, length = draw_value(fault.begin_s, generator), draw_value(fault.length_s, generator)
        target_count = scenario.destinations() if fault.kind in PARTNER_FAULTS else 0
        hit_destinations = draw_subset(generator, target_count, fault.part)
        hit_senders = draw_subset(generator, senders if fault.kind in SENDER_FAULTS else 0, fault.part)
        assert hit_destinations or hit_senders or fault.kind in OTHER_FAULTS
        planned.append(
            PlannedFault(
                number,
                fault.kind,
                round(begin * time_scale * SECOND),
                round(length * time_scale * SECOND),
                draw_value(fault.size, generator),
                round(fault.wait_ms * 1000),
                fault.warming_up,
                fault.whole,
                hit_destinations,
                hit_senders,
            )
        )
    return planned


def draw_subset(generator: np.random.Generator, count: int, part: float) -> tuple[int, ...]:
    """A random share of the numbers below `count`, at least one; none where `count` is 0."""
    order: list[int] = generator.permutation(count).tolist()
    return tuple(sorted(order[: max(1, round(part * count))]))


def random_fault_size(kind: str) -> list[float]:
    """The range from which the size of a random fault of this kind is drawn."""
    return RANDOM_FAULT_SIZES.get(kind, [0.5, 0.5])


def draw_value(value: float | list[float], generator: np.random.Generator) -> float:
    """A given value, or one drawn from a range. Both take one draw, so that later draws do not change."""
    drawn = float(generator.uniform())
    if isinstance(value, list):
        return float(value[0] + (value[1] - value[0]) * drawn)
    return float(value)


def rate_at(scenario: Scenario, share: float) -> float:
    """Messages per second after a share of the day, without bursts."""
    load = scenario.load
    if load.curve == "wave":
        return load.rate * (1 + load.swing * float(np.sin(2 * np.pi * share)))
    if load.curve == "ramp":
        return load.rate * (1 + load.swing * (2 * share - 1))
    return load.rate


def draw_arrivals(
    scenario: Scenario, generator: np.random.Generator, length: int, faults: list[PlannedFault]
) -> list[Arrival]:
    times: list[int] = []
    steps = max(1, round(length / SECOND * RATE_STEPS_PER_S))
    for step in range(steps):
        begin, end = length * step // steps, length * (step + 1) // steps
        rate = rate_at(scenario, (step + 0.5) / steps)
        for fault in faults:
            if fault.kind == "burst" and fault.begin <= begin < fault.begin + fault.length:
                rate *= fault.size
        count = generator.poisson(rate * (end - begin) / SECOND)
        times += [int(time) for time in np.sort(generator.uniform(begin, end, count))]
    destinations = draw_destinations(scenario, generator, len(times))
    priority_classes = scenario.priority_classes
    shares = np.array([each.share for each in priority_classes])
    class_indexes = generator.choice(len(priority_classes), len(times), p=shares / shares.sum())
    ids = generator.integers(0, 1 << 63, (len(times), 2))
    uniform = generator.uniform(size=(len(times), 2 + scenario.clients.tries))
    arrivals = []
    for number, due in enumerate(times):
        priority_class, draws = priority_classes[class_indexes[number]], uniform[number]
        low, high = priority_class.bytes
        turn = 1 + int(draws[1] * priority_class.keys) if priority_class.keys else 0
        shortest, longest = scenario.clients.again_ms
        waits = tuple(round((shortest + (longest - shortest) * float(draw)) * 1000) for draw in draws[2:])
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


def draw_destinations(scenario: Scenario, generator: np.random.Generator, count: int) -> Any:
    """Draw the destination of each arrival by `hot` and `skew`; a clump is a run of arrivals for one destination."""
    destination_count = scenario.destinations()
    weights = 1.0 / np.arange(1, destination_count + 1) ** scenario.load.skew
    weights /= weights.sum()
    weights *= 1 - scenario.load.hot
    weights[0] += scenario.load.hot
    chosen = generator.choice(destination_count, count, p=weights)
    clump = scenario.load.clump
    clump_count = round(count * scenario.load.clumps / clump)
    for begin in generator.integers(0, max(1, count - clump), clump_count):
        chosen[begin : begin + clump] = generator.integers(0, destination_count)
    return chosen


class ServiceTimes:
    """Service times of an endpoint, in microseconds, drawn in blocks from a generator of its own."""

    BLOCK = 256  # draws at a time

    def __init__(self, service: Service, generator: np.random.Generator) -> None:
        self.service = service
        self.generator = generator
        self.times: list[int] = []
        self.uniforms: list[float] = []

    def next(self) -> int:
        """The service time of the next call."""
        if not self.times:
            self.times = self._draw()
        return self.times.pop()

    def uniform(self) -> float:
        """A number in [0, 1), for the other draws of a call."""
        if not self.uniforms:
            self.uniforms = self.generator.uniform(size=self.BLOCK).tolist()
        return self.uniforms.pop()

    def _draw(self) -> list[int]:
        mean, cv = self.service.mean_ms * 1000, self.service.cv
        if self.service.kind == "fixed":
            return [round(mean)] * self.BLOCK
        if self.service.kind == "exponential":
            drawn = self.generator.exponential(mean, self.BLOCK)
        elif self.service.kind == "gamma":
            drawn = self.generator.gamma(1 / cv**2, mean * cv**2, self.BLOCK)
        else:
            sigma = float(np.sqrt(np.log(1 + cv**2)))
            drawn = self.generator.lognormal(np.log(mean) - sigma**2 / 2, sigma, self.BLOCK)
        return [max(1, round(time)) for time in drawn.tolist()]


def capacity(partner: Partner) -> float:
    """The calls per second that an endpoint completes at full speed."""
    return partner.workers * 1000.0 / partner.service.mean_ms
