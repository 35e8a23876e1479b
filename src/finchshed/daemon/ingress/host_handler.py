"""Handles host requests: routes by host and path, authenticates, and calls a back end.

The route is the one of the host with the longest matching path prefix. One of its destination
services is chosen at random by weight. Owns the weighted choices. Relies on :mod:`host_access` for
authentication, on :mod:`host_requests` to build requests and on :mod:`quota_gate` for rate limits.
"""

import random
from collections.abc import Callable

from finchshed.admission.returning import Return
from finchshed.common.outcomes import Answered, Outcome, RefusalReason, Refused
from finchshed.configuration.resources import HostRoute, Tenant
from finchshed.daemon.calling.caller import Caller
from finchshed.daemon.catalogue import Catalogue
from finchshed.daemon.decision_log import log_refusal
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.ingress.deferred_clients import DeferredClients
from finchshed.daemon.ingress.host_access import HostAuthenticator
from finchshed.daemon.ingress.host_requests import AdmittedHostRequest, HostRequestBuilder
from finchshed.daemon.ingress.quota_gate import QuotaGate
from finchshed.daemon.ingress.responses import host_response, malformed_host_response
from finchshed.daemon.ingress.return_scheduler import ReturnScheduler
from finchshed.daemon.ingress.route_durations import RouteDurations
from finchshed.daemon.request import Request
from finchshed.daemon.serving.served_requests import ServedRequest, ServedRequests
from finchshed.daemon.stopping import PlannedStop
from finchshed.http.message import InboundRequest, Response
from finchshed.retry.policy import retry_after
from finchshed.routing.weighted_round_robin import WeightedRoundRobin
from finchshed.runtime import clock
from finchshed.tenancy.lease import KeyLease


class HostRequestHandler:
    """Handler of the listener for host requests.

    Parameters
    ----------
    lease
        Lease that bounds how long API keys may be trusted.
    quotas
        Admits requests of rate-limited tenants.
    deferred
        Defers clients whose requests would probably run in vain.
    own_service
        Returns the service of the local back end.
    not_ready_reason
        Returns why requests can't be accepted now, or None.
    stop
        Stop of the daemon, for which a request must leave time.
    own_share
        Returns the fraction of a service's requests in progress that this daemon sent.

    Attributes
    ----------
    returns
        Schedules the return of refused clients, where the policy says so.
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
        deferred: DeferredClients,
        own_service: Callable[[], str],
        not_ready_reason: Callable[[], RefusalReason | None],
        stop: PlannedStop,
        own_share: Callable[[str], float],
    ) -> None:
        self._caller = caller
        self._names = names
        self._rng = rng
        self._quotas = quotas
        self._deferred = deferred
        self._not_ready_reason = not_ready_reason
        self._stop = stop
        self._durations = RouteDurations()
        self.returns = ReturnScheduler(rng, own_share)
        self._authenticator = HostAuthenticator(names, served, lease, rng)
        self._request_builder = HostRequestBuilder(names, own_service)
        self._identity_header = names.request.encode("ascii")
        self._weighted_choices: dict[str, WeightedRoundRobin] = {}
        self._catalogue = Catalogue()

    def configure(self, catalogue: Catalogue) -> None:
        """Apply a new configuration."""
        self._catalogue = catalogue
        self._weighted_choices = {
            route.name: self._weighted_choice_of(route) for route in catalogue.host_routes()
        }
        self._authenticator.tenants = catalogue.tenants
        schedules_returns = catalogue.policy.schedules_returns
        self._request_builder.configure(
            has_tenants=bool(catalogue.tenants),
            has_fair_shares=catalogue.policy.fair_shares,
            bounds_waits=schedules_returns,
        )
        services = (
            destination.service
            for route in catalogue.host_routes()
            for destination in route.destinations
        )
        self.returns.configure(services, is_enabled=schedules_returns)
        self._deferred.is_enabled = catalogue.policy.defers_unrepeatable

    def admit(self, request: InboundRequest) -> AdmittedHostRequest | Refused:
        """Admit or refuse a request by its head, before its body is read."""
        host = request.header(b"host")
        route = self._catalogue.match_host(host, request.target)
        result = self._check(request, host, route)
        if isinstance(result, Refused):
            self._log_refusal(request, route, result)
        return result

    def max_body_bytes(self, admitted: AdmittedHostRequest) -> int:
        """Return the maximum body size of an admitted request."""
        return self._catalogue.limits.max_body_bytes

    def handle(
        self,
        request: InboundRequest,
        admitted: AdmittedHostRequest,
        respond: Callable[[Response], None],
    ) -> Callable[[], None]:
        """Process a complete request; return a callback that cancels it.

        ``respond`` is called once.
        """
        identity = request.header(self._identity_header)
        served = self._authenticator.parent_request(identity)
        refused = self._refusal_at_stop(admitted, served)
        if refused is not None:
            self._log_refusal(request, admitted.route, refused)
            respond(host_response(refused))
            return _no_op
        if admitted.tenant is not None:
            return self._call_for_tenant(admitted.tenant, request, admitted, respond)
        message = self._request_builder.build(request, identity, admitted, served)

        def on_outcome(outcome: Outcome) -> None:
            self._note_duration(admitted, outcome)
            respond(host_response(outcome))

        if served is None:
            return self._call_for_client(message, admitted, on_outcome)
        return self._caller.call(message, served.account, "", on_outcome)

    def refusal_response(self, refused: Refused) -> Response:
        """Return the response to a refused request."""
        return host_response(refused)

    def make_refusal(self, reason: RefusalReason, detail: str = "") -> Refused:
        """Return a refusal for ``reason``."""
        return Refused(reason, retry_after(0.0, self._rng), detail)

    def malformed_response(self, detail: str, status: int) -> Response:
        """Return the response to a malformed or disallowed request."""
        return malformed_host_response(detail, status)

    def _check(
        self, request: InboundRequest, host: str, route: HostRoute | None
    ) -> AdmittedHostRequest | Refused:
        reason = self._not_ready_reason()
        if reason is not None:
            return self.make_refusal(reason)
        if route is None:
            return self.make_refusal(RefusalReason.UNKNOWN_ROUTE, f"host {host!r}")
        identity = request.header(self._identity_header)
        if not identity:
            detail = f"the header {self._names.request} is needed"
            return self.make_refusal(RefusalReason.REQUEST_INVALID, detail)
        tenant = self._authenticator.authenticate(request, identity, route)
        if isinstance(tenant, Refused):
            return tenant
        remaining = self._request_builder.remaining_seconds(request, route)
        service = self._weighted_choices[route.name].draw()
        now = clock.now()
        deadline = self._request_builder.client_deadline(request, now)
        return AdmittedHostRequest(route, service, host, remaining, now, tenant, deadline)

    def _refusal_at_stop(
        self, admitted: AdmittedHostRequest, served: ServedRequest | None
    ) -> Refused | None:
        """Refuse a request that the daemon may end before; None if there is time for it.

        A call of a request that the local back end is running is taken in any case: that request
        was taken, and fails without it.
        """
        if served is not None:
            return None
        now = clock.now()
        timeout = admitted.remaining_seconds - (now - admitted.began)
        recent_maximum = self._durations.recent_maximum(admitted.route.name)
        if self._stop.has_time_for(timeout, recent_maximum, now):
            return None
        return Refused(RefusalReason.DRAINING, self._stop.seconds_left(now))

    def _note_duration(self, admitted: AdmittedHostRequest, outcome: Outcome) -> None:
        if isinstance(outcome, Answered):
            self._durations.add(admitted.route.name, clock.now() - admitted.began)

    def _call_for_client(
        self,
        message: Request,
        admitted: AdmittedHostRequest,
        on_outcome: Callable[[Outcome], None],
    ) -> Callable[[], None]:
        """Send a root request; its client returns as scheduled if it is refused."""
        scheduled = self.returns.on_arrival(message, admitted.client_deadline)
        is_due = scheduled.recognition.kind is Return.DUE
        refused = None if is_due else self._deferred.check(message, admitted)
        if refused is not None:
            revision = self._catalogue.revision
            log_refusal(message.identity, admitted.route, refused, revision, message.tenant)
            on_outcome(refused)
            return _no_op
        if not self.returns.is_enabled:
            return self._caller.call(message, "", "", on_outcome)
        return self._caller.call(
            scheduled.request,
            "",
            "",
            lambda outcome: on_outcome(self.returns.on_outcome(scheduled, outcome)),
        )

    def _call_for_tenant(
        self,
        tenant: Tenant,
        request: InboundRequest,
        admitted: AdmittedHostRequest,
        respond: Callable[[Response], None],
    ) -> Callable[[], None]:
        """Call a back end for a tenant's request once it has a token."""
        cancel: list[Callable[[], None]] = []

        def on_outcome(outcome: Outcome) -> None:
            self._note_duration(admitted, outcome)
            if isinstance(outcome, Refused):
                self._quotas.refund(tenant.name)
            respond(host_response(outcome))

        def on_decided(refused: Refused | None) -> None:
            if refused is not None:
                self._log_refusal(request, admitted.route, refused, tenant.name)
                respond(host_response(refused))
                return
            identity = request.header(self._identity_header)
            message = self._request_builder.build(request, identity, admitted, None)
            cancel[:] = [self._call_for_client(message, admitted, on_outcome)]

        def cancel_request() -> None:
            cancel[0]()

        stop_waiting = self._quotas.admit(tenant.name, on_decided)
        if not cancel:
            cancel.append(stop_waiting)
        return cancel_request

    def _log_refusal(
        self, request: InboundRequest, route: HostRoute | None, refused: Refused, tenant: str = ""
    ) -> None:
        identity = request.header(self._identity_header)
        log_refusal(identity, route, refused, self._catalogue.revision, tenant)

    def _weighted_choice_of(self, route: HostRoute) -> WeightedRoundRobin:
        current = self._weighted_choices.get(route.name)
        if current is not None and current.destinations == route.destinations:
            return current
        return WeightedRoundRobin(route.destinations, self._rng)


def _no_op() -> None:
    """Cancel nothing: the request is over."""
