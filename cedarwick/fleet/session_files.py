"""The small files of sessions in `$RELAY_STATE/fleet`: marks of moves, votes, and what a process hands on.

As in `fleet_files.py`, but that votes are appended, a frame each, to the table that was written at the start.
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
    ids: dict[str, tuple[int, int]]  # of late: age in microseconds, hash of contents


class Sessions(msgspec.Struct, array_like=True, frozen=True):
    """All of them, with the wall time in microseconds at which they were written."""

    at: int
    held: list[HeldSession]
    partition: int = 0  # in which they were taken; 0: told by an older version, from whom nobody inherits


SESSIONS_FILE: msgspec.msgpack.Decoder[Sessions] = msgspec.msgpack.Decoder(Sessions)


class SessionFiles:
    """Reads and replaces them. OSError where the folder cannot be used."""

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
        self.lasting.write(INERT, ENCODER.encode(inert))

    def take_sessions(self) -> Sessions | None:
        """What a process that was replaced has held; it is gone from the folder then, so that nobody takes it twice."""
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
        self.lasting.write(SESSIONS, ENCODER.encode(sessions))

    def decrees(self) -> Decrees | None:
        """What this member has promised and accepted; None where that is gone, or this is the first start."""
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
                    # Danger: the row that is lost may be a promise that was answered.
                    raise msgspec.DecodeError(f"damage at {found.at}")
                payloads.append(found.payload)
            table = DECREES_FILE.decode(payloads[0])
            rows = {row.move: row for row in [*table.rows, *map(ROW.decode, payloads[1:])]}
            return Decrees(list(rows.values()), table.floors)
        except (msgspec.MsgspecError, IndexError) as error:
            logger.error(CorruptFleetFileError(f"{path}: {error}").line)
            return None

    def write_decrees(self, table: Decrees) -> None:
        rows = (ENCODER.encode(row) for row in table.rows)
        self.lasting.replace(DECREES, [ENCODER.encode(Decrees([], table.floors)), *rows])

    def add_decree(self, row: InstanceState) -> None:
        """One row, behind the table that was written whole at the start."""
        self.lasting.append(DECREES, ENCODER.encode(row))
