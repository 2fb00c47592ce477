"""Tests with the settings of another customer: other names, and lists of other order and length."""

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
from tests.build import NESTED_SETTINGS, make_dispatcher

OTHER_SETTINGS: dict[str, Any] = {
    **NESTED_SETTINGS,
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
        self.assignment, self.store, self.dispatcher = make_dispatcher(self, OTHER_SETTINGS)
        self.dispatcher.attempts = SimpleNamespace(start=lambda call: None)  # type: ignore[assignment]

    def submit(self, priority_class: bytes, tenant: bytes, name: bytes = b"a") -> Submission:
        pairs = b"c=" + priority_class + b",d=8000,dest=0,t=" + tenant
        return Submission(read_submission([b"SUBMIT", b"0", name, pairs, b"x"], self.dispatcher.clock.now())[0])

    def test_classes_and_tenants_are_found_by_name(self) -> None:
        for index, (priority_class, tenant, indexes) in enumerate(
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
                    (self.dispatcher.sender.priority_classes.index(handle.priority_class), handle.tenant), indexes
                )
                # Only a tenant in the settings can be over its share; the share of this one is almost zero.
                self.assertEqual(handle.over_share, tenant == "møbel__hus")
                stored = self.store.messages[submission.message.number]
                self.assertEqual(
                    (stored.priority_class, stored.tenant), (priority_class.replace(" ", "_"), tenant.replace(" ", "_"))
                )

    def test_names_that_are_not_valid_text_are_rejected(self) -> None:
        for priority_class, tenant in (
            (b"", b""),
            (b"\xff", b""),
            (b"once", b"\xc3("),
            (b"o\nnce", b""),
            (b"x" * 201, b""),
        ):
            with self.subTest(priority_class=priority_class, tenant=tenant), self.assertRaises(InvalidSubmitError):
                self.submit(priority_class, tenant)

    def test_zones_and_kinds_are_found_by_name_and_unknown_ones_get_an_extra_index(self) -> None:
        updates: list[Any] = []
        endpoint_list = EndpointList(self.assignment, Counters(), lambda *update: updates.append(update), lambda: None)
        for zone, kind, indexes in (
            ("yard", "plain", (2, 0)),
            ("ä,b", "big, old", (1, 1)),
            ("elsewhere", None, (3, 2)),
        ):
            line = {"uid": zone, "endpoint": "127.0.0.1:9", "az": zone, "model": kind, "pod_group": 1, "state": "up"}
            endpoint_list.apply_update({"rev": 1, "all": False, "targets": [line]})
            self.assertEqual((updates[-1][1][0].zone, updates[-1][1][0].kind), indexes)

    def test_a_report_is_parsed_by_the_names_of_its_columns(self) -> None:
        for columns, text in (("x1,x0", "x0=0.4,x1=80"), ("x0,x1", "x1=80,x0=0.4"), ("q,x1,x0", "x1=80, q=3, x0=0.4")):
            with self.subTest(columns=columns):
                settings = {**self.assignment.settings, "report.columns": columns}
                dispatcher = Dispatcher(
                    Assignment("n", ("", 0), ("", 0), "", 1, 64, 100_000, {}, settings),
                    self.dispatcher.clock,
                    Counters(),
                    self.store,
                    self.dispatcher.poll_clock,
                )
                dispatcher._apply_endpoint_update(
                    EndpointUpdate.CACHED, [ListedEndpoint(1, 0, 0, 0, EndpointState.READY, 0.0)]
                )
                attempts: Any = SimpleNamespace(report_columns=dispatcher.sender.report_columns, counters=Counters())
                now = dispatcher.clock.now()
                handle = dispatcher.sender.accept(now, 1, 0, 1, now + 8_000_000, 0, 0)
                dispatcher.sender.decide(now)
                handle.attempt_ended(
                    now, Outcome.COMPLETED, 0, 1, 1000, 0, True, AttemptRunner._parse_report(attempts, text)
                )
                rate_control = dispatcher.sender.receivers[1].rate_control
                self.assertEqual((rate_control.limit, rate_control.limit_left), (80.0, 0.4))
