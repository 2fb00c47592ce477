"""The trace of messages: one log line for each attempt, each decided end and each acknowledged notice.

Off by default (`log.messages` in the operator file); the laboratory turns it on for fleets. A line is `message trace `
and a JSON object with the event, the message's id and number, and the fields of the event's record below. Times are
wall-clock microseconds; 0 stands for 'never'. Lines of several senders are joined by the message's id: a number changes
when a message moves to another partition.
"""

import json
from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

TRACE_PREFIX = "message trace "


class AttemptTrace(NamedTuple):
    """One attempt, written when its result is known."""

    id: str
    number: int
    attempt: int  # counted from 0
    receiver: int
    ordered_at: int
    sent_at: int  # its first byte was handed to the connection; 0: no byte was
    until: int  # its time-out
    ended_at: int
    outcome: str
    status: int  # of the answer, as far as its head was read; 0: none
    not_sent: bool


class LateAnswerTrace(NamedTuple):
    """An answer whose head was read after its attempt had timed out."""

    id: str
    number: int
    attempt: int
    status: int
    at: int


class EndTrace(NamedTuple):
    """An end that this sender has decided on."""

    id: str
    number: int
    state: str  # delivered, returned, failed
    reason: str
    term: int  # of the lease under which it was decided; 0: without a fleet
    at: int


class NoticeTrace(NamedTuple):
    """A notice that the platform has acknowledged."""

    id: str
    number: int
    state: str
    at: int


class ParkedTrace(NamedTuple):
    """Work on a message was stopped without an end: its lease was lost or its session moves."""

    id: str
    number: int
    in_flight: bool  # an attempt was running
    term: int  # the newest term of the lease that this sender knows of itself
    at: int


MessageEvent = AttemptTrace | LateAnswerTrace | EndTrace | NoticeTrace | ParkedTrace
EVENTS: dict[type[MessageEvent], str] = {
    AttemptTrace: "attempt",
    LateAnswerTrace: "late answer",
    EndTrace: "end",
    NoticeTrace: "notice",
    ParkedTrace: "parked",
}


class MessageTrace:
    """Writes trace lines while it is enabled. Callers test `enabled` before they build a record."""

    def __init__(self, write: Callable[[str], None] | None = None) -> None:
        """`write` takes a line; by default it goes to the log, at the level INFO."""
        self.enabled = False
        self._write = write or (lambda line: logger.info("{}", line))

    def add(self, event: MessageEvent) -> None:
        """Write one event."""
        if self.enabled:
            self._write(TRACE_PREFIX + json.dumps({"event": EVENTS[type(event)], **event._asdict()}))
