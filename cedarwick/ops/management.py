"""The answers to management calls, from what the parts of the sender already hold."""

from collections.abc import Callable
from typing import Protocol

import gevent.socket
from loguru import logger

from cedarwick.errors import CedarwickError
from cedarwick.ops import saved_state
from cedarwick.ops.commands import SUBSCRIPTION_CALLS, Call, NotInFleetError, SessionsDisabledError, Suspensions
from cedarwick.store.files import DiskError

# An answer that goes on for as long as the caller stays connected, as that to FOLLOW.
StreamingAnswer = Callable[[gevent.socket.socket], None]


class UnlistedReceiverError(CedarwickError):
    """The list names no such receiver, and none such is suspended."""

    code = "CW402"
    remedy = "give the receiver's uid as the platform's list has it"


class NotSuspendedError(CedarwickError):
    """A receiver that is to be restored was not suspended."""

    code = "CW403"
    remedy = "nothing to do here; what is suspended stands in suspended.json of the sender's folder"


class PausableListener(Protocol):
    """The client listener, as far as PAUSE and RESUME use it."""

    paused: bool

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class SuspendableEndpoints(Protocol):
    """The endpoint list, as far as SUSPEND and RESTORE use it."""

    def knows(self, uid: str) -> bool: ...

    def set_suspended(self, uids: set[str]) -> None: ...


class ManagementCommands:
    """Answers management calls; STATUS reads a flag and never waits on the dispatcher."""

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
        self.changed: Callable[[str, int], None] = (
            lambda *_: None
        )  # told each suspension made here: uid, calls in force or 0
        self.follows: Callable[[Call], str | StreamingAnswer] = not_in_a_fleet
        self.moves: Callable[[Call], str] = no_sessions
        self.taking = False  # whether this process takes clients, or will once the folder is handed over

    def answer(self, call: Call) -> str | StreamingAnswer:
        """The answer to one call; raises a `CedarwickError` with the reason where it is refused."""
        if call.name == "STATUS":
            return "YES taking clients\n" if self.taking and self.ready() else "NO not ready yet\n"
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
            return self.follows(call)
        if call.name == "MOVE":
            return self.moves(call)
        return self.metrics_text() + "END\n"

    def take_over(self) -> None:
        """Suspend the receivers that the file names: at the start, and again once the folder is this process's."""
        try:
            self.endpoints.set_suspended(set(saved_state.read(self.folder)))
        except saved_state.UnreadableFileError as error:
            logger.error("the receivers taken out by hand cannot be read: {}", error.line)

    def _suspend_or_restore(self, call: Call) -> str:
        uid = call.argument
        try:
            # Danger: a process that replaces this one, or is replaced, may have changed the file meanwhile.
            suspensions = Suspensions(saved_state.read(self.folder).items())
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
        self.keep(suspensions.calls)
        self.changed(uid, suspensions.calls.get(uid, 0))
        return answer

    def keep(self, calls: dict[str, int]) -> bool:
        """Suspend exactly the receivers of these calls from now on; returns whether the file was written, too."""
        written = True
        try:
            saved_state.write(self.folder, calls)
        except OSError as error:
            written = False
            logger.error(DiskError(f"the receivers taken out by hand cannot be saved: {error}").line)
        self.endpoints.set_suspended(set(calls))
        return written


def no_sessions(call: Call) -> str:
    """Refuse MOVE at a sender that holds no sessions."""
    raise SessionsDisabledError(f"{call.name} at a sender whose `fleet.sessions` is off")


def not_in_a_fleet(call: Call) -> str:
    """Refuse FOLLOW and UNFOLLOW where no part of this sender has anything to follow."""
    raise NotInFleetError(f"{call.name} at a sender without a fleet, or one that has only begun to start")
