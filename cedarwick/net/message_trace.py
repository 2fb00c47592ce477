"""The trace of messages: one log line for each attempt, held message, refusal, decided end and acknowledged notice.

Connections that are closed have a line, too, with the reason.

Off by default (`log.messages` in the operator file); the laboratory turns it on for fleets. A line is `message trace `
and a JSON object with the event, the message's id and number, and the fields of the event's record below. Times are
wall-clock microseconds; 0 stands for 'never'. Lines of several senders are joined by the message's id: a number changes
when a message moves to another partition.
"""

import json
from collections.abc import Callable
from enum import Enum
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


class HeldTrace(NamedTuple):
    """A message is held after an attempt that did not deliver it; the next decision retries or ends it."""

    id: str
    number: int
    attempts: int  # that have gone so far
    outcome: str  # of the last one
    due_at: int  # a retry goes not before this
    at: int


class RefusalTrace(NamedTuple):
    """A submission that was not taken on."""

    id: str
    reason: str
    wait_ms: int  # the advised wait; 0: none
    at: int


class CloseReason(Enum):
    """Why a connection was closed."""

    NOT_REUSABLE = "it ended, was idle for too long, or leads to an old address"
    ANSWER_UNUSABLE = "its last call left it unusable"
    UNREAD_BYTES = "bytes came that no call asked for"
    RELEASED = "the decisions released it"
    IDLE = "it was idle for too long, or ended"
    DESCRIPTOR_WANTED = "its descriptor was wanted"
    SERVED = "the client closed it, or was let go after its answer or for its silence"
    MALFORMED_REQUEST = "a request could not be read"
    SHED = "no memory for a request"
    BROKEN = "it broke"


class CloseTrace(NamedTuple):
    """A connection that was closed here."""

    peer: str  # `receiver N`, or the client's address
    reason: str
    at: int


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


MessageEvent = (
    AttemptTrace | HeldTrace | RefusalTrace | CloseTrace | LateAnswerTrace | EndTrace | NoticeTrace | ParkedTrace
)
EVENTS: dict[type[MessageEvent], str] = {
    AttemptTrace: "attempt",
    HeldTrace: "held",
    RefusalTrace: "refusal",
    CloseTrace: "close",
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
