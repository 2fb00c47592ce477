"""The state that the dispatcher's base classes share: the decisions, the store, and the messages by state.

`dispatch_admission`, `dispatch_attempts`, `dispatch_sessions`, `dispatch_final_answers` and `dispatch_health` hold base
classes of `cedarwick.net.dispatcher.Dispatcher`. All of them run in its one greenlet, so the state needs no lock.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import gevent
import gevent.event
import gevent.queue

from cedarwick.decisions.interface import EarlierHealth, list_setting
from cedarwick.decisions.message_handle import Handle
from cedarwick.decisions.policy import Sender, priority_class_of
from cedarwick.net.assignment import Assignment
from cedarwick.net.attempts import AttemptCall, AttemptRunner
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters
from cedarwick.net.message_trace import EndTrace, NoticeTrace, ParkedTrace
from cedarwick.net.notifications import Notifier
from cedarwick.net.recent_submissions import RecentSubmissions
from cedarwick.net.sockets import PollClock
from cedarwick.net.submission import Submission
from cedarwick.store.files import NoSpaceError
from cedarwick.store.health_file import HealthFile, HealthKey
from cedarwick.store.journal import Store
from cedarwick.store.records import StoredMessage, zone_id

LEASE_RECHECK_DELAY_US = 20_000  # until the next check of this sender's lease and of its copies


@dataclass(slots=True)
class FrozenSession:
    """A migrating session: its running attempts, and an event that is set once there are none."""

    attempts_ended: gevent.event.AsyncResult = field(default_factory=gevent.event.AsyncResult)
    in_flight: set[int] = field(default_factory=set)


class DispatcherState:
    """The state of a dispatcher, and its writes to the store and to the message trace."""

    def __init__(
        self, assignment: Assignment, clock: Clock, counters: Counters, store: Store, poll_clock: PollClock
    ) -> None:
        self.clock = clock
        self.counters = counters
        self.poll_clock = poll_clock
        self.store = store
        self.priority_classes = {
            assignment.settings[f"classes.{index}.name"]: index
            for index in range(int(assignment.settings["classes.count"]))
        }
        self.tenants = [
            assignment.settings.get(f"realms.{index}.name", "")
            for index in range(int(assignment.settings.get("realms.count") or 0))
        ]
        self.zones = [zone_id(name) for name in list_setting(assignment.settings, "zones")]
        self.sender = Sender(assignment.settings, assignment.seed, clock.now())
        # The additional class is for restored messages whose priority class was removed. It has no settings, so they
        # are sent at most once.
        self.sender.priority_classes.append(priority_class_of(assignment.settings, len(self.sender.priority_classes)))
        counters.metrics.priority_classes = list(self.priority_classes)
        # Each attempt is one call here. If the decisions assumed that attempts share calls, they would exceed limits.
        self.sender.messages_per_call = []
        self.handles: dict[int, Handle] = {}  # by message number
        self.numbers_by_id: dict[str, int] = {}  # numbers of the messages that are stored or admitted
        self.recent_ids = RecentSubmissions()
        self.new_submissions: dict[int, Submission] = {}  # admitted in this round and not stored yet
        self.queue: gevent.queue.Queue = gevent.queue.Queue()
        # Attempts that request a clearance in this round.
        self.clearance_requests: list[tuple[AttemptCall, gevent.event.AsyncResult]] = []
        # Callbacks for after the flush: the first if it succeeds, the second if it fails.
        self.after_flush: list[tuple[Callable[[], None], Callable[[], None]]] = []
        self.wake_at: int | None = None  # time of the next round if no call is queued
        self.ended = False  # `run` has returned or is about to; no new message is admitted
        self.attempts_stopped = False
        self.abandoning_near_deadline = False  # with `attempts_stopped`: abandon messages near their deadline
        self.storing_new = False  # with `attempts_stopped`: store new messages, for the next process
        self.parked: dict[int, Handle] = {}  # parked during an attempt whose result is still to come
        self.to_adopt: set[int] = set()  # parked messages to adopt once their attempt has ended
        self.frozen: dict[int, FrozenSession] = {}  # migrating sessions, by key
        self.keys_elsewhere: frozenset[int] = frozenset()  # keys of which another sender has earlier messages
        self.held_by_key: set[int] = set()  # messages without an attempt when their key was in `keys_elsewhere`
        self.withdrawing: set[int] = set()  # withdrawn, with the call still in the queue
        self.uncopied_ends: set[int] = set()  # messages whose final answer is posted once it is copied
        self.attempts: AttemptRunner
        self.notices: Notifier
        self.release_connections: Callable[[int], None]
        self.uid_of: Callable[[int], str] = str  # the uid of a receiver, by its number
        self.first_listing = True  # no endpoint list update has been handled yet
        self.health_file: HealthFile | None = None
        # What an earlier process recorded of receivers that are not listed yet.
        self.earlier_health: dict[HealthKey, EarlierHealth] = {}
        self.recorded_uids: dict[int, str] = {}  # by number: receivers whose recorded state is not IN_SERVICE
        self.reopen_list_watch: Callable[[], None]

    def _write_record(self, what: str, write: Callable[..., None], *arguments: Any) -> bool:
        """Write to the store; returns False, with a warning, if it has no room."""
        try:
            write(*arguments)
        except NoSpaceError as error:
            self.counters.warning(f"no room for {what}", error)
            return False
        return True

    def _trace_end(self, stored: StoredMessage, state: str, reason: str) -> None:
        if self.counters.trace.enabled:
            term = self.store.term_of(stored.number)
            self.counters.trace.add(EndTrace(stored.id, stored.number, state, reason, term, self.clock.now()))

    def _trace_notice(self, stored: StoredMessage) -> None:
        if self.counters.trace.enabled and stored.final_answer is not None:
            state = "returned" if stored.final_answer[0] else "failed"
            self.counters.trace.add(NoticeTrace(stored.id, stored.number, state, self.clock.now()))

    def _trace_parked(self, number: int, in_flight: bool) -> None:
        stored = self.store.messages.get(number)
        if self.counters.trace.enabled and stored is not None:
            term = self.store.term_of(number)
            self.counters.trace.add(ParkedTrace(stored.id, number, in_flight, term, self.clock.now()))

    def _end_without_notice(self, stored: StoredMessage) -> None:
        """End a message that needs no final answer: no attempt starts any more, and a running one has no effect."""
        handle = self.handles.get(stored.number)
        if handle is not None:
            handle.withdrawn(self.clock.now())
            if not handle.in_flight:
                del self.handles[stored.number]
        self._delete_message(stored)

    def _delete_message(self, stored: StoredMessage) -> None:
        """Delete a message that needs no further work."""
        self.numbers_by_id.pop(stored.id, None)
        self.uncopied_ends.discard(stored.number)
        self._write_record("the record of an end", self.store.finish, stored.number)
