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
from cedarwick.store.files import DiskError, Folder, NoSpaceError, quietly, segment_name
from cedarwick.store.records import DROP, FRAME, OVER, OVER_BODY, StoredMessage
from cedarwick.store.segment_writer import CondemnedFile, PendingRecord, SegmentWriter
from cedarwick.store.segments import Segment, SegmentIndex

MIN_STEP_BYTES = 1 << 13  # bytes appended before a step checks whether there is work
RETRY_STEPS = 64  # steps after which a segment that could not be moved is tried again
MAX_INLINE_STEPS = 16  # inline steps (made while a record waits for room) for one short record


class CompactedStore(Protocol):
    """The part of `journal.Store` that compaction uses. Sizes are in bytes."""

    durable: bool
    limit: int
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

    def estimate_room(self) -> None:
        """Compute anew how many bytes are free."""
        ...

    def write_pending(self) -> None:
        """Write the queued short records; raises `NoSpaceError`."""
        ...

    def write_message(self, stored: StoredMessage, body: bytes, use: RecordUse) -> int:
        """Append the full record of a message; returns the bytes written."""
        ...

    def write_note(self, stored: StoredMessage, payload: bytes, use: RecordUse) -> int:
        """Append a short record about a message; returns the bytes written."""
        ...

    def append_record(self, payload: bytes, use: RecordUse) -> tuple[Segment, int]:
        """Append a record; returns its segment and the offset of its frame."""
        ...


class Compactor:
    """Empties one segment at a time, the victim; each live record is appended to the store again."""

    def __init__(self, store: CompactedStore, most_step: int) -> None:
        """`most_step`: the most bytes that one step moves."""
        self.store = store
        self.most_step = most_step
        self.victim: Segment | None = None
        self.todo: list[int] = []  # numbers of messages whose records in the victim must still be moved
        self.stuck: dict[int, int] = {}  # segments that cannot be moved now, and the step at which to try again
        self.steps = 0
        self.inline_steps = 0  # inline steps since the start
        self.inline_steps_since_step = 0  # inline steps since the last `step`

    def step(self) -> None:
        """Move a bounded number of bytes, as many as the planner says; called between two rounds."""
        self.inline_steps_since_step = 0
        if (
            self.store.writer.appended < min(MIN_STEP_BYTES, self.store.writer.segment_size // 8)
            and not self.store.pending_records
            and not self.store.writer.condemned
        ):
            return
        self.steps += 1
        appended, self.store.writer.appended = self.store.writer.appended, 0
        self.store.estimate_room()
        if self.store.writer.condemned and not self.store.durable:
            self.delete_condemned()
        try:
            self.store.write_pending()
        except NoSpaceError:
            pass
        victim = self._choose(short=False)
        if victim is None:
            return
        size = compaction_planner.CompactionCandidate(victim.number, victim.physical, victim.live)
        wanted = compaction_planner.pace(self.store.sizes(), size, appended)
        if wanted or victim.done:
            self.work(min(wanted, self.most_step), short=False)

    def _choose(self, short: bool) -> Segment | None:
        """The victim under way, or else the best candidate; None if no segment is to be moved."""
        if self.victim is not None:
            return self.victim
        self.stuck = {number: until for number, until in self.stuck.items() if until > self.steps}
        candidates = (
            compaction_planner.CompactionCandidate(each.number, each.physical, each.live)
            for each in self.store.segment_index.segments.values()
            if each is not self.store.writer.active and not each.foreign and each.number not in self.stuck
        )
        best = compaction_planner.choose(candidates, short)
        if best is None:
            return None
        self.victim = self.store.segment_index.segments[best.number]
        self.todo = self.store.segment_index.records_to_move(self.victim)
        return self.victim

    def work(self, budget: int, short: bool) -> bool:
        """Move about `budget` bytes of live records out of the victim; returns False if there is none or it failed."""
        victim = self._choose(short)
        if victim is None:
            return False
        moved = 0
        try:
            while self.todo and moved <= budget:
                moved += self._move(victim, self.todo[-1])
                self.todo.pop()
            while victim.unknown and moved <= budget and not self.todo:
                moved += self._move_unknown(victim)
            if not self.todo and not victim.unknown:
                self._finish(victim)
        except (NoSpaceError, BodyLostError, OSError) as error:
            logger.error("{} cannot be compacted now: {}", segment_name(victim.number), describe(error))
            self._leave(victim)
            return False
        return True

    def _leave(self, victim: Segment) -> None:
        """Give up on a segment for `RETRY_STEPS` steps."""
        self.stuck[victim.number] = self.steps + RETRY_STEPS
        self.victim, self.todo = None, []

    def _move(self, victim: Segment, number: int) -> int:
        """Append again what a segment holds of a message; returns the bytes written."""
        stored = self.store.messages.get(number)
        if stored is not None and stored.home == victim.number:
            if stored.end is not None:
                stored.checksum = 0
                return self.store.write_message(stored, b"", RecordUse.MOVE)  # a message that has ended needs no body
            body = (
                stored.body
                if stored.body is not None
                else self.store.body_cache.read(stored, self.store.segment_index.segments)
            )
            return self.store.write_message(stored, body, RecordUse.MOVE)
        if stored is not None and victim.number in stored.noted:
            return self.store.write_note(stored, records.state(stored), RecordUse.MOVE)
        if number in victim.tombstones:
            segment, _ = self.store.append_record(OVER_BODY.pack(OVER, number), RecordUse.MOVE)
            self.store.segment_index.end_rewritten(number, segment)
            return records.OVER_RECORD_BYTES
        return 0

    def _move_unknown(self, victim: Segment) -> int:
        """Append again one record of a kind that this version does not know; returns its size in bytes."""
        at, size = victim.unknown[-1]
        if victim.file < 0:
            victim.file = self.store.folder.open(segment_name(victim.number), append=False)
        payload = self.store.folder.read(victim.file, size, at)
        segment, begin = self.store.append_record(payload, RecordUse.MOVE)
        self.store.segment_index.add_unknown(segment, begin + FRAME.size, size)
        victim.unknown.pop()
        victim.unknown_bytes -= size
        self.store.segment_index.live -= size
        return size

    def _finish(self, victim: Segment) -> None:
        """No record of a segment is needed any more: append a drop record and delete its file."""
        if not victim.done:  # records were added while it was being moved, which happens only after a failed write
            self.todo = self.store.segment_index.records_to_move(victim)
            if not self.todo:
                self._leave(victim)
            return
        self.store.append_record(OVER_BODY.pack(DROP, victim.number), RecordUse.MOVE)
        self.victim, self.todo = None, []
        if victim.file >= 0:
            quietly(self.store.folder.close, victim.file)
            victim.file = -1
        self.store.segment_index.dropped(victim)
        self.store.writer.condemned.append(
            CondemnedFile(segment_name(victim.number), compaction_planner.blocks(victim.physical))
        )
        # With `durable`, the file is deleted only after the next flush: were it deleted before its moved records are
        # on the disk, a power cut would lose them.
        if not self.store.durable:
            self.delete_condemned()

    def delete_condemned(self) -> None:
        """Delete the files of dropped segments; those that cannot be deleted stay listed for the next call."""
        left = []
        for name, size in self.store.writer.condemned:
            try:
                self.store.folder.unlink(name)
                self.store.writer.used -= size
            except FileNotFoundError:
                self.store.writer.used -= size
            except OSError as error:
                logger.error(DiskError(f"{name} cannot be deleted: {error}").line)
                left.append(CondemnedFile(name, size))
        self.store.writer.condemned = left

    def find_room(self, grows: int, use: RecordUse) -> None:
        """Compact at once because a record does not fit; raises `NoSpaceError` if that does not free enough.

        `grows`: bytes by which the record makes the active segment's file grow, in whole blocks.
        """
        floor = compaction_planner.reserve(self.store.sizes()) - (
            0 if use is RecordUse.NEW_MESSAGE else compaction_planner.SLACK
        )
        turns = 0 if use is RecordUse.SHORT_RECORD else self.inline_steps_since_step
        while grows and self.store.limit - self.store.writer.used - grows < floor:
            turns += 1
            self.inline_steps += 1
            self.inline_steps_since_step += 1
            # New messages share one inline step between two calls of `step`: were each to compact for itself, a round
            # with many messages would block.
            if turns > (MAX_INLINE_STEPS if use is RecordUse.SHORT_RECORD else 1) or not self.work(
                self.most_step, short=True
            ):
                if use is RecordUse.SHORT_RECORD and self.store.limit - self.store.writer.used - grows >= 0:
                    return  # short records may use the reserve
                raise NoSpaceError("the folder is full")
