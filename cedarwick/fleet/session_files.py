"""The small files of sessions in `$RELAY_STATE/fleet`: marks of moves, votes, and sessions for the next process.

Written as in `fleet_files.py`, except that votes are appended, one frame each, to the table written at the start.
"""

import os

import msgspec
from loguru import logger

from cedarwick.fleet.consensus import AcceptorTable, InstanceState
from cedarwick.fleet.fleet_files import ENCODER, CorruptFleetFileError, FleetFiles
from cedarwick.store.records import DamagedRange, scan_frames

MARKS_NAME = "moves"
VOTES_NAME = "decrees"
SESSIONS_NAME = "sessions"

MARKS_DECODER: msgspec.msgpack.Decoder[dict[int, tuple[int, str]]] = msgspec.msgpack.Decoder(dict[int, tuple[int, str]])
VOTES_DECODER: msgspec.msgpack.Decoder[AcceptorTable] = msgspec.msgpack.Decoder(AcceptorTable)
ROW_DECODER: msgspec.msgpack.Decoder[InstanceState] = msgspec.msgpack.Decoder(InstanceState)


class HeldSession(msgspec.Struct, array_like=True, frozen=True):
    """A session that was held at the end of a process, for the one that replaces it."""

    key: int
    sequence: int
    ids: dict[str, tuple[int, int]]  # recent ones: age in microseconds, hash of contents


class HeldSessions(msgspec.Struct, array_like=True, frozen=True):
    """All sessions held at the end of a process, with the wall time in microseconds at which they were written."""

    written_at_us: int
    sessions: list[HeldSession]
    partition: int = 0  # in which they were taken; 0: written by an older version, not inherited


SESSIONS_DECODER: msgspec.msgpack.Decoder[HeldSessions] = msgspec.msgpack.Decoder(HeldSessions)


class SessionFiles:
    """Reads and replaces these files. Raises `OSError` if the folder cannot be used."""

    def __init__(self, fleet_files: FleetFiles) -> None:
        self.fleet_files = fleet_files

    def read_marks(self) -> dict[int, tuple[int, str]]:
        """Messages on the move by number: the sequence of their session, and the text of their mark."""
        data = self.fleet_files.read(MARKS_NAME)
        try:
            return MARKS_DECODER.decode(data) if data is not None else {}
        except msgspec.MsgspecError as error:
            logger.error(CorruptFleetFileError(f"{self.fleet_files.path}/{MARKS_NAME}: {error}").line)
            return {}

    def write_marks(self, marks: dict[int, tuple[int, str]]) -> None:
        """Replace the marks of messages on the move."""
        self.fleet_files.write(MARKS_NAME, ENCODER.encode(marks))

    def read_and_delete_sessions(self) -> HeldSessions | None:
        """The sessions of the process that this one replaces; the file is deleted, so that nobody takes them twice."""
        data = self.fleet_files.read(SESSIONS_NAME)
        try:
            os.unlink(os.path.join(self.fleet_files.path, SESSIONS_NAME))
        except FileNotFoundError:
            return None
        try:
            return SESSIONS_DECODER.decode(data) if data is not None else None
        except msgspec.MsgspecError as error:
            logger.error(CorruptFleetFileError(f"{self.fleet_files.path}/{SESSIONS_NAME}: {error}").line)
            return None

    def write_sessions(self, sessions: HeldSessions) -> None:
        """Write the held sessions for the process that replaces this one."""
        self.fleet_files.write(SESSIONS_NAME, ENCODER.encode(sessions))

    def read_acceptor_table(self) -> AcceptorTable | None:
        """What this member has promised and accepted; None if the file is lost or damaged, or at the first start."""
        path = os.path.join(self.fleet_files.path, VOTES_NAME)
        try:
            with open(path, "rb") as file:
                data = file.read()
        except FileNotFoundError:
            return None
        try:
            payloads = []
            for found in scan_frames(data, 0, is_last_chunk=True):
                if isinstance(found, DamagedRange):
                    # The lost row may be a promise that was answered, so the whole table is unusable.
                    raise msgspec.DecodeError(f"damage at {found.offset}")
                payloads.append(found.payload)
            table = VOTES_DECODER.decode(payloads[0])
            rows = {row.move: row for row in [*table.rows, *map(ROW_DECODER.decode, payloads[1:])]}
            return AcceptorTable(list(rows.values()), table.floors)
        except (msgspec.MsgspecError, IndexError) as error:
            logger.error(CorruptFleetFileError(f"{path}: {error}").line)
            return None

    def write_acceptor_table(self, table: AcceptorTable) -> None:
        """Replace the table of promises and accepted values."""
        rows = (ENCODER.encode(row) for row in table.rows)
        self.fleet_files.replace(VOTES_NAME, [ENCODER.encode(AcceptorTable([], table.floors)), *rows])

    def append_vote(self, row: InstanceState) -> None:
        """Append one row to the table that was written at the start."""
        self.fleet_files.append(VOTES_NAME, ENCODER.encode(row))
