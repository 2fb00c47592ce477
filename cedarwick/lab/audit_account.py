"""The account of a day: each request and each thing counted once by its outcome, and the worth of deliveries."""

from collections import defaultdict

from cedarwick.lab.audit_cases import Account, Case, Finding
from cedarwick.lab.history import NEVER
from cedarwick.lab.scenario import Scenario
from cedarwick.lab.units import MS


def account(scenario: Scenario, cases: dict[str, Case], findings: list[Finding]) -> Account:
    """Count each request and each thing once, by its outcome."""
    made, priority_classes = Account(), scenario.classes_by_name()
    things: dict[str, list[Case]] = defaultdict(list)
    for case in cases.values():
        handed = case.handed
        if handed is None:
            continue
        things[handed.first].append(case)
        delivered = case.delivered()
        made.doubled += (
            sum(call.ran for call in case.calls) > 1 and priority_classes[handed.priority_class].repeat != "reissuable"
        )
        if handed.answer == "ok":
            made.taken += 1
            if delivered != NEVER:
                made.delivered += 1
                made.late += delivered > handed.outer
            elif case.notices:
                state = case.notices[0].state
                made.returned += state == "returned"
                made.written_off += state == "failed"
            else:
                made.lost += 1
        else:
            made.refused += handed.answer == "busy"
            made.failed += handed.answer == "error"
            made.unanswered += handed.answer == "none"
            made.cut += handed.answer == "cut"
            made.down += handed.answer in ("down", "")
    for tries in things.values():
        first = min((case.handed for case in tries if case.handed), key=lambda handed: handed.due)
        priority_class = priority_classes[first.priority_class]
        made.things += 1
        made.worth += priority_class.importance
        done = [
            case.delivered()
            for case in tries
            if case.handed and case.handed.answer == "ok" and case.delivered() != NEVER
        ]
        if done:
            made.things_delivered += 1
            worth = earned_share(
                priority_class.expected_ms, priority_class.outer_ms, priority_class.late_share, min(done) - first.due
            )
            made.earned += priority_class.importance * worth
            made.in_time += worth >= 1
    return made


def earned_share(expected_ms: float, outer_ms: float, late_share: float, took: int) -> float:
    """The part of its worth that a delivery earns: all within the latency objective, then evenly less."""
    if took <= expected_ms * MS:
        return 1.0
    if took > outer_ms * MS:
        return 0.0
    return float(1 - (1 - late_share) * (took / MS - expected_ms) / (outer_ms - expected_ms))
