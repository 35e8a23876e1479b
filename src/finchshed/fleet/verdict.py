"""Verdict of a fault run and the format of ``verdict.json``."""

import pathlib
from collections.abc import Mapping

import msgspec

from finchshed.fleet.path_times import PathTimes, format_path_times
from finchshed.fleet.summary import Row, format_table

MAX_PRINTED_PROBLEMS = 12
"""Maximum number of printed problems per check; the file has all of them."""


class Check(msgspec.Struct, frozen=True):
    """Result of one check: the number of cases and a line for each problem."""

    name: str
    cases: int
    problems: list[str]


class RunVerdict(msgspec.Struct, frozen=True):
    """Result of a fault run, as written to ``verdict.json``.

    Attributes
    ----------
    load_average
        One-minute load average of the machine at the end of the run.
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
        """Whether no check found a problem."""
        return not any(check.problems for check in self.checks)

    def write(self, path: pathlib.Path) -> None:
        """Write the verdict as JSON."""
        path.write_bytes(msgspec.json.format(msgspec.json.encode(self), indent=1) + b"\n")


def format_verdict(verdict: RunVerdict, rows: list[Row], times: Mapping[str, PathTimes]) -> str:
    """Return the verdict as text for the terminal."""
    lines = [format_table(rows), "", *format_path_times(times), ""]
    for check in verdict.checks:
        state = "FAILED" if check.problems else "ok"
        lines.append(f"{check.name}: {state}, {check.cases} cases, {len(check.problems)} wrong")
        lines += [f"  {line}" for line in check.problems[:MAX_PRINTED_PROBLEMS]]
        omitted = len(check.problems) - MAX_PRINTED_PROBLEMS
        if omitted > 0:
            lines.append(f"  and {omitted} more")
    lines.append(f"{verdict.scenario}: {'passed' if verdict.passed else 'FAILED'}")
    return "\n".join(lines)
