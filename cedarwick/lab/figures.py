"""Figures of a day, from what was seen of it."""

from collections import Counter, defaultdict

import msgspec
from hdrh.histogram import HdrHistogram

from cedarwick.lab.audit_account import worth_of
from cedarwick.lab.audit_cases import Account
from cedarwick.lab.history import NEVER, History
from cedarwick.lab.scenario import Scenario
from cedarwick.lab.units import SECOND

STEP = SECOND // 2  # figures over time come in steps of this
QUANTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
MAX_RECORDED_TIME = 120 * SECOND


class Quantiles(msgspec.Struct):
    """Times in milliseconds."""

    count: int
    mean: float
    at: dict[str, float]


class PriorityClassFigures(msgspec.Struct):
    """One priority class over the day."""

    things: int
    delivered: int
    in_time: int
    service: float  # the worth earned over the worth asked for
    took: Quantiles  # from when a thing was due to its delivery


class Figures(msgspec.Struct):
    """The figures of a day."""

    service: float
    priority_classes: dict[str, PriorityClassFigures] = msgspec.field(name="bands")
    answers: dict[str, int]
    outcomes: dict[str, int]
    answered: Quantiles  # from when a request was due to its answer
    calls: int
    calls_per_thing: float
    memory_mb: float  # the largest resident size of a sender
    descriptors: int
    cpu_share: float  # of a core, of the busiest sender
    fell_over: int
    worst_lag_ms: float


def new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_RECORDED_TIME, 3)


def summarize_histogram(histogram: HdrHistogram) -> Quantiles:
    """A histogram of microseconds in milliseconds."""
    count = int(histogram.get_total_count())
    at = {f"{part:g}": round(histogram.get_value_at_percentile(part) / 1000, 2) for part in QUANTILES} if count else {}
    return Quantiles(count, round(histogram.get_mean_value() / 1000, 2) if count else 0.0, at)


def compute_figures(scenario: Scenario, history: History, length: int, account: Account) -> Figures:
    """All figures of a day; `length` is the time of arrivals in microseconds."""
    done = delivery_times(history)
    priority_classes = scenario.classes_by_name()
    took = {name: new_histogram() for name in priority_classes}
    things: Counter[str] = Counter()
    delivered: Counter[str] = Counter()
    in_time: Counter[str] = Counter()
    earned: defaultdict[str, float] = defaultdict(float)
    for class_name, due, at in logical_messages(history, done):
        things[class_name] += 1
        if at != NEVER:
            priority_class = priority_classes[class_name]
            worth = worth_of(priority_class.expected_ms, priority_class.outer_ms, priority_class.late_share, at - due)
            delivered[class_name] += 1
            in_time[class_name] += worth >= 1
            earned[class_name] += worth
            took[class_name].record_value(max(1, min(MAX_RECORDED_TIME, at - due)))
    answered = new_histogram()
    for handed in history.handed:
        if handed.answer in ("ok", "busy", "error"):
            answered.record_value(max(1, min(MAX_RECORDED_TIME, handed.answered - handed.due)))
    worth = sum(things[name] * priority_classes[name].importance for name in priority_classes)
    total = sum(earned[name] * priority_classes[name].importance for name in priority_classes)
    cpu: dict[int, tuple[int, int]] = {}
    share = 0.0
    for sample in history.sampled:
        before = cpu.get(sample.sender)
        cpu[sample.sender] = sample.at, sample.cpu
        if before and sample.cpu >= before[1] and sample.at > before[0]:
            share = max(share, (sample.cpu - before[1]) / (sample.at - before[0]))
    return Figures(
        round(total / worth, 4) if worth else 0.0,
        {
            name: PriorityClassFigures(
                things[name],
                delivered[name],
                in_time[name],
                round(earned[name] / things[name], 4) if things[name] else 0.0,
                summarize_histogram(took[name]),
            )
            for name in priority_classes
        },
        dict(Counter(handed.answer or "open" for handed in history.handed)),
        dict(Counter(call_outcome(call.status, call.spoilt) for call in history.called)),
        summarize_histogram(answered),
        len(history.called),
        round(len(history.called) / max(1, account.things), 3),
        round(max((sample.memory for sample in history.sampled), default=0) / (1 << 20), 1),
        max((sample.descriptors for sample in history.sampled), default=0),
        round(share, 3),
        sum(away.fell for away in history.away),
        round(max((late.by for late in history.late), default=0) / 1000, 1),
    )


def call_outcome(status: int, spoilt: str) -> str:
    """How a call ended, as the partner saw it."""
    if spoilt in ("noise", "endless", "short", "huge", "stops"):
        return "spoilt"
    words = {0: "no answer", 200: "completed", 429: "told to wait", 500: "error", 503: "turned away"}
    return words.get(status, str(status))


def delivery_times(history: History) -> dict[str, int]:
    """When each id was delivered: its first good answer."""
    done: dict[str, int] = {}
    for call in history.called:
        if call.status == 200:
            done[call.id] = min(call.ended, done.get(call.id, call.ended))
    return done


def logical_messages(history: History, done: dict[str, int]) -> list[tuple[str, int, int]]:
    """Each thing that clients wanted delivered:

    priority class, when it was due, when it was delivered (NEVER if not).
    """
    things: dict[str, tuple[str, int, int]] = {}
    for handed in history.handed:
        priority_class, due, at = things.get(handed.first, (handed.priority_class, handed.due, NEVER))
        delivered = done.get(handed.id, NEVER) if handed.answer == "ok" else NEVER
        if delivered != NEVER:
            at = delivered if at == NEVER else min(at, delivered)
        things[handed.first] = priority_class, min(due, handed.due), at
    return list(things.values())
