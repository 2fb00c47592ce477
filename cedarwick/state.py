"""The records that the decisions keep, and their source of chance."""

from collections import deque
from dataclasses import dataclass, field
from typing import Any


class Chance:
    """A linear congruential generator; only its high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def below(self, bound: int) -> int:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % (1 << 64)
        return (self.state >> 32) * bound >> 32


@dataclass(slots=True)
class Band:
    """What the settings say of one band of envelopes."""

    importance: float
    expected_time: int
    outer_limit: int
    late_share: float
    reissuable: bool
    at_most_once: bool
    window: int  # for numbered envelopes: how long a destination remembers the number
    one_zone: bool  # repeats only within the zone of the first shot that may have run
    in_turn: bool


@dataclass(slots=True)
class Pace:
    """How fast one destination (or one route, where routes are apart) is sent to."""

    rate: float | None = None  # calls a second; None: unbounded
    reference: float = 0.0  # the rate that small steps are measured by
    limit: float = 0.0  # what the destination is said to take from all senders; 0: unknown
    left: float = 0.0  # the share of it that was last reported to be left
    tokens: float = 1.0
    refilled: int = 0
    wait_until: int = 0
    cut_at: int = 0
    raised_at: int = 0
    used_at: int = 0
    short: bool = False  # tokens ran out since the last raise
    proven: bool = False  # a call has been completed here
    canary_at: int = 0
    calls_out: int = 0
    sends: deque[int] = field(default_factory=deque)
    answers: deque[tuple[int, bool]] = field(default_factory=deque)  # time, refused as full


@dataclass(slots=True)
class Receiver:
    """Everything known of one receiver."""

    id: int
    zone: int
    kind: int
    destination: int
    pace: Pace
    ready: bool = True
    credit: float = 0.0  # its place in the rotation
    mean: float = 0.0  # time to answer, and how far it strays; 0: nothing seen
    stray: float = 0.0
    recent: deque[bool] = field(default_factory=deque)  # its last few outcomes: completed or failed
    distrust: float = 0.0
    distrust_at: int = 0
    full_since: int = 0  # fulls with no completion between them: since when, how many
    fulls: int = 0
    managed: float = 0.0  # calls a second it was seen to complete for this sender
    completions: deque[int] = field(default_factory=deque)
    completed_sent_at: int = -1  # send time of the newest call that was completed
    answered_at: int = 0
    used_at: int = 0  # the newest shot, and how long after the one before it
    gap: int = 0
    out_since: int = 0  # 0: in service
    failed: bool = False  # the outage showed in an outcome, not in silence alone
    provable: bool = False  # its last failure proved that nothing ran
    canary_at: int = 0
    canary_out: bool = False
    probe_out: bool = False
    vouched: bool = False  # a probe has passed since the last failure
    back_at: int = 0  # when it returned from an outage; 0: not within its ramp
    ramp_tokens: float = 0.0
    ramp_at: int = 0
    calls: dict[int, int] = field(default_factory=dict)  # send time: shots without an outcome


@dataclass(slots=True, eq=False)
class Envelope:
    """One envelope from its taking to its final answer."""

    id: int
    destination: int
    band: Band
    outer_limit: int
    expected_by: int
    tenant: int
    key: int
    order: int
    over_share: bool = False
    shots: int = 0
    cancelled: int = 0
    out: bool = False
    sent_at: int = 0
    due: int = 0  # not before this
    ran_at: int = 0  # send time of the first shot that may have run; 0: none has
    ran_zone: int = 0
    doubtful_at: int = 0  # when a shot ended that may still be running
    ended: bool = False


@dataclass(slots=True)
class Destination:
    """The receivers of a destination by id and the envelopes held for it."""

    id: int
    pace: Pace
    members: list[int] = field(default_factory=list)
    held: list[Any] = field(default_factory=list)
    unlinked_at: int = 0  # when a connection failed, until the next completion
    look_at: int = 0  # the next time it needs a look; 0: only after an event
