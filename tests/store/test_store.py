"""Tests of the journal with faults at any system call, compared with a model of the acknowledged operations."""

import os
import random
import tempfile
import unittest
import zlib
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from cedarwick.decisions.interface import Outcome
from cedarwick.store import compaction_planner, legacy_format, records
from cedarwick.store.bodies import BodyLostError
from cedarwick.store.compaction_planner import RecordUse
from cedarwick.store.files import Folder, FolderInUseError, NoSpaceError, segment_name
from cedarwick.store.journal import Store
from cedarwick.store.records import DamagedRange, Frame, StoredMessage, encode_frame, scan_frames
from cedarwick.store.recovery import Recovered, recover

ATTEMPT_OUTCOMES, SPAN = (
    [Outcome.COMPLETED, Outcome.ERROR, Outcome.FULL, Outcome.TIME_OUT, Outcome.CONNECT_FAILED],
    1000,
)


def setUpModule() -> None:
    logger.disable("cedarwick.store")  # these tests would log thousands of findings


def tearDownModule() -> None:
    logger.enable("cedarwick.store")


class Crash(BaseException):
    """Simulates a crash of the process."""


class FakeFolder(Folder):
    """A folder in memory that can fail or crash at each call that changes a file."""

    def __init__(self, files: dict[str, bytearray] | None = None) -> None:
        super().__init__("fake")
        self.files: dict[str, bytearray] = {} if files is None else files
        self.open_files: dict[int, str] = {}
        self.next_file = 3
        self.calls = 0
        self.crash_at = 0  # the call at which the process crashes; 0: never
        self.rng = random.Random(1)
        self.disk_bytes = 1 << 60  # capacity of the disk
        self.failing_calls: set[str] = set()  # kinds of calls that end in EIO
        self.bad_sectors: set[tuple[str, int]] = set()  # file name and index of unreadable sectors

    def _call(self, kind: str) -> bool:
        """Count a call; whether the process crashes in it."""
        self.calls += 1
        if kind in self.failing_calls:
            raise OSError(5, "Input/output error")
        return self.calls == self.crash_at

    def acquire_lock(self) -> None:
        pass

    def release_lock(self) -> None:
        pass

    def names(self) -> list[str]:
        return sorted(self.files)

    def size(self, name: str) -> int:
        if name not in self.files:
            raise FileNotFoundError(2, "No such file")
        return len(self.files[name])

    def create(self, name: str) -> int:
        if self._call("create"):
            if self.rng.random() < 0.5:
                self.files[name] = bytearray()
            raise Crash
        if name in self.files:
            raise FileExistsError(17, "File exists")
        self.files[name] = bytearray()
        return self.open(name, append=True)

    def open(self, name: str, append: bool) -> int:
        if name not in self.files:
            raise FileNotFoundError(2, "No such file")
        self.next_file += 1
        self.open_files[self.next_file] = name
        return self.next_file

    def append(self, file: int, data: bytes) -> int:
        crashes = self._call("append")
        name = self.open_files[file]
        left = max(0, self.disk_bytes - sum(map(len, self.files.values())))
        size = min(len(data), left)
        if crashes:
            self.files[name] += data[: self.rng.randint(0, size)]
            raise Crash
        if data and not size:
            raise OSError(28, "No space left on device")
        self.files[name] += data[:size]
        return size

    def read(self, file: int, size: int, at: int) -> bytes:
        name = self.open_files[file]
        if any((name, sector) in self.bad_sectors for sector in range(at // 4096, (at + size - 1) // 4096 + 1)):
            raise OSError(5, "Input/output error")
        return bytes(self.files[name][at : at + size])

    def truncate(self, file: int, size: int) -> None:
        if self._call("truncate"):
            raise Crash
        del self.files[self.open_files[file]][size:]

    def sync(self, file: int) -> None:
        if self._call("sync"):
            raise Crash

    def close(self, file: int) -> None:
        self.open_files.pop(file, None)

    def unlink(self, name: str) -> None:
        if self._call("unlink"):
            if self.rng.random() < 0.5:
                self.files.pop(name, None)
            raise Crash
        if name not in self.files:
            raise FileNotFoundError(2, "No such file")
        del self.files[name]


def open_store(folder: Folder, limit: int = 40_000, segment_bytes: int = 1500, **options: Any) -> Store:
    store = Store(folder, limit, now=lambda: 77, segment_bytes=segment_bytes, **options)
    store.load()
    return store


def stored_message(number: int, size: int = 100) -> StoredMessage:
    body = (b"%08d" % number) * (size // 8 + 1)
    return StoredMessage(
        number, f"id-{number}", "ikey" if number % 2 else "", number % 3, "high", "", number % 5, 10**15, body[:size]
    )


class ExpectedMessage:
    """The expected state of a live message."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.attempts = 0
        self.may_have_run = False
        self.in_flight = False
        self.final_answer: tuple[bool, int] | None = None


class History:
    """Random operations on a store, and a model of the operations that it has acknowledged."""

    def __init__(self, opened: Store, rng: random.Random) -> None:
        self.store = opened
        self.rng = rng
        self.model: dict[int, ExpectedMessage] = {}
        self.interrupted: tuple[str, int] | None = None  # running at the crash, so that both states are valid
        self.queued_numbers: set[int] = set()  # messages with records that the store has queued

    def step(self) -> None:
        """Run one random operation; raises what the store raises."""
        roll, live = self.rng.random(), [n for n in self.model]
        number = self.rng.choice(live) if live else 0
        if not live or roll < 0.3:
            self._add()
        elif roll < 0.85:
            self._advance(number)
        else:
            self.interrupted = None
            self.store.step()
        self.interrupted = None
        if not self.store.pending_records:
            self.queued_numbers.clear()

    def _add(self) -> None:
        message = stored_message(self.store.next_number, self.rng.choice([0, 60, 100, 400]))
        self.store.next_number += 1
        self.interrupted = "add", message.number
        body = message.body or b""
        try:
            self.store.add_message(message)
        except NoSpaceError:
            return
        self.model[message.number] = ExpectedMessage(body)

    def _advance(self, number: int) -> None:
        state = self.model[number]
        if state.final_answer is not None:
            self._finish(number, "finish", lambda: self.store.finish(number))
        elif state.in_flight:
            outcome = self.rng.choice(ATTEMPT_OUTCOMES)
            if outcome is Outcome.COMPLETED:
                self._finish(number, "finish", lambda: self.store.record_outcome(number, outcome))
                return
            self.interrupted = "outcome", number
            self._write_or_queue(number, lambda: self.store.record_outcome(number, outcome))
            state.in_flight = False
            state.may_have_run |= not outcome.never_ran
        elif self.rng.random() < 0.25:
            self.interrupted = "final answer", number
            answer = bool(self.rng.getrandbits(1)), self.rng.randrange(900)
            self._write_or_queue(number, lambda: self.store.record_final_answer(number, *answer))
            state.final_answer = answer
        else:
            self.interrupted = "attempt", number
            try:
                self.store.record_attempt(number, self.rng.randrange(1, 10**9), number % 2)
            except NoSpaceError:
                return
            state.attempts, state.in_flight = state.attempts + 1, True

    def _write_or_queue(self, number: int, call: Any) -> None:
        try:
            call()
        except NoSpaceError:
            self.queued_numbers.add(number)

    def _finish(self, number: int, operation: str, call: Any) -> None:
        self.interrupted = operation, number
        self._write_or_queue(number, call)
        del self.model[number]

    def compare(self, case: unittest.TestCase, reopened: Store, may_be_partial: bool = False) -> None:
        """Compare the store of a new process with the model.

        `may_be_partial`: a partial record may be left in the file, so lost records may be reported.
        """
        reopened.segment_index.check_consistency()
        case.assertTrue(
            may_be_partial or not any(each.records_lost_since for each in reopened.messages.values()),
            "lost records without damage",
        )
        interrupted = self.interrupted[1] if self.interrupted else 0
        undetermined = self.queued_numbers | {interrupted}
        case.assertLessEqual(
            self.model.keys() - reopened.messages.keys(), {interrupted}, "an acknowledged message is lost"
        )
        case.assertLessEqual(
            reopened.messages.keys() - self.model.keys(), undetermined, "a finished message was restored"
        )
        for number in reopened.messages.keys() & self.model.keys():
            found, state = reopened.messages[number], self.model[number]
            may_have_run = bool(found.may_have_run_at or found.in_flight_since or found.records_lost_since)
            # The record of an interrupted outcome may say that the attempt never ran.
            in_flight = state.in_flight and self.interrupted != ("outcome", number)
            case.assertTrue(may_have_run or not (state.may_have_run or in_flight), "an attempt is lost")
            if number not in undetermined:
                case.assertEqual(
                    (found.attempts, bool(found.in_flight_since), bool(found.may_have_run_at), found.final_answer),
                    (state.attempts, state.in_flight, state.may_have_run, state.final_answer),
                    number,
                )
            if found.final_answer is None:
                case.assertEqual(reopened.read_body(number), state.body)
            case.assertEqual(len(found.earlier_attempts()), max(found.attempts, may_have_run))


class CrashAtEveryPointTest(unittest.TestCase):
    """The process crashes in one system call of a random history with compaction, and a new one recovers."""

    POINTS = int(os.environ.get("STORE_POINTS", "5000"))

    def run_history(
        self, seed: int, crash_at: int, steps: int = 250, disk_bytes: int = 1 << 60
    ) -> tuple[FakeFolder, History | None]:
        folder, rng = FakeFolder(), random.Random(seed)
        folder.crash_at, folder.rng = crash_at, random.Random(seed * 7 + crash_at)
        history = None
        try:
            history = History(open_store(folder, limit=14_000), rng)
            for at in range(steps):
                # The disk is full for random periods.
                if disk_bytes < 1 << 60 and at % 20 == 0:
                    folder.disk_bytes = disk_bytes + rng.randrange(-2000, 4000) if rng.random() < 0.5 else 1 << 60
                history.step()
            history.store.segment_index.check_consistency()
        except Crash:
            pass
        return folder, history

    def check(self, seed: int, crash_at: int, disk_bytes: int) -> bool:
        """Compare the recovered store; returns whether the process crashed at that call."""
        folder, history = self.run_history(seed, crash_at, disk_bytes=disk_bytes)
        crashed = folder.calls == folder.crash_at
        restarted_folder = FakeFolder(folder.files)
        restarted_folder.rng.seed(seed + crash_at)
        reopened = open_store(restarted_folder, limit=14_000)
        if history is None:  # crashed during its first start
            self.assertEqual(dict(reopened.messages), {})
            return crashed
        history.compare(self, reopened)
        # The second process continues without a crash, and a third one recovers the same state.
        continued = History(reopened, random.Random(seed + 1))
        continued.model = {number: self.expected_message(reopened, number) for number in reopened.messages}
        for _ in range(40):
            continued.step()
        self.assertGreaterEqual(reopened.next_number, max(history.store.messages, default=0))
        continued.compare(self, open_store(FakeFolder(restarted_folder.files), limit=14_000))
        return crashed

    def expected_message(self, store: Store, number: int) -> ExpectedMessage:
        found = store.messages[number]
        state = ExpectedMessage(store.read_body(number) if found.final_answer is None else b"")
        state.attempts, state.in_flight, state.final_answer = (
            found.attempts,
            bool(found.in_flight_since),
            found.final_answer,
        )
        state.may_have_run = bool(found.may_have_run_at)
        return state

    def check_points(self, disk_bytes: int, count: int) -> None:
        checked, seed, deleted = 0, 0, 0
        while checked < count:
            seed += 1
            calls = self.run_history(seed, 0, disk_bytes=disk_bytes)[0].calls
            chosen = random.Random(seed).sample(range(1, calls + 1), min(60, calls))
            for crash_at in chosen:
                with self.subTest(seed=seed, crash_at=crash_at):
                    self.check(seed, crash_at, disk_bytes)
                checked += 1
            deleted += self.deleted_segments(seed, disk_bytes)
        self.assertGreater(deleted, seed)  # compaction has run

    def deleted_segments(self, seed: int, disk_bytes: int) -> int:
        """Return the number of segments that a history deletes."""
        folder, history = self.run_history(seed, 0, disk_bytes=disk_bytes)
        assert history is not None
        return history.store.writer.last_segment_number - len(history.store.segment_index.segments)

    def test_recovered_state_is_the_acknowledged_state(self) -> None:
        self.check_points(1 << 60, self.POINTS * 3 // 4)

    def test_recovered_state_with_a_temporarily_full_disk(self) -> None:
        self.check_points(9_000, self.POINTS // 4)


class FailingCallsTest(unittest.TestCase):
    """System calls that fail with EIO, one kind at a time and during compaction."""

    def test_no_acknowledged_state_is_lost(self) -> None:
        for kind in ("append", "create", "truncate", "unlink"):
            for seed in range(25):
                with self.subTest(kind=kind, seed=seed):
                    folder, rng = FakeFolder(), random.Random(seed)
                    history = History(open_store(folder, limit=14_000), rng)
                    for at in range(300):
                        folder.failing_calls = {kind} if at % 50 > 35 else set()
                        folder.disk_bytes = 9000 if kind == "truncate" and at % 50 > 35 else 1 << 60
                        history.step()
                        if at % 60 == 59:
                            history.compare(
                                self,
                                open_store(
                                    FakeFolder({n: bytearray(f) for n, f in folder.files.items()}), limit=14_000
                                ),
                                may_be_partial=kind == "truncate",
                            )

    def test_failed_fsync_is_raised_and_retried(self) -> None:
        folder = FakeFolder()
        store = open_store(folder, durable=True)
        store.add_message(stored_message(1))
        folder.failing_calls = {"sync"}
        with self.assertRaises(OSError):
            store.flush()
        folder.failing_calls = set()
        store.flush()
        self.assertEqual(store.writer.unsynced_files, set())

    def test_durable_folder_deletes_no_file_before_the_sync(self) -> None:
        folder = FakeFolder()
        store = open_store(folder, durable=True)
        self.fill(store)
        store.flush()
        for number in list(store.messages):
            store.finish(number)
        for _ in range(200):
            store.step()
        self.assertTrue(store.writer.obsolete_files)
        names = {name for name, _ in store.writer.obsolete_files}
        self.assertLessEqual(names, set(folder.files))
        store.flush()
        self.assertFalse(names & set(folder.files))

    def fill(self, store: Store, size: int = 100) -> int:
        number = store.next_number
        try:
            while True:
                store.add_message(stored_message(number, size))
                number += 1
                store.next_number = number
        except NoSpaceError:
            return number - 1


class FolderLimitTest(unittest.TestCase):
    def test_full_folder_rejects_messages_records_attempts_and_recovers(self) -> None:
        folder = FakeFolder()
        store = open_store(folder, limit=400_000, segment_bytes=16_000)
        count = FailingCallsTest().fill(store, 1000)
        live = sum(each.record_size for each in store.messages.values())
        self.assertGreater(live, 0.8 * 400_000)
        for _ in range(6):  # many short records in a full folder
            for number in range(1, count + 1):
                store.record_attempt(number, 5, 0)
                store.record_outcome(number, Outcome.FULL)
                store.step()
        self.assertLessEqual(sum(map(len, folder.files.values())), 400_000)
        self.assertLessEqual(store.used_bytes, 400_000)
        for number in range(1, count // 2):
            store.finish(number)
            store.step()
        for _ in range(200):
            store.step()
        self.assertGreater(store.remaining_capacity(), count // 3)
        store.add_message(stored_message(store.next_number + 1000))

    def test_remaining_capacity_is_low_before_rejections_and_rises_after_finished_messages(self) -> None:
        store = open_store(FakeFolder(), limit=400_000, segment_bytes=16_000)
        capacities = []
        for number in range(1, 2000):
            capacities.append(store.remaining_capacity())
            if not store.has_room(stored_message(number)):
                break
            store.add_message(stored_message(number))
            store.step()
        self.assertLessEqual(capacities[-1], 1)
        self.assertGreater(min(capacities[:-4]), 1)  # not low too early
        for ended in range(1, 9):
            store.finish(ended)
        self.assertGreaterEqual(store.remaining_capacity(), 2)

    def test_limit_lowered_below_the_used_bytes(self) -> None:
        folder = FakeFolder()
        store = open_store(folder, limit=100_000, segment_bytes=4000)
        count = FailingCallsTest().fill(store)
        store.set_limit(60_000)
        self.assertFalse(store.has_room(stored_message(count + 1)))
        for number in range(1, count + 1):
            try:
                store.record_attempt(number, 5, 0)
            except NoSpaceError:
                pass  # the attempt must not be sent
            try:
                store.record_final_answer(number, True, 0) if number % 2 else store.finish(number)
            except NoSpaceError:
                pass  # the record is queued and written when there is space
            store.step()
        for _ in range(400):
            store.step()
        self.assertLessEqual(store.used_bytes, 60_000)
        reopened = open_store(FakeFolder(folder.files))
        self.assertEqual(sorted(reopened.messages), [number for number in range(1, count + 1) if number % 2])

    def test_queued_record_is_written_once_there_is_space(self) -> None:
        folder = FakeFolder()
        store = open_store(folder)
        store.add_message(stored_message(1))
        folder.disk_bytes = 0
        with self.assertRaises(NoSpaceError):
            store.finish(1)
        with self.assertRaises(NoSpaceError):
            store.add_message(stored_message(2))
        folder.disk_bytes = 1 << 60
        store.step()
        self.assertEqual(dict(open_store(FakeFolder(folder.files)).messages), {})

    def test_bodies_beyond_the_cache_limit_are_read_from_disk(self) -> None:
        store = open_store(FakeFolder(), body_cache_bytes=350)
        for number in range(1, 8):
            store.add_message(stored_message(number))
        self.assertEqual([number for number in store.messages if store.messages[number].body is not None], [5, 6, 7])
        self.assertEqual([store.read_body(number)[:8] for number in (1, 7)], [b"00000001", b"00000007"])
        for number in range(1, 8):
            store.finish(number)
        self.assertEqual(store.body_cache.cached_bytes, 0)

    def test_damaged_body_is_not_returned(self) -> None:
        folder = FakeFolder()
        store = open_store(folder, body_cache_bytes=0)
        store.add_message(stored_message(1))
        folder.files[segment_name(1)][-5] ^= 1
        with self.assertRaises(BodyLostError):
            store.read_body(1)


class DamagedFolderTest(unittest.TestCase):
    """Folders that were damaged by something other than this program."""

    def setUp(self) -> None:
        self.folder = FakeFolder()
        self.reports: list[str] = []
        store = open_store(self.folder, limit=1_000_000)
        for number in range(1, 41):
            store.add_message(stored_message(number))
            store.next_number = number + 1
            store.record_attempt(number, 1000 + number, 0)
            store.record_outcome(number, Outcome.FULL)
        store.finish(7)

    def found(self) -> Recovered:
        return recover(self.folder, self.reports.append)

    def messages_with_lost_records(self) -> list[int]:
        return [number for number, each in self.found().segment_index.messages.items() if each.records_lost_since]

    def test_undamaged_folder_has_no_findings(self) -> None:
        self.assertEqual((self.messages_with_lost_records(), self.reports), ([], []))
        self.assertGreater(len(self.folder.files), 4)

    def test_partial_last_record_is_truncated(self) -> None:
        last = max(self.folder.files)
        del self.folder.files[last][-3:]
        self.assertEqual(self.messages_with_lost_records(), [])
        self.assertIn("cut off", self.reports[0])
        reopened = open_store(FakeFolder(self.folder.files))
        reopened.add_message(stored_message(99))
        self.assertIn(99, open_store(FakeFolder(self.folder.files)).messages)

    def test_damage_in_the_middle_marks_the_messages_live_then(self) -> None:
        name = segment_name(2)
        self.folder.files[name][300] ^= 0xFF
        found = self.found()
        affected = {number for number, each in found.segment_index.messages.items() if each.records_lost_since}
        self.assertTrue(affected)
        self.assertTrue(all(found.segment_index.messages[number].segment_number <= 2 for number in affected))
        self.assertIn("damaged", self.reports[0])

    def test_unreadable_sector_counts_as_damage_and_the_rest_is_read(self) -> None:
        self.folder.bad_sectors.add((segment_name(1), 0))
        self.assertGreater(len(self.found().segment_index.messages), 20)
        self.assertTrue(self.reports)

    def test_a_missing_segment(self) -> None:
        del self.folder.files[segment_name(2)]
        affected = self.messages_with_lost_records()
        self.assertTrue(affected)
        self.assertIn("00000002.seg is missing", self.reports[0])
        # The loss is recorded, so later starts know of it.
        reopened = open_store(FakeFolder(self.folder.files), limit=1_000_000)
        self.assertTrue(
            all(
                each.earlier_attempts()[0].outcome is None
                for number, each in reopened.messages.items()
                if number in affected
            )
        )
        third = open_store(FakeFolder(self.folder.files), limit=1_000_000)
        self.assertEqual({n for n, each in third.messages.items() if each.records_lost_since}, set(affected))

    def test_truncated_sealed_segment(self) -> None:
        del self.folder.files[segment_name(2)][-20:]
        self.assertTrue(self.messages_with_lost_records())
        self.assertIn("cut off at", self.reports[0])

    def test_duplicate_segment_is_ignored_and_preserved(self) -> None:
        self.folder.files["00000099.seg"] = bytearray(self.folder.files[segment_name(1)])
        self.folder.files["00000001 (copy).seg"] = bytearray(b"x")
        reopened = open_store(FakeFolder(self.folder.files), limit=1_000_000)
        self.assertEqual(
            (len(reopened.messages), any(each.records_lost_since for each in reopened.messages.values())), (39, False)
        )
        self.assertIn("00000099.seg", self.folder.files)

    def test_restored_older_files_list_segments_deleted_since(self) -> None:
        """The files are restored to an older state, without those that compaction has deleted since."""
        before = {name: bytearray(data) for name, data in self.folder.files.items()}
        store = open_store(self.folder, limit=1_000_000)
        for number in range(20, 40):
            store.finish(number)
        for _ in range(300):
            store.step()
        gone = before.keys() - self.folder.files.keys()
        self.assertTrue(gone)
        for name in gone:
            del before[name]
        self.folder.files = before
        self.assertTrue(self.messages_with_lost_records())

    def test_record_of_unknown_kind_survives_compaction(self) -> None:
        store = open_store(self.folder, limit=60_000)
        store.append_record(b"\x63" + b"future", RecordUse.SHORT_RECORD)
        segment = store.writer.active
        assert segment is not None
        store.segment_index.add_unknown_record(segment, segment.valid_bytes - 7, 7)
        for number in list(store.messages):
            store.finish(number)
        for number in range(100, 300):
            store.add_message(stored_message(number))
            store.finish(number)
            store.step()
        self.assertNotIn(segment.number, store.segment_index.segments)
        self.assertTrue(any(b"\x63future" in data for data in self.folder.files.values()))

    def test_unknown_kind_that_may_describe_an_attempt_marks_its_message(self) -> None:
        store = open_store(self.folder, limit=1_000_000)
        store.append_record(b"\x20" + (12).to_bytes(8, "little") + b"?", RecordUse.SHORT_RECORD)
        self.assertEqual(self.messages_with_lost_records(), [12])

    def test_segment_of_another_version_is_preserved(self) -> None:
        name = segment_name(3)
        header = records.decode_header(records.decode_frame(bytes(self.folder.files[name]), 0) or b"")
        frame = encode_frame(records.encode_header(header._replace(version=9)))
        self.folder.files[name][: len(frame)] = frame
        self.assertTrue(self.messages_with_lost_records())
        reopened = open_store(FakeFolder(self.folder.files), limit=30_000)
        for number in list(reopened.messages):
            reopened.finish(number)
        for _ in range(300):
            reopened.step()
        self.assertIn(name, self.folder.files)

    def test_randomly_damaged_folders_can_be_loaded(self) -> None:
        whole = {name: bytes(data) for name, data in self.folder.files.items()}
        for seed in range(300):
            rng = random.Random(seed)
            files = {name: bytearray(data) for name, data in whole.items()}
            name = rng.choice(sorted(files))
            for _ in range(rng.randint(1, 4)):
                files[name][rng.randrange(len(files[name]))] = rng.randrange(256)
            if rng.random() < 0.2:
                del files[rng.choice(sorted(files))]
            store = open_store(FakeFolder(files), limit=1_000_000)
            store.segment_index.check_consistency()
            for each in store.messages.values():
                each.earlier_attempts()


class LegacyFormatTest(unittest.TestCase):
    """Folders of format version 1: one file that was rewritten as a whole."""

    def legacy_file(self) -> bytearray:
        parts = [legacy_format.FINISHED_BODY.pack(legacy_format.SNAPSHOT, 0)]
        for number in (1, 2, 3, 4):
            texts = [b"id-%d" % number, b"", b"high", b""]
            head = legacy_format.MESSAGE_BODY.pack(legacy_format.MESSAGE, number, 10**15, 0, 0, *map(len, texts))
            parts.append(head + b"".join(texts) + b"body")
        parts += [
            legacy_format.ATTEMPT_BODY.pack(legacy_format.ATTEMPT, 1, 50, 0),
            legacy_format.ATTEMPT_BODY.pack(legacy_format.ATTEMPT, 2, 60, 0),
            legacy_format.OUTCOME_BODY.pack(legacy_format.OUTCOME, 2, list(Outcome).index(Outcome.FULL)),
            legacy_format.FINAL_ANSWER_BODY.pack(legacy_format.FINAL_ANSWER, 3, 1, 250),
            legacy_format.FINISHED_BODY.pack(legacy_format.FINISHED, 4),
        ]
        return bytearray(
            b"".join(legacy_format.FRAME_HEADER.pack(len(each), zlib.crc32(each)) + each for each in parts)
        )

    def check(self, store: Store) -> None:
        self.assertEqual(sorted(store.messages), [1, 2, 3])
        self.assertEqual(
            (
                store.messages[1].in_flight_since,
                store.messages[2].attempts,
                store.messages[2].may_have_run_at,
                store.messages[3].final_answer,
            ),
            (50, 1, 0, (True, 250)),
        )
        self.assertEqual((store.read_body(1), store.restarted), (b"body", True))

    def test_legacy_file_is_converted_and_deleted(self) -> None:
        folder = FakeFolder({"00000005.log": self.legacy_file()})
        self.check(open_store(folder))
        self.assertNotIn("00000005.log", folder.files)
        self.check(open_store(FakeFolder(folder.files)))

    def test_crash_at_any_call_of_the_conversion_loses_nothing(self) -> None:
        for crash_at in range(1, 30):
            folder = FakeFolder({"00000005.log": self.legacy_file()})
            folder.crash_at = crash_at
            try:
                open_store(folder)
            except Crash:
                pass
            self.check(open_store(FakeFolder(folder.files)))

    def test_legacy_file_that_cannot_be_deleted_is_not_converted_again(self) -> None:
        folder = FakeFolder({"00000005.log": self.legacy_file()})
        folder.failing_calls = {"unlink"}
        store = open_store(folder)
        folder.failing_calls = set()  # the deletion is retried only at the next start
        for number in (1, 2, 3):
            store.finish(number)
        for number in range(10, 200):
            store.add_message(stored_message(number))
            store.finish(number)
            store.step()
        self.assertEqual(dict(open_store(FakeFolder(folder.files)).messages), {})


class RealFolderTest(unittest.TestCase):
    """The store on a folder of the file system."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = folder.name

    def test_folder_can_be_locked_only_once(self) -> None:
        store = open_store(Folder(self.path))
        with self.assertRaisesRegex(FolderInUseError, "in use by another process"):
            open_store(Folder(self.path))
        store.close()
        open_store(Folder(self.path)).close()

    def test_reopened_store_has_messages_attempts_and_next_number(self) -> None:
        store = open_store(Folder(self.path))
        for number in (1, 2, 3, 4):
            store.add_message(StoredMessage(number, f"id-{number}", "k", 7, "high", "tenant", 3, 99, b"body"))
        store.record_attempt(1, 500, 2)
        store.record_outcome(1, Outcome.FULL)
        store.record_attempt(1, 900, 1)
        store.record_attempt(2, 500, 0)
        store.record_outcome(2, Outcome.COMPLETED)
        store.record_final_answer(3, True, 40)
        store.finish(4)
        store.close()
        reopened = open_store(Folder(self.path))
        message = reopened.messages[1]
        self.assertEqual(
            (
                message.id,
                message.key,
                message.order_key,
                message.priority_class,
                message.tenant,
                message.destination,
                message.deadline,
                reopened.read_body(1),
            ),
            ("id-1", "k", 7, "high", "tenant", 3, 99, b"body"),
        )
        self.assertEqual(
            [(attempt.sent_at, attempt.zone, attempt.outcome) for attempt in message.earlier_attempts()],
            [(900, 1, None), (0, 0, Outcome.MOOT)],
        )
        self.assertEqual(
            ({n: each.final_answer for n, each in reopened.messages.items()}, reopened.next_number),
            ({1: None, 3: (True, 40)}, 5),
        )
        reopened.close()

    def test_history_over_several_restarts(self) -> None:
        rng = random.Random(3)
        opened = open_store(Folder(self.path), limit=30_000)
        history = History(opened, rng)
        for at in range(1500):
            history.step()
            if at % 300 == 299:
                opened.close()
                opened = open_store(Folder(self.path), limit=30_000)
                history.compare(self, opened)
                history.store = opened
        on_disk = sum(
            compaction_planner.round_up_to_blocks(os.stat(os.path.join(self.path, name)).st_size)
            for name in os.listdir(self.path)
        )
        self.assertEqual((opened.used_bytes, opened.used_bytes <= 30_000), (on_disk, True))
        opened.close()


class CompactionPlanTest(unittest.TestCase):
    SIZES = compaction_planner.Sizes(limit=1_000_000, used=0, live=0, segment=31_250, largest_record=1000, header=100)

    def test_victim_has_the_smallest_live_share_then_the_lowest_number(self) -> None:
        candidates = [
            compaction_planner.CompactionCandidate(1, 1000, 900),
            compaction_planner.CompactionCandidate(2, 1000, 300),
            compaction_planner.CompactionCandidate(3, 2000, 600),
            compaction_planner.CompactionCandidate(4, 1000, 1000),
        ]
        self.assertEqual(compaction_planner.choose_victim(candidates, space_is_short=False), candidates[1])
        self.assertIsNone(compaction_planner.choose_victim(candidates[3:], space_is_short=True))

    def test_mostly_live_segment_is_compacted_only_if_space_is_short(self) -> None:
        full = [compaction_planner.CompactionCandidate(1, 1000, 960)]
        self.assertIsNone(compaction_planner.choose_victim(full, space_is_short=False))
        self.assertEqual(compaction_planner.choose_victim(full, space_is_short=True), full[0])

    def test_pace_rises_as_free_space_falls(self) -> None:
        victim, floor = (
            compaction_planner.CompactionCandidate(1, 31_250, 15_625),
            compaction_planner.reserved_bytes(self.SIZES),
        )
        paces = [
            compaction_planner.bytes_to_move(self.SIZES._replace(used=1_000_000 - floor - free), victim, 1000)
            for free in (300_000, 250_000, 150_000, 50_000, 0)
        ]
        self.assertEqual(paces[:2], [0, 0])
        self.assertTrue(0 < paces[2] < paces[3] < paces[4])
        self.assertEqual(paces[4], 4001)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.integers(0, 1_000_000), st.integers(0, 31_250), st.integers(0, 1 << 20))
    def test_step_is_bounded(self, used: int, live: int, appended: int) -> None:
        step = compaction_planner.bytes_to_move(
            self.SIZES._replace(used=used), compaction_planner.CompactionCandidate(1, 31_250, live), appended
        )
        self.assertTrue(0 <= step <= compaction_planner.MAX_STEP_BYTES)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.integers(200_000, 1 << 34))
    def test_usable_share_of_large_and_small_folders(self, limit: int) -> None:
        sizes = compaction_planner.Sizes(limit, 0, 0, compaction_planner.segment_size(limit), 1100, 700)
        share = compaction_planner.free_message_bytes(sizes) / limit
        self.assertGreater(share, 0.9 if limit > 1 << 22 else 0.55 if limit < 1 << 20 else 0.8)


class AttemptStateTest(unittest.TestCase):
    def test_attempt_without_an_outcome_before_another_may_have_run(self) -> None:
        message = stored_message(1)
        message.apply_attempt(50, 2)
        message.apply_attempt(90, 1)
        message.apply_outcome(never_ran=True)
        self.assertEqual(
            (message.attempts, message.may_have_run_at, message.may_have_run_zone, message.in_flight_since),
            (2, 50, 2, 0),
        )
        self.assertEqual(
            [(each.sent_at, each.outcome) for each in message.earlier_attempts()], [(50, None), (0, Outcome.MOOT)]
        )

    def test_first_attempt_that_may_have_run_counts_and_lost_records_have_no_zone(self) -> None:
        message = stored_message(1)
        for at in (10, 20):
            message.apply_attempt(at, 0)
            message.apply_outcome(never_ran=False)
        message.records_lost_since = 5
        self.assertEqual([(each.sent_at, each.zone) for each in message.earlier_attempts()], [(5, -1), (10, 0)])


class CodecTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.lists(st.binary(min_size=1, max_size=60), max_size=8), st.integers(1, 200), st.binary(max_size=12))
    def test_records_are_found_after_any_noise(self, payloads: list[bytes], cut: int, noise: bytes) -> None:
        data = noise + b"".join(map(encode_frame, payloads))
        found = [each.payload for each in scan_frames(data, 0, True) if isinstance(each, Frame)]
        self.assertEqual(found[-len(payloads) :] if payloads else [], payloads)
        spans = [
            (each.offset, each.end_offset if isinstance(each, DamagedRange) else each.offset + 10 + len(each.payload))
            for each in scan_frames(data, 0, True)
        ]
        self.assertEqual([begin for begin, _ in spans], [0, *[end for _, end in spans]][: len(spans)])

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.binary(max_size=300))
    def test_noise_contains_no_record(self, noise: bytes) -> None:
        self.assertFalse([each for each in scan_frames(noise, 0, True) if isinstance(each, Frame)])


if __name__ == "__main__":
    unittest.main()
