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
from cedarwick.store.files import LEGACY_FILE_PATTERN, Folder, NoSpaceError, file_numbers, ignore_os_error
from cedarwick.store.records import (
    ATTEMPT,
    ATTEMPT_BODY,
    FINAL_ANSWER,
    FINAL_ANSWER_BODY,
    FINISHED,
    FINISHED_BODY,
    FRAME_HEADER,
    OUTCOME,
    OUTCOME_BODY,
    OUTCOMES,
    StoredMessage,
    encode_frame,
)
from cedarwick.store.recovery import recover
from cedarwick.store.segment_writer import ObsoleteFile, PendingRecord, SegmentWriter
from cedarwick.store.segments import Segment, SegmentIndex

DEFAULT_BODY_CACHE_BYTES = 1 << 26  # default limit of the bodies held in memory, in bytes
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
        body_cache_bytes: int = DEFAULT_BODY_CACHE_BYTES,
        segment_bytes: int = 0,
        max_step_bytes: int = compaction_planner.MAX_STEP_BYTES,
    ) -> None:
        """Open nothing yet; `load` does.

        `now` returns wall time in microseconds. `disk_bytes`, `body_cache_bytes`, `segment_bytes` (0: chosen by
        `disk_bytes`) and `max_step_bytes` are in bytes. With `durable`, `flush` syncs records to the disk.
        """
        self.folder = Folder(folder) if isinstance(folder, str) else folder
        self.now = now
        self.durable = durable
        self.ack_after_replication = False  # whether ends are answered only after other senders have recorded them
        self.answers_wait_for_flush = durable  # whether answers wait for `flush`
        self.configured_segment_bytes = segment_bytes
        self.segment_index = SegmentIndex()
        self.writer = SegmentWriter(self.folder, self.segment_index, now, durable)
        self.next_number = 1
        self.last_legacy_file = 0
        self.migrating: dict[int, tuple[int, str]] = {}  # messages moving between senders: no attempt may start
        self.restarted = False  # whether the folder held anything at the start
        self.damaged = False  # whether part of that could not be read
        self.pending_records: deque[PendingRecord] = deque()
        self.body_cache = BodyCache(self.folder, body_cache_bytes)
        self.compactor = Compactor(self, max_step_bytes)
        self.set_limit(disk_bytes)

    @property
    def messages(self) -> dict[int, StoredMessage]:
        """All unfinished messages, by number."""
        return self.segment_index.messages

    @property
    def inline_compactions(self) -> int:
        """The number of inline compaction steps, made because a record did not fit."""
        return self.compactor.inline_steps

    @property
    def used_bytes(self) -> int:
        """Bytes of all files, in whole blocks."""
        return self.writer.used_bytes

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
        self.limit_bytes = disk_bytes
        self.reserve_bytes, self.free_bytes = 1 << 62, -1  # reserve and free bytes; computed at the next use
        self.writer.max_segment_bytes = self.configured_segment_bytes or compaction_planner.segment_size(disk_bytes)

    # ---- at the start ----

    def load(self) -> None:
        """Lock the folder, read the unfinished messages and prepare to append.

        Raises `FolderInUseError`, `NoSpaceError` or OSError if that is impossible.
        """
        self.folder.acquire_lock()
        found = recover(self.folder, logger.error)
        self.segment_index, self.next_number, self.last_legacy_file = (
            found.segment_index,
            found.next_message,
            found.last_legacy_file,
        )
        self.writer.segment_index, self.writer.last_segment_number = found.segment_index, found.last_segment
        leftover = [name for name in found.leftover_files if not ignore_os_error(self.folder.unlink, name)]
        taken_over, next_number, files = legacy_format.read(self.folder, self.last_legacy_file)
        self.restarted = bool(self.segment_index.segments or files)
        self.next_number = max(self.next_number, next_number)
        self.writer.update_used_bytes()
        self.writer.obsolete_files = [
            ObsoleteFile(name, compaction_planner.round_up_to_blocks(self.folder.size(name))) for name in leftover
        ]
        self._open_active_segment(found.newest_valid_bytes)
        if files:
            logger.info("a folder of the first format is taken over: {} messages", len(taken_over))
            for stored in taken_over.values():
                if stored.number not in self.messages:
                    self.write_message(stored, stored.body or b"", RecordUse.MOVE)
            self.last_legacy_file = max(files)
            self.begin_segment()  # its header records that the old files have been taken over
        for number in file_numbers(self.folder.names(), LEGACY_FILE_PATTERN):
            if number <= self.last_legacy_file:
                ignore_os_error(self.folder.unlink, f"{number:08d}.log")
                self.writer.update_used_bytes()
        self.damaged = found.damaged
        if found.damaged:
            for stored in list(self.messages.values()):
                # The damaged segment will be deleted one day; the doubt must be on record elsewhere before that.
                self.write_short_record(stored, records.encode_state_record(stored), RecordUse.MOVE)
        for stored in self.messages.values():
            if stored.body is not None:
                self.body_cache.add(stored, self.messages)

    def _open_active_segment(self, tail: int) -> None:
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
        head = (
            FRAME_HEADER.size
            + records.HEADER_BODY.size
            + records.HEADER_LINE.size * (len(self.segment_index.segments) + 1)
        )
        return compaction_planner.Sizes(
            self.limit_bytes,
            self.used_bytes,
            self.segment_index.live_bytes,
            self.writer.max_segment_bytes,
            self.segment_index.largest_record_bytes,
            head,
            self.segment_index.expected_short_record_bytes(),
        )

    def stored_size(self, stored: StoredMessage) -> int:
        """The bytes that a message takes on disk, with one state record."""
        texts = len(stored.id) + len(stored.key) + len(stored.priority_class) + len(stored.tenant)
        body = len(stored.body) if stored.body is not None else stored.body_size
        return (
            FRAME_HEADER.size
            + records.MESSAGE_BODY.size
            + records.STATE_BODY.size
            + texts
            + body
            + records.STATE_RECORD_BYTES
        )

    def has_room(self, stored: StoredMessage) -> bool:
        """Whether a new message can be accepted."""
        return self.fits(stored)

    def fits(self, stored: StoredMessage) -> bool:
        """Whether a message can be stored, with room for the short records that it will need."""
        weighed = self.stored_size(stored)
        if weighed > self.free_bytes:
            self.update_free_bytes()
        return weighed <= self.free_bytes and not self.pending_records

    def update_free_bytes(self) -> None:
        """Compute anew how many bytes are free; between two calls the estimate may only be too low."""
        sizes = self.sizes()
        self.reserve_bytes, self.free_bytes = (
            compaction_planner.reserved_bytes(sizes),
            compaction_planner.free_message_bytes(sizes),
        )

    def remaining_capacity(self) -> int:
        """The number of further messages of the mean stored size that fit in the folder."""
        mean = max(
            (self.segment_index.live_bytes + self.segment_index.expected_short_record_bytes())
            // max(1, len(self.messages))
            + 1,
            records.STATE_RECORD_BYTES,
        )
        if self.free_bytes < FEW_MESSAGES_LEFT * mean:
            self.update_free_bytes()
        return max(0, self.free_bytes) // mean

    def add_message(self, stored: StoredMessage) -> None:
        """Write the record of an accepted message; raises `NoSpaceError` if it does not fit."""
        body = stored.body or b""
        stored.body_size, stored.body_checksum = len(body), zlib.crc32(body)
        if not self.fits(stored):
            raise NoSpaceError("no room for another message")
        self.write_message(stored, body, RecordUse.NEW_MESSAGE)
        self.free_bytes -= self.stored_size(stored)
        self.body_cache.add(stored, self.messages)

    def record_attempt(self, number: int, sent_at: int, zone: int) -> None:
        """Record an attempt before it is sent; after `NoSpaceError` it must not be sent.

        `sent_at`: wall-clock microseconds; `zone`: the zone mark of the receiver.
        """
        stored = self.messages[number]
        self.write_short_record(stored, ATTEMPT_BODY.pack(ATTEMPT, number, sent_at, zone), RecordUse.SHORT_RECORD)
        stored.apply_attempt(sent_at, zone)

    def record_outcome(self, number: int, outcome: Outcome) -> None:
        """Record the outcome of the attempt in flight; a completed one ends its message.

        Raises `NoSpaceError` if the record did not fit; it is then written later.
        """
        stored = self.messages.get(number)
        if stored is None or not stored.in_flight_since:
            return
        if outcome is Outcome.COMPLETED:
            self.finish(number)
            return
        stored.apply_outcome(outcome.never_ran)
        self._write_or_queue(
            OUTCOME_BODY.pack(OUTCOME, number, OUTCOMES.index(outcome)), self._index_when_written(stored)
        )

    def record_may_have_run(self, number: int, at: int, zone: int) -> None:
        """Record an attempt of another sender that may have run, earlier than all known here."""
        stored = self.messages[number]
        stored.may_have_run_at, stored.may_have_run_zone = at, zone
        self._write_or_queue(records.encode_state_record(stored), self._index_when_written(stored))

    def record_final_answer(self, number: int, rejected: bool, wait_ms: int) -> None:
        """Record the final answer: its notice must still be sent, its body is not needed any more."""
        stored = self.messages.get(number)
        if stored is not None:
            stored.final_answer = (rejected, wait_ms)
            self.body_cache.release(stored)
            self._write_or_queue(
                FINAL_ANSWER_BODY.pack(FINAL_ANSWER, number, rejected, wait_ms), self._index_when_written(stored)
            )

    def finish(self, number: int) -> None:
        """Record that a message is finished and forget it."""
        stored = self.messages.get(number)
        if stored is not None:
            self.body_cache.release(stored)
            holders = self.segment_index.remove_message(stored)
            self._write_or_queue(
                FINISHED_BODY.pack(FINISHED, number),
                lambda segment: self.segment_index.add_end_record(number, holders, segment),
            )

    def step(self) -> None:
        """Run one bounded compaction step; called between two rounds."""
        self.compactor.step()

    def may_answer(self) -> bool:
        """Whether this sender may answer for its messages; always true without a fleet."""
        return True

    def accepts_messages(self) -> bool:
        """Whether new messages may be accepted at all; always true without a fleet."""
        return True

    def may_send_attempt(self, number: int) -> bool:
        """Whether an attempt of this message may start now; always true without a fleet."""
        return True

    def term_of(self, number: int) -> int:
        """The term of the lease under which this sender has a message; always 0 without a fleet."""
        return 0

    def read_body(self, number: int) -> bytes:
        """The body of a message, from memory or from the folder; raises `BodyLostError` if it cannot be read."""
        stored = self.messages[number]
        return stored.body if stored.body is not None else self.body_cache.read(stored, self.segment_index.segments)

    def flush(self, call: Callable[..., object] | None = None) -> None:
        """With `durable`, sync everything written so far to the disk; raises OSError if that fails.

        `call`, if given, runs the blocking sync elsewhere, for example in a thread pool.
        """
        self.writer.sync(call)
        if self.durable:
            self.compactor.delete_obsolete_files()

    def close(self) -> None:
        """Close all files and give up the lock of the folder."""
        for segment in self.segment_index.segments.values():
            if segment.descriptor >= 0:
                self.folder.close(segment.descriptor)
                segment.descriptor = -1
        self.writer.close()
        self.folder.release_lock()

    # ---- records ----

    def write_message(self, stored: StoredMessage, body: bytes, use: RecordUse) -> int:
        """Write the full record of a message; returns the bytes written. May raise `NoSpaceError`."""
        payload, at = records.encode_message(stored, body)
        segment, begin = self.append_record(payload, use)
        stored.body_size = len(body)
        self.segment_index.add_full_record(
            stored, segment, begin + FRAME_HEADER.size + at, FRAME_HEADER.size + len(payload)
        )
        return FRAME_HEADER.size + len(payload)

    def write_short_record(self, stored: StoredMessage, payload: bytes, use: RecordUse) -> int:
        """Write a short record about a message; returns the bytes written. May raise `NoSpaceError`."""
        segment, _ = self.append_record(payload, use)
        self.segment_index.add_short_record(stored, segment, whole=payload[0] == records.STATE)
        return FRAME_HEADER.size + len(payload)

    def _index_when_written(self, stored: StoredMessage) -> Callable[[Segment], None]:
        """A callback that adds a written short record to the index, if its message is still unfinished."""

        def then(segment: Segment) -> None:
            if stored.number in self.messages:
                self.segment_index.add_short_record(stored, segment)

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
        record = encode_frame(payload)
        writer = self.writer
        active = writer.active
        if active is None or writer.needs_segment(active, len(record)):
            active = self._next_segment(active)
        grows = active.growth(len(record))
        if use is not RecordUse.MOVE and self.limit_bytes - writer.used_bytes - grows < self.reserve_bytes:
            self.compactor.free_space(grows, use)
            active = writer.active or active  # compaction may have begun a new segment
            grows = active.growth(len(record))
        return active, writer.append(active, record, grows, use)

    def _next_segment(self, active: Segment | None) -> Segment:
        """Begin a new segment and return it, or the old one if there is no space for another."""
        try:
            self.begin_segment()
        except NoSpaceError:
            if active is None or self.writer.active_file < 0:
                raise
        assert self.writer.active is not None
        return self.writer.active

    def begin_segment(self) -> None:
        """Seal the active segment and begin another; raises `NoSpaceError` if that cannot be written."""
        self.writer.begin_segment(self.next_number, self.last_legacy_file)
