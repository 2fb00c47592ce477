"""Input and result types of the audits: the records of each message, the run times of processes, and verdicts."""

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

import msgspec

from cedarwick.lab.history import NEVER, Called, Handed, History, Noticed
from cedarwick.lab.units import MS, SECOND

FOREVER = 1 << 62  # a time after all others
ORDER_TOLERANCE_US = 20 * MS  # the order of events that one event loop reads within this time is uncertain
COMPLETE_REFUSALS = ("", "pieces", "last")  # values of `spoilt` for refusals that arrived whole, even if late
NEVER_RAN_STATUSES = (429, 503, 504, 410)  # of refusals of calls that never ran


class Finding(msgspec.Struct, frozen=True):
    """One violation of a rule, with all records of the messages that it names."""

    rule: int  # 1 to 6 for the rules of `audit_rules.py`; 0 for the protocol itself
    ids: tuple[str, ...]
    text: str
    seen: tuple[dict[str, Any], ...] = ()


class Account(msgspec.Struct):
    """Counts of messages by outcome; every request is in exactly one of the first six."""

    taken: int = 0
    refused: int = 0
    failed: int = 0  # answered with an error
    unanswered: int = 0  # no answer before the client's timeout
    cut: int = 0  # the connection ended without an answer
    down: int = 0  # connecting failed
    delivered: int = 0  # of those taken
    in_time: int = 0  # of those delivered: within the latency objective
    late: int = 0  # of those delivered: after the deadline
    returned: int = 0
    written_off: int = 0
    lost: int = 0
    doubled: int = 0  # of those taken: with more than one effect
    things: int = 0  # messages that clients wanted delivered, each counted once with its retries
    things_delivered: int = 0
    worth: float = 0.0  # of all things
    earned: float = 0.0


class Verdict(msgspec.Struct):
    """The result of an audit."""

    account: Account
    findings: list[Finding]

    def counts_by_rule(self) -> Counter[int]:
        """Return the number of findings of each rule."""
        return Counter(finding.rule for finding in self.findings)


class Case:
    """The records of one message id."""

    __slots__ = ("handed", "calls", "notices")

    def __init__(self) -> None:
        self.handed: Handed | None = None
        self.calls: list[Called] = []
        self.notices: list[Noticed] = []

    def seen(self) -> tuple[dict[str, Any], ...]:
        """Return all records in order of time, as dictionaries."""
        records: list[tuple[int, Any]] = [(call.first, call) for call in self.calls]
        records += [(notice.at, notice) for notice in self.notices]
        if self.handed is not None:
            records.append((self.handed.sent, self.handed))
        return tuple(msgspec.to_builtins(each) for _, each in sorted(records, key=lambda pair: pair[0]))

    def delivered(self) -> int:
        """Return when the first answer with status 200 was written, or NEVER.

        A malformed answer with status 200 counts too, because its status line is valid.
        """
        return min((call.ended for call in self.calls if call.status == 200), default=NEVER)


def cases_by_id(history: History) -> dict[str, Case]:
    """Group the records of a history by message id, calls in the order in which they began."""
    cases: defaultdict[str, Case] = defaultdict(Case)
    for handed in history.handed:
        cases[handed.id].handed = handed
    for call in sorted(history.called, key=lambda call: call.first):
        cases[call.id].calls.append(call)
    for notice in history.noticed:
        cases[notice.id].notices.append(notice)
    return cases


class ProcessTimes:
    """When each sender's processes ran, by what the laboratory did to them."""

    def __init__(self, history: History) -> None:
        self.ends: defaultdict[int, list[int]] = defaultdict(list)  # by sender: ends of processes
        self.begins: defaultdict[int, list[int]] = defaultdict(list)  # by sender: starts of processes
        # By sender: spans from the end or stop of its process to readiness.
        self.unavailable: defaultdict[int, list[tuple[int, int]]] = defaultdict(list)
        unavailable_since: dict[int, int] = {}
        for each in sorted(history.life, key=lambda life: life.at):
            if each.event in ("killed", "ended", "crashed"):
                self.ends[each.sender].append(each.at)
            if each.event == "started":
                self.begins[each.sender].append(each.at)
            if each.event in ("killed", "termed", "stopped"):
                unavailable_since.setdefault(each.sender, each.at)
            if each.event in ("ready", "continued") and each.sender in unavailable_since:
                self.unavailable[each.sender].append((unavailable_since.pop(each.sender), each.at))
        for sender, since in unavailable_since.items():
            self.unavailable[sender].append((since, FOREVER))

    def ended_between(self, sender: int, begin: int, end: int) -> bool:
        """Whether a process of the sender ended between two times."""
        times = self.ends[sender]
        return bisect_right(times, end) > bisect_left(times, begin)

    def process_index(self, sender: int, at: int) -> int:
        """Return which of the sender's successive processes ran at a time."""
        return bisect_right(self.begins[sender], at)

    def excused_until(self, sender: int, due: int, grace: int) -> int:
        """Extend the time by which a sender must act by the spans in which it could not, plus `grace` after each."""
        for begin, end in self.unavailable[sender]:
            if begin <= due + grace and due <= end + grace:
                due = max(due, end + grace)
        return due


def make_finding(rule: int, text: str, *cases: Case, ids: Iterable[str] = ()) -> Finding:
    """Build a finding on some messages, with all of their records."""
    known = [case.handed.id if case.handed else case.calls[0].id for case in cases if case.handed or case.calls]
    return Finding(rule, tuple([*known, *ids]), text, tuple(each for case in cases for each in case.seen()))


def in_seconds(time: int) -> str:
    """Format a time of the day for a finding."""
    return f"{time / SECOND:.3f} s"


def may_have_run(call: Called) -> bool:
    """Whether the caller cannot know that the call never ran; a malformed refusal proves nothing."""
    return call.status not in NEVER_RAN_STATUSES or call.spoilt not in COMPLETE_REFUSALS
