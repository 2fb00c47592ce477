"""Scenario files: the settings of a day in the laboratory, with the description of each key.

Where a key takes a range `[low, high]`, a value is drawn from it with uniform distribution, by the seed. The short form
of a day scales the times of the day down; times that belong to a partner or a message stay.
"""

import os
from typing import Annotated, Any, Literal, get_args

import msgspec
from msgspec import Meta

from cedarwick.config.files import ConfigFileError, decode_tables, read_toml

SHIPPED_FOLDER = os.path.join(os.path.dirname(__file__), "scenarios")
MAX_ARRIVALS = 2_000_000  # messages in a day

ValueRange = Annotated[list[float], Meta(min_length=2, max_length=2)]
Positive = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(pattern=r"^[a-z][a-z0-9-]{0,30}$")]

REPEAT_SETTINGS = {"reissuable": "free", "numbered": "guarded", "at-most-once": "single_shot"}  # to the senders' names

PartnerFault = Literal[
    "crash",
    "hang",
    "slow",
    "errors",
    "shut",
    "limit-cut",
    "replace",
    "cut",
    "idle-drop",
    "spoilt",
    "torn",
    "second-copy",
    "setup",
]
SenderFault = Literal["kill", "term", "stop", "full-folder", "reload"]
OtherFault = Literal["bad-clients", "platform-silent", "platform-move", "burst"]
FaultKind = Literal[PartnerFault, SenderFault, OtherFault]
PARTNER_FAULTS: tuple[str, ...] = get_args(PartnerFault)
SENDER_FAULTS: tuple[str, ...] = get_args(SenderFault)
OTHER_FAULTS: tuple[str, ...] = get_args(OtherFault)


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of a scenario; unknown keys are an error."""


def described(sentence: str, unit: str = "") -> Meta:
    """The description of a key, and its unit."""
    return Meta(description=sentence, extra={"unit": unit} if unit else {})


class PriorityClass(Table, frozen=True, kw_only=True):
    """A priority class, for the messages that clients submit and for the senders' settings."""

    name: Annotated[Name, described("Its name.")]
    share: Annotated[Positive, described("Its weight among all messages, relative to the other classes' shares.")] = 1.0
    repeat: Annotated[
        Literal["reissuable", "numbered", "at-most-once"], described("Whether an attempt may be repeated.")
    ] = "reissuable"
    expected_ms: Annotated[Positive, described("The time within which a delivery has its full value.", "ms")] = 2000.0
    outer_ms: Annotated[Positive, described("The deadline, from the submission.", "ms")] = 6000.0
    importance: Annotated[Positive, described("The value of one message.")] = 1.0
    late_share: Annotated[Share, described("The share of the value that is left at the deadline.")] = 0.5
    window_ms: Annotated[
        float, Meta(ge=0), described("For numbered: how long destinations remember an idempotency key.", "ms")
    ] = 4000.0
    in_turn: Annotated[bool, described("Messages of one order key are sent one after another.")] = False
    keys: Annotated[int, Meta(ge=0), described("The number of order keys; 0: none.")] = 0
    bytes: Annotated[ValueRange, described("The size of a message body.", "bytes")] = msgspec.field(
        default_factory=lambda: [100, 400]
    )


class Load(Table, frozen=True, kw_only=True):
    """The arrivals of messages, open loop: their times are drawn in advance and depend on no answer."""

    rate: Annotated[Positive, described("Messages per second, on the average of the day.", "1/s")] = 60.0
    curve: Annotated[Literal["steady", "wave", "ramp"], described("How the rate changes over the day.")] = "steady"
    swing: Annotated[Share, described("The largest deviation of wave and ramp from the mean, as a share of it.")] = 0.3
    hot: Annotated[Share, described("The share of all messages that is sent to the first destination in addition.")] = (
        0.0
    )
    skew: Annotated[
        float,
        Meta(ge=0, le=3),
        described("How unevenly the others are spread: destination n has the weight 1 / n ^ skew."),
    ] = 0.5
    clumps: Annotated[Share, described("The share of all messages that arrive in clumps for one destination.")] = 0.0
    clump: Annotated[int, Meta(ge=1, le=1000), described("The number of messages in a clump.")] = 10


class Clients(Table, frozen=True, kw_only=True):
    """The behaviour of clients."""

    patience_ms: Annotated[Positive, described("The time-out of a request.", "ms")] = 400.0
    tries: Annotated[
        int, Meta(ge=1, le=20), described("How often one message is submitted at most, refused attempts included.")
    ] = 3
    again_ms: Annotated[ValueRange, described("The wait after a refusal that advises none.", "ms")] = msgspec.field(
        default_factory=lambda: [300, 900]
    )
    marks: Annotated[bool, described("Whether they mark resubmissions as such.")] = True
    notice_s: Annotated[float, Meta(ge=0), described("How long they keep using a sender that has died.", "s")] = 1.0


class Service(Table, frozen=True, kw_only=True):
    """The time for which a partner processes a call."""

    kind: Annotated[Literal["fixed", "exponential", "lognormal", "gamma"], described("The distribution.")] = (
        "exponential"
    )
    mean_ms: Annotated[Positive, described("Its mean.", "ms")] = 60.0
    cv: Annotated[Positive, described("Standard deviation over mean, for lognormal and gamma.")] = 0.5


class Limit(Table, frozen=True, kw_only=True):
    """The rate limit of a destination for all senders together."""

    calls: Annotated[int, Meta(ge=1), described("Calls in each span.")] = 20
    span_ms: Annotated[Positive, described("The span; the count starts from 0 with each.", "ms")] = 1000.0
    tells: Annotated[Share, described("The share of refusals that advise a wait.")] = 0.7
    refused_count: Annotated[bool, described("Whether refused calls count against the limit.")] = False
    reports: Annotated[bool, described("Whether answers report the limit and its unused share.")] = True
    report_ms: Annotated[Positive, described("The time between two updates of the report.", "ms")] = 200.0


class WarmUp(Table, frozen=True, kw_only=True):
    """How an endpoint recovers from an outage."""

    share: Annotated[Share, described("The share of its speed that it starts with.")] = 0.4
    warm_s: Annotated[Positive, described("The time until it has its full speed.", "s")] = 8.0
    falls: Annotated[bool, described("Whether an overload takes it down while it warms up.")] = True
    down_s: Annotated[Positive, described("The length of such an outage.", "s")] = 3.0


class Partner(Table, frozen=True, kw_only=True):
    """Destinations of one kind; each has endpoints of its own, which share one rate limit."""

    name: Annotated[Name, described("The kind, as the endpoint list names it.")]
    destinations: Annotated[int, Meta(ge=1, le=2000), described("The number of destinations.")] = 4
    endpoints: Annotated[int, Meta(ge=1, le=20), described("Endpoints of each destination.")] = 1
    workers: Annotated[int, Meta(ge=1, le=1000), described("Calls that an endpoint processes at the same time.")] = 4
    queue: Annotated[int, Meta(ge=0, le=100000), described("Calls that may be queued at an endpoint.")] = 16
    connections: Annotated[int, Meta(ge=1, le=100000), described("Connections that an endpoint accepts.")] = 200
    idle_s: Annotated[Positive, described("The time after which an idle connection is closed.", "s")] = 5.0
    setup_ms: Annotated[
        float, Meta(ge=0), described("The additional time of the first call on a connection.", "ms")
    ] = 5.0
    error_share: Annotated[Share, described("The share of calls that run and are answered 500.")] = 0.0
    service: Annotated[Service, described("Service time.")] = Service()
    limit: Annotated[Limit | None, described("The rate limit; none where the table is left out.")] = None
    warm_up: Annotated[WarmUp, described("Recovery from an outage.")] = msgspec.field(default=WarmUp(), name="cold")


class InjectedFault(Table, frozen=True, kw_only=True):
    """A fault: its kind, time, length, targets and size."""

    kind: Annotated[FaultKind, described("The kind of fault.")]
    begin_s: Annotated[float | ValueRange, described("Its begin.", "s of the day")] = 5.0
    length_s: Annotated[float | ValueRange, described("Its length.", "s of the day")] = 5.0
    part: Annotated[Share, described("The share of destinations (or of senders) that it hits.")] = 0.25
    size: Annotated[
        float | ValueRange,
        described(
            "How strong: a factor for slow, limit-cut, burst; a share for errors, spoilt, torn, second-copy; "
            "ms for setup; MB for full-folder; connections per second for bad-clients."
        ),
    ] = 0.5
    wait_ms: Annotated[
        float,
        Meta(ge=0),
        described(
            "For shut: the wait that refusals advise; 0: none. For second-copy: the longest delay of the copy.",
            "ms",
        ),
    ] = 0.0
    warming_up: Annotated[bool, described("Whether the partner has to warm up afterwards.")] = msgspec.field(
        default=True, name="cold"
    )
    times: Annotated[
        int, Meta(ge=1, le=10000), described("How often it occurs in a full day, each time with draws of its own.")
    ] = 1
    whole: Annotated[bool, described("Whether it hits all endpoints of a destination or only the first.")] = True


class RandomFaults(Table, frozen=True, kw_only=True):
    """Faults that the seed draws, in addition to those in the file."""

    count: Annotated[int, Meta(ge=0, le=20), described("How many.")] = 0
    kinds: Annotated[list[FaultKind], described("The kinds to draw from; each is drawn once at most.")] = msgspec.field(
        default_factory=list
    )
    begin_s: Annotated[ValueRange, described("Their begins.", "s of the day")] = msgspec.field(
        default_factory=lambda: [5, 20]
    )
    length_s: Annotated[ValueRange, described("Their lengths.", "s of the day")] = msgspec.field(
        default_factory=lambda: [5, 15]
    )


class Limits(Table, frozen=True, kw_only=True):
    """The limits on the resources of each sender."""

    sockets: Annotated[int, Meta(ge=64, le=65536), described("Descriptors.")] = 512
    disk_mb: Annotated[Positive, described("The size of the state folder.", "MB")] = 3.0
    segment_kb: Annotated[
        float,
        Meta(ge=0),
        described("The size of the folder's segments, set in the operator file; 0: the default.", "KB"),
    ] = 0.0
    durable: Annotated[bool, described("Whether the folder is synced for each round, set in the operator file.")] = (
        False
    )
    memory_mb: Annotated[Positive, described("Memory; in the sender's settings, not enforced here.", "MB")] = 192.0
    slots: Annotated[int, Meta(ge=1), described("Calls in flight at the same time.")] = 64
    most_open: Annotated[int, Meta(ge=2), described("Messages held at the same time.")] = 600
    most_tries: Annotated[int, Meta(ge=1), described("Attempts for one message.")] = 12


class Rules(Table, frozen=True, kw_only=True):
    """The limits by which the audit judges; some are in the senders' settings, too."""

    drain_grace_ms: Annotated[Positive, described("The time within which sends to a draining endpoint end.", "ms")] = (
        1000.0
    )
    turn_gap_ms: Annotated[
        Positive, described("How long an order key pauses after an attempt that may have run.", "ms")
    ] = 300.0
    fall_multiple: Annotated[
        Positive, described("A destination that warms up bears this multiple of its capacity.")
    ] = 1.5
    fall_ms: Annotated[Positive, described("The length of the window for fall_multiple.", "ms")] = 2000.0
    end_grace_ms: Annotated[Positive, described("How long after the deadline a final answer is in time.", "ms")] = 350.0
    wait_grace_ms: Annotated[Positive, described("How long calls that cross a Retry-After wait are allowed.", "ms")] = (
        150.0
    )
    restart_grace_ms: Annotated[
        Positive, described("How long from readiness after a restart no final answer is overdue.", "ms")
    ] = 1550.0


class Scenario(Table, frozen=True, kw_only=True):
    """The settings of a day in the laboratory."""

    name: Annotated[Name, described("Its name.")]
    about: Annotated[str, described("One sentence on what it shows.")] = ""
    length_s: Annotated[Positive, described("The time in which messages arrive.", "s")] = 40.0
    short_s: Annotated[Positive, described("The same in the short form.", "s")] = 12.0
    senders: Annotated[int, Meta(ge=1, le=64), described("Senders that share the load.")] = 2
    news_ms: Annotated[ValueRange, described("The delay with which each sender's agent learns of a change.", "ms")] = (
        msgspec.field(default_factory=lambda: [50, 600])
    )
    load: Annotated[Load, described("Arrivals.")] = Load()
    clients: Annotated[Clients, described("Clients.")] = Clients()
    limits: Annotated[Limits, described("Limits.")] = Limits()
    rules: Annotated[Rules, described("Rules.")] = Rules()
    drawn: Annotated[RandomFaults, described("Drawn faults.")] = RandomFaults()
    priority_classes: Annotated[
        list[PriorityClass], Meta(min_length=1, max_length=32), described("Priority classes.")
    ] = msgspec.field(name="band")
    partner: Annotated[list[Partner], Meta(min_length=1, max_length=32), described("Partners.")]
    faults: Annotated[list[InjectedFault], Meta(max_length=64), described("Injected faults.")] = msgspec.field(
        default_factory=list, name="trouble"
    )

    def classes_by_name(self) -> dict[str, PriorityClass]:
        """The priority classes by name."""
        return {priority_class.name: priority_class for priority_class in self.priority_classes}

    def partner_of(self, destination: int) -> Partner:
        """The partner of a destination. Destinations are numbered in the order of the partners."""
        for partner in self.partner:
            if destination < partner.destinations:
                return partner
            destination -= partner.destinations
        raise IndexError(destination)

    def destinations(self) -> int:
        """The number of destinations of all partners."""
        return sum(partner.destinations for partner in self.partner)


def load_scenario(name_or_path: str) -> Scenario:
    """Load a shipped scenario by name, or a file by path; `ConfigFileError` says in one line what is wrong."""
    path = os.path.join(SHIPPED_FOLDER, f"{name_or_path}.toml")
    if not name_or_path.replace("-", "").isalnum() or not os.path.exists(path):
        path = name_or_path
        if not os.path.exists(path):
            raise ConfigFileError(f"{path}: neither a file nor one of {', '.join(shipped_scenarios())}")
    return check_scenario(decode_tables(read_toml(path), Scenario, path), path)


def shipped_scenarios() -> list[str]:
    """The names of the scenarios that are part of this package."""
    return sorted(file.removesuffix(".toml") for file in os.listdir(SHIPPED_FOLDER) if file.endswith(".toml"))


def check_scenario(scenario: Scenario, path: str) -> Scenario:
    """Check what the types cannot express; returns the scenario. `ConfigFileError` names the key."""

    def reject(setting: str, expected: str) -> None:
        raise ConfigFileError(f"{path}: {setting}: {expected}")

    for table, names in (
        ("band", [priority_class.name for priority_class in scenario.priority_classes]),
        ("partner", [partner.name for partner in scenario.partner]),
    ):
        for index, name in enumerate(names):
            if name in names[:index]:
                reject(f"{table}[{index}].name", f"expected a unique name, {name!r} occurs twice")
    if scenario.short_s > scenario.length_s:
        reject("short_s", f"expected at most length_s, {scenario.length_s:g}")
    if scenario.load.rate * scenario.length_s > MAX_ARRIVALS:
        reject("load.rate", f"expected at most {MAX_ARRIVALS} messages in a day")
    for index, priority_class in enumerate(scenario.priority_classes):
        if priority_class.expected_ms > priority_class.outer_ms:
            reject(f"band[{index}].expected_ms", f"expected at most outer_ms, {priority_class.outer_ms:g}")
        if priority_class.in_turn and not priority_class.keys:
            reject(f"band[{index}].keys", "expected 1 or more where in_turn is true")
        if not 0 <= priority_class.bytes[0] <= priority_class.bytes[1] <= 65536:
            reject(f"band[{index}].bytes", "expected [low, high] within 0 and 65536")
    ranges: list[tuple[str, Any]] = [
        ("news_ms", scenario.news_ms),
        ("clients.again_ms", scenario.clients.again_ms),
        ("drawn.begin_s", scenario.drawn.begin_s),
        ("drawn.length_s", scenario.drawn.length_s),
    ]
    for index, fault in enumerate(scenario.faults):
        ranges += [(f"trouble[{index}].{key}", getattr(fault, key)) for key in ("begin_s", "length_s", "size")]
    for setting, value in ranges:
        low, high = value if isinstance(value, list) else (value, value)
        if not 0 <= low <= high:
            reject(setting, "expected 0 or more, or [low, high] with low <= high")
    if scenario.drawn.count > len(scenario.drawn.kinds):
        reject("drawn.count", f"expected at most the number of kinds, {len(scenario.drawn.kinds)}")
    return scenario


def sender_settings(scenario: Scenario, senders: int) -> dict[str, Any]:
    """The settings of a sender in this scenario, as nested tables."""
    rules = scenario.rules
    return {
        "balancers": senders,
        "zones": ["hall"],
        "kinds": [partner.name for partner in scenario.partner],
        "discovery": "push",
        "resolution-ms": 5.0,
        "locality": 0,
        "classes": [
            {
                "name": priority_class.name,
                "repeat": REPEAT_SETTINGS[priority_class.repeat],
                "slo-ms": priority_class.expected_ms,
                "deadline-ms": priority_class.outer_ms,
                "worth": priority_class.importance,
                "late-worth": priority_class.late_share,
                "dedup-window-ms": priority_class.window_ms,
                "group": "all",
                "in-turn": priority_class.in_turn,
            }
            for priority_class in scenario.priority_classes
        ],
        "family-info": {
            "max-calls": scenario.limits.slots,
            "per-call": [1] * len(scenario.partner),
            "kind-apart": [False] * len(scenario.partner),
        },
        "policy-limits": {
            "most-tries": scenario.limits.most_tries,
            "max-open": scenario.limits.most_open,
            "conn-idle-ms": min(partner.idle_s for partner in scenario.partner) * 1000,
            "connect-timeout-ms": 1000.0,
            "max-retry-after-ms": 2000.0,
            "retry-after": True,
        },
        "rules": {
            "drain-grace-ms": rules.drain_grace_ms,
            "turn-gap-ms": rules.turn_gap_ms,
            "cold-share": min(partner.warm_up.share for partner in scenario.partner),
            "ramp-time-ms": max(partner.warm_up.warm_s for partner in scenario.partner) * 1000,
            "fall-multiple": rules.fall_multiple,
            "fall-ms": rules.fall_ms,
        },
        "report": {"how": "inline", "columns": ["x0", "x1"]},
    }
