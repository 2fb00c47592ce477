"""The assignment: the configuration of one sender process, read from a JSON file and `RELAY_` variables.

The process calls `read_assignment` at start-up and again on SIGHUP.
"""

import json
import math
import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from cedarwick.decisions import setting_rules
from cedarwick.errors import CedarwickError


class AssignmentError(CedarwickError):
    """The configuration of the sender is invalid."""

    code = "CW101"
    remedy = "correct the file or the RELAY_ variable that the text names, then start the sender again"


@dataclass(frozen=True)
class Assignment:
    """One configuration: name, addresses, limits, the last known endpoint list, and the flattened settings."""

    name: str
    listen: tuple[str, int]
    platform: tuple[str, int]
    folder: str
    seed: int
    descriptors: int
    disk_bytes: int
    known: dict[str, Any]
    settings: dict[str, str]
    management: tuple[str, int] | None = None  # address of the management server; None: no server is started
    memory_bytes: int = 0  # limit of the memory of the process; 0: none is given

    def fields_needing_restart(self, other: "Assignment") -> list[str]:
        """Return the names of the fields that differ in another configuration and need a restart to take effect."""
        return [
            name
            for name in ("name", "listen", "settings", "seed", "known", "management", "memory_bytes")
            if getattr(self, name) != getattr(other, name)
        ]


def read_assignment(environment: Mapping[str, str]) -> Assignment:
    """Read the assignment that the environment names; raises `AssignmentError` if it is invalid."""
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
        raise AssignmentError(f"RELAY_STATE is not a folder: {folder!r}")
    try:
        limits = document.get("limits", {})
        assignment = Assignment(
            name=str(environment.get("RELAY_NAME") or document["name"]),
            listen=parse_address(environment.get("RELAY_LISTEN") or document["listen"]),
            # The file takes precedence: it can change while the process runs, but the variable cannot.
            platform=parse_address(document.get("discovery") or environment.get("RELAY_DISCOVERY") or ""),
            folder=folder,
            seed=int(document["seed"], 16),
            descriptors=int(limits["sockets"]),
            disk_bytes=int(float(limits["disk_mb"]) * (1 << 20)),
            known=dict(document.get("known") or {}),
            settings=flatten_settings(document["settings"]),
            # The variable takes precedence: a replacing process reads the same file but needs its own address.
            management=parse_address(management_address)
            if (management_address := environment.get("RELAY_MANAGEMENT") or document.get("management"))
            else None,
            memory_bytes=memory_limit(limits.get("memory_mb", 0)),
        )
    except KeyError as error:
        raise AssignmentError(f"{path}: {error.args[0]} is missing") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise AssignmentError(f"{path}: {error}") from None
    if "classes.count" not in assignment.settings:
        raise AssignmentError(f"{path}: the settings have no priority classes")
    try:
        setting_rules.check(assignment.settings)
    except setting_rules.SettingError as error:
        raise AssignmentError(f"{path}: settings.{error}") from None
    return assignment


def memory_limit(megabytes: Any) -> int:
    """Return the memory limit in bytes, 0 for none; raises `ValueError` if it is not a finite number from 0 on."""
    number = float(megabytes)
    if not math.isfinite(number) or number < 0:
        raise ValueError(f"limits.memory_mb is not a finite number from 0 on: {megabytes!r}")
    return int(number * (1 << 20))


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of `host:port`; raises `ValueError` if the text is not an address."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdecimal() and 0 < int(port) < 1 << 16):
        raise ValueError(f"expected host:port, got {text!r}")
    return host.strip("[]"), int(port)


def flatten_settings(settings: Any, path: str = "") -> dict[str, str]:
    """Flatten nested settings to a map from dotted names to text, the form that the simulator's protocol uses."""
    if isinstance(settings, dict):
        flat = {}
        for name, value in settings.items():
            flat.update(flatten_settings(value, f"{path}.{name}" if path else name))
        return flat
    if isinstance(settings, list) and any(isinstance(item, dict) for item in settings):
        flat = {f"{path}.count": str(len(settings))}
        for index, item in enumerate(settings):
            flat.update(flatten_settings(item, f"{path}.{index}"))
        return flat
    if isinstance(settings, list):
        return {path: ",".join(setting_text(item) for item in settings)}
    return {path: setting_text(settings)}


def setting_text(value: Any) -> str:
    """Return the text of one scalar value; spaces and commas become underscores."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def setting_index(names: list[str], name: object) -> int:
    """Return the index of a name in a list from the settings; the length of the list if the name is not in it."""
    return names.index(setting_text(name)) if setting_text(name) in names else len(names)
