"""Writes settings as TOML, which the standard library can only read.

Supports strings, numbers, booleans, lists and tables. Scalars are written as JSON, which is also
valid TOML.
"""

import json
from collections.abc import Mapping
from typing import Any

import msgspec


def to_toml(settings: msgspec.Struct) -> str:
    """Return ``settings`` as a TOML document."""
    return table_to_toml(msgspec.to_builtins(settings))


def table_to_toml(table: Mapping[str, Any]) -> str:
    """Return a table of built-in values as a TOML document with one line per key."""
    return "".join(f"{key} = {_format_value(value)}\n" for key, value in table.items())


def _format_value(value: Any) -> str:
    if isinstance(value, Mapping):
        inner = ", ".join(f"{key} = {_format_value(item)}" for key, item in value.items())
        return "{ " + inner + " }"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(_format_value(item) for item in value) + "]"
    return json.dumps(value)
