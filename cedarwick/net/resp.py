"""Parsing of RESP2 requests for the client listener: commands, and the message of a SUBMIT."""

import re

from cedarwick.errors import CedarwickError
from cedarwick.net.assignment import setting_text
from cedarwick.net.buffer import Buffer
from cedarwick.store.records import StoredMessage

MAX_PARTS = 16  # of one command
MAX_BODY_BYTES = 1 << 16
MAX_COMMAND_BYTES = MAX_BODY_BYTES + 4096
MAX_COUNT_LINE_BYTES = 32  # a line with a count or a length
# A request may be read late, after a pause of the process (a client waits 400 ms, and an end counts as in time for
# 300 ms): its deadline, which counts from the reading, is shortened by the difference.
READ_DELAY_ALLOWANCE_US = 100_000
WORD_PATTERN = re.compile(rb"[!-~]{1,200}")
NAME_PATTERN = re.compile(r"[^\x00-\x1f\x7f]{1,200}")  # of a class or tenant, as its operator writes it
NUMBER_PATTERN = re.compile(rb"[0-9]{1,9}")
TURN_PATTERN = re.compile(rb"[0-9a-fA-F]{1,16}")


class MalformedRequestError(CedarwickError):
    """Bytes that are no RESP2 command."""

    code = "CW901"
    remedy = "ask who connects to the clients' address: the bytes are not the clients' protocol"


class InvalidSubmitError(CedarwickError, ValueError):
    """A SUBMIT whose arguments cannot be used; its text is the client's answer after `-ERR`."""

    code = "CW903"
    remedy = "correct the client: the text says which argument cannot be read"


def read_command(buffer: Buffer) -> list[bytes] | None:
    """Take the next whole command out of the buffer; None while it is incomplete.

    Raises `MalformedRequestError` where the bytes are no RESP2 command, or one that is too long.
    """
    head = read_length(buffer, 0, b"*")
    if head is None:
        return None
    count, at = head
    if count > MAX_PARTS:
        raise MalformedRequestError("Protocol error: too many parts")
    spans = []
    for _ in range(count):
        head = read_length(buffer, at, b"$")
        if head is None:
            return None
        size, at = head
        if size > MAX_BODY_BYTES or at + size > MAX_COMMAND_BYTES:
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


def read_length(buffer: Buffer, at: int, mark: bytes) -> tuple[int, int] | None:
    """The number on a line that starts with the mark, and the offset of the next line; None while incomplete.

    Raises `MalformedRequestError` where there is no such line.
    """
    first = buffer.peek(at, 1)
    if first and first != mark:
        raise MalformedRequestError(f"Protocol error: expected '{mark.decode()}'")
    end = buffer.find(b"\r\n", at)
    if end < 0 or end - at > MAX_COUNT_LINE_BYTES:
        if len(buffer) - at > MAX_COUNT_LINE_BYTES:
            raise MalformedRequestError("Protocol error: a number is too long")
        return None
    digits = buffer.peek(at + 1, end - at - 1)
    if not NUMBER_PATTERN.fullmatch(digits):
        raise MalformedRequestError("Protocol error: invalid number")
    return int(digits), end + 2


def read_name(fields: dict[bytes, bytes], which: bytes) -> str:
    """The name of a class or tenant as the settings write it; empty where none is given.

    Raises `InvalidSubmitError` where it cannot be read.
    """
    try:
        name = fields.get(which, b"").decode("utf-8")
    except UnicodeDecodeError:
        name = "\0"
    if name and not NAME_PATTERN.fullmatch(name):
        raise InvalidSubmitError(f"{which.decode()} cannot be read")
    return setting_text(name)


def read_submission(parts: list[bytes], now: int) -> tuple[StoredMessage, bool]:
    """The message of a SUBMIT, and whether the client has submitted it before; `now` is microseconds.

    Raises `InvalidSubmitError` with what is wrong.
    """
    if len(parts) != 5:
        raise InvalidSubmitError("wrong number of arguments for SUBMIT")
    _, turn, message, pairs, body = parts
    fields = dict(pair.partition(b"=")[::2] for pair in pairs.split(b","))
    if not WORD_PATTERN.fullmatch(message):
        raise InvalidSubmitError("the id cannot be read")
    if not TURN_PATTERN.fullmatch(turn):
        raise InvalidSubmitError("the key of the order cannot be read")
    key = fields.get(b"k", b"")
    if key and not WORD_PATTERN.fullmatch(key):
        raise InvalidSubmitError("the key cannot be read")
    if not NUMBER_PATTERN.fullmatch(fields.get(b"d", b"")) or not NUMBER_PATTERN.fullmatch(fields.get(b"dest", b"")):
        raise InvalidSubmitError("d and dest must be whole numbers")
    priority_class, tenant = read_name(fields, b"c"), read_name(fields, b"t")
    if not priority_class:
        raise InvalidSubmitError("c is missing")
    limit = now + int(fields[b"d"]) * 1000 - READ_DELAY_ALLOWANCE_US
    stored = StoredMessage(
        0, message.decode(), key.decode(), int(turn, 16), priority_class, tenant, int(fields[b"dest"]), limit, body
    )
    return stored, fields.get(b"again") == b"1"
