"""Following in one process:

members that speak over a net that loses, doubles, holds back and reorders peer messages.
"""

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
from cedarwick.events.match_delivery import MatchDelivery, Reached
from cedarwick.events.registry import Entry
from cedarwick.events.subscriber_reader import MAX_PENDING, Reader
from cedarwick.fleet.messages import Body, Cursor, Cursors, Matches, Stream, Subscribe, decode, encode
from cedarwick.fleet.peer_verifier import PeerVerifier
from cedarwick.net.counters import Counters
from cedarwick.ops.commands import Call, parse_call

NAMES = ("n0", "n1", "n2")
MATCH = 'kind = "taken" and destination = 1'


class Net:
    """Exchanges of one fleet, turned by hand; peer messages go through their bytes."""

    def __init__(self, seed: int = 1, faults: float = 0.0) -> None:
        self.chance = random.Random(seed)
        self.faults = faults
        self.down: set[str] = set()  # stopped or cut off
        self.now = 1_000_000
        self.gates = {name: PeerVerifier("g", name, 100 + place, NAMES) for place, name in enumerate(NAMES)}
        self.members = {name: Exchange(name, gate, Counters(), self.caller(name)) for name, gate in self.gates.items()}
        for member in self.members.values():
            member._load()  # at a time that no thread settles
        for gate in self.gates.values():
            for other in self.gates.values():
                gate.check(other.peer_message(gate.me, Cursors("", ()))) if other is not gate else None

    def caller(self, sender: str) -> Any:
        def call(to: str, body: Body, _: float) -> Body | None:
            peer_message = decode(encode(self.gates[sender].peer_message(to, body)))
            late = 0
            while self.chance.random() < self.faults and late < 4:
                gevent.sleep(0)  # others overtake it
                late += 1
            if {sender, to} & self.down or self.chance.random() < self.faults:
                return None
            answer = self.members[to].handle_peer_message(sender, self.now, peer_message.body)  # type: ignore[arg-type]
            if self.chance.random() < self.faults:
                answer = self.members[to].handle_peer_message(sender, self.now, peer_message.body)  # type: ignore[arg-type]
            return None if self.chance.random() < self.faults else answer

        return call

    def turn(self, rounds: int = 1) -> None:
        for _ in range(rounds):
            self.now += 100_000
            up = [name for name in NAMES if name not in self.down]
            for name in NAMES:
                self.members[name].look(self.now, up if name in up else [name], 2)
            for _ in range(12):
                gevent.sleep(0)

    def ready(self) -> None:
        """Until all evaluate the subscription."""
        while not all(each.watching for each in self.members.values()):
            self.turn()

    def happens(self, name: str, destination: int = 1) -> None:
        server = self.members[name].server
        assert server is not None
        server.publish(0, "taken", {"destination": destination})


class Subscriber:
    """Has read what it took from the socket; the rest of what was written is lost with the connection."""

    def __init__(self, net: Net, name: str = "desk") -> None:
        self.net = net
        self.name = name
        self.cursors: dict[str, int] = {}
        self.read: list[dict[str, Any]] = []
        self.written: list[str] = []
        self.talk: gevent.Greenlet | None = None

    def follow(self, member: str, filter_: str = MATCH) -> None:
        if self.talk is not None:
            self.talk.kill()
        self.written = []
        words = ["FOLLOW", self.name, *(f"{source}:{at}" for source, at in self.cursors.items()), "WHERE", filter_]
        talk = self.net.members[member].answer(parse_call(" ".join(words).encode()))
        assert callable(talk)
        self.talk = gevent.spawn(talk, self)
        gevent.sleep(0)

    def settimeout(self, _: float) -> None: ...

    def setsockopt(self, *_: int) -> None: ...

    def sendall(self, data: bytes) -> None:
        self.written += data.decode().splitlines()

    def take(self, most: int = 1 << 20) -> None:
        for _ in range(min(most, len(self.written))):
            line = self.written.pop(0)
            if line.startswith("{"):
                told = json.loads(line)
                event = told.get("event", told)
                self.read.append(told)
                self.cursors[event["source"]] = {
                    "match": event.get("number"),
                    "gap": event.get("last"),
                    "from": event.get("number", 0) - 1,
                }[told["type"]]


class SubscribersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.addCleanup(gevent.sleep, 0)

    def judge(self, subscriber: Subscriber, matched: dict[str, set[int]]) -> None:
        """Each match once, in order, or within what a gap or a `from` tells of; a gap's count is the truth."""
        for name in NAMES:
            at, covered, source = 0, set[int](), ""
            for told in subscriber.read:
                event = told.get("event", told)
                if not event["source"].startswith(f"{name}-"):
                    continue
                source = event["source"]
                if told["type"] == "from":  # what was written before and never read
                    covered |= {number for number in matched[name] if at < number < event["number"]}
                    at = max(at, event["number"] - 1)
                elif told["type"] == "gap":
                    missed = {number for number in matched[name] if event["first"] <= number <= event["last"]}
                    self.assertEqual((len(missed), event["first"] > at), (event["count"], True))
                    covered |= missed
                    at = event["last"]
                else:
                    self.assertGreater(event["number"], at)
                    at = event["number"]
                    covered.add(at)
            self.assertEqual(covered, matched[name], (name, source))

    def test_each_match_once_in_order_whatever_the_net_does_and_wherever_the_subscriber_goes(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                net = Net(seed, 0.3)
                subscriber, matched = Subscriber(net), {name: set[int]() for name in NAMES}
                subscriber.follow("n0")
                net.ready()
                for _ in range(60):
                    name = net.chance.choice(NAMES)
                    for _ in range(net.chance.choice((1, 3, 150))):
                        server, destination = net.members[name].server, net.chance.choice((1, 1, 2))
                        if server is not None and destination == 1:
                            matched[name].add(server.source.next_number)
                        net.happens(name, destination)
                    net.turn(net.chance.randrange(6))
                    subscriber.take(net.chance.randrange(40))
                    if net.chance.random() < 0.15:
                        subscriber.follow(net.chance.choice(NAMES))
                net.faults = 0.0
                for _ in range(60):
                    net.turn(4)
                    subscriber.take()
                self.assertGreater(sum(told["type"] == "match" for told in subscriber.read), 100)
                self.judge(subscriber, matched)

    def test_what_a_bounded_buffer_drops_while_nobody_reads_is_told_as_a_gap(self) -> None:
        net = Net()
        subscriber = Subscriber(net)
        subscriber.follow("n0")
        net.ready()
        net.turn(10)
        subscriber.take()
        assert subscriber.talk is not None
        subscriber.talk.kill()
        net.turn(2)
        for _ in range(streams.MAX_WAITING + 500):
            net.happens("n1")
        subscriber.follow("n2")
        for _ in range(80):
            net.turn(2)
            subscriber.take()
        gaps = [told for told in subscriber.read if told["type"] == "gap"]
        self.assertEqual([gap["source"] for gap in gaps], ["n1-101"])
        self.judge(subscriber, {"n0": set(), "n1": set(range(1, streams.MAX_WAITING + 501)), "n2": set()})

    def test_a_member_that_dies_or_comes_while_an_end_is_told_changes_nothing_of_the_answer(self) -> None:
        net = Net()
        member = net.members["n0"]
        member.registry.follow(exchange.wall_time(), "desk", MATCH)
        net.turn(2)
        honest = member.call

        def call(to: str, body: Body, within_s: float) -> Body | None:
            member.alive = ["n0", "n2"]
            return honest(to, body, within_s)

        with mock.patch.object(member, "call", call):
            self.assertEqual(member.answer(Call("UNFOLLOW", "desk")), "YES desk ended\n")

    def test_what_was_ended_while_a_member_slept_does_not_come_back_with_it(self) -> None:
        net = Net()
        subscriber = Subscriber(net)
        subscriber.follow("n0")
        net.ready()
        net.down = {"n1"}
        self.assertEqual(net.members["n2"].answer(Call("UNFOLLOW", "desk")), "YES desk ended, not yet told: n1\n")
        net.turn(3)
        self.assertIn("CW834", subscriber.written[-1])
        self.assertIn("desk", net.members["n1"].registry.living(exchange.wall_time()))
        net.down = set()
        net.turn(60)
        for member in net.members.values():
            self.assertEqual((member.registry.living(exchange.wall_time()), member.watching), ({}, False))
            self.assertRaises(registry.NotFollowedError, member.answer, Call("FOLLOW", "desk"))

    def test_many_subscriptions_reach_one_that_was_away(self) -> None:
        net = Net()
        net.down = {"n2"}
        for place in range(400):
            net.members["n0"].registry.follow(exchange.wall_time(), f"s{place}", f'id = "{"x" * 2000}{place}"')
        net.members["n0"].sync.changed()
        net.turn(5)
        net.down = set()
        with mock.patch.object(exchange.Exchange, "_evaluate"):
            net.turn(120)
        self.assertEqual(net.members["n2"].registry.entries, net.members["n0"].registry.entries)

    def test_a_newer_connection_wins_and_one_that_moved_is_told_where(self) -> None:
        net = Net()
        first, second = Subscriber(net), Subscriber(net)
        first.follow("n0")
        second.follow("n0")
        gevent.sleep(0)
        self.assertIn("CW832", first.written[-1])
        first.follow("n1")
        net.turn(5)
        self.assertRegex(second.written[-1], "^NO desk is followed at n1 .*CW833")

    def test_a_filter_that_a_member_is_too_old_for_is_refused_by_its_name(self) -> None:
        net = Net()
        net.gates["n0"].levels["n2"] = 1
        with self.assertRaisesRegex(FilterTooNewError, r"n2 \(level 1\)"):
            net.members["n0"].answer(Call("FOLLOW", 'desk WHERE id like "a*"'))
        self.assertTrue(callable(net.members["n0"].answer(Call("FOLLOW", 'desk WHERE id = "a"'))))

    def test_calls_that_cannot_be_used_are_refused_and_change_nothing(self) -> None:
        net = Net()
        for told in (
            "desk",
            "desk WHERE",
            "desk WHERE  ",
            "de/sk WHERE has id",
            "desk n0-1:x WHERE has id",
            "desk WHERE kind = 5",
            "desk has id",
            "desk n0:-1",
        ):
            with self.subTest(told), self.assertRaises(CedarwickError):
                net.members["n0"].answer(Call("FOLLOW", told))
        self.assertRaises(CedarwickError, net.members["n0"].answer, Call("UNFOLLOW", "desk more"))
        self.assertEqual(net.members["n0"].registry.entries, {})
        self.assertEqual(parse_call(b'follow desk WHERE  id =  "a  b"'), Call("FOLLOW", 'desk WHERE  id =  "a  b"'))

    def test_another_members_word_moves_no_cursor_but_its_own(self) -> None:
        net = Net()
        Subscriber(net).follow("n0")
        net.ready()
        net.turn(5)
        server = net.members["n0"].server
        assert server is not None
        reader: Reader = server.connections["desk"].reader
        before = dict(reader.inbox.cursors)
        made = server.matched("n1", Matches("n2-102", ()))
        self.assertEqual(made.cursors, ())
        forged = encode([streams.From("n2-102", 50)])
        for sender, source, after, items in (
            ("n1", "n2-102", 0, forged),
            ("n1", "n1-101", 0, forged),
            ("n2", "n2-102", 40, forged),
            ("n2", "n2-102", 0, b"\xc1"),
        ):
            server.matched(sender, Matches(source, (Stream("desk", after, items),)))
        self.assertEqual(reader.inbox.cursors, before)
        delivery = server.deliveries["desk"]
        server.positions_received(
            net.now, "n1", Cursors("n0-100", (Cursor("desk", 1 << 60, 7, 7),))
        )  # the subscriber is at n0
        self.assertEqual(delivery.reader, reader.reached("n0", "n0-100"))

    def test_a_place_only_moves_on_and_what_is_on_its_way_is_not_sent_again_at_once(self) -> None:
        outbox = streams.Outbox("n0-1", 1)
        delivery, matches = MatchDelivery(outbox, 1), [Event("n0-1", number, 0, "taken", {}) for number in (1, 2)]
        outbox.add(matches[0])
        delivery.reader_reached(0, Reached("n1", 5, -1, -1))
        self.assertEqual([streams.position(item) for item in delivery.send(1)], [0, 1])
        delivery.reader_reached(2, Reached("n1", 5, -1, -1))
        self.assertEqual(delivery.send(3), [])
        outbox.add(matches[1])
        delivery.reader_reached(4, Reached("n1", 5, 1, 0))
        delivery.reader_reached(5, Reached("n1", 5, 0, -1))  # overtaken
        delivery.reader_reached(6, Reached("n1", 4, 9, 9))  # of a connection before
        self.assertEqual((outbox.window, delivery.send(7)), ([streams.Match(matches[0])], []))
        delivery.reader_reached(8, Reached("n1", 5, 1, 1))
        self.assertEqual(delivery.send(9), [streams.Match(matches[1])])

    def test_a_reader_that_has_enough_takes_nothing(self) -> None:
        reader = Reader("desk", 1, {})
        items = [streams.Match(Event("n0-1", number, 0, "taken", {})) for number in range(1, MAX_PENDING + 2)]
        self.assertTrue(reader.take("n0-1", -1, items[:-1]))
        self.assertFalse(reader.take("n0-1", MAX_PENDING, items[-1:]))
        self.assertEqual(reader.reached("n1", "n0-1"), Reached("n1", 1, MAX_PENDING, -1, False))

    def test_entries_from_a_clock_far_ahead_are_not_taken(self) -> None:
        net = Net()
        ahead = Entry(1 << 60, "n1", False, "has id", 1 << 60)
        net.members["n0"].handle_peer_message(
            "n1", net.now, Subscribe(net.members["n1"].registry.epoch, 0, {"desk": ahead})
        )
        self.assertEqual(net.members["n0"].registry.entries, {})


if __name__ == "__main__":
    unittest.main()
