"""The side of a move that gives a session away."""

import gevent
import gevent.event

from cedarwick.errors import CedarwickError
from cedarwick.fleet.consensus import (
    parts,
)
from cedarwick.fleet.messages import (
    MAX_MESSAGE_BYTES,
    RecentIdEntry,
    StageReply,
    StageSession,
    digest_of,
)
from cedarwick.fleet.migration_state import GIVEN, SECOND, STAGE_IN, MigrationState
from cedarwick.fleet.migration_table import (
    FREEZE,
    MigrationStep,
)
from cedarwick.fleet.replicated_store import monotonic_time
from cedarwick.fleet.replication_facts import Fact, encode_facts

RELEASE_AGAIN = 1.0  # seconds until marks that could not be lifted are lifted again
CUT = 0.1  # seconds until calls that were cut off have ended
LARGEST_STAGE = MAX_MESSAGE_BYTES - (1 << 17)  # bytes of a session's facts: the rest of the peer message is for its ids
MOST_IDS = 1 << 12


class SessionTooLargeError(CedarwickError):
    """A session's messages do not fit one peer message, so that it cannot be moved."""

    code = "CW754"
    remedy = "wait until some of the session's messages have ended; until then it stays where it is"


class MigrationSource(MigrationState):
    """Freezes, marks, offers and releases a session that is held here."""

    def _freeze(self, name: str) -> None:
        key = self._key(name)
        still = self.dispatcher.freeze(key)
        if not still.wait(FREEZE / SECOND):
            self.dispatcher.cut(key)
            still.wait(CUT)
        self.act(self.moves.idle(name, monotonic_time()))

    def _mark(self, name: str) -> None:
        key = self._key(name)
        self.dispatcher.cut(key)
        self.dispatcher.between(lambda: True).get()  # what was cut off has told its end before the marks are made
        partitions: set[int] = set()

        def mark() -> bool:
            owed = [
                stored
                for stored in self.store.messages.values()
                if stored.turn == key and stored.end is None and stored.number not in self.store.inert
            ]
            if not self.store.taking() or not all(self.store.may_fire(stored.number) for stored in owed):
                return False
            sequence, text = self.sequences[name], GIVEN + name
            if owed:
                self.files.write_inert(self.store.inert | {stored.number: (sequence, text) for stored in owed})
            for stored in owed:
                self.store.mark(stored.number, sequence, text)
            partitions.update(stored.number >> 32 for stored in owed)
            return True

        if self.dispatcher.between(mark).get() and self._copied(partitions):
            self.act(self.moves.marked(name, monotonic_time()))
        else:
            self.act(self.moves.call_off(name, monotonic_time()))

    def _stage(self, name: str) -> None:
        key, to = self._key(name), parts(name)[2]
        facts: list[Fact] = []
        for number in self._marked(name, GIVEN):
            fact = self.store.holdings[number >> 32].read(self.store, number)
            if fact is None or fact.base is None:
                self.act(self.moves.call_off(name, monotonic_time()))
                return
            facts.append(fact)
        data = encode_facts(facts)
        if len(data) > LARGEST_STAGE:
            self.counters.warning("a session stays", SessionTooLargeError(f"{len(facts)} messages of {key:016x}"))
            self.act(self.moves.call_off(name, monotonic_time()))
            return
        ids = self.directory.ids(key, monotonic_time())
        if len(ids) > MOST_IDS:
            self.act(self.moves.call_off(name, monotonic_time()))
            return
        recent = tuple(RecentIdEntry(each, age, hashed) for each, (age, hashed) in ids.items())
        stage = StageSession(
            name, key, self.sequences[name], data, digest_of(data), recent, self.dispatcher.rest_of(key)
        )
        answer = self.call(to, stage, STAGE_IN)
        if isinstance(answer, StageReply):
            now = monotonic_time()
            if not answer.stored:
                self.counters.add("moves refused by the taker")
            self.act(self.moves.staged(name, now) if answer.stored else self.moves.call_off(name, now))

    def _forward(self, act: MigrationStep) -> None:
        key, now = self._key(act.move), monotonic_time()
        if self._mine(act.move):
            self.directory.gone(key, act.to, self.sequences[act.move] + 1, now)
            self.planner.ended(key, True, now)
            self.dispatcher.thaw(key)
            self.counters.add("sessions given away")
        self.change()

    def _release(self, name: str) -> None:
        key, now, mine = self._key(name), monotonic_time(), self._mine(name)

        def release() -> bool:
            numbers = self._marked(name, GIVEN)
            sequence = self._sequence(name, numbers) + 1
            self._save_without(numbers)
            for number in numbers:
                self.store.mark(number, sequence, "")
            if mine:
                session = self.directory.sessions.get(key)
                if session is not None:
                    self.directory.hold(
                        key, max(sequence, session.sequence), self.directory.ids(key, now), now, session.sure
                    )
                self.dispatcher.thaw(key)
            owed = [
                stored.number
                for stored in self.store.messages.values()
                if stored.turn == key and stored.end is None and self.store.may_fire(stored.number)
            ]
            self.dispatcher.adopt(owed, quietly=True)
            return True

        # Danger: with the file not written the messages would stay inert, and the session frozen, for good.
        while not self.dispatcher.between(release).get():
            gevent.sleep(RELEASE_AGAIN)
        if mine:
            self.planner.ended(key, False, monotonic_time())
        self.counters.add("moves called off")

    def _over(self, name: str) -> None:
        self.dispatcher.between(lambda: self._give_up(name, GIVEN)).get()
