"""Encodes and decodes the frames and records of the simulator's wire protocol: little-endian, without padding.

Times are milliseconds on the wire and whole microseconds in the program; `to_microseconds` and the encoders convert
them. Used by `host.py`.
"""

import struct
from collections.abc import Iterator
from typing import Any, BinaryIO

from cedarwick.decisions.interface import EndpointState, EndpointUpdate, ListedEndpoint, Outcome
from cedarwick.errors import CedarwickError

BATCH_HEADER_LAYOUT = struct.Struct("<dII")
REPLY_HEADER_LAYOUT = struct.Struct("<II")
MAX_TEXT_BYTES = 0xFFFF  # of a log line or a reason; longer ones are truncated
LIST_ENTRY_LAYOUT = struct.Struct("<IBBHBfd")

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
    """Bytes that violate the simulator's wire protocol."""

    code = "CW501"
    remedy = "check that the simulator speaks this version of the wire protocol, then restart the process"


def to_microseconds(millis: float) -> int:
    """Convert milliseconds to whole microseconds; raises `WireError` for NaN and infinities."""
    try:
        return round(millis * 1000)
    except (ValueError, OverflowError):
        raise WireError(f"time is not a finite number: {millis}") from None


class RecordReader:
    """Reads fields sequentially from a buffer; raises `WireError` for reads past its end."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.offset = 0

    def read_fields(self, layout: struct.Struct) -> tuple[Any, ...]:
        """Read the fields of a fixed layout. Raises `WireError`."""
        end = self.offset + layout.size
        if end > len(self.data):
            raise WireError(f"record exceeds its frame at byte {self.offset}")
        values = layout.unpack_from(self.data, self.offset)
        self.offset = end
        return values

    def read_bytes(self, size: int) -> bytes:
        """Read `size` bytes. Raises `WireError`."""
        end = self.offset + size
        if end > len(self.data):
            raise WireError(f"record exceeds its frame at byte {self.offset}")
        chunk = self.data[self.offset : end]
        self.offset = end
        return chunk


U8 = struct.Struct("<B")
U32 = struct.Struct("<I")
POWER_ON_LAYOUT = struct.Struct("<IQI")
REGISTER_LAYOUT = struct.Struct("<II")
SYNC_LAYOUT = struct.Struct("<IBII")
ORDER_LAYOUT = struct.Struct("<IQHddBQfB")
WAKE_LAYOUT = struct.Struct("<II")
DATAGRAM_LAYOUT = struct.Struct("<IIH")
LEFT_LAYOUT = struct.Struct("<IQ")
FLOWING_LAYOUT = struct.Struct("<IQdIH")
ECHO_LAYOUT = struct.Struct("<IIdBB")
FINISHED_LAYOUT = struct.Struct("<IQBHIIBdB")

# Codes of the records that are read.
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

# Layout of the fixed part of each record, by record code.
FIXED_LAYOUTS = {
    REGISTER_CODE: REGISTER_LAYOUT,
    DATAGRAM_CODE: DATAGRAM_LAYOUT,
    POWER_ON_CODE: POWER_ON_LAYOUT,
    FLOWING_CODE: FLOWING_LAYOUT,
    ORDER_CODE: ORDER_LAYOUT,
    DOWN_CODE: U32,
    FINISHED_CODE: FINISHED_LAYOUT,
    LEFT_CODE: LEFT_LAYOUT,
    ECHO_CODE: ECHO_LAYOUT,
    SYNC_CODE: SYNC_LAYOUT,
    WAKE_CODE: WAKE_LAYOUT,
}


def read_batch(stream: BinaryIO) -> tuple[int, int, bytes] | None:
    """Read the next batch: clock in microseconds, record count and body; None at the end of the input.

    Raises `WireError` if the input ends inside a batch.
    """
    header = stream.read(BATCH_HEADER_LAYOUT.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER_LAYOUT.size:
        raise WireError("input ends inside a batch header")
    clock, size, count = BATCH_HEADER_LAYOUT.unpack(header)
    body = stream.read(size)
    if len(body) < size:
        raise WireError("input ends inside a batch")
    return to_microseconds(clock), count, body


def decode_records(count: int, body: bytes) -> Iterator[tuple[int, tuple[Any, ...], Any]]:
    """Decode the records of a batch: code, fixed fields and variable part of each. Raises `WireError`."""
    reader = RecordReader(body)
    for _ in range(count):
        (code,) = reader.read_fields(U8)
        layout = FIXED_LAYOUTS.get(code)
        if layout is None:
            raise WireError(f"unknown event code {code}")
        fixed_fields = reader.read_fields(layout)
        variable_part: Any = None
        if code == REGISTER_CODE:
            variable_part = [decode_list_entry(reader.read_fields(LIST_ENTRY_LAYOUT)) for _ in range(fixed_fields[1])]
        elif code in (FINISHED_CODE, ECHO_CODE):
            variable_part = reader.read_fields(struct.Struct(f"<{fixed_fields[-1]}f"))
        elif code in (DATAGRAM_CODE, POWER_ON_CODE):
            variable_part = reader.read_bytes(fixed_fields[-1])
        yield code, fixed_fields, variable_part
    if reader.offset != len(body):
        raise WireError(f"{len(body) - reader.offset} unexpected bytes after the last record")


def decode_list_entry(entry: tuple[Any, ...]) -> ListedEndpoint:
    """Convert an entry of a `register` record to a listed endpoint. Raises `WireError` for an unknown phase."""
    receiver, zone, kind, destination, phase, rate, _ = entry
    if phase not in PHASES:
        raise WireError(f"unknown phase {phase}")
    return ListedEndpoint(receiver, zone, kind, destination, PHASES[phase], rate)


def decode_outcome(code: int) -> Outcome:
    """Return the outcome of a code. Raises `WireError` for an unknown code."""
    if code not in OUTCOMES:
        raise WireError(f"unknown outcome code {code}")
    return OUTCOMES[code]


def decode_settings(text: bytes) -> dict[str, str]:
    """Decode the settings of a `power_on` record, by name. Raises `WireError` if they are not UTF-8."""
    try:
        lines = text.decode("utf-8").splitlines()
    except UnicodeDecodeError:
        raise WireError("settings are not valid UTF-8") from None
    pairs = (line.partition("=") for line in lines if line.strip())
    return {name.strip(): value.strip() for name, _, value in pairs}


def encode_hand_off(instance: int, message: int, receiver: int, time_out: int) -> bytes:
    """Encode an attempt of a message at a receiver; `time_out` in microseconds."""
    return struct.pack("<BIQId", 100, instance, message, receiver, time_out / 1000)


def encode_deny(instance: int, message: int, wait: int) -> bytes:
    """Encode the nack of a message; the client may send it again after `wait` microseconds."""
    return struct.pack("<BIQd", 60, instance, message, wait / 1000)


def encode_report_failure(instance: int, message: int) -> bytes:
    """Encode that a message is abandoned."""
    return struct.pack("<BIQ", 90, instance, message)


def encode_free_links(instance: int, receiver: int) -> bytes:
    """Encode a request to close the idle connections to a receiver."""
    return struct.pack("<BII", 50, instance, receiver)


def encode_subscribe(instance: int) -> bytes:
    """Encode a subscription to updates of the receiver list."""
    return struct.pack("<BIB", 80, instance, 1)


def encode_sleep(instance: int, span: int, wake_up_id: int) -> bytes:
    """Encode a request for a wake-up after `span` microseconds; the wake-up carries `wake_up_id`."""
    return struct.pack("<BIdI", 110, instance, span / 1000, wake_up_id)


def _encode_text(code: int, instance: int, text: str) -> bytes:
    data = text.encode("utf-8")[:MAX_TEXT_BYTES]
    return struct.pack("<BIH", code, instance, len(data)) + data


def encode_write_log(instance: int, text: str) -> bytes:
    """Encode a line for the simulator's log."""
    return _encode_text(40, instance, text)


def encode_bail_out(instance: int, text: str) -> bytes:
    """Encode the end of an instance after an error, with the reason."""
    return _encode_text(10, instance, text)


def encode_reply(actions: list[bytes]) -> bytes:
    """Encode a reply frame that contains these encoded actions."""
    body = b"".join(actions)
    return REPLY_HEADER_LAYOUT.pack(len(actions), len(body)) + body
