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
    Registry,
    Verdict,
    join,
)
from cedarwick.events.streams import From, Gap, Inbox, Item, Match, Outbox, Source

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


def tell(giver: Registry, taker: Registry, now: int) -> Verdict:
    return taker.merge(now, giver.epoch, giver.entries.items())


def pair(now: int = NOW) -> tuple[Registry, Registry]:
    """Two members that both know a subscription 'x', which was followed at the second."""
    elm, fir = Registry("elm", now), Registry("fir", now)
    fir.follow(now, "x", "has id")
    tell(fir, elm, now)
    return elm, fir


class ReplicatedRegistryTest(unittest.TestCase):
    @DRAWN
    @given(st.lists(ENTRIES, min_size=3, max_size=5))
    def test_the_join_is_commutative_associative_and_idempotent(self, entries: list[Entry]) -> None:
        one, two, three, *_ = entries
        self.assertEqual(join(one, two), join(two, one))
        self.assertEqual(join(join(one, two), three), join(one, join(two, three)))
        self.assertEqual(join(one, one), one)
        ends = set()
        for order in itertools.permutations(entries[:3]):
            held = Registry("elm", NOW)
            for entry in (*order, *order):
                held.merge(NOW, held.epoch, [("x", entry)])
            ends.add(held.entries["x"])
        self.assertEqual(len(ends), 1)

    def test_an_ended_subscription_does_not_come_back_with_a_sleeper(self) -> None:
        for slept in (
            MINUTE,
            MAX_EPOCHS_AWAY * EPOCH_LENGTH,
            (MAX_EPOCHS_AWAY + 1) * EPOCH_LENGTH,
            (TOMBSTONE_EPOCHS + 5) * EPOCH_LENGTH,
        ):
            elm, fir = pair()
            ended = NOW + EPOCH_LENGTH
            elm.followed(ended - 1, "x")
            elm.end(ended, "x")
            now = ended + slept
            for hour in range(ended, now + 1, EPOCH_LENGTH):
                elm.tick(hour, with_majority=True)
                fir.tick(hour, with_majority=False)
                if hour - ended < EPOCH_LENGTH:
                    fir.followed(hour, "x")
            fir.entries["x"] = Entry(NOW, "fir", False, "has id", now)  # followed there all the time, cut off
            self.assertEqual("x" in elm.entries, slept <= TOMBSTONE_EPOCHS * EPOCH_LENGTH)
            verdict = tell(fir, elm, now)
            self.assertEqual(verdict is Verdict.JOINED, slept < MAX_EPOCHS_AWAY * EPOCH_LENGTH)
            self.assertNotIn("x", elm.living(now))
            self.assertEqual(tell(elm, fir, now) is Verdict.BEHIND, verdict is Verdict.AWAY)
            lost = fir.tick(now, with_majority=True)
            self.assertEqual(lost, ["x"] if verdict is Verdict.AWAY else [])
            self.assertEqual((tell(elm, fir, now), tell(fir, elm, now)), (Verdict.JOINED, Verdict.JOINED))
            self.assertFalse({*elm.living(now), *fir.living(now)})

    def test_what_nobody_follows_ends_everywhere_and_a_follower_keeps_it(self) -> None:
        elm, fir = pair()
        later = NOW + DEFAULT_LIFETIME
        self.assertIn("x", elm.living(later))
        self.assertFalse({*elm.living(later + 1), *fir.living(later + 1)})
        with self.assertRaises(registry.NotFollowedError):
            elm.followed(later + 1, "x")
        fir.followed(later, "x")
        fir.followed(NOW, "x")  # a clock that steps back takes nothing away
        tell(fir, elm, later)
        self.assertIn("x", elm.living(later + DEFAULT_LIFETIME))
        fir.follow(later + DEFAULT_LIFETIME + 1, "x", "has id")  # it ended, and begins anew
        self.assertIn("x", fir.living(later + DEFAULT_LIFETIME + 1))
        for hour in range((TOMBSTONE_EPOCHS + 2) * 4):
            elm.follow(NOW + hour * EPOCH_LENGTH // 4, "y", "has id")
        elm.tick(NOW + hour * EPOCH_LENGTH // 4, with_majority=False)
        elm.epoch += TOMBSTONE_EPOCHS + 3
        elm.tick(NOW, with_majority=False)
        self.assertEqual(list(elm.entries), ["y"])  # made days ago, followed ever since
        elm.epoch += 2 * TOMBSTONE_EPOCHS + 9
        elm.tick(NOW, with_majority=False)
        self.assertEqual(elm.entries, {})

    def test_a_late_word_of_an_old_follower_does_not_revive_an_old_filter(self) -> None:
        elm, fir = pair()
        elm.follow(NOW, "x", "has age")  # the same moment: one of the two is newer, the same one everywhere
        fir.followed(NOW + MINUTE, "x")
        tell(fir, elm, NOW + MINUTE)
        tell(elm, fir, NOW + MINUTE)
        self.assertEqual((elm.entries, elm.entries["x"].filter), (fir.entries, "has age"))
        blank = Registry("elm", NOW + MINUTE)  # it has forgotten everything, and yet is newer
        blank.follow(NOW + MINUTE, "x", "has wait")
        tell(blank, fir, NOW + MINUTE)
        self.assertEqual(fir.entries["x"].filter, "has wait")

    def test_clocks_that_are_off_and_unsound_entries_are_refused(self) -> None:
        elm = Registry("elm", NOW)
        for epoch, entry in [
            (elm.epoch, Entry(NOW + MAX_CLOCK_SKEW + 1, "fir", False, "has id", NOW)),
            (elm.epoch, Entry(NOW, "fir", False, "has id", NOW + MAX_CLOCK_SKEW + 1)),
            (elm.epoch + 1, Entry(NOW, "fir", False, "has id", NOW)),
        ]:
            self.assertIs(elm.merge(NOW, epoch, [("x", entry)]), Verdict.AHEAD)
        good = Entry(NOW, "fir", False, "has id", NOW)
        old = Entry(NOW - (TOMBSTONE_EPOCHS + 1) * EPOCH_LENGTH, "fir", True, "has id", 0)
        bad = [
            ("x y", good),
            ("x", Entry(NOW, "f r", False, "", NOW)),
            ("x", Entry(NOW, "fir", False, "é" * 2049, NOW)),
            ("x", old),
        ]
        self.assertIs(elm.merge(NOW, elm.epoch, bad), Verdict.JOINED)
        self.assertEqual(elm.entries, {})
        with self.assertRaises(registry.SubscriptionNameError):
            elm.follow(NOW, "x y", "has id")

    def test_subscriptions_are_bounded(self) -> None:
        elm = Registry("elm", NOW)
        elm.entries = {f"n{n}": Entry(NOW, "elm", False, "has id", NOW) for n in range(registry.MAX_ENTRIES)}
        with self.assertRaises(registry.TooManySubscriptionsError):
            elm.follow(NOW, "x", "has id")
        elm.merge(NOW, elm.epoch, [("x", Entry(NOW, "fir", False, "has id", NOW))])
        self.assertEqual(len(elm.entries), registry.MAX_ENTRIES)
        elm.follow(NOW + 1, "n1", "has age")


def source(most: int = 4) -> tuple[Source, Outbox]:
    made = Source("elm.1")
    made.evaluate({"x": Entry(1, "elm", False, "shots > 0", 1)})
    box = made.outboxes["x"] = Outbox("elm.1", 1, most)
    return made, box


def happen(made: Source, *attempts: int) -> None:
    for each in attempts:
        made.publish(0, "nacked", {"shots": each})


def numbers(items: list[Item]) -> list[Any]:
    return [item.event.number if isinstance(item, Match) else item for item in items]


class StreamsTest(unittest.TestCase):
    @DRAWN
    @given(st.lists(st.sampled_from(STEPS), max_size=60))
    def test_each_match_comes_once_in_order_or_in_a_counted_gap(self, steps: list[str]) -> None:
        made, box = source(most=3)
        inbox, old, given, matched = Inbox(), list[Item](), list[Item](), list[int]()
        for step in [*steps, "give", "give", "give"]:
            if step in ("match", "other"):
                matched += [made.next_number] * (step == "match")
                happen(made, int(step == "match"))
                continue
            offered = box.offer()
            if step == "elsewhere":  # what the last inbox passed on was seen; the answer to the source was lost
                inbox = Inbox(streams.decoded(streams.encoded("x", inbox.cursors))[1])
            if step != "lose":
                given += inbox.receive("elm.1", old if step == "late" else offered)
                given += inbox.receive("elm.1", offered if step == "twice" else [])
            if step in ("give", "twice"):
                box.seen(inbox.cursors["elm.1"])
            old = offered
        seen = [item.event.number for item in given if isinstance(item, Match)]
        gaps = [item for item in given if isinstance(item, Gap)]
        self.assertEqual(seen, sorted(set(seen)))
        self.assertEqual(given.count(From("elm.1", 1)), 1)
        missed = [number for number in matched if number not in seen]
        told = [[number for number in missed if gap.first <= number <= gap.last] for gap in gaps]
        self.assertEqual(
            [(gap.count, gap.first, gap.last) for gap in gaps], [(len(each), each[0], each[-1]) for each in told]
        )
        self.assertEqual(sum(told, []), missed)
        self.assertEqual([streams.position(item) for item in given], sorted(streams.position(item) for item in given))

    def test_a_full_buffer_tells_a_gap_in_the_place_of_the_oldest(self) -> None:
        made, box = source(most=2)
        happen(made, 1, 0, 1, 1, 0, 1)
        self.assertEqual(numbers(box.offer()), [From("elm.1", 1), Gap("elm.1", 1, 3, 2), 4, 6])
        happen(made, 1, 1, 1)
        self.assertEqual(len(box.offer()), 4)  # what was offered stays as it is
        box.seen(4)
        self.assertEqual(numbers(box.offer()), [6])
        box.seen(6)
        self.assertEqual(numbers(box.offer()), [Gap("elm.1", 7, 7, 1), 8, 9])
        box.seen(10**9)
        self.assertEqual(box.offer(), [])
        happen(made, 1)
        self.assertEqual(numbers(box.offer()), [10])

    def test_a_buffer_is_bounded_in_bytes(self) -> None:
        made, box = source(most=1000)
        box.most_bytes = 2000
        for _ in range(100):
            made.publish(0, "nacked", {"shots": 1, "id": "x" * 256})
        self.assertLessEqual((len(box.waiting), box.bytes), (2, 2000))
        self.assertEqual(box.bytes, sum(size for _, size in box.waiting))
        self.assertEqual(box.gap and box.gap.count, 100 - len(box.waiting))
        box.offer()
        self.assertEqual(box.bytes, 0)

    def test_a_window_is_bounded(self) -> None:
        made, box = source(most=1000)
        happen(made, *[1] * 2 * streams.WINDOW)
        self.assertEqual(len(box.offer()), streams.WINDOW)

    def test_a_source_says_from_which_number_on_it_evaluates(self) -> None:
        made = Source("elm.1")
        happen(made, 1, 1)
        entry = Entry(1, "elm", False, "shots > 0", 1)
        made.evaluate({"x": entry, "y": Entry(1, "elm", False, "shots of a newer kind", 1)})
        self.assertEqual(set(made.unread), {"y"})
        self.assertEqual(made.evaluate({"x": entry, "y": entry}), {})
        happen(made, 0, 1)
        self.assertEqual(numbers(made.outboxes["x"].offer()), [From("elm.1", 3), 4])
        made.evaluate({"x": Entry(2, "fir", False, "shots > 0", 2)})  # the subscriber is elsewhere now: the box stays
        self.assertEqual((len(made.outboxes["x"].offer()), made.unread), (2, {}))
        made.evaluate({"x": Entry(3, "fir", False, "shots > 1", 2)})
        self.assertEqual(numbers(made.outboxes["x"].offer()), [From("elm.1", 5)])
        made.evaluate({})
        self.assertEqual((made.publish(0, "nacked", {"shots": 9}), made.outboxes, len(made.index)), ([], {}, 0))

    def test_an_inbox_passes_on_news_of_its_own_sources_alone(self) -> None:
        inbox = Inbox({"elm.1": 5})
        self.assertEqual(inbox.receive("elm.1", [From("elm.1", 6), Gap("elm.1", 2, 5, 3)]), [])
        self.assertEqual(inbox.receive("elm.1", [From("elm.1", 9)]), [From("elm.1", 9)])  # 6 to 8 are not known of
        self.assertEqual(inbox.receive("elm.1", [From("fir.1", 20)]), [])
        self.assertEqual((inbox.cursors, inbox.dropped), ({"elm.1": 8}, 3))
        self.assertEqual((inbox.end("elm.1"), inbox.end("elm.1")), ([streams.Ended("elm.1", 8)], []))
        for number in range(streams.MAX_SOURCES + 9):
            inbox.receive(f"s.{number}", [From(f"s.{number}", 1)])
        self.assertEqual(len(inbox.cursors), streams.MAX_SOURCES)

    def test_cursors_are_read_as_they_were_told(self) -> None:
        held = {"elm.1": 0, "fir.22": (1 << 63) - 1}
        self.assertEqual(streams.decoded(streams.encoded("x", held)), ("x", held))
        self.assertEqual(streams.decoded("x"), ("x", {}))
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
                streams.decoded(text)
