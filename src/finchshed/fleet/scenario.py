"""Scenario files, which define phases, a fault script and expected outcomes.

Stored scripts use this format. Names in a scenario are validated against a plan.
"""

import pathlib
from typing import Annotated

import msgspec

from finchshed.common.errors import SettingsError
from finchshed.configuration.resources import Name
from finchshed.fleet.actions import (
    LINK_ACTIONS,
    Edition,
    FaultAction,
    Leave,
    MisreportLoad,
    Slow,
)
from finchshed.fleet.plan import FleetPlan
from finchshed.standins.settings import Phase

SPECIAL_SELECTORS = frozenset({"*", "leader", "follower"})


class Expectation(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Bounds on callers' outcomes, in addition to the checks of every run.

    Attributes
    ----------
    load
        Name of a load, or ``*`` for the sum of all loads.
    phase
        Name of a phase, or ``*`` for the whole run.
    answered_at_least
        Minimum fraction of requests that are finally answered.
    failed_at_most, refused_at_most
        Maximum number of requests that finally fail or are refused.
    attempts_mean_at_most
        Maximum mean of attempts per request.
    """

    load: Annotated[str, msgspec.Meta(min_length=1)]
    phase: Annotated[str, msgspec.Meta(min_length=1)] = "*"
    answered_at_least: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.0
    failed_at_most: Annotated[int, msgspec.Meta(ge=0)] = 1_000_000_000
    refused_at_most: Annotated[int, msgspec.Meta(ge=0)] = 1_000_000_000
    attempts_mean_at_most: Annotated[float, msgspec.Meta(gt=0.0)] = 1e9


class FaultScenario(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Contents of a scenario file.

    Attributes
    ----------
    load_factor
        Multiplier of the rate of every load.
    leaving_bound_seconds, in_force_bound_seconds
        How long a leaving backend may get new requests after the first signal, and how long an
        accepted change may take to be in force. The defaults are the requirements on the system.
    """

    name: Name
    description: str
    phase: tuple[Phase, ...]
    act: tuple[FaultAction, ...] = ()
    expect: tuple[Expectation, ...] = ()
    load_factor: Annotated[float, msgspec.Meta(gt=0.0, le=100.0)] = 1.0
    platform_lag_seconds: Annotated[float, msgspec.Meta(ge=0.0, le=600.0)] = 30.0
    leaving_bound_seconds: Annotated[float, msgspec.Meta(gt=0.0, le=600.0)] = 2.0
    in_force_bound_seconds: Annotated[float, msgspec.Meta(gt=0.0, le=600.0)] = 4.0

    @property
    def needs_relay(self) -> bool:
        """Whether any action affects links."""
        return any(isinstance(action, LINK_ACTIONS) for action in self.act)


def read_scenario(path: pathlib.Path) -> FaultScenario:
    """Read a scenario file.

    Raises
    ------
    SettingsError
        If the file can't be read, or has an unknown key or an invalid value.
    """
    try:
        return msgspec.toml.decode(path.read_bytes(), type=FaultScenario)
    except (OSError, msgspec.MsgspecError) as error:
        raise SettingsError([f"{path}: {error}"]) from error


def find_unknown_names(scenario: FaultScenario, plan: FleetPlan) -> list[str]:
    """Return a line for each name in ``scenario`` that the planned fleet does not have."""
    processes = {spec.name for spec in plan.specs}
    zones = {spec.zone for spec in plan.specs if spec.zone}
    endpoints = {endpoint.name for endpoint in plan.endpoints}
    services = {endpoint.service for endpoint in plan.endpoints}
    loads = {load.name for group in plan.deployment.caller for load in group.loads}
    phases = {phase.name for phase in scenario.phase}
    problems = []
    for action in scenario.act:
        where = f"act at {action.at:g}"
        if isinstance(action, Slow | Edition):
            problems += _check_name(where, action.target, endpoints | services)
        elif isinstance(action, Leave | MisreportLoad):
            problems += _check_name(where, action.target, endpoints)
        elif isinstance(action, LINK_ACTIONS):
            allowed = processes | zones | SPECIAL_SELECTORS
            problems += _check_name(where, action.source, allowed)
            problems += _check_name(where, action.target, allowed)
        elif hasattr(action, "target"):
            problems += _check_name(where, action.target, processes | SPECIAL_SELECTORS - {"*"})
    for expectation in scenario.expect:
        problems += _check_name("expect: load", expectation.load, loads | {"*"})
        problems += _check_name("expect: phase", expectation.phase, phases | {"*"})
    return problems


def _check_name(where: str, name: str, allowed: set[str] | frozenset[str]) -> list[str]:
    if name in allowed:
        return []
    return [f"{where}: no such name: {name}; allowed are: {', '.join(sorted(allowed))}"]
