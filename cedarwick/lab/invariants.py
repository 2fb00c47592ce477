"""The audit of a fleet of senders: the rules of `audit.py` for each sender, and the guarantees of the fleet as a whole.

    verdict = judge(scenario, history, ended, Terms(ack="copy", senders=5), watched)

`judge` is a pure function of what clients, partners, platform and subscribers observed, of the faults that were
injected into senders and links (`Life`, `Gone`), and of the terms. Findings have the rule numbers of `audit_rules.py`,
and these for the fleet:

    11  a message gets one final answer in time, from any member, even if one sender is lost for good
    12  at most one sender at a time has an attempt of a message in flight
    13  'returned' means never ran: knowledge of attempts is never lost
    14  messages of an order key keep their order across senders
    15  a subscriber gets each match once, in the order of its source, with no match missing outside a reported gap
    16  an ended subscription delivers nothing

Where the observations are ambiguous, the audit decides in favour of the senders; each function documents its
allowances.
"""

from collections import defaultdict
from collections.abc import Iterator
from typing import Literal, NamedTuple

import msgspec

from cedarwick.lab import audit_rules, audit_subscribers
from cedarwick.lab.audit_account import account
from cedarwick.lab.audit_cases import (
    FOREVER,
    ORDER_TOLERANCE_US,
    Case,
    Finding,
    ProcessTimes,
    Verdict,
    cases_by_id,
    in_seconds,
    make_finding,
    may_have_run,
)
from cedarwick.lab.audit_subscribers import Watched
from cedarwick.lab.history import NEVER, Called, History, Noticed
from cedarwick.lab.scenario import Scenario
from cedarwick.lab.schedule import FOLDER_KINDS, LINK_KINDS, PROCESS_KINDS, SPLIT_KINDS
from cedarwick.lab.units import MS

ISOLATED_ANSWER_WINDOW_US = 500 * MS  # an isolated holder gives its own final answer this close to the deadline


class Terms(msgspec.Struct, frozen=True, kw_only=True):
    """The guarantees of the fleet; times are in milliseconds."""

    senders: int
    ack: Literal["own", "copy"] = "own"
    adopt_ms: float = 2500.0  # limit from the loss of a sender to the final answers that fell due meanwhile
    lag_ms: float = 1000.0  # with `own`, a message accepted this shortly before its sender's loss may have no copy
    lease_ms: float = (
        1000.0  # a sender out for this long starts no attempts: its lease of 1.2 s, renewed before, is over
    )
    across: bool = True  # whether order by key is also audited between senders


# ---- faults ----


class FaultSpan(NamedTuple):
    """A period in which some senders were unavailable, or their links had a fault."""

    begin: int
    end: int
    senders_hit: frozenset[int]
    kind: str


def collect_fault_spans(history: History, process_times: ProcessTimes) -> list[FaultSpan]:
    """Return all faults and all periods in which a sender was unavailable, in order of time."""
    found = [
        FaultSpan(begin, end, frozenset([sender]), "down")
        for sender, down_times in process_times.unavailable.items()
        for begin, end in down_times
    ]
    for fault in history.gone:
        senders_hit = {int(name[1:]) for on in fault.on for name in on.split(">") if name[1:].isdecimal()}
        found.append(
            FaultSpan(fault.began, FOREVER if fault.ended == NEVER else fault.ended, frozenset(senders_hit), fault.kind)
        )
    return sorted(found)


def find_majority_outages(spans: list[FaultSpan], senders: int) -> list[FaultSpan]:
    """Return the periods in which half or more of the senders were unavailable; spans of one sender count once."""
    outages = [span for span in spans if span.kind == "down" or span.kind in PROCESS_KINDS or span.kind in SPLIT_KINDS]
    edges = sorted({at for span in outages for at in (span.begin, span.end)})
    found = []
    for begin, end in zip(edges, edges[1:], strict=False):
        senders_hit = frozenset().union(*(span.senders_hit for span in outages if span.begin <= begin < span.end))
        if 2 * (senders - len(senders_hit)) <= senders:
            found.append(FaultSpan(begin, end, senders_hit, "majority outage"))
    return found


# ---- the verdict ----


def judge(scenario: Scenario, history: History, ended: int, terms: Terms, watched: Watched | None = None) -> Verdict:
    """Account for every message and audit all rules. `ended`: when recording stopped, in microseconds."""
    cases = cases_by_id(history)
    process_times = ProcessTimes(history)
    spans = collect_fault_spans(history, process_times)
    findings = [
        *audit_rules.unknown_messages(cases),
        *audit_rules.unanswered_connections(cases, process_times),
        *audit_rules.repeated_effects(scenario, cases, process_times),
        *audit_rules.calls_while_draining(scenario, history, process_times),
        *audit_rules.overloads_while_warming_up(scenario, history),
        *audit_rules.calls_during_waits(scenario, history, process_times),
        *audit_rules.unanswered_bad_clients(history, process_times),
        *audit_rules.crashed_processes(history),
        *find_final_answer_violations(scenario, cases, process_times, spans, ended, terms),
        *find_calls_after_final_answer(scenario, cases, spans),
        *find_concurrent_attempts(scenario, cases, process_times, spans, terms),
        *find_false_returns(cases),
        *find_key_order_violations(scenario, cases, process_times, spans, terms),
        *(audit_subscribers.judge_subscriptions(watched) if watched is not None else ()),
    ]
    return Verdict(account(scenario, cases, findings), findings)


# ---- 11: one final answer ----


def find_final_answer_violations(
    scenario: Scenario,
    cases: dict[str, Case],
    process_times: ProcessTimes,
    spans: list[FaultSpan],
    ended: int,
    terms: Terms,
) -> Iterator[Finding]:
    """Rule 11: an accepted message gets exactly one final answer, in time.

    Allowances: `adopt_ms` from the start of a fault at any sender before the answer was due; the duration of a majority
    outage and `adopt_ms` more; with `own`, a message accepted within `lag_ms` of its sender's loss waits for that
    sender to return, and may be lost if its folder was lost. A 'failed' notice beside a delivery is correct only if a
    fault lies between the two, or if each successful answer was written to a caller that had left
    (`delivered_after_caller_left`); the notice of an isolated holder (`failed_while_isolated`) may stand beside any
    final answer.
    """
    end_grace, restart_grace = round(scenario.rules.end_grace_ms * MS), round(scenario.rules.restart_grace_ms * MS)
    adoption_limit = round(terms.adopt_ms * MS)
    majority_outages = find_majority_outages(spans, terms.senders)
    for case in cases.values():
        handed = case.handed
        if handed is None:
            continue
        delivered, notice_states = case.delivered(), {notice.state for notice in case.notices}
        other_states = {notice.state for notice in case.notices if not failed_while_isolated(case, notice, spans)}
        if len(other_states) > 1:
            yield make_finding(11, f"two different ends: {' and '.join(sorted(notice_states))}", case)
        if delivered != NEVER and "failed" in notice_states and not delivered_after_caller_left(case):
            notified = min(notice.at for notice in case.notices)
            first_call_at = min(call.first for call in case.calls if call.status == 200)
            if not any(
                span.begin <= max(notified, delivered) and first_call_at <= span.end + adoption_limit for span in spans
            ):
                yield make_finding(11, "delivered, and said to have failed, with no trouble between", case)
        if handed.answer != "ok":
            continue
        due = handed.outer + end_grace
        due = max([due, *(span.begin + adoption_limit for span in spans if handed.answered <= span.begin <= due)])
        for span in majority_outages:
            if span.begin <= due and handed.answered <= span.end:
                due = max(due, span.end + adoption_limit + end_grace)
        if may_lack_copy(case, spans, terms):
            if folder_was_lost(case, spans, terms):
                continue
            due = max(due, process_times.excused_until(accepting_sender(case), due, max(adoption_limit, restart_grace)))
        yield from audit_rules.overdue_end(11, case, due, ended)


def delivered_after_caller_left(case: Case) -> bool:
    """Whether every successful answer was written after its caller had closed its sending side, as on a time-out.

    No caller can read such an answer before it gives up, and 'failed' means that the message may have run.
    """
    return all(call.left for call in case.calls if call.status == 200)


def failed_while_isolated(case: Case, notice: Noticed, spans: list[FaultSpan]) -> bool:
    """Whether a 'failed' notice came from a holder that was isolated close to the message's deadline.

    Such a holder can't know whether another member has taken the message over, and must not wait until it can ask: it
    has to give a final answer in time that means 'may have run'. So a successor may deliver the message, or give
    another final answer, beside this one.
    """
    assert case.handed is not None
    near_deadline = abs(notice.at - case.handed.outer) <= ISOLATED_ANSWER_WINDOW_US
    return (
        notice.state == "failed"
        and near_deadline
        and any(
            span.kind in (*SPLIT_KINDS, *LINK_KINDS)
            and notice.sender in span.senders_hit
            and span.begin <= notice.at <= span.end + ISOLATED_ANSWER_WINDOW_US
            for span in spans
        )
    )


def accepting_sender(case: Case) -> int:
    """Return the sender that accepted the message: the one that the client called, or the holder of its session."""
    assert case.handed is not None
    return case.handed.sender if case.handed.taker < 0 else case.handed.taker


def may_lack_copy(case: Case, spans: list[FaultSpan], terms: Terms) -> bool:
    """Whether the accepting sender may have been lost or isolated before another member had a copy."""
    assert case.handed is not None
    accepted_at, replication_lag = case.handed.answered, round(terms.lag_ms * MS)
    return terms.ack == "own" and any(
        accepting_sender(case) in span.senders_hit
        and span.begin <= accepted_at + replication_lag
        and accepted_at <= span.end + replication_lag
        for span in spans
    )


def folder_was_lost(case: Case, spans: list[FaultSpan], terms: Terms) -> bool:
    """Whether the accepting sender's folder was lost before another member had a copy."""
    assert case.handed is not None
    accepted_at = case.handed.answered
    return any(
        span.kind in FOLDER_KINDS and accepting_sender(case) in span.senders_hit and accepted_at <= span.end
        for span in spans
    )


def find_calls_after_final_answer(
    scenario: Scenario, cases: dict[str, Case], spans: list[FaultSpan]
) -> Iterator[Finding]:
    """Rule 11: no attempt starts after the final answer.

    Allowances: a repeatable message may be delivered again if a fault hit the sender that had delivered it before its
    record of the delivery may have been replicated. A final answer given by an isolated holder
    (`failed_while_isolated`) does not bind a member that has taken the message over.
    """
    priority_classes = scenario.classes_by_name()
    for case in cases.values():
        if case.handed is None:
            continue
        notified = min(
            (notice.at for notice in case.notices if not failed_while_isolated(case, notice, spans)), default=NEVER
        )
        delivering_calls = [call for call in case.calls if call.status == 200]
        for call in case.calls:
            if notified != NEVER and call.first > notified + ORDER_TOLERANCE_US:
                yield make_finding(
                    11, f"called at {in_seconds(call.first)}, after its notice at {in_seconds(notified)}", case
                )
                break
            earlier_deliveries = [each for each in delivering_calls if each.ended + ORDER_TOLERANCE_US < call.first]
            if not earlier_deliveries:
                continue
            all_hit_by_fault = all(
                overlaps_fault(spans, each.sender, each.first, call.first) for each in earlier_deliveries
            )
            if priority_classes[case.handed.priority_class].repeat == "at-most-once" or not all_hit_by_fault:
                yield make_finding(
                    11,
                    f"called at {in_seconds(call.first)}, "
                    f"after its delivery at {in_seconds(earlier_deliveries[0].ended)}",
                    case,
                )
                break


def overlaps_fault(spans: list[FaultSpan], sender: int, begin: int, end: int) -> bool:
    """Whether a fault of a sender overlaps a period."""
    return any(sender in span.senders_hit and span.begin <= end and begin <= span.end for span in spans)


# ---- 12: one attempt at a time ----


def find_concurrent_attempts(
    scenario: Scenario, cases: dict[str, Case], process_times: ProcessTimes, spans: list[FaultSpan], terms: Terms
) -> Iterator[Finding]:
    """Rule 12: a message never has two attempts in flight at once.

    An attempt ends with its answer, its connection or its sender's process. Allowance, between two senders and never
    for an at-most-once message: the sender of the earlier attempt had been unavailable for `lease_ms` when the later
    one started, so the earlier attempt is a call that may have run and that nobody waits for.
    """
    priority_classes = scenario.classes_by_name()
    lease = round(terms.lease_ms * MS)
    for case in cases.values():
        if case.handed is None:
            continue
        at_most_once = priority_classes[case.handed.priority_class].repeat == "at-most-once"
        for index, later in enumerate(case.calls):
            overlapping = [
                earlier
                for earlier in case.calls[:index]
                if in_flight_until(earlier, process_times) > later.first + ORDER_TOLERANCE_US
            ]
            for earlier in overlapping:
                lease_expired = earlier.sender != later.sender and any(
                    earlier.sender in span.senders_hit
                    and span.begin + lease <= later.first
                    and earlier.first <= span.end
                    for span in spans
                )
                if at_most_once or not lease_expired:
                    yield make_finding(
                        12,
                        f"n{later.sender} fired at {in_seconds(later.first)} while the attempt of n{earlier.sender} "
                        f"from {in_seconds(earlier.first)} was out",
                        case,
                    )
                    break
            else:
                continue
            break


def in_flight_until(call: Called, process_times: ProcessTimes) -> int:
    """Return the time at which a call was no longer in flight: its end, or the end of its sender's process."""
    deaths = [at for at in process_times.ends[call.sender] if at >= call.first]
    return min([call.ended if call.ended != NEVER else FOREVER, *deaths])


# ---- 13: 'returned' means never ran ----


def find_false_returns(cases: dict[str, Case]) -> Iterator[Finding]:
    """Rule 13: 'returned' is reported only for messages that no partner has run or may have run."""
    for case in cases.values():
        returned = [notice for notice in case.notices if notice.state == "returned"]
        ran = [call for call in case.calls if call.ran or may_have_run(call)]
        if returned and ran:
            yield make_finding(
                13,
                f"returned at {in_seconds(returned[0].at)} by n{returned[0].sender}; the call of n{ran[0].sender} at "
                f"{in_seconds(ran[0].first)} may have run",
                case,
            )


# ---- 14: order by key ----


def find_key_order_violations(
    scenario: Scenario, cases: dict[str, Case], process_times: ProcessTimes, spans: list[FaultSpan], terms: Terms
) -> Iterator[Finding]:
    """Rule 14: messages of one order key are called one after another, whichever senders accepted them.

    Audited where the earlier message was answered before the later one was sent. Allowances: the sender that accepted
    the earlier message was lost before another member had a copy (`own`), or the sender of its call died during the
    call. If more than one sender accepted or called the two messages, also any fault since the earlier message was
    accepted, because it delays that message's partition (a fault of a replica also delays its holder). Meanwhile other
    members hold the key back by the hints in peer messages, which arrive only as far as the network allows and expire
    after some seconds, so order is not guaranteed; `tests/fleet/test_order_key_hints.py` counts how often messages are
    overtaken.
    """
    adoption_limit = round(terms.adopt_ms * MS)
    cases_by_key: defaultdict[tuple[str, int], list[Case]] = defaultdict(list)
    for handed, case in audit_rules.accepted_ordered_messages(scenario, cases):
        cases_by_key[handed.turn, -1 if terms.across else handed.sender].append(case)
    for key_cases in cases_by_key.values():
        for later, earlier_cases in audit_rules.certain_predecessors(key_cases):
            for earlier in earlier_cases:
                assert earlier.handed is not None and later.handed is not None
                first_call_at = later.calls[0].first
                if (
                    max(in_flight_until(call, process_times) for call in earlier.calls)
                    <= first_call_at + ORDER_TOLERANCE_US
                ):
                    continue
                callers = {call.sender for call in (*earlier.calls, later.calls[0])}
                excused_by_fault = (earlier.handed.sender != later.handed.sender or len(callers) > 1) and any(
                    span.begin <= first_call_at and earlier.handed.answered <= span.end + adoption_limit
                    for span in spans
                )
                if not excused_by_fault and not may_lack_copy(earlier, spans, terms):
                    yield make_finding(
                        14, f"overtaken: the later one was called at {in_seconds(first_call_at)}", earlier, later
                    )
                    break
