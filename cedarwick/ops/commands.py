"""The line protocol of the management address, and the counting of suspensions; without sockets, files or a clock.

Used by `management_server.py` (parsing) and `management.py` (suspensions).
"""

from collections.abc import Iterable
from typing import NamedTuple

from cedarwick.errors import CedarwickError

MAX_LINE_BYTES = 256  # of a call, line end included; a longer one is refused and its connection closed
MAX_FOLLOW_LINE_BYTES = 40 << 10  # of a FOLLOW call with a filter and the subscriber's cursors
ARGUMENT_COUNTS = {"STATUS": 0, "METRICS": 0, "SUSPEND": 1, "RESTORE": 1, "PAUSE": 0, "RESUME": 0, "MOVE": 2}
SUBSCRIPTION_CALLS = ("FOLLOW", "UNFOLLOW")  # their argument is the rest of the line


class InvalidCallError(CedarwickError):
    """A management call is invalid; the text is the reason given after `NO`."""

    code = "CW401"
    remedy = (
        "send one call a line: STATUS, METRICS, SUSPEND ID, RESTORE ID, PAUSE, RESUME, MOVE KEY SENDER, "
        "FOLLOW or UNFOLLOW"
    )


class NotInFleetError(CedarwickError):
    """Events can only be followed at a member of a fleet."""

    code = "CW406"
    remedy = "add a table `[fleet]` to the operator file, or follow at a sender that has one"


class SessionsDisabledError(CedarwickError):
    """The sender has no sessions that could be moved, as `fleet.sessions` is off."""

    code = "CW750"
    remedy = "set `sessions = true` in `[fleet]` of every member's operator file and restart them in turn"


class Call(NamedTuple):
    """One call: its name in capitals and its arguments, separated by one space; empty if it takes none."""

    name: str
    argument: str


def parse_call(line: bytes) -> Call:
    """Parse one line without its line end.

    Raises `InvalidCallError` if the line is not a valid call.
    """
    if len(line) > max_line_bytes(line):
        raise InvalidCallError("the line is too long")
    try:
        text = line.decode("ascii")
    except UnicodeDecodeError:
        raise InvalidCallError("the line is not ASCII text") from None
    if not text.isprintable():
        raise InvalidCallError("the line holds control characters")
    words = text.split()
    if not words:
        raise InvalidCallError("an empty line")
    name = words[0].upper()
    if name in SUBSCRIPTION_CALLS and len(words) > 1:
        return Call(name, text.split(maxsplit=1)[1])
    argument_count = ARGUMENT_COUNTS.get(name, 1 if name in SUBSCRIPTION_CALLS else None)
    if argument_count is None:
        raise InvalidCallError(f"unknown call {words[0][:40]!r}")
    if len(words) - 1 != argument_count:
        raise InvalidCallError(f"{name} takes {('no argument', 'one argument', 'two arguments')[argument_count]}")
    return Call(name, " ".join(words[1:]))


def max_line_bytes(line: bytes) -> int:
    """Return the maximum length, line end included, of a line with this beginning."""
    return MAX_FOLLOW_LINE_BYTES if line[:7].upper() == b"FOLLOW " else MAX_LINE_BYTES


class Suspensions:
    """Receivers suspended by operators, with the number of SUSPEND calls in force. One RESTORE ends all of them."""

    def __init__(self, counts: Iterable[tuple[str, int]] = ()) -> None:
        self.calls: dict[str, int] = {uid: count for uid, count in counts if count > 0}  # by uid

    def suspend(self, uid: str) -> int:
        """Count one more SUSPEND call; returns the number in force for this receiver."""
        self.calls[uid] = self.calls.get(uid, 0) + 1
        return self.calls[uid]

    def restore(self, uid: str) -> bool:
        """End the suspension of a receiver; returns whether there was one."""
        return self.calls.pop(uid, None) is not None

    def __contains__(self, uid: object) -> bool:
        return uid in self.calls

    def __len__(self) -> int:
        return len(self.calls)
