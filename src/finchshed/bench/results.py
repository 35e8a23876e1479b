"""Results of experiments: one JSON line a run, and their medians and spread."""

import math
import platform
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Final

import msgspec
import numpy as np

from finchshed import __version__
from finchshed.bench.experiment import Case
from finchshed.bench.measures import Measures, measure
from finchshed.common.errors import FinchshedError
from finchshed.emulator import world
from finchshed.emulator.collector import tune_collector
from finchshed.emulator.physical_limit import limits_by_kind
from finchshed.emulator.presets import PRESETS


class ResultsError(FinchshedError):
    """A file of results can't be read."""


class Machine(msgspec.Struct, frozen=True):
    """Where a run was done."""

    processor: str
    python: str
    system: str


class RunRecord(msgspec.Struct, kw_only=True):
    """One run: what was run, where, and what was measured.

    Attributes
    ----------
    limit_by_kind
        Requests of each kind per second that slots and service times allow during the overload.
    goodput_share
        Goodput during the overload over the physical limit, all kinds.
    top_class_share
        Goodput of the most important kinds over what was offered of them, and None if what was
        offered doesn't fit alone.
    """

    experiment: str
    deployment: str
    control: str
    demand: float
    seed: int
    version: str
    machine: Machine
    history_digest: str
    roots: int
    processor_seconds: float
    limit_by_kind: dict[str, float]
    goodput_share: float
    top_class_share: float | None
    measures: Measures


def machine() -> Machine:
    """Describe this machine, without its name."""
    return Machine(platform.machine(), platform.python_version(), platform.system())


def run_case(case: Case) -> RunRecord:
    """Run one case and measure it."""
    tune_collector()
    deployment = PRESETS[case.deployment]
    result = world.run(case.specification())
    measures = measure(result.history.events, case.plan())
    slow = {deployment.deep_service: case.experiment.slow_factor}
    limits = limits_by_kind(deployment, measures.offered_by_kind, slow)
    return RunRecord(
        experiment=case.experiment.name,
        deployment=case.deployment,
        control=case.control,
        demand=case.demand,
        seed=case.seed,
        version=__version__,
        machine=machine(),
        history_digest=result.history.digest(),
        roots=result.roots,
        processor_seconds=result.processor_seconds,
        limit_by_kind=limits,
        goodput_share=sum(measures.goodput_by_kind.values()) / sum(limits.values()),
        top_class_share=_top_class_share(case, measures, limits),
        measures=measures,
    )


def _top_class_share(case: Case, measures: Measures, limits: dict[str, float]) -> float | None:
    top = max(kind.importance for kind in PRESETS[case.deployment].kinds)
    kinds = [kind.name for kind in PRESETS[case.deployment].kinds if kind.importance == top]
    offered = sum(measures.offered_by_kind.get(kind, 0.0) for kind in kinds)
    fitting = sum(limits[kind] for kind in kinds)
    if fitting < offered * 0.999 or offered == 0.0:
        return None
    return sum(measures.answered_share_by_kind.get(kind, 0.0) for kind in kinds) / len(kinds)


def read(path: Path) -> list[RunRecord]:
    """Read a file of results.

    Raises
    ------
    ResultsError
        If a line is malformed.
    """
    decoder = msgspec.json.Decoder(RunRecord)
    records: list[RunRecord] = []
    for number, line in enumerate(path.read_bytes().splitlines(), start=1):
        try:
            records.append(decoder.decode(line))
        except msgspec.DecodeError as error:
            raise ResultsError(f"{path}:{number}: {error}") from error
    return records


class Spread(msgspec.Struct, frozen=True):
    """Median, and the least and greatest of a figure over seeds."""

    median: float
    least: float
    greatest: float

    def __str__(self) -> str:
        """Return ``median (least to greatest)``."""
        return f"{self.median:.3g} ({self.least:.3g}..{self.greatest:.3g})"


def spread_of(values: Iterable[float]) -> Spread:
    """Return the spread of ``values``, which must not be empty."""
    array = np.array(list(values), dtype=float)
    return Spread(float(np.median(array)), float(array.min()), float(array.max()))


def _or_infinite(seconds: float | None) -> float:
    return math.inf if seconds is None else seconds


FIGURES: Final[dict[str, Callable[[RunRecord], float | None]]] = {
    "goodput/limit": lambda record: record.goodput_share,
    "top class": lambda record: record.top_class_share,
    "recovery s": lambda record: _or_infinite(record.measures.recovery_seconds),
    "attempts mean": lambda record: record.measures.attempts_mean,
    "attempts max": lambda record: record.measures.attempts_max,
    "wasted": lambda record: record.measures.wasted_share,
}
"""Figures of a summary, by heading."""


def summary_lines(records: list[RunRecord]) -> list[str]:
    """Return a table of medians and spread over seeds."""
    groups: dict[tuple[str, str, float], list[RunRecord]] = {}
    for record in records:
        groups.setdefault((record.deployment, record.control, record.demand), []).append(record)
    head = f"{'deployment':<13}{'control':<15}{'demand':>6}{'seeds':>6}"
    lines = [head + "".join(f"{heading:>24}" for heading in FIGURES)]
    for (deployment, control, demand), group in sorted(groups.items()):
        line = f"{deployment:<13}{control:<15}{demand:>6g}{len(group):>6}"
        for figure in FIGURES.values():
            values = [value for value in map(figure, group) if value is not None]
            line += f"{str(spread_of(values)) if values else '-':>24}"
        lines.append(line)
    return lines
