"""Encodes and decodes the frames and records of the simulator's wire: little-endian, without padding.

The wire has times in milliseconds; this module alone converts them from and to whole microseconds. Used by `host.py`.
"""

import struct
from collections.abc import Iterator
from typing import Any, BinaryIO

from cedarwick.decisions.interface import EndpointState, EndpointUpdate, ListedEndpoint, Outcome
from cedarwick.errors import CedarwickError

BATCH_HEADER = struct.Struct("<dII")
REPLY_HEADER = struct.Struct("<II")
MAX_TEXT_BYTES = 0xFFFF  # of a log line or a reason; longer texts are truncated
ENTRY = struct.Struct("<IBBHBfd")

OUTCOMES = {
    0: Outcome.COMPLETED,
    255: Outcome.ERROR,
    254: Outcome.FULL,
    253: Outcome.TIME_OUT,
    252: Outcome.CONNECT_FAILED,
    251: Outcome.RESET,
    250: Outcome.CANCELLED,
    249: Outcome.MOOT,
}
PHASES = {0: EndpointState.REMOVED, 1: EndpointState.READY, 2: EndpointState.DRAINING}
LIST_CHANGES = {0: EndpointUpdate.DELTA, 1: EndpointUpdate.FULL, 2: EndpointUpdate.CACHED, 3: None}


class WireError(CedarwickError):
    """Bytes that the wire's page does not allow."""

    code = "CW501"
    remedy = "see that the other side of the pipe speaks this version of the wire; the process has to be started again"


def micros(millis: float) -> int:
    """Convert milliseconds to whole microseconds; raises `WireError` for NaN and infinities."""
    try:
        return round(millis * 1000)
    except (ValueError, OverflowError):
        raise WireError(f"a time that is no number: {millis}") from None


class Cursor:
    """Reads fields from a buffer one after another; raises `WireError` at its end."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.at = 0

    def fields(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Read the fields of a fixed layout. Raises `WireError`."""
        end = self.at + layout.size
        if end > len(self.data):
            raise WireError(f"a record runs past its frame at byte {self.at}")
        values = layout.unpack_from(self.data, self.at)
        self.at = end
        return values

    def raw(self, size: int) -> bytes:
        """Read `size` bytes. Raises `WireError`."""
        end = self.at + size
        if end > len(self.data):
            raise WireError(f"a record runs past its frame at byte {self.at}")
        values = self.data[self.at : end]
        self.at = end
        return values


U8 = struct.Struct("<B")
U32 = struct.Struct("<I")
POWER_ON = struct.Struct("<IQI")
REGISTER = struct.Struct("<II")
SYNC = struct.Struct("<IBII")
ORDER = struct.Struct("<IQHddBQfB")
WAKE = struct.Struct("<II")
DATAGRAM = struct.Struct("<IIH")
LEFT = struct.Struct("<IQ")
FLOWING = struct.Struct("<IQdIH")
ECHO = struct.Struct("<IIdBB")
FINISHED = struct.Struct("<IQBHIIBdB")

# The codes of the records that are read.
REGISTER_CODE = 10
DATAGRAM_CODE = 20
POWER_ON_CODE = 30
FLOWING_CODE = 40
ORDER_CODE = 50
DOWN_CODE = 60
FINISHED_CODE = 70
LEFT_CODE = 80
ECHO_CODE = 90
SYNC_CODE = 100
WAKE_CODE = 110

# The fixed part of each record that is read, by event code.
FIXED = {
    REGISTER_CODE: REGISTER,
    DATAGRAM_CODE: DATAGRAM,
    POWER_ON_CODE: POWER_ON,
    FLOWING_CODE: FLOWING,
    ORDER_CODE: ORDER,
    DOWN_CODE: U32,
    FINISHED_CODE: FINISHED,
    LEFT_CODE: LEFT,
    ECHO_CODE: ECHO,
    SYNC_CODE: SYNC,
    WAKE_CODE: WAKE,
}


def read_batch(stream: BinaryIO) -> tuple[int, int, bytes] | None:
    """Read the next batch: clock in microseconds, record count and body; None at the end of input.

    Raises `WireError` if input ends inside a batch.
    """
    header = stream.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireError("input ends inside a batch header")
    clock, size, count = BATCH_HEADER.unpack(header)
    body = stream.read(size)
    if len(body) < size:
        raise WireError("input ends inside a batch")
    return micros(clock), count, body


def records(count: int, body: bytes) -> Iterator[tuple[int, tuple[Any, ...], Any]]:
    """Decode each record of a batch: its code, its fixed fields and the variable part. Raises `WireError`."""
    cursor = Cursor(body)
    for _ in range(count):
        (code,) = cursor.fields(U8)
        layout = FIXED.get(code)
        if layout is None:
            raise WireError(f"unknown event code {code}")
        values = cursor.fields(layout)
        extra: Any = None
        if code == REGISTER_CODE:
            extra = [listing(cursor.fields(ENTRY)) for _ in range(values[1])]
        elif code in (FINISHED_CODE, ECHO_CODE):
            extra = cursor.fields(struct.Struct(f"<{values[-1]}f"))
        elif code in (DATAGRAM_CODE, POWER_ON_CODE):
            extra = cursor.raw(values[-1])
        yield code, values, extra
    if cursor.at != len(body):
        raise WireError(f"{len(body) - cursor.at} bytes after the last record")


def listing(entry: tuple[Any, ...]) -> ListedEndpoint:
    """A listed endpoint from an entry of `register`. Raises `WireError` for an unknown phase."""
    receiver, zone, kind, destination, phase, rate, _ = entry
    if phase not in PHASES:
        raise WireError(f"unknown phase {phase}")
    return ListedEndpoint(receiver, zone, kind, destination, PHASES[phase], rate)


def outcome_of(code: int) -> Outcome:
    """The outcome a code stands for. Raises `WireError` for an unknown one."""
    if code not in OUTCOMES:
        raise WireError(f"unknown outcome code {code}")
    return OUTCOMES[code]


def settings_of(text: bytes) -> dict[str, str]:
    """The settings in a `power_on`, by name. Raises `WireError` if they are not UTF-8."""
    try:
        lines = text.decode("utf-8").splitlines()
    except UnicodeDecodeError:
        raise WireError("settings that are not UTF-8") from None
    pairs = (line.partition("=") for line in lines if line.strip())
    return {name.strip(): value.strip() for name, _, value in pairs}


def hand_off(instance: int, message: int, receiver: int, time_out: int) -> bytes:
    """Encode: attempt a message at a receiver; `time_out` in microseconds."""
    return struct.pack("<BIQId", 100, instance, message, receiver, time_out / 1000)


def deny(instance: int, message: int, wait: int) -> bytes:
    """Encode: refuse a message; `wait` in microseconds until the client may send it again."""
    return struct.pack("<BIQd", 60, instance, message, wait / 1000)


def report_failure(instance: int, message: int) -> bytes:
    """Encode: give a message up."""
    return struct.pack("<BIQ", 90, instance, message)


def free_links(instance: int, receiver: int) -> bytes:
    """Encode: close the idle connections to a receiver."""
    return struct.pack("<BII", 50, instance, receiver)


def subscribe(instance: int) -> bytes:
    """Encode: ask for updates of the receiver list."""
    return struct.pack("<BIB", 80, instance, 1)


def sleep(instance: int, span: int, mark: int) -> bytes:
    """Encode: ask for a wake-up after `span` microseconds, which will carry `mark`."""
    return struct.pack("<BIdI", 110, instance, span / 1000, mark)


def _text(code: int, instance: int, text: str) -> bytes:
    data = text.encode("utf-8")[:MAX_TEXT_BYTES]
    return struct.pack("<BIH", code, instance, len(data)) + data


def write_log(instance: int, text: str) -> bytes:
    """Encode: write a line to the simulator's log."""
    return _text(40, instance, text)


def bail_out(instance: int, text: str) -> bytes:
    """Encode: end an instance after an error, with the reason."""
    return _text(10, instance, text)


def reply(actions: list[bytes]) -> bytes:
    """Encode a reply frame with these encoded actions."""
    body = b"".join(actions)
    return REPLY_HEADER.pack(len(actions), len(body)) + body
