"""Many senders and one destination that fails for some seconds and must warm up after its recovery, in virtual time.

Each sender is the real delivery policy with its own seed and an uneven share of the traffic. Senders that are killed
and restarted get the receivers' health that they had stored, and count as having seen the outage if the process before
them had. The destination is simulated: it fails again if it gets more than N + 2 * sqrt(N) + 2 calls within
`rules.fall-ms`, where N is the number of calls that the settings allow at that time.
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
START = 1_000 * SECOND
CONNECT_TIME = 1500 * MS  # the connect time-out
ROUND_TRIP = 30 * MS
CAPACITY_FACTOR = 1.25  # the capacity of the destination as a multiple of its rate limit
# When the destination fails, how long it stays out by default, and when arrivals end; from `START`.
FAILS_AFTER, OUTAGE_LENGTH, ARRIVALS_END = 25 * SECOND, 10 * SECOND, 55 * SECOND
# Connections are refused or time out; calls get no answer, 503, 429 with a wait until the recovery, or 500.
FAILURE_MODES = ("refused", "connect time-out", "hangs", "throttled", "retry-after", "errors")
ANSWERED_AT_RECOVERY = "answered at recovery"  # all calls still in flight are answered when the destination recovers
ANSWER_SPREAD = 20 * MS  # these answers arrive within this time


@dataclass(frozen=True)
class CustomerSettings:
    """A customer's settings for one destination and its traffic."""

    rate: float  # the rate limit of the destination, calls per second
    receivers: int
    warm_up_share: str
    fall_multiple: str
    fall_ms: str
    ramp_ms: str
    weight_source: str = "nominal"
    rate_limited: bool = True  # calls above the rate are throttled, and reports say how much is left
    priority_classes: tuple[tuple[str, int, int, float], ...] = (
        ("free", 3000, 16_000, 0.7),
        ("guarded", 4000, 20_000, 0.3),
    )

    def settings(self, senders: int) -> dict[str, str]:
        values = {
            "balancers": str(senders),
            "resolution-ms": "5.0",
            "locality": "0",
            "weight-source": self.weight_source,
            "classes.count": str(len(self.priority_classes)),
            "family-info.kind-apart": "false",
            "family-info.per-call": "1",
            "family-info.max-calls": str(max(2, round(0.9 * self.rate / senders) + 1)),
            "policy-limits.most-tries": "12",
            "policy-limits.max-open": str(max(12, round(10 * self.rate / senders))),
            "report.columns": "x0,x1",
            "rules.turn-gap-ms": "300",
            "rules.cold-share": self.warm_up_share,
            "rules.fall-multiple": self.fall_multiple,
            "rules.fall-ms": self.fall_ms,
            "rules.ramp-time-ms": self.ramp_ms,
        }
        for index, (repeat, objective_ms, deadline_ms, _) in enumerate(self.priority_classes):
            values |= {
                f"classes.{index}.repeat": repeat,
                f"classes.{index}.slo-ms": str(objective_ms),
                f"classes.{index}.deadline-ms": str(deadline_ms),
                f"classes.{index}.dedup-window-ms": str(deadline_ms),
                f"classes.{index}.worth": "1",
                f"classes.{index}.late-worth": "0.4",
            }
        return values


class OutageSimulation:
    """One destination, its senders, and counts of what happened."""

    def __init__(
        self,
        customer: CustomerSettings,
        senders: int,
        failure_mode: str,
        seed: int,
        load_shifts: bool = False,
        restart_at: int | None = None,
        outage_length: int = OUTAGE_LENGTH,
    ) -> None:
        """`restart_at`: when 70% of the senders are killed and restarted, in microseconds from the recovery."""
        self.customer, self.failure_mode, self.rng = customer, failure_mode, random.Random(seed)
        self.settings, self.load_shifts, self.restart_at = customer.settings(senders), load_shifts, restart_at
        # For each sender, by receiver: when the last health change was stored, and the change.
        self.stored_health: list[dict[int, tuple[int, HealthChange]]] = [{} for _ in range(senders)]
        self.warm_up_share, self.fall_multiple = float(customer.warm_up_share), float(customer.fall_multiple)
        self.overload_window, self.ramp_time = round(float(customer.fall_ms) * MS), round(float(customer.ramp_ms) * MS)
        self.capacity = customer.rate * CAPACITY_FACTOR
        self.recovers_at = START + FAILS_AFTER + outage_length if failure_mode else START
        self.fails_at = START + FAILS_AFTER if failure_mode else START
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.event_count = 0
        self.now = START
        self.listed_rate = customer.rate * (self.rng.uniform(0.67, 1.5) if customer.weight_source == "rough" else 1)
        self.senders: list[Sender] = []
        self.wake_times = [0] * senders
        self.outage_known = [False] * senders  # by sender: whether it has seen a call fail in the outage
        self.handles: list[dict[int, Handle]] = []
        for sender in range(senders):
            self.senders.append(self.new_sender(seed * 1000 + sender))
            self.handles.append({})
        self.limit_second, self.calls_in_second = 0, 0
        self.workers_free_at = [START] * max(2, round(self.capacity * 0.4))
        # Calls within the overload window: when, and whether the sender knew of the outage.
        self.recent_calls: deque[tuple[int, bool]] = deque()
        self.overloaded_at, self.informed_share, self.peak_load = 0, 0.0, 0.0
        self.offered, self.served, self.in_time = 0, 0, 0
        self.schedule_arrivals(0.6 + 0.3 * random.Random(seed * 7).random())

    def new_sender(self, seed: int) -> Sender:
        new = Sender(self.settings, seed, self.now)
        new.apply_endpoint_list(
            self.now,
            EndpointUpdate.CACHED,
            [
                ListedEndpoint(1 + each, 0, 0, 7, EndpointState.READY, self.listed_rate)
                for each in range(self.customer.receivers)
            ],
        )
        return new

    def schedule(self, when: int, call: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (when, self.event_count, call))

    # ---- traffic ----

    def schedule_arrivals(self, load: float) -> None:
        """Schedule arrivals, unevenly over the senders, one in eight in bursts.

        With `load_shifts` the shares of the senders change when the destination fails.
        """

        def shares() -> list[float]:
            return [self.rng.lognormvariate(0, 0.9) for _ in self.senders]

        before, now, message = shares(), START, 0
        after = shares() if self.load_shifts else before
        while (now := now + round(self.rng.expovariate(self.customer.rate * load) * SECOND)) < START + ARRIVALS_END:
            burst = self.rng.randrange(4, 12) if self.rng.random() < 0.02 else 1
            sender = self.rng.choices(range(len(before)), after if now > self.fails_at else before)[0]
            for _ in range(burst):
                message += 1
                self.schedule(now, partial(self.accept_message, sender, message))

    def accept_message(self, sender: int, message: int) -> None:
        priority_class = self.rng.choices(
            range(len(self.customer.priority_classes)), [each[3] for each in self.customer.priority_classes]
        )[0]
        sender_policy, deadline_ms = self.senders[sender], self.customer.priority_classes[priority_class][2]
        self.offered += 1
        if sender_policy.open_messages < sender_policy.max_open_messages:
            deadline = self.now + deadline_ms * MS
            self.handles[sender][message] = sender_policy.accept(self.now, message, 7, priority_class, deadline, 0, 0)
            self.run_round(sender)

    # ---- senders ----

    def run_round(self, sender: int) -> None:
        sender_policy = self.senders[sender]
        self.store_health(sender, sender_policy.take_health_changes())
        decisions = sender_policy.decide(self.now)
        self.store_health(sender, decisions.health_changes)
        for message, receiver, time_out in decisions.attempts:
            self.schedule(
                self.now + ROUND_TRIP // 2,
                partial(
                    self.receive_call,
                    sender,
                    sender_policy,
                    self.handles[sender][message],
                    receiver,
                    self.now,
                    self.now + time_out,
                ),
            )
        for message in [each for each, _ in decisions.nacks] + decisions.abandoned:
            self.handles[sender].pop(message, None)
        if decisions.wake_at is not None:
            at = max(decisions.wake_at, self.now + 5 * MS)
            if not self.now < self.wake_times[sender] <= at:
                self.wake_times[sender] = at
                self.schedule(at, partial(self.run_wake_up, sender, at))

    def run_wake_up(self, sender: int, at: int) -> None:
        if self.wake_times[sender] == at:
            self.wake_times[sender] = 0
            self.run_round(sender)

    def attempt_ended_at_sender(
        self,
        sender: int,
        sender_policy: Sender,
        handle: Handle,
        receiver: int,
        sent_at: int,
        outcome: Outcome,
        wait: int = 0,
        report: tuple[float, ...] = (),
    ) -> None:
        if self.senders[sender] is not sender_policy:
            return  # the process has been restarted
        if (
            self.now >= self.fails_at
            and sent_at < self.recovers_at
            and outcome not in (Outcome.COMPLETED, Outcome.MOOT)
        ):
            self.outage_known[sender] = True
        done = outcome is Outcome.COMPLETED
        handle.attempt_ended(self.now, outcome, handle.attempts - 1, receiver, self.now - sent_at, wait, done, report)
        if done:
            self.served += 1
            self.in_time += self.now <= handle.objective_by
        self.run_round(sender)

    def store_health(self, sender: int, changes: list[HealthChange]) -> None:
        for change in changes:
            self.stored_health[sender][change.receiver] = self.now, change

    def restart_senders(self) -> None:
        """Replace 70% of the senders by new processes, which get the messages and health that the old ones stored."""
        for sender in range(len(self.senders) * 7 // 10):
            old, self.senders[sender] = self.handles[sender], self.new_sender(sender + 77)
            for receiver, (at, change) in self.stored_health[sender].items():
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
            sender_policy = self.senders[sender]
            unfinished = [
                self.unfinished_message(sender_policy, message, handle)
                for message, handle in old.items()
                if not handle.ended
            ]
            self.handles[sender] = {
                each.message_id: handle
                for each, handle in zip(unfinished, sender_policy.restore(self.now, unfinished), strict=True)
            }
            self.wake_times[sender] = 0
            self.run_round(sender)

    @staticmethod
    def unfinished_message(sender_policy: Sender, message: int, handle: Handle) -> UnfinishedMessage:
        """Return the stored state of a message; an attempt that was in flight when the process ended has no outcome."""
        attempts = [EarlierAttempt(0, 0, Outcome.MOOT)] * (handle.attempts - handle.in_flight)
        attempts += [EarlierAttempt(handle.sent_at, 0, None)] * handle.in_flight
        priority_class = sender_policy.priority_classes.index(handle.priority_class)
        return UnfinishedMessage(message, 7, priority_class, handle.deadline, 0, 0, attempts)

    # ---- the destination ----

    def capacity_share(self) -> float:
        """Return the share of its capacity that the destination has now."""
        since = self.now - self.recovers_at
        return (
            1.0
            if not self.failure_mode or since < 0
            else self.warm_up_share + (1 - self.warm_up_share) * min(1.0, since / self.ramp_time)
        )

    def receive_call(
        self, sender: int, sender_policy: Sender, handle: Handle, receiver: int, sent_at: int, until: int
    ) -> None:
        """Handle a call, or the opening of its connection, at the destination."""
        if not handle.may_start(self.now, receiver):
            return self.attempt_ended_at_sender(sender, sender_policy, handle, receiver, sent_at, Outcome.MOOT)
        failure_mode = self.failure_mode if self.fails_at <= self.now < self.recovers_at or self.overloaded_at else ""
        end = partial(self.attempt_ended_at_sender, sender, sender_policy, handle, receiver, sent_at)
        if not failure_mode:
            return self.process_call(sender, end, until)
        if failure_mode == ANSWERED_AT_RECOVERY and until > self.recovers_at and not self.overloaded_at:
            return self.schedule(self.recovers_at + self.rng.randrange(ANSWER_SPREAD), partial(end, Outcome.COMPLETED))
        if failure_mode in ("hangs", ANSWERED_AT_RECOVERY):
            return self.schedule(until, partial(end, Outcome.TIME_OUT))
        if failure_mode == "connect time-out":
            return self.schedule(min(until, self.now + CONNECT_TIME), partial(end, Outcome.CONNECT_FAILED))
        outcome = {"refused": Outcome.CONNECT_FAILED, "errors": Outcome.ERROR}.get(failure_mode, Outcome.FULL)
        wait = self.recovers_at - self.now if failure_mode == "retry-after" and self.now < self.recovers_at else 0
        self.schedule(self.now + ROUND_TRIP // 2, partial(end, outcome, wait))

    def process_call(self, sender: int, end: Callable[..., None], until: int) -> None:
        share = self.capacity_share()
        if share < 1:
            self.record_load(self.outage_known[sender], share)
        if self.overloaded_at:
            return self.schedule(until, partial(end, Outcome.TIME_OUT))
        over_limit = False
        if self.customer.rate_limited:
            if self.now // SECOND != self.limit_second:
                self.limit_second, self.calls_in_second = self.now // SECOND, 0
            over_limit = self.calls_in_second >= max(1, self.customer.rate * share)
            self.calls_in_second += not over_limit
        limit_left = max(0.0, 1 - self.calls_in_second / self.customer.rate)
        report = (limit_left, self.customer.rate) if self.customer.rate_limited else ()
        duration = round(self.rng.expovariate(1 / (0.3 * SECOND)) / share) + 20 * MS
        begin = max(self.now, heapq.heappop(self.workers_free_at))
        full = over_limit or begin - self.now > 800 * MS
        heapq.heappush(self.workers_free_at, begin if full else begin + duration)
        if full:
            return self.schedule(self.now + ROUND_TRIP // 2, partial(end, Outcome.FULL, 0, report))
        done = begin + duration + ROUND_TRIP // 2
        if done > until:
            return self.schedule(until, partial(end, Outcome.TIME_OUT))
        self.schedule(done, partial(end, Outcome.COMPLETED, 0, report))

    def record_load(self, knew_outage: bool, share: float) -> None:
        self.recent_calls.append((self.now, knew_outage))
        while self.recent_calls[0][0] <= self.now - self.overload_window:
            self.recent_calls.popleft()
        allowed = self.fall_multiple * share * self.capacity * self.overload_window / SECOND
        load = len(self.recent_calls) / (allowed + 2 * allowed**0.5 + 2)
        self.peak_load = max(self.peak_load, load)
        if load > 1:
            self.overloaded_at = self.now
            self.informed_share = sum(knew_outage for _, knew_outage in self.recent_calls) / len(self.recent_calls)

    def run(self) -> "OutageSimulation":
        if self.restart_at is not None:
            self.schedule(self.recovers_at + self.restart_at, self.restart_senders)
        while self.events and self.now < START + ARRIVALS_END + 30 * SECOND:
            self.now, _, call = heapq.heappop(self.events)
            call()
        return self

    @property
    def rule_broken(self) -> bool:
        return bool(self.overloaded_at) and self.informed_share > 2 / 3


# The settings of three customers, and those of the first one without a listed rate and without a rate limit.
LOW_RATE = CustomerSettings(4, 2, "0.31", "1.5", "2000", "10000")
ONE_RECEIVER = CustomerSettings(
    9,
    1,
    "0.2",
    "2",
    "3000",
    "9500",
    priority_classes=(("free", 3000, 28_000, 0.78), ("single_shot", 3000, 24_000, 0.22)),
)
INACCURATE_RATE = CustomerSettings(
    14,
    3,
    "0.19",
    "2",
    "3000",
    "14000",
    weight_source="rough",
    rate_limited=False,
    priority_classes=(("free", 1500, 5000, 0.6), ("single_shot", 2000, 28_000, 0.4)),
)
UNLIMITED = replace(LOW_RATE, rate=12, weight_source="off", rate_limited=False)


class CombinedRampsTest(unittest.TestCase):
    def assert_withstands(self, customer: CustomerSettings, senders: int, failure_mode: str, *seeds: int) -> None:
        for seed in seeds:
            with self.subTest(senders=senders, failure_mode=failure_mode, seed=seed):
                simulation = OutageSimulation(customer, senders, failure_mode, seed).run()
                self.assertEqual(
                    (simulation.overloaded_at, simulation.rule_broken),
                    (0, False),
                    f"{simulation.peak_load:.2f} of the load it can handle",
                )
                self.assertGreater(simulation.served, 0.5 * simulation.offered)

    def test_thirty_senders_do_not_overload_a_recovering_destination(self) -> None:
        """Seeds 14 and 28 overloaded the destination while the window of the observed rate was 4 s."""
        for customer, seeds in ((LOW_RATE, (14, 28)), (ONE_RECEIVER, (1, 2)), (INACCURATE_RATE, (1, 2))):
            for failure_mode in FAILURE_MODES:
                self.assert_withstands(customer, 30, failure_mode, *seeds)

    def test_a_recovery_time_that_is_estimated_too_early_does_not_end_the_ramp_early(self) -> None:
        """Without listed rates and throttles only the ramp limits the senders."""
        self.assert_withstands(UNLIMITED, 30, "errors", 23, 33)

    def test_ramp_after_an_outage_that_ejected_no_or_only_some_receivers(self) -> None:
        """Guards against full traffic to a recovering destination from senders that had seen calls fail or hang there.

        A failure within 5 s of a completion, or a silence that ends within `rules.fall-ms`, ejects no receiver, so no
        ramp followed, even without a restart. Before the fix 28 of 2,520 drawn outages broke the rule, some of these
        seeds among them; after it none of 2,520 did.
        """
        low_warm_up_share = replace(LOW_RATE, rate=24, warm_up_share="0.15")
        for customer, senders, failure_mode, outage_length, seeds in (
            (low_warm_up_share, 8, ANSWERED_AT_RECOVERY, 4, range(6)),
            (low_warm_up_share, 16, ANSWERED_AT_RECOVERY, 4, range(6)),
            (replace(low_warm_up_share, rate=12), 42, "errors", 4, range(6)),
            (UNLIMITED, 42, "hangs", 4, range(6)),
            (UNLIMITED, 42, "connect time-out", 4, range(6)),
        ):
            for seed in seeds:
                with self.subTest(senders=senders, failure_mode=failure_mode, seed=seed):
                    simulation = OutageSimulation(
                        customer, senders, failure_mode, seed, outage_length=outage_length * SECOND
                    ).run()
                    self.assertEqual(
                        (simulation.overloaded_at, simulation.rule_broken),
                        (0, False),
                        f"{simulation.peak_load:.2f} of the load it can handle",
                    )

    def test_senders_that_are_killed_during_the_outage_or_the_ramp(self) -> None:
        """Guards against restarted senders that forget an outage and send all their messages at once.

        Without stored receiver health 18 of 18 such runs overloaded the destination (refused connections; killed 1 s
        before, and 0.5 s and 2 s after the recovery). None without a kill did.
        """
        customer = replace(LOW_RATE, rate=12, warm_up_share="0.15")
        for failure_mode in ("refused", "connect time-out", "hangs", "throttled", "retry-after", "errors"):
            for restart_at in (-3 * SECOND, -SECOND, SECOND // 2, 2 * SECOND):
                with self.subTest(failure_mode=failure_mode, restart_at=restart_at):
                    simulation = OutageSimulation(customer, 42, failure_mode, 1, restart_at=restart_at).run()
                    self.assertEqual(
                        (simulation.overloaded_at, simulation.rule_broken),
                        (0, False),
                        f"{simulation.peak_load:.2f} of the load it can handle",
                    )

    def test_sixteen_senders_with_the_same_retry_after_wait_do_not_return_at_the_same_time(self) -> None:
        self.assert_withstands(LOW_RATE, 16, "retry-after", 3, 5, 7)
        for senders in (15, 17):
            self.assert_withstands(LOW_RATE, senders, "retry-after", 3)

    def test_the_return_of_few_senders_is_not_spread(self) -> None:
        """The destination can handle the calls of three senders at once; spreading them would only cost time."""
        simulation = OutageSimulation(LOW_RATE, 3, "retry-after", 1)
        sender_policy = simulation.senders[0]
        for receiver in sender_policy.receivers.values():
            receiver.ejected_since, receiver.rate_control.wait_until = START, START + 5 * SECOND
        self.assertLess(sender_policy._next_canary(START, sender_policy.receivers[1]), START + 5 * SECOND)


if __name__ == "__main__":
    unittest.main()
