"""The watch of the list where two events cross: silence, spoilt and old updates, moves, late answers, many senders."""

import contextlib
import heapq
import json
import signal
import socket
import time
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import gevent

from cedarwick.decisions.interface import EndpointState, EndpointUpdate
from cedarwick.decisions.policy import Sender
from cedarwick.decisions.sender_state import LIST_WAIT
from cedarwick.decisions.state import SECOND
from cedarwick.net import endpoint_list as module
from tests.build import NESTED, NOW, SETTINGS, Program, Receiver, free_port, line_of, reply, submit, until
from tests.net.test_endpoint_list import HEAD, WatchedTestCase, chunk


class Fleet:
    """Senders that ask a discovery as `Directory` does: it says nothing at first, then answers so many calls a second.

    It takes calls in turn, answers 503 where that would take over 2 s, and has the work of those all the same.
    """

    def __init__(self, senders: int, rate: float, down: float) -> None:
        self.down, self.rate, self.busy = down, rate, down
        self.senders = [Sender({**SETTINGS, "balancers": str(senders)}, seed, NOW) for seed in range(senders)]
        self.told: dict[int, float] = {}
        self.calls: list[list[float]] = [[] for _ in self.senders]
        self.events: list[tuple[float, int, int, Callable[[int, float], None]]] = []
        for sender in range(senders):
            self.at(sender / 1000, sender, self.call)

    def at(self, when: float, sender: int, event: Callable[[int, float], None]) -> None:
        heapq.heappush(self.events, (when, len(self.events) + len(self.calls[sender]) * 1000, sender, event))

    def play(self, seconds: float) -> None:
        while self.events and self.events[0][0] < seconds and len(self.told) < len(self.senders):
            when, _, sender, event = heapq.heappop(self.events)
            if sender not in self.told:
                event(sender, when)

    def call(self, sender: int, now: float) -> None:
        """The decisions want it: the call before it is closed."""
        made, moment = self.senders[sender], NOW + round(now * SECOND)
        if self.calls[sender]:
            if moment < made.subscribe_at:
                return  # it was drawn anew
            assert made.decide(moment).subscribe
        self.calls[sender].append(now)
        mine = len(self.calls[sender])

        def unless_closed(then: Callable[[int, float], None]) -> Callable[[int, float], None]:
            return lambda each, at: then(each, at) if len(self.calls[each]) == mine else None

        if now < self.down:
            self.at(now + module.ANSWER_TIMEOUT_S, sender, unless_closed(self.failed))
            return
        self.busy = max(self.busy, now) + 1 / self.rate
        if self.busy - now > module.ANSWER_TIMEOUT_S:
            self.at(now + module.ANSWER_TIMEOUT_S, sender, unless_closed(self.failed))
        late = self.busy - now > 2.0
        self.at(now + 2.0 if late else self.busy, sender, unless_closed(self.failed if late else self.answered))

    def failed(self, sender: int, now: float) -> None:
        made = self.senders[sender]
        made.list_poll_failed(NOW + round(now * SECOND))
        self.at((made.subscribe_at - NOW) / SECOND + 1e-6, sender, self.call)

    def answered(self, sender: int, now: float) -> None:
        self.told[sender] = now - self.down


class ManySendersTest(unittest.TestCase):
    """Calls that fail are spread, and yet made again in time for the clock of 6 s."""

    def test_all_of_a_fleet_hear_of_it_within_the_clock_and_ask_no_more_than_they_need(self) -> None:
        for senders in (2, 17, 40, 200):
            for all_in in (0.5, 4.0, 5.5)[: 1 if senders == 2 else 3]:  # seconds in which all can be answered
                with self.subTest(senders=senders, all_in=all_in):
                    fleet = Fleet(senders, senders / all_in, down=8.0)
                    fleet.play(60.0)
                    self.assertEqual(len(fleet.told), senders)
                    self.assertLess(max(fleet.told.values()), 6.0)
                    after = sum(call >= 8.0 for calls in fleet.calls for call in calls)
                    self.assertLessEqual(after, 1.2 * senders + 2)
                    gaps = [calls[nth] - calls[nth - 1] for calls in fleet.calls for nth in range(1, len(calls))]
                    self.assertLessEqual(max(gaps), 5.0 + 1e-5)

    def test_on_sockets_one_clock_holds_and_the_simulator_has_what_its_settings_allow(self) -> None:
        for name, longest in (("", 4.0), ("0", 4.0), ("10000", 10.0)):
            waits = []
            for seed in range(100):
                made = Sender({**SETTINGS, "balancers": "200", "rules.ask-within-ms": name}, seed, NOW)
                made.list_poll_failed(NOW)
                waits.append((made.subscribe_at - NOW) / SECOND)
            self.assertLessEqual(max(waits), longest + 1e-5)
            self.assertGreater(max(waits) - min(waits), (longest - 2.0) * 0.9)
            self.assertGreater(min(waits), 1.99)  # many that lost it together: not so many that nobody is answered


class SilentWatchTest(WatchedTestCase):
    LATE = 0.3  # seconds after the limit

    def test_what_says_nothing_whole_any_more_is_left_in_time(self) -> None:
        """However it goes on: silent, or a byte now and then."""
        blank, line = chunk(b"\n"), self.update_line(7)
        begun = b"%x\r\n" % (len(line) + 99)
        cases: list[tuple[str, bytes, bytes]] = [
            ("the head", HEAD, b""),
            ("empty lines", HEAD + blank + blank, b""),
            ("half an object", HEAD + blank + chunk(line[:20]), b""),
            ("an object, then half of one", HEAD + chunk(line + line[:20]), b""),
            ("an object byte by byte", HEAD + blank, b"".join(chunk(line[at : at + 1]) for at in range(len(line)))),
            ("a chunk byte by byte", HEAD + blank + begun, line * 9),
            ("a size byte by byte", HEAD + blank, b"0" * 99),
            ("a head byte by byte", HEAD[:17] + b"X: ", b"y" * 99),
        ]
        for name, first, more in cases:
            with self.subTest(after=name):
                sock, _ = self.opened(within=2.0)
                said = time.monotonic()
                sock.sendall(first)
                step = len(chunk(b"x")) if name == "an object byte by byte" else 1

                def go_on(sock: Any = sock, more: bytes = more, step: int = step) -> None:
                    with contextlib.suppress(OSError):
                        for at in range(0, len(more), step):
                            gevent.sleep(module.LINE_TIMEOUT_S - 0.01)  # each within the limit since the one before
                            sock.sendall(more[at : at + step])

                going = gevent.spawn(go_on)
                self.addCleanup(going.kill)
                again, _ = self.opened(within=module.LINE_TIMEOUT_S + 0.8)
                self.assertLess(time.monotonic() - said, module.LINE_TIMEOUT_S + self.LATE)
                going.kill()
                again.sendall(HEAD + chunk(b"\n"))
                self.happens(lambda: not self.made.failure_reported)
                gevent.sleep(module.STABLE_WATCH_S + 0.15)
                again.close()
        self.assertEqual(self.failed, [])

    def test_a_head_that_trickles_before_its_status_has_failed_in_time(self) -> None:
        sock, _ = self.opened()
        begun = time.monotonic()
        for byte in b"HTTP/1.1 100 Go\r\n\r\nHTTP/1":
            if self.failed:
                break
            sock.sendall(bytes([byte]))
            gevent.sleep(module.ANSWER_TIMEOUT_S / 5)
        self.assertLess(self.failed[0] - begun, module.ANSWER_TIMEOUT_S + self.LATE)

    def test_a_watch_that_was_answered_late_and_ended_at_once_was_no_watch(self) -> None:
        sock, _ = self.opened()
        self.happens(lambda: self.failed)
        sock.sendall(HEAD + chunk(self.update_line(3)) + b"0\r\n\r\n")
        self.happens(lambda: len(self.failed) == 2)
        self.assertEqual(self.made.version, 3)
        with self.assertRaises(gevent.Timeout):
            self.opened(within=0.2)

    def test_what_lies_there_after_a_stop_of_the_process_is_read(self) -> None:
        sock, _ = self.opened()
        sock.sendall(HEAD + chunk(b"\n"))
        self.happens(self.made.first_update.is_set)
        sock.sendall(chunk(self.update_line(4)))
        time.sleep(module.LINE_TIMEOUT_S + 0.1)  # all stands still
        self.happens(lambda: self.made.version == 4)


class OldAndCorruptListsTest(WatchedTestCase):
    def line(self, uid: str, **spoilt: Any) -> dict[str, Any]:
        return {**self.GOOD, "uid": uid, "capacity_hint": 1.0, **spoilt}

    def piece(self, rev: int, *lines: Any, whole: bool = False) -> bytes:
        return chunk(json.dumps({"rev": rev, "all": whole, "targets": lines}).encode() + b"\n")

    def phases(self) -> str:
        """How the decisions take each receiver, by uid."""
        uids = {number: uid for uid, number in self.made.receiver_numbers.items()}
        state: dict[str, EndpointState] = {}
        for change, listings in self.told:
            state = state if change is EndpointUpdate.DELTA else {}
            state.update({uids[each.receiver]: each.phase for each in listings})
        marks = {EndpointState.READY: "+", EndpointState.DRAINING: "-", EndpointState.REMOVED: "x"}
        return " ".join(uid + marks[phase] for uid, phase in sorted(state.items()))

    def test_what_is_unclear_is_taken_carefully_and_the_whole_list_asked_for_at_once(self) -> None:
        a, b = self.line("a"), self.line("b")
        drained = self.line("a", state="draining")
        cases: list[tuple[str, list[bytes], str]] = [
            (
                "a line that says draining, spoilt elsewhere",
                [
                    self.piece(3, self.line("a", state="draining", endpoint="?")),
                    self.piece(4, self.line("b", state="removed", pod_group=[])),
                ],
                "a- bx",
            ),
            (
                "a whole list with a spoilt line, and one left out",
                [self.piece(3, self.line("a", az=[], endpoint=7), whole=True), b""],
                "a+",
            ),
            ("a whole list with a line that names nobody", [self.piece(3, a, {"state": "up"}, whole=True), b""], "a+"),
            ("changes with a spoilt line", [self.piece(3, {"uid": "b", "state": "?"}, drained), b""], "a- b+"),
            ("an older whole list", [self.piece(5, drained), self.piece(4, a, b, whole=True), b""], "a- b+"),
            ("older changes", [self.piece(5, drained), self.piece(4, a), b""], "a- b+"),
            (
                "the same whole list twice, changes between",
                [self.piece(3, drained, b, whole=True), self.piece(3, drained, b, whole=True)],
                "a- b+",
            ),
        ]
        for name, pieces, phases in cases:
            with self.subTest(name):
                self.told.clear()
                sock, _ = self.opened()
                sock.sendall(HEAD + self.piece(2, a, b, whole=True))
                self.happens(lambda: self.made.version == 2)
                for each in pieces:
                    if each:
                        sock.sendall(each)
                    else:  # at once, though the watch has not held for long; and no failed call
                        again, line = self.opened(within=0.4)
                        self.assertIn(b"since=0 ", line)
                        self.assertEqual(self.phases(), phases)
                        sock = again
                self.happens(lambda: self.phases() == phases)  # noqa: B023
                sock.sendall(HEAD + self.piece(1, a, b, whole=True) if b"" in pieces else b"")  # it counts anew
                self.happens(lambda: self.made.version == 1 or b"" not in pieces)  # noqa: B023
                self.assertFalse(self.made.needs_full_list)
                self.made.version = 0
                self.assertEqual(self.failed, [])
                gevent.sleep(module.STABLE_WATCH_S + 0.15)
                sock.close()

    def test_an_agent_that_tells_spoilt_or_old_lists_again_and_again_is_not_asked_all_the_time(self) -> None:
        spoilt = self.piece(3, self.line("a"), {"uid": 7}, whole=True)
        sock, _ = self.opened()
        sock.sendall(HEAD + spoilt)
        sock, line = self.opened(within=0.3)
        self.assertIn(b"since=0 ", line)
        self.assertFalse(self.made.first_update.is_set())  # attempts would go by the saved list
        sock.sendall(HEAD + spoilt)  # that is how it is: this one is listened to
        sock.sendall(self.piece(4, self.line("a", state="draining")))
        self.happens(lambda: self.phases() == "a-")
        with self.assertRaises(gevent.Timeout):
            self.opened(within=0.2)
        gevent.sleep(module.STABLE_WATCH_S)
        sock.close()
        for nth in range(2):  # the second was asked for the whole list as well: the decisions say when
            sock, line = self.opened()
            self.assertIn(b"since=0 ", line)
            sock.sendall(HEAD + self.piece(9, self.line("a"), whole=True) + self.piece(8, self.line("a")))
            self.happens(lambda: len(self.failed) == nth + 1)  # noqa: B023
            self.made.reopen_watch()

    def test_a_version_below_the_saved_one_asks_for_the_whole_list(self) -> None:
        sock, _ = self.opened()
        self.made.apply_update({"rev": 10**30, "all": True, "targets": [self.GOOD]}, saved=True)
        sock.close()
        self.happens(lambda: self.failed)
        self.made.reopen_watch()
        sock, line = self.opened()
        self.assertIn(b"since=1000", line)
        sock.sendall(HEAD + self.update_line(2).join([b"%x\r\n" % len(self.update_line(2)), b"\r\n"]))
        _, line = self.opened(within=0.4)
        self.assertIn(b"since=0 ", line)


class ChangedAddressTest(WatchedTestCase):
    def test_a_move_in_any_state_of_the_watch_opens_the_new_one_at_once(self) -> None:
        """In each: told once, then twice in a row, and with `ask` on either side of it."""

        def move(new: Any) -> None:
            self.made.change_address(new.getsockname())

        def twice(new: Any) -> None:
            move(self.agent())
            move(new)

        def asked_first(new: Any) -> None:
            self.made.reopen_watch()
            move(new)

        def asked_after(new: Any) -> None:
            move(new)
            self.made.reopen_watch()

        for how in (move, twice, asked_first, asked_after):
            for state in ("starting", "reading", "in doubt", "waiting", "ending"):
                with self.subTest(state=state, how=how.__name__):
                    self.made.change_address(self.listener.getsockname())
                    sock, _ = self.opened()
                    failed = len(self.failed)
                    if state in ("reading", "ending"):
                        sock.sendall(HEAD + chunk(self.update_line(7)))
                        self.happens(lambda: self.made.version == 7)
                    elif state == "in doubt":
                        self.happens(lambda: self.made.failure_reported)
                    elif state == "waiting":
                        sock.close()
                        self.happens(lambda: len(self.failed) > failed)  # noqa: B023
                    new, old = self.agent(), self.made.watch_greenlet
                    if state == "ending":  # the watch has ended, and nobody has seen it yet
                        assert old is not None
                        old.link(lambda _, how=how, new=new: how(new))
                        sock.close()
                    else:
                        how(new)
                    fresh, line = self.opened(new, within=0.2)
                    self.assertIn(b"since=0 ", line)
                    if state == "reading":
                        with contextlib.suppress(OSError):
                            sock.sendall(chunk(self.update_line(90)))
                    fresh.sendall(HEAD + chunk(self.update_line(3)))
                    self.happens(lambda: self.made.version == 3)
                    gevent.sleep(0.02)
                    self.assertEqual((self.made.version, self.made.platform), (3, new.getsockname()))

    def test_a_new_address_that_is_not_up_yet_is_called_each_second_at_first_then_as_the_decisions_say(self) -> None:
        for window in (9.0, 0.0):
            with (
                self.subTest(window=window),
                mock.patch.object(module, "ADDRESS_CHANGE_GRACE_S", window),
                gevent.socket.socket() as new,
            ):
                new.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_REUSEADDR, 1)
                new.bind(("127.0.0.1", 0))
                failed, begun = len(self.failed), time.monotonic()
                self.made.change_address(new.getsockname())
                self.happens(lambda: len(self.failed) >= failed + (3 if window else 1))  # noqa: B023
                calls = len(self.failed) - failed
                self.assertLessEqual(calls, 1 + (time.monotonic() - begun) / module.STABLE_WATCH_S)
                new.listen()
                if not window:
                    with self.assertRaises(gevent.Timeout):
                        self.opened(new, within=module.STABLE_WATCH_S + 0.2)
                    self.made.reopen_watch()
                _, line = self.opened(new, within=module.STABLE_WATCH_S + 0.4)
                self.assertIn(b"since=0 ", line)


class FirstAttemptsTest(unittest.TestCase):
    def test_while_the_first_answer_is_late_messages_are_kept_and_not_attempt_on_the_saved_list(self) -> None:
        program = Program([Receiver(None), Receiver(reply(200))])
        self.addCleanup(program.close)
        program.configure(known={"rev": 0, "all": True, "targets": [program.target(0), program.target(1)]})
        program.platform.targets = [program.target(0, "draining"), program.target(1)]
        answers = program.platform.finish_request
        for late in (0.5, 5.0):

            def answer(*told: Any, late: float = late) -> None:
                time.sleep(late)
                answers(*told)

            with mock.patch.object(program.platform, "finish_request", answer):
                program.start()
                begun = time.monotonic()
                with program.connect() as sock:
                    for dest in (0, 1):
                        sock.sendall(submit(f"{late}-{dest}", dest=dest))
                        self.assertEqual(line_of(sock), b"+OK\r\n")
                self.assertLess(time.monotonic() - begun, 0.38)
                until(lambda: len(program.receivers[1].calls) == 1 + (late > 1))  # noqa: B023
                self.assertLess(time.monotonic() - begun, 1.3)
                time.sleep(0.3)
                self.assertEqual(bool(program.receivers[0].calls), late > 1)
            program.kill()

    def test_a_call_that_failed_while_the_folder_was_waited_for_is_made_anew_as_soon_as_it_is_held(self) -> None:
        """Of many senders the decisions, which run from then on only, would want it 2 to 4 s later."""
        program = Program([Receiver(None)])
        self.addCleanup(program.close)
        program.configure(
            known={"rev": 0, "all": True, "targets": [program.target(0)]}, settings={**NESTED, "balancers": 200}
        )
        gone = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(gone.close)
        with socket.create_server(("127.0.0.1", program.port), backlog=64) as listener:
            fd = listener.fileno()
            program.start((fd,), RELAY_SOCKET_FD=str(fd), RELAY_MANAGEMENT=f"127.0.0.1:{free_port()}")
            program.configure(discovery=f"127.0.0.1:{gone.getsockname()[1]}")  # connections come up there, no more
            newer = program.spawn((fd,), RELAY_SOCKET_FD=str(fd), RELAY_MANAGEMENT=f"127.0.0.1:{free_port()}")
            self.addCleanup(newer.communicate)
            self.addCleanup(newer.kill)
            gone.settimeout(8)
            first, _ = gone.accept()
            self.addCleanup(first.close)
            time.sleep(module.ANSWER_TIMEOUT_S + 0.5)
            program.signal(signal.SIGTERM)
            assert program.process is not None
            program.process.wait(8)
            held = time.monotonic()
            again, _ = gone.accept()
            again.close()
            self.assertLess(time.monotonic() - held, 1.0)

    def test_the_longest_wait_and_the_net_limits_stay_under_the_clock(self) -> None:
        self.assertLess(module.CONNECT_TIMEOUT_S + LIST_WAIT / SECOND, 5.5)
        self.assertLess(module.ANSWER_TIMEOUT_S + LIST_WAIT / SECOND, 5.5)


if __name__ == "__main__":
    unittest.main()
