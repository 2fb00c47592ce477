"""Compaction: copies live records from an old segment to the active one in bounded steps, then deletes the old file.

`compaction_planner.py` decides which segment to compact and how many bytes to move; this module moves them.
`journal.Store` calls `step` between two decision rounds, and `free_space` when a record does not fit. Sizes are in
bytes.
"""

from collections import deque
from typing import Protocol

from loguru import logger

from cedarwick.errors import describe
from cedarwick.store import compaction_planner, records
from cedarwick.store.bodies import BodyCache, BodyLostError
from cedarwick.store.compaction_planner import RecordUse
from cedarwick.store.files import DiskError, Folder, NoSpaceError, ignore_os_error, segment_name
from cedarwick.store.folder_space import FolderSpace
from cedarwick.store.records import DROP, FINISHED, FINISHED_BODY, FRAME_HEADER, StoredMessage
from cedarwick.store.segment_writer import ObsoleteFile, PendingRecord, SegmentWriter
from cedarwick.store.segments import Segment, SegmentIndex

MIN_STEP_BYTES = 1 << 13  # a step does nothing until so many bytes were appended since the last one
RETRY_STEPS = 64  # steps until a segment that could not be compacted is retried
MAX_INLINE_STEPS = 16  # inline steps (run because a record does not fit) per short record


class CompactedStore(Protocol):
    """The part of `journal.Store` that compaction uses."""

    durable: bool
    space: FolderSpace
    writer: SegmentWriter
    folder: Folder
    body_cache: BodyCache
    segment_index: SegmentIndex
    pending_records: deque[PendingRecord]

    @property
    def messages(self) -> dict[int, StoredMessage]:
        """All unfinished messages, by number."""
        ...

    def sizes(self) -> compaction_planner.Sizes:
        """Return the sizes of the folder for the planner."""
        ...

    def update_free_bytes(self) -> None:
        """Recompute the free bytes."""
        ...

    def write_pending(self) -> None:
        """Write the queued short records; raises `NoSpaceError`."""
        ...

    def write_message(self, stored: StoredMessage, body: bytes, use: RecordUse) -> int:
        """Append the full record of a message; returns the bytes written."""
        ...

    def write_short_record(self, stored: StoredMessage, payload: bytes, use: RecordUse) -> int:
        """Append a short record about a message; returns the bytes written."""
        ...

    def append_record(self, payload: bytes, use: RecordUse) -> tuple[Segment, int]:
        """Append a record; returns its segment and the offset of its frame."""
        ...


class Compactor:
    """Compacts one segment at a time, the victim, by appending each of its live records to the store again."""

    def __init__(self, store: CompactedStore, max_step_bytes: int) -> None:
        """`max_step_bytes`: the most bytes that one step moves."""
        self.store = store
        self.max_step_bytes = max_step_bytes
        self.victim: Segment | None = None
        self.numbers_to_move: list[int] = []  # messages with records in the victim
        self.retry_at_step: dict[int, int] = {}  # by segment that could not be compacted
        self.steps = 0
        self.inline_steps = 0  # since the start
        self.inline_steps_since_step = 0  # since the last `step`

    def step(self) -> None:
        """Move as many bytes as the planner decides, a bounded number; called between two decision rounds."""
        self.inline_steps_since_step = 0
        if (
            self.store.writer.appended_bytes < min(MIN_STEP_BYTES, self.store.writer.max_segment_bytes // 8)
            and not self.store.pending_records
            and not self.store.writer.obsolete_files
        ):
            return
        self.steps += 1
        appended, self.store.writer.appended_bytes = self.store.writer.appended_bytes, 0
        self.store.update_free_bytes()
        if self.store.writer.obsolete_files and not self.store.durable:
            self.delete_obsolete_files()
        try:
            self.store.write_pending()
        except NoSpaceError:
            pass
        victim = self._choose_victim(space_is_short=False)
        if victim is None:
            return
        candidate = compaction_planner.CompactionCandidate(victim.number, victim.file_bytes, victim.live_bytes)
        budget = compaction_planner.bytes_to_move(self.store.sizes(), candidate, appended)
        if budget or victim.is_obsolete:
            self.compact_victim(min(budget, self.max_step_bytes), space_is_short=False)

    def _choose_victim(self, space_is_short: bool) -> Segment | None:
        """Return the current victim, or else the best candidate; None if no segment should be compacted."""
        if self.victim is not None:
            return self.victim
        self.retry_at_step = {number: step for number, step in self.retry_at_step.items() if step > self.steps}
        candidates = (
            compaction_planner.CompactionCandidate(each.number, each.file_bytes, each.live_bytes)
            for each in self.store.segment_index.segments.values()
            if each is not self.store.writer.active and not each.other_version and each.number not in self.retry_at_step
        )
        best = compaction_planner.choose_victim(candidates, space_is_short)
        if best is None:
            return None
        self.victim = self.store.segment_index.segments[best.number]
        self.numbers_to_move = self.store.segment_index.records_to_move(self.victim)
        return self.victim

    def compact_victim(self, budget: int, space_is_short: bool) -> bool:
        """Move about `budget` bytes of live records out of the victim; False if there is no victim or a move failed."""
        victim = self._choose_victim(space_is_short)
        if victim is None:
            return False
        moved = 0
        try:
            while self.numbers_to_move and moved <= budget:
                moved += self._move_records(victim, self.numbers_to_move[-1])
                self.numbers_to_move.pop()
            while victim.unknown_records and moved <= budget and not self.numbers_to_move:
                moved += self._move_unknown_record(victim)
            if not self.numbers_to_move and not victim.unknown_records:
                self._drop_victim(victim)
        except (NoSpaceError, BodyLostError, OSError) as error:
            logger.error("{} cannot be compacted now: {}", segment_name(victim.number), describe(error))
            self._postpone(victim)
            return False
        return True

    def _postpone(self, victim: Segment) -> None:
        """Skip a segment for the next `RETRY_STEPS` steps."""
        self.retry_at_step[victim.number] = self.steps + RETRY_STEPS
        self.victim, self.numbers_to_move = None, []

    def _move_records(self, victim: Segment, number: int) -> int:
        """Append the victim's records of a message again; returns the bytes written."""
        stored = self.store.messages.get(number)
        if stored is not None and stored.segment_number == victim.number:
            if stored.final_answer is not None:
                stored.body_checksum = 0
                return self.store.write_message(stored, b"", RecordUse.MOVE)  # the body is no longer needed
            body = (
                stored.body
                if stored.body is not None
                else self.store.body_cache.read(stored, self.store.segment_index.segments)
            )
            return self.store.write_message(stored, body, RecordUse.MOVE)
        if stored is not None and victim.number in stored.short_record_segments:
            return self.store.write_short_record(stored, records.encode_state_record(stored), RecordUse.MOVE)
        if number in victim.tombstones:
            segment, _ = self.store.append_record(FINISHED_BODY.pack(FINISHED, number), RecordUse.MOVE)
            self.store.segment_index.move_end_record(number, segment)
            return records.FINISHED_RECORD_BYTES
        return 0

    def _move_unknown_record(self, victim: Segment) -> int:
        """Append a record of unknown kind again; returns the size of its payload."""
        payload_offset, size = victim.unknown_records[-1]
        if victim.descriptor < 0:
            victim.descriptor = self.store.folder.open(segment_name(victim.number), append=False)
        payload = self.store.folder.read(victim.descriptor, size, payload_offset)
        segment, offset = self.store.append_record(payload, RecordUse.MOVE)
        self.store.segment_index.add_unknown_record(segment, offset + FRAME_HEADER.size, size)
        victim.unknown_records.pop()
        victim.unknown_bytes -= size
        self.store.segment_index.live_bytes -= size
        return size

    def _drop_victim(self, victim: Segment) -> None:
        """Append a drop record for a victim without needed records and delete its file."""
        if not victim.is_obsolete:
            # Records were added to it during its compaction, which happens only after a failed write.
            self.numbers_to_move = self.store.segment_index.records_to_move(victim)
            if not self.numbers_to_move:
                self._postpone(victim)
            return
        self.store.append_record(FINISHED_BODY.pack(DROP, victim.number), RecordUse.MOVE)
        self.victim, self.numbers_to_move = None, []
        if victim.descriptor >= 0:
            ignore_os_error(self.store.folder.close, victim.descriptor)
            victim.descriptor = -1
        self.store.segment_index.remove_segment(victim)
        self.store.writer.obsolete_files.append(
            ObsoleteFile(segment_name(victim.number), compaction_planner.round_up_to_blocks(victim.file_bytes))
        )
        # With `durable`, the file is deleted after the next flush: a power failure would lose the moved records if the
        # old file were gone before they are on the disk.
        if not self.store.durable:
            self.delete_obsolete_files()

    def delete_obsolete_files(self) -> None:
        """Delete the files of dropped segments; those that cannot be deleted stay listed and are retried."""
        remaining = []
        for name, size in self.store.writer.obsolete_files:
            try:
                self.store.folder.unlink(name)
                self.store.writer.used_bytes -= size
            except FileNotFoundError:
                self.store.writer.used_bytes -= size
            except OSError as error:
                logger.error(DiskError(f"{name} cannot be deleted: {error}").line)
                remaining.append(ObsoleteFile(name, size))
        self.store.writer.obsolete_files = remaining

    def free_space(self, growth_bytes: int, use: RecordUse) -> None:
        """Compact inline because a record does not fit; raises `NoSpaceError` if that does not free enough.

        `growth_bytes`: bytes, in whole blocks, by which the record makes the active segment's file grow.
        """
        reserve = compaction_planner.reserved_bytes(self.store.sizes()) - (
            0 if use is RecordUse.NEW_MESSAGE else compaction_planner.SHORT_RECORD_SLACK_BYTES
        )
        steps = 0 if use is RecordUse.SHORT_RECORD else self.inline_steps_since_step
        while growth_bytes and self.store.space.segment_limit - self.store.writer.used_bytes - growth_bytes < reserve:
            steps += 1
            self.inline_steps += 1
            self.inline_steps_since_step += 1
            # New messages share one inline step between two calls of `step`; one for each would block a round with many
            # new messages.
            if steps > (MAX_INLINE_STEPS if use is RecordUse.SHORT_RECORD else 1) or not self.compact_victim(
                self.max_step_bytes, space_is_short=True
            ):
                needed_bytes = growth_bytes + compaction_planner.drop_bytes(self.store.sizes())
                if use is RecordUse.SHORT_RECORD and self.store.space.has_room(needed_bytes):
                    return  # short records may use the reserve
                raise NoSpaceError("the folder is at its size limit")
