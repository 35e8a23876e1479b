"""Session affinity at the caller: the endpoint of each session and its last entity tag.

A session stays on the endpoint that admitted it, even while that drains, and moves only if the
endpoint is lost or refuses it. A download resumed on another endpoint must not mix versions of a
resource: range requests are made conditional on the last entity tag (RFC 9110, 13.1.5), and partial
content with a different tag is rejected (RFC 9110, 15.3.7.3).

Responses name the session's endpoint and clients send the name back, so that an edge without the
pin can route to it. The name is untrusted: it only selects the endpoint, whose daemon checks its
own admitted sessions.
"""

import sys
from dataclasses import dataclass

import msgspec

from finchshed.common.context import HEADER_SESSION_AT
from finchshed.common.outcomes import Answered, Headers, Outcome
from finchshed.daemon.request import Request
from finchshed.http.status import STATUS_OK, STATUS_PARTIAL_CONTENT
from finchshed.routing.table import RoutingTable
from finchshed.session.table import Opened, SessionTable

MAX_SESSIONS = 100_000
"""Maximum number of pinned sessions; further sessions run without a pin."""

WEAK_PREFIX = "W/"


@dataclass(frozen=True, slots=True)
class _ResourceVersion:
    """The path and entity tag of the last response in a session."""

    path: str
    validator: str


class SessionPins:
    """Endpoints and resource versions of the sessions whose requests arrive at this daemon."""

    def __init__(self) -> None:
        self._sessions = SessionTable()
        self._versions: dict[str, _ResourceVersion] = {}

    def __len__(self) -> int:
        """Return the number of pinned sessions."""
        return len(self._sessions)

    def pinned_endpoint(self, request: Request, table: RoutingTable, now: float) -> str:
        """Return the endpoint for the request's session, or an empty string.

        An endpoint named by the client is used only if no answer has confirmed a pin and it is a
        usable endpoint of the service.
        """
        session = session_key(request)
        if not session:
            return ""
        pin = self._sessions.get(session)
        if pin is not None and pin.admitted:
            return pin.endpoint
        if request.session_at and table.is_usable(request.session_at, request.service, now):
            return request.session_at
        return "" if pin is None else pin.endpoint

    def on_request_sent(
        self, request: Request, endpoint: str, idle_seconds: float, now: float
    ) -> None:
        """Record a request sent to ``endpoint``; the first request of a session pins it."""
        session = session_key(request)
        if not session or not endpoint:
            return
        if self._sessions.get(session) is None and len(self._sessions) >= MAX_SESSIONS:
            return
        opened = self._sessions.open(
            session,
            request.service,
            endpoint,
            max_sessions=sys.maxsize,
            idle_seconds=idle_seconds,
            now=now,
        )
        if isinstance(opened, Opened):
            self._sessions.on_request(session, now)

    def on_request_ended(
        self, request: Request, endpoint: str, outcome: Outcome, now: float
    ) -> None:
        """Record the outcome of a request last sent to ``endpoint``, and move the pin if needed."""
        session = session_key(request)
        pin = self._sessions.get(session)
        if pin is None:
            return
        self._sessions.on_answer(session, now)
        if not isinstance(outcome, Answered):
            return
        self._sessions.admit(session)
        if endpoint and endpoint != pin.endpoint:
            self._sessions.move(session, endpoint, now)
        validator = first_header_value(outcome.headers, "etag")
        if outcome.status in {STATUS_OK, STATUS_PARTIAL_CONTENT} and is_strong_validator(validator):
            self._versions[session] = _ResourceVersion(request.path, validator)

    def expire(self, now: float) -> None:
        """Drop sessions idle for longer than their service allows."""
        for session in self._sessions.expire(now):
            self._versions.pop(session.identity, None)

    def range_conditions(self, request: Request) -> Headers:
        """Return an If-Range header that keeps a range request within the session's version."""
        version = self._versions.get(session_key(request))
        if version is None or version.path != request.path or request.method != "GET":
            return ()
        if not first_header_value(request.headers, "range"):
            return ()
        if first_header_value(request.headers, "if-range") or first_header_value(
            request.headers, "if-match"
        ):
            return ()
        return (("if-range", version.validator),)


def is_version_mismatch(request: Request, answer: Answered) -> bool:
    """Return whether partial content has a different entity tag than the request's condition."""
    if answer.status != STATUS_PARTIAL_CONTENT:
        return False
    given = first_header_value(answer.headers, "etag")
    if not given:
        return False
    if_range = first_header_value(request.headers, "if-range")
    if is_strong_validator(if_range) and if_range != given:
        return True
    allowed = [tag.strip() for tag in first_header_value(request.headers, "if-match").split(",")]
    return allowed not in ([""], ["*"]) and given not in allowed


def with_session_endpoint(request: Request, endpoint: str, outcome: Outcome) -> Outcome:
    """Return ``outcome`` with a header naming the endpoint, for an answered session request."""
    if not isinstance(outcome, Answered) or not endpoint or not session_key(request):
        return outcome
    headers = tuple(item for item in outcome.headers if item[0].lower() != HEADER_SESSION_AT)
    return msgspec.structs.replace(outcome, headers=(*headers, (HEADER_SESSION_AT, endpoint)))


def session_key(request: Request) -> str:
    """Return a key of the request's session that is unique across services, or an empty string."""
    if not request.in_session or not request.context.session:
        return ""
    return f"{request.service} {request.context.session}"


def first_header_value(headers: Headers, name: str) -> str:
    """Return the first value of a header, or an empty string."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return ""


def is_strong_validator(validator: str) -> bool:
    """Return whether a validator is a strong entity tag (RFC 9110, 8.8.1)."""
    return validator.startswith('"') and not validator.startswith(WEAK_PREFIX)
