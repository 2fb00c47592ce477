"""The message trace: log lines that show what happened to each message.

One line is written for each attempt, held message, refusal, final answer and acknowledged notice, and one for each
closed connection, with the reason. The trace is off by default (`log.messages` in the operator file); the laboratory
turns it on for fleets.

A line is `message trace ` and a JSON object with the event, the message's id and number, and the other fields of the
event's record below. Times are wall-clock microseconds; 0 means 'never'. Join the lines of several senders by the
message's id, since its number changes when it moves to another partition.
"""

import json
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from loguru import logger

TRACE_PREFIX = "message trace "


class AttemptTrace(NamedTuple):
    """An attempt whose result is known."""

    id: str
    number: int
    attempt: int  # counted from 0
    receiver: int
    ordered_at: int
    sent_at: int  # when the first byte was written to the connection; 0: none was
    until: int  # when it times out
    ended_at: int
    outcome: str
    status: int  # of the answer, even if only its head was read; 0: no answer
    not_sent: bool
    connection: int  # its number, counted from 1 in each process; 0: none was opened
    calls_before: int  # on that connection
    quiet_for: int  # microseconds from the answer before on that connection to the first byte; 0: there was none


class HeldTrace(NamedTuple):
    """A message held after an attempt that did not deliver it, until a decision round retries or ends it."""

    id: str
    number: int
    attempts: int  # made so far
    outcome: str  # of the last attempt
    due_at: int  # no retry starts earlier
    at: int


class RefusalTrace(NamedTuple):
    """A submission that was not accepted."""

    id: str
    reason: str
    wait_ms: int  # advised wait; 0: none
    at: int


class CloseReason(Enum):
    """Why a connection was closed."""

    NOT_REUSABLE = "it was idle for too long, leads to an old address, or would have to be quiet for too long"
    ENDED = "its receiver ended it"
    ANSWER_UNUSABLE = "its last call left it unusable"
    UNREAD_BYTES = "bytes came that no call asked for"
    RELEASED = "the decisions released it"
    IDLE = "it was idle for too long"
    DESCRIPTOR_WANTED = "its descriptor was wanted"
    SERVED = "the client closed it, or was let go after its answer or for its silence"
    MALFORMED_REQUEST = "a request could not be read"
    SHED = "no memory for a request"
    BROKEN = "it broke"


class CloseTrace(NamedTuple):
    """A connection that this sender closed."""

    peer: str  # `receiver N`, or the client's address
    reason: str
    at: int
    connection: int = 0  # for a receiver: its number, as in `AttemptTrace`
    calls: int = 0  # made on it
    last_message: str = ""  # the id of the message of the last of them


class LateAnswerTrace(NamedTuple):
    """An answer whose head was read after its attempt had timed out."""

    id: str
    number: int
    attempt: int
    status: int
    at: int


class EndTrace(NamedTuple):
    """A final answer that this sender decided on."""

    id: str
    number: int
    state: str  # delivered, returned, failed
    reason: str
    term: int  # of the lease under which it was decided; 0: no fleet
    at: int


class NoticeTrace(NamedTuple):
    """A notice that the platform acknowledged."""

    id: str
    number: int
    state: str
    at: int


class ParkedTrace(NamedTuple):
    """A message parked without a final answer: its lease was lost, or its session migrates."""

    id: str
    number: int
    in_flight: bool  # an attempt was in flight
    term: int  # of the newest lease that this sender knows to have held
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
    """Writes trace lines while `enabled` is set. Callers check it before they build a record."""

    def __init__(self, write: Callable[[str], None] | None = None) -> None:
        """`write` receives each line; the default logs it at level INFO."""
        self.enabled = False
        self._write = write or (lambda line: logger.info("{}", line))

    def add(self, event: MessageEvent) -> None:
        """Write the line of an event."""
        if self.enabled:
            self._write(TRACE_PREFIX + json.dumps({"event": EVENTS[type(event)], **event._asdict()}))
