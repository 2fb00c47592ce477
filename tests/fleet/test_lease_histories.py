"""No history of three members breaks a claim, to a stated depth; without any one guard some history does."""

import unittest
from collections.abc import Collection, Iterable
from typing import NamedTuple

from hypothesis import settings

from cedarwick.fleet.lease_grantor import LeaseGrantor
from cedarwick.fleet.lease_holder import LeaseHolder
from cedarwick.fleet.leases import majority_of
from cedarwick.fleet.messages import Grant, LeaseRequest
from tests.fleet.explore import Exploration, Model, explore
from tests.fleet.lease_histories import MEMBERS, Histories


class Part(NamedTuple):
    """Where histories begin, who may act and how, faults for each, actions, and the distinct states there are."""

    begin: str
    actions: str
    crashes: int
    late_messages: int
    depth: int
    states: int


PARTS = {
    "first": Part("never_held", "H A B crash name", 1, 1, 3, 1971),
    "late answers": Part("held_with_late_replies", "A name", 0, 0, 8, 931),
    "crash": Part("held", "A B crash", 1, 0, 7, 7308),
    "lost folder": Part("held", "H A B wipe", 1, 0, 5, 7343),
    "closing": Part("held", "H A B close", 0, 0, 5, 6169),
    "successors": Part("held", "A B name", 0, 0, 6, 703),
    "woken": Part("holder_resumes", "H crash", 1, 0, 7, 1194),
    "two successors": Part("next_term_granted", "A B", 0, 0, 6, 2485),
    "dead successor": Part("next_term_granted", "A B crash", 1, 0, 5, 3339),
    "probes": Part("next_term_granted", "A B probe", 0, 0, 6, 3638),
    "probes and a crash": Part("next_term_granted", "A B crash probe", 1, 0, 5, 2874),
}


class AnyTerm(LeaseGrantor):
    def _term_fits(self, known: Grant, request: LeaseRequest) -> bool:
        return True


class NoPromise(LeaseGrantor):
    def _is_promise_free(self, now: int, known: Grant, request: LeaseRequest) -> bool:
        return True


class AnySuccessor(LeaseGrantor):
    def _is_successor(self, known: Grant, request: LeaseRequest) -> bool:
        return True


class Reopening(LeaseGrantor):
    def _is_open(self, known: Grant, request: LeaseRequest) -> bool:
        return True


class NoWaitAfterBoot(LeaseGrantor):
    def _promised_at_boot(self) -> int:
        return self.booted_at


class NoLearning(LeaseGrantor):
    def __init__(self, me: str, names: Collection[str], boot: int, grants: Iterable[Grant] | None) -> None:
        super().__init__(me, names, boot, grants or ())


class WholeSpan(LeaseHolder):
    def _usable_span(self) -> int:
        return self.span


class CountedFromReply(LeaseHolder):
    def _counted_from(self, sent_at: int, now: int) -> int:
        return now


class AttemptsBeforeNaming(LeaseHolder):
    def _is_of_this_term(self, number: int) -> bool:
        return True


MUTANTS: dict[type[LeaseGrantor] | type[LeaseHolder], tuple[str, str]] = {
    AnyTerm: ("woken", "no successor"),
    NoPromise: ("late answers", "at once"),
    AnySuccessor: ("successors", "no successor"),
    Reopening: ("closing", "closed"),
    NoWaitAfterBoot: ("crash", "at once"),
    NoLearning: ("lost folder", "no successor"),
    WholeSpan: ("late answers", "at once"),
    CountedFromReply: ("late answers", "at once"),
    AttemptsBeforeNaming: ("two successors", "no successor"),
}


def explore_part(
    part: Part, grantor: type[LeaseGrantor] = LeaseGrantor, holder: type[LeaseHolder] = LeaseHolder
) -> Exploration:
    model = Model(grantor, holder, part.actions, part.crashes, part.late_messages)
    return explore(model, getattr(model, part.begin)(), part.depth)


class EveryHistoryTest(unittest.TestCase):
    def test_no_history_of_three_members_breaks_a_claim(self) -> None:
        for name, part in PARTS.items():
            with self.subTest(name):
                self.assertEqual(explore_part(part), (part.states, "", []))

    def test_a_missing_guard_breaks_a_claim(self) -> None:
        for mutant, (name, claim) in MUTANTS.items():
            with self.subTest(mutant.__name__):
                if issubclass(mutant, LeaseGrantor):
                    found = explore_part(PARTS[name], grantor=mutant)
                else:
                    found = explore_part(PARTS[name], holder=mutant)
                self.assertIn(claim, found.broken_claim)


class ManyHistoriesTest(unittest.TestCase):
    def test_a_restart_of_the_holder_takes_nothing_from_those_that_it_had_named(self) -> None:
        """A stopped holder, started again after a successor has asked: the successor may still follow."""
        history = Histories()
        history.begin(seed=0)
        for steps in (*[1] * 10, 17):
            history.goes_on(steps=steps)
        history.fails(name="a", how="stop")
        history.goes_on(steps=18)
        history.fails(name="a", how="stop")
        history.goes_on(steps=1)
        history.fails(name="a", how="crash")
        history.fails(name="a", how="crash")  # one that is down is started again
        history.goes_on(steps=7)
        self.assertEqual(history.last_attempt, ("e", 2))  # the first successor

    def test_a_member_without_its_folder_completes_no_grant_that_it_had_refused(self) -> None:
        """b votes for d's term 2, loses its folder, learns a's newer, undecided term 3, and completes its majority."""
        history = Histories()
        history.begin(seed=6138)
        history.fails(name="b", how="stop")
        history.fails(name="b", how="stop")  # one that is stopped goes on
        history.goes_on(steps=25)
        history.fails(name="a", how="crash")
        history.fails(name="e", how="crash")
        history.goes_on(steps=24)
        history.fails(name="a", how="crash")  # one that is down is started again
        history.fails(name="b", how="forget")
        history.goes_on(steps=1)
        history.fails(name="a", how="crash")
        history.teardown()

    def test_two_that_ask_in_turn_do_not_keep_the_lease_from_one_another_for_ever(self) -> None:
        """a and b, granted by two and three members, each ask for a newer term whenever the other one gives up."""
        history = Histories()
        history.begin(seed=188)
        for steps in (1, 1, 1, 1, 1, 3):
            history.goes_on(steps=steps)
        history.fails(name="a", how="crash")
        history.fails(name="b", how="crash")
        history.fails(name="b", how="crash")  # one that is down is started again
        for steps in (1, 1, 1, 1, 16):
            history.goes_on(steps=steps)
        history.fails(name="a", how="crash")
        for steps in (1, 1, 1, 1):
            history.goes_on(steps=steps)
        history.fails(name="a", how="crash")
        history.teardown()

    def test_drawn_histories_of_five_members_keep_the_claims(self) -> None:
        self.assertEqual(majority_of(len(MEMBERS)), 3)
        Histories.TestCase.settings = settings(
            max_examples=60, stateful_step_count=25, derandomize=True, deadline=None, database=None
        )
        result = Histories.TestCase("runTest").run()
        assert result is not None
        self.assertEqual([*result.failures, *result.errors], [])
