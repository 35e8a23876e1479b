"""Experiments as TOML files."""

from pathlib import Path
from typing import Annotated

import msgspec

from finchshed.bench.measures import Plan
from finchshed.common.errors import SettingsError
from finchshed.emulator.acts import SlowService
from finchshed.emulator.callers import ClientPolicy, Surge
from finchshed.emulator.deployment import Deployment, hops_of
from finchshed.emulator.presets import PRESETS
from finchshed.emulator.run import CONTROLS, RunSpecification
from finchshed.replay.recovery import Period


class Experiment(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An overload experiment: the deep service slows and demand surges at the same moment.

    Attributes
    ----------
    deployments, controls, demands, seeds
        Every combination is run. ``demands`` are multiples of ordinary demand; ``seeds`` is the
        number of seeds, from ``first_seed``.
    baseline_demands
        Demands at which the baselines are run; empty means all of ``demands``.
    warm_up_seconds, before_seconds, trigger_seconds, after_seconds
        Lengths of the phases: not measured, measured as ordinary, surge, and recovery.
    slow_factor
        Times as long the deep service takes during the trigger.
    """

    name: str
    deployments: tuple[str, ...]
    controls: tuple[str, ...] = CONTROLS
    demands: tuple[Annotated[float, msgspec.Meta(gt=0)], ...] = (4.0,)
    baseline_demands: tuple[float, ...] = ()
    seeds: Annotated[int, msgspec.Meta(ge=1)] = 20
    first_seed: int = 1
    warm_up_seconds: float = 1.0
    before_seconds: float = 3.0
    trigger_seconds: float = 4.0
    after_seconds: float = 6.0
    slow_factor: Annotated[float, msgspec.Meta(gt=0)] = 4.0
    client: ClientPolicy = ClientPolicy()
    retry_budget: int = 3


class Case(msgspec.Struct, frozen=True):
    """One run of an experiment."""

    experiment: Experiment
    deployment: str
    control: str
    demand: float
    seed: int

    @property
    def trigger(self) -> Period:
        """When the deep service is slow and demand high."""
        start = self.experiment.warm_up_seconds + self.experiment.before_seconds
        return Period(start, start + self.experiment.trigger_seconds)

    @property
    def end(self) -> float:
        """Time of the last arrival."""
        return self.trigger.end + self.experiment.after_seconds

    def specification(self) -> RunSpecification:
        """Return the run to do."""
        deployment = PRESETS[self.deployment]
        trigger = self.trigger
        slow = SlowService(
            time=trigger.start,
            service=deployment.deep_service,
            factor=self.experiment.slow_factor,
            seconds=trigger.seconds,
        )
        return RunSpecification(
            deployment=deployment,
            control=self.control,
            seed=self.seed,
            seconds=self.end,
            surges=(Surge(start=trigger.start, seconds=trigger.seconds, factor=self.demand),),
            acts=(slow,),
            client=self.experiment.client,
            scenario=self.experiment.name,
            retry_budget=self.experiment.retry_budget,
        )

    def plan(self) -> Plan:
        """Return what to measure when."""
        deployment = PRESETS[self.deployment]
        before = Period(self.experiment.warm_up_seconds, self.trigger.start)
        return Plan(
            before=before,
            overload=self.trigger,
            end=self.end,
            deep_service=deployment.deep_service,
            deep_visits=visits_of(deployment),
        )


def visits_of(deployment: Deployment) -> dict[str, int]:
    """Return how often a request of each kind visits the deep service."""
    return {
        kind.name: sum(hop.service == deployment.deep_service for hop in hops_of(kind.hop))
        for kind in deployment.kinds
    }


def load(path: Path) -> Experiment:
    """Read an experiment.

    Raises
    ------
    SettingsError
        If the file is malformed or names what doesn't exist.
    """
    try:
        experiment = msgspec.toml.decode(path.read_bytes(), type=Experiment)
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from error
    except (msgspec.DecodeError, ValueError) as error:
        raise SettingsError([f"{path}: {error}"]) from error
    problems = [f"{path}: no deployment {n!r}" for n in experiment.deployments if n not in PRESETS]
    problems += [f"{path}: no control {n!r}" for n in experiment.controls if n not in CONTROLS]
    if problems:
        raise SettingsError(problems)
    return experiment


def cases_of(experiment: Experiment) -> list[Case]:
    """Return every run of an experiment."""
    cases: list[Case] = []
    for deployment in experiment.deployments:
        for control in experiment.controls:
            demands = experiment.demands
            if control != "finchshed" and experiment.baseline_demands:
                demands = experiment.baseline_demands
            cases.extend(
                Case(experiment, deployment, control, demand, experiment.first_seed + number)
                for demand in demands
                for number in range(experiment.seeds)
            )
    return cases
