"""The session files in `$RELAY_STATE/fleet`: marks of moves, votes, and the sessions handed over to the next process.

They are written as described in `fleet_files.py`, except that each vote is appended as one frame to the table that was
written at the start of the process.
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
    """A session held at the end of a process, for the process that replaces it."""

    key: int
    sequence: int
    ids: dict[str, tuple[int, int]]  # recent ones: age in microseconds, contents hash


class HeldSessions(msgspec.Struct, array_like=True, frozen=True):
    """All sessions held at the end of a process, with the wall time in microseconds at which they were written."""

    written_at_us: int
    sessions: list[HeldSession]
    partition: int = 0  # the open one in which they were held; 0: not stored by older versions, never inherited


SESSIONS_DECODER: msgspec.msgpack.Decoder[HeldSessions] = msgspec.msgpack.Decoder(HeldSessions)


class SessionFiles:
    """Reads and writes the session files. Raises `OSError` if the folder cannot be used."""

    def __init__(self, fleet_files: FleetFiles) -> None:
        self.fleet_files = fleet_files

    def read_marks(self) -> dict[int, tuple[int, str]]:
        """Read the marks of moving messages: number -> (sequence of the session, text of the mark)."""
        data = self.fleet_files.read(MARKS_NAME)
        try:
            return MARKS_DECODER.decode(data) if data is not None else {}
        except msgspec.MsgspecError as error:
            logger.error(CorruptFleetFileError(f"{self.fleet_files.path}/{MARKS_NAME}: {error}").line)
            return {}

    def write_marks(self, marks: dict[int, tuple[int, str]]) -> None:
        """Replace the marks of moving messages."""
        self.fleet_files.write(MARKS_NAME, ENCODER.encode(marks))

    def read_and_delete_sessions(self) -> HeldSessions | None:
        """Read the sessions of the process that this one replaces, and delete the file: they are restored only once."""
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
        """Read this member's promises and accepted values; None if the file is missing (first start) or damaged."""
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
                    # The damaged row may be a promise that was sent, so the whole table is unusable.
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
        """Append a row to the table that was written at the start of the process."""
        self.fleet_files.append(VOTES_NAME, ENCODER.encode(row))
