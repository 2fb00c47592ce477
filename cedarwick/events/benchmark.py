"""Measures the cost of an event with 1, 100 and 10,000 filters: by index, by each compiled filter, by the reference.

    python -m cedarwick.events.benchmark [SEED]

One run in one process, the three methods in alternation; prints the median of several rounds, in microseconds of CPU
time for each event.
"""

import random
import sys
import time
from collections.abc import Callable, Sequence
from statistics import median
from typing import Any

from cedarwick.events import language, reference_matcher
from cedarwick.events.compiled import compiled
from cedarwick.events.index import Index
from cedarwick.events.kinds import Event

ROUNDS = 3
BUDGET = 200_000  # filters times events tested in one round of the slower methods
DESTINATIONS, TENANTS = 400, 200
PRIORITY_CLASSES = ("free", "guarded", "single")


def typical(chance: random.Random) -> str:
    """Typical filters: most name a destination or tenant with a priority class, kind or age; some are unselective."""
    destination = f"destination = {chance.randrange(DESTINATIONS)}"
    tenant = f'tenant = "t{chance.randrange(TENANTS)}"'
    priority_class = f'band = "{chance.choice(PRIORITY_CLASSES)}"'
    kind = f'kind = "{chance.choice(("nacked", "written-off", "completed", "outcome"))}"'
    shapes = [
        f"{destination} and {tenant}",
        f"{destination} and {kind} and age > {chance.randrange(100, 9000)}ms",
        f"{tenant} and {kind} and {priority_class}",
        f"{tenant} and {destination} and shots in 2..{chance.randrange(3, 9)}",
        f"({destination} or {tenant}) and {kind} and not {priority_class}",
        f'tenant in ("t{chance.randrange(TENANTS)}", "t{chance.randrange(TENANTS)}") '
        f"and {priority_class} and {destination}",
        f'id like "{chance.randrange(1 << 20):05x}*"',
        f'receiver = "r{chance.randrange(2000)}" and {kind}',
    ]
    if chance.random() < 0.001:
        return f'{kind} and worth > {chance.randrange(900, 1000)} and id like "*{chance.randrange(99):02}?"'
    return chance.choice(shapes)


def broad(chance: random.Random) -> str:
    """Broad filters: only bounds, no equalities; each event satisfies many of them."""
    return f"age > {chance.randrange(10_000)}ms and worth < {chance.randrange(1000)} and shots != {chance.randrange(9)}"


def hostile(chance: random.Random) -> str:
    """Hostile filters: the index cannot use them, since one branch is true if a field is absent."""
    return f"not has hall or destination = {chance.randrange(DESTINATIONS)} and age > {chance.randrange(10_000)}ms"


def event(chance: random.Random, number: int) -> Event:
    """A random event with this number."""
    kind = chance.choice(["taken", "shot", "outcome", "outcome", "completed", "completed", "nacked", "written-off"])
    fields: dict[str, Any] = {
        "id": f"{chance.getrandbits(128):032x}",
        "band": chance.choice(PRIORITY_CLASSES),
        "hall": "north",
        "sender": "s1",
        "tenant": f"t{chance.randrange(TENANTS)}",
        "destination": chance.randrange(DESTINATIONS),
        "worth": float(chance.randrange(1000)),
        "at_most_once": False,
    }
    if kind != "taken":
        fields |= {"shots": chance.randrange(1, 6), "age": chance.randrange(10_000_000)}
    if kind in ("shot", "outcome"):
        fields["receiver"] = f"r{chance.randrange(2000)}"
    return Event("s1.1", number, 0, kind, fields)


def timed(work: Callable[[Event], object], events: Sequence[Event]) -> float:
    """The mean CPU time of `work` for one event, in microseconds."""
    began = time.process_time_ns()
    for each in events:
        work(each)
    return (time.process_time_ns() - began) / 1000 / len(events)


def row(mix: Callable[[random.Random], str], count: int, seed: int) -> str:
    """Measure a mix of `count` filters and return its line of the table."""
    chance = random.Random(seed)
    began = time.process_time_ns()
    filters = [language.parse_filter(mix(chance)) for _ in range(count)]
    read = (time.process_time_ns() - began) / 1000 / count
    index = Index()
    began = time.process_time_ns()
    for number, each in enumerate(filters):
        index.add(f"f{number}", each)
    added = (time.process_time_ns() - began) / 1000 / count
    tests = [compiled(each.term) for each in filters]
    events = [event(chance, number) for number in range(2000)]
    some = events[: max(5, min(2000, BUDGET // count))]
    found = [index.matches(each) for each in some]
    if found != [sorted(f"f{n}" for n, test in enumerate(tests) if test(each)) for each in some]:
        raise AssertionError("the index and the compiled filters differ")
    times: list[tuple[float, float, float]] = []
    for _ in range(ROUNDS):
        times.append(
            (
                timed(index.matches, events if mix is typical else some),
                timed(lambda each: [test(each) for test in tests], some),
                timed(lambda each: [reference_matcher.matches(made.term, each) for made in filters], some),
            )
        )
    indexed, turned, walked = (median(column) for column in zip(*times, strict=True))
    matched = sum(map(len, found)) / len(found)
    return (
        f"{mix.__name__:9} {count:7,} {indexed:10.1f} {turned:13.1f} {walked:12.1f} {matched:9.2f} "
        f"{read:9.0f} {added:7.1f}"
    )


def main() -> None:
    """Print the table; the first argument is the seed (1 if omitted)."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print("mix       filters   index us  each in turn    reference   matches   read us  add us")
    for mix in (typical, broad, hostile):
        for count in (1, 100, 10_000):
            print(row(mix, count, seed), flush=True)


if __name__ == "__main__":
    main()
