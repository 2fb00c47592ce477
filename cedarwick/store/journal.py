"""The durable store: every unfinished message and what is known of its attempts, as a journal of segment files.

It is written by one greenlet, the dispatcher's. A call that returns has written its record (with `durable`, `flush`
syncs it to the disk). `segment_writer.py` writes the files, `bodies.py` caches bodies in memory, `compaction.py` frees
space, `segments.py` is the index of the records that are still needed. Sizes are in bytes, times in wall-clock
microseconds.
"""

import zlib
from collections import deque
from collections.abc import Callable

from loguru import logger

from cedarwick.decisions.interface import Outcome
from cedarwick.store import compaction_planner, legacy_format, records
from cedarwick.store.bodies import BodyCache
from cedarwick.store.compaction import Compactor
from cedarwick.store.compaction_planner import RecordUse
from cedarwick.store.files import OLD_NAME, Folder, NoSpaceError, numbers, quietly
from cedarwick.store.records import (
    ATTEMPT,
    ATTEMPT_BODY,
    END,
    END_BODY,
    FRAME,
    OUTCOME,
    OUTCOME_BODY,
    OUTCOMES,
    OVER,
    OVER_BODY,
    StoredMessage,
    framed,
)
from cedarwick.store.recovery import recover
from cedarwick.store.segment_writer import CondemnedFile, PendingRecord, SegmentWriter
from cedarwick.store.segments import Segment, SegmentIndex

BODIES = 1 << 26  # default limit of the bodies held in memory, in bytes
FEW_MESSAGES_LEFT = 64  # with space for fewer messages, free space is computed anew at each call of `room_for`


class Store:
    """The journal of one folder, and its only writer: holds each message from its acceptance until its final notice."""

    def __init__(
        self,
        folder: Folder | str,
        disk_bytes: int,
        *,
        now: Callable[[], int],
        durable: bool = False,
        bodies: int = BODIES,
        segment: int = 0,
        step: int = compaction_planner.STEP,
    ) -> None:
        """Open nothing yet; `load` does.

        `now` returns wall time in microseconds. `disk_bytes`, `bodies` (held in memory), `segment` (0: chosen by
        `disk_bytes`) and `step` (of compaction) are in bytes. With `durable`, `flush` syncs records to the disk.
        """
        self.folder = Folder(folder) if isinstance(folder, str) else folder
        self.now = now
        self.durable = durable
        self.by_copy = False  # whether ends are answered only after other senders have recorded them
        self.awaited = durable  # whether answers wait for `flush`
        self.wanted_segment = segment
        self.segment_index = SegmentIndex()
        self.writer = SegmentWriter(self.folder, self.segment_index, now, durable)
        self.next_number = 1
        self.old_until = 0
        self.inert: dict[int, tuple[int, str]] = {}  # messages moving between senders: no attempt may start
        self.restarted = False  # whether the folder held anything at the start
        self.damaged = False  # whether part of that could not be read
        self.pending_records: deque[PendingRecord] = deque()
        self.body_cache = BodyCache(self.folder, bodies)
        self.compactor = Compactor(self, step)
        self.set_limit(disk_bytes)

    @property
    def messages(self) -> dict[int, StoredMessage]:
        """All unfinished messages, by number."""
        return self.segment_index.messages

    @property
    def presses(self) -> int:
        """The number of inline compaction steps, made because a record did not fit."""
        return self.compactor.inline_steps

    @property
    def used(self) -> int:
        """Bytes of all files, in whole blocks."""
        return self.writer.used

    @property
    def written_bytes(self) -> int:
        """Bytes written since the start, moved records included."""
        return self.writer.written_bytes

    @property
    def moved_bytes(self) -> int:
        """Bytes of the records that compaction has moved since the start."""
        return self.writer.moved_bytes

    def set_limit(self, disk_bytes: int) -> None:
        """Set the limit in bytes of all files; if it is below what is in use, compaction shrinks the folder."""
        self.limit = disk_bytes
        self.floor, self.spare = 1 << 62, -1  # reserve and free bytes; computed at the next use
        self.writer.segment_size = self.wanted_segment or compaction_planner.segment_size(disk_bytes)

    # ---- at the start ----

    def load(self) -> None:
        """Lock the folder, read the unfinished messages and prepare to append.

        Raises `FolderInUseError`, `NoSpaceError` or OSError if that is impossible.
        """
        self.folder.claim()
        found = recover(self.folder, logger.error)
        self.segment_index, self.next_number, self.old_until = found.segment_index, found.next_message, found.old_until
        self.writer.segment_index, self.writer.last_segment = found.segment_index, found.last
        leftover = [name for name in found.leftover if not quietly(self.folder.unlink, name)]
        taken_over, next_number, files = legacy_format.read(self.folder, self.old_until)
        self.restarted = bool(self.segment_index.segments or files)
        self.next_number = max(self.next_number, next_number)
        self.writer.count_used()
        self.writer.condemned = [
            CondemnedFile(name, compaction_planner.blocks(self.folder.size(name))) for name in leftover
        ]
        self._go_on(found.tail)
        if files:
            logger.info("a folder of the first format is taken over: {} messages", len(taken_over))
            for stored in taken_over.values():
                if stored.number not in self.messages:
                    self.write_message(stored, stored.body or b"", RecordUse.MOVE)
            self.old_until = max(files)
            self.begin_segment()  # its header records that the old files have been taken over
        for number in numbers(self.folder.names(), OLD_NAME):
            if number <= self.old_until:
                quietly(self.folder.unlink, f"{number:08d}.log")
                self.writer.count_used()
        self.damaged = found.damaged
        if found.damaged:
            for stored in list(self.messages.values()):
                # The damaged segment will be deleted one day; the doubt must be on record elsewhere before that.
                self.write_note(stored, records.state(stored), RecordUse.MOVE)
        for stored in self.messages.values():
            if stored.body is not None:
                self.body_cache.add(stored, self.messages)

    def _go_on(self, tail: int) -> None:
        """Append to the newest segment, of which `tail` bytes are valid, or to a new one."""
        if self.writer.reopen(tail):
            return
        try:
            self.begin_segment()
        except NoSpaceError as error:
            # Start all the same: a sender that refused to start on a full folder could never finish the messages that
            # fill it.
            logger.error("the folder takes no records so far: {}", error.line)

    # ---- in service ----

    def sizes(self) -> compaction_planner.Sizes:
        """The sizes of the folder in bytes, for the planner."""
        head = FRAME.size + records.HEADER_BODY.size + records.HEADER_LINE.size * (len(self.segment_index.segments) + 1)
        return compaction_planner.Sizes(
            self.limit,
            self.used,
            self.segment_index.live,
            self.writer.segment_size,
            self.segment_index.largest,
            head,
            self.segment_index.promised_bytes(),
        )

    def weighed(self, stored: StoredMessage) -> int:
        """The bytes that a message takes on disk, with one state record."""
        texts = len(stored.id) + len(stored.key) + len(stored.priority_class) + len(stored.tenant)
        body = len(stored.body) if stored.body is not None else stored.size
        return (
            FRAME.size + records.MESSAGE_BODY.size + records.STATE_BODY.size + texts + body + records.STATE_RECORD_BYTES
        )

    def has_room(self, stored: StoredMessage) -> bool:
        """Whether a new message can be accepted."""
        return self.fits(stored)

    def fits(self, stored: StoredMessage) -> bool:
        """Whether a message can be stored, with room for the short records that it will need."""
        weighed = self.weighed(stored)
        if weighed > self.spare:
            self.estimate_room()
        return weighed <= self.spare and not self.pending_records

    def estimate_room(self) -> None:
        """Compute anew how many bytes are free; between two calls the estimate may only be too low."""
        sizes = self.sizes()
        self.floor, self.spare = compaction_planner.reserve(sizes), compaction_planner.room(sizes)

    def room_for(self) -> int:
        """The number of further messages of the mean stored size that fit in the folder."""
        mean = max(
            (self.segment_index.live + self.segment_index.promised_bytes()) // max(1, len(self.messages)) + 1,
            records.STATE_RECORD_BYTES,
        )
        if self.spare < FEW_MESSAGES_LEFT * mean:
            self.estimate_room()
        return max(0, self.spare) // mean

    def keep(self, stored: StoredMessage) -> None:
        """Write the record of an accepted message; raises `NoSpaceError` if it does not fit."""
        body = stored.body or b""
        stored.size, stored.checksum = len(body), zlib.crc32(body)
        if not self.fits(stored):
            raise NoSpaceError("no room for another message")
        self.write_message(stored, body, RecordUse.NEW_MESSAGE)
        self.spare -= self.weighed(stored)
        self.body_cache.add(stored, self.messages)

    def attempt(self, number: int, sent_at: int, zone: int) -> None:
        """Record an attempt before it is sent; after `NoSpaceError` it must not be sent.

        `sent_at`: wall-clock microseconds; `zone`: the zone mark of the receiver.
        """
        stored = self.messages[number]
        self.write_note(stored, ATTEMPT_BODY.pack(ATTEMPT, number, sent_at, zone), RecordUse.SHORT_RECORD)
        stored.attempt(sent_at, zone)

    def outcome(self, number: int, outcome: Outcome) -> None:
        """Record the outcome of the attempt in flight; a completed one ends its message.

        Raises `NoSpaceError` if the record did not fit; it is then written later.
        """
        stored = self.messages.get(number)
        if stored is None or not stored.out_at:
            return
        if outcome is Outcome.COMPLETED:
            self.over(number)
            return
        stored.outcome(outcome.never_ran)
        self._write_or_queue(OUTCOME_BODY.pack(OUTCOME, number, OUTCOMES.index(outcome)), self._when_written(stored))

    def may_have_run(self, number: int, at: int, zone: int) -> None:
        """Record an attempt of another sender that may have run, earlier than all known here."""
        stored = self.messages[number]
        stored.ran_at, stored.ran_zone = at, zone
        self._write_or_queue(records.state(stored), self._when_written(stored))

    def ended(self, number: int, rejected: bool, wait_ms: int) -> None:
        """Record the final answer: its notice must still be sent, its body is not needed any more."""
        stored = self.messages.get(number)
        if stored is not None:
            stored.end = (rejected, wait_ms)
            self.body_cache.release(stored)
            self._write_or_queue(END_BODY.pack(END, number, rejected, wait_ms), self._when_written(stored))

    def over(self, number: int) -> None:
        """Record that a message is finished and forget it."""
        stored = self.messages.get(number)
        if stored is not None:
            self.body_cache.release(stored)
            holders = self.segment_index.message_over(stored)
            self._write_or_queue(
                OVER_BODY.pack(OVER, number), lambda segment: self.segment_index.end_written(number, holders, segment)
            )

    def step(self) -> None:
        """Run one bounded compaction step; called between two rounds."""
        self.compactor.step()

    def deciding(self) -> bool:
        """Whether this sender may answer for its messages; always true without a fleet."""
        return True

    def taking(self) -> bool:
        """Whether new messages may be accepted at all; always true without a fleet."""
        return True

    def may_fire(self, number: int) -> bool:
        """Whether an attempt of this message may start now; always true without a fleet."""
        return True

    def term_of(self, number: int) -> int:
        """The term of the lease under which this sender has a message; always 0 without a fleet."""
        return 0

    def body(self, number: int) -> bytes:
        """The body of a message, from memory or from the folder; raises `BodyLostError` if it cannot be read."""
        stored = self.messages[number]
        return stored.body if stored.body is not None else self.body_cache.read(stored, self.segment_index.segments)

    def flush(self, call: Callable[..., object] | None = None) -> None:
        """With `durable`, sync everything written so far to the disk; raises OSError if that fails.

        `call`, if given, runs the blocking sync elsewhere, for example in a thread pool.
        """
        self.writer.sync(call)
        if self.durable:
            self.compactor.delete_condemned()

    def close(self) -> None:
        """Close all files and give up the lock of the folder."""
        for segment in self.segment_index.segments.values():
            if segment.file >= 0:
                self.folder.close(segment.file)
                segment.file = -1
        self.writer.close()
        self.folder.release()

    # ---- records ----

    def write_message(self, stored: StoredMessage, body: bytes, use: RecordUse) -> int:
        """Write the full record of a message; returns the bytes written. May raise `NoSpaceError`."""
        payload, at = records.message(stored, body)
        segment, begin = self.append_record(payload, use)
        stored.size = len(body)
        self.segment_index.message_written(stored, segment, begin + FRAME.size + at, FRAME.size + len(payload))
        return FRAME.size + len(payload)

    def write_note(self, stored: StoredMessage, payload: bytes, use: RecordUse) -> int:
        """Write a short record about a message; returns the bytes written. May raise `NoSpaceError`."""
        segment, _ = self.append_record(payload, use)
        self.segment_index.note_written(stored, segment, whole=payload[0] == records.STATE)
        return FRAME.size + len(payload)

    def _when_written(self, stored: StoredMessage) -> Callable[[Segment], None]:
        """A callback that adds a written short record to the index, if its message is still unfinished."""

        def then(segment: Segment) -> None:
            if stored.number in self.messages:
                self.segment_index.note_written(stored, segment)

        return then

    def _write_or_queue(self, payload: bytes, then: Callable[[Segment], None]) -> None:
        """Write a short record that must not be lost; without space it is queued, and `NoSpaceError` raised."""
        if self.pending_records:
            self.pending_records.append(PendingRecord(payload, then))
            self.write_pending()
            return
        try:
            segment, _ = self.append_record(payload, RecordUse.SHORT_RECORD)
        except NoSpaceError:
            self.pending_records.append(PendingRecord(payload, then))
            raise
        then(segment)

    def write_pending(self) -> None:
        """Write the queued short records; raises `NoSpaceError` at the first that still does not fit."""
        while self.pending_records:
            record = self.pending_records[0]
            segment, _ = self.append_record(record.payload, RecordUse.SHORT_RECORD, from_queue=True)
            record.when_written(segment)
            self.pending_records.popleft()

    def append_record(self, payload: bytes, use: RecordUse, from_queue: bool = False) -> tuple[Segment, int]:
        """Append one record; returns its segment and the offset of its frame there.

        `from_queue`: the record is the first of `pending_records`. Raises `NoSpaceError` if there is no space or the
        disk refuses the write.
        """
        if self.pending_records and not from_queue and use is not RecordUse.MOVE:
            self.write_pending()  # records about one message must be written in their order
        record = framed(payload)
        writer = self.writer
        active = writer.active
        if active is None or writer.needs_segment(active, len(record)):
            active = self._next_segment(active)
        grows = active.growth(len(record))
        if use is not RecordUse.MOVE and self.limit - writer.used - grows < self.floor:
            self.compactor.find_room(grows, use)
            active = writer.active or active  # compaction may have begun a new segment
            grows = active.growth(len(record))
        return active, writer.append(active, record, grows, use)

    def _next_segment(self, active: Segment | None) -> Segment:
        """Begin a new segment and return it, or the old one if there is no space for another."""
        try:
            self.begin_segment()
        except NoSpaceError:
            if active is None or self.writer.file < 0:
                raise
        assert self.writer.active is not None
        return self.writer.active

    def begin_segment(self) -> None:
        """Seal the active segment and begin another; raises `NoSpaceError` if that cannot be written."""
        self.writer.begin_segment(self.next_number, self.old_until)
