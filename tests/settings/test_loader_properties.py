"""Arbitrary settings and declarations load or fail with one-line problems, never otherwise."""

import tempfile
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from finchshed.cli.table import PROGRAMS
from finchshed.common.errors import DeclarationError, SettingsError
from finchshed.configuration.declarations import read_declarations
from finchshed.settings.loader import load

KEYS = sorted(
    {
        field.name
        for program in PROGRAMS.values()
        for field in msgspec.structs.fields(program.settings_type())
    }
)
TABLES = ["service", "endpoint", "policy", "operator", "routes", "elsewhere"]
DECLARED_KEYS = [
    "name",
    "service",
    "address",
    "slots",
    "importance",
    "prefix",
    "state",
    "retry_budget",
]

HOSTILE = [
    "x = " + "[" * 3_000,
    "x = 1e999",
    "x = nan",
    "x = 99999999999999999999999999",
    "x = 1979-05-27T07:32:00Z",
    "x = '''\na\nb'''",
    '"" = 1',
    '"a\\nb" = 1',
    "[a.b.c]\nd = 1",
    "x = {a = {b = [1, {c = 2}]}}",
    "\ufeffx = 1",
    "\x00",
    "x = 1\r\nx = 2\r\n",
    "[[service]]\nname = 1\n[[service]]\nname = []",
    "[[service]]\n[[service.routes]]\nprefix = 1\n[service.routes.x]",
    "[policy]\n[policy]",
]

scalars = st.one_of(
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=12),
    st.sampled_from(["127.0.0.1:70000", "127.0.0.1:0", "n1", "a=127.0.0.1:1", "http://x"]),
)
short = st.text(max_size=4)
values = st.one_of(
    scalars, st.lists(scalars, max_size=4), st.dictionaries(st.text(max_size=4), scalars)
)


def toml_text(table: Mapping[str, Any]) -> str:
    lines = []
    for key, value in table.items():
        shown = _toml(value)
        if shown is not None:
            lines.append(f"{_quoted(key)} = {shown}")
    return "\n".join(lines)


def _quoted(text: str) -> str:
    return msgspec.json.encode(text).decode().replace("\x7f", "\\u007f")


def _toml(value: Any) -> str | None:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return _quoted(value)
    if isinstance(value, float):
        return repr(value)
    if isinstance(value, list):
        return "[" + ", ".join(filter(None, map(_toml, value))) + "]"
    if isinstance(value, dict):
        inner = (f"{_quoted(key)} = {_toml(item)}" for key, item in value.items())
        return "{" + ", ".join(inner) + "}"
    return str(value)


def check_settings(program: str, data: bytes, flags: Mapping[str, object]) -> None:
    """Check that settings load completely or fail with one line for each problem."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "s.toml"
        path.write_bytes(data)
        try:
            loaded = load(PROGRAMS[program].settings_type(), str(path), flags)
        except SettingsError as error:
            check_lines(error, str(path), "flag --")
        else:
            assert set(loaded.origins) == set(type(loaded.value).__struct_fields__)


def check_declarations(data: bytes) -> None:
    with tempfile.TemporaryDirectory() as folder:
        (Path(folder) / "d.toml").write_bytes(data)
        try:
            read_declarations(Path(folder))
        except DeclarationError as error:
            check_lines(error, "d.toml", "declarations")


def check_lines(error: SettingsError, *locations: str) -> None:
    """Check that each problem is a single line that starts with its location."""
    assert error.problems
    for problem in error.problems:
        assert problem.startswith(locations), problem
        assert len(problem.splitlines()) == 1, problem
        assert len(problem) < 2_000, problem[:200]


@given(
    st.sampled_from(sorted(PROGRAMS)),
    st.dictionaries(st.one_of(st.sampled_from(KEYS), st.text(max_size=6)), values, max_size=8),
    st.dictionaries(
        st.one_of(st.sampled_from(KEYS), st.text(max_size=6)), st.text(max_size=8), max_size=3
    ),
)
def test_any_table_of_settings(program: str, table: dict[str, Any], flags: dict[str, str]) -> None:
    check_settings(program, toml_text(table).encode("utf-8", "surrogatepass"), flags)


@given(st.sampled_from(sorted(PROGRAMS)), st.one_of(st.binary(max_size=200), st.text(max_size=200)))
def test_any_bytes_as_settings(program: str, content: bytes | str) -> None:
    data = content if isinstance(content, bytes) else content.encode("utf-8", "surrogatepass")
    check_settings(program, data, {})


@pytest.mark.parametrize("text", HOSTILE)
def test_hostile_text(text: str) -> None:
    for program in PROGRAMS:
        check_settings(program, text.encode(), {"node": text})
    check_declarations(text.encode())


@given(st.lists(st.tuples(st.sampled_from(TABLES), st.booleans(), st.data()), max_size=4))
def test_any_tables_of_declarations(tables: list[tuple[str, bool, st.DataObject]]) -> None:
    parts = []
    for name, several, data in tables:
        keys = st.one_of(st.sampled_from(DECLARED_KEYS), st.text(max_size=4))
        content = data.draw(st.dictionaries(keys, values, max_size=5))
        parts.append(f"[[{name}]]" if several else f"[{name}]")
        parts.append(toml_text(content))
    check_declarations("\n".join(parts).encode("utf-8", "surrogatepass"))


@given(st.one_of(st.binary(max_size=200), st.text(max_size=200)))
def test_any_bytes_as_declarations(content: bytes | str) -> None:
    data = content if isinstance(content, bytes) else content.encode("utf-8", "surrogatepass")
    check_declarations(data)
