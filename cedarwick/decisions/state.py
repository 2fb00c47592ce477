"""Data structures of the delivery policy, and its random number generator.

Times and durations are in microseconds, rates in calls per second. All modules of `cedarwick.decisions` use them.
"""

import heapq
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from math import log
from typing import Any

NEVER = 1 << 62  # microseconds; later than any real time
SECOND = 1_000_000  # microseconds, the unit of all times and durations here
ASSUMED_LATENCY = SECOND / 2  # microseconds; used for a receiver without a measured latency


class RandomSource:
    """A linear congruential generator; `randrange` uses only the high bits of its state."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def randrange(self, bound: int) -> int:
        """Return a pseudo-random integer from 0 up to, but not including, `bound`."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return (self.state >> 32) * bound >> 32


@dataclass(slots=True)
class TokenBucket:
    """A token bucket: tokens accrue at a given rate per second, up to a given depth."""

    tokens: float = 1.0
    refilled_at: int = -NEVER  # so that the first refill reaches the full depth

    def refill(self, now: int, rate: float, depth: float) -> int:
        """Add the tokens accrued since the last call; return the microseconds until a whole token is available."""
        self.tokens = min(depth, self.tokens + rate * (now - self.refilled_at) / SECOND)
        self.refilled_at = now
        return 0 if self.tokens >= 1 else 1 + int((1 - self.tokens) * SECOND / rate)

    def take(self) -> bool:
        """Take a token, or what is left of one; return whether a whole token was available."""
        whole = self.tokens >= 1
        self.tokens = max(0.0, self.tokens - 1)
        return whole


def record_recent(times: deque[int], now: int, within: int, least: int = 0) -> None:
    """Append `now` and drop times older than `within` microseconds, but keep at least the newest `least` entries."""
    times.append(now)
    while len(times) > least and times[0] < now - within:
        times.popleft()


class OrderKeyQueues:
    """The queue of messages for each order key, and the times until which keys are paused (no message may be sent)."""

    def __init__(self) -> None:
        self.queues: dict[int, deque[Any]] = {}
        self.paused_until: dict[int, int] = {}
        self.finished_keys: deque[int] = deque()  # keys of ended messages, in the order in which these ended
        self.all_paused_until = 0  # a pause that applies to all keys

    def enqueue(self, key: int, message: Any) -> None:
        """Append a message to the queue of its key."""
        self.queues.setdefault(key, deque()).append(message)

    def remove_ended(self, key: int, message: Any, now: int, pause_until: int) -> list[Any]:
        """Remove an ended message and pause its key until `pause_until`, which may be in the past.

        Returns a list with the next message of the key, or an empty list.
        """
        queue = self.queues[key]
        queue.remove(message)
        self.pause(key, pause_until)
        self.finished_keys.append(key)
        # Keys are seldom reused: delete those whose pause is over, otherwise memory use would grow without bound.
        while self.finished_keys and self.paused_until.get(self.finished_keys[0], 0) <= now:
            key_to_delete = self.finished_keys.popleft()
            if not self.queues.get(key_to_delete, True):
                del self.queues[key_to_delete], self.paused_until[key_to_delete]
        return [queue[0]] if queue else []

    def insert_in_order(self, key: int, recovered: Sequence[Any], before: Callable[[Any, Any], bool]) -> None:
        """Move recovered messages, which are at the end of their key's queue, to their correct positions.

        Each is placed ahead of the messages for which `before` is true, but behind messages with an attempt in flight.
        """
        queue = self.queues[key]
        for _ in recovered:
            queue.pop()
        for message in recovered:
            index = len(queue)
            while index and not queue[index - 1].in_flight and before(message, queue[index - 1]):
                index -= 1
            queue.insert(index, message)

    def pause(self, key: int, until: int) -> None:
        """Pause a key at least until the given time (microseconds)."""
        self.paused_until[key] = max(until, self.paused_until.get(key, 0))

    def ready_at(self, key: int, message: Any) -> int:
        """Return when this message may be sent (microseconds); NEVER while another message of its key precedes it."""
        if self.queues[key][0] is not message:
            return NEVER
        return max(self.all_paused_until, self.paused_until.get(key, 0))


class WakeSchedule:
    """When each destination is due for its next decision; scheduling a destination again replaces its earlier time."""

    def __init__(self) -> None:
        self.scheduled: dict[int, int] = {}
        self.heap: list[tuple[int, int]] = []

    def schedule(self, destination_id: int, at: int) -> None:
        """Schedule the next decision for a destination; NEVER cancels it."""
        if at >= NEVER:
            self.scheduled.pop(destination_id, None)
        elif self.scheduled.get(destination_id) != at:
            self.scheduled[destination_id] = at
            heapq.heappush(self.heap, (at, destination_id))

    def due(self, now: int) -> list[int]:
        """Return the destinations that are due, and remove them from the schedule."""
        due_ids = []
        while self.heap and self.heap[0][0] <= now:
            at, destination_id = heapq.heappop(self.heap)
            if self.scheduled.get(destination_id) == at:
                del self.scheduled[destination_id]
                due_ids.append(destination_id)
        return due_ids

    def earliest(self) -> int:
        """Return a lower bound of the time at which a destination is due; NEVER if nothing is scheduled."""
        return self.heap[0][0] if self.heap else NEVER


@dataclass(slots=True)
class PriorityClass:
    """The settings of one priority class (`classes.N.*`); durations are in microseconds."""

    priority_weight: float
    latency_objective: int
    deadline: int
    late_share: float
    idempotent: bool
    at_most_once: bool
    dedup_window: int  # how long a destination deduplicates messages by their number
    single_zone: bool  # retry only in the zone of the first attempt that may have run
    ordered: bool
    value_half_life: int = 0  # of the value after the latency objective; 0: linear decay

    def delivery_value(self, late: int) -> tuple[float, float]:
        """Return the value of a delivery `late` microseconds after the latency objective, and its loss per second."""
        least, late = self.priority_weight * self.late_share, max(late, 0)
        if not self.value_half_life:
            decay_time = max(SECOND, self.deadline - self.latency_objective)
            lost = (self.priority_weight - least) / decay_time
            return max(least, self.priority_weight - lost * late), lost * SECOND
        left = float(self.priority_weight * 2.0 ** (-late / self.value_half_life))
        return (left, left * log(2) * SECOND / self.value_half_life) if left > least else (least, 0.0)


@dataclass(slots=True)
class RateControl:
    """The rate state of one destination, or of one receiver if its kind has separate rates."""

    rate: float | None = None  # calls per second; None: unlimited
    reference_rate: float = 0.0  # calls per second; each raise is a fixed share of it
    limit: float = 0.0  # listed or reported limit for all senders, calls per second; 0: unknown
    limit_left: float = 0.0  # the unused share of the limit (0 to 1), as last reported
    bucket: TokenBucket = field(default_factory=TokenBucket)
    wait_until: int = 0  # end of the Retry-After wait
    cut_at: int = 0  # when throttling last reduced the rate
    raised_at: int = 0
    tokens_ran_out: bool = False  # an attempt had to wait for a token since the last raise
    has_completed: bool = False  # at least one call has completed
    canary_at: int = 0  # no canary is sent before this time
    failed_since: int = 0  # the first failure at a receiver in service since the last completion; 0: none
    throttled_since: int = 0  # the first throttle since the last completion; 0: none
    completed_at: int = 0  # time of the last completion
    completed_sent_at: int = -1  # send time of the newest completed call
    calls_in_flight: int = 0
    send_times: deque[int] = field(default_factory=deque)
    answer_times: deque[int] = field(default_factory=deque)
    throttle_times: deque[int] = field(default_factory=deque)  # the throttled ones of the answers


@dataclass(slots=True)
class Receiver:
    """All that is known about one receiver; times and durations are in microseconds."""

    id: int
    zone: int
    kind: int
    destination: int
    rate_control: RateControl
    ready: bool = True
    not_ready_since: int = 0  # when it left the list or began draining; 0: it is ready
    rotation_credit: float = 0.0  # its current weight in the weighted round-robin rotation
    mean_latency: float = 0.0  # moving mean, microseconds; 0: not measured
    latency_deviation: float = 0.0  # moving mean deviation, microseconds
    recent_successes: deque[bool] = field(default_factory=deque)  # whether each of its last outcomes was a completion
    failure_score: float = 0.0  # recent failures, decayed exponentially
    failure_score_at: int = 0  # when the failure score was last updated
    throttled_since: int = 0  # the first throttle since its last completion; 0: none
    consecutive_throttles: int = 0  # since its last completion
    observed_rate: float = 0.0  # calls per second that it has completed for this sender
    completion_times: deque[int] = field(default_factory=deque)
    completed_sent_at: int = -1  # send time of its newest completed call
    answered_at: int = 0  # time of its last outcome other than a time-out
    last_attempt_at: int = 0  # time of the newest attempt
    last_attempt_gap: int = 0  # time between the newest attempt and the one before it
    ejected_since: int = 0  # 0: not ejected
    suspected: bool = False  # a call to its rate group failed, and none has completed since
    outage_confirmed: bool = False  # an outcome has shown the outage, not only missing answers
    proved_never_ran: bool = False  # its last failure proved that the attempt never ran
    canary_at: int = 0  # it gets no canary before this time
    canary_in_flight: bool = False
    recovered_at: int = 0  # when it is taken to have recovered from an outage; 0: it is not ramping up
    ramp_until: int = 0  # the ramp does not end before this time
    ramp_bucket: TokenBucket = field(default_factory=TokenBucket)
    unanswered_attempts: dict[int, int] = field(default_factory=dict)  # attempts without an outcome, by send time

    @property
    def in_service(self) -> bool:
        """Whether the receiver is listed as ready and not ejected."""
        return self.ready and not self.ejected_since

    def outage(self) -> "DepartedOutage":
        """Return a record of its outage that outlives the record of the receiver."""
        return DepartedOutage(self.ejected_since, self.proved_never_ran, self.observed_rate)

    def attempt_sent(self, now: int, shares_call: bool) -> None:
        """Record an attempt that is sent now; one that shares another attempt's call takes no tokens."""
        self.unanswered_attempts[now] = self.unanswered_attempts.get(now, 0) + 1
        self.last_attempt_gap, self.last_attempt_at = now - self.last_attempt_at, now
        if not shares_call:
            self.rate_control.calls_in_flight += 1
            self.rate_control.bucket.take()
            self.ramp_bucket.take()

    def attempt_finished(self, sent_at: int) -> int:
        """Remove an attempt that has ended; return how many attempts with this send time have no outcome yet."""
        left = self.unanswered_attempts.get(sent_at, 1) - 1
        self.unanswered_attempts[sent_at] = left
        if left <= 0:
            del self.unanswered_attempts[sent_at]
        return left


@dataclass(slots=True, eq=False)
class Message:
    """One message, from its admission to its final answer; times are in microseconds."""

    id: int
    destination: int
    priority_class: PriorityClass
    deadline: int
    objective_by: int  # when its latency objective ends
    tenant: int
    key: int
    accepted_order: int
    over_share: bool = False
    attempts: int = 0
    cancelled_attempts: int = 0
    in_flight: bool = False
    sent_at: int = 0
    not_before: int = 0  # its next attempt is sent no earlier than this
    ran_at: int = 0  # send time of the first attempt that may have run; 0: none may have
    ran_zone: int = 0  # zone of the first attempt that may have run
    doubtful_at: int = 0  # end of the last attempt whose call may still be running
    ended: bool = False
    rank: tuple[float, int, int] = (0.0, 0, 0)  # sort key, most urgent first
    rank_valid_until: int = 0  # when the rank is computed again
    next_check_at: int = 0  # if no receiver was available: when to check again at the latest
    candidate_filter: tuple[int | None, bool] = (None, False)  # its last key into `Destination.candidates`


@dataclass(slots=True)
class DepartedOutage:
    """The outage of receivers that left the list while all receivers of their destination were ejected."""

    ejected_since: int
    proved_never_ran: bool
    observed_rate: float  # calls per second


@dataclass(slots=True)
class Destination:
    """The ids of a destination's receivers, and the messages held for it."""

    id: int
    rate_control: RateControl
    receiver_ids: list[int] = field(default_factory=list)
    held: list[Any] = field(default_factory=list)
    # Values of the current decision round. `candidates` holds the available receivers with their weights, and the
    # earliest time at which one may become available, by required zone (None: any) and by whether the message is
    # at-most-once.
    ready_receivers: list[Receiver] = field(default_factory=list)
    min_latency: float = 0.0  # microseconds; 0: not measured
    first_wait_end: int = 0  # the earliest end of a Retry-After wait among the ready receivers
    candidates: dict[tuple[int | None, bool], tuple[list[tuple[Receiver, float]], int]] = field(default_factory=dict)
    connect_failed_at: int = 0  # the last connect failure since the last completion; 0: none
    departed_outage: DepartedOutage | None = None  # of receivers whose records were deleted; until the next completion

    def rotate(self, filter_key: tuple[int | None, bool]) -> Receiver | None:
        """Return the next receiver of the weighted round-robin among the candidates; None if there are none."""
        chosen, total = None, 0.0
        for receiver, weight in self.candidates[filter_key][0]:
            receiver.rotation_credit += weight
            total += weight
            if chosen is None or receiver.rotation_credit > chosen.rotation_credit:
                chosen = receiver
        if chosen is not None:
            chosen.rotation_credit -= total
        return chosen
