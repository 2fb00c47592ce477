"""The lasting folder: what is owed, and what is known of its attempts, in segments that are compacted while they serve.

One greenlet calls it. Every call that returns has written its record; `step`, called between rounds, moves a
bounded number of bytes. `compaction_planner.py` says what and how much, `segments.py` knows what still matters where.
"""

import zlib
from collections import deque
from collections.abc import Callable

from loguru import logger

from cedarwick.decisions.interface import Outcome
from cedarwick.errors import CedarwickError, describe
from cedarwick.store import compaction_planner, legacy_format, records
from cedarwick.store.compaction_planner import BLOCK
from cedarwick.store.files import OLD_NAME, DiskError, Folder, numbers, quietly, segment_name
from cedarwick.store.records import (
    ATTEMPT,
    ATTEMPT_BODY,
    DROP,
    END,
    END_BODY,
    FRAME,
    OUTCOME,
    OUTCOME_BODY,
    OUTCOMES,
    OVER,
    OVER_BODY,
    Header,
    StoredMessage,
    framed,
)
from cedarwick.store.recovery import recover
from cedarwick.store.segments import Segment, SegmentIndex

BODIES = 1 << 26  # bytes of bodies that are held in memory, where nobody names a bound
GRAIN = 1 << 13  # bytes that come in before a step looks whether anything is to be done
LOOK_BACK = 64  # steps after which a segment that could not be moved is looked at again
NEW, SHORT, MOVE = "new", "short", "move"  # what a record is for: how much of the reserve it may use
FEW_LEFT = 64  # messages; with room for fewer the room is reckoned anew each time it is asked for
PRESSES = 16  # steps on the spot for one short record


class NoSpaceError(CedarwickError):
    """The folder has no room for a record, or the disk does not take it."""

    code = "CW202"
    remedy = "raise limits.disk_mb or free the disk; `cedarwick store verify` says what lives in the folder"


class BodyLostError(CedarwickError):
    """A body cannot be read back."""

    code = "CW203"
    remedy = "look at the disk; the message is answered without it, so tell its sender"


def growth(segment: Segment, size: int) -> int:
    """By how much a segment's blocks grow with so many bytes more."""
    return -(-(segment.physical + size) // BLOCK) * BLOCK - -(-segment.physical // BLOCK) * BLOCK


class Store:
    """Owns the folder."""

    def __init__(
        self,
        folder: Folder | str,
        disk_bytes: int,
        *,
        now: Callable[[], int],
        durable: bool = False,
        bodies: int = BODIES,
        segment: int = 0,
        step: int = compaction_planner.STEP,
    ) -> None:
        """`now` tells wall time in microseconds; `segment` and `step` are bytes, chosen by the limit if 0."""
        self.folder = Folder(folder) if isinstance(folder, str) else folder
        self.now = now
        self.durable = durable
        self.by_copy = False  # ends are told only once other senders know of them
        self.awaited = durable  # whether what is answered waits for `flush`
        self.bodies = bodies
        self.wanted_segment = segment
        self.most_step = step
        self.segment_index = SegmentIndex()
        self.active: Segment | None = None
        self.file = -1
        self.next_number = 1
        self.last_segment = 0
        self.old_until = 0
        self.inert: dict[int, tuple[int, str]] = {}  # messages on the move between senders: nobody fires for them
        self.restarted = False  # whether the folder held anything at the start
        self.damaged = False  # whether a part of that could not be read
        self.used = 0  # bytes of all files, in whole blocks
        self.appended = 0  # bytes since the last step, moves left out
        self.victim: Segment | None = None
        self.todo: list[int] = []
        self.stuck: dict[int, int] = {}  # segments that cannot be moved now: until which step
        self.steps = 0
        self.owing: deque[tuple[bytes, Callable[[Segment], None]]] = deque()  # short records without room so far
        self.condemned: list[tuple[str, int]] = []  # files that are dropped and not deleted yet, and their blocks
        self.unsynced: set[int] = set()  # files with bytes that no fsync has followed
        self.held: deque[int] = deque()  # messages whose bodies are in memory, the oldest first
        self.held_bytes = 0
        self.moved_bytes = 0
        self.written_bytes = 0
        self.presses = 0
        self.pressed = 0  # of these, since the last step
        self.set_limit(disk_bytes)

    @property
    def messages(self) -> dict[int, StoredMessage]:
        """Everything that is owed, by number."""
        return self.segment_index.messages

    def set_limit(self, disk_bytes: int) -> None:
        """Bytes that all files may take; it may be lowered below what is in use, which then shrinks."""
        self.limit = disk_bytes
        self.floor, self.spare = 1 << 62, -1  # what must stay free, and what new messages may take: to be reckoned
        self.segment_size = self.wanted_segment or compaction_planner.segment_size(disk_bytes)

    # ---- at the start ----

    def load(self) -> None:
        """Hold the folder, read what is owed, and go on.

        `InUse`, `NoSpaceError` and OSError where that is impossible.
        """
        self.folder.claim()
        found = recover(self.folder, logger.error)
        self.segment_index, self.next_number, self.old_until = found.segment_index, found.next_message, found.old_until
        self.last_segment = found.last
        leftover = [name for name in found.leftover if not quietly(self.folder.unlink, name)]
        taken_over, next_number, files = legacy_format.read(self.folder, self.old_until)
        self.restarted = bool(self.segment_index.segments or files)
        self.next_number = max(self.next_number, next_number)
        self._count()
        self.condemned = [(name, compaction_planner.blocks(self.folder.size(name))) for name in leftover]
        self._go_on(found.tail)
        if files:
            logger.info("a folder of the first format is taken over: {} messages", len(taken_over))
            for stored in taken_over.values():
                if stored.number not in self.messages:
                    self._base(stored, stored.body or b"", MOVE)
            self.old_until = max(files)
            self._roll()  # its header says that the old files are done with
        for number in numbers(self.folder.names(), OLD_NAME):
            if number <= self.old_until:
                quietly(self.folder.unlink, f"{number:08d}.log")
                self._count()
        self.damaged = found.damaged
        if found.damaged:
            for stored in list(self.messages.values()):
                # Danger: a damaged segment goes some day, and the doubt must not go with it.
                self._note(stored, records.state(stored), MOVE)
        for stored in self.messages.values():
            if stored.body is not None:
                self._hold(stored)

    def _count(self) -> None:
        """What is on the disk, by looking."""
        self.used = sum(compaction_planner.blocks(self.folder.size(name)) for name in self.folder.names())

    def _go_on(self, tail: int) -> None:
        """Append to the newest segment, cut off behind its last good record, or to a new one."""
        newest = self.segment_index.segments.get(max(self.segment_index.segments, default=0))
        if newest is not None and 0 < tail < self.segment_size and not newest.foreign:
            try:
                file = self.folder.open(segment_name(newest.number), append=True)
                self.folder.truncate(file, tail)
                self.used += compaction_planner.blocks(tail) - compaction_planner.blocks(newest.physical)
                newest.size = newest.physical = tail
                self.active, self.file = newest, file
                return
            except OSError as error:
                logger.error(DiskError(f"{segment_name(newest.number)} cannot be gone on with: {error}").line)
        try:
            self._roll()
        except NoSpaceError as error:
            # Danger: a sender that does not start for want of room could never end what fills the folder.
            logger.error("the folder takes no records so far: {}", error.line)

    # ---- in service ----

    def sizes(self) -> compaction_planner.Sizes:
        """How the folder stands, for the planner."""
        head = FRAME.size + records.HEADER_BODY.size + records.HEADER_LINE.size * (len(self.segment_index.segments) + 1)
        return compaction_planner.Sizes(
            self.limit,
            self.used,
            self.segment_index.live,
            self.segment_size,
            self.segment_index.largest,
            head,
            self.segment_index.promised(),
        )

    def weighed(self, stored: StoredMessage) -> int:
        """The bytes that a message takes."""
        texts = len(stored.id) + len(stored.key) + len(stored.priority_class) + len(stored.tenant)
        body = len(stored.body) if stored.body is not None else stored.size
        return FRAME.size + records.MESSAGE_BODY.size + records.STATE_BODY.size + texts + body + records.OF_STATE

    def has_room(self, stored: StoredMessage) -> bool:
        """Whether a new message can be taken."""
        return self.fits(stored)

    def fits(self, stored: StoredMessage) -> bool:
        """Whether a message can be kept, with room for the short records that it will need."""
        weighed = self.weighed(stored)
        if weighed > self.spare:
            self._look()
        return weighed <= self.spare and not self.owing

    def _look(self) -> None:
        """Reckon anew what room there is; in between it is only ever taken to be less than it is."""
        sizes = self.sizes()
        self.floor, self.spare = compaction_planner.reserve(sizes), compaction_planner.room(sizes)

    def room_for(self) -> int:
        """How many more messages like those that are kept the folder has room for; reckoned anew where few."""
        mean = max(
            (self.segment_index.live + self.segment_index.promised()) // max(1, len(self.messages)) + 1,
            records.OF_STATE,
        )
        if self.spare < FEW_LEFT * mean:
            self._look()
        return max(0, self.spare) // mean

    def keep(self, stored: StoredMessage) -> None:
        """Write the record of a taken message; `NoSpaceError` where there is none for it."""
        body = stored.body or b""
        stored.size, stored.checksum = len(body), zlib.crc32(body)
        if not self.fits(stored):
            raise NoSpaceError("too much is kept")
        self._base(stored, body, NEW)
        self.spare -= self.weighed(stored)
        self._hold(stored)

    def attempt(self, number: int, sent_at: int, zone: int) -> None:
        """An attempt is about to go out; `NoSpaceError` where that cannot be recorded, so that it must not."""
        stored = self.messages[number]
        self._note(stored, ATTEMPT_BODY.pack(ATTEMPT, number, sent_at, zone), SHORT)
        stored.attempt(sent_at, zone)

    def outcome(self, number: int, outcome: Outcome) -> None:
        """The recorded attempt that was out has ended; a completed one ends its message."""
        stored = self.messages.get(number)
        if stored is None or not stored.out_at:
            return
        if outcome is Outcome.COMPLETED:
            self.over(number)
            return
        stored.outcome(outcome.never_ran)
        self._owe(OUTCOME_BODY.pack(OUTCOME, number, OUTCOMES.index(outcome)), self._noting(stored))

    def may_have_run(self, number: int, at: int, zone: int) -> None:
        """Another sender has told of an attempt that may have run, before all that are known here."""
        stored = self.messages[number]
        stored.ran_at, stored.ran_zone = at, zone
        self._owe(records.state(stored), self._noting(stored))

    def ended(self, number: int, nacked: bool, wait_ms: int) -> None:
        """The final answer has been chosen; its notice is owed, its body is not needed any more."""
        stored = self.messages.get(number)
        if stored is not None:
            stored.end = (nacked, wait_ms)
            self._let_go(stored)
            self._owe(END_BODY.pack(END, number, nacked, wait_ms), self._noting(stored))

    def over(self, number: int) -> None:
        """Nothing more is owed."""
        stored = self.messages.get(number)
        if stored is not None:
            self._let_go(stored)
            holders = self.segment_index.over(stored)
            self._owe(OVER_BODY.pack(OVER, number), lambda segment: self.segment_index.buried(number, holders, segment))

    def deciding(self) -> bool:
        """Whether this sender may answer for what it holds: always, where no other sender has a say."""
        return True

    def taking(self) -> bool:
        """Whether new messages may be taken at all: always, where no other sender has a say."""
        return True

    def may_fire(self, number: int) -> bool:
        """Whether an attempt of this message may begin now: always, where no other sender has a say."""
        return True

    def body(self, number: int) -> bytes:
        """The body of a message, from memory or from the folder; `BodyLostError` where it cannot be read."""
        stored = self.messages[number]
        return stored.body if stored.body is not None else self._read_body(stored)

    def flush(self, call: Callable[..., object] | None = None) -> None:
        """With `durable`, bring everything written so far to the disk; OSError where that fails.

        `call` runs a blocking function where it holds nobody up.
        """
        for file in list(self.unsynced):
            if call is None:
                self.folder.sync(file)
            else:
                call(self.folder.sync, file)
            self.unsynced.discard(file)
        if self.durable:
            self._delete_condemned()

    def close(self) -> None:
        """Let the folder go."""
        for segment in self.segment_index.segments.values():
            if segment.file >= 0:
                self.folder.close(segment.file)
                segment.file = -1
        if self.file >= 0:
            self.folder.close(self.file)
            self.file = -1
        self.folder.release()

    # ---- bodies ----

    def _hold(self, stored: StoredMessage) -> None:
        """Bodies stay in memory up to the bound; beyond it those that came first lie in the folder only."""
        self.held.append(stored.number)
        self.held_bytes += stored.size
        while self.held_bytes > self.bodies and self.held:
            oldest = self.messages.get(self.held.popleft())
            if oldest is not None and oldest.body is not None:
                self._let_go(oldest)
        # Danger: those that have ended would add up; looking through all of them at once would hold up a round.
        while self.held and (self.held[0] not in self.messages or self.messages[self.held[0]].body is None):
            self.held.popleft()
        if len(self.held) > 64 + 2 * len(self.messages):
            for _ in range(64):
                number = self.held.popleft()
                if number in self.messages and self.messages[number].body is not None:
                    self.held.append(number)

    def _let_go(self, stored: StoredMessage) -> None:
        if stored.body is not None:
            stored.body = None
            self.held_bytes -= stored.size

    def _read_body(self, stored: StoredMessage) -> bytes:
        if not stored.size:
            return b""
        segment = self.segment_index.segments[stored.home]
        try:
            if segment.file < 0:
                segment.file = self.folder.open(segment_name(segment.number), append=False)
            body = self.folder.read(segment.file, stored.size, stored.at)
        except OSError as error:
            raise BodyLostError(f"{segment_name(stored.home)} at {stored.at}: {error}") from None
        if zlib.crc32(body) != stored.checksum:
            raise BodyLostError(f"{segment_name(stored.home)} at {stored.at}: the body's checksum is wrong")
        return body

    # ---- records ----

    def _base(self, stored: StoredMessage, body: bytes, use: str) -> int:
        """Write all that is known of a message; how many bytes that took."""
        payload, at = records.message(stored, body)
        segment, begin = self._append(payload, use)
        stored.size = len(body)
        self.segment_index.based(stored, segment, begin + FRAME.size + at, FRAME.size + len(payload))
        return FRAME.size + len(payload)

    def _note(self, stored: StoredMessage, payload: bytes, use: str) -> int:
        segment, _ = self._append(payload, use)
        self.segment_index.noted(stored, segment, whole=payload[0] == records.STATE)
        return FRAME.size + len(payload)

    def _noting(self, stored: StoredMessage) -> Callable[[Segment], None]:
        def then(segment: Segment) -> None:
            if stored.number in self.messages:
                self.segment_index.noted(stored, segment)

        return then

    def _owe(self, payload: bytes, then: Callable[[Segment], None]) -> None:
        """A short record that must come: without room for it now it is written as soon as there is some."""
        if self.owing:
            self.owing.append((payload, then))
            self._write_owing()
            return
        try:
            segment, _ = self._append(payload, SHORT)
        except NoSpaceError:
            self.owing.append((payload, then))
            raise
        then(segment)

    def _write_owing(self) -> None:
        while self.owing:
            payload, then = self.owing[0]
            segment, _ = self._append(payload, SHORT, owed=True)
            then(segment)
            self.owing.popleft()

    def _append(self, payload: bytes, use: str, owed: bool = False) -> tuple[Segment, int]:
        """Write one record; its segment, and where its frame begins there."""
        if self.owing and not owed and use != MOVE:
            self._write_owing()  # Danger: of two records on one message the later must not come first
        record = framed(payload)
        active = self.active
        if active is None or active.size + len(record) > self.segment_size and active.size > active.head:
            active = self._rolled(active)
        grows = growth(active, len(record))
        if use != MOVE and self.limit - self.used - grows < self.floor:
            self._find_room(grows, use)
            active = self.active or active  # another one, where that has filled this one up
            grows = growth(active, len(record))
        try:
            written = self.folder.append(self.file, record)
        except OSError as error:
            raise NoSpaceError(str(error)) from None
        if written < len(record):
            self._undo(active, written)
            raise NoSpaceError("a record was cut short")
        begin = active.size
        active.physical += len(record)
        active.size = active.physical
        self.used += grows
        self.written_bytes += len(record)
        if use == MOVE:
            self.moved_bytes += len(record)
        else:
            self.appended += len(record)
        if self.durable:
            self.unsynced.add(self.file)
        return active, begin

    def _undo(self, active: Segment, written: int) -> None:
        """A record was cut short: it is cut off, or else nothing more is written behind it."""
        # Danger: all that follows a torn record would be taken for damage at the next start.
        try:
            self.folder.truncate(self.file, active.size)
        except OSError as error:
            logger.error(DiskError(f"{segment_name(active.number)}: a torn record stays: {error}").line)
            self._grow(active, written)
            self.active = None
            quietly(self.folder.close, self.file)
            self.unsynced.discard(self.file)
            self.file = -1

    def _grow(self, segment: Segment, size: int) -> None:
        self.used += growth(segment, size)
        segment.physical += size

    def _find_room(self, grows: int, use: str) -> None:
        """Compact on the spot where a record does not fit; `NoSpaceError` where that is not enough."""
        floor = compaction_planner.reserve(self.sizes()) - (0 if use == NEW else compaction_planner.SLACK)
        turns = 0 if use == SHORT else self.pressed
        while grows and self.limit - self.used - grows < floor:
            turns += 1
            self.presses += 1
            self.pressed += 1
            # Danger: each new message of a round would compact on its own account, and the round would stand still.
            if turns > (PRESSES if use == SHORT else 1) or not self._work(self.most_step, short=True):
                if use == SHORT and self.limit - self.used - grows >= 0:
                    return  # the reserve is for this
                raise NoSpaceError("the folder is full")

    # ---- segments ----

    def _rolled(self, active: Segment | None) -> Segment:
        """A new segment to append to; the old one where there is no room for another."""
        try:
            self._roll()
        except NoSpaceError:
            if active is None or self.file < 0:
                raise
        assert self.active is not None
        return self.active

    def _roll(self) -> None:
        """Seal the active segment and begin another; `NoSpaceError` where that cannot be written."""
        number = self.last_segment + 1
        others = {each.number: each.size for each in self.segment_index.segments.values()}
        made = Header(records.VERSION, number, self.now(), self.next_number, self.old_until, others)
        record = framed(records.header(made))
        name = segment_name(number)
        file = -1
        try:
            file = self.folder.create(name)
            written = self.folder.append(file, record)
            if written < len(record):
                raise OSError("a header was cut short")
        except OSError as error:
            if file >= 0:
                quietly(self.folder.close, file)
                if not quietly(self.folder.unlink, name):
                    self.condemned.append((name, compaction_planner.BLOCK))
                    self.used += compaction_planner.BLOCK
                    self.last_segment = number
            raise NoSpaceError(f"a new segment: {error}") from None
        if self.file >= 0:
            if self.file in self.unsynced:
                quietly(self.folder.sync, self.file)  # Danger: once closed, nobody can sync it
                self.unsynced.discard(self.file)
            quietly(self.folder.close, self.file)
        self.file, self.last_segment = file, number
        self.active = Segment(number, made.made_at, size=len(record), head=len(record))
        self.segment_index.add(self.active)
        self._grow(self.active, len(record))
        self.written_bytes += len(record)
        if self.durable:
            self.unsynced.add(file)

    def step(self) -> None:
        """Between two rounds: move a bounded number of bytes, as many as the planner says."""
        self.pressed = 0
        if self.appended < min(GRAIN, self.segment_size // 8) and not self.owing and not self.condemned:
            return
        self.steps += 1
        appended, self.appended = self.appended, 0
        self._look()
        if self.condemned and not self.durable:
            self._delete_condemned()
        try:
            self._write_owing()
        except NoSpaceError:
            pass
        victim = self._choose(short=False)
        if victim is None:
            return
        size = compaction_planner.CompactionCandidate(victim.number, victim.physical, victim.live)
        wanted = compaction_planner.pace(self.sizes(), size, appended)
        if wanted or victim.done:
            self._work(min(wanted, self.most_step), short=False)

    def _choose(self, short: bool) -> Segment | None:
        """The segment to move next; the one under way first."""
        if self.victim is not None:
            return self.victim
        self.stuck = {number: until for number, until in self.stuck.items() if until > self.steps}
        candidates = (
            compaction_planner.CompactionCandidate(each.number, each.physical, each.live)
            for each in self.segment_index.segments.values()
            if each is not self.active and not each.foreign and each.number not in self.stuck
        )
        best = compaction_planner.choose(candidates, short)
        if best is None:
            return None
        self.victim = self.segment_index.segments[best.number]
        self.todo = self.segment_index.walk(self.victim)
        return self.victim

    def _work(self, budget: int, short: bool) -> bool:
        """Move so many bytes of what lives in the segment under way; whether anything came of it."""
        victim = self._choose(short)
        if victim is None:
            return False
        moved = 0
        try:
            while self.todo and moved <= budget:
                moved += self._move(victim, self.todo[-1])
                self.todo.pop()
            while victim.strange and moved <= budget and not self.todo:
                moved += self._move_strange(victim)
            if not self.todo and not victim.strange:
                self._finish(victim)
        except (NoSpaceError, BodyLostError, OSError) as error:
            logger.error("{} cannot be compacted now: {}", segment_name(victim.number), describe(error))
            self._leave(victim)
            return False
        return True

    def _leave(self, victim: Segment) -> None:
        self.stuck[victim.number] = self.steps + LOOK_BACK
        self.victim, self.todo = None, []

    def _move(self, victim: Segment, number: int) -> int:
        """Write anew what a segment holds of a message; the bytes that took."""
        stored = self.messages.get(number)
        if stored is not None and stored.home == victim.number:
            if stored.end is not None:
                stored.checksum = 0
                return self._base(stored, b"", MOVE)  # nobody needs the body of what has ended
            body = stored.body if stored.body is not None else self._read_body(stored)
            return self._base(stored, body, MOVE)
        if stored is not None and victim.number in stored.noted:
            return self._note(stored, records.state(stored), MOVE)
        if number in victim.tombs:
            segment, _ = self._append(OVER_BODY.pack(OVER, number), MOVE)
            self.segment_index.reburied(number, segment)
            return records.OF_OVER
        return 0

    def _move_strange(self, victim: Segment) -> int:
        at, size = victim.strange[-1]
        if victim.file < 0:
            victim.file = self.folder.open(segment_name(victim.number), append=False)
        payload = self.folder.read(victim.file, size, at)
        segment, begin = self._append(payload, MOVE)
        self.segment_index.strange(segment, begin + FRAME.size, size)
        victim.strange.pop()
        victim.strange_bytes -= size
        self.segment_index.live -= size
        return size

    def _finish(self, victim: Segment) -> None:
        """Nothing in a segment matters any more: record that, and delete its file."""
        if not victim.done:  # something joined while it was under way, which only a failure brings
            self.todo = self.segment_index.walk(victim)
            if not self.todo:
                self._leave(victim)
            return
        self._append(OVER_BODY.pack(DROP, victim.number), MOVE)
        self.victim, self.todo = None, []
        if victim.file >= 0:
            quietly(self.folder.close, victim.file)
            victim.file = -1
        self.segment_index.dropped(victim)
        self.condemned.append((segment_name(victim.number), compaction_planner.blocks(victim.physical)))
        # Danger: deleted before its moved records are on the disk, a power cut would lose them.
        if not self.durable:
            self._delete_condemned()

    def _delete_condemned(self) -> None:
        left = []
        for name, size in self.condemned:
            try:
                self.folder.unlink(name)
                self.used -= size
            except FileNotFoundError:
                self.used -= size
            except OSError as error:
                logger.error(DiskError(f"{name} cannot be deleted: {error}").line)
                left.append((name, size))
        self.condemned = left
