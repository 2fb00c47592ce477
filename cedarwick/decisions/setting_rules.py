"""Types and ranges of the settings that the decisions read; other settings are not checked here."""

import math
from collections.abc import Mapping

from cedarwick.errors import CedarwickError

ANY = (0.0, math.inf)
SHARE = (0.0, 1.0)
SOME = (1.0, math.inf)

SPANS_AND_FIGURES = {
    "resolution-ms": ANY,
    "over-share-worth": ANY,
    "policy-limits.conn-idle-ms": ANY,
    "policy-limits.max-retry-after-ms": ANY,
    "rules.ask-within-ms": ANY,
    "rules.cold-share": SHARE,
    "rules.fall-ms": ANY,
    "rules.fall-multiple": ANY,
    "rules.ramp-time-ms": ANY,
    "rules.turn-gap-ms": ANY,
    "tariffs.cross-zone": ANY,
}
COUNTS = {
    "classes.count": (1.0, 256.0),
    "balancers": SOME,
    "locality": ANY,
    "family-info.max-calls": SOME,
    "policy-limits.most-tries": SOME,
    "policy-limits.max-open": SOME,
}
WORDS = {
    "discovery": ("push", "ask"),
    "family-info.late": ("even", "by_half"),
    "weight-source": ("off", "nominal", "rough", "live"),
    "policy-limits.retry-after": ("true", "false"),
}
LISTS = {"family-info.per-call": SOME, "family-info.fee-by-zone": ANY}
OF_A_CLASS = {"worth": ANY, "slo-ms": ANY, "deadline-ms": ANY, "late-worth": SHARE, "dedup-window-ms": ANY}
WORDS_OF_A_CLASS = {
    "repeat": ("free", "guarded", "single_shot"),
    "group": ("all", "zone", "cell"),
    "in-turn": ("true", "false"),
}


class SettingError(CedarwickError):
    """A setting of the decisions has a wrong type or lies out of its range."""

    code = "CW106"
    remedy = "correct the setting that is named, then start again"


def check(settings: Mapping[str, str]) -> None:
    """Check the settings; raises `SettingError` with the name of the first one that is wrong.

    Absent and empty settings are accepted: they have defaults.
    """
    for name, bounds in SPANS_AND_FIGURES.items():
        _figure(settings, name, bounds)
    for name, bounds in COUNTS.items():
        _figure(settings, name, bounds, whole=True)
    for name, words in WORDS.items():
        _word(settings, name, words)
    for name, bounds in LISTS.items():
        for part in settings.get(name, "").split(","):
            _figure({name: part}, name, bounds, whole=bounds is SOME)
    for part in settings.get("family-info.kind-apart", "").split(","):
        _word({"family-info.kind-apart": part}, "family-info.kind-apart", ("true", "false"))
    for index in range(int(float(settings.get("classes.count") or 0))):
        for name, bounds in OF_A_CLASS.items():
            _figure(settings, f"classes.{index}.{name}", bounds)
        for name, words in WORDS_OF_A_CLASS.items():
            _word(settings, f"classes.{index}.{name}", words)


def _figure(settings: Mapping[str, str], name: str, bounds: tuple[float, float], whole: bool = False) -> None:
    text = settings.get(name)
    if not text:
        return
    try:
        value = float(text)
    except ValueError:
        raise SettingError(f"{name} is no number: {text[:40]!r}") from None
    if not (math.isfinite(value) and bounds[0] <= value <= bounds[1] and (not whole or value == int(value))):
        kind = "whole number" if whole else "number"
        most = f" and at most {bounds[1]:g}" if bounds[1] < math.inf else ""
        raise SettingError(f"{name} is {text[:40]}, not a {kind} of at least {bounds[0]:g}{most}")


def _word(settings: Mapping[str, str], name: str, words: tuple[str, ...]) -> None:
    text = settings.get(name)
    if text and text not in words:
        raise SettingError(f"{name} is {text[:40]!r}, not one of {', '.join(words)}")
