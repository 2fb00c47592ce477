"""Which subscriptions there are, the same at every member once they have spoken; told the time, no I/O.

Each member holds all of them. Entries are joined by taking the larger in one total order, so that the join is
commutative, associative and idempotent (a state-based CRDT: Shapiro et al., 2011). Counters of versions follow the
clock where it is ahead (hybrid logical clocks: Kulkarni et al., 2014), so a member that has forgotten everything
still makes newer versions than its earlier ones.

An entry that was ended stays as a tombstone for KEEP epochs. A member that was away for longer could bring back what
it still holds alive, so every registry carries an epoch: the slice of time in which its member last was with a
majority, or began with nothing. One that is more than MOST_AWAY behind is refused; its member throws away what it
holds once it is with a majority again, and takes the others' entries from there.
"""

import re
from collections.abc import Iterable
from enum import Enum

import msgspec

from cedarwick.errors import Trouble

SECOND = 1_000_000
FORGET = 3600 * SECOND  # a subscription that nobody has followed for so long has ended, everywhere
SLICE = 3600 * SECOND  # an epoch
KEEP = 24  # epochs for which tombstones are kept
MOST_AWAY = 12  # epochs; a member that was away for longer starts anew. The rest of KEEP is for it to be heard
SKEW = 300 * SECOND  # by which members' wall clocks may differ
MOST = 20_000  # entries, tombstones among them
LONGEST = 4096  # bytes of a filter's text
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


class BadName(Trouble):
    """A subscription's name can't be used."""

    code = "CW821"
    remedy = "name it with 1 to 64 letters, digits, dots, dashes and underscores, a letter or digit first"


class NotFollowed(Trouble):
    """No subscription has the name."""

    code = "CW822"
    remedy = "follow it with its filter first; one that nobody followed for an hour has ended"


class TooManyFollowed(Trouble):
    """The fleet holds as many subscriptions as it may, ended ones of the last day among them."""

    code = "CW823"
    remedy = "end subscriptions that are not needed, or follow again once those ended a day ago are forgotten"


class Entry(msgspec.Struct, frozen=True, order=True):
    """A subscription. Order decides which of two is the newer, field by field."""

    counter: int  # of its version; microseconds, or one more than the version before
    member: str  # who made the version, and where the subscriber is; decides between equal counters
    ended: bool
    filter: str
    followed_at: int  # microseconds of the wall clock

    def lives(self, now: int) -> bool:
        """Whether it is followed, or was not long ago."""
        return not self.ended and now - self.followed_at <= FORGET

    @property
    def sound(self) -> bool:
        """Whether its sizes are what a member may send."""
        return len(self.filter.encode(errors="replace")) <= LONGEST and NAME.fullmatch(self.member) is not None


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
    """All subscriptions by name, at one member."""

    def __init__(self, member: str, now: int) -> None:
        self.member = member
        self.entries: dict[str, Entry] = {}
        self.epoch = now // SLICE

    def follow(self, now: int, name: str, text: str) -> Entry:
        """A subscriber is here with a filter's canonical text. Raises BadName and TooManyFollowed."""
        if not NAME.fullmatch(name):
            raise BadName(f"'{name[:80]}' can't name a subscription")
        held = self.entries.get(name)
        if held is None and len(self.entries) >= MOST:
            raise TooManyFollowed(f"{MOST} subscriptions are held, '{name}' would be one more")
        # Danger: without a version of its own, this would give way to an older following at a member not yet heard.
        made = Entry(self._counter(now, held), self.member, False, text, now)
        self.entries[name] = made
        return made

    def followed(self, now: int, name: str) -> Entry:
        """The subscriber is still here: said at least once in a quarter of FORGET. Raises NotFollowed."""
        held = self._living(now, name)
        self.entries[name] = msgspec.structs.replace(held, followed_at=max(now, held.followed_at))
        return self.entries[name]

    def end(self, now: int, name: str) -> Entry:
        """End a subscription for everyone. Raises NotFollowed."""
        held = self._living(now, name)
        self.entries[name] = Entry(self._counter(now, held), self.member, True, held.filter, now)
        return self.entries[name]

    def living(self, now: int) -> dict[str, Entry]:
        """The subscriptions to evaluate."""
        return {name: entry for name, entry in self.entries.items() if entry.lives(now)}

    def tick(self, now: int, with_majority: bool) -> list[str]:
        """Move the epoch on while with a majority, and forget what may be forgotten.

        Gives the names of living subscriptions that were thrown away as this member was away for too long: their
        subscribers are told to follow again, and are heard of from others if they have followed elsewhere.
        """
        lost: list[str] = []
        # Danger: a member cut off that let its epoch go on would be trusted again after any time away.
        if with_majority:
            if now // SLICE - self.epoch > MOST_AWAY:
                lost = sorted(self.living(now))
                self.entries = {}
            self.epoch = max(self.epoch, now // SLICE)
        self.entries = {name: entry for name, entry in self.entries.items() if not self._forgotten(entry)}
        return lost

    def merge(self, now: int, epoch: int, theirs: Iterable[tuple[str, Entry]]) -> Verdict:
        """Join another's registry, or pieces of it, into this one. Unsound entries are left out."""
        theirs = list(theirs)
        # Danger: one clock that is far ahead would make everyone else's registry too old, or an entry live for ever.
        if epoch * SLICE > now + SKEW or any(each.counter > now + SKEW or each.followed_at > now + SKEW
                                             for _, each in theirs):
            return Verdict.AHEAD
        # Danger: who was away for longer than tombstones are kept may still hold alive what was ended meanwhile.
        if epoch < self.epoch - MOST_AWAY:
            return Verdict.AWAY
        if self.epoch < epoch - MOST_AWAY:
            return Verdict.BEHIND
        for name, entry in theirs:
            if not self._forgotten(entry) and entry.sound and NAME.fullmatch(name):
                held = self.entries.get(name)
                if held is not None or len(self.entries) < MOST:
                    self.entries[name] = join(held, entry)
        return Verdict.JOINED

    def _living(self, now: int, name: str) -> Entry:
        held = self.entries.get(name)
        if held is None or not held.lives(now):
            raise NotFollowed(f"no subscription is called '{name[:80]}'")
        return held

    def _forgotten(self, entry: Entry) -> bool:
        """Whether an entry is too old to be kept: by the epoch, so that all who share it agree."""
        return max(entry.counter, entry.followed_at) // SLICE < self.epoch - KEEP

    @staticmethod
    def _counter(now: int, held: Entry | None) -> int:
        return max(now, held.counter + 1 if held is not None else 0)
