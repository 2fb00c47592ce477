"""Stored subscriptions: generated histories of restarts, damaged files and isolated members; reading the file."""

import json
import os
import tempfile
import unittest
from typing import Any
from unittest import mock

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from cedarwick.events import exchange, registry, subscription_store
from cedarwick.events.exchange import Exchange
from cedarwick.events.registry import (
    DEFAULT_LIFETIME,
    EPOCH_LENGTH,
    MAX_EPOCHS_AWAY,
    MAX_LIFETIME,
    SECOND,
    TOMBSTONE_EPOCHS,
    Entry,
    MergeResult,
    Registry,
)
from cedarwick.events.subscription_store import SubscriptionStore, decode_pages, encode_pages
from cedarwick.fleet.fleet_files import FleetFiles
from cedarwick.fleet.messages import Cursors
from cedarwick.fleet.peer_verifier import PeerVerifier
from cedarwick.net.counters import Counters
from cedarwick.ops.commands import Call
from tests.events.test_exchange import NAMES, FakeNetwork, Subscriber

NOW = 500_000 * EPOCH_LENGTH
MINUTE = 60 * SECOND
HOUR = 3600 * SECOND
MEMBER_NUMBERS = st.integers(0, 2)
SOME_MEMBERS = st.sets(MEMBER_NUMBERS, min_size=1).map(sorted)
STEPS = st.one_of(
    st.tuples(st.sampled_from(["follow", "unfollow", "refresh"]), MEMBER_NUMBERS.map(lambda number: [number])),
    st.tuples(st.sampled_from(["kill", "start", "start", "cut", "heal"]), SOME_MEMBERS),
    st.tuples(st.sampled_from(["lose", "spoil", "shorten"]), MEMBER_NUMBERS.map(lambda number: [number])),
    st.tuples(st.sampled_from([MINUTE, 20 * MINUTE, HOUR, 11 * HOUR, 13 * HOUR, 30 * HOUR]).map(str), st.just([0])),
)


class Member:
    """One member's registry and its state folder; `registry` is None while the member is down."""

    def __init__(self, name: str, state: str, lasts: int) -> None:
        self.name, self.state, self.lifetime = name, state, lasts
        self.fleet_files = FleetFiles(state)
        self.registry: Registry | None = None
        self.known_ends: set[int] = set()  # counters of the ends that it has stored, unless its file was lost since

    @property
    def path(self) -> str:
        return os.path.join(self.fleet_files.path, subscription_store.FILE_NAME)

    def start(self, now: int) -> Registry:
        self.registry = made = Registry(self.name, now, self.lifetime)
        self.store = SubscriptionStore(self.state, made, Counters())
        self.store.load(now)
        return made

    def write_changes(self, now: int) -> None:
        """Write changes as `Exchange` does: before any call is answered."""
        assert self.registry is not None
        self.store.write_changes(now, list(self.registry.entries))
        self.known_ends |= {entry.counter for entry in self.registry.entries.values() if entry.ended}


class History:
    """Three members and one subscription; members that are up and not isolated synchronize at every step."""

    def __init__(self, folder: str, test: unittest.TestCase) -> None:
        self.test = test
        self.now = NOW
        self.members = [
            Member(f"n{number}", os.path.join(folder, f"n{number}"), lasts)
            for number, lasts in enumerate((DEFAULT_LIFETIME, DEFAULT_LIFETIME, MAX_LIFETIME))
        ]
        self.isolated: set[int] = set()
        self.latest_follow: Entry | None = None
        self.members_with_latest: set[int] = set()  # members that have it or a newer entry
        self.end_counters: list[int] = []
        for member in self.members:
            member.start(self.now)

    def connected_members(self) -> list[Member]:
        """The members that are up and not isolated."""
        return [member for number, member in enumerate(self.members) if member.registry and number not in self.isolated]

    def living(self, number: int) -> bool:
        held = self.members[number].registry
        return held is not None and held.is_live(self.now, "x")

    def step(self, action: str, numbers: list[int]) -> None:
        self.now += 1
        if action.isdigit():
            end = self.now + int(action)
            while self.now < end:
                self.now = min(end, self.now + 10 * MINUTE)
                self.synchronize()
            return
        for number in numbers:
            getattr(self, f"do_{action}")(number, self.members[number])
        self.synchronize()

    def synchronize(self) -> None:
        connected_members = self.connected_members()
        for member in self.members:
            if member.registry is not None:
                member.registry.tick(self.now, member in connected_members and len(connected_members) >= 2)
                member.store.write_due_changes(self.now, self.now)
        for one in connected_members:
            for other in connected_members:
                if one is not other and one.registry and other.registry:
                    other.registry.merge(self.now, one.registry.epoch, list(one.registry.entries.items()))
                    other.write_changes(self.now)
        self.check_invariants()

    def check_invariants(self) -> None:
        """Check that a member that stored an end does not evaluate the ended version."""
        for number, member in enumerate(self.members):
            if member.registry is not None and (entry := member.registry.live_entries(self.now).get("x")) is not None:
                self.test.assertFalse([end for end in member.known_ends if end >= entry.counter])
            if member.registry is not None and self.latest_follow is not None:
                held = member.registry.entries.get("x")
                if held is not None and held.counter >= self.latest_follow.counter:
                    self.members_with_latest.add(number)

    def do_follow(self, number: int, member: Member) -> None:
        if member.registry is not None:
            self.latest_follow = member.registry.follow(self.now, "x", "has id")
            self.members_with_latest = {number}
            member.write_changes(self.now)

    def do_unfollow(self, number: int, member: Member) -> None:
        if member.registry is not None and self.living(number):
            self.end_counters.append(member.registry.end(self.now, "x").counter)
            member.write_changes(self.now)

    def do_refresh(self, number: int, member: Member) -> None:
        if member.registry is not None and self.living(number):
            member.registry.renew(self.now, "x")
            member.write_changes(self.now)

    def do_kill(self, _: int, member: Member) -> None:
        member.registry = None

    def do_start(self, _: int, member: Member) -> None:
        if member.registry is None:
            member.start(self.now)

    def do_cut(self, number: int, _: Member) -> None:
        self.isolated.add(number)

    def do_heal(self, number: int, _: Member) -> None:
        self.isolated.discard(number)

    def do_lose(self, number: int, member: Member) -> None:
        self.damage_file(number, member, b"")

    def do_spoil(self, number: int, member: Member) -> None:
        if os.path.exists(member.path):
            with open(member.path, "rb") as file:
                data = bytearray(file.read())
            at = self.now % len(data)
            data[at] ^= 0x55
            self.damage_file(number, member, bytes(data))

    def do_shorten(self, number: int, member: Member) -> None:
        if os.path.exists(member.path):
            with open(member.path, "rb") as file:
                data = file.read()
            self.damage_file(number, member, data[: self.now % len(data)])

    def damage_file(self, number: int, member: Member, data: bytes) -> None:
        member.registry = None
        member.known_ends.clear()
        self.members_with_latest.discard(number)
        if data:
            with open(member.path, "wb") as file:
                file.write(data)
        elif os.path.exists(member.path):
            os.unlink(member.path)

    def finish(self) -> None:
        """Connect all members and check which subscriptions must have ended and which must be live."""
        acknowledged_ends = [
            end for end in self.end_counters if sum(end in member.known_ends for member in self.members) >= 2
        ]
        self.isolated.clear()
        for number in (2, 0, 1):
            self.do_start(number, self.members[number])
        for _ in range(3):
            self.now += 1
            self.synchronize()
        registries = [member.registry for member in self.members if member.registry is not None]
        entries = [held.entries for held in registries]
        self.test.assertEqual(entries[0], entries[1])
        self.test.assertEqual(entries[0], entries[2])
        living = entries[0].get("x")
        if living is not None and not living.ended:
            self.test.assertFalse([end for end in acknowledged_ends if end >= living.counter])
        followed = self.latest_follow
        if (
            followed is not None
            and len(self.members_with_latest) >= 2
            and not [end for end in self.end_counters if end > followed.counter]
        ):
            if self.now - followed.followed_at <= followed.lasts:
                self.test.assertTrue(all(held.is_live(self.now, "x") for held in registries))


class StoredSubscriptionsTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("cedarwick")
        self.addCleanup(logger.enable, "cedarwick")
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.state = made.name

    def member(self, lasts: int = DEFAULT_LIFETIME) -> Member:
        made = Member("n0", self.state, lasts)
        made.start(NOW)
        return made

    @settings(derandomize=True, max_examples=250, deadline=None)
    @given(st.lists(STEPS, max_size=25))
    def test_nothing_ended_rises_and_nothing_living_is_lost(self, steps: list[tuple[str, list[int]]]) -> None:
        with tempfile.TemporaryDirectory() as folder:
            history = History(folder, self)
            history.step("follow", [0])
            for what, places in steps:
                history.step(what, places)
            history.finish()

    def test_an_end_holds_if_the_only_member_that_knows_it_returns_last(self) -> None:
        for gone, back, hours in [*(("kill", "start", hours) for hours in (0, 11, 13, 23)), ("cut", "heal", 13)]:
            with self.subTest(gone, hours=hours), tempfile.TemporaryDirectory() as folder:
                history = History(folder, self)
                history.step("follow", [2])
                history.step("kill", [1, 2])
                history.step("unfollow", [0])
                history.step(gone, [0])
                history.step("start", [1, 2])
                for _ in range(3 * hours + 1):
                    history.step("refresh", [2])
                    history.step(str(20 * MINUTE), [0])
                self.assertTrue(
                    all(history.living(number) for number in (1, 2))
                )  # these members do not know of the end
                history.step(back, [0])
                history.finish()
                self.assertFalse(any(history.living(number) for number in range(3)))

    def test_several_restarts_count_as_one_absence(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            history = History(folder, self)
            history.step("follow", [2])
            history.step("cut", [2])
            history.step("unfollow", [0])
            for _ in range(3):
                history.step("refresh", [2])
                history.step(str(MINUTE), [0])  # until the renewal is written
                history.step("kill", [2])
                history.step(str(11 * HOUR), [0])
                history.step("start", [2])
            history.finish()  # the tombstones at the other members have expired
            self.assertEqual(history.members[0].registry.entries, {})  # type: ignore[union-attr]

    def test_restored_subscriptions_get_time_for_their_subscribers_to_return_once(self) -> None:
        for away, lives in (
            (MINUTE, DEFAULT_LIFETIME - MINUTE),
            (HOUR, DEFAULT_LIFETIME // 4),
            (10 * HOUR, DEFAULT_LIFETIME // 4),
            (-2 * HOUR, DEFAULT_LIFETIME),
            (-3 * SECOND, DEFAULT_LIFETIME),
        ):  # negative: the clock was set back meanwhile
            with self.subTest(away=away):
                member = self.member()
                assert member.registry is not None
                member.registry.follow(NOW, "x", "has id")
                member.write_changes(NOW)
                begun = NOW + away
                found = member.start(begun)
                self.assertTrue(found.is_live(begun + lives, "x"))
                self.assertFalse(found.is_live(begun + lives + 1, "x"))
                member.store.write_due_changes(begun, 0)
                ended = begun + lives + 5 * SECOND
                member.store.write_due_changes(ended, DEFAULT_LIFETIME)
                self.assertFalse(member.start(ended).is_live(ended, "x"))
                os.unlink(member.path)

    def test_a_clock_jump_neither_shortens_nor_extends_a_lifetime(self) -> None:
        for by in (3 * HOUR, -3 * HOUR):
            held = Registry("n0", NOW)
            held.follow(NOW, "x", "has id")
            held.correct_clock_jump(by)
            now = NOW + by
            self.assertTrue(held.is_live(now + DEFAULT_LIFETIME, "x"))
            self.assertFalse(held.is_live(now + DEFAULT_LIFETIME + 1, "x"))
            before = held.renew(now + MINUTE, "x").followed_at
            self.assertGreaterEqual(before, NOW + MINUTE)  # it also advances at the other members
            self.assertTrue(held.is_live(now + MINUTE + DEFAULT_LIFETIME, "x"))
            self.assertFalse(held.is_live(now + MINUTE + DEFAULT_LIFETIME + 1, "x"))
            held.follow(now + HOUR, "x", "has id")
            self.assertEqual(held.age(now + HOUR, "x"), 0)

    def test_restored_entries_later_than_the_clock_lose_to_others_unless_they_are_ends(self) -> None:
        ahead = NOW + 40 * EPOCH_LENGTH
        entries = {"x": Entry(ahead, "n0", False, "has id", ahead), "y": Entry(ahead, "n0", True, "has id", ahead)}
        found = Registry("n0", NOW)
        found.restore(NOW, ahead + MINUTE, ahead // EPOCH_LENGTH, entries.items())
        self.assertEqual((found.epoch, found.age(NOW, "x")), (NOW // EPOCH_LENGTH, MINUTE))
        other = Registry("n1", NOW)
        other.entries = {name: Entry(NOW - MINUTE, "n1", False, "has age", NOW - MINUTE) for name in ("x", "y")}
        self.assertIs(other.merge(NOW, found.epoch, found.entries.items()), MergeResult.MERGED)
        self.assertEqual((other.entries["x"].filter, other.entries["y"].ended), ("has age", True))

    def test_a_member_that_was_down_too_long_restores_only_ended_entries(self) -> None:
        member = self.member(MAX_LIFETIME)
        assert member.registry is not None
        for name in ("x", "y"):
            member.registry.follow(NOW, name, "has id")
        member.registry.end(NOW, "y")
        member.write_changes(NOW)
        found = member.start(NOW + (MAX_EPOCHS_AWAY + 1) * EPOCH_LENGTH)
        self.assertEqual((list(found.entries), found.epoch), (["y"], NOW // EPOCH_LENGTH + MAX_EPOCHS_AWAY + 1))
        found.tick(NOW + (TOMBSTONE_EPOCHS + 1) * EPOCH_LENGTH, with_majority=True)
        self.assertEqual(found.entries, {})

    def test_a_renewal_causes_no_immediate_write_and_few_writes_in_an_hour(self) -> None:
        member = self.member()
        held, store = member.registry, member.store
        assert held is not None
        held.follow(NOW, "x", "has id")
        member.write_changes(NOW)
        writes = store.write_count
        held.renew(NOW + 1, "x")
        member.write_changes(NOW + 1)
        self.assertEqual(store.write_count, writes)
        for second in range(3600):
            now = NOW + second * SECOND
            held.tick(now, with_majority=True)
            if held.renewal_due(now, "x"):
                held.renew(now, "x")
            store.write_due_changes(now, now)
        self.assertLessEqual(store.write_count - writes, 5)
        self.assertEqual(decode_pages(self.data(member)).entries, held.entries)  # type: ignore[union-attr]

    def test_the_file_size_is_limited_and_a_damaged_file_is_logged_once(self) -> None:
        member = self.member()
        held = member.registry
        assert held is not None
        for turn in range(3000):
            held.follow(NOW + turn, "x", f'id = "{"a" * 200}"')
            member.write_changes(NOW + turn)
        self.assertLess(os.path.getsize(member.path), subscription_store.MIN_GROWTH_BYTES + 2000)
        data = self.data(member)
        self.assertEqual(decode_pages(data).entries, held.entries)  # type: ignore[union-attr]
        with open(member.path, "wb") as file:  # truncated in its last page, which was never acknowledged
            file.write(data + encode_pages(NOW, 0, [("y", held.entries["x"])])[:-1])
        self.assertEqual(list(member.start(NOW).entries), ["x"])
        self.assertEqual(len(self.data(member)), len(encode_pages(NOW, held.epoch, held.entries.items())))
        for number in (0, 3, 30, len(data) // 2, len(data) - 1):
            damaged = bytearray(data)
            damaged[number] ^= 0xA5
            with open(member.path, "wb") as file:
                file.write(damaged)
            with mock.patch.object(logger, "error") as error:
                found = member.start(NOW)
            self.assertEqual((found.entries, error.call_count), ({}, 1), number)
            self.assertIn("CW740", error.call_args[0][0])
            found.follow(NOW, "z", "has id")
            member.write_changes(NOW)
            self.assertEqual(list(decode_pages(self.data(member)).entries), ["z"])  # type: ignore[union-attr]

    def test_a_failed_write_is_counted_and_the_whole_file_is_written_again(self) -> None:
        member = self.member()
        held, store = member.registry, member.store
        assert held is not None
        held.follow(NOW, "x", "has id")
        member.write_changes(NOW)
        with mock.patch.object(subscription_store, "open", create=True, side_effect=OSError(28, "full")):
            held.end(NOW + 1, "x")
            member.write_changes(NOW + 1)
            store.write_due_changes(NOW + 1, NOW + 1)
        self.assertEqual(store.counters.counts["warning: the subscriptions are not saved"], 2)
        store.write_due_changes(NOW + 2 * SECOND, NOW + 2 * SECOND)
        self.assertTrue(decode_pages(self.data(member)).entries["x"].ended)  # type: ignore[union-attr]
        store.close(NOW)
        held.follow(NOW + 2, "x", "has id")  # the folder belongs to another process
        member.write_changes(NOW + 2)
        self.assertTrue(decode_pages(self.data(member)).entries["x"].ended)  # type: ignore[union-attr]

    def test_the_lifetime_set_by_the_last_member_applies_at_all_members(self) -> None:
        one, other = Registry("n0", NOW, MINUTE), Registry("n1", NOW, MAX_LIFETIME)
        one.follow(NOW, "x", "has id")
        other.merge(NOW, one.epoch, one.entries.items())
        self.assertEqual([held.is_live(NOW + MINUTE + 1, "x") for held in (one, other)], [False, False])
        one.lifetime = HOUR  # by SIGHUP
        self.assertTrue(one.renewal_due(NOW, "x"))
        one.renew(NOW + 1, "x")
        other.merge(NOW + 1, one.epoch, one.entries.items())
        self.assertEqual([held.is_live(NOW + HOUR, "x") for held in (one, other)], [True, True])
        for lasts in (registry.MIN_LIFETIME - 1, MAX_LIFETIME + 1):
            other.merge(NOW, one.epoch, [("y", Entry(NOW, "n0", False, "has id", NOW, lasts))])
        self.assertNotIn("y", other.entries)
        hour = Entry(NOW, "n0", False, "has id", NOW)  # members without the field read the entry alike
        self.assertNotIn(b"lasts", msgspec.msgpack.encode(hour))

    def data(self, member: Member) -> bytes:
        with open(member.path, "rb") as file:
            return file.read()


class RestartedNetwork(FakeNetwork):
    """Members that restore their state from folders; `incarnation` is higher after each restart."""

    def __init__(self, folder: str, incarnation: int, stopped: tuple[str, ...] = ()) -> None:
        super().__init__()
        self.verifiers = {name: PeerVerifier("g", name, 100 * incarnation, NAMES) for name in NAMES}
        self.members = {
            name: Exchange(name, verifier, Counters(), self.caller(name), os.path.join(folder, name))
            for name, verifier in self.verifiers.items()
        }
        self.down = set(stopped)
        for name, member in self.members.items():
            FleetFiles(os.path.join(folder, name))
            member._load_server() if incarnation == 1 else None
            for other in NAMES:
                if other != name and other not in stopped:
                    self.verifiers[name].check(self.verifiers[other].peer_message(name, Cursors("", ())))


def lines(subscriber: Subscriber) -> list[dict[str, Any]]:
    """The records written to a subscriber so far, without the answer to its call."""
    return [json.loads(line) for line in subscriber.written if line.startswith("{")]


class RestartOfAllTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("cedarwick")
        self.addCleanup(logger.enable, "cedarwick")
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.folder = made.name

    def test_a_subscriber_continues_after_a_restart_of_all_members(self) -> None:
        network = RestartedNetwork(self.folder, 1)
        before = Subscriber(network)
        before.follow("n0")
        network.wait_until_evaluated()
        network.run_rounds(10)
        for name in NAMES:
            network.publish_event(name)
        network.run_rounds(10)
        before.read_lines()
        self.assertEqual(before.cursors, dict.fromkeys(("n0-100", "n1-100", "n2-100"), 1))
        network = RestartedNetwork(self.folder, 2, stopped=("n2",))
        for member in network.members.values():
            member.compile_stored()  # evaluates before the first event and before any subscriber reconnects
        network.publish_event("n1")
        network.run_rounds(15)  # each has asked n0 for the subscriber's position without success
        after = Subscriber(network)
        after.cursors = dict(before.cursors)
        after.follow("n1")
        network.run_rounds(5)
        ended = [each for each in lines(after) if each["type"] == "ended"]
        self.assertEqual([(each["source"], each["after"]) for each in ended], [("n0-100", 1), ("n1-100", 1)])
        self.assertEqual({each["source"] for each in lines(after) if each["type"] == "from"}, {"n0-200", "n1-200"})
        network.down.clear()  # a member that starts later
        for name in ("n0", "n1"):
            network.verifiers[name].check(network.verifiers["n2"].peer_message(name, Cursors("", ())))
        network.run_rounds(10)
        network.publish_event("n2")
        network.run_rounds(10)
        records = lines(after)
        self.assertIn(("n2-100", 1), [(each["source"], each["after"]) for each in records if each["type"] == "ended"])
        self.assertEqual(
            {(each["source"], each["number"]) for each in records if each["type"] == "from"},
            {(f"{name}-200", 1) for name in NAMES},
        )
        self.assertEqual(
            [(each["event"]["source"], each["event"]["number"]) for each in records if each["type"] == "match"],
            [("n1-200", 1), ("n2-200", 1)],
        )

    def test_an_acknowledged_end_survives_a_restart_at_each_single_member(self) -> None:
        network = RestartedNetwork(self.folder, 1)
        Subscriber(network).follow("n0")
        network.wait_until_evaluated()
        self.assertEqual(network.members["n0"].handle_call(Call("UNFOLLOW", "desk")), "YES desk ended\n")
        for stopped in (("n0", "n1"), ("n1", "n2"), ("n0", "n2")):
            network = RestartedNetwork(self.folder, 2, stopped)
            network.run_rounds(20)
            for name in NAMES:
                network.members[name]._load_server()
                self.assertRaises(registry.NotFollowedError, network.members[name].handle_call, Call("FOLLOW", "desk"))

    def test_a_changed_lifetime_applies_to_connected_subscribers(self) -> None:
        network = RestartedNetwork(self.folder, 1)
        Subscriber(network).follow("n0")
        network.members["n0"].set_lifetime(MINUTE)
        network.run_rounds(30)
        self.assertEqual({member.registry.entries["desk"].lasts for member in network.members.values()}, {MINUTE})
        network.members["n0"].stop()
        now = exchange.wall_time()
        self.assertEqual(RestartedNetwork(self.folder, 2).members["n0"].registry.entries["desk"].lasts, MINUTE)
        self.assertFalse(network.members["n2"].registry.is_live(now + 2 * MINUTE, "desk"))


if __name__ == "__main__":
    unittest.main()
