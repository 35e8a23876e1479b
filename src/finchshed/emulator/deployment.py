"""Descriptions of the deployments that are emulated."""

from collections.abc import Iterator

import msgspec

from finchshed.common.importance import Importance


class ServiceModel(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A service's back ends.

    Attributes
    ----------
    slots
        Requests one back end runs at a time. A request holds its slot while it calls on.
    connections
        Requests one back end holds, running or waiting.
    max_sessions
        Sessions one back end admits at a time.
    """

    name: str
    back_ends: int
    slots: int
    connections: int = 120
    max_sessions: int = 1000


class Hop(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One call of a call graph: the service, its own work, and the calls it makes, all at once.

    ``seconds`` is the mean of the back end's own work, without the calls on.
    """

    service: str
    seconds: float
    calls: tuple["Hop", ...] = ()


class RequestKind(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A kind of root request. ``share`` is its part of all arrivals."""

    name: str
    importance: Importance
    share: float
    hop: Hop
    repeatable: bool = True
    session: bool = False


class Deployment(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A deployment: zones, services and the requests they serve.

    Attributes
    ----------
    zone_delay_seconds, client_delay_seconds
        One-way delays between zones, and between outside callers and an edge.
    arrivals_per_second
        Demand on an ordinary day.
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
        """Return the kind called ``name``; KeyError if there is none."""
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
    """Return how long a request holds its slot at ``hop``, without any queueing below."""
    below = max((hold_seconds(call) for call in hop.calls), default=0.0)
    return hop.seconds + below
