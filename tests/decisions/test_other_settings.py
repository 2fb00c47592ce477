"""Settings of another customer: other names, lists in another order and number; nothing is fitted to the first one."""

import unittest
from types import SimpleNamespace
from typing import Any

from cedarwick.decisions.interface import EndpointState, EndpointUpdate, ListedEndpoint, Outcome
from cedarwick.net.assignment import Assignment
from cedarwick.net.attempts import AttemptRunner
from cedarwick.net.counters import Counters
from cedarwick.net.dispatcher import Dispatcher
from cedarwick.net.endpoint_list import EndpointList
from cedarwick.net.resp import InvalidSubmitError, read_submission
from cedarwick.net.submission import Submission
from tests.build import NESTED, dispatcher_alone

OTHER: dict[str, Any] = {
    **NESTED,
    "zones": ["quay west", "ä,b", "yard"],
    "kinds": ["plain", "big, old"],
    "weight-source": "nominal",
    "balancers": 40,
    "classes": [
        {"name": "once", "repeat": "single_shot"},
        {"name": "door open", "repeat": "free"},
        {"name": "überweisung", "repeat": "guarded", "dedup-window-ms": 1000.0},
    ],
    "realms": [{"name": "møbel, hus", "allowance-per-s": 0.001}, {"name": "first"}],
    "report": {"columns": ["x1", "x0"]},
}


class SettingNamesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.assignment, self.store, self.dispatcher = dispatcher_alone(self, OTHER)
        self.dispatcher.attempts = SimpleNamespace(start=lambda call: None)  # type: ignore[assignment]

    def submit(self, priority_class: bytes, tenant: bytes, name: bytes = b"a") -> Submission:
        pairs = b"c=" + priority_class + b",d=8000,dest=0,t=" + tenant
        return Submission(read_submission([b"SUBMIT", b"0", name, pairs, b"x"], self.dispatcher.clock.now())[0])

    def test_classes_and_tenants_are_known_by_name_whatever_peer_messages_it_has(self) -> None:
        for index, (priority_class, tenant, places) in enumerate(
            (
                ("once", "first", (0, 1)),
                ("door open", "first", (1, 1)),
                ("door_open", "", (1, 2)),
                ("überweisung", "nobody knows", (2, 2)),
                ("door open", "møbel__hus", (1, 0)),
            )
        ):
            with self.subTest(priority_class=priority_class, tenant=tenant):
                submission = self.submit(priority_class.encode(), tenant.encode(), b"%d" % index)
                self.dispatcher._admit(submission)
                self.dispatcher._decide()
                handle = self.dispatcher.handles[submission.message.number]
                self.assertEqual(
                    (self.dispatcher.sender.priority_classes.index(handle.priority_class), handle.tenant), places
                )
                # Only a tenant that the settings know can be over its share; this one's is next to nothing.
                self.assertEqual(handle.over_share, tenant == "møbel__hus")
                back = self.store.messages[submission.message.number]
                self.assertEqual(
                    (back.priority_class, back.tenant), (priority_class.replace(" ", "_"), tenant.replace(" ", "_"))
                )

    def test_names_that_are_no_text_are_refused(self) -> None:
        for priority_class, tenant in (
            (b"", b""),
            (b"\xff", b""),
            (b"once", b"\xc3("),
            (b"o\nnce", b""),
            (b"x" * 201, b""),
        ):
            with self.subTest(priority_class=priority_class, tenant=tenant), self.assertRaises(InvalidSubmitError):
                self.submit(priority_class, tenant)

    def test_zones_and_kinds_are_known_by_name_and_unknown_ones_are_a_place_of_their_own(self) -> None:
        told: list[Any] = []
        made = EndpointList(self.assignment, Counters(), lambda *update: told.append(update), lambda: None)
        for zone, kind, places in (("yard", "plain", (2, 0)), ("ä,b", "big, old", (1, 1)), ("elsewhere", None, (3, 2))):
            line = {"uid": zone, "endpoint": "127.0.0.1:9", "az": zone, "model": kind, "pod_group": 1, "state": "up"}
            made.apply_update({"rev": 1, "all": False, "targets": [line]})
            self.assertEqual((told[-1][1][0].zone, told[-1][1][0].kind), places)

    def test_a_report_is_read_by_the_names_of_its_columns(self) -> None:
        for columns, text in (("x1,x0", "x0=0.4,x1=80"), ("x0,x1", "x1=80,x0=0.4"), ("q,x1,x0", "x1=80, q=3, x0=0.4")):
            with self.subTest(columns=columns):
                settings = {**self.assignment.settings, "report.columns": columns}
                dispatcher = Dispatcher(
                    Assignment("n", ("", 0), ("", 0), "", 1, 64, 100_000, {}, settings),
                    self.dispatcher.clock,
                    Counters(),
                    self.store,
                    self.dispatcher.polled,
                )
                dispatcher._listed(EndpointUpdate.CACHED, [ListedEndpoint(1, 0, 0, 0, EndpointState.READY, 0.0)])
                attempts: Any = SimpleNamespace(columns=dispatcher.sender.columns, counters=Counters())
                now = dispatcher.clock.now()
                handle = dispatcher.sender.accept(now, 1, 0, 1, now + 8_000_000, 0, 0)
                dispatcher.sender.decide(now)
                handle.attempt_ended(
                    now, Outcome.COMPLETED, 0, 1, 1000, 0, True, AttemptRunner._parse_report(attempts, text)
                )
                pace = dispatcher.sender.receivers[1].pace
                self.assertEqual((pace.limit, pace.left), (80.0, 0.4))
