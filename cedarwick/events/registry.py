"""The registry of subscriptions, replicated to every member. No clock, no I/O; times are wall-clock microseconds.

Entries are merged by taking the larger in one total order, so that the merge is commutative, associative and idempotent
(a state-based CRDT: Shapiro et al., 2011). Version counters follow the clock where it is ahead (hybrid logical clocks:
Kulkarni et al., 2014), so that a member which has lost its state still makes newer versions than before.

An ended entry stays as a tombstone for TOMBSTONE_EPOCHS. A member that was away for longer could bring back entries
that it still has as live, so every registry carries an epoch: the time slice in which its member was last with a
majority, or started empty. A registry more than MAX_EPOCHS_AWAY behind is refused; its member discards its live entries
once it is with a majority again, and takes those of the others from there. The state that a member reads from its
folder at a start (`subscription_store.py`) is its own at an earlier time: a restart is treated like a sleep since then.

Whether a subscription without a follower has expired is decided by its entry alone, which holds its lifetime. Its age
is measured by the wall clock, corrected for jumps of the clock since the entry arrived here. Used by `exchange.py` and
`anti_entropy.py`.
"""

import re
from collections.abc import Iterable
from enum import Enum

import msgspec

from cedarwick.errors import CedarwickError

SECOND = 1_000_000
DEFAULT_LIFETIME = 3600 * SECOND  # microseconds without a follower until a subscription ends
MIN_LIFETIME = 60 * SECOND  # microseconds; the least that may be set
# Less than MAX_EPOCHS_AWAY: a subscription with a longer lifetime could be lost just because its member was away.
MAX_LIFETIME = 12 * 3600 * SECOND  # microseconds; the most that may be set
EPOCH_LENGTH = 3600 * SECOND  # microseconds
TOMBSTONE_EPOCHS = 24  # epochs for which tombstones stay
# A member that was away for longer starts anew; the rest of TOMBSTONE_EPOCHS leaves time for its entries to spread.
MAX_EPOCHS_AWAY = 12
MAX_CLOCK_SKEW = 300 * SECOND  # microseconds by which members' wall clocks may differ
MAX_ENTRIES = 20_000  # entries, tombstones among them
MAX_FILTER_BYTES = 4096  # of a filter's text
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


class SubscriptionNameError(CedarwickError):
    """A subscription's name can't be used."""

    code = "CW821"
    remedy = "name it with 1 to 64 letters, digits, dots, dashes and underscores, a letter or digit first"


class NotFollowedError(CedarwickError):
    """No subscription has the name."""

    code = "CW822"
    remedy = "follow it with its filter first; one that nobody followed for fleet.follow_s has ended"


class TooManySubscriptionsError(CedarwickError):
    """The fleet holds as many subscriptions as it may, ended ones of the last day among them."""

    code = "CW823"
    remedy = "end subscriptions that are not needed, or follow again once those ended a day ago are forgotten"


class Entry(msgspec.Struct, frozen=True, order=True, omit_defaults=True):
    """A subscription. Order decides which of two is the newer, field by field."""

    counter: int  # of its version; microseconds, or one more than the version before
    member: str  # the member that made the version, where the subscriber is; breaks ties of counters
    ended: bool
    filter: str
    followed_at: int  # microseconds of the wall clock
    lasts: int = DEFAULT_LIFETIME  # microseconds without a follower; set by the member where it was last followed

    @property
    def version(self) -> tuple[int, str, bool, str, int]:
        """All but when it was followed."""
        return self.counter, self.member, self.ended, self.filter, self.lasts

    @property
    def is_valid(self) -> bool:
        """Whether its sizes are what a member may send."""
        return (
            len(self.filter.encode(errors="replace")) <= MAX_FILTER_BYTES
            and NAME.fullmatch(self.member) is not None
            and MIN_LIFETIME <= self.lasts <= MAX_LIFETIME
        )


def newer_entry(held: Entry | None, other: Entry) -> Entry:
    """Merge two entries: the newer one. The order of several merges does not matter."""
    return other if held is None else max(held, other)


class MergeResult(Enum):
    """The result of merging another member's registry."""

    MERGED = "joined"
    SENDER_OUTDATED = "its member was away from a majority for too long: it starts anew once it is with one"
    RECEIVER_OUTDATED = "this member was away from a majority for too long: it starts anew once it is with one"
    CLOCK_SKEWED = "one of the two clocks is off by more than five minutes"


class Registry:
    """All subscriptions by name, at one member. `lasts`: lifetime without a follower of those followed here."""

    def __init__(self, member: str, now: int, lifetime: int = DEFAULT_LIFETIME) -> None:
        self.member = member
        self.lifetime = lifetime
        self.entries: dict[str, Entry] = {}
        self.epoch = now // EPOCH_LENGTH
        self.clock_corrections: dict[str, int] = {}  # by name: microseconds of clock jumps that are not part of its age

    def restore(self, now: int, written_at: int, epoch: int, entries: Iterable[tuple[str, Entry]]) -> None:
        """Start from this member's saved state, as if it had slept since `written_at` (wall clock at that time).

        Entries live at that time keep at least a quarter of their lifetime, so that their subscribers can return. If
        the member was away for too long by the clock, only ended entries are restored.
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
                # The clock was ahead when this was saved. Other members refuse entries later than their clocks, and its
                # lifetime would be too long by the error. A live entry then loses to any other version, an end does
                # not lose to an older one.
                age = max(0, written_at - entry.followed_at)
                entry = msgspec.structs.replace(entry, counter=now if entry.ended else 0, followed_at=now - age)
            if not entry.ended and age <= entry.lasts + max(0, now - written_at):
                # While all members are down nobody can follow; a clock set meanwhile would expire everything at once.
                age = min(age, entry.lasts - entry.lasts // 4)
            self.entries[name] = entry
            self.clock_corrections[name] = now - entry.followed_at - age

    def follow(self, now: int, name: str, text: str) -> Entry:
        """Register a subscriber at this member; `text` is its filter's canonical text.

        Raises SubscriptionNameError and TooManySubscriptionsError.
        """
        if not NAME.fullmatch(name):
            raise SubscriptionNameError(f"'{name[:80]}' can't name a subscription")
        held = self.entries.get(name)
        if held is None and len(self.entries) >= MAX_ENTRIES:
            raise TooManySubscriptionsError(f"{MAX_ENTRIES} subscriptions are held, '{name}' would be one more")
        # Always a new version: otherwise this would lose to an older one at a member not heard from yet.
        return self._put(now, name, Entry(self._next_counter(now, held), self.member, False, text, now, self.lifetime))

    def renew(self, now: int, name: str) -> Entry:
        """Renew a subscription whose subscriber is still here, when it is `due`. Raises NotFollowedError."""
        held = self._live_entry(now, name)
        # After a clock was set back, the time must not stand still: it would expire at the other members.
        at = max(now, held.followed_at + max(0, self.age(now, name)))
        return self._put(now, name, msgspec.structs.replace(held, followed_at=at, lasts=self.lifetime))

    def renewal_due(self, now: int, name: str) -> bool:
        """Whether to call `followed`: a quarter of its lifetime has passed, or the lifetime was changed."""
        lasts = self.entries[name].lasts
        return lasts != self.lifetime or self.age(now, name) > lasts // 4

    def end(self, now: int, name: str) -> Entry:
        """End a subscription for everyone. Raises NotFollowedError."""
        held = self._live_entry(now, name)
        return self._put(
            now, name, Entry(self._next_counter(now, held), self.member, True, held.filter, now, held.lasts)
        )

    def age(self, now: int, name: str) -> int:
        """Microseconds since a known subscription was last followed, as far as this member knows."""
        return now - self.entries[name].followed_at - self.clock_corrections.get(name, 0)

    def is_live(self, now: int, name: str) -> bool:
        """Whether a subscription is known, not ended and not expired."""
        entry = self.entries.get(name)
        return entry is not None and not entry.ended and self.age(now, name) <= entry.lasts

    def live_entries(self, now: int) -> dict[str, Entry]:
        """The live subscriptions, by name."""
        return {name: entry for name, entry in self.entries.items() if self.is_live(now, name)}

    def correct_clock_jump(self, by: int) -> None:
        """Correct all ages for a jump of the wall clock by `by` microseconds."""
        # Otherwise a clock set forward by an hour would expire everything at once, and one set back would keep entries
        # too long.
        self.clock_corrections = {name: self.clock_corrections.get(name, 0) + by for name in self.entries}

    def tick(self, now: int, with_majority: bool) -> list[str]:
        """Advance the epoch while with a majority, and drop entries that are too old.

        Returns the names of live subscriptions discarded because this member was away for too long. Their subscribers
        must follow again; if they have followed elsewhere, the other members know them.
        """
        lost: list[str] = []
        # Only with a majority: a member cut off that advanced its epoch would be trusted after any time away.
        if with_majority:
            if now // EPOCH_LENGTH - self.epoch > MAX_EPOCHS_AWAY:
                lost = sorted(self.live_entries(now))
                # Ended entries stay: this may be the only member that knows them, and they revive nothing.
                self.entries = {name: entry for name, entry in self.entries.items() if entry.ended}
            self.epoch = max(self.epoch, now // EPOCH_LENGTH)
        self.entries = {name: entry for name, entry in self.entries.items() if not self._is_outdated(entry)}
        if len(self.clock_corrections) > len(self.entries):
            self.clock_corrections = {name: by for name, by in self.clock_corrections.items() if name in self.entries}
        return lost

    def merge(self, now: int, epoch: int, theirs: Iterable[tuple[str, Entry]]) -> MergeResult:
        """Merge another member's registry, or parts of it; invalid entries are skipped. Returns the verdict."""
        theirs = list(theirs)
        # A clock far ahead would make all other registries look too old, or an entry live almost forever.
        if epoch * EPOCH_LENGTH > now + MAX_CLOCK_SKEW or any(
            each.counter > now + MAX_CLOCK_SKEW or each.followed_at > now + MAX_CLOCK_SKEW for _, each in theirs
        ):
            return MergeResult.CLOCK_SKEWED
        # A member that was away for longer than tombstones are retained may have live entries that ended meanwhile.
        if epoch < self.epoch - MAX_EPOCHS_AWAY:
            return MergeResult.SENDER_OUTDATED
        if self.epoch < epoch - MAX_EPOCHS_AWAY:
            return MergeResult.RECEIVER_OUTDATED
        for name, entry in theirs:
            if not self._is_outdated(entry) and entry.is_valid and NAME.fullmatch(name):
                held = self.entries.get(name)
                if held is not None or len(self.entries) < MAX_ENTRIES:
                    self._put(now, name, newer_entry(held, entry))
        return MergeResult.MERGED

    def _put(self, now: int, name: str, entry: Entry) -> Entry:
        correction = self.clock_corrections.pop(name, 0)
        if correction:
            if self.entries.get(name) != entry:
                # Only the part of the jump since the new `followed_at` still applies.
                correction = sorted((0, correction, now - entry.followed_at))[1]
            self.clock_corrections[name] = correction
        self.entries[name] = entry
        return entry

    def _live_entry(self, now: int, name: str) -> Entry:
        if not self.is_live(now, name):
            raise NotFollowedError(f"no subscription is called '{name[:80]}'")
        return self.entries[name]

    def _is_outdated(self, entry: Entry) -> bool:
        """Whether an entry is too old to retain; decided by the epoch, so that members in the same epoch agree."""
        return max(entry.counter, entry.followed_at) // EPOCH_LENGTH < self.epoch - TOMBSTONE_EPOCHS

    @staticmethod
    def _next_counter(now: int, held: Entry | None) -> int:
        return max(now, held.counter + 1 if held is not None else 0)
