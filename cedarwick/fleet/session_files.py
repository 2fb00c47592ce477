"""The small files of sessions in `$RELAY_STATE/fleet`: marks of moves, votes, and sessions for the next process.

Written as in `fleet_files.py`, except that votes are appended, one frame each, to the table written at the start.
"""

import os

import msgspec
from loguru import logger

from cedarwick.fleet.consensus import AcceptorTable as Decrees
from cedarwick.fleet.consensus import InstanceState
from cedarwick.fleet.fleet_files import ENCODER, CorruptFleetFileError, FleetFiles
from cedarwick.store.records import DamagedRange, scan

INERT = "moves"
DECREES = "decrees"
SESSIONS = "sessions"

INERT_FILE: msgspec.msgpack.Decoder[dict[int, tuple[int, str]]] = msgspec.msgpack.Decoder(dict[int, tuple[int, str]])
DECREES_FILE: msgspec.msgpack.Decoder[Decrees] = msgspec.msgpack.Decoder(Decrees)
ROW: msgspec.msgpack.Decoder[InstanceState] = msgspec.msgpack.Decoder(InstanceState)


class HeldSession(msgspec.Struct, array_like=True, frozen=True):
    """A session that was held at the end of a process, for the one that replaces it."""

    key: int
    sequence: int
    ids: dict[str, tuple[int, int]]  # recent ones: age in microseconds, hash of contents


class Sessions(msgspec.Struct, array_like=True, frozen=True):
    """All sessions held at the end of a process, with the wall time in microseconds at which they were written."""

    at: int
    held: list[HeldSession]
    partition: int = 0  # in which they were taken; 0: written by an older version, not inherited


SESSIONS_FILE: msgspec.msgpack.Decoder[Sessions] = msgspec.msgpack.Decoder(Sessions)


class SessionFiles:
    """Reads and replaces these files. Raises `OSError` if the folder cannot be used."""

    def __init__(self, lasting: FleetFiles) -> None:
        self.lasting = lasting

    def inert(self) -> dict[int, tuple[int, str]]:
        """Messages on the move by number: the sequence of their session, and the text of their mark."""
        data = self.lasting.read(INERT)
        try:
            return INERT_FILE.decode(data) if data is not None else {}
        except msgspec.MsgspecError as error:
            logger.error(CorruptFleetFileError(f"{self.lasting.path}/{INERT}: {error}").line)
            return {}

    def write_inert(self, inert: dict[int, tuple[int, str]]) -> None:
        """Replace the marks of messages on the move."""
        self.lasting.write(INERT, ENCODER.encode(inert))

    def take_sessions(self) -> Sessions | None:
        """The sessions of the process that this one replaces; the file is deleted, so that nobody takes them twice."""
        data = self.lasting.read(SESSIONS)
        try:
            os.unlink(os.path.join(self.lasting.path, SESSIONS))
        except FileNotFoundError:
            return None
        try:
            return SESSIONS_FILE.decode(data) if data is not None else None
        except msgspec.MsgspecError as error:
            logger.error(CorruptFleetFileError(f"{self.lasting.path}/{SESSIONS}: {error}").line)
            return None

    def write_sessions(self, sessions: Sessions) -> None:
        """Write the held sessions for the process that replaces this one."""
        self.lasting.write(SESSIONS, ENCODER.encode(sessions))

    def decrees(self) -> Decrees | None:
        """What this member has promised and accepted; None if the file is lost or damaged, or at the first start."""
        path = os.path.join(self.lasting.path, DECREES)
        try:
            with open(path, "rb") as file:
                data = file.read()
        except FileNotFoundError:
            return None
        try:
            payloads = []
            for found in scan(data, 0, whole=True):
                if isinstance(found, DamagedRange):
                    # The lost row may be a promise that was answered, so the whole table is unusable.
                    raise msgspec.DecodeError(f"damage at {found.at}")
                payloads.append(found.payload)
            table = DECREES_FILE.decode(payloads[0])
            rows = {row.move: row for row in [*table.rows, *map(ROW.decode, payloads[1:])]}
            return Decrees(list(rows.values()), table.floors)
        except (msgspec.MsgspecError, IndexError) as error:
            logger.error(CorruptFleetFileError(f"{path}: {error}").line)
            return None

    def write_decrees(self, table: Decrees) -> None:
        """Replace the table of promises and accepted values."""
        rows = (ENCODER.encode(row) for row in table.rows)
        self.lasting.replace(DECREES, [ENCODER.encode(Decrees([], table.floors)), *rows])

    def add_decree(self, row: InstanceState) -> None:
        """Append one row to the table that was written at the start."""
        self.lasting.append(DECREES, ENCODER.encode(row))
