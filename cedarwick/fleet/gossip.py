"""Gossip between members, apart from partitions: receivers suspended by hand, and Retry-After waits.

Suspension marks (`suspensions.py`) go at once to each member that lacks them, and digests every few seconds, so that
members that were cut off, or are new, converge to the same map. A hint of Retry-After waits is sent once and may be
lost: it only makes a sender more careful, and ends with the wait.
"""

import os
import time
from collections.abc import Callable, Iterable

import gevent
from loguru import logger

from cedarwick.errors import CedarwickError
from cedarwick.fleet.fleet_files import CorruptFleetFileError, FleetFiles
from cedarwick.fleet.messages import Acknowledged, Body, RetryAfterEntry, RetryAfterHint
from cedarwick.fleet.messages import SuspensionMarks as SuspensionMarksMessage
from cedarwick.fleet.suspensions import LONGEST, MOST_CALLS, SuspensionTable, newer
from cedarwick.net.attempts import AttemptCall, AttemptResult
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.endpoint_list import EndpointList
from cedarwick.ops import saved_state as files
from cedarwick.ops.management import ManagementCommands

TURN_US = 250_000  # between two peer messages of a kind to one member
REPEAT_US = 5_000_000  # between two peer messages without changes
CALL_TIMEOUT_S = 0.4  # until a call is given up
SAVE_RETRY_US = 10_000_000  # between two attempts to write what could not be written
SAVE_INTERVAL_US = 3_600_000_000  # how far behind the file may be on when a member was met last
SHORTEST_HINT_US = 300_000  # a wait that is over sooner is not sent
SAME_END_US = 50_000  # an end that is only so much later than the one sent is not sent again
MAX_HINTS = 64  # waits in one hint: the newest


class NotSharedError(CedarwickError):
    """Receivers are out by hand here, and the other members cannot be told of all of them."""

    code = "CW745"
    remedy = "restore some, or suspend at each member those with a uid over 128 characters or not in ASCII"


class MarksNotSavedError(CedarwickError):
    """The versions of what is out by hand cannot be written; the members go on with what they hold in memory."""

    code = "CW746"
    remedy = "free the disk that holds $RELAY_STATE before this sender is restarted"


def wall_time() -> int:
    """Wall clock microseconds. The sender's own clock stops while the machine sleeps; later marks would look older."""
    return time.time_ns() // 1000


class Gossip:
    """Sends and answers the gossip of one member. Nothing is sent or merged before `attach`."""

    def __init__(
        self,
        name: str,
        fleet_files: FleetFiles,
        clock: Clock,
        counters: Counters,
        call: Callable[[str, Body, float], Body | None],
    ) -> None:
        self.name = name
        self.fleet_files = fleet_files
        self.clock = clock
        self.counters = counters
        self.call = call
        self.attached = False
        self.marks = SuspensionTable(name)
        self.unsaved = False  # suspended.json says less than this process knows
        self.saved_at = 0
        self.missing_at: dict[str, set[str]] = {}  # by member: uids whose rows it lacks
        self.next_at: dict[str, int] = {}  # by member: when it is written to where nothing is new
        self.digests_sent: dict[str, int] = {}  # by member: the digest at the last peer message
        self.calls_in_progress: set[str] = set()
        self.out_of_date: set[str] = set()  # members that may have missed something, too
        self.next_turn_at = 0
        self.next_hint_at = 0
        self.waits: dict[int, int] = {}  # by receiver: ends of waits to be sent, the newest last
        self.hinted: dict[int, int] = {}  # by receiver: the end that was sent
        self.management: ManagementCommands
        self.endpoint_list: EndpointList
        self.dispatcher: Dispatcher

    def attach(self, management: ManagementCommands, endpoint_list: EndpointList, dispatcher: Dispatcher) -> None:
        """Load the saved marks, and listen to operators' commands and attempts; once this process owns the folder."""
        self.management, self.endpoint_list, self.dispatcher = management, endpoint_list, dispatcher
        management.changed = self._changed
        dispatcher.attempts.report_retry_after, dispatcher.attempts.report_result = self._apply_waits, self._ended
        now, saved = wall_time(), self._file()
        try:
            self.marks = SuspensionTable(self.name, self.fleet_files.read_suspension_marks())
        except CorruptFleetFileError as error:
            logger.error(error.line)
            self.marks.doubt(saved or {})
        self.marks.turn(now)
        if saved is not None:
            self.marks.noticed(now, saved)
        self.attached = True
        self._keep()

    # ---- called by the node ----

    def look(self, now: int, alive: Iterable[str], majority: int) -> None:
        """Send what is due. `now`: microseconds of the boot clock; `alive`: members; `majority`: of all members."""
        others = [name for name in alive if name != self.name]
        if self.waits and now >= self.next_hint_at and (waits := self._hints()):
            self.next_hint_at = now + TURN_US
            for name in others:
                gevent.spawn(self.call, name, RetryAfterHint(waits), CALL_TIMEOUT_S)
        if not self.attached or now < self.next_turn_at:
            return
        self.next_turn_at = now + TURN_US
        self.marks.turn(wall_time())
        if self.marks.asleep and len(self.out_of_date) + 1 >= majority:
            self.marks.awake(wall_time())
            self._write()
        if self.unsaved and wall_time() - self.saved_at > SAVE_RETRY_US:
            self._keep()
        digest = self.marks.digest()
        for name in others:
            due = self.digests_sent.get(name) != digest or self.missing_at.get(name) or now >= self.next_at.get(name, 0)
            if due and name not in self.calls_in_progress:
                self.calls_in_progress.add(name)
                gevent.spawn(self._talk, now, name)

    def heard(self, sender: str, body: SuspensionMarksMessage | RetryAfterHint) -> Body:
        """The answer to another member's peer message."""
        if not self.attached:
            return Acknowledged()
        if isinstance(body, RetryAfterHint):
            now, numbers = self.clock.now(), self.endpoint_list.numbers
            self.dispatcher.apply_retry_after(
                [(numbers[each.uid], now + each.left) for each in body.waits if each.uid in numbers]
            )
            self.counters.add("hints heard")
            return Acknowledged()
        self.marks.turn(wall_time())
        self._take(sender, lambda now: self.marks.merge(now, body.rows))
        mine = self.marks.digest()
        return SuspensionMarksMessage(mine, () if body.digest == mine else self.marks.offered(), self.marks.whole())

    # ---- receivers taken out by hand ----

    def _changed(self, uid: str, calls: int) -> None:
        """Note an operator's command at this member and send it to the others."""
        self.marks.turn(wall_time())
        self.marks.set(wall_time(), uid, calls)
        self._spread([uid])
        self._keep()
        self.next_turn_at = 0

    def _talk(self, now: int, name: str) -> None:
        try:
            self._say(now, name)
        finally:
            self.calls_in_progress.discard(name)

    def _say(self, now: int, name: str) -> None:
        sent = {row.uid: row for row in self.marks.offered() if row.uid in self.missing_at.get(name, ())}
        all_sent, digest = self.marks.offered(), self.marks.digest()
        answer = self.call(name, SuspensionMarksMessage(digest, tuple(sent.values())), CALL_TIMEOUT_S)
        if not isinstance(answer, SuspensionMarksMessage):
            self.next_at[name] = now + TURN_US
            return
        theirs = all_sent if answer.digest == digest else answer.rows
        self.marks.turn(wall_time())
        if answer.whole:
            self.out_of_date.discard(name)
            self._take(name, lambda at: self.marks.met(at, theirs))
        else:
            self.out_of_date.add(name)
            self._take(name, lambda at: self.marks.merge(at, theirs))
        have = {row.uid: row for row in theirs}
        missing = {row.uid for row in self.marks.offered() if row.uid not in have or newer(row, have[row.uid])}
        # Rows that the other does not take are not sent again: otherwise four times a second for ever.
        refused = {uid for uid in missing if sent.get(uid) == self.marks.rows[uid]}
        self.missing_at[name] = missing - refused
        self.digests_sent[name] = self.marks.digest()
        self.next_at[name] = now + REPEAT_US

    def _take(self, sender: str, joined: Callable[[int], list[str]]) -> None:
        """Merge rows of another member, and suspend or restore receivers accordingly."""
        now, met_at = wall_time(), self.marks.met_at
        saved = None if self.unsaved else self._file()
        if saved is not None:
            # The process that replaces this one may have changed the file; writing ours would undo that.
            self._spread(self.marks.noticed(now, saved))
        changed = joined(now)
        self._spread(changed, but=sender)
        for uid in changed:
            logger.info("{} {}, reported by {}", uid, "suspended" if uid in self.marks.calls() else "restored", sender)
        if changed or (saved is not None and saved != self.marks.calls()):
            self._keep()
        elif met_at != self.marks.met_at and now - self.saved_at > SAVE_INTERVAL_US:
            self._write()

    def _spread(self, uids: Iterable[str], but: str = "") -> None:
        for name, lacks in self.missing_at.items():
            if name != but:
                lacks.update(uids)

    def _file(self) -> dict[str, int] | None:
        """The contents of suspended.json; None if it is missing or unreadable."""
        if not os.path.exists(os.path.join(self.management.folder, files.SUSPENDED)):
            return None
        try:
            return {
                uid: min(calls, MOST_CALLS) for uid, calls in files.read(self.management.folder).items() if calls > 0
            }
        except files.UnreadableFileError as error:
            self.counters.warning("the receivers taken out by hand cannot be read", error)
            return None

    def _keep(self) -> None:
        """Suspend what the marks say, and write suspended.json, then the marks."""
        calls = self.marks.calls()
        # The file before the marks: after a crash between the two, what it lacked would pass for restored by hand.
        if calls != (self._file() or {}) or calls.keys() != self.endpoint_list.suspended:
            self.unsaved = not self.management.keep(calls)
        self._write()
        if count := self.marks.unshared():
            self.counters.warning(
                "receivers out by hand that the other members are not told of",
                NotSharedError(f"{count} of {len(calls)}, at most {LONGEST} characters of ASCII each"),
            )

    def _write(self) -> None:
        self.saved_at = wall_time()
        try:
            self.fleet_files.write_suspension_marks(self.marks.saved())
        except OSError as error:
            self.counters.warning("the fleet's marks are not kept", MarksNotSavedError(str(error)))

    # ---- Retry-After waits ----

    def _apply_waits(self, waits: list[tuple[int, int]]) -> None:
        """A wait that is reported apart from its attempt's ending."""
        self.dispatcher.apply_retry_after(waits)
        self._learned(waits)

    def _ended(self, call: AttemptCall, ending: AttemptResult) -> None:
        self.dispatcher.attempt_ended(call, ending)
        if ending.retry_after:
            self._learned([(call.receiver, self.clock.now() + ending.retry_after)])

    def _learned(self, waits: list[tuple[int, int]]) -> None:
        """Receivers have asked this sender to wait; waits from other members' hints do not come here."""
        for receiver, until in waits:
            if until > max(self.waits.get(receiver, 0), self.hinted.get(receiver, 0) + SAME_END_US):
                self.waits.pop(receiver, None)
                self.waits[receiver] = until
        while len(self.waits) > MAX_HINTS:
            del self.waits[next(iter(self.waits))]

    def _hints(self) -> tuple[RetryAfterEntry, ...]:
        """The waits that are to be sent now."""
        now = self.clock.now()
        self.hinted = {receiver: until for receiver, until in self.hinted.items() if until > now}
        waits, self.waits = self.waits, {}
        if not waits:
            return ()
        uids = self.endpoint_list.uids
        found = [
            RetryAfterEntry(uids[receiver], until - now)
            for receiver, until in waits.items()
            if until - now > SHORTEST_HINT_US and receiver in uids and len(uids[receiver]) <= LONGEST
        ]
        self.hinted.update(waits)
        return tuple(found)
