"""Results gathered by deployment, demand and control scheme."""

from collections import defaultdict
from typing import Final

import numpy as np
from hdrh.histogram import HdrHistogram
from numpy.typing import NDArray

from finchshed.bench.results import RunRecord
from finchshed.bench.series import TIMELINE_STEP_SECONDS, new_histogram
from finchshed.emulator.run import CONTROLS

Cell = tuple[str, float]
"""Deployment and demand."""

Figures = NDArray[np.float64]

CONTROL_ORDER: Final = {name: number for number, name in enumerate(CONTROLS)}


class Groups:
    """Runs by cell and control scheme."""

    def __init__(self, records: list[RunRecord]) -> None:
        self.records = records
        self._runs: dict[Cell, dict[str, list[RunRecord]]] = defaultdict(lambda: defaultdict(list))
        for record in records:
            self._runs[(record.deployment, record.demand)][record.control].append(record)

    @property
    def deployments(self) -> list[str]:
        """Deployments, by name."""
        return sorted({deployment for deployment, _ in self._runs})

    @property
    def demands(self) -> list[float]:
        """Demands, from low to high."""
        return sorted({demand for _, demand in self._runs})

    def controls(self, cell: Cell) -> dict[str, list[RunRecord]]:
        """Return the runs of a cell by control scheme, in the schemes' order."""
        runs = self._runs.get(cell, {})
        return dict(sorted(runs.items(), key=lambda item: CONTROL_ORDER.get(item[0], 99)))


def goodput(records: list[RunRecord]) -> Figures:
    """Return whole answers a second, one row a run and one column a step of time."""
    rows = [
        np.sum([counts for counts in record.measures.timeline.values()], axis=0)
        for record in records
    ]
    return _stacked(rows) / TIMELINE_STEP_SECONDS


def goodput_of_kind(records: list[RunRecord], kind: str) -> Figures:
    """Return whole answers of one kind a second, one row a run."""
    rows = [np.array(record.measures.timeline.get(kind, [0])) for record in records]
    return _stacked(rows) / TIMELINE_STEP_SECONDS


def repeats(records: list[RunRecord]) -> Figures:
    """Return requests sent again a second, by clients and further down, one row a run."""
    rows = [
        np.array(record.measures.client_repeats) + np.array(record.measures.inner_repeats)
        for record in records
        if record.measures.client_repeats
    ]
    return _stacked(rows) / TIMELINE_STEP_SECONDS


def kinds_of(records: list[RunRecord]) -> list[str]:
    """Return the kinds of requests in any of the runs."""
    return sorted({kind for record in records for kind in record.measures.timeline})


def merged_latencies(records: list[RunRecord]) -> HdrHistogram:
    """Return one histogram, of microseconds, over all kinds and runs."""
    merged = new_histogram()
    for record in records:
        for encoded in record.measures.latency_histograms.values():
            merged.decode_and_add(encoded)
    return merged


def _stacked(rows: list[NDArray[np.int_]]) -> Figures:
    if not rows:
        return np.zeros((0, 0))
    length = max(len(row) for row in rows)
    return np.array([np.pad(row, (0, length - len(row))) for row in rows], dtype=float)
