"""What a process hands to the one that replaces it, in small files of `$RELAY_STATE` beside the folder's segments
(whose names never match these): the receivers taken out by hand, and the waits that receivers told."""

import json
import os

from cedarwick.errors import CedarwickError

SUSPENDED = "suspended.json"  # calls out by uid; kept until RESTORE, over restarts too
WAITS = "waits.json"  # by uid: the end of a Retry-After wait in wall microseconds; read once, by the next process
LARGEST = 1 << 20  # bytes; a larger file is no file of ours


class UnreadableFileError(CedarwickError):
    """The file is there and cannot be used; its text names the file."""

    code = "CW205"
    remedy = "look at the file that is named; where it is spoilt, delete it and suspend again what was out"


def read(folder: str) -> dict[str, int]:
    """The calls out by uid; empty where no file is there."""
    return _read(os.path.join(folder, SUSPENDED), keep=True)


def write(folder: str, calls: dict[str, int]) -> None:
    _write(os.path.join(folder, SUSPENDED), calls)


def write_waits(folder: str, waits: dict[str, int]) -> None:
    _write(os.path.join(folder, WAITS), waits)


def take_waits(folder: str) -> dict[str, int]:
    """The waits that a replaced process left, and the file gone: a later restart forgets waits."""
    return _read(os.path.join(folder, WAITS), keep=False)


def _read(path: str, keep: bool) -> dict[str, int]:
    try:
        with open(path, "rb") as file:
            data = file.read(LARGEST + 1)
        if not keep:
            os.unlink(path)
    except FileNotFoundError:
        return {}
    except OSError as error:
        raise UnreadableFileError(f"{path}: {error.strerror}") from None
    if len(data) > LARGEST:
        raise UnreadableFileError(f"{path}: larger than {LARGEST} bytes")
    # Danger: msgspec would be the only reason for the lean sender to load it; the standard library reads this.
    try:
        told = json.loads(data)
    except ValueError as error:
        raise UnreadableFileError(f"{path}: {error}") from None
    if not isinstance(told, dict) or not all(
        isinstance(key, str) and type(value) is int for key, value in told.items()
    ):
        raise UnreadableFileError(f"{path}: not an object of whole numbers")
    return told


def _write(path: str, values: dict[str, int]) -> None:
    """Replace the file whole: a crash leaves the old one or the new one, never a part."""
    fresh = f"{path}.new"
    with open(fresh, "wb") as file:
        file.write(json.dumps(dict(sorted(values.items()))).encode())
    os.replace(fresh, path)
