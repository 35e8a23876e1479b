"""Validates a configuration: references between resources, addresses, duplicates and bounds.

Validation reports every problem it finds, not only the first.
"""

import collections
import ipaddress
from collections.abc import Callable, Iterable, Mapping

from finchshed.configuration.resources import (
    Endpoint,
    HostRoute,
    IngressLimits,
    Operator,
    Policy,
    Resource,
    ResourceKey,
    Service,
    Tenant,
    host_route_name,
    key_of,
    kind_of,
)

MAX_PORT = 65_535
"""Highest TCP port: 16 bits (RFC 9293, 3.1)."""

MAX_SHARDS = 64
"""Maximum number of ledger shards."""

POLICY_NAME = "default"
LIMITS_NAME = "default"
SERVICE_KIND = kind_of(Service)


def problems_of(resources: Mapping[ResourceKey, Resource]) -> list[str]:
    """Return one line per problem in ``resources``; empty if the configuration is valid."""
    services = {item.name for item in resources.values() if isinstance(item, Service)}
    problems: list[str] = []
    for resource in resources.values():
        if isinstance(resource, Service):
            problems += _problems_of_service(resource)
        elif isinstance(resource, HostRoute):
            problems += _problems_of_host_route(resource, services)
        elif isinstance(resource, IngressLimits) and resource.name != LIMITS_NAME:
            problems.append(
                f"ingress_limits/{resource.name}: name: only '{LIMITS_NAME}' is allowed"
            )
        elif isinstance(resource, Endpoint):
            problems += _problems_of_endpoint(resource, services)
        elif isinstance(resource, Policy) and resource.name != POLICY_NAME:
            problems.append(f"policy/{resource.name}: name: only '{POLICY_NAME}' is allowed")
        if isinstance(resource, Policy):
            problems += _problems_of_shards(resource)
    problems += _duplicate_address_problems(resources.values())
    problems += _duplicate_token_problems(resources.values())
    problems += _duplicate_key_problems(resources.values())
    return problems


def keeps_sound(
    resources: Mapping[ResourceKey, Resource],
    puts: Iterable[Resource],
    deletes: Iterable[ResourceKey],
) -> bool:
    """Return whether a change to a valid configuration certainly leaves it valid.

    Checks only the resources that the change touches, so that the cost doesn't grow with the size
    of the configuration, except for puts of endpoints, operators or tenants. False means that
    a full check with :func:`problems_of` is needed.

    Parameters
    ----------
    resources
        Configuration after the change.
    puts, deletes
        Resources and keys that the change puts and deletes.
    """
    if any(key.kind == SERVICE_KIND for key in deletes):
        return False
    return all(_is_valid_put(resource, resources) for resource in puts)


def _is_valid_put(put: Resource, resources: Mapping[ResourceKey, Resource]) -> bool:
    if isinstance(put, Service):
        return not _problems_of_service(put)
    if isinstance(put, HostRoute):
        services = {
            destination.service
            for destination in put.destinations
            if ResourceKey(kind=SERVICE_KIND, name=destination.service) in resources
        }
        return not _problems_of_host_route(put, services)
    if isinstance(put, IngressLimits):
        return put.name == LIMITS_NAME
    if isinstance(put, Policy):
        return put.name == POLICY_NAME and not _problems_of_shards(put)
    if isinstance(put, Endpoint):
        return (
            ResourceKey(kind=SERVICE_KIND, name=put.service) in resources
            and is_address(put.address)
            and _is_unique(put, resources, lambda other: _address_of(other) == put.address)
        )
    if isinstance(put, Tenant):
        keys = set(put.key_sha256)
        return _is_unique(put, resources, lambda other: not keys.isdisjoint(_keys_of(other)))
    return _is_unique(put, resources, lambda other: _token_of(other) == put.token_sha256)


def _is_unique(
    put: Resource,
    resources: Mapping[ResourceKey, Resource],
    is_same: Callable[[Resource], bool],
) -> bool:
    return not any(is_same(other) for other in resources.values() if other is not put)


def _address_of(resource: Resource) -> str | None:
    return resource.address if isinstance(resource, Endpoint) else None


def _token_of(resource: Resource) -> str | None:
    return resource.token_sha256 if isinstance(resource, Operator) else None


def _keys_of(resource: Resource) -> tuple[str, ...]:
    return resource.key_sha256 if isinstance(resource, Tenant) else ()


def duplicate_keys(resources: Iterable[Resource]) -> list[ResourceKey]:
    """Return keys that occur more than once in ``resources``."""
    counter = collections.Counter(key_of(resource) for resource in resources)
    return [key for key, count in counter.items() if count > 1]


def _problems_of_service(service: Service) -> list[str]:
    counter = collections.Counter(route.prefix for route in service.routes)
    where = f"service/{service.name}"
    problems = [
        f"{where}: routes.prefix = {prefix!r}: given {count} times, allowed once"
        for prefix, count in counter.items()
        if count > 1
    ]
    has_sessions = any(route.session for route in service.routes)
    if has_sessions and service.max_sessions == 0:
        problems.append(f"{where}: max_sessions = 0: allowed is 1 or more with a session route")
    return problems


def _problems_of_host_route(route: HostRoute, services: set[str]) -> list[str]:
    where = f"host_route/{route.name}"
    problems = [
        f"{where}: destinations.service = {destination.service!r}: allowed are declared services"
        for destination in route.destinations
        if destination.service not in services
    ]
    if route.name != host_route_name(route.host, route.prefix):
        problems.append(f"{where}: name: allowed is the host and the prefix together")
    if sum(destination.weight for destination in route.destinations) <= 0.0:
        problems.append(f"{where}: destinations.weight: all are 0, allowed is one above it")
    counter = collections.Counter(destination.service for destination in route.destinations)
    problems += [
        f"{where}: destinations.service = {service!r}: given {count} times, allowed once"
        for service, count in counter.items()
        if count > 1
    ]
    return problems


def _problems_of_endpoint(endpoint: Endpoint, services: set[str]) -> list[str]:
    where = f"endpoint/{endpoint.name}"
    problems = []
    if endpoint.service not in services:
        allowed = ", ".join(sorted(services)) or "none declared"
        problems.append(
            f"{where}: service = {endpoint.service!r}: allowed are the declared services: {allowed}"
        )
    if not is_address(endpoint.address):
        problems.append(
            f"{where}: address = {endpoint.address!r}: allowed is an IPv4 address and a port "
            f"from 1 to {MAX_PORT}"
        )
    return problems


def _problems_of_shards(policy: Policy) -> list[str]:
    addresses = [address for shard in policy.ledger_shards for address in shard]
    where = f"policy/{policy.name}: ledger_shards"
    problems = [
        f"{where} = {address!r}: allowed is an IPv4 address and a port from 1 to {MAX_PORT}"
        for address in addresses
        if not is_address(address)
    ]
    problems += [
        f"{where} = {address!r}: given {count} times, allowed once"
        for address, count in collections.Counter(addresses).items()
        if count > 1
    ]
    if len(policy.ledger_shards) > MAX_SHARDS:
        problems.append(f"{where}: {len(policy.ledger_shards)}, allowed are up to {MAX_SHARDS}")
    return problems


def is_address(text: str) -> bool:
    """Return whether ``text`` is ``a.b.c.d:port`` with values in range."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isdecimal() and 1 <= int(port) <= MAX_PORT


def _duplicate_address_problems(resources: Iterable[Resource]) -> list[str]:
    owners: dict[str, list[str]] = collections.defaultdict(list)
    for resource in resources:
        if isinstance(resource, Endpoint):
            owners[resource.address].append(resource.name)
    return [
        f"endpoint/{names[-1]}: address = {address!r}: used by {', '.join(sorted(names))}, "
        "allowed once"
        for address, names in owners.items()
        if len(names) > 1
    ]


def _duplicate_token_problems(resources: Iterable[Resource]) -> list[str]:
    owners: dict[str, list[str]] = collections.defaultdict(list)
    for resource in resources:
        if isinstance(resource, Operator):
            owners[resource.token_sha256].append(resource.name)
    return [
        f"operator/{names[-1]}: token_sha256: used by {', '.join(sorted(names))}, allowed once"
        for names in owners.values()
        if len(names) > 1
    ]


def _duplicate_key_problems(resources: Iterable[Resource]) -> list[str]:
    """Return a problem for each API key shared by tenants, without revealing its digest."""
    owners: dict[str, list[str]] = collections.defaultdict(list)
    for resource in resources:
        for digest in set(_keys_of(resource)):
            owners[digest].append(resource.name)
    return [
        f"tenant/{names[-1]}: key_sha256: held by {', '.join(sorted(names))}, allowed is one tenant"
        for names in owners.values()
        if len(names) > 1
    ]
