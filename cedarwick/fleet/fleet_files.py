"""The small files of `$RELAY_STATE/fleet`: granted leases, held partitions, suspension marks, incarnation and owner.

A file is MessagePack in frames as in the message store (`store/records.py`), one frame unless it is long. Files are
replaced atomically: a crash leaves the old file or the new one. Replicas of other members' partitions are in
`copies/` (`replica_files.py`).
"""

import os
from collections.abc import Iterable
from typing import IO

import msgspec
from loguru import logger

from cedarwick.errors import CedarwickError
from cedarwick.fleet.messages import GrantTable
from cedarwick.fleet.suspensions import SavedMarks
from cedarwick.store.records import MAX_PAYLOAD_BYTES, DamagedRange, encode_frame, scan_frames

FLEET_FOLDER = "fleet"
REPLICAS_FOLDER = "copies"
GRANT_TABLE_NAME = "grants"
HELD_PARTITIONS_NAME = "held"
INCARNATION_NAME = "boot"
OWNER_NAME = "whose"
SUSPENSION_MARKS_NAME = "marks"
MAX_FILE_BYTES = 1 << 26  # maximum number of bytes that are read of a file


class CorruptFleetFileError(CedarwickError):
    """A small file in the fleet folder cannot be read and counts as missing."""

    code = "CW740"
    remedy = "check the disk; this member learns from the others before it grants leases or opens partitions"


class ForeignFolderError(CedarwickError):
    """The folder belongs to another member, or to a member of another group."""

    code = "CW747"
    remedy = "give each sender its own $RELAY_STATE, and a new name an empty one; for a new group delete fleet/whose"


class LeaseRecord(msgspec.Struct, array_like=True, frozen=True):
    """A partition that this member holds or has held."""

    partition: int
    term: int  # the newest term of its lease here
    upto: int  # message numbers up to this one may be in use


HELD_DECODER: msgspec.msgpack.Decoder[list[LeaseRecord]] = msgspec.msgpack.Decoder(list[LeaseRecord])
GRANT_TABLE_DECODER: msgspec.msgpack.Decoder[GrantTable] = msgspec.msgpack.Decoder(GrantTable)
OWNER_DECODER: msgspec.msgpack.Decoder[tuple[str, str]] = msgspec.msgpack.Decoder(tuple[str, str])
SUSPENSION_MARKS_DECODER: msgspec.msgpack.Decoder[SavedMarks] = msgspec.msgpack.Decoder(SavedMarks)
ENCODER = msgspec.msgpack.Encoder()


class FleetFiles:
    """Reads and replaces the files. Methods raise `OSError` if the folder cannot be used.

    `durable`: methods that write return after the data has been synced to disk.
    """

    def __init__(self, state_folder: str, durable: bool = False) -> None:
        self.durable = durable
        self.path = os.path.join(state_folder, FLEET_FOLDER)
        # Set by `next_incarnation`: whether no earlier boot has left its file.
        self.is_first_boot = False
        os.makedirs(os.path.join(self.path, REPLICAS_FOLDER), exist_ok=True)

    @property
    def replicas_path(self) -> str:
        """The path of the folder of replica files."""
        return os.path.join(self.path, REPLICAS_FOLDER)

    def read_grant_table(self) -> GrantTable | None:
        """The leases this member has granted; None if the file is missing (as at the first start) or damaged."""
        data = self.read(GRANT_TABLE_NAME)
        try:
            return GRANT_TABLE_DECODER.decode(data) if data is not None else None
        except msgspec.MsgspecError as error:
            logger.error(CorruptFleetFileError(f"{self.path}/{GRANT_TABLE_NAME}: {error}").line)
            return None

    def write_grant_table(self, table: GrantTable) -> None:
        """Replace the table of granted leases."""
        self.write(GRANT_TABLE_NAME, ENCODER.encode(table))

    def read_held_partitions(self) -> list[LeaseRecord]:
        """The partitions that this member holds or has held; empty if the file is missing or damaged."""
        data = self.read(HELD_PARTITIONS_NAME)
        try:
            return HELD_DECODER.decode(data) if data is not None else []
        except msgspec.MsgspecError as error:
            logger.error(CorruptFleetFileError(f"{self.path}/{HELD_PARTITIONS_NAME}: {error}").line)
            return []

    def write_held_partitions(self, held: list[LeaseRecord]) -> None:
        """Replace the list of partitions held."""
        self.write(HELD_PARTITIONS_NAME, ENCODER.encode(held))

    def read_suspension_marks(self) -> SavedMarks | None:
        """The receivers suspended by hand, with their versions; None if there is no file.

        Raises `CorruptFleetFileError` for an unreadable file, which must not be mistaken for a first start.
        """
        path = os.path.join(self.path, SUSPENSION_MARKS_NAME)
        if not os.path.exists(path):
            return None
        data = self.read(SUSPENSION_MARKS_NAME)
        if data is None:
            raise CorruptFleetFileError(
                f"{path}: receivers stay suspended until another member reports the current marks"
            )
        try:
            return SUSPENSION_MARKS_DECODER.decode(data)
        except msgspec.MsgspecError as error:
            raise CorruptFleetFileError(f"{path}: {error}") from None

    def write_suspension_marks(self, saved: SavedMarks) -> None:
        """Replace the suspension marks."""
        self.write(SUSPENSION_MARKS_NAME, ENCODER.encode(saved))

    def claim_folder(self, group: str, name: str) -> None:
        """Record this member as the owner of the folder; raises `ForeignFolderError` if that is another member."""
        data = self.read(OWNER_NAME)
        try:
            owner = OWNER_DECODER.decode(data) if data is not None else (group, name)
        except msgspec.MsgspecError as error:
            logger.error(CorruptFleetFileError(f"{self.path}/{OWNER_NAME}: {error}").line)
            owner = group, name
        # Another member's grants do not bind this one, and messages that finished long ago would be offered as pending.
        if owner != (group, name):
            raise ForeignFolderError(
                f"{self.path} belongs to {owner[1]!r} in {owner[0]!r}, not to {name!r} in {group!r}"
            )
        if data is None:
            self.write(OWNER_NAME, ENCODER.encode(owner))

    def next_incarnation(self, now: int) -> int:
        """Store and return the incarnation of this boot: wall microseconds, but always larger than the previous one."""
        data = self.read(INCARNATION_NAME)
        self.is_first_boot = data is None
        last = int(data) if data is not None and data.isdigit() else 0
        # If the clock was set back, the other members would otherwise treat this boot as an earlier one.
        incarnation = max(now, last + 1)
        self.write(INCARNATION_NAME, b"%d" % incarnation)
        return incarnation

    def read(self, name: str) -> bytes | None:
        """The joined payloads of a file's frames; None if it is missing or (logged as an error) damaged."""
        path = os.path.join(self.path, name)
        try:
            with open(path, "rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            return None
        payloads: list[bytes] = []
        for found in scan_frames(data, 0, is_last_chunk=True):
            if isinstance(found, DamagedRange):
                payloads.clear()
                break
            payloads.append(found.payload)
        if not payloads:
            logger.error(
                CorruptFleetFileError(f"{path}: its {len(data)} bytes are not a sequence of complete records").line
            )
            return None
        return b"".join(payloads)

    def write(self, name: str, payload: bytes) -> None:
        """Replace a file by this payload."""
        # Split, because a frame longer than MAX_PAYLOAD_BYTES would be written without an error but read as damaged.
        self.replace(name, (payload[at : at + MAX_PAYLOAD_BYTES] for at in range(0, len(payload), MAX_PAYLOAD_BYTES)))

    def replace(self, name: str, payloads: Iterable[bytes]) -> None:
        """Replace a file by these frames."""
        path = os.path.join(self.path, name)
        with open(f"{path}.new", "wb") as file:
            for payload in payloads:
                file.write(encode_frame(payload))
            self._sync(file)
        os.replace(f"{path}.new", path)
        if self.durable:
            folder = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)

    def append(self, name: str, payload: bytes) -> None:
        """Append one frame to a file."""
        with open(os.path.join(self.path, name), "ab") as file:
            file.write(encode_frame(payload))
            self._sync(file)

    def _sync(self, file: IO[bytes]) -> None:
        # Without this a power cut could lose a grant, a vote or a block of numbers in use, which would be given twice.
        if self.durable:
            file.flush()
            os.fsync(file.fileno())
