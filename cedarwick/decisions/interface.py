"""The interface between a protocol in front (sockets or the laboratory) and the decisions behind it.

A protocol makes one `Sender` (see `cedarwick.decisions.policy`) an instance and then, in the order things happened:

    sender = Sender(settings, seed, now)          settings: a plain map of names to values, as text
    sender.apply_endpoint_list(now, change, listings)          an update of the list of receivers
    sender.list_poll_failed(now)                  a list call failed or the subscription broke
    handle = sender.accept(now, id, ...)          a new message
    handle.attempt_ended(now, outcome, attempt, ...)    an outcome of one of its attempts
    handle.withdrawn(now)                         its client has given it up
    decisions = sender.decide(now)                 once, after the events of a round

A protocol on sockets uses besides:

    handles = sender.restore(now, unfinished)     once, at the start after a restart
    sender.restore_health(now, receiver, earlier)   at its first listing: what an earlier process knew of a receiver
    sender.restore_departed(now, earlier)         the same of a receiver that is no longer listed
    sender.take_health_changes()                  what is to be stored for that, before a further attempt goes
    sender.apply_retry_after(now, receiver, until)   a Retry-After wait, apart from an outcome
    sender.storable_messages                                   set before a round: how many more messages can be stored
    sender.retry_after_waits(now)                 the waits that a replaced process hands to its successor
    handle.needs_new_connection()                 whether an ordered attempt may not reuse a connection
    handle.may_start(now, receiver)               whether an ordered attempt may still go, before its first byte
    handle.send_by()                              when the last byte of an ordered attempt must have gone
    handle.attempt_not_sent()                     after an outcome: that attempt was held back, and does not count
    sender.connection_lifetime                    how long an idle connection is used
    sender.max_poll_backoff                       the longest wait after a call for the list that failed
    sender.messages_per_call                               messages a call by kind; cleared where a call carries one

`decide` also serves a wake-up: waking needs no call of its own. Times are whole microseconds of the
protocol's clock. Message and receiver ids are returned as they were given.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, Protocol


class Outcome(Enum):
    """How an attempt ended."""

    COMPLETED = "completed"
    ERROR = "error"
    FULL = "full"
    TIME_OUT = "time-out"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"

    @property
    def never_ran(self) -> bool:
        """Whether it proves that the attempt had no effect."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class EndpointUpdate(Enum):
    """What an update of the list holds."""

    DELTA = "changes"
    FULL = "whole"
    CACHED = "saved"


class EndpointState(Enum):
    """How the list marks a receiver."""

    REMOVED = "gone"
    READY = "ready"
    DRAINING = "draining"


class ListedEndpoint(NamedTuple):
    """One line of the list of receivers; `rate` is in calls a second, 0 where none is listed."""

    receiver: int
    zone: int
    kind: int
    destination: int
    endpoint_state: EndpointState
    rate: float


class EarlierAttempt(NamedTuple):
    """What is known of an attempt from before a restart."""

    sent_at: int
    zone: int
    outcome: Outcome | None  # None: it had no outcome yet when the process ended


class UnfinishedMessage(NamedTuple):
    """A message left unfinished by a restart; `deadline` is a time in microseconds."""

    message_id: int
    destination: int
    priority_class: int
    deadline: int
    tenant: int
    key: int
    attempts: Sequence[EarlierAttempt]


class HealthState(Enum):
    """Whether the decisions use a receiver."""

    IN_SERVICE = "in service"
    SUSPECTED = "suspected"  # a call failed, and none has been completed at its destination since
    EJECTED = "ejected"  # only canaries go to it
    RAMPING = "ramping"  # back from an outage: its rate rises from little
    AWAY = "away"  # drained or not listed: it may have been restarted when it returns


class HealthReason(Enum):
    """What changed the state of a receiver's health."""

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
    """A change of a receiver's health; `since` is when the outage or the ramp is taken to have begun (microseconds)."""

    receiver: int  # 0: those of the destination that have left the list
    destination: int
    state: HealthState
    reason: HealthReason
    since: int
    message: int = 0  # whose attempt showed it; 0: none did
    proved_never_ran: bool = False  # the last failure proved that nothing ran
    observed_rate: float = 0.0  # calls a second that it was seen to complete for this sender
    cut_rate: float = 0.0  # calls a second that its rate has come to since throttles cut it; 0: they have not


class EarlierHealth(NamedTuple):
    """What an earlier process of this sender knew of a receiver's health as it ended."""

    destination: int
    state: HealthState
    proved_never_ran: bool
    observed_rate: float  # calls a second
    age: int  # microseconds since the outage began
    cut_rate: float = 0.0  # calls a second that its rate had come to since throttles cut it; 0: they had not
    recorded_age: int = 0  # microseconds since all this was recorded


@dataclass
class Decisions:
    """What one round decided; times are microseconds.

    The caller carries out nacks and abandoned messages before attempts, and attempts in their order.
    """

    nacks: list[tuple[int, int]] = field(default_factory=list)  # message, advised wait (0: none)
    abandoned: list[int] = field(default_factory=list)
    attempts: list[tuple[int, int, int]] = field(default_factory=list)  # message, receiver, time-out
    released_connections: list[int] = field(default_factory=list)  # receivers whose idle connections are to be closed
    log_lines: list[str] = field(default_factory=list)
    health_changes: list[HealthChange] = field(default_factory=list)  # in their order
    subscribe: bool = False
    wake_at: int | None = None  # the next time at which `decide` should be called without an event


class MessageHandle(Protocol):
    """An accepted message, as the protocol in front sees it; `message_handle.Handle` documents the methods."""

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
        """Report the outcome of the running attempt; `duration` and `retry_after` are microseconds."""
        ...

    def withdrawn(self, now: int) -> None:
        """The client has given the message up; a running attempt still ends with an outcome."""
        ...

    def may_start(self, now: int, receiver: int) -> bool:
        """Whether an ordered attempt may still go, asked before its first byte."""
        ...

    def send_by(self) -> int:
        """When the last byte of an ordered attempt must have been sent (microseconds)."""
        ...

    def attempt_not_sent(self) -> None:
        """The attempt whose outcome was just reported was held back: it does not count."""
        ...

    def needs_new_connection(self) -> bool:
        """Whether an ordered attempt may not reuse a connection."""
        ...


class DeliverySender(Protocol):
    """The methods and attributes of `policy.Sender` that a protocol may use; documented there."""

    connection_lifetime: int
    max_poll_backoff: int
    messages_per_call: list[int]
    storable_messages: int

    def __init__(self, settings: Mapping[str, str], seed: int, now: int) -> None: ...

    def apply_endpoint_list(self, now: int, change: EndpointUpdate, listings: Sequence[ListedEndpoint]) -> None:
        """Apply an update of the list of receivers."""
        ...

    def list_poll_failed(self, now: int) -> None:
        """A call for the list failed, or its subscription broke."""
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
        """Accept a message; `deadline` is a time in microseconds, `key` 0 where order does not matter."""
        ...

    def restore(self, now: int, unfinished: Sequence[UnfinishedMessage]) -> Sequence[MessageHandle]:
        """Accept the messages that a restart left unfinished, in their order."""
        ...

    def decide(self, now: int) -> Decisions:
        """Decide once, after the events of a round."""
        ...


def float_setting(settings: Mapping[str, str], name: str, default: float = 0.0) -> float:
    """A numeric setting, or the default where it is absent or empty; `ValueError` where it is not a number."""
    return float(settings.get(name) or default)


def duration_setting(settings: Mapping[str, str], name: str, default_ms: float = 0.0) -> int:
    """A duration setting given in milliseconds, converted to microseconds."""
    return round(float_setting(settings, name, default_ms) * 1000)


def flag_setting(settings: Mapping[str, str], name: str) -> bool:
    """Whether a setting is `true`; false where it is absent."""
    return settings.get(name) == "true"


def list_setting(settings: Mapping[str, str], name: str) -> list[str]:
    """The non-empty parts of a comma-separated setting."""
    return [part for part in settings.get(name, "").split(",") if part]
