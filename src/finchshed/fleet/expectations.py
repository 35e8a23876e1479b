"""Checks callers' outcomes against the expectations of a scenario."""

from collections.abc import Iterable, Sequence

from finchshed.fleet.scenario import Expectation
from finchshed.fleet.summary import Row

ALL = "*"


def find_unmet_expectations(expectations: Iterable[Expectation], rows: Sequence[Row]) -> list[str]:
    """Return a line for each bound that the counts violate."""
    lines: list[str] = []
    for expectation in expectations:
        matching = [row for row in rows if _matches(expectation, row)]
        lines += _find_violated_bounds(expectation, matching)
    return lines


def _matches(expectation: Expectation, row: Row) -> bool:
    return expectation.load in {ALL, row.load} and expectation.phase in {ALL, row.phase}


def _find_violated_bounds(expectation: Expectation, rows: Sequence[Row]) -> list[str]:
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
