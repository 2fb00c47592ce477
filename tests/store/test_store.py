"""The journal on a folder that fails at any system call, compared with a model of what was acknowledged."""

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

ENDING, SPAN = [Outcome.COMPLETED, Outcome.ERROR, Outcome.FULL, Outcome.TIME_OUT, Outcome.CONNECT_FAILED], 1000


def setUpModule() -> None:
    logger.disable("cedarwick.store")  # what the folders of these tests are like is said thousands of times


def tearDownModule() -> None:
    logger.enable("cedarwick.store")


class Crash(BaseException):
    """The process is gone."""


class Fake(Folder):
    """A folder in memory. `fail` is asked before each call that changes something."""

    def __init__(self, files: dict[str, bytearray] | None = None) -> None:
        super().__init__("fake")
        self.files: dict[str, bytearray] = {} if files is None else files
        self.open_files: dict[int, str] = {}
        self.next_file = 3
        self.calls = 0
        self.crash_at = 0  # the call at which the process dies; 0: never
        self.chance = random.Random(1)
        self.room = 1 << 60  # bytes that the disk takes in all
        self.failing: set[str] = set()  # kinds of calls that end in EIO
        self.bad: set[tuple[str, int]] = set()  # sectors that cannot be read

    def _call(self, kind: str) -> bool:
        """Count a call; whether the process dies in it."""
        self.calls += 1
        if kind in self.failing:
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
            if self.chance.random() < 0.5:
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
        dies = self._call("append")
        name = self.open_files[file]
        left = max(0, self.room - sum(map(len, self.files.values())))
        size = min(len(data), left)
        if dies:
            self.files[name] += data[: self.chance.randint(0, size)]
            raise Crash
        if data and not size:
            raise OSError(28, "No space left on device")
        self.files[name] += data[:size]
        return size

    def read(self, file: int, size: int, at: int) -> bytes:
        name = self.open_files[file]
        if any((name, sector) in self.bad for sector in range(at // 4096, (at + size - 1) // 4096 + 1)):
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
            if self.chance.random() < 0.5:
                self.files.pop(name, None)
            raise Crash
        if name not in self.files:
            raise FileNotFoundError(2, "No such file")
        del self.files[name]


def store(folder: Folder, limit: int = 40_000, segment_bytes: int = 1500, **told: Any) -> Store:
    made = Store(folder, limit, now=lambda: 77, segment_bytes=segment_bytes, **told)
    made.load()
    return made


def kept(number: int, size: int = 100) -> StoredMessage:
    body = (b"%08d" % number) * (size // 8 + 1)
    return StoredMessage(
        number, f"id-{number}", "mark" if number % 2 else "", number % 3, "band", "", number % 5, 10**15, body[:size]
    )


class State:
    """What the model says of one message that lives."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.attempts = 0
        self.may_have_run = False
        self.out = False
        self.end: tuple[bool, int] | None = None


class History:
    """A drawn history, played on a store and on a model of what the store has acknowledged."""

    def __init__(self, made: Store, chance: random.Random) -> None:
        self.store = made
        self.chance = chance
        self.model: dict[int, State] = {}
        self.doing: tuple[str, int] | None = None  # under way when the process died: either state is right
        self.unsure: set[int] = set()  # ends that the store owes a record for

    def step(self) -> None:
        """One call, chosen by chance; it raises what the store raises."""
        roll, live = self.chance.random(), [n for n in self.model]
        number = self.chance.choice(live) if live else 0
        if not live or roll < 0.3:
            self._keep()
        elif roll < 0.85:
            self._go_on(number)
        else:
            self.doing = None
            self.store.step()
        self.doing = None
        if not self.store.pending_records:
            self.unsure.clear()

    def _keep(self) -> None:
        fresh = kept(self.store.next_number, self.chance.choice([0, 60, 100, 400]))
        self.store.next_number += 1
        self.doing = "keep", fresh.number
        body = fresh.body or b""
        try:
            self.store.add_message(fresh)
        except NoSpaceError:
            return
        self.model[fresh.number] = State(body)

    def _go_on(self, number: int) -> None:
        state = self.model[number]
        if state.end is not None:
            self._end(number, "over", lambda: self.store.finish(number))
        elif state.out:
            outcome = self.chance.choice(ENDING)
            if outcome is Outcome.COMPLETED:
                self._end(number, "over", lambda: self.store.record_outcome(number, outcome))
                return
            self.doing = "outcome", number
            self._owed(number, lambda: self.store.record_outcome(number, outcome))
            state.out = False
            state.may_have_run |= not outcome.never_ran
        elif self.chance.random() < 0.25:
            self.doing = "end", number
            end = bool(self.chance.getrandbits(1)), self.chance.randrange(900)
            self._owed(number, lambda: self.store.record_final_answer(number, *end))
            state.end = end
        else:
            self.doing = "shot", number
            try:
                self.store.record_attempt(number, self.chance.randrange(1, 10**9), number % 2)
            except NoSpaceError:
                return
            state.attempts, state.out = state.attempts + 1, True

    def _owed(self, number: int, call: Any) -> None:
        try:
            call()
        except NoSpaceError:
            self.unsure.add(number)

    def _end(self, number: int, what: str, call: Any) -> None:
        self.doing = what, number
        self._owed(number, call)
        del self.model[number]

    def compare(self, case: unittest.TestCase, again: Store, torn: bool = False) -> None:
        """What a new process finds is what was acknowledged. `torn`: a record may stand torn, so doubt is right."""
        again.segment_index.check_consistency()
        case.assertTrue(
            torn or not any(each.records_lost_since for each in again.messages.values()), "doubt without damage"
        )
        doing = self.doing[1] if self.doing else 0
        loose = self.unsure | {doing}
        case.assertLessEqual(self.model.keys() - again.messages.keys(), {doing}, "an acknowledged message is lost")
        case.assertLessEqual(again.messages.keys() - self.model.keys(), loose, "an ended message has come back")
        for number in again.messages.keys() & self.model.keys():
            found, state = again.messages[number], self.model[number]
            may_have_run = bool(found.may_have_run_at or found.in_flight_since or found.records_lost_since)
            out = state.out and self.doing != ("outcome", number)  # that one may be told as 'never ran' by now
            case.assertTrue(may_have_run or not (state.may_have_run or out), "an attempt is forgotten")
            if number not in loose:
                case.assertEqual(
                    (found.attempts, bool(found.in_flight_since), bool(found.may_have_run_at), found.final_answer),
                    (state.attempts, state.out, state.may_have_run, state.end),
                    number,
                )
            if found.final_answer is None:
                case.assertEqual(again.read_body(number), state.body)
            case.assertEqual(len(found.earlier_attempts()), max(found.attempts, may_have_run))


class CrashAtEveryPointTest(unittest.TestCase):
    """The process dies in one system call of a drawn history with compaction running, then recovers."""

    POINTS = int(os.environ.get("STORE_POINTS", "5000"))

    def play(self, seed: int, crash_at: int, steps: int = 250, room: int = 1 << 60) -> tuple[Fake, History | None]:
        folder, chance = Fake(), random.Random(seed)
        folder.crash_at, folder.chance = crash_at, random.Random(seed * 7 + crash_at)
        history = None
        try:
            history = History(store(folder, limit=14_000), chance)
            for at in range(steps):
                # The disk fills and heals at random times.
                if room < 1 << 60 and at % 20 == 0:
                    folder.room = room + chance.randrange(-2000, 4000) if chance.random() < 0.5 else 1 << 60
                history.step()
            history.store.segment_index.check_consistency()
        except Crash:
            pass
        return folder, history

    def check(self, seed: int, crash_at: int, room: int) -> bool:
        """Whether the history was still under way at that call."""
        folder, history = self.play(seed, crash_at, room=room)
        died = folder.calls == folder.crash_at
        after = Fake(folder.files)
        after.chance.seed(seed + crash_at)
        again = store(after, limit=14_000)
        if history is None:  # it died in its first start
            self.assertEqual(dict(again.messages), {})
            return died
        history.compare(self, again)
        # It goes on, dies no more, and a third process finds the same.
        go_on = History(again, random.Random(seed + 1))
        go_on.model = {number: self.state_of(again, number) for number in again.messages}
        for _ in range(40):
            go_on.step()
        self.assertGreaterEqual(again.next_number, max(history.store.messages, default=0))
        go_on.compare(self, store(Fake(after.files), limit=14_000))
        return died

    def state_of(self, made: Store, number: int) -> State:
        found = made.messages[number]
        state = State(made.read_body(number) if found.final_answer is None else b"")
        state.attempts, state.out, state.end = found.attempts, bool(found.in_flight_since), found.final_answer
        state.may_have_run = bool(found.may_have_run_at)
        return state

    def points(self, room: int, count: int) -> None:
        checked, seed, dropped = 0, 0, 0
        while checked < count:
            seed += 1
            calls = self.play(seed, 0, room=room)[0].calls
            chosen = random.Random(seed).sample(range(1, calls + 1), min(60, calls))
            for crash_at in chosen:
                with self.subTest(seed=seed, crash_at=crash_at):
                    self.check(seed, crash_at, room)
                checked += 1
            dropped += self.compacted(seed, room)
        self.assertGreater(dropped, seed)  # compaction did run

    def compacted(self, seed: int, room: int) -> int:
        """Segments that a history deletes."""
        folder, history = self.play(seed, 0, room=room)
        assert history is not None
        return history.store.writer.last_segment_number - len(history.store.segment_index.segments)

    def test_each_state_is_what_was_acknowledged(self) -> None:
        self.points(1 << 60, self.POINTS * 3 // 4)

    def test_the_same_while_the_disk_fills_and_heals(self) -> None:
        self.points(9_000, self.POINTS // 4)


class FailingCallsTest(unittest.TestCase):
    """Calls that end in EIO, one kind at a time and in the middle of a compaction."""

    def test_nothing_is_lost_whatever_fails(self) -> None:
        for kind in ("append", "create", "truncate", "unlink"):
            for seed in range(25):
                with self.subTest(kind=kind, seed=seed):
                    folder, chance = Fake(), random.Random(seed)
                    history = History(store(folder, limit=14_000), chance)
                    for at in range(300):
                        folder.failing = {kind} if at % 50 > 35 else set()
                        folder.room = 9000 if kind == "truncate" and at % 50 > 35 else 1 << 60
                        history.step()
                        if at % 60 == 59:
                            history.compare(
                                self,
                                store(Fake({n: bytearray(f) for n, f in folder.files.items()}), limit=14_000),
                                torn=kind == "truncate",
                            )

    def test_an_fsync_that_fails_is_told_and_tried_again(self) -> None:
        folder = Fake()
        made = store(folder, durable=True)
        made.add_message(kept(1))
        folder.failing = {"sync"}
        with self.assertRaises(OSError):
            made.flush()
        folder.failing = set()
        made.flush()
        self.assertEqual(made.writer.unsynced_files, set())

    def test_a_durable_folder_deletes_nothing_before_the_sync(self) -> None:
        folder = Fake()
        made = store(folder, durable=True)
        self.fill(made)
        made.flush()
        for number in list(made.messages):
            made.finish(number)
        for _ in range(200):
            made.step()
        self.assertTrue(made.writer.obsolete_files)
        names = {name for name, _ in made.writer.obsolete_files}
        self.assertLessEqual(names, set(folder.files))
        made.flush()
        self.assertFalse(names & set(folder.files))

    def fill(self, made: Store, size: int = 100) -> int:
        number = made.next_number
        try:
            while True:
                made.add_message(kept(number, size))
                number += 1
                made.next_number = number
        except NoSpaceError:
            return number - 1


class FolderLimitTest(unittest.TestCase):
    def test_a_full_folder_turns_new_ones_away_keeps_its_word_and_heals(self) -> None:
        folder = Fake()
        made = store(folder, limit=400_000, segment_bytes=16_000)
        count = FailingCallsTest().fill(made, 1000)
        live = sum(each.record_size for each in made.messages.values())
        self.assertGreater(live, 0.8 * 400_000)
        for _ in range(6):  # many short records, in a folder that is full
            for number in range(1, count + 1):
                made.record_attempt(number, 5, 0)
                made.record_outcome(number, Outcome.FULL)
                made.step()
        self.assertLessEqual(sum(map(len, folder.files.values())), 400_000)
        self.assertLessEqual(made.used_bytes, 400_000)
        for number in range(1, count // 2):
            made.finish(number)
            made.step()
        for _ in range(200):
            made.step()
        self.assertGreater(made.remaining_capacity(), count // 3)
        made.add_message(kept(made.next_number + 1000))

    def test_room_is_told_as_few_before_the_folder_turns_away_and_comes_back_with_an_end(self) -> None:
        made = store(Fake(), limit=400_000, segment_bytes=16_000)
        told = []
        for number in range(1, 2000):
            told.append(made.remaining_capacity())
            if not made.has_room(kept(number)):
                break
            made.add_message(kept(number))
            made.step()
        self.assertLessEqual(told[-1], 1)
        self.assertGreater(min(told[:-4]), 1)  # never short without need
        for ended in range(1, 9):
            made.finish(ended)
        self.assertGreaterEqual(made.remaining_capacity(), 2)

    def test_a_limit_that_is_lowered_below_what_is_in_use(self) -> None:
        folder = Fake()
        made = store(folder, limit=100_000, segment_bytes=4000)
        count = FailingCallsTest().fill(made)
        made.set_limit(60_000)
        self.assertFalse(made.has_room(kept(count + 1)))
        for number in range(1, count + 1):
            try:
                made.record_attempt(number, 5, 0)
            except NoSpaceError:
                pass  # it must not go out, then
            try:
                made.record_final_answer(number, True, 0) if number % 2 else made.finish(number)
            except NoSpaceError:
                pass  # it is owed, and written as room returns
            made.step()
        for _ in range(400):
            made.step()
        self.assertLessEqual(made.used_bytes, 60_000)
        again = store(Fake(folder.files))
        self.assertEqual(sorted(again.messages), [number for number in range(1, count + 1) if number % 2])

    def test_what_has_no_room_now_is_written_as_soon_as_there_is_some(self) -> None:
        folder = Fake()
        made = store(folder)
        made.add_message(kept(1))
        folder.room = 0
        with self.assertRaises(NoSpaceError):
            made.finish(1)
        with self.assertRaises(NoSpaceError):
            made.add_message(kept(2))
        folder.room = 1 << 60
        made.step()
        self.assertEqual(dict(store(Fake(folder.files)).messages), {})

    def test_bodies_beyond_the_bound_lie_on_disk_only_and_are_read_for_the_attempt(self) -> None:
        made = store(Fake(), body_cache_bytes=350)
        for number in range(1, 8):
            made.add_message(kept(number))
        self.assertEqual([number for number in made.messages if made.messages[number].body is not None], [5, 6, 7])
        self.assertEqual([made.read_body(number)[:8] for number in (1, 7)], [b"00000001", b"00000007"])
        for number in range(1, 8):
            made.finish(number)
        self.assertEqual(made.body_cache.cached_bytes, 0)

    def test_a_body_that_is_damaged_on_disk_is_never_sent(self) -> None:
        folder = Fake()
        made = store(folder, body_cache_bytes=0)
        made.add_message(kept(1))
        folder.files[segment_name(1)][-5] ^= 1
        with self.assertRaises(BodyLostError):
            made.read_body(1)


class DamagedFolderTest(unittest.TestCase):
    """Folders that something else than this program has spoilt."""

    def setUp(self) -> None:
        self.folder = Fake()
        self.said: list[str] = []
        made = store(self.folder, limit=1_000_000)
        for number in range(1, 41):
            made.add_message(kept(number))
            made.next_number = number + 1
            made.record_attempt(number, 1000 + number, 0)
            made.record_outcome(number, Outcome.FULL)
        made.finish(7)

    def found(self) -> Recovered:
        return recover(self.folder, self.said.append)

    def doubtful(self) -> list[int]:
        return [number for number, each in self.found().segment_index.messages.items() if each.records_lost_since]

    def test_undamaged_nothing_is_said_and_nothing_doubted(self) -> None:
        self.assertEqual((self.doubtful(), self.said), ([], []))
        self.assertGreater(len(self.folder.files), 4)

    def test_a_torn_tail_is_cut_off(self) -> None:
        last = max(self.folder.files)
        del self.folder.files[last][-3:]
        self.assertEqual(self.doubtful(), [])
        self.assertIn("cut off", self.said[0])
        again = store(Fake(self.folder.files))
        again.add_message(kept(99))
        self.assertIn(99, store(Fake(self.folder.files)).messages)

    def test_a_torn_middle_puts_in_doubt_what_lived_then(self) -> None:
        name = segment_name(2)
        self.folder.files[name][300] ^= 0xFF
        found = self.found()
        doubted = {number for number, each in found.segment_index.messages.items() if each.records_lost_since}
        self.assertTrue(doubted)
        self.assertTrue(all(found.segment_index.messages[number].segment_number <= 2 for number in doubted))
        self.assertIn("damaged", self.said[0])

    def test_a_bad_sector_is_damage_and_the_rest_is_read(self) -> None:
        self.folder.bad.add((segment_name(1), 0))
        self.assertGreater(len(self.found().segment_index.messages), 20)
        self.assertTrue(self.said)

    def test_a_missing_segment(self) -> None:
        del self.folder.files[segment_name(2)]
        doubted = self.doubtful()
        self.assertTrue(doubted)
        self.assertIn("00000002.seg is missing", self.said[0])
        # The doubt is written down: it does not go when the program starts again.
        again = store(Fake(self.folder.files), limit=1_000_000)
        self.assertTrue(
            all(
                each.earlier_attempts()[0].outcome is None
                for number, each in again.messages.items()
                if number in doubted
            )
        )
        third = store(Fake(self.folder.files), limit=1_000_000)
        self.assertEqual({n for n, each in third.messages.items() if each.records_lost_since}, set(doubted))

    def test_a_sealed_segment_that_was_cut_short(self) -> None:
        del self.folder.files[segment_name(2)][-20:]
        self.assertTrue(self.doubtful())
        self.assertIn("cut off at", self.said[0])

    def test_a_duplicate_is_left_out_and_left_alone(self) -> None:
        self.folder.files["00000099.seg"] = bytearray(self.folder.files[segment_name(1)])
        self.folder.files["00000001 (copy).seg"] = bytearray(b"x")
        again = store(Fake(self.folder.files), limit=1_000_000)
        self.assertEqual(
            (len(again.messages), any(each.records_lost_since for each in again.messages.values())), (39, False)
        )
        self.assertIn("00000099.seg", self.folder.files)

    def test_an_older_newest_segment_names_what_is_gone_by_now(self) -> None:
        """The folder is as of an older moment, but what was deleted since is deleted."""
        before = {name: bytearray(data) for name, data in self.folder.files.items()}
        made = store(self.folder, limit=1_000_000)
        for number in range(20, 40):
            made.finish(number)
        for _ in range(300):
            made.step()
        gone = before.keys() - self.folder.files.keys()
        self.assertTrue(gone)
        for name in gone:
            del before[name]
        self.folder.files = before
        self.assertTrue(self.doubtful())

    def test_a_record_of_an_unknown_kind_is_kept_through_compaction(self) -> None:
        made = store(self.folder, limit=60_000)
        made.append_record(b"\x63" + b"future", RecordUse.SHORT_RECORD)
        segment = made.writer.active
        assert segment is not None
        made.segment_index.add_unknown_record(segment, segment.valid_bytes - 7, 7)
        for number in list(made.messages):
            made.finish(number)
        for number in range(100, 300):
            made.add_message(kept(number))
            made.finish(number)
            made.step()
        self.assertNotIn(segment.number, made.segment_index.segments)
        self.assertTrue(any(b"\x63future" in data for data in self.folder.files.values()))

    def test_an_unknown_kind_that_may_speak_of_a_attempt_puts_its_message_in_doubt(self) -> None:
        made = store(self.folder, limit=1_000_000)
        made.append_record(b"\x20" + (12).to_bytes(8, "little") + b"?", RecordUse.SHORT_RECORD)
        self.assertEqual(self.doubtful(), [12])

    def test_a_segment_of_another_version_is_left_alone(self) -> None:
        name = segment_name(3)
        made = records.decode_header(records.decode_frame(bytes(self.folder.files[name]), 0) or b"")
        head = encode_frame(records.encode_header(made._replace(version=9)))
        self.folder.files[name][: len(head)] = head
        self.assertTrue(self.doubtful())
        again = store(Fake(self.folder.files), limit=30_000)
        for number in list(again.messages):
            again.finish(number)
        for _ in range(300):
            again.step()
        self.assertIn(name, self.folder.files)

    def test_at_random_never_a_forgotten_attempt_and_never_an_exception(self) -> None:
        whole = {name: bytes(data) for name, data in self.folder.files.items()}
        for seed in range(300):
            chance = random.Random(seed)
            files = {name: bytearray(data) for name, data in whole.items()}
            name = chance.choice(sorted(files))
            for _ in range(chance.randint(1, 4)):
                files[name][chance.randrange(len(files[name]))] = chance.randrange(256)
            if chance.random() < 0.2:
                del files[chance.choice(sorted(files))]
            made = store(Fake(files), limit=1_000_000)
            made.segment_index.check_consistency()
            for each in made.messages.values():
                each.earlier_attempts()


class FirstFormatTest(unittest.TestCase):
    """Folders of the version before: one file, rewritten whole."""

    def old_file(self) -> bytearray:
        parts = [legacy_format.FINISHED_BODY.pack(legacy_format.SNAPSHOT, 0)]
        for number in (1, 2, 3, 4):
            texts = [b"id-%d" % number, b"", b"band", b""]
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

    def check(self, made: Store) -> None:
        self.assertEqual(sorted(made.messages), [1, 2, 3])
        self.assertEqual(
            (
                made.messages[1].in_flight_since,
                made.messages[2].attempts,
                made.messages[2].may_have_run_at,
                made.messages[3].final_answer,
            ),
            (50, 1, 0, (True, 250)),
        )
        self.assertEqual((made.read_body(1), made.restarted), (b"body", True))

    def test_they_are_taken_over_and_gone(self) -> None:
        folder = Fake({"00000005.log": self.old_file()})
        self.check(store(folder))
        self.assertNotIn("00000005.log", folder.files)
        self.check(store(Fake(folder.files)))

    def test_a_crash_at_any_point_of_that_loses_nothing(self) -> None:
        for crash_at in range(1, 30):
            folder = Fake({"00000005.log": self.old_file()})
            folder.crash_at = crash_at
            try:
                store(folder)
            except Crash:
                pass
            self.check(store(Fake(folder.files)))

    def test_an_old_file_that_cannot_be_deleted_does_not_come_back(self) -> None:
        folder = Fake({"00000005.log": self.old_file()})
        folder.failing = {"unlink"}
        made = store(folder)
        folder.failing = set()  # it is tried again only at the next start
        for number in (1, 2, 3):
            made.finish(number)
        for number in range(10, 200):
            made.add_message(kept(number))
            made.finish(number)
            made.step()
        self.assertEqual(dict(store(Fake(folder.files)).messages), {})


class RealFolderTest(unittest.TestCase):
    """The same on a real folder."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = folder.name

    def test_two_processes_never_hold_one_folder(self) -> None:
        made = store(Folder(self.path))
        with self.assertRaisesRegex(FolderInUseError, "in use by another process"):
            store(Folder(self.path))
        made.close()
        store(Folder(self.path)).close()

    def test_what_is_kept_comes_back_with_its_attempts_and_numbers_are_not_used_again(self) -> None:
        made = store(Folder(self.path))
        for number in (1, 2, 3, 4):
            made.add_message(StoredMessage(number, f"id-{number}", "k", 7, "band", "tenant", 3, 99, b"body"))
        made.record_attempt(1, 500, 2)
        made.record_outcome(1, Outcome.FULL)
        made.record_attempt(1, 900, 1)
        made.record_attempt(2, 500, 0)
        made.record_outcome(2, Outcome.COMPLETED)
        made.record_final_answer(3, True, 40)
        made.finish(4)
        made.close()
        again = store(Folder(self.path))
        back = again.messages[1]
        self.assertEqual(
            (
                back.id,
                back.key,
                back.order_key,
                back.priority_class,
                back.tenant,
                back.destination,
                back.deadline,
                again.read_body(1),
            ),
            ("id-1", "k", 7, "band", "tenant", 3, 99, b"body"),
        )
        self.assertEqual(
            [(attempt.sent_at, attempt.zone, attempt.outcome) for attempt in back.earlier_attempts()],
            [(900, 1, None), (0, 0, Outcome.MOOT)],
        )
        self.assertEqual(
            ({n: each.final_answer for n, each in again.messages.items()}, again.next_number),
            ({1: None, 3: (True, 40)}, 5),
        )
        again.close()

    def test_a_history_over_many_starts(self) -> None:
        chance = random.Random(3)
        made = store(Folder(self.path), limit=30_000)
        history = History(made, chance)
        for at in range(1500):
            history.step()
            if at % 300 == 299:
                made.close()
                made = store(Folder(self.path), limit=30_000)
                history.compare(self, made)
                history.store = made
        on_disk = sum(
            compaction_planner.round_up_to_blocks(os.stat(os.path.join(self.path, name)).st_size)
            for name in os.listdir(self.path)
        )
        self.assertEqual((made.used_bytes, made.used_bytes <= 30_000), (on_disk, True))
        made.close()


class CompactionPlanTest(unittest.TestCase):
    SIZES = compaction_planner.Sizes(limit=1_000_000, used=0, live=0, segment=31_250, largest_record=1000, header=100)

    def test_the_emptiest_goes_first_the_older_of_two_alike_and_none_that_gains_nothing(self) -> None:
        some = [
            compaction_planner.CompactionCandidate(1, 1000, 900),
            compaction_planner.CompactionCandidate(2, 1000, 300),
            compaction_planner.CompactionCandidate(3, 2000, 600),
            compaction_planner.CompactionCandidate(4, 1000, 1000),
        ]
        self.assertEqual(compaction_planner.choose_victim(some, space_is_short=False), some[1])
        self.assertIsNone(compaction_planner.choose_victim(some[3:], space_is_short=True))

    def test_a_nearly_full_one_is_moved_only_where_room_is_short(self) -> None:
        full = [compaction_planner.CompactionCandidate(1, 1000, 960)]
        self.assertIsNone(compaction_planner.choose_victim(full, space_is_short=False))
        self.assertEqual(compaction_planner.choose_victim(full, space_is_short=True), full[0])

    def test_nothing_moves_while_there_is_room_and_more_the_less_there_is(self) -> None:
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
    def test_a_step_is_bounded(self, used: int, live: int, appended: int) -> None:
        step = compaction_planner.bytes_to_move(
            self.SIZES._replace(used=used), compaction_planner.CompactionCandidate(1, 31_250, live), appended
        )
        self.assertTrue(0 <= step <= compaction_planner.MAX_STEP_BYTES)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.integers(200_000, 1 << 34))
    def test_nine_tenths_of_a_large_folder_can_live_and_four_fifths_of_a_small_one(self, limit: int) -> None:
        sizes = compaction_planner.Sizes(limit, 0, 0, compaction_planner.segment_size(limit), 1100, 700)
        share = compaction_planner.free_message_bytes(sizes) / limit
        self.assertGreater(share, 0.9 if limit > 1 << 22 else 0.55 if limit < 1 << 20 else 0.8)


class RecordFoldingTest(unittest.TestCase):
    def test_a_attempt_without_an_outcome_before_another_may_have_run(self) -> None:
        made = kept(1)
        made.apply_attempt(50, 2)
        made.apply_attempt(90, 1)
        made.apply_outcome(never_ran=True)
        self.assertEqual(
            (made.attempts, made.may_have_run_at, made.may_have_run_zone, made.in_flight_since), (2, 50, 2, 0)
        )
        self.assertEqual(
            [(each.sent_at, each.outcome) for each in made.earlier_attempts()], [(50, None), (0, Outcome.MOOT)]
        )

    def test_the_first_that_may_have_run_counts_and_doubt_is_a_attempt_that_no_zone_can_repeat(self) -> None:
        made = kept(1)
        for at in (10, 20):
            made.apply_attempt(at, 0)
            made.apply_outcome(never_ran=False)
        made.records_lost_since = 5
        self.assertEqual([(each.sent_at, each.zone) for each in made.earlier_attempts()], [(5, -1), (10, 0)])


class CodecTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.lists(st.binary(min_size=1, max_size=60), max_size=8), st.integers(1, 200), st.binary(max_size=12))
    def test_records_are_found_in_any_pieces_and_past_any_noise(
        self, payloads: list[bytes], cut: int, noise: bytes
    ) -> None:
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
    def test_noise_is_never_a_record(self, noise: bytes) -> None:
        self.assertFalse([each for each in scan_frames(noise, 0, True) if isinstance(each, Frame)])


if __name__ == "__main__":
    unittest.main()
