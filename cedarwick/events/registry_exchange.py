"""Exchanges the registry of subscriptions with the other members: changes immediately, digests periodically.

Called by `exchange.py`; `anti_entropy.py` builds and merges the peer messages. Times are microseconds unless a name
ends in `_S` (seconds).
"""

from collections.abc import Callable, Iterable

import gevent

from cedarwick.errors import CedarwickError
from cedarwick.events.anti_entropy import RegistrySync
from cedarwick.events.registry import MergeResult
from cedarwick.fleet.messages import Body, Subscribe
from cedarwick.net.counters import Counters

COMPARE_INTERVAL = 5_000_000  # microseconds between two comparisons with a member if nothing has changed
RETRY_AFTER = 1_000_000  # microseconds until a comparison that failed or was incomplete is repeated
ANSWER_TIMEOUT_S = 0.4  # timeout of a call to another member


class MergeRefusedError(CedarwickError):
    """Entries of another member's registry were not merged."""

    code = "CW838"
    remedy = "compare the clocks of the two machines; one that was cut off for long begins anew by itself"


class RegistryExchange:
    """Records what each member has of this member's registry, and sends it the rest."""

    def __init__(
        self,
        name: str,
        registry_sync: RegistrySync,
        counters: Counters,
        call: Callable[[str, Body, float], Body | None],
        wall_time: Callable[[], int],
        on_merged: Callable[[list[str], str], None],
    ) -> None:
        """`call` sends a message to a member and waits up to the given seconds for its answer.

        `wall_time` returns the wall clock in microseconds. `on_merged` is called with the names of entries that
        another member has changed, and the name of that member.
        """
        self.name = name
        self.registry_sync = registry_sync
        self.counters = counters
        self.call = call
        self.wall_time = wall_time
        self.on_merged = on_merged
        self.unsent: dict[str, set[str]] = {}  # by member: subscriptions not sent to it yet
        self.agreed_digests: dict[str, int] = {}  # by member: this member's digest at the last exchange
        self.next_comparison_at: dict[str, int] = {}  # by member: when to compare next if nothing changes
        self.retry_at: dict[str, int] = {}  # by member: when to retry after a failed exchange
        self.exchanging: set[str] = set()  # members with which an exchange is under way

    def mark_unsent(self, names: Iterable[str], members: Iterable[str]) -> None:
        """Record that members lack the newest versions of these entries."""
        for member in members:
            self.unsent.setdefault(member, set()).update(names)

    def start_due_exchanges(self, now: int, alive: Iterable[str]) -> None:
        """Start the exchanges that are due, each in its own greenlet."""
        digest = self.registry_sync.digest()
        for name in alive:
            new = bool(self.unsent.get(name)) or self.agreed_digests.get(name) != digest
            due = new and now >= self.retry_at.get(name, 0) or now >= self.next_comparison_at.get(name, 0)
            if name != self.name and due and name not in self.exchanging:
                self.exchanging.add(name)
                gevent.spawn(self._exchange, now, name)

    def merge(self, sender: str, received: Subscribe) -> None:
        """Merge another member's entries and report the changed ones to `on_merged`."""
        entries = self.registry_sync.registry.entries
        before = dict(entries) if received.entries else {}
        result = self.registry_sync.merge_entries(self.wall_time(), received)
        if result is not MergeResult.MERGED:
            self.counters.warning("subscriptions of another member", MergeRefusedError(f"{sender}: {result.value}"))
            return
        entries = self.registry_sync.registry.entries
        changed = [name for name in received.entries if name in entries and before.get(name) is not entries[name]]
        if changed:
            self.on_merged(changed, sender)

    def send(self, name: str, peer_message: Subscribe) -> Subscribe | None:
        """Send a message to a member and merge its answer; returns the answer, None if there was none."""
        answer = self.call(name, peer_message, ANSWER_TIMEOUT_S)
        if not isinstance(answer, Subscribe):
            return None
        self.merge(name, answer)
        return answer

    def _exchange(self, now: int, name: str) -> None:
        try:
            self.next_comparison_at[name] = now + (COMPARE_INTERVAL if self._compare(now, name) else RETRY_AFTER)
        finally:
            self.exchanging.discard(name)

    def _compare(self, now: int, name: str) -> bool:
        """Send a member the entries that it lacks and compare digests; returns whether the registries are equal."""
        names = self.unsent.pop(name, set())
        answer = self.send(name, self.registry_sync.peer_message(names))
        if answer is None:
            self.unsent.setdefault(name, set()).update(names)
            self.retry_at[name] = now + RETRY_AFTER
            return False
        if answer.bucket_digests and (request := self.registry_sync.request_differing(answer)) is not None:
            answer = self.send(name, request) or answer
        self.agreed_digests[name] = self.registry_sync.digest()
        return answer.digest == self.agreed_digests[name]
