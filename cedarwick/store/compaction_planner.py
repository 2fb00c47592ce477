"""When to compact, what, and how much at a time: a pure matter of sizes and counts.

Room is freed by moving what lives in a segment to the active one and deleting the segment whole. Moving `live`
bytes of a segment of `size` frees `size - live`. The pace follows how fast room is used: for each byte that was
appended, so much is moved as frees one, and more as free room runs low, so that it neither starves nor bursts.
"""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

BLOCK = 512  # a file counts in whole blocks of this
MIN_SEGMENT_BYTES = 1 << 16
MAX_SEGMENT_BYTES = 1 << 26
SEGMENTS = 64  # a folder at its limit holds about so many
MIN_DEAD_SHARE = 1 / 16  # a segment with a smaller part of dead bytes is not worth its moving, unless room is short
STEP = 1 << 15  # bytes that one step moves at the most; a millisecond or so
SLACK = 1 << 12  # for short records between two steps
EASY_SEGMENTS = 8  # segments' worth of free room beyond the reserve, from which on nothing needs moving
MAX_PACE = 4.0  # times the pace of use, where the reserve is reached


class RecordUse(Enum):
    """What a record is for: how much of the reserve it may use."""

    NEW_MESSAGE = "new"  # none of it
    SHORT_RECORD = "short"  # all of it, once compaction on the spot has not won enough
    MOVE = "move"  # all of it, at once: that is how room is won


class Sizes(NamedTuple):
    """How a folder stands, in bytes."""

    limit: int
    used: int  # by all files, in whole blocks
    live: int  # what all live records take
    segment: int  # the size at which a segment is sealed
    largest: int  # the largest record that lives
    header: int  # what a new segment's header takes
    promised: int = 0  # what short records on all that lives may come to take, beyond what they take now


class CompactionCandidate(NamedTuple):
    """A sealed segment."""

    number: int
    size: int
    live: int


def segment_size(limit: int) -> int:
    """The size at which segments are sealed in a folder of a limit."""
    return min(MAX_SEGMENT_BYTES, max(MIN_SEGMENT_BYTES, limit // SEGMENTS))


def blocks(size: int) -> int:
    """The bytes that a file of a size counts for."""
    return -(-size // BLOCK) * BLOCK


def reserve(sizes: Sizes) -> int:
    """Room that new messages never get: for a segment's live records to be moved, and for short records."""
    return sizes.segment + sizes.largest + 2 * sizes.header + SLACK + 2 * BLOCK


def room(sizes: Sizes) -> int:
    """Bytes of new records that the folder will bear once it is compacted."""
    # Danger: the last blocks of files, and a little death in every segment, are never won back.
    lost = sizes.limit // 128 + sizes.limit // sizes.segment * (BLOCK // 2 + sizes.header)
    return max(0, sizes.limit - reserve(sizes) - lost - sizes.live - sizes.promised)


def choose(candidates: Iterable[CompactionCandidate], short: bool) -> CompactionCandidate | None:
    """The segment that frees most for what it costs; None where none is worth it. `short`: room is short."""
    best = None
    for each in candidates:
        gain = each.size - each.live
        if gain <= 0 or not short and gain < MIN_DEAD_SHARE * each.size:
            continue
        if best is None or (each.live * best.size, each.number) < (best.live * each.size, best.number):
            best = each
    return best


def pace(sizes: Sizes, victim: CompactionCandidate, appended: int) -> int:
    """Bytes of a victim to move in this step, `appended` having come in since the step before."""
    free = sizes.limit - sizes.used
    floor = reserve(sizes)
    ease = min(1.0, max(0.0, (free - floor) / (EASY_SEGMENTS * sizes.segment)))
    if ease >= 1.0:
        return 0
    # Danger: dead bytes alone decide what is won; a nearly full segment is moved many times its gain.
    for_each = victim.live / max(1, victim.size - victim.live)
    wanted = appended * for_each * (1 + (MAX_PACE - 1) * (1 - ease)) + 1
    return round(min(STEP, wanted))
