"""Admission: accepts, stores and answers submissions, or rejects them.

A base class of `Dispatcher`; times are microseconds.
"""

import zlib

from cedarwick.net.assignment import setting_index
from cedarwick.net.dispatch_sessions import Sessions
from cedarwick.net.submission import AdmissionResult, Submission
from cedarwick.store.records import StoredMessage


class Admission(Sessions):
    """Accepts submissions, and withdraws those whose client has disconnected."""

    def _admit(self, submission: Submission) -> None:
        stored = submission.message
        priority_class = self.priority_classes.get(stored.priority_class)
        if priority_class is None:
            submission.set_answer(AdmissionResult.UNKNOWN_PRIORITY_CLASS)
            return
        if stored.destination not in self.sender.destinations:
            self.counters.add("turned away: a destination that nobody listed")
            submission.set_answer(AdmissionResult.UNKNOWN_DESTINATION)
            return
        now = self.clock.now()
        if stored.order_key in self.frozen:
            submission.set_answer(AdmissionResult.FROZEN)
            return
        # A repeated id must not be sent again after its message has ended, least of all with a different body.
        self.recent_ids.expire(now)
        if stored.id in self.recent_ids or stored.id in self.numbers_by_id:
            is_duplicate = self._is_stored(stored)
            submission.set_answer(AdmissionResult.ACCEPTED if is_duplicate else AdmissionResult.REPEATED)
            return
        if self.recent_ids.is_full():
            self.counters.add("turned away: too many recent ids")
            submission.set_answer(AdmissionResult.BUSY)
            return
        if not self.store.has_room(stored):
            self.counters.add("turned away: no room in the folder")
            submission.set_answer(AdmissionResult.BUSY)
            return
        self.recent_ids.add(stored.id, now)
        stored.number = number = self.store.next_number
        self.store.next_number += 1
        self.new_submissions[number] = submission
        self.numbers_by_id[stored.id] = number
        # Limit the time to live: an extremely long one would occupy the store forever.
        stored.deadline = min(stored.deadline, now + self.sender.priority_classes[priority_class].deadline)
        self.handles[number] = self.sender.accept(
            now,
            number,
            stored.destination,
            priority_class,
            stored.deadline,
            setting_index(self.tenants, stored.tenant),
            stored.order_key,
        )
        if stored.order_key in self.keys_elsewhere and self.sender.priority_classes[priority_class].ordered:
            self.counters.add("messages that waited for others of their key elsewhere")
            self._hold_key(stored.order_key)

    def _is_stored(self, repeated: StoredMessage) -> bool:
        """Whether a message with the same id and contents is stored and not finished."""
        stored = self.store.messages.get(self.numbers_by_id.get(repeated.id, 0))
        body = repeated.body or b""
        return stored is not None and all(
            (
                stored.key == repeated.key,
                stored.order_key == repeated.order_key,
                stored.priority_class == repeated.priority_class,
                stored.tenant == repeated.tenant,
                stored.destination == repeated.destination,
                stored.body_size == len(body),
                stored.body_checksum == zlib.crc32(body),
            )
        )

    def _forget_rejected(self, stored: StoredMessage) -> None:
        """Forget the id of a message that was admitted, but not stored: it can't have run."""
        self.numbers_by_id.pop(stored.id, None)
        self.recent_ids.discard(stored.id)

    def _withdraw(self, stored: StoredMessage) -> None:
        self.withdrawing.discard(stored.number)
        if stored.number in self.store.migrating:
            return  # it is migrating to another sender, which does not learn of the withdrawal
        self._end_without_notice(stored)

    def _store_new(self) -> None:
        """During a hand-over: store and answer new messages; the next process decides on them."""
        for submission in self.new_submissions.values():
            self._store_message(submission)
        self.new_submissions.clear()

    def _withdraw_new(self, now: int) -> None:
        """Reject the submissions of this round and withdraw them from the decisions."""
        for number, submission in self.new_submissions.items():
            self._forget_rejected(submission.message)
            self.handles.pop(number).withdrawn(now)
            submission.set_answer(AdmissionResult.BUSY)
        self.new_submissions.clear()

    def _store_message(self, submission: Submission) -> None:
        """Store a message, then answer its client; attempts may be sent only after that."""
        stored = submission.message
        if not self._write_record("a message", self.store.add_message, stored):
            self._forget_rejected(stored)
            self.handles[stored.number].withdrawn(self.clock.now())
            if not self.handles[stored.number].in_flight:
                del self.handles[stored.number]
            submission.set_answer(AdmissionResult.BUSY)
            return
        if self.store.answers_wait_for_flush:
            self.after_flush.append(
                (lambda: self._accept_stored(submission), lambda: self._reject_unflushed(submission))
            )
        else:
            self._accept_stored(submission)

    def _accept_stored(self, submission: Submission) -> None:
        if not self.store.may_send_attempt(submission.message.number):
            # The lease was lost in this round, so the flush did not wait for a copy of the message.
            self._reject_unflushed(submission)
            return
        self.counters.add("taken")
        submission.set_answer(AdmissionResult.ACCEPTED)

    def _reject_unflushed(self, submission: Submission) -> None:
        self._withdraw(submission.message)
        submission.set_answer(AdmissionResult.BUSY)
