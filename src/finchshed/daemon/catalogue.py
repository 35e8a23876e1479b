"""Immutable index of the active configuration for per-request lookups.

Each configuration revision gets a new index. The resources must have been validated.
"""

import itertools
from collections.abc import Iterable, Iterator
from urllib.parse import unquote

import msgspec

from finchshed.configuration.resources import (
    Endpoint,
    HostRoute,
    IngressLimits,
    Policy,
    Resource,
    Route,
    Service,
    Tenant,
)
from finchshed.tenancy.keys import TenantKeys


class RouteMatch(msgspec.Struct, frozen=True):
    """The service and route that match a request."""

    service: Service
    route: Route


class Catalogue:
    """Services, endpoints, routes, tenants and policy of one configuration revision."""

    def __init__(self, resources: Iterable[Resource] = (), revision: int = 0) -> None:
        self.revision = revision
        self.policy = Policy()
        self.endpoints: dict[str, Endpoint] = {}
        self.limits = IngressLimits()
        self._hosts: dict[str, list[HostRoute]] = {}
        self._services: dict[str, Service] = {}
        self._routes: dict[str, tuple[Route, ...]] = {}
        tenants: list[Tenant] = []
        for resource in resources:
            if isinstance(resource, Tenant):
                tenants.append(resource)
            else:
                self._add(resource)
        self.tenants = TenantKeys(tenants)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: -len(route.prefix))

    @property
    def has_services(self) -> bool:
        """Whether any service is declared."""
        return bool(self._services)

    @property
    def caller_weights(self) -> dict[str, float] | None:
        """Weights of callers' shares of capacity; None unless the policy enables fair shares."""
        if not self.policy.fair_shares:
            return None
        return {tenant.name: tenant.weight for tenant in self.tenants.tenants.values()}

    def service(self, name: str) -> Service | None:
        """Return a declared service, or None."""
        return self._services.get(name)

    def host_routes(self) -> Iterator[HostRoute]:
        """Yield all host routes."""
        return itertools.chain.from_iterable(self._hosts.values())

    def match_host(self, host: str, target: str) -> HostRoute | None:
        """Return the route of ``host`` with the longest matching prefix, or None.

        The port and the case of ``host`` are ignored.
        """
        name = host.partition(":")[0].lower()
        path = target.partition("?")[0]
        for route in self._hosts.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def match(self, service_name: str, path: str) -> RouteMatch | None:
        """Return the route with the longest matching prefix, or None.

        Percent-encoded characters are decoded first, as a back end would do.
        """
        if "%" in path:
            path = unquote(path)
        for route in self._routes.get(service_name, ()):
            if path.startswith(route.prefix):
                return RouteMatch(self._services[service_name], route)
        return None

    def _add(self, resource: Resource) -> None:
        if isinstance(resource, Service):
            self._services[resource.name] = resource
            longest_first = sorted(resource.routes, key=lambda route: -len(route.prefix))
            self._routes[resource.name] = tuple(longest_first)
        elif isinstance(resource, HostRoute):
            self._hosts.setdefault(resource.host.lower(), []).append(resource)
        elif isinstance(resource, IngressLimits):
            self.limits = resource
        elif isinstance(resource, Endpoint):
            self.endpoints[resource.name] = resource
        elif isinstance(resource, Policy):
            self.policy = resource
