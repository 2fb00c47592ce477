"""The six rules and the requirements of the protocol: one function for each, which yields the violations.

Where the observations leave a doubt, a rule decides in favour of the sender; each such allowance is stated here.
"""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterator

import msgspec

from cedarwick.lab.audit_cases import (
    COMPLETE_REFUSALS,
    FOREVER,
    ORDER_TOLERANCE_US,
    Case,
    Finding,
    ProcessTimes,
    in_seconds,
    make_finding,
    may_have_run,
)
from cedarwick.lab.history import NEVER, Away, Called, Handed, Heard, History
from cedarwick.lab.partner import overload_threshold
from cedarwick.lab.scenario import Scenario
from cedarwick.lab.units import MS, SECOND

MIN_OUTAGE_US = 500 * MS  # senders need not detect a shorter outage
BLAMED_SHARE = 2 / 3  # of an overloaded window's calls, from senders that had seen the outage
BAD_CLIENT_LIMIT_US = 3 * SECOND  # time within which a bad client must get an error or a close
CALLS_ABOVE_THRESHOLD = 2  # calls above the overload threshold that may still be chance
STATES_TO_LEAVE = ("draining", "removed")
# Values of `spoilt` for refusals whose head was written whole: the wait counts from the writing of the head.
REFUSALS_WITH_HEAD = (*COMPLETE_REFUSALS, "stops")

# ---- the protocol itself ----


def unknown_messages(cases: dict[str, Case]) -> Iterator[Finding]:
    """Yield calls and notices for ids that nobody submitted, and calls with another destination, mark or body."""
    for id, case in cases.items():
        if case.handed is None:
            yield make_finding(0, f"id {id} was never submitted", case, ids=() if case.calls else (id,))
            continue
        for call in case.calls:
            if call.destination != case.handed.destination:
                yield make_finding(
                    0, f"called destination {call.destination}, submitted for {case.handed.destination}", case
                )
            elif call.mark != case.handed.mark or not call.body_ok:
                yield make_finding(0, "idempotency mark or body differ from the submitted ones", case)


def unanswered_bad_clients(history: History, process_times: ProcessTimes) -> Iterator[Finding]:
    """A misbehaving client gets an error line or a closed connection, except while its sender cannot act."""
    for rude in history.rude:
        limit = rude.began + BAD_CLIENT_LIMIT_US
        overdue = rude.ended == NEVER or rude.ended > limit
        if rude.reply.startswith("+"):
            yield Finding(
                0, (), f"the request of a misbehaving client was accepted: {rude.form}", (msgspec.to_builtins(rude),)
            )
        elif overdue and process_times.excused_until(rude.sender, limit, BAD_CLIENT_LIMIT_US) == limit:
            yield Finding(
                0,
                (),
                f"a misbehaving client got neither an error nor a close: {rude.form}",
                (msgspec.to_builtins(rude),),
            )


def crashed_processes(history: History) -> Iterator[Finding]:
    """A sender's process ends only if the laboratory ends it."""
    for life in history.life:
        if life.event == "crashed":
            yield Finding(
                0,
                (),
                f"sender n{life.sender} ended unexpectedly at {in_seconds(life.at)}, status {life.status}",
                (msgspec.to_builtins(life),),
            )


# ---- rule 1: no message is lost ----


def overdue_messages(
    scenario: Scenario, cases: dict[str, Case], process_times: ProcessTimes, ended: int
) -> Iterator[Finding]:
    """An accepted message gets its final answer in time; a restart or a pause of its sender extends that time."""
    grace, restart = round(scenario.rules.end_grace_ms * MS), round(scenario.rules.restart_grace_ms * MS)
    for case in cases.values():
        handed = case.handed
        if handed is None or handed.answer != "ok":
            continue
        due = process_times.excused_until(handed.sender, handed.outer + grace, restart)
        yield from overdue_end(1, case, due, ended)


def overdue_end(rule: int, case: Case, due: int, ended: int) -> Iterator[Finding]:
    """Yield a message without a delivery or notice by `due`.

    A message with neither is judged only if the observation, which stopped at `ended`, went on beyond `due`.
    """
    ends = [notice.at for notice in case.notices]
    delivered = case.delivered()
    if delivered != NEVER:
        ends.append(delivered)
    if not ends and due < ended:
        yield make_finding(rule, f"accepted, but neither delivered nor ended by a notice by {in_seconds(due)}", case)
    elif ends and min(ends) > due:
        yield make_finding(rule, f"final answer at {in_seconds(min(ends))}, due by {in_seconds(due)}", case)


def calls_after_final_answer(
    scenario: Scenario, cases: dict[str, Case], process_times: ProcessTimes
) -> Iterator[Finding]:
    """No call is made after the final answer.

    Allowance: an idempotent or numbered message may be sent again if its sender's process ended after the successful
    call began, because the record of that delivery may have been lost with the process.
    """
    priority_classes = scenario.classes_by_name()
    for case in cases.values():
        if case.handed is None:
            continue
        notified = min((notice.at for notice in case.notices), default=NEVER)
        done = case.delivered()
        for call in case.calls:
            if notified != NEVER and call.first > notified + ORDER_TOLERANCE_US:
                yield make_finding(
                    1, f"called at {in_seconds(call.first)}, after its notice at {in_seconds(notified)}", case
                )
            elif done != NEVER and call.first > done + ORDER_TOLERANCE_US:
                delivering_since = min(
                    other.first for other in case.calls if other.status == 200 and other.ended == done
                )
                forgiven = priority_classes[
                    case.handed.priority_class
                ].repeat != "at-most-once" and process_times.ended_between(call.sender, delivering_since, call.first)
                if not forgiven:
                    yield make_finding(
                        1, f"called at {in_seconds(call.first)}, after its delivery at {in_seconds(done)}", case
                    )


def unanswered_connections(cases: dict[str, Case], process_times: ProcessTimes) -> Iterator[Finding]:
    """A client's connection is not closed while its request is unanswered.

    Allowances: the first request of a connection if no call was made for it, and the end of the process.
    """
    for case in cases.values():
        handed = case.handed
        if handed is None or handed.answer != "cut":
            continue
        forgiven = handed.fresh and not case.calls
        around = handed.sent - SECOND, handed.answered + SECOND
        if not forgiven and not process_times.ended_between(handed.sender, *around):
            yield make_finding(1, "the client's connection was closed while its request was unanswered", case)


# ---- rule 2: no effect happens twice ----


def repeated_effects(scenario: Scenario, cases: dict[str, Case], process_times: ProcessTimes) -> Iterator[Finding]:
    """At-most-once: no call after one that may have run. Numbered: only within the window of the first such call."""
    priority_classes = scenario.classes_by_name()
    for case in cases.values():
        if case.handed is None:
            continue
        priority_class = priority_classes[case.handed.priority_class]
        if priority_class.repeat == "reissuable":
            continue
        since = NEVER
        for call in case.calls:
            if since != NEVER and priority_class.repeat == "at-most-once":
                yield make_finding(
                    2,
                    f"at-most-once called at {in_seconds(call.first)}; the call of {in_seconds(since)} " "may have run",
                    case,
                )
                break
            limit = since + round(priority_class.window_ms * MS) + 50 * MS
            if since != NEVER and priority_class.repeat == "numbered" and call.first > limit:
                yield make_finding(
                    2,
                    f"numbered called at {in_seconds(call.first)}, its window ended at {in_seconds(limit)}",
                    case,
                )
                break
            if since == NEVER and may_have_run(call):
                since = call.first


def concurrent_attempts(cases: dict[str, Case], process_times: ProcessTimes) -> Iterator[Finding]:
    """A message never has two attempts at once. A call ends with its answer, its connection or its sender."""
    for case in cases.values():
        until = NEVER
        for call in case.calls:
            if until != NEVER and call.first < until - ORDER_TOLERANCE_US:
                yield make_finding(
                    2,
                    f"called at {in_seconds(call.first)} while another call was in progress until "
                    f"{in_seconds(until)}",
                    case,
                )
                break
            end = call.ended if call.ended != NEVER else FOREVER
            deaths = [at for at in process_times.ends[call.sender] if at >= call.first]
            until = max(until, min([end, *deaths]))


# ---- rule 3: draining endpoints ----


def calls_while_draining(scenario: Scenario, history: History, process_times: ProcessTimes) -> Iterator[Finding]:
    """No call goes to an endpoint that its sender has known as draining or removed for longer than the grace.

    A restart of the sender resets what it knows.
    """
    grace = round(scenario.rules.drain_grace_ms * MS) + 50 * MS
    states: defaultdict[tuple[int, str], list[Heard]] = defaultdict(list)
    for heard in sorted(history.heard, key=lambda heard: heard.at):
        states[heard.sender, heard.uid].append(heard)
    for call in history.called:
        life = process_times.process_index(call.sender, call.first)
        since = NEVER
        for heard in states.get((call.sender, call.endpoint), ()):
            if heard.at > call.first:
                break
            if process_times.process_index(call.sender, heard.at) != life:
                continue
            if heard.state not in STATES_TO_LEAVE:
                since = NEVER
            elif since == NEVER:
                since = heard.at
        if since != NEVER and call.first > since + grace:
            yield Finding(
                3,
                (call.id,),
                f"sent to {call.endpoint} at {in_seconds(call.first)}, listed as draining or "
                f"removed since {in_seconds(since)}",
                (msgspec.to_builtins(call),),
            )


# ---- rule 4: load on a recovering destination ----


def overloads_while_warming_up(scenario: Scenario, history: History) -> Iterator[Finding]:
    """Senders that saw an endpoint's outage send it no more calls in a window than it can handle while warming up.

    A sender saw the outage if a call of it there failed or was refused during the outage; or, since the history has
    no record of a refused connection, if it accepted a message for a destination of which no other endpoint answered
    during the outage. Senders that saw nothing of the outage cannot know of it: the rule is broken only if more than
    two thirds of the window's calls came from senders that did.
    """
    calls: defaultdict[str, list[Called]] = defaultdict(list)
    for call in sorted(history.called, key=lambda call: call.whole):
        calls[call.endpoint].append(call)
    window = round(scenario.rules.fall_ms * MS)
    for away in history.away:
        partner = scenario.partner_of(away.destination)
        if not away.warming_up or away.ended == NEVER or away.ended - away.began < MIN_OUTAGE_US:
            continue
        warm_at = away.ended + round(partner.warm_up.warm_s * SECOND)
        calls_there = calls.get(away.endpoint, [])
        saw_outage = {
            call.sender
            for call in calls_there
            if call.status != 200 and away.began <= max(call.whole, call.ended) and call.whole <= away.ended + SECOND
        }
        saw_outage |= senders_that_failed_to_connect(history, away)
        after = [call for call in calls_there if away.ended <= call.whole <= warm_at]
        for last, call in enumerate(after):
            first = bisect_right([each.whole for each in after[: last + 1]], call.whole - window)
            within = after[first : last + 1]
            share = partner.warm_up.share
            warmth = share + (1 - share) * (call.whole - away.ended) / (warm_at - away.ended)
            if len(within) > overload_threshold(partner, scenario.rules, warmth) + CALLS_ABOVE_THRESHOLD:
                from_informed = sum(each.sender in saw_outage for each in within)
                if from_informed > BLAMED_SHARE * len(within):
                    yield Finding(
                        4,
                        tuple(each.id for each in within[-3:]),
                        f"{away.endpoint} returned to service at {in_seconds(away.ended)} and got {len(within)} "
                        f"calls within {window // MS} ms at {in_seconds(call.whole)}, {from_informed} of them "
                        "from senders that had seen its outage",
                        tuple(msgspec.to_builtins(each) for each in within[-3:]),
                    )
                    break


def senders_that_failed_to_connect(history: History, away: Away) -> set[int]:
    """Return the senders that must have tried to connect during an outage.

    These held messages for the destination for at least a second, and none of its endpoints answered.
    """
    served = any(
        call.destination == away.destination and call.status == 200 and away.began < call.ended <= away.ended
        for call in history.called
    )
    if served:
        return set()
    return {
        handed.sender
        for handed in history.handed
        if handed.destination == away.destination
        and handed.answer == "ok"
        and away.began <= handed.answered <= away.ended - SECOND
    }


# ---- rule 5: order of messages with an order key ----


def accepted_ordered_messages(scenario: Scenario, cases: dict[str, Case]) -> Iterator[tuple[Handed, Case]]:
    """Yield each accepted message with an order key, of a priority class whose messages are sent in order."""
    priority_classes = scenario.classes_by_name()
    for case in cases.values():
        handed = case.handed
        if (
            handed is not None
            and handed.answer == "ok"
            and priority_classes[handed.priority_class].in_turn
            and handed.turn.strip("0")
        ):
            yield handed, case


def certain_predecessors(line: list[Case]) -> Iterator[tuple[Case, list[Case]]]:
    """Yield each message of one order key that was called, with its certain predecessors.

    These are the called messages among the eight before it that were answered before it was sent: for them, the order
    of acceptance is beyond doubt.
    """
    line.sort(key=lambda case: case.handed.sent if case.handed else 0)
    for index, later in enumerate(line):
        if later.handed is not None and later.calls:
            yield (
                later,
                [
                    earlier
                    for earlier in line[max(0, index - 8) : index]
                    if earlier.calls and earlier.handed and earlier.handed.answered <= later.handed.sent
                ],
            )


def order_violations(scenario: Scenario, cases: dict[str, Case], process_times: ProcessTimes) -> Iterator[Finding]:
    """Messages of one order key are sent one after another, in the order in which one sender accepted them.

    Judged only where the order is beyond doubt: the same process answered the earlier message before the later one was
    sent. The rule is broken if a call of the earlier message begins after, or is still in progress at, the first call
    of the later one.
    """
    lines: defaultdict[tuple[int, int, str], list[Case]] = defaultdict(list)
    for handed, case in accepted_ordered_messages(scenario, cases):
        life = process_times.process_index(handed.sender, handed.sent)
        lines[handed.sender, life, handed.turn].append(case)
    for line in lines.values():
        for later, predecessors in certain_predecessors(line):
            for earlier in predecessors:
                assert earlier.handed is not None and later.handed is not None
                begun = later.calls[0].first
                ends = [call.ended if call.ended != NEVER else FOREVER for call in earlier.calls]
                deaths = [at for at in process_times.ends[earlier.handed.sender] if at >= earlier.calls[0].first]
                if min([max(ends), *deaths]) > begun + ORDER_TOLERANCE_US:
                    yield make_finding(
                        5, f"overtaken: the later message was called at {in_seconds(begun)}", earlier, later
                    )
                    break


# ---- rule 6: Retry-After waits ----


def calls_during_waits(scenario: Scenario, history: History, process_times: ProcessTimes) -> Iterator[Finding]:
    """After a refusal with Retry-After, a sender calls the destination only when the wait is over.

    A restart of the sender ends the wait. The wait counts from the writing of the refusal's head, whatever happens to
    the rest of the refusal.
    """
    grace = round(scenario.rules.wait_grace_ms * MS)
    refusals: defaultdict[tuple[int, int], list[Called]] = defaultdict(list)
    for call in history.called:
        if call.status == 429 and call.wait and call.spoilt in REFUSALS_WITH_HEAD:
            refusals[call.sender, call.destination].append(call)
    for calls in refusals.values():
        calls.sort(key=lambda call: call.ended)
    ends = {pair: [call.ended for call in calls] for pair, calls in refusals.items()}
    longest = {pair: max(call.wait for call in calls) for pair, calls in refusals.items()}
    for call in history.called:
        pair = call.sender, call.destination
        if pair not in refusals:
            continue
        begin = bisect_left(ends[pair], call.first - longest[pair])
        end = bisect_right(ends[pair], call.first - grace)
        for waiting in refusals[pair][begin:end]:
            if call.first < waiting.ended + waiting.wait - 50 * MS and not process_times.ended_between(
                call.sender, waiting.ended, call.first
            ):
                yield Finding(
                    6,
                    (call.id, waiting.id),
                    f"called destination {call.destination} at {in_seconds(call.first)}, asked at "
                    f"{in_seconds(waiting.ended)} to wait {waiting.wait // MS} ms",
                    (msgspec.to_builtins(waiting), msgspec.to_builtins(call)),
                )
                break
