"""Drawn days of a fleet in virtual time: clean in each setting, the same twice, and faults of a fleet are found."""

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
from cedarwick.lab.virtual_day import play
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


def forgetful(fact: Fact, doubt_at: int = 0) -> StoredMessage:
    """Who takes a message over knows nothing of its attempts."""
    kept = stored_message_of(fact, doubt_at)
    kept.attempts = kept.may_have_run_at = kept.in_flight_since = kept.records_lost_since = 0
    return kept


def failing(*_: object) -> None:
    raise ValueError("a beat")


def taken_anywhere(self: SessionRouter, kept: StoredMessage) -> SubmitResult:
    """No session has a holder: who is asked takes."""
    return self.client_listener.submit_to_dispatcher(kept)


def released_early(self: MigrationTable, name: str, now: int) -> list[MigrationStep]:
    """The source goes on as soon as the target has kept what it was offered."""
    self.by_name[name].staged_answered = True
    return [MigrationStep(MigrationAction.RELEASE, name)]


def closed_early(self: SessionMigrations, name: str, honest: Any = SessionMigrations._offer_session) -> None:
    """The source has given all up before it offers it."""
    self._discard_messages(name, SOURCE_MARK)
    honest(self, name)


def dropped(self: Index, event: Event, honest: Any = Index.matches) -> list[str]:
    """Every seventh event meets no filter."""
    found: list[str] = honest(self, event)
    return found if event.number % 7 else []


def forgotten(self: Registry, now: int, name: str) -> Entry:
    """An end leaves nothing behind, so that others bring back what they hold."""
    held = self._live_entry(now, name)
    del self.entries[name]
    return held


# name: the part, what is put in its place, the day, a rule that it breaks
BROKEN: dict[str, tuple[Any, str, Any, dict[str, Any], int]] = {
    "a session is taken at two senders": (SessionRouter, "route_submission", taken_anywhere, {"sessions": True}, 2),
    "a source goes on before the decision": (MigrationTable, "on_staged", released_early, {"sessions": True}, 12),
    "a source closes too early": (SessionMigrations, "_offer_session", closed_early, {"sessions": True}, 11),
    "a filter drops matches": (Index, "matches", dropped, {"subscribers": 3}, 15),
    "an ended subscription rises again": (Registry, "end", forgotten, {"subscribers": 3}, 16),
}


class VirtualDaysTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("cedarwick")
        self.addCleanup(logger.enable, "cedarwick")

    def test_drawn_days_have_no_findings(self) -> None:
        for name, told in SETTINGS.items():
            for seed in (1, 2):
                with self.subTest(name, seed=seed):
                    verdict = play(seed, seconds=SECONDS, **told)
                    self.assertEqual([], verdict.findings)
                    self.assertGreater(verdict.account.delivered, 100)

    def test_a_seed_gives_the_same_account_in_another_process(self) -> None:
        run = [
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
        told = json.loads(subprocess.run(run, capture_output=True, check=True, timeout=120).stdout)
        account = play(3, ack="copy", seconds=SECONDS, sessions=True, subscribers=2).account
        self.assertEqual(told, {"seed": 3, "findings": [], "account": msgspec.to_builtins(account)})

    def test_an_adopter_that_forgets_attempts_is_found(self) -> None:
        told: dict[str, Any] = {"seconds": SECONDS, "kinds": ("kill", "folder-lost"), "level": "worst"}
        self.assertEqual([], play(4, **told).findings)
        with patch.object(replicated_store, "stored_message_of", forgetful):
            self.assertIn(13, play(4, **told).broken())

    def test_sessions_and_subscriptions_that_are_broken_on_purpose_are_found(self) -> None:
        for name, (place, what, broken, told, rule) in BROKEN.items():
            with self.subTest(name), patch.object(place, what, broken):
                self.assertIn(rule, play(7, ack="copy", seconds=SECONDS, level="calm", **told).broken())
        for told in ({"sessions": True}, {"subscribers": 3}):
            self.assertEqual([], play(7, ack="copy", seconds=SECONDS, level="calm", **told).findings)

    def test_an_error_in_the_program_is_a_finding(self) -> None:
        with patch.object(node.FleetNode, "_receive_heartbeat", failing):
            verdict = play(1, seconds=SECONDS)
        self.assertIn("ValueError: a beat", verdict.findings[0].text)
        self.assertIs(vars(node)["gevent"], gevent)
