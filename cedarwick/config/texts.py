"""Example, JSON Schema and reference made from the types of a file: no key is described twice."""

import json
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec
from msgspec import inspect


class Key(NamedTuple):
    """One key of a table as its type describes it."""

    name: str
    type: str
    unit: str
    default: str  # as TOML; empty where the key must be given
    sentence: str


def keys(table: type[msgspec.Struct]) -> Iterator[Key]:
    """The plain keys of a table, in the order of its type."""
    info = inspect.type_info(table)
    assert isinstance(info, inspect.StructType)
    for field in info.fields:
        described, unit, sentence = field.type, "", ""
        while isinstance(described, inspect.Metadata):
            unit = (described.extra or {}).get("unit", unit)
            sentence = (described.extra_json_schema or {}).get("description", sentence)
            described = described.type
        if field.default is not msgspec.NODEFAULT:
            default = as_toml(field.default)
        elif field.default_factory is not msgspec.NODEFAULT:
            default = as_toml(field.default_factory())
        else:
            default = ""
        yield Key(field.encode_name, type_name(described), unit, default, sentence)


def tables(whole: type[msgspec.Struct]) -> Iterator[tuple[str, str, type[msgspec.Struct], bool]]:
    """The tables within a type: name, sentence, type, and whether it may come several times."""
    info = inspect.type_info(whole)
    assert isinstance(info, inspect.StructType)
    for field in info.fields:
        described = field.type
        while isinstance(described, inspect.Metadata):
            described = described.type
        many = isinstance(described, inspect.ListType | inspect.VarTupleType)
        if many:
            described = described.item_type  # type: ignore[attr-defined]
        if isinstance(described, inspect.StructType):
            yield field.encode_name, (described.cls.__doc__ or "").split("\n")[0], described.cls, many


def type_name(described: Any) -> str:
    """A type in a reader's words."""
    if isinstance(described, inspect.LiteralType):
        return " or ".join(json.dumps(value) for value in described.values)
    if isinstance(described, inspect.UnionType):
        return " or ".join(type_name(each) for each in described.types)
    if isinstance(described, inspect.TupleType):
        return "[" + ", ".join(type_name(each) for each in described.item_types) + "]"
    if isinstance(described, inspect.ListType | inspect.VarTupleType):
        return "list of " + type_name(described.item_type)
    if isinstance(described, inspect.Metadata):
        return type_name(described.type)
    bounds = []
    if isinstance(described, inspect.IntType | inspect.FloatType):
        pairs = ((">=", described.ge), (">", described.gt), ("<=", described.le), ("<", described.lt))
        bounds = [f"{sign} {value:g}" for sign, value in pairs if value is not None]
    words = {
        "IntType": "whole number",
        "FloatType": "number",
        "StrType": "text",
        "BoolType": "true or false",
        "NoneType": "nothing",
    }
    return " ".join([words.get(type(described).__name__, type(described).__name__), *bounds])


def as_toml(value: Any) -> str:
    """A plain default as TOML writes it; empty for what has no plain form."""
    if isinstance(value, msgspec.Struct) or value is None:
        return ""
    return json.dumps(msgspec.to_builtins(value))


def example(whole: type[msgspec.Struct]) -> str:
    """A file in which every key stands with its default, commented out."""
    parts = ["# Every key is optional; what stands here is its default."]
    for name, sentence, table, _ in tables(whole):
        parts += ["", f"# {sentence}", f"[{name}]"]
        for key in keys(table):
            unit = f", in {key.unit}" if key.unit else ""
            parts += [f"# {key.sentence} ({key.type}{unit})", f"# {key.name} = {key.default}"]
    return "\n".join(parts) + "\n"


def schema(whole: type[msgspec.Struct]) -> str:
    """The JSON Schema of a file."""
    return json.dumps(msgspec.json.schema(whole), indent=2, sort_keys=True)


def reference(whole: type[msgspec.Struct]) -> str:
    """The tables and keys of a file as Markdown."""
    parts: list[str] = []
    top = [key for key in keys(whole) if not key.type.endswith("StructType")]
    if top:
        parts += ["Top of the file:", "", *markdown(top), ""]
    for name, sentence, table, many in tables(whole):
        heading = f"[[{name}]]" if many else f"[{name}]"
        parts += [f"### `{heading}`", "", sentence, "", *markdown(list(keys(table))), ""]
        for inner, inner_sentence, inner_table, _ in tables(table):
            parts += [
                f"#### `{name}.{inner}`",
                "",
                inner_sentence,
                "",
                *markdown(list(keys(inner_table))),
                "",
            ]
    return "\n".join(parts)


def markdown(rows: list[Key]) -> list[str]:
    lines = ["| key | type | unit | default | meaning |", "| --- | --- | --- | --- | --- |"]
    for key in rows:
        if not key.type.endswith("StructType"):
            default = f"`{key.default}`" if key.default else "must be given"
            lines.append(f"| `{key.name}` | {key.type} | {key.unit or '-'} | {default} | {key.sentence} |")
    return lines


def effective(made: msgspec.Struct, told: dict[str, Any]) -> str:
    """What is in force, as TOML; each line says whether the file gave it."""
    lines: list[str] = []
    for name, _, table, _ in tables(type(made)):
        lines.append(f"[{name}]")
        held = getattr(made, name)
        for key in keys(table):
            source = "file" if key.name in told.get(name, {}) else "default"
            lines.append(f"{key.name} = {as_toml(getattr(held, key.name))}  # {source}")
        lines.append("")
    return "\n".join(lines)
