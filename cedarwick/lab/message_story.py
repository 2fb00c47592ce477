"""The timeline of one message, for a finding of the audit: observations from outside and the traces of each sender.

Senders log `message trace` lines (`cedarwick/net/message_trace.py`) with wall-clock times; the history has times of
the day. Both are converted to microseconds of the day and sorted together.
"""

import json
import time
from collections.abc import Iterable
from typing import Any, NamedTuple

from cedarwick.lab.audit_cases import Case
from cedarwick.lab.day import Day
from cedarwick.lab.units import SECOND
from cedarwick.net.message_trace import TRACE_PREFIX

TIME_KEYS = ("at", "ended_at", "ordered_at", "sent_at", "until")  # trace keys that hold wall-clock microseconds
ORDERED_BY = (
    "at",
    "ended_at",
    "answered",
    "ended",
    "first",
)  # an entry is sorted by the first of these keys that it has


class TimelineEntry(NamedTuple):
    """One observation of a message, or one step of a sender."""

    at: int  # microseconds of the day
    source: str  # the sender whose log has the entry; empty for an observation from outside
    text: str

    def __str__(self) -> str:
        return f"{self.at / SECOND:9.4f} s  {self.source or 'seen':5} {self.text}"


def day_offset(day: Day) -> int:
    """Return the microseconds to subtract from a wall-clock time to get the time of the day."""
    return (time.time_ns() - time.monotonic_ns() + day.start_ns) // 1000


def traced_entries(log: str, id: str, sender: str, offset: int) -> list[TimelineEntry]:
    """Return the entries of one sender's log about a message, with times of the day."""
    entries = []
    for line in log.splitlines():
        _, prefix, rest = line.partition(TRACE_PREFIX)
        if not prefix or f'"{id}"' not in rest:
            continue
        record: dict[str, Any] = json.loads(rest)
        for key in TIME_KEYS:
            if record.get(key):
                record[key] -= offset
        entries.append(_timeline_entry(record, sender))
    return entries


def message_timeline(case: Case, id: str, logs: Iterable[tuple[str, str]], offset: int) -> list[TimelineEntry]:
    """Return all that is known of a message in order of time; `logs` has each sender's name and log text."""
    entries = [_timeline_entry(dict(record), "") for record in case.seen()]
    for sender, log in logs:
        entries += traced_entries(log, id, sender, offset)
    return sorted(entries)


def _timeline_entry(record: dict[str, Any], source: str) -> TimelineEntry:
    at = next((record[key] for key in ORDERED_BY if record.get(key, -1) > 0), 0)
    name = record.pop("event", None) or record.pop("what", "")
    fields = " ".join(f"{key}={value}" for key, value in record.items() if key not in ("id", "at"))
    return TimelineEntry(at, source, f"{name} {fields}")
