"""Handles requests by host and path: finds the route, judges the request, has it answered.

A request falls under the route of its host with the longest prefix of its path. The route names the
services that share such requests; one is drawn by weight, and the call goes to a back end of it.
Owns the draws by weight. Relies on :mod:`host_access` for whose request it is, on
:mod:`host_requests` for what it becomes, on the quota gate for a tenant's token.
"""

import random
from collections.abc import Callable

from finchshed.common.outcomes import Outcome, RefusalReason, Refused
from finchshed.configuration.resources import HostRoute, Tenant
from finchshed.daemon.calling.caller import Caller
from finchshed.daemon.catalogue import Catalogue
from finchshed.daemon.decision_log import log_refusal
from finchshed.daemon.header_names import HeaderNames
from finchshed.daemon.ingress.host_access import HostAccess
from finchshed.daemon.ingress.host_requests import HostAdmitted, HostRequests
from finchshed.daemon.ingress.quota_gate import QuotaGate
from finchshed.daemon.ingress.responses import malformed_by_host, response_by_host
from finchshed.daemon.serving.accounts import ServedRequests
from finchshed.http.message import InboundRequest, Response
from finchshed.retry.policy import retry_after
from finchshed.routing.weighted_round_robin import WeightedRoundRobin
from finchshed.runtime import clock
from finchshed.tenancy.lease import KeyLease


class HostRequestHandler:
    """Answers requests by host and path (the listener's handler).

    Parameters
    ----------
    lease
        For how long API keys may be trusted.
    quotas
        Has requests of limited tenants get tokens.
    own_service
        Returns the service of the back end beside this daemon.
    not_ready_reason
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
        not_ready_reason: Callable[[], RefusalReason | None],
    ) -> None:
        self._caller = caller
        self._names = names
        self._rng = rng
        self._quotas = quotas
        self._not_ready_reason = not_ready_reason
        self._access = HostAccess(names, served, lease, rng)
        self._requests = HostRequests(names, own_service)
        self._identity = names.request.encode("ascii")
        self._choices: dict[str, WeightedRoundRobin] = {}
        self._catalogue = Catalogue()

    def configure(self, catalogue: Catalogue) -> None:
        """Act on a new configuration."""
        self._catalogue = catalogue
        self._choices = {route.name: self._choices_of(route) for route in catalogue.host_routes()}
        self._access.tenants = catalogue.tenants
        self._requests.configure(has_tenants=bool(catalogue.tenants))

    def admit(self, request: InboundRequest) -> HostAdmitted | Refused:
        """Judge a request by its head, before its body is read."""
        host = request.header(b"host")
        route = self._catalogue.match_host(host, request.target)
        judged = self._judge(request, host, route)
        if isinstance(judged, Refused):
            self._log_refusal(request, route, judged)
        return judged

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
        identity = request.header(self._identity)
        if admitted.tenant is not None:
            return self._call_for(admitted.tenant, request, admitted, respond)
        served = self._access.served_by(identity)
        account = "" if served is None else served.account
        message = self._requests.make(request, identity, admitted, served)
        return self._caller.call(
            message, account, "", lambda outcome: respond(response_by_host(outcome))
        )

    def refused(self, refused: Refused) -> Response:
        """Return the response that tells a refusal."""
        return response_by_host(refused)

    def refusal(self, reason: RefusalReason, detail: str = "") -> Refused:
        """Return the refusal of a request for ``reason``."""
        return Refused(reason, retry_after(0.0, self._rng), detail)

    def malformed(self, detail: str, status: int) -> Response:
        """Return the response to bytes that are no request, or no allowed one."""
        return malformed_by_host(detail, status)

    def _judge(
        self, request: InboundRequest, host: str, route: HostRoute | None
    ) -> HostAdmitted | Refused:
        reason = self._not_ready_reason()
        if reason is not None:
            return self.refusal(reason)
        if route is None:
            return self.refusal(RefusalReason.UNKNOWN_ROUTE, f"host {host!r}")
        identity = request.header(self._identity)
        if not identity:
            detail = f"the header {self._names.request} is needed"
            return self.refusal(RefusalReason.REQUEST_INVALID, detail)
        tenant = self._access.tenant_of(request, identity, route)
        if isinstance(tenant, Refused):
            return tenant
        remaining = self._requests.remaining_seconds(request, route)
        service = self._choices[route.name].draw()
        return HostAdmitted(route, service, host, remaining, clock.now(), tenant)

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
            respond(response_by_host(outcome))

        def decided(refused: Refused | None) -> None:
            if refused is not None:
                self._log_refusal(request, admitted.route, refused, tenant.name)
                respond(response_by_host(refused))
                return
            identity = request.header(self._identity)
            message = self._requests.make(request, identity, admitted, None)
            leave[:] = [self._caller.call(message, "", "", answered)]

        def give_up() -> None:
            leave[0]()

        waiting = self._quotas.admit(tenant.name, decided)
        if not leave:
            leave.append(waiting)
        return give_up

    def _log_refusal(
        self, request: InboundRequest, route: HostRoute | None, refused: Refused, tenant: str = ""
    ) -> None:
        identity = request.header(self._identity)
        log_refusal(identity, route, refused, self._catalogue.revision, tenant)

    def _choices_of(self, route: HostRoute) -> WeightedRoundRobin:
        held = self._choices.get(route.name)
        if held is not None and held.destinations == route.destinations:
            return held
        return WeightedRoundRobin(route.destinations, self._rng)
