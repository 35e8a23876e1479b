"""Describes the allowed values of a settings field, derived from its type."""

from typing import Any, get_args

import msgspec
from msgspec import inspect

from finchshed.settings.fields import GROUPED, LISTEN

UNIT_SUFFIXES = {
    "_seconds": "seconds",
    "_milliseconds": "milliseconds",
    "_ms": "milliseconds",
    "_minutes": "minutes",
    "_hours": "hours",
    "_bytes": "bytes",
    "_kilobytes": "kilobytes",
    "_megabytes": "megabytes",
}
"""Unit by field name suffix."""


def unit_of(name: str) -> str:
    """Return the unit named by the suffix of ``name``, or an empty string."""
    for suffix, unit in UNIT_SUFFIXES.items():
        if name.endswith(suffix):
            return unit
    return ""


def name_without_unit(name: str) -> str:
    """Return ``name`` without its unit suffix."""
    for suffix in UNIT_SUFFIXES:
        if name.endswith(suffix):
            return name.removesuffix(suffix)
    return name


def description_of(field_type: Any) -> str:
    """Return the description in the field's ``Meta``, or an empty string."""
    texts = [meta.description for meta in _metas(field_type) if meta.description]
    return texts[-1] if texts else ""


def is_listen_address(field_type: Any) -> bool:
    """Return whether the field is an address to which the process binds."""
    return any((meta.extra or {}).get(LISTEN) for meta in _metas(field_type))


def is_grouped_list(field_type: Any) -> bool:
    """Return whether the field is a list of ``group=value`` entries."""
    while hasattr(field_type, "__metadata__"):
        field_type = field_type.__origin__
    elements = get_args(field_type)
    return any((meta.extra or {}).get(GROUPED) for item in elements for meta in _metas(item))


def allowed_values(name: str, field_type: Any) -> str:
    """Describe the allowed values of the field ``name``."""
    titles = [meta.title for meta in _metas(field_type) if meta.title]
    if titles:
        return titles[-1]
    return _describe(_unwrap(inspect.type_info(field_type)), unit_of(name))


def _metas(field_type: Any) -> list[msgspec.Meta]:
    """Return the ``Meta`` objects around a type, innermost first."""
    return [meta for meta in getattr(field_type, "__metadata__", ()) if _is_meta(meta)]


def _is_meta(value: object) -> bool:
    return isinstance(value, msgspec.Meta)


def _unwrap(info: inspect.Type) -> inspect.Type:
    while isinstance(info, inspect.Metadata):
        info = info.type
    return info


def _describe(info: inspect.Type, unit: str) -> str:
    inner = _unwrap(info)
    unit_text = f" of {unit}" if unit else ""
    match inner:
        case inspect.BoolType():
            return "true or false"
        case inspect.IntType():
            return f"a whole number{unit_text}{_range(inner)}"
        case inspect.FloatType():
            return f"a number{unit_text}{_range(inner)}"
        case inspect.StrType():
            return _title(info) or "text in quotes" + _pattern(inner)
        case inspect.EnumType():
            return "one of " + ", ".join(str(member.value) for member in inner.cls)
        case inspect.LiteralType():
            return "one of " + ", ".join(str(value) for value in inner.values)
        case inspect.VarTupleType() | inspect.ListType():
            return f"a list, each {_title(inner.item_type) or _describe(inner.item_type, '')}"
        case inspect.UnionType():
            return " or ".join(_describe(kind, unit) for kind in inner.types)
        case inspect.NoneType():
            return "nothing"
        case _:
            return "a table"


def _title(info: inspect.Type) -> str:
    if isinstance(info, inspect.Metadata) and info.extra_json_schema:
        return str(info.extra_json_schema.get("title", ""))
    return ""


def _pattern(info: inspect.StrType) -> str:
    return f" matching {info.pattern}" if info.pattern else ""


def _range(info: inspect.IntType | inspect.FloatType) -> str:
    bounds = []
    if info.gt is not None:
        bounds.append(f"above {info.gt:g}")
    if info.ge is not None:
        bounds.append(f"from {info.ge:g}" if info.ge else "from 0")
    if info.lt is not None:
        bounds.append(f"below {info.lt:g}")
    if info.le is not None:
        bounds.append(f"up to {info.le:,}" if isinstance(info.le, int) else f"up to {info.le:g}")
    return (" " + " ".join(bounds)) if bounds else ""
