"""The file of receivers' health: what a process that starts is told of what its predecessor knew."""

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


class SetClock(MomentClock):
    """A clock that stands where the test sets it."""

    def __init__(self) -> None:
        self.at = Moment("boot", 100 * SECOND, 1_000 * SECOND)

    def now(self) -> Moment:
        return self.at

    def pass_by(self, uptime: int, wall: int) -> None:
        self.at = self.at._replace(uptime=self.at.uptime + uptime, wall=self.at.wall + wall)


class HealthFileTest(unittest.TestCase):
    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.path = os.path.join(scratch.name, FILE_NAME)
        self.folder = Folder(scratch.name)
        self.clock = SetClock()
        self.warnings: list[str] = []

    def opened(self) -> HealthFile:
        made = HealthFile(self.folder, lambda kind, _: self.warnings.append(kind), clock=self.clock)
        self.addCleanup(made.close)
        return made

    def test_what_one_process_recorded_the_next_one_reads(self) -> None:
        before = self.opened()
        self.assertEqual(before.load(), {})
        before.record("s-1", EJECTED)
        before.record("s-2", EJECTED)
        before.record("s-2", EJECTED._replace(state=HealthState.IN_SERVICE))
        before.record("", EJECTED)
        before.record("s-3", EarlierHealth(7, HealthState.IN_SERVICE, False, 0.5, 0, cut_rate=0.25))
        self.clock.pass_by(2 * SECOND, 2 * SECOND)
        read = self.opened().load()
        self.assertEqual(set(read), {KEY, HealthKey("", 7), HealthKey("s-3", 7)})
        self.assertEqual(read[KEY], EJECTED._replace(age=5 * SECOND, recorded_age=2 * SECOND))
        self.assertEqual(read[HealthKey("s-3", 7)].cut_rate, 0.25)

    def test_an_outage_ages_by_real_time_where_the_wall_clock_was_set(self) -> None:
        self.opened().record("s-1", EJECTED)
        for step in (3_600 * SECOND, -7_200 * SECOND):
            self.clock.pass_by(SECOND, step)
        self.assertEqual(self.opened().load()[KEY].age, EJECTED.age + 2 * SECOND)

    def test_after_a_reboot_only_the_wall_clock_is_left_and_no_span_is_negative(self) -> None:
        at = Moment("boot", 100 * SECOND, 1_000 * SECOND)
        self.assertEqual(elapsed(at, Moment("other", SECOND, 1_004 * SECOND)), 4 * SECOND)
        self.assertEqual(elapsed(at, Moment("other", SECOND, 900 * SECOND)), 0)

    def test_a_line_that_a_crash_cut_off_leaves_the_others_and_says_that_something_is_missing(self) -> None:
        before = self.opened()
        before.record("s-1", EJECTED)
        before.record("s-2", EJECTED)
        with open(self.path, "r+b") as file:
            file.truncate(os.path.getsize(self.path) - 9)
        after = self.opened()
        self.assertEqual(set(after.load()), {KEY})
        self.assertFalse(after.complete)
        # It has been written anew, so the next process finds nothing missing.
        last = self.opened()
        self.assertEqual(set(last.load()), {KEY})
        self.assertTrue(last.complete)

    def test_no_part_of_a_file_cut_at_any_byte_stops_a_start(self) -> None:
        before = self.opened()
        before.record("s-1", EJECTED)
        before.record("s-2", EJECTED)
        with open(self.path, "rb") as file:
            whole = file.read()
        for size in range(len(whole) + 1):
            with open(self.path, "wb") as file:
                file.write(whole[:size])
            after = self.opened()
            after.load()
            self.assertEqual(after.complete, whole[:size].endswith(b"\n") or not size)

    def test_writes_that_fail_for_a_while_are_made_up_for(self) -> None:
        for failing in ("append", "create", "rename"):
            with self.subTest(failing=failing):
                made = self.opened()
                made.load()
                made.record(f"before-{failing}", EJECTED)
                made.size = MIN_REWRITE_BYTES * 9  # so that the next record writes the file anew
                with mock.patch.object(self.folder, failing, side_effect=OSError(errno.ENOSPC, "full")):
                    made.record(failing, EJECTED)
                    self.clock.pass_by(RETRY_INTERVAL_US, 0)
                    made.retry()
                self.assertTrue(made.unsaved)
                made.retry()  # too soon
                self.assertTrue(made.unsaved)
                self.clock.pass_by(RETRY_INTERVAL_US, 0)
                made.retry()
                self.assertFalse(made.unsaved)
                self.assertIn(HealthKey(failing, 7), self.opened().load())
                self.assertIn(HealthKey(f"before-{failing}", 7), self.opened().load())

    def test_half_a_write_is_no_line(self) -> None:
        made = self.opened()
        made.record("s-1", EJECTED)
        whole, calls = self.folder.append, []

        def half(file: int, data: bytes) -> int:
            calls.append(data)
            if len(calls) == 1:
                return whole(file, data[:20])
            raise OSError(errno.EIO, "broken")

        with mock.patch.object(self.folder, "append", side_effect=half):
            made.record("s-2", EJECTED)
        self.assertTrue(made.unsaved)
        after = self.opened()
        self.assertEqual(set(after.load()), {KEY})
        self.assertFalse(after.complete)

    def test_a_file_that_cannot_be_read_is_not_taken_for_an_empty_one(self) -> None:
        self.opened().record("s-1", EJECTED)
        with mock.patch.object(self.folder, "open", side_effect=OSError(errno.EIO, "broken")):
            after = self.opened()
            self.assertEqual(after.load(), {})
        self.assertFalse(after.complete)
        self.assertIn("receivers' health cannot be read", self.warnings)

    def test_a_durable_file_is_synced_once_for_all_that_was_written(self) -> None:
        made = HealthFile(self.folder, lambda *_: None, durable=True, clock=self.clock)
        self.addCleanup(made.close)
        synced: list[object] = []
        made.record("s-1", EJECTED)
        made.record("s-2", EJECTED)
        made.sync(lambda call, *arguments: synced.append((call, *arguments)))
        made.sync(lambda call, *arguments: synced.append((call, *arguments)))
        self.assertEqual(synced, [(self.folder.sync, made.file)])
        with mock.patch.object(self.folder, "sync", side_effect=OSError(errno.EIO, "broken")):
            made.record("s-3", EJECTED)
            made.sync(lambda call, *arguments: call(*arguments))
        self.assertTrue(made.unsaved)

    def test_the_file_stays_small_however_often_health_changes(self) -> None:
        made = self.opened()
        for _ in range(2_000):
            made.record("s-1", EJECTED)
            made.record("s-1", EJECTED._replace(state=HealthState.IN_SERVICE))
        self.assertLess(os.path.getsize(self.path), 2 * MIN_REWRITE_BYTES)


if __name__ == "__main__":
    unittest.main()
