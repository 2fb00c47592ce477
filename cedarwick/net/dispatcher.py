"""The dispatcher: a single greenlet that owns the decisions and receives all events through one queue.

Each round of `Dispatcher.run` does the following:

1. Wait until the queue has an entry, or until the time for which the decisions asked to be called again.
2. Run all queued calls in order: submissions, results of attempts, endpoint list updates, acknowledged notices,
   sessions that arrive or leave.
3. Give or refuse clearance to the attempts that are about to be sent, after all results of this round.
4. Call the decisions once and carry out their verdicts: store or reject new messages, record final answers, start
   attempts. Once attempts are stopped, new messages are only stored or rejected.
5. With a durable store, flush all writes of the round once; then run the callbacks that waited for the flush.
6. Run one step of the store's own maintenance.

A call that raises is counted and logged, and the round continues. The queued calls are implemented in the base classes:
`dispatch_admission`, `dispatch_attempts`, `dispatch_sessions`, `dispatch_final_answers` and `dispatch_health`.
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

ERROR_BACKOFF_US = 100_000  # until the next round, so that a recurring error does not use up the CPU


def run_in_thread(call: Callable[..., None], *arguments: object) -> None:
    """Run a blocking call in the thread pool; only the calling greenlet waits, and gets its exceptions."""
    gevent.get_hub().threadpool.apply(call, arguments)


class Dispatcher(Admission, Attempts, FinalAnswers, ReceiverHealth):
    """Queues events and runs the decision rounds."""

    # ---- queue a call; these may be called from any greenlet ----

    def submit(self, submission: Submission) -> None:
        """Submit a client's message; `submission.answer` is set once it is rejected, or accepted and stored."""
        if self.ended:
            submission.set_answer(AdmissionResult.BUSY)
            return
        self.queue.put((self._admit, (submission,)))

    def withdraw(self, submission: Submission) -> None:
        """Drop a message whose client left before the answer was written; no attempt starts from now on."""
        self.withdrawing.add(submission.message.number)
        if self.ended:
            # The next process would send the message, of which the client is about to hear that it has no effect.
            self._guarded(self._withdraw, submission.message)
            return
        self.queue.put((self._withdraw, (submission.message,)))

    def request_clearance(self, call: AttemptCall) -> bool:
        """Whether the attempt may still be sent; if so, its record has been written."""
        answer: gevent.event.AsyncResult = gevent.event.AsyncResult()
        self.queue.put((self._request_clearance, (call, answer)))
        return bool(answer.get())

    def may_send(self, number: int) -> bool:
        """Whether an attempt may still be sent, asked right before its first byte.

        While the attempt's record was being written, the client may have left and submitted the same message elsewhere.
        """
        return number in self.store.messages and number not in self.withdrawing and self.store.may_send_attempt(number)

    def attempt_ended(self, call: AttemptCall, result: AttemptResult) -> None:
        """Report the result of an attempt that `_decide` started."""
        self.queue.put((self._attempt_ended, (call, result)))

    def completed_late(self, call: AttemptCall) -> None:
        """Report that the 200 of an attempt was read after its time-out had been reported."""
        self.queue.put((self._completed_late, (call,)))

    def apply_endpoint_update(self, change: EndpointUpdate, listings: Sequence[ListedEndpoint]) -> None:
        """Apply a full endpoint list, or changes to it."""
        self.queue.put((self._apply_endpoint_update, (change, listings)))

    def list_poll_failed(self) -> None:
        """Report a failed poll of the endpoint list; the decisions say when the next one is due."""
        self.queue.put((self._list_poll_failed, ()))

    def acknowledged(self, numbers: list[int]) -> None:
        """Report that the platform acknowledged the notices of these messages, which completes them."""
        self.queue.put((self._acknowledged, (numbers,)))

    def apply_retry_after(self, waits: list[tuple[int, int]]) -> None:
        """Apply Retry-After waits (receiver, until in microseconds) that are known apart from an attempt's result."""
        self.queue.put((self._apply_retry_after, (waits,)))

    def stop_attempts(self, store_new: bool = False, abandon_near_deadline: bool = False) -> None:
        """Start no further attempt, since the process ends soon; running attempts continue.

        Args:
            store_new: still store new messages, for the next process; otherwise they are rejected.
            abandon_near_deadline: other senders take over the stored messages; abandon those that reach their
                deadline before that.
        """
        self.queue.put((self._stop_attempts, (store_new, abandon_near_deadline)))

    def adopt(self, numbers: list[int], no_unrecorded_attempts: bool = False) -> None:
        """Resume work on stored messages, as after a restart, once this sender holds the lease to send them.

        `no_unrecorded_attempts`: all attempts of these messages are on record, so other order keys are not held.
        """
        self.queue.put((self._adopt, (numbers, no_unrecorded_attempts)))

    def key_hold_left_us(self, key: int) -> int:
        """For how many microseconds an order key is still held, since an earlier attempt of it may be running."""
        order_key_queues = self.sender.order_key_queues
        return max(
            0,
            order_key_queues.all_paused_until - self.clock.now(),
            order_key_queues.paused_until.get(key, 0) - self.clock.now(),
        )

    def is_ordered(self, priority_class: str) -> bool:
        """Whether messages of a priority class are delivered one after another within an order key."""
        return (
            priority_class in self.priority_classes
            and self.sender.priority_classes[self.priority_classes[priority_class]].ordered
        )

    def hold_keys(self, keys: frozenset[int]) -> None:
        """Hold these order keys, of which other senders have earlier messages, until a later call omits them."""
        self.queue.put((self._hold_keys, (keys,)))

    def park(self, numbers: list[int]) -> None:
        """Stop work on messages without a final answer, because this sender no longer holds their lease."""
        self.queue.put((self._park, (numbers,)))

    def freeze(self, key: int) -> gevent.event.AsyncResult:
        """Stop the attempts and the admission of a session; the result is set once none of its attempts is running."""
        frozen = FrozenSession()
        self.queue.put((self._freeze, (key, frozen)))
        return frozen.attempts_ended

    def abort_attempts(self, key: int) -> None:
        """Abort the running attempts of a frozen session and close their connections; they may have run."""
        self.queue.put((self._abort_attempts, (key,)))

    def unfreeze(self, key: int) -> None:
        """Accept messages of a frozen session again; its stored messages stay parked until they are adopted."""
        self.queue.put((self._unfreeze, (key,)))

    def end(self) -> None:
        """Return from `run` after one more round, which carries out all that is queued by then."""
        self.queue.put((self._end, ()))

    def run_in_dispatcher(self, call: Callable[[], bool]) -> gevent.event.AsyncResult:
        """Run a call in the dispatcher's greenlet while no flush runs; the result is False if it raises."""
        answer: gevent.event.AsyncResult = gevent.event.AsyncResult()
        self.queue.put((self._run_in_dispatcher, (call, answer)))
        return answer

    def abandon_parked(self, numbers: list[int]) -> None:
        """Abandon parked messages whose deadline is near and whose lease no sender is known to hold."""
        self.queue.put((self._abandon_parked, (numbers,)))

    def is_idle(self) -> bool:
        """Whether no attempt is running and no call is queued."""
        return not self.attempts.in_flight and self.queue.empty()

    # ---- the rounds, in the dispatcher's greenlet ----

    def run(self) -> None:
        """Run one round after another, up to the one that follows a call of `end`."""
        while not self.ended:
            self._wait()
            while not self.queue.empty():
                call, arguments = self.queue.get()
                self._guarded(call, *arguments)
            self._guarded(self._store_health)
            if self.clearance_requests:
                # Done after the queue is empty: a refusal read in this round may be queued behind a clearance request.
                requests, self.clearance_requests = self.clearance_requests, []
                for request in requests:
                    self._guarded(self._decide_clearance, *request)
                gevent.sleep(0)  # lets cleared attempts be sent before the rest of a long round
            self._guarded(
                self._decide if not self.attempts_stopped else self._store_new if self.storing_new else self._refuse_new
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
            # After a pause of the process, lets the sockets be read first: their data arrived before this wake-up.
            gevent.sleep(0)

    def _guarded(self, call: Callable[..., None], *arguments: Any) -> None:
        try:
            call(*arguments)
        except Exception:  # one failing event must not end the process, which still owes all other final answers
            self.counters.log_exception(f"the dispatcher failed in {call.__name__}")
            self.wake_at = self.clock.now() + ERROR_BACKOFF_US
            for argument in arguments:
                if isinstance(argument, gevent.event.AsyncResult) and not argument.ready():
                    argument.set(False)
                if isinstance(argument, Submission) and not argument.answer.ready():
                    argument.set_answer(AdmissionResult.BUSY)

    # ---- queued calls that are implemented here ----

    def _apply_endpoint_update(self, change: EndpointUpdate, listings: Sequence[ListedEndpoint]) -> None:
        self.sender.apply_endpoint_list(self.clock.now(), change, listings)
        self._apply_earlier_health(listings)

    def _list_poll_failed(self) -> None:
        self.sender.list_poll_failed(self.clock.now())

    def _apply_retry_after(self, waits: list[tuple[int, int]]) -> None:
        now = self.clock.now()
        for receiver, until in waits:
            self.sender.apply_retry_after(now, receiver, until)

    def _stop_attempts(self, store_new: bool = False, abandon_near_deadline: bool = False) -> None:
        self.attempts_stopped, self.storing_new, self.abandoning_near_deadline = True, store_new, abandon_near_deadline
        self.wake_at = None

    def _end(self) -> None:
        self.ended = True

    def _run_in_dispatcher(self, call: Callable[[], bool], answer: gevent.event.AsyncResult) -> None:
        answer.set(call())

    # ---- parts of a round ----

    def _decide(self) -> None:
        now = self.clock.now()
        if not self.store.may_answer():
            # After a pause of this process another sender may have taken over; avoid a second final answer.
            self.wake_at = now + LEASE_RECHECK_DELAY_US
            self._withdraw_new(now)
            return
        # An abandoned message takes up room until its notice is acknowledged. That room counts as free, or every round
        # would abandon more messages.
        self.sender.storable_messages = self.store.remaining_capacity() + len(self.notices.pending)
        verdicts = self.sender.decide(now)
        self._record_health(verdicts.health_changes)
        for number, wait in verdicts.nacks:
            submission = self.new_submissions.pop(number, None)
            if submission is None:
                self._record_final_answer(number, True, wait // 1000)
                continue
            del self.handles[number]
            self._forget_rejected(submission.message)
            self.counters.add("rejected at admission")
            submission.set_answer(AdmissionResult.BUSY, wait // 1000)
        for number in verdicts.abandoned:
            self._record_final_answer(number, False, 0)
        for submission in self.new_submissions.values():
            self._store_message(submission)
        self.new_submissions.clear()
        for receiver in verdicts.released_connections:
            self.release_connections(receiver)
        for number, receiver, timeout_us in verdicts.attempts:
            handle = self.handles[number]
            if number in self.store.messages:
                call = AttemptCall(
                    self.store.messages[number],
                    handle.attempts - 1,
                    receiver,
                    now,
                    now + timeout_us,
                    new_connection=handle.needs_new_connection(),
                    at_most_once=handle.priority_class.at_most_once,
                )
                self.attempts.start(call)
            else:  # the message could not be stored
                handle.attempt_ended(now, Outcome.MOOT, handle.attempts - 1, receiver, 0, 0, True, ())
                self.handles.pop(number, None)
        for line in verdicts.log_lines:
            logger.info("{}", line)
        if verdicts.subscribe:
            self.reopen_list_watch()
        self.wake_at = verdicts.wake_at

    def _sync_health(self) -> None:
        if self.health_file is not None:
            self.health_file.sync(run_in_thread)

    def _refuse_new(self) -> None:
        for submission in self.new_submissions.values():
            self._forget_rejected(submission.message)
            submission.set_answer(AdmissionResult.BUSY)
        self.new_submissions.clear()
        if self.abandoning_near_deadline:
            self._abandon_near_deadline()

    def _flush(self) -> None:
        """Flush the round's writes with one fsync, then run the callbacks that waited for it."""
        callbacks, self.after_flush = self.after_flush, []
        try:
            self.store.flush(run_in_thread)
        except OSError as error:
            self.counters.warning(
                "what was written does not last yet",
                error if isinstance(error, CedarwickError) else DiskError(str(error)),
            )
            for _, on_failure in callbacks:
                on_failure()
            return
        for on_success, _ in callbacks:
            on_success()
