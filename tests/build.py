"""Builds the states that the tests need."""

from cedarwick.interface import ListChange, Listing, Outcome, Phase
from cedarwick.policy import Handle, Sender

MS = 1000
SETTINGS = {
    "classes.count": "3", "balancers": "2", "resolution-ms": "5.0", "locality": "0",
    "classes.0.repeat": "free", "classes.0.slo-ms": "2000", "classes.0.deadline-ms": "16000",
    "classes.1.repeat": "guarded", "classes.1.slo-ms": "2000", "classes.1.deadline-ms": "16000",
    "classes.1.dedup-window-ms": "6000", "classes.1.group": "all", "classes.1.in-turn": "true",
    "classes.2.repeat": "single_shot", "classes.2.slo-ms": "2000", "classes.2.deadline-ms": "16000",
    "family-info.max-calls": "10", "family-info.per-call": "1,20", "family-info.kind-apart": "false,true",
    "policy-limits.most-tries": "6", "policy-limits.max-open": "100", "rules.turn-gap-ms": "300",
    "rules.cold-share": "0.25", "rules.ramp-time-ms": "10000", "rules.fall-multiple": "1.5",
    "rules.fall-ms": "2000",
}
NOW = 1_000_000_000
FREE, NUMBERED, ONCE = 0, 1, 2


def sender(receivers: int = 1, kind: int = 0, rate: float = 0.0, **settings: str) -> Sender:
    """A sender whose destination 7 has receivers 1, 2, ...; a dot in a name is written as two underscores."""
    more = {name.replace("__", ".").replace("_", "-"): value for name, value in settings.items()}
    made = Sender({**SETTINGS, **more}, 5, NOW)
    lines = [Listing(1 + n, 0, kind, 7, Phase.READY, rate) for n in range(receivers)]
    made.listed(NOW, ListChange.SAVED, lines)
    return made


def take(made: Sender, envelope: int, band: int = FREE, key: int = 0, now: int = NOW) -> Handle:
    return made.take(now, envelope, 7, band, now + 16_000 * MS, 0, key)


def out(made: Sender, envelope: int, band: int = FREE, key: int = 0, now: int = NOW) -> Handle:
    """An envelope whose first shot is out."""
    handle = take(made, envelope, band, key, now)
    made.decide(now)
    return handle


def end(handle: Handle, outcome: Outcome, now: int, told: int = 0, receiver: int = 1) -> None:
    last = outcome is Outcome.COMPLETED
    handle.shot_ended(now, outcome, handle.shots - 1, receiver, 100 * MS, told, last, ())
