"""Data that commit b65497f wrote, before classes and fields were renamed, is read by the code of today.

`fixtures/stored_by_b65497f/README.md` says how the data was made.
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
from cedarwick.fleet.replication import EVERYTHING
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
from cedarwick.store.records import NOWHERE, StoredMessage

FIXTURE = os.path.join(os.path.dirname(__file__), "..", "fixtures", "stored_by_b65497f")
NOW = 1_900_000_000_000_000  # microseconds: when it was written
SENT = NOW + 5_000  # attempts were sent so many microseconds later, and a few more
MOVE, OTHER_MOVE = "10/member-a/member-b", "11/member-b/member-c"
PARTITION = 3
FIRST_NUMBER = PARTITION << 32
THIRD_FACT = Fact(
    FIRST_NUMBER + 3,
    MessageBase("c-3", "ck-3", 0, "normal", "", 8, NOW + 11, b"third"),
    MessageKnowledge(),
)

# What each message of a row of nine had: attempts, ran at, ran zone, out at, out zone, end. The seventh was over.
States = tuple[int, int, int, int, int, tuple[bool, int] | None]
STATES: dict[int, States] = {
    1: (0, 0, 0, 0, 0, None),  # never sent
    2: (1, 0, 0, SENT + 2, 1102, None),  # an attempt is out
    3: (1, 0, 0, 0, 1103, None),  # its attempt never ran
    4: (1, SENT + 4, 1104, 0, 1104, None),  # its attempt may have run
    5: (1, SENT + 5, 1105, 0, 1105, (True, 1500)),  # ended as nack, with a wait in milliseconds
    6: (1, SENT + 6, 1106, 0, 1106, (False, 0)),  # ended as written off
    8: (0, SENT + 8, NOWHERE, 0, 0, None),  # another sender told of an attempt
    9: (3, SENT + 19, 1209, SENT + 29, 1309, None),  # one that never ran, one that may have run, one that is out
}
MOVED_ENDS = (5, 6)  # compaction has moved them once they had ended, which leaves their bodies out
FILLERS = (201, 202, 203, 204, 206, 207, 208, 209)  # of 10 to 209, those that are still owed

# Each body's tag and number of fields. They travel as arrays, so names of fields are not on the wire.
# Fields that were added since the messages were sent, at the end: `probe`, `probe`, `deadline`.
ADDED_FIELDS: dict[str, list[Any]] = {"Ask": [False], "Told": [False], "Pass": [0]}
WIRE = {
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
    """Id, key, order key, priority class, tenant, destination and deadline, as they were handed in."""
    if number in FILLERS:
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


def base_read(stored: StoredMessage) -> tuple[str, str, int, str, str, int, int]:
    return (
        stored.id,
        stored.key,
        stored.turn,
        stored.priority_class,
        stored.tenant,
        stored.destination,
        stored.deadline,
    )


def state_read(stored: StoredMessage) -> States:
    return stored.attempts, stored.ran_at, stored.ran_zone, stored.out_at, stored.out_zone, stored.end


class StoredDataTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.state = os.path.join(folder.name, "state")
        shutil.copytree(os.path.join(FIXTURE, "state"), self.state)

    def opened(self) -> Store:
        store = Store(self.state, 40_000, now=lambda: NOW, segment=2048)
        store.load()
        self.addCleanup(store.close)
        return store

    def test_messages_of_the_store(self) -> None:
        store = self.opened()
        self.assertFalse(store.damaged)
        self.assertTrue(store.restarted)
        self.assertEqual((store.next_number, store.writer.last_segment, store.old_until), (310, 26, 0))
        self.assertEqual(sorted(store.segment_index.segments), [9, 17, 22, 24, 25, 26])
        store.segment_index.check()
        rows = [first + place for first in (0, 300) for place in STATES]
        self.assertEqual(sorted(store.messages), sorted([*rows, *FILLERS]))
        for number, stored in store.messages.items():
            with self.subTest(number=number):
                self.assertEqual(stored.number, number)
                self.assertEqual(base_read(stored), base_of(number))
                self.assertEqual(state_read(stored), STATES[1 if number in FILLERS else number % 100])
                self.assertEqual(stored.doubt_at, 0)
                self.assertEqual(store.body(number), b"" if number in MOVED_ENDS else body_of(number))

    def test_what_is_written_behind_them_is_read_again(self) -> None:
        store = self.opened()
        store.attempt(301, SENT + 1, 1101)
        store.over(8)
        store.close()
        again = self.opened()
        self.assertEqual(state_read(again.messages[301]), (1, 0, 0, SENT + 1, 1101, None))
        self.assertNotIn(8, again.messages)
        self.assertFalse(again.damaged)

    def test_the_tools_find_nothing_wrong(self) -> None:
        summary = tools.verify(self.state)
        self.assertEqual((summary.findings, summary.messages, summary.notices), ([], 24, 4))
        self.assertEqual((summary.segments, summary.doubtful, summary.unknown), (6, 0, 0))

    def test_small_files_of_the_fleet(self) -> None:
        files = FleetFiles(self.state)
        files.claim("group-1", "member-a")
        with self.assertRaisesRegex(ForeignFolderError, "'member-a' in 'group-1'"):
            files.claim("group-1", "member-b")
        self.assertEqual(
            files.table(),
            GrantTable(
                False,
                (
                    Grant("book/3", 5, "member-b", ("member-c", "member-a"), 2, False),
                    Grant("slot/7", 9, "member-a", (), 0, True),
                ),
            ),
        )
        self.assertEqual(files.held(), [LeaseRecord(1, 4, 4096), LeaseRecord(2, 8, 77)])
        self.assertEqual(
            files.marks(),
            SavedMarks(
                (
                    SuspensionMark("uid-1", NOW + 1, "member-a", 3),
                    SuspensionMark("uid-2", NOW + 2, "member-b", 0),
                ),
                NOW + 3,
                ("uid-1",),
            ),
        )
        self.assertEqual(files.boot(5), NOW + 1)  # one more than the boot that is on the disk
        self.assertFalse(files.first)

    def test_small_files_of_sessions(self) -> None:
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

    def test_the_replica_of_another_member(self) -> None:
        replicas = ReplicaStore(ReplicaFolder(FleetFiles(self.state).copies), 1 << 20, now=lambda: NOW)
        replicas.load()
        self.addCleanup(replicas.close)
        replica = replicas.replica(PARTITION)
        assert replica is not None
        self.assertEqual(list(replicas.files), [PARTITION])
        self.assertEqual((replica.position, replica.behind), ((5, 3, EVERYTHING), False))
        first = Fact(
            FIRST_NUMBER + 1,
            MessageBase("c-1", "ck-1", (1 << 64) - 1, "high", "t-1", 5, NOW + 9, b"copied \x00\xff"),
            MessageKnowledge(
                {5: TermAttempts(2, True, NOW + 6, 1300)}, (NOW + 6, 1300), 0, (EndRank.NONE, 0), (4, MOVE)
            ),
        )
        second = Fact(
            FIRST_NUMBER + 2,
            MessageBase("c-2", "ck-2", 0, "low", "", 6, NOW + 10, b""),  # it has ended: the body is left out
            MessageKnowledge({4: TermAttempts(1, False, NOW + 7, -1)}, None, NOW + 8, (EndRank.FAILED, 250), None),
        )
        self.assertEqual(replica.owed, {fact.number: fact for fact in (first, second, THIRD_FACT)})

    def test_subscriptions(self) -> None:
        with open(os.path.join(self.state, "fleet", subscription_store.NAME), "rb") as file:
            page = subscription_store.unpacked(file.read())
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


class WireOfPeerMessagesTest(unittest.TestCase):
    def test_tags_and_numbers_of_fields(self) -> None:
        bodies: tuple[type[PeerBody], ...] = get_args(Body)
        found = {body.__struct_config__.tag: len(body.__struct_fields__) for body in bodies}
        self.assertEqual(found, WIRE)
        self.assertEqual(len(bodies), len(WIRE))
        for body in bodies:
            self.assertTrue(body.__struct_config__.array_like, body)

    def test_peer_messages_that_were_sent(self) -> None:
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
        self.assertTrue(messages.whole(facts))
        self.assertEqual(decode_facts(facts.facts), [THIRD_FACT])

    def check(self, tag: str) -> PeerMessage:
        """A peer message as it was sent; encoded now it gives the same bytes."""
        with open(os.path.join(FIXTURE, "wire", f"{tag}.msgpack"), "rb") as file:
            data = file.read()
        message = messages.decode(data)
        self.assertEqual(
            (message.version, message.level, message.group, message.sender, message.incarnation, message.to),
            (1, 3, "group-1", "member-a", NOW, "member-b"),
        )
        if tag in ADDED_FIELDS:  # the old fields as they were, and behind them the new ones with their defaults
            sent = msgspec.msgpack.decode(data)
            sent[6] += ADDED_FIELDS[tag]
            data = msgspec.msgpack.encode(sent)
        self.assertEqual(messages.encode(message), data)
        self.assertEqual(msgspec.msgpack.decode(data)[6][0], tag)
        return message


if __name__ == "__main__":
    unittest.main()
