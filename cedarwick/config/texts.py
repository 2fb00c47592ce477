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
    examples: list[str]  # as TOML; for a key without a default


def keys(table: type[msgspec.Struct]) -> Iterator[Key]:
    """The plain keys of a table, in the order of its type."""
    info = inspect.type_info(table)
    assert isinstance(info, inspect.StructType)
    for field in info.fields:
        described, unit, sentence = field.type, "", ""
        examples: list[str] = []
        while isinstance(described, inspect.Metadata):
            unit = (described.extra or {}).get("unit", unit)
            sentence = (described.extra_json_schema or {}).get("description", sentence)
            examples = [as_toml(each) for each in (described.extra_json_schema or {}).get("examples", [])] or examples
            described = described.type
        if field.default is not msgspec.NODEFAULT:
            default = as_toml(field.default)
        elif field.default_factory is not msgspec.NODEFAULT:
            default = as_toml(field.default_factory())
        else:
            default = ""
        yield Key(field.encode_name, type_name(described), unit, default, sentence, examples)


def tables(whole: type[msgspec.Struct]) -> Iterator[tuple[str, str, type[msgspec.Struct], bool]]:
    """The tables within a type: name, sentence, type, and whether it may come several times."""
    info = inspect.type_info(whole)
    assert isinstance(info, inspect.StructType)
    for field in info.fields:
        described = field.type
        while isinstance(described, inspect.Metadata):
            described = described.type
        described = table_of(described)
        many = isinstance(described, inspect.ListType | inspect.VarTupleType)
        if many:
            described = described.item_type  # type: ignore[attr-defined]
        if isinstance(described, inspect.StructType):
            yield field.encode_name, (described.cls.__doc__ or "").split("\n")[0], described.cls, many


def table_of(described: Any) -> Any:
    """The table of one that may be left out; any other type as it is."""
    if isinstance(described, inspect.UnionType):
        for each in described.types:
            if isinstance(each, inspect.StructType):
                return each
    return described


def type_name(described: Any) -> str:
    """A type in a reader's words."""
    described = table_of(described)
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
    made = whole()
    for name, sentence, table, _ in tables(whole):
        off = getattr(made, name) is None
        parts += ["", f"# {sentence}"]
        live = "" if off else "# "  # the whole table is commented out, or each key
        lines = [f"[{name}]", *example_keys(table, live)]
        for inner, _, inner_table, many in tables(table):
            rows = list(keys(inner_table))
            for index in range(len(rows[0].examples) if many else 1):
                lines.append(f"[[{name}.{inner}]]" if many else f"[{name}.{inner}]")
                lines += example_keys(inner_table, live, index)
        if off:
            parts.append("# Off while it is left out: to have it, take the `## ` away from the lines that you need.")
        parts += ["## " + line if off else line for line in lines]
    return "\n".join(parts) + "\n"


def example_keys(table: type[msgspec.Struct], mark: str, index: int = 0) -> Iterator[str]:
    """What a key means and its default, or one of its examples, line by line."""
    for key in keys(table):
        if not key.type.endswith("StructType"):
            unit = f", in {key.unit}" if key.unit else ""
            yield f"# {key.sentence} ({key.type}{unit})"
            yield f"{mark}{key.name} = {key.default or key.examples[index]}"


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
        for inner, inner_sentence, inner_table, inner_many in tables(table):
            parts += [
                f"#### `[[{name}.{inner}]]`" if inner_many else f"#### `{name}.{inner}`",
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


def effective(made: msgspec.Struct, given: dict[str, Any]) -> str:
    """What is in force, as TOML; each line says whether the file gave it or it is the default.

    `given` holds the plain tables of the file.
    """
    lines: list[str] = []
    for name, _, table, _ in tables(type(made)):
        held = getattr(made, name)
        if held is None:
            lines += [f"# [{name}] is off", ""]
            continue
        lines += [f"[{name}]", *effective_keys(held, given.get(name, {}))]
        for inner, _, _, _ in tables(table):
            for index, row in enumerate(getattr(held, inner)):
                lines += [f"[[{name}.{inner}]]", *effective_keys(row, given[name][inner][index])]
        lines.append("")
    return "\n".join(lines)


def effective_keys(held: msgspec.Struct, given: dict[str, Any]) -> Iterator[str]:
    for key in keys(type(held)):
        if not key.type.endswith("StructType"):
            yield f"{key.name} = {as_toml(getattr(held, key.name))}  # {'file' if key.name in given else 'default'}"
