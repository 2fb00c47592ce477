"""The receivers taken out by hand, kept in `$RELAY_STATE` so that a process that replaces this one keeps them."""

import os

import msgspec

NAME = "suspended.json"  # beside the folder's segments, which the folder's own names never match
LARGEST = 1 << 20  # bytes; a larger file is no file of ours


class Unreadable(Exception):
    """The file is there and cannot be used; its text names the file."""


def read(folder: str) -> dict[str, int]:
    """The calls out by uid; empty where no file is there."""
    path = os.path.join(folder, NAME)
    try:
        with open(path, "rb") as file:
            data = file.read(LARGEST + 1)
    except FileNotFoundError:
        return {}
    except OSError as error:
        raise Unreadable(f"{path}: {error.strerror}") from None
    if len(data) > LARGEST:
        raise Unreadable(f"{path}: larger than {LARGEST} bytes")
    try:
        return msgspec.json.decode(data, type=dict[str, int])
    except msgspec.DecodeError as error:
        raise Unreadable(f"{path}: {error}") from None


def write(folder: str, calls: dict[str, int]) -> None:
    """Replace the file whole: a crash leaves the old one or the new one, never a part."""
    path = os.path.join(folder, NAME)
    fresh = f"{path}.new"
    with open(fresh, "wb") as file:
        file.write(msgspec.json.encode(dict(sorted(calls.items()))))
    os.replace(fresh, path)
