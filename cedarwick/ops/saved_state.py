"""Small JSON files in `$RELAY_STATE` that outlive a process: suspended receivers, a pause and Retry-After waits.

The folder also holds the store's segments, whose names never match these. Used by `operator_state.py` and
`process_handover.py`.
"""

import contextlib
import json
import os

from cedarwick.errors import CedarwickError

SUSPENSIONS_FILE = "suspended.json"  # SUSPEND calls in force by uid; they survive restarts until a RESTORE
PAUSE_FILE = "paused.json"  # exists while the sender is paused; a replacement reads it, a start after an end deletes it
WAITS_FILE = "waits.json"  # ends of Retry-After waits by uid, in wall-clock microseconds; read once, by the replacement
MAX_FILE_BYTES = 1 << 20  # a larger file was not written by this module


class UnreadableFileError(CedarwickError):
    """A file of saved state exists but is unreadable or invalid; the text names the file."""

    code = "CW205"
    remedy = "check the file that the text names; if it is invalid, delete it and repeat the SUSPEND calls"


def read_suspensions(folder: str) -> dict[str, int]:
    """Return the SUSPEND calls in force by uid; empty if there is no file. Raises `UnreadableFileError`."""
    return _read(os.path.join(folder, SUSPENSIONS_FILE), keep=True)


def write_suspensions(folder: str, calls: dict[str, int]) -> None:
    """Replace the saved SUSPEND calls in force, by uid. Raises OSError."""
    _write(os.path.join(folder, SUSPENSIONS_FILE), calls)


def read_pause(folder: str) -> bool:
    """Return whether the sender is paused."""
    return os.path.exists(os.path.join(folder, PAUSE_FILE))


def write_pause(folder: str, paused: bool) -> None:
    """Record that the sender is paused, or no longer paused. Raises OSError."""
    path = os.path.join(folder, PAUSE_FILE)
    if paused and not os.path.exists(path):
        _write(path, {"paused": 1})
    elif not paused:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)


def write_waits(folder: str, waits: dict[str, int]) -> None:
    """Replace the saved ends of Retry-After waits, by uid, in wall-clock microseconds. Raises OSError."""
    _write(os.path.join(folder, WAITS_FILE), waits)


def take_waits(folder: str) -> dict[str, int]:
    """Read the waits that a replaced process saved, and delete the file, so that a later restart has none.

    Raises `UnreadableFileError`.
    """
    return _read(os.path.join(folder, WAITS_FILE), keep=False)


def _read(path: str, keep: bool) -> dict[str, int]:
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        if not keep:
            os.unlink(path)
    except FileNotFoundError:
        return {}
    except OSError as error:
        raise UnreadableFileError(f"{path}: {error.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        raise UnreadableFileError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
    # Parsed with the standard library: a sender without extras would otherwise load msgspec for this alone.
    try:
        values = json.loads(data)
    except ValueError as error:
        raise UnreadableFileError(f"{path}: {error}") from None
    if not isinstance(values, dict) or not all(
        isinstance(key, str) and type(value) is int for key, value in values.items()
    ):
        raise UnreadableFileError(f"{path}: not a JSON object with integer values")
    return values


def _write(path: str, values: dict[str, int]) -> None:
    """Replace the file atomically: a crash leaves the old content or the new one."""
    new_path = f"{path}.new"
    with open(new_path, "wb") as file:
        file.write(json.dumps(dict(sorted(values.items()))).encode())
    os.replace(new_path, path)
