"""Final answers of stored messages: recorded, copied to other senders where there are any, then posted as notices.

A base class of `Dispatcher`; times are microseconds.
"""

from cedarwick.decisions.state import NEVER
from cedarwick.net.dispatch_state import LEASE_RECHECK_DELAY_US, DispatcherState
from cedarwick.store.records import StoredMessage

# At the end of a process from which others take over, a message is written off this long before its deadline.
DEADLINE_MARGIN_US = 50_000


class FinalAnswers(DispatcherState):
    """Ends messages that get no further attempt."""

    def _final(self, number: int, rejected: bool, wait_ms: int, alone: bool = False) -> None:
        """The final answer of a stored message: recorded, then posted until it is acknowledged.

        `alone`: without waiting for a copy, since none can be asked.
        """
        self.handles.pop(number, None)
        stored = self.store.messages.get(number)
        if stored is None:
            return
        self._recorded("the record of an end", self.store.ended, number, rejected, wait_ms)
        self._trace_end(stored, "returned" if rejected else "failed", "no copy asked" if alone else "decided")
        self.counters.add("rejected" if rejected else "abandoned")
        (self.counters.figures.dropped if rejected else self.counters.figures.bad_gateway)[stored.priority_class] += 1
        self.uncopied_ends.discard(number)
        if self.store.by_copy and not alone:
            self.uncopied_ends.add(number)
            self._post_once_copied(stored)
        else:
            self.notices.enqueue(number, stored.id, rejected, wait_ms)

    def _post_once_copied(self, stored: StoredMessage) -> None:
        """Post the final answer once another sender has a copy of it.

        If it were posted earlier, a sender that takes over could still make an attempt after it.
        """

        def post() -> None:
            if not self.store.may_fire(stored.number):
                again()  # the right may be back soon, and then nobody else would post it
            elif (
                stored.end is not None and stored.number in self.store.messages and stored.number in self.uncopied_ends
            ):
                self.uncopied_ends.discard(stored.number)
                self.notices.enqueue(stored.number, stored.id, *stored.end)

        def again() -> None:
            if stored.number in self.store.messages and stored.number in self.uncopied_ends:
                if self.clock.now() >= stored.deadline and self.store.may_fire(stored.number):
                    # After the deadline a sender that takes over makes no attempt either, and reports a failure too.
                    self._final(stored.number, False, 0, alone=True)
                    return
                self.after_flush.append((post, again))
                self.wake_at = min(self.wake_at or NEVER, self.clock.now() + LEASE_RECHECK_DELAY_US)

        self.after_flush.append((post, again))

    def _answer_late(self, numbers: list[int]) -> None:
        for number in numbers:
            stored = self.store.messages.get(number)
            if stored is None or number in self.handles or number in self.notices.pending:
                continue
            if stored.end is None or number in self.uncopied_ends:
                self.counters.warning("a message ends that nobody may fire for", number)
                self._final(number, False, 0, alone=True)
            else:
                self.notices.enqueue(number, stored.id, *stored.end)

    def _acknowledged(self, numbers: list[int]) -> None:
        for number in numbers:
            if number in self.store.messages:
                self._trace_notice(self.store.messages[number])
                self._over(self.store.messages[number])

    def _end_near(self) -> None:
        """Write off what reaches its deadline before another sender can go on with it.

        One hanging call delays the end of the process, and other messages could reach their deadline meanwhile.
        """
        now = self.clock.now()
        limits = {
            number: self.store.messages[number].deadline - DEADLINE_MARGIN_US
            for number, handle in self.handles.items()
            if not handle.in_flight and number in self.store.messages
        }
        for number, limit in limits.items():
            if limit <= now:
                self.handles[number].withdrawn(now)
                self._final(number, False, 0)
        self.wake_at = min((limit for limit in limits.values() if limit > now), default=None)
