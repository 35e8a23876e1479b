"""The same overload on real processes and in the emulator, measured by the same measures."""

import pathlib
import statistics
from collections.abc import Callable, Mapping

import msgspec

from finchshed.bench.experiment import visits_of
from finchshed.bench.measures import Measures, Plan, measure
from finchshed.common.errors import SettingsError
from finchshed.emulator import acts as emulated_acts
from finchshed.emulator.callers import ClientPolicy, Surge
from finchshed.emulator.deployment import Deployment as EmulatedDeployment
from finchshed.emulator.run import RunSpecification
from finchshed.emulator.world import run as run_emulator
from finchshed.fleet import acts
from finchshed.fleet.deployment import read_deployment
from finchshed.fleet.fault_run import FaultRun
from finchshed.fleet.model import ATTEMPTS, emulated_deployment, made_alike
from finchshed.fleet.scenario import Scenario
from finchshed.replay.recovery import Period

WARM_UP_SECONDS = 2.0
"""Left out of the ordinary time: connections and limits are being made."""

EMULATED_SEEDS = 20

Figure = Callable[[Measures], float]


def _recovery(measures: Measures) -> float:
    return float("inf") if measures.recovery_seconds is None else measures.recovery_seconds


FIGURES: Mapping[str, Figure] = {
    "goodput before, per second": lambda m: m.goodput_before,
    "goodput in the trigger, per second": lambda m: sum(m.goodput_by_kind.values()),
    "recovery, seconds": _recovery,
    "client attempts per request": lambda m: m.client_attempts_mean,
    "attempts at the deep service per visit": lambda m: m.attempts_mean,
    "share of work wasted": lambda m: m.wasted_share,
    "latency p50, ms": lambda m: m.latency_p50 * 1000.0,
    "latency p99, ms": lambda m: m.latency_p99 * 1000.0,
}


class Side(msgspec.Struct, frozen=True):
    """Measures of all runs of one side."""

    name: str
    runs: list[Measures]

    def median(self, figure: Figure) -> float:
        """Return the median of a figure over the runs."""
        return statistics.median(figure(run) for run in self.runs)

    def spread(self, figure: Figure) -> tuple[float, float]:
        """Return the least and the greatest value of a figure."""
        values = [figure(run) for run in self.runs]
        return min(values), max(values)

    def share_answered(self, kind: str) -> float:
        """Return the median share answered of the requests of ``kind`` sent in the trigger."""
        return statistics.median(run.answered_share_by_kind.get(kind, 0.0) for run in self.runs)


def plan_of(scenario: Scenario, deployment: EmulatedDeployment) -> Plan:
    """Return what to measure when: the trigger is the phase of the highest factor."""
    begin = 0.0
    trigger = Period(0.0, 0.0)
    highest = 0.0
    for phase in scenario.phase:
        if phase.factor > highest:
            trigger = Period(begin, begin + phase.duration_seconds)
            highest = phase.factor
        begin += phase.duration_seconds
    return Plan(
        before=Period(WARM_UP_SECONDS, trigger.start),
        overload=trigger,
        end=begin,
        deep_service=deployment.deep_service,
        deep_visits=visits_of(deployment),
    )


def slow_acts_of(scenario: Scenario) -> list[acts.Slow]:
    """Return the acts of ``scenario``.

    Raises
    ------
    SettingsError
        If it holds others than slow services: only those mean the same on both sides.
    """
    slow = [act for act in scenario.act if isinstance(act, acts.Slow)]
    if len(slow) != len(scenario.act) or not slow:
        raise SettingsError(
            [f"scenario {scenario.name}: allowed are acts of kind slow, at least 1"]
        )
    return slow


def emulate(scenario: Scenario, deployment: EmulatedDeployment, seed: int) -> Measures:
    """Run the scenario in the emulator once."""
    plan = plan_of(scenario, deployment)
    begin = 0.0
    surges = []
    for phase in scenario.phase:
        surges.append(Surge(start=begin, seconds=phase.duration_seconds, factor=phase.factor))
        begin += phase.duration_seconds
    specification = RunSpecification(
        deployment=deployment,
        seed=seed,
        seconds=begin,
        surges=tuple(surges),
        acts=tuple(
            emulated_acts.SlowService(
                time=act.at, service=act.target, factor=act.factor, seconds=act.duration_seconds
            )
            for act in slow_acts_of(scenario)
        ),
        client=ClientPolicy(attempts=ATTEMPTS, backoff_seconds=0.0),
        scenario=scenario.name,
    )
    return measure(run_emulator(specification).history.events, plan)


async def run_fleets(
    source: pathlib.Path, folder: pathlib.Path, scenario: Scenario, seeds: int
) -> Side:
    """Run the scenario on real processes, once for each seed."""
    deployment = made_alike(read_deployment(source))
    deep_service = slow_acts_of(scenario)[0].target
    plan = plan_of(scenario, emulated_deployment(source, deployment, deep_service))
    runs = []
    for seed in range(1, seeds + 1):
        run = FaultRun(source, folder / f"seed-{seed}", scenario, seed, adapt=made_alike)
        await run.run()
        runs.append(measure(run.history_from_start().events, plan))
    return Side("fleet", runs)


def run_emulations(source: pathlib.Path, scenario: Scenario, seeds: int) -> Side:
    """Run the scenario in the emulator, once for each seed."""
    deployment = made_alike(read_deployment(source))
    deep_service = slow_acts_of(scenario)[0].target
    model = emulated_deployment(source, deployment, deep_service)
    runs = [emulate(scenario, model, seed) for seed in range(1, seeds + 1)]
    return Side("emulator", runs)


def table_of(sides: list[Side]) -> str:
    """Return the medians with their spread as a table for people."""
    lines = []
    for name, figure in FIGURES.items():
        cells = []
        for side in sides:
            least, greatest = side.spread(figure)
            median = side.median(figure)
            cells.append(f"{side.name} {median:.2f} ({least:.2f} to {greatest:.2f})")
        lines.append(f"{name}: {', '.join(cells)}")
    for kind in sides[0].runs[0].answered_share_by_kind:
        shares = [f"{side.name} {side.share_answered(kind):.3f}" for side in sides]
        lines.append(f"share answered of {kind} sent in the trigger: {', '.join(shares)}")
    return "\n".join(lines)
