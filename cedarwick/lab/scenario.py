"""Scenario files: the settings of a day in the laboratory. Each key is described here, once.

Where a key takes a span `[low, high]`, the seed draws one value from it, evenly. Times within a day shrink in the
short form; what a partner or a message needs does not.
"""

import os
from typing import Annotated, Any, Literal, get_args

import msgspec
from msgspec import Meta

from cedarwick.config.files import ConfigFileError, decoded, read_toml

SHIPPED_FOLDER = os.path.join(os.path.dirname(__file__), "scenarios")
MOST_ARRIVALS = 2_000_000

Span = Annotated[list[float], Meta(min_length=2, max_length=2)]
Positive = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(pattern=r"^[a-z][a-z0-9-]{0,30}$")]

REPEATS = {"reissuable": "free", "numbered": "guarded", "at-most-once": "single_shot"}  # by the senders' settings

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
    "setup",
]
SenderFault = Literal["kill", "term", "stop", "full-folder", "reload"]
OtherFault = Literal["bad-clients", "platform-silent", "platform-move", "burst"]
Kind = Literal[PartnerFault, SenderFault, OtherFault]
PARTNER_FAULTS: tuple[str, ...] = get_args(PartnerFault)
SENDER_FAULTS: tuple[str, ...] = get_args(SenderFault)
OTHER_FAULTS: tuple[str, ...] = get_args(OtherFault)


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One table of a scenario; a key that it does not know is an error."""


def described(sentence: str, unit: str = "") -> Meta:
    """The sentence on a key, and its unit."""
    return Meta(description=sentence, extra={"unit": unit} if unit else {})


class PriorityClass(Table, frozen=True, kw_only=True):
    """A priority class of messages, as clients submit them and as it stands in the senders' settings."""

    name: Annotated[Name, described("Its name.")]
    share: Annotated[Positive, described("Its part of all messages, beside the other classes' shares.")] = 1.0
    repeat: Annotated[
        Literal["reissuable", "numbered", "at-most-once"], described("Whether an attempt may go again.")
    ] = "reissuable"
    expected_ms: Annotated[Positive, described("The time within which a delivery has its full worth.", "ms")] = 2000.0
    outer_ms: Annotated[Positive, described("The outer limit, from the handing in.", "ms")] = 6000.0
    importance: Annotated[Positive, described("The worth of one message.")] = 1.0
    late_share: Annotated[Share, described("The part of the worth that is left at the outer limit.")] = 0.5
    window_ms: Annotated[float, Meta(ge=0), described("Numbered: so long destinations remember a mark.", "ms")] = 4000.0
    in_turn: Annotated[bool, described("Messages of one order key go one after another.")] = False
    keys: Annotated[int, Meta(ge=0), described("How many order keys there are; 0: none.")] = 0
    bytes: Annotated[Span, described("The size of a body.", "bytes")] = msgspec.field(
        default_factory=lambda: [100, 400]
    )


class Load(Table, frozen=True, kw_only=True):
    """The arrivals, open loop: drawn ahead, they wait for nobody."""

    rate: Annotated[Positive, described("Messages a second, in the mean of the day.", "1/s")] = 60.0
    curve: Annotated[Literal["steady", "wave", "ramp"], described("How the rate runs over the day.")] = "steady"
    swing: Annotated[Share, described("How far wave and ramp stray from the mean, as a part of it.")] = 0.3
    hot: Annotated[Share, described("The part of all messages that goes to the first destination alone.")] = 0.0
    skew: Annotated[float, Meta(ge=0, le=3), described("How unevenly the rest spreads: weights 1 / place ^ skew.")] = (
        0.5
    )
    clumps: Annotated[Share, described("The part of all messages that comes in clumps for one destination.")] = 0.0
    clump: Annotated[int, Meta(ge=1, le=1000), described("The messages of one clump.")] = 10


class Clients(Table, frozen=True, kw_only=True):
    """How clients behave."""

    patience_ms: Annotated[Positive, described("The wait for an answer.", "ms")] = 400.0
    tries: Annotated[int, Meta(ge=1, le=20), described("How often one thing is handed in, refusals counted.")] = 3
    again_ms: Annotated[Span, described("The wait after a refusal that advised none.", "ms")] = msgspec.field(
        default_factory=lambda: [300, 900]
    )
    marks: Annotated[bool, described("Whether they mark what they hand in again.")] = True
    notice_s: Annotated[float, Meta(ge=0), described("How long they go on using a sender that has died.", "s")] = 1.0


class Service(Table, frozen=True, kw_only=True):
    """How long a partner works on a call."""

    kind: Annotated[Literal["fixed", "exponential", "lognormal", "gamma"], described("The distribution.")] = (
        "exponential"
    )
    mean_ms: Annotated[Positive, described("Its mean.", "ms")] = 60.0
    cv: Annotated[Positive, described("Standard deviation over mean, for lognormal and gamma.")] = 0.5


class Limit(Table, frozen=True, kw_only=True):
    """What a destination takes from all senders together."""

    calls: Annotated[int, Meta(ge=1), described("Calls in each span.")] = 20
    span_ms: Annotated[Positive, described("The span; counts begin anew with each.", "ms")] = 1000.0
    tells: Annotated[Share, described("The part of refusals that advise a wait.")] = 0.7
    refused_count: Annotated[bool, described("Whether refused calls use the limit up, too.")] = False
    reports: Annotated[bool, described("Whether answers report the limit and what is left of it.")] = True
    report_ms: Annotated[Positive, described("A report is refreshed so often.", "ms")] = 200.0


class WarmUp(Table, frozen=True, kw_only=True):
    """How an endpoint comes back from an outage."""

    share: Annotated[Share, described("The part of its speed that it returns with.")] = 0.4
    warm_s: Annotated[Positive, described("The time until it has all of it.", "s")] = 8.0
    falls: Annotated[bool, described("Whether it goes down when overloaded while it warms up.")] = True
    down_s: Annotated[Positive, described("How long it is down then.", "s")] = 3.0


class Partner(Table, frozen=True, kw_only=True):
    """Destinations of one sort; each has endpoints of its own, and one limit for all of them."""

    name: Annotated[Name, described("The sort, as the list names it.")]
    destinations: Annotated[int, Meta(ge=1, le=2000), described("How many there are.")] = 4
    endpoints: Annotated[int, Meta(ge=1, le=20), described("Endpoints of each.")] = 1
    workers: Annotated[int, Meta(ge=1, le=1000), described("Calls that an endpoint works on at once.")] = 4
    queue: Annotated[int, Meta(ge=0, le=100000), described("Calls that may wait at an endpoint.")] = 16
    connections: Annotated[int, Meta(ge=1, le=100000), described("Connections that an endpoint holds.")] = 200
    idle_s: Annotated[Positive, described("An idle connection is closed after this.", "s")] = 5.0
    setup_ms: Annotated[float, Meta(ge=0), described("The first call on a connection takes so much longer.", "ms")] = (
        5.0
    )
    error_share: Annotated[Share, described("The part of calls that run and answer 500.")] = 0.0
    service: Annotated[Service, described("Service time.")] = Service()
    limit: Annotated[Limit | None, described("The limit; none where the table is left out.")] = None
    warm_up: Annotated[WarmUp, described("Return from an outage.")] = msgspec.field(default=WarmUp(), name="cold")


class InjectedFault(Table, frozen=True, kw_only=True):
    """One fault: what, when, for how long, whom, how hard."""

    kind: Annotated[Kind, described("What goes wrong.")]
    begin_s: Annotated[float | Span, described("Its begin.", "s of the day")] = 5.0
    length_s: Annotated[float | Span, described("Its length.", "s of the day")] = 5.0
    part: Annotated[Share, described("The part of destinations (or senders, or clients' tries) that it meets.")] = 0.25
    size: Annotated[
        float | Span,
        described(
            "How hard: a factor for slow, limit-cut, burst; a part for errors, spoilt, torn; "
            "ms for setup; MB for full-folder; connections a second for bad-clients."
        ),
    ] = 0.5
    wait_ms: Annotated[float, Meta(ge=0), described("For shut: the wait that refusals advise; 0: none.", "ms")] = 0.0
    warming_up: Annotated[bool, described("Whether the partner has to warm up afterwards.")] = msgspec.field(
        default=True, name="cold"
    )
    times: Annotated[int, Meta(ge=1, le=10000), described("How often in a full day, each with draws of its own.")] = 1
    whole: Annotated[bool, described("Whether it meets all endpoints of a destination or only the first.")] = True


class RandomFaults(Table, frozen=True, kw_only=True):
    """Faults that the seed chooses besides those written down."""

    count: Annotated[int, Meta(ge=0, le=20), described("How many.")] = 0
    kinds: Annotated[list[Kind], described("Of which kinds; each at most once.")] = msgspec.field(default_factory=list)
    begin_s: Annotated[Span, described("Their begins.", "s of the day")] = msgspec.field(
        default_factory=lambda: [5, 20]
    )
    length_s: Annotated[Span, described("Their lengths.", "s of the day")] = msgspec.field(
        default_factory=lambda: [5, 15]
    )


class Limits(Table, frozen=True, kw_only=True):
    """The resources of each sender."""

    sockets: Annotated[int, Meta(ge=64, le=65536), described("Descriptors.")] = 512
    disk_mb: Annotated[Positive, described("The folder that lasts.", "MB")] = 3.0
    segment_kb: Annotated[
        float, Meta(ge=0), described("Segments of the folder, by the operator file; 0: the sender's own choice.", "KB")
    ] = 0.0
    durable: Annotated[bool, described("Whether the folder is synced for each round, by the operator file.")] = False
    memory_mb: Annotated[Positive, described("Memory; configured for the sender, not enforced here.", "MB")] = 192.0
    slots: Annotated[int, Meta(ge=1), described("Calls out at once.")] = 64
    most_open: Annotated[int, Meta(ge=2), described("Messages held at once.")] = 600
    most_tries: Annotated[int, Meta(ge=1), described("Attempts of one message.")] = 12


class Rules(Table, frozen=True, kw_only=True):
    """The figures by which the audit judges; the senders' settings have them, too."""

    drain_grace_ms: Annotated[Positive, described("Sends to a draining endpoint end within this.", "ms")] = 1000.0
    turn_gap_ms: Annotated[Positive, described("An order key rests so long after a doubtful attempt.", "ms")] = 300.0
    fall_multiple: Annotated[
        Positive, described("A destination that warms up bears this multiple of its capacity.")
    ] = 1.5
    fall_ms: Annotated[Positive, described("Within windows of this length.", "ms")] = 2000.0
    end_grace_ms: Annotated[Positive, described("So long after the outer limit an end is in time.", "ms")] = 350.0
    wait_grace_ms: Annotated[Positive, described("Calls that cross a Retry-After wait pass for so long.", "ms")] = 150.0
    restart_grace_ms: Annotated[
        Positive, described("After a restart, so long from readiness no end is overdue.", "ms")
    ] = 1550.0


class Scenario(Table, frozen=True, kw_only=True):
    """A day in the laboratory."""

    name: Annotated[Name, described("Its name.")]
    about: Annotated[str, described("One sentence on what it shows.")] = ""
    length_s: Annotated[Positive, described("The time in which messages arrive.", "s")] = 40.0
    short_s: Annotated[Positive, described("The same in the short form.", "s")] = 12.0
    senders: Annotated[int, Meta(ge=1, le=64), described("Senders that share the traffic.")] = 2
    news_ms: Annotated[Span, described("How late each sender's agent hears of a change.", "ms")] = msgspec.field(
        default_factory=lambda: [50, 600]
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
        return {priority_class.name: priority_class for priority_class in self.priority_classes}

    def partner_of(self, destination: int) -> Partner:
        """The sort of a destination; they are numbered through, sort by sort."""
        for partner in self.partner:
            if destination < partner.destinations:
                return partner
            destination -= partner.destinations
        raise IndexError(destination)

    def destinations(self) -> int:
        return sum(partner.destinations for partner in self.partner)


def load_scenario(name_or_path: str) -> Scenario:
    """A shipped scenario by its name or a file by its path; `ConfigFileError` says in one line what is wrong."""
    path = os.path.join(SHIPPED_FOLDER, f"{name_or_path}.toml")
    if not name_or_path.replace("-", "").isalnum() or not os.path.exists(path):
        path = name_or_path
        if not os.path.exists(path):
            raise ConfigFileError(f"{path}: neither a file nor one of {', '.join(shipped_scenarios())}")
    return checked(decoded(read_toml(path), Scenario, path), path)


def shipped_scenarios() -> list[str]:
    """The names of the scenarios that come with the product."""
    return sorted(file.removesuffix(".toml") for file in os.listdir(SHIPPED_FOLDER) if file.endswith(".toml"))


def checked(scenario: Scenario, path: str) -> Scenario:
    """What the types cannot say; `ConfigFileError` names the key."""

    def bad(where: str, expected: str) -> None:
        raise ConfigFileError(f"{path}: {where}: {expected}")

    for kind, names in (
        ("band", [priority_class.name for priority_class in scenario.priority_classes]),
        ("partner", [partner.name for partner in scenario.partner]),
    ):
        for place, name in enumerate(names):
            if name in names[:place]:
                bad(f"{kind}[{place}].name", f"expected a name of its own, {name!r} stands twice")
    if scenario.short_s > scenario.length_s:
        bad("short_s", f"expected at most length_s, {scenario.length_s:g}")
    if scenario.load.rate * scenario.length_s > MOST_ARRIVALS:
        bad("load.rate", f"expected at most {MOST_ARRIVALS} messages in a day")
    for place, priority_class in enumerate(scenario.priority_classes):
        if priority_class.expected_ms > priority_class.outer_ms:
            bad(f"band[{place}].expected_ms", f"expected at most outer_ms, {priority_class.outer_ms:g}")
        if priority_class.in_turn and not priority_class.keys:
            bad(f"band[{place}].keys", "expected 1 or more where in_turn is true")
        if not 0 <= priority_class.bytes[0] <= priority_class.bytes[1] <= 65536:
            bad(f"band[{place}].bytes", "expected [low, high] within 0 and 65536")
    spans: list[tuple[str, Any]] = [
        ("news_ms", scenario.news_ms),
        ("clients.again_ms", scenario.clients.again_ms),
        ("drawn.begin_s", scenario.drawn.begin_s),
        ("drawn.length_s", scenario.drawn.length_s),
    ]
    for place, fault in enumerate(scenario.faults):
        spans += [(f"trouble[{place}].{key}", getattr(fault, key)) for key in ("begin_s", "length_s", "size")]
    for where, value in spans:
        low, high = value if isinstance(value, list) else (value, value)
        if not 0 <= low <= high:
            bad(where, "expected 0 or more, or [low, high] with low <= high")
    if scenario.drawn.count > len(scenario.drawn.kinds):
        bad("drawn.count", f"expected at most the number of kinds, {len(scenario.drawn.kinds)}")
    return scenario


def sender_settings(scenario: Scenario, senders: int) -> dict[str, Any]:
    """The nested settings of a sender in this scenario."""
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
                "repeat": REPEATS[priority_class.repeat],
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
