"""Each row of the glossary names files that exist and types that stand in them."""

import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "GLOSSARY.md"
CODE_SPAN = re.compile(r"`([^`]+)`")
TYPE_NAME = re.compile(r"[A-Z][A-Za-z]+")


def rows_of(text: str) -> Iterator[list[str]]:
    """Return the cells of each row that has the four columns of a term."""
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if line.startswith("|") and len(cells) == 4 and not set(cells[0]) <= {"-"}:
            yield cells


def problems_of(text: str) -> list[str]:
    problems = []
    for term, _, bearer, where in rows_of(text):
        if term == "term":
            continue
        files = [_file_of(name) for name in CODE_SPAN.findall(where)]
        problems += [f"{term}: no file {path}" for path in files if not path.is_file()]
        source = "".join(path.read_text() for path in files if path.is_file())
        names = [name for name in CODE_SPAN.findall(bearer) if TYPE_NAME.fullmatch(name)]
        problems += [
            f"{term}: {name} isn't in {where}"
            for name in names
            if not re.search(rf"^(?:class )?{name}\b", source, re.M)
        ]
    return problems


def _file_of(name: str) -> Path:
    return ROOT / name if name.startswith("docs/") else ROOT / "src" / "finchshed" / name


def test_types_and_files_of_the_glossary_exist() -> None:
    text = PAGE.read_text()
    assert len(list(rows_of(text))) > 40
    assert problems_of(text) == []


def test_no_term_has_two_rows() -> None:
    terms = [term for row in rows_of(PAGE.read_text()) if row[0] != "term" for term in [row[0]]]
    assert len(terms) == len(set(terms))


@pytest.mark.parametrize(
    "row",
    [
        "| gate | what starts | `Gatee` | `admission/gate.py` |",
        "| gate | what starts | `Gate` | `admission/gatee.py` |",
    ],
)
def test_a_wrong_row_is_found(row: str) -> None:
    assert problems_of(row) != []
