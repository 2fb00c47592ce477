"""The account of a day: counts of requests and messages by outcome, and the worth that deliveries earned.

Several requests with different ids may be for the same message (a "thing" in the account): the first one and its
retries.
"""

from collections import defaultdict

from cedarwick.lab.audit_cases import Account, Case, Finding
from cedarwick.lab.history import NEVER
from cedarwick.lab.scenario import Scenario
from cedarwick.lab.units import MS


def account(scenario: Scenario, cases: dict[str, Case], findings: list[Finding]) -> Account:
    """Count each request and each message once, by its outcome."""
    counts, priority_classes = Account(), scenario.classes_by_name()
    things: dict[str, list[Case]] = defaultdict(list)
    for case in cases.values():
        handed = case.handed
        if handed is None:
            continue
        things[handed.first].append(case)
        delivered = case.delivered()
        counts.doubled += (
            sum(call.ran for call in case.calls) > 1 and priority_classes[handed.priority_class].repeat != "reissuable"
        )
        if handed.answer == "ok":
            counts.taken += 1
            if delivered != NEVER:
                counts.delivered += 1
                counts.late += delivered > handed.outer
            elif case.notices:
                state = case.notices[0].state
                counts.returned += state == "returned"
                counts.written_off += state == "failed"
            else:
                counts.lost += 1
        else:
            counts.refused += handed.answer == "busy"
            counts.failed += handed.answer == "error"
            counts.unanswered += handed.answer == "none"
            counts.cut += handed.answer == "cut"
            counts.down += handed.answer in ("down", "")
    for requests in things.values():
        first = min((case.handed for case in requests if case.handed), key=lambda handed: handed.due)
        priority_class = priority_classes[first.priority_class]
        counts.things += 1
        counts.worth += priority_class.importance
        delivered_at = [
            case.delivered()
            for case in requests
            if case.handed and case.handed.answer == "ok" and case.delivered() != NEVER
        ]
        if delivered_at:
            counts.things_delivered += 1
            worth = earned_share(
                priority_class.expected_ms,
                priority_class.outer_ms,
                priority_class.late_share,
                min(delivered_at) - first.due,
            )
            counts.earned += priority_class.importance * worth
            counts.in_time += worth >= 1
    return counts


def earned_share(expected_ms: float, outer_ms: float, late_share: float, took: int) -> float:
    """Return the share of its worth that a delivery earns: 1 within the latency objective, then linearly less.

    It falls to `late_share` at the deadline, and is 0 afterwards.
    """
    if took <= expected_ms * MS:
        return 1.0
    if took > outer_ms * MS:
        return 0.0
    return float(1 - (1 - late_share) * (took / MS - expected_ms) / (outer_ms - expected_ms))
