"""Which sessions a sender gives to others, to whom and when. No I/O, no clock.

How a migration then runs is in `migration_table.py`. Times are microseconds of any clock that never runs backwards.
"""

from collections.abc import Iterable, Mapping, Sequence
from enum import Enum
from typing import NamedTuple

from cedarwick.fleet.migration_table import MOST_IN, MOST_OUT
from cedarwick.fleet.placement import weight

STAYS = 10_000_000  # microseconds that a session stays after a move, but for staff and a sender that leaves
AFTER_OFF = 1_000_000  # microseconds until a session whose move was called off is offered again
FULL = 0.8  # share of its capacity up to which a sender takes sessions


class MigrationReason(Enum):
    """Why a session is to move; the most urgent first."""

    STAFF = "staff say so"
    LEAVING = "this sender leaves"
    FAILING = "this hall is drained or failing"
    CLIENT = "its client has come to another sender"


class MigrationRequest(NamedTuple):
    key: int
    why: MigrationReason
    to: str = ""  # this one only; empty: to whoever is preferred


class Neighbour(NamedTuple):
    """Another sender as this one sees it now."""

    name: str
    hall: str
    held: int  # sessions
    most: int  # sessions that it bears
    well: bool = True  # not suspected, cut or slow
    takes: bool = True  # alive, its hall not drained, not leaving


def preferred(key: int, hall: str, neighbours: Iterable[Neighbour], more: Mapping[str, int]) -> list[Neighbour]:
    """Who may take a session, the best first: the same hall, the lower load in tenths, well before not, and last
    rendezvous hashing (Thaler and Ravishankar 1998), so that every sender finds the same order.

    `more`: sessions by name that are on their way there and not among `held`.
    """

    def order(each: Neighbour) -> tuple[bool, int, bool, int]:
        load = (each.held + more.get(each.name, 0)) * 10 // max(each.most, 1)
        return each.hall != hall, load, not each.well, -weight(key, each.name)

    return sorted(
        (each for each in neighbours if each.takes and each.held + more.get(each.name, 0) < FULL * each.most), key=order
    )


class MigrationPlanner:
    """Chooses the moves of the sessions that this sender holds."""

    def __init__(self, hall: str) -> None:
        self.hall = hall
        self.out: dict[int, str] = {}  # on the move, by key: to whom
        self.stays: dict[int, int] = {}  # until then
        self.off: dict[int, int] = {}  # not offered until then

    def arrived(self, key: int, now: int) -> None:
        """A session has become active here."""
        self.stays[key] = now + STAYS

    def ended(self, key: int, moved: bool, now: int) -> None:
        """A move from here is over; not `moved`: it was called off."""
        self.out.pop(key, None)
        if not moved:
            self.off[key] = now + AFTER_OFF

    def plan(
        self, wishes: Sequence[MigrationRequest], neighbours: Sequence[Neighbour], now: int
    ) -> list[tuple[int, str]]:
        """The moves to begin now, as key and taker; the others are asked for again later. At most `MOST_OUT` are on
        the move from here at once, and `MOST_IN` to each taker."""
        self.stays = {key: until for key, until in self.stays.items() if until > now}
        self.off = {key: until for key, until in self.off.items() if until > now}
        more: dict[str, int] = {}
        for to in self.out.values():
            more[to] = more.get(to, 0) + 1
        chosen = []
        for wish in sorted(wishes, key=lambda each: list(MigrationReason).index(each.why)):
            stays = wish.key in self.stays and wish.why not in (MigrationReason.STAFF, MigrationReason.LEAVING)
            # Danger: with a client at each of two senders, a session would go to and fro, frozen most of the time.
            if len(self.out) >= MOST_OUT or wish.key in self.out or wish.key in self.off or stays or not wish.key:
                continue
            for each in preferred(wish.key, self.hall, neighbours, more):
                if wish.to in ("", each.name) and more.get(each.name, 0) < MOST_IN:
                    self.out[wish.key] = each.name
                    more[each.name] = more.get(each.name, 0) + 1
                    chosen.append((wish.key, each.name))
                    break
        return chosen
