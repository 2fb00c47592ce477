"""The story of one message, for a finding of the audit: what was seen from outside, and what each sender has traced.

Senders write `message trace` lines (`cedarwick/net/message_trace.py`) with wall-clock times; the history has times of
the day. Both are turned into microseconds of the day and sorted together.
"""

import json
import time
from collections.abc import Iterable
from typing import Any, NamedTuple

from cedarwick.lab.audit_cases import Case
from cedarwick.lab.day import Day
from cedarwick.lab.units import SECOND
from cedarwick.net.message_trace import TRACE_PREFIX

TIMES = ("at", "ended_at", "ordered_at", "sent_at", "until")  # keys that hold wall-clock microseconds
ORDERED_BY = ("at", "ended_at", "answered", "ended", "first")  # the first of these that a record has places it


class TimelineEntry(NamedTuple):
    """One thing that was seen or done."""

    at: int  # microseconds of the day
    source: str  # the sender whose log has it; empty for what was seen from outside
    text: str

    def __str__(self) -> str:
        return f"{self.at / SECOND:9.4f} s  {self.source or 'seen':5} {self.text}"


def day_offset(day: Day) -> int:
    """Microseconds to subtract from a wall-clock time for the time of the day."""
    return (time.time_ns() - time.monotonic_ns() + day.start_ns) // 1000


def traced(log: str, id: str, sender: str, offset: int) -> list[TimelineEntry]:
    """The lines of one sender's log on a message; its times become those of the day."""
    found = []
    for line in log.splitlines():
        _, prefix, rest = line.partition(TRACE_PREFIX)
        if not prefix or f'"{id}"' not in rest:
            continue
        record: dict[str, Any] = json.loads(rest)
        for key in TIMES:
            if record.get(key):
                record[key] -= offset
        found.append(_line(record, sender))
    return found


def message_timeline(case: Case, id: str, logs: Iterable[tuple[str, str]], offset: int) -> list[TimelineEntry]:
    """All that is known of a message, in the order of time. `logs`: each sender's name and its log."""
    lines = [_line(dict(record), "") for record in case.seen()]
    for sender, log in logs:
        lines += traced(log, id, sender, offset)
    return sorted(lines)


def _line(record: dict[str, Any], source: str) -> TimelineEntry:
    at = next((record[key] for key in ORDERED_BY if record.get(key, -1) > 0), 0)
    name = record.pop("event", None) or record.pop("what", "")
    fields = " ".join(f"{key}={value}" for key, value in record.items() if key not in ("id", "at"))
    return TimelineEntry(at, source, f"{name} {fields}")
