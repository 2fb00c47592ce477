"""Tests that data written by commit b65497f, before classes and fields were renamed, can still be read.

`fixtures/stored_by_b65497f/README.md` describes how the data was made.
"""

import os
import shutil
import tempfile
import unittest
from typing import Any, get_args

import msgspec

from cedarwick.events import subscription_store
from cedarwick.events.registry import DEFAULT_LIFETIME, Entry
from cedarwick.fleet import messages
from cedarwick.fleet.consensus import AcceptorTable, InstanceState
from cedarwick.fleet.fleet_files import FleetFiles, ForeignFolderError, LeaseRecord
from cedarwick.fleet.messages import (
    Body,
    ForwardedSubmit,
    Grant,
    GrantTable,
    Heartbeat,
    HeldLease,
    LeaseReply,
    LeaseRequest,
    PeerBody,
    PeerMessage,
    ReplicateFacts,
    SessionLocation,
    SuspensionMark,
)
from cedarwick.fleet.replica_files import ReplicaFolder, ReplicaStore
from cedarwick.fleet.replication import MAX_MESSAGE_NUMBER
from cedarwick.fleet.replication_facts import (
    EndRank,
    Fact,
    MessageBase,
    MessageKnowledge,
    TermAttempts,
    decode_facts,
)
from cedarwick.fleet.session_files import HeldSession, HeldSessions, SessionFiles
from cedarwick.fleet.suspensions import SavedMarks
from cedarwick.ops import saved_state
from cedarwick.store import tools
from cedarwick.store.journal import Store
from cedarwick.store.records import UNKNOWN_ZONE, StoredMessage

FIXTURE = os.path.join(os.path.dirname(__file__), "..", "fixtures", "stored_by_b65497f")
NOW = 1_900_000_000_000_000  # when the data was written, in microseconds
SENT_AT = NOW + 5_000  # attempts were sent a few microseconds after this time
MOVE, OTHER_MOVE = "10/member-a/member-b", "11/member-b/member-c"
PARTITION = 3
FIRST_NUMBER = PARTITION << 32
THIRD_FACT = Fact(
    FIRST_NUMBER + 3,
    MessageBase("c-3", "ck-3", 0, "normal", "", 8, NOW + 11, b"third"),
    MessageKnowledge(),
)

# The messages of a series of nine, of which the seventh is finished and not listed: attempts, may have run at and zone,
# in flight since and zone, final answer.
MessageState = tuple[int, int, int, int, int, tuple[bool, int] | None]
EXPECTED_STATES: dict[int, MessageState] = {
    1: (0, 0, 0, 0, 0, None),  # never sent
    2: (1, 0, 0, SENT_AT + 2, 1102, None),  # an attempt is in flight
    3: (1, 0, 0, 0, 1103, None),  # its attempt never ran
    4: (1, SENT_AT + 4, 1104, 0, 1104, None),  # its attempt may have run
    5: (1, SENT_AT + 5, 1105, 0, 1105, (True, 1500)),  # rejected, with a wait in milliseconds
    6: (1, SENT_AT + 6, 1106, 0, 1106, (False, 0)),  # failed
    8: (0, SENT_AT + 8, UNKNOWN_ZONE, 0, 0, None),  # an attempt of another sender
    9: (3, SENT_AT + 19, 1209, SENT_AT + 29, 1309, None),  # one never ran, one may have run, one is in flight
}
COMPACTED_AFTER_ANSWER = (5, 6)  # compaction moved them after their final answer and dropped their bodies
FILLER_NUMBERS = (201, 202, 203, 204, 206, 207, 208, 209)  # the unfinished messages of 10 to 209

# Fields that were appended since the messages were sent: `probe`, `probe`, `deadline`.
ADDED_FIELDS: dict[str, list[Any]] = {"Ask": [False], "Told": [False], "Pass": [0]}
# Each body's tag and number of fields. Bodies are encoded as arrays, so field names are not on the wire.
FIELD_COUNTS = {
    "Beat": 3,
    "Ask": 8,
    "Told": 7,
    "Tables": 0,
    "Table": 2,
    "Facts": 5,
    "Piece": 8,
    "Have": 5,
    "Digests": 4,
    "Offer": 6,
    "Taken": 3,
    "Lodgings": 5,
    "Stage": 7,
    "Staged": 3,
    "Prepare": 3,
    "Accept": 4,
    "Voted": 6,
    "Settled": 3,
    "Claims": 5,
    "Inherits": 6,
    "Claimed": 2,
    "Pass": 12,
    "Passed": 4,
    "Recall": 2,
    "Subscribe": 5,
    "Matches": 2,
    "Cursors": 2,
    "Owed": 1,
    "Hint": 1,
    "Marks": 3,
    "Noted": 0,
    "Refused": 2,
}


def body_of(number: int) -> bytes:
    return b'{"number":%d}' % number + bytes(range(64))


def base_of(number: int) -> tuple[str, str, int, str, str, int, int]:
    """Id, key, order key, priority class, tenant, destination and deadline, as they were submitted."""
    if number in FILLER_NUMBERS:
        return f"id-{number}", f"key-{number}", 0, "normal", "", 7, NOW + number * 1_000_000
    return (
        f"id-{number}",
        f"key-{number}",
        ((number % 16) << 60) + number,
        ["high", "normal", "low"][number % 3],
        "" if number % 2 else f"tenant-{number}",
        100 + number,
        NOW + number * 1_000_000,
    )


def base_values(stored: StoredMessage) -> tuple[str, str, int, str, str, int, int]:
    return (
        stored.id,
        stored.key,
        stored.order_key,
        stored.priority_class,
        stored.tenant,
        stored.destination,
        stored.deadline,
    )


def state_values(stored: StoredMessage) -> MessageState:
    return (
        stored.attempts,
        stored.may_have_run_at,
        stored.may_have_run_zone,
        stored.in_flight_since,
        stored.in_flight_zone,
        stored.final_answer,
    )


class StoredDataTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.state = os.path.join(folder.name, "state")
        shutil.copytree(os.path.join(FIXTURE, "state"), self.state)

    def open_store(self) -> Store:
        store = Store(self.state, 40_000, now=lambda: NOW, segment_bytes=2048)
        store.load()
        self.addCleanup(store.close)
        return store

    def test_store_has_all_messages(self) -> None:
        store = self.open_store()
        self.assertFalse(store.damaged)
        self.assertTrue(store.restarted)
        self.assertEqual((store.next_number, store.writer.last_segment_number, store.last_legacy_file), (310, 26, 0))
        self.assertEqual(sorted(store.segment_index.segments), [9, 17, 22, 24, 25, 26])
        store.segment_index.check_consistency()
        rows = [first + offset for first in (0, 300) for offset in EXPECTED_STATES]
        self.assertEqual(sorted(store.messages), sorted([*rows, *FILLER_NUMBERS]))
        for number, stored in store.messages.items():
            with self.subTest(number=number):
                self.assertEqual(stored.number, number)
                self.assertEqual(base_values(stored), base_of(number))
                self.assertEqual(state_values(stored), EXPECTED_STATES[1 if number in FILLER_NUMBERS else number % 100])
                self.assertEqual(stored.records_lost_since, 0)
                self.assertEqual(store.read_body(number), b"" if number in COMPACTED_AFTER_ANSWER else body_of(number))

    def test_records_appended_to_old_segments_are_read(self) -> None:
        store = self.open_store()
        store.record_attempt(301, SENT_AT + 1, 1101)
        store.finish(8)
        store.close()
        reopened = self.open_store()
        self.assertEqual(state_values(reopened.messages[301]), (1, 0, 0, SENT_AT + 1, 1101, None))
        self.assertNotIn(8, reopened.messages)
        self.assertFalse(reopened.damaged)

    def test_verify_has_no_findings(self) -> None:
        summary = tools.verify(self.state)
        self.assertEqual((summary.findings, summary.messages, summary.notices), ([], 24, 4))
        self.assertEqual((summary.segments, summary.doubtful, summary.unknown), (6, 0, 0))

    def test_fleet_files(self) -> None:
        files = FleetFiles(self.state)
        files.claim_folder("group-1", "member-a")
        with self.assertRaisesRegex(ForeignFolderError, "'member-a' in 'group-1'"):
            files.claim_folder("group-1", "member-b")
        self.assertEqual(
            files.read_grant_table(),
            GrantTable(
                False,
                (
                    Grant("book/3", 5, "member-b", ("member-c", "member-a"), 2, False),
                    Grant("slot/7", 9, "member-a", (), 0, True),
                ),
            ),
        )
        self.assertEqual(files.read_held_partitions(), [LeaseRecord(1, 4, 4096), LeaseRecord(2, 8, 77)])
        self.assertEqual(
            files.read_suspension_marks(),
            SavedMarks(
                (
                    SuspensionMark("uid-1", NOW + 1, "member-a", 3),
                    SuspensionMark("uid-2", NOW + 2, "member-b", 0),
                ),
                NOW + 3,
                ("uid-1",),
            ),
        )
        self.assertEqual(files.next_incarnation(5), NOW + 1)  # one more than the stored boot number
        self.assertFalse(files.is_first_boot)

    def test_session_files(self) -> None:
        files = SessionFiles(FleetFiles(self.state))
        self.assertEqual(files.read_marks(), {12: (34, f"{NOW}/member-a/member-b"), 13: (0, "")})
        self.assertEqual(
            files.read_acceptor_table(),
            AcceptorTable(
                [
                    InstanceState(MOVE, (2, "member-c#1"), (2, "member-c#1"), "off", True, 70, 111),
                    InstanceState(OTHER_MOVE, (2, "member-c#1"), (0, ""), None, False, 60, 222),
                ],
                {"member-a": 9},
            ),
        )
        held = [HeldSession(111, 2, {"id-1": (500, 9001), "id-2": (600, 9002)}), HeldSession(222, 3, {})]
        self.assertEqual(files.read_and_delete_sessions(), HeldSessions(NOW + 4, held, 6))
        self.assertIsNone(files.read_and_delete_sessions())

    def test_replica_of_another_member(self) -> None:
        replicas = ReplicaStore(ReplicaFolder(FleetFiles(self.state).replicas_path), 1 << 20, now=lambda: NOW)
        replicas.load()
        self.addCleanup(replicas.close)
        replica = replicas.replica(PARTITION)
        assert replica is not None
        self.assertEqual(list(replicas.files), [PARTITION])
        self.assertEqual((replica.position, replica.asynchronous), ((5, 3, MAX_MESSAGE_NUMBER), False))
        first = Fact(
            FIRST_NUMBER + 1,
            MessageBase("c-1", "ck-1", (1 << 64) - 1, "high", "t-1", 5, NOW + 9, b"copied \x00\xff"),
            MessageKnowledge(
                {5: TermAttempts(2, True, NOW + 6, 1300)}, (NOW + 6, 1300), 0, (EndRank.NONE, 0), (4, MOVE)
            ),
        )
        second = Fact(
            FIRST_NUMBER + 2,
            MessageBase("c-2", "ck-2", 0, "low", "", 6, NOW + 10, b""),  # it has a final answer, so the body is omitted
            MessageKnowledge({4: TermAttempts(1, False, NOW + 7, -1)}, None, NOW + 8, (EndRank.FAILED, 250), None),
        )
        self.assertEqual(replica.pending, {fact.number: fact for fact in (first, second, THIRD_FACT)})

    def test_subscriptions(self) -> None:
        with open(os.path.join(self.state, "fleet", subscription_store.FILE_NAME), "rb") as file:
            page = subscription_store.decode_pages(file.read())
        assert page is not None
        self.assertEqual((page.at, page.epoch), (NOW + 21, 527777))
        self.assertEqual(
            page.entries,
            {
                "sub-1": Entry(NOW + 16, "member-a", False, 'tenant = "a"', NOW + 17, DEFAULT_LIFETIME),
                "sub-2": Entry(NOW + 14, "member-b", True, "", NOW + 15, 7_200_000_000),
            },
        )

    def test_suspensions_and_waits(self) -> None:
        self.assertEqual(saved_state.read_suspensions(self.state), {"uid-1": 3, "uid-9": 1})
        self.assertEqual(saved_state.take_waits(self.state), {"uid-2": NOW + 30})
        self.assertEqual(saved_state.take_waits(self.state), {})


class PeerMessageFormatTest(unittest.TestCase):
    def test_tags_and_field_counts(self) -> None:
        bodies: tuple[type[PeerBody], ...] = get_args(Body)
        found = {body.__struct_config__.tag: len(body.__struct_fields__) for body in bodies}
        self.assertEqual(found, FIELD_COUNTS)
        self.assertEqual(len(bodies), len(FIELD_COUNTS))
        for body in bodies:
            self.assertTrue(body.__struct_config__.array_like, body)

    def test_recorded_peer_messages_decode_and_encode_to_the_same_bytes(self) -> None:
        location = SessionLocation(77, "member-b", 4, 1000)
        sent: dict[str, PeerBody] = {
            "Beat": Heartbeat(True, {"member-b": 5, "member-c": 6}, (HeldLease(3, 5),)),
            "Ask": LeaseRequest("book/3", 5, "member-a", 2_000_000, ("member-b",), 7, True),
            "Told": LeaseReply(True, 5, "member-a", ("member-b",), 7, True),
            "Pass": ForwardedSubmit(77, "c-1", "ck-1", "high", "t-1", 5, -4, 900, b"request \xff", True, location),
        }
        for tag, body in sent.items():
            with self.subTest(tag=tag):
                self.assertEqual(self.check(tag).body, body)
        facts = self.check("Facts").body
        assert isinstance(facts, ReplicateFacts)
        self.assertEqual((facts.partition, facts.term, facts.first), (3, 5, 2))
        self.assertTrue(messages.digest_matches(facts))
        self.assertEqual(decode_facts(facts.facts), [THIRD_FACT])

    def check(self, tag: str) -> PeerMessage:
        """Decode a recorded peer message and check that it encodes to the same bytes."""
        with open(os.path.join(FIXTURE, "wire", f"{tag}.msgpack"), "rb") as file:
            data = file.read()
        message = messages.decode(data)
        self.assertEqual(
            (message.version, message.level, message.group, message.sender, message.incarnation, message.to),
            (1, 3, "group-1", "member-a", NOW, "member-b"),
        )
        if tag in ADDED_FIELDS:  # append the new fields with their defaults
            sent = msgspec.msgpack.decode(data)
            sent[6] += ADDED_FIELDS[tag]
            data = msgspec.msgpack.encode(sent)
        self.assertEqual(messages.encode(message), data)
        self.assertEqual(msgspec.msgpack.decode(data)[6][0], tag)
        return message


if __name__ == "__main__":
    unittest.main()
