"""Decisions: decided once, whatever is lost, doubled or forgotten."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarwick.fleet.consensus import (
    ABSTENTION,
    DECIDED_RETENTION_US,
    ROUND_TIMEOUT_US,
    UNDECIDED_LIMIT_US,
    Acceptor,
    AcceptorReply,
    AcceptorTable,
    Proposer,
    format_move_name,
    parse_move_name,
)

MOVE = format_move_name(10, "A", "B")
TAKERS = (1, "B")


class ConsensusTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 2),
                st.sampled_from(["voter", "voter", "voter", "next", "lose"]),
                st.integers(0, 2),
                st.integers(0, 9),
            ),
            max_size=60,
        )
    )
    def test_one_value_with_three_proposers_and_a_voter_that_forgets(
        self, course: list[tuple[int, str, int, int]]
    ) -> None:
        voters = {name: Acceptor(0) for name in "ABC"}
        proposers = [Proposer(MOVE, f"{name}#1", ("A", "B", "C"), lambda failed: 1) for name in "ABC"]
        sent = [proposers[1].begin_target_round(0), proposers[0].begin_full_round(0), proposers[2].begin_full_round(0)]
        lost = False
        for who, what, voter, which in course:
            name, proposer = "ABC"[voter], proposers[who]
            if what == "next":
                sent[who] += (
                    proposer.begin_full_round(0) if proposer.backing_off else proposer.on_timer(ROUND_TIMEOUT_US)
                )
            elif what == "lose" and not lost:
                lost, voters[name] = True, Acceptor(0, table_lost=True)
                voters[name].raise_floor("A", 11)
            elif sent[who]:  # any question ever asked may come now, or once more
                ask = sent[who][which % len(sent[who])]
                acceptor = voters[ask.to]
                answer = (
                    acceptor.prepare(ask.move, ask.ballot, 0)
                    if ask.value is None
                    else acceptor.accept(ask.move, ask.ballot, ask.value, 0)
                )
                sent[who] += proposer.receive_reply(ask.to, ask.ballot, ask.value, answer, 0)
        self.assertLessEqual(len({each.decided for each in proposers} - {None}), 1)

    def test_round_one_is_the_takers_alone(self) -> None:
        voter = Acceptor(0)
        self.assertFalse(voter.accept(MOVE, (1, "C"), "taker", 0).granted)
        self.assertFalse(voter.accept(MOVE, TAKERS, "off", 0).granted)
        self.assertFalse(voter.prepare(MOVE, (1, "Z"), 0).granted)
        self.assertEqual(voter.table().rows, [])
        self.assertTrue(voter.accept(MOVE, TAKERS, "taker", 0).granted)

    def test_the_row_is_given_for_writing_before_the_answer_and_once(self) -> None:
        voter = Acceptor(0)
        first = voter.prepare(MOVE, (2, "A#1"), 0)
        self.assertEqual(first.unsaved_row and first.unsaved_row.promised, (2, "A#1"))
        self.assertEqual(voter.prepare(MOVE, (2, "A#1"), 0), first._replace(unsaved_row=None))
        again = Acceptor(5, table=voter.table())
        self.assertFalse(again.accept(MOVE, TAKERS, "taker", 5).granted)

    def test_who_has_lost_its_table_abstains_from_what_began_before(self) -> None:
        voter = Acceptor(0, table_lost=True)
        self.assertIs(voter.accept(MOVE, TAKERS, "taker", 0), ABSTENTION)
        voter.raise_floor("A", 11)
        voter = Acceptor(0, table=voter.table())
        self.assertIs(voter.prepare(MOVE, (2, "C#1"), 0), ABSTENTION)
        self.assertIs(voter.prepare(format_move_name(99, "C", "B"), (2, "C#1"), 0), ABSTENTION)
        self.assertTrue(voter.prepare(format_move_name(11, "A", "B"), (2, "C#1"), 0).granted)

    def test_a_pruned_decree_is_not_decided_once_more(self) -> None:
        voter = Acceptor(0)
        voter.accept(MOVE, TAKERS, "taker", 0)
        self.assertEqual((voter.long_undecided(UNDECIDED_LIMIT_US), voter.prune(DECIDED_RETENTION_US)), ([MOVE], False))
        settled = voter.note_decision(MOVE, "taker", 0)
        self.assertTrue(settled is not None and settled.decided)
        self.assertTrue(voter.prepare(MOVE, (9, "A#1"), 0).decided)
        self.assertTrue(voter.prune(DECIDED_RETENTION_US))
        voter = Acceptor(0, table=voter.table())
        self.assertEqual((voter.table(), voter.long_undecided(UNDECIDED_LIMIT_US)), (AcceptorTable([], {"A": 11}), []))
        self.assertIs(voter.accept(MOVE, TAKERS, "taker", DECIDED_RETENTION_US), ABSTENTION)

    def test_silent_voters_are_asked_again_then_a_higher_round_follows(self) -> None:
        proposer = Proposer(MOVE, "A#1", ("A", "B", "C"), lambda failed: 7)
        asks = proposer.begin_full_round(0)
        proposer.receive_reply("A", asks[0].ballot, None, Acceptor(0).prepare(MOVE, asks[0].ballot, 0), 0)
        proposer.receive_reply("B", asks[0].ballot, None, ABSTENTION, 0)
        self.assertEqual([ask.to for ask in proposer.on_timer(proposer.next_at)], ["B", "C"])
        self.assertEqual(proposer.on_timer(ROUND_TIMEOUT_US), [])
        self.assertEqual([ask.ballot for ask in proposer.on_timer(ROUND_TIMEOUT_US + 7)], [(3, "A#1")] * 3)

    def test_the_value_of_the_highest_ballot_is_taken_over_and_old_answers_do_not_count(self) -> None:
        proposer = Proposer(MOVE, "A#1", ("A", "B", "C"), lambda failed: 7)
        old = proposer.begin_full_round(0)[0].ballot
        granted = AcceptorReply(True, (9, "Z"), (0, ""), None, False)
        new = proposer.begin_full_round(0)[0].ballot
        for voter in "ABC":
            self.assertEqual(proposer.receive_reply(voter, old, None, granted, 0), [])
            self.assertEqual(proposer.receive_reply(voter, new, "off", granted, 0), [])
        proposer.receive_reply("A", new, None, granted._replace(accepted=TAKERS, value="off"), 0)
        asks = proposer.receive_reply("B", new, None, granted._replace(accepted=(2, "C#1"), value="taker"), 0)
        self.assertEqual({ask.value for ask in asks}, {"taker"})

    def test_a_promise_is_never_lowered(self) -> None:
        voter = Acceptor(0)
        voter.prepare(MOVE, (3, "A#1"), 0)
        self.assertFalse(voter.prepare(MOVE, (2, "C#1"), 0).granted)
        self.assertFalse(voter.accept(MOVE, (2, "C#1"), "off", 0).granted)

    def test_names(self) -> None:
        self.assertEqual(parse_move_name(MOVE), (10, "A", "B"))
        for bad in ("", "10/A", "x/A/B", "10//B", "1/A/B/C"):
            with self.assertRaises(ValueError):
                parse_move_name(bad)
        with self.assertRaises(ValueError):
            format_move_name(1, "a/b", "c")
