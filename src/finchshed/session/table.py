"""Session table of one daemon.

A session is admitted as a whole, pinned to an endpoint, and ended by an idle timeout or explicitly.
Beside a back end the table enforces the session limit (refusal reason ``session_limit``); at the
caller it stores the pins. It is kept in memory only. See docs/design/sessions.md.
"""

import heapq
from typing import TypeAlias

import msgspec

from finchshed.common.outcomes import RefusalReason


class Session(msgspec.Struct):
    """A session. Times are monotonic seconds.

    ``admitted`` is set once one of its requests has been started.
    """

    identity: str
    service: str
    endpoint: str
    used_at: float
    idle_seconds: float
    in_progress: int = 0
    admitted: bool = False


class Opened(msgspec.Struct, frozen=True, gc=False):
    """The session is open, and its requests go to its endpoint.

    ``is_new`` is true until one of its requests has been started.
    """

    session: Session
    is_new: bool


class NotOpened(msgspec.Struct, frozen=True, gc=False):
    """The session was refused."""

    reason: RefusalReason


OpenResult: TypeAlias = Opened | NotOpened


class SessionTable:
    """Open sessions of a daemon, by identity."""

    def __init__(self) -> None:
        self._sessions: dict[str, Session] = {}
        self._by_endpoint: dict[str, set[str]] = {}
        self._expiries: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return the number of open sessions."""
        return len(self._sessions)

    def get(self, identity: str) -> Session | None:
        """Return an open session, or None."""
        return self._sessions.get(identity)

    def count(self, endpoint: str) -> int:
        """Return the number of sessions pinned to an endpoint."""
        return len(self._by_endpoint.get(endpoint, ()))

    def open(
        self,
        identity: str,
        service: str,
        endpoint: str,
        *,
        max_sessions: int,
        idle_seconds: float,
        now: float,
    ) -> OpenResult:
        """Open a session, or return the open one of this identity."""
        session = self._sessions.get(identity)
        if session is not None:
            session.used_at = now
            return Opened(session, is_new=not session.admitted)
        pinned = self._by_endpoint.setdefault(endpoint, set())
        if len(pinned) >= max_sessions:
            return NotOpened(RefusalReason.SESSION_LIMIT)
        session = Session(identity, service, endpoint, now, idle_seconds)
        self._sessions[identity] = session
        heapq.heappush(self._expiries, (now + idle_seconds, identity))
        pinned.add(identity)
        return Opened(session, is_new=True)

    def on_request(self, identity: str, now: float) -> None:
        """Record the arrival of a request of a session."""
        session = self._sessions.get(identity)
        if session is not None:
            session.used_at = now
            session.in_progress += 1

    def admit(self, identity: str) -> None:
        """Mark a session as admitted, because one of its requests was started."""
        session = self._sessions.get(identity)
        if session is not None:
            session.admitted = True

    def refuse(self, identity: str) -> None:
        """Handle the refusal of a request, after :meth:`on_answer`.

        Closes a session that isn't admitted once none of its requests is in progress; before that,
        another of them may still be started.
        """
        session = self._sessions.get(identity)
        if session is not None and not session.admitted and session.in_progress == 0:
            self.close(identity)

    def on_answer(self, identity: str, now: float) -> None:
        """Record the end of a request of a session."""
        session = self._sessions.get(identity)
        if session is not None:
            session.used_at = now
            session.in_progress = max(0, session.in_progress - 1)

    def move(self, identity: str, endpoint: str, now: float) -> Session | None:
        """Pin a session to another endpoint; return it, or None if it is not open."""
        session = self._sessions.get(identity)
        if session is None:
            return None
        self._by_endpoint[session.endpoint].discard(identity)
        self._by_endpoint.setdefault(endpoint, set()).add(identity)
        session.endpoint = endpoint
        session.used_at = now
        return session

    def close(self, identity: str) -> Session | None:
        """Close a session and return it, or None if it is not open."""
        session = self._sessions.pop(identity, None)
        if session is not None:
            self._by_endpoint[session.endpoint].discard(identity)
        return session

    def expire(self, now: float) -> list[Session]:
        """Close and return the sessions that exceeded their idle timeout.

        Examines only sessions whose recorded expiry has passed, so it can be called often.
        """
        closed: list[Session] = []
        while self._expiries and self._expiries[0][0] < now:
            _, identity = heapq.heappop(self._expiries)
            session = self._sessions.get(identity)
            if session is None:
                continue
            expiry = session.used_at + session.idle_seconds
            if session.in_progress == 0 and expiry < now:
                self.close(identity)
                closed.append(session)
            else:
                # In use since the expiry was recorded: check again at the new one.
                heapq.heappush(self._expiries, (max(expiry, now), identity))
        return closed
