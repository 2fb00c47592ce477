"""Short days in the laboratory against real senders: honest ones, and ones broken on purpose."""

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

FREE = PriorityClass(name="free", outer_ms=2500, expected_ms=800)
ONCE = PriorityClass(name="once", repeat="at-most-once", outer_ms=2500, expected_ms=800)
HOTEL = Partner(name="hotel", destinations=3, workers=4, service=Service(mean_ms=20))


def day(**told: Any) -> Scenario:
    """A day of four seconds, one sender, one priority class, three destinations."""
    return Scenario(
        **{
            "name": "t",
            "length_s": 4,
            "short_s": 4,
            "senders": 1,
            "news_ms": [1, 5],
            "load": Load(rate=60),
            "priority_classes": [FREE],
            "partner": [HOTEL],
            **told,
        }
    )


def broken(fault: str, told: Scenario) -> Result:
    return run_day(told, 1, command=(sys.executable, "-m", "tests.lab.broken", fault))


def both(fault: str, told: Scenario) -> list[Result]:
    """The same day with a fault and without one, side by side."""

    def play_both() -> list[Result]:
        days = [gevent.spawn(broken, each, told) for each in (fault, "nothing")]
        gevent.joinall(days, raise_error=True)
        return [each.value for each in days]

    return sound(play_both)


def sound(played: Callable[[], list[Result]]) -> list[Result]:
    """The results of days that say something of the senders: void ones are played again, as a sweep does."""
    for _ in range(2):
        results = played()
        if not any(each.void for each in results):
            return results
        print(f"\nplayed again: {', '.join(each.void for each in results if each.void)}")
    return played()


class BrokenSendersTest(unittest.TestCase):
    """For each rule that sockets can show: the fault is found, and without the fault the same day is clean."""

    def check(self, fault: str, rule: int, told: Scenario) -> None:
        found, clean = both(fault, told)
        self.assertIn(rule, found.verdict.counts_by_rule(), found.verdict.account)
        self.assertEqual((found.status, found.void), (3, ""))
        self.assertEqual((clean.verdict.findings, clean.status), ([], 0))

    def test_an_at_most_once_attempt_that_is_repeated(self) -> None:
        self.check(
            "repeats_at_most_once",
            2,
            day(priority_classes=[ONCE], partner=[msgspec.structs.replace(HOTEL, error_share=0.2)]),
        )

    def test_a_wait_that_is_ignored(self) -> None:
        self.check(
            "ignores_waits",
            6,
            day(load=Load(rate=80), partner=[msgspec.structs.replace(HOTEL, limit=Limit(calls=10, tells=1.0))]),
        )

    def test_a_drain_that_is_ignored(self) -> None:
        self.check(
            "ignores_drains",
            3,
            day(
                partner=[msgspec.structs.replace(HOTEL, endpoints=2)],
                faults=[InjectedFault(kind="replace", begin_s=0.3, length_s=3.5, part=1.0)],
            ),
        )

    def test_messages_that_are_lost(self) -> None:
        self.check("loses_messages", 1, day())

    def test_ends_that_are_never_told(self) -> None:
        self.check(
            "posts_no_notices",
            1,
            day(priority_classes=[ONCE], partner=[msgspec.structs.replace(HOTEL, error_share=0.2)]),
        )

    def test_an_order_that_is_not_kept(self) -> None:
        line = PriorityClass(name="line", repeat="numbered", in_turn=True, keys=3, outer_ms=2500, expected_ms=800)
        self.check(
            "ignores_order_keys",
            5,
            day(priority_classes=[line], partner=[msgspec.structs.replace(HOTEL, service=Service(mean_ms=80))]),
        )

    def test_two_attempts_out_at_once(self) -> None:
        self.check(
            "runs_concurrent_attempts",
            2,
            day(partner=[msgspec.structs.replace(HOTEL, service=Service(kind="fixed", mean_ms=60))]),
        )

    def test_a_returning_destination_that_is_pushed(self) -> None:
        warm_up = WarmUp(share=0.1, warm_s=6, falls=False)
        self.check(
            "floods_a_returning_destination",
            4,
            day(
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


class SoundDayTest(unittest.TestCase):
    def test_a_killed_sender_owes_nothing_that_is_not_paid(self) -> None:
        told = day(
            senders=2,
            priority_classes=[FREE, ONCE],
            faults=[
                InjectedFault(kind="kill", begin_s=1, length_s=0.8, part=0.5),
                InjectedFault(kind="term", begin_s=1.5, length_s=0.8, part=1.0),
            ],
        )
        with tempfile.TemporaryDirectory() as folder:
            (result,) = sound(lambda: [run_day(told, 3, out=folder)])
            self.assertEqual((result.verdict.findings, result.void), ([], ""))
            events = [life.event for life in result.history.life]
            # The one that is down already is not ended again; both are at the end of the day.
            self.assertEqual((events.count("killed"), events.count("termed")), (1, 3))
            self.assertEqual(events.count("started"), events.count("ready"))
            self.assertGreater(result.verdict.account.delivered, 100)
            # What was written says the same as what was seen.
            self.assertEqual(
                len(read_history(os.path.join(folder, "history.jsonl")).handed), len(result.history.handed)
            )
            self.assertEqual(read_run_summary(folder).account, result.verdict.account)

    def test_the_emulators_own_lateness_makes_a_day_void(self) -> None:
        late = Day()
        self.assertEqual(late.void_reason(), "")
        watch = gevent.spawn(late.watch_lag)
        gevent.sleep(0.01)
        begun = late.now()
        while late.now() < begun + 300_000:
            pass  # the loop stands still
        gevent.sleep(0.05)
        watch.kill()
        self.assertIn("ms late", late.void_reason())


class EndpointServersTest(unittest.TestCase):
    """What a partner does on its sockets."""

    def setUp(self) -> None:
        self.day = Day()
        self.environment = Environment(self.day, day(partner=[msgspec.structs.replace(HOTEL, destinations=1)]), 1, 1)
        self.addCleanup(self.environment.close)
        self.server = self.environment.servers[0]
        self.address = sender_host(0), self.server.port

    def call(self, seconds: float = 1.0) -> bytes:
        with gevent.socket.create_connection(self.address, seconds) as sock:
            sock.settimeout(seconds)
            sock.sendall(b"POST /receive HTTP/1.1\r\nX-Txn: a\r\nContent-Length: 1\r\n\r\nx")
            return bytes(sock.recv(100))

    def test_a_crash_refuses_and_resets_and_the_return_is_at_the_same_address(self) -> None:
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

    def test_a_silent_cut_brings_no_connection_up_and_answers_nothing(self) -> None:
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

    def test_an_endpoint_can_follow_another_at_its_address(self) -> None:
        self.environment.remove_endpoint(self.server)
        follower = self.environment.add_endpoint(0, self.server.port, warming_up=True)
        self.assertTrue(self.server.closed)
        self.assertTrue(self.call().startswith(b"HTTP/1.1 200"))
        self.assertEqual(self.day.history.called[-1].endpoint, follower.endpoint.uid)

    def test_a_call_that_its_caller_gives_up_has_an_end(self) -> None:
        self.server.begin_fault(Effect("hang"))
        with self.assertRaises(TimeoutError):
            self.call(0.1)
        gevent.sleep(0.1)
        call = self.day.history.called[-1]
        self.assertEqual((call.status, 0 < call.ended - call.whole < 200_000), (0, True))

    def test_an_answer_to_a_caller_that_has_left_is_marked(self) -> None:
        """The time of the work and the caller's end come in one round of the loop, in both orders."""
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

    def test_a_port_that_stays_taken_is_an_error_that_names_it(self) -> None:
        from cedarwick.lab import listeners

        usual, listeners.MAX_PORT_TRIES = listeners.MAX_PORT_TRIES, 2
        self.addCleanup(setattr, listeners, "MAX_PORT_TRIES", usual)
        with self.assertRaisesRegex(OSError, str(self.server.port)):
            listen_on_all([sender_host(0)], self.server.port)

    def test_a_reserved_port_goes_to_its_listener_only(self) -> None:
        with ReservedPort(sender_host(0)) as port:
            for _ in range(2):  # a second time as after a restart
                listen(port.address).close()
            with gevent.socket.socket() as other, self.assertRaisesRegex(OSError, "in use"):
                other.bind(port.address)
        with gevent.socket.socket() as other:
            other.bind(port.address)

    def test_a_port_for_several_hosts_is_none_that_is_reserved_at_one_of_them(self) -> None:
        first, second = sender_host(0), sender_host(1)
        with ReservedPort(second) as reserved:
            drawn = iter([reserved.number, 0])

            def listening(address: tuple[str, int], **options: bool) -> gevent.socket.socket:
                return listen((address[0], address[1] or next(drawn)), **options)

            with mock.patch("cedarwick.lab.listeners.listen", listening):
                port, made = listen_on_all([first, second])
            for sock in made:
                sock.close()
        self.assertNotEqual(port, reserved.number)


class StartsTest(unittest.TestCase):
    """A sender's process from its start to the first answer."""

    def instance(self, *command: str) -> Instance:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        made, scenario = Day(), day()
        agent = Agent(made, EndpointList(), 0)
        self.addCleanup(agent.close)
        instance = Instance(made, scenario, 0, 1, agent, folder.name, 1, command)
        self.addCleanup(instance.shut_down)
        return instance

    def test_no_other_socket_gets_the_port_before_the_sender_listens(self) -> None:
        instance = self.instance()
        with gevent.socket.socket() as other, self.assertRaisesRegex(OSError, "in use"):
            other.bind(instance.address)

    def test_a_start_that_fails_says_how_the_process_ended_and_what_it_said_last(self) -> None:
        instance = self.instance(sys.executable, "-c", "print('address in use', flush=True); raise SystemExit(2)")
        with self.assertRaisesRegex(SenderNotReadyError, "ended with status 2 .* last line: address in use"):
            instance.start()


class DrawnSchedulesTest(unittest.TestCase):
    def test_a_seed_draws_the_same_day_again_and_another_seed_another(self) -> None:
        for name in scenarios.shipped_scenarios():
            told = scenarios.load_scenario(name)
            drawn = [msgspec.json.encode(draw_schedule(told, seed, 2, True)) for seed in (1, 1, 2)]
            self.assertEqual(drawn[0], drawn[1], name)
            self.assertNotEqual(drawn[0], drawn[2], name)

    def test_drawn_troubles_are_as_many_as_wanted_and_each_a_kind_of_its_own(self) -> None:
        told = day(drawn=RandomFaults(count=3, kinds=["crash", "hang", "kill", "burst", "platform-silent"]))
        for seed in range(20):
            kinds = [each.kind for each in draw_schedule(told, seed, 2, False).faults]
            self.assertEqual((len(kinds), len(set(kinds))), (3, 3))

    def test_rates_bursts_clumps_and_hot_destinations_are_what_was_asked(self) -> None:
        told = day(
            length_s=100,
            short_s=10,
            load=Load(rate=50, hot=0.4, skew=0.0, clumps=0.2, clump=5),
            faults=[InjectedFault(kind="burst", begin_s=50, length_s=10, size=3.0)],
        )
        arrivals = draw_schedule(told, 1, 1, False).arrivals
        self.assertAlmostEqual(len(arrivals) / 6000, 1, delta=0.05)
        burst = sum(50_000_000 <= each.due < 60_000_000 for each in arrivals)
        self.assertAlmostEqual(burst / 1500, 1, delta=0.1)
        self.assertEqual([each.due for each in arrivals], sorted(each.due for each in arrivals))
        hot = sum(each.destination == 0 for each in arrivals) / len(arrivals)
        self.assertAlmostEqual(hot, 0.4 + 0.6 / 3, delta=0.07)

    def test_the_short_form_is_the_same_day_in_less_time(self) -> None:
        told = scenarios.load_scenario("outage")
        long, short = draw_schedule(told, 1, 2, False), draw_schedule(told, 1, 2, True)
        self.assertEqual(long.faults[0].destinations, short.faults[0].destinations)
        self.assertAlmostEqual(long.faults[0].begin / long.length, short.faults[0].begin / short.length, 3)


class CommandsAsSentTest(unittest.TestCase):
    def test_an_array_of_bulk_strings(self) -> None:
        self.assertEqual(encode_command(b"PING", b""), b"*2\r\n$4\r\nPING\r\n$0\r\n\r\n")


if __name__ == "__main__":
    unittest.main()
