"""TOML files decoded into types; every error names the file, the key and what was expected."""

import os
import re
import tomllib
from typing import Any, TypeVar

import msgspec

from cedarwick.errors import CedarwickError

# Splits a message of msgspec into what is wrong and the key path.
VALIDATION_MESSAGE = re.compile(r"^(?P<what>.*?)(?: - at `\$\.?(?P<where>.*?)`)?$", re.DOTALL)
MAX_FILE_BYTES = 1 << 20  # of a file that a person writes

Made = TypeVar("Made")


class ConfigFileError(CedarwickError):
    """A file that cannot be used; the text is one line."""

    code = "CW102"
    remedy = "correct the key that is named; `cedarwick config reference` lists all keys"


def load_toml(path: str, into: type[Made]) -> Made:
    """Read the TOML file at a path as the type `into`.

    Raises `ConfigFileError`, which names file, key path and what was expected.
    """
    return decode_tables(read_toml(path), into, path)


def read_toml(path: str) -> dict[str, Any]:
    """The plain tables of a TOML file. Raises `ConfigFileError` where it cannot be read as such."""
    try:
        if os.path.getsize(path) > MAX_FILE_BYTES:
            raise ConfigFileError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as error:
        raise ConfigFileError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigFileError(f"{path}: no TOML: {error}") from None


def decode_tables(tables: dict[str, Any], into: type[Made], path: str) -> Made:
    """Plain tables as the type `into`. Raises `ConfigFileError`, which names the path."""
    try:
        return msgspec.convert(tables, into)
    except msgspec.ValidationError as error:
        found = VALIDATION_MESSAGE.match(str(error))
        assert found is not None
        where = found["where"] or "the top"
        raise ConfigFileError(f"{path}: {where}: {found['what']}") from None
