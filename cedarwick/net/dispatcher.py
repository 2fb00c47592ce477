"""The dispatcher: one greenlet owns the decisions, and everything that happens reaches it through one queue.

A round of `Dispatcher.run`:

1. It waits until the queue has an entry, or until the time at which the decisions want to be called again.
2. Every queued call runs, in the order in which it came: submissions, results of attempts, changes of the endpoint
   list, acknowledged notices, sessions that come or leave.
3. Attempts that are about to be written to their connection are cleared or refused, after all results of this round.
4. The decisions are called once. Their verdicts are carried out: new messages are stored or turned away, final answers
   are recorded, attempts start. While no attempt may begin any more, new messages are only stored or turned away.
5. With a durable store, one flush covers all that the round has written; then what waited for it goes on.
6. The store does its own housekeeping, one step of it.

A call that raises is counted and logged, and the round goes on. What the queued calls do is in the base classes:
`dispatch_admission`, `dispatch_attempts`, `dispatch_sessions` and `dispatch_final_answers`.
"""

from collections.abc import Callable, Sequence
from typing import Any

import gevent
import gevent.event
import gevent.queue
from loguru import logger

from cedarwick.decisions.interface import EndpointUpdate, ListedEndpoint, Outcome
from cedarwick.errors import CedarwickError
from cedarwick.net.attempts import AttemptCall, AttemptResult
from cedarwick.net.dispatch_admission import Admission
from cedarwick.net.dispatch_attempts import Attempts
from cedarwick.net.dispatch_final_answers import FinalAnswers
from cedarwick.net.dispatch_state import LEASE_RECHECK_DELAY_US, FrozenSession
from cedarwick.net.submission import AdmissionResult, Submission
from cedarwick.store.files import DiskError

ERROR_BACKOFF_US = 100_000  # until the next round: an error that comes again must not fill the core


def in_thread(call: Callable[..., None], *arguments: object) -> None:
    """Run a blocking call in the thread pool: only the calling greenlet waits, and gets what the call raises."""
    gevent.get_hub().threadpool.apply(call, arguments)


class Dispatcher(Admission, Attempts, FinalAnswers):
    """Queues what happens, and runs the rounds that decide on it."""

    # ---- the queue in: callable from any greenlet ----

    def submit(self, submission: Submission) -> None:
        """A client hands a message in; `submission.answer` is set once that is decided and, if taken, stored."""
        self.queue.put((self._take, (submission,)))

    def withdraw(self, submission: Submission) -> None:
        """The client left before the answer was written: no attempt begins from now on, and the message is dropped."""
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
        """An attempt that `_decide` started has its result."""
        self.queue.put((self._attempt_ended, (call, ending)))

    def listed(self, change: EndpointUpdate, listings: Sequence[ListedEndpoint]) -> None:
        """The endpoint list was read anew, or some of its lines have changed."""
        self.queue.put((self._listed, (change, listings)))

    def list_poll_failed(self) -> None:
        """A call for the endpoint list failed; the decisions say when the next one is due."""
        self.queue.put((self._list_poll_failed, ()))

    def acknowledged(self, numbers: list[int]) -> None:
        """The platform has acknowledged the notices of these messages: nothing more is owed for them."""
        self.queue.put((self._acknowledged, (numbers,)))

    def heed(self, waits: list[tuple[int, int]]) -> None:
        """Retry-After waits, as (receiver, until when in microseconds): of early refusals, or of a replaced process."""
        self.queue.put((self._heed, (waits,)))

    def hold_fire(self, keeping: bool = False, ending: bool = False) -> None:
        """The end of the process is near: no attempt begins any more; those that are out go on.

        `keeping`: new messages are still stored, for the next process; else they are turned away.
        `ending`: other senders take over what is stored; what reaches its deadline before that is written off.
        """
        self.queue.put((self._hold_fire, (keeping, ending)))

    def adopt(self, numbers: list[int], quietly: bool = False) -> None:
        """Go on with stored messages, as after a restart: this sender has the right to.

        `quietly`: no attempt of their keys is out or in doubt beyond those in their records, so other keys need not
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
        """Earlier messages of these keys are owed elsewhere: later ones rest here until a call without the key."""
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
                call, arguments = self.queue.get()
                self._guarded(call, *arguments)
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

    def _guarded(self, call: Callable[..., None], *arguments: Any) -> None:
        try:
            call(*arguments)
        except Exception:  # one bad event must not end the process: all else is still owed
            self.counters.failed(f"the dispatcher failed in {call.__name__}")
            self.wake_at = self.clock.now() + ERROR_BACKOFF_US
            for thing in arguments:
                if isinstance(thing, gevent.event.AsyncResult) and not thing.ready():
                    thing.set(False)
                if isinstance(thing, Submission) and not thing.answer.ready():
                    thing.answered(AdmissionResult.BUSY)

    # ---- queued calls that only pass something on ----

    def _listed(self, change: EndpointUpdate, listings: Sequence[ListedEndpoint]) -> None:
        self.sender.listed(self.clock.now(), change, listings)

    def _list_poll_failed(self) -> None:
        self.sender.list_poll_failed(self.clock.now())

    def _heed(self, waits: list[tuple[int, int]]) -> None:
        now = self.clock.now()
        for receiver, until in waits:
            self.sender.heed(now, receiver, until)

    def _hold_fire(self, keeping: bool = False, ending: bool = False) -> None:
        self.holding_fire, self.keeping, self.ending = True, keeping, ending
        self.wake_at = None

    def _between(self, call: Callable[[], bool], answer: gevent.event.AsyncResult) -> None:
        answer.set(call())

    # ---- what the round decides ----

    def _decide(self) -> None:
        now = self.clock.now()
        if not self.store.deciding():
            # Danger: after a stop of this process another sender may answer for what is held; ours would be a second.
            self.wake_at = now + LEASE_RECHECK_DELAY_US
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
            self.counters.add("rejected at admission")
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

    def _turn_away(self) -> None:
        for submission in self.fresh.values():
            self.numbers.pop(submission.message.id, None)
            submission.answered(AdmissionResult.BUSY)
        self.fresh.clear()
        if self.ending:
            self._end_near()

    def _flush(self) -> None:
        """With a durable folder: one fsync for all that this round has written, then what waits for it."""
        waiting, self.after_flush = self.after_flush, []
        try:
            self.store.flush(in_thread)
        except OSError as error:
            self.counters.warning(
                "what was written does not last yet",
                error if isinstance(error, CedarwickError) else DiskError(str(error)),
            )
            for _, otherwise in waiting:
                otherwise()
            return
        for then, _ in waiting:
            then()
