"""Operations on a store folder for the command line: verify, dump, compact, back up. Sizes are in bytes."""

import os
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from cedarwick.errors import CedarwickError
from cedarwick.store.files import SEGMENT_FILE_PATTERN, Folder, segment_name
from cedarwick.store.journal import Store
from cedarwick.store.recovery import Recovered, recover

MAX_BACKUP_ROUNDS = 20  # attempts to copy a folder that changes meanwhile
COPY_BYTES = 1 << 20  # bytes copied at once


class BackupError(CedarwickError, OSError):
    """No copy of the folder could be made that is of one moment and without findings."""

    code = "CW206"
    remedy = "look at it with `cedarwick store verify`; where it is whole, copy again at a quieter time"


class Summary(msgspec.Struct):
    """What a folder holds."""

    segments: int
    records: int
    messages: int
    notices: int  # of these: ended, with the notice still to send
    doubtful: int  # of these: an attempt without a record may have run
    unknown: int  # records of kinds that this version does not know
    live_bytes: int
    used_bytes: int
    findings: list[str]


def verify(path: str) -> Summary:
    """Replay a folder without writing, also while a sender uses it. Raises OSError if it cannot be read."""
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
    """Every unfinished message as plain values, by number; times are wall-clock microseconds."""
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
    """Compact a whole folder that no sender uses; returns the bytes in use before and after.

    `now` returns wall-clock microseconds. Raises what `Store.load` raises.
    """
    made = Store(path, disk_bytes, now=now)
    made.load()
    try:
        before = made.used_bytes
        made.begin_segment()
        for _ in range(4 * len(made.segment_index.segments) + 4):
            if not made.compactor.compact_victim(1 << 62, short=True):
                break
        made.flush()
        return before, made.used_bytes
    finally:
        made.close()


def backup(path: str, to: str) -> Summary:
    """Copy a folder consistently, also while a sender uses it; raises `BackupError`, FileExistsError if `to` exists.

    All files are opened before anything is copied, so that files deleted meanwhile can still be read and the copy is
    the state of one moment.
    """
    os.mkdir(to)
    for _ in range(MAX_BACKUP_ROUNDS):
        files = opened(path)
        try:
            if files is None or not complete(path, files):
                continue
            for name, (file, size) in sorted(files.items()):
                copy(file, size, os.path.join(to, name))
        finally:
            for file, _ in (files or {}).values():
                os.close(file)
        summary = verify(to)
        if not summary.findings:
            return summary
        for name in files:
            os.unlink(os.path.join(to, name))
    os.rmdir(to)
    raise BackupError(f"{path} changed too fast for a copy, or is damaged")


def opened(path: str) -> dict[str, tuple[int, int]] | None:
    """Open every segment: descriptor and length in bytes by name; None if a file was deleted meanwhile."""
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
    # Lengths are read from the oldest segment to the newest, so that the copy has no record without those before it.
    return {name: (file, os.fstat(file).st_size) for name, (file, _) in files.items()}


def complete(path: str, files: dict[str, tuple[int, int]]) -> bool:
    """Whether no newer segment has been begun since the files were opened."""
    newest = max(files, default="")
    return max((name for name in os.listdir(path) if SEGMENT_FILE_PATTERN.fullmatch(name)), default="") == newest


def copy(file: int, size: int, to: str) -> None:
    """Copy the first `size` bytes of an open file to a new file `to` and sync it."""
    with open(to, "xb") as target:
        at = 0
        while at < size and (part := os.pread(file, min(COPY_BYTES, size - at), at)):
            target.write(part)
            at += len(part)
        target.flush()
        os.fsync(target.fileno())


__all__ = ["Recovered", "Summary", "backup", "compact", "dump", "verify"]
