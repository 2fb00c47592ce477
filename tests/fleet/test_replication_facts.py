"""Facts and their join: knowledge only grows, and the join does not depend on order or repetition."""

import unittest
from collections.abc import Callable
from typing import Any

import msgspec
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from cedarwick.fleet import replication_facts
from cedarwick.fleet.fact_ledger import FactLedger
from cedarwick.fleet.replication_facts import (
    CorruptFactsError,
    EndRank,
    Fact,
    FactsVersionError,
    MessageBase,
    MessageKnowledge,
    TermAttempts,
    join,
    join_facts,
)
from cedarwick.store.records import StoredMessage

SMALL_INTS = st.integers(0, 3)
TERM_ATTEMPTS = st.builds(TermAttempts, st.integers(1, 3), st.booleans(), st.integers(1, 4), st.integers(-1, 2))
KNOWLEDGE = st.builds(
    MessageKnowledge,
    st.dictionaries(st.integers(1, 4), TERM_ATTEMPTS),
    st.none() | st.tuples(st.integers(1, 4), SMALL_INTS),
    SMALL_INTS,
    st.tuples(st.sampled_from(EndRank), SMALL_INTS),
    st.none() | st.tuples(SMALL_INTS, st.sampled_from("ab")),
)
BASE = MessageBase("id-1", "", (1 << 64) - 1, "free", "", 7, 99, b"body")
FACTS = st.builds(Fact, st.just(5), st.sampled_from([None, BASE]), KNOWLEDGE).map(replication_facts.trimmed)
STORED_MESSAGES = st.builds(
    StoredMessage,
    st.just(5),
    st.just("id-1"),
    st.just(""),
    SMALL_INTS,
    st.just("free"),
    st.just(""),
    SMALL_INTS,
    SMALL_INTS,
    st.just(b"x"),
    st.just(2),
    SMALL_INTS,
    SMALL_INTS,
    SMALL_INTS,
    SMALL_INTS,
    SMALL_INTS,
    st.none() | st.tuples(st.booleans(), SMALL_INTS),
)
few_examples = settings(
    max_examples=100,
    derandomize=True,
    database=None,
    deadline=None,
    report_multiple_bugs=False,
    phases=(Phase.generate,),
)
JoinFunction = Callable[[MessageKnowledge, MessageKnowledge], MessageKnowledge]


def attempts_without_outcome(stored: StoredMessage) -> list[tuple[int, int]]:
    """The attempts that the decisions treat as ones that may have run."""
    return [(attempt.sent_at, attempt.zone) for attempt in stored.earlier_attempts() if attempt.outcome is None]


def assert_nothing_lost(after: StoredMessage, before: StoredMessage) -> None:
    assert after.attempts >= before.attempts, "an attempt is lost"
    if attempts_without_outcome(before):
        assert (
            attempts_without_outcome(after)
            and min(attempts_without_outcome(after))[0] <= min(attempts_without_outcome(before))[0]
        ), "an attempt that may have run is lost"


def check_join_grows(join_function: JoinFunction) -> None:
    """Check that a join keeps what either side knew of attempts and ends."""

    @few_examples
    @given(KNOWLEDGE, KNOWLEDGE)
    def check(a: MessageKnowledge, b: MessageKnowledge) -> None:
        joined = join_function(a, b)
        assert replication_facts.may_have_run(joined) >= replication_facts.may_have_run(
            a
        ) and replication_facts.is_finished(joined) >= replication_facts.is_finished(a)
        assert replication_facts.total_attempts(joined) >= replication_facts.total_attempts(a) and joined.end >= a.end
        assert all(joined.attempts_by_term[term] >= newest for term, newest in a.attempts_by_term.items())
        if not replication_facts.is_finished(joined):
            assert_nothing_lost(
                replication_facts.stored_message_of(Fact(5, BASE, replication_facts.with_unsettled_as_run(joined, 9))),
                replication_facts.stored_message_of(
                    Fact(
                        5,
                        BASE,
                        MessageKnowledge(
                            first_may_have_run=a.first_may_have_run, records_lost_since=a.records_lost_since
                        ),
                    )
                ),
            )

    check()


class JoinTest(unittest.TestCase):
    @few_examples
    @given(FACTS, FACTS, FACTS)
    def test_the_join_is_commutative_associative_and_idempotent(self, a: Fact, b: Fact, c: Fact) -> None:
        self.assertEqual(join_facts(a, b), join_facts(b, a))
        self.assertEqual(join_facts(join_facts(a, b), c), join_facts(a, join_facts(b, c)))
        self.assertEqual(join_facts(a, a), a)
        self.assertEqual(join_facts(join_facts(a, b), b), join_facts(a, b))

    def test_the_join_only_grows(self) -> None:
        check_join_grows(join)

    def test_a_join_that_loses_knowledge_is_detected(self) -> None:
        def keep_newest_term_only(a: MessageKnowledge, b: MessageKnowledge) -> MessageKnowledge:
            return max(a, b, key=lambda known: max(known.attempts_by_term, default=0))

        def keep_one_term_entry(a: MessageKnowledge, b: MessageKnowledge) -> MessageKnowledge:
            both = join(a, b)
            return msgspec.structs.replace(both, attempts_by_term=dict(sorted(both.attempts_by_term.items())[-1:]))

        def outcome_clears_may_have_run(a: MessageKnowledge, b: MessageKnowledge) -> MessageKnowledge:
            both = join(a, b)
            return (
                msgspec.structs.replace(both, first_may_have_run=None)
                if any(newest.settled for newest in both.attempts_by_term.values())
                else both
            )

        for broken in (keep_newest_term_only, keep_one_term_entry, outcome_clears_may_have_run):
            with self.assertRaises(AssertionError, msg=broken.__name__):
                check_join_grows(broken)

    def test_the_end_of_the_higher_rank_wins(self) -> None:
        ends = [MessageKnowledge(end=(rank, 0)) for rank in EndRank]
        for lower, higher in zip(ends, ends[1:], strict=False):
            self.assertEqual(join(lower, higher).end, higher.end)

    @few_examples
    @given(KNOWLEDGE, KNOWLEDGE)
    def test_a_late_outcome_does_not_revert_may_have_run(self, known: MessageKnowledge, late: MessageKnowledge) -> None:
        adopted = replication_facts.with_unsettled_as_run(known, 9)
        self.assertEqual(join(known, adopted), adopted)
        self.assertGreaterEqual(
            replication_facts.may_have_run(join(adopted, late)), bool(replication_facts.unsettled_attempts(known, 9))
        )


class EncodingTest(unittest.TestCase):
    @few_examples
    @given(st.lists(FACTS, max_size=3))
    def test_facts_decode_to_the_same_and_encode_alike_in_any_order_of_terms(self, facts: list[Fact]) -> None:
        reordered = [
            Fact(
                each.number,
                each.base,
                msgspec.structs.replace(
                    each.known, attempts_by_term=dict(reversed(each.known.attempts_by_term.items()))
                ),
            )
            for each in facts
        ]
        self.assertEqual(replication_facts.decode_facts(replication_facts.encode_facts(facts)), facts)
        self.assertEqual(replication_facts.encode_facts(reordered), replication_facts.encode_facts(facts))

    @few_examples
    @given(st.binary(max_size=60), st.integers(0, 400), st.integers(1, 255))
    def test_corrupt_bytes_are_refused(self, noise: bytes, position: int, flip: int) -> None:
        encoded = bytearray(
            replication_facts.encode_facts([Fact(5, BASE, MessageKnowledge({1: TermAttempts(1, False, 4, 2)}))])
        )
        encoded[position % len(encoded)] ^= flip
        for data in (noise, bytes(encoded), bytes(encoded[:-1])):
            try:
                replication_facts.decode_facts(data)
            except CorruptFactsError:
                continue  # no other exception may be raised

    def test_values_outside_the_range_of_stored_records_are_refused(self) -> None:
        invalid: list[Any] = [
            Fact(-1, None, MessageKnowledge()),
            Fact(5, None, MessageKnowledge({1: TermAttempts(1, True, 4, 1 << 15)})),
            Fact(5, None, MessageKnowledge(end=(EndRank.FAILED, 1 << 32))),
            Fact(5, msgspec.structs.replace(BASE, id="x" * 17000), MessageKnowledge()),
        ]
        for fact in invalid:
            with self.assertRaises(CorruptFactsError):
                replication_facts.decode_facts(replication_facts.encode_facts([fact]))
        other_version = msgspec.msgpack.encode([replication_facts.VERSION + 1, []])
        self.assertRaises(FactsVersionError, replication_facts.decode_facts, other_version)


class StoredMessageTest(unittest.TestCase):
    @few_examples
    @given(STORED_MESSAGES, st.integers(0, 3))
    def test_conversion_to_facts_and_back_loses_nothing(self, stored: StoredMessage, lost_since: int) -> None:
        fact = Fact(5, replication_facts.base_of(stored, b"x"), replication_facts.knowledge_of(stored, 3))
        restored = replication_facts.stored_message_of(fact, lost_since)
        assert_nothing_lost(restored, stored)
        self.assertLessEqual(
            {stored.may_have_run_at, stored.in_flight_since}, {restored.may_have_run_at, restored.in_flight_since, 0}
        )
        self.assertEqual(restored.final_answer, stored.final_answer)

    @few_examples
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["attempt", "never ran", "may have run", "restart", "adopted"]), st.integers(0, 2)
            ),
            max_size=12,
        )
    )
    def test_an_adopter_knows_what_the_store_knows(self, events: list[tuple[str, int]]) -> None:
        stored = StoredMessage(5, "id-1", "", 0, "free", "", 7, 99, b"x")
        ledger = FactLedger(1)
        replicated = ledger.note_message(stored, b"x")
        for time, (event, zone) in enumerate(events, 1):
            if event == "attempt":
                stored.apply_attempt(time, zone)
                replicated = join_facts(replicated, ledger.note_attempt(5, time, zone))
            elif event == "restart":
                ledger = FactLedger(ledger.term + 1)
                replicated = join_facts(replicated, ledger.note_message(stored, b"x"))
            elif event == "adopted":
                replicated = ledger.adopt([replicated], ledger.term + 1)[0]
                stored = replication_facts.stored_message_of(replicated)
                stored.apply_outcome(never_ran=False)
            elif stored.in_flight_since:
                stored.apply_outcome(event == "never ran")
                replicated = join_facts(replicated, ledger.note_outcome(5, event == "never ran", completed=False))
            assert_nothing_lost(replication_facts.stored_message_of(replicated), stored)
        self.assertTrue(replication_facts.is_finished(ledger.note_finished(5).known) and not ledger.known)

    def test_adopted_attempts_may_have_run_and_finished_messages_are_dropped(self) -> None:
        unsettled, finished = (
            MessageKnowledge({1: TermAttempts(1, False, 4, 2)}),
            MessageKnowledge(end=(EndRank.COMPLETED, 0)),
        )
        ledger = FactLedger(0)
        pending = ledger.adopt([Fact(1, BASE, unsettled), Fact(2, BASE, unsettled), Fact(3, BASE, finished)], 2)
        self.assertEqual([each.known.first_may_have_run for each in pending], [(4, 2), (4, 2)])
        self.assertEqual(ledger.adopt([Fact(2, BASE, finished)], 2), [])
        self.assertEqual(list(ledger.known), [1])
