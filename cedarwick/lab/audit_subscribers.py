"""What subscribers received of a fleet's events, and the two rules on it; `invariants.py` lists all rules.

The records come from the code that plays the subscribers (`virtual_subscribers.py` and the process tests). Times are
microseconds of the day.
"""

from collections import defaultdict
from collections.abc import Iterator

import msgspec

from cedarwick.lab.audit_cases import FOREVER, ORDER_TOLERANCE_US, Finding, in_seconds

# ---- records ----


class Occurred(msgspec.Struct, frozen=True):
    """An event at its source, and the subscriptions whose filters match it, by the laboratory's own evaluation."""

    source: str  # a sender and its incarnation; event numbers restart with each incarnation
    number: int
    at: int
    matches: tuple[str, ...]


class Matched(msgspec.Struct, frozen=True):
    """A subscriber received an event."""

    subscription: str
    source: str
    number: int
    at: int


class Gap(msgspec.Struct, frozen=True):
    """A subscriber was notified that a span of a source's events is missing, both ends included."""

    subscription: str
    source: str
    first: int
    last: int
    at: int


class Evaluates(msgspec.Struct, frozen=True):
    """A source reported from which event number on it evaluates a subscription."""

    subscription: str
    source: str
    since: int
    at: int


class Ended(msgspec.Struct, frozen=True):
    """A subscription was ended, and the caller that ended it got the confirmation."""

    subscription: str
    at: int


class Watched(msgspec.Struct):
    """All observations of subscriptions; events up to the time `settled` must reach every subscriber."""

    occurred: list[Occurred] = msgspec.field(default_factory=list)
    matched: list[Matched] = msgspec.field(default_factory=list)
    gaps: list[Gap] = msgspec.field(default_factory=list)
    evaluates: list[Evaluates] = msgspec.field(default_factory=list)
    ended: list[Ended] = msgspec.field(default_factory=list)
    settled: int = FOREVER


# ---- rules 15 and 16 ----


def judge_subscriptions(watched: Watched) -> Iterator[Finding]:
    """Yield findings on what subscribers received from each source: order, repeats, filters, ended subscriptions."""
    received: defaultdict[tuple[str, str], list[Matched]] = defaultdict(list)
    for match in watched.matched:
        received[match.subscription, match.source].append(match)
    ended_at = {end.subscription: end.at for end in watched.ended}
    expected = {(name, event.source, event.number) for event in watched.occurred for name in event.matches}
    sources = {event.source for event in watched.occurred}
    for (name, source), matches in received.items():
        last = -1
        for match in sorted(
            matches, key=lambda match: match.at
        ):  # stable: events of the same time stay in order of arrival
            if match.number <= last:
                fault = "twice" if match.number in [each.number for each in matches if each is not match] else "late"
                yield finding_on_record(
                    15, f"{name} got number {match.number} of {source} {fault}, after number {last}", match
                )
            last = max(last, match.number)
            if source in sources and (name, source, match.number) not in expected:
                yield finding_on_record(
                    15, f"{name} got number {match.number} of {source}, which its filter does not match", match
                )
            if name in ended_at and match.at > ended_at[name] + ORDER_TOLERANCE_US:
                yield finding_on_record(
                    16, f"{name} ended at {in_seconds(ended_at[name])} but received an event afterwards", match
                )
    yield from missing_events(watched, received, ended_at)


def missing_events(
    watched: Watched, received: dict[tuple[str, str], list[Matched]], ended_at: dict[str, int]
) -> Iterator[Finding]:
    """Yield matches, up to the subscription's end and `settled`, that were neither received nor covered by a gap."""
    since: dict[tuple[str, str], int] = {}
    for each in watched.evaluates:
        since[each.subscription, each.source] = min(each.since, since.get((each.subscription, each.source), each.since))
    received_numbers = {pair: {match.number for match in matches} for pair, matches in received.items()}
    for event in watched.occurred:
        for name in event.matches:
            pair = name, event.source
            if pair not in since or event.number < since[pair] or event.number in received_numbers.get(pair, ()):
                continue
            if event.at > min(watched.settled, ended_at.get(name, FOREVER)):
                continue
            if not any(
                gap.subscription == name and gap.source == event.source and gap.first <= event.number <= gap.last
                for gap in watched.gaps
            ):
                yield finding_on_record(
                    15, f"{name} never received number {event.number} of {event.source}, and no gap covers it", event
                )


def finding_on_record(rule: int, text: str, record: msgspec.Struct) -> Finding:
    """Build a finding on one record of a subscription."""
    return Finding(rule, (), text, (msgspec.to_builtins(record),))
