"""No module imports itself over others: a reader finds an order in which to read them."""

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
SOURCES = (ROOT / "src", ROOT / "platform")


def imports_of(text: str, known: set[str]) -> set[str]:
    """Return the modules that a source imports anywhere, for types alone too."""
    found = set()
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
            found.update(f"{node.module}.{alias.name}" for alias in node.names)
    return found & known


def sources() -> dict[str, str]:
    found = {}
    for base in SOURCES:
        for path in sorted(base.rglob("*.py")):
            if "generated" not in path.parts and "egg-info" not in str(path):
                parts = path.relative_to(base).with_suffix("").parts
                found[".".join(parts).removesuffix(".__init__")] = path.read_text()
    return found


def circle_in(texts: dict[str, str]) -> list[str]:
    known = set(texts)
    graph = {name: imports_of(text, known) - {name} for name, text in texts.items()}
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        return list(error.args[1])
    return []


def test_modules_import_each_other_one_way_only() -> None:
    texts = sources()
    assert len(texts) > 300
    assert circle_in(texts) == []


@pytest.mark.parametrize("second", ["import a\n", "def f():\n    from a import g\n"])
def test_a_circle_is_found(second: str) -> None:
    assert set(circle_in({"a": "import b\n", "b": second})) == {"a", "b"}
