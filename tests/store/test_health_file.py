"""Tests of the file that stores the health of receivers for the next process."""

import errno
import os
import tempfile
import unittest
from unittest import mock

from cedarwick.decisions.interface import EarlierHealth, HealthState
from cedarwick.store.elapsed_time import Moment, MomentClock, elapsed
from cedarwick.store.files import Folder
from cedarwick.store.health_file import FILE_NAME, MIN_REWRITE_BYTES, RETRY_INTERVAL_US, HealthFile, HealthKey

SECOND = 1_000_000
EJECTED = EarlierHealth(7, HealthState.EJECTED, True, 0.5, 3 * SECOND)
KEY = HealthKey("s-1", 7)


class ManualClock(MomentClock):
    """A clock that moves only when a test advances it."""

    def __init__(self) -> None:
        self.at = Moment("boot", 100 * SECOND, 1_000 * SECOND)

    def now(self) -> Moment:
        return self.at

    def advance(self, uptime: int, wall: int) -> None:
        self.at = self.at._replace(uptime=self.at.uptime + uptime, wall=self.at.wall + wall)


class HealthFileTest(unittest.TestCase):
    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.path = os.path.join(scratch.name, FILE_NAME)
        self.folder = Folder(scratch.name)
        self.clock = ManualClock()
        self.warnings: list[str] = []

    def open_file(self) -> HealthFile:
        health_file = HealthFile(self.folder, lambda kind, _: self.warnings.append(kind), clock=self.clock)
        self.addCleanup(health_file.close)
        return health_file

    def test_recorded_health_is_loaded_by_the_next_process(self) -> None:
        first = self.open_file()
        self.assertEqual(first.load(), {})
        first.record("s-1", EJECTED)
        first.record("s-2", EJECTED)
        first.record("s-2", EJECTED._replace(state=HealthState.IN_SERVICE))
        first.record("", EJECTED)
        first.record("s-3", EarlierHealth(7, HealthState.IN_SERVICE, False, 0.5, 0, cut_rate=0.25))
        self.clock.advance(2 * SECOND, 2 * SECOND)
        loaded = self.open_file().load()
        self.assertEqual(set(loaded), {KEY, HealthKey("", 7), HealthKey("s-3", 7)})
        self.assertEqual(loaded[KEY], EJECTED._replace(age=5 * SECOND, recorded_age=2 * SECOND))
        self.assertEqual(loaded[HealthKey("s-3", 7)].cut_rate, 0.25)

    def test_age_of_an_outage_ignores_changes_of_the_wall_clock(self) -> None:
        self.open_file().record("s-1", EJECTED)
        for step in (3_600 * SECOND, -7_200 * SECOND):
            self.clock.advance(SECOND, step)
        self.assertEqual(self.open_file().load()[KEY].age, EJECTED.age + 2 * SECOND)

    def test_elapsed_time_after_a_reboot_uses_the_wall_clock_and_is_never_negative(self) -> None:
        at = Moment("boot", 100 * SECOND, 1_000 * SECOND)
        self.assertEqual(elapsed(at, Moment("other", SECOND, 1_004 * SECOND)), 4 * SECOND)
        self.assertEqual(elapsed(at, Moment("other", SECOND, 900 * SECOND)), 0)

    def test_cut_off_last_line_is_ignored_and_reported_as_incomplete(self) -> None:
        first = self.open_file()
        first.record("s-1", EJECTED)
        first.record("s-2", EJECTED)
        with open(self.path, "r+b") as file:
            file.truncate(os.path.getsize(self.path) - 9)
        second = self.open_file()
        self.assertEqual(set(second.load()), {KEY})
        self.assertFalse(second.complete)
        # The file has been rewritten, so the next process finds it complete.
        third = self.open_file()
        self.assertEqual(set(third.load()), {KEY})
        self.assertTrue(third.complete)

    def test_file_truncated_at_any_byte_can_be_loaded(self) -> None:
        first = self.open_file()
        first.record("s-1", EJECTED)
        first.record("s-2", EJECTED)
        with open(self.path, "rb") as file:
            contents = file.read()
        for size in range(len(contents) + 1):
            with open(self.path, "wb") as file:
                file.write(contents[:size])
            second = self.open_file()
            second.load()
            self.assertEqual(second.complete, contents[:size].endswith(b"\n") or not size)

    def test_entries_are_saved_after_failed_writes(self) -> None:
        for failing in ("append", "create", "rename"):
            with self.subTest(failing=failing):
                health_file = self.open_file()
                health_file.load()
                health_file.record(f"before-{failing}", EJECTED)
                health_file.size = MIN_REWRITE_BYTES * 9  # makes the next record rewrite the file
                with mock.patch.object(self.folder, failing, side_effect=OSError(errno.ENOSPC, "full")):
                    health_file.record(failing, EJECTED)
                    self.clock.advance(RETRY_INTERVAL_US, 0)
                    health_file.retry()
                self.assertTrue(health_file.unsaved)
                health_file.retry()  # before the retry interval has passed
                self.assertTrue(health_file.unsaved)
                self.clock.advance(RETRY_INTERVAL_US, 0)
                health_file.retry()
                self.assertFalse(health_file.unsaved)
                self.assertIn(HealthKey(failing, 7), self.open_file().load())
                self.assertIn(HealthKey(f"before-{failing}", 7), self.open_file().load())

    def test_partial_write_is_not_read_as_a_line(self) -> None:
        health_file = self.open_file()
        health_file.record("s-1", EJECTED)
        original_append, calls = self.folder.append, []

        def append_part(file: int, data: bytes) -> int:
            calls.append(data)
            if len(calls) == 1:
                return original_append(file, data[:20])
            raise OSError(errno.EIO, "broken")

        with mock.patch.object(self.folder, "append", side_effect=append_part):
            health_file.record("s-2", EJECTED)
        self.assertTrue(health_file.unsaved)
        second = self.open_file()
        self.assertEqual(set(second.load()), {KEY})
        self.assertFalse(second.complete)

    def test_unreadable_file_is_reported_as_incomplete(self) -> None:
        self.open_file().record("s-1", EJECTED)
        with mock.patch.object(self.folder, "open", side_effect=OSError(errno.EIO, "broken")):
            second = self.open_file()
            self.assertEqual(second.load(), {})
        self.assertFalse(second.complete)
        self.assertIn("receivers' health cannot be read", self.warnings)

    def test_durable_file_is_synced_once_for_several_writes(self) -> None:
        health_file = HealthFile(self.folder, lambda *_: None, durable=True, clock=self.clock)
        self.addCleanup(health_file.close)
        synced: list[object] = []
        health_file.record("s-1", EJECTED)
        health_file.record("s-2", EJECTED)
        health_file.sync(lambda call, *arguments: synced.append((call, *arguments)))
        health_file.sync(lambda call, *arguments: synced.append((call, *arguments)))
        self.assertEqual(synced, [(self.folder.sync, health_file.file)])
        with mock.patch.object(self.folder, "sync", side_effect=OSError(errno.EIO, "broken")):
            health_file.record("s-3", EJECTED)
            health_file.sync(lambda call, *arguments: call(*arguments))
        self.assertTrue(health_file.unsaved)

    def test_file_size_is_bounded_after_many_changes(self) -> None:
        health_file = self.open_file()
        for _ in range(2_000):
            health_file.record("s-1", EJECTED)
            health_file.record("s-1", EJECTED._replace(state=HealthState.IN_SERVICE))
        self.assertLess(os.path.getsize(self.path), 2 * MIN_REWRITE_BYTES)


if __name__ == "__main__":
    unittest.main()
