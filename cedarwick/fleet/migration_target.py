"""The target side of a session's migration (move).

Its methods carry out the steps that `MigrationTable` returns, each in a greenlet of its own where it waits. Spans that
are waited for are seconds; `now` is microseconds of the boot clock.
"""

import gevent
import gevent.event

from cedarwick.fleet.consensus import (
    parts,
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
    """Stages, writes, activates and drops a session that is offered here."""

    def _staged(self, body: StageSession, now: int) -> StageReply:
        """Answer a source's offer; waits up to `STAGE_TIMEOUT_S` seconds until the messages are stored here."""
        if not digest_matches(body):
            return StageReply(body.move, False, "spoilt")
        room = self.takes() and len(self.directory.sessions) < MAX_SESSIONS
        steps = self.moves.stage(body.move, body.key, room, now)
        if any(step.action is MigrationAction.WRITE for step in steps):
            self.offers[body.move] = body, now
            self.sequences[body.move] = body.sequence
        answer = self.answers.setdefault(body.move, gevent.event.AsyncResult())
        if steps and steps[0].action is MigrationAction.REFUSE:
            self.answers.pop(body.move, None)
            return StageReply(body.move, False, "no room")
        self.carry_out(steps)
        stored = answer.wait(STAGE_TIMEOUT_S)
        return StageReply(body.move, bool(stored), "" if stored else "it is not kept")

    def _answer(self, name: str, staged: bool) -> None:
        """Wake those that wait in `_staged` for the outcome; only the first outcome counts."""
        answer = self.answers.setdefault(name, gevent.event.AsyncResult())
        if not answer.ready():
            answer.set(staged)

    def _write(self, name: str) -> None:
        """Store the staged messages, marked as inert, in the own folder and at every successor."""
        stage, _ = self.offers[name]
        stored = self.dispatcher.run_in_dispatcher(lambda: self._store_staged(name, stage)).get()
        open_partition = self.store.open_partition
        if stored and open_partition is not None and self._copied({open_partition.partition}):
            self.carry_out(self.moves.written(name, monotonic_time()))
        else:
            self._answer(name, False)

    def _store_staged(self, name: str, stage: StageSession) -> bool:
        """Store the staged messages under numbers of the open partition; False if they cannot be stored now."""
        facts = sorted(decode_facts(stage.facts), key=lambda fact: fact.number)
        messages = [stored_message_of(fact) for fact in facts]
        if not self.store.accepts_messages():
            return False
        for place, stored in enumerate(messages):
            stored.number = self.store.next_number + place
            if not self.store.has_room(stored):
                return False
        if messages:
            mark = stage.sequence, TARGET_MARK + name
            self.files.write_marks(self.store.migrating | {stored.number: mark for stored in messages})
        for stored in messages:
            self.store.next_number += 1
            self.store.stage(stored, stage.sequence, TARGET_MARK + name)
        return True

    def _activate(self, name: str) -> None:
        """Clear the marks and go on with the messages; does nothing while this member may not fire for them."""
        key, offer = self._key(name), self.offers.get(name)
        if self.dispatcher.run_in_dispatcher(lambda: self._make_active(name, key, offer)).get():
            self.counters.add("sessions taken over")
            self.carry_out(self.moves.activated(name, monotonic_time()))

    def _make_active(self, name: str, key: int, offer: tuple[StageSession, int] | None) -> bool:
        numbers, now = self._marked(name, TARGET_MARK), monotonic_time()
        holdings = [self.store.holdings.get(number >> 32) for number in numbers]
        if not self.store.accepts_messages() or not all(each is not None and each.serving for each in holdings):
            return False
        sequence = self._sequence(name, numbers) + 1
        self._save_without(numbers)
        for number in numbers:
            self.store.mark(number, sequence, "")
        self._adopt_staged(numbers, offer)
        # If the decision came late, another member may have inherited the session (not its messages) from a dead
        # source; then this member must not claim to hold it.
        if offer is not None and not self.directory.superseded(key, parts(name)[1], offer[0].sequence):
            stage, at = offer  # without an offer the recent ids are unknown here; it is claimed later
            ids = {each.id: (each.age + now - at, each.content_hash) for each in stage.ids}
            self.directory.hold(key, sequence, ids, now, name not in self.staged_before_adoption)
            self.planner.arrived(key, now)
        return True

    def _adopt_staged(self, numbers: list[int], offer: tuple[StageSession, int] | None) -> None:
        """Let the dispatcher go on with messages whose marks are cleared, and answer those near their deadline."""
        soon = self.clock.now() + DEADLINE_MARGIN_US
        # While the decision was not known the source may have answered messages near their deadline: they must not be
        # attempted here.
        late = [number for number in numbers if self.store.messages[number].deadline <= soon]
        self.dispatcher.abandon_parked(late)
        # Unless the source reported no rest, an attempt from before the move may still run, even one of a message that
        # has ended; adopting not no_unrecorded_attempts then lets all keys rest.
        no_unrecorded_attempts = offer is not None and not offer[0].attempt_remaining_us
        if numbers or not no_unrecorded_attempts:
            self.dispatcher.adopt([number for number in numbers if number not in late], no_unrecorded_attempts)

    def _drop(self, name: str) -> None:
        """Drop the staged messages: the move was called off."""
        self.dispatcher.run_in_dispatcher(lambda: self._give_up(name, TARGET_MARK)).get()
