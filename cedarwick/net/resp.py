"""RESP2 as clients write it: one command out of a buffer, and the message of a SUBMIT command."""

import re

from cedarwick.errors import CedarwickError
from cedarwick.net.assignment import word
from cedarwick.net.buffer import Buffer
from cedarwick.store.records import StoredMessage

MOST_PARTS = 16
LONGEST_BODY = 1 << 16
LONGEST_COMMAND = LONGEST_BODY + 4096
LONGEST_HEAD = 32  # of a line that tells a count or a length
# A client waits 400 ms for its answer, and an end counts as in time for 300 ms: what was read late, after a
# pause of the process, must not be taken to have so much longer.
READ_LATE = 100_000
WORD = re.compile(rb"[!-~]{1,200}")
NAME = re.compile(r"[^\x00-\x1f\x7f]{1,200}")  # of a class or tenant, as its operator writes it
NUMBER = re.compile(rb"[0-9]{1,9}")
TURN = re.compile(rb"[0-9a-fA-F]{1,16}")


class MalformedRequestError(CedarwickError):
    """Bytes that are no RESP2 command."""

    code = "CW901"
    remedy = "ask who connects to the clients' address: the bytes are not the clients' protocol"


class InvalidSubmitError(CedarwickError, ValueError):
    """A SUBMIT whose arguments cannot be used; its text is the client's answer after `-ERR`."""

    code = "CW903"
    remedy = "correct the client: the text says which argument cannot be read"


def command(buffer: Buffer) -> list[bytes] | None:
    """The next whole command, taken out of the buffer; None while it is incomplete."""
    head = count_at(buffer, 0, b"*")
    if head is None:
        return None
    count, at = head
    if count > MOST_PARTS:
        raise MalformedRequestError("Protocol error: too many parts")
    spans = []
    for _ in range(count):
        head = count_at(buffer, at, b"$")
        if head is None:
            return None
        size, at = head
        if size > LONGEST_BODY or at + size > LONGEST_COMMAND:
            raise MalformedRequestError("Protocol error: a part is too long")
        if len(buffer) < at + size + 2:
            return None
        if buffer.peek(at + size, 2) != b"\r\n":
            raise MalformedRequestError("Protocol error: a part does not end where it should")
        spans.append((at, size))
        at += size + 2
    parts = [buffer.peek(begin, size) for begin, size in spans]
    buffer.skip(at)
    return parts


def count_at(buffer: Buffer, at: int, mark: bytes) -> tuple[int, int] | None:
    """The number on a line that starts with the mark, and where the next line starts."""
    first = buffer.peek(at, 1)
    if first and first != mark:
        raise MalformedRequestError(f"Protocol error: expected '{mark.decode()}'")
    end = buffer.find(b"\r\n", at)
    if end < 0 or end - at > LONGEST_HEAD:
        if len(buffer) - at > LONGEST_HEAD:
            raise MalformedRequestError("Protocol error: a number is too long")
        return None
    digits = buffer.peek(at + 1, end - at - 1)
    if not NUMBER.fullmatch(digits):
        raise MalformedRequestError("Protocol error: invalid number")
    return int(digits), end + 2


def name_in(told: dict[bytes, bytes], which: bytes) -> str:
    """The name of a class or tenant, written as the settings hold it; nothing where none is told."""
    try:
        name = told.get(which, b"").decode("utf-8")
    except UnicodeDecodeError:
        name = "\0"
    if name and not NAME.fullmatch(name):
        raise InvalidSubmitError(f"{which.decode()} cannot be read")
    return word(name)


def read_submission(parts: list[bytes], now: int) -> tuple[StoredMessage, bool]:
    """The message of a SUBMIT, and whether a sender had it before; `InvalidSubmitError` says what is wrong."""
    if len(parts) != 5:
        raise InvalidSubmitError("wrong number of arguments for SUBMIT")
    _, turn, message, pairs, body = parts
    told = dict(pair.partition(b"=")[::2] for pair in pairs.split(b","))
    if not WORD.fullmatch(message):
        raise InvalidSubmitError("the id cannot be read")
    if not TURN.fullmatch(turn):
        raise InvalidSubmitError("the key of the order cannot be read")
    key = told.get(b"k", b"")
    if key and not WORD.fullmatch(key):
        raise InvalidSubmitError("the key cannot be read")
    if not NUMBER.fullmatch(told.get(b"d", b"")) or not NUMBER.fullmatch(told.get(b"dest", b"")):
        raise InvalidSubmitError("d and dest must be whole numbers")
    priority_class, tenant = name_in(told, b"c"), name_in(told, b"t")
    if not priority_class:
        raise InvalidSubmitError("c is missing")
    limit = now + int(told[b"d"]) * 1000 - READ_LATE
    stored = StoredMessage(
        0, message.decode(), key.decode(), int(turn, 16), priority_class, tenant, int(told[b"dest"]), limit, body
    )
    return stored, told.get(b"again") == b"1"
