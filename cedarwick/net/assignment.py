"""The assignment: the configuration that a sender starts with, read from a JSON file and `RELAY_` variables.

The service calls `read_assignment` at the start, and again when the file has changed.
"""

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from cedarwick.decisions import setting_rules
from cedarwick.errors import CedarwickError


class AssignmentError(CedarwickError):
    """The program cannot start with its configuration."""

    code = "CW101"
    remedy = "correct the file or the RELAY_ variable that is named, then start again"


@dataclass(frozen=True)
class Assignment:
    """A configuration: name, addresses, limits, the endpoint list as last known, and the flat map of settings."""

    name: str
    listen: tuple[str, int]
    platform: tuple[str, int]
    folder: str
    seed: int
    descriptors: int
    disk_bytes: int
    known: dict[str, Any]
    settings: dict[str, str]
    management: tuple[str, int] | None = None  # the address for management calls; None: there is none

    def fields_needing_restart(self, other: "Assignment") -> list[str]:
        """The names of the fields that differ in another configuration and take effect only at a start."""
        return [
            name
            for name in ("name", "listen", "settings", "seed", "known", "management")
            if getattr(self, name) != getattr(other, name)
        ]


def read_assignment(environment: Mapping[str, str]) -> Assignment:
    """Read the assignment that the environment names; raises `AssignmentError`, in one line, where it is wrong."""
    path = environment.get("RELAY_CONFIG", "")
    if not path:
        raise AssignmentError("RELAY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, ValueError) as error:
        raise AssignmentError(f"{path}: {error}") from None
    folder = environment.get("RELAY_STATE", "")
    if not os.path.isdir(folder):
        raise AssignmentError(f"RELAY_STATE is no folder: {folder!r}")
    try:
        limits = document.get("limits", {})
        made = Assignment(
            name=str(environment.get("RELAY_NAME") or document["name"]),
            listen=parse_address(environment.get("RELAY_LISTEN") or document["listen"]),
            # The file wins: it may be replaced while the process runs, the variable keeps its value from the start.
            platform=parse_address(document.get("discovery") or environment.get("RELAY_DISCOVERY") or ""),
            folder=folder,
            seed=int(document["seed"], 16),
            descriptors=int(limits["sockets"]),
            disk_bytes=int(float(limits["disk_mb"]) * (1 << 20)),
            known=dict(document.get("known") or {}),
            settings=flatten_settings(document["settings"]),
            # Here the variable wins: a replacing process gets the same file, but needs an address of its own.
            management=parse_address(manage)
            if (manage := environment.get("RELAY_MANAGEMENT") or document.get("management"))
            else None,
        )
    except KeyError as error:
        raise AssignmentError(f"{path}: {error.args[0]} is missing") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise AssignmentError(f"{path}: {error}") from None
    if "classes.count" not in made.settings:
        raise AssignmentError(f"{path}: the settings name no classes")
    try:
        setting_rules.check(made.settings)
    except setting_rules.SettingError as error:
        raise AssignmentError(f"{path}: settings.{error}") from None
    return made


def parse_address(text: str) -> tuple[str, int]:
    """Host and port of `host:port`; `ValueError` where the text is no address."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdecimal() and 0 < int(port) < 1 << 16):
        raise ValueError(f"no address: {text!r}")
    return host.strip("[]"), int(port)


def flatten_settings(settings: Any, path: str = "") -> dict[str, str]:
    """Flatten nested settings to a map of dotted names to text, in the form of the simulator's protocol."""
    if isinstance(settings, dict):
        found = {}
        for name, value in settings.items():
            found.update(flatten_settings(value, f"{path}.{name}" if path else name))
        return found
    if isinstance(settings, list) and any(isinstance(item, dict) for item in settings):
        found = {f"{path}.count": str(len(settings))}
        for index, item in enumerate(settings):
            found.update(flatten_settings(item, f"{path}.{index}"))
        return found
    if isinstance(settings, list):
        return {path: ",".join(setting_text(item) for item in settings)}
    return {path: setting_text(settings)}


def setting_text(value: Any) -> str:
    """One plain value as text."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def setting_index(names: list[str], name: object) -> int:
    """The index of a name in a list of the settings; the length of the list for a name that it lacks."""
    return names.index(setting_text(name)) if setting_text(name) in names else len(names)
