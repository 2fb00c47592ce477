"""Chooses which sessions a sender migrates, to which senders and when. No I/O, no clock.

`SessionRouter` calls the planner; `migration_table.py` defines how a migration then runs. Times are microseconds of
any monotonic clock.
"""

from collections.abc import Iterable, Mapping, Sequence
from enum import Enum
from typing import NamedTuple

from cedarwick.fleet.migration_table import MAX_INCOMING_MOVES, MAX_OUTGOING_MOVES
from cedarwick.fleet.placement import weight

MIN_STAY_US = (
    10_000_000  # microseconds for which a session stays after a move; operators and leaving senders are exempt
)
CALL_OFF_PAUSE_US = 1_000_000  # microseconds until a session whose move was called off is offered again
MAX_LOAD_SHARE = 0.8  # share of a sender's capacity up to which it is chosen as a target


class MigrationReason(Enum):
    """Why a session is to move, in order of urgency."""

    OPERATOR = "an operator asks for it"
    LEAVING = "this sender leaves"
    FAILING = "this hall is drained or failing"
    CLIENT = "its client has come to another sender"


class MigrationRequest(NamedTuple):
    """A request to move the session with a key."""

    key: int
    reason: MigrationReason
    target: str = ""  # the only allowed target; empty: the best ranked one


class Neighbour(NamedTuple):
    """The state of another sender, as it is known here."""

    name: str
    hall: str
    session_count: int  # sessions held there
    capacity: int  # sessions that it may hold
    healthy: bool = True  # not suspected, cut off or slow
    accepts_sessions: bool = True  # alive, not leaving, and its hall is not drained


def rank_targets(key: int, hall: str, neighbours: Iterable[Neighbour], incoming: Mapping[str, int]) -> list[Neighbour]:
    """The senders that may take a session, the best first.

    The order is: same hall first, then lower load (in tenths of the capacity), then healthy before unhealthy, then
    rendezvous hashing (Thaler and Ravishankar 1998), so that every sender finds the same order. `incoming` maps the
    name of a sender to the sessions that migrate there and are not yet counted in `session_count`.
    """

    def order(each: Neighbour) -> tuple[bool, int, bool, int]:
        load = (each.session_count + incoming.get(each.name, 0)) * 10 // max(each.capacity, 1)
        return each.hall != hall, load, not each.healthy, -weight(key, each.name)

    def has_room(each: Neighbour) -> bool:
        return (
            each.accepts_sessions and each.session_count + incoming.get(each.name, 0) < MAX_LOAD_SHARE * each.capacity
        )

    return sorted((each for each in neighbours if has_room(each)), key=order)


class MigrationPlanner:
    """Chooses the moves of the sessions that this sender holds."""

    def __init__(self, hall: str) -> None:
        self.hall = hall
        self.targets: dict[int, str] = {}  # by key of a migrating session
        self.stays_until: dict[int, int] = {}  # by key: the session is not moved before this time
        self.paused_until: dict[int, int] = {}  # by key: its move was called off; not offered before this time

    def note_arrival(self, key: int, now: int) -> None:
        """Record that a session has become active here; it stays for `MIN_STAY_US`."""
        self.stays_until[key] = now + MIN_STAY_US

    def note_end(self, key: int, moved: bool, now: int) -> None:
        """Record the end of a move from here; `moved` is false if it was called off."""
        self.targets.pop(key, None)
        if not moved:
            self.paused_until[key] = now + CALL_OFF_PAUSE_US

    def plan(
        self, requests: Sequence[MigrationRequest], neighbours: Sequence[Neighbour], now: int
    ) -> list[tuple[int, str]]:
        """The moves to begin now, as pairs of key and target; the caller requests the others again later.

        At most `MAX_OUTGOING_MOVES` sessions migrate from here at once, and `MAX_INCOMING_MOVES` to each target.
        """
        self.stays_until = {key: until for key, until in self.stays_until.items() if until > now}
        self.paused_until = {key: until for key, until in self.paused_until.items() if until > now}
        incoming: dict[str, int] = {}
        for sender in self.targets.values():
            incoming[sender] = incoming.get(sender, 0) + 1
        chosen = []
        for request in sorted(requests, key=lambda each: list(MigrationReason).index(each.reason)):
            stays = request.key in self.stays_until and request.reason not in (
                MigrationReason.OPERATOR,
                MigrationReason.LEAVING,
            )
            # Without `stays` a session with clients at two senders would alternate between them and be frozen most of
            # the time.
            if (
                len(self.targets) >= MAX_OUTGOING_MOVES
                or request.key in self.targets
                or request.key in self.paused_until
                or stays
                or not request.key
            ):
                continue
            for each in rank_targets(request.key, self.hall, neighbours, incoming):
                if request.target in ("", each.name) and incoming.get(each.name, 0) < MAX_INCOMING_MOVES:
                    self.targets[request.key] = each.name
                    incoming[each.name] = incoming.get(each.name, 0) + 1
                    chosen.append((request.key, each.name))
                    break
        return chosen
