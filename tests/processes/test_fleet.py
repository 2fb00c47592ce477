"""Several senders as one fleet while parts of it fail: the named cases, and drawn days."""

import unittest
from collections.abc import Callable

import gevent

from cedarwick.lab.fleet import Fleet
from cedarwick.lab.invariants import Terms
from cedarwick.lab.partner import Effect
from cedarwick.lab.schedule import draw
from tests.processes import rig

FIVE = ("east", "east", "east", "west", "west")


class FleetCasesTest(unittest.TestCase):
    """Each plays one case on its seeds and has the whole history judged."""

    def play(
        self,
        case: Callable[[Fleet], None],
        halls: tuple[str, ...] = ("east", "east", "west"),
        ack: str = "copy",
        keys: str = 'alone = "own"',
        terms: Terms | None = None,
    ) -> None:
        def whole(fleet: Fleet) -> None:
            case(fleet)
            fleet.settle()
            verdict = fleet.judge(terms)
            self.assertEqual((verdict.findings, fleet.failed), ([], []), fleet.report(verdict))

        for seed in rig.seeds():
            with self.subTest(seed=seed):
                rig.run_judged(
                    lambda seed=seed: rig.fleet(  # type: ignore[misc]
                        rig.SCENARIO,
                        seed,
                        halls,
                        ack=ack,  # type: ignore[arg-type]
                        keys=keys,
                        say=rig.discard_output,
                    ),
                    whole,
                )

    def test_an_owner_dies_for_good_with_hundreds_held(self) -> None:
        def case(fleet: Fleet) -> None:
            ends = [fleet.begin_effect(destination, Effect("hang")) for destination in range(3)]
            handed = fleet.hand_in(0, 500 if rig.is_full_length() else 200, "free")
            self.assertGreater(sum(each.answer == "ok" for each in handed), 100)
            fleet.delete_folder(0)
            died = fleet.day.now()
            for end in ends:
                end()
            owed = {each.id for each in handed if each.answer == "ok"}
            fleet.until(lambda: self.first_end(fleet, owed, died), 6.0, "the first end of an orphan")
            first = self.first_end(fleet, owed, died)
            self.assertLess(first - died, 3_500_000)
            fleet.until(lambda: not fleet.owed(), 8.0, "the last end of an orphan")
            fleet.start(0)
            self.assertEqual({each.answer for each in fleet.hand_in(0, 20, "free")}, {"ok"})

        self.play(case)

    @staticmethod
    def first_end(fleet: Fleet, ids: set[str], since: int) -> int:
        """When the first of these ended after a time; 0: none has."""
        ended = [notice.at for notice in fleet.history.noticed if notice.id in ids and notice.at > since]
        ended += [
            call.ended for call in fleet.history.called if call.id in ids and call.status == 200 and call.ended > since
        ]
        return min(ended, default=0)

    def test_an_owner_that_slept_fires_nothing_of_what_was_adopted(self) -> None:
        def case(fleet: Fleet) -> None:
            fleet.load(10 if rig.is_full_length() else 5)
            gevent.sleep(1.0)
            fleet.stop(0)
            gevent.sleep(20 if rig.is_full_length() else 4)
            fleet.cont(0)
            fleet.until(lambda: "given up" in fleet.log(0), 15.0, "the loss of the partition")
            # A client that was turned away is slowed at the door, and let go after eight times.
            fleet.until(
                lambda: [each.answer for each in fleet.hand_in(0, 1, "free")] == ["ok"], 15.0, "a new partition"
            )

        self.play(case)

    def test_a_copy_that_was_away_behind_a_compaction_catches_up(self) -> None:
        def case(fleet: Fleet) -> None:
            fleet.load(30 if rig.is_full_length() else 5, rate=150)
            gevent.sleep(0.5)
            fleet.stop(2)
            gevent.sleep(60 if rig.is_full_length() else 3)
            fleet.cont(2)
            gevent.sleep(2.0)
            fleet.kill(0)
            gevent.sleep(3.0)
            fleet.start(0)

        self.play(case)

    def test_a_split_with_clients_on_both_sides(self) -> None:
        def case(fleet: Fleet) -> None:
            fleet.load(30, rate=90)
            gevent.sleep(1.0)
            broken = fleet.split({0, 1, 2}, {3, 4}, silent=True)
            gevent.sleep(5.0)
            answers = {each.answer for each in fleet.hand_in(3, 4, "free")}
            self.assertNotIn("ok", answers)  # the minority takes nothing
            self.assertIn("ok", {each.answer for each in fleet.hand_in(0, 4, "free")})
            fleet.heal(broken)
            fleet.until(lambda: [each.answer for each in fleet.hand_in(3, 1, "free")] == ["ok"], 15.0, "the healing")
            gevent.sleep(1.0)
            fleet.end_loads()

        self.play(case, FIVE)

    def test_a_one_way_cut_between_an_owner_and_its_copy(self) -> None:
        def case(fleet: Fleet) -> None:
            fleet.load(6)
            gevent.sleep(1.0)
            broken = fleet.cut_one_way(0, 2)
            gevent.sleep(4.0)
            fleet.heal(broken)

        self.play(case)

    def test_all_are_restarted_in_turn_under_load(self) -> None:
        def case(fleet: Fleet) -> None:
            fleet.load(40)
            for number in range(3):
                fleet.term(number)
                fleet.start(number)
                fleet.until(
                    lambda number=number: fleet.call(number, "STATUS").startswith("YES"),  # type: ignore[misc]
                    15.0,
                    "a sender's return",
                )
            gevent.sleep(1.0)
            fleet.end_loads()

        self.play(case)

    def test_a_copy_behind_loses_nothing_that_was_told_in_time(self) -> None:
        def case(fleet: Fleet) -> None:
            fleet.load(6)
            gevent.sleep(1.5)
            fleet.kill(1)
            gevent.sleep(4.0)
            fleet.start(1)

        self.play(case, ack="own")


class DrawnDaysTest(unittest.TestCase):
    def test_drawn_troubles(self) -> None:
        seconds = 20.0 if rig.is_full_length() else 6.0
        say: Callable[[str], None] = rig.discard_output
        if rig.is_full_length():
            say = print
        for seed in rig.seeds():
            for ack in ("copy", "own"):

                def whole(fleet: Fleet) -> None:
                    fleet.load(seconds)
                    fleet.carry_out(draw(fleet.seed, len(fleet.halls), seconds))
                    fleet.settle()
                    verdict = fleet.judge()
                    self.assertEqual((verdict.findings, fleet.failed), ([], []), fleet.report(verdict))

                with self.subTest(seed=seed, ack=ack):
                    rig.run_judged(
                        lambda seed=seed, ack=ack: rig.fleet(  # type: ignore
                            rig.SCENARIO,
                            seed,
                            FIVE if rig.is_full_length() else ("east", "east", "west"),
                            ack=ack,
                            keys='alone = "own"',
                            say=say,
                        ),
                        whole,
                    )


if __name__ == "__main__":
    unittest.main()
