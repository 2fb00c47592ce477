"""The target side (taker) of a session's migration (move).

Its methods carry out the steps that `MigrationTable` returns, each in a greenlet of its own where it waits. Spans that
are waited for are seconds; `now` is microseconds of the boot clock.
"""

import gevent
import gevent.event

from cedarwick.fleet.consensus import (
    parts,
)
from cedarwick.fleet.messages import (
    StageReply,
    StageSession,
    whole,
)
from cedarwick.fleet.migration_state import LATE, SESSIONS, STAGE_IN, TAKEN, MigrationState
from cedarwick.fleet.migration_table import (
    MigrationAction,
)
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.replication_facts import decode_facts, stored_message_of


class MigrationTarget(MigrationState):
    """Stages, writes, activates and drops a session that is offered here."""

    def _staged(self, body: StageSession, now: int) -> StageReply:
        """Answer a giver's offer; waits up to `STAGE_IN` seconds until the messages are stored here."""
        if not whole(body):
            return StageReply(body.move, False, "spoilt")
        room = self.takes() and len(self.directory.sessions) < SESSIONS
        acts = self.moves.stage(body.move, body.key, room, now)
        if any(act.do is MigrationAction.WRITE for act in acts):
            self.offers[body.move] = body, now
            self.sequences[body.move] = body.sequence
        answer = self.answers.setdefault(body.move, gevent.event.AsyncResult())
        if acts and acts[0].do is MigrationAction.REFUSE:
            self.answers.pop(body.move, None)
            return StageReply(body.move, False, "no room")
        self.act(acts)
        stored = answer.wait(STAGE_IN)
        return StageReply(body.move, bool(stored), "" if stored else "it is not kept")

    def _answer(self, name: str, staged: bool) -> None:
        """Wake those that wait in `_staged` for the outcome; only the first outcome counts."""
        answer = self.answers.setdefault(name, gevent.event.AsyncResult())
        if not answer.ready():
            answer.set(staged)

    def _write(self, name: str) -> None:
        """Store the staged messages, marked as inert, in the own folder and at every successor."""
        stage, _ = self.offers[name]

        def write() -> bool:
            made = [stored_message_of(fact) for fact in sorted(decode_facts(stage.facts), key=lambda fact: fact.number)]
            if not self.store.taking():
                return False
            for place, stored in enumerate(made):
                stored.number = self.store.next_number + place
                if not self.store.has_room(stored):
                    return False
            if made:
                mark = stage.sequence, TAKEN + name
                self.files.write_inert(self.store.inert | {stored.number: mark for stored in made})
            for stored in made:
                self.store.next_number += 1
                self.store.stage(stored, stage.sequence, TAKEN + name)
            return True

        stored = self.dispatcher.between(write).get()
        current = self.store.open_partition
        if stored and current is not None and self._copied({current.partition}):
            self.act(self.moves.written(name, monotonic_time()))
        else:
            self._answer(name, False)

    def _activate(self, name: str) -> None:
        """Clear the marks and go on with the messages; does nothing while this member may not fire for them."""
        key, offer = self._key(name), self.offers.get(name)

        def activate() -> bool:
            numbers, now = self._marked(name, TAKEN), monotonic_time()
            holdings = [self.store.holdings.get(number >> 32) for number in numbers]
            if not self.store.taking() or not all(each is not None and each.serving for each in holdings):
                return False
            sequence = self._sequence(name, numbers) + 1
            self._save_without(numbers)
            for number in numbers:
                self.store.mark(number, sequence, "")
            soon = self.clock.now() + LATE
            # While the decree was not known the giver may have answered messages near their deadline: they must not be
            # attempted here.
            late = [number for number in numbers if self.store.messages[number].deadline <= soon]
            self.dispatcher.answer_late(late)
            # Unless the giver reported no rest, an attempt from before the move may still run, even one of a message
            # that has ended; adopting not quietly then lets all keys rest.
            quietly = offer is not None and not offer[0].rest
            if numbers or not quietly:
                self.dispatcher.adopt([number for number in numbers if number not in late], quietly)
            # If the decree came late, another member may have inherited the session (not its messages) from a dead
            # giver; then this member must not claim to hold it.
            if offer is not None and not self.directory.superseded(key, parts(name)[1], offer[0].sequence):
                stage, at = offer  # without an offer the recent ids are unknown here; it is claimed later
                ids = {each.id: (each.age + now - at, each.hashed) for each in stage.ids}
                self.directory.hold(key, sequence, ids, now, name not in self.slept)
                self.planner.arrived(key, now)
            return True

        if self.dispatcher.between(activate).get():
            self.counters.add("sessions taken over")
            self.act(self.moves.activated(name, monotonic_time()))

    def _drop(self, name: str) -> None:
        """Drop the staged messages: the move was called off."""
        self.dispatcher.between(lambda: self._give_up(name, TAKEN)).get()
