"""Small JSON files in `$RELAY_STATE` that outlive a process: suspended receivers, a pause and Retry-After waits.

The folder also holds the store's segments, whose names never match these. Used by `operator_state.py` and
`process_handover.py`.
"""

import contextlib
import json
import os

from cedarwick.errors import CedarwickError
from cedarwick.store.files import ignore_os_error
from cedarwick.store.folder_space import FolderSpace

SUSPENSIONS_FILE = "suspended.json"  # SUSPEND calls in force by uid; they survive restarts until a RESTORE
PAUSE_FILE = "paused.json"  # exists while the sender is paused; a replacement reads it, a start after an end deletes it
WAITS_FILE = "waits.json"  # ends of Retry-After waits by uid, in wall-clock microseconds; read once, by the replacement
RESERVED_BYTES = 1 << 12  # for these files, and further bytes for each receiver that may be suspended and waiting
RESERVED_BYTES_PER_RECEIVER = 64
MAX_FILE_BYTES = 1 << 20  # a larger file was not written by this module


class UnreadableFileError(CedarwickError):
    """A file of saved state exists but is unreadable or invalid; the text names the file."""

    code = "CW205"
    remedy = "check the file that the text names; if it is invalid, delete it and repeat the SUSPEND calls"


def read_suspensions(folder: str) -> dict[str, int]:
    """Return the SUSPEND calls in force by uid; empty if there is no file. Raises `UnreadableFileError`."""
    return _read(os.path.join(folder, SUSPENSIONS_FILE), keep=True)


def write_suspensions(folder: str, calls: dict[str, int], space: FolderSpace | None = None) -> None:
    """Replace the saved SUSPEND calls in force, by uid. Raises OSError or `NoSpaceError`."""
    _write(folder, SUSPENSIONS_FILE, calls, space)


def read_pause(folder: str) -> bool:
    """Return whether the sender is paused."""
    return os.path.exists(os.path.join(folder, PAUSE_FILE))


def write_pause(folder: str, paused: bool, space: FolderSpace | None = None) -> None:
    """Record that the sender is paused, or no longer paused. Raises OSError or `NoSpaceError`."""
    path = os.path.join(folder, PAUSE_FILE)
    if paused and not os.path.exists(path):
        _write(folder, PAUSE_FILE, {"paused": 1}, space)
    elif not paused:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)
        if space is not None:
            space.measure(PAUSE_FILE)


def write_waits(folder: str, waits: dict[str, int], space: FolderSpace | None = None) -> None:
    """Replace the saved ends of Retry-After waits, by uid, in wall-clock microseconds.

    Raises OSError or `NoSpaceError`.
    """
    _write(folder, WAITS_FILE, waits, space)


def reserve_space(space: FolderSpace, receivers: int) -> None:
    """Reserve the space of all files of this module for a sender with so many receivers."""
    space.reserve("saved state", RESERVED_BYTES + RESERVED_BYTES_PER_RECEIVER * receivers)


def measure(space: FolderSpace) -> None:
    """Count the files that another process may have written, or an earlier one left behind."""
    for name in (SUSPENSIONS_FILE, PAUSE_FILE, WAITS_FILE):
        space.measure(name)
        space.measure(new_file(name))


def new_file(name: str) -> str:
    """Return the name of the file that replaces another one once it is complete."""
    return f"{name}.new"


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


def _write(folder: str, name: str, values: dict[str, int], space: FolderSpace | None) -> None:
    """Replace the file atomically: a crash leaves the old content or the new one.

    `space`: where the file is counted; None if this process does not hold the folder.
    """
    new_name = new_file(name)
    new_path = os.path.join(folder, new_name)
    data = json.dumps(dict(sorted(values.items()))).encode()
    if space is not None:
        space.resize(new_name, len(data))
    try:
        with open(new_path, "wb") as file:
            file.write(data)
        os.replace(new_path, os.path.join(folder, name))
    except OSError:
        ignore_os_error(os.unlink, new_path)
        raise
    finally:
        if space is not None:
            space.measure(new_name)
            space.measure(name)
