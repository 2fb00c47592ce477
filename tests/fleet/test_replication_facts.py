"""What senders know of a message: it only grows, and it is the same from whichever side it is joined."""

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

FEW = st.integers(0, 3)
HEADS = st.builds(TermAttempts, st.integers(1, 3), st.booleans(), st.integers(1, 4), st.integers(-1, 2))
KNOWN = st.builds(
    MessageKnowledge,
    st.dictionaries(st.integers(1, 4), HEADS),
    st.none() | st.tuples(st.integers(1, 4), FEW),
    FEW,
    st.tuples(st.sampled_from(EndRank), FEW),
    st.none() | st.tuples(FEW, st.sampled_from("ab")),
)
BASE = MessageBase("id-1", "", (1 << 64) - 1, "free", "", 7, 99, b"body")
FACTS = st.builds(Fact, st.just(5), st.sampled_from([None, BASE]), KNOWN).map(replication_facts.trimmed)
KEPT = st.builds(
    StoredMessage,
    st.just(5),
    st.just("id-1"),
    st.just(""),
    FEW,
    st.just("free"),
    st.just(""),
    FEW,
    FEW,
    st.just(b"x"),
    st.just(2),
    FEW,
    FEW,
    FEW,
    FEW,
    FEW,
    st.none() | st.tuples(st.booleans(), FEW),
)
quick = settings(
    max_examples=100,
    derandomize=True,
    database=None,
    deadline=None,
    report_multiple_bugs=False,
    phases=(Phase.generate,),
)
Join = Callable[[MessageKnowledge, MessageKnowledge], MessageKnowledge]


def may_have(kept: StoredMessage) -> list[tuple[int, int]]:
    """The attempts that the decisions take for ones that may have run."""
    return [(attempt.sent_at, attempt.zone) for attempt in kept.earlier_attempts() if attempt.outcome is None]


def knows_no_less(after: StoredMessage, before: StoredMessage) -> None:
    assert after.attempts >= before.attempts, "an attempt is forgotten"
    if may_have(before):
        assert may_have(after) and min(may_have(after))[0] <= min(may_have(before))[0], "'never ran'"


def grows(by: Join) -> None:
    """Whatever one of two knew of attempts and ends is known after they are joined."""

    @quick
    @given(KNOWN, KNOWN)
    def each(a: MessageKnowledge, b: MessageKnowledge) -> None:
        both = by(a, b)
        assert replication_facts.may_have_run(both) >= replication_facts.may_have_run(
            a
        ) and replication_facts.is_finished(both) >= replication_facts.is_finished(a)
        assert replication_facts.total_attempts(both) >= replication_facts.total_attempts(a) and both.end >= a.end
        assert all(both.attempts_by_term[term] >= head for term, head in a.attempts_by_term.items())
        if not replication_facts.is_finished(both):
            knows_no_less(
                replication_facts.stored_message_of(Fact(5, BASE, replication_facts.with_unsettled_as_run(both, 9))),
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

    each()


class JoinTest(unittest.TestCase):
    @quick
    @given(FACTS, FACTS, FACTS)
    def test_order_and_repeats_do_not_matter(self, a: Fact, b: Fact, c: Fact) -> None:
        self.assertEqual(join_facts(a, b), join_facts(b, a))
        self.assertEqual(join_facts(join_facts(a, b), c), join_facts(a, join_facts(b, c)))
        self.assertEqual(join_facts(a, a), a)
        self.assertEqual(join_facts(join_facts(a, b), b), join_facts(a, b))

    def test_what_is_known_only_grows(self) -> None:
        grows(join)

    def test_a_join_that_forgets_is_noticed(self) -> None:
        def newest_wins(a: MessageKnowledge, b: MessageKnowledge) -> MessageKnowledge:
            return max(a, b, key=lambda known: max(known.attempts_by_term, default=0))

        def one_head(a: MessageKnowledge, b: MessageKnowledge) -> MessageKnowledge:
            both = join(a, b)
            return msgspec.structs.replace(both, attempts_by_term=dict(sorted(both.attempts_by_term.items())[-1:]))

        def outcome_clears(a: MessageKnowledge, b: MessageKnowledge) -> MessageKnowledge:
            both = join(a, b)
            return (
                msgspec.structs.replace(both, first_may_have_run=None)
                if any(h.settled for h in both.attempts_by_term.values())
                else both
            )

        for broken in (newest_wins, one_head, outcome_clears):
            with self.assertRaises(AssertionError, msg=broken.__name__):
                grows(broken)

    def test_of_two_ends_the_honest_one_is_kept(self) -> None:
        ends = [MessageKnowledge(end=(rank, 0)) for rank in EndRank]
        for worse, better in zip(ends, ends[1:], strict=False):
            self.assertEqual(join(worse, better).end, better.end)

    @quick
    @given(KNOWN, KNOWN)
    def test_a_late_outcome_takes_nothing_back(self, known: MessageKnowledge, late: MessageKnowledge) -> None:
        adopted = replication_facts.with_unsettled_as_run(known, 9)
        self.assertEqual(join(known, adopted), adopted)
        self.assertGreaterEqual(
            replication_facts.may_have_run(join(adopted, late)), bool(replication_facts.unsettled_attempts(known, 9))
        )


class EncodingTest(unittest.TestCase):
    @quick
    @given(st.lists(FACTS, max_size=3))
    def test_facts_read_back_and_are_the_same_bytes_whatever_the_order_of_heads(self, told: list[Fact]) -> None:
        turned = [
            Fact(
                each.number,
                each.base,
                msgspec.structs.replace(
                    each.known, attempts_by_term=dict(reversed(each.known.attempts_by_term.items()))
                ),
            )
            for each in told
        ]
        self.assertEqual(replication_facts.decode_facts(replication_facts.encode_facts(told)), told)
        self.assertEqual(replication_facts.encode_facts(turned), replication_facts.encode_facts(told))

    @quick
    @given(st.binary(max_size=60), st.integers(0, 400), st.integers(1, 255))
    def test_spoilt_bytes_are_refused(self, noise: bytes, at: int, flip: int) -> None:
        good = bytearray(
            replication_facts.encode_facts([Fact(5, BASE, MessageKnowledge({1: TermAttempts(1, False, 4, 2)}))])
        )
        good[at % len(good)] ^= flip
        for data in (noise, bytes(good), bytes(good[:-1])):
            try:
                replication_facts.decode_facts(data)
            except CorruptFactsError:
                continue  # nothing else may come

    def test_what_the_folder_could_not_hold_is_refused(self) -> None:
        wrong: list[Any] = [
            Fact(-1, None, MessageKnowledge()),
            Fact(5, None, MessageKnowledge({1: TermAttempts(1, True, 4, 1 << 15)})),
            Fact(5, None, MessageKnowledge(end=(EndRank.FAILED, 1 << 32))),
            Fact(5, msgspec.structs.replace(BASE, id="x" * 17000), MessageKnowledge()),
        ]
        for fact in wrong:
            with self.assertRaises(CorruptFactsError):
                replication_facts.decode_facts(replication_facts.encode_facts([fact]))
        other = msgspec.msgpack.encode([replication_facts.VERSION + 1, []])
        self.assertRaises(FactsVersionError, replication_facts.decode_facts, other)


class FolderTest(unittest.TestCase):
    @quick
    @given(KEPT, st.integers(0, 3))
    def test_through_facts_and_back_nothing_is_forgotten(self, kept: StoredMessage, doubt: int) -> None:
        fact = Fact(5, replication_facts.base_of(kept, b"x"), replication_facts.knowledge_of(kept, 3))
        back = replication_facts.stored_message_of(fact, doubt)
        knows_no_less(back, kept)
        self.assertLessEqual(
            {kept.may_have_run_at, kept.in_flight_since}, {back.may_have_run_at, back.in_flight_since, 0}
        )
        self.assertEqual(back.final_answer, kept.final_answer)

    @quick
    @given(
        st.lists(
            st.tuples(st.sampled_from(["shot", "never", "may", "restart", "adopted"]), st.integers(0, 2)), max_size=12
        )
    )
    def test_an_adopter_knows_what_the_folder_knows(self, happened: list[tuple[str, int]]) -> None:
        kept = StoredMessage(5, "id-1", "", 0, "free", "", 7, 99, b"x")
        ledger = FactLedger(1)
        copy = ledger.note_message(kept, b"x")
        for at, (what, zone) in enumerate(happened, 1):
            if what == "shot":
                kept.apply_attempt(at, zone)
                copy = join_facts(copy, ledger.note_attempt(5, at, zone))
            elif what == "restart":
                ledger = FactLedger(ledger.term + 1)
                copy = join_facts(copy, ledger.note_message(kept, b"x"))
            elif what == "adopted":
                copy = ledger.adopt([copy], ledger.term + 1)[0]
                kept = replication_facts.stored_message_of(copy)
                kept.apply_outcome(never_ran=False)
            elif kept.in_flight_since:
                kept.apply_outcome(what == "never")
                copy = join_facts(copy, ledger.note_outcome(5, what == "never", completed=False))
            knows_no_less(replication_facts.stored_message_of(copy), kept)
        self.assertTrue(replication_facts.is_finished(ledger.note_finished(5).known) and not ledger.known)

    def test_what_is_adopted_may_have_run_and_what_is_over_is_dropped(self) -> None:
        out, over = MessageKnowledge({1: TermAttempts(1, False, 4, 2)}), MessageKnowledge(end=(EndRank.COMPLETED, 0))
        ledger = FactLedger(0)
        taken = ledger.adopt([Fact(1, BASE, out), Fact(2, BASE, out), Fact(3, BASE, over)], 2)
        self.assertEqual([each.known.first_may_have_run for each in taken], [(4, 2), (4, 2)])
        self.assertEqual(ledger.adopt([Fact(2, BASE, over)], 2), [])
        self.assertEqual(list(ledger.known), [1])
