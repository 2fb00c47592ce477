"""All histories of three members keep the invariants up to a given depth; without any guard, some do not."""

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


class Search(NamedTuple):
    """The start state, members and actions, the numbers of faults, the depth, and the number of distinct states."""

    start_state: str
    actions: str
    crashes: int
    late_messages: int
    depth: int
    states: int


SEARCHES = {
    "first": Search("never_held", "H A B crash name", 1, 1, 3, 1971),
    "late replies": Search("held_with_late_replies", "A name", 0, 0, 8, 931),
    "crash": Search("held", "A B crash", 1, 0, 7, 7308),
    "lost folder": Search("held", "H A B wipe", 1, 0, 5, 7343),
    "closing": Search("held", "H A B close", 0, 0, 5, 6169),
    "successors": Search("held", "A B name", 0, 0, 6, 703),
    "holder resumes": Search("holder_resumes", "H crash", 1, 0, 7, 1194),
    "two successors": Search("next_term_granted", "A B", 0, 0, 6, 2485),
    "dead successor": Search("next_term_granted", "A B crash", 1, 0, 5, 3339),
    "probes": Search("next_term_granted", "A B probe", 0, 0, 6, 3638),
    "probes and a crash": Search("next_term_granted", "A B crash probe", 1, 0, 5, 2874),
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
    def __init__(self, me: str, names: Collection[str], boot_time: int, grants: Iterable[Grant] | None) -> None:
        super().__init__(me, names, boot_time, grants or ())


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
    AnyTerm: ("holder resumes", "no successor"),
    NoPromise: ("late replies", "at once"),
    AnySuccessor: ("successors", "no successor"),
    Reopening: ("closing", "closed"),
    NoWaitAfterBoot: ("crash", "at once"),
    NoLearning: ("lost folder", "no successor"),
    WholeSpan: ("late replies", "at once"),
    CountedFromReply: ("late replies", "at once"),
    AttemptsBeforeNaming: ("two successors", "no successor"),
}


def run_search(
    search: Search, grantor: type[LeaseGrantor] = LeaseGrantor, holder: type[LeaseHolder] = LeaseHolder
) -> Exploration:
    model = Model(grantor, holder, search.actions, search.crashes, search.late_messages)
    return explore(model, getattr(model, search.start_state)(), search.depth)


class ModelCheckTest(unittest.TestCase):
    def test_every_history_of_three_members_keeps_the_invariants(self) -> None:
        for name, search in SEARCHES.items():
            with self.subTest(name):
                self.assertEqual(run_search(search), (search.states, "", []))

    def test_a_missing_guard_breaks_an_invariant(self) -> None:
        for mutant, (name, finding) in MUTANTS.items():
            with self.subTest(mutant.__name__):
                if issubclass(mutant, LeaseGrantor):
                    found = run_search(SEARCHES[name], grantor=mutant)
                else:
                    found = run_search(SEARCHES[name], holder=mutant)
                self.assertIn(finding, found.broken_invariant)


class RandomHistoriesTest(unittest.TestCase):
    def test_successors_may_take_over_after_a_restart_of_the_holder(self) -> None:
        """A stopped holder is restarted after a successor has sent a request: the successor may still take over."""
        history = Histories()
        history.begin(seed=0)
        for steps in (*[1] * 10, 17):
            history.pass_time(steps=steps)
        history.fault(name="a", kind="stop")
        history.pass_time(steps=18)
        history.fault(name="a", kind="stop")
        history.pass_time(steps=1)
        history.fault(name="a", kind="crash")
        history.fault(name="a", kind="crash")  # restarts a member that is down
        history.pass_time(steps=7)
        self.assertEqual(history.last_attempt, ("e", 2))  # the first successor

    def test_a_member_that_lost_its_folder_does_not_complete_a_majority_that_it_had_refused(self) -> None:
        """b grants term 2 of d, loses its folder, learns the undecided term 3 of a, and must not grant that one."""
        history = Histories()
        history.begin(seed=6138)
        history.fault(name="b", kind="stop")
        history.fault(name="b", kind="stop")  # resumes a member that is stopped
        history.pass_time(steps=25)
        history.fault(name="a", kind="crash")
        history.fault(name="e", kind="crash")
        history.pass_time(steps=24)
        history.fault(name="a", kind="crash")  # restarts a member that is down
        history.fault(name="b", kind="forget")
        history.pass_time(steps=1)
        history.fault(name="a", kind="crash")
        history.teardown()

    def test_two_members_that_request_alternately_do_not_block_each_other_forever(self) -> None:
        """a and b, granted by two and three members, each request a newer term whenever the other one gives up."""
        history = Histories()
        history.begin(seed=188)
        for steps in (1, 1, 1, 1, 1, 3):
            history.pass_time(steps=steps)
        history.fault(name="a", kind="crash")
        history.fault(name="b", kind="crash")
        history.fault(name="b", kind="crash")  # restarts a member that is down
        for steps in (1, 1, 1, 1, 16):
            history.pass_time(steps=steps)
        history.fault(name="a", kind="crash")
        for steps in (1, 1, 1, 1):
            history.pass_time(steps=steps)
        history.fault(name="a", kind="crash")
        history.teardown()

    def test_random_histories_of_five_members_keep_the_invariants(self) -> None:
        self.assertEqual(majority_of(len(MEMBERS)), 3)
        Histories.TestCase.settings = settings(
            max_examples=60, stateful_step_count=25, derandomize=True, deadline=None, database=None
        )
        result = Histories.TestCase("runTest").run()
        assert result is not None
        self.assertEqual([*result.failures, *result.errors], [])
