"""Checks one table field by field, so that all of its problems are found at once."""

from collections.abc import Mapping
from typing import Any, TypeVar

import msgspec

from finchshed.common.importance import Importance

StructT = TypeVar("StructT", bound=msgspec.Struct)

SECRET_FIELDS = frozenset({"key_sha256", "token_sha256"})
"""Fields in which a key may stand by mistake where its digest belongs: never shown."""

IMPORTANCE_NAMES = {importance.name.lower(): importance for importance in Importance}


def convert_table(
    table: Mapping[str, Any], struct_type: type[StructT], where: str, problems: list[str]
) -> StructT | None:
    """Return ``table`` as a ``struct_type``, or None after adding to ``problems``.

    Parameters
    ----------
    where
        File and place in it, put in front of each problem.
    """
    before = len(problems)
    fields = {field.name: field for field in msgspec.structs.fields(struct_type)}
    allowed = ", ".join(fields)
    for key in table:
        if key not in fields:
            problems.append(f"{where}: {key}: no such key, allowed are: {allowed}")
    values: dict[str, Any] = {}
    for name, field in fields.items():
        if name in table:
            place = f"{where}: {name}"
            shown = place if name in SECRET_FIELDS else f"{place} = {table[name]!r}"
            values[name] = _convert_value(table[name], field.type, shown, problems)
        elif field.required:
            problems.append(f"{where}: {name}: missing, required")
    return None if len(problems) > before else struct_type(**values)


def importance_from_name(table: Mapping[str, Any], where: str, problems: list[str]) -> Any:
    """Return ``table`` with the name of an importance replaced by its value."""
    name = table.get("importance")
    if name is None:
        return table
    importance = IMPORTANCE_NAMES.get(name) if isinstance(name, str) else None
    if importance is None:
        allowed = ", ".join(IMPORTANCE_NAMES)
        problems.append(f"{where}: importance = {name!r}: allowed are: {allowed}")
        importance = Importance.NORMAL
    return {**table, "importance": importance}


def _convert_value(value: Any, value_type: Any, shown: str, problems: list[str]) -> Any:
    try:
        return msgspec.convert(value, value_type)
    except msgspec.ValidationError as error:
        problems.append(f"{shown}: {error}")
        return None
