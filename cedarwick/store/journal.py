"""The durable store: all unfinished messages and the state of their attempts, as a journal of segment files.

Only the dispatcher's greenlet writes to it. When a call returns, its record has been written; with `durable`, `flush`
syncs it to the disk. `segment_writer.py` writes the files, `bodies.py` caches bodies in memory, `compaction.py` frees
space, and `segments.py` is the index of the records that are still needed. Sizes are in bytes, times in wall-clock
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
from cedarwick.store.folder_space import FolderSpace
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

DEFAULT_BODY_CACHE_BYTES = 1 << 26
LOW_CAPACITY_MESSAGES = 64  # with less capacity, `remaining_capacity` computes the free space at each call


class Store:
    """The journal of one folder and its only writer; holds each message from its admission to its final notice."""

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
        """Create the store without opening any file; `load` opens them.

        Args:
            folder: the state folder or its path.
            disk_bytes: limit of the size of all files.
            now: returns wall-clock microseconds.
            durable: `flush` syncs records to the disk.
            body_cache_bytes: limit of the bodies held in memory.
            segment_bytes: size at which a segment is sealed; 0: derived from `disk_bytes`.
            max_step_bytes: the most bytes that one compaction step moves.
        """
        self.folder = Folder(folder) if isinstance(folder, str) else folder
        self.now = now
        self.durable = durable
        self.ack_after_replication = False  # whether final answers wait until other members have recorded them
        self.answers_wait_for_flush = durable  # whether submissions are answered only after `flush`
        self.configured_segment_bytes = segment_bytes
        self.segment_index = SegmentIndex()
        self.writer = SegmentWriter(self.folder, self.segment_index, now, durable)
        self.next_number = 1
        self.last_legacy_file = 0
        self.migrating: dict[int, tuple[int, str]] = {}  # messages of a session that moves; no attempt may start
        self.restarted = False  # whether the folder held records at the start
        self.damaged = False  # whether some of them could not be read
        self.recovered_ids: deque[str] = deque()  # of all messages, finished or not, that `load` has found records of
        self.pending_records: deque[PendingRecord] = deque()
        self.space = FolderSpace(
            self.folder,
            disk_bytes,
            lambda: self.writer.used_bytes,
            lambda: compaction_planner.reserved_bytes(self.sizes()),
        )
        self.body_cache = BodyCache(self.folder, body_cache_bytes)
        self.compactor = Compactor(self, max_step_bytes)
        self.set_limit(disk_bytes)

    @property
    def messages(self) -> dict[int, StoredMessage]:
        """All unfinished messages, by number."""
        return self.segment_index.messages

    @property
    def inline_compactions(self) -> int:
        """The number of compaction steps that were run inline because a record did not fit."""
        return self.compactor.inline_steps

    @property
    def used_bytes(self) -> int:
        """The size of all files, in whole blocks."""
        return self.space.used_bytes

    @property
    def written_bytes(self) -> int:
        """Bytes written since the start, including moved records."""
        return self.writer.written_bytes

    @property
    def moved_bytes(self) -> int:
        """Bytes of records that compaction has moved since the start."""
        return self.writer.moved_bytes

    def set_limit(self, disk_bytes: int) -> None:
        """Set the limit of the size of all files; if more is in use, compaction shrinks the folder."""
        self.space.set_limit(disk_bytes)
        self.reserve_bytes, self.free_bytes = 1 << 62, -1  # unknown; computed at the next use
        self.writer.max_segment_bytes = self.configured_segment_bytes or compaction_planner.segment_size(disk_bytes)

    # ---- at the start ----

    def load(self) -> None:
        """Lock the folder, read the unfinished messages and open a segment for appending.

        Raises `FolderInUseError`, `NoSpaceError` or OSError.
        """
        self.folder.acquire_lock()
        found = recover(self.folder, logger.error)
        self.segment_index, self.next_number, self.last_legacy_file = (
            found.segment_index,
            found.next_message,
            found.last_legacy_file,
        )
        self.recovered_ids = found.message_ids
        self.writer.segment_index, self.writer.last_segment_number = found.segment_index, found.last_segment
        undeleted = [name for name in found.leftover_files if not ignore_os_error(self.folder.unlink, name)]
        legacy_messages, next_number, legacy_files = legacy_format.read(self.folder, self.last_legacy_file)
        self.restarted = bool(self.segment_index.segments or legacy_files)
        self.next_number = max(self.next_number, next_number)
        self.writer.update_used_bytes()
        self.space.measure_all()
        self.space.set_limit(self.space.limit_bytes)
        self.writer.obsolete_files = [
            ObsoleteFile(name, compaction_planner.round_up_to_blocks(self.folder.size(name))) for name in undeleted
        ]
        self._open_active_segment(found.newest_valid_bytes)
        if legacy_files:
            logger.info("a folder of the first format is taken over: {} messages", len(legacy_messages))
            for stored in legacy_messages.values():
                if stored.number not in self.messages:
                    self.write_message(stored, stored.body or b"", RecordUse.MOVE)
            self.last_legacy_file = max(legacy_files)
            self.begin_segment()  # its header records that the legacy files have been converted
        for number in file_numbers(self.folder.names(), LEGACY_FILE_PATTERN):
            if number <= self.last_legacy_file:
                ignore_os_error(self.folder.unlink, f"{number:08d}.log")
                self.writer.update_used_bytes()
        self.damaged = found.damaged
        if found.damaged:
            for stored in list(self.messages.values()):
                # Compaction will delete the damaged segment, so another one must record that attempts may have run.
                self.write_short_record(stored, records.encode_state_record(stored), RecordUse.MOVE)
        for stored in self.messages.values():
            if stored.body is not None:
                self.body_cache.add(stored, self.messages)

    def _open_active_segment(self, valid_bytes: int) -> None:
        """Reopen the newest segment, of which `valid_bytes` bytes are valid, or begin a new one."""
        if self.writer.reopen(valid_bytes):
            return
        try:
            self.begin_segment()
        except NoSpaceError as error:
            # Start anyway: a sender that does not start on a full folder can never finish the messages that fill it.
            logger.error("the folder takes no records so far: {}", error.line)

    # ---- in service ----

    def sizes(self) -> compaction_planner.Sizes:
        """Return the sizes of the folder for the compaction planner."""
        header = (
            FRAME_HEADER.size
            + records.HEADER_BODY.size
            + records.HEADER_LINE.size * (len(self.segment_index.segments) + 1)
        )
        return compaction_planner.Sizes(
            self.space.segment_limit,
            self.writer.used_bytes,
            self.segment_index.live_bytes,
            self.writer.max_segment_bytes,
            self.segment_index.largest_record_bytes,
            header,
            self.segment_index.expected_short_record_bytes(),
        )

    def stored_size(self, stored: StoredMessage) -> int:
        """Return the bytes that a message needs on disk, including one state record."""
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
        """Whether there is space for a message and the short records that it will need."""
        size = self.stored_size(stored)
        if size > self.free_bytes:
            self.update_free_bytes()
        return size <= self.free_bytes and not self.pending_records

    def update_free_bytes(self) -> None:
        """Recompute the free bytes; between two calls the estimate can only be too low."""
        sizes = self.sizes()
        self.reserve_bytes, self.free_bytes = (
            compaction_planner.reserved_bytes(sizes),
            compaction_planner.free_message_bytes(sizes),
        )

    def remaining_capacity(self) -> int:
        """Return how many more messages of the mean stored size fit in the folder."""
        mean_size = max(
            (self.segment_index.live_bytes + self.segment_index.expected_short_record_bytes())
            // max(1, len(self.messages))
            + 1,
            records.STATE_RECORD_BYTES,
        )
        if self.free_bytes < LOW_CAPACITY_MESSAGES * mean_size:
            self.update_free_bytes()
        return max(0, self.free_bytes) // mean_size

    def add_message(self, stored: StoredMessage) -> None:
        """Write the full record of a new message; raises `NoSpaceError` if it does not fit."""
        body = stored.body or b""
        stored.body_size, stored.body_checksum = len(body), zlib.crc32(body)
        if not self.fits(stored):
            raise NoSpaceError("no space for another message")
        self.write_message(stored, body, RecordUse.NEW_MESSAGE)
        self.free_bytes -= self.stored_size(stored)
        self.body_cache.add(stored, self.messages)

    def record_attempt(self, number: int, sent_at: int, zone: int) -> None:
        """Record an attempt before it is sent; if this raises `NoSpaceError`, the attempt must not be sent.

        `zone`: the zone id of the receiver.
        """
        stored = self.messages[number]
        self.write_short_record(stored, ATTEMPT_BODY.pack(ATTEMPT, number, sent_at, zone), RecordUse.SHORT_RECORD)
        stored.apply_attempt(sent_at, zone)

    def record_outcome(self, number: int, outcome: Outcome) -> None:
        """Record the outcome of the attempt in flight; a completed attempt finishes its message.

        Raises `NoSpaceError` if the record does not fit; it stays queued and is written later.
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
        """Record that another sender's attempt may have run, earlier than all attempts known here."""
        stored = self.messages[number]
        stored.may_have_run_at, stored.may_have_run_zone = at, zone
        self._write_or_queue(records.encode_state_record(stored), self._index_when_written(stored))

    def record_final_answer(self, number: int, rejected: bool, wait_ms: int) -> None:
        """Record the final answer of a message; its notice is still to be sent, its body is no longer needed."""
        stored = self.messages.get(number)
        if stored is not None:
            stored.final_answer = (rejected, wait_ms)
            self.body_cache.release(stored)
            self._write_or_queue(
                FINAL_ANSWER_BODY.pack(FINAL_ANSWER, number, rejected, wait_ms), self._index_when_written(stored)
            )

    def finish(self, number: int) -> None:
        """Record that a message is finished and remove it."""
        stored = self.messages.get(number)
        if stored is not None:
            self.body_cache.release(stored)
            holders = self.segment_index.remove_message(stored)
            self._write_or_queue(
                FINISHED_BODY.pack(FINISHED, number),
                lambda segment: self.segment_index.add_end_record(number, holders, segment),
            )

    def step(self) -> None:
        """Run one bounded compaction step; called between two decision rounds."""
        self.compactor.step()

    def may_answer(self) -> bool:
        """Whether this sender may give final answers; always true without a fleet."""
        return True

    def accepts_messages(self) -> bool:
        """Whether new messages may be accepted at all; always true without a fleet."""
        return True

    def may_send_attempt(self, number: int) -> bool:
        """Whether an attempt of this message may start now; always true without a fleet."""
        return True

    def term_of(self, number: int) -> int:
        """Return the lease term under which this sender holds a message; always 0 without a fleet."""
        return 0

    def read_body(self, number: int) -> bytes:
        """Return the body of a message, from memory or from disk; raises `BodyLostError` if it cannot be read."""
        stored = self.messages[number]
        return stored.body if stored.body is not None else self.body_cache.read(stored, self.segment_index.segments)

    def flush(self, call: Callable[..., object] | None = None) -> None:
        """With `durable`, sync everything written so far to the disk; raises OSError if that fails.

        `call`, if given, runs the blocking sync, for example in a thread pool.
        """
        self.writer.sync(call)
        if self.durable:
            self.compactor.delete_obsolete_files()

    def close(self) -> None:
        """Close all files and release the lock of the folder."""
        for segment in self.segment_index.segments.values():
            if segment.descriptor >= 0:
                self.folder.close(segment.descriptor)
                segment.descriptor = -1
        self.writer.close()
        self.folder.release_lock()

    # ---- records ----

    def write_message(self, stored: StoredMessage, body: bytes, use: RecordUse) -> int:
        """Write the full record of a message; returns the bytes written. Raises `NoSpaceError`."""
        payload, body_start = records.encode_message(stored, body)
        segment, offset = self.append_record(payload, use)
        stored.body_size = len(body)
        self.segment_index.add_full_record(
            stored, segment, offset + FRAME_HEADER.size + body_start, FRAME_HEADER.size + len(payload)
        )
        return FRAME_HEADER.size + len(payload)

    def write_short_record(self, stored: StoredMessage, payload: bytes, use: RecordUse) -> int:
        """Write a short record about a message; returns the bytes written. Raises `NoSpaceError`."""
        segment, _ = self.append_record(payload, use)
        self.segment_index.add_short_record(stored, segment, is_full_state=payload[0] == records.STATE)
        return FRAME_HEADER.size + len(payload)

    def _index_when_written(self, stored: StoredMessage) -> Callable[[Segment], None]:
        """Return a callback that adds a written short record to the index if its message is still unfinished."""

        def add_to_index(segment: Segment) -> None:
            if stored.number in self.messages:
                self.segment_index.add_short_record(stored, segment)

        return add_to_index

    def _write_or_queue(self, payload: bytes, when_written: Callable[[Segment], None]) -> None:
        """Write a short record that must not be lost; without space, queue it and raise `NoSpaceError`."""
        if self.pending_records:
            self.pending_records.append(PendingRecord(payload, when_written))
            self.write_pending()
            return
        try:
            segment, _ = self.append_record(payload, RecordUse.SHORT_RECORD)
        except NoSpaceError:
            self.pending_records.append(PendingRecord(payload, when_written))
            raise
        when_written(segment)

    def write_pending(self) -> None:
        """Write the queued short records; raises `NoSpaceError` at the first one that does not fit."""
        while self.pending_records:
            record = self.pending_records[0]
            segment, _ = self.append_record(record.payload, RecordUse.SHORT_RECORD, from_queue=True)
            record.when_written(segment)
            self.pending_records.popleft()

    def append_record(self, payload: bytes, use: RecordUse, from_queue: bool = False) -> tuple[Segment, int]:
        """Append a record; returns its segment and the offset of its frame.

        `from_queue`: the record is the first of `pending_records`. Raises `NoSpaceError` if there is no space or the
        write fails.
        """
        if self.pending_records and not from_queue and use is not RecordUse.MOVE:
            self.write_pending()  # the records of a message must be written in order
        record = encode_frame(payload)
        writer = self.writer
        active = writer.active
        if active is None or writer.needs_segment(active, len(record)):
            active = self._next_segment(active)
        growth_bytes = active.growth(len(record))
        if (
            use is not RecordUse.MOVE
            and self.space.segment_limit - writer.used_bytes - growth_bytes < self.reserve_bytes
        ):
            self.compactor.free_space(growth_bytes, use)
            active = writer.active or active  # compaction may have begun a new segment
            growth_bytes = active.growth(len(record))
        if growth_bytes and not self.space.has_room_for_compaction(growth_bytes):
            raise NoSpaceError("the folder is at its size limit")
        return active, writer.append(active, record, growth_bytes, use)

    def _next_segment(self, active: Segment | None) -> Segment:
        """Begin a new segment and return it, or `active` if there is no space for a new one."""
        try:
            self.begin_segment()
        except NoSpaceError:
            if active is None or self.writer.active_file < 0:
                raise
        assert self.writer.active is not None
        return self.writer.active

    def begin_segment(self) -> None:
        """Seal the active segment and begin a new one; raises `NoSpaceError` if it cannot be written."""
        if not self.space.has_room_for_compaction(compaction_planner.round_up_to_blocks(self.sizes().header)):
            raise NoSpaceError("the folder is at its size limit")
        self.writer.begin_segment(self.next_number, self.last_legacy_file)
