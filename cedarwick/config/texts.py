"""Generates the example, the JSON Schema and the reference of a configuration file from its types."""

import json
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec
from msgspec import inspect


class Key(NamedTuple):
    """One key of a table, as described by its type."""

    name: str
    type: str
    unit: str
    default: str  # as TOML; empty if the key is required
    description: str
    examples: list[str]  # as TOML; for required keys


def keys(table: type[msgspec.Struct]) -> Iterator[Key]:
    """Yield the keys of a table, in the order of its type."""
    info = inspect.type_info(table)
    assert isinstance(info, inspect.StructType)
    for field in info.fields:
        field_type, unit, description = field.type, "", ""
        examples: list[str] = []
        while isinstance(field_type, inspect.Metadata):
            unit = (field_type.extra or {}).get("unit", unit)
            description = (field_type.extra_json_schema or {}).get("description", description)
            examples = [to_toml(each) for each in (field_type.extra_json_schema or {}).get("examples", [])] or examples
            field_type = field_type.type
        if field.default is not msgspec.NODEFAULT:
            default = to_toml(field.default)
        elif field.default_factory is not msgspec.NODEFAULT:
            default = to_toml(field.default_factory())
        else:
            default = ""
        yield Key(field.encode_name, type_name(field_type), unit, default, description, examples)


def tables(file_type: type[msgspec.Struct]) -> Iterator[tuple[str, str, type[msgspec.Struct], bool]]:
    """Yield the tables within a type: name, description, type, and whether it may be repeated."""
    info = inspect.type_info(file_type)
    assert isinstance(info, inspect.StructType)
    for field in info.fields:
        field_type = field.type
        while isinstance(field_type, inspect.Metadata):
            field_type = field_type.type
        field_type = unwrap_optional_table(field_type)
        repeated = isinstance(field_type, inspect.ListType | inspect.VarTupleType)
        if repeated:
            field_type = field_type.item_type  # type: ignore[attr-defined]
        if isinstance(field_type, inspect.StructType):
            yield field.encode_name, (field_type.cls.__doc__ or "").split("\n")[0], field_type.cls, repeated


def unwrap_optional_table(field_type: Any) -> Any:
    """Return the table type of an optional table; other types are returned unchanged."""
    if isinstance(field_type, inspect.UnionType):
        for each in field_type.types:
            if isinstance(each, inspect.StructType):
                return each
    return field_type


def type_name(field_type: Any) -> str:
    """Return a readable name of a type."""
    field_type = unwrap_optional_table(field_type)
    if isinstance(field_type, inspect.LiteralType):
        return " or ".join(json.dumps(value) for value in field_type.values)
    if isinstance(field_type, inspect.UnionType):
        return " or ".join(type_name(each) for each in field_type.types)
    if isinstance(field_type, inspect.TupleType):
        return "[" + ", ".join(type_name(each) for each in field_type.item_types) + "]"
    if isinstance(field_type, inspect.ListType | inspect.VarTupleType):
        return "list of " + type_name(field_type.item_type)
    if isinstance(field_type, inspect.Metadata):
        return type_name(field_type.type)
    bounds = []
    if isinstance(field_type, inspect.IntType | inspect.FloatType):
        limits = ((">=", field_type.ge), (">", field_type.gt), ("<=", field_type.le), ("<", field_type.lt))
        bounds = [f"{sign} {value:g}" for sign, value in limits if value is not None]
    words = {
        "IntType": "whole number",
        "FloatType": "number",
        "StrType": "text",
        "BoolType": "true or false",
        "NoneType": "nothing",
    }
    return " ".join([words.get(type(field_type).__name__, type(field_type).__name__), *bounds])


def to_toml(value: Any) -> str:
    """Return a default value as TOML; empty for tables and None."""
    if isinstance(value, msgspec.Struct) or value is None:
        return ""
    return json.dumps(msgspec.to_builtins(value))


def example(file_type: type[msgspec.Struct]) -> str:
    """Return an example file with every key at its default, commented out."""
    parts = ["# Every key is optional; the values shown are the defaults."]
    settings = file_type()
    for name, description, table, _ in tables(file_type):
        off = getattr(settings, name) is None
        parts += ["", f"# {description}"]
        prefix = "" if off else "# "  # comments out each key, unless the whole table is commented out below
        lines = [f"[{name}]", *example_keys(table, prefix)]
        for inner, _, inner_table, repeated in tables(table):
            rows = list(keys(inner_table))
            for index in range(len(rows[0].examples) if repeated else 1):
                lines.append(f"[[{name}.{inner}]]" if repeated else f"[{name}.{inner}]")
                lines += example_keys(inner_table, prefix, index)
        if off:
            parts.append("# Off by default; to enable it, remove the `## ` from the lines that you need.")
        parts += ["## " + line if off else line for line in lines]
    return "\n".join(parts) + "\n"


def example_keys(table: type[msgspec.Struct], prefix: str, index: int = 0) -> Iterator[str]:
    """Yield the lines of each key: its description, then its default or one of its examples."""
    for key in keys(table):
        if not key.type.endswith("StructType"):
            unit = f", in {key.unit}" if key.unit else ""
            yield f"# {key.description} ({key.type}{unit})"
            yield f"{prefix}{key.name} = {key.default or key.examples[index]}"


def schema(file_type: type[msgspec.Struct]) -> str:
    """Return the JSON Schema of a file."""
    return json.dumps(msgspec.json.schema(file_type), indent=2, sort_keys=True)


def reference(file_type: type[msgspec.Struct]) -> str:
    """Return the tables and keys of a file as Markdown."""
    parts: list[str] = []
    top = [key for key in keys(file_type) if not key.type.endswith("StructType")]
    if top:
        parts += ["Top level:", "", *markdown(top), ""]
    for name, description, table, repeated in tables(file_type):
        heading = f"[[{name}]]" if repeated else f"[{name}]"
        parts += [f"### `{heading}`", "", description, "", *markdown(list(keys(table))), ""]
        for inner, inner_description, inner_table, inner_repeated in tables(table):
            parts += [
                f"#### `[[{name}.{inner}]]`" if inner_repeated else f"#### `{name}.{inner}`",
                "",
                inner_description,
                "",
                *markdown(list(keys(inner_table))),
                "",
            ]
    return "\n".join(parts)


def markdown(rows: list[Key]) -> list[str]:
    lines = ["| key | type | unit | default | meaning |", "| --- | --- | --- | --- | --- |"]
    for key in rows:
        if not key.type.endswith("StructType"):
            default = f"`{key.default}`" if key.default else "required"
            lines.append(f"| `{key.name}` | {key.type} | {key.unit or '-'} | {default} | {key.description} |")
    return lines


def effective(settings: msgspec.Struct, given: dict[str, Any]) -> str:
    """Return the effective settings as TOML; each line says whether its value is from the file or the default.

    `given` holds the plain tables of the file.
    """
    lines: list[str] = []
    for name, _, table, _ in tables(type(settings)):
        value = getattr(settings, name)
        if value is None:
            lines += [f"# [{name}] is off", ""]
            continue
        lines += [f"[{name}]", *effective_keys(value, given.get(name, {}))]
        for inner, _, _, _ in tables(table):
            for index, row in enumerate(getattr(value, inner)):
                lines += [f"[[{name}.{inner}]]", *effective_keys(row, given[name][inner][index])]
        lines.append("")
    return "\n".join(lines)


def effective_keys(value: msgspec.Struct, given: dict[str, Any]) -> Iterator[str]:
    for key in keys(type(value)):
        if not key.type.endswith("StructType"):
            yield f"{key.name} = {to_toml(getattr(value, key.name))}  # {'file' if key.name in given else 'default'}"
