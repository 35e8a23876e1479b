"""Lengths of time that promises hang on are counted by the clock that goes on in a suspension."""

import ast

from tests.architecture.decision_modules import SOURCE

PACKAGES = (
    "consensus",
    "control",
    "daemon",
    "directory",
    "distribution",
    "http",
    "ledger",
    "limit",
    "quota",
    "routing",
    "session",
    "storage",
    "tenancy",
)
STOPPING_CLOCKS = frozenset({"monotonic", "monotonic_ns", "perf_counter"})


def test_no_part_of_the_product_counts_by_a_clock_that_stops_while_the_machine_does() -> None:
    found = []
    for package in PACKAGES:
        for path in sorted((SOURCE / "finchshed" / package).rglob("*.py")):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                if isinstance(node, ast.Attribute) and node.attr in STOPPING_CLOCKS:
                    found.append(f"{path.relative_to(SOURCE)}:{node.lineno}: {node.attr}")
    assert found == []
