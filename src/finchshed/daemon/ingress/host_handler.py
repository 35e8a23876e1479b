"""The listener for requests by host and path: what each asks for, and how its end is told.

A request falls under the route of its host with the longest prefix of its path. The route names the
services that share such requests; one is drawn by weight, and the call goes to a back end of it.
"""

import random
from collections.abc import Callable

import msgspec

from finchshed.admission.rank import position_of, position_under
from finchshed.common.context import HEADER_DOWNSTREAM, CallContext
from finchshed.common.outcomes import (
    Answered,
    Failed,
    FailureReason,
    Headers,
    Outcome,
    RefusalReason,
    Refused,
)
from finchshed.common.units import MILLISECONDS
from finchshed.configuration.resources import HostRoute, Tenant
from finchshed.daemon.calling.caller import Caller
from finchshed.daemon.catalogue import Catalogue
from finchshed.daemon.decision_log import log_refusal
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.ingress.quota_gate import QuotaGate
from finchshed.daemon.request import MAX_ANSWER_BYTES_BY_HOST, Request, end_to_end_headers
from finchshed.daemon.serving.accounts import ServedRequest, ServedRequests
from finchshed.http.message import InboundRequest, Response
from finchshed.http.status import (
    STATUS_BAD_GATEWAY,
    STATUS_BAD_REQUEST,
    STATUS_CONTENT_TOO_LARGE,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_NOT_FOUND,
    STATUS_SERVICE_UNAVAILABLE,
    STATUS_TOO_MANY_REQUESTS,
    STATUS_UNAUTHORIZED,
)
from finchshed.retry.policy import retry_after
from finchshed.routing.weights import WeightedChoice
from finchshed.runtime import clock
from finchshed.tenancy.gate import tenant_of
from finchshed.tenancy.lease import KeyLease

_REFUSAL_STATUS = {
    RefusalReason.UNKNOWN_ROUTE: STATUS_NOT_FOUND,
    RefusalReason.REQUEST_TOO_LARGE: STATUS_CONTENT_TOO_LARGE,
    RefusalReason.REQUEST_INVALID: STATUS_BAD_REQUEST,
    RefusalReason.API_KEY_MISSING: STATUS_UNAUTHORIZED,
    RefusalReason.API_KEY_UNKNOWN: STATUS_UNAUTHORIZED,
    RefusalReason.QUOTA_EXCEEDED: STATUS_TOO_MANY_REQUESTS,
}

TOLD_TO_RETURN = frozenset({STATUS_SERVICE_UNAVAILABLE, STATUS_TOO_MANY_REQUESTS})
"""Statuses that come with the time to come back."""


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


class HostFront:
    """Answers requests by host and path (the listener's handler).

    Parameters
    ----------
    lease
        For how long API keys may be trusted.
    quotas
        Has requests of limited tenants get tokens.
    own_service
        Returns the service of the back end beside this daemon.
    why_not
        Returns the reason why no request may be taken now, or None.
    """

    def __init__(
        self,
        caller: Caller,
        served: ServedRequests,
        names: HeaderNames,
        rng: random.Random,
        *,
        lease: KeyLease,
        quotas: QuotaGate,
        own_service: Callable[[], str],
        why_not: Callable[[], RefusalReason | None],
    ) -> None:
        self._caller = caller
        self._served = served
        self._names = names
        self._rng = rng
        self._lease = lease
        self._quotas = quotas
        self._own_service = own_service
        self._why_not = why_not
        self._always_dropped = names.set_here()
        self._dropped = self._always_dropped
        self._api_key = names.api_key.encode("ascii")
        self._deadline = names.deadline.encode("ascii")
        self._request = names.request.encode("ascii")
        self._choices: dict[str, WeightedChoice] = {}
        self._catalogue = Catalogue()

    def configure(self, catalogue: Catalogue) -> None:
        """Act on a new configuration."""
        self._catalogue = catalogue
        self._choices = {route.name: self._choices_of(route) for route in catalogue.host_routes()}
        self._dropped = self._always_dropped
        if catalogue.tenants:
            self._dropped |= self._names.of_tenants()

    def admit(self, request: InboundRequest) -> HostAdmitted | Refused:
        """Judge a request by its head, before its body is read."""
        host = request.header(b"host")
        route = self._catalogue.match_host(host, request.target)
        judged = self._judge(request, host, route)
        if isinstance(judged, Refused):
            self._log_refusal(request, route, judged)
        return judged

    def _judge(
        self, request: InboundRequest, host: str, route: HostRoute | None
    ) -> HostAdmitted | Refused:
        reason = self._why_not()
        if reason is not None:
            return self.refusal(reason)
        if route is None:
            return self.refusal(RefusalReason.UNKNOWN_ROUTE, f"host {host!r}")
        if not request.first.get(self._request):
            detail = f"the header {self._names.request} is needed"
            return self.refusal(RefusalReason.REQUEST_INVALID, detail)
        tenant = self._tenant_of(request, route)
        if isinstance(tenant, Refused):
            return tenant
        remaining = min(self._told_seconds(request, route), route.timeout_seconds)
        service = self._choices[route.name].draw()
        return HostAdmitted(route, service, host, remaining, clock.now(), tenant)

    def _log_refusal(
        self, request: InboundRequest, route: HostRoute | None, refused: Refused, tenant: str = ""
    ) -> None:
        identity = request.header(self._request)
        log_refusal(identity, route, refused, self._catalogue.revision, tenant)

    def max_body_bytes(self, admitted: HostAdmitted) -> int:
        """Return the largest body taken for an admitted request."""
        return self._catalogue.limits.max_body_bytes

    def handle(
        self,
        request: InboundRequest,
        admitted: HostAdmitted,
        respond: Callable[[Response], None],
    ) -> Callable[[], None]:
        """Answer a whole request; ``respond`` is called once. Return what gives it up."""
        served = self._served_by(request.header(self._request))
        if admitted.tenant is not None:
            return self._call_for(admitted.tenant, request, admitted, respond)
        account = "" if served is None else served.account
        message = self._message(request, admitted, served)
        return self._caller.call(
            message, account, "", lambda outcome: respond(self._response_of(outcome))
        )

    def _call_for(
        self,
        tenant: Tenant,
        request: InboundRequest,
        admitted: HostAdmitted,
        respond: Callable[[Response], None],
    ) -> Callable[[], None]:
        """Answer a tenant's request, once it has a token."""
        leave: list[Callable[[], None]] = []

        def answered(outcome: Outcome) -> None:
            if isinstance(outcome, Refused):
                self._quotas.give_back(tenant.name)
            respond(self._response_of(outcome))

        def decided(refused: Refused | None) -> None:
            if refused is not None:
                self._log_refusal(request, admitted.route, refused, tenant.name)
                respond(self._response_of(refused))
                return
            message = self._message(request, admitted, None)
            leave[:] = [self._caller.call(message, "", "", answered)]

        def give_up() -> None:
            leave[0]()

        waiting = self._quotas.admit(tenant.name, decided)
        if not leave:
            leave.append(waiting)
        return give_up

    def _message(
        self, request: InboundRequest, admitted: HostAdmitted, served: ServedRequest | None
    ) -> Request:
        route = admitted.route
        identity = request.header(self._request)
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

    def refused(self, refused: Refused) -> Response:
        """Return the response that tells a refusal."""
        return self._response_of(refused)

    def refusal(self, reason: RefusalReason, detail: str = "") -> Refused:
        """Return the refusal of a request for ``reason``."""
        return Refused(reason, retry_after(0.0, self._rng), detail)

    def malformed(self, detail: str, status: int) -> Response:
        """Return the response to bytes that are no request, or no allowed one."""
        return _text_response(status, detail)

    def _tenant_of(self, request: InboundRequest, route: HostRoute) -> Tenant | Refused | None:
        """Return whose request it is, None where no key is needed, or the refusal.

        A call of the own back end needs no key.
        """
        tenants = self._catalogue.tenants
        if not tenants or self._served_by(request.header(self._request)) is not None:
            return None
        keys = {value for name, value in request.headers if name == self._api_key and value}
        now = clock.now()
        found = tenant_of(keys, tenants, self._lease, now, is_public=route.public)
        if found is RefusalReason.API_KEY_MISSING:
            return self._without_key(request.header(self._request))
        if isinstance(found, RefusalReason):
            return self.refusal(found, f"confirmed {self._lease.age(now):.3f} s ago")
        return found

    def _without_key(self, identity: str) -> Refused:
        """Return the refusal of a request that has no key and is no call for a known request."""
        separator = self._names.call_separator
        if separator and separator in identity:
            # Its request may be over, or was taken by the process before this one.
            return self.refusal(RefusalReason.CALLER_UNKNOWN, "the request it is made for is over")
        return self.refusal(RefusalReason.API_KEY_MISSING, f"{self._names.api_key} is needed")

    def _served_by(self, identity: str) -> ServedRequest | None:
        """Return the request of the own back end that a call is made for, by its identity."""
        separator = self._names.call_separator
        if not separator:
            return None
        parent, found, _ = identity.rpartition(separator)
        return self._served.get_by_identity(parent) if found else None

    def _context(
        self, admitted: HostAdmitted, identity: str, served: ServedRequest | None
    ) -> CallContext:
        now = clock.now()
        route = admitted.route
        remaining = admitted.remaining_seconds - (now - admitted.began)
        spare = route.max_attempts - 1
        if served is None:
            tenant = admitted.tenant
            if tenant is None or tenant.importance is None:
                return CallContext(identity, route.importance, remaining, spare)
            return CallContext(
                identity,
                tenant.importance,
                remaining,
                spare,
                position=position_under(route.importance, position_of(identity)),
            )
        inherited = served.context
        return CallContext(
            root=inherited.root,
            importance=inherited.importance,
            remaining_seconds=min(remaining, served.deadline - now),
            spare_attempts=spare,
            depth=inherited.depth + 1,
            position=inherited.position,
            is_call=True,
            admitted_fraction=inherited.admitted_fraction,
        )

    def _choices_of(self, route: HostRoute) -> WeightedChoice:
        held = self._choices.get(route.name)
        if held is not None and held.destinations == route.destinations:
            return held
        return WeightedChoice(route.destinations, self._rng)

    def _told_seconds(self, request: InboundRequest, route: HostRoute) -> float:
        """Return the seconds the caller will wait, by its word."""
        value = request.first.get(self._deadline)
        if value is None:
            return route.timeout_seconds
        try:
            return max(0.0, float(value) / MILLISECONDS)
        except ValueError:
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

    def _response_of(self, outcome: Outcome) -> Response:
        if isinstance(outcome, Answered):
            headers = tuple(item for item in outcome.headers if item[0] != HEADER_DOWNSTREAM)
            return Response(outcome.status, headers, outcome.body, outcome.has_length)
        text = f"{outcome.reason}: {outcome.detail}" if outcome.detail else str(outcome.reason)
        if isinstance(outcome, Refused):
            status = _REFUSAL_STATUS.get(outcome.reason, STATUS_SERVICE_UNAVAILABLE)
            return _text_response(status, text, outcome.retry_after)
        return _text_response(_status_of_failure(outcome), text)


def _status_of_failure(failed: Failed) -> int:
    if failed.reason is FailureReason.DEADLINE:
        return STATUS_GATEWAY_TIMEOUT
    return STATUS_BAD_GATEWAY


def _text_response(status: int, text: str, retry_after_seconds: float = 0.0) -> Response:
    headers: Headers = (("content-type", "text/plain"),)
    if status in TOLD_TO_RETURN:
        headers += (("retry-after", f"{retry_after_seconds:.3f}"),)
    return Response(status, headers, text.encode("utf-8", "replace"))
