"""Reads the first version's format: one `.log` file that was rewritten whole. `journal.Store.load` converts it once."""

import struct
import zlib
from collections.abc import Iterator

from loguru import logger

from cedarwick.decisions.interface import Outcome
from cedarwick.store.files import LEGACY_FILE_PATTERN, Folder, file_numbers
from cedarwick.store.records import OUTCOMES, InvalidRecordError, StoredMessage, decode_texts

HEAD = struct.Struct("<II")  # length of the payload, checksum
MESSAGE, ATTEMPT, OUTCOME, END, OVER, WHOLE = range(1, 7)
MESSAGE_BODY = struct.Struct("<BQQQIHHHH")
ATTEMPT_BODY = struct.Struct("<BQQH")
OUTCOME_BODY = struct.Struct("<BQB")
END_BODY = struct.Struct("<BQBI")
OVER_BODY = struct.Struct("<BQ")
MAX_PAYLOAD_BYTES = 1 << 20


def read(folder: Folder, until: int) -> tuple[dict[int, StoredMessage], int, list[int]]:
    """Read the files numbered above `until`; returns messages by number, the next message number, and the file numbers.

    Raises OSError if a file cannot be read.
    """
    stored: dict[int, StoredMessage] = {}
    next_number = 1
    files = [number for number in file_numbers(folder.names(), LEGACY_FILE_PATTERN) if number > until]
    for number in files:
        name = f"{number:08d}.log"
        file = folder.open(name, append=False)
        try:
            data = folder.read(file, folder.size(name), 0)
        finally:
            folder.close(file)
        for payload in payloads(data):
            try:
                next_number = max(next_number, replay(stored, payload))
            except (struct.error, ValueError, IndexError, UnicodeDecodeError) as error:
                # Skip it: one unreadable record must not prevent the sender from starting.
                logger.error(InvalidRecordError(f"a record of the first format in {name} cannot be read: {error}").line)
    return stored, next_number, files


def replay(stored: dict[int, StoredMessage], payload: bytes) -> int:
    """Apply one record to `stored`; returns the lowest message number that it leaves free (1 if it names none)."""
    kind = payload[0]
    if kind == WHOLE:
        stored.clear()  # this file holds all that was live when it was begun
    elif kind == MESSAGE:
        _, number, limit, turn, destination, *sizes = MESSAGE_BODY.unpack_from(payload)
        texts, at = decode_texts(payload, MESSAGE_BODY.size, sizes)
        id, key, priority_class, tenant = texts
        body = payload[at:]
        stored[number] = StoredMessage(
            number,
            id,
            key,
            turn,
            priority_class,
            tenant,
            destination,
            limit,
            body,
            body_size=len(body),
            body_checksum=zlib.crc32(body),
        )
        return int(number) + 1
    elif kind == ATTEMPT:
        _, number, sent_at, zone = ATTEMPT_BODY.unpack(payload)
        if number in stored:
            stored[number].apply_attempt(sent_at, zone)
    elif kind == OUTCOME:
        _, number, outcome = OUTCOME_BODY.unpack(payload)
        if number in stored:
            if OUTCOMES[outcome] is Outcome.COMPLETED:
                del stored[number]
            else:
                stored[number].apply_outcome(OUTCOMES[outcome].never_ran)
    elif kind == END:
        _, number, rejected, wait = END_BODY.unpack(payload)
        if number in stored:
            stored[number].final_answer = (bool(rejected), wait)
    elif kind == OVER:
        stored.pop(OVER_BODY.unpack(payload)[1], None)
    return 1


def payloads(data: bytes) -> Iterator[bytes]:
    """The payloads of a file up to the first torn or damaged record."""
    at = 0
    while at + HEAD.size <= len(data):
        size, checksum = HEAD.unpack_from(data, at)
        payload = data[at + HEAD.size : at + HEAD.size + size]
        if not 0 < size <= MAX_PAYLOAD_BYTES or len(payload) < size or zlib.crc32(payload) != checksum:
            return
        yield payload
        at += HEAD.size + size
