"""Reads format version 1, a single `.log` file that was rewritten as a whole; `journal.Store.load` converts it once."""

import struct
import zlib
from collections.abc import Iterator

from loguru import logger

from cedarwick.decisions.interface import Outcome
from cedarwick.store.files import LEGACY_FILE_PATTERN, Folder, file_numbers
from cedarwick.store.records import OUTCOMES, InvalidRecordError, StoredMessage, decode_texts

FRAME_HEADER = struct.Struct("<II")  # payload length, checksum
MESSAGE, ATTEMPT, OUTCOME, FINAL_ANSWER, FINISHED, SNAPSHOT = range(1, 7)
MESSAGE_BODY = struct.Struct("<BQQQIHHHH")
ATTEMPT_BODY = struct.Struct("<BQQH")
OUTCOME_BODY = struct.Struct("<BQB")
FINAL_ANSWER_BODY = struct.Struct("<BQBI")
FINISHED_BODY = struct.Struct("<BQ")
MAX_PAYLOAD_BYTES = 1 << 20


def read(folder: Folder, until: int) -> tuple[dict[int, StoredMessage], int, list[int]]:
    """Read the files with numbers above `until`; returns messages by number, the next message number and file numbers.

    Raises OSError if a file cannot be read.
    """
    messages: dict[int, StoredMessage] = {}
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
                next_number = max(next_number, replay(messages, payload))
            except (struct.error, ValueError, IndexError, UnicodeDecodeError) as error:
                # Skipped, since one unreadable record must not prevent the sender from starting.
                logger.error(InvalidRecordError(f"cannot decode a record of format version 1 in {name}: {error}").line)
    return messages, next_number, files


def replay(messages: dict[int, StoredMessage], payload: bytes) -> int:
    """Apply a record to `messages`; returns the next message number after a message record, otherwise 1."""
    kind = payload[0]
    if kind == SNAPSHOT:
        messages.clear()  # this file contains all messages that were live when it was created
    elif kind == MESSAGE:
        _, number, deadline, order_key, destination, *sizes = MESSAGE_BODY.unpack_from(payload)
        texts, at = decode_texts(payload, MESSAGE_BODY.size, sizes)
        id, key, priority_class, tenant = texts
        body = payload[at:]
        messages[number] = StoredMessage(
            number,
            id,
            key,
            order_key,
            priority_class,
            tenant,
            destination,
            deadline,
            body,
            body_size=len(body),
            body_checksum=zlib.crc32(body),
        )
        return int(number) + 1
    elif kind == ATTEMPT:
        _, number, sent_at, zone = ATTEMPT_BODY.unpack(payload)
        if number in messages:
            messages[number].apply_attempt(sent_at, zone)
    elif kind == OUTCOME:
        _, number, outcome = OUTCOME_BODY.unpack(payload)
        if number in messages:
            if OUTCOMES[outcome] is Outcome.COMPLETED:
                del messages[number]
            else:
                messages[number].apply_outcome(OUTCOMES[outcome].never_ran)
    elif kind == FINAL_ANSWER:
        _, number, rejected, wait = FINAL_ANSWER_BODY.unpack(payload)
        if number in messages:
            messages[number].final_answer = (bool(rejected), wait)
    elif kind == FINISHED:
        messages.pop(FINISHED_BODY.unpack(payload)[1], None)
    return 1


def payloads(data: bytes) -> Iterator[bytes]:
    """Yield the payloads of a file up to the first partial or damaged record."""
    at = 0
    while at + FRAME_HEADER.size <= len(data):
        size, checksum = FRAME_HEADER.unpack_from(data, at)
        payload = data[at + FRAME_HEADER.size : at + FRAME_HEADER.size + size]
        if not 0 < size <= MAX_PAYLOAD_BYTES or len(payload) < size or zlib.crc32(payload) != checksum:
            return
        yield payload
        at += FRAME_HEADER.size + size
