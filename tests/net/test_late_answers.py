"""A 200 that arrives just after its attempt has timed out.

These tests guard against a message that was delivered while its client was notified of a failure. The sender reads on
after a time-out, for late refusals, and used to ignore a 200 that it read before it had decided on the final answer.
The trace of one such message (seconds of the day; its deadline was at 6.547, and its only attempt was sent late because
its destination had been unavailable and was called at a reduced rate):

    6.3841  n1    first byte of attempt 0, time-out at 6.5372
    6.5389  n1    attempt 0 ended: time-out; the sending side of its connection is shut down
    6.5440        the partner writes 200
    6.5487  n1    late answer 200 is read, and ignored
    6.5578  n1    final answer decided: failed
    6.5707        the platform has the notice of the failure

Now a 200 delivers the message until the final answer is decided; after that the final answer stands. An answer written
after the caller has left can still be missed, and the audit allows just that (`tests/lab/test_invariants.py`).
"""

import socket
import time
import unittest
from unittest import mock

import gevent

from cedarwick.decisions.interface import Outcome
from cedarwick.net.attempts import AttemptResult
from tests.build import MS, reply, wait_for_condition
from tests.net.test_net import DispatcherTestCase
from tests.net.test_retry_after import Partner, PartnerTestCase

ATTEMPT_TIMEOUT = 150 * MS
RETRY_WITHIN_S = 0.8  # a retry would come within this time, since the first backoff is at most half a second


def answer_after_shutdown(partner: Partner, sock: socket.socket, number: int) -> None:
    """Answer 200 once the caller has shut down its sending side."""
    assert not sock.recv(1)
    sock.sendall(reply(200))


class LateAnswerTest(PartnerTestCase):
    def test_a_late_success_delivers_the_message_and_no_retry_follows(self) -> None:
        self.start(answer_after_shutdown)
        with mock.patch.object(self.dispatcher.sender, "_attempt_time_out", return_value=ATTEMPT_TIMEOUT):
            self.submit("first")
            wait_for_condition(lambda: gevent.sleep(0.005) or self.partner.arrived, 2.0)
            stop_at = time.monotonic() + ATTEMPT_TIMEOUT / 1e6 + RETRY_WITHIN_S
            while time.monotonic() < stop_at:
                gevent.sleep(0.01)
        self.assertEqual([name for _, name in self.partner.arrived], ["first"])
        self.assertEqual(self.counters.counts["attempts without an answer: time-out"], 1)
        self.assertEqual(self.counters.counts["messages delivered by a late answer"], 1)
        self.assertEqual((self.store.messages, self.dispatcher.notices.pending), ({}, {}))


class LateAnswerOrderTest(DispatcherTestCase):
    """A late answer before and after the final answer is decided."""

    def test_a_late_success_before_the_final_answer_delivers(self) -> None:
        self.submit("once")
        self.dispatcher._attempt_ended(self.calls[0], AttemptResult(Outcome.TIME_OUT))
        self.dispatcher._completed_late(self.calls[0])
        self.dispatcher._decide()
        self.assertEqual((self.dispatcher.notices.pending, self.store.messages, self.dispatcher.handles), ({}, {}, {}))
        self.assertEqual(self.dispatcher.sender.open_messages, 0)

    def test_a_late_success_after_the_final_answer_is_ignored(self) -> None:
        self.submit("once")
        self.dispatcher._attempt_ended(self.calls[0], AttemptResult(Outcome.TIME_OUT))
        self.dispatcher._decide()
        self.dispatcher._completed_late(self.calls[0])
        self.assertEqual(list(self.dispatcher.notices.pending), [1])
        self.assertEqual(self.store.messages[1].final_answer, (False, 0))

    def test_a_late_success_during_a_retry_delivers_and_the_retry_has_no_effect(self) -> None:
        self.submit("free")
        self.dispatcher._attempt_ended(self.calls[0], AttemptResult(Outcome.TIME_OUT))
        handle = self.dispatcher.handles[1]
        handle.not_before = 0
        self.dispatcher._decide()
        self.assertEqual(len(self.calls), 2)
        self.dispatcher._completed_late(self.calls[0])
        self.assertEqual(self.store.messages, {})
        self.dispatcher._attempt_ended(self.calls[1], AttemptResult(Outcome.ERROR))
        self.dispatcher._decide()
        self.assertEqual((len(self.calls), self.dispatcher.notices.pending), (2, {}))
        self.assertEqual((self.dispatcher.handles, self.dispatcher.sender.open_messages), ({}, 0))

    def test_a_late_success_of_a_lost_partition_is_ignored(self) -> None:
        self.submit("free")
        self.dispatcher._attempt_ended(self.calls[0], AttemptResult(Outcome.TIME_OUT))
        self.dispatcher._park([1])
        self.dispatcher._completed_late(self.calls[0])
        self.assertEqual(list(self.store.messages), [1])


if __name__ == "__main__":
    unittest.main()
