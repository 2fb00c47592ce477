"""The interface between the delivery policy and its caller: the dispatcher, the adapter or the laboratory.

The caller creates one `Sender` (see `cedarwick.decisions.policy`) per instance, and then reports events in the order
in which they occurred:

    sender = Sender(settings, seed, now)               settings: a flat mapping of names to values, as text
    sender.apply_endpoint_list(now, update_type, ...)  an update of the endpoint list
    sender.list_poll_failed(now)                       a poll of the endpoint list failed, or its watch ended
    handle = sender.accept(now, id, ...)               a new message
    handle.attempt_ended(now, outcome, attempt, ...)   the outcome of one of its attempts
    handle.withdrawn(now)                              its client no longer waits for an answer
    decisions = sender.decide(now)                     once, after the events of a round

The dispatcher also uses:

    handles = sender.restore(now, unfinished)          once, after a restart
    sender.restore_health(now, receiver, earlier)      at its first listing: what an earlier process knew of a receiver
    sender.restore_departed(now, earlier)              the same, for a receiver that is no longer listed
    sender.take_health_changes()                       what to store for that, before any further attempt is sent
    sender.apply_retry_after(now, receiver, until)     a Retry-After wait that does not come with an outcome
    sender.storable_messages                           set before each round: how many more messages can be stored
    sender.retry_after_waits(now)                      the waits to pass on when another process takes over
    handle.needs_new_connection()                      whether a requested attempt must not reuse a connection
    handle.may_start(now, receiver)                    whether a requested attempt may still be sent; asked before its
                                                       first byte
    handle.send_by()                                   when the last byte of a requested attempt must have been sent
    handle.attempt_not_sent()                          after an outcome: the attempt was held back, so it does not count
    sender.connection_lifetime                         how long an idle connection may be used
    sender.max_poll_backoff                            the longest backoff after a failed poll of the endpoint list
    sender.messages_per_call                           by kind; empty if each call carries one message

Call `decide` for wake-ups too; they need no other call. Times are whole microseconds of the caller's clock. Message and
receiver ids are returned as given.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, Protocol


class Outcome(Enum):
    """How an attempt ended."""

    COMPLETED = "completed"
    ERROR = "error"
    FULL = "full"  # throttled
    TIME_OUT = "time-out"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"  # the attempt had no effect, and says nothing about the receiver's health

    @property
    def never_ran(self) -> bool:
        """Whether the outcome proves that the attempt had no effect."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class EndpointUpdate(Enum):
    """What an update of the endpoint list contains."""

    DELTA = "changes"
    FULL = "whole"
    CACHED = "saved"


class EndpointState(Enum):
    """The state of a receiver in the endpoint list."""

    REMOVED = "gone"
    READY = "ready"
    DRAINING = "draining"


class ListedEndpoint(NamedTuple):
    """One entry of the endpoint list; `rate` is in calls per second, 0 if none is listed."""

    receiver: int
    zone: int
    kind: int
    destination: int
    endpoint_state: EndpointState
    rate: float


class EarlierAttempt(NamedTuple):
    """What is known about an attempt from before a restart."""

    sent_at: int
    zone: int
    outcome: Outcome | None  # None: it was in flight when the process ended


class UnfinishedMessage(NamedTuple):
    """A message without a final answer at a restart; `deadline` is a time in microseconds."""

    message_id: int
    destination: int
    priority_class: int
    deadline: int
    tenant: int
    key: int
    attempts: Sequence[EarlierAttempt]


class HealthState(Enum):
    """Whether and how a receiver is used."""

    IN_SERVICE = "in service"
    SUSPECTED = "suspected"  # a call to its destination failed, and none has completed since
    EJECTED = "ejected"  # it gets only canaries
    RAMPING = "ramping"  # back from an outage: its rate rises from a low start
    AWAY = "away"  # draining or not listed; it may have been restarted when it returns


class HealthReason(Enum):
    """Why the health state of a receiver changed."""

    FAILURES = "its calls failed"
    THROTTLES = "it refused all calls, or asked for a long wait"
    SILENCE = "its calls stayed unanswered for longer than usual"
    OTHERS_EJECTED = "the other receivers of its destination are ejected"
    REPLACEMENT = "it replaces receivers that are all ejected"
    COMPLETION = "it completed a call"
    RELISTED = "it was listed as ready again after an absence"
    FAILURES_IN_RAMP = "a third of its calls failed during the ramp"
    RAMP_OVER = "its ramp is over"
    RATE_CUT = "throttles have cut its rate"
    UNLISTED = "the list calls it draining or no longer names it"
    FORGOTTEN = "it left the list long ago"
    DEPARTED_EJECTED = "all receivers of its destination left the list while they were ejected"
    BEFORE_RESTART = "an earlier process of this sender knew it"


class HealthChange(NamedTuple):
    """A change of a receiver's health; `since` is the assumed start of the outage or the ramp (microseconds)."""

    receiver: int  # 0: the receivers of the destination that have left the list
    destination: int
    state: HealthState
    reason: HealthReason
    since: int
    message: int = 0  # the message whose attempt caused the change; 0: none
    proved_never_ran: bool = False  # the last failure proved that the attempt never ran
    observed_rate: float = 0.0  # calls per second that it has completed for this sender
    cut_rate: float = 0.0  # its current rate after a rate cut, calls per second; 0: no rate cut


class EarlierHealth(NamedTuple):
    """What an earlier process of this sender knew about a receiver's health when the process ended."""

    destination: int
    state: HealthState
    proved_never_ran: bool
    observed_rate: float  # calls per second
    age: int  # microseconds since the outage began
    cut_rate: float = 0.0  # its rate after a rate cut, calls per second; 0: no rate cut
    recorded_age: int = 0  # microseconds since this record was written


@dataclass
class Decisions:
    """The decisions of one round; times are in microseconds.

    The caller carries out nacks and abandoned messages before attempts, and attempts in the given order.
    """

    nacks: list[tuple[int, int]] = field(default_factory=list)  # message, advised Retry-After wait (0: none)
    abandoned: list[int] = field(default_factory=list)
    attempts: list[tuple[int, int, int]] = field(default_factory=list)  # message, receiver, time-out
    released_connections: list[int] = field(default_factory=list)  # receivers whose idle connections to close
    log_lines: list[str] = field(default_factory=list)
    health_changes: list[HealthChange] = field(default_factory=list)  # in order of occurrence
    subscribe: bool = False  # whether to ask for the endpoint list now
    wake_at: int | None = None  # when to call `decide` next if no event occurs before; None: not needed


class MessageHandle(Protocol):
    """An accepted message as the caller sees it; documented in `message_handle.Handle`."""

    def attempt_ended(
        self,
        now: int,
        outcome: Outcome,
        attempt: int,
        receiver: int,
        duration: int,
        retry_after: int,
        last: bool,
        report: Sequence[float],
        reused_connection: bool = False,
    ) -> None:
        """Report the outcome of the attempt in flight; `duration` and `retry_after` are in microseconds."""
        ...

    def withdrawn(self, now: int) -> None:
        """Report that the client no longer waits; an attempt in flight still ends with an outcome."""
        ...

    def may_start(self, now: int, receiver: int) -> bool:
        """Whether a requested attempt may still be sent; asked before its first byte."""
        ...

    def send_by(self) -> int:
        """Return when the last byte of a requested attempt must have been sent (microseconds)."""
        ...

    def attempt_not_sent(self) -> None:
        """Report that the attempt whose outcome was just reported was held back, so that it does not count."""
        ...

    def needs_new_connection(self) -> bool:
        """Whether a requested attempt must not reuse a connection."""
        ...


class DeliverySender(Protocol):
    """The methods and attributes of `policy.Sender` that a caller may use; documented there."""

    connection_lifetime: int
    max_poll_backoff: int
    messages_per_call: list[int]
    storable_messages: int

    def __init__(self, settings: Mapping[str, str], seed: int, now: int) -> None: ...

    def apply_endpoint_list(self, now: int, update_type: EndpointUpdate, listings: Sequence[ListedEndpoint]) -> None:
        """Apply an update of the endpoint list."""
        ...

    def list_poll_failed(self, now: int) -> None:
        """Report that a poll of the endpoint list failed, or that its watch ended."""
        ...

    def accept(
        self,
        now: int,
        message_id: int,
        destination: int,
        priority_class: int,
        deadline: int,
        tenant: int,
        key: int,
    ) -> MessageHandle:
        """Accept a message; `deadline` is a time in microseconds, `key` its order key, 0 if order does not matter."""
        ...

    def restore(self, now: int, unfinished: Sequence[UnfinishedMessage]) -> Sequence[MessageHandle]:
        """Accept the messages that a restart left unfinished, in the given order."""
        ...

    def decide(self, now: int) -> Decisions:
        """Make the decisions of a round, after its events."""
        ...


def float_setting(settings: Mapping[str, str], name: str, default: float = 0.0) -> float:
    """Return a numeric setting, or the default if it is absent or empty; raise `ValueError` if it is not a number."""
    return float(settings.get(name) or default)


def duration_setting(settings: Mapping[str, str], name: str, default_ms: float = 0.0) -> int:
    """Return a duration setting, given in milliseconds, in microseconds."""
    return round(float_setting(settings, name, default_ms) * 1000)


def flag_setting(settings: Mapping[str, str], name: str) -> bool:
    """Whether a setting is `true`; false if it is absent."""
    return settings.get(name) == "true"


def list_setting(settings: Mapping[str, str], name: str) -> list[str]:
    """Return the non-empty parts of a comma-separated setting."""
    return [part for part in settings.get(name, "").split(",") if part]
