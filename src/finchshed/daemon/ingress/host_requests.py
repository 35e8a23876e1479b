"""What a request by host becomes for the call path: its deadline, context and headers.

Owns the names of the headers that are set or dropped. Relies on the route and the tenant that were
found from the request's head.
"""

from collections.abc import Callable

import msgspec

from finchshed.admission.rank import position_of, position_within_class
from finchshed.common.context import CallContext
from finchshed.common.outcomes import Headers
from finchshed.common.units import MILLISECONDS
from finchshed.configuration.resources import HostRoute, Tenant
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.request import MAX_ANSWER_BYTES_BY_HOST, Request, end_to_end_headers
from finchshed.daemon.serving.accounts import ServedRequest
from finchshed.http.message import InboundRequest
from finchshed.runtime import clock


class HostAdmitted(msgspec.Struct, frozen=True, gc=False):
    """What is known of a request from its head. ``began`` is in monotonic seconds.

    ``service`` was drawn then: the route may be gone by the end of the body. ``tenant`` holds the
    request's API key; None for a call of the own back end, or where no key is needed.
    """

    route: HostRoute
    service: str
    host: str
    remaining_seconds: float
    began: float
    tenant: Tenant | None = None


class HostRequests:
    """Makes requests of the call path.

    Parameters
    ----------
    own_service
        Returns the service of the back end beside this daemon.
    """

    def __init__(self, names: HeaderNames, own_service: Callable[[], str]) -> None:
        self._names = names
        self._own_service = own_service
        self._always_dropped = names.set_here()
        self._dropped = self._always_dropped
        self._deadline = names.deadline.encode("ascii")

    def configure(self, *, has_tenants: bool) -> None:
        """Drop what callers may not set, by whether tenants are declared."""
        self._dropped = self._always_dropped
        if has_tenants:
            self._dropped |= self._names.of_tenants()

    def remaining_seconds(self, request: InboundRequest, route: HostRoute) -> float:
        """Return the seconds until its deadline: what the caller will wait, at most the route's."""
        return min(self._stated_seconds(request, route), route.timeout_seconds)

    def make(
        self,
        request: InboundRequest,
        identity: str,
        admitted: HostAdmitted,
        served: ServedRequest | None,
    ) -> Request:
        """Return the request; ``served`` is the one it is a call for, None for a root request."""
        route = admitted.route
        return Request(
            service=admitted.service,
            method=request.method,
            path=request.target,
            headers=self._headers(request, admitted),
            body=request.body,
            context=_context(admitted, identity, served),
            repeatable=route.repeatable,
            max_body_bytes=MAX_ANSWER_BYTES_BY_HOST,
            route=route.name,
            identity=identity,
            target_seconds=route.target_seconds,
            tenant="" if admitted.tenant is None else admitted.tenant.name,
        )

    def _stated_seconds(self, request: InboundRequest, route: HostRoute) -> float:
        """Return the seconds the caller will wait, by its word."""
        value = request.first.get(self._deadline)
        if value is None:
            return route.timeout_seconds
        try:
            return max(0.0, float(value) / MILLISECONDS)
        except ValueError:
            # No number: the caller named no deadline that counts.
            return route.timeout_seconds

    def _headers(self, request: InboundRequest, admitted: HostAdmitted) -> Headers:
        """Return the headers that go to the back end, but for those of each attempt."""
        kept = tuple(
            item for item in end_to_end_headers(request.headers) if item[0] not in self._dropped
        )
        headers = (
            ("host", admitted.host),
            *kept,
            (self._names.caller_service, self._own_service()),
        )
        if admitted.tenant is None:
            return headers
        return (*headers, (self._names.tenant, admitted.tenant.name))


def _context(admitted: HostAdmitted, identity: str, served: ServedRequest | None) -> CallContext:
    now = clock.now()
    remaining = admitted.remaining_seconds - (now - admitted.began)
    if served is None:
        return _root_context(admitted, identity, remaining)
    inherited = served.context
    return CallContext(
        root=inherited.root,
        importance=inherited.importance,
        remaining_seconds=min(remaining, served.deadline - now),
        spare_attempts=admitted.route.max_attempts - 1,
        depth=inherited.depth + 1,
        position=inherited.position,
        is_call=True,
        admitted_fraction=inherited.admitted_fraction,
    )


def _root_context(admitted: HostAdmitted, identity: str, remaining: float) -> CallContext:
    """Return the context of a root request; a tenant's own class goes before the route's."""
    route, tenant = admitted.route, admitted.tenant
    spare = route.max_attempts - 1
    if tenant is None or tenant.importance is None:
        return CallContext(identity, route.importance, remaining, spare)
    return CallContext(
        identity,
        tenant.importance,
        remaining,
        spare,
        position=position_within_class(route.importance, position_of(identity)),
    )
