"""Receivers suspended by hand, replicated to all members. No I/O, no clock, no greenlets.

A map in which the last writer wins (Shapiro et al. 2011), row by row. A version is (counter, member): the counter is
the wall time of the call at least, and larger than the one it replaces (hybrid logical clocks, Kulkarni et al. 2014),
so that a later call wins over an earlier one of a member that was cut off or has lost its folder. Who was restored
stays as a row without calls, a tombstone, for `KEEP`. Times are whole microseconds of wall time.
"""

from collections.abc import Iterable, Mapping

import msgspec
import xxhash

from cedarwick.fleet.messages import SuspensionMark

KEEP = 30 * 86_400_000_000  # microseconds (30 days) that a restored receiver is remembered
ASLEEP = KEEP - 86_400_000_000  # microseconds without contact after which a member may have missed a tombstone
MOST = 4096  # rows that are sent to others, and accepted from them
LONGEST = 128  # characters of a uid that can be sent
MOST_CALLS = 1000  # suspensions counted for one receiver
LAST = (1 << 62) - 1

_encode = msgspec.msgpack.Encoder().encode


class SavedMarks(msgspec.Struct, array_like=True, frozen=True):
    """What is saved over restarts."""

    rows: tuple[SuspensionMark, ...]
    met_at: int
    fresh: tuple[str, ...]


def newer(one: SuspensionMark, other: SuspensionMark) -> bool:
    """Whether `one` wins over `other`, a row of the same receiver; of equal versions the suspended one does."""
    return (one.counter, one.member, one.calls) > (other.counter, other.member, other.calls)


def join(one: Mapping[str, SuspensionMark], other: Mapping[str, SuspensionMark]) -> dict[str, SuspensionMark]:
    """Both maps as one: commutative, associative, idempotent."""
    joined = dict(one)
    for uid, row in other.items():
        if uid not in joined or newer(row, joined[uid]):
            joined[uid] = row
    return joined


class SuspensionTable:
    """One member's map, and since when it may lack what others have forgotten."""

    def __init__(self, me: str, saved: SavedMarks | None = None) -> None:
        self.me = me
        self.rows = {row.uid: row for row in saved.rows} if saved is not None else {}
        self.met_at = saved.met_at if saved is not None else 0  # when a member that is not asleep last sent everything
        self.fresh = set(saved.fresh) if saved is not None else set()  # uids received or set here since: beyond doubt
        self.asleep = True  # as of the last `turn`
        self._offered: tuple[SuspensionMark, ...] | None = None

    def saved(self) -> SavedMarks:
        """What is to be saved over restarts."""
        return SavedMarks(tuple(self.rows.values()), self.met_at, tuple(sorted(self.fresh)))

    def calls(self) -> dict[str, int]:
        """The suspensions in force, by uid."""
        return {uid: row.calls for uid, row in self.rows.items() if row.calls}

    def turn(self, now: int) -> None:
        """Called before sending or merging: forget old tombstones, and see whether this member was away too long."""
        self.asleep = self.met_at + ASLEEP < now
        old = [uid for uid, row in self.rows.items() if self._over(now, row)]
        for uid in old:
            del self.rows[uid]
        self.fresh &= self.rows.keys()
        self._offered = None if old or self.asleep else self._offered

    @staticmethod
    def _over(now: int, row: SuspensionMark) -> bool:
        return not row.calls and row.counter + KEEP < now

    def set(self, now: int, uid: str, calls: int) -> None:
        """Note an operator's command at this member; `now`: wall microseconds, `calls`: 0 to restore."""
        before = self.rows[uid].counter if uid in self.rows else 0
        self._put(SuspensionMark(uid, min(max(now, before + 1), LAST), self.me, min(calls, MOST_CALLS)), fresh=True)

    def _put(self, row: SuspensionMark, fresh: bool) -> None:
        self.rows[row.uid] = row
        self.fresh = self.fresh | {row.uid} if fresh else self.fresh - {row.uid}
        self._offered = None

    def noticed(self, now: int, calls: Mapping[str, int]) -> list[str]:
        """Take over the member's own file, which another process may have changed; returns the uids that differ."""
        mine = self.calls()
        changed = sorted(uid for uid in mine.keys() | calls.keys() if mine.get(uid, 0) != calls.get(uid, 0))
        for uid in changed:
            self.set(now, uid, calls.get(uid, 0))
        return changed

    def doubt(self, saved: Mapping[str, int]) -> None:
        """Start without versions: these receivers stay suspended until a member with newer rows restores them."""
        self.rows = {uid: SuspensionMark(uid, 0, "", calls) for uid, calls in saved.items()}
        self.met_at, self.fresh, self._offered = 0, set(), None

    def merge(self, now: int, rows: Iterable[SuspensionMark]) -> list[str]:
        """Merge rows of another member; returns the uids that changed here."""
        changed = []
        for row in rows:
            known = self.rows.get(row.uid)
            # Old tombstones are skipped: those forgotten here would come back from each member that still has them.
            if self._over(now, row) or (known is not None and not newer(row, known)):
                continue
            if known is None and len(self.rows) >= MOST:
                continue  # bounds the map, whatever the others send
            self._put(row, fresh=self.asleep)
            changed.append(row.uid)
        return changed

    def met(self, now: int, rows: Iterable[SuspensionMark]) -> list[str]:
        """Merge all rows of a member that is not asleep; returns the uids that changed here."""
        theirs = {row.uid: row for row in rows}
        dropped = []
        if self.asleep:
            # After a long absence this member would bring back suspensions that were lifted and forgotten meanwhile.
            dropped = sorted(self.calls().keys() - self.fresh - theirs.keys())
            for uid in dropped:
                del self.rows[uid]
        changed = self.merge(now, theirs.values())
        self.fresh = {uid for uid in self.fresh if theirs.get(uid) != self.rows.get(uid)}
        self.awake(now)
        return dropped + changed

    def awake(self, now: int) -> None:
        """Note that this member is up to date with the others."""
        self.met_at, self.asleep, self._offered = now, False, None

    def offered(self) -> tuple[SuspensionMark, ...]:
        """The rows for others, by uid: all but those in doubt, and no more than `MOST`, those that are out first."""
        if self._offered is None:
            shared = [row for row in self.rows.values() if self._is_shared(row)]
            shared.sort(key=lambda row: (not row.calls, -row.counter, row.uid))
            self._offered = tuple(sorted(shared[:MOST], key=lambda row: row.uid))
        return self._offered

    def _is_shared(self, row: SuspensionMark) -> bool:
        if len(row.uid) > LONGEST or not row.uid.isascii():
            return False
        return not self.asleep or not row.calls or row.uid in self.fresh

    def unshared(self) -> int:
        """How many suspended receivers cannot be shared with the other members."""
        return len(self.calls().keys() - {row.uid for row in self.offered()}) if not self.asleep else 0

    def whole(self) -> bool:
        """Whether `offered` is complete, so that a receiver missing from it is not suspended."""
        return not self.asleep and len(self.offered()) == len(self.rows)

    def digest(self) -> int:
        """64 bits of what is offered."""
        return xxhash.xxh3_64_intdigest(_encode(self.offered()))
