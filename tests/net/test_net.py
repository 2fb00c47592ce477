"""Unit tests of the dispatcher, the parsers, the settings and the endpoint list."""

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

from cedarwick.adapter.codec import decode_settings
from cedarwick.decisions.interface import EndpointState, EndpointUpdate, ListedEndpoint, Outcome
from cedarwick.net import assignment, resp
from cedarwick.net.assignment import Assignment
from cedarwick.net.attempts import AttemptCall, AttemptResult, AttemptRunner, parse_retry_after
from cedarwick.net.buffer import Buffer
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters
from cedarwick.net.descriptors import DescriptorBudget, NoDescriptorError
from cedarwick.net.dispatch_final_answers import DEADLINE_MARGIN_US
from cedarwick.net.dispatch_sessions import PARTITION_SHIFT_BITS
from cedarwick.net.endpoint_list import EndpointList
from cedarwick.net.http import InvalidResponseError, ResponseParser
from cedarwick.net.sockets import is_closed
from cedarwick.net.submission import AdmissionResult, Submission
from cedarwick.store.records import StoredMessage
from tests.build import NESTED_SETTINGS, encode_command, make_dispatcher, reply


def stored_message(number: int, body: bytes = b"body") -> StoredMessage:
    return StoredMessage(number, f"id-{number}", "k", 7, "band", "tenant", 3, 1_000_000, body)


class DispatcherTestCase(unittest.TestCase):
    """A dispatcher that only records ordered attempts, in `calls`."""

    def setUp(self) -> None:
        _, self.store, self.dispatcher = make_dispatcher(self, NESTED_SETTINGS)
        self.calls: list[AttemptCall] = []
        self.dispatcher.attempts = SimpleNamespace(start=self.calls.append)  # type: ignore[assignment]

    def submit(
        self,
        priority_class: str = "free",
        size: int = 1,
        name: str = "a",
        destination: int = 0,
        lifetime_us: int = 8_000_000,
        key: int = 0,
    ) -> Submission:
        limit = self.dispatcher.clock.now() + lifetime_us
        submission = Submission(
            StoredMessage(0, name, "", key, priority_class, "second", destination, limit, bytes(size))
        )
        self.dispatcher._admit(submission)
        self.dispatcher._decide()
        return submission


class DispatcherTest(DispatcherTestCase):
    def test_without_a_lease_submissions_are_rejected_and_parked_messages_abandoned_without_a_copy(self) -> None:
        self.store.ack_after_replication = True  # as in a fleet
        self.submit()
        returned = self.submit(name="b")
        self.store.may_send_attempt = lambda number: False  # type: ignore[method-assign]
        self.dispatcher._park([1, 2])
        self.dispatcher._record_final_answer(2, True, 0)  # decided, but not copied, so not posted
        self.dispatcher._flush()
        self.dispatcher._abandon_parked([1, 2])
        self.assertEqual(returned.answer.get()[0], AdmissionResult.ACCEPTED)
        self.assertEqual(
            [json.loads(line)["state"] for line in self.dispatcher.notices.pending.values()], ["failed", "failed"]
        )
        self.assertEqual(self.submit(name="c").answer.get()[0], AdmissionResult.BUSY)
        del self.store.may_send_attempt
        self.submit(name="d")
        with mock.patch.object(self.store, "may_send_attempt", return_value=False):
            self.dispatcher._record_final_answer(self.dispatcher.numbers_by_id["d"], True, 0)
            self.dispatcher._flush()
        self.assertEqual(len(self.dispatcher.notices.pending), 2)
        self.dispatcher._flush()
        self.assertEqual(len(self.dispatcher.notices.pending), 3)  # the lease is held again

    def test_a_message_adopted_alone_is_queued_before_later_ones_of_its_key(self) -> None:
        self.dispatcher.sender.priority_classes[0].ordered = True
        for name in "abc":
            self.submit(name=name, key=5)
        self.dispatcher._park([1, 2, 3])  # during the attempt of the first
        self.dispatcher._adopt([1, 2, 3])
        self.dispatcher._attempt_ended(self.calls[0], AttemptResult(Outcome.TIME_OUT))
        line = self.dispatcher.sender.order_key_queues.queues[5]
        self.assertEqual([handle.id for handle in line], [1, 2, 3])
        self.dispatcher._park([2])  # another member reported a change of it
        self.dispatcher._adopt([2])
        self.assertEqual([handle.id for handle in line], [1, 2, 3])
        line[2].in_flight = True
        self.dispatcher._park([2])
        self.dispatcher._adopt([2])
        self.assertEqual(
            [handle.id for handle in line], [1, 3, 2]
        )  # no reordering while an attempt of the key is running

    def test_a_key_is_held_for_earlier_messages_elsewhere_unless_the_deadline_is_near(self) -> None:
        self.dispatcher.sender.priority_classes[0].ordered = True
        self.submit(name="held", key=5)  # number 1, with a running attempt
        self.dispatcher._attempt_ended(self.calls[0], AttemptResult(Outcome.MOOT))
        self.dispatcher._hold_keys(frozenset([5, 6, 7]))
        for name, key, lifetime_us in (
            ("b", 5, 8_000_000),
            ("c", 6, 8_000_000),
            ("d", 7, 900_000),
            ("e", 8, 8_000_000),
        ):
            self.submit(name=name, key=key, lifetime_us=lifetime_us)
        self.dispatcher._decide()
        self.assertEqual(
            [call.message.id for call in self.calls], ["held", "d", "e"]
        )  # the deadline of d is less than a second away
        self.assertLess(0, self.dispatcher.key_hold_left_us(6))
        other = 9 << PARTITION_SHIFT_BITS
        for number in (other + 1, other + 2):  # unfinished messages of the key, adopted from a dead sender
            self.store.add_message(
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
        )  # no state for keys without a message

    def test_held_messages_keep_their_order_if_their_migration_is_cancelled(self) -> None:
        self.dispatcher.sender.priority_classes[0].ordered = True
        self.dispatcher._hold_keys(frozenset([5]))
        for name in "abc":
            self.submit(name=name, key=5)
        self.assertEqual(self.dispatcher.held_by_key, {1, 2, 3})
        self.dispatcher._park([1, 2, 3])
        self.dispatcher._adopt([1, 2, 3], no_unrecorded_attempts=True)
        self.assertEqual([each.id for each in self.dispatcher.sender.order_key_queues.queues[5]], [1, 2, 3])

    def test_a_message_is_stored_before_its_attempt_starts(self) -> None:
        self.assertEqual(self.submit().answer.get(block=False), (AdmissionResult.ACCEPTED, 0))
        self.assertEqual((list(self.store.messages), self.calls[0].message), ([1], self.store.messages[1]))

    def test_each_attempt_is_one_call_whatever_the_settings_say(self) -> None:
        self.assertEqual(self.dispatcher.sender.settings["family-info.per-call"], "20")
        self.assertEqual(self.dispatcher.sender.messages_per_call, [])

    def test_the_tenant_reaches_the_decisions(self) -> None:
        self.submit()
        self.assertEqual(self.dispatcher.handles[1].tenant, 1)

    def test_a_message_without_room_in_the_store_is_not_sent(self) -> None:
        self.assertEqual(self.submit(size=50_000).answer.get(block=False), (AdmissionResult.BUSY, 0))
        self.assertEqual((self.calls, self.dispatcher.handles, self.dispatcher.numbers_by_id), ([], {}, {}))

    def test_the_decisions_get_the_store_room_in_each_round(self) -> None:
        before = self.dispatcher.sender.storable_messages
        self.submit()
        self.assertLess(self.dispatcher.sender.storable_messages, before)
        self.store.set_limit(1)
        self.dispatcher._decide()
        self.assertEqual(self.dispatcher.sender.storable_messages, 0)
        self.dispatcher.notices.enqueue(9, "i", True, 0)
        self.dispatcher._decide()
        self.assertEqual(self.dispatcher.sender.storable_messages, 1)  # a pending notice counts as free room

    def test_a_completed_message_is_deleted(self) -> None:
        self.submit()
        self.dispatcher._decide_clearance(self.calls[0], AsyncResult())
        self.dispatcher._attempt_ended(self.calls[0], AttemptResult(Outcome.COMPLETED, last=True))
        self.assertEqual(
            (
                self.store.messages,
                self.dispatcher.handles,
                self.dispatcher.numbers_by_id,
                self.dispatcher.sender.open_messages,
            ),
            ({}, {}, {}, 0),
        )

    def test_the_id_of_a_message_that_has_ended_is_not_accepted_again(self) -> None:
        self.test_a_completed_message_is_deleted()
        self.assertEqual(self.submit(size=4).answer.get(block=False), (AdmissionResult.REPEATED, 0))
        self.assertEqual((self.store.messages, len(self.calls)), ({}, 1))

    def test_an_open_id_with_another_body_is_rejected(self) -> None:
        self.submit()
        self.assertEqual(self.submit().answer.get(block=False), (AdmissionResult.ACCEPTED, 0))
        self.assertEqual(self.submit(size=4).answer.get(block=False), (AdmissionResult.REPEATED, 0))

    def test_recent_ids_expire(self) -> None:
        for number in range(3):
            with mock.patch.object(self.dispatcher.clock, "now", return_value=number * 10_000_000):
                self.submit(name=f"a{number}")
        self.assertEqual([f"a{number}" in self.dispatcher.recent_ids for number in range(3)], [False, True, True])

    def test_an_unlisted_destination_is_rejected(self) -> None:
        self.assertEqual(self.submit(destination=9).answer.get(block=False), (AdmissionResult.UNKNOWN_DESTINATION, 0))
        self.assertEqual((self.store.messages, list(self.dispatcher.sender.destinations)), ({}, [0]))

    def test_the_time_to_live_is_limited_by_the_settings(self) -> None:
        self.submit(lifetime_us=10**15)
        self.assertLess(self.dispatcher.handles[1].deadline, self.dispatcher.clock.now() + 17_000_000)

    def test_a_withdrawn_message_is_not_sent(self) -> None:
        self.dispatcher.withdraw(self.submit())
        call, arguments = self.dispatcher.queue.get()
        call(*arguments)
        cleared: AsyncResult = AsyncResult()
        self.dispatcher._decide_clearance(self.calls[0], cleared)
        self.assertIs(cleared.get(block=False), False)
        self.assertEqual(
            (self.store.messages, self.dispatcher.handles, self.dispatcher.sender.open_messages), ({}, {}, 0)
        )

    def test_a_message_withdrawn_during_the_flush_of_its_attempt_is_not_sent(self) -> None:
        self.store.answers_wait_for_flush = True
        submission = self.submit()
        cleared: AsyncResult = AsyncResult()
        self.dispatcher._decide_clearance(self.calls[0], cleared)
        self.assertTrue(self.dispatcher.may_send(1))
        with mock.patch.object(self.store, "flush", lambda call: self.dispatcher.withdraw(submission)):
            self.dispatcher._flush()
        self.assertIs(cleared.get(block=False), True)
        for _ in range(2):  # before and after the dispatcher handles the withdrawal
            self.assertFalse(self.dispatcher.may_send(1))
            if not self.dispatcher.queue.empty():
                call, arguments = self.dispatcher.queue.get()
                call(*arguments)
        self.dispatcher._attempt_ended(self.calls[0], AttemptResult(Outcome.MOOT))
        self.assertEqual((self.store.messages, self.dispatcher.handles, self.dispatcher.withdrawing), ({}, {}, set()))

    def test_an_attempt_is_recorded_before_its_first_byte(self) -> None:
        self.submit()
        cleared: AsyncResult = AsyncResult()
        self.dispatcher._decide_clearance(self.calls[0], cleared)
        self.assertIs(cleared.get(block=False), True)
        self.assertEqual(self.store.messages[1].attempts, 1)

    def test_messages_near_their_deadline_are_abandoned_while_calls_delay_the_exit(self) -> None:
        for name, lifetime_us in (("out", 8_000_000), ("near", 40_000), ("later", 8_000_000)):
            self.submit(name=name, lifetime_us=lifetime_us)
        for number, handle in self.dispatcher.handles.items():
            handle.in_flight = number == 1
        for ending in (False, True):
            self.dispatcher._stop_attempts(abandon_near_deadline=ending)
            self.dispatcher._refuse_new()
            self.assertEqual(sorted(self.dispatcher.notices.pending), [2] * ending)
        self.assertEqual(self.dispatcher.wake_at, self.store.messages[3].deadline - DEADLINE_MARGIN_US)

    def test_no_attempt_starts_after_attempts_are_stopped(self) -> None:
        self.submit()
        self.dispatcher._stop_attempts()
        cleared: AsyncResult = AsyncResult()
        self.dispatcher._decide_clearance(self.calls[0], cleared)
        self.assertIs(cleared.get(block=False), False)
        self.assertEqual(self.store.messages[1].attempts, 0)

    def test_during_a_hand_over_new_messages_are_stored_and_not_attempted(self) -> None:
        self.dispatcher._stop_attempts(store_new=True)
        submission = Submission(
            StoredMessage(0, "a", "", 0, "free", "second", 0, self.dispatcher.clock.now() + 8_000_000, b"x")
        )
        self.dispatcher._admit(submission)
        self.dispatcher._store_new()
        self.assertEqual(submission.answer.get(block=False), (AdmissionResult.ACCEPTED, 0))
        self.assertEqual((list(self.store.messages), self.calls), ([1], []))

    def test_new_messages_are_rejected_while_the_process_ends(self) -> None:
        self.dispatcher._stop_attempts()
        submission = Submission(
            StoredMessage(0, "a", "", 0, "free", "second", 0, self.dispatcher.clock.now() + 8_000_000, b"x")
        )
        self.dispatcher._admit(submission)
        self.dispatcher._refuse_new()
        self.assertEqual(submission.answer.get(block=False), (AdmissionResult.BUSY, 0))
        self.assertEqual(self.store.messages, {})

    def test_an_error_in_one_event_rejects_it_and_is_contained(self) -> None:
        self.dispatcher.sender = None  # type: ignore[assignment]
        submission = Submission(StoredMessage(0, "a", "", 0, "free", "", 0, 1, b""))
        self.dispatcher._guarded(self.dispatcher._admit, submission)
        self.assertEqual(submission.answer.get(block=False), (AdmissionResult.BUSY, 0))


class ParsingTest(unittest.TestCase):
    def test_a_buffer_grows_and_is_compacted_in_place(self) -> None:
        local, remote = socket.socketpair()
        with local, gevent.socket.socket(fileno=remote.detach()) as end:
            buffer = Buffer()
            data = buffer.data
            local.sendall(bytes(4096))
            buffer.fill(end)
            buffer.skip(4000)
            local.sendall(b"\x01" * 100)
            buffer.fill(end)
            self.assertIs(buffer.data, data)
            self.assertEqual((buffer.take(96), buffer.peek(0, 999)), (bytes(96), b"\x01" * 100))

    def test_commands_split_at_any_byte_are_read(self) -> None:
        text = encode_command(b"SUBMIT", b"\r\n$3\r\n", b"")
        for at in range(len(text)):
            buffer = Buffer()
            buffer.append(text[:at])
            self.assertIsNone(resp.read_command(buffer))
            buffer.append(text[at:] + b"*1")
            self.assertEqual(resp.read_command(buffer), [b"SUBMIT", b"\r\n$3\r\n", b""])
            self.assertEqual(len(buffer), 2)

    def test_a_second_answer_is_not_read_as_part_of_the_first(self) -> None:
        answer, buffer = ResponseParser(), Buffer()
        buffer.append(reply(500) + reply(200))
        answer.feed(buffer)
        self.assertEqual((answer.status, answer.complete, answer.keep_alive), (500, True, False))

    def test_interim_answers_are_skipped_wherever_they_are_split(self) -> None:
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

    def test_a_malformed_report_is_ignored(self) -> None:
        runner = AttemptRunner(Clock(), Counters(), None, ["x0", "x1"], None, None, None, None)  # type: ignore[arg-type]
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
                self.assertEqual(runner._parse_report(text), expected)

    def test_an_endless_head_is_an_error(self) -> None:
        answer, buffer = ResponseParser(), Buffer()
        buffer.append(b"HTTP/1.1 200 OK\r\nX: ")
        answer.feed(buffer)
        with self.assertRaises(InvalidResponseError):
            for _ in range(20):
                buffer.append(b"x" * 4096)
                answer.feed(buffer)

    def test_bytes_that_are_not_http_are_an_error(self) -> None:
        buffer = Buffer()
        buffer.append(b"\x00\x01 not http\r\n\r\n")
        with self.assertRaises(InvalidResponseError):
            ResponseParser().feed(buffer)

    def test_malformed_retry_after_waits_are_zero(self) -> None:
        self.assertEqual(
            [parse_retry_after(text) for text in ("250", "", "-1", "1e3", "9" * 40, "\u0661")],
            [250_000, 0, 0, 0, (10**40 - 1) * 1000, 0],
        )

    def test_an_idle_connection_that_is_closed_or_has_data_is_detected(self) -> None:
        for act, expected in (
            ((lambda local: None), False),
            ((lambda local: local.close()), True),
            ((lambda local: local.sendall(b"late")), True),
        ):
            local, remote = socket.socketpair()
            with local, gevent.socket.socket(fileno=remote.detach()) as end:
                act(local)
                self.assertIs(is_closed(end), expected)

    def test_descriptors_are_limited(self) -> None:
        budget = DescriptorBudget(66)
        for _ in range(8):
            budget.claim()
        with self.assertRaises(NoDescriptorError):
            budget.claim()


class SettingsAndListsTest(unittest.TestCase):
    def test_settings_have_the_names_that_the_adapter_uses(self) -> None:
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
        self.assertEqual(assignment.flatten_settings(nested), decode_settings(text))

    def test_an_invalid_setting_is_named_and_an_unknown_one_ignored(self) -> None:
        for more, named in (
            ({"unheard-of": {"x": -1}}, ""),
            ({"rules": {"fall-ms": "long"}}, "settings.rules.fall-ms"),
            ({"family-info": {"late": "later"}}, "settings.family-info.late"),
        ):
            with self.subTest(named=named), tempfile.TemporaryDirectory() as folder:
                config = {
                    "name": "n",
                    "listen": "h:1",
                    "discovery": "h:2",
                    "seed": "1",
                    "settings": {**NESTED_SETTINGS, **more},
                    "limits": {"sockets": 8, "disk_mb": 1},
                }
                with open(path := f"{folder}/c.json", "w", encoding="utf-8") as file:
                    json.dump(config, file)
                try:
                    assignment.read_assignment({"RELAY_CONFIG": path, "RELAY_STATE": folder})
                    self.assertEqual(named, "")
                except assignment.AssignmentError as error:
                    self.assertTrue(named and named in str(error), str(error))

    def new_endpoint_list(self) -> tuple[EndpointList, list[Any]]:
        updates: list[Any] = []
        sender_assignment = Assignment("n", ("", 0), ("", 0), "", 1, 64, 1 << 20, {}, {"zones": "a,b", "kinds": "k"})
        return EndpointList(
            sender_assignment, Counters(), lambda *update: updates.append(update), lambda: None
        ), updates

    def test_list_updates_use_the_numbers_of_the_decisions(self) -> None:
        endpoint_list, updates = self.new_endpoint_list()
        entry = {
            "uid": "s",
            "endpoint": "127.0.0.1:9",
            "az": "b",
            "model": "k",
            "pod_group": 4,
            "state": "up",
            "capacity_hint": 2.5,
        }
        endpoint_list.apply_update({"rev": 3, "all": True, "targets": [entry]}, saved=True)
        endpoint_list.apply_update({"rev": 5, "all": False, "targets": [{**entry, "state": "removed"}]})
        line = ListedEndpoint(1, 1, 0, 4, EndpointState.READY, 2.5)
        self.assertEqual(
            updates,
            [
                (EndpointUpdate.CACHED, [line]),
                (EndpointUpdate.DELTA, [line._replace(endpoint_state=EndpointState.REMOVED)]),
            ],
        )
        self.assertEqual((endpoint_list.version, endpoint_list.address_of(1)), (5, ("127.0.0.1", 9)))

    def test_removed_receivers_are_deleted_and_their_numbers_not_reused(self) -> None:
        endpoint_list, updates = self.new_endpoint_list()
        for day in range(1, 51):
            with mock.patch("time.monotonic", return_value=day * 10.0):
                entry = {"uid": f"s-{day}", "endpoint": "127.0.0.1:9", "state": "up"}
                gone = {"uid": f"s-{day - 1}", "state": "removed"}
                endpoint_list.apply_update(
                    {"rev": day, "all": day % 2 > 0, "targets": [entry] if day % 2 else [gone, entry]}
                )
        self.assertEqual((updates[-1][1][-1].receiver, endpoint_list.address_of(50)), (50, ("127.0.0.1", 9)))
        self.assertEqual(
            (sorted(endpoint_list.receiver_numbers.values()), len(endpoint_list.addresses)), ([*range(43, 51)], 8)
        )

    def test_malformed_list_updates_change_nothing(self) -> None:
        endpoint_list, updates = self.new_endpoint_list()
        for update in ({}, {"rev": "x", "all": True, "targets": []}, json.loads("[]"), {"rev": 1, "all": True}):
            with self.subTest(update=update), self.assertRaises(ValueError):
                endpoint_list.apply_update(update)
        self.assertEqual((updates, endpoint_list.version), ([], 0))

    def test_a_malformed_entry_does_not_hide_the_others(self) -> None:
        endpoint_list, updates = self.new_endpoint_list()
        good = {"uid": "s", "endpoint": "127.0.0.1:9", "az": "a", "model": "k", "pod_group": 4, "state": "up"}
        endpoint_list.apply_update({"rev": 3, "all": False, "targets": [{}, 7, {**good, "endpoint": "no"}, good]})
        self.assertEqual([line.destination for _, lines in updates for line in lines], [4])

    GOOD = {
        "uid": "s",
        "endpoint": "127.0.0.1:9",
        "az": "a",
        "model": "k",
        "pod_group": 4,
        "state": "up",
        "capacity_hint": 7.5,
    }

    def test_an_empty_full_list_is_rejected_once_a_receiver_is_known(self) -> None:
        endpoint_list, updates = self.new_endpoint_list()
        endpoint_list.apply_update({"rev": 1, "all": True, "targets": []}, saved=True)
        endpoint_list.apply_update({"rev": 2, "all": True, "targets": [self.GOOD]})
        with self.assertRaises(ValueError):
            endpoint_list.apply_update({"rev": 3, "all": True, "targets": []})
        self.assertEqual((len(updates), endpoint_list.version, endpoint_list.knows("s")), (2, 2, True))

    def test_a_full_list_keeps_a_receiver_with_a_malformed_entry_and_removes_a_missing_one(self) -> None:
        endpoint_list, updates = self.new_endpoint_list()
        endpoint_list.apply_update({"rev": 2, "all": True, "targets": [{**self.GOOD, "uid": uid} for uid in "stu"]})
        endpoint_list.apply_update({"rev": 3, "all": True, "targets": [self.GOOD, {"uid": "t", "state": 7}]})
        self.assertEqual([change for change, _ in updates], [EndpointUpdate.FULL, EndpointUpdate.FULL])
        self.assertEqual(updates[1][1], updates[0][1][:2])
        self.assertEqual(
            (sorted(endpoint_list.receiver_numbers), sorted(endpoint_list.removed_at)), (["s", "t", "u"], ["u"])
        )

    def test_an_invalid_capacity_hint_leaves_the_earlier_rate_and_the_rest_of_the_entry_applies(self) -> None:
        hints: list[Any] = ["nine", None, -3, float("nan"), float("inf"), 1e300, [], 10**400]
        for hint in hints:
            with self.subTest(hint=hint):
                endpoint_list, updates = self.new_endpoint_list()
                endpoint_list.apply_update({"rev": 1, "all": True, "targets": [self.GOOD]})
                endpoint_list.apply_update(
                    {"rev": 2, "all": False, "targets": [{**self.GOOD, "state": "draining", "capacity_hint": hint}]}
                )
                line = updates[-1][1][0]
                self.assertEqual((line.rate, line.endpoint_state), (7.5, EndpointState.DRAINING))

    def test_discovery_that_refuses_or_answers_incompletely_leaves_the_last_list(self) -> None:
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
                endpoint_list, updates = self.new_endpoint_list()
                endpoint_list.platform = listener.getsockname()
                endpoint_list.apply_update({"rev": 2, "all": True, "targets": [self.GOOD]})
                failed = AsyncResult()
                endpoint_list.report_failure = lambda failed=failed: failed.set(True)  # type: ignore[misc]
                watching = gevent.spawn(endpoint_list.watch)
                sock, _ = listener.accept()
                sock.recv(1000)
                sock.sendall(answer)
                sock.shutdown(socket.SHUT_WR)
                self.assertTrue(failed.get(timeout=3))
                self.assertEqual((len(updates), endpoint_list.version, endpoint_list.knows("s")), (1, 2, True))
                watching.kill()
                sock.close()

    def test_a_broken_watch_is_reopened_on_request_and_at_once_at_a_new_address(self) -> None:
        endpoint_list, _ = self.new_endpoint_list()
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
