"""Summarizes the outcomes of callers' requests by phase and load."""

import collections
from collections.abc import Iterable, Sequence

import msgspec

from finchshed.standins.records import CallerOutcome, CallerRecord

HEADINGS = (
    "phase",
    "load",
    "sent",
    "answered",
    "refused",
    "failed",
    "retried",
    "attempts",
    "p50 ms",
    "p99 ms",
)


class Row(msgspec.Struct, kw_only=True):
    """Counts of one load in one phase.

    Attributes
    ----------
    retried
        Requests, other than downloads, with more than one attempt.
    wrong
        Requests with an invalid response.
    """

    phase: str
    load: str
    sent: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    retried: int = 0
    attempts: int = 0
    wrong: int = 0
    latencies: list[float] = msgspec.field(default_factory=list)

    def add(self, record: CallerRecord) -> None:
        """Add one request to the counts."""
        self.sent += 1
        self.attempts += len(record.attempts)
        self.retried += len(record.attempts) > 1 and not record.session
        self.wrong += bool(record.problem)
        if record.outcome is CallerOutcome.ANSWERED:
            self.answered += 1
            self.latencies.append(record.ended - record.begun)
        elif record.outcome is CallerOutcome.REFUSED:
            self.refused += 1
        else:
            self.failed += 1

    def cells(self) -> tuple[str, ...]:
        """Return the row's cells in the order of the headings."""
        counts = (
            self.sent,
            self.answered,
            self.refused,
            self.failed,
            self.retried,
            self.attempts,
        )
        latencies = (percentile(self.latencies, 0.5), percentile(self.latencies, 0.99))
        return (
            self.phase,
            self.load,
            *(str(count) for count in counts),
            *(f"{latency * 1000:.0f}" for latency in latencies),
        )


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the value below which ``fraction`` of ``values`` lie, or 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def summarize_records(records: Iterable[CallerRecord]) -> list[Row]:
    """Return the counts by load and phase, with phases in order of appearance."""
    rows: dict[tuple[str, str], Row] = {}
    phases: dict[str, int] = collections.defaultdict(lambda: len(phases))
    for record in records:
        phases[record.phase]
        key = (record.phase, record.load)
        if key not in rows:
            rows[key] = Row(phase=record.phase, load=record.load)
        rows[key].add(record)
    return sorted(rows.values(), key=lambda row: (phases[row.phase], row.load))


def format_table(rows: Sequence[Row]) -> str:
    """Return the counts as an aligned text table."""
    lines = [HEADINGS, *(row.cells() for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(HEADINGS))]
    texts = []
    for line in lines:
        cells = [
            cell.ljust(width) if column < 2 else cell.rjust(width)
            for column, (cell, width) in enumerate(zip(line, widths, strict=True))
        ]
        texts.append("  ".join(cells).rstrip())
    return "\n".join(texts)


def wrong_answers(records: Iterable[CallerRecord]) -> list[str]:
    """Return a line for each request with a response that was incomplete or not its own."""
    return [f"{record.request}: {record.problem}" for record in records if record.problem]
