"""A good answer that arrives just after its attempt has timed out.

What happened: a message of a session that had moved was delivered, and its client was told that it had failed. The
trace of the message (times in seconds of the day; its deadline was at 6.547, its destination had been shut and was
called slowly, so its only attempt went out late) shows why:

    6.3841  n1    first byte of attempt 0, time-out at 6.5372
    6.5389  n1    attempt 0 ended: time-out; the sending side of its connection is closed
    6.5440        the partner writes 200
    6.5487  n1    late answer 200 is read, and ignored
    6.5578  n1    end decided: failed
    6.5707        the platform has the notice that it failed

The sender went on reading after the time-out, for refusals, and threw a 200 away that came before it had decided on
the end. Now such an answer delivers the message; after the end is decided, the end stands. What remains is an answer
that is written after the caller has left: the audit allows just that (`tests/lab/test_invariants.py`).
"""

import socket
import time
import unittest
from unittest import mock

import gevent

from cedarwick.decisions.interface import Outcome
from cedarwick.net.attempts import AttemptResult
from tests.build import MS, reply, until
from tests.net.test_net import DispatcherCase
from tests.net.test_retry_after import Partner, PartnerTestCase

TIME_OUT = 150 * MS  # of the attempts of these tests
RETRY_IN = 0.8  # seconds in which a retry would have come: the first backoff is half a second at most


def answers_who_has_left(partner: Partner, sock: socket.socket, number: int) -> None:
    """Answer 200 once the caller has closed its sending side."""
    assert not sock.recv(1)
    sock.sendall(reply(200))


class LateAnswerTest(PartnerTestCase):
    def test_a_late_success_delivers_the_message_and_no_retry_follows(self) -> None:
        self.start(answers_who_has_left)
        with mock.patch.object(self.dispatcher.sender, "_attempt_time_out", return_value=TIME_OUT):
            self.submit("first")
            until(lambda: gevent.sleep(0.005) or self.partner.arrived, 2.0)
            end_at = time.monotonic() + TIME_OUT / 1e6 + RETRY_IN
            while time.monotonic() < end_at:
                gevent.sleep(0.01)
        self.assertEqual([name for _, name in self.partner.arrived], ["first"])
        self.assertEqual(self.counters.counts["attempts without an answer: time-out"], 1)
        self.assertEqual(self.counters.counts["messages delivered by a late answer"], 1)
        self.assertEqual((self.store.messages, self.dispatcher.notices.pending), ({}, {}))


class LateAnswerOrderTest(DispatcherCase):
    """The answer and the end, in both orders."""

    def test_before_the_end_is_decided_it_delivers(self) -> None:
        self.taken("once")
        self.dispatcher._attempt_ended(self.calls[0], AttemptResult(Outcome.TIME_OUT))
        self.dispatcher._completed_late(self.calls[0])
        self.dispatcher._decide()
        self.assertEqual((self.dispatcher.notices.pending, self.store.messages, self.dispatcher.handles), ({}, {}, {}))
        self.assertEqual(self.dispatcher.sender.open_messages, 0)

    def test_after_the_end_is_decided_the_end_stands(self) -> None:
        self.taken("once")
        self.dispatcher._attempt_ended(self.calls[0], AttemptResult(Outcome.TIME_OUT))
        self.dispatcher._decide()
        self.dispatcher._completed_late(self.calls[0])
        self.assertEqual(list(self.dispatcher.notices.pending), [1])
        self.assertEqual(self.store.messages[1].end, (False, 0))

    def test_while_a_retry_is_out_it_delivers_and_the_retry_changes_nothing(self) -> None:
        self.taken("free")
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

    def test_of_a_partition_that_is_lost_it_says_nothing(self) -> None:
        self.taken("free")
        self.dispatcher._attempt_ended(self.calls[0], AttemptResult(Outcome.TIME_OUT))
        self.dispatcher._park([1])
        self.dispatcher._completed_late(self.calls[0])
        self.assertEqual(list(self.store.messages), [1])


if __name__ == "__main__":
    unittest.main()
