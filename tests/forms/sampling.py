"""Makes fixed values of any type that msgspec reads, from what the type says of itself.

Values depend on names as written and on bounds only, never on names of Python classes or fields.
"""

import re
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec
from msgspec import inspect

_WHOLE_NUMBERS = (7, 70_001, 300, 1, 2, 0)
_NUMBERS = (2.75, 0.5, 30.125, 0.0)
_TEXTS = (
    "10.1.2.3:7001",
    "/part/of-a_path",
    "host.example/part",
    "0123456789abcdef" * 4,
)


class Sampler:
    """Makes values with every field set to something else than its default, or with defaults."""

    def __init__(self, *, is_full: bool) -> None:
        self._is_full = is_full

    def values(self, value_type: Any) -> list[Any]:
        """Return values of ``value_type``: each tag, and if full each member of enumerations."""
        return self._of(inspect.type_info(value_type), "value", inspect.UNSET)

    def _of(self, info: Any, name: str, default: Any) -> list[Any]:
        """Return values that differ from ``default``; ``name`` is that of the field as written."""
        match info:
            case inspect.Metadata():
                return self._of(info.type, name, default)
            case inspect.StructType():
                return list(self._structs(info))
            case inspect.UnionType():
                return self._of_union(info, name, default)
            case inspect.EnumType():
                members = sorted(info.cls, key=lambda member: member.value)
                members = [member for member in members if member != default]
                return members if self._is_full else members[:1]
            case inspect.NoneType():
                return [None]
            case inspect.BoolType():
                return [default is not True] if self._is_full else [False]
            case inspect.BytesType():
                return [b"\x00\xff" + name.encode() if self._is_full else b""]
            case inspect.StrType() | inspect.IntType() | inspect.FloatType():
                return [self._plain(info, name, default)]
            case inspect.VarTupleType() | inspect.ListType() | inspect.TupleType():
                return [self._of_sequence(info, name)]
            case inspect.DictType():
                return [self._of_mapping(info, name)]
        raise TypeError(f"{name}: no sample of {info}")

    def _structs(self, info: inspect.StructType) -> Iterator[Any]:
        """Return as many values as the field with most has, so that each of them is in one."""
        fields: dict[str, list[Any]] = {}
        for field in info.fields:
            if field.required or self._is_full:
                default = _default_of(field)
                fields[field.name] = self._of(field.type, field.encode_name, default)
        for place in range(max([1, *map(len, fields.values())])):
            chosen = {name: found[place % len(found)] for name, found in fields.items()}
            yield info.cls(**chosen)

    def _of_union(self, info: inspect.UnionType, name: str, default: Any) -> list[Any]:
        kinds = [kind for kind in info.types if not isinstance(kind, inspect.NoneType)]
        if len(kinds) < len(info.types) and not self._is_full:
            return [None]
        kinds.sort(key=tag_of)
        return [value for kind in kinds for value in self._of(kind, name, default)]

    def _of_sequence(self, info: Any, name: str) -> Any:
        if isinstance(info, inspect.TupleType):
            return tuple(self._of(item, name, inspect.UNSET)[0] for item in info.item_types)
        values = self._of(info.item_type, name, inspect.UNSET)
        if not self._is_full:
            values = values[: info.min_length or 0]
        values = values[: info.max_length]
        return values if isinstance(info, inspect.ListType) else tuple(values)

    def _of_mapping(self, info: inspect.DictType, name: str) -> dict[Any, Any]:
        if not self._is_full:
            return {}
        (key,) = self._of(info.key_type, name, inspect.UNSET)
        values = self._of(info.value_type, name, inspect.UNSET)
        if isinstance(key, str):
            return {f"{key}{place}": value for place, value in enumerate(values)}
        return {key + place: value for place, value in enumerate(values)}

    def _plain(self, info: Any, name: str, default: Any) -> Any:
        for value in self._candidates(info, name):
            if value != default and _is_allowed(value, info):
                return value
        raise TypeError(f"{name}: no sample of {info}")

    def _candidates(self, info: Any, name: str) -> Iterable[Any]:
        if isinstance(info, inspect.StrType):
            named = f"{name.replace('_', '-')}-1"
            rich = [f'{name} é "1"'] if info.pattern is None else []
            return [*([] if self._is_full else [""]), *rich, named, *_TEXTS]
        found: tuple[float, ...]
        found = _NUMBERS if isinstance(info, inspect.FloatType) else _WHOLE_NUMBERS
        return found if self._is_full else found[::-1]


def tag_of(info: Any) -> str:
    """Return the tag of a struct type, or its kind for others."""
    tag = getattr(info, "tag", None)
    return str(tag) if tag is not None else type(info).__name__


def tags_of(value_type: Any) -> list[str]:
    """Return the sorted tags that a tagged union takes; none of other types."""
    info = inspect.type_info(value_type)
    kinds = info.types if isinstance(info, inspect.UnionType) else (info,)
    return sorted(str(kind.tag) for kind in kinds if getattr(kind, "tag", None) is not None)


def lines_of(value_type: Any, write: Any) -> bytes:
    """Return the lines of all samples, full ones first, each once."""
    values = [*Sampler(is_full=True).values(value_type), *Sampler(is_full=False).values(value_type)]
    return b"".join(dict.fromkeys(write(value) for value in values))


def _default_of(field: inspect.Field) -> Any:
    if field.default is not msgspec.NODEFAULT:
        return field.default
    if field.default_factory is not msgspec.NODEFAULT:
        return field.default_factory()
    return inspect.UNSET


def _is_allowed(value: Any, info: Any) -> bool:
    if isinstance(info, inspect.StrType):
        fits = info.pattern is None or re.search(info.pattern, value) is not None
        size = len(value)
        return fits and (info.min_length or 0) <= size <= (info.max_length or size)
    is_above = (info.ge is None or value >= info.ge) and (info.gt is None or value > info.gt)
    is_below = (info.le is None or value <= info.le) and (info.lt is None or value < info.lt)
    return is_above and is_below
