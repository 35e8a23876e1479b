"""Resources that make up a configuration.

A configuration is a set of resources, each named by its kind and name. The same types are read
from declaration files (TOML), kept in the replicated log and sent to daemons.
"""

import enum
from typing import Annotated, TypeAlias

import msgspec

from finchshed.common.importance import Importance

Name: TypeAlias = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
"""Name of a resource, zone or region."""

Address: TypeAlias = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
"""An IPv4 address and port, ``a.b.c.d:port``."""

Shard: TypeAlias = Annotated[tuple[Address, ...], msgspec.Meta(min_length=1, max_length=9)]
"""One control group that keeps a part of the ledger."""

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
    """

    name: Name
    routes: tuple[Route, ...] = (Route(prefix="/"),)
    deadline_seconds: PositiveSeconds = 2.0
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1, le=64 << 20)] = 1 << 20
    max_sessions: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0
    session_idle_seconds: PositiveSeconds = 60.0


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
    """

    name: Name
    service: Name
    region: Name
    zone: Name
    address: Address
    slots: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    state: EndpointState = EndpointState.ACTIVE


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
    key_window_seconds
        How long an idempotency key is valid; past it a request with that key is refused.
    ledger_shards
        Control groups that the at-most-once ledger is spread over, each by the distribution
        addresses of its nodes; none: the control group keeps the ledger itself.
    """

    name: Name = "default"
    retry_budget: Annotated[int, msgspec.Meta(ge=0, le=16)] = 3
    retry_ratio: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.1
    key_window_seconds: PositiveSeconds = 600.0
    ledger_shards: tuple[Shard, ...] = ()


class Operator(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True, tag="operator"
):
    """Someone who may change the configuration.

    ``token_sha256`` is the hexadecimal SHA-256 digest of the operator's token.
    """

    name: Name
    token_sha256: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


Resource: TypeAlias = Service | Endpoint | Policy | Operator

KINDS: tuple[type[Service], type[Endpoint], type[Policy], type[Operator]] = (
    Service,
    Endpoint,
    Policy,
    Operator,
)


class ResourceKey(msgspec.Struct, frozen=True, order=True):
    """Identity of a resource."""

    kind: str
    name: str


def key_of(resource: Resource) -> ResourceKey:
    """Return the identity of ``resource``."""
    kind = type(resource).__struct_config__.tag
    return ResourceKey(kind=str(kind), name=resource.name)
