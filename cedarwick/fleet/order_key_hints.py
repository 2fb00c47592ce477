"""Keys that are owed at another sender: what each member tells of them, and which keys rest here for it. No I/O.

From a trouble on a client may hand in a message of a key at another sender than the one that still has earlier ones.
So each member tells the others, as `Owed`, the keys of what it owes from before the last change among the members (its
*backlog*), and of what lies in a copy here whose holder is silent. What is taken of such a key elsewhere rests: as
long as it is told anew, `MOST` at most. A peer message that is lost or late costs the order and nothing else.
All times are whole microseconds of the member's own clock that goes on while the machine sleeps.
"""

from collections.abc import Collection, Iterable, Set

from cedarwick.fleet.messages import MOST_KEYS

EVERY = 250_000  # between two peer messages while anything is owed
LASTS = 1_000_000  # what was told counts for so long: three peer messages in a row may be lost
MOST = 5_000_000  # a key rests no longer for others, whatever they tell


class OrderKeyHints:
    """What is told to the others, and what they have told."""

    def __init__(self) -> None:
        self.told: Set[int] = frozenset()  # keys in the last peer messages
        self.elsewhere: frozenset[int] = frozenset()  # keys that rest here
        self._sent_at = 0
        self._sent_to: Collection[str] = ()
        self._heard: dict[str, tuple[int, frozenset[int]]] = {}
        self._since: dict[int, int] = {}  # by key: since when it has been owed elsewhere without a break

    def heard(self, now: int, sender: str, keys: Iterable[int]) -> None:
        """All that a member owes by its word; it replaces what it said before."""
        self._heard[sender] = now, frozenset(keys)

    def tell(self, now: int, keys: Set[int], others: Collection[str]) -> tuple[int, ...] | None:
        """The keys of a peer message that is due to others now; None: none is. The last one of a trouble is empty."""
        changed = keys - self.told or set(others) - set(self._sent_to)
        if not (keys or self.told) or now < self._sent_at + EVERY and not (keys and changed):
            return None
        self.told, self._sent_at, self._sent_to = frozenset(keys), now, tuple(others)
        return tuple(sorted(keys)[:MOST_KEYS])

    def rests(self, now: int, here: Set[int], lying: Set[int]) -> frozenset[int]:
        """The keys that are to rest here. `here`: those of the own backlog; `lying`: those of copies here."""
        self._heard = {name: (at, keys) for name, (at, keys) in self._heard.items() if now < at + LASTS and keys}
        # Danger: two that each have some of a key would wait for each other.
        owed = frozenset(lying).union(*(keys for _, keys in self._heard.values())) - here
        self._since = {key: self._since.get(key, now) for key in owed}
        self.elsewhere = frozenset(key for key, since in self._since.items() if now < since + MOST)
        return self.elsewhere
