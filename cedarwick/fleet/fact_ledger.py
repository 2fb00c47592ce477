"""The ledger of a partition: what the holder knows of each pending message. No I/O."""

from collections.abc import Iterable

from cedarwick.fleet.replication_facts import (
    NO_KNOWLEDGE,
    EndRank,
    Fact,
    MessageKnowledge,
    TermAttempts,
    base_of,
    is_finished,
    join,
    knowledge_of,
    trimmed,
    with_unsettled_as_run,
)
from cedarwick.store.records import StoredMessage


class FactLedger:
    """What the holder of a partition knows of each pending message.

    Each `note_` method returns the fact that results from the change, for the replication log. The methods that update
    a message raise `KeyError` if it is not pending.
    """

    def __init__(self, term: int) -> None:
        self.term = term
        self.known: dict[int, MessageKnowledge] = {}

    def note_message(self, stored: StoredMessage, body: bytes) -> Fact:
        """Note a message that was admitted, or is left from before a restart."""
        self.known[stored.number] = known = knowledge_of(stored, self.term)
        return Fact(stored.number, base_of(stored, body), known)

    def note_attempt(self, number: int, sent_at: int, zone: int) -> Fact:
        """Note an attempt before it is sent, at a wall time in microseconds.

        A previous attempt without an outcome counts as one that may have run.
        """
        known = self.known[number]
        newest = known.attempts_by_term.get(self.term)
        first_may_have_run = known.first_may_have_run
        if newest is not None and not newest.settled:
            first_may_have_run = min(first_may_have_run or (newest.sent_at, newest.zone), (newest.sent_at, newest.zone))
        return self._join_attempt(
            number, TermAttempts(newest.attempts + 1 if newest else 1, False, sent_at, zone), first_may_have_run
        )

    def note_outcome(self, number: int, never_ran: bool, completed: bool) -> Fact:
        """Note the outcome of the attempt in flight."""
        known = self.known[number]
        newest = known.attempts_by_term.get(self.term)
        if completed:
            return self._join_end(number, (EndRank.COMPLETED, 0))
        if newest is None or newest.settled:
            return Fact(number, None, known)  # of an earlier term: `begin_term` has counted it as one that may have run
        first_may_have_run = (
            known.first_may_have_run
            if never_ran
            else min(known.first_may_have_run or (newest.sent_at, newest.zone), (newest.sent_at, newest.zone))
        )
        return self._join_attempt(number, newest._replace(settled=True), first_may_have_run)

    def note_final_answer(self, number: int, returned: bool, wait_ms: int) -> Fact:
        """Note the final answer, whose notice is still pending; `wait_ms`: the Retry-After wait in milliseconds."""
        return self._join_end(number, (EndRank.RETURNED if returned else EndRank.FAILED, wait_ms))

    def note_finished(self, number: int) -> Fact:
        """Note that the message has finished: neither an answer nor a notice is pending."""
        return self._join_end(number, (EndRank.NOTIFIED, self.known[number].end[1]))

    def note_move_mark(self, number: int, sequence: int, text: str) -> Fact:
        """Note that the message is part of a move; an empty text: that it no longer is."""
        return self._join(number, MessageKnowledge(move=(sequence, text)))

    def adopt(self, facts: Iterable[Fact], term: int) -> list[Fact]:
        """Join what other members knew and continue under a term; returns the pending facts, without finished messages.

        Each fact must have its base. A number that is unknown here counts as pending, so the caller must remove from an
        earlier holder's offer the messages that have finished since, at this holder or at one in between.
        """
        self.begin_term(term)
        pending = []
        for fact in facts:
            known = with_unsettled_as_run(join(self.known.get(fact.number, NO_KNOWLEDGE), fact.known), term)
            if is_finished(known):
                self.known.pop(fact.number, None)
            else:
                self.known[fact.number] = known
                pending.append(trimmed(Fact(fact.number, fact.base, known)))
        return pending

    def begin_term(self, term: int) -> None:
        """Continue under a new term: attempts in flight under an earlier term may have run."""
        self.term = term
        self.known = {number: with_unsettled_as_run(known, term) for number, known in self.known.items()}

    def _join_attempt(self, number: int, newest: TermAttempts, first_may_have_run: tuple[int, int] | None) -> Fact:
        return self._join(number, MessageKnowledge({self.term: newest}, first_may_have_run))

    def _join_end(self, number: int, end: tuple[EndRank, int]) -> Fact:
        return self._join(number, MessageKnowledge(end=end))

    def _join(self, number: int, added: MessageKnowledge) -> Fact:
        """Join a change; the fact has all that is known, not just the change, so that one joined late loses nothing."""
        known = join(self.known[number], added)
        if is_finished(known):
            del self.known[number]
        else:
            self.known[number] = known
        return Fact(number, None, known)
