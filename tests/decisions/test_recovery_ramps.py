"""The sum of the ramp: many senders and one destination that fails for ten seconds and returns cold, in virtual time.

Each sender is the real decisions with a seed and an uneven part of the traffic of its own. Senders that are killed and
started again have what they had stored of receivers' health, and count as ones that have seen the outage if the process
before had. What stands in is the destination, whose budget is the standing page's: it falls when it gets more than
N + 2 x root of N + 2 calls within `rules.fall-ms`, N being what the settings allow it then.
"""

import heapq
import random
import unittest
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from cedarwick.decisions.interface import (
    EarlierAttempt,
    EarlierHealth,
    EndpointState,
    EndpointUpdate,
    HealthChange,
    ListedEndpoint,
    Outcome,
    UnfinishedMessage,
)
from cedarwick.decisions.message_handle import Handle
from cedarwick.decisions.policy import Sender

MS = 1000
SECOND = 1000 * MS
BEGIN = 1_000 * SECOND
CONNECT = 1500 * MS  # for so long a connection may come up
TRIP = 30 * MS  # to the destination and back
SPARE = 1.25  # capacity over the limit
DOWN, FAILS, LASTS = 25 * SECOND, 10 * SECOND, 55 * SECOND  # when it fails, for how long, and the end of arrivals
# How it fails: connections are refused or never come up; no answer; 503; 429 with the wait until its return; 500.
KINDS = ("refused", "unlinked", "hangs", "shut", "told", "errors")
ANSWERED_AT_RETURN = "frozen"  # no answer until it is back; then one to all calls that are still out
ANSWER_SPREAD = 20 * MS  # within which these come


@dataclass(frozen=True)
class Site:
    """What a customer's settings say of one destination and of what is sent there."""

    rate: float  # calls a second that it takes at its limit
    receivers: int
    cold: str
    multiple: str
    fall_ms: str
    ramp_ms: str
    weights: str = "nominal"
    limited: bool = True  # above its rate it refuses, and reports tell how much is left
    priority_classes: tuple[tuple[str, int, int, float], ...] = (
        ("free", 3000, 16_000, 0.7),
        ("guarded", 4000, 20_000, 0.3),
    )

    def settings(self, senders: int) -> dict[str, str]:
        values = {
            "balancers": str(senders),
            "resolution-ms": "5.0",
            "locality": "0",
            "weight-source": self.weights,
            "classes.count": str(len(self.priority_classes)),
            "family-info.kind-apart": "false",
            "family-info.per-call": "1",
            "family-info.max-calls": str(max(2, round(0.9 * self.rate / senders) + 1)),
            "policy-limits.most-tries": "12",
            "policy-limits.max-open": str(max(12, round(10 * self.rate / senders))),
            "report.columns": "x0,x1",
            "rules.turn-gap-ms": "300",
            "rules.cold-share": self.cold,
            "rules.fall-multiple": self.multiple,
            "rules.fall-ms": self.fall_ms,
            "rules.ramp-time-ms": self.ramp_ms,
        }
        for index, (repeat, wanted, limit, _) in enumerate(self.priority_classes):
            values |= {
                f"classes.{index}.repeat": repeat,
                f"classes.{index}.slo-ms": str(wanted),
                f"classes.{index}.deadline-ms": str(limit),
                f"classes.{index}.dedup-window-ms": str(limit),
                f"classes.{index}.worth": "1",
                f"classes.{index}.late-worth": "0.4",
            }
        return values


class Day:
    """One destination, its senders, and what came of them."""

    def __init__(
        self,
        site: Site,
        senders: int,
        kind: str,
        seed: int,
        shift: bool = False,
        restart_at: int | None = None,
        fails: int = FAILS,
    ) -> None:
        """`restart_at`: seven in ten senders are killed then, counted from the return (microseconds)."""
        self.site, self.kind, self.chance = site, kind, random.Random(seed)
        self.settings, self.shift, self.restart_at = site.settings(senders), shift, restart_at
        self.stored: list[dict[int, tuple[int, HealthChange]]] = [{} for _ in range(senders)]  # and when, by receiver
        self.cold, self.multiple = float(site.cold), float(site.multiple)
        self.span, self.ramp = round(float(site.fall_ms) * MS), round(float(site.ramp_ms) * MS)
        self.capacity = site.rate * SPARE
        self.back = BEGIN + DOWN + fails if kind else BEGIN
        self.down = BEGIN + DOWN if kind else BEGIN
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.count = 0
        self.now = BEGIN
        self.listed_rate = site.rate * (self.chance.uniform(0.67, 1.5) if site.weights == "rough" else 1)
        self.senders: list[Sender] = []
        self.wakes = [0] * senders
        self.outage_known = [False] * senders  # whether one has seen the outage
        self.handles: list[dict[int, Handle]] = []
        for sender in range(senders):
            self.senders.append(self.made(seed * 1000 + sender))
            self.handles.append({})
        self.limit_span, self.within = 0, 0
        self.free_at = [BEGIN] * max(2, round(self.capacity * 0.4))
        self.recent: deque[tuple[int, bool]] = (
            deque()
        )  # calls in the span, and whether from one that knew of the outage
        self.fell_at, self.fell_knowing, self.fullest = 0, 0.0, 0.0
        self.offered, self.served, self.in_time = 0, 0, 0
        self.arrivals(0.6 + 0.3 * random.Random(seed * 7).random())

    def made(self, seed: int) -> Sender:
        new = Sender(self.settings, seed, self.now)
        new.apply_endpoint_list(
            self.now,
            EndpointUpdate.CACHED,
            [
                ListedEndpoint(1 + each, 0, 0, 7, EndpointState.READY, self.listed_rate)
                for each in range(self.site.receivers)
            ],
        )
        return new

    def at(self, when: int, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.due, (when, self.count, call))

    # ---- traffic ----

    def arrivals(self, load: float) -> None:
        """Uneven over the senders, one in eight in clumps; their parts may shift as the destination fails."""

        def parts() -> list[float]:
            return [self.chance.lognormvariate(0, 0.9) for _ in self.senders]

        before, now, message = parts(), BEGIN, 0
        after = parts() if self.shift else before
        while (now := now + round(self.chance.expovariate(self.site.rate * load) * SECOND)) < BEGIN + LASTS:
            clump = self.chance.randrange(4, 12) if self.chance.random() < 0.02 else 1
            sender = self.chance.choices(range(len(before)), after if now > self.down else before)[0]
            for _ in range(clump):
                message += 1
                self.at(now, partial(self.arrive, sender, message))

    def arrive(self, sender: int, message: int) -> None:
        priority_class = self.chance.choices(
            range(len(self.site.priority_classes)), [each[3] for each in self.site.priority_classes]
        )[0]
        made, limit = self.senders[sender], self.site.priority_classes[priority_class][2]
        self.offered += 1
        if made.open_messages < made.max_open_messages:
            until = self.now + limit * MS
            self.handles[sender][message] = made.accept(self.now, message, 7, priority_class, until, 0, 0)
            self.round(sender)

    # ---- senders ----

    def round(self, sender: int) -> None:
        made = self.senders[sender]
        self.store(sender, made.take_health_changes())
        decisions = made.decide(self.now)
        self.store(sender, decisions.health_changes)
        for message, receiver, patience in decisions.attempts:
            self.at(
                self.now + TRIP // 2,
                partial(
                    self.call, sender, made, self.handles[sender][message], receiver, self.now, self.now + patience
                ),
            )
        for message in [each for each, _ in decisions.nacks] + decisions.abandoned:
            self.handles[sender].pop(message, None)
        if decisions.wake_at is not None:
            at = max(decisions.wake_at, self.now + 5 * MS)
            if not self.now < self.wakes[sender] <= at:
                self.wakes[sender] = at
                self.at(at, partial(self.wake, sender, at))

    def wake(self, sender: int, at: int) -> None:
        if self.wakes[sender] == at:
            self.wakes[sender] = 0
            self.round(sender)

    def ended(
        self,
        sender: int,
        made: Sender,
        handle: Handle,
        receiver: int,
        sent_at: int,
        outcome: Outcome,
        wait: int = 0,
        report: tuple[float, ...] = (),
    ) -> None:
        if self.senders[sender] is not made:
            return  # that process is gone
        if self.now >= self.down and sent_at < self.back and outcome not in (Outcome.COMPLETED, Outcome.MOOT):
            self.outage_known[sender] = True
        done = outcome is Outcome.COMPLETED
        handle.attempt_ended(self.now, outcome, handle.attempts - 1, receiver, self.now - sent_at, wait, done, report)
        if done:
            self.served += 1
            self.in_time += self.now <= handle.objective_by
        self.round(sender)

    def store(self, sender: int, changes: list[HealthChange]) -> None:
        for change in changes:
            self.stored[sender][change.receiver] = self.now, change

    def restarted(self) -> None:
        """Seven in ten senders are new processes, which hold and know what the old ones had stored."""
        for sender in range(len(self.senders) * 7 // 10):
            old, self.senders[sender] = self.handles[sender], self.made(sender + 77)
            for receiver, (at, change) in self.stored[sender].items():
                earlier = EarlierHealth(
                    change.destination,
                    change.state,
                    change.proved_never_ran,
                    change.observed_rate,
                    self.now - change.since,
                    change.cut_rate,
                    self.now - at,
                )
                self.senders[sender].restore_health(self.now, receiver, earlier)
            made = self.senders[sender]
            unfinished = [self.unfinished(made, message, handle) for message, handle in old.items() if not handle.ended]
            self.handles[sender] = {
                each.message_id: handle
                for each, handle in zip(unfinished, made.restore(self.now, unfinished), strict=True)
            }
            self.wakes[sender] = 0
            self.round(sender)

    @staticmethod
    def unfinished(made: Sender, message: int, handle: Handle) -> UnfinishedMessage:
        """What the journal has of a message; a call that was out as the process ended has no outcome."""
        attempts = [EarlierAttempt(0, 0, Outcome.MOOT)] * (handle.attempts - handle.in_flight)
        attempts += [EarlierAttempt(handle.sent_at, 0, None)] * handle.in_flight
        priority_class = made.priority_classes.index(handle.priority_class)
        return UnfinishedMessage(message, 7, priority_class, handle.deadline, 0, 0, attempts)

    # ---- the destination ----

    def share(self) -> float:
        """Of its capacity, that it has now."""
        since = self.now - self.back
        return 1.0 if not self.kind or since < 0 else self.cold + (1 - self.cold) * min(1.0, since / self.ramp)

    def call(self, sender: int, made: Sender, handle: Handle, receiver: int, sent_at: int, until: int) -> None:
        """A call comes in, or its connection comes up."""
        if not handle.may_start(self.now, receiver):
            return self.ended(sender, made, handle, receiver, sent_at, Outcome.MOOT)
        kind = self.kind if self.down <= self.now < self.back or self.fell_at else ""
        end = partial(self.ended, sender, made, handle, receiver, sent_at)
        if not kind:
            return self.work(sender, end, until)
        if kind == ANSWERED_AT_RETURN and until > self.back and not self.fell_at:
            return self.at(self.back + self.chance.randrange(ANSWER_SPREAD), partial(end, Outcome.COMPLETED))
        if kind in ("hangs", ANSWERED_AT_RETURN):
            return self.at(until, partial(end, Outcome.TIME_OUT))
        if kind == "unlinked":
            return self.at(min(until, self.now + CONNECT), partial(end, Outcome.CONNECT_FAILED))
        outcome = {"refused": Outcome.CONNECT_FAILED, "errors": Outcome.ERROR}.get(kind, Outcome.FULL)
        wait = self.back - self.now if kind == "told" and self.now < self.back else 0
        self.at(self.now + TRIP // 2, partial(end, outcome, wait))

    def work(self, sender: int, end: Callable[..., None], until: int) -> None:
        share = self.share()
        if share < 1:
            self.weigh(self.outage_known[sender], share)
        if self.fell_at:
            return self.at(until, partial(end, Outcome.TIME_OUT))
        over = False
        if self.site.limited:
            if self.now // SECOND != self.limit_span:
                self.limit_span, self.within = self.now // SECOND, 0
            over = self.within >= max(1, self.site.rate * share)
            self.within += not over
        left = max(0.0, 1 - self.within / self.site.rate)
        report = (left, self.site.rate) if self.site.limited else ()
        duration = round(self.chance.expovariate(1 / (0.3 * SECOND)) / share) + 20 * MS
        begin = max(self.now, heapq.heappop(self.free_at))
        full = over or begin - self.now > 800 * MS
        heapq.heappush(self.free_at, begin if full else begin + duration)
        if full:
            return self.at(self.now + TRIP // 2, partial(end, Outcome.FULL, 0, report))
        done = begin + duration + TRIP // 2
        if done > until:
            return self.at(until, partial(end, Outcome.TIME_OUT))
        self.at(done, partial(end, Outcome.COMPLETED, 0, report))

    def weigh(self, knows: bool, share: float) -> None:
        self.recent.append((self.now, knows))
        while self.recent[0][0] <= self.now - self.span:
            self.recent.popleft()
        allowed = self.multiple * share * self.capacity * self.span / SECOND
        part = len(self.recent) / (allowed + 2 * allowed**0.5 + 2)
        self.fullest = max(self.fullest, part)
        if part > 1:
            self.fell_at = self.now
            self.fell_knowing = sum(knows for _, knows in self.recent) / len(self.recent)

    def play(self) -> "Day":
        if self.restart_at is not None:
            self.at(self.back + self.restart_at, self.restarted)
        while self.due and self.now < BEGIN + LASTS + 30 * SECOND:
            self.now, _, call = heapq.heappop(self.due)
            call()
        return self

    @property
    def broken(self) -> bool:
        return bool(self.fell_at) and self.fell_knowing > 2 / 3


# Three customers' settings, of the kinds that are about; the first one's again where no rate is listed or limited.
KIOSK = Site(4, 2, "0.31", "1.5", "2000", "10000")
FERRY = Site(
    9,
    1,
    "0.2",
    "2",
    "3000",
    "9500",
    priority_classes=(("free", 3000, 28_000, 0.78), ("single_shot", 3000, 24_000, 0.22)),
)
DEPOT = Site(
    14,
    3,
    "0.19",
    "2",
    "3000",
    "14000",
    weights="rough",
    limited=False,
    priority_classes=(("free", 1500, 5000, 0.6), ("single_shot", 2000, 28_000, 0.4)),
)
PLAIN = replace(KIOSK, rate=12, weights="off", limited=False)


class SumOfRampsTest(unittest.TestCase):
    def stands(self, site: Site, senders: int, kind: str, *seeds: int) -> None:
        for seed in seeds:
            with self.subTest(senders=senders, kind=kind, seed=seed):
                day = Day(site, senders, kind, seed).play()
                self.assertEqual((day.fell_at, day.broken), (0, False), f"{day.fullest:.2f} of what it bears")
                self.assertGreater(day.served, 0.5 * day.offered)

    def test_thirty_senders_do_not_push_over_what_returns_cold(self) -> None:
        """On three customers' settings. Seeds 14 and 28 fell while rates were seen over 4 s."""
        for site, seeds in ((KIOSK, (14, 28)), (FERRY, (1, 2)), (DEPOT, (1, 2))):
            for kind in KINDS:
                self.stands(site, 30, kind, *seeds)

    def test_a_return_that_is_taken_for_an_earlier_one_does_not_end_the_ramp_early(self) -> None:
        """Nothing but the ramp holds senders back where no rate is listed and nothing is refused."""
        self.stands(PLAIN, 30, "errors", 23, 33)

    def test_calls_that_failed_or_hung_in_an_outage_that_ejected_nobody_or_only_some(self) -> None:
        """Found by the incident's reproduction: a destination that came back got all that senders held which had seen
        calls fail there, without any restart; 28 of 2,520 such plays broke the rule. Cause: a failure within 5 s of a
        completion, or a silence that ended within `rules.fall-ms`, ejects nobody, so no ramp followed. Proof: some of
        these seeds fell before the mend, and none of 2,520 plays after it.
        """
        steep = replace(KIOSK, rate=24, cold="0.15")
        for site, senders, kind, fails, seeds in (
            (steep, 8, ANSWERED_AT_RETURN, 4, range(6)),
            (steep, 16, ANSWERED_AT_RETURN, 4, range(6)),
            (replace(steep, rate=12), 42, "errors", 4, range(6)),
            (PLAIN, 42, "hangs", 4, range(6)),
            (PLAIN, 42, "unlinked", 4, range(6)),
        ):
            for seed in seeds:
                with self.subTest(senders=senders, kind=kind, seed=seed):
                    day = Day(site, senders, kind, seed, fails=fails * SECOND).play()
                    self.assertEqual((day.fell_at, day.broken), (0, False), f"{day.fullest:.2f} of what it bears")

    def test_senders_that_are_killed_during_the_outage_or_the_ramp(self) -> None:
        """Without what is stored of receivers' health 18 such plays of 18 fell (refused connections; a kill 1 s before
        the return, 0.5 s and 2 s after it); none of those without a kill did.
        """
        site = replace(KIOSK, rate=12, cold="0.15")
        for kind in ("refused", "unlinked", "hangs", "shut", "told", "errors"):
            for restart_at in (-3 * SECOND, -SECOND, SECOND // 2, 2 * SECOND):
                with self.subTest(kind=kind, restart_at=restart_at):
                    day = Day(site, 42, kind, 1, restart_at=restart_at).play()
                    self.assertEqual((day.fell_at, day.broken), (0, False), f"{day.fullest:.2f} of what it bears")

    def test_sixteen_senders_that_were_told_one_end_of_a_wait_do_not_come_in_the_same_instant(self) -> None:
        self.stands(KIOSK, 16, "told", 3, 5, 7)
        for senders in (15, 17):
            self.stands(KIOSK, senders, "told", 3)

    def test_few_senders_are_not_spread(self) -> None:
        """What three of them send at once the budget bears; a spread would only cost time."""
        day = Day(KIOSK, 3, "told", 1)
        made = day.senders[0]
        for receiver in made.receivers.values():
            receiver.ejected_since, receiver.rate_control.wait_until = BEGIN, BEGIN + 5 * SECOND
        self.assertLess(made._next_canary(BEGIN, made.receivers[1]), BEGIN + 5 * SECOND)


if __name__ == "__main__":
    unittest.main()
