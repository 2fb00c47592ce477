"""The source side of a session's migration (move).

The methods carry out the steps that `MigrationTable` returns; those that wait run in their own greenlets. Timeouts are
in seconds; `now` is in microseconds of the boot clock.
"""

import gevent
import gevent.event

from cedarwick.errors import CedarwickError
from cedarwick.fleet.consensus import (
    parse_move_name,
)
from cedarwick.fleet.limits import US_PER_S
from cedarwick.fleet.messages import (
    MAX_MESSAGE_BYTES,
    RecentIdEntry,
    StageReply,
    StageSession,
    digest_of,
)
from cedarwick.fleet.migration_state import SOURCE_MARK, STAGE_TIMEOUT_S, MigrationState
from cedarwick.fleet.migration_table import (
    FREEZE_TIMEOUT_US,
    MigrationStep,
)
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.replication_facts import Fact, encode_facts

RELEASE_RETRY_S = 1.0  # seconds until the failed release of a session is retried
ABORT_TIMEOUT_S = 0.1  # seconds for which the source waits for aborted attempts to end
RECENT_IDS_BYTES = 1 << 17  # bytes of the peer message that are reserved for the recent ids of a session
MAX_STAGED_BYTES = MAX_MESSAGE_BYTES - RECENT_IDS_BYTES  # bytes of a session's encoded messages
MAX_STAGED_IDS = 1 << 12  # recent ids that are sent with a session


class SessionTooLargeError(CedarwickError):
    """The messages of a session do not fit into one peer message, so the session cannot be moved."""

    code = "CW754"
    remedy = "wait until some of the session's messages have ended; until then it stays where it is"


class MigrationSource(MigrationState):
    """Freezes, marks, offers and releases the sessions that this member moves away."""

    def _freeze_session(self, name: str) -> None:
        """Stop new attempts of the session and wait for running ones; abort them after `FREEZE_TIMEOUT_US`."""
        key = self._session_key(name)
        no_attempts = self.dispatcher.freeze(key)
        if not no_attempts.wait(FREEZE_TIMEOUT_US / US_PER_S):
            self.dispatcher.abort_attempts(key)
            no_attempts.wait(ABORT_TIMEOUT_S)
        self.carry_out(self.migration_table.on_attempts_ended(name, monotonic_time()))

    def _mark_messages(self, name: str) -> None:
        """Mark the pending messages as inert, in the folder and at all successors; on failure, call the move off."""
        key = self._session_key(name)
        self.dispatcher.abort_attempts(key)
        # Waits for one dispatcher round, so that the ends of aborted attempts are recorded before the marks.
        self.dispatcher.run_in_dispatcher(lambda: True).get()
        partitions: set[int] = set()
        marked = self.dispatcher.run_in_dispatcher(lambda: self._write_marks(name, key, partitions)).get()
        if marked and self._wait_until_replicated(partitions):
            self.carry_out(self.migration_table.on_marked(name, monotonic_time()))
        else:
            self.carry_out(self.migration_table.call_off(name, monotonic_time()))

    def _write_marks(self, name: str, key: int, partitions: set[int]) -> bool:
        """Mark the pending messages in the folder, and add their partitions to `partitions`; False if it cannot."""
        pending = [
            stored
            for stored in self.store.messages.values()
            if stored.order_key == key and stored.final_answer is None and stored.number not in self.store.migrating
        ]
        if not self.store.accepts_messages() or not all(
            self.store.may_send_attempt(stored.number) for stored in pending
        ):
            return False
        sequence, text = self.session_sequences[name], SOURCE_MARK + name
        if pending:
            self.files.write_marks(self.store.migrating | {stored.number: (sequence, text) for stored in pending})
        for stored in pending:
            self.store.set_move_mark(stored.number, sequence, text)
        partitions.update(stored.number >> 32 for stored in pending)
        return True

    def _offer_session(self, name: str) -> None:
        """Send the marked messages and the recent ids to the target; if the target refuses, call the move off."""
        offer = self._session_offer(name)
        if offer is None:
            self.carry_out(self.migration_table.call_off(name, monotonic_time()))
            return
        answer = self.call(parse_move_name(name)[2], offer, STAGE_TIMEOUT_S)
        if isinstance(answer, StageReply):
            now = monotonic_time()
            if not answer.stored:
                self.counters.add("moves refused by the target")
            self.carry_out(
                self.migration_table.on_staged(name, now) if answer.stored else self.migration_table.call_off(name, now)
            )

    def _session_offer(self, name: str) -> StageSession | None:
        """The session in the form that is sent to the target; None if it cannot be moved."""
        key = self._session_key(name)
        facts: list[Fact] = []
        for number in self._marked_messages(name, SOURCE_MARK):
            fact = self.store.leased_partitions[number >> 32].read_fact(self.store, number)
            if fact is None or fact.base is None:
                return None
            facts.append(fact)
        data = encode_facts(facts)
        if len(data) > MAX_STAGED_BYTES:
            self.counters.warning(
                "a session stays", SessionTooLargeError(f"{len(facts)} messages of session {key:016x}")
            )
            return None
        ids = self.directory.recent_ids(key, monotonic_time())
        if len(ids) > MAX_STAGED_IDS:
            return None
        entries = tuple(RecentIdEntry(each, age, hashed) for each, (age, hashed) in ids.items())
        rest_us = self.dispatcher.key_hold_left_us(key)
        return StageSession(name, key, self.session_sequences[name], data, digest_of(data), entries, rest_us)

    def _start_forwarding(self, step: MigrationStep) -> None:
        """Record the target as the holder and thaw the session, so that its requests are forwarded."""
        key, now = self._session_key(step.move), monotonic_time()
        if self._began_here(step.move):
            self.directory.record_new_holder(key, step.to, self.session_sequences[step.move] + 1, now)
            self.planner.note_end(key, True, now)
            self.dispatcher.unfreeze(key)
            self.counters.add("sessions given away")
        self.notify_change()

    def _release_session(self, name: str) -> None:
        """Resume the messages here after the move was called off; retries until that succeeds."""
        key, now, began_here = self._session_key(name), monotonic_time(), self._began_here(name)
        # If the file cannot be written now, giving up would leave the messages inert and the session frozen forever.
        while not self.dispatcher.run_in_dispatcher(lambda: self._clear_source_marks(name, key, began_here, now)).get():
            gevent.sleep(RELEASE_RETRY_S)
        if began_here:
            self.planner.note_end(key, False, monotonic_time())
        self.counters.add("moves called off")

    def _clear_source_marks(self, name: str, key: int, began_here: bool, now: int) -> bool:
        """Clear the marks of a move that was called off, and resume the session's messages."""
        numbers = self._marked_messages(name, SOURCE_MARK)
        sequence = self._session_sequence(name, numbers) + 1
        # A holder that adopted these messages without the marks may have ended some of them, and lost their notices
        # when the marks arrived. The dispatcher itself posts the notices that wait until a copy has their end.
        ended = {
            number for number in numbers if self.store.messages[number].final_answer
        } - self.dispatcher.uncopied_ends
        self._save_marks_without(numbers)
        for number in numbers:
            self.store.set_move_mark(number, sequence, "")
        if began_here:
            session = self.directory.sessions.get(key)
            if session is not None:
                self.directory.hold(
                    key, max(sequence, session.sequence), self.directory.recent_ids(key, now), now, session.is_certain
                )
            self.dispatcher.unfreeze(key)
        pending = [
            stored.number
            for stored in self.store.messages.values()
            if (stored.order_key == key and stored.final_answer is None or stored.number in ended)
            and self.store.may_send_attempt(stored.number)
        ]
        self.dispatcher.adopt(pending, no_unrecorded_attempts=True)
        return True

    def _discard_at_source(self, name: str) -> None:
        """Discard the messages here, because the target is active."""
        self.dispatcher.run_in_dispatcher(lambda: self._discard_messages(name, SOURCE_MARK)).get()
