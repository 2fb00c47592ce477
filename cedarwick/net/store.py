"""The lasting folder: what is owed, and what is known of its shots, in append-only files."""

import os
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field

from loguru import logger

from cedarwick.interface import Outcome

HEAD = struct.Struct("<II")  # length of the payload, checksum
KEPT, SHOT, OUTCOME, END, OVER, WHOLE = range(1, 7)
KEPT_BODY = struct.Struct("<BQQQIHHHH")
SHOT_BODY = struct.Struct("<BQQH")
OUTCOME_BODY = struct.Struct("<BQB")
END_BODY = struct.Struct("<BQBI")
OVER_BODY = struct.Struct("<BQ")
OUTCOMES = list(Outcome)
OF_A_SHOT = 2 * HEAD.size + SHOT_BODY.size + OUTCOME_BODY.size  # bytes in the folder
OF_AN_END = 2 * HEAD.size + END_BODY.size + OVER_BODY.size
LONGEST = 1 << 20


class NoRoom(Exception):
    """The folder has no room for a record."""


@dataclass(slots=True)
class Shot:
    """One shot as the folder knows it; without an outcome it may have run, or may yet."""

    sent_at: int
    zone: int
    outcome: Outcome | None = None


@dataclass(slots=True)
class Kept:
    """An envelope that this sender owes its end."""

    number: int  # 0 until it is taken
    id: str
    key: str  # marks a repeat
    turn: int  # the key of the order; 0 for none
    band: str
    tenant: str  # empty for none
    destination: int
    outer_limit: int  # wall time
    body: bytes
    shots: list[Shot] = field(default_factory=list)  # never two out at once: the last one is the one out
    end: tuple[bool, int] | None = None  # nacked (not written off), advised wait in ms; its notice is owed


class Store:
    """Owns the folder. Records of live envelopes are also held in memory, for the rewriting."""

    def __init__(self, folder: str, disk_bytes: int, most_shots: int) -> None:
        self.folder = folder
        # Danger: where more is kept back for these than they need, the folder turns envelopes away of which
        # the decisions, that know their own bound only, have long given up the like.
        self.kept_back = OF_A_SHOT * most_shots + OF_AN_END  # they must always find room
        self.kept: dict[int, Kept] = {}
        self.weight = 0
        self.set_limit(disk_bytes)
        self.next_number = 1
        self.file = -1
        self.file_number = 0
        self.size = 0
        self.restarted = False  # whether the folder held anything at the start

    def set_limit(self, disk_bytes: int) -> None:
        """Two files stand side by side during a rewriting; together they stay within the limit."""
        self.most_weight = disk_bytes * 45 // 100
        self.most_file = disk_bytes * 52 // 100

    # ---- at the start ----

    def load(self) -> None:
        """Read what is owed, and go on in a fresh file."""
        numbers = []
        for name in os.listdir(self.folder):
            stem, _, kind = name.partition(".")
            if kind == "log" and stem.isdecimal():
                numbers.append(int(stem))
            elif kind == "new":
                os.unlink(os.path.join(self.folder, name))  # a rewriting that was cut off
        for number in sorted(numbers):
            with open(self._path(number), "rb") as file:
                for payload in payloads(file.read()):
                    try:
                        self._replay(payload)
                    except (struct.error, ValueError, IndexError) as error:
                        # Danger: one record of another version would keep the sender from starting.
                        logger.error("a record that cannot be read is left out: {}", error)
        self.restarted = bool(numbers)
        self.weight = sum(self.weighed(kept) for kept in self.kept.values())
        self.file_number = max(numbers, default=0)
        self._rewrite()
        for number in numbers:
            os.unlink(self._path(number))

    def _replay(self, payload: bytes) -> None:
        kind = payload[0]
        if kind == WHOLE:
            self.kept.clear()  # this file holds all that was live when it was begun
        elif kind == KEPT:
            _, number, limit, turn, destination, *sizes = KEPT_BODY.unpack_from(payload)
            at, texts = KEPT_BODY.size, []
            for size in sizes:
                texts.append(payload[at:at + size].decode())
                at += size
            envelope, key, band, tenant = texts
            self.kept[number] = Kept(number, envelope, key, turn, band, tenant, destination, limit,
                                     payload[at:])
            self.next_number = max(self.next_number, number + 1)
        elif kind == SHOT:
            _, number, sent_at, zone = SHOT_BODY.unpack(payload)
            if number in self.kept:
                self.kept[number].shots.append(Shot(sent_at, zone))
        elif kind == OUTCOME:
            _, number, outcome = OUTCOME_BODY.unpack(payload)
            if number in self.kept and self.kept[number].shots:
                self.kept[number].shots[-1].outcome = OUTCOMES[outcome]
                if OUTCOMES[outcome] is Outcome.COMPLETED:
                    del self.kept[number]
        elif kind == END:
            _, number, nacked, wait = END_BODY.unpack(payload)
            if number in self.kept:
                self.kept[number].end = (bool(nacked), wait)
        elif kind == OVER:
            self.kept.pop(OVER_BODY.unpack(payload)[1], None)

    # ---- in service ----

    def weighed(self, kept: Kept) -> int:
        """The bytes that an envelope may come to take."""
        texts = len(kept.id) + len(kept.key) + len(kept.band) + len(kept.tenant)
        return HEAD.size + KEPT_BODY.size + texts + len(kept.body) + self.kept_back

    def has_room(self, kept: Kept) -> bool:
        """Whether an envelope can be kept, with room for the short records that it will need."""
        return self.weight + self.weighed(kept) <= self.most_weight

    def keep(self, kept: Kept) -> None:
        """Write the record of a taken envelope; `NoRoom` where there is none for it."""
        if not self.has_room(kept):
            raise NoRoom("too much is kept")
        self._write(kept_record(kept))
        self.kept[kept.number] = kept
        self.weight += self.weighed(kept)

    def shot(self, number: int, sent_at: int, zone: int) -> None:
        """A shot is about to go out."""
        self._write(SHOT_BODY.pack(SHOT, number, sent_at, zone))
        self.kept[number].shots.append(Shot(sent_at, zone))

    def outcome(self, number: int, outcome: Outcome) -> None:
        """The recorded shot that was out has ended; a completed one ends its envelope."""
        kept = self.kept.get(number)
        if kept is None or not kept.shots:
            return
        kept.shots[-1].outcome = outcome
        if outcome is Outcome.COMPLETED:
            self._drop(number)
        self._write(OUTCOME_BODY.pack(OUTCOME, number, OUTCOMES.index(outcome)))

    def ended(self, number: int, nacked: bool, wait_ms: int) -> None:
        """The final answer has been chosen; its notice is owed."""
        if number in self.kept:
            self.kept[number].end = (nacked, wait_ms)
            self._write(END_BODY.pack(END, number, nacked, wait_ms))

    def over(self, number: int) -> None:
        """Nothing more is owed."""
        if number in self.kept:
            self._drop(number)
            self._write(OVER_BODY.pack(OVER, number))

    def close(self) -> None:
        if self.file >= 0:
            os.close(self.file)
            self.file = -1

    def _drop(self, number: int) -> None:
        self.weight -= self.weighed(self.kept.pop(number))

    # ---- the files ----

    def _path(self, number: int, kind: str = "log") -> str:
        return os.path.join(self.folder, f"{number:08d}.{kind}")

    def _write(self, payload: bytes) -> None:
        record = framed(payload)
        if self.size + len(record) > self.most_file:
            self._rewrite()
        self._append(self.file, record)
        self.size += len(record)

    def _append(self, file: int, record: bytes) -> None:
        try:
            written = os.write(file, record)
        except OSError as error:
            raise NoRoom(str(error)) from None
        if written < len(record):
            # Danger: all that follows a torn record in the middle of a file would be lost at the next start.
            os.ftruncate(file, self.size)
            raise NoRoom("a record was cut short")

    def _rewrite(self) -> None:
        """Live records into a new file; the old one goes once the new one stands whole under its name."""
        old_file, old_number, old_size = self.file, self.file_number, self.size
        number = old_number + 1
        records = [OVER_BODY.pack(WHOLE, 0)]
        for kept in self.kept.values():
            records.append(kept_record(kept))
            for shot in kept.shots:
                records.append(SHOT_BODY.pack(SHOT, kept.number, shot.sent_at, shot.zone))
                if shot.outcome is not None:
                    records.append(OUTCOME_BODY.pack(OUTCOME, kept.number, OUTCOMES.index(shot.outcome)))
            if kept.end is not None:
                records.append(END_BODY.pack(END, kept.number, *kept.end))
        whole = b"".join(framed(each) for each in records)
        self.size = 0
        file = -1
        try:
            flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND
            file = os.open(self._path(number, "new"), flags, 0o600)
            self._append(file, whole)
            os.rename(self._path(number, "new"), self._path(number))
        except (NoRoom, OSError) as error:
            if file >= 0:
                os.close(file)
                os.unlink(self._path(number, "new"))
            self.size = old_size
            raise NoRoom(str(error)) from None
        self.file, self.file_number, self.size = file, number, len(whole)
        if old_file >= 0:
            os.close(old_file)
            os.unlink(self._path(old_number))


def kept_record(kept: Kept) -> bytes:
    texts = [text.encode() for text in (kept.id, kept.key, kept.band, kept.tenant)]
    head = KEPT_BODY.pack(KEPT, kept.number, kept.outer_limit, kept.turn, kept.destination, *map(len, texts))
    return head + b"".join(texts) + kept.body


def framed(payload: bytes) -> bytes:
    return HEAD.pack(len(payload), zlib.crc32(payload)) + payload


def payloads(data: bytes) -> Iterator[bytes]:
    """The whole records of a file; what follows the first torn one is left out."""
    at = 0
    while at + HEAD.size <= len(data):
        size, checksum = HEAD.unpack_from(data, at)
        payload = data[at + HEAD.size:at + HEAD.size + size]
        if not 0 < size <= LONGEST or len(payload) < size or zlib.crc32(payload) != checksum:
            return
        yield payload
        at += HEAD.size + size
