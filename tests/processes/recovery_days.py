"""Scenarios in which a destination fails and comes back slow while many senders hold messages for it."""

import msgspec

from cedarwick.lab.mixed_classes import AT_MOST_ONCE, IDEMPOTENT, REISSUABLE
from cedarwick.lab.scenario import Clients, InjectedFault, Limits, Load, Partner, Scenario, Service, WarmUp

SENDER_COUNT = 24  # more than `MANY_SENDERS`
FAILS_AT_S, BACK_AT_S, DAY_S = 3.0, 9.0, 15.0  # the outage's begin and end, and the length of the scenario
DEADLINE_MS = 9000.0
RESTART_S = 0.65  # from SIGKILL until the process is restarted


def outage_day(kind: str, *faults: InjectedFault, senders: int = SENDER_COUNT) -> Scenario:
    """A scenario in which one of two destinations fails in the way of `kind`; `faults` are injected as well."""
    classes = [
        msgspec.structs.replace(REISSUABLE, share=6, outer_ms=DEADLINE_MS, expected_ms=3000),
        msgspec.structs.replace(IDEMPOTENT, share=3, outer_ms=DEADLINE_MS, expected_ms=3000, window_ms=8000),
        msgspec.structs.replace(AT_MOST_ONCE, share=1, outer_ms=DEADLINE_MS, expected_ms=3000),
    ]
    bank = Partner(
        name="bank",
        destinations=2,
        endpoints=2,
        workers=5,
        service=Service(mean_ms=200),
        warm_up=WarmUp(share=0.05, warm_s=30),
    )
    outage = InjectedFault(kind=kind, begin_s=FAILS_AT_S, length_s=BACK_AT_S - FAILS_AT_S, part=0.5, size=0.95)  # type: ignore[arg-type]
    return Scenario(
        name="recovery",
        news_ms=[1, 5],
        length_s=DAY_S,
        short_s=DAY_S,
        senders=senders,
        load=Load(rate=80, skew=0.0),
        clients=Clients(notice_s=0.5),
        limits=Limits(slots=8, most_open=60),
        priority_classes=classes,
        partner=[bank],
        faults=[outage, *faults],
    )


def kill_after_return(at_s: float, part: float = 0.7) -> InjectedFault:
    """A fault: `part` of the senders are killed `at_s` seconds after the return (negative: before) and restarted."""
    return InjectedFault(kind="kill", begin_s=BACK_AT_S + at_s, length_s=RESTART_S, part=part)
