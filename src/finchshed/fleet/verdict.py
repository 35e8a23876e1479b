"""What a fault run showed: counts, checks and whether it passed.

Owns the form of ``verdict.json``, which stored runs have.
"""

import pathlib
from collections.abc import Mapping

import msgspec

from finchshed.fleet.path_times import PathTimes, lines_of
from finchshed.fleet.summary import Row, table_of

SHOWN_LINES = 12
"""Lines of a failed check that are printed; all are in the verdict's file."""


class Check(msgspec.Struct, frozen=True):
    """One thing that was checked, over so many cases, with a line for each that failed."""

    name: str
    cases: int
    problems: list[str]


class RunVerdict(msgspec.Struct, frozen=True):
    """Result of a fault run, as written to ``verdict.json``.

    Attributes
    ----------
    load_average
        The machine's, over the minute before the run's end.
    """

    scenario: str
    deployment: str
    seed: int
    processes: int
    acts: int
    checks: list[Check]
    load_average: float = 0.0

    @property
    def passed(self) -> bool:
        """Whether nothing that was checked failed."""
        return not any(check.problems for check in self.checks)

    def write(self, path: pathlib.Path) -> None:
        """Write the verdict as JSON."""
        path.write_bytes(msgspec.json.format(msgspec.json.encode(self), indent=1) + b"\n")


def text_of(verdict: RunVerdict, rows: list[Row], times: Mapping[str, PathTimes]) -> str:
    """Return the verdict for people."""
    lines = [table_of(rows), "", *lines_of(times), ""]
    for check in verdict.checks:
        state = "FAILED" if check.problems else "ok"
        lines.append(f"{check.name}: {state}, {check.cases} cases, {len(check.problems)} wrong")
        lines += [f"  {line}" for line in check.problems[:SHOWN_LINES]]
        left = len(check.problems) - SHOWN_LINES
        if left > 0:
            lines.append(f"  and {left} more")
    lines.append(f"{verdict.scenario}: {'passed' if verdict.passed else 'FAILED'}")
    return "\n".join(lines)
