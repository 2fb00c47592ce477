"""Every exception type of the package, and the table of `docs/errors.md` as the types have it."""

import importlib
import inspect
import pkgutil

import cedarwick
from cedarwick.errors import CedarwickError


def types() -> tuple[list[type[Exception]], list[str]]:
    """The exception types of all modules, and the modules that were left out since a library of theirs is missing."""
    found: dict[str, type[Exception]] = {}
    left_out = []
    for module in pkgutil.walk_packages(cedarwick.__path__, "cedarwick."):
        try:
            loaded = importlib.import_module(module.name)
        except ModuleNotFoundError as error:
            if str(error.name).startswith("cedarwick"):
                raise
            left_out.append(module.name)
            continue
        for _, each in inspect.getmembers(loaded, inspect.isclass):
            if issubclass(each, Exception) and each.__module__ == module.name and each is not CedarwickError:
                found[name(each)] = each
    return list(found.values()), left_out


def name(each: type[Exception]) -> str:
    """Module and type, without the package."""
    return f"{each.__module__.removeprefix('cedarwick.')}.{each.__name__}"


def row(each: type[CedarwickError]) -> str:
    """A type's line of the table: code, type, what happened, what to do."""
    return f"| {each.code} | `{name(each)}` | {str(each.__doc__).splitlines()[0]} | {each.remedy} |"


def rows() -> list[str]:
    """The table, by code."""
    return sorted(row(each) for each in types()[0] if issubclass(each, CedarwickError))
