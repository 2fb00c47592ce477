"""The registry of subscriptions, replicated to every member. No clock, no I/O; times are wall-clock microseconds.

Two entries are merged by taking the larger in one total order, so the merge is commutative, associative and idempotent
(a state-based CRDT: Shapiro et al., 2011). Version counters follow the clock if it is ahead of them (hybrid logical
clocks: Kulkarni et al., 2014), so a member that has lost its state still makes versions newer than its earlier ones.

An ended entry stays as a tombstone for TOMBSTONE_EPOCHS. A member that was away for longer could revive entries that it
still has as live, so every registry carries an epoch: the time slice in which its member was last with a majority, or
started empty. A registry more than MAX_EPOCHS_AWAY behind is refused; its member discards its live entries once it is
with a majority again, and receives those of the other members. The state that a member reads from its folder at a start
(`subscription_store.py`) is its own earlier state, so a restart is treated like a machine that slept since then.

Whether a subscription without a follower has expired depends on its entry alone, which holds its lifetime. The age of
an entry is measured by the wall clock, corrected for jumps of the clock since the entry arrived at this member. Used by
`exchange.py` and `anti_entropy.py`.
"""

import re
from collections.abc import Iterable
from enum import Enum

import msgspec

from cedarwick.errors import CedarwickError

SECOND = 1_000_000
DEFAULT_LIFETIME = 3600 * SECOND  # microseconds without a follower until a subscription ends
MIN_LIFETIME = 60 * SECOND  # microseconds; the smallest value of the setting
# Not above MAX_EPOCHS_AWAY: a subscription with a longer lifetime could be lost only because its member was away.
MAX_LIFETIME = 12 * 3600 * SECOND  # microseconds; the largest value of the setting
EPOCH_LENGTH = 3600 * SECOND  # microseconds
TOMBSTONE_EPOCHS = 24  # epochs for which tombstones stay
# A member that was away for longer starts over; the rest of TOMBSTONE_EPOCHS leaves time for tombstones to spread.
MAX_EPOCHS_AWAY = 12
MAX_CLOCK_SKEW = 300 * SECOND  # microseconds by which members' wall clocks may differ
MAX_ENTRIES = 20_000  # entries, tombstones among them
MAX_FILTER_BYTES = 4096  # bytes of a filter's text
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


class SubscriptionNameError(CedarwickError):
    """The name of a subscription is invalid."""

    code = "CW821"
    remedy = "name it with 1 to 64 letters, digits, dots, dashes and underscores, a letter or digit first"


class NotFollowedError(CedarwickError):
    """No live subscription has the given name."""

    code = "CW822"
    remedy = "follow it with its filter first; one that nobody followed for fleet.follow_s has ended"


class TooManySubscriptionsError(CedarwickError):
    """The limit of subscriptions in the fleet is reached; those that ended within the last day count."""

    code = "CW823"
    remedy = "end subscriptions that are not needed, or follow again once those ended a day ago are forgotten"


class Entry(msgspec.Struct, frozen=True, order=True, omit_defaults=True):
    """A subscription. The order of entries, field by field, decides which of two is newer."""

    counter: int  # version counter: wall clock in microseconds, or one more than that of the previous version
    member: str  # the member that made the version, and to which the subscriber connected; breaks ties
    ended: bool
    filter: str
    followed_at: int  # microseconds of the wall clock
    lasts: int = DEFAULT_LIFETIME  # microseconds without a follower; set by the member that it was last followed at

    @property
    def version(self) -> tuple[int, str, bool, str, int]:
        """All fields except `followed_at`."""
        return self.counter, self.member, self.ended, self.filter, self.lasts

    @property
    def is_valid(self) -> bool:
        """Whether its member's name, the size of its filter and its lifetime are within the limits."""
        return (
            len(self.filter.encode(errors="replace")) <= MAX_FILTER_BYTES
            and NAME.fullmatch(self.member) is not None
            and MIN_LIFETIME <= self.lasts <= MAX_LIFETIME
        )


def newer_entry(held: Entry | None, other: Entry) -> Entry:
    """Merge two entries by returning the newer one; the order of several merges does not matter."""
    return other if held is None else max(held, other)


class MergeResult(Enum):
    """The result of merging another member's registry."""

    MERGED = "joined"
    SENDER_OUTDATED = "its member was away from a majority for too long: it starts anew once it is with one"
    RECEIVER_OUTDATED = "this member was away from a majority for too long: it starts anew once it is with one"
    CLOCK_SKEWED = "one of the two clocks is off by more than five minutes"


class Registry:
    """One member's replica of all subscriptions, by name.

    `lifetime`: microseconds without a follower until a subscription followed at this member ends.
    """

    def __init__(self, member: str, now: int, lifetime: int = DEFAULT_LIFETIME) -> None:
        self.member = member
        self.lifetime = lifetime
        self.entries: dict[str, Entry] = {}
        self.epoch = now // EPOCH_LENGTH
        self.clock_corrections: dict[str, int] = {}  # by name: microseconds of clock jumps to subtract from its age

    def restore(self, now: int, written_at: int, epoch: int, entries: Iterable[tuple[str, Entry]]) -> None:
        """Restore this member's saved state, as if the machine had slept since `written_at` (wall clock at that time).

        Entries that were live then retain at least a quarter of their lifetime, so that their subscribers can
        reconnect. If the member was away for too long by the clock, only ended entries are restored.
        """
        away = now // EPOCH_LENGTH - epoch > MAX_EPOCHS_AWAY
        self.epoch = now // EPOCH_LENGTH if away else min(epoch, now // EPOCH_LENGTH)
        for name, entry in entries:
            if (
                not entry.is_valid
                or not NAME.fullmatch(name)
                or away
                and not entry.ended
                or len(self.entries) >= MAX_ENTRIES
            ):
                continue
            age = max(now, written_at) - entry.followed_at
            if max(entry.counter, entry.followed_at) > now + MAX_CLOCK_SKEW:
                # The clock was ahead when the entry was saved. Other members refuse entries later than their clocks,
                # and the entry would live too long by the error. A live entry gets the lowest version, so that it
                # loses to any other; an ended one gets the current time, so that it does not lose to an older one.
                age = max(0, written_at - entry.followed_at)
                entry = msgspec.structs.replace(entry, counter=now if entry.ended else 0, followed_at=now - age)
            if not entry.ended and age <= entry.lasts + max(0, now - written_at):
                # Nobody can follow while all members are down; a clock set meanwhile would expire everything at once.
                age = min(age, entry.lasts - entry.lasts // 4)
            self.entries[name] = entry
            self.clock_corrections[name] = now - entry.followed_at - age

    def follow(self, now: int, name: str, text: str) -> Entry:
        """Register a subscriber at this member; `text` is the canonical text of its filter.

        Raises SubscriptionNameError and TooManySubscriptionsError.
        """
        if not NAME.fullmatch(name):
            raise SubscriptionNameError(f"'{name[:80]}' can't name a subscription")
        held = self.entries.get(name)
        if held is None and len(self.entries) >= MAX_ENTRIES:
            raise TooManySubscriptionsError(f"{MAX_ENTRIES} subscriptions are held, '{name}' would be one more")
        # Always make a new version; the same one would lose to a version of a member not heard from yet.
        return self._put(now, name, Entry(self._next_counter(now, held), self.member, False, text, now, self.lifetime))

    def renew(self, now: int, name: str) -> Entry:
        """Renew a subscription whose subscriber is still connected, when `renewal_due`. Raises NotFollowedError."""
        held = self._live_entry(now, name)
        # `followed_at` must advance even after the clock was set back, or the entry would expire at other members.
        renewed_at = max(now, held.followed_at + max(0, self.age(now, name)))
        return self._put(now, name, msgspec.structs.replace(held, followed_at=renewed_at, lasts=self.lifetime))

    def renewal_due(self, now: int, name: str) -> bool:
        """Whether to call `renew`: a quarter of the lifetime has passed, or the lifetime setting has changed."""
        lasts = self.entries[name].lasts
        return lasts != self.lifetime or self.age(now, name) > lasts // 4

    def end(self, now: int, name: str) -> Entry:
        """End a subscription at all members. Raises NotFollowedError."""
        held = self._live_entry(now, name)
        return self._put(
            now, name, Entry(self._next_counter(now, held), self.member, True, held.filter, now, held.lasts)
        )

    def age(self, now: int, name: str) -> int:
        """Microseconds since a subscription in the registry was last followed, as far as this member knows."""
        return now - self.entries[name].followed_at - self.clock_corrections.get(name, 0)

    def is_live(self, now: int, name: str) -> bool:
        """Whether a subscription is in the registry, not ended and not expired."""
        entry = self.entries.get(name)
        return entry is not None and not entry.ended and self.age(now, name) <= entry.lasts

    def live_entries(self, now: int) -> dict[str, Entry]:
        """The live subscriptions, by name."""
        return {name: entry for name, entry in self.entries.items() if self.is_live(now, name)}

    def correct_clock_jump(self, jump: int) -> None:
        """Correct all ages for a jump of the wall clock by `jump` microseconds."""
        # Without the correction, a clock set forward by an hour would expire all entries at once, and one set back
        # would keep entries for too long.
        self.clock_corrections = {name: self.clock_corrections.get(name, 0) + jump for name in self.entries}

    def tick(self, now: int, with_majority: bool) -> list[str]:
        """Advance the epoch while with a majority, and drop entries that are too old.

        Returns the names of live subscriptions discarded because this member was away for too long. Their subscribers
        must follow again; if they have followed at another member, the other members have their entries.
        """
        discarded: list[str] = []
        # Only with a majority: a member that advanced its epoch while cut off would never be refused.
        if with_majority:
            if now // EPOCH_LENGTH - self.epoch > MAX_EPOCHS_AWAY:
                discarded = sorted(self.live_entries(now))
                # Ended entries stay: this may be the only member that has them, and they cannot revive a subscription.
                self.entries = {name: entry for name, entry in self.entries.items() if entry.ended}
            self.epoch = max(self.epoch, now // EPOCH_LENGTH)
        self.entries = {name: entry for name, entry in self.entries.items() if not self._is_outdated(entry)}
        if len(self.clock_corrections) > len(self.entries):
            self.clock_corrections = {
                name: jump for name, jump in self.clock_corrections.items() if name in self.entries
            }
        return discarded

    def merge(self, now: int, epoch: int, other_entries: Iterable[tuple[str, Entry]]) -> MergeResult:
        """Merge all or a part of another member's registry, without invalid entries; returns the result."""
        other_entries = list(other_entries)
        # A clock far ahead would make all other registries seem too old, or an entry live almost forever.
        if epoch * EPOCH_LENGTH > now + MAX_CLOCK_SKEW or any(
            each.counter > now + MAX_CLOCK_SKEW or each.followed_at > now + MAX_CLOCK_SKEW for _, each in other_entries
        ):
            return MergeResult.CLOCK_SKEWED
        # A member that was away for longer than tombstones are retained may have entries as live that have ended since.
        if epoch < self.epoch - MAX_EPOCHS_AWAY:
            return MergeResult.SENDER_OUTDATED
        if self.epoch < epoch - MAX_EPOCHS_AWAY:
            return MergeResult.RECEIVER_OUTDATED
        for name, entry in other_entries:
            if not self._is_outdated(entry) and entry.is_valid and NAME.fullmatch(name):
                held = self.entries.get(name)
                if held is not None or len(self.entries) < MAX_ENTRIES:
                    self._put(now, name, newer_entry(held, entry))
        return MergeResult.MERGED

    def _put(self, now: int, name: str, entry: Entry) -> Entry:
        correction = self.clock_corrections.pop(name, 0)
        if correction:
            if self.entries.get(name) != entry:
                # Only the part of the jump after the new `followed_at` still applies.
                correction = sorted((0, correction, now - entry.followed_at))[1]
            self.clock_corrections[name] = correction
        self.entries[name] = entry
        return entry

    def _live_entry(self, now: int, name: str) -> Entry:
        if not self.is_live(now, name):
            raise NotFollowedError(f"no subscription is called '{name[:80]}'")
        return self.entries[name]

    def _is_outdated(self, entry: Entry) -> bool:
        """Whether an entry is too old to retain; this depends on the epoch, so members in the same epoch agree."""
        return max(entry.counter, entry.followed_at) // EPOCH_LENGTH < self.epoch - TOMBSTONE_EPOCHS

    @staticmethod
    def _next_counter(now: int, held: Entry | None) -> int:
        return max(now, held.counter + 1 if held is not None else 0)
