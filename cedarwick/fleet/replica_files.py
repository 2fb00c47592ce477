"""The files of this member's replicas: one file per partition, with the entries that have updated its replica.

A file has a header (version, partition, creation time) and entries, each in a frame as in the store's files. Applying
the entries again rebuilds the replica. A file that grows beyond about twice the size of its pending messages is
compacted in small steps while entries continue to arrive: each step writes a part of the messages pending now to a new
file, each entry goes to both files, and at the end the new file is renamed over the old one. A completed append
survives the end of the process; with `durable`, `flush` also syncs it to disk. Sizes are bytes.
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

VERSION = 1  # version of the file format
FILE_NAME = re.compile(r"([0-9]{1,10})\.log")
NEW_FILE_SUFFIX = ".new"  # suffix of the new file that a compaction writes
OTHER_VERSION_SUFFIX = ".other"  # suffix given to a file that another version has written
COMPACTION_PART_BYTES = 1 << 16  # approximate bytes that one compaction step writes
RETRY_STEPS = 64  # steps until a failed compaction is retried
COMPACTION_SLACK_BYTES = 1 << 17  # a file is compacted above twice its pending bytes plus this
HEADER_KIND, ENTRY_KIND = b"\x01", b"\x02"  # first byte of a payload


class ReplicaRefusedError(CedarwickError):
    """A replica of another member's partition cannot be written."""

    code = "CW722"
    remedy = "raise fleet.copies_mb or free disk space; until then the other member has one replica less"


class ReplicaDamagedError(CedarwickError):
    """The file of a replica is damaged; the readable part is kept but in doubt, and the rest is requested again."""

    code = "CW723"
    remedy = (
        "check the disk; the holder sends everything again; if it is gone, messages in doubt are answered automatically"
    )


class ReplicaVersionError(CedarwickError):
    """The file of a replica was written by another version of the program and is renamed."""

    code = "CW724"
    remedy = (
        "delete the named file once the partition's holder is alive; until then the version that wrote it can read it"
    )


class FileHeader(msgspec.Struct, array_like=True):
    """The header of a replica file."""

    version: int
    partition: int
    created_at: int  # wall microseconds


ENCODER = msgspec.msgpack.Encoder()
HEADER_DECODER: msgspec.msgpack.Decoder[FileHeader] = msgspec.msgpack.Decoder(FileHeader)
ENTRY_DECODER: msgspec.msgpack.Decoder[ReplicaEntry] = msgspec.msgpack.Decoder(ReplicaEntry)


class ReplicaFolder(Folder):
    """The folder of replica files, `$RELAY_STATE/fleet/copies`."""

    def replace(self, name: str, source: str) -> None:
        """Rename file `source` to `name` atomically; raises `OSError`."""
        os.replace(os.path.join(self.path, source), os.path.join(self.path, name))


class ReplicaFile:
    """A replica and its file."""

    def __init__(self, partition: int) -> None:
        self.name = f"{partition}.log"
        self.replica = Replica(partition)
        self.file = -1  # descriptor; -1: not created yet
        self.size = 0
        self.new_file = -1  # descriptor of the new file of a compaction; -1: none is running
        self.new_file_size = 0
        self.new_file_upto = 0  # the new file has the pending messages up to this number
        self.ends_in_partial_record = False  # if so, nothing can be appended until the file is compacted
        self.compacted_size = 0  # size after the last compaction
        self.retry_at_step = 0  # no compaction begins before this step


class ReplicaStore:
    """All replicas that this member keeps for other members. Only one greenlet at a time may call it."""

    def __init__(self, folder: ReplicaFolder, limit: int, *, now: Callable[[], int], durable: bool = False) -> None:
        """`limit`: maximum size of all files together; `now` returns wall clock microseconds."""
        self.folder = folder
        self.limit_bytes = limit
        self.now = now
        self.durable = durable
        self.files: dict[int, ReplicaFile] = {}
        # Files with unsynced data, by descriptor: `written_bytes` after the last append.
        self.unsynced: dict[int, int] = {}
        self.refusing: set[int] = set()  # partitions whose holders were answered `NO_ROOM`, so that it is logged once
        self.steps = 0  # counts calls of `compact_step` without a running compaction
        self.written_bytes = 0  # total bytes written
        # Called when an entry of a partition has been written and applied.
        self.on_step: Callable[[int, ReplicaEntry, list[Fact]], None] = lambda *_: None

    @property
    def used_bytes(self) -> int:
        """The size of all files together."""
        return sum(replica_file.size + replica_file.new_file_size for replica_file in self.files.values())

    def load(self) -> None:
        """Load the files of earlier processes; raises `OSError` if the folder cannot be used."""
        for name in self.folder.names():
            found = FILE_NAME.fullmatch(name)
            if name.endswith(NEW_FILE_SUFFIX):
                ignore_os_error(self.folder.unlink, name)
            elif found is not None:
                try:
                    self._load_file(int(found[1]))
                except OSError as error:  # the holder is answered `NO_ROOM` until an operator has fixed it
                    logger.error(ReplicaDamagedError(f"{name}: {error}").line)

    def replica(self, partition: int) -> Replica | None:
        """The replica of a partition, or None."""
        replica_file = self.files.get(partition)
        return replica_file.replica if replica_file is not None else None

    def receive_facts(self, message: ReplicateFacts) -> ReplicaAck:
        """Accept facts of a partition's tail; they are written before this returns the answer."""
        replica_file = self._file_of(message.partition)
        return self._apply(replica_file, replica_file.replica.step_for_facts(message))

    def receive_piece(self, message: ReplicatePiece) -> ReplicaAck:
        """Accept a piece with the pending messages of a range; it is written before this returns the answer."""
        replica_file = self._file_of(message.partition)
        return self._apply(replica_file, replica_file.replica.step_for_piece(message))

    def handle_digests(self, message: Digests) -> Digests:
        """The replica's digests of the ranges in the message."""
        return self._file_of(message.partition).replica.answer_digests(message)

    def drop(self, partition: int) -> None:
        """Delete the replica of a partition and its file."""
        self.refusing.discard(partition)
        replica_file = self.files.pop(partition, None)
        if replica_file is not None:
            self._abandon_compaction(replica_file)
            if replica_file.file >= 0:
                self._close(replica_file.file)
            ignore_os_error(self.folder.unlink, replica_file.name)

    def flush(self, call: Callable[..., object] | None = None) -> None:
        """With `durable`, sync everything that was written to disk, before an answer is sent; raises `OSError`.

        `call` runs a blocking function outside of the event loop.
        """
        for file, written in list(self.unsynced.items()):
            if file not in self.unsynced:
                continue  # closed meanwhile; its content has been synced under the same name
            try:
                if call is None:
                    self.folder.sync(file)
                else:
                    call(self.folder.sync, file)
            except OSError:
                if file in self.unsynced:
                    raise
            # Data appended while `call` let other greenlets run may not be covered by this sync.
            if self.unsynced.get(file) == written:
                del self.unsynced[file]

    def compact_step(self) -> bool:
        """Do one bounded step of compacting a file that has grown too large; returns whether there is more to do."""
        for replica_file in self.files.values():
            if replica_file.new_file >= 0:
                self._continue_compaction(replica_file)
                return True
        self.steps += 1
        for replica_file in self.files.values():
            live_size = max(replica_file.replica.pending_bytes, replica_file.compacted_size)
            max_size = (
                live_size * 5 // 4 + COMPACTION_PART_BYTES if self.refusing else live_size * 2 + COMPACTION_SLACK_BYTES
            )
            if (
                replica_file.ends_in_partial_record or replica_file.size > max_size
            ) and replica_file.retry_at_step <= self.steps:
                return self._begin_compaction(replica_file)
        return False

    def close(self) -> None:
        """Close all files."""
        for replica_file in self.files.values():
            self._abandon_compaction(replica_file)
            if replica_file.file >= 0:
                self._close(replica_file.file)
        self.files.clear()

    # ---- writing ----

    def _file_of(self, partition: int) -> ReplicaFile:
        if partition not in self.files:
            return ReplicaFile(partition)  # added to `files` once something is written
        return self.files[partition]

    def _apply(self, replica_file: ReplicaFile, step: ReplicaStep) -> ReplicaAck:
        if step.entry is None:
            return step.ack
        try:
            self._append(replica_file, encode_frame(ENTRY_KIND + ENCODER.encode(step.entry)))
        except (ReplicaRefusedError, OSError) as error:
            if replica_file.replica.partition not in self.refusing:
                self.refusing.add(replica_file.replica.partition)
                logger.error(ReplicaRefusedError(f"{replica_file.name}: {error}").line)
            return replica_file.replica.ack(NO_ROOM)
        self.refusing.discard(replica_file.replica.partition)
        replica_file.replica.apply(step.entry, step.facts)
        self.on_step(replica_file.replica.partition, step.entry, step.facts)
        return step.ack

    def _append(self, replica_file: ReplicaFile, frame: bytes) -> None:
        """Write an entry to a replica's file, and to its new file during a compaction.

        After `ReplicaRefusedError` or `OSError` it is in neither.
        """
        largest = max((each.replica.pending_bytes for each in self.files.values()), default=0)
        if self.used_bytes + 2 * len(frame) + largest > self.limit_bytes:  # leaves room to compact the largest one
            raise ReplicaRefusedError(f"{self.used_bytes} bytes are in use, the limit is {self.limit_bytes}")
        if len(frame) > MAX_PAYLOAD_BYTES or replica_file.ends_in_partial_record:
            raise ReplicaRefusedError(
                "the entry is too long"
                if len(frame) > MAX_PAYLOAD_BYTES
                else "the file ends in a partial record until it is compacted"
            )
        if replica_file.file < 0:
            self._create(replica_file)
        self._write(replica_file, frame)
        if replica_file.new_file >= 0 and not self._write_new_file(replica_file, frame):
            self._abandon_compaction(replica_file)

    def _write(self, replica_file: ReplicaFile, frame: bytes) -> None:
        written = 0
        try:
            written = self.folder.append(replica_file.file, frame)
            if written < len(frame):
                raise OSError("the record was written only in part")
        except OSError:
            # Nothing may follow a partial record: the next start would treat it as damage.
            replica_file.ends_in_partial_record = not ignore_os_error(
                self.folder.truncate, replica_file.file, replica_file.size
            )
            raise
        replica_file.size += written
        self.written_bytes += written
        if self.durable:
            self.unsynced[replica_file.file] = self.written_bytes

    def _create(self, replica_file: ReplicaFile) -> None:
        replica_file.file = self.folder.create(replica_file.name)
        self.files[replica_file.replica.partition] = replica_file
        try:
            self._write(replica_file, self._header(replica_file))
        except OSError:
            self.drop(replica_file.replica.partition)
            replica_file.file = -1
            raise

    def _header(self, replica_file: ReplicaFile) -> bytes:
        return encode_frame(
            HEADER_KIND + ENCODER.encode(FileHeader(VERSION, replica_file.replica.partition, self.now()))
        )

    def _close(self, file: int) -> None:
        self.unsynced.pop(file, None)
        ignore_os_error(self.folder.close, file)

    # ---- compaction ----

    def _begin_compaction(self, replica_file: ReplicaFile) -> bool:
        ignore_os_error(self.folder.unlink, replica_file.name + NEW_FILE_SUFFIX)
        try:
            replica_file.new_file, replica_file.new_file_size, replica_file.new_file_upto = (
                self.folder.create(replica_file.name + NEW_FILE_SUFFIX),
                0,
                0,
            )
        except OSError:
            return False
        return self._write_new_file(replica_file, self._header(replica_file)) or self._abandon_compaction(replica_file)

    def _continue_compaction(self, replica_file: ReplicaFile) -> None:
        """Write the next part of the pending messages; after the last part the new file replaces the old one."""
        part = replica_file.replica.snapshot_part(replica_file.new_file_upto, COMPACTION_PART_BYTES)
        if not self._write_new_file(replica_file, encode_frame(ENTRY_KIND + ENCODER.encode(part))):
            self._abandon_compaction(replica_file)
            return
        replica_file.new_file_upto = part.upto
        if part.upto < MAX_MESSAGE_NUMBER:
            return
        try:
            if self.durable:
                self.folder.sync(replica_file.new_file)  # before the rename: a power cut could lose both files
            self.folder.replace(replica_file.name, replica_file.name + NEW_FILE_SUFFIX)
        except OSError:
            self._abandon_compaction(replica_file)
            return
        if replica_file.file >= 0:
            self._close(replica_file.file)
        replica_file.file, replica_file.size, replica_file.compacted_size, replica_file.ends_in_partial_record = (
            replica_file.new_file,
            replica_file.new_file_size,
            replica_file.new_file_size,
            False,
        )
        replica_file.new_file, replica_file.new_file_size = -1, 0

    def _write_new_file(self, replica_file: ReplicaFile, frame: bytes) -> bool:
        try:
            written = self.folder.append(replica_file.new_file, frame)
        except OSError:
            return False
        replica_file.new_file_size += written
        self.written_bytes += written
        return written == len(frame)

    def _abandon_compaction(self, replica_file: ReplicaFile) -> bool:
        """Delete the new file and keep the old one; a later step retries. Always returns False."""
        if replica_file.new_file >= 0:
            self._close(replica_file.new_file)
            ignore_os_error(self.folder.unlink, replica_file.name + NEW_FILE_SUFFIX)
            replica_file.new_file, replica_file.new_file_size = -1, 0
        # Without a pause, a full disk would make it write and delete the same part forever.
        replica_file.retry_at_step = self.steps + RETRY_STEPS
        return False

    # ---- loading ----

    def _load_file(self, partition: int) -> None:
        """Load a replica from its file."""
        replica_file = ReplicaFile(partition)
        replica, end, created_at, damaged = replica_file.replica, 0, 0, False
        # Opened first, so that a file that cannot be opened raises instead of being treated as empty.
        replica_file.file = self.folder.open(replica_file.name, append=True)
        size = self.folder.size(replica_file.name)
        for found in read_records(self.folder, replica_file.name, None):
            if isinstance(found, DamagedRange):
                damaged |= not (found.end_offset == size and self._ends_in_partial_record(replica_file.name, found))
                continue
            try:
                if found.payload[:1] == HEADER_KIND and not created_at:
                    header = HEADER_DECODER.decode(found.payload[1:])
                    if header.version != VERSION or header.partition != partition:
                        logger.error(
                            ReplicaVersionError(
                                f"{replica_file.name}: version {header.version}, partition {header.partition}"
                            ).line
                        )
                        self._close(replica_file.file)
                        ignore_os_error(
                            self.folder.replace, replica_file.name + OTHER_VERSION_SUFFIX, replica_file.name
                        )
                        return
                    created_at = header.created_at
                elif found.payload[:1] == ENTRY_KIND:
                    entry = ENTRY_DECODER.decode(found.payload[1:])
                    replica.apply(entry, decode_facts(entry.facts))
                else:
                    damaged = True
            except (msgspec.MsgspecError, CorruptFactsError):
                damaged = True
            end = found.offset + FRAME_HEADER.size + len(found.payload)
        if not created_at and not replica.pending:  # nothing was acknowledged, or nothing is readable
            if damaged:
                logger.error(ReplicaDamagedError(f"{replica_file.name}: nothing in it is readable").line)
            self._close(replica_file.file)
            ignore_os_error(self.folder.unlink, replica_file.name)
            return
        if damaged or not created_at:
            logger.error(
                ReplicaDamagedError(f"{replica_file.name}: {len(replica.pending)} messages are put in doubt").line
            )
            replica.mark_records_lost(created_at or 1)
            replica_file.ends_in_partial_record = True
        replica_file.size = size
        if not replica_file.ends_in_partial_record:
            replica_file.ends_in_partial_record = not ignore_os_error(self.folder.truncate, replica_file.file, end)
            replica_file.size = size if replica_file.ends_in_partial_record else end
        self.files[partition] = replica_file

    def _ends_in_partial_record(self, name: str, damage: DamagedRange) -> bool:
        """Whether the damage is a partial record at the end of the file, which was never acknowledged."""
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
