"""Resource types of the configuration.

A configuration is a set of resources identified by kind and name. The same types are read from TOML
declaration files, stored in the replicated log and sent to daemons.
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
"""Addresses of a control group that stores one shard of the ledger."""

HostName: TypeAlias = Annotated[str, msgspec.Meta(pattern=r"^[^\s/]{1,253}$")]
"""Host name of a request, without a port."""

HostRouteName: TypeAlias = Annotated[str, msgspec.Meta(pattern=r"^[^\s/]{1,253}/\S{0,4000}$")]

TenantName: TypeAlias = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,128}$")]
"""Name of a tenant, restricted to characters that are valid in a header value."""

KeyDigest: TypeAlias = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
"""Hexadecimal SHA-256 digest of an API key."""

WARM_UP_SECONDS = 10.0
"""Default time over which traffic to a new back end ramps up."""

PositiveSeconds: TypeAlias = Annotated[float, msgspec.Meta(gt=0.0, le=86_400.0)]


class EndpointState(enum.StrEnum):
    """Whether an endpoint accepts new requests."""

    ACTIVE = "active"
    LEAVING = "leaving"


class Route(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """Requests of a service under one path prefix; the longest matching prefix applies.

    Attributes
    ----------
    prefix
        Path prefix that the route matches.
    importance
        Importance class for load shedding.
    repeatable
        Whether a request may be executed more than once. If not, callers supply an idempotency
        key, and the ledger must grant each attempt before it is sent.
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
    """Routes and limits of a service.

    Attributes
    ----------
    deadline_seconds
        Default deadline of root requests.
    max_body_bytes
        Maximum size of a spooled request or response body; larger ones are refused.
    max_sessions
        Maximum number of concurrent sessions per endpoint.
    session_idle_seconds
        Idle time after which a session ends.
    health_path
        Path for health checks of the back ends.
    max_connections
        Maximum number of connections to one back end; 0 for the value in the daemon's settings.
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
    """A service that receives part of a route's requests.

    The part is ``weight`` divided by the sum of the route's weights.
    """

    service: Name
    weight: Annotated[float, msgspec.Meta(ge=0.0, le=1e9)] = 1.0


class HostRoute(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True, tag="host_route"
):
    """Ingress requests for one host and path prefix; the longest matching prefix applies.

    Attributes
    ----------
    name
        Concatenation of host and prefix, see :func:`host_route_name`.
    destinations
        Services that receive the requests, by weight.
    importance
        Importance class for load shedding.
    repeatable
        Whether a request may be executed more than once. If not, the ingress daemon doesn't retry
        a request that may have been executed.
    timeout_seconds
        Maximum time to wait for the response to a request.
    target_seconds
        Latency objective.
    max_attempts
        Maximum number of back ends that a request is sent to, including the first.
    public
        Whether requests are accepted without an API key when tenants are declared.
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
    """Size and time limits for ingress requests; the only resource is named ``default``.

    Attributes
    ----------
    head_seconds
        Maximum time from the first to the last byte of a request's head.
    idle_seconds
        Time without a request after which a connection may be closed.
    """

    name: Name = "default"
    max_head_bytes: Annotated[int, msgspec.Meta(ge=256, le=1 << 20)] = 65_536
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0, le=64 << 20)] = 64 << 20
    head_seconds: PositiveSeconds = 30.0
    idle_seconds: PositiveSeconds = 75.0


class Endpoint(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True, tag="endpoint"
):
    """A back end together with the daemon beside it.

    Attributes
    ----------
    address
        Address on which that daemon accepts links from other daemons.
    slots
        Declared number of requests that the back end can run concurrently.
    warm_up_seconds
        Time over which traffic to a new back end ramps up to its full share.
    """

    name: Name
    service: Name
    region: Name
    zone: Name
    address: Address
    slots: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    state: EndpointState = EndpointState.ACTIVE
    warm_up_seconds: Annotated[float, msgspec.Meta(ge=0.0, le=3600.0)] = WARM_UP_SECONDS


class RetryRefill(enum.StrEnum):
    """What adds tokens to the retry buckets of a service."""

    SUCCESSES = "successes"
    """Each success; calls made for a request add less than root requests."""

    REQUESTS = "requests"
    """The first attempt of each call or root request, whatever its outcome."""


class Policy(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True, tag="policy"
):
    """Limits of the whole deployment; the only resource is named ``default``.

    Attributes
    ----------
    retry_budget
        Maximum number of retries for one root request over its whole call graph.
    retry_ratio
        Maximum retries by all callers of a service, as a fraction of its recent successes, or of
        its requests if these refill the buckets.
    retry_burst
        Retries that all daemons together may make to a service beyond ``retry_ratio``; 0 for a
        separate limit per daemon.
    key_window_seconds
        Validity of an idempotency key; requests with an older key are refused.
    key_trust_seconds
        Maximum time for which a daemon without contact to control keeps accepting API keys that
        may have been revoked; 0 for no limit.
    quota_window_seconds, quota_overshoot, quota_slack
        In any window, all daemons together admit at most ``(rate * window + burst) * (1 +
        overshoot) + slack`` requests of a tenant.
    retry_refill
        What adds tokens to the retry buckets.
    fair_shares
        Whether the callers of an importance class share capacity by max-min fairness.
    schedules_returns
        Whether retry-after times of refused requests are reservations of upcoming capacity.
    defers_unrepeatable
        Whether the first try of a request that may run only once is refused, to return later, while
        most calls that it needs are refused.
    ledger_shards
        Control groups that the at-most-once ledger is sharded over, each given by the distribution
        addresses of its nodes. If empty, the control group itself stores the ledger.
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
    retry_refill: RetryRefill = RetryRefill.SUCCESSES
    fair_shares: bool = False
    schedules_returns: bool = False
    defers_unrepeatable: bool = False


class Operator(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True, tag="operator"
):
    """A principal that may change the configuration.

    ``token_sha256`` is the hexadecimal SHA-256 digest of the operator's token.
    """

    name: Name
    token_sha256: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class Tenant(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True, tag="tenant"
):
    """A client of the deployment, authenticated by API keys.

    Once any tenant is declared, ingress requests need a key, except on public routes and for calls
    made by back ends.

    Attributes
    ----------
    key_sha256
        Digests of the tenant's API keys. Several keys may be valid at once to allow rotation.
    importance
        Importance class that overrides the route's; None to use the route's.
    requests_per_second
        Maximum request rate over all daemons; 0 for no limit.
    burst_requests
        Number of requests above that rate admitted at once after an idle period.
    weight
        Weight of the tenant's share of capacity where the policy sets ``fair_shares``.
    """

    name: TenantName
    key_sha256: tuple[KeyDigest, ...] = ()
    importance: Importance | None = None
    requests_per_second: Annotated[float, msgspec.Meta(ge=0.0, le=1e9)] = 0.0
    burst_requests: Annotated[float, msgspec.Meta(ge=0.0, le=1e9)] = 0.0
    weight: Annotated[float, msgspec.Meta(ge=1e-3, le=1e3)] = 1.0


Resource: TypeAlias = Service | HostRoute | IngressLimits | Endpoint | Policy | Operator | Tenant


class ResourceKey(msgspec.Struct, frozen=True, order=True):
    """Kind and name that identify a resource."""

    kind: str
    name: str


def host_route_name(host: str, prefix: str) -> str:
    """Return the resource name of the route for ``host`` and ``prefix``."""
    return host + prefix


def kind_of(resource_type: type[Resource]) -> str:
    """Return the kind used in the keys of a resource type."""
    return str(resource_type.__struct_config__.tag)


def key_of(resource: Resource) -> ResourceKey:
    """Return the key of ``resource``."""
    return ResourceKey(kind=kind_of(type(resource)), name=resource.name)


KINDS = frozenset(kind_of(resource_type) for resource_type in get_args(Resource))
"""Kinds of all resource types."""
