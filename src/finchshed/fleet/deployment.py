"""Deployment files, which complete the declarations with the rest of a test deployment.

A deployment is a folder with ``deployment.toml`` and ``declarations/``. Backends with their
zones, slots and addresses come from the declared endpoints. The deployment file adds the behaviour
of the simulated processes, the control nodes and edge daemons, and the callers' loads.
"""

import pathlib
from typing import Annotated

import msgspec

from finchshed.common.errors import SettingsError
from finchshed.configuration.resources import Name
from finchshed.standins.settings import Count, DownstreamCall, Phase, Seconds, StandinLoad

EXAMPLE_NETWORK_PREFIX = "127.1."
"""Prefix of every address in the files of a deployment."""

DEPLOYMENT_FILE = "deployment.toml"
DECLARATIONS_FOLDER = "declarations"

Host = Annotated[str, msgspec.Meta(pattern=r"^127\.1\.[0-9]{1,3}\.[0-9]{1,3}$")]


class MachineSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A machine that runs one control node or edge daemon."""

    name: Name
    region: Name
    zone: Name
    host: Host


class ServiceBehaviour(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Behaviour of the simulated backends of one service.

    Attributes
    ----------
    service_time_seconds
        Mean service time of a request, without its downstream calls.
    calls
        Downstream calls that some paths need.
    """

    name: Name
    service_time_seconds: Seconds
    answer_bytes: Count = 512
    calls: tuple[DownstreamCall, ...] = ()


class CallerGroup(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """External callers, which prefer the edge in ``zone``."""

    name: Name
    zone: Name
    loads: tuple[StandinLoad, ...]


class Platform(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The simulated platform."""

    host: Host
    lag_seconds: Seconds = 30.0


class FleetDeployment(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Contents of a deployment file.

    Attributes
    ----------
    operator
        Name of the operator in the declarations, for documentation only.
    client_delay_seconds, zone_delay_seconds
        One-way delays between clients and the edge, and between zones.
    phase
        Phases of a demo run.
    """

    name: Name
    operator: Name
    operator_token: str
    client_delay_seconds: Seconds
    zone_delay_seconds: Seconds
    platform: Platform
    control: tuple[MachineSpec, ...]
    edge: tuple[MachineSpec, ...]
    service: tuple[ServiceBehaviour, ...]
    caller: tuple[CallerGroup, ...]
    phase: tuple[Phase, ...]


def read_deployment(folder: pathlib.Path) -> FleetDeployment:
    """Read the deployment file in ``folder``.

    Raises
    ------
    SettingsError
        If the file can't be read, has an unknown key or an invalid value, or names an unknown zone
        or service.
    """
    path = folder / DEPLOYMENT_FILE
    try:
        deployment = msgspec.toml.decode(path.read_bytes(), type=FleetDeployment)
    except (OSError, msgspec.MsgspecError) as error:
        raise SettingsError([f"{path}: {error}"]) from error
    problems = _find_problems(deployment)
    if problems:
        raise SettingsError([f"{path}: {problem}" for problem in problems])
    return deployment


def _find_problems(deployment: FleetDeployment) -> list[str]:
    services = {service.name for service in deployment.service}
    zones = {edge.zone for edge in deployment.edge}
    problems = [
        f"caller {group.name}: zone {group.zone} has no edge, allowed are: {_join_sorted(zones)}"
        for group in deployment.caller
        if group.zone not in zones
    ]
    called = [call.service for service in deployment.service for call in service.calls]
    called += [load.service for group in deployment.caller for load in group.loads]
    problems += [
        f"service {name}: not declared, allowed are: {_join_sorted(services)}"
        for name in sorted(set(called) - services)
    ]
    hosts = [machine.host for machine in (*deployment.control, *deployment.edge)]
    problems += [
        f"host {host}: used by more than one machine"
        for host in sorted(set(hosts))
        if hosts.count(host) > 1
    ]
    return problems


def _join_sorted(names: set[str]) -> str:
    return ", ".join(sorted(names))
