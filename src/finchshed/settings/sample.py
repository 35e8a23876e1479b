"""Generates sample settings files that document every option."""

import textwrap
from typing import Any

import msgspec

from finchshed.settings import describe

_WIDTH = 96


def sample_of(program: str, settings_type: type[msgspec.Struct]) -> str:
    """Return a sample settings file for ``program``.

    Required options have an empty placeholder value; others are commented out with their
    defaults.
    """
    parts = [
        f"# Settings of finchshed {program}: one flat table. A flag of the same name goes over",
        f"# the file: finchshed {program} --settings FILE --option=value",
        "",
    ]
    fields = msgspec.structs.fields(settings_type)
    for field in sorted(fields, key=lambda item: not item.required):
        parts += [*_comment(field), _assignment(field), ""]
    return "\n".join(parts)


def _comment(field: msgspec.structs.FieldInfo) -> list[str]:
    texts = [describe.description_of(field.type)]
    texts.append(f"Allowed: {describe.allowed_values(field.name, field.type)}.")
    return [f"# {line}" for text in texts for line in textwrap.wrap(text, _WIDTH)]


def _assignment(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return f"{field.name} = {_placeholder(field.type)}  # required"
    return f"# {field.name} = {toml_value(field.default)}"


def _placeholder(field_type: Any) -> str:
    bare = field_type
    while hasattr(bare, "__metadata__"):
        bare = bare.__origin__
    return '""' if bare is str else "[]"


def toml_value(value: object) -> str:
    """Return ``value`` in TOML syntax; JSON scalars and lists of scalars are valid TOML."""
    return msgspec.json.encode(value, enc_hook=str).decode()
