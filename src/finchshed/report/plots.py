"""Plots of an experiment: one figure a question, deployments in rows and demands in columns."""

import io
import math
from collections.abc import Callable
from typing import Final

import matplotlib as mpl
import numpy as np

mpl.use("Agg")

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from finchshed.bench.experiment import Experiment
from finchshed.bench.results import RunRecord
from finchshed.bench.series import MICROSECONDS, TIMELINE_STEP_SECONDS
from finchshed.emulator.presets import PRESETS
from finchshed.report.groups import (
    Cell,
    Figures,
    Groups,
    goodput,
    goodput_of_kind,
    kinds_of,
    merged_latencies,
    repeats,
)

COLOURS: Final = {
    "finchshed": "#0072b2",
    "none": "#d55e00",
    "fixed-retries": "#cc79a7",
    "static-limit": "#009e73",
}
KIND_COLOURS: Final = ("#0072b2", "#e69f00", "#009e73", "#d55e00", "#cc79a7", "#56b4e9")
OTHER_COLOUR: Final = "#555555"
WIDTH_INCHES: Final = 4.6
HEIGHT_INCHES: Final = 3.2
DOTS_PER_INCH: Final = 100
PERCENTILES: Final = (*range(1, 100), 99.5, 99.9, 99.99)

Draw = Callable[[Axes, Cell], None]


class Plots:
    """Draws the figures of one file of results.

    Parameters
    ----------
    experiment
        The experiment that was run, for the times of its phases; None if it isn't known.
    """

    def __init__(self, groups: Groups, experiment: Experiment | None) -> None:
        self._groups = groups
        self._experiment = experiment

    def all(self) -> dict[str, tuple[str, bytes]]:
        """Return title and PNG of each figure, by name."""
        return {
            "goodput": (
                "Goodput over time (median over seeds, band from least to greatest)",
                self._grid(self._goodput),
            ),
            "classes": (
                "finchshed: goodput over time by kind of request (median over seeds)",
                self._grid(self._classes),
            ),
            "answered": (
                "Requests that arrived during the overload: share answered, by kind",
                self._grid(self._answered),
            ),
            "recovery": (
                "Seconds from the end of the trigger until goodput is back at 95%, each seed a dot",
                self._grid(self._recovery),
            ),
            "latency": (
                "Time to the whole answer, over all requests answered",
                self._grid(self._latency),
            ),
            "retries": (
                "Requests sent again per second, by clients and further down (median over seeds)",
                self._grid(self._retries),
            ),
        }

    def _grid(self, draw: Draw) -> bytes:
        deployments, demands = self._groups.deployments, self._groups.demands
        size = (WIDTH_INCHES * len(demands), HEIGHT_INCHES * len(deployments))
        figure = Figure(figsize=size, dpi=DOTS_PER_INCH, layout="constrained")
        axes = figure.subplots(len(deployments), len(demands), squeeze=False)
        for row, deployment in enumerate(deployments):
            for column, demand in enumerate(demands):
                panel = axes[row][column]
                panel.set_title(f"{deployment}, demand x{demand:g}", fontsize=10)
                panel.tick_params(labelsize=8)
                panel.grid(alpha=0.25)
                draw(panel, (deployment, demand))
        content = io.BytesIO()
        figure.savefig(content, format="png")
        return content.getvalue()

    def _goodput(self, panel: Axes, cell: Cell) -> None:
        for control, records in self._groups.controls(cell).items():
            _line_with_band(panel, goodput(records), control)
        limits = [record for records in self._groups.controls(cell).values() for record in records]
        if limits:
            limit = float(np.median([sum(record.limit_by_kind.values()) for record in limits]))
            panel.axhline(limit, color="black", linewidth=0.8, linestyle="--")
            panel.text(0.01, limit, "limit in overload", fontsize=7, va="bottom")
        self._over_time(panel, "whole answers per second")

    def _classes(self, panel: Axes, cell: Cell) -> None:
        records = self._groups.controls(cell).get("finchshed", [])
        for number, kind in enumerate(kinds_of(records)):
            series = goodput_of_kind(records, kind)
            colour = KIND_COLOURS[number % len(KIND_COLOURS)]
            _line_with_band(panel, series, kind, colour)
        self._over_time(panel, "whole answers per second")

    def _answered(self, panel: Axes, cell: Cell) -> None:
        controls = self._groups.controls(cell)
        everyone = [record for records in controls.values() for record in records]
        kinds = _by_importance(everyone)
        width = 0.8 / max(len(controls), 1)
        for number, (control, records) in enumerate(controls.items()):
            shares = [
                [record.measures.answered_share_by_kind.get(kind, math.nan) for record in records]
                for kind in kinds
            ]
            middles = np.array([float(np.nanmedian(values)) for values in shares])
            least = np.array([float(np.nanmin(values)) for values in shares])
            greatest = np.array([float(np.nanmax(values)) for values in shares])
            places = np.arange(len(kinds)) + (number - (len(controls) - 1) / 2) * width
            panel.bar(
                places,
                middles,
                width,
                label=control,
                color=COLOURS.get(control, OTHER_COLOUR),
                yerr=np.array([middles - least, greatest - middles]),
                error_kw={"linewidth": 0.8},
            )
        panel.set_xticks(np.arange(len(kinds)), kinds, fontsize=7)
        panel.set_ylim(0.0, 1.05)
        panel.set_ylabel("share answered", fontsize=8)
        panel.legend(fontsize=7, loc="upper right")

    def _recovery(self, panel: Axes, cell: Cell) -> None:
        controls = self._groups.controls(cell)
        longest = self._experiment.after_seconds if self._experiment is not None else 6.0
        rng = np.random.default_rng(1)
        for number, (control, records) in enumerate(controls.items()):
            seconds = [record.measures.recovery_seconds for record in records]
            heights = [longest if value is None else value for value in seconds]
            places = number + rng.uniform(-0.18, 0.18, len(heights))
            colour = COLOURS.get(control, OTHER_COLOUR)
            panel.plot(places, heights, "o", markersize=3, color=colour, alpha=0.6)
            median = float(np.median(heights))
            panel.hlines(median, number - 0.3, number + 0.3, color=colour, linewidth=2)
        panel.axhline(longest, color="black", linewidth=0.8, linestyle=":")
        panel.text(-0.4, longest, "not until the end", fontsize=7, va="bottom")
        panel.set_xticks(np.arange(len(controls)), list(controls), fontsize=7)
        panel.set_ylim(0.0, longest * 1.12)
        panel.set_ylabel("seconds", fontsize=8)

    def _latency(self, panel: Axes, cell: Cell) -> None:
        for control, records in self._groups.controls(cell).items():
            histogram = merged_latencies(records)
            if histogram.get_total_count() == 0:
                continue
            values = [
                histogram.get_value_at_percentile(percentile) / MICROSECONDS * 1000.0
                for percentile in PERCENTILES
            ]
            places = [1.0 / (1.0 - percentile / 100.0) for percentile in PERCENTILES]
            panel.plot(places, values, label=control, color=COLOURS.get(control, OTHER_COLOUR))
        panel.set_xscale("log")
        panel.set_yscale("log")
        panel.set_xticks([2, 10, 100, 1000], ["50%", "90%", "99%", "99.9%"])
        panel.set_xticks([], minor=True)
        panel.set_ylabel("milliseconds", fontsize=8)
        panel.legend(fontsize=7)

    def _retries(self, panel: Axes, cell: Cell) -> None:
        for control, records in self._groups.controls(cell).items():
            _line_with_band(panel, repeats(records), control)
        self._over_time(panel, "sent again per second")

    def _over_time(self, panel: Axes, label: str) -> None:
        if self._experiment is not None:
            begin = self._experiment.warm_up_seconds + self._experiment.before_seconds
            panel.axvspan(begin, begin + self._experiment.trigger_seconds, color="0.85", zorder=0)
        panel.set_xlabel("seconds (grey: overload)", fontsize=8)
        panel.set_ylabel(label, fontsize=8)
        panel.set_ylim(bottom=0.0)
        panel.legend(fontsize=7, loc="upper right")


def _line_with_band(panel: Axes, series: Figures, label: str, colour: str = "") -> None:
    if series.size == 0:
        return
    colour = colour or COLOURS.get(label, OTHER_COLOUR)
    times = (np.arange(series.shape[1]) + 0.5) * TIMELINE_STEP_SECONDS
    panel.plot(times, np.median(series, axis=0), label=label, color=colour, linewidth=1.4)
    panel.fill_between(
        times, series.min(axis=0), series.max(axis=0), color=colour, alpha=0.15, linewidth=0
    )


def _by_importance(records: list[RunRecord]) -> list[str]:
    """Return the kinds of requests, the most important first."""
    if not records:
        return []
    kinds = PRESETS[records[0].deployment].kinds
    return [kind.name for kind in sorted(kinds, key=lambda kind: -kind.importance)]
