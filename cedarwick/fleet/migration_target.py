"""The target side of a session's migration (move).

The methods carry out the steps that `MigrationTable` returns; those that wait run in their own greenlets. Timeouts are
in seconds; `now` is in microseconds of the boot clock.
"""

import gevent
import gevent.event

from cedarwick.fleet.consensus import (
    parse_move_name,
)
from cedarwick.fleet.limits import DEADLINE_MARGIN_US
from cedarwick.fleet.messages import (
    StageReply,
    StageSession,
    digest_matches,
)
from cedarwick.fleet.migration_state import MAX_SESSIONS, STAGE_TIMEOUT_S, TARGET_MARK, MigrationState
from cedarwick.fleet.migration_table import (
    MigrationAction,
)
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.replication_facts import decode_facts, stored_message_of


class MigrationTarget(MigrationState):
    """Stores, activates and discards the sessions that other members offer."""

    def _answer_offer(self, body: StageSession, now: int) -> StageReply:
        """Answer the offer of a source; waits up to `STAGE_TIMEOUT_S` until the messages are stored here."""
        if not digest_matches(body):
            return StageReply(body.move, False, "spoilt")
        has_room = self.accepts_sessions() and len(self.directory.sessions) < MAX_SESSIONS
        steps = self.migration_table.on_offer(body.move, body.key, has_room, now)
        if any(step.action is MigrationAction.STORE_OFFER for step in steps):
            self.staged_offers[body.move] = body, now
            self.session_sequences[body.move] = body.sequence
        result = self.staging_results.setdefault(body.move, gevent.event.AsyncResult())
        if steps and steps[0].action is MigrationAction.REFUSE:
            self.staging_results.pop(body.move, None)
            return StageReply(body.move, False, "no room")
        self.carry_out(steps)
        stored = result.wait(STAGE_TIMEOUT_S)
        return StageReply(body.move, bool(stored), "" if stored else "it is not kept")

    def _set_staging_result(self, name: str, staged: bool) -> None:
        """Wake the callers that wait in `_answer_offer`; only the first result counts."""
        result = self.staging_results.setdefault(name, gevent.event.AsyncResult())
        if not result.ready():
            result.set(staged)

    def _store_offer(self, name: str) -> None:
        """Store the offered messages, marked as inert, in the folder and at every successor."""
        offer, _ = self.staged_offers[name]
        stored = self.dispatcher.run_in_dispatcher(lambda: self._store_staged(name, offer)).get()
        open_partition = self.store.open_partition
        if stored and open_partition is not None and self._wait_until_replicated({open_partition.partition}):
            self.carry_out(self.migration_table.on_stored(name, monotonic_time()))
        else:
            self._set_staging_result(name, False)

    def _store_staged(self, name: str, offer: StageSession) -> bool:
        """Store the offered messages under numbers of the open partition; False if they cannot be stored now."""
        facts = sorted(decode_facts(offer.facts), key=lambda fact: fact.number)
        messages = [stored_message_of(fact) for fact in facts]
        if not self.store.accepts_messages():
            return False
        for index, stored in enumerate(messages):
            stored.number = self.store.next_number + index
            if not self.store.has_room(stored):
                return False
        if messages:
            mark = offer.sequence, TARGET_MARK + name
            self.files.write_marks(self.store.migrating | {stored.number: mark for stored in messages})
        for stored in messages:
            self.store.next_number += 1
            self.store.stage_message(stored, offer.sequence, TARGET_MARK + name)
        return True

    def _activate_session(self, name: str) -> None:
        """Clear the marks and resume the messages; does nothing while this member may not send attempts of them."""
        key, offer = self._session_key(name), self.staged_offers.get(name)
        if self.dispatcher.run_in_dispatcher(lambda: self._clear_target_marks(name, key, offer)).get():
            self.counters.add("sessions taken over")
            self.carry_out(self.migration_table.on_activated(name, monotonic_time()))

    def _clear_target_marks(self, name: str, key: int, offer: tuple[StageSession, int] | None) -> bool:
        """Clear the marks, resume the messages and hold the session; False while this member may not send attempts."""
        numbers, now = self._marked_messages(name, TARGET_MARK), monotonic_time()
        holdings = [self.store.leased_partitions.get(number >> 32) for number in numbers]
        if not self.store.accepts_messages() or not all(each is not None and each.serving for each in holdings):
            return False
        sequence = self._session_sequence(name, numbers) + 1
        self._save_marks_without(numbers)
        for number in numbers:
            self.store.set_move_mark(number, sequence, "")
        self._adopt_staged(numbers, offer)
        # If the decision came late, another member may have inherited the session (without its messages) from a dead
        # source. This member must not claim to hold it then.
        if offer is not None and not self.directory.is_superseded(key, parse_move_name(name)[1], offer[0].sequence):
            staged, at = offer  # without an offer the recent ids are unknown here, and the session is claimed later
            ids = {each.id: (each.age + now - at, each.content_hash) for each in staged.ids}
            self.directory.hold(key, sequence, ids, now, name not in self.staged_before_adoption)
            self.planner.note_arrival(key, now)
        return True

    def _adopt_staged(self, numbers: list[int], offer: tuple[StageSession, int] | None) -> None:
        """Let the dispatcher resume messages whose marks are cleared, and answer those near their deadline."""
        soon = self.clock.now() + DEADLINE_MARGIN_US
        # While the decision was unknown, the source may have answered messages near their deadline. No attempts of them
        # may be sent here.
        late = [number for number in numbers if self.store.messages[number].deadline <= soon]
        self.dispatcher.abandon_parked(late)
        # Unless the source reported that the key need not rest, an attempt from before the move may still be running,
        # even one of a message that has ended. Unless `no_unrecorded_attempts` is set, `adopt` then holds all keys.
        no_unrecorded_attempts = offer is not None and not offer[0].attempt_remaining_us
        if numbers or not no_unrecorded_attempts:
            self.dispatcher.adopt([number for number in numbers if number not in late], no_unrecorded_attempts)

    def _discard_at_target(self, name: str) -> None:
        """Discard the staged messages, because the move was called off."""
        self.dispatcher.run_in_dispatcher(lambda: self._discard_messages(name, TARGET_MARK)).get()
