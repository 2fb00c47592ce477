"""Decides when to compact, which segment and how many bytes at a time. Pure functions of sizes in bytes, no I/O.

Compaction copies the live records of a segment to the active one and deletes the old file. Moving the `live` bytes of
a segment of `size` bytes frees `size - live` bytes. The pace follows the rate of appends: for each appended byte it
moves enough to free one byte, and more as free space runs low, so that compaction neither falls behind nor runs in
bursts. Called by `compaction.py` and `journal.py`.
"""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

BLOCK_BYTES = 512  # file sizes are rounded up to whole blocks
MIN_SEGMENT_BYTES = 1 << 16
MAX_SEGMENT_BYTES = 1 << 26
TARGET_SEGMENTS = 64  # approximate number in a folder at its size limit
MIN_DEAD_SHARE = 1 / 16  # a segment with a smaller share is compacted only if space is short
MAX_STEP_BYTES = 1 << 15  # the most that one step moves, which takes about a millisecond
SHORT_RECORD_SLACK_BYTES = 1 << 12  # for short records between two steps
IDLE_FREE_SEGMENTS = 8  # with free space for so many segments beyond the reserve, nothing is moved
MAX_PACE_FACTOR = 4.0  # multiple of the rate of appends when only the reserve is free


class RecordUse(Enum):
    """The purpose of a record; determines how much of the reserve it may use."""

    NEW_MESSAGE = "new"  # none of it
    SHORT_RECORD = "short"  # all of it, if inline compaction has not freed enough
    MOVE = "move"  # all of it, at once, since moving records frees space


class Sizes(NamedTuple):
    """The sizes of a folder, in bytes, on which the planner decides."""

    limit: int
    used: int  # of all files, in whole blocks
    live: int  # of all live records
    segment: int  # the size at which a segment is sealed
    largest_record: int  # of the largest record
    header: int  # of a new segment's header
    expected_short_records: int = 0  # not written yet, of live messages


class CompactionCandidate(NamedTuple):
    """A sealed segment; sizes in bytes."""

    number: int
    size: int
    live: int


def segment_size(limit: int) -> int:
    """Return the size at which segments are sealed in a folder with this size limit."""
    return min(MAX_SEGMENT_BYTES, max(MIN_SEGMENT_BYTES, limit // TARGET_SEGMENTS))


def round_up_to_blocks(size: int) -> int:
    """Return `size` rounded up to whole blocks."""
    return -(-size // BLOCK_BYTES) * BLOCK_BYTES


def reserved_bytes(sizes: Sizes) -> int:
    """Return the bytes that new messages may not use: space to move a segment's live records and for short records."""
    return sizes.segment + sizes.largest_record + 2 * sizes.header + SHORT_RECORD_SLACK_BYTES + 2 * BLOCK_BYTES


def drop_bytes(sizes: Sizes) -> int:
    """Return the bytes that deleting a segment without live records takes: a record, and a segment to hold it."""
    return round_up_to_blocks(sizes.header) + 2 * BLOCK_BYTES


def free_message_bytes(sizes: Sizes) -> int:
    """Return the bytes of new messages that fit once the folder is compacted; at least 0."""
    # Partly filled last blocks and a small share of dead bytes in each segment are never freed. Counting them as free
    # would report space that compaction cannot provide.
    unusable = sizes.limit // 128 + sizes.limit // sizes.segment * (BLOCK_BYTES // 2 + sizes.header)
    return max(0, sizes.limit - reserved_bytes(sizes) - unusable - sizes.live - sizes.expected_short_records)


def choose_victim(candidates: Iterable[CompactionCandidate], space_is_short: bool) -> CompactionCandidate | None:
    """Return the segment with the smallest share of live bytes; None if no candidate frees enough.

    `space_is_short`: any freed byte is enough.
    """
    best = None
    for each in candidates:
        freed_bytes = each.size - each.live
        if freed_bytes <= 0 or not space_is_short and freed_bytes < MIN_DEAD_SHARE * each.size:
            continue
        if best is None or (each.live * best.size, each.number) < (best.live * each.size, best.number):
            best = each
    return best


def bytes_to_move(sizes: Sizes, victim: CompactionCandidate, appended: int) -> int:
    """Return the bytes of the victim to move in this step, after `appended` bytes since the last step."""
    free_bytes = sizes.limit - sizes.used
    reserve = reserved_bytes(sizes)
    slack_share = min(1.0, max(0.0, (free_bytes - reserve) / (IDLE_FREE_SEGMENTS * sizes.segment)))
    if slack_share >= 1.0:
        return 0
    # Only dead bytes are freed, so a segment of mostly live bytes needs many moved bytes per freed byte.
    moved_per_freed_byte = victim.live / max(1, victim.size - victim.live)
    budget = appended * moved_per_freed_byte * (1 + (MAX_PACE_FACTOR - 1) * (1 - slack_share)) + 1
    return round(min(MAX_STEP_BYTES, budget))
