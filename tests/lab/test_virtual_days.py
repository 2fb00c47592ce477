"""Simulated days of a fleet: no findings in each setting, reproducible by seed, and injected defects are found."""

import json
import subprocess
import sys
import unittest
from typing import Any
from unittest.mock import patch

import gevent
import msgspec
from loguru import logger

from cedarwick.events.index import Index
from cedarwick.events.kinds import Event
from cedarwick.events.registry import Entry, Registry
from cedarwick.fleet import node, replicated_store
from cedarwick.fleet.migration_state import SOURCE_MARK
from cedarwick.fleet.migration_table import MigrationAction, MigrationStep, MigrationTable
from cedarwick.fleet.replication_facts import Fact, stored_message_of
from cedarwick.fleet.session_migration import SessionMigrations
from cedarwick.fleet.session_routing import SessionRouter
from cedarwick.lab.virtual_day import run_day
from cedarwick.net.client_listener import SubmitResult
from cedarwick.store.records import StoredMessage

SECONDS = 4.0
SETTINGS: dict[str, dict[str, Any]] = {
    "own": {"ack": "own"},
    "copy": {"ack": "copy"},
    "copy, alone": {"ack": "copy", "alone": "own"},
    "five": {"senders": 5, "ack": "copy", "copies": 2},
    "sessions": {"ack": "copy", "sessions": True, "level": "calm", "senders": 4},
    "subscribers": {"subscribers": 3},
}


def forget_attempts(fact: Fact, doubt_at: int = 0) -> StoredMessage:
    """Defect: a successor that takes a message over knows nothing of its attempts."""
    stored = stored_message_of(fact, doubt_at)
    stored.attempts = stored.may_have_run_at = stored.in_flight_since = stored.records_lost_since = 0
    return stored


def raise_heartbeat_error(*_: object) -> None:
    raise ValueError("heartbeat failed")


def accept_without_holder(self: SessionRouter, stored: StoredMessage) -> SubmitResult:
    """Defect: each sender accepts messages itself instead of routing them to the session's holder."""
    return self.client_listener.submit_to_dispatcher(stored)


def release_before_decision(self: MigrationTable, name: str, now: int) -> list[MigrationStep]:
    """Defect: the source releases the session once the target has staged it, without waiting for the decision."""
    self.by_name[name].staged_answered = True
    return [MigrationStep(MigrationAction.RELEASE, name)]


def discard_before_offer(self: SessionMigrations, name: str, original: Any = SessionMigrations._offer_session) -> None:
    """Defect: the source discards the session's messages before it offers them."""
    self._discard_messages(name, SOURCE_MARK)
    original(self, name)


def drop_every_seventh(self: Index, event: Event, original: Any = Index.matches) -> list[str]:
    """Defect: every seventh event matches no filter."""
    matching: list[str] = original(self, event)
    return matching if event.number % 7 else []


def forget_ended_subscription(self: Registry, now: int, name: str) -> Entry:
    """Defect: ending a subscription leaves no tombstone, so other members restore their copies of it."""
    entry = self._live_entry(now, name)
    del self.entries[name]
    return entry


# name: patched object, attribute, replacement, options of the day, a rule that it violates
INJECTED_DEFECTS: dict[str, tuple[Any, str, Any, dict[str, Any], int]] = {
    "two senders accept messages of one session": (
        SessionRouter,
        "route_submission",
        accept_without_holder,
        {"sessions": True},
        2,
    ),
    "a source releases a session before the decision": (
        MigrationTable,
        "on_staged",
        release_before_decision,
        {"sessions": True},
        12,
    ),
    "a source discards a session before it offers it": (
        SessionMigrations,
        "_offer_session",
        discard_before_offer,
        {"sessions": True},
        11,
    ),
    "a filter drops matches": (Index, "matches", drop_every_seventh, {"subscribers": 3}, 15),
    "an ended subscription is restored": (Registry, "end", forget_ended_subscription, {"subscribers": 3}, 16),
}


class VirtualDaysTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("cedarwick")
        self.addCleanup(logger.enable, "cedarwick")

    def test_simulated_days_have_no_findings(self) -> None:
        for name, options in SETTINGS.items():
            for seed in (1, 2):
                with self.subTest(name, seed=seed):
                    verdict = run_day(seed, seconds=SECONDS, **options)
                    self.assertEqual([], verdict.findings)
                    self.assertGreater(verdict.account.delivered, 100)

    def test_a_seed_gives_the_same_account_in_another_process(self) -> None:
        command = [
            sys.executable,
            "-m",
            "cedarwick.lab.virtual_day",
            "3",
            "3",
            "--ack",
            "copy",
            "--seconds",
            str(SECONDS),
            "--sessions",
            "--subscribers",
            "2",
        ]
        line = json.loads(subprocess.run(command, capture_output=True, check=True, timeout=120).stdout)
        account = run_day(3, ack="copy", seconds=SECONDS, sessions=True, subscribers=2).account
        self.assertEqual(line, {"seed": 3, "findings": [], "account": msgspec.to_builtins(account)})

    def test_successor_that_forgets_attempts_is_found(self) -> None:
        options: dict[str, Any] = {"seconds": SECONDS, "kinds": ("kill", "folder-lost"), "level": "worst"}
        self.assertEqual([], run_day(4, **options).findings)
        with patch.object(replicated_store, "stored_message_of", forget_attempts):
            self.assertIn(13, run_day(4, **options).counts_by_rule())

    def test_injected_defects_of_sessions_and_subscriptions_are_found(self) -> None:
        for name, (target, attribute, replacement, options, rule) in INJECTED_DEFECTS.items():
            with self.subTest(name), patch.object(target, attribute, replacement):
                self.assertIn(rule, run_day(7, ack="copy", seconds=SECONDS, level="calm", **options).counts_by_rule())
        for options in ({"sessions": True}, {"subscribers": 3}):
            self.assertEqual([], run_day(7, ack="copy", seconds=SECONDS, level="calm", **options).findings)

    def test_exception_in_the_program_is_a_finding(self) -> None:
        with patch.object(node.FleetNode, "_receive_heartbeat", raise_heartbeat_error):
            verdict = run_day(1, seconds=SECONDS)
        self.assertIn("ValueError: heartbeat failed", verdict.findings[0].text)
        self.assertIs(vars(node)["gevent"], gevent)
