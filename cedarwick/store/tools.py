"""The operations of `cedarwick store` on a folder: verify, dump, compact, back up. Sizes are in bytes."""

import os
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from cedarwick.errors import CedarwickError
from cedarwick.store.files import SEGMENT_FILE_PATTERN, Folder, segment_name
from cedarwick.store.journal import Store
from cedarwick.store.recovery import Recovered, recover

MAX_BACKUP_ROUNDS = 20  # attempts to copy a folder that changes during the copy
COPY_CHUNK_BYTES = 1 << 20


class BackupError(CedarwickError, OSError):
    """No consistent copy of the folder without findings could be made."""

    code = "CW206"
    remedy = "check the folder with `cedarwick store verify`; if it has no findings, retry at a time of lower load"


class Summary(msgspec.Struct):
    """A summary of the contents of a folder."""

    segments: int
    records: int
    messages: int
    notices: int  # messages with a final answer whose notice is still to be sent
    doubtful: int  # messages with lost records, so that an unrecorded attempt may have run
    unknown: int  # records of unknown kinds
    live_bytes: int
    used_bytes: int
    findings: list[str]


def verify(path: str) -> Summary:
    """Replay a folder without writing to it, even while a sender uses it. Raises OSError if it cannot be read."""
    findings: list[str] = []
    found = recover(Folder(path), findings.append)
    found.segment_index.check_consistency()
    stored = found.segment_index.messages.values()
    return Summary(
        len(found.segment_index.segments),
        found.record_count,
        len(found.segment_index.messages),
        sum(each.final_answer is not None for each in stored),
        sum(bool(each.records_lost_since) for each in stored),
        found.unknown_record_count,
        found.segment_index.live_bytes,
        sum(segment.file_bytes for segment in found.segment_index.segments.values()),
        findings,
    )


def dump(path: str) -> Iterator[dict[str, Any]]:
    """Yield every unfinished message as a dictionary, by number; times are wall-clock microseconds."""
    found = recover(Folder(path), lambda _: None)
    for number, stored in sorted(found.segment_index.messages.items()):
        yield {
            "number": number,
            "id": stored.id,
            "key": stored.key,
            "turn": f"{stored.order_key:016x}",
            "band": stored.priority_class,
            "tenant": stored.tenant,
            "destination": stored.destination,
            "outer_limit": stored.deadline,
            "bytes": stored.body_size,
            "segment": segment_name(stored.segment_number),
            "shots": stored.attempts,
            "ran_at": stored.may_have_run_at,
            "out_at": stored.in_flight_since,
            "doubt_at": stored.records_lost_since,
            "end": None
            if stored.final_answer is None
            else {"nacked": stored.final_answer[0], "wait_ms": stored.final_answer[1]},
        }


def compact(path: str, disk_bytes: int, now: Callable[[], int]) -> tuple[int, int]:
    """Compact a folder that no sender uses completely; returns the bytes in use before and after.

    `now` returns wall-clock microseconds. Raises what `Store.load` raises.
    """
    store = Store(path, disk_bytes, now=now)
    store.load()
    try:
        before = store.used_bytes
        store.begin_segment()
        for _ in range(4 * len(store.segment_index.segments) + 4):
            if not store.compactor.compact_victim(1 << 62, space_is_short=True):
                break
        store.flush()
        return before, store.used_bytes
    finally:
        store.close()


def backup(path: str, to: str) -> Summary:
    """Copy a folder consistently, even while a sender uses it.

    All files are opened before the first one is copied, so that files deleted during the copy can still be read and
    the copy is a snapshot. Raises `BackupError`, or FileExistsError if `to` exists.
    """
    os.mkdir(to)
    for _ in range(MAX_BACKUP_ROUNDS):
        files = open_segments(path)
        try:
            if files is None or not is_newest_open(path, files):
                continue
            for name, (file, size) in sorted(files.items()):
                copy_file(file, size, os.path.join(to, name))
        finally:
            for file, _ in (files or {}).values():
                os.close(file)
        summary = verify(to)
        if not summary.findings:
            return summary
        for name in files:
            os.unlink(os.path.join(to, name))
    os.rmdir(to)
    raise BackupError(f"{path} changed during every copy, or is damaged")


def open_segments(path: str) -> dict[str, tuple[int, int]] | None:
    """Open every segment; returns descriptors and sizes by name, None if a file was deleted meanwhile."""
    files: dict[str, tuple[int, int]] = {}
    try:
        for name in sorted(os.listdir(path)):
            if SEGMENT_FILE_PATTERN.fullmatch(name):
                file = os.open(os.path.join(path, name), os.O_RDONLY)
                files[name] = file, 0
    except FileNotFoundError:
        for file, _ in files.values():
            os.close(file)
        return None
    # Sizes are read from the oldest segment to the newest, so that the copy has every record before its last one.
    return {name: (file, os.fstat(file).st_size) for name, (file, _) in files.items()}


def is_newest_open(path: str, files: dict[str, tuple[int, int]]) -> bool:
    """Whether no newer segment has been begun since the files were opened."""
    newest = max(files, default="")
    return max((name for name in os.listdir(path) if SEGMENT_FILE_PATTERN.fullmatch(name)), default="") == newest


def copy_file(file: int, size: int, to: str) -> None:
    """Copy the first `size` bytes of an open file to a new file `to` and sync it."""
    with open(to, "xb") as destination_file:
        at = 0
        while at < size and (part := os.pread(file, min(COPY_CHUNK_BYTES, size - at), at)):
            destination_file.write(part)
            at += len(part)
        destination_file.flush()
        os.fsync(destination_file.fileno())


__all__ = ["Recovered", "Summary", "backup", "compact", "dump", "verify"]
