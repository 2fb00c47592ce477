"""Gossip between members that does not concern partitions: suspended receivers and Retry-After waits.

Suspension rows (`suspensions.py`) are sent at once to each member that lacks them, and digests every few seconds, so
that members that were cut off or are new converge to the same map. A hint of Retry-After waits is sent once and may be
lost: it only makes a sender send less, and expires with the wait.
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
from cedarwick.fleet.suspensions import MAX_CALLS, MAX_UID_LENGTH, SuspensionTable, is_newer
from cedarwick.net.attempts import AttemptCall, AttemptResult
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.endpoint_list import EndpointList
from cedarwick.ops import saved_state as files
from cedarwick.ops.management import ManagementCommands
from cedarwick.ops.operator_state import OperatorStateBusyError

SEND_INTERVAL_US = 250_000  # between two peer messages of a kind to one member
DIGEST_INTERVAL_US = 5_000_000  # between two digests to a member while nothing changes
CALL_TIMEOUT_S = 0.4
SAVE_RETRY_US = 10_000_000  # between two attempts to write `suspended.json`
SYNC_TIME_SAVE_INTERVAL_US = 3_600_000_000  # how old the time of the last synchronization in the file may be
MIN_WAIT_US = 300_000  # a shorter remaining wait is not sent
SAME_WAIT_TOLERANCE_US = 50_000  # a wait whose end is at most this much later than the one sent is not sent again
MAX_HINTS = 64  # waits in one hint; the newest are sent


class SuspensionsNotSharedError(CedarwickError):
    """Not all suspended receivers can be sent to the other members."""

    code = "CW745"
    remedy = "restore some, or suspend at each member those with a uid over 128 characters or not in ASCII"


class SuspensionsNotSavedError(CedarwickError):
    """The versions of suspensions cannot be written; the members continue with those in memory."""

    code = "CW746"
    remedy = "free the disk that holds $RELAY_STATE before this sender is restarted"


def wall_time() -> int:
    """Wall time in microseconds. The sender's own clock stops while the machine sleeps: later rows would look older."""
    return time.time_ns() // 1000


class Gossip:
    """Sends and answers the gossip of one member. No suspension is sent or merged before `attach`."""

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
        self.suspension_table = SuspensionTable(name)
        self.unsaved = False  # whether suspended.json could not be written since the last change
        self.saved_at = 0
        self.missing_rows: dict[str, set[str]] = {}  # by member: uids whose rows it lacks
        self.next_exchange_at: dict[str, int] = {}  # by member: when it is next called if nothing changes
        self.digests_sent: dict[str, int] = {}  # by member: the digest after the last exchange
        self.calls_in_progress: set[str] = set()
        self.out_of_date: set[str] = set()  # members whose rows are incomplete, as they may have missed changes, too
        self.next_check_at = 0
        self.next_hint_at = 0
        self.pending_waits: dict[int, int] = {}  # by receiver: ends of waits to be sent, the newest last
        self.sent_waits: dict[int, int] = {}  # by receiver: the end that was sent
        self.management: ManagementCommands
        self.endpoint_list: EndpointList
        self.dispatcher: Dispatcher

    def attach(self, management: ManagementCommands, endpoint_list: EndpointList, dispatcher: Dispatcher) -> None:
        """Load the saved rows and subscribe to operators' commands and attempts, once this process owns the folder."""
        self.management, self.endpoint_list, self.dispatcher = management, endpoint_list, dispatcher
        management.on_suspension_change = self._suspension_changed
        dispatcher.attempts.report_retry_after, dispatcher.attempts.report_result = (
            self._apply_waits,
            self._attempt_ended,
        )
        now, saved = wall_time(), self._read_suspended_file()
        try:
            self.suspension_table = SuspensionTable(self.name, self.fleet_files.read_suspension_marks())
        except CorruptFleetFileError as error:
            logger.error(error.line)
            self.suspension_table.load_unversioned(saved or {})
        self.suspension_table.refresh(now)
        if saved is not None:
            self.suspension_table.apply_saved_file(now, saved)
        self.attached = True
        self._apply_and_save()

    # ---- called by the node ----

    def send_due(self, now: int, alive: Iterable[str], majority: int) -> None:
        """Send what is due. `now`: microseconds of the boot clock; `alive`: live members; `majority`: of all."""
        others = [name for name in alive if name != self.name]
        if self.pending_waits and now >= self.next_hint_at and (waits := self._take_due_waits()):
            self.next_hint_at = now + SEND_INTERVAL_US
            for name in others:
                gevent.spawn(self.call, name, RetryAfterHint(waits), CALL_TIMEOUT_S)
        if not self.attached or now < self.next_check_at:
            return
        self.next_check_at = now + SEND_INTERVAL_US
        self.suspension_table.refresh(wall_time())
        if self.suspension_table.stale and len(self.out_of_date) + 1 >= majority:
            self.suspension_table.mark_synced(wall_time())
            self._write_versions()
        if self.unsaved and wall_time() - self.saved_at > SAVE_RETRY_US:
            self._apply_and_save()
        digest = self.suspension_table.digest()
        for name in others:
            due = (
                self.digests_sent.get(name) != digest
                or self.missing_rows.get(name)
                or now >= self.next_exchange_at.get(name, 0)
            )
            if due and name not in self.calls_in_progress:
                self.calls_in_progress.add(name)
                gevent.spawn(self._exchange_rows, now, name)

    def answer(self, sender: str, body: SuspensionMarksMessage | RetryAfterHint) -> Body:
        """Process another member's peer message and return the answer."""
        if not self.attached:
            return Acknowledged()
        if isinstance(body, RetryAfterHint):
            now, numbers = self.clock.now(), self.endpoint_list.receiver_numbers
            self.dispatcher.apply_retry_after(
                [(numbers[each.uid], now + each.remaining_us) for each in body.waits if each.uid in numbers]
            )
            self.counters.add("hints heard")
            return Acknowledged()
        self.suspension_table.refresh(wall_time())
        self._merge_received(sender, lambda now: self.suspension_table.merge(now, body.marks))
        own_digest = self.suspension_table.digest()
        return SuspensionMarksMessage(
            own_digest,
            () if body.digest == own_digest else self.suspension_table.shared_rows(),
            self.suspension_table.is_complete(),
        )

    # ---- suspended receivers ----

    def _suspension_changed(self, uid: str, calls: int) -> None:
        """Record an operator's command at this member and send it to the others."""
        with self.management.state.locked():
            self.suspension_table.refresh(wall_time())
            self.suspension_table.set_calls(wall_time(), uid, calls)
            self._add_missing([uid])
            saved = None if self.unsaved else self._read_suspended_file()
            if saved is not None:
                self._add_missing(self.suspension_table.apply_saved_file(wall_time(), saved))
            self._apply_and_save()
        self.next_check_at = 0

    def _exchange_rows(self, now: int, name: str) -> None:
        try:
            self._send_rows(now, name)
        except OperatorStateBusyError as error:
            self.counters.warning("rows of another member are not merged", error)
        finally:
            self.calls_in_progress.discard(name)

    def _send_rows(self, now: int, name: str) -> None:
        sent = {
            row.uid: row for row in self.suspension_table.shared_rows() if row.uid in self.missing_rows.get(name, ())
        }
        all_sent, digest = self.suspension_table.shared_rows(), self.suspension_table.digest()
        answer = self.call(name, SuspensionMarksMessage(digest, tuple(sent.values())), CALL_TIMEOUT_S)
        if not isinstance(answer, SuspensionMarksMessage):
            self.next_exchange_at[name] = now + SEND_INTERVAL_US
            return
        their_rows = all_sent if answer.digest == digest else answer.marks
        self.suspension_table.refresh(wall_time())
        if answer.complete:
            self.out_of_date.discard(name)
            self._merge_received(name, lambda at: self.suspension_table.merge_all(at, their_rows))
        else:
            self.out_of_date.add(name)
            self._merge_received(name, lambda at: self.suspension_table.merge(at, their_rows))
        received_rows = {row.uid: row for row in their_rows}
        missing = {
            row.uid
            for row in self.suspension_table.shared_rows()
            if row.uid not in received_rows or is_newer(row, received_rows[row.uid])
        }
        # Rows that the other member does not accept are not sent again: they would be sent four times a second.
        refused = {uid for uid in missing if sent.get(uid) == self.suspension_table.rows[uid]}
        self.missing_rows[name] = missing - refused
        self.digests_sent[name] = self.suspension_table.digest()
        self.next_exchange_at[name] = now + DIGEST_INTERVAL_US

    def _merge_received(self, sender: str, merge: Callable[[int], list[str]]) -> None:
        """Merge rows of another member, and suspend or restore receivers accordingly.

        Raises `OperatorStateBusyError`.
        """
        with self.management.state.locked():
            self._merge_locked(sender, merge)

    def _merge_locked(self, sender: str, merge: Callable[[int], list[str]]) -> None:
        now, synced_at = wall_time(), self.suspension_table.synced_at
        saved = None if self.unsaved else self._read_suspended_file()
        if saved is not None:
            # The process that replaces this one may have changed the file; writing the own rows would undo that.
            self._add_missing(self.suspension_table.apply_saved_file(now, saved))
        changed = merge(now)
        self._add_missing(changed, except_for=sender)
        for uid in changed:
            logger.info(
                "{} {}, reported by {}",
                uid,
                "suspended" if uid in self.suspension_table.suspensions() else "restored",
                sender,
            )
        if changed or (saved is not None and saved != self.suspension_table.suspensions()):
            self._apply_and_save()
        elif synced_at != self.suspension_table.synced_at and now - self.saved_at > SYNC_TIME_SAVE_INTERVAL_US:
            self._write_versions()

    def _add_missing(self, uids: Iterable[str], except_for: str = "") -> None:
        for name, lacks in self.missing_rows.items():
            if name != except_for:
                lacks.update(uids)

    def _read_suspended_file(self) -> dict[str, int] | None:
        """The contents of suspended.json; None if it is missing or unreadable."""
        if not os.path.exists(os.path.join(self.management.folder, files.SUSPENSIONS_FILE)):
            return None
        try:
            return {
                uid: min(calls, MAX_CALLS)
                for uid, calls in files.read_suspensions(self.management.folder).items()
                if calls > 0
            }
        except files.UnreadableFileError as error:
            self.counters.warning("the receivers taken out by hand cannot be read", error)
            return None

    def _apply_and_save(self) -> None:
        """Suspend the receivers of the table, write suspended.json, then the versions."""
        calls = self.suspension_table.suspensions()
        # The file is written before the versions: after a crash between the two in the other order, a receiver missing
        # from the file would look restored by an operator.
        if calls != (self._read_suspended_file() or {}) or calls.keys() != self.endpoint_list.suspended:
            self.unsaved = not self.management.save_suspensions(calls)
        self._write_versions()
        if count := self.suspension_table.unshared_count():
            self.counters.warning(
                "receivers out by hand that the other members are not told of",
                SuspensionsNotSharedError(f"{count} of {len(calls)}; a uid may have {MAX_UID_LENGTH} ASCII characters"),
            )

    def _write_versions(self) -> None:
        self.saved_at = wall_time()
        try:
            self.fleet_files.write_suspension_marks(self.suspension_table.saved())
        except OSError as error:
            self.counters.warning("the fleet's marks are not kept", SuspensionsNotSavedError(str(error)))

    # ---- Retry-After waits ----

    def _apply_waits(self, waits: list[tuple[int, int]]) -> None:
        """Apply waits that are reported separately from the result of their attempt."""
        self.dispatcher.apply_retry_after(waits)
        self._queue_waits(waits)

    def _attempt_ended(self, call: AttemptCall, ending: AttemptResult) -> None:
        self.dispatcher.attempt_ended(call, ending)
        if ending.retry_after:
            self._queue_waits([(call.receiver, self.clock.now() + ending.retry_after)])

    def _queue_waits(self, waits: list[tuple[int, int]]) -> None:
        """Queue waits that receivers requested from this sender; waits from other members' hints are not queued."""
        for receiver, until in waits:
            if until > max(
                self.pending_waits.get(receiver, 0), self.sent_waits.get(receiver, 0) + SAME_WAIT_TOLERANCE_US
            ):
                self.pending_waits.pop(receiver, None)
                self.pending_waits[receiver] = until
        while len(self.pending_waits) > MAX_HINTS:
            del self.pending_waits[next(iter(self.pending_waits))]

    def _take_due_waits(self) -> tuple[RetryAfterEntry, ...]:
        """Remove the queued waits and return those to be sent."""
        now = self.clock.now()
        self.sent_waits = {receiver: until for receiver, until in self.sent_waits.items() if until > now}
        waits, self.pending_waits = self.pending_waits, {}
        if not waits:
            return ()
        uids = self.endpoint_list.uids_by_number
        entries = [
            RetryAfterEntry(uids[receiver], until - now)
            for receiver, until in waits.items()
            if until - now > MIN_WAIT_US and receiver in uids and len(uids[receiver]) <= MAX_UID_LENGTH
        ]
        self.sent_waits.update(waits)
        return tuple(entries)
