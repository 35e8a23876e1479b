"""Handles service requests, which name their service, from the local back end and other callers.

A request is read completely within its service's size limit and answered with the complete answer
of a back end, or with a refusal or failure that says whether it ran. Owns the fair positions of
callers within their importance class. Relies on the catalogue for routes.
"""

import itertools
import random
import secrets
from collections.abc import Callable

import msgspec

from finchshed.admission.fairness import FairPositions
from finchshed.common.context import (
    HEADER_ACCOUNT,
    HEADER_CALLER,
    HEADER_DEADLINE,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_ROOT,
    HEADER_SERVICE,
    HEADER_SESSION,
    HEADER_SESSION_AT,
    CallContext,
)
from finchshed.common.outcomes import Answered, Outcome, RefusalReason, Refused
from finchshed.common.units import MILLISECONDS
from finchshed.daemon.calling.caller import Caller
from finchshed.daemon.catalogue import Catalogue, RouteMatch
from finchshed.daemon.ingress.responses import malformed_service_response, service_response
from finchshed.daemon.ingress.route_durations import RouteDurations
from finchshed.daemon.request import Request, end_to_end_headers
from finchshed.daemon.serving.served_requests import ServedRequest, ServedRequests
from finchshed.daemon.stopping import PlannedStop
from finchshed.http.message import InboundRequest, Response
from finchshed.ledger.keys import issued_at
from finchshed.retry.policy import retry_after
from finchshed.runtime import clock

ROOT_PREFIX_BYTES = 8
"""Random bytes in generated root identities, which make them unique across daemons."""

_ACCOUNT = HEADER_ACCOUNT.encode("ascii")
_CALLER = HEADER_CALLER.encode("ascii")
_DEADLINE = HEADER_DEADLINE.encode("ascii")
_IDEMPOTENCY_KEY = HEADER_IDEMPOTENCY_KEY.encode("ascii")
_ROOT = HEADER_ROOT.encode("ascii")
_SERVICE = HEADER_SERVICE.encode("ascii")
_SESSION = HEADER_SESSION.encode("ascii")
_SESSION_AT = HEADER_SESSION_AT.encode("ascii")


class AdmittedServiceRequest(msgspec.Struct, frozen=True):
    """Properties of an admitted request, known from its head.

    ``served`` is the parent request in progress at the local back end, None for a root request.
    """

    matched: RouteMatch
    served: ServedRequest | None


class ServiceRequestHandler:
    """Handler of the listener for service requests.

    Parameters
    ----------
    not_ready_reason
        Returns why requests can't be accepted now, or None.
    stop
        Stop of the daemon, for which a request must leave time.
    """

    def __init__(
        self,
        caller: Caller,
        served: ServedRequests,
        rng: random.Random,
        not_ready_reason: Callable[[], RefusalReason | None],
        *,
        stop: PlannedStop,
    ) -> None:
        self._caller = caller
        self._served = served
        self._rng = rng
        self._root_prefix = secrets.token_hex(ROOT_PREFIX_BYTES)
        self._root_counter = itertools.count()
        self._fair_positions = FairPositions(clock.now())
        self._not_ready_reason = not_ready_reason
        self._stop = stop
        self._durations = RouteDurations()
        self.catalogue = Catalogue()

    def admit(self, request: InboundRequest) -> AdmittedServiceRequest | Refused:
        """Admit or refuse a request by its head, before its body is read."""
        reason = self._not_ready_reason()
        if reason is not None:
            return self.make_refusal(reason)
        service_name = request.header(_SERVICE)
        matched = self.catalogue.match(service_name, request.target)
        if matched is None:
            return self.make_refusal(RefusalReason.UNKNOWN_ROUTE, f"service {service_name!r}")
        if not matched.route.repeatable:
            key = request.header(_IDEMPOTENCY_KEY)
            if not key:
                return self.make_refusal(RefusalReason.KEY_MISSING, "an idempotency key is needed")
            if issued_at(key) is None:
                detail = "the idempotency key must be a UUID of version 7"
                return self.make_refusal(RefusalReason.KEY_INVALID, detail)
        return AdmittedServiceRequest(matched, self._served.get(request.header(_ACCOUNT)))

    def max_body_bytes(self, admitted: AdmittedServiceRequest) -> int:
        """Return the maximum body size of an admitted request."""
        return admitted.matched.service.max_body_bytes

    def handle(
        self,
        request: InboundRequest,
        admitted: AdmittedServiceRequest,
        respond: Callable[[Response], None],
    ) -> Callable[[], None]:
        """Process a complete request; return a callback that cancels it.

        ``respond`` is called once.
        """
        matched, served = admitted.matched, admitted.served
        began = clock.now()
        route_key = f"{matched.service.name} {matched.route.prefix}"
        if served is None:
            context = self._root_context(request, matched)
            recent_maximum = self._durations.recent_maximum(route_key)
            if not self._stop.has_time_for(context.remaining_seconds, recent_maximum, began):
                left = self._stop.seconds_left(began)
                respond(service_response(Refused(RefusalReason.DRAINING, left)))
                return _no_op
        else:
            context = self._nested_context(request, matched, served)
        message = Request(
            service=matched.service.name,
            method=request.method,
            path=request.target,
            headers=end_to_end_headers(request.headers),
            body=request.body,
            context=context,
            repeatable=matched.route.repeatable,
            in_session=matched.route.session,
            max_body_bytes=matched.service.max_body_bytes,
            route=matched.route.prefix,
            session_at=request.header(_SESSION_AT) if matched.route.session else "",
        )

        def on_outcome(outcome: Outcome) -> None:
            if isinstance(outcome, Answered):
                self._durations.add(route_key, clock.now() - began)
            respond(service_response(outcome))

        account = "" if served is None else served.account
        return self._caller.call(message, account, _join_identity(request, served), on_outcome)

    def refusal_response(self, refused: Refused) -> Response:
        """Return the response to a refused request."""
        return service_response(refused)

    def make_refusal(self, reason: RefusalReason, detail: str = "") -> Refused:
        """Return a refusal for ``reason``."""
        return Refused(reason, retry_after(0.0, self._rng), detail)

    def malformed_response(self, detail: str, status: int) -> Response:
        """Return the response to a malformed or disallowed request."""
        return malformed_service_response(detail, status)

    def _root_context(self, request: InboundRequest, matched: RouteMatch) -> CallContext:
        # If the request has an account, its parent has ended: no attempts are left to allocate.
        is_parent_finished = _ACCOUNT in request.first
        root = request.header(_ROOT) or self._new_root()
        caller = request.header(_CALLER) or request.remote
        return CallContext(
            root=root,
            importance=matched.route.importance,
            remaining_seconds=_remaining_seconds(request, matched.service.deadline_seconds),
            spare_attempts=0 if is_parent_finished else self.catalogue.policy.retry_budget,
            caller=caller,
            session=request.header(_SESSION) if matched.route.session else "",
            key=request.header(_IDEMPOTENCY_KEY),
            position=self._fair_positions.assign_position(
                caller, matched.route.importance, root, clock.now()
            ),
        )

    def _new_root(self) -> str:
        """Return a unique root identity: the random prefix of this daemon and a counter."""
        return f"{self._root_prefix}-{next(self._root_counter):x}"

    def _nested_context(
        self, request: InboundRequest, matched: RouteMatch, served: ServedRequest
    ) -> CallContext:
        inherited = served.context
        session = inherited.session
        if matched.route.session:
            session = request.header(_SESSION) or session
        parent_remaining_seconds = served.deadline - clock.now()
        return CallContext(
            root=inherited.root,
            importance=inherited.importance,
            remaining_seconds=min(
                parent_remaining_seconds, _remaining_seconds(request, parent_remaining_seconds)
            ),
            spare_attempts=self._served.allocate(served.account),
            depth=inherited.depth + 1,
            caller=inherited.caller,
            session=session,
            key=request.header(_IDEMPOTENCY_KEY),
            position=inherited.position,
            remaining_calls=inherited.remaining_calls,
            repeated=inherited.repeated,
            returning=inherited.returning,
        )


def _join_identity(request: InboundRequest, served: ServedRequest | None) -> str:
    """Return the identity under which a repeat joins the request in progress, or empty."""
    key = request.header(_IDEMPOTENCY_KEY)
    if key:
        return f"key {key}"
    if served is None and _ROOT in request.first:
        return f"root {request.header(_ROOT)} {request.method} {request.target}"
    return ""


def _remaining_seconds(request: InboundRequest, default_seconds: float) -> float:
    """Return the seconds in the request's deadline header, or ``default_seconds``."""
    value = request.first.get(_DEADLINE)
    if value is None:
        return default_seconds
    try:
        return int(value) / MILLISECONDS
    except ValueError:
        # An invalid header counts as missing.
        return default_seconds


def _no_op() -> None:
    """Cancel nothing: the request is over."""
