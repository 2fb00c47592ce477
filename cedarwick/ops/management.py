"""Answers management calls from the current state of the sender.

Called by `management_server.py`, in the greenlet of the caller.
"""

from collections.abc import Callable
from typing import Protocol

import gevent.socket
from loguru import logger

from cedarwick.errors import CedarwickError
from cedarwick.ops import saved_state
from cedarwick.ops.commands import SUBSCRIPTION_CALLS, Call, NotInFleetError, SessionsDisabledError, Suspensions
from cedarwick.store.files import DiskError

# Writes an answer, such as that to FOLLOW, for as long as the caller stays connected.
StreamingAnswer = Callable[[gevent.socket.socket], None]


class UnlistedReceiverError(CedarwickError):
    """No receiver with this uid is listed or suspended."""

    code = "CW402"
    remedy = "use the uid of the receiver in the platform's list"


class NotSuspendedError(CedarwickError):
    """The receiver to be restored is not suspended."""

    code = "CW403"
    remedy = "see suspended.json in the state folder for the receivers that are suspended"


class PausableListener(Protocol):
    """The part of the client listener that PAUSE and RESUME use."""

    paused: bool

    def pause(self) -> None:
        """Stop accepting clients."""
        ...

    def resume(self) -> None:
        """Accept clients again."""
        ...


class SuspendableEndpoints(Protocol):
    """The part of the endpoint list that SUSPEND and RESTORE use."""

    def knows(self, uid: str) -> bool:
        """Whether this receiver is listed."""
        ...

    def set_suspended(self, uids: set[str]) -> None:
        """Suspend exactly these receivers."""
        ...


class ManagementCommands:
    """Answers management calls; STATUS reads a flag and never waits for the dispatcher."""

    def __init__(
        self,
        ready: Callable[[], bool],
        listener: PausableListener,
        endpoints: SuspendableEndpoints,
        folder: str,
        metrics_text: Callable[[], str],
    ) -> None:
        self.ready = ready
        self.metrics_text = metrics_text
        self.listener = listener
        self.endpoints = endpoints
        self.folder = folder
        # Called after each SUSPEND and RESTORE at this sender, with the uid and the number of calls in force.
        self.on_suspension_change: Callable[[str, int], None] = lambda *_: None
        self.subscription_handler: Callable[[Call], str | StreamingAnswer] = refuse_subscription
        self.move_handler: Callable[[Call], str] = refuse_move
        self.accepts_clients = False  # whether this process accepts clients, or will once it holds the folder

    def answer(self, call: Call) -> str | StreamingAnswer:
        """Answer one call; raises a `CedarwickError` with the reason if it is refused."""
        if call.name == "STATUS":
            return "YES taking clients\n" if self.accepts_clients and self.ready() else "NO not ready yet\n"
        if call.name == "PAUSE":
            if self.listener.paused:
                return "YES already paused\n"
            self.listener.pause()
            return "YES paused\n"
        if call.name == "RESUME":
            if not self.listener.paused:
                return "YES not paused\n"
            self.listener.resume()
            return "YES resumed\n"
        if call.name in ("SUSPEND", "RESTORE"):
            return self._suspend_or_restore(call)
        if call.name in SUBSCRIPTION_CALLS:
            return self.subscription_handler(call)
        if call.name == "MOVE":
            return self.move_handler(call)
        return self.metrics_text() + "END\n"

    def apply_saved_suspensions(self) -> None:
        """Apply the saved suspensions; called at start-up and again once the folder is held."""
        try:
            self.endpoints.set_suspended(set(saved_state.read_suspensions(self.folder)))
        except saved_state.UnreadableFileError as error:
            logger.error("the receivers taken out by hand cannot be read: {}", error.line)

    def _suspend_or_restore(self, call: Call) -> str:
        uid = call.argument
        try:
            # Read the file each time: a process that replaces this one, or is replaced by it, may have changed it.
            suspensions = Suspensions(saved_state.read_suspensions(self.folder).items())
        except saved_state.UnreadableFileError as error:
            logger.error("the receivers taken out by hand cannot be read: {}", error.line)
            suspensions = Suspensions()
        if call.name == "SUSPEND":
            if not self.endpoints.knows(uid) and uid not in suspensions:
                raise UnlistedReceiverError(f"nobody has {uid}")
            count = suspensions.suspend(uid)
            answer = f"YES {uid} suspended, {count} calls out\n"
        elif suspensions.restore(uid):
            answer = f"YES {uid} restored\n"
        else:
            raise NotSuspendedError(f"{uid} is not suspended")
        self.save_suspensions(suspensions.calls)
        self.on_suspension_change(uid, suspensions.calls.get(uid, 0))
        return answer

    def save_suspensions(self, calls: dict[str, int]) -> bool:
        """Suspend exactly these receivers and save their calls; returns whether the file was written."""
        written = True
        try:
            saved_state.write_suspensions(self.folder, calls)
        except OSError as error:
            written = False
            logger.error(DiskError(f"cannot save the suspended receivers: {error}").line)
        self.endpoints.set_suspended(set(calls))
        return written


def refuse_move(call: Call) -> str:
    """Refuse MOVE at a sender without sessions."""
    raise SessionsDisabledError(f"{call.name} at a sender whose `fleet.sessions` is off")


def refuse_subscription(call: Call) -> str:
    """Refuse FOLLOW and UNFOLLOW at a sender without a fleet."""
    raise NotInFleetError(f"{call.name} at a sender without a fleet, or one that has only begun to start")
