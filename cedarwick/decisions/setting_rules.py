"""Types and ranges of the settings that the delivery policy reads; other settings are not checked here."""

import math
from collections.abc import Mapping

from cedarwick.errors import CedarwickError

NON_NEGATIVE = (0.0, math.inf)
SHARE = (0.0, 1.0)
AT_LEAST_ONE = (1.0, math.inf)

NUMBER_RANGES = {
    "resolution-ms": NON_NEGATIVE,
    "over-share-worth": NON_NEGATIVE,
    "policy-limits.conn-idle-ms": NON_NEGATIVE,
    "policy-limits.max-retry-after-ms": NON_NEGATIVE,
    "rules.ask-within-ms": NON_NEGATIVE,
    "rules.cold-share": SHARE,
    "rules.fall-ms": NON_NEGATIVE,
    "rules.fall-multiple": NON_NEGATIVE,
    "rules.ramp-time-ms": NON_NEGATIVE,
    "rules.turn-gap-ms": NON_NEGATIVE,
    "tariffs.cross-zone": NON_NEGATIVE,
}
COUNT_RANGES = {
    "classes.count": (1.0, 256.0),
    "balancers": AT_LEAST_ONE,
    "locality": NON_NEGATIVE,
    "family-info.max-calls": AT_LEAST_ONE,
    "policy-limits.most-tries": AT_LEAST_ONE,
    "policy-limits.max-open": AT_LEAST_ONE,
}
CHOICES = {
    "discovery": ("push", "ask"),
    "family-info.late": ("even", "by_half"),
    "weight-source": ("off", "nominal", "rough", "live"),
    "policy-limits.retry-after": ("true", "false"),
}
LIST_RANGES = {"family-info.per-call": AT_LEAST_ONE, "family-info.fee-by-zone": NON_NEGATIVE}
CLASS_NUMBER_RANGES = {
    "worth": NON_NEGATIVE,
    "slo-ms": NON_NEGATIVE,
    "deadline-ms": NON_NEGATIVE,
    "late-worth": SHARE,
    "dedup-window-ms": NON_NEGATIVE,
}
CLASS_CHOICES = {
    "repeat": ("free", "guarded", "single_shot"),
    "group": ("all", "zone", "cell"),
    "in-turn": ("true", "false"),
}


class SettingError(CedarwickError):
    """A setting of the delivery policy has a wrong type or is out of range."""

    code = "CW106"
    remedy = "correct the setting that is named, then start again"


def check(settings: Mapping[str, str]) -> None:
    """Check the settings; raise `SettingError` with the name of the first invalid one.

    Absent and empty settings are valid: they have defaults.
    """
    for name, bounds in NUMBER_RANGES.items():
        _check_number(settings, name, bounds)
    for name, bounds in COUNT_RANGES.items():
        _check_number(settings, name, bounds, whole=True)
    for name, choices in CHOICES.items():
        _check_choice(settings, name, choices)
    for name, bounds in LIST_RANGES.items():
        for part in settings.get(name, "").split(","):
            _check_number({name: part}, name, bounds, whole=bounds is AT_LEAST_ONE)
    for part in settings.get("family-info.kind-apart", "").split(","):
        _check_choice({"family-info.kind-apart": part}, "family-info.kind-apart", ("true", "false"))
    for index in range(int(float(settings.get("classes.count") or 0))):
        for name, bounds in CLASS_NUMBER_RANGES.items():
            _check_number(settings, f"classes.{index}.{name}", bounds)
        for name, choices in CLASS_CHOICES.items():
            _check_choice(settings, f"classes.{index}.{name}", choices)


def _check_number(settings: Mapping[str, str], name: str, bounds: tuple[float, float], whole: bool = False) -> None:
    text = settings.get(name)
    if not text:
        return
    try:
        value = float(text)
    except ValueError:
        raise SettingError(f"{name} is not a number: {text[:40]!r}") from None
    if not (math.isfinite(value) and bounds[0] <= value <= bounds[1] and (not whole or value == int(value))):
        kind = "whole number" if whole else "number"
        most = f" and at most {bounds[1]:g}" if bounds[1] < math.inf else ""
        raise SettingError(f"{name} is {text[:40]}, expected a {kind} of at least {bounds[0]:g}{most}")


def _check_choice(settings: Mapping[str, str], name: str, choices: tuple[str, ...]) -> None:
    text = settings.get(name)
    if text and text not in choices:
        raise SettingError(f"{name} is {text[:40]!r}, expected one of {', '.join(choices)}")
