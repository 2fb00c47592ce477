"""Order key hints: keys that are held back here since another sender has earlier messages of them. No I/O.

After a change among the members, a client may submit a message of a key at another sender than the one that still has
earlier messages of that key. So each member sends the others, as `PendingOrderKeys`, the keys of its pending messages
from before the last change (its backlog) and of the messages in its replicas whose holder is silent. The other senders
hold back new messages of such a key as long as the hint is repeated, but for `MAX_HOLD_US` at most. A lost or late hint
can only cause messages to be delivered out of order.

`pending_order_keys.py` calls it. All times are whole microseconds of the member's own clock, which continues while the
machine sleeps.
"""

from collections.abc import Collection, Iterable, Set

from cedarwick.fleet.messages import MAX_ORDER_KEYS

SEND_INTERVAL_US = 250_000  # between two hints while messages are pending
HINT_LIFETIME_US = 1_000_000  # for which a hint is valid: three hints in a row may be lost
MAX_HOLD_US = 5_000_000  # for which a key is held back for other members, at most


class OrderKeyHints:
    """The hints sent to the others, and those received from them."""

    def __init__(self) -> None:
        self.sent_keys: Set[int] = frozenset()  # the keys in the latest hint to the others
        self.held_keys: frozenset[int] = frozenset()  # the keys that are held back here
        self._sent_at = 0
        self._sent_to: Collection[str] = ()
        self._received: dict[str, tuple[int, frozenset[int]]] = {}
        self._held_since: dict[int, int] = {}  # by key: since when other members have had it pending without a break

    def receive(self, now: int, sender: str, keys: Iterable[int]) -> None:
        """Record the keys of a member's hint; they replace those that it sent before."""
        self._received[sender] = now, frozenset(keys)

    def due_keys(self, now: int, keys: Set[int], recipients: Collection[str]) -> tuple[int, ...] | None:
        """The keys to send to the other members now, `MAX_ORDER_KEYS` at most; None if no hint is due.

        Once the backlog is empty, one empty hint is sent.
        """
        changed = keys - self.sent_keys or set(recipients) - set(self._sent_to)
        if not (keys or self.sent_keys) or now < self._sent_at + SEND_INTERVAL_US and not (keys and changed):
            return None
        self.sent_keys, self._sent_at, self._sent_to = frozenset(keys), now, tuple(recipients)
        return tuple(sorted(keys)[:MAX_ORDER_KEYS])

    def update_held_keys(self, now: int, own_backlog: Set[int], in_replicas: Set[int]) -> frozenset[int]:
        """Update and return the keys to hold back here.

        `own_backlog`: the keys of this member's backlog; `in_replicas`: those of its replicas whose holder is silent.
        """
        self._received = {
            name: (at, keys) for name, (at, keys) in self._received.items() if now < at + HINT_LIFETIME_US and keys
        }
        # The own backlog is excluded: two members with pending messages of a key would wait for each other.
        keys_elsewhere = frozenset(in_replicas).union(*(keys for _, keys in self._received.values())) - own_backlog
        self._held_since = {key: self._held_since.get(key, now) for key in keys_elsewhere}
        self.held_keys = frozenset(key for key, since in self._held_since.items() if now < since + MAX_HOLD_US)
        return self.held_keys
