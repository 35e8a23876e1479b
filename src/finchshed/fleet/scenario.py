"""Scenario files: a load, a fault script and what must hold.

Owns the form of the file, which stored scripts have; names are checked against a plan.
"""

import pathlib
from typing import Annotated

import msgspec

from finchshed.common.errors import SettingsError
from finchshed.configuration.resources import Name
from finchshed.fleet.acts import (
    LINK_ACTS,
    Edition,
    FaultAct,
    Leave,
    MisreportLoad,
    Slow,
)
from finchshed.fleet.plan import FleetPlan
from finchshed.standins.settings import Phase

SPECIAL_SELECTORS = frozenset({"*", "leader", "follower"})


class Expectation(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What callers must get, besides what always holds.

    Attributes
    ----------
    load
        Name of a load, or ``*`` for all together.
    phase
        Name of a phase, or ``*`` for the whole run.
    answered_at_least
        Fraction of the requests that must be answered in the end.
    failed_at_most, refused_at_most
        Number of requests that may end so.
    attempts_mean_at_most
        Attempts of callers per request.
    """

    load: Annotated[str, msgspec.Meta(min_length=1)]
    phase: Annotated[str, msgspec.Meta(min_length=1)] = "*"
    answered_at_least: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.0
    failed_at_most: Annotated[int, msgspec.Meta(ge=0)] = 1_000_000_000
    refused_at_most: Annotated[int, msgspec.Meta(ge=0)] = 1_000_000_000
    attempts_mean_at_most: Annotated[float, msgspec.Meta(gt=0.0)] = 1e9


class FaultScenario(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A scenario file.

    Attributes
    ----------
    load_factor
        Multiplies the rate of every load of the deployment.
    leaving_bound_seconds, in_force_bound_seconds
        How long after the first sign a leaving back end may get new work, and how long an accepted
        change may take to be in force; the defaults are what the system is to keep.
    """

    name: Name
    description: str
    phase: tuple[Phase, ...]
    act: tuple[FaultAct, ...] = ()
    expect: tuple[Expectation, ...] = ()
    load_factor: Annotated[float, msgspec.Meta(gt=0.0, le=100.0)] = 1.0
    platform_lag_seconds: Annotated[float, msgspec.Meta(ge=0.0, le=600.0)] = 30.0
    leaving_bound_seconds: Annotated[float, msgspec.Meta(gt=0.0, le=600.0)] = 2.0
    in_force_bound_seconds: Annotated[float, msgspec.Meta(gt=0.0, le=600.0)] = 4.0

    @property
    def needs_relay(self) -> bool:
        """Whether an act works on links."""
        return any(isinstance(act, LINK_ACTS) for act in self.act)


def read_scenario(path: pathlib.Path) -> FaultScenario:
    """Read a scenario file.

    Raises
    ------
    SettingsError
        If the file can't be read or holds a wrong key or value.
    """
    try:
        return msgspec.toml.decode(path.read_bytes(), type=FaultScenario)
    except (OSError, msgspec.MsgspecError) as error:
        raise SettingsError([f"{path}: {error}"]) from error


def problems_of(scenario: FaultScenario, plan: FleetPlan) -> list[str]:
    """Return a line for each name of ``scenario`` that the planned fleet doesn't have."""
    processes = {spec.name for spec in plan.specs}
    zones = {spec.zone for spec in plan.specs if spec.zone}
    endpoints = {endpoint.name for endpoint in plan.endpoints}
    services = {endpoint.service for endpoint in plan.endpoints}
    loads = {load.name for group in plan.deployment.caller for load in group.loads}
    phases = {phase.name for phase in scenario.phase}
    problems = []
    for act in scenario.act:
        where = f"act at {act.at:g}"
        if isinstance(act, Slow | Edition):
            problems += _unknown(where, act.target, endpoints | services)
        elif isinstance(act, Leave | MisreportLoad):
            problems += _unknown(where, act.target, endpoints)
        elif isinstance(act, LINK_ACTS):
            allowed = processes | zones | SPECIAL_SELECTORS
            problems += _unknown(where, act.source, allowed)
            problems += _unknown(where, act.target, allowed)
        elif hasattr(act, "target"):
            problems += _unknown(where, act.target, processes | SPECIAL_SELECTORS - {"*"})
    for expectation in scenario.expect:
        problems += _unknown("expect: load", expectation.load, loads | {"*"})
        problems += _unknown("expect: phase", expectation.phase, phases | {"*"})
    return problems


def _unknown(where: str, name: str, allowed: set[str] | frozenset[str]) -> list[str]:
    if name in allowed:
        return []
    return [f"{where}: no such name: {name}; allowed are: {', '.join(sorted(allowed))}"]
