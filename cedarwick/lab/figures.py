"""Computes the figures of a day from its history."""

from collections import Counter, defaultdict

import msgspec
from hdrh.histogram import HdrHistogram

from cedarwick.lab.audit_account import earned_share
from cedarwick.lab.audit_cases import Account
from cedarwick.lab.history import NEVER, History
from cedarwick.lab.scenario import Scenario
from cedarwick.lab.units import SECOND

TIME_STEP = SECOND // 2  # microseconds; the resolution of figures over time
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
MAX_RECORDED_TIME = 120 * SECOND  # microseconds; histograms count longer times as this


class Quantiles(msgspec.Struct):
    """The mean and the percentiles of a set of times, in milliseconds."""

    count: int
    mean: float
    at: dict[str, float]  # time by percentile, such as "99.9"


class PriorityClassFigures(msgspec.Struct):
    """The figures of one priority class over the day; its logical messages are counted as `things`."""

    things: int
    delivered: int
    in_time: int
    service: float  # achieved value divided by the value if every message were delivered in time
    took: Quantiles  # from the due time of a message to its delivery


class Figures(msgspec.Struct):
    """The figures of a day."""

    service: float
    priority_classes: dict[str, PriorityClassFigures] = msgspec.field(name="bands")
    answers: dict[str, int]
    outcomes: dict[str, int]
    answered: Quantiles  # from the due time of a request to its answer
    calls: int
    calls_per_thing: float
    memory_mb: float  # the largest resident size of a sender
    descriptors: int
    cpu_share: float  # share of a core that the busiest sender used
    fell_over: int  # outages of endpoints that were overloaded while warming up
    worst_lag_ms: float  # largest delay of the emulator's own event loop


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of times in microseconds."""
    return HdrHistogram(1, MAX_RECORDED_TIME, 3)


def summarize_histogram(histogram: HdrHistogram) -> Quantiles:
    """Convert a histogram of microseconds to percentiles in milliseconds."""
    count = int(histogram.get_total_count())
    at = (
        {
            f"{percentile:g}": round(histogram.get_value_at_percentile(percentile) / 1000, 2)
            for percentile in PERCENTILES
        }
        if count
        else {}
    )
    return Quantiles(count, round(histogram.get_mean_value() / 1000, 2) if count else 0.0, at)


def compute_figures(scenario: Scenario, history: History, length: int, account: Account) -> Figures:
    """Compute all figures of a day; `length` is the time in which messages arrive, in microseconds."""
    delivered_at = delivery_times(history)
    priority_classes = scenario.classes_by_name()
    delivery_histograms = {name: new_histogram() for name in priority_classes}
    messages: Counter[str] = Counter()
    delivered: Counter[str] = Counter()
    in_time: Counter[str] = Counter()
    achieved_values: defaultdict[str, float] = defaultdict(float)
    for class_name, due, at in logical_messages(history, delivered_at):
        messages[class_name] += 1
        if at != NEVER:
            priority_class = priority_classes[class_name]
            value = earned_share(
                priority_class.expected_ms, priority_class.outer_ms, priority_class.late_share, at - due
            )
            delivered[class_name] += 1
            in_time[class_name] += value >= 1
            achieved_values[class_name] += value
            delivery_histograms[class_name].record_value(max(1, min(MAX_RECORDED_TIME, at - due)))
    answer_histogram = new_histogram()
    for handed in history.handed:
        if handed.answer in ("ok", "busy", "error"):
            answer_histogram.record_value(max(1, min(MAX_RECORDED_TIME, handed.answered - handed.due)))
    possible_value = sum(messages[name] * priority_classes[name].importance for name in priority_classes)
    achieved_value = sum(achieved_values[name] * priority_classes[name].importance for name in priority_classes)
    last_samples: dict[int, tuple[int, int]] = {}
    cpu_share = 0.0
    for sample in history.sampled:
        previous = last_samples.get(sample.sender)
        last_samples[sample.sender] = sample.at, sample.cpu
        if previous and sample.cpu >= previous[1] and sample.at > previous[0]:
            cpu_share = max(cpu_share, (sample.cpu - previous[1]) / (sample.at - previous[0]))
    return Figures(
        round(achieved_value / possible_value, 4) if possible_value else 0.0,
        {
            name: PriorityClassFigures(
                messages[name],
                delivered[name],
                in_time[name],
                round(achieved_values[name] / messages[name], 4) if messages[name] else 0.0,
                summarize_histogram(delivery_histograms[name]),
            )
            for name in priority_classes
        },
        dict(Counter(handed.answer or "open" for handed in history.handed)),
        dict(Counter(call_outcome(call.status, call.spoilt) for call in history.called)),
        summarize_histogram(answer_histogram),
        len(history.called),
        round(len(history.called) / max(1, account.things), 3),
        round(max((sample.memory for sample in history.sampled), default=0) / (1 << 20), 1),
        max((sample.descriptors for sample in history.sampled), default=0),
        round(cpu_share, 3),
        sum(away.fell for away in history.away),
        round(max((late.by for late in history.late), default=0) / 1000, 1),
    )


def call_outcome(status: int, spoilt: str) -> str:
    """Return how a call ended, as the partner saw it."""
    if spoilt in ("noise", "endless", "short", "huge", "stops"):
        return "spoilt"
    names = {0: "no answer", 200: "completed", 429: "told to wait", 500: "error", 503: "turned away"}
    return names.get(status, str(status))


def delivery_times(history: History) -> dict[str, int]:
    """Return the time of delivery of each id: the end of its first call that was answered with status 200."""
    delivered_at: dict[str, int] = {}
    for call in history.called:
        if call.status == 200:
            delivered_at[call.id] = min(call.ended, delivered_at.get(call.id, call.ended))
    return delivered_at


def logical_messages(history: History, delivered_at: dict[str, int]) -> list[tuple[str, int, int]]:
    """Return priority class, due time and time of delivery (NEVER if not delivered) of each logical message.

    A logical message is one message of a client over all its submissions, each of which has an id of its own.
    """
    messages: dict[str, tuple[str, int, int]] = {}
    for handed in history.handed:
        priority_class, due, first_completed_at = messages.get(handed.first, (handed.priority_class, handed.due, NEVER))
        completed_at = delivered_at.get(handed.id, NEVER) if handed.answer == "ok" else NEVER
        if completed_at != NEVER:
            first_completed_at = completed_at if first_completed_at == NEVER else min(first_completed_at, completed_at)
        messages[handed.first] = priority_class, min(due, handed.due), first_completed_at
    return list(messages.values())
