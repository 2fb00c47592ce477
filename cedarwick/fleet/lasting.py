"""The small files of `$RELAY_STATE/fleet`: what this member has granted, and the books that it holds.

Each is one frame of the folder's (`store/records.py`) around MessagePack, replaced whole: a crash leaves the old one or
the new one. Copies of other members' books lie beside them, in `copies/` (`copies.py`).
"""

import os

import msgspec
from loguru import logger

from cedarwick.errors import Trouble
from cedarwick.fleet.decrees import Row
from cedarwick.fleet.decrees import Table as Decrees
from cedarwick.fleet.marks import Saved
from cedarwick.fleet.messages import Table
from cedarwick.store.records import Damage, framed, scan

FOLDER = "fleet"
COPIES = "copies"
GRANTS = "grants"
HELD = "held"
BOOT = "boot"
MARKS = "marks"
INERT = "moves"
DECREES = "decrees"
SESSIONS = "sessions"
LARGEST = 1 << 22


class FleetFileSpoilt(Trouble):
    """A small file of the fleet's folder cannot be read and counts as gone."""

    code = "CW740"
    remedy = "look at the disk; this member learns from the others before it grants or opens anything"


class Held(msgspec.Struct, array_like=True, frozen=True):
    """A book that this member has held."""

    book: int
    term: int  # the newest
    upto: int  # numbers of it up to this one may have been given


HELD_FILE: msgspec.msgpack.Decoder[list[Held]] = msgspec.msgpack.Decoder(list[Held])
TABLE: msgspec.msgpack.Decoder[Table] = msgspec.msgpack.Decoder(Table)
INERT_FILE: msgspec.msgpack.Decoder[dict[int, tuple[int, str]]] = msgspec.msgpack.Decoder(dict[int, tuple[int, str]])
DECREES_FILE: msgspec.msgpack.Decoder[Decrees] = msgspec.msgpack.Decoder(Decrees)
ROW: msgspec.msgpack.Decoder[Row] = msgspec.msgpack.Decoder(Row)
SAVED: msgspec.msgpack.Decoder[Saved] = msgspec.msgpack.Decoder(Saved)
ENCODER = msgspec.msgpack.Encoder()


class HeldSession(msgspec.Struct, array_like=True, frozen=True):
    """A session that was held at the end of a process, for the one that replaces it."""

    key: int
    sequence: int
    ids: dict[str, tuple[int, int]]  # of late: age in microseconds, hash of contents


class Sessions(msgspec.Struct, array_like=True, frozen=True):
    """All of them, with the wall time in microseconds at which they were written."""

    at: int
    held: list[HeldSession]


SESSIONS_FILE: msgspec.msgpack.Decoder[Sessions] = msgspec.msgpack.Decoder(Sessions)


class Lasting:
    """Reads and replaces the files. OSError where the folder cannot be used."""

    def __init__(self, state: str) -> None:
        self.path = os.path.join(state, FOLDER)
        self.first = False  # once `boot` was called: whether no boot before this one has left its file
        os.makedirs(os.path.join(self.path, COPIES), exist_ok=True)

    @property
    def copies(self) -> str:
        return os.path.join(self.path, COPIES)

    def table(self) -> Table | None:
        """What this member has granted; None where it is gone, or this is the first start."""
        data = self._read(GRANTS)
        try:
            return TABLE.decode(data) if data is not None else None
        except msgspec.MsgspecError as error:
            logger.error(FleetFileSpoilt(f"{self.path}/{GRANTS}: {error}").line)
            return None

    def write_table(self, table: Table) -> None:
        self._write(GRANTS, ENCODER.encode(table))

    def held(self) -> list[Held]:
        """The books that this member has held, the newest state of each; empty where the file is gone."""
        data = self._read(HELD)
        try:
            return HELD_FILE.decode(data) if data is not None else []
        except msgspec.MsgspecError as error:
            logger.error(FleetFileSpoilt(f"{self.path}/{HELD}: {error}").line)
            return []

    def write_held(self, held: list[Held]) -> None:
        self._write(HELD, ENCODER.encode(held))

    def marks(self) -> Saved | None:
        """The receivers taken out by hand, with their versions; None where there is no file.

        `FleetFileSpoilt` where there is one that cannot be read; it is not to be taken for a first start.
        """
        path = os.path.join(self.path, MARKS)
        if not os.path.exists(path):
            return None
        data = self._read(MARKS)
        if data is None:
            raise FleetFileSpoilt(f"{path}: what is out by hand is kept until a member that knows says otherwise")
        try:
            return SAVED.decode(data)
        except msgspec.MsgspecError as error:
            raise FleetFileSpoilt(f"{path}: {error}") from None

    def write_marks(self, saved: Saved) -> None:
        self._write(MARKS, ENCODER.encode(saved))

    def inert(self) -> dict[int, tuple[int, str]]:
        """Envelopes on the move by number: the sequence of their session, and the text of their mark."""
        data = self._read(INERT)
        try:
            return INERT_FILE.decode(data) if data is not None else {}
        except msgspec.MsgspecError as error:
            logger.error(FleetFileSpoilt(f"{self.path}/{INERT}: {error}").line)
            return {}

    def write_inert(self, inert: dict[int, tuple[int, str]]) -> None:
        self._write(INERT, ENCODER.encode(inert))

    def take_sessions(self) -> Sessions | None:
        """What a process that was replaced has held; it is gone from the folder then, so that nobody takes it twice."""
        data = self._read(SESSIONS)
        try:
            os.unlink(os.path.join(self.path, SESSIONS))
        except FileNotFoundError:
            return None
        try:
            return SESSIONS_FILE.decode(data) if data is not None else None
        except msgspec.MsgspecError as error:
            logger.error(FleetFileSpoilt(f"{self.path}/{SESSIONS}: {error}").line)
            return None

    def write_sessions(self, sessions: Sessions) -> None:
        self._write(SESSIONS, ENCODER.encode(sessions))

    def decrees(self) -> Decrees | None:
        """What this member has promised and accepted; None where that is gone, or this is the first start."""
        path = os.path.join(self.path, DECREES)
        try:
            with open(path, "rb") as file:
                data = file.read()
        except FileNotFoundError:
            return None
        try:
            payloads = []
            for found in scan(data, 0, whole=True):
                if isinstance(found, Damage):
                    # Danger: the row that is lost may be a promise that was answered.
                    raise msgspec.DecodeError(f"damage at {found.at}")
                payloads.append(found.payload)
            table = DECREES_FILE.decode(payloads[0])
            rows = {row.move: row for row in [*table.rows, *map(ROW.decode, payloads[1:])]}
            return Decrees(list(rows.values()), table.floors)
        except (msgspec.MsgspecError, IndexError) as error:
            logger.error(FleetFileSpoilt(f"{path}: {error}").line)
            return None

    def write_decrees(self, table: Decrees) -> None:
        self._write(DECREES, ENCODER.encode(table))

    def add_decree(self, row: Row) -> None:
        """One row, behind the table that was written whole at the start."""
        with open(os.path.join(self.path, DECREES), "ab") as file:
            file.write(framed(ENCODER.encode(row)))

    def boot(self, now: int) -> int:
        """The incarnation of this boot: wall microseconds, and larger than every one before."""
        data = self._read(BOOT)
        self.first = data is None
        last = int(data) if data is not None and data.isdigit() else 0
        # Danger: with a clock that was set back, the others would take this boot for one that a newer has replaced.
        incarnation = max(now, last + 1)
        self._write(BOOT, b"%d" % incarnation)
        return incarnation

    def _read(self, name: str) -> bytes | None:
        """What the file's one frame holds; None where there is no such file, or no good frame."""
        path = os.path.join(self.path, name)
        try:
            with open(path, "rb") as file:
                data = file.read(LARGEST + 1)
        except FileNotFoundError:
            return None
        found = list(scan(data, 0, whole=True))
        if len(found) != 1 or isinstance(found[0], Damage):
            logger.error(FleetFileSpoilt(f"{path}: {len(data)} bytes that are not one whole record").line)
            return None
        return found[0].payload

    def _write(self, name: str, payload: bytes) -> None:
        path = os.path.join(self.path, name)
        with open(f"{path}.new", "wb") as file:
            file.write(framed(payload))
        os.replace(f"{path}.new", path)
