"""Tells a type as text: names as written, kinds, bounds and defaults, and no name of Python's."""

import re
from typing import Any

import msgspec
from msgspec import inspect

_BOUNDS = ("gt", "ge", "lt", "le", "min_length", "max_length", "pattern")

_WHOLE_BOUND = re.compile(r"\b(gt|ge|lt|le)=(-?\d+)\.0(?= |,|$)")
"""A bound that is a whole number, written as a float."""


def shape_of(value_type: Any) -> str:
    """Return a line for each struct and field that ``value_type`` reaches, each struct once."""
    return "\n".join([*_Shape().lines("", inspect.type_info(value_type)), ""])


def lines_to_compare(text: str) -> list[str]:
    """Return the lines of a shape with whole bounds written one way.

    ``Annotated`` keeps one of two equal types, so whether 0 or 0.0 stands in a bound depends on
    which module was imported first. Both bound the same values.
    """
    return [_WHOLE_BOUND.sub(r"\1=\2", line) for line in text.splitlines()]


class _Shape:
    """Remembers where each struct was told of."""

    def __init__(self) -> None:
        self._told: dict[type, str] = {}

    def lines(self, path: str, info: Any) -> list[str]:
        """Return the lines of the structs below ``path``."""
        lines: list[str] = []
        for struct in _structs_in(info):
            place = f"{path}/{struct.tag}" if struct.tag is not None else path
            first = self._told.setdefault(struct.cls, place or "/")
            if first != (place or "/"):
                lines.append(f"{place} is that of {first}")
                continue
            lines.append(f"{place or '/'} {_traits(struct)}")
            for field in struct.fields:
                lines.append(f"{place}.{field.encode_name} {_kind(field.type)}{_default(field)}")
                lines += self.lines(f"{place}.{field.encode_name}", field.type)
        return lines


def _structs_in(info: Any) -> list[inspect.StructType]:
    match info:
        case inspect.StructType():
            return [info]
        case inspect.Metadata():
            return _structs_in(info.type)
        case inspect.UnionType():
            found = [struct for kind in info.types for struct in _structs_in(kind)]
            return sorted(found, key=lambda struct: str(struct.tag))
        case inspect.VarTupleType() | inspect.ListType():
            return _structs_in(info.item_type)
        case inspect.TupleType():
            return [struct for item in info.item_types for struct in _structs_in(item)]
        case inspect.DictType():
            return _structs_in(info.value_type)
    return []


def _traits(struct: inspect.StructType) -> str:
    settings = struct.cls.__struct_config__
    traits = {
        "array": struct.array_like,
        "omits defaults": settings.omit_defaults,
        "refuses unknown fields": struct.forbid_unknown_fields,
        f"tag field {struct.tag_field}": struct.tag_field is not None,
    }
    return ", ".join(name for name, holds in traits.items() if holds) or "object"


def _kind(info: Any) -> str:
    match info:
        case inspect.Metadata():
            return _kind(info.type)
        case inspect.StructType():
            return "object" if info.tag is None else f"object {info.tag}"
        case inspect.EnumType():
            return "one of " + " ".join(sorted(str(member.value) for member in info.cls))
        case inspect.UnionType():
            return " or ".join(sorted(_kind(kind) for kind in info.types))
        case inspect.VarTupleType() | inspect.ListType():
            return f"list{_bounds(info)} of ({_kind(info.item_type)})"
        case inspect.TupleType():
            return "list of (" + ", ".join(_kind(item) for item in info.item_types) + ")"
        case inspect.DictType():
            return f"table from ({_kind(info.key_type)}) to ({_kind(info.value_type)})"
    return type(info).__name__.removesuffix("Type").lower() + _bounds(info)


def _bounds(info: Any) -> str:
    found = {name: getattr(info, name, None) for name in _BOUNDS}
    return "".join(f" {name}={value}" for name, value in found.items() if value is not None)


def _default(field: inspect.Field) -> str:
    if field.required:
        return ", required"
    value = field.default
    if value is msgspec.NODEFAULT and field.default_factory is msgspec.NODEFAULT:
        return ", default left out"
    if value is msgspec.NODEFAULT:
        value = field.default_factory()
    return f", default {msgspec.json.encode(value).decode()}"
