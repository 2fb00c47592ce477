"""The size limit of a state folder holds for all files in it, not for the store's segments alone.

Guards against a fault of `docs/incidents/2026-12-04-state-folder-over-its-limit.md`: `health.jsonl` grew beside a store
that had filled the folder up to its limit.
"""

import contextlib
import errno
import os
import random
import tempfile
import unittest
from unittest import mock

from cedarwick.decisions.interface import EarlierHealth, HealthState, Outcome
from cedarwick.ops import saved_state
from cedarwick.store.files import Folder, NoSpaceError
from cedarwick.store.folder_space import MAX_RESERVED_SHARE, FolderSpace
from cedarwick.store.health_file import HealthFile, HealthKey
from cedarwick.store.journal import Store
from cedarwick.store.records import StoredMessage

BLOCK_BYTES = 512
LIMIT_BYTES = 400_000
SEGMENT_BYTES = 8000
RECEIVERS = 100
ROUNDS = 1500
STATES = [HealthState.EJECTED, HealthState.RAMPING, HealthState.IN_SERVICE]


def folder_bytes(path: str) -> int:
    """The size of all files, each in whole blocks, as the platform counts it."""
    sizes = (entry.stat().st_size for entry in os.scandir(path) if entry.is_file())
    return sum(-(-size // BLOCK_BYTES) * BLOCK_BYTES for size in sizes)


class MeasuredFolder(Folder):
    """A folder that is measured after each call that may let it grow."""

    peak_bytes = 0

    def measure(self) -> None:
        self.peak_bytes = max(self.peak_bytes, folder_bytes(self.path))

    def create(self, name: str) -> int:
        file = super().create(name)
        self.measure()
        return file

    def append(self, file: int, data: bytes) -> int:
        written = super().append(file, data)
        self.measure()
        return written


class FolderSpaceTest(unittest.TestCase):
    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.path = scratch.name

    def open(self) -> tuple[MeasuredFolder, Store, HealthFile]:
        folder = MeasuredFolder(self.path)
        store = Store(folder, LIMIT_BYTES, now=lambda: 77, segment_bytes=SEGMENT_BYTES)
        store.load()
        health_file = HealthFile(folder, lambda *_: None, space=store.space)
        health_file.load()
        self.addCleanup(folder.release_lock)
        self.addCleanup(health_file.close)
        return folder, store, health_file

    def play(self, rng: random.Random, folder: MeasuredFolder, store: Store, health_file: HealthFile) -> None:
        """Hand in more than the folder holds, while receivers' health, suspensions and waits change all the time."""
        saved_state.reserve_space(store.space, RECEIVERS)
        for _ in range(ROUNDS):
            number = store.next_number
            message = StoredMessage(number, f"id-{number}", "", 0, "high", "", 0, 10**15, rng.randbytes(2500))
            with contextlib.suppress(NoSpaceError):
                store.add_message(message)
                store.next_number += 1
            for number in rng.sample(sorted(store.messages), min(3, len(store.messages))):
                with contextlib.suppress(NoSpaceError):
                    store.record_attempt(number, 5, 0)
                    store.record_outcome(number, rng.choice([Outcome.FULL, Outcome.FULL, Outcome.COMPLETED]))
            store.step()
            health = EarlierHealth(7, rng.choice(STATES), False, rng.random(), rng.randrange(10**9), rng.random())
            health_file.record(f"receiver-{rng.randrange(RECEIVERS)}", health)
            if rng.random() < 0.05:
                write = rng.choice([saved_state.write_suspensions, saved_state.write_waits])
                uids = rng.sample(range(RECEIVERS), rng.randrange(RECEIVERS))
                with contextlib.suppress(NoSpaceError):
                    write(self.path, {f"receiver-{uid}": 10**15 + uid for uid in uids}, store.space)
                folder.measure()

    def test_all_files_together_stay_within_the_limit_and_the_health_is_saved(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                folder, store, health_file = self.open()
                self.play(rng, folder, store, health_file)
                self.assertLessEqual(folder.peak_bytes, LIMIT_BYTES)
                self.assertGreater(folder.peak_bytes, 0.8 * LIMIT_BYTES)
                self.assertEqual(store.used_bytes, folder_bytes(self.path))
                self.assertFalse(health_file.unsaved)
                saved = HealthFile(Folder(self.path), lambda *_: None).load()
                self.assertEqual(saved.keys(), health_file.entries.keys())
                health_file.close()
                store.close()

    def test_segments_leave_the_reserved_space_free_of_new_messages(self) -> None:
        _, store, _ = self.open()
        free_bytes = store.remaining_capacity()
        store.space.reserve("files to come", LIMIT_BYTES // 10)
        store.update_free_bytes()
        self.assertLess(store.remaining_capacity(), free_bytes)
        store.space.reserve("files to come", LIMIT_BYTES * 10)
        self.assertEqual(store.space.segment_limit, LIMIT_BYTES - int(LIMIT_BYTES * MAX_RESERVED_SHARE))

    def test_health_without_room_for_two_files_is_written_in_place_of_the_old_one(self) -> None:
        folder, store, health_file = self.open()
        for number in range(600):
            health_file.record(f"receiver-{number}", EarlierHealth(7, HealthState.EJECTED, False, 0.0, 0))
        # Room for compaction, and for a file that was cut off.
        store.set_limit(store.used_bytes + store.space.compaction_bytes() + BLOCK_BYTES)
        health_file.record("receiver-0", EarlierHealth(7, HealthState.IN_SERVICE, False, 0.0, 0))
        for number in range(1, 9):
            health_file.record(f"receiver-{number}", EarlierHealth(7, HealthState.RAMPING, False, 0.0, 0))
        self.assertFalse(health_file.unsaved)
        self.assertEqual(HealthFile(Folder(self.path), lambda *_: None).load().keys(), health_file.entries.keys())

    def test_health_that_does_not_fit_at_all_is_unknown_to_the_next_process(self) -> None:
        folder, store, health_file = self.open()
        for number in range(100):
            health_file.record(f"receiver-{number}", EarlierHealth(7, HealthState.EJECTED, False, 0.0, 0))
        store.set_limit(store.used_bytes)
        for number in range(100, 200):
            health_file.record(f"receiver-{number}", EarlierHealth(7, HealthState.EJECTED, False, 0.0, 0))
        self.assertTrue(health_file.unsaved)
        self.assertLessEqual(folder_bytes(self.path), store.space.limit_bytes)
        loaded = HealthFile(Folder(self.path), lambda *_: None)
        loaded.load()
        self.assertFalse(loaded.complete)

    def test_health_that_finds_no_room_is_saved_once_there_is_some(self) -> None:
        folder, store, health_file = self.open()
        store.space.reserve("blocked", 0)
        with mock.patch.object(FolderSpace, "has_room_for_file", lambda *_: False):
            health_file.record("s-1", EarlierHealth(7, HealthState.EJECTED, False, 0.0, 0))
            self.assertTrue(health_file.unsaved)
            health_file.retry_at = 0
            health_file.retry()
            self.assertTrue(health_file.unsaved)
        health_file.retry()
        self.assertFalse(health_file.unsaved)
        self.assertEqual(set(HealthFile(Folder(self.path), lambda *_: None).load()), {HealthKey("s-1", 7)})

    def test_a_write_that_fails_leaves_no_file_behind_and_none_in_the_count(self) -> None:
        _, store, _ = self.open()
        saved_state.write_suspensions(self.path, {"s-1": 1}, store.space)
        before = os.listdir(self.path), store.used_bytes
        with (
            mock.patch("os.replace", side_effect=OSError(errno.EIO, "input/output error")),
            self.assertRaises(OSError),
        ):
            saved_state.write_suspensions(self.path, {f"s-{number}": 1 for number in range(200)}, store.space)
        self.assertEqual((os.listdir(self.path), store.used_bytes), before)
        self.assertEqual(store.used_bytes, folder_bytes(self.path))


if __name__ == "__main__":
    unittest.main()
