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
from cedarwick.fleet.messages import SuspensionMarks as Told
from cedarwick.fleet.suspensions import LONGEST, MOST_CALLS, SuspensionTable, newer
from cedarwick.net.attempts import AttemptCall, AttemptResult
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.endpoint_list import EndpointList
from cedarwick.ops import saved_state as files
from cedarwick.ops.management import ManagementCommands

TURN = 250_000  # microseconds between two peer messages of a kind to one member
AGAIN = 5_000_000  # microseconds between two peer messages without changes
ANSWER_IN = 0.4  # seconds until a call is given up
RETRY = 10_000_000  # microseconds between two attempts to write what could not be written
SAVE = 3_600_000_000  # microseconds: how far behind the file may be on when a member was met last
SHORTEST = 300_000  # microseconds: a wait that is over sooner is not sent
SAME = 50_000  # microseconds: an end that is only so much later than the one sent is not sent again
MOST_HINTS = 64  # waits in a hint, at most: the newest


class NotSharedError(CedarwickError):
    """Receivers are out by hand here, and the other members cannot be told of all of them."""

    code = "CW745"
    remedy = "restore some, or suspend at each member those with a uid over 128 characters or not in ASCII"


class MarksNotSavedError(CedarwickError):
    """The versions of what is out by hand cannot be written; the members go on with what they hold in memory."""

    code = "CW746"
    remedy = "free the disk that holds $RELAY_STATE before this sender is restarted"


def wall() -> int:
    """Wall clock microseconds. The sender's own clock stops while the machine sleeps; later marks would look older."""
    return time.time_ns() // 1000


class Gossip:
    """Sends and answers the gossip of one member. Nothing is sent or merged before `attach`."""

    def __init__(
        self,
        name: str,
        lasting: FleetFiles,
        clock: Clock,
        counters: Counters,
        call: Callable[[str, Body, float], Body | None],
    ) -> None:
        self.name = name
        self.lasting = lasting
        self.clock = clock
        self.counters = counters
        self.call = call
        self.attached = False
        self.marks = SuspensionTable(name)
        self.unwritten = False  # suspended.json says less than this process knows
        self.saved_at = 0
        self.lacks: dict[str, set[str]] = {}  # by member: uids whose rows it lacks
        self.next_at: dict[str, int] = {}  # by member: when it is written to where nothing is new
        self.agreed: dict[str, int] = {}  # by member: the digest at the last peer message
        self.talking: set[str] = set()
        self.sleepers: set[str] = set()  # members that may have missed something, too
        self.turn_at = 0
        self.hint_at = 0
        self.waits: dict[int, int] = {}  # by receiver: ends of waits to be sent, the newest last
        self.hinted: dict[int, int] = {}  # by receiver: the end that was sent
        self.staff: ManagementCommands
        self.endpoint_list: EndpointList
        self.dispatcher: Dispatcher

    def attach(self, staff: ManagementCommands, endpoint_list: EndpointList, dispatcher: Dispatcher) -> None:
        """Load the saved marks, and listen to operators' commands and attempts; once this process owns the folder."""
        self.staff, self.endpoint_list, self.dispatcher = staff, endpoint_list, dispatcher
        staff.changed = self._changed
        dispatcher.attempts.report_retry_after, dispatcher.attempts.report_result = self._heeded, self._ended
        now, saved = wall(), self._file()
        try:
            self.marks = SuspensionTable(self.name, self.lasting.marks())
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
        if self.waits and now >= self.hint_at and (waits := self._hints()):
            self.hint_at = now + TURN
            for name in others:
                gevent.spawn(self.call, name, RetryAfterHint(waits), ANSWER_IN)
        if not self.attached or now < self.turn_at:
            return
        self.turn_at = now + TURN
        self.marks.turn(wall())
        if self.marks.asleep and len(self.sleepers) + 1 >= majority:
            self.marks.awake(wall())
            self._write()
        if self.unwritten and wall() - self.saved_at > RETRY:
            self._keep()
        digest = self.marks.digest()
        for name in others:
            due = self.agreed.get(name) != digest or self.lacks.get(name) or now >= self.next_at.get(name, 0)
            if due and name not in self.talking:
                self.talking.add(name)
                gevent.spawn(self._talk, now, name)

    def heard(self, sender: str, body: Told | RetryAfterHint) -> Body:
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
        self.marks.turn(wall())
        self._take(sender, lambda now: self.marks.merge(now, body.rows))
        mine = self.marks.digest()
        return Told(mine, () if body.digest == mine else self.marks.offered(), self.marks.whole())

    # ---- receivers taken out by hand ----

    def _changed(self, uid: str, calls: int) -> None:
        """Note an operator's command at this member and send it to the others."""
        self.marks.turn(wall())
        self.marks.set(wall(), uid, calls)
        self._spread([uid])
        self._keep()
        self.turn_at = 0

    def _talk(self, now: int, name: str) -> None:
        try:
            self._say(now, name)
        finally:
            self.talking.discard(name)

    def _say(self, now: int, name: str) -> None:
        sent = {row.uid: row for row in self.marks.offered() if row.uid in self.lacks.get(name, ())}
        all_sent, digest = self.marks.offered(), self.marks.digest()
        answer = self.call(name, Told(digest, tuple(sent.values())), ANSWER_IN)
        if not isinstance(answer, Told):
            self.next_at[name] = now + TURN
            return
        theirs = all_sent if answer.digest == digest else answer.rows
        self.marks.turn(wall())
        if answer.whole:
            self.sleepers.discard(name)
            self._take(name, lambda at: self.marks.met(at, theirs))
        else:
            self.sleepers.add(name)
            self._take(name, lambda at: self.marks.merge(at, theirs))
        have = {row.uid: row for row in theirs}
        missing = {row.uid for row in self.marks.offered() if row.uid not in have or newer(row, have[row.uid])}
        # Rows that the other does not take are not sent again: otherwise four times a second for ever.
        refused = {uid for uid in missing if sent.get(uid) == self.marks.rows[uid]}
        self.lacks[name] = missing - refused
        self.agreed[name] = self.marks.digest()
        self.next_at[name] = now + AGAIN

    def _take(self, sender: str, joined: Callable[[int], list[str]]) -> None:
        """Merge rows of another member, and suspend or restore receivers accordingly."""
        now, met_at = wall(), self.marks.met_at
        saved = None if self.unwritten else self._file()
        if saved is not None:
            # The process that replaces this one may have changed the file; writing ours would undo that.
            self._spread(self.marks.noticed(now, saved))
        changed = joined(now)
        self._spread(changed, but=sender)
        for uid in changed:
            logger.info("{} {}, reported by {}", uid, "suspended" if uid in self.marks.calls() else "restored", sender)
        if changed or (saved is not None and saved != self.marks.calls()):
            self._keep()
        elif met_at != self.marks.met_at and now - self.saved_at > SAVE:
            self._write()

    def _spread(self, uids: Iterable[str], but: str = "") -> None:
        for name, lacks in self.lacks.items():
            if name != but:
                lacks.update(uids)

    def _file(self) -> dict[str, int] | None:
        """The contents of suspended.json; None if it is missing or unreadable."""
        if not os.path.exists(os.path.join(self.staff.folder, files.SUSPENDED)):
            return None
        try:
            return {uid: min(calls, MOST_CALLS) for uid, calls in files.read(self.staff.folder).items() if calls > 0}
        except files.UnreadableFileError as error:
            self.counters.warning("the receivers taken out by hand cannot be read", error)
            return None

    def _keep(self) -> None:
        """Suspend what the marks say, and write suspended.json, then the marks."""
        calls = self.marks.calls()
        # The file before the marks: after a crash between the two, what it lacked would pass for restored by hand.
        if calls != (self._file() or {}) or calls.keys() != self.endpoint_list.suspended:
            self.unwritten = not self.staff.keep(calls)
        self._write()
        if count := self.marks.unshared():
            self.counters.warning(
                "receivers out by hand that the other members are not told of",
                NotSharedError(f"{count} of {len(calls)}, at most {LONGEST} characters of ASCII each"),
            )

    def _write(self) -> None:
        self.saved_at = wall()
        try:
            self.lasting.write_marks(self.marks.saved())
        except OSError as error:
            self.counters.warning("the fleet's marks are not kept", MarksNotSavedError(str(error)))

    # ---- Retry-After waits ----

    def _heeded(self, waits: list[tuple[int, int]]) -> None:
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
            if until > max(self.waits.get(receiver, 0), self.hinted.get(receiver, 0) + SAME):
                self.waits.pop(receiver, None)
                self.waits[receiver] = until
        while len(self.waits) > MOST_HINTS:
            del self.waits[next(iter(self.waits))]

    def _hints(self) -> tuple[RetryAfterEntry, ...]:
        """The waits that are to be sent now."""
        now = self.clock.now()
        self.hinted = {receiver: until for receiver, until in self.hinted.items() if until > now}
        waits, self.waits = self.waits, {}
        if not waits:
            return ()
        uids = {number: uid for uid, number in self.endpoint_list.numbers.items() if number in waits}
        found = [
            RetryAfterEntry(uids[receiver], until - now)
            for receiver, until in waits.items()
            if until - now > SHORTEST and receiver in uids and len(uids[receiver]) <= LONGEST
        ]
        self.hinted.update(waits)
        return tuple(found)
