"""Every exception type of the package, and the table of `docs/errors.md` as the types have it."""

import importlib
import inspect
import pkgutil

import cedarwick
from cedarwick.errors import CedarwickError


def exception_types() -> tuple[list[type[Exception]], list[str]]:
    """The exception types of all modules, and the modules that were left out since a library of theirs is missing."""
    by_name: dict[str, type[Exception]] = {}
    left_out = []
    for module in pkgutil.walk_packages(cedarwick.__path__, "cedarwick."):
        try:
            loaded = importlib.import_module(module.name)
        except ModuleNotFoundError as error:
            if str(error.name).startswith("cedarwick"):
                raise
            left_out.append(module.name)
            continue
        for _, error_type in inspect.getmembers(loaded, inspect.isclass):
            if (
                issubclass(error_type, Exception)
                and error_type.__module__ == module.name
                and error_type is not CedarwickError
            ):
                by_name[qualified_name(error_type)] = error_type
    return list(by_name.values()), left_out


def qualified_name(error_type: type[Exception]) -> str:
    """Module and type, without the package."""
    return f"{error_type.__module__.removeprefix('cedarwick.')}.{error_type.__name__}"


def table_row(error: type[CedarwickError]) -> str:
    """A type's line of the table: code, type, what happened, what to do."""
    return f"| {error.code} | `{qualified_name(error)}` | {str(error.__doc__).splitlines()[0]} | {error.remedy} |"


def table_rows() -> list[str]:
    """The table, by code."""
    return sorted(
        table_row(error_type) for error_type in exception_types()[0] if issubclass(error_type, CedarwickError)
    )
