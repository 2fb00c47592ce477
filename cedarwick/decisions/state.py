"""The records of the decisions, and their random source.

Times and durations are microseconds, rates calls a second. All modules of `cedarwick.decisions` use them.
"""

import heapq
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from math import log
from typing import Any

NEVER = 1 << 62  # later than any time
SECOND = 1_000_000  # microseconds, the unit of every time and duration here
ASSUMED_LATENCY = SECOND / 2  # microseconds; of a receiver that has answered nothing yet


class RandomSource:
    """A linear congruential generator; only its high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def randrange(self, bound: int) -> int:
        """The next draw: a whole number of at least 0 and below the bound."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return (self.state >> 32) * bound >> 32


@dataclass(slots=True)
class TokenBucket:
    """A token bucket: tokens accrue at a rate (a second), up to a depth."""

    tokens: float = 1.0
    refilled_at: int = -NEVER  # never yet: the first filling reaches the depth

    def refill(self, now: int, rate: float, depth: float) -> int:
        """Add the tokens accrued since the last call; returns the microseconds until a whole token is there."""
        self.tokens = min(depth, self.tokens + rate * (now - self.refilled_at) / SECOND)
        self.refilled_at = now
        return 0 if self.tokens >= 1 else 1 + int((1 - self.tokens) * SECOND / rate)

    def take(self) -> bool:
        """Take a token; returns whether a whole one was there."""
        whole = self.tokens >= 1
        self.tokens = max(0.0, self.tokens - 1)
        return whole


def record_recent(times: deque[int], now: int, within: int, least: int = 0) -> None:
    """Append a time and drop those older than `within` microseconds, but keep the newest `least`."""
    times.append(now)
    while len(times) > least and times[0] < now - within:
        times.popleft()


class OrderKeyQueues:
    """The queue of each ordering key, and the time until which a key rests (none of its messages may go)."""

    def __init__(self) -> None:
        self.queues: dict[int, deque[Any]] = {}
        self.paused_until: dict[int, int] = {}
        self.finished_keys: deque[int] = deque()  # keys as their messages ended
        self.all_paused_until = 0  # no key goes before this

    def enqueue(self, key: int, message: Any) -> None:
        """Append a message to the queue of its key."""
        self.queues.setdefault(key, deque()).append(message)

    def remove_ended(self, key: int, message: Any, now: int, rest: int) -> list[Any]:
        """Remove an ended message and let its key rest until `rest`, which may have passed.

        Returns the message whose turn it is next, in a list; an empty list where there is none.
        """
        line = self.queues[key]
        line.remove(message)
        self.pause(key, rest)
        self.finished_keys.append(key)
        # Keys are seldom used again: delete those whose rest is over, or their records would add up.
        while self.finished_keys and self.paused_until.get(self.finished_keys[0], 0) <= now:
            rested = self.finished_keys.popleft()
            if not self.queues.get(rested, True):
                del self.queues[rested], self.paused_until[rested]
        return [line[0]] if line else []

    def insert_in_order(self, key: int, joined: Sequence[Any], before: Callable[[Any, Any], bool]) -> None:
        """Move recovered messages, the last ones of a key's queue, to their places in the order.

        Each goes ahead of all those that `before` says, but stays behind those with an attempt out.
        """
        line = self.queues[key]
        for _ in joined:
            line.pop()
        for message in joined:
            index = len(line)
            while index and not line[index - 1].in_flight and before(message, line[index - 1]):
                index -= 1
            line.insert(index, message)

    def pause(self, key: int, until: int) -> None:
        """Let a key rest until a time (microseconds) at least."""
        self.paused_until[key] = max(until, self.paused_until.get(key, 0))

    def ready_at(self, key: int, message: Any) -> int:
        """When this message may go (microseconds); NEVER while another of its key is before it."""
        if self.queues[key][0] is not message:
            return NEVER
        return max(self.all_paused_until, self.paused_until.get(key, 0))


class WakeSchedule:
    """When each destination is due for its next decision; a new plan for one replaces the old."""

    def __init__(self) -> None:
        self.scheduled: dict[int, int] = {}
        self.heap: list[tuple[int, int]] = []

    def schedule(self, destination_id: int, at: int) -> None:
        """Plan the next look at a destination; NEVER drops its plan."""
        if at >= NEVER:
            self.scheduled.pop(destination_id, None)
        elif self.scheduled.get(destination_id) != at:
            self.scheduled[destination_id] = at
            heapq.heappush(self.heap, (at, destination_id))

    def due(self, now: int) -> list[int]:
        """Destinations whose planned look has come; their plans are dropped."""
        found = []
        while self.heap and self.heap[0][0] <= now:
            at, destination_id = heapq.heappop(self.heap)
            if self.scheduled.get(destination_id) == at:
                del self.scheduled[destination_id]
                found.append(destination_id)
        return found

    def earliest(self) -> int:
        """A time before which no look is due; NEVER where none is planned."""
        return self.heap[0][0] if self.heap else NEVER


@dataclass(slots=True)
class PriorityClass:
    """The settings of one priority class (`classes.N.*`) of messages; durations are microseconds."""

    priority_weight: float
    latency_objective: int
    deadline: int
    late_share: float
    idempotent: bool
    at_most_once: bool
    dedup_window: int  # for numbered messages: how long a destination remembers the number
    single_zone: bool  # repeats only within the zone of the first attempt that may have run
    ordered: bool
    value_half_life: int = 0  # after the latency objective the value falls by half in this time; 0: evenly

    def delivery_value(self, late: int) -> tuple[float, float]:
        """The value of delivery `late` microseconds after the latency objective, and its loss a second."""
        least, late = self.priority_weight * self.late_share, max(late, 0)
        if not self.value_half_life:
            fades = max(SECOND, self.deadline - self.latency_objective)
            lost = (self.priority_weight - least) / fades
            return max(least, self.priority_weight - lost * late), lost * SECOND
        left = float(self.priority_weight * 2.0 ** (-late / self.value_half_life))
        return (left, left * log(2) * SECOND / self.value_half_life) if left > least else (least, 0.0)


@dataclass(slots=True)
class RateControl:
    """The rate state of one destination, or of one receiver where its kind has a rate of its own."""

    rate: float | None = None  # calls a second; None: unbounded
    reference_rate: float = 0.0  # the rate that small steps are measured by
    limit: float = 0.0  # what the destination is said to take from all senders; 0: unknown
    limit_left: float = 0.0  # the share of it that was last reported to be left
    bucket: TokenBucket = field(default_factory=TokenBucket)
    wait_until: int = 0
    cut_at: int = 0
    raised_at: int = 0
    tokens_ran_out: bool = False  # tokens ran out since the last raise
    has_completed: bool = False  # a call has been completed here
    canary_at: int = 0
    failed_since: int = 0  # the first failure at a receiver in service since the last completion; 0: none
    throttled_since: int = 0  # the first throttle since the last completion; 0: none
    completed_at: int = 0  # the last completion, and the send time of the newest call that was completed
    completed_sent_at: int = -1
    calls_in_flight: int = 0
    send_times: deque[int] = field(default_factory=deque)
    answer_times: deque[int] = field(default_factory=deque)
    throttle_times: deque[int] = field(default_factory=deque)  # those answers that were refusals as full


@dataclass(slots=True)
class Receiver:
    """Everything known of one receiver; times and durations are microseconds."""

    id: int
    zone: int
    kind: int
    destination: int
    rate_control: RateControl
    ready: bool = True
    not_ready_since: int = 0  # since when it is not; 0: it is
    rotation_credit: float = 0.0  # its destination_id in the rotation
    mean_latency: float = 0.0  # mean time to answer, and its mean deviation (microseconds); 0: nothing seen
    latency_deviation: float = 0.0
    recent_successes: deque[bool] = field(default_factory=deque)  # its last few outcomes: completed or failed
    failure_score: float = 0.0
    failure_score_at: int = 0
    throttled_since: int = 0  # throttles with no completion between them: since when, how many
    consecutive_throttles: int = 0
    observed_rate: float = 0.0  # calls a second it was seen to complete for this sender
    completion_times: deque[int] = field(default_factory=deque)
    completed_sent_at: int = -1  # send time of the newest call that was completed
    answered_at: int = 0
    last_attempt_at: int = 0  # the newest attempt, and how long after the one before it
    last_attempt_gap: int = 0
    ejected_since: int = 0  # 0: in service
    suspected: bool = False  # it or a sibling failed, and no receiver of its rate_control has completed a call since
    outage_confirmed: bool = False  # the outage showed in an outcome, not in silence alone
    proved_never_ran: bool = False  # its last failure proved that nothing ran
    canary_at: int = 0
    canary_in_flight: bool = False
    recovered_at: int = 0  # when it returned from an outage; 0: not within its ramp
    ramp_until: int = 0  # its ramp does not end before this
    ramp_bucket: TokenBucket = field(default_factory=TokenBucket)
    unanswered_attempts: dict[int, int] = field(default_factory=dict)  # send time: attempts without an outcome

    @property
    def in_service(self) -> bool:
        """Whether it is listed as ready and not ejected."""
        return self.ready and not self.ejected_since

    def outage(self) -> "DepartedOutage":
        """Its outage, for a record that outlives this one."""
        return DepartedOutage(self.ejected_since, self.proved_never_ran, self.observed_rate)

    def attempt_sent(self, now: int, shares_call: bool) -> None:
        """Record an attempt that goes out now; one that shares_call a call takes no tokens."""
        self.unanswered_attempts[now] = self.unanswered_attempts.get(now, 0) + 1
        self.last_attempt_gap, self.last_attempt_at = now - self.last_attempt_at, now
        if not shares_call:
            self.rate_control.calls_in_flight += 1
            self.rate_control.bucket.take()
            self.ramp_bucket.take()

    def attempt_finished(self, sent_at: int) -> int:
        """How many attempts of the same time are still without an outcome."""
        left = self.unanswered_attempts.get(sent_at, 1) - 1
        self.unanswered_attempts[sent_at] = left
        if left <= 0:
            del self.unanswered_attempts[sent_at]
        return left


@dataclass(slots=True, eq=False)
class Message:
    """One message, from its acceptance to its final answer; times are microseconds."""

    id: int
    destination: int
    priority_class: PriorityClass
    deadline: int
    objective_by: int
    tenant: int
    key: int
    accepted_order: int
    over_share: bool = False
    attempts: int = 0
    cancelled_attempts: int = 0
    in_flight: bool = False
    sent_at: int = 0
    not_before: int = 0  # not before this
    ran_at: int = 0  # send time of the first attempt that may have run; 0: none has
    ran_zone: int = 0
    doubtful_at: int = 0  # when an attempt ended that may still be running
    ended: bool = False
    rank: tuple[float, int, int] = (0.0, 0, 0)  # sorts the most urgent first, and until when it holds
    rank_valid_until: int = 0
    next_check_at: int = 0  # where it found no room: its next look even if there is none, and what it asked for
    candidate_filter: tuple[int | None, bool] = (None, False)


@dataclass(slots=True)
class DepartedOutage:
    """The outage of receivers that left the list while all of their destination were ejected."""

    ejected_since: int
    proved_never_ran: bool
    observed_rate: float  # calls a second


@dataclass(slots=True)
class Destination:
    """The receivers of a destination by id and the messages held for it."""

    id: int
    rate_control: RateControl
    receiver_ids: list[int] = field(default_factory=list)
    held: list[Any] = field(default_factory=list)
    # Of the round under way: who may be sent to, the shortest time to answer, the first end of a wait, and
    # who has room or when one may have, by the zone asked for and by whether they go at most once.
    ready_receivers: list[Receiver] = field(default_factory=list)
    min_latency: float = 0.0
    first_wait_end: int = 0
    candidates: dict[tuple[int | None, bool], tuple[list[tuple[Receiver, float]], int]] = field(default_factory=dict)
    connect_failed_at: int = 0  # when a connection failed, until the next completion
    departed_outage: DepartedOutage | None = None  # of receivers whose records are gone; until the next completion

    def rotate(self, filter_key: tuple[int | None, bool]) -> Receiver | None:
        """One step of a weighted rotation among those with room; None where nobody has any."""
        chosen, total = None, 0.0
        for receiver, weight in self.candidates[filter_key][0]:
            receiver.rotation_credit += weight
            total += weight
            if chosen is None or receiver.rotation_credit > chosen.rotation_credit:
                chosen = receiver
        if chosen is not None:
            chosen.rotation_credit -= total
        return chosen
