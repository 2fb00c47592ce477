"""The message trace: off by default; otherwise a line for each attempt, final answer and notice."""

import json
from typing import Any

import gevent
from loguru import logger

from cedarwick.decisions.interface import HealthReason, HealthState, Outcome
from cedarwick.net.attempts import AttemptResult
from cedarwick.net.message_trace import TRACE_PREFIX, EndTrace, MessageTrace
from tests.build import MS, reply, wait_for_condition
from tests.net.test_net import DispatcherTestCase
from tests.net.test_retry_after import PartnerTestCase


class MessageTraceTest(DispatcherTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines: list[str] = []
        self.dispatcher.counters.trace = MessageTrace(self.lines.append)

    def trace_records(self) -> list[dict[str, Any]]:
        return [json.loads(line.removeprefix(TRACE_PREFIX)) for line in self.lines]

    def abandon_a_message(self) -> None:
        self.submit("once", name="m1")
        self.dispatcher._attempt_ended(self.calls[-1], AttemptResult(Outcome.TIME_OUT))
        self.dispatcher._decide()
        self.dispatcher._acknowledged([1])

    def test_nothing_is_written_by_default(self) -> None:
        self.abandon_a_message()
        self.assertEqual(self.lines, [])

    def test_a_final_answer_and_its_notice_are_traced(self) -> None:
        self.dispatcher.counters.trace.enabled = True
        self.abandon_a_message()
        self.assertEqual(
            [(each["event"], each["id"], each.get("state")) for each in self.trace_records()],
            [("held", "m1", None), ("end", "m1", "failed"), ("notice", "m1", "failed")],
        )

    def test_a_parked_message_is_traced(self) -> None:
        self.dispatcher.counters.trace.enabled = True
        self.submit("free", name="m1")
        self.dispatcher._park([1])
        (parked,) = self.trace_records()
        self.assertEqual((parked["event"], parked["id"], parked["in_flight"]), ("parked", "m1", True))

    def test_a_line_is_a_prefix_and_one_json_object(self) -> None:
        trace = self.dispatcher.counters.trace
        trace.enabled = True
        trace.add(EndTrace("m1", 1, "failed", "decided", 3, 5))
        expected = {"event": "end", "id": "m1", "number": 1, "state": "failed", "reason": "decided", "term": 3, "at": 5}
        self.assertEqual(self.trace_records(), [expected])


class ReasonTraceTest(DispatcherTestCase):
    """The reasons for held messages and for changes of a receiver's health are written, to explain incidents."""

    def setUp(self) -> None:
        super().setUp()
        self.lines: list[str] = []
        self.dispatcher.counters.trace = MessageTrace(self.lines.append)
        self.dispatcher.counters.trace.enabled = True
        self.logged: list[str] = []
        sink = logger.add(self.logged.append, format="{message}", level="INFO")
        self.addCleanup(logger.remove, sink)

    def test_a_held_message_is_traced_with_its_outcome_and_due_time(self) -> None:
        self.submit("free", name="m1")
        self.dispatcher._attempt_ended(self.calls[-1], AttemptResult(Outcome.ERROR))
        (held,) = (json.loads(line.removeprefix(TRACE_PREFIX)) for line in self.lines)
        self.assertEqual(
            (held["event"], held["id"], held["attempts"], held["outcome"]), ("held", "m1", 1, Outcome.ERROR.value)
        )
        self.assertGreaterEqual(held["due_at"], held["at"])

    def test_a_change_of_health_is_logged_with_its_reason_and_message(self) -> None:
        for name in ("m1", "m2"):
            self.submit("free", name=name)
            self.dispatcher._attempt_ended(self.calls[-1], AttemptResult(Outcome.CONNECT_FAILED))
        self.dispatcher._decide()
        lines = [line for line in self.logged if line.startswith("receiver health ")]
        changes = [json.loads(line.removeprefix("receiver health ")) for line in lines]
        self.assertEqual(
            [(change["state"], change["reason"], change["message"]) for change in changes],
            [
                (HealthState.SUSPECTED.value, HealthReason.FAILURES.value, "m1"),
                (HealthState.EJECTED.value, HealthReason.FAILURES.value, "m2"),
            ],
        )


class AttemptTraceTest(PartnerTestCase):
    def test_an_attempt_is_traced_with_its_times_and_outcome(self) -> None:
        lines: list[str] = []
        self.start(lambda partner, sock, number: sock.sendall(reply(200)))
        self.counters.trace = MessageTrace(lines.append)
        self.counters.trace.enabled = True
        self.submit("first")
        wait_for_condition(lambda: gevent.sleep(0.005) or len(lines) == 2, 2.0)
        attempt, end = (json.loads(line.removeprefix(TRACE_PREFIX)) for line in lines)
        self.assertEqual((attempt["event"], attempt["outcome"], attempt["status"]), ("attempt", "completed", 200))
        self.assertLessEqual(attempt["ordered_at"], attempt["sent_at"])
        self.assertLess(attempt["sent_at"], attempt["ended_at"])
        self.assertLess(attempt["ended_at"] - attempt["sent_at"], 1000 * MS)
        self.assertEqual((end["event"], end["state"], end["reason"]), ("end", "delivered", "completed"))

    def test_attempts_and_closes_name_their_connection_and_what_it_carried_before(self) -> None:
        lines: list[str] = []
        self.start(lambda partner, sock, number: sock.sendall(reply(200)))
        self.counters.trace = MessageTrace(lines.append)
        self.counters.trace.enabled = True
        for name in ("first", "second"):
            self.submit(name)
            wait_for_condition(lambda name=name: gevent.sleep(0.3) or f'"{name}"' in "".join(lines), 2.0)  # type: ignore[misc]
        self.connections.close_idle(1)
        records = [json.loads(line.removeprefix(TRACE_PREFIX)) for line in lines]
        attempts = [each for each in records if each["event"] == "attempt"]
        self.assertEqual([(each["connection"], each["calls_before"]) for each in attempts], [(1, 0), (1, 1)])
        self.assertEqual([each["quiet_for"] > 0 for each in attempts], [False, True])
        (close,) = (each for each in records if each["event"] == "close")
        self.assertEqual((close["connection"], close["calls"], close["last_message"]), (1, 2, "second"))
