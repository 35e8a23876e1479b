"""A fleet's deployment as the emulator's: the same services, slots, calls and demand.

The emulator has one deadline and one habit of repeating for all callers, and sessions without
ranges. So downloads are left out and the others are made alike before both sides run them.
"""

import collections
import pathlib

import msgspec

from finchshed.configuration.declarations import read_declarations
from finchshed.configuration.resources import Endpoint
from finchshed.daemon.catalogue import Catalogue
from finchshed.emulator import deployment as emulated
from finchshed.fleet.deployment import (
    DECLARATIONS_FOLDER,
    CallerGroup,
    Deployment,
    ServiceBehaviour,
)
from finchshed.standins.settings import Load, RetryHabit

ATTEMPTS = 4


def made_alike(deployment: Deployment) -> Deployment:
    """Return ``deployment`` with callers that the emulator can play: alike, without downloads.

    All have the shortest deadline that one of them has.
    """
    groups = []
    deadline = shortest_deadline(deployment)
    for group in deployment.caller:
        loads = tuple(_alike(load, deadline) for load in group.loads if not load.download_bytes)
        if loads:
            groups.append(CallerGroup(name=group.name, zone=group.zone, loads=loads))
    return msgspec.structs.replace(deployment, caller=tuple(groups))


def shortest_deadline(deployment: Deployment) -> float:
    """Return the shortest deadline of the requests, without downloads, in seconds."""
    loads = [load for group in deployment.caller for load in group.loads]
    return min(load.deadline_seconds for load in loads if not load.download_bytes)


def _alike(load: Load, deadline_seconds: float) -> Load:
    return msgspec.structs.replace(
        load,
        retry=RetryHabit.HARD,
        max_attempts=ATTEMPTS,
        deadline_seconds=deadline_seconds,
        surges=True,
    )


def emulated_deployment(
    source: pathlib.Path, deployment: Deployment, deep_service: str
) -> emulated.Deployment:
    """Return the emulator's form of ``deployment``, whose declarations stand in ``source``."""
    resources = read_declarations(source / DECLARATIONS_FOLDER).resources.values()
    endpoints = [item for item in resources if isinstance(item, Endpoint)]
    behaviours = {service.name: service for service in deployment.service}
    catalogue = Catalogue(resources)
    loads = [load for group in deployment.caller for load in group.loads]
    rates: dict[str, float] = collections.defaultdict(float)
    for load in loads:
        rates[load.name] += load.rate_per_second
    total = sum(rates.values())
    by_name = {load.name: load for load in loads}
    return emulated.Deployment(
        name=deployment.name,
        zones=tuple(edge.zone for edge in deployment.edge),
        zone_delay_seconds=deployment.zone_delay_seconds,
        client_delay_seconds=deployment.client_delay_seconds,
        services=tuple(_services(endpoints, behaviours)),
        kinds=tuple(
            _kind(load, rates[name] / total, behaviours, catalogue)
            for name, load in by_name.items()
        ),
        arrivals_per_second=total,
        deep_service=deep_service,
        deadline_seconds=shortest_deadline(deployment),
    )


def _services(
    endpoints: list[Endpoint], behaviours: dict[str, ServiceBehaviour]
) -> list[emulated.ServiceModel]:
    by_service: dict[str, list[Endpoint]] = collections.defaultdict(list)
    for endpoint in endpoints:
        by_service[endpoint.service].append(endpoint)
    return [
        emulated.ServiceModel(
            name=name,
            back_ends=len(members),
            slots=members[0].slots,
            connections=members[0].slots + behaviours[name].queue_limit,
        )
        for name, members in by_service.items()
    ]


def _kind(
    load: Load, share: float, behaviours: dict[str, ServiceBehaviour], catalogue: Catalogue
) -> emulated.RequestKind:
    matched = catalogue.match(load.service, load.path)
    assert matched is not None, f"{load.service} has no route for {load.path}"
    return emulated.RequestKind(
        name=load.name,
        importance=matched.route.importance,
        share=share,
        hop=_hop(load.service, load.path, behaviours),
        repeatable=matched.route.repeatable,
    )


def _hop(service: str, path: str, behaviours: dict[str, ServiceBehaviour]) -> emulated.Hop:
    behaviour = behaviours[service]
    return emulated.Hop(
        service=service,
        seconds=behaviour.service_time_seconds,
        calls=tuple(
            _hop(call.service, call.path, behaviours)
            for call in behaviour.calls
            if path.startswith(call.prefix)
        ),
    )
