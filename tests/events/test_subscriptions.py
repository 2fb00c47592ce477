import itertools
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarwick.events import registry, streams
from cedarwick.events.registry import (
    DEFAULT_LIFETIME,
    EPOCH_LENGTH,
    MAX_CLOCK_SKEW,
    MAX_EPOCHS_AWAY,
    TOMBSTONE_EPOCHS,
    Entry,
    MergeResult,
    Registry,
    newer_entry,
)
from cedarwick.events.streams import EvaluationStart, Gap, Inbox, Item, Match, Outbox, Source

NOW = 500_000 * EPOCH_LENGTH
MINUTE = 60_000_000
TRUE = "has id or not has id"
ENTRIES = st.builds(
    Entry,
    st.integers(0, 2).map(lambda n: NOW + n),
    st.sampled_from("ab"),
    st.booleans(),
    st.sampled_from(["has id", "has age"]),
    st.integers(0, 2).map(lambda n: NOW + n),
)
STEPS = ["match"] * 4 + ["other", "lose", "give", "twice", "late", "elsewhere"]
DRAWN = settings(derandomize=True, max_examples=200, deadline=None)


def send_entries(sender: Registry, receiver: Registry, now: int) -> MergeResult:
    return receiver.merge(now, sender.epoch, sender.entries.items())


def pair(now: int = NOW) -> tuple[Registry, Registry]:
    """Two members that both have the subscription 'x', which was followed at the second."""
    elm, fir = Registry("elm", now), Registry("fir", now)
    fir.follow(now, "x", "has id")
    send_entries(fir, elm, now)
    return elm, fir


class ReplicatedRegistryTest(unittest.TestCase):
    @DRAWN
    @given(st.lists(ENTRIES, min_size=3, max_size=5))
    def test_the_merge_is_commutative_associative_and_idempotent(self, entries: list[Entry]) -> None:
        one, two, three, *_ = entries
        self.assertEqual(newer_entry(one, two), newer_entry(two, one))
        self.assertEqual(newer_entry(newer_entry(one, two), three), newer_entry(one, newer_entry(two, three)))
        self.assertEqual(newer_entry(one, one), one)
        ends = set()
        for order in itertools.permutations(entries[:3]):
            held = Registry("elm", NOW)
            for entry in (*order, *order):
                held.merge(NOW, held.epoch, [("x", entry)])
            ends.add(held.entries["x"])
        self.assertEqual(len(ends), 1)

    def test_an_ended_subscription_is_not_revived_by_a_member_that_was_away(self) -> None:
        for away in (
            MINUTE,
            MAX_EPOCHS_AWAY * EPOCH_LENGTH,
            (MAX_EPOCHS_AWAY + 1) * EPOCH_LENGTH,
            (TOMBSTONE_EPOCHS + 5) * EPOCH_LENGTH,
        ):
            elm, fir = pair()
            ended = NOW + EPOCH_LENGTH
            elm.renew(ended - 1, "x")
            elm.end(ended, "x")
            now = ended + away
            for hour in range(ended, now + 1, EPOCH_LENGTH):
                elm.tick(hour, with_majority=True)
                fir.tick(hour, with_majority=False)
                if hour - ended < EPOCH_LENGTH:
                    fir.renew(hour, "x")
            fir.entries["x"] = Entry(NOW, "fir", False, "has id", now)  # renewed there while the member was cut off
            self.assertEqual("x" in elm.entries, away <= TOMBSTONE_EPOCHS * EPOCH_LENGTH)
            result = send_entries(fir, elm, now)
            self.assertEqual(result is MergeResult.MERGED, away < MAX_EPOCHS_AWAY * EPOCH_LENGTH)
            self.assertNotIn("x", elm.live_entries(now))
            self.assertEqual(
                send_entries(elm, fir, now) is MergeResult.RECEIVER_OUTDATED, result is MergeResult.SENDER_OUTDATED
            )
            discarded = fir.tick(now, with_majority=True)
            self.assertEqual(discarded, ["x"] if result is MergeResult.SENDER_OUTDATED else [])
            self.assertEqual(
                (send_entries(elm, fir, now), send_entries(fir, elm, now)), (MergeResult.MERGED, MergeResult.MERGED)
            )
            self.assertFalse({*elm.live_entries(now), *fir.live_entries(now)})

    def test_a_subscription_without_a_follower_expires_at_all_members_and_renewal_extends_it(self) -> None:
        elm, fir = pair()
        later = NOW + DEFAULT_LIFETIME
        self.assertIn("x", elm.live_entries(later))
        self.assertFalse({*elm.live_entries(later + 1), *fir.live_entries(later + 1)})
        with self.assertRaises(registry.NotFollowedError):
            elm.renew(later + 1, "x")
        fir.renew(later, "x")
        fir.renew(NOW, "x")  # a clock that was set back does not shorten the lifetime
        send_entries(fir, elm, later)
        self.assertIn("x", elm.live_entries(later + DEFAULT_LIFETIME))
        fir.follow(later + DEFAULT_LIFETIME + 1, "x", "has id")  # it had expired and starts over
        self.assertIn("x", fir.live_entries(later + DEFAULT_LIFETIME + 1))
        for hour in range((TOMBSTONE_EPOCHS + 2) * 4):
            elm.follow(NOW + hour * EPOCH_LENGTH // 4, "y", "has id")
        elm.tick(NOW + hour * EPOCH_LENGTH // 4, with_majority=False)
        elm.epoch += TOMBSTONE_EPOCHS + 3
        elm.tick(NOW, with_majority=False)
        self.assertEqual(list(elm.entries), ["y"])  # created days ago, followed ever since
        elm.epoch += 2 * TOMBSTONE_EPOCHS + 9
        elm.tick(NOW, with_majority=False)
        self.assertEqual(elm.entries, {})

    def test_a_late_renewal_does_not_restore_an_old_filter(self) -> None:
        elm, fir = pair()
        elm.follow(NOW, "x", "has age")  # at the same time: one of the two is newer, the same one at all members
        fir.renew(NOW + MINUTE, "x")
        send_entries(fir, elm, NOW + MINUTE)
        send_entries(elm, fir, NOW + MINUTE)
        self.assertEqual((elm.entries, elm.entries["x"].filter), (fir.entries, "has age"))
        restarted = Registry("elm", NOW + MINUTE)  # it has lost its state, yet its version is newer
        restarted.follow(NOW + MINUTE, "x", "has wait")
        send_entries(restarted, fir, NOW + MINUTE)
        self.assertEqual(fir.entries["x"].filter, "has wait")

    def test_skewed_clocks_and_invalid_entries_are_refused(self) -> None:
        elm = Registry("elm", NOW)
        for epoch, entry in [
            (elm.epoch, Entry(NOW + MAX_CLOCK_SKEW + 1, "fir", False, "has id", NOW)),
            (elm.epoch, Entry(NOW, "fir", False, "has id", NOW + MAX_CLOCK_SKEW + 1)),
            (elm.epoch + 1, Entry(NOW, "fir", False, "has id", NOW)),
        ]:
            self.assertIs(elm.merge(NOW, epoch, [("x", entry)]), MergeResult.CLOCK_SKEWED)
        good = Entry(NOW, "fir", False, "has id", NOW)
        old = Entry(NOW - (TOMBSTONE_EPOCHS + 1) * EPOCH_LENGTH, "fir", True, "has id", 0)
        bad = [
            ("x y", good),
            ("x", Entry(NOW, "f r", False, "", NOW)),
            ("x", Entry(NOW, "fir", False, "é" * 2049, NOW)),
            ("x", old),
        ]
        self.assertIs(elm.merge(NOW, elm.epoch, bad), MergeResult.MERGED)
        self.assertEqual(elm.entries, {})
        with self.assertRaises(registry.SubscriptionNameError):
            elm.follow(NOW, "x y", "has id")

    def test_the_number_of_subscriptions_is_limited(self) -> None:
        elm = Registry("elm", NOW)
        elm.entries = {f"n{n}": Entry(NOW, "elm", False, "has id", NOW) for n in range(registry.MAX_ENTRIES)}
        with self.assertRaises(registry.TooManySubscriptionsError):
            elm.follow(NOW, "x", "has id")
        elm.merge(NOW, elm.epoch, [("x", Entry(NOW, "fir", False, "has id", NOW))])
        self.assertEqual(len(elm.entries), registry.MAX_ENTRIES)
        elm.follow(NOW + 1, "n1", "has age")


def make_source(max_waiting: int = 4) -> tuple[Source, Outbox]:
    event_source = Source("elm.1")
    event_source.set_subscriptions({"x": Entry(1, "elm", False, "shots > 0", 1)})
    outbox = event_source.outboxes["x"] = Outbox("elm.1", 1, max_waiting)
    return event_source, outbox


def publish_attempts(event_source: Source, *attempts: int) -> None:
    for each in attempts:
        event_source.publish(0, "nacked", {"shots": each})


def numbers(items: list[Item]) -> list[Any]:
    return [item.event.number if isinstance(item, Match) else item for item in items]


class StreamsTest(unittest.TestCase):
    @DRAWN
    @given(st.lists(st.sampled_from(STEPS), max_size=60))
    def test_each_match_arrives_once_and_in_order_or_in_a_counted_gap(self, steps: list[str]) -> None:
        event_source, outbox = make_source(max_waiting=3)
        inbox, old, given, matched = Inbox(), list[Item](), list[Item](), list[int]()
        for step in [*steps, "give", "give", "give"]:
            if step in ("match", "other"):
                matched += [event_source.next_number] * (step == "match")
                publish_attempts(event_source, int(step == "match"))
                continue
            offered = outbox.offer()
            if (
                step == "elsewhere"
            ):  # the subscriber has the last inbox's items; the acknowledgement to the source was lost
                inbox = Inbox(streams.decode_cursors(streams.encode_cursors("x", inbox.cursors))[1])
            if step != "lose":
                given += inbox.receive("elm.1", old if step == "late" else offered)
                given += inbox.receive("elm.1", offered if step == "twice" else [])
            if step in ("give", "twice"):
                outbox.acknowledge(inbox.cursors["elm.1"])
            old = offered
        seen = [item.event.number for item in given if isinstance(item, Match)]
        gaps = [item for item in given if isinstance(item, Gap)]
        self.assertEqual(seen, sorted(set(seen)))
        self.assertEqual(given.count(EvaluationStart("elm.1", 1)), 1)
        missed = [number for number in matched if number not in seen]
        reported = [[number for number in missed if gap.first <= number <= gap.last] for gap in gaps]
        self.assertEqual(
            [(gap.count, gap.first, gap.last) for gap in gaps], [(len(each), each[0], each[-1]) for each in reported]
        )
        self.assertEqual(sum(reported, []), missed)
        self.assertEqual([streams.position(item) for item in given], sorted(streams.position(item) for item in given))

    def test_a_full_buffer_reports_a_gap_in_place_of_the_oldest_matches(self) -> None:
        event_source, outbox = make_source(max_waiting=2)
        publish_attempts(event_source, 1, 0, 1, 1, 0, 1)
        self.assertEqual(numbers(outbox.offer()), [EvaluationStart("elm.1", 1), Gap("elm.1", 1, 3, 2), 4, 6])
        publish_attempts(event_source, 1, 1, 1)
        self.assertEqual(len(outbox.offer()), 4)  # offered items are not dropped
        outbox.acknowledge(4)
        self.assertEqual(numbers(outbox.offer()), [6])
        outbox.acknowledge(6)
        self.assertEqual(numbers(outbox.offer()), [Gap("elm.1", 7, 7, 1), 8, 9])
        outbox.acknowledge(10**9)
        self.assertEqual(outbox.offer(), [])
        publish_attempts(event_source, 1)
        self.assertEqual(numbers(outbox.offer()), [10])

    def test_the_bytes_of_a_buffer_are_limited(self) -> None:
        event_source, outbox = make_source(max_waiting=1000)
        outbox.max_waiting_bytes = 2000
        for _ in range(100):
            event_source.publish(0, "nacked", {"shots": 1, "id": "x" * 256})
        self.assertLessEqual((len(outbox.waiting), outbox.waiting_bytes), (2, 2000))
        self.assertEqual(outbox.waiting_bytes, sum(size for _, size in outbox.waiting))
        self.assertEqual(outbox.gap and outbox.gap.count, 100 - len(outbox.waiting))
        outbox.offer()
        self.assertEqual(outbox.waiting_bytes, 0)

    def test_a_window_is_limited(self) -> None:
        event_source, outbox = make_source(max_waiting=1000)
        publish_attempts(event_source, *[1] * 2 * streams.WINDOW)
        self.assertEqual(len(outbox.offer()), streams.WINDOW)

    def test_a_source_reports_the_number_from_which_it_evaluates_a_filter(self) -> None:
        event_source = Source("elm.1")
        publish_attempts(event_source, 1, 1)
        entry = Entry(1, "elm", False, "shots > 0", 1)
        event_source.set_subscriptions({"x": entry, "y": Entry(1, "elm", False, "shots of a newer kind", 1)})
        self.assertEqual(set(event_source.failed_filters), {"y"})
        self.assertEqual(event_source.set_subscriptions({"x": entry, "y": entry}), {})
        publish_attempts(event_source, 0, 1)
        self.assertEqual(numbers(event_source.outboxes["x"].offer()), [EvaluationStart("elm.1", 3), 4])
        event_source.set_subscriptions(
            {"x": Entry(2, "fir", False, "shots > 0", 2)}
        )  # the subscriber has moved: the outbox stays
        self.assertEqual((len(event_source.outboxes["x"].offer()), event_source.failed_filters), (2, {}))
        event_source.set_subscriptions({"x": Entry(3, "fir", False, "shots > 1", 2)})
        self.assertEqual(numbers(event_source.outboxes["x"].offer()), [EvaluationStart("elm.1", 5)])
        event_source.set_subscriptions({})
        self.assertEqual(
            (event_source.publish(0, "nacked", {"shots": 9}), event_source.outboxes, len(event_source.index)),
            ([], {}, 0),
        )

    def test_an_inbox_drops_repeated_items_and_items_of_other_sources(self) -> None:
        inbox = Inbox({"elm.1": 5})
        self.assertEqual(inbox.receive("elm.1", [EvaluationStart("elm.1", 6), Gap("elm.1", 2, 5, 3)]), [])
        self.assertEqual(
            inbox.receive("elm.1", [EvaluationStart("elm.1", 9)]), [EvaluationStart("elm.1", 9)]
        )  # nothing is known of 6 to 8
        self.assertEqual(inbox.receive("elm.1", [EvaluationStart("fir.1", 20)]), [])
        self.assertEqual((inbox.cursors, inbox.dropped), ({"elm.1": 8}, 3))
        self.assertEqual(
            (inbox.end_source("elm.1"), inbox.end_source("elm.1")), ([streams.SourceEnded("elm.1", 8)], [])
        )
        for number in range(streams.MAX_SOURCES + 9):
            inbox.receive(f"s.{number}", [EvaluationStart(f"s.{number}", 1)])
        self.assertEqual(len(inbox.cursors), streams.MAX_SOURCES)

    def test_cursors_are_decoded_as_they_were_encoded(self) -> None:
        held = {"elm.1": 0, "fir.22": (1 << 63) - 1}
        self.assertEqual(streams.decode_cursors(streams.encode_cursors("x", held)), ("x", held))
        self.assertEqual(streams.decode_cursors("x"), ("x", {}))
        many = " ".join(f"s{n}:1" for n in range(257))
        for text in (
            "",
            "x ",
            "x elm",
            "x elm:",
            "x elm:-1",
            "x elm:1 elm:2",
            "x elm:" + "9" * 19,
            "x e/m:1",
            "x :1",
            "x elm:٣",
            "x " + many,
            "x" * 40_000,
        ):
            with self.subTest(text[:20]), self.assertRaises(streams.InvalidCursorsError):
                streams.decode_cursors(text)
