"""Final answers of stored messages: recorded, in a fleet copied to other senders, then posted as notices.

A base class of `Dispatcher`; times are microseconds.
"""

from cedarwick.decisions.state import NEVER
from cedarwick.net.dispatch_state import LEASE_RECHECK_DELAY_US, DispatcherState
from cedarwick.store.records import StoredMessage

# When a process ends and others take over, it abandons a message this long before the message's deadline.
DEADLINE_MARGIN_US = 50_000


class FinalAnswers(DispatcherState):
    """Ends messages that get no further attempt."""

    def _record_final_answer(self, number: int, rejected: bool, wait_ms: int, without_copy: bool = False) -> None:
        """Record the final answer of a stored message, then post it until it is acknowledged.

        `without_copy`: do not wait for a copy, since no other sender can be asked for one.
        """
        self.handles.pop(number, None)
        stored = self.store.messages.get(number)
        if stored is None:
            return
        self._write_record("the record of an end", self.store.record_final_answer, number, rejected, wait_ms)
        self._trace_end(stored, "returned" if rejected else "failed", "no copy asked" if without_copy else "decided")
        self.counters.add("rejected" if rejected else "abandoned")
        (self.counters.metrics.dropped if rejected else self.counters.metrics.bad_gateway)[stored.priority_class] += 1
        self.uncopied_ends.discard(number)
        if self.store.ack_after_replication and not without_copy:
            self.uncopied_ends.add(number)
            self._post_after_replication(stored)
        else:
            self.notices.enqueue(number, stored.id, rejected, wait_ms)

    def _post_after_replication(self, stored: StoredMessage) -> None:
        """Post the final answer once another sender has a copy of it.

        Without the copy, a sender that takes over could make another attempt after the answer was posted.
        """

        def post() -> None:
            if not self.store.may_send_attempt(stored.number):
                retry()  # the lease may be held again soon, and then no other sender would post the answer
            elif (
                stored.final_answer is not None
                and stored.number in self.store.messages
                and stored.number in self.uncopied_ends
            ):
                self.uncopied_ends.discard(stored.number)
                self.notices.enqueue(stored.number, stored.id, *stored.final_answer)

        def retry() -> None:
            if stored.number in self.store.messages and stored.number in self.uncopied_ends:
                if self.clock.now() >= stored.deadline and self.store.may_send_attempt(stored.number):
                    # After the deadline, a sender that takes over makes no attempt either and also reports a failure.
                    self._record_final_answer(stored.number, False, 0, without_copy=True)
                    return
                self.after_flush.append((post, retry))
                self.wake_at = min(self.wake_at or NEVER, self.clock.now() + LEASE_RECHECK_DELAY_US)

        self.after_flush.append((post, retry))

    def _abandon_parked(self, numbers: list[int]) -> None:
        for number in numbers:
            stored = self.store.messages.get(number)
            if stored is None or number in self.handles or number in self.notices.pending:
                continue
            if stored.final_answer is None or number in self.uncopied_ends:
                self.counters.warning("a message ends that nobody may fire for", number)
                self._record_final_answer(number, False, 0, without_copy=True)
            else:
                self.notices.enqueue(number, stored.id, *stored.final_answer)

    def _acknowledged(self, numbers: list[int]) -> None:
        for number in numbers:
            if number in self.store.messages:
                self._trace_notice(self.store.messages[number])
                self._delete_message(self.store.messages[number])

    def _abandon_near_deadline(self) -> None:
        """Abandon messages that reach their deadline before another sender can take them over.

        A single call that hangs delays the end of the process; meanwhile other messages could reach their deadline.
        """
        now = self.clock.now()
        abandon_at = {
            number: self.store.messages[number].deadline - DEADLINE_MARGIN_US
            for number, handle in self.handles.items()
            if not handle.in_flight and number in self.store.messages
        }
        for number, at in abandon_at.items():
            if at <= now:
                self.handles[number].withdrawn(now)
                self._record_final_answer(number, False, 0)
        self.wake_at = min((at for at in abandon_at.values() if at > now), default=None)
