"""Consensus on moves: one value is decided, even with messages lost or repeated and a voter without its table."""

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
TARGET_BALLOT = (1, "B")


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
    def test_three_proposers_and_a_voter_that_lost_its_table_decide_one_value(
        self, events: list[tuple[int, str, int, int]]
    ) -> None:
        voters = {name: Acceptor(0) for name in "ABC"}
        proposers = [Proposer(MOVE, f"{name}#1", ("A", "B", "C"), lambda failed: 1) for name in "ABC"]
        sent = [proposers[1].begin_target_round(0), proposers[0].begin_full_round(0), proposers[2].begin_full_round(0)]
        has_lost_table = False
        for proposer_index, action, voter_index, request_index in events:
            name, proposer = "ABC"[voter_index], proposers[proposer_index]
            if action == "next":
                sent[proposer_index] += (
                    proposer.begin_full_round(0) if proposer.backing_off else proposer.on_timer(ROUND_TIMEOUT_US)
                )
            elif action == "lose" and not has_lost_table:
                has_lost_table, voters[name] = True, Acceptor(0, table_lost=True)
                voters[name].raise_floor("A", 11)
            elif sent[proposer_index]:  # any request sent so far is delivered now, maybe once more
                request = sent[proposer_index][request_index % len(sent[proposer_index])]
                acceptor = voters[request.to]
                answer = (
                    acceptor.prepare(request.move, request.ballot, 0)
                    if request.value is None
                    else acceptor.accept(request.move, request.ballot, request.value, 0)
                )
                sent[proposer_index] += proposer.receive_reply(request.to, request.ballot, request.value, answer, 0)
        self.assertLessEqual(len({each.decided for each in proposers} - {None}), 1)

    def test_only_the_target_may_use_round_one(self) -> None:
        voter = Acceptor(0)
        self.assertFalse(voter.accept(MOVE, (1, "C"), "taker", 0).granted)
        self.assertFalse(voter.accept(MOVE, TARGET_BALLOT, "off", 0).granted)
        self.assertFalse(voter.prepare(MOVE, (1, "Z"), 0).granted)
        self.assertEqual(voter.table().rows, [])
        self.assertTrue(voter.accept(MOVE, TARGET_BALLOT, "taker", 0).granted)

    def test_a_changed_row_is_returned_once_to_be_saved_before_the_answer(self) -> None:
        voter = Acceptor(0)
        first = voter.prepare(MOVE, (2, "A#1"), 0)
        self.assertEqual(first.unsaved_row and first.unsaved_row.promised, (2, "A#1"))
        self.assertEqual(voter.prepare(MOVE, (2, "A#1"), 0), first._replace(unsaved_row=None))
        again = Acceptor(5, table=voter.table())
        self.assertFalse(again.accept(MOVE, TARGET_BALLOT, "taker", 5).granted)

    def test_an_acceptor_without_its_table_abstains_from_earlier_moves(self) -> None:
        voter = Acceptor(0, table_lost=True)
        self.assertIs(voter.accept(MOVE, TARGET_BALLOT, "taker", 0), ABSTENTION)
        voter.raise_floor("A", 11)
        voter = Acceptor(0, table=voter.table())
        self.assertIs(voter.prepare(MOVE, (2, "C#1"), 0), ABSTENTION)
        self.assertIs(voter.prepare(format_move_name(99, "C", "B"), (2, "C#1"), 0), ABSTENTION)
        self.assertTrue(voter.prepare(format_move_name(11, "A", "B"), (2, "C#1"), 0).granted)

    def test_a_move_whose_decided_row_was_pruned_is_not_decided_again(self) -> None:
        voter = Acceptor(0)
        voter.accept(MOVE, TARGET_BALLOT, "taker", 0)
        self.assertEqual((voter.long_undecided(UNDECIDED_LIMIT_US), voter.prune(DECIDED_RETENTION_US)), ([MOVE], False))
        settled = voter.note_decision(MOVE, "taker", 0)
        self.assertTrue(settled is not None and settled.decided)
        self.assertTrue(voter.prepare(MOVE, (9, "A#1"), 0).decided)
        self.assertTrue(voter.prune(DECIDED_RETENTION_US))
        voter = Acceptor(0, table=voter.table())
        self.assertEqual((voter.table(), voter.long_undecided(UNDECIDED_LIMIT_US)), (AcceptorTable([], {"A": 11}), []))
        self.assertIs(voter.accept(MOVE, TARGET_BALLOT, "taker", DECIDED_RETENTION_US), ABSTENTION)

    def test_requests_are_repeated_and_then_a_higher_round_begins(self) -> None:
        proposer = Proposer(MOVE, "A#1", ("A", "B", "C"), lambda failed: 7)
        requests = proposer.begin_full_round(0)
        proposer.receive_reply("A", requests[0].ballot, None, Acceptor(0).prepare(MOVE, requests[0].ballot, 0), 0)
        proposer.receive_reply("B", requests[0].ballot, None, ABSTENTION, 0)
        self.assertEqual([request.to for request in proposer.on_timer(proposer.next_at)], ["B", "C"])
        self.assertEqual(proposer.on_timer(ROUND_TIMEOUT_US), [])
        self.assertEqual([request.ballot for request in proposer.on_timer(ROUND_TIMEOUT_US + 7)], [(3, "A#1")] * 3)

    def test_the_value_with_the_highest_accepted_ballot_is_proposed_and_old_answers_are_ignored(self) -> None:
        proposer = Proposer(MOVE, "A#1", ("A", "B", "C"), lambda failed: 7)
        old = proposer.begin_full_round(0)[0].ballot
        granted = AcceptorReply(True, (9, "Z"), (0, ""), None, False)
        new = proposer.begin_full_round(0)[0].ballot
        for voter in "ABC":
            self.assertEqual(proposer.receive_reply(voter, old, None, granted, 0), [])
            self.assertEqual(proposer.receive_reply(voter, new, "off", granted, 0), [])
        proposer.receive_reply("A", new, None, granted._replace(accepted=TARGET_BALLOT, value="off"), 0)
        requests = proposer.receive_reply("B", new, None, granted._replace(accepted=(2, "C#1"), value="taker"), 0)
        self.assertEqual({request.value for request in requests}, {"taker"})

    def test_a_promise_is_never_lowered(self) -> None:
        voter = Acceptor(0)
        voter.prepare(MOVE, (3, "A#1"), 0)
        self.assertFalse(voter.prepare(MOVE, (2, "C#1"), 0).granted)
        self.assertFalse(voter.accept(MOVE, (2, "C#1"), "off", 0).granted)

    def test_move_names(self) -> None:
        self.assertEqual(parse_move_name(MOVE), (10, "A", "B"))
        for invalid in ("", "10/A", "x/A/B", "10//B", "1/A/B/C"):
            with self.assertRaises(ValueError):
                parse_move_name(invalid)
        with self.assertRaises(ValueError):
            format_move_name(1, "a/b", "c")
