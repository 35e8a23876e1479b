"""Handles requests that name their service: of the local back end and of outside callers.

A request is spooled whole within its service's limit, given its context, and answered with the
whole answer of a back end or with a refusal or failure that says whether it ran. Owns the places of
callers within their class. Relies on the catalogue for routes and on the caller to have it
answered.
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
from finchshed.common.outcomes import Outcome, RefusalReason, Refused
from finchshed.common.units import MILLISECONDS
from finchshed.daemon.calling.caller import Caller
from finchshed.daemon.catalogue import Catalogue, Matched
from finchshed.daemon.ingress.responses import malformed_by_service, response_by_service
from finchshed.daemon.request import Request, end_to_end_headers
from finchshed.daemon.serving.accounts import ServedRequest, ServedRequests
from finchshed.http.message import InboundRequest, Response
from finchshed.ledger.keys import issued_at
from finchshed.retry.policy import retry_after
from finchshed.runtime import clock

ROOT_PREFIX_BYTES = 8
"""Random bytes in the identities that a daemon gives root requests: no two daemons give the
same."""

_ACCOUNT = HEADER_ACCOUNT.encode("ascii")
_CALLER = HEADER_CALLER.encode("ascii")
_DEADLINE = HEADER_DEADLINE.encode("ascii")
_IDEMPOTENCY_KEY = HEADER_IDEMPOTENCY_KEY.encode("ascii")
_ROOT = HEADER_ROOT.encode("ascii")
_SERVICE = HEADER_SERVICE.encode("ascii")
_SESSION = HEADER_SESSION.encode("ascii")
_SESSION_AT = HEADER_SESSION_AT.encode("ascii")


class ServiceAdmitted(msgspec.Struct, frozen=True):
    """What is known of a request from its head.

    ``served`` is the request of the local back end that calls on, or None for a root request.
    """

    matched: Matched
    served: ServedRequest | None


class ServiceRequestHandler:
    """Answers HTTP requests (the listener's handler).

    Parameters
    ----------
    not_ready_reason
        Returns the reason why no request may be taken now, or None.
    """

    def __init__(
        self,
        caller: Caller,
        served: ServedRequests,
        rng: random.Random,
        not_ready_reason: Callable[[], RefusalReason | None],
    ) -> None:
        self._caller = caller
        self._served = served
        self._rng = rng
        self._root_prefix = secrets.token_hex(ROOT_PREFIX_BYTES)
        self._roots = itertools.count()
        self._fair = FairPositions(clock.now())
        self._not_ready_reason = not_ready_reason
        self.catalogue = Catalogue()

    def admit(self, request: InboundRequest) -> ServiceAdmitted | Refused:
        """Judge a request by its head, before its body is read."""
        reason = self._not_ready_reason()
        if reason is not None:
            return self.refusal(reason)
        service_name = request.header(_SERVICE)
        matched = self.catalogue.match(service_name, request.target)
        if matched is None:
            return self.refusal(RefusalReason.UNKNOWN_ROUTE, f"service {service_name!r}")
        if not matched.route.repeatable:
            key = request.header(_IDEMPOTENCY_KEY)
            if not key:
                return self.refusal(RefusalReason.KEY_MISSING, "an idempotency key is needed")
            if issued_at(key) is None:
                detail = "the idempotency key must be a UUID of version 7"
                return self.refusal(RefusalReason.KEY_INVALID, detail)
        return ServiceAdmitted(matched, self._served.get(request.header(_ACCOUNT)))

    def max_body_bytes(self, admitted: ServiceAdmitted) -> int:
        """Return the largest body taken for an admitted request."""
        return admitted.matched.service.max_body_bytes

    def handle(
        self,
        request: InboundRequest,
        admitted: ServiceAdmitted,
        respond: Callable[[Response], None],
    ) -> Callable[[], None]:
        """Answer a whole request; ``respond`` is called once. Return what gives it up."""
        matched, served = admitted.matched, admitted.served
        if served is None:
            context = self._root_context(request, matched)
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

        def answered(outcome: Outcome) -> None:
            respond(response_by_service(outcome))

        account = "" if served is None else served.account
        return self._caller.call(message, account, _join_identity(request, served), answered)

    def refused(self, refused: Refused) -> Response:
        """Return the response that tells a refusal."""
        return response_by_service(refused)

    def refusal(self, reason: RefusalReason, detail: str = "") -> Refused:
        """Return the refusal of a request for ``reason``."""
        return Refused(reason, retry_after(0.0, self._rng), detail)

    def malformed(self, detail: str, status: int) -> Response:
        """Return the response to bytes that are no request, or no allowed one."""
        return malformed_by_service(detail, status)

    def _root_context(self, request: InboundRequest, matched: Matched) -> CallContext:
        # The account of a request that is over has nothing left to lend.
        is_late = _ACCOUNT in request.first
        root = request.header(_ROOT) or self._new_root()
        caller = request.header(_CALLER) or request.remote
        return CallContext(
            root=root,
            importance=matched.route.importance,
            remaining_seconds=_deadline_of(request, matched.service.deadline_seconds),
            spare_attempts=0 if is_late else self.catalogue.policy.retry_budget,
            caller=caller,
            session=request.header(_SESSION) if matched.route.session else "",
            key=request.header(_IDEMPOTENCY_KEY),
            position=self._fair.place(caller, matched.route.importance, root, clock.now()),
        )

    def _new_root(self) -> str:
        """Return an identity no other request has; the random part is drawn once, not by call."""
        return f"{self._root_prefix}-{next(self._roots):x}"

    def _nested_context(
        self, request: InboundRequest, matched: Matched, served: ServedRequest
    ) -> CallContext:
        inherited = served.context
        session = inherited.session
        if matched.route.session:
            session = request.header(_SESSION) or session
        left = served.deadline - clock.now()
        return CallContext(
            root=inherited.root,
            importance=inherited.importance,
            remaining_seconds=min(left, _deadline_of(request, left)),
            spare_attempts=self._served.lend(served.account),
            depth=inherited.depth + 1,
            caller=inherited.caller,
            session=session,
            key=request.header(_IDEMPOTENCY_KEY),
            position=inherited.position,
        )


def _join_identity(request: InboundRequest, served: ServedRequest | None) -> str:
    key = request.header(_IDEMPOTENCY_KEY)
    if key:
        return f"key {key}"
    if served is None and _ROOT in request.first:
        return f"root {request.header(_ROOT)} {request.method} {request.target}"
    return ""


def _deadline_of(request: InboundRequest, default_seconds: float) -> float:
    """Return the seconds left by the word of the caller, or ``default_seconds``."""
    value = request.first.get(_DEADLINE)
    if value is None:
        return default_seconds
    try:
        return int(value) / MILLISECONDS
    except ValueError:
        # No number: the caller named no deadline that counts.
        return default_seconds
