"""Models of the deployments to emulate."""

from collections.abc import Iterator

import msgspec

from finchshed.common.importance import Importance


class ServiceModel(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Model of a service and its back ends.

    Attributes
    ----------
    slots
        Requests that one back end runs at a time, including those waiting for nested calls.
    connections
        Requests that one back end holds, running or queued.
    max_sessions
        Sessions that one back end admits at a time.
    """

    name: str
    back_ends: int
    slots: int
    connections: int = 120
    max_sessions: int = 1000


class Hop(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A call of a call graph: the service, and its nested calls, which run in parallel.

    ``seconds`` is the mean service time without the nested calls.
    """

    service: str
    seconds: float
    calls: tuple["Hop", ...] = ()


class RequestKind(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A kind of root request. ``share`` is its fraction of all arrivals."""

    name: str
    importance: Importance
    share: float
    hop: Hop
    repeatable: bool = True
    session: bool = False


class Deployment(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Model of a deployment.

    Attributes
    ----------
    zone_delay_seconds, client_delay_seconds
        One-way delays between zones, and between external callers and an edge.
    arrivals_per_second
        Arrival rate of root requests without a surge.
    deep_service
        The service at the bottom of the call graphs, which disturbances slow down.
    """

    name: str
    zones: tuple[str, ...]
    zone_delay_seconds: float
    client_delay_seconds: float
    services: tuple[ServiceModel, ...]
    kinds: tuple[RequestKind, ...]
    arrivals_per_second: float
    deep_service: str
    deadline_seconds: float = 2.0
    connect_seconds: float = 0.001

    def kind(self, name: str) -> RequestKind:
        """Return the kind called ``name``, or raise KeyError."""
        for kind in self.kinds:
            if kind.name == name:
                return kind
        raise KeyError(name)


def hops_of(hop: Hop) -> Iterator[Hop]:
    """Yield ``hop`` and every hop below it."""
    yield hop
    for call in hop.calls:
        yield from hops_of(call)


def hold_seconds(hop: Hop) -> float:
    """Return the mean time a request holds its slot at ``hop`` if no nested call queues."""
    nested = max((hold_seconds(call) for call in hop.calls), default=0.0)
    return hop.seconds + nested
