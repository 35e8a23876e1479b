"""Converts TOML tables to structs field by field, collecting every problem instead of the first."""

from collections.abc import Mapping
from typing import Any, TypeVar

import msgspec

from finchshed.common.importance import Importance

StructT = TypeVar("StructT", bound=msgspec.Struct)

SECRET_FIELDS = frozenset({"key_sha256", "token_sha256"})
"""Fields whose values are omitted from messages: a secret may be given instead of its digest."""

IMPORTANCE_NAMES = {importance.name.lower(): importance for importance in Importance}


def convert_table(
    table: Mapping[str, Any], struct_type: type[StructT], where: str, problems: list[str]
) -> StructT | None:
    """Return ``table`` as a ``struct_type``, or None after adding to ``problems``.

    Parameters
    ----------
    where
        Location of the table in its file, used as the prefix of each problem.
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
            label = place if name in SECRET_FIELDS else f"{place} = {table[name]!r}"
            values[name] = _convert_value(table[name], field.type, label, problems)
        elif field.required:
            problems.append(f"{where}: {name}: missing, required")
    return None if len(problems) > before else struct_type(**values)


def importance_from_name(table: Mapping[str, Any], where: str, problems: list[str]) -> Any:
    """Return ``table`` with the name of an importance replaced by its enum member."""
    name = table.get("importance")
    if name is None:
        return table
    importance = IMPORTANCE_NAMES.get(name) if isinstance(name, str) else None
    if importance is None:
        allowed = ", ".join(IMPORTANCE_NAMES)
        problems.append(f"{where}: importance = {name!r}: allowed are: {allowed}")
        importance = Importance.NORMAL
    return {**table, "importance": importance}


def _convert_value(value: Any, value_type: Any, label: str, problems: list[str]) -> Any:
    try:
        return msgspec.convert(value, value_type)
    except msgspec.ValidationError as error:
        problems.append(f"{label}: {error}")
        return None
