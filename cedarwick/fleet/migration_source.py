"""The source side of a session's migration (move).

Its methods carry out the steps that `MigrationTable` returns, each in a greenlet of its own where it waits. Spans that
are waited for are seconds; `now` is microseconds of the boot clock.
"""

import gevent
import gevent.event

from cedarwick.errors import CedarwickError
from cedarwick.fleet.consensus import (
    parts,
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

RELEASE_RETRY_S = 1.0  # seconds until the release of a session is tried again where it failed
CUT_OFF_TIMEOUT_S = 0.1  # seconds in which attempts that were cut off end
RECENT_IDS_BYTES = 1 << 17  # of the peer message with a staged session, kept free for its recent ids
MAX_STAGED_BYTES = MAX_MESSAGE_BYTES - RECENT_IDS_BYTES  # of the session's facts
MAX_STAGED_IDS = 1 << 12  # recent ids that go along with a session, at most


class SessionTooLargeError(CedarwickError):
    """A session's messages do not fit one peer message, so that it cannot be moved."""

    code = "CW754"
    remedy = "wait until some of the session's messages have ended; until then it stays where it is"


class MigrationSource(MigrationState):
    """Freezes, marks, offers and releases a session that is held here."""

    def _freeze(self, name: str) -> None:
        """Stop new attempts of the session, and wait for those that are out; cut them off after `FREEZE_TIMEOUT_US`."""
        key = self._key(name)
        still = self.dispatcher.freeze(key)
        if not still.wait(FREEZE_TIMEOUT_US / US_PER_S):
            self.dispatcher.cut(key)
            still.wait(CUT_OFF_TIMEOUT_S)
        self.carry_out(self.moves.attempts_ended(name, monotonic_time()))

    def _mark(self, name: str) -> None:
        """Mark the pending messages as inert, in the folder and at all successors; call the move off on a failure."""
        key = self._key(name)
        self.dispatcher.cut(key)
        # So that the ends of attempts that were cut off are recorded before the marks.
        self.dispatcher.between(lambda: True).get()
        partitions: set[int] = set()
        marked = self.dispatcher.between(lambda: self._write_marks(name, key, partitions)).get()
        if marked and self._copied(partitions):
            self.carry_out(self.moves.marked(name, monotonic_time()))
        else:
            self.carry_out(self.moves.call_off(name, monotonic_time()))

    def _write_marks(self, name: str, key: int, partitions: set[int]) -> bool:
        """Mark the pending messages in the own folder, and add their partitions to `partitions`."""
        pending = [
            stored
            for stored in self.store.messages.values()
            if stored.order_key == key and stored.final_answer is None and stored.number not in self.store.migrating
        ]
        if not self.store.accepts_messages() or not all(
            self.store.may_send_attempt(stored.number) for stored in pending
        ):
            return False
        sequence, text = self.sequences[name], SOURCE_MARK + name
        if pending:
            self.files.write_marks(self.store.migrating | {stored.number: (sequence, text) for stored in pending})
        for stored in pending:
            self.store.set_move_mark(stored.number, sequence, text)
        partitions.update(stored.number >> 32 for stored in pending)
        return True

    def _stage(self, name: str) -> None:
        """Send the marked messages and the recent ids to the target; call the move off where it refuses them."""
        stage = self._session_to_stage(name)
        if stage is None:
            self.carry_out(self.moves.call_off(name, monotonic_time()))
            return
        answer = self.call(parts(name)[2], stage, STAGE_TIMEOUT_S)
        if isinstance(answer, StageReply):
            now = monotonic_time()
            if not answer.stored:
                self.counters.add("moves refused by the target")
            self.carry_out(self.moves.staged(name, now) if answer.stored else self.moves.call_off(name, now))

    def _session_to_stage(self, name: str) -> StageSession | None:
        """The session as it is sent to the target; None if it cannot be moved."""
        key = self._key(name)
        facts: list[Fact] = []
        for number in self._marked(name, SOURCE_MARK):
            fact = self.store.leased_partitions[number >> 32].read(self.store, number)
            if fact is None or fact.base is None:
                return None
            facts.append(fact)
        data = encode_facts(facts)
        if len(data) > MAX_STAGED_BYTES:
            self.counters.warning("a session stays", SessionTooLargeError(f"{len(facts)} messages of {key:016x}"))
            return None
        ids = self.directory.recent_ids(key, monotonic_time())
        if len(ids) > MAX_STAGED_IDS:
            return None
        entries = tuple(RecentIdEntry(each, age, hashed) for each, (age, hashed) in ids.items())
        rest = self.dispatcher.rest_of(key)
        return StageSession(name, key, self.sequences[name], data, digest_of(data), entries, rest)

    def _forward(self, step: MigrationStep) -> None:
        """Record the target as the holder, and thaw the key: requests are forwarded from now on."""
        key, now = self._key(step.move), monotonic_time()
        if self._began_here(step.move):
            self.directory.record_new_holder(key, step.to, self.sequences[step.move] + 1, now)
            self.planner.ended(key, True, now)
            self.dispatcher.thaw(key)
            self.counters.add("sessions given away")
        self.change()

    def _release(self, name: str) -> None:
        """Make the messages live here again after a move was called off; repeated until it succeeds."""
        key, now, began_here = self._key(name), monotonic_time(), self._began_here(name)
        # If the file cannot be written now, giving up would leave the messages inert and the session frozen for good.
        while not self.dispatcher.between(lambda: self._clear_marks(name, key, began_here, now)).get():
            gevent.sleep(RELEASE_RETRY_S)
        if began_here:
            self.planner.ended(key, False, monotonic_time())
        self.counters.add("moves called off")

    def _clear_marks(self, name: str, key: int, began_here: bool, now: int) -> bool:
        """Clear the marks of a move that was called off, and go on with the session's messages."""
        numbers = self._marked(name, SOURCE_MARK)
        sequence = self._sequence(name, numbers) + 1
        # A holder that adopted them without the marks may have decided their ends, and lost the notices as the marks
        # came. Those that wait for a copy are posted by the dispatcher.
        ended = {
            number for number in numbers if self.store.messages[number].final_answer
        } - self.dispatcher.uncopied_ends
        self._save_without(numbers)
        for number in numbers:
            self.store.set_move_mark(number, sequence, "")
        if began_here:
            session = self.directory.sessions.get(key)
            if session is not None:
                self.directory.hold(
                    key, max(sequence, session.sequence), self.directory.recent_ids(key, now), now, session.sure
                )
            self.dispatcher.thaw(key)
        pending = [
            stored.number
            for stored in self.store.messages.values()
            if (stored.order_key == key and stored.final_answer is None or stored.number in ended)
            and self.store.may_send_attempt(stored.number)
        ]
        self.dispatcher.adopt(pending, quietly=True)
        return True

    def _over(self, name: str) -> None:
        """Drop the messages here: the target is active."""
        self.dispatcher.between(lambda: self._give_up(name, SOURCE_MARK)).get()
