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
from cedarwick.net.dispatch_health import ReceiverHealth
from cedarwick.net.dispatch_state import LEASE_RECHECK_DELAY_US, FrozenSession
from cedarwick.net.submission import AdmissionResult, Submission
from cedarwick.store.files import DiskError

ERROR_BACKOFF_US = 100_000  # until the next round: an error that comes again must not fill the core


def in_thread(call: Callable[..., None], *arguments: object) -> None:
    """Run a blocking call in the thread pool: only the calling greenlet waits, and gets what the call raises."""
    gevent.get_hub().threadpool.apply(call, arguments)


class Dispatcher(Admission, Attempts, FinalAnswers, ReceiverHealth):
    """Queues what happens, and runs the rounds that decide on it."""

    # ---- the queue in: callable from any greenlet ----

    def submit(self, submission: Submission) -> None:
        """A client hands a message in; `submission.answer` is set once that is decided and, if taken, stored."""
        self.queue.put((self._admit, (submission,)))

    def withdraw(self, submission: Submission) -> None:
        """The client left before the answer was written: no attempt begins from now on, and the message is dropped."""
        self.leaving.add(submission.message.number)
        self.queue.put((self._withdraw, (submission.message,)))

    def clear(self, call: AttemptCall) -> bool:
        """Whether the attempt may still go out; its record is written then."""
        answer: gevent.event.AsyncResult = gevent.event.AsyncResult()
        self.queue.put((self._request_clearance, (call, answer)))
        return bool(answer.get())

    def may_fire(self, number: int) -> bool:
        """Whether an attempt may still go; asked right before its first byte.

        While the attempt's record was being written, the client may have left and submitted the same message elsewhere.
        """
        return number in self.store.messages and number not in self.leaving and self.store.may_fire(number)

    def attempt_ended(self, call: AttemptCall, ending: AttemptResult) -> None:
        """An attempt that `_decide` started has its result."""
        self.queue.put((self._attempt_ended, (call, ending)))

    def completed_late(self, call: AttemptCall) -> None:
        """The good answer of an attempt was read after its time-out had been reported."""
        self.queue.put((self._completed_late, (call,)))

    def listed(self, change: EndpointUpdate, listings: Sequence[ListedEndpoint]) -> None:
        """Pass on a full endpoint list, or changes of it."""
        self.queue.put((self._listed, (change, listings)))

    def list_poll_failed(self) -> None:
        """Report a failed call for the endpoint list; the decisions say when the next one is due."""
        self.queue.put((self._list_poll_failed, ()))

    def acknowledged(self, numbers: list[int]) -> None:
        """The platform has acknowledged the notices of these messages: nothing more is due for them."""
        self.queue.put((self._acknowledged, (numbers,)))

    def apply_retry_after(self, waits: list[tuple[int, int]]) -> None:
        """Apply Retry-After waits (receiver, until in microseconds), known early or from a replaced process."""
        self.queue.put((self._apply_retry_after, (waits,)))

    def hold_fire(self, keeping: bool = False, ending: bool = False) -> None:
        """Start no attempt from now on, since the process ends soon; running ones go on.

        `keeping`: new messages are still stored, for the next process; otherwise they are refused.
        `ending`: other senders take over the stored messages; those that reach their deadline before are written off.
        """
        self.queue.put((self._hold_fire, (keeping, ending)))

    def adopt(self, numbers: list[int], quietly: bool = False) -> None:
        """Go on with stored messages, as after a restart, once this sender has the right to send them.

        `quietly`: apart from the recorded attempts none of their keys can be running, so other keys need not rest.
        """
        self.queue.put((self._adopt, (numbers, quietly)))

    def rest_of(self, key: int) -> int:
        """For how many microseconds a key still rests here, since an earlier attempt of it may be running."""
        order_key_queues = self.sender.order_key_queues
        return max(
            0,
            order_key_queues.all_paused_until - self.clock.now(),
            order_key_queues.paused_until.get(key, 0) - self.clock.now(),
        )

    def ordered(self, priority_class: str) -> bool:
        """Whether messages of a priority class go one after another within a key."""
        return (
            priority_class in self.priority_classes
            and self.sender.priority_classes[self.priority_classes[priority_class]].ordered
        )

    def rest(self, keys: frozenset[int]) -> None:
        """Set the keys of which another sender has earlier messages: they rest here, until a later set omits them."""
        self.queue.put((self._rest, (keys,)))

    def park(self, numbers: list[int]) -> None:
        """Stop work on messages, without a final answer: this sender has lost the right to send them."""
        self.queue.put((self._park, (numbers,)))

    def freeze(self, key: int) -> gevent.event.AsyncResult:
        """Stop attempts and admission of a session; the result is set once no attempt of it is running."""
        frozen = FrozenSession()
        self.queue.put((self._freeze, (key, frozen)))
        return frozen.still

    def cut(self, key: int) -> None:
        """Abort the running attempts of a frozen session and close their connections; they may have run."""
        self.queue.put((self._cut, (key,)))

    def thaw(self, key: int) -> None:
        """Accept messages of a frozen session again; its stored messages wait until they are adopted."""
        self.queue.put((self._thaw, (key,)))

    def between(self, call: Callable[[], bool]) -> gevent.event.AsyncResult:
        """Make a call in the dispatcher's greenlet, while no flush runs; gives its result, False if it raises."""
        answer: gevent.event.AsyncResult = gevent.event.AsyncResult()
        self.queue.put((self._between, (call, answer)))
        return answer

    def answer_late(self, numbers: list[int]) -> None:
        """Write parked messages off: their deadline is near, and no sender is known to have the right to them."""
        self.queue.put((self._answer_late, (numbers,)))

    def idle(self) -> bool:
        """Whether no attempt is running and no call is queued."""
        return not self.attempts.in_flight and self.queue.empty()

    # ---- the one greenlet ----

    def run(self) -> None:
        """Never returns: one round after another."""
        while True:
            self._wait()
            while not self.queue.empty():
                call, arguments = self.queue.get()
                self._guarded(call, *arguments)
            self._guarded(self._store_health)
            if self.clearance_requests:
                # Cleared only now: a refusal read in this round may have been queued behind the request for clearance.
                requests, self.clearance_requests = self.clearance_requests, []
                for each in requests:
                    self._guarded(self._clear, *each)
                gevent.sleep(0)  # cleared attempts go now, not after a long round
            self._guarded(
                self._decide if not self.holding_fire else self._store_new if self.keeping else self._turn_away
            )
            if self.after_flush:
                self._guarded(self._flush)
            self._guarded(self._sync_health)
            self._guarded(self.store.step)

    def _wait(self) -> None:
        wait = None if self.wake_at is None else max(0, self.wake_at - self.clock.now()) / 1_000_000
        try:
            self.queue.peek(timeout=wait)
        except gevent.queue.Empty:
            # After a pause of the process, read what is waiting in the sockets first: it came before this wake-up.
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
        self.sender.apply_endpoint_list(self.clock.now(), change, listings)
        self._apply_earlier_health(listings)

    def _list_poll_failed(self) -> None:
        self.sender.list_poll_failed(self.clock.now())

    def _apply_retry_after(self, waits: list[tuple[int, int]]) -> None:
        now = self.clock.now()
        for receiver, until in waits:
            self.sender.apply_retry_after(now, receiver, until)

    def _hold_fire(self, keeping: bool = False, ending: bool = False) -> None:
        self.holding_fire, self.keeping, self.ending = True, keeping, ending
        self.wake_at = None

    def _between(self, call: Callable[[], bool], answer: gevent.event.AsyncResult) -> None:
        answer.set(call())

    # ---- what the round decides ----

    def _decide(self) -> None:
        now = self.clock.now()
        if not self.store.deciding():
            # After a pause of this process another sender may have taken over: do not give a second final answer.
            self.wake_at = now + LEASE_RECHECK_DELAY_US
            self._reject_new(now)
            return
        # A message that was given up takes room until its notice is acknowledged; without counting that room as free,
        # every round would give up more.
        self.sender.storable_messages = self.store.room_for() + len(self.notices.pending)
        verdicts = self.sender.decide(now)
        self._record_health(verdicts.health_changes)
        for number, wait in verdicts.nacks:
            submission = self.new_submissions.pop(number, None)
            if submission is None:
                self._final(number, True, wait // 1000)
                continue
            del self.handles[number], self.numbers[submission.message.id]
            self.counters.add("rejected at admission")
            submission.answered(AdmissionResult.BUSY, wait // 1000)
        for number in verdicts.abandoned:
            self._final(number, False, 0)
        for submission in self.new_submissions.values():
            self._store_message(submission)
        self.new_submissions.clear()
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
            else:  # it could not be stored
                handle.attempt_ended(now, Outcome.MOOT, handle.attempts - 1, receiver, 0, 0, True, ())
                self.handles.pop(number, None)
        for line in verdicts.log_lines:
            logger.info("{}", line)
        if verdicts.subscribe:
            self.ask_for_list()
        self.wake_at = verdicts.wake_at

    def _sync_health(self) -> None:
        if self.health_file is not None:
            self.health_file.sync(in_thread)

    def _turn_away(self) -> None:
        for submission in self.new_submissions.values():
            self.numbers.pop(submission.message.id, None)
            submission.answered(AdmissionResult.BUSY)
        self.new_submissions.clear()
        if self.ending:
            self._end_near()

    def _flush(self) -> None:
        """With a durable store: one fsync for all that this round has written, then the calls that waited for it."""
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
