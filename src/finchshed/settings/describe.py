"""Says in words what a settings field allows, from its type."""

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
"""Endings of field names that name a unit."""


def unit_of(name: str) -> str:
    """Return the unit that ``name`` ends in, or an empty string."""
    for suffix, unit in UNIT_SUFFIXES.items():
        if name.endswith(suffix):
            return unit
    return ""


def name_without_unit(name: str) -> str:
    """Return ``name`` without its unit."""
    for suffix in UNIT_SUFFIXES:
        if name.endswith(suffix):
            return name.removesuffix(suffix)
    return name


def description_of(field_type: Any) -> str:
    """Return the description in the field's ``Meta``, or an empty string."""
    texts = [meta.description for meta in _metas(field_type) if meta.description]
    return texts[-1] if texts else ""


def is_listen_address(field_type: Any) -> bool:
    """Return whether the field is an address that the process binds."""
    return any((meta.extra or {}).get(LISTEN) for meta in _metas(field_type))


def is_grouped_list(field_type: Any) -> bool:
    """Return whether the field is a list of ``group=value`` entries."""
    while hasattr(field_type, "__metadata__"):
        field_type = field_type.__origin__
    elements = get_args(field_type)
    return any((meta.extra or {}).get(GROUPED) for item in elements for meta in _metas(item))


def allowed_values(name: str, field_type: Any) -> str:
    """Return in words what the field called ``name`` may hold."""
    titles = [meta.title for meta in _metas(field_type) if meta.title]
    if titles:
        return titles[-1]
    return _words(_bare(inspect.type_info(field_type)), unit_of(name))


def _metas(field_type: Any) -> list[msgspec.Meta]:
    """Return the ``Meta`` objects around a type, innermost first."""
    return [meta for meta in getattr(field_type, "__metadata__", ()) if _is_meta(meta)]


def _is_meta(value: object) -> bool:
    return isinstance(value, msgspec.Meta)


def _bare(info: inspect.Type) -> inspect.Type:
    while isinstance(info, inspect.Metadata):
        info = info.type
    return info


def _words(info: inspect.Type, unit: str) -> str:
    info_bare = _bare(info)
    of_unit = f" of {unit}" if unit else ""
    match info_bare:
        case inspect.BoolType():
            return "true or false"
        case inspect.IntType():
            return f"a whole number{of_unit}{_range(info_bare)}"
        case inspect.FloatType():
            return f"a number{of_unit}{_range(info_bare)}"
        case inspect.StrType():
            return _title(info) or "text in quotes" + _pattern(info_bare)
        case inspect.EnumType():
            return "one of " + ", ".join(str(member.value) for member in info_bare.cls)
        case inspect.LiteralType():
            return "one of " + ", ".join(str(value) for value in info_bare.values)
        case inspect.VarTupleType() | inspect.ListType():
            return f"a list, each {_title(info_bare.item_type) or _words(info_bare.item_type, '')}"
        case inspect.UnionType():
            return " or ".join(_words(kind, unit) for kind in info_bare.types)
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
