"""Sessions at the caller's side of an emulated daemon: which endpoint serves each.

Counterpart of :mod:`finchshed.daemon.calling.pins`, without editions of downloads.
"""

import sys

from finchshed.common.outcomes import Answered, Outcome
from finchshed.emulator.daemons.callee import SESSION_IDLE_SECONDS
from finchshed.emulator.request import Request
from finchshed.session.table import SessionTable


class SessionPins:
    """Endpoints of the sessions whose requests come in here."""

    def __init__(self) -> None:
        self._sessions = SessionTable()

    def endpoint_of(self, request: Request) -> str:
        """Return the endpoint that serves the request's session, or empty."""
        held = self._sessions.get(request.session) if _is_pinned(request) else None
        return "" if held is None else held.endpoint

    def sent(self, request: Request, endpoint: str, now: float) -> None:
        """Pin a session to the endpoint that its first request was sent to."""
        if not _is_pinned(request) or not endpoint:
            return
        self._sessions.open(
            request.session,
            request.hop.service,
            endpoint,
            max_sessions=sys.maxsize,
            idle_seconds=SESSION_IDLE_SECONDS,
            now=now,
        )

    def answered(self, request: Request, endpoint: str, outcome: Outcome, now: float) -> None:
        """Move a session whose request was answered by another endpoint than it is pinned to."""
        held = self._sessions.get(request.session) if _is_pinned(request) else None
        if held is None or not isinstance(outcome, Answered):
            return
        if endpoint and endpoint != held.endpoint:
            self._sessions.move(request.session, endpoint, now)


def _is_pinned(request: Request) -> bool:
    """Whether the request belongs to a session of its service; calls on only carry its name."""
    return bool(request.session) and not request.parent
