"""Compaction: copies live records from an old segment to the active one in bounded steps, then deletes the old file.

`compaction_planner.py` decides which segment and how many bytes; this module does the work. `journal.Store` calls
`step` between two rounds of the dispatcher, and `find_room` when a record does not fit. Sizes are in bytes.
"""

from collections import deque
from typing import Protocol

from loguru import logger

from cedarwick.errors import describe
from cedarwick.store import compaction_planner, records
from cedarwick.store.bodies import BodyCache, BodyLostError
from cedarwick.store.compaction_planner import RecordUse
from cedarwick.store.files import DiskError, Folder, NoSpaceError, ignore_os_error, segment_name
from cedarwick.store.records import DROP, FINISHED, FINISHED_BODY, FRAME_HEADER, StoredMessage
from cedarwick.store.segment_writer import ObsoleteFile, PendingRecord, SegmentWriter
from cedarwick.store.segments import Segment, SegmentIndex

MIN_STEP_BYTES = 1 << 13  # bytes appended before a step checks whether there is work
RETRY_STEPS = 64  # steps after which a segment that could not be moved is tried again
MAX_INLINE_STEPS = 16  # inline steps (made while a record waits for room) for one short record


class CompactedStore(Protocol):
    """The part of `journal.Store` that compaction uses. Sizes are in bytes."""

    durable: bool
    limit_bytes: int
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
        """The sizes of the folder in bytes, for the planner."""
        ...

    def update_free_bytes(self) -> None:
        """Compute anew how many bytes are free."""
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
    """Empties one segment at a time, the victim; each live record is appended to the store again."""

    def __init__(self, store: CompactedStore, max_step_bytes: int) -> None:
        """`most_step`: the most bytes that one step moves."""
        self.store = store
        self.max_step_bytes = max_step_bytes
        self.victim: Segment | None = None
        self.numbers_to_move: list[int] = []  # numbers of messages whose records in the victim must still be moved
        self.retry_at_step: dict[int, int] = {}  # segments that cannot be moved now, and the step at which to try again
        self.steps = 0
        self.inline_steps = 0  # inline steps since the start
        self.inline_steps_since_step = 0  # inline steps since the last `step`

    def step(self) -> None:
        """Move a bounded number of bytes, as many as the planner says; called between two rounds."""
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
        victim = self._choose_victim(short=False)
        if victim is None:
            return
        size = compaction_planner.CompactionCandidate(victim.number, victim.file_bytes, victim.live_bytes)
        wanted = compaction_planner.bytes_to_move(self.store.sizes(), size, appended)
        if wanted or victim.is_obsolete:
            self.compact_victim(min(wanted, self.max_step_bytes), short=False)

    def _choose_victim(self, short: bool) -> Segment | None:
        """The victim under way, or else the best candidate; None if no segment is to be moved."""
        if self.victim is not None:
            return self.victim
        self.retry_at_step = {number: until for number, until in self.retry_at_step.items() if until > self.steps}
        candidates = (
            compaction_planner.CompactionCandidate(each.number, each.file_bytes, each.live_bytes)
            for each in self.store.segment_index.segments.values()
            if each is not self.store.writer.active and not each.other_version and each.number not in self.retry_at_step
        )
        best = compaction_planner.choose_victim(candidates, short)
        if best is None:
            return None
        self.victim = self.store.segment_index.segments[best.number]
        self.numbers_to_move = self.store.segment_index.records_to_move(self.victim)
        return self.victim

    def compact_victim(self, budget: int, short: bool) -> bool:
        """Move about `budget` bytes of live records out of the victim; returns False if there is none or it failed."""
        victim = self._choose_victim(short)
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
        """Give up on a segment for `RETRY_STEPS` steps."""
        self.retry_at_step[victim.number] = self.steps + RETRY_STEPS
        self.victim, self.numbers_to_move = None, []

    def _move_records(self, victim: Segment, number: int) -> int:
        """Append again what a segment holds of a message; returns the bytes written."""
        stored = self.store.messages.get(number)
        if stored is not None and stored.segment_number == victim.number:
            if stored.final_answer is not None:
                stored.body_checksum = 0
                return self.store.write_message(stored, b"", RecordUse.MOVE)  # a message that has ended needs no body
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
        """Append again one record of a kind that this version does not know; returns its size in bytes."""
        at, size = victim.unknown_records[-1]
        if victim.descriptor < 0:
            victim.descriptor = self.store.folder.open(segment_name(victim.number), append=False)
        payload = self.store.folder.read(victim.descriptor, size, at)
        segment, begin = self.store.append_record(payload, RecordUse.MOVE)
        self.store.segment_index.add_unknown_record(segment, begin + FRAME_HEADER.size, size)
        victim.unknown_records.pop()
        victim.unknown_bytes -= size
        self.store.segment_index.live_bytes -= size
        return size

    def _drop_victim(self, victim: Segment) -> None:
        """No record of a segment is needed any more: append a drop record and delete its file."""
        if (
            not victim.is_obsolete
        ):  # records were added while it was being moved, which happens only after a failed write
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
        # With `durable`, the file is deleted only after the next flush: were it deleted before its moved records are
        # on the disk, a power cut would lose them.
        if not self.store.durable:
            self.delete_obsolete_files()

    def delete_obsolete_files(self) -> None:
        """Delete the files of dropped segments; those that cannot be deleted stay listed for the next call."""
        left = []
        for name, size in self.store.writer.obsolete_files:
            try:
                self.store.folder.unlink(name)
                self.store.writer.used_bytes -= size
            except FileNotFoundError:
                self.store.writer.used_bytes -= size
            except OSError as error:
                logger.error(DiskError(f"{name} cannot be deleted: {error}").line)
                left.append(ObsoleteFile(name, size))
        self.store.writer.obsolete_files = left

    def free_space(self, grows: int, use: RecordUse) -> None:
        """Compact at once because a record does not fit; raises `NoSpaceError` if that does not free enough.

        `grows`: bytes by which the record makes the active segment's file grow, in whole blocks.
        """
        floor = compaction_planner.reserved_bytes(self.store.sizes()) - (
            0 if use is RecordUse.NEW_MESSAGE else compaction_planner.SHORT_RECORD_SLACK_BYTES
        )
        turns = 0 if use is RecordUse.SHORT_RECORD else self.inline_steps_since_step
        while grows and self.store.limit_bytes - self.store.writer.used_bytes - grows < floor:
            turns += 1
            self.inline_steps += 1
            self.inline_steps_since_step += 1
            # New messages share one inline step between two calls of `step`: were each to compact for itself, a round
            # with many messages would block.
            if turns > (MAX_INLINE_STEPS if use is RecordUse.SHORT_RECORD else 1) or not self.compact_victim(
                self.max_step_bytes, short=True
            ):
                if use is RecordUse.SHORT_RECORD and self.store.limit_bytes - self.store.writer.used_bytes - grows >= 0:
                    return  # short records may use the reserve
                raise NoSpaceError("the folder is full")
