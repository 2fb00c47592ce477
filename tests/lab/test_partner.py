"""The model of a partner, in a time of its own."""

import heapq
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarwick.lab.partner import CallInProgress, Destination, Effect, Endpoint, Reply
from cedarwick.lab.scenario import Limit, Partner, Rules, Service, WarmUp
from cedarwick.lab.units import SECOND

MS = 1000
WINDOW = 4 * SECOND


def endpoint(**told: Any) -> Endpoint:
    """One endpoint with two workers, each taking 100 ms, and two places to wait."""
    partner = Partner(**{"name": "p", "workers": 2, "queue": 2, "service": Service(kind="fixed", mean_ms=100), **told})
    return Destination(0, partner, Rules(), 1, WINDOW).add_endpoint("e")


def through(made: Endpoint, now: int, id: str = "a", mark: str = "") -> tuple[int, Reply]:
    """A call to its end: when, and what it was answered."""
    reply = made.handle_call(now, id, mark)
    assert reply is not None
    while isinstance(reply, CallInProgress):
        settled = made.finish_call(reply.finish, reply)
        if isinstance(settled, Reply):
            return reply.finish, settled
        reply.finish = settled
    return now, reply


class WorkersTest(unittest.TestCase):
    def test_calls_wait_for_a_worker_and_a_full_queue_turns_away(self) -> None:
        made = endpoint()
        taken = [made.handle_call(0, str(number), "") for number in range(5)]
        finishes = [each.finish for each in taken if isinstance(each, CallInProgress)]
        self.assertEqual(finishes, [100 * MS, 100 * MS, 200 * MS, 200 * MS])
        self.assertEqual(taken[4], Reply(503))
        self.assertIsInstance(made.handle_call(100 * MS, "later", ""), CallInProgress)

    def test_a_call_that_ran_is_answered_200_and_a_failing_one_500(self) -> None:
        self.assertEqual(through(endpoint(), 0), (100 * MS, Reply(200, ran=True)))
        self.assertEqual(through(endpoint(error_share=1.0), 0)[1], Reply(500, ran=True))

    def test_a_mark_is_known_inside_its_window_and_new_after_it(self) -> None:
        made = endpoint()
        self.assertTrue(through(made, 0, "a", "m")[1].ran)
        again = through(made, WINDOW - 1, "a", "m")[1]
        self.assertEqual((again.status, again.ran, again.repeat), (200, False, True))
        self.assertTrue(through(made, 2 * WINDOW, "a", "m")[1].ran)

    def test_all_endpoints_of_a_destination_know_a_mark(self) -> None:
        made = endpoint()
        through(made, 0, "a", "m")
        self.assertTrue(through(made.destination.add_endpoint("f"), SECOND, "a", "m")[1].repeat)

    def test_slow_and_hung(self) -> None:
        made = endpoint()
        slow = made.begin_fault(0, Effect("slow", 3.0))
        self.assertEqual(through(made, 0)[0], 300 * MS)
        made.end_fault(SECOND, slow, warming_up=False)
        hang = made.begin_fault(SECOND, Effect("hang"))
        work = made.handle_call(SECOND, "a", "")
        assert isinstance(work, CallInProgress)
        self.assertIsInstance(made.finish_call(2 * SECOND, work), int)
        made.end_fault(3 * SECOND, hang, warming_up=False)
        self.assertEqual(made.finish_call(3 * SECOND, work), Reply(200, ran=True))

    def test_shut_tells_a_wait_or_none(self) -> None:
        made = endpoint()
        told = made.begin_fault(0, Effect("shut", 0.0, 700 * MS))
        self.assertEqual(made.handle_call(1, "a", ""), Reply(429, 700 * MS))
        made.end_fault(2, told, warming_up=False)
        made.begin_fault(3, Effect("shut"))
        self.assertEqual(made.handle_call(4, "a", ""), Reply(503))

    def test_overlapping_troubles_make_one_outage(self) -> None:
        made = endpoint()
        one, two = made.begin_fault(SECOND, Effect("crash")), made.begin_fault(2 * SECOND, Effect("hang"))
        made.end_fault(3 * SECOND, one, warming_up=True)
        self.assertEqual(made.outages[0].ended, 0)
        made.end_fault(4 * SECOND, two, warming_up=True)
        self.assertEqual([(each.began, each.ended) for each in made.outages], [(SECOND, 4 * SECOND)])


class LimitsTest(unittest.TestCase):
    def test_refusals_tell_the_time_to_the_next_span(self) -> None:
        made = endpoint(limit=Limit(calls=2, span_ms=1000, tells=1.0), workers=10)
        replies = [made.handle_call(5 * SECOND + 400 * MS, str(number), "") for number in range(3)]
        self.assertIsInstance(replies[1], CallInProgress)
        assert isinstance(replies[2], Reply)
        self.assertEqual((replies[2].status, replies[2].wait), (429, 600 * MS))
        self.assertIsInstance(made.handle_call(6 * SECOND, "next", ""), CallInProgress)

    def test_refusals_that_tell_a_wait_are_torn_and_no_other_answer(self) -> None:
        made = endpoint(limit=Limit(calls=1, span_ms=1000, tells=0.5))
        made.begin_fault(0, Effect("torn", 1.0))
        self.assertIsInstance(made.handle_call(0, "a", ""), CallInProgress)
        refused = [made.handle_call(1, str(number), "") for number in range(60)]
        told = {reply.spoilt for reply in refused if isinstance(reply, Reply) and reply.wait}
        self.assertEqual(told, {"pieces", "stops", "last"})
        self.assertEqual({reply.spoilt for reply in refused if isinstance(reply, Reply) and not reply.wait}, {""})

    def test_a_cut_binds_all_endpoints(self) -> None:
        made = endpoint(limit=Limit(calls=4, tells=0.0), workers=10)
        made.destination.add_endpoint("f").begin_fault(0, Effect("limit-cut", 0.5))
        replies = [made.handle_call(1, str(number), "") for number in range(3)]
        self.assertEqual([isinstance(each, CallInProgress) for each in replies], [True, True, False])

    def test_a_report_is_refreshed_now_and_then(self) -> None:
        made = endpoint(limit=Limit(calls=10, report_ms=300, tells=0.0), workers=20)
        self.assertEqual(through(made, 0)[1].report, (0.9, 10.0))
        made.handle_call(150 * MS, "b", "")
        self.assertEqual(through(made, 200 * MS)[1].report, (0.9, 10.0))
        self.assertEqual(through(made, 350 * MS)[1].report, (0.6, 10.0))

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.integers(0, 400 * MS), max_size=80), st.booleans())
    def test_no_span_lets_more_through(self, gaps: list[int], refused_count: bool) -> None:
        made = endpoint(limit=Limit(calls=5, refused_count=refused_count), workers=1000, queue=1000)
        now, spans = 0, dict[int, int]()
        for gap in gaps:
            now += gap
            if isinstance(made.handle_call(now, "x", ""), CallInProgress):
                spans[now // SECOND] = spans.get(now // SECOND, 0) + 1
        self.assertLessEqual(max(spans.values(), default=0), 5)


class WarmUpTest(unittest.TestCase):
    def returned(self) -> Endpoint:
        made = endpoint(warm_up=WarmUp(share=0.5, warm_s=4, down_s=2), workers=2, queue=10_000)
        crash = made.begin_fault(SECOND, Effect("crash"))
        made.end_fault(3 * SECOND, crash, warming_up=True)
        return made

    def test_it_is_slow_at_first(self) -> None:
        made = self.returned()
        self.assertEqual([made.warm_up_factor(at * SECOND) for at in (3, 5, 7)], [0.5, 0.75, 1.0])

    def test_pushed_while_cold_it_falls_over_and_lies_for_a_while(self) -> None:
        made = self.returned()
        fell = [made.handle_call(3 * SECOND + number * MS, "x", "") is None for number in range(100)]
        self.assertIn(True, fell)
        self.assertTrue(made.is_down(4 * SECOND))
        self.assertTrue(made.outages[-1].overloaded)
        self.assertFalse(made.is_down(7 * SECOND))
        self.assertEqual(made.warm_up_factor(7 * SECOND), 0.5)

    def test_brought_up_gently_it_stays(self) -> None:
        made = self.returned()
        for number in range(40):
            self.assertIsNotNone(made.handle_call(3 * SECOND + number * 100 * MS, "x", ""))


class InvariantsTest(unittest.TestCase):
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.integers(0, 80 * MS), st.sampled_from(["", "slow", "hang", "crash"])), max_size=60))
    def test_never_more_calls_within_than_workers_and_queue(self, steps: list[tuple[int, str]]) -> None:
        made, now, ends = endpoint(), 0, list[int]()
        begun: list[int] = []
        for gap, trouble in steps:
            now += gap
            if trouble:
                for number in begun:
                    made.end_fault(now, number, warming_up=False)
                begun = [made.begin_fault(now, Effect(trouble, 2.0))]
                ends = [] if trouble == "crash" else ends
            while ends and ends[0] <= now:
                heapq.heappop(ends)
            reply = made.handle_call(now, "x", "")
            if isinstance(reply, CallInProgress):
                heapq.heappush(ends, reply.finish)
                self.assertGreater(reply.finish, now)
            self.assertLessEqual(len(ends), 4)


if __name__ == "__main__":
    unittest.main()
