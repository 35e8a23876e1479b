"""Sessions of one daemon: admitted once, pinned to an endpoint, ended by idleness or by request.

Inputs: identities of sessions, the bound on sessions of their service, the seconds of idleness that
it allows, and the time. Owns what it holds of each session, in memory alone. Used on both sides:
beside a back end it admits (reason ``session_limit``), at the caller it keeps the pins. See
docs/design/sessions.md.
"""

import heapq
from typing import TypeAlias

import msgspec

from finchshed.common.outcomes import RefusalReason


class Session(msgspec.Struct):
    """A session. Times are monotonic seconds.

    ``admitted`` says that a request of it was started: only then the session runs.
    """

    identity: str
    service: str
    endpoint: str
    used_at: float
    idle_seconds: float
    in_progress: int = 0
    admitted: bool = False


class Opened(msgspec.Struct, frozen=True, gc=False):
    """Requests of the session go to its endpoint.

    ``is_new`` says that the session doesn't run yet: none of its requests was started.
    """

    session: Session
    is_new: bool


class NotOpened(msgspec.Struct, frozen=True, gc=False):
    """No session was opened."""

    reason: RefusalReason


OpenResult: TypeAlias = Opened | NotOpened


class SessionTable:
    """Sessions a daemon knows of."""

    def __init__(self) -> None:
        self._sessions: dict[str, Session] = {}
        self._by_endpoint: dict[str, set[str]] = {}
        self._due: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return the number of sessions running."""
        return len(self._sessions)

    def get(self, identity: str) -> Session | None:
        """Return a running session."""
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
        """Admit a session as a whole, or return the running one of this identity."""
        held = self._sessions.get(identity)
        if held is not None:
            held.used_at = now
            return Opened(held, is_new=not held.admitted)
        pinned = self._by_endpoint.setdefault(endpoint, set())
        if len(pinned) >= max_sessions:
            return NotOpened(RefusalReason.SESSION_LIMIT)
        session = Session(identity, service, endpoint, now, idle_seconds)
        self._sessions[identity] = session
        heapq.heappush(self._due, (now + idle_seconds, identity))
        pinned.add(identity)
        return Opened(session, is_new=True)

    def on_request(self, identity: str, now: float) -> None:
        """Count a request of a session as begun."""
        held = self._sessions.get(identity)
        if held is not None:
            held.used_at = now
            held.in_progress += 1

    def admit(self, identity: str) -> None:
        """Note the start of a request of a session: the session runs from now on."""
        held = self._sessions.get(identity)
        if held is not None:
            held.admitted = True

    def refuse(self, identity: str) -> None:
        """Note the refusal of a request, after :meth:`on_answer`.

        A session that doesn't run ends with the last of its requests, not before: another of them
        may still be started.
        """
        held = self._sessions.get(identity)
        if held is not None and not held.admitted and held.in_progress == 0:
            self.close(identity)

    def on_answer(self, identity: str, now: float) -> None:
        """Count a request of a session as ended."""
        held = self._sessions.get(identity)
        if held is not None:
            held.used_at = now
            held.in_progress = max(0, held.in_progress - 1)

    def move(self, identity: str, endpoint: str, now: float) -> Session | None:
        """Pin a session to another endpoint; return it, or None if it is not running."""
        held = self._sessions.get(identity)
        if held is None:
            return None
        self._by_endpoint[held.endpoint].discard(identity)
        self._by_endpoint.setdefault(endpoint, set()).add(identity)
        held.endpoint = endpoint
        held.used_at = now
        return held

    def close(self, identity: str) -> Session | None:
        """End a session."""
        held = self._sessions.pop(identity, None)
        if held is not None:
            self._by_endpoint[held.endpoint].discard(identity)
        return held

    def expire(self, now: float) -> list[Session]:
        """End the sessions idle for longer than their service allows and return them.

        Only sessions that may be due are looked at, so it can be called often.
        """
        ended: list[Session] = []
        while self._due and self._due[0][0] < now:
            _, identity = heapq.heappop(self._due)
            session = self._sessions.get(identity)
            if session is None:
                continue
            due = session.used_at + session.idle_seconds
            if session.in_progress == 0 and due < now:
                self.close(identity)
                ended.append(session)
            else:
                # Looked at again once it can have been idle for long enough.
                heapq.heappush(self._due, (max(due, now), identity))
        return ended
