"""What the management address answers: each call on what the parts of the sender already hold."""

from collections.abc import Callable
from typing import Protocol

import gevent.socket
from loguru import logger

from cedarwick.errors import CedarwickError
from cedarwick.ops import saved_state
from cedarwick.ops.commands import FOLLOWING, Call, NotInFleetError, SessionsDisabledError, Suspensions
from cedarwick.store.files import DiskError

Talk = Callable[[gevent.socket.socket], None]  # an answer that goes on for as long as the caller stays


class UnlistedReceiverError(CedarwickError):
    """The list names no such receiver, and none such is suspended."""

    code = "CW402"
    remedy = "give the receiver's uid as the platform's list has it"


class NotSuspendedError(CedarwickError):
    """A receiver that is to be restored was not suspended."""

    code = "CW403"
    remedy = "nothing to do here; what is suspended stands in suspended.json of the sender's folder"


class Door(Protocol):
    """The clients' client listener as far as a drain concerns it."""

    paused: bool

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class List(Protocol):
    """The platform's list as far as taking receivers out concerns it."""

    def knows(self, uid: str) -> bool: ...

    def hold_out(self, uids: set[str]) -> None: ...


class Staff:
    """Answers the operators' calls; STATUS reads a flag and never waits on the dispatcher."""

    def __init__(
        self, ready: Callable[[], bool], door: Door, listed: List, folder: str, figures: Callable[[], str]
    ) -> None:
        self.ready = ready
        self.figures = figures
        self.door = door
        self.listed = listed
        self.folder = folder
        self.changed: Callable[[str, int], None] = lambda *_: None  # by hand, here: a uid and its calls out, or 0
        self.follows: Callable[[Call], str | Talk] = not_in_a_fleet
        self.moves: Callable[[Call], str] = no_sessions
        self.taking = False  # whether this process takes clients, or will once the folder is handed over

    def answer(self, call: Call) -> str | Talk:
        """The answer; a `CedarwickError` says why a call is refused."""
        if call.name == "STATUS":
            return "YES taking clients\n" if self.taking and self.ready() else "NO not ready yet\n"
        if call.name == "PAUSE":
            if self.door.paused:
                return "YES already paused\n"
            self.door.pause()
            return "YES paused\n"
        if call.name == "RESUME":
            if not self.door.paused:
                return "YES not paused\n"
            self.door.resume()
            return "YES resumed\n"
        if call.name in ("SUSPEND", "RESTORE"):
            return self._take_out(call)
        if call.name in FOLLOWING:
            return self.follows(call)
        if call.name == "MOVE":
            return self.moves(call)
        return self.figures() + "END\n"

    def take_over(self) -> None:
        """Take the receivers out that the file names: at the start, and once the folder is this process's."""
        try:
            self.listed.hold_out(set(saved_state.read(self.folder)))
        except saved_state.UnreadableFileError as error:
            logger.error("the receivers taken out by hand cannot be read: {}", error.line)

    def _take_out(self, call: Call) -> str:
        uid = call.argument
        try:
            # Danger: a process that replaces this one, or is replaced, may have changed the file meanwhile.
            out = Suspensions(saved_state.read(self.folder).items())
        except saved_state.UnreadableFileError as error:
            logger.error("the receivers taken out by hand cannot be read: {}", error.line)
            out = Suspensions()
        if call.name == "SUSPEND":
            if not self.listed.knows(uid) and uid not in out:
                raise UnlistedReceiverError(f"nobody has {uid}")
            count = out.suspend(uid)
            answer = f"YES {uid} suspended, {count} calls out\n"
        elif out.restore(uid):
            answer = f"YES {uid} restored\n"
        else:
            raise NotSuspendedError(f"{uid} is not suspended")
        self.keep(out.calls)
        self.changed(uid, out.calls.get(uid, 0))
        return answer

    def keep(self, calls: dict[str, int]) -> bool:
        """From now on the receivers of these calls, and no others, are out; whether the file has it, too."""
        written = True
        try:
            saved_state.write(self.folder, calls)
        except OSError as error:
            written = False
            logger.error(DiskError(f"the receivers taken out by hand cannot be kept: {error}").line)
        self.listed.hold_out(set(calls))
        return written


def no_sessions(call: Call) -> str:
    """The answer where this sender holds no sessions."""
    raise SessionsDisabledError(f"{call.name} at a sender whose `fleet.sessions` is off")


def not_in_a_fleet(call: Call) -> str:
    """The answer where no part of this sender has anything to follow."""
    raise NotInFleetError(f"{call.name} at a sender without a fleet, or one that has only begun to start")
