"""Several sender processes as one fleet while parts of it fail: named cases, and days with random faults."""

import unittest
from collections.abc import Callable

import gevent

from cedarwick.lab.fleet import Fleet
from cedarwick.lab.invariants import Terms
from cedarwick.lab.partner import Effect
from cedarwick.lab.relay import Fault
from cedarwick.lab.schedule import draw_plan
from tests.processes import rig

FIVE_HALLS = ("east", "east", "east", "west", "west")


class FleetCasesTest(unittest.TestCase):
    """Each test runs one case on the seeds and audits the whole history."""

    def run_case(
        self,
        case: Callable[[Fleet], None],
        halls: tuple[str, ...] = ("east", "east", "west"),
        ack: str = "copy",
        keys: str = 'alone = "own"',
        terms: Terms | None = None,
    ) -> None:
        def run_and_audit(fleet: Fleet) -> None:
            case(fleet)
            fleet.settle()
            verdict = fleet.judge(terms)
            self.assertEqual((verdict.findings, fleet.errors), ([], []), fleet.report(verdict))

        for seed in rig.seeds():
            with self.subTest(seed=seed):
                rig.run_judged(
                    lambda seed=seed: rig.fleet(  # type: ignore[misc]
                        rig.SCENARIO,
                        seed,
                        halls,
                        ack=ack,  # type: ignore[arg-type]
                        keys=keys,
                        print_line=rig.discard_output,
                    ),
                    run_and_audit,
                )

    def test_a_sender_is_lost_for_good_with_hundreds_of_pending_messages(self) -> None:
        def case(fleet: Fleet) -> None:
            end_effects = [fleet.begin_effect(destination, Effect("hang")) for destination in range(3)]
            submitted = fleet.submit_messages(0, 500 if rig.is_full_length() else 200, "free")
            self.assertGreater(sum(each.answer == "ok" for each in submitted), 100)
            fleet.delete_folder(0)
            lost_at = fleet.day.now()
            for end_effect in end_effects:
                end_effect()
            accepted_ids = {each.id for each in submitted if each.answer == "ok"}
            fleet.wait_until(
                lambda: self.first_ended_at(fleet, accepted_ids, lost_at), 6.0, "the first final answer after the loss"
            )
            first_at = self.first_ended_at(fleet, accepted_ids, lost_at)
            self.assertLess(first_at - lost_at, 3_500_000)
            fleet.wait_until(lambda: not fleet.unfinished(), 8.0, "the last final answer after the loss")
            fleet.start(0)
            self.assertEqual({each.answer for each in fleet.submit_messages(0, 20, "free")}, {"ok"})

        self.run_case(case)

    @staticmethod
    def first_ended_at(fleet: Fleet, ids: set[str], since: int) -> int:
        """When the first of these messages ended after `since`; 0: none has."""
        end_times = [notice.at for notice in fleet.history.noticed if notice.id in ids and notice.at > since]
        end_times += [
            call.ended for call in fleet.history.called if call.id in ids and call.status == 200 and call.ended > since
        ]
        return min(end_times, default=0)

    def test_a_suspended_holder_makes_no_attempts_for_an_adopted_partition(self) -> None:
        def case(fleet: Fleet) -> None:
            fleet.load(10 if rig.is_full_length() else 5)
            gevent.sleep(1.0)
            fleet.stop(0)
            gevent.sleep(20 if rig.is_full_length() else 4)
            fleet.resume_process(0)
            fleet.wait_until(lambda: "given up" in fleet.log(0), 15.0, "the loss of the partition")
            # A client that was refused gets delayed replies, and its connection is closed after eight refusals.
            fleet.wait_until(
                lambda: [each.answer for each in fleet.submit_messages(0, 1, "free")] == ["ok"], 15.0, "a new partition"
            )

        self.run_case(case)

    def test_a_replica_that_missed_a_compaction_catches_up(self) -> None:
        def case(fleet: Fleet) -> None:
            fleet.load(30 if rig.is_full_length() else 5, rate=150)
            gevent.sleep(0.5)
            fleet.stop(2)
            gevent.sleep(60 if rig.is_full_length() else 3)
            fleet.resume_process(2)
            gevent.sleep(2.0)
            fleet.kill(0)
            gevent.sleep(3.0)
            fleet.start(0)

        self.run_case(case)

    def test_a_network_partition_with_clients_on_both_sides(self) -> None:
        def case(fleet: Fleet) -> None:
            fleet.load(30, rate=90)
            gevent.sleep(1.0)
            fault = fleet.split({0, 1, 2}, {3, 4}, silent=True)
            gevent.sleep(5.0)
            answers = {each.answer for each in fleet.submit_messages(3, 4, "free")}
            self.assertNotIn("ok", answers)  # the minority accepts no messages
            self.assertIn("ok", {each.answer for each in fleet.submit_messages(0, 4, "free")})
            fleet.heal(fault)
            fleet.wait_until(
                lambda: [each.answer for each in fleet.submit_messages(3, 1, "free")] == ["ok"],
                15.0,
                "the end of the network partition",
            )
            gevent.sleep(1.0)
            fleet.end_loads()

        self.run_case(case, FIVE_HALLS)

    def test_a_one_way_cut_between_a_holder_and_its_replica(self) -> None:
        def case(fleet: Fleet) -> None:
            fleet.load(6)
            gevent.sleep(1.0)
            fault = fleet.cut_one_way(0, 2)
            gevent.sleep(4.0)
            fleet.heal(fault)

        self.run_case(case)

    # Guards against: a copy of an answer between members is taken for the answer to the next request (a lease that
    # nobody granted, facts that nobody stored).
    def test_answers_between_members_that_arrive_twice(self) -> None:
        def case(fleet: Fleet) -> None:
            fault = fleet.begin_fault(Fault(kind="answer-twice", way="answers", jitter_ms=20, share=0.3))
            fleet.load(5)
            gevent.sleep(2.0)
            fleet.kill(0)
            gevent.sleep(2.0)
            fleet.start(0)
            fleet.heal(fault)

        self.run_case(case)

    def test_all_senders_are_restarted_in_turn_under_load(self) -> None:
        def case(fleet: Fleet) -> None:
            fleet.load(40)
            for number in range(3):
                fleet.terminate_process(number)
                fleet.start(number)
                fleet.wait_until(
                    lambda number=number: fleet.call(number, "STATUS").startswith("YES"),  # type: ignore[misc]
                    15.0,
                    "a sender's return",
                )
            gevent.sleep(1.0)
            fleet.end_loads()

        self.run_case(case)

    def test_a_replica_that_was_down_loses_nothing_under_ack_own(self) -> None:
        def case(fleet: Fleet) -> None:
            fleet.load(6)
            gevent.sleep(1.5)
            fleet.kill(1)
            gevent.sleep(4.0)
            fleet.start(1)

        self.run_case(case, ack="own")


class RandomFaultsTest(unittest.TestCase):
    def test_random_faults(self) -> None:
        seconds = 20.0 if rig.is_full_length() else 6.0
        say: Callable[[str], None] = rig.discard_output
        if rig.is_full_length():
            say = print
        for seed in rig.seeds():
            for ack in ("copy", "own"):

                def run_and_audit(fleet: Fleet) -> None:
                    fleet.load(seconds)
                    fleet.run_plan(draw_plan(fleet.seed, len(fleet.halls), seconds))
                    fleet.settle()
                    verdict = fleet.judge()
                    self.assertEqual((verdict.findings, fleet.errors), ([], []), fleet.report(verdict))

                with self.subTest(seed=seed, ack=ack):
                    rig.run_judged(
                        lambda seed=seed, ack=ack: rig.fleet(  # type: ignore
                            rig.SCENARIO,
                            seed,
                            FIVE_HALLS if rig.is_full_length() else ("east", "east", "west"),
                            ack=ack,
                            keys='alone = "own"',
                            print_line=say,
                        ),
                        run_and_audit,
                    )


if __name__ == "__main__":
    unittest.main()
