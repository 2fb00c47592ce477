"""A submission that the client listener passes to the dispatcher, and the result of its admission."""

from dataclasses import dataclass, field
from enum import Enum

import gevent.event

from cedarwick.store.records import StoredMessage


class AdmissionResult(Enum):
    """The result of admission; the client's answer follows from it."""

    ACCEPTED = "kept"  # the value is sent between members
    BUSY = "busy"  # comes with an advised wait in milliseconds, or 0
    UNKNOWN_PRIORITY_CLASS = "unknown priority class"
    UNKNOWN_DESTINATION = "unknown destination"  # not in the endpoint list, which may be out of date
    REPEATED = "repeated"  # the id of an earlier submission whose content differs, or whose message has ended
    FROZEN = "frozen"  # its session is migrating to another sender; submit again afterwards
    UNSURE = "unsure"  # forwarded to another sender, and it is unknown whether that one accepted it


@dataclass(slots=True)
class Submission:
    """A submitted message; the dispatcher assigns its number and sets the answer."""

    message: StoredMessage
    answer: gevent.event.AsyncResult = field(default_factory=gevent.event.AsyncResult)

    def set_answer(self, result: AdmissionResult, wait_ms: int = 0) -> None:
        """Set the answer, once; `wait_ms` is the advised wait with `BUSY`, 0 for none."""
        self.answer.set((result, wait_ms))
