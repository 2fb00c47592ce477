"""The parts of the sender, each on its own."""

import json
import socket
import tempfile
import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

import gevent
import gevent.socket
from gevent.event import AsyncResult

from cedarwick.adapter.codec import settings_of
from cedarwick.decisions.interface import EndpointState, EndpointUpdate, ListedEndpoint, Outcome
from cedarwick.net import assignment, resp
from cedarwick.net.assignment import Assignment
from cedarwick.net.attempts import AttemptCall, AttemptResult, AttemptRunner, parse_retry_after
from cedarwick.net.buffer import Buffer
from cedarwick.net.clock import Clock
from cedarwick.net.connections import DescriptorBudget, NoDescriptorError
from cedarwick.net.counters import Counters
from cedarwick.net.dispatch_final_answers import DEADLINE_MARGIN_US
from cedarwick.net.dispatch_sessions import PARTITION_SHIFT_BITS
from cedarwick.net.endpoint_list import EndpointList
from cedarwick.net.http import InvalidResponseError, ResponseParser
from cedarwick.net.sockets import is_closed
from cedarwick.net.submission import AdmissionResult, Submission
from cedarwick.store.records import StoredMessage
from tests.build import NESTED, dispatcher_alone, reply, words


def kept(number: int, body: bytes = b"body") -> StoredMessage:
    return StoredMessage(number, f"id-{number}", "k", 7, "band", "tenant", 3, 1_000_000, body)


class DispatcherCase(unittest.TestCase):
    """A dispatcher whose attempts are only noted."""

    def setUp(self) -> None:
        _, self.store, self.dispatcher = dispatcher_alone(self, NESTED)
        self.calls: list[AttemptCall] = []
        self.dispatcher.attempts = SimpleNamespace(start=self.calls.append)  # type: ignore[assignment]

    def taken(
        self,
        priority_class: str = "free",
        size: int = 1,
        name: str = "a",
        destination: int = 0,
        life: int = 8_000_000,
        key: int = 0,
    ) -> Submission:
        limit = self.dispatcher.clock.now() + life
        submission = Submission(
            StoredMessage(0, name, "", key, priority_class, "second", destination, limit, bytes(size))
        )
        self.dispatcher._admit(submission)
        self.dispatcher._decide()
        return submission


class DispatcherTest(DispatcherCase):
    def test_without_the_right_nothing_is_taken_and_what_ends_is_told_without_a_copy(self) -> None:
        self.store.by_copy = True  # of several senders as one fleet
        self.taken()
        returned = self.taken(name="b")
        self.store.may_fire = lambda number: False  # type: ignore[method-assign]
        self.dispatcher._park([1, 2])
        self.dispatcher._final(2, True, 0)  # chosen, but no copy has it, and it was not told
        self.dispatcher._flush()
        self.dispatcher._answer_late([1, 2])
        self.assertEqual(returned.answer.get()[0], AdmissionResult.ACCEPTED)
        self.assertEqual(
            [json.loads(line)["state"] for line in self.dispatcher.notices.pending.values()], ["failed", "failed"]
        )
        self.assertEqual(self.taken(name="c").answer.get()[0], AdmissionResult.BUSY)
        del self.store.may_fire
        self.taken(name="d")
        with mock.patch.object(self.store, "may_fire", return_value=False):
            self.dispatcher._final(self.dispatcher.numbers["d"], True, 0)
            self.dispatcher._flush()
        self.assertEqual(len(self.dispatcher.notices.pending), 2)
        self.dispatcher._flush()
        self.assertEqual(len(self.dispatcher.notices.pending), 3)  # the right was back in a moment

    def test_what_is_adopted_alone_stands_before_those_of_its_key_that_were_taken_after_it(self) -> None:
        self.dispatcher.sender.priority_classes[0].ordered = True
        for name in "abc":
            self.taken(name=name, key=5)
        self.dispatcher._park([1, 2, 3])  # while the attempt of the first is out
        self.dispatcher._adopt([1, 2, 3])
        self.dispatcher._attempt_ended(self.calls[0], AttemptResult(Outcome.TIME_OUT))
        line = self.dispatcher.sender.order_key_queues.queues[5]
        self.assertEqual([handle.id for handle in line], [1, 2, 3])
        self.dispatcher._park([2])  # somebody has told news of it
        self.dispatcher._adopt([2])
        self.assertEqual([handle.id for handle in line], [1, 2, 3])
        line[2].in_flight = True
        self.dispatcher._park([2])
        self.dispatcher._adopt([2])
        self.assertEqual([handle.id for handle in line], [1, 3, 2])  # nothing begins while an attempt of the key is out

    def test_what_is_owed_elsewhere_goes_first_as_long_as_there_is_time(self) -> None:
        self.dispatcher.sender.priority_classes[0].ordered = True
        self.taken(name="held", key=5)  # number 1: its attempt is out
        self.dispatcher._attempt_ended(self.calls[0], AttemptResult(Outcome.MOOT))
        self.dispatcher._rest(frozenset([5, 6, 7]))
        for name, key, life in (("b", 5, 8_000_000), ("c", 6, 8_000_000), ("d", 7, 900_000), ("e", 8, 8_000_000)):
            self.taken(name=name, key=key, life=life)
        self.dispatcher._decide()
        self.assertEqual([call.message.id for call in self.calls], ["held", "d", "e"])  # d has no second to spare
        self.assertLess(0, self.dispatcher.rest_of(6))
        other = 9 << PARTITION_SHIFT_BITS
        for number in (other + 1, other + 2):  # what a dead sender owed of the key, adopted here
            self.store.keep(
                StoredMessage(
                    number, f"id-{number}", "", 6, "free", "second", 0, self.dispatcher.clock.now() + 8_000_000, b""
                )
            )
        self.dispatcher._adopt([other + 1, other + 2])
        self.assertEqual(
            [each.id for each in self.dispatcher.sender.order_key_queues.queues[6]], [other + 1, other + 2, 3]
        )
        self.assertEqual(
            self.dispatcher.sender.order_key_queues.paused_until.get(9), None
        )  # nothing is kept for keys without a message

    def test_what_was_held_back_comes_back_in_its_order_where_its_move_is_called_off(self) -> None:
        self.dispatcher.sender.priority_classes[0].ordered = True
        self.dispatcher._rest(frozenset([5]))
        for name in "abc":
            self.taken(name=name, key=5)
        self.assertEqual(self.dispatcher.not_sent, {1, 2, 3})
        self.dispatcher._park([1, 2, 3])
        self.dispatcher._adopt([1, 2, 3], quietly=True)
        self.assertEqual([each.id for each in self.dispatcher.sender.order_key_queues.queues[5]], [1, 2, 3])

    def test_a_message_is_kept_before_its_attempt_starts(self) -> None:
        self.assertEqual(self.taken().answer.get(block=False), (AdmissionResult.ACCEPTED, 0))
        self.assertEqual((list(self.store.messages), self.calls[0].message), ([1], self.store.messages[1]))

    def test_each_attempt_is_a_call_of_its_own_whatever_the_settings_say(self) -> None:
        self.assertEqual(self.dispatcher.sender.settings["family-info.per-call"], "20")
        self.assertEqual(self.dispatcher.sender.messages_per_call, [])

    def test_the_tenant_reaches_the_decisions(self) -> None:
        self.taken()
        self.assertEqual(self.dispatcher.handles[1].tenant, 1)

    def test_what_finds_no_room_is_not_sent(self) -> None:
        self.assertEqual(self.taken(size=50_000).answer.get(block=False), (AdmissionResult.BUSY, 0))
        self.assertEqual((self.calls, self.dispatcher.handles, self.dispatcher.numbers), ([], {}, {}))

    def test_the_decisions_are_told_of_the_room_each_round(self) -> None:
        before = self.dispatcher.sender.storable_messages
        self.taken()
        self.assertLess(self.dispatcher.sender.storable_messages, before)
        self.store.set_limit(1)
        self.dispatcher._decide()
        self.assertEqual(self.dispatcher.sender.storable_messages, 0)
        self.dispatcher.notices.enqueue(9, "i", True, 0)
        self.dispatcher._decide()
        self.assertEqual(self.dispatcher.sender.storable_messages, 1)  # it leaves as it is acknowledged

    def test_a_completed_message_leaves_nothing_behind(self) -> None:
        self.taken()
        self.dispatcher._clear(self.calls[0], AsyncResult())
        self.dispatcher._attempt_ended(self.calls[0], AttemptResult(Outcome.COMPLETED, last=True))
        self.assertEqual(
            (
                self.store.messages,
                self.dispatcher.handles,
                self.dispatcher.numbers,
                self.dispatcher.sender.open_messages,
            ),
            ({}, {}, {}, 0),
        )

    def test_a_copy_of_an_id_that_has_ended_is_not_taken(self) -> None:
        self.test_a_completed_message_leaves_nothing_behind()
        self.assertEqual(self.taken(size=4).answer.get(block=False), (AdmissionResult.REPEATED, 0))
        self.assertEqual((self.store.messages, len(self.calls)), ({}, 1))

    def test_another_body_under_an_open_id_is_not_taken_for_the_same(self) -> None:
        self.taken()
        self.assertEqual(self.taken().answer.get(block=False), (AdmissionResult.ACCEPTED, 0))
        self.assertEqual(self.taken(size=4).answer.get(block=False), (AdmissionResult.REPEATED, 0))

    def test_ids_are_remembered_for_a_while_only(self) -> None:
        for number in range(3):
            with mock.patch.object(self.dispatcher.clock, "now", return_value=number * 10_000_000):
                self.taken(name=f"a{number}")
        self.assertEqual(list(self.dispatcher.recent), ["a1", "a2"])

    def test_a_destination_that_nobody_listed_is_turned_away(self) -> None:
        self.assertEqual(self.taken(destination=9).answer.get(block=False), (AdmissionResult.UNKNOWN_DESTINATION, 0))
        self.assertEqual((self.store.messages, list(self.dispatcher.sender.destinations)), ({}, [0]))

    def test_no_time_to_live_is_longer_than_the_settings_allow(self) -> None:
        self.taken(life=10**15)
        self.assertLess(self.dispatcher.handles[1].deadline, self.dispatcher.clock.now() + 17_000_000)

    def test_a_withdrawn_message_does_not_go_out(self) -> None:
        self.dispatcher.withdraw(self.taken())
        call, told = self.dispatcher.queue.get()
        call(*told)
        cleared: AsyncResult = AsyncResult()
        self.dispatcher._clear(self.calls[0], cleared)
        self.assertIs(cleared.get(block=False), False)
        self.assertEqual(
            (self.store.messages, self.dispatcher.handles, self.dispatcher.sender.open_messages), ({}, {}, 0)
        )

    def test_one_withdrawn_while_the_record_of_its_attempt_was_waited_for_does_not_go_out(self) -> None:
        self.store.awaited = True
        submission = self.taken()
        cleared: AsyncResult = AsyncResult()
        self.dispatcher._clear(self.calls[0], cleared)
        self.assertTrue(self.dispatcher.may_fire(1))
        with mock.patch.object(self.store, "flush", lambda call: self.dispatcher.withdraw(submission)):
            self.dispatcher._flush()
        self.assertIs(cleared.get(block=False), True)
        for _ in range(2):  # whether the dispatcher has come to it or not
            self.assertFalse(self.dispatcher.may_fire(1))
            if not self.dispatcher.queue.empty():
                call, told = self.dispatcher.queue.get()
                call(*told)
        self.dispatcher._attempt_ended(self.calls[0], AttemptResult(Outcome.MOOT))
        self.assertEqual((self.store.messages, self.dispatcher.handles, self.dispatcher.leaving), ({}, {}, set()))

    def test_the_record_of_an_attempt_comes_before_its_first_byte(self) -> None:
        self.taken()
        cleared: AsyncResult = AsyncResult()
        self.dispatcher._clear(self.calls[0], cleared)
        self.assertIs(cleared.get(block=False), True)
        self.assertEqual(self.store.messages[1].attempts, 1)

    def test_what_reaches_its_limit_while_calls_hold_up_the_end_is_written_off(self) -> None:
        for name, life in (("out", 8_000_000), ("near", 40_000), ("later", 8_000_000)):
            self.taken(name=name, life=life)
        for number, handle in self.dispatcher.handles.items():
            handle.in_flight = number == 1
        for ending in (False, True):
            self.dispatcher._hold_fire(ending=ending)
            self.dispatcher._turn_away()
            self.assertEqual(sorted(self.dispatcher.notices.pending), [2] * ending)
        self.assertEqual(self.dispatcher.wake_at, self.store.messages[3].deadline - DEADLINE_MARGIN_US)

    def test_no_attempt_begins_when_the_end_is_near(self) -> None:
        self.taken()
        self.dispatcher._hold_fire()
        cleared: AsyncResult = AsyncResult()
        self.dispatcher._clear(self.calls[0], cleared)
        self.assertIs(cleared.get(block=False), False)
        self.assertEqual(self.store.messages[1].attempts, 0)

    def test_at_a_hand_over_what_comes_is_kept_and_not_attempt(self) -> None:
        self.dispatcher._hold_fire(keeping=True)
        submission = Submission(
            StoredMessage(0, "a", "", 0, "free", "second", 0, self.dispatcher.clock.now() + 8_000_000, b"x")
        )
        self.dispatcher._admit(submission)
        self.dispatcher._store_new()
        self.assertEqual(submission.answer.get(block=False), (AdmissionResult.ACCEPTED, 0))
        self.assertEqual((list(self.store.messages), self.calls), ([1], []))

    def test_at_an_end_what_comes_is_turned_away(self) -> None:
        self.dispatcher._hold_fire()
        submission = Submission(
            StoredMessage(0, "a", "", 0, "free", "second", 0, self.dispatcher.clock.now() + 8_000_000, b"x")
        )
        self.dispatcher._admit(submission)
        self.dispatcher._turn_away()
        self.assertEqual(submission.answer.get(block=False), (AdmissionResult.BUSY, 0))
        self.assertEqual(self.store.messages, {})

    def test_an_error_in_one_event_answers_it_and_ends_nothing(self) -> None:
        self.dispatcher.sender = None  # type: ignore[assignment]
        submission = Submission(StoredMessage(0, "a", "", 0, "free", "", 0, 1, b""))
        self.dispatcher._guarded(self.dispatcher._admit, submission)
        self.assertEqual(submission.answer.get(block=False), (AdmissionResult.BUSY, 0))


class ParsingTest(unittest.TestCase):
    def test_a_buffer_grows_and_is_compacted_in_place(self) -> None:
        near, far = socket.socketpair()
        with near, gevent.socket.socket(fileno=far.detach()) as end:
            buffer = Buffer()
            data = buffer.data
            near.sendall(bytes(4096))
            buffer.fill(end)
            buffer.skip(4000)
            near.sendall(b"\x01" * 100)
            buffer.fill(end)
            self.assertIs(buffer.data, data)
            self.assertEqual((buffer.take(96), buffer.peek(0, 999)), (bytes(96), b"\x01" * 100))

    def test_commands_split_anywhere_are_read_whole(self) -> None:
        text = words(b"SUBMIT", b"\r\n$3\r\n", b"")
        for at in range(len(text)):
            buffer = Buffer()
            buffer.append(text[:at])
            self.assertIsNone(resp.read_command(buffer))
            buffer.append(text[at:] + b"*1")
            self.assertEqual(resp.read_command(buffer), [b"SUBMIT", b"\r\n$3\r\n", b""])
            self.assertEqual(len(buffer), 2)

    def test_a_second_answer_is_not_read_as_the_first(self) -> None:
        answer, buffer = ResponseParser(), Buffer()
        buffer.append(reply(500) + reply(200))
        answer.feed(buffer)
        self.assertEqual((answer.status, answer.complete, answer.keep_alive), (500, True, False))

    def test_interim_answers_are_left_out_wherever_they_are_split(self) -> None:
        for code in (100, 101, 102, 103):
            text = b"HTTP/1.1 %d Wait\r\nLink: x\r\n\r\n" % code * 2 + reply(429, "X-Backoff-Ms: 70")
            for at in range(len(text)):
                with self.subTest(code=code, at=at):
                    answer, buffer = ResponseParser(), Buffer()
                    for part in (text[:at], text[at:]):
                        buffer.append(part)
                        answer.feed(buffer)
                    self.assertEqual(
                        (answer.status, answer.headers, answer.complete),
                        (429, {"content-length": "0", "x-backoff-ms": "70"}, True),
                    )

    def test_a_report_that_cannot_be_read_reaches_no_decision(self) -> None:
        made = AttemptRunner(Clock(), Counters(), None, ["x0", "x1"], None, None, None, None)  # type: ignore[arg-type]
        for text, expected in (
            ("x0=0.4,x1=25", [0.4, 25.0]),
            ("x1=25, x0=-1e-07", [-1e-07, 25.0]),
            ("x0=nan,x1=25", ()),
            ("x0=0.1,x1=inf", ()),
            ("x0=0.1,x1=" + "9" * 30, ()),
            ("x0=1", ()),
            ("x0=1_0,x1=2", ()),
            ("\xff,==,", ()),
        ):
            with self.subTest(text=text):
                self.assertEqual(made._parse_report(text), expected)

    def test_a_head_without_an_end_is_given_up(self) -> None:
        answer, buffer = ResponseParser(), Buffer()
        buffer.append(b"HTTP/1.1 200 OK\r\nX: ")
        answer.feed(buffer)
        with self.assertRaises(InvalidResponseError):
            for _ in range(20):
                buffer.append(b"x" * 4096)
                answer.feed(buffer)

    def test_bytes_that_are_no_answer(self) -> None:
        buffer = Buffer()
        buffer.append(b"\x00\x01 not http\r\n\r\n")
        with self.assertRaises(InvalidResponseError):
            ResponseParser().feed(buffer)

    def test_waits_that_cannot_be_read_are_none(self) -> None:
        self.assertEqual(
            [parse_retry_after(text) for text in ("250", "", "-1", "1e3", "9" * 40, "\u0661")],
            [250_000, 0, 0, 0, (10**40 - 1) * 1000, 0],
        )

    def test_an_idle_link_that_has_ended_or_talks_is_found(self) -> None:
        for act, expected in (
            ((lambda near: None), False),
            ((lambda near: near.close()), True),
            ((lambda near: near.sendall(b"late")), True),
        ):
            near, far = socket.socketpair()
            with near, gevent.socket.socket(fileno=far.detach()) as end:
                act(near)
                self.assertIs(is_closed(end), expected)

    def test_descriptors_are_bounded(self) -> None:
        made = DescriptorBudget(66)
        for _ in range(8):
            made.claim()
        with self.assertRaises(NoDescriptorError):
            made.claim()


class SettingsAndListsTest(unittest.TestCase):
    def test_settings_have_the_names_that_the_adapter_gives(self) -> None:
        nested = {
            "balancers": 2,
            "realms": [],
            "zones": ["a b", "c"],
            "weight-source": None,
            "classes": [{"name": "x", "worth": 1.0, "streaming": False}],
            "rules": {"fall-ms": 2000.0},
            "family-info": {"notes": "full: wait, or 0", "kind-apart": [False, True]},
        }
        text = (
            b"balancers=2\nrealms=\nzones=a_b,c\nweight-source=\nclasses.count=1\nclasses.0.name=x\n"
            b"classes.0.worth=1.0\nclasses.0.streaming=false\nrules.fall-ms=2000.0\n"
            b"family-info.notes=full:_wait__or_0\nfamily-info.kind-apart=false,true\n"
        )
        self.assertEqual(assignment.flatten_settings(nested), settings_of(text))

    def test_a_setting_out_of_its_range_is_named_and_an_unknown_one_ignored(self) -> None:
        for more, named in (
            ({"unheard-of": {"x": -1}}, ""),
            ({"rules": {"fall-ms": "long"}}, "settings.rules.fall-ms"),
            ({"family-info": {"late": "later"}}, "settings.family-info.late"),
        ):
            with self.subTest(named=named), tempfile.TemporaryDirectory() as folder:
                told = {
                    "name": "n",
                    "listen": "h:1",
                    "discovery": "h:2",
                    "seed": "1",
                    "settings": {**NESTED, **more},
                    "limits": {"sockets": 8, "disk_mb": 1},
                }
                with open(path := f"{folder}/c.json", "w", encoding="utf-8") as file:
                    json.dump(told, file)
                try:
                    assignment.read_assignment({"RELAY_CONFIG": path, "RELAY_STATE": folder})
                    self.assertEqual(named, "")
                except assignment.AssignmentError as error:
                    self.assertTrue(named and named in str(error), str(error))

    def endpoint_list(self) -> tuple[EndpointList, list[Any]]:
        told: list[Any] = []
        made = Assignment("n", ("", 0), ("", 0), "", 1, 64, 1 << 20, {}, {"zones": "a,b", "kinds": "k"})
        return EndpointList(made, Counters(), lambda *update: told.append(update), lambda: None), told

    def test_list_updates_in_the_numbers_of_the_decisions(self) -> None:
        made, told = self.endpoint_list()
        entry = {
            "uid": "s",
            "endpoint": "127.0.0.1:9",
            "az": "b",
            "model": "k",
            "pod_group": 4,
            "state": "up",
            "capacity_hint": 2.5,
        }
        made.apply_update({"rev": 3, "all": True, "targets": [entry]}, saved=True)
        made.apply_update({"rev": 5, "all": False, "targets": [{**entry, "state": "removed"}]})
        line = ListedEndpoint(1, 1, 0, 4, EndpointState.READY, 2.5)
        self.assertEqual(
            told,
            [
                (EndpointUpdate.CACHED, [line]),
                (EndpointUpdate.DELTA, [line._replace(endpoint_state=EndpointState.REMOVED)]),
            ],
        )
        self.assertEqual((made.version, made.address_of(1)), (5, ("127.0.0.1", 9)))

    def test_receivers_that_have_gone_are_forgotten_and_their_numbers_not_used_again(self) -> None:
        made, told = self.endpoint_list()
        for day in range(1, 51):
            with mock.patch("time.monotonic", return_value=day * 10.0):
                entry = {"uid": f"s-{day}", "endpoint": "127.0.0.1:9", "state": "up"}
                gone = {"uid": f"s-{day - 1}", "state": "removed"}
                made.apply_update({"rev": day, "all": day % 2 > 0, "targets": [entry] if day % 2 else [gone, entry]})
        self.assertEqual((told[-1][1][-1].receiver, made.address_of(50)), (50, ("127.0.0.1", 9)))
        self.assertEqual((sorted(made.receiver_numbers.values()), len(made.addresses)), ([*range(43, 51)], 8))

    def test_list_updates_that_cannot_be_read_change_nothing(self) -> None:
        made, told = self.endpoint_list()
        for update in ({}, {"rev": "x", "all": True, "targets": []}, json.loads("[]"), {"rev": 1, "all": True}):
            with self.subTest(update=update), self.assertRaises(ValueError):
                made.apply_update(update)
        self.assertEqual((told, made.version), ([], 0))

    def test_a_line_that_cannot_be_read_does_not_hide_the_others(self) -> None:
        made, told = self.endpoint_list()
        good = {"uid": "s", "endpoint": "127.0.0.1:9", "az": "a", "model": "k", "pod_group": 4, "state": "up"}
        made.apply_update({"rev": 3, "all": False, "targets": [{}, 7, {**good, "endpoint": "no"}, good]})
        self.assertEqual([line.destination for _, lines in told for line in lines], [4])

    GOOD = {
        "uid": "s",
        "endpoint": "127.0.0.1:9",
        "az": "a",
        "model": "k",
        "pod_group": 4,
        "state": "up",
        "capacity_hint": 7.5,
    }

    def test_an_empty_whole_list_is_not_believed_once_any_receiver_is_known(self) -> None:
        made, told = self.endpoint_list()
        made.apply_update({"rev": 1, "all": True, "targets": []}, saved=True)
        made.apply_update({"rev": 2, "all": True, "targets": [self.GOOD]})
        with self.assertRaises(ValueError):
            made.apply_update({"rev": 3, "all": True, "targets": []})
        self.assertEqual((len(told), made.version, made.knows("s")), (2, 2, True))

    def test_in_a_whole_list_a_receiver_with_a_spoilt_line_is_kept_and_one_left_out_is_gone(self) -> None:
        made, told = self.endpoint_list()
        made.apply_update({"rev": 2, "all": True, "targets": [{**self.GOOD, "uid": uid} for uid in "stu"]})
        made.apply_update({"rev": 3, "all": True, "targets": [self.GOOD, {"uid": "t", "state": 7}]})
        self.assertEqual([change for change, _ in told], [EndpointUpdate.FULL, EndpointUpdate.FULL])
        self.assertEqual(told[1][1], told[0][1][:2])
        self.assertEqual((sorted(made.receiver_numbers), sorted(made.removed_at)), (["s", "t", "u"], ["u"]))

    def test_a_listed_rate_that_is_none_leaves_the_one_before_and_the_line_in_force(self) -> None:
        hints: list[Any] = ["nine", None, -3, float("nan"), float("inf"), 1e300, [], 10**400]
        for hint in hints:
            with self.subTest(hint=hint):
                made, told = self.endpoint_list()
                made.apply_update({"rev": 1, "all": True, "targets": [self.GOOD]})
                made.apply_update(
                    {"rev": 2, "all": False, "targets": [{**self.GOOD, "state": "draining", "capacity_hint": hint}]}
                )
                line = told[-1][1][0]
                self.assertEqual((line.rate, line.endpoint_state), (7.5, EndpointState.DRAINING))

    def test_discovery_that_refuses_stalls_or_answers_half_leaves_the_last_list(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        half = b'{"rev":9,"all":true,"targets":[{"uid":"s","st'
        for answer in (
            b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            b"",
            head,
            b"\x00\xff\r\n\r\n",
            head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(half), half),
            head + b"%x\r\n%s\n\r\n" % (len(half) + 1, half),
        ):
            with self.subTest(answer=answer), gevent.socket.socket() as listener:
                listener.bind(("127.0.0.1", 0))
                listener.listen()
                made, told = self.endpoint_list()
                made.platform = listener.getsockname()
                made.apply_update({"rev": 2, "all": True, "targets": [self.GOOD]})
                failed = AsyncResult()
                made.report_failure = lambda failed=failed: failed.set(True)  # type: ignore[misc]
                watching = gevent.spawn(made.watch)
                sock, _ = listener.accept()
                sock.recv(1000)
                sock.sendall(answer)
                sock.shutdown(socket.SHUT_WR)
                self.assertTrue(failed.get(timeout=3))
                self.assertEqual((len(told), made.version, made.knows("s")), (1, 2, True))
                watching.kill()
                sock.close()

    def test_a_broken_watch_opens_anew_when_the_decisions_say_and_at_once_at_a_new_address(self) -> None:
        endpoint_list, _ = self.endpoint_list()
        failed: list[int] = []
        endpoint_list.report_failure = lambda: failed.append(1)
        endpoint_list.platform = ("127.0.0.1", 1)  # nobody listens there
        endpoint_list.reopen_watch()  # as at the start, while the first watch is opened
        watching = gevent.spawn(endpoint_list.watch)
        self.addCleanup(watching.kill)
        gevent.sleep(0.6)
        self.assertEqual(len(failed), 1)
        endpoint_list.reopen_watch()
        gevent.sleep(0.1)
        self.assertEqual(len(failed), 2)
        endpoint_list.change_address(("127.0.0.1", 2))
        gevent.sleep(0.1)
        self.assertEqual(len(failed), 3)


if __name__ == "__main__":
    unittest.main()
