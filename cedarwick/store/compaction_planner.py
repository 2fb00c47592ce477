"""Decides when to compact, which segment and how many bytes at a time. Pure functions of sizes in bytes, no I/O.

Space is freed by copying the live records of a segment to the active one and deleting the segment's file. Moving
`live` bytes of a segment of `size` bytes frees `size - live`. The pace follows the rate of appends: for each byte
appended, as much is moved as frees one byte, and more as free space runs low, so that compaction neither falls behind
nor comes in bursts. Called by `compaction.py` and `journal.py`.
"""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

BLOCK_BYTES = 512  # bytes; file sizes are counted in whole blocks
MIN_SEGMENT_BYTES = 1 << 16
MAX_SEGMENT_BYTES = 1 << 26
TARGET_SEGMENTS = 64  # approximate number of segments in a folder at its limit
MIN_DEAD_SHARE = 1 / 16  # segments with a smaller share of dead bytes are moved only if space is short
MAX_STEP_BYTES = 1 << 15  # most bytes that one step moves; takes about a millisecond
SHORT_RECORD_SLACK_BYTES = 1 << 12  # bytes for short records between two steps
IDLE_FREE_SEGMENTS = 8  # with this many segments of free space beyond the reserve, nothing is moved
MAX_PACE_FACTOR = 4.0  # multiple of the rate of appends once free space is down to the reserve


class RecordUse(Enum):
    """What a record is for; decides how much of the reserve it may use."""

    NEW_MESSAGE = "new"  # none of it
    SHORT_RECORD = "short"  # all of it, after inline compaction has not freed enough
    MOVE = "move"  # all of it, at once: moving records is what frees space


class Sizes(NamedTuple):
    """The sizes of a folder that the planner needs, in bytes."""

    limit: int
    used: int  # of all files, in whole blocks
    live: int  # of all live records
    segment: int  # the size at which a segment is sealed
    largest_record: int  # of the largest record
    header: int  # of a new segment's header
    expected_short_records: int = 0  # still to come in short records of live messages


class CompactionCandidate(NamedTuple):
    """A sealed segment; sizes in bytes."""

    number: int
    size: int
    live: int


def segment_size(limit: int) -> int:
    """The size in bytes at which segments are sealed, for a folder with this limit in bytes."""
    return min(MAX_SEGMENT_BYTES, max(MIN_SEGMENT_BYTES, limit // TARGET_SEGMENTS))


def round_up_to_blocks(size: int) -> int:
    """`size` in bytes rounded up to whole blocks."""
    return -(-size // BLOCK_BYTES) * BLOCK_BYTES


def reserved_bytes(sizes: Sizes) -> int:
    """Bytes that new messages may not use: room to move a segment's live records, and for short records."""
    return sizes.segment + sizes.largest_record + 2 * sizes.header + SHORT_RECORD_SLACK_BYTES + 2 * BLOCK_BYTES


def free_message_bytes(sizes: Sizes) -> int:
    """Bytes of new messages that still fit once the folder is compacted; at least 0."""
    # Partly filled last blocks and a small share of dead bytes in every segment are never freed; counting them as
    # free would promise space that compaction cannot deliver.
    lost = sizes.limit // 128 + sizes.limit // sizes.segment * (BLOCK_BYTES // 2 + sizes.header)
    return max(0, sizes.limit - reserved_bytes(sizes) - lost - sizes.live - sizes.expected_short_records)


def choose_victim(candidates: Iterable[CompactionCandidate], short: bool) -> CompactionCandidate | None:
    """The segment with the smallest share of live bytes; None if no candidate frees enough.

    `short`: space is short, so that any gain is enough.
    """
    best = None
    for each in candidates:
        gain = each.size - each.live
        if gain <= 0 or not short and gain < MIN_DEAD_SHARE * each.size:
            continue
        if best is None or (each.live * best.size, each.number) < (best.live * each.size, best.number):
            best = each
    return best


def bytes_to_move(sizes: Sizes, victim: CompactionCandidate, appended: int) -> int:
    """Bytes of the victim to move in this step, after `appended` bytes since the last step."""
    free = sizes.limit - sizes.used
    floor = reserved_bytes(sizes)
    ease = min(1.0, max(0.0, (free - floor) / (IDLE_FREE_SEGMENTS * sizes.segment)))
    if ease >= 1.0:
        return 0
    # Only dead bytes are freed, so a nearly full segment costs many moved bytes for each byte freed.
    for_each = victim.live / max(1, victim.size - victim.live)
    wanted = appended * for_each * (1 + (MAX_PACE_FACTOR - 1) * (1 - ease)) + 1
    return round(min(MAX_STEP_BYTES, wanted))
