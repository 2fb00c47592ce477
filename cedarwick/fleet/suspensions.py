"""Receivers suspended by operators, replicated to all members. No I/O, no clock, no greenlets.

The rows form a last-writer-wins map (Shapiro et al. 2011). A version is (counter, member): the counter is at least the
wall time of the command and larger than the one it replaces (hybrid logical clocks, Kulkarni et al. 2014), so that a
later command wins over an earlier one of a member that was cut off or has lost its folder. A restored receiver remains
as a row without calls, a tombstone, for `TOMBSTONE_LIFETIME_US`. Times are whole microseconds of wall time.
"""

from collections.abc import Iterable, Mapping

import msgspec
import xxhash

from cedarwick.fleet.messages import SuspensionMark

TOMBSTONE_LIFETIME_US = 30 * 86_400_000_000  # 30 days for which the row of a restored receiver is stored
# Time without synchronization after which a member may have missed a tombstone: one day less than its lifetime.
STALE_AFTER_US = TOMBSTONE_LIFETIME_US - 86_400_000_000
MAX_ROWS = 4096  # rows that are sent to other members, and accepted from them
MAX_UID_LENGTH = 128  # characters; a receiver with a longer uid is not sent
MAX_CALLS = 1000  # suspensions counted for one receiver
MAX_COUNTER = (1 << 62) - 1  # the largest counter that a peer message holds

_encode = msgspec.msgpack.Encoder().encode


class SavedMarks(msgspec.Struct, array_like=True, frozen=True):
    """The state that survives a restart."""

    rows: tuple[SuspensionMark, ...]
    synced_at: int
    confirmed: tuple[str, ...]


def is_newer(one: SuspensionMark, other: SuspensionMark) -> bool:
    """Whether `one` wins over `other`, a row of the same receiver; at equal versions, the suspended one wins."""
    return (one.counter, one.member, one.calls) > (other.counter, other.member, other.calls)


def join_rows(one: Mapping[str, SuspensionMark], other: Mapping[str, SuspensionMark]) -> dict[str, SuspensionMark]:
    """The join of two maps: commutative, associative and idempotent."""
    joined = dict(one)
    for uid, row in other.items():
        if uid not in joined or is_newer(row, joined[uid]):
            joined[uid] = row
    return joined


class SuspensionTable:
    """One member's map of suspensions, and when it was last synchronized with the others."""

    def __init__(self, me: str, saved: SavedMarks | None = None) -> None:
        self.me = me
        self.rows = {row.uid: row for row in saved.rows} if saved is not None else {}
        # When a member that is not stale last sent all of its rows.
        self.synced_at = saved.synced_at if saved is not None else 0
        # Uids received or set here since then, whose rows are certainly not outdated.
        self.confirmed = set(saved.confirmed) if saved is not None else set()
        self.stale = True  # as of the last `refresh`
        self._shared_rows: tuple[SuspensionMark, ...] | None = None

    def saved(self) -> SavedMarks:
        """The state to be saved for a restart."""
        return SavedMarks(tuple(self.rows.values()), self.synced_at, tuple(sorted(self.confirmed)))

    def suspensions(self) -> dict[str, int]:
        """The suspensions in force, by uid."""
        return {uid: row.calls for uid, row in self.rows.items() if row.calls}

    def refresh(self, now: int) -> None:
        """Delete expired tombstones and update `stale`; called before sending or merging."""
        self.stale = self.synced_at + STALE_AFTER_US < now
        old = [uid for uid, row in self.rows.items() if self._is_expired(now, row)]
        for uid in old:
            del self.rows[uid]
        self.confirmed &= self.rows.keys()
        self._shared_rows = None if old or self.stale else self._shared_rows

    @staticmethod
    def _is_expired(now: int, row: SuspensionMark) -> bool:
        return not row.calls and row.counter + TOMBSTONE_LIFETIME_US < now

    def set_calls(self, now: int, uid: str, calls: int) -> None:
        """Record an operator's command at this member; `now`: wall time, `calls`: suspensions, 0 to restore."""
        before = self.rows[uid].counter if uid in self.rows else 0
        self._put(
            SuspensionMark(uid, min(max(now, before + 1), MAX_COUNTER), self.me, min(calls, MAX_CALLS)), confirmed=True
        )

    def _put(self, row: SuspensionMark, confirmed: bool) -> None:
        self.rows[row.uid] = row
        self.confirmed = self.confirmed | {row.uid} if confirmed else self.confirmed - {row.uid}
        self._shared_rows = None

    def apply_saved_file(self, now: int, calls: Mapping[str, int]) -> list[str]:
        """Apply this member's own file, which another process may have changed; returns the uids that differ."""
        mine = self.suspensions()
        changed = sorted(uid for uid in mine.keys() | calls.keys() if mine.get(uid, 0) != calls.get(uid, 0))
        for uid in changed:
            self.set_calls(now, uid, calls.get(uid, 0))
        return changed

    def load_unversioned(self, saved: Mapping[str, int]) -> None:
        """Start from suspensions without versions, which last until a member with newer rows restores the receivers."""
        self.rows = {uid: SuspensionMark(uid, 0, "", calls) for uid, calls in saved.items()}
        self.synced_at, self.confirmed, self._shared_rows = 0, set(), None

    def merge(self, now: int, rows: Iterable[SuspensionMark]) -> list[str]:
        """Merge rows of another member; returns the uids that changed here."""
        changed = []
        for row in rows:
            known = self.rows.get(row.uid)
            # Expired tombstones are skipped: those deleted here would return from each member that still has them.
            if self._is_expired(now, row) or (known is not None and not is_newer(row, known)):
                continue
            if known is None and len(self.rows) >= MAX_ROWS:
                continue  # bounds the map, whatever the other members send
            self._put(row, confirmed=self.stale)
            changed.append(row.uid)
        return changed

    def merge_all(self, now: int, rows: Iterable[SuspensionMark]) -> list[str]:
        """Merge all rows of a member that is not stale; returns the uids that changed here."""
        theirs = {row.uid: row for row in rows}
        dropped = []
        if self.stale:
            # After a long absence, this member would restore suspensions whose tombstones have expired meanwhile.
            dropped = sorted(self.suspensions().keys() - self.confirmed - theirs.keys())
            for uid in dropped:
                del self.rows[uid]
        changed = self.merge(now, theirs.values())
        self.confirmed = {uid for uid in self.confirmed if theirs.get(uid) != self.rows.get(uid)}
        self.mark_synced(now)
        return dropped + changed

    def mark_synced(self, now: int) -> None:
        """Record that this member is up to date with the others."""
        self.synced_at, self.stale, self._shared_rows = now, False, None

    def shared_rows(self) -> tuple[SuspensionMark, ...]:
        """The rows for other members, sorted by uid: all confirmed ones, at most `MAX_ROWS`, suspended ones first."""
        if self._shared_rows is None:
            shared = [row for row in self.rows.values() if self._is_shared(row)]
            shared.sort(key=lambda row: (not row.calls, -row.counter, row.uid))
            self._shared_rows = tuple(sorted(shared[:MAX_ROWS], key=lambda row: row.uid))
        return self._shared_rows

    def _is_shared(self, row: SuspensionMark) -> bool:
        if len(row.uid) > MAX_UID_LENGTH or not row.uid.isascii():
            return False
        return not self.stale or not row.calls or row.uid in self.confirmed

    def unshared_count(self) -> int:
        """The number of suspended receivers that cannot be shared with the other members."""
        return len(self.suspensions().keys() - {row.uid for row in self.shared_rows()}) if not self.stale else 0

    def is_complete(self) -> bool:
        """Whether `shared_rows` has all rows, so that a receiver missing from it is not suspended."""
        return not self.stale and len(self.shared_rows()) == len(self.rows)

    def digest(self) -> int:
        """A 64-bit hash of the shared rows."""
        return xxhash.xxh3_64_intdigest(_encode(self.shared_rows()))
