"""Figures of the control plane: points, the lines through them, tables."""

from collections.abc import Sequence

import msgspec
import numpy as np

from finchshed.bench.process_usage import MachineLoad


class LoadPoint(msgspec.Struct, frozen=True):
    """The ledger under one load; each operation is a begin and a complete.

    Attributes
    ----------
    leader_microseconds, follower_microseconds
        Processor time of one node for one operation, less that of an idle node.
    granted
        Operations whose begin was granted; the others were refused.
    """

    operations_per_second: float
    operations: int
    granted: int
    begin_p50_ms: float
    begin_p99_ms: float
    complete_p50_ms: float
    complete_p99_ms: float
    leader_microseconds: float
    follower_microseconds: float
    load: MachineLoad


class Point(msgspec.Struct, frozen=True):
    """One measured value at one size."""

    size: int
    value: float


class Fit(msgspec.Struct, frozen=True):
    """Least squares line; ``residual`` is the largest distance of a point from it."""

    intercept: float
    slope: float
    residual: float


class Series(msgspec.Struct, frozen=True):
    """Points and the line through them."""

    what: str
    points: tuple[Point, ...]
    fit: Fit
    load: MachineLoad


class ControlPlaneReport(msgspec.Struct, frozen=True):
    """All that was measured."""

    voters: int
    ledger: tuple[LoadPoint, ...]
    series: tuple[Series, ...]


def fit(points: Sequence[Point]) -> Fit:
    """Return the line through ``points``."""
    sizes = np.array([point.size for point in points], dtype=float)
    values = np.array([point.value for point in points], dtype=float)
    slope, intercept = np.polyfit(sizes, values, 1)
    residual = np.abs(values - (slope * sizes + intercept)).max()
    return Fit(float(intercept), float(slope), float(residual))


def report_lines(report: ControlPlaneReport) -> list[str]:
    """Return the figures as tables for people."""
    lines = [
        "begin+complete/s  granted  begin p50/p99 ms  complete p50/p99 ms  "
        "leader us  follower us  busy cores"
    ]
    for point in report.ledger:
        lines.append(
            f"{point.operations_per_second:>16.0f}  {point.granted}/{point.operations}"
            f"  {point.begin_p50_ms:.2f}/{point.begin_p99_ms:.2f}"
            f"  {point.complete_p50_ms:.2f}/{point.complete_p99_ms:.2f}"
            f"  {point.leader_microseconds:.0f}  {point.follower_microseconds:.0f}"
            f"  {point.load.busy_cores}/{point.load.cores}"
        )
    for series in report.series:
        values = ", ".join(f"{point.size}: {point.value:.4g}" for point in series.points)
        line = series.fit
        lines.append(
            f"{series.what}: {values}; {line.intercept:.4g} + {line.slope:.4g} a piece, "
            f"residual {line.residual:.3g}; {series.load.busy_cores} cores busy"
        )
    return lines
