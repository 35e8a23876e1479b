"""Loads a program's settings from a TOML file and flags, and reports all problems at once.

A process starts only if its settings are valid.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Generic, TypeVar, get_origin

import msgspec

from finchshed.common.errors import SettingsError
from finchshed.settings import describe
from finchshed.settings.hints import hint_for
from finchshed.settings.toml_file import read_toml

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)


class Source(enum.StrEnum):
    """Kind of source of a value."""

    DEFAULT = "default"
    FILE = "file"
    FLAG = "flag"


@dataclass(frozen=True, slots=True)
class Origin:
    """Source of a field's value; ``place`` is the file path or flag, empty for a default."""

    source: Source
    place: str = ""

    def __str__(self) -> str:
        """Return the origin for display."""
        return f"{self.source} {self.place}".strip()


@dataclass(frozen=True, slots=True)
class LoadedSettings(Generic[SettingsT]):
    """Validated settings and the origin of each field's value."""

    value: SettingsT
    origins: Mapping[str, Origin]


@dataclass(frozen=True, slots=True)
class _RawValue:
    """A value from a file or flag before validation."""

    value: object
    origin: Origin

    def problem(self, key: str, message: str) -> str:
        where = f"flag --{key}" if self.origin.source is Source.FLAG else self.origin.place
        text = self.value if self.origin.source is Source.FLAG else _toml_text(self.value)
        return f"{where}: {key} = {text}: {message}"

    def wrong_value(self, key: str, allowed: str) -> str:
        return self.problem(key, f"allowed is {allowed}")


def load(
    struct_type: type[SettingsT], path: str | None, flags: Mapping[str, object]
) -> LoadedSettings[SettingsT]:
    """Load the settings file at ``path``, override it with ``flags`` and validate the result.

    Parameters
    ----------
    struct_type
        Flat msgspec struct of the program's settings.
    path
        TOML file, or None to use flags only.
    flags
        Values by field name; dashes in names are equivalent to underscores. Strings are parsed
        like command-line arguments: decimal numbers, comma-separated lists.

    Raises
    ------
    SettingsError
        Contains one line for each problem in the file and the flags.
    """
    fields = {field.name: field for field in msgspec.structs.fields(struct_type)}
    problems: list[str] = []
    from_file = _from_file(path, fields, problems)
    from_flags = _from_flags(flags, fields, problems)
    values = _validated_values(fields, from_file, problems)
    values.update(_validated_values(fields, from_flags, problems))
    given = {**from_file, **from_flags}
    source = path or "settings"
    problems += _missing(fields, given, source)
    problems += _duplicate_listen_addresses(fields, values, given)
    if problems:
        raise SettingsError(problems)
    settings = struct_type(**values)
    problems += _file_problems(settings, given, source)
    if problems:
        raise SettingsError(problems)
    origins = {
        name: given[name].origin if name in given else Origin(Source.DEFAULT) for name in fields
    }
    return LoadedSettings(value=settings, origins=origins)


def _from_file(
    path: str | None, fields: Mapping[str, Any], problems: list[str]
) -> dict[str, _RawValue]:
    if path is None:
        return {}
    table, syntax_problems = read_toml(Path(path))
    problems += syntax_problems
    for key, value in table.items():
        if key not in fields:
            item = _RawValue(value, Origin(Source.FILE, path))
            problems.append(item.problem(key, f"no such key{hint_for(key, fields)}"))
    return {
        key: _RawValue(value, Origin(Source.FILE, path))
        for key, value in table.items()
        if key in fields
    }


def _from_flags(
    flags: Mapping[str, object], fields: Mapping[str, Any], problems: list[str]
) -> dict[str, _RawValue]:
    given = {}
    for flag, value in flags.items():
        key = flag.replace("-", "_")
        if key in fields:
            given[key] = _RawValue(value, Origin(Source.FLAG, f"--{key}"))
        else:
            problems.append(f"flag --{flag}: no such flag{hint_for(key, fields)}")
    return given


def _validated_values(
    fields: Mapping[str, Any], given: Mapping[str, _RawValue], problems: list[str]
) -> dict[str, Any]:
    values = {}
    for key, item in given.items():
        field_type = fields[key].type
        is_flag = item.origin.source is Source.FLAG
        raw = _split_list(item.value, field_type) if is_flag else item.value
        try:
            value = msgspec.convert(raw, field_type, strict=not is_flag)
        except msgspec.ValidationError as error:
            allowed = describe.allowed_values(key, field_type)
            problems.append(item.wrong_value(key, allowed + _invalid_entry(error)))
            continue
        repeated = _repeated_elements(value, describe.is_grouped_list(field_type))
        if repeated:
            problems.append(item.wrong_value(key, f"each entry once; twice here: {repeated}"))
            continue
        values[key] = value
    return values


def _invalid_entry(error: msgspec.ValidationError) -> str:
    """Return which list entry is invalid, extracted from msgspec's error message."""
    _, found, path = str(error).partition(" - at `$[")
    return f" (wrong at entry [{path.rstrip('`')})" if found else ""


def _split_list(value: object, field_type: Any) -> object:
    """Split the text of a flag if the field is a list."""
    while hasattr(field_type, "__metadata__"):
        field_type = field_type.__origin__
    if get_origin(field_type) not in {tuple, list}:
        return str(value) if isinstance(value, bool | int | float) else value
    if isinstance(value, str):
        return [part.strip() for part in value.split(",") if part.strip()]
    return value


def _repeated_elements(value: object, is_grouped: bool) -> str:
    """Return the duplicate entries of a list, comma-separated.

    ``name=value`` entries are compared by name, ``group=value`` entries by value.
    """
    if not isinstance(value, tuple | list):
        return ""
    if is_grouped:
        names = [str(entry).rpartition("=")[2] for entry in value]
    else:
        names = [str(entry).partition("=")[0] for entry in value]
    return ", ".join(sorted({name for name in names if names.count(name) > 1}))


def _missing(fields: Mapping[str, Any], given: Mapping[str, _RawValue], source: str) -> list[str]:
    return [
        f"{source}: {name} is missing: allowed is {describe.allowed_values(name, field.type)}"
        for name, field in fields.items()
        if field.required and name not in given
    ]


def _duplicate_listen_addresses(
    fields: Mapping[str, Any], values: Mapping[str, Any], given: Mapping[str, _RawValue]
) -> list[str]:
    problems = []
    first_by_address: dict[str, str] = {}
    for name, value in values.items():
        if not value or str(value).endswith(":0"):
            continue
        if not describe.is_listen_address(fields[name].type):
            continue
        first = first_by_address.setdefault(value, name)
        if first != name:
            problems.append(given[name].wrong_value(name, f"an address other than that of {first}"))
    return problems


def _file_problems(
    settings: msgspec.Struct, given: Mapping[str, _RawValue], source: str
) -> list[str]:
    """Return problems with files named in the settings, if the struct checks for them."""
    check = getattr(settings, "file_problems", None)
    if check is None:
        return []
    found: Mapping[str, str] = check()
    return [
        given[name].problem(name, message) if name in given else f"{source}: {name}: {message}"
        for name, message in found.items()
    ]


def _toml_text(value: object) -> str:
    """Return ``value`` in TOML syntax."""
    return msgspec.json.encode(value, enc_hook=str).decode()
