"""Builds call path requests from host requests: deadline, context and headers.

Owns the names of the headers that are set or dropped.
"""

import math
from collections.abc import Callable

import msgspec

from finchshed.admission.rank import position_of, position_within_class
from finchshed.common.context import CallContext
from finchshed.common.outcomes import Headers
from finchshed.common.units import MILLISECONDS
from finchshed.configuration.resources import HostRoute, Tenant
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.request import MAX_ANSWER_BYTES_BY_HOST, Request, end_to_end_headers
from finchshed.daemon.serving.served_requests import ServedRequest
from finchshed.http.message import InboundRequest
from finchshed.runtime import clock


class AdmittedHostRequest(msgspec.Struct, frozen=True, gc=False):
    """Properties of an admitted request, known from its head.

    ``service`` is chosen at admission because the route may be removed while the body is read.
    ``tenant`` is None for a call of the local back end or if no API key is needed. ``began`` is in
    monotonic seconds, like ``client_deadline``: when the caller's own timeout ends, whatever that
    of the route; None if the caller states none.
    """

    route: HostRoute
    service: str
    host: str
    remaining_seconds: float
    began: float
    tenant: Tenant | None = None
    client_deadline: float | None = None


class HostRequestBuilder:
    """Builds requests for the call path.

    Parameters
    ----------
    own_service
        Returns the service of the local back end.
    """

    def __init__(self, names: HeaderNames, own_service: Callable[[], str]) -> None:
        self._names = names
        self._own_service = own_service
        self._reserved_headers = names.set_by_daemons()
        self._dropped_headers = self._reserved_headers
        self._deadline_header = names.deadline.encode("ascii")
        self._has_fair_shares = False
        self._bounds_waits = False

    def configure(
        self, *, has_tenants: bool, has_fair_shares: bool = False, bounds_waits: bool = False
    ) -> None:
        """Set how requests are built.

        Parameters
        ----------
        has_tenants
            Whether tenants are declared, whose headers are dropped.
        has_fair_shares
            Whether requests carry the name of their tenant as their caller.
        bounds_waits
            Whether the latency objective bounds the time in queues.
        """
        self._has_fair_shares = has_fair_shares
        self._bounds_waits = bounds_waits
        self._dropped_headers = self._reserved_headers
        if has_tenants:
            self._dropped_headers |= self._names.tenant_headers()

    def remaining_seconds(self, request: InboundRequest, route: HostRoute) -> float:
        """Return the seconds until the deadline: the caller's timeout, at most the route's."""
        return min(self._caller_timeout_seconds(request, route), route.timeout_seconds)

    def client_deadline(self, request: InboundRequest, now: float) -> float | None:
        """Return when the caller's own timeout ends, monotonic seconds; None if it states none."""
        value = request.first.get(self._deadline_header)
        try:
            seconds = math.nan if value is None else float(value) / MILLISECONDS
        except ValueError:
            return None
        return now + seconds if math.isfinite(seconds) else None

    def build(
        self,
        request: InboundRequest,
        identity: str,
        admitted: AdmittedHostRequest,
        served: ServedRequest | None,
    ) -> Request:
        """Build the request; ``served`` is its parent request, None for a root request."""
        route = admitted.route
        return Request(
            service=admitted.service,
            method=request.method,
            path=request.target,
            headers=self._headers(request, admitted),
            body=request.body,
            context=self._context(admitted, identity, served),
            repeatable=route.repeatable,
            max_body_bytes=MAX_ANSWER_BYTES_BY_HOST,
            route=route.name,
            identity=identity,
            target_seconds=route.target_seconds,
            tenant="" if admitted.tenant is None else admitted.tenant.name,
        )

    def _caller_timeout_seconds(self, request: InboundRequest, route: HostRoute) -> float:
        """Return the timeout in the request's deadline header, or the route's timeout."""
        value = request.first.get(self._deadline_header)
        if value is None:
            return route.timeout_seconds
        try:
            return max(0.0, float(value) / MILLISECONDS)
        except ValueError:
            # An invalid header counts as missing.
            return route.timeout_seconds

    def _context(
        self, admitted: AdmittedHostRequest, identity: str, served: ServedRequest | None
    ) -> CallContext:
        context = _context(admitted, identity, served)
        if self._has_fair_shares:
            context = _with_caller(context, admitted, served)
        if self._bounds_waits:
            target_seconds = admitted.route.target_seconds
            context = msgspec.structs.replace(context, target_seconds=target_seconds)
        return context

    def _headers(self, request: InboundRequest, admitted: AdmittedHostRequest) -> Headers:
        """Return the headers for the back end, without those that are set per attempt."""
        kept = tuple(
            item
            for item in end_to_end_headers(request.headers)
            if item[0] not in self._dropped_headers
        )
        headers = (
            ("host", admitted.host),
            *kept,
            (self._names.caller_service, self._own_service()),
        )
        if admitted.tenant is None:
            return headers
        return (*headers, (self._names.tenant, admitted.tenant.name))


def _context(
    admitted: AdmittedHostRequest, identity: str, served: ServedRequest | None
) -> CallContext:
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
        remaining_calls=inherited.remaining_calls,
        repeated=inherited.repeated,
        returning=inherited.returning,
    )


def _with_caller(
    context: CallContext, admitted: AdmittedHostRequest, served: ServedRequest | None
) -> CallContext:
    """Return the context with the caller whose share the request uses: the tenant of its root.

    Root requests get an even position, by their hash: the excess of a caller is shed by position,
    and those of one route would otherwise take only a part of the positions.
    """
    if served is not None:
        return msgspec.structs.replace(context, caller=served.context.caller)
    caller = "" if admitted.tenant is None else admitted.tenant.name
    return msgspec.structs.replace(context, caller=caller, position=-1)


def _root_context(admitted: AdmittedHostRequest, identity: str, remaining: float) -> CallContext:
    """Return the context of a root request; a tenant's importance overrides the route's."""
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
