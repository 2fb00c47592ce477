"""The files of this member's replicas: one for each partition, with the steps that brought its replica forward.

A file has a header (version, partition, when it was made) and entries, each in a frame as in the store's files. Reading
the entries again rebuilds the replica. A file of more than twice what is owed is compacted in small steps while entries
go on coming: each step writes a part of what is owed now into a fresh file, each entry goes to both files, and at the
end the fresh file takes the name. An append that returned outlives the process; with `durable`, `flush` also syncs it
to disk. Sizes are bytes.
"""

import os
import re
from collections.abc import Callable

import msgspec
from loguru import logger

from cedarwick.errors import CedarwickError
from cedarwick.fleet.messages import Digests, ReplicaAck, ReplicateFacts, ReplicatePiece
from cedarwick.fleet.replica import Replica, ReplicaEntry, ReplicaStep
from cedarwick.fleet.replication import MAX_MESSAGE_NUMBER, NO_ROOM
from cedarwick.fleet.replication_facts import CorruptFactsError, Fact, decode_facts
from cedarwick.store.files import Folder, ignore_os_error
from cedarwick.store.records import FRAME_HEADER, MAX_PAYLOAD_BYTES, DamagedRange, encode_frame, may_be_partial_frame
from cedarwick.store.recovery import read_records

VERSION = 1  # of the files
NAME = re.compile(r"([0-9]{1,10})\.log")
FRESH_SUFFIX = ".new"  # suffix of the fresh file of a compaction
OTHER_VERSION_SUFFIX = ".other"  # suffix of a file that another version has written
COMPACTION_PART_BYTES = 1 << 16  # bytes that one step of a compaction writes
RETRY_STEPS = 64  # steps after which a failed compaction is tried again
COMPACTION_SLACK_BYTES = 1 << 17  # bytes above twice what is owed from which a file is compacted
HEADER, ENTRY = b"\x01", b"\x02"


class ReplicaRefusedError(CedarwickError):
    """A replica for another member cannot be written."""

    code = "CW722"
    remedy = "raise fleet.copies_mb or free the disk; until then the other member has one copy less"


class ReplicaDamagedError(CedarwickError):
    """The file of a replica is damaged; what can be read is kept and put in doubt, the rest is asked for anew."""

    code = "CW723"
    remedy = "look at the disk; the holder sends everything again, without it what is in doubt is answered by itself"


class ReplicaVersionError(CedarwickError):
    """The file of a replica was written by another version of the program and is put aside."""

    code = "CW724"
    remedy = "delete the file that is named once its holder lives; before that the version that wrote it can read it"


class FileHeader(msgspec.Struct, array_like=True):
    """How a file begins."""

    version: int
    partition: int
    made_at: int  # wall microseconds


ENCODER = msgspec.msgpack.Encoder()
HEADERS: msgspec.msgpack.Decoder[FileHeader] = msgspec.msgpack.Decoder(FileHeader)
ENTRIES: msgspec.msgpack.Decoder[ReplicaEntry] = msgspec.msgpack.Decoder(ReplicaEntry)


class ReplicaFolder(Folder):
    """`$RELAY_STATE/fleet/copies`."""

    def replace(self, name: str, by: str) -> None:
        """Rename file `by` to `name` atomically; raises `OSError`."""
        os.replace(os.path.join(self.path, by), os.path.join(self.path, name))


class ReplicaFile:
    """One partition's replica and its file."""

    def __init__(self, partition: int) -> None:
        self.name = f"{partition}.log"
        self.replica = Replica(partition)
        self.file = -1
        self.size = 0
        self.fresh = -1  # the file that is being written anew
        self.fresh_size = 0
        self.compacted_upto = 0  # the numbers that the fresh file has
        self.torn = False  # nothing more can be appended: the file must be written anew
        self.compacted_size = 0  # bytes of the file when it was written anew last
        self.retry_at_step = 0  # the step until which that is not tried again


class ReplicaStore:
    """All replicas that this member keeps for others. One greenlet at a time calls it."""

    def __init__(self, folder: ReplicaFolder, limit: int, *, now: Callable[[], int], durable: bool = False) -> None:
        """`limit`: bytes of all files together; `now` returns wall clock microseconds."""
        self.folder = folder
        self.limit_bytes = limit
        self.now = now
        self.durable = durable
        self.files: dict[int, ReplicaFile] = {}
        self.unsynced: dict[int, int] = {}  # files with bytes that no sync has followed: `written` after the last
        self.refusing: set[int] = set()  # partitions whose holders got `NO_ROOM`; logged once
        self.steps = 0
        self.written_bytes = 0  # bytes ever
        # Called once a step of a partition is in its file.
        self.on_step: Callable[[int, ReplicaEntry, list[Fact]], None] = lambda *_: None

    @property
    def used_bytes(self) -> int:
        """Bytes of all files."""
        return sum(copy.size + copy.fresh_size for copy in self.files.values())

    def load(self) -> None:
        """Read the files of earlier processes; raises `OSError` if the folder cannot be used."""
        for name in self.folder.names():
            found = NAME.fullmatch(name)
            if name.endswith(FRESH_SUFFIX):
                ignore_os_error(self.folder.unlink, name)
            elif found is not None:
                try:
                    self._load_file(int(found[1]))
                except OSError as error:  # its holder gets `NO_ROOM` until somebody has looked
                    logger.error(ReplicaDamagedError(f"{name}: {error}").line)

    def replica(self, partition: int) -> Replica | None:
        """The replica of a partition, for the member that adopts it; None if there is none."""
        copy = self.files.get(partition)
        return copy.replica if copy is not None else None

    def receive_facts(self, message: ReplicateFacts) -> ReplicaAck:
        """Take a part of a partition's tail; written before this returns the answer."""
        copy = self._file_of(message.partition)
        return self._apply(copy, copy.replica.step_for_facts(message))

    def receive_piece(self, message: ReplicatePiece) -> ReplicaAck:
        """Take all that a partition owes in a range; written before this returns the answer."""
        copy = self._file_of(message.partition)
        return self._apply(copy, copy.replica.step_for_piece(message))

    def compare_digests(self, message: Digests) -> Digests:
        """The digests of a replica for the ranges in the message."""
        return self._file_of(message.partition).replica.answer_digests(message)

    def drop(self, partition: int) -> None:
        """Delete the replica of a partition and its file."""
        self.refusing.discard(partition)
        copy = self.files.pop(partition, None)
        if copy is not None:
            self._abandon_compaction(copy)
            if copy.file >= 0:
                self._close(copy.file)
            ignore_os_error(self.folder.unlink, copy.name)

    def flush(self, call: Callable[..., object] | None = None) -> None:
        """With `durable`, sync all that was written to disk, before an answer is sent; raises `OSError`.

        `call` runs a blocking function outside of the event loop.
        """
        for file, written in list(self.unsynced.items()):
            if file not in self.unsynced:
                continue  # closed meanwhile, what it held is on the disk under the same name
            try:
                if call is None:
                    self.folder.sync(file)
                else:
                    call(self.folder.sync, file)
            except OSError:
                if file in self.unsynced:
                    raise
            # What was appended while `call` let other greenlets run may not be covered by this sync.
            if self.unsynced.get(file) == written:
                del self.unsynced[file]

    def compact_step(self) -> bool:
        """Do a bounded part of compacting a file that has grown too large; returns whether there is more to do."""
        for copy in self.files.values():
            if copy.fresh >= 0:
                self._continue_compaction(copy)
                return True
        self.steps += 1
        for copy in self.files.values():
            least = max(copy.replica.pending_bytes, copy.compacted_size)
            most = least * 5 // 4 + COMPACTION_PART_BYTES if self.refusing else least * 2 + COMPACTION_SLACK_BYTES
            if (copy.torn or copy.size > most) and copy.retry_at_step <= self.steps:
                return self._begin_compaction(copy)
        return False

    def close(self) -> None:
        """Close all files."""
        for copy in self.files.values():
            self._abandon_compaction(copy)
            if copy.file >= 0:
                self._close(copy.file)
        self.files.clear()

    # ---- writing ----

    def _file_of(self, partition: int) -> ReplicaFile:
        if partition not in self.files:
            return ReplicaFile(partition)  # stored once something is written
        return self.files[partition]

    def _apply(self, copy: ReplicaFile, step: ReplicaStep) -> ReplicaAck:
        if step.entry is None:
            return step.ack
        try:
            self._append(copy, encode_frame(ENTRY + ENCODER.encode(step.entry)))
        except (ReplicaRefusedError, OSError) as error:
            if copy.replica.partition not in self.refusing:
                self.refusing.add(copy.replica.partition)
                logger.error(ReplicaRefusedError(f"{copy.name}: {error}").line)
            return copy.replica.ack(NO_ROOM)
        self.refusing.discard(copy.replica.partition)
        copy.replica.apply(step.entry, step.facts)
        self.on_step(copy.replica.partition, step.entry, step.facts)
        return step.ack

    def _append(self, copy: ReplicaFile, frame: bytes) -> None:
        """Write an entry to a replica's file, and to its fresh one.

        Raises `ReplicaRefusedError` or `OSError`; then it is in neither.
        """
        largest = max((each.replica.pending_bytes for each in self.files.values()), default=0)
        if self.used_bytes + 2 * len(frame) + largest > self.limit_bytes:  # room for the largest to be written anew
            raise ReplicaRefusedError(f"{self.used_bytes} bytes are in use, and {self.limit_bytes} are the most")
        if len(frame) > MAX_PAYLOAD_BYTES or copy.torn:
            raise ReplicaRefusedError(
                "it is too long" if len(frame) > MAX_PAYLOAD_BYTES else "the file has a torn end for now"
            )
        if copy.file < 0:
            self._create(copy)
        self._write(copy, frame)
        if copy.fresh >= 0 and not self._write_fresh(copy, frame):
            self._abandon_compaction(copy)

    def _write(self, copy: ReplicaFile, frame: bytes) -> None:
        written = 0
        try:
            written = self.folder.append(copy.file, frame)
            if written < len(frame):
                raise OSError("a record was cut short")
        except OSError:
            # After a torn record nothing may follow: the next start would take it for damage.
            copy.torn = not ignore_os_error(self.folder.truncate, copy.file, copy.size)
            raise
        copy.size += written
        self.written_bytes += written
        if self.durable:
            self.unsynced[copy.file] = self.written_bytes

    def _create(self, copy: ReplicaFile) -> None:
        copy.file = self.folder.create(copy.name)
        self.files[copy.replica.partition] = copy
        try:
            self._write(copy, self._header(copy))
        except OSError:
            self.drop(copy.replica.partition)
            copy.file = -1
            raise

    def _header(self, copy: ReplicaFile) -> bytes:
        return encode_frame(HEADER + ENCODER.encode(FileHeader(VERSION, copy.replica.partition, self.now())))

    def _close(self, file: int) -> None:
        self.unsynced.pop(file, None)
        ignore_os_error(self.folder.close, file)

    # ---- written anew ----

    def _begin_compaction(self, copy: ReplicaFile) -> bool:
        ignore_os_error(self.folder.unlink, copy.name + FRESH_SUFFIX)
        try:
            copy.fresh, copy.fresh_size, copy.compacted_upto = self.folder.create(copy.name + FRESH_SUFFIX), 0, 0
        except OSError:
            return False
        return self._write_fresh(copy, self._header(copy)) or self._abandon_compaction(copy)

    def _continue_compaction(self, copy: ReplicaFile) -> None:
        """Write the next part of what is owed; with the last one the fresh file takes the name."""
        part = copy.replica.snapshot_part(copy.compacted_upto, COMPACTION_PART_BYTES)
        if not self._write_fresh(copy, encode_frame(ENTRY + ENCODER.encode(part))):
            self._abandon_compaction(copy)
            return
        copy.compacted_upto = part.upto
        if part.upto < MAX_MESSAGE_NUMBER:
            return
        try:
            if self.durable:
                self.folder.sync(copy.fresh)  # before the rename: a power cut could lose both
            self.folder.replace(copy.name, copy.name + FRESH_SUFFIX)
        except OSError:
            self._abandon_compaction(copy)
            return
        if copy.file >= 0:
            self._close(copy.file)
        copy.file, copy.size, copy.compacted_size, copy.torn = copy.fresh, copy.fresh_size, copy.fresh_size, False
        copy.fresh, copy.fresh_size = -1, 0

    def _write_fresh(self, copy: ReplicaFile, frame: bytes) -> bool:
        try:
            written = self.folder.append(copy.fresh, frame)
        except OSError:
            return False
        copy.fresh_size += written
        self.written_bytes += written
        return written == len(frame)

    def _abandon_compaction(self, copy: ReplicaFile) -> bool:
        """Give up the fresh file and stay with the old one; done again at a later step."""
        if copy.fresh >= 0:
            self._close(copy.fresh)
            ignore_os_error(self.folder.unlink, copy.name + FRESH_SUFFIX)
            copy.fresh, copy.fresh_size = -1, 0
        # A pause: on a full disk the same part would be written and thrown away for ever.
        copy.retry_at_step = self.steps + RETRY_STEPS
        return False

    # ---- at the start ----

    def _load_file(self, partition: int) -> None:
        """Rebuild a replica from its file."""
        copy = ReplicaFile(partition)
        replica, end, made_at, damaged = copy.replica, 0, 0, False
        # Opened first, so that a file that cannot be opened raises instead of passing for an empty one.
        copy.file = self.folder.open(copy.name, append=True)
        size = self.folder.size(copy.name)
        for each in read_records(self.folder, copy.name, None):
            if isinstance(each, DamagedRange):
                damaged |= not (each.end_offset == size and self._has_torn_end(copy.name, each))
                continue
            try:
                if each.payload[:1] == HEADER and not made_at:
                    top = HEADERS.decode(each.payload[1:])
                    if top.version != VERSION or top.partition != partition:
                        logger.error(
                            ReplicaVersionError(f"{copy.name}: version {top.version}, partition {top.partition}").line
                        )
                        self._close(copy.file)
                        ignore_os_error(self.folder.replace, copy.name + OTHER_VERSION_SUFFIX, copy.name)
                        return
                    made_at = top.made_at
                elif each.payload[:1] == ENTRY:
                    entry = ENTRIES.decode(each.payload[1:])
                    replica.apply(entry, decode_facts(entry.facts))
                else:
                    damaged = True
            except (msgspec.MsgspecError, CorruptFactsError):
                damaged = True
            end = each.offset + FRAME_HEADER.size + len(each.payload)
        if not made_at and not replica.pending:  # nothing was acknowledged, or nothing can be read
            if damaged:
                logger.error(ReplicaDamagedError(f"{copy.name}: nothing of it can be read").line)
            self._close(copy.file)
            ignore_os_error(self.folder.unlink, copy.name)
            return
        if damaged or not made_at:
            logger.error(ReplicaDamagedError(f"{copy.name}: {len(replica.pending)} messages are put in doubt").line)
            replica.mark_in_doubt(made_at or 1)
            copy.torn = True
        copy.size = size
        if not copy.torn:
            copy.torn = not ignore_os_error(self.folder.truncate, copy.file, end)
            copy.size = size if copy.torn else end
        self.files[partition] = copy

    def _has_torn_end(self, name: str, damage: DamagedRange) -> bool:
        """Whether a file ends in the beginning of a record whose writing was cut off, which was not acknowledged."""
        try:
            file = self.folder.open(name, append=False)
        except OSError:
            return False
        try:
            size = min(damage.end_offset - damage.offset, FRAME_HEADER.size + MAX_PAYLOAD_BYTES)
            return may_be_partial_frame(self.folder.read(file, size, damage.offset), 0)
        except OSError:
            return False
        finally:
            self.folder.close(file)
