"""Loads a program's settings from a TOML file and flags, and reports every problem at once.

Owns no state; a process starts only with settings that have no problem.
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
    """Where a value came from."""

    DEFAULT = "default"
    FILE = "file"
    FLAG = "flag"


@dataclass(frozen=True, slots=True)
class Origin:
    """Source of one field's value; ``place`` is the file's path or the flag, empty for defaults."""

    source: Source
    place: str = ""

    def __str__(self) -> str:
        """Return the origin as it is shown to a person."""
        return f"{self.source} {self.place}".strip()


@dataclass(frozen=True, slots=True)
class LoadedSettings(Generic[SettingsT]):
    """Checked settings and, by field name, where each value came from."""

    value: SettingsT
    origins: Mapping[str, Origin]


@dataclass(frozen=True, slots=True)
class _Given:
    """A value as given, before it is checked."""

    value: object
    origin: Origin

    def problem(self, key: str, words: str) -> str:
        where = f"flag --{key}" if self.origin.source is Source.FLAG else self.origin.place
        shown = self.value if self.origin.source is Source.FLAG else _toml_text(self.value)
        return f"{where}: {key} = {shown}: {words}"

    def wrong_value(self, key: str, allowed: str) -> str:
        return self.problem(key, f"allowed is {allowed}")


def load(
    struct_type: type[SettingsT], path: str | None, flags: Mapping[str, object]
) -> LoadedSettings[SettingsT]:
    """Read the settings file at ``path``, put ``flags`` over it and check the whole.

    Parameters
    ----------
    struct_type
        Flat msgspec struct of the program's settings.
    path
        TOML file, or None for none.
    flags
        Values by field name; a dash in a name stands for an underscore. Text is taken as the
        command line gives it: numbers in digits, lists separated by commas.

    Raises
    ------
    SettingsError
        One line for each problem found, in the file and the flags together.
    """
    fields = {field.name: field for field in msgspec.structs.fields(struct_type)}
    problems: list[str] = []
    from_file = _from_file(path, fields, problems)
    from_flags = _from_flags(flags, fields, problems)
    values = _checked_values(fields, from_file, problems)
    values.update(_checked_values(fields, from_flags, problems))
    given = {**from_file, **from_flags}
    source = path or "settings"
    problems += _missing(fields, given, source)
    problems += _same_listen_address(fields, values, given)
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
) -> dict[str, _Given]:
    if path is None:
        return {}
    table, syntax_problems = read_toml(Path(path))
    problems += syntax_problems
    for key, value in table.items():
        if key not in fields:
            item = _Given(value, Origin(Source.FILE, path))
            problems.append(item.problem(key, f"no such key{hint_for(key, fields)}"))
    return {
        key: _Given(value, Origin(Source.FILE, path))
        for key, value in table.items()
        if key in fields
    }


def _from_flags(
    flags: Mapping[str, object], fields: Mapping[str, Any], problems: list[str]
) -> dict[str, _Given]:
    given = {}
    for flag, value in flags.items():
        key = flag.replace("-", "_")
        if key in fields:
            given[key] = _Given(value, Origin(Source.FLAG, f"--{key}"))
        else:
            problems.append(f"flag --{flag}: no such flag{hint_for(key, fields)}")
    return given


def _checked_values(
    fields: Mapping[str, Any], given: Mapping[str, _Given], problems: list[str]
) -> dict[str, Any]:
    values = {}
    for key, item in given.items():
        field_type = fields[key].type
        is_flag = item.origin.source is Source.FLAG
        raw = _split_list(item.value, field_type) if is_flag else item.value
        try:
            value = msgspec.convert(raw, field_type, strict=not is_flag)
        except msgspec.ValidationError as error:
            words = describe.allowed_values(key, field_type)
            problems.append(item.wrong_value(key, words + _element(error)))
            continue
        repeated = _repeated_elements(value, describe.is_grouped_list(field_type))
        if repeated:
            problems.append(item.wrong_value(key, f"each entry once; twice here: {repeated}"))
            continue
        values[key] = value
    return values


def _element(error: msgspec.ValidationError) -> str:
    """Return which entry of a list is wrong, from msgspec's message."""
    _, found, place = str(error).partition(" - at `$[")
    return f" (wrong at entry [{place.rstrip('`')})" if found else ""


def _split_list(value: object, field_type: Any) -> object:
    """Split a flag's text where the field is a list."""
    while hasattr(field_type, "__metadata__"):
        field_type = field_type.__origin__
    if get_origin(field_type) not in {tuple, list}:
        return str(value) if isinstance(value, bool | int | float) else value
    if isinstance(value, str):
        return [part.strip() for part in value.split(",") if part.strip()]
    return value


def _repeated_elements(value: object, is_grouped: bool) -> str:
    """Return the entries of a list that stand twice.

    ``name=value`` entries go by their name, ``group=value`` entries by their value.
    """
    if not isinstance(value, tuple | list):
        return ""
    if is_grouped:
        names = [str(entry).rpartition("=")[2] for entry in value]
    else:
        names = [str(entry).partition("=")[0] for entry in value]
    return ", ".join(sorted({name for name in names if names.count(name) > 1}))


def _missing(fields: Mapping[str, Any], given: Mapping[str, _Given], source: str) -> list[str]:
    return [
        f"{source}: {name} is missing: allowed is {describe.allowed_values(name, field.type)}"
        for name, field in fields.items()
        if field.required and name not in given
    ]


def _same_listen_address(
    fields: Mapping[str, Any], values: Mapping[str, Any], given: Mapping[str, _Given]
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


def _file_problems(settings: msgspec.Struct, given: Mapping[str, _Given], source: str) -> list[str]:
    """Return what is wrong with files that settings name, where the struct checks them."""
    check = getattr(settings, "file_problems", None)
    if check is None:
        return []
    found: Mapping[str, str] = check()
    return [
        given[name].problem(name, words) if name in given else f"{source}: {name}: {words}"
        for name, words in found.items()
    ]


def _toml_text(value: object) -> str:
    """Return ``value`` as it would stand in a TOML file."""
    return msgspec.json.encode(value, enc_hook=str).decode()
