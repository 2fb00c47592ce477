"""A submission on its way from the client listener to the dispatcher, and the result of its admission."""

from dataclasses import dataclass, field
from enum import Enum

import gevent.event

from cedarwick.store.records import StoredMessage


class AdmissionResult(Enum):
    """The result of admission, which decides the client's answer."""

    ACCEPTED = "kept"  # the value is sent between members
    BUSY = "busy"  # with an advised wait in milliseconds, or 0
    UNKNOWN_PRIORITY_CLASS = "unknown priority class"
    UNKNOWN_DESTINATION = "unknown destination"  # as far as the list says, which may be old
    REPEATED = "repeated"  # an id that was handed in before, and not the same request
    FROZEN = "frozen"  # its session is on the move to another sender: not taken, to be handed in after that
    UNSURE = "unsure"  # it was passed on to another sender, and nobody knows whether that has taken it


@dataclass(slots=True)
class Submission:
    """A submitted message; the dispatcher gives it a number and sets the answer."""

    message: StoredMessage
    answer: gevent.event.AsyncResult = field(default_factory=gevent.event.AsyncResult)

    def set_answer(self, result: AdmissionResult, wait_ms: int = 0) -> None:
        """Set the answer, once; `wait_ms` is the advised wait of `BUSY`, 0 for none."""
        self.answer.set((result, wait_ms))
