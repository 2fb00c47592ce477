"""The audit of several senders as one fleet: what `audit.py` judges of each, and what they promise together.

    verdict = judge(scenario, history, ended, Terms(ack="copy", senders=5), watched)

A pure function of what clients, partners, platform and subscribers saw, of what was done to senders and links
(`Life`, `Gone`), and of the terms. Findings have the rules' numbers of `audit_rules.py`, and these of the fleet's own:

    11  one final answer in time, whoever gives it, though any one sender dies for good
    12  one sender at a time fires for a message
    13  'returned' says never ran: knowledge of attempts only grows
    14  order by key across senders
    15  each match of a subscriber once, in the order of its source, none missing outside a gap that it was notified of
    16  an ended subscription delivers nothing

Where what was seen leaves a doubt, it judges for the senders; each allowance is named where it is made.
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

CUT_OFF = 500 * MS  # so near to its deadline a holder that is cut off answers by itself


class Terms(msgspec.Struct, frozen=True, kw_only=True):
    """What the fleet promises; times are milliseconds."""

    senders: int
    ack: Literal["own", "copy"] = "own"
    adopt_ms: float = 2500.0  # from the loss of a sender to the ends that were due meanwhile
    lag_ms: float = 1000.0  # with `own`, what was taken so shortly before its sender's loss may have no copy
    lease_ms: float = 1000.0  # who has been out so long holds fire, and knows it: a lease of 1.2 s, renewed before
    across: bool = True  # whether order is judged between senders, too


# ---- what was done to them ----


class Span(NamedTuple):
    """A time in which some senders were out, or their links had a fault."""

    begin: int
    end: int
    who: frozenset[int]
    kind: str


def spans_of(history: History, process_times: ProcessTimes) -> list[Span]:
    """All faults and all times in which a sender was out, in the order of time."""
    found = [
        Span(begin, end, frozenset([sender]), "down")
        for sender, unfit in process_times.unavailable.items()
        for begin, end in unfit
    ]
    for gone in history.gone:
        who = {int(name[1:]) for on in gone.on for name in on.split(">") if name[1:].isdecimal()}
        found.append(Span(gone.began, FOREVER if gone.ended == NEVER else gone.ended, frozenset(who), gone.kind))
    return sorted(found)


def majority_gone(spans: list[Span], senders: int) -> list[Span]:
    """When half of the senders or more were out at once, each counted once."""
    out = [span for span in spans if span.kind == "down" or span.kind in PROCESS_KINDS or span.kind in SPLIT_KINDS]
    edges = sorted({at for span in out for at in (span.begin, span.end)})
    found = []
    for begin, end in zip(edges, edges[1:], strict=False):
        who = frozenset().union(*(span.who for span in out if span.begin <= begin < span.end))
        if 2 * (senders - len(who)) <= senders:
            found.append(Span(begin, end, who, "majority gone"))
    return found


# ---- the verdict ----


def judge(scenario: Scenario, history: History, ended: int, terms: Terms, watched: Watched | None = None) -> Verdict:
    """Account for every message and judge rules and claims; `ended` is when the watching stopped, microseconds."""
    cases = cases_by_id(history)
    process_times = ProcessTimes(history)
    spans = spans_of(history, process_times)
    findings = [
        *audit_rules.unknown_messages(cases),
        *audit_rules.unanswered_connections(cases, process_times),
        *audit_rules.repeated_effects(scenario, cases, process_times),
        *audit_rules.calls_while_draining(scenario, history, process_times),
        *audit_rules.overloads_while_warming_up(scenario, history),
        *audit_rules.calls_during_waits(scenario, history, process_times),
        *audit_rules.unanswered_bad_clients(history, process_times),
        *audit_rules.crashed_processes(history),
        *one_end(scenario, cases, process_times, spans, ended, terms),
        *fires_after_end(scenario, cases, spans),
        *one_fires(scenario, cases, process_times, spans, terms),
        *never_ran(cases),
        *order(scenario, cases, process_times, spans, terms),
        *(audit_subscribers.judge_subscriptions(watched) if watched is not None else ()),
    ]
    return Verdict(account(scenario, cases, findings), findings)


# ---- 11: one final answer ----


def one_end(
    scenario: Scenario, cases: dict[str, Case], process_times: ProcessTimes, spans: list[Span], ended: int, terms: Terms
) -> Iterator[Finding]:
    """What was taken on has one end, in time.

    Allowed: `adopt_ms` from the begin of a fault that met anybody before it was due; the time in which a majority
    was gone, and `adopt_ms` more; with `own`, what was taken within `lag_ms` of its sender's loss waits for that
    sender to return, and is forgiven where its folder was lost. A notice that says 'failed' beside a delivery is
    honest only where a fault lay between the two, or where each good answer was written to a caller that had left
    (`delivered_unheard`); one by who was cut off (`cut_off_answer`) stands beside any end.
    """
    grace, restart = round(scenario.rules.end_grace_ms * MS), round(scenario.rules.restart_grace_ms * MS)
    adopt = round(terms.adopt_ms * MS)
    gone = majority_gone(spans, terms.senders)
    for case in cases.values():
        handed = case.handed
        if handed is None:
            continue
        delivered, states = case.delivered(), {notice.state for notice in case.notices}
        others = {notice.state for notice in case.notices if not cut_off_answer(case, notice, spans)}
        if len(others) > 1:
            yield make_finding(11, f"two different ends: {' and '.join(sorted(states))}", case)
        if delivered != NEVER and "failed" in states and not delivered_unheard(case):
            notified = min(notice.at for notice in case.notices)
            begun = min(call.first for call in case.calls if call.status == 200)
            if not any(span.begin <= max(notified, delivered) and begun <= span.end + adopt for span in spans):
                yield make_finding(11, "delivered, and said to have failed, with no trouble between", case)
        if handed.answer != "ok":
            continue
        due = handed.outer + grace
        due = max([due, *(span.begin + adopt for span in spans if handed.answered <= span.begin <= due)])
        for span in gone:
            if span.begin <= due and handed.answered <= span.end:
                due = max(due, span.end + adopt + grace)
        if no_copy_yet(case, spans, terms):
            if lost_folder(case, spans, terms):
                continue
            due = max(due, process_times.excused_until(taker_of(case), due, max(adopt, restart)))
        yield from audit_rules.overdue_end(11, case, due, ended)


def delivered_unheard(case: Case) -> bool:
    """Whether every good answer was written after its caller had closed its sending side, as at a time-out.

    No caller can hear such an answer before it gives up, and 'failed' says that the message may have run.
    """
    return all(call.left for call in case.calls if call.status == 200)


def cut_off_answer(case: Case, notice: Noticed, spans: list[Span]) -> bool:
    """Whether a 'failed' is that of a holder that was cut off, as its deadline came.

    It can't know whether others have adopted the message, and may not wait until it can ask: an end in time that
    says 'may have run' is what it owes. So whoever has adopted may deliver it, or give another end, beside this one.
    """
    assert case.handed is not None
    near = abs(notice.at - case.handed.outer) <= CUT_OFF
    return (
        notice.state == "failed"
        and near
        and any(
            span.kind in (*SPLIT_KINDS, *LINK_KINDS)
            and notice.sender in span.who
            and span.begin <= notice.at <= span.end + CUT_OFF
            for span in spans
        )
    )


def taker_of(case: Case) -> int:
    """The sender that took it on: the one that was asked, or the holder of its session."""
    assert case.handed is not None
    return case.handed.sender if case.handed.taker < 0 else case.handed.taker


def no_copy_yet(case: Case, spans: list[Span], terms: Terms) -> bool:
    """Whether its taker may have been lost, or cut off, before anyone else knew of it."""
    assert case.handed is not None
    taken, lag = case.handed.answered, round(terms.lag_ms * MS)
    return terms.ack == "own" and any(
        taker_of(case) in span.who and span.begin <= taken + lag and taken <= span.end + lag for span in spans
    )


def lost_folder(case: Case, spans: list[Span], terms: Terms) -> bool:
    """Whether its taker's folder was lost before anyone else knew of it."""
    assert case.handed is not None
    since = case.handed.answered
    return any(span.kind in FOLDER_KINDS and taker_of(case) in span.who and since <= span.end for span in spans)


def fires_after_end(scenario: Scenario, cases: dict[str, Case], spans: list[Span]) -> Iterator[Finding]:
    """Nothing goes out after the final answer.

    Allowed: a repeatable message comes once more where a fault met the sender that had delivered it before its
    record of that may have got about. A `cut_off_answer` does not bind whoever has adopted the message.
    """
    priority_classes = scenario.classes_by_name()
    for case in cases.values():
        if case.handed is None:
            continue
        notified = min((notice.at for notice in case.notices if not cut_off_answer(case, notice, spans)), default=NEVER)
        good = [call for call in case.calls if call.status == 200]
        for call in case.calls:
            if notified != NEVER and call.first > notified + ORDER_TOLERANCE_US:
                yield make_finding(
                    11, f"called at {in_seconds(call.first)}, after its notice at {in_seconds(notified)}", case
                )
                break
            done = [each for each in good if each.ended + ORDER_TOLERANCE_US < call.first]
            if not done:
                continue
            met = all(met_by_fault(spans, each.sender, each.first, call.first) for each in done)
            if priority_classes[case.handed.priority_class].repeat == "at-most-once" or not met:
                yield make_finding(
                    11,
                    f"called at {in_seconds(call.first)}, after its delivery at {in_seconds(done[0].ended)}",
                    case,
                )
                break


def met_by_fault(spans: list[Span], sender: int, begin: int, end: int) -> bool:
    """Whether a fault met a sender within a time, or lasted into it."""
    return any(sender in span.who and span.begin <= end and begin <= span.end for span in spans)


# ---- 12: one sender at a time ----


def one_fires(
    scenario: Scenario, cases: dict[str, Case], process_times: ProcessTimes, spans: list[Span], terms: Terms
) -> Iterator[Finding]:
    """Never two attempts of a message out at once.

    An attempt ends with its answer, its connection or its sender's process. Allowed between two senders, and never for
    an at-most-once message: the earlier one's sender had been out for `lease_ms` when the later one began, so its
    attempt is a call that may have run and that nobody waits for.
    """
    priority_classes = scenario.classes_by_name()
    lease = round(terms.lease_ms * MS)
    for case in cases.values():
        if case.handed is None:
            continue
        once = priority_classes[case.handed.priority_class].repeat == "at-most-once"
        for place, later in enumerate(case.calls):
            both = [
                earlier
                for earlier in case.calls[:place]
                if out_until(earlier, process_times) > later.first + ORDER_TOLERANCE_US
            ]
            for earlier in both:
                let_go = earlier.sender != later.sender and any(
                    earlier.sender in span.who and span.begin + lease <= later.first and earlier.first <= span.end
                    for span in spans
                )
                if once or not let_go:
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


def out_until(call: Called, process_times: ProcessTimes) -> int:
    """When a call was no longer out."""
    deaths = [at for at in process_times.ends[call.sender] if at >= call.first]
    return min([call.ended if call.ended != NEVER else FOREVER, *deaths])


# ---- 13: knowledge only grows ----


def never_ran(cases: dict[str, Case]) -> Iterator[Finding]:
    """'Returned' is said only of what no partner has run, or may have run."""
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


def order(
    scenario: Scenario, cases: dict[str, Case], process_times: ProcessTimes, spans: list[Span], terms: Terms
) -> Iterator[Finding]:
    """Messages of one key go one after another, whoever took them.

    Judged where the earlier one was answered before the later one was sent. Allowed: the earlier one's taker was
    lost before anyone else knew of it (`own`); its call's sender died in the middle of it. Between two senders that
    take or call, besides: a fault anywhere from when the earlier one was taken on, since it held up that one's
    partition
    (a copy's fault holds up its holder, too). Then a key rests elsewhere by what members tell, as far as peer
    messages come and for some seconds, which is no promise; `tests/fleet/test_order_key_hints.py`
    counts how often that does.
    """
    adopt = round(terms.adopt_ms * MS)
    lines: defaultdict[tuple[str, int], list[Case]] = defaultdict(list)
    for handed, case in audit_rules.accepted_ordered_messages(scenario, cases):
        lines[handed.turn, -1 if terms.across else handed.sender].append(case)
    for line in lines.values():
        for later, before in audit_rules.certain_predecessors(line):
            for earlier in before:
                assert earlier.handed is not None and later.handed is not None
                begun = later.calls[0].first
                if max(out_until(call, process_times) for call in earlier.calls) <= begun + ORDER_TOLERANCE_US:
                    continue
                callers = {call.sender for call in (*earlier.calls, later.calls[0])}
                apart = (earlier.handed.sender != later.handed.sender or len(callers) > 1) and any(
                    span.begin <= begun and earlier.handed.answered <= span.end + adopt for span in spans
                )
                if not apart and not no_copy_yet(earlier, spans, terms):
                    yield make_finding(
                        14, f"overtaken: the later one was called at {in_seconds(begun)}", earlier, later
                    )
                    break
