"""Hints on order keys: which keys have older messages at another sender, and so rest (wait) here. No I/O.

After a change among the members a client may submit a message of a key at another sender than the one that still has
earlier ones. So each member sends the others, as `PendingOrderKeys`, the keys of its pending messages from before the
last change (its *backlog*), and of what is in a replica here whose holder is silent. New messages of such a key
rest at the other senders as long as the hint is repeated, for `MAX_HOLD_US` at most. A hint that is lost or late can
cost the order, nothing else.

`pending_order_keys.py` calls it. All times are whole microseconds of the member's own clock, which goes on while the
machine sleeps.
"""

from collections.abc import Collection, Iterable, Set

from cedarwick.fleet.messages import MOST_KEYS

SEND_INTERVAL_US = 250_000  # between two peer messages while anything is owed
HINT_LIFETIME_US = 1_000_000  # that a hint counts: three peer messages in a row may be lost
MAX_HOLD_US = 5_000_000  # that a key rests for others, at most


class OrderKeyHints:
    """The hints sent to the others, and those received from them."""

    def __init__(self) -> None:
        self.sent_keys: Set[int] = frozenset()  # keys in the latest message to the others
        self.held_keys: frozenset[int] = frozenset()  # keys that rest here
        self._sent_at = 0
        self._sent_to: Collection[str] = ()
        self._heard: dict[str, tuple[int, frozenset[int]]] = {}
        self._since: dict[int, int] = {}  # by key: since when it has been owed elsewhere without a break

    def receive(self, now: int, sender: str, keys: Iterable[int]) -> None:
        """Take all keys with pending messages at a member; they replace what it sent before."""
        self._heard[sender] = now, frozenset(keys)

    def due_keys(self, now: int, keys: Set[int], others: Collection[str]) -> tuple[int, ...] | None:
        """The keys to send to the others now, `MOST_KEYS` at most; None where nothing is due.

        Once a backlog has ended, an empty message is sent.
        """
        changed = keys - self.sent_keys or set(others) - set(self._sent_to)
        if not (keys or self.sent_keys) or now < self._sent_at + SEND_INTERVAL_US and not (keys and changed):
            return None
        self.sent_keys, self._sent_at, self._sent_to = frozenset(keys), now, tuple(others)
        return tuple(sorted(keys)[:MOST_KEYS])

    def update_held_keys(self, now: int, here: Set[int], in_replicas: Set[int]) -> frozenset[int]:
        """The keys that are to rest here. `here`: those of the own backlog; `in_replicas`: those of replicas here."""
        self._heard = {
            name: (at, keys) for name, (at, keys) in self._heard.items() if now < at + HINT_LIFETIME_US and keys
        }
        # Without the keys of the own backlog: two members that each owe messages of a key would wait for each other.
        owed = frozenset(in_replicas).union(*(keys for _, keys in self._heard.values())) - here
        self._since = {key: self._since.get(key, now) for key in owed}
        self.held_keys = frozenset(key for key, since in self._since.items() if now < since + MAX_HOLD_US)
        return self.held_keys
