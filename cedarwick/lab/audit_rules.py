"""The six rules, and what the protocol itself asks: each a function that yields what breaks it.

Where what was seen leaves a doubt, a rule judges for the sender; each such allowance is named here.
"""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterator

import msgspec

from cedarwick.lab.audit_cases import AT_ONCE, FOREVER, WHOLE, Case, Finding, Lives, finding, may_have_run, seconds
from cedarwick.lab.history import NEVER, Away, Called, Handed, Heard, History
from cedarwick.lab.partner import overload_threshold
from cedarwick.lab.scenario import Scenario
from cedarwick.lab.units import MS, SECOND

SHORTEST_OUTAGE = 500 * MS  # microseconds; a sender need not notice a shorter one
TWO_THIRDS = 2 / 3
RUDE_LIMIT = 3 * SECOND  # microseconds until a bad client has an error or a close
PUSHED = 2  # calls above the overload threshold that are still chance
STATES_TO_LEAVE = ("draining", "removed")
HEADED = (*WHOLE, "stops")  # and those whose head did: a wait counts from its writing

# ---- the protocol itself ----


def strangers(cases: dict[str, Case]) -> Iterator[Finding]:
    """A call or a notice for an id that nobody submitted, a call to another destination, another mark or body."""
    for id, case in cases.items():
        if case.handed is None:
            yield finding(0, f"id {id} was never handed in", case, ids=() if case.calls else (id,))
            continue
        for call in case.calls:
            if call.destination != case.handed.destination:
                yield finding(0, f"called destination {call.destination}, meant for {case.handed.destination}", case)
            elif call.mark != case.handed.mark or not call.body_ok:
                yield finding(0, "mark or body were changed on the way", case)


def unowed(history: History, lives: Lives) -> Iterator[Finding]:
    """A bad client gets an error line or a closed connection, except while its sender cannot act."""
    for rude in history.rude:
        limit = rude.began + RUDE_LIMIT
        overdue = rude.ended == NEVER or rude.ended > limit
        if rude.reply.startswith("+"):
            yield Finding(0, (), f"a bad client's {rude.form} was taken on", (msgspec.to_builtins(rude),))
        elif overdue and lives.excused_until(rude.sender, limit, RUDE_LIMIT) == limit:
            yield Finding(0, (), f"a bad client got neither error nor close: {rude.form}", (msgspec.to_builtins(rude),))


def crashed(history: History) -> Iterator[Finding]:
    """A sender's process ends only where the laboratory ended it."""
    for life in history.life:
        if life.event == "crashed":
            yield Finding(
                0,
                (),
                f"sender n{life.sender} ended by itself at {seconds(life.at)}, status {life.status}",
                (msgspec.to_builtins(life),),
            )


# ---- rule 1: none lost ----


def lost(scenario: Scenario, cases: dict[str, Case], lives: Lives, ended: int) -> Iterator[Finding]:
    """A message that was taken on gets its final answer in time; a restart or a pause of its sender extends that."""
    grace, restart = round(scenario.rules.end_grace_ms * MS), round(scenario.rules.restart_grace_ms * MS)
    for case in cases.values():
        handed = case.handed
        if handed is None or handed.answer != "ok":
            continue
        due = lives.excused_until(handed.sender, handed.outer + grace, restart)
        yield from overdue_end(1, case, due, ended)


def overdue_end(rule: int, case: Case, due: int, ended: int) -> Iterator[Finding]:
    """No delivery or notice came by `due`; if none came at all, judged where the watching (`ended`) went on longer."""
    ends = [notice.at for notice in case.notices]
    delivered = case.delivered()
    if delivered != NEVER:
        ends.append(delivered)
    if not ends and due < ended:
        yield finding(rule, f"taken on, neither delivered nor ended by a notice by {seconds(due)}", case)
    elif ends and min(ends) > due:
        yield finding(rule, f"ended at {seconds(min(ends))}, was due by {seconds(due)}", case)


def sent_after_end(scenario: Scenario, cases: dict[str, Case], lives: Lives) -> Iterator[Finding]:
    """Nothing goes out after the final answer.

    Allowed: an idempotent or numbered message comes once more where its sender's process ended after the good
    answer was written, since the record of that may be gone with it.
    """
    priority_classes = scenario.classes_by_name()
    for case in cases.values():
        if case.handed is None:
            continue
        notified = min((notice.at for notice in case.notices), default=NEVER)
        done = case.delivered()
        for call in case.calls:
            if notified != NEVER and call.first > notified + AT_ONCE:
                yield finding(1, f"called at {seconds(call.first)}, after its notice at {seconds(notified)}", case)
            elif done != NEVER and call.first > done + AT_ONCE:
                before = min(other.first for other in case.calls if other.status == 200 and other.ended == done)
                forgiven = priority_classes[
                    case.handed.priority_class
                ].repeat != "at-most-once" and lives.ended_between(call.sender, before, call.first)
                if not forgiven:
                    yield finding(1, f"called at {seconds(call.first)}, after its delivery at {seconds(done)}", case)


def cut_off(cases: dict[str, Case], lives: Lives) -> Iterator[Finding]:
    """A client's connection is not ended with its request unanswered.

    Allowed: the first request of a connection where nothing was sent on for it, and the end of the process.
    """
    for case in cases.values():
        handed = case.handed
        if handed is None or handed.answer != "cut":
            continue
        forgiven = handed.fresh and not case.calls
        around = handed.sent - SECOND, handed.answered + SECOND
        if not forgiven and not lives.ended_between(handed.sender, *around):
            yield finding(1, "the client's connection was ended, its request unanswered", case)


# ---- rule 2: no effect twice ----


def effects(scenario: Scenario, cases: dict[str, Case], lives: Lives) -> Iterator[Finding]:
    """At-most-once: no call after one that may have run. Numbered: only within the window of the first such."""
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
                yield finding(
                    2,
                    f"at-most-once called at {seconds(call.first)}; the call of {seconds(since)} " "may have run",
                    case,
                )
                break
            limit = since + round(priority_class.window_ms * MS) + 50 * MS
            if since != NEVER and priority_class.repeat == "numbered" and call.first > limit:
                yield finding(
                    2, f"numbered called at {seconds(call.first)}, its window ended at {seconds(limit)}", case
                )
                break
            if since == NEVER and may_have_run(call):
                since = call.first


def two_out(cases: dict[str, Case], lives: Lives) -> Iterator[Finding]:
    """Never two attempts of a message out at once. A call ends with its answer, its connection or its sender."""
    for case in cases.values():
        until = NEVER
        for call in case.calls:
            if until != NEVER and call.first < until - AT_ONCE:
                yield finding(
                    2,
                    f"called at {seconds(call.first)} while another call was out until " f"{seconds(until)}",
                    case,
                )
                break
            end = call.ended if call.ended != NEVER else FOREVER
            deaths = [at for at in lives.ends[call.sender] if at >= call.first]
            until = max(until, min([end, *deaths]))


# ---- rule 3: drains ----


def drains(scenario: Scenario, history: History, lives: Lives) -> Iterator[Finding]:
    """After the grace nothing goes to an endpoint that the sender knows as draining or removed. A restart resets it."""
    grace = round(scenario.rules.drain_grace_ms * MS) + 50 * MS
    states: defaultdict[tuple[int, str], list[Heard]] = defaultdict(list)
    for heard in sorted(history.heard, key=lambda heard: heard.at):
        states[heard.sender, heard.uid].append(heard)
    for call in history.called:
        life = lives.life_of(call.sender, call.first)
        since = NEVER
        for heard in states.get((call.sender, call.endpoint), ()):
            if heard.at > call.first:
                break
            if lives.life_of(call.sender, heard.at) != life:
                continue
            if heard.state not in STATES_TO_LEAVE:
                since = NEVER
            elif since == NEVER:
                since = heard.at
        if since != NEVER and call.first > since + grace:
            yield Finding(
                3,
                (call.id,),
                f"sent to {call.endpoint} at {seconds(call.first)}, told at " f"{seconds(since)} to leave it",
                (msgspec.to_builtins(call),),
            )


# ---- rule 4: a returning destination ----


def pushed_over(scenario: Scenario, history: History) -> Iterator[Finding]:
    """An endpoint that is warming up gets no more calls in a window than it bears from senders that saw its outage.

    Seen: a call of the sender there, in the outage, that failed or was refused; or, since nobody sees a refused
    connection, a message that it took on for a destination no other endpoint of which answered meanwhile.
    Senders that saw nothing of it cannot know; it is broken where two thirds of the window's calls came from
    those that did.
    """
    calls: defaultdict[str, list[Called]] = defaultdict(list)
    for call in sorted(history.called, key=lambda call: call.whole):
        calls[call.endpoint].append(call)
    window = round(scenario.rules.fall_ms * MS)
    for away in history.away:
        partner = scenario.partner_of(away.destination)
        if not away.warming_up or away.ended == NEVER or away.ended - away.began < SHORTEST_OUTAGE:
            continue
        warm_at = away.ended + round(partner.warm_up.warm_s * SECOND)
        mine = calls.get(away.endpoint, [])
        knew = {
            call.sender
            for call in mine
            if call.status != 200 and away.began <= max(call.whole, call.ended) and call.whole <= away.ended + SECOND
        }
        knew |= tried_in_vain(history, away)
        after = [call for call in mine if away.ended <= call.whole <= warm_at]
        for last, call in enumerate(after):
            first = bisect_right([each.whole for each in after[: last + 1]], call.whole - window)
            within = after[first : last + 1]
            share = partner.warm_up.share
            warmth = share + (1 - share) * (call.whole - away.ended) / (warm_at - away.ended)
            if len(within) > overload_threshold(partner, scenario.rules, warmth) + PUSHED:
                from_them = sum(each.sender in knew for each in within)
                if from_them > TWO_THIRDS * len(within):
                    yield Finding(
                        4,
                        tuple(each.id for each in within[-3:]),
                        f"{away.endpoint} came back cold at {seconds(away.ended)} and got {len(within)} "
                        f"calls within {window // MS} ms at {seconds(call.whole)}, {from_them} of them "
                        "from senders that had seen its outage",
                        tuple(msgspec.to_builtins(each) for each in within[-3:]),
                    )
                    break


def tried_in_vain(history: History, away: Away) -> set[int]:
    """Senders that must have tried to connect during an outage: they held messages for it for at least a second."""
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


# ---- rule 5: order ----


def taken_in_turn(scenario: Scenario, cases: dict[str, Case]) -> Iterator[tuple[Handed, Case]]:
    """Each message with an order key that was taken on, of a priority class whose messages go one after another."""
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


def in_doubtless_order(line: list[Case]) -> Iterator[tuple[Case, list[Case]]]:
    """Of one key's messages each that was called, with those called ones of the eight before it that were answered
    before it was sent: between these the order in which they were taken is beyond doubt."""
    line.sort(key=lambda case: case.handed.sent if case.handed else 0)
    for place, later in enumerate(line):
        if later.handed is not None and later.calls:
            yield (
                later,
                [
                    earlier
                    for earlier in line[max(0, place - 8) : place]
                    if earlier.calls and earlier.handed and earlier.handed.answered <= later.handed.sent
                ],
            )


def order(scenario: Scenario, cases: dict[str, Case], lives: Lives) -> Iterator[Finding]:
    """Messages of one order key go one after another, in the order in which one sender took them.

    Judged where the order is beyond doubt: the earlier one was answered before the later one was sent, by the
    same process. Broken where a call of the earlier one comes after, or is still out at, a call of the later one.
    """
    lines: defaultdict[tuple[int, int, str], list[Case]] = defaultdict(list)
    for handed, case in taken_in_turn(scenario, cases):
        life = lives.life_of(handed.sender, handed.sent)
        lines[handed.sender, life, handed.turn].append(case)
    for line in lines.values():
        for later, before in in_doubtless_order(line):
            for earlier in before:
                assert earlier.handed is not None and later.handed is not None
                begun = later.calls[0].first
                ends = [call.ended if call.ended != NEVER else FOREVER for call in earlier.calls]
                deaths = [at for at in lives.ends[earlier.handed.sender] if at >= earlier.calls[0].first]
                if min([max(ends), *deaths]) > begun + AT_ONCE:
                    yield finding(5, f"overtaken: the later one was called at {seconds(begun)}", earlier, later)
                    break


# ---- rule 6: waits ----


def waits(scenario: Scenario, history: History, lives: Lives) -> Iterator[Finding]:
    """After a refusal with Retry-After a sender calls that destination only when the wait is over. A restart ends it.

    The wait counts from the writing of the refusal's head, whatever becomes of the rest.
    """
    grace = round(scenario.rules.wait_grace_ms * MS)
    refusals: defaultdict[tuple[int, int], list[Called]] = defaultdict(list)
    for call in history.called:
        if call.status == 429 and call.wait and call.spoilt in HEADED:
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
            if call.first < waiting.ended + waiting.wait - 50 * MS and not lives.ended_between(
                call.sender, waiting.ended, call.first
            ):
                yield Finding(
                    6,
                    (call.id, waiting.id),
                    f"called destination {call.destination} at {seconds(call.first)}, told at "
                    f"{seconds(waiting.ended)} to wait {waiting.wait // MS} ms",
                    (msgspec.to_builtins(waiting), msgspec.to_builtins(call)),
                )
                break
