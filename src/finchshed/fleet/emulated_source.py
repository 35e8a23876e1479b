"""Writes an emulator's deployment as a folder that a fleet can be planned from.

Names are the emulator's: endpoints ``SERVICE-NUMBER`` spread over the zones in turn, an edge
``edge-ZONE`` in each zone, control nodes ``control-NUMBER``. So a trace's acts mean the same
processes. Each kind of request has a path of its own, which its calls on keep.
"""

import hashlib
import pathlib
from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from finchshed.common.errors import SettingsError
from finchshed.common.importance import Importance
from finchshed.configuration.resources import (
    Endpoint,
    Operator,
    Policy,
    Resource,
    Route,
    Service,
)
from finchshed.emulator.deployment import Deployment as EmulatedDeployment
from finchshed.emulator.deployment import Hop, RequestKind, hops_of
from finchshed.emulator.world import endpoints_of
from finchshed.fleet.deployment import (
    DECLARATIONS_FOLDER,
    DEPLOYMENT_FILE,
    EXAMPLE_NETWORK,
    CallerGroup,
    Deployment,
    Machine,
    Platform,
    ServiceBehaviour,
)
from finchshed.fleet.network import Port
from finchshed.fleet.toml_writer import table_to_toml, to_toml
from finchshed.standins.settings import CallOn, Load, Phase, RetryHabit

REGION = "emulated"
OPERATOR = "emulated"
TOKEN = "emulated-operator-token"
FIRST_BACK_END_HOST = 11
EDGE_HOST = 1
CONTROL_HOST = 201
LEAST_CONTROL_NODES = 3
PLATFORM_HOST = f"{EXAMPLE_NETWORK}250.1"
BODY_BYTES = 300


def path_of(kind: str) -> str:
    """Return the path that requests of a kind have at every service."""
    return f"/{kind}/"


def group_of(zone: str) -> str:
    """Return the name of the callers of a zone."""
    return f"callers-{zone}"


def write_source(
    folder: pathlib.Path, emulated: EmulatedDeployment, *, control_nodes: int, retry_budget: int
) -> None:
    """Write the deployment file and the declarations into ``folder``."""
    (folder / DECLARATIONS_FOLDER).mkdir(parents=True, exist_ok=True)
    deployment = fleet_deployment(emulated, max(control_nodes, LEAST_CONTROL_NODES))
    (folder / DEPLOYMENT_FILE).write_text(to_toml(deployment))
    declared = _declarations(emulated, retry_budget)
    (folder / DECLARATIONS_FOLDER / "all.toml").write_text(declared)


def fleet_deployment(emulated: EmulatedDeployment, control_nodes: int) -> Deployment:
    """Return the deployment file's content."""
    zones = emulated.zones
    return Deployment(
        name=emulated.name,
        operator=OPERATOR,
        operator_token=TOKEN,
        client_delay_seconds=emulated.client_delay_seconds,
        zone_delay_seconds=emulated.zone_delay_seconds,
        platform=Platform(host=PLATFORM_HOST),
        control=tuple(
            _machine(f"control-{number + 1}", number % len(zones), zones, CONTROL_HOST + number)
            for number in range(control_nodes)
        ),
        edge=tuple(
            _machine(f"edge-{zone}", place, zones, EDGE_HOST) for place, zone in enumerate(zones)
        ),
        service=tuple(_behaviours(emulated)),
        caller=tuple(
            CallerGroup(name=group_of(zone), zone=zone, loads=_loads(emulated)) for zone in zones
        ),
        phase=(Phase(name="all", duration_seconds=1.0),),
    )


def _machine(name: str, place: int, zones: tuple[str, ...], host: int) -> Machine:
    address = f"{EXAMPLE_NETWORK}{place + 1}.{host}"
    return Machine(name=name, region=REGION, zone=zones[place], host=address)


def _behaviours(emulated: EmulatedDeployment) -> Iterator[ServiceBehaviour]:
    seconds = service_seconds(emulated)
    for service in emulated.services:
        yield ServiceBehaviour(
            name=service.name,
            service_time_seconds=seconds.get(service.name, 0.0),
            queue_limit=max(0, service.connections - service.slots),
            calls=tuple(
                CallOn(prefix=path_of(kind.name), service=call.service, path=path_of(kind.name))
                for kind in emulated.kinds
                for hop in hops_at(kind, service.name)
                for call in hop.calls
            ),
        )


def hops_at(kind: RequestKind, service: str) -> list[Hop]:
    """Return the visit of a kind's call graph at a service: one, or none.

    Raises
    ------
    SettingsError
        If the visits differ in the calls they make: a back end couldn't tell them apart.
    """
    visits = [hop for hop in hops_of(kind.hop) if hop.service == service]
    if any(visit.calls != visits[0].calls for visit in visits):
        raise SettingsError([f"kind {kind.name}: its calls to {service} differ in what they call"])
    return visits[:1]


def service_seconds(emulated: EmulatedDeployment) -> Mapping[str, float]:
    """Return the mean service time of each service.

    Raises
    ------
    SettingsError
        If it differs between kinds of requests: a stand-in has one.
    """
    seconds: dict[str, float] = {}
    for kind in emulated.kinds:
        for hop in hops_of(kind.hop):
            if seconds.setdefault(hop.service, hop.seconds) != hop.seconds:
                raise SettingsError([f"service {hop.service}: its service time differs by kind"])
    return seconds


def _loads(emulated: EmulatedDeployment) -> tuple[Load, ...]:
    return tuple(
        Load(
            name=kind.name,
            service=kind.hop.service,
            path=path_of(kind.name),
            rate_per_second=emulated.arrivals_per_second * kind.share / len(emulated.zones),
            method="GET" if kind.repeatable else "POST",
            body_bytes=0 if kind.repeatable else BODY_BYTES,
            keyed=not kind.repeatable,
            retry=RetryHabit.HARD,
            max_attempts=4,
            deadline_seconds=emulated.deadline_seconds,
        )
        for kind in emulated.kinds
    )


def _declarations(emulated: EmulatedDeployment, retry_budget: int) -> str:
    token = hashlib.sha256(TOKEN.encode()).hexdigest()
    table = {
        "policy": _table(Policy(retry_budget=retry_budget)),
        "operator": [_table(Operator(name=OPERATOR, token_sha256=token))],
        "service": [_table(service) for service in _services(emulated)],
        "endpoint": [_table(endpoint) for endpoint in _endpoints(emulated)],
    }
    return table_to_toml(table)


def _services(emulated: EmulatedDeployment) -> Iterator[Service]:
    for service in emulated.services:
        routes = [
            Route(
                prefix=path_of(kind.name),
                importance=kind.importance,
                repeatable=kind.repeatable or kind.hop.service != service.name,
                session=kind.session and kind.hop.service == service.name,
            )
            for kind in emulated.kinds
            if hops_at(kind, service.name)
        ]
        yield Service(
            name=service.name,
            routes=(Route(prefix="/"), *routes),
            deadline_seconds=emulated.deadline_seconds,
            max_sessions=1000,
        )


def _endpoints(emulated: EmulatedDeployment) -> Iterator[Endpoint]:
    hosts = {zone: FIRST_BACK_END_HOST for zone in emulated.zones}
    for service in emulated.services:
        for name, zone in endpoints_of(emulated, service.name, service.back_ends):
            place = emulated.zones.index(zone) + 1
            address = f"{EXAMPLE_NETWORK}{place}.{hosts[zone]}:{int(Port.LINK)}"
            hosts[zone] += 1
            yield Endpoint(
                name=name,
                service=service.name,
                region=REGION,
                zone=zone,
                address=address,
                slots=service.slots,
            )


def _table(resource: Resource) -> dict[str, Any]:
    """Return a resource as it is declared: importance by its name, no tag of its kind."""
    table: dict[str, Any] = msgspec.to_builtins(resource)
    del table["type"]
    for route in table.get("routes", ()):
        if "importance" in route:
            route["importance"] = Importance(route["importance"]).name.lower()
    return table
