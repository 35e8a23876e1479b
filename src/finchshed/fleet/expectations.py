"""Judges what a scenario states of its callers' outcomes, besides what always holds."""

from collections.abc import Iterable, Sequence

from finchshed.fleet.scenario import Expectation
from finchshed.fleet.summary import Row

ALL = "*"


def unmet(expectations: Iterable[Expectation], rows: Sequence[Row]) -> list[str]:
    """Return a line for each bound that the counts don't keep."""
    lines: list[str] = []
    for expectation in expectations:
        chosen = [row for row in rows if _concerns(expectation, row)]
        lines += _unmet(expectation, chosen)
    return lines


def _concerns(expectation: Expectation, row: Row) -> bool:
    return expectation.load in {ALL, row.load} and expectation.phase in {ALL, row.phase}


def _unmet(expectation: Expectation, rows: Sequence[Row]) -> list[str]:
    where = f"load {expectation.load}, phase {expectation.phase}"
    sent = sum(row.sent for row in rows)
    if not sent:
        return [f"{where}: nothing was sent"]
    answered = sum(row.answered for row in rows) / sent
    refused = sum(row.refused for row in rows)
    failed = sum(row.failed for row in rows)
    attempts = sum(row.attempts for row in rows) / sent
    lines = []
    if answered < expectation.answered_at_least:
        lines.append(f"answered {answered:.4f}, at least {expectation.answered_at_least:g}")
    if refused > expectation.refused_at_most:
        lines.append(f"refused {refused}, at most {expectation.refused_at_most}")
    if failed > expectation.failed_at_most:
        lines.append(f"failed {failed}, at most {expectation.failed_at_most}")
    if attempts > expectation.attempts_mean_at_most:
        limit = expectation.attempts_mean_at_most
        lines.append(f"attempts per request {attempts:.2f}, at most {limit:g}")
    return [f"{where}: {line} (of {sent} sent)" for line in lines]
