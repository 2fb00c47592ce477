"""The management address's line protocol and the counted suspensions: no sockets, no files, no clock."""

from collections.abc import Iterable
from typing import NamedTuple

from cedarwick.errors import CedarwickError

LONGEST_LINE = 256  # bytes of a call with its line end; what is longer is refused and the connection closed
LONGEST_FOLLOW = 40 << 10  # of one with a filter and a subscriber's cursors
ARGUMENTS = {"STATUS": 0, "METRICS": 0, "SUSPEND": 1, "RESTORE": 1, "PAUSE": 0, "RESUME": 0, "MOVE": 2}
FOLLOWING = ("FOLLOW", "UNFOLLOW")  # the rest of the line is their argument


class InvalidCallError(CedarwickError):
    """A line that is no call; its text is the reason given after `NO`."""

    code = "CW401"
    remedy = (
        "send one call a line: STATUS, METRICS, SUSPEND ID, RESTORE ID, PAUSE, RESUME, MOVE KEY SENDER, "
        "FOLLOW or UNFOLLOW"
    )


class NotInFleetError(CedarwickError):
    """Events can be followed at a member of a fleet only."""

    code = "CW406"
    remedy = "give the operator file a table `[fleet]`, or follow at a sender that has one"


class SessionsDisabledError(CedarwickError):
    """Only members of a fleet whose sessions are told have any to move."""

    code = "CW750"
    remedy = "set `sessions = true` in `[fleet]` of every member's operator file and restart them in turn"


class Call(NamedTuple):
    """One call: its name in capitals and its arguments with a blank between, empty where it takes none."""

    name: str
    argument: str


def parse(line: bytes) -> Call:
    """The call on one line, without its line end; `InvalidCallError` says what is wrong with it."""
    if len(line) > most(line):
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
    if name in FOLLOWING and len(words) > 1:
        return Call(name, text.split(maxsplit=1)[1])
    wanted = ARGUMENTS.get(name, 1 if name in FOLLOWING else None)
    if wanted is None:
        raise InvalidCallError(f"unknown call {words[0][:40]!r}")
    if len(words) - 1 != wanted:
        raise InvalidCallError(f"{name} takes {('no argument', 'one argument', 'two arguments')[wanted]}")
    return Call(name, " ".join(words[1:]))


def most(line: bytes) -> int:
    """The bytes that a line that begins so may have."""
    return LONGEST_FOLLOW if line[:7].upper() == b"FOLLOW " else LONGEST_LINE


class Suspensions:
    """Receivers taken out by hand, by uid, with the number of calls out; one call back restores."""

    def __init__(self, counted: Iterable[tuple[str, int]] = ()) -> None:
        self.calls: dict[str, int] = {uid: count for uid, count in counted if count > 0}

    def suspend(self, uid: str) -> int:
        """The calls out for this receiver, this one counted."""
        self.calls[uid] = self.calls.get(uid, 0) + 1
        return self.calls[uid]

    def restore(self, uid: str) -> bool:
        """Whether the receiver was out by hand; it is not any more."""
        return self.calls.pop(uid, None) is not None

    def __contains__(self, uid: object) -> bool:
        return uid in self.calls

    def __len__(self) -> int:
        return len(self.calls)
