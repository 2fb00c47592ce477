"""Subscriptions of several members in one process, over a network that loses, repeats, delays and reorders messages."""

import json
import random
import unittest
from typing import Any
from unittest import mock

import gevent

from cedarwick.errors import CedarwickError
from cedarwick.events import exchange, registry, streams
from cedarwick.events.exchange import Exchange
from cedarwick.events.filter_errors import FilterTooNewError
from cedarwick.events.kinds import Event
from cedarwick.events.match_delivery import MatchDelivery, ReaderPosition
from cedarwick.events.registry import Entry
from cedarwick.events.subscriber_reader import MAX_PENDING, Reader
from cedarwick.fleet.messages import Body, Cursor, Cursors, Matches, Stream, Subscribe, decode, encode
from cedarwick.fleet.peer_verifier import PeerVerifier
from cedarwick.net.counters import Counters
from cedarwick.ops.commands import Call, parse_call

NAMES = ("n0", "n1", "n2")
MATCH = 'kind = "taken" and destination = 1'


class FakeNetwork:
    """The exchanges of one fleet, run in rounds; peer messages are encoded and decoded."""

    def __init__(self, seed: int = 1, faults: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.faults = faults
        self.down: set[str] = set()  # stopped or cut off
        self.now = 1_000_000
        self.verifiers = {name: PeerVerifier("g", name, 100 + number, NAMES) for number, name in enumerate(NAMES)}
        self.members = {
            name: Exchange(name, verifier, Counters(), self.caller(name)) for name, verifier in self.verifiers.items()
        }
        for member in self.members.values():
            member._load_server()  # in advance: the time of a load in a thread varies
        for verifier in self.verifiers.values():
            for other in self.verifiers.values():
                verifier.check(other.peer_message(verifier.me, Cursors("", ()))) if other is not verifier else None

    def caller(self, sender: str) -> Any:
        def call(to: str, body: Body, _: float) -> Body | None:
            peer_message = decode(encode(self.verifiers[sender].peer_message(to, body)))
            delays = 0
            while self.rng.random() < self.faults and delays < 4:
                gevent.sleep(0)  # lets other messages overtake it
                delays += 1
            if {sender, to} & self.down or self.rng.random() < self.faults:
                return None
            answer = self.members[to].answer_peer_message(sender, self.now, peer_message.body)  # type: ignore[arg-type]
            if self.rng.random() < self.faults:
                answer = self.members[to].answer_peer_message(sender, self.now, peer_message.body)  # type: ignore[arg-type]
            return None if self.rng.random() < self.faults else answer

        return call

    def run_rounds(self, rounds: int = 1) -> None:
        for _ in range(rounds):
            self.now += 100_000
            reachable = [name for name in NAMES if name not in self.down]
            for name in NAMES:
                self.members[name].look(self.now, reachable if name in reachable else [name], 2)
            for _ in range(12):
                gevent.sleep(0)

    def wait_until_evaluated(self) -> None:
        """Run rounds until all members evaluate the subscription."""
        while not all(each.has_subscriptions for each in self.members.values()):
            self.run_rounds()

    def publish_event(self, name: str, destination: int = 1) -> None:
        server = self.members[name].server
        assert server is not None
        server.publish(0, "taken", {"destination": destination})


class Subscriber:
    """A subscriber; lines written but not read yet are lost with its connection."""

    def __init__(self, network: FakeNetwork, name: str = "desk") -> None:
        self.network = network
        self.name = name
        self.cursors: dict[str, int] = {}
        self.records: list[dict[str, Any]] = []
        self.written: list[str] = []
        self.connection: gevent.Greenlet | None = None

    def follow(self, member: str, filter_: str = MATCH) -> None:
        if self.connection is not None:
            self.connection.kill()
        self.written = []
        words = ["FOLLOW", self.name, *(f"{source}:{at}" for source, at in self.cursors.items()), "WHERE", filter_]
        connection = self.network.members[member].handle_call(parse_call(" ".join(words).encode()))
        assert callable(connection)
        self.connection = gevent.spawn(connection, self)
        gevent.sleep(0)

    def settimeout(self, _: float) -> None: ...

    def setsockopt(self, *_: int) -> None: ...

    def sendall(self, data: bytes) -> None:
        self.written += data.decode().splitlines()

    def read_lines(self, max_lines: int = 1 << 20) -> None:
        for _ in range(min(max_lines, len(self.written))):
            line = self.written.pop(0)
            if line.startswith("{"):
                record = json.loads(line)
                event = record.get("event", record)
                self.records.append(record)
                self.cursors[event["source"]] = {
                    "match": event.get("number"),
                    "gap": event.get("last"),
                    "from": event.get("number", 0) - 1,
                }[record["type"]]


class SubscribersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.addCleanup(gevent.sleep, 0)

    def assert_complete(self, subscriber: Subscriber, matched: dict[str, set[int]]) -> None:
        """Check that each match arrived once and in order, or lies in a reported gap with the right count."""
        for name in NAMES:
            at, covered, source = 0, set[int](), ""
            for record in subscriber.records:
                event = record.get("event", record)
                if not event["source"].startswith(f"{name}-"):
                    continue
                source = event["source"]
                if record["type"] == "from":  # earlier matches were written and never read
                    covered |= {number for number in matched[name] if at < number < event["number"]}
                    at = max(at, event["number"] - 1)
                elif record["type"] == "gap":
                    missed = {number for number in matched[name] if event["first"] <= number <= event["last"]}
                    self.assertEqual((len(missed), event["first"] > at), (event["count"], True))
                    covered |= missed
                    at = event["last"]
                else:
                    self.assertGreater(event["number"], at)
                    at = event["number"]
                    covered.add(at)
            self.assertEqual(covered, matched[name], (name, source))

    def test_each_match_arrives_once_and_in_order_despite_network_faults_and_reconnections(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                network = FakeNetwork(seed, 0.3)
                subscriber, matched = Subscriber(network), {name: set[int]() for name in NAMES}
                subscriber.follow("n0")
                network.wait_until_evaluated()
                for _ in range(60):
                    name = network.rng.choice(NAMES)
                    for _ in range(network.rng.choice((1, 3, 150))):
                        server, destination = network.members[name].server, network.rng.choice((1, 1, 2))
                        if server is not None and destination == 1:
                            matched[name].add(server.source.next_number)
                        network.publish_event(name, destination)
                    network.run_rounds(network.rng.randrange(6))
                    subscriber.read_lines(network.rng.randrange(40))
                    if network.rng.random() < 0.15:
                        subscriber.follow(network.rng.choice(NAMES))
                network.faults = 0.0
                for _ in range(60):
                    network.run_rounds(4)
                    subscriber.read_lines()
                self.assertGreater(sum(record["type"] == "match" for record in subscriber.records), 100)
                self.assert_complete(subscriber, matched)

    def test_matches_dropped_while_no_subscriber_is_connected_are_reported_as_a_gap(self) -> None:
        network = FakeNetwork()
        subscriber = Subscriber(network)
        subscriber.follow("n0")
        network.wait_until_evaluated()
        network.run_rounds(10)
        subscriber.read_lines()
        assert subscriber.connection is not None
        subscriber.connection.kill()
        network.run_rounds(2)
        for _ in range(streams.MAX_WAITING + 500):
            network.publish_event("n1")
        subscriber.follow("n2")
        for _ in range(80):
            network.run_rounds(2)
            subscriber.read_lines()
        gaps = [record for record in subscriber.records if record["type"] == "gap"]
        self.assertEqual([gap["source"] for gap in gaps], ["n1-101"])
        self.assert_complete(subscriber, {"n0": set(), "n1": set(range(1, streams.MAX_WAITING + 501)), "n2": set()})

    def test_membership_changes_during_an_unfollow_do_not_affect_its_answer(self) -> None:
        network = FakeNetwork()
        member = network.members["n0"]
        member.registry.follow(exchange.wall_time(), "desk", MATCH)
        network.run_rounds(2)
        original_call = member.call

        def call(to: str, body: Body, within_s: float) -> Body | None:
            member.alive = ["n0", "n2"]
            return original_call(to, body, within_s)

        with mock.patch.object(member, "call", call):
            self.assertEqual(member.handle_call(Call("UNFOLLOW", "desk")), "YES desk ended\n")

    def test_a_subscription_ended_while_a_member_was_down_is_not_revived_by_it(self) -> None:
        network = FakeNetwork()
        subscriber = Subscriber(network)
        subscriber.follow("n0")
        network.wait_until_evaluated()
        network.down = {"n1"}
        self.assertEqual(
            network.members["n2"].handle_call(Call("UNFOLLOW", "desk")), "YES desk ended, not yet told: n1\n"
        )
        network.run_rounds(3)
        self.assertIn("CW834", subscriber.written[-1])
        self.assertIn("desk", network.members["n1"].registry.live_entries(exchange.wall_time()))
        network.down = set()
        network.run_rounds(60)
        for member in network.members.values():
            self.assertEqual(
                (member.registry.live_entries(exchange.wall_time()), member.has_subscriptions), ({}, False)
            )
            self.assertRaises(registry.NotFollowedError, member.handle_call, Call("FOLLOW", "desk"))

    def test_many_subscriptions_reach_a_member_that_was_down(self) -> None:
        network = FakeNetwork()
        network.down = {"n2"}
        for number in range(400):
            network.members["n0"].registry.follow(exchange.wall_time(), f"s{number}", f'id = "{"x" * 2000}{number}"')
        network.members["n0"].registry_sync.mark_changed()
        network.run_rounds(5)
        network.down = set()
        with mock.patch.object(exchange.Exchange, "_compile_filters"):
            network.run_rounds(120)
        self.assertEqual(network.members["n2"].registry.entries, network.members["n0"].registry.entries)

    def test_a_newer_connection_ends_the_older_one_and_names_the_new_member(self) -> None:
        network = FakeNetwork()
        first, second = Subscriber(network), Subscriber(network)
        first.follow("n0")
        second.follow("n0")
        gevent.sleep(0)
        self.assertIn("CW832", first.written[-1])
        first.follow("n1")
        network.run_rounds(5)
        self.assertRegex(second.written[-1], "^NO desk is followed at n1 .*CW833")

    def test_a_filter_that_an_older_member_cannot_evaluate_is_refused_naming_that_member(self) -> None:
        network = FakeNetwork()
        network.verifiers["n0"].levels["n2"] = 1
        with self.assertRaisesRegex(FilterTooNewError, r"n2 \(level 1\)"):
            network.members["n0"].handle_call(Call("FOLLOW", 'desk WHERE id like "a*"'))
        self.assertTrue(callable(network.members["n0"].handle_call(Call("FOLLOW", 'desk WHERE id = "a"'))))

    def test_invalid_calls_are_refused_and_change_nothing(self) -> None:
        network = FakeNetwork()
        for argument in (
            "desk",
            "desk WHERE",
            "desk WHERE  ",
            "de/sk WHERE has id",
            "desk n0-1:x WHERE has id",
            "desk WHERE kind = 5",
            "desk has id",
            "desk n0:-1",
        ):
            with self.subTest(argument), self.assertRaises(CedarwickError):
                network.members["n0"].handle_call(Call("FOLLOW", argument))
        self.assertRaises(CedarwickError, network.members["n0"].handle_call, Call("UNFOLLOW", "desk more"))
        self.assertEqual(network.members["n0"].registry.entries, {})
        self.assertEqual(parse_call(b'follow desk WHERE  id =  "a  b"'), Call("FOLLOW", 'desk WHERE  id =  "a  b"'))

    def test_a_member_cannot_advance_the_cursors_of_another_members_source(self) -> None:
        network = FakeNetwork()
        Subscriber(network).follow("n0")
        network.wait_until_evaluated()
        network.run_rounds(5)
        server = network.members["n0"].server
        assert server is not None
        reader: Reader = server.connections["desk"].reader
        before = dict(reader.inbox.cursors)
        answer = server.handle_matches("n1", Matches("n2-102", ()))
        self.assertEqual(answer.cursors, ())
        forged = encode([streams.EvaluationStart("n2-102", 50)])
        for sender, source, after, items in (
            ("n1", "n2-102", 0, forged),
            ("n1", "n1-101", 0, forged),
            ("n2", "n2-102", 40, forged),
            ("n2", "n2-102", 0, b"\xc1"),
        ):
            server.handle_matches(sender, Matches(source, (Stream("desk", after, items),)))
        self.assertEqual(reader.inbox.cursors, before)
        delivery = server.deliveries["desk"]
        server.handle_positions(
            network.now, "n1", Cursors("n0-100", (Cursor("desk", 1 << 60, 7, 7),))
        )  # the subscriber is connected to n0
        self.assertEqual(delivery.reported, reader.position_in("n0", "n0-100"))

    def test_a_position_only_advances_and_items_in_flight_are_not_resent_immediately(self) -> None:
        outbox = streams.Outbox("n0-1", 1)
        delivery, matches = MatchDelivery(outbox, 1), [Event("n0-1", number, 0, "taken", {}) for number in (1, 2)]
        outbox.add(matches[0])
        delivery.handle_report(0, ReaderPosition("n1", 5, -1, -1))
        self.assertEqual([streams.position(item) for item in delivery.due_items(1)], [0, 1])
        delivery.handle_report(2, ReaderPosition("n1", 5, -1, -1))
        self.assertEqual(delivery.due_items(3), [])
        outbox.add(matches[1])
        delivery.handle_report(4, ReaderPosition("n1", 5, 1, 0))
        delivery.handle_report(5, ReaderPosition("n1", 5, 0, -1))  # late
        delivery.handle_report(6, ReaderPosition("n1", 4, 9, 9))  # of an earlier connection
        self.assertEqual((outbox.window, delivery.due_items(7)), ([streams.Match(matches[0])], []))
        delivery.handle_report(8, ReaderPosition("n1", 5, 1, 1))
        self.assertEqual(delivery.due_items(9), [streams.Match(matches[1])])

    def test_a_full_reader_refuses_items(self) -> None:
        reader = Reader("desk", 1, {})
        items = [streams.Match(Event("n0-1", number, 0, "taken", {})) for number in range(1, MAX_PENDING + 2)]
        self.assertTrue(reader.accept("n0-1", -1, items[:-1]))
        self.assertFalse(reader.accept("n0-1", MAX_PENDING, items[-1:]))
        self.assertEqual(reader.position_in("n1", "n0-1"), ReaderPosition("n1", 1, MAX_PENDING, -1, False))

    def test_entries_from_a_clock_far_ahead_are_refused(self) -> None:
        network = FakeNetwork()
        ahead = Entry(1 << 60, "n1", False, "has id", 1 << 60)
        network.members["n0"].answer_peer_message(
            "n1", network.now, Subscribe(network.members["n1"].registry.epoch, 0, {"desk": ahead})
        )
        self.assertEqual(network.members["n0"].registry.entries, {})


if __name__ == "__main__":
    unittest.main()
