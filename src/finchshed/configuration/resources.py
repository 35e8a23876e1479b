"""Resources that make up a configuration.

A configuration is a set of resources, each named by its kind and name. The same types are read
from declaration files (TOML), kept in the replicated log and sent to daemons.
"""

import enum
from typing import Annotated, TypeAlias, get_args

import msgspec

from finchshed.common.importance import Importance

Name: TypeAlias = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
"""Name of a resource, zone or region."""

Address: TypeAlias = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
"""An IPv4 address and port, ``a.b.c.d:port``."""

Shard: TypeAlias = Annotated[tuple[Address, ...], msgspec.Meta(min_length=1, max_length=9)]
"""One control group that keeps a part of the ledger."""

HostName: TypeAlias = Annotated[str, msgspec.Meta(pattern=r"^[^\s/]{1,253}$")]
"""Host of a request, without a port."""

HostRouteName: TypeAlias = Annotated[str, msgspec.Meta(pattern=r"^[^\s/]{1,253}/\S{0,4000}$")]

TenantName: TypeAlias = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,128}$")]
"""Name of a tenant; it travels as the value of a header."""

KeyDigest: TypeAlias = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
"""Hexadecimal SHA-256 digest of an API key."""

WARM_UP_SECONDS = 10.0
"""Time over which a new back end's share of the work grows, where none is declared."""

PositiveSeconds: TypeAlias = Annotated[float, msgspec.Meta(gt=0.0, le=86_400.0)]


class EndpointState(enum.StrEnum):
    """Whether an endpoint takes new work."""

    ACTIVE = "active"
    LEAVING = "leaving"


class Route(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """Requests of one kind within a service, found by longest path prefix.

    Attributes
    ----------
    prefix
        Path prefix the route stands for.
    importance
        Class the route's requests are shed by.
    repeatable
        Whether a request may run more than once. Where it may not, callers give an
        idempotency key and the ledger is asked before the request is sent.
    session
        Whether requests of this route belong to sessions.
    """

    prefix: Annotated[str, msgspec.Meta(pattern=r"^/")]
    importance: Importance = Importance.NORMAL
    repeatable: bool = True
    session: bool = False


class Service(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True, tag="service"
):
    """A service: its routes and its limits.

    Attributes
    ----------
    deadline_seconds
        Deadline of a root request that brings none.
    max_body_bytes
        Largest request or answer that is spooled; larger ones are refused with a clear error.
    max_sessions
        Sessions one endpoint admits at a time.
    session_idle_seconds
        A session unused for this long has ended.
    health_path
        Path a back end answers checks of its health on.
    max_connections
        Connections one back end takes; 0: as the settings of its daemon say.
    """

    name: Name
    routes: tuple[Route, ...] = (Route(prefix="/"),)
    deadline_seconds: PositiveSeconds = 2.0
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1, le=64 << 20)] = 1 << 20
    max_sessions: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0
    session_idle_seconds: PositiveSeconds = 60.0
    health_path: Annotated[str, msgspec.Meta(pattern=r"^/\S*$")] = "/health"
    max_connections: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0


class Destination(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """One of the services that share the requests of a route, and its part of them.

    ``weight`` counts against the sum of the route's weights; 0: it gets none.
    """

    service: Name
    weight: Annotated[float, msgspec.Meta(ge=0.0, le=1e9)] = 1.0


class HostRoute(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True, tag="host_route"
):
    """Requests that come for one host under one path prefix.

    A request falls under the route of its host with the longest prefix of its path.

    Attributes
    ----------
    name
        Host and prefix together, see :func:`host_route_name`.
    destinations
        Services that answer the requests, by weight.
    importance
        Class the requests are shed by.
    repeatable
        Whether a request may run more than once. Where it may not, the daemon that took it sends
        it once, and never again after it may have run.
    timeout_seconds
        Longest time for which a request is held.
    target_seconds
        Latency the requests are meant to be answered in.
    max_attempts
        Back ends that one request may be sent to, the first included.
    public
        Whether requests are taken without an API key where tenants are declared.
    """

    name: HostRouteName
    host: HostName
    prefix: Annotated[str, msgspec.Meta(pattern=r"^/")]
    destinations: Annotated[tuple[Destination, ...], msgspec.Meta(min_length=1)]
    importance: Importance = Importance.NORMAL
    repeatable: bool = True
    timeout_seconds: Annotated[float, msgspec.Meta(gt=0.0, le=600.0)] = 2.0
    target_seconds: PositiveSeconds = 1.0
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=100)] = 2
    public: bool = False


class IngressLimits(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    forbid_unknown_fields=True,
    tag="ingress_limits",
):
    """What a caller may send and how long it may take; the one resource is named ``default``.

    Attributes
    ----------
    head_seconds
        Longest time from the first byte of a request's head to its last.
    idle_seconds
        A connection without a request for longer may be closed.
    """

    name: Name = "default"
    max_head_bytes: Annotated[int, msgspec.Meta(ge=256, le=1 << 20)] = 65_536
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0, le=64 << 20)] = 64 << 20
    head_seconds: PositiveSeconds = 30.0
    idle_seconds: PositiveSeconds = 75.0


class Endpoint(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True, tag="endpoint"
):
    """One back end with the daemon beside it.

    Attributes
    ----------
    address
        Where the daemon beside the back end listens for links of other daemons.
    slots
        Requests the back end can run at a time, as declared.
    warm_up_seconds
        Time over which a new back end's share of the work grows to its whole one.
    """

    name: Name
    service: Name
    region: Name
    zone: Name
    address: Address
    slots: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    state: EndpointState = EndpointState.ACTIVE
    warm_up_seconds: Annotated[float, msgspec.Meta(ge=0.0, le=3600.0)] = WARM_UP_SECONDS


class Policy(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True, tag="policy"
):
    """Limits that hold for the whole deployment; the one resource is named ``default``.

    Attributes
    ----------
    retry_budget
        Spare attempts of one root request over its whole call graph.
    retry_ratio
        Retries a service's callers may make in sum, as a share of its recent successes.
    retry_burst
        Retries that all daemons together may make of a service's calls beyond that share; 0: each
        daemon has a bound of its own.
    key_window_seconds
        How long an idempotency key is valid; past it a request with that key is refused.
    key_trust_seconds
        Longest time for which a daemon that control can't reach goes on taking API keys that may
        have been taken away; 0: no limit.
    quota_window_seconds, quota_overshoot, quota_slack
        In any such window all daemons together take at most ``(rate * window + burst) * (1 +
        overshoot) + slack`` requests of a tenant.
    ledger_shards
        Control groups that the at-most-once ledger is spread over, each by the distribution
        addresses of its nodes; none: the control group keeps the ledger itself.
    """

    name: Name = "default"
    retry_budget: Annotated[int, msgspec.Meta(ge=0, le=16)] = 3
    retry_ratio: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.1
    key_window_seconds: PositiveSeconds = 600.0
    retry_burst: Annotated[float, msgspec.Meta(ge=0.0, le=1e6)] = 0.0
    ledger_shards: tuple[Shard, ...] = ()
    quota_window_seconds: Annotated[float, msgspec.Meta(gt=0.0, le=3600.0)] = 5.0
    quota_overshoot: Annotated[float, msgspec.Meta(ge=0.0, le=10.0)] = 0.1
    quota_slack: Annotated[float, msgspec.Meta(ge=0.0, le=1e9)] = 20.0
    key_trust_seconds: Annotated[float, msgspec.Meta(ge=0.0, le=86_400.0)] = 0.0


class Operator(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True, tag="operator"
):
    """Someone who may change the configuration.

    ``token_sha256`` is the hexadecimal SHA-256 digest of the operator's token.
    """

    name: Name
    token_sha256: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class Tenant(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True, tag="tenant"
):
    """Someone whose requests carry an API key.

    Once a tenant is declared, each request by host needs a key, except on public routes and for
    the calls that back ends make.

    Attributes
    ----------
    key_sha256
        Digests of the tenant's API keys; several, so that keys can be changed without a gap.
    importance
        Class of the tenant's requests, in place of that of their route; None: the route's.
    requests_per_second
        Requests that all daemons together take from the tenant; 0: no limit.
    burst_requests
        Requests above that rate which may come at once after a quiet time.
    """

    name: TenantName
    key_sha256: tuple[KeyDigest, ...] = ()
    importance: Importance | None = None
    requests_per_second: Annotated[float, msgspec.Meta(ge=0.0, le=1e9)] = 0.0
    burst_requests: Annotated[float, msgspec.Meta(ge=0.0, le=1e9)] = 0.0


Resource: TypeAlias = Service | HostRoute | IngressLimits | Endpoint | Policy | Operator | Tenant


class ResourceKey(msgspec.Struct, frozen=True, order=True):
    """Identity of a resource."""

    kind: str
    name: str


def host_route_name(host: str, prefix: str) -> str:
    """Return the name of the route for ``host`` and ``prefix``."""
    return host + prefix


def kind_of(resource_type: type[Resource]) -> str:
    """Return the kind that resources of a type have in their keys."""
    return str(resource_type.__struct_config__.tag)


def key_of(resource: Resource) -> ResourceKey:
    """Return the identity of ``resource``."""
    return ResourceKey(kind=kind_of(type(resource)), name=resource.name)


KINDS = frozenset(kind_of(resource_type) for resource_type in get_args(Resource))
"""Kinds of all resources."""
