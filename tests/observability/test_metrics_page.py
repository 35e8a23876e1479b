"""The operations page lists exactly the registered metrics, and alarms use only those."""

import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "operations" / "metrics-and-alarms.md"
IMPORT_SECONDS = 60.0

SECTIONS = {"daemon": "Daemon", "control": "Control node"}
COMMON_SECTION = "Every process"

NAMES_OF_PROGRAM = """
import importlib, pkgutil, sys
from finchshed.observability import metrics_page
package = importlib.import_module(f"finchshed.{sys.argv[1]}")
for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
    importlib.import_module(module.name)
for line in metrics_page.render().decode().splitlines():
    if line.startswith("# TYPE ") and "_created " not in line:
        print(line.split()[2])
"""


def registered(program: str) -> set[str]:
    """Return the names of the metrics served by ``program``."""
    done = subprocess.run(
        [sys.executable, "-c", NAMES_OF_PROGRAM, program],
        env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        capture_output=True,
        text=True,
        timeout=IMPORT_SECONDS,
        check=True,
    )
    return set(done.stdout.split())


def section(title: str) -> str:
    found = re.search(rf"^## {title}\n(.*?)(?=^## |\Z)", PAGE.read_text(), re.M | re.S)
    assert found, f"no section {title}"
    return found.group(1)


def rows(title: str) -> set[str]:
    return set(re.findall(r"^\| `([a-z_]+)` \|", section(title), re.M))


@pytest.mark.parametrize("program", SECTIONS)
def test_the_page_lists_the_metrics_of_each_program(program: str) -> None:
    assert rows(SECTIONS[program]) | rows(COMMON_SECTION) == registered(program)


def test_no_metric_is_listed_twice() -> None:
    listed = [name for title in [*SECTIONS.values(), COMMON_SECTION] for name in rows(title)]
    assert sorted(listed) == sorted(set(listed))


def test_each_alarm_uses_an_existing_metric() -> None:
    known = set().union(*(rows(title) for title in [*SECTIONS.values(), COMMON_SECTION]))
    alarms = [line for line in section("Alarms").splitlines() if line.startswith("| ")][1:]
    assert len(alarms) > 10
    for line in alarms:
        condition = line.split("|")[1]
        used = set(re.findall(r"`((?:finchshed|process)_[a-z_]+)", condition))
        assert used <= known, line
        assert used or "scrape" in condition, line
