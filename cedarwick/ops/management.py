"""Answers management calls from the current state of the sender, and applies what operators have set.

Called by `management_server.py`, in the greenlet of the caller. Constants that end in `_S` are in seconds.
"""

from collections.abc import Callable
from typing import Protocol

import gevent
import gevent.event
import gevent.socket
from loguru import logger

from cedarwick.errors import CedarwickError
from cedarwick.ops import saved_state
from cedarwick.ops.commands import SUBSCRIPTION_CALLS, Call, NotInFleetError, SessionsDisabledError, Suspensions
from cedarwick.ops.operator_state import ChangeNotSavedError, OperatorState, OperatorStateBusyError
from cedarwick.store.folder_space import FolderSpace

FOLLOW_INTERVAL_S = 0.05  # between two looks for changes by another process of this sender
APPLIED_ELSEWHERE_S = 2 * FOLLOW_INTERVAL_S  # after a change, until the process that sends has applied it

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


class ProcessEndingError(CedarwickError):
    """The process has ended its part in the fleet, and can no longer carry out the call."""

    code = "CW409"
    remedy = "call the management address of the process that replaces this one, or this one after its restart"


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

    suspended: set[str]

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
        self.state = OperatorState(folder)
        self.holds_folder = True  # whether this process sends; otherwise another one applies what is saved
        self.save_failed = gevent.event.Event()
        # Called after each SUSPEND and RESTORE at this sender, with the uid and the number of calls in force.
        self.on_suspension_change: Callable[[str, int], None] = lambda *_: None
        self.report_unreadable: Callable[[CedarwickError], None] = log_unreadable
        self.subscription_handler: Callable[[Call], str | StreamingAnswer] = refuse_subscription
        self.move_handler: Callable[[Call], str] = refuse_move
        self.accepts_clients = False  # whether this process accepts clients, or will once it holds the folder

    def answer(self, call: Call) -> str | StreamingAnswer:
        """Answer one call; raises a `CedarwickError` with the reason if it is refused."""
        if call.name == "STATUS":
            return "YES taking clients\n" if self.accepts_clients and self.ready() else "NO not ready yet\n"
        if call.name in ("PAUSE", "RESUME"):
            return self._pause_or_resume(call.name == "PAUSE")
        if call.name in ("SUSPEND", "RESTORE"):
            return self._suspend_or_restore(call)
        if call.name in SUBSCRIPTION_CALLS:
            return self.subscription_handler(call)
        if call.name == "MOVE":
            return self.move_handler(call)
        return self.metrics_text() + "END\n"

    def apply_saved_state(self) -> None:
        """Apply what is saved in the folder; called at the start and again once the folder is held."""
        self._reload()
        self._apply()

    def take_folder(self, space: FolderSpace) -> None:
        """Apply and write the operators' settings for all processes from now on: this one holds the folder."""
        self.holds_folder = True
        self.state.space = space

    def forget_pause(self) -> None:
        """End a pause that an earlier process has left behind: a restart ends it, a replacement does not."""
        if self.state.paused:
            self.state.save_pause(paused=False)
            self._apply()

    def follow_changes(self, shared: bool) -> None:
        """Apply the changes of another process on the folder, and repeat failed writes; never returns.

        `shared`: whether there may be another process, which replaces this one or is replaced by it.
        """
        while True:
            if not shared:
                self.save_failed.wait()
            gevent.sleep(FOLLOW_INTERVAL_S)
            self.state.retry()
            if not self.state.unsaved:
                self.save_failed.clear()
            try:
                self._follow_change()
            except OperatorStateBusyError as error:
                logger.error(error.line)  # the fleet learns of the change with its next exchange of rows

    def stop_serving(self) -> None:
        """Refuse the calls that concern the fleet, and tell it nothing more: this process has left it."""
        self.on_suspension_change = lambda *_: None
        self.subscription_handler = self.move_handler = refuse_while_ending

    def release_folder(self) -> None:
        """Let another process apply what operators set from now on; called before the folder is released."""
        self.state.retry()
        self.holds_folder = False
        self.state.space = None

    def save_suspensions(self, calls: dict[str, int]) -> bool:
        """Suspend exactly these receivers and save their calls; returns whether the file was written."""
        return self._apply_written(self.state.save_calls(calls))

    def _suspend_or_restore(self, call: Call) -> str:
        uid = call.argument
        with self.state.locked():
            self._follow_change()
            suspensions = Suspensions(self.state.calls.items())
            if call.name == "SUSPEND":
                if not self.endpoints.knows(uid) and uid not in suspensions:
                    raise UnlistedReceiverError(f"nobody has {uid}")
                count = suspensions.suspend(uid)
                answer = f"YES {uid} suspended, {count} calls out\n"
            elif suspensions.restore(uid):
                answer = f"YES {uid} restored\n"
            else:
                raise NotSuspendedError(f"{uid} is not suspended")
            self._apply_for_all(self.state.save_calls(suspensions.calls))
        self._log_change(f"{uid}: {suspensions.calls.get(uid, 0)} calls out")
        self.on_suspension_change(uid, suspensions.calls.get(uid, 0))
        self._wait_until_applied()
        return answer

    def _pause_or_resume(self, paused: bool) -> str:
        with self.state.locked():
            self._follow_change()
            if self.state.paused == paused:
                return "YES already paused\n" if paused else "YES not paused\n"
            self._apply_for_all(self.state.save_pause(paused))
        self._log_change("paused" if paused else "resumed")
        self._wait_until_applied()
        return "YES paused\n" if paused else "YES resumed\n"

    def _apply_for_all(self, written: bool) -> None:
        """Apply a change; raises `ChangeNotSavedError` if only another process could, which cannot read it."""
        if written or self.holds_folder:
            self._apply_written(written)
            return
        self.state.discard_unsaved()
        self._reload()
        self._apply()
        raise ChangeNotSavedError("the change cannot be written to the state folder")

    def _apply_written(self, written: bool) -> bool:
        if not written:
            self.save_failed.set()
        self._apply()
        return written

    def _log_change(self, change: str) -> None:
        """Log what an operator has changed here, and whether this process or another one sends."""
        logger.info("{}, by a call at {}", change, "the sending process" if self.holds_folder else "another process")

    def _wait_until_applied(self) -> None:
        """Wait until the process that sends has applied a change, if that is another one than this."""
        if not self.holds_folder:
            gevent.sleep(APPLIED_ELSEWHERE_S)

    def _follow_change(self) -> None:
        """Apply what another process has changed, and report its suspensions as those of this process."""
        before, was_paused = dict(self.state.calls), self.state.paused
        self._reload()
        self._apply()
        if self.state.paused != was_paused:
            logger.info("{} by another process of this sender", "paused" if self.state.paused else "resumed")
        for uid in sorted(before.keys() | self.state.calls.keys()):
            if before.get(uid, 0) != self.state.calls.get(uid, 0):
                logger.info("{}: {} calls out, by another process of this sender", uid, self.state.calls.get(uid, 0))
                self.on_suspension_change(uid, self.state.calls.get(uid, 0))

    def _reload(self) -> None:
        try:
            self.state.refresh()
        except saved_state.UnreadableFileError as error:
            self.report_unreadable(error)

    def _apply(self) -> None:
        """Bring the endpoint list and the listener to the present state."""
        if self.endpoints.suspended != self.state.calls.keys():
            self.endpoints.set_suspended(set(self.state.calls))
        if self.state.paused and not self.listener.paused:
            self.listener.pause()
        elif self.listener.paused and not self.state.paused:
            self.listener.resume()


def log_unreadable(error: CedarwickError) -> None:
    """Log that a file of the operators' settings cannot be read."""
    logger.error("the receivers taken out by hand cannot be read: {}", error.line)


def refuse_while_ending(call: Call) -> str:
    """Refuse a call that concerns the fleet at a process that has left it."""
    raise ProcessEndingError(f"{call.name} at a process that ends")


def refuse_move(call: Call) -> str:
    """Refuse MOVE at a sender without sessions."""
    raise SessionsDisabledError(f"{call.name} at a sender whose `fleet.sessions` is off")


def refuse_subscription(call: Call) -> str:
    """Refuse FOLLOW and UNFOLLOW at a sender without a fleet."""
    raise NotInFleetError(f"{call.name} at a sender without a fleet, or one that has only begun to start")
