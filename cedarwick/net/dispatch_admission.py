"""Admission: which submissions are accepted, stored and answered, and which are refused.

A base class of `Dispatcher`; times are microseconds.
"""

from cedarwick.net.assignment import setting_index
from cedarwick.net.dispatch_sessions import Sessions
from cedarwick.net.submission import AdmissionResult, Submission
from cedarwick.store.records import StoredMessage

RECENT_ID_LIFETIME_US = 15_000_000  # for this long after a submission its id is not accepted again


class Admission(Sessions):
    """Accepts submissions, and withdraws them where the client has gone."""

    def _admit(self, submission: Submission) -> None:
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
        # A repeated id must not be sent again after its message ended, least of all with another body.
        copied = hash((stored.key, stored.turn, stored.priority_class, stored.tenant, stored.destination, stored.body))
        known = self.recent.get(stored.id)
        if known is not None or stored.id in self.numbers:
            same = known is not None and known[1] == copied and stored.id in self.numbers
            same = same and self.numbers[stored.id] not in self.new_submissions
            submission.answered(AdmissionResult.ACCEPTED if same else AdmissionResult.REPEATED)
            return
        while self.recent and next(iter(self.recent.values()))[0] < now - RECENT_ID_LIFETIME_US:
            del self.recent[next(iter(self.recent))]
        self.recent[stored.id] = now, copied
        if not self.store.has_room(stored):
            self.counters.add("turned away: no room in the folder")
            submission.answered(AdmissionResult.BUSY)
            return
        stored.number = number = self.store.next_number
        self.store.next_number += 1
        self.new_submissions[number] = submission
        self.numbers[stored.id] = number
        # Bound the time to live: an absurd one would take up room in the store for ever.
        stored.deadline = min(stored.deadline, now + self.sender.priority_classes[priority_class].deadline)
        self.handles[number] = self.sender.accept(
            now,
            number,
            stored.destination,
            priority_class,
            stored.deadline,
            setting_index(self.tenants, stored.tenant),
            stored.turn,
        )
        if stored.turn in self.keys_elsewhere and self.sender.priority_classes[priority_class].ordered:
            self.counters.add("messages that waited for others of their key elsewhere")
            self._let_rest(stored.turn)

    def _withdraw(self, stored: StoredMessage) -> None:
        self.leaving.discard(stored.number)
        if stored.number in self.store.inert:
            return  # it is on its way to another sender, who knows nothing of this
        self._end_unanswered(stored)

    def _store_new(self) -> None:
        """At a hand-over: store and answer new messages; the next process decides on them."""
        for submission in self.new_submissions.values():
            self._store_message(submission)
        self.new_submissions.clear()

    def _reject_new(self, now: int) -> None:
        """Refuse the submissions of this round, and withdraw them from the decisions."""
        for number, submission in self.new_submissions.items():
            self.numbers.pop(submission.message.id, None)
            self.handles.pop(number).withdrawn(now)
            submission.answered(AdmissionResult.BUSY)
        self.new_submissions.clear()

    def _store_message(self, submission: Submission) -> None:
        """Store a message, then answer its client; attempts may go only after that."""
        stored = submission.message
        if not self._recorded("a message", self.store.keep, stored):
            del self.numbers[stored.id]
            self.handles[stored.number].withdrawn(self.clock.now())
            if not self.handles[stored.number].in_flight:
                del self.handles[stored.number]
            submission.answered(AdmissionResult.BUSY)
            return
        if self.store.awaited:
            self.after_flush.append((lambda: self._accepted(submission), lambda: self._rejected(submission)))
        else:
            self._accepted(submission)

    def _accepted(self, submission: Submission) -> None:
        if not self.store.may_fire(submission.message.number):
            # The right to send was lost in this round, so no copy of the message was waited for.
            self._rejected(submission)
            return
        self.counters.add("taken")
        submission.answered(AdmissionResult.ACCEPTED)

    def _rejected(self, submission: Submission) -> None:
        self._withdraw(submission.message)
        submission.answered(AdmissionResult.BUSY)
