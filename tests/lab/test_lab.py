"""Tests short days in the laboratory with real senders: unmodified ones, and ones with a deliberate fault."""

import os
import sys
import tempfile
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import gevent
import msgspec

from cedarwick.lab import scenario as scenarios
from cedarwick.lab.clients import encode_command
from cedarwick.lab.day import Day
from cedarwick.lab.environment import Environment
from cedarwick.lab.history import read_history
from cedarwick.lab.listeners import ReservedPort, listen, listen_on_all, sender_host
from cedarwick.lab.partner import Effect
from cedarwick.lab.register import Agent, EndpointList
from cedarwick.lab.run import Result, read_run_summary, run_day
from cedarwick.lab.scenario import (
    InjectedFault,
    Limit,
    Limits,
    Load,
    Partner,
    PriorityClass,
    RandomFaults,
    Scenario,
    Service,
    WarmUp,
)
from cedarwick.lab.senders import Instance, SenderNotReadyError
from cedarwick.lab.workload import draw_schedule

UNORDERED = PriorityClass(name="free", outer_ms=2500, expected_ms=800)
AT_MOST_ONCE = PriorityClass(name="once", repeat="at-most-once", outer_ms=2500, expected_ms=800)
HOTEL = Partner(name="hotel", destinations=3, workers=4, service=Service(mean_ms=20))


def make_scenario(**settings: Any) -> Scenario:
    """Return a scenario of four seconds with one sender, one priority class and three destinations."""
    return Scenario(
        **{
            "name": "t",
            "length_s": 4,
            "short_s": 4,
            "senders": 1,
            "news_ms": [1, 5],
            "load": Load(rate=60),
            "priority_classes": [UNORDERED],
            "partner": [HOTEL],
            **settings,
        }
    )


def play_with_fault(fault: str, scenario: Scenario) -> Result:
    """Play a day with senders that have a fault of `tests.lab.broken`."""
    return run_day(scenario, 1, command=(sys.executable, "-m", "tests.lab.broken", fault))


def play_with_and_without_fault(fault: str, scenario: Scenario) -> list[Result]:
    """Play the same day with a fault and without it, at the same time."""

    def play_both() -> list[Result]:
        days = [gevent.spawn(play_with_fault, each, scenario) for each in (fault, "nothing")]
        gevent.joinall(days, raise_error=True)
        return [each.value for each in days]

    return repeat_if_void(play_both)


def repeat_if_void(play_days: Callable[[], list[Result]]) -> list[Result]:
    """Return the results of days; days of which one is void are played again, as in a sweep."""
    for _ in range(2):
        results = play_days()
        if not any(each.void for each in results):
            return results
        print(f"\nrepeated void days: {', '.join(each.void for each in results if each.void)}")
    return play_days()


class BrokenSendersTest(unittest.TestCase):
    """Each fault is found by the rule for it, and the same day without the fault has no findings."""

    def check(self, fault: str, rule: int, scenario: Scenario) -> None:
        faulty, clean = play_with_and_without_fault(fault, scenario)
        self.assertIn(rule, faulty.verdict.counts_by_rule(), faulty.verdict.account)
        self.assertEqual((faulty.status, faulty.void), (3, ""))
        self.assertEqual((clean.verdict.findings, clean.status), ([], 0))

    def test_repeated_at_most_once_attempts_are_found(self) -> None:
        self.check(
            "repeats_at_most_once",
            2,
            make_scenario(priority_classes=[AT_MOST_ONCE], partner=[msgspec.structs.replace(HOTEL, error_share=0.2)]),
        )

    def test_ignored_retry_after_waits_are_found(self) -> None:
        self.check(
            "ignores_waits",
            6,
            make_scenario(
                load=Load(rate=80), partner=[msgspec.structs.replace(HOTEL, limit=Limit(calls=10, tells=1.0))]
            ),
        )

    def test_ignored_draining_is_found(self) -> None:
        self.check(
            "ignores_drains",
            3,
            make_scenario(
                partner=[msgspec.structs.replace(HOTEL, endpoints=2)],
                faults=[InjectedFault(kind="replace", begin_s=0.3, length_s=3.5, part=1.0)],
            ),
        )

    def test_lost_messages_are_found(self) -> None:
        self.check("loses_messages", 1, make_scenario())

    def test_missing_notices_are_found(self) -> None:
        self.check(
            "posts_no_notices",
            1,
            make_scenario(priority_classes=[AT_MOST_ONCE], partner=[msgspec.structs.replace(HOTEL, error_share=0.2)]),
        )

    def test_violated_order_is_found(self) -> None:
        ordered = PriorityClass(name="line", repeat="numbered", in_turn=True, keys=3, outer_ms=2500, expected_ms=800)
        self.check(
            "ignores_order_keys",
            5,
            make_scenario(
                priority_classes=[ordered], partner=[msgspec.structs.replace(HOTEL, service=Service(mean_ms=80))]
            ),
        )

    def test_two_attempts_in_flight_at_once_are_found(self) -> None:
        self.check(
            "runs_concurrent_attempts",
            2,
            make_scenario(partner=[msgspec.structs.replace(HOTEL, service=Service(kind="fixed", mean_ms=60))]),
        )

    def test_too_many_calls_to_a_returning_destination_are_found(self) -> None:
        warm_up = WarmUp(share=0.1, warm_s=6, falls=False)
        self.check(
            "floods_a_returning_destination",
            4,
            make_scenario(
                length_s=6,
                short_s=6,
                load=Load(rate=40),
                limits=Limits(slots=300),
                partner=[
                    msgspec.structs.replace(
                        HOTEL, destinations=1, warm_up=warm_up, queue=1000, service=Service(mean_ms=80)
                    )
                ],
                faults=[InjectedFault(kind="crash", begin_s=1, length_s=1.8, part=1.0)],
            ),
        )


class UnmodifiedSendersTest(unittest.TestCase):
    def test_no_accepted_message_is_lost_with_a_kill_and_terminations(self) -> None:
        scenario = make_scenario(
            senders=2,
            priority_classes=[UNORDERED, AT_MOST_ONCE],
            faults=[
                InjectedFault(kind="kill", begin_s=1, length_s=0.8, part=0.5),
                InjectedFault(kind="term", begin_s=1.5, length_s=0.8, part=1.0),
            ],
        )
        with tempfile.TemporaryDirectory() as folder:
            (result,) = repeat_if_void(lambda: [run_day(scenario, 3, out=folder)])
            self.assertEqual((result.verdict.findings, result.void), ([], ""))
            events = [life.event for life in result.history.life]
            # The killed sender is down when both are terminated; at the end of the day both are terminated again.
            self.assertEqual((events.count("killed"), events.count("termed")), (1, 3))
            self.assertEqual(events.count("started"), events.count("ready"))
            self.assertGreater(result.verdict.account.delivered, 100)
            # The written files hold the same as the result.
            self.assertEqual(
                len(read_history(os.path.join(folder, "history.jsonl")).handed), len(result.history.handed)
            )
            self.assertEqual(read_run_summary(folder).account, result.verdict.account)

    def test_a_late_event_loop_of_the_emulator_makes_a_day_void(self) -> None:
        lagging = Day()
        self.assertEqual(lagging.void_reason(), "")
        watch = gevent.spawn(lagging.watch_lag)
        gevent.sleep(0.01)
        begun = lagging.now()
        while lagging.now() < begun + 300_000:
            pass  # block the event loop
        gevent.sleep(0.05)
        watch.kill()
        self.assertIn("ms late", lagging.void_reason())


class EndpointServersTest(unittest.TestCase):
    """Tests the behaviour of a partner on its sockets."""

    def setUp(self) -> None:
        self.day = Day()
        self.environment = Environment(
            self.day, make_scenario(partner=[msgspec.structs.replace(HOTEL, destinations=1)]), 1, 1
        )
        self.addCleanup(self.environment.close)
        self.server = self.environment.servers[0]
        self.address = sender_host(0), self.server.port

    def call(self, seconds: float = 1.0) -> bytes:
        """Call the endpoint once and return the begin of its answer."""
        with gevent.socket.create_connection(self.address, seconds) as sock:
            sock.settimeout(seconds)
            sock.sendall(b"POST /receive HTTP/1.1\r\nX-Txn: a\r\nContent-Length: 1\r\n\r\nx")
            return bytes(sock.recv(100))

    def test_a_crash_refuses_and_resets_connections_and_the_endpoint_returns_at_its_address(self) -> None:
        held = gevent.socket.create_connection(self.address)
        self.addCleanup(held.close)
        gevent.sleep(0.01)
        end = self.server.begin_fault(Effect("crash"))
        gevent.sleep(0.01)
        with self.assertRaises(ConnectionResetError):
            held.recv(1)
        with self.assertRaises(ConnectionRefusedError):
            self.call()
        end(True)
        self.assertTrue(self.call().startswith(b"HTTP/1.1 200"))
        self.assertEqual([(each.warming_up, each.ended > 0) for each in self.server.outage_records()], [(True, True)])

    def test_a_silent_cut_accepts_no_connection_and_answers_nothing(self) -> None:
        held = gevent.socket.create_connection(self.address)
        self.addCleanup(held.close)
        gevent.sleep(0.01)
        end = self.server.begin_fault(Effect("cut"))
        held.sendall(b"POST /receive HTTP/1.1\r\nX-Txn: b\r\nContent-Length: 1\r\n\r\nx")
        held.settimeout(0.2)
        with self.assertRaises(TimeoutError):
            held.recv(1)
        with self.assertRaises(TimeoutError):
            self.call(0.2)
        end(False)
        held.settimeout(1.0)
        with self.assertRaises(ConnectionResetError):
            held.recv(1)
        self.assertTrue(self.call().startswith(b"HTTP/1.1 200"))
        self.assertNotIn("b", [call.id for call in self.day.history.called])

    def test_a_new_endpoint_can_take_the_address_of_a_removed_one(self) -> None:
        self.environment.remove_endpoint(self.server)
        replacement = self.environment.add_endpoint(0, self.server.port, warming_up=True)
        self.assertTrue(self.server.closed)
        self.assertTrue(self.call().startswith(b"HTTP/1.1 200"))
        self.assertEqual(self.day.history.called[-1].endpoint, replacement.endpoint.uid)

    def test_a_call_that_its_caller_gives_up_is_recorded_with_its_end(self) -> None:
        self.server.begin_fault(Effect("hang"))
        with self.assertRaises(TimeoutError):
            self.call(0.1)
        gevent.sleep(0.1)
        call = self.day.history.called[-1]
        self.assertEqual((call.status, 0 < call.ended - call.whole < 200_000), (0, True))

    def test_an_answer_to_a_closed_connection_is_marked(self) -> None:
        """The end of the work and the caller's close come in one iteration of the event loop, in either order."""
        for leaves in (False, True):
            with (
                self.subTest(leaves=leaves),
                gevent.socket.create_connection(self.address) as sock,
                mock.patch.object(self.server, "_caller_waits_until", return_value=True),
            ):
                sock.sendall(b"POST /receive HTTP/1.1\r\nX-Txn: a\r\nContent-Length: 1\r\n\r\nx")
                if leaves:
                    sock.shutdown(gevent.socket.SHUT_WR)
                sock.settimeout(1.0)
                self.assertTrue(sock.recv(100).startswith(b"HTTP/1.1 200"))
                call = self.day.history.called[-1]
                self.assertEqual((call.status, call.left), (200, leaves))

    def test_a_port_that_stays_in_use_is_an_error_that_names_it(self) -> None:
        from cedarwick.lab import listeners

        original, listeners.MAX_PORT_TRIES = listeners.MAX_PORT_TRIES, 2
        self.addCleanup(setattr, listeners, "MAX_PORT_TRIES", original)
        with self.assertRaisesRegex(OSError, str(self.server.port)):
            listen_on_all([sender_host(0)], self.server.port)

    def test_only_the_listener_gets_a_reserved_port(self) -> None:
        with ReservedPort(sender_host(0)) as port:
            for _ in range(2):  # the second time as after a restart
                listen(port.address).close()
            with gevent.socket.socket() as other, self.assertRaisesRegex(OSError, "in use"):
                other.bind(port.address)
        with gevent.socket.socket() as other:
            other.bind(port.address)

    def test_a_port_for_several_hosts_is_not_reserved_at_any_of_them(self) -> None:
        first, second = sender_host(0), sender_host(1)
        with ReservedPort(second) as reserved:
            drawn = iter([reserved.number, 0])

            def listen_on_drawn_port(address: tuple[str, int], **options: bool) -> gevent.socket.socket:
                return listen((address[0], address[1] or next(drawn)), **options)

            with mock.patch("cedarwick.lab.listeners.listen", listen_on_drawn_port):
                port, listening = listen_on_all([first, second])
            for sock in listening:
                sock.close()
        self.assertNotEqual(port, reserved.number)


class StartsTest(unittest.TestCase):
    """Tests a sender's process from its start to the first answer."""

    def instance(self, *command: str) -> Instance:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        day, scenario = Day(), make_scenario()
        agent = Agent(day, EndpointList(), 0)
        self.addCleanup(agent.close)
        instance = Instance(day, scenario, 0, 1, agent, folder.name, 1, command)
        self.addCleanup(instance.shut_down)
        return instance

    def test_no_other_socket_gets_the_port_before_the_sender_listens(self) -> None:
        instance = self.instance()
        with gevent.socket.socket() as other, self.assertRaisesRegex(OSError, "in use"):
            other.bind(instance.address)

    def test_the_error_of_a_failed_start_has_the_exit_status_and_the_last_line(self) -> None:
        instance = self.instance(sys.executable, "-c", "print('address in use', flush=True); raise SystemExit(2)")
        with self.assertRaisesRegex(SenderNotReadyError, "ended with status 2 .* last line: address in use"):
            instance.start()


class DrawnScheduleTest(unittest.TestCase):
    def test_the_seed_alone_determines_a_schedule(self) -> None:
        for name in scenarios.shipped_scenarios():
            scenario = scenarios.load_scenario(name)
            drawn = [msgspec.json.encode(draw_schedule(scenario, seed, 2, True)) for seed in (1, 1, 2)]
            self.assertEqual(drawn[0], drawn[1], name)
            self.assertNotEqual(drawn[0], drawn[2], name)

    def test_drawn_faults_have_the_given_count_and_different_kinds(self) -> None:
        scenario = make_scenario(
            drawn=RandomFaults(count=3, kinds=["crash", "hang", "kill", "burst", "platform-silent"])
        )
        for seed in range(20):
            kinds = [each.kind for each in draw_schedule(scenario, seed, 2, False).faults]
            self.assertEqual((len(kinds), len(set(kinds))), (3, 3))

    def test_rates_bursts_clumps_and_hot_destinations_match_the_scenario(self) -> None:
        scenario = make_scenario(
            length_s=100,
            short_s=10,
            load=Load(rate=50, hot=0.4, skew=0.0, clumps=0.2, clump=5),
            faults=[InjectedFault(kind="burst", begin_s=50, length_s=10, size=3.0)],
        )
        arrivals = draw_schedule(scenario, 1, 1, False).arrivals
        self.assertAlmostEqual(len(arrivals) / 6000, 1, delta=0.05)
        burst = sum(50_000_000 <= each.due < 60_000_000 for each in arrivals)
        self.assertAlmostEqual(burst / 1500, 1, delta=0.1)
        self.assertEqual([each.due for each in arrivals], sorted(each.due for each in arrivals))
        hot = sum(each.destination == 0 for each in arrivals) / len(arrivals)
        self.assertAlmostEqual(hot, 0.4 + 0.6 / 3, delta=0.07)

    def test_the_short_form_has_the_same_faults_in_less_time(self) -> None:
        scenario = scenarios.load_scenario("outage")
        long, short = draw_schedule(scenario, 1, 2, False), draw_schedule(scenario, 1, 2, True)
        self.assertEqual(long.faults[0].destinations, short.faults[0].destinations)
        self.assertAlmostEqual(long.faults[0].begin / long.length, short.faults[0].begin / short.length, 3)


class CommandEncodingTest(unittest.TestCase):
    def test_a_command_is_an_array_of_bulk_strings(self) -> None:
        self.assertEqual(encode_command(b"PING", b""), b"*2\r\n$4\r\nPING\r\n$0\r\n\r\n")


if __name__ == "__main__":
    unittest.main()
