"""Which subscriptions there are, the same at every member once they have exchanged them. No clock, no I/O.

Each member holds all of them. Entries are joined by taking the larger in one total order, so that the join is
commutative, associative and idempotent (a state-based CRDT: Shapiro et al., 2011). Counters of versions follow the
clock where it is ahead (hybrid logical clocks: Kulkarni et al., 2014), so a member that has forgotten everything
still makes newer versions than its earlier ones.

An entry that was ended stays as a tombstone for TOMBSTONE_EPOCHS. A member that was away for longer could bring back
what it still holds alive, so every registry carries an epoch: the slice of time in which its member last was with a
majority, or began with nothing. One that is more than MAX_EPOCHS_AWAY behind is refused; its member throws away what it
holds alive once it is with a majority again, and takes the others' entries from there. What a member reads from its
folder at a start (`subscription_store.py`) is what it was at an earlier time: a restart is a sleep since then, and no
more is needed.

Whether a subscription that nobody follows has ended is seen from its entry alone, which says how long it lasts without
a follower. Its age is counted by the wall clock, but for what that has jumped since the entry came here.
"""

import re
from collections.abc import Iterable
from enum import Enum

import msgspec

from cedarwick.errors import CedarwickError

SECOND = 1_000_000
DEFAULT_LIFETIME = 3600 * SECOND  # microseconds without a follower until a subscription ends
MIN_LIFETIME = 60 * SECOND  # microseconds; the least that may be set
# Danger: a subscription that lasts longer than MAX_EPOCHS_AWAY would be lost by its member being away alone.
MAX_LIFETIME = 12 * 3600 * SECOND  # microseconds; the most that may be set
EPOCH_LENGTH = 3600 * SECOND  # microseconds
TOMBSTONE_EPOCHS = 24  # how long tombstones stay
# A member that was away for longer starts anew; the rest of TOMBSTONE_EPOCHS is for it to be heard.
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
    member: str  # who made the version, and where the subscriber is; decides between equal counters
    ended: bool
    filter: str
    followed_at: int  # microseconds of the wall clock
    lasts: int = (
        DEFAULT_LIFETIME  # microseconds without a follower; by the word of the member where it was followed last
    )

    @property
    def version(self) -> tuple[int, str, bool, str, int]:
        """All but when it was followed."""
        return self.counter, self.member, self.ended, self.filter, self.lasts

    @property
    def sound(self) -> bool:
        """Whether its sizes are what a member may send."""
        return (
            len(self.filter.encode(errors="replace")) <= MAX_FILTER_BYTES
            and NAME.fullmatch(self.member) is not None
            and MIN_LIFETIME <= self.lasts <= MAX_LIFETIME
        )


def join(held: Entry | None, other: Entry) -> Entry:
    """The newer of two; the same in whichever order many are joined."""
    return other if held is None else max(held, other)


class Verdict(Enum):
    """What became of another's registry."""

    JOINED = "joined"
    AWAY = "its member was away from a majority for too long: it starts anew once it is with one"
    BEHIND = "this member was away from a majority for too long: it starts anew once it is with one"
    AHEAD = "one of the two clocks is off by more than five minutes"


class Registry:
    """All subscriptions by name, at one member. `lasts`: of those that are followed here, without a follower."""

    def __init__(self, member: str, now: int, lasts: int = DEFAULT_LIFETIME) -> None:
        self.member = member
        self.lasts = lasts
        self.entries: dict[str, Entry] = {}
        self.epoch = now // EPOCH_LENGTH
        self.jumped: dict[str, int] = {}  # by name: microseconds that are no part of its age, as the clock has jumped

    def restore(self, now: int, written_at: int, epoch: int, entries: Iterable[tuple[str, Entry]]) -> None:
        """Begin with what this member was at an earlier time: it has slept since `written_at` of the wall clock then.

        What lived then is left a quarter of its time at least, for its subscriber to come back; what the clock says
        was away for too long is left out, but for what has ended.
        """
        away = now // EPOCH_LENGTH - epoch > MAX_EPOCHS_AWAY
        self.epoch = now // EPOCH_LENGTH if away else min(epoch, now // EPOCH_LENGTH)
        for name, entry in entries:
            if (
                not entry.sound
                or not NAME.fullmatch(name)
                or away
                and not entry.ended
                or len(self.entries) >= MAX_ENTRIES
            ):
                continue
            age = max(now, written_at) - entry.followed_at
            if max(entry.counter, entry.followed_at) > now + MAX_CLOCK_SKEW:
                # Danger: the others refuse all that is later than their clocks, and what it lasts would be as long as
                # the clock was off. What lived then gives way to any other version, an end to none that is older.
                age = max(0, written_at - entry.followed_at)
                entry = msgspec.structs.replace(entry, counter=now if entry.ended else 0, followed_at=now - age)
            if not entry.ended and age <= entry.lasts + max(0, now - written_at):
                # Danger: while all are down nobody can follow; a clock that was set meanwhile would end all at once.
                age = min(age, entry.lasts - entry.lasts // 4)
            self.entries[name] = entry
            self.jumped[name] = now - entry.followed_at - age

    def follow(self, now: int, name: str, text: str) -> Entry:
        """A subscriber is here with a filter's canonical text.

        Raises SubscriptionNameError and TooManySubscriptionsError.
        """
        if not NAME.fullmatch(name):
            raise SubscriptionNameError(f"'{name[:80]}' can't name a subscription")
        held = self.entries.get(name)
        if held is None and len(self.entries) >= MAX_ENTRIES:
            raise TooManySubscriptionsError(f"{MAX_ENTRIES} subscriptions are held, '{name}' would be one more")
        # Danger: without a version of its own, this would give way to an older following at a member not yet heard.
        return self._put(now, name, Entry(self._counter(now, held), self.member, False, text, now, self.lasts))

    def followed(self, now: int, name: str) -> Entry:
        """The subscriber is still here: said at least once in a quarter of what it lasts. Raises NotFollowedError."""
        held = self._living(now, name)
        # Danger: after a clock was set back its time would stand still for the others, and end there.
        at = max(now, held.followed_at + max(0, self.age(now, name)))
        return self._put(now, name, msgspec.structs.replace(held, followed_at=at, lasts=self.lasts))

    def due(self, now: int, name: str) -> bool:
        """Whether it is time to say that the subscriber of one that is held is still here."""
        lasts = self.entries[name].lasts
        return lasts != self.lasts or self.age(now, name) > lasts // 4

    def end(self, now: int, name: str) -> Entry:
        """End a subscription for everyone. Raises NotFollowedError."""
        held = self._living(now, name)
        return self._put(now, name, Entry(self._counter(now, held), self.member, True, held.filter, now, held.lasts))

    def age(self, now: int, name: str) -> int:
        """For how long nobody has followed one that is held, as far as is known here; microseconds."""
        return now - self.entries[name].followed_at - self.jumped.get(name, 0)

    def lives(self, now: int, name: str) -> bool:
        """Whether a subscription is followed, or was not long ago."""
        entry = self.entries.get(name)
        return entry is not None and not entry.ended and self.age(now, name) <= entry.lasts

    def living(self, now: int) -> dict[str, Entry]:
        """The subscriptions to evaluate."""
        return {name: entry for name, entry in self.entries.items() if self.lives(now, name)}

    def stepped(self, by: int) -> None:
        """The wall clock has jumped by so many microseconds; no time has passed."""
        # Danger: a clock that is set on by an hour would end all at once, one set back would keep all for ever.
        self.jumped = {name: self.jumped.get(name, 0) + by for name in self.entries}

    def tick(self, now: int, with_majority: bool) -> list[str]:
        """Move the epoch on while with a majority, and forget what may be forgotten.

        Gives the names of living subscriptions that were thrown away as this member was away for too long: their
        subscribers are told to follow again, and are heard of from others if they have followed elsewhere.
        """
        lost: list[str] = []
        # Danger: a member cut off that let its epoch go on would be trusted again after any time away.
        if with_majority:
            if now // EPOCH_LENGTH - self.epoch > MAX_EPOCHS_AWAY:
                lost = sorted(self.living(now))
                # What has ended stays: it may be known here alone, and brings nothing back.
                self.entries = {name: entry for name, entry in self.entries.items() if entry.ended}
            self.epoch = max(self.epoch, now // EPOCH_LENGTH)
        self.entries = {name: entry for name, entry in self.entries.items() if not self._forgotten(entry)}
        if len(self.jumped) > len(self.entries):
            self.jumped = {name: by for name, by in self.jumped.items() if name in self.entries}
        return lost

    def merge(self, now: int, epoch: int, theirs: Iterable[tuple[str, Entry]]) -> Verdict:
        """Join another's registry, or pieces of it, into this one. Unsound entries are left out."""
        theirs = list(theirs)
        # Danger: one clock that is far ahead would make everyone else's registry too old, or an entry live for ever.
        if epoch * EPOCH_LENGTH > now + MAX_CLOCK_SKEW or any(
            each.counter > now + MAX_CLOCK_SKEW or each.followed_at > now + MAX_CLOCK_SKEW for _, each in theirs
        ):
            return Verdict.AHEAD
        # Danger: who was away for longer than tombstones are kept may still hold alive what was ended meanwhile.
        if epoch < self.epoch - MAX_EPOCHS_AWAY:
            return Verdict.AWAY
        if self.epoch < epoch - MAX_EPOCHS_AWAY:
            return Verdict.BEHIND
        for name, entry in theirs:
            if not self._forgotten(entry) and entry.sound and NAME.fullmatch(name):
                held = self.entries.get(name)
                if held is not None or len(self.entries) < MAX_ENTRIES:
                    self._put(now, name, join(held, entry))
        return Verdict.JOINED

    def _put(self, now: int, name: str, entry: Entry) -> Entry:
        jumped = self.jumped.pop(name, 0)
        if jumped:
            if self.entries.get(name) != entry:
                # Of a jump as much counts on as the word that has come now does not speak of.
                jumped = sorted((0, jumped, now - entry.followed_at))[1]
            self.jumped[name] = jumped
        self.entries[name] = entry
        return entry

    def _living(self, now: int, name: str) -> Entry:
        if not self.lives(now, name):
            raise NotFollowedError(f"no subscription is called '{name[:80]}'")
        return self.entries[name]

    def _forgotten(self, entry: Entry) -> bool:
        """Whether an entry is too old to be kept: by the epoch, so that all who share it agree."""
        return max(entry.counter, entry.followed_at) // EPOCH_LENGTH < self.epoch - TOMBSTONE_EPOCHS

    @staticmethod
    def _counter(now: int, held: Entry | None) -> int:
        return max(now, held.counter + 1 if held is not None else 0)
