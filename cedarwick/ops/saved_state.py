"""Small JSON files in `$RELAY_STATE` that outlive the process: suspended receivers and Retry-After waits.

They are beside the store's segments, whose names never match these. Used by `management.py` and
`process_handover.py`.
"""

import json
import os

from cedarwick.errors import CedarwickError

SUSPENSIONS_FILE = "suspended.json"  # SUSPEND calls in force by uid; they last until RESTORE, over restarts too
WAITS_FILE = "waits.json"  # by uid: the end of a Retry-After wait in wall microseconds; read once, by the next process
MAX_FILE_BYTES = 1 << 20  # a larger file was not written by this module


class UnreadableFileError(CedarwickError):
    """The file is there and cannot be used; its text names the file."""

    code = "CW205"
    remedy = "look at the file that is named; where it is spoilt, delete it and suspend again what was out"


def read_suspensions(folder: str) -> dict[str, int]:
    """SUSPEND calls in force by uid; empty if there is no file. Raises `UnreadableFileError`."""
    return _read(os.path.join(folder, SUSPENSIONS_FILE), keep=True)


def write_suspensions(folder: str, calls: dict[str, int]) -> None:
    """Replace the SUSPEND calls in force, by uid. Raises OSError."""
    _write(os.path.join(folder, SUSPENSIONS_FILE), calls)


def write_waits(folder: str, waits: dict[str, int]) -> None:
    """Replace the ends of Retry-After waits, by uid, in wall microseconds. Raises OSError."""
    _write(os.path.join(folder, WAITS_FILE), waits)


def take_waits(folder: str) -> dict[str, int]:
    """Read the waits that a replaced process left and delete the file: a later restart forgets waits.

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
    # With the standard library: a sender without extras would load msgspec for this alone.
    try:
        values = json.loads(data)
    except ValueError as error:
        raise UnreadableFileError(f"{path}: {error}") from None
    if not isinstance(values, dict) or not all(
        isinstance(key, str) and type(value) is int for key, value in values.items()
    ):
        raise UnreadableFileError(f"{path}: not an object of whole numbers")
    return values


def _write(path: str, values: dict[str, int]) -> None:
    """Replace the file whole: a crash leaves the old one or the new one, never a part."""
    fresh = f"{path}.new"
    with open(fresh, "wb") as file:
        file.write(json.dumps(dict(sorted(values.items()))).encode())
    os.replace(fresh, path)
