"""Pages point at files that exist, and name commands and flags that exist."""

import inspect
import re
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from finchshed.cli.table import COMMANDS, PROGRAMS, resolve, subcommands_of

ROOT = Path(__file__).parents[2]
PAGES = sorted([ROOT / "README.md", *(ROOT / "docs").rglob("*.md")])
COMMAND = re.compile(
    r"(?:^ {4}|`)(?:\S*/)?(?:python -m )?finchshed ([a-z][a-z-]*)(?: ([a-z][a-z-]*))?([^`\n]*)",
    re.M,
)
"""A command in an indented block or a code span."""


def links_of(page: Path) -> Iterator[str]:
    for target in re.findall(r"\]\(([^)#\s]+)", page.read_text()):
        if "://" not in target:
            yield target


def flags_of(name: str, sub_name: str) -> set[str] | None:
    """Return the flags of a command; None where any flag may come; raise KeyError if unknown."""
    if name in PROGRAMS:
        fields = msgspec.structs.fields(PROGRAMS[name].settings_type())
        return {"settings", "help", *(field.name for field in fields)}
    target = resolve(COMMANDS[name].target)
    subcommands = subcommands_of(target)
    function = target if subcommands is None else subcommands[sub_name]
    parameters = inspect.signature(function).parameters.values()
    if any(parameter.kind is inspect.Parameter.VAR_KEYWORD for parameter in parameters):
        return None
    names = {parameter.name for parameter in parameters}
    return {"help", *names, *(f"no{parameter}" for parameter in names)}


def problems_of(text: str) -> list[str]:
    problems = []
    for name, sub_name, rest in COMMAND.findall(text):
        try:
            allowed = flags_of(name, sub_name)
        except KeyError:
            if sub_name or name not in COMMANDS:
                problems.append(f"no such command: finchshed {name} {sub_name}")
            continue
        used = {flag.replace("-", "_") for flag in re.findall(r"(?<=\s)--([a-z][a-z_-]*)", rest)}
        if allowed is not None:
            unknown = sorted(used - allowed)
            problems += [f"no such flag: finchshed {name} {sub_name} --{flag}" for flag in unknown]
    return problems


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_of_a_page_lead_somewhere(page: Path) -> None:
    assert [target for target in links_of(page) if not (page.parent / target).exists()] == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_commands_of_a_page_exist(page: Path) -> None:
    assert problems_of(page.read_text()) == []


@pytest.mark.parametrize(
    "text",
    [
        "    finchshed demon --settings x\n",
        "    finchshed ctl aply declarations\n",
        "    finchshed ctl apply declarations --forse\n",
        "see `finchshed x` and\n`finchshed ctl statuss`",
        "    venv/bin/finchshed fleet demo --lod=2\n",
    ],
)
def test_a_wrong_command_is_found(text: str) -> None:
    assert problems_of(text) != []


PLACES = ("", "src/finchshed", "platform", "platform/finchshed_platform", "docs", "tests")
"""Folders that pages name files from."""

NAMED_PATH = re.compile(r"`((?:[a-z0-9_-]+/)+(?:[A-Za-z0-9_.-]+\.(?:py|md|toml|txt|sh|proto))?)`")
"""A folder with its slash, or a file with one folder at least, in a code span."""

MADE_BY_A_RUN = (
    "run/",
    "results/",
    "target/",
    "build/",
    "journal/",
    "declarations/",
    "records/",
    "data/",
)
"""Folders that a run, a build or an operator makes."""


def paths_missing(text: str, page: Path) -> list[str]:
    places = [page.parent, *(ROOT / place for place in PLACES)]
    return [
        path
        for path in NAMED_PATH.findall(text)
        if not path.startswith(MADE_BY_A_RUN)
        and not any((place / path).exists() for place in places)
    ]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_paths_that_a_page_names_exist(page: Path) -> None:
    assert paths_missing(page.read_text(), page) == []


def test_a_wrong_path_is_found() -> None:
    assert paths_missing("see `admission/gatee.py` and `admision/`", PAGES[0]) != []


NAMED_TEST = re.compile(r"`(tests/[a-z0-9_/]+\.py)::(\w+)`")


def missing_tests(text: str) -> list[str]:
    missing = []
    for path, name in NAMED_TEST.findall(text):
        file = ROOT / path
        if not file.is_file() or f"def {name}(" not in file.read_text():
            missing.append(f"{path}::{name}")
    return missing


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_tests_that_a_page_names_exist(page: Path) -> None:
    assert missing_tests(page.read_text()) == []


def test_a_wrong_test_is_found() -> None:
    assert missing_tests("`tests/docs/test_pages.py::test_that_is_not_there`") != []
