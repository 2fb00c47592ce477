"""The state that the dispatcher's parts share: the decisions, the store, and the messages by state.

The parts (`dispatch_admission`, `dispatch_attempts`, `dispatch_sessions`, `dispatch_final_answers`) are base classes of
`cedarwick.net.dispatcher.Dispatcher`: all of them run in its one greenlet, on this one state, so none needs a lock.
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
from cedarwick.net.sockets import PollClock
from cedarwick.net.submission import Submission
from cedarwick.store.files import NoSpaceError
from cedarwick.store.health_file import HealthFile, HealthKey
from cedarwick.store.journal import Store
from cedarwick.store.records import StoredMessage, zone_mark

LEASE_RECHECK_DELAY_US = 20_000  # microseconds until the next check of this sender's lease and its copies


@dataclass(slots=True)
class FrozenSession:
    """A session that is moving: its attempts still running, and an event that is set once there are none."""

    still: gevent.event.AsyncResult = field(default_factory=gevent.event.AsyncResult)
    in_flight: set[int] = field(default_factory=set)


class DispatcherState:
    """The state of a dispatcher, and how its parts write to the store."""

    def __init__(
        self, assignment: Assignment, clock: Clock, counters: Counters, store: Store, polled: PollClock
    ) -> None:
        self.clock = clock
        self.counters = counters
        self.polled = polled
        self.store = store
        self.priority_classes = {
            assignment.settings[f"classes.{index}.name"]: index
            for index in range(int(assignment.settings["classes.count"]))
        }
        self.tenants = [
            assignment.settings.get(f"realms.{index}.name", "")
            for index in range(int(assignment.settings.get("realms.count") or 0))
        ]
        self.zones = [zone_mark(name) for name in list_setting(assignment.settings, "zones")]
        self.sender = Sender(assignment.settings, assignment.seed, clock.now())
        # One more class is for restored messages whose priority class was removed; without settings it is sent at most
        # once.
        self.sender.priority_classes.append(priority_class_of(assignment.settings, len(self.sender.priority_classes)))
        counters.figures.priority_classes = list(self.priority_classes)
        # Here every attempt is a call of its own; if the decisions took some to share one, they would exceed limits.
        self.sender.messages_per_call = []
        self.handles: dict[int, Handle] = {}
        self.numbers: dict[str, int] = {}  # by id: messages that are stored
        # Recent ids: when they came (microseconds), and a hash of the submission.
        self.recent: dict[str, tuple[int, int]] = {}
        self.new_submissions: dict[int, Submission] = {}  # admitted in this round, and not stored yet
        self.queue: gevent.queue.Queue = gevent.queue.Queue()
        # Attempts that ask for a clearance in this round.
        self.clearance_requests: list[tuple[AttemptCall, gevent.event.AsyncResult]] = []
        # What to call after the flush, or if it fails.
        self.after_flush: list[tuple[Callable[[], None], Callable[[], None]]] = []
        self.wake_at: int | None = None
        self.holding_fire = False
        self.ending = False  # while holding fire: what reaches its deadline ends here
        self.keeping = False  # while holding fire: new messages are still stored, for the next process
        self.parked: dict[int, Handle] = {}  # parked while an attempt was running: its result is still to come
        self.to_adopt: set[int] = set()  # parked messages to adopt once their attempt has ended
        self.frozen: dict[int, FrozenSession] = {}  # sessions on the move, by key
        self.keys_elsewhere: frozenset[int] = frozenset()  # keys of which another sender has earlier messages
        self.not_sent: set[int] = set()  # messages that had no attempt while their key was among these
        self.leaving: set[int] = set()  # withdrawn, but that call is still in the queue
        self.uncopied_ends: set[int] = set()  # an end was chosen, and is posted once the copies have it
        self.attempts: AttemptRunner
        self.notices: Notifier
        self.free_links: Callable[[int], None]
        self.uid_of: Callable[[int], str] = str  # the name of a receiver by its number
        self.first_listing = True  # no update of the list has been handled yet
        self.health_file: HealthFile | None = None
        # What an earlier process knew of receivers that are not listed yet.
        self.earlier_health: dict[HealthKey, EarlierHealth] = {}
        self.recorded_uids: dict[int, str] = {}  # by number: receivers that are not in service
        self.ask_for_list: Callable[[], None]

    def _recorded(self, what: str, write: Callable[..., None], *arguments: Any) -> bool:
        """Write to the store; False, and a counted warning, where there is no room."""
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
        if self.counters.trace.enabled and stored.end is not None:
            state = "returned" if stored.end[0] else "failed"
            self.counters.trace.add(NoticeTrace(stored.id, stored.number, state, self.clock.now()))

    def _trace_parked(self, number: int, in_flight: bool) -> None:
        stored = self.store.messages.get(number)
        if self.counters.trace.enabled and stored is not None:
            term = self.store.term_of(number)
            self.counters.trace.add(ParkedTrace(stored.id, number, in_flight, term, self.clock.now()))

    def _end_unanswered(self, stored: StoredMessage) -> None:
        """End a message that needs no final answer: no attempt begins any more, and one that is out changes nothing."""
        handle = self.handles.get(stored.number)
        if handle is not None:
            handle.withdrawn(self.clock.now())
            if not handle.in_flight:
                del self.handles[stored.number]
        self._over(stored)

    def _over(self, stored: StoredMessage) -> None:
        """Delete a message for which nothing more is to be done."""
        self.numbers.pop(stored.id, None)
        self.uncopied_ends.discard(stored.number)
        self._recorded("the record of an end", self.store.over, stored.number)
