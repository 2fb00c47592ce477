"""The small files of `$RELAY_STATE/fleet`: the leases this member has granted and the partitions that it holds.

Each file is MessagePack in frames as in the message store (`store/records.py`), one frame unless it is long, and is
replaced whole: a crash leaves the old file or the new one. Copies of other members' partitions are beside them, in
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

FOLDER = "fleet"
COPIES = "copies"
GRANTS = "grants"
HELD = "held"
BOOT = "boot"
WHOSE = "whose"
MARKS = "marks"
LARGEST = 1 << 26  # bytes of a file that are read


class CorruptFleetFileError(CedarwickError):
    """A small file of the fleet's folder cannot be read and counts as gone."""

    code = "CW740"
    remedy = "look at the disk; this member learns from the others before it grants or opens anything"


class ForeignFolderError(CedarwickError):
    """The folder is that of another member, or of a member of another group."""

    code = "CW747"
    remedy = "give each sender its own $RELAY_STATE, an empty one for a new name; for a new group delete fleet/whose"


class LeaseRecord(msgspec.Struct, array_like=True, frozen=True):
    """A partition that this member has held."""

    partition: int
    term: int  # the newest
    upto: int  # numbers of it up to this one may have been given


HELD_FILE: msgspec.msgpack.Decoder[list[LeaseRecord]] = msgspec.msgpack.Decoder(list[LeaseRecord])
TABLE: msgspec.msgpack.Decoder[GrantTable] = msgspec.msgpack.Decoder(GrantTable)
OWNER: msgspec.msgpack.Decoder[tuple[str, str]] = msgspec.msgpack.Decoder(tuple[str, str])
SAVED: msgspec.msgpack.Decoder[SavedMarks] = msgspec.msgpack.Decoder(SavedMarks)
ENCODER = msgspec.msgpack.Encoder()


class FleetFiles:
    """Reads and replaces the files. Calls raise `OSError` if the folder cannot be used.

    `durable`: what a call has written is synced to disk when it returns.
    """

    def __init__(self, state: str, durable: bool = False) -> None:
        self.durable = durable
        self.path = os.path.join(state, FOLDER)
        self.is_first_boot = (
            False  # once `next_incarnation` was called: whether no boot before this one has left its file
        )
        os.makedirs(os.path.join(self.path, COPIES), exist_ok=True)

    @property
    def replicas_path(self) -> str:
        """The path of the folder of copies."""
        return os.path.join(self.path, COPIES)

    def read_grant_table(self) -> GrantTable | None:
        """The leases this member has granted; None if the file is gone or damaged, or at the first start."""
        data = self.read(GRANTS)
        try:
            return TABLE.decode(data) if data is not None else None
        except msgspec.MsgspecError as error:
            logger.error(CorruptFleetFileError(f"{self.path}/{GRANTS}: {error}").line)
            return None

    def write_grant_table(self, table: GrantTable) -> None:
        """Replace the table of granted leases."""
        self.write(GRANTS, ENCODER.encode(table))

    def read_held_partitions(self) -> list[LeaseRecord]:
        """The partitions that this member has held, the newest state of each; empty where the file is gone."""
        data = self.read(HELD)
        try:
            return HELD_FILE.decode(data) if data is not None else []
        except msgspec.MsgspecError as error:
            logger.error(CorruptFleetFileError(f"{self.path}/{HELD}: {error}").line)
            return []

    def write_held_partitions(self, held: list[LeaseRecord]) -> None:
        """Replace the list of partitions held."""
        self.write(HELD, ENCODER.encode(held))

    def read_suspension_marks(self) -> SavedMarks | None:
        """The receivers suspended by hand, with their versions; None if there is no file.

        Raises `CorruptFleetFileError` for an unreadable file, which must not be mistaken for a first start.
        """
        path = os.path.join(self.path, MARKS)
        if not os.path.exists(path):
            return None
        data = self.read(MARKS)
        if data is None:
            raise CorruptFleetFileError(f"{path}: what is out by hand is kept until a member that knows says otherwise")
        try:
            return SAVED.decode(data)
        except msgspec.MsgspecError as error:
            raise CorruptFleetFileError(f"{path}: {error}") from None

    def write_suspension_marks(self, saved: SavedMarks) -> None:
        """Replace the suspension marks."""
        self.write(MARKS, ENCODER.encode(saved))

    def claim_folder(self, group: str, name: str) -> None:
        """Mark the folder as this member's; raises `ForeignFolderError` if it is another member's."""
        data = self.read(WHOSE)
        try:
            owner = OWNER.decode(data) if data is not None else (group, name)
        except msgspec.MsgspecError as error:
            logger.error(CorruptFleetFileError(f"{self.path}/{WHOSE}: {error}").line)
            owner = group, name
        # Another member's grants do not bind this one, and messages it ended long ago would be offered as owed.
        if owner != (group, name):
            raise ForeignFolderError(
                f"{self.path} is that of {owner[1]!r} in {owner[0]!r}, not of {name!r} in {group!r}"
            )
        if data is None:
            self.write(WHOSE, ENCODER.encode(owner))

    def next_incarnation(self, now: int) -> int:
        """The incarnation of this boot: wall microseconds, and larger than every one before."""
        data = self.read(BOOT)
        self.is_first_boot = data is None
        last = int(data) if data is not None and data.isdigit() else 0
        # If the clock was set back, the others would otherwise take this boot for an older one.
        incarnation = max(now, last + 1)
        self.write(BOOT, b"%d" % incarnation)
        return incarnation

    def read(self, name: str) -> bytes | None:
        """The joined payloads of a file's frames; None if it is missing, or (logged) not all frames are good."""
        path = os.path.join(self.path, name)
        try:
            with open(path, "rb") as file:
                data = file.read(LARGEST + 1)
        except FileNotFoundError:
            return None
        payloads: list[bytes] = []
        for found in scan_frames(data, 0, is_last_chunk=True):
            if isinstance(found, DamagedRange):
                payloads.clear()
                break
            payloads.append(found.payload)
        if not payloads:
            logger.error(CorruptFleetFileError(f"{path}: {len(data)} bytes that are not whole records").line)
            return None
        return b"".join(payloads)

    def write(self, name: str, payload: bytes) -> None:
        """Replace a file."""
        # Split, since a frame longer than MAX_PAYLOAD_BYTES would be written without an error but read as damage.
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
        # Otherwise a power cut could lose a grant, vote or block of numbers in use, and it would be given twice.
        if self.durable:
            file.flush()
            os.fsync(file.fileno())
