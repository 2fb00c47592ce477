"""State that members share besides their partitions: receivers suspended by hand, and Retry-After waits."""

import unittest
from collections.abc import Callable

import gevent
import msgspec

from cedarwick.lab.fleet import Fleet
from cedarwick.lab.partner import Effect
from cedarwick.lab.scenario import Scenario
from cedarwick.ops import saved_state
from tests.processes import rig

TWO_RECEIVERS = msgspec.structs.replace(
    rig.SCENARIO, partner=[msgspec.structs.replace(rig.SCENARIO.partner[0], destinations=2, endpoints=2)]
)
SECOND_US = 1_000_000


class SharingTest(unittest.TestCase):
    def run_case(self, scenario: Scenario, case: Callable[[Fleet], None]) -> None:
        def judged_case(fleet: Fleet) -> None:
            case(fleet)
            fleet.settle()
            verdict = fleet.judge()
            self.assertEqual((verdict.findings, fleet.errors), ([], []), fleet.report(verdict))

        for seed in rig.seeds():
            with self.subTest(seed=seed):
                rig.run_judged(
                    lambda seed=seed: rig.fleet(  # type: ignore[misc]
                        scenario,
                        seed,
                        ack="copy",
                        keys='alone = "own"',
                        print_line=rig.discard_output,
                    ),
                    judged_case,
                )

    def test_a_receiver_suspended_at_one_member_can_be_restored_at_another(self) -> None:
        def case(fleet: Fleet) -> None:
            uid = fleet.environment.servers_of(0)[0].endpoint.uid

            def callers(seconds: float) -> set[int]:
                """The senders that call the receiver during the next seconds."""
                since = fleet.day.now()
                gevent.sleep(seconds)
                return {call.sender for call in fleet.history.called if call.endpoint == uid and call.first >= since}

            def suspended_at() -> set[int]:
                return {member.number for member in fleet.members if uid in saved_state.read_suspensions(member.state)}

            fleet.load(40, rate=120)
            self.assertEqual(callers(1.5), {0, 1, 2})
            fleet.call(0, f"SUSPEND {uid}")
            fleet.wait_until(lambda: suspended_at() == {0, 1, 2}, 1.0, "the suspension everywhere")
            gevent.sleep(0.5)
            self.assertEqual(callers(1.5), set())
            fleet.terminate_process(2)
            fleet.start(2)
            fleet.wait_until(lambda: fleet.call(2, "STATUS").startswith("YES"), 6.0, "n2's return")
            faults = fleet.isolate(0)
            fleet.call(1, f"RESTORE {uid}")
            self.assertLessEqual({1, 2}, callers(3.0))
            self.assertEqual(suspended_at(), {0})
            fleet.heal(faults)
            fleet.wait_until(lambda: not suspended_at(), 2.0, "the restored receiver at n0")
            fleet.wait_until(lambda: 0 in callers(0.5), 6.0, "n0's calls")
            fleet.end_loads()

        self.run_case(TWO_RECEIVERS, case)

    def test_a_retry_after_wait_of_one_sender_is_honoured_by_the_others(self) -> None:
        def case(fleet: Fleet) -> None:
            wait = 2 * SECOND_US
            for number in range(3):
                fleet.submit_messages(number, 1, "free")
            fleet.wait_until(lambda: not fleet.unfinished(), 3.0, "the first ends")
            end_effect = fleet.begin_effect(0, Effect("shut", wait=wait))
            fleet.submit_messages(0, 1, "free")
            fleet.wait_until(lambda: any(call.status == 429 for call in fleet.history.called), 2.0, "a refusal")
            end_effect()  # calls from now on succeed
            refused_at = next(call.ended for call in fleet.history.called if call.status == 429)
            gevent.sleep(0.5)
            self.assertEqual(
                {each.answer for number in (1, 2) for each in fleet.submit_messages(number, 3, "free")}, {"ok"}
            )
            fleet.wait_until(lambda: not fleet.unfinished(), 6.0, "the last ends")
            later = [call for call in fleet.history.called if call.first > refused_at]
            self.assertLessEqual({1, 2}, {call.sender for call in later})
            self.assertGreater(min(call.first for call in later), refused_at + wait - SECOND_US // 50)

        self.run_case(rig.SCENARIO, case)


if __name__ == "__main__":
    unittest.main()
