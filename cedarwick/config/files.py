"""Decodes TOML files into types; every error names the file, the key and the expected value."""

import os
import re
import tomllib
from typing import Any, TypeVar

import msgspec

from cedarwick.errors import CedarwickError

# Splits an error message of msgspec into the problem and the key path.
VALIDATION_MESSAGE = re.compile(r"^(?P<what>.*?)(?: - at `\$\.?(?P<where>.*?)`)?$", re.DOTALL)
MAX_FILE_BYTES = 1 << 20  # of a TOML file

Made = TypeVar("Made")


class ConfigFileError(CedarwickError):
    """An invalid configuration file; the text is one line."""

    code = "CW102"
    remedy = "correct the named key; `cedarwick config reference` lists all keys"


def load_toml(path: str, into: type[Made]) -> Made:
    """Read a TOML file and decode it into the type `into`.

    Raises `ConfigFileError`, which names the file, the key path and the expected value.
    """
    return decode_tables(read_toml(path), into, path)


def read_toml(path: str) -> dict[str, Any]:
    """Read a TOML file into plain tables. Raises `ConfigFileError` if it cannot be read or parsed."""
    try:
        if os.path.getsize(path) > MAX_FILE_BYTES:
            raise ConfigFileError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as error:
        raise ConfigFileError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigFileError(f"{path}: invalid TOML: {error}") from None


def decode_tables(tables: dict[str, Any], into: type[Made], path: str) -> Made:
    """Decode plain tables into the type `into`. Raises `ConfigFileError`, which names the file and the key path."""
    try:
        return msgspec.convert(tables, into)
    except msgspec.ValidationError as error:
        found = VALIDATION_MESSAGE.match(str(error))
        assert found is not None
        where = found["where"] or "top level"
        raise ConfigFileError(f"{path}: {where}: {found['what']}") from None
