"""The HTTP listener: requests of the local back end and of outside callers.

A request is spooled whole within its service's limit, given its context, and answered with the
whole answer of a back end or with a refusal or failure that says whether it ran.
"""

import random
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web

from finchshed.common.context import (
    HEADER_ACCOUNT,
    HEADER_CALLER,
    HEADER_DEADLINE,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_ROOT,
    HEADER_SERVICE,
    HEADER_SESSION,
    CallContext,
)
from finchshed.common.outcomes import Outcome, RefusalReason, Refused
from finchshed.daemon.accounts import ServedRequest, ServedRequests
from finchshed.daemon.caller import Caller
from finchshed.daemon.catalogue import Catalogue, Matched
from finchshed.daemon.request import Request, end_to_end_headers
from finchshed.daemon.responses import response_of
from finchshed.retry.policy import retry_after

ROOT_BYTES = 12
MILLISECONDS = 1000.0


@dataclass(slots=True)
class SpoolBudget:
    """Bytes of bodies held at a time."""

    limit: int
    held: int = 0

    def take(self, size: int) -> bool:
        """Count ``size`` bytes; return False, counting nothing, where they don't fit."""
        if self.held + size > self.limit:
            return False
        self.held += size
        return True

    def give_back(self, size: int) -> None:
        """Count ``size`` bytes as no longer held."""
        self.held -= size


class Front:
    """Answers HTTP requests.

    Parameters
    ----------
    accepts
        Returns the reason why no request may be taken now, or None.
    """

    def __init__(
        self,
        caller: Caller,
        served: ServedRequests,
        spool: SpoolBudget,
        rng: random.Random,
        accepts: Callable[[ServedRequest | None, str], RefusalReason | None],
    ) -> None:
        self._caller = caller
        self._served = served
        self._spool = spool
        self._rng = rng
        self._accepts = accepts
        self.catalogue = Catalogue()
        self.close_connections = False
        self.in_progress = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request (handler of aiohttp's low-level server)."""
        self.in_progress += 1
        try:
            response = response_of(await self._answer(request))
            if self.close_connections:
                response.force_close()
            return response
        finally:
            self.in_progress -= 1

    async def _answer(self, request: web.BaseRequest) -> Outcome:
        headers = request.headers
        service_name = headers.get(HEADER_SERVICE, "")
        served = self._served.get(headers.get(HEADER_ACCOUNT, ""))
        reason = self._accepts(served, headers.get(HEADER_SESSION, ""))
        if reason is not None:
            return self._refused(reason)
        matched = self.catalogue.match(service_name, request.path)
        if matched is None:
            return self._refused(RefusalReason.UNKNOWN_ROUTE, f"service {service_name!r}")
        if not matched.route.repeatable and not headers.get(HEADER_IDEMPOTENCY_KEY):
            return self._refused(RefusalReason.KEY_MISSING)
        limit = matched.service.max_body_bytes
        body = await self._read(request, limit)
        if body is None:
            return self._refused(RefusalReason.REQUEST_TOO_LARGE, f"limit: {limit} bytes")
        if not self._spool.take(len(body)):
            return self._refused(RefusalReason.OVERLOAD, "bodies held reach their limit")
        try:
            return await self._call(request, matched, served, body)
        finally:
            self._spool.give_back(len(body))

    async def _read(self, request: web.BaseRequest, limit: int) -> bytes | None:
        """Return the whole body, or None where it is larger than ``limit``."""
        if not request.body_exists:
            return b""
        if (request.content_length or 0) > limit:
            return None
        parts: list[bytes] = []
        size = 0
        async for part in request.content.iter_any():
            size += len(part)
            if size > limit:
                return None
            parts.append(part)
        return b"".join(parts)

    async def _call(
        self,
        request: web.BaseRequest,
        matched: Matched,
        served: ServedRequest | None,
        body: bytes,
    ) -> Outcome:
        if served is None:
            context = self._root_context(request, matched)
        else:
            context = self._nested_context(request, served)
        message = Request(
            service=matched.service.name,
            method=request.method,
            path=request.raw_path,
            headers=end_to_end_headers(request.raw_headers),
            body=body,
            context=context,
            repeatable=matched.route.repeatable,
            in_session=matched.route.session,
            max_body_bytes=matched.service.max_body_bytes,
            route=matched.route.prefix,
        )
        account = "" if served is None else served.account
        return await self._caller.call(message, account, self._join_identity(request, served))

    def _join_identity(self, request: web.BaseRequest, served: ServedRequest | None) -> str:
        key = request.headers.get(HEADER_IDEMPOTENCY_KEY, "")
        if key:
            return f"key {key}"
        if served is None and HEADER_ROOT in request.headers:
            return f"root {request.headers[HEADER_ROOT]} {request.method} {request.raw_path}"
        return ""

    def _root_context(self, request: web.BaseRequest, matched: Matched) -> CallContext:
        headers = request.headers
        # The account of a request that is over has nothing left to lend.
        is_late = HEADER_ACCOUNT in headers
        return CallContext(
            root=headers.get(HEADER_ROOT) or secrets.token_hex(ROOT_BYTES),
            importance=matched.route.importance,
            remaining_seconds=_deadline_of(request, matched.service.deadline_seconds),
            spare_attempts=0 if is_late else self.catalogue.policy.retry_budget,
            caller=headers.get(HEADER_CALLER) or request.remote or "",
            session=headers.get(HEADER_SESSION, ""),
            key=headers.get(HEADER_IDEMPOTENCY_KEY, ""),
        )

    def _nested_context(self, request: web.BaseRequest, served: ServedRequest) -> CallContext:
        inherited = served.context
        left = served.deadline - time.monotonic()
        return CallContext(
            root=inherited.root,
            importance=inherited.importance,
            remaining_seconds=min(left, _deadline_of(request, left)),
            spare_attempts=self._served.lend(served.account),
            depth=inherited.depth + 1,
            caller=inherited.caller,
            session=request.headers.get(HEADER_SESSION, ""),
            key=request.headers.get(HEADER_IDEMPOTENCY_KEY, ""),
            position=inherited.position,
        )

    def _refused(self, reason: RefusalReason, detail: str = "") -> Refused:
        return Refused(reason, retry_after(0.0, self._rng), detail)


def _deadline_of(request: web.BaseRequest, default_seconds: float) -> float:
    """Return the seconds left as the caller told them, or ``default_seconds``."""
    text = request.headers.get(HEADER_DEADLINE)
    if text is None:
        return default_seconds
    try:
        return int(text) / MILLISECONDS
    except ValueError:
        return default_seconds
