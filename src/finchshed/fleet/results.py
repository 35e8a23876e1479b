"""Formats the verdicts of fault runs as a Markdown table."""

import pathlib
from collections.abc import Iterable, Mapping

import msgspec

from finchshed.common.errors import SettingsError
from finchshed.fleet import editions
from finchshed.fleet.verdict import RunVerdict
from finchshed.proof.checks import answers, configuration, leaving, runs, sessions

VERDICT_FILE = "verdict.json"

CASE_COLUMNS: Mapping[str, str] = {
    "answers": answers.NAME,
    "refusals": runs.NAME_REFUSED,
    "keys": runs.NAME_ONCE,
    "in sessions": sessions.NAME,
    "new editions": editions.NAME,
    "changes": configuration.NAME,
    "signs": leaving.NAME_LEAVING,
    "stops": leaving.NAME_STOP,
}
"""Name of the check whose cases a column shows, by column heading."""

HEADINGS = ("deployment", "script", "processes", *CASE_COLUMNS, "load average", "result")


def read_verdicts(folder: pathlib.Path) -> list[RunVerdict]:
    """Read the verdicts of all runs below ``folder``, sorted by deployment and script.

    Raises
    ------
    SettingsError
        If there is no verdict, or one can't be read.
    """
    try:
        verdicts = [
            msgspec.json.decode(path.read_bytes(), type=RunVerdict)
            for path in folder.rglob(VERDICT_FILE)
        ]
    except (OSError, msgspec.MsgspecError) as error:
        raise SettingsError([f"{folder}: {error}"]) from error
    if not verdicts:
        raise SettingsError([f"{folder}: no {VERDICT_FILE} below it"])
    return sorted(verdicts, key=lambda verdict: (verdict.deployment, verdict.scenario))


def format_markdown(verdicts: Iterable[RunVerdict]) -> str:
    """Return a Markdown table with a row for each run."""
    rows = [HEADINGS, ("---",) * len(HEADINGS), *(_format_cells(verdict) for verdict in verdicts)]
    return "\n".join(f"| {' | '.join(row)} |" for row in rows)


def _format_cells(verdict: RunVerdict) -> tuple[str, ...]:
    cases = {check.name: check.cases for check in verdict.checks}
    return (
        verdict.deployment,
        f"`{verdict.scenario}`",
        str(verdict.processes),
        *(str(cases.get(check, 0)) for check in CASE_COLUMNS.values()),
        f"{verdict.load_average:.0f}",
        _format_result(verdict),
    )


def _format_result(verdict: RunVerdict) -> str:
    failed = [f"{check.name} ({len(check.problems)})" for check in verdict.checks if check.problems]
    return "FAILED: " + ", ".join(failed) if failed else "passed"
