"""The deployment file: what stands where, besides what the declarations say.

A deployment is a folder with ``deployment.toml`` and ``declarations/``. Back ends, their zones,
slots and addresses come from the declared endpoints; the deployment file adds how the stand-ins
behave, where the control nodes and edge daemons stand, and what callers send.
"""

import pathlib
from typing import Annotated

import msgspec

from finchshed.common.errors import SettingsError
from finchshed.configuration.resources import Name
from finchshed.standins.settings import Count, DownstreamCall, Phase, Seconds, StandinLoad

EXAMPLE_NETWORK = "127.1."
"""Beginning of every address in a deployment's files."""

DEPLOYMENT_FILE = "deployment.toml"
DECLARATIONS_FOLDER = "declarations"

Host = Annotated[str, msgspec.Meta(pattern=r"^127\.1\.[0-9]{1,3}\.[0-9]{1,3}$")]


class MachineSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A machine with one program of the system: a control node or an edge daemon."""

    name: Name
    region: Name
    zone: Name
    host: Host


class ServiceBehaviour(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How the stand-in back ends of one service work.

    Attributes
    ----------
    service_time_seconds
        Mean time a back end takes for a request, without its calls on.
    calls
        Requests that serving some paths needs from other services.
    """

    name: Name
    service_time_seconds: Seconds
    answer_bytes: Count = 512
    calls: tuple[DownstreamCall, ...] = ()


class CallerGroup(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Callers outside, who reach the deployment through the edge of ``zone`` first."""

    name: Name
    zone: Name
    loads: tuple[StandinLoad, ...]


class Platform(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The platform's list of machines."""

    host: Host
    lag_seconds: Seconds = 30.0


class FleetDeployment(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A deployment file.

    Attributes
    ----------
    operator
        Name of the operator that the declarations hold; for people, nothing reads it.
    client_delay_seconds, zone_delay_seconds
        One-way delays between clients and the edge, and between zones.
    phases
        Stretches of a demonstration.
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
        If the file can't be read, holds a wrong key or value, or names unknown zones or services.
    """
    path = folder / DEPLOYMENT_FILE
    try:
        deployment = msgspec.toml.decode(path.read_bytes(), type=FleetDeployment)
    except (OSError, msgspec.MsgspecError) as error:
        raise SettingsError([f"{path}: {error}"]) from error
    problems = _problems_of(deployment)
    if problems:
        raise SettingsError([f"{path}: {problem}" for problem in problems])
    return deployment


def _problems_of(deployment: FleetDeployment) -> list[str]:
    services = {service.name for service in deployment.service}
    zones = {edge.zone for edge in deployment.edge}
    problems = [
        f"caller {group.name}: zone {group.zone} has no edge, allowed are: {_listed(zones)}"
        for group in deployment.caller
        if group.zone not in zones
    ]
    called = [call.service for service in deployment.service for call in service.calls]
    called += [load.service for group in deployment.caller for load in group.loads]
    problems += [
        f"service {name}: not declared, allowed are: {_listed(services)}"
        for name in sorted(set(called) - services)
    ]
    hosts = [machine.host for machine in (*deployment.control, *deployment.edge)]
    problems += [
        f"host {host}: stands twice" for host in sorted(set(hosts)) if hosts.count(host) > 1
    ]
    return problems


def _listed(names: set[str]) -> str:
    return ", ".join(sorted(names))
