"""Draws the faults of several senders from a seed: kind, time, senders and duration. Uses no clock and no sockets.

    plan = draw_plan(seed, senders=5, length_s=30)
    print("\\n".join(plan.lines()))

The same seed gives the same plan. Unless `unlimited`, the senders that are out at one time (down, stopped, or cut off
from the others) are a minority, and no more than `copies` while a folder may be lost: two lost folders may be the only
two that held a message.
"""

import random
from typing import get_args

import msgspec

from cedarwick.lab.relay import Fault, Kind
from cedarwick.lab.units import SECOND

PROCESS_KINDS = ("kill", "term", "stop", "folder-lost", "folder-spoilt")  # the sender itself is out
FOLDER_KINDS = ("folder-lost", "folder-spoilt")
SPLIT_KINDS = ("split",)  # some senders are cut off from all others
# Faults of the link of one pair that are drawn; see `relay.py`. One that is added here changes the plans of all seeds.
LINK_KINDS: tuple[str, ...] = tuple(kind for kind in get_args(Kind) if kind != "answer-twice")
PARTITION_KINDS = ("cut", "silent")  # link faults after which the two may consider each other dead
KINDS = (*PROCESS_KINDS, "disk-full", *SPLIT_KINDS, *LINK_KINDS)
RECOVERY_US = 4 * SECOND  # a sender counts as out for this long after its fault, while it starts and catches up
DRAW_ATTEMPTS = 200  # draws of one fault before it is left out of the plan


class DrawnFault(msgspec.Struct, frozen=True):
    """One fault of a day; times are microseconds of the day."""

    number: int
    kind: str
    begin: int
    length: int
    on: tuple[int, ...] = ()  # senders that it affects, or that are cut off
    pairs: tuple[tuple[int, int], ...] = ()  # of a link fault: caller and callee
    fault: Fault | None = None
    draw: int = 0  # seed for choices made during injection: a file, an offset in it

    @property
    def end(self) -> int:
        """When the fault ends, in microseconds of the day."""
        return self.begin + self.length

    def senders_out(self) -> set[int]:
        """Return the senders that may be out because of the fault; one with a full disk cannot take over any work."""
        if self.kind in PROCESS_KINDS or self.kind in SPLIT_KINDS or self.kind == "disk-full":
            return set(self.on)
        return {self.pairs[0][0]} if self.kind in PARTITION_KINDS else set()

    def names(self) -> list[str]:
        """Return the affected senders and pairs, as the history names them."""
        return [f"n{each}" for each in self.on] + [f"n{one}>n{other}" for one, other in self.pairs]

    def format(self) -> str:
        """Return the fault as one printed line."""
        what = self.fault.describe() if self.fault is not None else self.kind
        return f"{self.begin / SECOND:7.2f} s to {self.end / SECOND:6.2f} s  {' '.join(self.names()):24}  {what}"


class Plan(msgspec.Struct, frozen=True):
    """All faults of a day, in the order in which they begin."""

    seed: int
    senders: int
    length: int
    faults: list[DrawnFault] = msgspec.field(name="troubles")

    def lines(self) -> list[str]:
        """Return the plan as printed lines."""
        return [
            f"seed {self.seed}: {len(self.faults)} faults, {self.senders} senders",
            *(each.format() for each in self.faults),
        ]

    def json(self) -> bytes:
        """Encode the plan as JSON."""
        return msgspec.json.encode(self)


def draw_plan(
    seed: int,
    senders: int,
    length_s: float,
    count: int = 0,
    kinds: tuple[str, ...] = KINDS,
    copies: int = 1,
    unlimited: bool = False,
    longest_s: float = 6.0,
) -> Plan:
    """Draw the plan of a seed; `count` 0 means about one fault for every two seconds.

    A fault that would put too many senders out at once is drawn again, and left out after `DRAW_ATTEMPTS` draws.
    """
    rng = random.Random(f"schedule {seed}")
    length = round(length_s * SECOND)
    wanted = count or max(1, round(length_s / 2))
    faults: list[DrawnFault] = []
    for _ in range(wanted):
        for _ in range(DRAW_ATTEMPTS):
            drawn = draw_fault(rng, kinds, senders, length, longest_s)
            if unlimited or is_allowed(drawn, faults, senders, copies):
                faults.append(drawn)
                break
    faults.sort(key=lambda each: each.begin)
    numbered = [msgspec.structs.replace(each, number=number) for number, each in enumerate(faults)]
    return Plan(seed, senders, length, numbered)


def draw_fault(rng: random.Random, kinds: tuple[str, ...], senders: int, length: int, longest_s: float) -> DrawnFault:
    """Draw one fault within a day, of any of the kinds."""
    kind = rng.choice(kinds)
    duration = round(rng.uniform(0.5, longest_s) * SECOND)
    begin = round(rng.uniform(0.05 * length, max(0.05 * length, 0.9 * length - duration)))
    draw = rng.getrandbits(32)
    order = rng.sample(range(senders), senders)
    if kind in LINK_KINDS:
        caller, callee = order[0], order[1]
        fault = draw_link_fault(rng, kind)
        both = kind in PARTITION_KINDS and fault.way == "both"
        pairs = ((caller, callee), (callee, caller)) if both else ((caller, callee),)
        return DrawnFault(0, kind, begin, duration, pairs=pairs, fault=fault, draw=draw)
    most = max(1, (senders - 1) // 2)
    on = tuple(sorted(order[: rng.randint(1, most)])) if kind in SPLIT_KINDS else (order[0],)
    return DrawnFault(0, kind, begin, duration, on, draw=draw)


def draw_link_fault(rng: random.Random, kind: str) -> Fault:
    """Draw the settings of a relay fault of one kind."""
    if kind == "cut":
        return Fault(kind="cut", way=rng.choice(("both", "asks", "answers")))
    if kind == "silent":
        return Fault(kind="silent", way=rng.choice(("both", "asks", "answers")), held=rng.random() < 0.5)
    if kind == "delay":
        return Fault(
            kind="delay",
            way=rng.choice(("both", "asks", "answers")),
            ms=round(rng.uniform(5, 300)),
            jitter_ms=round(rng.uniform(0, 300)),
        )
    if kind == "trickle":
        return Fault(kind="trickle", size=rng.randint(8, 64), ms=round(rng.uniform(1, 10)))
    if kind == "reset":
        return Fault(
            kind="reset",
            way=rng.choice(("asks", "answers")),
            size=rng.randint(1, 400),
            share=round(rng.uniform(0.1, 0.6), 2),
        )
    if kind == "twice":
        return Fault(
            kind="twice",
            share=round(rng.uniform(0.2, 1.0), 2),
            ms=round(rng.uniform(0, 100)),
            jitter_ms=round(rng.uniform(0, 2000)),
        )
    if kind == "ask-lost":
        return Fault(kind="ask-lost", share=round(rng.uniform(0.1, 0.6), 2), then=rng.choice(("reset", "silent")))
    return Fault(kind="answer-lost", share=round(rng.uniform(0.1, 0.6), 2), then=rng.choice(("reset", "silent")))


def is_allowed(drawn: DrawnFault, others: list[DrawnFault], senders: int, copies: int) -> bool:
    """Whether the fault, together with the others, never puts too many senders out at one time."""
    if not drawn.senders_out() and drawn.kind != "disk-full":
        return True
    near = [each for each in others if each.begin < drawn.end + RECOVERY_US and drawn.begin < each.end + RECOVERY_US]
    if any(set(each.on) & set(drawn.on) for each in near if each.on):
        return False  # a sender has one fault of its own at a time
    for at in [drawn.begin, *(each.begin for each in near if each.begin > drawn.begin)]:
        active = [drawn, *(each for each in near if each.begin <= at < each.end + RECOVERY_US)]
        out = set().union(*(each.senders_out() for each in active))
        most = (senders - 1) // 2
        if any(each.kind in FOLDER_KINDS for each in active):
            most = min(most, copies)
        if len(out) > most:
            return False
    return True
