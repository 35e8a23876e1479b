"""Each reason of a refusal or failure has its row, which names all modules that give it."""

import ast
import re
from collections import defaultdict
from collections.abc import Iterator
from enum import StrEnum
from pathlib import Path

import pytest

from finchshed.common.outcomes import FailureReason, RefusalReason

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "DECISIONS.md"
SOURCE = ROOT / "src" / "finchshed"
CODE_SPAN = re.compile(r"`([^`]+)`")

MEANS_OF_PROOF = {"bench", "emulator", "fleet", "proof", "replay", "report", "standins"}
"""Packages that no program of a deployment runs: what refuses there is a model."""

SECTIONS = [("Refusals", RefusalReason), ("Failures", FailureReason)]


def section_of(text: str, heading: str) -> str:
    found = re.search(rf"^## {heading}\b.*?$(.*?)(?=^## |\Z)", text, re.M | re.S)
    assert found is not None, heading
    return found[1]


def rows_of(text: str) -> Iterator[list[str]]:
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if line.startswith("| `"):
            yield cells


def made_in(source: str, enum: type[StrEnum]) -> set[str]:
    """Return the members that functions of a module make: not those that they only compare with.

    Members outside functions are in maps and sets, such as of statuses.
    """
    functions = (ast.FunctionDef, ast.AsyncFunctionDef)
    tree = ast.walk(ast.parse(source))
    nodes = [inner for node in tree if isinstance(node, functions) for inner in ast.walk(node)]
    comparisons = [node for node in nodes if isinstance(node, ast.Compare)]
    compared = {part for node in comparisons for part in (node.left, *node.comparators)}
    return {
        enum[node.attr].value
        for node in nodes
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id == enum.__name__
        and node not in compared
    }


def makers_of(enum: type[StrEnum]) -> dict[str, set[str]]:
    """Return the modules that make each reason."""
    makers: dict[str, set[str]] = defaultdict(set)
    for path in SOURCE.rglob("*.py"):
        name = path.relative_to(SOURCE).as_posix()
        if name.split("/")[0] in MEANS_OF_PROOF:
            continue
        for reason in made_in(path.read_text(), enum):
            makers[reason].add(name)
    return makers


def problems_of(text: str, heading: str, enum: type[StrEnum]) -> list[str]:
    problems = []
    makers = makers_of(enum)
    named: dict[str, set[str]] = {}
    for cells in rows_of(section_of(text, heading)):
        reason = CODE_SPAN.findall(cells[0])[0]
        if reason in named:
            problems.append(f"{reason} has two rows")
        named[reason] = set(CODE_SPAN.findall(cells[1]))
        if "" in cells:
            problems.append(f"{reason} has an empty cell")
    for reason in {*named, *(member.value for member in enum)}:
        listed, real = named.get(reason, set()), makers.get(reason, set())
        problems += [f"{reason}: {module} doesn't give it" for module in sorted(listed - real)]
        problems += [f"{reason}: {module} isn't named" for module in sorted(real - listed)]
        if not listed:
            problems.append(f"{reason} has no row")
    return problems


@pytest.mark.parametrize(("heading", "enum"), SECTIONS)
def test_each_reason_has_its_row_and_its_modules(heading: str, enum: type[StrEnum]) -> None:
    assert problems_of(PAGE.read_text(), heading, enum) == []


def test_modules_of_choices_exist() -> None:
    choices = section_of(PAGE.read_text(), "Choices")
    modules = {name for name in CODE_SPAN.findall(choices) if re.fullmatch(r"\w+/\S+\.py", name)}
    assert len(modules) > 15
    missing = {m for m in modules if not (SOURCE / m).is_file() and not (ROOT / m).is_file()}
    assert missing == set()


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("| `no_backend` | `routing/table.py` |", "| `no_backend` | `routing/pool.py` |"),
        ("| `suspects_wait` | `daemon/serving/callee.py` |", "| `suspect_waits` | `x.py` |"),
        ("`admission/gate.py`, `routing/table.py`, `http/connection.py`", "`admission/gate.py`"),
    ],
)
def test_a_wrong_row_is_found(old: str, new: str) -> None:
    text = PAGE.read_text()
    assert old in text
    assert problems_of(text.replace(old, new), "Refusals", RefusalReason) != []


def test_a_reason_that_is_only_looked_at_isn_t_made() -> None:
    source = "def f(x):\n    return x is RefusalReason.DRAINING\nA = {RefusalReason.OVERLOAD: 1}\n"
    assert made_in(source, RefusalReason) == set()
    made = "def f():\n    return RefusalReason.DRAINING\n"
    assert made_in(made, RefusalReason) == {"draining"}
