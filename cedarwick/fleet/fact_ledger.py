"""The ledger of a partition: what its holder knows of each message that it owes. No I/O."""

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
    """What the holder of a partition knows of each message it owes; each call returns the fact with the change.

    KeyError where a number is not owed.
    """

    def __init__(self, term: int) -> None:
        self.term = term
        self.known: dict[int, MessageKnowledge] = {}

    def note_message(self, stored: StoredMessage, body: bytes) -> Fact:
        """Note a message that was taken, or is left from before a restart."""
        self.known[stored.number] = known = knowledge_of(stored, self.term)
        return Fact(stored.number, base_of(stored, body), known)

    def note_attempt(self, number: int, at: int, zone: int) -> Fact:
        """Note an attempt before it is sent, at a wall time in microseconds.

        An earlier attempt without an outcome counts as one that may have run.
        """
        known = self.known[number]
        head = known.attempts_by_term.get(self.term)
        ran = known.first_may_have_run
        if head is not None and not head.settled:
            ran = min(ran or (head.sent_at, head.zone), (head.sent_at, head.zone))
        return self._attempted(number, TermAttempts(head.attempts + 1 if head else 1, False, at, zone), ran)

    def note_outcome(self, number: int, never_ran: bool, completed: bool) -> Fact:
        """Note the outcome of the attempt that was out."""
        known = self.known[number]
        head = known.attempts_by_term.get(self.term)
        if completed:
            return self._end(number, (EndRank.COMPLETED, 0))
        if head is None or head.settled:
            return Fact(number, None, known)  # of a term before, which `renew` has taken for one that may have run
        ran = (
            known.first_may_have_run
            if never_ran
            else min(known.first_may_have_run or (head.sent_at, head.zone), (head.sent_at, head.zone))
        )
        return self._attempted(number, head._replace(settled=True), ran)

    def note_final_answer(self, number: int, returned: bool, wait_ms: int) -> Fact:
        """Note the final answer, whose notice is still owed; `wait_ms`: advised wait in milliseconds."""
        return self._end(number, (EndRank.RETURNED if returned else EndRank.FAILED, wait_ms))

    def note_finished(self, number: int) -> Fact:
        """Note that nothing more is owed."""
        return self._end(number, (EndRank.NOTIFIED, self.known[number].end[1]))

    def note_move_mark(self, number: int, sequence: int, text: str) -> Fact:
        """Note that the message is part of a move, or with an empty text no longer."""
        return self._join(number, MessageKnowledge(move=(sequence, text)))

    def adopt(self, facts: Iterable[Fact], term: int) -> list[Fact]:
        """Go on under a term with what others knew, each fact with its base; what is over is dropped and left out.

        A number that is not known here is taken for one that is owed, so the caller must leave out of an earlier
        holder's offer what has ended since, at this holder or at one between.
        """
        self.begin_term(term)
        taken = []
        for fact in facts:
            known = with_unsettled_as_run(join(self.known.get(fact.number, NO_KNOWLEDGE), fact.known), term)
            if is_finished(known):
                self.known.pop(fact.number, None)
            else:
                self.known[fact.number] = known
                taken.append(trimmed(Fact(fact.number, fact.base, known)))
        return taken

    def begin_term(self, term: int) -> None:
        """Go on under a new term: what was out under an older one may have run."""
        self.term = term
        self.known = {number: with_unsettled_as_run(known, term) for number, known in self.known.items()}

    def _attempted(self, number: int, head: TermAttempts, ran: tuple[int, int] | None) -> Fact:
        return self._join(number, MessageKnowledge({self.term: head}, ran))

    def _end(self, number: int, end: tuple[EndRank, int]) -> Fact:
        return self._join(number, MessageKnowledge(end=end))

    def _join(self, number: int, added: MessageKnowledge) -> Fact:
        """All that is known goes along, not the change alone, so that a fact that is joined late forgets nothing."""
        known = join(self.known[number], added)
        if is_finished(known):
            del self.known[number]
        else:
            self.known[number] = known
        return Fact(number, None, known)
