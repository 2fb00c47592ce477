"""Measures the CPU time of matching an event with 1, 100 and 10,000 filters, for three implementations.

    python -m cedarwick.events.benchmark [SEED]

The implementations are the index, the compiled filters one by one, and the reference matcher. They run alternately in
one process; the output is the median of several rounds, in microseconds of CPU time for each event.
"""

import random
import sys
import time
from collections.abc import Callable, Sequence
from statistics import median
from typing import Any

from cedarwick.events import language, reference_matcher
from cedarwick.events.compiled import compile_filter
from cedarwick.events.index import Index
from cedarwick.events.kinds import Event

ROUNDS = 3
BUDGET = 200_000  # filters times events in one round of the slower implementations
DESTINATIONS, TENANTS = 400, 200
PRIORITY_CLASSES = ("free", "guarded", "single")


def typical(rng: random.Random) -> str:
    """Draw a typical filter: destination or tenant, often with a priority class, kind or age; a few are unselective."""
    destination = f"destination = {rng.randrange(DESTINATIONS)}"
    tenant = f'tenant = "t{rng.randrange(TENANTS)}"'
    priority_class = f'band = "{rng.choice(PRIORITY_CLASSES)}"'
    kind = f'kind = "{rng.choice(("nacked", "written-off", "completed", "outcome"))}"'
    shapes = [
        f"{destination} and {tenant}",
        f"{destination} and {kind} and age > {rng.randrange(100, 9000)}ms",
        f"{tenant} and {kind} and {priority_class}",
        f"{tenant} and {destination} and shots in 2..{rng.randrange(3, 9)}",
        f"({destination} or {tenant}) and {kind} and not {priority_class}",
        f'tenant in ("t{rng.randrange(TENANTS)}", "t{rng.randrange(TENANTS)}") '
        f"and {priority_class} and {destination}",
        f'id like "{rng.randrange(1 << 20):05x}*"',
        f'receiver = "r{rng.randrange(2000)}" and {kind}',
    ]
    if rng.random() < 0.001:
        return f'{kind} and worth > {rng.randrange(900, 1000)} and id like "*{rng.randrange(99):02}?"'
    return rng.choice(shapes)


def broad(rng: random.Random) -> str:
    """Draw a broad filter, which has only bounds, no equalities; each event satisfies many of them."""
    return f"age > {rng.randrange(10_000)}ms and worth < {rng.randrange(1000)} and shots != {rng.randrange(9)}"


def hostile(rng: random.Random) -> str:
    """Draw a hostile filter, for which the index has no key because one branch is true if a field is absent."""
    return f"not has hall or destination = {rng.randrange(DESTINATIONS)} and age > {rng.randrange(10_000)}ms"


def random_event(rng: random.Random, number: int) -> Event:
    """Draw an event with a given number."""
    kind = rng.choice(["taken", "shot", "outcome", "outcome", "completed", "completed", "nacked", "written-off"])
    fields: dict[str, Any] = {
        "id": f"{rng.getrandbits(128):032x}",
        "band": rng.choice(PRIORITY_CLASSES),
        "hall": "north",
        "sender": "s1",
        "tenant": f"t{rng.randrange(TENANTS)}",
        "destination": rng.randrange(DESTINATIONS),
        "worth": float(rng.randrange(1000)),
        "at_most_once": False,
    }
    if kind != "taken":
        fields |= {"shots": rng.randrange(1, 6), "age": rng.randrange(10_000_000)}
    if kind in ("shot", "outcome"):
        fields["receiver"] = f"r{rng.randrange(2000)}"
    return Event("s1.1", number, 0, kind, fields)


def mean_cpu_us(function: Callable[[Event], object], events: Sequence[Event]) -> float:
    """Return the mean CPU time of a function for one event, in microseconds."""
    started = time.process_time_ns()
    for each in events:
        function(each)
    return (time.process_time_ns() - started) / 1000 / len(events)


def measure_mix(mix: Callable[[random.Random], str], count: int, seed: int) -> str:
    """Measure `count` filters of a mix and return the row of the table."""
    rng = random.Random(seed)
    started = time.process_time_ns()
    filters = [language.parse_filter(mix(rng)) for _ in range(count)]
    parse_us = (time.process_time_ns() - started) / 1000 / count
    index = Index()
    started = time.process_time_ns()
    for number, each in enumerate(filters):
        index.add(f"f{number}", each)
    add_us = (time.process_time_ns() - started) / 1000 / count
    tests = [compile_filter(each.term) for each in filters]
    events = [random_event(rng, number) for number in range(2000)]
    sampled_events = events[: max(5, min(2000, BUDGET // count))]
    found = [index.matches(each) for each in sampled_events]
    if found != [sorted(f"f{n}" for n, test in enumerate(tests) if test(each)) for each in sampled_events]:
        raise AssertionError("the index and the compiled filters differ")
    times: list[tuple[float, float, float]] = []
    for _ in range(ROUNDS):
        times.append(
            (
                mean_cpu_us(index.matches, events if mix is typical else sampled_events),
                mean_cpu_us(lambda each: [test(each) for test in tests], sampled_events),
                mean_cpu_us(
                    lambda each: [reference_matcher.matches(filter_.term, each) for filter_ in filters], sampled_events
                ),
            )
        )
    index_us, scanned, reference = (median(column) for column in zip(*times, strict=True))
    matched = sum(map(len, found)) / len(found)
    return (
        f"{mix.__name__:9} {count:7,} {index_us:10.1f} {scanned:13.1f} {reference:12.1f} {matched:9.2f} "
        f"{parse_us:9.0f} {add_us:7.1f}"
    )


def main() -> None:
    """Print the table; the first command line argument is the seed (default: 1)."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print("mix       filters   index us  each in turn    reference   matches   read us  add us")
    for mix in (typical, broad, hostile):
        for count in (1, 100, 10_000):
            print(measure_mix(mix, count, seed), flush=True)


if __name__ == "__main__":
    main()
