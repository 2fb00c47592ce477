"""The model of a partner's endpoints, at given times."""

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


def make_endpoint(**keys: Any) -> Endpoint:
    """An endpoint with two workers, 100 ms for each call, and a queue of two."""
    partner = Partner(**{"name": "p", "workers": 2, "queue": 2, "service": Service(kind="fixed", mean_ms=100), **keys})
    return Destination(0, partner, Rules(), 1, WINDOW).add_endpoint("e")


def call_to_end(endpoint: Endpoint, now: int, id: str = "a", mark: str = "") -> tuple[int, Reply]:
    """Make a call and finish it; the time of its answer, and the answer."""
    reply = endpoint.handle_call(now, id, mark)
    assert reply is not None
    while isinstance(reply, CallInProgress):
        settled = endpoint.finish_call(reply.finish, reply)
        if isinstance(settled, Reply):
            return reply.finish, settled
        reply.finish = settled
    return now, reply


class WorkersTest(unittest.TestCase):
    def test_calls_wait_for_a_worker_and_a_full_queue_refuses(self) -> None:
        endpoint = make_endpoint()
        replies = [endpoint.handle_call(0, str(number), "") for number in range(5)]
        finishes = [each.finish for each in replies if isinstance(each, CallInProgress)]
        self.assertEqual(finishes, [100 * MS, 100 * MS, 200 * MS, 200 * MS])
        self.assertEqual(replies[4], Reply(503))
        self.assertIsInstance(endpoint.handle_call(100 * MS, "later", ""), CallInProgress)

    def test_a_call_that_ran_is_answered_200_and_a_failing_one_500(self) -> None:
        self.assertEqual(call_to_end(make_endpoint(), 0), (100 * MS, Reply(200, ran=True)))
        self.assertEqual(call_to_end(make_endpoint(error_share=1.0), 0)[1], Reply(500, ran=True))

    def test_a_key_is_known_within_its_window_and_new_after_it(self) -> None:
        endpoint = make_endpoint()
        self.assertTrue(call_to_end(endpoint, 0, "a", "m")[1].ran)
        again = call_to_end(endpoint, WINDOW - 1, "a", "m")[1]
        self.assertEqual((again.status, again.ran, again.repeat), (200, False, True))
        self.assertTrue(call_to_end(endpoint, 2 * WINDOW, "a", "m")[1].ran)

    def test_all_endpoints_of_a_destination_share_the_keys(self) -> None:
        endpoint = make_endpoint()
        call_to_end(endpoint, 0, "a", "m")
        self.assertTrue(call_to_end(endpoint.destination.add_endpoint("f"), SECOND, "a", "m")[1].repeat)

    def test_slow_and_hung(self) -> None:
        endpoint = make_endpoint()
        slow = endpoint.begin_fault(0, Effect("slow", 3.0))
        self.assertEqual(call_to_end(endpoint, 0)[0], 300 * MS)
        endpoint.end_fault(SECOND, slow, warming_up=False)
        hang = endpoint.begin_fault(SECOND, Effect("hang"))
        call = endpoint.handle_call(SECOND, "a", "")
        assert isinstance(call, CallInProgress)
        self.assertIsInstance(endpoint.finish_call(2 * SECOND, call), int)
        endpoint.end_fault(3 * SECOND, hang, warming_up=False)
        self.assertEqual(endpoint.finish_call(3 * SECOND, call), Reply(200, ran=True))

    def test_shut_advises_a_wait_or_none(self) -> None:
        endpoint = make_endpoint()
        shut = endpoint.begin_fault(0, Effect("shut", 0.0, 700 * MS))
        self.assertEqual(endpoint.handle_call(1, "a", ""), Reply(429, 700 * MS))
        endpoint.end_fault(2, shut, warming_up=False)
        endpoint.begin_fault(3, Effect("shut"))
        self.assertEqual(endpoint.handle_call(4, "a", ""), Reply(503))

    def test_overlapping_faults_make_one_outage(self) -> None:
        endpoint = make_endpoint()
        crash, hang = endpoint.begin_fault(SECOND, Effect("crash")), endpoint.begin_fault(2 * SECOND, Effect("hang"))
        endpoint.end_fault(3 * SECOND, crash, warming_up=True)
        self.assertEqual(endpoint.outages[0].ended, 0)
        endpoint.end_fault(4 * SECOND, hang, warming_up=True)
        self.assertEqual([(each.began, each.ended) for each in endpoint.outages], [(SECOND, 4 * SECOND)])


class LimitsTest(unittest.TestCase):
    def test_refusals_advise_the_time_to_the_next_span(self) -> None:
        endpoint = make_endpoint(limit=Limit(calls=2, span_ms=1000, tells=1.0), workers=10)
        replies = [endpoint.handle_call(5 * SECOND + 400 * MS, str(number), "") for number in range(3)]
        self.assertIsInstance(replies[1], CallInProgress)
        assert isinstance(replies[2], Reply)
        self.assertEqual((replies[2].status, replies[2].wait), (429, 600 * MS))
        self.assertIsInstance(endpoint.handle_call(6 * SECOND, "next", ""), CallInProgress)

    def test_only_refusals_that_advise_a_wait_are_torn(self) -> None:
        endpoint = make_endpoint(limit=Limit(calls=1, span_ms=1000, tells=0.5))
        endpoint.begin_fault(0, Effect("torn", 1.0))
        self.assertIsInstance(endpoint.handle_call(0, "a", ""), CallInProgress)
        refused = [endpoint.handle_call(1, str(number), "") for number in range(60)]
        forms = {reply.spoilt for reply in refused if isinstance(reply, Reply) and reply.wait}
        self.assertEqual(forms, {"pieces", "stops", "last"})
        self.assertEqual({reply.spoilt for reply in refused if isinstance(reply, Reply) and not reply.wait}, {""})

    def test_a_limit_cut_holds_for_all_endpoints(self) -> None:
        endpoint = make_endpoint(limit=Limit(calls=4, tells=0.0), workers=10)
        endpoint.destination.add_endpoint("f").begin_fault(0, Effect("limit-cut", 0.5))
        replies = [endpoint.handle_call(1, str(number), "") for number in range(3)]
        self.assertEqual([isinstance(each, CallInProgress) for each in replies], [True, True, False])

    def test_a_report_is_updated_at_its_interval(self) -> None:
        endpoint = make_endpoint(limit=Limit(calls=10, report_ms=300, tells=0.0), workers=20)
        self.assertEqual(call_to_end(endpoint, 0)[1].report, (0.9, 10.0))
        endpoint.handle_call(150 * MS, "b", "")
        self.assertEqual(call_to_end(endpoint, 200 * MS)[1].report, (0.9, 10.0))
        self.assertEqual(call_to_end(endpoint, 350 * MS)[1].report, (0.6, 10.0))

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.integers(0, 400 * MS), max_size=80), st.booleans())
    def test_no_span_exceeds_the_limit(self, gaps: list[int], refused_count: bool) -> None:
        endpoint = make_endpoint(limit=Limit(calls=5, refused_count=refused_count), workers=1000, queue=1000)
        now, calls_by_span = 0, dict[int, int]()
        for gap in gaps:
            now += gap
            if isinstance(endpoint.handle_call(now, "x", ""), CallInProgress):
                calls_by_span[now // SECOND] = calls_by_span.get(now // SECOND, 0) + 1
        self.assertLessEqual(max(calls_by_span.values(), default=0), 5)


class WarmUpTest(unittest.TestCase):
    def recovering_endpoint(self) -> Endpoint:
        endpoint = make_endpoint(warm_up=WarmUp(share=0.5, warm_s=4, down_s=2), workers=2, queue=10_000)
        crash = endpoint.begin_fault(SECOND, Effect("crash"))
        endpoint.end_fault(3 * SECOND, crash, warming_up=True)
        return endpoint

    def test_speed_rises_over_the_warm_up(self) -> None:
        endpoint = self.recovering_endpoint()
        self.assertEqual([endpoint.warm_up_factor(at * SECOND) for at in (3, 5, 7)], [0.5, 0.75, 1.0])

    def test_an_overload_while_warming_up_causes_an_outage(self) -> None:
        endpoint = self.recovering_endpoint()
        went_down = [endpoint.handle_call(3 * SECOND + number * MS, "x", "") is None for number in range(100)]
        self.assertIn(True, went_down)
        self.assertTrue(endpoint.is_down(4 * SECOND))
        self.assertTrue(endpoint.outages[-1].overloaded)
        self.assertFalse(endpoint.is_down(7 * SECOND))
        self.assertEqual(endpoint.warm_up_factor(7 * SECOND), 0.5)

    def test_a_light_load_while_warming_up_causes_no_outage(self) -> None:
        endpoint = self.recovering_endpoint()
        for number in range(40):
            self.assertIsNotNone(endpoint.handle_call(3 * SECOND + number * 100 * MS, "x", ""))


class InvariantsTest(unittest.TestCase):
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.integers(0, 80 * MS), st.sampled_from(["", "slow", "hang", "crash"])), max_size=60))
    def test_calls_in_progress_never_exceed_workers_and_queue(self, steps: list[tuple[int, str]]) -> None:
        endpoint, now, ends = make_endpoint(), 0, list[int]()
        begun_faults: list[int] = []
        for gap, fault in steps:
            now += gap
            if fault:
                for number in begun_faults:
                    endpoint.end_fault(now, number, warming_up=False)
                begun_faults = [endpoint.begin_fault(now, Effect(fault, 2.0))]
                ends = [] if fault == "crash" else ends
            while ends and ends[0] <= now:
                heapq.heappop(ends)
            reply = endpoint.handle_call(now, "x", "")
            if isinstance(reply, CallInProgress):
                heapq.heappush(ends, reply.finish)
                self.assertGreater(reply.finish, now)
            self.assertLessEqual(len(ends), 4)


if __name__ == "__main__":
    unittest.main()
