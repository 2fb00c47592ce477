"""Lists the exception types of the package and generates the table of `docs/errors.md` from them."""

import importlib
import inspect
import pkgutil

import cedarwick
from cedarwick.errors import CedarwickError


def exception_types() -> tuple[list[type[Exception]], list[str]]:
    """Return the exception types of all modules, and the modules skipped because a library they import is missing."""
    by_name: dict[str, type[Exception]] = {}
    skipped = []
    for module in pkgutil.walk_packages(cedarwick.__path__, "cedarwick."):
        try:
            loaded = importlib.import_module(module.name)
        except ModuleNotFoundError as error:
            if str(error.name).startswith("cedarwick"):
                raise
            skipped.append(module.name)
            continue
        for _, error_type in inspect.getmembers(loaded, inspect.isclass):
            if (
                issubclass(error_type, Exception)
                and error_type.__module__ == module.name
                and error_type is not CedarwickError
            ):
                by_name[qualified_name(error_type)] = error_type
    return list(by_name.values()), skipped


def qualified_name(error_type: type[Exception]) -> str:
    """Return module and type name, without the package."""
    return f"{error_type.__module__.removeprefix('cedarwick.')}.{error_type.__name__}"


def table_row(error: type[CedarwickError]) -> str:
    """Return the table row of an error: code, type, what happened, what to do."""
    return f"| {error.code} | `{qualified_name(error)}` | {str(error.__doc__).splitlines()[0]} | {error.remedy} |"


def table_rows() -> list[str]:
    """Return the table rows, sorted by code."""
    return sorted(
        table_row(error_type) for error_type in exception_types()[0] if issubclass(error_type, CedarwickError)
    )
