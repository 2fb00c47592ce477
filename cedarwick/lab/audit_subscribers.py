"""What subscribers saw of a fleet's events, and the two rules on it; `invariants.py` has the list of the rules.

Records are made by whoever plays the subscribers (`virtual_subscribers.py`, the process tests). Times are
microseconds of the day.
"""

from collections import defaultdict
from collections.abc import Iterator

import msgspec

from cedarwick.lab.audit_cases import FOREVER, ORDER_TOLERANCE_US, Finding, in_seconds

# ---- records ----


class Occurred(msgspec.Struct, frozen=True):
    """An event at its source, and the subscriptions whose filters it meets, by a reference of the laboratory's."""

    source: str  # a sender and its incarnation: numbers begin anew with each
    number: int
    at: int
    matches: tuple[str, ...]


class Matched(msgspec.Struct, frozen=True):
    """A subscriber got an event."""

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
    """A source said from which number on it evaluates a subscription."""

    subscription: str
    source: str
    since: int
    at: int


class Ended(msgspec.Struct, frozen=True):
    """A subscription was ended, and whoever ended it got the confirmation."""

    subscription: str
    at: int


class Watched(msgspec.Struct):
    """All that is known of subscriptions; events up to `settled` have to reach everyone."""

    occurred: list[Occurred] = msgspec.field(default_factory=list)
    matched: list[Matched] = msgspec.field(default_factory=list)
    gaps: list[Gap] = msgspec.field(default_factory=list)
    evaluates: list[Evaluates] = msgspec.field(default_factory=list)
    ended: list[Ended] = msgspec.field(default_factory=list)
    settled: int = FOREVER


# ---- rules 15 and 16 ----


def judge_subscriptions(watched: Watched) -> Iterator[Finding]:
    """Findings on what each subscriber received from each source: order, repeats, filters, ended subscriptions."""
    got: defaultdict[tuple[str, str], list[Matched]] = defaultdict(list)
    for match in watched.matched:
        got[match.subscription, match.source].append(match)
    over = {end.subscription: end.at for end in watched.ended}
    meant = {(name, event.source, event.number) for event in watched.occurred for name in event.matches}
    sources = {event.source for event in watched.occurred}
    for (name, source), matches in got.items():
        last = -1
        for match in sorted(matches, key=lambda match: match.at):  # stable: what came at once stays as it came
            if match.number <= last:
                how = "twice" if match.number in [each.number for each in matches if each is not match] else "late"
                yield finding_on_record(
                    15, f"{name} got number {match.number} of {source} {how}, after number {last}", match
                )
            last = max(last, match.number)
            if source in sources and (name, source, match.number) not in meant:
                yield finding_on_record(
                    15, f"{name} got number {match.number} of {source}, which its filter does not meet", match
                )
            if name in over and match.at > over[name] + ORDER_TOLERANCE_US:
                yield finding_on_record(
                    16, f"{name} ended at {in_seconds(over[name])} and got an event afterwards", match
                )
    yield from missing(watched, got, over)


def missing(watched: Watched, got: dict[tuple[str, str], list[Matched]], over: dict[str, int]) -> Iterator[Finding]:
    """A match that its subscriber never received and no gap covers, up to the subscription's end and `settled`."""
    since: dict[tuple[str, str], int] = {}
    for each in watched.evaluates:
        since[each.subscription, each.source] = min(each.since, since.get((each.subscription, each.source), each.since))
    have = {pair: {match.number for match in matches} for pair, matches in got.items()}
    for event in watched.occurred:
        for name in event.matches:
            pair = name, event.source
            if pair not in since or event.number < since[pair] or event.number in have.get(pair, ()):
                continue
            if event.at > min(watched.settled, over.get(name, FOREVER)):
                continue
            if not any(
                gap.subscription == name and gap.source == event.source and gap.first <= event.number <= gap.last
                for gap in watched.gaps
            ):
                yield finding_on_record(
                    15, f"{name} never got number {event.number} of {event.source}, and no gap tells of it", event
                )


def finding_on_record(rule: int, text: str, record: msgspec.Struct) -> Finding:
    return Finding(rule, (), text, (msgspec.to_builtins(record),))
