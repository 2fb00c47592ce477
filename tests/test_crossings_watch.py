"""The watch of the list where two events cross: silence, spoilt and old news, moves, late answers, many senders."""

import heapq
import unittest
from collections.abc import Callable

from cedarwick.net import directory as module
from cedarwick.policy import SECOND, Sender
from tests.build import NOW, SETTINGS


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
            self.at(now + module.FIRST, sender, unless_closed(self.failed))
            return
        self.busy = max(self.busy, now) + 1 / self.rate
        if self.busy - now > module.FIRST:
            self.at(now + module.FIRST, sender, unless_closed(self.failed))
        late = self.busy - now > 2.0
        self.at(now + 2.0 if late else self.busy, sender, unless_closed(self.failed if late else self.answered))

    def failed(self, sender: int, now: float) -> None:
        made = self.senders[sender]
        made.list_call_failed(NOW + round(now * SECOND))
        self.at((made.subscribe_at - NOW) / SECOND + 1e-6, sender, self.call)

    def answered(self, sender: int, now: float) -> None:
        self.told[sender] = now - self.down


class ManySenders(unittest.TestCase):
    """Calls that fail are spread, and yet made again in time for the clock of 6 s."""

    def test_all_of_a_fleet_hear_of_it_within_the_clock_and_ask_no_more_than_they_need(self) -> None:
        for senders in (2, 17, 40, 200):
            for all_in in (0.5, 4.0, 5.5)[:1 if senders == 2 else 3]:  # seconds in which all can be answered
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
                made.list_call_failed(NOW)
                waits.append((made.subscribe_at - NOW) / SECOND)
            self.assertLessEqual(max(waits), longest + 1e-5)
            self.assertGreater(max(waits) - min(waits), (longest - 2.0) * 0.9)
            self.assertGreater(min(waits), 1.99)  # many that lost it together: not so many that nobody is answered


if __name__ == "__main__":
    unittest.main()
