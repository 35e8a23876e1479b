"""Writes settings as TOML.

The standard library reads TOML only. What settings hold (text, numbers, truth values, lists and
lists of tables) is written here; JSON's form of a scalar is valid TOML.
"""

import json
from collections.abc import Mapping
from typing import Any

import msgspec


def to_toml(settings: msgspec.Struct) -> str:
    """Return ``settings`` as a TOML document."""
    return table_to_toml(msgspec.to_builtins(settings))


def table_to_toml(table: Mapping[str, Any]) -> str:
    """Return a table of plain values as a TOML document, a line for each key."""
    return "".join(f"{key} = {_value(value)}\n" for key, value in table.items())


def _value(value: Any) -> str:
    if isinstance(value, Mapping):
        inner = ", ".join(f"{key} = {_value(item)}" for key, item in value.items())
        return "{ " + inner + " }"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(_value(item) for item in value) + "]"
    return json.dumps(value)
