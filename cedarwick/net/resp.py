"""Parser for the RESP2 requests of clients: commands, and the message of a SUBMIT.

The texts of both errors are sent to the client after `-ERR`.
"""

import re

from cedarwick.errors import CedarwickError
from cedarwick.net.assignment import setting_text
from cedarwick.net.buffer import Buffer
from cedarwick.store.records import StoredMessage

MAX_PARTS = 16  # arguments of one command, its name included
MAX_BODY_BYTES = 1 << 16
BODY_INDEX = 4  # of the body among the arguments of a SUBMIT
MAX_ARGUMENT_BYTES = 1 << 12  # of any other argument
MAX_FIELDS = 32  # in the list of names and values of a SUBMIT
MAX_COMMAND_BYTES = MAX_BODY_BYTES + 4096
MAX_COUNT_LINE_BYTES = 32  # of a line that holds a count or a length
# Subtracted from each deadline, which is counted from the time of reading: a paused process may read a request late. A
# client waits 400 ms for its answer, and a final answer counts as in time until 300 ms after the deadline; the
# allowance is the difference.
READ_DELAY_ALLOWANCE_US = 100_000
ID_PATTERN = re.compile(rb"[!-~]{1,200}")  # of a message id or idempotency key
NAME_PATTERN = re.compile(r"[^\x00-\x1f\x7f]{1,200}")  # of a priority class or tenant, as the settings have it
NUMBER_PATTERN = re.compile(rb"[0-9]{1,9}")
ORDER_KEY_PATTERN = re.compile(rb"[0-9a-fA-F]{1,16}")


class MalformedRequestError(CedarwickError):
    """The received bytes are not a valid RESP2 command."""

    code = "CW901"
    remedy = "find out what connects to the client address: it does not follow the clients' protocol"


class InvalidSubmitError(CedarwickError, ValueError):
    """The arguments of a SUBMIT are invalid."""

    code = "CW903"
    remedy = "correct the client: the text names the invalid argument"


def read_command(buffer: Buffer) -> list[bytes] | None:
    """Consume the next command from the buffer and return its arguments; None while it is incomplete.

    Raises `MalformedRequestError` if the bytes are not a RESP2 command or the command is too long.
    """
    header = read_length(buffer, 0, b"*")
    if header is None:
        return None
    count, offset = header
    if count > MAX_PARTS:
        raise MalformedRequestError("Protocol error: too many parts")
    spans = []
    for index in range(count):
        header = read_length(buffer, offset, b"$")
        if header is None:
            return None
        size, offset = header
        max_size = MAX_BODY_BYTES if index == BODY_INDEX else MAX_ARGUMENT_BYTES
        if size > max_size or offset + size > MAX_COMMAND_BYTES:
            raise MalformedRequestError("Protocol error: a part is too long")
        if len(buffer) < offset + size + 2:
            return None
        if buffer.peek(offset + size, 2) != b"\r\n":
            raise MalformedRequestError("Protocol error: a part does not end where it should")
        spans.append((offset, size))
        offset += size + 2
    parts = [buffer.peek(start, size) for start, size in spans]
    buffer.skip(offset)
    return parts


def read_length(buffer: Buffer, offset: int, type_byte: bytes) -> tuple[int, int] | None:
    """Return the number on a line that starts with `type_byte` and the offset of the next line; None while incomplete.

    Raises `MalformedRequestError` if the line is invalid.
    """
    first = buffer.peek(offset, 1)
    if first and first != type_byte:
        raise MalformedRequestError(f"Protocol error: expected '{type_byte.decode()}'")
    end = buffer.find(b"\r\n", offset)
    if end < 0 or end - offset > MAX_COUNT_LINE_BYTES:
        if len(buffer) - offset > MAX_COUNT_LINE_BYTES:
            raise MalformedRequestError("Protocol error: a number is too long")
        return None
    digits = buffer.peek(offset + 1, end - offset - 1)
    if not NUMBER_PATTERN.fullmatch(digits):
        raise MalformedRequestError("Protocol error: invalid number")
    return int(digits), end + 2


def read_name(fields: dict[bytes, bytes], field: bytes) -> str:
    """Return the name of a priority class or tenant in the form of the flattened settings; empty if it is absent.

    Raises `InvalidSubmitError` if the name is invalid.
    """
    try:
        name = fields.get(field, b"").decode("utf-8")
    except UnicodeDecodeError:
        name = "\0"
    if name and not NAME_PATTERN.fullmatch(name):
        raise InvalidSubmitError(f"{field.decode()} cannot be read")
    return setting_text(name)


def read_submission(parts: list[bytes], now: int) -> tuple[StoredMessage, bool]:
    """Return the message of a SUBMIT, and whether the client says that it has submitted it before.

    `now` is in microseconds. Raises `InvalidSubmitError` if an argument is invalid.
    """
    if len(parts) != 5:
        raise InvalidSubmitError("wrong number of arguments for SUBMIT")
    _, order_key, message_id, pairs, body = parts
    if pairs.count(b",") >= MAX_FIELDS:
        raise InvalidSubmitError("too many names and values")
    fields = dict(pair.partition(b"=")[::2] for pair in pairs.split(b","))
    if not ID_PATTERN.fullmatch(message_id):
        raise InvalidSubmitError("the id cannot be read")
    if not ORDER_KEY_PATTERN.fullmatch(order_key):
        raise InvalidSubmitError("the key of the order cannot be read")
    idempotency_key = fields.get(b"k", b"")
    if idempotency_key and not ID_PATTERN.fullmatch(idempotency_key):
        raise InvalidSubmitError("the key cannot be read")
    if not NUMBER_PATTERN.fullmatch(fields.get(b"d", b"")) or not NUMBER_PATTERN.fullmatch(fields.get(b"dest", b"")):
        raise InvalidSubmitError("d and dest must be whole numbers")
    priority_class, tenant = read_name(fields, b"c"), read_name(fields, b"t")
    if not priority_class:
        raise InvalidSubmitError("c is missing")
    deadline = now + int(fields[b"d"]) * 1000 - READ_DELAY_ALLOWANCE_US
    stored = StoredMessage(
        0,
        message_id.decode(),
        idempotency_key.decode(),
        int(order_key, 16),
        priority_class,
        tenant,
        int(fields[b"dest"]),
        deadline,
        body,
    )
    return stored, fields.get(b"again") == b"1"
