"""Converts configuration resources and their keys to and from RPC messages."""

from collections.abc import Iterable

import msgspec

from finchshed.common.importance import Importance
from finchshed.configuration.fields import convert_table
from finchshed.configuration.resources import (
    Destination,
    Endpoint,
    EndpointState,
    HostRoute,
    IngressLimits,
    Operator,
    Policy,
    Resource,
    ResourceKey,
    RetryRefill,
    Route,
    Service,
    Tenant,
    key_of,
)
from finchshed.rpc.generated import finchshed_pb2 as pb

STATE_TO_MESSAGE = {
    EndpointState.ACTIVE: pb.ENDPOINT_STATE_ACTIVE,
    EndpointState.LEAVING: pb.ENDPOINT_STATE_LEAVING,
}
INGRESS_LIMITS_FIELDS = IngressLimits.__struct_fields__
ALLOWED_KINDS = "service, host_route, ingress_limits, endpoint, policy, operator, tenant"
OPTIONAL_POLICY_FIELDS = ("quota_window_seconds", "quota_overshoot", "quota_slack")
STATE_FROM_MESSAGE = {number: state for state, number in STATE_TO_MESSAGE.items()}


def resource_to_message(resource: Resource) -> pb.Resource:
    """Return ``resource`` as an RPC message."""
    if isinstance(resource, Service):
        return pb.Resource(service=_service_to_message(resource))
    if isinstance(resource, Endpoint):
        return pb.Resource(
            endpoint=pb.Endpoint(
                name=resource.name,
                service=resource.service,
                region=resource.region,
                zone=resource.zone,
                address=resource.address,
                slots=resource.slots,
                state=STATE_TO_MESSAGE[resource.state],
                warm_up_seconds=resource.warm_up_seconds,
            )
        )
    if isinstance(resource, Policy):
        return pb.Resource(
            policy=pb.Policy(
                name=resource.name,
                retry_budget=resource.retry_budget,
                retry_ratio=resource.retry_ratio,
                key_window_seconds=resource.key_window_seconds,
                retry_burst=resource.retry_burst,
                ledger_shards=[
                    pb.LedgerShard(addresses=addresses) for addresses in resource.ledger_shards
                ],
                key_trust_seconds=resource.key_trust_seconds,
                quota_window_seconds=resource.quota_window_seconds,
                quota_overshoot=resource.quota_overshoot,
                quota_slack=resource.quota_slack,
                retry_refill=resource.retry_refill,
                fair_shares=resource.fair_shares,
                schedules_returns=resource.schedules_returns,
                defers_unrepeatable=resource.defers_unrepeatable,
            )
        )
    if isinstance(resource, HostRoute):
        return pb.Resource(host_route=_host_route_to_message(resource))
    if isinstance(resource, IngressLimits):
        fields = msgspec.structs.asdict(resource)
        return pb.Resource(ingress_limits=pb.IngressLimits(**fields))
    if isinstance(resource, Tenant):
        return pb.Resource(tenant=_tenant_to_message(resource))
    operator = pb.Operator(name=resource.name, token_sha256=resource.token_sha256)
    return pb.Resource(operator=operator)


def resource_from_message(message: pb.Resource, problems: list[str]) -> Resource | None:
    """Return the validated resource in ``message``; add to ``problems`` and return None if invalid.

    An invalid part (a route, a destination) makes the whole resource invalid.
    """
    new_problems: list[str] = []
    resource = _convert_by_kind(message, new_problems)
    problems += new_problems
    return None if new_problems else resource


def _convert_by_kind(message: pb.Resource, problems: list[str]) -> Resource | None:
    kind = message.WhichOneof("kind")
    if kind == "service":
        return _service_from_message(message.service, problems)
    if kind == "endpoint":
        return _endpoint_from_message(message.endpoint, problems)
    if kind == "policy":
        return _policy_from_message(message.policy, problems)
    if kind == "host_route":
        return _host_route_from_message(message.host_route, problems)
    if kind == "ingress_limits":
        table = {name: getattr(message.ingress_limits, name) for name in INGRESS_LIMITS_FIELDS}
        return convert_table(table, IngressLimits, "ingress_limits", problems)
    if kind == "operator":
        table = {"name": message.operator.name, "token_sha256": message.operator.token_sha256}
        return convert_table(table, Operator, f"operator {message.operator.name}", problems)
    if kind == "tenant":
        return _tenant_from_message(message.tenant, problems)
    problems.append(f"resource: no kind given, allowed are: {ALLOWED_KINDS}")
    return None


def resources_from_messages(
    messages: Iterable[pb.Resource], problems: list[str]
) -> tuple[Resource, ...]:
    """Return the valid resources; the problems of the others are added to ``problems``."""
    converted = (resource_from_message(message, problems) for message in messages)
    return tuple(resource for resource in converted if resource is not None)


def resources_by_key(messages: Iterable[pb.Resource]) -> dict[ResourceKey, Resource]:
    """Return the resources sent by a server, by key."""
    resources = resources_from_messages(messages, [])
    return {key_of(resource): resource for resource in resources}


def key_to_message(key: ResourceKey) -> pb.ResourceKey:
    """Return ``key`` as an RPC message."""
    return pb.ResourceKey(kind=key.kind, name=key.name)


def key_from_message(message: pb.ResourceKey) -> ResourceKey:
    """Return the key in ``message``."""
    return ResourceKey(kind=message.kind, name=message.name)


def _service_to_message(service: Service) -> pb.Service:
    routes = [
        pb.Route(
            prefix=route.prefix,
            importance=int(route.importance),
            repeatable=route.repeatable,
            session=route.session,
        )
        for route in service.routes
    ]
    return pb.Service(
        name=service.name,
        routes=routes,
        deadline_seconds=service.deadline_seconds,
        max_body_bytes=service.max_body_bytes,
        max_sessions=service.max_sessions,
        session_idle_seconds=service.session_idle_seconds,
        health_path=service.health_path,
        max_connections=service.max_connections,
    )


def _service_from_message(message: pb.Service, problems: list[str]) -> Service | None:
    where = f"service {message.name}"
    routes = []
    for position, route in enumerate(message.routes, start=1):
        table = {
            "prefix": route.prefix,
            "importance": _importance_from_number(route.importance, where, problems),
            "repeatable": route.repeatable,
            "session": route.session,
        }
        converted = convert_table(table, Route, f"{where}: route {position}", problems)
        if converted is not None:
            routes.append(converted)
    table = {
        "name": message.name,
        "routes": tuple(routes),
        "deadline_seconds": message.deadline_seconds,
        "max_body_bytes": message.max_body_bytes,
        "max_sessions": message.max_sessions,
        "session_idle_seconds": message.session_idle_seconds,
        "max_connections": message.max_connections,
    }
    if message.health_path:
        table["health_path"] = message.health_path
    return convert_table(table, Service, where, problems)


def _host_route_to_message(route: HostRoute) -> pb.HostRoute:
    return pb.HostRoute(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        destinations=[
            pb.Destination(service=destination.service, weight=destination.weight)
            for destination in route.destinations
        ],
        importance=int(route.importance),
        repeatable=route.repeatable,
        timeout_seconds=route.timeout_seconds,
        target_seconds=route.target_seconds,
        max_attempts=route.max_attempts,
        public=route.public,
    )


def _host_route_from_message(message: pb.HostRoute, problems: list[str]) -> HostRoute | None:
    where = f"host_route {message.name}"
    destinations = []
    for position, destination in enumerate(message.destinations, start=1):
        table = {"service": destination.service, "weight": destination.weight}
        part = f"{where}: destination {position}"
        converted = convert_table(table, Destination, part, problems)
        if converted is not None:
            destinations.append(converted)
    table = {
        "name": message.name,
        "host": message.host,
        "prefix": message.prefix,
        "destinations": tuple(destinations),
        "importance": _importance_from_number(message.importance, where, problems),
        "repeatable": message.repeatable,
        "timeout_seconds": message.timeout_seconds,
        "target_seconds": message.target_seconds,
        "max_attempts": message.max_attempts,
        "public": message.public,
    }
    return convert_table(table, HostRoute, where, problems)


def _tenant_to_message(tenant: Tenant) -> pb.Tenant:
    message = pb.Tenant(
        name=tenant.name,
        key_sha256=tenant.key_sha256,
        requests_per_second=tenant.requests_per_second,
        burst_requests=tenant.burst_requests,
        weight=tenant.weight,
    )
    if tenant.importance is not None:
        message.importance = pb.Importance.ValueType(int(tenant.importance))
    return message


def _tenant_from_message(message: pb.Tenant, problems: list[str]) -> Tenant | None:
    where = f"tenant {message.name}"
    table = {
        "name": message.name,
        "key_sha256": tuple(message.key_sha256),
        "requests_per_second": message.requests_per_second,
        "burst_requests": message.burst_requests,
    }
    if message.HasField("importance"):
        table["importance"] = _importance_from_number(message.importance, where, problems)
    if message.HasField("weight"):
        table["weight"] = message.weight
    return convert_table(table, Tenant, where, problems)


def _importance_from_number(number: int, where: str, problems: list[str]) -> Importance:
    try:
        return Importance(number)
    except ValueError:
        allowed = ", ".join(str(int(importance)) for importance in Importance)
        problems.append(f"{where}: importance = {number}: allowed are: {allowed}")
        return Importance.NORMAL


def _endpoint_from_message(message: pb.Endpoint, problems: list[str]) -> Endpoint | None:
    where = f"endpoint {message.name}"
    if message.state not in STATE_FROM_MESSAGE:
        allowed = ", ".join(str(number) for number in STATE_FROM_MESSAGE)
        problems.append(f"{where}: state = {message.state}: allowed are: {allowed}")
    table = {
        "name": message.name,
        "service": message.service,
        "region": message.region,
        "zone": message.zone,
        "address": message.address,
        "slots": message.slots,
        "state": STATE_FROM_MESSAGE.get(message.state, EndpointState.ACTIVE),
    }
    if message.HasField("warm_up_seconds"):
        table["warm_up_seconds"] = message.warm_up_seconds
    return convert_table(table, Endpoint, where, problems)


def _policy_from_message(message: pb.Policy, problems: list[str]) -> Policy | None:
    table = {
        "name": message.name,
        "retry_budget": message.retry_budget,
        "retry_ratio": message.retry_ratio,
        "key_window_seconds": message.key_window_seconds,
        "retry_burst": message.retry_burst,
        "key_trust_seconds": message.key_trust_seconds,
        "ledger_shards": tuple(tuple(shard.addresses) for shard in message.ledger_shards),
        "retry_refill": message.retry_refill or RetryRefill.SUCCESSES,
        "fair_shares": message.fair_shares,
        "schedules_returns": message.schedules_returns,
        "defers_unrepeatable": message.defers_unrepeatable,
    }
    for field in OPTIONAL_POLICY_FIELDS:
        if message.HasField(field):
            table[field] = getattr(message, field)
    return convert_table(table, Policy, f"policy {message.name}", problems)
