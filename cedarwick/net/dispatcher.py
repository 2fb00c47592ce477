"""One greenlet owns the decisions: one queue in, verdicts out to the stages."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import gevent
import gevent.event
import gevent.queue
from loguru import logger

from cedarwick.decisions.interface import EndpointUpdate, ListedEndpoint, Outcome, UnfinishedMessage, list_setting
from cedarwick.decisions.policy import Handle, Sender, priority_class_of
from cedarwick.decisions.state import NEVER
from cedarwick.errors import CedarwickError
from cedarwick.net.assignment import Assignment, place
from cedarwick.net.attempts import AttemptCall, AttemptResult, AttemptRunner
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters
from cedarwick.net.notifications import Notifier
from cedarwick.net.sockets import PollClock
from cedarwick.store.bodies import BodyLostError
from cedarwick.store.files import DiskError, NoSpaceError
from cedarwick.store.journal import Store
from cedarwick.store.records import NOWHERE, StoredMessage, zone_mark

RECENT_ID_LIFETIME = 15_000_000  # for so long after it was handed in, an id is not taken once more
LEASE_RECHECK_DELAY = 20_000  # until the next look whether this sender may decide, or its copies follow
DEADLINE_MARGIN = (
    50_000  # before its deadline a message is written off at the end of a process that others take over from
)
PARTITION_SHIFT = 32  # bits of a number within its partition: below them numbers grow as messages are taken
ERROR_BACKOFF = 100_000  # until the next round: an error that comes again must not fill the core


class AdmissionResult(Enum):
    """What becomes of a message at the door."""

    KEPT = "kept"
    BUSY = "busy"  # with an advised wait in milliseconds, or 0
    UNKNOWN_PRIORITY_CLASS = "unknown priority class"
    UNKNOWN_DESTINATION = "unknown destination"  # as far as the list tells, which may be old
    REPEATED = "repeated"  # an id that was handed in before, and not the same request
    FROZEN = "frozen"  # its session is on the move to another sender: not taken, to be handed in after that
    UNSURE = "unsure"  # it was passed on to another sender, and nobody can tell whether that has taken it


@dataclass(slots=True)
class Submission:
    """A message as a client hands it in; the dispatcher gives it its number and sets the answer."""

    message: StoredMessage
    answer: gevent.event.AsyncResult = field(default_factory=gevent.event.AsyncResult)

    def answered(self, what: AdmissionResult, wait_ms: int = 0) -> None:
        self.answer.set((what, wait_ms))


@dataclass(slots=True)
class FrozenSession:
    """A session on the move: what of it is still out."""

    still: gevent.event.AsyncResult = field(default_factory=gevent.event.AsyncResult)
    out: set[int] = field(default_factory=set)


def in_thread(call: Callable[..., None], *told: object) -> None:
    """Run a blocking call where it holds up nobody but the one who asks; what it raises is raised here."""
    gevent.get_hub().threadpool.apply(call, told)


class Dispatcher:
    """All that happens reaches the decisions here, in the order in which it came."""

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
        # One more stands for what a restart finds of a priority class that is no more; as the settings lack it, at
        # most once.
        self.sender.priority_classes.append(priority_class_of(assignment.settings, len(self.sender.priority_classes)))
        counters.figures.priority_classes = list(self.priority_classes)
        # Danger: attempts that the decisions hold to share a call would each count at the destination's limit.
        self.sender.per_call = []
        self.handles: dict[int, Handle] = {}
        self.numbers: dict[str, int] = {}  # by id: messages that are kept
        self.recent: dict[str, tuple[int, int]] = {}  # ids of late: when, and what came with it
        self.fresh: dict[int, Submission] = {}  # taken in this round
        self.queue: gevent.queue.Queue = gevent.queue.Queue()
        self.asked: list[tuple[AttemptCall, gevent.event.AsyncResult]] = []  # attempts that want to go in this round
        self.after_flush: list[tuple[Callable[[], None], Callable[[], None]]] = []  # once on the disk; if it fails
        self.wake_at: int | None = None
        self.holding_fire = False
        self.ending = False  # while holding fire: what reaches its deadline ends here
        self.keeping = False  # while holding fire: messages that come are still kept, for the next process
        self.parked: dict[int, Handle] = {}  # given up while an attempt was out: it still ends
        self.to_adopt: set[int] = set()  # of these: to be gone on with once it has ended
        self.frozen: dict[int, FrozenSession] = {}  # sessions on the move, by key
        self.elsewhere: frozenset[int] = frozenset()  # keys of which another sender has earlier messages
        self.not_sent: set[int] = set()  # messages that had no attempt while their key was among these
        self.leaving: set[int] = set()  # withdrawn in this moment: the queue has yet to say so
        self.untold: set[int] = set()  # an end was chosen, and is told once the copies have it
        self.attempts: AttemptRunner
        self.notices: Notifier
        self.free_links: Callable[[int], None]
        self.ask_for_list: Callable[[], None]

    # ---- the queue in ----

    def submit(self, submission: Submission) -> None:
        self.queue.put((self._take, (submission,)))

    def withdraw(self, submission: Submission) -> None:
        self.leaving.add(submission.message.number)
        self.queue.put((self._withdraw, (submission.message,)))

    def clear(self, call: AttemptCall) -> bool:
        """Whether the attempt may still go out; its record is written then."""
        answer: gevent.event.AsyncResult = gevent.event.AsyncResult()
        self.queue.put((self._asks, (call, answer)))
        return bool(answer.get())

    def may_fire(self, number: int) -> bool:
        """Asked as the last thing before the first byte.

        Danger: while an attempt's record was waited for, the client may have left, and hands the same in elsewhere.
        """
        return number in self.store.messages and number not in self.leaving and self.store.may_fire(number)

    def attempt_ended(self, call: AttemptCall, ending: AttemptResult) -> None:
        self.queue.put((self._attempt_ended, (call, ending)))

    def listed(self, change: EndpointUpdate, listings: Sequence[ListedEndpoint]) -> None:
        self.queue.put((self._listed, (change, listings)))

    def list_poll_failed(self) -> None:
        self.queue.put((self._list_poll_failed, ()))

    def acknowledged(self, numbers: list[int]) -> None:
        self.queue.put((self._acknowledged, (numbers,)))

    def hold_fire(self, keeping: bool = False, ending: bool = False) -> None:
        """The end of the process is near: no attempt begins any more, what is out goes on; messages that come
        are kept where `keeping` says so, else turned away. `ending`: other senders go on with what is kept; what
        reaches its deadline before they can is written off."""
        self.queue.put((self._hold_fire, (keeping, ending)))

    def adopt(self, numbers: list[int], quietly: bool = False) -> None:
        """Go on with messages that are kept in the folder, as after a restart: this sender has the right to.

        `quietly`: no attempt of their keys is out or in doubt but what they tell themselves, so other keys need not
        rest.
        """
        self.queue.put((self._adopt, (numbers, quietly)))

    def rest_of(self, key: int) -> int:
        """For how many microseconds a key is to rest here: an attempt of it, or of one before this process, may run."""
        turns = self.sender.turns
        return max(0, turns.all_rest - self.clock.now(), turns.rests.get(key, 0) - self.clock.now())

    def ordered(self, priority_class: str) -> bool:
        """Whether messages of a priority class go one after another within a key."""
        return (
            priority_class in self.priority_classes
            and self.sender.priority_classes[self.priority_classes[priority_class]].ordered
        )

    def rest(self, keys: frozenset[int]) -> None:
        """Earlier messages of these keys are owed elsewhere: later ones rest here until this is told no more."""
        self.queue.put((self._rest, (keys,)))

    def park(self, numbers: list[int]) -> None:
        """Leave messages alone from now on, without an answer: this sender has no right to fire for them."""
        self.queue.put((self._park, (numbers,)))

    def freeze(self, key: int) -> gevent.event.AsyncResult:
        """From now on no attempt of a session begins, and nothing of it is taken; set once none is out any more."""
        frozen = FrozenSession()
        self.queue.put((self._freeze, (key, frozen)))
        return frozen.still

    def cut(self, key: int) -> None:
        """The attempts of a frozen session that are still out are given up, their links closed: they may have run."""
        self.queue.put((self._cut, (key,)))

    def thaw(self, key: int) -> None:
        """A session is taken again; its messages are gone on with once they are adopted."""
        self.queue.put((self._thaw, (key,)))

    def between(self, call: Callable[[], bool]) -> gevent.event.AsyncResult:
        """What a call returns that is made between two rounds, as nothing waits for the folder; False if it fails."""
        answer: gevent.event.AsyncResult = gevent.event.AsyncResult()
        self.queue.put((self._between, (call, answer)))
        return answer

    def answer_late(self, numbers: list[int]) -> None:
        """Write parked messages off: their deadline is near, and nobody is known to have the right."""
        self.queue.put((self._answer_late, (numbers,)))

    def idle(self) -> bool:
        """Whether nothing is under way: no attempt is out, no call is queued."""
        return not self.attempts.out and self.queue.empty()

    # ---- the one greenlet ----

    def run(self) -> None:
        """Never returns: one round after another."""
        while True:
            self._wait()
            while not self.queue.empty():
                call, told = self.queue.get()
                self._guarded(call, *told)
            if self.asked:
                # Danger: a refusal that was read in the same round may stand behind the question in the queue.
                asked, self.asked = self.asked, []
                for each in asked:
                    self._guarded(self._clear, *each)
                gevent.sleep(0)  # what may go goes now, not after a long round
            self._guarded(
                self._decide if not self.holding_fire else self._keep_fresh if self.keeping else self._turn_away
            )
            if self.after_flush:
                self._guarded(self._flush)
            self._guarded(self.store.step)

    def _wait(self) -> None:
        wait = None if self.wake_at is None else max(0, self.wake_at - self.clock.now()) / 1_000_000
        try:
            self.queue.peek(timeout=wait)
        except gevent.queue.Empty:
            # Danger: after a pause of the process, what lies in the sockets came before this wake-up.
            gevent.sleep(0)

    def _guarded(self, call: Callable[..., None], *told: Any) -> None:
        try:
            call(*told)
        except Exception:  # one bad event must not end the process: all else is still owed
            self.counters.failed(f"the dispatcher failed in {call.__name__}")
            self.wake_at = self.clock.now() + ERROR_BACKOFF
            for thing in told:
                if isinstance(thing, gevent.event.AsyncResult) and not thing.ready():
                    thing.set(False)
                if isinstance(thing, Submission) and not thing.answer.ready():
                    thing.answered(AdmissionResult.BUSY)

    # ---- what may happen ----

    def resume(self) -> None:
        """Once, before the start: what an earlier process of this sender has left, as far as it may be fired for."""
        numbers = [number for number in sorted(self.store.messages) if self.store.may_fire(number)]
        if self.store.restarted:
            taken_up = self._take_up(numbers)
            logger.info("restarted with {} messages owed, {} notices", taken_up, len(self.notices.owed))

    def _take_up(self, numbers: Sequence[int], quietly: bool = False) -> int:
        """Stored messages become owed by the decisions; how many have no end yet."""
        owed = []
        for number in numbers:
            stored = self.store.messages[number]
            self.numbers[stored.id] = number
            if stored.end is None and stored.priority_class not in self.priority_classes:
                self.counters.trouble(
                    "a message of a priority class that is no more goes once at most", stored.priority_class
                )
            if stored.end is not None:
                self.untold.discard(number)
                self.notices.post(number, stored.id, *stored.end)
                continue
            attempts = [attempt._replace(zone=self._place_of(attempt.zone)) for attempt in stored.earlier_attempts()]
            priority_class = self.priority_classes.get(stored.priority_class, len(self.sender.priority_classes) - 1)
            owed.append(
                UnfinishedMessage(
                    number,
                    stored.destination,
                    priority_class,
                    stored.deadline,
                    place(self.tenants, stored.tenant),
                    stored.turn,
                    attempts,
                )
            )
        now = self.clock.now()
        if quietly and all(
            attempt.outcome is not None and attempt.outcome.never_ran for each in owed for attempt in each.attempts
        ):
            # Danger: sessions come one after another, and each `resume` has the keys of all others rest.
            for each in owed:
                handle = self.handles[each.message_id] = self.sender.take(now, *each[:-1])
                handle.attempts = len(each.attempts)
            return len(owed)
        for each, handle in zip(owed, self.sender.resume(now, owed), strict=True):
            self.handles[each.message_id] = handle
        return len(owed)

    def _place_of(self, mark: int) -> int:
        """A recorded zone among those of the settings; where none or several have its mark, none."""
        return self.zones.index(mark) if self.zones.count(mark) == 1 else NOWHERE

    def _adopt(self, numbers: list[int], quietly: bool = False) -> None:
        known = [
            number
            for number in numbers
            if number in self.store.messages
            and number not in self.handles
            and number not in self.store.inert
            and self.store.messages[number].turn not in self.frozen
        ]
        # Danger: an attempt of before the message was parked may still be out, and a second would run beside it.
        self.to_adopt.update(number for number in known if number in self.parked)
        taken_up = [number for number in known if number not in self.parked]
        self._take_up(taken_up, quietly)
        joined: dict[int, list[Handle]] = {}
        for handle in [self.handles[number] for number in taken_up if number in self.handles]:
            if handle.priority_class.ordered and handle.key:
                joined.setdefault(handle.key, []).append(handle)
        # Danger: of those that come back together each would stand before the one that was taken before it.
        not_sent = self.not_sent.difference(taken_up)

        def before(one: Handle, other: Handle) -> bool:
            # Danger: one whose attempt was out when its partition was parked comes back after all others of its key.
            return (
                other.id in not_sent or other.id > one.id and other.id >> PARTITION_SHIFT == one.id >> PARTITION_SHIFT
            )

        for key, handles in joined.items():
            self.sender.turns.line_up(key, handles, before)

    def _rest(self, keys: frozenset[int]) -> None:
        self.elsewhere = keys
        self.not_sent &= self.handles.keys()
        for key in keys & self.sender.turns.lines.keys():
            self._let_rest(key)

    def _let_rest(self, key: int) -> None:
        self.not_sent.update(each.id for each in self.sender.rest(self.clock.now(), key))

    def _park(self, numbers: list[int]) -> None:
        now, given_up = self.clock.now(), set(numbers)
        self.numbers = {each: number for each, number in self.numbers.items() if number not in given_up}
        for number in numbers:
            self.to_adopt.discard(number)
            self.notices.owed.pop(number, None)
            submission = self.fresh.pop(number, None)
            if submission is not None:
                submission.answered(AdmissionResult.BUSY)
            handle = self.handles.pop(number, None)
            if handle is not None:
                handle.withdrawn(now)
                if handle.out:
                    self.parked[number] = handle

    def _freeze(self, key: int, frozen: "FrozenSession") -> None:
        self.frozen[key] = frozen
        numbers = [number for number, handle in self.handles.items() if handle.key == key]
        for number in numbers:
            submission = self.fresh.pop(number, None)
            if submission is not None:
                # It is not kept yet, and neither is anything known of it that its next holder must not take.
                self.recent.pop(submission.message.id, None)
                submission.message.number = 0
                submission.answered(AdmissionResult.FROZEN)
        self._park(numbers)
        frozen.out = {number for number, handle in self.parked.items() if handle.key == key}
        if not frozen.out:
            frozen.still.set(True)

    def _cut(self, key: int) -> None:
        frozen = self.frozen.get(key)
        if frozen is not None and frozen.out:
            self.attempts.cut(frozen.out)

    def _thaw(self, key: int) -> None:
        self.frozen.pop(key, None)

    def _between(self, call: Callable[[], bool], answer: gevent.event.AsyncResult) -> None:
        answer.set(call())

    def _answer_late(self, numbers: list[int]) -> None:
        for number in numbers:
            stored = self.store.messages.get(number)
            if stored is None or number in self.handles or number in self.notices.owed:
                continue
            if stored.end is None or number in self.untold:
                self.counters.trouble("a message ends that nobody may fire for", number)
                self._final(number, False, 0, alone=True)
            else:
                self.notices.post(number, stored.id, *stored.end)

    def _take(self, submission: Submission) -> None:
        stored = submission.message
        priority_class = self.priority_classes.get(stored.priority_class)
        if priority_class is None:
            submission.answered(AdmissionResult.UNKNOWN_PRIORITY_CLASS)
            return
        if stored.destination not in self.sender.destinations:
            self.counters.add("turned away: a destination that nobody listed")
            submission.answered(AdmissionResult.UNKNOWN_DESTINATION)
            return
        now = self.clock.now()
        if stored.turn in self.frozen:
            submission.answered(AdmissionResult.FROZEN)
            return
        # Danger: a copy of an id that has ended would go out again, with whatever body it brings.
        copied = hash((stored.key, stored.turn, stored.priority_class, stored.tenant, stored.destination, stored.body))
        known = self.recent.get(stored.id)
        if known is not None or stored.id in self.numbers:
            same = known is not None and known[1] == copied and stored.id in self.numbers
            same = same and self.numbers[stored.id] not in self.fresh
            submission.answered(AdmissionResult.KEPT if same else AdmissionResult.REPEATED)
            return
        while self.recent and next(iter(self.recent.values()))[0] < now - RECENT_ID_LIFETIME:
            del self.recent[next(iter(self.recent))]
        self.recent[stored.id] = now, copied
        if not self.store.has_room(stored):
            self.counters.add("turned away: no room in the folder")
            submission.answered(AdmissionResult.BUSY)
            return
        stored.number = number = self.store.next_number
        self.store.next_number += 1
        self.fresh[number] = submission
        self.numbers[stored.id] = number
        # Danger: an absurd time to live would be held, and take up its room, for ever.
        stored.deadline = min(stored.deadline, now + self.sender.priority_classes[priority_class].deadline)
        self.handles[number] = self.sender.take(
            now,
            number,
            stored.destination,
            priority_class,
            stored.deadline,
            place(self.tenants, stored.tenant),
            stored.turn,
        )
        if stored.turn in self.elsewhere and self.sender.priority_classes[priority_class].ordered:
            self.counters.add("messages that waited for others of their key elsewhere")
            self._let_rest(stored.turn)

    def _withdraw(self, stored: StoredMessage) -> None:
        self.leaving.discard(stored.number)
        if stored.number in self.store.inert:
            return  # it is on its way to another sender, who knows nothing of this
        handle = self.handles.get(stored.number)
        if handle is not None:
            handle.withdrawn(self.clock.now())
            if not handle.out:
                del self.handles[stored.number]
        self._over(stored)

    def _asks(self, call: AttemptCall, answer: gevent.event.AsyncResult) -> None:
        self.asked.append((call, answer))

    def _clear(self, call: AttemptCall, answer: gevent.event.AsyncResult) -> None:
        call.looked_at = self.polled.at
        now, number = self.clock.now(), call.message.number
        handle = self.handles.get(number)
        may = free = handle is not None and handle.may_start(now, call.receiver) and not self.holding_fire
        may = may and self.store.may_fire(number)
        call.send_by = handle.send_by() if handle is not None else 0
        if may and number in self.store.messages and not call.recorded:
            zone = self.sender.receivers[call.receiver].zone
            mark = self.zones[zone] if zone < len(self.zones) else NOWHERE
            may = self._with_body(call)
            may = call.recorded = may and self._recorded(
                "the record of an attempt", self.store.attempt, number, now, mark
            )
        if not may:
            answer.set(False)
            # Danger: what the folder does not take, or may not be fired for, would be looked at anew at once for ever.
            self._attempt_ended(call, AttemptResult(Outcome.MOOT, not_sent=not free))
        elif self.store.awaited and not call.flushed:
            call.flushed = True
            self.after_flush.append((lambda: answer.set(True), lambda: self._held_back(call, answer)))
        else:
            answer.set(True)

    def _with_body(self, call: AttemptCall) -> bool:
        """Whether the body could be read back; it may lie in the folder only."""
        try:
            call.body = self.store.body(call.message.number)
        except BodyLostError as error:
            self.counters.trouble("a body cannot be read back", error)
            return False
        return True

    def _held_back(self, call: AttemptCall, answer: gevent.event.AsyncResult) -> None:
        answer.set(False)
        self._attempt_ended(call, AttemptResult(Outcome.MOOT))

    def _attempt_ended(self, call: AttemptCall, ending: AttemptResult) -> None:
        number = call.message.number
        if call.recorded:
            self._recorded("the record of an outcome", self.store.outcome, number, ending.outcome)
        handle = self.handles.get(number)
        if handle is None and (parked := self.parked.pop(number, None)) is not None:
            parked.attempt_ended(
                self.clock.now(),
                ending.outcome,
                call.attempt,
                call.receiver,
                ending.took,
                ending.retry_after,
                ending.last,
                ending.report,
                ending.reused_connection,
            )
            frozen = self.frozen.get(call.message.turn)
            if frozen is not None:
                frozen.out.discard(number)
                if not frozen.out and not frozen.still.ready():
                    frozen.still.set(True)
            if number in self.to_adopt:
                self.to_adopt.discard(number)
                self._adopt([number])
        if handle is None:
            return
        handle.attempt_ended(
            self.clock.now(),
            ending.outcome,
            call.attempt,
            call.receiver,
            ending.took,
            ending.retry_after,
            ending.last,
            ending.report,
            ending.reused_connection,
        )
        if ending.not_sent:
            handle.attempt_not_sent()
        if handle.ended:
            self.counters.add(f"messages over: {ending.outcome.value}")
            if ending.outcome is Outcome.COMPLETED:
                self.counters.figures.passed[call.message.priority_class] += 1
            del self.handles[number]
            self._over(call.message)

    def _listed(self, change: EndpointUpdate, listings: Sequence[ListedEndpoint]) -> None:
        self.sender.listed(self.clock.now(), change, listings)

    def _list_poll_failed(self) -> None:
        self.sender.list_poll_failed(self.clock.now())

    def heed(self, waits: list[tuple[int, int]]) -> None:
        """Waits told to the process that this one replaces, by receiver."""
        self.queue.put((self._heed, (waits,)))

    def _heed(self, waits: list[tuple[int, int]]) -> None:
        now = self.clock.now()
        for receiver, until in waits:
            self.sender.heed(now, receiver, until)

    def _hold_fire(self, keeping: bool = False, ending: bool = False) -> None:
        self.holding_fire, self.keeping, self.ending = True, keeping, ending
        self.wake_at = None

    def _acknowledged(self, numbers: list[int]) -> None:
        for number in numbers:
            if number in self.store.messages:
                self._over(self.store.messages[number])

    def _over(self, stored: StoredMessage) -> None:
        """Nothing more is owed for this message."""
        self.numbers.pop(stored.id, None)
        self.untold.discard(stored.number)
        self._recorded("the record of an end", self.store.over, stored.number)

    def _recorded(self, what: str, write: Callable[..., None], *told: Any) -> bool:
        """Write to the folder; False, and a count of the trouble, where there is no room."""
        try:
            write(*told)
        except NoSpaceError as error:
            self.counters.trouble(f"no room for {what}", error)
            return False
        return True

    # ---- what the round decides ----

    def _decide(self) -> None:
        now = self.clock.now()
        if not self.store.deciding():
            # Danger: after a stop of this process another sender may answer for what is held; ours would be a second.
            self.wake_at = now + LEASE_RECHECK_DELAY
            self._take_none(now)
            return
        # Danger: what has been given up takes its room until its 204; each round would give up more for it.
        self.sender.room = self.store.room_for() + len(self.notices.owed)
        verdicts = self.sender.decide(now)
        for number, wait in verdicts.nacks:
            fresh = self.fresh.pop(number, None)
            if fresh is None:
                self._final(number, True, wait // 1000)
                continue
            del self.handles[number], self.numbers[fresh.message.id]
            self.counters.add("nacked at the door")
            fresh.answered(AdmissionResult.BUSY, wait // 1000)
        for number in verdicts.abandoned:
            self._final(number, False, 0)
        for submission in self.fresh.values():
            self._keep(submission)
        self.fresh.clear()
        for receiver in verdicts.released_connections:
            self.free_links(receiver)
        for number, receiver, patience in verdicts.attempts:
            handle = self.handles[number]
            if number in self.store.messages:
                call = AttemptCall(
                    self.store.messages[number],
                    handle.attempts - 1,
                    receiver,
                    now,
                    now + patience,
                    new_connection=handle.needs_new_connection(),
                )
                self.attempts.start(call)
            else:  # it could not be kept
                handle.attempt_ended(now, Outcome.MOOT, handle.attempts - 1, receiver, 0, 0, True, ())
                self.handles.pop(number, None)
        for line in verdicts.log_lines:
            logger.info("{}", line)
        if verdicts.subscribe:
            self.ask_for_list()
        self.wake_at = verdicts.wake_at

    def _keep_fresh(self) -> None:
        """At a hand-over: what comes is recorded and answered; the next process decides on it."""
        for submission in self.fresh.values():
            self._keep(submission)
        self.fresh.clear()

    def _turn_away(self) -> None:
        for submission in self.fresh.values():
            self.numbers.pop(submission.message.id, None)
            submission.answered(AdmissionResult.BUSY)
        self.fresh.clear()
        if self.ending:
            self._end_near()

    def _end_near(self) -> None:
        """Danger: a call that hangs holds up the end of the process, and with it the ends of all else that is kept."""
        now = self.clock.now()
        limits = {
            number: self.store.messages[number].deadline - DEADLINE_MARGIN
            for number, handle in self.handles.items()
            if not handle.out and number in self.store.messages
        }
        for number, limit in limits.items():
            if limit <= now:
                self.handles[number].withdrawn(now)
                self._final(number, False, 0)
        self.wake_at = min((limit for limit in limits.values() if limit > now), default=None)

    def _take_none(self, now: int) -> None:
        """What came in this round is turned away, and the decisions forget it."""
        for number, submission in self.fresh.items():
            self.numbers.pop(submission.message.id, None)
            self.handles.pop(number).withdrawn(now)
            submission.answered(AdmissionResult.BUSY)
        self.fresh.clear()

    def _keep(self, submission: Submission) -> None:
        """The record first, then the answer; attempts may leave after that."""
        stored = submission.message
        if not self._recorded("a message", self.store.keep, stored):
            del self.numbers[stored.id]
            self.handles[stored.number].withdrawn(self.clock.now())
            if not self.handles[stored.number].out:
                del self.handles[stored.number]
            submission.answered(AdmissionResult.BUSY)
            return
        if self.store.awaited:
            self.after_flush.append((lambda: self._taken(submission), lambda: self._not_taken(submission)))
        else:
            self._taken(submission)

    def _taken(self, submission: Submission) -> None:
        if not self.store.may_fire(submission.message.number):
            # Danger: the right was lost in this round; then no copy was waited for.
            self._not_taken(submission)
            return
        self.counters.add("taken")
        submission.answered(AdmissionResult.KEPT)

    def _not_taken(self, submission: Submission) -> None:
        self._withdraw(submission.message)
        submission.answered(AdmissionResult.BUSY)

    def _flush(self) -> None:
        """With a durable folder: one fsync for all that this round has written, then what waits for it."""
        waiting, self.after_flush = self.after_flush, []
        try:
            self.store.flush(in_thread)
        except OSError as error:
            self.counters.trouble(
                "what was written does not last yet",
                error if isinstance(error, CedarwickError) else DiskError(str(error)),
            )
            for _, otherwise in waiting:
                otherwise()
            return
        for then, _ in waiting:
            then()

    def _final(self, number: int, nacked: bool, wait_ms: int, alone: bool = False) -> None:
        """The final answer of a kept message: recorded, then told until it is acknowledged.

        `alone`: without waiting for a copy, since none can be asked.
        """
        self.handles.pop(number, None)
        stored = self.store.messages.get(number)
        if stored is None:
            return
        self._recorded("the record of an end", self.store.ended, number, nacked, wait_ms)
        self.counters.add("nacked" if nacked else "written off")
        (self.counters.figures.dropped if nacked else self.counters.figures.bad_gateway)[stored.priority_class] += 1
        self.untold.discard(number)
        if self.store.by_copy and not alone:
            self.untold.add(number)
            self._post_once_copied(stored)
        else:
            self.notices.post(number, stored.id, nacked, wait_ms)

    def _post_once_copied(self, stored: StoredMessage) -> None:
        """Danger: told before a copy knows of it, the end would be followed by an attempt of whoever takes over."""

        def post() -> None:
            if not self.store.may_fire(stored.number):
                again()  # Danger: the right may be back in a moment, and nobody else would tell it then
            elif stored.end is not None and stored.number in self.store.messages and stored.number in self.untold:
                self.untold.discard(stored.number)
                self.notices.post(stored.number, stored.id, *stored.end)

        def again() -> None:
            if stored.number in self.store.messages and stored.number in self.untold:
                if self.clock.now() >= stored.deadline and self.store.may_fire(stored.number):
                    # Whoever takes over fires nothing any more, and says that it failed, too.
                    self._final(stored.number, False, 0, alone=True)
                    return
                self.after_flush.append((post, again))
                self.wake_at = min(self.wake_at or NEVER, self.clock.now() + LEASE_RECHECK_DELAY)

        self.after_flush.append((post, again))
